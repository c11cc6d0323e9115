package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Entry is an ended job in the history.
type Entry struct {
	Job, Team, Class, Shape string
	State                   string
	Submitted, Ended        int64 // ms
	Tasks, LostRuns         int

	stored bool // in the state service, as far as this node knows
}

// Row returns the entry as a row of the account.
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

// History keeps a bounded number of ended jobs, ordered by the time of their end.
type History struct {
	maxEntries      int
	retention       time.Duration
	byJob           map[string]*Entry
	byEnd           []*Entry
	rememberedSince int64 // ms; jobs that ended earlier may be missing
}

// NewHistory returns an empty history of at most maxEntries, each kept for the retention
// time, that starts now.
func NewHistory(maxEntries int, retention time.Duration, now time.Time) *History {
	return &History{maxEntries: maxEntries, retention: retention, byJob: map[string]*Entry{}, rememberedSince: now.UnixMilli()}
}

// Add adds an entry. Every node sees the same end of a job, so of a second entry only a
// higher number of lost runs is used.
func (h *History) Add(e Entry) {
	if old := h.byJob[e.Job]; old != nil {
		old.LostRuns = max(old.LostRuns, e.LostRuns)
		return
	}
	p := &e
	h.byJob[e.Job] = p
	i := len(h.byEnd)
	for i > 0 && h.byEnd[i-1].Ended > e.Ended { // entries arrive nearly in the order of their ends
		i--
	}
	h.byEnd = slices.Insert(h.byEnd, i, p)
	for len(h.byEnd) > h.maxEntries {
		h.dropOldest()
	}
}

// dropOldest drops the entry with the earliest end.
func (h *History) dropOldest() {
	h.rememberedSince = max(h.rememberedSince, h.byEnd[0].Ended+1)
	delete(h.byJob, h.byEnd[0].Job)
	h.byEnd[0] = nil
	h.byEnd = h.byEnd[1:]
}

// DropExpired drops the entries that are older than the retention time.
func (h *History) DropExpired(now time.Time) {
	oldest := now.Add(-h.retention).UnixMilli()
	for len(h.byEnd) > 0 && h.byEnd[0].Ended < oldest {
		h.dropOldest()
	}
	h.rememberedSince = max(h.rememberedSince, oldest)
}

// RememberedSince returns the time before which ended jobs may be missing.
func (h *History) RememberedSince() int64 { return h.rememberedSince }

// Len returns the number of entries.
func (h *History) Len() int { return len(h.byEnd) }

// Each calls visit for every entry, the earliest end first.
func (h *History) Each(visit func(*Entry)) {
	for _, e := range h.byEnd {
		visit(e)
	}
}

// Segment is a stored part of the history. Repeated names are stored once.
type Segment struct {
	EndMS int64     `json:"t"` // ms; when the segment was written
	Names []string  `json:"n"`
	Rows  [][]int64 `json:"r"` // indices of team, class, shape and state in Names; submitted and ended, as ms before EndMS; tasks; lost runs
	Jobs  []string  `json:"j"`
}

// BeginStoring makes this node the one that stores ended jobs: those that end from now on
// and those that ended within overlap, because the last job that the previous node stored
// is unknown.
func (h *History) BeginStoring(now time.Time, overlap time.Duration) {
	for _, e := range h.byEnd {
		e.stored = e.Ended < now.Add(-overlap).UnixMilli()
	}
}

// NextSegment encodes entries that are not stored yet as a segment of at most maxBytes.
// The caller calls done when the segment is stored. key is empty if there is nothing to
// store.
func (h *History) NextSegment(now time.Time, maxBytes int) (key string, data []byte, done func()) {
	seg := Segment{EndMS: now.UnixMilli()}
	var included []*Entry
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
	for _, e := range h.byEnd {
		if e.stored {
			continue
		}
		size += len(e.Job) + 48
		for _, s := range []string{e.Team, e.Class, e.Shape, e.State} {
			if _, ok := names[s]; !ok {
				size += 2*len(s) + 8 // JSON may escape characters of a name
			}
		}
		if size > maxBytes {
			break
		}
		included = append(included, e)
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
		for _, e := range included {
			e.stored = true
		}
	}
}

// SegmentKey returns the key of a segment by the time of its end, so that older segments
// sort first.
func SegmentKey(ms int64) string { return fmt.Sprintf("%013d", ms) }

// Load adds a stored segment. A segment that ends more than an hour after now is rejected.
func (h *History) Load(data []byte, now time.Time) error {
	var segment Segment
	if err := json.Unmarshal(data, &segment); err != nil {
		return err
	}
	if len(segment.Rows) != len(segment.Jobs) || segment.EndMS > now.Add(time.Hour).UnixMilli() {
		return fmt.Errorf("a segment of %d jobs and %d rows, up to %d", len(segment.Jobs), len(segment.Rows), segment.EndMS)
	}
	for i, row := range segment.Rows {
		if len(row) != 8 {
			return fmt.Errorf("row %d has %d fields", i, len(row))
		}
		for _, k := range row[:4] {
			if k < 0 || k >= int64(len(segment.Names)) {
				return fmt.Errorf("row %d refers to a missing name", i)
			}
		}
		h.Add(Entry{Job: segment.Jobs[i], Team: segment.Names[row[0]], Class: segment.Names[row[1]], Shape: segment.Names[row[2]], State: segment.Names[row[3]],
			Submitted: segment.EndMS - row[4], Ended: segment.EndMS - row[5], Tasks: int(row[6]), LostRuns: int(row[7])})
	}
	return nil
}

// FinishLoading records that all stored segments were loaded: the history is then complete
// as far back as the retention time, unless it is full.
func (h *History) FinishLoading(now time.Time) {
	oldest := now.Add(-h.retention).UnixMilli()
	if len(h.byEnd) < h.maxEntries {
		h.rememberedSince = min(h.rememberedSince, oldest)
	}
	h.DropExpired(now)
}

// Sample is a summary of a node's partitions at one time.
type Sample struct {
	AtMS     int64 `json:"t"`
	Waiting  int   `json:"w"` // tasks
	Running  int   `json:"r"` // tasks
	Machines int   `json:"m"` // machines that are up
	Silent   int   `json:"s"` // machines that do not report
	Stuck    int   `json:"k"` // jobs
	Lost     int   `json:"l"` // runs lost since the last sample
	Ended    int   `json:"e"` // jobs ended since the last sample
}

// MaxSamples bounds the samples that a node keeps: six hours at one a minute.
const MaxSamples = 360

// SampleInterval is the time between two samples.
const SampleInterval = time.Minute

// SumSamples adds the samples of several nodes by minute.
func SumSamples(all ...[]Sample) []Sample {
	sum := map[int64]Sample{}
	for _, samples := range all {
		for _, s := range samples {
			minute := s.AtMS / SampleInterval.Milliseconds()
			total := sum[minute]
			sum[minute] = Sample{minute * SampleInterval.Milliseconds(), total.Waiting + s.Waiting, total.Running + s.Running, total.Machines + s.Machines, total.Silent + s.Silent, total.Stuck + s.Stuck, total.Lost + s.Lost, total.Ended + s.Ended}
		}
	}
	summed := make([]Sample, 0, len(sum))
	for _, s := range sum {
		summed = append(summed, s)
	}
	slices.SortFunc(summed, func(a, b Sample) int { return int(a.AtMS - b.AtMS) })
	return summed
}
