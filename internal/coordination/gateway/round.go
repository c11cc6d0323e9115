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

type phase uint8

const (
	backoff phase = iota
	preparing
	accepting
)

type change struct {
	op    op
	until time.Duration // the caller's patience
	then  func(rec wire.Record, exists bool, o outcome)
	got   outcome
}

type round struct {
	id       string
	phase    phase
	ballot   wire.Ballot
	votes    uint32 // members that promised or accepted
	best     wire.Item
	same     int // promises that agree with best
	rec      wire.Record
	now      []*change // part of what is being accepted
	queue    []*change
	sent     time.Duration
	wakeAt   time.Duration
	tries    int
	leased   uint32 // members that refused for a lease
	nackedBy uint32
}

// propose asks for a change of a job's record. then, if not nil, is told how it
// ended, once.
func (c *Core) propose(id string, o op, patience time.Duration, then func(wire.Record, bool, outcome)) {
	ch := &change{op: o, until: c.now + patience, then: then}
	r := c.rounds[id]
	if r == nil {
		r = &round{id: id}
		c.rounds[id] = r
		r.queue = append(r.queue, ch)
		c.prepare(r)
		return
	}
	r.queue = append(r.queue, ch)
}

// prepare begins a round under a ballot above all that were seen.
func (c *Core) prepare(r *round) {
	c.topN++
	r.ballot = wire.Ballot{N: c.topN, Who: c.inc<<8 | uint32(c.cfg.Self)}
	r.phase, r.votes, r.nackedBy, r.leased = preparing, 0, 0, 0
	r.best, r.same = wire.Item{}, 0
	c.sendRound(r)
}

// sendRound sends a round's question to all that have not answered it.
func (c *Core) sendRound(r *round) {
	r.sent = c.now
	it := wire.Item{Kind: wire.Prepare, ID: r.id, Ballot: r.ballot}
	for _, ch := range r.queue {
		it.Record.Prev = max(it.Record.Prev, ch.op.from)
	}
	if r.phase == accepting {
		it.Kind, it.Exists, it.Record = wire.Accept, true, r.rec
	}
	for m := range c.cfg.Members {
		if r.votes&bit(m) == 0 {
			c.post(m, it)
		}
	}
}

func (c *Core) onVote(r *round, from int, it *wire.Item) {
	if it.Ballot != r.ballot || r.phase == backoff {
		return
	}
	switch {
	case it.Kind == wire.Nack:
		c.counts.Nacks++
		c.topN = max(c.topN, it.Accepted.N)
		r.nackedBy |= bit(from)
		if it.Why == wire.Leased {
			r.leased |= bit(from)
			// Somebody else hears the site. To ask again and again would cost every
			// member a stored promise a job.
			for _, ch := range append(r.queue, r.now...) {
				if f := ch.op.from; f != 0 && c.grants[f-1] != nil {
					l := c.grants[f-1]
					l.hold, l.contested = c.now+time.Second, true
				}
			}
		}
		if len(c.cfg.Members)-ones(r.nackedBy) < c.majority() {
			c.retreat(r)
		}
	case it.Kind == wire.Promise && r.phase == preparing && r.votes&bit(from) == 0:
		r.votes |= bit(from)
		highest(&r.best, &r.same, it)
		if ones(r.votes) >= c.majority() {
			c.decide(r)
		}
	case it.Kind == wire.Accepted && r.phase == accepting:
		r.votes |= bit(from)
		if ones(r.votes) >= c.majority() {
			c.committed(r)
		}
	}
}

// highest keeps, of what members say they accepted, what has the highest ballot, and
// counts how many say the same.
func highest(best *wire.Item, same *int, it *wire.Item) {
	switch {
	case it.Exists && (!best.Exists || best.Accepted.Less(it.Accepted)):
		*best, *same = *it, 1
	case it.Exists && it.Accepted == best.Accepted:
		*same++
		best.Committed = best.Committed || it.Committed
	}
}

// decide applies the changes that wait to the record that a majority's promises
// show, and proposes the result.
func (c *Core) decide(r *round) {
	rec, exists := r.best.Record, r.best.Exists
	any := false
	for _, ch := range r.queue {
		next, o := apply(rec, exists, ch.op)
		if c.cfg.Faults.OverwriteFinal && rec.Final != wire.Open && (ch.op.kind == opFinish || ch.op.kind == opCancel) {
			reopened := rec
			reopened.Final = wire.Open
			next, o = apply(reopened, exists, ch.op)
		}
		if c.cfg.Faults.IgnoreEpoch && ch.op.kind == opClaim && o == refused && rec.Final == wire.Open {
			next, o = rec, changed
			next.Epoch, next.Holder, next.Stopped = rec.Epoch+1, num(ch.op.site), false
		}
		ch.got = o
		if o == changed {
			rec, exists, any = next, true, true
		}
	}
	r.now, r.queue = append(r.now, r.queue...), nil
	if !any && (!exists || r.best.Committed || r.same >= c.majority()) {
		// Nothing to change, and what there is has been agreed on.
		if exists {
			c.learned(r.id, &r.best)
		}
		c.finish(r, rec, exists)
		return
	}
	r.rec = rec
	r.phase, r.votes = accepting, 0
	c.sendRound(r)
}

// learned takes in what a majority agreed on earlier.
func (c *Core) learned(id string, best *wire.Item) {
	r := c.reg(id)
	if r.exists && r.accepted == best.Accepted {
		if !r.committed {
			c.setCommitted(id, r)
		}
		return
	}
	if r.exists && best.Accepted.Less(r.accepted) {
		return
	}
	// Not accepted here. What a majority has agreed on may be taken in whatever was
	// promised meanwhile: every higher proposal is made from it anyway.
	c.adopt(id, r, best.Accepted, &best.Record, true)
}

// committed: a majority has accepted the round's record. From now on every round
// starts from it.
func (c *Core) committed(r *round) {
	it := wire.Item{Kind: wire.Commit, ID: r.id, Ballot: r.ballot}
	for m := range c.cfg.Members {
		if m != c.cfg.Self {
			c.post(m, it)
		}
	}
	if own := c.regs[r.id]; own != nil && own.exists && own.accepted == r.ballot {
		if !own.committed {
			c.setCommitted(r.id, own)
		}
	} else if own == nil || !own.exists || own.accepted.Less(r.ballot) {
		c.adopt(r.id, c.reg(r.id), r.ballot, &r.rec, true)
	}
	c.finish(r, r.rec, true)
}

// finish tells the round's callers, and begins the next round if others wait.
func (c *Core) finish(r *round, rec wire.Record, exists bool) {
	done := r.now
	r.now = nil
	if len(r.queue) == 0 {
		delete(c.rounds, r.id)
	} else {
		r.tries = 0
		c.prepare(r)
	}
	for _, ch := range done {
		if ch.then != nil {
			ch.then(rec, exists, ch.got)
		}
	}
}

// retreat leaves the way to whoever came first, for a random while that grows.
func (c *Core) retreat(r *round) {
	r.queue, r.now = append(r.now, r.queue...), nil
	r.phase = backoff
	r.tries++
	if r.leased != 0 {
		// A forced claim is for whoever cares to try anew, when the lease is over.
		for _, ch := range r.queue {
			if ch.op.kind == opClaim {
				ch.until = c.now
			}
		}
	}
	for _, ch := range r.queue {
		if ch.op.care && r.tries >= 2 {
			ch.until = c.now // somebody else is at it
		}
	}
	span := 60 * time.Millisecond << min(r.tries, 5)
	if r.leased != 0 {
		span += 500 * time.Millisecond
	}
	r.wakeAt = c.now + 10*time.Millisecond + time.Duration(c.rng.Int64N(int64(span)))
}

// tickRounds sends again, begins anew, and gives up what its callers wait for no
// more. What was given up may still come true.
func (c *Core) tickRounds() {
	for _, id := range sortedKeys(c.rounds) {
		r := c.rounds[id]
		keep := func(chs []*change) []*change {
			var left []*change
			for _, ch := range chs {
				if c.now < ch.until {
					left = append(left, ch)
				} else if ch.then != nil {
					ch.then(wire.Record{}, false, unknown)
				}
			}
			return left
		}
		r.queue, r.now = keep(r.queue), keep(r.now)
		switch {
		case len(r.queue) == 0 && len(r.now) == 0:
			delete(c.rounds, id)
		case r.phase == backoff && c.now >= r.wakeAt:
			c.prepare(r)
		case r.phase != backoff && c.now-r.sent >= resend:
			if r.nackedBy != 0 {
				c.retreat(r)
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

func ones(x uint32) int {
	n := 0
	for ; x != 0; x &= x - 1 {
		n++
	}
	return n
}
