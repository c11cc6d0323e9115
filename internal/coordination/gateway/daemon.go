package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// Store keeps a member's registers. Write returns when the items are durable, all or
// none of them; without items, when it is shown that the store is still this
// process's own. It is called by one routine at a time. An error of kind ErrFatal
// ends the daemon; after any other it is called again with the same items.
type Store interface {
	Write(ctx context.Context, items []wire.Item) error
}

// ErrFatal marks errors after which a member must not go on.
var ErrFatal = errors.New("the member can't go on")

// Site carries calls to the site's controllers.
type Site interface {
	// Call makes some calls. What it returns no result for is not known to have happened.
	Call(ctx context.Context, calls []Call) []Result
	// Hint asks the controllers how the site is; nil if none says.
	Hint(ctx context.Context) *wire.Hint
}

// Daemon runs a member: one routine owns the core, everything else talks to it.
type Daemon struct {
	core              *Core
	cfg               Config
	log               *slog.Logger
	ctx               context.Context
	stop              context.CancelCauseFunc
	mailbox           chan func()
	startedAt         time.Time
	store             Store
	send              func(to int, e *wire.Envelope)
	site              Site
	batches           chan Batch
	calls             chan Call
	pendingAnswers    map[uint64]chan<- Answer
	lastToken         uint64
	storeFailingSince time.Time // when the store first failed to write what waits
	storeErr          error
}

// NewDaemon makes a member that lives until ctx ends. start is higher with each
// start of the member; items are what it has stored; send must not block; site is
// nil for a gateway.
func NewDaemon(ctx context.Context, cfg Config, incarnation uint32, items []wire.Item, store Store, send func(to int, e *wire.Envelope), site Site, seed uint64, log *slog.Logger) *Daemon {
	d := &Daemon{cfg: cfg, log: log, mailbox: make(chan func(), 4096), startedAt: time.Now(), store: store, send: send, site: site,
		batches: make(chan Batch, 4096), calls: make(chan Call, 4*maxCallsInFlight), pendingAnswers: map[uint64]chan<- Answer{}}
	d.ctx, d.stop = context.WithCancelCause(ctx)
	d.core = New(cfg, incarnation, items, seed, log, 0)
	return d
}

// now is the steady clock of the member.
func (d *Daemon) now() time.Duration { return time.Since(d.startedAt) }

// enqueue hands f to the routine that owns the core.
func (d *Daemon) enqueue(f func()) {
	select {
	case d.mailbox <- f:
	case <-d.ctx.Done():
	}
}

// tickInterval is how often the core looks at what is due.
const tickInterval = 20 * time.Millisecond

// Run serves until the daemon's context ends, and says why it ended.
func (d *Daemon) Run() error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.storeBatches()
	}()
	if d.site != nil {
		go d.sendCalls()
		go d.pollHints()
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for d.ctx.Err() == nil {
		select {
		case <-d.ctx.Done():
		case f := <-d.mailbox:
			f()
		case <-tick.C:
			d.applyEffects(d.core.Tick(d.now()))
		}
	}
	<-done
	if err := context.Cause(d.ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// applyEffects carries out effects.
func (d *Daemon) applyEffects(effects Effects) {
	for _, b := range effects.Store {
		select {
		case d.batches <- b:
		case <-d.ctx.Done():
			return
		}
	}
	for to := range d.cfg.Members {
		if items := effects.Send[to]; to != d.cfg.Self && (len(items) > 0 || effects.Hint != nil) {
			// A message that is too long is sent in parts: the order does not matter.
			for len(items) > maxItemsPerMessage {
				d.send(to, &wire.Envelope{Items: items[:maxItemsPerMessage]})
				items = items[maxItemsPerMessage:]
			}
			d.send(to, &wire.Envelope{Items: items, Hint: effects.Hint})
		}
	}
	for _, answer := range effects.Answers {
		if ch := d.pendingAnswers[answer.Token]; ch != nil {
			delete(d.pendingAnswers, answer.Token)
			ch <- answer
		}
	}
	for _, call := range effects.Calls {
		select {
		case d.calls <- call:
		default: // never more than mostCalls are under way
			d.stop(fmt.Errorf("%w: calls pile up", ErrFatal))
		}
	}
}

// maxItemsPerMessage bounds a message.
const maxItemsPerMessage = 1000

// storeBatches stores batches in order, all that wait at once (group commit).
func (d *Daemon) storeBatches() {
	for {
		var batch Batch
		select {
		case <-d.ctx.Done():
			return
		case batch = <-d.batches:
		}
		latest := map[string]int{}
		items := append([]wire.Item(nil), batch.Items...)
		for i := range items {
			latest[items[i].ID] = i
		}
		for draining := true; draining; {
			select {
			case next := <-d.batches:
				batch.Seq = next.Seq
				for _, it := range next.Items {
					if i, ok := latest[it.ID]; ok {
						items[i] = it
					} else {
						latest[it.ID] = len(items)
						items = append(items, it)
					}
				}
			default:
				draining = false
			}
		}
		if !d.storeItems(items) {
			return
		}
		d.enqueue(func() { d.applyEffects(d.core.BatchStored(d.now(), batch.Seq)) })
	}
}

// storeItems tries until the items are durable. Meanwhile this member promises and
// accepts nothing more, since nothing is told before it is stored.
func (d *Daemon) storeItems(items []wire.Item) bool {
	for attempt := 0; ; attempt++ {
		err := d.store.Write(d.ctx, items)
		switch {
		case err == nil:
			if attempt > 0 {
				d.log.Info("store written again", "items", len(items), "tries", attempt+1)
			}
			d.enqueue(func() { d.storeErr = nil })
			return true
		case d.ctx.Err() != nil:
			return false
		case errors.Is(err, ErrFatal):
			d.log.Error("member ends", "why", err)
			d.stop(err)
			return false
		}
		if attempt%10 == 0 {
			d.log.Error("store can't be written: this member answers nothing new", "why", err, "items", len(items))
		}
		d.enqueue(func() {
			if d.storeErr == nil {
				d.storeFailingSince = time.Now()
			}
			d.storeErr = err
		})
		select {
		case <-d.ctx.Done():
			return false
		case <-time.After(time.Second):
		}
	}
}

// callBatchDelay is how long calls wait for others to go with.
const callBatchDelay = 15 * time.Millisecond

// sendCalls takes calls to the controllers, many in one request, several requests
// under way.
func (d *Daemon) sendCalls() {
	slots := make(chan struct{}, 4)
	for {
		var calls []Call
		select {
		case <-d.ctx.Done():
			return
		case c := <-d.calls:
			calls = append(calls, c)
		}
		wait := time.After(callBatchDelay)
		for gathering := true; gathering && len(calls) < 64; {
			select {
			case c := <-d.calls:
				calls = append(calls, c)
			case <-wait:
				gathering = false
			}
		}
		select {
		case <-d.ctx.Done():
			return
		case slots <- struct{}{}:
		}
		go func() {
			defer func() { <-slots }()
			results := d.site.Call(d.ctx, calls)
			answered := map[callKey]bool{}
			for i := range results {
				answered[callKeyOf(&results[i].Call)] = true
			}
			for _, c := range calls {
				if !answered[callKeyOf(&c)] {
					results = append(results, Result{Call: c, Code: wire.Unavailable})
				}
			}
			d.enqueue(func() { d.applyEffects(d.core.SiteResults(d.now(), results)) })
		}()
	}
}

// callKey is what names a call among others.
type callKey struct {
	kind  wire.Kind
	id    string
	epoch uint32
}

func callKeyOf(c *Call) callKey { return callKey{c.Kind, c.ID, c.Epoch} }

// pollHints asks the controllers how the site is, every other second.
func (d *Daemon) pollHints() {
	for d.ctx.Err() == nil {
		if hint := d.site.Hint(d.ctx); hint != nil {
			d.enqueue(func() { d.core.SetHint(d.now(), hint) })
		}
		select {
		case <-d.ctx.Done():
		case <-time.After(2 * time.Second):
		}
	}
}

// Receive takes in a message of another member.
func (d *Daemon) Receive(from int, e *wire.Envelope) {
	d.enqueue(func() { d.applyEffects(d.core.Receive(d.now(), from, e)) })
}

// runOnCore runs f on the routine that owns the core and returns what it returns.
func runOnCore[T any](d *Daemon, ctx context.Context, f func() T) (value T, ok bool) {
	reply := make(chan T, 1)
	d.enqueue(func() { reply <- f() })
	select {
	case value = <-reply:
		return value, true
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	return value, false
}

// SiteLease is what the site's controllers are told now.
func (d *Daemon) SiteLease(ctx context.Context, maxLease time.Duration) (wire.Lease, bool) {
	return runOnCore(d, ctx, func() wire.Lease { return d.core.SiteLease(d.now(), maxLease) })
}

// setDrained drains the site, or takes it back into service; it is stored first.
func (d *Daemon) setDrained(ctx context.Context, on bool) error {
	ctx, cancel := context.WithTimeout(ctx, userTimeout)
	defer cancel()
	seq, ok := runOnCore(d, ctx, func() uint64 { d.applyEffects(d.core.SetDrained(d.now(), on)); return d.core.lastBatchSeq })
	for ok {
		storedSeq, alive := runOnCore(d, ctx, func() uint64 { return d.core.storedSeq })
		if storedSeq >= seq {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
		ok = alive
	}
	return errors.New("the state service does not answer; it takes effect here and may last")
}
