package node

import (
	"slices"
	"sync/atomic"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// HintInterval is the interval at which controllers send their state to one another.
const HintInterval = time.Second

// HintTimeout is the time without a hint after which a connection is closed.
const HintTimeout = 4 * time.Second

// peer is the state of another controller, as its hints report it.
type peer struct {
	zone               string
	lastHint           time.Time
	connRefusedAt      time.Time // when its host last refused a connection
	stateOK            bool
	workersUnreachable bool      // it hears no workers
	changeRate         float64   // rate of changes that it needs, per second
	connLostAt         time.Time // when a connection to it last ended

	incarnation, seq uint64         // of its last new hint
	sequenceGaps     int            // gaps in the sequence numbers of its hints; not reset for a new process
	lastNewHint      time.Time      // when its last new hint arrived
	refusedOffers    []refusedOffer // offers that the cloud refuses it
}

// Hint returns the encoded state that this node sends to its peers. It may be called from any
// goroutine.
func (n *Node) Hint() []byte {
	hint := protocol.Hint{Node: n.cfg.Node, StateOK: n.sinceContact(time.Now()) < stateServiceTimeout, WorkersUnreachable: n.reachability.workersUnreachable.Load(), ChangeRate: float32(n.changeDemand.perSecond.Load()), Revision: atomic.LoadUint64(&n.replicaRevision), Caches: *n.cacheHints.caches.Load(), Incarnation: n.incarnations.hintLease.Load()}
	if payload := n.standby.outgoing.Load(); payload != nil {
		hint.Seq, hint.Machines, hint.RefusedOffers, hint.CancelledJobs = payload.seq, payload.machines, payload.refused, payload.cancelled
	}
	return hint.Encode()
}

// cachesPerHint is the number of machines whose caches one hint reports.
const cachesPerHint = 80

// prepareHints prepares the image caches of the owned partitions' machines for the next hints. They
// tell a node that takes over a partition, or to which a machine is moved, where images are cached;
// without them every takeover made all jobs fetch their images again.
func (n *Node) prepareHints(now time.Time) {
	if now.Sub(n.cacheHints.lastUpdate) < HintInterval {
		return
	}
	n.cacheHints.lastUpdate = now
	var machines []*machine
	for _, p := range n.partitions {
		if n.owns(p) {
			machines = append(machines, p.machines...)
		}
	}
	caches := []protocol.ImageCache{}
	for range min(cachesPerHint, len(machines)) {
		n.cacheHints.nextMachine = (n.cacheHints.nextMachine + 1) % len(machines)
		if m := machines[n.cacheHints.nextMachine]; len(m.images) > 0 {
			caches = append(caches, protocol.ImageCache{Machine: m.name, Images: slices.Clone(m.images)})
		}
	}
	n.cacheHints.caches.Store(&caches)
	n.prepareMachineHints(now)
}

// applyCacheHints applies the image caches that a peer reports for the machines that it owns.
func (n *Node) applyCacheHints(caches []protocol.ImageCache) {
	for _, c := range caches {
		if m := n.machines[c.Machine]; m != nil && m.recorded && !n.owns(n.partitions[m.rec.Partition]) {
			m.images = c.Images
			n.markStale(m)
		}
	}
}

// ReceiveHint applies a peer's hint. A malformed one is counted and rejected.
func (n *Node) ReceiveHint(data []byte) error {
	hint, err := protocol.DecodeHint(data)
	n.post(func() {
		if err != nil {
			n.metrics.guardRefusals.WithLabelValues("malformed_hint").Inc()
		} else if sender := n.peers[hint.Node]; sender != nil {
			sender.lastHint, sender.stateOK, sender.workersUnreachable, sender.changeRate = time.Now(), hint.StateOK, hint.WorkersUnreachable, float64(hint.ChangeRate)
			n.applyCacheHints(hint.Caches)
			n.applyMachineHints(hint.Node, sender, &hint, sender.lastHint)
		}
	})
	return err
}

// stateServiceTimeout is the time without an answer after which a node regards the state service as
// lost.
const stateServiceTimeout = 3 * time.Second

// receivesHints reports whether hints from a peer arrive.
func (n *Node) receivesHints(node string, now time.Time) bool {
	sender := n.peers[node]
	return sender != nil && now.Sub(latest(sender.lastHint, n.reachability.stallEnded)) < 3500*time.Millisecond
}

// ready reports whether this node should serve users. A node that alone has lost the state service
// sends them to the others. If no node has it, all stay ready: refusing users would only leave
// nobody to tell them when to retry.
func (n *Node) ready(now time.Time) bool {
	if !n.loaded || n.incarnations.supersededBy.Load() != 0 {
		return false
	}
	if n.sinceContact(now) < stateServiceTimeout {
		return true
	}
	for name, other := range n.peers {
		if n.receivesHints(name, now) && other.stateOK {
			return false
		}
	}
	return true
}

// peerReachable reports whether a peer's host is reachable: hints arrive from it, or it at least
// refuses connections, as a packet filter between controllers does. Without the second case,
// workers that came to a wrong node during such a filter were kept by it, and machines that had
// just booted received no starts.
func (n *Node) peerReachable(node string, now time.Time) bool {
	other := n.peers[node]
	return n.receivesHints(node, now) || other != nil && now.Sub(other.connRefusedAt) < 3500*time.Millisecond
}

// zoneUnreachable reports whether a controller in another zone is unreachable: the zone may be cut
// off while its machines keep working.
func (n *Node) zoneUnreachable(zone string, now time.Time) bool {
	for name, other := range n.peers {
		if other.zone == zone && zone != n.cfg.Zone && !n.peerReachable(name, now) {
			return true
		}
	}
	return false
}

// answerForOwner answers a worker's report in place of the partition's owner, which this node
// cannot reach, so that the leases of the machines on this side of a network partition are
// extended. This is safe under the owner's own token, since an owner regards a task as gone only
// because of a report that it received itself or because the machine was returned, and never
// because a lease ended. No starts are sent, since the owner could not know that one is on its way.
// Another node may own the partition by now, which this one cannot know without the state service;
// that owner does not take the end of a lease as proof either. Without this, all machines of an
// owner that stalled during an outage lost their leases.
func (n *Node) answerForOwner(m *machine, report *protocol.Report, now time.Time) (protocol.Orders, bool) {
	p := n.partitions[m.rec.Partition]
	owner := n.peers[p.owner.Node]
	if p.owner.Token == 0 || n.peerReachable(p.owner.Node, now) && !owner.workersUnreachable || !n.mayExtendLeases(now) || report.Token > n.highestToken(m) {
		return protocol.Orders{}, false
	}
	token := max(report.Token, n.fencingToken(m)) // the owner may have raised it
	return protocol.Orders{Token: token, Commands: n.stopsForReport(report, now)}, true
}
