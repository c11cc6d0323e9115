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

// response is what the service does with one barrier.
type response struct {
	after   time.Duration // never: no answer comes
	refused bool
}

// client plays an owner of a queue against a service, on a clock of its own.
type client struct {
	now      time.Time
	queue    Queue[int]
	room     int                        // questions that one barrier has room for
	service  func(barrier int) response // by the number of the barrier
	asked    map[int]time.Time
	decided  map[int]time.Duration // how long a question waited for an answer
	expired  map[int]time.Duration
	refused  map[int]time.Duration
	barriers []time.Time
	covered  [][]int // by each barrier
	pending  []arrival
	faults   []string
}

type arrival struct {
	at      time.Time
	barrier *Barrier[int]
	refused bool
}

func newClient(service func(barrier int) response) *client {
	return &client{now: time.Unix(1000, 0), room: 60, service: service, asked: map[int]time.Time{},
		decided: map[int]time.Duration{}, expired: map[int]time.Duration{}, refused: map[int]time.Duration{}}
}

func (c *client) ask(question int) {
	c.asked[question] = c.now
	c.queue.Add(question, c.now)
}

// run lets time pass.
func (c *client) run(lasts time.Duration) {
	for end := c.now.Add(lasts); c.now.Before(end); c.now = c.now.Add(step) {
		c.deliver()
		for _, r := range c.queue.Expired(c.now) {
			c.expired[r.Value] = c.now.Sub(c.asked[r.Value])
		}
		c.send()
	}
}

// deliver takes in the answers that have come.
func (c *client) deliver() {
	waiting := c.pending
	c.pending = nil
	for _, a := range waiting {
		switch {
		case a.at.After(c.now):
			c.pending = append(c.pending, a)
		case a.refused:
			for _, r := range c.queue.Refused(a.barrier) {
				c.refused[r.Value] = c.now.Sub(c.asked[r.Value])
			}
		default:
			for _, r := range c.queue.Answered(a.barrier, c.now) {
				c.decide(r, a.barrier)
			}
		}
	}
}

// decide answers a question, which must not be newer than the barrier.
func (c *client) decide(r *Read[int], b *Barrier[int]) {
	if b.sentAt.Before(c.asked[r.Value]) {
		c.faults = append(c.faults, fmt.Sprintf("question %d answered by a barrier from before it", r.Value))
	}
	if _, twice := c.decided[r.Value]; twice || r.Closed() {
		c.faults = append(c.faults, fmt.Sprintf("question %d answered twice", r.Value))
	}
	c.decided[r.Value] = c.now.Sub(c.asked[r.Value])
	c.queue.Close(r)
}

// send sends the barrier that is due.
func (c *client) send() {
	room := c.room
	var covered []int
	b := c.queue.NextBarrier(c.now, func(question int) bool {
		if room--; room < 0 {
			return false
		}
		covered = append(covered, question)
		return true
	})
	if b == nil {
		return
	}
	c.covered = append(c.covered, covered)
	if last := len(c.barriers); last > 0 && c.now.Sub(c.barriers[last-1]) < BarrierInterval {
		c.faults = append(c.faults, fmt.Sprintf("barrier %d follows the one before too soon", last))
	}
	if len(c.queue.inFlight) > maxInFlight {
		c.faults = append(c.faults, fmt.Sprintf("%d barriers under way", len(c.queue.inFlight)))
	}
	answer := c.service(len(c.barriers))
	c.barriers = append(c.barriers, c.now)
	if answer.after != never {
		c.pending = append(c.pending, arrival{c.now.Add(answer.after), b, answer.refused})
	}
}

// answers is a service that answers each barrier after so long, in turn; the last one stands
// for all that follow.
func answers(after ...time.Duration) func(int) response {
	return func(barrier int) response { return response{after: after[min(barrier, len(after)-1)]} }
}

func refuses(int) response { return response{after: step, refused: true} }

func TestQueue(t *testing.T) {
	for _, x := range []struct {
		name         string
		service      func(int) response
		warmUp       int // questions that come before, a second apart
		together     int // questions that come then, at once
		room         int
		decided      int
		longest      time.Duration // of the decided ones
		refused      int
		expired      int
		fewest, most int // barriers for them
	}{
		{name: "prompt answers", service: answers(step), warmUp: 5, together: 50, decided: 50, longest: step, fewest: 1, most: 1},
		{name: "no room for all", service: answers(step), warmUp: 5, together: 50, room: 20, decided: 50, longest: 2*BarrierInterval + step, fewest: 3, most: 3},
		{name: "the first answer is lost", service: answers(never, step), together: 3, decided: 3, longest: maxRetry + step, fewest: 2, most: 2},
		{name: "lost where answers are known to be prompt", service: answers(step, step, step, step, step, never, step), warmUp: 5, together: 3, decided: 3, longest: BarrierInterval + step, fewest: 2, most: 2},
		{name: "three answers are lost", service: answers(never, never, never, step), together: 3, decided: 3, longest: ReadTimeout, fewest: 4, most: 4},
		{name: "slow answers are waited for", service: answers(240 * time.Millisecond), warmUp: 20, together: 3, decided: 3, longest: 240 * time.Millisecond, fewest: 1, most: 1},
		{name: "the first of several answers decides", service: answers(600*time.Millisecond, never), together: 3, decided: 3, longest: 600 * time.Millisecond, fewest: 2, most: 4},
		{name: "no answers at all", service: answers(never), together: 3, expired: 3, fewest: 3, most: maxInFlight},
		{name: "refused while another one is under way", service: func(barrier int) response {
			return response{after: 300 * time.Millisecond * time.Duration(2-min(barrier, 1)), refused: barrier > 0}
		}, together: 3, decided: 3, longest: 600 * time.Millisecond, fewest: 2, most: 3},
		{name: "refused", service: refuses, together: 3, refused: 3, fewest: 1, most: 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newClient(x.service)
			if x.room > 0 {
				c.room = x.room
			}
			for i := range x.warmUp {
				c.ask(-1 - i)
				c.run(time.Second)
			}
			before := len(c.barriers)
			clear(c.decided)
			for i := range x.together {
				c.ask(i)
			}
			c.run(2 * time.Second)
			if len(c.decided) != x.decided || len(c.refused) != x.refused || len(c.expired) != x.expired {
				t.Errorf("decided %v, refused %v, expired %v", c.decided, c.refused, c.expired)
			}
			for question, took := range c.decided {
				if took > x.longest {
					t.Errorf("question %d took %v, at most %v", question, took, x.longest)
				}
			}
			if sent := len(c.barriers) - before; sent < x.fewest || sent > x.most {
				t.Errorf("%d barriers, want %d to %d", sent, x.fewest, x.most)
			}
			if len(c.faults) > 0 {
				t.Error(c.faults)
			}
		})
	}
}

// A service that does not answer is asked rarely, and as before once it answers again.
func TestQueueInSilence(t *testing.T) {
	answered := false
	c := newClient(func(int) response {
		if answered {
			return response{after: step}
		}
		return response{after: never}
	})
	c.ask(0)
	question := 1
	for range 100 { // ten seconds
		c.ask(question)
		question++
		c.run(100 * time.Millisecond)
	}
	before := len(c.barriers)
	for range 100 {
		c.ask(question)
		question++
		c.run(100 * time.Millisecond)
	}
	if sent := len(c.barriers) - before; sent > 21 || sent < 10 {
		t.Errorf("%d barriers in ten seconds of silence", sent)
	}
	for _, took := range c.expired {
		if took > ReadTimeout+step {
			t.Fatalf("a question waited for %v", took)
		}
	}
	answered = true
	c.ask(question)
	c.run(time.Second)
	if took, ok := c.decided[question]; !ok || took > silentInterval+2*step {
		t.Errorf("the first question after the silence: answered %v after %v", ok, took)
	}
	before = len(c.barriers)
	for range 10 {
		question++
		c.ask(question)
		c.run(100 * time.Millisecond)
	}
	if sent := len(c.barriers) - before; sent < 7 {
		t.Errorf("%d barriers in a second with answers", sent)
	}
}

// Where barriers have no room for all questions, none is sent twice before all others were
// sent once.
func TestQueueFairness(t *testing.T) {
	c := newClient(answers(never))
	c.room = 1
	for i := range 3 {
		c.ask(i)
	}
	c.run(3 * BarrierInterval)
	if got := fmt.Sprint(c.covered); got != "[[0] [1] [2]]" {
		t.Errorf("barriers cover %s", got)
	}
}

// A question that its owner looks up itself is covered by no further barrier, and is given up
// like any other.
func TestQueueResolve(t *testing.T) {
	c := newClient(answers(never))
	c.ask(1)
	c.run(step)
	c.queue.MarkResolving(c.queue.open[0])
	c.run(2 * time.Second)
	if len(c.barriers) != 1 || len(c.expired) != 1 || c.expired[1] > ReadTimeout+step {
		t.Errorf("%d barriers, expired %v", len(c.barriers), c.expired)
	}
}

// Whatever is lost, late or refused: a question is answered once, by a barrier sent after it,
// or given up when its patience is over; barriers keep their pause, and few are under way.
func TestQueueAnyService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClient(func(int) response {
			if rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
				return response{after: never}
			}
			return response{after: time.Duration(rapid.IntRange(1, 100).Draw(t, "steps")) * step, refused: rapid.IntRange(0, 9).Draw(t, "refused") == 0}
		})
		c.room = rapid.IntRange(1, 5).Draw(t, "room")
		count := rapid.IntRange(1, 40).Draw(t, "questions")
		for i := range count {
			c.ask(i)
			c.run(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * step)
		}
		c.run(ReadTimeout + step)
		if ended := len(c.decided) + len(c.refused) + len(c.expired); ended != count || c.queue.Len() != 0 {
			t.Fatalf("%d of %d questions ended, %d open", ended, count, c.queue.Len())
		}
		for _, times := range []map[int]time.Duration{c.decided, c.refused, c.expired} {
			for question, took := range times {
				if took > ReadTimeout+step {
					t.Fatalf("question %d waited for %v", question, took)
				}
			}
		}
		if len(c.faults) > 0 {
			t.Fatal(c.faults)
		}
	})
}
