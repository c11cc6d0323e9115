package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// Meetings of a change of a share's owner with other troubles.

// nextJobNumber is a new number for a job's name.
func (w *simCluster) nextJobNumber() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastJob++
	return w.lastJob
}

// workerLease is how long a worker's tasks outlive its last answered report.
func (w *simCluster) workerLease() time.Duration {
	return time.Duration(w.fleet.Workers.LeaseS * float64(time.Second))
}

// addUser lets one more user submit a job and ask about it until the end of the day.
func (w *simCluster) addUser(spec *protocol.JobSpec) *user {
	u := &user{w: w, spec: spec}
	w.withLock(func() { w.users = append(slices.Clone(w.users), u) })
	go u.run(func() {})
	return u
}

// addUserPerTeam lets users submit one job for each team, of so many tasks that run for so long.
func (w *simCluster) addUserPerTeam(tasks int, estimate float64) (users []*user) {
	for _, team := range []string{"red", "blue", "green"} {
		users = append(users, w.addUser(&protocol.JobSpec{ID: fmt.Sprintf("job-93%04d", w.nextJobNumber()), Team: team, Class: "c", Shape: protocol.Array, Priority: "high",
			Tasks: tasks, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "i", ImageGB: 1, EstimateS: estimate, Spot: true}))
	}
	return users
}

// keepReport keeps a copy of a report for releaseReports.
func (w *simCluster) keepReport(r protocol.Report) { w.withLock(func() { w.kept = append(w.kept, r) }) }

// holdsBackReport says whether a report reaches nobody for now. Where none is held it draws no random
// number, so that other tests' seeds mean what they did.
func (w *simCluster) holdsBackReport() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heldReportRate > 0 && w.rng.Float64() < w.heldReportRate
}

// onOwnerChange is told by watchHolders of each new owner of a share.
func (w *simCluster) onOwnerChange(share int, owner string) {
	w.mu.Lock()
	release, wait := w.releaseOnOwnerChange && len(w.kept) > 0, time.Duration(0)
	w.mu.Unlock()
	if release {
		if w.chance(&half) { // the new owner has acted by then
			wait = w.randDuration(time.Second, 4*time.Second)
		}
		go func() {
			time.Sleep(wait)
			w.recordEvent("kept reports arrive at a new owner")
			w.releaseReports()
		}()
	}
	n := w.node(owner)
	switch {
	case n == nil:
	case w.disabledGuard == "unheard":
		n.post(func() { takeUnheardForGone(n, share) })
	case w.disabledGuard == "replica":
		n.post(func() { ownBeforeReplica(n, share) })
	}
}

// disruptOwner makes a share lose its owner in one of the ways in which that happens, and
// returns when all processes are there again.
func (w *simCluster) disruptOwner(share int) {
	owner := w.partitionOwner(share)
	if owner == "" {
		owner = w.randomNode()
	}
	switch w.randInt(4) {
	case 0:
		w.restart(owner, w.randDuration(0, 4*time.Second))
	case 1:
		if n := w.node(owner); n != nil {
			n.Leave()
		}
		w.restart(owner, w.randDuration(0, 4*time.Second))
	case 2:
		w.freeze(owner, w.randDuration(3500*time.Millisecond, 9*time.Second))
	case 3:
		w.withLock(func() { w.stateSilent[owner], w.peersUnreachable[owner] = true, true })
		time.Sleep(w.randDuration(4*time.Second, 9*time.Second))
		w.withLock(func() { delete(w.stateSilent, owner); delete(w.peersUnreachable, owner) })
	}
}

var leadershipScenarios = []faultScenario{
	{name: "cancelled while a share changes hands", mustOccur: []string{"cancelled as owners change", "machine of a cancelled job hangs"}, inject: func(w *simCluster) {
		for range 6 {
			users := w.addUserPerTeam(2, 90)
			time.Sleep(w.randDuration(8*time.Second, 12*time.Second))
			changes := w.eventCount("handed over")
			ends := make(chan bool)
			go func() {
				time.Sleep(w.randDuration(0, 2*time.Second))
				w.disruptOwner(w.randInt(3))
				ends <- true
			}()
			time.Sleep(w.randDuration(0, 4*time.Second))
			var hang time.Duration
			if w.chance(&half) {
				hang = w.randDuration(2*time.Second, 15*time.Second)
			}
			called := w.cancelRunningJobs(4, hang)
			<-ends
			time.Sleep(time.Second)
			if w.eventCount("handed over") > changes && len(called) > 0 {
				w.recordEvent("cancelled as owners change")
			}
			for _, u := range users { // the rest are cancelled amid the next round
				go u.cancelUntilConfirmed(w.randDuration(5*time.Second, 20*time.Second))
			}
		}
	}},
	{name: "new machines at work while writes lag", mustOccur: []string{"owner ends as a new machine begins"}, configure: func(_ *protocol.WorkerSettings, w *simCluster) {
		w.fleet.Boot = 1500 * time.Millisecond
	}, inject: func(w *simCluster) {
		for range 6 {
			w.withLock(func() { w.delayedTxnRate, w.stateDelay = 0.25, 200*time.Millisecond })
			for i, m := range w.fleet.Names() {
				if i%2 == 0 {
					w.fleet.Kill(m)
				}
			}
			before := w.fleet.Names()
			users := w.addUserPerTeam(4, 10)
			if w.newMachineWorks(before, 15*time.Second) {
				changes := w.eventCount("handed over")
				w.disruptOwner(w.randInt(3))
				if w.eventCount("handed over") > changes {
					w.recordEvent("owner ends as a new machine begins")
				}
			}
			time.Sleep(w.randDuration(time.Second, 4*time.Second))
			for _, u := range users[:1] {
				go u.cancelUntilConfirmed(0)
			}
			w.withLock(func() { w.delayedTxnRate, w.stateDelay = 0, 0 })
			time.Sleep(w.randDuration(8*time.Second, 14*time.Second))
		}
	}},
	{name: "reports held back for the next owner", mustOccur: []string{"kept reports arrive at a new owner", "old report", "old report comes first"}, inject: func(w *simCluster) {
		w.withLock(func() { w.keptReportRate, w.heldReportRate, w.releaseOnOwnerChange = 0.4, 0.1, true })
		for round := range 6 {
			w.submitAndCancel(round, 8*time.Second)
			w.addUserPerTeam(2, 25)
			time.Sleep(w.randDuration(5*time.Second, 10*time.Second))
			go func() {
				time.Sleep(w.randDuration(0, 6*time.Second))
				w.cancelRunningJobs(4, 0)
			}()
			w.disruptOwner(w.randInt(3))
			time.Sleep(w.randDuration(2*time.Second, 5*time.Second))
		}
		w.withLock(func() { w.keptReportRate, w.heldReportRate, w.releaseOnOwnerChange = 0, 0, false })
		time.Sleep(5 * time.Second)
		w.releaseReports()
		time.Sleep(5 * time.Second)
	}},
	{name: "ten changes of owners in two minutes", mustOccur: []string{"ten changes within two minutes", "ended within an outage"}, inject: func(w *simCluster) {
		from, changes := time.Now(), w.eventCount("handed over")
		for i := range 12 {
			round := time.Now()
			switch i {
			case 5:
				w.withLock(func() { w.outage = true })
			case 7:
				w.withLock(func() { w.outage = false })
				if w.chance(&half) {
					w.state.Refill()
				}
			}
			if i%2 == 0 {
				w.addUserPerTeam(2, 15)
			}
			if i%3 == 0 {
				w.cancelRunningJobs(2, 0)
			}
			if i == 5 || i == 6 {
				w.recordEvent("ended within an outage")
			}
			w.disruptOwner(w.randInt(3))
			time.Sleep(time.Until(round.Add(9 * time.Second)))
		}
		if w.eventCount("handed over") >= changes+10 && time.Since(from) <= 2*time.Minute {
			w.recordEvent("ten changes within two minutes")
		}
	}},
	{name: "the next owner's watch lags", mustOccur: []string{"told just before the owner ended", "taken over with a watch that lags"}, inject: func(w *simCluster) {
		for range 8 {
			users := w.addUserPerTeam(2, 60)
			time.Sleep(w.randDuration(9*time.Second, 13*time.Second))
			owner := w.partitionOwner(w.randInt(3))
			if owner == "" {
				owner = w.randomNode()
			}
			lags := make(chan bool)
			go func() { w.lagBehind(owner, w.randDuration(4*time.Second, 12*time.Second)); lags <- true }()
			time.Sleep(100 * time.Millisecond)
			before := w.eventCount("handed over")
			called := w.cancelRunningJobs(4, 0)
			time.Sleep(w.randDuration(500*time.Millisecond, 1500*time.Millisecond))
			for _, u := range called {
				if u.knownFinalStatus() != "" {
					w.recordEvent("told just before the owner ended")
				}
			}
			w.stopNode(owner)
			<-lags
			if w.eventCount("handed over") > before {
				w.recordEvent("taken over with a watch that lags")
			}
			time.Sleep(w.randDuration(0, 2*time.Second))
			w.startIfStopped(owner)
			for _, u := range users {
				go u.cancelUntilConfirmed(w.randDuration(2*time.Second, 15*time.Second))
			}
		}
	}},
	{name: "all controllers away", mustOccur: []string{"leases ran out", "runs again"}, inject: func(w *simCluster) {
		for way := range 4 {
			w.addUserPerTeam(2, 25)
			time.Sleep(w.randDuration(8*time.Second, 12*time.Second))
			_, before := w.fleet.Ended()
			w.cancelRunningJobs(2, 0)
			time.Sleep(w.randDuration(0, time.Second))
			w.allAway(way, w.workerLease()+w.randDuration(2*time.Second, 15*time.Second))
			if _, expired := w.fleet.Ended(); expired > before {
				w.recordEvent("leases ran out")
			}
			time.Sleep(w.randDuration(10*time.Second, 15*time.Second))
			if w.fleet.Running() > 0 {
				w.recordEvent("runs again")
			}
		}
	}},
}

// lagBehind holds up what the watch tells all controllers but one for a while.
func (w *simCluster) lagBehind(but string, lasts time.Duration) {
	for _, name := range w.names {
		if name != but {
			w.withLock(func() { w.watchStalled[name] = true })
		}
	}
	time.Sleep(lasts)
	w.withLock(func() { clear(w.watchStalled) })
}

// newMachineWorks waits until a machine that is not among some runs something.
func (w *simCluster) newMachineWorks(than []string, within time.Duration) bool {
	for from := time.Now(); time.Since(from) < within; time.Sleep(100 * time.Millisecond) {
		for _, m := range w.busyMachines() {
			if !slices.Contains(than, m) {
				return true
			}
		}
	}
	return false
}

// allAway takes all controllers away for a while: they end and come back together, or one by
// one; are cut off from everything; or stand still.
func (w *simCluster) allAway(way int, lasts time.Duration) {
	switch way {
	case 0, 1:
		for _, name := range w.names {
			w.stopNode(name)
		}
		time.Sleep(lasts)
		for _, name := range w.names {
			w.startIfStopped(name)
			if way == 1 {
				time.Sleep(w.randDuration(0, 6*time.Second))
			}
		}
	case 2:
		for _, name := range w.names {
			w.withLock(func() { w.isolated[name] = true })
		}
		time.Sleep(lasts)
		for _, name := range w.names {
			w.withLock(func() { delete(w.isolated, name) })
			time.Sleep(w.randDuration(0, 4*time.Second))
		}
	case 3:
		for _, name := range w.names {
			go w.freeze(name, lasts+w.randDuration(0, 4*time.Second))
		}
		time.Sleep(lasts + 4*time.Second)
	}
}

// The own record as owner, known before all that was stored earlier, entitles to nothing yet,
// whether the share had an owner before or none.
func TestOwnershipWaitsForTheReplica(t *testing.T) {
	for _, before := range []protocol.OwnerRecord{{}, {Node: "n-1", Token: 8, Lease: 9}} {
		b := newTestNode(t)
		b.watchPut(protocol.OwnerKey(0), before)
		own := storage.Write{Put: protocol.OwnerKey(0), Value: mustJSON(protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})}
		b.applyOwnWrite(own, b.revision+5)
		if s := b.partitions[0]; b.owns(s) || !s.ownerChanging() {
			t.Fatalf("after %+v the share counts as owned: %+v", before, s.owner)
		}
		b.applyWatch(nil, b.revision+4)
		if b.owns(b.partitions[0]) {
			t.Fatalf("after %+v the share counts as owned one revision too early", before)
		}
		b.applyWatch([]storage.Item{{Key: own.Put, Value: own.Value, Revision: b.revision + 5}}, b.revision+5)
		if s := b.partitions[0]; !b.owns(s) || s.ownerChanging() || b.revisionOf(own.Put) != b.revision+5 {
			t.Fatalf("after %+v the share is not owned when all is known: %+v", before, s.owner)
		}
	}
}

// detachOwnerLeases makes the records of owners outlive their leases, for tests of tests.
func detachOwnerLeases(writes []storage.Write) []storage.Write {
	writes = slices.Clone(writes)
	for i := range writes {
		if strings.HasPrefix(writes[i].Put, protocol.OwnerRoot) {
			writes[i].Lease = 0
		}
	}
	return writes
}

// takeUnheardForGone makes a node take the tasks of cancelled jobs of a share for gone before
// their machines have spoken, for tests of tests.
func takeUnheardForGone(n *Node, share int) {
	for _, j := range n.partitions[share].jobs {
		if !j.cancelled || !n.owns(n.partitions[share]) {
			continue
		}
		for i := range j.tasks {
			n.recordOutcome(j, i, outcomeGone)
		}
	}
}

// ownBeforeReplica makes a node own a share before its replica is complete, for tests of tests.
func ownBeforeReplica(n *Node, share int) {
	if s := n.partitions[share]; s.unconfirmedOwner != nil {
		n.setOwner(s, *s.unconfirmedOwner)
	}
}

// The guards that are left out here are those of a change of owner and of who may answer.
var leadershipDefects = []guardDefect{
	{"lease", "hand over and back"},
	{"read barrier", "a slow state service, then none"},
	{"read barrier", "a leader cut from store and siblings"},
	{"unheard", "cancelled while a share changes hands"},
	{"conditions", "new machines at work while writes lag"},
	{"old token", "reports held back for the next owner"},
	{"return", "a zone cut off"},
	{"lease", "ten changes of owners in two minutes"},
	{"lease", "all controllers away"},
	{"replica", "the next owner's watch lags"},
}
