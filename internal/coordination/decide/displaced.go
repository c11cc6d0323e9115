package decide

import (
	"cmp"
	"slices"
	"strings"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Replicas that came when nothing else was free are on machines with GPUs, and a share that is
// full of replicas has nowhere to shift them to when work waits that needs those GPUs, however
// much less urgent work there is in other shares. Machines without GPUs are then moved to the
// share for them. (On a simulated quiet day 336 replicas of one CPU kept 7 of a share's 15
// machines from gangs for four minutes, while another share ran arrays, which are less urgent,
// on 700 CPUs.)

// relocationJobKey is what makes places for shifted tasks equal.
type relocationJobKey struct {
	placementKey
	team int
}

// planMovesForRelocation plans machines for tasks that keep GPUs from jobs for which a share lacks
// machines and that find no place in the share without them.
func (p *movePlan) planMovesForRelocation(lacks []shortfall, own [][]*moveCandidate, guests [][]*Job, none map[shortfallKey]bool) {
	for _, l := range lacks {
		if l.job.Need.GPUs == 0 || l.unguaranteed {
			continue
		}
		var lacking []shortfall
		for _, j := range p.jobsToRelocate(l, own[l.partition]) {
			found := p.placeInPartition(j, l.partition, j.Waiting, own[l.partition], map[placementKey]bool{})
			if found.tasks > 0 {
				lacking = append(lacking, found)
			}
		}
		p.planMovesForAll(lacking, guests, none)
	}
}

// jobsToRelocate stands for the tasks that would have to run elsewhere for a job to have the
// places that it lacks: one job for all that need the same in the same zone.
func (p *movePlan) jobsToRelocate(l shortfall, own []*moveCandidate) []*Job {
	counts := map[relocationJobKey]*Job{}
	for _, b := range own {
		if l.tasks <= 0 {
			break
		}
		if b.moved || b.relocationPlanned || !p.canUse(l.job, b, l.zone, nil) || !p.view.mayRelocateFor(l.job, b.m) {
			continue
		}
		held, all := b.m.relocatableTasks(l.job.Rank)
		if !all || len(held) == 0 {
			continue
		}
		b.relocationPlanned = true
		l.tasks -= b.m.Size.TaskCount(l.job.Need)
		for _, h := range held {
			spec := *h.Job.Spec
			spec.Zone, spec.Spread, spec.OneZone = b.m.Zone, false, false
			key := relocationJobKey{placementKeyOf(&Job{Spec: &spec, Need: h.Job.Need}), h.Job.Team}
			if counts[key] == nil {
				counts[key] = &Job{Spec: &spec, Team: h.Job.Team, Partition: l.partition, Rank: l.job.Rank, Need: h.Job.Need}
			}
			counts[key].Tasks++
			counts[key].Waiting++
		}
	}
	out := make([]*Job, 0, len(counts))
	for _, j := range counts {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *Job) int {
		return cmp.Or(b.Waiting-a.Waiting, strings.Compare(a.Spec.Zone, b.Spec.Zone), a.Team-b.Team, cmp.Compare(a.Need.CPUs, b.Need.CPUs), cmp.Compare(a.Need.MemoryGB, b.Need.MemoryGB))
	})
	return out
}

// relocatableTasks are the tasks of a machine that are as urgent as a rank or more, and whether all
// of them could be shifted if there were places: they are settled, need no GPUs and run
// without others.
func (m *Machine) relocatableTasks(rank int) (held []Assignment, all bool) {
	for _, h := range m.Assignments {
		if h.Stopping || h.Job.Rank > rank && h.Active && !h.coscheduled() {
			continue
		}
		if !h.Active || h.Job.Need.GPUs > 0 || h.Job.Spec.Shape != protocol.Service {
			return nil, false
		}
		held = append(held, h)
	}
	return held, true
}
