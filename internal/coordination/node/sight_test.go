package node

import (
	"fmt"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// addRunningMachines records machines that are up, by what an earlier holder stored, in the
// share that the node holds.
func (b *testNode) addRunningMachines(count int) {
	rec := protocol.BatchRecord{}
	for i := range count {
		rec.Machines = append(rec.Machines, protocol.MachineRecord{Name: fmt.Sprintf("host-%d", 100+i), Type: "g4", Zone: "a", Addr: "x:1"})
	}
	b.workers = &scriptedWorkers{}
	b.watchPut(protocol.BatchKey("r-0-6-1-0"), rec)
}

// A node that lost the workers took a share for being idle, heard none of its
// machines, and 22 s later returned all 1,300 of them, with 3,000 tasks. (Seen on a
// simulated day.) Machines that nobody hears are beyond a cut, not dead, whether or
// not this node ever heard them.
func TestABlindHolderReturnsNoFleet(t *testing.T) {
	b := newTestNode(t)
	b.addRunningMachines(20)
	start := time.Now()
	for s := range 80 {
		now := start.Add(time.Duration(s) * time.Second)
		b.RecordContact(now)
		b.detectZoneOutages(now)
		for _, m := range b.partitions[0].machines {
			if m.hasBooted() && b.presumedDead(m, now) {
				t.Fatalf("%s is given up %d s after the share was taken", m.name, s)
			}
		}
	}
	// One silent machine among many is given up.
	now := start.Add(80 * time.Second)
	for _, m := range b.partitions[0].machines[2:] {
		m.lastFencedReport = now
	}
	b.reachability.zoneUnreachableAt = map[string]time.Time{}
	b.detectZoneOutages(now)
	if m := b.machines["host-100"]; !b.presumedDead(m, now) {
		t.Fatal("a machine that was silent for 80 s among others that report is kept")
	}
}

// Shares go only to nodes that hear workers, and a blind node is slow to take one.
func TestABlindNodeGetsNoShare(t *testing.T) {
	b := newTestNode(t)
	b.addRunningMachines(20)
	now := time.Now()
	b.noteWorkerContact(now)
	b.watchPut(protocol.NodeKey("n-0"), protocol.NodeRecord{Lease: 3})
	b.watchPut(protocol.NodeKey("n-1"), protocol.NodeRecord{Lease: 4})
	for i := 1; i < len(b.partitions); i++ {
		b.watchPut(protocol.OwnerKey(i), protocol.OwnerRecord{Node: "n-0", Token: 7, Lease: 3})
	}
	now = now.Add(10 * time.Second)
	b.noteWorkerContact(now)
	tell := func(blind bool) { *b.peers["n-1"] = peer{lastHint: now, stateOK: true, workersUnreachable: blind} }
	tell(true)
	if b.rebalance(now); !b.lastRelease.IsZero() {
		t.Fatal("a share was handed to a node that hears no workers")
	}
	if d := b.takeoverDelay(b.partitions[0], 0, now); d > 2*time.Second {
		t.Fatalf("a node that hears workers waits %v", d)
	}
	// It is blind itself now: it gives its shares up, if the other one is not.
	now = now.Add(b.workerContactTimeout() + time.Second)
	b.RecordContact(now)
	b.probeWorkers(now)
	tell(true)
	if b.releaseIfCutOff(now); !b.lastRelease.IsZero() {
		t.Fatal("shares given up to a node that is blind too")
	}
	tell(false)
	if b.releaseIfCutOff(now); b.lastRelease.IsZero() {
		t.Fatal("a node that hears no workers keeps its shares")
	}
	if d := b.takeoverDelay(b.partitions[0], 0, now); d < 8*time.Second {
		t.Fatalf("a blind node takes a share after %v", d)
	}
}

// A node that stood still for a minute has not heard its workers for so long, and
// knows nothing of them.
func TestOwnStallIsNoSilence(t *testing.T) {
	b := newTestNode(t)
	b.addRunningMachines(20)
	now := time.Now()
	b.detectStall(now)
	for _, m := range b.partitions[0].machines {
		m.lastFencedReport = now
	}
	b.peers["n-1"].lastHint = now
	now = now.Add(time.Minute)
	b.detectStall(now)
	b.RecordContact(now)
	b.detectZoneOutages(now)
	for _, m := range b.partitions[0].machines {
		if b.presumedDead(m, now) || b.reportsOverdue(m, now) || b.silent(m, now) {
			t.Fatalf("%s counts as silent for the node's own stall", m.name)
		}
	}
	if !b.receivesHints("n-1", now) {
		t.Fatal("a sibling counts as silent for the node's own stall")
	}
	if b.releaseIfCutOff(now); !b.lastRelease.IsZero() {
		t.Fatal("the shares are given up for the node's own stall")
	}
	// Silence from now on counts.
	for range 40 {
		now = now.Add(time.Second)
		b.detectStall(now)
		b.RecordContact(now)
	}
	if m := b.partitions[0].machines[0]; !b.silent(m, now) {
		t.Fatal("a machine that is silent after the stall is not noticed")
	}
}
