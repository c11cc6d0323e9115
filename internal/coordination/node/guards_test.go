package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
	"dapplestage.example/dapplestage/internal/storage"
	"dapplestage.example/dapplestage/internal/transport"
)

// testNode is one node whose actor is not running: the test is the actor.
type testNode struct {
	*Node
	t        testing.TB
	state    *standin.State
	revision uint64
}

// newTestNode makes a node that holds share 0 under token 7, with one machine
// host-1 and no jobs.
func newTestNode(t testing.TB) *testNode {
	st := standin.NewState()
	names := []string{"n-0", "n-1", "n-2"}
	n := New(t.Context(), settingsFor(names, 0), slog.New(slog.NewTextHandler(io.Discard, nil)), st, standin.NewFleet(t.Context()), nil, 1)
	n.applyCatalog([]protocol.MachineType{{Name: "g4", CPUs: 24, GPUs: 4, MemoryGB: 192, Zones: []string{"a"}}})
	n.RecordContact(time.Now())
	n.applyListing(nil, 0)
	n.completeAt = time.Now()
	n.lease = 3
	b := &testNode{Node: n, t: t, state: st, revision: 10}
	b.watchPut(protocol.TokenCounterKey, protocol.TokenCounterRecord{Token: 7})
	b.watchPut(protocol.BatchKey("r-0-7-1-0"), protocol.BatchRecord{Machines: []protocol.MachineRecord{{Name: "host-1", Type: "g4", Zone: "a"}}})
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 7, Lease: 3})
	return b
}

// watchPut is a change that the watch tells.
func (b *testNode) watchPut(key string, v any) {
	b.revision++
	b.applyWatch([]storage.Item{{Key: key, Value: mustJSON(v), Revision: b.revision}}, b.revision)
}

// addJob stores a one-task job of the share's team, placed on host-1.
func (b *testNode) addJob(id string, cancelled bool, placed ...protocol.Placement) *job {
	spec := &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1}
	b.watchPut(protocol.JobKey(id), protocol.JobRecord{Spec: spec, NextAttempt: 2, Cancelled: cancelled, Chunk: protocol.Chunk{Placed: placed}})
	return b.jobs[id]
}

// sendReport sends a worker's report and returns the answer, or nil if it is parked.
func (b *testNode) sendReport(token, seq uint64, tasks ...protocol.TaskReport) *answer {
	reply := make(chan answer, 1)
	b.onReport(&protocol.Report{Machine: "host-1", Type: "g4", Zone: "a", Session: 1, Seq: seq, Token: token, Tasks: tasks}, time.Now(), reply)
	select {
	case a := <-reply:
		return &a
	default:
		return nil
	}
}

var placedOnHost1 = protocol.Placement{Task: 0, Attempt: 1, Machine: "host-1"}

// A list under an earlier token proves nothing: an earlier holder's start may
// still be on its way.
func TestUnfencedListProvesNothing(t *testing.T) {
	b := newTestNode(t)
	j := b.addJob("job-1", true, placedOnHost1)
	a := b.sendReport(6, 1)
	if a == nil || a.status != 200 || a.body.(protocol.Orders).Token != 7 || len(a.body.(protocol.Orders).Commands) != 0 {
		t.Fatalf("answer %+v, want the token and no commands", a)
	}
	if j.tasks[0].outcome != outcomeNone {
		t.Fatal("a task counts as gone by a report of an earlier token")
	}
	if b.machines["host-1"].fenced {
		t.Fatal("fenced by an earlier token")
	}
	b.sendReport(7, 2)
	if j.tasks[0].outcome != outcomeGone {
		t.Fatal("a report of the present token without the task proves it gone")
	}
}

// A report held on its way lists what was, not what is.
func TestOldReportProvesNothing(t *testing.T) {
	b := newTestNode(t)
	b.addJob("job-1", false, placedOnHost1)
	b.sendReport(7, 5, protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning})
	j := b.addJob("job-1", true, placedOnHost1)
	if a := b.sendReport(7, 4); a == nil || len(a.body.(protocol.Orders).Commands) != 0 {
		t.Fatalf("an older report was answered %+v", a)
	}
	if j.tasks[0].outcome != outcomeNone {
		t.Fatal("a running task counts as gone by an older report")
	}
}

// A report of a higher token means that somebody else is entitled: answering
// would at best let the lease run out, at worst command against them.
func TestHigherTokenIsNotAnswered(t *testing.T) {
	b := newTestNode(t)
	if a := b.sendReport(8, 1); a == nil || a.status != 503 {
		t.Fatalf("answered %+v", a)
	}
}

// No start is commanded before its placement is stored.
func TestStartOnlyWhatIsStored(t *testing.T) {
	b := newTestNode(t)
	b.sendReport(7, 1)
	j := b.addJob("job-1", false)
	b.proposePlacements(j, []int{0}, []*machine{b.machines["host-1"]}, time.Now())
	if a := b.sendReport(7, 2); a != nil && len(a.body.(protocol.Orders).Commands) != 0 {
		t.Fatalf("commanded %+v", a.body)
	}
	b.addJob("job-1", false, placedOnHost1)
	a := b.sendReport(7, 3)
	if a == nil || len(a.body.(protocol.Orders).Commands) != 1 || a.body.(protocol.Orders).Commands[0].Op != protocol.OpStart {
		t.Fatalf("a stored placement was answered %+v", a)
	}
}

// Done is stored before the worker is told to forget the task.
func TestForgetOnlyWhatIsStored(t *testing.T) {
	b := newTestNode(t)
	j := b.addJob("job-1", false, placedOnHost1)
	over := protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseDone}
	if a := b.sendReport(7, 1, over); a != nil && len(a.body.(protocol.Orders).Commands) != 0 {
		t.Fatalf("commanded %+v before done is stored", a.body)
	}
	if j.tasks[0].outcome != outcomeFinished {
		t.Fatal("done was not noted")
	}
	b.applyItem(storage.Item{Key: protocol.JobKey("job-1"), Revision: b.revision + 1})
	a := b.sendReport(7, 2, over)
	if a == nil || len(a.body.(protocol.Orders).Commands) != 1 || a.body.(protocol.Orders).Commands[0].Op != protocol.OpForget {
		t.Fatalf("answered %+v, want clear", a)
	}
}

// Where a node of an earlier version lives, which tells at once that a job is cancelled, a
// cancellation could be missed without the store, so leases may be extended only while
// they would still end within cancel_s of the last contact.
func TestLeasesAreNotExtendedForeverWithoutStore(t *testing.T) {
	b := newTestNode(t)
	if now := time.Now(); !b.mayExtendLeases(now.Add(time.Hour)) {
		t.Fatal("leases end in an outage though nobody is told of a cancellation before it is over")
	}
	b.watchPut(protocol.NodeKey("n-2"), map[string]uint64{"lease": 9})
	now := time.Now()
	w := b.cfg.Params.Workers
	if !b.mayExtendLeases(now.Add(time.Duration((w.CancelS - w.LeaseS - 3) * float64(time.Second)))) {
		t.Fatal("leases should survive a short outage")
	}
	over := now.Add(time.Duration((w.CancelS - w.LeaseS) * float64(time.Second)))
	if b.mayExtendLeases(over) {
		t.Fatal("a cancelled task could outlive cancel_s")
	}
	b.RecordContact(over)
	if b.mayExtendLeases(over) {
		t.Fatal("an answered call that tells nothing of what is stored extends leases")
	}
}

// An event that the watch brings late does not bring a job back.
func TestLateEventDoesNotRevive(t *testing.T) {
	b := newTestNode(t)
	b.addJob("job-1", false)
	late := storage.Item{Key: protocol.JobKey("job-1"), Value: mustJSON(b.headRecord(b.jobs["job-1"])), Revision: b.revision}
	b.applyItem(storage.Item{Key: protocol.JobKey("job-1"), Revision: b.revision + 1})
	b.applyItem(late)
	if b.jobs["job-1"] != nil {
		t.Fatal("a final job is back")
	}
}

// A job that becomes final while its poll is on the way to the store has left
// the replica when the answer comes, and is not unknown. (Seen on a simulated
// day: a poll got 404 just after the holder on another node had finished it.)
func TestFinishedWhilePolledIsNotUnknown(t *testing.T) {
	b := newTestNode(t)
	b.addJob("job-1", false)
	b.state.Put(protocol.FinalKey("job-1"), protocol.FinalRecord{Status: protocol.JobDone, Tasks: 1})
	var got []bool
	b.readJobStatus("job-1", func(known bool, s protocol.JobStatus, err error) {
		got = append(got, known && s.Status == protocol.JobDone)
	})
	conditions := &barrierConditions{node: b.Node, inReplica: map[string]bool{}}
	barrier := b.statusReads.NextBarrier(time.Now(), conditions.add)
	if !conditions.inReplica["job-1"] {
		t.Fatal("the replica lacks the job when the store is asked")
	}
	b.applyItem(storage.Item{Key: protocol.JobKey("job-1"), Revision: b.revision + 1})
	b.finishReadBarrier(barrier, conditions.inReplica, true, nil, nil)
	if len(got) != 0 {
		t.Fatal("answered from a replica that has lost the job")
	}
	f := <-b.mailbox // the store's answer
	f()
	if len(got) != 1 || !got[0] {
		t.Fatalf("answered %v, want done", got)
	}
}

// A job's id is used up for ever: submitting it again long after it is over,
// on a node that does not remember it, gives its final state.
func TestFinalIDIsNotTakenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 1, defaultSettings)
		w.state.Put(protocol.FinalKey("job-000001"), protocol.FinalRecord{Status: protocol.JobDone, Tasks: 1})
		time.Sleep(5 * time.Second)
		s := &protocol.JobSpec{ID: "job-000001", Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i"}
		a, err := w.submitAt(ctx, "n-1", s)
		if err != nil || a.status != 200 || a.body.(protocol.JobStatus).Status != protocol.JobDone {
			t.Errorf("answered %+v %v, want 200 done", a, err)
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// Every take-over raises the one counter, in the same transaction.
func TestTakeOverRaisesToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 1, defaultSettings)
		w.state.Put(protocol.TokenCounterKey, protocol.TokenCounterRecord{Token: 41})
		time.Sleep(8 * time.Second)
		synctest.Wait()
		seen := map[uint64]bool{}
		for _, s := range w.nodes["n-0"].partitions {
			if s.owner.Token <= 41 || seen[s.owner.Token] {
				t.Errorf("share %d is held under token %d", s.index, s.owner.Token)
			}
			seen[s.owner.Token] = true
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// A machine that was moved here long after it was rented is not one that never
// booted. (Seen on a simulated day: each moved machine was returned at once.)
func TestMovedMachineIsGivenTime(t *testing.T) {
	b := newTestNode(t)
	host2 := []protocol.MachineRecord{{Name: "host-2", Type: "g4", Zone: "a", Addr: "host-2:9000"}}
	b.watchPut(protocol.BatchKey("r-1-6-1-0"), protocol.BatchRecord{Partition: 1, Machines: host2})
	m := b.machines["host-2"]
	m.trackedSince = time.Now().Add(-time.Hour)
	b.watchPut(protocol.BatchKey("m-0-8"), protocol.BatchRecord{Partition: 0, Token: 8, Machines: host2})
	b.applyItem(storage.Item{Key: protocol.BatchKey("r-1-6-1-0"), Revision: b.revision})
	if b.presumedDead(m, time.Now()) {
		t.Fatal("given up at once")
	}
	if !b.presumedDead(m, time.Now().Add(2*b.silenceTimeout())) {
		b.RecordContact(time.Now().Add(2 * b.silenceTimeout()))
		if !b.presumedDead(m, time.Now().Add(2*b.silenceTimeout())) {
			t.Fatal("a machine that is never heard is kept for ever")
		}
	}
}

// When a zone comes back after a cut, its machines get time to report before
// they count as dead. (Seen on a simulated day: nine working machines were
// given up within two seconds of a partition's end.)
func TestMachinesGetTimeAfterACut(t *testing.T) {
	b := newTestNode(t)
	b.sendReport(7, 1)
	m := b.machines["host-1"]
	now := time.Now().Add(40 * time.Second)
	b.RecordContact(now)
	if !b.presumedDead(m, now) {
		t.Fatal("a machine silent for 40 s without a cut should be given up")
	}
	b.peers["n-1"].zone = "a"
	b.cfg.Zone = "b" // a sibling in the machine's zone has never been heard
	b.detectZoneOutages(now)
	later := now.Add(2 * time.Second)
	b.RecordContact(later)
	if b.presumedDead(m, later) {
		t.Fatal("given up just after the cut")
	}
	if later = now.Add(maxZoneOutage); true {
		b.RecordContact(later)
	}
	if !b.presumedDead(m, later) {
		t.Fatal("kept for ever")
	}
}

// Of a team that borrows one place, one task is stopped for another team's
// guarantee and not more. (Seen on a simulated day: teams were stopped below
// their guarantee, had others stopped in turn, and half of all work was lost.)
func TestLenderKeepsItsGuarantee(t *testing.T) {
	b := newTestNode(t)
	b.sendReport(7, 1)
	b.teams[1].partition = 0 // blue lends to red on the same machines
	for i, id := range []string{"job-1", "job-2", "job-3", "job-4"} {
		spec := &protocol.JobSpec{ID: id, Team: "blue", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", EstimateS: 60}
		b.watchPut(protocol.JobKey(id), protocol.JobRecord{Spec: spec, SubmittedMS: int64(i), NextAttempt: 2, Chunk: protocol.Chunk{Placed: []protocol.Placement{placedOnHost1}}})
	}
	b.teams[1].Guarantee.GPUs = 3
	spec := &protocol.JobSpec{ID: "job-9", Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 3, CPUs: 4, GPUs: 1, Image: "i"}
	b.watchPut(protocol.JobKey("job-9"), protocol.JobRecord{Spec: spec, SubmittedMS: 9, NextAttempt: 1})
	now := time.Now()
	for range 3 {
		b.roomFor(b.jobs["job-9"], 3, now)
	}
	stopped := 0
	for _, id := range []string{"job-1", "job-2", "job-3", "job-4"} {
		if b.jobs[id].tasks[0].stopRequested {
			stopped++
		}
	}
	if stopped != 1 {
		t.Fatalf("%d tasks stopped, want 1", stopped)
	}
}

// Whatever batches come and go, and in whatever order a move's two halves are
// seen, each machine is in the list of its share exactly once.
func TestBatchesAndShareListsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newTestNode(t)
		names := []string{"host-1", "host-2", "host-3", "host-4", "host-5"}
		where := map[string]string{"host-1": "r-0-7-1-0"} // machine to batch
		share := map[string]int{"r-0-7-1-0": 0}
		put := func(key string) {
			rec := protocol.BatchRecord{Partition: share[key]}
			for _, name := range names {
				if where[name] == key {
					rec.Machines = append(rec.Machines, protocol.MachineRecord{Name: name, Type: "g4", Zone: "a"})
				}
			}
			if len(rec.Machines) == 0 {
				b.revision++
				b.applyItem(storage.Item{Key: protocol.BatchKey(key), Revision: b.revision})
				return
			}
			b.watchPut(protocol.BatchKey(key), rec)
		}
		for k := range rapid.IntRange(1, 20).Draw(rt, "steps") {
			name := rapid.SampledFrom(names).Draw(rt, "machine")
			from, to := where[name], ""
			if rapid.IntRange(0, 3).Draw(rt, "gone") > 0 {
				to = fmt.Sprintf("m-%d", k)
				share[to] = rapid.IntRange(0, len(b.partitions)-1).Draw(rt, "share")
			}
			where[name] = to
			keys := []string{to, from}
			if rapid.Bool().Draw(rt, "old first") {
				slices.Reverse(keys)
			}
			for _, key := range keys {
				if key != "" {
					put(key)
				}
			}
			for _, name := range names {
				m := b.machines[name]
				if known := m != nil && m.recorded; known != (where[name] != "") {
					rt.Fatalf("%s in batch %q: known is %v", name, where[name], known)
				}
				for _, s := range b.partitions {
					in := 0
					for _, x := range s.machines {
						if x.name == name {
							in++
						}
					}
					if want := where[name] != "" && share[where[name]] == s.index; in > 1 || (in == 1) != want {
						rt.Fatalf("%s is %d times in share %d, batch %q", name, in, s.index, where[name])
					}
				}
			}
		}
	})
}

// A machine that the cloud lists with an address while it boots is not one that
// was up before. (Seen on a simulated day: 325 machines were given up and rented
// again just as they came up.)
func TestListedAddressIsNoSignOfLife(t *testing.T) {
	b := newTestNode(t)
	now := time.Now()
	b.onMachineList([]protocol.ListedMachine{{ID: "host-1", Addr: "host-1:9000", Type: "g4", Zone: "a", State: "booting"}}, now, now)
	m := b.machines["host-1"]
	m.batch.markDirty(now.Add(-time.Hour))
	b.saveBatches(now)
	if m.batch.storing {
		t.Fatal("the address of a booting machine is being stored")
	}
	b.sendReport(7, 1)
	m.batch.markDirty(now.Add(-time.Hour))
	b.saveBatches(now)
	if !m.batch.storing {
		t.Fatal("the address of a machine that is up is not stored")
	}
}

// A wave of submissions beyond the rate of changes is answered at once, each
// user with a later turn. (Seen on a simulated day: 674 submissions got no
// answer within their 5 s, and were sent again.)
func TestWaveOfSubmissionsIsAnsweredAtOnce(t *testing.T) {
	b := newTestNode(t)
	replies := make([]chan answer, 400)
	for i := range replies {
		replies[i] = make(chan answer, 1)
		b.submitForUser(&storage.Op{Writes: []storage.Write{{Put: "k"}}}, replies[i], func(storage.Result) {})
	}
	turned, last := 0, 0
	for _, r := range replies {
		select {
		case a := <-r:
			if a.status != 503 || a.retryAfterS < max(1, last) || a.retryAfterS > 30 {
				t.Fatalf("answer %+v after one with Retry-After %d", a, last)
			}
			turned, last = turned+1, a.retryAfterS
		default:
		}
	}
	if turned < 350 || last < 10 {
		t.Fatalf("%d turned away, the last for %d s", turned, last)
	}
}

// A machine that falls silent and that the cloud lists no more is given up in
// half the time that silence alone takes; one that is listed, or too young for
// the list's lag, is not.
func TestUnlistedSilentMachineIsGivenUpSoon(t *testing.T) {
	b := newTestNode(t)
	b.sendReport(7, 1)
	m := b.machines["host-1"]
	m.firstSeen = m.firstSeen.Add(-time.Minute)
	now := time.Now().Add(b.overdueTimeout() + time.Second)
	b.RecordContact(now)
	if b.presumedDead(m, now) || !b.reportsOverdue(m, now) {
		t.Fatal("silence this short should be a suspicion only")
	}
	b.onMachineList([]protocol.ListedMachine{{ID: "host-1", State: "running"}}, now, now)
	if b.presumedDead(m, now) {
		t.Fatal("given up though it is listed")
	}
	b.onMachineList(nil, now, now)
	if !b.presumedDead(m, now) {
		t.Fatal("kept though it is silent and not listed")
	}
	m.firstSeen = now
	b.onMachineList(nil, now, now)
	if b.presumedDead(m, now) {
		t.Fatal("given up before a list could show it")
	}
}

// A holder that takes a share over during a cut waits for the machines beyond
// it. (Seen on a simulated day: 120 working machines with 354 tasks were given up
// 13 s after a take-over in a partition.)
func TestMachinesBeyondACutAreKeptAfterATakeOver(t *testing.T) {
	b := newTestNode(t)
	j := b.addJob("job-1", false, placedOnHost1)
	m := b.machines["host-1"]
	now := time.Now().Add(b.silenceTimeout() + 4*time.Second)
	b.RecordContact(now)
	if !b.presumedDead(m, now) {
		t.Fatalf("a machine with %d tasks that was never heard should be given up", j.nPlaced)
	}
	b.peers["n-1"].zone = "a"
	b.cfg.Zone = "b"
	b.detectZoneOutages(now)
	if b.presumedDead(m, now) {
		t.Fatal("given up although its zone is cut off")
	}
}

// Where images are is known beyond the node that learned it, and a sibling's
// word does not replace what this node sees itself.
func TestCachesAreToldToSiblings(t *testing.T) {
	a, b := newTestNode(t), newTestNode(t)
	a.machines["host-1"].images = []protocol.CachedImage{{Name: "i", GB: 4}}
	a.prepareHints(time.Now())
	h, err := protocol.DecodeHint(a.Hint())
	if err != nil {
		t.Fatal(err)
	}
	b.applyCacheHints(h.Caches)
	if b.machines["host-1"].hasImage("i") {
		t.Fatal("a holder believed another about its own machine")
	}
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 4})
	b.applyCacheHints(h.Caches)
	if !b.machines["host-1"].hasImage("i") {
		t.Fatal("what a sibling told is not known")
	}
}

// A service that finds all but one of its places where its image is gets one task
// stopped there, and not as many as it has itself.
func TestRoomIsMadeOnlyForWhatLacksTheImage(t *testing.T) {
	b := newTestNode(t)
	b.watchPut(protocol.BatchKey("r-0-7-2-0"), protocol.BatchRecord{Machines: []protocol.MachineRecord{{Name: "host-2", Type: "g4", Zone: "a"}, {Name: "host-3", Type: "g4", Zone: "a"}}})
	now := time.Now()
	for _, name := range []string{"host-1", "host-2", "host-3"} {
		m := b.machines[name]
		m.fenced, m.lastFencedReport = true, now
		if name != "host-3" {
			m.images = []protocol.CachedImage{{Name: "i", GB: 30}}
		}
	}
	b.cfg.Params.Aims = []protocol.Objective{{Kind: "wait", Class: "s", WithinS: 10, Fraction: 0.9}}
	b.teams[0].Limit = Resources{}
	var placed []protocol.Placement
	for i := range 4 {
		placed = append(placed, protocol.Placement{Task: i, Attempt: 1, Machine: "host-2"})
	}
	low := &protocol.JobSpec{ID: "job-1", Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 4, CPUs: 4, GPUs: 1, Image: "x"}
	b.watchPut(protocol.JobKey("job-1"), protocol.JobRecord{Spec: low, NextAttempt: 2, Chunk: protocol.Chunk{Placed: placed}})
	spec := &protocol.JobSpec{ID: "job-2", Team: "red", Class: "s", Shape: protocol.Service, Priority: "critical", Tasks: 5, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 30}
	b.watchPut(protocol.JobKey("job-2"), protocol.JobRecord{Spec: spec, SubmittedMS: 1, NextAttempt: 1})
	b.policy.StopRentals = true
	b.plan(now)
	stopped := 0
	for i := range 4 {
		if b.jobs["job-1"].tasks[i].stopRequested {
			stopped++
		}
	}
	if stopped != 1 {
		t.Fatalf("%d tasks stopped, want 1", stopped)
	}
}

// A place is free as soon as its task is known to be gone, and is given back
// once, whatever becomes of the record: stored, lost to another holder, or
// replaced by a later attempt on the same machine.
func TestPlaceIsGivenBackOnce(t *testing.T) {
	b := newTestNode(t)
	j := b.addJob("job-1", false, placedOnHost1)
	m, tm := b.machines["host-1"], b.teams[0]
	used := func(want float64) {
		t.Helper()
		if m.used.GPUs != want || tm.Used.GPUs != want {
			t.Fatalf("%v GPUs of the machine and %v of the team in use, want %v", m.used.GPUs, tm.Used.GPUs, want)
		}
	}
	used(1)
	b.recordOutcome(j, 0, outcomeGone)
	used(0)
	if len(m.tasks) != 1 {
		t.Fatal("a machine with a task whose end is not stored counts as empty")
	}
	again := placedOnHost1
	again.Attempt = 2
	b.watchPut(protocol.JobKey("job-1"), protocol.JobRecord{Spec: j.spec, NextAttempt: 3, Chunk: protocol.Chunk{Placed: []protocol.Placement{again}}})
	used(1)
	b.recordOutcome(j, 0, outcomeFinished)
	b.watchPut(protocol.JobKey("job-1"), protocol.JobRecord{Spec: j.spec, NextAttempt: 3, Chunk: protocol.Chunk{Done: [][2]int{{0, 0}}}})
	used(0)
	if len(m.tasks) != 0 {
		t.Fatal("a task that is done is still counted on its machine")
	}
}

// Nobody is stopped in a zone that may take no more tasks of a spread service.
// (Seen on a simulated day: a service that lacked one place in the other zone had
// a task stopped every 8 s for 40 s, the same one three times.)
func TestNoRoomIsMadeInAFullZone(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		b := newTestNode(t)
		b.watchPut(protocol.BatchKey("r-0-7-2-0"), protocol.BatchRecord{Machines: []protocol.MachineRecord{{Name: "host-2", Type: "g4", Zone: zone}}})
		b.teams[0].Limit = Resources{}
		now := time.Now()
		for _, name := range []string{"host-1", "host-2"} {
			m := b.machines[name]
			m.fenced, m.lastFencedReport = true, now
		}
		place := func(id, priority, shape string, tasks int, spread bool, placed ...protocol.Placement) {
			b.watchPut(protocol.JobKey(id), protocol.JobRecord{Spec: &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: shape, Priority: priority,
				Tasks: tasks, CPUs: 4, GPUs: 1, Image: "i", Spread: spread}, NextAttempt: 2, Chunk: protocol.Chunk{Placed: placed}})
		}
		place("job-1", "critical", protocol.Service, 2, true, placedOnHost1)
		var low []protocol.Placement
		for i := range 4 {
			low = append(low, protocol.Placement{Task: i, Attempt: 1, Machine: "host-2"})
		}
		place("job-2", "best_effort", protocol.Array, 4, false, low...)
		made := b.roomFor(b.jobs["job-1"], 1, now)
		if made != (zone == "b") {
			t.Errorf("room made in zone %s beside a task in zone a: %v", zone, made)
		}
	}
}

// A share that comes back brings no proof with it: another holder may have
// started the same attempt again meanwhile.
func TestFactsDoNotOutliveTheHolding(t *testing.T) {
	for _, f := range []taskOutcome{outcomeGone, outcomeFinished} {
		b := newTestNode(t)
		j := b.addJob("job-1", false, placedOnHost1)
		b.recordOutcome(j, 0, f)
		b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
		b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
		if m := b.machines["host-1"]; j.tasks[0].outcome != outcomeNone || m.used.GPUs != 1 || b.teams[0].Used.GPUs != 1 {
			t.Fatalf("fact %v, %v GPUs of the machine and %v of the team in use", j.tasks[0].outcome, m.used.GPUs, b.teams[0].Used.GPUs)
		}
		b.sendReport(9, 1, protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning})
		b.rejectDeferred(b.machines["host-1"])
		if j.tasks[0].outcome != outcomeNone {
			t.Fatal("a running task counts as over")
		}
	}
}

// What an earlier holder recorded may be more than the team's limit: the place of
// a task that was over was given on, and its end not stored. Not all is started.
func TestNoStartAboveTheLimit(t *testing.T) {
	b := newTestNode(t)
	b.teams[0].Limit = Resources{GPUs: 2}
	for _, id := range []string{"job-1", "job-2", "job-3"} {
		b.addJob(id, false, placedOnHost1)
	}
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 8, Lease: 3})
	a := b.sendReport(8, 1)
	if a == nil {
		t.Fatal("no answer")
	}
	if got := len(a.body.(protocol.Orders).Commands); got != 2 || b.teams[0].Used.GPUs != 2 {
		t.Fatalf("%d tasks started, %v GPUs counted, want 2", got, b.teams[0].Used.GPUs)
	}
}

// A node stands in for a holder beyond a cut, and not for one whose host refuses
// connections between controllers: there the workers themselves can go.
func TestNoStandInBehindAFilter(t *testing.T) {
	b := newTestNode(t)
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	if a := b.sendReport(8, 1); a == nil || a.status != 200 {
		t.Fatalf("beyond a cut: %+v", a)
	}
	b.OnConnEvent("n-1", transport.ConnRefused)
	(<-b.mailbox)()
	if a := b.sendReport(8, 2); a == nil || a.status != 421 || a.body.(protocol.Redirect).ReportTo != "n-1" {
		t.Fatalf("behind a filter: %+v", a)
	}
}

// In an outage of the state service the machines of a holder that stands still keep
// their leases by the others, as long as no cancellation could be missed, and get no
// starts. (Seen on a simulated day: 179 workers of a stalled controller lost them.)
func TestLeasesOfAStalledHolderLiveThroughAnOutage(t *testing.T) {
	b := newTestNode(t)
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	b.addJob("job-1", false, placedOnHost1)
	reply := make(chan answer, 1)
	ask := func(after time.Duration, token uint64) answer {
		b.onReport(&protocol.Report{Machine: "host-1", Type: "g4", Zone: "a", Session: 1, Seq: 1, Token: token}, time.Now().Add(after), reply)
		return <-reply
	}
	if a := ask(15*time.Second, 8); a.status != 200 || len(a.body.(protocol.Orders).Commands) != 0 || a.body.(protocol.Orders).Token != 8 {
		t.Fatalf("15 s into an outage: %+v", a)
	}
	if a := ask(15*time.Second, 9); a.status != 503 {
		t.Fatalf("somebody else has commanded it meanwhile: %+v", a)
	}
	w := b.cfg.Params.Workers
	long := time.Duration((w.CancelS - w.LeaseS) * float64(time.Second))
	if a := ask(long, 8); a.status != 200 {
		t.Fatalf("a lease ends though no cancellation can be missed: %+v", a)
	}
	b.watchPut(protocol.NodeKey("n-2"), map[string]uint64{"lease": 9}) // of an earlier version
	if a := ask(long, 8); a.status != 503 {
		t.Fatalf("a cancellation could be missed: %+v", a)
	}
}

// roomFor decides whom to stop for a job, and stops them.
func (b *testNode) roomFor(j *job, r int, now time.Time) bool {
	room := b.view(b.partitions[0], now).Preempt(b.jobFactsWithZones(j, now), r, decide.AnyMachine)
	b.applyPreemption(j, room, false, now)
	return room.HasEvictions()
}

// eligibleTasks is how many of so many waiting tasks of a job may be started.
func (b *testNode) eligibleTasks(j *job, waiting int, now time.Time) int {
	f := *b.jobFacts(j, now)
	f.Waiting = waiting
	return f.EligibleTasks(now)
}

// A sibling's word that a job is cancelled stops its tasks, and proves nothing: nobody is told
// anything for it, nothing is stored, and it ends when all is known that was stored by then.
func TestHintOfACancellationStopsAndProvesNothing(t *testing.T) {
	b := newTestNode(t)
	j := b.addJob("job-1", false, placedOnHost1)
	running := protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning}
	b.sendReport(7, 1, running)
	stops := func(seq uint64) int {
		a := b.sendReport(7, seq, running)
		if a == nil {
			return 0
		}
		return len(a.body.(protocol.Orders).Commands)
	}
	b.applyCancelHints("n-1", []protocol.CancelledJob{{Job: "job-1", Revision: b.completeRevision}, {Job: "job-9", Revision: 99}})
	if stops(2) != 0 {
		t.Fatal("stopped by a hint of what this node has read")
	}
	b.applyCancelHints("n-1", []protocol.CancelledJob{{Job: "job-1", Revision: 50}})
	if stops(3) != 1 {
		t.Fatal("not stopped")
	}
	if j.cancelled || j.status().Status != protocol.JobRunning || b.dirty[j] {
		t.Fatalf("a hint counts as a cancellation: %+v", j.status())
	}
	b.applyWatch(nil, 50)
	if stops(4) != 0 {
		t.Fatal("stopped though the record does not say so")
	}
}

// Where a machine is in doubt, or has not shown the holder's token, nothing is concluded or
// started, but what is cancelled is stopped. (With a direct start unanswered when the state
// service went down, the machine got no orders for as long as that lasted, and its lease
// lived on.)
func TestHaltsInDoubt(t *testing.T) {
	for _, unfenced := range []bool{false, true} {
		b := newTestNode(t)
		j := b.addJob("job-1", true, placedOnHost1)
		token := uint64(7)
		if b.machines["host-1"].unconfirmedStarts = []directStart{{"job-2/0", 1}}; unfenced {
			token = 6
		}
		a := b.sendReport(token, 1, protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning}, protocol.TaskReport{Task: "job-3/0", Attempt: 1, State: protocol.TaskRunning})
		if a == nil || len(a.body.(protocol.Orders).Commands) != 1 || a.body.(protocol.Orders).Commands[0].Op != protocol.OpStop || a.body.(protocol.Orders).Commands[0].Task != "job-1/0" {
			t.Errorf("unfenced %v: %+v", unfenced, a)
		}
		if j.tasks[0].outcome != outcomeNone {
			t.Error("a report in doubt proved something")
		}
	}
}

// The change that records a rental is sent again when it was not answered. The first one,
// executed long after, finds no key of that name if the machines were moved or returned
// meanwhile, and so its condition holds. A machine stays where it was moved to, in whatever
// order the two are read, and the holder mends the record.
func TestLateRentalRecordDoesNotTakeAMovedMachineBack(t *testing.T) {
	rental, moved := protocol.BatchKey("r-0-7-1-0"), protocol.BatchKey("m-1-9")
	rec := protocol.MachineRecord{Name: "host-1", Type: "g4", Zone: "a"}
	b := newTestNode(t)
	b.watchPut(moved, protocol.BatchRecord{Partition: 1, Token: 9, Machines: []protocol.MachineRecord{rec}})
	b.revision++
	b.applyItem(storage.Item{Key: rental, Revision: b.revision})
	b.watchPut(rental, protocol.BatchRecord{Machines: []protocol.MachineRecord{rec}})
	where := func(n *Node, how string) {
		if m := n.machines["host-1"]; m == nil || !m.recorded || m.rec.Partition != 1 || n.fencingToken(m) != 9 {
			t.Errorf("%s: %+v", how, m)
		}
	}
	where(b.Node, "executed late")
	if b.batches[rental].dirtySince.IsZero() {
		t.Error("the record is not mended")
	}
	w := b.batches[rental].writeKeeping(func(r *protocol.MachineRecord) bool { return b.machines[r.Name].batch == b.batches[rental] })
	if w.Delete != rental {
		t.Errorf("mended by %+v", w)
	}
	for _, order := range [][]string{{rental, moved}, {moved, rental}} {
		fresh := newTestNode(t)
		fresh.revision = 20
		for _, key := range order {
			r := protocol.BatchRecord{Machines: []protocol.MachineRecord{rec}}
			if key == moved {
				r.Partition, r.Token = 1, 9
			}
			fresh.watchPut(key, r)
		}
		where(fresh.Node, "read in the order "+order[0])
	}
}
