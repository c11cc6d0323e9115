package node

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
	"dapplestage.example/dapplestage/internal/storage"
)

// storePut stores a value in the state service and applies it as a watch event.
func (b *testNode) storePut(key string, v any) {
	b.state.Put(key, v)
	it, _ := b.state.Get(b.t.Context(), key)
	b.revision = it.Revision
	b.applyWatch([]storage.Item{it}, it.Revision)
}

// awaitStored runs queued actor functions until no change of a partition's jobs is in flight.
func (b *testNode) awaitStored(p *partition) {
	b.t.Helper()
	busy := func(j *job) bool { return j.writePending }
	for p.pendingAppend != nil || p.pendingRecords > 0 || slices.ContainsFunc(p.jobs, busy) {
		select {
		case f := <-b.mailbox:
			f()
		case <-time.After(10 * time.Second):
			b.t.Fatal("the state service did not answer")
		}
	}
}

// addProposedArray adds a job of one task whose placement on host-1 is to be stored.
func (b *testNode) addProposedArray(id string) *job {
	spec := &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1}
	b.storePut(protocol.JobKey(id), protocol.JobRecord{Spec: spec, NextAttempt: 1})
	b.proposePlacements(b.jobs[id], []int{0}, []*machine{b.machines["host-1"]}, time.Now())
	return b.jobs[id]
}

// conditionLimit is a state service that refuses transactions with too many conditions.
type conditionLimit struct {
	*standin.State
	t     *testing.T
	limit int
}

func (l *conditionLimit) Txn(ctx context.Context, conds []storage.Cond, writes []storage.Write) (bool, uint64, []string, error) {
	if len(conds) > l.limit {
		l.t.Errorf("a transaction has %d conditions, the limit is %d", len(conds), l.limit)
		return false, 0, nil, storage.ErrMalformed
	}
	return l.State.Txn(ctx, conds, writes)
}

// newTestNodeWithLog returns a node that writes entries to a ring of four slots. The entry that the
// next one replaces places a service's task on host-1 with attempt 2.
func newTestNodeWithLog(t *testing.T) (b *testNode, service *job) {
	storeOnlyEntries(t, 4)
	b = newTestNode(t)
	for range b.revision + 1 { // later revisions than those the test node began with
		b.state.Put("revision", 0)
	}
	b.storePut(protocol.FormatKey, protocol.FormatRecord{Packed: true})
	b.storePut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 7, Lease: 3})
	spec := &protocol.JobSpec{ID: "job-1", Team: "red", Class: "c", Shape: protocol.Service, Priority: "critical", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1}
	b.storePut(protocol.JobKey(spec.ID), protocol.JobRecord{Spec: spec, NextAttempt: 2})
	for seq := uint64(1); seq <= 4; seq++ {
		e := protocol.Entry{Version: protocol.EntryVersion, Seq: seq}
		if seq == 1 {
			e.Machines = []string{"host-1"}
			e.Parts = []protocol.Part{{Job: spec.ID, NextAttempt: 3, Placed: []protocol.PlacedRange{{0, 0, 2, 0}}}}
		}
		b.storePut(protocol.LogKey(0, int(seq%4)), e)
	}
	service = b.jobs[spec.ID]
	if task := &service.tasks[0]; task.phase != phasePlaced || task.attempt != 2 || !task.fromLog {
		t.Fatalf("the task of the entry is read as %+v", task)
	}
	return b, service
}

// An entry carries over where a service's task is placed. While it is in flight, the end of that task
// is stored in the service's own record. Whichever is executed first, the task must not be read as
// placed once its end is stored, as it may run elsewhere by then. Without the conditions on the
// records, two replicas of a service that had been moved were started again in their old place.
func TestCarriedStateDoesNotOverrideLaterRecord(t *testing.T) {
	for _, recordFirst := range []bool{true, false} {
		t.Run(fmt.Sprintf("record first %v", recordFirst), func(t *testing.T) {
			b, service := newTestNodeWithLog(t)
			p := b.partitions[0]
			array := b.addProposedArray("job-2")
			b.flush(time.Now())
			if p.pendingAppend == nil {
				t.Fatal("no entry is being stored")
			}
			b.recordOutcome(service, 0, outcomeGone)
			b.flush(time.Now())
			if p.pendingRecords != 1 {
				t.Fatal("the service's own record is not being stored at the same time")
			}
			first, second := b.urgentCommitter, b.backgroundCommitter
			if !recordFirst {
				first, second = b.backgroundCommitter, b.urgentCommitter
			}
			go first.Run(t.Context())
			(<-b.mailbox)()
			go second.Run(t.Context())
			b.awaitStored(p)
			b.flush(time.Now()) // stores what was refused
			b.awaitStored(p)
			if is := &service.tasks[0]; is.phase != phaseWaiting {
				t.Errorf("the node that stored the end knows the task as %v with attempt %d", is.phase, is.attempt)
			}
			if read := newNodeFromStore(t, b.cfg, b.state).jobSummaries()["job-1"]; read != "1 false false - " {
				t.Errorf("a node that starts reads %q", read)
			}
			if array.tasks[0].phase == phaseWaiting { // its entry was refused
				b.proposePlacements(array, []int{0}, []*machine{b.machines["host-1"]}, time.Now())
				b.flush(time.Now())
				b.awaitStored(p)
			}
			if array.tasks[0].phase != phasePlaced {
				t.Error("the array's placement was not stored in the end")
			}
		})
	}
}

// If an entry has many jobs, some must get records of their own before they are carried over, so that
// the transaction stays within the state service's limit of conditions.
func TestConditionsOfCarriedJobsFit(t *testing.T) {
	b, _ := newTestNodeWithLog(t)
	p := b.partitions[0]
	b.cfg.Params.State.ValueKB = 64
	e := *p.log.Overwritten()
	for i := range 60 { // more than the limit of conditions
		id := fmt.Sprintf("job-10%02d", i)
		spec := &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 2, CPUs: 0.1, Image: "i"}
		b.storePut(protocol.JobKey(id), protocol.JobRecord{Spec: spec, NextAttempt: 1})
		e.Parts = append(e.Parts, protocol.Part{Job: id, NextAttempt: 2, Placed: []protocol.PlacedRange{{0, 0, 1, 0}}})
	}
	b.storePut(protocol.LogKey(0, 1), e)
	limited := &conditionLimit{b.state, t, b.maxConditions()}
	b.urgentCommitter = storage.NewCommitter(limited, b.cfg.Params.State.TxnOps, b.rateLimiter, storage.UrgentPriority)
	b.backgroundCommitter = storage.NewCommitter(limited, b.cfg.Params.State.TxnOps, b.rateLimiter, storage.BackgroundPriority)
	go b.urgentCommitter.Run(t.Context())
	go b.backgroundCommitter.Run(t.Context())
	array := b.addProposedArray("job-2")
	for range 5 {
		b.flush(time.Now())
		b.awaitStored(p)
	}
	if _, seq := p.log.Next(); seq != 6 || array.tasks[0].phase != phasePlaced {
		t.Errorf("the next entry is %d, the phase of the array's task %v", seq, array.tasks[0].phase)
	}
	live, read := b.jobSummaries(), newNodeFromStore(t, b.cfg, b.state).jobSummaries()
	for id, j := range b.jobs {
		if live[id] != read[id] || j.tasks[0].phase != phasePlaced {
			t.Errorf("%s is known as %q and read as %q", id, live[id], read[id])
		}
	}
}
