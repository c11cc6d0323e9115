package node

import (
	"cmp"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/start"
	"dapplestage.example/dapplestage/internal/protocol"
)

// The actor's part in scheduling: it shows package decide the state of a partition, asks for one
// decision at a time, and applies each before it asks for the next.

// faulty reports whether too many failures in a row speak against a machine.
func (n *Node) faulty(m *machine) bool { return m.faults.faulty() }

// plan places waiting tasks on the machines of each owned partition, and rents machines for the rest.
func (n *Node) plan(now time.Time) {
	if n.sinceContact(now) > 2*time.Second {
		return // nothing could be stored
	}
	guaranteedWaits := n.anyGuaranteedWorkWaits(now)
	for _, p := range n.partitions {
		n.countArrivals(p)
		if !n.owns(p) || n.standby.leaving || !n.mayDecide(p, now) {
			continue
		}
		view := n.view(p, now)
		var waiting []*job
		for _, j := range p.jobs {
			if j.nWaiting() == 0 || j.cancelled || j.abortAttempt {
				n.endReservation(j, now)
				continue
			}
			if n.blockedBySiteLease(j, now) {
				j.waitCause = decide.SiteWithoutLease
				continue
			}
			if !j.writePending && !now.Before(j.notBefore) {
				n.place(view, j, now)
			}
			if j.failures.failsEverywhere && len(p.machines) > 0 {
				continue // nothing is rented or preempted for it
			}
			switch {
			case j.nWaiting() == 0:
			case guaranteedWaits && n.unguaranteed(j):
				j.waitCause = decide.GuaranteesFirst
			default:
				waiting = append(waiting, j)
			}
		}
		if p.reconciliation.MayPreempt() {
			n.preempt(view, waiting, now)
		}
		if !now.Before(p.nextRent) && !n.awaitsAdoption(now) {
			p.nextRent = now.Add(rentInterval)
			n.rent(view, p, waiting, now)
		}
	}
}

// rentInterval is the time between two decisions on rentals of a partition. The cloud's rate limit
// allows hardly more requests, and jobs arrive in bursts that one request can cover.
const rentInterval = 300 * time.Millisecond

// arrival is a recent job; the near future is forecast from these.
type arrival = decide.Arrival

// countArrivals adds new jobs to the partition's window in the order of their arrival. Every node does
// so, and a node that takes the partition over thus has the same window as the previous owner. When a
// node starts, it counts the jobs that are present, so that the window's means have initial values.
func (n *Node) countArrivals(p *partition) {
	if len(p.newJobs) == 0 {
		return
	}
	slices.SortFunc(p.newJobs, func(a, b *job) int {
		return cmp.Or(a.submitted.Compare(b.submitted), cmp.Compare(a.id, b.id))
	})
	present := len(p.jobs) - len(p.newJobs)
	for _, j := range p.newJobs {
		present++
		j.heavy = p.window.RecordArrival(present, j.spec.ImageGB) || n.policy.Greedy
	}
	clear(p.newJobs)
	p.newJobs = p.newJobs[:0]
}

// revokeProposals takes back placements of less urgent jobs of the partition that are not being stored
// yet, so that a job can use the capacity; the jobs that lose it are planned again right after. On
// simulated days with 20 changes per second arrays held most of the free capacity in this way for
// seconds, when nothing could preempt them, and services were placed where gangs should have run. If
// the job is blocked by its team's limit, only placements of its own team are taken back. It returns
// false if there are none that the job could replace.
func (n *Node) revokeProposals(j *job, withinTeam bool, now time.Time) bool {
	revoked, replan := false, n.replan
	defer func() { n.replan = replan }() // the jobs concerned are planned later in this run of plan
	canUse := func(other *job, m *machine) bool {
		if withinTeam {
			return other.team == j.team
		}
		t := n.machineTypes[m.rec.Type]
		return t != nil && decide.Allowed(j.spec, offer{Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot}) && decide.SizeOf(t).TaskCount(j.need) > 0
	}
	for other := range n.dirty {
		if other.writePending || other.partition != j.partition || other.rank <= j.rank || other.spec.Shape == protocol.Gang {
			continue
		}
		hasMore := false
		for i := range other.tasks {
			switch t := &other.tasks[i]; {
			case t.phase == phaseProposed && canUse(other, t.machine):
				revoked = true
				n.setPhase(other, i, phaseWaiting, nil, 0, now)
			case t.phase == phaseProposed || t.outcome != outcomeNone:
				hasMore = true
			}
		}
		if hasMore {
			continue
		}
		clear(other.dirtyChunks)
		if !n.hasPendingUpdate(other) {
			delete(n.dirty, other)
			other.dirtySince = time.Time{}
		}
	}
	return revoked
}

// place assigns a job's waiting tasks to the machines that package decide chooses.
func (n *Node) place(view *decide.View, j *job, now time.Time) {
	placement := view.Place(n.jobFactsWithZones(j, now))
	if (placement.Reason == decide.NoFreeMachine || placement.Reason == decide.GangIncomplete || placement.Reason == decide.TeamLimit || placement.IdlesGPUs || placement.Preemption.HasEvictions()) && j.rank <= protocol.High && n.revokeProposals(j, placement.Reason == decide.TeamLimit, now) {
		n.refreshIndex(now)
		placement = view.Place(n.jobFactsWithZones(j, now))
	}
	if checkPlacement != nil {
		checkPlacement(n, view, &j.facts, placement)
	}
	n.applyPreemption(j, placement.Preemption, true, now)
	if j.waitCause = placement.Reason; placement.Reason == decide.PreemptionInProgress {
		n.replan = true
	}
	n.updateReservation(j, placement.Reserve, now)
	switch {
	case !placement.BlockedByReservation:
		j.reservationBlockedSince = time.Time{}
	case j.reservationBlockedSince.IsZero():
		j.reservationBlockedSince = now
	}
	if len(placement.Machines) == 0 {
		return
	}
	var tasks []int
	var machines []*machine
	for i := range j.tasks {
		if len(tasks) == len(placement.Machines) {
			break
		}
		if j.tasks[i].phase == phaseWaiting && !j.inBackoff(i, now) {
			machines = append(machines, n.machines[placement.Machines[len(tasks)].Name])
			tasks = append(tasks, i)
		}
	}
	n.proposePlacements(j, tasks, machines, now)
	n.refreshIndex(now)
	n.metrics.placed.Add(float64(len(tasks)))
	n.log.Debug("placing", "job", j.id, "class", j.spec.Class, "tasks", len(tasks), "heavy", j.heavy, "waiting", j.nWaiting(), "fetch_s", placement.LastFetchS, "after_s", now.Sub(j.firstSeen).Seconds())
}

// updateReservation reserves for a gang exactly the machines that were decided for it.
func (n *Node) updateReservation(j *job, reservation *decide.Reservation, now time.Time) {
	if now.Before(j.preemptAfter) {
		return // preemption is in progress, and its machines are earmarked already
	}
	if reservation == nil || len(reservation.Machines) == 0 {
		n.endReservation(j, now)
		return
	}
	if j.reservedSince.IsZero() {
		j.reservedSince = now
	}
	j.expectedStart = reservation.ExpectedStart
	until := j.reservedSince.Add(j.facts.ReservationTime())
	machines := make([]*machine, 0, len(reservation.Machines))
	for _, f := range reservation.Machines {
		if !f.Lent {
			machines = append(machines, n.machines[f.Name])
		}
	}
	for _, m := range j.reservedMachines {
		if !slices.Contains(machines, m) {
			n.unreserve(m, j)
		}
	}
	for _, m := range machines {
		if m.earmarkedFor != j || !m.gangReservation || !m.earmarkedUntil.Equal(until) {
			m.earmarkedFor, m.earmarkedUntil, m.gangReservation = j, until, true
			n.markStale(m)
		}
	}
	j.reservedMachines = machines
	j.waitCause = decide.ReservingForGang
	n.jobFacts(j, now)
	n.refreshIndex(now)
}

// endReservation releases the machines that are reserved for a gang. If the reservation lasted for its
// maximum time, others may use the machines for a while before the gang may reserve again.
func (n *Node) endReservation(j *job, now time.Time) {
	if j.reservedSince.IsZero() {
		return
	}
	if j.facts.ReservationExpired(now) {
		j.reserveAfter = now.Add(decide.ReservationBackoff)
	}
	for _, m := range j.reservedMachines {
		n.unreserve(m, j)
	}
	j.reservedMachines, j.reservedSince, j.expectedStart = nil, time.Time{}, time.Time{}
	n.jobFacts(j, now)
	n.refreshIndex(now)
}

// unreserve ends a machine's reservation for a gang.
func (n *Node) unreserve(m *machine, j *job) {
	if m.earmarkedFor == j && m.gangReservation {
		m.earmarkedFor, m.gangReservation = nil, false
		n.markStale(m)
	}
}

// checkPlacement is set by tests only. It is called with each placement and the view it was decided on.
var checkPlacement func(n *Node, v *decide.View, j *decide.Job, p decide.Placement)

// preempt evicts tasks for jobs that found no capacity.
func (n *Node) preempt(view *decide.View, waiting []*job, now time.Time) {
	for _, j := range waiting {
		if j.waitCause == decide.PreemptionInProgress {
			continue // tasks were just evicted for it where its image is cached
		}
		if j.writePending || now.Before(j.preemptAfter) || now.Before(j.victimSearchAfter) {
			continue
		}
		var preemption *decide.Preemption
		if count := n.preemptionDemand(j, now); count > 0 {
			preemption = view.Preempt(n.jobFactsWithZones(j, now), count, decide.AnyMachine)
		} else if j.waitCause == decide.TeamLimit {
			if preemption = view.PreemptWithinTeam(n.jobFactsWithZones(j, now)); preemption.HasEvictions() {
				n.releaseLimitReservation(j)
				n.teams[j.team].LimitReservations = append(n.teams[j.team].LimitReservations, decide.LimitReservation{Job: &j.facts, Until: now.Add(preemptionHold)})
			}
		} else {
			continue
		}
		if n.applyPreemption(j, preemption, false, now); !preemption.HasEvictions() {
			j.victimSearchAfter = now.Add(victimSearchPause)
		}
	}
}

// releaseLimitReservation drops the part of the team's limit that is reserved for a job, and expired
// reservations of other jobs.
func (n *Node) releaseLimitReservation(j *job) {
	team, now := n.teams[j.team], time.Now()
	team.LimitReservations = slices.DeleteFunc(team.LimitReservations, func(k decide.LimitReservation) bool {
		return k.Job == &j.facts || k.Job.Waiting == 0 || !now.Before(k.Until)
	})
}

// victimSearchPause is how long a job for which no task could be evicted does not search again: a
// search walks over all tasks of the partition.
const victimSearchPause = time.Second

// preemptionHold is how long the capacity that a preemption frees is kept for its job, and waited for.
const preemptionHold = 8 * time.Second

// applyPreemption evicts the tasks that were chosen for a job, and earmarks the machines.
func (n *Node) applyPreemption(j *job, preemption *decide.Preemption, cached bool, now time.Time) {
	if preemption == nil {
		return
	}
	for _, f := range preemption.Earmarked {
		if f.Lent {
			continue // the lender takes it back by itself
		}
		m := n.machines[f.Name]
		m.earmarkedFor, m.earmarkedUntil, m.gangReservation = j, now.Add(preemptionHold), false
		n.markStale(m)
	}
	for _, c := range preemption.Evictions {
		m := n.machines[c.Machine.Name]
		if until := now.Add(preemptionHold); cached {
			j.preemptionWaitUntil = until
		} else {
			j.preemptAfter = until
		}
		for _, x := range c.Victims {
			n.log.Info("task stopped for another job", "task", protocol.TaskID(x.Job.ID, x.Task), "for", j.id, "machine", m.name)
			n.stopTask(n.jobs[x.Job.ID], x.Task)
		}
		n.sendStops(m)
	}
	n.refreshIndex(now)
}

// rentalKey is an offer that is requested for a partition.
type rentalKey struct {
	partition int
	offer
}

// rent requests the machines that the waiting jobs need beyond those requested already, and those that
// jobs like the recent ones are expected to need.
func (n *Node) rent(view *decide.View, p *partition, waiting []*job, now time.Time) {
	if len(n.machineTypes) == 0 {
		return
	}
	market := &decide.Market{RefusedUntil: n.cloudState.refusedUntil}
	for r, k := range n.cloudState.requested {
		if r.partition == p.index {
			market.Pending = append(market.Pending, decide.PendingRental{Offer: r.offer, Count: k})
		}
	}
	for _, other := range n.partitions {
		if other != p && !n.hasWaitingTasks(other.index, now) {
			market.DonorPartitions = append(market.DonorPartitions, other.index)
		}
	}
	var facts []*decide.Job
	for _, j := range waiting {
		facts = append(facts, n.jobFactsWithZones(j, now))
	}
	p.recentArrivals = decide.TrimArrivals(p.recentArrivals, now)
	decision := view.Rent(facts, view.ExpectedJobs(p.recentArrivals, now.Sub(n.loadControl.followingSince), n.policy.Headroom), market)
	for i, j := range waiting {
		if j.waitCause != decide.ReservingForGang {
			j.waitCause = decision.Reasons[i]
		}
	}
	for f, needed := range decision.Needed {
		if m := n.machines[f.Name]; m.needed != needed {
			m.needed = needed
			n.markStale(m)
		}
	}
	if !n.policy.StopRentals {
		n.requestLargest(p, decision.ToRent, now)
	}
}

// requestLargest sends the request for the largest number of machines, if the cloud's rate limit allows
// one now. Waiting with the decision instead of queueing requests lets a request cover all that is
// needed when it is sent.
func (n *Node) requestLargest(p *partition, want map[offer]int, now time.Time) {
	if now.Before(n.cloudState.nextRequest) {
		return
	}
	var best rentalKey
	count := 0
	for o, k := range want {
		r := rentalKey{p.index, o}
		if n.cloudState.requested[r] == 0 && (k > count || k == count && compareNames(o.Zone, best.Zone) < 0) {
			best, count = r, k
		}
	}
	if count == 0 {
		return
	}
	if n.cloudState.wantedSince.IsZero() {
		n.cloudState.wantedSince = now // jobs arrive in bursts: wait a moment to cover more of them
	}
	if now.Sub(n.cloudState.wantedSince) < 300*time.Millisecond {
		return
	}
	if n.takeBudget(start.Rent, 1) == 0 {
		return
	}
	n.cloudState.wantedSince = time.Time{}
	n.cloudState.nextRequest = now.Add(time.Duration(float64(n.cfg.Params.Nodes) / n.cfg.Params.Cloud.RPS * float64(time.Second)))
	n.rentMachines(p, best, min(count, 50))
}

func compareNames(a, b string) int { return cmp.Compare(a, b) }
