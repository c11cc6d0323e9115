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

// AskPatience is how long a node waits for the holder of a share to answer.
const AskPatience = time.Second

// WhyCause is one cause with its words.
type WhyCause struct {
	decide.Cause
	Text string `json:"text"`
}

// Why explains one job.
type Why struct {
	Job      string     `json:"job"`
	Ticket   string     `json:"ticket,omitempty"`
	Team     string     `json:"team"`
	Class    string     `json:"class"`
	Waiting  int        `json:"waiting_tasks"`
	Starting int        `json:"starting_tasks"`
	Running  int        `json:"running_tasks"`
	SinceS   float64    `json:"since_s"`
	Causes   []WhyCause `json:"causes"`            // all that hold it; the one that binds first first
	Release  []string   `json:"release,omitempty"` // what would let it start
	Enough   bool       `json:"enough"`            // whether that alone is known to
	Holder   string     `json:"holder"`
	Unknown  string     `json:"unknown,omitempty"` // why it is not known
	StateAge float64    `json:"state_age_s"`       // since the state service last answered the holder
}

// WhyPage is many waiting jobs with the cause that binds each.
type WhyPage struct {
	Node    string         `json:"node"`
	Sums    map[string]int `json:"waiting_tasks_by_cause"` // all that wait, on the page or not
	Jobs    []WhyLine      `json:"jobs"`
	After   string         `json:"after,omitempty"`   // ask with it for more
	Unknown []string       `json:"unknown,omitempty"` // shares of which nothing is known, and why
}

// WhyLine is one job of a page.
type WhyLine struct {
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

func (n *Node) routeWhy(r *httprouter.Router) {
	r.GET("/admin/why", n.getWhyPage)
	r.GET("/admin/why/:id", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		id := p.ByName("id")
		if !protocol.ValidJobID(id) {
			write(w, answer{status: 404, body: errorBody{"no such job"}})
			return
		}
		n.serve(w, r, n.listing(func(reply chan<- answer) { n.onWhy(id, time.Now(), reply) }))
	})
}

// onWhy explains a job, or has its holder do so.
func (n *Node) onWhy(id string, now time.Time, reply chan<- answer) {
	j := n.jobs[id]
	switch {
	case !n.loaded:
		reply <- busy
	case j == nil && n.tickets.byID[id] != nil:
		reply <- answer{status: 404, body: errorBody{"a ticket: ask for its steps' jobs, which /tickets/" + id + " names"}}
	case j == nil:
		// What this node has not heard of may be new: only the store can say that there
		// is none. (Found by the lab: a node told of no such job in an outage.)
		n.readJob(id, func(known bool, _ protocol.JobStatus, err error) {
			_, over := n.finals.byID[id]
			switch {
			case err != nil:
				reply <- answer{status: 503, retryS: 1, body: errorBody{fmt.Sprintf("not known here, and the state service last answered %.1f s ago", n.sinceContact(time.Now()).Seconds())}}
			case known && over:
				reply <- answer{status: 404, body: errorBody{"it is over"}}
			case known && n.jobs[id] != nil:
				n.onWhy(id, time.Now(), reply)
			case known:
				reply <- busy
			default:
				reply <- answer{status: 404, body: errorBody{"no such job"}}
			}
		})
	case n.mine(n.shares[j.share]):
		reply <- answer{status: 200, body: n.why(j, now)}
	default:
		n.askHolder(n.shares[j.share], protocol.Ask{Job: id}, func(t protocol.Told, unknown string) {
			if unknown != "" {
				w := n.whyBase(j, time.Now())
				w.Unknown = unknown
				w.Causes = []WhyCause{unknownCause(n.shares[j.share])}
				reply <- answer{status: 200, body: w}
				return
			}
			reply <- answer{status: t.Status, body: json.RawMessage(t.Body)}
		})
	}
}

func unknownCause(s *share) WhyCause {
	k := decide.HolderSilent
	if s.holder.Token == 0 {
		k = decide.NoHolder
	}
	return WhyCause{decide.Cause{Kind: k}, k.Text()}
}

// askHolder asks the holder of a share; then is told its answer, or why there is none.
func (n *Node) askHolder(s *share, q protocol.Ask, then func(t protocol.Told, unknown string)) {
	holder := s.holder.Node
	switch {
	case s.holder.Token == 0:
		then(protocol.Told{}, "its share has no holder")
		return
	case holder == n.cfg.Node || n.AskPeer == nil || n.siblings[holder] == nil:
		then(protocol.Told{}, "unknown: its share is held by "+holder+", which can't be asked")
		return
	}
	asked := time.Now()
	n.spawn(func(ctx context.Context) {
		data, err := n.AskPeer(ctx, holder, q.Encode())
		var t protocol.Told
		if err == nil {
			t, err = protocol.DecodeTold(data)
		}
		n.post(func() {
			unknown := ""
			if err != nil {
				unknown = fmt.Sprintf("unknown: %s, which holds its share, did not answer for %.1f s", holder, time.Since(asked).Seconds())
				if sib := n.siblings[holder]; !sib.heard.IsZero() {
					unknown += fmt.Sprintf("; last heard %.1f s ago", time.Since(sib.heard).Seconds())
				}
			}
			then(t, unknown)
		})
	})
}

// othersShares is the shares that other controllers hold, by holder, and those without
// one.
func (n *Node) othersShares() (held map[string][]*share, vacant []*share) {
	held = map[string][]*share{}
	for _, s := range n.shares {
		switch {
		case n.mine(s):
		case s.holder.Token == 0:
			vacant = append(vacant, s)
		default:
			held[s.holder.Node] = append(held[s.holder.Node], s)
		}
	}
	return held, vacant
}

// askHolders asks each holder the same, hands over each one's part or why it is unknown,
// and calls done after the last; at once where there is none.
func askHolders[T any](n *Node, held map[string][]*share, q protocol.Ask, add func(holder string, part T, unknown string), done func()) {
	open := len(held)
	if open == 0 {
		done()
		return
	}
	for _, holder := range slices.Sorted(maps.Keys(held)) {
		n.askHolder(held[holder][0], q, func(t protocol.Told, unknown string) {
			var part T
			if unknown == "" && (t.Status != http.StatusOK || json.Unmarshal(t.Body, &part) != nil) {
				unknown = answeredBadly(holder, t.Status)
			}
			add(holder, part, unknown)
			if open--; open == 0 {
				done()
			}
		})
	}
}

func answeredBadly(holder string, status int) string {
	return fmt.Sprintf("unknown: %s answered %d", holder, status)
}

// Answer answers another controller's question. Any routine may call it.
func (n *Node) Answer(data []byte) ([]byte, bool) {
	if !protocol.IsAsk(data) {
		return nil, false
	}
	out := make(chan protocol.Told, 1)
	q, err := protocol.DecodeAsk(data)
	if err != nil {
		return protocol.Told{Node: n.cfg.Node, Status: 400, Body: []byte("{}")}.Encode(), true
	}
	n.post(func() { out <- n.answerAsk(q, time.Now()) })
	select {
	case t := <-out:
		return t.Encode(), true
	case <-time.After(AskPatience):
	case <-n.ctx.Done():
	}
	return protocol.Told{Node: n.cfg.Node, Status: 503, Body: []byte("{}")}.Encode(), true
}

func (n *Node) answerAsk(q protocol.Ask, now time.Time) protocol.Told {
	t := protocol.Told{Node: n.cfg.Node, Status: 200}
	if q.Kind == protocol.AskAccount {
		query := queryOf(q)
		for t.Body = mustJSON(n.accountPart(&query, now)); len(t.Body) > protocol.MaxAnswer && query.Most > 1; {
			query.Most /= 2 // long names: fewer rows, and the cursor says so
			t.Body = mustJSON(n.accountPart(&query, now))
		}
	} else if q.Kind == protocol.AskSamples {
		t.Body = mustJSON(n.account.samples)
	} else if q.Job == "" {
		t.Body = mustJSON(n.whyPage(q, now))
	} else if j := n.jobs[q.Job]; j == nil {
		t.Status, t.Body = 404, mustJSON(errorBody{"no such job, or it is over"})
	} else if !n.mine(n.shares[j.share]) {
		t.Status, t.Body = 503, mustJSON(errorBody{"its share has just gone to another node"})
	} else {
		t.Body = mustJSON(n.why(j, now))
	}
	if len(t.Body) > protocol.MaxAnswer {
		t.Status, t.Body = 503, mustJSON(errorBody{"the answer is too long: ask for less"})
	}
	return t
}

func (n *Node) whyBase(j *job, now time.Time) *Why {
	w := &Why{Job: j.id, Team: j.spec.Team, Class: j.spec.Class, Waiting: j.nWaiting(), Holder: n.shares[j.share].holder.Node, Causes: []WhyCause{},
		StateAge: round(min(n.sinceContact(now), now.Sub(n.started)).Seconds())}
	if j.step != nil {
		w.Ticket = j.step.Ticket
	}
	since := now
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.phase == done || t.phase == spent:
			continue
		case t.phase == placed && t.seen >= seenRunning:
			w.Running++
			continue
		case t.phase != waiting:
			w.Starting++
		}
		if t.since.Before(since) {
			since = t.since
		}
	}
	w.SinceS = round(now.Sub(since).Seconds())
	return w
}

// why explains a job of a share held by this node.
func (n *Node) why(j *job, now time.Time) *Why {
	w := n.whyBase(j, now)
	s := n.shares[j.share]
	a := n.around(s, j, now)
	v := n.view(s, now)
	f := n.boundFacts(j, now)
	add := func(c decide.Cause) { w.Causes = append(w.Causes, WhyCause{c, c.String()}) }
	for _, c := range v.Explain(f, a) {
		add(c)
	}
	if len(w.Causes) == 0 && w.Waiting > 0 {
		// A decision would start it at this moment: the next look does.
		add(decide.Cause{Kind: decide.Starting, Count: w.Waiting})
	}
	if len(w.Causes) > 0 && w.Waiting > 0 {
		changes, ok := v.Release(f, a)
		for _, c := range changes {
			w.Release = append(w.Release, c.String())
		}
		w.Enough = ok
	}
	starting := n.startingCauses(j, now)
	for _, k := range slices.Sorted(maps.Keys(starting)) {
		c := starting[k]
		c.Kind = k
		add(c)
	}
	return w
}

// startingCauses are what tasks wait for that have a machine.
func (n *Node) startingCauses(j *job, now time.Time) map[decide.Kind]decide.Cause {
	out := map[decide.Kind]decide.Cause{}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != placed && t.phase != proposed || t.seen >= seenRunning && t.phase == placed {
			continue
		}
		k := decide.Starting
		switch {
		case t.machine.known && !t.machine.heard.IsZero() && n.silent(t.machine, now):
			k = decide.Unreachable
		case t.seen == seenFetching:
			k = decide.Fetching
		case t.seen == seenWaiting:
			k = decide.GangGathering
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

// around is what holds a job beside its share's machines and its team.
func (n *Node) around(s *share, j *job, now time.Time) *decide.Around {
	a := &decide.Around{StateAge: min(n.sinceContact(now), now.Sub(n.started)), NoRents: n.policy.NoRents, Claimed: n.anyClaimed(now), Market: &decide.Market{Refused: n.cloudside.refusedTill}}
	for _, o := range s.jobs {
		if o == j {
			break
		}
		if n.wants(o, now) > 0 {
			a.Ahead = append(a.Ahead, &o.facts)
		}
	}
	return a
}

// binding is the cause that binds a waiting job, as the last look found it.
func (n *Node) binding(j *job, now time.Time) decide.Kind {
	switch {
	case n.sinceContact(now) > stateLost:
		return decide.StateLost
	case j.cancelled:
		return decide.Stopping
	case j.abandon:
		return decide.GangLeaving
	case j.trouble.mistake:
		return decide.FailsEverywhere
	case j.waits == decide.None:
		return decide.Starting
	}
	return j.waits
}

// whyPage lists waiting jobs of the shares held, by id, and adds up all of them.
func (n *Node) whyPage(q protocol.Ask, now time.Time) *WhyPage {
	p := &WhyPage{Node: n.cfg.Node, Sums: map[string]int{}, Jobs: []WhyLine{}}
	var all []WhyLine
	for _, s := range n.shares {
		if !n.mine(s) {
			continue
		}
		for _, j := range s.jobs {
			if j.nWaiting() == 0 || j.cancelled {
				continue
			}
			k := n.binding(j, now)
			p.Sums[k.String()] += j.nWaiting()
			since := now.Sub(j.submitted).Seconds()
			if q.Team != "" && q.Team != j.spec.Team || q.Cause != "" && q.Cause != k.String() || since < q.SinceS || j.id <= q.After {
				continue
			}
			all = append(all, WhyLine{Job: j.id, Team: j.spec.Team, Class: j.spec.Class, Waiting: j.nWaiting(), SinceS: round(since), Cause: k.String(), Text: k.Text()})
		}
	}
	slices.SortFunc(all, func(a, b WhyLine) int { return compareNames(a.Job, b.Job) })
	p.Jobs = append(p.Jobs, all[:min(len(all), q.Most)]...)
	if len(all) > q.Most {
		p.After = p.Jobs[q.Most-1].Job
	}
	return p
}

// getWhyPage adds up what all holders tell.
func (n *Node) getWhyPage(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	ask := protocol.Ask{Team: q.Get("team"), Cause: q.Get("cause"), After: q.Get("after"), Most: 50}
	if v := q.Get("limit"); v != "" {
		most, err := strconv.Atoi(v)
		if err != nil || most < 1 || most > mostLines {
			write(w, answer{status: 400, body: errorBody{fmt.Sprintf("limit: must be 1 to %d", mostLines)}})
			return
		}
		ask.Most = most
	}
	if v := q.Get("since"); v != "" {
		s, err := strconv.ParseFloat(v, 64)
		if err != nil || !(s >= 0 && s <= 1e9) {
			write(w, answer{status: 400, body: errorBody{"since: must be seconds, 0 to 1000000000"}})
			return
		}
		ask.SinceS = s
	}
	if ask.Cause != "" && !slices.Contains(decide.Kinds(), ask.Cause) {
		write(w, answer{status: 400, body: errorBody{fmt.Sprintf("cause: must be one of %v", decide.Kinds())}})
		return
	}
	n.serve(w, r, n.listing(func(reply chan<- answer) { n.onWhyPage(ask, time.Now(), reply) }))
}

func (n *Node) onWhyPage(ask protocol.Ask, now time.Time, reply chan<- answer) {
	if !n.loaded {
		reply <- busy
		return
	}
	sum := n.whyPage(ask, now)
	held, vacant := n.othersShares()
	for _, s := range vacant {
		sum.Unknown = append(sum.Unknown, fmt.Sprintf("share %d has no holder", s.index))
	}
	askHolders(n, held, ask, func(_ string, part WhyPage, unknown string) {
		if unknown != "" {
			sum.Unknown = append(sum.Unknown, unknown)
			return
		}
		for k, c := range part.Sums {
			sum.Sums[k] += c
		}
		sum.Jobs = append(sum.Jobs, part.Jobs...)
		if part.After != "" && (sum.After == "" || part.After < sum.After) {
			sum.After = part.After
		}
	}, func() {
		slices.SortFunc(sum.Jobs, func(a, b WhyLine) int { return compareNames(a.Job, b.Job) })
		if len(sum.Jobs) > ask.Most {
			sum.Jobs = sum.Jobs[:ask.Most]
			sum.After = sum.Jobs[ask.Most-1].Job
		}
		reply <- answer{status: 200, body: sum}
	})
}

// countWaiting keeps the metric of waiting tasks by cause.
func (n *Node) countWaiting(now time.Time) {
	sums := map[decide.Kind]int{}
	for _, s := range n.shares {
		if n.mine(s) {
			for _, j := range s.jobs {
				if !j.cancelled && j.nWaiting() > 0 {
					sums[n.binding(j, now)] += j.nWaiting()
				}
			}
		}
	}
	n.metrics.waiting.Reset()
	for k, c := range sums {
		n.metrics.waiting.WithLabelValues(k.String()).Set(float64(c))
	}
}
