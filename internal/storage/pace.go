package storage

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Pace spends this node's part of the rate of changes. Changes that a user
// waits for go first: the books leave a few of the rate's tokens to them, but
// wait no longer than patience for that. Without this a wave of submissions kept
// the books waiting, and no machine was rented, for as long as it lasted.
type Pace struct {
	total   float64
	limiter *rate.Limiter
	asked   atomic.Int64
}

// forUsers is how many changes the books leave to users at any time.
const forUsers = 4

// NewPace plans an equal part for one of nodes nodes.
func NewPace(limits protocol.StateSettings, nodes int) *Pace {
	p := &Pace{total: usable * limits.WriteRPS}
	part := max(1, p.total/float64(nodes))
	p.limiter = rate.NewLimiter(rate.Limit(part), max(limits.TxnOps, int(part))+forUsers)
	return p
}

// SetPart changes the part of the whole rate that this node may use.
func (p *Pace) SetPart(part float64) { p.limiter.SetLimit(rate.Limit(max(1, part*p.total))) }

// PerSecond is how many changes a second this node may make.
func (p *Pace) PerSecond() float64 { return float64(p.limiter.Limit()) }

// Ample says whether much of the rate lies unused.
func (p *Pace) Ample() bool { return p.limiter.Tokens() > float64(p.limiter.Burst())/2 }

// Total is the rate that all nodes share.
func (p *Pace) Total() float64 { return p.total }

// Asked is how many changes were to be made so far.
func (p *Pace) Asked() int64 { return p.asked.Load() }

// wait takes n changes from the rate.
func (p *Pace) wait(ctx context.Context, n int, urgent bool) error {
	p.asked.Add(int64(n))
	if urgent {
		return p.limiter.WaitN(ctx, min(n, p.limiter.Burst()))
	}
	n = min(n, p.limiter.Burst()-forUsers)
	for since := time.Now(); time.Since(since) < patience; {
		lack := float64(n+forUsers) - p.limiter.Tokens()
		if lack <= 0 && p.limiter.AllowN(time.Now(), n) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(max(10*time.Millisecond, min(patience, time.Duration(lack/p.PerSecond()*float64(time.Second))))):
		}
	}
	return p.limiter.WaitN(ctx, n)
}

// patience is how long the books let users go first.
const patience = 200 * time.Millisecond

// fairBatch is how many changes one transaction may hold while others wait.
func (p *Pace) fairBatch(txnOps int) int { return min(txnOps, max(4, int(p.PerSecond()/3))) }
