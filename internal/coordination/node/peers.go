package node

import (
	"slices"
	"sync/atomic"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// HintInterval is how often controllers tell one another how they are.
const HintInterval = time.Second

// HintTimeout is after how long without one a connection is given up.
const HintTimeout = 4 * time.Second

// peer is what is known of another controller by its own hints.
type peer struct {
	zone               string
	lastHint           time.Time
	connRefusedAt      time.Time // when its host last refused a connection
	stateOK            bool
	workersUnreachable bool      // it hears no workers
	changeRate         float64   // changes a second that it would make
	connLostAt         time.Time // when a connection to it last ended

	incarnation, seq uint64         // of its last hint
	sequenceGaps     int            // in their numbers, in that life
	lastNewHint      time.Time      // when that hint came
	refusedOffers    []refusedOffer // that the cloud refuses it
}

// Hint is what this node tells its siblings now. Any routine may call it.
func (n *Node) Hint() []byte {
	h := protocol.Hint{Node: n.cfg.Node, StateOK: n.sinceContact(time.Now()) < stateServiceTimeout, WorkersUnreachable: n.reachability.workersUnreachable.Load(), ChangeRate: float32(n.changeDemand.perSecond.Load()), Revision: atomic.LoadUint64(&n.replicaRevision), Caches: *n.cacheHints.caches.Load(), Incarnation: n.incarnations.hintLease.Load()}
	if w := n.standby.outgoing.Load(); w != nil {
		h.Seq, h.Machines, h.RefusedOffers, h.CancelledJobs = w.seq, w.machines, w.refused, w.cancelled
	}
	return h.Encode()
}

// cachesPerHint is how many machines one hint tells of.
const cachesPerHint = 80

// prepareHints readies what the next hints tell of the caches of machines of the
// shares held. A node that takes a share over, or gets a machine moved, then
// knows where the images are; without it every take-over made all jobs fetch.
func (n *Node) prepareHints(now time.Time) {
	if now.Sub(n.cacheHints.lastUpdate) < HintInterval {
		return
	}
	n.cacheHints.lastUpdate = now
	var ours []*machine
	for _, s := range n.partitions {
		if n.owns(s) {
			ours = append(ours, s.machines...)
		}
	}
	told := []protocol.ImageCache{}
	for range min(cachesPerHint, len(ours)) {
		n.cacheHints.nextMachine = (n.cacheHints.nextMachine + 1) % len(ours)
		if m := ours[n.cacheHints.nextMachine]; len(m.images) > 0 {
			told = append(told, protocol.ImageCache{Machine: m.name, Images: slices.Clone(m.images)})
		}
	}
	n.cacheHints.caches.Store(&told)
	n.prepareMachineHints(now)
}

// applyCacheHints takes in what a sibling tells of the machines that it commands.
func (n *Node) applyCacheHints(told []protocol.ImageCache) {
	for _, c := range told {
		if m := n.machines[c.Machine]; m != nil && m.recorded && !n.owns(n.partitions[m.rec.Partition]) {
			m.images = c.Images
			n.markStale(m)
		}
	}
}

// ReceiveHint takes in a sibling's hint; a malformed one is counted and refused.
func (n *Node) ReceiveHint(data []byte) error {
	h, err := protocol.DecodeHint(data)
	n.post(func() {
		if err != nil {
			n.metrics.guardRefusals.WithLabelValues("malformed_hint").Inc()
		} else if s := n.peers[h.Node]; s != nil {
			s.lastHint, s.stateOK, s.workersUnreachable, s.changeRate = time.Now(), h.StateOK, h.WorkersUnreachable, float64(h.ChangeRate)
			n.applyCacheHints(h.Caches)
			n.applyMachineHints(h.Node, s, &h, s.lastHint)
		}
	})
	return err
}

// stateServiceTimeout is after how long without an answer the state service counts as
// lost to a node.
const stateServiceTimeout = 3 * time.Second

// receivesHints says whether a sibling's hints arrive.
func (n *Node) receivesHints(node string, now time.Time) bool {
	s := n.peers[node]
	return s != nil && now.Sub(latest(s.lastHint, n.reachability.stallEnded)) < 3500*time.Millisecond
}

// ready says whether users should come here. A node that alone has lost the
// state service sends them to the others; if nobody has it, turning away would
// only leave users with nobody to tell them when to come back.
func (n *Node) ready(now time.Time) bool {
	if !n.loaded || n.incarnations.supersededBy.Load() != 0 {
		return false
	}
	if n.sinceContact(now) < stateServiceTimeout {
		return true
	}
	for name, s := range n.peers {
		if n.receivesHints(name, now) && s.stateOK {
			return false
		}
	}
	return true
}

// peerReachable says whether a sibling is not beyond a cut: its hints arrive, or its host
// at least refuses connections, as a packet filter between controllers does.
// Without this workers that came to a wrong node while such a filter was there were
// kept by it, and machines that had just booted got no starts.
func (n *Node) peerReachable(node string, now time.Time) bool {
	s := n.peers[node]
	return n.receivesHints(node, now) || s != nil && now.Sub(s.connRefusedAt) < 3500*time.Millisecond
}

// zoneUnreachable says whether a controller in a zone cannot be heard: the zone may be
// cut off, and its machines working.
func (n *Node) zoneUnreachable(zone string, now time.Time) bool {
	for name, s := range n.peers {
		if s.zone == zone && zone != n.cfg.Zone && !n.peerReachable(name, now) {
			return true
		}
	}
	return false
}

// answerForOwner answers for a holder that this node cannot reach but that still
// holds its share: the leases of the machines on this side go on. That is safe
// under the holder's own token, since the holder takes a task for gone only by
// a report of its own or when the machine is returned, never for a lease's end.
// No starts are given, or the holder could not tell that one is on its way. It may be
// that another node holds the share by now, and this one cannot know for want of the
// state service: that one does not take a lease's end as proof either. Without this
// all machines of a holder that stood still in an outage lost their leases.
func (n *Node) answerForOwner(m *machine, r *protocol.Report, now time.Time) (protocol.Orders, bool) {
	s := n.partitions[m.rec.Partition]
	token := n.fencingToken(m)
	sib := n.peers[s.owner.Node]
	if s.owner.Token == 0 || n.peerReachable(s.owner.Node, now) && !sib.workersUnreachable || !n.mayExtendLeases(now) || r.Token > token {
		return protocol.Orders{}, false
	}
	return protocol.Orders{Token: token, Commands: n.stopsForReport(r, now)}, true
}
