package standin

import (
	"sync"
	"time"
)

// SimulatedCPU limits a controller to Cores, which may be below one, in simulated time: work
// waits for the work before it, as threads on a busy machine do. Without it a simulated
// controller has unlimited processor time, and a start that costs too much looks free.
type SimulatedCPU struct {
	Cores float64

	mu        sync.Mutex
	busyUntil time.Time     // when all work so far is done
	total     time.Duration // processor time used so far
}

// Spend waits until cost of processor time has been used after all earlier work. A nil
// SimulatedCPU does not wait.
func (c *SimulatedCPU) Spend(cost time.Duration) {
	if c == nil || c.Cores <= 0 {
		return
	}
	c.mu.Lock()
	now := time.Now()
	if c.busyUntil.Before(now) {
		c.busyUntil = now
	}
	c.busyUntil = c.busyUntil.Add(time.Duration(float64(cost) / c.Cores))
	c.total += cost
	wait := c.busyUntil.Sub(now)
	c.mu.Unlock()
	time.Sleep(wait)
}

// Spent returns the processor time used so far.
func (c *SimulatedCPU) Spent() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
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
func (l *LoadLimiter) TryBegin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.PerSecond > 0 {
		if l.lastRefill.IsZero() {
			l.tokens = float64(l.PerSecond)
		}
		l.tokens = min(float64(l.PerSecond), l.tokens+now.Sub(l.lastRefill).Seconds()*float64(l.PerSecond))
		l.lastRefill = now
	}
	if l.MaxOpen > 0 && l.current >= l.MaxOpen || l.PerSecond > 0 && l.tokens < 1 {
		l.refused++
		return false
	}
	l.tokens--
	l.current++
	l.total++
	l.peak = max(l.peak, l.current)
	return true
}

// End ends an operation.
func (l *LoadLimiter) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current--
}

// Counts returns how many operations began, the most that were in progress at a time, and
// how many were refused.
func (l *LoadLimiter) Counts() (total, peak, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total, l.peak, l.refused
}
