package decide

import (
	"cmp"
	"slices"

	"dapplestage.example/dapplestage/internal/protocol"
)

// PreemptWithinTeam stops less urgent work of a job's own team, so that the job finds room within
// the team's limit, and what else it needs to be placed then. It stops nothing if it
// could not be placed all the same, or if what is leaving already will do. What it frees is
// to be kept for the job (Team.Kept), or other tasks of those that were stopped would take
// it. (On a simulated day 32 services waited for up to 39 s while arrays of their own team
// used up its limit.)
func (v *View) PreemptWithinTeam(j *Job) *Preemption {
	t := *v.team(j)
	r := j.EligibleTasks(v.Now)
	if j.Rank == protocol.Low || j.Cancelled || j.AbortAttempt || j.FailsEverywhere || r <= 0 || v.neverRuns(j) || j.Spec.Shape == protocol.Gang && r < j.Tasks {
		return nil
	}
	leaving, own := v.lowerPriorityTeamTasks(j)
	after := t // the team as it will be
	after.Used = t.Used.Add(t.reservedLimit(j, true, v.Now), 1).Add(leaving, -1)
	atOnce := j.minTasksToStart()
	if after.TasksWithinLimit(j.Need) >= atOnce {
		return nil
	}
	// Would it be placed then?
	w := *v
	w.Teams, w.noCapacityAt, w.noVictimsAt = slices.Clone(v.Teams), nil, nil
	t.Limit, t.LimitReservations = Resources{}, nil
	w.Teams[j.Team] = &t
	out := &Preemption{}
	stopped := map[taskKey]bool{}
	if on := len(w.Place(j).Machines); on > 0 {
		r = min(r, on)
	} else if out = w.Preempt(j, r, AnyMachine); !out.HasEvictions() {
		return nil
	}
	by := map[*Machine]*Eviction{}
	for _, c := range out.Evictions {
		by[c.Machine] = c
		for _, x := range c.Victims {
			stopped[taskKey{x.Job, x.Task}] = true
			if x.Job.Team == j.Team {
				after.Used = after.Used.Add(x.Job.Need, -1)
			}
		}
	}
	for _, c := range own {
		if after.TasksWithinLimit(j.Need) >= r {
			break
		}
		over := after.Used.Add(j.Need, float64(r)).Add(after.Limit, -1)
		if stopped[taskKey{c.Job, c.Task}] || !(after.Limit.CPUs > 0 && over.CPUs > Tolerance && c.Job.Need.CPUs > 0) && !(after.Limit.GPUs > 0 && over.GPUs > Tolerance && c.Job.Need.GPUs > 0) {
			continue
		}
		after.Used = after.Used.Add(c.Job.Need, -1)
		if by[c.m] == nil {
			by[c.m] = &Eviction{Machine: c.m}
			out.Evictions = append(out.Evictions, by[c.m])
		}
		by[c.m].Victims = append(by[c.m].Victims, c.Victim)
	}
	if after.TasksWithinLimit(j.Need) < atOnce {
		return nil
	}
	return out
}

type taskKey struct {
	job  *Job
	task int
}

type teamTask struct {
	m *Machine
	Victim
	loss float64
}

// lowerPriorityTeamTasks are the less urgent tasks of a job's team that could be stopped, those with the
// least loss first, and what of the team's is leaving already.
func (v *View) lowerPriorityTeamTasks(j *Job) (leaving Resources, out []teamTask) {
	for _, m := range v.Index.Machines(v.Partition) {
		if m.lowestPriority <= j.Rank && m.stoppingTasks == 0 {
			continue
		}
		for _, h := range m.Assignments {
			x := h.Job
			switch {
			case x.Team != j.Team:
			case h.Stopping:
				leaving = leaving.Add(x.Need, 1)
			case h.Active && x.Rank > j.Rank && !h.coscheduled():
				loss := x.preemptionLoss(h.Since, v.Now)
				if v.Config.preemptionMissesObjective(x, h.Since, v.Now) {
					loss += missedObjectiveLoss
				}
				out = append(out, teamTask{m, Victim{Job: x, Task: h.Task}, loss})
			}
		}
	}
	slices.SortFunc(out, func(a, b teamTask) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Task, b.Task))
	})
	return leaving, out
}
