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

// finalCache caches the records of final jobs, which never change. When it is full the
// oldest entries are evicted; an evicted record is read from the state service again when
// it is asked for.
type finalCache struct {
	maxEntries int
	byID       map[string]protocol.FinalRecord
	order      []string
}

func newFinalCache(maxEntries int) *finalCache {
	return &finalCache{maxEntries: maxEntries, byID: map[string]protocol.FinalRecord{}}
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

// applyFinal adds a final record to the cache.
func (n *Node) applyFinal(item storage.Item) {
	id, ok := strings.CutPrefix(item.Key, protocol.FinalRoot)
	if !ok || item.Value == nil {
		return
	}
	var record protocol.FinalRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		n.log.Error("final record not understood; ignoring it", "job", id, "why", err)
		return
	}
	n.finalJobs.add(id, record)
}

// finalStatus returns the status that users are shown for a final job.
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

// status is the status that users are shown for a job that is not final.
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

// busyAnswer asks users to retry the request after a second.
var busyAnswer = answer{status: 503, retryAfterS: 1}

// userWriteFraction is the fraction of the write rate that user changes can count on while
// the background committer has a backlog too.
const userWriteFraction = 0.85

// rejectIfOverloaded reports whether a user's change could not be stored within maxQueueWait,
// and returns the 503 answer for that case. Successive rejected users get retry times spaced by
// the write rate, so that they do not all return together.
func (n *Node) rejectIfOverloaded(now time.Time) (answer, bool) {
	perChange := time.Duration(float64(time.Second) / (userWriteFraction * n.rateLimiter.PerSecond()))
	queued := n.pendingUserChanges + (len(n.packed.submissions)+n.submissionsPerEntry()-1)/n.submissionsPerEntry()
	queueEnd := now.Add(time.Duration(queued) * perChange)
	if queued <= queueBurst || queueEnd.Sub(now) < maxQueueWait {
		return answer{}, false
	}
	if n.nextRetrySlot.Before(queueEnd) {
		n.nextRetrySlot = queueEnd
	}
	if n.mayWriteEntries() {
		perChange /= time.Duration(n.submissionsPerEntry())
	}
	n.nextRetrySlot = n.nextRetrySlot.Add(perChange)
	n.log.Debug("user turned away", "waiting", queued, "per_second", n.rateLimiter.PerSecond(), "turn_s", n.nextRetrySlot.Sub(now).Seconds())
	return answer{status: 503, retryAfterS: min(30, int(math.Ceil(n.nextRetrySlot.Sub(now).Seconds())))}, true
}

const (
	// maxQueueWait is how long a user's change may wait in the queue before it is stored.
	maxQueueWait = 1500 * time.Millisecond
	// queueBurst is how many changes may be queued whatever the write rate: the rate limiter
	// allows a burst.
	queueBurst = 16
)

// statusRead is a request that needs the stored status of a job.
type statusRead struct {
	id       string
	onResult func(known bool, s protocol.JobStatus, err error)
}

type (
	openRead    = statusread.Read[*statusRead]
	readBarrier = statusread.Barrier[*statusRead]
)

// readJobStatus passes a job's status, as of now or later, to onResult. The status of a final
// job may come from the cache; any other is first compared with the state service, together
// with all other pending reads.
func (n *Node) readJobStatus(id string, onResult func(known bool, s protocol.JobStatus, err error)) {
	if r, ok := n.finalJobs.byID[id]; ok {
		onResult(true, finalStatus(id, r), nil)
		return
	}
	if !n.statusReads.Add(&statusRead{id: id, onResult: onResult}, time.Now()) {
		onResult(false, protocol.JobStatus{}, storage.ErrRefused)
	}
}

// sendReadBarrier sends the read barrier that is due, if any: one compare-only transaction on
// the stamps of the requested jobs, which verifies that the replica's view of them is current.
// A read that has waited too long is answered that its result is unknown.
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
	// Wakes the actor when the next barrier is due, so that a retry does not wait for the next tick.
	wake := time.AfterFunc(n.statusReads.RetryDelay(), func() { n.post(func() {}) })
	n.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, statusread.ReadTimeout)
		defer cancel()
		ok, _, failed, err := n.store.Txn(ctx, conds, nil)
		wake.Stop()
		n.post(func() { n.finishReadBarrier(barrier, conditions.inReplica, ok, failed, err) })
	})
}

// barrierConditions collects the conditions of one read barrier: the requested jobs are stored
// as the replica has them when the barrier is sent.
type barrierConditions struct {
	node        *Node
	initialized bool
	mayBePacked bool            // jobs may be stored in inbox entries
	inReplica   map[string]bool // for each requested job, whether the replica has it
	anyMissing  bool            // the replica lacks at least one requested job
	conds       []storage.Cond
	inboxConds  []storage.Cond // no inbox has an entry that the replica lacks
}

// add adds the conditions for one read. It returns false if there is no room for them.
func (b *barrierConditions) add(r *statusRead) bool {
	if !b.initialized {
		b.initialized = true
		if b.mayBePacked = b.node.mayHaveEntries(); b.mayBePacked {
			b.inboxConds = b.node.inboxUnchangedConds()
		} else {
			b.conds = append(b.conds, b.node.unchanged(protocol.FormatKey)) // fails if jobs are stored in entries by now
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

// all returns the conditions of the whole barrier.
func (b *barrierConditions) all() []storage.Cond {
	if b.anyMissing {
		return append(b.conds, b.inboxConds...)
	}
	return b.conds
}

// finishReadBarrier handles the result of a barrier. inReplica tells which of its jobs the
// replica had when the barrier was sent. The replica may have advanced since then; it is then
// newer than the compared state, and so still recent enough for the barrier's reads.
func (n *Node) finishReadBarrier(barrier *readBarrier, inReplica map[string]bool, ok bool, failed []string, err error) {
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
		return // jobs are stored in entries by now; the watch delivers that before the next barrier
	}
	stale, acceptedMore := staleJobs(failed)
	for _, open := range answered {
		r := open.Value
		current := ok || len(failed) > 0 && !stale[r.id]
		switch {
		case open.Closed(): // answered together with another read of this barrier
		case current && n.answerFromReplica(open):
		case !inReplica[r.id] && !stale[r.id] && (acceptedMore || n.anyInboxUnreadable()):
			if n.anyInboxUnreadable() {
				n.closeRead(open, false, protocol.JobStatus{}, storage.ErrUnknown)
			}
			// Otherwise the read waits for the next barrier, by when the watch has delivered the
			// missing entries.
		case current && !inReplica[r.id]:
			n.closeRead(open, false, protocol.JobStatus{}, nil)
		default:
			// The job changed, perhaps while the barrier was in flight: a job that the watch has
			// removed from the replica became final and is not unknown.
			n.resolveFromStore(open)
		}
	}
}

// staleJobs returns, from the keys whose conditions failed, the jobs that are not stored as a
// barrier expected, and whether an inbox has entries that the replica lacks.
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

// closeRead answers a read, unless it was answered or expired meanwhile.
func (n *Node) closeRead(open *openRead, known bool, s protocol.JobStatus, err error) {
	if open.Closed() {
		return
	}
	n.statusReads.Close(open)
	open.Value.onResult(known, s, err)
}

// resolveFromStore answers a read from the state service. It reads the job's record before the
// final record, since a job only moves from the first to the second; the job is unknown only if
// both are missing.
func (n *Node) resolveFromStore(open *openRead) {
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

// answerFromReplica answers a read from the replica, which the caller has verified to be recent
// enough. It returns false, and answers nothing, if the replica does not have the job.
func (n *Node) answerFromReplica(open *openRead) bool {
	id := open.Value.id
	if f, ok := n.finalJobs.byID[id]; ok {
		n.closeRead(open, true, finalStatus(id, f), nil)
	} else if j := n.jobs[id]; j != nil && j.step != nil {
		n.closeRead(open, false, protocol.JobStatus{}, nil) // a ticket's step, which no user submitted
	} else if j != nil {
		n.closeRead(open, true, j.status(), nil)
	} else if t := n.tickets.byID[id]; t != nil {
		n.closeRead(open, true, n.ticketJobStatus(t), nil)
	} else {
		return false
	}
	return true
}

// onPoll answers a status poll.
func (n *Node) onPoll(id string, reply chan<- answer) {
	if !n.loaded {
		reply <- busyAnswer
		return
	}
	if _, final := n.finalJobs.byID[id]; !final && n.shedsLoad(time.Now()) {
		n.metrics.guardRefusals.WithLabelValues("load_shed").Inc()
		reply <- retryLaterAnswer // final jobs are answered from memory, at no cost, even under overload
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

// errorBody is the body of an error answer.
type errorBody struct {
	Error string `json:"error"`
}

// checkRunnable returns the reason why a job can never run, or "". decided is false while the
// machine types that the check needs are not known.
func (n *Node) checkRunnable(spec *protocol.JobSpec) (reason string, decided bool) {
	team, ok := n.teamIndex[spec.Team]
	if !ok {
		return "unknown team", true
	}
	need := decide.Need(spec)
	limits := decide.Team{Limit: n.teams[team].Limit}
	minTasks := spec.Tasks
	if spec.Shape == protocol.Array {
		minTasks = 1
	}
	if limits.TasksWithinLimit(need) < minTasks {
		return "more than the team's limit", true
	}
	if len(n.machineTypes) == 0 {
		return "", false
	}
	for _, t := range n.machineTypes {
		for _, z := range t.Zones {
			if decide.Allowed(spec, offer{Type: t.Name, Zone: z}) && capacityOf(t).TaskCount(need) > 0 {
				return "", true
			}
		}
	}
	// While the catalogue is only the stored one, not yet confirmed by the cloud, no job is
	// rejected for good.
	return "a task fits no allowed machine type", n.catalog.fromCloud != nil
}

// onSubmit accepts a job. The job is stored before any user is told that it is accepted.
func (n *Node) onSubmit(spec *protocol.JobSpec, now time.Time, reply chan<- answer) {
	if !n.loaded {
		reply <- busyAnswer
		return
	}
	answerAsRepeat := func(ifNew func()) {
		n.readJobStatus(spec.ID, func(known bool, status protocol.JobStatus, err error) {
			switch {
			case err != nil:
				reply <- busyAnswer
			case known && n.isGatewayJob(spec.ID):
				n.unlessGatewayJob(spec.ID, reply, func() { reply <- askGatewayAnswer })
			case known:
				reply <- answer{status: 200, body: status}
			default:
				ifNew()
			}
		})
	}
	_, final := n.finalJobs.byID[spec.ID]
	if j := n.jobs[spec.ID]; j != nil && j.step != nil {
		reply <- answer{status: 422, body: errorBody{"field id: it is that of a ticket's step"}}
		return
	}
	if final || n.jobs[spec.ID] != nil || n.tickets.byID[spec.ID] != nil {
		answerAsRepeat(func() { reply <- busyAnswer })
		return
	}
	reason, decided := n.checkRunnable(spec)
	switch {
	case !decided:
		answerAsRepeat(func() { reply <- busyAnswer })
		return
	case reason != "":
		// A repeated submission is answered by the stored job, so that is looked up first.
		answerAsRepeat(func() { reply <- answer{status: 422, body: errorBody{reason}} })
		return
	}
	n.unlessGatewayJob(spec.ID, reply, func() { n.acceptJob(spec, now, reply, answerAsRepeat) })
}

// inboxUnchangedConds returns the conditions that no inbox has an entry that this node does not
// know.
func (n *Node) inboxUnchangedConds() []storage.Cond {
	names := map[string]bool{n.cfg.Node: true}
	for name := range n.peers {
		names[name] = true
	}
	for name := range n.packed.inboxes {
		names[name] = true
	}
	var conds []storage.Cond
	for name := range names {
		slot, _ := n.inboxOf(name).Next()
		conds = append(conds, n.unchanged(protocol.InboxKey(name, slot)))
	}
	return conds
}

// acceptJob stores a new job.
func (n *Node) acceptJob(spec *protocol.JobSpec, now time.Time, reply chan<- answer, answerAsRepeat func(ifNew func())) {
	if n.shouldBatch() {
		if a, full := n.rejectIfOverloaded(time.Now()); full {
			reply <- a
			return
		}
		n.packed.submissions = append(n.packed.submissions, &submission{spec: spec, receivedAt: now, reply: reply, answerAsRepeat: answerAsRepeat})
		return
	}
	rec := protocol.JobRecord{Spec: spec, SubmittedMS: now.UnixMilli(), NextAttempt: 1}
	op := &storage.Op{
		Purpose: uint8(forSubmissions),
		Conds:   append(n.noUnseenAcceptanceConds(), storage.Cond{Key: protocol.JobKey(spec.ID)}, storage.Cond{Key: protocol.FinalKey(spec.ID)}),
		Writes:  []storage.Write{{Put: protocol.JobKey(spec.ID), Value: mustJSON(rec)}}}
	onResult := func(r storage.Result) {
		switch {
		case r.OK:
			n.applyOwnWrite(op.Writes[0], r.Revision)
			n.log.Debug("job accepted", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks, "took_s", time.Since(now).Seconds())
			reply <- answer{status: 201, body: protocol.JobStatus{ID: spec.ID, Status: protocol.JobQueued}}
		case r.Err != nil:
			n.log.Debug("submission not stored", "job", spec.ID, "why", r.Err, "took_s", time.Since(now).Seconds())
			reply <- busyAnswer
		case slices.Contains(r.Failed, protocol.JobKey(spec.ID)) || slices.Contains(r.Failed, protocol.FinalKey(spec.ID)):
			answerAsRepeat(func() { reply <- busyAnswer })
		default:
			n.resync(r.Failed, func(_ []storage.Item, err error) {
				if err != nil || time.Since(now) > maxQueueWait {
					reply <- busyAnswer
					return
				}
				n.onSubmit(spec, now, reply) // another node may have accepted the job
			})
		}
	}
	n.startUserChange(&userChange{op: op, reply: reply, onResult: onResult, verify: n.verifySubmission(spec.ID), timeout: submissionTimeout})
}

// verifySubmission finds out, while the answer to storing a job is late, whether the job is
// accepted. If it is, the user is answered as for a repeated submission.
func (n *Node) verifySubmission(id string) func(c *userChange) {
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

// verifyCancellation does the same for a cancellation. If it is stored, the user waits until
// the job has ended, or is told how it ended.
func (n *Node) verifyCancellation(id string, triesLeft int) func(c *userChange) {
	return func(c *userChange) {
		n.verifyByStatus(c, id, func(s protocol.JobStatus) bool {
			j := n.jobs[id]
			switch {
			case s.Status == protocol.JobDone || s.Status == protocol.JobCancelled:
				c.resolve(answer{status: 200, body: protocol.JobStatus{ID: id, Status: s.Status}})
			case j != nil && j.cancelPending:
				c.resolved = true
				n.awaitCancelled(id, []*job{j}, triesLeft, c.reply)
			default:
				return false
			}
			return true
		})
	}
}

// noUnseenAcceptanceConds returns the conditions that no job was accepted in an inbox entry that
// this node does not know.
func (n *Node) noUnseenAcceptanceConds() []storage.Cond {
	if !n.mayHaveEntries() {
		return []storage.Cond{n.unchanged(protocol.FormatKey)}
	}
	return n.inboxUnchangedConds()
}

// onCancel cancels a job. Once the cancellation is stored, no task of the job can be started.
func (n *Node) onCancel(id string, triesLeft int, reply chan<- answer) {
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
			n.cancelTicket(n.tickets.byID[id], triesLeft, reply)
		case j == nil:
			reply <- busyAnswer
		default:
			n.cancelJob(j, triesLeft, reply)
		}
	})
}

// cancelJob cancels a job. Once the cancellation is stored, no task of the job is started. The
// user is told that the job is cancelled only when all its tasks are known to have ended, and
// not after the time within which a worker should have received the stop. A controller that has
// lost the state service therefore need not let workers' leases expire because of cancellations
// that it cannot know of. (On simulated days with a zone cut off for 70 to 90 s, a third of all
// replicas ended with their leases after 47 s.)
func (n *Node) cancelJob(j *job, triesLeft int, reply chan<- answer) {
	if j.cancelPending {
		n.awaitCancelled(j.id, []*job{j}, triesLeft, reply)
		return
	}
	rec := n.storedRecordAtLog(j)
	afterStop := n.confirmsCancelAfterStop()
	rec.Cancelled, rec.CancelRequested = !afterStop, afterStop
	op := &storage.Op{Purpose: uint8(forCancellations), Conds: n.stillOpen(j.id),
		Writes: []storage.Write{{Put: protocol.JobKey(j.id), Value: mustJSON(rec)}}}
	if len(rec.Placed) == 0 && len(j.storedChunks) == 0 && !n.dependsOnEntries(j) && !n.inAnyInbox(j.id) {
		if n.mayHaveEntries() { // the transaction fails if one of its tasks is placed meanwhile
			op.Conds = append(op.Conds, n.logUnchanged(j.partition))
		} else {
			op.Conds = append(op.Conds, n.unchanged(protocol.FormatKey))
		}
		op.Writes = finalWrites(j.id, protocol.JobCancelled, len(j.tasks), j.claim)
	}
	onResult := func(r storage.Result) {
		switch {
		case r.OK:
			for _, w := range op.Writes {
				n.applyOwnWrite(w, r.Revision)
			}
			if afterStop && n.jobs[j.id] == j {
				n.awaitCancelled(j.id, []*job{j}, triesLeft, reply)
				return
			}
			reply <- answer{status: 200, body: protocol.JobStatus{ID: j.id, Status: protocol.JobCancelled}}
		case r.Err == nil && triesLeft > 0:
			n.resync([]string{protocol.JobKey(j.id), protocol.FinalKey(j.id)}, func(_ []storage.Item, err error) {
				if err != nil {
					reply <- busyAnswer
					return
				}
				n.onCancel(j.id, triesLeft-1, reply)
			})
		default:
			reply <- busyAnswer
		}
	}
	n.startUserChange(&userChange{op: op, reply: reply, onResult: onResult, verify: n.verifyCancellation(j.id, triesLeft), timeout: cancellationTimeout})
}

// storedRecord returns a job's own record as it is stored now, without placements and facts that
// are only proposed: a caller that changes the record must not store another change's pending
// decisions.
func (j *job) storedRecord() protocol.JobRecord {
	r := protocol.JobRecord{Spec: j.spec, SubmittedMS: j.submitted.UnixMilli(), Cancelled: j.cancelled && !j.cancelPending, CancelRequested: j.cancelPending, NextAttempt: j.nextAttempt, Tries: j.failures.tries, Claim: j.claim, Step: j.step, Failed: j.failed, LostRuns: j.history.lostRuns, LastLostMS: j.history.lastLostMS()}
	lo, hi := j.chunkRange(0)
	for i := lo; i < hi; i++ {
		stored := j.tasks[i].withoutProposal()
		stored.addTo(&r.Chunk, i, outcomeNone)
	}
	return r
}
