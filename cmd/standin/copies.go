package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
)

// copyOptions say of which fraction of the answered direct commands a copy arrives, and when.
type copyOptions struct {
	rate               float64
	seed               uint64
	minDelay, maxDelay time.Duration
}

// commandCopier delivers copies of direct commands that workers have carried out and answered.
type commandCopier struct {
	fleet   *standin.Fleet
	options copyOptions
	mu      sync.Mutex // guards what follows
	rng     *rand.Rand
	report  copyReport
}

// copyReport says how many copies arrived and in which situations, how many commands changed
// something again, and which rules the machines saw broken.
type copyReport struct {
	Copies     int                         `json:"copies"`
	Changed    int                         `json:"changed"`
	Meetings   map[standin.CopyMeeting]int `json:"meetings"`
	Violations []string                    `json:"violations"`
}

func newCommandCopier(fleet *standin.Fleet, options copyOptions) *commandCopier {
	return &commandCopier{fleet: fleet, options: options, rng: rand.New(rand.NewPCG(options.seed, 71)),
		report: copyReport{Meetings: map[standin.CopyMeeting]int{}}}
}

// onAnswered is called with each direct command that a worker has carried out and answered.
func (c *commandCopier) onAnswered(addr string, orders protocol.Orders) {
	delay, copied := c.draw(orders)
	if copied {
		time.AfterFunc(delay, func() { c.deliver(addr, orders) })
	}
}

// draw decides whether a copy of a command arrives, and when.
func (c *commandCopier) draw(orders protocol.Orders) (delay time.Duration, copied bool) {
	if c.options.rate == 0 || len(orders.Commands) == 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	copied = c.rng.Float64() < c.options.rate
	spread := c.options.maxDelay - c.options.minDelay
	return c.options.minDelay + time.Duration(c.rng.Float64()*float64(spread)), copied
}

// deliver makes the worker carry out a copy.
func (c *commandCopier) deliver(addr string, orders protocol.Orders) {
	meetings := c.fleet.RepeatCommand(addr, orders)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Copies++
	for _, meeting := range meetings {
		c.report.Meetings[meeting]++
	}
}

// serveReport answers with the report so far.
func (c *commandCopier) serveReport(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Changed, c.report.Violations = c.fleet.CopyEffects()
	writeJSON(w, 200, c.report)
}
