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

// The actor's part in standing by: what a holder tells of what the store lacks, what a
// standby keeps of it, when a share is taken, and what must hold before the first
// decision. See docs/standby.md.

// standbyState is what this node knows of who stands by for whom.
type standbyState struct {
	standbys      map[int]standby.Standbys // by share
	suspicions    *standby.Suspicions
	presumedEnded map[string]time.Time        // siblings whose process has ended, by all evidence, since when
	outgoing      atomic.Pointer[hintPayload] // what the next hints tell; read by other routines
	nextMachine   int                         // of the machines of the shares held, whom to tell of next
	seq           uint64
	leaving       bool // it hands over and ends
}

// hintPayload is what a hint tells a standby.
type hintPayload struct {
	seq      uint64
	machines []protocol.MachineHint
	refused  []protocol.RefusedOffer
	// Jobs that are being cancelled: a holder that can't read that in the state service
	// stops their tasks.
	cancelled []protocol.CancelledJob
}

// takeover is how the present holder came to a share, and when it first decided.
type takeover struct {
	cause     standby.Cause
	gap       time.Duration // since the holder before was last heard of
	blockedBy standby.Check // what its first decision waits for
	decided   bool
}

// machinesPerHint is how many machines one hint tells of: 1,372 of three holders go round
// in four seconds, in 4 KB a second and sibling.
const machinesPerHint = 120

// prepareMachineHints readies what the next hints tell of machines of the shares held.
func (n *Node) prepareMachineHints(now time.Time) {
	s := &n.standby
	s.seq++
	w := &hintPayload{seq: s.seq}
	var ours []*machine
	for _, sh := range n.partitions {
		if n.owns(sh) {
			ours = append(ours, sh.machines...)
		}
	}
	for range min(machinesPerHint, len(ours)) {
		s.nextMachine = (s.nextMachine + 1) % len(ours)
		if m := ours[s.nextMachine]; !m.lastReport.IsZero() {
			w.machines = append(w.machines, protocol.MachineHint{Machine: m.name, SecPerGB: m.secPerGB, AgeS: now.Sub(m.lastReport).Seconds()})
		}
	}
	w.cancelled = n.cancelledJobsForHint()
	for o, till := range n.cloudState.refusedUntil {
		if d := till.Sub(now); d > 0 {
			w.refused = append(w.refused, protocol.RefusedOffer{Type: o.Type, Zone: o.Zone, Spot: o.Spot, ForS: d.Seconds()})
		}
	}
	s.outgoing.Store(w)
}

const (
	maxSecPerGB = 1000.0 // beyond that a hint is nonsense
	maxRefusalS = 30.0
)

// applyMachineHints takes in what a sibling tells of machines that it commands. All of it may be
// old or wrong: it makes costs and the order of questions better, and proves nothing.
func (n *Node) applyMachineHints(name string, s *peer, h *protocol.Hint, now time.Time) {
	if h.Incarnation == 0 || h.Incarnation != n.incarnations.leaseOf[name] {
		return // of a former life, or of one that is not recorded yet
	}
	if h.Incarnation == s.incarnation && h.Seq <= s.seq {
		return // an older one, or the same again
	}
	if h.Incarnation == s.incarnation && h.Seq > s.seq+1 {
		s.sequenceGaps++
	}
	s.incarnation, s.seq, s.lastNewHint = h.Incarnation, h.Seq, now
	for _, k := range h.Machines {
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
	n.applyCancelHints(name, h.CancelledJobs)
	s.refusedOffers = s.refusedOffers[:0]
	for _, r := range h.RefusedOffers {
		if r.ForS > 0 && r.ForS <= maxRefusalS {
			s.refusedOffers = append(s.refusedOffers, refusedOffer{offer{Type: r.Type, Zone: r.Zone, Spot: r.Spot}, now.Add(n.seconds(r.ForS))})
		}
	}
}

// refusedOffer is an offer that the cloud refused a sibling, and until when it is not asked
// for. It counts for this node when it takes that sibling's share.
type refusedOffer struct {
	offer
	until time.Time
}

// StandbyFreshness is how much a standby knows of a share beyond the records.
type StandbyFreshness struct {
	AgeS          float64 `json:"age_s"` // of the holder's last news; -1: none
	SequenceGaps  int     `json:"gaps"`  // in the numbers of its hints, in its life
	KnownFraction float64 `json:"known"` // part of the machines up that it told of lately
}

// machineHintMaxAge is within which a machine must have been told of to count as known.
const machineHintMaxAge = 20 * time.Second

func (n *Node) standbyFreshness(sh *partition, now time.Time) StandbyFreshness {
	w := StandbyFreshness{AgeS: -1}
	s := n.peers[sh.owner.Node]
	if s == nil || s.lastNewHint.IsZero() {
		return w
	}
	up, known := 0, 0
	for _, m := range sh.machines {
		if m.rec.Addr != "" {
			up++
			if now.Sub(m.lastHint) < machineHintMaxAge {
				known++
			}
		}
	}
	w.AgeS, w.SequenceGaps = roundToTenth(now.Sub(s.lastNewHint).Seconds()), s.sequenceGaps
	if w.KnownFraction = 1; up > 0 {
		w.KnownFraction = float64(known) / float64(up)
	}
	return w
}

// OnConnEvent takes in what a sender of hints notices of a sibling. Its host refusing a
// connection says that it can be reached, and so can, most likely, the workers on its
// side.
func (n *Node) OnConnEvent(node string, e transport.ConnEvent) {
	n.post(func() {
		s := n.peers[node]
		if s == nil {
			return
		}
		switch now := time.Now(); e {
		case transport.ConnLost:
			s.connLostAt = now
		case transport.ConnRefused:
			s.connRefusedAt = now
		}
	})
}

// assignStandbys makes anew who stands by for whom, from the records and what is heard.
func (n *Node) assignStandbys(now time.Time) {
	var shares []standby.Partition
	held := map[string]int{}
	for _, s := range n.partitions {
		shares = append(shares, standby.Partition{Index: s.index, Owner: s.owner.Node})
		if s.owner.Token != 0 {
			held[s.owner.Node]++
		}
	}
	var nodes []standby.Node
	for name := range n.liveNodes {
		x := standby.Node{Name: name, Zone: n.cfg.Zone, Owned: held[name]}
		if s := n.peers[name]; s != nil {
			x.Zone, x.Impaired = s.zone, n.receivesHints(name, now) && (s.workersUnreachable || !s.stateOK)
		} else if name == n.cfg.Node {
			x.Impaired = n.reachability.workersUnreachable.Load()
		}
		nodes = append(nodes, x)
	}
	for i, p := range standby.AssignStandbys(shares, nodes, n.standby.standbys) {
		if was := n.standby.standbys[i]; p != was && (p.First == n.cfg.Node || was.First == n.cfg.Node) {
			n.log.Info("standby", "share", i, "first", p.First, "second", p.Second)
		}
		n.standby.standbys[i] = p
	}
}

// checkSuspectedPeers asks siblings that seem to have ended, through the store, whether they
// live, and takes the shares of those that do not answer.
func (n *Node) checkSuspectedPeers(now time.Time) {
	mayAsk := n.lease != 0 && !n.standby.leaving && n.sinceContact(now) < time.Second && now.Sub(n.reachability.stallEnded) > stallThreshold
	for name, s := range n.peers {
		seen := standby.PeerEvidence{LastHint: s.lastHint, ConnLostAt: s.connLostAt, ConnRefusedAt: s.connRefusedAt, Revision: n.revisionOf(protocol.NodeKey(name))}
		stands := false
		for _, sh := range n.partitions {
			if sh.owner.Token != 0 && sh.owner.Node == name {
				seen.OwnsPartition = true
				p := n.standby.standbys[sh.index]
				stands = stands || p.First == n.cfg.Node || p.Second == n.cfg.Node
			}
		}
		seen.OwnsPartition = seen.OwnsPartition && stands
		ask, ended := n.standby.suspicions.Evaluate(name, seen, mayAsk, now)
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
			n.log.Info("has ended, by all evidence", "sibling", name, "silent_s", roundToTenth(now.Sub(s.lastHint).Seconds()))
		}
		for _, sh := range n.partitions {
			if sh.owner.Token != 0 && sh.owner.Node == name && !sh.ownerChanging() && now.Sub(n.standby.presumedEnded[name]) >= n.standby.standbys[sh.index].TakeoverDelay(n.cfg.Node) {
				// If the holder answers after all before this is stored, it is not stored.
				n.takePartition(sh, n.unchanged(protocol.NodeKey(name)))
			}
		}
	}
}

// answerLivenessCheck answers a sibling that doubts whether this node lives.
func (n *Node) answerLivenessCheck(by string) {
	if by == n.cfg.Node || n.lease == 0 || n.standby.leaving {
		return
	}
	n.log.Info("answered that it lives", "asked_by", by)
	n.storeNodeRecord()
}

// recordTakeover notes how a share came to this node.
func (n *Node) recordTakeover(s *partition, was protocol.OwnerRecord, now time.Time) {
	s.takeover = takeover{cause: standby.AtStart, blockedBy: standby.Check(math.MaxUint8)}
	before := n.peers[s.previousOwner]
	switch {
	case was.Token != 0:
		s.takeover.cause = standby.ProcessEnded
	case before == nil || s.vacantSince.Sub(n.loadControl.followingSince) < leaseTTL:
		return // what it found when it began: others begin too, and end their former lives
	case s.vacantSince.Sub(before.lastHint) < leaseTTL*3/4:
		s.takeover.cause = standby.HandedOver
	default:
		s.takeover.cause = standby.LeaseExpired
	}
	if before != nil {
		for _, r := range before.refusedOffers {
			n.cloudState.refusedUntil[r.offer] = latest(n.cloudState.refusedUntil[r.offer], r.until)
		}
	}
	if before != nil && !before.lastHint.IsZero() {
		s.takeover.gap = now.Sub(before.lastHint)
		if s.takeover.cause == standby.HandedOver {
			s.takeover.gap = now.Sub(s.vacantSince)
		}
	}
	n.metrics.takeover.WithLabelValues(s.takeover.cause.String()).Observe(s.takeover.gap.Seconds())
}

// mayDecide holds a share's first decision up until all that must hold does.
func (n *Node) mayDecide(s *partition, now time.Time) bool {
	if !n.logReadable(s) {
		return false
	}
	if s.takeover.decided {
		return true
	}
	f := standby.TakeoverFacts{Owned: n.owns(s), SinceContact: n.sinceContact(now), SinceStall: now.Sub(n.reachability.stallEnded), MachineTypes: len(n.machineTypes), ReconciliationStarted: s.reconciliation != nil}
	if s.reconciliation != nil {
		f.Machines, f.Reported, _ = s.reconciliation.Counts()
		if s.reconciliation.MayPreempt() {
			f.Machines = 0 // the rest had time enough
		}
	}
	c, ok := standby.FirstFailing(f)
	if ok {
		s.takeover.decided = true
		n.log.Info("first decision", "share", s.index, "cause", s.takeover.cause, "gap_s", s.takeover.gap.Seconds(), "after_s", now.Sub(s.acquiredAt).Seconds())
		return true
	}
	if c != s.takeover.blockedBy {
		s.takeover.blockedBy = c
		n.log.Info("first decision waits", "share", s.index, "for", c, "guards_against", c.GuardsAgainst())
	}
	return false
}

const (
	// leaveTime is how long an orderly end may take.
	leaveTime = 900 * time.Millisecond
	// settleTime is how long it waits for changes under way.
	settleTime = 250 * time.Millisecond
)

// Leave hands over what this node holds: it decides nothing more, waits a moment for
// what is being stored, and ends its lease, so that the standbys take its shares at
// once. Any routine may call it; the node's context is to be ended after.
func (n *Node) Leave() {
	ctx, cancel := context.WithTimeout(n.ctx, leaveTime)
	defer cancel()
	ask := func(f func()) {
		done := make(chan struct{})
		go n.post(func() { f(); close(done) })
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	var lease uint64
	ask(func() {
		n.standby.leaving = true
		n.log.Info("leaving", "shares", n.ownedPartitionCount())
	})
	for end := time.Now().Add(settleTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		busy := false
		ask(func() { busy, lease = n.totalPendingWrites() > 0, n.lease })
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
