package gateway

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
	"dapplestage.example/dapplestage/internal/transport"
)

// Controllers is a client of a site's controllers. Any of them can serve a call; the one
// that last answered is tried first.
type Controllers struct {
	clients   []*transport.Client
	addrs     []string
	preferred atomic.Int64 // index of the controller to try first
	log       *slog.Logger
}

// NewControllers creates a client of the controllers at the given addresses.
func NewControllers(addrs []string, log *slog.Logger) *Controllers {
	c := &Controllers{addrs: addrs, log: log}
	for _, addr := range addrs {
		c.clients = append(c.clients, transport.NewClient(addr, 0))
	}
	return c
}

// Timeouts of requests to a controller.
const (
	callTimeout = 2500 * time.Millisecond
	hintTimeout = time.Second
)

// Call implements Site. Of calls without an answer it is not known whether they were
// executed, and they may still be later; each call names its claim, so that a late one does
// no harm.
func (c *Controllers) Call(ctx context.Context, calls []Call) []Result {
	envelope := &wire.Envelope{Items: make([]wire.Item, len(calls))}
	byID := map[string]*Call{}
	for i := range calls {
		call := &calls[i]
		envelope.Items[i] = wire.Item{Kind: call.Kind, ID: call.ID, Record: wire.Record{Epoch: call.Epoch, Spec: call.Spec, CreatedMS: call.CreatedMS}}
		byID[call.ID] = call
	}
	index := int(c.preferred.Load()) % len(c.clients)
	answer, err := c.clients[index].Call(ctx, callTimeout, "POST", "/site/calls", wire.Encode(envelope))
	if err != nil || answer.Status != 200 {
		c.log.Debug("controller does not answer", "addr", c.addrs[index], "status", answer.Status, "why", err)
		c.preferred.Store(int64(index + 1))
		return nil
	}
	reply, err := wire.Decode(answer.Body)
	if err != nil {
		c.log.Warn("controller's answer can't be decoded", "addr", c.addrs[index], "why", err)
		c.preferred.Store(int64(index + 1))
		return nil
	}
	var out []Result
	unavailable := 0
	for i := range reply.Items {
		it := &reply.Items[i]
		call := byID[it.ID]
		if call == nil || it.Record.Epoch != call.Epoch || it.Kind != wire.Result {
			continue
		}
		if it.Code == wire.Unavailable {
			unavailable++
		}
		out = append(out, Result{Call: *call, Code: it.Code, Done: it.Record.Tasks, Running: it.Running, Revision: it.Ballot.Number, Reason: string(it.Record.Spec)})
	}
	if len(out) < len(calls) || unavailable == len(calls) {
		c.preferred.Store(int64(index + 1)) // another controller may reach the state service
	}
	return out
}

// Hint implements Site. It adds up the reports of all controllers, each of which knows the
// partitions that it owns.
func (c *Controllers) Hint(ctx context.Context) *wire.Hint {
	hints := make(chan *wire.Hint, len(c.clients))
	for _, client := range c.clients {
		go func() {
			answer, err := client.Call(ctx, hintTimeout, "GET", "/site/hint", nil)
			if err != nil || answer.Status != 200 {
				hints <- nil
				return
			}
			envelope, err := wire.Decode(answer.Body)
			if err != nil {
				hints <- nil
				return
			}
			hints <- envelope.Hint
		}()
	}
	var received []*wire.Hint
	for range c.clients {
		if hint := <-hints; hint != nil {
			received = append(received, hint)
		}
	}
	return sumHints(received)
}

// sumHints adds up the reports of controllers about their partitions; nil if there is none.
func sumHints(hints []*wire.Hint) *wire.Hint {
	if len(hints) == 0 {
		return nil
	}
	sum := &wire.Hint{Types: hints[0].Types, Teams: slices.Clone(hints[0].Teams), Images: slices.Clone(hints[0].Images),
		GPUs: hints[0].GPUs, FreeGPUs: hints[0].FreeGPUs, Waiting: hints[0].Waiting}
	for _, hint := range hints[1:] {
		sum.GPUs += hint.GPUs
		sum.FreeGPUs += hint.FreeGPUs
		sum.Waiting += hint.Waiting
		for i := range min(len(sum.Teams), len(hint.Teams)) {
			sum.Teams[i].UsedGPUs += hint.Teams[i].UsedGPUs
			sum.Teams[i].Waiting += hint.Teams[i].Waiting
		}
		for _, image := range hint.Images {
			if len(sum.Images) < wire.MaxImages && !slices.Contains(sum.Images, image) {
				sum.Images = append(sum.Images, image)
			}
		}
	}
	return sum
}
