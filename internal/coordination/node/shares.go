package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
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

// mostMoves is how many machines one plan names.
const mostMoves = 60

// planMoves tells holders of shares without waiting tasks to hand free
// machines to shares with them: those that what waits could use, beyond what
// is free where it waits. Work of guest teams is no reason to keep a machine from
// work with a guarantee, and gets only machines that nobody needs.
func (n *Node) planMoves(now time.Time) {
	mv := n.moves(now)
	if len(mv.Moves) == 0 {
		return
	}
	n.log.Info("moves planned", "machines", len(mv.Moves))
	// On the condition of the plan before: an earlier plan that is executed late would hand
	// over machines by what was wanted then.
	n.submit(&storage.Op{For: uint8(forMoves), Conds: []storage.Cond{n.cond(protocol.HolderKey(0)), n.cond(protocol.MovesKey)},
		Writes: []storage.Write{{Put: protocol.MovesKey, Value: mustJSON(mv)}}}, func(storage.Result) {})
}

// claimed says whether work with a guarantee waits for machines in a share.
func (n *Node) claimed(share int, now time.Time) bool {
	return slices.ContainsFunc(n.shares[share].jobs, func(j *job) bool { return !n.guest(j) && n.wants(j, now) > 0 })
}

// anyClaimed says whether work with a guarantee waits in any share.
func (n *Node) anyClaimed(now time.Time) bool {
	return slices.ContainsFunc(n.shares, func(s *share) bool { return n.claimed(s.index, now) })
}

// keeps says whether a job of a machine's own share that is as urgent waits for it.
func (n *Node) keeps(m *machine, rank int, now time.Time) bool {
	t := n.types[m.rec.Type]
	if t == nil {
		return true
	}
	return slices.ContainsFunc(n.shares[m.rec.Share].jobs, func(j *job) bool {
		return !n.guest(j) && j.rank <= rank && n.wants(j, now) > 0 && decide.SizeOf(t).Times(j.need) > 0 &&
			decide.Allowed(j.spec, offer{Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot})
	})
}

// outranked says whether all that is on a machine is less urgent than a rank, and may be
// stopped.
func (n *Node) outranked(m *machine, rank int) bool {
	for k := range m.on {
		t := &k.job.tasks[k.task]
		if k.job.rank <= rank || k.job.spec.Shape == protocol.Gang && len(k.job.tasks) > 1 || t.phase != placed {
			return false
		}
	}
	return true
}

// shifts says whether what is as urgent on a machine needs none of its GPUs and could run
// elsewhere in its share, and the rest may be stopped.
func (n *Node) shifts(m *machine, rank int, now time.Time) bool {
	return n.view(n.shares[m.rec.Share], now).Shifts(n.factsOf(m), rank)
}

// reserveTime is how long nothing is placed on a machine that guests' work is being
// moved off, so that it can be handed over.
const reserveTime = 12 * time.Second

// onMoves hands over the machines of ours that are still free: placing there
// stops first, then one conditional write moves them under a new token. Guests' work
// is stopped first; the machine goes when it has left, by a later plan.
func (n *Node) onMoves(mv protocol.Moves) {
	type path struct{ from, to int }
	going := map[path][]*machine{}
	now := time.Now()
	for _, x := range mv.Moves {
		m := n.machines[x.Machine]
		if m == nil || !m.known || m.moving || m.returning || m.gone ||
			x.Share < 0 || x.Share >= len(n.shares) || x.Share == m.rec.Share || !n.mine(n.shares[m.rec.Share]) ||
			n.keeps(m, x.Rank, now) || x.Spare && (m.needed || n.shareWaits(m.rec.Share, now)) ||
			!m.fenced && n.shares[m.rec.Share].square.Unheard(m.name) {
			continue
		}
		if len(m.on) > 0 {
			if guests := n.onlyGuests(m) && !n.claimed(m.rec.Share, now); !x.Spare && (guests || n.outranked(m, x.Rank) || n.shifts(m, x.Rank, now)) && !n.stopping(m) {
				n.log.Info("work stopped for another share", "machine", m.name, "tasks", len(m.on), "share", x.Share, "guests", guests)
				m.avoidTill = now.Add(reserveTime)
				n.touch(m)
				for k := range m.on {
					n.stopTask(k.job, k.task)
				}
				n.stopNow(m)
			}
			continue
		}
		if m.batch.busy {
			continue
		}
		p := path{m.rec.Share, x.Share}
		going[p] = append(going[p], m)
	}
	for p, ms := range going {
		if k := n.allowed(start.Move, len(ms)); k > 0 {
			n.move(ms[:k], p.from, p.to)
		}
	}
}

// move hands machines of one share to another in one conditional write.
func (n *Node) move(ms []*machine, from, to int) {
	token := n.counter + 1
	key := protocol.BatchKey(fmt.Sprintf("m-%d-%d", to, token))
	moved := protocol.BatchRecord{Share: to, Token: token}
	left := map[*batch]map[string]bool{}
	room := n.batchSize(ms[0].rec)
	for _, m := range ms {
		// The new batch, the counter and each batch that shrinks are a write each.
		if left[m.batch] == nil && m.batch.busy {
			continue
		}
		if left[m.batch] == nil && len(left)+3 > n.cfg.Params.State.TxnOps || len(moved.Machines) == room {
			continue
		}
		if left[m.batch] == nil {
			left[m.batch] = map[string]bool{}
		}
		left[m.batch][m.name] = true
		m.moving = true
		n.touch(m)
		rec := m.rec
		rec.Addr = m.addr
		moved.Machines = append(moved.Machines, rec)
	}
	if len(left) == 0 {
		return
	}
	// The new batch first: a machine is never seen without one.
	op := &storage.Op{
		For:   uint8(forMoves),
		Conds: []storage.Cond{n.cond(protocol.HolderKey(from)), {Key: key}, n.cond(protocol.CounterKey)},
		Writes: []storage.Write{
			{Put: key, Value: mustJSON(moved)},
			{Put: protocol.CounterKey, Value: mustJSON(protocol.CounterRecord{Token: token})},
		},
	}
	for b, names := range left {
		b.busy = true
		op.Conds = append(op.Conds, n.cond(b.key))
		op.Writes = append(op.Writes, b.write(func(r *protocol.MachineRecord) bool { return !names[r.Name] }))
	}
	n.submit(op, func(r storage.Result) {
		for b := range left {
			b.busy = false
		}
		for _, rec := range moved.Machines {
			if m := n.machines[rec.Name]; m != nil {
				m.moving = false
				n.touch(m)
			}
		}
		n.log.Info("machines moved", "machines", len(moved.Machines), "from", from, "to", to, "ok", r.OK)
	})
}

// shareWaits says whether a share has tasks that wait for a machine.
func (n *Node) shareWaits(share int, now time.Time) bool {
	return slices.ContainsFunc(n.shares[share].jobs, func(j *job) bool { return n.wants(j, now) > 0 })
}
