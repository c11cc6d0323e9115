package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/ticket"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// Render-farm tickets (docs/tickets.md). A ticket is a record beside the jobs, stored under a
// job's key; each of its steps is a job, which is placed, counted, stopped and stored like any
// other. This file is the actor's part: it passes the state of a ticket to package ticket and
// carries out what that decides, each time in one conditional write. It may modify ticketState,
// openTicket and, of a job, step, failed and the tasks' errors.
//
// Each step starts exactly once: its job is stored under an id derived from the ticket, on the
// conditions that there is no such job and that the ticket's record is unchanged; and the write
// that removes the job at its end also changes that record. A node that decided on an older
// record, however long it was stalled, therefore changes nothing.

// ticketState is what a node knows of tickets.
type ticketState struct {
	fileClasses   ticket.ClassTable // from the settings file; nil: this node accepts no tickets
	storedClasses ticket.ClassTable // set by operators
	byID          map[string]*openTicket
	dirty         map[string]bool // tickets that the owner of their partition has to reconcile
	maxOpenSteps  int             // bounds the steps of a ticket that are open at a time
}

// openTicket is an accepted ticket that is not final.
type openTicket struct {
	id            string
	rec           *protocol.TicketRecord
	team          int
	partition     int
	submitted     time.Time
	cancelled     bool
	cancelPending bool      // the cancellation is stored and not confirmed to the user yet: tasks may be left
	steps         []string  // the job ids of its steps
	writePending  bool      // a change of the ticket is being stored
	changesPaused bool      // no change of its jobs may begin, since they are about to be stopped
	retryAfter    time.Time // when to retry a change that could not be stored
}

// openStepsLimit bounds the steps of a ticket that are open at a time: one write cancels all of
// them together with the ticket.
const openStepsLimit = 8

func newTicketState(txnOps int) ticketState {
	return ticketState{byID: map[string]*openTicket{}, dirty: map[string]bool{}, maxOpenSteps: max(1, min(openStepsLimit, txnOps-3))}
}

// AcceptTickets makes this node accept tickets of these classes. It is called before Run.
func (n *Node) AcceptTickets(classes ticket.ClassTable) { n.tickets.fileClasses = classes }

// effectiveClasses returns the classes that apply now: those of the settings file, overridden by
// the stored ones.
func (d *ticketState) effectiveClasses() ticket.ClassTable {
	return d.fileClasses.WithStored(d.storedClasses)
}

// ownershipAcquired marks the tickets of a partition, which this node has come to own, to be
// reconciled.
func (d *ticketState) ownershipAcquired(partition int) {
	for id, t := range d.byID {
		if t.partition == partition {
			d.dirty[id] = true
		}
	}
}

// markTicketDirty marks a ticket to be reconciled.
func (n *Node) markTicketDirty(id string) { n.tickets.dirty[id] = true }

// setTicket applies a ticket's record to the replica.
func (n *Node) setTicket(id string, record *protocol.JobRecord) {
	team, ok := n.teamIndex[record.Ticket.Base.Team]
	if !ok {
		n.log.Error("ignoring a ticket of an unknown team", "ticket", id, "team", record.Ticket.Base.Team)
		return
	}
	t := n.tickets.byID[id]
	if t == nil {
		t = &openTicket{id: id, team: team, partition: n.teams[team].partition, submitted: time.UnixMilli(record.SubmittedMS)}
		for i := range record.Ticket.Steps {
			t.steps = append(t.steps, ticket.StepSpec(record.Ticket, i).ID)
		}
		n.tickets.byID[id] = t
	}
	if record.Ticket.FailureReason != "" && t.rec != nil && t.rec.FailureReason == "" {
		n.log.Info("ticket fails", "ticket", id, "name", record.Ticket.Name, "why", record.Ticket.FailureReason)
	}
	t.rec, t.cancelled, t.cancelPending = record.Ticket, record.Cancelled || record.CancelRequested, record.CancelRequested && !record.Cancelled
	n.markTicketDirty(id)
}

// dropTicket removes a ticket whose record is gone: the ticket is final.
func (n *Node) dropTicket(id string) {
	if t := n.tickets.byID[id]; t != nil {
		n.recordTicketEnd(t)
		defer n.notifyCancelWaiters(id)
	}
	delete(n.tickets.byID, id)
	delete(n.tickets.dirty, id)
}

// jobRecord returns the record under which a ticket is stored.
func (t *openTicket) jobRecord(rec *protocol.TicketRecord) protocol.JobRecord {
	return protocol.JobRecord{Ticket: rec, SubmittedMS: t.submitted.UnixMilli(), Cancelled: t.cancelled && !t.cancelPending, CancelRequested: t.cancelPending, NextAttempt: 1}
}

// stepStates returns the state of each step of a ticket. without, if not nil, is a job whose end
// is about to be stored.
func (n *Node) stepStates(t *openTicket, without *job) []ticket.StepState {
	out := make([]ticket.StepState, len(t.steps))
	for i, id := range t.steps {
		switch j := n.jobs[id]; {
		case j == nil || j == without:
		case j.step == nil || j.step.Ticket != t.id:
			out[i].IDTaken = true
		default:
			out[i] = ticket.StepState{Open: true, FailedTasks: j.nExhausted, StopRequested: j.cancelled}
		}
	}
	return out
}

// openStepJobs returns a ticket's open jobs.
func (n *Node) openStepJobs(t *openTicket) (out []*job) {
	for _, id := range t.steps {
		if j := n.jobs[id]; j != nil && j.step != nil && j.step.Ticket == t.id {
			out = append(out, j)
		}
	}
	return out
}

// reconcileTickets makes the changes that tickets of the owned partitions need.
func (n *Node) reconcileTickets(now time.Time) {
	if len(n.tickets.dirty) == 0 || n.sinceContact(now) > 2*time.Second {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(n.tickets.dirty)) {
		t := n.tickets.byID[id]
		if t == nil || !n.owns(n.partitions[t.partition]) {
			delete(n.tickets.dirty, id)
			continue
		}
		if t.writePending || now.Before(t.retryAfter) {
			continue // reconciled again once that change is stored
		}
		next := ticket.NextAction(t.rec, t.cancelled, n.stepStates(t, nil), n.tickets.maxOpenSteps)
		// The records of jobs must not change while they are being stopped: no further change of
		// them begins, and the stop waits until those in flight are stored.
		if t.changesPaused = next.FailReason != "" || next.StopSteps != nil; t.changesPaused && slices.ContainsFunc(n.openStepJobs(t), func(j *job) bool { return j.writePending }) {
			continue
		}
		delete(n.tickets.dirty, id)
		op := n.ticketOp(t, next, now)
		if op == nil {
			continue
		}
		t.writePending = true
		n.submit(op, func(r storage.Result) {
			t.writePending, t.changesPaused = false, false
			if !r.OK {
				t.retryAfter = time.Now().Add(200 * time.Millisecond)
			}
			n.markTicketDirty(id)
		})
	}
}

// ticketOp turns a decision into a transaction; nil if there is nothing to do.
func (n *Node) ticketOp(t *openTicket, next ticket.Action, now time.Time) *storage.Op {
	head := protocol.JobKey(t.id)
	op := &storage.Op{Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(t.partition)), n.unchanged(head)}}
	put := func(key string, v any) {
		op.Writes = append(op.Writes, storage.Write{Put: key, Value: mustJSON(v)})
	}
	switch {
	case next.FailReason != "":
		put(head, t.jobRecord(ticket.WithFailure(t.rec, next.FailReason)))
		for _, j := range n.openStepJobs(t) {
			n.addStepStop(j, op, func(r *protocol.JobRecord) { r.Failed = true })
		}
	case next.StopSteps != nil:
		for _, i := range next.StopSteps {
			n.addStepStop(n.jobs[t.steps[i]], op, func(r *protocol.JobRecord) {
				r.Failed = !t.cancelled || t.rec.FailureReason != ""
				r.Cancelled = !r.Failed
			})
		}
	case next.FinalStatus != "":
		op.Writes = n.finalTicketWrites(t, t.rec, next.FinalStatus)
	case next.OpenSteps != nil:
		n.addOpenSteps(t.rec, t.steps, next.OpenSteps, now, op)
	default:
		return nil
	}
	return op
}

// addOpenSteps adds the creation of the jobs of some steps to a transaction.
func (n *Node) addOpenSteps(rec *protocol.TicketRecord, ids []string, steps []int, now time.Time, op *storage.Op) {
	for _, i := range steps {
		key := protocol.JobKey(ids[i])
		op.Conds = append(op.Conds, storage.Cond{Key: key})
		op.Writes = append(op.Writes, storage.Write{Put: key, Value: mustJSON(protocol.JobRecord{Spec: ticket.StepSpec(rec, i), SubmittedMS: now.UnixMilli(), NextAttempt: 1, Step: ticket.StepRef(rec, i)})})
	}
}

// addStepStop adds to a transaction that the job of a step is to end.
func (n *Node) addStepStop(j *job, op *storage.Op, mark func(r *protocol.JobRecord)) {
	key := protocol.JobKey(j.id)
	rec := n.storedRecordAtLog(j)
	mark(&rec)
	op.Conds = append(op.Conds, n.unchanged(key))
	op.Writes = append(op.Writes, storage.Write{Put: key, Value: mustJSON(rec)})
}

// finalTicketWrites returns the writes that make a ticket final.
func (n *Node) finalTicketWrites(t *openTicket, rec *protocol.TicketRecord, status string) []storage.Write {
	n.log.Info("ticket over", "ticket", t.id, "name", rec.Name, "status", status, "why", rec.FailureReason, "took_s", roundToTenth(time.Since(t.submitted).Seconds()))
	return []storage.Write{
		{Put: protocol.FinalKey(t.id), Value: mustJSON(protocol.FinalRecord{Status: status, Tasks: rec.Base.Tasks, Ticket: rec})},
		{Delete: protocol.JobKey(t.id)},
	}
}

// addStepEnd adds to a transaction what the end of a step's job means for its ticket: the job is
// removed, the ticket's record gets the step's outcome, and the steps that waited only for this
// one start. It returns false if that has to wait since another change of the ticket is being
// stored.
func (n *Node) addStepEnd(j *job, op *storage.Op) bool {
	removal := storage.Write{Delete: protocol.JobKey(j.id)}
	t := n.tickets.byID[j.step.Ticket]
	if t == nil {
		op.Writes = []storage.Write{removal} // its ticket is final: nothing else has to be stored
		return true
	}
	if t.writePending {
		return false
	}
	nDone, failed := 0, 0
	var failedRanges [][2]int
	for i := range j.tasks {
		switch task := &j.tasks[i]; {
		case j.taskExhausted(task):
			failed++
			if l := len(failedRanges); l > 0 && failedRanges[l-1][1] == i-1 {
				failedRanges[l-1][1] = i
			} else {
				failedRanges = append(failedRanges, [2]int{i, i})
			}
		case task.phase == phaseDone || task.outcome == outcomeFinished:
			nDone++
		}
	}
	if j.spec.Shape == protocol.Gang && nDone > 0 {
		nDone = len(j.tasks) // the tasks of a gang complete together
	}
	rec := ticket.WithStepEnded(t.rec, j.step.Step, ticket.StepOutcome(j.cancelled, j.failed, failed), nDone, failed, failedRanges)
	op.Conds = append(op.Conds, n.unchanged(protocol.JobKey(t.id)))
	op.Writes = []storage.Write{removal}
	switch next := ticket.NextAction(rec, t.cancelled, n.stepStates(t, j), n.tickets.maxOpenSteps); {
	case next.FinalStatus != "":
		op.Writes = append(op.Writes, n.finalTicketWrites(t, rec, next.FinalStatus)...)
	default:
		op.Writes = append(op.Writes, storage.Write{Put: protocol.JobKey(t.id), Value: mustJSON(t.jobRecord(rec))})
		n.addOpenSteps(rec, t.steps, next.OpenSteps, time.Now(), op)
	}
	t.writePending, j.storingEnd = true, true
	return true
}

// jobChangesPaused reports whether no change of a job may begin now.
func (n *Node) jobChangesPaused(j *job) bool {
	if n.hasCorruptRecord(j) {
		return true
	}
	if j.step == nil {
		return false
	}
	t := n.tickets.byID[j.step.Ticket]
	return t != nil && t.changesPaused
}

// stepChangeFinished is called when a change of a job is stored or refused. If the change was the
// end of a step's job, the ticket may change again.
func (n *Node) stepChangeFinished(j *job) {
	if !j.storingEnd {
		return
	}
	j.storingEnd = false
	if t := n.tickets.byID[j.step.Ticket]; t != nil {
		t.writePending = false
		n.markTicketDirty(t.id)
	}
}

// countedErrors returns how many of a task's failures count against its retries.
func (t *task) countedErrors() int {
	if t.unstoredError {
		return int(t.storedErrors) + 1
	}
	return int(t.storedErrors)
}

// retriesExhausted reports whether this many errors use up a task's retries.
func (j *job) retriesExhausted(errors int) bool {
	return j.step != nil && ticket.RetriesExhausted(errors, j.step.MaxRetries)
}

// taskExhausted reports whether a task has used up its retries, whether or not that is stored.
func (j *job) taskExhausted(t *task) bool {
	return t.phase == phaseExhausted || t.outcome == outcomeGone && j.retriesExhausted(t.countedErrors())
}

// inBackoff reports whether a failed task is still waiting before its next try.
func (j *job) inBackoff(i int, now time.Time) bool {
	t := &j.tasks[i]
	return j.hasErrors && t.storedErrors > 0 && now.Sub(t.phaseSince) < ticket.RetryPause(int(t.storedErrors))
}

// startableTasks returns how many waiting tasks of a job that had errors may be started.
func (j *job) startableTasks(now time.Time) int {
	count := 0
	for i := range j.tasks {
		if j.tasks[i].phase == phaseWaiting && !j.inBackoff(i, now) {
			count++
		}
	}
	return count
}

// onStepTaskFailed handles that a task of a ticket's step ended with an error on a machine. The
// task's retries are limited, so the job is not reduced to fewer and fewer tries like other jobs.
// The machine is avoided for a moment and blamed, unless the job has failed on other machines too:
// then the ticket itself is most likely at fault.
func (n *Node) onStepTaskFailed(j *job, m *machine, now time.Time) {
	m.avoidUntil = now.Add(5 * time.Second)
	n.markStale(m)
	failures := &j.failures
	if !slices.Contains(failures.machines, m) {
		failures.machines = append(failures.machines, m)
	}
	if len(failures.machines) == 1 {
		m.faults.addFailure(j.id, false, time.Now())
		return
	}
	for _, other := range failures.machines {
		other.faults.removeFailuresOf(j.id)
		n.markStale(other)
	}
}

// drainNote returns a note on how many of the machines that a job may use are being drained, or ""
// if there are none.
func (n *Node) drainNote(owned *partition, j *job) string {
	draining := 0
	for _, m := range owned.machines {
		if (m.cordoned || m.spotNotice || m.returning) && decide.Allowed(j.spec, offer{Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot}) {
			draining++
		}
	}
	if draining == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d of its machines are being drained)", draining)
}
