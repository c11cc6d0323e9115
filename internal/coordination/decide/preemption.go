package decide

import (
	"cmp"
	"slices"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Preemption is the set of tasks to stop for a job, and the machines to earmark for it while they
// stop.
type Preemption struct {
	Evictions []*Eviction
	Earmarked []*Machine // for a gang; keeps off jobs of the same or a lower priority
}

// HasEvictions reports whether any task is to be stopped.
func (p *Preemption) HasEvictions() bool { return p != nil && len(p.Evictions) > 0 }

// Victim is a task that may be stopped for another job.
type Victim struct {
	Job           *Job
	Task          int
	overGuarantee bool // it may be stopped only because its team uses more than its guarantee
	relocates     bool // it may be stopped only to be relocated
}

// Eviction is a set of tasks to stop on one machine, with the gain and the loss.
type Eviction struct {
	Machine *Machine
	Victims []Victim
	gain    int     // number of further tasks of the job that would fit
	loss    float64 // seconds of work lost, plus seconds to fetch the image
}

// missedObjectiveLoss is the loss, in seconds of work, that is added if stopping a task makes its
// job miss an objective.
const missedObjectiveLoss = 120

// preemptionKey identifies jobs for which the same tasks can be preempted.
type preemptionKey struct {
	placementKey
	team, rank      int
	scope           PreemptionScope
	image           string // set if the scope is MachinesWithImage
	imageGB         float64
	withinGuarantee bool
}

// PreemptionScope limits the machines on which tasks are preempted.
type PreemptionScope uint8

const (
	AnyMachine              PreemptionScope = iota
	MachinesWithImage                       // only machines that have the job's image and on which it would idle no GPUs
	MachinesWithoutIdleGPUs                 // only machines on which the job would idle no GPUs
)

// borrowed returns how many GPUs each team uses beyond its guarantee, not counting tasks that are
// being stopped already. The caller subtracts further victims as it chooses them. Without both, a
// team falls below its guarantee, preempts others in turn, and in an overload half of all work is
// lost.
func (v *View) borrowed() []float64 {
	out := make([]float64, len(v.Teams))
	for i, t := range v.Teams {
		out[i] = t.Used.GPUs - t.Guarantee.GPUs - v.Index.stoppingGPUs[i]
	}
	return out
}

// withinBorrowed reports whether the victims' teams still borrow at least what the eviction takes
// from them.
func (e *Eviction) withinBorrowed(borrowed []float64) bool {
	takenByTeam := map[int]float64{}
	for _, victim := range e.Victims {
		takenByTeam[victim.Job.Team] += victim.Job.Need.GPUs
		if victim.overGuarantee && takenByTeam[victim.Job.Team] > borrowed[victim.Job.Team]+Tolerance {
			return false
		}
	}
	return true
}

// Preempt chooses tasks to stop so that up to the given number of a job's tasks fit: tasks of lower
// priority, tasks that another team runs beyond its guarantee if the job is within its own team's
// guarantee, and tasks that can be relocated.
func (v *View) Preempt(j *Job, tasks int, scope PreemptionScope) *Preemption {
	if j.Rank == protocol.Low || v.neverRuns(j) {
		return nil
	}
	withImage := scope == MachinesWithImage
	team := v.team(j)
	withinGuarantee := team.Used.Add(j.Need, float64(tasks)).Within(team.Guarantee)
	key := preemptionKey{placementKey: placementKeyOf(j), team: j.Team, rank: j.Rank, scope: scope, withinGuarantee: withinGuarantee}
	if withImage {
		key.image, key.imageGB = j.Spec.Image, j.Spec.ImageGB
	}
	if at, known := v.noVictimsAt[key]; known && at == v.Index.version && !j.zoneConstrained() {
		return nil
	}
	var borrowed []float64
	if withinGuarantee {
		borrowed = v.borrowed()
	}
	// Only machines that the job may use count. On a simulated day a service that lacked
	// capacity in one zone preempted tasks in another zone every 8 s.
	var machines []*Machine
	for _, m := range v.Index.Machines(v.Partition) {
		if m.lowestPriority <= j.Rank && !(withinGuarantee && m.lowestPriority >= protocol.High) && !v.mayRelocateFor(j, m) || m.stoppingTasks > 0 {
			continue // no task on it may be stopped for the job
		}
		if j.zoneCapacity(m.Zone) <= 0 || !Allowed(j.Spec, m.offer()) || !v.usable(m) || m.EarmarkExcludes(j, v.Now) || withImage && !m.HasImage(j.Spec.Image) || scope != AnyMachine && v.idledGPUs(j, m.Type) > 0 {
			continue
		}
		machines = append(machines, m)
	}
	if j.Need.GPUs > 0 { // machines with the fewest tasks to relocate come first
		slices.SortStableFunc(machines, func(a, b *Machine) int { return a.cpuOnlyTasks - b.cpuOnlyTasks })
	}
	var evictions []*Eviction
	relocations := v.newRelocationPlan(v.Partition)
	for _, m := range machines {
		if eviction := v.evictionOn(m, j, min(tasks, j.zoneCapacity(m.Zone)), withinGuarantee, withImage, borrowed, relocations); eviction != nil {
			evictions = append(evictions, eviction)
		}
	}
	if len(evictions) == 0 {
		if v.noVictimsAt == nil {
			v.noVictimsAt = map[preemptionKey]uint64{}
		}
		v.noVictimsAt[key] = v.Index.version
	}
	slices.SortStableFunc(evictions, func(a, b *Eviction) int {
		// Among equal machines the fullest come first, so that a machine that runs only
		// tasks of unguaranteed teams continues to run only those.
		return cmp.Or(cmp.Compare(v.idledGPUs(j, a.Machine.Type), v.idledGPUs(j, b.Machine.Type)), cmp.Compare(a.loss/float64(a.gain), b.loss/float64(b.gain)), cmp.Compare(b.Machine.Used.GPUs, a.Machine.Used.GPUs))
	})
	preemption := &Preemption{}
	if j.Spec.Shape == protocol.Gang {
		if evictions, tasks, preemption.Earmarked = v.selectForGang(j, evictions); evictions == nil {
			return preemption // stopping some tasks would not start the gang
		}
	}
	gained := map[string]int{}
	for _, eviction := range evictions {
		if tasks <= 0 {
			break
		}
		if gained[eviction.Machine.Zone] >= j.zoneCapacity(eviction.Machine.Zone) || !eviction.withinBorrowed(borrowed) {
			continue
		}
		gained[eviction.Machine.Zone] += eviction.gain
		tasks -= eviction.gain
		preemption.Evictions = append(preemption.Evictions, eviction)
		for _, victim := range eviction.Victims {
			if borrowed != nil {
				borrowed[victim.Job.Team] -= victim.Job.Need.GPUs
			}
		}
	}
	return preemption
}

// selectForGang chooses the evictions after which, together with the free capacity, all tasks of a
// gang fit, in one zone if it must run in one. It returns them, the number of tasks that need
// them, and the machines to earmark for the gang while the victims stop: those with free capacity
// and those of the evictions. It returns no evictions if the gang would not fit.
func (v *View) selectForGang(j *Job, evictions []*Eviction) (chosen []*Eviction, tasks int, earmarked []*Machine) {
	zoneOf := func(m *Machine) string {
		if j.Spec.OneZone {
			return m.Zone
		}
		return ""
	}
	free := map[string][]*Machine{}
	isFree := map[*Machine]bool{}
	freeTasks := map[string]int{}
	for _, m := range v.Index.Machines(v.Partition) {
		if k := m.Free().TaskCount(j.Need); k > 0 && Allowed(j.Spec, m.offer()) && v.usable(m) && !m.EarmarkExcludes(j, v.Now) {
			free[zoneOf(m)] = append(free[zoneOf(m)], m)
			isFree[m] = true
			freeTasks[zoneOf(m)] += k
		}
	}
	byZone := map[string][]*Eviction{}
	loss, gain := map[string]float64{}, map[string]int{}
	for _, eviction := range evictions { // sorted, the cheapest first
		z := zoneOf(eviction.Machine)
		if isFree[eviction.Machine] || freeTasks[z]+gain[z] >= j.Tasks {
			continue
		}
		byZone[z] = append(byZone[z], eviction)
		gain[z] += eviction.gain
		loss[z] += eviction.loss
	}
	best, found := "", false
	for z := range byZone {
		if freeTasks[z]+gain[z] >= j.Tasks && (!found || loss[z] < loss[best] || loss[z] == loss[best] && z < best) {
			best, found = z, true
		}
	}
	if !found {
		return nil, 0, nil
	}
	earmarked = free[best]
	for _, eviction := range byZone[best] {
		earmarked = append(earmarked, eviction.Machine)
	}
	return byZone[best], j.Tasks - freeTasks[best], earmarked
}

// evictionOn chooses the tasks of m with the least loss to stop so that up to the given number of
// further tasks of j fit. It returns nil if no further task would fit.
func (v *View) evictionOn(m *Machine, j *Job, tasks int, withinGuarantee, withImage bool, borrowed []float64, relocations *relocationPlan) *Eviction {
	type rankedVictim struct {
		Victim
		loss float64
	}
	var victims []rankedVictim
	mayRelocate := v.mayRelocateFor(j, m)
	for _, task := range m.Assignments {
		job := task.Job
		if !task.Active || task.coscheduled() {
			continue
		}
		overGuarantee := withinGuarantee && job.Team != j.Team && job.Rank >= protocol.High && borrowed[job.Team] >= job.Need.GPUs-Tolerance && job.Need.GPUs > 0
		if job.Rank <= j.Rank && !overGuarantee {
			if mayRelocate && job.Need.GPUs == 0 {
				victims = append(victims, rankedVictim{Victim{Job: job, Task: task.Task, relocates: true}, relocationLoss})
			}
			continue
		}
		loss := job.preemptionLoss(task.Since, v.Now)
		if overGuarantee && job.Rank <= j.Rank && job.Spec.CheckpointS == 0 && loss > job.Spec.EstimateS/3 {
			continue // the task has run for more than a third of its estimate: better wait for its end
		}
		if v.Config.preemptionMissesObjective(job, task.Since, v.Now) {
			if withImage {
				continue // avoiding a slow fetch does not justify a missed objective
			}
			loss += missedObjectiveLoss
		}
		victims = append(victims, rankedVictim{Victim{Job: job, Task: task.Task, overGuarantee: job.Rank <= j.Rank}, loss})
	}
	slices.SortFunc(victims, func(a, b rankedVictim) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Task, b.Task))
	})
	eviction := &Eviction{Machine: m, loss: m.FetchSeconds(j.Spec)}
	free := m.Free()
	before := free.TaskCount(j.Need)
	takenByTeam := map[int]float64{}
	checkpoint := len(relocations.placements)
	for _, victim := range victims {
		if free.TaskCount(j.Need)-before >= tasks {
			break
		}
		if victim.relocates {
			fetchS, found := relocations.placeTask(victim.Job, m)
			if !found {
				continue
			}
			victim.loss += fetchS
		}
		if takenByTeam[victim.Job.Team] += victim.Job.Need.GPUs; victim.overGuarantee && takenByTeam[victim.Job.Team] > borrowed[victim.Job.Team]+Tolerance {
			continue
		}
		free = free.Add(victim.Job.Need, 1)
		eviction.Victims = append(eviction.Victims, victim.Victim)
		eviction.loss += victim.loss
	}
	eviction.gain = min(tasks, free.TaskCount(j.Need)-before)
	if eviction.gain <= 0 || len(eviction.Victims) == 0 {
		relocations.rollBack(checkpoint)
		return nil
	}
	return eviction
}
