package ledger

import (
	"fmt"
	"slices"
	"time"
)

// StuckFacts are what is known of an open job for judging whether it gets on.
type StuckFacts struct {
	Service         bool
	Gang            bool
	Estimate        time.Duration // the owner's estimate of a task's run; 0: none
	ClassRunTimes   *RunTimes     // how long runs of its class took; nil: none seen
	LongestRun      time.Duration // the longest run under way on a machine that reports
	LongestFetch    time.Duration // the longest fetch under way
	ExpectedFetch   time.Duration // what such a fetch should take
	GangWaiting     time.Duration // how long tasks have waited for the rest of their gang
	GangTimeout     time.Duration // after which they give up
	Waiting         time.Duration // how long tasks have waited for a machine
	CouldStart      bool          // though a decision would start them
	ReplicasMissing time.Duration // service: how long replicas have been missing
	FailedStarts    int           // starts of one task that came to nothing, in a row
	EndUnstored     time.Duration // how long an end has been known that nobody could be told
	Silent          time.Duration // how long all that runs of it has been on machines not heard
}

// RunTimes is a bounded memory of how long runs of a class took.
type RunTimes struct {
	last [64]time.Duration
	n    int
}

// Observe remembers a run.
func (r *RunTimes) Observe(d time.Duration) {
	r.last[r.n%len(r.last)] = d
	r.n++
}

// fewRuns is how many must have been seen for the longest to mean anything.
const fewRuns = 8

// Longest is the longest of the remembered runs; ok if enough were seen.
func (r *RunTimes) Longest() (d time.Duration, ok bool) {
	if r == nil || r.n < fewRuns {
		return 0, false
	}
	return slices.Max(r.last[:min(r.n, len(r.last))]), true
}

// Times after which a job that does not get on is called stuck. They leave the minute
// in which that is to be shown, and are long against what is ordinary.
const (
	leastRun    = 20 * time.Second // beyond what was expected
	unknownRun  = 10 * time.Minute // of a class never seen, without an estimate
	leastFetch  = 30 * time.Second // beyond what a fetch should take
	mostMissing = 45 * time.Second
	mostFree    = 15 * time.Second
	mostUntold  = 15 * time.Second
	mostTries   = 4
)

// RunLimit is how long a run may take before it is called stalled. Owners' estimates
// are often wrong by half and sometimes by more; what the class showed goes before
// them, so that what is known to be slow raises no alarm.
func (f *StuckFacts) RunLimit() time.Duration {
	seen, known := f.ClassRunTimes.Longest()
	switch {
	case known:
		return max(2*seen, f.Estimate) + leastRun
	case f.Estimate > 0:
		return 3*f.Estimate + leastRun
	}
	return unknownRun
}

// StuckReason says why a job is stuck, empty if it is not.
func StuckReason(f *StuckFacts) string {
	s := func(d time.Duration) string { return fmt.Sprintf("%.0f s", d.Seconds()) }
	switch {
	case f.EndUnstored > mostUntold:
		return "an end that could not be stored, and so not told, for " + s(f.EndUnstored)
	case f.FailedStarts >= mostTries:
		return fmt.Sprintf("started %d times in a row without getting on", f.FailedStarts)
	case !f.Service && f.LongestRun > f.RunLimit():
		return fmt.Sprintf("a task runs for %s, and should be done after %s at the most", s(f.LongestRun), s(f.RunLimit()))
	case f.LongestFetch > 3*f.ExpectedFetch+leastFetch:
		return fmt.Sprintf("an image is fetched for %s, which should take %s", s(f.LongestFetch), s(f.ExpectedFetch))
	case f.Gang && f.GangWaiting > f.GangTimeout+leastFetch:
		return "its gang does not gather, for " + s(f.GangWaiting)
	case f.Service && f.ReplicasMissing > mostMissing:
		return "replicas are missing for " + s(f.ReplicasMissing)
	case f.CouldStart && f.Waiting > mostFree:
		return "it waits for " + s(f.Waiting) + " though there is room"
	}
	return ""
}
