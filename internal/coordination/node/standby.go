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

// standing is what this node knows of who stands by for whom.
type standing struct {
	pairs   map[int]standby.Pair // by share
	doubts  *standby.Doubts
	ended   map[string]time.Time // siblings whose process has ended, by all evidence, since when
	told    atomic.Pointer[news] // what the next hints tell; read by other routines
	next    int                  // of the machines of the shares held, whom to tell of next
	seq     uint64
	leaving bool // it hands over and ends
}

// news is what a hint tells a standby.
type news struct {
	seq     uint64
	known   []protocol.Known
	refused []protocol.RefusedOffer
	// Jobs that are being cancelled: a holder that can't read that in the state service
	// stops their tasks.
	cancelled []protocol.CancelledJob
}

// taking is how the present holder came to a share, and when it first decided.
type taking struct {
	cause   standby.Cause
	gap     time.Duration // since the holder before was last heard of
	waits   standby.Check // what its first decision waits for
	decided bool
}

// knownPerHint is how many machines one hint tells of: 1,372 of three holders go round
// in four seconds, in 4 KB a second and sibling.
const knownPerHint = 120

// tellKnown readies what the next hints tell of machines of the shares held.
func (n *Node) tellKnown(now time.Time) {
	s := &n.standing
	s.seq++
	w := &news{seq: s.seq}
	var ours []*machine
	for _, sh := range n.shares {
		if n.mine(sh) {
			ours = append(ours, sh.machines...)
		}
	}
	for range min(knownPerHint, len(ours)) {
		s.next = (s.next + 1) % len(ours)
		if m := ours[s.next]; !m.reported.IsZero() {
			w.known = append(w.known, protocol.Known{Machine: m.name, SecPerGB: m.secPerGB, AgeS: now.Sub(m.reported).Seconds()})
		}
	}
	w.cancelled = n.tellCancelled()
	for o, till := range n.cloudside.refusedTill {
		if d := till.Sub(now); d > 0 {
			w.refused = append(w.refused, protocol.RefusedOffer{Type: o.Type, Zone: o.Zone, Spot: o.Spot, ForS: d.Seconds()})
		}
	}
	s.told.Store(w)
}

const (
	mostSecPerGB = 1000.0 // beyond that a hint is nonsense
	mostRefusedS = 30.0
)

// learnKnown takes in what a sibling tells of machines that it commands. All of it may be
// old or wrong: it makes costs and the order of questions better, and proves nothing.
func (n *Node) learnKnown(name string, s *sibling, h *protocol.Hint, now time.Time) {
	if h.Life == 0 || h.Life != n.lives.of[name] {
		return // of a former life, or of one that is not recorded yet
	}
	if h.Life == s.life && h.Seq <= s.seq {
		return // an older one, or the same again
	}
	if h.Life == s.life && h.Seq > s.seq+1 {
		s.gaps++
	}
	s.life, s.seq, s.news = h.Life, h.Seq, now
	for _, k := range h.Known {
		m := n.machines[k.Machine]
		if m == nil || !m.known || n.mine(n.shares[m.rec.Share]) || n.shares[m.rec.Share].holder.Node != name {
			continue
		}
		if k.SecPerGB > 0 && k.SecPerGB <= mostSecPerGB {
			m.secPerGB = k.SecPerGB
			n.touch(m)
		}
		if k.AgeS >= 0 && k.AgeS <= n.cfg.Params.Workers.LeaseS {
			m.reported = now.Add(-n.seconds(k.AgeS))
		}
		m.toldAt = now
	}
	n.learnCancelled(name, h.Cancelled)
	s.offers = s.offers[:0]
	for _, r := range h.Refused {
		if r.ForS > 0 && r.ForS <= mostRefusedS {
			s.offers = append(s.offers, refusal{offer{Type: r.Type, Zone: r.Zone, Spot: r.Spot}, now.Add(n.seconds(r.ForS))})
		}
	}
}

// refusal is an offer that the cloud refused a sibling, and until when it is not asked
// for. It counts for this node when it takes that sibling's share.
type refusal struct {
	offer
	till time.Time
}

// Warmth is how much a standby knows of a share beyond the records.
type Warmth struct {
	AgeS  float64 `json:"age_s"` // of the holder's last news; -1: none
	Gaps  int     `json:"gaps"`  // in the numbers of its hints, in its life
	Known float64 `json:"known"` // part of the machines up that it told of lately
}

// warmFor is within which a machine must have been told of to count as known.
const warmFor = 20 * time.Second

func (n *Node) warmth(sh *share, now time.Time) Warmth {
	w := Warmth{AgeS: -1}
	s := n.siblings[sh.holder.Node]
	if s == nil || s.news.IsZero() {
		return w
	}
	up, known := 0, 0
	for _, m := range sh.machines {
		if m.rec.Addr != "" {
			up++
			if now.Sub(m.toldAt) < warmFor {
				known++
			}
		}
	}
	w.AgeS, w.Gaps = round(now.Sub(s.news).Seconds()), s.gaps
	if w.Known = 1; up > 0 {
		w.Known = float64(known) / float64(up)
	}
	return w
}

// Noticed takes in what a sender of hints notices of a sibling. Its host refusing a
// connection says that it can be reached, and so can, most likely, the workers on its
// side.
func (n *Node) Noticed(node string, e transport.Event) {
	n.post(func() {
		s := n.siblings[node]
		if s == nil {
			return
		}
		switch now := time.Now(); e {
		case transport.ConnEnded:
			s.broke = now
		case transport.ConnRefused:
			s.refused = now
		}
	})
}

// assignStandbys makes anew who stands by for whom, from the records and what is heard.
func (n *Node) assignStandbys(now time.Time) {
	var shares []standby.Share
	held := map[string]int{}
	for _, s := range n.shares {
		shares = append(shares, standby.Share{Index: s.index, Holder: s.holder.Node})
		if s.holder.Token != 0 {
			held[s.holder.Node]++
		}
	}
	var nodes []standby.Node
	for name := range n.nodes {
		x := standby.Node{Name: name, Zone: n.cfg.Zone, Held: held[name]}
		if s := n.siblings[name]; s != nil {
			x.Zone, x.Poor = s.zone, n.hears(name, now) && (s.blind || !s.stateOK)
		} else if name == n.cfg.Node {
			x.Poor = n.eyes.blind.Load()
		}
		nodes = append(nodes, x)
	}
	for i, p := range standby.Assign(shares, nodes, n.standing.pairs) {
		if was := n.standing.pairs[i]; p != was && (p.First == n.cfg.Node || was.First == n.cfg.Node) {
			n.log.Info("standby", "share", i, "first", p.First, "second", p.Second)
		}
		n.standing.pairs[i] = p
	}
}

// askIfEnded asks siblings that seem to have ended, through the store, whether they
// live, and takes the shares of those that do not answer.
func (n *Node) askIfEnded(now time.Time) {
	mayAsk := n.lease != 0 && !n.standing.leaving && n.sinceContact(now) < time.Second && now.Sub(n.eyes.awake) > stallGap
	for name, s := range n.siblings {
		seen := standby.Seen{Heard: s.heard, Broke: s.broke, Refused: s.refused, Stamp: n.stamp(protocol.NodeKey(name))}
		stands := false
		for _, sh := range n.shares {
			if sh.holder.Token != 0 && sh.holder.Node == name {
				seen.Holds = true
				p := n.standing.pairs[sh.index]
				stands = stands || p.First == n.cfg.Node || p.Second == n.cfg.Node
			}
		}
		seen.Holds = seen.Holds && stands
		ask, ended := n.standing.doubts.Look(name, seen, mayAsk, now)
		if ask {
			n.log.Info("asked whether it lives", "sibling", name)
			key := protocol.DoubtKey(name)
			n.submit(&storage.Op{Writes: []storage.Write{{Put: key, Value: mustJSON(protocol.DoubtRecord{By: n.cfg.Node}), Lease: n.lease}}},
				func(r storage.Result) { n.standing.doubts.Asked(name, r.OK, time.Now()) })
		}
		if !ended {
			delete(n.standing.ended, name)
			continue
		}
		if _, known := n.standing.ended[name]; !known {
			n.standing.ended[name] = now
			n.log.Info("has ended, by all evidence", "sibling", name, "silent_s", round(now.Sub(s.heard).Seconds()))
		}
		for _, sh := range n.shares {
			if sh.holder.Token != 0 && sh.holder.Node == name && !sh.changesHands() && now.Sub(n.standing.ended[name]) >= n.standing.pairs[sh.index].After(n.cfg.Node) {
				// If the holder answers after all before this is stored, it is not stored.
				n.take(sh, n.cond(protocol.NodeKey(name)))
			}
		}
	}
}

// doubted answers a sibling that doubts whether this node lives.
func (n *Node) doubted(by string) {
	if by == n.cfg.Node || n.lease == 0 || n.standing.leaving {
		return
	}
	n.log.Info("answered that it lives", "asked_by", by)
	n.sayAlive()
}

// takenOver notes how a share came to this node.
func (n *Node) takenOver(s *share, was protocol.HolderRecord, now time.Time) {
	s.taking = taking{cause: standby.AtStart, waits: standby.Check(math.MaxUint8)}
	before := n.siblings[s.before]
	switch {
	case was.Token != 0:
		s.taking.cause = standby.Ended
	case before == nil || s.vacant.Sub(n.ordering.follows) < leaseLife:
		return // what it found when it began: others begin too, and end their former lives
	case s.vacant.Sub(before.heard) < leaseLife*3/4:
		s.taking.cause = standby.HandedOn
	default:
		s.taking.cause = standby.LeaseOver
	}
	if before != nil {
		for _, r := range before.offers {
			n.cloudside.refusedTill[r.offer] = later(n.cloudside.refusedTill[r.offer], r.till)
		}
	}
	if before != nil && !before.heard.IsZero() {
		s.taking.gap = now.Sub(before.heard)
		if s.taking.cause == standby.HandedOn {
			s.taking.gap = now.Sub(s.vacant)
		}
	}
	n.metrics.takeover.WithLabelValues(s.taking.cause.String()).Observe(s.taking.gap.Seconds())
}

// mayDecide holds a share's first decision up until all that must hold does.
func (n *Node) mayDecide(s *share, now time.Time) bool {
	if !n.entriesReadable(s) {
		return false
	}
	if s.taking.decided {
		return true
	}
	f := standby.Facts{Held: n.mine(s), Contact: n.sinceContact(now), Awake: now.Sub(n.eyes.awake), Types: len(n.types), Squared: s.square != nil}
	if s.square != nil {
		f.Machines, f.Heard, _ = s.square.Counts()
		if s.square.MayDisplace() {
			f.Machines = 0 // the rest had time enough
		}
	}
	c, ok := standby.First(f)
	if ok {
		s.taking.decided = true
		n.log.Info("first decision", "share", s.index, "cause", s.taking.cause, "gap_s", s.taking.gap.Seconds(), "after_s", now.Sub(s.taken).Seconds())
		return true
	}
	if c != s.taking.waits {
		s.taking.waits = c
		n.log.Info("first decision waits", "share", s.index, "for", c, "guards_against", c.Guards())
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
		n.standing.leaving = true
		n.log.Info("leaving", "shares", n.heldShares())
	})
	for end := time.Now().Add(settleTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		busy := false
		ask(func() { busy, lease = n.storingAll() > 0, n.lease })
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
