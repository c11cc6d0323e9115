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
func (c *Core) propose(id string, o op, patience time.Duration, then func(wire.Record, bool, opResult)) {
	ch := &pendingChange{op: o, deadline: c.now + patience, onResult: then}
	r := c.rounds[id]
	if r == nil {
		r = &round{id: id}
		c.rounds[id] = r
		r.queued = append(r.queued, ch)
		c.startRound(r)
		return
	}
	r.queued = append(r.queued, ch)
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
	for _, ch := range r.queued {
		it.Record.PrevOwner = max(it.Record.PrevOwner, ch.op.forcedFrom)
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
			for _, ch := range append(r.queued, r.applied...) {
				if f := ch.op.forcedFrom; f != 0 && c.grants[f-1] != nil {
					l := c.grants[f-1]
					l.noClaimBefore, l.grantedByOthers = c.now+time.Second, true
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
func keepHighest(best *wire.Item, same *int, it *wire.Item) {
	switch {
	case it.HasRecord && (!best.HasRecord || best.Accepted.Less(it.Accepted)):
		*best, *same = *it, 1
	case it.HasRecord && it.Accepted == best.Accepted:
		*same++
		best.Committed = best.Committed || it.Committed
	}
}

// proposeRecord applies the changes that wait to the record that a majority's promises
// show, and proposes the result.
func (c *Core) proposeRecord(r *round) {
	rec, exists := r.highest.Record, r.highest.HasRecord
	any := false
	for _, ch := range r.queued {
		next, o := applyOp(rec, exists, ch.op)
		if c.cfg.Faults.OverwriteFinal && rec.Outcome != wire.Open && (ch.op.kind == opFinish || ch.op.kind == opCancel) {
			reopened := rec
			reopened.Outcome = wire.Open
			next, o = applyOp(reopened, exists, ch.op)
		}
		if c.cfg.Faults.IgnoreEpoch && ch.op.kind == opClaim && o == resultRefused && rec.Outcome == wire.Open {
			next, o = rec, resultChanged
			next.Epoch, next.Owner, next.Stopped = rec.Epoch+1, memberNumber(ch.op.site), false
		}
		ch.result = o
		if o == resultChanged {
			rec, exists, any = next, true, true
		}
	}
	r.applied, r.queued = append(r.applied, r.queued...), nil
	if !any && (!exists || r.highest.Committed || r.matching >= c.majority()) {
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
func (c *Core) applyAgreed(id string, best *wire.Item) {
	r := c.registerOf(id)
	if r.hasRecord && r.accepted == best.Accepted {
		if !r.committed {
			c.setCommitted(id, r)
		}
		return
	}
	if r.hasRecord && best.Accepted.Less(r.accepted) {
		return
	}
	// Not accepted here. What a majority has agreed on may be taken in whatever was
	// promised meanwhile: every higher proposal is made from it anyway.
	c.setRecord(id, r, best.Accepted, &best.Record, true)
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
	if own := c.registers[r.id]; own != nil && own.hasRecord && own.accepted == r.ballot {
		if !own.committed {
			c.setCommitted(r.id, own)
		}
	} else if own == nil || !own.hasRecord || own.accepted.Less(r.ballot) {
		c.setRecord(r.id, c.registerOf(r.id), r.ballot, &r.record, true)
	}
	c.finishRound(r, r.record, true)
}

// finishRound tells the round's callers, and begins the next round if others wait.
func (c *Core) finishRound(r *round, rec wire.Record, exists bool) {
	done := r.applied
	r.applied = nil
	if len(r.queued) == 0 {
		delete(c.rounds, r.id)
	} else {
		r.attempts = 0
		c.startRound(r)
	}
	for _, ch := range done {
		if ch.onResult != nil {
			ch.onResult(rec, exists, ch.result)
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
		for _, ch := range r.queued {
			if ch.op.kind == opClaim {
				ch.deadline = c.now
			}
		}
	}
	for _, ch := range r.queued {
		if ch.op.background && r.attempts >= 2 {
			ch.deadline = c.now // somebody else is at it
		}
	}
	span := 60 * time.Millisecond << min(r.attempts, 5)
	if r.refusedForLease != 0 {
		span += 500 * time.Millisecond
	}
	r.retryAt = c.now + 10*time.Millisecond + time.Duration(c.rng.Int64N(int64(span)))
}

// tickRounds sends again, begins anew, and gives up what its callers wait for no
// more. What was given up may still come true.
func (c *Core) tickRounds() {
	for _, id := range sortedKeys(c.rounds) {
		r := c.rounds[id]
		keep := func(chs []*pendingChange) []*pendingChange {
			var left []*pendingChange
			for _, ch := range chs {
				if c.now < ch.deadline {
					left = append(left, ch)
				} else if ch.onResult != nil {
					ch.onResult(wire.Record{}, false, resultUnknown)
				}
			}
			return left
		}
		r.queued, r.applied = keep(r.queued), keep(r.applied)
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

func bitCount(x uint32) int {
	n := 0
	for ; x != 0; x &= x - 1 {
		n++
	}
	return n
}
