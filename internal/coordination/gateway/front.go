package gateway

import (
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// User requests: submissions, status polls and cancellations. A request that can't be
// decided now is answered at once with 503 and a Retry-After time.

// RequestKind is the kind of a user request.
type RequestKind uint8

// Kinds of user requests.
const (
	Submit RequestKind = iota
	Poll
	Cancel
)

// Request is a user request. Token identifies the answer to it.
type Request struct {
	Token uint64
	Kind  RequestKind
	ID    string
	Spec  *protocol.JobSpec // validated job of a submission
	Body  []byte            // encoded job of a submission, as it is stored
	NowMS uint64            // time of a submission, in Unix milliseconds
}

// Answer is the answer to a user request.
type Answer struct {
	Token  uint64
	Code   int // HTTP status
	RetryS int // Retry-After in seconds; 0: none
	State  protocol.JobStatus
	Reason string // error message; empty: State is the answer
}

// progress is the number of a job's tasks that are done and running.
type progress struct{ done, running uint32 }

// HandleRequest handles a user request. The answer is among the effects of this step or of
// a later one, within userTimeout.
func (c *Core) HandleRequest(now time.Duration, req Request) Effects {
	return c.step(now, func() { c.handleRequest(&req) })
}

// answerWithJob answers with the status of a job.
func (c *Core) answerWithJob(req *Request, code int, rec *wire.Record) {
	c.effects.Answers = append(c.effects.Answers, Answer{Token: req.Token, Code: code, State: c.jobStatus(req.ID, rec)})
}

// answerWithError answers with an error that a retry would not change.
func (c *Core) answerWithError(req *Request, code int, reason string) {
	c.effects.Answers = append(c.effects.Answers, Answer{Token: req.Token, Code: code, Reason: reason})
}

// noMajority is the error message for a request that too few members have answered.
const noMajority = "no majority answered in time"

// answerRetryLater answers with 503 and a time after which the user may retry.
func (c *Core) answerRetryLater(req *Request, retryS int, reason string) {
	c.counts.Refused++
	c.effects.Answers = append(c.effects.Answers, Answer{Token: req.Token, Code: http.StatusServiceUnavailable, RetryS: retryS, Reason: reason})
}

// jobStatus returns the status of a job as users see it.
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

// handleRequest answers a user request at once or starts the read or change that it needs.
func (c *Core) handleRequest(req *Request) {
	if r := c.registers[req.ID]; r != nil && r.hasRecord && r.committed && r.record.Outcome != wire.Open {
		// A committed outcome never changes.
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
			// A proposal would store a promise at every member for a job that may never have been
			// submitted.
			c.readExisting(req, func(*wire.Record) { c.cancelJob(req) })
			return
		}
		c.cancelJob(req)
	}
}

// readExisting reads the record of a job from a majority and passes it to onRecord. Without
// a majority, or if there is no such job, it answers the request itself.
func (c *Core) readExisting(req *Request, onRecord func(rec *wire.Record)) {
	c.readFromMajority(&readRequest{id: req.ID, onResult: func(result readResult) {
		switch {
		case !result.ok:
			c.answerRetryLater(req, 1, noMajority)
		case !result.exists:
			c.answerWithError(req, http.StatusNotFound, "no such job")
		default:
			onRecord(&result.record)
		}
	}})
}

// cancelJob proposes the cancellation of a job and answers with the result.
func (c *Core) cancelJob(req *Request) {
	if c.rounds[req.ID] == nil && c.limiter.refusesUsers() {
		c.answerRetryLater(req, 1+c.rng.IntN(2), "too many changes under way")
		return
	}
	c.propose(req.ID, op{kind: opCancel}, userChange, func(rec wire.Record, exists bool, result opResult) {
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

// submitJob answers a submission. If the job seems to be known, a read decides whether it is
// accepted already, at no cost to the stores.
func (c *Core) submitJob(req *Request) {
	if r := c.registers[req.ID]; r == nil || !r.hasRecord {
		c.submitNewJob(req)
		return
	}
	c.readFromMajority(&readRequest{id: req.ID, onResult: func(result readResult) {
		switch {
		case !result.ok:
			c.answerRetryLater(req, 1, noMajority)
		case result.agreed:
			c.answerWithJob(req, http.StatusOK, &result.record)
		default:
			c.submitNewJob(req)
		}
	}})
}

// submitNewJob chooses a site for a new job, proposes its record and answers with the result.
func (c *Core) submitNewJob(req *Request) {
	if c.submissionsInFlight >= c.cfg.MaxInFlight || c.rounds[req.ID] == nil && c.limiter.refusesUsers() {
		c.answerRetryLater(req, 1+c.rng.IntN(3), "too many submissions under way")
		return
	}
	site, route := c.chooseSite(req.Spec, 0, -1)
	c.submissionsInFlight++
	if route != routeFound {
		// A repeated submission of an accepted job is answered with the status of that job.
		c.readFromMajority(&readRequest{id: req.ID, onResult: func(result readResult) {
			c.submissionsInFlight--
			switch {
			case !result.ok:
				c.answerRetryLater(req, 1, noMajority)
			case result.agreed:
				c.answerWithJob(req, http.StatusOK, &result.record)
			case result.exists:
				// Some members have accepted the job, too few to say that it is accepted.
				c.answerRetryLater(req, 1, noMajority)
			case route == routeNeverFits:
				c.answerWithError(req, http.StatusUnprocessableEntity, "it can run at no site: unknown team, above the team's limit, or a task fits no allowed machine type")
			case route == routeSitesFull:
				c.answerRetryLater(req, 2+c.rng.IntN(4), "all sites have as much under way as they may")
			default:
				c.answerRetryLater(req, 2+c.rng.IntN(4), "no site is known to be able to take it")
			}
		}})
		return
	}
	create := op{kind: opCreate, spec: req.Body, site: site, tasks: uint32(req.Spec.Tasks), createdMS: req.NowMS}
	c.countRouted(site)
	c.propose(req.ID, create, userChange, func(rec wire.Record, exists bool, result opResult) {
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

// onProgress records the progress of a job, for display only.
func (c *Core) onProgress(from int, it *wire.Item) {
	if reg := c.openJobs[it.ID]; reg != nil && reg.record.Owner == memberNumber(from) {
		c.progress[it.ID] = progress{it.Record.Tasks, it.Running}
	}
}

// Reads. A status that is not final is read from a majority before it is given to a user;
// one message carries the reads of many jobs. Each member answers from the record that it
// has accepted, once it is proved that its store still belongs to this process. Of every
// majority, at least one member knows a record that a majority has accepted, and every
// later record is made from that one.

// readRequest is a read of one job. onResult is called once.
type readRequest struct {
	id       string
	withSpec bool // the submission is needed too
	onResult func(readResult)
}

// readResult is what a majority has shown of a job.
type readResult struct {
	ok       bool // a majority replied in time
	exists   bool
	record   wire.Record // the one with the highest ballot
	accepted wire.Ballot // ballot of the record
	agreed   bool        // the record is known to be accepted by a majority
}

// readBatch is a set of reads that were sent together.
type readBatch struct {
	byID     map[string]*readState
	deadline time.Duration
}

// readState collects the replies for one job of a batch.
type readState struct {
	votes    uint32    // bit mask of the members that replied
	highest  wire.Item // reply with the highest accepted ballot
	matching int       // replies with the same ballot as highest
	withSpec bool
	requests []*readRequest
}

// readBatchInterval is the shortest time between batches of reads.
const readBatchInterval = 20 * time.Millisecond

// maxQueuedReads limits the reads that wait to be sent.
const maxQueuedReads = 20000

// readFromMajority reads the record of a job from a majority.
func (c *Core) readFromMajority(req *readRequest) {
	if len(c.queuedReads) > maxQueuedReads {
		req.onResult(readResult{})
		return
	}
	c.queuedReads = append(c.queuedReads, req)
	c.sendReads(true)
}

// sendReads sends the queued reads as one batch, unless the last batch was sent less than
// readBatchInterval ago. With onlyFirst set, it sends nothing if more than one read is
// queued: the next tick sends them together.
func (c *Core) sendReads(onlyFirst bool) {
	if len(c.queuedReads) == 0 || onlyFirst && len(c.queuedReads) > 1 || c.now-c.lastReadBatch < readBatchInterval {
		return
	}
	c.lastReadBatch = c.now
	c.readSeq++
	batch := &readBatch{byID: map[string]*readState{}, deadline: c.now + userTimeout}
	c.readBatches[c.readSeq] = batch
	n := min(len(c.queuedReads), 500)
	var ids []string
	for _, req := range c.queuedReads[:n] {
		state := batch.byID[req.id]
		if state == nil {
			state = &readState{}
			batch.byID[req.id] = state
			ids = append(ids, req.id)
		}
		state.withSpec = state.withSpec || req.withSpec
		state.requests = append(state.requests, req)
	}
	c.queuedReads = c.queuedReads[n:]
	for _, id := range ids {
		it := wire.Item{Kind: wire.Read, ID: id, Ballot: wire.Ballot{Number: c.readSeq, Proposer: c.incarnation}}
		if batch.byID[id].withSpec {
			it.Code = wire.WithSpec
		}
		for m := range c.cfg.Members {
			c.send(m, it)
		}
	}
}

// onRead answers with the record that this member has accepted durably, without its
// submission unless that is asked for.
func (c *Core) onRead(from int, it *wire.Item) {
	reply := wire.Item{Kind: wire.ReadReply, ID: it.ID, Ballot: it.Ballot}
	if reg := c.registers[it.ID]; reg != nil {
		if state := c.storeQueue.durableState(it.ID, reg); state.hasRecord {
			reply.Accepted, reply.HasRecord, reply.Committed, reply.Record = state.accepted, true, state.committed, state.record
			if it.Code != wire.WithSpec {
				reply.Record.Spec = nil
			}
		}
	}
	c.sendWhenOwned(from, reply)
}

// onReadReply counts a reply to a read and completes the reads of the job once a majority has
// replied.
func (c *Core) onReadReply(from int, it *wire.Item) {
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
	c.workload.reads.completed++
	if len(batch.byID) == 0 {
		delete(c.readBatches, it.Ballot.Number)
	}
	result := readResult{ok: true, exists: state.highest.HasRecord, record: state.highest.Record, accepted: state.highest.Accepted,
		agreed: state.highest.HasRecord && (state.highest.Committed || state.matching >= c.majority())}
	isFinal := result.exists && result.record.Outcome != wire.Open
	if isFinal && !result.agreed {
		c.completeOutcome(it.ID, state.requests)
		return
	}
	if isFinal {
		// The outcome never changes: from now on it is answered without a read.
		if reg := c.registerOf(it.ID); !reg.hasRecord || reg.accepted.Less(result.accepted) {
			c.setRecord(it.ID, reg, result.accepted, &result.record, true)
		}
	}
	for _, req := range state.requests {
		req.onResult(result)
	}
}

// completeOutcome completes reads that have shown an outcome which may not be accepted by a
// majority: a round completes it or finds the record that is.
func (c *Core) completeOutcome(id string, requests []*readRequest) {
	c.propose(id, op{kind: opLearn}, userChange, func(rec wire.Record, exists bool, result opResult) {
		own := c.registerOf(id)
		for _, req := range requests {
			req.onResult(readResult{ok: result != resultUnknown, exists: exists, record: rec, accepted: own.accepted, agreed: own.committed})
		}
	})
}

// expireReads ends the reads that no majority has answered in time.
func (c *Core) expireReads() {
	for _, nonce := range slices.Sorted(maps.Keys(c.readBatches)) {
		batch := c.readBatches[nonce]
		if c.now < batch.deadline {
			continue
		}
		delete(c.readBatches, nonce)
		for _, id := range sortedKeys(batch.byID) {
			c.workload.reads.givenUp++
			for _, req := range batch.byID[id].requests {
				req.onResult(readResult{})
			}
		}
	}
}

// chooseNewSite chooses a site for a job that has to leave its current one.
func (c *Core) chooseNewSite(rec *wire.Record) (int, bool) {
	var spec protocol.JobSpec
	if err := json.Unmarshal(rec.Spec, &spec); err != nil {
		c.log.Error("stored submission can't be decoded", "why", err)
		return 0, false
	}
	site, route := c.chooseSite(&spec, rec.ExcludedSites, int(rec.Owner)-1)
	return site, route == routeFound
}

// chooseSite routes a job by the load and availability of the sites as this member knows
// them.
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

// countRouted counts a job that is given to a site against its rate.
func (c *Core) countRouted(to int) { c.routeLimits[to].takeToken(c.now) }
