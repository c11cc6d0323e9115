package node

import (
	"context"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
	"dapplestage.example/dapplestage/internal/storage"
)

// hookedState is a state service that calls functions before or after transactions.
type hookedState struct {
	*standin.State
	before, after func(writes []storage.Write)
}

func (m *hookedState) Txn(ctx context.Context, conds []storage.Cond, writes []storage.Write) (bool, uint64, []string, error) {
	if m.before != nil {
		m.before(writes)
	}
	ok, epoch, failed, err := m.State.Txn(ctx, conds, writes)
	if m.after != nil && ok {
		m.after(writes)
	}
	return ok, epoch, failed, err
}

// startHandover returns a node that hands over two machines, each in its own batch, from partition
// 0 to partition 1.
func startHandover(t *testing.T, service *hookedState) (*testNode, []*machine) {
	b := newTestNode(t)
	for range b.revision + 1 {
		b.state.Put("revision", 0)
	}
	b.storePut(protocol.TokenCounterKey, protocol.TokenCounterRecord{Token: 7})
	b.storePut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 7, Lease: 3})
	var machines []*machine
	for _, name := range []string{"host-2", "host-3"} {
		b.storePut(protocol.BatchKey(name), protocol.BatchRecord{Token: 7, Machines: []protocol.MachineRecord{{Name: name, Type: "g4", Zone: "a", Addr: "x:1"}}})
		machines = append(machines, b.machines[name])
	}
	service.State = b.state
	b.urgentCommitter = storage.NewCommitter(service, b.cfg.Params.State.TxnOps, b.rateLimiter, storage.UrgentPriority)
	go b.urgentCommitter.Run(t.Context())
	b.moveMachines(machines, 0, 1)
	return b, machines
}

// awaitHandover runs the actor's queue until none of the machines is being moved.
func (b *testNode) awaitHandover(machines []*machine) {
	b.t.Helper()
	for machines[0].moving || machines[1].moving {
		select {
		case f := <-b.mailbox:
			f()
		case <-time.After(5 * time.Second):
			b.t.Fatal("the handover does not end")
		}
	}
}

// storesMove reports whether a transaction stores the moved machines.
func storesMove(writes []storage.Write) bool {
	for _, w := range writes {
		if w.Put == protocol.BatchKey("m-1-8") {
			return true
		}
	}
	return false
}

// Other controllers increment the token counter all the time. A move of many machines, whose write
// waits long, must still succeed.
func TestMoveSucceedsDespiteCounterContention(t *testing.T) {
	service := &hookedState{}
	service.before = func(writes []storage.Write) {
		if len(writes) > 1 {
			service.Put(protocol.TokenCounterKey, protocol.TokenCounterRecord{Token: 9})
		}
	}
	b, machines := startHandover(t, service)
	b.awaitHandover(machines)
	read := newNodeFromStore(t, b.cfg, b.state)
	for _, m := range machines {
		if got := read.machines[m.name]; got == nil || got.rec.Partition != 1 || got.rec.Token != 8 || m.rec.Partition != 1 {
			t.Errorf("%s: read record %+v", m.name, got.rec)
		}
	}
	if b.batches[protocol.BatchKey("host-2")] != nil || machines[0].batch.storing {
		t.Error("the old batches still exist, or are marked as being stored")
	}
}

// The partition gets a new owner token after the lower token for its machines was allocated. The
// machines must stay, whether or not the node that hands them over has learned of the new token, and
// must be usable again.
func TestMoveWithStaleToken(t *testing.T) {
	newOwner := protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3}
	for _, knows := range []bool{true, false} {
		service := &hookedState{}
		tried := false
		service.before = func(writes []storage.Write) {
			if tried = tried || storesMove(writes); storesMove(writes) && !knows {
				service.Put(protocol.OwnerKey(0), newOwner)
			}
		}
		b, machines := startHandover(t, service)
		if knows {
			raised := <-b.mailbox // not run yet
			b.storePut(protocol.OwnerKey(0), newOwner)
			raised()
		}
		b.awaitHandover(machines)
		if tried == knows {
			t.Errorf("knows the new owner %v: tried to move the machines %v", knows, tried)
		}
		read := newNodeFromStore(t, b.cfg, b.state)
		for _, m := range machines {
			if got := read.machines[m.name]; got.rec.Partition != 0 || m.rec.Partition != 0 || m.batch.storing {
				t.Errorf("knows the new owner %v: %s moved: %+v", knows, m.name, got.rec)
			}
		}
	}
}

// Nothing new is placed on a machine that is being drained, and nothing is stopped there. A machine
// with a service, whose tasks don't end, stays in use.
func TestDrainedMachineKeepsItsTasks(t *testing.T) {
	for _, shape := range []string{protocol.Array, protocol.Service} {
		b := newTestNode(t)
		now := time.Now()
		spec := &protocol.JobSpec{ID: "job-1", Team: "red", Class: "c", Shape: shape, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, EstimateS: 30}
		b.watchPut(protocol.JobKey(spec.ID), protocol.JobRecord{Spec: spec, NextAttempt: 2, Chunk: protocol.Chunk{Placed: []protocol.Placement{{Task: 0, Attempt: 1, Machine: "host-1"}}}})
		m, j := b.machines["host-1"], b.jobs[spec.ID]
		m.fenced, m.lastFencedReport, j.tasks[0].phaseSince = true, now, now
		if !b.usable(m, now) {
			t.Fatal("the machine is not usable")
		}
		b.onMoves(protocol.MovesRecord{Moves: []protocol.Move{{Machine: "host-1", Partition: 1, Rank: protocol.Low, Drain: true}}})
		if j.tasks[0].stopRequested || m.moving {
			t.Errorf("%s: stopped %v, moved %v", shape, j.tasks[0].stopRequested, m.moving)
		}
		if b.usable(m, time.Now()) != (shape == protocol.Service) {
			t.Errorf("%s: usable is %v", shape, b.usable(m, time.Now()))
		}
	}
}
