package gateway

import (
	"encoding/json"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// duty is what a site's member does for its own site: it keeps the site's lease,
// has the jobs run that the site holds, has the others stopped, and proposes what
// became of them.
type duty struct {
	c       *Core
	session uint32

	renewed time.Duration // when the lease was last asked for
	nonce   uint64
	asked   map[uint64]time.Duration // when each renewal under way was sent
	grants  map[uint64]uint32
	until   time.Duration // of the lease

	work    map[string]*work
	dead    map[string]uint32 // claims below are stored as dead at the site
	deadQ   []string
	floor   uint64
	drained bool
	calls   int
	tended  time.Duration
}

// work is one job that the site holds, or has to see stopped.
type work struct {
	epoch uint32
	spec  []byte
	made  uint64 // when it was accepted
	need  *protocol.JobSpec
	since time.Duration

	stop    bool   // nothing of it may run here
	below   uint32 // claims below are to be dead
	yield   bool   // they are given up before anybody has the job instead
	leave   bool   // hand it over: stop, prove it, release
	bar     bool   // and never take it again
	sub     bool   // the controllers have it
	calling bool
	next    time.Duration
	asked   time.Duration
	began   bool // some task was placed
	told    progress
	ending  bool // a change of its record is under way
	tries   int  // calls in a row that brought nothing
}

// Call is something asked of the site's controllers, and its result.
type Call struct {
	Kind  wire.Kind // Submit, Stop or Poll
	ID    string
	Epoch uint32
	Spec  []byte
	// CreatedMS is when the job was accepted, by the time of day.
	CreatedMS uint64
}

// Result is a call's end. Code Busy: nothing is known to have happened.
type Result struct {
	Call    Call
	Code    uint8
	Done    uint32
	Running uint32
	Rev     uint64 // of the state service, with which a stop was stored
	Why     string
}

// Times of the duty.
const (
	tendEvery = 100 * time.Millisecond // new work is tended at once
	pollEvery = time.Second
	callAgain = time.Second
	mostCalls = 256
	mostDead  = 50000
)

func newDuty(c *Core) *duty {
	d := &duty{c: c, session: c.inc, renewed: c.now - time.Hour, asked: map[uint64]time.Duration{}, grants: map[uint64]uint32{},
		until: c.now - time.Hour, work: map[string]*work{}, dead: map[string]uint32{}}
	return d
}

// tick asks for the lease and for what is due of the controllers.
func (d *duty) tick() {
	c := d.c
	if c.now-d.renewed >= c.cfg.Lease/5 {
		d.renew()
	}
	if c.now-d.tended < tendEvery {
		return
	}
	d.tended = c.now
	for _, id := range sortedKeys(d.work) {
		if d.calls >= mostCalls {
			break
		}
		d.tend(id, d.work[id])
	}
}

func (d *duty) renew() {
	c := d.c
	d.renewed = c.now
	d.nonce++
	d.asked[d.nonce] = c.now
	for m := range c.cfg.Members {
		c.post(m, wire.Item{Kind: wire.Renew, Ballot: wire.Ballot{N: d.nonce, Who: d.session}})
	}
	for n, at := range d.asked {
		if c.now-at > c.cfg.Lease {
			delete(d.asked, n)
			delete(d.grants, n)
		}
	}
}

// valid says whether the site may run gateway jobs.
func (d *duty) valid() bool { return d.c.now < d.until || d.c.cfg.Faults.IgnoreLease }

// take handles what members that grant the lease say.
func (d *duty) take(from int, it *wire.Item) {
	c := d.c
	switch it.Kind {
	case wire.Grant:
		sent, ok := d.asked[it.Ballot.N]
		if !ok || it.Ballot.Who != d.session {
			return
		}
		d.grants[it.Ballot.N] |= bit(from)
		if ones(d.grants[it.Ballot.N]) >= c.majority() {
			if d.until < c.now {
				c.log.Info("site has its lease", "jobs", len(d.work))
			}
			// It counts from when it was asked for, whenever the answers came.
			d.until = max(d.until, sent+c.cfg.Lease)
		}
	case wire.Notice:
		d.notice(from, it)
	}
}

// notice learns what a member that grants the lease says of a job that concerns the site.
func (d *duty) notice(from int, it *wire.Item) {
	c := d.c
	if it.Committed {
		d.learn(it.ID, &it.Record)
		d.confirm(from, it.ID, &it.Record)
		return
	}
	if d.dead[it.ID] >= it.Record.Epoch {
		d.confirm(from, it.ID, &it.Record)
		return
	}
	if rec := &it.Record; rec.Prev == num(c.cfg.Self) && rec.Final == wire.Open && c.now >= d.until {
		// Some members have accepted that this site lost the job, others still grant
		// it time, and so neither the claim nor the lease finds a majority. Without a
		// lease the site runs nothing anyway: it gives the claim up by itself.
		if w := d.work[it.ID]; w == nil || !w.stop {
			d.work[it.ID] = &work{stop: true, yield: true, below: rec.Epoch, epoch: rec.Epoch - 1, since: c.now}
		}
		return
	}
	if len(c.rounds) < c.cfg.InFlight {
		c.propose(it.ID, op{kind: opLearn}, dutyPatience, nil)
	}
}

// ack says, as this start of the daemon, that claims below an epoch are dead here.
func (d *duty) ack(id string, epoch uint32) wire.Item {
	return wire.Item{Kind: wire.Ack, ID: id, Ballot: wire.Ballot{Who: d.session}, Record: wire.Record{Epoch: epoch}}
}

// confirm tells a member that grants the lease what the site knows: not only that it has been told, but
// that its controllers will not run the job any more.
func (d *duty) confirm(to int, id string, rec *wire.Record) {
	concerns, blocks := concerned(rec, d.c.cfg.Self)
	it := d.ack(id, rec.Epoch)
	switch {
	case concerns && !blocks:
	case d.dead[id] >= deadBelow(rec):
		it.Record.Epoch, it.Durable, it.Why = deadBelow(rec), true, ackDead
	case d.work[id] != nil && d.work[id].stop && d.work[id].below >= deadBelow(rec):
		it.Record.Epoch = deadBelow(rec)
	default:
		return
	}
	d.c.post(to, it)
}

// learn takes in a record that a majority has agreed on.
func (d *duty) learn(id string, rec *wire.Record) {
	c := d.c
	w := d.work[id]
	if rec.Final == wire.Open && rec.Holder == num(c.cfg.Self) {
		switch {
		case w != nil && (w.epoch > rec.Epoch || w.epoch == rec.Epoch && !w.stop || w.stop && w.below > rec.Epoch):
			return
		case rec.Stopped:
			return
		case d.dead[id] > rec.Epoch:
			// Given up here, and nobody has it instead: released in order.
			d.work[id] = &work{epoch: rec.Epoch, spec: rec.Spec, made: rec.CreatedMS, since: c.now, leave: true}
			return
		}
		d.begin(id, &work{epoch: rec.Epoch, spec: rec.Spec, made: rec.CreatedMS, since: c.now})
		for m := range c.cfg.Members {
			c.post(m, d.ack(id, rec.Epoch))
		}
		return
	}
	below := deadBelow(rec)
	concerns, blocks := concerned(rec, c.cfg.Self)
	switch {
	case rec.Final != wire.Open && rec.By == num(c.cfg.Self):
		delete(d.work, id)
	case w != nil && !w.stop && w.epoch >= below:
		// Older than what is known: somebody missed what came after.
	case w != nil && w.stop && w.below >= below:
	case d.dead[id] >= below:
		delete(d.work, id)
	case w != nil && (w.stop || w.epoch < below) || concerns && blocks:
		if w != nil && !w.stop {
			c.counts.Stale++
		}
		d.begin(id, &work{stop: true, below: below, epoch: below - 1, since: c.now})
	}
}

// begin takes up work, at once where there is room for another call.
func (d *duty) begin(id string, w *work) {
	d.work[id] = w
	if d.calls < mostCalls {
		d.tend(id, w)
	}
}

// tend asks the controllers for what a job needs next.
func (d *duty) tend(id string, w *work) {
	c := d.c
	if w.calling || c.now < w.next || w.ending {
		return
	}
	call := Call{Kind: wire.Poll, ID: id, Epoch: w.epoch}
	switch {
	case w.stop:
		call.Kind = wire.Stop
	case d.drained && !w.leave:
		w.leave = true
		call.Kind = wire.Stop
	case w.leave:
		call.Kind = wire.Stop
	case !w.sub:
		if !d.valid() {
			return
		}
		call.Kind, call.Spec, call.CreatedMS = wire.Submit, w.spec, w.made
	}
	w.calling, w.asked = true, c.now
	d.calls++
	c.out.Calls = append(c.out.Calls, call)
}

// SiteDone takes in what the controllers answered.
func (c *Core) SiteDone(now time.Duration, rs []Result) Effects {
	return c.step(now, func() {
		for i := range rs {
			c.site.done(&rs[i])
		}
	})
}

func (d *duty) done(r *Result) {
	c := d.c
	d.calls--
	id := r.Call.ID
	w := d.work[id]
	if r.Rev > d.floor {
		d.floor = r.Rev // what was stored with it must be known before more is run
	}
	if w == nil {
		return
	}
	w.calling = false
	if r.Code == wire.Busy {
		w.tries++
	} else {
		w.tries = 0
	}
	w.next = c.now + c.again(w.tries, w.stop)
	if r.Call.Epoch != w.epoch {
		w.next = c.now
		return // of an earlier claim
	}
	if r.Code == wire.Ended {
		d.ended(id, w, r)
		return
	}
	switch r.Call.Kind {
	case wire.Submit:
		switch r.Code {
		case wire.Held:
			w.sub, w.next = true, c.now+pollEvery/2
		case wire.Refused, wire.Conflict:
			c.log.Warn("site can't run a job that it was given", "job", id, "why", r.Why)
			w.leave, w.bar, w.next = true, true, c.now
		case wire.Over:
			// Its claim was ended here, which only this daemon or an earlier one asks for.
			w.leave, w.next = true, c.now
		}
	case wire.Poll:
		switch r.Code {
		case wire.Held:
			d.show(id, w, r)
		case wire.Missing:
			w.sub, w.next = false, c.now
		case wire.Over:
			w.leave, w.next = true, c.now
		}
	case wire.Stop:
		d.stopped(id, w, r)
	}
}

// again is when a call that brought nothing is made again: later and later, not all
// at once, so that a site in trouble is asked less. What keeps the site from its
// lease is asked for again soon.
func (c *Core) again(tries int, urgent bool) time.Duration {
	wait := callAgain << min(max(tries-1, 0), 4)
	if urgent {
		wait = min(wait, 2*callAgain)
	}
	return wait*3/4 + time.Duration(c.rng.Int64N(int64(wait/2)))
}

// show tells the other members how far a job is, and lets go of it if it waits in
// vain here while there is room elsewhere.
func (d *duty) show(id string, w *work, r *Result) {
	c := d.c
	w.next = c.now + pollEvery + time.Duration(len(d.work))*time.Millisecond
	if p := (progress{r.Done, r.Running}); p != w.told {
		w.told = p
		c.progress[id] = p
		for m := range c.cfg.Members {
			if m != c.cfg.Self {
				c.post(m, wire.Item{Kind: wire.Progress, ID: id, Record: wire.Record{Tasks: r.Done}, Running: r.Running})
			}
		}
	}
	w.began = w.began || r.Running > 0 || r.Done > 0
	// With each claim it waits longer, so that it is not sent to and fro.
	if after := c.cfg.Route.MoveAfterS * float64(min(w.epoch, 20)); !w.began && after > 0 && (c.now-w.since).Seconds() > after && d.roomElsewhere(w) {
		c.log.Info("job waits in vain and is handed over", "job", id, "waited_s", (c.now - w.since).Seconds())
		w.leave, w.next = true, c.now
	}
}

// roomElsewhere says whether another site could start all of a job now.
func (d *duty) roomElsewhere(w *work) bool {
	c := d.c
	if w.need == nil {
		w.need = &protocol.JobSpec{}
		if json.Unmarshal(w.spec, w.need) != nil {
			return false
		}
	}
	for i := range c.cfg.Members {
		if i == c.cfg.Self || c.grants[i] == nil {
			continue
		}
		h := c.hints[i].hint
		if h != nil && !c.away(i) && !h.Drained && h.Waiting == 0 && CanRun(w.need, h) && h.FreeGPUs >= w.need.GPUs*float64(atOnce(w.need)) {
			return true
		}
	}
	return false
}

// stopped learns how far a stop is.
func (d *duty) stopped(id string, w *work, r *Result) {
	c := d.c
	switch {
	case r.Code != wire.Over && r.Code != wire.Held && r.Code != wire.Conflict:
		return // ask again
	case w.stop && w.yield && r.Code == wire.Held:
		w.next = c.now + pollEvery/2 // its tasks are still leaving
	case w.stop && w.yield:
		d.bury(id, w.below)
		for m := range c.cfg.Members {
			c.post(m, wire.Item{Kind: wire.Ack, ID: id, Durable: true, Why: ackDead, Record: wire.Record{Epoch: w.below}})
		}
		// Perhaps the other claim never finds a majority: then this one is released.
		w.ending = true
		c.propose(id, op{kind: opLearn}, dutyPatience, func(rec wire.Record, exists bool, o outcome) {
			w.ending = false
			if o == unknown || d.work[id] != w {
				return
			}
			delete(d.work, id)
			d.learn(id, &rec)
		})
	case w.stop:
		// Stored: the controllers start nothing of it, whoever runs them.
		d.bury(id, w.below)
		delete(d.work, id)
		if reg := c.regs[id]; reg != nil && reg.exists {
			rec := reg.rec
			for m := range c.cfg.Members {
				d.confirm(m, id, &rec)
			}
		}
	case r.Code == wire.Over || r.Code == wire.Conflict:
		w.ending = true
		c.propose(id, op{kind: opRelease, site: c.cfg.Self, epoch: w.epoch, bar: w.bar}, dutyPatience, func(rec wire.Record, exists bool, o outcome) {
			w.ending = false
			if o == unknown || d.work[id] != w {
				return
			}
			delete(d.work, id)
			d.bury(id, w.epoch+1)
			if reg := c.regs[id]; reg != nil && rec.Final == wire.Open && rec.Stopped {
				r := register{rec: rec}
				c.reclaim(id, &r)
			}
		})
	default:
		w.next = c.now + pollEvery/2 // its tasks are still leaving
	}
}

// bury remembers that claims below an epoch are dead at the site.
func (d *duty) bury(id string, below uint32) {
	if _, ok := d.dead[id]; !ok {
		d.deadQ = append(d.deadQ, id)
		if len(d.deadQ) > mostDead {
			delete(d.dead, d.deadQ[0])
			d.deadQ = d.deadQ[1:]
		}
	}
	d.dead[id] = max(d.dead[id], below)
}

// ended offers what the site has completed: it counts unless something else does.
func (d *duty) ended(id string, w *work, r *Result) {
	c := d.c
	w.ending = true
	c.propose(id, op{kind: opFinish, site: c.cfg.Self, tasks: r.Done}, dutyPatience, func(rec wire.Record, exists bool, o outcome) {
		w.ending = false
		if o == unknown || d.work[id] != w {
			return
		}
		if o == changed {
			c.counts.Finished++
		}
		delete(d.work, id)
		d.bury(id, ^uint32(0))
		for m := range c.cfg.Members {
			d.confirm(m, id, &rec)
		}
	})
}

// Lease is what the site's controllers are told: how long from now on they may run
// gateway jobs, which of them not, and how much of the state service they must
// have seen.
func (c *Core) Lease(now, most time.Duration) wire.Lease {
	c.now = max(c.now, now)
	d := c.site
	l := wire.Lease{Floor: d.floor}
	for id, w := range d.work {
		if w.stop {
			l.Dead = append(l.Dead, id)
		}
	}
	if len(l.Dead) > wire.MaxDead {
		return wire.Lease{Floor: d.floor} // too much to tell: nothing may run until it is stored
	}
	left := d.until - c.now
	if c.cfg.Faults.IgnoreLease {
		left = most
	}
	if left > 0 {
		l.LeftMS = uint32(min(left, most).Milliseconds())
	}
	return l
}

// SetDrained drains the site or takes it back into service. It lasts once the batch
// is durable.
func (c *Core) SetDrained(now time.Duration, on bool) Effects {
	return c.step(now, func() { c.site.drain(on) })
}

func (d *duty) drain(on bool) {
	c := d.c
	if d.drained == on {
		return
	}
	d.drained = on
	c.siteDirty = true
	if h := c.hints[c.cfg.Self].hint; h != nil {
		h.Drained = on
	}
	if !on {
		for _, w := range d.work {
			if w.leave && !w.bar && !w.calling && !w.ending && w.asked == 0 {
				w.leave = false // not asked to stop yet
			}
		}
	}
	c.log.Info("site drained", "on", on, "jobs", len(d.work))
}

// SetHint takes in what the site's controllers say of themselves.
func (c *Core) SetHint(now time.Duration, h *wire.Hint) {
	h.Drained = c.site.drained
	c.hints[c.cfg.Self] = hintAt{max(c.now, now), h}
}
