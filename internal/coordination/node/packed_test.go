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

// storeOnlyEntries stores everything in entries, with few slots, until the test ends.
func storeOnlyEntries(t *testing.T, slots int) {
	slotsWere := ringSlots
	ringSlots, alwaysPack = slots, true
	t.Cleanup(func() { ringSlots, alwaysPack = slotsWere, false })
}

// facts are what is known of stored jobs: each task's phase, attempt and machine.
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

// readByTool is the same as operators read it.
func readByTool(j *packed.Job) string {
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

// newNodeFromStore is what a node that starts now knows of the jobs.
func newNodeFromStore(t *testing.T, cfg *protocol.Settings, st *standin.State) *Node {
	n := New(t.Context(), cfg, slog.New(slog.NewTextHandler(io.Discard, nil)), st, standin.NewFleet(t.Context()), nil, 1)
	items, rev, _ := st.List(t.Context(), protocol.WatchedRoot)
	n.applyListing(items, rev)
	return n
}

// asks makes a node's actor answer.
func onActor[T any](n *Node, f func() T) T {
	c := make(chan T)
	n.post(func() { c <- f() })
	return <-c
}

// sameAsStored holds what a living node knows of jobs to what one that starts now reads. What
// differs must be the same again within seconds: changes are under way.
func (w *simCluster) sameAsStored(name string) {
	var wrong []string
	for range 40 {
		n := w.node(name)
		if n == nil {
			return
		}
		live := onActor(n, n.jobSummaries)
		read := newNodeFromStore(w.t, w.cfg[name], w.state).jobSummaries()
		items, _, _ := w.state.List(w.t.Context(), protocol.WatchedRoot)
		for id, j := range packed.ReadState(items, ringSlots).Jobs {
			if told := readByTool(j); told != read[id] && !j.Ticket {
				read[id] = fmt.Sprintf("%q by the tool, %q by a node", told, read[id])
			}
		}
		wrong = wrong[:0]
		for id := range live {
			if live[id] != read[id] {
				wrong = append(wrong, fmt.Sprintf("%s: known %q, read %q", id, live[id], read[id]))
			}
		}
		for id := range read {
			if _, ok := live[id]; !ok {
				wrong = append(wrong, fmt.Sprintf("%s: not known, read %q", id, read[id]))
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

// Random troubles while all that is new of jobs is stored in entries of few slots, and late
// transactions come: the rules hold, every job ends, and what a node knows is what one that
// starts reads.
func TestTroublesWithEntries(t *testing.T) {
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
						w.sameAsStored(name)
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

// tiny is a job of small tasks that runs long.
func tiny(i, tasks int) *protocol.JobSpec {
	return &protocol.JobSpec{ID: fmt.Sprintf("job-%06d", i), Team: []string{"red", "blue", "green"}[i%3], Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: tasks, CPUs: 1, GPUs: 0.01, MemoryGB: 1, Image: "i", EstimateS: 1000}
}

// withEntries plays with three nodes.
func withEntries(t *testing.T, seed uint64, day func(w *simCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, seed, defaultSettings)
		time.Sleep(10 * time.Second) // until entries may be written
		day(w)
		for _, b := range w.fleet.Broken {
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

// submitAll submits jobs all at once, by turns at each of the nodes.
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

// Two hundred and forty jobs that come within a second, and one of 2,000 tasks, are accepted within
// seconds at 40 changes a second, in fewer changes than jobs, each value and transaction within
// its limits; two nodes that accept one id at once accept one job.
func TestAWaveIsAcceptedTogether(t *testing.T) {
	withEntries(t, 1, func(w *simCluster) {
		before := w.state.Changes()
		var wave []answer
		open := map[int]bool{}
		for i := range 240 {
			w.fleet.Submitted(tiny(i, 1))
			open[i] = true
		}
		w.fleet.Submitted(tiny(240, 2000))
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
				jobs = append(jobs, tiny(id, tasks))
			}
			wave = w.submitAll(jobs)
			for k, a := range wave {
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
		if made := w.state.Changes() - before; made > 150 {
			t.Errorf("%d changes", made)
		}
		time.Sleep(20 * time.Second)
		for _, name := range w.names {
			w.sameAsStored(name)
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

// Where entries may not be written any more, since operators want to go back or an earlier
// version lives, every job gets a record of its own and the entries become empty: who does
// not know them reads the same.
func TestEntriesAreGivenUp(t *testing.T) {
	storeOnlyEntries(t, 8)
	for _, early := range []bool{false, true} {
		withEntries(t, 2, func(w *simCluster) {
			for i := range 30 {
				w.submit(tiny(i, 1+i%7*40))
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
						t.Errorf("%s still tells of jobs: %.80s", it.Key, it.Value)
					}
				}
			}
			// An earlier version reads records alone.
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

// An entry that is not understood is not skipped: its share decides nothing more, the others
// do, and of a job that nobody knows it is not said that there is none.
func TestEntryThatIsNotUnderstood(t *testing.T) {
	storeOnlyEntries(t, 8)
	withEntries(t, 3, func(w *simCluster) {
		for i := range 9 {
			w.submit(tiny(i, 1))
		}
		time.Sleep(10 * time.Second)
		n := w.node("n-0")
		slot := onActor(n, func() int { k, _ := n.partitions[0].log.Next(); return k })
		w.state.Put(protocol.LogKey(0, slot), map[string]any{"v": 99, "s": 1})
		time.Sleep(2 * time.Second)
		w.submit(tiny(30, 1)) // of share 0
		w.submit(tiny(31, 1)) // of another
		time.Sleep(20 * time.Second)
		if w.isRunning("job-000030") || !w.isRunning("job-000031") {
			t.Errorf("the share whose log is not understood started %v, another one %v", w.isRunning("job-000030"), w.isRunning("job-000031"))
		}
		w.state.Put(protocol.InboxKey("n-1", 0), "what is this")
		time.Sleep(2 * time.Second)
		a, _ := w.pollAt(w.ctx, "n-2", "job-000999")
		if a.status != 503 {
			t.Errorf("of a job that nobody knows it is told %+v", a)
		}
		if a, _ = w.pollAt(w.ctx, "n-2", "job-000031"); a.status != 200 {
			t.Errorf("of one that is known it is told %+v", a)
		}
	})
}
