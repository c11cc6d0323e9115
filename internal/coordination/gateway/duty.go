package gateway

import (
	"encoding/json"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// siteAgent is what a site's member does for its own site: it keeps the site's lease,
// has the jobs run that the site holds, has the others stopped, and proposes what
// became of them.
type siteAgent struct {
	core    *Core
	session uint32

	lastRenewal time.Duration // when the lease was last asked for
	nonce       uint64
	renewalSent map[uint64]time.Duration // when each renewal under way was sent
	grantVotes  map[uint64]uint32
	leaseExpiry time.Duration // of the lease

	assignments   map[string]*assignment
	revoked       map[string]uint32 // claims below are stored as dead at the site
	revokedOrder  []string
	minRevision   uint64
	drained       bool
	callsInFlight int
	lastScan      time.Duration
}

// assignment is one job that the site holds, or has to see stopped.
type assignment struct {
	epoch      uint32
	spec       []byte
	createdMS  uint64 // when it was accepted
	parsedSpec *protocol.JobSpec
	addedAt    time.Duration

	mustStop      bool   // nothing of it may run here
	revokeBelow   uint32 // claims below are to be dead
	voluntary     bool   // they are given up before anybody has the job instead
	handOver      bool   // hand it over: stop, prove it, release
	excludeSite   bool   // and never take it again
	submitted     bool   // the controllers have it
	callInFlight  bool
	nextCall      time.Duration
	lastCall      time.Duration
	everPlaced    bool // some task was placed
	lastProgress  progress
	changePending bool // a change of its record is under way
	failedCalls   int  // calls in a row that brought nothing
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
	Call     Call
	Code     uint8
	Done     uint32
	Running  uint32
	Revision uint64 // of the state service, with which a stop was stored
	Reason   string
}

// Times of the duty.
const (
	scanInterval     = 100 * time.Millisecond // new work is tended at once
	pollInterval     = time.Second
	callRetryBase    = time.Second
	maxCallsInFlight = 256
	maxRevoked       = 50000
)

func newSiteAgent(c *Core) *siteAgent {
	d := &siteAgent{core: c, session: c.incarnation, lastRenewal: c.now - time.Hour, renewalSent: map[uint64]time.Duration{}, grantVotes: map[uint64]uint32{},
		leaseExpiry: c.now - time.Hour, assignments: map[string]*assignment{}, revoked: map[string]uint32{}}
	return d
}

// tick asks for the lease and for what is due of the controllers.
func (d *siteAgent) tick() {
	c := d.core
	if c.now-d.lastRenewal >= c.cfg.LeaseTime/5 {
		d.renewLease()
	}
	if c.now-d.lastScan < scanInterval {
		return
	}
	d.lastScan = c.now
	for _, id := range sortedKeys(d.assignments) {
		if d.callsInFlight >= maxCallsInFlight {
			break
		}
		d.callControllers(id, d.assignments[id])
	}
}

func (d *siteAgent) renewLease() {
	c := d.core
	d.lastRenewal = c.now
	d.nonce++
	d.renewalSent[d.nonce] = c.now
	for m := range c.cfg.Members {
		c.send(m, wire.Item{Kind: wire.RenewLease, Ballot: wire.Ballot{Number: d.nonce, Proposer: d.session}})
	}
	for n, at := range d.renewalSent {
		if c.now-at > c.cfg.LeaseTime {
			delete(d.renewalSent, n)
			delete(d.grantVotes, n)
		}
	}
}

// leaseValid says whether the site may run gateway jobs.
func (d *siteAgent) leaseValid() bool {
	return d.core.now < d.leaseExpiry || d.core.cfg.Faults.IgnoreLease
}

// onLeaseItem handles what members that grant the lease say.
func (d *siteAgent) onLeaseItem(from int, it *wire.Item) {
	c := d.core
	switch it.Kind {
	case wire.LeaseGranted:
		sent, ok := d.renewalSent[it.Ballot.Number]
		if !ok || it.Ballot.Proposer != d.session {
			return
		}
		d.grantVotes[it.Ballot.Number] |= memberBit(from)
		if bitCount(d.grantVotes[it.Ballot.Number]) >= c.majority() {
			if d.leaseExpiry < c.now {
				c.log.Info("site has its lease", "jobs", len(d.assignments))
			}
			// It counts from when it was asked for, whenever the answers came.
			d.leaseExpiry = max(d.leaseExpiry, sent+c.cfg.LeaseTime)
		}
	case wire.Notice:
		d.onNotice(from, it)
	}
}

// onNotice learns what a member that grants the lease says of a job that concerns the site.
func (d *siteAgent) onNotice(from int, it *wire.Item) {
	c := d.core
	if it.Committed {
		d.applyRecord(it.ID, &it.Record)
		d.acknowledge(from, it.ID, &it.Record)
		return
	}
	if d.revoked[it.ID] >= it.Record.Epoch {
		d.acknowledge(from, it.ID, &it.Record)
		return
	}
	if rec := &it.Record; rec.PrevOwner == memberNumber(c.cfg.Self) && rec.Outcome == wire.Open && c.now >= d.leaseExpiry {
		// Some members have accepted that this site lost the job, others still grant
		// it time, and so neither the claim nor the lease finds a majority. Without a
		// lease the site runs nothing anyway: it gives the claim up by itself.
		if w := d.assignments[it.ID]; w == nil || !w.mustStop {
			d.assignments[it.ID] = &assignment{mustStop: true, voluntary: true, revokeBelow: rec.Epoch, epoch: rec.Epoch - 1, addedAt: c.now}
		}
		return
	}
	if len(c.rounds) < c.cfg.MaxInFlight {
		c.propose(it.ID, op{kind: opLearn}, backgroundTimeout, nil)
	}
}

// newAck says, as this start of the daemon, that claims below an epoch are dead here.
func (d *siteAgent) newAck(id string, epoch uint32) wire.Item {
	return wire.Item{Kind: wire.Ack, ID: id, Ballot: wire.Ballot{Proposer: d.session}, Record: wire.Record{Epoch: epoch}}
}

// acknowledge tells a member that grants the lease what the site knows: not only that it has been told, but
// that its controllers will not run the job any more.
func (d *siteAgent) acknowledge(to int, id string, rec *wire.Record) {
	concerns, blocks := noticeRequired(rec, d.core.cfg.Self)
	it := d.newAck(id, rec.Epoch)
	switch {
	case concerns && !blocks:
	case d.revoked[id] >= revokedBelow(rec):
		it.Record.Epoch, it.Durable, it.Code = revokedBelow(rec), true, ackRevoked
	case d.assignments[id] != nil && d.assignments[id].mustStop && d.assignments[id].revokeBelow >= revokedBelow(rec):
		it.Record.Epoch = revokedBelow(rec)
	default:
		return
	}
	d.core.send(to, it)
}

// applyRecord takes in a record that a majority has agreed on.
func (d *siteAgent) applyRecord(id string, rec *wire.Record) {
	c := d.core
	w := d.assignments[id]
	if rec.Outcome == wire.Open && rec.Owner == memberNumber(c.cfg.Self) {
		switch {
		case w != nil && (w.epoch > rec.Epoch || w.epoch == rec.Epoch && !w.mustStop || w.mustStop && w.revokeBelow > rec.Epoch):
			return
		case rec.Stopped:
			return
		case d.revoked[id] > rec.Epoch:
			// Given up here, and nobody has it instead: released in order.
			d.assignments[id] = &assignment{epoch: rec.Epoch, spec: rec.Spec, createdMS: rec.CreatedMS, addedAt: c.now, handOver: true}
			return
		}
		d.addAssignment(id, &assignment{epoch: rec.Epoch, spec: rec.Spec, createdMS: rec.CreatedMS, addedAt: c.now})
		for m := range c.cfg.Members {
			c.send(m, d.newAck(id, rec.Epoch))
		}
		return
	}
	below := revokedBelow(rec)
	concerns, blocks := noticeRequired(rec, c.cfg.Self)
	switch {
	case rec.Outcome != wire.Open && rec.FinishedBy == memberNumber(c.cfg.Self):
		delete(d.assignments, id)
	case w != nil && !w.mustStop && w.epoch >= below:
		// Older than what is known: somebody missed what came after.
	case w != nil && w.mustStop && w.revokeBelow >= below:
	case d.revoked[id] >= below:
		delete(d.assignments, id)
	case w != nil && (w.mustStop || w.epoch < below) || concerns && blocks:
		if w != nil && !w.mustStop {
			c.counts.Stale++
		}
		d.addAssignment(id, &assignment{mustStop: true, revokeBelow: below, epoch: below - 1, addedAt: c.now})
	}
}

// addAssignment takes up work, at once where there is room for another call.
func (d *siteAgent) addAssignment(id string, w *assignment) {
	d.assignments[id] = w
	if d.callsInFlight < maxCallsInFlight {
		d.callControllers(id, w)
	}
}

// callControllers asks the controllers for what a job needs next.
func (d *siteAgent) callControllers(id string, w *assignment) {
	c := d.core
	if w.callInFlight || c.now < w.nextCall || w.changePending {
		return
	}
	call := Call{Kind: wire.Poll, ID: id, Epoch: w.epoch}
	switch {
	case w.mustStop:
		call.Kind = wire.Stop
	case d.drained && !w.handOver:
		w.handOver = true
		call.Kind = wire.Stop
	case w.handOver:
		call.Kind = wire.Stop
	case !w.submitted:
		if !d.leaseValid() {
			return
		}
		call.Kind, call.Spec, call.CreatedMS = wire.Submit, w.spec, w.createdMS
	}
	w.callInFlight, w.lastCall = true, c.now
	d.callsInFlight++
	c.effects.Calls = append(c.effects.Calls, call)
}

// SiteResults takes in what the controllers answered.
func (c *Core) SiteResults(now time.Duration, rs []Result) Effects {
	return c.step(now, func() {
		for i := range rs {
			c.site.onResult(&rs[i])
		}
	})
}

func (d *siteAgent) onResult(r *Result) {
	c := d.core
	d.callsInFlight--
	id := r.Call.ID
	w := d.assignments[id]
	if r.Revision > d.minRevision {
		d.minRevision = r.Revision // what was stored with it must be known before more is run
	}
	if w == nil {
		return
	}
	w.callInFlight = false
	if r.Code == wire.Unavailable {
		w.failedCalls++
	} else {
		w.failedCalls = 0
	}
	w.nextCall = c.now + c.callRetryDelay(w.failedCalls, w.mustStop)
	if r.Call.Epoch != w.epoch {
		w.nextCall = c.now
		return // of an earlier claim
	}
	if r.Code == wire.Completed {
		d.proposeFinished(id, w, r)
		return
	}
	switch r.Call.Kind {
	case wire.Submit:
		switch r.Code {
		case wire.Active:
			w.submitted, w.nextCall = true, c.now+pollInterval/2
		case wire.Refused, wire.Conflict:
			c.log.Warn("site can't run a job that it was given", "job", id, "why", r.Reason)
			w.handOver, w.excludeSite, w.nextCall = true, true, c.now
		case wire.ClaimEnded:
			// Its claim was ended here, which only this daemon or an earlier one asks for.
			w.handOver, w.nextCall = true, c.now
		}
	case wire.Poll:
		switch r.Code {
		case wire.Active:
			d.reportProgress(id, w, r)
		case wire.NotFound:
			w.submitted, w.nextCall = false, c.now
		case wire.ClaimEnded:
			w.handOver, w.nextCall = true, c.now
		}
	case wire.Stop:
		d.onStopResult(id, w, r)
	}
}

// callRetryDelay is when a call that brought nothing is made again: later and later, not all
// at once, so that a site in trouble is asked less. What keeps the site from its
// lease is asked for again soon.
func (c *Core) callRetryDelay(tries int, urgent bool) time.Duration {
	wait := callRetryBase << min(max(tries-1, 0), 4)
	if urgent {
		wait = min(wait, 2*callRetryBase)
	}
	return wait*3/4 + time.Duration(c.rng.Int64N(int64(wait/2)))
}

// reportProgress tells the other members how far a job is, and lets go of it if it waits in
// vain here while there is room elsewhere.
func (d *siteAgent) reportProgress(id string, w *assignment, r *Result) {
	c := d.core
	w.nextCall = c.now + pollInterval + time.Duration(len(d.assignments))*time.Millisecond
	if p := (progress{r.Done, r.Running}); p != w.lastProgress {
		w.lastProgress = p
		c.progress[id] = p
		for m := range c.cfg.Members {
			if m != c.cfg.Self {
				c.send(m, wire.Item{Kind: wire.Progress, ID: id, Record: wire.Record{Tasks: r.Done}, Running: r.Running})
			}
		}
	}
	w.everPlaced = w.everPlaced || r.Running > 0 || r.Done > 0
	// With each claim it waits longer, so that it is not sent to and fro.
	if after := c.cfg.Route.MoveAfterS * float64(min(w.epoch, 20)); !w.everPlaced && after > 0 && (c.now-w.addedAt).Seconds() > after && d.otherSiteHasCapacity(w) {
		c.log.Info("job waits in vain and is handed over", "job", id, "waited_s", (c.now - w.addedAt).Seconds())
		w.handOver, w.nextCall = true, c.now
	}
}

// otherSiteHasCapacity says whether another site could start all of a job now.
func (d *siteAgent) otherSiteHasCapacity(w *assignment) bool {
	c := d.core
	if w.parsedSpec == nil {
		w.parsedSpec = &protocol.JobSpec{}
		if json.Unmarshal(w.spec, w.parsedSpec) != nil {
			return false
		}
	}
	for i := range c.cfg.Members {
		if i == c.cfg.Self || c.grants[i] == nil {
			continue
		}
		h := c.hints[i].hint
		if h != nil && !c.unreachable(i) && !h.Drained && h.Waiting == 0 && CanRun(w.parsedSpec, h) && h.FreeGPUs >= w.parsedSpec.GPUs*float64(minTasksToStart(w.parsedSpec)) {
			return true
		}
	}
	return false
}

// onStopResult learns how far a stop is.
func (d *siteAgent) onStopResult(id string, w *assignment, r *Result) {
	c := d.core
	switch {
	case r.Code != wire.ClaimEnded && r.Code != wire.Active && r.Code != wire.Conflict:
		return // ask again
	case w.mustStop && w.voluntary && r.Code == wire.Active:
		w.nextCall = c.now + pollInterval/2 // its tasks are still leaving
	case w.mustStop && w.voluntary:
		d.recordRevoked(id, w.revokeBelow)
		for m := range c.cfg.Members {
			c.send(m, wire.Item{Kind: wire.Ack, ID: id, Durable: true, Code: ackRevoked, Record: wire.Record{Epoch: w.revokeBelow}})
		}
		// Perhaps the other claim never finds a majority: then this one is released.
		w.changePending = true
		c.propose(id, op{kind: opLearn}, backgroundTimeout, func(rec wire.Record, exists bool, o opResult) {
			w.changePending = false
			if o == resultUnknown || d.assignments[id] != w {
				return
			}
			delete(d.assignments, id)
			d.applyRecord(id, &rec)
		})
	case w.mustStop:
		// Stored: the controllers start nothing of it, whoever runs them.
		d.recordRevoked(id, w.revokeBelow)
		delete(d.assignments, id)
		if reg := c.registers[id]; reg != nil && reg.hasRecord {
			rec := reg.record
			for m := range c.cfg.Members {
				d.acknowledge(m, id, &rec)
			}
		}
	case r.Code == wire.ClaimEnded || r.Code == wire.Conflict:
		w.changePending = true
		c.propose(id, op{kind: opRelease, site: c.cfg.Self, epoch: w.epoch, excludeSite: w.excludeSite}, backgroundTimeout, func(rec wire.Record, exists bool, o opResult) {
			w.changePending = false
			if o == resultUnknown || d.assignments[id] != w {
				return
			}
			delete(d.assignments, id)
			d.recordRevoked(id, w.epoch+1)
			if reg := c.registers[id]; reg != nil && rec.Outcome == wire.Open && rec.Stopped {
				r := register{record: rec}
				c.proposeReclaim(id, &r)
			}
		})
	default:
		w.nextCall = c.now + pollInterval/2 // its tasks are still leaving
	}
}

// recordRevoked remembers that claims below an epoch are dead at the site.
func (d *siteAgent) recordRevoked(id string, below uint32) {
	if _, ok := d.revoked[id]; !ok {
		d.revokedOrder = append(d.revokedOrder, id)
		if len(d.revokedOrder) > maxRevoked {
			delete(d.revoked, d.revokedOrder[0])
			d.revokedOrder = d.revokedOrder[1:]
		}
	}
	d.revoked[id] = max(d.revoked[id], below)
}

// proposeFinished offers what the site has completed: it counts unless something else does.
func (d *siteAgent) proposeFinished(id string, w *assignment, r *Result) {
	c := d.core
	w.changePending = true
	c.propose(id, op{kind: opFinish, site: c.cfg.Self, tasks: r.Done}, backgroundTimeout, func(rec wire.Record, exists bool, o opResult) {
		w.changePending = false
		if o == resultUnknown || d.assignments[id] != w {
			return
		}
		if o == resultChanged {
			c.counts.Finished++
		}
		delete(d.assignments, id)
		d.recordRevoked(id, ^uint32(0))
		for m := range c.cfg.Members {
			d.acknowledge(m, id, &rec)
		}
	})
}

// SiteLease is what the site's controllers are told: how long from now on they may run
// gateway jobs, which of them not, and how much of the state service they must
// have seen.
func (c *Core) SiteLease(now, most time.Duration) wire.Lease {
	c.now = max(c.now, now)
	d := c.site
	l := wire.Lease{MinRevision: d.minRevision}
	for id, w := range d.assignments {
		if w.mustStop {
			l.LostJobs = append(l.LostJobs, id)
		}
	}
	if len(l.LostJobs) > wire.MaxLostJobs {
		return wire.Lease{MinRevision: d.minRevision} // too much to tell: nothing may run until it is stored
	}
	left := d.leaseExpiry - c.now
	if c.cfg.Faults.IgnoreLease {
		left = most
	}
	if left > 0 {
		l.RemainingMS = uint32(min(left, most).Milliseconds())
	}
	return l
}

// SetDrained drains the site or takes it back into service. It lasts once the batch
// is durable.
func (c *Core) SetDrained(now time.Duration, on bool) Effects {
	return c.step(now, func() { c.site.setDrained(on) })
}

func (d *siteAgent) setDrained(on bool) {
	c := d.core
	if d.drained == on {
		return
	}
	d.drained = on
	c.siteStateDirty = true
	if h := c.hints[c.cfg.Self].hint; h != nil {
		h.Drained = on
	}
	if !on {
		for _, w := range d.assignments {
			if w.handOver && !w.excludeSite && !w.callInFlight && !w.changePending && w.lastCall == 0 {
				w.handOver = false // not asked to stop yet
			}
		}
	}
	c.log.Info("site drained", "on", on, "jobs", len(d.assignments))
}

// SetHint takes in what the site's controllers say of themselves.
func (c *Core) SetHint(now time.Duration, h *wire.Hint) {
	h.Drained = c.site.drained
	c.hints[c.cfg.Self] = receivedHint{max(c.now, now), h}
}
