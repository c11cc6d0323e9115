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

// Scenarios in which a partition's owner changes while other faults occur.

// nextJobNumber returns a new number for a job ID.
func (w *simCluster) nextJobNumber() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastJob++
	return w.lastJob
}

// workerLease is the time for which a worker's tasks outlive its last answered report.
func (w *simCluster) workerLease() time.Duration {
	return time.Duration(w.fleet.Workers.LeaseS * float64(time.Second))
}

// addUser adds a user who submits a job and polls it until the end of the workload.
func (w *simCluster) addUser(spec *protocol.JobSpec) *user {
	u := &user{w: w, spec: spec}
	w.withLock(func() { w.users = append(slices.Clone(w.users), u) })
	go u.run(func() {})
	return u
}

// addUserPerTeam adds one user for each team, with a job of the given number of tasks and run time.
func (w *simCluster) addUserPerTeam(tasks int, seconds float64) (users []*user) {
	for _, team := range []string{"red", "blue", "green"} {
		users = append(users, w.addUser(&protocol.JobSpec{ID: fmt.Sprintf("job-93%04d", w.nextJobNumber()), Team: team, Class: "c", Shape: protocol.Array, Priority: "high",
			Tasks: tasks, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "i", ImageGB: 1, EstimateS: seconds, Spot: true}))
	}
	return users
}

// keepReport keeps a copy of a report for releaseReports.
func (w *simCluster) keepReport(r protocol.Report) { w.withLock(func() { w.kept = append(w.kept, r) }) }

// holdsBackReport reports whether a report is held back. If none are to be held back it draws no
// random number, so that the seeds of other tests keep their meaning.
func (w *simCluster) holdsBackReport() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heldReportRate > 0 && w.rng.Float64() < w.heldReportRate
}

// onOwnerChange is called by watchOwners for each new owner of a partition.
func (w *simCluster) onOwnerChange(index int, owner string) {
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
		n.post(func() { assumeUnheardGone(n, index) })
	case w.disabledGuard == "replica":
		n.post(func() { ownBeforeReplica(n, index) })
	}
}

// disruptOwner takes a partition's owner down in one of several ways and returns when all processes
// are back: a restart, an orderly shutdown, a stall, or a loss of its connections.
func (w *simCluster) disruptOwner(index int) {
	owner := w.partitionOwner(index)
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
			ownerBack := make(chan bool)
			go func() {
				time.Sleep(w.randDuration(0, 2*time.Second))
				w.disruptOwner(w.randInt(3))
				ownerBack <- true
			}()
			time.Sleep(w.randDuration(0, 4*time.Second))
			var hang time.Duration
			if w.chance(&half) {
				hang = w.randDuration(2*time.Second, 15*time.Second)
			}
			cancelled := w.cancelRunningJobs(4, hang)
			<-ownerBack
			time.Sleep(time.Second)
			if w.eventCount("handed over") > changes && len(cancelled) > 0 {
				w.recordEvent("cancelled as owners change")
			}
			for _, u := range users { // the others are cancelled during the next round
				go u.cancelUntilConfirmed(w.randDuration(5*time.Second, 20*time.Second))
			}
		}
	}},
	{name: "new machines at work while writes lag", mustOccur: []string{"owner ends as a new machine begins"}, configure: func(_ *protocol.WorkerSettings, w *simCluster) {
		w.fleet.BootTime = 1500 * time.Millisecond
	}, inject: func(w *simCluster) {
		for range 6 {
			w.withLock(func() { w.delayedTxnRate, w.stateDelay = 0.25, 200*time.Millisecond })
			for i, m := range w.fleet.MachineNames() {
				if i%2 == 0 {
					w.fleet.Kill(m)
				}
			}
			before := w.fleet.MachineNames()
			users := w.addUserPerTeam(4, 10)
			if w.waitForNewBusyMachine(before, 15*time.Second) {
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
					w.state.RenewAllLeases()
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
	{name: "the next owner's watch lags", mustOccur: []string{"cancellation confirmed just before the owner ended", "taken over with a stalled watch"}, inject: func(w *simCluster) {
		for range 8 {
			users := w.addUserPerTeam(2, 60)
			time.Sleep(w.randDuration(9*time.Second, 13*time.Second))
			owner := w.partitionOwner(w.randInt(3))
			if owner == "" {
				owner = w.randomNode()
			}
			lagOver := make(chan bool)
			go func() { w.stallWatches(owner, w.randDuration(4*time.Second, 12*time.Second)); lagOver <- true }()
			time.Sleep(100 * time.Millisecond)
			before := w.eventCount("handed over")
			cancelled := w.cancelRunningJobs(4, 0)
			time.Sleep(w.randDuration(500*time.Millisecond, 1500*time.Millisecond))
			for _, u := range cancelled {
				if u.knownFinalStatus() != "" {
					w.recordEvent("cancellation confirmed just before the owner ended")
				}
			}
			w.stopNode(owner)
			<-lagOver
			if w.eventCount("handed over") > before {
				w.recordEvent("taken over with a stalled watch")
			}
			time.Sleep(w.randDuration(0, 2*time.Second))
			w.startIfStopped(owner)
			for _, u := range users {
				go u.cancelUntilConfirmed(w.randDuration(2*time.Second, 15*time.Second))
			}
		}
	}},
	{name: "all controllers away", mustOccur: []string{"worker leases expired", "tasks run again"}, inject: func(w *simCluster) {
		for way := range 4 {
			w.addUserPerTeam(2, 25)
			time.Sleep(w.randDuration(8*time.Second, 12*time.Second))
			_, before := w.fleet.InterruptedTasks()
			w.cancelRunningJobs(2, 0)
			time.Sleep(w.randDuration(0, time.Second))
			w.takeControllersDown(way, w.workerLease()+w.randDuration(2*time.Second, 15*time.Second))
			if _, expired := w.fleet.InterruptedTasks(); expired > before {
				w.recordEvent("worker leases expired")
			}
			time.Sleep(w.randDuration(10*time.Second, 15*time.Second))
			if w.fleet.RunningTasks() > 0 {
				w.recordEvent("tasks run again")
			}
		}
	}},
}

// stallWatches stalls the watches of all controllers but one for a while.
func (w *simCluster) stallWatches(except string, duration time.Duration) {
	for _, name := range w.names {
		if name != except {
			w.withLock(func() { w.watchStalled[name] = true })
		}
	}
	time.Sleep(duration)
	w.withLock(func() { clear(w.watchStalled) })
}

// waitForNewBusyMachine waits until a machine outside a given set runs a task.
func (w *simCluster) waitForNewBusyMachine(known []string, within time.Duration) bool {
	for from := time.Now(); time.Since(from) < within; time.Sleep(100 * time.Millisecond) {
		for _, m := range w.busyMachines() {
			if !slices.Contains(known, m) {
				return true
			}
		}
	}
	return false
}

// takeControllersDown takes all controllers down for a while: they end and come back together or
// one by one, lose all connections, or stall.
func (w *simCluster) takeControllersDown(mode int, duration time.Duration) {
	switch mode {
	case 0, 1:
		for _, name := range w.names {
			w.stopNode(name)
		}
		time.Sleep(duration)
		for _, name := range w.names {
			w.startIfStopped(name)
			if mode == 1 {
				time.Sleep(w.randDuration(0, 6*time.Second))
			}
		}
	case 2:
		for _, name := range w.names {
			w.withLock(func() { w.isolated[name] = true })
		}
		time.Sleep(duration)
		for _, name := range w.names {
			w.withLock(func() { delete(w.isolated, name) })
			time.Sleep(w.randDuration(0, 4*time.Second))
		}
	case 3:
		for _, name := range w.names {
			go w.freeze(name, duration+w.randDuration(0, 4*time.Second))
		}
		time.Sleep(duration + 4*time.Second)
	}
}

// A node may learn its own owner record before it has read everything that was stored earlier.
// Acting as owner at that point would miss changes of earlier owners, so ownership must wait for
// the replica, whether the partition had an owner before or not.
func TestOwnershipWaitsForTheReplica(t *testing.T) {
	for _, before := range []protocol.OwnerRecord{{}, {Node: "n-1", Token: 8, Lease: 9}} {
		node := newTestNode(t)
		node.watchPut(protocol.OwnerKey(0), before)
		own := storage.Write{Put: protocol.OwnerKey(0), Value: mustJSON(protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})}
		node.applyOwnWrite(own, node.revision+5)
		if p := node.partitions[0]; node.owns(p) || !p.ownerChanging() {
			t.Fatalf("after %+v the partition counts as owned: %+v", before, p.owner)
		}
		node.applyWatch(nil, node.revision+4)
		if node.owns(node.partitions[0]) {
			t.Fatalf("after %+v the partition counts as owned one revision too early", before)
		}
		node.applyWatch([]storage.Item{{Key: own.Put, Value: own.Value, Revision: node.revision + 5}}, node.revision+5)
		if p := node.partitions[0]; !node.owns(p) || p.ownerChanging() || node.revisionOf(own.Put) != node.revision+5 {
			t.Fatalf("after %+v the partition is not owned with a complete replica: %+v", before, p.owner)
		}
	}
}

// detachOwnerLeases makes owner records outlive their leases, for tests of disabled guards.
func detachOwnerLeases(writes []storage.Write) []storage.Write {
	writes = slices.Clone(writes)
	for i := range writes {
		if strings.HasPrefix(writes[i].Put, protocol.OwnerRoot) {
			writes[i].Lease = 0
		}
	}
	return writes
}

// assumeUnheardGone makes a node regard the tasks of cancelled jobs of a partition as gone before
// their machines have reported, for tests of disabled guards.
func assumeUnheardGone(n *Node, index int) {
	for _, j := range n.partitions[index].jobs {
		if !j.cancelled || !n.owns(n.partitions[index]) {
			continue
		}
		for i := range j.tasks {
			n.recordOutcome(j, i, outcomeGone)
		}
	}
}

// ownBeforeReplica makes a node own a partition before its replica is complete, for tests of
// disabled guards.
func ownBeforeReplica(n *Node, index int) {
	if p := n.partitions[index]; p.unconfirmedOwner != nil {
		n.setOwner(p, *p.unconfirmedOwner)
	}
}

// Disabled guards of ownership changes and of the rule on who may answer.
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
