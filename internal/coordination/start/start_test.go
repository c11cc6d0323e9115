package start

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

var times = Timing{ReportInterval: 6 * time.Second, GracePeriod: time.Second}

func machines(n int) []MachineFacts {
	var out []MachineFacts
	for i := range n {
		out = append(out, MachineFacts{Name: fmt.Sprintf("m%03d", i), Rank: Rank(i % 4), HasAddress: true})
	}
	return out
}

// The whole life of a share: nobody is asked in the grace, then by what silence costs,
// empty machines last; it serves when nearly all have spoken.
func TestOrderAndPhases(t *testing.T) {
	f := machines(12)
	f[6].LeaseExpiry = begin.Add(20 * time.Second) // this node answered it lately: its lease is not in danger
	s := BeginReconciliation(times, begin, f)
	if got := s.NextPolls(begin.Add(500*time.Millisecond), 5); len(got) > 0 || s.Phase() != Acquired {
		t.Fatalf("asked %v in the grace, phase %v", got, s.Phase())
	}
	now := begin.Add(time.Second)
	got := s.NextPolls(now, 20)
	if want := "[m000 m004 m008 m001 m005 m009 m002 m010 m006 m003 m007 m011]"; fmt.Sprint(got) != want {
		t.Fatalf("asked %v, want %v", got, want)
	}
	for i, name := range got {
		s.NoteFencedReport(name)
		p, tenth, _ := s.Advance(now)
		if want := map[bool]Phase{true: Serving, false: Reconciling}[i+1 >= 11]; p != want || tenth != 10*(i+1)/12 {
			t.Fatalf("after %d: %v, tenth %d", i+1, p, tenth)
		}
	}
	if !s.MayPreempt() || s.Settled(now) || !s.Settled(now.Add(settleTime)) {
		t.Error("served, and work may not be displaced, or settled too soon")
	}
	var none *Reconciliation
	if none.Phase() != NotOwned || none.AwaitingReport("m") || none.MayPreempt() || none.Settled(now) {
		t.Error("a share that is not held has a state")
	}
}

// A share of which some never speak serves all the same, when those that live had time.
func TestServesWithoutTheDead(t *testing.T) {
	s := BeginReconciliation(times, begin, machines(10))
	for i := range 5 {
		s.NoteFencedReport(fmt.Sprintf("m%03d", i))
	}
	if p, _, _ := s.Advance(begin.Add(9 * time.Second)); p != Reconciling {
		t.Errorf("%v with half of the machines after 9 s", p)
	}
	if p, _, _ := s.Advance(begin.Add(10 * time.Second)); p != Serving {
		t.Errorf("%v after one and a half report intervals and the grace", p)
	}
	if !s.AwaitingReport("m007") || s.AwaitingReport("m003") {
		t.Error("serving makes nobody heard")
	}
}

// What a machine said before its token was raised does not count any more.
func TestAddedMachineIsUnheard(t *testing.T) {
	s := BeginReconciliation(times, begin, machines(1))
	s.NoteFencedReport("m000")
	s.Add(machines(1)[0], begin.Add(3*time.Second))
	if !s.AwaitingReport("m000") {
		t.Error("heard under an old token")
	}
	if got := s.NextPolls(begin.Add(3*time.Second), 1); len(got) != 1 {
		t.Error("a machine that was moved here is not asked at once")
	}
	s.Remove("m000")
	if all, heard, _ := s.Counts(); all != 0 || heard != 0 || s.AwaitingReport("m000") {
		t.Errorf("%d machines, %d heard after the drop", all, heard)
	}
}

// Whatever happens in whatever order: nobody is asked while an answer is awaited, nor
// soon after; counts add up; a share never falls back from serving.
func TestSquareInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "machines")
		s := BeginReconciliation(times, begin, machines(n))
		now := begin
		name := func() string { return fmt.Sprintf("m%03d", rapid.IntRange(0, 13).Draw(t, "which")) }
		calling := map[string]bool{}
		free := map[string]time.Time{} // when an unanswered one may be asked again
		served := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch m := name(); rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				s.NoteFencedReport(m)
			case 1:
				s.NoteUnfencedReport(m, now)
			case 2:
				s.Remove(m)
				delete(calling, m)
				delete(free, m)
			case 3:
				if !calling[m] {
					s.Add(MachineFacts{Name: m, HasAddress: true}, now)
					delete(free, m)
				}
			case 4:
				if calling[m] {
					ok := rapid.Bool().Draw(t, "answered")
					s.CallEnded(m, ok, now)
					delete(calling, m)
					free[m] = now.Add(minRetryPause)
				}
			default:
				most := rapid.IntRange(0, 4).Draw(t, "most")
				got := s.NextPolls(now, most)
				if len(got) > most {
					t.Fatalf("%d asked of %d", len(got), most)
				}
				for _, m := range got {
					if calling[m] || now.Before(free[m]) || !s.AwaitingReport(m) {
						t.Fatalf("%s asked (calling %v, not before %v, unheard %v)", m, calling[m], free[m], s.AwaitingReport(m))
					}
					calling[m] = true
				}
			}
			p, tenth, _ := s.Advance(now)
			all, heard, _ := s.Counts()
			unheard := 0
			for i := range 14 {
				if s.AwaitingReport(fmt.Sprintf("m%03d", i)) {
					unheard++
				}
			}
			if all-heard != unheard || tenth < 0 || tenth > 10 {
				t.Fatalf("%d machines, %d heard, %d unheard, tenth %d", all, heard, unheard, tenth)
			}
			if served && p != Serving {
				t.Fatalf("%v after serving", p)
			}
			served = p == Serving
			if p == Reconciling && now.Sub(begin) > s.maxReconcileTime() {
				t.Fatal("squared for ever")
			}
		}
	})
}

// The budget grows while the actor is in time, is halved when it is late, and never
// hands out more than its rate and its sockets allow.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Cores: rapid.Float64Range(0.02, 4).Draw(t, "cores"), Sockets: rapid.IntRange(0, 4000).Draw(t, "sockets")}
		now := begin
		b := NewBudget(l, now)
		under, given, allowed := 0, 0.0, b.burst()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			lag := time.Duration(rapid.IntRange(0, 300).Draw(t, "lag")) * time.Millisecond
			before := b.Rate()
			b.ObserveLag(now, lag)
			if b.Rate() < minRate || b.Rate() > maxRateFactor*b.initialRate || lag > onTimeThreshold && b.Rate() > before || lag < onTimeThreshold && b.Rate() < before {
				t.Fatalf("rate from %v to %v with a lag of %v", before, b.Rate(), lag)
			}
			allowed += b.Rate() * 0.1
			k := OrderKind(rapid.IntRange(0, int(OrderKinds)-1).Draw(t, "kind"))
			want := rapid.IntRange(0, 50).Draw(t, "want")
			var got int
			if rapid.Bool().Draw(t, "call") {
				got = b.TakeCalls(k, want)
				under += got
			} else {
				got = b.Take(k, want)
			}
			if got < 0 || got > want {
				t.Fatalf("%d of %d wanted", got, want)
			}
			given += float64(got)
			if l.Sockets > 0 && under > max(minCallsInFlight, l.Sockets/32) {
				t.Fatalf("%d calls under way with %d sockets", under, l.Sockets)
			}
			for under > 0 && rapid.Bool().Draw(t, "ends") {
				b.CallEnded()
				under--
			}
		}
		if given > allowed+1 {
			t.Fatalf("%v orders, %v allowed", given, allowed)
		}
	})
}

// The urgent leave nothing of the budget unused, and what can wait leaves some of it to
// them.
func TestBudgetLeavesRoomForTheUrgent(t *testing.T) {
	b := NewBudget(Limits{Cores: 0.14}, begin)
	if got := b.Take(Return, 1000); got == 0 || b.Take(Return, 1) > 0 {
		t.Fatalf("%d returns", got)
	}
	if b.Take(Stop, 1) != 1 {
		t.Error("returns took what stops need")
	}
	if b.Deferred(Return) != 1000-b.Granted(Return)+1 {
		t.Errorf("%d returns held back of %d", b.Deferred(Return), 1001)
	}
}

func TestSpread(t *testing.T) {
	for _, c := range []struct {
		count int
		boot  time.Duration
		gone  time.Duration
		want  int
	}{
		{100, 50 * time.Second, time.Second, 2}, {100, 50 * time.Second, time.Minute, 2}, {100, 50 * time.Second, 0, 0},
		{3, 50 * time.Second, time.Second, 1}, {9000, 25 * time.Second, time.Second, maxIdleReturnsPerSecond}, {9000, 25 * time.Second, 500 * time.Millisecond, maxIdleReturnsPerSecond / 2},
	} {
		if got := IdleReturnsAllowed(c.count, c.boot, begin.Add(-c.gone), begin); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
	if IdleTimeout(45*time.Second, true) != 45*time.Second || IdleTimeout(45*time.Second, false) != 22500*time.Millisecond {
		t.Error("what a machine is kept for")
	}
}

// What one look costs must not grow faster than the machines that have not spoken.
func BenchmarkNext(b *testing.B) {
	for _, n := range []int{400, 1600, 16000} {
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			s := BeginReconciliation(times, begin, machines(n))
			for b.Loop() {
				s.NextPolls(begin, 16)
			}
		})
	}
}
