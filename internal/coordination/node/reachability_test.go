package node

import (
	"fmt"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// addRunningMachines records machines that are up, according to an earlier owner, in the partition
// that the node owns.
func (b *testNode) addRunningMachines(count int) {
	rec := protocol.BatchRecord{}
	for i := range count {
		rec.Machines = append(rec.Machines, protocol.MachineRecord{Name: fmt.Sprintf("host-%d", 100+i), Type: "g4", Zone: "a", Addr: "x:1"})
	}
	b.workers = &scriptedWorkers{}
	b.watchPut(protocol.BatchKey("r-0-6-1-0"), rec)
}

// A node that had lost the workers was given a partition because it owned none, heard from none of
// its machines, and 22 s later returned all 1,300 of them, with 3,000 tasks (in a simulation). If all
// machines are silent, the network is the cause, whether or not this node ever heard from them.
func TestOwnerCutOffFromWorkersReturnsNoMachines(t *testing.T) {
	b := newTestNode(t)
	b.addRunningMachines(20)
	start := time.Now()
	for s := range 80 {
		now := start.Add(time.Duration(s) * time.Second)
		b.RecordContact(now)
		b.detectZoneOutages(now)
		for _, m := range b.partitions[0].machines {
			if m.hasBooted() && b.presumedDead(m, now) {
				t.Fatalf("%s is given up %d s after the partition was taken over", m.name, s)
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

// Partitions go only to nodes that hear from workers, and a node that does not is slow to take one.
func TestNodeCutOffFromWorkersGetsNoPartition(t *testing.T) {
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
	hintFromPeer := func(blind bool) { *b.peers["n-1"] = peer{lastHint: now, stateOK: true, workersUnreachable: blind} }
	hintFromPeer(true)
	if b.rebalance(now); !b.lastRelease.IsZero() {
		t.Fatal("a partition was released to a node that hears from no workers")
	}
	if d := b.takeoverDelay(b.partitions[0], 0, now); d > 2*time.Second {
		t.Fatalf("a node that hears from workers waits %v before it takes a partition", d)
	}
	// Now the node itself is cut off: it releases its partitions if the other one is not.
	now = now.Add(b.workerContactTimeout() + time.Second)
	b.RecordContact(now)
	b.probeWorkers(now)
	hintFromPeer(true)
	if b.releaseIfCutOff(now); !b.lastRelease.IsZero() {
		t.Fatal("partitions were released although the other node is cut off from the workers too")
	}
	hintFromPeer(false)
	if b.releaseIfCutOff(now); b.lastRelease.IsZero() {
		t.Fatal("a node that hears from no workers keeps its partitions")
	}
	if d := b.takeoverDelay(b.partitions[0], 0, now); d < 8*time.Second {
		t.Fatalf("a node that is cut off from the workers takes a partition after %v", d)
	}
}

// A node that was stalled for a minute has not heard from its workers for that long. It must not
// conclude anything from that.
func TestOwnStallIsNotWorkerSilence(t *testing.T) {
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
			t.Fatalf("%s counts as silent because of the node's own stall", m.name)
		}
	}
	if !b.receivesHints("n-1", now) {
		t.Fatal("a peer counts as silent because of the node's own stall")
	}
	if b.releaseIfCutOff(now); !b.lastRelease.IsZero() {
		t.Fatal("the partitions were released because of the node's own stall")
	}
	// Silence after the stall counts.
	for range 40 {
		now = now.Add(time.Second)
		b.detectStall(now)
		b.RecordContact(now)
	}
	if m := b.partitions[0].machines[0]; !b.silent(m, now) {
		t.Fatal("a machine that is silent after the stall is not detected")
	}
}
