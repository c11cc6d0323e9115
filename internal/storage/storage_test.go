package storage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Each batch keeps within the limits of a transaction and the order of the queue. It has no op
// with a condition on a key that an earlier op of the batch writes.
func TestPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		txnOps := rapid.IntRange(4, 32).Draw(t, "ops")
		key := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("k", rapid.IntRange(0, 12).Draw(t, "key")) })
		var queue []*Op
		for range rapid.IntRange(1, 40).Draw(t, "queue") {
			o := &Op{}
			for _, k := range rapid.SliceOfNDistinct(key, 1, 4, rapid.ID[string]).Draw(t, "keys") {
				o.Conds = append(o.Conds, Cond{k, rapid.Uint64Range(0, 3).Draw(t, "stamp")})
				if rapid.Bool().Draw(t, "write") {
					o.Writes = append(o.Writes, Write{Put: k, Value: json.RawMessage(strings.Repeat("1", rapid.IntRange(1, 8000).Draw(t, "size")))})
				}
			}
			queue = append(queue, o)
		}
		for rest := queue; len(rest) > 0; {
			batch, next := pack(rest, txnOps)
			if len(batch) == 0 || len(batch)+len(next) != len(rest) {
				t.Fatalf("packed %d of %d, left %d", len(batch), len(rest), len(next))
			}
			writes, size := 0, 0
			conds, written := map[string]uint64{}, map[string]bool{}
			for _, o := range batch {
				for _, c := range o.Conds {
					if written[c.Key] {
						t.Fatalf("%s is written by an earlier op of the same transaction", c.Key)
					}
					if st, ok := conds[c.Key]; ok && st != c.Revision {
						t.Fatalf("two revisions for %s", c.Key)
					}
					conds[c.Key] = c.Revision
				}
				for _, w := range o.Writes {
					written[w.Key()] = true
				}
				writes += len(o.Writes)
				size += o.size()
			}
			if len(batch) > 1 && (writes > txnOps || len(conds) > 4*txnOps || size > maxTxnBytes) {
				t.Fatalf("%d writes, %d conditions, %d bytes", writes, len(conds), size)
			}
			rest = next
		}
	})
}

// scriptedService answers transactions with the given answers, in order.
type scriptedService struct {
	Service
	answers []func(conds []Cond, writes []Write) (bool, uint64, []string, error)
	calls   [][]Write
}

func (s *scriptedService) Txn(_ context.Context, conds []Cond, writes []Write) (bool, uint64, []string, error) {
	s.calls = append(s.calls, writes)
	f := s.answers[0]
	s.answers = s.answers[1:]
	return f(conds, writes)
}

// If the condition of one op fails, the other ops of its transaction are retried. Without an
// answer an op is retried too, unless it has NoRetry.
func TestCommitterRetriesOpsWithoutFailedCondition(t *testing.T) {
	s := &scriptedService{answers: []func([]Cond, []Write) (bool, uint64, []string, error){
		func([]Cond, []Write) (bool, uint64, []string, error) { return false, 9, []string{"bad"}, nil },
		func([]Cond, []Write) (bool, uint64, []string, error) { return true, 10, nil, nil },
	}}
	c := NewCommitter(s, 12, NewRateLimiter(protocol.StateSettings{WriteRPS: 1000, TxnOps: 12}, 1), BackgroundPriority)
	got := map[string]Result{}
	op := func(key string) *Op {
		return &Op{Conds: []Cond{{key, 1}}, Writes: []Write{{Put: key, Value: json.RawMessage("1")}}, Done: func(r Result) { got[key] = r }}
	}
	retry := c.commit(t.Context(), []*Op{op("good"), op("bad")})
	if len(retry) != 1 || got["bad"].OK || len(got["bad"].Failed) != 1 {
		t.Fatalf("again %d, results %+v", len(retry), got)
	}
	if retry = c.commit(t.Context(), retry); len(retry) != 0 || !got["good"].OK || got["good"].Revision != 10 {
		t.Fatalf("again %d, results %+v", len(retry), got)
	}
	noRetry := op("once")
	noRetry.NoRetry = true
	s.answers = append(s.answers, func([]Cond, []Write) (bool, uint64, []string, error) { return false, 0, nil, ErrUnknown })
	if retry = c.commit(t.Context(), []*Op{noRetry, op("patient")}); len(retry) != 1 || got["once"].Err == nil {
		t.Fatalf("again %d, results %+v", len(retry), got)
	}
}

// A malformed answer is treated like a missing one. In particular it is not taken for
// "no such key".
func TestMalformedAnswerIsUnknownOutcome(t *testing.T) {
	var status int
	var body string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status)
		w.Write([]byte(body))
	}))
	defer srv.Close()
	s := NewStore(strings.TrimPrefix(srv.URL, "http://"), protocol.StateSettings{RPS: 1e6, WriteRPS: 1e6, TxnOps: 12}, 1)
	ctx := t.Context()
	for _, c := range []struct {
		status int
		body   string
	}{{404, ""}, {404, "{}"}, {404, "no"}, {200, ""}, {200, "{}"}, {200, `{"path":"other","v":{},"stamp":4}`}, {200, "[]"}, {500, "{}"}, {302, "{}"}} {
		status, body = c.status, c.body
		if it, err := s.Get(ctx, "k"); !errors.Is(err, ErrUnknown) {
			t.Errorf("get: %d %q became %+v, %v", status, body, it, err)
		}
		if _, _, _, err := s.Txn(ctx, nil, nil); err == nil {
			t.Errorf("txn: %d %q was accepted", status, body)
		}
		if _, _, err := s.Watch(ctx, "d/", 1, 0); err == nil {
			t.Errorf("watch: %d %q was accepted", status, body)
		}
	}
	status, body = 503, "{}"
	if _, err := s.Get(ctx, "k"); !errors.Is(err, ErrRefused) {
		t.Errorf("503 became %v", err)
	}
	status, body = 404, `{"epoch":7}`
	if it, err := s.Get(ctx, "k"); err != nil || it.Value != nil || it.Revision != 7 {
		t.Errorf("a missing key became %+v, %v", it, err)
	}
}

// slowStore answers every transaction with success after a delay.
type slowStore struct {
	Service
	delay    time.Duration
	revision atomic.Int64
}

func (s *slowStore) Txn(context.Context, []Cond, []Write) (bool, uint64, []string, error) {
	time.Sleep(s.delay)
	return true, uint64(s.revision.Add(1)), nil, nil
}

// With a slow state service user changes do not wait for one another's transactions.
// Background changes, whose order matters, are committed one after the other.
func TestUserTransactionsRunInParallel(t *testing.T) {
	for priority, want := range map[Priority]time.Duration{UserPriority: 150 * time.Millisecond, BackgroundPriority: 600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			c := NewCommitter(&slowStore{delay: 150 * time.Millisecond}, 12, NewRateLimiter(protocol.StateSettings{WriteRPS: 300, TxnOps: 12}, 1), priority)
			done := make(chan struct{})
			go func() { defer close(done); c.Run(ctx) }()
			var all sync.WaitGroup
			start := time.Now()
			for i := range 4 {
				all.Add(1)
				c.Submit(&Op{Writes: []Write{{Put: fmt.Sprint("k", i), Value: json.RawMessage("1")}}, Done: func(Result) { all.Done() }})
				synctest.Wait() // the one before is in flight
			}
			all.Wait()
			if took := time.Since(start); took > want+20*time.Millisecond || priority == BackgroundPriority && took < 300*time.Millisecond {
				t.Errorf("level %d: four changes took %v, want %v", priority, took, want)
			}
			cancel()
			<-done
		})
	}
}
