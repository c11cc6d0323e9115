package node

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// Users who send requests to all nodes within milliseconds, right after they were told something about
// their job. The answerChecker (answers_test.go) compares the answers.

// Timeouts of users, and their pause between two attempts.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	retryPause    = time.Second
)

// addTrackedUser returns the user of a new job that all checkers know.
func (w *simCluster) addTrackedUser(shape func(s *protocol.JobSpec)) *user {
	w.mu.Lock()
	w.eventCounts["enrolled"]++
	number := w.eventCounts["enrolled"]
	w.mu.Unlock()
	s := &protocol.JobSpec{ID: fmt.Sprintf("job-95%05d", number), Team: []string{"red", "blue", "green"}[number%3], Class: "c", Shape: protocol.Array,
		Priority: "high", Tasks: 1, CPUs: 1, GPUs: 0.25, Image: "i", ImageGB: 1, EstimateS: 1}
	shape(s)
	w.fleet.AddJob(s)
	u := &user{w: w, spec: s}
	w.withLock(func() { w.userOf[s.ID] = u })
	return u
}

func (u *user) submitOnce(node string) (answer, error) {
	ctx, cancel := context.WithTimeout(u.w.ctx, submitTimeout)
	defer cancel()
	return u.w.submitAt(ctx, node, u.spec)
}

func (u *user) pollOnce(node string) (answer, error) {
	ctx, cancel := context.WithTimeout(u.w.ctx, pollTimeout)
	defer cancel()
	return u.w.pollAt(ctx, node, u.spec.ID)
}

func (u *user) cancelOnce(node string) (answer, error) {
	ctx, cancel := context.WithTimeout(u.w.ctx, submitTimeout)
	defer cancel()
	return u.w.cancelAt(ctx, node, u.spec.ID)
}

// retryUntilSuccess sends a request to one node after the other until it is answered with success.
func (u *user) retryUntilSuccess(send func(node string) (answer, error)) {
	for u.w.ctx.Err() == nil {
		if a, err := send(u.randomNode()); err == nil && (a.status == 200 || a.status == 201) {
			return
		}
		time.Sleep(retryPause)
	}
}

// requestsPerNode is how often askAllNodes sends each request to each node.
const requestsPerNode = 2

// askAllNodes reads the job's status from all nodes within milliseconds and repeats its submission
// there; event says what the user was told before.
func (u *user) askAllNodes(event string) {
	var open sync.WaitGroup
	send := func(what, node string, request func(node string) (answer, error)) {
		open.Go(func() {
			time.Sleep(u.w.randDuration(0, 10*time.Millisecond))
			if a, err := request(node); err == nil && a.status == 200 {
				u.w.recordEvent(what + " " + event)
			}
		})
	}
	for _, node := range u.w.names {
		for range requestsPerNode {
			send("status read", node, u.pollOnce)
			send("submission repeated", node, u.submitOnce)
		}
	}
	open.Wait()
}

// sendWhileOthersRead sends a request while others read the job's status until its answer arrives.
// seen reports whether one of them got an answer that shows that the request was executed.
func (u *user) sendWhileOthersRead(send func(node string) (answer, error), showsResult func(said string) bool) (a answer, err error, seen bool) {
	node, over := u.randomNode(), make(chan struct{})
	var others sync.WaitGroup
	for _, other := range u.w.names {
		if other == node {
			continue
		}
		others.Go(func() {
			for {
				select {
				case <-over:
					return
				case <-time.After(u.w.randDuration(20*time.Millisecond, 150*time.Millisecond)):
				}
				r, err := u.pollOnce(other)
				if said, _ := statusInAnswer(r); err == nil && r.status == 200 && showsResult(said) {
					u.w.withLock(func() { seen = true })
				}
			}
		})
	}
	a, err = send(node)
	close(over)
	others.Wait()
	return a, err, seen
}

// retryWhileOthersRead repeats a request until it is answered with success, while others read the
// status. It records if they saw the result while the state service's answer to the node's write about
// the job was lost, whatever the node finds out about that write afterwards.
func (u *user) retryWhileOthersRead(what string, send func(node string) (answer, error), showsResult func(said string) bool) {
	for u.w.ctx.Err() == nil {
		lost := u.w.eventCount(answerLostAbout(u.spec.ID))
		a, err, seen := u.sendWhileOthersRead(send, showsResult)
		if seen && u.w.eventCount(answerLostAbout(u.spec.ID)) > lost {
			u.w.recordEvent(what + " read by others while its answer was lost")
			u.askAllNodes("after its answer was lost")
		}
		if err == nil && (a.status == 200 || a.status == 201) {
			return
		}
		time.Sleep(retryPause)
	}
}

// answerLostAbout is the event that a write about a job was executed and its answer lost.
func answerLostAbout(job string) string { return "answer lost about " + job }

// noteLostAnswer records which jobs are written about by a transaction that is executed and whose
// answer is lost.
func (w *simCluster) noteLostAnswer(writes []storage.Write) {
	w.recordEvent("executed without an answer")
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.userOf {
		for _, write := range writes {
			if strings.Contains(write.Put, id) || strings.Contains(string(write.Value), id) {
				w.eventCounts[answerLostAbout(id)]++
			}
		}
	}
}

// awaitEnd waits until a user was told how the job ended.
func (u *user) awaitEnd() {
	for u.w.ctx.Err() == nil && u.knownFinalStatus() == "" {
		u.pollOnce(u.randomNode())
		time.Sleep(u.w.randDuration(100*time.Millisecond, 300*time.Millisecond))
	}
}

// maxUserWait is how long a job of these users may take once all faults have ended.
const maxUserWait = 4 * time.Minute

// awaitAll waits for users, and reports a failure if that takes too long.
func (w *simCluster) awaitAll(users *sync.WaitGroup) {
	over := make(chan struct{})
	go func() {
		users.Wait()
		close(over)
	}()
	select {
	case <-over:
	case <-time.After(maxUserWait):
		w.violation("some users were not told how their jobs ended")
	case <-w.ctx.Done():
	}
}

// mixedShape makes every fourth job a gang of two tasks.
func mixedShape(i int) func(s *protocol.JobSpec) {
	return func(s *protocol.JobSpec) {
		if i%4 == 3 {
			s.Shape, s.Tasks = protocol.Gang, 2
		}
	}
}

// askAfterEachEvent lets users ask all nodes after their job was accepted, has ended, or was
// confirmed as cancelled; some cancel at once.
func askAfterEachEvent(w *simCluster) {
	var users sync.WaitGroup
	for i := range 24 {
		u, cancels := w.addTrackedUser(mixedShape(i)), i%3 == 0
		users.Go(func() {
			u.retryUntilSuccess(u.submitOnce)
			if cancels {
				users.Go(func() {
					time.Sleep(w.randDuration(0, 20*time.Millisecond))
					u.retryUntilSuccess(u.cancelOnce)
					u.askAllNodes("after a cancellation")
				})
			}
			u.askAllNodes("after acceptance")
			u.awaitEnd()
			u.askAllNodes("after the end")
			time.Sleep(w.randDuration(100*time.Millisecond, 400*time.Millisecond))
			u.askAllNodes("once no node has the job any more")
		})
		time.Sleep(w.randDuration(0, 600*time.Millisecond))
	}
	w.awaitAll(&users)
}

// askWhileAnswersAreLost makes answers to executed writes get lost, so that other nodes may read a
// write before the node that made it knows that it was executed.
func askWhileAnswersAreLost(w *simCluster) {
	w.withLock(func() { w.lostAnswerRate = 0.3 })
	var users sync.WaitGroup
	for i := range 24 {
		u, cancels := w.addTrackedUser(mixedShape(i)), i%3 == 0
		users.Go(func() {
			u.retryWhileOthersRead("acceptance", u.submitOnce, func(string) bool { return true })
			u.askAllNodes("after acceptance")
			if cancels {
				u.retryWhileOthersRead("cancellation", u.cancelOnce, func(said string) bool { return said == protocol.JobCancelled })
				u.askAllNodes("after a cancellation")
			}
			u.awaitEnd()
			u.askAllNodes("after the end")
		})
		time.Sleep(w.randDuration(0, 600*time.Millisecond))
	}
	time.Sleep(10 * time.Second)
	w.withLock(func() { w.lostAnswerRate = 0 })
	w.awaitAll(&users)
}

// A node whose watch has not reported yet that jobs are stored in entries, and that does not know the
// entries' content, must not give a user an answer that is older than another node's.
func TestNodeThatDoesNotKnowOfEntries(t *testing.T) {
	storeOnlyEntries(t, 8)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 3, defaultSettings)
		w.withLock(func() { w.watchStalled["n-0"], w.watchStalled["n-1"] = true, true }) // no node writes entries yet
		time.Sleep(2 * time.Second)
		early := w.addTrackedUser(func(s *protocol.JobSpec) { s.EstimateS = 30 })
		early.retryUntilSuccess(early.submitOnce)
		time.Sleep(2 * time.Second)
		w.withLock(func() { clear(w.watchStalled); w.watchStalled["n-2"] = true })
		knows := func(name string) bool {
			return onActor(w.node(name), func() bool { return w.node(name).mayHaveEntries() })
		}
		for from := time.Now(); time.Since(from) < 20*time.Second && !(knows("n-0") && knows("n-1")); {
			time.Sleep(100 * time.Millisecond)
		}
		if !knows("n-0") || !knows("n-1") || knows("n-2") {
			t.Fatalf("nodes that know of entries: %v %v %v", knows("n-0"), knows("n-1"), knows("n-2"))
		}
		late := w.addTrackedUser(func(*protocol.JobSpec) {})
		if a, err := late.submitOnce("n-0"); err != nil || a.status != 201 {
			t.Fatalf("submission: %d %v", a.status, err)
		}
		late.askAllNodes("after acceptance")
		for from := time.Now(); time.Since(from) < time.Minute && early.knownFinalStatus() == ""; time.Sleep(100 * time.Millisecond) {
			early.pollOnce("n-0")
		}
		if early.knownFinalStatus() == "" {
			t.Error("the job that was accepted before did not end")
		}
		early.askAllNodes("after the end")
		w.withLock(func() { clear(w.watchStalled) })
		time.Sleep(2 * time.Second)
		if a, err := early.pollOnce("n-2"); err != nil || a.status != 200 {
			t.Errorf("after the watch has caught up: %d %v", a.status, err)
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}
