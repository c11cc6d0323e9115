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

// CloudService is the part of the cloud's API that the node uses.
type CloudService interface {
	Catalog(ctx context.Context) ([]protocol.MachineType, error)
	Rent(ctx context.Context, r protocol.RentRequest) ([]string, error)
	Return(ctx context.Context, names []string) error
	List(ctx context.Context) ([]protocol.ListedMachine, error)
}

// Workers sends requests directly to workers.
type Workers interface {
	// Command sends orders and returns the worker's report. executed is false if the worker
	// refused the orders because of their token or session.
	Command(ctx context.Context, addr string, o protocol.Orders) (r *protocol.Report, executed bool, err error)
	// Inspect requests the worker's report.
	Inspect(ctx context.Context, addr string) (*protocol.Report, error)
}

// Node is one controller. Only the actor goroutine may use the fields below mailbox, except
// those of an atomic type and those whose comment allows others to read them.
type Node struct {
	cfg     *protocol.Settings
	log     *slog.Logger
	store   storage.Service
	cloud   CloudService
	workers Workers
	// SiteDaemonHost is the host of the site's daemon. Only that host may submit gateway jobs to
	// this node; if it is empty, none may.
	SiteDaemonHost string
	// LookUpGatewayJob, if set, asks the site's daemon whether a job belongs to the gateway, and
	// for its status.
	LookUpGatewayJob func(ctx context.Context, id string) (s protocol.JobStatus, known bool, err error)
	// SetLogLevel, if set, is called with the log level that the operators' policy sets, if it
	// sets one.
	SetLogLevel func(l slog.Level, chosen bool)
	// ClosedConnections, if set, returns how many connections of workers were closed so far
	// without being served because the node was serving its maximum.
	ClosedConnections func() int64
	// OnLoaded, if set, is called once the replica has been loaded: from then on the node can
	// answer requests.
	OnLoaded func()
	// AskPeer, if set, sends a question to another controller and returns its answer.
	AskPeer             func(ctx context.Context, node string, question []byte) ([]byte, error)
	userCommitter       *storage.Committer         // commits changes that a user waits for
	urgentCommitter     *storage.Committer         // commits other urgent changes: starts, ends of jobs, partition ownership
	backgroundCommitter *storage.Committer         // commits everything else
	rateLimiter         *storage.RateLimiter       // limits the rate of all changes
	pendingWrites       map[*storage.Committer]int // writes of jobs in flight, by committer
	rng                 *rand.Rand

	startedAt       time.Time
	lastContact     atomic.Int64  // when the last state call that was answered was sent, relative to startedAt
	watchTimeout    atomic.Int64  // how long a watch request waits for changes
	watchWake       chan struct{} // ends the pause between watch requests; see wakeWatch
	replicaRevision uint64        // revision of the replica; other goroutines read it atomically
	mailbox         chan func()   // functions for the actor to run
	wg              sync.WaitGroup
	ctx             context.Context

	peers               map[string]*peer
	loaded              bool                      // the replica has been loaded once
	revisions           map[string]uint64         // revision of each key in the replica
	orphanChunks        map[string]protocol.Chunk // chunks without a head record, by key
	orphanSweep         orphanSweep               // removal of orphan chunks whose job has ended
	jobs                map[string]*job
	finalJobs           *finalCache
	machines            map[string]*machine
	batches             map[string]*batch // batches of machine records, by key
	partitions          []*partition
	teams               []*team
	teamIndex           map[string]int
	tokenCounter        uint64               // highest fencing token issued, as stored
	liveNodes           map[string]time.Time // nodes with a live record, and when each was first seen
	olderNodes          map[string]bool      // live nodes that confirm the cancellation of a ticket before its tasks have ended
	nodesWithoutEntries map[string]bool      // live nodes whose version can't read packed entries
	nodesWithoutLoans   map[string]bool      // live nodes whose version can't run tasks on lent capacity
	loans               loanState            // loans.go: capacity that partitions lend to one another
	lease               uint64               // this node's lease; 0: none
	machineTypes        map[string]*protocol.MachineType
	catalog             catalog

	dirty              map[*job]bool       // jobs with outcomes or placements to be stored
	tombstones         map[string]struct{} // keys known to be deleted, kept until the watch has passed their revision
	dueAnswers         dueHeap             // when to answer deferred reports
	replan             bool
	nextPlan           time.Time            // planning may use only a part of the node's time
	pendingUserChanges int                  // changes in flight that a user waits for
	userChanges        []*userChange        // userchanges.go: changes that can be verified and whose user still waits
	userChangeLatency  statusread.Estimator // estimate of how long changes for users take to be stored
	pendingStarts      map[*machine]bool    // machines with placements stored since the last attempt to start them directly
	directStarts       int                  // direct starts in flight
	nextRetrySlot      time.Time            // when the next rejected user should retry
	lastMove           time.Time
	lastMachineTick    time.Time
	lastStatusLog      time.Time
	lastRelease        time.Time   // when this node last released a partition
	siteLease          *siteLease  // permission to run gateway jobs; nil: none may run
	tickets            ticketState // render-farm tickets; see tickets.go
	completeRevision   uint64      // revision up to which the replica is complete
	completeAt         time.Time   // latest time at which the replica is known to have been complete
	policy             Policy
	metrics            *Metrics
	endedJobs          []EndedJob // jobs that ended recently

	statusReads   statusread.Queue[*statusRead] // users.go: status reads that wait for a read barrier
	changeDemand  changeDemand                  // partitions.go: the rate of changes that this node needs
	planningFacts planningFacts                 // facts.go: the input of decisions
	cloudState    cloudState                    // machines.go: requests to the cloud, and machines without a record
	reachability  reachability                  // reachability.go, peers.go: whether workers and zones can be reached
	account       account                       // account.go: history of ended jobs
	cacheHints    cacheHints                    // peers.go: image caches that the next hints report
	loadControl   loadControl                   // reconcile.go: orders limited by a budget, and this node's load
	standby       standbyState                  // standby.go: which nodes are standbys of which partitions
	corruptKeys   map[string]uint64             // corrupt.go: keys whose stored value can't be decoded, with its revision
	cancelling    map[*job]bool                 // cancels.go: jobs that are being cancelled
	cancelWaiters []cancelWaiter                // cancels.go: users who wait until the job that they cancelled has ended
	changeCounts  changeCounts                  // changecounts.go: number of changes by purpose
	adoption      *duty.Adoption                // adopt.go: adoption of machines without a record
	rentalFence   protocol.RentalFenceRecord    // fence under which rentals are recorded
	freshCluster  bool                          // the state service held no partition owner when this node first read it
	packed        packedState                   // packed.go: entries that store many jobs in one change
	incarnations  incarnations                  // incarnations.go: this and other processes that use this node's name
}

// catalog is the catalogue of machine types, from its two sources.
type catalog struct {
	fromCloud []protocol.MachineType // as the cloud last returned it; nil: not read yet
	stored    []protocol.MachineType
	storing   bool // a change of the stored catalogue is in flight
}

// changeDemand is from what this node's part of the total rate of changes is computed.
type changeDemand struct {
	perSecond     atomicFloat // changes per second that this node would make without a limit
	lastUpdate    time.Time
	lastRequested int64
}

// planningFacts is the decisions' view of the machines; see facts.go.
type planningFacts struct {
	index            *decide.Index
	staleMachines    []*machine      // machines whose facts must be rebuilt
	gatewayClosed    bool            // whether gateway jobs were blocked when the facts were last refreshed
	gpuTypesInDemand map[string]bool // machine types that jobs which need GPUs could use
	gpuTypesAt       time.Time       // when gpuTypesInDemand was computed
}

// cloudState is what the node knows of its requests to the cloud.
type cloudState struct {
	rentalSeq     uint64
	nextRequest   time.Time // when the cloud's rate limit allows another rental request
	wantedSince   time.Time // since when machines are needed for which no request was sent
	refusedUntil  map[offer]time.Time
	refusalsInRow map[offer]int     // consecutive refusals of each offer
	requested     map[rentalKey]int // machines requested and not yet recorded
	listing       bool
	lastList      time.Time
	unrecorded    map[string]time.Time // machines without a record that were listed or that reported, by first sighting
	returned      map[string]time.Time // machines that were returned to the cloud, and when
}

// reachability is the node's knowledge of whether it can reach workers and zones.
type reachability struct {
	lastActive          time.Time   // when the actor last ran
	stallEnded          time.Time   // when the actor last resumed after a stall
	lastRejection       time.Time   // when this node last refused connections
	rejectedConnections int64       // number of refused connections at that time
	lastWorkerContact   time.Time   // when a worker last reported or answered
	workersUnreachable  atomic.Bool // no worker can be reached
	pendingProbes       int         // requests for reports in flight
	lastProbe           time.Time
	zoneUnreachableAt   map[string]time.Time // when each zone was last found unreachable
}

// cacheHints is what the next hints tell peers of the machines' image caches.
type cacheHints struct {
	caches      atomic.Pointer[[]protocol.ImageCache] // other goroutines read it
	lastUpdate  time.Time
	nextMachine int
}

// atomicFloat is a float64 that other goroutines may read.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) Load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) Store(v float64) { f.bits.Store(math.Float64bits(v)) }

// team is a team of users with its limits, and the index of the partition that runs its jobs.
type team struct {
	decide.Team
	partition int
}

// partition is a set of teams' jobs and the machines for them. One controller at a time owns it
// and decides on it.
type partition struct {
	index              int
	owner              protocol.OwnerRecord // Token 0: no owner
	vacantSince        time.Time
	acquiredAt         time.Time             // when this node became the owner
	ownerChangePending bool                  // a change of the owner record is being stored
	unconfirmedOwner   *protocol.OwnerRecord // names this node, but the replica is not yet complete up to that record
	jobs               []*job                // unfinished jobs, by priority and arrival
	machines           []*machine            // machines with a record, by name
	nextRent           time.Time             // when to decide on rentals again
	window             *decide.Window
	recentArrivals     []arrival             // arrivals seen by this node, also while it was not the owner
	reconciliation     *start.Reconciliation // while owned: which machines have reported under the current token; see reconcile.go
	previousOwner      string                // node that owned it before
	takeover           takeover              // while owned: how this node became the owner; see standby.go
	newJobs            []*job                // jobs that the window has not counted yet
	log                *packed.Ring          // entries of the partition's log
	pendingAppend      *logAppend            // log entry that is being stored
	lastAppend         time.Time             // when the last append began
	pendingRecords     int                   // records of single jobs that are being stored
}

// New returns a node that runs until ctx ends. The caller starts it with Run.
func New(ctx context.Context, cfg *protocol.Settings, log *slog.Logger, store storage.Service, cloud CloudService, workers Workers, seed uint64) *Node {
	limiter := storage.NewRateLimiter(cfg.Params.State, cfg.Params.Nodes)
	n := &Node{
		ctx: ctx, cfg: cfg, log: log, store: store, cloud: cloud, workers: workers,
		rateLimiter:         limiter,
		userCommitter:       storage.NewCommitter(store, cfg.Params.State.TxnOps, limiter, storage.UserPriority),
		urgentCommitter:     storage.NewCommitter(store, cfg.Params.State.TxnOps, limiter, storage.UrgentPriority),
		backgroundCommitter: storage.NewCommitter(store, cfg.Params.State.TxnOps, limiter, storage.BackgroundPriority),
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
	n.olderNodes, n.nodesWithoutLoans = map[string]bool{}, map[string]bool{}
	n.loans = newLoanState()
	n.watchTimeout.Store(int64(longWatchTimeout))
	n.packed = newPackedState()
	n.userCommitter.OnAnswered, n.urgentCommitter.OnAnswered, n.backgroundCommitter.OnAnswered = n.changeCounts.add, n.changeCounts.add, n.changeCounts.add
	n.reachability.zoneUnreachableAt = map[string]time.Time{}
	n.standby.standbys, n.standby.suspicions, n.standby.presumedEnded = map[int]standby.Standbys{}, standby.NewSuspicions(), map[string]time.Time{}
	n.incarnations.ownLeases, n.incarnations.leaseOf = map[uint64]bool{}, map[string]uint64{}
	n.account = newAccount(AccountSettings{}, time.Now())
	n.peers = map[string]*peer{}
	for _, s := range cfg.Siblings {
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
	for i, partitionIndex := range decide.AssignPartitions(guarantees, count) {
		t := cfg.Params.Teams[i]
		n.teamIndex[t.Name] = i
		n.teams = append(n.teams, &team{partition: partitionIndex, Team: decide.Team{Name: t.Name,
			Guarantee: Resources{CPUs: t.CPUs, GPUs: t.GPUs}, Limit: Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax}}})
	}
	for i := range count {
		n.partitions = append(n.partitions, &partition{index: i, window: decide.NewWindow(n.policy.Window), log: packed.NewRing(ringSlots)})
	}
	n.planningFacts.index, n.planningFacts.gatewayClosed = decide.NewIndex(count, len(n.teams)), true
	n.loadControl.budget = start.NewBudget(start.Limits{Cores: cfg.Params.Quota.Cores, Sockets: cfg.Params.Quota.FDLimit}, n.startedAt)
	return n
}

// RecordContact records that the state service answered a call that was sent at t.
func (n *Node) RecordContact(t time.Time) {
	at := int64(t.Sub(n.startedAt))
	for {
		old := n.lastContact.Load()
		if at <= old || n.lastContact.CompareAndSwap(old, at) {
			return
		}
	}
}

// sinceContact returns the time since the last answered state call was sent.
func (n *Node) sinceContact(now time.Time) time.Duration {
	return now.Sub(n.startedAt) - time.Duration(n.lastContact.Load())
}

// post queues f to be run by the actor.
func (n *Node) post(f func()) {
	select {
	case n.mailbox <- f:
	case <-n.ctx.Done():
	}
}

// spawn runs f in a goroutine that Run waits for.
func (n *Node) spawn(f func(ctx context.Context)) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f(n.ctx)
	}()
}

// Run runs the actor until the node's context ends, and waits for the goroutines that it started.
func (n *Node) Run() {
	ctx := n.ctx
	n.spawn(n.userCommitter.Run)
	n.spawn(n.urgentCommitter.Run)
	n.spawn(n.backgroundCommitter.Run)
	n.spawn(n.maintainLease)
	n.spawn(n.maintainReplica)
	n.spawn(n.maintainCatalog)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case f := <-n.mailbox:
			n.detectStall(time.Now())
			f()
			// Run everything that is queued before deciding anything.
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

// processPendingWork plans placements, stores changes and answers requests as far as the events
// since its last run allow it.
func (n *Node) processPendingWork(now time.Time) {
	if !n.loaded {
		return
	}
	if n.replan && !now.Before(n.nextPlan) {
		n.replan = false
		n.plan(now)
		// With a thousand machines planning must not take all of a small controller's time
		// while workers and users wait: three quarters of the time stay free for them.
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

// tick runs what is due by time alone.
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
	n.tickLoans(now)
}

// maintainCatalog reads the cloud's catalogue every minute; after a failure it retries in two seconds.
func (n *Node) maintainCatalog(ctx context.Context) {
	for ctx.Err() == nil {
		types, err := n.cloud.Catalog(ctx)
		wait := time.Minute
		if err != nil {
			n.log.Info("reading the catalogue failed", "why", err)
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

// applyCatalog uses the catalogue that the cloud returned.
func (n *Node) applyCatalog(types []protocol.MachineType) {
	n.catalog.fromCloud = types
	n.addMachineTypes(types)
}

// applyStoredCatalog uses the stored catalogue until the cloud has returned its own. Without it a
// node that started while the cloud was down knew no machine types, so it could neither accept nor
// place jobs: after all controllers had ended during an outage of the cloud, every submission was
// answered with 503 for 11 s longer than necessary.
func (n *Node) applyStoredCatalog(types []protocol.MachineType) {
	n.catalog.stored = types
	if n.catalog.fromCloud == nil && len(types) > 0 {
		n.log.Info("using the stored catalogue", "types", len(types))
		n.addMachineTypes(types)
	}
}

// storeCatalog lets the leader store the catalogue when it has changed. Prices are ignored, as they
// change all the time.
func (n *Node) storeCatalog() {
	if !n.isLeader() || n.catalog.fromCloud == nil || n.catalog.storing || n.sinceContact(time.Now()) > 2*time.Second {
		return
	}
	withoutPrices := func(types []protocol.MachineType) string {
		out := slices.Clone(types)
		for i := range out {
			out[i].Price, out[i].SpotPrice = 0, 0
		}
		slices.SortFunc(out, func(a, b protocol.MachineType) int { return compareNames(a.Name, b.Name) })
		return string(mustJSON(out))
	}
	w := storage.Write{Put: protocol.CatalogKey, Value: mustJSON(protocol.CatalogRecord{Types: n.catalog.fromCloud})}
	if withoutPrices(n.catalog.fromCloud) == withoutPrices(n.catalog.stored) || float64(len(w.Value)) > n.cfg.Params.State.ValueKB*1024 {
		return
	}
	n.catalog.storing = true
	n.submitTo(n.backgroundCommitter, &storage.Op{Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(0)), n.unchanged(protocol.CatalogKey)}, Writes: []storage.Write{w}},
		func(storage.Result) { n.catalog.storing = false })
}

// addMachineTypes adds types to the known ones, or updates them.
func (n *Node) addMachineTypes(types []protocol.MachineType) {
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
