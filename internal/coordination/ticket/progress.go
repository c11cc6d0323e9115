package ticket

import (
	"fmt"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// StepNow is how a step's job is, as its holder sees it.
type StepNow struct {
	Open    bool // there is a job
	Foreign bool // a job that is not the ticket's has its id
	Failed  int  // tasks that used up their tries
	Stopped bool // it is to end already
}

// Next is what to do about a ticket. At most one of its parts is set; each becomes
// one conditional write, and when that is stored the question is asked again.
type Next struct {
	Fail string // the ticket fails, for this reason: all that runs of it is stopped
	Stop []int  // steps to stop: of a ticket that is to end, and gangs that can't complete
	Over string // the ticket is over, as this
	Open []int  // steps to start
}

// Decide says what to do about a ticket. most is how many of its steps may be open at
// a time.
func Decide(rec *protocol.TicketRecord, cancelled bool, now []StepNow, most int) Next {
	failed, open, done := 0, 0, 0
	for i, st := range rec.Steps {
		failed += st.Failed + now[i].Failed
		if now[i].Open {
			open++
		}
		if st.State == protocol.JobDone {
			done++
		}
	}
	going := !cancelled && rec.Failing == ""
	if most := rec.Terms.FailedTasks.Granted; going && failed > most {
		return Next{Fail: why(rec, now, failed, most)}
	}
	var n Next
	for i, st := range rec.Steps {
		switch {
		case !going && now[i].Open && !now[i].Stopped:
			n.Stop = append(n.Stop, i)
		case !going:
		case now[i].Foreign && st.State == "":
			return Next{Fail: fmt.Sprintf("step %s: another job has the id of its job", st.Name)}
		case now[i].Open && now[i].Failed > 0 && !now[i].Stopped && rec.Base.Shape == protocol.Gang:
			n.Stop = append(n.Stop, i)
		}
	}
	if going {
		n.Open = MayOpen(rec, now, most)
	}
	switch {
	case n.Stop != nil:
		return Next{Stop: n.Stop}
	case n.Open != nil:
		return Next{Open: n.Open}
	case open > 0:
	case cancelled && rec.Failing == "": // whichever was stored first, and so told, holds
		n.Over = protocol.JobCancelled
	case going && done == len(rec.Steps):
		n.Over = protocol.JobDone
	default:
		n.Over = protocol.JobFailed
	}
	return n
}

// MayOpen are the steps that a ticket's holder may open, under the same record, beside
// those known to be open. Who changes the record must make sure that they are not, or
// a step would go on that nobody stops. (Found with simulated troubles: a node that
// had not yet heard of a step's job cancelled the ticket without it.)
func MayOpen(rec *protocol.TicketRecord, now []StepNow, most int) (out []int) {
	open := 0
	for _, s := range now {
		if s.Open {
			open++
		}
	}
	for i, st := range rec.Steps {
		if st.State == "" && !now[i].Open && ready(rec, i) && open+len(out) < most {
			out = append(out, i)
		}
	}
	return out
}

// ready says whether all that a step depends on is done.
func ready(rec *protocol.TicketRecord, step int) bool {
	for _, d := range rec.Steps[step].Deps {
		if rec.Steps[d].State != protocol.JobDone {
			return false
		}
	}
	return true
}

func why(rec *protocol.TicketRecord, now []StepNow, failed, most int) string {
	in := ""
	for i, st := range rec.Steps {
		if st.Failed+now[i].Failed > 0 {
			if in != "" {
				in += ", "
			}
			in += st.Name
		}
	}
	return fmt.Sprintf("tasks that failed %d times each: %d, in %s; the ticket may have %d", rec.Terms.Retries.Granted+1, failed, in, most)
}

// mostWhich bounds the ranges of failed tasks that are remembered of a step.
const mostWhich = 4

// Ended is a ticket's record once a step's job is over as status. which are its failed
// tasks, as ranges.
func Ended(rec *protocol.TicketRecord, step int, status string, done, failed int, which [][2]int) *protocol.TicketRecord {
	out := *rec
	out.Steps = append([]protocol.TicketStep{}, rec.Steps...)
	st := &out.Steps[step]
	st.State, st.Done, st.Failed, st.Which = status, done, failed, which[:min(len(which), mostWhich)]
	return &out
}

// Failing is a ticket's record once it fails.
func Failing(rec *protocol.TicketRecord, why string) *protocol.TicketRecord {
	out := *rec
	out.Failing = why
	return &out
}

// Outcome is what a step's job is called when nothing of it is left: failed if a task
// used up its tries or the ticket failed, withdrawn if it was cancelled, else done.
func Outcome(cancelled, stopped bool, failed int) string {
	switch {
	case stopped || failed > 0 && !cancelled:
		return protocol.JobFailed
	case cancelled:
		return protocol.JobCancelled
	}
	return protocol.JobDone
}

// Counts says whether a task's end counts against its retries. Only an error of the
// task does. A task that was stopped, lost with its machine or lease, refused by its
// worker, or that waited for its gang in vain is started again as often as it takes.
func Counts(cause string) bool { return cause == protocol.CauseError }

// Spent says whether a task has used up its tries.
func Spent(errors, retries int) bool { return errors > retries }

const (
	firstPause = time.Second
	mostPause  = 30 * time.Second
)

// Pause is how long a task waits before it is tried again after so many errors: twice
// as long each time, so that what ails its machine or its data can pass.
func Pause(errors int) time.Duration {
	if errors <= 0 {
		return 0
	}
	return min(mostPause, firstPause<<min(errors-1, 6))
}
