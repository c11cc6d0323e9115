package decide

import (
	"cmp"
	"slices"

	"dapplestage.example/dapplestage/internal/protocol"
)

// PreemptWithinTeam chooses tasks of lower priority of a job's own team to preempt, so that the
// job fits within the team's limit, and the tasks to preempt for the capacity that it then needs.
// It chooses none if the job could still not be placed, or if tasks that are being stopped
// already free enough. The caller must reserve the freed part of the limit for the job
// (Team.LimitReservations); otherwise other tasks of the preempted jobs take it. Without this
// preemption, 32 services waited for up to 39 s on a simulated day while arrays of their own team
// used up its limit.
func (v *View) PreemptWithinTeam(j *Job) *Preemption {
	unlimited := *v.team(j)
	tasks := j.EligibleTasks(v.Now)
	if j.Rank == protocol.Low || j.Cancelled || j.AbortAttempt || j.FailsEverywhere || tasks <= 0 || v.neverRuns(j) || j.Spec.Shape == protocol.Gang && tasks < j.Tasks {
		return nil
	}
	stopping, teamTasks := v.lowerPriorityTeamTasks(j)
	after := unlimited // the team after the preemption
	after.Used = unlimited.Used.Add(unlimited.reservedLimit(j, true, v.Now), 1).Add(stopping, -1)
	minTasks := j.minTasksToStart()
	if after.TasksWithinLimit(j.Need) >= minTasks {
		return nil
	}
	// Would the job be placed without the limit?
	withoutLimit := *v
	withoutLimit.Teams, withoutLimit.noCapacityAt, withoutLimit.noVictimsAt = slices.Clone(v.Teams), nil, nil
	unlimited.Limit, unlimited.LimitReservations = Resources{}, nil
	withoutLimit.Teams[j.Team] = &unlimited
	preemption := &Preemption{}
	stopped := map[taskKey]bool{}
	if placed := len(withoutLimit.Place(j).Machines); placed > 0 {
		tasks = min(tasks, placed)
	} else if preemption = withoutLimit.Preempt(j, tasks, AnyMachine); !preemption.HasEvictions() {
		return nil
	}
	evictions := map[*Machine]*Eviction{}
	for _, eviction := range preemption.Evictions {
		evictions[eviction.Machine] = eviction
		for _, victim := range eviction.Victims {
			stopped[taskKey{victim.Job, victim.Task}] = true
			if victim.Job.Team == j.Team {
				after.Used = after.Used.Add(victim.Job.Need, -1)
			}
		}
	}
	for _, task := range teamTasks {
		if after.TasksWithinLimit(j.Need) >= tasks {
			break
		}
		excess := after.Used.Add(j.Need, float64(tasks)).Add(after.Limit, -1)
		if stopped[taskKey{task.Job, task.Task}] || !(after.Limit.CPUs > 0 && excess.CPUs > Tolerance && task.Job.Need.CPUs > 0) && !(after.Limit.GPUs > 0 && excess.GPUs > Tolerance && task.Job.Need.GPUs > 0) {
			continue
		}
		after.Used = after.Used.Add(task.Job.Need, -1)
		if evictions[task.m] == nil {
			evictions[task.m] = &Eviction{Machine: task.m}
			preemption.Evictions = append(preemption.Evictions, evictions[task.m])
		}
		evictions[task.m].Victims = append(evictions[task.m].Victims, task.Victim)
	}
	if after.TasksWithinLimit(j.Need) < minTasks {
		return nil
	}
	return preemption
}

// taskKey identifies a task.
type taskKey struct {
	job  *Job
	task int
}

// teamTask is a task that could be preempted for its team's limit.
type teamTask struct {
	m *Machine
	Victim
	loss float64 // seconds of work lost
}

// lowerPriorityTeamTasks returns the tasks of a job's team that have a lower priority and can be
// preempted, those with the least loss first, and the resources of the team's tasks that are being
// stopped already.
func (v *View) lowerPriorityTeamTasks(j *Job) (stopping Resources, out []teamTask) {
	for _, m := range v.Index.Machines(v.Partition) {
		if m.lowestPriority <= j.Rank && m.stoppingTasks == 0 {
			continue
		}
		for _, task := range m.Assignments {
			job := task.Job
			switch {
			case job.Team != j.Team:
			case task.Stopping:
				stopping = stopping.Add(job.Need, 1)
			case task.Active && job.Rank > j.Rank && !task.coscheduled():
				loss := job.preemptionLoss(task.Since, v.Now)
				if v.Config.preemptionMissesObjective(job, task.Since, v.Now) {
					loss += missedObjectiveLoss
				}
				out = append(out, teamTask{m, Victim{Job: job, Task: task.Task}, loss})
			}
		}
	}
	slices.SortFunc(out, func(a, b teamTask) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Task, b.Task))
	})
	return stopping, out
}
