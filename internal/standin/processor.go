package standin

import (
	"sync"
	"time"
)

// SimulatedCPU is a controller's share of a core in simulated time: what is spent waits
// for what was spent before, as threads on a busy machine do. Without it a simulated
// controller has all the time it likes, and a start that costs too much looks free.
type SimulatedCPU struct {
	Cores float64

	mu        sync.Mutex
	busyUntil time.Time // when what was spent so far is done
	spent     time.Duration
}

// Spend waits until so much processor time has been had.
func (p *SimulatedCPU) Spend(cost time.Duration) {
	if p == nil || p.Cores <= 0 {
		return
	}
	p.mu.Lock()
	now := time.Now()
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.busyUntil = p.busyUntil.Add(time.Duration(float64(cost) / p.Cores))
	p.spent += cost
	wait := p.busyUntil.Sub(now)
	p.mu.Unlock()
	time.Sleep(wait)
}

// Spent is the processor time had so far.
func (p *SimulatedCPU) Spent() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spent
}

// LoadLimiter counts what goes on at a time, and per second, up to limits.
type LoadLimiter struct {
	MaxOpen   int // at a time; 0: no limit
	PerSecond int // with one second's worth at once; 0: no limit

	mu         sync.Mutex
	open       int
	peak       int
	total      int
	refused    int
	tokens     float64
	lastRefill time.Time
}

// TryBegin counts one more, or refuses it.
func (g *LoadLimiter) TryBegin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.PerSecond > 0 {
		if g.lastRefill.IsZero() {
			g.tokens = float64(g.PerSecond)
		}
		g.tokens = min(float64(g.PerSecond), g.tokens+now.Sub(g.lastRefill).Seconds()*float64(g.PerSecond))
		g.lastRefill = now
	}
	if g.MaxOpen > 0 && g.open >= g.MaxOpen || g.PerSecond > 0 && g.tokens < 1 {
		g.refused++
		return false
	}
	g.tokens--
	g.open++
	g.total++
	g.peak = max(g.peak, g.open)
	return true
}

// End ends one.
func (g *LoadLimiter) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
}

// Counts are how many there were, the most at a time, and how many were refused.
func (g *LoadLimiter) Counts() (total, peak, refused int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total, g.peak, g.refused
}
