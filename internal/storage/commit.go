package storage

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Op is a group of writes that is applied atomically, and only if all its conditions hold.
// Done is called once, on a goroutine of the committer.
type Op struct {
	Conds  []Cond
	Writes []Write
	// NoRetry ends the op with an error if an attempt is not answered, instead of retrying
	// it: its user waits for a result.
	NoRetry bool
	Purpose uint8 // what the op is for; the caller counts changes by it
	Done    func(Result)
}

// Result is the outcome of an op. If neither OK nor Err is set, the op's conditions on the
// keys in Failed did not hold.
type Result struct {
	OK       bool
	Revision uint64
	Failed   []string
	Err      error
}

// size estimates the bytes that the op takes in a transaction.
func (o *Op) size() int {
	n := 64 * len(o.Conds)
	for _, w := range o.Writes {
		n += len(w.Value) + len(w.Key()) + 48
	}
	return n
}

// CanAdd reports whether the op can take one more write, and a condition on its key, without
// exceeding the limits of a transaction.
func (o *Op) CanAdd(w Write, txnOps int) bool {
	addition := Op{Conds: []Cond{{Key: w.Key()}}, Writes: []Write{w}}
	return len(o.Writes) < txnOps && len(o.Conds) < 4*txnOps && o.size()+addition.size() <= maxTxnBytes
}

// maxTxnBytes keeps a transaction below the state service's limit of 64 KiB.
const maxTxnBytes = 56 << 10

// Committer combines waiting ops into transactions (group commit), so that fewer requests
// are needed. One transaction is in flight at a time, except at UserPriority, where several
// are: with a state service that took 150 ms instead of 5 ms, a user whose request came right
// after another one waited for two transactions.
type Committer struct {
	store     Service
	txnOps    int
	limiter   *RateLimiter
	priority  Priority
	submitted chan *Op
	// OnAnswered, if set, is called for each op of a transaction that the state service
	// answered. The op's writes count against the rate whether they were applied or not.
	OnAnswered func(op *Op)
}

// NewCommitter makes a committer of ops of one priority. It commits while Run runs.
func NewCommitter(service Service, txnOps int, limiter *RateLimiter, priority Priority) *Committer {
	return &Committer{store: service, txnOps: txnOps, limiter: limiter, priority: priority, submitted: make(chan *Op, 4096)}
}

// Submit queues an op. If the queue is full it drops the op and returns false.
func (c *Committer) Submit(o *Op) bool {
	select {
	case c.submitted <- o:
		return true
	default:
		return false
	}
}

// Run commits the submitted ops, in order except at UserPriority, until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	var queue []*Op
	slots := make(chan struct{}, maxUserTxns)
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
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
		maxWrites := c.txnOps
		if !c.limiter.HasSpareRate() {
			maxWrites = max(len(queue[0].Writes), c.limiter.contendedBatchSize(c.txnOps))
		}
		batch, rest := pack(queue, maxWrites)
		if c.priority != UserPriority {
			queue = append(c.commit(ctx, batch), rest...)
			continue
		}
		queue = rest
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			retry := c.commit(ctx, batch)
			<-slots
			for _, o := range retry {
				if !c.Submit(o) {
					o.Done(Result{Err: ErrRefused})
				}
			}
		}()
	}
}

// maxUserTxns limits how many transactions at UserPriority are in flight at a time.
const maxUserTxns = 8

// pack splits the queue into a batch of ops from its front that fit into one transaction,
// and the rest. An op never shares a transaction with an earlier one that writes a key of
// its conditions, as these refer to the revision after the earlier op.
func pack(queue []*Op, maxWrites int) (batch, rest []*Op) {
	writes, bytes := 0, 0
	revisions := map[string]uint64{}
	written := map[string]bool{}
	for i, o := range queue {
		fits := writes+len(o.Writes) <= maxWrites && bytes+o.size() <= maxTxnBytes
		newConds := 0
		for _, cd := range o.Conds {
			revision, ok := revisions[cd.Key]
			if !ok {
				newConds++
			} else if revision != cd.Revision {
				fits = false
			}
			if written[cd.Key] {
				fits = false
			}
		}
		for _, w := range o.Writes {
			if _, ok := revisions[w.Key()]; written[w.Key()] || (ok && i > 0 && !hasCond(o, w.Key())) {
				fits = false
			}
		}
		if len(revisions)+newConds > 4*maxWrites {
			fits = false
		}
		if !fits && i > 0 {
			return queue[:i:i], queue[i:]
		}
		writes += len(o.Writes)
		bytes += o.size()
		for _, cd := range o.Conds {
			revisions[cd.Key] = cd.Revision
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

// commit runs one transaction of a batch and returns the ops to retry.
func (c *Committer) commit(ctx context.Context, batch []*Op) (retry []*Op) {
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
	var revision uint64
	var failed []string
	err := c.limiter.wait(ctx, len(writes), c.priority)
	if err == nil {
		ok, revision, failed, err = c.store.Txn(ctx, conds, writes)
	}
	if c.OnAnswered != nil && err == nil {
		for _, o := range batch {
			c.OnAnswered(o)
		}
	}
	switch {
	case err != nil:
		for _, o := range batch {
			// An unanswered transaction may still be applied. A retry with the same
			// conditions is safe, since at most one of the two can succeed.
			if o.NoRetry || errors.Is(err, ErrNoLease) || errors.Is(err, ErrMalformed) || ctx.Err() != nil {
				o.Done(Result{Err: err})
			} else {
				retry = append(retry, o)
			}
		}
		if len(retry) > 0 {
			select {
			case <-time.After(250 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	case ok:
		for _, o := range batch {
			o.Done(Result{OK: true, Revision: revision})
		}
	default:
		failedKeys := map[string]bool{}
		for _, k := range failed {
			failedKeys[k] = true
		}
		for _, o := range batch {
			var ownFailed []string
			for _, cd := range o.Conds {
				if failedKeys[cd.Key] {
					ownFailed = append(ownFailed, cd.Key)
				}
			}
			if len(ownFailed) > 0 || len(failed) == 0 {
				o.Done(Result{Revision: revision, Failed: ownFailed})
			} else {
				retry = append(retry, o)
			}
		}
	}
	return retry
}
