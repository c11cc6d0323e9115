package node

import (
	"context"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// scriptedWorkers are workers whose answers the test provides.
type scriptedWorkers struct {
	orders  chan protocol.Orders
	answers chan *protocol.Report // nil: no answer
}

func (m *scriptedWorkers) Command(_ context.Context, _ string, o protocol.Orders) (*protocol.Report, bool, error) {
	m.orders <- o
	if r := <-m.answers; r != nil {
		return r, true, nil
	}
	return nil, false, errNoAnswer
}

func (m *scriptedWorkers) Inspect(context.Context, string) (*protocol.Report, error) {
	return nil, errNoAnswer
}

// startJobDirectly starts job-1 directly on host-1 and returns the workers after checking the command.
func startJobDirectly(t *testing.T) (*testNode, *job, *scriptedWorkers) {
	b := newTestNode(t)
	workers := &scriptedWorkers{make(chan protocol.Orders, 1), make(chan *protocol.Report, 1)}
	b.workers = workers
	b.cfg.Params.Workers.ReportS = 6
	b.sendReport(7, 1)
	m := b.machines["host-1"]
	b.rejectDeferred(m)
	m.addr = "x:1"
	j := b.addJob("job-1", false, placedOnHost1)
	b.tryDirectStart(m, time.Now())
	if sent := <-workers.orders; len(sent.Commands) != 1 || sent.Commands[0].Op != protocol.OpStart || sent.Token != 7 || sent.Session != 1 {
		t.Fatalf("the worker was sent %+v", sent)
	}
	return b, j, workers
}

// A direct start that was not answered may be executed minutes later. Until that is ruled out, the
// machine's task list proves nothing and no task is marked as gone.
func TestUnansweredDirectStartProvesNothing(t *testing.T) {
	b, j, workers := startJobDirectly(t)
	m := b.machines["host-1"]
	reportNoTasks := func(seq uint64, token uint64) *answer {
		t.Helper()
		a := b.sendReport(token, seq)
		if a == nil {
			b.rejectDeferred(m)
		}
		return a
	}
	j.cancelled = true
	if a := reportNoTasks(2, 7); a == nil || len(a.body.(protocol.Orders).Commands) != 0 || j.tasks[0].outcome != outcomeNone {
		t.Fatal("a task list is taken as proof while a direct start is in flight")
	}
	workers.answers <- nil
	(<-b.mailbox)()
	if reportNoTasks(3, 7); j.tasks[0].outcome != outcomeNone {
		t.Fatal("a task list is taken as proof after an unanswered direct start")
	}
	if b.usable(m, time.Now()) {
		t.Fatal("a machine with an unconfirmed start is usable for new tasks")
	}
	b.fenceUnconfirmedStarts(b.partitions[0])
	if !m.moving {
		t.Fatal("the token is not being raised")
	}
	b.watchPut(protocol.BatchKey("m-0-8"), protocol.BatchRecord{Partition: 0, Token: 8, Machines: []protocol.MachineRecord{{Name: "host-1", Type: "g4", Zone: "a"}}})
	if reportNoTasks(4, 7); j.tasks[0].outcome != outcomeNone {
		t.Fatal("a task list under the old token is taken as proof")
	}
	if reportNoTasks(5, 8); j.tasks[0].outcome != outcomeGone {
		t.Fatal("a task list under the raised token is not taken as proof")
	}
}

// A report that lists the task shows that the start was executed.
func TestListedTaskConfirmsDirectStart(t *testing.T) {
	b, j, workers := startJobDirectly(t)
	workers.answers <- nil
	(<-b.mailbox)()
	b.sendReport(7, 2, protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseDone})
	if m := b.machines["host-1"]; len(m.unconfirmedStarts) != 0 || j.tasks[0].outcome != outcomeFinished {
		t.Fatalf("unconfirmed starts %v, outcome %v", m.unconfirmedStarts, j.tasks[0].outcome)
	}
}

// After an answered direct start nothing is left to confirm, and a machine whose report is due soon
// is not called.
func TestDirectStartAnswered(t *testing.T) {
	b, j, workers := startJobDirectly(t)
	m := b.machines["host-1"]
	workers.answers <- &protocol.Report{Machine: "host-1", Session: 1, Seq: 2, Token: 7, Tasks: []protocol.TaskReport{{Task: "job-1/0", Attempt: 1, State: protocol.TaskFetching}}}
	(<-b.mailbox)()
	if m.startInFlight || len(m.unconfirmedStarts) != 0 || j.tasks[0].reportedState != reportedFetching {
		t.Fatalf("start in flight %v, unconfirmed starts %v, reported state %v", m.startInFlight, m.unconfirmedStarts, j.tasks[0].reportedState)
	}
	j.tasks[0].reportedState, j.tasks[0].startSentAt = reportedNone, time.Time{}
	b.tryDirectStart(m, m.lastReport.Add(4500*time.Millisecond))
	if m.startInFlight {
		t.Fatal("the machine is called although its report is due")
	}
}

// A gang of which only a part is recorded when a partition is taken over is abandoned and placed
// again. Without this, tasks that were recorded but never started kept their gang waiting forever.
func TestPartialGangIsAbandonedAfterTakeover(t *testing.T) {
	b := newTestNode(t)
	spec := &protocol.JobSpec{ID: "job-1", Team: "red", Class: "c", Shape: protocol.Gang, Priority: "high", Tasks: 2, CPUs: 4, GPUs: 1, Image: "i"}
	b.watchPut(protocol.JobKey("job-1"), protocol.JobRecord{Spec: spec, NextAttempt: 2, Chunk: protocol.Chunk{Placed: []protocol.Placement{placedOnHost1}}})
	j := b.jobs["job-1"]
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 8, Lease: 3})
	b.sendReport(8, 1)
	b.rejectDeferred(b.machines["host-1"])
	if j.tasks[0].outcome != outcomeGone {
		t.Fatal("a task of a gang that cannot start is not given up")
	}
}
