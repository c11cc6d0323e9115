package node

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// restart ends a process and begins the next one after a while, perhaps none.
func (w *simCluster) restart(name string, after time.Duration) {
	w.stopNode(name)
	time.Sleep(after)
	w.startIfStopped(name)
}

// fastRestarts are processes that end at any time and are back after none to a second:
// twice within one lease, all at once, one after the other, amid hand-overs, and while the
// state service is away, loses answers, or executes late what it did not answer.
func fastRestarts(w *simCluster) {
	w.withLock(func() { w.lateTxnRate = 0.5 })
	back := func() time.Duration { return time.Duration(w.plan.IntN(3)) * w.randDuration(0, 500*time.Millisecond) }
	for range 10 {
		name := w.names[w.plan.IntN(3)]
		switch w.plan.IntN(7) {
		case 0:
			w.restart(name, back())
		case 1: // twice within one lease
			w.restart(name, back())
			time.Sleep(w.randDuration(time.Millisecond, 1200*time.Millisecond))
			w.restart(name, back())
		case 2: // all at once
			for _, x := range w.names {
				w.stop[x]()
				w.withLock(func() { w.nodes[x] = nil })
			}
			time.Sleep(back())
			for _, x := range w.names {
				w.startNode(x)
				time.Sleep(w.randDuration(0, 300*time.Millisecond))
			}
		case 3: // one after the other, each before the one before is done
			for _, x := range w.names {
				w.restart(x, back())
				time.Sleep(w.randDuration(0, 1500*time.Millisecond))
			}
		case 4: // in the middle of its hand-over
			if n := w.node(name); n != nil {
				go n.Leave()
				time.Sleep(w.randDuration(0, 500*time.Millisecond))
			}
			w.restart(name, back())
		case 5:
			w.withLock(func() { w.outage = true })
			w.restart(name, back())
			time.Sleep(w.randDuration(0, 4*time.Second))
			w.withLock(func() { w.outage = false })
		case 6:
			w.withLock(func() { w.lossRate = 0.2 })
			w.restart(name, back())
			time.Sleep(w.randDuration(0, 3*time.Second))
			w.restart(name, back())
			w.withLock(func() { w.lossRate = 0 })
		}
		time.Sleep(w.randDuration(time.Millisecond, 5*time.Second))
	}
}

// Processes that are back before anyone has missed them: no rule breaks, and every job ends.
func TestFastRestarts(t *testing.T) {
	for seed := range seedCount(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { simulate(t, 900+seed, 16, defaultSettings, fastRestarts) })
	}
}

// The same while all that is new of jobs is stored in entries of few slots.
func TestFastRestartsWithEntries(t *testing.T) {
	storeOnlyEntries(t, 4)
	for seed := range seedCount(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { simulate(t, 950+seed, 16, defaultSettings, fastRestarts) })
	}
}

// A process that ends again and again, every fraction of a second, leaves nothing behind that
// grows, costs no share of another, and its own shares are served soon after the last time.
func TestEndingAgainAndAgain(t *testing.T) {
	runIdleCluster(t, 31, func(w *simCluster) {
		count := func() int {
			items, _, _ := w.state.List(t.Context(), "")
			return len(items)
		}
		name := w.names[1]
		others := func() []protocol.OwnerRecord {
			return slices.DeleteFunc(append([]protocol.OwnerRecord{}, sliceOf(w.partitionOwners())...), func(h protocol.OwnerRecord) bool { return h.Node == name || h.Token == 0 })
		}
		before, was := count(), others()
		for range 40 {
			w.restart(name, w.randDuration(0, 400*time.Millisecond))
			time.Sleep(w.randDuration(0, 400*time.Millisecond))
		}
		began := time.Now()
		for time.Since(began) < 10*time.Second && slices.ContainsFunc(sliceOf(w.partitionOwners()), func(h protocol.OwnerRecord) bool { return h.Token == 0 }) {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("a share has nobody for %v after the last end", took)
		}
		for _, h := range was {
			if !slices.Contains(others(), h) {
				t.Errorf("%s held a share with token %d, and then not: %v", h.Node, h.Token, others())
			}
		}
		time.Sleep(20 * time.Second)
		if now := count(); now > before+1 {
			t.Errorf("%d keys are stored, %d before", now, before)
		}
	})
}

func sliceOf(h [3]protocol.OwnerRecord) []protocol.OwnerRecord { return h[:] }

// Two processes of one name at a time, as after one that stood still was replaced: the later
// one is believed, by all and by the earlier one, which holds nothing while the later one
// lives, and serves again once it has ended.
func TestTwoLivesOfOneNode(t *testing.T) {
	for seed := range seedCount(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulate(t, 990+seed, 12, defaultSettings, func(w *simCluster) {
				time.Sleep(w.randDuration(5*time.Second, 9*time.Second))
				name := w.names[w.plan.IntN(3)]
				first, end := w.node(name), w.stop[name]
				w.startNode(name)
				second := w.node(name)
				time.Sleep(w.randDuration(4*time.Second, 6*time.Second))
				lease := func(n *Node) uint64 { return onActor(n, func() uint64 { return n.lease }) }
				if a, b := lease(first), lease(second); a != 0 || b == 0 {
					t.Errorf("the earlier process has lease %d, the later one %d", a, b)
				}
				if onActor(first, func() bool { return first.ready(time.Now()) }) {
					t.Error("the earlier process says that it is ready")
				}
				for i, h := range w.partitionOwners() {
					if h.Node == name && h.Lease != lease(second) {
						t.Errorf("share %d is held with lease %d", i, h.Lease)
					}
				}
				w.stop[name]()
				w.withLock(func() { w.nodes[name], w.stop[name] = first, end })
				time.Sleep(leaseTTL + 1500*time.Millisecond)
				if lease(first) == 0 || !onActor(first, func() bool { return first.ready(time.Now()) }) {
					t.Error("the earlier process does not come back when the later one has ended")
				}
			})
		})
	}
}

// What a former life sent and what arrives late changes nothing: its record of itself, and a
// share that it takes. The record that is stored without a condition, as before there was
// one, is found.
func TestLateRecordOfAFormerLife(t *testing.T) {
	for _, sabotaged := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			w := newSimCluster(t, ctx, 5, defaultSettings)
			time.Sleep(5 * time.Second)
			key := protocol.NodeKey("n-1")
			was, _ := w.state.Get(ctx, key)
			n := w.node("n-1")
			former := onActor(n, func() uint64 { return n.lease })
			// Its last write is on its way when it ends: the state service executes it when the
			// next life has stored its own.
			w.restart("n-1", 0)
			time.Sleep(time.Second)
			if now, _ := w.state.Get(ctx, key); now.Revision == was.Revision {
				t.Fatal("the next life has stored nothing")
			}
			cond := []storage.Cond{{Key: key, Revision: was.Revision}}
			if sabotaged {
				cond = nil
			}
			lease := former
			if sabotaged {
				lease, _ = w.state.Grant(ctx, leaseTTL) // one that nobody could end
			}
			ok, _, _, err := w.state.Txn(ctx, cond, []storage.Write{{Put: key, Value: mustJSON(protocol.NodeRecord{Lease: lease, Version: protocol.RecordVersion}), Lease: lease}})
			time.Sleep(500 * time.Millisecond)
			stoodBack := onActor(w.node("n-1"), func() bool { return w.node("n-1").lease == 0 })
			if (ok && err == nil || stoodBack) != sabotaged {
				t.Errorf("a late record of a former life (without its condition: %v): stored %v, %v; the present one stood back: %v", sabotaged, ok, err, stoodBack)
			}
			for _, stop := range w.stop {
				stop()
			}
			cancel()
			time.Sleep(2 * time.Minute)
			synctest.Wait()
		})
	}
}
