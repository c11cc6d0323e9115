package node

import (
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/protocol"
)

// What decisions see of the actor's state. The actor changes machines, jobs and teams;
// package decide sees facts about them, kept in an index so that a look need not walk
// the fleet. Whoever changes something of a machine that facts are made of calls touch;
// the facts are made anew before the next decision. This file may read all of a
// machine's and a job's state and writes nothing but facts.

// Names from package decide that the actor's state is made of.
type (
	Resources = decide.Resources
	Window    = decide.Window
	offer     = decide.Offer
)

const tolerance = decide.Tolerance

// markStale notes that something of a machine has changed.
func (n *Node) markStale(m *machine) {
	if m != nil && !m.factsStale {
		m.factsStale = true
		n.planningFacts.staleMachines = append(n.planningFacts.staleMachines, m)
	}
}

// markJobStale notes that something of a job has changed which its machines' facts tell.
func (n *Node) markJobStale(j *job) {
	for i := range j.tasks {
		n.markStale(j.tasks[i].machine)
	}
}

func (n *Node) markAllStale() {
	for _, m := range n.machines {
		n.markStale(m)
	}
}

// refreshIndex makes the facts of all machines that were touched anew.
func (n *Node) refreshIndex(now time.Time) {
	if shut := n.gatewayJobsBlocked(now); shut != n.planningFacts.gatewayClosed {
		n.planningFacts.gatewayClosed = shut // with the site's lease jobs of the gateway may not run: no event tells
		n.markAllStale()
	}
	for _, m := range n.planningFacts.staleMachines {
		n.currentFacts(m)
	}
	n.planningFacts.staleMachines = n.planningFacts.staleMachines[:0]
}

// currentFacts are a machine's facts as they are now.
func (n *Node) currentFacts(m *machine) *decide.Machine {
	if m.factsStale {
		m.factsStale = false
		if n.machines[m.name] != m {
			n.planningFacts.index.Remove(&m.facts)
			return &m.facts
		}
		f := n.buildMachineFacts(m)
		n.planningFacts.index.Set(&m.facts, &f)
	}
	return &m.facts
}

func (n *Node) buildMachineFacts(m *machine) decide.Machine {
	t := n.machineTypes[m.rec.Type]
	f := decide.Machine{Name: m.name, Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot, Partition: m.rec.Partition, Used: m.used, SecPerGB: decide.SecondsPerGB(t, m.secPerGB),
		AvoidUntil: m.avoidUntil, LastReport: m.lastFencedReport, HasAddress: m.rec.Addr != "", EarmarkedUntil: m.earmarkedUntil, Reserved: m.gangReservation, Needed: m.needed}
	if t != nil {
		f.HasType, f.Size = true, decide.SizeOf(t)
	}
	for _, b := range [...]struct {
		is  bool
		bit decide.Block
	}{{!m.recorded, decide.NotRecorded}, {!m.fenced, decide.Unfenced}, {m.spotNotice, decide.InterruptionNotice}, {m.returning, decide.Returning}, {m.returned, decide.Returned},
		{m.moving, decide.Moving}, {m.cordoned, decide.Cordoned}, {len(m.unconfirmedStarts) > 0, decide.StartUnconfirmed}, {n.faulty(m), decide.Faulty}} {
		if b.is {
			f.Block |= b.bit
		}
	}
	if m.reachableOnlyDirectly() {
		f.LastReport = m.lastFencedReport.Add(-n.silenceTimeout()) // silent at once: a start would end with the lease
	}
	for _, im := range m.images {
		f.Images = append(f.Images, im.Name)
	}
	for im := range m.fetchStartedAt {
		f.Images = append(f.Images, im)
	}
	for k := range m.tasks {
		t := &k.job.tasks[k.task]
		f.Assignments = append(f.Assignments, decide.Assignment{Job: &k.job.facts, Task: k.task, Since: t.phaseSince, Active: t.phase == phasePlaced && t.outcome == outcomeNone, Stopping: n.shouldStop(k.job, t)})
	}
	if m.earmarkedFor != nil {
		f.EarmarkedFor = &m.earmarkedFor.facts
	}
	return f
}

// jobFacts are a job's facts as they are now. What is counted by tasks is kept up by
// setPhase.
func (n *Node) jobFacts(j *job, now time.Time) *decide.Job {
	f := &j.facts
	f.InBackoff = 0
	if j.hasErrors {
		f.InBackoff = j.nWaiting() - j.startableTasks(now)
	}
	f.Cancelled, f.AbortAttempt, f.WritePending, f.SiteLeaseMissing = j.cancelled, j.abortAttempt, j.writePending, n.blockedBySiteLease(j, now)
	f.FailsEverywhere, f.Tries, f.LastError, f.Heavy = j.failures.failsEverywhere, j.failures.tries, j.failures.lastMachine, j.heavy
	f.NotBefore, f.PreemptionWaitUntil, f.PreemptAfter, f.VictimSearchAfter = j.notBefore, j.preemptionWaitUntil, j.preemptAfter, j.victimSearchAfter
	f.ReservedSince, f.ReserveAfter, f.ExpectedStart, f.ReservationBlockedSince = j.reservedSince, j.reserveAfter, j.expectedStart, j.reservationBlockedSince
	return f
}

// jobFactsWithZones are a job's facts with the zones that its tasks are in, if they bind it.
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

func newJobFacts(j *job) decide.Job {
	return decide.Job{ID: j.id, Spec: j.spec, Team: j.team, Partition: j.partition, Rank: j.rank, Need: j.need, Tasks: len(j.tasks),
		Submitted: j.submitted, FirstSeen: j.firstSeen, Waiting: j.nWaiting(), TicketStep: j.step != nil}
}

// view is one look at a share.
func (n *Node) view(s *partition, now time.Time) *decide.View {
	n.refreshIndex(now)
	v := &decide.View{Now: now, Partition: s.index, NoPreemption: n.owns(s) && !s.reconciliation.MayPreempt(), Types: n.machineTypes, Index: n.planningFacts.index, GPUTypesInDemand: n.wantedTypes(now),
		Config: decide.Config{ReportS: n.cfg.Params.Workers.ReportS, Objectives: n.cfg.Params.Aims, MoveS: n.policy.MoveS}}
	for _, t := range n.teams {
		v.Teams = append(v.Teams, &t.Team)
	}
	return v
}

// wantedFor is how long it holds which types work with GPUs could use.
const wantedFor = 2 * time.Second

// wantedTypes are the types that work with GPUs could use: jobs that are there, of any
// share, and those that came lately.
func (n *Node) wantedTypes(now time.Time) map[string]bool {
	if n.planningFacts.gpuTypesInDemand != nil && now.Sub(n.planningFacts.gpuTypesAt) < wantedFor {
		return n.planningFacts.gpuTypesInDemand
	}
	n.planningFacts.gpuTypesInDemand, n.planningFacts.gpuTypesAt = map[string]bool{}, now
	for _, j := range n.jobs {
		decide.MarkGPUTypesInDemand(n.planningFacts.gpuTypesInDemand, n.machineTypes, j.spec)
	}
	for _, s := range n.partitions {
		for _, a := range decide.TrimArrivals(s.recentArrivals, now) {
			decide.MarkGPUTypesInDemand(n.planningFacts.gpuTypesInDemand, n.machineTypes, a.Spec)
		}
	}
	return n.planningFacts.gpuTypesInDemand
}

// usable says whether new tasks may be placed on a machine.
func (n *Node) usable(m *machine, now time.Time) bool {
	return n.currentFacts(m).Usable(now, n.cfg.Params.Workers.ReportS)
}

// available is what a machine has left.
func (n *Node) available(m *machine) Resources { return n.currentFacts(m).Free() }

// hasCapacity says whether another task could start on a machine.
func (n *Node) hasCapacity(m *machine) bool { return n.currentFacts(m).HasCapacity() }

// hasStoppingTask says whether something on a machine is to leave it.
func (n *Node) hasStoppingTask(m *machine) bool {
	for k := range m.tasks {
		if n.shouldStop(k.job, &k.job.tasks[k.task]) {
			return true
		}
	}
	return false
}

// preemptionDemand is how many tasks of a job room should be made for.
func (n *Node) preemptionDemand(j *job, now time.Time) int {
	return decide.Demand(n.jobFacts(j, now), &n.teams[j.team].Team, now)
}

// unguaranteed says whether a job's team has no guarantee.
func (n *Node) unguaranteed(j *job) bool { return n.teams[j.team].Unguaranteed() }

// onlyUnguaranteed says whether all that a machine has to do is guests' work.
func (n *Node) onlyUnguaranteed(m *machine) bool {
	for k := range m.tasks {
		if !n.unguaranteed(k.job) {
			return false
		}
	}
	return true
}

// overLimit says whether what is counted for a team is more than it may use: then
// nothing of it is started, whatever is recorded.
func (n *Node) overLimit(team int) bool { return n.teams[team].OverLimit() }

// capacityOf is what a machine of a type has.
func capacityOf(t *protocol.MachineType) Resources { return decide.SizeOf(t) }
