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
	Name    string
	Type    *protocol.MachineType
	Zone    string
	Spot    bool
	Up      bool // it has booted
	Noticed bool // the cloud takes it back
	Token   uint64
	Tasks   []TaskView
}

// View is the fleet as it really is at a moment, whatever the controllers know of it.
type View struct {
	Machines []MachineView // by name
	// Unfinished are the tasks of each job that have never completed, for all jobs that
	// were submitted.
	Unfinished map[string]int
	// Mistaken are the jobs that fail on every machine.
	Mistaken map[string]bool
}

// View is how the fleet is now.
func (f *Fleet) View() *View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &View{Unfinished: map[string]int{}, Mistaken: map[string]bool{}}
	for id, job := range f.jobs {
		v.Unfinished[id] = job.Tasks - f.finished[id]
		v.Mistaken[id] = f.mistaken[id]
	}
	for _, m := range f.machines {
		m.expire()
		v.Machines = append(v.Machines, m.view())
	}
	slices.SortFunc(v.Machines, func(a, b MachineView) int { return strings.Compare(a.Name, b.Name) })
	return v
}

func (m *Machine) view() MachineView {
	out := MachineView{Name: m.info.ID, Zone: m.info.Zone, Spot: m.info.Spot, Up: m.up, Noticed: !m.notice.IsZero(), Token: m.token}
	for i := range m.f.Types {
		if m.f.Types[i].Name == m.info.Type {
			out.Type = &m.f.Types[i]
		}
	}
	for _, p := range m.tasks {
		out.Tasks = append(out.Tasks, TaskView{Job: p.job, Number: p.num, Attempt: p.attempt, State: p.state, Cause: p.cause})
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

// Occupying is how many tasks of a job take room on machines.
func (v *View) Occupying(job string) int {
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

// Refused is how many direct commands with starts were refused so far, since their token was
// lower than one that the worker had seen.
func (f *Fleet) Refused() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outdated
}

// refuse counts a direct command that is refused.
func (m *Machine) refuse(o protocol.Orders) {
	starts := slices.ContainsFunc(o.Commands, func(c protocol.Command) bool { return c.Op == protocol.OpStart })
	if o.Token < m.token && starts {
		m.f.outdated++
	}
}
