package start

import "time"

// Idleness that nobody saw. An earlier holder knew since when a machine was empty; who
// takes its share does not. Empty when first heard is not "idle since then": some have
// been idle for a minute, some for a second. So the machines that nothing needs go one
// by one over a boot time, and what waits meanwhile takes them instead of renting.

// maxIdleReturnsPerSecond is how many machines go in a second, at most, for idleness that nobody
// saw.
const maxIdleReturnsPerSecond = 30

// IdleTimeout is how long a machine that nothing needs is kept once it was heard to be empty.
// One whose idleness began before that, nobody knows when, has on average done half of
// its time.
func IdleTimeout(kept time.Duration, seen bool) time.Duration {
	if seen {
		return kept
	}
	return kept / 2
}

// IdleReturnsAllowed says how many of count empty machines, whose idleness nobody saw, may go now
// when some went up to last: all within about a boot time, and never more than
// mostUnseen in a second.
func IdleReturnsAllowed(count int, boot time.Duration, last, now time.Time) int {
	perSecond := min(maxIdleReturnsPerSecond, max(1, float64(count)/max(1, boot.Seconds())))
	gone := min(now.Sub(last), time.Second).Seconds()
	return int(perSecond * gone)
}
