package node

import (
	"context"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/start"
	"dapplestage.example/dapplestage/internal/protocol"
)

// A worker may be unable to connect to any controller while direct calls still reach it. Such calls
// don't renew its lease, but their answers are reports: they show which tasks have completed, and
// prove tasks gone. So the owner polls silent machines that have tasks. A machine that answers is
// kept until its lease expires, since some of its tasks complete by then. Tasks that would not
// complete are stopped early enough to save a checkpoint and continue elsewhere. Replicas of
// services run until the lease expires and are started again on the same machine.

// pollSilent polls silent machines that have tasks and stops the tasks that should leave them, as
// far as the budget for direct calls allows.
func (n *Node) pollSilent(machines []*machine, now time.Time) {
	for _, m := range machines {
		if !n.mayPoll(m, now) {
			continue
		}
		leaving := n.leavingTasks(m, now)
		if len(leaving) == 0 && now.Before(m.nextPoll) {
			continue
		}
		if n.loadControl.budget.TakeCalls(start.Poll, 1) == 0 {
			return
		}
		n.evacuate(m, leaving, now)
		n.poll(m, now)
	}
}

// mayPoll reports whether a machine is silent, has tasks and may be called directly.
func (n *Node) mayPoll(m *machine, now time.Time) bool {
	return len(m.tasks) > 0 && m.fenced && !m.lastFencedReport.IsZero() && m.addr != "" && m.deferred == nil &&
		!m.pollInFlight && !m.startInFlight && !m.moving && !m.returning && !m.returned &&
		now.Sub(n.silentSince(m)) > n.overdueTimeout()
}

// poll asks a machine directly for a report, and repeats the stops that it may have missed.
func (n *Node) poll(m *machine, now time.Time) {
	m.pollInFlight, m.nextPoll = true, now.Add(2*n.pollInterval(m))
	orders := protocol.Orders{Token: n.fencingToken(m), Session: m.session, Commands: n.pendingStops(m)}
	addr := m.addr
	n.spawn(func(ctx context.Context) {
		// The body of a refusal is a report, too.
		report, _, err := n.workers.Command(ctx, addr, orders)
		n.post(func() {
			m.pollInFlight = false
			n.loadControl.budget.CallEnded()
			if err == nil && report != nil {
				n.onPolled(m, report, orders.Token, time.Now())
			}
		})
	})
}

// pollInterval is how often a silent machine is polled: more often while tasks are stopping.
func (n *Node) pollInterval(m *machine) time.Duration {
	interval := n.seconds(n.cfg.Params.Workers.ReportS)
	if n.hasStoppingTask(m) {
		return interval / 3
	}
	return interval
}

// pendingStops returns commands that stop the tasks that should leave a machine.
func (n *Node) pendingStops(m *machine) []protocol.Command {
	commands := []protocol.Command{}
	for k := range m.tasks {
		if t := &k.job.tasks[k.task]; t.phase == phasePlaced && t.outcome == outcomeNone && n.shouldStop(k.job, t) {
			commands = append(commands, protocol.Command{Op: protocol.OpStop, Task: protocol.TaskID(k.job.id, k.task), Attempt: t.attempt, GraceS: t.stopGraceS})
		}
	}
	return commands
}

// onPolled processes the answer to a poll that was sent under a token.
func (n *Node) onPolled(m *machine, report *protocol.Report, token uint64, now time.Time) {
	n.noteWorkerContact(now)
	if report.Machine != m.name || n.machines[m.name] != m || !m.recorded || !n.owns(n.partitions[m.rec.Partition]) || n.fencingToken(m) != token || report.Token != token {
		return
	}
	expired, first := report.Session > m.session, !m.reachableOnlyDirectly()
	if !n.acceptDirectAnswer(m, report, now) {
		return // the worker has sent a report of its own meanwhile
	}
	if first && m.reachableOnlyDirectly() {
		n.log.Info("worker answers but does not report", "machine", m.name, "tasks", len(m.tasks), "silent_s", roundToTenth(now.Sub(n.silentSince(m)).Seconds()))
	}
	n.observeTasks(m, report, now)
	if expired {
		m.unconfirmedStarts, m.leaseExpirySeen = nil, now
	}
	n.recordAbsentTasks(m, report, expired, now)
	m.nextPoll = now.Add(n.pollInterval(m))
	if end := n.estimatedLeaseEnd(m).Add(expiryMargin); end.After(now) && end.Before(m.nextPoll) {
		m.nextPoll = end
	}
}

// expiryMargin is how long after the estimated end of a lease a machine is polled.
const expiryMargin = 200 * time.Millisecond

// acceptDirectAnswer accepts the header of the report in the answer to a direct call. It returns
// false if a newer report was accepted already. The answer does not show that the worker can reach
// this node.
func (n *Node) acceptDirectAnswer(m *machine, report *protocol.Report, now time.Time) bool {
	if !n.acceptReportHeader(m, report, now) {
		return false
	}
	n.markStale(m)
	switch {
	case !n.showsOwnToken(m, report):
	case m.lastFencedReport.IsZero():
		m.lastFencedReport = now // the machine is up; its silence timeout starts as after a report
	case now.Sub(n.silentSince(m)) > n.overdueTimeout():
		m.lastDirectAnswer = now
	}
	return true
}

// recordAbsentTasks marks tasks as gone that the answer to a poll proves not to be on a machine. The
// token in the poll fences off the starts of earlier owners. A start of this owner was never sent,
// or belongs to a session that has expired, in which case the worker drops it.
func (n *Node) recordAbsentTasks(m *machine, report *protocol.Report, expired bool, now time.Time) {
	listed := make(map[directStart]bool, len(report.Tasks))
	for i := range report.Tasks {
		listed[directStart{report.Tasks[i].Task, report.Tasks[i].Attempt}] = true
	}
	restart := false
	for k := range m.tasks {
		t := &k.job.tasks[k.task]
		if t.phase != phasePlaced || t.outcome != outcomeNone || listed[directStart{protocol.TaskID(k.job.id, k.task), t.attempt}] {
			continue
		}
		neverSent := t.startSentAt.IsZero() && t.reportedState == reportedNone
		if !expired && !neverSent {
			continue
		}
		n.runLost(k.job, t, now)
		if n.restartable(m, k.job, t, now) {
			t.startSentAt, t.reportedState = time.Time{}, reportedNone
			restart = true
		} else {
			n.recordOutcome(k.job, k.task, outcomeGone)
		}
	}
	if restart {
		n.restartDirectly(m, now)
	}
}

// restartable reports whether a task that ended with its machine's lease should be started again
// there, under another lease: a replica, since elsewhere it would wait for its image, and any task
// that is not of a gang while no task can be placed elsewhere.
func (n *Node) restartable(m *machine, j *job, t *task, now time.Time) bool {
	return !t.runningSince.IsZero() && (j.spec.Shape == protocol.Service || j.spec.Shape == protocol.Array && !n.canPlace(now)) &&
		j.claim == 0 && !n.shouldStop(j, t) && !n.overLimit(j.team) && !m.spotNotice &&
		n.mayExtendLeases(now) && now.Sub(n.silentSince(m)) <= maxZoneOutage
}

// restartDirectly starts the tasks of a silent machine that were not sent in its session.
func (n *Node) restartDirectly(m *machine, now time.Time) {
	if m.startInFlight || m.deferred != nil || len(m.unconfirmedStarts) > 0 || n.directStarts >= maxDirectStarts || n.zoneUnreachable(m.rec.Zone, now) || n.takeBudget(start.Start, 1) == 0 {
		return // the next poll finds them again
	}
	n.sendDirectStarts(m, now)
}

// canPlace reports whether placements can be stored now.
func (n *Node) canPlace(now time.Time) bool { return n.sinceContact(now) <= 2*time.Second }

// reachableOnlyDirectly reports whether a machine has answered a direct call while its reports
// were overdue: its worker is alive but reaches no controller.
func (m *machine) reachableOnlyDirectly() bool {
	return !m.lastFencedReport.IsZero() && m.lastDirectAnswer.After(m.lastFencedReport)
}

// worksUntilLeaseEnd reports whether a silent machine is known to continue its tasks until its
// lease expires.
func (n *Node) worksUntilLeaseEnd(m *machine, now time.Time) bool {
	return len(m.tasks) > 0 && m.reachableOnlyDirectly() && now.Before(n.estimatedLeaseEnd(m).Add(n.seconds(n.cfg.Params.Workers.ReportS)/2)) &&
		now.Sub(m.lastDirectAnswer).Seconds() < 2.5*n.cfg.Params.Workers.ReportS
}

// estimatedLeaseEnd estimates when a machine's lease expires if no other report of it is answered.
// The estimate is for planning and proves nothing: after a takeover the node may know only that the
// lease had not expired at some time.
func (n *Node) estimatedLeaseEnd(m *machine) time.Time {
	lease := n.seconds(n.cfg.Params.Workers.LeaseS)
	end := latest(m.lastReport, m.leaseExpirySeen).Add(lease)
	if end.Before(m.lastFencedReport) {
		end = m.lastFencedReport.Add(lease)
	}
	return end
}

// leavingTasks returns the tasks of a silent machine that should be stopped now, because they would
// not complete before its lease expires: all of them after the silence timeout, if they can be
// placed elsewhere, and tasks with checkpoints while there is time to save. If most machines of a
// zone are silent, the cause is most likely the network or this node, and nothing is stopped.
func (n *Node) leavingTasks(m *machine, now time.Time) []taskKey {
	silence := now.Sub(latest(n.silentSince(m), n.reachability.zoneUnreachableAt[m.rec.Zone]))
	if !m.reachableOnlyDirectly() || silence.Seconds() <= n.silentAfterS() {
		return nil
	}
	remaining := n.estimatedLeaseEnd(m).Sub(now)
	var leaving []taskKey
	for k := range m.tasks {
		j, t := k.job, &k.job.tasks[k.task]
		if t.phase != phasePlaced || t.outcome != outcomeNone || n.shouldStop(j, t) || !endsWithLease(j, t, remaining, now) {
			continue
		}
		limit := n.silenceTimeout()
		if j.spec.Shape == protocol.Service {
			limit = maxZoneOutage // it is started again there when the lease has expired
		}
		movable := silence > limit && n.canPlace(now)
		if mustSave := j.spec.CheckpointS > 0 && remaining < n.saveTime(j); movable || mustSave {
			leaving = append(leaving, k)
		}
	}
	return leaving
}

// endsWithLease reports whether a task is not expected to complete within the rest of its machine's
// lease.
func endsWithLease(j *job, t *task, remaining time.Duration, now time.Time) bool {
	needed := time.Duration(j.spec.EstimateS*float64(time.Second)) - now.Sub(latest(t.phaseSince, t.runningSince))
	return j.spec.Shape == protocol.Service || needed > remaining
}

// saveMargin is how much earlier than necessary tasks are told to save.
const saveMargin = 2 * time.Second

// saveTime is how long before the end of a lease a task must be told to save.
func (n *Node) saveTime(j *job) time.Duration {
	seconds := j.spec.SaveS
	if j.spec.Shape == protocol.Gang {
		seconds += n.cfg.Params.Workers.GangPeerS
	}
	return n.seconds(seconds) + saveMargin
}

// evacuate makes tasks leave a silent machine; the next poll sends the commands. The other tasks of
// their gangs are told directly: all must be told within gang_peer_s to save.
func (n *Node) evacuate(m *machine, leaving []taskKey, now time.Time) {
	if len(leaving) == 0 {
		return
	}
	n.log.Info("silent machine evacuated", "machine", m.name, "tasks", len(leaving), "of", len(m.tasks), "lease_left_s", roundToTenth(n.estimatedLeaseEnd(m).Sub(now).Seconds()))
	for _, k := range leaving {
		if n.shouldStop(k.job, &k.job.tasks[k.task]) {
			continue // stopped with another task of its gang
		}
		n.stopTask(k.job, k.task)
		if k.job.spec.Shape == protocol.Gang {
			n.stopTasksDirectly(k.job)
		}
	}
}
