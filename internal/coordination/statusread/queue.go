package statusread

import (
	"slices"
	"time"
)

const (
	// BarrierInterval separates barriers, so that many questions share one request. It bounds their
	// rate: no more are sent where answers are lost than while many users ask.
	BarrierInterval = 120 * time.Millisecond
	// ReadTimeout is how long a question may stay open. Whoever has no answer by then is told
	// to ask again, well before the second that is aimed at: the owner looks at the clock
	// every 100 ms. A barrier that is older covers no open question and is given up: so
	// Patience/Pause, rounded up, bounds the barriers under way.
	ReadTimeout = 850 * time.Millisecond

	// maxRetry bounds the time after which a question without an answer is sent again: three
	// barriers or more fit the patience however slow answers have been.
	maxRetry = 280 * time.Millisecond
	// silentAfter is how many barriers in a row without an answer show that the service does
	// not answer at all; then only one barrier per silentPause is sent.
	silentAfter    = 8
	silentInterval = 500 * time.Millisecond
	// maxOpen bounds the open questions.
	maxOpen = 2000
)

// Read is one open question.
type Read[V any] struct {
	Value     V
	asked     time.Time
	sent      time.Time // with the last barrier; zero: with none
	inFlight  int       // barriers that cover it and have not ended
	resolving bool      // its owner reads what is stored: it needs no barrier
	closed    bool
}

// Closed says whether the question was answered or given up.
func (r *Read[V]) Closed() bool { return r.closed }

// Barrier is one compare-only transaction, under way or ended.
type Barrier[V any] struct {
	Reads  []*Read[V]
	sentAt time.Time
	ended  bool
}

// Queue holds the open questions and the barriers under way.
type Queue[V any] struct {
	open         []*Read[V]    // in the order of their arrival
	inFlight     []*Barrier[V] // in the order of their sending
	lastSent     time.Time
	lostInARow   int
	responseTime Estimator
}

// Len is the number of open questions.
func (q *Queue[V]) Len() int { return len(q.open) }

// Add opens a question. It returns false if too many are open.
func (q *Queue[V]) Add(value V, now time.Time) bool {
	if len(q.open) >= maxOpen {
		return false
	}
	q.open = append(q.open, &Read[V]{Value: value, asked: now})
	return true
}

// Close ends a question; what comes of its barriers later is ignored.
func (q *Queue[V]) Close(r *Read[V]) {
	r.closed = true
	q.open = slices.DeleteFunc(q.open, func(other *Read[V]) bool { return other == r })
}

// MarkResolving notes that the owner of a question now reads what is stored: it stays open, for
// its patience at the most, and is covered by no further barrier.
func (q *Queue[V]) MarkResolving(r *Read[V]) { r.resolving = true }

// NextBarrier starts the barrier that is due at now, if any. It offers open questions to take, the
// least recently sent first, until take returns false as there is no room for more.
func (q *Queue[V]) NextBarrier(now time.Time, take func(V) bool) *Barrier[V] {
	if now.Sub(q.lastSent) < q.pause() {
		return nil
	}
	candidates := q.unresolved()
	if !slices.ContainsFunc(candidates, func(r *Read[V]) bool { return q.due(r, now) }) {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b *Read[V]) int { return a.sent.Compare(b.sent) })
	barrier := &Barrier[V]{sentAt: now}
	for _, r := range candidates {
		if !take(r.Value) {
			break
		}
		r.sent = now
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

// Answered ends a barrier that the service has answered and returns its questions that are
// still to be decided. The owner closes them, resolves them or leaves them open for the next
// barrier.
func (q *Queue[V]) Answered(b *Barrier[V], now time.Time) []*Read[V] {
	q.responseTime.Observe(now.Sub(b.sentAt))
	q.lostInARow = 0
	q.end(b)
	return b.undecided()
}

// Lost ends a barrier without an answer: its questions wait for another one.
func (q *Queue[V]) Lost(b *Barrier[V]) {
	if !b.ended {
		q.lostInARow++
	}
	q.end(b)
}

// Refused ends a barrier that the service refused. It closes and returns the questions that
// no other barrier under way can answer: another one would be refused too.
func (q *Queue[V]) Refused(b *Barrier[V]) []*Read[V] {
	q.lostInARow = 0
	q.end(b)
	var refused []*Read[V]
	for _, r := range b.undecided() {
		if r.inFlight == 0 {
			q.Close(r)
			refused = append(refused, r)
		}
	}
	return refused
}

// Expired closes and returns the questions whose patience is over, and gives up the barriers
// that are as old.
func (q *Queue[V]) Expired(now time.Time) []*Read[V] {
	for len(q.inFlight) > 0 && now.Sub(q.inFlight[0].sentAt) >= ReadTimeout {
		q.Lost(q.inFlight[0])
	}
	var expired []*Read[V]
	for len(q.open) > 0 && now.Sub(q.open[0].asked) >= ReadTimeout {
		expired = append(expired, q.open[0])
		q.Close(q.open[0])
	}
	return expired
}

// RetryDelay is how long after a barrier another one is due if no answer has come.
func (q *Queue[V]) RetryDelay() time.Duration {
	return q.responseTime.Timeout(BarrierInterval, maxRetry)
}

// pause is the least time between two barriers now.
func (q *Queue[V]) pause() time.Duration {
	if q.lostInARow >= silentAfter {
		return silentInterval
	}
	return BarrierInterval
}

// due says whether a question needs another barrier.
func (q *Queue[V]) due(r *Read[V], now time.Time) bool {
	return r.inFlight == 0 || now.Sub(r.sent) >= q.RetryDelay()
}

// unresolved are the open questions that barriers can answer.
func (q *Queue[V]) unresolved() []*Read[V] {
	return slices.DeleteFunc(slices.Clone(q.open), func(r *Read[V]) bool { return r.resolving })
}

// end takes a barrier off those under way.
func (q *Queue[V]) end(b *Barrier[V]) {
	if b.ended {
		return
	}
	b.ended = true
	for _, r := range b.Reads {
		r.inFlight--
	}
	q.inFlight = slices.DeleteFunc(q.inFlight, func(other *Barrier[V]) bool { return other == b })
}

// undecided are a barrier's questions that still wait for a decision.
func (b *Barrier[V]) undecided() []*Read[V] {
	return slices.DeleteFunc(slices.Clone(b.Reads), func(r *Read[V]) bool { return r.closed || r.resolving })
}
