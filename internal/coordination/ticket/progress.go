package ticket

import (
	"fmt"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// StepState is how a step's job is, as its holder sees it.
type StepState struct {
	Open          bool // there is a job
	IDTaken       bool // a job that is not the ticket's has its id
	FailedTasks   int  // tasks that used up their tries
	StopRequested bool // it is to end already
}

// Action is what to do about a ticket. At most one of its parts is set; each becomes
// one conditional write, and when that is stored the question is asked again.
type Action struct {
	FailReason  string // the ticket fails, for this reason: all that runs of it is stopped
	StopSteps   []int  // steps to stop: of a ticket that is to end, and gangs that can't complete
	FinalStatus string // the ticket is over, as this
	OpenSteps   []int  // steps to start
}

// NextAction says what to do about a ticket. most is how many of its steps may be open at
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
	if maxOpen := rec.Terms.MaxFailedTasks.Granted; active && failedTasks > maxOpen {
		return Action{FailReason: failureReason(rec, states, failedTasks, maxOpen)}
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
	case cancelled && rec.FailureReason == "": // whichever was stored first, and so told, holds
		action.FinalStatus = protocol.JobCancelled
	case active && doneSteps == len(rec.Steps):
		action.FinalStatus = protocol.JobDone
	default:
		action.FinalStatus = protocol.JobFailed
	}
	return action
}

// OpenableSteps are the steps that a ticket's holder may open, under the same record, beside
// those known to be open. Who changes the record must make sure that they are not, or
// a step would go on that nobody stops. (Found with simulated troubles: a node that
// had not yet heard of a step's job cancelled the ticket without it.)
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

// depsDone says whether all that a step depends on is done.
func depsDone(rec *protocol.TicketRecord, step int) bool {
	for _, dep := range rec.Steps[step].Deps {
		if rec.Steps[dep].State != protocol.JobDone {
			return false
		}
	}
	return true
}

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

// maxFailedRanges bounds the ranges of failed tasks that are remembered of a step.
const maxFailedRanges = 4

// WithStepEnded is a ticket's record once a step's job is over as status. which are its failed
// tasks, as ranges.
func WithStepEnded(rec *protocol.TicketRecord, step int, status string, done, failed int, failedRanges [][2]int) *protocol.TicketRecord {
	out := *rec
	out.Steps = append([]protocol.TicketStep{}, rec.Steps...)
	ended := &out.Steps[step]
	ended.State, ended.Done, ended.Failed, ended.FailedRanges = status, done, failed, failedRanges[:min(len(failedRanges), maxFailedRanges)]
	return &out
}

// WithFailure is a ticket's record once it fails.
func WithFailure(rec *protocol.TicketRecord, reason string) *protocol.TicketRecord {
	out := *rec
	out.FailureReason = reason
	return &out
}

// StepOutcome is what a step's job is called when nothing of it is left: failed if a task
// used up its tries or the ticket failed, withdrawn if it was cancelled, else done.
func StepOutcome(cancelled, stopped bool, failed int) string {
	switch {
	case stopped || failed > 0 && !cancelled:
		return protocol.JobFailed
	case cancelled:
		return protocol.JobCancelled
	}
	return protocol.JobDone
}

// CountsAsRetry says whether a task's end counts against its retries. Only an error of the
// task does. A task that was stopped, lost with its machine or lease, refused by its
// worker, or that waited for its gang in vain is started again as often as it takes.
func CountsAsRetry(cause string) bool { return cause == protocol.CauseError }

// RetriesExhausted says whether a task has used up its tries.
func RetriesExhausted(errors, retries int) bool { return errors > retries }

const (
	minRetryPause = time.Second
	maxRetryPause = 30 * time.Second
)

// RetryPause is how long a task waits before it is tried again after so many errors: twice
// as long each time, so that what ails its machine or its data can pass.
func RetryPause(errors int) time.Duration {
	if errors <= 0 {
		return 0
	}
	return min(maxRetryPause, minRetryPause<<min(errors-1, 6))
}
