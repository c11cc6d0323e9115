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

// testNode is a node whose actor is not running: the test runs the actor's functions itself.
type testNode struct {
	*Node
	t        testing.TB
	state    *standin.State
	revision uint64
}

// newTestNode returns a node that owns partition 0 under token 7, with one machine, host-1, and no
// jobs.
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
	b.watchPut(protocol.TokenCounterKey, protocol.TokenCounterRecord{Token: 7 + reservedTokens})
	b.watchPut(protocol.BatchKey("r-0-7-1-0"), protocol.BatchRecord{Machines: []protocol.MachineRecord{{Name: "host-1", Type: "g4", Zone: "a"}}})
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 7, Lease: 3, ReservedTokens: reservedTokens})
	return b
}

// watchPut applies a value as a watch event.
func (b *testNode) watchPut(key string, v any) {
	b.revision++
	b.applyWatch([]storage.Item{{Key: key, Value: mustJSON(v), Revision: b.revision}}, b.revision)
}

// addJob stores a job of one task and of the partition's team, with the given placements.
func (b *testNode) addJob(id string, cancelled bool, placed ...protocol.Placement) *job {
	spec := &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1}
	b.watchPut(protocol.JobKey(id), protocol.JobRecord{Spec: spec, NextAttempt: 2, Cancelled: cancelled, Chunk: protocol.Chunk{Placed: placed}})
	return b.jobs[id]
}

// sendReport sends a worker's report and returns the answer, or nil if it is deferred.
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

// A report under an earlier token must prove nothing: a start by an earlier owner may still be on its
// way.
func TestUnfencedReportProvesNothing(t *testing.T) {
	b := newTestNode(t)
	j := b.addJob("job-1", true, placedOnHost1)
	a := b.sendReport(6, 1)
	if a == nil || a.status != 200 || a.body.(protocol.Orders).Token != 7 || len(a.body.(protocol.Orders).Commands) != 0 {
		t.Fatalf("answer %+v, want the token and no commands", a)
	}
	if j.tasks[0].outcome != outcomeNone {
		t.Fatal("a report with an earlier token proved a task gone")
	}
	if b.machines["host-1"].fenced {
		t.Fatal("fenced by an earlier token")
	}
	b.sendReport(7, 2)
	if j.tasks[0].outcome != outcomeGone {
		t.Fatal("a report with the current token that lacks the task did not prove it gone")
	}
}

// A delayed report shows a past state and must prove nothing about the present one.
func TestDelayedReportProvesNothing(t *testing.T) {
	b := newTestNode(t)
	b.addJob("job-1", false, placedOnHost1)
	b.sendReport(7, 5, protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning})
	j := b.addJob("job-1", true, placedOnHost1)
	if a := b.sendReport(7, 4); a == nil || len(a.body.(protocol.Orders).Commands) != 0 {
		t.Fatalf("an older report was answered %+v", a)
	}
	if j.tasks[0].outcome != outcomeNone {
		t.Fatal("an older report proved a running task gone")
	}
}

// A report with a higher token means that another node owns the machine. An answer would at best let
// the lease expire, and at worst contradict the owner's commands.
func TestHigherTokenIsNotAnswered(t *testing.T) {
	b := newTestNode(t)
	if a := b.sendReport(8, 1); a == nil || a.status != 503 {
		t.Fatalf("answered %+v", a)
	}
}

// A start must not be sent before its placement is stored.
func TestOnlyStoredPlacementsAreStarted(t *testing.T) {
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

// A task's completion must be stored before the worker is told to forget the task.
func TestOnlyStoredOutcomesAreForgotten(t *testing.T) {
	b := newTestNode(t)
	j := b.addJob("job-1", false, placedOnHost1)
	over := protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseDone}
	if a := b.sendReport(7, 1, over); a != nil && len(a.body.(protocol.Orders).Commands) != 0 {
		t.Fatalf("commanded %+v before done is stored", a.body)
	}
	if j.tasks[0].outcome != outcomeFinished {
		t.Fatal("the completion was not recorded")
	}
	b.applyItem(storage.Item{Key: protocol.JobKey("job-1"), Revision: b.revision + 1})
	a := b.sendReport(7, 2, over)
	if a == nil || len(a.body.(protocol.Orders).Commands) != 1 || a.body.(protocol.Orders).Commands[0].Op != protocol.OpForget {
		t.Fatalf("answered %+v, want the task to be forgotten", a)
	}
}

// A node of an earlier version confirms a cancellation to the user at once. While such a node is live,
// this node could miss a cancellation if the state service is down, so it may extend leases only as
// long as they still end within cancel_s of its last contact.
func TestLeasesAreNotExtendedForeverWithoutStore(t *testing.T) {
	b := newTestNode(t)
	if now := time.Now(); !b.mayExtendLeases(now.Add(time.Hour)) {
		t.Fatal("leases end in an outage although cancellations are confirmed only after the tasks have ended")
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
		t.Fatal("a call whose answer does not show what is stored extends leases")
	}
}

// A late watch event must not bring an ended job back.
func TestLateWatchEventDoesNotRestoreEndedJob(t *testing.T) {
	b := newTestNode(t)
	b.addJob("job-1", false)
	late := storage.Item{Key: protocol.JobKey("job-1"), Value: mustJSON(b.headRecord(b.jobs["job-1"])), Revision: b.revision}
	b.applyItem(storage.Item{Key: protocol.JobKey("job-1"), Revision: b.revision + 1})
	b.applyItem(late)
	if b.jobs["job-1"] != nil {
		t.Fatal("an ended job is open again")
	}
}

// A job that ends while its status read is on the way to the state service has left the replica when
// the answer arrives. It must not be reported as unknown: a poll got 404 just after the owner on
// another node had finished the job.
func TestJobEndingDuringStatusReadIsNotUnknown(t *testing.T) {
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
		t.Fatal("answered from a replica that no longer has the job")
	}
	f := <-b.mailbox // the state service's answer
	f()
	if len(got) != 1 || !got[0] {
		t.Fatalf("answered %v, want done", got)
	}
}

// The id of an ended job must never be accepted again. A submission of it long after the end, at a
// node that does not remember it, returns the final state.
func TestFinalIDIsNotReused(t *testing.T) {
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

// Every takeover must raise the one token counter in the same transaction.
func TestTakeoverRaisesToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 1, defaultSettings)
		w.state.Put(protocol.TokenCounterKey, protocol.TokenCounterRecord{Token: 41})
		time.Sleep(8 * time.Second)
		synctest.Wait()
		seen := map[uint64]bool{}
		for _, p := range w.nodes["n-0"].partitions {
			if p.owner.Token <= 41 || seen[p.owner.Token] {
				t.Errorf("partition %d is owned under token %d", p.index, p.owner.Token)
			}
			seen[p.owner.Token] = true
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// A machine that is moved to this partition long after it was rented must get time to report. Before,
// each moved machine counted as one that never booted and was returned at once.
func TestMovedMachineGetsTimeToReport(t *testing.T) {
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
			t.Fatal("a machine that never reports is kept for ever")
		}
	}
}

// When a zone becomes reachable again, its machines must get time to report before they count as
// dead. Before, nine working machines were given up within two seconds of the end of a network outage.
func TestMachinesGetTimeAfterZoneOutage(t *testing.T) {
	b := newTestNode(t)
	b.sendReport(7, 1)
	m := b.machines["host-1"]
	now := time.Now().Add(40 * time.Second)
	b.RecordContact(now)
	if !b.presumedDead(m, now) {
		t.Fatal("a machine of a reachable zone that is silent for 40 s should be given up")
	}
	b.peers["n-1"].zone = "a"
	b.cfg.Zone = "b" // no hint has come from a peer in the machine's zone
	b.detectZoneOutages(now)
	later := now.Add(2 * time.Second)
	b.RecordContact(later)
	if b.presumedDead(m, later) {
		t.Fatal("given up just after the zone was unreachable")
	}
	if later = now.Add(maxZoneOutage); true {
		b.RecordContact(later)
	}
	if !b.presumedDead(m, later) {
		t.Fatal("kept for ever")
	}
}

// If a team borrows one slot beyond its guarantee, only one of its tasks may be evicted for another
// team's guarantee. Before, teams were pushed below their guarantee and evicted others in turn, and
// half of all work was lost.
func TestPreemptionKeepsGuaranteeOfBorrowingTeam(t *testing.T) {
	b := newTestNode(t)
	b.sendReport(7, 1)
	b.teams[1].partition = 0 // blue shares the machines of red's partition
	for i, id := range []string{"job-1", "job-2", "job-3", "job-4"} {
		spec := &protocol.JobSpec{ID: id, Team: "blue", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", EstimateS: 60}
		b.watchPut(protocol.JobKey(id), protocol.JobRecord{Spec: spec, SubmittedMS: int64(i), NextAttempt: 2, Chunk: protocol.Chunk{Placed: []protocol.Placement{placedOnHost1}}})
	}
	b.teams[1].Guarantee.GPUs = 3
	spec := &protocol.JobSpec{ID: "job-9", Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 3, CPUs: 4, GPUs: 1, Image: "i"}
	b.watchPut(protocol.JobKey("job-9"), protocol.JobRecord{Spec: spec, SubmittedMS: 9, NextAttempt: 1})
	now := time.Now()
	for range 3 {
		b.preemptFor(b.jobs["job-9"], 3, now)
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

// Whatever batches are added and removed, and in whatever order the two halves of a move are seen,
// each machine must be exactly once in the list of its partition.
func TestBatchesAndPartitionListsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newTestNode(t)
		names := []string{"host-1", "host-2", "host-3", "host-4", "host-5"}
		where := map[string]string{"host-1": "r-0-7-1-0"} // batch by machine
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
				for _, p := range b.partitions {
					in := 0
					for _, x := range p.machines {
						if x.name == name {
							in++
						}
					}
					if want := where[name] != "" && share[where[name]] == p.index; in > 1 || (in == 1) != want {
						rt.Fatalf("%s is %d times in partition %d, batch %q", name, in, p.index, where[name])
					}
				}
			}
		}
	})
}

// The cloud may list the address of a machine that is still booting. That must not count as proof that
// the machine was up. Before, 325 machines were given up and rented again just as they came up.
func TestListedAddressDoesNotProveBoot(t *testing.T) {
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

// If more submissions arrive than the rate of changes allows, the rest must be rejected at once, each
// user with a later retry time. Before, 674 submissions got no answer within their 5 s and were sent
// again.
func TestSubmissionBurstIsRejectedAtOnce(t *testing.T) {
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
		t.Fatalf("%d rejected, the last for %d s", turned, last)
	}
}

// A silent machine that the cloud no longer lists must be given up in half the time that silence alone
// takes. One that is listed, or too new to appear in the list, must be kept.
func TestUnlistedSilentMachineIsGivenUpSoon(t *testing.T) {
	b := newTestNode(t)
	b.sendReport(7, 1)
	m := b.machines["host-1"]
	m.firstSeen = m.firstSeen.Add(-time.Minute)
	now := time.Now().Add(b.overdueTimeout() + time.Second)
	b.RecordContact(now)
	if b.presumedDead(m, now) || !b.reportsOverdue(m, now) {
		t.Fatal("a silence this short should make the machine suspect, not dead")
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

// An owner that takes a partition over while a zone is unreachable must wait for that zone's machines.
// Before, 120 working machines with 354 tasks were given up 13 s after such a takeover.
func TestUnreachableMachinesAreKeptAfterTakeover(t *testing.T) {
	b := newTestNode(t)
	j := b.addJob("job-1", false, placedOnHost1)
	m := b.machines["host-1"]
	now := time.Now().Add(b.silenceTimeout() + 4*time.Second)
	b.RecordContact(now)
	if !b.presumedDead(m, now) {
		t.Fatalf("a machine with %d tasks that never reported should be given up", j.nPlaced)
	}
	b.peers["n-1"].zone = "a"
	b.cfg.Zone = "b"
	b.detectZoneOutages(now)
	if b.presumedDead(m, now) {
		t.Fatal("given up although its zone is unreachable")
	}
}

// Hints must make a node's knowledge of image caches known to its peers, but a peer's hint must not
// replace what the owner of a machine knows itself.
func TestHintsShareCachesWithPeers(t *testing.T) {
	a, b := newTestNode(t), newTestNode(t)
	a.machines["host-1"].images = []protocol.CachedImage{{Name: "i", GB: 4}}
	a.prepareHints(time.Now())
	h, err := protocol.DecodeHint(a.Hint())
	if err != nil {
		t.Fatal(err)
	}
	b.applyCacheHints(h.Caches)
	if b.machines["host-1"].hasImage("i") {
		t.Fatal("an owner believed a peer about its own machine")
	}
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 4})
	b.applyCacheHints(h.Caches)
	if !b.machines["host-1"].hasImage("i") {
		t.Fatal("the peer's hint was not applied")
	}
}

// If a service finds all but one of its slots on machines that cache its image, only one task may be
// evicted there, and not as many as the service has tasks.
func TestPreemptionOnlyForTasksWithoutCachedImage(t *testing.T) {
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
	b.cfg.Params.Aims = []protocol.Objective{{Kind: "wait", Class: "s", WithinS: 10, Share: 0.9}}
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

// Resources must be freed as soon as a task is known to be gone, and only once, whether its outcome is
// stored, lost to another owner, or followed by a later attempt on the same machine.
func TestCapacityIsFreedOnce(t *testing.T) {
	b := newTestNode(t)
	j := b.addJob("job-1", false, placedOnHost1)
	m, tm := b.machines["host-1"], b.teams[0]
	checkUsed := func(want float64) {
		t.Helper()
		if m.used.GPUs != want || tm.Used.GPUs != want {
			t.Fatalf("%v GPUs of the machine and %v of the team in use, want %v", m.used.GPUs, tm.Used.GPUs, want)
		}
	}
	checkUsed(1)
	b.recordOutcome(j, 0, outcomeGone)
	checkUsed(0)
	if len(m.tasks) != 1 {
		t.Fatal("a machine with a task whose end is not stored counts as empty")
	}
	again := placedOnHost1
	again.Attempt = 2
	b.watchPut(protocol.JobKey("job-1"), protocol.JobRecord{Spec: j.spec, NextAttempt: 3, Chunk: protocol.Chunk{Placed: []protocol.Placement{again}}})
	checkUsed(1)
	b.recordOutcome(j, 0, outcomeFinished)
	b.watchPut(protocol.JobKey("job-1"), protocol.JobRecord{Spec: j.spec, NextAttempt: 3, Chunk: protocol.Chunk{Done: [][2]int{{0, 0}}}})
	checkUsed(0)
	if len(m.tasks) != 0 {
		t.Fatal("a task that is done is still counted on its machine")
	}
}

// No task may be evicted in a zone that can take no more tasks of a spread service. Before, a service
// that lacked one slot in the other zone had a task evicted every 8 s for 40 s, the same one three
// times.
func TestNoPreemptionInFullZone(t *testing.T) {
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
		made := b.preemptFor(b.jobs["job-1"], 1, now)
		if made != (zone == "b") {
			t.Errorf("preemption in zone %s beside a task in zone a: %v", zone, made)
		}
	}
}

// A node that becomes the owner of a partition again must not use the outcomes of its earlier
// ownership: another owner may have started the same attempt again in between.
func TestOutcomesEndWithOwnership(t *testing.T) {
	for _, f := range []taskOutcome{outcomeGone, outcomeFinished} {
		b := newTestNode(t)
		j := b.addJob("job-1", false, placedOnHost1)
		b.recordOutcome(j, 0, f)
		b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
		b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
		if m := b.machines["host-1"]; j.tasks[0].outcome != outcomeNone || m.used.GPUs != 1 || b.teams[0].Used.GPUs != 1 {
			t.Fatalf("outcome %v, %v GPUs of the machine and %v of the team in use", j.tasks[0].outcome, m.used.GPUs, b.teams[0].Used.GPUs)
		}
		b.sendReport(9, 1, protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning})
		b.rejectDeferred(b.machines["host-1"])
		if j.tasks[0].outcome != outcomeNone {
			t.Fatal("a running task counts as ended")
		}
	}
}

// An earlier owner may have recorded more than the team's limit, if it reused the capacity of a task
// whose end it had not stored. Not all of these tasks may be started.
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

// A node must answer reports in place of an owner that is cut off, but not of one whose host refuses
// connections between controllers: then the workers themselves can reach the owner.
func TestNoAnswerForOwnerBehindPacketFilter(t *testing.T) {
	b := newTestNode(t)
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	if a := b.sendReport(8, 1); a == nil || a.status != 200 {
		t.Fatalf("owner cut off: %+v", a)
	}
	b.OnConnEvent("n-1", transport.ConnRefused)
	(<-b.mailbox)()
	if a := b.sendReport(8, 2); a == nil || a.status != 421 || a.body.(protocol.Redirect).ReportTo != "n-1" {
		t.Fatalf("owner behind a packet filter: %+v", a)
	}
}

// During an outage of the state service, the other nodes must extend the leases of machines whose
// owner has stalled, as long as no cancellation can be missed, but must send no starts. Before, 179
// workers of a stalled controller lost their leases.
func TestLeasesOfStalledOwnerSurviveOutage(t *testing.T) {
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
		t.Fatalf("another owner has commanded the machine: %+v", a)
	}
	w := b.cfg.Params.Workers
	long := time.Duration((w.CancelS - w.LeaseS) * float64(time.Second))
	if a := ask(long, 8); a.status != 200 {
		t.Fatalf("a lease ends although no cancellation can be missed: %+v", a)
	}
	b.watchPut(protocol.NodeKey("n-2"), map[string]uint64{"lease": 9}) // of an earlier version
	if a := ask(long, 8); a.status != 503 {
		t.Fatalf("a cancellation could be missed: %+v", a)
	}
}

// preemptFor decides which tasks to evict for a job and stops them.
func (b *testNode) preemptFor(j *job, r int, now time.Time) bool {
	room := b.view(b.partitions[0], now).Preempt(b.jobFactsWithZones(j, now), r, decide.AnyMachine)
	b.applyPreemption(j, room, false, now)
	return room.HasEvictions()
}

// eligibleTasks returns how many of a job's waiting tasks may be started.
func (b *testNode) eligibleTasks(j *job, waiting int, now time.Time) int {
	f := *b.jobFacts(j, now)
	f.Waiting = waiting
	return f.EligibleTasks(now)
}

// A peer's hint that a job is cancelled must stop its tasks but prove nothing: no user is answered and
// nothing is stored because of it. It ends once the replica is complete up to the hint's revision.
func TestCancelHintStopsTasksAndProvesNothing(t *testing.T) {
	b := newTestNode(t)
	j := b.addJob("job-1", false, placedOnHost1)
	running := protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning}
	b.sendReport(7, 1, running)
	stopsIn := func(seq uint64) int {
		a := b.sendReport(7, seq, running)
		if a == nil {
			return 0
		}
		return len(a.body.(protocol.Orders).Commands)
	}
	b.applyCancelHints("n-1", []protocol.CancelledJob{{Job: "job-1", Revision: b.completeRevision}, {Job: "job-9", Revision: 99}})
	if stopsIn(2) != 0 {
		t.Fatal("stopped by a hint about a revision that this node has read")
	}
	b.applyCancelHints("n-1", []protocol.CancelledJob{{Job: "job-1", Revision: 50}})
	if stopsIn(3) != 1 {
		t.Fatal("not stopped")
	}
	if j.cancelled || j.status().Status != protocol.JobRunning || b.dirty[j] {
		t.Fatalf("a hint counts as a cancellation: %+v", j.status())
	}
	b.applyWatch(nil, 50)
	if stopsIn(4) != 0 {
		t.Fatal("stopped although the record is not cancelled")
	}
}

// On a machine with unconfirmed starts, or one that has not shown the owner's token, nothing may be
// concluded or started, but cancelled tasks must be stopped. Before, a machine whose direct start was
// unanswered when the state service went down got no orders until it was back, while its lease was
// extended.
func TestCancelledTasksAreStoppedWhileStartsAreUnconfirmed(t *testing.T) {
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
			t.Error("a report of a machine with unconfirmed starts proved something")
		}
	}
}

// The change that records a rental is sent again if it got no answer. The first attempt may be
// executed long after. If the machines were moved or returned in between, its key does not exist, so
// its condition holds. A moved machine must stay in its new partition, in whatever order the two
// records are read, and the owner must correct the old record.
func TestLateRentalRecordKeepsMovedMachine(t *testing.T) {
	rental, moved := protocol.BatchKey("r-0-7-1-0"), protocol.BatchKey("m-1-9")
	rec := protocol.MachineRecord{Name: "host-1", Type: "g4", Zone: "a"}
	b := newTestNode(t)
	b.watchPut(moved, protocol.BatchRecord{Partition: 1, Token: 9, Machines: []protocol.MachineRecord{rec}})
	b.revision++
	b.applyItem(storage.Item{Key: rental, Revision: b.revision})
	b.watchPut(rental, protocol.BatchRecord{Machines: []protocol.MachineRecord{rec}})
	checkMoved := func(n *Node, how string) {
		if m := n.machines["host-1"]; m == nil || !m.recorded || m.rec.Partition != 1 || n.fencingToken(m) != 9 {
			t.Errorf("%s: %+v", how, m)
		}
	}
	checkMoved(b.Node, "executed late")
	if b.batches[rental].dirtySince.IsZero() {
		t.Error("the record is not corrected")
	}
	w := b.batches[rental].writeKeeping(func(r *protocol.MachineRecord) bool { return b.machines[r.Name].batch == b.batches[rental] })
	if w.Delete != rental {
		t.Errorf("corrected by %+v", w)
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
		checkMoved(fresh.Node, "read in the order "+order[0])
	}
}
