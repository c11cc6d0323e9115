package node

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// spoil changes a value somewhere: a number to one that can't be, a field to another kind of
// value, or the whole to something else.
func spoil(rng *rand.Rand, v any) any {
	odd := []any{-1.0, 1e9, 9.2e18, 1.8e19, "x", nil, true, []any{}, map[string]any{}, []any{-1.0, 3.0}}
	switch x := v.(type) {
	case map[string]any:
		if len(x) == 0 || rng.IntN(12) == 0 {
			return odd[rng.IntN(len(odd))]
		}
		at := rng.IntN(len(x))
		for k := range x {
			if at--; at < 0 {
				x[k] = spoil(rng, x[k])
				break
			}
		}
		return x
	case []any:
		if len(x) == 0 || rng.IntN(8) == 0 {
			return odd[rng.IntN(len(odd))]
		}
		i := rng.IntN(len(x))
		x[i] = spoil(rng, x[i])
		return x
	}
	return odd[rng.IntN(len(odd))]
}

// Whatever is in the store, a node goes on: nothing that can't be read ends the process, and
// none of it proves that a job has ended, a machine has gone or a share is free.
func TestCorruptRecordsProveNothing(t *testing.T) {
	counted := 0
	for seed := range seedCount(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		b := newTestNode(t)
		b.watchPut(protocol.FormatKey, protocol.FormatRecord{Packed: true})
		b.addJob("job-000001", false, placedOnHost1)
		spec := func(id string) *protocol.JobSpec { s := *b.jobs["job-000001"].spec; s.ID = id; return &s }
		good := map[string]any{
			protocol.JobKey("job-000001"):    protocol.JobRecord{Spec: spec("job-000001"), NextAttempt: 2, Chunk: protocol.Chunk{Placed: []protocol.Placement{placedOnHost1}, Errors: [][2]int{{0, 1}}}},
			protocol.JobKey("job-000002"):    protocol.JobRecord{Spec: spec("job-000002"), NextAttempt: 2, Chunk: protocol.Chunk{Done: [][2]int{{0, 0}}}},
			protocol.ChunkKey("job-1", 1):    protocol.Chunk{Placed: []protocol.Placement{{Task: 130, Attempt: 1, Machine: "host-1"}}},
			protocol.JobKey("job-000003"):    protocol.JobRecord{Ticket: &protocol.TicketRecord{Name: "t", Base: spec("job-000003"), Steps: []protocol.TicketStep{{Name: "s", Tasks: 2, Deps: []int{0}}}}},
			protocol.BatchKey("r-0-7-1-0"):   protocol.BatchRecord{Machines: []protocol.MachineRecord{{Name: "host-1", Type: "g4", Zone: "a"}}},
			protocol.OwnerKey(0):             protocol.OwnerRecord{Node: "n-0", Token: 7, Lease: 3},
			protocol.OwnerKey(1):             protocol.OwnerRecord{Node: "n-1", Token: 6, Lease: 2},
			protocol.TokenCounterKey:         protocol.TokenCounterRecord{Token: 7},
			protocol.NodeKey("n-1"):          protocol.NodeRecord{Lease: 2, Version: 3},
			protocol.MovesKey:                protocol.MovesRecord{Moves: []protocol.Move{{Machine: "host-1", Partition: 1}}},
			protocol.PolicyKey:               DefaultPolicy(),
			protocol.LogKey(0, 1):            protocol.Entry{Version: 1, Seq: 1, Machines: []string{"host-1"}, Parts: []protocol.Part{{Job: "job-000001", NextAttempt: 3, Placed: []protocol.PlacedRange{{0, 0, 2, 0}}}}},
			protocol.InboxKey("n-1", 1):      protocol.Entry{Version: 1, Seq: 1, Jobs: []protocol.AcceptedJob{{Spec: spec("job-000004"), SubmittedMS: 1}}},
			protocol.RentalFenceKey:          protocol.RentalFenceRecord{Generation: 1},
			protocol.CatalogKey:              protocol.CatalogRecord{Types: []protocol.MachineType{{Name: "g4", CPUs: 24, GPUs: 4, MemoryGB: 192, Zones: []string{"a"}}}},
			protocol.FormatKey:               protocol.FormatRecord{Packed: true},
			protocol.LivenessCheckKey("n-0"): protocol.LivenessCheckRecord{RequestedBy: "n-1"},
			protocol.OwnerRoot + "x/hold":    protocol.OwnerRecord{},
			protocol.LogRoot + "9/9":         protocol.Entry{},
			protocol.InboxRoot + "n-1/9999":  protocol.Entry{Seq: 9999},

			protocol.JobKey("job-000001/-1"): protocol.Chunk{Done: [][2]int{{0, 0}}},
		}
		for key, rec := range good {
			var v any
			if err := json.Unmarshal(mustJSON(rec), &v); err != nil {
				t.Fatal(err)
			}
			data := []byte(mustJSON(spoil(rng, v)))
			if rng.IntN(6) == 0 {
				data = data[:rng.IntN(len(data))]
			}
			func() {
				defer func() {
					if r := recover(); r != nil {
						t.Fatalf("seed %d: %s %s ended the process: %v", seed, key, data, r)
					}
				}()
				b.revision++
				b.applyItem(storage.Item{Key: key, Value: data, Revision: b.revision})
				if b.corruptKeys[key] != 0 {
					counted++
				}
			}()
			// What it could not read it still knows as before.
			if _, bad := b.corruptKeys[protocol.JobKey("job-000001")]; bad && b.jobs["job-000001"] == nil && !b.logUnreadable(0) {
				if _, _, over := b.partitions[0].log.FindEnd("job-000001"); !over {
					t.Fatalf("seed %d: %s %s ended a job", seed, key, data)
				}
			}
			if _, bad := b.corruptKeys[protocol.OwnerKey(0)]; bad && b.partitions[0].owner.Token == 0 {
				t.Fatalf("seed %d: %s %s freed a share", seed, key, data)
			}
			if _, bad := b.corruptKeys[protocol.BatchKey("r-0-7-1-0")]; bad && !b.machines["host-1"].recorded {
				t.Fatalf("seed %d: %s %s took a machine", seed, key, data)
			}
		}
		func() {
			defer func() {
				if r := recover(); r != nil {
					t.Fatalf("seed %d ended the process: %v", seed, r)
				}
			}()
			for i := range 3 {
				b.sendReport(7, uint64(i+1), protocol.TaskReport{Task: "job-000001/0", Attempt: 9, State: protocol.TaskRunning}, protocol.TaskReport{Task: "job-000001/77", Attempt: 1, State: "nonsense"}, protocol.TaskReport{Task: "x", State: protocol.TaskExited})
				b.tick(time.Now())
				b.processPendingWork(time.Now())
				b.prepareHints(time.Now())
				b.status(time.Now())
			}
		}()
	}
	if counted < 100 {
		t.Errorf("%d values were found corrupt", counted)
	}
}

// A record that can't be read is counted once, its job is left alone until it can be read,
// and nobody is told that the job is unknown.
func TestCorruptJobIsLeftAlone(t *testing.T) {
	b := newTestNode(t)
	j := b.addJob("job-000001", false, placedOnHost1)
	key := protocol.JobKey("job-000001")
	known := b.revisionOf(key)
	for range 3 {
		b.applyItem(storage.Item{Key: key, Value: json.RawMessage(`{"s":7}`), Revision: b.revision + 5})
	}
	if b.jobs["job-000001"] != j || b.revisionOf(key) != known || len(b.corruptKeys) != 1 {
		t.Fatalf("job %v, stamp %d for %d, corrupt %v", b.jobs["job-000001"], b.revisionOf(key), known, b.corruptKeys)
	}
	if !b.jobChangesPaused(j) {
		t.Error("changes of it are tried that fail again and again")
	}
	b.revision += 10
	b.addJob("job-000001", true, placedOnHost1)
	if b.jobChangesPaused(j) || !j.cancelled || len(b.corruptKeys) != 0 {
		t.Errorf("readable again: quieted %v, cancelled %v, corrupt %v", b.jobChangesPaused(j), j.cancelled, b.corruptKeys)
	}
}
