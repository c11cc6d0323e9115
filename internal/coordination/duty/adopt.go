package duty

import (
	"cmp"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Some machines run and report but have no record: they were running before the first
// controller, or the answer to their rental was lost together with the node that requested
// it. They are adopted rather than returned. The answer to such a rental must not be
// recorded later for another partition. Every rental is therefore recorded under the
// condition that the fence has the same revision as when the rental was requested. The
// adopting node
//
//   1. receives reports of the machines, and only then
//   2. raises the fence: rentals requested before can no longer be recorded, and rentals
//      requested later are other machines, because these already exist;
//   3. waits until its replica contains everything stored before the fence was raised; and
//   4. records the machines that still have no record, under the fence and its own ownership.
//
// If a step fails, or another node takes over between two steps, the only effect is a
// raised fence.

// Step is the next change to store.
type Step uint8

const (
	Wait           Step = iota // nothing yet
	RaiseFence                 // rentals requested before can no longer be recorded
	RecordMachines             // that have no record, under the fence
)

// Adoption adopts machines that have no record.
type Adoption struct {
	unrecorded     map[string]unrecordedMachine // by name, those that have reported lately
	changeInFlight bool                         // the change of the last step has not been answered
	adopting       []string                     // machines that had reported before the fence was raised
	fenceRevision  uint64                       // of the raised fence; 0: not raised for these machines
	notBefore      time.Time                    // no step before this time
}

// unrecordedMachine is a machine that reports and has no record.
type unrecordedMachine struct {
	record                  protocol.MachineRecord
	firstReport, lastReport time.Time
}

const (
	// retryDelay follows a step that failed.
	retryDelay = time.Second
	// reportTimeout is how long after its last report a machine is dropped.
	reportTimeout = 15 * time.Second
)

// NewAdoption returns an Adoption without machines.
func NewAdoption() *Adoption { return &Adoption{unrecorded: map[string]unrecordedMachine{}} }

// NoteReport records a report of a machine that has no record.
func (a *Adoption) NoteReport(record protocol.MachineRecord, now time.Time) {
	machine, known := a.unrecorded[record.Name]
	if !known {
		machine.firstReport = now
	}
	machine.record, machine.lastReport = record, now
	a.unrecorded[record.Name] = machine
}

// Remove drops a machine: it has a record, or is being returned.
func (a *Adoption) Remove(name string) { delete(a.unrecorded, name) }

// HasUnrecorded reports whether machines without a record report here; the responsible
// node will adopt them soon.
func (a *Adoption) HasUnrecorded(now time.Time) bool {
	a.dropSilent(now)
	return len(a.unrecorded) > 0
}

// Fence returns the revision of the fence that the machines of RecordMachines are to be
// recorded under.
func (a *Adoption) Fence() uint64 { return a.fenceRevision }

// dropSilent drops the machines whose last report is too old.
func (a *Adoption) dropSilent(now time.Time) {
	for name, machine := range a.unrecorded {
		if now.Sub(machine.lastReport) > reportTimeout {
			delete(a.unrecorded, name)
		}
	}
}

// Next returns the next step and, for RecordMachines, the machines. responsible is true if
// this node may adopt machines. recordTimeout is how long the rental of a machine has to
// be recorded. roundInterval is the least time between two rounds, because each one
// invalidates rentals in flight. completeRevision is the revision up to which this node's
// replica is complete.
func (a *Adoption) Next(responsible bool, recordTimeout, roundInterval time.Duration, completeRevision uint64, now time.Time) (Step, []protocol.MachineRecord) {
	a.dropSilent(now)
	switch {
	case !responsible:
		if !a.changeInFlight {
			a.fenceRevision, a.adopting = 0, nil
		}
		return Wait, nil
	case a.changeInFlight || now.Before(a.notBefore):
		return Wait, nil
	case a.fenceRevision == 0:
		// When recordTimeout is over for one machine, all are adopted: the fence
		// invalidates the rentals in flight of the others too.
		a.adopting = a.adopting[:0]
		due := false
		for name, machine := range a.unrecorded {
			due = due || now.Sub(machine.firstReport) >= recordTimeout
			a.adopting = append(a.adopting, name)
		}
		if !due {
			return Wait, nil
		}
		a.changeInFlight = true
		return RaiseFence, nil
	case completeRevision < a.fenceRevision:
		return Wait, nil
	}
	var records []protocol.MachineRecord
	for _, name := range a.adopting {
		if machine, reporting := a.unrecorded[name]; reporting {
			records = append(records, machine.record)
		}
	}
	if len(records) == 0 {
		a.adopting, a.fenceRevision, a.notBefore = nil, 0, now.Add(roundInterval)
		return Wait, nil
	}
	slices.SortFunc(records, func(a, b protocol.MachineRecord) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	a.changeInFlight = true
	return RecordMachines, records
}

// FenceRaised records the result of RaiseFence: the revision of the fence, 0 if it was not
// stored.
func (a *Adoption) FenceRaised(revision uint64, now time.Time) {
	a.changeInFlight, a.fenceRevision = false, revision
	if revision == 0 {
		a.adopting, a.notBefore = nil, now.Add(retryDelay)
	}
}

// RecordingEnded records the result of RecordMachines, which may have covered only some of
// the machines. If it was not stored, another node may be responsible by now or may have
// raised the fence again, so the adoption starts over.
func (a *Adoption) RecordingEnded(stored bool, now time.Time) {
	a.changeInFlight = false
	if !stored {
		a.fenceRevision, a.adopting, a.notBefore = 0, nil, now.Add(retryDelay)
	}
}
