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
	Reason string // of an error
}

type progress struct{ done, running uint32 }

// HandleRequest takes a user's request. The answer comes with the effects of this or a later
// step, within userPatience.
func (c *Core) HandleRequest(now time.Duration, q Request) Effects {
	return c.step(now, func() { c.handleRequest(&q) })
}

func (c *Core) answerWithJob(q *Request, code int, rec *wire.Record) {
	c.effects.Answers = append(c.effects.Answers, Answer{Token: q.Token, Code: code, State: c.jobStatus(q.ID, rec)})
}

// answerWithError answers with an error that trying again would not change.
func (c *Core) answerWithError(q *Request, code int, why string) {
	c.effects.Answers = append(c.effects.Answers, Answer{Token: q.Token, Code: code, Reason: why})
}

// noMajority is what a user is told whose request too few members have answered.
const noMajority = "no majority answered in time"

func (c *Core) answerRetryLater(q *Request, retryS int, why string) {
	c.counts.Refused++
	c.effects.Answers = append(c.effects.Answers, Answer{Token: q.Token, Code: http.StatusServiceUnavailable, RetryS: retryS, Reason: why})
}

// jobStatus is a record as users see it.
func (c *Core) jobStatus(id string, rec *wire.Record) protocol.JobStatus {
	s := protocol.JobStatus{ID: id, Status: protocol.JobQueued}
	switch rec.Outcome {
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

func (c *Core) handleRequest(q *Request) {
	if r := c.registers[q.ID]; r != nil && r.hasRecord && r.committed && r.record.Outcome != wire.Open {
		// What is final never changes.
		c.answerWithJob(q, http.StatusOK, &r.record)
		return
	}
	if c.reachableCount() < c.majority() {
		c.answerRetryLater(q, 5, "too few members of the gateway can be reached")
		return
	}
	switch q.Kind {
	case Submit:
		c.submitJob(q)
	case Poll:
		c.readExisting(q, func(rec *wire.Record) { c.answerWithJob(q, http.StatusOK, rec) })
	case Cancel:
		if r := c.registers[q.ID]; r == nil || !r.hasRecord {
			// A proposal would leave a promise at every member, for a job that perhaps
			// nobody has submitted.
			c.readExisting(q, func(*wire.Record) { c.cancelJob(q) })
			return
		}
		c.cancelJob(q)
	}
}

// readExisting reads a job from a majority and hands its record over. Without a majority,
// or if there is no such job, it answers the user itself.
func (c *Core) readExisting(q *Request, then func(rec *wire.Record)) {
	c.readFromMajority(q.ID, func(rec *wire.Record, exists, ok bool) {
		switch {
		case !ok:
			c.answerRetryLater(q, 1, noMajority)
		case !exists:
			c.answerWithError(q, http.StatusNotFound, "no such job")
		default:
			then(rec)
		}
	})
}

func (c *Core) cancelJob(q *Request) {
	c.propose(q.ID, op{kind: opCancel}, userTimeout, func(rec wire.Record, exists bool, o opResult) {
		switch {
		case o == resultUnknown:
			c.answerRetryLater(q, 1, noMajority)
		case !exists:
			c.answerWithError(q, http.StatusNotFound, "no such job")
		default:
			if o == resultChanged {
				c.counts.Cancelled++
			}
			c.answerWithJob(q, http.StatusOK, &rec)
		}
	})
}

func (c *Core) submitJob(q *Request) {
	if c.submissionsInFlight >= c.cfg.MaxInFlight {
		c.answerRetryLater(q, 1+c.rng.IntN(3), "too many submissions under way")
		return
	}
	to, why := c.chooseSite(q.Spec, 0, -1)
	c.submissionsInFlight++
	if why != routeFound {
		// A repeat is judged by what was accepted.
		c.readFromMajority(q.ID, func(rec *wire.Record, exists, ok bool) {
			c.submissionsInFlight--
			switch {
			case !ok:
				c.answerRetryLater(q, 1, noMajority)
			case exists:
				c.answerWithJob(q, http.StatusOK, rec)
			case why == routeNeverFits:
				c.answerWithError(q, http.StatusUnprocessableEntity, "it can run at no site: unknown team, above the team's limit, or a task fits no allowed machine type")
			case why == routeSitesFull:
				c.answerRetryLater(q, 2+c.rng.IntN(4), "all sites have as much under way as they may")
			default:
				c.answerRetryLater(q, 2+c.rng.IntN(4), "no site is known to be able to take it")
			}
		})
		return
	}
	o := op{kind: opCreate, spec: q.Body, site: to, tasks: uint32(q.Spec.Tasks), createdMS: q.NowMS}
	c.countRouted(to)
	c.propose(q.ID, o, userTimeout, func(rec wire.Record, exists bool, got opResult) {
		c.submissionsInFlight--
		switch got {
		case resultUnknown:
			c.answerRetryLater(q, 1, noMajority)
		case resultChanged:
			c.counts.Accepted++
			c.answerWithJob(q, http.StatusCreated, &rec)
		default:
			c.answerWithJob(q, http.StatusOK, &rec)
		}
	})
}

// onProgress takes in how far a job is, for display.
func (c *Core) onProgress(from int, it *wire.Item) {
	if r := c.openJobs[it.ID]; r != nil && r.record.Owner == memberNumber(from) {
		c.progress[it.ID] = progress{it.Record.Tasks, it.Running}
	}
}

// Reads. An answer that is not final is compared with a majority first, many jobs
// in one message. Each member answers from what it has accepted, once it is shown
// that its store is still its own. What a majority has agreed on, at least one
// of any majority knows; and every record is made from the one agreed on before.

type readRequest struct {
	id       string
	deadline time.Duration
	onResult func(rec *wire.Record, exists, ok bool)
}

type readBatch struct {
	byID     map[string]*readState
	deadline time.Duration
}

type readState struct {
	votes    uint32
	highest  wire.Item
	matching int
	requests []*readRequest
}

// readBatchInterval bundles reads.
const readBatchInterval = 20 * time.Millisecond

func (c *Core) readFromMajority(id string, then func(rec *wire.Record, exists, ok bool)) {
	if len(c.queuedReads) > 20000 {
		then(nil, false, false)
		return
	}
	c.queuedReads = append(c.queuedReads, &readRequest{id, c.now + userTimeout, then})
	c.sendReads(true)
}

func (c *Core) sendReads(first bool) {
	if len(c.queuedReads) == 0 || first && len(c.queuedReads) > 1 || c.now-c.lastReadBatch < readBatchInterval {
		return
	}
	c.lastReadBatch = c.now
	c.readSeq++
	b := &readBatch{byID: map[string]*readState{}, deadline: c.now + userTimeout}
	c.readBatches[c.readSeq] = b
	n := min(len(c.queuedReads), 500)
	for _, q := range c.queuedReads[:n] {
		s := b.byID[q.id]
		if s == nil {
			s = &readState{}
			b.byID[q.id] = s
			for m := range c.cfg.Members {
				c.send(m, wire.Item{Kind: wire.Read, ID: q.id, Ballot: wire.Ballot{Number: c.readSeq, Proposer: c.incarnation}})
			}
		}
		s.requests = append(s.requests, q)
	}
	c.queuedReads = c.queuedReads[n:]
}

func (c *Core) onRead(from int, it *wire.Item) {
	found := wire.Item{Kind: wire.ReadReply, ID: it.ID, Ballot: it.Ballot}
	if r := c.registers[it.ID]; r != nil && r.hasRecord {
		found.Accepted, found.HasRecord, found.Committed, found.Record = r.accepted, true, r.committed, r.record
		found.Record.Spec = nil
	}
	c.barrierPending = true
	c.sendWhenDurable(from, found)
}

func (c *Core) onReadReply(from int, it *wire.Item) {
	b := c.readBatches[it.Ballot.Number]
	if b == nil || it.Ballot.Proposer != c.incarnation {
		return
	}
	s := b.byID[it.ID]
	if s == nil || s.votes&memberBit(from) != 0 {
		return
	}
	s.votes |= memberBit(from)
	keepHighest(&s.highest, &s.matching, it)
	if bitCount(s.votes) < c.majority() {
		return
	}
	delete(b.byID, it.ID)
	if len(b.byID) == 0 {
		delete(c.readBatches, it.Ballot.Number)
	}
	rec := s.highest.Record
	if s.highest.HasRecord && rec.Outcome != wire.Open && !s.highest.Committed && s.matching < c.majority() {
		// Perhaps not agreed on: see to it that it is, or what is.
		reqs := s.requests
		c.propose(it.ID, op{kind: opLearn}, userTimeout, func(rec wire.Record, exists bool, o opResult) {
			for _, q := range reqs {
				q.onResult(&rec, exists, o != resultUnknown)
			}
		})
		return
	}
	if s.highest.HasRecord && rec.Outcome != wire.Open {
		// Agreed on, and it never changes: from now on it is told without asking.
		if own := c.registerOf(it.ID); !own.hasRecord || own.accepted.Less(s.highest.Accepted) {
			c.setRecord(it.ID, own, s.highest.Accepted, &rec, true)
		}
	}
	for _, q := range s.requests {
		q.onResult(&rec, s.highest.HasRecord, true)
	}
}

// expireReads gives up what no majority answers.
func (c *Core) expireReads() {
	for nonce, b := range c.readBatches {
		if c.now < b.deadline {
			continue
		}
		delete(c.readBatches, nonce)
		for _, id := range sortedKeys(b.byID) {
			for _, q := range b.byID[id].requests {
				q.onResult(nil, false, false)
			}
		}
	}
}

// chooseNewSite chooses a site for a job that has to leave its own.
func (c *Core) chooseNewSite(rec *wire.Record) (int, bool) {
	var spec protocol.JobSpec
	if err := json.Unmarshal(rec.Spec, &spec); err != nil {
		c.log.Error("stored submission not understood", "why", err)
		return 0, false
	}
	to, why := c.chooseSite(&spec, rec.ExcludedSites, int(rec.Owner)-1)
	return to, why == routeFound
}

// chooseSite asks the policy with what is known now.
func (c *Core) chooseSite(spec *protocol.JobSpec, barred uint32, not int) (int, routeResult) {
	views := make([]SiteView, 0, len(c.cfg.Members))
	for i, m := range c.cfg.Members {
		if !m.Site || i == not {
			continue
		}
		v := SiteView{Site: i, Excluded: barred&memberBit(i) != 0, HintAgeS: math.Inf(1), Unavailable: c.unreachable(i) || c.now >= c.grants[i].tasksUntil && c.now > c.startedAt+c.cfg.LeaseTime,
			OpenJobs: c.ownedJobs[i], UnseenJobs: c.routeLimits[i].unseenJobs(c.now), WithinRate: c.routeLimits[i].allowed(c.now, c.cfg.Route)}
		if h := c.hints[i]; h.hint != nil {
			v.Hint, v.HintAgeS = h.hint, (c.now - h.receivedAt).Seconds()
		}
		views = append(views, v)
	}
	return Route(spec, views, c.cfg.Route)
}

// countRouted notes that a site is being given a job.
func (c *Core) countRouted(to int) { c.routeLimits[to].takeToken(c.now) }
