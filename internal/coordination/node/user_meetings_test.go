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

// aroundTheEnd is how long before and after the end of a job's last task its user acts.
const aroundTheEnd = 300 * time.Millisecond

// reportDelay is how long after a task's end its worker reports it, and storesWithin how long
// before and after that a request has to be sent that may meet the storing of the end.
const (
	reportDelay  = 500 * time.Millisecond
	storesWithin = 150 * time.Millisecond
)

// awaitEndOfLastTask waits until a moment chosen at random around the expected end of the
// job's last task, or around its report.
func (u *user) awaitEndOfLastTask() {
	for u.w.ctx.Err() == nil {
		if since := u.w.fleet.AllRunSince(u.spec.ID); !since.IsZero() {
			end := since.Add(time.Duration(u.spec.EstimateS * float64(time.Second)))
			if u.w.chance(&half) {
				time.Sleep(time.Until(end.Add(u.w.randDuration(-aroundTheEnd, aroundTheEnd))))
			} else {
				time.Sleep(time.Until(end.Add(reportDelay + u.w.randDuration(-storesWithin, storesWithin))))
			}
			return
		}
		if !u.w.fleet.CompletedAt(u.spec.ID).IsZero() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// metTheEnd notes a request that was sent around the end of the job's last task, and answered.
func (u *user) metTheEnd(what string, sent time.Time) {
	if end := u.w.fleet.CompletedAt(u.spec.ID); !end.IsZero() && end.Sub(sent).Abs() <= aroundTheEnd {
		u.w.recordEvent(what + " met the end")
	}
}

// requestsAtTheEnd: a cancellation, a status read or a repeated submission is sent to every node
// around the moment at which the last task of a job completes.
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
			var open sync.WaitGroup
			for _, node := range w.names {
				open.Go(func() {
					time.Sleep(w.randDuration(0, 100*time.Millisecond))
					sent := time.Now()
					if a, err := kind.send(node); err == nil && a.status == 200 {
						u.metTheEnd(kind.name, sent)
					}
				})
			}
			open.Wait()
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

// Jobs of one task come at this rate for this long.
const (
	smallJobsEvery = 250 * time.Millisecond
	smallJobsFor   = 2 * time.Minute
)

// manySmallJobs: jobs of one task come four a second for two minutes, a quarter of them
// is cancelled after up to four seconds.
func manySmallJobs(w *simCluster) {
	var users sync.WaitGroup
	from := time.Now()
	for i := 0; time.Since(from) < smallJobsFor; i++ {
		u := w.addTrackedUser(func(s *protocol.JobSpec) { s.EstimateS = 1 + float64(i%8)/4 })
		users.Go(func() {
			u.retryUntilSuccess(u.submitOnce)
			w.recordEvent("small job accepted")
			if i%4 == 0 {
				time.Sleep(w.randDuration(0, 4*time.Second))
				u.retryUntilSuccess(u.cancelOnce)
				w.recordEvent("small job over after its cancellation")
			}
			u.awaitEnd()
			if u.knownFinalStatus() == protocol.JobCancelled {
				w.recordEvent("small job cancelled")
			}
			if w.randInt(8) == 0 {
				u.askAllNodes("after a small job's end")
			}
		})
		time.Sleep(smallJobsEvery)
	}
	w.awaitAll(&users)
	const came = int(smallJobsFor / smallJobsEvery)
	if accepted, over := w.eventCount("small job accepted"), w.eventCount("small job over after its cancellation"); accepted < came || over < came/4 {
		w.violation("%d of %d small jobs accepted, %d of %d over after their cancellation", accepted, came, over, came/4)
	}
}

var userScenarios = []faultScenario{
	{name: "close looks", inject: askAfterEachEvent, mustOccur: []string{
		"status read after acceptance", "submission repeated after acceptance",
		"status read after the end", "submission repeated after the end",
		"status read after a cancellation", "submission repeated after a cancellation"}},
	{name: "lost answers", inject: askWhileAnswersAreLost, mustOccur: []string{
		"executed without an answer", "acceptance read by others while its answer was lost",
		"status read after its answer was lost", "submission repeated after its answer was lost"}},
	{name: "requests at the end", inject: requestsAtTheEnd, mustOccur: []string{
		"cancellation met the end", "status read met the end", "repeated submission met the end"}},
	{name: "many small jobs", inject: manySmallJobs, mustOccur: []string{"small job cancelled", "status read after a small job's end"}},
	{name: "odd requests", inject: edgeCaseRequests, mustOccur: []string{
		"refused with 400", "refused with 422", "submission of an unfinished job repeated", "a job that was done cancelled"}},
}

func TestUserMeetings(t *testing.T) {
	for _, m := range userScenarios {
		for seed := range seedCount(1) {
			t.Run(fmt.Sprintf("%s/%d", m.name, seed), func(t *testing.T) { runScenarios(t, 6000+seed, "", m) })
			t.Run(fmt.Sprintf("%s/entries/%d", m.name, seed), func(t *testing.T) {
				storeOnlyEntries(t, 4)
				runScenarios(t, 7000+seed, "", m)
			})
		}
	}
}

// The same while controllers end and stand still, networks are cut and the state service is away.
func TestUserMeetingsAmidTroubles(t *testing.T) {
	for i, with := range []faultScenario{{name: "troubles", inject: randomFaults}, {name: "fast restarts", inject: fastRestarts}} {
		for k, m := range userScenarios[:3] {
			for seed := range seedCount(1) {
				t.Run(fmt.Sprintf("%s, %s/%d", m.name, with.name, seed), func(t *testing.T) {
					if (i+k+int(seed))%2 == 0 {
						storeOnlyEntries(t, 4)
					}
					m.mustOccur = nil // what must have taken place is asserted of each alone
					runScenarios(t, 9100+seed, "", m, with)
				})
			}
		}
	}
}

// answerWithoutGuard are ways to answer users without a guard that the nodes have.
var answerWithoutGuard = map[string]func(w *simCluster, kind requestKind, id string, send func(*Node, chan<- answer)) func(*Node, chan<- answer){
	// Status reads are answered from the replica, which is not compared with the store.
	"read barrier": func(_ *simCluster, kind requestKind, id string, send func(*Node, chan<- answer)) func(*Node, chan<- answer) {
		if kind != statusRequest {
			return send
		}
		return func(n *Node, reply chan<- answer) { reply <- fromReplica(n, id) }
	},
	// Users are told that a job is cancelled as soon as that is stored, not when its tasks
	// are gone.
	"gone tasks": func(w *simCluster, kind requestKind, id string, send func(*Node, chan<- answer)) func(*Node, chan<- answer) {
		if kind != cancelRequest {
			return send
		}
		return func(n *Node, reply chan<- answer) {
			w.tellWhenStored(n, id, reply, send)
		}
	},
}

// fromReplica answers a status read by what a node happens to know.
func fromReplica(n *Node, id string) (a answer) {
	then := func(_ bool, s protocol.JobStatus, _ error) { a = answer{status: 200, body: s} }
	known := n.answerFromReplica(&openRead{Value: &statusRead{id: id, onResult: then}})
	if !known {
		a = answer{status: 404}
	}
	return a
}

// tellWhenStored answers a cancellation as soon as this node knows that it is stored.
func (w *simCluster) tellWhenStored(n *Node, id string, reply chan<- answer, send func(*Node, chan<- answer)) {
	late := make(chan answer, 1)
	send(n, late)
	go func() {
		for w.ctx.Err() == nil && n.ctx.Err() == nil {
			select {
			case a := <-late:
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

// withoutOmittedConds are a transaction's conditions without some that are left out: that a job which is
// accepted has no final record, or no record of its own, or that one which is cancelled is as it
// was and has not ended.
func (w *simCluster) withoutOmittedConds(conds []storage.Cond, writes []storage.Write) []storage.Cond {
	drop := func(of string, is func(c storage.Cond) bool) []storage.Cond {
		if !slices.ContainsFunc(writes, func(x storage.Write) bool {
			var r protocol.JobRecord
			return strings.HasPrefix(x.Put, protocol.JobPrefix) && json.Unmarshal(x.Value, &r) == nil && r.CancelRequested == (of == "cancelled")
		}) {
			return conds
		}
		return slices.DeleteFunc(slices.Clone(conds), is)
	}
	final := func(c storage.Cond) bool { return strings.HasPrefix(c.Key, protocol.FinalRoot) }
	own := func(c storage.Cond) bool { return strings.HasPrefix(c.Key, protocol.JobPrefix) }
	switch w.disabledGuard {
	case "final condition":
		return drop("accepted", final)
	case "job condition":
		return drop("accepted", func(c storage.Cond) bool { return own(c) && c.Revision == 0 })
	case "cancel conditions":
		return drop("cancelled", func(c storage.Cond) bool { return final(c) || own(c) })
	}
	return conds
}

// A guard that is left out is found by the meeting of users.
func TestUserMeetingsFindWhatIsLeftOut(t *testing.T) {
	for _, f := range []struct {
		leftOut string
		by      int
	}{{"read barrier", 0}, {"final condition", 0}, {"job condition", 1}, {"cancel conditions", 2}, {"gone tasks", 3}} {
		t.Run(f.leftOut+"/"+userScenarios[f.by].name, func(t *testing.T) {
			m := userScenarios[f.by]
			if f.leftOut == "cancel conditions" {
				m.inject = func(w *simCluster) { // the longer a change is on its way, the more meet another
					w.withLock(func() { w.stateDelay = 80 * time.Millisecond })
					requestsAtTheEnd(w)
				}
			}
			for seed := range seedCount(10) {
				if broken := runScenarios(t, 8000+seed, f.leftOut, m); len(broken) > 0 {
					t.Logf("found with seed %d: %s", 8000+seed, broken[0])
					return
				}
			}
			t.Error("not found")
		})
	}
}
