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

// restart ends a process and starts the next one after a delay, which may be zero.
func (w *simCluster) restart(name string, after time.Duration) {
	w.stopNode(name)
	time.Sleep(after)
	w.startIfStopped(name)
}

// fastRestarts restarts processes at any time after a delay of zero to one second: twice within one
// lease, all at once, one after the other, during handovers, and while the state service is down,
// loses answers, or executes unanswered writes late.
func fastRestarts(w *simCluster) {
	w.withLock(func() { w.lateTxnRate = 0.5 })
	delay := func() time.Duration { return time.Duration(w.plan.IntN(3)) * w.randDuration(0, 500*time.Millisecond) }
	for range 10 {
		name := w.names[w.plan.IntN(3)]
		switch w.plan.IntN(7) {
		case 0:
			w.restart(name, delay())
		case 1: // twice within one lease
			w.restart(name, delay())
			time.Sleep(w.randDuration(time.Millisecond, 1200*time.Millisecond))
			w.restart(name, delay())
		case 2: // all at once
			for _, each := range w.names {
				w.stop[each]()
				w.withLock(func() { w.nodes[each] = nil })
			}
			time.Sleep(delay())
			for _, each := range w.names {
				w.startNode(each)
				time.Sleep(w.randDuration(0, 300*time.Millisecond))
			}
		case 3: // one after the other, each before the previous restart is complete
			for _, each := range w.names {
				w.restart(each, delay())
				time.Sleep(w.randDuration(0, 1500*time.Millisecond))
			}
		case 4: // during its handover
			if n := w.node(name); n != nil {
				go n.Leave()
				time.Sleep(w.randDuration(0, 500*time.Millisecond))
			}
			w.restart(name, delay())
		case 5:
			w.withLock(func() { w.outage = true })
			w.restart(name, delay())
			time.Sleep(w.randDuration(0, 4*time.Second))
			w.withLock(func() { w.outage = false })
		case 6:
			w.withLock(func() { w.lossRate = 0.2 })
			w.restart(name, delay())
			time.Sleep(w.randDuration(0, 3*time.Second))
			w.restart(name, delay())
			w.withLock(func() { w.lossRate = 0 })
		}
		time.Sleep(w.randDuration(time.Millisecond, 5*time.Second))
	}
}

// A process that is back before its lease has expired meets the records of the previous process. No
// rule may be violated, and every job ends.
func TestFastRestarts(t *testing.T) {
	for seed := range seedCount(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { simulate(t, 900+seed, 16, defaultSettings, fastRestarts) })
	}
}

// The same with new jobs and their changes stored in packed entries of few slots.
func TestFastRestartsWithEntries(t *testing.T) {
	storeOnlyEntries(t, 4)
	for seed := range seedCount(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { simulate(t, 950+seed, 16, defaultSettings, fastRestarts) })
	}
}

// A process in a restart loop must not leave stored data that accumulates, must not cost another
// node its partitions, and its own partitions are served soon after the last restart.
func TestRestartLoop(t *testing.T) {
	runIdleCluster(t, 31, func(w *simCluster) {
		count := func() int {
			items, _, _ := w.state.List(t.Context(), "")
			return len(items)
		}
		name := w.names[1]
		others := func() []protocol.OwnerRecord {
			return slices.DeleteFunc(append([]protocol.OwnerRecord{}, asSlice(w.partitionOwners())...), func(h protocol.OwnerRecord) bool { return h.Node == name || h.Token == 0 })
		}
		before, ownedBefore := count(), others()
		for range 40 {
			w.restart(name, w.randDuration(0, 400*time.Millisecond))
			time.Sleep(w.randDuration(0, 400*time.Millisecond))
		}
		began := time.Now()
		for time.Since(began) < 10*time.Second && slices.ContainsFunc(asSlice(w.partitionOwners()), func(h protocol.OwnerRecord) bool { return h.Token == 0 }) {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("a partition has no owner for %v after the last restart", took)
		}
		for _, h := range ownedBefore {
			if !slices.Contains(others(), h) {
				t.Errorf("%s owned a partition with token %d and has lost it: %v", h.Node, h.Token, others())
			}
		}
		time.Sleep(20 * time.Second)
		if now := count(); now > before+1 {
			t.Errorf("%d keys are stored, %d before", now, before)
		}
	})
}

func asSlice(h [3]protocol.OwnerRecord) []protocol.OwnerRecord { return h[:] }

// Two processes of one node run at a time, as after a stalled one was replaced. All nodes accept
// the later one. The earlier one owns nothing while the later one lives, and serves again after the
// later one has ended.
func TestTwoProcessesOfOneNode(t *testing.T) {
	for seed := range seedCount(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulate(t, 990+seed, 12, defaultSettings, func(w *simCluster) {
				time.Sleep(w.randDuration(5*time.Second, 9*time.Second))
				name := w.names[w.plan.IntN(3)]
				first, stopFirst := w.node(name), w.stop[name]
				w.startNode(name)
				second := w.node(name)
				time.Sleep(w.randDuration(4*time.Second, 6*time.Second))
				lease := func(n *Node) uint64 { return onActor(n, func() uint64 { return n.lease }) }
				if a, b := lease(first), lease(second); a != 0 || b == 0 {
					t.Errorf("the earlier process has lease %d, the later one %d", a, b)
				}
				if onActor(first, func() bool { return first.ready(time.Now()) }) {
					t.Error("the earlier process is ready")
				}
				for i, h := range w.partitionOwners() {
					if h.Node == name && h.Lease != lease(second) {
						t.Errorf("partition %d is owned with lease %d", i, h.Lease)
					}
				}
				w.stop[name]()
				w.withLock(func() { w.nodes[name], w.stop[name] = first, stopFirst })
				time.Sleep(leaseTTL + 1500*time.Millisecond)
				if lease(first) == 0 || !onActor(first, func() bool { return first.ready(time.Now()) }) {
					t.Error("the earlier process does not serve after the later one has ended")
				}
			})
		})
	}
}

// A delayed write of an earlier process must not replace the node record. Without the condition on
// the stored version it does, and the test must detect that.
func TestDelayedRecordOfEarlierProcess(t *testing.T) {
	for _, sabotaged := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			w := newSimCluster(t, ctx, 5, defaultSettings)
			time.Sleep(5 * time.Second)
			key := protocol.NodeKey("n-1")
			before, _ := w.state.Get(ctx, key)
			node := w.node("n-1")
			former := onActor(node, func() uint64 { return node.lease })
			// The last write of the earlier process is in flight when it ends, and the state
			// service executes it after the next process has stored its record.
			w.restart("n-1", 0)
			time.Sleep(time.Second)
			if now, _ := w.state.Get(ctx, key); now.Revision == before.Revision {
				t.Fatal("the next process has stored nothing")
			}
			cond := []storage.Cond{{Key: key, Revision: before.Revision}}
			if sabotaged {
				cond = nil
			}
			lease := former
			if sabotaged {
				lease, _ = w.state.Grant(ctx, leaseTTL) // a lease that is never released
			}
			ok, _, _, err := w.state.Txn(ctx, cond, []storage.Write{{Put: key, Value: mustJSON(protocol.NodeRecord{Lease: lease, Version: protocol.RecordVersion}), Lease: lease}})
			time.Sleep(500 * time.Millisecond)
			steppedDown := onActor(w.node("n-1"), func() bool { return w.node("n-1").lease == 0 })
			if (ok && err == nil || steppedDown) != sabotaged {
				t.Errorf("a delayed record of an earlier process (without its condition: %v): stored %v, %v; the present one stepped down: %v", sabotaged, ok, err, steppedDown)
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
