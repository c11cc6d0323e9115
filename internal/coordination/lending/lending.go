// Package lending decides when capacity that one partition has lent to another is taken back. It
// does no I/O and reads no clock.
package lending

import "time"

// UnusedTimeout is how long lent capacity may stay unused. A borrower that can use it places its
// tasks within a second or two, also while changes of the state service are scarce.
const UnusedTimeout = 6 * time.Second

// Key identifies the capacity of a machine that is lent to a partition.
type Key struct {
	Machine  string
	Borrower int
}

// Tracker records since when lent capacity has been unused.
type Tracker struct{ unusedSince map[Key]time.Time }

// NewTracker returns a tracker without records.
func NewTracker() *Tracker { return &Tracker{unusedSince: map[Key]time.Time{}} }

// Observation is the state of lent capacity at some time.
type Observation struct {
	FullyUsed   bool // the borrower's tasks use all of it
	Unavailable bool // no task may be started on the machine
}

// TakesBack records an observation and reports whether the part that is unused is to be taken back.
func (t *Tracker) TakesBack(key Key, o Observation, now time.Time) bool {
	if o.FullyUsed {
		delete(t.unusedSince, key)
		return false
	}
	since, known := t.unusedSince[key]
	if !known {
		since = now
		t.unusedSince[key] = now
	}
	return o.Unavailable || now.Sub(since) >= UnusedTimeout
}

// Keep forgets all capacity but that for which keep returns true.
func (t *Tracker) Keep(keep func(Key) bool) {
	for key := range t.unusedSince {
		if !keep(key) {
			delete(t.unusedSince, key)
		}
	}
}
