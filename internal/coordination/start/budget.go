package start

import (
	"time"
)

// Order is a kind of order that a node gives on its own, in order of urgency: a kind
// leaves a part of the budget to all before it.
type Order uint8

const (
	Stop   Order = iota // makes room, ends what is cancelled
	Start               // starts a task
	Ask                 // shows the token and asks for a report
	Rent                // machines
	Move                // a machine to another share
	Return              // a machine for idleness
	Orders              // how many kinds there are
)

var orderNames = [Orders]string{"stop", "start", "ask", "rent", "move", "return"}

func (o Order) String() string { return orderNames[min(o, Orders-1)] }

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
	// leastRate is how many calls a second are always possible.
	leastRate = 8
	// socketPart is the part of the sockets that calls under way may take.
	socketPart = 1.0 / 32
	// leastUnderWay are always possible.
	leastUnderWay = 4

	// late is how late the actor may come to what is due before calls become fewer;
	// in time: early enough that they may become more.
	late   = 150 * time.Millisecond
	inTime = 50 * time.Millisecond
	// cut is the factor by which they become fewer, at most once a pause; grow what
	// a second in time adds, in parts of the rate that calls begin with.
	cut  = 0.5
	grow = 0.5
	// cutPause lets a cut show its effect.
	cutPause = 400 * time.Millisecond
	// most is the greatest rate, in parts of the first one.
	mostRate = 8
)

// Budget bounds what a node orders by itself: calls under way by its sockets, calls a
// second by what its actor's turns cost now. It grows steadily while the actor is in
// time and is halved when it is late, as TCP does with its window, so that what calls
// cost need not be known.
type Budget struct {
	first, rate float64
	tokens      float64
	last        time.Time
	lastCut     time.Time
	underWay    int
	mostUnder   int
	given       [Orders]int
	held        [Orders]int
	cuts        int
}

// NewBudget plans for a machine.
func NewBudget(l Limits, now time.Time) *Budget {
	cores := l.Cores
	if cores <= 0 {
		cores = 1
	}
	b := &Budget{first: max(leastRate, callsPart*cores/callS), last: now, mostUnder: 64}
	if l.Sockets > 0 {
		b.mostUnder = max(leastUnderWay, int(socketPart*float64(l.Sockets)))
	}
	b.rate = b.first
	b.tokens = b.burst()
	return b
}

// burst is what may be ordered at once after a pause: a quarter of a second's worth.
func (b *Budget) burst() float64 { return max(leastUnderWay, b.rate/4) }

// Turn takes in how late the actor came to what was due.
func (b *Budget) Turn(now time.Time, lag time.Duration) {
	gone := now.Sub(b.last).Seconds()
	b.last = now
	if gone < 0 {
		return
	}
	switch {
	case lag > late && now.Sub(b.lastCut) >= cutPause:
		b.rate = max(leastRate, cut*b.rate)
		b.lastCut = now
		b.cuts++
	case lag < inTime:
		b.rate = min(mostRate*b.first, b.rate+grow*b.first*min(gone, 1))
	}
	b.tokens = min(b.burst(), b.tokens+b.rate*min(gone, 1))
}

// Fresh begins anew after a take-over: what an earlier holding learned of this node's
// load does not hold for the next.
func (b *Budget) Fresh(now time.Time) {
	b.rate = min(b.rate, b.first)
	b.tokens = min(b.tokens, b.burst())
	b.last = now
}

// reserve is what a kind leaves of the burst to those before it.
func (b *Budget) reserve(k Order) float64 {
	return b.burst() * 0.5 * float64(k) / float64(Orders)
}

// Take gives out up to want orders of a kind.
func (b *Budget) Take(k Order, want int) int {
	n := max(0, min(want, int(b.tokens-b.reserve(k))))
	b.tokens -= float64(n)
	b.given[k] += n
	b.held[k] += want - n
	return n
}

// Room is how many orders of a kind there may be now that take a socket each.
func (b *Budget) Room(k Order) int {
	return max(0, min(int(b.tokens-b.reserve(k)), b.mostUnder-b.underWay))
}

// Call gives out up to want orders of a kind that take a socket each until Ended.
func (b *Budget) Call(k Order, want int) int {
	n := b.Take(k, min(want, b.Room(k)))
	b.underWay += n
	return n
}

// Ended gives a call's socket back.
func (b *Budget) Ended() { b.underWay = max(0, b.underWay-1) }

// Late says whether the actor was late within a while.
func (b *Budget) Late(now time.Time, within time.Duration) bool {
	return b.cuts > 0 && now.Sub(b.lastCut) <= within
}

// Rate is how many orders a second there may be now.
func (b *Budget) Rate() float64 { return b.rate }

// Given and Held are how many orders of a kind were given out and held back so far.
func (b *Budget) Given(k Order) int { return b.given[k] }

// Held is how many were held back; one that is asked for again counts again.
func (b *Budget) Held(k Order) int { return b.held[k] }
