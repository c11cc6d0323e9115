package node

import (
	"fmt"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// 5,000 low-priority tasks of a team without a guarantee drew 950 of 1,550 machines into their
// partition, where 2,400 GPUs were idle, while 560 tasks with a guarantee waited in the other
// partitions (in a simulation).
func TestUnguaranteedTeamsGetOnlySpareMachines(t *testing.T) {
	b := newTestNode(t)
	b.teams[2].Guarantee = Resources{} // green, in partition 2, has no guarantee
	now := time.Now()
	for i := range 3 {
		b.watchPut(protocol.OwnerKey(i), protocol.OwnerRecord{Node: "n-0", Token: 7, Lease: 3})
	}
	addMachine := func(index int, name string) *machine {
		b.watchPut(protocol.BatchKey("b-"+name), protocol.BatchRecord{Partition: index, Token: 7, Machines: []protocol.MachineRecord{{Name: name, Type: "g4", Zone: "a", Addr: "x:1"}}})
		m := b.machines[name]
		m.fenced, m.lastFencedReport = true, now
		return m
	}
	addJob := func(id, team string, tasks int, placed ...protocol.Placement) *job {
		spec := &protocol.JobSpec{ID: id, Team: team, Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: tasks, CPUs: 6, CheckpointS: 30, SaveS: 3}
		if team != "green" {
			spec.GPUs = 1
		}
		b.watchPut(protocol.JobKey(id), protocol.JobRecord{Spec: spec, NextAttempt: 2, Chunk: protocol.Chunk{Placed: placed}})
		return b.jobs[id]
	}
	b.workers = &scriptedWorkers{orders: make(chan protocol.Orders, 9), answers: make(chan *protocol.Report, 9)}
	spare := addMachine(1, "host-a")
	full := addMachine(2, "host-b")
	unguaranteedJob := addJob("job-1", "green", 100, protocol.Placement{Task: 0, Attempt: 1, Machine: "host-b"}, protocol.Placement{Task: 1, Attempt: 1, Machine: "host-b"})

	// For a job without a guarantee, only spare machines are planned, and the owner keeps the
	// machines that it needs.
	if plan := b.computeMoves(now); fmt.Sprint(plan.Moves) != "[{host-a 2 true 2 false}]" {
		t.Fatalf("planned %v for a job without a guarantee", plan.Moves)
	}
	spare.needed = true
	b.onMoves(b.computeMoves(now))
	if spare.moving {
		t.Fatal("a machine that is needed is moved for a team without a guarantee")
	}
	// For work with a guarantee, a machine with only unguaranteed tasks is emptied first and then
	// moved.
	addJob("job-2", "red", 8)
	plan := b.computeMoves(now)
	if fmt.Sprint(plan.Moves) != "[{host-a 0 false 2 false} {host-b 0 false 2 false}]" {
		t.Fatalf("planned %v for a job with a guarantee", plan.Moves)
	}
	b.onMoves(plan)
	if !spare.moving || full.moving || !unguaranteedJob.tasks[0].stopRequested || unguaranteedJob.tasks[0].stopGraceS < 3 || b.usable(full, now.Add(time.Second)) {
		t.Fatal("a machine with only unguaranteed tasks is not emptied for work with a guarantee")
	}
	if o := <-b.workers.(*scriptedWorkers).orders; len(o.Commands) != 2 || o.Commands[0].Op != protocol.OpStop {
		t.Fatalf("its worker was sent %+v", o)
	}
}

// A team without a guarantee, with 25,000 tasks and 800 single jobs, used up the write rate of the
// state service: users were rejected, and lost tasks with a guarantee did not run again for 300 s
// (in a recorded incident).
func TestUnguaranteedChangesAreStoredLast(t *testing.T) {
	lost, _ := storePriority(storeStart, false, 0, true, false)
	for urgency := storeEnd; urgency <= storeOutcomes; urgency++ {
		for _, waited := range []time.Duration{0, outcomeBatchDelay, unguaranteedDelay - 1} {
			if u, storedNow := storePriority(urgency, true, waited, false, false); u <= lost || storedNow != (waited >= outcomeBatchDelay) {
				t.Errorf("an unguaranteed change %d after %v: urgency %d, stored now %v", urgency, waited, u, storedNow)
			}
			if _, now := storePriority(urgency, true, waited, true, false); now {
				t.Errorf("an unguaranteed change %d after %v is stored before those of users", urgency, waited)
			}
			if _, now := storePriority(urgency, true, waited, true, true); !now {
				t.Error("an unguaranteed change waits although the write rate suffices")
			}
		}
		if u, now := storePriority(urgency, true, unguaranteedDelay, true, false); u != urgency || !now {
			t.Errorf("an unguaranteed change %d is never stored", urgency)
		}
	}
	j := newTestNode(t).storeArray("job-1", 3, "host-1")
	j.tasks[0].outcome = outcomeGone
	if j.storeUrgency() != storeStart {
		t.Error("a lost task is less urgent than a start")
	}
}
