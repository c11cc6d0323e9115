package node

import (
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/standby"
	"dapplestage.example/dapplestage/internal/coordination/start"
)

// The actor's part in reconciling a partition after taking it over: it tells package start what
// is reported, and does what package start allows. Only this file uses a partition's
// reconciliation and the orders under the budget; see docs/start.md.

// loadControl is the budget for orders, and what the node knows of its own load.
type loadControl struct {
	budget          *start.Budget
	followingSince  time.Time // since when it has seen jobs arrive
	overloadLapses  int       // consecutive times that its lease expired because of its own load
	lastLapse       time.Time // when that last happened
	maxPartitions   int       // partitions that it may own for a while after that
	peakIdleUnknown int       // maximum number of spare machines whose idle time is unknown
	lastIdleReturn  time.Time // when one of them was last returned

	reportedGiven, reportedHeld [start.OrderKinds]int // last values in the metrics

	workerAddrs   atomic.Pointer[map[netip.Addr]bool] // read by other goroutines; false: ambiguous or loopback
	workerAddrsAt time.Time                           // when the addresses were last updated
}

// workerAddrsInterval is how often the addresses of the machines are updated.
const workerAddrsInterval = 2 * time.Second

// updateWorkerAddrs updates the addresses of the machines, which identify the connections of
// workers among new connections. An address that several machines share identifies none.
func (n *Node) updateWorkerAddrs(now time.Time) {
	if now.Sub(n.loadControl.workerAddrsAt) < workerAddrsInterval {
		return
	}
	n.loadControl.workerAddrsAt = now
	addrs := make(map[netip.Addr]bool, len(n.machines))
	for _, m := range n.machines {
		if ap, err := netip.ParseAddrPort(m.addr); err == nil {
			_, shared := addrs[ap.Addr()]
			addrs[ap.Addr()] = !shared && !ap.Addr().IsLoopback()
		}
	}
	n.loadControl.workerAddrs.Store(&addrs)
}

// FromWorker reports whether an address belongs to a worker. It may be called from any goroutine.
func (n *Node) FromWorker(a netip.Addr) bool {
	addrs := n.loadControl.workerAddrs.Load()
	return addrs != nil && (*addrs)[a]
}

// maxReportGrace is how long a new owner waits for reports before it calls workers. Workers
// without a controller try the next one after a second, so when all controllers were down nearly
// all workers have reported by then.
const maxReportGrace = 1200 * time.Millisecond

// seconds converts a number of seconds into a duration.
func (n *Node) seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// beginReconciliation starts the reconciliation of a partition that was just taken over.
func (n *Node) beginReconciliation(p *partition, now time.Time) {
	params := n.cfg.Params.Workers
	var facts []start.MachineFacts
	for _, m := range p.machines {
		if n.expectedToReport(m) {
			facts = append(facts, n.reconcileFacts(m))
		}
	}
	n.loadControl.budget.ResetForTakeover(now)
	grace := min(maxReportGrace, n.seconds(params.ReportS)/2)
	if p.takeover.cause == standby.HandedOver {
		grace = 0 // its workers still have a controller and report at their usual interval
	}
	p.reconciliation = start.BeginReconciliation(start.Timing{ReportInterval: n.seconds(params.ReportS), GracePeriod: grace}, now, facts)
}

// expectedToReport reports whether a machine's silence means anything: it is known to be up, or
// tasks are recorded on it. Machines that still boot are not waited for.
func (n *Node) expectedToReport(m *machine) bool {
	return m.recorded && !m.returned && (m.rec.Addr != "" || len(m.tasks) > 0)
}

// reconcileFacts returns what package start needs to know of a machine.
func (n *Node) reconcileFacts(m *machine) start.MachineFacts {
	f := start.MachineFacts{Name: m.name, Rank: start.Empty, HasAddress: m.addr != ""}
	if !m.lastReport.IsZero() {
		f.LeaseExpiry = m.lastReport.Add(n.seconds(n.cfg.Params.Workers.LeaseS))
	}
	for k := range m.tasks {
		switch {
		case k.job.rank == 0:
			f.Rank = start.Critical
		case !n.unguaranteed(k.job):
			f.Rank = min(f.Rank, start.Guaranteed)
		default:
			f.Rank = min(f.Rank, start.Unguaranteed)
		}
	}
	return f
}

// addToReconciliation adds a machine that was moved to an owned partition.
func (n *Node) addToReconciliation(p *partition, m *machine) {
	if !m.fenced && n.expectedToReport(m) {
		p.reconciliation.Add(n.reconcileFacts(m), time.Now())
	}
}

// machineReconciled records that a machine has reported under this node's token.
func (n *Node) machineReconciled(m *machine, now time.Time) {
	n.partitions[m.rec.Partition].reconciliation.NoteFencedReport(m.name)
	if m.idleSinceUnknown && len(m.tasks) == 0 {
		m.idleSince = now
	}
}

// tickReconciliations calls the workers whose turn it is, and logs the progress.
func (n *Node) tickReconciliations(now time.Time) {
	n.updateWorkerAddrs(now)
	for _, p := range n.partitions {
		if p.reconciliation == nil {
			continue
		}
		for _, name := range p.reconciliation.NextPolls(now, n.loadControl.budget.CallsAvailable(start.Poll)) {
			m := n.machines[name]
			if m == nil || !m.recorded || m.addr == "" || n.loadControl.budget.TakeCalls(start.Poll, 1) == 0 {
				p.reconciliation.CallEnded(name, false, now)
				continue
			}
			n.fence(m, now)
		}
		was := p.reconciliation.Phase()
		phase, tenth, fresh := p.reconciliation.Advance(now)
		if fresh || phase != was {
			all, heard, asked := p.reconciliation.Counts()
			n.log.Info("share squared", "share", p.index, "phase", phase, "tenths", tenth, "machines", all, "heard", heard, "asked", asked,
				"after_s", now.Sub(p.reconciliation.AcquiredAt()).Seconds(), "calls_per_s", roundToTenth(n.loadControl.budget.Rate()), "held_back", n.ordersHeldBack())
		}
		if phase == start.Serving && was != phase {
			n.replan = true
			n.excludeGapFromIdle(p, now)
		}
		n.updateReconcileMetrics(p)
	}
}

// updateReconcileMetrics updates the metrics of a partition's reconciliation.
func (n *Node) updateReconcileMetrics(p *partition) {
	all, heard, _ := p.reconciliation.Counts()
	n.metrics.unheardMachines.WithLabelValues(strconv.Itoa(p.index)).Set(float64(all - heard))
	n.metrics.orderRate.Set(n.loadControl.budget.Rate())
	for k := range start.OrderKinds {
		for _, c := range []struct {
			outcome string
			now     int
			last    *int
		}{{"given", n.loadControl.budget.Granted(k), &n.loadControl.reportedGiven[k]}, {"held_back", n.loadControl.budget.Deferred(k), &n.loadControl.reportedHeld[k]}} {
			if c.now > *c.last {
				n.metrics.orders.WithLabelValues(k.String(), c.outcome).Add(float64(c.now - *c.last))
				*c.last = c.now
			}
		}
	}
}

// tasksAwaitingReport returns how many of a job's tasks are on machines that have not reported
// since this node took over the partition: it is not known whether they run.
func (n *Node) tasksAwaitingReport(j *job) int {
	p := n.partitions[j.partition]
	if p.reconciliation == nil {
		return 0
	}
	c := 0
	for i := range j.tasks {
		if m := j.tasks[i].machine; m != nil && p.reconciliation.AwaitingReport(m.name) {
			c++
		}
	}
	return c
}

// ordersHeldBack returns how many orders the budget has held back so far.
func (n *Node) ordersHeldBack() int {
	c := 0
	for k := range start.OrderKinds {
		c += n.loadControl.budget.Deferred(k)
	}
	return c
}

// reconciling reports whether an owned partition is not in the serving phase yet.
func (n *Node) reconciling() bool {
	for _, p := range n.partitions {
		if p.reconciliation != nil && p.reconciliation.Phase() != start.Serving {
			return true
		}
	}
	return false
}

// takeBudget returns how many orders of a kind may be given now. Once all owned partitions are in
// the serving phase, the budget limits only calls for reports: orders are then caused by single
// events and don't concern the whole fleet at once.
func (n *Node) takeBudget(k start.OrderKind, wanted int) int {
	if !n.reconciling() {
		return wanted
	}
	return n.loadControl.budget.Take(k, wanted)
}

// shedsLoad reports whether this node, while it reconciles a partition and its actor is late,
// rejects expensive requests of low importance. Clients are told at once when to retry.
func (n *Node) shedsLoad(now time.Time) bool {
	return n.reconciling() && n.loadControl.budget.RecentlyLate(now, shedPeriod)
}

// shedPeriod is how long load is shed after the actor was late.
const shedPeriod = time.Second

// retryLaterAnswer is the answer to requests that are rejected to shed load.
var retryLaterAnswer = answer{status: 503, retryAfterS: 2, body: errorBody{"this node has just taken a share and is busy: ask again, or another node"}}

// withLoadShedding wraps a handler of explanations and listings: while the node sheds load, the
// request is rejected.
func (n *Node) withLoadShedding(f func(reply chan<- answer)) func(reply chan<- answer) {
	return func(reply chan<- answer) {
		if n.shedsLoad(time.Now()) {
			n.metrics.guardRefusals.WithLabelValues("load_shed").Inc()
			reply <- retryLaterAnswer
			return
		}
		f(reply)
	}
}

// returnableIdle selects, from machines that nothing needs, those that may be returned now.
func (n *Node) returnableIdle(idleMachines []*machine, now time.Time) []*machine {
	var toReturn []*machine
	unknown := 0
	bootS := 0.0
	for _, t := range n.machineTypes {
		bootS = max(bootS, t.BootS)
	}
	for _, m := range idleMachines {
		if m.idleSinceUnknown {
			unknown++
		}
	}
	n.loadControl.peakIdleUnknown = max(n.loadControl.peakIdleUnknown, unknown)
	if unknown == 0 {
		n.loadControl.peakIdleUnknown = 0
	}
	allowed := start.IdleReturnsAllowed(n.loadControl.peakIdleUnknown, n.seconds(bootS), n.loadControl.lastIdleReturn, now)
	for _, m := range idleMachines {
		if !n.partitions[m.rec.Partition].reconciliation.Settled(now) {
			continue
		}
		if m.idleSinceUnknown {
			if allowed == 0 {
				continue
			}
			allowed--
			n.loadControl.lastIdleReturn = now
		}
		if n.takeBudget(start.Return, 1) == 0 {
			break // another partition is still being reconciled
		}
		n.log.Info("machine returned", "machine", m.name, "notice", false, "blamed_by", 0, "seen_idle", !m.idleSinceUnknown)
		toReturn = append(toReturn, m)
	}
	return toReturn
}

// rememberArrival records a job that this node saw arrive, whoever owns its partition, so that a
// new owner knows what demand to expect.
func (n *Node) rememberArrival(j *job, now time.Time) {
	if !n.loaded || now.Sub(n.loadControl.followingSince) < backlogPeriod {
		return
	}
	// The job's own submission time counts: a node that was stalled sees the jobs that arrived
	// meanwhile all at once. (When only the newest were counted, such a node expected no jobs and
	// returned a thousand machines when it was given a partition.)
	at := j.submitted
	if at.After(now) {
		at = now
	}
	p := n.partitions[j.partition]
	p.recentArrivals = append(p.recentArrivals, arrival{At: at, Spec: j.spec, Team: j.team})
	if k := len(p.recentArrivals); k > 1 && at.Before(p.recentArrivals[k-2].At) {
		slices.SortStableFunc(p.recentArrivals, func(a, b arrival) int { return a.At.Compare(b.At) })
	}
	p.recentArrivals = decide.TrimArrivals(p.recentArrivals, now)
}

// excludeGapFromIdle subtracts the time without an owner, and until this node served the
// partition, from the idle time of machines: they could not have been used.
func (n *Node) excludeGapFromIdle(p *partition, now time.Time) {
	pause := p.takeover.gap + now.Sub(p.acquiredAt)
	for _, m := range p.machines {
		if len(m.tasks) == 0 && !m.idleSinceUnknown && !m.idleSince.IsZero() {
			if m.idleSince = m.idleSince.Add(pause); m.idleSince.After(now) {
				m.idleSince = now
			}
		}
	}
}

// backlogPeriod is how long after a node's start arriving jobs are counted as a backlog, which
// says nothing about the future rate of arrivals.
const backlogPeriod = 5 * time.Second

// overloadWindow is how recently the actor must have been late for load to explain a lost lease.
const overloadWindow = 5 * time.Second

// noteOverload records that the node's lease expired while it owned partitions. If the cause was
// its own load, the node takes fewer partitions for a while, and takes them later. Without this
// the partitions went round among the nodes, since each takeover cost so much that the next lease
// expired too.
func (n *Node) noteOverload(owned int, now time.Time) {
	load := &n.loadControl
	if owned == 0 || !load.budget.RecentlyLate(now, overloadWindow) || now.Sub(n.reachability.stallEnded) < overloadWindow {
		return
	}
	if now.Sub(load.lastLapse) > overloadPeriod {
		load.overloadLapses = 0
	}
	load.overloadLapses++
	load.lastLapse, load.maxPartitions = now, max(1, owned-1)
	n.log.Info("lease lost by own load", "shares_held", owned, "takes_at_most", load.maxPartitions, "pause_s", n.overloadDelay().Seconds())
}

const (
	// overloadPeriod is how long a node takes fewer partitions after that.
	overloadPeriod = time.Minute
	// maxVacancy is how long a partition may have no owner before a node takes it regardless of its
	// load.
	maxVacancy = 12 * time.Second
)

// overloadDelay is by how much this node currently delays taking partitions.
func (n *Node) overloadDelay() time.Duration {
	if n.loadControl.overloadLapses == 0 {
		return 0
	}
	return min(4*time.Second, 500*time.Millisecond<<n.loadControl.overloadLapses)
}

// mayTake reports whether this node may take one more partition.
func (n *Node) mayTake(p *partition, owned int, now time.Time) bool {
	load := &n.loadControl
	return load.overloadLapses == 0 || now.Sub(load.lastLapse) > overloadPeriod || owned < load.maxPartitions || len(n.liveNodes) < 2 || now.Sub(p.vacantSince) > maxVacancy
}

// otherNodeMayTake reports whether another node could take a partition soon: one that can is heard
// from, or this node has only just started, so that others may be starting too.
func (n *Node) otherNodeMayTake(now time.Time) bool {
	if now.Sub(n.startedAt) < clusterStartPeriod {
		return true
	}
	for name := range n.peers {
		if _, lives := n.liveNodes[name]; lives && n.canTakeOver(name, now) {
			return true
		}
	}
	return false
}

// clusterStartPeriod is how long nodes that went down together may take to come back.
const clusterStartPeriod = 10 * time.Second

// extraTakeDelay is by how much this node delays taking a partition: while it reconciles one,
// other nodes go first, and also after its own load made it lose its lease.
func (n *Node) extraTakeDelay(owned int, now time.Time) time.Duration {
	d := time.Duration(0)
	if now.Sub(n.loadControl.lastLapse) < overloadPeriod {
		d = n.overloadDelay()
	}
	if owned > 0 && n.reconciling() && n.otherNodeMayTake(now) {
		d += min(3*time.Second, n.seconds(n.cfg.Params.Workers.LeaseS)/10)
	}
	return d
}
