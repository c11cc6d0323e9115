package node

import (
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/protocol"
)

// The decisions' view of the actor's state. The actor changes machines, jobs and teams. Package decide
// sees facts about them, which are kept in an index so that a decision need not walk over the fleet.
// Code that changes part of a machine's state from which facts are built calls markStale, and the
// facts are rebuilt before the next decision. This file may read all state of machines and jobs, and
// writes only facts.

// Names of package decide that the actor's state uses.
type (
	Resources = decide.Resources
	Window    = decide.Window
	offer     = decide.Offer
)

// tolerance is the difference below which amounts of resources count as equal.
const tolerance = decide.Tolerance

// markStale marks a machine's facts for rebuilding.
func (n *Node) markStale(m *machine) {
	if m != nil && !m.factsStale {
		m.factsStale = true
		n.planningFacts.staleMachines = append(n.planningFacts.staleMachines, m)
	}
}

// markJobStale marks the facts of all machines with tasks of a job for rebuilding.
func (n *Node) markJobStale(j *job) {
	for i := range j.tasks {
		n.markStale(j.tasks[i].machine)
	}
}

// markAllStale marks the facts of all machines for rebuilding.
func (n *Node) markAllStale() {
	for _, m := range n.machines {
		n.markStale(m)
	}
}

// refreshIndex rebuilds the facts of all machines that are marked.
func (n *Node) refreshIndex(now time.Time) {
	if blocked := n.gatewayJobsBlocked(now); blocked != n.planningFacts.gatewayClosed {
		n.planningFacts.gatewayClosed = blocked // gateway jobs may run only with the site's lease, and no event marks its end
		n.markAllStale()
	}
	for _, m := range n.planningFacts.staleMachines {
		n.currentFacts(m)
	}
	n.planningFacts.staleMachines = n.planningFacts.staleMachines[:0]
}

// currentFacts returns a machine's facts, rebuilt if necessary.
func (n *Node) currentFacts(m *machine) *decide.Machine {
	if m.factsStale {
		m.factsStale = false
		if n.machines[m.name] != m {
			n.removeInvalidLentParts(m)
			n.planningFacts.index.Remove(&m.facts)
			return &m.facts
		}
		n.removeInvalidLentParts(m) // first, since it may have moved to the borrower
		f := n.buildMachineFacts(m)
		n.planningFacts.index.Set(&m.facts, &f)
		n.setLentParts(m)
	}
	return &m.facts
}

// buildMachineFacts builds a machine's facts from the actor's state.
func (n *Node) buildMachineFacts(m *machine) decide.Machine {
	machineType := n.machineTypes[m.rec.Type]
	facts := decide.Machine{Name: m.name, Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot, Partition: m.rec.Partition, Used: m.used.Add(n.reservedByLoans(m), 1), SecPerGB: decide.SecondsPerGB(machineType, m.secPerGB),
		AvoidUntil: m.avoidUntil, LastReport: m.lastFencedReport, HasAddress: m.rec.Addr != "", EarmarkedUntil: m.earmarkedUntil, Reserved: m.gangReservation, Needed: m.needed}
	if machineType != nil {
		facts.HasType, facts.Size = true, decide.SizeOf(machineType)
	}
	for _, b := range [...]struct {
		is  bool
		bit decide.Block
	}{{!m.recorded, decide.NotRecorded}, {!m.fenced, decide.Unfenced}, {m.spotNotice, decide.InterruptionNotice}, {m.returning, decide.Returning}, {m.returned, decide.Returned},
		{m.moving, decide.Moving}, {m.cordoned, decide.Cordoned}, {len(m.unconfirmedStarts) > 0, decide.StartUnconfirmed}, {n.faulty(m), decide.Faulty}} {
		if b.is {
			facts.Block |= b.bit
		}
	}
	facts.OnTrial = m.faults.onTrial
	if len(m.excludedJobs) > 0 || m.faults.onTrial {
		facts.ExcludedJobs = m.jobsExcludedFrom()
	}
	if m.reachableOnlyDirectly() {
		facts.LastReport = m.lastFencedReport.Add(-n.silenceTimeout()) // counts as silent at once: a task started now would end with the lease
	}
	for _, im := range m.images {
		facts.Images = append(facts.Images, im.Name)
	}
	for im := range m.fetchStartedAt {
		facts.Images = append(facts.Images, im)
	}
	for k := range m.tasks {
		t := &k.job.tasks[k.task]
		facts.Assignments = append(facts.Assignments, decide.Assignment{Job: &k.job.facts, Task: k.task, Since: t.phaseSince, Active: t.phase == phasePlaced && t.outcome == outcomeNone, Stopping: n.shouldStop(k.job, t)})
	}
	if m.earmarkedFor != nil {
		facts.EarmarkedFor = &m.earmarkedFor.facts
	}
	return facts
}

// jobFacts updates and returns a job's facts. Its counts of tasks are kept up to date by
// setPhase.
func (n *Node) jobFacts(j *job, now time.Time) *decide.Job {
	f := &j.facts
	f.InBackoff = 0
	if j.hasErrors {
		f.InBackoff = j.nWaiting() - j.startableTasks(now)
	}
	f.Cancelled, f.AbortAttempt, f.WritePending, f.SiteLeaseMissing = j.cancelled, j.abortAttempt, j.writePending, n.blockedBySiteLease(j, now)
	f.Excluded = j.failures.repeats > 0
	f.FailsEverywhere, f.Tries, f.LastError, f.Heavy = j.failures.failsEverywhere, j.failures.tries, j.failures.lastMachine, j.heavy
	f.NotBefore, f.PreemptionWaitUntil, f.PreemptAfter, f.VictimSearchAfter = j.notBefore, j.preemptionWaitUntil, j.preemptAfter, j.victimSearchAfter
	f.ReservedSince, f.ReserveAfter, f.ExpectedStart, f.ReservationBlockedSince = j.reservedSince, j.reserveAfter, j.expectedStart, j.reservationBlockedSince
	return f
}

// jobFactsWithZones returns a job's facts with the zones that its tasks are in, if these constrain
// its placement.
func (n *Node) jobFactsWithZones(j *job, now time.Time) *decide.Job {
	f := n.jobFacts(j, now)
	f.Zones = nil
	if j.spec.OneZone || j.spec.Spread {
		f.Zones = map[string]int{}
		for i := range j.tasks {
			if m := j.tasks[i].machine; m != nil {
				f.Zones[m.rec.Zone]++
			}
		}
	}
	return f
}

// newJobFacts returns the facts of a job that was just added.
func newJobFacts(j *job) decide.Job {
	return decide.Job{ID: j.id, Spec: j.spec, Team: j.team, Partition: j.partition, Rank: j.rank, Need: j.need, Tasks: len(j.tasks),
		Submitted: j.submitted, FirstSeen: j.firstSeen, Waiting: j.nWaiting(), TicketStep: j.step != nil}
}

// view returns a partition's state as the input of one decision.
func (n *Node) view(p *partition, now time.Time) *decide.View {
	n.refreshIndex(now)
	view := &decide.View{Now: now, Partition: p.index, NoPreemption: n.owns(p) && !p.reconciliation.MayPreempt(), Types: n.machineTypes, Index: n.planningFacts.index, GPUTypesInDemand: n.currentGPUTypes(now),
		Config: decide.Config{ReportS: n.cfg.Params.Workers.ReportS, Objectives: n.cfg.Params.Aims, MoveS: n.policy.MoveS}}
	for _, t := range n.teams {
		view.Teams = append(view.Teams, &t.Team)
	}
	return view
}

// gpuTypesMaxAge is how long gpuTypesInDemand is used before it is computed again.
const gpuTypesMaxAge = 2 * time.Second

// currentGPUTypes returns the machine types that jobs which need GPUs could use: open jobs of any
// partition, and jobs that arrived recently.
func (n *Node) currentGPUTypes(now time.Time) map[string]bool {
	if n.planningFacts.gpuTypesInDemand != nil && now.Sub(n.planningFacts.gpuTypesAt) < gpuTypesMaxAge {
		return n.planningFacts.gpuTypesInDemand
	}
	n.planningFacts.gpuTypesInDemand, n.planningFacts.gpuTypesAt = map[string]bool{}, now
	for _, j := range n.jobs {
		decide.MarkGPUTypesInDemand(n.planningFacts.gpuTypesInDemand, n.machineTypes, j.spec)
	}
	for _, p := range n.partitions {
		for _, a := range decide.TrimArrivals(p.recentArrivals, now) {
			decide.MarkGPUTypesInDemand(n.planningFacts.gpuTypesInDemand, n.machineTypes, a.Spec)
		}
	}
	return n.planningFacts.gpuTypesInDemand
}

// usable reports whether new tasks may be placed on a machine.
func (n *Node) usable(m *machine, now time.Time) bool {
	return n.currentFacts(m).Usable(now, n.cfg.Params.Workers.ReportS)
}

// available returns a machine's free resources.
func (n *Node) available(m *machine) Resources { return n.currentFacts(m).Free() }

// mayGetTasks reports whether new tasks may be placed on a machine, or one may be tried.
func (n *Node) mayGetTasks(m *machine, now time.Time) bool {
	return n.usable(m, now) || m.faults.onTrial
}

// hasAllResources reports whether a machine has resources of every kind left.
func (n *Node) hasAllResources(m *machine) bool { return n.currentFacts(m).HasAllResources() }

// hasStoppingTask reports whether a task on a machine is to leave it.
func (n *Node) hasStoppingTask(m *machine) bool {
	for k := range m.tasks {
		if n.shouldStop(k.job, &k.job.tasks[k.task]) {
			return true
		}
	}
	return false
}

// preemptionDemand returns for how many tasks of a job others should be evicted.
func (n *Node) preemptionDemand(j *job, now time.Time) int {
	return decide.Demand(n.jobFacts(j, now), &n.teams[j.team].Team, now)
}

// unguaranteed reports whether a job's team has no guarantee.
func (n *Node) unguaranteed(j *job) bool { return n.teams[j.team].Unguaranteed() }

// onlyUnguaranteed reports whether all tasks of a machine belong to teams without a guarantee.
func (n *Node) onlyUnguaranteed(m *machine) bool {
	for k := range m.tasks {
		if !n.unguaranteed(k.job) {
			return false
		}
	}
	return true
}

// overLimit reports whether a team is counted to use more than its limit. Then none of its tasks are
// started, whatever is recorded.
func (n *Node) overLimit(team int) bool { return n.teams[team].OverLimit() }

// capacityOf returns the resources of a machine type.
func capacityOf(t *protocol.MachineType) Resources { return decide.SizeOf(t) }
