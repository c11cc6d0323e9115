package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dapplestage.example/dapplestage/internal/protocol"
)

// RenderFaults decides which tasks of render-farm tickets fail and which lose their machine.
// Each decision is derived from the seed and the task's name in its ticket, never from the
// time, a machine or an id: the same tickets meet the same errors and losses in each run.
type RenderFaults struct {
	Seed uint64

	mu        sync.Mutex
	stepNames map[string]string // TICKET/STEP, by job id
}

// NewRenderFaults returns the faults derived from a seed.
func NewRenderFaults(seed uint64) *RenderFaults {
	return &RenderFaults{Seed: seed, stepNames: map[string]string{}}
}

// AlwaysFailsPrefix is the prefix of a ticket name that makes the first task of the step s0
// fail in each attempt.
const AlwaysFailsPrefix = "hopeless"

// drawPermille returns a number from 0 to 999 that depends on its arguments and the seed alone.
func (f *RenderFaults) drawPermille(purpose, name string, task int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d|%s|%s|%d", f.Seed, purpose, name, task)) % 1000
}

// FailuresBeforeSuccess returns how often a task of a step fails before it succeeds, or -1 if
// it always fails.
func (f *RenderFaults) FailuresBeforeSuccess(ticket, step string, task int) int {
	if strings.HasPrefix(ticket, AlwaysFailsPrefix) && step == "s0" && task == 0 {
		return -1
	}
	switch draw := f.drawPermille("errors", ticket+"/"+step, task); {
	case draw < 700:
		return 0
	case draw < 900:
		return 1
	default:
		return 2
	}
}

// LosesFirstMachine reports whether the machine of a task's first start is lost, and after
// which notice (0: without notice).
func (f *RenderFaults) LosesFirstMachine(ticket, step string, task int) (lost bool, notice time.Duration) {
	switch draw := f.drawPermille("taken", ticket+"/"+step, task); {
	case draw < 40:
		return true, 0
	case draw < 80:
		return true, 4 * time.Second
	}
	return false, 0
}

// InjectInto applies the faults to the tasks of a fleet. The returned function must be called
// with each uploaded job description, from which it learns the job's ticket and step.
func (f *RenderFaults) InjectInto(fleet *Fleet) func(description []byte) {
	ticketStepOf := func(job *protocol.JobSpec) (ticket, step string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		ticket, step, _ = strings.Cut(f.stepNames[job.ID], "/")
		return ticket, step
	}
	fleet.TaskFails = func(job *protocol.JobSpec, task, errors int) bool {
		ticket, step := ticketStepOf(job)
		n := f.FailuresBeforeSuccess(ticket, step, task)
		return n < 0 || errors < n
	}
	fleet.LosesFirstMachine = func(job *protocol.JobSpec, task int) (bool, time.Duration) {
		ticket, step := ticketStepOf(job)
		return f.LosesFirstMachine(ticket, step, task)
	}
	return func(description []byte) {
		var d struct {
			ID   string `json:"id"`
			Step struct{ Name, Step string }
		}
		if json.Unmarshal(description, &d) == nil {
			f.mu.Lock()
			f.stepNames[d.ID] = d.Step.Name + "/" + d.Step.Step
			f.mu.Unlock()
		}
	}
}
