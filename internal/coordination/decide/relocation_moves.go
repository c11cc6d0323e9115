package decide

import (
	"cmp"
	"slices"
	"strings"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Service replicas that need no GPU are placed on machines with GPUs when nothing else is
// free. When a job that needs those GPUs waits and the partition has no capacity to relocate
// the replicas to, machines without GPUs are moved to the partition for them from partitions
// that run work of lower priority. Without that, 336 replicas of one CPU kept 7 of a
// partition's 15 machines from gangs for four minutes on a simulated day, while another
// partition ran arrays of lower priority on 700 CPUs.

// relocationJobKey identifies relocated tasks that can be placed on the same machines and
// belong to the same team. They are planned as one job.
type relocationJobKey struct {
	placementKey
	team int
}

// planMovesForRelocation plans moves of machines for tasks that occupy GPUs which jobs with a
// shortfall need, and that fit nowhere else in their partition.
func (p *movePlan) planMovesForRelocation(shortfalls []shortfall, candidates [][]*moveCandidate, unguaranteed [][]*Job, notFound map[shortfallKey]bool) {
	for _, jobShortfall := range shortfalls {
		if jobShortfall.job.Need.GPUs == 0 || jobShortfall.unguaranteed {
			continue
		}
		var displacedShortfalls []shortfall
		for _, j := range p.jobsToRelocate(jobShortfall, candidates[jobShortfall.partition]) {
			missing := p.placeInPartition(j, jobShortfall.partition, j.Waiting, candidates[jobShortfall.partition], map[placementKey]bool{})
			if missing.tasks > 0 {
				displacedShortfalls = append(displacedShortfalls, missing)
			}
		}
		p.planMovesForAll(displacedShortfalls, unguaranteed, notFound)
	}
}

// jobsToRelocate returns the tasks that would have to be relocated for a job's shortfall to
// fit, as one job for all tasks of a team that need the same resources in the same zone. The
// jobs with the most tasks come first.
func (p *movePlan) jobsToRelocate(jobShortfall shortfall, candidates []*moveCandidate) []*Job {
	jobs := map[relocationJobKey]*Job{}
	for _, candidate := range candidates {
		if jobShortfall.tasks <= 0 {
			break
		}
		if candidate.moved || candidate.relocationPlanned || !p.canUse(jobShortfall.job, candidate, jobShortfall.zone, nil) || !p.view.mayRelocateFor(jobShortfall.job, candidate.m) {
			continue
		}
		tasks, all := candidate.m.relocatableTasks(jobShortfall.job.Rank)
		if !all || len(tasks) == 0 {
			continue
		}
		candidate.relocationPlanned = true
		jobShortfall.tasks -= candidate.m.Size.TaskCount(jobShortfall.job.Need)
		for _, task := range tasks {
			spec := *task.Job.Spec
			spec.Zone, spec.Spread, spec.OneZone = candidate.m.Zone, false, false
			key := relocationJobKey{placementKeyOf(&Job{Spec: &spec, Need: task.Job.Need}), task.Job.Team}
			if jobs[key] == nil {
				jobs[key] = &Job{Spec: &spec, Team: task.Job.Team, Partition: jobShortfall.partition, Rank: jobShortfall.job.Rank, Need: task.Job.Need}
			}
			jobs[key].Tasks++
			jobs[key].Waiting++
		}
	}
	out := make([]*Job, 0, len(jobs))
	for _, j := range jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *Job) int {
		return cmp.Or(b.Waiting-a.Waiting, strings.Compare(a.Spec.Zone, b.Spec.Zone), a.Team-b.Team, cmp.Compare(a.Need.CPUs, b.Need.CPUs), cmp.Compare(a.Need.MemoryGB, b.Need.MemoryGB))
	})
	return out
}

// relocatableTasks returns the tasks of a machine that cannot be preempted by a job of a rank,
// and reports whether all of them could be relocated given enough capacity elsewhere: they are
// active tasks of services and need no GPUs.
func (m *Machine) relocatableTasks(rank int) (tasks []Assignment, all bool) {
	for _, task := range m.Assignments {
		if task.Stopping || task.Job.Rank > rank && task.Active && !task.coscheduled() {
			continue
		}
		if !task.Active || task.Job.Need.GPUs > 0 || task.Job.Spec.Shape != protocol.Service {
			return nil, false
		}
		tasks = append(tasks, task)
	}
	return tasks, true
}
