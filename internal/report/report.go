// Package report renders the account of a site's jobs for people: as one self-contained
// HTML page, as CSV, as a summary in words, and as the changes between two reports. Its
// callers fetch the data from the controllers; the package itself makes no requests.
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

// Data is the content of a report on one site.
type Data struct {
	Site            string                     `json:"site,omitempty"`
	Node            string                     `json:"node"` // node that answered
	AsOf            int64                      `json:"as_of_ms"`
	RememberedSince int64                      `json:"remembers_ms"`       // jobs that ended before are not included
	StateAge        float64                    `json:"state_age_s"`        // oldest last answer of the state service to the node, in seconds
	Since           int64                      `json:"since_ms,omitempty"` // only rows that changed since then; 0: all
	JobsByState     map[string]int             `json:"sums"`
	Teams           map[string]map[string]int  `json:"teams"`   // by team and state
	Classes         map[string]map[string]int  `json:"classes"` // by class and state
	Zones           map[string]ledger.ZoneSums `json:"zones"`
	Rows            []ledger.Row               `json:"rows"`
	Left            int                        `json:"left_out,omitempty"` // number of rows beyond the limit
	Samples         []ledger.Sample            `json:"samples"`
	Unknown         []string                   `json:"unknown,omitempty"`   // what is not known, and for how long
	Lost            string                     `json:"not_known,omitempty"` // why nothing is known of the site; empty: the rest is valid
}

// UnreachableSite returns the report on a site that does not answer.
func UnreachableSite(name string, now time.Time, err error) *Data {
	return &Data{Site: name, AsOf: now.UnixMilli(), Lost: err.Error(), JobsByState: map[string]int{}}
}

// MaxRows limits the rows of a report.
const MaxRows = 20000

// FetchPage returns the page of the account that starts after a job.
type FetchPage func(after string) (*ledger.Page, error)

// Collect builds a report from pages. It stops fetching once it has maxRows rows. The sums
// are those of the first page; the caller can replace them by those of the rows with
// Recount, so that each job counts once however long fetching took.
func Collect(fetch FetchPage, samples []ledger.Sample, maxRows int) (*Data, error) {
	var data *Data
	for after := ""; ; {
		page, err := fetch(after)
		if err != nil {
			return nil, err
		}
		if data == nil {
			data = &Data{Node: page.Node, AsOf: page.AsOf, RememberedSince: page.RememberedSince, JobsByState: page.JobsByState, Teams: page.Teams, Classes: page.Classes, Zones: page.Zones, Samples: samples}
		}
		data.StateAge = max(data.StateAge, page.SinceStateAnswer)
		for _, unknown := range page.Unknown {
			if !slices.ContainsFunc(data.Unknown, func(known string) bool { return withoutNumbers(known) == withoutNumbers(unknown) }) {
				data.Unknown = append(data.Unknown, unknown)
			}
		}
		data.Rows = append(data.Rows, page.Rows...)
		if page.After == "" || page.After == after {
			break
		}
		if after = page.After; len(data.Rows) >= maxRows {
			total := 0
			for _, n := range data.JobsByState {
				total += n
			}
			data.Left = max(1, total-len(data.Rows))
			break
		}
	}
	slices.SortStableFunc(data.Rows, func(a, b ledger.Row) int {
		return cmp.Or(stateRank(a.State)-stateRank(b.State), cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.Job, b.Job))
	})
	return data, nil
}

// withoutNumbers removes the numbers from a text on what is not known: each page repeats it
// with another duration.
func withoutNumbers(unknown string) string {
	return strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r == '.' {
			return -1
		}
		return r
	}, unknown)
}

// stateRank returns the position of a state in the report.
func stateRank(state string) int { return slices.Index(ledger.States, state) }

// Recount recomputes the sums from the rows, so that each job is counted in exactly one
// state.
func (d *Data) Recount() {
	d.JobsByState, d.Teams, d.Classes = map[string]int{}, map[string]map[string]int{}, map[string]map[string]int{}
	for i := range d.Rows {
		row := &d.Rows[i]
		d.JobsByState[row.State]++
		for by, name := range map[*map[string]map[string]int]string{&d.Teams: row.Team, &d.Classes: row.Class} {
			if (*by)[name] == nil {
				(*by)[name] = map[string]int{}
			}
			(*by)[name][row.State]++
		}
	}
}

// KeepJobs removes all rows but those of the given jobs, and returns the jobs that have no
// row.
func (d *Data) KeepJobs(ids []string) (missing []string) {
	index := map[string]int{}
	for i := range d.Rows {
		index[d.Rows[i].Job] = i + 1
	}
	var rows []ledger.Row
	for _, id := range ids {
		if i := index[id]; i > 0 {
			rows = append(rows, d.Rows[i-1])
		} else {
			missing = append(missing, id)
		}
	}
	d.Rows, d.Left = rows, 0
	d.Recount()
	return missing
}

// CSV writes one line per job.
func (d *Data) CSV(out io.Writer) error {
	writer := csv.NewWriter(out)
	writer.Write([]string{"job", "ticket", "team", "class", "shape", "image", "state", "why", "tasks", "done", "running", "starting", "waiting", "failed", "silent", "lost", "saved_s", "zones", "submitted", "ended", "as_of", "node"})
	timestamp := func(ms int64) string {
		if ms == 0 {
			return ""
		}
		return time.UnixMilli(ms).UTC().Format(time.RFC3339)
	}
	for _, row := range d.Rows {
		itoa := strconv.Itoa
		writer.Write([]string{escapeFormula(row.Job), escapeFormula(row.Ticket), escapeFormula(row.Team), escapeFormula(row.Class), row.Shape, escapeFormula(row.Image), row.State, escapeFormula(row.Why), itoa(row.Tasks), itoa(row.Done), itoa(row.Running), itoa(row.Starting), itoa(row.Waiting), itoa(row.Failed), itoa(row.Silent), itoa(row.Lost),
			strconv.FormatFloat(row.SavedS, 'f', 0, 64), escapeFormula(strings.Join(row.Zones, " ")), timestamp(row.Submitted), timestamp(row.Ended), timestamp(row.AsOf), escapeFormula(row.Node)})
	}
	writer.Flush()
	return writer.Error()
}

// escapeFormula prevents a spreadsheet from evaluating a name as a formula.
func escapeFormula(s string) string {
	if s != "" && strings.ContainsRune("=+-@\t\r", rune(s[0])) {
		return "'" + s
	}
	return s
}

// Change is a difference between two reports in the state of a job. Was is empty for a new
// job, Is for one that the later report does not have.
type Change struct {
	Job, Team, Class, Was, Is, Why string
}

// Compare returns the changes since an earlier report: jobs whose state has changed, new
// jobs, and jobs that the later report does not have.
func Compare(before, after *Data) []Change {
	byJob := map[string]*ledger.Row{}
	for i := range before.Rows {
		byJob[before.Rows[i].Job] = &before.Rows[i]
	}
	var out []Change
	for i := range after.Rows {
		row := &after.Rows[i]
		earlier := byJob[row.Job]
		delete(byJob, row.Job)
		switch {
		case earlier == nil:
			out = append(out, Change{row.Job, row.Team, row.Class, "", row.State, row.Why})
		case earlier.State != row.State:
			out = append(out, Change{row.Job, row.Team, row.Class, earlier.State, row.State, row.Why})
		}
	}
	for _, earlier := range byJob {
		out = append(out, Change{earlier.Job, earlier.Team, earlier.Class, earlier.State, "", "not in the later report"})
	}
	slices.SortFunc(out, func(a, b Change) int {
		return cmp.Or(stateRank(a.Is)-stateRank(b.Is), cmp.Compare(a.Job, b.Job))
	})
	return out
}

// Summary describes the state of the site in a few sentences. What is not known comes first
// and is never reported as healthy.
func (d *Data) Summary() []string {
	if d.Lost != "" {
		return []string{"Nothing is known of this site: " + d.Lost + ". It is not said to be fine."}
	}
	count := func(state string) int { return d.JobsByState[state] }
	describeJobs := func(count int, singular, plural string) string {
		if count == 1 {
			return "1 job " + singular
		}
		return fmt.Sprintf("%s jobs %s", thousands(count), plural)
	}
	var out []string
	if len(d.Unknown) > 0 || count(ledger.Unknown) > 0 {
		out = append(out, describeJobs(count(ledger.Unknown), "is not known", "are not known")+": who could tell does not answer. It is not said to be fine.")
	}
	if count(ledger.Stuck) > 0 {
		out = append(out, describeJobs(count(ledger.Stuck), "is stuck", "are stuck")+teamsWithJobsIn(d, ledger.Stuck)+".")
	} else if count(ledger.Unknown) > 0 {
		out = append(out, "Of what is known nothing is stuck.")
	} else {
		out = append(out, "Nothing is stuck.")
	}
	out = append(out, fmt.Sprintf("%s, %s for machines, %s being started, %s being stopped.", describeJobs(count(ledger.Running), "runs", "run"), thousands(count(ledger.Waiting))+" wait", thousands(count(ledger.Starting))+" are", thousands(count(ledger.Stopping))+" are"))
	out = append(out, fmt.Sprintf("Since %s: %s done, %s withdrawn by their users, %s failed.", formatTime(d.RememberedSince), thousands(count(ledger.Done)), thousands(count(ledger.Withdrawn)), thousands(count(ledger.Failed))))
	return out
}

// teamsWithJobsIn lists up to five teams with jobs in a state, those with the most jobs
// first.
func teamsWithJobsIn(d *Data, state string) string {
	var names []string
	for team, sums := range d.Teams {
		if sums[state] > 0 {
			names = append(names, team)
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

// thousands formats a number with commas.
func thousands(n int) string {
	s := strconv.Itoa(n)
	for i := len(s) - 3; i > 0 && s[i-1] != '-'; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return s
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05 UTC") }

// HTML writes the page of one site. It is readable without scripts, on a phone and in
// print.
func (d *Data) HTML(out io.Writer) error { return HTML(out, d) }

// HTML writes the page of several sites.
func HTML(out io.Writer, sites ...*Data) error {
	var bodies []map[string]any
	for i, data := range sites {
		bodies = append(bodies, data.templateData(i))
	}
	return page.Execute(out, map[string]any{"Sites": bodies, "Many": len(sites) > 1, "AsOf": formatTime(sites[0].AsOf)})
}

// templateData returns the values that the page's template uses for one site.
func (d *Data) templateData(site int) map[string]any {
	type group struct {
		State string
		Rows  []ledger.Row
	}
	var groups []group
	for _, state := range ledger.States {
		stateGroup := group{State: state}
		for _, row := range d.Rows {
			if row.State == state {
				stateGroup.Rows = append(stateGroup.Rows, row)
			}
		}
		if stateGroup.Rows != nil {
			groups = append(groups, stateGroup)
		}
	}
	var plots []template.HTML
	for _, chart := range []struct {
		title  string
		curves []curve
	}{
		{"Tasks", []curve{{"running", "#2b6", func(sample *ledger.Sample) int { return sample.Running }}, {"waiting", "#c80", func(sample *ledger.Sample) int { return sample.Waiting }}}},
		{"Machines", []curve{{"up", "#27c", func(sample *ledger.Sample) int { return sample.Machines }}, {"silent", "#c33", func(sample *ledger.Sample) int { return sample.Silent }}}},
		{"Jobs stuck, runs lost", []curve{{"stuck", "#a3a", func(sample *ledger.Sample) int { return sample.Stuck }}, {"lost", "#c33", func(sample *ledger.Sample) int { return sample.Lost }}}},
	} {
		if len(d.Samples) > 1 {
			plots = append(plots, plot(chart.title, d.Samples, chart.curves))
		}
	}
	id := ""
	if site > 0 {
		id = strconv.Itoa(site) + "-"
	}
	return map[string]any{"D": d, "Words": d.Summary(), "Groups": groups, "Plots": plots, "AsOf": formatTime(d.AsOf), "States": ledger.States,
		"Teams": sumTable(d.Teams), "Classes": sumTable(d.Classes), "ID": id}
}

// tableRow is a row of a table of sums, one per state.
type tableRow struct {
	Name string
	Sums []int
}

// sumTable returns the rows of a table of sums, those with the most jobs in the first two
// states first.
func sumTable(sumsByName map[string]map[string]int) (out []tableRow) {
	for name, sums := range sumsByName {
		row := tableRow{Name: name}
		for _, state := range ledger.States {
			row.Sums = append(row.Sums, sums[state])
		}
		out = append(out, row)
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
