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

// The actor's part in squaring a share that it has taken: it tells package start what
// it hears, and does what that allows. This file may touch a share's square and what is
// ordered under the budget; see docs/start.md.

// loadControl is what is ordered under a budget, and what the node knows of its own load.
type loadControl struct {
	budget          *start.Budget
	followingSince  time.Time // since when it sees jobs arrive
	overloadLapses  int       // times in a row that its lease ended by its own load
	lastLapse       time.Time // when it last did
	maxPartitions   int       // shares that it may hold for a while after that
	peakIdleUnknown int       // machines whose idleness nobody saw, at the most
	lastIdleReturn  time.Time // when one of them was last returned

	given, held [start.OrderKinds]int // as the metrics have them

	workerAddrs atomic.Pointer[map[netip.Addr]bool] // where machines are; read by other routines
	noted       time.Time                           // when that was last made
}

// workersPause is how often it is noted where the machines are.
const workersPause = 2 * time.Second

// updateWorkerAddrs notes where the machines are, so that their connections are told from
// others as they come. An address that several share tells nothing.
func (n *Node) updateWorkerAddrs(now time.Time) {
	if now.Sub(n.loadControl.noted) < workersPause {
		return
	}
	n.loadControl.noted = now
	at := make(map[netip.Addr]bool, len(n.machines))
	for _, m := range n.machines {
		if ap, err := netip.ParseAddrPort(m.addr); err == nil {
			_, shared := at[ap.Addr()]
			at[ap.Addr()] = !shared && !ap.Addr().IsLoopback()
		}
	}
	n.loadControl.workerAddrs.Store(&at)
}

// FromWorker says whether an address is that of a worker. Any routine may call it.
func (n *Node) FromWorker(a netip.Addr) bool {
	at := n.loadControl.workerAddrs.Load()
	return at != nil && (*at)[a]
}

// graceShort is how long reports alone are waited for after a share was taken. Workers
// without a controller try the next one after a second, so after the end of all nearly
// all of them have come by then.
const graceShort = 1200 * time.Millisecond

func (n *Node) seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// beginReconciliation begins to square a share that was just taken.
func (n *Node) beginReconciliation(s *partition, now time.Time) {
	w := n.cfg.Params.Workers
	var facts []start.MachineFacts
	for _, m := range s.machines {
		if n.shouldSpeak(m) {
			facts = append(facts, n.squareFacts(m))
		}
	}
	n.loadControl.budget.ResetForTakeover(now)
	grace := min(graceShort, n.seconds(w.ReportS)/2)
	if s.takeover.cause == standby.HandedOver {
		grace = 0 // its workers have a controller, and come when they next report
	}
	s.reconciliation = start.BeginReconciliation(start.Timing{ReportInterval: n.seconds(w.ReportS), GracePeriod: grace}, now, facts)
}

// shouldSpeak says whether a machine's silence means anything: one that is known to be
// up, or that something is recorded on. What still boots is not waited for.
func (n *Node) shouldSpeak(m *machine) bool {
	return m.recorded && !m.returned && (m.rec.Addr != "" || len(m.tasks) > 0)
}

func (n *Node) squareFacts(m *machine) start.MachineFacts {
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

// addToReconciliation takes in a machine that came to a share held.
func (n *Node) addToReconciliation(s *partition, m *machine) {
	if !m.fenced && n.shouldSpeak(m) {
		s.reconciliation.Add(n.squareFacts(m), time.Now())
	}
}

// machineReconciled notes that a machine has spoken under this node's token.
func (n *Node) machineReconciled(m *machine, now time.Time) {
	n.partitions[m.rec.Partition].reconciliation.NoteFencedReport(m.name)
	if m.idleSinceUnknown && len(m.tasks) == 0 {
		m.idleSince = now
	}
}

// tickReconciliations asks whom it is time to ask, and tells how far the squaring is.
func (n *Node) tickReconciliations(now time.Time) {
	n.updateWorkerAddrs(now)
	for _, s := range n.partitions {
		if s.reconciliation == nil {
			continue
		}
		for _, name := range s.reconciliation.NextPolls(now, n.loadControl.budget.CallsAvailable(start.Poll)) {
			m := n.machines[name]
			if m == nil || !m.recorded || m.addr == "" || n.loadControl.budget.TakeCalls(start.Poll, 1) == 0 {
				s.reconciliation.CallEnded(name, false, now)
				continue
			}
			n.fence(m, now)
		}
		was := s.reconciliation.Phase()
		p, tenth, fresh := s.reconciliation.Advance(now)
		if fresh || p != was {
			all, heard, asked := s.reconciliation.Counts()
			n.log.Info("share squared", "share", s.index, "phase", p, "tenths", tenth, "machines", all, "heard", heard, "asked", asked,
				"after_s", now.Sub(s.reconciliation.AcquiredAt()).Seconds(), "calls_per_s", roundToTenth(n.loadControl.budget.Rate()), "held_back", n.heldBack())
		}
		if p == start.Serving && was != p {
			n.replan = true
			n.excludeGapFromIdle(s, now)
		}
		n.tellSquare(s)
	}
}

// tellSquare brings the metrics up to date.
func (n *Node) tellSquare(s *partition) {
	all, heard, _ := s.reconciliation.Counts()
	n.metrics.unheardMachines.WithLabelValues(strconv.Itoa(s.index)).Set(float64(all - heard))
	n.metrics.orderRate.Set(n.loadControl.budget.Rate())
	for k := range start.OrderKinds {
		for _, c := range []struct {
			outcome string
			now     int
			told    *int
		}{{"given", n.loadControl.budget.Granted(k), &n.loadControl.given[k]}, {"held_back", n.loadControl.budget.Deferred(k), &n.loadControl.held[k]}} {
			if c.now > *c.told {
				n.metrics.orders.WithLabelValues(k.String(), c.outcome).Add(float64(c.now - *c.told))
				*c.told = c.now
			}
		}
	}
}

// tasksAwaitingReport is how many of a job's tasks are on machines that have not spoken since
// this node took its share: whether they run is not known.
func (n *Node) tasksAwaitingReport(j *job) int {
	s := n.partitions[j.partition]
	if s.reconciliation == nil {
		return 0
	}
	c := 0
	for i := range j.tasks {
		if m := j.tasks[i].machine; m != nil && s.reconciliation.AwaitingReport(m.name) {
			c++
		}
	}
	return c
}

// heldBack is how many orders the budget held back so far.
func (n *Node) heldBack() int {
	c := 0
	for k := range start.OrderKinds {
		c += n.loadControl.budget.Deferred(k)
	}
	return c
}

// reconciling says whether a share held does not serve yet.
func (n *Node) reconciling() bool {
	for _, s := range n.partitions {
		if s.reconciliation != nil && s.reconciliation.Phase() != start.Serving {
			return true
		}
	}
	return false
}

// takeBudget is how many orders of a kind may be given now. Once all shares held serve,
// the budget bounds calls for reports only: what then has to be ordered is what events
// ask for, and not the whole fleet at once.
func (n *Node) takeBudget(k start.OrderKind, want int) int {
	if !n.reconciling() {
		return want
	}
	return n.loadControl.budget.Take(k, want)
}

// shedsLoad says whether this node, squaring a share with its actor late, puts off what
// costs much and matters least. Whoever asked is told so at once, and when to come back.
func (n *Node) shedsLoad(now time.Time) bool {
	return n.reconciling() && n.loadControl.budget.RecentlyLate(now, shedTime)
}

// shedTime is for how long after the actor was late that is so.
const shedTime = time.Second

var retryLaterAnswer = answer{status: 503, retryAfterS: 2, body: errorBody{"this node has just taken a share and is busy: ask again, or another node"}}

// withLoadShedding answers what explains or lists, unless the node sheds that now.
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

// returnableIdle are those of the machines that nothing needs which may go now.
func (n *Node) returnableIdle(spare []*machine, now time.Time) []*machine {
	var back []*machine
	unseen := 0
	boot := 0.0
	for _, t := range n.machineTypes {
		boot = max(boot, t.BootS)
	}
	for _, m := range spare {
		if m.idleSinceUnknown {
			unseen++
		}
	}
	n.loadControl.peakIdleUnknown = max(n.loadControl.peakIdleUnknown, unseen)
	if unseen == 0 {
		n.loadControl.peakIdleUnknown = 0
	}
	may := start.IdleReturnsAllowed(n.loadControl.peakIdleUnknown, n.seconds(boot), n.loadControl.lastIdleReturn, now)
	for _, m := range spare {
		if !n.partitions[m.rec.Partition].reconciliation.Settled(now) {
			continue
		}
		if m.idleSinceUnknown {
			if may == 0 {
				continue
			}
			may--
			n.loadControl.lastIdleReturn = now
		}
		if n.takeBudget(start.Return, 1) == 0 {
			break // another share is still being squared
		}
		n.log.Info("machine returned", "machine", m.name, "notice", false, "blamed_by", 0, "seen_idle", !m.idleSinceUnknown)
		back = append(back, m)
	}
	return back
}

// rememberArrival remembers a job that this node saw arrive, whoever holds its share: who takes
// the share over then knows what to expect.
func (n *Node) rememberArrival(j *job, now time.Time) {
	if !n.loaded || now.Sub(n.loadControl.followingSince) < backlogTime {
		return
	}
	// By its own time: a node that stood still sees what came meanwhile all at once. (With
	// only the newest counted, such a node expected nothing and returned a thousand
	// machines when it was handed a share.)
	at := j.submitted
	if at.After(now) {
		at = now
	}
	s := n.partitions[j.partition]
	s.recentArrivals = append(s.recentArrivals, arrival{At: at, Spec: j.spec, Team: j.team})
	if k := len(s.recentArrivals); k > 1 && at.Before(s.recentArrivals[k-2].At) {
		slices.SortStableFunc(s.recentArrivals, func(a, b arrival) int { return a.At.Compare(b.At) })
	}
	s.recentArrivals = decide.TrimArrivals(s.recentArrivals, now)
}

// excludeGapFromIdle takes the time in which nobody decided anything from what idle machines are
// taken to have been idle: they could not have been used.
func (n *Node) excludeGapFromIdle(s *partition, now time.Time) {
	pause := s.takeover.gap + now.Sub(s.acquiredAt)
	for _, m := range s.machines {
		if len(m.tasks) == 0 && !m.idleSinceUnknown && !m.idleSince.IsZero() {
			if m.idleSince = m.idleSince.Add(pause); m.idleSince.After(now) {
				m.idleSince = now
			}
		}
	}
}

// backlogTime is how long after a node's start what comes is what waited meanwhile, and
// says nothing of what will come.
const backlogTime = 5 * time.Second

// loadPause is within which a late actor explains that the own lease ended.
const loadPause = 5 * time.Second

// noteOverload notes that the own lease ended with so many shares held. If it was this
// node's own load, it takes fewer for a while, and later: with all as before shares went
// round, since each take-over cost so much that the next lease lapsed.
func (n *Node) noteOverload(held int, now time.Time) {
	o := &n.loadControl
	if held == 0 || !o.budget.RecentlyLate(now, loadPause) || now.Sub(n.reachability.stallEnded) < loadPause {
		return
	}
	if now.Sub(o.lastLapse) > lapseMemory {
		o.overloadLapses = 0
	}
	o.overloadLapses++
	o.lastLapse, o.maxPartitions = now, max(1, held-1)
	n.log.Info("lease lost by own load", "shares_held", held, "takes_at_most", o.maxPartitions, "pause_s", n.lapsePause().Seconds())
}

const (
	// lapseMemory is for how long a node takes fewer shares after that.
	lapseMemory = time.Minute
	// maxVacancy is how long a share has nobody before a node takes it all the same.
	maxVacancy = 12 * time.Second
)

// lapsePause is how much later this node takes shares for now.
func (n *Node) lapsePause() time.Duration {
	if n.loadControl.overloadLapses == 0 {
		return 0
	}
	return min(4*time.Second, 500*time.Millisecond<<n.loadControl.overloadLapses)
}

// mayTake says whether this node may take one more share.
func (n *Node) mayTake(s *partition, held int, now time.Time) bool {
	o := &n.loadControl
	return o.overloadLapses == 0 || now.Sub(o.lastLapse) > lapseMemory || held < o.maxPartitions || len(n.liveNodes) < 2 || now.Sub(s.vacantSince) > maxVacancy
}

// mayCome says whether another node could take a share soon: one is heard, or all have
// just begun.
func (n *Node) mayCome(now time.Time) bool {
	if now.Sub(n.startedAt) < startTime {
		return true
	}
	for name := range n.peers {
		if _, lives := n.liveNodes[name]; lives && n.canTakeOver(name, now) {
			return true
		}
	}
	return false
}

// startTime is within which all come back that ended together.
const startTime = 10 * time.Second

// extraTakeDelay is how much later than else this node takes a share: while it squares
// one, others come first, and so it does after its own load has cost it its lease.
func (n *Node) extraTakeDelay(held int, now time.Time) time.Duration {
	d := time.Duration(0)
	if now.Sub(n.loadControl.lastLapse) < lapseMemory {
		d = n.lapsePause()
	}
	if held > 0 && n.reconciling() && n.mayCome(now) {
		d += min(3*time.Second, n.seconds(n.cfg.Params.Workers.LeaseS)/10)
	}
	return d
}
