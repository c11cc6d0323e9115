package statusread

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	step  = 10 * time.Millisecond // of the simulated clock
	never = time.Duration(math.MaxInt64)

	maxInFlight = int(ReadTimeout/BarrierInterval) + 1
)

// response is the reaction of the state service to one barrier.
type response struct {
	after   time.Duration // never: no answer comes
	refused bool
}

// client simulates the owner of a queue and the state service, with a simulated clock.
type client struct {
	now        time.Time
	queue      Queue[int]
	maxReads   int                        // reads that one barrier has room for
	service    func(barrier int) response // by the number of the barrier
	openedAt   map[int]time.Time          // by read
	decided    map[int]time.Duration      // time until the answer, by read
	expired    map[int]time.Duration
	refused    map[int]time.Duration
	barriers   []time.Time
	covered    [][]int // reads by barrier
	inTransit  []arrival
	violations []string
}

// arrival is an answer in transit.
type arrival struct {
	at      time.Time
	barrier *Barrier[int]
	refused bool
}

func newClient(service func(barrier int) response) *client {
	return &client{now: time.Unix(1000, 0), maxReads: 60, service: service, openedAt: map[int]time.Time{},
		decided: map[int]time.Duration{}, expired: map[int]time.Duration{}, refused: map[int]time.Duration{}}
}

// add opens a read.
func (c *client) add(id int) {
	c.openedAt[id] = c.now
	c.queue.Add(id, c.now)
}

// run advances the clock.
func (c *client) run(lasts time.Duration) {
	for end := c.now.Add(lasts); c.now.Before(end); c.now = c.now.Add(step) {
		c.deliver()
		for _, r := range c.queue.Expired(c.now) {
			c.expired[r.Value] = c.now.Sub(c.openedAt[r.Value])
		}
		c.send()
	}
}

// deliver processes the answers that have arrived.
func (c *client) deliver() {
	waiting := c.inTransit
	c.inTransit = nil
	for _, a := range waiting {
		switch {
		case a.at.After(c.now):
			c.inTransit = append(c.inTransit, a)
		case a.refused:
			for _, r := range c.queue.Refused(a.barrier) {
				c.refused[r.Value] = c.now.Sub(c.openedAt[r.Value])
			}
		default:
			for _, r := range c.queue.Answered(a.barrier, c.now) {
				c.decide(r, a.barrier)
			}
		}
	}
}

// decide answers a read, which must not have been opened after the barrier was sent.
func (c *client) decide(r *Read[int], b *Barrier[int]) {
	if b.sentAt.Before(c.openedAt[r.Value]) {
		c.violations = append(c.violations, fmt.Sprintf("read %d answered by an earlier barrier", r.Value))
	}
	if _, twice := c.decided[r.Value]; twice || r.Closed() {
		c.violations = append(c.violations, fmt.Sprintf("read %d answered twice", r.Value))
	}
	c.decided[r.Value] = c.now.Sub(c.openedAt[r.Value])
	c.queue.Close(r)
}

// send sends the barrier that is due.
func (c *client) send() {
	left := c.maxReads
	var covered []int
	b := c.queue.NextBarrier(c.now, func(id int) bool {
		if left--; left < 0 {
			return false
		}
		covered = append(covered, id)
		return true
	})
	if b == nil {
		return
	}
	c.covered = append(c.covered, covered)
	if last := len(c.barriers); last > 0 && c.now.Sub(c.barriers[last-1]) < BarrierInterval {
		c.violations = append(c.violations, fmt.Sprintf("barrier %d sent too soon after the previous one", last))
	}
	if len(c.queue.inFlight) > maxInFlight {
		c.violations = append(c.violations, fmt.Sprintf("%d barriers in flight", len(c.queue.inFlight)))
	}
	answer := c.service(len(c.barriers))
	c.barriers = append(c.barriers, c.now)
	if answer.after != never {
		c.inTransit = append(c.inTransit, arrival{c.now.Add(answer.after), b, answer.refused})
	}
}

// answers is a service that answers the barriers after the given times in turn; the last
// one applies to all further barriers.
func answers(after ...time.Duration) func(int) response {
	return func(barrier int) response { return response{after: after[min(barrier, len(after)-1)]} }
}

// refuses is a service that refuses every barrier.
func refuses(int) response { return response{after: step, refused: true} }

func TestQueue(t *testing.T) {
	for _, x := range []struct {
		name                     string
		service                  func(int) response
		warmUp                   int // earlier reads, one second apart
		together                 int // reads opened at once after that
		room                     int
		decided                  int
		longest                  time.Duration // bound for the decided ones
		refused                  int
		expired                  int
		minBarriers, maxBarriers int // sent for these reads
	}{
		{name: "prompt answers", service: answers(step), warmUp: 5, together: 50, decided: 50, longest: step, minBarriers: 1, maxBarriers: 1},
		{name: "not enough room for all reads", service: answers(step), warmUp: 5, together: 50, room: 20, decided: 50, longest: 2*BarrierInterval + step, minBarriers: 3, maxBarriers: 3},
		{name: "the first answer is lost", service: answers(never, step), together: 3, decided: 3, longest: maxRetry + step, minBarriers: 2, maxBarriers: 2},
		{name: "answer lost after prompt answers", service: answers(step, step, step, step, step, never, step), warmUp: 5, together: 3, decided: 3, longest: BarrierInterval + step, minBarriers: 2, maxBarriers: 2},
		{name: "three answers are lost", service: answers(never, never, never, step), together: 3, decided: 3, longest: ReadTimeout, minBarriers: 4, maxBarriers: 4},
		{name: "slow answers do not cause retries", service: answers(240 * time.Millisecond), warmUp: 20, together: 3, decided: 3, longest: 240 * time.Millisecond, minBarriers: 1, maxBarriers: 1},
		{name: "first of several answers decides", service: answers(600*time.Millisecond, never), together: 3, decided: 3, longest: 600 * time.Millisecond, minBarriers: 2, maxBarriers: 4},
		{name: "no answers at all", service: answers(never), together: 3, expired: 3, minBarriers: 3, maxBarriers: maxInFlight},
		{name: "refused while another barrier is in flight", service: func(barrier int) response {
			return response{after: 300 * time.Millisecond * time.Duration(2-min(barrier, 1)), refused: barrier > 0}
		}, together: 3, decided: 3, longest: 600 * time.Millisecond, minBarriers: 2, maxBarriers: 3},
		{name: "refused", service: refuses, together: 3, refused: 3, minBarriers: 1, maxBarriers: 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newClient(x.service)
			if x.room > 0 {
				c.maxReads = x.room
			}
			for i := range x.warmUp {
				c.add(-1 - i)
				c.run(time.Second)
			}
			before := len(c.barriers)
			clear(c.decided)
			for i := range x.together {
				c.add(i)
			}
			c.run(2 * time.Second)
			if len(c.decided) != x.decided || len(c.refused) != x.refused || len(c.expired) != x.expired {
				t.Errorf("decided %v, refused %v, expired %v", c.decided, c.refused, c.expired)
			}
			for id, took := range c.decided {
				if took > x.longest {
					t.Errorf("read %d took %v, want at most %v", id, took, x.longest)
				}
			}
			if sent := len(c.barriers) - before; sent < x.minBarriers || sent > x.maxBarriers {
				t.Errorf("%d barriers, want %d to %d", sent, x.minBarriers, x.maxBarriers)
			}
			if len(c.violations) > 0 {
				t.Error(c.violations)
			}
		})
	}
}

// While the state service does not answer, few barriers are sent; the normal rate returns
// with the first answer.
func TestQueueUnansweredService(t *testing.T) {
	answered := false
	c := newClient(func(int) response {
		if answered {
			return response{after: step}
		}
		return response{after: never}
	})
	c.add(0)
	id := 1
	for range 100 { // ten seconds
		c.add(id)
		id++
		c.run(100 * time.Millisecond)
	}
	before := len(c.barriers)
	for range 100 {
		c.add(id)
		id++
		c.run(100 * time.Millisecond)
	}
	if sent := len(c.barriers) - before; sent > 21 || sent < 10 {
		t.Errorf("%d barriers in ten seconds without answers", sent)
	}
	for _, took := range c.expired {
		if took > ReadTimeout+step {
			t.Fatalf("a read waited for %v", took)
		}
	}
	answered = true
	c.add(id)
	c.run(time.Second)
	if took, ok := c.decided[id]; !ok || took > silentInterval+2*step {
		t.Errorf("first read after the outage: answered %v after %v", ok, took)
	}
	before = len(c.barriers)
	for range 10 {
		id++
		c.add(id)
		c.run(100 * time.Millisecond)
	}
	if sent := len(c.barriers) - before; sent < 7 {
		t.Errorf("%d barriers in one second with answers", sent)
	}
}

// If a barrier has no room for all reads, no read is sent twice before every other one was
// sent once.
func TestQueueFairness(t *testing.T) {
	c := newClient(answers(never))
	c.maxReads = 1
	for i := range 3 {
		c.add(i)
	}
	c.run(3 * BarrierInterval)
	if got := fmt.Sprint(c.covered); got != "[[0] [1] [2]]" {
		t.Errorf("barriers cover %s", got)
	}
}

// A read whose owner reads the stored value itself is covered by no further barrier, and
// expires like any other.
func TestQueueResolvingRead(t *testing.T) {
	c := newClient(answers(never))
	c.add(1)
	c.run(step)
	c.queue.MarkResolving(c.queue.open[0])
	c.run(2 * time.Second)
	if len(c.barriers) != 1 || len(c.expired) != 1 || c.expired[1] > ReadTimeout+step {
		t.Errorf("%d barriers, expired %v", len(c.barriers), c.expired)
	}
}

// For any lost, late or refused barriers: each read is answered once, by a barrier sent
// after it was opened, or expires after ReadTimeout; barriers keep their interval, and few
// are in flight.
func TestQueueAnyService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClient(func(int) response {
			if rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
				return response{after: never}
			}
			return response{after: time.Duration(rapid.IntRange(1, 100).Draw(t, "steps")) * step, refused: rapid.IntRange(0, 9).Draw(t, "refused") == 0}
		})
		c.maxReads = rapid.IntRange(1, 5).Draw(t, "room")
		count := rapid.IntRange(1, 40).Draw(t, "questions")
		for i := range count {
			c.add(i)
			c.run(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * step)
		}
		c.run(ReadTimeout + step)
		if ended := len(c.decided) + len(c.refused) + len(c.expired); ended != count || c.queue.Len() != 0 {
			t.Fatalf("%d of %d reads ended, %d open", ended, count, c.queue.Len())
		}
		for _, times := range []map[int]time.Duration{c.decided, c.refused, c.expired} {
			for id, took := range times {
				if took > ReadTimeout+step {
					t.Fatalf("read %d waited for %v", id, took)
				}
			}
		}
		if len(c.violations) > 0 {
			t.Fatal(c.violations)
		}
	})
}
