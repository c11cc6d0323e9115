package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/packed"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
	"dapplestage.example/dapplestage/internal/storage"
)

// storeOnlyEntries makes nodes store everything in entries, with few slots, until the test ends.
func storeOnlyEntries(t *testing.T, slots int) {
	oldSlots := ringSlots
	ringSlots, alwaysPack = slots, true
	t.Cleanup(func() { ringSlots, alwaysPack = oldSlots, false })
}

// jobSummaries returns the stored state of each job that a node knows: each task's phase, attempt and
// machine.
func (n *Node) jobSummaries() map[string]string {
	out := map[string]string{}
	for id, j := range n.jobs {
		var b strings.Builder
		fmt.Fprint(&b, j.spec.Tasks, j.cancelled, j.cancelPending, " ")
		for i := range j.tasks {
			t := &j.tasks[i]
			switch t.phase {
			case phasePlaced:
				fmt.Fprint(&b, t.attempt, "@", t.machine.name, " ")
			case phaseDone:
				b.WriteString("done ")
			default:
				b.WriteString("- ")
			}
		}
		out[id] = b.String()
	}
	return out
}

// summaryByTool returns the same summary from what the operators' tool reads.
func summaryByTool(j *packed.Job) string {
	var b strings.Builder
	fmt.Fprint(&b, j.Spec.Tasks, j.Cancelled, j.Cancelled, " ")
	out := make([]string, j.Spec.Tasks)
	for i := range out {
		out[i] = "-"
	}
	for _, t := range j.Tasks {
		out[t.Task] = fmt.Sprint(t.Attempt, "@", t.Machine)
	}
	for _, i := range j.DoneTasks() {
		out[i] = "done"
	}
	return b.String() + strings.Join(out, " ") + " "
}

// newNodeFromStore returns a node that has just started and has read the stored state.
func newNodeFromStore(t *testing.T, cfg *protocol.Settings, st *standin.State) *Node {
	n := New(t.Context(), cfg, slog.New(slog.NewTextHandler(io.Discard, nil)), st, standin.NewFleet(t.Context()), nil, 1)
	items, rev, _ := st.List(t.Context(), protocol.WatchedRoot)
	n.applyListing(items, rev)
	return n
}

// onActor runs f on a node's actor and returns its result.
func onActor[T any](n *Node, f func() T) T {
	c := make(chan T)
	n.post(func() { c <- f() })
	return <-c
}

// checkMatchesStored compares what a running node knows of jobs with what a node that starts now reads.
// Changes in flight may make them differ, so they must agree within seconds.
func (w *simCluster) checkMatchesStored(name string) {
	var wrong []string
	for range 40 {
		n := w.node(name)
		if n == nil {
			return
		}
		live := onActor(n, n.jobSummaries)
		stored := newNodeFromStore(w.t, w.cfg[name], w.state).jobSummaries()
		items, _, _ := w.state.List(w.t.Context(), protocol.WatchedRoot)
		for id, j := range packed.ReadState(items, ringSlots).Jobs {
			if byTool := summaryByTool(j); byTool != stored[id] && !j.Ticket {
				stored[id] = fmt.Sprintf("%q by the tool, %q by a node", byTool, stored[id])
			}
		}
		wrong = wrong[:0]
		for id := range live {
			if live[id] != stored[id] {
				wrong = append(wrong, fmt.Sprintf("%s: known %q, read %q", id, live[id], stored[id]))
			}
		}
		for id := range stored {
			if _, ok := live[id]; !ok {
				wrong = append(wrong, fmt.Sprintf("%s: not known, read %q", id, stored[id]))
			}
		}
		if len(wrong) == 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	slices.Sort(wrong)
	w.t.Errorf("%s: %d jobs differ: %s", name, len(wrong), strings.Join(wrong[:min(3, len(wrong))], "; "))
}

// Runs random faults while all changes of jobs are stored in entries of few slots and transactions
// are executed late. The rules must hold, every job must end, and what a node knows must match what a
// node that starts reads.
func TestRandomFaultsWithEntries(t *testing.T) {
	storeOnlyEntries(t, 4)
	for seed := range seedCount(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				w := newSimCluster(t, ctx, 500+seed, defaultSettings)
				w.runWorkload(16, func(w *simCluster) {
					randomFaults(w)
					w.withLock(func() { w.lossRate, w.lateTxnRate = 0, 0 })
					time.Sleep(5 * time.Second)
					for _, name := range w.names {
						w.checkMatchesStored(name)
					}
				})
				if it, _ := w.state.Get(ctx, protocol.FormatKey); it.Value == nil {
					t.Error("entries were never written")
				}
				cancel()
				time.Sleep(2 * time.Minute)
				synctest.Wait()
			})
		})
	}
}

// tinyArray returns an array of small tasks that run long.
func tinyArray(i, tasks int) *protocol.JobSpec {
	return &protocol.JobSpec{ID: fmt.Sprintf("job-%06d", i), Team: []string{"red", "blue", "green"}[i%3], Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: tasks, CPUs: 1, GPUs: 0.01, MemoryGB: 1, Image: "i", EstimateS: 1000}
}

// withEntries runs a test in a cluster of three nodes that may write entries.
func withEntries(t *testing.T, seed uint64, day func(w *simCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, seed, defaultSettings)
		time.Sleep(10 * time.Second) // until entries may be written
		day(w)
		for _, b := range w.fleet.Violations {
			t.Errorf("rule broken: %s", b)
		}
		for _, stop := range w.stop {
			stop()
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}

// submitAll submits jobs concurrently, distributed over the nodes.
func (w *simCluster) submitAll(jobs []*protocol.JobSpec) (out []answer) {
	out = make([]answer, len(jobs))
	done := make(chan struct{}, len(jobs))
	for i, s := range jobs {
		go func() {
			out[i], _ = w.submitAt(w.ctx, w.names[i%3], s)
			done <- struct{}{}
		}()
	}
	for range jobs {
		<-done
	}
	return out
}

// Submits 240 jobs within a second, and one of 2,000 tasks, at 40 changes per second. They must be
// accepted within seconds and in fewer changes than jobs, with each value and transaction within its
// limits. If two nodes accept the same id at once, only one job may result.
func TestBurstIsStoredInFewChanges(t *testing.T) {
	withEntries(t, 1, func(w *simCluster) {
		before := w.state.ChangeCount()
		var answers []answer
		open := map[int]bool{}
		for i := range 240 {
			w.fleet.AddJob(tinyArray(i, 1))
			open[i] = true
		}
		w.fleet.AddJob(tinyArray(240, 2000))
		open[240] = true
		from := time.Now()
		for len(open) > 0 && time.Since(from) < time.Minute {
			var ids []int
			for i := range open {
				ids = append(ids, i, i) // its user asks two nodes
			}
			var jobs []*protocol.JobSpec
			for _, id := range ids {
				tasks := 1
				if id == 240 {
					tasks = 2000
				}
				jobs = append(jobs, tinyArray(id, tasks))
			}
			answers = w.submitAll(jobs)
			for k, a := range answers {
				if a.status == 200 || a.status == 201 {
					delete(open, ids[k])
				}
			}
			time.Sleep(time.Second)
		}
		took := time.Since(from)
		if len(open) > 0 || took > 10*time.Second {
			t.Errorf("%d of 241 jobs not accepted after %v", len(open), took)
		}
		if made := w.state.ChangeCount() - before; made > 150 {
			t.Errorf("%d changes", made)
		}
		time.Sleep(20 * time.Second)
		for _, name := range w.names {
			w.checkMatchesStored(name)
			if k := onActor(w.node(name), func() int { return len(w.node(name).jobs) }); k != 241 {
				t.Errorf("%s knows %d jobs", name, k)
			}
		}
		items, _, _ := w.state.List(w.ctx, protocol.WatchedRoot)
		for _, it := range items {
			if len(it.Value) > 8<<10 {
				t.Errorf("%s has %d bytes", it.Key, len(it.Value))
			}
		}
	})
}

// Entries may become disallowed because operators want to go back to an earlier version, or because
// one is running. Then every job must get a record of its own and the entries must become empty, so
// that a version which does not know entries reads the same jobs.
func TestEntriesCanBeDisabled(t *testing.T) {
	storeOnlyEntries(t, 8)
	for _, early := range []bool{false, true} {
		withEntries(t, 2, func(w *simCluster) {
			for i := range 30 {
				w.submit(tinyArray(i, 1+i%7*40))
			}
			time.Sleep(20 * time.Second)
			w.cancel("job-000004")
			items, _, _ := w.state.List(w.ctx, protocol.JobPrefix)
			if len(items) > 20 {
				t.Fatalf("%d records beside the entries", len(items))
			}
			if early {
				w.state.Put(protocol.NodeKey("n-9"), map[string]any{"lease": 1, "v": 1})
			} else {
				w.state.Put(protocol.PolicyKey, func() Policy { p := DefaultPolicy(); p.PlainRecords = true; return p }())
			}
			time.Sleep(60 * time.Second)
			live := onActor(w.node("n-0"), w.node("n-0").jobSummaries)
			items, _, _ = w.state.List(w.ctx, protocol.WatchedRoot)
			for _, it := range items {
				if strings.HasPrefix(it.Key, protocol.LogRoot) || strings.HasPrefix(it.Key, protocol.InboxRoot) {
					if strings.Contains(string(it.Value), "job-") {
						t.Errorf("%s still contains jobs: %.80s", it.Key, it.Value)
					}
				}
			}
			// An earlier version reads only the records.
			n := New(t.Context(), w.cfg["n-0"], slog.New(slog.NewTextHandler(io.Discard, nil)), w.state, standin.NewFleet(t.Context()), nil, 1)
			n.applyListing(slices.DeleteFunc(items, func(it storage.Item) bool {
				return strings.HasPrefix(it.Key, protocol.LogRoot) || strings.HasPrefix(it.Key, protocol.InboxRoot)
			}), 1)
			read := n.jobSummaries()
			if len(live) != 29 || len(read) != 29 {
				t.Errorf("%d jobs are known and %d read of 29", len(live), len(read))
			}
			for id := range live {
				if live[id] != read[id] {
					t.Errorf("%s is %.60q and read as %.60q", id, live[id], read[id])
				}
			}
		})
	}
}

// An entry that can't be decoded must not be skipped: its partition makes no further decisions while
// the others go on, and a query for an unknown job is not answered with "not found".
func TestUndecodableEntryStopsItsPartition(t *testing.T) {
	storeOnlyEntries(t, 8)
	withEntries(t, 3, func(w *simCluster) {
		for i := range 9 {
			w.submit(tinyArray(i, 1))
		}
		time.Sleep(10 * time.Second)
		n := w.node("n-0")
		slot := onActor(n, func() int { k, _ := n.partitions[0].log.Next(); return k })
		w.state.Put(protocol.LogKey(0, slot), map[string]any{"v": 99, "s": 1})
		time.Sleep(2 * time.Second)
		w.submit(tinyArray(30, 1)) // of partition 0
		w.submit(tinyArray(31, 1)) // of another partition
		time.Sleep(20 * time.Second)
		if w.isRunning("job-000030") || !w.isRunning("job-000031") {
			t.Errorf("the partition with the undecodable log started its job: %v; another one: %v", w.isRunning("job-000030"), w.isRunning("job-000031"))
		}
		w.state.Put(protocol.InboxKey("n-1", 0), "what is this")
		time.Sleep(2 * time.Second)
		a, _ := w.pollAt(w.ctx, "n-2", "job-000999")
		if a.status != 503 {
			t.Errorf("the query for an unknown job is answered with %+v", a)
		}
		if a, _ = w.pollAt(w.ctx, "n-2", "job-000031"); a.status != 200 {
			t.Errorf("the query for a known job is answered with %+v", a)
		}
	})
}
