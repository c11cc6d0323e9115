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

// Controllers calls a site's controllers: any of them serves, the one that last
// answered is asked first.
type Controllers struct {
	clients   []*transport.Client
	addrs     []string
	preferred atomic.Int64
	log       *slog.Logger
}

// NewControllers makes a client of some controllers.
func NewControllers(addrs []string, log *slog.Logger) *Controllers {
	c := &Controllers{addrs: addrs, log: log}
	for _, a := range addrs {
		c.clients = append(c.clients, transport.NewClient(a, 0))
	}
	return c
}

const (
	callTimeout = 2500 * time.Millisecond
	hintTimeout = time.Second
)

// Call implements Site. Whether calls that got no answer were executed is not
// known, and they may be yet: each names its claim.
func (c *Controllers) Call(ctx context.Context, calls []Call) []Result {
	e := &wire.Envelope{Items: make([]wire.Item, len(calls))}
	byID := map[string]*Call{}
	for i := range calls {
		q := &calls[i]
		e.Items[i] = wire.Item{Kind: q.Kind, ID: q.ID, Record: wire.Record{Epoch: q.Epoch, Spec: q.Spec, CreatedMS: q.CreatedMS}}
		byID[q.ID] = q
	}
	at := int(c.preferred.Load()) % len(c.clients)
	a, err := c.clients[at].Call(ctx, callTimeout, "POST", "/site/calls", wire.Encode(e))
	if err != nil || a.Status != 200 {
		c.log.Debug("controller does not answer", "addr", c.addrs[at], "status", a.Status, "why", err)
		c.preferred.Store(int64(at + 1))
		return nil
	}
	got, err := wire.Decode(a.Body)
	if err != nil {
		c.log.Warn("controller's answer not understood", "addr", c.addrs[at], "why", err)
		c.preferred.Store(int64(at + 1))
		return nil
	}
	var out []Result
	busy := 0
	for i := range got.Items {
		it := &got.Items[i]
		q := byID[it.ID]
		if q == nil || it.Record.Epoch != q.Epoch || it.Kind != wire.Result {
			continue
		}
		if it.Code == wire.Unavailable {
			busy++
		}
		out = append(out, Result{Call: *q, Code: it.Code, Done: it.Record.Tasks, Running: it.Running, Revision: it.Ballot.Number, Reason: string(it.Record.Spec)})
	}
	if len(out) < len(calls) || busy == len(calls) {
		c.preferred.Store(int64(at + 1)) // perhaps another one has the state service
	}
	return out
}

// Hint implements Site: what the controllers say, added up. Each knows the shares
// that it holds.
func (c *Controllers) Hint(ctx context.Context) *wire.Hint {
	hints := make(chan *wire.Hint, len(c.clients))
	for _, cl := range c.clients {
		go func() {
			a, err := cl.Call(ctx, hintTimeout, "GET", "/site/hint", nil)
			if err != nil || a.Status != 200 {
				hints <- nil
				return
			}
			e, err := wire.Decode(a.Body)
			if err != nil {
				hints <- nil
				return
			}
			hints <- e.Hint
		}()
	}
	var all []*wire.Hint
	for range c.clients {
		if h := <-hints; h != nil {
			all = append(all, h)
		}
	}
	return sumHints(all)
}

// sumHints adds up what controllers know of their shares; nil if none says anything.
func sumHints(all []*wire.Hint) *wire.Hint {
	if len(all) == 0 {
		return nil
	}
	sum := &wire.Hint{Types: all[0].Types, Teams: slices.Clone(all[0].Teams), Images: slices.Clone(all[0].Images),
		GPUs: all[0].GPUs, FreeGPUs: all[0].FreeGPUs, Waiting: all[0].Waiting}
	for _, h := range all[1:] {
		sum.GPUs += h.GPUs
		sum.FreeGPUs += h.FreeGPUs
		sum.Waiting += h.Waiting
		for i := range min(len(sum.Teams), len(h.Teams)) {
			sum.Teams[i].UsedGPUs += h.Teams[i].UsedGPUs
			sum.Teams[i].Waiting += h.Teams[i].Waiting
		}
		for _, im := range h.Images {
			if len(sum.Images) < wire.MaxImages && !slices.Contains(sum.Images, im) {
				sum.Images = append(sum.Images, im)
			}
		}
	}
	return sum
}
