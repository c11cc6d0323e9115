package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"dapplestage.example/dapplestage/internal/coordination/ticket"
	"dapplestage.example/dapplestage/internal/protocol"
	format "dapplestage.example/dapplestage/internal/protocol/ticket"
	"dapplestage.example/dapplestage/internal/storage"
)

// The interface for tickets. Both ways in, POST /tickets and a ticket in an ordinary
// submission, differ in how their body is read and in nothing else.

func (n *Node) routeTickets(r *httprouter.Router) {
	r.POST("/tickets", n.postTicket)
	r.GET("/tickets/:id", n.getTicket)
	r.GET("/tickets/:id/tasks", n.getTicketTasks)
	r.POST("/tickets/:id/cancel", n.postCancel)
	r.GET("/admin/classes", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		n.serve(w, r, func(reply chan<- answer) { reply <- answer{status: 200, body: n.classesView()} })
	})
	r.PUT("/admin/classes/:lot", n.putClass)
	r.DELETE("/admin/classes/:lot", n.deleteClass)
}

func (n *Node) postTicket(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := readBody(r)
	if err != nil {
		writeAnswer(w, answer{status: 400, body: errorBody{err.Error()}})
		return
	}
	n.takeTicket(w, r, data, format.ParseTicket)
}

// postEmbeddedTicket takes an ordinary submission that carries a ticket.
func (n *Node) postEmbeddedTicket(w http.ResponseWriter, r *http.Request, data []byte) {
	n.takeTicket(w, r, data, format.ParseEmbedded)
}

func (n *Node) takeTicket(w http.ResponseWriter, r *http.Request, data []byte, parse func([]byte) (*format.Submission, error)) {
	if n.tickets.fileClasses == nil { // set before the node runs, and never again
		writeAnswer(w, answer{status: 400, body: errorBody{protocol.ErrEmbeddedTicket.Error() + " (--tickets)"}})
		return
	}
	s, err := parse(data)
	if err != nil {
		writeAnswer(w, answer{status: 400, body: errorBody{err.Error()}})
		return
	}
	table := make(chan ticket.ClassTable, 1)
	n.post(func() { table <- n.tickets.effectiveClasses() })
	var classes ticket.ClassTable
	select {
	case classes = <-table:
	case <-r.Context().Done():
		return
	case <-n.ctx.Done():
		writeAnswer(w, busyAnswer)
		return
	}
	a, err := ticket.Admit(s, classes, ticket.Limits{MaxValueBytes: int(n.cfg.Params.State.ValueKB*1024) - 256})
	came := time.Now()
	n.serve(w, r, func(reply chan<- answer) { n.onSubmitTicket(s.ID, a, err, time.Now(), reply) })
	observeSince(n.metrics.accept, came, time.Now())
}

// onSubmitTicket accepts a ticket, or says why not. A repeat is judged by what is stored,
// whatever its class would say of it now.
func (n *Node) onSubmitTicket(id string, a *ticket.Admitted, refused error, now time.Time, reply chan<- answer) {
	if !n.loaded {
		reply <- busyAnswer
		return
	}
	repeat := func(ifNew func()) {
		n.readJobStatus(id, func(known bool, _ protocol.JobStatus, err error) {
			switch s, ok := n.ticketStatus(id, time.Now()); {
			case err != nil:
				reply <- busyAnswer
			case known && n.isGatewayJob(id):
				reply <- askGatewayAnswer
			case known && !ok:
				reply <- answer{status: 422, body: errorBody{"field id: an ordinary job has it"}}
			case known:
				reply <- answer{status: 200, body: s}
			default:
				ifNew()
			}
		})
	}
	refuse := func(status int, why string) { repeat(func() { reply <- answer{status: status, body: errorBody{why}} }) }
	_, final := n.finalJobs.byID[id]
	switch j := n.jobs[id]; {
	case j != nil && j.step != nil:
		reply <- answer{status: 422, body: errorBody{"field id: it is that of a ticket's step"}}
		return
	case final || j != nil || n.tickets.byID[id] != nil:
		repeat(func() { reply <- busyAnswer })
		return
	}
	var r *ticket.Refusal
	switch {
	case refused == nil && n.openTasks()+a.Record.Base.Tasks > n.mostTasks():
		// A few bytes may bring 100,000 tasks: what would not fit this node's memory is
		// turned away, and can be asked for again when others have ended.
		n.metrics.guardRefusals.WithLabelValues("ticket_memory").Inc()
		repeat(func() {
			reply <- answer{status: 503, retryAfterS: 30, body: errorBody{fmt.Sprintf("%d tasks are open, at most %d with this ticket's", n.openTasks(), n.mostTasks())}}
		})
		return
	case errors.As(refused, &r) && !r.Malformed:
		refuse(422, r.Why)
		return
	case refused != nil:
		refuse(400, refused.Error())
		return
	}
	for i := range a.Record.Steps {
		switch why, decided := n.checkRunnable(ticket.StepSpec(a.Record, i)); {
		case !decided:
			repeat(func() { reply <- busyAnswer })
			return
		case why != "":
			refuse(422, fmt.Sprintf("step %s: %s", a.Record.Steps[i].Name, why))
			return
		}
	}
	n.unlessGatewayJob(id, reply, func() { n.acceptTicket(a, now, reply, repeat) })
}

// taskBytes is what an open task takes of a node's memory.
const taskBytes = 125

// mostTasks is how many tasks may be open for another ticket to be taken: they take a
// fifth of the node's memory at the most.
func (n *Node) mostTasks() int { return int(n.cfg.Params.Quota.MemoryMB * 0.2 * (1 << 20) / taskBytes) }

func (n *Node) openTasks() int {
	c := 0
	for _, j := range n.jobs {
		c += len(j.tasks)
	}
	return c
}

// acceptTicket stores a ticket, its template and the jobs of its first steps at once.
func (n *Node) acceptTicket(a *ticket.Admitted, now time.Time, reply chan<- answer, repeat func(ifNew func())) {
	rec := a.Record
	t := &openTicket{submitted: now}
	for i := range rec.Steps {
		t.steps = append(t.steps, ticket.StepSpec(rec, i).ID)
	}
	op := &storage.Op{
		Conds: []storage.Cond{{Key: protocol.JobKey(a.ID)}, {Key: protocol.FinalKey(a.ID)}},
		Writes: []storage.Write{
			{Put: protocol.TicketKey(a.ID), Value: mustJSON(packedTicket{a.PackedTemplate})},
			{Put: protocol.JobKey(a.ID), Value: mustJSON(t.jobRecord(rec))}}}
	d := ticket.NextAction(rec, false, make([]ticket.StepState, len(rec.Steps)), n.tickets.maxOpenSteps)
	n.addOpenSteps(rec, t.steps, d.OpenSteps, now, op)
	n.submitForUser(op, reply, func(r storage.Result) {
		switch {
		case r.OK:
			for _, w := range op.Writes[1:] {
				n.applyOwnWrite(w, r.Revision)
			}
			n.log.Info("ticket accepted", "ticket", a.ID, "name", rec.Name, "class", rec.Base.Class, "team", rec.Base.Team, "tasks", rec.Base.Tasks, "steps", len(rec.Steps),
				"urgency", rec.Terms.Priority, "retries", rec.Terms.MaxRetries.Granted)
			s, _ := n.ticketStatus(a.ID, time.Now())
			reply <- answer{status: 201, body: s}
		case r.Err != nil:
			reply <- busyAnswer
		default:
			// Somebody has the id, or that of a step. What holds is read once more.
			n.resync(r.Failed, func([]storage.Item, error) { repeat(func() { reply <- busyAnswer }) })
		}
	})
}

// packedTicket is what is stored under a ticket's TicketKey.
type packedTicket struct {
	Packed []byte `json:"z"`
}

// cancelTicket cancels a ticket and all its open steps in one change: from then on
// nothing of it can be started.
func (n *Node) cancelTicket(t *openTicket, tries int, reply chan<- answer) {
	if t.rec.FailureReason != "" {
		reply <- answer{status: 200, body: protocol.JobStatus{ID: t.id, Status: protocol.JobFailed}}
		return
	}
	if t.cancelPending {
		n.awaitCancelled(t.id, n.openStepJobs(t), tries, reply)
		return
	}
	head := protocol.JobKey(t.id)
	late := n.confirmsCancelAfterStop()
	rec := t.jobRecord(t.rec)
	rec.Cancelled, rec.CancelRequested = !late, late
	op := &storage.Op{Conds: []storage.Cond{n.unchanged(head)}, Writes: []storage.Write{{Put: head, Value: mustJSON(rec)}}}
	for _, j := range n.openStepJobs(t) {
		n.addStepStop(j, op, func(r *protocol.JobRecord) { r.Cancelled = true })
	}
	for _, i := range ticket.OpenableSteps(t.rec, n.stepStates(t, nil), n.tickets.maxOpenSteps) {
		op.Conds = append(op.Conds, storage.Cond{Key: protocol.JobKey(t.steps[i])})
	}
	id := t.id
	n.submitForUser(op, reply, func(r storage.Result) {
		switch {
		case r.OK:
			for _, w := range op.Writes {
				n.applyOwnWrite(w, r.Revision)
			}
			if late && n.tickets.byID[id] == t {
				n.awaitCancelled(id, n.openStepJobs(t), tries, reply)
				return
			}
			reply <- answer{status: 200, body: protocol.JobStatus{ID: id, Status: protocol.JobCancelled}}
		case r.Err == nil && tries > 0:
			n.resync(append(r.Failed, protocol.FinalKey(id)), func(_ []storage.Item, err error) {
				if err != nil {
					reply <- busyAnswer
					return
				}
				n.onCancel(id, tries-1, reply)
			})
		default:
			reply <- busyAnswer
		}
	})
}

// ticketJobStatus is what users see of a ticket where they ask for a job.
func (n *Node) ticketJobStatus(t *openTicket) protocol.JobStatus {
	s := protocol.JobStatus{ID: t.id, Status: protocol.JobQueued, Terms: &t.rec.Terms}
	for _, st := range t.rec.Steps {
		s.Done, s.Failed = s.Done+st.Done, s.Failed+st.Failed
	}
	for _, j := range n.openStepJobs(t) {
		s.Done, s.Failed, s.Running = s.Done+j.nDone, s.Failed+j.nExhausted, s.Running+j.nPlaced
	}
	switch {
	case t.rec.FailureReason != "":
		s.Status = protocol.JobFailed
	case t.cancelled && !t.cancelPending:
		s.Status = protocol.JobCancelled
	case s.Running > 0:
		s.Status = protocol.JobRunning
	}
	return s
}

// TicketStatus is a ticket and its steps.
type TicketStatus struct {
	protocol.JobStatus
	Name  string       `json:"name"`
	Class string       `json:"lot"`
	Team  string       `json:"crew"`
	Tasks int          `json:"tasks"`
	Why   string       `json:"why,omitempty"` // it failed
	Steps []StepStatus `json:"steps"`
}

// States of a step beside a job's.
const (
	StepBlocked = "blocked" // waits for steps that it depends on
	StepNotRun  = "not_run" // and the ticket is over
)

// StepStatus is one step of a ticket.
type StepStatus struct {
	Step         string   `json:"step"`
	Job          string   `json:"job"` // under which its description is uploaded
	Status       string   `json:"status"`
	Tasks        int      `json:"tasks"`
	Done         int      `json:"done"`
	Running      int      `json:"running"`
	Failed       int      `json:"failed"`
	FailedRanges [][2]int `json:"failed_tasks,omitempty"` // the first ranges of them
	After        []string `json:"after,omitempty"`        // steps that must be done before
	Why          string   `json:"why,omitempty"`          // its tasks wait
}

// ticketStatus is how a ticket is; false if there is none of that id.
func (n *Node) ticketStatus(id string, now time.Time) (*TicketStatus, bool) {
	var rec *protocol.TicketRecord
	s := &TicketStatus{}
	t := n.tickets.byID[id]
	over := false
	if f, ok := n.finalJobs.byID[id]; ok {
		if rec, over = f.Ticket, true; rec == nil {
			return nil, false
		}
		s.JobStatus = finalStatus(id, f)
	} else if t != nil {
		rec = t.rec
		s.JobStatus = n.ticketJobStatus(t)
		over = t.cancelled || rec.FailureReason != ""
	} else {
		return nil, false
	}
	s.Name, s.Class, s.Team, s.Tasks, s.Why = rec.Name, rec.Base.Class, rec.Base.Team, rec.Base.Tasks, rec.FailureReason
	for i, st := range rec.Steps {
		v := StepStatus{Step: st.Name, Job: ticket.StepSpec(rec, i).ID, Status: st.State, Tasks: st.Tasks, Done: st.Done, Failed: st.Failed, FailedRanges: st.FailedRanges}
		for _, d := range st.Deps {
			v.After = append(v.After, rec.Steps[d].Name)
		}
		j := n.jobs[v.Job]
		switch {
		case st.State != "":
		case t != nil && j != nil && j.step != nil:
			js := j.status()
			v.Status, v.Done, v.Running, v.Failed = js.Status, js.Done, js.Running, j.nExhausted
			if j.failed {
				v.Status = protocol.JobFailed
			}
			if k, stuck := n.stuckJob(j, now); stuck {
				v.Why = k.Why
			}
		case over:
			v.Status = StepNotRun
		default:
			v.Status = StepBlocked
		}
		s.Steps = append(s.Steps, v)
	}
	return s, true
}

// onTicketPoll answers how a ticket is, after the same comparison with the store as
// any poll.
func (n *Node) onTicketPoll(id string, reply chan<- answer) {
	if !n.loaded {
		reply <- busyAnswer
		return
	}
	n.readJobStatus(id, func(known bool, _ protocol.JobStatus, err error) {
		s, ok := n.ticketStatus(id, time.Now())
		switch {
		case err != nil:
			reply <- busyAnswer
		case !known || !ok:
			reply <- answer{status: 404, body: errorBody{"no such ticket"}}
		default:
			reply <- answer{status: 200, body: s}
		}
	})
}

func (n *Node) getTicket(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id := p.ByName("id")
	if !protocol.ValidJobID(id) {
		writeAnswer(w, answer{status: 404, body: errorBody{"no such ticket"}})
		return
	}
	n.serve(w, r, func(reply chan<- answer) { n.onTicketPoll(id, reply) })
}

// TicketTask is a task with its parameters.
type TicketTask struct {
	Task       int              `json:"task"`
	Status     string           `json:"status"` // waiting, placed, running, done, failed, or over
	Machine    string           `json:"machine,omitempty"`
	Errors     int              `json:"errors,omitempty"` // that counted
	Parameters []format.Binding `json:"parameters,omitempty"`
}

// TicketTasks is a page of a step's tasks.
type TicketTasks struct {
	Ticket string       `json:"ticket"`
	Step   string       `json:"step"`
	Tasks  []TicketTask `json:"tasks"`
	More   bool         `json:"more"`
}

// mostPage bounds a page of tasks.
const mostPage = 500

// getTicketTasks tells a step's tasks, from ?since= on, ?limit= of them. What they are
// doing comes from memory, their parameters from the stored template: one read.
func (n *Node) getTicketTasks(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	q := r.URL.Query()
	number := func(name string, otherwise, least, most int) (int, error) {
		if q.Get(name) == "" {
			return otherwise, nil
		}
		v, err := strconv.Atoi(q.Get(name))
		if err != nil || v < least || v > most {
			err = fmt.Errorf("%s: must be %d to %d", name, least, most)
		}
		return v, err
	}
	from, err := number("since", 0, 0, protocol.MaxTasks)
	limit, lerr := number("limit", 100, 1, mostPage)
	if err = errors.Join(err, lerr); err != nil {
		writeAnswer(w, answer{status: 400, body: errorBody{err.Error()}})
		return
	}
	id := p.ByName("id")
	if !protocol.ValidJobID(id) {
		writeAnswer(w, answer{status: 404, body: errorBody{"no such ticket"}})
		return
	}
	page := make(chan answer, 1)
	step := -1
	n.post(func() {
		// After a restart the ticket may be known only once it was read.
		n.readJobStatus(id, func(_ bool, _ protocol.JobStatus, err error) {
			if err != nil {
				page <- busyAnswer
				return
			}
			step = n.ticketTasks(id, q.Get("step"), from, limit, page)
		})
	})
	var a answer
	select {
	case a = <-page:
	case <-r.Context().Done():
		return
	case <-n.ctx.Done():
		a = busyAnswer
	}
	if out, ok := a.body.(*TicketTasks); ok {
		it, err := n.store.Get(r.Context(), protocol.TicketKey(id))
		var packed packedTicket
		if err == nil && it.Value != nil {
			err = json.Unmarshal(it.Value, &packed)
		}
		var plan *format.Plan
		if err == nil {
			_, plan, err = format.Unpack(packed.Packed)
		}
		if err != nil || step >= len(plan.Steps) {
			n.log.Info("ticket's template not read", "ticket", id, "why", err)
			writeAnswer(w, busyAnswer)
			return
		}
		for i := range out.Tasks {
			out.Tasks[i].Parameters = plan.Steps[step].Space.At(out.Tasks[i].Task)
		}
	}
	writeAnswer(w, a)
}

// ticketTasks answers with a page without parameters, and returns the step's number.
func (n *Node) ticketTasks(id, name string, from, limit int, reply chan<- answer) int {
	rec := n.finalJobs.byID[id].Ticket
	if t := n.tickets.byID[id]; t != nil {
		rec = t.rec
	}
	if rec == nil {
		reply <- answer{status: 404, body: errorBody{"no such ticket"}}
		return -1
	}
	for i, st := range rec.Steps {
		if st.Name != name && (name != "" || i > 0) {
			continue
		}
		out := &TicketTasks{Ticket: id, Step: st.Name, Tasks: []TicketTask{}, More: from+limit < st.Tasks}
		j := n.jobs[ticket.StepSpec(rec, i).ID]
		for k := from; k < min(st.Tasks, from+limit); k++ {
			out.Tasks = append(out.Tasks, taskOf(j, st, k))
		}
		reply <- answer{status: 200, body: out}
		return i
	}
	reply <- answer{status: 404, body: errorBody{"no such step"}}
	return -1
}

func taskOf(j *job, st protocol.TicketStep, k int) TicketTask {
	v := TicketTask{Task: k, Status: "waiting"}
	switch {
	case st.State == protocol.JobDone:
		v.Status = "done"
	case st.State != "":
		v.Status = "over"
		for _, r := range st.FailedRanges {
			if k >= r[0] && k <= r[1] {
				v.Status = "failed"
			}
		}
	case j != nil && j.step != nil && k < len(j.tasks):
		t := &j.tasks[k]
		v.Errors = t.countedErrors()
		switch {
		case t.phase == phaseExhausted:
			v.Status = "failed"
		case t.phase == phaseDone:
			v.Status = "done"
		case t.phase == phasePlaced:
			v.Status, v.Machine = "placed", t.machine.name
			if t.reportedState == reportedRunning {
				v.Status = "running"
			}
		}
	}
	return v
}

// ClassesView shows the classes of tickets with the revision that a change must name.
type ClassesView struct {
	Stamp          uint64            `json:"stamp"`
	AcceptsTickets bool              `json:"taken"` // whether this node takes tickets
	Classes        ticket.ClassTable `json:"classes"`
	Stored         []string          `json:"stored"` // those that operators set
}

func (n *Node) classesView() ClassesView {
	return ClassesView{Stamp: n.revisionOf(protocol.ClassesKey), AcceptsTickets: n.tickets.fileClasses != nil, Classes: n.tickets.effectiveClasses(), Stored: n.tickets.storedClasses.Names()}
}

func (n *Node) putClass(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	data, err := readBody(r)
	var c SettingChange
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err != nil || c.Stamp == nil {
		writeAnswer(w, answer{status: 400, body: errorBody{`need {"value":{...},"stamp":N} with the stamp that /admin/classes shows`}})
		return
	}
	lot := p.ByName("lot")
	class, err := ticket.ParseClass(lot, c.Value)
	if err != nil {
		writeAnswer(w, answer{status: 400, body: errorBody{err.Error()}})
		return
	}
	from := r.RemoteAddr
	n.serve(w, r, func(reply chan<- answer) {
		n.setClasses(*c.Stamp, from, reply, func(t ticket.ClassTable) { t[lot] = class })
	})
}

func (n *Node) deleteClass(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	stamp, err := strconv.ParseUint(r.URL.Query().Get("stamp"), 10, 64)
	if err != nil {
		writeAnswer(w, answer{status: 400, body: errorBody{"need ?stamp=N with the stamp that /admin/classes shows"}})
		return
	}
	lot, from := p.ByName("lot"), r.RemoteAddr
	n.serve(w, r, func(reply chan<- answer) {
		if _, ok := n.tickets.storedClasses[lot]; !ok {
			reply <- answer{status: 404, body: errorBody{"operators set no class of that lot"}}
			return
		}
		n.setClasses(stamp, from, reply, func(t ticket.ClassTable) { delete(t, lot) })
	})
}

// setClasses stores what operators set of the classes.
func (n *Node) setClasses(stamp uint64, from string, reply chan<- answer, change func(ticket.ClassTable)) {
	changed := ticket.ClassTable{}
	maps.Copy(changed, n.tickets.storedClasses)
	change(changed)
	conflict := answer{status: 409, body: errorBody{"changed meanwhile: read the classes again"}}
	value := mustJSON(changed)
	switch most := int(n.cfg.Params.State.ValueKB * 1024); {
	case !n.loaded:
		reply <- busyAnswer
		return
	case stamp != n.revisionOf(protocol.ClassesKey):
		reply <- conflict
		return
	case len(changed) > ticket.MaxClasses || len(value) > most:
		reply <- answer{status: 400, body: errorBody{fmt.Sprintf("classes: %d in %d bytes, at most %d in %d are stored", len(changed), len(value), ticket.MaxClasses, most)}}
		return
	}
	op := &storage.Op{Conds: []storage.Cond{{Key: protocol.ClassesKey, Revision: stamp}}, Writes: []storage.Write{{Put: protocol.ClassesKey, Value: value}}}
	n.submitForUser(op, reply, func(r storage.Result) {
		switch {
		case r.OK:
			n.applyOwnWrite(op.Writes[0], r.Revision)
			n.log.Info("classes of tickets changed", "lots", n.tickets.storedClasses.Names(), "by", from)
			reply <- answer{status: 200, body: n.classesView()}
		case r.Err != nil:
			reply <- busyAnswer
		default:
			reply <- conflict
		}
	})
}
