package start

import (
	"cmp"
	"slices"
	"time"
)

// Phase is the progress of a partition's reconciliation.
type Phase uint8

const (
	NotOwned    Phase = iota // this node does not own the partition
	Acquired                 // owned; no worker has reported under the owner's token yet
	Reconciling              // some workers have reported
	Serving                  // nearly all workers have reported, or the time allowed for the others is over
	phaseCount               // number of phases
)

var phaseNames = [phaseCount]string{"vacant", "taken", "squaring", "serving"}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[min(p, phaseCount-1)] }

// Rank orders machines by the cost of a missing report, the highest cost first.
type Rank uint8

const (
	Critical     Rank = iota // runs services or other work that must not wait
	Guaranteed               // runs guaranteed work
	Unguaranteed             // runs only unguaranteed work
	Empty                    // runs nothing
)

// MachineFacts is what the stored state says about a machine.
type MachineFacts struct {
	Name string
	Rank Rank
	// LeaseExpiry is the earliest time at which the lease of the machine's worker can
	// expire, as far as this node knows, because it answered a report of that worker
	// earlier. Zero means unknown, which sorts before every known time.
	LeaseExpiry time.Time
	HasAddress  bool // the worker can be called directly
}

// Timing is the set of periods that a reconciliation uses.
type Timing struct {
	ReportInterval time.Duration // between two reports of a worker
	// GracePeriod is how long after the acquisition no machine is polled. Workers that
	// lost their controller report on their own, all within a second or two.
	GracePeriod time.Duration
}

// reconciledFraction is the fraction of a partition's machines that must have reported
// before decisions may rely on the silence of the others.
const reconciledFraction = 0.9

// reportIntervalsAllowed is the number of report intervals within which every live worker
// should have reported.
const reportIntervalsAllowed = 1.5

// fencedReportWait is how long after an unfenced report, or an answered call, the worker
// should have reported under the owner's token: half a second by the protocol, plus the
// network delay.
const fencedReportWait = 2 * time.Second

const (
	minRetryPause = 2 * time.Second // after the first unanswered call; doubled after each further one
	maxRetryPause = 16 * time.Second
)

// trackedMachine is the state of one machine in a reconciliation.
type trackedMachine struct {
	MachineFacts
	reconciled   bool
	callInFlight bool
	nextPoll     time.Time // no poll before this time
	retryPause   time.Duration
}

// Reconciliation tracks the reconciliation of one partition during one ownership.
type Reconciliation struct {
	timing       Timing
	acquiredAt   time.Time
	machines     map[string]*trackedMachine
	pollOrder    []*trackedMachine // machines to poll, the most urgent first; may still contain reconciled ones
	sorted       bool
	reported     int // machines that have reported since they were last added
	phase        Phase
	lastTenth    int       // last tenth of the machines that Advance returned as new
	polled       int       // calls so far
	servingSince time.Time // when the phase became Serving
}

// BeginReconciliation starts the reconciliation of a partition that was just acquired,
// with the machines that are recorded for it.
func BeginReconciliation(timing Timing, now time.Time, machines []MachineFacts) *Reconciliation {
	r := &Reconciliation{timing: timing, acquiredAt: now, machines: make(map[string]*trackedMachine, len(machines)), phase: Acquired}
	r.pollOrder = make([]*trackedMachine, 0, len(machines))
	for _, f := range machines {
		r.addAt(f, now.Add(timing.GracePeriod))
	}
	if len(machines) == 0 {
		r.phase, r.servingSince = Serving, now
	}
	return r
}

// addAt tracks a machine that has not reported, to be polled from nextPoll on.
func (r *Reconciliation) addAt(f MachineFacts, nextPoll time.Time) {
	if old := r.machines[f.Name]; old != nil && !old.reconciled {
		old.MachineFacts, old.nextPoll = f, nextPoll
		r.sorted = false
		return
	}
	if old := r.machines[f.Name]; old != nil {
		r.reported--
	}
	m := &trackedMachine{MachineFacts: f, nextPoll: nextPoll, retryPause: minRetryPause}
	r.machines[f.Name] = m
	r.pollOrder = append(r.pollOrder, m)
	r.sorted = false
}

// Add tracks a machine that was moved to the partition, or whose token was raised: its
// earlier reports no longer count. It may be polled at once, because machines are moved
// here for work that is waiting.
func (r *Reconciliation) Add(f MachineFacts, now time.Time) {
	if r != nil {
		r.addAt(f, now)
	}
}

// find returns a machine; nil if it is not in the partition or the partition is not owned.
func (r *Reconciliation) find(name string) *trackedMachine {
	if r == nil {
		return nil
	}
	return r.machines[name]
}

// Remove drops a machine that left the partition.
func (r *Reconciliation) Remove(name string) {
	if m := r.find(name); m != nil {
		if m.reconciled {
			r.reported--
		}
		m.reconciled = true // so that NextPolls removes it from the poll order
		delete(r.machines, name)
	}
}

// NoteUnfencedReport records a report without the owner's token. The answer to it carries
// the token and the worker reports again at once, so the machine need not be polled yet.
func (r *Reconciliation) NoteUnfencedReport(name string, now time.Time) {
	if m := r.find(name); m != nil && !m.reconciled {
		m.nextPoll = now.Add(fencedReportWait)
	}
}

// NoteFencedReport records a report under the owner's token: the machine is reconciled.
func (r *Reconciliation) NoteFencedReport(name string) {
	if m := r.find(name); m != nil && !m.reconciled {
		m.reconciled = true
		r.reported++
	}
}

// CallEnded records the end of a call, answered (ok) or not.
func (r *Reconciliation) CallEnded(name string, ok bool, now time.Time) {
	m := r.find(name)
	if m == nil {
		return
	}
	m.callInFlight = false
	if !ok {
		m.nextPoll = now.Add(m.retryPause)
		m.retryPause = min(2*m.retryPause, maxRetryPause)
	} else if !m.reconciled {
		m.nextPoll = now.Add(fencedReportWait)
	}
}

// comparePollOrder sorts the machines with tasks by lease expiry, the earliest first, then
// by rank. Machines without tasks come last.
func comparePollOrder(a, b *trackedMachine) int {
	if (a.Rank == Empty) != (b.Rank == Empty) {
		return cmp.Compare(a.Rank, b.Rank)
	}
	return cmp.Or(a.LeaseExpiry.Compare(b.LeaseExpiry), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name))
}

// NextPolls returns up to maxPolls machines to poll now and marks them as called. A
// machine is never called twice at a time, nor again shortly after a call because its
// report is late.
func (r *Reconciliation) NextPolls(now time.Time, maxPolls int) []string {
	if !r.sorted {
		r.sorted = true
		slices.SortFunc(r.pollOrder, comparePollOrder)
	}
	var names []string
	kept := r.pollOrder[:0]
	for _, m := range r.pollOrder {
		if m.reconciled {
			continue
		}
		kept = append(kept, m)
		if len(names) < maxPolls && m.HasAddress && !m.callInFlight && !now.Before(m.nextPoll) {
			m.callInFlight = true
			r.polled++
			names = append(names, m.Name)
		}
	}
	clear(r.pollOrder[len(kept):])
	r.pollOrder = kept
	return names
}

// Advance updates the phase from the reports so far and the time. It returns the phase and
// the tenths of the machines that are reconciled; newTenth is true if that number has
// grown since the last call.
func (r *Reconciliation) Advance(now time.Time) (phase Phase, tenth int, newTenth bool) {
	switch {
	case r.phase == Serving:
	case float64(r.reported) >= reconciledFraction*float64(len(r.machines)) || now.Sub(r.acquiredAt) >= r.maxReconcileTime():
		r.phase, r.servingSince = Serving, now
	case r.reported > 0:
		r.phase = Reconciling
	}
	if len(r.machines) > 0 {
		tenth = 10 * r.reported / len(r.machines)
	}
	if tenth > r.lastTenth {
		r.lastTenth, newTenth = tenth, true
	}
	return r.phase, tenth, newTenth
}

// maxReconcileTime is how long after the acquisition the workers have to report.
func (r *Reconciliation) maxReconcileTime() time.Duration {
	return r.timing.GracePeriod + time.Duration(reportIntervalsAllowed*float64(r.timing.ReportInterval))
}

// Phase returns the phase as of the last Advance.
func (r *Reconciliation) Phase() Phase {
	if r == nil {
		return NotOwned
	}
	return r.phase
}

// Settled reports whether the partition has been serving for settleTime. By then the
// decisions have found out which machines are needed.
func (r *Reconciliation) Settled(now time.Time) bool {
	return r.Phase() == Serving && now.Sub(r.servingSince) >= settleTime
}

// settleTime is how long a partition must have been serving before the machines that no
// decision needs are known.
const settleTime = time.Second

// Counts returns how many machines the partition has, how many of them have reported, and
// how many calls were made.
func (r *Reconciliation) Counts() (total, reported, polled int) {
	return len(r.machines), r.reported, r.polled
}

// AcquiredAt returns when the partition was acquired.
func (r *Reconciliation) AcquiredAt() time.Time { return r.acquiredAt }

// AwaitingReport reports whether a machine of the partition has not reported under this
// owner's token yet. Whether it works, and what it runs, is unknown.
func (r *Reconciliation) AwaitingReport(name string) bool {
	m := r.find(name)
	return m != nil && !m.reconciled
}

// MayPreempt reports whether work may be stopped to free capacity. Before the partition is
// serving, the capacity that seems to be missing may be free on a machine that has not
// reported.
func (r *Reconciliation) MayPreempt() bool { return r.Phase() == Serving }
