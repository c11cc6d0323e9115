package lending

import (
	"testing"
	"time"
)

// Unused capacity is taken back after the timeout, counted from when it was last used, or at once where
// no task may be started; what is used is never taken back.
func TestUnusedCapacityIsTakenBack(t *testing.T) {
	tracker, key, now := NewTracker(), Key{"host-1", 2}, time.Now()
	for _, step := range []struct {
		after       time.Duration
		observation Observation
		takesBack   bool
	}{
		{0, Observation{}, false},
		{UnusedTimeout - time.Second, Observation{}, false},
		{0, Observation{FullyUsed: true, Unavailable: true}, false},
		{UnusedTimeout, Observation{}, false},
		{UnusedTimeout, Observation{}, true},
		{0, Observation{FullyUsed: true}, false},
		{0, Observation{Unavailable: true}, true},
	} {
		now = now.Add(step.after)
		if got := tracker.TakesBack(key, step.observation, now); got != step.takesBack {
			t.Errorf("%+v after %v: taken back %v", step.observation, step.after, got)
		}
	}
}
