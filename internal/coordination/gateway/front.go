package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// The users' side: submissions, polls and cancellations. Whatever can't be
// decided now is answered at once with 503 and a time to come back.

// RequestKind is what a user wants.
type RequestKind uint8

// Requests of users.
const (
	Submit RequestKind = iota
	Poll
	Cancel
)

// Request is one of a user's. Token is given back with the answer.
type Request struct {
	Token uint64
	Kind  RequestKind
	ID    string
	Spec  *protocol.JobSpec // of a submission, checked
	Body  []byte            // the submission as it is stored
	NowMS uint64
}

// Answer is what a user is told.
type Answer struct {
	Token  uint64
	Code   int
	RetryS int
	State  protocol.JobStatus
	Why    string // of an error
}

type progress struct{ done, running uint32 }

// Do takes a user's request. The answer comes with the effects of this or a later
// step, within userPatience.
func (c *Core) Do(now time.Duration, q Request) Effects {
	return c.step(now, func() { c.do(&q) })
}

func (c *Core) answer(q *Request, code int, rec *wire.Record) {
	c.out.Answers = append(c.out.Answers, Answer{Token: q.Token, Code: code, State: c.state(q.ID, rec)})
}

// refuse answers with an error that trying again would not change.
func (c *Core) refuse(q *Request, code int, why string) {
	c.out.Answers = append(c.out.Answers, Answer{Token: q.Token, Code: code, Why: why})
}

// noMajority is what a user is told whose request too few members have answered.
const noMajority = "no majority answered in time"

func (c *Core) turnAway(q *Request, retryS int, why string) {
	c.counts.Refused++
	c.out.Answers = append(c.out.Answers, Answer{Token: q.Token, Code: http.StatusServiceUnavailable, RetryS: retryS, Why: why})
}

// state is a record as users see it.
func (c *Core) state(id string, rec *wire.Record) protocol.JobStatus {
	s := protocol.JobStatus{ID: id, Status: protocol.JobQueued}
	switch rec.Final {
	case wire.Done:
		s.Status, s.Done = protocol.JobDone, int(rec.Tasks)
	case wire.Cancelled:
		s.Status = protocol.JobCancelled
	default:
		if p := c.progress[id]; p.running+p.done > 0 {
			s.Done, s.Running = int(p.done), int(p.running)
			if p.running > 0 {
				s.Status = protocol.JobRunning
			}
		}
	}
	return s
}

func (c *Core) do(q *Request) {
	if r := c.regs[q.ID]; r != nil && r.exists && r.committed && r.rec.Final != wire.Open {
		// What is final never changes.
		c.answer(q, http.StatusOK, &r.rec)
		return
	}
	if c.reachable() < c.majority() {
		c.turnAway(q, 5, "too few members of the gateway can be reached")
		return
	}
	switch q.Kind {
	case Submit:
		c.submit(q)
	case Poll:
		c.readExisting(q, func(rec *wire.Record) { c.answer(q, http.StatusOK, rec) })
	case Cancel:
		if r := c.regs[q.ID]; r == nil || !r.exists {
			// A proposal would leave a promise at every member, for a job that perhaps
			// nobody has submitted.
			c.readExisting(q, func(*wire.Record) { c.cancel(q) })
			return
		}
		c.cancel(q)
	}
}

// readExisting reads a job from a majority and hands its record over. Without a majority,
// or if there is no such job, it answers the user itself.
func (c *Core) readExisting(q *Request, then func(rec *wire.Record)) {
	c.read(q.ID, func(rec *wire.Record, exists, ok bool) {
		switch {
		case !ok:
			c.turnAway(q, 1, noMajority)
		case !exists:
			c.refuse(q, http.StatusNotFound, "no such job")
		default:
			then(rec)
		}
	})
}

func (c *Core) cancel(q *Request) {
	c.propose(q.ID, op{kind: opCancel}, userPatience, func(rec wire.Record, exists bool, o outcome) {
		switch {
		case o == unknown:
			c.turnAway(q, 1, noMajority)
		case !exists:
			c.refuse(q, http.StatusNotFound, "no such job")
		default:
			if o == changed {
				c.counts.Cancelled++
			}
			c.answer(q, http.StatusOK, &rec)
		}
	})
}

func (c *Core) submit(q *Request) {
	if c.inFlight >= c.cfg.InFlight {
		c.turnAway(q, 1+c.rng.IntN(3), "too many submissions under way")
		return
	}
	to, why := c.route(q.Spec, 0, -1)
	c.inFlight++
	if why != fits {
		// A repeat is judged by what was accepted.
		c.read(q.ID, func(rec *wire.Record, exists, ok bool) {
			c.inFlight--
			switch {
			case !ok:
				c.turnAway(q, 1, noMajority)
			case exists:
				c.answer(q, http.StatusOK, rec)
			case why == neverFits:
				c.refuse(q, http.StatusUnprocessableEntity, "it can run at no site: unknown team, above the team's limit, or a task fits no allowed machine type")
			case why == full:
				c.turnAway(q, 2+c.rng.IntN(4), "all sites have as much under way as they may")
			default:
				c.turnAway(q, 2+c.rng.IntN(4), "no site is known to be able to take it")
			}
		})
		return
	}
	o := op{kind: opCreate, spec: q.Body, site: to, tasks: uint32(q.Spec.Tasks), nowMS: q.NowMS}
	c.claimed(to)
	c.propose(q.ID, o, userPatience, func(rec wire.Record, exists bool, got outcome) {
		c.inFlight--
		switch got {
		case unknown:
			c.turnAway(q, 1, noMajority)
		case changed:
			c.counts.Accepted++
			c.answer(q, http.StatusCreated, &rec)
		default:
			c.answer(q, http.StatusOK, &rec)
		}
	})
}

// onProgress takes in how far a job is, for display.
func (c *Core) onProgress(from int, it *wire.Item) {
	if r := c.open[it.ID]; r != nil && r.rec.Holder == num(from) {
		c.progress[it.ID] = progress{it.Record.Tasks, it.Running}
	}
}

// Reads. An answer that is not final is compared with a majority first, many jobs
// in one message. Each member answers from what it has accepted, once it is shown
// that its store is still its own. What a majority has agreed on, at least one
// of any majority knows; and every record is made from the one agreed on before.

type readReq struct {
	id    string
	until time.Duration
	then  func(rec *wire.Record, exists, ok bool)
}

type readBatch struct {
	byID  map[string]*readState
	until time.Duration
}

type readState struct {
	votes uint32
	best  wire.Item
	same  int
	reqs  []*readReq
}

// readPause bundles reads.
const readPause = 20 * time.Millisecond

func (c *Core) read(id string, then func(rec *wire.Record, exists, ok bool)) {
	if len(c.waiting) > 20000 {
		then(nil, false, false)
		return
	}
	c.waiting = append(c.waiting, &readReq{id, c.now + userPatience, then})
	c.askReads(true)
}

func (c *Core) askReads(first bool) {
	if len(c.waiting) == 0 || first && len(c.waiting) > 1 || c.now-c.lastAsk < readPause {
		return
	}
	c.lastAsk = c.now
	c.nextRead++
	b := &readBatch{byID: map[string]*readState{}, until: c.now + userPatience}
	c.reads[c.nextRead] = b
	n := min(len(c.waiting), 500)
	for _, q := range c.waiting[:n] {
		s := b.byID[q.id]
		if s == nil {
			s = &readState{}
			b.byID[q.id] = s
			for m := range c.cfg.Members {
				c.post(m, wire.Item{Kind: wire.Read, ID: q.id, Ballot: wire.Ballot{N: c.nextRead, Who: c.inc}})
			}
		}
		s.reqs = append(s.reqs, q)
	}
	c.waiting = c.waiting[n:]
}

func (c *Core) onRead(from int, it *wire.Item) {
	found := wire.Item{Kind: wire.Found, ID: it.ID, Ballot: it.Ballot}
	if r := c.regs[it.ID]; r != nil && r.exists {
		found.Accepted, found.Exists, found.Committed, found.Record = r.accepted, true, r.committed, r.rec
		found.Record.Spec = nil
	}
	c.barrier = true
	c.reply(from, found)
}

func (c *Core) onFound(from int, it *wire.Item) {
	b := c.reads[it.Ballot.N]
	if b == nil || it.Ballot.Who != c.inc {
		return
	}
	s := b.byID[it.ID]
	if s == nil || s.votes&bit(from) != 0 {
		return
	}
	s.votes |= bit(from)
	highest(&s.best, &s.same, it)
	if ones(s.votes) < c.majority() {
		return
	}
	delete(b.byID, it.ID)
	if len(b.byID) == 0 {
		delete(c.reads, it.Ballot.N)
	}
	rec := s.best.Record
	if s.best.Exists && rec.Final != wire.Open && !s.best.Committed && s.same < c.majority() {
		// Perhaps not agreed on: see to it that it is, or what is.
		reqs := s.reqs
		c.propose(it.ID, op{kind: opLearn}, userPatience, func(rec wire.Record, exists bool, o outcome) {
			for _, q := range reqs {
				q.then(&rec, exists, o != unknown)
			}
		})
		return
	}
	if s.best.Exists && rec.Final != wire.Open {
		// Agreed on, and it never changes: from now on it is told without asking.
		if own := c.reg(it.ID); !own.exists || own.accepted.Less(s.best.Accepted) {
			c.adopt(it.ID, own, s.best.Accepted, &rec, true)
		}
	}
	for _, q := range s.reqs {
		q.then(&rec, s.best.Exists, true)
	}
}

// tickReads gives up what no majority answers.
func (c *Core) tickReads() {
	for nonce, b := range c.reads {
		if c.now < b.until {
			continue
		}
		delete(c.reads, nonce)
		for _, id := range sortedKeys(b.byID) {
			for _, q := range b.byID[id].reqs {
				q.then(nil, false, false)
			}
		}
	}
}

// routeRecord chooses a site for a job that has to leave its own.
func (c *Core) routeRecord(rec *wire.Record) (int, bool) {
	var spec protocol.JobSpec
	if err := json.Unmarshal(rec.Spec, &spec); err != nil {
		c.log.Error("stored submission not understood", "why", err)
		return 0, false
	}
	to, why := c.route(&spec, rec.Barred, int(rec.Holder)-1)
	return to, why == fits
}

// route asks the policy with what is known now.
func (c *Core) route(spec *protocol.JobSpec, barred uint32, not int) (int, verdict) {
	views := make([]SiteView, 0, len(c.cfg.Members))
	for i, m := range c.cfg.Members {
		if !m.Site || i == not {
			continue
		}
		v := SiteView{Site: i, Barred: barred&bit(i) != 0, AgeS: math.Inf(1), Away: c.away(i) || c.now >= c.grants[i].until && c.now > c.booted+c.cfg.Lease,
			Open: c.holds[i], UnderWay: c.budgets[i].underWay(c.now), Allowed: c.budgets[i].allowed(c.now, c.cfg.Route)}
		if h := c.hints[i]; h.hint != nil {
			v.Hint, v.AgeS = h.hint, (c.now - h.at).Seconds()
		}
		views = append(views, v)
	}
	return Route(spec, views, c.cfg.Route)
}

// claimed notes that a site is being given a job.
func (c *Core) claimed(to int) { c.budgets[to].take(c.now) }
