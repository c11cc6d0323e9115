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

// leaseTTL is the TTL of a node's lease: its partitions stay owned for this long after the last
// renewal.
const leaseTTL = 3 * time.Second

// maintainLease acquires this node's lease and renews it. Every key that records this node as an
// owner is attached to the lease and is deleted with it.
func (n *Node) maintainLease(ctx context.Context) {
	var lease uint64
	for ctx.Err() == nil {
		wait := leaseTTL / 4
		if lease == 0 && n.incarnations.supersededBy.Load() != 0 {
			wait = 300 * time.Millisecond // a later process of this node has registered
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

// setLease applies a newly granted lease, or the loss of the lease and of all owned partitions if id
// is 0.
func (n *Node) setLease(id uint64) {
	var owned []*partition
	for _, p := range n.partitions {
		if n.owns(p) {
			owned = append(owned, p)
		}
	}
	n.lease = id
	n.incarnations.hintLease.Store(id)
	if id == 0 {
		for _, p := range owned {
			n.onPartitionLost(p)
		}
		n.noteOverload(len(owned), time.Now())
		return
	}
	n.incarnations.ownLeases[id] = true
	n.register()
}

// owns reports whether this process of the node owns a partition.
func (n *Node) owns(p *partition) bool {
	return n.lease != 0 && p.owner.Token != 0 && p.owner.Node == n.cfg.Node && p.owner.Lease == n.lease
}

func (n *Node) ownedPartitionCount() int {
	count := 0
	for _, p := range n.partitions {
		if n.owns(p) {
			count++
		}
	}
	return count
}

// isLeader reports whether this node is the leader, that is, the owner of partition 0. The leader
// does what one node must do for all, such as planning moves of machines and adopting or returning
// machines without a record.
func (n *Node) isLeader() bool { return n.owns(n.partitions[0]) }

// applyOwnerRecord applies the stored record of a partition's owner. A record that names this node
// can arrive before the watch has delivered earlier changes: as the answer to this node's own write
// or from a read of that key alone. It takes effect only once the replica is complete up to its
// revision. By then everything that earlier owners stored is known, and their later writes fail.
// Without this, a standby whose watch was some seconds behind restarted tasks whose users had just
// been told that they were cancelled.
func (n *Node) applyOwnerRecord(p *partition, record protocol.OwnerRecord) {
	p.unconfirmedOwner = nil
	if record.Node == n.cfg.Node && record != p.owner && n.revisions[protocol.OwnerKey(p.index)] > n.completeRevision {
		p.unconfirmedOwner = &record
		n.wakeWatch()
		return
	}
	n.setOwner(p, record)
}

// advanceReplica records that the replica is complete up to a revision, and applies owner records
// that waited for it.
func (n *Node) advanceReplica(revision uint64) {
	n.completeRevision = max(n.completeRevision, revision)
	for _, p := range n.partitions {
		if p.unconfirmedOwner != nil && n.revisions[protocol.OwnerKey(p.index)] <= n.completeRevision {
			n.applyOwnerRecord(p, *p.unconfirmedOwner)
		}
	}
}

// ownerChanging reports whether a change of the partition's owner is in progress at this node.
func (p *partition) ownerChanging() bool { return p.ownerChangePending || p.unconfirmedOwner != nil }

// setOwner changes the owner of a partition.
func (n *Node) setOwner(p *partition, record protocol.OwnerRecord) {
	if record == p.owner {
		return
	}
	wasOwner, previous := n.owns(p), p.owner
	p.owner = record
	now := time.Now()
	if record.Token == 0 {
		p.vacantSince = now
	}
	if previous.Token != 0 {
		p.previousOwner = previous.Node
	}
	// Only the decision facts of the partition's machines and of the jobs on them change, so the
	// cost of an ownership change depends on the size of the partition and not of the fleet.
	for _, m := range p.machines {
		m.unfence()
		n.markStale(m)
	}
	if wasOwner {
		n.onPartitionLost(p)
	}
	n.discardForeignOutcomes(p)
	if n.owns(p) {
		p.acquiredAt = now
		n.recordTakeover(p, previous, now)
		n.log.Info("share taken", "share", p.index, "token", record.Token, "cause", p.takeover.cause, "gap_s", p.takeover.gap.Seconds())
		for _, j := range p.jobs {
			// If an earlier owner recorded or withdrew only part of a gang, the gang cannot start:
			// its remaining tasks must end before the next attempt.
			j.abortAttempt = j.spec.Shape == protocol.Gang && j.nPlaced > 0 && j.nWaiting() > 0
			n.discardOutcomes(j)
			if n.hasPendingUpdate(j) {
				n.dirty[j] = true
			}
			j.history.addEvent(now, "its share was taken by "+n.cfg.Node)
		}
		n.tickets.ownershipAcquired(p.index)
		for _, m := range p.machines {
			m.trackedSince, m.lastFencedReport = now, time.Time{}
			m.moving, m.returning, m.spotNotice = false, false, false
		}
		n.beginReconciliation(p, now)
	}
}

// hasPendingUpdate reports whether the stored state of a job requires a change by the owner of its
// partition. When a partition is taken over, only these jobs are marked for storing. Marking all of
// them made a startup cost the number of jobs times the number of events, since each job was
// examined in every turn until it was due.
func (n *Node) hasPendingUpdate(j *job) bool {
	return j.cancelled || j.failed || j.step != nil || j.nDone+j.nExhausted > 0 && (j.spec.Shape == protocol.Gang || j.nDone+j.nExhausted == len(j.tasks)) || len(j.dirtyChunks) > 0
}

// onPartitionLost drops the state that only a partition's owner may keep.
func (n *Node) onPartitionLost(p *partition) {
	n.log.Info("share lost", "share", p.index)
	p.reconciliation = nil
	for _, m := range p.machines {
		n.rejectDeferred(m)
	}
	n.discardForeignOutcomes(p)
	for _, j := range p.jobs {
		if !j.writePending {
			n.revertProposals(j)
		}
	}
}

// tickPartitions takes over partitions without an owner, releases one to a node that owns none, and
// plans moves of machines.
func (n *Node) tickPartitions(now time.Time) {
	if n.lease == 0 || n.sinceContact(now) > 2*time.Second || n.standby.leaving {
		return
	}
	if n.nodeRecordStale() {
		n.register()
	}
	n.assignStandbys(now)
	n.checkSuspectedPeers(now)
	owned := n.ownedPartitionCount()
	for _, p := range n.partitions {
		if p.owner.Token != 0 || p.ownerChanging() || n.hasCorruptOwner(p) {
			continue
		}
		if now.Sub(p.vacantSince) >= n.takeoverDelay(p, owned, now) && n.mayTake(p, owned, now) {
			n.takePartition(p)
			owned++
		}
	}
	n.updateChangeRate(now)
	n.rebalance(now)
	if n.isLeader() && now.Sub(n.lastMove).Seconds() >= n.policy.MoveS && n.partitions[0].reconciliation.Phase() == start.Serving {
		n.lastMove = now
		n.planMoves(now)
	}
}

// minChangeRate is the rate of changes that every node is credited with, so that an idle node can
// begin to make changes.
const minChangeRate = 2

// updateChangeRate sets this node's fraction of the total rate of changes, from the rate that it
// needs and the rates that its peers report. With equal fractions a burst of single jobs exhausted
// the fraction of a node that had just come back, to which the load balancer sent all of them, and
// that of the owner of their partition, while the other nodes had capacity left.
func (n *Node) updateChangeRate(now time.Time) {
	elapsed := now.Sub(n.changeDemand.lastUpdate).Seconds()
	if elapsed < 1 {
		return
	}
	requested := n.rateLimiter.Requested()
	backlog := n.pendingUserChanges + n.totalPendingWrites()
	dirty := map[int]bool{}
	for j := range n.dirty {
		// With packed records the changes of one partition are stored together.
		if !n.unguaranteed(j) && !(n.mayWriteEntries() && dirty[j.partition]) {
			backlog++
			dirty[j.partition] = true
		}
	}
	needed := float64(requested-n.changeDemand.lastRequested)/elapsed + float64(backlog)/3
	n.changeDemand.lastUpdate, n.changeDemand.lastRequested = now, requested
	n.changeDemand.perSecond.Store((n.changeDemand.perSecond.Load() + min(needed, n.rateLimiter.TotalRate())) / 2)
	ownRate := minChangeRate + n.changeDemand.perSecond.Load()
	totalRate := ownRate
	for name, other := range n.peers {
		if n.receivesHints(name, now) {
			totalRate += minChangeRate + other.changeRate
		} else if _, isLive := n.liveNodes[name]; isLive {
			totalRate += minChangeRate + n.rateLimiter.TotalRate()/float64(len(n.liveNodes))
		}
	}
	n.rateLimiter.SetFraction(ownRate / totalRate)
}

// takeoverDelay returns how long this node waits before it takes over a partition without an owner.
// The delays are staggered so that each partition has a first candidate: its standby, or, if the
// partition has had no owner since this node started, the node that owns the fewest.
func (n *Node) takeoverDelay(p *partition, owned int, now time.Time) time.Duration {
	if p.previousOwner != "" && now.Sub(n.startedAt) > 6*time.Second {
		delay := n.standby.standbys[p.index].TakeoverDelay(n.cfg.Node) + n.extraTakeDelay(owned, now)
		if n.reachability.workersUnreachable.Load() {
			delay += noWorkersDelay
		}
		return delay
	}
	names := []string{n.cfg.Node}
	for _, other := range n.cfg.Siblings {
		names = append(names, other.Node)
	}
	slices.Sort(names)
	rank := (slices.Index(names, n.cfg.Node) + len(names) - p.index%len(names)) % len(names)
	delay := time.Duration(owned)*500*time.Millisecond + time.Duration(rank)*150*time.Millisecond
	if now.Sub(n.startedAt) < 6*time.Second && rank > 0 {
		delay += 1500 * time.Millisecond
	}
	if n.reachability.workersUnreachable.Load() {
		delay += noWorkersDelay
	}
	return delay + n.extraTakeDelay(owned, now)
}

// noWorkersDelay is the additional delay before a node that hears no workers takes over a
// partition, so that it does so only if no other node wants the partition.
const noWorkersDelay = 8 * time.Second

// takePartition stores this node as the owner of a partition, with a token above all earlier ones,
// provided that the additional conditions hold.
func (n *Node) takePartition(p *partition, conditions ...storage.Cond) {
	p.ownerChangePending = true
	token, reservation := n.reserveTokens()
	key := protocol.OwnerKey(p.index)
	op := &storage.Op{
		Conds: append([]storage.Cond{n.unchanged(key), n.unchanged(protocol.TokenCounterKey)}, conditions...),
		Writes: []storage.Write{
			{Put: key, Value: mustJSON(protocol.OwnerRecord{Node: n.cfg.Node, Token: token, Lease: n.lease, ReservedTokens: reservedTokens}), Lease: n.lease},
			reservation,
		},
	}
	n.submit(op, func(storage.Result) { p.ownerChangePending = false })
}

// submit queues a change that somebody waits for. Its outcome is in the replica when the callback
// runs on the actor.
func (n *Node) submit(op *storage.Op, callback func(storage.Result)) {
	n.submitTo(n.urgentCommitter, op, callback)
}

// submitTo queues a change at a priority level.
func (n *Node) submitTo(level *storage.Committer, op *storage.Op, callback func(storage.Result)) {
	op.Done = func(r storage.Result) {
		n.post(func() {
			if r.OK {
				for _, w := range op.Writes {
					n.applyOwnWrite(w, r.Revision)
				}
				callback(r)
				return
			}
			n.resync(r.Failed, func([]storage.Item, error) { callback(r) })
		})
	}
	if !level.Submit(op) {
		callback(storage.Result{Err: storage.ErrRefused})
	}
}

// rebalance releases a partition if another live node owns none, since controllers are small and
// have little CPU time each.
func (n *Node) rebalance(now time.Time) {
	if now.Sub(n.lastRelease) < 5*time.Second {
		return
	}
	var candidate *partition
	owned := map[string]int{}
	for _, p := range n.partitions {
		if p.ownerChanging() || p.owner.Token == 0 {
			return
		}
		if p.owner.Node == n.cfg.Node && !n.owns(p) {
			return // owned by an earlier process of this node until its lease ends
		}
		owned[p.owner.Node]++
		if n.owns(p) {
			if now.Sub(p.acquiredAt) < 5*time.Second {
				return
			}
			candidate = p
		}
	}
	if owned[n.cfg.Node] < 2 {
		return
	}
	for node, since := range n.liveNodes {
		if node != n.cfg.Node && owned[node] == 0 && now.Sub(since) > 4*time.Second && n.canTakeOver(node, now) {
			n.releasePartition(candidate, "another node owns none", now)
			return
		}
	}
}

// releasePartition gives up the ownership of a partition so that another node can take it over.
func (n *Node) releasePartition(p *partition, reason string, now time.Time) {
	n.log.Info("share given up", "share", p.index, "why", reason)
	n.lastRelease = now
	p.ownerChangePending = true
	key := protocol.OwnerKey(p.index)
	n.submit(&storage.Op{Conds: []storage.Cond{n.unchanged(key)}, Writes: []storage.Write{{Delete: key}}},
		func(storage.Result) {
			p.ownerChangePending = false
			p.vacantSince = time.Now().Add(time.Second) // let other nodes take it over first
		})
}
