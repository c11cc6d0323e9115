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

// A take-over costs its share: only jobs with something to store wait to be stored, and
// only the share's machines are looked at anew. (With all jobs waiting for their time,
// each turn looked at all of them, and a start at four times the fleet never ended.)
func TestTakeOverCostsItsShare(t *testing.T) {
	b := newTestNode(t)
	b.addFleet(40, 6)
	b.watchPut(protocol.BatchKey("other"), protocol.BatchRecord{Partition: 1, Machines: []protocol.MachineRecord{{Name: "host-900000", Type: "g4", Zone: "a", Addr: "y:1"}}})
	b.addJob("job-700001", true) // cancelled, and its end not stored
	b.refreshIndex(time.Now())
	clear(b.dirty)
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
	if len(b.dirty) != 1 || !b.dirty[b.jobs["job-700001"]] {
		t.Errorf("%d jobs to be stored after a take-over", len(b.dirty))
	}
	for _, m := range b.planningFacts.staleMachines {
		if m.rec.Partition != 0 {
			t.Errorf("%s of another share is looked at anew", m.name)
		}
	}
	if all, heard, _ := b.partitions[0].reconciliation.Counts(); all != 40 || heard != 0 {
		t.Errorf("%d machines to be squared, %d heard", all, heard)
	}
	// The report of a machine under the new token squares it; until then its job's state
	// is not known.
	j := b.jobs["job-000000"]
	if n := b.tasksAwaitingReport(j); n != 2 {
		t.Errorf("%d of 2 tasks on machines that have not spoken", n)
	}
	if r := b.jobRow(j, time.Now()); r.State != "unknown" {
		t.Errorf("state %q, %q", r.State, r.Why)
	}
	if m := b.machines["host-001000"]; !b.acceptWorkerReport(m, &protocol.Report{Machine: m.name, Session: 1, Seq: 1, Token: 9}, 9, time.Now()) || b.tasksAwaitingReport(j) != 0 {
		t.Error("heard, and not squared")
	}
}

// Idleness that nobody saw is not "idle since the take-over", and what this node saw
// itself is kept through one.
func TestIdlenessSurvivesOrIsUnknown(t *testing.T) {
	b := newTestNode(t)
	b.loaded = false // the machines of a start
	b.watchPut(protocol.BatchKey("old"), protocol.BatchRecord{Machines: []protocol.MachineRecord{{Name: "host-5", Type: "g4", Zone: "a", Addr: "x:5"}}})
	b.loaded = true
	unseen := b.machines["host-5"]
	b.addJob("job-000001", false, protocol.Placement{Task: 0, Attempt: 1, Machine: "host-1"})
	b.setPhase(b.jobs["job-000001"], 0, phaseWaiting, nil, 0, time.Now())
	seen := b.machines["host-1"]
	since := seen.idleSince
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
	now := time.Now().Add(time.Hour)
	b.acceptWorkerReport(unseen, &protocol.Report{Machine: "host-5", Session: 1, Seq: 1, Token: 9}, 9, now)
	if !unseen.idleSinceUnknown || !unseen.idleSince.Equal(now) {
		t.Errorf("unseen %v, idle since %v", unseen.idleSinceUnknown, unseen.idleSince)
	}
	if seen.idleSinceUnknown || !seen.idleSince.Equal(since) || since.IsZero() {
		t.Errorf("unseen %v, idle since %v, was %v", seen.idleSinceUnknown, seen.idleSince, since)
	}
	// Of many such machines only some go at a time, and none before the share is settled.
	var spare []*machine
	for i := range 100 {
		m := b.findOrAddMachine(fmt.Sprintf("host-8%05d", i))
		m.idleSinceUnknown = true
		spare = append(spare, m)
	}
	b.machineTypes["g4"].BootS = 25
	s := b.partitions[0]
	if back := b.returnableIdle(spare, now); len(back) > 0 {
		t.Errorf("%d returned while the share is squared", len(back))
	}
	s.reconciliation.Advance(now)
	now = now.Add(2 * time.Second)
	if back := b.returnableIdle(spare, now); len(back) != 4 {
		t.Errorf("%d of 100 returned at once with a boot time of 25 s", len(back))
	}
	if back := b.returnableIdle(spare, now.Add(100*time.Millisecond)); len(back) != 0 {
		t.Errorf("%d more a moment later", len(back))
	}
}

// A late node that squares a share answers polls and listings at once with when to come
// back, except what is final; one that is in time, or serves, answers all.
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
			return 0 // to be compared with the store
		}
	}
	if s := poll("job-000000"); s != 0 {
		t.Errorf("a poll in time is answered %d", s)
	}
	b.loadControl.budget.ObserveLag(time.Now(), time.Second)
	if s := poll("job-000000"); s != 503 {
		t.Errorf("a poll of a late node is answered %d", s)
	}
	if s := poll("job-800000"); s != 200 {
		t.Errorf("a poll of what is final is answered %d", s)
	}
	c := make(chan answer, 1)
	b.withLoadShedding(func(reply chan<- answer) { reply <- answer{status: 200} })(c)
	if a := <-c; a.status != 503 || a.retryAfterS == 0 {
		t.Errorf("a listing is answered %d, come back in %d s", a.status, a.retryAfterS)
	}
	b.partitions[0].reconciliation.Advance(time.Now().Add(time.Minute))
	if s := poll("job-000000"); s != 0 {
		t.Errorf("a poll of a node that serves is answered %d", s)
	}
}

// A node whose own load cost it its lease takes fewer shares, later; one that stood
// still, or was cut off, does not.
func TestOwnLoadTakesFewerShares(t *testing.T) {
	b := newTestNode(t)
	now := time.Now()
	b.liveNodes = map[string]time.Time{"n-0": now, "n-1": now}
	b.partitions[1].vacantSince = now
	b.noteOverload(2, now)
	if !b.mayTake(b.partitions[1], 2, now) || b.extraTakeDelay(0, now) != 0 {
		t.Error("a lease that ended for another cause counts as load")
	}
	b.loadControl.budget.ObserveLag(now, time.Second)
	b.noteOverload(2, now)
	if b.mayTake(b.partitions[1], 1, now) || !b.mayTake(b.partitions[1], 0, now) || b.extraTakeDelay(0, now) != time.Second {
		t.Errorf("after its own load: a second share %v, the first one %v, %v later", b.mayTake(b.partitions[1], 1, now), b.mayTake(b.partitions[1], 0, now), b.extraTakeDelay(0, now))
	}
	if !b.mayTake(b.partitions[1], 1, now.Add(maxVacancy+time.Second)) {
		t.Error("nobody takes a share that all others leave")
	}
	b.reachability.stallEnded = now
	b.loadControl.overloadLapses = 0
	b.noteOverload(2, now)
	if b.loadControl.overloadLapses != 0 {
		t.Error("standing still counts as load")
	}
}

// A node that ended and is back ends the lease of its former life: its shares are free
// at once, for itself too.
func TestFormerLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimCluster(t, t.Context(), 3, defaultSettings)
		time.Sleep(5 * time.Second)
		held := func() string { // by n-0, as the store has it
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
		before := held()
		w.stop["n-0"]()
		w.startNode("n-0")
		time.Sleep(1500 * time.Millisecond)
		if after := held(); before == "" || after == "" || after == before {
			t.Errorf("held %q before, %q 1.5 s after", before, after)
		}
		for _, stop := range w.stop {
			stop()
		}
	})
}

// While a share is squared nobody is stopped to make room: it may be free on a machine
// that has not spoken. A fault done on purpose, a share taken for served at once, is found.
func TestNobodyIsStoppedBeforeTheShareServes(t *testing.T) {
	for _, sabotaged := range []bool{false, true} {
		b := newTestNode(t)
		b.watchPut(protocol.BatchKey("r-0-7-2-0"), protocol.BatchRecord{Machines: []protocol.MachineRecord{{Name: "host-2", Type: "g4", Zone: "a", Addr: "x:2"}, {Name: "host-3", Type: "g4", Zone: "a", Addr: "x:3"}}})
		low := &protocol.JobSpec{ID: "job-000001", Team: "red", Class: "c", Shape: protocol.Array, Priority: "best_effort", Tasks: 4, CPUs: 4, GPUs: 1, MemoryGB: 8, Image: "i", ImageGB: 1, EstimateS: 900}
		rec := protocol.JobRecord{Spec: low, NextAttempt: 2}
		var tasks []protocol.TaskReport
		for i := range 4 {
			rec.Placed = append(rec.Placed, protocol.Placement{Task: i, Attempt: 1, Machine: "host-1"})
			tasks = append(tasks, protocol.TaskReport{Task: protocol.TaskID(low.ID, i), Attempt: 1, State: protocol.TaskRunning})
		}
		b.watchPut(protocol.JobKey(low.ID), rec)
		b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
		b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
		b.sendReport(9, 1, tasks...)
		urgent := *low
		urgent.ID, urgent.Priority, urgent.Tasks, urgent.Shape = "job-000002", "critical", 1, protocol.Service
		b.watchPut(protocol.JobKey(urgent.ID), protocol.JobRecord{Spec: &urgent, NextAttempt: 1})
		s, now := b.partitions[0], time.Now()
		b.RecordContact(now)
		b.policy.StopRentals = true
		if sabotaged {
			s.reconciliation = start.BeginReconciliation(start.Timing{}, now, nil)
		}
		stopped := func() (n int) {
			for i := range b.jobs[low.ID].tasks {
				if b.jobs[low.ID].tasks[i].stopRequested {
					n++
				}
			}
			return n
		}
		b.plan(now)
		if got := stopped() > 0; got != sabotaged {
			t.Fatalf("sabotaged %v: %d tasks stopped while two of three machines have not spoken", sabotaged, stopped())
		}
		s.reconciliation.Advance(now.Add(time.Minute))
		if b.plan(now); stopped() == 0 {
			t.Error("nobody is stopped once the share serves: the test shows nothing")
		}
	}
}

// A node that stood still counts what came meanwhile by its own time, in order; and the
// time in which nobody decided makes no machine idle.
func TestArrivalsAndIdlenessThroughAStall(t *testing.T) {
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
		t.Errorf("arrivals %q, want the three of the last two minutes in order", ids)
	}
	s, m := b.partitions[0], b.machines["host-1"]
	m.idleSince, m.idleSinceUnknown = now.Add(-40*time.Second), false
	s.acquiredAt, s.takeover.gap = now.Add(-8*time.Second), 4*time.Second
	b.excludeGapFromIdle(s, now)
	if idle := now.Sub(m.idleSince); idle != 28*time.Second {
		t.Errorf("idle for %v, of 40 s in which nobody decided for 12", idle)
	}
}

// A node that turns workers' connections away does not take their silence for theirs.
func TestTurnedAwayIsNotSilent(t *testing.T) {
	b := newTestNode(t)
	b.addFleet(5, 0)
	now := time.Now().Add(time.Hour)
	b.RecordContact(now)
	m := b.partitions[0].machines[1]
	m.trackedSince = now.Add(-time.Minute)
	b.cfg.Params.Workers.LeaseS = 3600
	if !b.presumedDead(m, now) {
		t.Fatal("a minute's silence is not noticed")
	}
	closed := int64(0)
	b.ClosedConnections = func() int64 { return closed }
	b.noteRefusedConnections(now)
	if !b.presumedDead(m, now) {
		t.Error("nothing was turned away, and silence does not count")
	}
	closed = 3
	b.noteRefusedConnections(now)
	if b.presumedDead(m, now) || b.silent(m, now) {
		t.Error("given up for a silence of this node's own making")
	}
	b.RecordContact(now.Add(time.Minute))
	m.lastFencedReport = now.Add(-time.Second)
	b.cfg.Params.Workers.LeaseS = 36
	b.noteRefusedConnections(now)
	for i := range 120 { // a node that turns workers away all the time still notices the dead
		closed++
		b.noteRefusedConnections(now.Add(time.Duration(i) * time.Second))
	}
	if b.RecordContact(now.Add(2 * time.Minute)); !b.presumedDead(m, now.Add(2*time.Minute)) {
		t.Error("never given up, since others are turned away")
	}
	m.lastFencedReport = time.Time{}
	b.noteRefusedConnections(now.Add(time.Minute))
	if !b.presumedDead(m, now.Add(time.Minute)) {
		t.Error("silence does not count long after")
	}
}
