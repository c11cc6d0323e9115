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
	waiting  phase = iota // no machine recorded
	proposed              // a placement is being stored
	placed                // a machine is recorded: the task may be there
	done                  // completed and stored
	spent                 // of a ticket: it used up its tries, and that is stored
)

// fact is what is known of a placed task beyond the record and not stored yet.
type fact uint8

const (
	noFact   fact = iota
	finished      // the worker reported it done
	gone          // it is proven not to be on its machine, and never will be
)

type task struct {
	phase   phase
	fact    fact
	storing bool // the fact is part of a change being stored
	freed   bool // its place counts as free: it is known not to be there
	stop    bool // wanted off its machine
	seen    seenState
	erred   bool  // of a ticket: gone with an error that counts, not stored yet
	errs    uint8 // of a ticket: errors that count, as stored
	// Up to which entry of its share's log it is as it is, and whether an entry says so and
	// not its job's own record; see packed.go.
	logged   uint64
	overlaid bool
	attempt  uint64
	machine  *machine
	since    time.Time // when it began to wait, or was recorded
	sent     time.Time // when a start was last commanded by this node
	began    time.Time // when this node first saw it run
	graceS   float64   // grace of the stop
}

// seenState is a task's state as last reported, as a dense number.
type seenState uint8

const (
	unseen seenState = iota
	seenFetching
	seenWaiting
	seenRunning
	seenSaving
	seenExited
)

var seenStates = map[string]seenState{
	protocol.TaskFetching: seenFetching, protocol.TaskWaiting: seenWaiting,
	protocol.TaskRunning: seenRunning, protocol.TaskSaving: seenSaving, protocol.TaskExited: seenExited,
}

// job is an accepted job that is not final yet.
type job struct {
	id        string
	spec      *protocol.JobSpec
	team      int
	share     int
	rank      int
	need      Amounts
	submitted time.Time
	cancelled bool
	based     bool   // it has a record of its own
	asked     bool   // cancelled, and nobody was told: something of it may be left
	hinted    uint64 // the revision of a record that cancels it, as a sibling says; see cancels.go
	claim     uint32 // of a job of the gateway; see sitejobs.go
	next      uint64
	tasks     []task
	chunks    map[int]bool // stored chunks beyond the head
	nDone     int
	nPlaced   int               // placed or proposed
	nSpent    int               // tasks that used up their tries
	step      *protocol.StepRef // of a ticket's step; see tickets.go
	failed    bool              // of such a job: it is to end since it, or its ticket, has failed
	ending    bool              // of such a job: its end is being stored
	errored   bool              // of such a job: a task of it has errors that count
	busy      bool              // a change is being stored
	heavy     bool
	abandon   bool      // gang: this attempt is to end
	seen      time.Time // when this node learned of it
	roomTill  time.Time // how long to wait for room made where its image is
	allPlaced time.Time // when the last waiting task was first recorded
	started   time.Time // when a task was first seen running
	preempted time.Time // when others may be stopped for it again
	noVictims time.Time // when to look again for others to stop

	// Of a gang that waits for all of its places; see decide.Reservation.
	reserved      []*machine
	reservedSince time.Time
	reserveAfter  time.Time
	expectedStart time.Time

	keptOff time.Time // since when it would fit but for others' reservations

	dirtyAt   time.Time    // since when something of it waits to be stored
	trouble   trouble      // its tasks' errors
	notBefore time.Time    // start nothing before, after errors
	waits     decide.Kind  // why its tasks wait, as the last look had it
	facts     decide.Job   // what decisions see of it; see facts.go
	story     story        // what this node saw of its runs; see account.go
	taskChunk map[int]bool // chunks to be written by the next change
}

func (j *job) nWaiting() int { return len(j.tasks) - j.nDone - j.nPlaced - j.nSpent }

func (j *job) chunkRange(k int) (lo, hi int) {
	return k * protocol.ChunkTasks, min(len(j.tasks), (k+1)*protocol.ChunkTasks)
}

func (n *Node) stamp(key string) uint64 {
	if !n.exists(key) {
		return 0
	}
	return n.ver[key]
}

func (n *Node) cond(key string) storage.Cond { return storage.Cond{Key: key, Stamp: n.stamp(key)} }

// setJob takes in a job's head: its own record, or what an inbox says of it.
func (n *Node) setJob(id string, r *protocol.JobRecord, based bool) {
	j := n.jobs[id]
	fresh := j == nil
	if fresh {
		team, ok := n.teamOf[r.Spec.Team]
		if !ok {
			n.log.Error("job of an unknown team", "job", id, "team", r.Spec.Team)
			return
		}
		j = &job{id: id, spec: r.Spec, team: team, share: n.teams[team].share, rank: r.Spec.Rank(),
			need:      decide.Need(r.Spec),
			submitted: time.UnixMilli(r.SubmittedMS), tasks: make([]task, r.Spec.Tasks), step: r.Step,
			chunks: map[int]bool{}, taskChunk: map[int]bool{}}
		now := time.Now()
		j.seen = now
		for i := range j.tasks {
			j.tasks[i].since = now
		}
		j.facts = newJobFacts(j)
		j.story.tell(j.submitted, "accepted")
		n.jobs[id] = j
		n.arrived(j, now)
		n.shares[j.share].fresh = append(n.shares[j.share].fresh, j)
		list := &n.shares[j.share].jobs
		at, _ := slices.BinarySearchFunc(*list, j, byUrgency)
		*list = slices.Insert(*list, at, j)
		for key, c := range n.orphans {
			if oid, k := splitJobKey(key); oid == id {
				delete(n.orphans, key)
				j.chunks[k] = true
				n.setTasks(j, k, &c)
			}
		}
	}
	j.based = j.based || based
	if r.Claim > j.claim {
		j.claim = r.Claim
		n.reclaimed(id, r.Claim)
	}
	j.story.learn(r.Lost, r.LostMS)
	j.failed = j.failed || r.Failed
	j.asked = r.Asked && !r.Cancelled
	if (r.Cancelled || r.Asked || r.Failed) && !j.cancelled {
		j.cancelled, j.facts.Cancelled = true, true
		n.ending[j] = true
		j.story.tell(time.Now(), map[bool]string{true: "to end: it or its ticket failed", false: "cancelled"}[j.failed])
		n.log.Info("job is cancelled", "job", id, "placed", j.nPlaced, "failed", j.failed)
		n.wakeMachines(j)
		n.stopDirectly(j)
		n.dirty[j] = true
	}
	j.next = max(j.next, r.Next)
	n.learnTries(j, r.Tries, time.Now())
	n.setTasks(j, 0, &r.Chunk)
	if fresh {
		n.overlayAll(j)
	}
}

// learnTries learns how often a job that fails everywhere was tried: who takes over need
// not find out again. Its holder knows.
func (n *Node) learnTries(j *job, tries int, now time.Time) {
	if f := &j.trouble; tries > f.tries && !n.mine(n.shares[j.share]) {
		f.mistake, f.tries, f.from = true, tries, j.next
		j.pauseTries(now)
	}
}

// setChunk takes in a chunk of tasks beyond the head.
func (n *Node) setChunk(id string, k int, key string, c protocol.Chunk, ok bool) {
	j := n.jobs[id]
	switch {
	case !ok:
		delete(n.orphans, key)
		if j != nil {
			delete(j.chunks, k)
		}
	case j == nil:
		n.orphans[key] = c
	default:
		j.chunks[k] = true
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
			j.next = max(j.next, p.Attempt+1)
		}
	}
	if j.step != nil {
		defer n.ticketChanged(j.step.Ticket)
		for _, e := range c.Errors {
			if e[0] >= lo && e[0] < hi {
				j.tasks[e[0]].errs = uint8(min(e[1], 255))
				j.errored = true
			}
		}
	}
	for i := lo; i < hi; i++ {
		if t := &j.tasks[i]; t.overlaid && t.logged > c.Log {
			continue // its share's log tells something later
		}
		switch p := want[i-lo]; {
		case isDone[i-lo]:
			n.assign(j, i, done, "", 0, now)
		case p.Machine != "":
			n.assign(j, i, placed, p.Machine, p.Attempt, now)
		default:
			n.assign(j, i, waiting, "", 0, now)
		}
		j.tasks[i].logged, j.tasks[i].overlaid = c.Log, false
	}
	n.assigned(j)
}

// assign makes a task what is stored of it, and keeps what was observed of a placement
// that stays.
func (n *Node) assign(j *job, i int, is phase, machine string, attempt uint64, now time.Time) {
	t := &j.tasks[i]
	switch {
	case is == done:
		n.setPhase(j, i, done, nil, 0, now)
	case is == placed:
		m := n.machine(machine)
		if t.phase == placed && t.machine == m && t.attempt == attempt {
			t.storing = false
			return
		}
		fresh := t.phase == proposed && t.machine == m && t.attempt == attempt
		n.setPhase(j, i, placed, m, attempt, now)
		if fresh {
			n.wake(m, now)
			n.starts[m] = true
		}
	case j.spentAll(int(t.errs)):
		n.setPhase(j, i, spent, nil, 0, now)
	case t.phase != waiting:
		n.setPhase(j, i, waiting, nil, 0, now)
	}
}

// assigned follows what is stored of some tasks.
func (n *Node) assigned(j *job) {
	if j.abandon && j.nPlaced == 0 {
		j.abandon = false
		n.touchJob(j)
	}
	if j.cancelled || j.nDone+j.nSpent == len(j.tasks) {
		n.dirty[j] = true
	}
}

// setPhase is the one place where a task changes its phase, and with it what
// its team and its machine are counted to use: from before a placement is
// stored until the task is known to be gone.
func (n *Node) setPhase(j *job, i int, p phase, m *machine, attempt uint64, now time.Time) {
	t := &j.tasks[i]
	holds := func(p phase) bool { return p == proposed || p == placed }
	other := t.machine != m || t.attempt != attempt
	if holds(t.phase) && other {
		// The worker is to forget the task, but not before what may take its place
		// is stored: then both go in one answer.
		n.wake(t.machine, now.Add(refillTime))
		n.release(j, i)
	}
	if holds(p) && (other || !holds(t.phase)) {
		n.reserve(j, i, m)
	}
	if t.phase != done && p == done {
		j.nDone++
	}
	if t.phase == done && p != done {
		j.nDone--
	}
	if t.phase != spent && p == spent {
		j.nSpent++
	}
	if t.phase == spent && p != spent {
		j.nSpent--
	}
	if t.phase != p || t.attempt != attempt {
		*t = task{phase: p, attempt: attempt, machine: m, since: now, errs: t.errs, logged: t.logged, overlaid: t.overlaid}
	}
	t.machine = m
	n.touch(m)
	j.facts.Waiting, j.facts.Placed = j.nWaiting(), j.nPlaced
}

// refillTime is how long a place that became free is usually without a new task.
const refillTime = 100 * time.Millisecond

func (n *Node) reserve(j *job, i int, m *machine) {
	j.nPlaced++
	n.touch(m)
	tm := n.teams[j.team]
	tm.Used = tm.Used.Add(j.need, 1)
	m.used = m.used.Add(j.need, 1)
	m.on[taskKey{j, i}] = struct{}{}
	m.idleSince, m.idleUnseen = time.Time{}, false
}

func (n *Node) release(j *job, i int) {
	j.nPlaced--
	n.freePlace(j, i)
	m := j.tasks[i].machine
	n.touch(m)
	delete(m.on, taskKey{j, i})
	if len(m.on) == 0 {
		m.used = Amounts{}
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
	if t.freed {
		return
	}
	t.freed = true
	n.touch(t.machine)
	tm := n.teams[j.team]
	tm.Used = tm.Used.Add(j.need, -1)
	t.machine.used = t.machine.used.Add(j.need, -1)
	n.replan = true
}

// forgetFacts takes back what was observed of a job's placed tasks when its share
// is taken over. What this node saw as an earlier holder may be over: another
// holder, not knowing it, may have started the same attempt again meanwhile.
// (Found with simulated troubles: a task ran twice, and a team passed its limit,
// after a share had come back to a node with facts that it had not yet stored.)
func (n *Node) forgetFacts(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.freed {
			t.freed = false
			tm := n.teams[j.team]
			tm.Used = tm.Used.Add(j.need, 1)
			t.machine.used = t.machine.used.Add(j.need, 1)
		}
		t.fact, t.storing, t.stop, t.erred = noFact, false, false, false
		t.seen, t.sent, t.began = unseen, time.Time{}, time.Time{}
		n.touch(t.machine)
	}
}

// dropJob forgets a job whose head is gone: it is final.
func (n *Node) dropJob(id string) {
	j := n.jobs[id]
	if j == nil {
		return
	}
	if j.step != nil {
		n.ticketChanged(j.step.Ticket)
	}
	n.noteEnd(j)
	n.endReservation(j, time.Now())
	defer n.tellAskers(id)
	for i := range j.tasks {
		n.setPhase(j, i, waiting, nil, 0, time.Time{})
	}
	for k := range j.chunks {
		n.orphans[protocol.ChunkKey(id, k)] = protocol.Chunk{}
	}
	delete(n.jobs, id)
	delete(n.dirty, j)
	delete(n.ending, j)
	n.unkeep(j)
	if s := n.shares[j.share]; len(s.fresh) > 0 {
		s.fresh = slices.DeleteFunc(s.fresh, func(o *job) bool { return o == j })
	}
	list := &n.shares[j.share].jobs
	if at, found := slices.BinarySearchFunc(*list, j, byUrgency); found {
		*list = slices.Delete(*list, at, at+1)
	}
}

// sweep is what is left of jobs that are over: their chunks beyond the head.
type sweep struct {
	keys []string // orphans for a while
	last time.Time
}

const (
	// sweepPause is for how long a chunk must be without its job.
	sweepPause = time.Minute
	// mostSwept is how many go at a time.
	mostSwept = 4
)

// sweepChunks lets the leader remove chunks of jobs that are over, when changes are
// ample and nobody waits for any. A job's end removes its head only, in one change with
// its final record; what it leaves would be read at every start, for ever: 781 keys of
// a ticket of 100,000 tasks.
func (n *Node) sweepChunks(now time.Time) {
	if !n.leads() || n.sinceContact(now) > 2*time.Second || n.asked > 0 || n.storingAll() > 0 || !n.pace.Ample() {
		return
	}
	s := &n.swept
	if len(s.keys) == 0 {
		if now.Sub(s.last) >= sweepPause {
			s.last = now
			for key := range n.orphans {
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
		if _, still := n.orphans[key]; !still {
			continue
		}
		id, _ := splitJobKey(key)
		// Should the job be there after all, or come again, nothing is removed.
		n.submitTo(n.books, &storage.Op{Conds: []storage.Cond{n.cond(protocol.HolderKey(0)), {Key: protocol.JobKey(id)}, n.cond(key)},
			Writes: []storage.Write{{Delete: key}}}, func(storage.Result) {})
	}
}

// note records a fact about a placed task, to be stored with the next flush.
func (n *Node) note(j *job, i int, f fact) {
	t := &j.tasks[i]
	if t.phase != placed || t.fact != noFact {
		return
	}
	t.fact = f
	n.dirty[j] = true
	n.touch(t.machine)
	n.freePlace(j, i)
	if j.spec.Shape != protocol.Gang {
		return
	}
	if f == finished {
		// If one task of a gang is done, all of them are.
		for k := range j.tasks {
			if j.tasks[k].phase == placed {
				j.tasks[k].fact = finished
				n.touch(j.tasks[k].machine)
				n.freePlace(j, k)
			}
		}
	} else if !j.abandon {
		// A gang that lost a task ends its attempt: the rest are stopped, and the
		// next attempt starts only when all of them are known to be gone.
		j.abandon = true
		n.wakeMachines(j)
	}
}

// propose reserves places for tasks; flush stores them.
func (n *Node) propose(j *job, tasks []int, to []*machine, now time.Time) {
	for k, i := range tasks {
		n.setPhase(j, i, proposed, to[k], j.next, now)
		j.taskChunk[i/protocol.ChunkTasks] = true
	}
	j.next++
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
	most := max(4, int(n.pace.PerSecond()/3))
	if n.storing[n.press] >= most && n.storing[n.books] >= most {
		return
	}
	ample := n.pace.Ample()
	turns := make([][]turn, len(n.shares))
	for j := range n.dirty {
		if j.busy || n.quieted(j) {
			continue
		}
		if !n.mine(n.shares[j.share]) {
			n.revert(j)
			delete(n.dirty, j)
			continue
		}
		if j.dirtyAt.IsZero() {
			j.dirtyAt = now
		}
		is := j.urgency()
		u, now := storeTurn(is, n.guest(j), now.Sub(j.dirtyAt), n.asked > 0, ample)
		if now {
			turns[j.share] = append(turns[j.share], turn{j, u, spendingOf[is]})
		}
	}
	order := make([]int, 0, len(turns))
	for i, t := range turns {
		if len(t) == 0 {
			continue
		}
		slices.SortFunc(t, func(a, b turn) int {
			return cmp.Or(a.urgency-b.urgency, a.job.dirtyAt.Compare(b.job.dirtyAt), strings.Compare(a.job.id, b.job.id))
		})
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(a, b int) int { return turns[a][0].urgency - turns[b][0].urgency })
	for _, i := range order {
		n.storeShare(n.shares[i], turns[i], most, now)
	}
}

// factPause is how long the ends of an array's tasks are gathered when changes
// are scarce. The job's end is not among them.
const factPause = 3 * time.Second

// guestPatience is how long what is new of a guest's job lets others go first. With
// 25,000 tasks and 800 jobs of a guest it used up the rate: that a task of a job with
// a guarantee was lost was not stored for 300 s, and so it did not run again.
const guestPatience = 20 * time.Second

// storeTurn says how urgent it is to store what has been new of a job for so long,
// and whether its turn has come.
func storeTurn(urgency int, guest bool, waits time.Duration, usersWait, ample bool) (int, bool) {
	guest = guest && waits < guestPatience
	if guest {
		urgency += onlyFacts // after nearly all else
	}
	return urgency, ample || !(guest && usersWait) && (urgency < onlyFacts || waits >= factPause)
}

// How urgent it is to store what is new of a job. That a task was lost is as urgent
// as a start: it can only start again once that is stored.
const (
	itsEnd = iota
	urgentStart
	otherStart
	onlyFacts
)

func (j *job) urgency() int {
	starts, over, left := false, true, false
	for i := range j.tasks {
		t := &j.tasks[i]
		starts = starts || t.phase == proposed || t.fact == gone
		over = over && (t.phase == done || t.fact == finished || j.willBeSpent(t))
		left = left || t.phase == placed && t.fact == noFact
	}
	switch {
	case over || j.cancelled && !left:
		return itsEnd
	case j.cancelled:
		return onlyFacts // its tasks leave one by one
	case starts && j.rank <= protocol.High || j.spec.Shape == protocol.Gang:
		return urgentStart
	case starts:
		return otherStart
	}
	return onlyFacts
}

// record builds chunk k as it is to be stored by the share's holder, who knows all of its log.
func (n *Node) record(j *job, k int) protocol.Chunk {
	c := protocol.Chunk{Log: n.shares[j.share].log.Last()}
	lo, hi := j.chunkRange(k)
	for i := lo; i < hi; i++ {
		t := &j.tasks[i]
		if e := t.errors(); e > 0 && t.phase != done && t.fact != finished {
			c.Errors = append(c.Errors, [2]int{i, e})
		}
		switch {
		case t.phase == done || t.fact == finished:
			if l := len(c.Done); l > 0 && c.Done[l-1][1] == i-1 {
				c.Done[l-1][1] = i
			} else {
				c.Done = append(c.Done, [2]int{i, i})
			}
		case t.fact == gone || t.phase == waiting || t.phase == spent:
		default:
			c.Placed = append(c.Placed, protocol.Placement{Task: i, Attempt: t.attempt, Machine: t.machine.name})
		}
	}
	return c
}

// head builds a job's head as it is to be stored.
func (n *Node) head(j *job) protocol.JobRecord {
	return protocol.JobRecord{Spec: j.spec, SubmittedMS: j.submitted.UnixMilli(), Cancelled: j.cancelled && !j.asked, Asked: j.asked, Next: j.next, Tries: j.trouble.tries, Claim: j.claim, Step: j.step, Failed: j.failed, Lost: j.story.lost, LostMS: j.story.lostMS(), Chunk: n.record(j, 0)}
}

func mustJSON(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only our own records come here
	}
	return b
}

// save stores all that is new of a job in one conditional change, its end if it is over.
func (n *Node) save(j *job, to *storage.Committer, of spending) {
	n.saveAs(j, j.left() == 0, to, of)
}

// saveAs stores all that is new of a job in one conditional change: that it has ended, or its
// record.
func (n *Node) saveAs(j *job, ends bool, to *storage.Committer, of spending) {
	if j.cancelled {
		n.revert(j) // nothing of it may start any more
	}
	touched := j.taskChunk
	j.taskChunk = map[int]bool{}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.fact != noFact {
			t.storing = true
			touched[i/protocol.ChunkTasks] = true
		}
	}
	// The machines need no condition of their own: only the holder moves or
	// returns those of its share, and it does neither while a task is proposed.
	op := &storage.Op{For: uint8(of), Conds: []storage.Cond{n.cond(protocol.HolderKey(j.share)), n.cond(protocol.JobKey(j.id))}}
	if n.packedEver() {
		op.Conds = append(op.Conds, n.nextEntry(j.share), storage.Cond{Key: protocol.FinalKey(j.id)})
	}
	if ends && j.step != nil {
		if !n.endStep(j, op) {
			j.taskChunk = touched
			n.dirty[j] = true
			return
		}
	} else if ends {
		op.Writes = finalWrites(j.id, j.endsAs(), len(j.tasks), j.claim)
	} else {
		if len(touched) == 0 {
			return
		}
		delete(touched, 0)
		op.Writes = append(op.Writes, storage.Write{Put: protocol.JobKey(j.id), Value: mustJSON(n.head(j))})
		for k := range touched {
			key := protocol.ChunkKey(j.id, k)
			op.Conds = append(op.Conds, n.cond(key))
			op.Writes = append(op.Writes, storage.Write{Put: key, Value: mustJSON(n.record(j, k))})
			if len(op.Writes) >= min(8, n.cfg.Params.State.TxnOps-1) {
				break
			}
		}
		n.splitRest(j, touched, op)
	}
	j.busy = true
	s := n.shares[j.share]
	s.saving++
	n.storing[to] += len(op.Writes)
	op.Done = func(r storage.Result) {
		n.post(func() {
			s.saving--
			n.storing[to] -= len(op.Writes)
			n.stored(j, op, r)
		})
	}
	if !to.Submit(op) {
		s.saving--
		n.storing[to] -= len(op.Writes)
		j.busy = false
		n.stepEnded(j)
		n.revert(j)
	}
}

// left is how many tasks keep a job from being over, as far as this node knows.
func (j *job) left() int {
	left, anyDone := 0, false
	for i := range j.tasks {
		t := &j.tasks[i]
		anyDone = anyDone || t.phase == done || t.fact == finished
		if !(t.phase == done || t.fact == finished || j.willBeSpent(t)) && !(j.cancelled && (t.phase == waiting || t.phase == proposed || t.fact == gone)) {
			left++
		}
	}
	if j.spec.Shape == protocol.Gang && anyDone {
		return 0 // they complete together
	}
	return left
}

// endsAs is what a job that is over has become.
func (j *job) endsAs() string {
	if j.cancelled {
		return protocol.JobCancelled
	}
	return protocol.JobDone
}

// storingAll is how many writes of jobs are under way.
func (n *Node) storingAll() int { return n.storing[n.press] + n.storing[n.books] }

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
		j.taskChunk[k] = true
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
		n.metrics.state.WithLabelValues("stored").Inc()
		for _, w := range op.Writes {
			n.learn(w, r.Epoch)
		}
		j.busy = false
		n.stepEnded(j)
		if j.nWaiting() == 0 && j.allPlaced.IsZero() {
			j.allPlaced = time.Now()
		}
		if n.jobs[j.id] != j {
			n.ended(j)
		}
		return
	}
	n.metrics.state.WithLabelValues("refused").Inc()
	n.log.Info("change of a job refused", "job", j.id, "failed", strings.Join(r.Failed, " "), "why", r.Err)
	n.resync(r.Failed, func([]storage.Item, error) {
		j.busy = false
		n.stepEnded(j)
		n.revert(j)
		if n.jobs[j.id] == j {
			n.dirty[j] = true
		}
	})
}

// ended tells what became of a job, and where its time went.
func (n *Node) ended(j *job) {
	now := time.Now()
	n.remember(j, now)
	if !j.cancelled {
		since(n.metrics.finish.WithLabelValues(n.metrics.class(j.spec.Class)), j.submitted, now)
	}
	after := func(t time.Time) float64 {
		if t.IsZero() {
			return -1
		}
		return t.Sub(j.submitted).Seconds()
	}
	n.log.Info("job ended", "job", j.id, "class", j.spec.Class, "team", j.spec.Team, "tasks", j.spec.Tasks, "cancelled", j.cancelled,
		"placed_s", after(j.allPlaced), "started_s", after(j.started), "ended_s", after(now))
}

// learn takes an own committed write into the replica.
func (n *Node) learn(w storage.Write, epoch uint64) {
	it := storage.Item{Key: w.Key(), Value: w.Value, Stamp: epoch}
	if strings.HasPrefix(it.Key, protocol.Root) {
		n.apply(it)
	} else {
		n.applyFinal(it)
	}
}

// revert takes proposals back that were not stored. Facts stay: they are true
// whatever became of the change.
func (n *Node) revert(j *job) {
	now := time.Now()
	for i := range j.tasks {
		t := &j.tasks[i]
		t.storing = false
		if t.phase == proposed {
			n.setPhase(j, i, waiting, nil, 0, now)
		}
		if t.fact != noFact {
			j.taskChunk[i/protocol.ChunkTasks] = true
		}
	}
	n.replan = true
}

// wakeMachines makes machines with tasks of a job be answered soon.
func (n *Node) wakeMachines(j *job) {
	n.touchJob(j)
	for i := range j.tasks {
		if m := j.tasks[i].machine; m != nil {
			n.wake(m, time.Now())
		}
	}
}

// byUrgency orders jobs by priority and arrival.
func byUrgency(a, b *job) int {
	return cmp.Or(a.rank-b.rank, a.submitted.Compare(b.submitted), strings.Compare(a.id, b.id))
}
