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

// leaseTTL is how long a node's shares outlive its last renewal.
const leaseTTL = 3 * time.Second

// maintainLease holds a lease and renews it; every key that says what this node
// holds hangs on it.
func (n *Node) maintainLease(ctx context.Context) {
	var lease uint64
	for ctx.Err() == nil {
		wait := leaseTTL / 4
		if lease == 0 && n.incarnations.supersededBy.Load() != 0 {
			wait = 300 * time.Millisecond // a later life of this node is there
		} else if lease == 0 {
			id, err := n.store.Grant(ctx, leaseTTL)
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
	var held []*partition
	for _, s := range n.partitions {
		if n.owns(s) {
			held = append(held, s)
		}
	}
	n.lease = id
	n.incarnations.hintLease.Store(id)
	if id == 0 {
		for _, s := range held {
			n.onPartitionLost(s)
		}
		n.noteOverload(len(held), time.Now())
		return
	}
	n.incarnations.ownLeases[id] = true
	n.register()
}

// owns says whether this node, in this life, holds a share.
func (n *Node) owns(s *partition) bool {
	return n.lease != 0 && s.owner.Token != 0 && s.owner.Node == n.cfg.Node && s.owner.Lease == n.lease
}

func (n *Node) ownedPartitionCount() int {
	c := 0
	for _, s := range n.partitions {
		if n.owns(s) {
			c++
		}
	}
	return c
}

// isLeader says whether this node makes the moves and returns strays: the holder
// of the first share does.
func (n *Node) isLeader() bool { return n.owns(n.partitions[0]) }

// applyOwnerRecord takes in the stored record of who holds a share. Of this node's own record the
// answer to its change, or a read of that key alone, tells sooner than the watch does; it
// counts only once the replica is complete up to its revision, so that everything earlier
// holders stored is known by then, and nothing they try later can be stored. (A standby whose
// watch was some seconds late started tasks again whose users had just been told that they
// were cancelled.)
func (n *Node) applyOwnerRecord(s *partition, h protocol.OwnerRecord) {
	s.unconfirmedOwner = nil
	if h.Node == n.cfg.Node && h != s.owner && n.revisions[protocol.OwnerKey(s.index)] > n.completeRevision {
		s.unconfirmedOwner = &h
		n.wakeWatch()
		return
	}
	n.setOwner(s, h)
}

// advanceReplica takes note that the replica is complete up to a revision.
func (n *Node) advanceReplica(revision uint64) {
	n.completeRevision = max(n.completeRevision, revision)
	for _, s := range n.partitions {
		if s.unconfirmedOwner != nil && n.revisions[protocol.OwnerKey(s.index)] <= n.completeRevision {
			n.applyOwnerRecord(s, *s.unconfirmedOwner)
		}
	}
}

// ownerChanging says whether a change of who holds a share is under way at this node.
func (s *partition) ownerChanging() bool { return s.ownerChangePending || s.unconfirmedOwner != nil }

// setOwner changes who holds a share.
func (n *Node) setOwner(s *partition, h protocol.OwnerRecord) {
	if h == s.owner {
		return
	}
	was, earlier := n.owns(s), s.owner
	s.owner = h
	now := time.Now()
	if h.Token == 0 {
		s.vacantSince = now
	}
	if earlier.Token != 0 {
		s.previousOwner = earlier.Node
	}
	// What decisions see changes for its machines and the jobs on them, and for no
	// others: a change of a holder costs the share and not the fleet.
	for _, m := range s.machines {
		m.unfence()
		n.markStale(m)
	}
	if was {
		n.onPartitionLost(s)
	}
	if n.owns(s) {
		s.acquiredAt = now
		n.recordTakeover(s, earlier, now)
		n.log.Info("share taken", "share", s.index, "token", h.Token, "cause", s.takeover.cause, "gap_s", s.takeover.gap.Seconds())
		for _, j := range s.jobs {
			// A gang of which an earlier holder recorded only a part, or took a part
			// back, cannot start: the rest must go before its next attempt.
			j.abortAttempt = j.spec.Shape == protocol.Gang && j.nPlaced > 0 && j.nWaiting() > 0
			n.discardOutcomes(j)
			if n.hasPendingUpdate(j) {
				n.dirty[j] = true
			}
			j.history.addEvent(now, "its share was taken by "+n.cfg.Node)
		}
		n.tickets.ownershipAcquired(s.index)
		for _, m := range s.machines {
			m.trackedSince, m.lastFencedReport = now, time.Time{}
			m.moving, m.returning, m.spotNotice = false, false, false
		}
		n.beginReconciliation(s, now)
	}
}

// hasPendingUpdate says whether something stored of a job asks for a change by whoever holds
// its share. All others have nothing to store when the share is taken: with all of them
// looked at in each turn until their time had come, a start cost the jobs times the
// events.
func (n *Node) hasPendingUpdate(j *job) bool {
	return j.cancelled || j.failed || j.step != nil || j.nDone+j.nExhausted > 0 && (j.spec.Shape == protocol.Gang || j.nDone+j.nExhausted == len(j.tasks)) || len(j.dirtyChunks) > 0
}

// onPartitionLost drops what only a share's holder may have in hand.
func (n *Node) onPartitionLost(s *partition) {
	n.log.Info("share lost", "share", s.index)
	s.reconciliation = nil
	for _, m := range s.machines {
		n.rejectDeferred(m)
	}
	for _, j := range s.jobs {
		if !j.writePending {
			n.revertProposals(j)
		}
	}
}

// tickPartitions takes vacant shares, hands some to idle nodes, and plans moves.
func (n *Node) tickPartitions(now time.Time) {
	if n.lease == 0 || n.sinceContact(now) > 2*time.Second || n.standby.leaving {
		return
	}
	if n.nodeRecordStale() {
		n.register()
	}
	n.assignStandbys(now)
	n.checkSuspectedPeers(now)
	held := n.ownedPartitionCount()
	for _, s := range n.partitions {
		if s.owner.Token != 0 || s.ownerChanging() || n.hasCorruptOwner(s) {
			continue
		}
		if now.Sub(s.vacantSince) >= n.takeoverDelay(s, held, now) && n.mayTake(s, held, now) {
			n.takePartition(s)
			held++
		}
	}
	n.updateChangeRate(now)
	n.rebalance(now)
	if n.isLeader() && now.Sub(n.lastMove).Seconds() >= n.policy.MoveS && n.partitions[0].reconciliation.Phase() == start.Serving {
		n.lastMove = now
		n.planMoves(now)
	}
}

// leastChanges is the rate of changes that every node counts for, so that it can
// begin to make some.
const leastChanges = 2

// updateChangeRate takes this node's part of the rate of changes: by what it would make and
// what the others say that they would. With equal parts a swarm of single jobs used
// up the part of the node that had just come back, to which the load balancer sent
// all of it, and of the holder of their share, while the others had plenty.
func (n *Node) updateChangeRate(now time.Time) {
	gone := now.Sub(n.changeDemand.lastUpdate).Seconds()
	if gone < 1 {
		return
	}
	asked := n.rateLimiter.Requested()
	behind := n.pendingUserChanges + n.totalPendingWrites()
	dirty := map[int]bool{}
	for j := range n.dirty {
		// Those of a share are stored together, if they may be.
		if !n.unguaranteed(j) && !(n.mayWriteEntries() && dirty[j.partition]) {
			behind++
			dirty[j.partition] = true
		}
	}
	would := float64(asked-n.changeDemand.lastRequested)/gone + float64(behind)/3
	n.changeDemand.lastUpdate, n.changeDemand.lastRequested = now, asked
	n.changeDemand.perSecond.Store((n.changeDemand.perSecond.Load() + min(would, n.rateLimiter.TotalRate())) / 2)
	own := leastChanges + n.changeDemand.perSecond.Load()
	all := own
	for name, s := range n.peers {
		if n.receivesHints(name, now) {
			all += leastChanges + s.changeRate
		} else if _, lives := n.liveNodes[name]; lives {
			all += leastChanges + n.rateLimiter.TotalRate()/float64(len(n.liveNodes))
		}
	}
	n.rateLimiter.SetFraction(own / all)
}

// takeoverDelay staggers the nodes, so that a vacant share goes to its standby, or, when
// nobody has held it since this node began, to the one with the fewest, and every share
// has a first candidate.
func (n *Node) takeoverDelay(s *partition, held int, now time.Time) time.Duration {
	if s.previousOwner != "" && now.Sub(n.startedAt) > 6*time.Second {
		d := n.standby.standbys[s.index].TakeoverDelay(n.cfg.Node) + n.extraTakeDelay(held, now)
		if n.reachability.workersUnreachable.Load() {
			d += blindDelay
		}
		return d
	}
	names := []string{n.cfg.Node}
	for _, sib := range n.cfg.Peers {
		names = append(names, sib.Node)
	}
	slices.Sort(names)
	turn := (slices.Index(names, n.cfg.Node) + len(names) - s.index%len(names)) % len(names)
	d := time.Duration(held)*500*time.Millisecond + time.Duration(turn)*150*time.Millisecond
	if now.Sub(n.startedAt) < 6*time.Second && turn > 0 {
		d += 1500 * time.Millisecond
	}
	if n.reachability.workersUnreachable.Load() {
		d += blindDelay
	}
	return d + n.extraTakeDelay(held, now)
}

// blindDelay is how much later a node that hears no workers takes a share: only
// if no other node wants it.
const blindDelay = 8 * time.Second

// takePartition stores this node as the holder, with a token above all earlier ones, if what else
// is asked for holds.
func (n *Node) takePartition(s *partition, also ...storage.Cond) {
	s.ownerChangePending = true
	token := n.tokenCounter + 1
	key := protocol.OwnerKey(s.index)
	op := &storage.Op{
		Conds: append([]storage.Cond{n.unchanged(key), n.unchanged(protocol.TokenCounterKey)}, also...),
		Writes: []storage.Write{
			{Put: key, Value: mustJSON(protocol.OwnerRecord{Node: n.cfg.Node, Token: token, Lease: n.lease}), Lease: n.lease},
			{Put: protocol.TokenCounterKey, Value: mustJSON(protocol.TokenCounterRecord{Token: token})},
		},
	}
	n.submit(op, func(storage.Result) { s.ownerChangePending = false })
}

// submit queues a change that somebody waits for. Its outcome is in the replica when
// then is called on the actor.
func (n *Node) submit(op *storage.Op, then func(storage.Result)) {
	n.submitTo(n.urgentCommitter, op, then)
}

// submitTo queues a change of a level.
func (n *Node) submitTo(level *storage.Committer, op *storage.Op, then func(storage.Result)) {
	op.Done = func(r storage.Result) {
		n.post(func() {
			if r.OK {
				for _, w := range op.Writes {
					n.applyOwnWrite(w, r.Revision)
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

// rebalance gives a share up if another live node holds none: the small
// controllers have little processor time each.
func (n *Node) rebalance(now time.Time) {
	if now.Sub(n.lastRelease) < 5*time.Second {
		return
	}
	var last *partition
	holds := map[string]int{}
	for _, s := range n.partitions {
		if s.ownerChanging() || s.owner.Token == 0 {
			return
		}
		if s.owner.Node == n.cfg.Node && !n.owns(s) {
			return // held by this node's former self until its lease ends
		}
		holds[s.owner.Node]++
		if n.owns(s) {
			if now.Sub(s.acquiredAt) < 5*time.Second {
				return
			}
			last = s
		}
	}
	if holds[n.cfg.Node] < 2 {
		return
	}
	for node, since := range n.liveNodes {
		if node != n.cfg.Node && holds[node] == 0 && now.Sub(since) > 4*time.Second && n.canTakeOver(node, now) {
			n.releasePartition(last, "another node holds none", now)
			return
		}
	}
}

// releasePartition lets others take a share.
func (n *Node) releasePartition(s *partition, why string, now time.Time) {
	n.log.Info("share given up", "share", s.index, "why", why)
	n.lastRelease = now
	s.ownerChangePending = true
	key := protocol.OwnerKey(s.index)
	n.submit(&storage.Op{Conds: []storage.Cond{n.unchanged(key)}, Writes: []storage.Write{{Delete: key}}},
		func(storage.Result) {
			s.ownerChangePending = false
			s.vacantSince = time.Now().Add(time.Second) // others first
		})
}
