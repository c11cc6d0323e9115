package standin

import (
	"cmp"
	"slices"
	"strings"

	"dapplestage.example/dapplestage/internal/protocol"
)

// TaskView is a copy of one task in a worker's list.
type TaskView struct {
	Job     *protocol.JobSpec
	Number  int
	Attempt uint64
	State   string
	Cause   string
}

// Occupies reports whether the task takes resources on its machine.
func (t *TaskView) Occupies() bool { return t.State != protocol.TaskExited }

// MachineView is a copy of one machine and its worker's state.
type MachineView struct {
	Name               string
	Type               *protocol.MachineType
	Zone               string
	Spot               bool
	Booted             bool // has finished booting
	InterruptionNotice bool // the cloud has announced that it takes the machine back
	Token              uint64
	Tasks              []TaskView
}

// View is a snapshot of the fleet's actual state, independent of what controllers know.
type View struct {
	Machines []MachineView // by name
	// UnfinishedTasks is the number of tasks that have never completed, by job, for all
	// jobs that were submitted.
	UnfinishedTasks map[string]int
	// FailsEverywhere contains the jobs that fail on every machine.
	FailsEverywhere map[string]bool
}

// View returns a snapshot of the fleet.
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
	for _, task := range m.tasks {
		out.Tasks = append(out.Tasks, TaskView{Job: task.job, Number: task.number, Attempt: task.attempt, State: task.state, Cause: task.cause})
	}
	slices.SortFunc(out.Tasks, func(a, b TaskView) int {
		return cmp.Or(strings.Compare(a.Job.ID, b.Job.ID), a.Number-b.Number)
	})
	return out
}

// GPUsUsed returns how many GPUs the tasks of a team take, including tasks that still fetch
// their image.
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

// Submissions returns all jobs that users have submitted, ordered by id.
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

// OccupyingTasks returns how many tasks of a job take resources on machines.
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

// RefusedStarts returns how many direct commands with starts were refused so far because
// their fencing token was lower than one that the worker had seen.
func (f *Fleet) RefusedStarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusedStarts
}

// countRefusedStarts counts a refused direct command if it has starts and its token is too low.
func (m *Machine) countRefusedStarts(o protocol.Orders) {
	starts := slices.ContainsFunc(o.Commands, func(c protocol.Command) bool { return c.Op == protocol.OpStart })
	if o.Token < m.token && starts {
		m.fleet.refusedStarts++
	}
}
