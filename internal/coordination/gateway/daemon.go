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
func NewDaemon(ctx context.Context, cfg Config, start uint32, items []wire.Item, store Store, send func(to int, e *wire.Envelope), site Site, seed uint64, log *slog.Logger) *Daemon {
	d := &Daemon{cfg: cfg, log: log, mailbox: make(chan func(), 4096), startedAt: time.Now(), store: store, send: send, site: site,
		batches: make(chan Batch, 4096), calls: make(chan Call, 4*maxCallsInFlight), pendingAnswers: map[uint64]chan<- Answer{}}
	d.ctx, d.stop = context.WithCancelCause(ctx)
	d.core = New(cfg, start, items, seed, log, 0)
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
func (d *Daemon) applyEffects(e Effects) {
	for _, b := range e.Store {
		select {
		case d.batches <- b:
		case <-d.ctx.Done():
			return
		}
	}
	for to := range d.cfg.Members {
		if items := e.Send[to]; to != d.cfg.Self && (len(items) > 0 || e.Hint != nil) {
			// A message that is too long is sent in parts: the order does not matter.
			for len(items) > maxItemsPerMessage {
				d.send(to, &wire.Envelope{Items: items[:maxItemsPerMessage]})
				items = items[maxItemsPerMessage:]
			}
			d.send(to, &wire.Envelope{Items: items, Hint: e.Hint})
		}
	}
	for _, a := range e.Answers {
		if ch := d.pendingAnswers[a.Token]; ch != nil {
			delete(d.pendingAnswers, a.Token)
			ch <- a
		}
	}
	for _, c := range e.Calls {
		select {
		case d.calls <- c:
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
		for more := true; more; {
			select {
			case b := <-d.batches:
				batch.Seq = b.Seq
				for _, it := range b.Items {
					if i, ok := latest[it.ID]; ok {
						items[i] = it
					} else {
						latest[it.ID] = len(items)
						items = append(items, it)
					}
				}
			default:
				more = false
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
	for try := 0; ; try++ {
		err := d.store.Write(d.ctx, items)
		switch {
		case err == nil:
			if try > 0 {
				d.log.Info("store written again", "items", len(items), "tries", try+1)
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
		if try%10 == 0 {
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
		for more := true; more && len(calls) < 64; {
			select {
			case c := <-d.calls:
				calls = append(calls, c)
			case <-wait:
				more = false
			}
		}
		select {
		case <-d.ctx.Done():
			return
		case slots <- struct{}{}:
		}
		go func() {
			defer func() { <-slots }()
			got := d.site.Call(d.ctx, calls)
			known := map[callKey]bool{}
			for i := range got {
				known[callKeyOf(&got[i].Call)] = true
			}
			for _, c := range calls {
				if !known[callKeyOf(&c)] {
					got = append(got, Result{Call: c, Code: wire.Unavailable})
				}
			}
			d.enqueue(func() { d.applyEffects(d.core.SiteResults(d.now(), got)) })
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
		if h := d.site.Hint(d.ctx); h != nil {
			d.enqueue(func() { d.core.SetHint(d.now(), h) })
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
func runOnCore[T any](d *Daemon, ctx context.Context, f func() T) (v T, ok bool) {
	reply := make(chan T, 1)
	d.enqueue(func() { reply <- f() })
	select {
	case v = <-reply:
		return v, true
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	return v, false
}

// SiteLease is what the site's controllers are told now.
func (d *Daemon) SiteLease(ctx context.Context, most time.Duration) (wire.Lease, bool) {
	return runOnCore(d, ctx, func() wire.Lease { return d.core.SiteLease(d.now(), most) })
}

// setDrained drains the site, or takes it back into service; it is stored first.
func (d *Daemon) setDrained(ctx context.Context, on bool) error {
	ctx, cancel := context.WithTimeout(ctx, userTimeout)
	defer cancel()
	seq, ok := runOnCore(d, ctx, func() uint64 { d.applyEffects(d.core.SetDrained(d.now(), on)); return d.core.lastBatchSeq })
	for ok {
		stored, again := runOnCore(d, ctx, func() uint64 { return d.core.storedSeq })
		if stored >= seq {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
		ok = again
	}
	return errors.New("the state service does not answer; it takes effect here and may last")
}
