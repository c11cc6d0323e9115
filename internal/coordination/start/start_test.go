package start

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

var testTiming = Timing{ReportInterval: 6 * time.Second, GracePeriod: time.Second}

func machines(n int) []MachineFacts {
	var out []MachineFacts
	for i := range n {
		out = append(out, MachineFacts{Name: fmt.Sprintf("m%03d", i), Rank: Rank(i % 4), HasAddress: true})
	}
	return out
}

// No machine is polled during the grace period. Then machines are polled in the order of
// lease expiry and rank, empty ones last. The partition is serving when nearly all
// machines have reported.
func TestOrderAndPhases(t *testing.T) {
	facts := machines(12)
	facts[6].LeaseExpiry = begin.Add(20 * time.Second) // known from a recent report
	r := BeginReconciliation(testTiming, begin, facts)
	if got := r.NextPolls(begin.Add(500*time.Millisecond), 5); len(got) > 0 || r.Phase() != Acquired {
		t.Fatalf("polled %v during the grace period, phase %v", got, r.Phase())
	}
	now := begin.Add(time.Second)
	got := r.NextPolls(now, 20)
	if want := "[m000 m004 m008 m001 m005 m009 m002 m010 m006 m003 m007 m011]"; fmt.Sprint(got) != want {
		t.Fatalf("polled %v, want %v", got, want)
	}
	for i, name := range got {
		r.NoteFencedReport(name)
		phase, tenth, _ := r.Advance(now)
		if want := map[bool]Phase{true: Serving, false: Reconciling}[i+1 >= 11]; phase != want || tenth != 10*(i+1)/12 {
			t.Fatalf("after %d reports: phase %v, tenth %d", i+1, phase, tenth)
		}
	}
	if !r.MayPreempt() || r.Settled(now) || !r.Settled(now.Add(settleTime)) {
		t.Error("serving, but preemption is not allowed or the partition settled too soon")
	}
	var notOwned *Reconciliation
	if notOwned.Phase() != NotOwned || notOwned.AwaitingReport("m") || notOwned.MayPreempt() || notOwned.Settled(now) {
		t.Error("a partition that is not owned has a state")
	}
}

// A partition with machines that never report must start serving once all live machines
// have had time to report.
func TestServesWithoutSilentMachines(t *testing.T) {
	r := BeginReconciliation(testTiming, begin, machines(10))
	for i := range 5 {
		r.NoteFencedReport(fmt.Sprintf("m%03d", i))
	}
	if phase, _, _ := r.Advance(begin.Add(9 * time.Second)); phase != Reconciling {
		t.Errorf("%v with half of the machines after 9 s", phase)
	}
	if phase, _, _ := r.Advance(begin.Add(10 * time.Second)); phase != Serving {
		t.Errorf("%v after one and a half report intervals and the grace period", phase)
	}
	if !r.AwaitingReport("m007") || r.AwaitingReport("m003") {
		t.Error("serving must not mark machines as reported")
	}
}

// A report under an earlier token must not count after the token was raised.
func TestAddedMachineMustReportAgain(t *testing.T) {
	r := BeginReconciliation(testTiming, begin, machines(1))
	r.NoteFencedReport("m000")
	r.Add(machines(1)[0], begin.Add(3*time.Second))
	if !r.AwaitingReport("m000") {
		t.Error("a report under an old token counts")
	}
	if got := r.NextPolls(begin.Add(3*time.Second), 1); len(got) != 1 {
		t.Error("a machine that was moved here is not polled at once")
	}
	r.Remove("m000")
	if total, reported, _ := r.Counts(); total != 0 || reported != 0 || r.AwaitingReport("m000") {
		t.Errorf("%d machines, %d reported after the removal", total, reported)
	}
}

// For any order of events: no machine is polled while a call is in flight or shortly after
// an unanswered one, the counts are consistent, and a partition never leaves the phase
// Serving.
func TestReconciliationInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "machines")
		r := BeginReconciliation(testTiming, begin, machines(n))
		now := begin
		name := func() string { return fmt.Sprintf("m%03d", rapid.IntRange(0, 13).Draw(t, "which")) }
		callInFlight := map[string]bool{}
		retryAfter := map[string]time.Time{} // earliest next poll after an unanswered call
		served := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch m := name(); rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				r.NoteFencedReport(m)
			case 1:
				r.NoteUnfencedReport(m, now)
			case 2:
				r.Remove(m)
				delete(callInFlight, m)
				delete(retryAfter, m)
			case 3:
				if !callInFlight[m] {
					r.Add(MachineFacts{Name: m, HasAddress: true}, now)
					delete(retryAfter, m)
				}
			case 4:
				if callInFlight[m] {
					ok := rapid.Bool().Draw(t, "answered")
					r.CallEnded(m, ok, now)
					delete(callInFlight, m)
					retryAfter[m] = now.Add(minRetryPause)
				}
			default:
				maxPolls := rapid.IntRange(0, 4).Draw(t, "most")
				got := r.NextPolls(now, maxPolls)
				if len(got) > maxPolls {
					t.Fatalf("%d polled, at most %d wanted", len(got), maxPolls)
				}
				for _, m := range got {
					if callInFlight[m] || now.Before(retryAfter[m]) || !r.AwaitingReport(m) {
						t.Fatalf("%s polled (call in flight %v, not before %v, awaiting report %v)", m, callInFlight[m], retryAfter[m], r.AwaitingReport(m))
					}
					callInFlight[m] = true
				}
			}
			phase, tenth, _ := r.Advance(now)
			total, reported, _ := r.Counts()
			awaiting := 0
			for i := range 14 {
				if r.AwaitingReport(fmt.Sprintf("m%03d", i)) {
					awaiting++
				}
			}
			if total-reported != awaiting || tenth < 0 || tenth > 10 {
				t.Fatalf("%d machines, %d reported, %d awaited, tenth %d", total, reported, awaiting, tenth)
			}
			if served && phase != Serving {
				t.Fatalf("phase %v after serving", phase)
			}
			served = phase == Serving
			if phase == Reconciling && now.Sub(begin) > r.maxReconcileTime() {
				t.Fatal("still reconciling after the maximum time")
			}
		}
	})
}

// The budget grows while the actor is on time, is halved when the actor is late, and never
// grants more than its rate and its sockets allow.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Cores: rapid.Float64Range(0.02, 4).Draw(t, "cores"), Sockets: rapid.IntRange(0, 4000).Draw(t, "sockets")}
		now := begin
		b := NewBudget(limits, now)
		inFlight, granted, allowed := 0, 0.0, b.burst()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			lag := time.Duration(rapid.IntRange(0, 300).Draw(t, "lag")) * time.Millisecond
			before := b.Rate()
			b.ObserveLag(now, lag)
			if b.Rate() < minRate || b.Rate() > maxRateFactor*b.initialRate || lag > onTimeThreshold && b.Rate() > before || lag < onTimeThreshold && b.Rate() < before {
				t.Fatalf("rate from %v to %v with a lag of %v", before, b.Rate(), lag)
			}
			allowed += b.Rate() * 0.1
			kind := OrderKind(rapid.IntRange(0, int(OrderKinds)-1).Draw(t, "kind"))
			want := rapid.IntRange(0, 50).Draw(t, "want")
			var got int
			if rapid.Bool().Draw(t, "call") {
				got = b.TakeCalls(kind, want)
				inFlight += got
			} else {
				got = b.Take(kind, want)
			}
			if got < 0 || got > want {
				t.Fatalf("%d granted of %d wanted", got, want)
			}
			granted += float64(got)
			if limits.Sockets > 0 && inFlight > max(minCallsInFlight, limits.Sockets/32) {
				t.Fatalf("%d calls in flight with %d sockets", inFlight, limits.Sockets)
			}
			for inFlight > 0 && rapid.Bool().Draw(t, "ends") {
				b.CallEnded()
				inFlight--
			}
		}
		if granted > allowed+1 {
			t.Fatalf("%v orders granted, %v allowed", granted, allowed)
		}
	})
}

// A less urgent kind must leave part of the budget to the more urgent ones, and the most
// urgent kind can use all of it.
func TestBudgetReservesForUrgentKinds(t *testing.T) {
	b := NewBudget(Limits{Cores: 0.14}, begin)
	if got := b.Take(Return, 1000); got == 0 || b.Take(Return, 1) > 0 {
		t.Fatalf("%d returns granted", got)
	}
	if b.Take(Stop, 1) != 1 {
		t.Error("returns used the reserve for stops")
	}
	if b.Deferred(Return) != 1000-b.Granted(Return)+1 {
		t.Errorf("%d returns deferred of %d", b.Deferred(Return), 1001)
	}
}

func TestIdleReturnsAllowed(t *testing.T) {
	for _, c := range []struct {
		count   int
		boot    time.Duration
		elapsed time.Duration
		want    int
	}{
		{100, 50 * time.Second, time.Second, 2}, {100, 50 * time.Second, time.Minute, 2}, {100, 50 * time.Second, 0, 0},
		{3, 50 * time.Second, time.Second, 1}, {9000, 25 * time.Second, time.Second, maxIdleReturnsPerSecond}, {9000, 25 * time.Second, 500 * time.Millisecond, maxIdleReturnsPerSecond / 2},
	} {
		if got := IdleReturnsAllowed(c.count, c.boot, begin.Add(-c.elapsed), begin); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
	if IdleTimeout(45*time.Second, true) != 45*time.Second || IdleTimeout(45*time.Second, false) != 22500*time.Millisecond {
		t.Error("wrong idle timeout")
	}
}

// The cost of one call must not grow faster than the number of machines that have not
// reported.
func BenchmarkNext(b *testing.B) {
	for _, n := range []int{400, 1600, 16000} {
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			r := BeginReconciliation(testTiming, begin, machines(n))
			for b.Loop() {
				r.NextPolls(begin, 16)
			}
		})
	}
}
