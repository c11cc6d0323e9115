package node

import (
	"context"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
	"dapplestage.example/dapplestage/internal/storage"
)

// meanwhile is a state service at which something happens before or after some transactions.
type meanwhile struct {
	*standin.State
	before, after func(writes []storage.Write)
}

func (m *meanwhile) Txn(ctx context.Context, conds []storage.Cond, writes []storage.Write) (bool, uint64, []string, error) {
	if m.before != nil {
		m.before(writes)
	}
	ok, epoch, failed, err := m.State.Txn(ctx, conds, writes)
	if m.after != nil && ok {
		m.after(writes)
	}
	return ok, epoch, failed, err
}

// handingOver is a node that hands two machines, of a record each, from share 0 to share 1.
func handingOver(t *testing.T, service *meanwhile) (*testNode, []*machine) {
	b := newTestNode(t)
	for range b.revision + 1 {
		b.state.Put("revision", 0)
	}
	b.storePut(protocol.TokenCounterKey, protocol.TokenCounterRecord{Token: 7})
	b.storePut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 7, Lease: 3})
	var ms []*machine
	for _, name := range []string{"host-2", "host-3"} {
		b.storePut(protocol.BatchKey(name), protocol.BatchRecord{Token: 7, Machines: []protocol.MachineRecord{{Name: name, Type: "g4", Zone: "a", Addr: "x:1"}}})
		ms = append(ms, b.machines[name])
	}
	service.State = b.state
	b.urgentCommitter = storage.NewCommitter(service, b.cfg.Params.State.TxnOps, b.rateLimiter, storage.UrgentPriority)
	go b.urgentCommitter.Run(t.Context())
	b.moveMachines(ms, 0, 1)
	return b, ms
}

// ended runs what the actor is told until none of some machines is being moved.
func (b *testNode) ended(ms []*machine) {
	b.t.Helper()
	for ms[0].moving || ms[1].moving {
		select {
		case f := <-b.mailbox:
			f()
		case <-time.After(5 * time.Second):
			b.t.Fatal("the hand-over does not end")
		}
	}
}

// isMove says whether a transaction stores records of machines.
func isMove(writes []storage.Write) bool {
	for _, w := range writes {
		if w.Put == protocol.BatchKey("m-1-8") {
			return true
		}
	}
	return false
}

// Other controllers raise the token counter all the time. A change that moves many machines
// waits long for so many writes, and is stored all the same.
func TestMovesAreNotHeldUpByOthers(t *testing.T) {
	service := &meanwhile{}
	service.before = func(writes []storage.Write) {
		if len(writes) > 1 {
			service.Put(protocol.TokenCounterKey, protocol.TokenCounterRecord{Token: 9})
		}
	}
	b, ms := handingOver(t, service)
	b.ended(ms)
	read := newNodeFromStore(t, b.cfg, b.state)
	for _, m := range ms {
		if is := read.machines[m.name]; is == nil || is.rec.Partition != 1 || is.rec.Token != 8 || m.rec.Partition != 1 {
			t.Errorf("%s is read as %+v", m.name, is.rec)
		}
	}
	if b.batches[protocol.BatchKey("host-2")] != nil || ms[0].batch.storing {
		t.Error("the records that they left are still there, or busy")
	}
}

// The share is taken again, under a higher token, after the token for its machines was raised:
// they stay, whether the node that hands them over has been told of it or not, and are of use
// again.
func TestMoveWithATokenThatIsTooLow(t *testing.T) {
	again := protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3}
	for _, told := range []bool{true, false} {
		service := &meanwhile{}
		tried := false
		service.before = func(writes []storage.Write) {
			if tried = tried || isMove(writes); isMove(writes) && !told {
				service.Put(protocol.OwnerKey(0), again)
			}
		}
		b, ms := handingOver(t, service)
		if told {
			raised := <-b.mailbox // not run yet
			b.storePut(protocol.OwnerKey(0), again)
			raised()
		}
		b.ended(ms)
		if tried == told {
			t.Errorf("told %v: tried to move them %v", told, tried)
		}
		read := newNodeFromStore(t, b.cfg, b.state)
		for _, m := range ms {
			if is := read.machines[m.name]; is.rec.Partition != 0 || m.rec.Partition != 0 || m.batch.storing {
				t.Errorf("told %v: %s moved: %+v", told, m.name, is.rec)
			}
		}
	}
}

// A machine that is to be drained gets nothing new, and nothing is stopped there; one with a
// service, which does not end, stays in use.
func TestDrainedMachineKeepsItsTasks(t *testing.T) {
	for _, shape := range []string{protocol.Array, protocol.Service} {
		b := newTestNode(t)
		now := time.Now()
		spec := &protocol.JobSpec{ID: "job-1", Team: "red", Class: "c", Shape: shape, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, EstimateS: 30}
		b.watchPut(protocol.JobKey(spec.ID), protocol.JobRecord{Spec: spec, NextAttempt: 2, Chunk: protocol.Chunk{Placed: []protocol.Placement{{Task: 0, Attempt: 1, Machine: "host-1"}}}})
		m, j := b.machines["host-1"], b.jobs[spec.ID]
		m.fenced, m.lastFencedReport, j.tasks[0].phaseSince = true, now, now
		if !b.usable(m, now) {
			t.Fatal("the machine is not in use")
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
