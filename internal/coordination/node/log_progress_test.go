package node

import (
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// flushTimes flushes a partition's changes a number of times and waits for each to be stored.
func (b *testNode) flushTimes(p *partition, times int) {
	b.t.Helper()
	go b.urgentCommitter.Run(b.t.Context())
	go b.backgroundCommitter.Run(b.t.Context())
	for range times {
		b.flush(time.Now())
		b.awaitStored(p)
	}
}

// addFragmentedJob adds a job of 200 tasks. The oldest entry of the partition's log placed them in one
// range, and a later entry marks every other task as done. What is left of the range is too large to
// be carried over in one entry.
func (b *testNode) addFragmentedJob(id string) *job {
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

// A job has ended, and what the oldest entry contains of it does not fit into the next entry. Its end
// and all later changes must still be stored. A partition's log once stalled for six minutes this
// way: eleven jobs had ended, none was compacted into a record of its own because it had ended, and
// so no further entry could be written.
func TestEndedJobDoesNotBlockTheLog(t *testing.T) {
	b, _ := newTestNodeWithLog(t)
	over := b.addFragmentedJob("job-9")
	for i := range over.tasks {
		b.recordOutcome(over, i, outcomeFinished)
	}
	if over.remainingTasks() != 0 {
		t.Fatalf("%d tasks are left", over.remainingTasks())
	}
	later := b.addProposedArray("job-2")
	b.flushTimes(b.partitions[0], 8)
	if b.jobs["job-9"] != nil {
		t.Error("the end of the job is not stored")
	}
	if later.tasks[0].phase != phasePlaced {
		t.Error("the placement of the other job is not stored")
	}
	if f := newNodeFromStore(t, b.cfg, b.state); f.jobs["job-9"] != nil {
		t.Error("a node that starts still reads the job as open")
	}
}

// The changes of a job that do not fit beside what an entry carries over must be stored in the job's
// own record, and must not delay other jobs.
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
	b.flushTimes(b.partitions[0], 8)
	if large.tasks[0].phase != phasePlaced || later.tasks[0].phase != phasePlaced {
		t.Errorf("stored: the large job %v, the other %v", large.tasks[0].phase == phasePlaced, later.tasks[0].phase == phasePlaced)
	}
}
