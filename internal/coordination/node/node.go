package node

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/duty"
	"dapplestage.example/dapplestage/internal/coordination/packed"
	"dapplestage.example/dapplestage/internal/coordination/standby"
	"dapplestage.example/dapplestage/internal/coordination/start"
	"dapplestage.example/dapplestage/internal/coordination/statusread"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// CloudService is the cloud as the node sees it.
type CloudService interface {
	Catalog(ctx context.Context) ([]protocol.MachineType, error)
	Rent(ctx context.Context, r protocol.RentRequest) ([]string, error)
	Return(ctx context.Context, names []string) error
	List(ctx context.Context) ([]protocol.ListedMachine, error)
}

// Workers calls a worker directly.
type Workers interface {
	// Command sends orders and returns the worker's report; executed is false
	// if the worker refused them for their token or session.
	Command(ctx context.Context, addr string, o protocol.Orders) (r *protocol.Report, executed bool, err error)
	// Inspect asks for the worker's report.
	Inspect(ctx context.Context, addr string) (*protocol.Report, error)
}

// Node is one controller. All fields below inbox belong to the actor routine.
type Node struct {
	cfg     *protocol.Settings
	log     *slog.Logger
	store   storage.Service
	cloud   CloudService
	workers Workers
	// SiteFrom is the host of the site's daemon, which alone may hand this node jobs of
	// the gateway; empty: nobody may.
	SiteFrom string
	// Known, if set, asks the site's daemon whether a job is the gateway's, and how it is.
	Known func(ctx context.Context, id string) (s protocol.JobStatus, known bool, err error)
	// SetLevel, if set, is told the log level that operators chose, if any.
	SetLevel func(l slog.Level, chosen bool)
	// Closed, if set, is how many workers' connections were closed at once so far, since
	// others were being served.
	Closed func() int64
	// OnLoaded, if set, is told when the replica has been read once: from then on the
	// node can answer.
	OnLoaded func()
	// AskPeer, if set, asks another controller a question and returns its answer.
	AskPeer func(ctx context.Context, node string, question []byte) ([]byte, error)
	users   *storage.Committer         // changes that a user waits for
	press   *storage.Committer         // others that somebody waits for
	books   *storage.Committer         // everything else
	pace    *storage.Pace              // of all
	storing map[*storage.Committer]int // writes of jobs under way
	rng     *rand.Rand

	started   time.Time
	contact   atomic.Int64  // when the last answered store call was sent, since started
	holdWatch atomic.Int64  // how long a watch waits for changes
	catchUp   chan struct{} // ends the pause of the watch; see hastenWatch
	followed  uint64        // revision of the replica; read atomically by others
	inbox     chan func()
	wg        sync.WaitGroup
	ctx       context.Context

	siblings map[string]*sibling
	loaded   bool // the replica has been read once
	ver      map[string]uint64
	orphans  map[string]protocol.Chunk // chunks whose head is not there (yet)
	swept    sweep                     // of those whose job is over
	jobs     map[string]*job
	finals   *finalCache
	machines map[string]*machine
	batches  map[string]*batch // of machines, by key
	shares   []*share
	teams    []*team
	teamOf   map[string]int
	counter  uint64
	nodes    map[string]time.Time // live nodes and since when
	older    map[string]bool      // of those: of an earlier version of the records
	early    map[string]bool      // and of one that knows no entries
	lease    uint64
	types    map[string]*protocol.MachineType
	catalog  catalog

	dirty       map[*job]bool       // jobs with facts or placements to store
	tombs       map[string]struct{} // keys known to be deleted, until the watch has passed them
	due         dueHeap             // when parked reports are to be answered
	replan      bool
	nextPlan    time.Time            // planning takes only a part of the node's time
	asked       int                  // users' changes under way
	userChanges []*userChange        // userchanges.go: those that a user still waits for
	changeTimes statusread.Estimator // how long users' changes take to be stored
	starts      map[*machine]bool    // machines with starts just stored
	direct      int                  // direct starts under way
	nextTurn    time.Time            // when the next user turned away should come back
	lastMove    time.Time
	lastTend    time.Time
	lastSaid    time.Time
	lastRelease time.Time
	gate        *gate     // of jobs of the gateway; nil: none may run
	tickets     desk      // render-farm tickets; see tickets.go
	caught      uint64    // revision up to which the replica is complete
	complete    time.Time // when it last was, at least
	policy      Policy
	metrics     *Metrics
	endedJobs   []EndedJob

	polls     statusread.Queue[*statusRead] // users.go: questions about jobs that wait to be compared with the store
	rate      rateParts                     // shares.go: this node's part of the rate of changes
	seen      seen                          // facts.go: what decisions see
	cloudside cloudside                     // machines.go: what is under way with the cloud
	eyes      eyes                          // sight.go, peers.go: whom this node hears
	account   account                       // account.go: what ended, and how it went
	told      told                          // peers.go: what it tells of machines' caches
	ordering  budgeted                      // square.go: what is ordered under a budget
	standing  standing                      // standby.go: who stands by for whom
	corrupt   map[string]uint64             // corrupt.go: stored values that are not understood, and their stamps
	ending    map[*job]bool                 // cancels.go: jobs that are being cancelled
	askers    []asker                       // cancels.go: users who wait for the end of what they cancel
	spent     spends                        // spending.go: where changes went
	adoption  *duty.Adoption                // adopt.go: of machines without a record
	rentals   protocol.FenceRecord          // under which rentals are recorded
	founded   bool                          // nobody had held anything when this node first read the store
	packing   packing                       // packed.go: many jobs in one change
	lives     lives                         // lives.go: this process and others of the same name
}

// catalog is where the types are known from.
type catalog struct {
	told   []protocol.MachineType // by the cloud; nil: not yet
	stored []protocol.MachineType
	busy   bool // it is being stored
}

// rateParts is what this node's part of the rate of changes is made of.
type rateParts struct {
	changes   atomicFloat // changes a second that this node would make
	last      time.Time
	lastAsked int64
}

// seen is what decisions see of the machines; see facts.go.
type seen struct {
	index    *decide.Index
	stale    []*machine      // those whose facts are to be made anew
	wasShut  bool            // as the facts have it
	wanted   map[string]bool // types that work with GPUs could use
	wantedAt time.Time       // when that was last made
}

// cloudside is what is under way with the cloud.
type cloudside struct {
	rentSeq     uint64
	nextRent    time.Time // when the cloud's rate allows another request
	wanted      time.Time // since when machines are wanted that were not asked for
	refusedTill map[offer]time.Time
	refusals    map[offer]int  // in a row
	renting     map[rental]int // machines asked for
	listing     bool
	lastList    time.Time
	strays      map[string]time.Time // unrecorded machines that were listed or heard, first seen
	returned    map[string]time.Time // machines that are gone for good
}

// eyes are whom this node hears.
type eyes struct {
	lastTurn  time.Time   // when the actor last did something
	awake     time.Time   // when it last had stood still
	shut      time.Time   // when it last turned connections away
	closed    int64       // how many, by then
	heard     time.Time   // when a worker was last heard
	blind     atomic.Bool // no worker is heard
	probing   int         // workers being asked how they are
	lastProbe time.Time
	cutAt     map[string]time.Time // zones: when last found unreachable
}

// told is what the next hints tell of machines' caches.
type told struct {
	caches atomic.Pointer[[]protocol.Cache] // read by other routines
	last   time.Time
	next   int
}

// atomicFloat is a number that other routines read.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) Load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) Store(v float64) { f.bits.Store(math.Float64bits(v)) }

type team struct {
	decide.Team
	share int
}

type share struct {
	index    int
	holder   protocol.HolderRecord // Token 0: nobody
	vacant   time.Time
	taken    time.Time              // when this node took it
	pending  bool                   // a change of the holder is being stored
	acquired *protocol.HolderRecord // names this node, which does not know yet all that was stored before
	jobs     []*job                 // unfinished, by priority and arrival
	machines []*machine             // recorded, by name
	nextRent time.Time              // when to look again at what to rent
	window   *decide.Window
	recent   []arrival     // seen by this node, whoever held the share
	square   *start.Square // while held: how far its machines have spoken; see square.go
	before   string        // who held it before
	taking   taking        // while held: how it came here; see standby.go
	fresh    []*job        // that its window has not counted
	log      *packed.Ring  // what its log tells
	append   *appending    // an entry of it that is being stored
	appended time.Time     // when that last began
	saving   int           // records of single jobs that are being stored
}

// New makes a node that lives until ctx ends. The caller runs it with Run.
func New(ctx context.Context, cfg *protocol.Settings, log *slog.Logger, store storage.Service, cloud CloudService, workers Workers, seed uint64) *Node {
	pace := storage.NewPace(cfg.Params.State, cfg.Params.Nodes)
	n := &Node{
		ctx: ctx, cfg: cfg, log: log, store: store, cloud: cloud, workers: workers,
		pace:    pace,
		users:   storage.NewCommitter(store, cfg.Params.State.TxnOps, pace, storage.UserLevel),
		press:   storage.NewCommitter(store, cfg.Params.State.TxnOps, pace, storage.UrgentLevel),
		books:   storage.NewCommitter(store, cfg.Params.State.TxnOps, pace, storage.BackgroundLevel),
		storing: map[*storage.Committer]int{},
		rng:     rand.New(rand.NewPCG(seed, 1)),
		started: time.Now(), inbox: make(chan func(), 1024), catchUp: make(chan struct{}, 1),
		ver: map[string]uint64{}, orphans: map[string]protocol.Chunk{}, jobs: map[string]*job{}, finals: newFinalCache(50000),
		machines: map[string]*machine{}, batches: map[string]*batch{}, teamOf: map[string]int{}, nodes: map[string]time.Time{},
		types: map[string]*protocol.MachineType{}, dirty: map[*job]bool{}, starts: map[*machine]bool{}, tombs: map[string]struct{}{},
		policy:    DefaultPolicy(),
		cloudside: cloudside{refusedTill: map[offer]time.Time{}, refusals: map[offer]int{}, renting: map[rental]int{}, strays: map[string]time.Time{}, returned: map[string]time.Time{}},
	}
	n.corrupt = map[string]uint64{}
	n.ending = map[*job]bool{}
	n.adoption, n.early = duty.NewAdoption(), map[string]bool{}
	n.older = map[string]bool{}
	n.holdWatch.Store(int64(watchHold))
	n.packing = newPacking()
	n.users.Spent, n.press.Spent, n.books.Spent = n.spent.add, n.spent.add, n.spent.add
	n.eyes.cutAt = map[string]time.Time{}
	n.standing.pairs, n.standing.doubts, n.standing.ended = map[int]standby.Pair{}, standby.NewDoubts(), map[string]time.Time{}
	n.lives.own, n.lives.of = map[uint64]bool{}, map[string]uint64{}
	n.account = newAccount(AccountSettings{}, time.Now())
	n.siblings = map[string]*sibling{}
	for _, s := range cfg.Siblings {
		n.siblings[s.Node] = &sibling{zone: s.Zone}
	}
	classes := map[string]bool{}
	for _, o := range cfg.Params.Aims {
		classes[o.Class] = true
	}
	n.metrics = newMetrics(classes)
	n.tickets = newDesk(cfg.Params.State.TxnOps)
	n.contact.Store(-int64(time.Hour))
	n.told.caches.Store(&[]protocol.Cache{})
	var guarantees []float64
	for _, t := range cfg.Params.Teams {
		guarantees = append(guarantees, max(t.GPUs, t.CPUs/8))
	}
	count := max(1, min(cfg.Params.Nodes, len(guarantees)))
	for i, s := range decide.AssignShares(guarantees, count) {
		t := cfg.Params.Teams[i]
		n.teamOf[t.Name] = i
		n.teams = append(n.teams, &team{share: s, Team: decide.Team{Name: t.Name,
			Guarantee: Amounts{CPUs: t.CPUs, GPUs: t.GPUs}, Limit: Amounts{CPUs: t.CPUsMax, GPUs: t.GPUsMax}}})
	}
	for i := range count {
		n.shares = append(n.shares, &share{index: i, window: decide.NewWindow(n.policy.Window), log: packed.NewRing(ringSlots)})
	}
	n.seen.index, n.seen.wasShut = decide.NewIndex(count, len(n.teams)), true
	n.ordering.budget = start.NewBudget(start.Limits{Cores: cfg.Params.Quota.Cores, Sockets: cfg.Params.Quota.FDLimit}, n.started)
	return n
}

// Contact notes that the state service answered a call sent at t.
func (n *Node) Contact(t time.Time) {
	at := int64(t.Sub(n.started))
	for {
		old := n.contact.Load()
		if at <= old || n.contact.CompareAndSwap(old, at) {
			return
		}
	}
}

// sinceContact is how long ago the last answered call was sent.
func (n *Node) sinceContact(now time.Time) time.Duration {
	return now.Sub(n.started) - time.Duration(n.contact.Load())
}

// post hands f to the actor.
func (n *Node) post(f func()) {
	select {
	case n.inbox <- f:
	case <-n.ctx.Done():
	}
}

// spawn runs a duty until the node ends.
func (n *Node) spawn(f func(ctx context.Context)) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f(n.ctx)
	}()
}

// Run serves until the node's context ends.
func (n *Node) Run() {
	ctx := n.ctx
	n.spawn(n.users.Run)
	n.spawn(n.press.Run)
	n.spawn(n.books.Run)
	n.spawn(n.keepLease)
	n.spawn(n.keepReplica)
	n.spawn(n.keepCatalog)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case f := <-n.inbox:
			n.turn(time.Now())
			f()
			// Drain what has queued up before deciding anything.
			for more := true; more; {
				select {
				case f := <-n.inbox:
					f()
				default:
					more = false
				}
			}
			n.settle(time.Now())
			n.eyes.lastTurn = time.Now()
		case due := <-tick.C:
			now := time.Now()
			n.turn(now)
			n.metrics.lag.Observe(now.Sub(due).Seconds())
			n.ordering.budget.Turn(now, now.Sub(due))
			n.metrics.backlog.Set(float64(n.storingAll() + n.asked + n.polls.Len()))
			n.tick(now)
			n.settle(now)
		}
	}
	n.wg.Wait()
}

// settle turns new facts into placements and stored changes.
func (n *Node) settle(now time.Time) {
	if !n.loaded {
		return
	}
	if n.replan && !now.Before(n.nextPlan) {
		n.replan = false
		n.plan(now)
		// A fleet of a thousand machines must not keep a small controller planning
		// while workers and users wait: three quarters of the time are theirs.
		end := time.Now()
		n.nextPlan = end.Add(max(40*time.Millisecond, 3*end.Sub(now)))
	}
	n.tendTickets(now)
	n.flush(now)
	n.flushInbox(now)
	n.confirmAccepted(now)
	n.releaseParked(now)
	for m := range n.starts {
		if n.startNow(m, now) {
			delete(n.starts, m)
		}
	}
	n.tickUserChanges(now)
	n.startRead(now)
}

// tick does what is due by time alone.
func (n *Node) tick(now time.Time) {
	if !n.loaded {
		return
	}
	n.tickAskers(now)
	n.holdWatch.Store(int64(watchHold))
	if !n.tellsLate() {
		n.holdWatch.Store(int64(watchOften))
	}
	n.tickFormat(now)
	n.tidy(now)
	n.tickShares(now)
	n.tickSquares(now)
	n.tickMachines(now)
}

func (n *Node) keepCatalog(ctx context.Context) {
	for ctx.Err() == nil {
		types, err := n.cloud.Catalog(ctx)
		wait := time.Minute
		if err != nil {
			n.log.Info("catalogue not read", "why", err)
			wait = 2 * time.Second
		} else {
			n.post(func() { n.setTypes(types) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// setTypes takes in the catalogue as the cloud tells it.
func (n *Node) setTypes(types []protocol.MachineType) {
	n.catalog.told = types
	n.learnTypes(types)
}

// recallTypes takes in the catalogue as it was stored, until the cloud tells it: a node
// that started while the cloud was down knew no type, and so could neither accept nor
// place anything. (On a simulated day all controllers ended within an outage of the cloud,
// and for 11 s longer than needed every submission was answered 503.)
func (n *Node) recallTypes(types []protocol.MachineType) {
	n.catalog.stored = types
	if n.catalog.told == nil && len(types) > 0 {
		n.log.Info("catalogue as it was stored is used", "types", len(types))
		n.learnTypes(types)
	}
}

// keepTypes lets the leader store the catalogue when it is another one; prices alone, which
// change all the time, do not make it one.
func (n *Node) keepTypes() {
	if !n.leads() || n.catalog.told == nil || n.catalog.busy || n.sinceContact(time.Now()) > 2*time.Second {
		return
	}
	timeless := func(types []protocol.MachineType) string {
		out := slices.Clone(types)
		for i := range out {
			out[i].Price, out[i].SpotPrice = 0, 0
		}
		slices.SortFunc(out, func(a, b protocol.MachineType) int { return compareNames(a.Name, b.Name) })
		return string(mustJSON(out))
	}
	w := storage.Write{Put: protocol.CatalogKey, Value: mustJSON(protocol.CatalogRecord{Types: n.catalog.told})}
	if timeless(n.catalog.told) == timeless(n.catalog.stored) || float64(len(w.Value)) > n.cfg.Params.State.ValueKB*1024 {
		return
	}
	n.catalog.busy = true
	n.submitTo(n.books, &storage.Op{Conds: []storage.Cond{n.cond(protocol.HolderKey(0)), n.cond(protocol.CatalogKey)}, Writes: []storage.Write{w}},
		func(storage.Result) { n.catalog.busy = false })
}

func (n *Node) learnTypes(types []protocol.MachineType) {
	if len(n.types) == 0 {
		for _, s := range Shortages(n.cfg, types) {
			n.log.Warn("settings can hardly be met", "why", s)
		}
	}
	for i := range types {
		n.types[types[i].Name] = &types[i]
	}
	n.touchAll()
	n.replan = true
}
