package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/transport"
)

// partitionOwners returns the stored owner records of all partitions.
func (w *simCluster) partitionOwners() [3]protocol.OwnerRecord {
	var out [3]protocol.OwnerRecord
	for i := range out {
		if it, err := w.state.Get(w.ctx, protocol.OwnerKey(i)); err == nil && it.Value != nil {
			json.Unmarshal(it.Value, &out[i])
		}
	}
	return out
}

// ownedBy returns the partitions that a node owns.
func (w *simCluster) ownedBy(name string) []int {
	var out []int
	for i, h := range w.partitionOwners() {
		if h.Node == name && h.Token != 0 {
			out = append(out, i)
		}
	}
	return out
}

// timeWithoutOwner returns how long it takes until each of the partitions has an owner other than a
// given node.
func (w *simCluster) timeWithoutOwner(previous string, partitions []int, within time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < within {
		all := true
		for _, i := range partitions {
			record := w.partitionOwners()[i]
			all = all && record.Token != 0 && record.Node != previous
		}
		if all {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return within
}

// runIdleCluster runs a test in a cluster without jobs.
func runIdleCluster(t *testing.T, seed uint64, f func(w *simCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, seed, defaultSettings)
		time.Sleep(10 * time.Second)
		f(w)
		for _, stop := range w.stop {
			stop()
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}

// Limits how long a partition has no owner, by cause. The end of a process is detected through the
// state service in less than its lease, an orderly shutdown hands over, and a stall takes the lease
// and no longer.
func TestTakeoverTimes(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runIdleCluster(t, seed, func(w *simCluster) {
				for _, c := range []struct {
					name  string
					limit time.Duration
					end   func(name string)
				}{
					{"ended", 1300 * time.Millisecond, // if the first standby is gone too, the second takes over 0.3 s later
						func(name string) {
							w.stop[name]()
							w.withLock(func() { w.nodes[name] = nil })
						}},
					{"left", 500 * time.Millisecond, func(name string) {
						n := w.node(name)
						n.Leave()
						w.stop[name]()
						w.withLock(func() { w.nodes[name] = nil })
					}},
					{"stalled", leaseTTL + 600*time.Millisecond, func(name string) { go w.freeze(name, 20*time.Second) }},
				} {
					time.Sleep(w.randDuration(8*time.Second, 9*time.Second))
					name := w.names[w.plan.IntN(3)]
					owned := w.ownedBy(name)
					if len(owned) == 0 {
						continue // it has just come back
					}
					c.end(name)
					took := w.timeWithoutOwner(name, owned, 10*time.Second)
					t.Logf("%s %s: %d partitions had no owner for %v", name, c.name, len(owned), took)
					if took > c.limit {
						t.Errorf("that is more than %v", c.limit)
					}
					time.Sleep(21 * time.Second)
					if w.node(name) == nil {
						w.startNode(name)
						time.Sleep(12 * time.Second)
					}
				}
			})
		})
	}
}

// A network fault between controllers looks like the end of a process. No partition may change its
// owner when controllers refuse each other's connections or hints are lost.
func TestNoOwnerChangeWithoutCause(t *testing.T) {
	for seed := range uint64(4) {
		runIdleCluster(t, 20+seed, func(w *simCluster) {
			time.Sleep(5 * time.Second)
			before := w.partitionOwners()
			for range 3 {
				w.withLock(func() { w.refusePeerConns = true })
				time.Sleep(w.randDuration(2*time.Second, 30*time.Second))
				w.withLock(func() { w.refusePeerConns = false })
				time.Sleep(w.randDuration(time.Second, 8*time.Second))
			}
			if now := w.partitionOwners(); now != before {
				t.Errorf("seed %d: %v, then %v", seed, before, now)
			}
		})
	}
}

// Rolling restart: when a node leaves, each of its partitions moves to a standby without a long
// gap, also if two nodes leave at once by mistake.
func TestRollingRestart(t *testing.T) {
	for seed := range uint64(3) {
		simulate(t, 40+seed, 16, defaultSettings, func(w *simCluster) {
			leave := func(name string) {
				n := w.node(name)
				n.Leave()
				w.stop[name]()
				w.withLock(func() { w.nodes[name] = nil })
				time.Sleep(3 * time.Second)
				w.startNode(name)
			}
			for _, name := range w.names {
				owned := w.ownedBy(name)
				go leave(name)
				if took := w.timeWithoutOwner(name, owned, 10*time.Second); took > time.Second {
					w.t.Errorf("%s left, and its partitions had no owner for %v", name, took)
				}
				time.Sleep(15 * time.Second)
			}
			go leave("n-0")
			go leave("n-1")
			if took := w.timeWithoutOwner("n-0", w.ownedBy("n-0"), 10*time.Second); took > 3*time.Second {
				w.t.Errorf("two nodes left at once, and partitions had no owner for %v", took)
			}
			time.Sleep(20 * time.Second)
		})
	}
}

// Owners end, leave, stall and lose connections during every phase of each other's takeovers, with
// lost and delayed messages. No rule may be violated.
func TestTakeoversUnderFaults(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { simulate(t, 60+seed, 16, defaultSettings, takeoverFaults) })
	}
}

// takeoverFaults injects faults around changes of owners.
func takeoverFaults(w *simCluster) {
	w.withLock(func() { w.lateTxnRate = 0.5 })
	for range 7 {
		name := w.names[w.plan.IntN(3)]
		switch w.plan.IntN(6) {
		case 0:
			w.crash(name)
		case 1: // and the next node right after
			go w.crash(name)
			time.Sleep(w.randDuration(time.Millisecond, 1500*time.Millisecond))
			w.freeze(w.names[(slices.Index(w.names, name)+1)%3], w.randDuration(500*time.Millisecond, 6*time.Second))
		case 2:
			if n := w.node(name); n != nil {
				n.Leave()
				w.crash(name)
			}
		case 3:
			w.withLock(func() { w.refusePeerConns = true })
			w.freeze(name, w.randDuration(time.Second, 8*time.Second))
			w.withLock(func() { w.refusePeerConns = false })
		case 4:
			w.withLock(func() { w.lossRate = 0.2 })
			w.crash(name)
			w.withLock(func() { w.lossRate = 0 })
		case 5:
			w.withLock(func() { w.refusePeerConns, w.stateRefused[name] = true, true })
			time.Sleep(w.randDuration(time.Second, 8*time.Second))
			w.withLock(func() { w.refusePeerConns, w.stateRefused[name] = false, false })
		}
		time.Sleep(w.randDuration(time.Millisecond, 6*time.Second))
	}
}

// Hints may be outdated, repeated, reordered or invalid. They may change cost estimates, and
// nothing that a rule depends on.
func TestHintsProveNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		node := newTestNode(t)
		node.addFleet(3, 1)
		node.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
		node.refreshIndex(time.Now())
		used := node.teams[0].Used
		node.watchPut(protocol.NodeKey("n-1"), protocol.NodeRecord{Lease: 2})
		last := uint64(0)
		for range rapid.IntRange(1, 20).Draw(rt, "hints") {
			h := protocol.Hint{Node: rapid.SampledFrom([]string{"n-1", "n-2", "n-9"}).Draw(rt, "from"), Incarnation: rapid.Uint64Range(0, 2).Draw(rt, "life"), Seq: rapid.Uint64Range(0, 9).Draw(rt, "seq")}
			for _, m := range []string{"host-001000", "host-001001", "host-900000"} {
				h.Machines = append(h.Machines, protocol.MachineHint{Machine: m, SecPerGB: rapid.SampledFrom([]float64{0, 2.5, -1, 1e9, math.NaN(), math.Inf(1)}).Draw(rt, "cost"),
					AgeS: rapid.SampledFrom([]float64{0, 3, -5, 1e9, math.NaN()}).Draw(rt, "age")})
			}
			h.RefusedOffers = []protocol.RefusedOffer{{Type: "g4", Zone: "a", ForS: rapid.SampledFrom([]float64{5, 1e9, math.NaN(), -1}).Draw(rt, "for")}}
			if node.ReceiveHint(h.Encode()) != nil {
				rt.Fatal("hint rejected")
			}
			(<-node.mailbox)()
			if s := node.peers["n-1"]; h.Node == "n-1" {
				if s.seq != last && (s.incarnation != 2 || s.seq < last) {
					rt.Fatalf("accepted an outdated hint or one of another process: %d of %d after %d", s.seq, s.incarnation, last)
				}
				last = s.seq
			}
		}
		now := time.Now()
		for _, m := range node.partitions[0].machines {
			if m.fenced || m.secPerGB < 0 || m.secPerGB > maxSecPerGB || math.IsNaN(m.secPerGB) || m.lastReport.After(now.Add(time.Second)) {
				rt.Fatalf("%s: %+v", m.name, m)
			}
		}
		if node.teams[0].Used != used || len(node.cloudState.refusedUntil) > 0 {
			rt.Fatal("a hint changed a quota, or what this node asks the cloud for")
		}
		node.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{})
		node.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
		for _, till := range node.cloudState.refusedUntil {
			if till.After(now.Add(time.Minute)) {
				rt.Fatal("a refused offer is kept for too long")
			}
		}
	})
}

// The first decision of a new owner waits until a machine has reported under its token, for a
// moment after a stall, and for machine types. An owner that decides earlier may act on incomplete
// state.
func TestFirstDecisionWaitsForChecks(t *testing.T) {
	node := newTestNode(t)
	node.addFleet(4, 1)
	node.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	node.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
	p, now := node.partitions[0], time.Now()
	node.RecordContact(now)
	if node.mayDecide(p, now) {
		t.Fatal("decides before any machine has reported under its token")
	}
	m := p.machines[1]
	node.acceptWorkerReport(m, &protocol.Report{Machine: m.name, Session: 1, Seq: 1, Token: 9}, now)
	node.reachability.stallEnded = now
	if node.mayDecide(p, now) {
		t.Fatal("decides right after a stall")
	}
	now = now.Add(time.Second)
	types := node.machineTypes
	node.machineTypes = nil
	if node.mayDecide(p, now) {
		t.Fatal("decides without machine types")
	}
	node.machineTypes = types
	if !node.mayDecide(p, now) || !p.takeover.decided {
		t.Fatalf("does not decide: waits for %v", p.takeover.blockedBy)
	}
	if node.mayDecide(node.partitions[1], now) {
		t.Error("decides for a partition that it does not own")
	}
	node.OnConnEvent("n-9", transport.ConnLost) // an unknown node is ignored
	(<-node.mailbox)()
}
