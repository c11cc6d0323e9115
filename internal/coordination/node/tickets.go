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

// Render-farm tickets (docs/tickets.md). A ticket is a record beside the jobs, under a
// job's key; each of its steps is a job, placed, counted, stopped and stored as any
// other. This file is the actor's part: it shows package ticket how things stand and
// does what that decides, each time in one conditional write. It may touch desk,
// openTicket and, of a job, step, failed and the tasks' errors.
//
// What makes a step start once and only once: its job is stored under an id derived
// from the ticket, on condition that there is none and that the ticket's record is
// unchanged; and the end of a step's job changes that record in the same write that
// removes the job. So whoever decided on an older record, stalled for any time,
// changes nothing.

// ticketState is what a node knows of tickets.
type ticketState struct {
	fileClasses   ticket.ClassTable // of the file; nil: this node takes no tickets
	storedClasses ticket.ClassTable // that operators set
	byID          map[string]*openTicket
	dirty         map[string]bool // to be looked at by the holder of their share
	maxOpenSteps  int             // steps of a ticket open at a time
}

// openTicket is an accepted ticket that is not over.
type openTicket struct {
	id            string
	rec           *protocol.TicketRecord
	team          int
	share         int
	submitted     time.Time
	cancelled     bool
	cancelPending bool      // cancelled, and nobody was told: something of it may be left
	steps         []string  // the ids of its steps' jobs
	busy          bool      // a change of it is being stored
	changesPaused bool      // no change of its jobs begins: they are about to be stopped
	retryAfter    time.Time // when to try again what could not be stored
}

// mostOpen bounds the steps of a ticket that are open at a time: all of them and the
// ticket are cancelled in one write.
const mostOpen = 8

func newTicketState(txnOps int) ticketState {
	return ticketState{byID: map[string]*openTicket{}, dirty: map[string]bool{}, maxOpenSteps: max(1, min(mostOpen, txnOps-3))}
}

// AcceptTickets lets this node take tickets of these classes. It is called before Run.
func (n *Node) AcceptTickets(classes ticket.ClassTable) { n.tickets.fileClasses = classes }

// effectiveClasses is the classes as they hold now.
func (d *ticketState) effectiveClasses() ticket.ClassTable {
	return d.fileClasses.WithStored(d.storedClasses)
}

func (d *ticketState) ownershipAcquired(share int) {
	for id, t := range d.byID {
		if t.share == share {
			d.dirty[id] = true
		}
	}
}

func (n *Node) markTicketDirty(id string) { n.tickets.dirty[id] = true }

// setTicket takes in a ticket's record.
func (n *Node) setTicket(id string, r *protocol.JobRecord) {
	team, ok := n.teamIndex[r.Ticket.Base.Team]
	if !ok {
		n.log.Error("ticket of an unknown team", "ticket", id, "team", r.Ticket.Base.Team)
		return
	}
	t := n.tickets.byID[id]
	if t == nil {
		t = &openTicket{id: id, team: team, share: n.teams[team].partition, submitted: time.UnixMilli(r.SubmittedMS)}
		for i := range r.Ticket.Steps {
			t.steps = append(t.steps, ticket.StepSpec(r.Ticket, i).ID)
		}
		n.tickets.byID[id] = t
	}
	if r.Ticket.FailureReason != "" && t.rec != nil && t.rec.FailureReason == "" {
		n.log.Info("ticket fails", "ticket", id, "name", r.Ticket.Name, "why", r.Ticket.FailureReason)
	}
	t.rec, t.cancelled, t.cancelPending = r.Ticket, r.Cancelled || r.CancelRequested, r.CancelRequested && !r.Cancelled
	n.markTicketDirty(id)
}

// dropTicket forgets a ticket whose record is gone: it is over.
func (n *Node) dropTicket(id string) {
	if t := n.tickets.byID[id]; t != nil {
		n.recordTicketEnd(t)
		defer n.notifyCancelWaiters(id)
	}
	delete(n.tickets.byID, id)
	delete(n.tickets.dirty, id)
}

// jobRecord is a ticket's record as it is stored.
func (t *openTicket) jobRecord(rec *protocol.TicketRecord) protocol.JobRecord {
	return protocol.JobRecord{Ticket: rec, SubmittedMS: t.submitted.UnixMilli(), Cancelled: t.cancelled && !t.cancelPending, CancelRequested: t.cancelPending, NextAttempt: 1}
}

// now is how the steps of a ticket are. without, if not nil, is a job whose end is
// about to be stored.
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

// open is a ticket's open jobs.
func (n *Node) openStepJobs(t *openTicket) (out []*job) {
	for _, id := range t.steps {
		if j := n.jobs[id]; j != nil && j.step != nil && j.step.Ticket == t.id {
			out = append(out, j)
		}
	}
	return out
}

// reconcileTickets does what is to be done about tickets of the shares held.
func (n *Node) reconcileTickets(now time.Time) {
	if len(n.tickets.dirty) == 0 || n.sinceContact(now) > 2*time.Second {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(n.tickets.dirty)) {
		t := n.tickets.byID[id]
		if t == nil || !n.owns(n.partitions[t.share]) {
			delete(n.tickets.dirty, id)
			continue
		}
		if t.busy || now.Before(t.retryAfter) {
			continue // looked at again when that is stored
		}
		d := ticket.NextAction(t.rec, t.cancelled, n.stepStates(t, nil), n.tickets.maxOpenSteps)
		// To stop jobs their records must stand still: no more changes of them begin until
		// those under way are stored.
		if t.changesPaused = d.FailReason != "" || d.StopSteps != nil; t.changesPaused && slices.ContainsFunc(n.openStepJobs(t), func(j *job) bool { return j.writePending }) {
			continue
		}
		delete(n.tickets.dirty, id)
		op := n.ticketOp(t, d, now)
		if op == nil {
			continue
		}
		t.busy = true
		n.submit(op, func(r storage.Result) {
			t.busy, t.changesPaused = false, false
			if !r.OK {
				t.retryAfter = time.Now().Add(200 * time.Millisecond)
			}
			n.markTicketDirty(id)
		})
	}
}

// ticketOp turns a decision into a change; nil: nothing is to be done.
func (n *Node) ticketOp(t *openTicket, d ticket.Action, now time.Time) *storage.Op {
	head := protocol.JobKey(t.id)
	op := &storage.Op{Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(t.share)), n.unchanged(head)}}
	put := func(key string, v any) {
		op.Writes = append(op.Writes, storage.Write{Put: key, Value: mustJSON(v)})
	}
	switch {
	case d.FailReason != "":
		put(head, t.jobRecord(ticket.WithFailure(t.rec, d.FailReason)))
		for _, j := range n.openStepJobs(t) {
			n.addStepStop(j, op, func(r *protocol.JobRecord) { r.Failed = true })
		}
	case d.StopSteps != nil:
		for _, i := range d.StopSteps {
			n.addStepStop(n.jobs[t.steps[i]], op, func(r *protocol.JobRecord) {
				r.Failed = !t.cancelled || t.rec.FailureReason != ""
				r.Cancelled = !r.Failed
			})
		}
	case d.FinalStatus != "":
		op.Writes = n.ticketEnds(t, t.rec, d.FinalStatus)
	case d.OpenSteps != nil:
		n.addOpenSteps(t.rec, t.steps, d.OpenSteps, now, op)
	default:
		return nil
	}
	return op
}

// addOpenSteps adds the jobs of steps to a change.
func (n *Node) addOpenSteps(rec *protocol.TicketRecord, ids []string, steps []int, now time.Time, op *storage.Op) {
	for _, i := range steps {
		key := protocol.JobKey(ids[i])
		op.Conds = append(op.Conds, storage.Cond{Key: key})
		op.Writes = append(op.Writes, storage.Write{Put: key, Value: mustJSON(protocol.JobRecord{Spec: ticket.StepSpec(rec, i), SubmittedMS: now.UnixMilli(), NextAttempt: 1, Step: ticket.StepRef(rec, i)})})
	}
}

// addStepStop adds to a change that a step's job is to end.
func (n *Node) addStepStop(j *job, op *storage.Op, how func(r *protocol.JobRecord)) {
	key := protocol.JobKey(j.id)
	rec := n.storedRecordAtLog(j)
	how(&rec)
	op.Conds = append(op.Conds, n.unchanged(key))
	op.Writes = append(op.Writes, storage.Write{Put: key, Value: mustJSON(rec)})
}

// ticketEnds is the write that makes a ticket final.
func (n *Node) ticketEnds(t *openTicket, rec *protocol.TicketRecord, status string) []storage.Write {
	n.log.Info("ticket over", "ticket", t.id, "name", rec.Name, "status", status, "why", rec.FailureReason, "took_s", roundToTenth(time.Since(t.submitted).Seconds()))
	return []storage.Write{
		{Put: protocol.FinalKey(t.id), Value: mustJSON(protocol.FinalRecord{Status: status, Tasks: rec.Base.Tasks, Ticket: rec})},
		{Delete: protocol.JobKey(t.id)},
	}
}

// addStepEnd adds to a change what the end of a step's job is for its ticket: the job
// goes, the ticket's record says what became of it, and the steps that waited for it
// alone start. False: not now, since another change of the ticket is being stored.
func (n *Node) addStepEnd(j *job, op *storage.Op) bool {
	gone := storage.Write{Delete: protocol.JobKey(j.id)}
	t := n.tickets.byID[j.step.Ticket]
	if t == nil {
		op.Writes = []storage.Write{gone} // its ticket is over: nothing of it is wanted
		return true
	}
	if t.busy {
		return false
	}
	nDone, failed := 0, 0
	var which [][2]int
	for i := range j.tasks {
		switch tk := &j.tasks[i]; {
		case j.taskExhausted(tk):
			failed++
			if l := len(which); l > 0 && which[l-1][1] == i-1 {
				which[l-1][1] = i
			} else {
				which = append(which, [2]int{i, i})
			}
		case tk.phase == phaseDone || tk.outcome == outcomeFinished:
			nDone++
		}
	}
	if j.spec.Shape == protocol.Gang && nDone > 0 {
		nDone = len(j.tasks) // they complete together
	}
	rec := ticket.WithStepEnded(t.rec, j.step.Step, ticket.StepOutcome(j.cancelled, j.failed, failed), nDone, failed, which)
	op.Conds = append(op.Conds, n.unchanged(protocol.JobKey(t.id)))
	op.Writes = []storage.Write{gone}
	switch d := ticket.NextAction(rec, t.cancelled, n.stepStates(t, j), n.tickets.maxOpenSteps); {
	case d.FinalStatus != "":
		op.Writes = append(op.Writes, n.ticketEnds(t, rec, d.FinalStatus)...)
	default:
		op.Writes = append(op.Writes, storage.Write{Put: protocol.JobKey(t.id), Value: mustJSON(t.jobRecord(rec))})
		n.addOpenSteps(rec, t.steps, d.OpenSteps, time.Now(), op)
	}
	t.busy, j.storingEnd = true, true
	return true
}

// jobChangesPaused says whether no change of a job may begin now.
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

// stepEnded: a change of a job is stored, or refused. If it was its end, the ticket
// may change again.
func (n *Node) stepChangeFinished(j *job) {
	if !j.storingEnd {
		return
	}
	j.storingEnd = false
	if t := n.tickets.byID[j.step.Ticket]; t != nil {
		t.busy = false
		n.markTicketDirty(t.id)
	}
}

// countedErrors is how often a task has failed so that it counts.
func (t *task) countedErrors() int {
	if t.unstoredError {
		return int(t.storedErrors) + 1
	}
	return int(t.storedErrors)
}

// retriesExhausted says whether so many errors are all that a task may have.
func (j *job) retriesExhausted(errors int) bool {
	return j.step != nil && ticket.RetriesExhausted(errors, j.step.MaxRetries)
}

// taskExhausted says whether a task has used up its tries, stored or not.
func (j *job) taskExhausted(t *task) bool {
	return t.phase == phaseExhausted || t.outcome == outcomeGone && j.retriesExhausted(t.countedErrors())
}

// inBackoff says whether a task that failed waits before it is tried again.
func (j *job) inBackoff(i int, now time.Time) bool {
	t := &j.tasks[i]
	return j.hasErrors && t.storedErrors > 0 && now.Sub(t.phaseSince) < ticket.RetryPause(int(t.storedErrors))
}

// startableTasks is how many waiting tasks of a job that had errors may be started.
func (j *job) startableTasks(now time.Time) int {
	c := 0
	for i := range j.tasks {
		if j.tasks[i].phase == phaseWaiting && !j.inBackoff(i, now) {
			c++
		}
	}
	return c
}

// onStepTaskFailed notes that a task of a ticket's step ended with an error on a machine.
// Its tries are limited, so the job is not tried in smaller and smaller numbers as
// others are. The machine is avoided for a moment, and blamed unless the job has
// failed elsewhere too: then it is most likely the ticket.
func (n *Node) onStepTaskFailed(j *job, m *machine, now time.Time) {
	m.avoidUntil = now.Add(5 * time.Second)
	n.markStale(m)
	f := &j.failures
	if !slices.Contains(f.machines, m) {
		f.machines = append(f.machines, m)
	}
	if len(f.machines) == 1 {
		m.faults.addFailure(j.id, false, time.Now())
		return
	}
	for _, o := range f.machines {
		o.faults.removeFailuresOf(j.id)
		n.markStale(o)
	}
}

// drainNote tells how many of the machines that a job may use take nothing new.
func (n *Node) drainNote(s *partition, j *job) string {
	c := 0
	for _, m := range s.machines {
		if (m.cordoned || m.spotNotice || m.returning) && decide.Allowed(j.spec, offer{Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot}) {
			c++
		}
	}
	if c == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d of its machines are being drained)", c)
}
