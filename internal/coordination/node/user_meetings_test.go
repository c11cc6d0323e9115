package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// aroundJobEnd is how long before and after the end of a job's last task its user acts.
const aroundJobEnd = 300 * time.Millisecond

// reportDelay is how long after a task's end its worker reports it. A request meets the write of
// the end only if it is sent within endWriteWindow before or after the report.
const (
	reportDelay    = 500 * time.Millisecond
	endWriteWindow = 150 * time.Millisecond
)

// awaitEndOfLastTask waits until a random moment around the expected end of the job's last task, or
// around its report.
func (u *user) awaitEndOfLastTask() {
	for u.w.ctx.Err() == nil {
		if since := u.w.fleet.AllRunningSince(u.spec.ID); !since.IsZero() {
			end := since.Add(time.Duration(u.spec.EstimateS * float64(time.Second)))
			if u.w.chance(&half) {
				time.Sleep(time.Until(end.Add(u.w.randDuration(-aroundJobEnd, aroundJobEnd))))
			} else {
				time.Sleep(time.Until(end.Add(reportDelay + u.w.randDuration(-endWriteWindow, endWriteWindow))))
			}
			return
		}
		if !u.w.fleet.CompletedAt(u.spec.ID).IsZero() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// recordRequestAtEnd records a request that was sent around the end of the job's last task and was
// answered.
func (u *user) recordRequestAtEnd(what string, sent time.Time) {
	if end := u.w.fleet.CompletedAt(u.spec.ID); !end.IsZero() && end.Sub(sent).Abs() <= aroundJobEnd {
		u.w.recordEvent(what + " sent around the end")
	}
}

// requestsAtTheEnd sends a cancellation, a status read or a repeated submission to every node around
// the moment at which the last task of a job completes.
func requestsAtTheEnd(w *simCluster) {
	var users sync.WaitGroup
	for i := range 48 {
		u := w.addTrackedUser(func(s *protocol.JobSpec) {
			mixedShape(i)(s)
			s.EstimateS = 2 + float64(i%5)/5
		})
		kind := []struct {
			name string
			send func(node string) (answer, error)
		}{{"cancellation", u.cancelOnce}, {"status read", u.pollOnce}, {"cancellation", u.cancelOnce}, {"repeated submission", u.submitOnce}}[w.randInt(4)]
		users.Go(func() {
			u.retryUntilSuccess(u.submitOnce)
			u.awaitEndOfLastTask()
			var requests sync.WaitGroup
			for _, node := range w.names {
				requests.Go(func() {
					time.Sleep(w.randDuration(0, 100*time.Millisecond))
					sent := time.Now()
					if a, err := kind.send(node); err == nil && a.status == 200 {
						u.recordRequestAtEnd(kind.name, sent)
					}
				})
			}
			requests.Wait()
			u.askAllNodes("after a request at the end")
			if kind.name == "cancellation" {
				u.retryUntilSuccess(u.cancelOnce)
				u.askAllNodes("after a cancellation at the end")
			}
			u.awaitEnd()
			u.askAllNodes("after the end")
		})
		time.Sleep(w.randDuration(0, 300*time.Millisecond))
	}
	w.awaitAll(&users)
}

// The rate and duration of submissions of one-task jobs.
const (
	smallJobInterval  = 250 * time.Millisecond
	smallJobsDuration = 2 * time.Minute
)

// manySmallJobs submits four one-task jobs a second for two minutes and cancels a quarter of them
// after up to four seconds.
func manySmallJobs(w *simCluster) {
	var users sync.WaitGroup
	from := time.Now()
	for i := 0; time.Since(from) < smallJobsDuration; i++ {
		u := w.addTrackedUser(func(s *protocol.JobSpec) { s.EstimateS = 1 + float64(i%8)/4 })
		users.Go(func() {
			u.retryUntilSuccess(u.submitOnce)
			w.recordEvent("small job accepted")
			if i%4 == 0 {
				time.Sleep(w.randDuration(0, 4*time.Second))
				u.retryUntilSuccess(u.cancelOnce)
				w.recordEvent("small job ended after its cancellation")
			}
			u.awaitEnd()
			if u.knownFinalStatus() == protocol.JobCancelled {
				w.recordEvent("small job cancelled")
			}
			if w.randInt(8) == 0 {
				u.askAllNodes("after a small job's end")
			}
		})
		time.Sleep(smallJobInterval)
	}
	w.awaitAll(&users)
	const expected = int(smallJobsDuration / smallJobInterval)
	if accepted, ended := w.eventCount("small job accepted"), w.eventCount("small job ended after its cancellation"); accepted < expected || ended < expected/4 {
		w.violation("%d of %d small jobs accepted, %d of %d ended after their cancellation", accepted, expected, ended, expected/4)
	}
}

var userScenarios = []faultScenario{
	{name: "requests right after each event", inject: askAfterEachEvent, mustOccur: []string{
		"status read after acceptance", "submission repeated after acceptance",
		"status read after the end", "submission repeated after the end",
		"status read after a cancellation", "submission repeated after a cancellation"}},
	{name: "lost answers", inject: askWhileAnswersAreLost, mustOccur: []string{
		"executed without an answer", "acceptance read by others while its answer was lost",
		"status read after its answer was lost", "submission repeated after its answer was lost"}},
	{name: "requests at the end", inject: requestsAtTheEnd, mustOccur: []string{
		"cancellation sent around the end", "status read sent around the end", "repeated submission sent around the end"}},
	{name: "many small jobs", inject: manySmallJobs, mustOccur: []string{"small job cancelled", "status read after a small job's end"}},
	{name: "odd requests", inject: edgeCaseRequests, mustOccur: []string{
		"refused with 400", "refused with 422", "submission of an unfinished job repeated", "cancellation of a done job answered"}},
}

func TestUserScenarios(t *testing.T) {
	for _, scenario := range userScenarios {
		for seed := range seedCount(1) {
			t.Run(fmt.Sprintf("%s/%d", scenario.name, seed), func(t *testing.T) { runScenarios(t, 6000+seed, "", scenario) })
			t.Run(fmt.Sprintf("%s/entries/%d", scenario.name, seed), func(t *testing.T) {
				storeOnlyEntries(t, 4)
				runScenarios(t, 7000+seed, "", scenario)
			})
		}
	}
}

// Runs the scenarios while controllers end and stall, networks are cut and the state service is down.
func TestUserScenariosAmidFaults(t *testing.T) {
	for i, other := range []faultScenario{{name: "troubles", inject: randomFaults}, {name: "fast restarts", inject: fastRestarts}} {
		for k, scenario := range userScenarios[:3] {
			for seed := range seedCount(1) {
				t.Run(fmt.Sprintf("%s, %s/%d", scenario.name, other.name, seed), func(t *testing.T) {
					if (i+k+int(seed))%2 == 0 {
						storeOnlyEntries(t, 4)
					}
					scenario.mustOccur = nil // which events must occur is asserted in the run of each scenario alone
					runScenarios(t, 9100+seed, "", scenario, other)
				})
			}
		}
	}
}

// answerWithoutGuard answers users without one of the guards of a node.
var answerWithoutGuard = map[string]func(w *simCluster, kind requestKind, id string, send func(*Node, chan<- answer)) func(*Node, chan<- answer){
	// Status reads are answered from the replica without comparing it with the state service.
	"read barrier": func(_ *simCluster, kind requestKind, id string, send func(*Node, chan<- answer)) func(*Node, chan<- answer) {
		if kind != statusRequest {
			return send
		}
		return func(n *Node, reply chan<- answer) { reply <- answerFromAnyReplica(n, id) }
	},
	// A cancellation is confirmed as soon as it is stored, not when the job's tasks have ended.
	"gone tasks": func(w *simCluster, kind requestKind, id string, send func(*Node, chan<- answer)) func(*Node, chan<- answer) {
		if kind != cancelRequest {
			return send
		}
		return func(n *Node, reply chan<- answer) {
			w.confirmWhenStored(n, id, reply, send)
		}
	},
}

// answerFromAnyReplica answers a status read from the replica, however stale it is.
func answerFromAnyReplica(n *Node, id string) (a answer) {
	onResult := func(_ bool, s protocol.JobStatus, _ error) { a = answer{status: 200, body: s} }
	known := n.answerFromReplica(&openRead{Value: &statusRead{id: id, onResult: onResult}})
	if !known {
		a = answer{status: 404}
	}
	return a
}

// confirmWhenStored answers a cancellation as soon as this node knows that it is stored.
func (w *simCluster) confirmWhenStored(n *Node, id string, reply chan<- answer, send func(*Node, chan<- answer)) {
	later := make(chan answer, 1)
	send(n, later)
	go func() {
		for w.ctx.Err() == nil && n.ctx.Err() == nil {
			select {
			case a := <-later:
				reply <- a
				return
			case <-time.After(5 * time.Millisecond):
			}
			if onActor(n, func() bool { j := n.jobs[id]; return j != nil && j.cancelled }) {
				reply <- answer{status: 200, body: protocol.JobStatus{ID: id, Status: protocol.JobCancelled}}
				return
			}
		}
	}()
}

// withoutOmittedConds returns a transaction's conditions without those that the disabled guard adds:
// that an accepted job has no final record, that it has no record of its own, or that a cancelled
// job is unchanged and has not ended.
func (w *simCluster) withoutOmittedConds(conds []storage.Cond, writes []storage.Write) []storage.Cond {
	dropConds := func(change string, matches func(c storage.Cond) bool) []storage.Cond {
		if !slices.ContainsFunc(writes, func(x storage.Write) bool {
			var r protocol.JobRecord
			return strings.HasPrefix(x.Put, protocol.JobPrefix) && json.Unmarshal(x.Value, &r) == nil && r.CancelRequested == (change == "cancelled")
		}) {
			return conds
		}
		return slices.DeleteFunc(slices.Clone(conds), matches)
	}
	final := func(c storage.Cond) bool { return strings.HasPrefix(c.Key, protocol.FinalRoot) }
	ownRecord := func(c storage.Cond) bool { return strings.HasPrefix(c.Key, protocol.JobPrefix) }
	switch w.disabledGuard {
	case "final condition":
		return dropConds("accepted", final)
	case "job condition":
		return dropConds("accepted", func(c storage.Cond) bool { return ownRecord(c) && c.Revision == 0 })
	case "cancel conditions":
		return dropConds("cancelled", func(c storage.Cond) bool { return final(c) || ownRecord(c) })
	}
	return conds
}

// Checks that the user scenarios detect each disabled guard.
func TestUserScenariosDetectDisabledGuards(t *testing.T) {
	for _, defect := range []struct {
		guard    string
		scenario int
	}{{"read barrier", 0}, {"final condition", 0}, {"job condition", 1}, {"cancel conditions", 2}, {"gone tasks", 3}} {
		t.Run(defect.guard+"/"+userScenarios[defect.scenario].name, func(t *testing.T) {
			scenario := userScenarios[defect.scenario]
			if defect.guard == "cancel conditions" {
				scenario.inject = func(w *simCluster) { // the slower the writes, the more of them overlap another
					w.withLock(func() { w.stateDelay = 80 * time.Millisecond })
					requestsAtTheEnd(w)
				}
			}
			for seed := range seedCount(10) {
				if broken := runScenarios(t, 8000+seed, defect.guard, scenario); len(broken) > 0 {
					t.Logf("found with seed %d: %s", 8000+seed, broken[0])
					return
				}
			}
			t.Error("not found")
		})
	}
}
