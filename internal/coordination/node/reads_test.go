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

// How long users wait for an answer.
const (
	pollWait   = 2 * time.Second
	submitWait = 5 * time.Second
)

// answerTimes are how long requests of one kind took. Its methods may be called by many.
type answerTimes struct {
	mu         sync.Mutex
	times      []time.Duration // of those that were answered
	undecided  int             // answered 503
	unanswered int             // by the time that users wait
}

// measure makes one request of a node that its user waits for within limit.
func (m *answerTimes) measure(w *simCluster, node string, limit time.Duration, f func(n *Node, reply chan<- answer)) answer {
	ctx, cancel := context.WithTimeout(w.ctx, limit)
	defer cancel()
	began := time.Now()
	a, err := w.userRequest(ctx, node, f)
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

// decidedPart is the part of all requests that were answered otherwise than with 503.
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
	w                       *simCluster
	polls, submits, cancels answerTimes
	until                   time.Time
	mu                      sync.Mutex
	accepted                []string
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
		a := l.polls.measure(l.w, node, pollWait, func(n *Node, reply chan<- answer) { n.onPoll(id, reply) })
		if a.status == 404 && id != "job-unknown" {
			l.w.violation("%s forgotten at %s", id, node)
		}
		time.Sleep(time.Until(began.Add(time.Second)))
	}
}

// jobToAsk is an accepted job, or now and then one that nobody has submitted.
func (l *load) jobToAsk(turn int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.accepted) == 0 || turn%10 == 9 {
		return "job-unknown"
	}
	return l.accepted[turn%len(l.accepted)]
}

// submitAndCancel submits a job every three seconds, each until it is accepted, and cancels
// every other one a while later.
func (l *load) submitAndCancel(node string, of int) {
	for k := 0; time.Now().Before(l.until); k++ {
		s := &protocol.JobSpec{ID: fmt.Sprintf("job-9%02d%03d", of, k), Team: "red", Class: "c", Priority: "standard", Shape: protocol.Service,
			Tasks: 1, CPUs: 1, GPUs: 0.1, MemoryGB: 1, Image: "img-0", ImageGB: 1}
		l.w.fleet.Submitted(s)
		if !l.submitJob(node, s) {
			return
		}
		time.Sleep(3 * time.Second)
		if k%2 == 1 {
			l.cancelJob(node, s.ID)
		}
	}
}

// submitJob submits a job until it is accepted or the load ends.
func (l *load) submitJob(node string, s *protocol.JobSpec) (accepted bool) {
	for time.Now().Before(l.until) {
		a := l.submits.measure(l.w, node, submitWait, func(n *Node, reply chan<- answer) { n.onSubmit(s, time.Now(), reply) })
		if a.status == 200 || a.status == 201 {
			l.mu.Lock()
			l.accepted = append(l.accepted, s.ID)
			l.mu.Unlock()
			l.askAllNodes(s.ID, false)
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// cancelJob cancels a job until that is confirmed or the load ends.
func (l *load) cancelJob(node, id string) {
	for time.Now().Before(l.until) {
		a := l.cancels.measure(l.w, node, submitWait, func(n *Node, reply chan<- answer) { n.onCancel(id, 5, reply) })
		if a.status == 200 {
			l.w.fleet.Cancelled(id)
			l.askAllNodes(id, true)
			return
		}
		time.Sleep(time.Second)
	}
}

// askAllNodes asks all nodes about a job at once, right after its user was told that it is
// accepted, or cancelled: no answer may be older than that.
func (l *load) askAllNodes(id string, cancelled bool) {
	var asked sync.WaitGroup
	for _, node := range l.w.names {
		asked.Go(func() {
			a := l.polls.measure(l.w, node, pollWait, func(n *Node, reply chan<- answer) { n.onPoll(id, reply) })
			s, known := a.body.(protocol.JobStatus)
			switch {
			case a.status == 404:
				l.w.violation("%s forgotten at %s", id, node)
			case known && cancelled != (s.Status == protocol.JobCancelled):
				l.w.violation("%s is %s at %s, cancelled: %v", id, s.Status, node, cancelled)
			case known:
				l.w.recordEvent("close look answered")
			}
		})
	}
	asked.Wait()
}

// usersAmid plays a load amid a fault of the state service and checks that no request goes
// without an answer, that no question waits for longer than a second, and that the state
// service gets no more requests than its limit.
func usersAmid(t *testing.T, seed uint64, lasts time.Duration, fault func(w *simCluster), check func(t *testing.T, l *load)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, seed, defaultSettings)
		l := &load{w: w}
		w.runWorkload(10, func(w *simCluster) {
			w.withLock(func() { clear(w.stateCalls); fault(w) })
			l.play(lasts)
		})
		t.Logf("questions: %v", &l.polls)
		t.Logf("submissions: %v", &l.submits)
		t.Logf("cancellations: %v", &l.cancels)
		t.Logf("state service: %d requests in the busiest second", maxPerSecond(w.stateCalls))
		for _, m := range []*answerTimes{&l.polls, &l.submits, &l.cancels} {
			if m.unanswered > 0 {
				t.Errorf("unanswered: %v", m)
			}
		}
		if len(l.polls.times) == 0 || len(l.submits.times) == 0 || l.polls.longest() > time.Second {
			t.Errorf("a question waited for %v", l.polls.longest())
		}
		if limit := int(w.cfg["n-0"].Params.State.RPS); maxPerSecond(w.stateCalls) > limit {
			t.Errorf("%d requests to the state service in a second, limit %d", maxPerSecond(w.stateCalls), limit)
		}
		check(t, l)
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}

// Where a third of all transactions are executed at once and only their answer is lost, users
// are answered, and hardly any question with 503. (On a simulated day of this kind 1,993 of
// 26,047 questions were in vain and 965 requests went unanswered: one read barrier was under
// way at a time, and all questions waited for it.)
func TestUsersAreAnsweredWhereAnswersAreLost(t *testing.T) {
	for seed := range seedCount(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			usersAmid(t, 20+seed, 100*time.Second, func(w *simCluster) { w.lostAnswerRate = 0.35 }, func(t *testing.T, l *load) {
				if lost, barriers := l.w.eventCount("executed without an answer"), l.w.eventCount("read barrier without an answer"); lost < 20 || barriers < 100 || len(l.cancels.times) == 0 {
					t.Errorf("answers of only %d changes and %d read barriers were lost, %d cancellations", lost, barriers, len(l.cancels.times))
				}
				if l.w.eventCount("close look answered") < 100 {
					t.Errorf("only %d questions right after an answer were answered", l.w.eventCount("close look answered"))
				}
				if part := l.polls.decidedPart(); part < 0.99 {
					t.Errorf("only %.3f of the questions were decided", part)
				}
				if l.submits.longest() > 2500*time.Millisecond || l.cancels.longest() > 2500*time.Millisecond {
					t.Errorf("submissions took up to %v, cancellations up to %v", l.submits.longest(), l.cancels.longest())
				}
			})
		})
	}
}

// Where the state service does not answer at all, users are told soon that nothing can be
// decided, and it is asked rarely.
func TestUsersAreAnsweredInSilence(t *testing.T) {
	usersAmid(t, 30, 30*time.Second, func(w *simCluster) {
		for _, name := range w.names {
			w.stateSilent[name] = true
		}
	}, func(t *testing.T, l *load) {
		if l.polls.undecided < len(l.polls.times)/2 {
			t.Errorf("only %d of %d questions undecided", l.polls.undecided, len(l.polls.times))
		}
		if l.submits.longest() > 2*time.Second {
			t.Errorf("a submission waited for %v", l.submits.longest())
		}
	})
}
