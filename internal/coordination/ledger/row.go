package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// States of a job in the account. Each job has exactly one.
const (
	Waiting   = "waiting"  // accepted; none of its tasks has a machine
	Starting  = "starting" // tasks have machines, none runs yet
	Running   = "running"  // some of its tasks run
	Stuck     = "stuck"    // it does not make the expected progress
	Stopping  = "stopping" // cancelled or failed, and some of its tasks still run
	Unknown   = "unknown"  // the node or the machines that know do not answer
	Done      = "done"
	Withdrawn = "withdrawn"
	Failed    = "failed" // tickets only
)

// States lists all states, those that need attention first.
var States = []string{Stuck, Unknown, Waiting, Starting, Running, Stopping, Failed, Withdrawn, Done}

// IsFinal reports whether a state is final.
func IsFinal(state string) bool { return state == Done || state == Withdrawn || state == Failed }

// Row is the account of one job.
type Row struct {
	Job       string   `json:"job"`
	Ticket    string   `json:"ticket,omitempty"`
	Team      string   `json:"team"`
	Class     string   `json:"class"`
	Shape     string   `json:"shape"`
	Image     string   `json:"image,omitempty"`
	State     string   `json:"state"`
	Why       string   `json:"why,omitempty"` // why it waits, is stuck, or is unknown
	Tasks     int      `json:"tasks"`
	Done      int      `json:"done"`
	Running   int      `json:"running"`
	Starting  int      `json:"starting"`
	Waiting   int      `json:"waiting"`
	Failed    int      `json:"failed,omitempty"`
	Silent    int      `json:"silent,omitempty"`  // tasks on machines that do not report
	Lost      int      `json:"lost,omitempty"`    // runs lost with their machine or lease
	LostMS    int64    `json:"lost_ms,omitempty"` // ms; when the last run was lost
	Zones     []string `json:"zones,omitempty"`   // zones in which its tasks run now
	Machines  []string `json:"machines,omitempty"`
	SavedS    float64  `json:"saved_s,omitempty"` // s; lower bound of the progress saved by the longest run
	Submitted int64    `json:"submitted_ms"`
	Since     int64    `json:"since_ms,omitempty"` // when its state began, as far as known
	Ended     int64    `json:"ended_ms,omitempty"`
	Events    []Event  `json:"story,omitempty"` // only if one job is requested: its latest events
	AsOf      int64    `json:"as_of_ms"`        // time as of which the row is true
	Node      string   `json:"node"`            // node that made the row
}

// Event is an event of a job, as observed by the node that reports it.
type Event struct {
	AtMS int64  `json:"t"`
	Text string `json:"e"`
}

// MaxEvents bounds the events that are kept for an open job.
const MaxEvents = 12

// Query selects rows.
type Query struct {
	State, Team, Class, Zone, Image string
	Text                            string // substring of the job's id, ticket, class or team
	Since                           int64  // ms; only jobs ended, lost or submitted since then
	After                           string // cursor: only rows after this job
	Limit                           int
}

// MaxRows bounds the rows of a page.
const MaxRows = 200

// Validate returns an error if the query is invalid.
func (q *Query) Validate() error {
	switch {
	case q.State != "" && !slices.Contains(States, q.State):
		return fmt.Errorf("state: must be one of %s", strings.Join(States, ", "))
	case q.Limit < 1 || q.Limit > MaxRows:
		return fmt.Errorf("limit: must be 1 to %d", MaxRows)
	case len(q.Text) > 100:
		return fmt.Errorf("q: must be at most 100 characters")
	}
	return nil
}

// Matches reports whether the query selects a row, on whichever page.
func (q *Query) Matches(r *Row) bool {
	matches := func(want, have string) bool { return want == "" || want == have }
	return matches(q.State, r.State) && matches(q.Team, r.Team) && matches(q.Class, r.Class) && matches(q.Image, r.Image) && (q.Zone == "" || slices.Contains(r.Zones, q.Zone)) &&
		(q.Text == "" || strings.Contains(r.Job, q.Text) || strings.Contains(r.Ticket, q.Text) || strings.Contains(r.Class, q.Text) || strings.Contains(r.Team, q.Text)) &&
		(q.Since == 0 || r.Ended >= q.Since || r.LostMS >= q.Since || r.Submitted >= q.Since || r.Ended == 0 && r.LostMS == 0)
}

// Page is one page of the account.
type Page struct {
	Node             string                    `json:"node"`
	AsOf             int64                     `json:"as_of_ms"`
	SinceStateAnswer float64                   `json:"state_age_s"`  // seconds since the state service last answered
	RememberedSince  int64                     `json:"remembers_ms"` // jobs that ended earlier may be missing
	JobsByState      map[string]int            `json:"sums"`         // of all jobs, not only those on the page
	Teams            map[string]map[string]int `json:"teams"`        // jobs by team and state
	Classes          map[string]map[string]int `json:"classes"`      // jobs by class and state
	Zones            map[string]ZoneSums       `json:"zones"`        // machines by zone
	Rows             []Row                     `json:"rows"`         // sorted by job
	After            string                    `json:"after,omitempty"`
	Unknown          []string                  `json:"unknown,omitempty"` // what is unknown, and since when
}

// ZoneSums counts the machines of a zone.
type ZoneSums struct {
	Up      int     `json:"up"`
	Booting int     `json:"booting"`
	Silent  int     `json:"silent"`
	Drained int     `json:"drained"`
	Unknown int     `json:"unknown"` // machines of partitions whose owner did not answer
	GPUs    float64 `json:"gpus"`
	Used    float64 `json:"gpus_used"`
}

// NewPage returns an empty page.
func NewPage(node string, now time.Time) *Page {
	return &Page{Node: node, AsOf: now.UnixMilli(), JobsByState: map[string]int{}, Teams: map[string]map[string]int{}, Classes: map[string]map[string]int{}, Zones: map[string]ZoneSums{}, Rows: []Row{}}
}

// Add counts a row, and adds it to the page if the query selects it. Finish cuts the page
// to its limit.
func (p *Page) Add(q *Query, r Row) {
	p.count(r.State, r.Team, r.Class, 1)
	if r.Job > q.After && q.Matches(&r) {
		p.Rows = append(p.Rows, r)
	}
	// Only the first rows by job are kept: twice the limit, because a job may have two
	// rows.
	if keep := 2*q.Limit + 2; len(p.Rows) > 4*keep {
		slices.SortFunc(p.Rows, compareRows)
		clear(p.Rows[keep:])
		p.Rows = p.Rows[:keep]
	}
}

// compareRows orders rows by job, then by precedence, the highest first.
func compareRows(a, b Row) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(precedence(b), precedence(a)))
}

// count adds n to the number of jobs in a state, in total and by team and class.
func (p *Page) count(state, team, class string, n int) {
	p.JobsByState[state] += n
	for by, name := range map[*map[string]map[string]int]string{&p.Teams: team, &p.Classes: class} {
		if (*by)[name] == nil {
			(*by)[name] = map[string]int{}
		}
		(*by)[name][state] += n
	}
}

// Merge adds another node's part of the account.
func (p *Page) Merge(other *Page) {
	for s, n := range other.JobsByState {
		p.JobsByState[s] += n
	}
	for _, pair := range [][2]map[string]map[string]int{{p.Teams, other.Teams}, {p.Classes, other.Classes}} {
		for name, sums := range pair[1] {
			if pair[0][name] == nil {
				pair[0][name] = map[string]int{}
			}
			for s, n := range sums {
				pair[0][name][s] += n
			}
		}
	}
	for z, s := range other.Zones {
		p.Zones[z] = p.Zones[z].Add(s)
	}
	p.Rows = append(p.Rows, other.Rows...)
	if other.After != "" && (p.After == "" || other.After < p.After) {
		p.After = other.After // the other page has no rows beyond this job
	}
	p.Unknown = append(p.Unknown, other.Unknown...)
	p.SinceStateAnswer = max(p.SinceStateAnswer, other.SinceStateAnswer)
}

// Add returns the sum of two counts.
func (z ZoneSums) Add(other ZoneSums) ZoneSums {
	return ZoneSums{z.Up + other.Up, z.Booting + other.Booting, z.Silent + other.Silent, z.Drained + other.Drained, z.Unknown + other.Unknown, z.GPUs + other.GPUs, z.Used + other.Used}
}

// Finish sorts the rows and cuts the page to the limit of the query. A job has two rows if
// its partition moved from one node to another meanwhile; then a final row is kept,
// otherwise the later one.
func (p *Page) Finish(q *Query) {
	slices.SortFunc(p.Rows, compareRows)
	kept := p.Rows[:0]
	for _, r := range p.Rows {
		if len(kept) > 0 && kept[len(kept)-1].Job == r.Job {
			p.count(r.State, r.Team, r.Class, -1)
			continue
		}
		kept = append(kept, r)
	}
	p.Rows = kept
	if p.After != "" {
		p.Rows = p.Rows[:slices.IndexFunc(append(slices.Clone(p.Rows), Row{Job: "\xff"}), func(r Row) bool { return r.Job > p.After })]
	}
	if len(p.Rows) > q.Limit {
		p.Rows = p.Rows[:q.Limit]
		p.After = p.Rows[q.Limit-1].Job
	}
	slices.Sort(p.Unknown)
}

// precedence orders two rows of one job: final rows come before others, then later rows
// before earlier ones.
func precedence(r Row) int64 {
	if IsFinal(r.State) {
		return 1<<62 + r.AsOf
	}
	return r.AsOf
}
