package gateway

import (
	"encoding/json"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// siteAgent acts for the site of this member: it renews the site's lease, has the
// controllers run the jobs that the site owns and stop all others, and proposes their
// outcomes.
type siteAgent struct {
	core    *Core
	session uint32 // incarnation of this member; sent with renewals and acknowledgements

	lastRenewal time.Duration            // when the lease was last requested
	nonce       uint64                   // number of the last renewal request
	renewalSent map[uint64]time.Duration // send time of each renewal in flight, by number
	grantVotes  map[uint64]uint32        // bit mask of the members that granted each renewal, by number
	leaseExpiry time.Duration

	assignments   map[string]*assignment // by job id
	revoked       map[string]uint32      // by job id: the epoch below which the site's claims are stored as revoked
	revokedOrder  []string               // keys of revoked, the oldest first
	minRevision   uint64                 // revision of the state service that a controller must have seen to run gateway jobs
	drained       bool
	callsInFlight int
	lastScan      time.Duration // when all assignments were last checked
}

// assignment is a job that the site owns, or one that it has to stop.
type assignment struct {
	epoch      uint32
	spec       []byte
	createdMS  uint64            // when the job was accepted
	parsedSpec *protocol.JobSpec // spec, decoded when first needed
	addedAt    time.Duration

	mustStop      bool   // no task of the job may run here
	revokeBelow   uint32 // the epoch below which claims are to be revoked
	voluntary     bool   // the claims are given up although no majority has given the job to another site
	handOver      bool   // stop the job, prove that it has stopped, and release it
	excludeSite   bool   // exclude the site from owning the job again
	submitted     bool   // the controllers have accepted the job
	callInFlight  bool
	nextCall      time.Duration // earliest time of the next call
	lastCall      time.Duration // 0: no call was made
	everPlaced    bool          // a task of the job has run here
	lastProgress  progress      // last progress sent to the other members
	changePending bool          // a change of the job's record is in progress
	failedCalls   int           // consecutive calls without a result
}

// Call is a request to the site's controllers.
type Call struct {
	Kind  wire.Kind // Submit, Stop or Poll
	ID    string
	Epoch uint32
	Spec  []byte
	// CreatedMS is when the job was accepted, in Unix milliseconds.
	CreatedMS uint64
}

// Result is the outcome of a call. With the code Unavailable it is not known whether the
// call had any effect.
type Result struct {
	Call     Call
	Code     uint8
	Done     uint32
	Running  uint32
	Revision uint64 // of the state service, at which the change was stored
	Reason   string
}

// Intervals and limits of the site agent.
const (
	scanInterval     = 100 * time.Millisecond // between checks of all assignments; the controllers are called for a new one at once
	pollInterval     = time.Second
	callRetryBase    = time.Second // delay before the first retry of a call
	maxCallsInFlight = 256
	maxRevoked       = 50000 // entries of siteAgent.revoked; the oldest are dropped
)

func newSiteAgent(core *Core) *siteAgent {
	s := &siteAgent{core: core, session: core.incarnation, lastRenewal: core.now - time.Hour, renewalSent: map[uint64]time.Duration{}, grantVotes: map[uint64]uint32{},
		leaseExpiry: core.now - time.Hour, assignments: map[string]*assignment{}, revoked: map[string]uint32{}}
	return s
}

// tick renews the lease and makes the calls to the controllers that are due.
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

// renewLease asks all members for the lease and forgets renewals older than a lease.
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

// leaseValid reports whether the site may run gateway jobs.
func (s *siteAgent) leaseValid() bool {
	return s.core.now < s.leaseExpiry || s.core.cfg.Faults.IgnoreLease
}

// onLeaseItem handles lease grants and notices from the members.
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
			// The lease starts when it was requested, not when the answers arrived.
			s.leaseExpiry = max(s.leaseExpiry, sent+core.cfg.LeaseTime)
		}
	case wire.Notice:
		s.onNotice(from, it)
	}
}

// onNotice handles the notice of a record that the site has to acknowledge before a member
// grants its lease.
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
		// Some members have accepted a claim that takes the job from this site, and others still
		// grant the site its lease, so that neither the claim nor the lease finds a majority.
		// Without a lease the site runs nothing anyway, so it gives its claim up by itself.
		if a := s.assignments[it.ID]; a == nil || !a.mustStop {
			s.assignments[it.ID] = &assignment{mustStop: true, voluntary: true, revokeBelow: rec.Epoch, epoch: rec.Epoch - 1, addedAt: core.now}
		}
		return
	}
	if own := core.registers[it.ID]; own != nil && own.hasRecord && own.committed && own.accepted == it.Accepted {
		// The sender has missed that a majority accepted the record.
		s.applyRecord(it.ID, &own.record)
		s.acknowledge(from, it.ID, &own.record)
		return
	}
	core.learn(it.ID)
}

// newAck returns an acknowledgement, valid for this start of the daemon, that the site's
// claims below an epoch are revoked.
func (s *siteAgent) newAck(id string, epoch uint32) wire.Item {
	return wire.Item{Kind: wire.Ack, ID: id, Ballot: wire.Ballot{Proposer: s.session}, Record: wire.Record{Epoch: epoch}}
}

// acknowledge tells a member what the site has done about a record: not only that the
// daemon has received it, but that the controllers will not run the job any more.
func (s *siteAgent) acknowledge(to int, id string, rec *wire.Record) {
	required, blocksLease := noticeRequired(rec, s.core.cfg.Self)
	it := s.newAck(id, rec.Epoch)
	switch {
	case required && !blocksLease:
	case s.revoked[id] >= revokedBelow(rec):
		it.Record.Epoch, it.Durable, it.Code = revokedBelow(rec), true, ackRevoked
	case s.assignments[id] != nil && s.assignments[id].mustStop && s.assignments[id].revokeBelow >= revokedBelow(rec):
		it.Record.Epoch = revokedBelow(rec)
	default:
		return
	}
	s.core.send(to, it)
}

// applyRecord acts on a record that a majority has accepted.
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
			// The site has given its claim up and no other site owns the job: the job is released by
			// a handover.
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
	required, blocksLease := noticeRequired(rec, core.cfg.Self)
	switch {
	case rec.Outcome != wire.Open && rec.FinishedBy == memberNumber(core.cfg.Self):
		delete(s.assignments, id)
	case a != nil && !a.mustStop && a.epoch >= revokedEpoch:
		// The record is older than the assignment: the member that sent it missed a later one.
	case a != nil && a.mustStop && a.revokeBelow >= revokedEpoch:
	case s.revoked[id] >= revokedEpoch:
		delete(s.assignments, id)
	case a != nil && (a.mustStop || a.epoch < revokedEpoch) || required && blocksLease:
		if a != nil && !a.mustStop {
			core.counts.Stale++
		}
		s.addAssignment(id, &assignment{mustStop: true, revokeBelow: revokedEpoch, epoch: revokedEpoch - 1, addedAt: core.now})
	}
}

// addAssignment adds an assignment and calls the controllers for it at once, if the limit
// of calls in flight allows it.
func (s *siteAgent) addAssignment(id string, a *assignment) {
	s.assignments[id] = a
	if s.callsInFlight < maxCallsInFlight {
		s.callControllers(id, a)
	}
}

// callControllers makes the call to the controllers that a job needs next, if one is due.
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

// SiteResults handles the results of calls to the controllers.
func (c *Core) SiteResults(now time.Duration, results []Result) Effects {
	return c.step(now, func() {
		for i := range results {
			c.site.onResult(&results[i])
		}
	})
}

// onResult handles the result of one call to the controllers.
func (s *siteAgent) onResult(r *Result) {
	core := s.core
	s.callsInFlight--
	id := r.Call.ID
	a := s.assignments[id]
	if r.Call.Kind == wire.Stop {
		s.minRevision = max(s.minRevision, r.Revision) // a controller must have seen the stop before it runs gateway jobs
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
		return // result of a call for an earlier claim
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
			// The claim was ended at the controllers, at the request of this daemon or of an earlier
			// start of it.
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

// callRetryDelay returns the delay before the next call after consecutive calls without a
// result. It grows exponentially, with jitter, so that a site in trouble gets fewer calls.
// For a job that blocks the site's lease it stays short.
func (c *Core) callRetryDelay(failedCalls int, urgent bool) time.Duration {
	delay := callRetryBase << min(max(failedCalls-1, 0), 4)
	if urgent {
		delay = min(delay, 2*callRetryBase)
	}
	return delay*3/4 + time.Duration(c.rng.Int64N(int64(delay/2)))
}

// reportProgress sends the progress of a job to the other members. It hands the job over if
// none of its tasks has been placed here for too long while another site has capacity for
// it.
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
	// The limit grows with each claim, so that the job does not move back and forth between
	// sites.
	if waitLimit := core.cfg.Route.MoveAfterS * float64(min(a.epoch, 20)); !a.everPlaced && waitLimit > 0 && (core.now-a.addedAt).Seconds() > waitLimit && s.otherSiteHasCapacity(a) {
		core.log.Info("job waits in vain and is handed over", "job", id, "waited_s", (core.now - a.addedAt).Seconds())
		a.handOver, a.nextCall = true, core.now
	}
}

// otherSiteHasCapacity reports whether another site could start the whole job now.
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

// onStopResult handles the result of a request to stop a job.
func (s *siteAgent) onStopResult(id string, a *assignment, r *Result) {
	core := s.core
	switch {
	case r.Code != wire.ClaimEnded && r.Code != wire.Active && r.Code != wire.Conflict:
		return // the call is repeated
	case a.mustStop && a.voluntary && r.Code == wire.Active:
		a.nextCall = core.now + pollInterval/2 // some tasks are still stopping
	case a.mustStop && a.voluntary:
		s.recordRevoked(id, a.revokeBelow)
		for m := range core.cfg.Members {
			core.send(m, wire.Item{Kind: wire.Ack, ID: id, Durable: true, Code: ackRevoked, Record: wire.Record{Epoch: a.revokeBelow}})
		}
		// If the other claim never finds a majority, this site still owns the job and releases
		// it.
		a.changePending = true
		core.propose(id, op{kind: opLearn}, backgroundChange, func(rec wire.Record, exists bool, result opResult) {
			a.changePending = false
			if result == resultUnknown || s.assignments[id] != a {
				return
			}
			delete(s.assignments, id)
			s.applyRecord(id, &rec)
		})
	case a.mustStop:
		// The stop is stored in the state service, so no controller starts a task of the job
		// again.
		s.recordRevoked(id, a.revokeBelow)
		delete(s.assignments, id)
		if reg := core.registers[id]; reg != nil && reg.hasRecord {
			rec := reg.record
			for m := range core.cfg.Members {
				s.acknowledge(m, id, &rec)
			}
		}
	case r.Code == wire.ClaimEnded || r.Code == wire.Conflict:
		a.changePending = true
		core.propose(id, op{kind: opRelease, site: core.cfg.Self, epoch: a.epoch, excludeSite: a.excludeSite}, backgroundChange, func(rec wire.Record, exists bool, result opResult) {
			a.changePending = false
			if result == resultUnknown || s.assignments[id] != a {
				return
			}
			delete(s.assignments, id)
			s.recordRevoked(id, a.epoch+1)
			if reg := core.registers[id]; reg != nil && rec.Outcome == wire.Open && rec.Stopped {
				r := register{record: rec}
				core.proposeReclaim(id, &r)
			}
		})
	default:
		a.nextCall = core.now + pollInterval/2 // some tasks are still stopping
	}
}

// recordRevoked remembers that the site's claims on a job below an epoch are revoked.
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

// proposeFinished proposes the completion of a job at this site as its outcome. It has no
// effect if another outcome was agreed on first.
func (s *siteAgent) proposeFinished(id string, a *assignment, r *Result) {
	core := s.core
	a.changePending = true
	core.propose(id, op{kind: opFinish, site: core.cfg.Self, tasks: r.Done}, backgroundChange, func(rec wire.Record, exists bool, result opResult) {
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

// SiteLease returns what the site's controllers are told: for how long from now they may
// run gateway jobs, which of those jobs the site has lost, and the revision of the state
// service that they must have seen before.
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
		return wire.Lease{MinRevision: s.minRevision} // too many lost jobs to list: nothing may run until some stops are stored
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

// SetDrained drains the site or returns it to service. The change survives a restart once
// its batch is durable.
func (c *Core) SetDrained(now time.Duration, on bool) Effects {
	return c.step(now, func() { c.site.setDrained(on) })
}

// setDrained sets the drain state. When the site returns to service, jobs marked for
// handover stay here if no call was made for them yet.
func (s *siteAgent) setDrained(on bool) {
	core := s.core
	if s.drained == on {
		return
	}
	s.drained = on
	core.storeQueue.siteStateQueued = true
	if hint := core.hints[core.cfg.Self].hint; hint != nil {
		hint.Drained = on
	}
	if !on {
		for _, a := range s.assignments {
			if a.handOver && !a.excludeSite && !a.callInFlight && !a.changePending && a.lastCall == 0 {
				a.handOver = false // no stop was requested yet
			}
		}
	}
	core.log.Info("site drained", "on", on, "jobs", len(s.assignments))
}

// SetHint records the load report of the site's controllers.
func (c *Core) SetHint(now time.Duration, hint *wire.Hint) {
	hint.Drained = c.site.drained
	c.hints[c.cfg.Self] = receivedHint{max(c.now, now), hint}
}
