package storage

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Priority is how urgent a change is.
type Priority uint8

// Levels, the most urgent first.
const (
	UserPriority       Priority = iota // a user waits for it
	UrgentPriority                     // somebody's start, the end of a job, who holds what
	BackgroundPriority                 // everything else
	priorityCount
)

// spare is how many changes each level leaves at any time to those before it, so that
// they need not wait; least is the part of the rate that it gets whatever they use up.
// (Without the second a wave of submissions kept rented machines from being recorded for
// 35 s. Without the first the placing of small tasks, which takes all that there is of 20
// changes a second, kept half of the submissions waiting for more than 200 ms.)
var (
	reservedChanges = [priorityCount]int{UrgentPriority: 3, BackgroundPriority: 7}
	minFraction     = [priorityCount]float64{UrgentPriority: 0.5, BackgroundPriority: 0.15}
)

// RateLimiter spends this node's part of the rate of changes.
type RateLimiter struct {
	total     float64
	limiter   *rate.Limiter
	minimums  [priorityCount]*rate.Limiter // what a level gets in any case
	requested atomic.Int64
}

// NewRateLimiter plans an equal part for one of nodes nodes.
func NewRateLimiter(limits protocol.StateSettings, nodes int) *RateLimiter {
	p := &RateLimiter{total: usableFraction * limits.WriteRPS}
	part := max(1, p.total/float64(nodes))
	burst := max(limits.TxnOps, int(part))
	p.limiter = rate.NewLimiter(rate.Limit(part), burst+reservedChanges[BackgroundPriority])
	for l := range p.minimums {
		p.minimums[l] = rate.NewLimiter(rate.Limit(minFraction[l]*part), burst)
	}
	return p
}

// SetFraction changes the part of the whole rate that this node may use.
func (p *RateLimiter) SetFraction(part float64) {
	perSecond := max(1, part*p.total)
	p.limiter.SetLimit(rate.Limit(perSecond))
	for l := range p.minimums {
		p.minimums[l].SetLimit(rate.Limit(minFraction[l] * perSecond))
	}
}

// PerSecond is how many changes a second this node may make.
func (p *RateLimiter) PerSecond() float64 { return float64(p.limiter.Limit()) }

// HasSpareRate says whether much of the rate lies unused.
func (p *RateLimiter) HasSpareRate() bool { return p.limiter.Tokens() > float64(p.limiter.Burst())/2 }

// TotalRate is the rate that all nodes share.
func (p *RateLimiter) TotalRate() float64 { return p.total }

// Requested is how many changes were to be made so far.
func (p *RateLimiter) Requested() int64 { return p.requested.Load() }

// wait takes n changes from the rate.
func (p *RateLimiter) wait(ctx context.Context, n int, level Priority) error {
	p.requested.Add(int64(n))
	if level == UserPriority {
		return p.limiter.WaitN(ctx, min(n, p.limiter.Burst()))
	}
	n = min(n, p.limiter.Burst()-reservedChanges[level])
	lack := func() time.Duration {
		return time.Duration((float64(n+reservedChanges[level]) - p.limiter.Tokens()) / p.PerSecond() * float64(time.Second))
	}
	// If nobody came before it, it would have its turn then.
	turn := time.Now().Add(lack() + yieldTime)
	for {
		short := lack()
		if short <= 0 && p.limiter.AllowN(time.Now(), n) {
			return nil
		}
		if now := time.Now(); now.After(turn) && p.minimums[level].AllowN(now, n) {
			return p.limiter.WaitN(ctx, n)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(max(10*time.Millisecond, min(yieldTime, short))):
		}
	}
}

// yieldTime is how much longer than its turn a change lets others go first.
const yieldTime = 200 * time.Millisecond

// contendedBatchSize is how many changes one transaction may hold while others wait.
func (p *RateLimiter) contendedBatchSize(txnOps int) int {
	return min(txnOps, max(4, int(p.PerSecond()/3)))
}
