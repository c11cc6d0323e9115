package node

import (
	"slices"
	"sync/atomic"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// HintPeriod is how often controllers tell one another how they are.
const HintPeriod = time.Second

// HintQuiet is after how long without one a connection is given up.
const HintQuiet = 4 * time.Second

// sibling is what is known of another controller by its own hints.
type sibling struct {
	zone    string
	heard   time.Time
	refused time.Time // when its host last refused a connection
	stateOK bool
	blind   bool      // it hears no workers
	changes float64   // changes a second that it would make
	broke   time.Time // when a connection to it last ended

	life, seq uint64    // of its last hint
	gaps      int       // in their numbers, in that life
	news      time.Time // when that hint came
	offers    []refusal // that the cloud refuses it
}

// Hint is what this node tells its siblings now. Any routine may call it.
func (n *Node) Hint() []byte {
	h := protocol.Hint{Node: n.cfg.Node, StateOK: n.sinceContact(time.Now()) < stateLost, Blind: n.eyes.blind.Load(), Changes: float32(n.rate.changes.Load()), Revision: atomic.LoadUint64(&n.followed), Caches: *n.told.caches.Load(), Life: n.lives.hinted.Load()}
	if w := n.standing.told.Load(); w != nil {
		h.Seq, h.Known, h.Refused, h.Cancelled = w.seq, w.known, w.refused, w.cancelled
	}
	return h.Encode()
}

// cachesPerHint is how many machines one hint tells of.
const cachesPerHint = 80

// tellCaches readies what the next hints tell of the caches of machines of the
// shares held. A node that takes a share over, or gets a machine moved, then
// knows where the images are; without it every take-over made all jobs fetch.
func (n *Node) tellCaches(now time.Time) {
	if now.Sub(n.told.last) < HintPeriod {
		return
	}
	n.told.last = now
	var ours []*machine
	for _, s := range n.shares {
		if n.mine(s) {
			ours = append(ours, s.machines...)
		}
	}
	told := []protocol.Cache{}
	for range min(cachesPerHint, len(ours)) {
		n.told.next = (n.told.next + 1) % len(ours)
		if m := ours[n.told.next]; len(m.images) > 0 {
			told = append(told, protocol.Cache{Machine: m.name, Images: slices.Clone(m.images)})
		}
	}
	n.told.caches.Store(&told)
	n.tellKnown(now)
}

// learnCaches takes in what a sibling tells of the machines that it commands.
func (n *Node) learnCaches(told []protocol.Cache) {
	for _, c := range told {
		if m := n.machines[c.Machine]; m != nil && m.known && !n.mine(n.shares[m.rec.Share]) {
			m.images = c.Images
			n.touch(m)
		}
	}
}

// TakeHint takes in a sibling's hint; a malformed one is counted and refused.
func (n *Node) TakeHint(data []byte) error {
	h, err := protocol.DecodeHint(data)
	n.post(func() {
		if err != nil {
			n.metrics.refused.WithLabelValues("malformed_hint").Inc()
		} else if s := n.siblings[h.Node]; s != nil {
			s.heard, s.stateOK, s.blind, s.changes = time.Now(), h.StateOK, h.Blind, float64(h.Changes)
			n.learnCaches(h.Caches)
			n.learnKnown(h.Node, s, &h, s.heard)
		}
	})
	return err
}

// stateLost is after how long without an answer the state service counts as
// lost to a node.
const stateLost = 3 * time.Second

// hears says whether a sibling's hints arrive.
func (n *Node) hears(node string, now time.Time) bool {
	s := n.siblings[node]
	return s != nil && now.Sub(later(s.heard, n.eyes.awake)) < 3500*time.Millisecond
}

// ready says whether users should come here. A node that alone has lost the
// state service sends them to the others; if nobody has it, turning away would
// only leave users with nobody to tell them when to come back.
func (n *Node) ready(now time.Time) bool {
	if !n.loaded || n.lives.other.Load() != 0 {
		return false
	}
	if n.sinceContact(now) < stateLost {
		return true
	}
	for name, s := range n.siblings {
		if n.hears(name, now) && s.stateOK {
			return false
		}
	}
	return true
}

// reaches says whether a sibling is not beyond a cut: its hints arrive, or its host
// at least refuses connections, as a packet filter between controllers does.
// Without this workers that came to a wrong node while such a filter was there were
// kept by it, and machines that had just booted got no starts.
func (n *Node) reaches(node string, now time.Time) bool {
	s := n.siblings[node]
	return n.hears(node, now) || s != nil && now.Sub(s.refused) < 3500*time.Millisecond
}

// zoneCut says whether a controller in a zone cannot be heard: the zone may be
// cut off, and its machines working.
func (n *Node) zoneCut(zone string, now time.Time) bool {
	for name, s := range n.siblings {
		if s.zone == zone && zone != n.cfg.Zone && !n.reaches(name, now) {
			return true
		}
	}
	return false
}

// standIn answers for a holder that this node cannot reach but that still
// holds its share: the leases of the machines on this side go on. That is safe
// under the holder's own token, since the holder takes a task for gone only by
// a report of its own or when the machine is returned, never for a lease's end.
// No starts are given, or the holder could not tell that one is on its way. It may be
// that another node holds the share by now, and this one cannot know for want of the
// state service: that one does not take a lease's end as proof either. Without this
// all machines of a holder that stood still in an outage lost their leases.
func (n *Node) standIn(m *machine, r *protocol.Report, now time.Time) (protocol.Orders, bool) {
	s := n.shares[m.rec.Share]
	token := n.token(m)
	sib := n.siblings[s.holder.Node]
	if s.holder.Token == 0 || n.reaches(s.holder.Node, now) && !sib.blind || !n.mayAnswer(now) || r.Token > token {
		return protocol.Orders{}, false
	}
	return protocol.Orders{Token: token, Commands: n.halts(r, now)}, true
}
