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
	// SiteDaemonHost is the host of the site's daemon, which alone may hand this node jobs of
	// the gateway; empty: nobody may.
	SiteDaemonHost string
	// Known, if set, asks the site's daemon whether a job is the gateway's, and how it is.
	LookUpGatewayJob func(ctx context.Context, id string) (s protocol.JobStatus, known bool, err error)
	// SetLevel, if set, is told the log level that operators chose, if any.
	SetLogLevel func(l slog.Level, chosen bool)
	// Closed, if set, is how many workers' connections were closed at once so far, since
	// others were being served.
	ClosedConnections func() int64
	// OnLoaded, if set, is told when the replica has been read once: from then on the
	// node can answer.
	OnLoaded func()
	// AskPeer, if set, asks another controller a question and returns its answer.
	AskPeer             func(ctx context.Context, node string, question []byte) ([]byte, error)
	userCommitter       *storage.Committer         // changes that a user waits for
	urgentCommitter     *storage.Committer         // others that somebody waits for
	backgroundCommitter *storage.Committer         // everything else
	rateLimiter         *storage.RateLimiter       // of all
	pendingWrites       map[*storage.Committer]int // writes of jobs under way
	rng                 *rand.Rand

	startedAt       time.Time
	lastContact     atomic.Int64  // when the last answered store call was sent, since started
	watchTimeout    atomic.Int64  // how long a watch waits for changes
	watchWake       chan struct{} // ends the pause of the watch; see hastenWatch
	replicaRevision uint64        // revision of the replica; read atomically by others
	mailbox         chan func()
	wg              sync.WaitGroup
	ctx             context.Context

	peers               map[string]*peer
	loaded              bool // the replica has been read once
	revisions           map[string]uint64
	orphanChunks        map[string]protocol.Chunk // chunks whose head is not there (yet)
	orphanSweep         orphanSweep               // of those whose job is over
	jobs                map[string]*job
	finalJobs           *finalCache
	machines            map[string]*machine
	batches             map[string]*batch // of machines, by key
	partitions          []*partition
	teams               []*team
	teamIndex           map[string]int
	tokenCounter        uint64
	liveNodes           map[string]time.Time // live nodes and since when
	olderNodes          map[string]bool      // of those: of an earlier version of the records
	nodesWithoutEntries map[string]bool      // and of one that knows no entries
	lease               uint64
	machineTypes        map[string]*protocol.MachineType
	catalog             catalog

	dirty              map[*job]bool       // jobs with facts or placements to store
	tombstones         map[string]struct{} // keys known to be deleted, until the watch has passed them
	dueAnswers         dueHeap             // when parked reports are to be answered
	replan             bool
	nextPlan           time.Time            // planning takes only a part of the node's time
	pendingUserChanges int                  // users' changes under way
	userChanges        []*userChange        // userchanges.go: those that a user still waits for
	userChangeLatency  statusread.Estimator // how long users' changes take to be stored
	pendingStarts      map[*machine]bool    // machines with starts just stored
	directStarts       int                  // direct starts under way
	nextRetrySlot      time.Time            // when the next user turned away should come back
	lastMove           time.Time
	lastMachineTick    time.Time
	lastStatusLog      time.Time
	lastRelease        time.Time
	siteLease          *siteLease  // of jobs of the gateway; nil: none may run
	tickets            ticketState // render-farm tickets; see tickets.go
	completeRevision   uint64      // revision up to which the replica is complete
	completeAt         time.Time   // when it last was, at least
	policy             Policy
	metrics            *Metrics
	endedJobs          []EndedJob

	statusReads   statusread.Queue[*statusRead] // users.go: questions about jobs that wait to be compared with the store
	changeDemand  changeDemand                  // shares.go: this node's part of the rate of changes
	planningFacts planningFacts                 // facts.go: what decisions see
	cloudState    cloudState                    // machines.go: what is under way with the cloud
	reachability  reachability                  // sight.go, peers.go: whom this node hears
	account       account                       // account.go: what ended, and how it went
	cacheHints    cacheHints                    // peers.go: what it tells of machines' caches
	loadControl   loadControl                   // square.go: what is ordered under a budget
	standby       standbyState                  // standby.go: who stands by for whom
	corruptKeys   map[string]uint64             // corrupt.go: stored values that are not understood, and their stamps
	cancelling    map[*job]bool                 // cancels.go: jobs that are being cancelled
	cancelWaiters []cancelWaiter                // cancels.go: users who wait for the end of what they cancel
	changeCounts  changeCounts                  // spending.go: where changes went
	adoption      *duty.Adoption                // adopt.go: of machines without a record
	rentalFence   protocol.RentalFenceRecord    // under which rentals are recorded
	freshCluster  bool                          // nobody had held anything when this node first read the store
	packed        packedState                   // packed.go: many jobs in one change
	incarnations  incarnations                  // lives.go: this process and others of the same name
}

// catalog is where the types are known from.
type catalog struct {
	fromCloud []protocol.MachineType // by the cloud; nil: not yet
	stored    []protocol.MachineType
	storing   bool // it is being stored
}

// changeDemand is what this node's part of the rate of changes is made of.
type changeDemand struct {
	perSecond     atomicFloat // changes a second that this node would make
	lastUpdate    time.Time
	lastRequested int64
}

// planningFacts is what decisions see of the machines; see facts.go.
type planningFacts struct {
	index            *decide.Index
	staleMachines    []*machine      // those whose facts are to be made anew
	gatewayClosed    bool            // as the facts have it
	gpuTypesInDemand map[string]bool // types that work with GPUs could use
	gpuTypesAt       time.Time       // when that was last made
}

// cloudState is what is under way with the cloud.
type cloudState struct {
	rentalSeq     uint64
	nextRequest   time.Time // when the cloud's rate allows another request
	wantedSince   time.Time // since when machines are wanted that were not asked for
	refusedUntil  map[offer]time.Time
	refusalsInRow map[offer]int     // in a row
	requested     map[rentalKey]int // machines asked for
	listing       bool
	lastList      time.Time
	unrecorded    map[string]time.Time // unrecorded machines that were listed or heard, first seen
	returned      map[string]time.Time // machines that are gone for good
}

// reachability are whom this node hears.
type reachability struct {
	lastActive          time.Time   // when the actor last did something
	stallEnded          time.Time   // when it last had stood still
	lastRejection       time.Time   // when it last turned connections away
	rejectedConnections int64       // how many, by then
	lastWorkerContact   time.Time   // when a worker was last heard
	workersUnreachable  atomic.Bool // no worker is heard
	pendingProbes       int         // workers being asked how they are
	lastProbe           time.Time
	zoneUnreachableAt   map[string]time.Time // zones: when last found unreachable
}

// cacheHints is what the next hints tell of machines' caches.
type cacheHints struct {
	caches      atomic.Pointer[[]protocol.ImageCache] // read by other routines
	lastUpdate  time.Time
	nextMachine int
}

// atomicFloat is a number that other routines read.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) Load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) Store(v float64) { f.bits.Store(math.Float64bits(v)) }

type team struct {
	decide.Team
	partition int
}

type partition struct {
	index              int
	owner              protocol.OwnerRecord // Token 0: nobody
	vacantSince        time.Time
	acquiredAt         time.Time             // when this node took it
	ownerChangePending bool                  // a change of the holder is being stored
	unconfirmedOwner   *protocol.OwnerRecord // names this node, which does not know yet all that was stored before
	jobs               []*job                // unfinished, by priority and arrival
	machines           []*machine            // recorded, by name
	nextRent           time.Time             // when to look again at what to rent
	window             *decide.Window
	recentArrivals     []arrival             // seen by this node, whoever held the share
	reconciliation     *start.Reconciliation // while held: how far its machines have spoken; see square.go
	previousOwner      string                // who held it before
	takeover           takeover              // while held: how it came here; see standby.go
	newJobs            []*job                // that its window has not counted
	log                *packed.Ring          // what its log tells
	pendingAppend      *logAppend            // an entry of it that is being stored
	lastAppend         time.Time             // when that last began
	pendingRecords     int                   // records of single jobs that are being stored
}

// New makes a node that lives until ctx ends. The caller runs it with Run.
func New(ctx context.Context, cfg *protocol.Settings, log *slog.Logger, store storage.Service, cloud CloudService, workers Workers, seed uint64) *Node {
	pace := storage.NewRateLimiter(cfg.Params.State, cfg.Params.Nodes)
	n := &Node{
		ctx: ctx, cfg: cfg, log: log, store: store, cloud: cloud, workers: workers,
		rateLimiter:         pace,
		userCommitter:       storage.NewCommitter(store, cfg.Params.State.TxnOps, pace, storage.UserPriority),
		urgentCommitter:     storage.NewCommitter(store, cfg.Params.State.TxnOps, pace, storage.UrgentPriority),
		backgroundCommitter: storage.NewCommitter(store, cfg.Params.State.TxnOps, pace, storage.BackgroundPriority),
		pendingWrites:       map[*storage.Committer]int{},
		rng:                 rand.New(rand.NewPCG(seed, 1)),
		startedAt:           time.Now(), mailbox: make(chan func(), 1024), watchWake: make(chan struct{}, 1),
		revisions: map[string]uint64{}, orphanChunks: map[string]protocol.Chunk{}, jobs: map[string]*job{}, finalJobs: newFinalCache(50000),
		machines: map[string]*machine{}, batches: map[string]*batch{}, teamIndex: map[string]int{}, liveNodes: map[string]time.Time{},
		machineTypes: map[string]*protocol.MachineType{}, dirty: map[*job]bool{}, pendingStarts: map[*machine]bool{}, tombstones: map[string]struct{}{},
		policy:     DefaultPolicy(),
		cloudState: cloudState{refusedUntil: map[offer]time.Time{}, refusalsInRow: map[offer]int{}, requested: map[rentalKey]int{}, unrecorded: map[string]time.Time{}, returned: map[string]time.Time{}},
	}
	n.corruptKeys = map[string]uint64{}
	n.cancelling = map[*job]bool{}
	n.adoption, n.nodesWithoutEntries = duty.NewAdoption(), map[string]bool{}
	n.olderNodes = map[string]bool{}
	n.watchTimeout.Store(int64(longWatchTimeout))
	n.packed = newPacking()
	n.userCommitter.OnAnswered, n.urgentCommitter.OnAnswered, n.backgroundCommitter.OnAnswered = n.changeCounts.add, n.changeCounts.add, n.changeCounts.add
	n.reachability.zoneUnreachableAt = map[string]time.Time{}
	n.standby.standbys, n.standby.suspicions, n.standby.presumedEnded = map[int]standby.Standbys{}, standby.NewSuspicions(), map[string]time.Time{}
	n.incarnations.ownLeases, n.incarnations.leaseOf = map[uint64]bool{}, map[string]uint64{}
	n.account = newAccount(AccountSettings{}, time.Now())
	n.peers = map[string]*peer{}
	for _, s := range cfg.Peers {
		n.peers[s.Node] = &peer{zone: s.Zone}
	}
	classes := map[string]bool{}
	for _, o := range cfg.Params.Aims {
		classes[o.Class] = true
	}
	n.metrics = newMetrics(classes)
	n.tickets = newTicketState(cfg.Params.State.TxnOps)
	n.lastContact.Store(-int64(time.Hour))
	n.cacheHints.caches.Store(&[]protocol.ImageCache{})
	var guarantees []float64
	for _, t := range cfg.Params.Teams {
		guarantees = append(guarantees, max(t.GPUs, t.CPUs/8))
	}
	count := max(1, min(cfg.Params.Nodes, len(guarantees)))
	for i, s := range decide.AssignPartitions(guarantees, count) {
		t := cfg.Params.Teams[i]
		n.teamIndex[t.Name] = i
		n.teams = append(n.teams, &team{partition: s, Team: decide.Team{Name: t.Name,
			Guarantee: Resources{CPUs: t.CPUs, GPUs: t.GPUs}, Limit: Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax}}})
	}
	for i := range count {
		n.partitions = append(n.partitions, &partition{index: i, window: decide.NewWindow(n.policy.Window), log: packed.NewRing(ringSlots)})
	}
	n.planningFacts.index, n.planningFacts.gatewayClosed = decide.NewIndex(count, len(n.teams)), true
	n.loadControl.budget = start.NewBudget(start.Limits{Cores: cfg.Params.Quota.Cores, Sockets: cfg.Params.Quota.FDLimit}, n.startedAt)
	return n
}

// RecordContact notes that the state service answered a call sent at t.
func (n *Node) RecordContact(t time.Time) {
	at := int64(t.Sub(n.startedAt))
	for {
		old := n.lastContact.Load()
		if at <= old || n.lastContact.CompareAndSwap(old, at) {
			return
		}
	}
}

// sinceContact is how long ago the last answered call was sent.
func (n *Node) sinceContact(now time.Time) time.Duration {
	return now.Sub(n.startedAt) - time.Duration(n.lastContact.Load())
}

// post hands f to the actor.
func (n *Node) post(f func()) {
	select {
	case n.mailbox <- f:
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
	n.spawn(n.userCommitter.Run)
	n.spawn(n.urgentCommitter.Run)
	n.spawn(n.backgroundCommitter.Run)
	n.spawn(n.maintainLease)
	n.spawn(n.maintainReplica)
	n.spawn(n.keepCatalog)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case f := <-n.mailbox:
			n.detectStall(time.Now())
			f()
			// Drain what has queued up before deciding anything.
			for more := true; more; {
				select {
				case f := <-n.mailbox:
					f()
				default:
					more = false
				}
			}
			n.processPendingWork(time.Now())
			n.reachability.lastActive = time.Now()
		case due := <-tick.C:
			now := time.Now()
			n.detectStall(now)
			n.metrics.actorLag.Observe(now.Sub(due).Seconds())
			n.loadControl.budget.ObserveLag(now, now.Sub(due))
			n.metrics.backlog.Set(float64(n.totalPendingWrites() + n.pendingUserChanges + n.statusReads.Len()))
			n.tick(now)
			n.processPendingWork(now)
		}
	}
	n.wg.Wait()
}

// processPendingWork turns new facts into placements and stored changes.
func (n *Node) processPendingWork(now time.Time) {
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
	n.reconcileTickets(now)
	n.flush(now)
	n.flushInbox(now)
	n.confirmAccepted(now)
	n.answerDueReports(now)
	for m := range n.pendingStarts {
		if n.tryDirectStart(m, now) {
			delete(n.pendingStarts, m)
		}
	}
	n.checkUserChanges(now)
	n.sendReadBarrier(now)
}

// tick does what is due by time alone.
func (n *Node) tick(now time.Time) {
	if !n.loaded {
		return
	}
	n.expireCancelWaiters(now)
	n.watchTimeout.Store(int64(longWatchTimeout))
	if !n.confirmsCancelAfterStop() {
		n.watchTimeout.Store(int64(shortWatchTimeout))
	}
	n.tickFormat(now)
	n.removeLeftovers(now)
	n.tickPartitions(now)
	n.tickReconciliations(now)
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
			n.post(func() { n.applyCatalog(types) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// applyCatalog takes in the catalogue as the cloud tells it.
func (n *Node) applyCatalog(types []protocol.MachineType) {
	n.catalog.fromCloud = types
	n.learnTypes(types)
}

// applyStoredCatalog takes in the catalogue as it was stored, until the cloud tells it: a node
// that started while the cloud was down knew no type, and so could neither accept nor
// place anything. (On a simulated day all controllers ended within an outage of the cloud,
// and for 11 s longer than needed every submission was answered 503.)
func (n *Node) applyStoredCatalog(types []protocol.MachineType) {
	n.catalog.stored = types
	if n.catalog.fromCloud == nil && len(types) > 0 {
		n.log.Info("catalogue as it was stored is used", "types", len(types))
		n.learnTypes(types)
	}
}

// storeCatalog lets the leader store the catalogue when it is another one; prices alone, which
// change all the time, do not make it one.
func (n *Node) storeCatalog() {
	if !n.isLeader() || n.catalog.fromCloud == nil || n.catalog.storing || n.sinceContact(time.Now()) > 2*time.Second {
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
	w := storage.Write{Put: protocol.CatalogKey, Value: mustJSON(protocol.CatalogRecord{Types: n.catalog.fromCloud})}
	if timeless(n.catalog.fromCloud) == timeless(n.catalog.stored) || float64(len(w.Value)) > n.cfg.Params.State.ValueKB*1024 {
		return
	}
	n.catalog.storing = true
	n.submitTo(n.backgroundCommitter, &storage.Op{Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(0)), n.unchanged(protocol.CatalogKey)}, Writes: []storage.Write{w}},
		func(storage.Result) { n.catalog.storing = false })
}

func (n *Node) learnTypes(types []protocol.MachineType) {
	if len(n.machineTypes) == 0 {
		for _, s := range Shortages(n.cfg, types) {
			n.log.Warn("settings can hardly be met", "why", s)
		}
	}
	for i := range types {
		n.machineTypes[types[i].Name] = &types[i]
	}
	n.markAllStale()
	n.replan = true
}
