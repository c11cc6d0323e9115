package gateway

import (
	"slices"
	"time"

	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// A round is one member's attempt to change one record: promises of a majority,
// the highest record accepted so far with the changes applied, and its acceptance
// by a majority. One round a job is under way at a member; what comes meanwhile
// waits for the next.

type roundPhase uint8

const (
	phaseBackoff roundPhase = iota
	phasePreparing
	phaseAccepting
)

type pendingChange struct {
	op       op
	deadline time.Duration // the caller's patience
	onResult func(rec wire.Record, exists bool, o opResult)
	result   opResult
}

type round struct {
	id              string
	phase           roundPhase
	ballot          wire.Ballot
	votes           uint32 // members that promised or accepted
	highest         wire.Item
	matching        int // promises that agree with best
	record          wire.Record
	applied         []*pendingChange // part of what is being accepted
	queued          []*pendingChange
	lastSent        time.Duration
	retryAt         time.Duration
	attempts        int
	refusedForLease uint32 // members that refused for a lease
	nackedBy        uint32
}

// propose asks for a change of a job's record. then, if not nil, is told how it
// ended, once.
func (c *Core) propose(id string, change op, timeout time.Duration, onResult func(wire.Record, bool, opResult)) {
	pending := &pendingChange{op: change, deadline: c.now + timeout, onResult: onResult}
	r := c.rounds[id]
	if r == nil {
		r = &round{id: id}
		c.rounds[id] = r
		r.queued = append(r.queued, pending)
		c.startRound(r)
		return
	}
	r.queued = append(r.queued, pending)
}

// startRound begins a round under a ballot above all that were seen.
func (c *Core) startRound(r *round) {
	c.maxBallotNumber++
	r.ballot = wire.Ballot{Number: c.maxBallotNumber, Proposer: c.incarnation<<8 | uint32(c.cfg.Self)}
	r.phase, r.votes, r.nackedBy, r.refusedForLease = phasePreparing, 0, 0, 0
	r.highest, r.matching = wire.Item{}, 0
	c.sendRound(r)
}

// sendRound sends a round's question to all that have not answered it.
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

func (c *Core) onVote(r *round, from int, it *wire.Item) {
	if it.Ballot != r.ballot || r.phase == phaseBackoff {
		return
	}
	switch {
	case it.Kind == wire.Nack:
		c.counts.Nacks++
		c.maxBallotNumber = max(c.maxBallotNumber, it.Accepted.Number)
		r.nackedBy |= memberBit(from)
		if it.Code == wire.LeaseActive {
			r.refusedForLease |= memberBit(from)
			// Somebody else hears the site. To ask again and again would cost every
			// member a stored promise a job.
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

// keepHighest keeps, of what members say they accepted, what has the highest ballot, and
// counts how many say the same.
func keepHighest(highest *wire.Item, matching *int, it *wire.Item) {
	switch {
	case it.HasRecord && (!highest.HasRecord || highest.Accepted.Less(it.Accepted)):
		*highest, *matching = *it, 1
	case it.HasRecord && it.Accepted == highest.Accepted:
		*matching++
		highest.Committed = highest.Committed || it.Committed
	}
}

// proposeRecord applies the changes that wait to the record that a majority's promises
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
		// Nothing to change, and what there is has been agreed on.
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

// applyAgreed takes in what a majority agreed on earlier.
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
	// Not accepted here. What a majority has agreed on may be taken in whatever was
	// promised meanwhile: every higher proposal is made from it anyway.
	c.setRecord(id, r, agreed.Accepted, &agreed.Record, true)
}

// committed: a majority has accepted the round's record. From now on every round
// starts from it.
func (c *Core) onMajorityAccepted(r *round) {
	it := wire.Item{Kind: wire.Commit, ID: r.id, Ballot: r.ballot}
	for m := range c.cfg.Members {
		if m != c.cfg.Self {
			c.send(m, it)
		}
	}
	if register := c.registers[r.id]; register != nil && register.hasRecord && register.accepted == r.ballot {
		if !register.committed {
			c.setCommitted(r.id, register)
		}
	} else if register == nil || !register.hasRecord || register.accepted.Less(r.ballot) {
		c.setRecord(r.id, c.registerOf(r.id), r.ballot, &r.record, true)
	}
	c.finishRound(r, r.record, true)
}

// finishRound tells the round's callers, and begins the next round if others wait.
func (c *Core) finishRound(r *round, rec wire.Record, exists bool) {
	finished := r.applied
	r.applied = nil
	if len(r.queued) == 0 {
		delete(c.rounds, r.id)
	} else {
		r.attempts = 0
		c.startRound(r)
	}
	for _, pending := range finished {
		if pending.onResult != nil {
			pending.onResult(rec, exists, pending.result)
		}
	}
}

// backOff leaves the way to whoever came first, for a random while that grows.
func (c *Core) backOff(r *round) {
	r.queued, r.applied = append(r.applied, r.queued...), nil
	r.phase = phaseBackoff
	r.attempts++
	if r.refusedForLease != 0 {
		// A forced claim is for whoever cares to try anew, when the lease is over.
		for _, pending := range r.queued {
			if pending.op.kind == opClaim {
				pending.deadline = c.now
			}
		}
	}
	for _, pending := range r.queued {
		if pending.op.background && r.attempts >= 2 {
			pending.deadline = c.now // somebody else is at it
		}
	}
	maxDelay := 60 * time.Millisecond << min(r.attempts, 5)
	if r.refusedForLease != 0 {
		maxDelay += 500 * time.Millisecond
	}
	r.retryAt = c.now + 10*time.Millisecond + time.Duration(c.rng.Int64N(int64(maxDelay)))
}

// tickRounds sends again, begins anew, and gives up what its callers wait for no
// more. What was given up may still come true.
func (c *Core) tickRounds() {
	for _, id := range sortedKeys(c.rounds) {
		r := c.rounds[id]
		expire := func(changes []*pendingChange) []*pendingChange {
			var live []*pendingChange
			for _, pending := range changes {
				if c.now < pending.deadline {
					live = append(live, pending)
				} else if pending.onResult != nil {
					pending.onResult(wire.Record{}, false, resultUnknown)
				}
			}
			return live
		}
		r.queued, r.applied = expire(r.queued), expire(r.applied)
		switch {
		case len(r.queued) == 0 && len(r.applied) == 0:
			delete(c.rounds, id)
		case r.phase == phaseBackoff && c.now >= r.retryAt:
			c.startRound(r)
		case r.phase != phaseBackoff && c.now-r.lastSent >= resendInterval:
			if r.nackedBy != 0 {
				c.backOff(r)
			} else {
				c.sendRound(r)
			}
		}
	}
}

// sortedKeys is how maps are walked where something follows from the order: the
// same seed gives the same history.
func sortedKeys[V any](m map[string]V) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func bitCount(mask uint32) int {
	n := 0
	for ; mask != 0; mask &= mask - 1 {
		n++
	}
	return n
}
