// Package report turns the account of a site's jobs into what a person reads: one
// self-contained page, CSV, plain sums, and what has changed between two reports. It
// gets its data from whoever asks the controllers and talks to nobody itself.
package report

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/ledger"
)

// Data is all that a report tells.
type Data struct {
	Site            string                     `json:"site,omitempty"`
	Node            string                     `json:"node"`
	AsOf            int64                      `json:"as_of_ms"`
	RememberedSince int64                      `json:"remembers_ms"` // what ended before is not known
	StateAge        float64                    `json:"state_age_s"`
	Since           int64                      `json:"since_ms,omitempty"` // rows since then only
	JobsByState     map[string]int             `json:"sums"`
	Teams           map[string]map[string]int  `json:"teams"`
	Classes         map[string]map[string]int  `json:"classes"`
	Zones           map[string]ledger.ZoneSums `json:"zones"`
	Rows            []ledger.Row               `json:"rows"`
	Left            int                        `json:"left_out,omitempty"` // rows beyond the limit
	Samples         []ledger.Sample            `json:"samples"`
	Unknown         []string                   `json:"unknown,omitempty"`
	Lost            string                     `json:"not_known,omitempty"` // nothing is known of the site, and why
}

// UnreachableSite is what there is to say of a site that does not answer.
func UnreachableSite(name string, now time.Time, err error) *Data {
	return &Data{Site: name, AsOf: now.UnixMilli(), Lost: err.Error(), JobsByState: map[string]int{}}
}

// MaxRows bounds a report.
const MaxRows = 20000

// FetchPage gets pages of the account, from the one after a job on.
type FetchPage func(after string) (*ledger.Page, error)

// Collect puts a report together from pages. Sums are made of the rows, so that each job
// counts once however long the pages took; beyond most rows those of the first page are
// all there is.
func Collect(fetch FetchPage, samples []ledger.Sample, most int) (*Data, error) {
	var d *Data
	for after := ""; ; {
		p, err := fetch(after)
		if err != nil {
			return nil, err
		}
		if d == nil {
			d = &Data{Node: p.Node, AsOf: p.AsOf, RememberedSince: p.RememberedSince, JobsByState: p.JobsByState, Teams: p.Teams, Classes: p.Classes, Zones: p.Zones, Samples: samples}
		}
		d.StateAge = max(d.StateAge, p.SinceStateAnswer)
		for _, u := range p.Unknown {
			if !slices.ContainsFunc(d.Unknown, func(o string) bool { return withoutNumbers(o) == withoutNumbers(u) }) {
				d.Unknown = append(d.Unknown, u)
			}
		}
		d.Rows = append(d.Rows, p.Rows...)
		if p.After == "" || p.After == after {
			break
		}
		if after = p.After; len(d.Rows) >= most {
			total := 0
			for _, n := range d.JobsByState {
				total += n
			}
			d.Left = max(1, total-len(d.Rows))
			break
		}
	}
	slices.SortStableFunc(d.Rows, func(a, b ledger.Row) int {
		return cmp.Or(stateRank(a.State)-stateRank(b.State), cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.Job, b.Job))
	})
	return d, nil
}

// withoutNumbers is what is not known, without for how long: each page says it anew.
func withoutNumbers(u string) string {
	return strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r == '.' {
			return -1
		}
		return r
	}, u)
}

func stateRank(state string) int { return slices.Index(ledger.States, state) }

// Recount makes the sums those of the rows: each job is in exactly one column.
func (d *Data) Recount() {
	d.JobsByState, d.Teams, d.Classes = map[string]int{}, map[string]map[string]int{}, map[string]map[string]int{}
	for i := range d.Rows {
		r := &d.Rows[i]
		d.JobsByState[r.State]++
		for by, name := range map[*map[string]map[string]int]string{&d.Teams: r.Team, &d.Classes: r.Class} {
			if (*by)[name] == nil {
				(*by)[name] = map[string]int{}
			}
			(*by)[name][r.State]++
		}
	}
}

// KeepJobs leaves the jobs of a list, and returns those of which nothing is here.
func (d *Data) KeepJobs(ids []string) (missing []string) {
	at := map[string]int{}
	for i := range d.Rows {
		at[d.Rows[i].Job] = i + 1
	}
	var rows []ledger.Row
	for _, id := range ids {
		if i := at[id]; i > 0 {
			rows = append(rows, d.Rows[i-1])
		} else {
			missing = append(missing, id)
		}
	}
	d.Rows, d.Left = rows, 0
	d.Recount()
	return missing
}

// CSV writes one line a job.
func (d *Data) CSV(out io.Writer) error {
	w := csv.NewWriter(out)
	w.Write([]string{"job", "ticket", "team", "class", "shape", "image", "state", "why", "tasks", "done", "running", "starting", "waiting", "failed", "silent", "lost", "saved_s", "zones", "submitted", "ended", "as_of", "node"})
	at := func(ms int64) string {
		if ms == 0 {
			return ""
		}
		return time.UnixMilli(ms).UTC().Format(time.RFC3339)
	}
	for _, r := range d.Rows {
		n := strconv.Itoa
		w.Write([]string{escapeFormula(r.Job), escapeFormula(r.Ticket), escapeFormula(r.Team), escapeFormula(r.Class), r.Shape, escapeFormula(r.Image), r.State, escapeFormula(r.Why), n(r.Tasks), n(r.Done), n(r.Running), n(r.Starting), n(r.Waiting), n(r.Failed), n(r.Silent), n(r.Lost),
			strconv.FormatFloat(r.SavedS, 'f', 0, 64), escapeFormula(strings.Join(r.Zones, " ")), at(r.Submitted), at(r.Ended), at(r.AsOf), escapeFormula(r.Node)})
	}
	w.Flush()
	return w.Error()
}

// escapeFormula keeps a table program from taking a name for a formula.
func escapeFormula(s string) string {
	if s != "" && strings.ContainsRune("=+-@\t\r", rune(s[0])) {
		return "'" + s
	}
	return s
}

// Change is what differs of a job between two reports.
type Change struct {
	Job, Team, Class, Was, Is, Why string
}

// Compare tells what has changed since an earlier report: jobs whose state is another,
// those that are new, and those of which the later one knows nothing any more.
func Compare(old, now *Data) []Change {
	was := map[string]*ledger.Row{}
	for i := range old.Rows {
		was[old.Rows[i].Job] = &old.Rows[i]
	}
	var out []Change
	for i := range now.Rows {
		r := &now.Rows[i]
		o := was[r.Job]
		delete(was, r.Job)
		switch {
		case o == nil:
			out = append(out, Change{r.Job, r.Team, r.Class, "", r.State, r.Why})
		case o.State != r.State:
			out = append(out, Change{r.Job, r.Team, r.Class, o.State, r.State, r.Why})
		}
	}
	for _, o := range was {
		out = append(out, Change{o.Job, o.Team, o.Class, o.State, "", "not in the later report"})
	}
	slices.SortFunc(out, func(a, b Change) int {
		return cmp.Or(stateRank(a.Is)-stateRank(b.Is), cmp.Compare(a.Job, b.Job))
	})
	return out
}

// Summary say in plain words how things stand.
func (d *Data) Summary() []string {
	if d.Lost != "" {
		return []string{"Nothing is known of this site: " + d.Lost + ". It is not said to be fine."}
	}
	n := func(state string) int { return d.JobsByState[state] }
	jobs := func(c int, is, are string) string {
		if c == 1 {
			return "1 job " + is
		}
		return fmt.Sprintf("%s jobs %s", thousands(c), are)
	}
	var out []string
	if len(d.Unknown) > 0 || n(ledger.Unknown) > 0 {
		out = append(out, jobs(n(ledger.Unknown), "is not known", "are not known")+": who could tell does not answer. It is not said to be fine.")
	}
	if n(ledger.Stuck) > 0 {
		out = append(out, jobs(n(ledger.Stuck), "is stuck", "are stuck")+teamsWithJobsIn(d, ledger.Stuck)+".")
	} else if n(ledger.Unknown) > 0 {
		out = append(out, "Of what is known nothing is stuck.")
	} else {
		out = append(out, "Nothing is stuck.")
	}
	out = append(out, fmt.Sprintf("%s, %s for machines, %s being started, %s being stopped.", jobs(n(ledger.Running), "runs", "run"), thousands(n(ledger.Waiting))+" wait", thousands(n(ledger.Starting))+" are", thousands(n(ledger.Stopping))+" are"))
	out = append(out, fmt.Sprintf("Since %s: %s done, %s withdrawn by their users, %s failed.", formatTime(d.RememberedSince), thousands(n(ledger.Done)), thousands(n(ledger.Withdrawn)), thousands(n(ledger.Failed))))
	return out
}

// teamsWithJobsIn names the teams with jobs in a state.
func teamsWithJobsIn(d *Data, state string) string {
	var names []string
	for t, s := range d.Teams {
		if s[state] > 0 {
			names = append(names, t)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(d.Teams[b][state]-d.Teams[a][state], cmp.Compare(a, b)) })
	if len(names) == 0 {
		return ""
	}
	out := ", of " + strings.Join(names[:min(len(names), 5)], ", ")
	if len(names) > 5 {
		out += fmt.Sprintf(" and %d more teams", len(names)-5)
	}
	return out
}

func thousands(n int) string {
	s := strconv.Itoa(n)
	for i := len(s) - 3; i > 0 && s[i-1] != '-'; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return s
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05 UTC") }

// HTML writes the page of one site: readable without scripts, on a phone and printed.
func (d *Data) HTML(out io.Writer) error { return HTML(out, d) }

// HTML writes a page of several sites.
func HTML(out io.Writer, sites ...*Data) error {
	var bodies []map[string]any
	for i, d := range sites {
		bodies = append(bodies, d.templateData(i))
	}
	return page.Execute(out, map[string]any{"Sites": bodies, "Many": len(sites) > 1, "AsOf": formatTime(sites[0].AsOf)})
}

// templateData is what the page's template shows of one site.
func (d *Data) templateData(site int) map[string]any {
	type group struct {
		State string
		Rows  []ledger.Row
	}
	var groups []group
	for _, s := range ledger.States {
		g := group{State: s}
		for _, r := range d.Rows {
			if r.State == s {
				g.Rows = append(g.Rows, r)
			}
		}
		if g.Rows != nil {
			groups = append(groups, g)
		}
	}
	var plots []template.HTML
	for _, p := range []struct {
		title string
		lines []curve
	}{
		{"Tasks", []curve{{"running", "#2b6", func(s *ledger.Sample) int { return s.Running }}, {"waiting", "#c80", func(s *ledger.Sample) int { return s.Waiting }}}},
		{"Machines", []curve{{"up", "#27c", func(s *ledger.Sample) int { return s.Machines }}, {"silent", "#c33", func(s *ledger.Sample) int { return s.Silent }}}},
		{"Jobs stuck, runs lost", []curve{{"stuck", "#a3a", func(s *ledger.Sample) int { return s.Stuck }}, {"lost", "#c33", func(s *ledger.Sample) int { return s.Lost }}}},
	} {
		if len(d.Samples) > 1 {
			plots = append(plots, plot(p.title, d.Samples, p.lines))
		}
	}
	id := ""
	if site > 0 {
		id = strconv.Itoa(site) + "-"
	}
	return map[string]any{"D": d, "Words": d.Summary(), "Groups": groups, "Plots": plots, "AsOf": formatTime(d.AsOf), "States": ledger.States,
		"Teams": sumTable(d.Teams), "Classes": sumTable(d.Classes), "ID": id}
}

// tableRow is a line of sums.
type tableRow struct {
	Name string
	Sums []int
}

func sumTable(m map[string]map[string]int) (out []tableRow) {
	for name, sums := range m {
		r := tableRow{Name: name}
		for _, s := range ledger.States {
			r.Sums = append(r.Sums, sums[s])
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b tableRow) int {
		return cmp.Or(b.Sums[0]-a.Sums[0], b.Sums[1]-a.Sums[1], cmp.Compare(a.Name, b.Name))
	})
	return out
}

var page = template.Must(template.New("report").Funcs(template.FuncMap{"clock": func(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format("01-02 15:04:05")
}, "join": strings.Join, "n": thousands, "len": func(r []ledger.Row) int { return len(r) }}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">
<title>dapplestage: what ran, what did not ({{.AsOf}})</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;margin:1em auto;max-width:72em;padding:0 .8em;color:#222;background:#fff}
h1{font-size:1.4em;margin:.2em 0}h2{font-size:1.1em;margin:1.4em 0 .4em}
.words p{font-size:1.1em;margin:.3em 0}.bad{background:#fde8e8;border-left:4px solid #c33;padding:.4em .7em;margin:.4em 0}
.scroll{overflow-x:auto}table{border-collapse:collapse;font-size:.9em;width:100%}
th,td{padding:.2em .5em;border-bottom:1px solid #ddd;text-align:left;vertical-align:top}th{background:#f3f3f3;position:sticky;top:0}
td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}.z{color:#bbb}
.stuck{background:#fbe3fb}.unknown{background:#fde8e8}.failed{background:#fff0e0}
.plots{display:flex;flex-wrap:wrap;gap:1em}.plots figure{margin:0;flex:1 1 20em}svg{max-width:100%;height:auto}
nav a{margin-right:1em}summary{cursor:pointer;font-weight:600;margin:.6em 0}input{font:inherit;padding:.2em .4em;width:16em;max-width:100%}
@media print{details{display:block}details>*{display:block!important}nav,input{display:none}th{position:static}body{max-width:none}}
</style></head><body>
{{if .Many}}<h1>What ran, what did not: {{range $i, $s := .Sites}}{{if $i}}, {{end}}{{$s.D.Site}}{{end}}</h1>
{{range .Sites}}<div class="words"><h2>{{.D.Site}}</h2>{{range .Words}}<p>{{.}}</p>{{end}}</div>{{end}}{{end}}
{{range .Sites}}{{$id := .ID}}
<h1>{{with .D.Site}}{{.}}: {{end}}what ran, what did not</h1>
{{if .D.Lost}}<div class="bad"><b>Not known:</b> {{.D.Lost}} (asked {{.AsOf}})</div>{{else}}
<p>As of {{.AsOf}}, told by {{.D.Node}}.{{if .D.Since}} Only jobs that changed since {{clock .D.Since}}.{{end}}{{if gt .D.StateAge 3.0}} <b>The state service last answered {{printf "%.0f" .D.StateAge}} s before.</b>{{end}}</p>
<div class="words">{{range .Words}}<p>{{.}}</p>{{end}}</div>
{{if .D.Unknown}}<div class="bad"><b>Not known:</b><ul>{{range .D.Unknown}}<li>{{.}}</li>{{end}}</ul></div>{{end}}
<nav>{{range .Groups}}<a href="#{{$id}}{{.State}}">{{.State}} {{n (len .Rows)}}</a>{{end}}</nav>
<h2>Whose work</h2><div class="scroll"><table><tr><th>team{{range .States}}<th class="n">{{.}}{{end}}</tr>
{{range .Teams}}<tr><td>{{.Name}}{{range .Sums}}<td class="n{{if not .}} z{{end}}">{{n .}}{{end}}</tr>{{end}}</table></div>
<h2>Which classes</h2><div class="scroll"><table><tr><th>class{{range .States}}<th class="n">{{.}}{{end}}</tr>
{{range .Classes}}<tr><td>{{.Name}}{{range .Sums}}<td class="n{{if not .}} z{{end}}">{{n .}}{{end}}</tr>{{end}}</table></div>
<h2>Machines</h2><div class="scroll"><table><tr><th>zone<th class="n">up<th class="n">booting<th class="n">drained<th class="n">silent<th class="n">not known<th class="n">GPUs used<th class="n">of</tr>
{{range $z, $s := .D.Zones}}<tr{{if or $s.Silent $s.Unknown}} class="unknown"{{end}}><td>{{$z}}<td class="n">{{n $s.Up}}<td class="n">{{n $s.Booting}}<td class="n">{{n $s.Drained}}<td class="n">{{n $s.Silent}}<td class="n">{{n $s.Unknown}}<td class="n">{{$s.Used}}<td class="n">{{$s.GPUs}}</tr>{{end}}</table></div>
{{if .Plots}}<h2>The last hours</h2><div class="plots">{{range .Plots}}<figure>{{.}}</figure>{{end}}</div>{{end}}
<h2>Jobs</h2>{{if .D.Left}}<p class="bad">{{n .D.Left}} more are not on this page: ask for a team, a class or a shorter time.</p>{{end}}
<p><input class="f" placeholder="filter" hidden></p>
{{range .Groups}}<details id="{{$id}}{{.State}}"{{if or (eq .State "stuck") (eq .State "unknown") (eq .State "failed") (eq .State "waiting")}} open{{end}}><summary>{{.State}}: {{n (len .Rows)}}</summary>
<div class="scroll"><table><thead><tr><th>job<th>team<th>class<th class="n">tasks<th class="n">done<th class="n">running<th class="n">waiting<th class="n">lost<th>where<th>since<th>why</tr></thead><tbody>
{{range .Rows}}<tr class="{{.State}}"><td>{{.Job}}{{with .Ticket}} (of {{.}}){{end}}<td>{{.Team}}<td>{{.Class}}<td class="n">{{n .Tasks}}<td class="n">{{n .Done}}<td class="n">{{n .Running}}<td class="n">{{n .Waiting}}<td class="n">{{if .Lost}}{{n .Lost}}{{end}}<td>{{join .Zones ", "}}<td>{{clock .Since}}<td>{{.Why}}{{if .SavedS}} (saved up to {{printf "%.0f" .SavedS}} s){{end}}
{{end}}</tbody></table></div></details>
{{end}}{{end}}{{end}}
<script>
"use strict";document.querySelectorAll(".f").forEach(function(f){f.hidden=false;f.oninput=function(){var t=f.value.toLowerCase();document.querySelectorAll("tbody tr").forEach(function(r){r.hidden=t&&r.textContent.toLowerCase().indexOf(t)<0})}});
document.querySelectorAll("th").forEach(function(h){h.onclick=function(){var i=[].indexOf.call(h.parentNode.children,h),b=h.closest("table").tBodies[0];if(!b)return;
var rows=[].slice.call(b.rows).filter(function(r){return !r.contains(h)}),d=h.dataset.d=h.dataset.d==="1"?"-1":"1";
rows.sort(function(x,y){var a=x.cells[i].textContent,c=y.cells[i].textContent,m=parseFloat(a.replace(/,/g,"")),n=parseFloat(c.replace(/,/g,""));return d*(isNaN(m)||isNaN(n)?a.localeCompare(c):m-n)});
rows.forEach(function(r){b.appendChild(r)})}});
</script></body></html>
`))
