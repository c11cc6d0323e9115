package node

import (
	"fmt"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// fleet records machines that are up, by what an earlier holder stored, in the
// share that the node holds.
func (b *bench) fleet(count int) {
	rec := protocol.BatchRecord{}
	for i := range count {
		rec.Machines = append(rec.Machines, protocol.MachineRecord{Name: fmt.Sprintf("host-%d", 100+i), Type: "g4", Zone: "a", Addr: "x:1"})
	}
	b.workers = &mute{}
	b.put(protocol.BatchKey("r-0-6-1-0"), rec)
}

// A node that lost the workers took a share for being idle, heard none of its
// machines, and 22 s later returned all 1,300 of them, with 3,000 tasks. (Seen on a
// simulated day.) Machines that nobody hears are beyond a cut, not dead, whether or
// not this node ever heard them.
func TestABlindHolderReturnsNoFleet(t *testing.T) {
	b := newBench(t)
	b.fleet(20)
	start := time.Now()
	for s := range 80 {
		now := start.Add(time.Duration(s) * time.Second)
		b.Contact(now)
		b.noteCuts(now)
		for _, m := range b.shares[0].machines {
			if m.wasUp() && b.dead(m, now) {
				t.Fatalf("%s is given up %d s after the share was taken", m.name, s)
			}
		}
	}
	// One silent machine among many is given up.
	now := start.Add(80 * time.Second)
	for _, m := range b.shares[0].machines[2:] {
		m.heard = now
	}
	b.eyes.cutAt = map[string]time.Time{}
	b.noteCuts(now)
	if m := b.machines["host-100"]; !b.dead(m, now) {
		t.Fatal("a machine that was silent for 80 s among others that report is kept")
	}
}

// Shares go only to nodes that hear workers, and a blind node is slow to take one.
func TestABlindNodeGetsNoShare(t *testing.T) {
	b := newBench(t)
	b.fleet(20)
	now := time.Now()
	b.saw(now)
	b.put(protocol.NodeKey("n-0"), protocol.NodeRecord{Lease: 3})
	b.put(protocol.NodeKey("n-1"), protocol.NodeRecord{Lease: 4})
	for i := 1; i < len(b.shares); i++ {
		b.put(protocol.HolderKey(i), protocol.HolderRecord{Node: "n-0", Token: 7, Lease: 3})
	}
	now = now.Add(10 * time.Second)
	b.saw(now)
	tell := func(blind bool) { *b.siblings["n-1"] = sibling{heard: now, stateOK: true, blind: blind} }
	tell(true)
	if b.balance(now); !b.lastRelease.IsZero() {
		t.Fatal("a share was handed to a node that hears no workers")
	}
	if d := b.takeDelay(b.shares[0], 0, now); d > 2*time.Second {
		t.Fatalf("a node that hears workers waits %v", d)
	}
	// It is blind itself now: it gives its shares up, if the other one is not.
	now = now.Add(b.blindAfter() + time.Second)
	b.Contact(now)
	b.watchWorkers(now)
	tell(true)
	if b.checkSight(now); !b.lastRelease.IsZero() {
		t.Fatal("shares given up to a node that is blind too")
	}
	tell(false)
	if b.checkSight(now); b.lastRelease.IsZero() {
		t.Fatal("a node that hears no workers keeps its shares")
	}
	if d := b.takeDelay(b.shares[0], 0, now); d < 8*time.Second {
		t.Fatalf("a blind node takes a share after %v", d)
	}
}

// A node that stood still for a minute has not heard its workers for so long, and
// knows nothing of them.
func TestOwnStallIsNoSilence(t *testing.T) {
	b := newBench(t)
	b.fleet(20)
	now := time.Now()
	b.turn(now)
	for _, m := range b.shares[0].machines {
		m.heard = now
	}
	b.siblings["n-1"].heard = now
	now = now.Add(time.Minute)
	b.turn(now)
	b.Contact(now)
	b.noteCuts(now)
	for _, m := range b.shares[0].machines {
		if b.dead(m, now) || b.suspect(m, now) || b.silent(m, now) {
			t.Fatalf("%s counts as silent for the node's own stall", m.name)
		}
	}
	if !b.hears("n-1", now) {
		t.Fatal("a sibling counts as silent for the node's own stall")
	}
	if b.checkSight(now); !b.lastRelease.IsZero() {
		t.Fatal("the shares are given up for the node's own stall")
	}
	// Silence from now on counts.
	for range 40 {
		now = now.Add(time.Second)
		b.turn(now)
		b.Contact(now)
	}
	if m := b.shares[0].machines[0]; !b.silent(m, now) {
		t.Fatal("a machine that is silent after the stall is not noticed")
	}
}
