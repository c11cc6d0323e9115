package start

import (
	"time"
)

// OrderKind is a kind of order that a node gives on its own, in order of urgency: each
// kind leaves a part of the budget to the kinds before it.
type OrderKind uint8

const (
	Stop       OrderKind = iota // frees capacity, or ends a cancelled task
	Start                       // starts a task
	Poll                        // sends the token and requests a report
	Rent                        // rents machines
	Move                        // moves a machine to another partition
	Return                      // returns an idle machine
	OrderKinds                  // number of kinds
)

var orderNames = [OrderKinds]string{"stop", "start", "ask", "rent", "move", "return"}

// String returns the name of the kind.
func (o OrderKind) String() string { return orderNames[min(o, OrderKinds-1)] }

// Limits are the resources of the machine that a node runs on.
type Limits struct {
	Cores   float64 // processor cores
	Sockets int     // 0: unknown
}

const (
	// callCPUSeconds is the processor time of a direct call, measured on the bench's
	// simulated machines: connection, request, answer and the actor's turn.
	callCPUSeconds = 0.0008
	// initialCPUFraction is the fraction of the processor time that the initial call rate
	// may use.
	initialCPUFraction = 0.25
	// minRate is the number of calls a second that is always allowed.
	minRate = 8
	// socketFraction is the fraction of the sockets that calls in flight may use.
	socketFraction = 1.0 / 32
	// minCallsInFlight is the number of calls in flight that is always allowed.
	minCallsInFlight = 4

	// A lag of the actor above lateThreshold lowers the rate; a lag below onTimeThreshold
	// allows it to grow.
	lateThreshold   = 150 * time.Millisecond
	onTimeThreshold = 50 * time.Millisecond
	// The rate is multiplied by decreaseFactor, at most once per minDecreaseInterval. It
	// grows by increasePerSecond times the initial rate for each second on time.
	decreaseFactor    = 0.5
	increasePerSecond = 0.5
	// minDecreaseInterval lets a decrease take effect before the next one.
	minDecreaseInterval = 400 * time.Millisecond
	// maxRateFactor is the highest rate as a multiple of the initial rate.
	maxRateFactor = 8
)

// Budget limits the orders that a node gives on its own: calls in flight by the number of
// sockets, calls a second by the lag of the node's actor. The rate grows linearly while
// the actor is on time and is halved when it is late, like a TCP congestion window, so the
// cost of a call need not be known.
type Budget struct {
	initialRate, rate float64
	tokens            float64
	lastUpdate        time.Time
	lastDecrease      time.Time
	callsInFlight     int
	maxCallsInFlight  int
	granted           [OrderKinds]int
	deferred          [OrderKinds]int
	decreases         int
}

// NewBudget returns a budget for a machine with the given limits.
func NewBudget(limits Limits, now time.Time) *Budget {
	cores := limits.Cores
	if cores <= 0 {
		cores = 1
	}
	b := &Budget{initialRate: max(minRate, initialCPUFraction*cores/callCPUSeconds), lastUpdate: now, maxCallsInFlight: 64}
	if limits.Sockets > 0 {
		b.maxCallsInFlight = max(minCallsInFlight, int(socketFraction*float64(limits.Sockets)))
	}
	b.rate = b.initialRate
	b.tokens = b.burst()
	return b
}

// burst is the highest number of orders that may be given at once after an idle time: a
// quarter of a second's worth.
func (b *Budget) burst() float64 { return max(minCallsInFlight, b.rate/4) }

// ObserveLag adjusts the rate to the lag of the actor, which is how late it ran an event
// that was due, and refills the tokens.
func (b *Budget) ObserveLag(now time.Time, lag time.Duration) {
	elapsed := now.Sub(b.lastUpdate).Seconds()
	b.lastUpdate = now
	if elapsed < 0 {
		return
	}
	switch {
	case lag > lateThreshold && now.Sub(b.lastDecrease) >= minDecreaseInterval:
		b.rate = max(minRate, decreaseFactor*b.rate)
		b.lastDecrease = now
		b.decreases++
	case lag < onTimeThreshold:
		b.rate = min(maxRateFactor*b.initialRate, b.rate+increasePerSecond*b.initialRate*min(elapsed, 1))
	}
	b.tokens = min(b.burst(), b.tokens+b.rate*min(elapsed, 1))
}

// ResetForTakeover resets the budget after a takeover: a rate that was reached during an
// earlier ownership says nothing about the load of the next one.
func (b *Budget) ResetForTakeover(now time.Time) {
	b.rate = min(b.rate, b.initialRate)
	b.tokens = min(b.tokens, b.burst())
	b.lastUpdate = now
}

// reserve is the part of the burst that a kind leaves to the kinds before it.
func (b *Budget) reserve(kind OrderKind) float64 {
	return b.burst() * 0.5 * float64(kind) / float64(OrderKinds)
}

// Take grants up to want orders of a kind and returns how many.
func (b *Budget) Take(kind OrderKind, want int) int {
	granted := max(0, min(want, int(b.tokens-b.reserve(kind))))
	b.tokens -= float64(granted)
	b.granted[kind] += granted
	b.deferred[kind] += want - granted
	return granted
}

// CallsAvailable returns how many orders of a kind that use a socket each may be given
// now.
func (b *Budget) CallsAvailable(kind OrderKind) int {
	return max(0, min(int(b.tokens-b.reserve(kind)), b.maxCallsInFlight-b.callsInFlight))
}

// TakeCalls grants up to want orders of a kind that use a socket each until CallEnded.
func (b *Budget) TakeCalls(kind OrderKind, want int) int {
	granted := b.Take(kind, min(want, b.CallsAvailable(kind)))
	b.callsInFlight += granted
	return granted
}

// CallEnded releases the socket of a call.
func (b *Budget) CallEnded() { b.callsInFlight = max(0, b.callsInFlight-1) }

// RecentlyLate reports whether the rate was lowered within the given time because the
// actor was late.
func (b *Budget) RecentlyLate(now time.Time, within time.Duration) bool {
	return b.decreases > 0 && now.Sub(b.lastDecrease) <= within
}

// Rate returns how many orders a second are allowed now.
func (b *Budget) Rate() float64 { return b.rate }

// Granted returns how many orders of a kind were granted so far.
func (b *Budget) Granted(kind OrderKind) int { return b.granted[kind] }

// Deferred returns how many orders of a kind were held back so far; one that is requested
// again counts again.
func (b *Budget) Deferred(kind OrderKind) int { return b.deferred[kind] }
