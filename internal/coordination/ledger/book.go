package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Entry is what is remembered of a job that ended.
type Entry struct {
	Job, Team, Class, Shape string
	State                   string
	Submitted, Ended        int64 // ms
	Tasks, LostRuns         int

	stored bool // in the state service, as far as this node knows
}

// Row is an entry as a row of the account.
func (e *Entry) Row(node string) Row {
	r := Row{Job: e.Job, Team: e.Team, Class: e.Class, Shape: e.Shape, State: e.State, Tasks: e.Tasks, Lost: e.LostRuns, Submitted: e.Submitted, Ended: e.Ended, AsOf: e.Ended, Since: e.Ended, Node: node}
	if e.LostRuns > 0 {
		r.LostMS = e.Ended
	}
	if e.State == Done {
		r.Done = e.Tasks
	}
	return r
}

// History is a bounded memory of what ended, in the order of its ends.
type History struct {
	most  int
	keep  time.Duration
	byJob map[string]*Entry
	order []*Entry
	since int64 // what ended before is not remembered
}

// NewHistory makes a book of at most so many entries, each kept for so long, that begins
// now.
func NewHistory(most int, keep time.Duration, now time.Time) *History {
	return &History{most: most, keep: keep, byJob: map[string]*Entry{}, since: now.UnixMilli()}
}

// Add remembers an entry. One that is there is only replaced by one that knows more
// losses: every node sees the same end.
func (b *History) Add(e Entry) {
	if old := b.byJob[e.Job]; old != nil {
		old.LostRuns = max(old.LostRuns, e.LostRuns)
		return
	}
	p := &e
	b.byJob[e.Job] = p
	i := len(b.order)
	for i > 0 && b.order[i-1].Ended > e.Ended { // ends come nearly in order
		i--
	}
	b.order = slices.Insert(b.order, i, p)
	for len(b.order) > b.most {
		b.forget()
	}
}

func (b *History) forget() {
	b.since = max(b.since, b.order[0].Ended+1)
	delete(b.byJob, b.order[0].Job)
	b.order[0] = nil
	b.order = b.order[1:]
}

// DropExpired forgets what is too old.
func (b *History) DropExpired(now time.Time) {
	oldest := now.Add(-b.keep).UnixMilli()
	for len(b.order) > 0 && b.order[0].Ended < oldest {
		b.forget()
	}
	b.since = max(b.since, oldest)
}

// RememberedSince is the time before which nothing is remembered.
func (b *History) RememberedSince() int64 { return b.since }

// Len is the number of entries.
func (b *History) Len() int { return len(b.order) }

// Each calls f with every entry, the earliest end first.
func (b *History) Each(f func(*Entry)) {
	for _, e := range b.order {
		f(e)
	}
}

// Segment is a stored part of the book. Names are written once.
type Segment struct {
	EndMS int64     `json:"t"` // ms
	Names []string  `json:"n"`
	Rows  [][]int64 `json:"r"` // team, class, shape, state: indices; submitted before To, ended before To, tasks, lost
	Jobs  []string  `json:"j"`
}

// BeginStoring makes this node the one that stores what ends from now on, and what ended
// within overlap: it does not know where the one before it stopped.
func (b *History) BeginStoring(now time.Time, overlap time.Duration) {
	for _, e := range b.order {
		e.stored = e.Ended < now.Add(-overlap).UnixMilli()
	}
}

// NextSegment takes entries that are not stored yet into a segment that fits a value. done
// is called when that is stored.
func (b *History) NextSegment(now time.Time, most int) (key string, data []byte, done func()) {
	seg := Segment{EndMS: now.UnixMilli()}
	var taken []*Entry
	names := map[string]int64{}
	name := func(s string) int64 {
		i, ok := names[s]
		if !ok {
			i = int64(len(seg.Names))
			names[s] = i
			seg.Names = append(seg.Names, s)
		}
		return i
	}
	size := 200
	for _, e := range b.order {
		if e.stored {
			continue
		}
		size += len(e.Job) + 48
		for _, s := range []string{e.Team, e.Class, e.Shape, e.State} {
			if _, ok := names[s]; !ok {
				size += 2*len(s) + 8 // a name may hold what JSON writes longer
			}
		}
		if size > most {
			break
		}
		taken = append(taken, e)
		seg.Jobs = append(seg.Jobs, e.Job)
		seg.Rows = append(seg.Rows, []int64{name(e.Team), name(e.Class), name(e.Shape), name(e.State), seg.EndMS - e.Submitted, seg.EndMS - e.Ended, int64(e.Tasks), int64(e.LostRuns)})
	}
	if len(seg.Jobs) == 0 {
		return "", nil, func() {}
	}
	data, err := json.Marshal(seg)
	if err != nil {
		return "", nil, func() {}
	}
	return SegmentKey(seg.EndMS), data, func() {
		for _, e := range taken {
			e.stored = true
		}
	}
}

// SegmentKey names a segment by the time of its end, so that old ones sort first.
func SegmentKey(ms int64) string { return fmt.Sprintf("%013d", ms) }

// Load takes in a stored segment. now bounds what it may say.
func (b *History) Load(data []byte, now time.Time) error {
	var s Segment
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	if len(s.Rows) != len(s.Jobs) || s.EndMS > now.Add(time.Hour).UnixMilli() {
		return fmt.Errorf("a segment of %d jobs and %d rows, up to %d", len(s.Jobs), len(s.Rows), s.EndMS)
	}
	for i, r := range s.Rows {
		if len(r) != 8 {
			return fmt.Errorf("row %d has %d fields", i, len(r))
		}
		for _, k := range r[:4] {
			if k < 0 || k >= int64(len(s.Names)) {
				return fmt.Errorf("row %d names what is not there", i)
			}
		}
		b.Add(Entry{Job: s.Jobs[i], Team: s.Names[r[0]], Class: s.Names[r[1]], Shape: s.Names[r[2]], State: s.Names[r[3]],
			Submitted: s.EndMS - r[4], Ended: s.EndMS - r[5], Tasks: int(r[6]), LostRuns: int(r[7])})
	}
	return nil
}

// FinishLoading notes that all stored segments were taken in: the book reaches back as far as
// they do.
func (b *History) FinishLoading(now time.Time) {
	oldest := now.Add(-b.keep).UnixMilli()
	if len(b.order) < b.most {
		b.since = min(b.since, oldest)
	}
	b.DropExpired(now)
}

// Sample is how a node's shares were at a time.
type Sample struct {
	AtMS     int64 `json:"t"`
	Waiting  int   `json:"w"` // tasks
	Running  int   `json:"r"` // tasks
	Machines int   `json:"m"` // up
	Silent   int   `json:"s"`
	Stuck    int   `json:"k"` // jobs
	Lost     int   `json:"l"` // runs, since the last sample
	Ended    int   `json:"e"` // jobs, since the last sample
}

// MaxSamples bounds what a node remembers: six hours of one a minute.
const MaxSamples = 360

// SampleInterval is how long samples are apart.
const SampleInterval = time.Minute

// SumSamples adds up the samples of several nodes by minute.
func SumSamples(all ...[]Sample) []Sample {
	sum := map[int64]Sample{}
	for _, ss := range all {
		for _, s := range ss {
			at := s.AtMS / SampleInterval.Milliseconds()
			t := sum[at]
			sum[at] = Sample{at * SampleInterval.Milliseconds(), t.Waiting + s.Waiting, t.Running + s.Running, t.Machines + s.Machines, t.Silent + s.Silent, t.Stuck + s.Stuck, t.Lost + s.Lost, t.Ended + s.Ended}
		}
	}
	out := make([]Sample, 0, len(sum))
	for _, s := range sum {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Sample) int { return int(a.AtMS - b.AtMS) })
	return out
}
