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

// Farm is what befalls the tasks of render servers. Everything is drawn from the seed
// and the task's name in its ticket, never from the time, a machine or an id: the same
// tickets meet the same errors and losses in any run.
type Farm struct {
	Seed uint64

	mu    sync.Mutex
	names map[string]string // by job: its ticket's name and its step's
}

// NewFarm makes a farm.
func NewFarm(seed uint64) *Farm { return &Farm{Seed: seed, names: map[string]string{}} }

// Hopeless begins the name of a ticket whose first task of its first step fails always.
const Hopeless = "hopeless"

func (f *Farm) draw(what, name string, task int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d|%s|%s|%d", f.Seed, what, name, task)) % 1000
}

// Errors is how often a task of a step fails before it does well; -1: always.
func (f *Farm) Errors(ticket, step string, task int) int {
	if strings.HasPrefix(ticket, Hopeless) && step == "s0" && task == 0 {
		return -1
	}
	switch d := f.draw("errors", ticket+"/"+step, task); {
	case d < 700:
		return 0
	case d < 900:
		return 1
	default:
		return 2
	}
}

// Taken says whether the machine of a task's first start is lost, and after which
// notice.
func (f *Farm) Taken(ticket, step string, task int) (lost bool, notice time.Duration) {
	switch d := f.draw("taken", ticket+"/"+step, task); {
	case d < 40:
		return true, 0
	case d < 80:
		return true, 4 * time.Second
	}
	return false, 0
}

// Join lets the farm's fates befall a fleet's tasks. It returns what is to be told the
// uploaded descriptions.
func (f *Farm) Join(to *Fleet) func(description []byte) {
	split := func(job *protocol.JobSpec) (ticket, step string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		ticket, step, _ = strings.Cut(f.names[job.ID], "/")
		return ticket, step
	}
	to.Fails = func(job *protocol.JobSpec, task, errors int) bool {
		ticket, step := split(job)
		n := f.Errors(ticket, step, task)
		return n < 0 || errors < n
	}
	to.Taken = func(job *protocol.JobSpec, task int) (bool, time.Duration) {
		ticket, step := split(job)
		return f.Taken(ticket, step, task)
	}
	return func(description []byte) {
		var d struct {
			ID   string `json:"id"`
			Step struct{ Name, Step string }
		}
		if json.Unmarshal(description, &d) == nil {
			f.mu.Lock()
			f.names[d.ID] = d.Step.Name + "/" + d.Step.Step
			f.mu.Unlock()
		}
	}
}
