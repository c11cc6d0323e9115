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
	// Lease is a site's lease: how long it may run gateway jobs after it last
	// asked a majority.
	Lease time.Duration
	// Stop is how long after the end of its lease a site's tasks may run on: the
	// controllers' part and the workers' lease (see StopBound).
	Stop time.Duration
	// InFlight bounds the submissions that a member has under way.
	InFlight int
	Route    RouteConfig
	// Faults switches protections off, so that tests can show that they are needed.
	Faults Faults
}

// Faults are deliberate mistakes for tests of the checker.
type Faults struct {
	IgnoreLease, IgnoreEpoch, OverwriteFinal bool
}

// drift is by how much two steady clocks may differ: each runs up to 0.05% fast.
const drift = 0.001

// StopBound is how long after its lease's end a site may still run a task: until
// the controllers' own part of the lease is over, an answer sent just before has
// reached its worker (workers drop what is later than 4 s), and the worker's lease
// that it renewed has run out.
func StopBound(controllers, workers time.Duration) time.Duration {
	return time.Duration(float64(controllers+workers)*(1+drift)) + 4*time.Second
}

// HandoffBound is how long after a lost site's last grant another site has claimed
// its jobs at the latest, if members and their stores answer: the time granted, the
// turn of the member that asks last, and its rounds.
func HandoffBound(c Config) time.Duration {
	return time.Duration(float64(c.Lease+c.Stop)*(1+drift)) + grantSpread + time.Duration(len(c.Members))*careTurn + 2*careEvery
}

// Times within which the core acts.
const (
	resend       = 400 * time.Millisecond // unanswered proposals are sent again
	userPatience = 2500 * time.Millisecond
	dutyPatience = 4 * time.Second
	silence      = 3 * time.Second // a member not heard for so long counts as away
	careEvery    = 500 * time.Millisecond
	careTurn     = time.Second            // how long one member is left to look after a job
	grantSpread  = 500 * time.Millisecond // by how much the members' last grants differ
	hintEvery    = time.Second
	mostNotices  = 128 // in one answer to a renewal
	mostCare     = 64  // takeovers and look-ups under way
)

// register is an acceptor's part of one job.
type register struct {
	promised, accepted wire.Ballot
	exists             bool
	committed          bool
	acked              uint32
	touched            time.Duration // when it was last accepted
	careAt             time.Duration // when this member may look after it again
	rec                wire.Record
}

// leaseGrant is what this member granted one site, and what that site must know.
type leaseGrant struct {
	until time.Duration // the site may run jobs until then
	hold  time.Duration // others grant it: take nothing from it before
	// contested: others granted it when this member last tried to take a job from it.
	// One job a time shows whether they still do.
	contested bool
	session   uint64
	// pending is what the site has to know; true: it has said so, but may forget.
	pending  map[string]bool
	blocking int // of pending, those that block its lease and are false
	blocks   map[string]bool
	dead     map[string]uint32 // of jobs not accepted here: claims the site says are dead
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
	cfg Config
	inc uint32
	rng *rand.Rand
	log *slog.Logger
	now time.Duration

	regs     map[string]*register
	open     map[string]*register
	nFinal   int
	booted   time.Duration
	grants   []*leaseGrant // by member; nil for gateways
	heard    []time.Duration
	hints    []hintAt
	rounds   map[string]*round
	progress map[string]progress
	budgets  []budget
	holds    []int // open jobs by the site that holds them
	topN     uint64
	reads    map[uint64]*readBatch
	nextRead uint64
	waiting  []*readReq // to be asked together
	lastAsk  time.Duration
	inFlight int

	site *duty // nil at a gateway

	out     Effects
	local   []wire.Item // from this member to itself
	dirty   map[string]struct{}
	barrier bool
	// siteDirty: whether the site is drained is to be stored.
	siteDirty bool
	seq       uint64 // last batch handed out
	stored    uint64 // last batch known to be durable
	held      []heldItem
	lastCare  time.Duration
	lastHint  time.Duration
	careFrom  string
	counts    Counts
}

// Counts are what the metrics tell.
type Counts struct {
	Accepted, Finished, Cancelled, Forced, Moved, Nacks, Denied, Refused, Stale uint64
}

type heldItem struct {
	seq uint64
	to  int
	it  wire.Item
}

type hintAt struct {
	at   time.Duration
	hint *wire.Hint
}

// New makes a member's core from what it has stored. inc is higher with each start
// of the member. now is its steady clock.
func New(cfg Config, inc uint32, restored []wire.Item, seed uint64, log *slog.Logger, now time.Duration) *Core {
	c := &Core{cfg: cfg, inc: inc, rng: rand.New(rand.NewPCG(seed, uint64(inc))), log: log, now: now, booted: now,
		regs: map[string]*register{}, open: map[string]*register{}, rounds: map[string]*round{}, reads: map[uint64]*readBatch{},
		progress: map[string]progress{}, budgets: make([]budget, len(cfg.Members)), holds: make([]int, len(cfg.Members)),
		dirty: map[string]struct{}{}, heard: make([]time.Duration, len(cfg.Members)), hints: make([]hintAt, len(cfg.Members)),
		grants: make([]*leaseGrant, len(cfg.Members))}
	c.out.Send = map[int][]wire.Item{}
	for i, m := range cfg.Members {
		c.heard[i] = now - silence
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
		r := c.reg(it.ID)
		r.promised, r.accepted, r.exists, r.committed, r.acked, r.rec = it.Ballot, it.Accepted, it.Exists, it.Committed, it.Acked, it.Record
		c.topN = max(c.topN, r.promised.N, r.accepted.N)
		if r.exists && r.rec.Final != wire.Open {
			c.nFinal++
		}
		c.index(it.ID, r)
		c.hold(r, 1)
	}
	if cfg.Members[cfg.Self].Site {
		c.site = newDuty(c)
		c.site.drained = drained
		for _, id := range sortedKeys(c.open) {
			if r := c.open[id]; r.committed {
				c.site.learn(id, &r.rec)
			}
		}
	}
	// What each site has to know is found again; it says again what it knows.
	for i, l := range c.grants {
		if l != nil {
			c.refill(i, l)
		}
	}
	return c
}

func newLeaseGrant() *leaseGrant {
	return &leaseGrant{pending: map[string]bool{}, blocks: map[string]bool{}, dead: map[string]uint32{}}
}

// majority of the members.
func (c *Core) majority() int { return len(c.cfg.Members)/2 + 1 }

func (c *Core) reg(id string) *register {
	r := c.regs[id]
	if r == nil {
		r = &register{}
		c.regs[id] = r
	}
	return r
}

// hold counts an open job at the site that holds it.
func (c *Core) hold(r *register, by int) {
	if r.exists && r.rec.Final == wire.Open && r.rec.Holder > 0 && int(r.rec.Holder) <= len(c.holds) {
		c.holds[r.rec.Holder-1] += by
	}
}

// index keeps the sets of open and final registers.
func (c *Core) index(id string, r *register) {
	if r.exists && r.rec.Final == wire.Open {
		c.open[id] = r
	} else if _, ok := c.open[id]; ok {
		delete(c.open, id)
		delete(c.progress, id)
	}
}

// step runs f, then everything that it causes at once, and returns the effects.
func (c *Core) step(now time.Duration, f func()) Effects {
	c.now = max(c.now, now)
	f()
	for {
		c.flush()
		if len(c.local) == 0 {
			break
		}
		l := c.local
		c.local = nil
		for i := range l {
			c.handle(c.cfg.Self, &l[i])
		}
	}
	out := c.out
	c.out = Effects{Send: map[int][]wire.Item{}}
	return out
}

// flush hands out what is to be stored, and lets go what waits for nothing.
func (c *Core) flush() {
	if len(c.dirty) > 0 || c.barrier || c.siteDirty {
		c.seq++
		b := Batch{Seq: c.seq}
		for _, id := range sortedKeys(c.dirty) {
			b.Items = append(b.Items, c.regs[id].item(id))
		}
		if c.siteDirty {
			b.Items = append(b.Items, wire.Item{Kind: wire.SiteState, Durable: c.site.drained})
		}
		clear(c.dirty)
		c.barrier, c.siteDirty = false, false
		c.out.Store = append(c.out.Store, b)
	}
	c.release()
}

// item is a register as it is stored.
func (r *register) item(id string) wire.Item {
	return wire.Item{Kind: wire.State, ID: id, Ballot: r.promised, Accepted: r.accepted, Exists: r.exists, Committed: r.committed, Acked: r.acked, Record: r.rec}
}

// release sends what waited for a batch that is durable now.
func (c *Core) release() {
	n := 0
	for _, h := range c.held {
		if h.seq > c.stored {
			break
		}
		n++
		c.post(h.to, h.it)
	}
	c.held = c.held[n:]
}

// post sends an item now; to this member itself, it is handled in the next step.
func (c *Core) post(to int, it wire.Item) {
	if to == c.cfg.Self {
		c.local = append(c.local, it)
		return
	}
	c.out.Send[to] = append(c.out.Send[to], it)
}

// reply sends an item once all that this member has changed is durable: nobody may
// be told what a crash could take back.
func (c *Core) reply(to int, it wire.Item) {
	seq := c.seq
	if len(c.dirty) > 0 || c.barrier || c.siteDirty {
		seq++
	}
	c.held = append(c.held, heldItem{seq, to, it})
}

// Receive takes in a message from another member.
func (c *Core) Receive(now time.Duration, from int, e *wire.Envelope) Effects {
	return c.step(now, func() {
		c.heard[from] = c.now
		if e.Hint != nil {
			c.hints[from] = hintAt{c.now, e.Hint}
		}
		for i := range e.Items {
			c.handle(from, &e.Items[i])
		}
	})
}

// Stored says that all batches up to seq are durable.
func (c *Core) Stored(now time.Duration, seq uint64) Effects {
	return c.step(now, func() {
		c.stored = max(c.stored, seq)
		c.release()
	})
}

// Tick does what is due by time alone.
func (c *Core) Tick(now time.Duration) Effects {
	return c.step(now, func() {
		c.tickRounds()
		c.askReads(false)
		c.tickReads()
		if c.site != nil {
			c.site.tick()
		}
		if c.now-c.lastCare >= careEvery {
			c.lastCare = c.now
			c.care()
		}
		if c.now-c.lastHint >= hintEvery {
			c.lastHint = c.now
			if c.site != nil {
				c.out.Hint = c.hints[c.cfg.Self].hint
			}
		}
	})
}

func (c *Core) handle(from int, it *wire.Item) {
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
	case wire.Found:
		c.onFound(from, it)
	case wire.Renew:
		c.onRenew(from, it)
	case wire.Ack:
		c.onAck(from, it)
	case wire.Progress:
		c.onProgress(from, it)
	case wire.Notice, wire.Grant, wire.Deny:
		if c.site != nil {
			c.site.take(from, it)
		}
	}
}

// onPrepare promises.
func (c *Core) onPrepare(from int, it *wire.Item) {
	r := c.reg(it.ID)
	c.topN = max(c.topN, it.Ballot.N)
	if it.Ballot.Less(r.promised) {
		c.post(from, wire.Item{Kind: wire.Nack, ID: it.ID, Ballot: it.Ballot, Accepted: r.promised})
		return
	}
	if site := int(it.Record.Prev) - 1; site >= 0 && site < len(c.grants) && c.grants[site] != nil && c.leased(site) && !c.cfg.Faults.IgnoreLease {
		// Said before anything is accepted: a claim that only some accepted would keep
		// its site from its lease, and others from taking the job.
		c.post(from, wire.Item{Kind: wire.Nack, ID: it.ID, Ballot: it.Ballot, Why: wire.Leased})
		return
	}
	if r.promised != it.Ballot {
		r.promised = it.Ballot
		c.dirty[it.ID] = struct{}{}
	}
	c.reply(from, wire.Item{Kind: wire.Promise, ID: it.ID, Ballot: it.Ballot, Accepted: r.accepted, Exists: r.exists, Committed: r.committed, Record: r.rec})
}

// mayLose says whether, as far as this member granted leases, the site that a
// record was taken from without its proof can run nothing of it any more. It is
// asked of every member of the majority that accepts the claim, and every lease was
// granted by a majority too. A final record gives the job to nobody; the site has
// to know of it before its lease is renewed, as of a cancellation.
func (c *Core) mayLose(id string, rec *wire.Record, r *register) bool {
	if rec.Prev == 0 || rec.Final != wire.Open || c.cfg.Faults.IgnoreLease || r.exists && r.rec.Epoch >= rec.Epoch {
		return true
	}
	site := int(rec.Prev) - 1
	l := c.grants[site]
	if l == nil || l.dead[id] >= rec.Epoch {
		return true
	}
	return !c.leased(site)
}

// leased says whether a site may, as far as this member knows, still run jobs. A
// member that has just started has forgotten what it granted.
func (c *Core) leased(site int) bool {
	return c.now < c.grants[site].until || c.now < c.booted+c.grantTime()
}

// grantTime is how long after a renewal has come the site may run tasks by this
// member's clock.
func (c *Core) grantTime() time.Duration {
	return time.Duration(float64(c.cfg.Lease+c.cfg.Stop) * (1 + drift))
}

// onAccept accepts a proposed record.
func (c *Core) onAccept(from int, it *wire.Item) {
	r := c.reg(it.ID)
	c.topN = max(c.topN, it.Ballot.N)
	if it.Ballot.Less(r.promised) {
		c.post(from, wire.Item{Kind: wire.Nack, ID: it.ID, Ballot: it.Ballot, Accepted: r.promised})
		return
	}
	if r.exists && r.accepted == it.Ballot {
		c.reply(from, wire.Item{Kind: wire.Accepted, ID: it.ID, Ballot: it.Ballot})
		return
	}
	if !c.mayLose(it.ID, &it.Record, r) {
		site := int(it.Record.Prev) - 1
		c.post(from, wire.Item{Kind: wire.Nack, ID: it.ID, Ballot: it.Ballot, Why: wire.Leased})
		// The site may know already that its claim is dead, and then says so.
		c.post(site, wire.Item{Kind: wire.Notice, ID: it.ID, Accepted: it.Ballot, Exists: true, Record: it.Record})
		return
	}
	r.promised = it.Ballot
	c.adopt(it.ID, r, it.Ballot, &it.Record, false)
	c.reply(from, wire.Item{Kind: wire.Accepted, ID: it.ID, Ballot: it.Ballot})
}

// onCommit learns that a majority accepted what was proposed under a ballot. Who
// missed the proposal finds out what it was.
func (c *Core) onCommit(from int, it *wire.Item) {
	r := c.regs[it.ID]
	if r == nil || !r.exists || r.accepted.Less(it.Ballot) {
		if r != nil && r.exists && r.rec.Final != wire.Open {
			return // nothing comes after a final answer
		}
		if len(c.rounds) < c.cfg.InFlight {
			c.propose(it.ID, op{kind: opLearn}, dutyPatience, nil)
		}
		return
	}
	if r.accepted == it.Ballot && !r.committed {
		c.setCommitted(it.ID, r)
	}
}

func (c *Core) setCommitted(id string, r *register) {
	r.committed = true
	if r.rec.Final != wire.Open {
		c.dirty[id] = struct{}{} // so that it need not be found out again
	}
	if c.site != nil {
		c.site.learn(id, &r.rec)
	}
}

// adopt takes a record into a register, and notes which sites have to know of it.
// What a site acknowledged of an earlier claim or loss says nothing of a later one.
func (c *Core) adopt(id string, r *register, accepted wire.Ballot, rec *wire.Record, committed bool) {
	switch {
	case !r.exists || rec.Epoch > r.rec.Epoch+1:
		r.acked = 0
	case rec.Epoch != r.rec.Epoch || rec.Final != r.rec.Final:
		if rec.Holder != 0 {
			r.acked &^= bit(int(rec.Holder) - 1)
		}
		if rec.Epoch != r.rec.Epoch && rec.Prev != 0 {
			r.acked &^= bit(int(rec.Prev) - 1)
		}
	}
	was, is := r.exists && r.rec.Final != wire.Open, rec.Final != wire.Open
	switch {
	case is && !was:
		c.nFinal++
	case was && !is: // it was never agreed on
		c.nFinal--
	}
	c.hold(r, -1)
	defer c.hold(r, 1)
	r.accepted, r.exists, r.rec, r.touched = accepted, true, *rec, c.now
	r.committed = false
	c.dirty[id] = struct{}{}
	c.index(id, r)
	if committed {
		c.setCommitted(id, r)
	}
	for i, l := range c.grants {
		if l != nil {
			c.expect(i, l, id, r)
		}
	}
}

// expect notes whether a site has to know of a register.
func (c *Core) expect(site int, l *leaseGrant, id string, r *register) {
	concerns, blocks := concerned(&r.rec, site)
	if r.acked&bit(site) != 0 {
		concerns, blocks = concerns && !blocks, false
	}
	c.unexpect(l, id)
	if !concerns {
		return
	}
	l.pending[id] = false
	if blocks {
		l.blocks[id] = true
		l.blocking++
	}
}

func (c *Core) unexpect(l *leaseGrant, id string) {
	if known, ok := l.pending[id]; ok {
		if l.blocks[id] && !known {
			l.blocking--
		}
		delete(l.pending, id)
		delete(l.blocks, id)
	}
}

// refill finds again what a site has to know: it has started anew, or this member has.
func (c *Core) refill(site int, l *leaseGrant) {
	l.pending, l.blocks, l.blocking = map[string]bool{}, map[string]bool{}, 0
	for id, r := range c.regs {
		if r.exists {
			c.expect(site, l, id, r)
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
	session := uint64(it.Ballot.Who)
	if session < l.session {
		return // from before its last start
	}
	if session > l.session {
		l.session = session
		c.refill(from, l)
	}
	kind := wire.Grant
	if l.blocking > 0 && !c.cfg.Faults.IgnoreLease {
		kind = wire.Deny
		c.counts.Denied++
	} else {
		l.until = max(l.until, c.now+c.grantTime())
	}
	var first, rest []string
	for id, known := range l.pending {
		switch {
		case known:
		case l.blocks[id]:
			first = append(first, id)
		case c.regs[id].committed:
			rest = append(rest, id)
		}
	}
	slices.Sort(first)
	slices.Sort(rest)
	for i, id := range append(first, rest...) {
		if i >= mostNotices {
			break
		}
		r := c.regs[id]
		c.reply(from, wire.Item{Kind: wire.Notice, ID: id, Accepted: r.accepted, Exists: true, Committed: r.committed, Record: r.rec})
	}
	c.reply(from, wire.Item{Kind: kind, Ballot: it.Ballot})
}

// onAck learns that a site knows: claims of its own below an epoch are dead there.
func (c *Core) onAck(from int, it *wire.Item) {
	l := c.grants[from]
	if l == nil || !it.Durable && uint64(it.Ballot.Who) != l.session {
		return // said before the site's daemon started anew: it may have forgotten
	}
	r := c.regs[it.ID]
	if r == nil || !r.exists || it.Record.Epoch > r.rec.Epoch && r.rec.Final == wire.Open {
		if it.Why == ackDead && len(l.dead) < 10000 {
			l.dead[it.ID] = max(l.dead[it.ID], it.Record.Epoch)
		}
		return
	}
	delete(l.dead, it.ID)
	known, ok := l.pending[it.ID]
	if !ok || it.Record.Epoch < deadBelow(&r.rec) {
		return
	}
	if l.blocks[it.ID] && !it.Durable {
		if !known {
			l.pending[it.ID] = true
			l.blocking--
		}
		return
	}
	if l.blocks[it.ID] {
		r.acked |= bit(from)
		c.dirty[it.ID] = struct{}{}
	}
	c.unexpect(l, it.ID)
}

// ackDead marks an Ack that answers the notice of a claim not accepted here.
const ackDead = 1

// away says whether a member has not been heard of lately.
func (c *Core) away(m int) bool {
	return m != c.cfg.Self && c.now-c.heard[m] > silence
}

// reachable counts the members that were heard lately, this one included.
func (c *Core) reachable() int {
	n := 0
	for i := range c.cfg.Members {
		if !c.away(i) {
			n++
		}
	}
	return n
}

// care looks after open jobs that nobody else seems to: those whose record is not
// known to be agreed on, and those whose site has lost them. All members do it,
// later ones a little later; the agreement makes doing it twice harmless.
func (c *Core) care() {
	for i := range c.cfg.Members {
		if l := c.grants[i]; l != nil {
			c.budgets[i].back(c.now, !c.away(i) && c.now < l.until)
		}
	}
	if c.reachable() < c.majority() {
		return
	}
	rank := c.careRank()
	begun := 0
	probed := make([]bool, len(c.cfg.Members)) // sites from which a job is being taken
	for _, id := range c.careIDs() {
		r := c.open[id]
		if r == nil || c.now < r.careAt {
			continue
		}
		if c.rounds[id] != nil {
			if r.rec.Holder > 0 {
				probed[r.rec.Holder-1] = true
			}
			continue
		}
		if begun >= mostCare || len(c.rounds) >= c.cfg.InFlight {
			c.careFrom = id
			return
		}
		if c.careFor(id, r, rank, probed) {
			begun++
		}
	}
	c.careFrom = ""
}

// careRank is how much later than the first member that is there this one looks after jobs:
// it does so only if those before it do not for some seconds. (Found with real processes:
// three members that all tried twice a second, with stores that take a tenth of a second,
// kept one another from a majority for more than a minute.)
func (c *Core) careRank() time.Duration {
	before := 0
	for i := range c.cfg.Self {
		if !c.away(i) {
			before++
		}
	}
	return time.Duration(before) * careTurn
}

// careFor proposes what a job needs, if it needs something and it is this member's turn.
func (c *Core) careFor(id string, r *register, rank time.Duration, probed []bool) (begun bool) {
	if !r.committed {
		if c.now-r.touched <= silence+rank {
			return false
		}
		c.cared(r, rank)
		c.propose(id, op{kind: opLearn, care: true}, dutyPatience, nil)
		return true
	}
	if r.rec.Holder == 0 {
		return false
	}
	site := int(r.rec.Holder) - 1
	switch {
	case r.rec.Stopped && c.now-r.touched > rank:
	case !r.rec.Stopped && c.mayReclaim(site, rank, probed[site]):
		probed[site] = true
	default:
		return false
	}
	c.cared(r, rank)
	return c.reclaim(id, r)
}

// mayReclaim says whether a job may be taken from a site that has not released it: as far as
// this member knows nobody grants its lease any more.
func (c *Core) mayReclaim(site int, rank time.Duration, probed bool) bool {
	l := c.grants[site]
	return !c.leased(site) && c.now > l.until+grantSpread+rank && c.now >= l.hold && !(l.contested && probed)
}

// cared notes that this member has looked after a job: the others get their turn
// before it does so again.
func (c *Core) cared(r *register, rank time.Duration) {
	r.careAt = c.now + careTurn + rank + time.Duration(c.rng.Int64N(int64(careTurn)))
}

// careIDs lists the open jobs, starting where the last look had to end.
func (c *Core) careIDs() []string {
	ids := sortedKeys(c.open)
	at, _ := slices.BinarySearch(ids, c.careFrom)
	return append(ids[at:], ids[:at]...)
}

// reclaim proposes another site for a job that its site has released or lost.
func (c *Core) reclaim(id string, r *register) bool {
	to, ok := c.routeRecord(&r.rec)
	if !ok {
		return false
	}
	from, epoch, stopped := int(r.rec.Holder)-1, r.rec.Epoch, r.rec.Stopped
	c.claimed(to)
	o := op{kind: opClaim, site: to, epoch: epoch, care: true}
	if !stopped {
		o.from = num(from)
	}
	c.propose(id, o, dutyPatience, func(rec wire.Record, exists bool, o outcome) {
		if o != changed {
			return
		}
		if stopped {
			c.counts.Moved++
		} else {
			c.counts.Forced++
			c.grants[from].contested = false
		}
		c.log.Info("job handed over", "job", id, "from", c.cfg.Members[from].Name, "to", c.cfg.Members[to].Name, "epoch", rec.Epoch, "proved", stopped)
	})
	return true
}
