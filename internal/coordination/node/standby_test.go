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

// partitionOwners are who holds each share, by the store.
func (w *simCluster) partitionOwners() [3]protocol.OwnerRecord {
	var out [3]protocol.OwnerRecord
	for i := range out {
		if it, err := w.state.Get(w.ctx, protocol.OwnerKey(i)); err == nil && it.Value != nil {
			json.Unmarshal(it.Value, &out[i])
		}
	}
	return out
}

// ownedBy are the shares that a node holds.
func (w *simCluster) ownedBy(name string) []int {
	var out []int
	for i, h := range w.partitionOwners() {
		if h.Node == name && h.Token != 0 {
			out = append(out, i)
		}
	}
	return out
}

// timeWithoutOwner is how long until all of some shares have another holder than a node.
func (w *simCluster) timeWithoutOwner(from string, shares []int, within time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < within {
		all := true
		for _, i := range shares {
			h := w.partitionOwners()[i]
			all = all && h.Token != 0 && h.Node != from
		}
		if all {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return within
}

// runIdleCluster is a world with nothing to do, in which a test makes holders end.
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

// How long a share has nobody, by cause: a process that ended is found out through the
// store in less than its lease; an orderly end hands over; a stall waits for the lease,
// and no longer.
func TestTakeOverTimes(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runIdleCluster(t, seed, func(w *simCluster) {
				for _, c := range []struct {
					name string
					most time.Duration
					end  func(name string)
				}{
					{"ended", 1300 * time.Millisecond, // if the first standby is not there, the second takes it 0.3 s later
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
					{"stood still", leaseTTL + 600*time.Millisecond, func(name string) { go w.freeze(name, 20*time.Second) }},
				} {
					time.Sleep(w.randDuration(8*time.Second, 9*time.Second))
					name := w.names[w.plan.IntN(3)]
					held := w.ownedBy(name)
					if len(held) == 0 {
						continue // it has just come back
					}
					c.end(name)
					took := w.timeWithoutOwner(name, held, 10*time.Second)
					t.Logf("%s %s: %d shares had nobody for %v", name, c.name, len(held), took)
					if took > c.most {
						t.Errorf("that is more than %v", c.most)
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

// What looks like an end and is none makes no share change hands: controllers that
// refuse one another's connections, hints lost, a process that is back at once.
func TestNoShareChangesHandsWithoutCause(t *testing.T) {
	for seed := range uint64(4) {
		runIdleCluster(t, 20+seed, func(w *simCluster) {
			time.Sleep(5 * time.Second)
			was := w.partitionOwners()
			for range 3 {
				w.withLock(func() { w.refusePeerConns = true })
				time.Sleep(w.randDuration(2*time.Second, 30*time.Second))
				w.withLock(func() { w.refusePeerConns = false })
				time.Sleep(w.randDuration(time.Second, 8*time.Second))
			}
			if now := w.partitionOwners(); now != was {
				t.Errorf("seed %d: %v, then %v", seed, was, now)
			}
		})
	}
}

// A rolling restart: each share moves to a standby when its holder leaves, and nobody is
// without for long, also if two leave at once by mistake.
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
				held := w.ownedBy(name)
				go leave(name)
				if took := w.timeWithoutOwner(name, held, 10*time.Second); took > time.Second {
					w.t.Errorf("%s left, and its shares had nobody for %v", name, took)
				}
				time.Sleep(15 * time.Second)
			}
			go leave("n-0")
			go leave("n-1")
			if took := w.timeWithoutOwner("n-0", w.ownedBy("n-0"), 10*time.Second); took > 3*time.Second {
				w.t.Errorf("two left at once, and shares had nobody for %v", took)
			}
			time.Sleep(20 * time.Second)
		})
	}
}

// Holders that end, leave, stall and are filtered in every phase of one another's
// take-overs, with lost and late messages: no rule breaks.
func TestTakeOversAmidTroubles(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { simulate(t, 60+seed, 16, defaultSettings, handChanges) })
	}
}

func handChanges(w *simCluster) {
	w.withLock(func() { w.lateTxnRate = 0.5 })
	for range 7 {
		name := w.names[w.plan.IntN(3)]
		switch w.plan.IntN(6) {
		case 0:
			w.crash(name)
		case 1: // and the next one right after
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

// What hints say may be old, repeated, in another order or plain wrong: costs change, and
// nothing that a rule depends on.
func TestHintsProveNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newTestNode(t)
		b.addFleet(3, 1)
		b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
		b.refreshIndex(time.Now())
		used := b.teams[0].Used
		b.watchPut(protocol.NodeKey("n-1"), protocol.NodeRecord{Lease: 2})
		last := uint64(0)
		for range rapid.IntRange(1, 20).Draw(rt, "hints") {
			h := protocol.Hint{Node: rapid.SampledFrom([]string{"n-1", "n-2", "n-9"}).Draw(rt, "from"), Incarnation: rapid.Uint64Range(0, 2).Draw(rt, "life"), Seq: rapid.Uint64Range(0, 9).Draw(rt, "seq")}
			for _, m := range []string{"host-001000", "host-001001", "host-900000"} {
				h.Machines = append(h.Machines, protocol.MachineHint{Machine: m, SecPerGB: rapid.SampledFrom([]float64{0, 2.5, -1, 1e9, math.NaN(), math.Inf(1)}).Draw(rt, "cost"),
					AgeS: rapid.SampledFrom([]float64{0, 3, -5, 1e9, math.NaN()}).Draw(rt, "age")})
			}
			h.RefusedOffers = []protocol.RefusedOffer{{Type: "g4", Zone: "a", ForS: rapid.SampledFrom([]float64{5, 1e9, math.NaN(), -1}).Draw(rt, "for")}}
			if b.ReceiveHint(h.Encode()) != nil {
				rt.Fatal("not decoded")
			}
			(<-b.mailbox)()
			if s := b.peers["n-1"]; h.Node == "n-1" {
				if s.seq != last && (s.incarnation != 2 || s.seq < last) {
					rt.Fatalf("a hint counts that is older, or of another life: %d of %d after %d", s.seq, s.incarnation, last)
				}
				last = s.seq
			}
		}
		now := time.Now()
		for _, m := range b.partitions[0].machines {
			if m.fenced || m.secPerGB < 0 || m.secPerGB > maxSecPerGB || math.IsNaN(m.secPerGB) || m.lastReport.After(now.Add(time.Second)) {
				rt.Fatalf("%s: %+v", m.name, m)
			}
		}
		if b.teams[0].Used != used || len(b.cloudState.refusedUntil) > 0 {
			rt.Fatal("a hint changed a quota, or what this node asks the cloud for")
		}
		b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{})
		b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
		for _, till := range b.cloudState.refusedUntil {
			if till.After(now.Add(time.Minute)) {
				rt.Fatal("a refusal for ever")
			}
		}
	})
}

// A node that is asked whether it lives answers; the first decision waits for what must
// hold, and is told.
func TestFirstDecisionWaits(t *testing.T) {
	b := newTestNode(t)
	b.addFleet(4, 1)
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
	s, now := b.partitions[0], time.Now()
	b.RecordContact(now)
	if b.mayDecide(s, now) {
		t.Fatal("decides before any machine has spoken under its token")
	}
	m := s.machines[1]
	b.acceptWorkerReport(m, &protocol.Report{Machine: m.name, Session: 1, Seq: 1, Token: 9}, 9, now)
	b.reachability.stallEnded = now
	if b.mayDecide(s, now) {
		t.Fatal("decides right after it stood still")
	}
	now = now.Add(time.Second)
	types := b.machineTypes
	b.machineTypes = nil
	if b.mayDecide(s, now) {
		t.Fatal("decides without machine types")
	}
	b.machineTypes = types
	if !b.mayDecide(s, now) || !s.takeover.decided {
		t.Fatalf("does not decide: waits for %v", s.takeover.blockedBy)
	}
	if b.mayDecide(b.partitions[1], now) {
		t.Error("decides for a share that it does not hold")
	}
	b.OnConnEvent("n-9", transport.ConnLost) // nobody that it knows
	(<-b.mailbox)()
}
