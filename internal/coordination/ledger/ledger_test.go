package ledger

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_770_000_000_000)

// Each reason for a stuck job is reported soon after its limit, and not for jobs of a
// class that is known to be slow.
func TestStuckReason(t *testing.T) {
	slow := &RunTimes{}
	for range 10 {
		slow.Observe(100 * time.Second)
	}
	second := time.Second
	for _, c := range []struct {
		facts StuckFacts
		want  string
	}{
		{StuckFacts{Estimate: 5 * second, LongestRun: 34 * second}, ""},
		{StuckFacts{Estimate: 5 * second, LongestRun: 36 * second}, "a task runs for 36 s, and should be done after 35 s"},
		{StuckFacts{Estimate: 5 * second, ClassRunTimes: slow, LongestRun: 219 * second}, ""},
		{StuckFacts{Estimate: 5 * second, ClassRunTimes: slow, LongestRun: 221 * second}, "a task runs"},
		{StuckFacts{LongestRun: 500 * second}, ""},
		{StuckFacts{Service: true, LongestRun: 500 * time.Hour}, ""},
		{StuckFacts{Service: true, ReplicasMissing: 46 * second}, "replicas are missing"},
		{StuckFacts{LongestFetch: 50 * second, ExpectedFetch: 8 * second}, ""},
		{StuckFacts{LongestFetch: 55 * second, ExpectedFetch: 8 * second}, "an image is fetched"},
		{StuckFacts{Gang: true, GangWaiting: 70 * second, GangTimeout: 50 * second}, ""},
		{StuckFacts{Gang: true, GangWaiting: 81 * second, GangTimeout: 50 * second}, "does not gather"},
		{StuckFacts{Waiting: time.Hour}, ""},
		{StuckFacts{Waiting: 16 * second, CouldStart: true}, "though there is room"},
		{StuckFacts{FailedStarts: 4}, "started 4 times"},
		{StuckFacts{EndUnstored: 16 * second}, "not told"},
	} {
		got := StuckReason(&c.facts)
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%+v: %q, want %q", c.facts, got, c.want)
		}
	}
}

// drawEntry draws an ended job.
func drawEntry(t *rapid.T, i int) Entry {
	return Entry{Job: fmt.Sprintf("job-%06d", i), Team: rapid.SampledFrom([]string{"red", "<b>\"", "équipe"}).Draw(t, "team"), Class: rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "class"), Shape: "sweep",
		State: rapid.SampledFrom([]string{Done, Withdrawn, Failed}).Draw(t, "state"), Submitted: start.UnixMilli() - int64(rapid.IntRange(0, 1e6).Draw(t, "age")),
		Ended: start.UnixMilli() + int64(rapid.IntRange(0, 60000).Draw(t, "ended")), Tasks: rapid.IntRange(1, 100).Draw(t, "tasks"), LostRuns: rapid.IntRange(0, 9).Draw(t, "lost")}
}

// A history that is stored in several segments loads as the same history, also if segments
// overlap or are loaded twice. No segment exceeds the size limit of a value.
func TestStoredBooksReadTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := NewHistory(1000, 24*time.Hour, start.Add(-time.Second))
		n := rapid.IntRange(0, 200).Draw(t, "entries")
		for i := range n {
			stored.Add(drawEntry(t, i))
		}
		loaded := NewHistory(1000, 24*time.Hour, start.Add(time.Hour))
		maxBytes := rapid.SampledFrom([]int{600, 2000, 8000}).Draw(t, "most")
		now := start.Add(2 * time.Minute)
		for round := 0; ; round++ {
			key, data, done := stored.NextSegment(now.Add(time.Duration(round)*time.Millisecond), maxBytes)
			if key == "" {
				break
			}
			if len(data) > maxBytes || round > 300 {
				t.Fatalf("segment %d of %d bytes", round, len(data))
			}
			for range rapid.IntRange(1, 2).Draw(t, "times") {
				if err := loaded.Load(data, now.Add(time.Second)); err != nil {
					t.Fatal(err)
				}
			}
			done()
		}
		loaded.FinishLoading(now)
		var before, after []Entry
		stored.Each(func(e *Entry) { before = append(before, *e); before[len(before)-1].stored = false })
		loaded.Each(func(e *Entry) { after = append(after, *e); after[len(after)-1].stored = false })
		byJob := func(es []Entry) map[string]Entry {
			m := map[string]Entry{}
			for _, e := range es {
				m[e.Job] = e
			}
			return m
		}
		if len(before) != len(after) || !reflect.DeepEqual(byJob(before), byJob(after)) {
			t.Fatalf("%d entries became %d", len(before), len(after))
		}
		for i := 1; i < len(after); i++ {
			if after[i].Ended < after[i-1].Ended {
				t.Fatal("out of order")
			}
		}
		if loaded.RememberedSince() > start.UnixMilli() {
			t.Fatalf("remembers only from %d on", loaded.RememberedSince()-start.UnixMilli())
		}
	})
}

// A history drops entries beyond its size and its retention time, and reports since when
// it is complete.
func TestHistoryIsBounded(t *testing.T) {
	h := NewHistory(10, time.Minute, start)
	for i := range 25 {
		h.Add(Entry{Job: fmt.Sprint("job-", i), Ended: start.UnixMilli() + int64(i)*1000})
	}
	if h.Len() != 10 || h.RememberedSince() != start.UnixMilli()+14001 {
		t.Errorf("%d entries since %d", h.Len(), h.RememberedSince()-start.UnixMilli())
	}
	h.DropExpired(start.Add(80 * time.Second))
	if h.Len() != 5 || h.RememberedSince() != start.UnixMilli()+20000 {
		t.Errorf("%d entries since %d", h.Len(), h.RememberedSince()-start.UnixMilli())
	}
	for _, bad := range []string{"", "{}x", `{"j":["a"],"r":[]}`, `{"j":["a"],"r":[[1]]}`, `{"j":["a"],"n":[],"r":[[0,0,0,0,0,0,0,0]]}`, `{"t":99999999999999}`} {
		if h.Load([]byte(bad), start) == nil && bad != "{}" {
			t.Errorf("%q accepted", bad)
		}
	}
}

// Pages merged from the parts of several nodes show each job once, and their sums are
// consistent.
func TestPagesAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 60).Draw(t, "jobs")
		row := func(i int, node string) Row {
			return Row{Job: fmt.Sprintf("job-%03d", i), Team: fmt.Sprint("t", i%3), Class: "c", State: States[i%len(States)], AsOf: 5, Node: node}
		}
		twice := map[int]bool{}
		q := Query{Limit: rapid.IntRange(1, 20).Draw(t, "most")}
		seen := map[string]int{}
		for {
			a, b := NewPage("n-0", start), NewPage("n-1", start)
			for i := range n {
				p := a
				if i%2 == 0 {
					p = b
				}
				p.Add(&q, row(i, p.Node))
				if i%7 == 0 && q.After == "" {
					twice[i] = true
				}
			}
			b.Finish(&q)
			a.Merge(b)
			a.Finish(&q)
			total := 0
			for _, c := range a.JobsByState {
				total += c
			}
			for _, sums := range []map[string]map[string]int{a.Teams, a.Classes} {
				part := 0
				for _, s := range sums {
					for _, c := range s {
						part += c
					}
				}
				if part != n {
					t.Fatalf("parts add up to %d of %d", part, n)
				}
			}
			if total != n || len(a.Rows) > q.Limit {
				t.Fatalf("%d jobs counted of %d, %d rows of %d", total, n, len(a.Rows), q.Limit)
			}
			for _, r := range a.Rows {
				seen[r.Job]++
			}
			if a.After == "" {
				break
			}
			q.After = a.After
		}
		for job, c := range seen {
			if c != 1 {
				t.Fatalf("%s is on %d pages", job, c)
			}
		}
		if len(seen) != n {
			t.Fatalf("%d jobs on all pages, want %d", len(seen), n)
		}
	})
}

// A job with rows from two nodes, because its partition moved between them, counts once. A
// final row takes precedence over others.
func TestMovedJobsCountOnce(t *testing.T) {
	q := Query{Limit: 10}
	p := NewPage("n-0", start)
	p.Add(&q, Row{Job: "job-1", State: Running, AsOf: 9})
	p.Add(&q, Row{Job: "job-1", State: Done, AsOf: 3})
	p.Add(&q, Row{Job: "job-2", State: Running, AsOf: 3})
	p.Add(&q, Row{Job: "job-2", State: Waiting, AsOf: 4})
	p.Finish(&q)
	if len(p.Rows) != 2 || p.Rows[0].State != Done || p.Rows[1].State != Waiting || p.JobsByState[Done] != 1 || p.JobsByState[Running] != 0 || p.JobsByState[Waiting] != 1 {
		t.Errorf("%+v %v", p.Rows, p.JobsByState)
	}
}

func TestSamplesAddUp(t *testing.T) {
	minute := SampleInterval.Milliseconds()
	got := SumSamples([]Sample{{AtMS: 10*minute + 5, Waiting: 1}, {AtMS: 11*minute + 9, Waiting: 2}}, []Sample{{AtMS: 10*minute + 59, Waiting: 10, Lost: 3}})
	if len(got) != 2 || got[0].Waiting != 11 || got[0].Lost != 3 || got[1].Waiting != 2 {
		t.Errorf("%+v", got)
	}
}
