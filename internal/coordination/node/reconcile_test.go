package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/start"
	"dapplestage.example/dapplestage/internal/protocol"
)

// A takeover costs only its partition: only jobs with something to store are queued for storing, and
// only the facts of the partition's machines are recomputed. (When all jobs were queued, each turn of
// the actor looked at all of them, and a start at four times the fleet never completed.)
func TestTakeoverCostIsLimitedToPartition(t *testing.T) {
	b := newTestNode(t)
	b.addFleet(40, 6)
	b.watchPut(protocol.BatchKey("other"), protocol.BatchRecord{Partition: 1, Machines: []protocol.MachineRecord{{Name: "host-900000", Type: "g4", Zone: "a", Addr: "y:1"}}})
	b.addJob("job-700001", true) // cancelled, and its end is not stored
	b.refreshIndex(time.Now())
	clear(b.dirty)
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
	if len(b.dirty) != 1 || !b.dirty[b.jobs["job-700001"]] {
		t.Errorf("%d jobs to be stored after a takeover", len(b.dirty))
	}
	for _, m := range b.planningFacts.staleMachines {
		if m.rec.Partition != 0 {
			t.Errorf("the facts of %s, which is in another partition, are recomputed", m.name)
		}
	}
	if all, heard, _ := b.partitions[0].reconciliation.Counts(); all != 40 || heard != 0 {
		t.Errorf("%d machines to be reconciled, %d have reported", all, heard)
	}
	// A report of a machine under the new token reconciles it. Until then the state of its job is
	// not known.
	j := b.jobs["job-000000"]
	if n := b.tasksAwaitingReport(j); n != 2 {
		t.Errorf("%d of 2 tasks on machines that have not reported", n)
	}
	if r := b.jobRow(j, time.Now()); r.State != "unknown" {
		t.Errorf("state %q, %q", r.State, r.Why)
	}
	if m := b.machines["host-001000"]; !b.acceptWorkerReport(m, &protocol.Report{Machine: m.name, Session: 1, Seq: 1, Token: 9}, time.Now()) || b.tasksAwaitingReport(j) != 0 {
		t.Error("the machine has reported and is not reconciled")
	}
}

// If no node knows when a machine became idle, it does not count as idle since the takeover. An idle
// time that this node observed itself is kept through a takeover.
func TestIdleTimeAcrossTakeover(t *testing.T) {
	b := newTestNode(t)
	b.loaded = false // as for machines read at the start of the node
	b.watchPut(protocol.BatchKey("old"), protocol.BatchRecord{Machines: []protocol.MachineRecord{{Name: "host-5", Type: "g4", Zone: "a", Addr: "x:5"}}})
	b.loaded = true
	unknown := b.machines["host-5"]
	b.addJob("job-000001", false, protocol.Placement{Task: 0, Attempt: 1, Machine: "host-1"})
	b.setPhase(b.jobs["job-000001"], 0, phaseWaiting, nil, 0, time.Now())
	observed := b.machines["host-1"]
	since := observed.idleSince
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
	now := time.Now().Add(time.Hour)
	b.acceptWorkerReport(unknown, &protocol.Report{Machine: "host-5", Session: 1, Seq: 1, Token: 9}, now)
	if !unknown.idleSinceUnknown || !unknown.idleSince.Equal(now) {
		t.Errorf("idle time unknown %v, idle since %v", unknown.idleSinceUnknown, unknown.idleSince)
	}
	if observed.idleSinceUnknown || !observed.idleSince.Equal(since) || since.IsZero() {
		t.Errorf("idle time unknown %v, idle since %v, was %v", observed.idleSinceUnknown, observed.idleSince, since)
	}
	// Of many such machines only some are returned at a time, and none before the partition is
	// reconciled.
	var idleMachines []*machine
	for i := range 100 {
		m := b.findOrAddMachine(fmt.Sprintf("host-8%05d", i))
		m.idleSinceUnknown = true
		idleMachines = append(idleMachines, m)
	}
	b.machineTypes["g4"].BootS = 25
	p := b.partitions[0]
	if toReturn := b.returnableIdle(idleMachines, now); len(toReturn) > 0 {
		t.Errorf("%d returned while the partition is being reconciled", len(toReturn))
	}
	p.reconciliation.Advance(now)
	now = now.Add(2 * time.Second)
	if back := b.returnableIdle(idleMachines, now); len(back) != 4 {
		t.Errorf("%d of 100 returned at once with a boot time of 25 s", len(back))
	}
	if back := b.returnableIdle(idleMachines, now.Add(100*time.Millisecond)); len(back) != 0 {
		t.Errorf("%d more a moment later", len(back))
	}
}

// A node that is late while it reconciles a partition answers polls and listings at once with a time
// to retry, except for final states. A node that is not late, or already serves, answers all.
func TestLateStartShedsPolls(t *testing.T) {
	b := newTestNode(t)
	b.addFleet(20, 0)
	b.finalJobs.add("job-800000", protocol.FinalRecord{Status: protocol.JobDone, Tasks: 1})
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
	poll := func(id string) int {
		c := make(chan answer, 1)
		b.onPoll(id, c)
		select {
		case a := <-c:
			return a.status
		default:
			return 0 // waits to be compared with the state service
		}
	}
	if s := poll("job-000000"); s != 0 {
		t.Errorf("a poll of a node that is not late is answered %d", s)
	}
	b.loadControl.budget.ObserveLag(time.Now(), time.Second)
	if s := poll("job-000000"); s != 503 {
		t.Errorf("a poll of a late node is answered %d", s)
	}
	if s := poll("job-800000"); s != 200 {
		t.Errorf("a poll of a job with a final state is answered %d", s)
	}
	c := make(chan answer, 1)
	b.withLoadShedding(func(reply chan<- answer) { reply <- answer{status: 200} })(c)
	if a := <-c; a.status != 503 || a.retryAfterS == 0 {
		t.Errorf("a listing is answered %d, retry after %d s", a.status, a.retryAfterS)
	}
	b.partitions[0].reconciliation.Advance(time.Now().Add(time.Minute))
	if s := poll("job-000000"); s != 0 {
		t.Errorf("a poll of a node in the serving phase is answered %d", s)
	}
}

// A node that lost its lease through its own load takes fewer partitions and takes them later; one
// that was stalled or cut off does not.
func TestOverloadedNodeTakesFewerPartitions(t *testing.T) {
	b := newTestNode(t)
	now := time.Now()
	b.liveNodes = map[string]time.Time{"n-0": now, "n-1": now}
	b.partitions[1].vacantSince = now
	b.noteOverload(2, now)
	if !b.mayTake(b.partitions[1], 2, now) || b.extraTakeDelay(0, now) != 0 {
		t.Error("a lease that expired for another reason counts as overload")
	}
	b.loadControl.budget.ObserveLag(now, time.Second)
	b.noteOverload(2, now)
	if b.mayTake(b.partitions[1], 1, now) || !b.mayTake(b.partitions[1], 0, now) || b.extraTakeDelay(0, now) != time.Second {
		t.Errorf("after an overload: may take a second partition %v, a first one %v, delay %v", b.mayTake(b.partitions[1], 1, now), b.mayTake(b.partitions[1], 0, now), b.extraTakeDelay(0, now))
	}
	if !b.mayTake(b.partitions[1], 1, now.Add(maxVacancy+time.Second)) {
		t.Error("a partition that has been vacant for too long is not taken")
	}
	b.reachability.stallEnded = now
	b.loadControl.overloadLapses = 0
	b.noteOverload(2, now)
	if b.loadControl.overloadLapses != 0 {
		t.Error("a stall counts as overload")
	}
}

// A restarted node ends the lease of its former process: its partitions are free at once, also for
// itself.
func TestRestartedNodeEndsItsFormerLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimCluster(t, t.Context(), 3, defaultSettings)
		time.Sleep(5 * time.Second)
		ownedPartition := func() string { // partition and token that n-0 owns according to the state service
			for i := range 3 {
				if it, _ := w.state.Get(t.Context(), protocol.OwnerKey(i)); it.Value != nil {
					var h protocol.OwnerRecord
					if json.Unmarshal(it.Value, &h) == nil && h.Node == "n-0" {
						return fmt.Sprint(i, "/", h.Token)
					}
				}
			}
			return ""
		}
		before := ownedPartition()
		w.stop["n-0"]()
		w.startNode("n-0")
		time.Sleep(1500 * time.Millisecond)
		if after := ownedPartition(); before == "" || after == "" || after == before {
			t.Errorf("owned %q before, %q 1.5 s after", before, after)
		}
		for _, stop := range w.stop {
			stop()
		}
	})
}

// No task is preempted while a partition is being reconciled: a machine that has not reported yet may
// have free resources. The test also checks that it fails if a partition counts as serving at once.
func TestNoPreemptionBeforePartitionServes(t *testing.T) {
	for _, sabotaged := range []bool{false, true} {
		b := newTestNode(t)
		b.watchPut(protocol.BatchKey("r-0-7-2-0"), protocol.BatchRecord{Machines: []protocol.MachineRecord{{Name: "host-2", Type: "g4", Zone: "a", Addr: "x:2"}, {Name: "host-3", Type: "g4", Zone: "a", Addr: "x:3"}}})
		low := &protocol.JobSpec{ID: "job-000001", Team: "red", Class: "c", Shape: protocol.Array, Priority: "best_effort", Tasks: 4, CPUs: 4, GPUs: 1, MemoryGB: 8, Image: "i", ImageGB: 1, EstimateS: 900}
		record := protocol.JobRecord{Spec: low, NextAttempt: 2}
		var tasks []protocol.TaskReport
		for i := range 4 {
			record.Placed = append(record.Placed, protocol.Placement{Task: i, Attempt: 1, Machine: "host-1"})
			tasks = append(tasks, protocol.TaskReport{Task: protocol.TaskID(low.ID, i), Attempt: 1, State: protocol.TaskRunning})
		}
		b.watchPut(protocol.JobKey(low.ID), record)
		b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
		b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
		b.sendReport(9, 1, tasks...)
		urgent := *low
		urgent.ID, urgent.Priority, urgent.Tasks, urgent.Shape = "job-000002", "critical", 1, protocol.Service
		b.watchPut(protocol.JobKey(urgent.ID), protocol.JobRecord{Spec: &urgent, NextAttempt: 1})
		p, now := b.partitions[0], time.Now()
		b.RecordContact(now)
		b.policy.StopRentals = true
		if sabotaged {
			p.reconciliation = start.BeginReconciliation(start.Timing{}, now, nil)
		}
		stopped := func() (count int) {
			for i := range b.jobs[low.ID].tasks {
				if b.jobs[low.ID].tasks[i].stopRequested {
					count++
				}
			}
			return count
		}
		b.plan(now)
		if got := stopped() > 0; got != sabotaged {
			t.Fatalf("sabotaged %v: %d tasks stopped while two of three machines have not reported", sabotaged, stopped())
		}
		p.reconciliation.Advance(now.Add(time.Minute))
		if b.plan(now); stopped() == 0 {
			t.Error("no task is stopped once the partition serves: the test shows nothing")
		}
	}
}

// A node that was stalled counts the jobs that arrived meanwhile by their submission times, in order.
// The time in which no node placed tasks does not count as idle time of machines.
func TestArrivalsAndIdleTimeAfterStall(t *testing.T) {
	b := newTestNode(t)
	now := time.Now()
	b.loadControl.followingSince = now.Add(-time.Hour)
	for i, ago := range []time.Duration{10 * time.Second, 50 * time.Second, 30 * time.Second, 10 * time.Minute} {
		spec := &protocol.JobSpec{ID: fmt.Sprintf("job-60000%d", i), Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1}
		b.watchPut(protocol.JobKey(spec.ID), protocol.JobRecord{Spec: spec, SubmittedMS: now.Add(-ago).UnixMilli(), NextAttempt: 1})
	}
	var ids string
	for _, a := range b.partitions[0].recentArrivals {
		ids += a.Spec.ID[9:] + " "
	}
	if ids != "1 2 0 " {
		t.Errorf("arrivals %q, want the three of the last two minutes, in order", ids)
	}
	p, m := b.partitions[0], b.machines["host-1"]
	m.idleSince, m.idleSinceUnknown = now.Add(-40*time.Second), false
	p.acquiredAt, p.takeover.gap = now.Add(-8*time.Second), 4*time.Second
	b.excludeGapFromIdle(p, now)
	if idle := now.Sub(m.idleSince); idle != 28*time.Second {
		t.Errorf("idle for %v; no node placed tasks for 12 of 40 s", idle)
	}
}

// A node that refuses connections of workers does not count these workers as silent.
func TestRefusedWorkersAreNotSilent(t *testing.T) {
	b := newTestNode(t)
	b.addFleet(5, 0)
	now := time.Now().Add(time.Hour)
	b.RecordContact(now)
	m := b.partitions[0].machines[1]
	m.trackedSince = now.Add(-time.Minute)
	b.cfg.Params.Workers.LeaseS = 3600
	if !b.presumedDead(m, now) {
		t.Fatal("a silence of one minute is not detected")
	}
	closed := int64(0)
	b.ClosedConnections = func() int64 { return closed }
	b.noteRefusedConnections(now)
	if !b.presumedDead(m, now) {
		t.Error("no connection was refused, and silence does not count")
	}
	closed = 3
	b.noteRefusedConnections(now)
	if b.presumedDead(m, now) || b.silent(m, now) {
		t.Error("given up for a silence that this node has caused")
	}
	b.RecordContact(now.Add(time.Minute))
	m.lastFencedReport = now.Add(-time.Second)
	b.cfg.Params.Workers.LeaseS = 36
	b.noteRefusedConnections(now)
	for i := range 120 { // a node that keeps refusing workers still detects dead machines
		closed++
		b.noteRefusedConnections(now.Add(time.Duration(i) * time.Second))
	}
	if b.RecordContact(now.Add(2 * time.Minute)); !b.presumedDead(m, now.Add(2*time.Minute)) {
		t.Error("never given up, because other workers are being refused")
	}
	m.lastFencedReport = time.Time{}
	b.noteRefusedConnections(now.Add(time.Minute))
	if !b.presumedDead(m, now.Add(time.Minute)) {
		t.Error("silence does not count long after the last refusal")
	}
}
