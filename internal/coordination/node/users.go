package node

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"strings"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/statusread"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// finalCache remembers final jobs: what is final never changes. The oldest are
// forgotten first, and are read from the store when asked for again.
type finalCache struct {
	maxEntries int
	byID       map[string]protocol.FinalRecord
	order      []string
}

func newFinalCache(most int) *finalCache {
	return &finalCache{maxEntries: most, byID: map[string]protocol.FinalRecord{}}
}

func (c *finalCache) add(id string, r protocol.FinalRecord) {
	if _, ok := c.byID[id]; !ok {
		c.order = append(c.order, id)
	}
	c.byID[id] = r
	for len(c.order) > c.maxEntries {
		delete(c.byID, c.order[0])
		c.order = c.order[1:]
	}
}

func (n *Node) applyFinal(it storage.Item) {
	id, ok := strings.CutPrefix(it.Key, protocol.FinalRoot)
	if !ok || it.Value == nil {
		return
	}
	var r protocol.FinalRecord
	if err := json.Unmarshal(it.Value, &r); err != nil {
		n.log.Error("final record not understood", "job", id, "why", err)
		return
	}
	n.finalJobs.add(id, r)
}

func finalStatus(id string, r protocol.FinalRecord) protocol.JobStatus {
	s := protocol.JobStatus{ID: id, Status: r.Status}
	if r.Status == protocol.JobDone {
		s.Done = r.Tasks
	}
	if r.Ticket != nil {
		s.Done, s.Terms = 0, &r.Ticket.Terms
		for _, st := range r.Ticket.Steps {
			s.Done, s.Failed = s.Done+st.Done, s.Failed+st.Failed
		}
	}
	return s
}

// status is what users see of a job that is not final.
func (j *job) status() protocol.JobStatus {
	s := protocol.JobStatus{ID: j.id, Status: protocol.JobQueued, Done: j.nDone, Running: j.nPlaced}
	if j.nPlaced > 0 {
		s.Status = protocol.JobRunning
	}
	if j.cancelled && !j.cancelPending {
		s.Status = protocol.JobCancelled
	}
	return s
}

var busyAnswer = answer{status: 503, retryAfterS: 1}

// usersPart is the part of the rate of changes that users can count on while
// the books have much to store too.
const usersPart = 0.85

// rejectIfOverloaded says whether a change that a user waits for could not be stored soon.
// Then the user is told at once when to come back: each one turned away a turn
// later, by what the rate allows, so that they do not all return together.
func (n *Node) rejectIfOverloaded(now time.Time) (answer, bool) {
	perChange := time.Duration(float64(time.Second) / (usersPart * n.rateLimiter.PerSecond()))
	ahead := n.pendingUserChanges + (len(n.packed.submissions)+n.submissionsPerEntry()-1)/n.submissionsPerEntry()
	backlog := now.Add(time.Duration(ahead) * perChange)
	if ahead <= forWaiting || backlog.Sub(now) < maxQueueWait {
		return answer{}, false
	}
	if n.nextRetrySlot.Before(backlog) {
		n.nextRetrySlot = backlog
	}
	if n.mayWriteEntries() {
		perChange /= time.Duration(n.submissionsPerEntry())
	}
	n.nextRetrySlot = n.nextRetrySlot.Add(perChange)
	n.log.Debug("user turned away", "waiting", ahead, "per_second", n.rateLimiter.PerSecond(), "turn_s", n.nextRetrySlot.Sub(now).Seconds())
	return answer{status: 503, retryAfterS: min(30, int(math.Ceil(n.nextRetrySlot.Sub(now).Seconds())))}, true
}

const (
	// maxQueueWait is how long a user's change may wait for its turn to be stored.
	maxQueueWait = 1500 * time.Millisecond
	// forWaiting is how many may wait whatever the rate: the rate has a burst.
	forWaiting = 16
)

// statusRead is a request that needs to know what is stored of a job.
type statusRead struct {
	id       string
	onResult func(known bool, s protocol.JobStatus, err error)
}

type (
	openRead    = statusread.Read[*statusRead]
	readBarrier = statusread.Barrier[*statusRead]
)

// readJobStatus tells a job's state as of now or later. What is final may come from
// memory; anything else is compared with the store first, together with all
// other reads that wait.
func (n *Node) readJobStatus(id string, then func(known bool, s protocol.JobStatus, err error)) {
	if r, ok := n.finalJobs.byID[id]; ok {
		then(true, finalStatus(id, r), nil)
		return
	}
	if !n.statusReads.Add(&statusRead{id: id, onResult: then}, time.Now()) {
		then(false, protocol.JobStatus{}, storage.ErrRefused)
	}
}

// sendReadBarrier sends the read barrier that is due, if any: in one request, a compare-only
// transaction on their stamps, it compares what the replica says of the jobs asked for with
// the store. Whoever waits for too long is told that this can't be decided now.
func (n *Node) sendReadBarrier(now time.Time) {
	for _, r := range n.statusReads.Expired(now) {
		n.metrics.guardRefusals.WithLabelValues("read_unanswered").Inc()
		r.Value.onResult(false, protocol.JobStatus{}, storage.ErrUnknown)
	}
	conditions := &barrierConditions{node: n, inReplica: map[string]bool{}}
	barrier := n.statusReads.NextBarrier(now, conditions.add)
	if barrier == nil {
		return
	}
	conds := conditions.all()
	// A late answer is noticed when the next barrier is due, not with a later tick.
	wake := time.AfterFunc(n.statusReads.RetryDelay(), func() { n.post(func() {}) })
	n.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, statusread.ReadTimeout)
		defer cancel()
		ok, _, failed, err := n.store.Txn(ctx, conds, nil)
		wake.Stop()
		n.post(func() { n.finishReadBarrier(barrier, conditions.inReplica, ok, failed, err) })
	})
}

// barrierConditions are the conditions of one read barrier: that the jobs asked for are
// stored as the replica has them when the barrier is sent.
type barrierConditions struct {
	node        *Node
	initialized bool
	mayBePacked bool            // jobs may be stored in entries of inboxes
	inReplica   map[string]bool // jobs asked for: whether the replica has them
	anyMissing  bool            // it lacks some of them
	conds       []storage.Cond
	inboxConds  []storage.Cond // nothing was accepted that the replica lacks
}

// add adds the conditions for one read. It returns false if there is no room.
func (b *barrierConditions) add(r *statusRead) bool {
	if !b.initialized {
		b.initialized = true
		if b.mayBePacked = b.node.mayHaveEntries(); b.mayBePacked {
			b.inboxConds = b.node.inboxUnchangedConds()
		} else {
			b.conds = append(b.conds, b.node.unchanged(protocol.FormatKey)) // no entry has been written
		}
	}
	if _, added := b.inReplica[r.id]; added {
		return true
	}
	if len(b.conds)+len(b.inboxConds)+2 > 4*b.node.cfg.Params.State.TxnOps {
		return false
	}
	stored := b.node.unchanged(protocol.JobKey(r.id))
	b.inReplica[r.id] = stored.Revision != 0 || b.node.jobs[r.id] != nil
	b.anyMissing = b.anyMissing || !b.inReplica[r.id]
	b.conds = append(b.conds, stored)
	if stored.Revision == 0 || b.mayBePacked {
		b.conds = append(b.conds, storage.Cond{Key: protocol.FinalKey(r.id)})
	}
	return true
}

// all are the conditions of the whole barrier.
func (b *barrierConditions) all() []storage.Cond {
	if b.anyMissing {
		return append(b.conds, b.inboxConds...)
	}
	return b.conds
}

// finishReadBarrier takes in how a barrier ended. known says which of its jobs the replica had when
// it was sent. The replica may have advanced since: it is then newer than what was compared,
// and so all the more no older than the questions.
func (n *Node) finishReadBarrier(barrier *readBarrier, known map[string]bool, ok bool, failed []string, err error) {
	switch {
	case err == nil:
	case errors.Is(err, storage.ErrUnknown):
		n.statusReads.Lost(barrier)
		return
	default:
		for _, r := range n.statusReads.Refused(barrier) {
			r.Value.onResult(false, protocol.JobStatus{}, err)
		}
		return
	}
	answered := n.statusReads.Answered(barrier, time.Now())
	if slices.Contains(failed, protocol.FormatKey) {
		return // entries are written, which this node learns of before the next barrier
	}
	stale, acceptedMore := staleJobs(failed)
	for _, open := range answered {
		r := open.Value
		current := ok || len(failed) > 0 && !stale[r.id]
		switch {
		case open.Closed(): // with another read of this barrier
		case current && n.answerFromReplica(open):
		case !known[r.id] && !stale[r.id] && (acceptedMore || n.anyInboxUnreadable()):
			if n.anyInboxUnreadable() {
				n.closeRead(open, false, protocol.JobStatus{}, storage.ErrUnknown)
			}
			// Otherwise it waits for the next barrier, when the watch has told.
		case current && !known[r.id]:
			n.closeRead(open, false, protocol.JobStatus{}, nil)
		default:
			// Changed meanwhile, perhaps while the answer was on its way: a job that
			// the watch has dropped became final, and is not unknown.
			n.readStored(open)
		}
	}
}

// staleJobs are the jobs that are not stored as a barrier expected, by the keys whose
// conditions failed, and whether more was accepted than the replica knew.
func staleJobs(failed []string) (stale map[string]bool, acceptedMore bool) {
	stale = map[string]bool{}
	for _, key := range failed {
		if strings.HasPrefix(key, protocol.InboxRoot) {
			acceptedMore = true
			continue
		}
		id, final := strings.CutPrefix(key, protocol.FinalRoot)
		if !final {
			id, _ = splitJobKey(key)
		}
		stale[id] = true
	}
	return stale, acceptedMore
}

// closeRead answers a read, unless it was answered or given up meanwhile.
func (n *Node) closeRead(open *openRead, known bool, s protocol.JobStatus, err error) {
	if open.Closed() {
		return
	}
	n.statusReads.Close(open)
	open.Value.onResult(known, s, err)
}

// readStored answers a read from the store: first the job, then what it became,
// since it only moves in that direction. Only if both are missing is it unknown.
func (n *Node) readStored(open *openRead) {
	n.statusReads.MarkResolving(open)
	id := open.Value.id
	n.resync([]string{protocol.JobKey(id), protocol.FinalKey(id)}, func(items []storage.Item, err error) {
		switch {
		case open.Closed():
		case err != nil:
			n.closeRead(open, false, protocol.JobStatus{}, err)
		case n.answerFromReplica(open):
		case items[0].Value != nil || items[1].Value != nil || n.mayHaveEntries():
			n.closeRead(open, false, protocol.JobStatus{}, storage.ErrUnknown)
		default:
			n.closeRead(open, false, protocol.JobStatus{}, nil)
		}
	})
}

// answerFromReplica answers a read from the replica, which is known to be no older than it.
// It returns false, and answers nothing, if the replica has no such job.
func (n *Node) answerFromReplica(open *openRead) bool {
	id := open.Value.id
	if f, ok := n.finalJobs.byID[id]; ok {
		n.closeRead(open, true, finalStatus(id, f), nil)
	} else if j := n.jobs[id]; j != nil && j.step != nil {
		n.closeRead(open, false, protocol.JobStatus{}, nil) // a ticket's step: nobody submitted it
	} else if j != nil {
		n.closeRead(open, true, j.status(), nil)
	} else if t := n.tickets.byID[id]; t != nil {
		n.closeRead(open, true, n.ticketJobStatus(t), nil)
	} else {
		return false
	}
	return true
}

// onPoll answers a poll.
func (n *Node) onPoll(id string, reply chan<- answer) {
	if !n.loaded {
		reply <- busyAnswer
		return
	}
	if _, final := n.finalJobs.byID[id]; !final && n.shedsLoad(time.Now()) {
		n.metrics.guardRefusals.WithLabelValues("load_shed").Inc()
		reply <- retryLaterAnswer // what is final costs nothing to tell
		return
	}
	n.readJobStatus(id, func(known bool, s protocol.JobStatus, err error) {
		switch {
		case err != nil:
			reply <- busyAnswer
		case !known:
			reply <- answer{status: 404, body: errorBody{"no such job"}}
		case n.isGatewayJob(id):
			reply <- askGatewayAnswer
		default:
			reply <- answer{status: 200, body: s}
		}
	})
}

type errorBody struct {
	Error string `json:"error"`
}

// checkRunnable says why a job can never run; decided is false while the machine
// types are not known.
func (n *Node) checkRunnable(s *protocol.JobSpec) (why string, decided bool) {
	ti, ok := n.teamIndex[s.Team]
	if !ok {
		return "unknown team", true
	}
	need := decide.Need(s)
	tm := decide.Team{Limit: n.teams[ti].Limit}
	atOnce := s.Tasks
	if s.Shape == protocol.Array {
		atOnce = 1
	}
	if tm.TasksWithinLimit(need) < atOnce {
		return "more than the team's limit", true
	}
	if len(n.machineTypes) == 0 {
		return "", false
	}
	for _, t := range n.machineTypes {
		for _, z := range t.Zones {
			if decide.Allowed(s, offer{Type: t.Name, Zone: z}) && capacityOf(t).TaskCount(need) > 0 {
				return "", true
			}
		}
	}
	// By a catalogue that is only remembered nothing is refused for ever.
	return "a task fits no allowed machine type", n.catalog.fromCloud != nil
}

// onSubmit accepts a job: it is stored before anybody is told.
func (n *Node) onSubmit(s *protocol.JobSpec, now time.Time, reply chan<- answer) {
	if !n.loaded {
		reply <- busyAnswer
		return
	}
	repeat := func(ifNew func()) {
		n.readJobStatus(s.ID, func(known bool, st protocol.JobStatus, err error) {
			switch {
			case err != nil:
				reply <- busyAnswer
			case known && n.isGatewayJob(s.ID):
				n.unlessGatewayJob(s.ID, reply, func() { reply <- askGatewayAnswer })
			case known:
				reply <- answer{status: 200, body: st}
			default:
				ifNew()
			}
		})
	}
	_, final := n.finalJobs.byID[s.ID]
	if j := n.jobs[s.ID]; j != nil && j.step != nil {
		reply <- answer{status: 422, body: errorBody{"field id: it is that of a ticket's step"}}
		return
	}
	if final || n.jobs[s.ID] != nil || n.tickets.byID[s.ID] != nil {
		repeat(func() { reply <- busyAnswer })
		return
	}
	why, decided := n.checkRunnable(s)
	switch {
	case !decided:
		repeat(func() { reply <- busyAnswer })
		return
	case why != "":
		// A repeat is judged by the stored job, so look first.
		repeat(func() { reply <- answer{status: 422, body: errorBody{why}} })
		return
	}
	n.unlessGatewayJob(s.ID, reply, func() { n.acceptJob(s, now, reply, repeat) })
}

// inboxUnchangedConds are the conditions that nothing was accepted that this node does not know.
func (n *Node) inboxUnchangedConds() []storage.Cond {
	names := map[string]bool{n.cfg.Node: true}
	for name := range n.peers {
		names[name] = true
	}
	for name := range n.packed.inboxes {
		names[name] = true
	}
	var out []storage.Cond
	for name := range names {
		slot, _ := n.inboxOf(name).Next()
		out = append(out, n.unchanged(protocol.InboxKey(name, slot)))
	}
	return out
}

// acceptJob stores a new job.
func (n *Node) acceptJob(s *protocol.JobSpec, now time.Time, reply chan<- answer, repeat func(ifNew func())) {
	if n.shouldBatch() {
		if a, full := n.rejectIfOverloaded(time.Now()); full {
			reply <- a
			return
		}
		n.packed.submissions = append(n.packed.submissions, &submission{spec: s, receivedAt: now, reply: reply, answerAsRepeat: repeat})
		return
	}
	rec := protocol.JobRecord{Spec: s, SubmittedMS: now.UnixMilli(), NextAttempt: 1}
	op := &storage.Op{
		Purpose: uint8(forSubmissions),
		Conds:   append(n.unaccepted(), storage.Cond{Key: protocol.JobKey(s.ID)}, storage.Cond{Key: protocol.FinalKey(s.ID)}),
		Writes:  []storage.Write{{Put: protocol.JobKey(s.ID), Value: mustJSON(rec)}}}
	then := func(r storage.Result) {
		switch {
		case r.OK:
			n.applyOwnWrite(op.Writes[0], r.Revision)
			n.log.Debug("job accepted", "job", s.ID, "class", s.Class, "tasks", s.Tasks, "took_s", time.Since(now).Seconds())
			reply <- answer{status: 201, body: protocol.JobStatus{ID: s.ID, Status: protocol.JobQueued}}
		case r.Err != nil:
			n.log.Debug("submission not stored", "job", s.ID, "why", r.Err, "took_s", time.Since(now).Seconds())
			reply <- busyAnswer
		case slices.Contains(r.Failed, protocol.JobKey(s.ID)) || slices.Contains(r.Failed, protocol.FinalKey(s.ID)):
			repeat(func() { reply <- busyAnswer })
		default:
			n.resync(r.Failed, func(_ []storage.Item, err error) {
				if err != nil || time.Since(now) > maxQueueWait {
					reply <- busyAnswer
					return
				}
				n.onSubmit(s, now, reply) // perhaps another node has accepted it
			})
		}
	}
	n.startUserChange(&userChange{op: op, reply: reply, onResult: then, verify: n.lookForSubmission(s.ID), timeout: submissionTimeout})
}

// lookForSubmission finds out whether a job is accepted while the answer to its storing is
// late: then the user is answered as for a repeated submission.
func (n *Node) lookForSubmission(id string) func(c *userChange) {
	return func(c *userChange) {
		n.verifyByStatus(c, id, func(s protocol.JobStatus) bool {
			if n.isGatewayJob(id) {
				return false
			}
			c.resolve(answer{status: 200, body: s})
			return true
		})
	}
}

// lookForCancellation does the same for a cancellation: its user waits for the job's end, or
// is told of it.
func (n *Node) lookForCancellation(id string, tries int) func(c *userChange) {
	return func(c *userChange) {
		n.verifyByStatus(c, id, func(s protocol.JobStatus) bool {
			j := n.jobs[id]
			switch {
			case s.Status == protocol.JobDone || s.Status == protocol.JobCancelled:
				c.resolve(answer{status: 200, body: protocol.JobStatus{ID: id, Status: s.Status}})
			case j != nil && j.cancelPending:
				c.resolved = true
				n.awaitCancelled(id, []*job{j}, tries, c.reply)
			default:
				return false
			}
			return true
		})
	}
}

// unaccepted are the conditions that nothing was accepted in an entry that this node does not
// know.
func (n *Node) unaccepted() []storage.Cond {
	if !n.mayHaveEntries() {
		return []storage.Cond{n.unchanged(protocol.FormatKey)}
	}
	return n.inboxUnchangedConds()
}

// onCancel cancels a job: from the moment it is stored no start of it can be.
func (n *Node) onCancel(id string, tries int, reply chan<- answer) {
	if !n.loaded {
		reply <- busyAnswer
		return
	}
	n.readJobStatus(id, func(known bool, s protocol.JobStatus, err error) {
		j := n.jobs[id]
		switch {
		case err != nil:
			reply <- busyAnswer
		case !known:
			reply <- answer{status: 404, body: errorBody{"no such job"}}
		case n.isGatewayJob(id):
			reply <- askGatewayAnswer
		case s.Status == protocol.JobDone || s.Status == protocol.JobCancelled || s.Status == protocol.JobFailed:
			reply <- answer{status: 200, body: protocol.JobStatus{ID: id, Status: s.Status}}
		case n.tickets.byID[id] != nil:
			n.cancelTicket(n.tickets.byID[id], tries, reply)
		case j == nil:
			reply <- busyAnswer
		default:
			n.cancelJob(j, tries, reply)
		}
	})
}

// cancelJob cancels a job: from the moment that is stored nothing of it is started. Its user
// is told that it is cancelled once nothing of it is left: by a task's end that is known,
// not by the time within which a worker should have heard. So a controller that has lost
// the state service need not let workers' leases run out for cancellations that it cannot
// know of. (On simulated days with a zone cut off for 70 to 90 s a third of all replicas
// ended with their leases after 47 s.)
func (n *Node) cancelJob(j *job, tries int, reply chan<- answer) {
	if j.cancelPending {
		n.awaitCancelled(j.id, []*job{j}, tries, reply)
		return
	}
	rec := n.storedRecordAtLog(j)
	late := n.confirmsCancelAfterStop()
	rec.Cancelled, rec.CancelRequested = !late, late
	op := &storage.Op{Purpose: uint8(forCancellations), Conds: n.stillOpen(j.id),
		Writes: []storage.Write{{Put: protocol.JobKey(j.id), Value: mustJSON(rec)}}}
	if len(rec.Placed) == 0 && len(j.storedChunks) == 0 && !n.dependsOnEntries(j) && !n.inAnyInbox(j.id) {
		if n.mayHaveEntries() { // nothing of it is placed meanwhile
			op.Conds = append(op.Conds, n.logUnchanged(j.partition))
		} else {
			op.Conds = append(op.Conds, n.unchanged(protocol.FormatKey))
		}
		op.Writes = finalWrites(j.id, protocol.JobCancelled, len(j.tasks), j.claim)
	}
	then := func(r storage.Result) {
		switch {
		case r.OK:
			for _, w := range op.Writes {
				n.applyOwnWrite(w, r.Revision)
			}
			if late && n.jobs[j.id] == j {
				n.awaitCancelled(j.id, []*job{j}, tries, reply)
				return
			}
			reply <- answer{status: 200, body: protocol.JobStatus{ID: j.id, Status: protocol.JobCancelled}}
		case r.Err == nil && tries > 0:
			n.resync([]string{protocol.JobKey(j.id), protocol.FinalKey(j.id)}, func(_ []storage.Item, err error) {
				if err != nil {
					reply <- busyAnswer
					return
				}
				n.onCancel(j.id, tries-1, reply)
			})
		default:
			reply <- busyAnswer
		}
	}
	n.startUserChange(&userChange{op: op, reply: reply, onResult: then, verify: n.lookForCancellation(j.id, tries), timeout: cancellationTimeout})
}

// storedRecord is a job's head as it is stored now, without what is only proposed
// or noted: whoever changes it must not store another's pending decisions.
func (j *job) storedRecord() protocol.JobRecord {
	r := protocol.JobRecord{Spec: j.spec, SubmittedMS: j.submitted.UnixMilli(), Cancelled: j.cancelled && !j.cancelPending, CancelRequested: j.cancelPending, NextAttempt: j.nextAttempt, Tries: j.failures.tries, Claim: j.claim, Step: j.step, Failed: j.failed, LostRuns: j.history.lostRuns, LastLostMS: j.history.lastLostMS()}
	lo, hi := j.chunkRange(0)
	for i := lo; i < hi; i++ {
		if e := int(j.tasks[i].storedErrors); e > 0 && j.tasks[i].phase != phaseDone {
			r.Errors = append(r.Errors, [2]int{i, e})
		}
		switch t := &j.tasks[i]; t.phase {
		case phaseDone:
			if l := len(r.Done); l > 0 && r.Done[l-1][1] == i-1 {
				r.Done[l-1][1] = i
			} else {
				r.Done = append(r.Done, [2]int{i, i})
			}
		case phasePlaced:
			r.Placed = append(r.Placed, protocol.Placement{Task: i, Attempt: t.attempt, Machine: t.machine.name})
		}
	}
	return r
}
