package gateway

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// Member is a participant in the agreement: a gateway, or the daemon of a site.
type Member struct {
	Name string
	Site bool
}

// Config holds the settings on which all members must agree, and the index of this member.
// Members are listed in the same order everywhere.
type Config struct {
	Members []Member
	Self    int
	// LeaseTime is the duration of a site's lease: for how long after it last asked a majority
	// the site may run gateway jobs.
	LeaseTime time.Duration
	// StopTime is for how long after its lease has expired a site's tasks may still run: the
	// sum of the controllers' lease and the workers' lease (see StopBound).
	StopTime time.Duration
	// MaxInFlight limits the submissions that a member handles concurrently.
	MaxInFlight int
	Route       RouteConfig
	// BatchBytes is about how much is stored at once; 0: any amount. Replies that wait for a
	// batch wait no longer than it takes to store that much.
	BatchBytes int
	// Faults disables safety checks, so that tests can show that each of them is needed.
	Faults Faults
}

// Faults are deliberate faults that tests use to verify that the simulation detects them.
type Faults struct {
	IgnoreLease, IgnoreEpoch, OverwriteFinal bool
}

// maxClockDrift is the greatest relative difference between two monotonic clocks: each may
// run up to 0.05% fast.
const maxClockDrift = 0.001

// StopBound returns for how long after its lease has expired a site may still run a task:
// until the controllers' own lease has expired, an answer sent just before has reached its
// worker (workers drop answers that arrive more than 4 s late), and the worker lease
// renewed by that answer has expired.
func StopBound(controllers, workers time.Duration) time.Duration {
	return time.Duration(float64(controllers+workers)*(1+maxClockDrift)) + 4*time.Second
}

// HandoffBound returns the maximum time from the last lease granted to a lost site until
// another site has claimed its jobs, if the members and their stores respond: the granted
// time, the reconciliation delay of the last member, and the rounds of that member.
func HandoffBound(c Config) time.Duration {
	return time.Duration(float64(c.LeaseTime+c.StopTime)*(1+maxClockDrift)) + maxGrantSkew + time.Duration(len(c.Members))*reconcileTurn + 2*reconcileInterval
}

// Timeouts, intervals and limits of the core.
const (
	resendInterval    = 400 * time.Millisecond  // unanswered proposals are sent again after this time
	userTimeout       = 2500 * time.Millisecond // limit for the answer to a user
	backgroundTimeout = 4 * time.Second         // limit for a change that no user waits for
	silenceTimeout    = 3 * time.Second         // a member silent for longer counts as unreachable
	reconcileInterval = 500 * time.Millisecond
	reconcileTurn     = time.Second            // delay between the attempts of successive members to reconcile a job
	maxGrantSkew      = 500 * time.Millisecond // greatest time between the members' last grants of one lease
	hintInterval      = time.Second
	maxNotices        = 128 // per answer to a lease renewal
	maxReconciles     = 64  // reclaims started in one pass, or waiting
)

// register is this member's acceptor state for one job.
type register struct {
	promised, accepted wire.Ballot
	hasRecord          bool          // whether record is set
	committed          bool          // whether record is known to be accepted by a majority
	ackedSites         uint32        // bit mask of the sites that acknowledged record durably
	acceptedAt         time.Duration // when record was last accepted
	nextReconcile      time.Duration // earliest time at which this member reconciles the job again
	record             wire.Record
}

// Effects is what the caller must carry out. BatchStored is called when the batch is
// durable, OwnershipProved when it is proved that the store still belongs to this process.
// There is no further batch, and no further request for a proof, before that. Everything
// else may be done in any order, be lost or be repeated.
type Effects struct {
	Send           map[int][]wire.Item // items to send, by member
	Hint           *wire.Hint          // if not nil, sent to all other members
	Store          []Batch             // at most one batch to store
	ProveOwnership uint64              // number of the request for a proof; 0: none
	Answers        []Answer            // answers to users
	Calls          []Call              // calls to the site's controllers
}

// Batch is a set of items to be stored. If storing it fails, any of them may be durable.
type Batch struct {
	Seq   uint64
	Items []wire.Item
}

// Core is the complete state of one member.
type Core struct {
	cfg         Config
	incarnation uint32 // number of this start of the member
	rng         *rand.Rand
	log         *slog.Logger
	now         time.Duration

	registers           map[string]*register // by job id
	openJobs            map[string]*register // registers of jobs without an outcome
	finalCount          int                  // number of registers with an outcome
	startedAt           time.Duration
	grants              []*leaseGrant     // by member; nil for gateways
	lastHeard           []time.Duration   // time of the last message, by member
	hints               []receivedHint    // last load report, by member
	rounds              map[string]*round // rounds in progress and waiting, by job id
	limiter             *roundLimiter
	progress            map[string]progress   // task counts of open jobs, for display
	routeLimits         []routeLimit          // rate limits of routing, by member
	ownedJobs           []int                 // number of open jobs, by owning site
	maxBallotNumber     uint64                // highest ballot number seen
	readBatches         map[uint64]*readBatch // reads in progress, by number
	readSeq             uint64                // number of the last read batch
	queuedReads         []*readRequest        // reads to be sent with the next batch
	lastReadBatch       time.Duration
	submissionsInFlight int
	learning            map[string]struct{} // jobs whose agreed record is being read

	site *siteAgent // nil at a gateway

	effects       Effects
	localItems    []wire.Item // items from this member to itself
	storeQueue    *storeQueue
	proofs        ownershipProofs
	lastReconcile time.Duration
	lastHintSent  time.Duration
	reconcileFrom string // job at which the next reconciliation pass starts
	counts        Counts
	workload      workload
}

// Counts are the event counters in the metrics and the status: jobs accepted, finished and
// cancelled; jobs taken from a lost site without its proof (Forced) and handed over with
// proof (Moved); refusals of ballots (Nacks); lease renewals denied; user requests answered
// with 503 (Refused); claims of this site that were found revoked while it ran the job
// (Stale). The fields are encoded under their own names.
type Counts struct {
	Accepted, Finished, Cancelled, Forced, Moved, Nacks, Denied, Refused, Stale uint64
}

// receivedHint is a site's last load report and the time at which it arrived.
type receivedHint struct {
	receivedAt time.Duration
	hint       *wire.Hint
}

// New creates the core of a member from its stored items. incarnation increases with each
// start of the member. now is the current reading of its monotonic clock.
func New(cfg Config, incarnation uint32, restored []wire.Item, seed uint64, log *slog.Logger, now time.Duration) *Core {
	c := &Core{cfg: cfg, incarnation: incarnation, rng: rand.New(rand.NewPCG(seed, uint64(incarnation))), log: log, now: now, startedAt: now,
		registers: map[string]*register{}, openJobs: map[string]*register{}, rounds: map[string]*round{}, readBatches: map[uint64]*readBatch{},
		progress: map[string]progress{}, routeLimits: make([]routeLimit, len(cfg.Members)), ownedJobs: make([]int, len(cfg.Members)),
		limiter: newRoundLimiter(cfg.MaxInFlight), storeQueue: newStoreQueue(), learning: map[string]struct{}{}, lastHeard: make([]time.Duration, len(cfg.Members)), hints: make([]receivedHint, len(cfg.Members)),
		grants: make([]*leaseGrant, len(cfg.Members))}
	c.effects.Send = map[int][]wire.Item{}
	for i, m := range cfg.Members {
		c.lastHeard[i] = now - silenceTimeout
		if m.Site {
			c.grants[i] = newLeaseGrant()
		}
	}
	drained := false
	for i := range restored {
		it := &restored[i]
		if it.Kind == wire.SiteState {
			drained = it.Durable
			continue
		}
		r := c.registerOf(it.ID)
		r.promised, r.accepted, r.hasRecord, r.committed, r.ackedSites, r.record = it.Ballot, it.Accepted, it.HasRecord, it.Committed, it.AckedSites, it.Record
		c.maxBallotNumber = max(c.maxBallotNumber, r.promised.Number, r.accepted.Number)
		r.acceptedAt = now - silenceTimeout - time.Duration(len(cfg.Members))*reconcileTurn // no commit is under way that could be awaited
		if r.hasRecord && r.record.Outcome != wire.Open {
			c.finalCount++
		}
		c.updateOpen(it.ID, r)
		c.countOwned(r, 1)
	}
	if cfg.Members[cfg.Self].Site {
		c.site = newSiteAgent(c)
		c.site.drained = drained
		for _, id := range sortedKeys(c.openJobs) {
			if r := c.openJobs[id]; r.committed {
				c.site.applyRecord(id, &r.record)
			}
		}
	}
	// The notices that each site has to acknowledge are rebuilt from the records; the site
	// acknowledges again those that it knows.
	for i, grant := range c.grants {
		if grant != nil {
			c.rebuildNotices(i, grant)
		}
	}
	return c
}

// majority returns the number of members that form a majority.
func (c *Core) majority() int { return len(c.cfg.Members)/2 + 1 }

// registerOf returns a job's register, which it creates if there is none.
func (c *Core) registerOf(id string) *register {
	r := c.registers[id]
	if r == nil {
		r = &register{}
		c.registers[id] = r
	}
	return r
}

// countOwned adds delta to the number of open jobs of the site that owns the job.
func (c *Core) countOwned(r *register, delta int) {
	if r.hasRecord && r.record.Outcome == wire.Open && r.record.Owner > 0 && int(r.record.Owner) <= len(c.ownedJobs) {
		c.ownedJobs[r.record.Owner-1] += delta
	}
}

// updateOpen keeps openJobs and progress in step with a register that has changed.
func (c *Core) updateOpen(id string, r *register) {
	if r.hasRecord && r.record.Outcome == wire.Open {
		c.openJobs[id] = r
	} else if _, ok := c.openJobs[id]; ok {
		delete(c.openJobs, id)
		delete(c.progress, id)
	}
}

// step runs f, then handles the items that it sends to this member itself, and returns the
// effects of all of it.
func (c *Core) step(now time.Duration, f func()) Effects {
	c.now = max(c.now, now)
	f()
	for {
		if len(c.localItems) == 0 {
			break
		}
		items := c.localItems
		c.localItems = nil
		for i := range items {
			c.handleItem(c.cfg.Self, &items[i])
		}
	}
	c.requestStorage()
	effects := c.effects
	c.effects = Effects{Send: map[int][]wire.Item{}}
	return effects
}

// requestStorage asks the caller to store the next batch and to prove the ownership of the
// store, if something waits for that.
func (c *Core) requestStorage() {
	siteState := func() wire.Item { return wire.Item{Kind: wire.SiteState, Durable: c.site.drained} }
	if batch, ok := c.storeQueue.nextBatch(c.registers, c.cfg.BatchBytes, siteState); ok {
		c.effects.Store = append(c.effects.Store, batch)
	}
	c.effects.ProveOwnership = c.proofs.next()
}

// storedItem returns the register in the form in which it is stored.
func (r *register) storedItem(id string) wire.Item {
	return wire.Item{Kind: wire.RegisterState, ID: id, Ballot: r.promised, Accepted: r.accepted, HasRecord: r.hasRecord, Committed: r.committed, AckedSites: r.ackedSites, Record: r.record}
}

// send sends an item without waiting for the store. An item to this member itself is
// handled later in the same step.
func (c *Core) send(to int, it wire.Item) {
	if to == c.cfg.Self {
		c.localItems = append(c.localItems, it)
		return
	}
	c.effects.Send[to] = append(c.effects.Send[to], it)
}

// sendWhenDurable sends an item about a job once the changes made so far to its register are
// durable: no other member may be told anything that a crash could undo.
func (c *Core) sendWhenDurable(to int, it wire.Item) {
	if !c.storeQueue.hold(it.ID, to, it) {
		c.send(to, it)
	}
}

// sendWhenOwned sends an item once it is proved that the store still belongs to this
// process: a process that was replaced must not speak for the member.
func (c *Core) sendWhenOwned(to int, it wire.Item) {
	c.proofs.waiting = append(c.proofs.waiting, reply{to, it})
}

// sendAll sends replies.
func (c *Core) sendAll(replies []reply) {
	for i := range replies {
		c.send(replies[i].to, replies[i].item)
	}
}

// Receive handles a message from another member.
func (c *Core) Receive(now time.Duration, from int, envelope *wire.Envelope) Effects {
	return c.step(now, func() {
		c.lastHeard[from] = c.now
		if envelope.Hint != nil {
			c.hints[from] = receivedHint{c.now, envelope.Hint}
		}
		for i := range envelope.Items {
			c.handleItem(from, &envelope.Items[i])
		}
	})
}

// BatchStored reports to the core that the batch with a number is durable.
func (c *Core) BatchStored(now time.Duration, seq uint64) Effects {
	return c.step(now, func() { c.sendAll(c.storeQueue.stored(seq, c.now)) })
}

// OwnershipProved reports to the core that the store still belonged to this process after
// the proof with a number was requested.
func (c *Core) OwnershipProved(now time.Duration, seq uint64) Effects {
	return c.step(now, func() { c.sendAll(c.proofs.proved(seq)) })
}

// Tick performs all actions that are due by time.
func (c *Core) Tick(now time.Duration) Effects {
	return c.step(now, func() {
		c.tickRounds()
		c.sendReads(false)
		c.expireReads()
		if c.site != nil {
			c.site.tick()
		}
		if c.now-c.lastReconcile >= reconcileInterval {
			c.lastReconcile = c.now
			c.reconcileJobs()
		}
		if c.now-c.lastHintSent >= hintInterval {
			c.lastHintSent = c.now
			if c.site != nil {
				c.effects.Hint = c.hints[c.cfg.Self].hint
			}
		}
	})
}

// handleItem handles one item from a member, which may be this one.
func (c *Core) handleItem(from int, it *wire.Item) {
	switch it.Kind {
	case wire.Prepare:
		c.onPrepare(from, it)
	case wire.Accept:
		c.onAccept(from, it)
	case wire.Promise, wire.Accepted, wire.Nack:
		if r := c.rounds[it.ID]; r != nil {
			c.onVote(r, from, it)
		}
	case wire.Commit:
		c.onCommit(from, it)
	case wire.Read:
		c.onRead(from, it)
	case wire.ReadReply:
		c.onReadReply(from, it)
	case wire.RenewLease:
		c.onRenew(from, it)
	case wire.Ack:
		c.onAck(from, it)
	case wire.Progress:
		c.onProgress(from, it)
	case wire.Notice, wire.LeaseGranted, wire.LeaseDenied:
		if c.site != nil {
			c.site.onLeaseItem(from, it)
		}
	}
}

// onPrepare promises to accept no lower ballot, unless it has promised a higher one or the
// proposal would take the job from a site whose lease may still be valid.
func (c *Core) onPrepare(from int, it *wire.Item) {
	r := c.registerOf(it.ID)
	c.maxBallotNumber = max(c.maxBallotNumber, it.Ballot.Number)
	if it.Ballot.Less(r.promised) {
		c.send(from, wire.Item{Kind: wire.Nack, ID: it.ID, Ballot: it.Ballot, Accepted: r.promised})
		return
	}
	if site := int(it.Record.PrevOwner) - 1; site >= 0 && site < len(c.grants) && c.grants[site] != nil && c.tasksMayRun(site) && !c.cfg.Faults.IgnoreLease {
		// The refusal comes before anything is accepted: a claim accepted by a minority only
		// would block the lease of the site and keep other members from claiming the job.
		c.send(from, wire.Item{Kind: wire.Nack, ID: it.ID, Ballot: it.Ballot, Code: wire.LeaseActive})
		return
	}
	if r.promised != it.Ballot {
		c.storeQueue.change(it.ID, r, c.now)
		r.promised = it.Ballot
	}
	c.sendWhenDurable(from, wire.Item{Kind: wire.Promise, ID: it.ID, Ballot: it.Ballot, Accepted: r.accepted, HasRecord: r.hasRecord, Committed: r.committed, Record: r.record})
}

// mayAcceptClaim reports whether a record may be accepted that takes a job from a site
// without that site's proof that it has stopped it. It may if, by the leases that this
// member granted, no task of the job can run at the site any more. Every member of the
// majority that accepts the claim checks this; every lease is granted by a majority too,
// and any two majorities share a member. A final record gives the job to no other site: as
// after a cancellation, the site has to know the record before its lease is renewed.
func (c *Core) mayAcceptClaim(id string, rec *wire.Record, r *register) bool {
	if rec.PrevOwner == 0 || rec.Outcome != wire.Open || c.cfg.Faults.IgnoreLease || r.hasRecord && r.record.Epoch >= rec.Epoch {
		return true
	}
	site := int(rec.PrevOwner) - 1
	grant := c.grants[site]
	if grant == nil || grant.revoked[id] >= rec.Epoch {
		return true
	}
	return !c.tasksMayRun(site)
}

// tasksMayRun reports whether, as far as this member knows, a site may still run gateway
// jobs. A member that has just started no longer knows which leases it granted, so it
// assumes that it granted one to each site just before.
func (c *Core) tasksMayRun(site int) bool {
	return c.now < c.grants[site].tasksUntil || c.now < c.startedAt+c.grantDuration()
}

// grantDuration returns for how long, by this member's clock, a site may run tasks after
// its renewal request has arrived.
func (c *Core) grantDuration() time.Duration {
	return time.Duration(float64(c.cfg.LeaseTime+c.cfg.StopTime) * (1 + maxClockDrift))
}

// onAccept accepts a proposed record, unless a higher ballot was promised or the site that
// loses the job may still run it.
func (c *Core) onAccept(from int, it *wire.Item) {
	r := c.registerOf(it.ID)
	c.maxBallotNumber = max(c.maxBallotNumber, it.Ballot.Number)
	if it.Ballot.Less(r.promised) {
		c.send(from, wire.Item{Kind: wire.Nack, ID: it.ID, Ballot: it.Ballot, Accepted: r.promised})
		return
	}
	if r.hasRecord && r.accepted == it.Ballot {
		c.sendWhenDurable(from, wire.Item{Kind: wire.Accepted, ID: it.ID, Ballot: it.Ballot})
		return
	}
	if !c.mayAcceptClaim(it.ID, &it.Record, r) {
		site := int(it.Record.PrevOwner) - 1
		c.send(from, wire.Item{Kind: wire.Nack, ID: it.ID, Ballot: it.Ballot, Code: wire.LeaseActive})
		// The site may know already that its claim is revoked; it then answers the notice with an
		// acknowledgement.
		c.send(site, wire.Item{Kind: wire.Notice, ID: it.ID, Accepted: it.Ballot, HasRecord: true, Record: it.Record})
		return
	}
	c.setRecord(it.ID, r, it.Ballot, &it.Record, false)
	r.promised = it.Ballot
	c.sendWhenDurable(from, wire.Item{Kind: wire.Accepted, ID: it.ID, Ballot: it.Ballot})
}

// onCommit handles the news that a majority accepted the record proposed under a ballot. A
// member that did not accept that record learns it.
func (c *Core) onCommit(from int, it *wire.Item) {
	r := c.registers[it.ID]
	if r == nil || !r.hasRecord || r.accepted.Less(it.Ballot) {
		if r != nil && r.hasRecord && r.record.Outcome != wire.Open {
			return // a final record is never replaced
		}
		c.learn(it.ID)
		return
	}
	if r.accepted == it.Ballot && !r.committed {
		c.setCommitted(it.ID, r)
	}
}

// setCommitted marks a register's record as accepted by a majority.
func (c *Core) setCommitted(id string, r *register) {
	if r.record.Outcome != wire.Open {
		c.storeQueue.change(id, r, c.now) // stored, so that it need not be learned again after a restart
	}
	r.committed = true
	if c.site != nil {
		c.site.applyRecord(id, &r.record)
	}
}

// setRecord replaces a register's record and determines which sites have to know the new
// one. An acknowledgement of an earlier claim or loss does not count for a later one.
func (c *Core) setRecord(id string, r *register, accepted wire.Ballot, rec *wire.Record, committed bool) {
	switch {
	case !r.hasRecord || rec.Epoch > r.record.Epoch+1:
		r.ackedSites = 0
	case rec.Epoch != r.record.Epoch || rec.Outcome != r.record.Outcome:
		if rec.Owner != 0 {
			r.ackedSites &^= memberBit(int(rec.Owner) - 1)
		}
		if rec.Epoch != r.record.Epoch && rec.PrevOwner != 0 {
			r.ackedSites &^= memberBit(int(rec.PrevOwner) - 1)
		}
	}
	wasFinal, isFinal := r.hasRecord && r.record.Outcome != wire.Open, rec.Outcome != wire.Open
	switch {
	case isFinal && !wasFinal:
		c.finalCount++
	case wasFinal && !isFinal: // the final record was never accepted by a majority
		c.finalCount--
	}
	c.countOwned(r, -1)
	defer c.countOwned(r, 1)
	c.storeQueue.change(id, r, c.now)
	r.accepted, r.hasRecord, r.record, r.acceptedAt = accepted, true, *rec, c.now
	r.committed = false
	c.updateOpen(id, r)
	if committed {
		c.setCommitted(id, r)
	}
	for i, grant := range c.grants {
		if grant != nil {
			c.trackNotice(i, grant, id, r)
		}
	}
}

// unreachable reports whether no message has arrived from a member for silenceTimeout.
func (c *Core) unreachable(m int) bool {
	return m != c.cfg.Self && c.now-c.lastHeard[m] > silenceTimeout
}

// reachableCount returns the number of members that are not unreachable, including this
// one.
func (c *Core) reachableCount() int {
	n := 0
	for i := range c.cfg.Members {
		if !c.unreachable(i) {
			n++
		}
	}
	return n
}

// reconcileJobs acts on open jobs that no other member seems to handle: those whose record
// is not known to be accepted by a majority, and those whose site has released or lost
// them. All members do this, each some time after the previous one. Doing it twice is
// harmless, since every change goes through the agreement.
func (c *Core) reconcileJobs() {
	for i := range c.cfg.Members {
		if grant := c.grants[i]; grant != nil {
			c.routeLimits[i].setAvailable(c.now, !c.unreachable(i) && c.now < grant.tasksUntil)
		}
	}
	if c.reachableCount() < c.majority() {
		return
	}
	delay := c.reconcileDelay()
	started := 0
	probed := make([]bool, len(c.cfg.Members)) // sites from which a job is being claimed by force
	for _, id := range c.reconcileOrder() {
		r := c.openJobs[id]
		if r == nil || c.now < r.nextReconcile {
			continue
		}
		if c.rounds[id] != nil {
			if r.record.Owner > 0 {
				probed[r.record.Owner-1] = true
			}
			continue
		}
		if started >= maxReconciles || c.limiter.waitingRounds(backgroundChange) >= maxReconciles {
			c.reconcileFrom = id
			return
		}
		if c.reconcileJob(id, r, delay, probed) {
			started++
		}
	}
	c.reconcileFrom = ""
}

// reconcileDelay returns how much later than the first reachable member this one reconciles
// jobs: it acts only if the members before it do not for some seconds. Without the delay,
// three members that all tried twice a second, with stores that take a tenth of a second,
// kept one another from a majority for more than a minute.
func (c *Core) reconcileDelay() time.Duration {
	reachableBefore := 0
	for i := range c.cfg.Self {
		if !c.unreachable(i) {
			reachableBefore++
		}
	}
	return time.Duration(reachableBefore) * reconcileTurn
}

// reconcileJob proposes the change that a job needs, if it needs one and this member's
// delay has passed. It reports whether it started a round.
func (c *Core) reconcileJob(id string, r *register, delay time.Duration, probed []bool) (started bool) {
	if !r.committed {
		if c.now-r.acceptedAt <= silenceTimeout+delay || len(c.learning) >= maxLearning {
			return false
		}
		c.scheduleNextReconcile(r, delay)
		c.learn(id)
		return false
	}
	if r.record.Owner == 0 {
		return false
	}
	site := int(r.record.Owner) - 1
	switch {
	case r.record.Stopped && c.now-r.acceptedAt > delay:
	case !r.record.Stopped && c.mayReclaim(site, delay, probed[site]):
		probed[site] = true
	default:
		return false
	}
	c.scheduleNextReconcile(r, delay)
	return c.proposeReclaim(id, r)
}

// mayReclaim reports whether a job may be claimed from a site that has not released it: as
// far as this member knows, no member grants the lease of the site any more.
func (c *Core) mayReclaim(site int, delay time.Duration, probed bool) bool {
	grant := c.grants[site]
	return !c.tasksMayRun(site) && c.now > grant.tasksUntil+maxGrantSkew+delay && c.now >= grant.noClaimBefore && !(grant.grantedByOthers && probed)
}

// scheduleNextReconcile sets when this member reconciles the job again, late enough for the
// other members to act first.
func (c *Core) scheduleNextReconcile(r *register, delay time.Duration) {
	r.nextReconcile = c.now + reconcileTurn + delay + time.Duration(c.rng.Int64N(int64(reconcileTurn)))
}

// reconcileOrder returns the open jobs, starting where the previous pass stopped.
func (c *Core) reconcileOrder() []string {
	ids := sortedKeys(c.openJobs)
	at, _ := slices.BinarySearch(ids, c.reconcileFrom)
	return append(ids[at:], ids[:at]...)
}

// proposeReclaim proposes a new site for a job that its owner has released or lost. It
// reports whether there is such a site.
func (c *Core) proposeReclaim(id string, r *register) bool {
	to, ok := c.chooseNewSite(&r.record)
	if !ok {
		return false
	}
	from, epoch, stopped := int(r.record.Owner)-1, r.record.Epoch, r.record.Stopped
	c.countRouted(to)
	claim := op{kind: opClaim, site: to, epoch: epoch, background: true}
	if !stopped {
		claim.forcedFrom = memberNumber(from)
	}
	c.propose(id, claim, backgroundChange, func(rec wire.Record, exists bool, result opResult) {
		if result != resultChanged {
			return
		}
		if stopped {
			c.counts.Moved++
		} else {
			c.counts.Forced++
			c.grants[from].grantedByOthers = false
		}
		c.log.Info("job handed over", "job", id, "from", c.cfg.Members[from].Name, "to", c.cfg.Members[to].Name, "epoch", rec.Epoch, "proved", stopped)
	})
	return true
}
