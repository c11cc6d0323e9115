package node

import (
	"context"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/start"
	"dapplestage.example/dapplestage/internal/protocol"
)

// Starts are normally sent in answers to reports. If workers report only every few seconds and the
// target leaves ten seconds for fetching and starting, a machine that has just reported is called
// directly instead. A direct command may be delayed and executed minutes later, as long as token
// and session match. So while a direct start is in flight, and after one that was not answered,
// no task that the machine reports or fails to report is taken as proof, and the machine gets no
// commands except safe stops. This ends when
//   - the answer arrives, or
//   - a report under the current token lists the tasks: then the command was executed, or
//   - the machine's token is raised and a report carries it: then it never will be.
//
// That a command was executed and answered does not mean that it has no effect any more: a copy of
// it may arrive minutes later, and starts the task again unless the worker still lists the attempt,
// its session is another one, or it has seen a higher token. So a worker never forgets an attempt
// under the token of its direct start: the answer that contains the command raises the token.
//
// Jobs of the gateway are never started directly: when the site loses its lease for them there is
// no time to wait for any of this (see sitejobs.go).

// maxDirectStarts is how many direct starts a node may have in flight.
const maxDirectStarts = 16

// minTimeSaved is how much earlier than the next report a direct start must be to be sent.
const minTimeSaved = 700 * time.Millisecond

// tryDirectStart sends the stored starts of a machine directly if its next report is not due
// soon. It returns false if it should be tried again, because the budget limits starts after a
// takeover.
func (n *Node) tryDirectStart(m *machine, now time.Time) bool {
	minReportInterval := time.Duration(0.75 * n.cfg.Params.Workers.ReportS * float64(time.Second))
	if !n.usable(m, now) || m.deferred != nil || m.startInFlight || m.addr == "" || n.directStarts >= maxDirectStarts ||
		m.lastReport.Add(minReportInterval).Sub(now) < minTimeSaved || !n.owns(n.partitions[m.rec.Partition]) || !n.mayExtendLeases(now) || n.zoneUnreachable(m.rec.Zone, now) {
		return true
	}
	if !n.logReadable(n.partitions[m.rec.Partition]) || n.takeBudget(start.Start, 1) == 0 {
		return false
	}
	n.sendDirectStarts(m, now)
	return true
}

// sendDirectStarts sends the stored starts of a machine that have not been sent yet.
func (n *Node) sendDirectStarts(m *machine, now time.Time) {
	if !n.mayRaiseToken(m) {
		return // its starts are sent in answers to reports
	}
	tasks := n.takeDirectStarts(m, now)
	if len(tasks) == 0 {
		return
	}
	orders := protocol.Orders{Session: m.session}
	for _, started := range tasks {
		n.refuseCopies(m, started.task) // this start replaces an earlier attempt
		orders.Commands = append(orders.Commands, protocol.Command{Op: protocol.OpStart, Task: started.task, Attempt: started.attempt})
	}
	orders.Token = n.fencingToken(m)
	m.noteSentStarts(tasks, orders)
	n.logDirectStarts(m, tasks, orders)
	m.startInFlight = true
	n.directStarts++
	addr := m.addr
	n.spawn(func(ctx context.Context) {
		report, executed, err := n.workers.Command(ctx, addr, orders)
		n.post(func() {
			n.directStarts--
			m.startInFlight = false
			n.countDirectStarts(tasks, err == nil && report != nil, executed)
			n.onDirectStartsAnswered(m, tasks, orders.Token, report, executed, err)
		})
	})
}

// takeDirectStarts returns the stored starts of a machine that have not been sent yet, and marks them
// as sent.
func (n *Node) takeDirectStarts(m *machine, now time.Time) (tasks []directStart) {
	for k := range m.tasks {
		j, t := k.job, &k.job.tasks[k.task]
		if t.phase != phasePlaced || t.outcome != outcomeNone || t.reportedState != reportedNone || !t.startSentAt.IsZero() || n.shouldStop(j, t) || n.overLimit(j.team) || j.claim > 0 ||
			j.spec.Shape == protocol.Gang && j.storedPlacements() < len(j.tasks) {
			continue
		}
		t.startSentAt = now
		tasks = append(tasks, directStart{protocol.TaskID(j.id, k.task), t.attempt})
	}
	return tasks
}

// onDirectStartsAnswered processes the end of a call with direct starts: the worker's report, or that
// there is no answer.
func (n *Node) onDirectStartsAnswered(m *machine, tasks []directStart, token uint64, report *protocol.Report, executed bool, err error) {
	if n.machines[m.name] != m || !m.recorded || !n.owns(n.partitions[m.rec.Partition]) || n.fencingToken(m) != token {
		return // the token was raised meanwhile: a late command has no effect
	}
	if err != nil || report == nil || report.Machine != m.name {
		n.log.Info("direct start not answered", "machine", m.name, "tasks", len(tasks), "why", err)
		m.unconfirmedStarts = tasks
		n.markStale(m)
		return
	}
	now := time.Now()
	if executed && report.Token == token && n.acceptDirectAnswer(m, report, now) {
		n.observeTasks(m, report, now)
	}
}

// directStart identifies an attempt of a task that was started directly.
type directStart struct {
	task    string
	attempt uint64
}

// sentStart is a direct start and what the worker compares before it executes a copy of it.
type sentStart struct {
	directStart
	token, session uint64
}

// noteSentStarts records direct starts as repeatable.
func (m *machine) noteSentStarts(tasks []directStart, orders protocol.Orders) {
	for _, started := range tasks {
		m.repeatableStarts = append(m.repeatableStarts, sentStart{started, orders.Token, orders.Session})
	}
}

// dropRefusedStarts drops the direct starts of which the worker, as a report shows, would refuse a
// copy.
func (m *machine) dropRefusedStarts(report *protocol.Report) {
	m.repeatableStarts = slices.DeleteFunc(m.repeatableStarts, func(s sentStart) bool {
		return s.token < report.Token || s.session < report.Session
	})
}

// refuseCopies raises a machine's token if a copy of a direct start of the task could otherwise be
// executed after the next commands.
func (n *Node) refuseCopies(m *machine, task string) {
	token := n.fencingToken(m)
	if slices.ContainsFunc(m.repeatableStarts, func(s sentStart) bool { return s.task == task && s.token >= token }) {
		n.raiseToken(m)
	}
}

// hasUnconfirmedStart reports whether a direct start may still be executed. A report that lists
// all of these tasks confirms them.
func (m *machine) hasUnconfirmedStart(report *protocol.Report) bool {
	if m.startInFlight {
		return true
	}
	if len(m.unconfirmedStarts) == 0 {
		return false
	}
	listed := map[directStart]bool{}
	for i := range report.Tasks {
		listed[directStart{report.Tasks[i].Task, report.Tasks[i].Attempt}] = true
	}
	for _, s := range m.unconfirmedStarts {
		if !listed[s] {
			return true
		}
	}
	m.unconfirmedStarts = nil
	return false
}

// fenceUnconfirmedStarts raises the tokens of the partition's machines that have unconfirmed starts.
func (n *Node) fenceUnconfirmedStarts(p *partition) {
	var machines []*machine
	for _, m := range p.machines {
		if len(m.unconfirmedStarts) > 0 && !m.moving && !m.returned && !m.returning && !m.batch.storing {
			machines = append(machines, m)
		}
	}
	if len(machines) > 0 {
		n.moveMachines(machines, p.index, p.index)
	}
}
