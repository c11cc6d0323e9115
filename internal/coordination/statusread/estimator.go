package statusread

import "time"

// Estimator learns how long answers usually take, from those that came: a smoothed mean and
// deviation, as TCP's retransmission timeout is computed (RFC 6298).
type Estimator struct {
	mean, deviation time.Duration
	observed        bool
}

// Observe takes in how long an answer took.
func (e *Estimator) Observe(took time.Duration) {
	if !e.observed {
		e.mean, e.deviation, e.observed = took, took/2, true
		return
	}
	e.deviation += ((took - e.mean).Abs() - e.deviation) / 4
	e.mean += (took - e.mean) / 8
}

// Timeout is how long to wait for an answer before it counts as late, within bounds.
func (e *Estimator) Timeout(least, most time.Duration) time.Duration {
	if !e.observed {
		return most
	}
	return min(max(e.mean+4*e.deviation, least), most)
}
