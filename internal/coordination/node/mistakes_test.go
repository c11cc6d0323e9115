package node

import (
	"fmt"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// array stores an array of the share's team with a task on each of some machines.
func (b *bench) array(id string, tasks int, on ...string) *job {
	spec := &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: tasks, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1}
	var placed []protocol.Placement
	for i, m := range on {
		placed = append(placed, protocol.Placement{Task: i, Attempt: 1, Machine: m})
	}
	b.put(protocol.JobKey(id), protocol.JobRecord{Spec: spec, Next: 2, Chunk: protocol.Chunk{Placed: placed}})
	return b.jobs[id]
}

// fails makes a job's task end with an error where it is placed.
func (b *bench) fails(j *job, i int, now time.Time) {
	t := &j.tasks[i]
	b.observe(t.machine, j, i, &protocol.TaskReport{Task: protocol.TaskID(j.id, i), Attempt: t.attempt, State: protocol.TaskExited, Cause: protocol.CauseError}, now)
}

// A job that was submitted with a mistake had all of its tasks tried again and
// again, kept every empty machine of its share from being returned, and brought
// good machines into disrepute. (Seen on simulated days: 1,117 tasks of 17 jobs; half
// of 1,550 machines stood empty.)
func TestMistakenJobIsTriedSeldom(t *testing.T) {
	b := newBench(t)
	b.fleet(4)
	now := time.Now()
	j := b.array("job-1", 8, "host-100", "host-101", "host-102")
	b.fails(j, 0, now)
	if j.trouble.mistake || b.mayTry(j, 5, now) != 5 || len(b.machines["host-100"].blame) != 1 || b.shareWaits(0, now) != true {
		t.Fatalf("one machine's error: %+v", j.trouble)
	}
	b.fails(j, 1, now)
	b.fails(j, 2, now)
	if !j.trouble.mistake {
		t.Fatal("a job that failed on three machines is still taken for well")
	}
	for _, m := range b.shares[0].machines {
		if len(m.blame) > 0 || now.Before(m.avoidTill) {
			t.Fatalf("%s is blamed for the job's mistake", m.name)
		}
	}
	if b.shareWaits(0, now) || b.wants(j, now) != 0 {
		t.Fatal("the share waits for a job that fails everywhere")
	}
	if b.mayTry(j, 5, now) != 0 {
		t.Fatal("it is tried again at once")
	}
	// Ever more seldom, one task at a time.
	pause := time.Duration(0)
	for k := range 8 {
		next := j.notBefore.Sub(now)
		if next < pause || next > mostPause {
			t.Fatalf("try %d after %v, the one before after %v", k, next, pause)
		}
		pause, now = next, j.notBefore
		b.put(protocol.JobKey("job-1"), protocol.JobRecord{Spec: j.spec, Next: j.next})
		if got := b.mayTry(j, 8, now); got != 1 {
			t.Fatalf("%d tasks tried at once", got)
		}
		b.propose(j, []int{0}, []*machine{b.machines["host-103"]}, now)
		if got := b.mayTry(j, 7, now); got != 0 {
			t.Fatalf("%d more tasks are tried beside one", got)
		}
		b.put(protocol.JobKey("job-1"), protocol.JobRecord{Spec: j.spec, Next: j.next, Chunk: protocol.Chunk{Placed: []protocol.Placement{{Task: 0, Attempt: j.next - 1, Machine: "host-103"}}}})
		b.fails(j, 0, now)
	}
	if pause != mostPause {
		t.Fatalf("after eight tries the pause is %v", pause)
	}
	if got := j.head().Tries; got != 9 {
		t.Fatalf("%d tries are recorded", got)
	}
	// One task does well: it was bad luck.
	b.put(protocol.JobKey("job-1"), protocol.JobRecord{Spec: j.spec, Next: 30, Chunk: protocol.Chunk{Placed: []protocol.Placement{{Task: 0, Attempt: 29, Machine: "host-103"}}}})
	run := &protocol.TaskReport{Task: "job-1/0", Attempt: 29, State: protocol.TaskRunning}
	b.observe(b.machines["host-103"], j, 0, run, now)
	b.observe(b.machines["host-103"], j, 0, run, now.Add(shortRun))
	if j.trouble.mistake || b.mayTry(j, 7, now) != 7 {
		t.Fatalf("a job whose task runs well: %+v", j.trouble)
	}
}

// A machine on which one job after the other fails is faulty, and the jobs are not.
func TestFaultyMachineIsToldFromMistakenJobs(t *testing.T) {
	b := newBench(t)
	now := time.Now()
	m := b.machines["host-1"]
	for i := range 3 {
		if b.faulty(m) {
			t.Fatalf("faulty after %d jobs", i)
		}
		j := b.job(fmt.Sprint("job-", i), false, onHost1)
		b.fails(j, 0, now)
		if j.trouble.mistake || b.mayTry(j, 1, now) != 1 {
			t.Fatalf("%s is taken for mistaken after one machine's error", j.id)
		}
	}
	if !b.faulty(m) {
		t.Fatal("a machine on which three jobs failed is trusted")
	}
}

// Who takes a share over knows which of its jobs fail everywhere.
func TestMistakeIsKnownAfterATakeOver(t *testing.T) {
	b := newBench(t)
	b.put(protocol.HolderKey(0), protocol.HolderRecord{Node: "n-1", Token: 8, Lease: 4})
	spec := &protocol.JobSpec{ID: "job-1", Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 90, CPUs: 4, GPUs: 1}
	b.put(protocol.JobKey("job-1"), protocol.JobRecord{Spec: spec, Next: 4, Tries: 3})
	b.put(protocol.HolderKey(0), protocol.HolderRecord{Node: "n-0", Token: 9, Lease: 3})
	j := b.jobs["job-1"]
	if got := b.mayTry(j, 90, time.Now()); got != 0 {
		t.Fatalf("%d tasks are tried at once", got)
	}
	if got := b.mayTry(j, 90, time.Now().Add(mostPause)); got != 1 {
		t.Fatalf("%d tasks are tried after a while", got)
	}
}
