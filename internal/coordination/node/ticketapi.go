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

// The HTTP interface for tickets. A ticket comes by POST /tickets or inside an ordinary job
// submission; the two differ only in how the body is parsed.

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
	n.handleTicketPost(w, r, data, format.ParseTicket)
}

// postEmbeddedTicket handles an ordinary submission that contains a ticket.
func (n *Node) postEmbeddedTicket(w http.ResponseWriter, r *http.Request, data []byte) {
	n.handleTicketPost(w, r, data, format.ParseEmbedded)
}

func (n *Node) handleTicketPost(w http.ResponseWriter, r *http.Request, data []byte, parse func([]byte) (*format.Submission, error)) {
	if n.tickets.fileClasses == nil { // set before the node runs and not changed afterwards
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
	admitted, err := ticket.Admit(s, classes, ticket.Limits{MaxValueBytes: int(n.cfg.Params.State.ValueKB*1024) - 256})
	received := time.Now()
	n.serve(w, r, func(reply chan<- answer) { n.onSubmitTicket(s.ID, admitted, err, time.Now(), reply) })
	observeSince(n.metrics.accept, received, time.Now())
}

// onSubmitTicket accepts or rejects a ticket. A repeated submission is answered by the stored
// ticket, even if its class would reject it now.
func (n *Node) onSubmitTicket(id string, admitted *ticket.Admitted, admitErr error, now time.Time, reply chan<- answer) {
	if !n.loaded {
		reply <- busyAnswer
		return
	}
	answerAsRepeat := func(ifNew func()) {
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
	reject := func(status int, why string) {
		answerAsRepeat(func() { reply <- answer{status: status, body: errorBody{why}} })
	}
	_, final := n.finalJobs.byID[id]
	switch j := n.jobs[id]; {
	case j != nil && j.step != nil:
		reply <- answer{status: 422, body: errorBody{"field id: it is that of a ticket's step"}}
		return
	case final || j != nil || n.tickets.byID[id] != nil:
		answerAsRepeat(func() { reply <- busyAnswer })
		return
	}
	var refusal *ticket.Refusal
	switch {
	case admitErr == nil && n.openTasks()+admitted.Record.Base.Tasks > n.maxOpenTasks():
		// A body of a few bytes may ask for 100,000 tasks. A ticket that would not fit this node's
		// memory is rejected, and can be submitted again when others have ended.
		n.metrics.guardRefusals.WithLabelValues("ticket_memory").Inc()
		answerAsRepeat(func() {
			reply <- answer{status: 503, retryAfterS: 30, body: errorBody{fmt.Sprintf("%d tasks are open, at most %d with this ticket's", n.openTasks(), n.maxOpenTasks())}}
		})
		return
	case errors.As(admitErr, &refusal) && !refusal.Malformed:
		reject(422, refusal.Why)
		return
	case admitErr != nil:
		reject(400, admitErr.Error())
		return
	}
	for i := range admitted.Record.Steps {
		switch why, decided := n.checkRunnable(ticket.StepSpec(admitted.Record, i)); {
		case !decided:
			answerAsRepeat(func() { reply <- busyAnswer })
			return
		case why != "":
			reject(422, fmt.Sprintf("step %s: %s", admitted.Record.Steps[i].Name, why))
			return
		}
	}
	n.unlessGatewayJob(id, reply, func() { n.acceptTicket(admitted, now, reply, answerAsRepeat) })
}

// bytesPerOpenTask is the memory that a node uses for an open task.
const bytesPerOpenTask = 125

// maxOpenTasks is how many tasks may be open, with those of a new ticket, for the ticket to be
// accepted: they use at most a fifth of the node's memory.
func (n *Node) maxOpenTasks() int {
	return int(n.cfg.Params.Quota.MemoryMB * 0.2 * (1 << 20) / bytesPerOpenTask)
}

func (n *Node) openTasks() int {
	count := 0
	for _, j := range n.jobs {
		count += len(j.tasks)
	}
	return count
}

// acceptTicket stores a ticket, its template and the jobs of its first steps in one transaction.
func (n *Node) acceptTicket(admitted *ticket.Admitted, now time.Time, reply chan<- answer, answerAsRepeat func(ifNew func())) {
	rec := admitted.Record
	t := &openTicket{submitted: now}
	for i := range rec.Steps {
		t.steps = append(t.steps, ticket.StepSpec(rec, i).ID)
	}
	op := &storage.Op{
		Conds: []storage.Cond{{Key: protocol.JobKey(admitted.ID)}, {Key: protocol.FinalKey(admitted.ID)}},
		Writes: []storage.Write{
			{Put: protocol.TicketKey(admitted.ID), Value: mustJSON(packedTicket{admitted.PackedTemplate})},
			{Put: protocol.JobKey(admitted.ID), Value: mustJSON(t.jobRecord(rec))}}}
	next := ticket.NextAction(rec, false, make([]ticket.StepState, len(rec.Steps)), n.tickets.maxOpenSteps)
	n.addOpenSteps(rec, t.steps, next.OpenSteps, now, op)
	n.submitForUser(op, reply, func(r storage.Result) {
		switch {
		case r.OK:
			for _, w := range op.Writes[1:] {
				n.applyOwnWrite(w, r.Revision)
			}
			n.log.Info("ticket accepted", "ticket", admitted.ID, "name", rec.Name, "class", rec.Base.Class, "team", rec.Base.Team, "tasks", rec.Base.Tasks, "steps", len(rec.Steps),
				"urgency", rec.Terms.Priority, "retries", rec.Terms.MaxRetries.Granted)
			s, _ := n.ticketStatus(admitted.ID, time.Now())
			reply <- answer{status: 201, body: s}
		case r.Err != nil:
			reply <- busyAnswer
		default:
			// The id, or that of a step, is in use. Reads the current records and treats this as a
			// repeated submission.
			n.resync(r.Failed, func([]storage.Item, error) { answerAsRepeat(func() { reply <- busyAnswer }) })
		}
	})
}

// packedTicket is the value stored under a ticket's TicketKey.
type packedTicket struct {
	Packed []byte `json:"z"`
}

// cancelTicket cancels a ticket and all its open steps in one transaction. Once that is stored
// none of its tasks can be started.
func (n *Node) cancelTicket(t *openTicket, triesLeft int, reply chan<- answer) {
	if t.rec.FailureReason != "" {
		reply <- answer{status: 200, body: protocol.JobStatus{ID: t.id, Status: protocol.JobFailed}}
		return
	}
	if t.cancelPending {
		n.awaitCancelled(t.id, n.openStepJobs(t), triesLeft, reply)
		return
	}
	head := protocol.JobKey(t.id)
	afterStop := n.confirmsCancelAfterStop()
	rec := t.jobRecord(t.rec)
	rec.Cancelled, rec.CancelRequested = !afterStop, afterStop
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
			if afterStop && n.tickets.byID[id] == t {
				n.awaitCancelled(id, n.openStepJobs(t), triesLeft, reply)
				return
			}
			reply <- answer{status: 200, body: protocol.JobStatus{ID: id, Status: protocol.JobCancelled}}
		case r.Err == nil && triesLeft > 0:
			n.resync(append(r.Failed, protocol.FinalKey(id)), func(_ []storage.Item, err error) {
				if err != nil {
					reply <- busyAnswer
					return
				}
				n.onCancel(id, triesLeft-1, reply)
			})
		default:
			reply <- busyAnswer
		}
	})
}

// ticketJobStatus returns a ticket's status in the form of a job's, for requests that ask for a job.
func (n *Node) ticketJobStatus(t *openTicket) protocol.JobStatus {
	status := protocol.JobStatus{ID: t.id, Status: protocol.JobQueued, Terms: &t.rec.Terms}
	for _, step := range t.rec.Steps {
		status.Done, status.Failed = status.Done+step.Done, status.Failed+step.Failed
	}
	for _, j := range n.openStepJobs(t) {
		status.Done, status.Failed, status.Running = status.Done+j.nDone, status.Failed+j.nExhausted, status.Running+j.nPlaced
	}
	switch {
	case t.rec.FailureReason != "":
		status.Status = protocol.JobFailed
	case t.cancelled && !t.cancelPending:
		status.Status = protocol.JobCancelled
	case status.Running > 0:
		status.Status = protocol.JobRunning
	}
	return status
}

// TicketStatus is the status of a ticket and its steps.
type TicketStatus struct {
	protocol.JobStatus
	Name  string       `json:"name"`
	Class string       `json:"lot"`
	Team  string       `json:"crew"`
	Tasks int          `json:"tasks"`
	Why   string       `json:"why,omitempty"` // the reason why the ticket failed
	Steps []StepStatus `json:"steps"`
}

// Step states in addition to those of a job.
const (
	StepBlocked = "blocked" // waits for the steps that it depends on
	StepNotRun  = "not_run" // the ticket ended before the step ran
)

// StepStatus is the status of one step of a ticket.
type StepStatus struct {
	Step         string   `json:"step"`
	Job          string   `json:"job"` // the job's id, under which its description is uploaded
	Status       string   `json:"status"`
	Tasks        int      `json:"tasks"`
	Done         int      `json:"done"`
	Running      int      `json:"running"`
	Failed       int      `json:"failed"`
	FailedRanges [][2]int `json:"failed_tasks,omitempty"` // the first ranges of failed task numbers
	After        []string `json:"after,omitempty"`        // the steps that must be done before this one
	Why          string   `json:"why,omitempty"`          // the reason why its tasks wait
}

// ticketStatus returns the status of a ticket; false if there is no ticket with that id.
func (n *Node) ticketStatus(id string, now time.Time) (*TicketStatus, bool) {
	var rec *protocol.TicketRecord
	status := &TicketStatus{}
	t := n.tickets.byID[id]
	over := false
	if f, ok := n.finalJobs.byID[id]; ok {
		if rec, over = f.Ticket, true; rec == nil {
			return nil, false
		}
		status.JobStatus = finalStatus(id, f)
	} else if t != nil {
		rec = t.rec
		status.JobStatus = n.ticketJobStatus(t)
		over = t.cancelled || rec.FailureReason != ""
	} else {
		return nil, false
	}
	status.Name, status.Class, status.Team, status.Tasks, status.Why = rec.Name, rec.Base.Class, rec.Base.Team, rec.Base.Tasks, rec.FailureReason
	for i, step := range rec.Steps {
		stepStatus := StepStatus{Step: step.Name, Job: ticket.StepSpec(rec, i).ID, Status: step.State, Tasks: step.Tasks, Done: step.Done, Failed: step.Failed, FailedRanges: step.FailedRanges}
		for _, d := range step.Deps {
			stepStatus.After = append(stepStatus.After, rec.Steps[d].Name)
		}
		j := n.jobs[stepStatus.Job]
		switch {
		case step.State != "":
		case t != nil && j != nil && j.step != nil:
			jobStatus := j.status()
			stepStatus.Status, stepStatus.Done, stepStatus.Running, stepStatus.Failed = jobStatus.Status, jobStatus.Done, jobStatus.Running, j.nExhausted
			if j.failed {
				stepStatus.Status = protocol.JobFailed
			}
			if stuckJob, stuck := n.stuckJob(j, now); stuck {
				stepStatus.Why = stuckJob.Why
			}
		case over:
			stepStatus.Status = StepNotRun
		default:
			stepStatus.Status = StepBlocked
		}
		status.Steps = append(status.Steps, stepStatus)
	}
	return status, true
}

// onTicketPoll answers a status request for a ticket, after the same read barrier as any other
// status request.
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

// TicketTask is the status of a task with its parameters.
type TicketTask struct {
	Task       int              `json:"task"`
	Status     string           `json:"status"` // waiting, placed, running, done, failed, or over
	Machine    string           `json:"machine,omitempty"`
	Errors     int              `json:"errors,omitempty"` // those that count against its retries
	Parameters []format.Binding `json:"parameters,omitempty"`
}

// TicketTasks is a page of a step's tasks.
type TicketTasks struct {
	Ticket string       `json:"ticket"`
	Step   string       `json:"step"`
	Tasks  []TicketTask `json:"tasks"`
	More   bool         `json:"more"`
}

// maxPageTasks bounds a page of tasks.
const maxPageTasks = 500

// getTicketTasks returns a page of a step's tasks: ?limit= tasks, starting with number ?since=.
// Their status comes from memory, their parameters from the stored template, with one read.
func (n *Node) getTicketTasks(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	query := r.URL.Query()
	intParam := func(name string, otherwise, least, most int) (int, error) {
		if query.Get(name) == "" {
			return otherwise, nil
		}
		v, err := strconv.Atoi(query.Get(name))
		if err != nil || v < least || v > most {
			err = fmt.Errorf("%s: must be %d to %d", name, least, most)
		}
		return v, err
	}
	from, err := intParam("since", 0, 0, protocol.MaxTasks)
	limit, limitErr := intParam("limit", 100, 1, maxPageTasks)
	if err = errors.Join(err, limitErr); err != nil {
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
		// After a restart the ticket may be known only once it has been read.
		n.readJobStatus(id, func(_ bool, _ protocol.JobStatus, err error) {
			if err != nil {
				page <- busyAnswer
				return
			}
			step = n.ticketTasks(id, query.Get("step"), from, limit, page)
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
	if tasks, ok := a.body.(*TicketTasks); ok {
		item, err := n.store.Get(r.Context(), protocol.TicketKey(id))
		var packed packedTicket
		if err == nil && item.Value != nil {
			err = json.Unmarshal(item.Value, &packed)
		}
		var plan *format.Plan
		if err == nil {
			_, plan, err = format.Unpack(packed.Packed)
		}
		if err != nil || step >= len(plan.Steps) {
			n.log.Info("cannot read the template of a ticket", "ticket", id, "why", err)
			writeAnswer(w, busyAnswer)
			return
		}
		for i := range tasks.Tasks {
			tasks.Tasks[i].Parameters = plan.Steps[step].Space.At(tasks.Tasks[i].Task)
		}
	}
	writeAnswer(w, a)
}

// ticketTasks answers with a page of tasks without their parameters and returns the step's index.
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
		tasks := &TicketTasks{Ticket: id, Step: st.Name, Tasks: []TicketTask{}, More: from+limit < st.Tasks}
		j := n.jobs[ticket.StepSpec(rec, i).ID]
		for k := from; k < min(st.Tasks, from+limit); k++ {
			tasks.Tasks = append(tasks.Tasks, ticketTaskOf(j, st, k))
		}
		reply <- answer{status: 200, body: tasks}
		return i
	}
	reply <- answer{status: 404, body: errorBody{"no such step"}}
	return -1
}

func ticketTaskOf(j *job, step protocol.TicketStep, number int) TicketTask {
	status := TicketTask{Task: number, Status: "waiting"}
	switch {
	case step.State == protocol.JobDone:
		status.Status = "done"
	case step.State != "":
		status.Status = "over"
		for _, r := range step.FailedRanges {
			if number >= r[0] && number <= r[1] {
				status.Status = "failed"
			}
		}
	case j != nil && j.step != nil && number < len(j.tasks):
		t := &j.tasks[number]
		status.Errors = t.countedErrors()
		switch {
		case t.phase == phaseExhausted:
			status.Status = "failed"
		case t.phase == phaseDone:
			status.Status = "done"
		case t.phase == phasePlaced:
			status.Status, status.Machine = "placed", t.machine.name
			if t.reportedState == reportedRunning {
				status.Status = "running"
			}
		}
	}
	return status
}

// ClassesView shows the ticket classes with the revision that a change must name.
type ClassesView struct {
	Stamp          uint64            `json:"stamp"`
	AcceptsTickets bool              `json:"taken"` // whether this node accepts tickets
	Classes        ticket.ClassTable `json:"classes"`
	Stored         []string          `json:"stored"` // the lots whose classes operators set
}

func (n *Node) classesView() ClassesView {
	return ClassesView{Stamp: n.revisionOf(protocol.ClassesKey), AcceptsTickets: n.tickets.fileClasses != nil, Classes: n.tickets.effectiveClasses(), Stored: n.tickets.storedClasses.Names()}
}

func (n *Node) putClass(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	data, err := readBody(r)
	var change SettingChange
	if err == nil {
		err = json.Unmarshal(data, &change)
	}
	if err != nil || change.Stamp == nil {
		writeAnswer(w, answer{status: 400, body: errorBody{`need {"value":{...},"stamp":N} with the stamp that /admin/classes shows`}})
		return
	}
	lot := p.ByName("lot")
	class, err := ticket.ParseClass(lot, change.Value)
	if err != nil {
		writeAnswer(w, answer{status: 400, body: errorBody{err.Error()}})
		return
	}
	remoteAddr := r.RemoteAddr
	n.serve(w, r, func(reply chan<- answer) {
		n.setClasses(*change.Stamp, remoteAddr, reply, func(t ticket.ClassTable) { t[lot] = class })
	})
}

func (n *Node) deleteClass(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	stamp, err := strconv.ParseUint(r.URL.Query().Get("stamp"), 10, 64)
	if err != nil {
		writeAnswer(w, answer{status: 400, body: errorBody{"need ?stamp=N with the stamp that /admin/classes shows"}})
		return
	}
	lot, remoteAddr := p.ByName("lot"), r.RemoteAddr
	n.serve(w, r, func(reply chan<- answer) {
		if _, ok := n.tickets.storedClasses[lot]; !ok {
			reply <- answer{status: 404, body: errorBody{"operators set no class of that lot"}}
			return
		}
		n.setClasses(stamp, remoteAddr, reply, func(t ticket.ClassTable) { delete(t, lot) })
	})
}

// setClasses stores a change of the operators' ticket classes.
func (n *Node) setClasses(stamp uint64, remoteAddr string, reply chan<- answer, change func(ticket.ClassTable)) {
	changed := ticket.ClassTable{}
	maps.Copy(changed, n.tickets.storedClasses)
	change(changed)
	conflict := answer{status: 409, body: errorBody{"changed meanwhile: read the classes again"}}
	value := mustJSON(changed)
	switch maxBytes := int(n.cfg.Params.State.ValueKB * 1024); {
	case !n.loaded:
		reply <- busyAnswer
		return
	case stamp != n.revisionOf(protocol.ClassesKey):
		reply <- conflict
		return
	case len(changed) > ticket.MaxClasses || len(value) > maxBytes:
		reply <- answer{status: 400, body: errorBody{fmt.Sprintf("classes: %d in %d bytes, at most %d in %d are stored", len(changed), len(value), ticket.MaxClasses, maxBytes)}}
		return
	}
	op := &storage.Op{Conds: []storage.Cond{{Key: protocol.ClassesKey, Revision: stamp}}, Writes: []storage.Write{{Put: protocol.ClassesKey, Value: value}}}
	n.submitForUser(op, reply, func(r storage.Result) {
		switch {
		case r.OK:
			n.applyOwnWrite(op.Writes[0], r.Revision)
			n.log.Info("ticket classes changed", "lots", n.tickets.storedClasses.Names(), "by", remoteAddr)
			reply <- answer{status: 200, body: n.classesView()}
		case r.Err != nil:
			reply <- busyAnswer
		default:
			reply <- conflict
		}
	})
}
