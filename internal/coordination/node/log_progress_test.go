package node

import (
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// flushes lets a share store what is new so many times.
func (b *testNode) flushes(s *partition, times int) {
	b.t.Helper()
	go b.urgentCommitter.Run(b.t.Context())
	go b.backgroundCommitter.Run(b.t.Context())
	for range times {
		b.flush(time.Now())
		b.awaitStored(s)
	}
}

// fragmented makes a job of 200 tasks that the oldest entry of the share's log placed in one
// range, every other one of which a later entry tells to be done: what is left of the range is
// too much to be said again in one entry.
func (b *testNode) fragmented(id string) *job {
	b.cfg.Params.State.ValueKB = 1
	spec := &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 200, CPUs: 0.1, Image: "i"}
	b.storePut(protocol.JobKey(id), protocol.JobRecord{Spec: spec, NextAttempt: 2})
	var done [][2]int
	for i := 1; i < spec.Tasks; i += 2 {
		done = append(done, [2]int{i, i})
	}
	b.storePut(protocol.LogKey(0, 1), protocol.Entry{Version: protocol.EntryVersion, Seq: 1, Machines: []string{"host-1"},
		Parts: []protocol.Part{{Job: id, NextAttempt: 2, Placed: []protocol.PlacedRange{{0, uint64(spec.Tasks - 1), 1, 0}}}}})
	b.storePut(protocol.LogKey(0, 0), protocol.Entry{Version: protocol.EntryVersion, Seq: 4, Parts: []protocol.Part{{Job: id, NextAttempt: 2, Done: done}}})
	return b.jobs[id]
}

// A job is over, and what the oldest entry says of it does not fit the next one: its end is
// stored all the same, and so is what comes after it. (On a simulated day a share's log stood
// still for six minutes: eleven jobs were over, none could be stored in a record of its own for
// being over, and without them no entry could be written.)
func TestJobThatIsOverDoesNotBlockTheLog(t *testing.T) {
	b, _ := newTestNodeWithLog(t)
	over := b.fragmented("job-9")
	for i := range over.tasks {
		b.recordOutcome(over, i, outcomeFinished)
	}
	if over.remainingTasks() != 0 {
		t.Fatalf("%d tasks are left", over.remainingTasks())
	}
	later := b.addProposedArray("job-2")
	b.flushes(b.partitions[0], 8)
	if b.jobs["job-9"] != nil {
		t.Error("its end is not stored")
	}
	if later.tasks[0].phase != phasePlaced {
		t.Error("nothing else is stored")
	}
	if f := newNodeFromStore(t, b.cfg, b.state); f.jobs["job-9"] != nil {
		t.Error("a node that starts reads that it goes on")
	}
}

// What is new of a job does not fit beside what is said again: it is stored in its own record,
// and others are not held up.
func TestJobTooLargeForAnEntryDoesNotBlockTheLog(t *testing.T) {
	b, _ := newTestNodeWithLog(t)
	b.cfg.Params.State.ValueKB = 1
	spec := &protocol.JobSpec{ID: "job-9", Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 200, CPUs: 0.1, Image: "i"}
	b.storePut(protocol.JobKey(spec.ID), protocol.JobRecord{Spec: spec, NextAttempt: 2})
	large := b.jobs[spec.ID]
	var tasks []int
	var to []*machine
	for i := 0; i < spec.Tasks; i += 2 {
		tasks, to = append(tasks, i), append(to, b.machines["host-1"])
	}
	b.proposePlacements(large, tasks, to, time.Now())
	later := b.addProposedArray("job-2")
	b.flushes(b.partitions[0], 8)
	if large.tasks[0].phase != phasePlaced || later.tasks[0].phase != phasePlaced {
		t.Errorf("stored: the large job %v, the other %v", large.tasks[0].phase == phasePlaced, later.tasks[0].phase == phasePlaced)
	}
}
