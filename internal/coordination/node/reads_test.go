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
	userPollTimeout   = 2 * time.Second
	userSubmitTimeout = 5 * time.Second
)

// answerTimes collects how long requests of one kind took. Its methods are safe for concurrent use.
type answerTimes struct {
	mu         sync.Mutex
	times      []time.Duration // of the answered requests
	undecided  int             // answered 503
	unanswered int             // not answered within the user's timeout
}

// measure sends one request to a node and waits up to limit for the answer.
func (m *answerTimes) measure(w *simCluster, node string, limit time.Duration, send func(n *Node, reply chan<- answer)) answer {
	ctx, cancel := context.WithTimeout(w.ctx, limit)
	defer cancel()
	began := time.Now()
	a, err := w.userRequest(ctx, node, send)
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

// longest returns the longest time that an answer took.
func (m *answerTimes) longest() time.Duration {
	if len(m.times) == 0 {
		return 0
	}
	return slices.Max(m.times)
}

// decidedFraction returns the fraction of all requests that were answered otherwise than with 503.
func (m *answerTimes) decidedFraction() float64 {
	return float64(len(m.times)-m.undecided) / float64(max(1, len(m.times)+m.unanswered))
}

func (m *answerTimes) String() string {
	slices.Sort(m.times)
	percentile := func(fraction float64) time.Duration {
		if len(m.times) == 0 {
			return 0
		}
		return m.times[int(fraction*float64(len(m.times)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("%d answered, p50 %v p95 %v max %v, %d with 503, %d not answered", len(m.times), percentile(0.5), percentile(0.95), percentile(1), m.undecided, m.unanswered)
}

// userLoad is what users do at all nodes for a while, and how they are answered.
type userLoad struct {
	cluster                 *simCluster
	polls, submits, cancels answerTimes
	endsAt                  time.Time
	mu                      sync.Mutex
	accepted                []string
}

// run has users at every node poll every second, submit every few seconds, and cancel.
func (l *userLoad) run(duration time.Duration) {
	l.endsAt = time.Now().Add(duration)
	var users sync.WaitGroup
	for i, node := range l.cluster.names {
		for k := range 4 {
			users.Go(func() { l.poll(node, time.Duration(250*k+70*i)*time.Millisecond) })
		}
		users.Go(func() { l.submitAndCancel(node, i) })
	}
	users.Wait()
}

// poll polls the status of jobs at a node every second.
func (l *userLoad) poll(node string, delay time.Duration) {
	time.Sleep(delay)
	for turn := 0; time.Now().Before(l.endsAt); turn++ {
		began := time.Now()
		id := l.jobToPoll(turn)
		a := l.polls.measure(l.cluster, node, userPollTimeout, func(n *Node, reply chan<- answer) { n.onPoll(id, reply) })
		if a.status == 404 && id != "job-unknown" {
			l.cluster.violation("%s forgotten at %s", id, node)
		}
		time.Sleep(time.Until(began.Add(time.Second)))
	}
}

// jobToPoll returns an accepted job or, every tenth time, one that no user has submitted.
func (l *userLoad) jobToPoll(turn int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.accepted) == 0 || turn%10 == 9 {
		return "job-unknown"
	}
	return l.accepted[turn%len(l.accepted)]
}

// submitAndCancel submits jobs one after the other, each until it is accepted, with pauses of three
// seconds, and cancels every other one.
func (l *userLoad) submitAndCancel(node string, user int) {
	for k := 0; time.Now().Before(l.endsAt); k++ {
		s := &protocol.JobSpec{ID: fmt.Sprintf("job-9%02d%03d", user, k), Team: "red", Class: "c", Priority: "standard", Shape: protocol.Service,
			Tasks: 1, CPUs: 1, GPUs: 0.1, MemoryGB: 1, Image: "img-0", ImageGB: 1}
		l.cluster.fleet.AddJob(s)
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
func (l *userLoad) submitJob(node string, s *protocol.JobSpec) (accepted bool) {
	for time.Now().Before(l.endsAt) {
		a := l.submits.measure(l.cluster, node, userSubmitTimeout, func(n *Node, reply chan<- answer) { n.onSubmit(s, time.Now(), reply) })
		if a.status == 200 || a.status == 201 {
			l.mu.Lock()
			l.accepted = append(l.accepted, s.ID)
			l.mu.Unlock()
			l.pollAllNodes(s.ID, false)
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// cancelJob cancels a job until the cancellation is confirmed or the load ends.
func (l *userLoad) cancelJob(node, id string) {
	for time.Now().Before(l.endsAt) {
		a := l.cancels.measure(l.cluster, node, userSubmitTimeout, func(n *Node, reply chan<- answer) { n.onCancel(id, 5, reply) })
		if a.status == 200 {
			l.cluster.fleet.NoteCancelConfirmed(id)
			l.pollAllNodes(id, true)
			return
		}
		time.Sleep(time.Second)
	}
}

// pollAllNodes polls a job at all nodes at once, right after its user was told that it is accepted or
// cancelled: no answer may be older than that.
func (l *userLoad) pollAllNodes(id string, cancelled bool) {
	var asked sync.WaitGroup
	for _, node := range l.cluster.names {
		asked.Go(func() {
			a := l.polls.measure(l.cluster, node, userPollTimeout, func(n *Node, reply chan<- answer) { n.onPoll(id, reply) })
			s, known := a.body.(protocol.JobStatus)
			switch {
			case a.status == 404:
				l.cluster.violation("%s forgotten at %s", id, node)
			case known && cancelled != (s.Status == protocol.JobCancelled):
				l.cluster.violation("%s has status %s at %s, cancelled: %v", id, s.Status, node, cancelled)
			case known:
				l.cluster.recordEvent("poll right after an answer")
			}
		})
	}
	asked.Wait()
}

// runLoadAmid runs a load during a fault of the state service. It checks that every request is
// answered, that no status poll takes longer than a second, and that the state service gets no more
// requests than its limit.
func runLoadAmid(t *testing.T, seed uint64, duration time.Duration, fault func(w *simCluster), check func(t *testing.T, load *userLoad)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, seed, defaultSettings)
		l := &userLoad{cluster: w}
		w.runWorkload(10, func(w *simCluster) {
			w.withLock(func() { clear(w.stateCalls); fault(w) })
			l.run(duration)
		})
		t.Logf("status polls: %v", &l.polls)
		t.Logf("submissions: %v", &l.submits)
		t.Logf("cancellations: %v", &l.cancels)
		t.Logf("state service: %d requests in the busiest second", maxPerSecond(w.stateCalls))
		for _, m := range []*answerTimes{&l.polls, &l.submits, &l.cancels} {
			if m.unanswered > 0 {
				t.Errorf("requests without an answer: %v", m)
			}
		}
		if len(l.polls.times) == 0 || len(l.submits.times) == 0 || l.polls.longest() > time.Second {
			t.Errorf("a status poll waited for %v", l.polls.longest())
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

// More than a third of all transactions are executed and only their answers are lost. Users must be
// answered, and hardly any status poll with 503. (On a simulated day of this kind 1,993 of 26,047
// status polls were in vain and 965 requests went unanswered: one read barrier was in flight at a
// time, and all polls waited for it.)
func TestUsersAreAnsweredWhenStateAnswersAreLost(t *testing.T) {
	for seed := range seedCount(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runLoadAmid(t, 20+seed, 100*time.Second, func(w *simCluster) { w.lostAnswerRate = 0.35 }, func(t *testing.T, l *userLoad) {
				if lost, barriers := l.cluster.eventCount("executed without an answer"), l.cluster.eventCount("read barrier without an answer"); lost < 20 || barriers < 100 || len(l.cancels.times) == 0 {
					t.Errorf("answers of only %d changes and %d read barriers were lost, %d cancellations", lost, barriers, len(l.cancels.times))
				}
				if l.cluster.eventCount("poll right after an answer") < 100 {
					t.Errorf("only %d status polls right after an answer were answered", l.cluster.eventCount("poll right after an answer"))
				}
				if part := l.polls.decidedFraction(); part < 0.99 {
					t.Errorf("only %.3f of the status polls were decided", part)
				}
				if l.submits.longest() > 2500*time.Millisecond || l.cancels.longest() > 2500*time.Millisecond {
					t.Errorf("submissions took up to %v, cancellations up to %v", l.submits.longest(), l.cancels.longest())
				}
			})
		})
	}
}

// The state service does not answer at all. Users must be told soon that nothing can be decided, and
// the state service must get few requests.
func TestUsersAreAnsweredWhenStateServiceIsSilent(t *testing.T) {
	runLoadAmid(t, 30, 30*time.Second, func(w *simCluster) {
		for _, name := range w.names {
			w.stateSilent[name] = true
		}
	}, func(t *testing.T, l *userLoad) {
		if l.polls.undecided < len(l.polls.times)/2 {
			t.Errorf("only %d of %d status polls undecided", l.polls.undecided, len(l.polls.times))
		}
		if l.submits.longest() > 2*time.Second {
			t.Errorf("a submission waited for %v", l.submits.longest())
		}
	})
}
