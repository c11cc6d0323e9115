package node

import (
	"context"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/start"
	"dapplestage.example/dapplestage/internal/protocol"
)

// Starts go out in answers to reports. Where workers report every few seconds and
// an aim leaves ten for fetching and starting, a machine that has just reported is
// told directly instead. A direct command may be held on its way and executed
// minutes later, as long as token and session match. So while one is under way,
// and after one that got no answer, nothing that the machine lists or lacks is
// taken as proof and it gets no orders (it is in doubt), until
//   - its answer comes, or
//   - a fenced report lists the tasks: then the command was executed, or
//   - the machine's token is raised and a report carries it: then it never will be.
//
// Jobs of the gateway are never started directly: when the site loses them there is
// no time to wait for any of this (see sitejobs.go).

// mostDirect is how many direct starts a node has under way at a time.
const mostDirect = 16

// worthwhile is how much sooner than with the next report a direct start must be.
const worthwhile = 700 * time.Millisecond

// startNow starts directly what is stored for a machine, if its next report is
// some time off. It returns false if this should be tried again, since after a take-over
// starts are under a budget.
func (n *Node) startNow(m *machine, now time.Time) bool {
	next := time.Duration(0.75 * n.cfg.Params.Workers.ReportS * float64(time.Second))
	if !n.usable(m, now) || m.parked != nil || m.calling || m.addr == "" || n.direct >= mostDirect ||
		m.reported.Add(next).Sub(now) < worthwhile || !n.mine(n.shares[m.rec.Share]) || !n.mayAnswer(now) || n.zoneCut(m.rec.Zone, now) {
		return true
	}
	if !n.entriesReadable(n.shares[m.rec.Share]) || n.allowed(start.Start, 1) == 0 {
		return false
	}
	n.startDirectly(m, now)
	return true
}

// startDirectly starts directly what is stored for a machine and was not sent to it yet.
func (n *Node) startDirectly(m *machine, now time.Time) {
	o := protocol.Orders{Token: n.token(m), Session: m.session}
	var tasks []started
	for k := range m.on {
		j, t := k.job, &k.job.tasks[k.task]
		if t.phase != placed || t.fact != noFact || t.seen != unseen || !t.sent.IsZero() || n.unwanted(j, t) || n.overLimit(j.team) || j.claim > 0 ||
			j.spec.Shape == protocol.Gang && j.nPlacedStored() < len(j.tasks) {
			continue
		}
		t.sent = now
		o.Commands = append(o.Commands, protocol.Command{Op: protocol.OpStart, Task: protocol.TaskID(j.id, k.task), Attempt: t.attempt})
		tasks = append(tasks, started{protocol.TaskID(j.id, k.task), t.attempt})
	}
	if len(tasks) == 0 {
		return
	}
	m.calling = true
	n.direct++
	addr := m.addr
	n.spawn(func(ctx context.Context) {
		r, executed, err := n.workers.Command(ctx, addr, o)
		n.post(func() {
			n.direct--
			m.calling = false
			if n.machines[m.name] != m || !m.known || !n.mine(n.shares[m.rec.Share]) || n.token(m) != o.Token {
				return // the token was raised meanwhile: a late command does nothing
			}
			if err != nil || r == nil || r.Machine != m.name {
				n.log.Info("direct start not answered", "machine", m.name, "tasks", len(tasks), "why", err)
				m.doubt = tasks
				n.touch(m)
				return
			}
			now := time.Now()
			if executed && r.Token == o.Token && n.hearDirectly(m, r, o.Token, now) {
				n.observeAll(m, r, now)
			}
		})
	})
}

// started is a task that was started directly.
type started struct {
	task    string
	attempt uint64
}

// inDoubt says whether a direct start may still be executed that a machine does
// not show. A report that lists all of them ends the doubt.
func (m *machine) inDoubt(r *protocol.Report) bool {
	if m.calling {
		return true
	}
	if len(m.doubt) == 0 {
		return false
	}
	listed := map[started]bool{}
	for i := range r.Tasks {
		listed[started{r.Tasks[i].Task, r.Tasks[i].Attempt}] = true
	}
	for _, s := range m.doubt {
		if !listed[s] {
			return true
		}
	}
	m.doubt = nil
	return false
}

// endDoubts raises the tokens of machines of a share that are in doubt.
func (n *Node) endDoubts(s *share) {
	var ms []*machine
	for _, m := range s.machines {
		if len(m.doubt) > 0 && !m.moving && !m.gone && !m.returning && !m.batch.busy {
			ms = append(ms, m)
		}
	}
	if len(ms) > 0 {
		n.move(ms, s.index, s.index)
	}
}
