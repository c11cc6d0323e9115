package storage

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Level is how urgent a change is.
type Level uint8

// Levels, the most urgent first.
const (
	UserLevel       Level = iota // a user waits for it
	UrgentLevel                  // somebody's start, the end of a job, who holds what
	BackgroundLevel              // everything else
	levels
)

// spare is how many changes each level leaves at any time to those before it, so that
// they need not wait; least is the part of the rate that it gets whatever they use up.
// (Without the second a wave of submissions kept rented machines from being recorded for
// 35 s. Without the first the placing of small tasks, which takes all that there is of 20
// changes a second, kept half of the submissions waiting for more than 200 ms.)
var (
	spare = [levels]int{UrgentLevel: 3, BackgroundLevel: 7}
	least = [levels]float64{UrgentLevel: 0.5, BackgroundLevel: 0.15}
)

// Pace spends this node's part of the rate of changes.
type Pace struct {
	total   float64
	limiter *rate.Limiter
	own     [levels]*rate.Limiter // what a level gets in any case
	asked   atomic.Int64
}

// NewPace plans an equal part for one of nodes nodes.
func NewPace(limits protocol.StateSettings, nodes int) *Pace {
	p := &Pace{total: usable * limits.WriteRPS}
	part := max(1, p.total/float64(nodes))
	burst := max(limits.TxnOps, int(part))
	p.limiter = rate.NewLimiter(rate.Limit(part), burst+spare[BackgroundLevel])
	for l := range p.own {
		p.own[l] = rate.NewLimiter(rate.Limit(least[l]*part), burst)
	}
	return p
}

// SetPart changes the part of the whole rate that this node may use.
func (p *Pace) SetPart(part float64) {
	perSecond := max(1, part*p.total)
	p.limiter.SetLimit(rate.Limit(perSecond))
	for l := range p.own {
		p.own[l].SetLimit(rate.Limit(least[l] * perSecond))
	}
}

// PerSecond is how many changes a second this node may make.
func (p *Pace) PerSecond() float64 { return float64(p.limiter.Limit()) }

// Ample says whether much of the rate lies unused.
func (p *Pace) Ample() bool { return p.limiter.Tokens() > float64(p.limiter.Burst())/2 }

// Total is the rate that all nodes share.
func (p *Pace) Total() float64 { return p.total }

// Asked is how many changes were to be made so far.
func (p *Pace) Asked() int64 { return p.asked.Load() }

// wait takes n changes from the rate.
func (p *Pace) wait(ctx context.Context, n int, level Level) error {
	p.asked.Add(int64(n))
	if level == UserLevel {
		return p.limiter.WaitN(ctx, min(n, p.limiter.Burst()))
	}
	n = min(n, p.limiter.Burst()-spare[level])
	lack := func() time.Duration {
		return time.Duration((float64(n+spare[level]) - p.limiter.Tokens()) / p.PerSecond() * float64(time.Second))
	}
	// If nobody came before it, it would have its turn then.
	turn := time.Now().Add(lack() + patience)
	for {
		short := lack()
		if short <= 0 && p.limiter.AllowN(time.Now(), n) {
			return nil
		}
		if now := time.Now(); now.After(turn) && p.own[level].AllowN(now, n) {
			return p.limiter.WaitN(ctx, n)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(max(10*time.Millisecond, min(patience, short))):
		}
	}
}

// patience is how much longer than its turn a change lets others go first.
const patience = 200 * time.Millisecond

// fairBatch is how many changes one transaction may hold while others wait.
func (p *Pace) fairBatch(txnOps int) int { return min(txnOps, max(4, int(p.PerSecond()/3))) }
