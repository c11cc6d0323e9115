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

// displaced is what makes places for shifted tasks equal.
type displaced struct {
	needs
	team int
}

// fetchForDisplaced plans machines for tasks that keep GPUs from jobs for which a share lacks
// machines and that find no place in the share without them.
func (p *movePlan) fetchForDisplaced(lacks []lack, own [][]*movable, guests [][]*Job, none map[missing]bool) {
	for _, l := range lacks {
		if l.job.Need.GPUs == 0 || l.spare {
			continue
		}
		var lacking []lack
		for _, j := range p.displacedBy(l, own[l.share]) {
			found := p.imagine(j, l.share, j.Waiting, own[l.share], map[needs]bool{})
			if found.tasks > 0 {
				lacking = append(lacking, found)
			}
		}
		p.fetchAll(lacking, guests, none)
	}
}

// displacedBy stands for the tasks that would have to run elsewhere for a job to have the
// places that it lacks: one job for all that need the same in the same zone.
func (p *movePlan) displacedBy(l lack, own []*movable) []*Job {
	counts := map[displaced]*Job{}
	for _, b := range own {
		if l.tasks <= 0 {
			break
		}
		if b.gone || b.displaces || !p.may(l.job, b, l.zone, nil) || !p.v.shiftsFor(l.job, b.m) {
			continue
		}
		held, all := b.m.shiftable(l.job.Rank)
		if !all || len(held) == 0 {
			continue
		}
		b.displaces = true
		l.tasks -= b.m.Size.Times(l.job.Need)
		for _, h := range held {
			spec := *h.Job.Spec
			spec.Zone, spec.Spread, spec.OneZone = b.m.Zone, false, false
			key := displaced{needsOf(&Job{Spec: &spec, Need: h.Job.Need}), h.Job.Team}
			if counts[key] == nil {
				counts[key] = &Job{Spec: &spec, Team: h.Job.Team, Share: l.share, Rank: l.job.Rank, Need: h.Job.Need}
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

// shiftable are the tasks of a machine that are as urgent as a rank or more, and whether all
// of them could be shifted if there were places: they are settled, need no GPUs and run
// without others.
func (m *Machine) shiftable(rank int) (held []Held, all bool) {
	for _, h := range m.Held {
		if h.Unwanted || h.Job.Rank > rank && h.Settled && !h.together() {
			continue
		}
		if !h.Settled || h.Job.Need.GPUs > 0 || h.Job.Spec.Shape != protocol.Service {
			return nil, false
		}
		held = append(held, h)
	}
	return held, true
}
