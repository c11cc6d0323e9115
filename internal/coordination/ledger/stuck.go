package ledger

import (
	"fmt"
	"slices"
	"time"
)

// Facts are what is known of an open job for judging whether it gets on.
type Facts struct {
	Service  bool
	Gang     bool
	Expect   time.Duration // the owner's estimate of a task's run; 0: none
	Class    *Runs         // how long runs of its class took; nil: none seen
	Longest  time.Duration // the longest run under way on a machine that reports
	Fetching time.Duration // the longest fetch under way
	FetchDue time.Duration // what such a fetch should take
	Gather   time.Duration // how long tasks have waited for the rest of their gang
	GangWait time.Duration // after which they give up
	Waits    time.Duration // how long tasks have waited for a machine
	Free     bool          // though a decision would start them
	Missing  time.Duration // service: how long replicas have been missing
	Restarts int           // starts of one task that came to nothing, in a row
	Untold   time.Duration // how long an end has been known that nobody could be told
	Silent   time.Duration // how long all that runs of it has been on machines not heard
}

// Runs is a bounded memory of how long runs of a class took.
type Runs struct {
	last [64]time.Duration
	n    int
}

// Saw remembers a run.
func (r *Runs) Saw(d time.Duration) {
	r.last[r.n%len(r.last)] = d
	r.n++
}

// fewRuns is how many must have been seen for the longest to mean anything.
const fewRuns = 8

// Longest is the longest of the remembered runs; ok if enough were seen.
func (r *Runs) Longest() (d time.Duration, ok bool) {
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
func (f *Facts) RunLimit() time.Duration {
	seen, known := f.Class.Longest()
	switch {
	case known:
		return max(2*seen, f.Expect) + leastRun
	case f.Expect > 0:
		return 3*f.Expect + leastRun
	}
	return unknownRun
}

// Judge says why a job is stuck, empty if it is not.
func Judge(f *Facts) string {
	s := func(d time.Duration) string { return fmt.Sprintf("%.0f s", d.Seconds()) }
	switch {
	case f.Untold > mostUntold:
		return "an end that could not be stored, and so not told, for " + s(f.Untold)
	case f.Restarts >= mostTries:
		return fmt.Sprintf("started %d times in a row without getting on", f.Restarts)
	case !f.Service && f.Longest > f.RunLimit():
		return fmt.Sprintf("a task runs for %s, and should be done after %s at the most", s(f.Longest), s(f.RunLimit()))
	case f.Fetching > 3*f.FetchDue+leastFetch:
		return fmt.Sprintf("an image is fetched for %s, which should take %s", s(f.Fetching), s(f.FetchDue))
	case f.Gang && f.Gather > f.GangWait+leastFetch:
		return "its gang does not gather, for " + s(f.Gather)
	case f.Service && f.Missing > mostMissing:
		return "replicas are missing for " + s(f.Missing)
	case f.Free && f.Waits > mostFree:
		return "it waits for " + s(f.Waits) + " though there is room"
	}
	return ""
}
