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

// desk is what a node knows of tickets.
type desk struct {
	classes ticket.Table // of the file; nil: this node takes no tickets
	stored  ticket.Table // that operators set
	byID    map[string]*openTicket
	dirty   map[string]bool // to be looked at by the holder of their share
	most    int             // steps of a ticket open at a time
}

// openTicket is an accepted ticket that is not over.
type openTicket struct {
	id        string
	rec       *protocol.TicketRecord
	team      int
	share     int
	submitted time.Time
	cancelled bool
	asked     bool      // cancelled, and nobody was told: something of it may be left
	steps     []string  // the ids of its steps' jobs
	busy      bool      // a change of it is being stored
	quiet     bool      // no change of its jobs begins: they are about to be stopped
	notBefore time.Time // when to try again what could not be stored
}

// mostOpen bounds the steps of a ticket that are open at a time: all of them and the
// ticket are cancelled in one write.
const mostOpen = 8

func newDesk(txnOps int) desk {
	return desk{byID: map[string]*openTicket{}, dirty: map[string]bool{}, most: max(1, min(mostOpen, txnOps-3))}
}

// TakeTickets lets this node take tickets of these classes. It is called before Run.
func (n *Node) TakeTickets(classes ticket.Table) { n.tickets.classes = classes }

// table is the classes as they hold now.
func (d *desk) table() ticket.Table { return d.classes.With(d.stored) }

func (d *desk) takenOver(share int) {
	for id, t := range d.byID {
		if t.share == share {
			d.dirty[id] = true
		}
	}
}

func (n *Node) ticketChanged(id string) { n.tickets.dirty[id] = true }

// setTicket takes in a ticket's record.
func (n *Node) setTicket(id string, r *protocol.JobRecord) {
	team, ok := n.teamOf[r.Ticket.Base.Team]
	if !ok {
		n.log.Error("ticket of an unknown team", "ticket", id, "team", r.Ticket.Base.Team)
		return
	}
	t := n.tickets.byID[id]
	if t == nil {
		t = &openTicket{id: id, team: team, share: n.teams[team].share, submitted: time.UnixMilli(r.SubmittedMS)}
		for i := range r.Ticket.Steps {
			t.steps = append(t.steps, ticket.StepSpec(r.Ticket, i).ID)
		}
		n.tickets.byID[id] = t
	}
	if r.Ticket.Failing != "" && t.rec != nil && t.rec.Failing == "" {
		n.log.Info("ticket fails", "ticket", id, "name", r.Ticket.Name, "why", r.Ticket.Failing)
	}
	t.rec, t.cancelled, t.asked = r.Ticket, r.Cancelled || r.Asked, r.Asked && !r.Cancelled
	n.ticketChanged(id)
}

// dropTicket forgets a ticket whose record is gone: it is over.
func (n *Node) dropTicket(id string) {
	if t := n.tickets.byID[id]; t != nil {
		n.noteTicketEnd(t)
		defer n.tellAskers(id)
	}
	delete(n.tickets.byID, id)
	delete(n.tickets.dirty, id)
}

// head is a ticket's record as it is stored.
func (t *openTicket) head(rec *protocol.TicketRecord) protocol.JobRecord {
	return protocol.JobRecord{Ticket: rec, SubmittedMS: t.submitted.UnixMilli(), Cancelled: t.cancelled && !t.asked, Asked: t.asked, Next: 1}
}

// now is how the steps of a ticket are. without, if not nil, is a job whose end is
// about to be stored.
func (n *Node) stepsNow(t *openTicket, without *job) []ticket.StepNow {
	out := make([]ticket.StepNow, len(t.steps))
	for i, id := range t.steps {
		switch j := n.jobs[id]; {
		case j == nil || j == without:
		case j.step == nil || j.step.Ticket != t.id:
			out[i].Foreign = true
		default:
			out[i] = ticket.StepNow{Open: true, Failed: j.nSpent, Stopped: j.cancelled}
		}
	}
	return out
}

// open is a ticket's open jobs.
func (n *Node) openJobs(t *openTicket) (out []*job) {
	for _, id := range t.steps {
		if j := n.jobs[id]; j != nil && j.step != nil && j.step.Ticket == t.id {
			out = append(out, j)
		}
	}
	return out
}

// tendTickets does what is to be done about tickets of the shares held.
func (n *Node) tendTickets(now time.Time) {
	if len(n.tickets.dirty) == 0 || n.sinceContact(now) > 2*time.Second {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(n.tickets.dirty)) {
		t := n.tickets.byID[id]
		if t == nil || !n.mine(n.shares[t.share]) {
			delete(n.tickets.dirty, id)
			continue
		}
		if t.busy || now.Before(t.notBefore) {
			continue // looked at again when that is stored
		}
		d := ticket.Decide(t.rec, t.cancelled, n.stepsNow(t, nil), n.tickets.most)
		// To stop jobs their records must stand still: no more changes of them begin until
		// those under way are stored.
		if t.quiet = d.Fail != "" || d.Stop != nil; t.quiet && slices.ContainsFunc(n.openJobs(t), func(j *job) bool { return j.busy }) {
			continue
		}
		delete(n.tickets.dirty, id)
		op := n.ticketOp(t, d, now)
		if op == nil {
			continue
		}
		t.busy = true
		n.submit(op, func(r storage.Result) {
			t.busy, t.quiet = false, false
			if !r.OK {
				t.notBefore = time.Now().Add(200 * time.Millisecond)
			}
			n.ticketChanged(id)
		})
	}
}

// ticketOp turns a decision into a change; nil: nothing is to be done.
func (n *Node) ticketOp(t *openTicket, d ticket.Next, now time.Time) *storage.Op {
	head := protocol.JobKey(t.id)
	op := &storage.Op{Conds: []storage.Cond{n.cond(protocol.HolderKey(t.share)), n.cond(head)}}
	put := func(key string, v any) {
		op.Writes = append(op.Writes, storage.Write{Put: key, Value: mustJSON(v)})
	}
	switch {
	case d.Fail != "":
		put(head, t.head(ticket.Failing(t.rec, d.Fail)))
		for _, j := range n.openJobs(t) {
			n.stopStep(j, op, func(r *protocol.JobRecord) { r.Failed = true })
		}
	case d.Stop != nil:
		for _, i := range d.Stop {
			n.stopStep(n.jobs[t.steps[i]], op, func(r *protocol.JobRecord) {
				r.Failed = !t.cancelled || t.rec.Failing != ""
				r.Cancelled = !r.Failed
			})
		}
	case d.Over != "":
		op.Writes = n.ticketEnds(t, t.rec, d.Over)
	case d.Open != nil:
		n.openSteps(t.rec, t.steps, d.Open, now, op)
	default:
		return nil
	}
	return op
}

// openSteps adds the jobs of steps to a change.
func (n *Node) openSteps(rec *protocol.TicketRecord, ids []string, steps []int, now time.Time, op *storage.Op) {
	for _, i := range steps {
		key := protocol.JobKey(ids[i])
		op.Conds = append(op.Conds, storage.Cond{Key: key})
		op.Writes = append(op.Writes, storage.Write{Put: key, Value: mustJSON(protocol.JobRecord{Spec: ticket.StepSpec(rec, i), SubmittedMS: now.UnixMilli(), Next: 1, Step: ticket.StepRef(rec, i)})})
	}
}

// stopStep adds to a change that a step's job is to end.
func (n *Node) stopStep(j *job, op *storage.Op, how func(r *protocol.JobRecord)) {
	key := protocol.JobKey(j.id)
	rec := n.storedHead(j)
	how(&rec)
	op.Conds = append(op.Conds, n.cond(key))
	op.Writes = append(op.Writes, storage.Write{Put: key, Value: mustJSON(rec)})
}

// ticketEnds is the write that makes a ticket final.
func (n *Node) ticketEnds(t *openTicket, rec *protocol.TicketRecord, status string) []storage.Write {
	n.log.Info("ticket over", "ticket", t.id, "name", rec.Name, "status", status, "why", rec.Failing, "took_s", round(time.Since(t.submitted).Seconds()))
	return []storage.Write{
		{Put: protocol.FinalKey(t.id), Value: mustJSON(protocol.FinalRecord{Status: status, Tasks: rec.Base.Tasks, Ticket: rec})},
		{Delete: protocol.JobKey(t.id)},
	}
}

// endStep adds to a change what the end of a step's job is for its ticket: the job
// goes, the ticket's record says what became of it, and the steps that waited for it
// alone start. False: not now, since another change of the ticket is being stored.
func (n *Node) endStep(j *job, op *storage.Op) bool {
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
		case j.willBeSpent(tk):
			failed++
			if l := len(which); l > 0 && which[l-1][1] == i-1 {
				which[l-1][1] = i
			} else {
				which = append(which, [2]int{i, i})
			}
		case tk.phase == done || tk.fact == finished:
			nDone++
		}
	}
	if j.spec.Shape == protocol.Gang && nDone > 0 {
		nDone = len(j.tasks) // they complete together
	}
	rec := ticket.Ended(t.rec, j.step.Step, ticket.Outcome(j.cancelled, j.failed, failed), nDone, failed, which)
	op.Conds = append(op.Conds, n.cond(protocol.JobKey(t.id)))
	op.Writes = []storage.Write{gone}
	switch d := ticket.Decide(rec, t.cancelled, n.stepsNow(t, j), n.tickets.most); {
	case d.Over != "":
		op.Writes = append(op.Writes, n.ticketEnds(t, rec, d.Over)...)
	default:
		op.Writes = append(op.Writes, storage.Write{Put: protocol.JobKey(t.id), Value: mustJSON(t.head(rec))})
		n.openSteps(rec, t.steps, d.Open, time.Now(), op)
	}
	t.busy, j.ending = true, true
	return true
}

// quieted says whether no change of a job may begin now.
func (n *Node) quieted(j *job) bool {
	if n.corruptJob(j) {
		return true
	}
	if j.step == nil {
		return false
	}
	t := n.tickets.byID[j.step.Ticket]
	return t != nil && t.quiet
}

// stepEnded: a change of a job is stored, or refused. If it was its end, the ticket
// may change again.
func (n *Node) stepEnded(j *job) {
	if !j.ending {
		return
	}
	j.ending = false
	if t := n.tickets.byID[j.step.Ticket]; t != nil {
		t.busy = false
		n.ticketChanged(t.id)
	}
}

// errors is how often a task has failed so that it counts.
func (t *task) errors() int {
	if t.erred {
		return int(t.errs) + 1
	}
	return int(t.errs)
}

// spentAll says whether so many errors are all that a task may have.
func (j *job) spentAll(errors int) bool {
	return j.step != nil && ticket.Spent(errors, j.step.Retries)
}

// willBeSpent says whether a task has used up its tries, stored or not.
func (j *job) willBeSpent(t *task) bool {
	return t.phase == spent || t.fact == gone && j.spentAll(t.errors())
}

// pausing says whether a task that failed waits before it is tried again.
func (j *job) pausing(i int, now time.Time) bool {
	t := &j.tasks[i]
	return j.errored && t.errs > 0 && now.Sub(t.since) < ticket.Pause(int(t.errs))
}

// tryable is how many waiting tasks of a job that had errors may be started.
func (j *job) tryable(now time.Time) int {
	c := 0
	for i := range j.tasks {
		if j.tasks[i].phase == waiting && !j.pausing(i, now) {
			c++
		}
	}
	return c
}

// stepFailed notes that a task of a ticket's step ended with an error on a machine.
// Its tries are limited, so the job is not tried in smaller and smaller numbers as
// others are. The machine is avoided for a moment, and blamed unless the job has
// failed elsewhere too: then it is most likely the ticket.
func (n *Node) stepFailed(j *job, m *machine, now time.Time) {
	m.avoidTill = now.Add(5 * time.Second)
	n.touch(m)
	f := &j.trouble
	if !slices.Contains(f.machines, m) {
		f.machines = append(f.machines, m)
	}
	if len(f.machines) == 1 {
		m.suspicion.suspect(j.id, false, time.Now())
		return
	}
	for _, o := range f.machines {
		o.suspicion.spare(j.id)
		n.touch(o)
	}
}

// draining tells how many of the machines that a job may use take nothing new.
func (n *Node) draining(s *share, j *job) string {
	c := 0
	for _, m := range s.machines {
		if (m.heldBack || m.notice || m.returning) && decide.Allowed(j.spec, offer{Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot}) {
			c++
		}
	}
	if c == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d of its machines are being drained)", c)
}
