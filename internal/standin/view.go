package standin

import (
	"cmp"
	"slices"
	"strings"

	"dapplestage.example/dapplestage/internal/protocol"
)

// TaskView is one task in a worker's list at a moment.
type TaskView struct {
	Job     *protocol.JobSpec
	Number  int
	Attempt uint64
	State   string
	Cause   string
}

// Occupies says whether the task takes room on its machine.
func (t *TaskView) Occupies() bool { return t.State != protocol.TaskExited }

// MachineView is one machine and what its worker holds at a moment.
type MachineView struct {
	Name               string
	Type               *protocol.MachineType
	Zone               string
	Spot               bool
	Booted             bool // it has booted
	InterruptionNotice bool // the cloud takes it back
	Token              uint64
	Tasks              []TaskView
}

// View is the fleet as it really is at a moment, whatever the controllers know of it.
type View struct {
	Machines []MachineView // by name
	// UnfinishedTasks are the tasks of each job that have never completed, for all jobs that
	// were submitted.
	UnfinishedTasks map[string]int
	// FailsEverywhere are the jobs that fail on every machine.
	FailsEverywhere map[string]bool
}

// View is how the fleet is now.
func (f *Fleet) View() *View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &View{UnfinishedTasks: map[string]int{}, FailsEverywhere: map[string]bool{}}
	for id, job := range f.jobs {
		v.UnfinishedTasks[id] = job.Tasks - f.finishedTasks[id]
		v.FailsEverywhere[id] = f.failsEverywhere[id]
	}
	for _, m := range f.machines {
		m.checkLease()
		v.Machines = append(v.Machines, m.view())
	}
	slices.SortFunc(v.Machines, func(a, b MachineView) int { return strings.Compare(a.Name, b.Name) })
	return v
}

func (m *Machine) view() MachineView {
	out := MachineView{Name: m.info.ID, Zone: m.info.Zone, Spot: m.info.Spot, Booted: m.booted, InterruptionNotice: !m.interruptionAt.IsZero(), Token: m.token}
	for i := range m.fleet.Types {
		if m.fleet.Types[i].Name == m.info.Type {
			out.Type = &m.fleet.Types[i]
		}
	}
	for _, p := range m.tasks {
		out.Tasks = append(out.Tasks, TaskView{Job: p.job, Number: p.number, Attempt: p.attempt, State: p.state, Cause: p.cause})
	}
	slices.SortFunc(out.Tasks, func(a, b TaskView) int {
		return cmp.Or(strings.Compare(a.Job.ID, b.Job.ID), a.Number-b.Number)
	})
	return out
}

// GPUsUsed is how many GPUs the tasks of a team take, those that still fetch included.
func (v *View) GPUsUsed(team string) float64 {
	used := 0.0
	for _, m := range v.Machines {
		for i := range m.Tasks {
			if t := &m.Tasks[i]; t.Job.Team == team && t.Occupies() {
				used += t.Job.GPUs
			}
		}
	}
	return used
}

// Submissions are all jobs that users have submitted, by name.
func (f *Fleet) Submissions() []*protocol.JobSpec {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*protocol.JobSpec
	for _, job := range f.jobs {
		out = append(out, job)
	}
	slices.SortFunc(out, func(a, b *protocol.JobSpec) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// OccupyingTasks is how many tasks of a job take room on machines.
func (v *View) OccupyingTasks(job string) int {
	tasks := 0
	for _, m := range v.Machines {
		for i := range m.Tasks {
			if t := &m.Tasks[i]; t.Job.ID == job && t.Occupies() {
				tasks++
			}
		}
	}
	return tasks
}

// RefusedStarts is how many direct commands with starts were refused so far, since their token was
// lower than one that the worker had seen.
func (f *Fleet) RefusedStarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusedStarts
}

// countRefusedStarts counts a direct command that is refused.
func (m *Machine) countRefusedStarts(o protocol.Orders) {
	starts := slices.ContainsFunc(o.Commands, func(c protocol.Command) bool { return c.Op == protocol.OpStart })
	if o.Token < m.token && starts {
		m.fleet.refusedStarts++
	}
}
