package node

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/standby"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
	"dapplestage.example/dapplestage/internal/transport"
)

// The actor's part of the standby protocol: the state that an owner sends to its peers because it
// is not in the state service, what a standby keeps of it, when a partition is taken over, and what
// must hold before the first decision. See docs/standby.md.

// standbyState is this node's view of the standbys of each partition.
type standbyState struct {
	standbys      map[int]standby.Standbys // by partition
	suspicions    *standby.Suspicions
	presumedEnded map[string]time.Time        // peers whose process is presumed to have ended, and since when
	outgoing      atomic.Pointer[hintPayload] // sent with the next hints; read by other goroutines
	nextMachine   int                         // index of the owned machine that the last hint ended with
	seq           uint64
	leaving       bool // this node is shutting down and hands its partitions over
}

// hintPayload is the part of a hint that is meant for standbys.
type hintPayload struct {
	seq      uint64
	machines []protocol.MachineHint
	refused  []protocol.RefusedOffer
	// Jobs that are being cancelled. An owner that cannot read the cancellation from the state
	// service stops their tasks because of this.
	cancelled []protocol.CancelledJob
}

// takeover records how the present owner came to own a partition and whether it has made its first
// decision.
type takeover struct {
	cause     standby.Cause
	gap       time.Duration // since the previous owner was last heard from
	blockedBy standby.Check // what the first decision waits for
	decided   bool
}

// machinesPerHint is the number of machines in one hint. With it the 1,372 machines of three owners
// are covered every four seconds, at 4 KB a second and peer.
const machinesPerHint = 120

// prepareMachineHints prepares the machine data of the owned partitions for the next hints.
func (n *Node) prepareMachineHints(now time.Time) {
	state := &n.standby
	state.seq++
	payload := &hintPayload{seq: state.seq}
	var machines []*machine
	for _, p := range n.partitions {
		if n.owns(p) {
			machines = append(machines, p.machines...)
		}
	}
	for range min(machinesPerHint, len(machines)) {
		state.nextMachine = (state.nextMachine + 1) % len(machines)
		if m := machines[state.nextMachine]; !m.lastReport.IsZero() {
			payload.machines = append(payload.machines, protocol.MachineHint{Machine: m.name, SecPerGB: m.secPerGB, AgeS: now.Sub(m.lastReport).Seconds()})
		}
	}
	payload.cancelled = n.cancelledJobsForHint()
	for refused, till := range n.cloudState.refusedUntil {
		if remaining := till.Sub(now); remaining > 0 {
			payload.refused = append(payload.refused, protocol.RefusedOffer{Type: refused.Type, Zone: refused.Zone, Spot: refused.Spot, ForS: remaining.Seconds()})
		}
	}
	state.outgoing.Store(payload)
}

const (
	maxSecPerGB = 1000.0 // a larger value in a hint is invalid
	maxRefusalS = 30.0
)

// applyMachineHints applies a peer's hint about machines that it owns. The data may be outdated or
// wrong: it improves cost estimates and the order in which machines are polled, and is never proof
// of anything.
func (n *Node) applyMachineHints(name string, sender *peer, hint *protocol.Hint, now time.Time) {
	if hint.Incarnation == 0 || hint.Incarnation != n.incarnations.leaseOf[name] {
		return // from an earlier process, or from one whose node record has not been read yet
	}
	if hint.Incarnation == sender.incarnation && hint.Seq <= sender.seq {
		return // outdated or a duplicate
	}
	if hint.Incarnation == sender.incarnation && hint.Seq > sender.seq+1 {
		sender.sequenceGaps++
	}
	sender.incarnation, sender.seq, sender.lastNewHint = hint.Incarnation, hint.Seq, now
	for _, k := range hint.Machines {
		m := n.machines[k.Machine]
		if m == nil || !m.recorded || n.owns(n.partitions[m.rec.Partition]) || n.partitions[m.rec.Partition].owner.Node != name {
			continue
		}
		if k.SecPerGB > 0 && k.SecPerGB <= maxSecPerGB {
			m.secPerGB = k.SecPerGB
			n.markStale(m)
		}
		if k.AgeS >= 0 && k.AgeS <= n.cfg.Params.Workers.LeaseS {
			m.lastReport = now.Add(-n.seconds(k.AgeS))
		}
		m.lastHint = now
	}
	n.applyCancelHints(name, hint.CancelledJobs)
	sender.refusedOffers = sender.refusedOffers[:0]
	for _, r := range hint.RefusedOffers {
		if r.ForS > 0 && r.ForS <= maxRefusalS {
			sender.refusedOffers = append(sender.refusedOffers, refusedOffer{offer{Type: r.Type, Zone: r.Zone, Spot: r.Spot}, now.Add(n.seconds(r.ForS))})
		}
	}
}

// refusedOffer is an offer that the cloud refused a peer, and the time until which it is not
// requested again. It applies to this node once it takes over that peer's partition.
type refusedOffer struct {
	offer
	until time.Time
}

// StandbyFreshness is how much a standby knows of a partition beyond the stored records.
type StandbyFreshness struct {
	AgeS          float64 `json:"age_s"` // age of the owner's last hint; -1: none received
	SequenceGaps  int     `json:"gaps"`  // gaps in the sequence numbers of its hints so far; not reset when its process is replaced
	KnownFraction float64 `json:"known"` // fraction of the running machines that recent hints covered
}

// machineHintMaxAge is the age up to which a hint about a machine counts for the freshness of a
// standby.
const machineHintMaxAge = 20 * time.Second

// standbyFreshness returns how much this node knows of a partition that another node owns.
func (n *Node) standbyFreshness(p *partition, now time.Time) StandbyFreshness {
	freshness := StandbyFreshness{AgeS: -1}
	owner := n.peers[p.owner.Node]
	if owner == nil || owner.lastNewHint.IsZero() {
		return freshness
	}
	running, known := 0, 0
	for _, m := range p.machines {
		if m.rec.Addr != "" {
			running++
			if now.Sub(m.lastHint) < machineHintMaxAge {
				known++
			}
		}
	}
	freshness.AgeS, freshness.SequenceGaps = roundToTenth(now.Sub(owner.lastNewHint).Seconds()), owner.sequenceGaps
	if freshness.KnownFraction = 1; running > 0 {
		freshness.KnownFraction = float64(known) / float64(running)
	}
	return freshness
}

// OnConnEvent records a connection event from the sender of hints to a peer. A refused connection
// shows that the peer's host is reachable, and so most likely are the workers on its side of the
// network.
func (n *Node) OnConnEvent(node string, event transport.ConnEvent) {
	n.post(func() {
		other := n.peers[node]
		if other == nil {
			return
		}
		switch now := time.Now(); event {
		case transport.ConnLost:
			other.connLostAt = now
		case transport.ConnRefused:
			other.connRefusedAt = now
		}
	})
}

// assignStandbys recomputes the standbys of each partition from the stored records and the hints
// received.
func (n *Node) assignStandbys(now time.Time) {
	var partitions []standby.Partition
	owned := map[string]int{}
	for _, p := range n.partitions {
		partitions = append(partitions, standby.Partition{Index: p.index, Owner: p.owner.Node})
		if p.owner.Token != 0 {
			owned[p.owner.Node]++
		}
	}
	var nodes []standby.Node
	for name := range n.liveNodes {
		candidate := standby.Node{Name: name, Zone: n.cfg.Zone, Owned: owned[name]}
		if other := n.peers[name]; other != nil {
			candidate.Zone, candidate.Impaired = other.zone, n.receivesHints(name, now) && (other.workersUnreachable || !other.stateOK)
		} else if name == n.cfg.Node {
			candidate.Impaired = n.reachability.workersUnreachable.Load()
		}
		nodes = append(nodes, candidate)
	}
	for i, p := range standby.AssignStandbys(partitions, nodes, n.standby.standbys) {
		if previous := n.standby.standbys[i]; p != previous && (p.First == n.cfg.Node || previous.First == n.cfg.Node) {
			n.log.Info("standby", "share", i, "first", p.First, "second", p.Second)
		}
		n.standby.standbys[i] = p
	}
}

// checkSuspectedPeers challenges peers that seem to have ended, through the state service, and
// takes over the partitions of those that do not answer.
func (n *Node) checkSuspectedPeers(now time.Time) {
	mayAsk := n.lease != 0 && !n.standby.leaving && n.sinceContact(now) < time.Second && now.Sub(n.reachability.stallEnded) > stallThreshold
	for name, suspect := range n.peers {
		evidence := standby.PeerEvidence{LastHint: suspect.lastHint, ConnLostAt: suspect.connLostAt, ConnRefusedAt: suspect.connRefusedAt, Revision: n.revisionOf(protocol.NodeKey(name))}
		isStandby := false
		for _, p := range n.partitions {
			if p.owner.Token != 0 && p.owner.Node == name {
				evidence.OwnsPartition = true
				pair := n.standby.standbys[p.index]
				isStandby = isStandby || pair.First == n.cfg.Node || pair.Second == n.cfg.Node
			}
		}
		evidence.OwnsPartition = evidence.OwnsPartition && isStandby
		ask, ended := n.standby.suspicions.Evaluate(name, evidence, mayAsk, now)
		if ask {
			n.log.Info("asked whether it lives", "sibling", name)
			key := protocol.LivenessCheckKey(name)
			n.submit(&storage.Op{Writes: []storage.Write{{Put: key, Value: mustJSON(protocol.LivenessCheckRecord{RequestedBy: n.cfg.Node}), Lease: n.lease}}},
				func(r storage.Result) { n.standby.suspicions.CheckStored(name, r.OK, time.Now()) })
		}
		if !ended {
			delete(n.standby.presumedEnded, name)
			continue
		}
		if _, known := n.standby.presumedEnded[name]; !known {
			n.standby.presumedEnded[name] = now
			n.log.Info("has ended, by all evidence", "sibling", name, "silent_s", roundToTenth(now.Sub(suspect.lastHint).Seconds()))
		}
		for _, p := range n.partitions {
			if p.owner.Token != 0 && p.owner.Node == name && !p.ownerChanging() && now.Sub(n.standby.presumedEnded[name]) >= n.standby.standbys[p.index].TakeoverDelay(n.cfg.Node) {
				// The condition makes the takeover fail if the owner answers before it is stored.
				n.takePartition(p, n.unchanged(protocol.NodeKey(name)))
			}
		}
	}
}

// answerLivenessCheck answers a peer that suspects this node of having ended.
func (n *Node) answerLivenessCheck(by string) {
	if by == n.cfg.Node || n.lease == 0 || n.standby.leaving {
		return
	}
	n.log.Info("answered that it lives", "asked_by", by)
	n.storeNodeRecord()
}

// recordTakeover records how a partition came to this node.
func (n *Node) recordTakeover(p *partition, previous protocol.OwnerRecord, now time.Time) {
	p.takeover = takeover{cause: standby.AtStart, blockedBy: standby.Check(math.MaxUint8)}
	previousOwner := n.peers[p.previousOwner]
	switch {
	case previous.Token != 0:
		p.takeover.cause = standby.ProcessEnded
	case previousOwner == nil || p.vacantSince.Sub(n.loadControl.followingSince) < leaseTTL:
		return // vacant since this node started: the other nodes start too, and release the leases of their earlier processes
	case p.vacantSince.Sub(previousOwner.lastHint) < leaseTTL*3/4:
		p.takeover.cause = standby.HandedOver
	default:
		p.takeover.cause = standby.LeaseExpired
	}
	if previousOwner != nil {
		for _, r := range previousOwner.refusedOffers {
			n.cloudState.refusedUntil[r.offer] = latest(n.cloudState.refusedUntil[r.offer], r.until)
		}
	}
	if previousOwner != nil && !previousOwner.lastHint.IsZero() {
		p.takeover.gap = now.Sub(previousOwner.lastHint)
		if p.takeover.cause == standby.HandedOver {
			p.takeover.gap = now.Sub(p.vacantSince)
		}
	}
	n.metrics.takeover.WithLabelValues(p.takeover.cause.String()).Observe(p.takeover.gap.Seconds())
}

// mayDecide delays a partition's first decision until all conditions hold.
func (n *Node) mayDecide(p *partition, now time.Time) bool {
	if !n.logReadable(p) {
		return false
	}
	if p.takeover.decided {
		return true
	}
	facts := standby.TakeoverFacts{Owned: n.owns(p), SinceContact: n.sinceContact(now), SinceStall: now.Sub(n.reachability.stallEnded), MachineTypes: len(n.machineTypes), ReconciliationStarted: p.reconciliation != nil}
	if p.reconciliation != nil {
		facts.Machines, facts.Reported, _ = p.reconciliation.Counts()
		if p.reconciliation.MayPreempt() {
			facts.Machines = 0 // the remaining machines had enough time to report
		}
	}
	check, decided := standby.FirstFailing(facts)
	if decided {
		p.takeover.decided = true
		n.log.Info("first decision", "share", p.index, "cause", p.takeover.cause, "gap_s", p.takeover.gap.Seconds(), "after_s", now.Sub(p.acquiredAt).Seconds())
		return true
	}
	if check != p.takeover.blockedBy {
		p.takeover.blockedBy = check
		n.log.Info("first decision waits", "share", p.index, "for", check, "guards_against", check.GuardsAgainst())
	}
	return false
}

const (
	// shutdownTimeout is the time limit of an orderly shutdown.
	shutdownTimeout = 900 * time.Millisecond
	// settleTimeout is how long a shutdown waits for changes in progress.
	settleTimeout = 250 * time.Millisecond
)

// Leave hands over the partitions of this node: it stops making decisions, waits briefly for
// changes that are being stored and releases its lease, so that the standbys take its partitions
// over at once. It may be called from any goroutine; the caller cancels the node's context
// afterwards.
func (n *Node) Leave() {
	ctx, cancel := context.WithTimeout(n.ctx, shutdownTimeout)
	defer cancel()
	runOnActor := func(f func()) {
		done := make(chan struct{})
		go n.post(func() { f(); close(done) })
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	var lease uint64
	runOnActor(func() {
		n.standby.leaving = true
		n.log.Info("leaving", "shares", n.ownedPartitionCount())
	})
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		busy := false
		runOnActor(func() { busy, lease = n.totalPendingWrites() > 0, n.lease })
		if !busy {
			break
		}
	}
	if lease == 0 {
		return
	}
	err := n.store.Release(ctx, lease)
	n.log.Info("left", "lease", lease, "why", err)
}
