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

type taskKey struct {
	job  *job
	task int
}

// machine is a rented machine: its record, what its team of tasks takes, and
// what its worker last said.
type machine struct {
	name     string
	recorded bool // it has a record
	rec      protocol.MachineRecord
	batch    *batch // what it is recorded in
	tasks    map[taskKey]struct{}
	used     Resources

	addr              string
	trackedSince      time.Time // when this node first saw the record, or took the share over
	lastFencedReport  time.Time // last fenced report
	session           uint64
	seq               uint64
	fenced            bool // a report of the present token has come
	spotNotice        bool // to be taken by the cloud
	returning         bool
	returnRetryAt     time.Time
	idleSince         time.Time // zero: something is recorded on it
	idleSinceUnknown  bool      // this node did not see it become idle
	moving            bool
	faults            machineFaults // of being faulty
	returned          bool          // returned: the cloud said so
	startInFlight     bool          // a direct start is under way
	unconfirmedStarts []directStart // direct starts that were not answered
	pollInFlight      bool          // a poll is under way; see unreported.go
	nextPoll          time.Time     // not to be polled before
	lastDirectAnswer  time.Time     // when a poll was last answered
	leaseExpirySeen   time.Time     // when a poll last showed that its lease had ended
	lastReport        time.Time     // when its last report came, here or, by its hints, at its holder
	lastHint          time.Time     // when its holder last told of it
	unlisted          bool          // the cloud's last list lacks it
	firstSeen         time.Time     // when this node first saw its record
	avoidUntil        time.Time     // place nothing new before
	wakeAt            time.Time     // when to answer a parked report; zero: when its time is up
	deferred          *deferredReport
	images            []protocol.CachedImage // most recently used last
	secPerGB          float64                // learned seconds per GB fetched; 0: unknown
	fetchStartedAt    map[string]time.Time
	cordoned          bool
	earmarkedFor      *job // a gang that room is being gathered for
	earmarkedUntil    time.Time
	gangReservation   bool           // the earmark is a reservation
	needed            bool           // by what waits or is expected
	facts             decide.Machine // what decisions see of it; see facts.go
	factsStale        bool           // the facts are older than the rest
}

// deferredReport is a report whose answer waits a moment, so that a start can go out
// as soon as it is stored.
type deferredReport struct {
	report *protocol.Report
	until  time.Time
	reply  chan<- answer
}

// answer is what a request gets.
type answer struct {
	status      int
	body        any
	retryAfterS int
}

// findOrAddMachine finds a machine by name, or makes a place for one whose record has
// not come (yet).
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

func (n *Node) setMachine(b *batch, r protocol.MachineRecord) {
	m := n.findOrAddMachine(r.Name)
	if m.recorded && m.batch != b && r.Token < m.rec.Token {
		// A rental's change that was executed long after it was sent, when its answer was
		// lost, the change tried again and the machine moved meanwhile. It was moved: the
		// higher token tells, in whatever order the two are read. The batch is mended by
		// its holder.
		n.log.Warn("a record of a machine is older than its move, and is dropped", "machine", r.Name, "batch", b.key, "moved_in", m.batch.key)
		n.metrics.guardRefusals.WithLabelValues("old_record").Inc()
		b.markDirty(time.Now())
		return
	}
	m.batch = b
	n.markStale(m)
	if m.recorded && (m.rec.Partition != r.Partition || m.rec.Token != r.Token) {
		n.removeFromPartition(m)
		m.unfence()
		m.moving = false
		n.rejectDeferred(m)
		// A holder gives a machine it has never heard time from now on: without
		// this every moved machine was at once given up as one that never booted.
		m.trackedSince, m.lastFencedReport = time.Now(), time.Time{}
		m.avoidUntil = time.Time{} // it was kept free for this
	}
	if !m.recorded {
		m.unfence()
		m.moving, m.returning, m.returned = false, false, false
		m.trackedSince, m.lastFencedReport = time.Now(), time.Time{}
		m.firstSeen = m.trackedSince
	}
	m.recorded = true
	m.rec = r
	n.adoption.Remove(m.name)
	if r.Addr != "" {
		m.addr = r.Addr
	}
	n.addToPartition(m)
}

func (n *Node) dropMachine(name string) {
	m := n.machines[name]
	if m == nil {
		return
	}
	if m.recorded {
		n.removeFromPartition(m)
	}
	// It is forgotten with the next look at the machines, not at once: a move's
	// two halves may be seen in either order, and its images are still there.
	m.recorded = false
	n.markStale(m)
	n.rejectDeferred(m)
}

// unfence forgets what the worker said under an earlier token.
func (m *machine) unfence() {
	m.fenced = false
	m.unconfirmedStarts = nil // the token is a higher one: what is late does nothing
}

// fencingToken is what entitles this node to command a machine.
func (n *Node) fencingToken(m *machine) uint64 {
	return max(n.partitions[m.rec.Partition].owner.Token, m.rec.Token)
}

// mayExtendLeases says whether leases may still be extended. Without the store a cancellation
// may be missed. If users are told of one only when nothing of the job is left, that is
// no harm; else the last answer must be early enough for the lease to end within cancel_s
// of it. That counts from when this node last knew all that was stored, not from its last
// answered call: with the watch silent for seconds before an outage, and other calls
// answered, it missed what had been told meanwhile (TestGap).
func (n *Node) mayExtendLeases(now time.Time) bool {
	if n.confirmsCancelAfterStop() {
		return true
	}
	w := n.cfg.Params.Workers
	limit := (w.CancelS-w.LeaseS)*0.99 - 2
	return now.Sub(n.completeAt).Seconds() < limit
}

// onReport answers a worker's report. It calls reply exactly once, perhaps later.
func (n *Node) onReport(r *protocol.Report, now time.Time, reply chan<- answer) {
	n.noteWorkerContact(now)
	if !n.loaded {
		reply <- answer{status: 503}
		return
	}
	m := n.machines[r.Machine]
	if m == nil || !m.recorded {
		n.onStray(r, now, reply)
		return
	}
	s := n.partitions[m.rec.Partition]
	if !n.owns(s) {
		n.redirect(r, s, m, now, reply)
		return
	}
	if !n.mayExtendLeases(now) {
		n.metrics.guardRefusals.WithLabelValues("store_lost").Inc()
		reply <- answer{status: 503}
		return
	}
	token := n.fencingToken(m)
	if r.Token > token {
		// Somebody is entitled after us, and our replica does not show it yet.
		n.metrics.guardRefusals.WithLabelValues("token").Inc()
		reply <- answer{status: 503}
		return
	}
	if !n.acceptWorkerReport(m, r, token, now) {
		// An old report, held on its way or overtaken by the answer to a direct
		// call: what it lists may be long gone. Its answer gives no orders.
		n.metrics.guardRefusals.WithLabelValues("old_report").Inc()
		reply <- answer{status: 200, body: protocol.Orders{Token: token, Commands: []protocol.Command{}}}
		return
	}
	m.lastReport = now
	if !m.fenced || m.hasUnconfirmedStart(r) || !n.logReadable(n.partitions[m.rec.Partition]) {
		reply <- answer{status: 200, body: protocol.Orders{Token: token, Commands: n.stopsForReport(r, now)}}
		return
	}
	cmds := n.orders(m, r, now)
	if len(cmds) == 0 && n.deferAnswer(m, r, now, reply) {
		return
	}
	reply <- answer{status: 200, body: protocol.Orders{Token: token, Commands: cmds}}
}

// stopsForReport stop what a report lists and nobody wants any more. They are safe in every answer,
// also where nothing else may be ordered or concluded: a halt names an attempt of a job that
// is over, or that may not run here, whoever holds the share. (With a machine in doubt for
// as long as the state service was down, what was cancelled ran on all that time.)
func (n *Node) stopsForReport(r *protocol.Report, now time.Time) []protocol.Command {
	cmds := []protocol.Command{}
	for i := range r.Tasks {
		tr := &r.Tasks[i]
		id, _, _ := protocol.ParseTaskID(tr.Task)
		// With a gateway and no lease also what this node does not know: a replica that
		// is behind does not know the newest jobs of the gateway.
		j := n.jobs[id]
		if (j != nil && (j.cancelled || n.cancelledByHint(j) || n.blockedBySiteLease(j, now)) || j == nil && n.SiteDaemonHost != "" && n.gatewayJobsBlocked(now)) && tr.State != protocol.TaskExited {
			cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: tr.Task, Attempt: tr.Attempt})
		}
	}
	return cmds
}

// acceptWorkerReport takes in the frame of a report that shows that the worker reaches this node, or that
// this node has just reached it for the first time; false if a newer one was heard already.
func (n *Node) acceptWorkerReport(m *machine, r *protocol.Report, token uint64, now time.Time) bool {
	if !n.acceptReportHeader(m, r, token, now) {
		return false
	}
	if r.Token == token {
		m.lastFencedReport = now
	}
	return true
}

// acceptReportHeader takes in a report's frame; false if a newer one was accepted already.
func (n *Node) acceptReportHeader(m *machine, r *protocol.Report, token uint64, now time.Time) bool {
	if r.Session < m.session || r.Session == m.session && r.Seq <= m.seq {
		return false
	}
	n.answerParked(m, now) // an earlier report's answer is not waited for any more
	if m.session != 0 && r.Session > m.session {
		n.log.Info("worker's lease ran out", "machine", m.name, "tasks", len(m.tasks), "silent_s", roundToTenth(now.Sub(n.silentSince(m)).Seconds()))
	}
	m.session, m.seq = r.Session, r.Seq
	n.markStale(m)
	if r.Addr != "" && r.Addr != m.rec.Addr {
		m.addr = r.Addr
		m.batch.markDirty(now)
	}
	if r.Token == token {
		if !m.fenced {
			n.log.Debug("machine is fenced", "machine", m.name, "token", token)
			n.replan = true
			n.machineReconciled(m, now)
		}
		m.fenced = true
	} else {
		n.partitions[m.rec.Partition].reconciliation.NoteUnfencedReport(m.name, now)
	}
	notice := r.NoticeS != nil
	if notice && !m.spotNotice {
		n.log.Info("spot notice", "machine", m.name, "seconds", *r.NoticeS)
		n.drain(m, *r.NoticeS)
	}
	m.spotNotice = notice
	return true
}

// orders takes a fenced report's task list as the truth about the machine,
// notes what it proves, and says what the worker is to do.
func (n *Node) orders(m *machine, r *protocol.Report, now time.Time) []protocol.Command {
	cmds := []protocol.Command{}
	listed := make(map[taskKey]bool, len(r.Tasks))
	for i := range r.Tasks {
		tr := &r.Tasks[i]
		id, num, _ := protocol.ParseTaskID(tr.Task)
		j := n.jobs[id]
		var t *task
		if j != nil && num < len(j.tasks) {
			t = &j.tasks[num]
		}
		if t == nil && n.mayBeInCorruptValue(id, num) {
			continue
		}
		if t == nil || t.phase != phasePlaced || t.machine != m || t.attempt != tr.Attempt {
			// Not recorded here: over, or left behind by an earlier holder.
			if tr.State == protocol.TaskExited {
				cmds = append(cmds, protocol.Command{Op: protocol.OpForget, Task: tr.Task, Attempt: tr.Attempt})
			} else {
				cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: tr.Task, Attempt: tr.Attempt})
			}
			continue
		}
		listed[taskKey{j, num}] = true
		n.observeTask(m, j, num, tr, now)
		if tr.State != protocol.TaskExited && n.shouldStop(j, t) && (tr.State != protocol.TaskSaving || j.cancelled || n.cancelledByHint(j) || n.blockedBySiteLease(j, now)) {
			grace := t.stopGraceS
			if j.cancelled || n.cancelledByHint(j) || n.blockedBySiteLease(j, now) {
				grace = 0
			}
			cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: tr.Task, Attempt: tr.Attempt, GraceS: grace})
		}
	}
	for k := range m.tasks {
		j, t := k.job, &k.job.tasks[k.task]
		if t.phase != phasePlaced || listed[k] || t.outcome != outcomeNone {
			continue
		}
		switch {
		case n.shouldStop(j, t) || m.returning:
			// Any start of ours went out in an answer to an earlier report, and
			// earlier holders' starts are fenced off: it is not there and never will be.
			n.recordOutcome(j, k.task, outcomeGone)
		case n.overLimit(j.team):
			// An earlier holder gave the place of a task that was over to another one
			// and did not store its end; if the lease ended since, neither is listed.
			// Both are not to be started; this one is proven not to be there.
			n.recordOutcome(j, k.task, outcomeGone)
		case j.spec.Shape == protocol.Gang && j.storedPlacements() < len(j.tasks):
			// A gang starts only once all of it is stored.
		case j.spec.Shape == protocol.Gang && t.reportedState >= reportedRunning:
			// It ran and was lost with its lease: the gang must start anew.
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

// storedPlacements counts the tasks with a stored machine.
func (j *job) storedPlacements() int {
	c := 0
	for i := range j.tasks {
		if j.tasks[i].phase == phasePlaced {
			c++
		}
	}
	return c
}

// shouldStop says whether a placed task is to leave its machine.
func (n *Node) shouldStop(j *job, t *task) bool {
	return j.cancelled || n.cancelledByHint(j) || j.abortAttempt || t.stopRequested || j.claim > 0 && n.blockedBySiteLease(j, time.Now())
}

// observeTask learns from one listed task of ours.
func (n *Node) observeTask(m *machine, j *job, i int, tr *protocol.TaskReport, now time.Time) {
	t := &j.tasks[i]
	n.markStale(m)
	was := t.reportedState
	t.reportedState = reportedStates[tr.State]
	switch tr.State {
	case protocol.TaskFetching:
		if _, ok := m.fetchStartedAt[j.spec.Image]; !ok {
			m.fetchStartedAt[j.spec.Image] = now
		}
	case protocol.TaskWaiting, protocol.TaskRunning:
		if was != reportedRunning && t.reportedState == reportedRunning {
			n.runStarted(j, i, now)
		}
		if j.firstRunningAt.IsZero() && tr.State == protocol.TaskRunning {
			j.firstRunningAt = now
			if !t.startSentAt.IsZero() { // else it ran before this node took the share over
				observeSince(n.metrics.start.WithLabelValues(n.metrics.classLabel(j.spec.Class)), j.submitted, now)
				n.log.Info("job started", "job", j.id, "class", j.spec.Class, "wait_s", now.Sub(j.submitted).Seconds(), "image_gb", j.spec.ImageGB)
			}
		}
		if was != t.reportedState {
			m.fetched(j.spec.Image, j.spec.ImageGB, n.machineTypes[m.rec.Type], now)
		}
		if tr.State == protocol.TaskRunning {
			n.noteTaskSuccess(j, t, m, false, now)
		}
	case protocol.TaskExited:
		if tr.Cause == protocol.CauseDone {
			n.runEnded(j, t, now)
			n.recordOutcome(j, i, outcomeFinished)
			m.fetched(j.spec.Image, j.spec.ImageGB, n.machineTypes[m.rec.Type], now)
			n.noteTaskSuccess(j, t, m, true, now)
			return
		}
		if t.outcome == outcomeNone {
			j.history.countFailedStart(tr.Cause)
			j.history.addEvent(now, "a task ended on "+m.name+": "+tr.Cause)
			n.log.Info("task exited", "task", tr.Task, "machine", m.name, "cause", tr.Cause, "saved", tr.Saved)
			if j.step != nil && ticket.CountsAsRetry(tr.Cause) {
				// Counted with the end itself: both are in one change, and a repeated
				// report, or another holder, finds the end noted or stored.
				t.unstoredError, j.hasErrors = true, true
			}
			switch tr.Cause {
			case protocol.CauseError:
				n.noteTaskFailure(j, tr.Attempt, m, now)
			case protocol.CauseNoCapacity, protocol.CauseBusy, protocol.CauseUnknown:
				m.avoidUntil = now.Add(3 * time.Second)
			}
		}
		n.recordOutcome(j, i, outcomeGone)
	}
}

// fetched learns that a machine has an image: what fetching it cost, and that
// it is cached now.
func (m *machine) fetched(image string, gb float64, t *protocol.MachineType, now time.Time) {
	if since, ok := m.fetchStartedAt[image]; ok {
		delete(m.fetchStartedAt, image)
		if gb > 0 {
			if took := now.Sub(since).Seconds() / gb; m.secPerGB == 0 {
				m.secPerGB = took
			} else {
				m.secPerGB += 0.3 * (took - m.secPerGB)
			}
		}
	}
	total := gb
	kept := m.images[:0]
	for _, im := range m.images {
		if im.Name != image {
			kept = append(kept, im)
			total += im.GB
		}
	}
	m.images = append(kept, protocol.CachedImage{Name: image, GB: gb})
	for t != nil && total > t.CacheGB && len(m.images) > 1 {
		total -= m.images[0].GB
		m.images = m.images[1:]
	}
}

// hasImage says whether a machine holds an image or is fetching it.
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

// findTime is what a worker may take to find another node when its own falls
// silent: it waits 4 s for an answer and 1 s more, and may be sent on once.
const findTime = 6500 * time.Millisecond

// parkTime is how long the answer to a report may wait for a start. A lease counts
// from when the last answered report was sent: what the answer waits is missing when
// the node falls silent before the next one.
func (n *Node) parkTime(m *machine) time.Duration {
	p := n.cfg.Params.Workers
	w := min(n.seconds(p.ReportS), max(0, n.seconds(p.LeaseS-1.25*p.ReportS)-findTime))
	for k := range m.tasks {
		if k.job.spec.Shape != protocol.Service {
			// The end of a task is not reported before this report is answered.
			return min(w*55/100, 3300*time.Millisecond)
		}
	}
	return min(w, 3300*time.Millisecond)
}

// deferAnswer lets an answer wait. A worker drops answers after 4 s, so it never waits
// longer than 3.3.
func (n *Node) deferAnswer(m *machine, r *protocol.Report, now time.Time, reply chan<- answer) bool {
	if m.spotNotice || m.returning || len(m.tasks) > 0 && !n.hasCapacity(m) && !m.pendingFacts() {
		return false
	}
	m.wakeAt = time.Time{}
	m.deferred = &deferredReport{report: r, until: now.Add(n.parkTime(m)), reply: reply}
	heap.Push(&n.dueAnswers, dueReport{m.deferred.until, m})
	return true
}

// pendingFacts says whether something of a machine's tasks is about to be
// stored, after which there will be orders.
func (m *machine) pendingFacts() bool {
	for k := range m.tasks {
		if k.job.tasks[k.task].outcome != outcomeNone {
			return true
		}
	}
	return false
}

// dueReport says when a machine's parked report may have to be answered. An
// entry that was overtaken is ignored when its time comes.
type dueReport struct {
	at time.Time
	m  *machine
}

// dueHeap holds them, the earliest first: looking through the whole fleet at
// every event cost a small controller most of its time.
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

// scheduleAnswer makes a machine's parked report be answered in a while.
func (n *Node) scheduleAnswer(m *machine, at time.Time) {
	if m.deferred != nil && (m.wakeAt.IsZero() || at.Before(m.wakeAt)) {
		m.wakeAt = at
		heap.Push(&n.dueAnswers, dueReport{at, m})
	}
}

// answerParked answers a waiting report with what is to be done by now.
func (n *Node) answerParked(m *machine, now time.Time) {
	p := m.deferred
	if p == nil {
		return
	}
	m.deferred, m.wakeAt = nil, time.Time{}
	if !n.mayExtendLeases(now) {
		p.reply <- answer{status: 503}
		return
	}
	cmds := n.stopsForReport(p.report, now)
	if n.logReadable(n.partitions[m.rec.Partition]) {
		cmds = n.orders(m, p.report, now)
	}
	p.reply <- answer{status: 200, body: protocol.Orders{Token: n.fencingToken(m), Commands: cmds}}
}

// rejectDeferred turns a waiting report away: this node may not act for it any more.
func (n *Node) rejectDeferred(m *machine) {
	if p := m.deferred; p != nil {
		m.deferred = nil
		p.reply <- answer{status: 503}
	}
}

func (n *Node) answerDueReports(now time.Time) {
	for len(n.dueAnswers) > 0 && !now.Before(n.dueAnswers[0].at) {
		m := heap.Pop(&n.dueAnswers).(dueReport).m
		if m.deferred != nil && (!m.wakeAt.IsZero() && !now.Before(m.wakeAt) || !now.Before(m.deferred.until)) {
			n.answerParked(m, now)
		}
	}
}

// redirect answers for a machine of a share that another node holds.
func (n *Node) redirect(r *protocol.Report, s *partition, m *machine, now time.Time, reply chan<- answer) {
	h := s.owner.Node
	if o, ok := n.answerForOwner(m, r, now); ok && h != n.cfg.Node {
		reply <- answer{status: 200, body: o}
		return
	}
	if s.owner.Token == 0 || h == n.cfg.Node || n.sinceContact(now) > leaseTTL && !n.receivesHints(h, now) {
		reply <- answer{status: 503}
		return
	}
	reply <- answer{status: 421, body: protocol.Redirect{ReportTo: h}}
}

// fence shows a machine this node's token directly, without orders, so that an
// earlier holder who still answers it is cut off, and takes its report.
func (n *Node) fence(m *machine, now time.Time) {
	n.command(m, protocol.Orders{Token: n.fencingToken(m), Session: max(1, m.session), Commands: []protocol.Command{}}, func(ok bool) {
		n.loadControl.budget.CallEnded()
		n.partitions[m.rec.Partition].reconciliation.CallEnded(m.name, ok, time.Now())
	})
}

// sendStops tells a worker directly to stop tasks that make room for others. A
// stop names an attempt that nobody wants any more, so it may arrive late.
func (n *Node) sendStops(m *machine) {
	if m.addr == "" || !m.fenced {
		return
	}
	o := protocol.Orders{Token: n.fencingToken(m), Session: m.session, Commands: n.pendingStops(m)}
	if len(o.Commands) == 0 || n.takeBudget(start.Stop, 1) == 0 {
		return // its next report is answered with them
	}
	n.command(m, o, func(bool) {})
}

// command sends orders directly and takes the report that comes back, if this
// node is still entitled by then.
func (n *Node) command(m *machine, o protocol.Orders, ended func(ok bool)) {
	addr := m.addr
	n.spawn(func(ctx context.Context) {
		r, ok, err := n.workers.Command(ctx, addr, o)
		if err == nil && !ok && r != nil && r.Session != o.Session && len(o.Commands) == 0 {
			o.Session = r.Session
			r, ok, err = n.workers.Command(ctx, addr, o)
		}
		n.post(func() {
			ended(err == nil && r != nil)
			now := time.Now()
			if err == nil {
				n.noteWorkerContact(now)
			}
			if err != nil || !ok || r == nil || r.Machine != m.name || n.machines[m.name] != m || !n.owns(n.partitions[m.rec.Partition]) || n.fencingToken(m) != o.Token {
				return
			}
			if r.Token == o.Token && n.acceptDirectAnswer(m, r, o.Token, now) {
				n.observeTasks(m, r, now)
			}
		})
	})
}

// observeTasks takes a directly asked report's facts and gives no orders.
func (n *Node) observeTasks(m *machine, r *protocol.Report, now time.Time) {
	for i := range r.Tasks {
		tr := &r.Tasks[i]
		id, num, _ := protocol.ParseTaskID(tr.Task)
		if j := n.jobs[id]; j != nil && num < len(j.tasks) {
			if t := &j.tasks[num]; t.phase == phasePlaced && t.machine == m && t.attempt == tr.Attempt {
				n.observeTask(m, j, num, tr, now)
			}
		}
	}
}
