package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// Store persists a member's registers. An error that wraps ErrFatal ends the daemon; after
// any other error the call is repeated.
type Store interface {
	// Write returns nil when all of the items are durable; if it fails, any of them may be.
	// Only one goroutine calls it at a time.
	Write(ctx context.Context, items []wire.Item) error
	// ProveOwnership returns nil if the store still belonged to this process after the call.
	// It may be called during a Write, and does not wait for it.
	ProveOwnership(ctx context.Context) error
	// BatchBytes returns how much one Write should store; 0: any amount.
	BatchBytes() int
}

// ErrFatal marks errors after which a member must not continue.
var ErrFatal = errors.New("the member can't continue")

// Site sends calls to the site's controllers.
type Site interface {
	// Call makes calls to the controllers. Of calls without a result it is not known whether
	// they had any effect.
	Call(ctx context.Context, calls []Call) []Result
	// Hint returns the site's load as its controllers report it; nil if none answers.
	Hint(ctx context.Context) *wire.Hint
}

// Daemon runs a member: one goroutine owns the core, and all others pass it functions to
// run.
type Daemon struct {
	core              *Core
	cfg               Config
	log               *slog.Logger
	ctx               context.Context
	stop              context.CancelCauseFunc
	mailbox           chan func() // functions for the goroutine that owns the core
	startedAt         time.Time   // zero of the monotonic clock
	store             Store
	send              func(to int, e *wire.Envelope)
	site              Site
	batches           chan Batch  // at most one
	proofRequests     chan uint64 // at most one: numbers of requests to prove the ownership of the store
	calls             chan Call
	pendingAnswers    map[uint64]chan<- Answer // where the answers to user requests go, by token
	lastToken         uint64
	storeFailingSince time.Time // when the store began to fail
	storeErr          error     // last error of the store; nil: it can be written
}

// NewDaemon creates a member that runs until ctx ends. incarnation increases with each
// start of the member; items is the stored state; send must not block; site is nil for a
// gateway.
func NewDaemon(ctx context.Context, cfg Config, incarnation uint32, items []wire.Item, store Store, send func(to int, e *wire.Envelope), site Site, seed uint64, log *slog.Logger) *Daemon {
	cfg.BatchBytes = store.BatchBytes()
	d := &Daemon{cfg: cfg, log: log, mailbox: make(chan func(), 4096), startedAt: time.Now(), store: store, send: send, site: site,
		batches: make(chan Batch, 1), proofRequests: make(chan uint64, 1), calls: make(chan Call, 4*maxCallsInFlight), pendingAnswers: map[uint64]chan<- Answer{}}
	d.ctx, d.stop = context.WithCancelCause(ctx)
	d.core = New(cfg, incarnation, items, seed, log, 0)
	return d
}

// now returns the member's monotonic clock.
func (d *Daemon) now() time.Duration { return time.Since(d.startedAt) }

// enqueue passes f to the goroutine that owns the core.
func (d *Daemon) enqueue(f func()) {
	select {
	case d.mailbox <- f:
	case <-d.ctx.Done():
	}
}

// tickInterval is how often the core checks what is due by time.
const tickInterval = 20 * time.Millisecond

// Run serves until the context of the daemon ends, and returns the cause unless it was
// cancelled.
func (d *Daemon) Run() error {
	var storage sync.WaitGroup
	storage.Go(d.storeBatches)
	storage.Go(d.proveOwnership)
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
	storage.Wait()
	if err := context.Cause(d.ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// applyEffects carries out the effects of a step.
func (d *Daemon) applyEffects(effects Effects) {
	for _, b := range effects.Store {
		d.batches <- b // has room: the core waits for the completion of the one before
	}
	if effects.ProveOwnership != 0 {
		d.proofRequests <- effects.ProveOwnership // has room, as above
	}
	for to := range d.cfg.Members {
		if items := effects.Send[to]; to != d.cfg.Self && (len(items) > 0 || effects.Hint != nil) {
			// A long message is sent in parts; their order does not matter.
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
		default: // the core has at most maxCallsInFlight calls in flight
			d.stop(fmt.Errorf("%w: too many calls to the controllers are queued", ErrFatal))
		}
	}
}

// maxItemsPerMessage limits the items of one message.
const maxItemsPerMessage = 1000

// storeBatches stores one batch after the other. Until one is durable, this member promises
// and accepts nothing in it, since replies wait until their state is stored.
func (d *Daemon) storeBatches() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case batch := <-d.batches:
			if !d.retryStore(func() error { return d.store.Write(d.ctx, batch.Items) }) {
				return
			}
			d.enqueue(func() { d.applyEffects(d.core.BatchStored(d.now(), batch.Seq)) })
		}
	}
}

// proveOwnership proves that the store belongs to this process, as often as the core asks.
func (d *Daemon) proveOwnership() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case seq := <-d.proofRequests:
			if !d.retryStore(func() error { return d.store.ProveOwnership(d.ctx) }) {
				return
			}
			d.enqueue(func() { d.applyEffects(d.core.OwnershipProved(d.now(), seq)) })
		}
	}
}

// retryStore calls the store until the call succeeds. It returns false if the daemon ends.
func (d *Daemon) retryStore(call func() error) bool {
	for attempt := 0; ; attempt++ {
		err := call()
		switch {
		case err == nil:
			if attempt > 0 {
				d.log.Info("store written again", "tries", attempt+1)
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
			d.log.Error("store can't be written: this member answers nothing new", "why", err)
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

// callBatchDelay is how long a call waits for others to be sent in the same request.
const callBatchDelay = 15 * time.Millisecond

// sendCalls sends calls to the controllers, many per request and several requests
// concurrently.
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

// callKey identifies a call.
type callKey struct {
	kind  wire.Kind
	id    string
	epoch uint32
}

func callKeyOf(c *Call) callKey { return callKey{c.Kind, c.ID, c.Epoch} }

// pollHints asks the controllers for the load of the site every 2 s.
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

// Receive handles a message from another member.
func (d *Daemon) Receive(from int, e *wire.Envelope) {
	d.enqueue(func() { d.applyEffects(d.core.Receive(d.now(), from, e)) })
}

// runOnCore runs f on the goroutine that owns the core and returns its result; false if the
// context ends first.
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

// SiteLease returns the lease that the site's controllers are given now.
func (d *Daemon) SiteLease(ctx context.Context, maxLease time.Duration) (wire.Lease, bool) {
	return runOnCore(d, ctx, func() wire.Lease { return d.core.SiteLease(d.now(), maxLease) })
}

// setDrained drains the site or returns it to service, and waits until that is stored.
func (d *Daemon) setDrained(ctx context.Context, on bool) error {
	ctx, cancel := context.WithTimeout(ctx, userTimeout)
	defer cancel()
	_, ok := runOnCore(d, ctx, func() struct{} { d.applyEffects(d.core.SetDrained(d.now(), on)); return struct{}{} })
	for ok {
		stored, alive := runOnCore(d, ctx, func() bool { return d.core.storeQueue.siteStateStored() })
		if stored {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
		ok = alive
	}
	return errors.New("the state service does not answer; it takes effect here and may last")
}
