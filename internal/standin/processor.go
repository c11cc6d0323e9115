package standin

import (
	"sync"
	"time"
)

// SimulatedCPU limits a controller to Cores, which may be below one, in simulated time: work
// waits for the work before it, as threads on a busy machine do. Without it a simulated controller
// has unlimited processor time, and a start that costs too much looks free.
type SimulatedCPU struct {
	Cores float64

	mu        sync.Mutex
	busyUntil time.Time // when all work so far is done
	total     time.Duration
}

// Spend waits until cost of processor time has been used after all earlier work. A nil
// SimulatedCPU does not wait.
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
	p.total += cost
	wait := p.busyUntil.Sub(now)
	p.mu.Unlock()
	time.Sleep(wait)
}

// Spent returns the processor time used so far.
func (p *SimulatedCPU) Spent() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// LoadLimiter counts operations, and limits how many are in progress and how many begin per
// second.
type LoadLimiter struct {
	MaxOpen   int // operations in progress at a time; 0: no limit
	PerSecond int // operations that begin per second, with a burst of one second's worth; 0: no limit

	mu         sync.Mutex
	current    int
	peak       int
	total      int
	refused    int
	tokens     float64
	lastRefill time.Time
}

// TryBegin begins an operation, or refuses it and returns false.
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
	if g.MaxOpen > 0 && g.current >= g.MaxOpen || g.PerSecond > 0 && g.tokens < 1 {
		g.refused++
		return false
	}
	g.tokens--
	g.current++
	g.total++
	g.peak = max(g.peak, g.current)
	return true
}

// End ends an operation.
func (g *LoadLimiter) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current--
}

// Counts returns how many operations began, the most that were in progress at a time, and
// how many were refused.
func (g *LoadLimiter) Counts() (total, peak, refused int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total, g.peak, g.refused
}
