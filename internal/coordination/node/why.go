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

// Why jobs wait, told by any node. The holder of a job's share explains it from its
// own memory at one moment; another node asks the holder, for as long as AskPatience,
// and says "unknown" rather than guess. Nothing here changes anything, and it costs
// nothing when nobody asks. This file reads the actor's state and writes none.

// AskTimeout is how long a node waits for the holder of a share to answer.
const AskTimeout = time.Second

// ExplainedCause is one cause with its words.
type ExplainedCause struct {
	decide.Cause
	Text string `json:"text"`
}

// Explanation explains one job.
type Explanation struct {
	Job        string           `json:"job"`
	Ticket     string           `json:"ticket,omitempty"`
	Team       string           `json:"team"`
	Class      string           `json:"class"`
	Waiting    int              `json:"waiting_tasks"`
	Starting   int              `json:"starting_tasks"`
	Running    int              `json:"running_tasks"`
	SinceS     float64          `json:"since_s"`
	Causes     []ExplainedCause `json:"causes"`            // all that hold it; the one that binds first first
	Release    []string         `json:"release,omitempty"` // what would let it start
	Sufficient bool             `json:"enough"`            // whether that alone is known to
	Owner      string           `json:"holder"`
	Unknown    string           `json:"unknown,omitempty"` // why it is not known
	StateAge   float64          `json:"state_age_s"`       // since the state service last answered the holder
}

// ExplanationPage is many waiting jobs with the cause that binds each.
type ExplanationPage struct {
	Node         string            `json:"node"`
	TasksByCause map[string]int    `json:"waiting_tasks_by_cause"` // all that wait, on the page or not
	Jobs         []ExplanationLine `json:"jobs"`
	After        string            `json:"after,omitempty"`   // ask with it for more
	Unknown      []string          `json:"unknown,omitempty"` // shares of which nothing is known, and why
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

// mostLines bounds a page.
const mostLines = 200

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

// onExplain explains a job, or has its holder do so.
func (n *Node) onExplain(id string, now time.Time, reply chan<- answer) {
	j := n.jobs[id]
	switch {
	case !n.loaded:
		reply <- busyAnswer
	case j == nil && n.tickets.byID[id] != nil:
		reply <- answer{status: 404, body: errorBody{"a ticket: ask for its steps' jobs, which /tickets/" + id + " names"}}
	case j == nil:
		// What this node has not heard of may be new: only the store can say that there
		// is none. (Found by the lab: a node told of no such job in an outage.)
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
				w := n.baseExplanation(j, time.Now())
				w.Unknown = unknown
				w.Causes = []ExplainedCause{unknownCause(n.partitions[j.partition])}
				reply <- answer{status: 200, body: w}
				return
			}
			reply <- answer{status: t.Status, body: json.RawMessage(t.Body)}
		})
	}
}

func unknownCause(s *partition) ExplainedCause {
	k := decide.OwnerUnresponsive
	if s.owner.Token == 0 {
		k = decide.NoOwner
	}
	return ExplainedCause{decide.Cause{Reason: k}, k.Text()}
}

// askOwner asks the holder of a share; then is told its answer, or why there is none.
func (n *Node) askOwner(s *partition, q protocol.PeerQuery, then func(t protocol.PeerAnswer, unknown string)) {
	holder := s.owner.Node
	switch {
	case s.owner.Token == 0:
		then(protocol.PeerAnswer{}, "its share has no holder")
		return
	case holder == n.cfg.Node || n.AskPeer == nil || n.peers[holder] == nil:
		then(protocol.PeerAnswer{}, "unknown: its share is held by "+holder+", which can't be asked")
		return
	}
	asked := time.Now()
	n.spawn(func(ctx context.Context) {
		data, err := n.AskPeer(ctx, holder, q.Encode())
		var t protocol.PeerAnswer
		if err == nil {
			t, err = protocol.DecodePeerAnswer(data)
		}
		n.post(func() {
			unknown := ""
			if err != nil {
				unknown = fmt.Sprintf("unknown: %s, which holds its share, did not answer for %.1f s", holder, time.Since(asked).Seconds())
				if sib := n.peers[holder]; !sib.lastHint.IsZero() {
					unknown += fmt.Sprintf("; last heard %.1f s ago", time.Since(sib.lastHint).Seconds())
				}
			}
			then(t, unknown)
		})
	})
}

// peerPartitions is the shares that other controllers hold, by holder, and those without
// one.
func (n *Node) peerPartitions() (held map[string][]*partition, vacant []*partition) {
	held = map[string][]*partition{}
	for _, s := range n.partitions {
		switch {
		case n.owns(s):
		case s.owner.Token == 0:
			vacant = append(vacant, s)
		default:
			held[s.owner.Node] = append(held[s.owner.Node], s)
		}
	}
	return held, vacant
}

// askOwners asks each holder the same, hands over each one's part or why it is unknown,
// and calls done after the last; at once where there is none.
func askOwners[T any](n *Node, held map[string][]*partition, q protocol.PeerQuery, add func(holder string, part T, unknown string), done func()) {
	open := len(held)
	if open == 0 {
		done()
		return
	}
	for _, holder := range slices.Sorted(maps.Keys(held)) {
		n.askOwner(held[holder][0], q, func(t protocol.PeerAnswer, unknown string) {
			var part T
			if unknown == "" && (t.Status != http.StatusOK || json.Unmarshal(t.Body, &part) != nil) {
				unknown = unexpectedAnswer(holder, t.Status)
			}
			add(holder, part, unknown)
			if open--; open == 0 {
				done()
			}
		})
	}
}

func unexpectedAnswer(holder string, status int) string {
	return fmt.Sprintf("unknown: %s answered %d", holder, status)
}

// AnswerPeer answers another controller's question. Any routine may call it.
func (n *Node) AnswerPeer(data []byte) ([]byte, bool) {
	if !protocol.IsPeerQuery(data) {
		return nil, false
	}
	out := make(chan protocol.PeerAnswer, 1)
	q, err := protocol.DecodePeerQuery(data)
	if err != nil {
		return protocol.PeerAnswer{Node: n.cfg.Node, Status: 400, Body: []byte("{}")}.Encode(), true
	}
	n.post(func() { out <- n.answerAsk(q, time.Now()) })
	select {
	case t := <-out:
		return t.Encode(), true
	case <-time.After(AskTimeout):
	case <-n.ctx.Done():
	}
	return protocol.PeerAnswer{Node: n.cfg.Node, Status: 503, Body: []byte("{}")}.Encode(), true
}

func (n *Node) answerAsk(q protocol.PeerQuery, now time.Time) protocol.PeerAnswer {
	t := protocol.PeerAnswer{Node: n.cfg.Node, Status: 200}
	if q.Kind == protocol.QueryAccount {
		query := accountQuery(q)
		for t.Body = mustJSON(n.accountOfOwned(&query, now)); len(t.Body) > protocol.MaxAnswerBytes && query.Limit > 1; {
			query.Limit /= 2 // long names: fewer rows, and the cursor says so
			t.Body = mustJSON(n.accountOfOwned(&query, now))
		}
	} else if q.Kind == protocol.QuerySamples {
		t.Body = mustJSON(n.account.samples)
	} else if q.Job == "" {
		t.Body = mustJSON(n.explanationPage(q, now))
	} else if j := n.jobs[q.Job]; j == nil {
		t.Status, t.Body = 404, mustJSON(errorBody{"no such job, or it is over"})
	} else if !n.owns(n.partitions[j.partition]) {
		t.Status, t.Body = 503, mustJSON(errorBody{"its share has just gone to another node"})
	} else {
		t.Body = mustJSON(n.explain(j, now))
	}
	if len(t.Body) > protocol.MaxAnswerBytes {
		t.Status, t.Body = 503, mustJSON(errorBody{"the answer is too long: ask for less"})
	}
	return t
}

func (n *Node) baseExplanation(j *job, now time.Time) *Explanation {
	w := &Explanation{Job: j.id, Team: j.spec.Team, Class: j.spec.Class, Waiting: j.nWaiting(), Owner: n.partitions[j.partition].owner.Node, Causes: []ExplainedCause{},
		StateAge: roundToTenth(min(n.sinceContact(now), now.Sub(n.startedAt)).Seconds())}
	if j.step != nil {
		w.Ticket = j.step.Ticket
	}
	since := now
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.phase == phaseDone || t.phase == phaseExhausted:
			continue
		case t.phase == phasePlaced && t.reportedState >= reportedRunning:
			w.Running++
			continue
		case t.phase != phaseWaiting:
			w.Starting++
		}
		if t.phaseSince.Before(since) {
			since = t.phaseSince
		}
	}
	w.SinceS = roundToTenth(now.Sub(since).Seconds())
	return w
}

// explain explains a job of a share held by this node.
func (n *Node) explain(j *job, now time.Time) *Explanation {
	w := n.baseExplanation(j, now)
	s := n.partitions[j.partition]
	a := n.decisionContext(s, j, now)
	v := n.view(s, now)
	f := n.jobFactsWithZones(j, now)
	add := func(c decide.Cause) { w.Causes = append(w.Causes, ExplainedCause{c, c.String()}) }
	for _, c := range v.Explain(f, a) {
		add(c)
	}
	if len(w.Causes) == 0 && w.Waiting > 0 {
		// A decision would start it at this moment: the next look does.
		add(decide.Cause{Reason: decide.Starting, Count: w.Waiting})
	}
	if len(w.Causes) > 0 && w.Waiting > 0 {
		changes, ok := v.ChangesToStart(f, a)
		for _, c := range changes {
			w.Release = append(w.Release, c.String())
		}
		w.Sufficient = ok
	}
	starting := n.startingCauses(j, now)
	for _, k := range slices.Sorted(maps.Keys(starting)) {
		c := starting[k]
		c.Reason = k
		add(c)
	}
	return w
}

// startingCauses are what tasks wait for that have a machine.
func (n *Node) startingCauses(j *job, now time.Time) map[decide.Reason]decide.Cause {
	out := map[decide.Reason]decide.Cause{}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != phasePlaced && t.phase != phaseProposed || t.reportedState >= reportedRunning && t.phase == phasePlaced {
			continue
		}
		k := decide.Starting
		switch {
		case t.machine.recorded && !t.machine.lastFencedReport.IsZero() && n.silent(t.machine, now):
			k = decide.Unreachable
		case t.reportedState == reportedFetching:
			k = decide.Fetching
		case t.reportedState == reportedWaiting:
			k = decide.WaitingForGang
		}
		c := out[k]
		c.Count++
		if len(c.Machines) < 5 && !slices.Contains(c.Machines, t.machine.name) {
			c.Machines = append(c.Machines, t.machine.name)
		}
		out[k] = c
	}
	return out
}

// decisionContext is what holds a job beside its share's machines and its team.
func (n *Node) decisionContext(s *partition, j *job, now time.Time) *decide.ExplainContext {
	a := &decide.ExplainContext{SinceStateAnswer: min(n.sinceContact(now), now.Sub(n.startedAt)), RentalsStopped: n.policy.StopRentals, GuaranteedWaiting: n.anyGuaranteedWorkWaits(now), Market: &decide.Market{RefusedUntil: n.cloudState.refusedUntil}}
	for _, o := range s.jobs {
		if o == j {
			break
		}
		if n.preemptionDemand(o, now) > 0 {
			a.JobsAhead = append(a.JobsAhead, &o.facts)
		}
	}
	return a
}

// bindingCause is the cause that binds a waiting job, as the last look found it.
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

// explanationPage lists waiting jobs of the shares held, by id, and adds up all of them.
func (n *Node) explanationPage(q protocol.PeerQuery, now time.Time) *ExplanationPage {
	p := &ExplanationPage{Node: n.cfg.Node, TasksByCause: map[string]int{}, Jobs: []ExplanationLine{}}
	var all []ExplanationLine
	for _, s := range n.partitions {
		if !n.owns(s) {
			continue
		}
		for _, j := range s.jobs {
			if j.nWaiting() == 0 || j.cancelled {
				continue
			}
			k := n.bindingCause(j, now)
			p.TasksByCause[k.String()] += j.nWaiting()
			since := now.Sub(j.submitted).Seconds()
			if q.Team != "" && q.Team != j.spec.Team || q.Cause != "" && q.Cause != k.String() || since < q.MinWaitS || j.id <= q.After {
				continue
			}
			all = append(all, ExplanationLine{Job: j.id, Team: j.spec.Team, Class: j.spec.Class, Waiting: j.nWaiting(), SinceS: roundToTenth(since), Cause: k.String(), Text: k.Text()})
		}
	}
	slices.SortFunc(all, func(a, b ExplanationLine) int { return compareNames(a.Job, b.Job) })
	p.Jobs = append(p.Jobs, all[:min(len(all), q.Limit)]...)
	if len(all) > q.Limit {
		p.After = p.Jobs[q.Limit-1].Job
	}
	return p
}

// getExplanationPage adds up what all holders tell.
func (n *Node) getExplanationPage(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	ask := protocol.PeerQuery{Team: q.Get("team"), Cause: q.Get("cause"), After: q.Get("after"), Limit: 50}
	if v := q.Get("limit"); v != "" {
		most, err := strconv.Atoi(v)
		if err != nil || most < 1 || most > mostLines {
			writeAnswer(w, answer{status: 400, body: errorBody{fmt.Sprintf("limit: must be 1 to %d", mostLines)}})
			return
		}
		ask.Limit = most
	}
	if v := q.Get("since"); v != "" {
		s, err := strconv.ParseFloat(v, 64)
		if err != nil || !(s >= 0 && s <= 1e9) {
			writeAnswer(w, answer{status: 400, body: errorBody{"since: must be seconds, 0 to 1000000000"}})
			return
		}
		ask.MinWaitS = s
	}
	if ask.Cause != "" && !slices.Contains(decide.ReasonNames(), ask.Cause) {
		writeAnswer(w, answer{status: 400, body: errorBody{fmt.Sprintf("cause: must be one of %v", decide.ReasonNames())}})
		return
	}
	n.serve(w, r, n.withLoadShedding(func(reply chan<- answer) { n.onExplanationPage(ask, time.Now(), reply) }))
}

func (n *Node) onExplanationPage(ask protocol.PeerQuery, now time.Time, reply chan<- answer) {
	if !n.loaded {
		reply <- busyAnswer
		return
	}
	sum := n.explanationPage(ask, now)
	held, vacant := n.peerPartitions()
	for _, s := range vacant {
		sum.Unknown = append(sum.Unknown, fmt.Sprintf("share %d has no holder", s.index))
	}
	askOwners(n, held, ask, func(_ string, part ExplanationPage, unknown string) {
		if unknown != "" {
			sum.Unknown = append(sum.Unknown, unknown)
			return
		}
		for k, c := range part.TasksByCause {
			sum.TasksByCause[k] += c
		}
		sum.Jobs = append(sum.Jobs, part.Jobs...)
		if part.After != "" && (sum.After == "" || part.After < sum.After) {
			sum.After = part.After
		}
	}, func() {
		slices.SortFunc(sum.Jobs, func(a, b ExplanationLine) int { return compareNames(a.Job, b.Job) })
		if len(sum.Jobs) > ask.Limit {
			sum.Jobs = sum.Jobs[:ask.Limit]
			sum.After = sum.Jobs[ask.Limit-1].Job
		}
		reply <- answer{status: 200, body: sum}
	})
}

// updateWaitingMetric keeps the metric of waiting tasks by cause.
func (n *Node) updateWaitingMetric(now time.Time) {
	sums := map[decide.Reason]int{}
	for _, s := range n.partitions {
		if n.owns(s) {
			for _, j := range s.jobs {
				if !j.cancelled && j.nWaiting() > 0 {
					sums[n.bindingCause(j, now)] += j.nWaiting()
				}
			}
		}
	}
	n.metrics.waiting.Reset()
	for k, c := range sums {
		n.metrics.waiting.WithLabelValues(k.String()).Set(float64(c))
	}
}
