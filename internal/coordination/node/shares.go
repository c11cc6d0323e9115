package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/start"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// leaseLife is how long a node's shares outlive its last renewal.
const leaseLife = 3 * time.Second

// keepLease holds a lease and renews it; every key that says what this node
// holds hangs on it.
func (n *Node) keepLease(ctx context.Context) {
	var lease uint64
	for ctx.Err() == nil {
		wait := leaseLife / 4
		if lease == 0 && n.lives.other.Load() != 0 {
			wait = 300 * time.Millisecond // a later life of this node is there
		} else if lease == 0 {
			id, err := n.store.Grant(ctx, leaseLife)
			if err == nil {
				lease = id
				n.post(func() { n.setLease(id) })
			} else {
				wait = 400 * time.Millisecond
			}
		} else if err := n.store.Renew(ctx, lease); errors.Is(err, storage.ErrNoLease) {
			n.log.Info("lease lost", "lease", lease)
			lease = 0
			n.post(func() { n.setLease(0) })
			wait = 0
		} else if err != nil {
			wait = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (n *Node) setLease(id uint64) {
	var held []*share
	for _, s := range n.shares {
		if n.mine(s) {
			held = append(held, s)
		}
	}
	n.lease = id
	n.lives.hinted.Store(id)
	if id == 0 {
		for _, s := range held {
			n.lost(s)
		}
		n.overloaded(len(held), time.Now())
		return
	}
	n.lives.own[id] = true
	n.enter()
}

// mine says whether this node, in this life, holds a share.
func (n *Node) mine(s *share) bool {
	return n.lease != 0 && s.holder.Token != 0 && s.holder.Node == n.cfg.Node && s.holder.Lease == n.lease
}

func (n *Node) heldShares() int {
	c := 0
	for _, s := range n.shares {
		if n.mine(s) {
			c++
		}
	}
	return c
}

// leads says whether this node makes the moves and returns strays: the holder
// of the first share does.
func (n *Node) leads() bool { return n.mine(n.shares[0]) }

// readHolder takes in the stored record of who holds a share. Of this node's own record the
// answer to its change, or a read of that key alone, tells sooner than the watch does; it
// counts only once the replica is complete up to its revision, so that everything earlier
// holders stored is known by then, and nothing they try later can be stored. (A standby whose
// watch was some seconds late started tasks again whose users had just been told that they
// were cancelled.)
func (n *Node) readHolder(s *share, h protocol.HolderRecord) {
	s.acquired = nil
	if h.Node == n.cfg.Node && h != s.holder && n.ver[protocol.HolderKey(s.index)] > n.caught {
		s.acquired = &h
		n.hastenWatch()
		return
	}
	n.setHolder(s, h)
}

// completeTo takes note that the replica is complete up to a revision.
func (n *Node) completeTo(revision uint64) {
	n.caught = max(n.caught, revision)
	for _, s := range n.shares {
		if s.acquired != nil && n.ver[protocol.HolderKey(s.index)] <= n.caught {
			n.readHolder(s, *s.acquired)
		}
	}
}

// changesHands says whether a change of who holds a share is under way at this node.
func (s *share) changesHands() bool { return s.pending || s.acquired != nil }

// setHolder changes who holds a share.
func (n *Node) setHolder(s *share, h protocol.HolderRecord) {
	if h == s.holder {
		return
	}
	was, earlier := n.mine(s), s.holder
	s.holder = h
	now := time.Now()
	if h.Token == 0 {
		s.vacant = now
	}
	if earlier.Token != 0 {
		s.before = earlier.Node
	}
	// What decisions see changes for its machines and the jobs on them, and for no
	// others: a change of a holder costs the share and not the fleet.
	for _, m := range s.machines {
		m.unfence()
		n.touch(m)
	}
	if was {
		n.lost(s)
	}
	if n.mine(s) {
		s.taken = now
		n.takenOver(s, earlier, now)
		n.log.Info("share taken", "share", s.index, "token", h.Token, "cause", s.taking.cause, "gap_s", s.taking.gap.Seconds())
		for _, j := range s.jobs {
			// A gang of which an earlier holder recorded only a part, or took a part
			// back, cannot start: the rest must go before its next attempt.
			j.abandon = j.spec.Shape == protocol.Gang && j.nPlaced > 0 && j.nWaiting() > 0
			n.forgetFacts(j)
			if n.unfinished(j) {
				n.dirty[j] = true
			}
			j.story.tell(now, "its share was taken by "+n.cfg.Node)
		}
		n.tickets.takenOver(s.index)
		for _, m := range s.machines {
			m.added, m.heard = now, time.Time{}
			m.moving, m.returning, m.notice = false, false, false
		}
		n.beginSquare(s, now)
	}
}

// unfinished says whether something stored of a job asks for a change by whoever holds
// its share. All others have nothing to store when the share is taken: with all of them
// looked at in each turn until their time had come, a start cost the jobs times the
// events.
func (n *Node) unfinished(j *job) bool {
	return j.cancelled || j.failed || j.step != nil || j.nDone+j.nSpent > 0 && (j.spec.Shape == protocol.Gang || j.nDone+j.nSpent == len(j.tasks)) || len(j.taskChunk) > 0
}

// lost drops what only a share's holder may have in hand.
func (n *Node) lost(s *share) {
	n.log.Info("share lost", "share", s.index)
	s.square = nil
	for _, m := range s.machines {
		n.unpark(m)
	}
	for _, j := range s.jobs {
		if !j.busy {
			n.revert(j)
		}
	}
}

// tickShares takes vacant shares, hands some to idle nodes, and plans moves.
func (n *Node) tickShares(now time.Time) {
	if n.lease == 0 || n.sinceContact(now) > 2*time.Second || n.standing.leaving {
		return
	}
	if n.unsaid() {
		n.enter()
	}
	n.assignStandbys(now)
	n.askIfEnded(now)
	held := n.heldShares()
	for _, s := range n.shares {
		if s.holder.Token != 0 || s.changesHands() || n.corruptShare(s) {
			continue
		}
		if now.Sub(s.vacant) >= n.takeDelay(s, held, now) && n.mayTake(s, held, now) {
			n.take(s)
			held++
		}
	}
	n.partPace(now)
	n.balance(now)
	if n.leads() && now.Sub(n.lastMove).Seconds() >= n.policy.MoveS && n.shares[0].square.Phase() == start.Serving {
		n.lastMove = now
		n.planMoves(now)
	}
}

// leastChanges is the rate of changes that every node counts for, so that it can
// begin to make some.
const leastChanges = 2

// partPace takes this node's part of the rate of changes: by what it would make and
// what the others say that they would. With equal parts a swarm of single jobs used
// up the part of the node that had just come back, to which the load balancer sent
// all of it, and of the holder of their share, while the others had plenty.
func (n *Node) partPace(now time.Time) {
	gone := now.Sub(n.rate.last).Seconds()
	if gone < 1 {
		return
	}
	asked := n.pace.Asked()
	behind := n.asked + n.storingAll()
	dirty := map[int]bool{}
	for j := range n.dirty {
		// Those of a share are stored together, if they may be.
		if !n.guest(j) && !(n.packs() && dirty[j.share]) {
			behind++
			dirty[j.share] = true
		}
	}
	would := float64(asked-n.rate.lastAsked)/gone + float64(behind)/3
	n.rate.last, n.rate.lastAsked = now, asked
	n.rate.changes.Store((n.rate.changes.Load() + min(would, n.pace.Total())) / 2)
	own := leastChanges + n.rate.changes.Load()
	all := own
	for name, s := range n.siblings {
		if n.hears(name, now) {
			all += leastChanges + s.changes
		} else if _, lives := n.nodes[name]; lives {
			all += leastChanges + n.pace.Total()/float64(len(n.nodes))
		}
	}
	n.pace.SetPart(own / all)
}

// takeDelay staggers the nodes, so that a vacant share goes to its standby, or, when
// nobody has held it since this node began, to the one with the fewest, and every share
// has a first candidate.
func (n *Node) takeDelay(s *share, held int, now time.Time) time.Duration {
	if s.before != "" && now.Sub(n.started) > 6*time.Second {
		d := n.standing.pairs[s.index].After(n.cfg.Node) + n.squareDelay(held, now)
		if n.eyes.blind.Load() {
			d += blindDelay
		}
		return d
	}
	names := []string{n.cfg.Node}
	for _, sib := range n.cfg.Siblings {
		names = append(names, sib.Node)
	}
	slices.Sort(names)
	turn := (slices.Index(names, n.cfg.Node) + len(names) - s.index%len(names)) % len(names)
	d := time.Duration(held)*500*time.Millisecond + time.Duration(turn)*150*time.Millisecond
	if now.Sub(n.started) < 6*time.Second && turn > 0 {
		d += 1500 * time.Millisecond
	}
	if n.eyes.blind.Load() {
		d += blindDelay
	}
	return d + n.squareDelay(held, now)
}

// blindDelay is how much later a node that hears no workers takes a share: only
// if no other node wants it.
const blindDelay = 8 * time.Second

// take stores this node as the holder, with a token above all earlier ones, if what else
// is asked for holds.
func (n *Node) take(s *share, also ...storage.Cond) {
	s.pending = true
	token := n.counter + 1
	key := protocol.HolderKey(s.index)
	op := &storage.Op{
		Conds: append([]storage.Cond{n.cond(key), n.cond(protocol.CounterKey)}, also...),
		Writes: []storage.Write{
			{Put: key, Value: mustJSON(protocol.HolderRecord{Node: n.cfg.Node, Token: token, Lease: n.lease}), Lease: n.lease},
			{Put: protocol.CounterKey, Value: mustJSON(protocol.CounterRecord{Token: token})},
		},
	}
	n.submit(op, func(storage.Result) { s.pending = false })
}

// submit queues a change that somebody waits for. Its outcome is in the replica when
// then is called on the actor.
func (n *Node) submit(op *storage.Op, then func(storage.Result)) { n.submitTo(n.press, op, then) }

// submitTo queues a change of a level.
func (n *Node) submitTo(level *storage.Committer, op *storage.Op, then func(storage.Result)) {
	op.Done = func(r storage.Result) {
		n.post(func() {
			if r.OK {
				for _, w := range op.Writes {
					n.learn(w, r.Epoch)
				}
				then(r)
				return
			}
			n.resync(r.Failed, func([]storage.Item, error) { then(r) })
		})
	}
	if !level.Submit(op) {
		then(storage.Result{Err: storage.ErrRefused})
	}
}

// balance gives a share up if another live node holds none: the small
// controllers have little processor time each.
func (n *Node) balance(now time.Time) {
	if now.Sub(n.lastRelease) < 5*time.Second {
		return
	}
	var last *share
	holds := map[string]int{}
	for _, s := range n.shares {
		if s.changesHands() || s.holder.Token == 0 {
			return
		}
		if s.holder.Node == n.cfg.Node && !n.mine(s) {
			return // held by this node's former self until its lease ends
		}
		holds[s.holder.Node]++
		if n.mine(s) {
			if now.Sub(s.taken) < 5*time.Second {
				return
			}
			last = s
		}
	}
	if holds[n.cfg.Node] < 2 {
		return
	}
	for node, since := range n.nodes {
		if node != n.cfg.Node && holds[node] == 0 && now.Sub(since) > 4*time.Second && n.serves(node, now) {
			n.giveUp(last, "another node holds none", now)
			return
		}
	}
}

// giveUp lets others take a share.
func (n *Node) giveUp(s *share, why string, now time.Time) {
	n.log.Info("share given up", "share", s.index, "why", why)
	n.lastRelease = now
	s.pending = true
	key := protocol.HolderKey(s.index)
	n.submit(&storage.Op{Conds: []storage.Cond{n.cond(key)}, Writes: []storage.Write{{Delete: key}}},
		func(storage.Result) {
			s.pending = false
			s.vacant = time.Now().Add(time.Second) // others first
		})
}
