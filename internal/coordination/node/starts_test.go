package node

import (
	"context"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// mute are workers whose answers the test gives.
type mute struct {
	asked  chan protocol.Orders
	answer chan *protocol.Report // nil: none comes
}

func (m *mute) Command(_ context.Context, _ string, o protocol.Orders) (*protocol.Report, bool, error) {
	m.asked <- o
	if r := <-m.answer; r != nil {
		return r, true, nil
	}
	return nil, false, errNoAnswer
}

func (m *mute) Inspect(context.Context, string) (*protocol.Report, error) { return nil, errNoAnswer }

// startOne has job-1 started directly on host-1, and returns what the worker got.
func startOne(t *testing.T) (*bench, *job, *mute) {
	b := newBench(t)
	w := &mute{make(chan protocol.Orders, 1), make(chan *protocol.Report, 1)}
	b.workers = w
	b.cfg.Params.Workers.ReportS = 6
	b.report(7, 1)
	m := b.machines["host-1"]
	b.unpark(m)
	m.addr = "x:1"
	j := b.job("job-1", false, onHost1)
	b.startNow(m, time.Now())
	if o := <-w.asked; len(o.Commands) != 1 || o.Commands[0].Op != protocol.OpStart || o.Token != 7 || o.Session != 1 {
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
		a := b.report(token, seq)
		if a == nil {
			b.unpark(m)
		}
		return a
	}
	j.cancelled = true
	if a := empty(2, 7); a == nil || len(a.body.(protocol.Orders).Commands) != 0 || j.tasks[0].fact != noFact {
		t.Fatal("a list is believed while a direct start is under way")
	}
	w.answer <- nil
	(<-b.inbox)()
	if empty(3, 7); j.tasks[0].fact != noFact {
		t.Fatal("a list is believed after a direct start without an answer")
	}
	if b.usable(m, time.Now()) {
		t.Fatal("more is placed on a machine in doubt")
	}
	b.endDoubts(b.shares[0])
	if !m.moving {
		t.Fatal("the token is not being raised")
	}
	b.put(protocol.BatchKey("m-0-8"), protocol.BatchRecord{Share: 0, Token: 8, Machines: []protocol.MachineRecord{{Name: "host-1", Type: "g4", Zone: "a"}}})
	if empty(4, 7); j.tasks[0].fact != noFact {
		t.Fatal("a list under the old token is believed")
	}
	if empty(5, 8); j.tasks[0].fact != gone {
		t.Fatal("a list under the raised token is not believed")
	}
}

// A report that lists the task shows that the start was executed.
func TestListedTaskEndsTheDoubt(t *testing.T) {
	b, j, w := startOne(t)
	w.answer <- nil
	(<-b.inbox)()
	b.report(7, 2, protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseDone})
	if m := b.machines["host-1"]; len(m.doubt) != 0 || j.tasks[0].fact != finished {
		t.Fatalf("doubt %v, fact %v", m.doubt, j.tasks[0].fact)
	}
}

// An answered direct start needs no more, and a machine that reports soon is
// not called.
func TestDirectStartAnswered(t *testing.T) {
	b, j, w := startOne(t)
	m := b.machines["host-1"]
	w.answer <- &protocol.Report{Machine: "host-1", Session: 1, Seq: 2, Token: 7, Tasks: []protocol.TaskReport{{Task: "job-1/0", Attempt: 1, State: protocol.TaskFetching}}}
	(<-b.inbox)()
	if m.calling || len(m.doubt) != 0 || j.tasks[0].seen != seenFetching {
		t.Fatalf("calling %v, doubt %v, seen %v", m.calling, m.doubt, j.tasks[0].seen)
	}
	j.tasks[0].seen, j.tasks[0].sent = unseen, time.Time{}
	b.startNow(m, m.reported.Add(4500*time.Millisecond))
	if m.calling {
		t.Fatal("called though its report is due")
	}
}

// A gang of which only a part is recorded when a share is taken over is given up
// and placed anew. (Found with simulated troubles: tasks recorded but never
// started kept their gang waiting for ever.)
func TestPartOfAGangIsGivenUpAfterATakeOver(t *testing.T) {
	b := newBench(t)
	spec := &protocol.JobSpec{ID: "job-1", Team: "red", Class: "c", Shape: protocol.Gang, Priority: "high", Tasks: 2, CPUs: 4, GPUs: 1, Image: "i"}
	b.put(protocol.JobKey("job-1"), protocol.JobRecord{Spec: spec, Next: 2, Chunk: protocol.Chunk{Placed: []protocol.Placement{onHost1}}})
	j := b.jobs["job-1"]
	b.put(protocol.HolderKey(0), protocol.HolderRecord{Node: "n-0", Token: 8, Lease: 3})
	b.report(8, 1)
	b.unpark(b.machines["host-1"])
	if j.tasks[0].fact != gone {
		t.Fatal("a task of a gang that cannot start is still waited for")
	}
}
