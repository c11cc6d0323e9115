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

// maxDirectStarts is how many direct starts a node has under way at a time.
const maxDirectStarts = 16

// worthwhile is how much sooner than with the next report a direct start must be.
const worthwhile = 700 * time.Millisecond

// tryDirectStart starts directly what is stored for a machine, if its next report is
// some time off. It returns false if this should be tried again, since after a take-over
// starts are under a budget.
func (n *Node) tryDirectStart(m *machine, now time.Time) bool {
	next := time.Duration(0.75 * n.cfg.Params.Workers.ReportS * float64(time.Second))
	if !n.usable(m, now) || m.deferred != nil || m.startInFlight || m.addr == "" || n.directStarts >= maxDirectStarts ||
		m.lastReport.Add(next).Sub(now) < worthwhile || !n.owns(n.partitions[m.rec.Partition]) || !n.mayExtendLeases(now) || n.zoneUnreachable(m.rec.Zone, now) {
		return true
	}
	if !n.logReadable(n.partitions[m.rec.Partition]) || n.takeBudget(start.Start, 1) == 0 {
		return false
	}
	n.sendDirectStarts(m, now)
	return true
}

// sendDirectStarts starts directly what is stored for a machine and was not sent to it yet.
func (n *Node) sendDirectStarts(m *machine, now time.Time) {
	o := protocol.Orders{Token: n.fencingToken(m), Session: m.session}
	var tasks []directStart
	for k := range m.tasks {
		j, t := k.job, &k.job.tasks[k.task]
		if t.phase != phasePlaced || t.outcome != outcomeNone || t.reportedState != reportedNone || !t.startSentAt.IsZero() || n.shouldStop(j, t) || n.overLimit(j.team) || j.claim > 0 ||
			j.spec.Shape == protocol.Gang && j.storedPlacements() < len(j.tasks) {
			continue
		}
		t.startSentAt = now
		o.Commands = append(o.Commands, protocol.Command{Op: protocol.OpStart, Task: protocol.TaskID(j.id, k.task), Attempt: t.attempt})
		tasks = append(tasks, directStart{protocol.TaskID(j.id, k.task), t.attempt})
	}
	if len(tasks) == 0 {
		return
	}
	m.startInFlight = true
	n.directStarts++
	addr := m.addr
	n.spawn(func(ctx context.Context) {
		r, executed, err := n.workers.Command(ctx, addr, o)
		n.post(func() {
			n.directStarts--
			m.startInFlight = false
			if n.machines[m.name] != m || !m.recorded || !n.owns(n.partitions[m.rec.Partition]) || n.fencingToken(m) != o.Token {
				return // the token was raised meanwhile: a late command does nothing
			}
			if err != nil || r == nil || r.Machine != m.name {
				n.log.Info("direct start not answered", "machine", m.name, "tasks", len(tasks), "why", err)
				m.unconfirmedStarts = tasks
				n.markStale(m)
				return
			}
			now := time.Now()
			if executed && r.Token == o.Token && n.acceptDirectAnswer(m, r, o.Token, now) {
				n.observeTasks(m, r, now)
			}
		})
	})
}

// directStart is a task that was started directly.
type directStart struct {
	task    string
	attempt uint64
}

// hasUnconfirmedStart says whether a direct start may still be executed that a machine does
// not show. A report that lists all of them ends the doubt.
func (m *machine) hasUnconfirmedStart(r *protocol.Report) bool {
	if m.startInFlight {
		return true
	}
	if len(m.unconfirmedStarts) == 0 {
		return false
	}
	listed := map[directStart]bool{}
	for i := range r.Tasks {
		listed[directStart{r.Tasks[i].Task, r.Tasks[i].Attempt}] = true
	}
	for _, s := range m.unconfirmedStarts {
		if !listed[s] {
			return true
		}
	}
	m.unconfirmedStarts = nil
	return false
}

// fenceUnconfirmedStarts raises the tokens of machines of a share that are in doubt.
func (n *Node) fenceUnconfirmedStarts(s *partition) {
	var ms []*machine
	for _, m := range s.machines {
		if len(m.unconfirmedStarts) > 0 && !m.moving && !m.returned && !m.returning && !m.batch.storing {
			ms = append(ms, m)
		}
	}
	if len(ms) > 0 {
		n.moveMachines(ms, s.index, s.index)
	}
}
