package node

import (
	"cmp"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/start"
	"dapplestage.example/dapplestage/internal/protocol"
)

// The actor's part in scheduling: it shows package decide how a share stands, one
// question at a time, and applies each answer before it asks the next.

// faulty says whether too much failed on a machine in a row.
func (n *Node) faulty(m *machine) bool { return m.faults.faulty() }

// plan places what waits on the machines of each share held, and rents for the rest.
func (n *Node) plan(now time.Time) {
	if n.sinceContact(now) > 2*time.Second {
		return // nothing could be stored
	}
	claimed := n.anyGuaranteedWorkWaits(now)
	for _, s := range n.partitions {
		n.countArrivals(s)
		if !n.owns(s) || n.standby.leaving || !n.mayDecide(s, now) {
			continue
		}
		v := n.view(s, now)
		var waits []*job
		for _, j := range s.jobs {
			if j.nWaiting() == 0 || j.cancelled || j.abortAttempt {
				n.endReservation(j, now)
				continue
			}
			if n.blockedBySiteLease(j, now) {
				j.waitCause = decide.SiteWithoutLease
				continue
			}
			if !j.writePending && !now.Before(j.notBefore) {
				n.place(v, j, now)
			}
			if j.failures.failsEverywhere && len(s.machines) > 0 {
				continue // nothing is rented or stopped for it
			}
			switch {
			case j.nWaiting() == 0:
			case claimed && n.unguaranteed(j):
				j.waitCause = decide.GuaranteesFirst
			default:
				waits = append(waits, j)
			}
		}
		if s.reconciliation.MayPreempt() {
			n.preempt(v, waits, now)
		}
		if !now.Before(s.nextRent) && !n.awaitsAdoption(now) {
			s.nextRent = now.Add(rentInterval)
			n.rent(v, s, waits, now)
		}
	}
}

// rentInterval is how often a share looks at what it lacks: the cloud's rate allows hardly
// more requests, and jobs come in bursts that one can cover.
const rentInterval = 300 * time.Millisecond

// arrival is a recent job, from which the near future is expected.
type arrival = decide.Arrival

// countArrivals lets the share's window see new jobs in the order they came, on every
// node, so that who takes the share over has the window that its holder had. At a node's
// start these are the jobs present, so the means have a start.
func (n *Node) countArrivals(s *partition) {
	if len(s.newJobs) == 0 {
		return
	}
	slices.SortFunc(s.newJobs, func(a, b *job) int {
		return cmp.Or(a.submitted.Compare(b.submitted), cmp.Compare(a.id, b.id))
	})
	present := len(s.jobs) - len(s.newJobs)
	for _, j := range s.newJobs {
		present++
		j.heavy = s.window.RecordArrival(present, j.spec.ImageGB) || n.policy.Greedy
	}
	clear(s.newJobs)
	s.newJobs = s.newJobs[:0]
}

// takeBack gives up placements of less urgent jobs of a share that no change is being
// stored of yet, so that a job finds the places: they are decided anew right after. (On
// simulated days with 20 changes a second arrays held most of the free places like that
// for seconds, where nobody could stop them, and services were put where gangs should
// run.) Where the team's limit is what it lacks, they are those of its own team. It
// returns false if there are none where the job could go.
func (n *Node) takeBack(j *job, limit bool, now time.Time) bool {
	any, replan := false, n.replan
	defer func() { n.replan = replan }() // they are looked at later in this look
	could := func(o *job, m *machine) bool {
		if limit {
			return o.team == j.team
		}
		t := n.machineTypes[m.rec.Type]
		return t != nil && decide.Allowed(j.spec, offer{Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot}) && decide.SizeOf(t).TaskCount(j.need) > 0
	}
	for o := range n.dirty {
		if o.writePending || o.partition != j.partition || o.rank <= j.rank || o.spec.Shape == protocol.Gang {
			continue
		}
		news := false
		for i := range o.tasks {
			switch t := &o.tasks[i]; {
			case t.phase == phaseProposed && could(o, t.machine):
				any = true
				n.setPhase(o, i, phaseWaiting, nil, 0, now)
			case t.phase == phaseProposed || t.outcome != outcomeNone:
				news = true
			}
		}
		if news {
			continue
		}
		clear(o.dirtyChunks)
		if !n.hasPendingUpdate(o) {
			delete(n.dirty, o)
			o.dirtySince = time.Time{}
		}
	}
	return any
}

// place gives a job's waiting tasks the machines that are decided for them.
func (n *Node) place(v *decide.View, j *job, now time.Time) {
	p := v.Place(n.jobFactsWithZones(j, now))
	if (p.Reason == decide.NoFreeMachine || p.Reason == decide.GangIncomplete || p.Reason == decide.TeamLimit || p.IdlesGPUs || p.Preemption.HasEvictions()) && j.rank <= protocol.High && n.takeBack(j, p.Reason == decide.TeamLimit, now) {
		n.refreshIndex(now)
		p = v.Place(n.jobFactsWithZones(j, now))
	}
	if checkPlacement != nil {
		checkPlacement(n, v, &j.facts, p)
	}
	n.applyPreemption(j, p.Preemption, true, now)
	if j.waitCause = p.Reason; p.Reason == decide.PreemptionInProgress {
		n.replan = true
	}
	n.keepReserved(j, p.Reserve, now)
	switch {
	case !p.BlockedByReservation:
		j.reservationBlockedSince = time.Time{}
	case j.reservationBlockedSince.IsZero():
		j.reservationBlockedSince = now
	}
	if len(p.Machines) == 0 {
		return
	}
	var tasks []int
	var to []*machine
	for i := range j.tasks {
		if len(tasks) == len(p.Machines) {
			break
		}
		if j.tasks[i].phase == phaseWaiting && !j.inBackoff(i, now) {
			to = append(to, n.machines[p.Machines[len(tasks)].Name])
			tasks = append(tasks, i)
		}
	}
	n.proposePlacements(j, tasks, to, now)
	n.refreshIndex(now)
	n.metrics.placed.Add(float64(len(tasks)))
	n.log.Debug("placing", "job", j.id, "class", j.spec.Class, "tasks", len(tasks), "heavy", j.heavy, "waiting", j.nWaiting(), "fetch_s", p.LastFetchS, "after_s", now.Sub(j.firstSeen).Seconds())
}

// keepReserved keeps for a gang what was decided to be reserved for it, and nothing else any
// more.
func (n *Node) keepReserved(j *job, r *decide.Reservation, now time.Time) {
	if now.Before(j.preemptAfter) {
		return // room is being made, which is kept already
	}
	if r == nil || len(r.Machines) == 0 {
		n.endReservation(j, now)
		return
	}
	if j.reservedSince.IsZero() {
		j.reservedSince = now
	}
	j.expectedStart = r.ExpectedStart
	until := j.reservedSince.Add(j.facts.ReservationTime())
	keep := make([]*machine, 0, len(r.Machines))
	for _, f := range r.Machines {
		keep = append(keep, n.machines[f.Name])
	}
	for _, m := range j.reservedMachines {
		if !slices.Contains(keep, m) {
			n.unreserve(m, j)
		}
	}
	for _, m := range keep {
		if m.earmarkedFor != j || !m.gangReservation || !m.earmarkedUntil.Equal(until) {
			m.earmarkedFor, m.earmarkedUntil, m.gangReservation = j, until, true
			n.markStale(m)
		}
	}
	j.reservedMachines = keep
	j.waitCause = decide.ReservingForGang
	n.jobFacts(j, now)
	n.refreshIndex(now)
}

// endReservation lets others use what is reserved for a gang. If it was reserved for as
// long as it may be, they have it for a while before the gang may have another.
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

// checkPlacing, if a test sets it, is shown each decision with the view it was made on.
var checkPlacement func(n *Node, v *decide.View, j *decide.Job, p decide.Placement)

// preempt makes room for jobs that found none.
func (n *Node) preempt(v *decide.View, waits []*job, now time.Time) {
	for _, j := range waits {
		if j.waitCause == decide.PreemptionInProgress {
			continue // it was just made where its image is
		}
		if j.writePending || now.Before(j.preemptAfter) || now.Before(j.victimSearchAfter) {
			continue
		}
		var room *decide.Preemption
		if r := n.preemptionDemand(j, now); r > 0 {
			room = v.Preempt(n.jobFactsWithZones(j, now), r, decide.AnyMachine)
		} else if j.waitCause == decide.TeamLimit {
			if room = v.PreemptWithinTeam(n.jobFactsWithZones(j, now)); room.HasEvictions() {
				n.releaseLimitReservation(j)
				n.teams[j.team].LimitReservations = append(n.teams[j.team].LimitReservations, decide.LimitReservation{Job: &j.facts, Until: now.Add(roomTime)})
			}
		} else {
			continue
		}
		if n.applyPreemption(j, room, false, now); !room.HasEvictions() {
			j.victimSearchAfter = now.Add(noVictimsPause)
		}
	}
}

// releaseLimitReservation forgets what of its team's limit was kept for a job, and what no longer is for
// others.
func (n *Node) releaseLimitReservation(j *job) {
	tm, now := n.teams[j.team], time.Now()
	tm.LimitReservations = slices.DeleteFunc(tm.LimitReservations, func(k decide.LimitReservation) bool {
		return k.Job == &j.facts || k.Job.Waiting == 0 || !now.Before(k.Until)
	})
}

// noVictimsPause is how long a job that found nobody to stop does not look
// again: looking costs a walk over all tasks of the share.
const noVictimsPause = time.Second

// roomTime is how long room that is being made is kept and waited for.
const roomTime = 8 * time.Second

// applyPreemption stops what was decided to be stopped for a job.
func (n *Node) applyPreemption(j *job, r *decide.Preemption, cached bool, now time.Time) {
	if r == nil {
		return
	}
	for _, f := range r.Earmarked {
		m := n.machines[f.Name]
		m.earmarkedFor, m.earmarkedUntil, m.gangReservation = j, now.Add(roomTime), false
		n.markStale(m)
	}
	for _, c := range r.Evictions {
		m := n.machines[c.Machine.Name]
		if until := now.Add(roomTime); cached {
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

// rentalKey is an offer asked for on behalf of a share.
type rentalKey struct {
	partition int
	offer
}

// rent asks for the machines that the waiting jobs lack beyond those on the way, and
// for those that jobs like the recent ones will need.
func (n *Node) rent(v *decide.View, s *partition, waits []*job, now time.Time) {
	if len(n.machineTypes) == 0 {
		return
	}
	market := &decide.Market{RefusedUntil: n.cloudState.refusedUntil}
	for r, k := range n.cloudState.requested {
		if r.partition == s.index {
			market.Pending = append(market.Pending, decide.PendingRental{Offer: r.offer, Count: k})
		}
	}
	for _, o := range n.partitions {
		if o != s && !n.hasWaitingTasks(o.index, now) {
			market.DonorPartitions = append(market.DonorPartitions, o.index)
		}
	}
	var facts []*decide.Job
	for _, j := range waits {
		facts = append(facts, n.jobFactsWithZones(j, now))
	}
	s.recentArrivals = decide.TrimArrivals(s.recentArrivals, now)
	d := v.Rent(facts, v.ExpectedJobs(s.recentArrivals, now.Sub(n.loadControl.followingSince), n.policy.Headroom), market)
	for i, j := range waits {
		if j.waitCause != decide.ReservingForGang {
			j.waitCause = d.Reasons[i]
		}
	}
	for f, needed := range d.Needed {
		if m := n.machines[f.Name]; m.needed != needed {
			m.needed = needed
			n.markStale(m)
		}
	}
	if !n.policy.StopRentals {
		n.askLargest(s, d.ToRent, now)
	}
}

// askLargest sends the request for the most machines if the cloud's rate allows
// one now. Asking later, not queueing, lets a request cover all that is wanted
// when it goes out.
func (n *Node) askLargest(s *partition, want map[offer]int, now time.Time) {
	if now.Before(n.cloudState.nextRequest) {
		return
	}
	var best rentalKey
	most := 0
	for o, k := range want {
		r := rentalKey{s.index, o}
		if n.cloudState.requested[r] == 0 && (k > most || k == most && compareNames(o.Zone, best.Zone) < 0) {
			best, most = r, k
		}
	}
	if most == 0 {
		return
	}
	if n.cloudState.wantedSince.IsZero() {
		n.cloudState.wantedSince = now // jobs come in bursts: look again in a moment
	}
	if now.Sub(n.cloudState.wantedSince) < 300*time.Millisecond {
		return
	}
	if n.takeBudget(start.Rent, 1) == 0 {
		return
	}
	n.cloudState.wantedSince = time.Time{}
	n.cloudState.nextRequest = now.Add(time.Duration(float64(n.cfg.Params.Nodes) / n.cfg.Params.Cloud.RPS * float64(time.Second)))
	n.rentMachines(s, best, min(most, 50))
}

func compareNames(a, b string) int { return cmp.Compare(a, b) }
