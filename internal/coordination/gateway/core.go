package gateway

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// Member is a gateway or a site.
type Member struct {
	Name string
	Site bool
}

// Config is what all members must agree on, and who this one is. Members come in
// the same order everywhere.
type Config struct {
	Members []Member
	Self    int
	// LeaseTime is a site's lease: how long it may run gateway jobs after it last
	// asked a majority.
	LeaseTime time.Duration
	// StopTime is how long after the end of its lease a site's tasks may run on: the
	// controllers' part and the workers' lease (see StopBound).
	StopTime time.Duration
	// MaxInFlight bounds the submissions that a member has under way.
	MaxInFlight int
	Route       RouteConfig
	// Faults switches protections off, so that tests can show that they are needed.
	Faults Faults
}

// Faults are deliberate mistakes for tests of the checker.
type Faults struct {
	IgnoreLease, IgnoreEpoch, OverwriteFinal bool
}

// maxClockDrift is by how much two steady clocks may differ: each runs up to 0.05% fast.
const maxClockDrift = 0.001

// StopBound is how long after its lease's end a site may still run a task: until
// the controllers' own part of the lease is over, an answer sent just before has
// reached its worker (workers drop what is later than 4 s), and the worker's lease
// that it renewed has run out.
func StopBound(controllers, workers time.Duration) time.Duration {
	return time.Duration(float64(controllers+workers)*(1+maxClockDrift)) + 4*time.Second
}

// HandoffBound is how long after a lost site's last grant another site has claimed
// its jobs at the latest, if members and their stores answer: the time granted, the
// turn of the member that asks last, and its rounds.
func HandoffBound(c Config) time.Duration {
	return time.Duration(float64(c.LeaseTime+c.StopTime)*(1+maxClockDrift)) + maxGrantSkew + time.Duration(len(c.Members))*reconcileTurn + 2*reconcileInterval
}

// Times within which the core acts.
const (
	resendInterval    = 400 * time.Millisecond // unanswered proposals are sent again
	userTimeout       = 2500 * time.Millisecond
	backgroundTimeout = 4 * time.Second
	silenceTimeout    = 3 * time.Second // a member not heard for so long counts as away
	reconcileInterval = 500 * time.Millisecond
	reconcileTurn     = time.Second            // how long one member is left to look after a job
	maxGrantSkew      = 500 * time.Millisecond // by how much the members' last grants differ
	hintInterval      = time.Second
	maxNotices        = 128 // in one answer to a renewal
	maxReconciles     = 64  // takeovers and look-ups under way
)

// register is an acceptor's part of one job.
type register struct {
	promised, accepted wire.Ballot
	hasRecord          bool
	committed          bool
	ackedSites         uint32
	acceptedAt         time.Duration // when it was last accepted
	nextReconcile      time.Duration // when this member may look after it again
	record             wire.Record
}

// leaseGrant is what this member granted one site, and what that site must know.
type leaseGrant struct {
	tasksUntil    time.Duration // the site may run jobs until then
	noClaimBefore time.Duration // others grant it: take nothing from it before
	// contested: others granted it when this member last tried to take a job from it.
	// One job a time shows whether they still do.
	grantedByOthers bool
	session         uint64
	// notices is what the site has to know; true: it has said so, but may forget.
	notices         map[string]bool
	unackedBlocking int // of pending, those that block its lease and are false
	blocksLease     map[string]bool
	revoked         map[string]uint32 // of jobs not accepted here: claims the site says are dead
}

// Effects is what the caller must do. Batches are stored in order, and Stored is
// told when one is durable. Everything else can be done in any order, lost or
// repeated.
type Effects struct {
	Send    map[int][]wire.Item
	Hint    *wire.Hint // goes to all other members, when not nil
	Store   []Batch
	Answers []Answer
	Calls   []Call
}

// Batch is what becomes durable together. One without items is a barrier: it shows
// that this member's store is still its own.
type Batch struct {
	Seq   uint64
	Items []wire.Item
}

// Core is one member's whole state.
type Core struct {
	cfg         Config
	incarnation uint32
	rng         *rand.Rand
	log         *slog.Logger
	now         time.Duration

	registers           map[string]*register
	openJobs            map[string]*register
	finalCount          int
	startedAt           time.Duration
	grants              []*leaseGrant // by member; nil for gateways
	lastHeard           []time.Duration
	hints               []receivedHint
	rounds              map[string]*round
	progress            map[string]progress
	routeLimits         []routeLimit
	ownedJobs           []int // open jobs by the site that holds them
	maxBallotNumber     uint64
	readBatches         map[uint64]*readBatch
	readSeq             uint64
	queuedReads         []*readRequest // to be asked together
	lastReadBatch       time.Duration
	submissionsInFlight int

	site *siteAgent // nil at a gateway

	effects        Effects
	localItems     []wire.Item // from this member to itself
	dirtyRegisters map[string]struct{}
	barrierPending bool
	// siteDirty: whether the site is drained is to be stored.
	siteStateDirty bool
	lastBatchSeq   uint64 // last batch handed out
	storedSeq      uint64 // last batch known to be durable
	heldReplies    []heldReply
	lastReconcile  time.Duration
	lastHintSent   time.Duration
	reconcileFrom  string
	counts         Counts
}

// Counts are what the metrics tell.
type Counts struct {
	Accepted, Finished, Cancelled, Forced, Moved, Nacks, Denied, Refused, Stale uint64
}

type heldReply struct {
	seq  uint64
	to   int
	item wire.Item
}

type receivedHint struct {
	receivedAt time.Duration
	hint       *wire.Hint
}

// New makes a member's core from what it has stored. inc is higher with each start
// of the member. now is its steady clock.
func New(cfg Config, inc uint32, restored []wire.Item, seed uint64, log *slog.Logger, now time.Duration) *Core {
	c := &Core{cfg: cfg, incarnation: inc, rng: rand.New(rand.NewPCG(seed, uint64(inc))), log: log, now: now, startedAt: now,
		registers: map[string]*register{}, openJobs: map[string]*register{}, rounds: map[string]*round{}, readBatches: map[uint64]*readBatch{},
		progress: map[string]progress{}, routeLimits: make([]routeLimit, len(cfg.Members)), ownedJobs: make([]int, len(cfg.Members)),
		dirtyRegisters: map[string]struct{}{}, lastHeard: make([]time.Duration, len(cfg.Members)), hints: make([]receivedHint, len(cfg.Members)),
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
	// What each site has to know is found again; it says again what it knows.
	for i, l := range c.grants {
		if l != nil {
			c.rebuildNotices(i, l)
		}
	}
	return c
}

func newLeaseGrant() *leaseGrant {
	return &leaseGrant{notices: map[string]bool{}, blocksLease: map[string]bool{}, revoked: map[string]uint32{}}
}

// majority of the members.
func (c *Core) majority() int { return len(c.cfg.Members)/2 + 1 }

func (c *Core) registerOf(id string) *register {
	r := c.registers[id]
	if r == nil {
		r = &register{}
		c.registers[id] = r
	}
	return r
}

// countOwned counts an open job at the site that holds it.
func (c *Core) countOwned(r *register, by int) {
	if r.hasRecord && r.record.Outcome == wire.Open && r.record.Owner > 0 && int(r.record.Owner) <= len(c.ownedJobs) {
		c.ownedJobs[r.record.Owner-1] += by
	}
}

// updateOpen keeps the sets of open and final registers.
func (c *Core) updateOpen(id string, r *register) {
	if r.hasRecord && r.record.Outcome == wire.Open {
		c.openJobs[id] = r
	} else if _, ok := c.openJobs[id]; ok {
		delete(c.openJobs, id)
		delete(c.progress, id)
	}
}

// step runs f, then everything that it causes at once, and returns the effects.
func (c *Core) step(now time.Duration, f func()) Effects {
	c.now = max(c.now, now)
	f()
	for {
		c.flushBatch()
		if len(c.localItems) == 0 {
			break
		}
		l := c.localItems
		c.localItems = nil
		for i := range l {
			c.handleItem(c.cfg.Self, &l[i])
		}
	}
	out := c.effects
	c.effects = Effects{Send: map[int][]wire.Item{}}
	return out
}

// flushBatch hands out what is to be stored, and lets go what waits for nothing.
func (c *Core) flushBatch() {
	if len(c.dirtyRegisters) > 0 || c.barrierPending || c.siteStateDirty {
		c.lastBatchSeq++
		b := Batch{Seq: c.lastBatchSeq}
		for _, id := range sortedKeys(c.dirtyRegisters) {
			b.Items = append(b.Items, c.registers[id].storedItem(id))
		}
		if c.siteStateDirty {
			b.Items = append(b.Items, wire.Item{Kind: wire.SiteState, Durable: c.site.drained})
		}
		clear(c.dirtyRegisters)
		c.barrierPending, c.siteStateDirty = false, false
		c.effects.Store = append(c.effects.Store, b)
	}
	c.releaseReplies()
}

// storedItem is a register as it is stored.
func (r *register) storedItem(id string) wire.Item {
	return wire.Item{Kind: wire.RegisterState, ID: id, Ballot: r.promised, Accepted: r.accepted, HasRecord: r.hasRecord, Committed: r.committed, AckedSites: r.ackedSites, Record: r.record}
}

// releaseReplies sends what waited for a batch that is durable now.
func (c *Core) releaseReplies() {
	n := 0
	for _, h := range c.heldReplies {
		if h.seq > c.storedSeq {
			break
		}
		n++
		c.send(h.to, h.item)
	}
	c.heldReplies = c.heldReplies[n:]
}

// send sends an item now; to this member itself, it is handled in the next step.
func (c *Core) send(to int, it wire.Item) {
	if to == c.cfg.Self {
		c.localItems = append(c.localItems, it)
		return
	}
	c.effects.Send[to] = append(c.effects.Send[to], it)
}

// sendWhenDurable sends an item once all that this member has changed is durable: nobody may
// be told what a crash could take back.
func (c *Core) sendWhenDurable(to int, it wire.Item) {
	seq := c.lastBatchSeq
	if len(c.dirtyRegisters) > 0 || c.barrierPending || c.siteStateDirty {
		seq++
	}
	c.heldReplies = append(c.heldReplies, heldReply{seq, to, it})
}

// Receive takes in a message from another member.
func (c *Core) Receive(now time.Duration, from int, e *wire.Envelope) Effects {
	return c.step(now, func() {
		c.lastHeard[from] = c.now
		if e.Hint != nil {
			c.hints[from] = receivedHint{c.now, e.Hint}
		}
		for i := range e.Items {
			c.handleItem(from, &e.Items[i])
		}
	})
}

// BatchStored says that all batches up to seq are durable.
func (c *Core) BatchStored(now time.Duration, seq uint64) Effects {
	return c.step(now, func() {
		c.storedSeq = max(c.storedSeq, seq)
		c.releaseReplies()
	})
}

// Tick does what is due by time alone.
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

// onPrepare promises.
func (c *Core) onPrepare(from int, it *wire.Item) {
	r := c.registerOf(it.ID)
	c.maxBallotNumber = max(c.maxBallotNumber, it.Ballot.Number)
	if it.Ballot.Less(r.promised) {
		c.send(from, wire.Item{Kind: wire.Nack, ID: it.ID, Ballot: it.Ballot, Accepted: r.promised})
		return
	}
	if site := int(it.Record.PrevOwner) - 1; site >= 0 && site < len(c.grants) && c.grants[site] != nil && c.tasksMayRun(site) && !c.cfg.Faults.IgnoreLease {
		// Said before anything is accepted: a claim that only some accepted would keep
		// its site from its lease, and others from taking the job.
		c.send(from, wire.Item{Kind: wire.Nack, ID: it.ID, Ballot: it.Ballot, Code: wire.LeaseActive})
		return
	}
	if r.promised != it.Ballot {
		r.promised = it.Ballot
		c.dirtyRegisters[it.ID] = struct{}{}
	}
	c.sendWhenDurable(from, wire.Item{Kind: wire.Promise, ID: it.ID, Ballot: it.Ballot, Accepted: r.accepted, HasRecord: r.hasRecord, Committed: r.committed, Record: r.record})
}

// mayAcceptClaim says whether, as far as this member granted leases, the site that a
// record was taken from without its proof can run nothing of it any more. It is
// asked of every member of the majority that accepts the claim, and every lease was
// granted by a majority too. A final record gives the job to nobody; the site has
// to know of it before its lease is renewed, as of a cancellation.
func (c *Core) mayAcceptClaim(id string, rec *wire.Record, r *register) bool {
	if rec.PrevOwner == 0 || rec.Outcome != wire.Open || c.cfg.Faults.IgnoreLease || r.hasRecord && r.record.Epoch >= rec.Epoch {
		return true
	}
	site := int(rec.PrevOwner) - 1
	l := c.grants[site]
	if l == nil || l.revoked[id] >= rec.Epoch {
		return true
	}
	return !c.tasksMayRun(site)
}

// tasksMayRun says whether a site may, as far as this member knows, still run jobs. A
// member that has just started has forgotten what it granted.
func (c *Core) tasksMayRun(site int) bool {
	return c.now < c.grants[site].tasksUntil || c.now < c.startedAt+c.grantDuration()
}

// grantDuration is how long after a renewal has come the site may run tasks by this
// member's clock.
func (c *Core) grantDuration() time.Duration {
	return time.Duration(float64(c.cfg.LeaseTime+c.cfg.StopTime) * (1 + maxClockDrift))
}

// onAccept accepts a proposed record.
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
		// The site may know already that its claim is dead, and then says so.
		c.send(site, wire.Item{Kind: wire.Notice, ID: it.ID, Accepted: it.Ballot, HasRecord: true, Record: it.Record})
		return
	}
	r.promised = it.Ballot
	c.setRecord(it.ID, r, it.Ballot, &it.Record, false)
	c.sendWhenDurable(from, wire.Item{Kind: wire.Accepted, ID: it.ID, Ballot: it.Ballot})
}

// onCommit learns that a majority accepted what was proposed under a ballot. Who
// missed the proposal finds out what it was.
func (c *Core) onCommit(from int, it *wire.Item) {
	r := c.registers[it.ID]
	if r == nil || !r.hasRecord || r.accepted.Less(it.Ballot) {
		if r != nil && r.hasRecord && r.record.Outcome != wire.Open {
			return // nothing comes after a final answer
		}
		if len(c.rounds) < c.cfg.MaxInFlight {
			c.propose(it.ID, op{kind: opLearn}, backgroundTimeout, nil)
		}
		return
	}
	if r.accepted == it.Ballot && !r.committed {
		c.setCommitted(it.ID, r)
	}
}

func (c *Core) setCommitted(id string, r *register) {
	r.committed = true
	if r.record.Outcome != wire.Open {
		c.dirtyRegisters[id] = struct{}{} // so that it need not be found out again
	}
	if c.site != nil {
		c.site.applyRecord(id, &r.record)
	}
}

// setRecord takes a record into a register, and notes which sites have to know of it.
// What a site acknowledged of an earlier claim or loss says nothing of a later one.
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
	was, is := r.hasRecord && r.record.Outcome != wire.Open, rec.Outcome != wire.Open
	switch {
	case is && !was:
		c.finalCount++
	case was && !is: // it was never agreed on
		c.finalCount--
	}
	c.countOwned(r, -1)
	defer c.countOwned(r, 1)
	r.accepted, r.hasRecord, r.record, r.acceptedAt = accepted, true, *rec, c.now
	r.committed = false
	c.dirtyRegisters[id] = struct{}{}
	c.updateOpen(id, r)
	if committed {
		c.setCommitted(id, r)
	}
	for i, l := range c.grants {
		if l != nil {
			c.trackNotice(i, l, id, r)
		}
	}
}

// trackNotice notes whether a site has to know of a register.
func (c *Core) trackNotice(site int, l *leaseGrant, id string, r *register) {
	concerns, blocks := noticeRequired(&r.record, site)
	if r.ackedSites&memberBit(site) != 0 {
		concerns, blocks = concerns && !blocks, false
	}
	c.untrackNotice(l, id)
	if !concerns {
		return
	}
	l.notices[id] = false
	if blocks {
		l.blocksLease[id] = true
		l.unackedBlocking++
	}
}

func (c *Core) untrackNotice(l *leaseGrant, id string) {
	if known, ok := l.notices[id]; ok {
		if l.blocksLease[id] && !known {
			l.unackedBlocking--
		}
		delete(l.notices, id)
		delete(l.blocksLease, id)
	}
}

// rebuildNotices finds again what a site has to know: it has started anew, or this member has.
func (c *Core) rebuildNotices(site int, l *leaseGrant) {
	l.notices, l.blocksLease, l.unackedBlocking = map[string]bool{}, map[string]bool{}, 0
	for id, r := range c.registers {
		if r.hasRecord {
			c.trackNotice(site, l, id, r)
		}
	}
}

// onRenew grants a site its lease, unless the site does not know yet that a job is
// not its any more. With either answer it is told of what concerns it.
func (c *Core) onRenew(from int, it *wire.Item) {
	l := c.grants[from]
	if l == nil {
		return
	}
	session := uint64(it.Ballot.Proposer)
	if session < l.session {
		return // from before its last start
	}
	if session > l.session {
		l.session = session
		c.rebuildNotices(from, l)
	}
	kind := wire.LeaseGranted
	if l.unackedBlocking > 0 && !c.cfg.Faults.IgnoreLease {
		kind = wire.LeaseDenied
		c.counts.Denied++
	} else {
		l.tasksUntil = max(l.tasksUntil, c.now+c.grantDuration())
	}
	var first, rest []string
	for id, known := range l.notices {
		switch {
		case known:
		case l.blocksLease[id]:
			first = append(first, id)
		case c.registers[id].committed:
			rest = append(rest, id)
		}
	}
	slices.Sort(first)
	slices.Sort(rest)
	for i, id := range append(first, rest...) {
		if i >= maxNotices {
			break
		}
		r := c.registers[id]
		c.sendWhenDurable(from, wire.Item{Kind: wire.Notice, ID: id, Accepted: r.accepted, HasRecord: true, Committed: r.committed, Record: r.record})
	}
	c.sendWhenDurable(from, wire.Item{Kind: kind, Ballot: it.Ballot})
}

// onAck learns that a site knows: claims of its own below an epoch are dead there.
func (c *Core) onAck(from int, it *wire.Item) {
	l := c.grants[from]
	if l == nil || !it.Durable && uint64(it.Ballot.Proposer) != l.session {
		return // said before the site's daemon started anew: it may have forgotten
	}
	r := c.registers[it.ID]
	if r == nil || !r.hasRecord || it.Record.Epoch > r.record.Epoch && r.record.Outcome == wire.Open {
		if it.Code == ackRevoked && len(l.revoked) < 10000 {
			l.revoked[it.ID] = max(l.revoked[it.ID], it.Record.Epoch)
		}
		return
	}
	delete(l.revoked, it.ID)
	known, ok := l.notices[it.ID]
	if !ok || it.Record.Epoch < revokedBelow(&r.record) {
		return
	}
	if l.blocksLease[it.ID] && !it.Durable {
		if !known {
			l.notices[it.ID] = true
			l.unackedBlocking--
		}
		return
	}
	if l.blocksLease[it.ID] {
		r.ackedSites |= memberBit(from)
		c.dirtyRegisters[it.ID] = struct{}{}
	}
	c.untrackNotice(l, it.ID)
}

// ackRevoked marks an Ack that answers the notice of a claim not accepted here.
const ackRevoked = 1

// unreachable says whether a member has not been heard of lately.
func (c *Core) unreachable(m int) bool {
	return m != c.cfg.Self && c.now-c.lastHeard[m] > silenceTimeout
}

// reachableCount counts the members that were heard lately, this one included.
func (c *Core) reachableCount() int {
	n := 0
	for i := range c.cfg.Members {
		if !c.unreachable(i) {
			n++
		}
	}
	return n
}

// reconcileJobs looks after open jobs that nobody else seems to: those whose record is not
// known to be agreed on, and those whose site has lost them. All members do it,
// later ones a little later; the agreement makes doing it twice harmless.
func (c *Core) reconcileJobs() {
	for i := range c.cfg.Members {
		if l := c.grants[i]; l != nil {
			c.routeLimits[i].setAvailable(c.now, !c.unreachable(i) && c.now < l.tasksUntil)
		}
	}
	if c.reachableCount() < c.majority() {
		return
	}
	rank := c.reconcileDelay()
	begun := 0
	probed := make([]bool, len(c.cfg.Members)) // sites from which a job is being taken
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
		if begun >= maxReconciles || len(c.rounds) >= c.cfg.MaxInFlight {
			c.reconcileFrom = id
			return
		}
		if c.reconcileJob(id, r, rank, probed) {
			begun++
		}
	}
	c.reconcileFrom = ""
}

// reconcileDelay is how much later than the first member that is there this one looks after jobs:
// it does so only if those before it do not for some seconds. (Found with real processes:
// three members that all tried twice a second, with stores that take a tenth of a second,
// kept one another from a majority for more than a minute.)
func (c *Core) reconcileDelay() time.Duration {
	before := 0
	for i := range c.cfg.Self {
		if !c.unreachable(i) {
			before++
		}
	}
	return time.Duration(before) * reconcileTurn
}

// reconcileJob proposes what a job needs, if it needs something and it is this member's turn.
func (c *Core) reconcileJob(id string, r *register, rank time.Duration, probed []bool) (begun bool) {
	if !r.committed {
		if c.now-r.acceptedAt <= silenceTimeout+rank {
			return false
		}
		c.scheduleNextReconcile(r, rank)
		c.propose(id, op{kind: opLearn, background: true}, backgroundTimeout, nil)
		return true
	}
	if r.record.Owner == 0 {
		return false
	}
	site := int(r.record.Owner) - 1
	switch {
	case r.record.Stopped && c.now-r.acceptedAt > rank:
	case !r.record.Stopped && c.mayReclaim(site, rank, probed[site]):
		probed[site] = true
	default:
		return false
	}
	c.scheduleNextReconcile(r, rank)
	return c.proposeReclaim(id, r)
}

// mayReclaim says whether a job may be taken from a site that has not released it: as far as
// this member knows nobody grants its lease any more.
func (c *Core) mayReclaim(site int, rank time.Duration, probed bool) bool {
	l := c.grants[site]
	return !c.tasksMayRun(site) && c.now > l.tasksUntil+maxGrantSkew+rank && c.now >= l.noClaimBefore && !(l.grantedByOthers && probed)
}

// scheduleNextReconcile notes that this member has looked after a job: the others get their turn
// before it does so again.
func (c *Core) scheduleNextReconcile(r *register, rank time.Duration) {
	r.nextReconcile = c.now + reconcileTurn + rank + time.Duration(c.rng.Int64N(int64(reconcileTurn)))
}

// reconcileOrder lists the open jobs, starting where the last look had to end.
func (c *Core) reconcileOrder() []string {
	ids := sortedKeys(c.openJobs)
	at, _ := slices.BinarySearch(ids, c.reconcileFrom)
	return append(ids[at:], ids[:at]...)
}

// proposeReclaim proposes another site for a job that its site has released or lost.
func (c *Core) proposeReclaim(id string, r *register) bool {
	to, ok := c.chooseNewSite(&r.record)
	if !ok {
		return false
	}
	from, epoch, stopped := int(r.record.Owner)-1, r.record.Epoch, r.record.Stopped
	c.countRouted(to)
	o := op{kind: opClaim, site: to, epoch: epoch, background: true}
	if !stopped {
		o.forcedFrom = memberNumber(from)
	}
	c.propose(id, o, backgroundTimeout, func(rec wire.Record, exists bool, o opResult) {
		if o != resultChanged {
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
