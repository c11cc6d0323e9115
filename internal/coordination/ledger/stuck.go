package ledger

import (
	"fmt"
	"slices"
	"time"
)

// StuckFacts is what is known of an open job for deciding whether it is stuck.
type StuckFacts struct {
	Service         bool
	Gang            bool
	Estimate        time.Duration // the submitter's estimate of a task's run time; 0: none
	ClassRunTimes   *RunTimes     // observed run times of its class; nil: none
	LongestRun      time.Duration // longest current run on a machine that reports
	LongestFetch    time.Duration // longest current image fetch
	ExpectedFetch   time.Duration // expected duration of such a fetch
	GangWaiting     time.Duration // how long tasks have waited for the rest of their gang
	GangTimeout     time.Duration // after which such tasks give up
	Waiting         time.Duration // how long tasks have waited for a machine
	CouldStart      bool          // a decision would start the waiting tasks now
	ReplicasMissing time.Duration // services: how long replicas have been missing
	FailedStarts    int           // failed starts of one task in a row
	EndUnstored     time.Duration // how long the end of a task has been known but not stored, so no user could be told
	Silent          time.Duration // how long all machines that run its tasks have not reported
}

// RunTimes keeps a bounded number of the latest run times of a class.
type RunTimes struct {
	durations [64]time.Duration
	observed  int
}

// Observe adds a run time.
func (r *RunTimes) Observe(d time.Duration) {
	r.durations[r.observed%len(r.durations)] = d
	r.observed++
}

// minRuns is how many runs must have been observed for the longest one to be meaningful.
const minRuns = 8

// Longest returns the longest of the latest run times; ok is false if too few were
// observed.
func (r *RunTimes) Longest() (d time.Duration, ok bool) {
	if r == nil || r.observed < minRuns {
		return 0, false
	}
	return slices.Max(r.durations[:min(r.observed, len(r.durations))]), true
}

// Limits after which a job that makes no progress is called stuck. They must leave time to
// show it within a minute, and are long compared with normal operation.
const (
	runMargin            = 20 * time.Second // on top of the expected run time
	maxRunOfUnknownClass = 10 * time.Minute // for a class without observed runs and without an estimate
	waitMargin           = 30 * time.Second // on top of the expected fetch time or the gang timeout
	maxReplicasMissing   = 45 * time.Second
	maxWaitWithCapacity  = 15 * time.Second
	maxEndUnstored       = 15 * time.Second
	maxFailedStarts      = 4
)

// RunLimit returns how long a run may take before the job is called stuck. Submitters'
// estimates are often wrong by half and sometimes by more, so the observed run times of
// the class take precedence. A class that is known to be slow then raises no alarm.
func (f *StuckFacts) RunLimit() time.Duration {
	longest, known := f.ClassRunTimes.Longest()
	switch {
	case known:
		return max(2*longest, f.Estimate) + runMargin
	case f.Estimate > 0:
		return 3*f.Estimate + runMargin
	}
	return maxRunOfUnknownClass
}

// StuckReason returns why a job is stuck, empty if it is not.
func StuckReason(f *StuckFacts) string {
	seconds := func(d time.Duration) string { return fmt.Sprintf("%.0f s", d.Seconds()) }
	switch {
	case f.EndUnstored > maxEndUnstored:
		return "an end that could not be stored, and so not told, for " + seconds(f.EndUnstored)
	case f.FailedStarts >= maxFailedStarts:
		return fmt.Sprintf("started %d times in a row without getting on", f.FailedStarts)
	case !f.Service && f.LongestRun > f.RunLimit():
		return fmt.Sprintf("a task runs for %s, and should be done after %s at the most", seconds(f.LongestRun), seconds(f.RunLimit()))
	case f.LongestFetch > 3*f.ExpectedFetch+waitMargin:
		return fmt.Sprintf("an image is fetched for %s, which should take %s", seconds(f.LongestFetch), seconds(f.ExpectedFetch))
	case f.Gang && f.GangWaiting > f.GangTimeout+waitMargin:
		return "its gang does not gather, for " + seconds(f.GangWaiting)
	case f.Service && f.ReplicasMissing > maxReplicasMissing:
		return "replicas are missing for " + seconds(f.ReplicasMissing)
	case f.CouldStart && f.Waiting > maxWaitWithCapacity:
		return "it waits for " + seconds(f.Waiting) + " though there is room"
	}
	return ""
}
