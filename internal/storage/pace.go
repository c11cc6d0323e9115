package storage

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Priority is the urgency class of a change.
type Priority uint8

// Priorities, the most urgent first.
const (
	UserPriority       Priority = iota // a user waits for the result
	UrgentPriority                     // task starts, ends of jobs, owners of partitions
	BackgroundPriority                 // everything else
	priorityCount
)

// reservedChanges is the number of changes that each priority always leaves available to
// the more urgent ones, so that those need not wait. Without it the placement of small
// tasks, which uses the whole rate of 20 changes a second, delayed half of the submissions
// by more than 200 ms.
//
// minFraction is the fraction of the rate that each priority gets even if more urgent
// changes use up the rest. Without it a wave of submissions kept rented machines from being
// recorded for 35 s.
var (
	reservedChanges = [priorityCount]int{UrgentPriority: 3, BackgroundPriority: 7}
	minFraction     = [priorityCount]float64{UrgentPriority: 0.5, BackgroundPriority: 0.15}
)

// RateLimiter limits the changes that this node makes to its part of the state service's
// rate. Less urgent changes yield to more urgent ones.
type RateLimiter struct {
	total     float64
	limiter   *rate.Limiter
	minimums  [priorityCount]*rate.Limiter // what each priority gets in any case
	requested atomic.Int64
}

// NewRateLimiter makes a limiter that gives each of nodes nodes an equal part of the rate.
func NewRateLimiter(limits protocol.StateSettings, nodes int) *RateLimiter {
	r := &RateLimiter{total: usableFraction * limits.WriteRPS}
	perSecond := max(1, r.total/float64(nodes))
	burst := max(limits.TxnOps, int(perSecond))
	r.limiter = rate.NewLimiter(rate.Limit(perSecond), burst+reservedChanges[BackgroundPriority])
	for priority := range r.minimums {
		r.minimums[priority] = rate.NewLimiter(rate.Limit(minFraction[priority]*perSecond), burst)
	}
	return r
}

// SetFraction sets the fraction of the total rate that this node may use.
func (r *RateLimiter) SetFraction(fraction float64) {
	perSecond := max(1, fraction*r.total)
	r.limiter.SetLimit(rate.Limit(perSecond))
	for priority := range r.minimums {
		r.minimums[priority].SetLimit(rate.Limit(minFraction[priority] * perSecond))
	}
}

// PerSecond returns how many changes a second this node may make.
func (r *RateLimiter) PerSecond() float64 { return float64(r.limiter.Limit()) }

// HasSpareRate reports whether more than half of the burst is available.
func (r *RateLimiter) HasSpareRate() bool { return r.limiter.Tokens() > float64(r.limiter.Burst())/2 }

// TotalRate returns the rate in changes a second that all nodes share.
func (r *RateLimiter) TotalRate() float64 { return r.total }

// Requested returns how many changes have been requested so far, including those that
// still wait.
func (r *RateLimiter) Requested() int64 { return r.requested.Load() }

// wait blocks until n changes of a priority may be made and takes them from the rate. User
// changes wait in order. Less urgent ones wait until reservedChanges would be left over, or,
// from yieldTime after they could have been made, until the priority's own minimum allows
// them; then they wait in order too.
func (r *RateLimiter) wait(ctx context.Context, n int, priority Priority) error {
	r.requested.Add(int64(n))
	if priority == UserPriority {
		return r.limiter.WaitN(ctx, min(n, r.limiter.Burst()))
	}
	n = min(n, r.limiter.Burst()-reservedChanges[priority])
	timeUntilAvailable := func() time.Duration {
		return time.Duration((float64(n+reservedChanges[priority]) - r.limiter.Tokens()) / r.PerSecond() * float64(time.Second))
	}
	// The change could be made after timeUntilAvailable if no other one took from the rate.
	yieldUntil := time.Now().Add(timeUntilAvailable() + yieldTime)
	for {
		remaining := timeUntilAvailable()
		if remaining <= 0 && r.limiter.AllowN(time.Now(), n) {
			return nil
		}
		if now := time.Now(); now.After(yieldUntil) && r.minimums[priority].AllowN(now, n) {
			return r.limiter.WaitN(ctx, n)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(max(10*time.Millisecond, min(yieldTime, remaining))):
		}
	}
}

// yieldTime is how long a change lets more urgent ones go first, after the time at which it
// could have been made.
const yieldTime = 200 * time.Millisecond

// contendedBatchSize returns how many changes one transaction may have while other changes
// wait.
func (r *RateLimiter) contendedBatchSize(txnOps int) int {
	return min(txnOps, max(4, int(r.PerSecond()/3)))
}
