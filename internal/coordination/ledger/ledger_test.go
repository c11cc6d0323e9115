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

// Each way of not getting on is told, shortly after it is one, and what is known to be
// slow is not.
func TestJudge(t *testing.T) {
	slow := &RunTimes{}
	for range 10 {
		slow.Observe(100 * time.Second)
	}
	s := time.Second
	for _, c := range []struct {
		f    StuckFacts
		want string
	}{
		{StuckFacts{Estimate: 5 * s, LongestRun: 34 * s}, ""},
		{StuckFacts{Estimate: 5 * s, LongestRun: 36 * s}, "a task runs for 36 s, and should be done after 35 s"},
		{StuckFacts{Estimate: 5 * s, ClassRunTimes: slow, LongestRun: 219 * s}, ""},
		{StuckFacts{Estimate: 5 * s, ClassRunTimes: slow, LongestRun: 221 * s}, "a task runs"},
		{StuckFacts{LongestRun: 500 * s}, ""},
		{StuckFacts{Service: true, LongestRun: 500 * time.Hour}, ""},
		{StuckFacts{Service: true, ReplicasMissing: 46 * s}, "replicas are missing"},
		{StuckFacts{LongestFetch: 50 * s, ExpectedFetch: 8 * s}, ""},
		{StuckFacts{LongestFetch: 55 * s, ExpectedFetch: 8 * s}, "an image is fetched"},
		{StuckFacts{Gang: true, GangWaiting: 70 * s, GangTimeout: 50 * s}, ""},
		{StuckFacts{Gang: true, GangWaiting: 81 * s, GangTimeout: 50 * s}, "does not gather"},
		{StuckFacts{Waiting: time.Hour}, ""},
		{StuckFacts{Waiting: 16 * s, CouldStart: true}, "though there is room"},
		{StuckFacts{FailedStarts: 4}, "started 4 times"},
		{StuckFacts{EndUnstored: 16 * s}, "not told"},
	} {
		got := StuckReason(&c.f)
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%+v: %q, want %q", c.f, got, c.want)
		}
	}
}

func drawEntry(t *rapid.T, i int) Entry {
	return Entry{Job: fmt.Sprintf("job-%06d", i), Team: rapid.SampledFrom([]string{"red", "<b>\"", "équipe"}).Draw(t, "team"), Class: rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "class"), Shape: "sweep",
		State: rapid.SampledFrom([]string{Done, Withdrawn, Failed}).Draw(t, "state"), Submitted: start.UnixMilli() - int64(rapid.IntRange(0, 1e6).Draw(t, "age")),
		Ended: start.UnixMilli() + int64(rapid.IntRange(0, 60000).Draw(t, "ended")), Tasks: rapid.IntRange(1, 100).Draw(t, "tasks"), LostRuns: rapid.IntRange(0, 9).Draw(t, "lost")}
}

// What is stored in as many segments as it takes reads as the same book, also when
// segments overlap or come twice, and no segment is longer than a value.
func TestStoredBooksReadTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewHistory(1000, 24*time.Hour, start.Add(-time.Second))
		n := rapid.IntRange(0, 200).Draw(t, "entries")
		for i := range n {
			a.Add(drawEntry(t, i))
		}
		b := NewHistory(1000, 24*time.Hour, start.Add(time.Hour))
		most := rapid.SampledFrom([]int{600, 2000, 8000}).Draw(t, "most")
		now := start.Add(2 * time.Minute)
		for round := 0; ; round++ {
			key, data, done := a.NextSegment(now.Add(time.Duration(round)*time.Millisecond), most)
			if key == "" {
				break
			}
			if len(data) > most || round > 300 {
				t.Fatalf("segment %d of %d bytes", round, len(data))
			}
			for range rapid.IntRange(1, 2).Draw(t, "times") {
				if err := b.Load(data, now.Add(time.Second)); err != nil {
					t.Fatal(err)
				}
			}
			done()
		}
		b.FinishLoading(now)
		var x, y []Entry
		a.Each(func(e *Entry) { x = append(x, *e); x[len(x)-1].stored = false })
		b.Each(func(e *Entry) { y = append(y, *e); y[len(y)-1].stored = false })
		byJob := func(es []Entry) map[string]Entry {
			m := map[string]Entry{}
			for _, e := range es {
				m[e.Job] = e
			}
			return m
		}
		if len(x) != len(y) || !reflect.DeepEqual(byJob(x), byJob(y)) {
			t.Fatalf("%d entries became %d", len(x), len(y))
		}
		for i := 1; i < len(y); i++ {
			if y[i].Ended < y[i-1].Ended {
				t.Fatal("out of order")
			}
		}
		if b.RememberedSince() > start.UnixMilli() {
			t.Fatalf("remembers from %d only", b.RememberedSince()-start.UnixMilli())
		}
	})
}

// A book forgets what is too much or too old, and says from when on it remembers.
func TestBookIsBounded(t *testing.T) {
	b := NewHistory(10, time.Minute, start)
	for i := range 25 {
		b.Add(Entry{Job: fmt.Sprint("job-", i), Ended: start.UnixMilli() + int64(i)*1000})
	}
	if b.Len() != 10 || b.RememberedSince() != start.UnixMilli()+14001 {
		t.Errorf("%d entries since %d", b.Len(), b.RememberedSince()-start.UnixMilli())
	}
	b.DropExpired(start.Add(80 * time.Second))
	if b.Len() != 5 || b.RememberedSince() != start.UnixMilli()+20000 {
		t.Errorf("%d entries since %d", b.Len(), b.RememberedSince()-start.UnixMilli())
	}
	for _, bad := range []string{"", "{}x", `{"j":["a"],"r":[]}`, `{"j":["a"],"r":[[1]]}`, `{"j":["a"],"n":[],"r":[[0,0,0,0,0,0,0,0]]}`, `{"t":99999999999999}`} {
		if b.Load([]byte(bad), start) == nil && bad != "{}" {
			t.Errorf("%q taken", bad)
		}
	}
}

// Pages put together from any parts, in any order and with shares that moved between,
// show each job once, and sums that add up.
func TestPagesAddUp(t *testing.T) {
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

// A job of which two nodes tell, since its share went from one to the other, counts
// once; what is over goes before what is not.
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
	m := SampleInterval.Milliseconds()
	got := SumSamples([]Sample{{AtMS: 10*m + 5, Waiting: 1}, {AtMS: 11*m + 9, Waiting: 2}}, []Sample{{AtMS: 10*m + 59, Waiting: 10, Lost: 3}})
	if len(got) != 2 || got[0].Waiting != 11 || got[0].Lost != 3 || got[1].Waiting != 2 {
		t.Errorf("%+v", got)
	}
}
