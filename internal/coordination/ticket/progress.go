package ticket

import (
	"fmt"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// StepState is the state of the job for a step, as the owner of the ticket's partition
// knows it.
type StepState struct {
	Open          bool // the job exists and is not final
	IDTaken       bool // another job has the id of the step's job
	FailedTasks   int  // tasks that have used up their retries
	StopRequested bool // the job is being stopped
}

// Action is the next change of a ticket. At most one of its fields is set. Each becomes one
// conditional write, and once that is stored NextAction is called again.
type Action struct {
	FailReason  string // the ticket fails for this reason, and all of its open steps are stopped
	StopSteps   []int  // steps to stop: those of a ticket that is ending, and gangs that can't complete
	FinalStatus string // the ticket ends with this status
	OpenSteps   []int  // steps to start
}

// NextAction returns the next change of a ticket. At most maxOpen of its steps are open at
// a time.
func NextAction(rec *protocol.TicketRecord, cancelled bool, states []StepState, maxOpen int) Action {
	failedTasks, openSteps, doneSteps := 0, 0, 0
	for i, step := range rec.Steps {
		failedTasks += step.Failed + states[i].FailedTasks
		if states[i].Open {
			openSteps++
		}
		if step.State == protocol.JobDone {
			doneSteps++
		}
	}
	active := !cancelled && rec.FailureReason == ""
	if maxFailed := rec.Terms.MaxFailedTasks.Granted; active && failedTasks > maxFailed {
		return Action{FailReason: failureReason(rec, states, failedTasks, maxFailed)}
	}
	var action Action
	for i, step := range rec.Steps {
		switch {
		case !active && states[i].Open && !states[i].StopRequested:
			action.StopSteps = append(action.StopSteps, i)
		case !active:
		case states[i].IDTaken && step.State == "":
			return Action{FailReason: fmt.Sprintf("step %s: another job has the id of its job", step.Name)}
		case states[i].Open && states[i].FailedTasks > 0 && !states[i].StopRequested && rec.Base.Shape == protocol.Gang:
			action.StopSteps = append(action.StopSteps, i)
		}
	}
	if active {
		action.OpenSteps = OpenableSteps(rec, states, maxOpen)
	}
	switch {
	case action.StopSteps != nil:
		return Action{StopSteps: action.StopSteps}
	case action.OpenSteps != nil:
		return Action{OpenSteps: action.OpenSteps}
	case openSteps > 0:
	case cancelled && rec.FailureReason == "": // a cancellation stored before a failure decides the status, since users were told of it
		action.FinalStatus = protocol.JobCancelled
	case active && doneSteps == len(rec.Steps):
		action.FinalStatus = protocol.JobDone
	default:
		action.FinalStatus = protocol.JobFailed
	}
	return action
}

// OpenableSteps returns the steps that the owner of the ticket may open under the same
// record, besides those known to be open. A write that changes the record must be
// conditional on these steps not being open; otherwise a step could continue that nobody
// stops: a node that had not yet seen the job of a step cancelled the ticket without
// stopping that job.
func OpenableSteps(rec *protocol.TicketRecord, states []StepState, maxOpen int) (out []int) {
	openSteps := 0
	for _, state := range states {
		if state.Open {
			openSteps++
		}
	}
	for i, step := range rec.Steps {
		if step.State == "" && !states[i].Open && depsDone(rec, i) && openSteps+len(out) < maxOpen {
			out = append(out, i)
		}
	}
	return out
}

// depsDone reports whether all steps that a step depends on are done.
func depsDone(rec *protocol.TicketRecord, step int) bool {
	for _, dep := range rec.Steps[step].Deps {
		if rec.Steps[dep].State != protocol.JobDone {
			return false
		}
	}
	return true
}

// failureReason describes the failed tasks of a ticket that has more of them than it may
// have.
func failureReason(rec *protocol.TicketRecord, states []StepState, failed, allowed int) string {
	names := ""
	for i, step := range rec.Steps {
		if step.Failed+states[i].FailedTasks > 0 {
			if names != "" {
				names += ", "
			}
			names += step.Name
		}
	}
	return fmt.Sprintf("tasks that failed %d times each: %d, in %s; the ticket may have %d", rec.Terms.MaxRetries.Granted+1, failed, names, allowed)
}

// maxFailedRanges limits the stored ranges of failed tasks per step.
const maxFailedRanges = 4

// WithStepEnded returns the record of a ticket after the job for a step has ended with the
// given status. failedRanges are the ranges of its failed tasks.
func WithStepEnded(rec *protocol.TicketRecord, step int, status string, done, failed int, failedRanges [][2]int) *protocol.TicketRecord {
	out := *rec
	out.Steps = append([]protocol.TicketStep{}, rec.Steps...)
	ended := &out.Steps[step]
	ended.State, ended.Done, ended.Failed, ended.FailedRanges = status, done, failed, failedRanges[:min(len(failedRanges), maxFailedRanges)]
	return &out
}

// WithFailure returns the record of a ticket that fails for the given reason.
func WithFailure(rec *protocol.TicketRecord, reason string) *protocol.TicketRecord {
	out := *rec
	out.FailureReason = reason
	return &out
}

// StepOutcome returns the final status of the job for a step: failed if a task used up its
// retries or the ticket failed, cancelled if the ticket was cancelled, done otherwise.
func StepOutcome(cancelled, stopped bool, failed int) string {
	switch {
	case stopped || failed > 0 && !cancelled:
		return protocol.JobFailed
	case cancelled:
		return protocol.JobCancelled
	}
	return protocol.JobDone
}

// CountsAsRetry reports whether the end of a task counts against its retries. Only an error
// of the task does. A task that was stopped, was lost with its machine or lease, was
// refused by its worker, or waited in vain for its gang is started again without limit.
func CountsAsRetry(cause string) bool { return cause == protocol.CauseError }

// RetriesExhausted reports whether a task with so many errors has used up its retries.
func RetriesExhausted(errors, retries int) bool { return errors > retries }

// Bounds of RetryPause.
const (
	minRetryPause = time.Second
	maxRetryPause = 30 * time.Second
)

// RetryPause returns how long a task waits before its next attempt after so many errors.
// The pause doubles with each error, so that a temporary fault of its machine or its data
// can pass.
func RetryPause(errors int) time.Duration {
	if errors <= 0 {
		return 0
	}
	return min(maxRetryPause, minRetryPause<<min(errors-1, 6))
}
