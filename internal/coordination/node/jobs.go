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

// phase is where a task stands in the stored record, or is about to.
type phase uint8

const (
	phaseWaiting   phase = iota // no machine recorded
	phaseProposed               // a placement is being stored
	phasePlaced                 // a machine is recorded: the task may be there
	phaseDone                   // completed and stored
	phaseExhausted              // of a ticket: it used up its tries, and that is stored
)

// taskOutcome is what is known of a placed task beyond the record and not stored yet.
type taskOutcome uint8

const (
	outcomeNone     taskOutcome = iota
	outcomeFinished             // the worker reported it done
	outcomeGone                 // it is proven not to be on its machine, and never will be
)

type task struct {
	phase         phase
	outcome       taskOutcome
	storing       bool // the fact is part of a change being stored
	capacityFreed bool // its place counts as free: it is known not to be there
	stopRequested bool // wanted off its machine
	reportedState reportedState
	unstoredError bool  // of a ticket: gone with an error that counts, not stored yet
	storedErrors  uint8 // of a ticket: errors that count, as stored
	// Up to which entry of its share's log it is as it is, and whether an entry says so and
	// not its job's own record; see packed.go.
	logSeq       uint64
	fromLog      bool
	attempt      uint64
	machine      *machine
	phaseSince   time.Time // when it began to wait, or was recorded
	startSentAt  time.Time // when a start was last commanded by this node
	runningSince time.Time // when this node first saw it run
	stopGraceS   float64   // grace of the stop
}

// reportedState is a task's state as last reported, as a dense number.
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

// job is an accepted job that is not final yet.
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
	cancelPending       bool   // cancelled, and nobody was told: something of it may be left
	cancelHintRevision  uint64 // the revision of a record that cancels it, as a sibling says; see cancels.go
	claim               uint32 // of a job of the gateway; see sitejobs.go
	nextAttempt         uint64
	tasks               []task
	storedChunks        map[int]bool // stored chunks beyond the head
	nDone               int
	nPlaced             int               // placed or proposed
	nExhausted          int               // tasks that used up their tries
	step                *protocol.StepRef // of a ticket's step; see tickets.go
	failed              bool              // of such a job: it is to end since it, or its ticket, has failed
	storingEnd          bool              // of such a job: its end is being stored
	hasErrors           bool              // of such a job: a task of it has errors that count
	writePending        bool              // a change is being stored
	heavy               bool
	abortAttempt        bool      // gang: this attempt is to end
	firstSeen           time.Time // when this node learned of it
	preemptionWaitUntil time.Time // how long to wait for room made where its image is
	allPlacedAt         time.Time // when the last waiting task was first recorded
	firstRunningAt      time.Time // when a task was first seen running
	preemptAfter        time.Time // when others may be stopped for it again
	victimSearchAfter   time.Time // when to look again for others to stop

	// Of a gang that waits for all of its places; see decide.Reservation.
	reservedMachines []*machine
	reservedSince    time.Time
	reserveAfter     time.Time
	expectedStart    time.Time

	reservationBlockedSince time.Time // since when it would fit but for others' reservations

	dirtySince  time.Time     // since when something of it waits to be stored
	failures    jobFailures   // its tasks' errors
	notBefore   time.Time     // start nothing before, after errors
	waitCause   decide.Reason // why its tasks wait, as the last look had it
	facts       decide.Job    // what decisions see of it; see facts.go
	history     jobHistory    // what this node saw of its runs; see account.go
	dirtyChunks map[int]bool  // chunks to be written by the next change
}

func (j *job) nWaiting() int { return len(j.tasks) - j.nDone - j.nPlaced - j.nExhausted }

func (j *job) chunkRange(k int) (lo, hi int) {
	return k * protocol.TasksPerChunk, min(len(j.tasks), (k+1)*protocol.TasksPerChunk)
}

func (n *Node) revisionOf(key string) uint64 {
	if !n.keyExists(key) {
		return 0
	}
	return n.revisions[key]
}

func (n *Node) unchanged(key string) storage.Cond {
	return storage.Cond{Key: key, Revision: n.revisionOf(key)}
}

// applyJob takes in a job's head: its own record, or what an inbox says of it.
func (n *Node) applyJob(id string, r *protocol.JobRecord, based bool) {
	j := n.jobs[id]
	fresh := j == nil
	if fresh {
		team, ok := n.teamIndex[r.Spec.Team]
		if !ok {
			n.log.Error("job of an unknown team", "job", id, "team", r.Spec.Team)
			return
		}
		j = &job{id: id, spec: r.Spec, team: team, partition: n.teams[team].partition, rank: r.Spec.Rank(),
			need:      decide.Need(r.Spec),
			submitted: time.UnixMilli(r.SubmittedMS), tasks: make([]task, r.Spec.Tasks), step: r.Step,
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
		at, _ := slices.BinarySearchFunc(*list, j, byUrgency)
		*list = slices.Insert(*list, at, j)
		for key, c := range n.orphanChunks {
			if oid, k := splitJobKey(key); oid == id {
				delete(n.orphanChunks, key)
				j.storedChunks[k] = true
				n.setTasks(j, k, &c)
			}
		}
	}
	j.hasRecord = j.hasRecord || based
	if r.Claim > j.claim {
		j.claim = r.Claim
		n.forgetEarlierClaim(id, r.Claim)
	}
	j.history.mergeStored(r.LostRuns, r.LastLostMS)
	j.failed = j.failed || r.Failed
	j.cancelPending = r.CancelRequested && !r.Cancelled
	if (r.Cancelled || r.CancelRequested || r.Failed) && !j.cancelled {
		j.cancelled, j.facts.Cancelled = true, true
		n.cancelling[j] = true
		j.history.addEvent(time.Now(), map[bool]string{true: "to end: it or its ticket failed", false: "cancelled"}[j.failed])
		n.log.Info("job is cancelled", "job", id, "placed", j.nPlaced, "failed", j.failed)
		n.wakeMachines(j)
		n.stopTasksDirectly(j)
		n.dirty[j] = true
	}
	j.nextAttempt = max(j.nextAttempt, r.NextAttempt)
	n.applyTries(j, r.Tries, time.Now())
	n.setTasks(j, 0, &r.Chunk)
	if fresh {
		n.applyLogParts(j)
	}
}

// applyTries learns how often a job that fails everywhere was tried: who takes over need
// not find out again. Its holder knows.
func (n *Node) applyTries(j *job, tries int, now time.Time) {
	if f := &j.failures; tries > f.tries && !n.owns(n.partitions[j.partition]) {
		f.failsEverywhere, f.tries, f.fromAttempt = true, tries, j.nextAttempt
		j.backOffRetries(now)
	}
}

// applyChunk takes in a chunk of tasks beyond the head.
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
		n.setTasks(j, k, &c)
	}
}

// setTasks makes a chunk's tasks what the record says, and keeps what was
// observed of placements that stay.
func (n *Node) setTasks(j *job, k int, c *protocol.Chunk) {
	lo, hi := j.chunkRange(k)
	if lo < 0 || lo >= hi {
		return // there is no such chunk of this job
	}
	now := time.Now()
	want := make([]protocol.Placement, hi-lo)
	isDone := make([]bool, hi-lo)
	for _, d := range c.Done {
		for i := max(lo, d[0]); i <= min(hi-1, d[1]); i++ {
			isDone[i-lo] = true
		}
	}
	for _, p := range c.Placed {
		if p.Task >= lo && p.Task < hi {
			want[p.Task-lo] = p
			j.nextAttempt = max(j.nextAttempt, p.Attempt+1)
		}
	}
	if j.step != nil {
		defer n.markTicketDirty(j.step.Ticket)
		for _, e := range c.Errors {
			if e[0] >= lo && e[0] < hi {
				j.tasks[e[0]].storedErrors = uint8(min(e[1], 255))
				j.hasErrors = true
			}
		}
	}
	for i := lo; i < hi; i++ {
		if t := &j.tasks[i]; t.fromLog && t.logSeq > c.LogSeq {
			continue // its share's log tells something later
		}
		switch p := want[i-lo]; {
		case isDone[i-lo]:
			n.applyTask(j, i, phaseDone, "", 0, now)
		case p.Machine != "":
			n.applyTask(j, i, phasePlaced, p.Machine, p.Attempt, now)
		default:
			n.applyTask(j, i, phaseWaiting, "", 0, now)
		}
		j.tasks[i].logSeq, j.tasks[i].fromLog = c.LogSeq, false
	}
	n.afterTasksApplied(j)
}

// applyTask makes a task what is stored of it, and keeps what was observed of a placement
// that stays.
func (n *Node) applyTask(j *job, i int, is phase, machine string, attempt uint64, now time.Time) {
	t := &j.tasks[i]
	switch {
	case is == phaseDone:
		n.setPhase(j, i, phaseDone, nil, 0, now)
	case is == phasePlaced:
		m := n.findOrAddMachine(machine)
		if t.phase == phasePlaced && t.machine == m && t.attempt == attempt {
			t.storing = false
			return
		}
		fresh := t.phase == phaseProposed && t.machine == m && t.attempt == attempt
		n.setPhase(j, i, phasePlaced, m, attempt, now)
		if fresh {
			n.scheduleAnswer(m, now)
			n.pendingStarts[m] = true
		}
	case j.retriesExhausted(int(t.storedErrors)):
		n.setPhase(j, i, phaseExhausted, nil, 0, now)
	case t.phase != phaseWaiting:
		n.setPhase(j, i, phaseWaiting, nil, 0, now)
	}
}

// afterTasksApplied follows what is stored of some tasks.
func (n *Node) afterTasksApplied(j *job) {
	if j.abortAttempt && j.nPlaced == 0 {
		j.abortAttempt = false
		n.markJobStale(j)
	}
	if j.cancelled || j.nDone+j.nExhausted == len(j.tasks) {
		n.dirty[j] = true
	}
}

// setPhase is the one place where a task changes its phase, and with it what
// its team and its machine are counted to use: from before a placement is
// stored until the task is known to be gone.
func (n *Node) setPhase(j *job, i int, p phase, m *machine, attempt uint64, now time.Time) {
	t := &j.tasks[i]
	holds := func(p phase) bool { return p == phaseProposed || p == phasePlaced }
	other := t.machine != m || t.attempt != attempt
	if holds(t.phase) && other {
		// The worker is to forget the task, but not before what may take its place
		// is stored: then both go in one answer.
		n.scheduleAnswer(t.machine, now.Add(refillTime))
		n.release(j, i)
	}
	if holds(p) && (other || !holds(t.phase)) {
		n.reserve(j, i, m)
	}
	if t.phase != phaseDone && p == phaseDone {
		j.nDone++
	}
	if t.phase == phaseDone && p != phaseDone {
		j.nDone--
	}
	if t.phase != phaseExhausted && p == phaseExhausted {
		j.nExhausted++
	}
	if t.phase == phaseExhausted && p != phaseExhausted {
		j.nExhausted--
	}
	if t.phase != p || t.attempt != attempt {
		*t = task{phase: p, attempt: attempt, machine: m, phaseSince: now, storedErrors: t.storedErrors, logSeq: t.logSeq, fromLog: t.fromLog}
	}
	t.machine = m
	n.markStale(m)
	j.facts.Waiting, j.facts.Placed = j.nWaiting(), j.nPlaced
}

// refillTime is how long a place that became free is usually without a new task.
const refillTime = 100 * time.Millisecond

func (n *Node) reserve(j *job, i int, m *machine) {
	j.nPlaced++
	n.markStale(m)
	tm := n.teams[j.team]
	tm.Used = tm.Used.Add(j.need, 1)
	m.used = m.used.Add(j.need, 1)
	m.tasks[taskKey{j, i}] = struct{}{}
	m.idleSince, m.idleSinceUnknown = time.Time{}, false
}

func (n *Node) release(j *job, i int) {
	j.nPlaced--
	n.freePlace(j, i)
	m := j.tasks[i].machine
	n.markStale(m)
	delete(m.tasks, taskKey{j, i})
	if len(m.tasks) == 0 {
		m.used = Resources{}
		m.idleSince = time.Now()
	}
	n.replan = true
}

// freePlace gives back what a task took, once: when it is known to be gone, which is
// before that is stored. The next task need not wait for the books: should this
// node end before they are written, the next holder counts both until a fenced
// report shows which is there. What is stored first is that task's placement.
func (n *Node) freePlace(j *job, i int) {
	t := &j.tasks[i]
	if t.capacityFreed {
		return
	}
	t.capacityFreed = true
	n.markStale(t.machine)
	tm := n.teams[j.team]
	tm.Used = tm.Used.Add(j.need, -1)
	t.machine.used = t.machine.used.Add(j.need, -1)
	n.replan = true
}

// discardOutcomes takes back what was observed of a job's placed tasks when its share
// is taken over. What this node saw as an earlier holder may be over: another
// holder, not knowing it, may have started the same attempt again meanwhile.
// (Found with simulated troubles: a task ran twice, and a team passed its limit,
// after a share had come back to a node with facts that it had not yet stored.)
func (n *Node) discardOutcomes(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.capacityFreed {
			t.capacityFreed = false
			tm := n.teams[j.team]
			tm.Used = tm.Used.Add(j.need, 1)
			t.machine.used = t.machine.used.Add(j.need, 1)
		}
		t.outcome, t.storing, t.stopRequested, t.unstoredError = outcomeNone, false, false, false
		t.reportedState, t.startSentAt, t.runningSince = reportedNone, time.Time{}, time.Time{}
		n.markStale(t.machine)
	}
}

// dropJob forgets a job whose head is gone: it is final.
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
	if s := n.partitions[j.partition]; len(s.newJobs) > 0 {
		s.newJobs = slices.DeleteFunc(s.newJobs, func(o *job) bool { return o == j })
	}
	list := &n.partitions[j.partition].jobs
	if at, found := slices.BinarySearchFunc(*list, j, byUrgency); found {
		*list = slices.Delete(*list, at, at+1)
	}
}

// orphanSweep is what is left of jobs that are over: their chunks beyond the head.
type orphanSweep struct {
	keys []string // orphans for a while
	last time.Time
}

const (
	// sweepPause is for how long a chunk must be without its job.
	sweepPause = time.Minute
	// mostSwept is how many go at a time.
	mostSwept = 4
)

// removeOrphanChunks lets the leader remove chunks of jobs that are over, when changes are
// ample and nobody waits for any. A job's end removes its head only, in one change with
// its final record; what it leaves would be read at every start, for ever: 781 keys of
// a ticket of 100,000 tasks.
func (n *Node) removeOrphanChunks(now time.Time) {
	if !n.isLeader() || n.sinceContact(now) > 2*time.Second || n.pendingUserChanges > 0 || n.totalPendingWrites() > 0 || !n.rateLimiter.HasSpareRate() {
		return
	}
	s := &n.orphanSweep
	if len(s.keys) == 0 {
		if now.Sub(s.last) >= sweepPause {
			s.last = now
			for key := range n.orphanChunks {
				s.keys = append(s.keys, key)
			}
		}
		return
	}
	if now.Sub(s.last) < sweepPause {
		return
	}
	for range min(mostSwept, len(s.keys)) {
		key := s.keys[0]
		s.keys = s.keys[1:]
		if _, still := n.orphanChunks[key]; !still {
			continue
		}
		id, _ := splitJobKey(key)
		// Should the job be there after all, or come again, nothing is removed.
		n.submitTo(n.backgroundCommitter, &storage.Op{Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(0)), {Key: protocol.JobKey(id)}, n.unchanged(key)},
			Writes: []storage.Write{{Delete: key}}}, func(storage.Result) {})
	}
}

// recordOutcome records a fact about a placed task, to be stored with the next flush.
func (n *Node) recordOutcome(j *job, i int, f taskOutcome) {
	t := &j.tasks[i]
	if t.phase != phasePlaced || t.outcome != outcomeNone {
		return
	}
	t.outcome = f
	n.dirty[j] = true
	n.markStale(t.machine)
	n.freePlace(j, i)
	if j.spec.Shape != protocol.Gang {
		return
	}
	if f == outcomeFinished {
		// If one task of a gang is done, all of them are.
		for k := range j.tasks {
			if j.tasks[k].phase == phasePlaced {
				j.tasks[k].outcome = outcomeFinished
				n.markStale(j.tasks[k].machine)
				n.freePlace(j, k)
			}
		}
	} else if !j.abortAttempt {
		// A gang that lost a task ends its attempt: the rest are stopped, and the
		// next attempt starts only when all of them are known to be gone.
		j.abortAttempt = true
		n.wakeMachines(j)
	}
}

// proposePlacements reserves places for tasks; flush stores them.
func (n *Node) proposePlacements(j *job, tasks []int, to []*machine, now time.Time) {
	for k, i := range tasks {
		n.setPhase(j, i, phaseProposed, to[k], j.nextAttempt, now)
		j.dirtyChunks[i/protocol.TasksPerChunk] = true
	}
	j.nextAttempt++
	n.dirty[j] = true
}

// flush stores what is new of the jobs that no other change is being stored of,
// the most urgent first, and only so much at a time: what cannot be stored at
// once stays here, where it is put in order and gathered by job, and not in a
// queue.
func (n *Node) flush(now time.Time) {
	if len(n.dirty) == 0 {
		return
	}
	most := max(4, int(n.rateLimiter.PerSecond()/3))
	if n.pendingWrites[n.urgentCommitter] >= most && n.pendingWrites[n.backgroundCommitter] >= most {
		return
	}
	ample := n.rateLimiter.HasSpareRate()
	turns := make([][]storeRequest, len(n.partitions))
	for j := range n.dirty {
		if j.writePending || n.jobChangesPaused(j) {
			continue
		}
		if !n.owns(n.partitions[j.partition]) {
			n.revertProposals(j)
			delete(n.dirty, j)
			continue
		}
		if j.dirtySince.IsZero() {
			j.dirtySince = now
		}
		is := j.storeUrgency()
		u, now := storePriority(is, n.unguaranteed(j), now.Sub(j.dirtySince), n.pendingUserChanges > 0, ample)
		if now {
			turns[j.partition] = append(turns[j.partition], storeRequest{j, u, purposeOf[is]})
		}
	}
	order := make([]int, 0, len(turns))
	for i, t := range turns {
		if len(t) == 0 {
			continue
		}
		slices.SortFunc(t, func(a, b storeRequest) int {
			return cmp.Or(a.urgency-b.urgency, a.job.dirtySince.Compare(b.job.dirtySince), strings.Compare(a.job.id, b.job.id))
		})
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(a, b int) int { return turns[a][0].urgency - turns[b][0].urgency })
	for _, i := range order {
		n.storePartition(n.partitions[i], turns[i], most, now)
	}
}

// outcomeBatchDelay is how long the ends of an array's tasks are gathered when changes
// are scarce. The job's end is not among them.
const outcomeBatchDelay = 3 * time.Second

// unguaranteedDelay is how long what is new of a guest's job lets others go first. With
// 25,000 tasks and 800 jobs of a guest it used up the rate: that a task of a job with
// a guarantee was lost was not stored for 300 s, and so it did not run again.
const unguaranteedDelay = 20 * time.Second

// storePriority says how urgent it is to store what has been new of a job for so long,
// and whether its turn has come.
func storePriority(urgency int, guest bool, waits time.Duration, usersWait, ample bool) (int, bool) {
	guest = guest && waits < unguaranteedDelay
	if guest {
		urgency += storeOutcomes // after nearly all else
	}
	return urgency, ample || !(guest && usersWait) && (urgency < storeOutcomes || waits >= outcomeBatchDelay)
}

// How urgent it is to store what is new of a job. That a task was lost is as urgent
// as a start: it can only start again once that is stored.
const (
	storeEnd = iota
	storeUrgentStart
	storeStart
	storeOutcomes
)

func (j *job) storeUrgency() int {
	starts, over, left := false, true, false
	for i := range j.tasks {
		t := &j.tasks[i]
		starts = starts || t.phase == phaseProposed || t.outcome == outcomeGone
		over = over && (t.phase == phaseDone || t.outcome == outcomeFinished || j.taskExhausted(t))
		left = left || t.phase == phasePlaced && t.outcome == outcomeNone
	}
	switch {
	case over || j.cancelled && !left:
		return storeEnd
	case j.cancelled:
		return storeOutcomes // its tasks leave one by one
	case starts && j.rank <= protocol.High || j.spec.Shape == protocol.Gang:
		return storeUrgentStart
	case starts:
		return storeStart
	}
	return storeOutcomes
}

// chunkRecord builds chunk k as it is to be stored by the share's holder, who knows all of its log.
func (n *Node) chunkRecord(j *job, k int) protocol.Chunk {
	c := protocol.Chunk{LogSeq: n.partitions[j.partition].log.LastSeq()}
	lo, hi := j.chunkRange(k)
	for i := lo; i < hi; i++ {
		t := &j.tasks[i]
		if e := t.countedErrors(); e > 0 && t.phase != phaseDone && t.outcome != outcomeFinished {
			c.Errors = append(c.Errors, [2]int{i, e})
		}
		switch {
		case t.phase == phaseDone || t.outcome == outcomeFinished:
			if l := len(c.Done); l > 0 && c.Done[l-1][1] == i-1 {
				c.Done[l-1][1] = i
			} else {
				c.Done = append(c.Done, [2]int{i, i})
			}
		case t.outcome == outcomeGone || t.phase == phaseWaiting || t.phase == phaseExhausted:
		default:
			c.Placed = append(c.Placed, protocol.Placement{Task: i, Attempt: t.attempt, Machine: t.machine.name})
		}
	}
	return c
}

// headRecord builds a job's head as it is to be stored.
func (n *Node) headRecord(j *job) protocol.JobRecord {
	return protocol.JobRecord{Spec: j.spec, SubmittedMS: j.submitted.UnixMilli(), Cancelled: j.cancelled && !j.cancelPending, CancelRequested: j.cancelPending, NextAttempt: j.nextAttempt, Tries: j.failures.tries, Claim: j.claim, Step: j.step, Failed: j.failed, LostRuns: j.history.lostRuns, LastLostMS: j.history.lastLostMS(), Chunk: n.chunkRecord(j, 0)}
}

func mustJSON(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only our own records come here
	}
	return b
}

// storeJob stores all that is new of a job in one conditional change, its end if it is over.
func (n *Node) storeJob(j *job, to *storage.Committer, of changePurpose) {
	n.storeJobAs(j, j.remainingTasks() == 0, to, of)
}

// storeJobAs stores all that is new of a job in one conditional change: that it has ended, or its
// record.
func (n *Node) storeJobAs(j *job, ends bool, to *storage.Committer, of changePurpose) {
	if j.cancelled {
		n.revertProposals(j) // nothing of it may start any more
	}
	touched := j.dirtyChunks
	j.dirtyChunks = map[int]bool{}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.outcome != outcomeNone {
			t.storing = true
			touched[i/protocol.TasksPerChunk] = true
		}
	}
	// The machines need no condition of their own: only the holder moves or
	// returns those of its share, and it does neither while a task is proposed.
	op := &storage.Op{Purpose: uint8(of), Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(j.partition)), n.unchanged(protocol.JobKey(j.id))}}
	if n.mayHaveEntries() {
		op.Conds = append(op.Conds, n.logUnchanged(j.partition), storage.Cond{Key: protocol.FinalKey(j.id)})
	}
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
		n.splitRest(j, touched, op)
	}
	j.writePending = true
	s := n.partitions[j.partition]
	s.pendingRecords++
	n.pendingWrites[to] += len(op.Writes)
	op.Done = func(r storage.Result) {
		n.post(func() {
			s.pendingRecords--
			n.pendingWrites[to] -= len(op.Writes)
			n.stored(j, op, r)
		})
	}
	if !to.Submit(op) {
		s.pendingRecords--
		n.pendingWrites[to] -= len(op.Writes)
		j.writePending = false
		n.stepChangeFinished(j)
		n.revertProposals(j)
	}
}

// remainingTasks is how many tasks keep a job from being over, as far as this node knows.
func (j *job) remainingTasks() int {
	left, anyDone := 0, false
	for i := range j.tasks {
		t := &j.tasks[i]
		anyDone = anyDone || t.phase == phaseDone || t.outcome == outcomeFinished
		if !(t.phase == phaseDone || t.outcome == outcomeFinished || j.taskExhausted(t)) && !(j.cancelled && (t.phase == phaseWaiting || t.phase == phaseProposed || t.outcome == outcomeGone)) {
			left++
		}
	}
	if j.spec.Shape == protocol.Gang && anyDone {
		return 0 // they complete together
	}
	return left
}

// finalStatus is what a job that is over has become.
func (j *job) finalStatus() string {
	if j.cancelled {
		return protocol.JobCancelled
	}
	return protocol.JobDone
}

// totalPendingWrites is how many writes of jobs are under way.
func (n *Node) totalPendingWrites() int {
	return n.pendingWrites[n.urgentCommitter] + n.pendingWrites[n.backgroundCommitter]
}

// splitRest leaves the chunks that did not fit into op for the next change:
// their proposals and facts are not part of this one.
func (n *Node) splitRest(j *job, touched map[int]bool, op *storage.Op) {
	in := map[string]bool{}
	for _, w := range op.Writes {
		in[w.Put] = true
	}
	for k := range touched {
		if in[protocol.ChunkKey(j.id, k)] {
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

func finalWrites(id, status string, tasks int, claim uint32) []storage.Write {
	return []storage.Write{
		{Put: protocol.FinalKey(id), Value: mustJSON(protocol.FinalRecord{Status: status, Tasks: tasks, Claim: claim})},
		{Delete: protocol.JobKey(id)},
	}
}

// stored learns how a change of a job ended.
func (n *Node) stored(j *job, op *storage.Op, r storage.Result) {
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
	n.log.Info("change of a job refused", "job", j.id, "failed", strings.Join(r.Failed, " "), "why", r.Err)
	n.resync(r.Failed, func([]storage.Item, error) {
		j.writePending = false
		n.stepChangeFinished(j)
		n.revertProposals(j)
		if n.jobs[j.id] == j {
			n.dirty[j] = true
		}
	})
}

// onJobEnded tells what became of a job, and where its time went.
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

// applyOwnWrite takes an own committed write into the replica.
func (n *Node) applyOwnWrite(w storage.Write, epoch uint64) {
	it := storage.Item{Key: w.Key(), Value: w.Value, Revision: epoch}
	if strings.HasPrefix(it.Key, protocol.WatchedRoot) {
		n.applyItem(it)
	} else {
		n.applyFinal(it)
	}
}

// revertProposals takes proposals back that were not stored. Facts stay: they are true
// whatever became of the change.
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

// wakeMachines makes machines with tasks of a job be answered soon.
func (n *Node) wakeMachines(j *job) {
	n.markJobStale(j)
	for i := range j.tasks {
		if m := j.tasks[i].machine; m != nil {
			n.scheduleAnswer(m, time.Now())
		}
	}
}

// byUrgency orders jobs by priority and arrival.
func byUrgency(a, b *job) int {
	return cmp.Or(a.rank-b.rank, a.submitted.Compare(b.submitted), strings.Compare(a.id, b.id))
}
