package node

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/protocol"
)

// Explains why jobs wait; any node can be asked. The owner of a job's partition explains it from a
// single consistent view of its memory. Another node asks the owner, for at most AskTimeout, and
// answers "unknown" rather than guess. The code in this file only reads the actor's state, and
// costs nothing unless somebody asks.

// AskTimeout is how long a node waits for the owner of a partition to answer.
const AskTimeout = time.Second

// ExplainedCause is a cause with its description.
type ExplainedCause struct {
	decide.Cause
	Text string `json:"text"`
}

// Explanation explains why a job waits.
type Explanation struct {
	Job        string           `json:"job"`
	Ticket     string           `json:"ticket,omitempty"`
	Team       string           `json:"team"`
	Class      string           `json:"class"`
	Waiting    int              `json:"waiting_tasks"`
	Starting   int              `json:"starting_tasks"`
	Running    int              `json:"running_tasks"`
	SinceS     float64          `json:"since_s"`
	Causes     []ExplainedCause `json:"causes"`            // everything that blocks the job; the binding cause first
	Release    []string         `json:"release,omitempty"` // changes that would let it start
	Sufficient bool             `json:"enough"`            // whether those changes are known to suffice
	Room       *BesideRoom      `json:"room,omitempty"`    // a machine that has room for it, and what keeps it off
	Owner      string           `json:"holder"`
	Unknown    string           `json:"unknown,omitempty"` // why the causes are not known
	StateAge   float64          `json:"state_age_s"`       // time since the state service last answered the owner
}

// ExplanationPage lists waiting jobs with the binding cause of each.
type ExplanationPage struct {
	Node         string            `json:"node"`
	TasksByCause map[string]int    `json:"waiting_tasks_by_cause"` // of all waiting jobs, also those not on this page
	Jobs         []ExplanationLine `json:"jobs"`
	After        string            `json:"after,omitempty"`   // cursor of the next page
	Unknown      []string          `json:"unknown,omitempty"` // partitions of which nothing is known, and why
}

// ExplanationLine is one job of a page.
type ExplanationLine struct {
	Job     string  `json:"job"`
	Team    string  `json:"team"`
	Class   string  `json:"class"`
	Waiting int     `json:"waiting_tasks"`
	SinceS  float64 `json:"since_s"`
	Cause   string  `json:"cause"`
	Text    string  `json:"text"`
}

// maxPageLines limits the number of jobs on a page.
const maxPageLines = 200

func (n *Node) routeExplanations(r *httprouter.Router) {
	r.GET("/admin/why", n.getExplanationPage)
	r.GET("/admin/why/:id", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		id := p.ByName("id")
		if !protocol.ValidJobID(id) {
			writeAnswer(w, answer{status: 404, body: errorBody{"no such job"}})
			return
		}
		n.serve(w, r, n.withLoadShedding(func(reply chan<- answer) { n.onExplain(id, time.Now(), reply) }))
	})
}

// onExplain explains a job, or forwards the question to the owner of its partition.
func (n *Node) onExplain(id string, now time.Time, reply chan<- answer) {
	j := n.jobs[id]
	switch {
	case !n.loaded:
		reply <- busyAnswer
	case j == nil && n.tickets.byID[id] != nil:
		reply <- answer{status: 404, body: errorBody{"a ticket: ask for its steps' jobs, which /tickets/" + id + " names"}}
	case j == nil:
		// A job that this node does not know may be new: only the state service can show that it
		// does not exist. Without this read a node answered "no such job" during an outage of the
		// state service for a job that had been accepted.
		n.readJobStatus(id, func(known bool, _ protocol.JobStatus, err error) {
			_, over := n.finalJobs.byID[id]
			switch {
			case err != nil:
				reply <- answer{status: 503, retryAfterS: 1, body: errorBody{fmt.Sprintf("not known here, and the state service last answered %.1f s ago", n.sinceContact(time.Now()).Seconds())}}
			case known && over:
				reply <- answer{status: 404, body: errorBody{"it is over"}}
			case known && n.jobs[id] != nil:
				n.onExplain(id, time.Now(), reply)
			case known:
				reply <- busyAnswer
			default:
				reply <- answer{status: 404, body: errorBody{"no such job"}}
			}
		})
	case n.owns(n.partitions[j.partition]):
		reply <- answer{status: 200, body: n.explain(j, now)}
	default:
		n.askOwner(n.partitions[j.partition], protocol.PeerQuery{Job: id}, func(t protocol.PeerAnswer, unknown string) {
			if unknown != "" {
				explanation := n.baseExplanation(j, time.Now())
				explanation.Unknown = unknown
				explanation.Causes = []ExplainedCause{unknownCause(n.partitions[j.partition])}
				reply <- answer{status: 200, body: explanation}
				return
			}
			reply <- answer{status: t.Status, body: json.RawMessage(t.Body)}
		})
	}
}

// unknownCause is the cause given if the owner of a partition does not answer.
func unknownCause(p *partition) ExplainedCause {
	kind := decide.OwnerUnresponsive
	if p.owner.Token == 0 {
		kind = decide.NoOwner
	}
	return ExplainedCause{decide.Cause{Reason: kind}, kind.Text()}
}

// askOwner asks the owner of a partition and passes its answer, or the reason why there is
// none, to callback.
func (n *Node) askOwner(p *partition, question protocol.PeerQuery, callback func(reply protocol.PeerAnswer, unknown string)) {
	owner := p.owner.Node
	switch {
	case p.owner.Token == 0:
		callback(protocol.PeerAnswer{}, "its share has no holder")
		return
	case owner == n.cfg.Node || n.AskPeer == nil || n.peers[owner] == nil:
		callback(protocol.PeerAnswer{}, "unknown: its share is held by "+owner+", which can't be asked")
		return
	}
	asked := time.Now()
	n.spawn(func(ctx context.Context) {
		data, err := n.AskPeer(ctx, owner, question.Encode())
		var reply protocol.PeerAnswer
		if err == nil {
			reply, err = protocol.DecodePeerAnswer(data)
		}
		n.post(func() {
			unknown := ""
			if err != nil {
				unknown = fmt.Sprintf("unknown: %s, which holds its share, did not answer for %.1f s", owner, time.Since(asked).Seconds())
				if other := n.peers[owner]; !other.lastHint.IsZero() {
					unknown += fmt.Sprintf("; last heard %.1f s ago", time.Since(other.lastHint).Seconds())
				}
			}
			callback(reply, unknown)
		})
	})
}

// peerPartitions returns the partitions that other controllers own, by owner, and those without an
// owner.
func (n *Node) peerPartitions() (byOwner map[string][]*partition, vacant []*partition) {
	byOwner = map[string][]*partition{}
	for _, p := range n.partitions {
		switch {
		case n.owns(p):
		case p.owner.Token == 0:
			vacant = append(vacant, p)
		default:
			byOwner[p.owner.Node] = append(byOwner[p.owner.Node], p)
		}
	}
	return byOwner, vacant
}

// askOwners asks each owner the same question, passes each part, or the reason why it is unknown,
// to add, and calls done after the last one; immediately if there are no owners.
func askOwners[T any](n *Node, byOwner map[string][]*partition, question protocol.PeerQuery, add func(owner string, part T, unknown string), done func()) {
	pending := len(byOwner)
	if pending == 0 {
		done()
		return
	}
	for _, owner := range slices.Sorted(maps.Keys(byOwner)) {
		n.askOwner(byOwner[owner][0], question, func(reply protocol.PeerAnswer, unknown string) {
			var part T
			if unknown == "" && (reply.Status != http.StatusOK || json.Unmarshal(reply.Body, &part) != nil) {
				unknown = unexpectedAnswer(owner, reply.Status)
			}
			add(owner, part, unknown)
			if pending--; pending == 0 {
				done()
			}
		})
	}
}

func unexpectedAnswer(owner string, status int) string {
	return fmt.Sprintf("unknown: %s answered %d", owner, status)
}

// AnswerPeer answers a question of another controller. It may be called from any goroutine.
func (n *Node) AnswerPeer(data []byte) ([]byte, bool) {
	if !protocol.IsPeerQuery(data) {
		return nil, false
	}
	replies := make(chan protocol.PeerAnswer, 1)
	question, err := protocol.DecodePeerQuery(data)
	if err != nil {
		return protocol.PeerAnswer{Node: n.cfg.Node, Status: 400, Body: []byte("{}")}.Encode(), true
	}
	n.post(func() { replies <- n.answerQuestion(question, time.Now()) })
	select {
	case reply := <-replies:
		return reply.Encode(), true
	case <-time.After(AskTimeout):
	case <-n.ctx.Done():
	}
	return protocol.PeerAnswer{Node: n.cfg.Node, Status: 503, Body: []byte("{}")}.Encode(), true
}

// answerQuestion answers a peer's question about the partitions that this node owns.
func (n *Node) answerQuestion(question protocol.PeerQuery, now time.Time) protocol.PeerAnswer {
	reply := protocol.PeerAnswer{Node: n.cfg.Node, Status: 200}
	if question.Kind == protocol.QueryAccount {
		query := accountQuery(question)
		for reply.Body = mustJSON(n.accountOfOwned(&query, now)); len(reply.Body) > protocol.MaxAnswerBytes && query.Limit > 1; {
			query.Limit /= 2 // with long names fewer rows fit; the cursor accounts for that
			reply.Body = mustJSON(n.accountOfOwned(&query, now))
		}
	} else if question.Kind == protocol.QuerySamples {
		reply.Body = mustJSON(n.account.samples)
	} else if question.Job == "" {
		reply.Body = mustJSON(n.explanationPage(question, now))
	} else if j := n.jobs[question.Job]; j == nil {
		reply.Status, reply.Body = 404, mustJSON(errorBody{"no such job, or it is over"})
	} else if !n.owns(n.partitions[j.partition]) {
		reply.Status, reply.Body = 503, mustJSON(errorBody{"its share has just gone to another node"})
	} else {
		reply.Body = mustJSON(n.explain(j, now))
	}
	if len(reply.Body) > protocol.MaxAnswerBytes {
		reply.Status, reply.Body = 503, mustJSON(errorBody{"the answer is too long: ask for less"})
	}
	return reply
}

// baseExplanation returns the part of an explanation that any node knows: the stored state.
func (n *Node) baseExplanation(j *job, now time.Time) *Explanation {
	explanation := &Explanation{Job: j.id, Team: j.spec.Team, Class: j.spec.Class, Waiting: j.nWaiting(), Owner: n.partitions[j.partition].owner.Node, Causes: []ExplainedCause{},
		StateAge: roundToTenth(min(n.sinceContact(now), now.Sub(n.startedAt)).Seconds())}
	if j.step != nil {
		explanation.Ticket = j.step.Ticket
	}
	since := now
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.phase == phaseDone || t.phase == phaseExhausted:
			continue
		case t.phase == phasePlaced && n.shownState(j, t) >= reportedRunning:
			explanation.Running++
			continue
		case t.phase != phaseWaiting:
			explanation.Starting++
		}
		if t.phaseSince.Before(since) {
			since = t.phaseSince
		}
	}
	explanation.SinceS = roundToTenth(now.Sub(since).Seconds())
	return explanation
}

// explain explains a job of a partition that this node owns.
func (n *Node) explain(j *job, now time.Time) *Explanation {
	explanation := n.baseExplanation(j, now)
	p := n.partitions[j.partition]
	conditions := n.decisionContext(p, j, now)
	view := n.view(p, now)
	facts := n.jobFactsWithZones(j, now)
	add := func(cause decide.Cause) {
		explanation.Causes = append(explanation.Causes, ExplainedCause{cause, cause.String()})
	}
	for _, cause := range view.Explain(facts, conditions) {
		add(cause)
	}
	if len(explanation.Causes) == 0 && explanation.Waiting > 0 {
		// Nothing blocks it at this moment, so the next planning round starts it.
		add(decide.Cause{Reason: decide.Starting, Count: explanation.Waiting})
	}
	if len(explanation.Causes) > 0 && explanation.Waiting > 0 {
		changes, ok := view.ChangesToStart(facts, conditions)
		for _, cause := range changes {
			explanation.Release = append(explanation.Release, cause.String())
		}
		explanation.Sufficient = ok
	}
	if explanation.Waiting > 0 && j.waitedFor(now) >= lendAfter {
		explanation.Room = n.machineWithRoom(j, now)
	}
	starting := n.startingCauses(j, now)
	for _, kind := range slices.Sorted(maps.Keys(starting)) {
		cause := starting[kind]
		cause.Reason = kind
		add(cause)
	}
	return explanation
}

// startingCauses returns what the tasks that have a machine but do not run yet wait for.
func (n *Node) startingCauses(j *job, now time.Time) map[decide.Reason]decide.Cause {
	causes := map[decide.Reason]decide.Cause{}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != phasePlaced && t.phase != phaseProposed || n.shownState(j, t) >= reportedRunning && t.phase == phasePlaced {
			continue
		}
		kind := decide.Starting
		switch {
		case t.machine.recorded && !t.machine.lastFencedReport.IsZero() && n.silent(t.machine, now):
			kind = decide.Unreachable
		case t.reportedState == reportedFetching:
			kind = decide.Fetching
		case t.reportedState == reportedWaiting:
			kind = decide.WaitingForGang
		}
		cause := causes[kind]
		cause.Count++
		if len(cause.Machines) < 5 && !slices.Contains(cause.Machines, t.machine.name) {
			cause.Machines = append(cause.Machines, t.machine.name)
		}
		causes[kind] = cause
	}
	return causes
}

// decisionContext returns the circumstances that affect a job's start, besides the machines of its
// partition and its team's limits.
func (n *Node) decisionContext(p *partition, j *job, now time.Time) *decide.ExplainContext {
	conditions := &decide.ExplainContext{SinceStateAnswer: min(n.sinceContact(now), now.Sub(n.startedAt)), RentalsStopped: n.policy.StopRentals, GuaranteedWaiting: n.anyGuaranteedWorkWaits(now), Market: &decide.Market{RefusedUntil: n.cloudState.refusedUntil}}
	for _, other := range p.jobs {
		if other == j {
			break
		}
		if n.preemptionDemand(other, now) > 0 {
			conditions.JobsAhead = append(conditions.JobsAhead, &other.facts)
		}
	}
	return conditions
}

// bindingCause returns the binding cause of a waiting job, as the last planning round determined
// it.
func (n *Node) bindingCause(j *job, now time.Time) decide.Reason {
	switch {
	case n.sinceContact(now) > stateServiceTimeout:
		return decide.StateServiceDown
	case j.cancelled:
		return decide.Stopping
	case j.abortAttempt:
		return decide.GangLeaving
	case j.failures.failsEverywhere:
		return decide.FailsEverywhere
	case j.waitCause == decide.NoReason:
		return decide.Starting
	}
	return j.waitCause
}

// explanationPage lists the waiting jobs of the owned partitions by ID, with the sums over all of
// them.
func (n *Node) explanationPage(question protocol.PeerQuery, now time.Time) *ExplanationPage {
	page := &ExplanationPage{Node: n.cfg.Node, TasksByCause: map[string]int{}, Jobs: []ExplanationLine{}}
	var lines []ExplanationLine
	for _, p := range n.partitions {
		if !n.owns(p) {
			continue
		}
		for _, j := range p.jobs {
			if j.nWaiting() == 0 || j.cancelled {
				continue
			}
			kind := n.bindingCause(j, now)
			page.TasksByCause[kind.String()] += j.nWaiting()
			since := now.Sub(j.submitted).Seconds()
			if question.Team != "" && question.Team != j.spec.Team || question.Cause != "" && question.Cause != kind.String() || since < question.MinWaitS || j.id <= question.After {
				continue
			}
			lines = append(lines, ExplanationLine{Job: j.id, Team: j.spec.Team, Class: j.spec.Class, Waiting: j.nWaiting(), SinceS: roundToTenth(since), Cause: kind.String(), Text: kind.Text()})
		}
	}
	slices.SortFunc(lines, func(a, b ExplanationLine) int { return compareNames(a.Job, b.Job) })
	page.Jobs = append(page.Jobs, lines[:min(len(lines), question.Limit)]...)
	if len(lines) > question.Limit {
		page.After = page.Jobs[question.Limit-1].Job
	}
	return page
}

// getExplanationPage serves the waiting jobs of all owners.
func (n *Node) getExplanationPage(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	question := protocol.PeerQuery{Team: query.Get("team"), Cause: query.Get("cause"), After: query.Get("after"), Limit: 50}
	if value := query.Get("limit"); value != "" {
		limit, err := strconv.Atoi(value)
		if err != nil || limit < 1 || limit > maxPageLines {
			writeAnswer(w, answer{status: 400, body: errorBody{fmt.Sprintf("limit: must be 1 to %d", maxPageLines)}})
			return
		}
		question.Limit = limit
	}
	if value := query.Get("since"); value != "" {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || !(seconds >= 0 && seconds <= 1e9) {
			writeAnswer(w, answer{status: 400, body: errorBody{"since: must be seconds, 0 to 1000000000"}})
			return
		}
		question.MinWaitS = seconds
	}
	if question.Cause != "" && !slices.Contains(decide.ReasonNames(), question.Cause) {
		writeAnswer(w, answer{status: 400, body: errorBody{fmt.Sprintf("cause: must be one of %v", decide.ReasonNames())}})
		return
	}
	n.serve(w, r, n.withLoadShedding(func(reply chan<- answer) { n.onExplanationPage(question, time.Now(), reply) }))
}

// onExplanationPage collects the waiting jobs of all owners.
func (n *Node) onExplanationPage(question protocol.PeerQuery, now time.Time, reply chan<- answer) {
	if !n.loaded {
		reply <- busyAnswer
		return
	}
	total := n.explanationPage(question, now)
	byOwner, vacant := n.peerPartitions()
	for _, p := range vacant {
		total.Unknown = append(total.Unknown, fmt.Sprintf("share %d has no holder", p.index))
	}
	askOwners(n, byOwner, question, func(_ string, part ExplanationPage, unknown string) {
		if unknown != "" {
			total.Unknown = append(total.Unknown, unknown)
			return
		}
		for k, c := range part.TasksByCause {
			total.TasksByCause[k] += c
		}
		total.Jobs = append(total.Jobs, part.Jobs...)
		if part.After != "" && (total.After == "" || part.After < total.After) {
			total.After = part.After
		}
	}, func() {
		slices.SortFunc(total.Jobs, func(a, b ExplanationLine) int { return compareNames(a.Job, b.Job) })
		if len(total.Jobs) > question.Limit {
			total.Jobs = total.Jobs[:question.Limit]
			total.After = total.Jobs[question.Limit-1].Job
		}
		reply <- answer{status: 200, body: total}
	})
}

// updateWaitingMetric updates the metric of waiting tasks by cause.
func (n *Node) updateWaitingMetric(now time.Time) {
	sums := map[decide.Reason]int{}
	for _, p := range n.partitions {
		if n.owns(p) {
			for _, j := range p.jobs {
				if !j.cancelled && j.nWaiting() > 0 {
					sums[n.bindingCause(j, now)] += j.nWaiting()
				}
			}
		}
	}
	n.metrics.waiting.Reset()
	for kind, c := range sums {
		n.metrics.waiting.WithLabelValues(kind.String()).Set(float64(c))
	}
}
