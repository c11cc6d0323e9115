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
func (c *Core) HandleRequest(now time.Duration, req Request) Effects {
	return c.step(now, func() { c.handleRequest(&req) })
}

func (c *Core) answerWithJob(req *Request, code int, rec *wire.Record) {
	c.effects.Answers = append(c.effects.Answers, Answer{Token: req.Token, Code: code, State: c.jobStatus(req.ID, rec)})
}

// answerWithError answers with an error that trying again would not change.
func (c *Core) answerWithError(req *Request, code int, reason string) {
	c.effects.Answers = append(c.effects.Answers, Answer{Token: req.Token, Code: code, Reason: reason})
}

// noMajority is what a user is told whose request too few members have answered.
const noMajority = "no majority answered in time"

func (c *Core) answerRetryLater(req *Request, retryS int, reason string) {
	c.counts.Refused++
	c.effects.Answers = append(c.effects.Answers, Answer{Token: req.Token, Code: http.StatusServiceUnavailable, RetryS: retryS, Reason: reason})
}

// jobStatus is a record as users see it.
func (c *Core) jobStatus(id string, rec *wire.Record) protocol.JobStatus {
	status := protocol.JobStatus{ID: id, Status: protocol.JobQueued}
	switch rec.Outcome {
	case wire.Done:
		status.Status, status.Done = protocol.JobDone, int(rec.Tasks)
	case wire.Cancelled:
		status.Status = protocol.JobCancelled
	default:
		if p := c.progress[id]; p.running+p.done > 0 {
			status.Done, status.Running = int(p.done), int(p.running)
			if p.running > 0 {
				status.Status = protocol.JobRunning
			}
		}
	}
	return status
}

func (c *Core) handleRequest(req *Request) {
	if r := c.registers[req.ID]; r != nil && r.hasRecord && r.committed && r.record.Outcome != wire.Open {
		// What is final never changes.
		c.answerWithJob(req, http.StatusOK, &r.record)
		return
	}
	if c.reachableCount() < c.majority() {
		c.answerRetryLater(req, 5, "too few members of the gateway can be reached")
		return
	}
	switch req.Kind {
	case Submit:
		c.submitJob(req)
	case Poll:
		c.readExisting(req, func(rec *wire.Record) { c.answerWithJob(req, http.StatusOK, rec) })
	case Cancel:
		if r := c.registers[req.ID]; r == nil || !r.hasRecord {
			// A proposal would leave a promise at every member, for a job that perhaps
			// nobody has submitted.
			c.readExisting(req, func(*wire.Record) { c.cancelJob(req) })
			return
		}
		c.cancelJob(req)
	}
}

// readExisting reads a job from a majority and hands its record over. Without a majority,
// or if there is no such job, it answers the user itself.
func (c *Core) readExisting(req *Request, onRecord func(rec *wire.Record)) {
	c.readFromMajority(req.ID, func(rec *wire.Record, exists, ok bool) {
		switch {
		case !ok:
			c.answerRetryLater(req, 1, noMajority)
		case !exists:
			c.answerWithError(req, http.StatusNotFound, "no such job")
		default:
			onRecord(rec)
		}
	})
}

func (c *Core) cancelJob(req *Request) {
	c.propose(req.ID, op{kind: opCancel}, userTimeout, func(rec wire.Record, exists bool, result opResult) {
		switch {
		case result == resultUnknown:
			c.answerRetryLater(req, 1, noMajority)
		case !exists:
			c.answerWithError(req, http.StatusNotFound, "no such job")
		default:
			if result == resultChanged {
				c.counts.Cancelled++
			}
			c.answerWithJob(req, http.StatusOK, &rec)
		}
	})
}

func (c *Core) submitJob(req *Request) {
	if c.submissionsInFlight >= c.cfg.MaxInFlight {
		c.answerRetryLater(req, 1+c.rng.IntN(3), "too many submissions under way")
		return
	}
	site, route := c.chooseSite(req.Spec, 0, -1)
	c.submissionsInFlight++
	if route != routeFound {
		// A repeat is judged by what was accepted.
		c.readFromMajority(req.ID, func(rec *wire.Record, exists, ok bool) {
			c.submissionsInFlight--
			switch {
			case !ok:
				c.answerRetryLater(req, 1, noMajority)
			case exists:
				c.answerWithJob(req, http.StatusOK, rec)
			case route == routeNeverFits:
				c.answerWithError(req, http.StatusUnprocessableEntity, "it can run at no site: unknown team, above the team's limit, or a task fits no allowed machine type")
			case route == routeSitesFull:
				c.answerRetryLater(req, 2+c.rng.IntN(4), "all sites have as much under way as they may")
			default:
				c.answerRetryLater(req, 2+c.rng.IntN(4), "no site is known to be able to take it")
			}
		})
		return
	}
	create := op{kind: opCreate, spec: req.Body, site: site, tasks: uint32(req.Spec.Tasks), createdMS: req.NowMS}
	c.countRouted(site)
	c.propose(req.ID, create, userTimeout, func(rec wire.Record, exists bool, result opResult) {
		c.submissionsInFlight--
		switch result {
		case resultUnknown:
			c.answerRetryLater(req, 1, noMajority)
		case resultChanged:
			c.counts.Accepted++
			c.answerWithJob(req, http.StatusCreated, &rec)
		default:
			c.answerWithJob(req, http.StatusOK, &rec)
		}
	})
}

// onProgress takes in how far a job is, for display.
func (c *Core) onProgress(from int, it *wire.Item) {
	if register := c.openJobs[it.ID]; register != nil && register.record.Owner == memberNumber(from) {
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

func (c *Core) readFromMajority(id string, onResult func(rec *wire.Record, exists, ok bool)) {
	if len(c.queuedReads) > 20000 {
		onResult(nil, false, false)
		return
	}
	c.queuedReads = append(c.queuedReads, &readRequest{id, c.now + userTimeout, onResult})
	c.sendReads(true)
}

func (c *Core) sendReads(immediate bool) {
	if len(c.queuedReads) == 0 || immediate && len(c.queuedReads) > 1 || c.now-c.lastReadBatch < readBatchInterval {
		return
	}
	c.lastReadBatch = c.now
	c.readSeq++
	batch := &readBatch{byID: map[string]*readState{}, deadline: c.now + userTimeout}
	c.readBatches[c.readSeq] = batch
	n := min(len(c.queuedReads), 500)
	for _, req := range c.queuedReads[:n] {
		state := batch.byID[req.id]
		if state == nil {
			state = &readState{}
			batch.byID[req.id] = state
			for m := range c.cfg.Members {
				c.send(m, wire.Item{Kind: wire.Read, ID: req.id, Ballot: wire.Ballot{Number: c.readSeq, Proposer: c.incarnation}})
			}
		}
		state.requests = append(state.requests, req)
	}
	c.queuedReads = c.queuedReads[n:]
}

func (c *Core) onRead(from int, it *wire.Item) {
	reply := wire.Item{Kind: wire.ReadReply, ID: it.ID, Ballot: it.Ballot}
	if register := c.registers[it.ID]; register != nil && register.hasRecord {
		reply.Accepted, reply.HasRecord, reply.Committed, reply.Record = register.accepted, true, register.committed, register.record
		reply.Record.Spec = nil
	}
	c.barrierPending = true
	c.sendWhenDurable(from, reply)
}

func (c *Core) onFound(from int, it *wire.Item) {
	batch := c.readBatches[it.Ballot.Number]
	if batch == nil || it.Ballot.Proposer != c.incarnation {
		return
	}
	state := batch.byID[it.ID]
	if state == nil || state.votes&memberBit(from) != 0 {
		return
	}
	state.votes |= memberBit(from)
	keepHighest(&state.highest, &state.matching, it)
	if bitCount(state.votes) < c.majority() {
		return
	}
	delete(batch.byID, it.ID)
	if len(batch.byID) == 0 {
		delete(c.readBatches, it.Ballot.Number)
	}
	rec := state.highest.Record
	if state.highest.HasRecord && rec.Outcome != wire.Open && !state.highest.Committed && state.matching < c.majority() {
		// Perhaps not agreed on: see to it that it is, or what is.
		requests := state.requests
		c.propose(it.ID, op{kind: opLearn}, userTimeout, func(rec wire.Record, exists bool, result opResult) {
			for _, req := range requests {
				req.onResult(&rec, exists, result != resultUnknown)
			}
		})
		return
	}
	if state.highest.HasRecord && rec.Outcome != wire.Open {
		// Agreed on, and it never changes: from now on it is told without asking.
		if register := c.registerOf(it.ID); !register.hasRecord || register.accepted.Less(state.highest.Accepted) {
			c.setRecord(it.ID, register, state.highest.Accepted, &rec, true)
		}
	}
	for _, req := range state.requests {
		req.onResult(&rec, state.highest.HasRecord, true)
	}
}

// expireReads gives up what no majority answers.
func (c *Core) expireReads() {
	for nonce, batch := range c.readBatches {
		if c.now < batch.deadline {
			continue
		}
		delete(c.readBatches, nonce)
		for _, id := range sortedKeys(batch.byID) {
			for _, req := range batch.byID[id].requests {
				req.onResult(nil, false, false)
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
	site, route := c.chooseSite(&spec, rec.ExcludedSites, int(rec.Owner)-1)
	return site, route == routeFound
}

// chooseSite asks the policy with what is known now.
func (c *Core) chooseSite(spec *protocol.JobSpec, excluded uint32, except int) (int, routeResult) {
	views := make([]SiteView, 0, len(c.cfg.Members))
	for i, m := range c.cfg.Members {
		if !m.Site || i == except {
			continue
		}
		view := SiteView{Site: i, Excluded: excluded&memberBit(i) != 0, HintAgeS: math.Inf(1), Unavailable: c.unreachable(i) || c.now >= c.grants[i].tasksUntil && c.now > c.startedAt+c.cfg.LeaseTime,
			OpenJobs: c.ownedJobs[i], UnseenJobs: c.routeLimits[i].unseenJobs(c.now), WithinRate: c.routeLimits[i].allowed(c.now, c.cfg.Route)}
		if hint := c.hints[i]; hint.hint != nil {
			view.Hint, view.HintAgeS = hint.hint, (c.now - hint.receivedAt).Seconds()
		}
		views = append(views, view)
	}
	return Route(spec, views, c.cfg.Route)
}

// countRouted notes that a site is being given a job.
func (c *Core) countRouted(to int) { c.routeLimits[to].takeToken(c.now) }
