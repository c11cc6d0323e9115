package storage

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Op is a change that must happen whole or not at all. Done is called once,
// on the committer's routine.
type Op struct {
	Conds  []Cond
	Writes []Write
	// NoRetry says that an unanswered attempt ends the op, since somebody waits.
	NoRetry bool
	Purpose uint8 // what it is for, as the caller counts
	Done    func(Result)
}

// Result says how an op ended. With neither OK nor Err its condition on
// one of Failed did not hold.
type Result struct {
	OK       bool
	Revision uint64
	Failed   []string
	Err      error
}

func (o *Op) size() int {
	n := 64 * len(o.Conds)
	for _, w := range o.Writes {
		n += len(w.Value) + len(w.Key()) + 48
	}
	return n
}

// CanAdd says whether an op may have one write more, with a condition on its key.
func (o *Op) CanAdd(w Write, txnOps int) bool {
	more := Op{Conds: []Cond{{Key: w.Key()}}, Writes: []Write{w}}
	return len(o.Writes) < txnOps && len(o.Conds) < 4*txnOps && o.size()+more.size() <= maxTxnBytes
}

// maxTxnBytes keeps a transaction below the service's 64 KiB.
const maxTxnBytes = 56 << 10

// Committer packs waiting ops into transactions, one in flight at a time (group
// commit), so that the write rate goes far. Those that users wait for are in flight
// several at a time: with a state service that takes 150 ms instead of 5 a user who came
// right after another waited for two transactions.
type Committer struct {
	store     Service
	txnOps    int
	limiter   *RateLimiter
	priority  Priority
	submitted chan *Op
	// Spent, if set, is told of each op of an answered transaction: its writes count
	// against the rate whether it was stored or not.
	OnAnswered func(op *Op)
}

// NewCommitter makes a committer of ops of a level; Run serves it.
func NewCommitter(s Service, txnOps int, pace *RateLimiter, level Priority) *Committer {
	return &Committer{store: s, txnOps: txnOps, limiter: pace, priority: level, submitted: make(chan *Op, 4096)}
}

// Submit queues an op. It returns false, and drops the op, if too many wait.
func (c *Committer) Submit(o *Op) bool {
	select {
	case c.submitted <- o:
		return true
	default:
		return false
	}
}

// Run commits ops in order until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	var queue []*Op
	lanes := make(chan struct{}, maxUserTxns)
	var flying sync.WaitGroup
	defer flying.Wait()
	for ctx.Err() == nil {
		if len(queue) == 0 {
			select {
			case <-ctx.Done():
				return
			case o := <-c.submitted:
				queue = append(queue, o)
			}
		}
		for more := true; more; {
			select {
			case o := <-c.submitted:
				queue = append(queue, o)
			default:
				more = false
			}
		}
		most := c.txnOps
		if !c.limiter.HasSpareRate() {
			most = max(len(queue[0].Writes), c.limiter.contendedBatchSize(c.txnOps))
		}
		batch, rest := pack(queue, most)
		if c.priority != UserPriority {
			queue = append(c.commit(ctx, batch), rest...)
			continue
		}
		queue = rest
		select {
		case lanes <- struct{}{}:
		case <-ctx.Done():
			return
		}
		flying.Add(1)
		go func() {
			defer flying.Done()
			again := c.commit(ctx, batch)
			<-lanes
			for _, o := range again {
				if !c.Submit(o) {
					o.Done(Result{Err: ErrRefused})
				}
			}
		}()
	}
}

// maxUserTxns is how many transactions that users wait for are in flight at a time.
const maxUserTxns = 8

// pack takes ops from the front of the queue as long as one transaction holds
// them. Two ops on the same key never share a transaction: the second one's
// condition is about the first one's outcome.
func pack(queue []*Op, txnOps int) (batch, rest []*Op) {
	writes, bytes := 0, 0
	conds := map[string]uint64{}
	written := map[string]bool{}
	for i, o := range queue {
		fits := writes+len(o.Writes) <= txnOps && bytes+o.size() <= maxTxnBytes
		extra := 0
		for _, cd := range o.Conds {
			st, ok := conds[cd.Key]
			if !ok {
				extra++
			} else if st != cd.Revision {
				fits = false
			}
			if written[cd.Key] {
				fits = false
			}
		}
		for _, w := range o.Writes {
			if _, ok := conds[w.Key()]; written[w.Key()] || (ok && i > 0 && !hasCond(o, w.Key())) {
				fits = false
			}
		}
		if len(conds)+extra > 4*txnOps {
			fits = false
		}
		if !fits && i > 0 {
			return queue[:i:i], queue[i:]
		}
		writes += len(o.Writes)
		bytes += o.size()
		for _, cd := range o.Conds {
			conds[cd.Key] = cd.Revision
		}
		for _, w := range o.Writes {
			written[w.Key()] = true
		}
	}
	return queue, nil
}

func hasCond(o *Op, key string) bool {
	for _, c := range o.Conds {
		if c.Key == key {
			return true
		}
	}
	return false
}

// commit runs one transaction and returns the ops to try again.
func (c *Committer) commit(ctx context.Context, batch []*Op) (again []*Op) {
	seen := map[string]bool{}
	var conds []Cond
	var writes []Write
	for _, o := range batch {
		for _, cd := range o.Conds {
			if !seen[cd.Key] {
				seen[cd.Key] = true
				conds = append(conds, cd)
			}
		}
		writes = append(writes, o.Writes...)
	}
	var ok bool
	var epoch uint64
	var failed []string
	err := c.limiter.wait(ctx, len(writes), c.priority)
	if err == nil {
		ok, epoch, failed, err = c.store.Txn(ctx, conds, writes)
	}
	if c.OnAnswered != nil && err == nil {
		for _, o := range batch {
			c.OnAnswered(o)
		}
	}
	switch {
	case err != nil:
		for _, o := range batch {
			// An unanswered transaction may still be applied; trying the same
			// conditions again is safe, since only one of the two can hold.
			if o.NoRetry || errors.Is(err, ErrNoLease) || errors.Is(err, ErrMalformed) || ctx.Err() != nil {
				o.Done(Result{Err: err})
			} else {
				again = append(again, o)
			}
		}
		if len(again) > 0 {
			select {
			case <-time.After(250 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	case ok:
		for _, o := range batch {
			o.Done(Result{OK: true, Revision: epoch})
		}
	default:
		bad := map[string]bool{}
		for _, k := range failed {
			bad[k] = true
		}
		for _, o := range batch {
			var mine []string
			for _, cd := range o.Conds {
				if bad[cd.Key] {
					mine = append(mine, cd.Key)
				}
			}
			if len(mine) > 0 || len(failed) == 0 {
				o.Done(Result{Revision: epoch, Failed: mine})
			} else {
				again = append(again, o)
			}
		}
	}
	return again
}
