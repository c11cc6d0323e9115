package node

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// phase is the state of a task in the stored record, or in the change that is being stored.
type phase uint8

const (
	phaseWaiting   phase = iota // no machine is recorded
	phaseProposed               // a placement is being stored
	phasePlaced                 // a machine is recorded: the task may be running there
	phaseDone                   // completed and stored
	phaseExhausted              // ticket jobs: the task has used up its tries, and that is stored
)

// taskOutcome is how a placed task ended, as long as that is not stored yet.
type taskOutcome uint8

const (
	outcomeNone     taskOutcome = iota
	outcomeFinished             // the worker reported it done
	outcomeGone                 // proven to be absent from its machine, and never to start there
)

// task is one task of a job: its stored state, and what this node has observed of it.
type task struct {
	phase         phase
	outcome       taskOutcome
	storing       bool // the outcome is part of a change that is being stored
	capacityFreed bool // its resources count as free: it is known to be gone
	stopRequested bool // it is to leave its machine
	reportedState reportedState
	unstoredError bool  // ticket jobs: it ended with an error that counts and is not stored yet
	storedErrors  uint8 // ticket jobs: stored number of errors that count
	// logSeq is the number of the partition's log entry up to which the task's state is known.
	// fromLog is set if that state is in an entry and not in the job's own record; see packed.go.
	logSeq       uint64
	fromLog      bool
	attempt      uint64
	machine      *machine
	phaseSince   time.Time // when it began to wait, or when its placement was recorded
	startSentAt  time.Time // when this node last sent a start for it
	runningSince time.Time // when this node first saw it running
	stopGraceS   float64   // grace period of the stop
}

// reportedState is a task's state in the last report, as a small number.
type reportedState uint8

const (
	reportedNone reportedState = iota
	reportedFetching
	reportedWaiting
	reportedRunning
	reportedSaving
	reportedExited
)

var reportedStates = map[string]reportedState{
	protocol.TaskFetching: reportedFetching, protocol.TaskWaiting: reportedWaiting,
	protocol.TaskRunning: reportedRunning, protocol.TaskSaving: reportedSaving, protocol.TaskExited: reportedExited,
}

// job is an accepted job that has not ended.
type job struct {
	id                  string
	spec                *protocol.JobSpec
	team                int
	partition           int
	rank                int
	need                Resources
	submitted           time.Time
	cancelled           bool
	hasRecord           bool   // it has a record of its own
	cancelPending       bool   // a cancellation is stored but not confirmed to its user: tasks may be left
	cancelHintRevision  uint64 // revision of the cancelling record that a peer's hint named; see cancels.go
	claim               uint32 // claim number of a gateway job; see sitejobs.go
	nextAttempt         uint64
	tasks               []task
	storedChunks        map[int]bool // stored chunks other than the head, by number
	nDone               int
	nPlaced             int               // tasks in phasePlaced or phaseProposed
	nExhausted          int               // tasks that have used up their tries
	step                *protocol.StepRef // set if the job is a step of a ticket; see tickets.go
	failed              bool              // ticket jobs: it must end because it, or its ticket, has failed
	storingEnd          bool              // ticket jobs: its end is being stored
	hasErrors           bool              // ticket jobs: a task has errors that count
	writePending        bool              // a change of it is being stored
	heavy               bool              // its image is large compared with recent arrivals; see decide.Window
	abortAttempt        bool              // gangs: the current attempt must end
	attemptWhole        bool              // gangs: all tasks of the current attempt have been placed; see loans.go
	firstSeen           time.Time         // when this node first saw it
	preemptionWaitUntil time.Time         // how long to wait for preemption on machines that cache its image
	allPlacedAt         time.Time         // when the last waiting task was first recorded as placed
	firstRunningAt      time.Time         // when a task was first seen running
	preemptAfter        time.Time         // no further preemption for it before this time
	victimSearchAfter   time.Time         // no further search for tasks to evict before this time

	// Of a gang that waits until it can start whole; see decide.Reservation.
	reservedMachines []*machine
	reservedSince    time.Time
	reserveAfter     time.Time
	expectedStart    time.Time

	reservationBlockedSince time.Time // since when only the reservations of others keep it from being placed

	dirtySince  time.Time     // since when something of it waits to be stored
	failures    jobFailures   // errors of its tasks
	notBefore   time.Time     // after errors: no start before this time
	waitCause   decide.Reason // why its tasks wait, according to the last decision
	facts       decide.Job    // the decisions' view of it; see facts.go
	history     jobHistory    // what this node saw of its runs; see account.go
	dirtyChunks map[int]bool  // chunks that the next change must write
}

// nWaiting returns how many tasks wait for a placement.
func (j *job) nWaiting() int { return len(j.tasks) - j.nDone - j.nPlaced - j.nExhausted }

// chunkRange returns the tasks of chunk k: from lo up to, and not including, hi.
func (j *job) chunkRange(k int) (lo, hi int) {
	return k * protocol.TasksPerChunk, min(len(j.tasks), (k+1)*protocol.TasksPerChunk)
}

// revisionOf returns the revision of a key in the replica; 0 if there is no such key.
func (n *Node) revisionOf(key string) uint64 {
	if !n.keyExists(key) {
		return 0
	}
	return n.revisions[key]
}

// unchanged is the condition that a key is stored as this node knows it.
func (n *Node) unchanged(key string) storage.Cond {
	return storage.Cond{Key: key, Revision: n.revisionOf(key)}
}

// applyJob applies the head of a job, from its own record or from an inbox entry.
func (n *Node) applyJob(id string, record *protocol.JobRecord, hasRecord bool) {
	j := n.jobs[id]
	isNew := j == nil
	if isNew {
		team, ok := n.teamIndex[record.Spec.Team]
		if !ok {
			n.log.Error("job record names an unknown team", "job", id, "team", record.Spec.Team)
			return
		}
		j = &job{id: id, spec: record.Spec, team: team, partition: n.teams[team].partition, rank: record.Spec.Rank(),
			need:      decide.Need(record.Spec),
			submitted: time.UnixMilli(record.SubmittedMS), tasks: make([]task, record.Spec.Tasks), step: record.Step,
			storedChunks: map[int]bool{}, dirtyChunks: map[int]bool{}}
		now := time.Now()
		j.firstSeen = now
		for i := range j.tasks {
			j.tasks[i].phaseSince = now
		}
		j.facts = newJobFacts(j)
		j.history.addEvent(j.submitted, "accepted")
		n.jobs[id] = j
		n.rememberArrival(j, now)
		n.partitions[j.partition].newJobs = append(n.partitions[j.partition].newJobs, j)
		list := &n.partitions[j.partition].jobs
		at, _ := slices.BinarySearchFunc(*list, j, byPriority)
		*list = slices.Insert(*list, at, j)
		for key, c := range n.orphanChunks {
			if jobID, k := splitJobKey(key); jobID == id {
				delete(n.orphanChunks, key)
				j.storedChunks[k] = true
				n.applyTasks(j, k, &c)
			}
		}
	}
	j.hasRecord = j.hasRecord || hasRecord
	if record.Claim > j.claim {
		j.claim = record.Claim
		n.forgetEarlierClaim(id, record.Claim)
	}
	j.history.mergeStored(record.LostRuns, record.LastLostMS)
	j.failed = j.failed || record.Failed
	j.cancelPending = record.CancelRequested && !record.Cancelled
	if (record.Cancelled || record.CancelRequested || record.Failed) && !j.cancelled {
		j.cancelled, j.facts.Cancelled = true, true
		n.cancelling[j] = true
		j.history.addEvent(time.Now(), map[bool]string{true: "to end: it or its ticket failed", false: "cancelled"}[j.failed])
		n.log.Info("job is cancelled", "job", id, "placed", j.nPlaced, "failed", j.failed)
		n.wakeMachines(j)
		n.stopTasksDirectly(j)
		n.dirty[j] = true
	}
	j.nextAttempt = max(j.nextAttempt, record.NextAttempt)
	n.applyTries(j, record.Tries, time.Now())
	if record.NotBeforeMS > 0 {
		j.notBefore = latest(j.notBefore, time.UnixMilli(record.NotBeforeMS))
	}
	n.applyTasks(j, 0, &record.Chunk)
	if isNew {
		n.applyLogParts(j)
	}
}

// applyTries applies the stored number of tries of a job that fails everywhere, so that a new
// owner need not find that out again. The present owner knows it already.
func (n *Node) applyTries(j *job, tries int, now time.Time) {
	if f := &j.failures; tries > f.tries && !n.owns(n.partitions[j.partition]) {
		f.failsEverywhere, f.tries, f.fromAttempt = true, tries, j.nextAttempt
		j.backOffRetries(now)
	}
}

// applyChunk applies a chunk other than the head; ok is false if it was deleted.
func (n *Node) applyChunk(id string, k int, key string, c protocol.Chunk, ok bool) {
	j := n.jobs[id]
	switch {
	case !ok:
		delete(n.orphanChunks, key)
		if j != nil {
			delete(j.storedChunks, k)
		}
	case j == nil:
		n.orphanChunks[key] = c
	default:
		j.storedChunks[k] = true
		n.applyTasks(j, k, &c)
	}
}

// applyTasks sets the tasks of a chunk to their recorded state. What was observed of a placement
// that is unchanged is kept.
func (n *Node) applyTasks(j *job, k int, chunk *protocol.Chunk) {
	lo, hi := j.chunkRange(k)
	if lo < 0 || lo >= hi {
		return // the job has no such chunk
	}
	now := time.Now()
	placements := make([]protocol.Placement, hi-lo)
	isDone := make([]bool, hi-lo)
	for _, d := range chunk.Done {
		for i := max(lo, d[0]); i <= min(hi-1, d[1]); i++ {
			isDone[i-lo] = true
		}
	}
	for _, p := range chunk.Placed {
		if p.Task >= lo && p.Task < hi {
			placements[p.Task-lo] = p
			j.nextAttempt = max(j.nextAttempt, p.Attempt+1)
		}
	}
	if j.step != nil {
		defer n.markTicketDirty(j.step.Ticket)
		for _, e := range chunk.Errors {
			if e[0] >= lo && e[0] < hi {
				j.tasks[e[0]].storedErrors = uint8(min(e[1], 255))
				j.hasErrors = true
			}
		}
	}
	for i := lo; i < hi; i++ {
		if t := &j.tasks[i]; t.fromLog && t.logSeq > chunk.LogSeq {
			continue // an entry of the partition's log holds a later state
		}
		switch p := placements[i-lo]; {
		case isDone[i-lo]:
			n.applyTask(j, i, phaseDone, "", 0, now)
		case p.Machine != "":
			n.applyTask(j, i, phasePlaced, p.Machine, p.Attempt, now)
		default:
			n.applyTask(j, i, phaseWaiting, "", 0, now)
		}
		j.tasks[i].logSeq, j.tasks[i].fromLog = chunk.LogSeq, false
	}
	n.afterTasksApplied(j)
}

// applyTask sets a task to its stored state. What was observed of a placement that is unchanged
// is kept.
func (n *Node) applyTask(j *job, i int, newPhase phase, machine string, attempt uint64, now time.Time) {
	t := &j.tasks[i]
	switch {
	case newPhase == phaseDone:
		n.setPhase(j, i, phaseDone, nil, 0, now)
	case newPhase == phasePlaced:
		m := n.findOrAddMachine(machine)
		if t.phase == phasePlaced && t.machine == m && t.attempt == attempt {
			t.storing = false
			return
		}
		confirmed := t.phase == phaseProposed && t.machine == m && t.attempt == attempt
		n.setPhase(j, i, phasePlaced, m, attempt, now)
		if confirmed {
			n.scheduleAnswer(m, now)
			n.pendingStarts[m] = true
		} else {
			n.wakeForForeignTask(j, m, now)
		}
	case j.retriesExhausted(int(t.storedErrors)):
		n.setPhase(j, i, phaseExhausted, nil, 0, now)
	case t.phase != phaseWaiting:
		n.noteForeignTaskReturned(j, t, now)
		n.setPhase(j, i, phaseWaiting, nil, 0, now)
	}
}

// afterTasksApplied updates the job after the stored state of some of its tasks was applied.
func (n *Node) afterTasksApplied(j *job) {
	n.noteBrokenAttempt(j)
	if j.abortAttempt && j.nPlaced == 0 {
		j.abortAttempt = false
		n.markJobStale(j)
	}
	// Of a gang of which another owner has stored that a task is done, all tasks are done.
	if j.cancelled || j.nDone+j.nExhausted == len(j.tasks) || j.spec.Shape == protocol.Gang && j.nDone > 0 {
		n.dirty[j] = true
	}
}

// setPhase is the only place where a task's phase changes, and with it the resources that
// its team and its machine are counted to use. A task counts from before its placement is stored
// until it is known to be gone.
func (n *Node) setPhase(j *job, i int, newPhase phase, m *machine, attempt uint64, now time.Time) {
	t := &j.tasks[i]
	occupies := func(p phase) bool { return p == phaseProposed || p == phasePlaced }
	moved := t.machine != m || t.attempt != attempt
	if occupies(t.phase) && moved {
		// The worker is to forget the task, but only after what may take its place is stored:
		// then one answer carries both.
		n.scheduleAnswer(t.machine, now.Add(refillTime))
		n.removePlacement(j, i)
	}
	if occupies(newPhase) && (moved || !occupies(t.phase)) {
		n.addPlacement(j, i, m)
	}
	if t.phase != phaseDone && newPhase == phaseDone {
		j.nDone++
	}
	if t.phase == phaseDone && newPhase != phaseDone {
		j.nDone--
	}
	if t.phase != phaseExhausted && newPhase == phaseExhausted {
		j.nExhausted++
	}
	if t.phase == phaseExhausted && newPhase != phaseExhausted {
		j.nExhausted--
	}
	if t.phase != newPhase || t.attempt != attempt {
		*t = task{phase: newPhase, attempt: attempt, machine: m, phaseSince: now, storedErrors: t.storedErrors, logSeq: t.logSeq, fromLog: t.fromLog}
	}
	t.machine = m
	n.markStale(m)
	j.facts.Waiting, j.facts.Placed = j.nWaiting(), j.nPlaced
}

// refillTime is how long freed resources usually stay without a new task.
const refillTime = 100 * time.Millisecond

// addPlacement counts a task's resources on a machine and for its team.
func (n *Node) addPlacement(j *job, i int, m *machine) {
	j.nPlaced++
	n.markStale(m)
	team := n.teams[j.team]
	team.Used = team.Used.Add(j.need, 1)
	m.addUse(j.partition, j.need, 1)
	m.tasks[taskKey{j, i}] = struct{}{}
	m.noteTrial(taskKey{j, i})
	m.idleSince, m.idleSinceUnknown = time.Time{}, false
}

// removePlacement removes a task from its machine and frees its resources.
func (n *Node) removePlacement(j *job, i int) {
	j.nPlaced--
	n.freeCapacity(j, i)
	m := j.tasks[i].machine
	n.markStale(m)
	delete(m.tasks, taskKey{j, i})
	if len(m.tasks) == 0 {
		m.used = Resources{}
		clear(m.usedByPartition)
		m.idleSince = time.Now()
	}
	n.replan = true
}

// freeCapacity returns a task's resources to its team and its machine, once. It is called when the
// task is known to be gone, before that is stored, so that the next task need not wait for it. The
// placement of that next task is stored first. If this node ends before the outcome is stored, the
// next owner counts both tasks until a fenced report shows which one is there.
func (n *Node) freeCapacity(j *job, i int) {
	t := &j.tasks[i]
	if t.capacityFreed {
		return
	}
	t.capacityFreed = true
	n.markStale(t.machine)
	team := n.teams[j.team]
	team.Used = team.Used.Add(j.need, -1)
	t.machine.addUse(j.partition, j.need, -1)
	n.replan = true
}

// discardOutcomes drops what was observed of a job's placed tasks when this node becomes the owner
// of its partition. Outcomes that it saw during an earlier ownership may no longer be true: another
// owner, not knowing them, may have started the same attempt again. Without this a task ran twice,
// and a team exceeded its limit, after a partition had come back to a node that still held outcomes
// it had not stored.
func (n *Node) discardOutcomes(j *job) {
	for i := range j.tasks {
		n.discardOutcome(j, i)
	}
}

// discardOutcome drops what was observed of one placed task.
func (n *Node) discardOutcome(j *job, i int) {
	t := &j.tasks[i]
	if t.capacityFreed {
		t.capacityFreed = false
		team := n.teams[j.team]
		team.Used = team.Used.Add(j.need, 1)
		t.machine.addUse(j.partition, j.need, 1)
	}
	t.outcome, t.storing, t.stopRequested, t.unstoredError = outcomeNone, false, false, false
	t.reportedState, t.startSentAt, t.runningSince = reportedNone, time.Time{}, time.Time{}
	n.markStale(t.machine)
}

// dropJob removes a job whose head was deleted: it has ended.
func (n *Node) dropJob(id string) {
	j := n.jobs[id]
	if j == nil {
		return
	}
	if j.step != nil {
		n.markTicketDirty(j.step.Ticket)
	}
	n.recordJobEnd(j)
	n.endReservation(j, time.Now())
	defer n.notifyCancelWaiters(id)
	for i := range j.tasks {
		n.setPhase(j, i, phaseWaiting, nil, 0, time.Time{})
	}
	for k := range j.storedChunks {
		n.orphanChunks[protocol.ChunkKey(id, k)] = protocol.Chunk{}
	}
	delete(n.jobs, id)
	delete(n.dirty, j)
	delete(n.cancelling, j)
	n.releaseLimitReservation(j)
	if p := n.partitions[j.partition]; len(p.newJobs) > 0 {
		p.newJobs = slices.DeleteFunc(p.newJobs, func(o *job) bool { return o == j })
	}
	list := &n.partitions[j.partition].jobs
	if at, found := slices.BinarySearchFunc(*list, j, byPriority); found {
		*list = slices.Delete(*list, at, at+1)
	}
}

// orphanSweep is the progress in removing chunks of jobs that have ended.
type orphanSweep struct {
	candidates []string // keys of orphans when the last round began
	lastRound  time.Time
}

const (
	// orphanGracePeriod is how long a chunk must have been without its job before it is removed.
	orphanGracePeriod = time.Minute
	// maxOrphansPerTick is how many chunks are removed at a time.
	maxOrphansPerTick = 4
)

// removeOrphanChunks lets the leader remove chunks of ended jobs when the rate limit has reserve
// and no user waits for a change. The end of a job deletes only its head, in one change with its
// final record. The other chunks would be read at every start of a node, for ever: a ticket of
// 100,000 tasks leaves 781 of them.
func (n *Node) removeOrphanChunks(now time.Time) {
	if !n.isLeader() || n.sinceContact(now) > 2*time.Second || n.pendingUserChanges > 0 || n.totalPendingWrites() > 0 || !n.rateLimiter.HasSpareRate() {
		return
	}
	sweep := &n.orphanSweep
	if len(sweep.candidates) == 0 {
		if now.Sub(sweep.lastRound) >= orphanGracePeriod {
			sweep.lastRound = now
			for key := range n.orphanChunks {
				sweep.candidates = append(sweep.candidates, key)
			}
		}
		return
	}
	if now.Sub(sweep.lastRound) < orphanGracePeriod {
		return
	}
	for range min(maxOrphansPerTick, len(sweep.candidates)) {
		key := sweep.candidates[0]
		sweep.candidates = sweep.candidates[1:]
		if _, still := n.orphanChunks[key]; !still {
			continue
		}
		id, _ := splitJobKey(key)
		// The conditions fail if the job exists after all, or appears again.
		n.submitTo(n.backgroundCommitter, &storage.Op{Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(0)), {Key: protocol.JobKey(id)}, n.unchanged(key)},
			Writes: []storage.Write{{Delete: key}}}, func(storage.Result) {})
	}
}

// recordOutcome sets the outcome of a placed task, which the next flush stores.
func (n *Node) recordOutcome(j *job, i int, outcome taskOutcome) {
	t := &j.tasks[i]
	if t.phase != phasePlaced || t.outcome != outcomeNone {
		return
	}
	t.outcome = outcome
	n.dirty[j] = true
	n.markStale(t.machine)
	if !j.isForeign(t.machine) {
		// The place of a foreign task counts as free only when its end is stored: until then
		// another owner of its machine may find that it runs.
		n.freeCapacity(j, i)
	}
	if j.spec.Shape != protocol.Gang {
		return
	}
	if outcome == outcomeFinished {
		// If one task of a gang is done, all of them are.
		for k := range j.tasks {
			if j.tasks[k].phase == phasePlaced {
				j.tasks[k].outcome = outcomeFinished
				n.markStale(j.tasks[k].machine)
				if !j.isForeign(j.tasks[k].machine) {
					n.freeCapacity(j, k)
				}
			}
		}
	} else if !j.abortAttempt {
		// A gang that lost a task ends its attempt: the other tasks are stopped, and the
		// next attempt starts only when all of them are known to be gone.
		j.abortAttempt = true
		n.wakeMachines(j)
	}
}

// proposePlacements reserves machines for tasks. flush stores the placements.
func (n *Node) proposePlacements(j *job, tasks []int, machines []*machine, now time.Time) {
	for k, i := range tasks {
		n.setPhase(j, i, phaseProposed, machines[k], j.nextAttempt, now)
		j.dirtyChunks[i/protocol.TasksPerChunk] = true
	}
	j.nextAttempt++
	n.dirty[j] = true
}

// flush stores what has changed in jobs that have no change in flight, the most urgent first, up to
// a limit of writes in flight. What can't be sent yet stays in n.dirty instead of a queue: there it
// is collected by job and ordered anew each time.
func (n *Node) flush(now time.Time) {
	if len(n.dirty) == 0 {
		return
	}
	maxWrites := max(4, int(n.rateLimiter.PerSecond()/3))
	if n.pendingWrites[n.urgentCommitter] >= maxWrites && n.pendingWrites[n.backgroundCommitter] >= maxWrites {
		return
	}
	ample := n.rateLimiter.HasSpareRate()
	requests := make([][]storeRequest, len(n.partitions))
	for j := range n.dirty {
		if j.writePending || n.jobChangesPaused(j) {
			continue
		}
		if !n.owns(n.partitions[j.partition]) {
			n.revertProposals(j)
			n.storeForeignEnds(j)
			continue
		}
		if j.dirtySince.IsZero() {
			j.dirtySince = now
		}
		urgency := j.storeUrgency()
		priority, due := storePriority(urgency, n.unguaranteed(j), now.Sub(j.dirtySince), n.pendingUserChanges > 0, ample)
		if due {
			requests[j.partition] = append(requests[j.partition], storeRequest{j, priority, purposeOf[urgency]})
		}
	}
	order := make([]int, 0, len(requests))
	for i, list := range requests {
		if len(list) == 0 {
			continue
		}
		slices.SortFunc(list, func(a, b storeRequest) int {
			return cmp.Or(a.urgency-b.urgency, a.job.dirtySince.Compare(b.job.dirtySince), strings.Compare(a.job.id, b.job.id))
		})
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(a, b int) int { return requests[a][0].urgency - requests[b][0].urgency })
	for _, i := range order {
		n.storePartition(n.partitions[i], requests[i], maxWrites, now)
	}
}

// outcomeBatchDelay is how long the ends of an array's tasks are collected when changes are
// scarce. The end of the job itself is not delayed.
const outcomeBatchDelay = 3 * time.Second

// unguaranteedDelay is how long changes of a job whose team has no guarantee give way to others. With
// 25,000 tasks and 800 jobs such a team used up the rate of changes: the loss of a task of a
// guaranteed job was not stored for 300 s, so the task did not run again.
const unguaranteedDelay = 20 * time.Second

// storePriority returns how urgent it is to store a job that has waited for so long with something
// new, and reports whether it may be stored now.
func storePriority(urgency int, unguaranteed bool, waited time.Duration, usersWait, ample bool) (int, bool) {
	unguaranteed = unguaranteed && waited < unguaranteedDelay
	if unguaranteed {
		urgency += storeOutcomes // after nearly everything else
	}
	return urgency, ample || !(unguaranteed && usersWait) && (urgency < storeOutcomes || waited >= outcomeBatchDelay)
}

// How urgent it is to store what is new of a job. The loss of a task is as urgent as a start: the
// task can start again only when its loss is stored.
const (
	storeEnd = iota
	storeUrgentStart
	storeStart
	storeOutcomes
)

// storeUrgency returns how urgent it is to store what is new of a job.
func (j *job) storeUrgency() int {
	hasStart, allEnded, hasRunning := false, true, false
	for i := range j.tasks {
		t := &j.tasks[i]
		hasStart = hasStart || t.phase == phaseProposed || t.outcome == outcomeGone
		allEnded = allEnded && (t.phase == phaseDone || t.outcome == outcomeFinished || j.taskExhausted(t))
		hasRunning = hasRunning || t.phase == phasePlaced && t.outcome == outcomeNone
	}
	switch {
	case allEnded || j.cancelled && !hasRunning:
		return storeEnd
	case j.cancelled:
		return storeOutcomes // its tasks leave one by one
	case hasStart && j.rank <= protocol.High || j.spec.Shape == protocol.Gang:
		return storeUrgentStart
	case hasStart:
		return storeStart
	}
	return storeOutcomes
}

// chunkRecord returns the record of chunk k as the partition's owner, which knows all of the log,
// stores it.
func (n *Node) chunkRecord(j *job, k int) protocol.Chunk {
	c := protocol.Chunk{LogSeq: n.partitions[j.partition].log.LastSeq()}
	lo, hi := j.chunkRange(k)
	for i := lo; i < hi; i++ {
		j.tasks[i].addTo(&c, i, j.tasks[i].outcome)
	}
	return c
}

// withoutProposal returns the state of a task without a placement that is not stored yet.
func (t *task) withoutProposal() task {
	stored := *t
	if stored.phase == phaseProposed {
		stored.phase, stored.machine = phaseWaiting, nil
	}
	return stored
}

// addTo adds the state of task i to a chunk, with the given outcome if it is placed.
func (t *task) addTo(c *protocol.Chunk, i int, outcome taskOutcome) {
	done := t.phase == phaseDone || outcome == outcomeFinished
	errors := int(t.storedErrors)
	if outcome != outcomeNone {
		errors = t.countedErrors()
	}
	if errors > 0 && !done {
		c.Errors = append(c.Errors, [2]int{i, errors})
	}
	switch {
	case done:
		if l := len(c.Done); l > 0 && c.Done[l-1][1] == i-1 {
			c.Done[l-1][1] = i
		} else {
			c.Done = append(c.Done, [2]int{i, i})
		}
	case (t.phase == phasePlaced || t.phase == phaseProposed) && outcome == outcomeNone:
		c.Placed = append(c.Placed, protocol.Placement{Task: i, Attempt: t.attempt, Machine: t.machine.name})
	}
}

// headRecord returns a job's head record as the owner stores it.
func (n *Node) headRecord(j *job) protocol.JobRecord {
	return protocol.JobRecord{Spec: j.spec, SubmittedMS: j.submitted.UnixMilli(), Cancelled: j.cancelled && !j.cancelPending, CancelRequested: j.cancelPending, NextAttempt: j.nextAttempt, Tries: j.failures.tries, Claim: j.claim, Step: j.step, Failed: j.failed, LostRuns: j.history.lostRuns, LastLostMS: j.history.lastLostMS(), Chunk: n.chunkRecord(j, 0)}
}

// mustJSON marshals a record and panics if that fails.
func mustJSON(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only the program's own records are marshalled here
	}
	return b
}

// storeJob stores all that is new of a job in one conditional change, or its end if it has ended.
func (n *Node) storeJob(j *job, committer *storage.Committer, purpose changePurpose) {
	n.storeJobAs(j, j.remainingTasks() == 0, committer, purpose)
}

// storeJobAs stores either the end of a job or all that is new in its records, in one
// conditional change.
func (n *Node) storeJobAs(j *job, ends bool, committer *storage.Committer, purpose changePurpose) {
	if j.cancelled {
		n.revertProposals(j) // no task of it may start any more
	}
	touched := j.dirtyChunks
	j.dirtyChunks = map[int]bool{}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.outcome != outcomeNone {
			t.storing = true
			touched[i/protocol.TasksPerChunk] = true
		}
	}
	// The machines need no condition of their own: only the owner moves or returns the
	// machines of its partition, and it does neither while a placement is being stored.
	op := &storage.Op{Purpose: uint8(purpose), Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(j.partition)), n.unchanged(protocol.JobKey(j.id))}}
	if n.mayHaveEntries() {
		op.Conds = append(op.Conds, n.logUnchanged(j.partition), storage.Cond{Key: protocol.FinalKey(j.id)})
	}
	op.Conds = append(op.Conds, n.foreignConds(j)...)
	if ends && j.step != nil {
		if !n.addStepEnd(j, op) {
			j.dirtyChunks = touched
			n.dirty[j] = true
			return
		}
	} else if ends {
		op.Writes = finalWrites(j.id, j.finalStatus(), len(j.tasks), j.claim)
	} else {
		if len(touched) == 0 {
			return
		}
		delete(touched, 0)
		op.Writes = append(op.Writes, storage.Write{Put: protocol.JobKey(j.id), Value: mustJSON(n.headRecord(j))})
		for k := range touched {
			key := protocol.ChunkKey(j.id, k)
			op.Conds = append(op.Conds, n.unchanged(key))
			op.Writes = append(op.Writes, storage.Write{Put: key, Value: mustJSON(n.chunkRecord(j, k))})
			if len(op.Writes) >= min(8, n.cfg.Params.State.TxnOps-1) {
				break
			}
		}
		n.deferChunks(j, touched, op)
	}
	j.writePending = true
	p := n.partitions[j.partition]
	p.pendingRecords++
	n.pendingWrites[committer] += len(op.Writes)
	op.Done = func(r storage.Result) {
		n.post(func() {
			p.pendingRecords--
			n.pendingWrites[committer] -= len(op.Writes)
			n.onJobStored(j, op, r)
		})
	}
	if !committer.Submit(op) {
		p.pendingRecords--
		n.pendingWrites[committer] -= len(op.Writes)
		j.writePending = false
		n.stepChangeFinished(j)
		n.revertProposals(j)
	}
}

// remainingTasks returns how many tasks must still end before the job has ended, as far as this
// node knows.
func (j *job) remainingTasks() int {
	remaining, anyDone := 0, false
	for i := range j.tasks {
		t := &j.tasks[i]
		anyDone = anyDone || t.phase == phaseDone || t.outcome == outcomeFinished
		if !(t.phase == phaseDone || t.outcome == outcomeFinished || j.taskExhausted(t)) && !(j.cancelled && (t.phase == phaseWaiting || t.phase == phaseProposed || t.outcome == outcomeGone)) {
			remaining++
		}
	}
	if j.spec.Shape == protocol.Gang && anyDone {
		return 0 // the tasks of a gang complete together
	}
	return remaining
}

// finalStatus returns the status of a job that has ended.
func (j *job) finalStatus() string {
	if j.cancelled {
		return protocol.JobCancelled
	}
	return protocol.JobDone
}

// totalPendingWrites returns how many writes of jobs are in flight.
func (n *Node) totalPendingWrites() int {
	return n.pendingWrites[n.urgentCommitter] + n.pendingWrites[n.backgroundCommitter]
}

// deferChunks leaves the chunks that did not fit into op to the next change: their
// placements and outcomes are not part of this one.
func (n *Node) deferChunks(j *job, touched map[int]bool, op *storage.Op) {
	included := map[string]bool{}
	for _, w := range op.Writes {
		included[w.Put] = true
	}
	for k := range touched {
		if included[protocol.ChunkKey(j.id, k)] {
			continue
		}
		lo, hi := j.chunkRange(k)
		for i := lo; i < hi; i++ {
			j.tasks[i].storing = false
		}
		j.dirtyChunks[k] = true
		n.dirty[j] = true
	}
}

// finalWrites returns the writes that store a job's final record and delete its head.
func finalWrites(id, status string, tasks int, claim uint32) []storage.Write {
	return []storage.Write{
		{Put: protocol.FinalKey(id), Value: mustJSON(protocol.FinalRecord{Status: status, Tasks: tasks, Claim: claim})},
		{Delete: protocol.JobKey(id)},
	}
}

// onJobStored handles the result of a change of a job.
func (n *Node) onJobStored(j *job, op *storage.Op, r storage.Result) {
	if r.OK {
		n.metrics.stateCalls.WithLabelValues("stored").Inc()
		for _, w := range op.Writes {
			n.applyOwnWrite(w, r.Revision)
		}
		j.writePending = false
		n.stepChangeFinished(j)
		if j.nWaiting() == 0 && j.allPlacedAt.IsZero() {
			j.allPlacedAt = time.Now()
		}
		if n.jobs[j.id] != j {
			n.onJobEnded(j)
		}
		return
	}
	n.metrics.stateCalls.WithLabelValues("refused").Inc()
	n.log.Info("job change refused", "job", j.id, "failed", strings.Join(r.Failed, " "), "why", r.Err)
	n.resync(r.Failed, func([]storage.Item, error) {
		j.writePending = false
		n.stepChangeFinished(j)
		n.revertProposals(j)
		if n.jobs[j.id] == j {
			n.dirty[j] = true
		}
	})
}

// onJobEnded logs the end of a job and records how long it took.
func (n *Node) onJobEnded(j *job) {
	now := time.Now()
	n.recordEndedJob(j, now)
	if !j.cancelled {
		observeSince(n.metrics.finish.WithLabelValues(n.metrics.classLabel(j.spec.Class)), j.submitted, now)
	}
	after := func(t time.Time) float64 {
		if t.IsZero() {
			return -1
		}
		return t.Sub(j.submitted).Seconds()
	}
	n.log.Info("job ended", "job", j.id, "class", j.spec.Class, "team", j.spec.Team, "tasks", j.spec.Tasks, "cancelled", j.cancelled,
		"placed_s", after(j.allPlacedAt), "started_s", after(j.firstRunningAt), "ended_s", after(now))
}

// applyOwnWrite applies a write that this node committed to the replica.
func (n *Node) applyOwnWrite(w storage.Write, epoch uint64) {
	it := storage.Item{Key: w.Key(), Value: w.Value, Revision: epoch}
	if strings.HasPrefix(it.Key, protocol.WatchedRoot) {
		n.applyItem(it)
	} else {
		n.applyFinal(it)
	}
}

// revertProposals takes back placements that were not stored. Outcomes stay: they are true
// whether or not the change was stored.
func (n *Node) revertProposals(j *job) {
	now := time.Now()
	for i := range j.tasks {
		t := &j.tasks[i]
		t.storing = false
		if t.phase == phaseProposed {
			n.setPhase(j, i, phaseWaiting, nil, 0, now)
		}
		if t.outcome != outcomeNone {
			j.dirtyChunks[i/protocol.TasksPerChunk] = true
		}
	}
	n.replan = true
}

// wakeMachines makes the deferred reports of machines that have tasks of a job be answered soon.
func (n *Node) wakeMachines(j *job) {
	n.markJobStale(j)
	for i := range j.tasks {
		if m := j.tasks[i].machine; m != nil {
			n.scheduleAnswer(m, time.Now())
		}
	}
}

// byPriority orders jobs by priority and arrival.
func byPriority(a, b *job) int {
	return cmp.Or(a.rank-b.rank, a.submitted.Compare(b.submitted), strings.Compare(a.id, b.id))
}
