package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/packed"
	"dapplestage.example/dapplestage/internal/coordination/statusread"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// The actor's part in storing the changes of many jobs in one change of the state service; see
// docs/packed.md. A job may be known from a record of its own, from an entry in the inbox of the node
// that accepted it, or from both. The state of its tasks is in its record, in the log of its
// partition, or in both. This file writes and applies entries. Package packed decides what of an
// entry is still needed, by the facts that it is given here.

// ringSlots is the number of slots of a ring. alwaysPack forces everything into entries. Both are
// variables so that tests can use few slots and store all changes in entries.
var (
	ringSlots  = packed.Slots
	alwaysPack bool
)

// entryFill is the part of the maximum value size that an entry may fill. carryFill is the part of
// that, and of the conditions of the entry's transaction, that may be used for what is carried over
// from the entry that it replaces. Beyond that, jobs are first compacted into records of their own.
const (
	entryFill = 0.9
	carryFill = 0.6
)

// packedState is the node's state for reading and writing entries.
type packedState struct {
	format             protocol.FormatRecord
	formatStored       bool                    // the state service has a format record
	plainNodes         map[string]bool         // live nodes that require a record of its own for each job
	inboxes            map[string]*packed.Ring // by node
	unreadable         map[string]string       // keys of entries that can't be decoded, with the error
	endedRecords       map[string]int          // records of ended jobs that are still stored, with their partition
	submissions        []*submission           // submissions to be stored in the next inbox entry
	unconfirmed        []unconfirmedBatch      // stored batches whose users are not answered yet
	inboxWritePending  bool                    // an entry of this node's inbox is being stored
	lastInboxWrite     *inboxWrite             // the last write of such an entry
	pendingCompactions int                     // records of accepted jobs being written
	formatChangedAt    time.Time               // when a change of the format was last sent
	lastCleanup        time.Time
}

func newPackedState() packedState {
	return packedState{plainNodes: map[string]bool{}, inboxes: map[string]*packed.Ring{}, unreadable: map[string]string{}, endedRecords: map[string]int{}}
}

// recordsRequired reports whether every job must have a record of its own: the operators' policy
// asks for it, a live node is of a version without entries, or a live node or this one requires it.
func (n *Node) recordsRequired() bool {
	return n.policy.PlainRecords || len(n.nodesWithoutEntries)+len(n.packed.plainNodes) > 0 || n.requiresRecords()
}

// requiresRecords reports whether this node itself requires that.
func (n *Node) requiresRecords() bool { return n.SiteDaemonHost != "" || n.handlesTickets() }

// mayWriteEntries reports whether entries may be written.
func (n *Node) mayWriteEntries() bool { return n.packed.format.Packed && !n.recordsRequired() }

// mayHaveEntries reports whether jobs may be stored in entries. If so, a job's own record alone does
// not show whether the job exists or what state it is in.
func (n *Node) mayHaveEntries() bool {
	return n.packed.formatStored
}

// tickFormat lets the leader store whether entries may be written. They may be once all nodes of
// the settings have been seen running a version that reads them; a node that goes down later does
// not change that.
func (n *Node) tickFormat(now time.Time) {
	state := &n.packed
	if !n.isLeader() || now.Sub(state.formatChangedAt) < time.Second {
		return
	}
	on := !n.recordsRequired()
	if on && !state.format.Packed {
		for name := range n.peers {
			if _, live := n.liveNodes[name]; !live {
				return
			}
		}
	}
	if on == state.format.Packed {
		return
	}
	state.formatChangedAt = now
	n.log.Info("writing of packed entries changed", "on", on)
	n.submit(&storage.Op{Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(0)), n.unchanged(protocol.FormatKey)},
		Writes: []storage.Write{{Put: protocol.FormatKey, Value: mustJSON(protocol.FormatRecord{Packed: on})}}}, func(storage.Result) {})
}

// inboxOf returns the inbox of a node.
func (n *Node) inboxOf(node string) *packed.Ring {
	r := n.packed.inboxes[node]
	if r == nil {
		r = packed.NewRing(ringSlots)
		n.packed.inboxes[node] = r
	}
	return r
}

// parseEntry decodes a slot's value; nil if the slot is empty. An entry that can't be decoded is not
// skipped: the partition whose log it is in makes no decisions, and no unknown job is reported as
// nonexistent.
func (n *Node) parseEntry(it storage.Item) (e *protocol.Entry, ok bool) {
	delete(n.packed.unreadable, it.Key)
	if it.Value == nil {
		return nil, true
	}
	e, err := packed.ParseEntry(it.Value)
	if err != nil {
		n.markUnreadable(it.Key, err)
		return nil, false
	}
	return e, true
}

// markUnreadable records and logs an entry that can't be decoded.
func (n *Node) markUnreadable(key string, err error) {
	n.packed.unreadable[key] = err.Error()
	n.log.Error("stored entry can't be decoded: decisions that depend on it stop", "key", key, "why", err)
}

// logUnreadable reports whether an entry in a partition's log can't be decoded.
func (n *Node) logUnreadable(partition int) bool {
	for key := range n.packed.unreadable {
		if s, _, ok := packed.ParseLogKey(key); ok && s == partition {
			return true
		}
	}
	return false
}

// logReadable reports whether all entries of a partition's log are known. If not, more may be stored
// than is known: a task may be gone, or a job may have ended.
func (n *Node) logReadable(p *partition) bool {
	return !n.mayHaveEntries() || p.log.Complete() && !n.logUnreadable(p.index)
}

// anyInboxUnreadable reports whether an entry in any inbox can't be decoded.
func (n *Node) anyInboxUnreadable() bool {
	for key := range n.packed.unreadable {
		if strings.HasPrefix(key, protocol.InboxRoot) {
			return true
		}
	}
	return false
}

// applyLogEntry applies a slot of a partition's log.
func (n *Node) applyLogEntry(it storage.Item) {
	i, slot, ok := packed.ParseLogKey(it.Key)
	if !ok || i >= len(n.partitions) {
		n.log.Error("stored value not understood", "key", it.Key)
		return
	}
	e, ok := n.parseEntry(it)
	if !ok {
		return
	}
	p := n.partitions[i]
	if _, err := p.log.Put(slot, e); err != nil {
		n.markUnreadable(it.Key, err)
		return
	}
	if e == nil {
		return
	}
	for k := range e.Parts {
		p := &e.Parts[k]
		if p.FinalStatus != "" {
			n.applyEndFromLog(i, p)
		} else if j := n.jobs[p.Job]; j != nil && j.partition == i {
			n.applyLogPart(j, e, p, time.Now())
		}
	}
}

// applyEndFromLog applies the end of a job that an entry contains.
func (n *Node) applyEndFromLog(partition int, p *protocol.Part) {
	if _, known := n.finalJobs.byID[p.Job]; !known {
		n.finalJobs.add(p.Job, protocol.FinalRecord{Status: p.FinalStatus, Tasks: p.Tasks})
	}
	if j := n.jobs[p.Job]; j != nil {
		if j.hasRecord {
			n.packed.endedRecords[p.Job] = partition
		}
		n.dropJob(p.Job)
	}
}

// acceptsEntry reports whether an entry's state of the task is as late as the known one, or later.
func (t *task) acceptsEntry(seq uint64) bool { return seq > t.logSeq || seq == t.logSeq && t.fromLog }

// applyLogPart applies what an entry contains of a job.
func (n *Node) applyLogPart(j *job, entry *protocol.Entry, part *protocol.Part, now time.Time) {
	j.nextAttempt = max(j.nextAttempt, part.NextAttempt)
	n.applyTries(j, part.Tries, now)
	j.history.mergeStored(part.LostRuns, part.LastLostMS)
	for _, r := range part.Placed {
		for i := int(r[0]); i <= int(r[1]) && i < len(j.tasks); i++ {
			if j.tasks[i].acceptsEntry(entry.Seq) {
				j.nextAttempt = max(j.nextAttempt, r[2]+1)
				n.applyTask(j, i, phasePlaced, entry.Machines[r[3]], r[2], now)
				j.tasks[i].logSeq, j.tasks[i].fromLog = entry.Seq, true
			}
		}
	}
	for phase, ranges := range map[phase][][2]int{phaseWaiting: part.Unplaced, phaseDone: part.Done} {
		for _, r := range ranges {
			for i := r[0]; i <= r[1] && i < len(j.tasks); i++ {
				if j.tasks[i].acceptsEntry(entry.Seq) {
					n.applyTask(j, i, phase, "", 0, now)
					j.tasks[i].logSeq, j.tasks[i].fromLog = entry.Seq, true
				}
			}
		}
	}
	n.afterTasksApplied(j)
}

// applyLogParts applies what all entries contain of a job that was just added.
func (n *Node) applyLogParts(j *job) {
	now := time.Now()
	n.partitions[j.partition].log.EachPart(j.id, func(e *protocol.Entry, p *protocol.Part) { n.applyLogPart(j, e, p, now) })
}

// endedInLog reports whether the log of a job's partition contains its end.
func (n *Node) endedInLog(spec *protocol.JobSpec) bool {
	team, ok := n.teamIndex[spec.Team]
	if !ok {
		return false
	}
	_, _, ended := n.partitions[n.teams[team].partition].log.FindEnd(spec.ID)
	return ended
}

// applyInboxEntry applies a slot of a node's inbox. A job that is in no inbox any more and has no
// record of its own has ended: as long as a job is open, whoever overwrites its slot carries it over.
func (n *Node) applyInboxEntry(it storage.Item) {
	node, slot, ok := packed.ParseInboxKey(it.Key)
	if !ok {
		n.log.Error("stored value not understood", "key", it.Key)
		return
	}
	e, ok := n.parseEntry(it)
	if !ok {
		return
	}
	before, err := n.inboxOf(node).Put(slot, e)
	if err != nil {
		n.markUnreadable(it.Key, err)
		return
	}
	if e != nil {
		for _, a := range e.Jobs {
			n.applyAccepted(a)
		}
	}
	if before != nil {
		for _, a := range before.Jobs {
			if j := n.jobs[a.Spec.ID]; j != nil && !j.hasRecord && !n.inAnyInbox(a.Spec.ID) {
				n.dropJob(a.Spec.ID)
			}
		}
	}
}

// inAnyInbox reports whether an inbox contains a job.
func (n *Node) inAnyInbox(id string) bool {
	for _, r := range n.packed.inboxes {
		if r.Mentions(id) {
			return true
		}
	}
	return false
}

// mayBeInInbox reports whether an inbox contains a job, or may contain it in an entry that can't be
// decoded.
func (n *Node) mayBeInInbox(id string) bool { return n.anyInboxUnreadable() || n.inAnyInbox(id) }

// applyAccepted applies an accepted job of an inbox. Two nodes may have accepted the job at once.
func (n *Node) applyAccepted(a protocol.AcceptedJob) {
	if n.endedInLog(a.Spec) {
		return
	}
	if j := n.jobs[a.Spec.ID]; j != nil {
		return
	}
	n.applyJob(a.Spec.ID, &protocol.JobRecord{Spec: a.Spec, SubmittedMS: a.SubmittedMS, NextAttempt: 1}, false)
}

// storedRecordAtLog returns a job's record as it would be stored now, by all that this node knows,
// with the number of the log entry up to which that is complete.
func (n *Node) storedRecordAtLog(j *job) protocol.JobRecord {
	r := j.storedRecord()
	r.LogSeq = n.partitions[j.partition].log.CompleteUpTo()
	return r
}

// logUnchanged is the condition that a partition's log has no entry that this node does not know.
func (n *Node) logUnchanged(partition int) storage.Cond {
	slot, _ := n.partitions[partition].log.Next()
	return n.unchanged(protocol.LogKey(partition, slot))
}

// stillOpen returns the conditions that a job's own record is as this node knows it and that the job
// has not ended.
func (n *Node) stillOpen(id string) []storage.Cond {
	return []storage.Cond{n.unchanged(protocol.JobKey(id)), {Key: protocol.FinalKey(id)}}
}

// logAppend is an entry of a partition's log that is being stored.
type logAppend struct {
	jobs   []*job
	urgent bool
}

// storeRequest is a job that is to be stored now.
type storeRequest struct {
	job     *job
	urgency int
	purpose changePurpose
}

// maxEndsPerEntry returns how many jobs may end with one entry. Each end is a change of its own beside
// the entry, and users should not wait for the part of the rate that a dozen of them use.
func (n *Node) maxEndsPerEntry() int {
	return max(1, min(n.cfg.Params.State.TxnOps-1, int(n.rateLimiter.PerSecond()/3)))
}

// mustStoreInLog reports whether the change of a job must go through its partition's log. That is so
// for the end of a job that an inbox lists as accepted.
func (n *Node) mustStoreInLog(j *job) bool {
	if j.hasRecord && !n.mayBeInInbox(j.id) {
		return false
	}
	return j.remainingTasks() == 0 && j.step == nil
}

// storePartition stores the jobs of a partition that are due. A single job goes into its own
// record as long as the rate limit has reserve. Several go into one log entry, together with
// whatever else is new.
func (n *Node) storePartition(p *partition, requests []storeRequest, maxWrites int, now time.Time) {
	if !n.logReadable(p) {
		return
	}
	committerFor := func(request storeRequest) *storage.Committer {
		if request.urgency <= storeUrgentStart {
			return n.urgentCommitter
		}
		return n.backgroundCommitter
	}
	storeSingly := func(requests []storeRequest) {
		for _, request := range requests {
			if n.pendingWrites[committerFor(request)] < maxWrites {
				delete(n.dirty, request.job)
				request.job.dirtySince = time.Time{}
				n.storeJob(request.job, committerFor(request), request.purpose)
			}
		}
	}
	if !n.mayWriteEntries() {
		var inLog, inRecords []storeRequest
		for _, request := range requests {
			if n.mustStoreInLog(request.job) {
				inLog = append(inLog, request)
			} else {
				inRecords = append(inRecords, request)
			}
		}
		if len(inLog) > 0 && p.pendingAppend == nil {
			n.appendLog(p, inLog, now)
		}
		storeSingly(inRecords)
		return
	}
	switch {
	case p.pendingAppend != nil && !p.pendingAppend.urgent:
		// Urgent changes need not wait for an append that is not urgent.
		storeSingly(slices.DeleteFunc(requests, func(request storeRequest) bool {
			return request.urgency > storeUrgentStart || n.mustStoreInLog(request.job)
		}))
	case p.pendingAppend != nil || p.pendingRecords > 0:
	case requests[0].urgency > storeUrgentStart && !n.rateLimiter.HasSpareRate() && now.Sub(p.lastAppend) < entryBatchDelay:
		// All these changes can wait: no user and no start depends on them.
	case len(requests) == 1 && n.rateLimiter.HasSpareRate() && !n.mustStoreInLog(requests[0].job) && !alwaysPack:
		storeSingly(requests)
	case n.pendingWrites[committerFor(requests[0])] < maxWrites:
		n.appendLog(p, append(requests, n.additionalRequests(p, requests)...), now)
	}
}

// entryBatchDelay is how long changes that nobody waits for are collected for an entry while changes
// are scarce. Without it a partition stored an entry whenever the rate limit allowed one, and used
// all of the rate.
const entryBatchDelay = 700 * time.Millisecond

// additionalRequests returns the other jobs of a partition with something new that are not due yet:
// storing them in the same entry costs nothing.
func (n *Node) additionalRequests(p *partition, requests []storeRequest) (out []storeRequest) {
	included := map[*job]bool{}
	for _, request := range requests {
		included[request.job] = true
	}
	for j := range n.dirty {
		if j.partition == p.index && !included[j] && !j.writePending && !n.jobChangesPaused(j) && j.step == nil {
			out = append(out, storeRequest{j, storeOutcomes, forTaskEnds})
		}
	}
	slices.SortFunc(out, func(a, b storeRequest) int {
		return cmp.Or(a.job.dirtySince.Compare(b.job.dirtySince), strings.Compare(a.job.id, b.job.id))
	})
	return out
}

// appendLog stores what is new of jobs of a partition in one entry of its log, in the given order, as
// far as it fits. It returns false if nothing was sent.
func (n *Node) appendLog(p *partition, requests []storeRequest, now time.Time) bool {
	writer := packed.NewWriter(p.log, int(entryFill*1024*n.cfg.Params.State.ValueKB))
	carried, fits := n.carryOver(p, writer)
	if !fits {
		return false
	}
	pending := &logAppend{urgent: requests[0].urgency <= storeUrgentStart}
	slot, _ := p.log.Next()
	op := &storage.Op{Purpose: uint8(requests[0].purpose), Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(p.index)), n.unchanged(protocol.LogKey(p.index, slot)), n.unchanged(protocol.FormatKey)}}
	op.Conds = append(op.Conds, n.recordsUnchanged(carried)...)
	maxEnds := n.maxEndsPerEntry()
	var finals []storage.Write
	for _, request := range requests {
		j := request.job
		if j.cancelled {
			n.revertProposals(j) // no task of it may start any more
		}
		conds := append(n.stillOpen(j.id), n.foreignConds(j)...)
		if len(op.Conds)+len(conds) > n.maxConditions() {
			break
		}
		draft := packed.Draft{Part: protocol.Part{Job: j.id}}
		if j.remainingTasks() == 0 {
			if len(finals) == maxEnds {
				continue
			}
			draft.FinalStatus, draft.Tasks = j.finalStatus(), len(j.tasks)
			finals = append(finals, finalWrites(j.id, draft.FinalStatus, draft.Tasks, 0)[0])
		} else if draft = n.unstoredChanges(j); draft.Empty() {
			delete(n.dirty, j)
			continue
		}
		if !writer.AddPart(draft) {
			if draft.FinalStatus != "" {
				finals = finals[:len(finals)-1]
			} else if len(pending.jobs) == 0 {
				n.storeOversized(request)
			}
			break
		}
		op.Conds = append(op.Conds, conds...)
		delete(n.dirty, j)
		j.dirtySince, j.writePending = time.Time{}, true
		j.dirtyChunks = map[int]bool{}
		for i := range j.tasks {
			j.tasks[i].storing = j.tasks[i].outcome != outcomeNone
		}
		pending.jobs = append(pending.jobs, j)
	}
	if len(pending.jobs) == 0 {
		return false
	}
	// The final records of jobs come before the log entry that ends them.
	op.Writes = append(finals, storage.Write{Put: protocol.LogKey(p.index, slot), Value: mustJSON(writer.Entry())})
	committer := n.backgroundCommitter
	if pending.urgent {
		committer = n.urgentCommitter
	}
	p.pendingAppend, p.lastAppend = pending, now
	n.pendingWrites[committer] += len(op.Writes)
	op.Done = func(r storage.Result) {
		n.post(func() {
			n.pendingWrites[committer] -= len(op.Writes)
			n.onAppended(p, pending, op, r)
		})
	}
	if !committer.Submit(op) {
		n.pendingWrites[committer] -= len(op.Writes)
		n.onAppendFailed(p, pending)
	}
	n.metrics.entries.WithLabelValues("log").Observe(float64(len(pending.jobs)))
	return true
}

// storeOversized stores a job in its own record because its changes don't fit beside what the entry
// must carry over. Waiting would not help, as that does not shrink with time.
func (n *Node) storeOversized(request storeRequest) {
	delete(n.dirty, request.job)
	request.job.dirtySince = time.Time{}
	n.storeJob(request.job, n.urgentCommitter, request.purpose)
}

// unstoredChanges drafts what is not stored yet of a job.
func (n *Node) unstoredChanges(j *job) packed.Draft {
	d := n.newDraft(j)
	for i := range j.tasks {
		switch t := &j.tasks[i]; {
		case t.phase == phaseProposed:
			d.Place(i, t.attempt, t.machine.name)
		case t.phase == phasePlaced && t.outcome == outcomeFinished:
			d.Finish(i)
		case t.phase == phasePlaced && t.outcome == outcomeGone:
			d.Unplace(i)
		}
	}
	return d
}

// newDraft returns a draft of a job's part of an entry, without tasks.
func (n *Node) newDraft(j *job) packed.Draft {
	return packed.Draft{Part: protocol.Part{Job: j.id, NextAttempt: j.nextAttempt, Tries: j.failures.tries, LostRuns: j.history.lostRuns, LastLostMS: j.history.lastLostMS()}}
}

// stateFromEntry drafts the stored state of a job's tasks whose latest state is in entry seq.
func (n *Node) stateFromEntry(j *job, seq uint64) packed.Draft {
	d := n.newDraft(j)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.logSeq != seq || !t.fromLog {
			continue
		}
		switch t.phase {
		case phasePlaced:
			d.Place(i, t.attempt, t.machine.name)
		case phaseDone:
			d.Finish(i)
		default:
			d.Unplace(i)
		}
	}
	return d
}

// maxConditions returns how many conditions a transaction may have.
func (n *Node) maxConditions() int { return 4 * n.cfg.Params.State.TxnOps }

// recordsUnchanged returns conditions that the own records of the carried-over jobs are as this node
// knows them. A record may be stored while the entry is in flight, and what the entry carries over
// would then count as later than that record. Jobs that have ended need no condition: nothing but
// their end can be stored, and nothing counts after that.
func (n *Node) recordsUnchanged(carried []packed.CarriedJob) []storage.Cond {
	conds := make([]storage.Cond, 0, len(carried))
	for _, c := range carried {
		if n.jobs[c.Job].remainingTasks() > 0 {
			conds = append(conds, n.unchanged(protocol.JobKey(c.Job)))
		}
	}
	return conds
}

// carryOver adds to the next entry what is still needed of the entry that it replaces, and returns the
// open jobs concerned. If that takes too much space or too many conditions, it compacts some jobs into
// records of their own first and returns false.
func (n *Node) carryOver(p *partition, writer *packed.Writer) ([]packed.CarriedJob, bool) {
	old := p.log.Overwritten()
	if old == nil {
		return nil, true
	}
	carried, fits := p.log.Carry(writer, n.mayBeListedElsewhere(p, old), func(id string, seq uint64) packed.Draft {
		if j := n.jobs[id]; j != nil && j.partition == p.index {
			return n.stateFromEntry(j, seq)
		}
		return packed.Draft{}
	})
	maxSize := int(carryFill * entryFill * 1024 * n.cfg.Params.State.ValueKB)
	maxJobs := int(carryFill * float64(n.maxConditions()))
	if fits && writer.Size() <= maxSize && len(carried) <= maxJobs {
		return carried, true
	}
	// The largest first.
	slices.SortStableFunc(carried, func(a, b packed.CarriedJob) int { return cmp.Compare(b.Size, a.Size) })
	size, jobs, compacted := writer.Size(), len(carried), false
	for _, c := range carried {
		if size <= maxSize/2 && jobs <= maxJobs/2 && fits {
			break
		}
		// A job that has ended is not worth a record of its own.
		if j := n.jobs[c.Job]; !j.writePending && j.remainingTasks() > 0 {
			n.compactJob(j, old.Seq)
			size -= c.Size
			jobs--
			compacted = true
		}
	}
	if !compacted && (!fits || writer.Size() > maxSize) {
		compacted = n.compactEnded(carried, old.Seq)
	}
	return carried, fits && !compacted
}

// compactEnded stores jobs that have ended, but whose end is not stored yet, in records of their own.
// Without them the next entry fits, and they end with a later one. It takes more than one change per
// job and is the last resort: if nothing else is left to compact, no entry could be written any more,
// so no job of the partition could end. It reports whether it stores any job.
func (n *Node) compactEnded(carried []packed.CarriedJob, seq uint64) (any bool) {
	for _, c := range carried {
		if j := n.jobs[c.Job]; !j.writePending && j.step == nil {
			n.compactJob(j, seq)
			any = true
		}
	}
	return any
}

// mayBeListedElsewhere returns a function that reports whether a job that an entry ended may still be
// in a record of its own or in an inbox. If the stored state is not known up to that entry, or can't
// be decoded, that is possible for any job.
func (n *Node) mayBeListedElsewhere(p *partition, e *protocol.Entry) func(id string) bool {
	unknown := n.revisions[protocol.LogKey(p.index, int(e.Seq%uint64(ringSlots)))] > n.completeRevision
	return func(id string) bool {
		_, head := n.packed.endedRecords[id]
		_, unreadable := n.corruptKeys[protocol.JobKey(id)]
		return unknown || head || unreadable || n.mayBeInInbox(id)
	}
}

// compactJob stores a job in a record of its own, with all that the entry seq contains of it (0: all
// entries).
func (n *Node) compactJob(j *job, seq uint64) {
	for i := range j.tasks {
		if j.tasks[i].logSeq == seq || seq == 0 && j.tasks[i].fromLog {
			j.dirtyChunks[i/protocol.TasksPerChunk] = true
		}
	}
	delete(n.dirty, j)
	j.dirtySince = time.Time{}
	n.storeJobAs(j, false, n.urgentCommitter, forCompaction)
}

// onAppended handles the result of a log append.
func (n *Node) onAppended(p *partition, pending *logAppend, op *storage.Op, r storage.Result) {
	if !r.OK {
		n.metrics.stateCalls.WithLabelValues("refused").Inc()
		n.log.Info("partition log entry refused", "share", p.index, "jobs", len(pending.jobs), "failed", strings.Join(r.Failed, " "), "why", r.Err)
		n.resync(r.Failed, func([]storage.Item, error) { n.onAppendFailed(p, pending) })
		return
	}
	n.metrics.stateCalls.WithLabelValues("stored").Inc()
	p.pendingAppend = nil
	for _, w := range op.Writes {
		n.applyOwnWrite(w, r.Revision)
	}
	for _, j := range pending.jobs {
		j.writePending = false
		if n.jobs[j.id] != j {
			n.onJobEnded(j)
		} else if j.nWaiting() == 0 && j.allPlacedAt.IsZero() {
			j.allPlacedAt = time.Now()
		}
	}
}

// onAppendFailed marks the jobs of an entry that was not stored to be stored again.
func (n *Node) onAppendFailed(p *partition, pending *logAppend) {
	p.pendingAppend = nil
	for _, j := range pending.jobs {
		j.writePending = false
		n.revertProposals(j)
		if n.jobs[j.id] == j {
			n.dirty[j] = true
		}
	}
}

// submission is a job that is to be accepted in an entry with others.
type submission struct {
	spec           *protocol.JobSpec
	receivedAt     time.Time
	reply          chan<- answer
	answerAsRepeat func(ifNew func())
	attempts       int
}

// maxSingleSubmissions is how many changes for users may be in flight when one more submission is
// stored alone. It is just below the number at which users are rejected (see users.go). With 4 and with
// 10 a few more submissions of a quiet day took over 200 ms, as jobs in entries cost changes later.
const maxSingleSubmissions = 14

// shouldBatch reports whether a submission is stored in an entry with others: changes are in flight
// already, or are scarce. That they are scarce shows only after the earlier changes were sent. Of a
// burst that arrived within one run of the actor, the first 16 were therefore stored alone and all
// others rejected, again every second (162 of 271 alone, 187 changes for 241 jobs).
func (n *Node) shouldBatch() bool {
	return n.mayWriteEntries() && n.inboxOf(n.cfg.Node).Complete() && !n.anyInboxUnreadable() &&
		(n.packed.inboxWritePending || len(n.packed.submissions) > 0 || n.pendingUserChanges >= maxSingleSubmissions || !n.rateLimiter.HasSpareRate() || alwaysPack)
}

// submissionsPerEntry estimates how many submissions fit into one entry.
func (n *Node) submissionsPerEntry() int {
	return max(1, min(int(n.cfg.Params.State.ValueKB*1024*entryFill/500), 2*n.cfg.Params.State.TxnOps-2))
}

// inboxWrite is an entry of this node's inbox that is being stored.
type inboxWrite struct {
	op             *storage.Op
	batch          []*submission
	sentAt         time.Time
	resolved       bool // its submissions are answered or wait for another entry
	replicaCurrent bool // the replica had all that other nodes had accepted when it was sent
}

// flushInbox stores the waiting submissions in one entry.
func (n *Node) flushInbox(now time.Time) {
	state := &n.packed
	n.expireSubmissions(now)
	if write := state.lastInboxWrite; state.inboxWritePending && !write.resolved && now.Sub(write.sentAt) >= n.resendDelay() {
		n.checkInboxWrite(write, storage.Result{Err: storage.ErrUnknown})
	}
	if state.inboxWritePending || len(state.submissions) == 0 {
		return
	}
	if !n.mayWriteEntries() || n.anyInboxUnreadable() {
		for _, sub := range state.submissions {
			sub.reply <- busyAnswer
		}
		state.submissions = nil
		return
	}
	own := n.inboxOf(n.cfg.Node)
	writer := packed.NewWriter(own, int(entryFill*1024*n.cfg.Params.State.ValueKB))
	if !n.carryOverAccepted(own, writer) {
		return
	}
	slot, _ := own.Next()
	op := &storage.Op{Purpose: uint8(forSubmissions), NoRetry: true, Conds: []storage.Cond{n.unchanged(protocol.InboxKey(n.cfg.Node, slot)), n.unchanged(protocol.FormatKey)}}
	n.answerRepeated()
	var batch []*submission
	for _, sub := range state.submissions {
		if len(op.Conds)+2 > 4*n.cfg.Params.State.TxnOps || !writer.AddSubmission(protocol.AcceptedJob{Spec: sub.spec, SubmittedMS: sub.receivedAt.UnixMilli()}) {
			break
		}
		op.Conds = append(op.Conds, storage.Cond{Key: protocol.JobKey(sub.spec.ID)}, storage.Cond{Key: protocol.FinalKey(sub.spec.ID)})
		batch = append(batch, sub)
	}
	if len(batch) == 0 {
		return
	}
	state.submissions = state.submissions[len(batch):]
	op.Writes = []storage.Write{{Put: protocol.InboxKey(n.cfg.Node, slot), Value: mustJSON(writer.Entry())}}
	state.inboxWritePending = true
	write := &inboxWrite{op: op, batch: batch, sentAt: now}
	state.lastInboxWrite = write
	n.checkReplicaCurrent(write)
	n.pendingUserChanges++
	op.Done = func(r storage.Result) {
		n.post(func() {
			n.pendingUserChanges--
			n.onInboxWritten(write, r)
		})
	}
	if !n.userCommitter.Submit(op) {
		n.pendingUserChanges--
		state.inboxWritePending = false
		for _, sub := range batch {
			sub.reply <- busyAnswer
		}
	}
	n.metrics.entries.WithLabelValues("inbox").Observe(float64(len(batch)))
}

// expireSubmissions rejects submissions that have waited for an entry for too long.
func (n *Node) expireSubmissions(now time.Time) {
	state := &n.packed
	state.submissions = slices.DeleteFunc(state.submissions, func(sub *submission) bool {
		if now.Sub(sub.receivedAt) < submissionTimeout {
			return false
		}
		n.metrics.guardRefusals.WithLabelValues("change_unanswered").Inc()
		sub.reply <- busyAnswer
		return true
	})
}

// answerRepeated answers submissions of jobs that are stored by now as repeated ones: an earlier entry
// with them was executed after all.
func (n *Node) answerRepeated() {
	state := &n.packed
	state.submissions = slices.DeleteFunc(state.submissions, func(sub *submission) bool {
		if !n.inReplica(sub.spec.ID) {
			return false
		}
		sub.answerAsRepeat(func() { sub.reply <- busyAnswer })
		return true
	})
}

// inReplica reports whether the replica has a job or ticket with this id, open or ended.
func (n *Node) inReplica(id string) bool {
	_, final := n.finalJobs.byID[id]
	return final || n.jobs[id] != nil || n.tickets.byID[id] != nil
}

// onInboxWritten handles the result of writing an entry with submissions.
func (n *Node) onInboxWritten(w *inboxWrite, r storage.Result) {
	if r.Err == nil {
		n.userChangeLatency.Observe(time.Since(w.sentAt))
	}
	if r.OK {
		n.applyOwnWrite(w.op.Writes[0], r.Revision)
	}
	if w.resolved {
		return
	}
	if !r.OK {
		n.checkInboxWrite(w, r)
		return
	}
	w.resolved = true
	n.packed.inboxWritePending = false
	n.packed.unconfirmed = append(n.packed.unconfirmed, unconfirmedBatch{write: w, revision: r.Revision, deadline: time.Now().Add(maxQueueWait)})
}

// checkInboxWrite reads the keys whose conditions failed. Without an answer it reads the slot itself:
// the entry may be stored, or may still be stored later. Its jobs then wait for another entry on the
// same condition, which only one of the two entries can meet.
func (n *Node) checkInboxWrite(w *inboxWrite, r storage.Result) {
	w.resolved = true
	if r.Err != nil {
		r.Failed = []string{w.op.Writes[0].Put}
	}
	n.log.Info("inbox entry not stored, or its result is unknown", "jobs", len(w.batch), "failed", strings.Join(r.Failed, " "), "why", r.Err)
	if errors.Is(r.Err, storage.ErrRefused) {
		n.packed.inboxWritePending = false
		for _, sub := range w.batch {
			sub.reply <- busyAnswer
		}
		return
	}
	n.resync(r.Failed, func([]storage.Item, error) {
		n.packed.inboxWritePending = false
		n.requeueSubmissions(w.batch, r.Failed)
	})
}

// requeueSubmissions moves submissions whose entry is not known to be stored to the next one. Those of
// which something is stored by now are answered as repeated ones.
func (n *Node) requeueSubmissions(batch []*submission, failed []string) {
	var retry []*submission
	for _, sub := range batch {
		id := sub.spec.ID
		sub.attempts++
		switch {
		case n.inReplica(id) || slices.Contains(failed, protocol.JobKey(id)) || slices.Contains(failed, protocol.FinalKey(id)):
			sub.answerAsRepeat(func() { sub.reply <- busyAnswer })
		case sub.attempts > 3 || !n.mayWriteEntries():
			sub.reply <- busyAnswer
		default:
			retry = append(retry, sub)
		}
	}
	n.packed.submissions = append(retry, n.packed.submissions...)
}

// checkReplicaCurrent checks, while an entry is being stored, whether the replica has all that
// other nodes have accepted. If not, it wakes the watch.
func (n *Node) checkReplicaCurrent(w *inboxWrite) {
	ownSlot, _ := n.inboxOf(n.cfg.Node).Next()
	conds := slices.DeleteFunc(n.inboxUnchangedConds(), func(c storage.Cond) bool { return c.Key == protocol.InboxKey(n.cfg.Node, ownSlot) })
	n.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, statusread.ReadTimeout)
		defer cancel()
		ok, _, _, err := n.store.Txn(ctx, conds, nil)
		n.post(func() {
			w.replicaCurrent = ok && err == nil
			if !w.replicaCurrent {
				n.wakeWatch()
			}
		})
	})
}

// unconfirmedBatch is a batch of submissions that was stored in an inbox entry at a revision. Another
// node may have accepted one of them before.
type unconfirmedBatch struct {
	write    *inboxWrite
	revision uint64
	deadline time.Time // when their users are told to retry instead
}

// safeToConfirm reports whether the replica has all that other nodes had stored when the last of the
// submissions arrived. If another node told a user before then that one of these jobs is accepted,
// the replica has that entry. It holds if the replica was compared with the state service after that
// time, is complete up to the revision of the batch's entry, or was brought up to date by a watch
// request sent after the submissions arrived.
func (b *unconfirmedBatch) safeToConfirm(completeAt time.Time, completeRevision uint64) bool {
	return b.write.replicaCurrent || completeRevision >= b.revision ||
		!slices.ContainsFunc(b.write.batch, func(sub *submission) bool { return completeAt.Before(sub.receivedAt) })
}

// confirmAccepted tells users that their jobs are accepted once the replica has everything that was
// stored before they asked. The entry itself could instead have conditions on the next slots of all
// other inboxes. But during a burst, when all nodes keep writing entries, most would fail on these
// conditions, and failed transactions count against the rate of changes.
func (n *Node) confirmAccepted(now time.Time) {
	state := &n.packed
	kept := state.unconfirmed[:0]
	for _, b := range state.unconfirmed {
		safe := b.safeToConfirm(n.completeAt, n.completeRevision)
		if !safe && now.Before(b.deadline) {
			kept = append(kept, b)
			continue
		}
		for _, sub := range b.write.batch {
			n.confirmSubmission(sub, safe)
		}
	}
	clear(state.unconfirmed[len(kept):])
	state.unconfirmed = kept
}

// confirmSubmission answers a stored submission: the job is accepted or, if another node accepted it
// too, in its present state. safe is false if neither can be told yet.
func (n *Node) confirmSubmission(sub *submission, safe bool) {
	switch {
	case !safe:
		sub.reply <- busyAnswer
	case n.acceptedOnlyHere(sub.spec.ID):
		n.log.Debug("job accepted", "job", sub.spec.ID, "class", sub.spec.Class, "tasks", sub.spec.Tasks, "took_s", time.Since(sub.receivedAt).Seconds())
		sub.reply <- answer{status: 201, body: protocol.JobStatus{ID: sub.spec.ID, Status: protocol.JobQueued}}
	default:
		sub.answerAsRepeat(func() { sub.reply <- busyAnswer })
	}
}

// acceptedOnlyHere reports whether a job is in this node's inbox and stored nowhere else.
func (n *Node) acceptedOnlyHere(id string) bool {
	if j := n.jobs[id]; j == nil || j.hasRecord {
		return false
	}
	for node, r := range n.packed.inboxes {
		if node != n.cfg.Node && r.Mentions(id) {
			return false
		}
	}
	return true
}

// carryOverAccepted adds to the next inbox entry the jobs of the entry that it replaces that are open
// and have no record of their own. If these are too many, some are given records first, and it returns
// false.
func (n *Node) carryOverAccepted(own *packed.Ring, w *packed.Writer) bool {
	carried, fits := own.CarryAccepted(w, func(a protocol.AcceptedJob) bool {
		j := n.jobs[a.Spec.ID]
		_, known := n.teamIndex[a.Spec.Team]
		return !known || j != nil && !j.hasRecord
	})
	if fits && w.Size() <= int(carryFill*entryFill*1024*n.cfg.Params.State.ValueKB) {
		return true
	}
	if n.packed.pendingCompactions == 0 {
		for _, id := range carried[:(len(carried)+1)/2] {
			if j := n.jobs[id]; j != nil {
				n.compactAccepted(j)
			}
		}
	}
	return false
}

// compactAccepted stores a job that is in an inbox in a record of its own. Any node may do that, as
// the record names the entry of the partition's log up to which it is complete.
func (n *Node) compactAccepted(j *job) {
	n.packed.pendingCompactions++
	n.submit(&storage.Op{Purpose: uint8(forCompaction), Conds: n.stillOpen(j.id),
		Writes: []storage.Write{{Put: protocol.JobKey(j.id), Value: mustJSON(n.storedRecordAtLog(j))}}}, func(storage.Result) { n.packed.pendingCompactions-- })
}

// maxCleanups is how many records of ended jobs, or jobs that must leave the entries, are handled in
// one run.
const maxCleanups = 4

// removeLeftovers removes what ended jobs left in the state service, when the rate limit has reserve
// or too much is left. If entries may not be written any more, it also gives the jobs in them records
// of their own and empties the slots.
func (n *Node) removeLeftovers(now time.Time) {
	state := &n.packed
	if !n.loaded || n.sinceContact(now) > 2*time.Second || now.Sub(state.lastCleanup) < 200*time.Millisecond {
		return
	}
	state.lastCleanup = now
	if ample := n.rateLimiter.HasSpareRate() && n.pendingUserChanges == 0; ample || len(state.endedRecords) > 3*ringSlots {
		n.removeEndedRecords()
	}
	if !state.format.Packed && n.mayHaveEntries() && n.pendingUserChanges == 0 {
		n.unpackEntries(now)
	}
}

// removeEndedRecords deletes some records of ended jobs in owned partitions.
func (n *Node) removeEndedRecords() {
	removed := 0
	for id, partition := range n.packed.endedRecords {
		if !n.owns(n.partitions[partition]) || n.revisionOf(protocol.JobKey(id)) == 0 {
			continue
		}
		if removed++; removed > maxCleanups {
			return
		}
		n.submitTo(n.backgroundCommitter, &storage.Op{Purpose: uint8(forCompaction), Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(partition)), n.unchanged(protocol.JobKey(id))},
			Writes: []storage.Write{{Delete: protocol.JobKey(id)}}}, func(storage.Result) {})
	}
}

// unpackEntries moves jobs out of entries that were written and may not be used any more.
func (n *Node) unpackEntries(now time.Time) {
	state := &n.packed
	compacted := 0
	for _, p := range n.partitions {
		if !n.owns(p) || p.pendingAppend != nil || !p.log.Complete() {
			continue
		}
		remaining := false
		for _, j := range p.jobs {
			if !n.dependsOnEntries(j) {
				continue
			}
			remaining = true
			if compacted < maxCleanups && !j.writePending && j.remainingTasks() > 0 {
				compacted++
				j.dirtyChunks[0] = true
				n.compactJob(j, 0)
			}
		}
		if remaining || p.log.Empty() {
			continue
		}
		// All that may still be needed in it are the ends of jobs that a record or an inbox
		// still lists.
		n.emptySlots(p.log, func(slot int) string { return protocol.LogKey(p.index, slot) }, func(e *protocol.Entry) bool {
			listed := n.mayBeListedElsewhere(p, e)
			return slices.ContainsFunc(e.Parts, func(x protocol.Part) bool { return x.FinalStatus != "" && listed(x.Job) })
		}, n.unchanged(protocol.OwnerKey(p.index)))
	}
	for node, r := range state.inboxes {
		_, live := n.liveNodes[node]
		if node != n.cfg.Node && (live || !n.isLeader()) || r.Empty() {
			continue
		}
		n.emptySlots(r, func(slot int) string { return protocol.InboxKey(node, slot) }, func(e *protocol.Entry) bool {
			return slices.ContainsFunc(e.Jobs, func(a protocol.AcceptedJob) bool {
				j := n.jobs[a.Spec.ID]
				return j != nil && !j.hasRecord
			})
		})
	}
	n.removeEndedRecords()
}

// emptySlots overwrites the first entries of a ring of which nothing is needed with empty entries of
// the same number.
func (n *Node) emptySlots(r *packed.Ring, key func(slot int) string, needed func(e *protocol.Entry) bool, extra ...storage.Cond) {
	emptied := 0
	r.EachEntry(func(e *protocol.Entry) {
		if len(e.Parts)+len(e.Jobs) == 0 || needed(e) || emptied == maxCleanups {
			return
		}
		emptied++
		slotKey := key(int(e.Seq % uint64(ringSlots)))
		n.submitTo(n.backgroundCommitter, &storage.Op{Purpose: uint8(forCompaction), Conds: append([]storage.Cond{n.unchanged(slotKey)}, extra...),
			Writes: []storage.Write{{Put: slotKey, Value: mustJSON(protocol.Entry{Version: protocol.EntryVersion, Seq: e.Seq})}}}, func(storage.Result) {})
	})
}

// dependsOnEntries reports whether entries contain something of a job that its own record lacks.
func (n *Node) dependsOnEntries(j *job) bool {
	return !j.hasRecord || slices.ContainsFunc(j.tasks, func(t task) bool { return t.fromLog })
}
