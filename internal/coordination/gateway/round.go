package gateway

import (
	"slices"
	"time"

	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// A round is an attempt of one member to change one record: it collects promises of a
// majority, applies the pending changes to the record with the highest accepted ballot, and
// has the result accepted by a majority. A member runs one round per job at a time; changes
// that are proposed meanwhile wait for the next one.

// roundPhase is the phase of a round.
type roundPhase uint8

// Phases of a round.
const (
	phaseWaiting   roundPhase = iota // waits until this member may run another round
	phaseBackoff                     // waits before the next attempt
	phasePreparing                   // collects promises
	phaseAccepting                   // collects acceptances
)

// changeClass tells whether a user waits for a change.
type changeClass uint8

// Classes of changes.
const (
	userChange changeClass = iota
	backgroundChange
)

// timeout returns how long a change of the class may take.
func (class changeClass) timeout() time.Duration {
	if class == userChange {
		return userTimeout
	}
	return backgroundTimeout
}

// pendingChange is a change that was proposed and has no result yet.
type pendingChange struct {
	op       op
	class    changeClass
	deadline time.Duration // when the caller is told that the result is unknown
	onResult func(rec wire.Record, exists bool, result opResult)
	result   opResult
}

// round is the state of the round for one job.
type round struct {
	id              string
	class           changeClass // of the change that it was begun for
	phase           roundPhase
	ended           bool
	startedAt       time.Duration
	ballot          wire.Ballot
	votes           uint32           // bit mask of the members that promised or accepted
	highest         wire.Item        // promise with the highest accepted ballot
	matching        int              // promises with the same accepted ballot as highest
	record          wire.Record      // record that is proposed
	applied         []*pendingChange // changes that record includes
	queued          []*pendingChange // changes for the next proposal
	lastSent        time.Duration
	retryAt         time.Duration
	attempts        int
	refusedForLease uint32 // bit mask of the members that refused because the site's lease may still be valid
	nackedBy        uint32 // bit mask of the members that refused for any reason
}

// propose proposes a change to the record of a job. onResult, if not nil, is called once
// with the result.
func (c *Core) propose(id string, change op, class changeClass, onResult func(wire.Record, bool, opResult)) {
	pending := &pendingChange{op: change, class: class, deadline: c.now + class.timeout(), onResult: onResult}
	r := c.rounds[id]
	if r != nil {
		r.queued = append(r.queued, pending)
		if class == userChange {
			c.raiseToUser(r)
		}
		return
	}
	r = &round{id: id, class: class, queued: []*pendingChange{pending}}
	c.rounds[id] = r
	c.beginRound(r)
}

// startRound starts an attempt under a ballot above all ballots seen so far.
func (c *Core) startRound(r *round) {
	c.maxBallotNumber++
	r.ballot = wire.Ballot{Number: c.maxBallotNumber, Proposer: c.incarnation<<8 | uint32(c.cfg.Self)}
	r.phase, r.votes, r.nackedBy, r.refusedForLease = phasePreparing, 0, 0, 0
	r.highest, r.matching = wire.Item{}, 0
	c.sendRound(r)
}

// sendRound sends the request of the current phase to all members that have not answered
// it.
func (c *Core) sendRound(r *round) {
	r.lastSent = c.now
	it := wire.Item{Kind: wire.Prepare, ID: r.id, Ballot: r.ballot}
	for _, pending := range r.queued {
		it.Record.PrevOwner = max(it.Record.PrevOwner, pending.op.forcedFrom)
	}
	if r.phase == phaseAccepting {
		it.Kind, it.HasRecord, it.Record = wire.Accept, true, r.record
	}
	for m := range c.cfg.Members {
		if r.votes&memberBit(m) == 0 {
			c.send(m, it)
		}
	}
}

// onVote handles the answer of a member to a request of a round.
func (c *Core) onVote(r *round, from int, it *wire.Item) {
	if it.Ballot != r.ballot || r.phase == phaseBackoff || r.phase == phaseWaiting {
		return
	}
	switch {
	case it.Kind == wire.Nack:
		c.counts.Nacks++
		c.maxBallotNumber = max(c.maxBallotNumber, it.Accepted.Number)
		r.nackedBy |= memberBit(from)
		if it.Code == wire.LeaseActive {
			r.refusedForLease |= memberBit(from)
			// Another member still grants the lease of the site. Repeating the claim for each job
			// would cost every member a stored promise per job.
			for _, pending := range append(r.queued, r.applied...) {
				if site := pending.op.forcedFrom; site != 0 && c.grants[site-1] != nil {
					grant := c.grants[site-1]
					grant.noClaimBefore, grant.grantedByOthers = c.now+time.Second, true
				}
			}
		}
		if len(c.cfg.Members)-bitCount(r.nackedBy) < c.majority() {
			c.backOff(r)
		}
	case it.Kind == wire.Promise && r.phase == phasePreparing && r.votes&memberBit(from) == 0:
		r.votes |= memberBit(from)
		keepHighest(&r.highest, &r.matching, it)
		if bitCount(r.votes) >= c.majority() {
			c.proposeRecord(r)
		}
	case it.Kind == wire.Accepted && r.phase == phaseAccepting:
		r.votes |= memberBit(from)
		if bitCount(r.votes) >= c.majority() {
			c.onMajorityAccepted(r)
		}
	}
}

// keepHighest keeps the answer with the highest accepted ballot and counts the answers that
// have that ballot.
func keepHighest(highest *wire.Item, matching *int, it *wire.Item) {
	switch {
	case it.HasRecord && (!highest.HasRecord || highest.Accepted.Less(it.Accepted)):
		*highest, *matching = *it, 1
	case it.HasRecord && it.Accepted == highest.Accepted:
		*matching++
		highest.Committed = highest.Committed || it.Committed
	}
}

// proposeRecord applies the queued changes to the record that the promises of a majority
// show, and proposes the result.
func (c *Core) proposeRecord(r *round) {
	rec, exists := r.highest.Record, r.highest.HasRecord
	anyChanged := false
	for _, pending := range r.queued {
		next, result := applyOp(rec, exists, pending.op)
		if c.cfg.Faults.OverwriteFinal && rec.Outcome != wire.Open && (pending.op.kind == opFinish || pending.op.kind == opCancel) {
			reopened := rec
			reopened.Outcome = wire.Open
			next, result = applyOp(reopened, exists, pending.op)
		}
		if c.cfg.Faults.IgnoreEpoch && pending.op.kind == opClaim && result == resultRefused && rec.Outcome == wire.Open {
			next, result = rec, resultChanged
			next.Epoch, next.Owner, next.Stopped = rec.Epoch+1, memberNumber(pending.op.site), false
		}
		pending.result = result
		if result == resultChanged {
			rec, exists, anyChanged = next, true, true
		}
	}
	r.applied, r.queued = append(r.applied, r.queued...), nil
	if !anyChanged && (!exists || r.highest.Committed || r.matching >= c.majority()) {
		// No change is needed, and the present record is accepted by a majority.
		if exists {
			c.applyAgreed(r.id, &r.highest)
		}
		c.finishRound(r, rec, exists)
		return
	}
	r.record = rec
	r.phase, r.votes = phaseAccepting, 0
	c.sendRound(r)
}

// applyAgreed applies a record that a majority accepted earlier.
func (c *Core) applyAgreed(id string, agreed *wire.Item) {
	r := c.registerOf(id)
	if r.hasRecord && r.accepted == agreed.Accepted {
		if !r.committed {
			c.setCommitted(id, r)
		}
		return
	}
	if r.hasRecord && agreed.Accepted.Less(r.accepted) {
		return
	}
	// This member did not accept the record. It may apply it whatever it has promised
	// meanwhile, since every higher proposal is made from this record.
	c.setRecord(id, r, agreed.Accepted, &agreed.Record, true)
}

// onMajorityAccepted commits the record of a round that a majority has accepted. From now
// on every round starts from it.
func (c *Core) onMajorityAccepted(r *round) {
	it := wire.Item{Kind: wire.Commit, ID: r.id, Ballot: r.ballot}
	for m := range c.cfg.Members {
		if m != c.cfg.Self {
			c.send(m, it)
		}
	}
	if reg := c.registers[r.id]; reg != nil && reg.hasRecord && reg.accepted == r.ballot {
		if !reg.committed {
			c.setCommitted(r.id, reg)
		}
	} else if reg == nil || !reg.hasRecord || reg.accepted.Less(r.ballot) {
		c.setRecord(r.id, c.registerOf(r.id), r.ballot, &r.record, true)
	}
	c.finishRound(r, r.record, true)
}

// finishRound reports the results to the callers of a round, and starts the next round if
// changes are queued.
func (c *Core) finishRound(r *round, rec wire.Record, exists bool) {
	finished := r.applied
	r.applied = nil
	for _, pending := range finished {
		c.workload.changes[pending.class].completed++
	}
	if r.attempts == 0 {
		c.limiter.completed(c.now-r.startedAt, c.now)
	}
	if len(r.queued) == 0 {
		c.endRound(r)
	} else {
		r.attempts, r.startedAt = 0, c.now
		c.startRound(r)
	}
	for _, pending := range finished {
		if pending.onResult != nil {
			pending.onResult(rec, exists, pending.result)
		}
	}
}

// backOff ends an attempt and schedules the next one after a random, growing delay, so that
// the member that came first can finish.
func (c *Core) backOff(r *round) {
	r.queued, r.applied = append(r.applied, r.queued...), nil
	r.phase = phaseBackoff
	r.attempts++
	if r.refusedForLease != 0 {
		// A forced claim is not retried here: reconciliation proposes it again once the lease has
		// expired.
		for _, pending := range r.queued {
			if pending.op.kind == opClaim {
				pending.deadline = c.now
			}
		}
	}
	for _, pending := range r.queued {
		if pending.op.background && r.attempts >= 2 {
			pending.deadline = c.now // another member is making the change
		}
	}
	maxDelay := 60 * time.Millisecond << min(r.attempts, 5)
	if r.refusedForLease != 0 {
		maxDelay += 500 * time.Millisecond
	}
	r.retryAt = c.now + 10*time.Millisecond + time.Duration(c.rng.Int64N(int64(maxDelay)))
}

// tickRounds repeats unanswered requests, starts new attempts, and ends changes whose
// deadline has passed. A change that was ended may still take effect.
func (c *Core) tickRounds() {
	for _, id := range sortedKeys(c.rounds) {
		r := c.rounds[id]
		if r == nil || !c.expireChanges(r) {
			continue
		}
		switch {
		case r.phase == phaseWaiting:
		case r.phase == phaseBackoff:
			if c.now >= r.retryAt {
				c.startRound(r)
			}
		case r.nackedBy != 0 && c.now-r.lastSent >= max(resendInterval, c.limiter.latency):
			c.backOff(r)
		case r.nackedBy == 0 && c.now-r.lastSent >= resendInterval:
			c.sendRound(r)
		}
	}
}

// expireChanges ends the changes of a round whose deadline has passed. It returns false if
// none is left; then the round has ended too.
func (c *Core) expireChanges(r *round) bool {
	timedOut := false
	expire := func(changes []*pendingChange) []*pendingChange {
		var live []*pendingChange
		for _, pending := range changes {
			waits := r.phase == phaseWaiting && pending.class == backgroundChange
			if waits || c.now < pending.deadline {
				live = append(live, pending)
				continue
			}
			timedOut = true
			c.workload.changes[pending.class].givenUp++
			if pending.onResult != nil {
				pending.onResult(wire.Record{}, false, resultUnknown)
			}
			if r.phase == phaseAccepting && pending.class == userChange {
				// The stores have most of it: that it is completed costs less than to begin anew
				// when the user asks again.
				live = append(live, &pendingChange{op: pending.op, class: backgroundChange, deadline: c.now + backgroundTimeout, result: pending.result})
			}
		}
		return live
	}
	r.queued, r.applied = expire(r.queued), expire(r.applied)
	if timedOut && r.attempts == 0 && r.phase != phaseWaiting {
		c.limiter.decrease(c.now)
	}
	if len(r.queued) == 0 && len(r.applied) == 0 {
		c.endRound(r)
		return false
	}
	return true
}

// sortedKeys returns the keys of a map in order. It is used wherever the order of iteration
// has an effect, so that the same seed gives the same run.
func sortedKeys[V any](m map[string]V) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// bitCount returns the number of bits that are set.
func bitCount(mask uint32) int {
	n := 0
	for ; mask != 0; mask &= mask - 1 {
		n++
	}
	return n
}
