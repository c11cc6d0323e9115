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

// RenderFaults is what befalls the tasks of render servers. Everything is drawn from the seed
// and the task's name in its ticket, never from the time, a machine or an id: the same
// tickets meet the same errors and losses in any run.
type RenderFaults struct {
	Seed uint64

	mu        sync.Mutex
	stepNames map[string]string // by job: its ticket's name and its step's
}

// NewRenderFaults makes a farm.
func NewRenderFaults(seed uint64) *RenderFaults {
	return &RenderFaults{Seed: seed, stepNames: map[string]string{}}
}

// AlwaysFailsPrefix begins the name of a ticket whose first task of its first step fails always.
const AlwaysFailsPrefix = "hopeless"

func (f *RenderFaults) drawPermille(what, name string, task int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d|%s|%s|%d", f.Seed, what, name, task)) % 1000
}

// FailuresBeforeSuccess is how often a task of a step fails before it does well; -1: always.
func (f *RenderFaults) FailuresBeforeSuccess(ticket, step string, task int) int {
	if strings.HasPrefix(ticket, AlwaysFailsPrefix) && step == "s0" && task == 0 {
		return -1
	}
	switch d := f.drawPermille("errors", ticket+"/"+step, task); {
	case d < 700:
		return 0
	case d < 900:
		return 1
	default:
		return 2
	}
}

// LosesFirstMachine says whether the machine of a task's first start is lost, and after which
// notice.
func (f *RenderFaults) LosesFirstMachine(ticket, step string, task int) (lost bool, notice time.Duration) {
	switch d := f.drawPermille("taken", ticket+"/"+step, task); {
	case d < 40:
		return true, 0
	case d < 80:
		return true, 4 * time.Second
	}
	return false, 0
}

// InjectInto lets the farm's fates befall a fleet's tasks. It returns what is to be told the
// uploaded descriptions.
func (f *RenderFaults) InjectInto(to *Fleet) func(description []byte) {
	split := func(job *protocol.JobSpec) (ticket, step string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		ticket, step, _ = strings.Cut(f.stepNames[job.ID], "/")
		return ticket, step
	}
	to.TaskFails = func(job *protocol.JobSpec, task, errors int) bool {
		ticket, step := split(job)
		n := f.FailuresBeforeSuccess(ticket, step, task)
		return n < 0 || errors < n
	}
	to.LosesFirstMachine = func(job *protocol.JobSpec, task int) (bool, time.Duration) {
		ticket, step := split(job)
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
