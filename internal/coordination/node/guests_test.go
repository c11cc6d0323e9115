package node

import (
	"fmt"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// A guest team's 5,000 idle-time tasks drew 950 of 1,550 machines into their share,
// where 2,400 GPUs stood free, while 560 tasks with a guarantee waited in the others.
// (Seen on a simulated day.)
func TestGuestsGetWhatNobodyNeeds(t *testing.T) {
	b := newTestNode(t)
	b.teams[2].Guarantee = Resources{} // green, in share 2, is a guest
	now := time.Now()
	for i := range 3 {
		b.watchPut(protocol.OwnerKey(i), protocol.OwnerRecord{Node: "n-0", Token: 7, Lease: 3})
	}
	up := func(share int, name string) *machine {
		b.watchPut(protocol.BatchKey("b-"+name), protocol.BatchRecord{Partition: share, Token: 7, Machines: []protocol.MachineRecord{{Name: name, Type: "g4", Zone: "a", Addr: "x:1"}}})
		m := b.machines[name]
		m.fenced, m.lastFencedReport = true, now
		return m
	}
	job := func(id, team string, tasks int, placed ...protocol.Placement) *job {
		spec := &protocol.JobSpec{ID: id, Team: team, Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: tasks, CPUs: 6, CheckpointS: 30, SaveS: 3}
		if team != "green" {
			spec.GPUs = 1
		}
		b.watchPut(protocol.JobKey(id), protocol.JobRecord{Spec: spec, NextAttempt: 2, Chunk: protocol.Chunk{Placed: placed}})
		return b.jobs[id]
	}
	b.workers = &scriptedWorkers{orders: make(chan protocol.Orders, 9), answers: make(chan *protocol.Report, 9)}
	spare := up(1, "host-a")
	full := up(2, "host-b")
	guest := job("job-1", "green", 100, protocol.Placement{Task: 0, Attempt: 1, Machine: "host-b"}, protocol.Placement{Task: 1, Attempt: 1, Machine: "host-b"})

	// What a guest waits for goes only as spare, and its holder keeps what it needs.
	if mv := b.computeMoves(now); fmt.Sprint(mv.Moves) != "[{host-a 2 true 2 false}]" {
		t.Fatalf("planned %v for a guest", mv.Moves)
	}
	spare.needed = true
	b.onMoves(b.computeMoves(now))
	if spare.moving {
		t.Fatal("a machine that is needed goes to a guest")
	}
	// For work with a guarantee the guest's machine is emptied and then goes.
	job("job-2", "red", 8)
	mv := b.computeMoves(now)
	if fmt.Sprint(mv.Moves) != "[{host-a 0 false 2 false} {host-b 0 false 2 false}]" {
		t.Fatalf("planned %v for a guarantee", mv.Moves)
	}
	b.onMoves(mv)
	if !spare.moving || full.moving || !guest.tasks[0].stopRequested || guest.tasks[0].stopGraceS < 3 || b.usable(full, now.Add(time.Second)) {
		t.Fatal("a machine with guests' work alone is not emptied for a guarantee")
	}
	if o := <-b.workers.(*scriptedWorkers).orders; len(o.Commands) != 2 || o.Commands[0].Op != protocol.OpStop {
		t.Fatalf("its worker was sent %+v", o)
	}
}

// With 25,000 tasks and 800 single jobs a guest used up the changes of the state
// service: users were turned away, and tasks with a guarantee that were lost did not
// run again for 300 s. (Seen in a recorded incident.)
func TestGuestsAreStoredLast(t *testing.T) {
	lost, _ := storePriority(storeStart, false, 0, true, false)
	for urgency := storeEnd; urgency <= storeOutcomes; urgency++ {
		for _, waits := range []time.Duration{0, outcomeBatchDelay, unguaranteedDelay - 1} {
			if u, now := storePriority(urgency, true, waits, false, false); u <= lost || now != (waits >= outcomeBatchDelay) {
				t.Errorf("a guest's change %d after %v: urgency %d, now %v", urgency, waits, u, now)
			}
			if _, now := storePriority(urgency, true, waits, true, false); now {
				t.Errorf("a guest's change %d after %v goes before users", urgency, waits)
			}
			if _, now := storePriority(urgency, true, waits, true, true); !now {
				t.Error("a guest waits though the rate is ample")
			}
		}
		if u, now := storePriority(urgency, true, unguaranteedDelay, true, false); u != urgency || !now {
			t.Errorf("a guest's change %d never has its turn", urgency)
		}
	}
	j := newTestNode(t).storeArray("job-1", 3, "host-1")
	j.tasks[0].outcome = outcomeGone
	if j.storeUrgency() != storeStart {
		t.Error("a lost task is less urgent than a start")
	}
}
