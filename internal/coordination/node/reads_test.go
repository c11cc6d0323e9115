package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// answerTimes are how long requests of one kind took. Its methods may be called by many.
type answerTimes struct {
	mu         sync.Mutex
	times      []time.Duration // of those that were answered
	undecided  int             // answered 503
	unanswered int             // by the time that users wait
}

// measure makes one request of a node that its user waits for within limit.
func (m *answerTimes) measure(w *world, node string, limit time.Duration, f func(n *Node, reply chan<- answer)) answer {
	ctx, cancel := context.WithTimeout(w.ctx, limit)
	defer cancel()
	began := time.Now()
	a, err := w.ask(ctx, node, f)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.unanswered++
		return a
	}
	m.times = append(m.times, time.Since(began))
	if a.status == 503 {
		m.undecided++
	}
	return a
}

// longest is the longest time that an answer took.
func (m *answerTimes) longest() time.Duration {
	if len(m.times) == 0 {
		return 0
	}
	return slices.Max(m.times)
}

// within is the part of all requests that were answered, and decided, within a time.
func (m *answerTimes) decidedPart() float64 {
	return float64(len(m.times)-m.undecided) / float64(max(1, len(m.times)+m.unanswered))
}

func (m *answerTimes) String() string {
	slices.Sort(m.times)
	at := func(part float64) time.Duration {
		if len(m.times) == 0 {
			return 0
		}
		return m.times[int(part*float64(len(m.times)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("%d answered, p50 %v p95 %v max %v, %d with 503, %d not answered", len(m.times), at(0.5), at(0.95), at(1), m.undecided, m.unanswered)
}

// load is what users do at all nodes for a while, and how they fare.
type load struct {
	w                        *world
	polls, submits, cancels  answerTimes
	until                    time.Time
	mu                       sync.Mutex
	running                  []string // accepted jobs that nobody has cancelled
	requestsBefore, requests int
}

// play lets users ask every second, submit every few seconds and cancel, at every node.
func (l *load) play(lasts time.Duration) {
	l.until = time.Now().Add(lasts)
	var users sync.WaitGroup
	for i, node := range l.w.names {
		for k := range 4 {
			users.Go(func() { l.poll(node, time.Duration(250*k+70*i)*time.Millisecond) })
		}
		users.Go(func() { l.submitAndCancel(node, i) })
	}
	users.Wait()
}

// poll asks a node about jobs every second.
func (l *load) poll(node string, after time.Duration) {
	time.Sleep(after)
	for turn := 0; time.Now().Before(l.until); turn++ {
		began := time.Now()
		id := l.jobToAsk(turn)
		a := l.polls.measure(l.w, node, 2*time.Second, func(n *Node, reply chan<- answer) { n.onPoll(id, reply) })
		if a.status == 404 && id != "job-unknown" {
			l.w.complain("%s forgotten at %s", id, node)
		}
		time.Sleep(time.Until(began.Add(time.Second)))
	}
}

// jobToAsk is an accepted job, or now and then one that nobody has submitted.
func (l *load) jobToAsk(turn int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.running) == 0 || turn%10 == 9 {
		return "job-unknown"
	}
	return l.running[turn%len(l.running)]
}

// submitAndCancel submits a job every three seconds, each request once more if it is not
// accepted, and cancels every other one a while later.
func (l *load) submitAndCancel(node string, of int) {
	for k := 0; time.Now().Before(l.until); k++ {
		s := &protocol.JobSpec{ID: fmt.Sprintf("job-9%02d%03d", of, k), Team: "red", Class: "c", Priority: "standard", Shape: protocol.Service,
			Tasks: 1, CPUs: 1, GPUs: 0.1, MemoryGB: 1, Image: "img-0", ImageGB: 1}
		l.w.fleet.Submitted(s)
		for accepted := false; !accepted && l.w.ctx.Err() == nil; {
			a := l.submits.measure(l.w, node, 5*time.Second, func(n *Node, reply chan<- answer) { n.onSubmit(s, time.Now(), reply) })
			if accepted = a.status == 200 || a.status == 201; !accepted {
				time.Sleep(time.Second)
			}
		}
		l.mu.Lock()
		l.running = append(l.running, s.ID)
		l.mu.Unlock()
		time.Sleep(3 * time.Second)
		if k%2 == 1 {
			l.cancelJob(node, s.ID)
		}
	}
}

// cancelJob cancels a job until that is confirmed.
func (l *load) cancelJob(node, id string) {
	for l.w.ctx.Err() == nil {
		a := l.cancels.measure(l.w, node, 5*time.Second, func(n *Node, reply chan<- answer) { n.onCancel(id, 5, reply) })
		if a.status == 200 {
			l.w.fleet.Cancelled(id)
			return
		}
		time.Sleep(time.Second)
	}
}

// Where a third of all transactions are executed at once and only their answer is lost, no
// user waits for the answer to a question for longer than a second, none of any request goes
// without an answer, and the state service gets no more requests than its limit. (On a
// simulated day of this kind 1,993 of 26,047 questions were in vain and 965 requests went
// unanswered: one read barrier was under way at a time, and all questions waited for it.)
func TestUsersAreAnsweredWhereAnswersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(t, ctx, 21, asTheyAre)
		l := &load{w: w}
		w.run(10, func(w *world) {
			w.set(func() { w.lostAnswers = 0.35; clear(w.requests) })
			l.play(100 * time.Second)
		})
		t.Logf("questions: %v", &l.polls)
		t.Logf("submissions: %v", &l.submits)
		t.Logf("cancellations: %v", &l.cancels)
		t.Logf("state service: %d requests in the busiest second", most(w.requests))
		if lost, barriers := w.times("executed without an answer"), w.times("read barrier without an answer"); lost < 20 || barriers < 100 {
			t.Errorf("answers of only %d changes and %d read barriers were lost", lost, barriers)
		}
		for _, m := range []*answerTimes{&l.polls, &l.submits, &l.cancels} {
			if m.unanswered > 0 || len(m.times) == 0 {
				t.Errorf("unanswered: %v", m)
			}
		}
		if l.polls.longest() > time.Second {
			t.Errorf("a question waited for %v", l.polls.longest())
		}
		if part := l.polls.decidedPart(); part < 0.99 {
			t.Errorf("only %.3f of the questions were decided", part)
		}
		if limit := int(w.cfg["n-0"].Params.State.RPS); most(w.requests) > limit {
			t.Errorf("%d requests to the state service in a second, limit %d", most(w.requests), limit)
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}
