package start

import (
	"time"
)

// OrderKind is a kind of order that a node gives on its own, in order of urgency: a kind
// leaves a part of the budget to all before it.
type OrderKind uint8

const (
	Stop       OrderKind = iota // makes room, ends what is cancelled
	Start                       // starts a task
	Poll                        // shows the token and asks for a report
	Rent                        // machines
	Move                        // a machine to another share
	Return                      // a machine for idleness
	OrderKinds                  // how many kinds there are
)

var orderNames = [OrderKinds]string{"stop", "start", "ask", "rent", "move", "return"}

func (o OrderKind) String() string { return orderNames[min(o, OrderKinds-1)] }

// Limits are what the machine that a node runs on allows.
type Limits struct {
	Cores   float64 // of processor time
	Sockets int     // 0: unknown
}

const (
	// callS is the processor time of a direct call, measured on the bench's simulated
	// machines: a connection, a request, its answer and the actor's turn.
	callS = 0.0008
	// callsPart is the part of the processor time that calls begin with.
	callsPart = 0.25
	// minRate is how many calls a second are always possible.
	minRate = 8
	// socketPart is the part of the sockets that calls under way may take.
	socketPart = 1.0 / 32
	// minCallsInFlight are always possible.
	minCallsInFlight = 4

	// lateThreshold is how late the actor may come to what is due before calls become fewer;
	// in time: early enough that they may become more.
	lateThreshold   = 150 * time.Millisecond
	onTimeThreshold = 50 * time.Millisecond
	// cut is the factor by which they become fewer, at most once a pause; grow what
	// a second in time adds, in parts of the rate that calls begin with.
	cut  = 0.5
	grow = 0.5
	// cutPause lets a cut show its effect.
	cutPause = 400 * time.Millisecond
	// most is the greatest rate, in parts of the first one.
	maxRateFactor = 8
)

// Budget bounds what a node orders by itself: calls under way by its sockets, calls a
// second by what its actor's turns cost now. It grows steadily while the actor is in
// time and is halved when it is late, as TCP does with its window, so that what calls
// cost need not be known.
type Budget struct {
	initialRate, rate float64
	tokens            float64
	last              time.Time
	lastCut           time.Time
	callsInFlight     int
	maxCallsInFlight  int
	granted           [OrderKinds]int
	deferred          [OrderKinds]int
	cuts              int
}

// NewBudget plans for a machine.
func NewBudget(l Limits, now time.Time) *Budget {
	cores := l.Cores
	if cores <= 0 {
		cores = 1
	}
	b := &Budget{initialRate: max(minRate, callsPart*cores/callS), last: now, maxCallsInFlight: 64}
	if l.Sockets > 0 {
		b.maxCallsInFlight = max(minCallsInFlight, int(socketPart*float64(l.Sockets)))
	}
	b.rate = b.initialRate
	b.tokens = b.burst()
	return b
}

// burst is what may be ordered at once after a pause: a quarter of a second's worth.
func (b *Budget) burst() float64 { return max(minCallsInFlight, b.rate/4) }

// ObserveLag takes in how late the actor came to what was due.
func (b *Budget) ObserveLag(now time.Time, lag time.Duration) {
	gone := now.Sub(b.last).Seconds()
	b.last = now
	if gone < 0 {
		return
	}
	switch {
	case lag > lateThreshold && now.Sub(b.lastCut) >= cutPause:
		b.rate = max(minRate, cut*b.rate)
		b.lastCut = now
		b.cuts++
	case lag < onTimeThreshold:
		b.rate = min(maxRateFactor*b.initialRate, b.rate+grow*b.initialRate*min(gone, 1))
	}
	b.tokens = min(b.burst(), b.tokens+b.rate*min(gone, 1))
}

// ResetForTakeover begins anew after a take-over: what an earlier holding learned of this node's
// load does not hold for the next.
func (b *Budget) ResetForTakeover(now time.Time) {
	b.rate = min(b.rate, b.initialRate)
	b.tokens = min(b.tokens, b.burst())
	b.last = now
}

// reserve is what a kind leaves of the burst to those before it.
func (b *Budget) reserve(k OrderKind) float64 {
	return b.burst() * 0.5 * float64(k) / float64(OrderKinds)
}

// Take gives out up to want orders of a kind.
func (b *Budget) Take(k OrderKind, want int) int {
	n := max(0, min(want, int(b.tokens-b.reserve(k))))
	b.tokens -= float64(n)
	b.granted[k] += n
	b.deferred[k] += want - n
	return n
}

// CallsAvailable is how many orders of a kind there may be now that take a socket each.
func (b *Budget) CallsAvailable(k OrderKind) int {
	return max(0, min(int(b.tokens-b.reserve(k)), b.maxCallsInFlight-b.callsInFlight))
}

// TakeCalls gives out up to want orders of a kind that take a socket each until Ended.
func (b *Budget) TakeCalls(k OrderKind, want int) int {
	n := b.Take(k, min(want, b.CallsAvailable(k)))
	b.callsInFlight += n
	return n
}

// CallEnded gives a call's socket back.
func (b *Budget) CallEnded() { b.callsInFlight = max(0, b.callsInFlight-1) }

// RecentlyLate says whether the actor was late within a while.
func (b *Budget) RecentlyLate(now time.Time, within time.Duration) bool {
	return b.cuts > 0 && now.Sub(b.lastCut) <= within
}

// Rate is how many orders a second there may be now.
func (b *Budget) Rate() float64 { return b.rate }

// Granted and Held are how many orders of a kind were given out and held back so far.
func (b *Budget) Granted(k OrderKind) int { return b.granted[k] }

// Deferred is how many were held back; one that is asked for again counts again.
func (b *Budget) Deferred(k OrderKind) int { return b.deferred[k] }
