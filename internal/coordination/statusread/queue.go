package statusread

import (
	"slices"
	"time"
)

const (
	// BarrierInterval is the least time between two barriers, so that many reads share one
	// request. It bounds the rate of barriers: when answers are lost, no more barriers are
	// sent than when many users ask.
	BarrierInterval = 120 * time.Millisecond
	// ReadTimeout is how long a read may stay open. A user whose read is not decided by
	// then is asked to retry, well before the target of one second: the owner of the queue
	// checks the time every 100 ms. An older barrier covers no open read and is given up,
	// so ReadTimeout/BarrierInterval, rounded up, bounds the barriers in flight.
	ReadTimeout = 850 * time.Millisecond

	// maxRetry bounds the time after which an unanswered read is sent again: at least
	// three barriers fit into ReadTimeout, however slow answers have been.
	maxRetry = 280 * time.Millisecond
	// silentThreshold is the number of unanswered barriers in a row after which the state
	// service is presumed not to answer at all; then only one barrier per silentInterval
	// is sent.
	silentThreshold = 8
	silentInterval  = 500 * time.Millisecond
	// maxOpen bounds the open reads.
	maxOpen = 2000
)

// Read is one open read.
type Read[V any] struct {
	Value     V
	openedAt  time.Time
	lastSent  time.Time // of the last barrier that covers it; zero: none
	inFlight  int       // barriers in flight that cover it
	resolving bool      // the owner of the queue reads the stored value: no barrier is needed
	closed    bool
}

// Closed reports whether the read was answered or given up.
func (r *Read[V]) Closed() bool { return r.closed }

// Barrier is one compare-only transaction, in flight or ended.
type Barrier[V any] struct {
	Reads  []*Read[V]
	sentAt time.Time
	ended  bool
}

// Queue holds the open reads and the barriers in flight.
type Queue[V any] struct {
	open            []*Read[V]    // in order of arrival
	inFlight        []*Barrier[V] // in order of sending
	lastSent        time.Time
	consecutiveLost int
	responseTime    Estimator
}

// Len returns the number of open reads.
func (q *Queue[V]) Len() int { return len(q.open) }

// Add opens a read. It returns false if too many are open.
func (q *Queue[V]) Add(value V, now time.Time) bool {
	if len(q.open) >= maxOpen {
		return false
	}
	q.open = append(q.open, &Read[V]{Value: value, openedAt: now})
	return true
}

// Close ends a read; later results of its barriers are ignored.
func (q *Queue[V]) Close(r *Read[V]) {
	r.closed = true
	q.open = slices.DeleteFunc(q.open, func(other *Read[V]) bool { return other == r })
}

// MarkResolving records that the owner of the queue now reads the stored value itself: the
// read stays open, for ReadTimeout at most, and no further barrier covers it.
func (q *Queue[V]) MarkResolving(r *Read[V]) { r.resolving = true }

// NextBarrier starts the barrier that is due at now, if any. It passes open reads to take,
// the least recently sent first, until take returns false because the barrier has no room
// for more.
func (q *Queue[V]) NextBarrier(now time.Time, take func(V) bool) *Barrier[V] {
	if now.Sub(q.lastSent) < q.interval() {
		return nil
	}
	candidates := q.unresolved()
	if !slices.ContainsFunc(candidates, func(r *Read[V]) bool { return q.needsBarrier(r, now) }) {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b *Read[V]) int { return a.lastSent.Compare(b.lastSent) })
	barrier := &Barrier[V]{sentAt: now}
	for _, r := range candidates {
		if !take(r.Value) {
			break
		}
		r.lastSent = now
		r.inFlight++
		barrier.Reads = append(barrier.Reads, r)
	}
	if len(barrier.Reads) == 0 {
		return nil
	}
	q.lastSent = now
	q.inFlight = append(q.inFlight, barrier)
	return barrier
}

// Answered ends a barrier that the state service has answered and returns its undecided
// reads. The owner closes them, marks them as resolving or leaves them open for the next
// barrier.
func (q *Queue[V]) Answered(b *Barrier[V], now time.Time) []*Read[V] {
	q.responseTime.Observe(now.Sub(b.sentAt))
	q.consecutiveLost = 0
	q.endBarrier(b)
	return b.undecided()
}

// Lost ends a barrier without an answer: its reads wait for another one.
func (q *Queue[V]) Lost(b *Barrier[V]) {
	if !b.ended {
		q.consecutiveLost++
	}
	q.endBarrier(b)
}

// Refused ends a barrier that the state service refused. It closes and returns the reads
// that no other barrier in flight can answer: another barrier would be refused too.
func (q *Queue[V]) Refused(b *Barrier[V]) []*Read[V] {
	q.consecutiveLost = 0
	q.endBarrier(b)
	var refused []*Read[V]
	for _, r := range b.undecided() {
		if r.inFlight == 0 {
			q.Close(r)
			refused = append(refused, r)
		}
	}
	return refused
}

// Expired closes and returns the reads that have been open for ReadTimeout, and gives up
// barriers of that age.
func (q *Queue[V]) Expired(now time.Time) []*Read[V] {
	for len(q.inFlight) > 0 && now.Sub(q.inFlight[0].sentAt) >= ReadTimeout {
		q.Lost(q.inFlight[0])
	}
	var expired []*Read[V]
	for len(q.open) > 0 && now.Sub(q.open[0].openedAt) >= ReadTimeout {
		expired = append(expired, q.open[0])
		q.Close(q.open[0])
	}
	return expired
}

// RetryDelay returns how long after a barrier another one is due if no answer has arrived.
func (q *Queue[V]) RetryDelay() time.Duration {
	return q.responseTime.Timeout(BarrierInterval, maxRetry)
}

// interval is the least time between two barriers at present.
func (q *Queue[V]) interval() time.Duration {
	if q.consecutiveLost >= silentThreshold {
		return silentInterval
	}
	return BarrierInterval
}

// needsBarrier reports whether a read needs another barrier.
func (q *Queue[V]) needsBarrier(r *Read[V], now time.Time) bool {
	return r.inFlight == 0 || now.Sub(r.lastSent) >= q.RetryDelay()
}

// unresolved returns the open reads that barriers can answer.
func (q *Queue[V]) unresolved() []*Read[V] {
	return slices.DeleteFunc(slices.Clone(q.open), func(r *Read[V]) bool { return r.resolving })
}

// endBarrier removes a barrier from those in flight.
func (q *Queue[V]) endBarrier(b *Barrier[V]) {
	if b.ended {
		return
	}
	b.ended = true
	for _, r := range b.Reads {
		r.inFlight--
	}
	q.inFlight = slices.DeleteFunc(q.inFlight, func(other *Barrier[V]) bool { return other == b })
}

// undecided returns the reads of a barrier that are neither closed nor being resolved.
func (b *Barrier[V]) undecided() []*Read[V] {
	return slices.DeleteFunc(slices.Clone(b.Reads), func(r *Read[V]) bool { return r.closed || r.resolving })
}
