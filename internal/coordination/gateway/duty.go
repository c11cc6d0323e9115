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

func newSiteAgent(core *Core) *siteAgent {
	s := &siteAgent{core: core, session: core.incarnation, lastRenewal: core.now - time.Hour, renewalSent: map[uint64]time.Duration{}, grantVotes: map[uint64]uint32{},
		leaseExpiry: core.now - time.Hour, assignments: map[string]*assignment{}, revoked: map[string]uint32{}}
	return s
}

// tick asks for the lease and for what is due of the controllers.
func (s *siteAgent) tick() {
	core := s.core
	if core.now-s.lastRenewal >= core.cfg.LeaseTime/5 {
		s.renewLease()
	}
	if core.now-s.lastScan < scanInterval {
		return
	}
	s.lastScan = core.now
	for _, id := range sortedKeys(s.assignments) {
		if s.callsInFlight >= maxCallsInFlight {
			break
		}
		s.callControllers(id, s.assignments[id])
	}
}

func (s *siteAgent) renewLease() {
	core := s.core
	s.lastRenewal = core.now
	s.nonce++
	s.renewalSent[s.nonce] = core.now
	for m := range core.cfg.Members {
		core.send(m, wire.Item{Kind: wire.RenewLease, Ballot: wire.Ballot{Number: s.nonce, Proposer: s.session}})
	}
	for nonce, sentAt := range s.renewalSent {
		if core.now-sentAt > core.cfg.LeaseTime {
			delete(s.renewalSent, nonce)
			delete(s.grantVotes, nonce)
		}
	}
}

// leaseValid says whether the site may run gateway jobs.
func (s *siteAgent) leaseValid() bool {
	return s.core.now < s.leaseExpiry || s.core.cfg.Faults.IgnoreLease
}

// onLeaseItem handles what members that grant the lease say.
func (s *siteAgent) onLeaseItem(from int, it *wire.Item) {
	core := s.core
	switch it.Kind {
	case wire.LeaseGranted:
		sent, ok := s.renewalSent[it.Ballot.Number]
		if !ok || it.Ballot.Proposer != s.session {
			return
		}
		s.grantVotes[it.Ballot.Number] |= memberBit(from)
		if bitCount(s.grantVotes[it.Ballot.Number]) >= core.majority() {
			if s.leaseExpiry < core.now {
				core.log.Info("site has its lease", "jobs", len(s.assignments))
			}
			// It counts from when it was asked for, whenever the answers came.
			s.leaseExpiry = max(s.leaseExpiry, sent+core.cfg.LeaseTime)
		}
	case wire.Notice:
		s.onNotice(from, it)
	}
}

// onNotice learns what a member that grants the lease says of a job that concerns the site.
func (s *siteAgent) onNotice(from int, it *wire.Item) {
	core := s.core
	if it.Committed {
		s.applyRecord(it.ID, &it.Record)
		s.acknowledge(from, it.ID, &it.Record)
		return
	}
	if s.revoked[it.ID] >= it.Record.Epoch {
		s.acknowledge(from, it.ID, &it.Record)
		return
	}
	if rec := &it.Record; rec.PrevOwner == memberNumber(core.cfg.Self) && rec.Outcome == wire.Open && core.now >= s.leaseExpiry {
		// Some members have accepted that this site lost the job, others still grant
		// it time, and so neither the claim nor the lease finds a majority. Without a
		// lease the site runs nothing anyway: it gives the claim up by itself.
		if a := s.assignments[it.ID]; a == nil || !a.mustStop {
			s.assignments[it.ID] = &assignment{mustStop: true, voluntary: true, revokeBelow: rec.Epoch, epoch: rec.Epoch - 1, addedAt: core.now}
		}
		return
	}
	if len(core.rounds) < core.cfg.MaxInFlight {
		core.propose(it.ID, op{kind: opLearn}, backgroundTimeout, nil)
	}
}

// newAck says, as this start of the daemon, that claims below an epoch are dead here.
func (s *siteAgent) newAck(id string, epoch uint32) wire.Item {
	return wire.Item{Kind: wire.Ack, ID: id, Ballot: wire.Ballot{Proposer: s.session}, Record: wire.Record{Epoch: epoch}}
}

// acknowledge tells a member that grants the lease what the site knows: not only that it has been told, but
// that its controllers will not run the job any more.
func (s *siteAgent) acknowledge(to int, id string, rec *wire.Record) {
	concerns, blocks := noticeRequired(rec, s.core.cfg.Self)
	it := s.newAck(id, rec.Epoch)
	switch {
	case concerns && !blocks:
	case s.revoked[id] >= revokedBelow(rec):
		it.Record.Epoch, it.Durable, it.Code = revokedBelow(rec), true, ackRevoked
	case s.assignments[id] != nil && s.assignments[id].mustStop && s.assignments[id].revokeBelow >= revokedBelow(rec):
		it.Record.Epoch = revokedBelow(rec)
	default:
		return
	}
	s.core.send(to, it)
}

// applyRecord takes in a record that a majority has agreed on.
func (s *siteAgent) applyRecord(id string, rec *wire.Record) {
	core := s.core
	a := s.assignments[id]
	if rec.Outcome == wire.Open && rec.Owner == memberNumber(core.cfg.Self) {
		switch {
		case a != nil && (a.epoch > rec.Epoch || a.epoch == rec.Epoch && !a.mustStop || a.mustStop && a.revokeBelow > rec.Epoch):
			return
		case rec.Stopped:
			return
		case s.revoked[id] > rec.Epoch:
			// Given up here, and nobody has it instead: released in order.
			s.assignments[id] = &assignment{epoch: rec.Epoch, spec: rec.Spec, createdMS: rec.CreatedMS, addedAt: core.now, handOver: true}
			return
		}
		s.addAssignment(id, &assignment{epoch: rec.Epoch, spec: rec.Spec, createdMS: rec.CreatedMS, addedAt: core.now})
		for m := range core.cfg.Members {
			core.send(m, s.newAck(id, rec.Epoch))
		}
		return
	}
	revokedEpoch := revokedBelow(rec)
	concerns, blocks := noticeRequired(rec, core.cfg.Self)
	switch {
	case rec.Outcome != wire.Open && rec.FinishedBy == memberNumber(core.cfg.Self):
		delete(s.assignments, id)
	case a != nil && !a.mustStop && a.epoch >= revokedEpoch:
		// Older than what is known: somebody missed what came after.
	case a != nil && a.mustStop && a.revokeBelow >= revokedEpoch:
	case s.revoked[id] >= revokedEpoch:
		delete(s.assignments, id)
	case a != nil && (a.mustStop || a.epoch < revokedEpoch) || concerns && blocks:
		if a != nil && !a.mustStop {
			core.counts.Stale++
		}
		s.addAssignment(id, &assignment{mustStop: true, revokeBelow: revokedEpoch, epoch: revokedEpoch - 1, addedAt: core.now})
	}
}

// addAssignment takes up work, at once where there is room for another call.
func (s *siteAgent) addAssignment(id string, a *assignment) {
	s.assignments[id] = a
	if s.callsInFlight < maxCallsInFlight {
		s.callControllers(id, a)
	}
}

// callControllers asks the controllers for what a job needs next.
func (s *siteAgent) callControllers(id string, a *assignment) {
	core := s.core
	if a.callInFlight || core.now < a.nextCall || a.changePending {
		return
	}
	call := Call{Kind: wire.Poll, ID: id, Epoch: a.epoch}
	switch {
	case a.mustStop:
		call.Kind = wire.Stop
	case s.drained && !a.handOver:
		a.handOver = true
		call.Kind = wire.Stop
	case a.handOver:
		call.Kind = wire.Stop
	case !a.submitted:
		if !s.leaseValid() {
			return
		}
		call.Kind, call.Spec, call.CreatedMS = wire.Submit, a.spec, a.createdMS
	}
	a.callInFlight, a.lastCall = true, core.now
	s.callsInFlight++
	core.effects.Calls = append(core.effects.Calls, call)
}

// SiteResults takes in what the controllers answered.
func (c *Core) SiteResults(now time.Duration, results []Result) Effects {
	return c.step(now, func() {
		for i := range results {
			c.site.onResult(&results[i])
		}
	})
}

func (s *siteAgent) onResult(r *Result) {
	core := s.core
	s.callsInFlight--
	id := r.Call.ID
	a := s.assignments[id]
	if r.Revision > s.minRevision {
		s.minRevision = r.Revision // what was stored with it must be known before more is run
	}
	if a == nil {
		return
	}
	a.callInFlight = false
	if r.Code == wire.Unavailable {
		a.failedCalls++
	} else {
		a.failedCalls = 0
	}
	a.nextCall = core.now + core.callRetryDelay(a.failedCalls, a.mustStop)
	if r.Call.Epoch != a.epoch {
		a.nextCall = core.now
		return // of an earlier claim
	}
	if r.Code == wire.Completed {
		s.proposeFinished(id, a, r)
		return
	}
	switch r.Call.Kind {
	case wire.Submit:
		switch r.Code {
		case wire.Active:
			a.submitted, a.nextCall = true, core.now+pollInterval/2
		case wire.Refused, wire.Conflict:
			core.log.Warn("site can't run a job that it was given", "job", id, "why", r.Reason)
			a.handOver, a.excludeSite, a.nextCall = true, true, core.now
		case wire.ClaimEnded:
			// Its claim was ended here, which only this daemon or an earlier one asks for.
			a.handOver, a.nextCall = true, core.now
		}
	case wire.Poll:
		switch r.Code {
		case wire.Active:
			s.reportProgress(id, a, r)
		case wire.NotFound:
			a.submitted, a.nextCall = false, core.now
		case wire.ClaimEnded:
			a.handOver, a.nextCall = true, core.now
		}
	case wire.Stop:
		s.onStopResult(id, a, r)
	}
}

// callRetryDelay is when a call that brought nothing is made again: later and later, not all
// at once, so that a site in trouble is asked less. What keeps the site from its
// lease is asked for again soon.
func (c *Core) callRetryDelay(failedCalls int, urgent bool) time.Duration {
	wait := callRetryBase << min(max(failedCalls-1, 0), 4)
	if urgent {
		wait = min(wait, 2*callRetryBase)
	}
	return wait*3/4 + time.Duration(c.rng.Int64N(int64(wait/2)))
}

// reportProgress tells the other members how far a job is, and lets go of it if it waits in
// vain here while there is room elsewhere.
func (s *siteAgent) reportProgress(id string, a *assignment, r *Result) {
	core := s.core
	a.nextCall = core.now + pollInterval + time.Duration(len(s.assignments))*time.Millisecond
	if current := (progress{r.Done, r.Running}); current != a.lastProgress {
		a.lastProgress = current
		core.progress[id] = current
		for m := range core.cfg.Members {
			if m != core.cfg.Self {
				core.send(m, wire.Item{Kind: wire.Progress, ID: id, Record: wire.Record{Tasks: r.Done}, Running: r.Running})
			}
		}
	}
	a.everPlaced = a.everPlaced || r.Running > 0 || r.Done > 0
	// With each claim it waits longer, so that it is not sent to and fro.
	if waitLimit := core.cfg.Route.MoveAfterS * float64(min(a.epoch, 20)); !a.everPlaced && waitLimit > 0 && (core.now-a.addedAt).Seconds() > waitLimit && s.otherSiteHasCapacity(a) {
		core.log.Info("job waits in vain and is handed over", "job", id, "waited_s", (core.now - a.addedAt).Seconds())
		a.handOver, a.nextCall = true, core.now
	}
}

// otherSiteHasCapacity says whether another site could start all of a job now.
func (s *siteAgent) otherSiteHasCapacity(a *assignment) bool {
	core := s.core
	if a.parsedSpec == nil {
		a.parsedSpec = &protocol.JobSpec{}
		if json.Unmarshal(a.spec, a.parsedSpec) != nil {
			return false
		}
	}
	for i := range core.cfg.Members {
		if i == core.cfg.Self || core.grants[i] == nil {
			continue
		}
		hint := core.hints[i].hint
		if hint != nil && !core.unreachable(i) && !hint.Drained && hint.Waiting == 0 && CanRun(a.parsedSpec, hint) && hint.FreeGPUs >= a.parsedSpec.GPUs*float64(minTasksToStart(a.parsedSpec)) {
			return true
		}
	}
	return false
}

// onStopResult learns how far a stop is.
func (s *siteAgent) onStopResult(id string, a *assignment, r *Result) {
	core := s.core
	switch {
	case r.Code != wire.ClaimEnded && r.Code != wire.Active && r.Code != wire.Conflict:
		return // ask again
	case a.mustStop && a.voluntary && r.Code == wire.Active:
		a.nextCall = core.now + pollInterval/2 // its tasks are still leaving
	case a.mustStop && a.voluntary:
		s.recordRevoked(id, a.revokeBelow)
		for m := range core.cfg.Members {
			core.send(m, wire.Item{Kind: wire.Ack, ID: id, Durable: true, Code: ackRevoked, Record: wire.Record{Epoch: a.revokeBelow}})
		}
		// Perhaps the other claim never finds a majority: then this one is released.
		a.changePending = true
		core.propose(id, op{kind: opLearn}, backgroundTimeout, func(rec wire.Record, exists bool, result opResult) {
			a.changePending = false
			if result == resultUnknown || s.assignments[id] != a {
				return
			}
			delete(s.assignments, id)
			s.applyRecord(id, &rec)
		})
	case a.mustStop:
		// Stored: the controllers start nothing of it, whoever runs them.
		s.recordRevoked(id, a.revokeBelow)
		delete(s.assignments, id)
		if acceptor := core.registers[id]; acceptor != nil && acceptor.hasRecord {
			rec := acceptor.record
			for m := range core.cfg.Members {
				s.acknowledge(m, id, &rec)
			}
		}
	case r.Code == wire.ClaimEnded || r.Code == wire.Conflict:
		a.changePending = true
		core.propose(id, op{kind: opRelease, site: core.cfg.Self, epoch: a.epoch, excludeSite: a.excludeSite}, backgroundTimeout, func(rec wire.Record, exists bool, result opResult) {
			a.changePending = false
			if result == resultUnknown || s.assignments[id] != a {
				return
			}
			delete(s.assignments, id)
			s.recordRevoked(id, a.epoch+1)
			if acceptor := core.registers[id]; acceptor != nil && rec.Outcome == wire.Open && rec.Stopped {
				r := register{record: rec}
				core.proposeReclaim(id, &r)
			}
		})
	default:
		a.nextCall = core.now + pollInterval/2 // its tasks are still leaving
	}
}

// recordRevoked remembers that claims below an epoch are dead at the site.
func (s *siteAgent) recordRevoked(id string, epoch uint32) {
	if _, ok := s.revoked[id]; !ok {
		s.revokedOrder = append(s.revokedOrder, id)
		if len(s.revokedOrder) > maxRevoked {
			delete(s.revoked, s.revokedOrder[0])
			s.revokedOrder = s.revokedOrder[1:]
		}
	}
	s.revoked[id] = max(s.revoked[id], epoch)
}

// proposeFinished offers what the site has completed: it counts unless something else does.
func (s *siteAgent) proposeFinished(id string, a *assignment, r *Result) {
	core := s.core
	a.changePending = true
	core.propose(id, op{kind: opFinish, site: core.cfg.Self, tasks: r.Done}, backgroundTimeout, func(rec wire.Record, exists bool, result opResult) {
		a.changePending = false
		if result == resultUnknown || s.assignments[id] != a {
			return
		}
		if result == resultChanged {
			core.counts.Finished++
		}
		delete(s.assignments, id)
		s.recordRevoked(id, ^uint32(0))
		for m := range core.cfg.Members {
			s.acknowledge(m, id, &rec)
		}
	})
}

// SiteLease is what the site's controllers are told: how long from now on they may run
// gateway jobs, which of them not, and how much of the state service they must
// have seen.
func (c *Core) SiteLease(now, maxLease time.Duration) wire.Lease {
	c.now = max(c.now, now)
	s := c.site
	lease := wire.Lease{MinRevision: s.minRevision}
	for id, a := range s.assignments {
		if a.mustStop {
			lease.LostJobs = append(lease.LostJobs, id)
		}
	}
	if len(lease.LostJobs) > wire.MaxLostJobs {
		return wire.Lease{MinRevision: s.minRevision} // too much to tell: nothing may run until it is stored
	}
	remaining := s.leaseExpiry - c.now
	if c.cfg.Faults.IgnoreLease {
		remaining = maxLease
	}
	if remaining > 0 {
		lease.RemainingMS = uint32(min(remaining, maxLease).Milliseconds())
	}
	return lease
}

// SetDrained drains the site or takes it back into service. It lasts once the batch
// is durable.
func (c *Core) SetDrained(now time.Duration, on bool) Effects {
	return c.step(now, func() { c.site.setDrained(on) })
}

func (s *siteAgent) setDrained(on bool) {
	core := s.core
	if s.drained == on {
		return
	}
	s.drained = on
	core.siteStateDirty = true
	if hint := core.hints[core.cfg.Self].hint; hint != nil {
		hint.Drained = on
	}
	if !on {
		for _, a := range s.assignments {
			if a.handOver && !a.excludeSite && !a.callInFlight && !a.changePending && a.lastCall == 0 {
				a.handOver = false // not asked to stop yet
			}
		}
	}
	core.log.Info("site drained", "on", on, "jobs", len(s.assignments))
}

// SetHint takes in what the site's controllers say of themselves.
func (c *Core) SetHint(now time.Duration, hint *wire.Hint) {
	hint.Drained = c.site.drained
	c.hints[c.cfg.Self] = receivedHint{max(c.now, now), hint}
}
