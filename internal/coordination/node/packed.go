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

// The actor's part in storing what is new of many jobs in one change; see docs/packed.md.
// A job may be known from a record of its own, from the inbox of the node that accepted it,
// or from both; what its tasks are like from its record, from the log of its share, or from
// both. This file writes and reads entries; what is still needed of them package packed
// tells, with what is asked here.

// ringSlots is how many slots rings have, and packAlways whether nothing is stored alone:
// tests make the slots few and store all in entries.
var (
	ringSlots  = packed.Slots
	alwaysPack bool
)

// entryPart is how much of a value an entry may fill, and carryPart how much of that, and of
// the conditions of its transaction, may be for what is said again from the entry that it takes
// the place of: if more is, jobs are folded into records of their own first.
const (
	entryPart = 0.9
	carryPart = 0.6
)

// packedState is what a node knows and does of entries.
type packedState struct {
	format       protocol.FormatRecord
	formatStored bool                    // there is a format in the store
	plainNodes   map[string]bool         // live nodes that need records of their own
	inboxes      map[string]*packed.Ring // by node
	broken       map[string]string       // keys of entries that are not understood
	endedRecords map[string]int          // records of jobs that have ended, with their share
	submissions  []*submission           // accepted, to be stored in the next entry
	stored       []storedBatch           // those whose users are told once all that was stored before is known
	busy         bool                    // an entry of the own inbox is being stored
	write        *inboxWrite             // the last such entry
	folding      int                     // records of accepted jobs being written
	changed      time.Time               // when the format was last to be changed
	swept        time.Time
}

func newPacking() packedState {
	return packedState{plainNodes: map[string]bool{}, inboxes: map[string]*packed.Ring{}, broken: map[string]string{}, endedRecords: map[string]int{}}
}

// mustBePlain says whether every job has to be in a record of its own: operators want it, an
// earlier version lives, or somebody tells users of cancellations at once.
func (n *Node) mustBePlain() bool {
	return n.policy.PlainRecords || len(n.nodesWithoutEntries)+len(n.packed.plainNodes) > 0 || n.requiresRecords()
}

// requiresRecords says so of this node alone.
func (n *Node) requiresRecords() bool { return n.SiteDaemonHost != "" || n.handlesTickets() }

// mayWriteEntries says whether entries may be written.
func (n *Node) mayWriteEntries() bool { return n.packed.format.Packed && !n.mustBePlain() }

// mayHaveEntries says whether jobs may be in entries: then a job's own record alone does not
// tell whether there is one, and how it is.
func (n *Node) mayHaveEntries() bool {
	return n.packed.formatStored
}

// tickFormat lets the leader say that entries may be written, once all nodes of the settings
// have been seen to understand them, or that they may not any more. A node that is down
// later does not change that.
func (n *Node) tickFormat(now time.Time) {
	p := &n.packed
	if !n.isLeader() || now.Sub(p.changed) < time.Second {
		return
	}
	on := !n.mustBePlain()
	if on && !p.format.Packed {
		for name := range n.peers {
			if _, lives := n.liveNodes[name]; !lives {
				return
			}
		}
	}
	if on == p.format.Packed {
		return
	}
	p.changed = now
	n.log.Info("many jobs in one change", "on", on)
	n.submit(&storage.Op{Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(0)), n.unchanged(protocol.FormatKey)},
		Writes: []storage.Write{{Put: protocol.FormatKey, Value: mustJSON(protocol.FormatRecord{Packed: on})}}}, func(storage.Result) {})
}

// inboxOf is the ring of what a node accepted.
func (n *Node) inboxOf(node string) *packed.Ring {
	r := n.packed.inboxes[node]
	if r == nil {
		r = packed.NewRing(ringSlots)
		n.packed.inboxes[node] = r
	}
	return r
}

// entry reads a slot's value; nil: there is none. One that is not understood is not skipped:
// its share decides nothing, and of jobs that nobody knows it is not said that they are
// unknown.
func (n *Node) entry(it storage.Item) (e *protocol.Entry, ok bool) {
	delete(n.packed.broken, it.Key)
	if it.Value == nil {
		return nil, true
	}
	e, err := packed.ParseEntry(it.Value)
	if err != nil {
		n.notUnderstood(it.Key, err)
		return nil, false
	}
	return e, true
}

func (n *Node) notUnderstood(key string, err error) {
	n.packed.broken[key] = err.Error()
	n.log.Error("stored entry not understood: what depends on it stops", "key", key, "why", err)
}

// logUnreadable says whether something in a share's log is not understood.
func (n *Node) logUnreadable(share int) bool {
	for key := range n.packed.broken {
		if s, _, ok := packed.ParseLogKey(key); ok && s == share {
			return true
		}
	}
	return false
}

// logReadable says whether all entries of a share's log are known. If not, more may be stored
// than is known: that a task has left, or that a job has ended.
func (n *Node) logReadable(s *partition) bool {
	return !n.mayHaveEntries() || s.log.Complete() && !n.logUnreadable(s.index)
}

// anyInboxUnreadable says so of any inbox.
func (n *Node) anyInboxUnreadable() bool {
	for key := range n.packed.broken {
		if strings.HasPrefix(key, protocol.InboxRoot) {
			return true
		}
	}
	return false
}

// applyLogEntry takes in a slot of a share's log.
func (n *Node) applyLogEntry(it storage.Item) {
	i, slot, ok := packed.ParseLogKey(it.Key)
	if !ok || i >= len(n.partitions) {
		n.log.Error("stored value not understood", "key", it.Key)
		return
	}
	e, ok := n.entry(it)
	if !ok {
		return
	}
	s := n.partitions[i]
	if _, err := s.log.Put(slot, e); err != nil {
		n.notUnderstood(it.Key, err)
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
			n.overlay(j, e, p, time.Now())
		}
	}
}

// applyEndFromLog takes in that a job has ended.
func (n *Node) applyEndFromLog(share int, p *protocol.Part) {
	if _, known := n.finalJobs.byID[p.Job]; !known {
		n.finalJobs.add(p.Job, protocol.FinalRecord{Status: p.FinalStatus, Tasks: p.Tasks})
	}
	if j := n.jobs[p.Job]; j != nil {
		if j.hasRecord {
			n.packed.endedRecords[p.Job] = share
		}
		n.dropJob(p.Job)
	}
}

// takes says whether an entry tells something of a task that is later than what is known.
func (t *task) takes(seq uint64) bool { return seq > t.logSeq || seq == t.logSeq && t.fromLog }

// overlay takes in what an entry says of a job.
func (n *Node) overlay(j *job, e *protocol.Entry, p *protocol.Part, now time.Time) {
	j.nextAttempt = max(j.nextAttempt, p.NextAttempt)
	n.applyTries(j, p.Tries, now)
	j.history.mergeStored(p.LostRuns, p.LastLostMS)
	for _, r := range p.Placed {
		for i := int(r[0]); i <= int(r[1]) && i < len(j.tasks); i++ {
			if j.tasks[i].takes(e.Seq) {
				j.nextAttempt = max(j.nextAttempt, r[2]+1)
				n.applyTask(j, i, phasePlaced, e.Machines[r[3]], r[2], now)
				j.tasks[i].logSeq, j.tasks[i].fromLog = e.Seq, true
			}
		}
	}
	for phase, ranges := range map[phase][][2]int{phaseWaiting: p.Unplaced, phaseDone: p.Done} {
		for _, r := range ranges {
			for i := r[0]; i <= r[1] && i < len(j.tasks); i++ {
				if j.tasks[i].takes(e.Seq) {
					n.applyTask(j, i, phase, "", 0, now)
					j.tasks[i].logSeq, j.tasks[i].fromLog = e.Seq, true
				}
			}
		}
	}
	n.afterTasksApplied(j)
}

// applyLogParts takes in what all entries say of a job that was just made.
func (n *Node) applyLogParts(j *job) {
	now := time.Now()
	n.partitions[j.partition].log.EachPart(j.id, func(e *protocol.Entry, p *protocol.Part) { n.overlay(j, e, p, now) })
}

// ended says whether a share's log tells that a job has ended.
func (n *Node) endedInLog(s *protocol.JobSpec) bool {
	ti, ok := n.teamIndex[s.Team]
	if !ok {
		return false
	}
	_, _, over := n.partitions[n.teams[ti].partition].log.FindEnd(s.ID)
	return over
}

// applyInboxEntry takes in a slot of a node's inbox. A job that no inbox mentions any more and that
// has no record of its own has ended: as long as it has not, whoever writes the slot anew
// says it again.
func (n *Node) applyInboxEntry(it storage.Item) {
	node, slot, ok := packed.ParseInboxKey(it.Key)
	if !ok {
		n.log.Error("stored value not understood", "key", it.Key)
		return
	}
	e, ok := n.entry(it)
	if !ok {
		return
	}
	before, err := n.inboxOf(node).Put(slot, e)
	if err != nil {
		n.notUnderstood(it.Key, err)
		return
	}
	if e != nil {
		for _, a := range e.Jobs {
			n.setAccepted(a)
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

func (n *Node) inAnyInbox(id string) bool {
	for _, r := range n.packed.inboxes {
		if r.Mentions(id) {
			return true
		}
	}
	return false
}

// mayBeInInbox says whether an inbox tells that a job was accepted, or may tell so in an entry
// that is not understood.
func (n *Node) mayBeInInbox(id string) bool { return n.anyInboxUnreadable() || n.inAnyInbox(id) }

// setAccepted takes in a job from an inbox. Two nodes may have accepted it at once.
func (n *Node) setAccepted(a protocol.AcceptedJob) {
	if n.endedInLog(a.Spec) {
		return
	}
	if j := n.jobs[a.Spec.ID]; j != nil {
		return
	}
	n.applyJob(a.Spec.ID, &protocol.JobRecord{Spec: a.Spec, SubmittedMS: a.SubmittedMS, NextAttempt: 1}, false)
}

// storedRecordAtLog is a job's record as it is stored now, by all that this node knows.
func (n *Node) storedRecordAtLog(j *job) protocol.JobRecord {
	r := j.storedRecord()
	r.LogSeq = n.partitions[j.partition].log.CompleteUpTo()
	return r
}

// logUnchanged is the condition that nothing is in a share's log that this node does not know.
func (n *Node) logUnchanged(share int) storage.Cond {
	slot, _ := n.partitions[share].log.Next()
	return n.unchanged(protocol.LogKey(share, slot))
}

// stillOpen are the conditions that a job is where this node thinks it is, and has not ended.
func (n *Node) stillOpen(id string) []storage.Cond {
	return []storage.Cond{n.unchanged(protocol.JobKey(id)), {Key: protocol.FinalKey(id)}}
}

// logAppend is an entry of a share's log that is being stored.
type logAppend struct {
	jobs     []*job
	pressing bool
}

// storeRequest is a job whose turn to be stored has come.
type storeRequest struct {
	job     *job
	urgency int
	of      changePurpose
}

// mostEnds is how many jobs may end with one entry: each is a change of its own beside it,
// and users are not to wait for what a dozen of them take of the rate.
func (n *Node) mostEnds() int {
	return max(1, min(n.cfg.Params.State.TxnOps-1, int(n.rateLimiter.PerSecond()/3)))
}

// mustLog says whether what is new of a job has to be told in its share's log: that it has
// ended, while an inbox tells that it was accepted.
func (n *Node) mustLog(j *job) bool {
	if j.hasRecord && !n.mayBeInInbox(j.id) {
		return false
	}
	return j.remainingTasks() == 0 && j.step == nil
}

// storePartition stores what is new of jobs of a share whose turn has come: one alone in its own
// record, as long as changes are ample, and several in an entry of the log, with whatever
// else is new.
func (n *Node) storePartition(s *partition, turns []storeRequest, most int, now time.Time) {
	if !n.logReadable(s) {
		return
	}
	level := func(c storeRequest) *storage.Committer {
		if c.urgency <= storeUrgentStart {
			return n.urgentCommitter
		}
		return n.backgroundCommitter
	}
	alone := func(turns []storeRequest) {
		for _, c := range turns {
			if n.pendingWrites[level(c)] < most {
				delete(n.dirty, c.job)
				c.job.dirtySince = time.Time{}
				n.storeJob(c.job, level(c), c.of)
			}
		}
	}
	if !n.mayWriteEntries() {
		var must, may []storeRequest
		for _, c := range turns {
			if n.mustLog(c.job) {
				must = append(must, c)
			} else {
				may = append(may, c)
			}
		}
		if len(must) > 0 && s.pendingAppend == nil {
			n.appendLog(s, must, now)
		}
		alone(may)
		return
	}
	switch {
	case s.pendingAppend != nil && !s.pendingAppend.pressing:
		// What is pressing need not wait for what is not.
		alone(slices.DeleteFunc(turns, func(c storeRequest) bool { return c.urgency > storeUrgentStart || n.mustLog(c.job) }))
	case s.pendingAppend != nil || s.pendingRecords > 0:
	case turns[0].urgency > storeUrgentStart && !n.rateLimiter.HasSpareRate() && now.Sub(s.lastAppend) < gatherTime:
		// Every change that is left is one that a user, or a start, need not wait for.
	case len(turns) == 1 && n.rateLimiter.HasSpareRate() && !n.mustLog(turns[0].job) && !alwaysPack:
		alone(turns)
	case n.pendingWrites[level(turns[0])] < most:
		n.appendLog(s, append(turns, n.riders(s, turns)...), now)
	}
}

// gatherTime is how long what nobody waits for is gathered for an entry while changes are
// short. (Without it a share stored an entry whenever the rate allowed one, and used all of
// it.)
const gatherTime = 700 * time.Millisecond

// riders are jobs of a share whose turn has not come and of which something is new: it costs
// nothing to store that with others.
func (n *Node) riders(s *partition, turns []storeRequest) (out []storeRequest) {
	in := map[*job]bool{}
	for _, c := range turns {
		in[c.job] = true
	}
	for j := range n.dirty {
		if j.partition == s.index && !in[j] && !j.writePending && !n.jobChangesPaused(j) && j.step == nil {
			out = append(out, storeRequest{j, storeOutcomes, forTaskEnds})
		}
	}
	slices.SortFunc(out, func(a, b storeRequest) int {
		return cmp.Or(a.job.dirtySince.Compare(b.job.dirtySince), strings.Compare(a.job.id, b.job.id))
	})
	return out
}

// appendLog stores what is new of some jobs of a share in one entry of its log, the first
// ones first, as far as there is room. It returns false if nothing is on its way.
func (n *Node) appendLog(s *partition, turns []storeRequest, now time.Time) bool {
	w := packed.NewWriter(s.log, int(entryPart*1024*n.cfg.Params.State.ValueKB))
	carried, fits := n.carry(s, w)
	if !fits {
		return false
	}
	a := &logAppend{pressing: turns[0].urgency <= storeUrgentStart}
	slot, _ := s.log.Next()
	op := &storage.Op{Purpose: uint8(turns[0].of), Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(s.index)), n.unchanged(protocol.LogKey(s.index, slot)), n.unchanged(protocol.FormatKey)}}
	op.Conds = append(op.Conds, n.unchangedRecords(carried)...)
	most := n.mostEnds()
	var finals []storage.Write
	for _, c := range turns {
		j := c.job
		if len(op.Conds)+2 > n.maxConditions() {
			break
		}
		if j.cancelled {
			n.revertProposals(j) // nothing of it may start any more
		}
		d := packed.Draft{Part: protocol.Part{Job: j.id}}
		if j.remainingTasks() == 0 {
			if len(finals) == most {
				continue
			}
			d.FinalStatus, d.Tasks = j.finalStatus(), len(j.tasks)
			finals = append(finals, finalWrites(j.id, d.FinalStatus, d.Tasks, 0)[0])
		} else if d = n.news(j); d.Empty() {
			delete(n.dirty, j)
			continue
		}
		if !w.AddPart(d) {
			if d.FinalStatus != "" {
				finals = finals[:len(finals)-1]
			} else if len(a.jobs) == 0 {
				n.saveWhatFitsNoEntry(c)
			}
			break
		}
		op.Conds = append(op.Conds, n.stillOpen(j.id)...)
		delete(n.dirty, j)
		j.dirtySince, j.writePending = time.Time{}, true
		j.dirtyChunks = map[int]bool{}
		for i := range j.tasks {
			j.tasks[i].storing = j.tasks[i].outcome != outcomeNone
		}
		a.jobs = append(a.jobs, j)
	}
	if len(a.jobs) == 0 {
		return false
	}
	// What the jobs became before what their share's log says of it.
	op.Writes = append(finals, storage.Write{Put: protocol.LogKey(s.index, slot), Value: mustJSON(w.Entry())})
	to := n.backgroundCommitter
	if a.pressing {
		to = n.urgentCommitter
	}
	s.pendingAppend, s.lastAppend = a, now
	n.pendingWrites[to] += len(op.Writes)
	op.Done = func(r storage.Result) {
		n.post(func() {
			n.pendingWrites[to] -= len(op.Writes)
			n.appended(s, a, op, r)
		})
	}
	if !to.Submit(op) {
		n.pendingWrites[to] -= len(op.Writes)
		n.notAppended(s, a)
	}
	n.metrics.entries.WithLabelValues("log").Observe(float64(len(a.jobs)))
	return true
}

// saveWhatFitsNoEntry stores a job in its own record: what is new of it does not fit beside what
// an entry has to say again, and that does not become less with time.
func (n *Node) saveWhatFitsNoEntry(c storeRequest) {
	delete(n.dirty, c.job)
	c.job.dirtySince = time.Time{}
	n.storeJob(c.job, n.urgentCommitter, c.of)
}

// news is what of a job is not stored yet.
func (n *Node) news(j *job) packed.Draft {
	d := n.draft(j)
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

func (n *Node) draft(j *job) packed.Draft {
	return packed.Draft{Part: protocol.Part{Job: j.id, NextAttempt: j.nextAttempt, Tries: j.failures.tries, LostRuns: j.history.lostRuns, LastLostMS: j.history.lastLostMS()}}
}

// said is what an entry says of a job that nothing later does, as it is stored now.
func (n *Node) said(j *job, seq uint64) packed.Draft {
	d := n.draft(j)
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

// maxConditions is how many conditions a transaction may have.
func (n *Node) maxConditions() int { return 4 * n.cfg.Params.State.TxnOps }

// unchangedRecords are the conditions that the own records of jobs that an entry says something
// of again are as this node knows them. A record may be stored while the entry is under way,
// and what the entry says again would count as later than that. Of a job that is over nothing
// but its end can be stored, after which nothing counts.
func (n *Node) unchangedRecords(carried []packed.CarriedJob) []storage.Cond {
	conds := make([]storage.Cond, 0, len(carried))
	for _, c := range carried {
		if n.jobs[c.Job].remainingTasks() > 0 {
			conds = append(conds, n.unchanged(protocol.JobKey(c.Job)))
		}
	}
	return conds
}

// carry says again what is still needed of the entry that the next one takes the place of, and
// of which open jobs. If that is too much, or takes too many conditions, some jobs are folded
// into records of their own first, and it returns false.
func (n *Node) carry(s *partition, w *packed.Writer) ([]packed.CarriedJob, bool) {
	old := s.log.Overwritten()
	if old == nil {
		return nil, true
	}
	carried, fits := s.log.Carry(w, n.toldOf(s, old), func(id string, seq uint64) packed.Draft {
		if j := n.jobs[id]; j != nil && j.partition == s.index {
			return n.said(j, seq)
		}
		return packed.Draft{}
	})
	room := int(carryPart * entryPart * 1024 * n.cfg.Params.State.ValueKB)
	mostJobs := int(carryPart * float64(n.maxConditions()))
	if fits && w.Size() <= room && len(carried) <= mostJobs {
		return carried, true
	}
	// The largest first.
	slices.SortStableFunc(carried, func(a, b packed.CarriedJob) int { return cmp.Compare(b.Size, a.Size) })
	left, jobs, folded := w.Size(), len(carried), false
	for _, c := range carried {
		if left <= room/2 && jobs <= mostJobs/2 && fits {
			break
		}
		// One that is over is not worth a record of its own.
		if j := n.jobs[c.Job]; !j.writePending && j.remainingTasks() > 0 {
			n.fold(j, old.Seq)
			left -= c.Size
			jobs--
			folded = true
		}
	}
	if !folded && (!fits || w.Size() > room) {
		folded = n.foldEnded(carried, old.Seq)
	}
	return carried, fits && !folded
}

// foldEnded stores jobs that are over, but not known to be to the store, in records of their
// own: without them the next entry can be written, and they end with one after it. It takes more
// than one change each, and is the last resort: if nothing else is left to be folded, no entry
// could be written any more, and so no job of the share could end. It says whether it stores any.
func (n *Node) foldEnded(carried []packed.CarriedJob, seq uint64) (any bool) {
	for _, c := range carried {
		if j := n.jobs[c.Job]; !j.writePending && j.step == nil {
			n.fold(j, seq)
			any = true
		}
	}
	return any
}

// toldOf says whether a record of its own, or an inbox, tells of a job that has ended by an
// entry. If what is stored is not known up to that entry, or can't be read, something may that
// this node has not heard of.
func (n *Node) toldOf(s *partition, e *protocol.Entry) func(id string) bool {
	unknown := n.revisions[protocol.LogKey(s.index, int(e.Seq%uint64(ringSlots)))] > n.completeRevision
	return func(id string) bool {
		_, head := n.packed.endedRecords[id]
		_, unreadable := n.corruptKeys[protocol.JobKey(id)]
		return unknown || head || unreadable || n.mayBeInInbox(id)
	}
}

// fold stores a job in a record of its own, with all that an entry says of it (0: any).
func (n *Node) fold(j *job, seq uint64) {
	for i := range j.tasks {
		if j.tasks[i].logSeq == seq || seq == 0 && j.tasks[i].fromLog {
			j.dirtyChunks[i/protocol.TasksPerChunk] = true
		}
	}
	delete(n.dirty, j)
	j.dirtySince = time.Time{}
	n.storeJobAs(j, false, n.urgentCommitter, forCompaction)
}

// appended learns how an entry of a share's log ended.
func (n *Node) appended(s *partition, a *logAppend, op *storage.Op, r storage.Result) {
	if !r.OK {
		n.metrics.stateCalls.WithLabelValues("refused").Inc()
		n.log.Info("entry of a share's log refused", "share", s.index, "jobs", len(a.jobs), "failed", strings.Join(r.Failed, " "), "why", r.Err)
		n.resync(r.Failed, func([]storage.Item, error) { n.notAppended(s, a) })
		return
	}
	n.metrics.stateCalls.WithLabelValues("stored").Inc()
	s.pendingAppend = nil
	for _, w := range op.Writes {
		n.applyOwnWrite(w, r.Revision)
	}
	for _, j := range a.jobs {
		j.writePending = false
		if n.jobs[j.id] != j {
			n.onJobEnded(j)
		} else if j.nWaiting() == 0 && j.allPlacedAt.IsZero() {
			j.allPlacedAt = time.Now()
		}
	}
}

func (n *Node) notAppended(s *partition, a *logAppend) {
	s.pendingAppend = nil
	for _, j := range a.jobs {
		j.writePending = false
		n.revertProposals(j)
		if n.jobs[j.id] == j {
			n.dirty[j] = true
		}
	}
}

// submission is a job that is to be accepted with others.
type submission struct {
	spec           *protocol.JobSpec
	receivedAt     time.Time
	reply          chan<- answer
	answerAsRepeat func(ifNew func())
	tries          int
}

// mostAlone is how many changes that users wait for may be under way when one more is stored
// alone: just fewer than those at which users are turned away (forWaiting). With 4 and with 10 a
// few more submissions of a quiet day took over 200 ms: what is in entries costs changes later.
const mostAlone = 14

// shouldBatch says whether a submission is stored with others: changes are under way already, or
// are short. That they are short shows only once the changes before have been sent: of a
// wave that came within one turn of the actor the first 16 were stored alone and all others
// turned away, every second anew (162 of 271 alone, 187 changes for 241 jobs).
func (n *Node) shouldBatch() bool {
	return n.mayWriteEntries() && n.inboxOf(n.cfg.Node).Complete() && !n.anyInboxUnreadable() &&
		(n.packed.busy || len(n.packed.submissions) > 0 || n.pendingUserChanges >= mostAlone || !n.rateLimiter.HasSpareRate() || alwaysPack)
}

// submissionsPerEntry is about how many submissions fit one entry.
func (n *Node) submissionsPerEntry() int {
	return max(1, min(int(n.cfg.Params.State.ValueKB*1024*entryPart/500), 2*n.cfg.Params.State.TxnOps-2))
}

// inboxWrite is an entry of the own inbox that is being stored.
type inboxWrite struct {
	op      *storage.Op
	batch   []*submission
	sent    time.Time
	settled bool // its submissions are answered, or wait for another entry
	current bool // when it was sent, the replica had all that other nodes had accepted
}

// flushInbox stores the submissions that wait in one entry.
func (n *Node) flushInbox(now time.Time) {
	p := &n.packed
	n.giveUpSubmissions(now)
	if w := p.write; p.busy && !w.settled && now.Sub(w.sent) >= n.resendDelay() {
		n.lookForEntry(w, storage.Result{Err: storage.ErrUnknown})
	}
	if p.busy || len(p.submissions) == 0 {
		return
	}
	if !n.mayWriteEntries() || n.anyInboxUnreadable() {
		for _, x := range p.submissions {
			x.reply <- busyAnswer
		}
		p.submissions = nil
		return
	}
	own := n.inboxOf(n.cfg.Node)
	w := packed.NewWriter(own, int(entryPart*1024*n.cfg.Params.State.ValueKB))
	if !n.carryAccepted(own, w) {
		return
	}
	slot, _ := own.Next()
	op := &storage.Op{Purpose: uint8(forSubmissions), NoRetry: true, Conds: []storage.Cond{n.unchanged(protocol.InboxKey(n.cfg.Node, slot)), n.unchanged(protocol.FormatKey)}}
	n.repeatKnown()
	var batch []*submission
	for _, x := range p.submissions {
		if len(op.Conds)+2 > 4*n.cfg.Params.State.TxnOps || !w.AddSubmission(protocol.AcceptedJob{Spec: x.spec, SubmittedMS: x.receivedAt.UnixMilli()}) {
			break
		}
		op.Conds = append(op.Conds, storage.Cond{Key: protocol.JobKey(x.spec.ID)}, storage.Cond{Key: protocol.FinalKey(x.spec.ID)})
		batch = append(batch, x)
	}
	if len(batch) == 0 {
		return
	}
	p.submissions = p.submissions[len(batch):]
	op.Writes = []storage.Write{{Put: protocol.InboxKey(n.cfg.Node, slot), Value: mustJSON(w.Entry())}}
	p.busy = true
	write := &inboxWrite{op: op, batch: batch, sent: now}
	p.write = write
	n.compareInboxes(write)
	n.pendingUserChanges++
	op.Done = func(r storage.Result) {
		n.post(func() {
			n.pendingUserChanges--
			n.accepted(write, r)
		})
	}
	if !n.userCommitter.Submit(op) {
		n.pendingUserChanges--
		p.busy = false
		for _, x := range batch {
			x.reply <- busyAnswer
		}
	}
	n.metrics.entries.WithLabelValues("inbox").Observe(float64(len(batch)))
}

// giveUpSubmissions answers users whose submissions have waited for an entry for too long.
func (n *Node) giveUpSubmissions(now time.Time) {
	p := &n.packed
	p.submissions = slices.DeleteFunc(p.submissions, func(x *submission) bool {
		if now.Sub(x.receivedAt) < submissionTimeout {
			return false
		}
		n.metrics.guardRefusals.WithLabelValues("change_unanswered").Inc()
		x.reply <- busyAnswer
		return true
	})
}

// repeatKnown answers submissions of jobs that are stored by now, as repeated ones: an earlier
// entry with them was executed after all.
func (n *Node) repeatKnown() {
	p := &n.packed
	p.submissions = slices.DeleteFunc(p.submissions, func(x *submission) bool {
		if !n.knows(x.spec.ID) {
			return false
		}
		x.answerAsRepeat(func() { x.reply <- busyAnswer })
		return true
	})
}

// knows says whether the replica has a job of this id, open or ended.
func (n *Node) knows(id string) bool {
	_, final := n.finalJobs.byID[id]
	return final || n.jobs[id] != nil || n.tickets.byID[id] != nil
}

// accepted learns how an entry with submissions ended.
func (n *Node) accepted(w *inboxWrite, r storage.Result) {
	if r.Err == nil {
		n.userChangeLatency.Observe(time.Since(w.sent))
	}
	if r.OK {
		n.applyOwnWrite(w.op.Writes[0], r.Revision)
	}
	if w.settled {
		return
	}
	if !r.OK {
		n.lookForEntry(w, r)
		return
	}
	w.settled = true
	n.packed.busy = false
	n.packed.stored = append(n.packed.stored, storedBatch{write: w, revision: r.Revision, until: time.Now().Add(maxQueueWait)})
}

// lookForEntry reads what kept an entry from being stored. Without an answer that is the slot
// itself: the entry may be stored all the same, or later. Then its jobs wait for another entry
// on the same condition, which only one of the two can meet.
func (n *Node) lookForEntry(w *inboxWrite, r storage.Result) {
	w.settled = true
	if r.Err != nil {
		r.Failed = []string{w.op.Writes[0].Put}
	}
	n.log.Info("entry of the inbox not stored, or not known to be", "jobs", len(w.batch), "failed", strings.Join(r.Failed, " "), "why", r.Err)
	if errors.Is(r.Err, storage.ErrRefused) {
		n.packed.busy = false
		for _, x := range w.batch {
			x.reply <- busyAnswer
		}
		return
	}
	n.resync(r.Failed, func([]storage.Item, error) {
		n.packed.busy = false
		n.acceptAgain(w.batch, r.Failed)
	})
}

// acceptAgain puts submissions whose entry is not known to be stored into the next one, but
// those of which something is stored by now: they are answered as repeated ones.
func (n *Node) acceptAgain(batch []*submission, failed []string) {
	var again []*submission
	for _, x := range batch {
		id := x.spec.ID
		x.tries++
		switch {
		case n.knows(id) || slices.Contains(failed, protocol.JobKey(id)) || slices.Contains(failed, protocol.FinalKey(id)):
			x.answerAsRepeat(func() { x.reply <- busyAnswer })
		case x.tries > 3 || !n.mayWriteEntries():
			x.reply <- busyAnswer
		default:
			again = append(again, x)
		}
	}
	n.packed.submissions = append(again, n.packed.submissions...)
}

// compareInboxes finds out, while an entry is being stored, whether the replica has all that
// other nodes have accepted; if not, the watch is to tell.
func (n *Node) compareInboxes(w *inboxWrite) {
	own, _ := n.inboxOf(n.cfg.Node).Next()
	conds := slices.DeleteFunc(n.inboxUnchangedConds(), func(c storage.Cond) bool { return c.Key == protocol.InboxKey(n.cfg.Node, own) })
	n.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, statusread.ReadTimeout)
		defer cancel()
		ok, _, _, err := n.store.Txn(ctx, conds, nil)
		n.post(func() {
			w.current = ok && err == nil
			if !w.current {
				n.wakeWatch()
			}
		})
	})
}

// storedBatch are submissions that were stored in an entry of the inbox at a revision. Another
// node may have accepted one of them before.
type storedBatch struct {
	write    *inboxWrite
	revision uint64
	until    time.Time // when their users are told to come back instead
}

// knownBefore says whether the replica has all that other nodes had stored when the last of the
// submissions came: who was told before then that one of them is accepted, was told of an entry
// that is known. It has if it was compared with the store after that, if it is complete up to
// the revision of their own entry, or if a watch that was sent after they came was answered.
func (b *storedBatch) knownBefore(complete time.Time, caught uint64) bool {
	return b.write.current || caught >= b.revision ||
		!slices.ContainsFunc(b.write.batch, func(x *submission) bool { return complete.Before(x.receivedAt) })
}

// confirmAccepted tells users that their jobs are accepted, once all that was stored before they
// asked is known. The entry itself could have conditions on the next slots of all other inboxes
// instead; in a wave, when all nodes write entries all the time, most would fail on it, and
// failed ones count against the rate of changes.
func (n *Node) confirmAccepted(now time.Time) {
	p := &n.packed
	kept := p.stored[:0]
	for _, b := range p.stored {
		known := b.knownBefore(n.completeAt, n.completeRevision)
		if !known && now.Before(b.until) {
			kept = append(kept, b)
			continue
		}
		for _, x := range b.write.batch {
			n.confirm(x, known)
		}
	}
	clear(p.stored[len(kept):])
	p.stored = kept
}

// confirm tells the user of a stored submission that the job is accepted, or how it is if
// another node has accepted it too; known says whether that can be told.
func (n *Node) confirm(x *submission, known bool) {
	switch {
	case !known:
		x.reply <- busyAnswer
	case n.acceptedHereAlone(x.spec.ID):
		n.log.Debug("job accepted", "job", x.spec.ID, "class", x.spec.Class, "tasks", x.spec.Tasks, "took_s", time.Since(x.receivedAt).Seconds())
		x.reply <- answer{status: 201, body: protocol.JobStatus{ID: x.spec.ID, Status: protocol.JobQueued}}
	default:
		x.answerAsRepeat(func() { x.reply <- busyAnswer })
	}
}

// acceptedHereAlone says whether a job is in the inbox of this node and nowhere else.
func (n *Node) acceptedHereAlone(id string) bool {
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

// carryAccepted says again which jobs of the entry that the next one takes the place of are
// open and in no record of their own. If these are too many, some get one first, and it
// returns false.
func (n *Node) carryAccepted(own *packed.Ring, w *packed.Writer) bool {
	carried, fits := own.CarryAccepted(w, func(a protocol.AcceptedJob) bool {
		j := n.jobs[a.Spec.ID]
		_, known := n.teamIndex[a.Spec.Team]
		return !known || j != nil && !j.hasRecord
	})
	if fits && w.Size() <= int(carryPart*entryPart*1024*n.cfg.Params.State.ValueKB) {
		return true
	}
	if n.packed.folding == 0 {
		for _, id := range carried[:(len(carried)+1)/2] {
			if j := n.jobs[id]; j != nil {
				n.foldAccepted(j)
			}
		}
	}
	return false
}

// foldAccepted gives a job that is in an inbox a record of its own. Any node may: it says
// up to which entry of the share's log it is true.
func (n *Node) foldAccepted(j *job) {
	n.packed.folding++
	n.submit(&storage.Op{Purpose: uint8(forCompaction), Conds: n.stillOpen(j.id),
		Writes: []storage.Write{{Put: protocol.JobKey(j.id), Value: mustJSON(n.storedRecordAtLog(j))}}}, func(storage.Result) { n.packed.folding-- })
}

// mostTidied is how many records of jobs that have ended, or jobs in entries that are not to be
// there, are seen to in one go.
const mostTidied = 4

// removeLeftovers removes what is left of jobs that have ended, when changes are ample or too much is
// left; and, where entries may not be written any more, gives the jobs in them records of
// their own and empties the slots.
func (n *Node) removeLeftovers(now time.Time) {
	p := &n.packed
	if !n.loaded || n.sinceContact(now) > 2*time.Second || now.Sub(p.swept) < 200*time.Millisecond {
		return
	}
	p.swept = now
	if ample := n.rateLimiter.HasSpareRate() && n.pendingUserChanges == 0; ample || len(p.endedRecords) > 3*ringSlots {
		n.removeHeads()
	}
	if !p.format.Packed && n.mayHaveEntries() && n.pendingUserChanges == 0 {
		n.unpack(now)
	}
}

func (n *Node) removeHeads() {
	c := 0
	for id, share := range n.packed.endedRecords {
		if !n.owns(n.partitions[share]) || n.revisionOf(protocol.JobKey(id)) == 0 {
			continue
		}
		if c++; c > mostTidied {
			return
		}
		n.submitTo(n.backgroundCommitter, &storage.Op{Purpose: uint8(forCompaction), Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(share)), n.unchanged(protocol.JobKey(id))},
			Writes: []storage.Write{{Delete: protocol.JobKey(id)}}}, func(storage.Result) {})
	}
}

// unpack is done where entries were written and may not be any more.
func (n *Node) unpack(now time.Time) {
	p := &n.packed
	c := 0
	for _, s := range n.partitions {
		if !n.owns(s) || s.pendingAppend != nil || !s.log.Complete() {
			continue
		}
		left := false
		for _, j := range s.jobs {
			if !n.dependsOnEntries(j) {
				continue
			}
			left = true
			if c < mostTidied && !j.writePending && j.remainingTasks() > 0 {
				c++
				j.dirtyChunks[0] = true
				n.fold(j, 0)
			}
		}
		if left || s.log.Empty() {
			continue
		}
		// Nothing in it is needed but that jobs have ended of which a record or an inbox
		// still tells.
		n.emptySlots(s.log, func(slot int) string { return protocol.LogKey(s.index, slot) }, func(e *protocol.Entry) bool {
			told := n.toldOf(s, e)
			return slices.ContainsFunc(e.Parts, func(x protocol.Part) bool { return x.FinalStatus != "" && told(x.Job) })
		}, n.unchanged(protocol.OwnerKey(s.index)))
	}
	for node, r := range p.inboxes {
		_, lives := n.liveNodes[node]
		if node != n.cfg.Node && (lives || !n.isLeader()) || r.Empty() {
			continue
		}
		n.emptySlots(r, func(slot int) string { return protocol.InboxKey(node, slot) }, func(e *protocol.Entry) bool {
			return slices.ContainsFunc(e.Jobs, func(a protocol.AcceptedJob) bool {
				j := n.jobs[a.Spec.ID]
				return j != nil && !j.hasRecord
			})
		})
	}
	n.removeHeads()
}

// emptySlots writes the first entries of a ring in which nothing is needed anew, with their
// number and nothing else.
func (n *Node) emptySlots(r *packed.Ring, key func(slot int) string, needed func(e *protocol.Entry) bool, also ...storage.Cond) {
	c := 0
	r.EachEntry(func(e *protocol.Entry) {
		if len(e.Parts)+len(e.Jobs) == 0 || needed(e) || c == mostTidied {
			return
		}
		c++
		k := key(int(e.Seq % uint64(ringSlots)))
		n.submitTo(n.backgroundCommitter, &storage.Op{Purpose: uint8(forCompaction), Conds: append([]storage.Cond{n.unchanged(k)}, also...),
			Writes: []storage.Write{{Put: k, Value: mustJSON(protocol.Entry{Version: protocol.EntryVersion, Seq: e.Seq})}}}, func(storage.Result) {})
	})
}

// dependsOnEntries says whether entries tell of a job what its own record does not.
func (n *Node) dependsOnEntries(j *job) bool {
	return !j.hasRecord || slices.ContainsFunc(j.tasks, func(t task) bool { return t.fromLog })
}
