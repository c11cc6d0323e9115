package start

import "time"

// The start of a machine's idle time can be unknown: the previous owner of a partition
// knew it, the new owner does not. The first report of an empty machine is not the start
// of its idle time; some machines have been idle for a minute, some for a second. Unneeded
// machines are therefore returned gradually over one boot time, and work that arrives
// meanwhile uses them instead of renting new ones.

// maxIdleReturnsPerSecond bounds the returns of machines whose idle time has an unknown
// start.
const maxIdleReturnsPerSecond = 30

// IdleTimeout returns how long a machine that nothing needs is kept after it was reported
// empty. If the start of its idle time was not observed, it has been idle for half of the
// configured time on average.
func IdleTimeout(configured time.Duration, observed bool) time.Duration {
	if observed {
		return configured
	}
	return configured / 2
}

// IdleReturnsAllowed returns how many of count empty machines, whose idle time has an
// unknown start, may be returned now; last is the time of the previous returns. All of
// them are returned within about one boot time, at no more than maxIdleReturnsPerSecond.
func IdleReturnsAllowed(count int, boot time.Duration, last, now time.Time) int {
	perSecond := min(maxIdleReturnsPerSecond, max(1, float64(count)/max(1, boot.Seconds())))
	elapsed := min(now.Sub(last), time.Second).Seconds()
	return int(perSecond * elapsed)
}
