package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// States of a job in the account. Each job is in exactly one.
const (
	Waiting   = "waiting"  // accepted, and nothing of it has a machine
	Starting  = "starting" // machines are given, nothing runs yet
	Running   = "running"  // some of it runs
	Stuck     = "stuck"    // it does not get on as it should
	Stopping  = "stopping" // cancelled or failed, and something of it still runs
	Unknown   = "unknown"  // who could tell does not answer
	Done      = "done"
	Withdrawn = "withdrawn"
	Failed    = "failed" // a ticket
)

// States are all of them, those that want looking at first.
var States = []string{Stuck, Unknown, Waiting, Starting, Running, Stopping, Failed, Withdrawn, Done}

// IsFinal says whether a state is final.
func IsFinal(state string) bool { return state == Done || state == Withdrawn || state == Failed }

// Row is one job.
type Row struct {
	Job       string   `json:"job"`
	Ticket    string   `json:"ticket,omitempty"`
	Team      string   `json:"team"`
	Class     string   `json:"class"`
	Shape     string   `json:"shape"`
	Image     string   `json:"image,omitempty"`
	State     string   `json:"state"`
	Why       string   `json:"why,omitempty"` // it waits, is stuck, or is not known
	Tasks     int      `json:"tasks"`
	Done      int      `json:"done"`
	Running   int      `json:"running"`
	Starting  int      `json:"starting"`
	Waiting   int      `json:"waiting"`
	Failed    int      `json:"failed,omitempty"`
	Silent    int      `json:"silent,omitempty"` // tasks on machines that are not heard
	Lost      int      `json:"lost,omitempty"`   // runs that were lost with their machine or lease
	LostMS    int64    `json:"lost_ms,omitempty"`
	Zones     []string `json:"zones,omitempty"` // where it is now
	Machines  []string `json:"machines,omitempty"`
	SavedS    float64  `json:"saved_s,omitempty"` // of the longest run, by its saves: at least
	Submitted int64    `json:"submitted_ms"`
	Since     int64    `json:"since_ms,omitempty"` // when its state began, as far as is known
	Ended     int64    `json:"ended_ms,omitempty"`
	Events    []Event  `json:"story,omitempty"` // of a job that was asked for alone: the last of it
	AsOf      int64    `json:"as_of_ms"`        // the moment that the row is true for
	Node      string   `json:"node"`            // that told it
}

// Event is something that happened to a job, as the node that tells it saw it.
type Event struct {
	AtMS int64  `json:"t"`
	Text string `json:"e"`
}

// MaxEvents bounds what is remembered of an open job.
const MaxEvents = 12

// Query chooses rows.
type Query struct {
	State, Team, Class, Zone, Image string
	Text                            string // in the job's id, ticket, class or team
	Since                           int64  // ms: ended, lost or submitted since then
	After                           string // rows after this job
	Limit                           int
}

// MaxRows bounds a page.
const MaxRows = 200

// Validate says what is wrong with a query.
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

// Matches says whether a row is chosen, whichever page it is on.
func (q *Query) Matches(r *Row) bool {
	is := func(want, have string) bool { return want == "" || want == have }
	return is(q.State, r.State) && is(q.Team, r.Team) && is(q.Class, r.Class) && is(q.Image, r.Image) && (q.Zone == "" || slices.Contains(r.Zones, q.Zone)) &&
		(q.Text == "" || strings.Contains(r.Job, q.Text) || strings.Contains(r.Ticket, q.Text) || strings.Contains(r.Class, q.Text) || strings.Contains(r.Team, q.Text)) &&
		(q.Since == 0 || r.Ended >= q.Since || r.LostMS >= q.Since || r.Submitted >= q.Since || r.Ended == 0 && r.LostMS == 0)
}

// Page is a part of the account.
type Page struct {
	Node             string                    `json:"node"`
	AsOf             int64                     `json:"as_of_ms"`
	SinceStateAnswer float64                   `json:"state_age_s"`  // since the state service last answered
	RememberedSince  int64                     `json:"remembers_ms"` // what ended before this is not remembered
	JobsByState      map[string]int            `json:"sums"`         // jobs by state, on the page or not
	Teams            map[string]map[string]int `json:"teams"`        // the same by team
	Classes          map[string]map[string]int `json:"classes"`      // the same by class
	Zones            map[string]ZoneSums       `json:"zones"`        // machines by zone
	Rows             []Row                     `json:"rows"`         // by job
	After            string                    `json:"after,omitempty"`
	Unknown          []string                  `json:"unknown,omitempty"` // what is not known, and since when
}

// ZoneSums are machines of a zone.
type ZoneSums struct {
	Up      int     `json:"up"`
	Booting int     `json:"booting"`
	Silent  int     `json:"silent"`
	Drained int     `json:"drained"`
	Unknown int     `json:"unknown"` // of shares whose holder did not answer
	GPUs    float64 `json:"gpus"`
	Used    float64 `json:"gpus_used"`
}

// NewPage makes an empty page.
func NewPage(node string, now time.Time) *Page {
	return &Page{Node: node, AsOf: now.UnixMilli(), JobsByState: map[string]int{}, Teams: map[string]map[string]int{}, Classes: map[string]map[string]int{}, Zones: map[string]ZoneSums{}, Rows: []Row{}}
}

// Add counts a row, and takes it onto the page if the query does. Finish cuts the page.
func (p *Page) Add(q *Query, r Row) {
	p.count(r.State, r.Team, r.Class, 1)
	if r.Job > q.After && q.Matches(&r) {
		p.Rows = append(p.Rows, r)
	}
	// Of thousands only the first by job stay; twice as many as asked for, since some
	// may be there twice.
	if keep := 2*q.Limit + 2; len(p.Rows) > 4*keep {
		slices.SortFunc(p.Rows, byJob)
		clear(p.Rows[keep:])
		p.Rows = p.Rows[:keep]
	}
}

func byJob(a, b Row) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(late(b), late(a)))
}

func (p *Page) count(state, team, class string, n int) {
	p.JobsByState[state] += n
	for by, name := range map[*map[string]map[string]int]string{&p.Teams: team, &p.Classes: class} {
		if (*by)[name] == nil {
			(*by)[name] = map[string]int{}
		}
		(*by)[name][state] += n
	}
}

// Merge takes in another node's part.
func (p *Page) Merge(o *Page) {
	for s, n := range o.JobsByState {
		p.JobsByState[s] += n
	}
	for _, x := range [][2]map[string]map[string]int{{p.Teams, o.Teams}, {p.Classes, o.Classes}} {
		for name, sums := range x[1] {
			if x[0][name] == nil {
				x[0][name] = map[string]int{}
			}
			for s, n := range sums {
				x[0][name][s] += n
			}
		}
	}
	for z, s := range o.Zones {
		p.Zones[z] = p.Zones[z].Add(s)
	}
	p.Rows = append(p.Rows, o.Rows...)
	if o.After != "" && (p.After == "" || o.After < p.After) {
		p.After = o.After // beyond it not all of the other's rows are here
	}
	p.Unknown = append(p.Unknown, o.Unknown...)
	p.SinceStateAnswer = max(p.SinceStateAnswer, o.SinceStateAnswer)
}

// Add adds machines up.
func (z ZoneSums) Add(o ZoneSums) ZoneSums {
	return ZoneSums{z.Up + o.Up, z.Booting + o.Booting, z.Silent + o.Silent, z.Drained + o.Drained, z.Unknown + o.Unknown, z.GPUs + o.GPUs, z.Used + o.Used}
}

// Finish orders the rows and keeps as many as were asked for. Of a job that is there
// twice, since its share went from one node to another meanwhile, the row that is over
// stays, else the later one.
func (p *Page) Finish(q *Query) {
	slices.SortFunc(p.Rows, byJob)
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

// late orders accounts of one job.
func late(r Row) int64 {
	if IsFinal(r.State) {
		return 1<<62 + r.AsOf
	}
	return r.AsOf
}
