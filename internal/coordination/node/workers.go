package node

import (
	"container/heap"
	"context"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/start"
	"dapplestage.example/dapplestage/internal/coordination/ticket"
	"dapplestage.example/dapplestage/internal/protocol"
)

// taskKey identifies a task of a job.
type taskKey struct {
	job  *job
	task int
}

// machine is a machine of the fleet: its record, the tasks on it and the resources that they
// use, and the latest state reported by its worker.
type machine struct {
	name     string
	recorded bool // it has a record in the state service
	rec      protocol.MachineRecord
	batch    *batch // the batch that contains its record
	tasks    map[taskKey]struct{}
	used     Resources
	// usedByPartition is the part of used by the tasks of each partition's jobs.
	usedByPartition []Resources

	addr              string
	trackedSince      time.Time // start of the silence timeouts: record first seen, or partition taken over
	lastFencedReport  time.Time // last report that carried the current token
	session           uint64
	seq               uint64
	fenced            bool // a report with the current token has arrived
	spotNotice        bool // the cloud has announced that it will reclaim the machine
	returning         bool
	returnRetryAt     time.Time
	idleSince         time.Time // zero: tasks are recorded on it
	idleSinceUnknown  bool      // this node did not see it become idle
	moving            bool
	faults            machineFaults // evidence that the machine is faulty
	returned          bool          // the cloud has confirmed its return
	startInFlight     bool          // a direct start is in flight
	unconfirmedStarts []directStart // direct starts that were not answered
	repeatableStarts  []sentStart   // direct starts of which a copy may still be executed; see starts.go
	raisedToken       uint64        // the token to which this owner has raised it; see tokens.go
	pollInFlight      bool          // a poll is in flight; see unreported.go
	nextPoll          time.Time     // earliest time of the next poll
	lastDirectAnswer  time.Time     // when it last answered a direct call while its reports were overdue
	leaseExpirySeen   time.Time     // when a poll last showed that its lease had expired
	lastReport        time.Time     // when it last reported, to this node or, according to hints, to its owner
	lastHint          time.Time     // when a hint of its owner last mentioned it
	unlisted          bool          // missing from the cloud's last list
	firstSeen         time.Time     // when this node first saw its record
	avoidUntil        time.Time     // no new tasks are placed on it before
	answerAt          time.Time     // when to answer the deferred report; zero: at its deadline
	deferred          *deferredReport
	images            []protocol.CachedImage // most recently used last
	secPerGB          float64                // measured seconds per GB fetched; 0: unknown
	fetchStartedAt    map[string]time.Time
	cordoned          bool
	excludedJobs      map[string]time.Time    // IDs of jobs that failed on it again and again, and until when they may not use it
	lentParts         map[int]*decide.Machine // decision facts of the parts that are lent, by borrowing partition
	earmarkedFor      *job                    // job for which free resources on it are kept
	earmarkedUntil    time.Time
	gangReservation   bool           // they are kept by a gang's reservation, not by preemption
	needed            bool           // by waiting or expected jobs
	facts             decide.Machine // what package decide knows of it; see facts.go
	factsStale        bool           // the facts must be rebuilt
}

// addUse adds what tasks of a partition's jobs use of a machine, or subtracts it.
func (m *machine) addUse(partition int, need Resources, factor float64) {
	m.used = m.used.Add(need, factor)
	for len(m.usedByPartition) <= partition {
		m.usedByPartition = append(m.usedByPartition, Resources{})
	}
	m.usedByPartition[partition] = m.usedByPartition[partition].Add(need, factor)
}

// usedBy returns what the tasks of a partition's jobs use on a machine.
func (m *machine) usedBy(partition int) Resources {
	if partition >= len(m.usedByPartition) {
		return Resources{}
	}
	return m.usedByPartition[partition]
}

// deferredReport is a report whose answer is delayed so that a start can be sent as soon as it
// is stored.
type deferredReport struct {
	report *protocol.Report
	until  time.Time
	reply  chan<- answer
}

// answer is the answer to a request.
type answer struct {
	status      int
	body        any
	retryAfterS int
}

// findOrAddMachine returns the machine of that name. If its record has not been read yet, it
// adds a machine without a record.
func (n *Node) findOrAddMachine(name string) *machine {
	m := n.machines[name]
	if m == nil {
		now := time.Now()
		m = &machine{name: name, cordoned: slices.Contains(n.policy.HeldBack, name), tasks: map[taskKey]struct{}{}, trackedSince: now, idleSince: now, idleSinceUnknown: !n.loaded, fetchStartedAt: map[string]time.Time{}}
		n.machines[name] = m
		n.markStale(m)
	}
	return m
}

// setMachine applies a machine record read from a batch.
func (n *Node) setMachine(batch *batch, rec protocol.MachineRecord) {
	m := n.findOrAddMachine(rec.Name)
	if m.recorded && m.batch != batch && rec.Token < m.rec.Token {
		// A rental's write was executed late: its answer was lost, the write was retried, and
		// the machine was moved in between. The higher token identifies the newer record, in
		// whatever order the two are read. The owner repairs the batch.
		n.log.Warn("a record of a machine is older than its move, and is dropped", "machine", rec.Name, "batch", batch.key, "moved_in", m.batch.key)
		n.metrics.guardRefusals.WithLabelValues("old_record").Inc()
		batch.markDirty(time.Now())
		return
	}
	m.batch = batch
	n.markStale(m)
	if m.recorded && (m.rec.Partition != rec.Partition || m.rec.Token != rec.Token) {
		n.removeFromPartition(m)
		m.unfence()
		m.moving = false
		n.rejectDeferred(m)
		// The silence timeout of a machine that this owner has never heard from starts now.
		// Otherwise every moved machine was at once given up as one that never booted.
		m.trackedSince, m.lastFencedReport = time.Now(), time.Time{}
		m.avoidUntil = time.Time{} // it was kept free for the move
	}
	if !m.recorded {
		m.unfence()
		m.moving, m.returning, m.returned = false, false, false
		m.trackedSince, m.lastFencedReport = time.Now(), time.Time{}
		m.firstSeen = m.trackedSince
	}
	m.recorded = true
	m.rec = rec
	n.adoption.Remove(m.name)
	if rec.Addr != "" {
		m.addr = rec.Addr
	}
	n.addToPartition(m)
}

// dropMachine marks a machine as unrecorded, because its batch no longer contains it.
func (n *Node) dropMachine(name string) {
	m := n.machines[name]
	if m == nil {
		return
	}
	if m.recorded {
		n.removeFromPartition(m)
	}
	// It is removed by the next check of the machines, not at once: the two writes of a move
	// may be seen in either order, and the machine still has its images.
	m.recorded = false
	n.markStale(m)
	n.rejectDeferred(m)
}

// unfence discards what the worker reported under an earlier token.
func (m *machine) unfence() {
	m.fenced = false
	m.unconfirmedStarts = nil // the token is higher now: late commands have no effect
}

// mayExtendLeases reports whether answers to reports may still extend the workers' leases.
// Without the state service a cancellation may be missed. That does no harm if users are told
// of a cancellation only when nothing of the job is left. Otherwise the last answer must be early
// enough for the lease to end within cancel_s of the cancellation. The time counts from when this
// node last knew everything stored, not from its last answered call: when the watch was silent
// for seconds before an outage while other calls were answered, the node missed cancellations
// that users had been told of meanwhile (TestLeaderLossThenOutage).
func (n *Node) mayExtendLeases(now time.Time) bool {
	if n.confirmsCancelAfterStop() {
		return true
	}
	params := n.cfg.Params.Workers
	limit := (params.CancelS-params.LeaseS)*0.99 - 2
	return now.Sub(n.completeAt).Seconds() < limit
}

// onReport answers a worker's report. It calls reply exactly once, perhaps later.
func (n *Node) onReport(report *protocol.Report, now time.Time, reply chan<- answer) {
	n.noteWorkerContact(now)
	if !n.loaded {
		reply <- answer{status: 503}
		return
	}
	m := n.machines[report.Machine]
	if m == nil || !m.recorded {
		n.onUnrecordedReport(report, now, reply)
		return
	}
	p := n.partitions[m.rec.Partition]
	if !n.owns(p) {
		n.redirect(report, p, m, now, reply)
		return
	}
	if !n.mayExtendLeases(now) {
		n.metrics.guardRefusals.WithLabelValues("store_lost").Inc()
		reply <- answer{status: 503}
		return
	}
	token := n.fencingToken(m)
	if report.Token > token {
		// Another node has become the owner, and this replica does not show it yet.
		n.metrics.guardRefusals.WithLabelValues("token").Inc()
		reply <- answer{status: 503}
		return
	}
	if !n.acceptWorkerReport(m, report, now) {
		// An old report, delayed on its way or overtaken by the answer to a direct call: its
		// task list may be out of date. The answer contains no commands.
		n.metrics.guardRefusals.WithLabelValues("old_report").Inc()
		reply <- answer{status: 200, body: protocol.Orders{Token: token, Commands: []protocol.Command{}}}
		return
	}
	m.lastReport = now
	if !m.fenced || m.hasUnconfirmedStart(report) || !n.logReadable(n.partitions[m.rec.Partition]) {
		reply <- answer{status: 200, body: protocol.Orders{Token: token, Commands: n.stopsForReport(report, now)}}
		return
	}
	cmds := n.commandsFor(m, report, now)
	if len(cmds) == 0 && n.deferAnswer(m, report, now, reply) {
		return
	}
	reply <- answer{status: 200, body: protocol.Orders{Token: n.fencingToken(m), Commands: cmds}}
}

// stopsForReport returns commands that stop the reported tasks that are no longer wanted. They
// are safe in every answer, also where nothing else may be commanded or concluded: each one names
// an attempt of a job that is over, or that may not run here, whoever owns the partition.
// (Without them, cancelled tasks on a machine with an unconfirmed start ran on for as long as
// the state service was down.)
func (n *Node) stopsForReport(report *protocol.Report, now time.Time) []protocol.Command {
	cmds := []protocol.Command{}
	for i := range report.Tasks {
		taskReport := &report.Tasks[i]
		id, _, _ := protocol.ParseTaskID(taskReport.Task)
		// If there is a gateway and the site's lease has expired, unknown jobs are stopped too: a
		// replica that lags does not know the gateway's newest jobs.
		j := n.jobs[id]
		if (j != nil && (j.cancelled || n.cancelledByHint(j) || n.blockedBySiteLease(j, now)) || j == nil && n.SiteDaemonHost != "" && n.gatewayJobsBlocked(now)) && taskReport.State != protocol.TaskExited {
			cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: taskReport.Task, Attempt: taskReport.Attempt})
		}
	}
	return cmds
}

// acceptWorkerReport accepts the header of a report that the worker has sent by itself, which
// shows that it reaches this node. It returns false if a newer report was accepted already.
func (n *Node) acceptWorkerReport(m *machine, report *protocol.Report, now time.Time) bool {
	if !n.acceptReportHeader(m, report, now) {
		return false
	}
	if n.showsOwnToken(m, report) {
		m.lastFencedReport = now
	}
	return true
}

// acceptReportHeader accepts everything in a report except its tasks. It returns false if a newer
// report was accepted already.
func (n *Node) acceptReportHeader(m *machine, report *protocol.Report, now time.Time) bool {
	if report.Session < m.session || report.Session == m.session && report.Seq <= m.seq {
		return false
	}
	n.answerDeferred(m, now) // the worker no longer waits for the answer to an earlier report
	if m.session != 0 && report.Session > m.session {
		n.log.Info("worker's lease ran out", "machine", m.name, "tasks", len(m.tasks), "silent_s", roundToTenth(now.Sub(n.silentSince(m)).Seconds()))
	}
	m.session, m.seq = report.Session, report.Seq
	m.dropRefusedStarts(report)
	n.markStale(m)
	if report.Addr != "" && report.Addr != m.rec.Addr {
		m.addr = report.Addr
		m.batch.markDirty(now)
	}
	if n.showsOwnToken(m, report) {
		if !m.fenced {
			n.log.Debug("machine is fenced", "machine", m.name, "token", report.Token)
			n.replan = true
			n.machineReconciled(m, now)
		}
		m.fenced = true
	} else {
		n.partitions[m.rec.Partition].reconciliation.NoteUnfencedReport(m.name, now)
	}
	notice := report.NoticeS != nil
	if notice && !m.spotNotice {
		n.log.Info("spot notice", "machine", m.name, "seconds", *report.NoticeS)
		n.drain(m, *report.NoticeS)
	}
	m.spotNotice = notice
	return true
}

// commandsFor takes the task list of a report under this owner's token as the state of the
// machine, records the outcomes that it proves, and returns the commands for the worker. They must
// be sent under the machine's token as it is then: it is raised before a worker forgets an attempt
// whose start could otherwise be executed again.
func (n *Node) commandsFor(m *machine, report *protocol.Report, now time.Time) []protocol.Command {
	cmds := []protocol.Command{}
	listed := make(map[taskKey]bool, len(report.Tasks))
	for i := range report.Tasks {
		taskReport := &report.Tasks[i]
		id, number, _ := protocol.ParseTaskID(taskReport.Task)
		j := n.jobs[id]
		var t *task
		if j != nil && number < len(j.tasks) {
			t = &j.tasks[number]
		}
		if t == nil && n.mayBeInCorruptValue(id, number) {
			continue
		}
		if t == nil || t.phase != phasePlaced || t.machine != m || t.attempt != taskReport.Attempt {
			// Not recorded here: the task is over, or was left behind by an earlier owner.
			if taskReport.State == protocol.TaskExited {
				n.refuseCopies(m, taskReport.Task)
				n.logForgotten(m, taskReport, t)
				cmds = append(cmds, protocol.Command{Op: protocol.OpForget, Task: taskReport.Task, Attempt: taskReport.Attempt})
			} else {
				n.noteMisplacedTask(m, taskReport, t)
				cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: taskReport.Task, Attempt: taskReport.Attempt})
			}
			continue
		}
		listed[taskKey{j, number}] = true
		n.observeTask(m, j, number, taskReport, now)
		if taskReport.State != protocol.TaskExited && n.shouldStop(j, t) && (taskReport.State != protocol.TaskSaving || j.cancelled || n.cancelledByHint(j) || n.blockedBySiteLease(j, now)) {
			grace := t.stopGraceS
			if j.cancelled || n.cancelledByHint(j) || n.blockedBySiteLease(j, now) {
				grace = 0
			}
			cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: taskReport.Task, Attempt: taskReport.Attempt, GraceS: grace})
		}
	}
	for k := range m.tasks {
		j, t := k.job, &k.job.tasks[k.task]
		if t.phase != phasePlaced || listed[k] || t.outcome != outcomeNone {
			continue
		}
		switch {
		case n.shouldStop(j, t) || m.returning:
			// Any start sent by this node was in an answer to an earlier report, and the token
			// fences off the starts of earlier owners: the task is not there and never will be.
			n.recordOutcome(j, k.task, outcomeGone)
		case n.overLimit(j.team):
			// An earlier owner gave the place of a task that was over to another one and did
			// not store its end. If the lease has expired since, the report lists neither.
			// Not both may be started; this one is proven not to be there.
			n.recordOutcome(j, k.task, outcomeGone)
		case j.spec.Shape == protocol.Gang && j.storedPlacements() < len(j.tasks):
			// A gang starts only once all its placements are stored.
		case j.spec.Shape == protocol.Gang && t.reportedState >= reportedRunning:
			// It ran and was lost when the lease expired: the gang must start again.
			n.runLost(j, t, now)
			n.recordOutcome(j, k.task, outcomeGone)
		default:
			n.runLost(j, t, now)
			t.startSentAt = now
			t.reportedState = reportedNone
			cmds = append(cmds, protocol.Command{Op: protocol.OpStart, Task: protocol.TaskID(j.id, k.task), Attempt: t.attempt})
		}
	}
	return cmds
}

// storedPlacements returns the number of tasks whose machine is stored.
func (j *job) storedPlacements() int {
	c := 0
	for i := range j.tasks {
		if j.tasks[i].phase == phasePlaced {
			c++
		}
	}
	return c
}

// shouldStop reports whether a placed task should leave its machine.
func (n *Node) shouldStop(j *job, t *task) bool {
	return j.cancelled || n.cancelledByHint(j) || j.abortAttempt || t.stopRequested || j.claim > 0 && n.blockedBySiteLease(j, time.Now())
}

// observeTask applies the reported state of one task that is recorded on the machine.
func (n *Node) observeTask(m *machine, j *job, number int, report *protocol.TaskReport, now time.Time) {
	t := &j.tasks[number]
	n.markStale(m)
	was := t.reportedState
	t.reportedState = reportedStates[report.State]
	switch report.State {
	case protocol.TaskFetching:
		if _, ok := m.fetchStartedAt[j.spec.Image]; !ok {
			m.fetchStartedAt[j.spec.Image] = now
		}
	case protocol.TaskWaiting, protocol.TaskRunning:
		if was != reportedRunning && t.reportedState == reportedRunning {
			n.runStarted(j, number, now)
		}
		if j.firstRunningAt.IsZero() && report.State == protocol.TaskRunning {
			j.firstRunningAt = now
			if !t.startSentAt.IsZero() { // otherwise it ran before this node took over the partition
				observeSince(n.metrics.start.WithLabelValues(n.metrics.classLabel(j.spec.Class)), j.submitted, now)
				n.log.Info("job started", "job", j.id, "class", j.spec.Class, "wait_s", now.Sub(j.submitted).Seconds(), "image_gb", j.spec.ImageGB)
			}
		}
		if was != t.reportedState {
			m.noteImageFetched(j.spec.Image, j.spec.ImageGB, n.machineTypes[m.rec.Type], now)
		}
		if report.State == protocol.TaskRunning {
			n.noteTaskSuccess(j, t, m, false, now)
		}
	case protocol.TaskExited:
		if report.Cause == protocol.CauseDone {
			n.runEnded(j, t, now)
			n.recordOutcome(j, number, outcomeFinished)
			m.noteImageFetched(j.spec.Image, j.spec.ImageGB, n.machineTypes[m.rec.Type], now)
			n.noteTaskSuccess(j, t, m, true, now)
			return
		}
		if t.outcome == outcomeNone {
			j.history.countFailedStart(report.Cause)
			j.history.addEvent(now, "a task ended on "+m.name+": "+report.Cause)
			n.log.Info("task exited", "task", report.Task, "machine", m.name, "cause", report.Cause, "saved", report.Saved)
			if j.step != nil && ticket.CountsAsRetry(report.Cause) {
				// Counted together with the end, in the same change: a repeated report, or another
				// owner, finds the end already recorded or stored.
				t.unstoredError, j.hasErrors = true, true
			}
			switch report.Cause {
			case protocol.CauseError:
				n.noteTaskFailure(j, report.Attempt, m, now)
			case protocol.CauseNoCapacity, protocol.CauseBusy, protocol.CauseUnknown:
				m.avoidUntil = now.Add(3 * time.Second)
			}
		}
		n.recordOutcome(j, number, outcomeGone)
	}
}

// noteImageFetched records that an image is cached on the machine, and how long the fetch took.
func (m *machine) noteImageFetched(image string, imageGB float64, machineType *protocol.MachineType, now time.Time) {
	if since, ok := m.fetchStartedAt[image]; ok {
		delete(m.fetchStartedAt, image)
		if imageGB > 0 {
			if took := now.Sub(since).Seconds() / imageGB; m.secPerGB == 0 {
				m.secPerGB = took
			} else {
				m.secPerGB += 0.3 * (took - m.secPerGB)
			}
		}
	}
	total := imageGB
	kept := m.images[:0]
	for _, cached := range m.images {
		if cached.Name != image {
			kept = append(kept, cached)
			total += cached.GB
		}
	}
	m.images = append(kept, protocol.CachedImage{Name: image, GB: imageGB})
	for machineType != nil && total > machineType.CacheGB && len(m.images) > 1 {
		total -= m.images[0].GB
		m.images = m.images[1:]
	}
}

// hasImage reports whether an image is cached on the machine or being fetched.
func (m *machine) hasImage(image string) bool {
	if _, ok := m.fetchStartedAt[image]; ok {
		return true
	}
	for _, im := range m.images {
		if im.Name == image {
			return true
		}
	}
	return false
}

// failoverTime is how long a worker may take to find another node when its own stops answering:
// it waits 4 s for an answer, then 1 s, and may be redirected once.
const failoverTime = 6500 * time.Millisecond

// maxDeferral is how long the answer to a report may be deferred to wait for a start. A lease
// counts from when the last answered report was sent, so the deferral shortens it if this node
// fails before the next report.
func (n *Node) maxDeferral(m *machine) time.Duration {
	params := n.cfg.Params.Workers
	wait := min(n.seconds(params.ReportS), max(0, n.seconds(params.LeaseS-1.25*params.ReportS)-failoverTime))
	for k := range m.tasks {
		if k.job.spec.Shape != protocol.Service {
			// The end of a task is not reported before this report is answered.
			return min(wait*55/100, 3300*time.Millisecond)
		}
	}
	return min(wait, 3300*time.Millisecond)
}

// deferAnswer defers the answer to a report. A worker drops answers after 4 s, so the deferral
// is never longer than 3.3 s.
func (n *Node) deferAnswer(m *machine, report *protocol.Report, now time.Time, reply chan<- answer) bool {
	if m.spotNotice || m.returning || len(m.tasks) > 0 && !n.hasAllResources(m) && !m.hasPendingOutcomes() {
		return false
	}
	m.answerAt = time.Time{}
	m.deferred = &deferredReport{report: report, until: now.Add(n.maxDeferral(m)), reply: reply}
	heap.Push(&n.dueAnswers, dueReport{m.deferred.until, m})
	return true
}

// hasPendingOutcomes reports whether outcomes of tasks of the machine are about to be stored, after
// which there will be commands for it.
func (m *machine) hasPendingOutcomes() bool {
	for k := range m.tasks {
		if k.job.tasks[k.task].outcome != outcomeNone {
			return true
		}
	}
	return false
}

// dueReport is the time at which the deferred report of a machine may have to be answered. An
// entry that is out of date is ignored when its time comes.
type dueReport struct {
	at      time.Time
	machine *machine
}

// dueHeap orders these entries by time. Searching the whole fleet on every event took most of
// the processor time of a small controller.
type dueHeap []dueReport

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)        { *h = append(*h, x.(dueReport)) }
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// scheduleAnswer makes the deferred report of a machine be answered at a given time at the latest.
func (n *Node) scheduleAnswer(m *machine, at time.Time) {
	if m.deferred != nil && (m.answerAt.IsZero() || at.Before(m.answerAt)) {
		m.answerAt = at
		heap.Push(&n.dueAnswers, dueReport{at, m})
	}
}

// answerDeferred answers a deferred report with the commands for the machine as of now.
func (n *Node) answerDeferred(m *machine, now time.Time) {
	deferred := m.deferred
	if deferred == nil {
		return
	}
	m.deferred, m.answerAt = nil, time.Time{}
	if !n.mayExtendLeases(now) {
		deferred.reply <- answer{status: 503}
		return
	}
	cmds := n.stopsForReport(deferred.report, now)
	if n.logReadable(n.partitions[m.rec.Partition]) {
		cmds = n.commandsFor(m, deferred.report, now)
	}
	deferred.reply <- answer{status: 200, body: protocol.Orders{Token: n.fencingToken(m), Commands: cmds}}
}

// rejectDeferred rejects a deferred report, because this node may no longer answer it.
func (n *Node) rejectDeferred(m *machine) {
	if deferred := m.deferred; deferred != nil {
		m.deferred = nil
		deferred.reply <- answer{status: 503}
	}
}

// answerDueReports answers the deferred reports whose time has come.
func (n *Node) answerDueReports(now time.Time) {
	for len(n.dueAnswers) > 0 && !now.Before(n.dueAnswers[0].at) {
		m := heap.Pop(&n.dueAnswers).(dueReport).machine
		if m.deferred != nil && (!m.answerAt.IsZero() && !now.Before(m.answerAt) || !now.Before(m.deferred.until)) {
			n.answerDeferred(m, now)
		}
	}
}

// redirect answers a machine of a partition that another node owns.
func (n *Node) redirect(report *protocol.Report, p *partition, m *machine, now time.Time, reply chan<- answer) {
	owner := p.owner.Node
	if orders, ok := n.answerForOwner(m, report, now); ok && owner != n.cfg.Node {
		reply <- answer{status: 200, body: orders}
		return
	}
	if p.owner.Token == 0 || owner == n.cfg.Node || n.sinceContact(now) > leaseTTL && !n.receivesHints(owner, now) {
		reply <- answer{status: 503}
		return
	}
	reply <- answer{status: 421, body: protocol.Redirect{ReportTo: owner}}
}

// fence sends this node's token to a machine directly, without commands, and processes the
// report in the answer. An earlier owner that still answers the machine is fenced off by this.
func (n *Node) fence(m *machine, now time.Time) {
	n.sendCommand(m, protocol.Orders{Token: n.fencingToken(m), Session: max(1, m.session), Commands: []protocol.Command{}}, func(ok bool) {
		n.loadControl.budget.CallEnded()
		n.partitions[m.rec.Partition].reconciliation.CallEnded(m.name, ok, time.Now())
	})
}

// sendStops tells a worker directly to stop tasks whose place is needed. A stop names an attempt
// that is no longer wanted, so it may arrive late.
func (n *Node) sendStops(m *machine) {
	if m.addr == "" || !m.fenced {
		return
	}
	orders := protocol.Orders{Token: n.fencingToken(m), Session: m.session, Commands: n.pendingStops(m)}
	if len(orders.Commands) == 0 || n.takeBudget(start.Stop, 1) == 0 {
		return // the answer to its next report contains them
	}
	n.sendCommand(m, orders, func(bool) {})
}

// sendCommand sends orders directly and accepts the report in the answer, if this node still
// owns the machine's partition under the same token.
func (n *Node) sendCommand(m *machine, orders protocol.Orders, ended func(executed bool)) {
	addr := m.addr
	n.spawn(func(ctx context.Context) {
		report, ok, err := n.workers.Command(ctx, addr, orders)
		if err == nil && !ok && report != nil && report.Session != orders.Session && len(orders.Commands) == 0 {
			orders.Session = report.Session
			report, ok, err = n.workers.Command(ctx, addr, orders)
		}
		n.post(func() {
			ended(err == nil && report != nil)
			now := time.Now()
			if err == nil {
				n.noteWorkerContact(now)
			}
			if err != nil || !ok || report == nil || report.Machine != m.name || n.machines[m.name] != m || !n.owns(n.partitions[m.rec.Partition]) || n.fencingToken(m) != orders.Token {
				return
			}
			if report.Token == orders.Token && n.acceptDirectAnswer(m, report, now) {
				n.observeTasks(m, report, now)
			}
		})
	})
}

// observeTasks applies the task states in the answer to a direct call and gives no commands.
func (n *Node) observeTasks(m *machine, report *protocol.Report, now time.Time) {
	for i := range report.Tasks {
		taskReport := &report.Tasks[i]
		id, num, _ := protocol.ParseTaskID(taskReport.Task)
		if j := n.jobs[id]; j != nil && num < len(j.tasks) {
			if t := &j.tasks[num]; t.phase == phasePlaced && t.machine == m && t.attempt == taskReport.Attempt {
				n.observeTask(m, j, num, taskReport, now)
			}
		}
	}
}
