package node

import (
	"context"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// scriptedWorkers are workers whose answers the test gives.
type scriptedWorkers struct {
	orders  chan protocol.Orders
	answers chan *protocol.Report // nil: none comes
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

// startOne has job-1 started directly on host-1, and returns what the worker got.
func startOne(t *testing.T) (*testNode, *job, *scriptedWorkers) {
	b := newTestNode(t)
	w := &scriptedWorkers{make(chan protocol.Orders, 1), make(chan *protocol.Report, 1)}
	b.workers = w
	b.cfg.Params.Workers.ReportS = 6
	b.sendReport(7, 1)
	m := b.machines["host-1"]
	b.rejectDeferred(m)
	m.addr = "x:1"
	j := b.addJob("job-1", false, placedOnHost1)
	b.tryDirectStart(m, time.Now())
	if o := <-w.orders; len(o.Commands) != 1 || o.Commands[0].Op != protocol.OpStart || o.Token != 7 || o.Session != 1 {
		t.Fatalf("the worker was sent %+v", o)
	}
	return b, j, w
}

// A direct start that got no answer may be executed minutes later. Until that is
// excluded, the machine's list proves nothing and nothing is cleared there.
func TestUnansweredDirectStartProvesNothing(t *testing.T) {
	b, j, w := startOne(t)
	m := b.machines["host-1"]
	empty := func(seq uint64, token uint64) *answer {
		t.Helper()
		a := b.sendReport(token, seq)
		if a == nil {
			b.rejectDeferred(m)
		}
		return a
	}
	j.cancelled = true
	if a := empty(2, 7); a == nil || len(a.body.(protocol.Orders).Commands) != 0 || j.tasks[0].outcome != outcomeNone {
		t.Fatal("a list is believed while a direct start is under way")
	}
	w.answers <- nil
	(<-b.mailbox)()
	if empty(3, 7); j.tasks[0].outcome != outcomeNone {
		t.Fatal("a list is believed after a direct start without an answer")
	}
	if b.usable(m, time.Now()) {
		t.Fatal("more is placed on a machine in doubt")
	}
	b.fenceUnconfirmedStarts(b.partitions[0])
	if !m.moving {
		t.Fatal("the token is not being raised")
	}
	b.watchPut(protocol.BatchKey("m-0-8"), protocol.BatchRecord{Partition: 0, Token: 8, Machines: []protocol.MachineRecord{{Name: "host-1", Type: "g4", Zone: "a"}}})
	if empty(4, 7); j.tasks[0].outcome != outcomeNone {
		t.Fatal("a list under the old token is believed")
	}
	if empty(5, 8); j.tasks[0].outcome != outcomeGone {
		t.Fatal("a list under the raised token is not believed")
	}
}

// A report that lists the task shows that the start was executed.
func TestListedTaskEndsTheDoubt(t *testing.T) {
	b, j, w := startOne(t)
	w.answers <- nil
	(<-b.mailbox)()
	b.sendReport(7, 2, protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseDone})
	if m := b.machines["host-1"]; len(m.unconfirmedStarts) != 0 || j.tasks[0].outcome != outcomeFinished {
		t.Fatalf("doubt %v, fact %v", m.unconfirmedStarts, j.tasks[0].outcome)
	}
}

// An answered direct start needs no more, and a machine that reports soon is
// not called.
func TestDirectStartAnswered(t *testing.T) {
	b, j, w := startOne(t)
	m := b.machines["host-1"]
	w.answers <- &protocol.Report{Machine: "host-1", Session: 1, Seq: 2, Token: 7, Tasks: []protocol.TaskReport{{Task: "job-1/0", Attempt: 1, State: protocol.TaskFetching}}}
	(<-b.mailbox)()
	if m.startInFlight || len(m.unconfirmedStarts) != 0 || j.tasks[0].reportedState != reportedFetching {
		t.Fatalf("calling %v, doubt %v, seen %v", m.startInFlight, m.unconfirmedStarts, j.tasks[0].reportedState)
	}
	j.tasks[0].reportedState, j.tasks[0].startSentAt = reportedNone, time.Time{}
	b.tryDirectStart(m, m.lastReport.Add(4500*time.Millisecond))
	if m.startInFlight {
		t.Fatal("called though its report is due")
	}
}

// A gang of which only a part is recorded when a share is taken over is given up
// and placed anew. (Found with simulated troubles: tasks recorded but never
// started kept their gang waiting for ever.)
func TestPartOfAGangIsGivenUpAfterATakeOver(t *testing.T) {
	b := newTestNode(t)
	spec := &protocol.JobSpec{ID: "job-1", Team: "red", Class: "c", Shape: protocol.Gang, Priority: "high", Tasks: 2, CPUs: 4, GPUs: 1, Image: "i"}
	b.watchPut(protocol.JobKey("job-1"), protocol.JobRecord{Spec: spec, NextAttempt: 2, Chunk: protocol.Chunk{Placed: []protocol.Placement{placedOnHost1}}})
	j := b.jobs["job-1"]
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 8, Lease: 3})
	b.sendReport(8, 1)
	b.rejectDeferred(b.machines["host-1"])
	if j.tasks[0].outcome != outcomeGone {
		t.Fatal("a task of a gang that cannot start is still waited for")
	}
}
