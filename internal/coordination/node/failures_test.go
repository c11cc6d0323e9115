package node

import (
	"fmt"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// storeArray stores an array of the partition's team with one task placed on each of the given
// machines.
func (b *testNode) storeArray(id string, tasks int, on ...string) *job {
	spec := &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: tasks, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1}
	var placed []protocol.Placement
	for i, m := range on {
		placed = append(placed, protocol.Placement{Task: i, Attempt: 1, Machine: m})
	}
	b.watchPut(protocol.JobKey(id), protocol.JobRecord{Spec: spec, NextAttempt: 2, Chunk: protocol.Chunk{Placed: placed}})
	return b.jobs[id]
}

// failTask makes a task of a job end with an error on its machine.
func (b *testNode) failTask(j *job, i int, now time.Time) {
	t := &j.tasks[i]
	b.observeTask(t.machine, j, i, &protocol.TaskReport{Task: protocol.TaskID(j.id, i), Attempt: t.attempt, State: protocol.TaskExited, Cause: protocol.CauseError}, now)
}

// All tasks of a defective job were retried again and again. The job kept every empty machine of its
// partition from being returned and made healthy machines count as faulty. (In simulations: 1,117
// tasks of 17 jobs; half of 1,550 machines were empty.)
func TestDefectiveJobIsRetriedWithBackoff(t *testing.T) {
	b := newTestNode(t)
	b.addRunningMachines(4)
	now := time.Now()
	j := b.storeArray("job-1", 8, "host-100", "host-101", "host-102")
	b.failTask(j, 0, now)
	if j.failures.failsEverywhere || b.eligibleTasks(j, 5, now) != 5 || len(b.machines["host-100"].faults.failedJobs) != 1 || b.hasWaitingTasks(0, now) != true {
		t.Fatalf("after an error on one machine: %+v", j.failures)
	}
	b.failTask(j, 1, now)
	b.failTask(j, 2, now)
	if !j.failures.failsEverywhere {
		t.Fatal("a job that failed on three machines is not taken to be defective")
	}
	for _, m := range b.partitions[0].machines {
		if !m.faults.firstFailure.IsZero() || now.Before(m.avoidUntil) {
			t.Fatalf("%s is blamed for a defective job", m.name)
		}
	}
	if b.hasWaitingTasks(0, now) || b.preemptionDemand(j, now) != 0 {
		t.Fatal("the partition waits for machines for a job that fails everywhere")
	}
	if b.eligibleTasks(j, 5, now) != 0 {
		t.Fatal("the job is retried without a pause")
	}
	// One task is tried at a time, with increasing pauses.
	pause := time.Duration(0)
	for k := range 8 {
		next := j.notBefore.Sub(now)
		if next < pause || next > maxRetryPause {
			t.Fatalf("try %d after %v, the previous one after %v", k, next, pause)
		}
		pause, now = next, j.notBefore
		b.watchPut(protocol.JobKey("job-1"), protocol.JobRecord{Spec: j.spec, NextAttempt: j.nextAttempt})
		if got := b.eligibleTasks(j, 8, now); got != 1 {
			t.Fatalf("%d tasks tried at once", got)
		}
		b.proposePlacements(j, []int{0}, []*machine{b.machines["host-103"]}, now)
		if got := b.eligibleTasks(j, 7, now); got != 0 {
			t.Fatalf("%d more tasks are tried at the same time as another one", got)
		}
		b.watchPut(protocol.JobKey("job-1"), protocol.JobRecord{Spec: j.spec, NextAttempt: j.nextAttempt, Chunk: protocol.Chunk{Placed: []protocol.Placement{{Task: 0, Attempt: j.nextAttempt - 1, Machine: "host-103"}}}})
		b.failTask(j, 0, now)
	}
	if pause != maxRetryPause {
		t.Fatalf("the pause after eight tries is %v", pause)
	}
	if got := b.headRecord(j).Tries; got != 9 {
		t.Fatalf("%d tries are recorded", got)
	}
	// One task succeeds: the job is not defective.
	b.watchPut(protocol.JobKey("job-1"), protocol.JobRecord{Spec: j.spec, NextAttempt: 30, Chunk: protocol.Chunk{Placed: []protocol.Placement{{Task: 0, Attempt: 29, Machine: "host-103"}}}})
	run := &protocol.TaskReport{Task: "job-1/0", Attempt: 29, State: protocol.TaskRunning}
	b.observeTask(b.machines["host-103"], j, 0, run, now)
	b.observeTask(b.machines["host-103"], j, 0, run, now.Add(minGoodRun))
	if j.failures.failsEverywhere || b.eligibleTasks(j, 7, now) != 7 {
		t.Fatalf("a job whose task runs well: %+v", j.failures)
	}
}

// A machine on which one job after the other fails is faulty, and the jobs are not defective.
func TestFaultyMachineIsDistinguishedFromDefectiveJobs(t *testing.T) {
	b := newTestNode(t)
	now := time.Now()
	m := b.machines["host-1"]
	for i := range 3 {
		if b.faulty(m) {
			t.Fatalf("faulty after %d jobs", i)
		}
		j := b.addJob(fmt.Sprint("job-", i), false, placedOnHost1)
		b.failTask(j, 0, now)
		if j.failures.failsEverywhere || b.eligibleTasks(j, 1, now) != 1 {
			t.Fatalf("%s is taken to be defective after an error on one machine", j.id)
		}
	}
	if !b.faulty(m) {
		t.Fatal("a machine on which three jobs failed is not taken to be faulty")
	}
}

// A machine that fails only what it starts is faulty after three failed tasks of a job that succeeds
// elsewhere, although its older tasks go on; a task that started later and runs there clears it.
// Jobs that fail there are not taken to be defective. If a job that seemed defective succeeds, its
// earlier failures count against the machines again. (In simulations such machines failed up to 167
// tasks, and five jobs were taken to be defective.)
func TestMachineThatFailsWhatItStarts(t *testing.T) {
	b := newTestNode(t)
	b.addRunningMachines(4)
	now := time.Now().Add(time.Minute) // after the placements
	runs := func(j *job, i int, at time.Time) {
		task := &j.tasks[i]
		b.observeTask(task.machine, j, i, &protocol.TaskReport{Task: protocol.TaskID(j.id, i), Attempt: task.attempt, State: protocol.TaskRunning}, at)
	}
	oldJob := b.storeArray("job-1", 4, "host-100")
	healthyJob := b.storeArray("job-2", 8, "host-101", "host-100", "host-100", "host-100", "host-102")
	b.observeTask(b.machines["host-101"], healthyJob, 0, &protocol.TaskReport{Task: "job-2/0", Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseDone}, now)
	faulty := b.machines["host-100"]
	for i := 1; i <= 3; i++ {
		if b.faulty(faulty) {
			t.Fatalf("faulty after %d tasks", i-1)
		}
		b.failTask(healthyJob, i, now)
		runs(oldJob, 0, now)
	}
	if !b.faulty(faulty) || healthyJob.failures.failsEverywhere {
		t.Fatalf("after three tasks: %+v, the job %+v", faulty.faults, healthyJob.failures)
	}
	newJob := b.storeArray("job-3", 4, "host-100", "host-102", "host-103")
	b.failTask(newJob, 0, now)
	b.failTask(newJob, 1, now)
	if newJob.failures.failsEverywhere {
		t.Fatal("a job that failed on a faulty machine and one other is taken to be defective")
	}
	b.failTask(newJob, 2, now)
	if !newJob.failures.failsEverywhere || !b.machines["host-102"].faults.firstFailure.IsZero() {
		t.Fatalf("a job that failed on two others: %+v", newJob.failures)
	}
	b.watchPut(protocol.JobKey("job-3"), protocol.JobRecord{Spec: newJob.spec, NextAttempt: 30, Chunk: protocol.Chunk{Placed: []protocol.Placement{{Task: 3, Attempt: 29, Machine: "host-101"}}}})
	runs(newJob, 3, now)
	runs(newJob, 3, now.Add(minGoodRun))
	if got := b.machines["host-102"].faults.provenFailures; got != 1 {
		t.Errorf("%d failures are counted against the machine again", got)
	}
	lateJob := b.storeArray("job-4", 1, "host-102")
	lateJob.tasks[0].phaseSince = now.Add(2 * minGoodRun)
	runs(lateJob, 0, now.Add(3*minGoodRun))
	if !b.machines["host-102"].faults.firstFailure.IsZero() {
		t.Error("a machine on which a later task runs still counts as suspicious")
	}
}

// The new owner of a partition knows which of its jobs fail everywhere.
func TestDefectiveJobIsKnownAfterTakeover(t *testing.T) {
	b := newTestNode(t)
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 4})
	spec := &protocol.JobSpec{ID: "job-1", Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 90, CPUs: 4, GPUs: 1}
	b.watchPut(protocol.JobKey("job-1"), protocol.JobRecord{Spec: spec, NextAttempt: 4, Tries: 3})
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
	j := b.jobs["job-1"]
	if got := b.eligibleTasks(j, 90, time.Now()); got != 0 {
		t.Fatalf("%d tasks are tried at once", got)
	}
	if got := b.eligibleTasks(j, 90, time.Now().Add(maxRetryPause)); got != 1 {
		t.Fatalf("%d tasks are tried after a while", got)
	}
}
