package statusread

import "time"

// Estimator estimates the usual response time from the answers so far: a smoothed mean and
// deviation, computed like TCP's retransmission timeout (RFC 6298).
type Estimator struct {
	mean, deviation time.Duration
	observed        bool
}

// Observe adds the response time of one answer.
func (e *Estimator) Observe(responseTime time.Duration) {
	if !e.observed {
		e.mean, e.deviation, e.observed = responseTime, responseTime/2, true
		return
	}
	e.deviation += ((responseTime - e.mean).Abs() - e.deviation) / 4
	e.mean += (responseTime - e.mean) / 8
}

// Timeout returns how long to wait for an answer before it counts as late, within the
// given bounds.
func (e *Estimator) Timeout(lowest, highest time.Duration) time.Duration {
	if !e.observed {
		return highest
	}
	return min(max(e.mean+4*e.deviation, lowest), highest)
}
