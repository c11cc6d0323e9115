package duty

import (
	"cmp"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Machines without a record are up and report: they ran before the first controller did,
// or the answer to their rental was lost with whoever asked for it. They are taken up
// rather than returned. What must not happen is that their rental's answer is recorded
// after all, for another share. So every rental is recorded under the condition that the
// fence is as it was when it was asked for, and who takes machines up
//
//  1. has heard them report, and only then
//  2. raises the fence: what was asked for before can't be recorded any more, and what is
//     asked for after is another machine, since these are there already;
//  3. has seen everything that was stored before the fence was raised, and
//  4. records those that are still without a record, under the fence and its own holding.
//
// A step that fails, or a holder that is replaced between any two, leaves nothing but a
// raised fence.

// Step is what is to be done next.
type Step uint8

const (
	Wait Step = iota
	RaiseFence
	RecordMachines
)

// Adoption takes up machines without a record.
type Adoption struct {
	heard  map[string]stray
	busy   bool     // a change is under way
	taking []string // machines that had reported when the fence was raised
	fence  uint64   // its revision; 0: it is not raised for those
	next   time.Time
}

type stray struct {
	rec         protocol.MachineRecord
	first, last time.Time
}

const (
	// again is after a step that failed.
	again = time.Second
	// reportTimeout is after how long without a report a machine is forgotten here.
	reportTimeout = 15 * time.Second
)

// NewAdoption has heard of none.
func NewAdoption() *Adoption { return &Adoption{heard: map[string]stray{}} }

// NoteReport notes a report of a machine that has no record.
func (a *Adoption) NoteReport(r protocol.MachineRecord, now time.Time) {
	s, ok := a.heard[r.Name]
	if !ok {
		s.first = now
	}
	s.rec, s.last = r, now
	a.heard[r.Name] = s
}

// Remove forgets a machine: it is recorded, or on its way back.
func (a *Adoption) Remove(name string) { delete(a.heard, name) }

// HasUnrecorded says whether machines without a record report here, so that they will be taken
// up soon by whoever may.
func (a *Adoption) HasUnrecorded(now time.Time) bool {
	a.forget(now)
	return len(a.heard) > 0
}

// Fence is the revision of the fence that Record's machines are recorded under.
func (a *Adoption) Fence() uint64 { return a.fence }

func (a *Adoption) forget(now time.Time) {
	for name, s := range a.heard {
		if now.Sub(s.last) > reportTimeout {
			delete(a.heard, name)
		}
	}
}

// Next says what to do next. may says that this node has the duty, patience for how long
// a machine's own rental has had time to be recorded, caught up to which revision all
// that is stored is known here, pause the time between two rounds: each one overtakes
// rentals under way.
func (a *Adoption) Next(may bool, patience, pause time.Duration, caught uint64, now time.Time) (Step, []protocol.MachineRecord) {
	a.forget(now)
	switch {
	case !may:
		if !a.busy {
			a.fence, a.taking = 0, nil
		}
		return Wait, nil
	case a.busy || now.Before(a.next):
		return Wait, nil
	case a.fence == 0:
		// Once one has waited for long enough all come along: the fence overtakes what is
		// under way for the others too.
		a.taking = a.taking[:0]
		due := false
		for name, s := range a.heard {
			due = due || now.Sub(s.first) >= patience
			a.taking = append(a.taking, name)
		}
		if !due {
			return Wait, nil
		}
		a.busy = true
		return RaiseFence, nil
	case caught < a.fence:
		return Wait, nil
	}
	var recs []protocol.MachineRecord
	for _, name := range a.taking {
		if s, still := a.heard[name]; still {
			recs = append(recs, s.rec)
		}
	}
	if len(recs) == 0 {
		a.taking, a.fence, a.next = nil, 0, now.Add(pause)
		return Wait, nil
	}
	slices.SortFunc(recs, func(a, b protocol.MachineRecord) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	a.busy = true
	return RecordMachines, recs
}

// FenceRaised notes how raising the fence ended: at which revision, or not (0).
func (a *Adoption) FenceRaised(epoch uint64, now time.Time) {
	a.busy, a.fence = false, epoch
	if epoch == 0 {
		a.taking, a.next = nil, now.Add(again)
	}
}

// RecordingEnded notes that recording some of them has ended. If it was not stored, another one
// may have the duty by now, or the fence was raised again: all begins anew.
func (a *Adoption) RecordingEnded(ok bool, now time.Time) {
	a.busy = false
	if !ok {
		a.fence, a.taking, a.next = 0, nil, now.Add(again)
	}
}
