package standin

import (
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// CopyMeeting is a situation in which a copy of an answered command arrives at its worker.
type CopyMeeting string

// The situations that RepeatCommand tells apart. Several may hold for one copy.
const (
	CopyMachineGone   CopyMeeting = "copy: the machine is gone"
	CopyTokenRaised   CopyMeeting = "copy: the worker has seen a higher token"
	CopyNextSession   CopyMeeting = "copy: the worker's next session has begun"
	CopyStillListed   CopyMeeting = "copy: the attempt is still listed"
	CopyTaskFailed    CopyMeeting = "copy: the task has failed"
	CopyTaskCompleted CopyMeeting = "copy: the task has completed"
	CopyTaskMoved     CopyMeeting = "copy: a later attempt was started on another machine"
	CopySameMachine   CopyMeeting = "copy: a later attempt was started on the same machine"
	CopyCancelled     CopyMeeting = "copy: the cancellation is confirmed"
	CopyCancelledLong CopyMeeting = "copy: the cancellation is confirmed for longer than cancel_s"
	CopyOfGangTask    CopyMeeting = "copy: of a gang's task that has left its machine"
	CopyMachineIsFull CopyMeeting = "copy: the machine has been filled again"
)

// RepeatCommand carries out a copy of a direct command that the worker has carried out and
// answered before, as a network may deliver it. A copy of a start that changes a task of the worker
// is a violation. A copy of a stop may end a task: one whose start was held up until after the stop.
// It returns in which situations the copy arrived.
func (f *Fleet) RepeatCommand(addr string, orders protocol.Orders) (meetings []CopyMeeting) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.byAddress[addr]
	if m == nil || !m.booted || m.removed {
		return []CopyMeeting{CopyMachineGone}
	}
	m.checkLease()
	for _, command := range orders.Commands {
		if command.Op == protocol.OpStart {
			meetings = append(meetings, m.copyMeetings(command)...)
		}
	}
	switch {
	case orders.Session != m.session:
		return append(meetings, CopyNextSession)
	case orders.Token < m.token && !f.IgnoreTokens:
		return append(meetings, CopyTokenRaised)
	}
	for _, command := range orders.Commands {
		before := m.taskState(command.Task)
		m.executeCommands([]protocol.Command{command})
		if command.Op == protocol.OpStart && m.taskState(command.Task) != before {
			f.copiesWithEffect++
			f.violation("changed_by_copy %s on %s", command.Task, m.info.ID)
		}
	}
	return meetings
}

// CopyEffects returns how many starts in copies changed something, and which rules were broken.
func (f *Fleet) CopyEffects() (changed int, violations []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copiesWithEffect, slices.Clone(f.Violations)
}

// taskState returns a copy of a task's entry in the worker's list, empty if there is none.
func (m *Machine) taskState(id string) workerTask {
	if task := m.tasks[id]; task != nil {
		return *task
	}
	return workerTask{}
}

// copyMeetings returns the situations in which a copy of a start arrives. Callers hold mu.
func (m *Machine) copyMeetings(command protocol.Command) (meetings []CopyMeeting) {
	f := m.fleet
	id, _, _ := protocol.ParseTaskID(command.Task)
	job, task := f.jobs[id], m.tasks[command.Task]
	if job == nil {
		return nil
	}
	if task != nil && task.attempt == command.Attempt {
		return []CopyMeeting{CopyStillListed}
	}
	cancelledAt, cancelled := f.cancelledAt[id]
	for _, situation := range []struct {
		holds   bool
		meeting CopyMeeting
	}{
		{f.errorCounts[command.Task] > 0, CopyTaskFailed},
		{f.completedTasks[command.Task], CopyTaskCompleted},
		{f.latestAttempt[command.Task] > command.Attempt && task == nil, CopyTaskMoved},
		{f.latestAttempt[command.Task] > command.Attempt && task != nil, CopySameMachine},
		{cancelled, CopyCancelled},
		{cancelled && time.Since(cancelledAt).Seconds() > f.Workers.CancelS, CopyCancelledLong},
		{job.Shape == protocol.Gang, CopyOfGangTask},
		{!m.hasCapacity(job), CopyMachineIsFull},
	} {
		if situation.holds {
			meetings = append(meetings, situation.meeting)
		}
	}
	return meetings
}
