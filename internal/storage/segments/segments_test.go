package segments

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/standin"
	"dapplestage.example/dapplestage/internal/storage"
)

// unreliableState is a state service that refuses some transactions and executes some without
// answering. It checks the limits of each.
type unreliableState struct {
	*standin.State
	rng           *rand.Rand
	maxValueBytes int // limit of a value
	t             testing.TB
}

func (s *unreliableState) Txn(ctx context.Context, conds []storage.Cond, writes []storage.Write) (bool, uint64, []string, error) {
	total := 0
	for _, w := range writes {
		total += len(w.Value)
		if len(w.Value) > s.maxValueBytes {
			s.t.Errorf("value of %d bytes, at most %d", len(w.Value), s.maxValueBytes)
		}
	}
	if len(writes) > 12 || len(conds) > 48 || total > 60<<10 {
		s.t.Errorf("transaction of %d writes, %d conditions, %d bytes", len(writes), len(conds), total)
	}
	switch s.rng.IntN(8) {
	case 0:
		return false, 0, nil, storage.ErrRefused
	case 1:
		s.State.Txn(ctx, conds, writes)
		return false, 0, nil, storage.ErrUnknown
	}
	return s.State.Txn(ctx, conds, writes)
}

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

var testLimits = Limits{ValueKB: 8, TxnOps: 12, ChangesPerS: 1000}

// TestLogKeepsLatestValues draws writes and reopenings with an unreliable state service. Each
// opening reads the latest value of each key, transactions keep within their limits, and the
// number of segments is bounded by the number of live entries.
func TestLogKeepsLatestValues(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			ctx := t.Context()
			rng := rand.New(rand.NewPCG(seed, 1))
			s := &unreliableState{State: standin.NewState(), rng: rng, maxValueBytes: 8 << 10, t: t}
			want := map[string]string{}
			last := uint32(0)
			for range 1 + rng.IntN(4) {
				l, got, start, err := Open(ctx, s, "quito", testLimits, discardLog)
				for err != nil {
					l, got, start, err = Open(ctx, s, "quito", testLimits, discardLog)
				}
				if start <= last {
					t.Fatalf("start %d after %d", start, last)
				}
				last = start
				if len(got) != len(want) {
					t.Fatalf("%d entries, want %d", len(got), len(want))
				}
				for _, e := range got {
					if want[e.Key] != string(e.Value) {
						t.Fatalf("%s is %.20q, want %.20q", e.Key, e.Value, want[e.Key])
					}
				}
				for range rng.IntN(60) {
					var es []Entry
					for range 1 + rng.IntN(30) {
						e := Entry{Key: fmt.Sprintf("job-%d", rng.IntN(80)), Value: make([]byte, rng.IntN(2800))}
						es = append(es, e)
						want[e.Key] = string(e.Value)
					}
					if err := l.Write(ctx, es); err != nil {
						t.Fatal(err)
					}
				}
				if segs, live, _ := l.Stats(); segs > 8+3*live+12 {
					t.Errorf("%d segments for %d entries", segs, live)
				}
			}
		})
	})
}

// TestReplacedDaemonWritesNothing guards against a daemon that goes on after a stall though
// another one has acquired the fence. Both a write and a proof that it still holds the fence
// fail.
func TestReplacedDaemonWritesNothing(t *testing.T) {
	ctx := t.Context()
	s := standin.NewState()
	old, _, _, err := Open(ctx, s, "quito", testLimits, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	if err := old.Write(ctx, nil); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(ctx, s, "quito", testLimits, discardLog); err != nil {
		t.Fatal(err)
	}
	if err := old.Write(ctx, nil); !errors.Is(err, ErrReplaced) {
		t.Errorf("proof: %v", err)
	}
	if err := old.Write(ctx, []Entry{{Key: "job-1", Value: []byte("x")}}); !errors.Is(err, ErrReplaced) {
		t.Errorf("write: %v", err)
	}
	if items, _, _ := s.List(ctx, segmentPrefix); len(items) != 0 {
		t.Error("something was written")
	}
	if _, _, _, err := Open(ctx, s, "xela", testLimits, discardLog); err == nil {
		t.Error("another member took the log")
	}
}

// TestLogSizeIsBounded writes three values for each of 2,000 jobs, the last of them small. The
// number of segments is bounded by what the last values need.
func TestLogSizeIsBounded(t *testing.T) {
	ctx := t.Context()
	l, _, _, err := Open(ctx, standin.NewState(), "quito", Limits{ValueKB: 8, TxnOps: 12, ChangesPerS: 1e6}, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2000 {
		for _, n := range []int{600, 600, 120} { // bytes of a job's successive values: promise, record, end
			if err := l.Write(ctx, []Entry{{Key: fmt.Sprintf("job-%d", i), Value: make([]byte, n)}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	segs, entries, _ := l.Stats()
	if need := entries * 210 / (8 << 10); segs > 3*need+12 {
		t.Errorf("%d segments for %d entries, which need %d", segs, entries, need)
	}
}

// TestHandoverCostsFewChanges guards against a log that spends most of its changes on
// compaction while many jobs are handed over: it wrote long-lived entries of the oldest
// segments again and again, beside segments in which nothing was live any more. Each job's
// register is written twice, a moment apart, as by a promise and an acceptance. A segment of
// new entries may cost its own put, the deletion of another one, and as much for what is moved.
func TestHandoverCostsFewChanges(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		rng := rand.New(rand.NewPCG(seed, 1))
		ctx := t.Context()
		l, _, _, err := Open(ctx, standin.NewState(), "quito", Limits{ValueKB: 8, TxnOps: 12, ChangesPerS: 1e6}, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		const jobs, batch = 1000, 16
		write := func(numbers []int) {
			var entries []Entry
			for _, n := range numbers {
				entries = append(entries, Entry{Key: fmt.Sprintf("job-%06d", n), Value: make([]byte, 800)})
			}
			if err := l.Write(ctx, entries); err != nil {
				t.Fatal(err)
			}
		}
		order := rng.Perm(jobs)
		for i := 0; i < jobs; i += batch {
			write(order[i:min(i+batch, jobs)])
		}
		_, _, before := l.Stats()
		bytesBefore := l.Usage().NewBytes.Load()
		for range 3 {
			order = rng.Perm(jobs)
			for i := 0; i < jobs; i += batch {
				write(order[i:min(i+batch, jobs)])
				write(order[i:min(i+batch, jobs)])
			}
		}
		_, _, changes := l.Stats()
		newSegments := float64(l.Usage().NewBytes.Load()-bytesBefore) / float64(l.segmentCapacity())
		if perSegment := float64(changes-before) / newSegments; perSegment > 4 {
			t.Errorf("seed %d: %.1f changes for a segment of new entries", seed, perSegment)
		} else {
			t.Logf("seed %d: %.1f changes for a segment of new entries", seed, perSegment)
		}
	}
}

// countingState counts the transactions with changes.
type countingState struct {
	*standin.State
	transactions int
}

func (s *countingState) Txn(ctx context.Context, conds []storage.Cond, writes []storage.Write) (bool, uint64, []string, error) {
	if len(writes) > 0 {
		s.transactions++
	}
	return s.State.Txn(ctx, conds, writes)
}

// TestWriteDoesNotWaitForCompaction guards against promises and acceptances that were told
// seconds late: a write of a few entries, which one transaction takes, returned only after up to
// eight more transactions of compaction. Each write replaces entries of all ages.
func TestWriteDoesNotWaitForCompaction(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		rng := rand.New(rand.NewPCG(seed, 1))
		ctx := t.Context()
		state := &countingState{State: standin.NewState()}
		l, _, _, err := Open(ctx, state, "quito", Limits{ValueKB: 8, TxnOps: 12, ChangesPerS: 1e6}, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		const jobs, perWrite = 1000, 14
		for i := range 600 {
			var entries []Entry
			for range perWrite {
				entries = append(entries, Entry{Key: fmt.Sprintf("job-%06d", rng.IntN(jobs)), Value: make([]byte, 200+rng.IntN(700))})
			}
			before := state.transactions
			if err := l.Write(ctx, entries); err != nil {
				t.Fatal(err)
			}
			if n := state.transactions - before; n > 1 {
				t.Fatalf("seed %d: write %d returns after %d transactions", seed, i, n)
			}
		}
		if needed := l.liveBytes/l.segmentCapacity() + 1; len(l.keysBySegment) > 3*needed {
			t.Errorf("seed %d: %d segments for entries that need %d", seed, len(l.keysBySegment), needed)
		}
	}
}
