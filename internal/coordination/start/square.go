package start

import (
	"cmp"
	"slices"
	"time"
)

// Phase is how far a holder has got with a share.
type Phase uint8

const (
	NotOwned    Phase = iota // not held by this node
	Acquired                 // held; no worker has spoken under the holder's token yet
	Reconciling              // some have
	Serving                  // nearly all have, or the others had time enough to
	phaseCount               // how many there are
)

var phaseNames = [phaseCount]string{"vacant", "taken", "squaring", "serving"}

func (p Phase) String() string { return phaseNames[min(p, phaseCount-1)] }

// Rank is what a machine's silence costs, the most first.
type Rank uint8

const (
	Critical Rank = iota // services and what must not wait
	Guaranteed
	Unguaranteed
	Empty
)

// MachineFacts are what the stored state tells of a machine.
type MachineFacts struct {
	Name string
	Rank Rank
	// LeaseExpiry is when its worker's lease ends at the earliest, as far as this node
	// knows: it answered it before. Zero: unknown, which counts as soon.
	LeaseExpiry time.Time
	HasAddress  bool // its address is known
}

// Timing are the periods that squaring goes by.
type Timing struct {
	ReportInterval time.Duration // between a worker's reports
	// GracePeriod is how long after the taking reports alone are waited for: workers that
	// lost their controller come by themselves, all within a second or two.
	GracePeriod time.Duration
}

// enough is the part of a share's machines that must have spoken before decisions
// count on the others' silence.
const enough = 0.9

// patience is in how many report intervals all that live should have spoken.
const patience = 1.5

// again is how long after its report a worker that was told the token should have
// reported under it: half a second by the protocol, and what the way takes.
const again = 2 * time.Second

const (
	minRetryPause = 2 * time.Second // after an unanswered call, then doubled
	maxRetryPause = 16 * time.Second
)

type entry struct {
	MachineFacts
	squared bool
	calling bool
	due     time.Time // ask not before
	pause   time.Duration
}

// Reconciliation is the squaring of one share in one holding.
type Reconciliation struct {
	timing       Timing
	acquiredAt   time.Time
	machines     map[string]*entry
	pollOrder    []*entry // those not squared, the most urgent first; may hold some that are
	sorted       bool
	reported     int // of those that were there when the share was taken, or came since
	phase        Phase
	lastTenth    int // told last
	polled       int // calls so far
	servingSince time.Time
}

// BeginReconciliation starts with the machines that are recorded for a share that was just taken.
func BeginReconciliation(t Timing, now time.Time, machines []MachineFacts) *Reconciliation {
	s := &Reconciliation{timing: t, acquiredAt: now, machines: make(map[string]*entry, len(machines)), phase: Acquired}
	s.pollOrder = make([]*entry, 0, len(machines))
	for _, f := range machines {
		s.add(f, now.Add(t.GracePeriod))
	}
	if len(machines) == 0 {
		s.phase, s.servingSince = Serving, now
	}
	return s
}

func (s *Reconciliation) add(f MachineFacts, due time.Time) {
	if old := s.machines[f.Name]; old != nil && !old.squared {
		old.MachineFacts, old.due = f, due
		s.sorted = false
		return
	}
	if old := s.machines[f.Name]; old != nil {
		s.reported--
	}
	e := &entry{MachineFacts: f, due: due, pause: minRetryPause}
	s.machines[f.Name] = e
	s.pollOrder = append(s.pollOrder, e)
	s.sorted = false
}

// Add takes in a machine that came to the share, or whose token was raised: what it
// said before does not count any more. It is asked at once, since it was moved here for
// somebody who waits.
func (s *Reconciliation) Add(f MachineFacts, now time.Time) {
	if s != nil {
		s.add(f, now)
	}
}

// entry finds a machine; nil if it is not of the share, or the share is not held.
func (s *Reconciliation) entry(name string) *entry {
	if s == nil {
		return nil
	}
	return s.machines[name]
}

// Remove forgets a machine that left the share.
func (s *Reconciliation) Remove(name string) {
	if e := s.entry(name); e != nil {
		if e.squared {
			s.reported--
		}
		e.squared = true // its place in the order
		delete(s.machines, name)
	}
}

// NoteUnfencedReport notes a report without the holder's token: its answer tells the token, and the
// worker reports again at once, so it need not be asked.
func (s *Reconciliation) NoteUnfencedReport(name string, now time.Time) {
	if e := s.entry(name); e != nil && !e.squared {
		e.due = now.Add(again)
	}
}

// NoteFencedReport notes a report under the holder's token: the machine is squared.
func (s *Reconciliation) NoteFencedReport(name string) {
	if e := s.entry(name); e != nil && !e.squared {
		e.squared = true
		s.reported++
	}
}

// CallEnded notes that a call has ended, with an answer or without.
func (s *Reconciliation) CallEnded(name string, ok bool, now time.Time) {
	e := s.entry(name)
	if e == nil {
		return
	}
	e.calling = false
	if !ok {
		e.due = now.Add(e.pause)
		e.pause = min(2*e.pause, maxRetryPause)
	} else if !e.squared {
		e.due = now.Add(again)
	}
}

// urgency orders whom to ask: whose lease ends first, as far as there is something to
// lose, then by what runs there; empty machines last.
func urgency(a, b *entry) int {
	if (a.Rank == Empty) != (b.Rank == Empty) {
		return cmp.Compare(a.Rank, b.Rank)
	}
	return cmp.Or(a.LeaseExpiry.Compare(b.LeaseExpiry), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name))
}

// NextPolls names up to most machines to ask now, and counts them as being asked. Nobody is
// asked twice at a time, nor again soon because its answer is late.
func (s *Reconciliation) NextPolls(now time.Time, most int) []string {
	if !s.sorted {
		s.sorted = true
		slices.SortFunc(s.pollOrder, urgency)
	}
	var out []string
	kept := s.pollOrder[:0]
	for _, e := range s.pollOrder {
		if e.squared {
			continue
		}
		kept = append(kept, e)
		if len(out) < most && e.HasAddress && !e.calling && !now.Before(e.due) {
			e.calling = true
			s.polled++
			out = append(out, e.Name)
		}
	}
	clear(s.pollOrder[len(kept):])
	s.pollOrder = kept
	return out
}

// Advance moves the share on by what was heard and the time. It returns its phase and, if
// another tenth of the machines is squared since the last step, which.
func (s *Reconciliation) Advance(now time.Time) (p Phase, tenth int, fresh bool) {
	switch {
	case s.phase == Serving:
	case float64(s.reported) >= enough*float64(len(s.machines)) || now.Sub(s.acquiredAt) >= s.maxReconcileTime():
		s.phase, s.servingSince = Serving, now
	case s.reported > 0:
		s.phase = Reconciling
	}
	if len(s.machines) > 0 {
		tenth = 10 * s.reported / len(s.machines)
	}
	if tenth > s.lastTenth {
		s.lastTenth, fresh = tenth, true
	}
	return s.phase, tenth, fresh
}

// maxReconcileTime is how long the workers have to come by themselves.
func (s *Reconciliation) maxReconcileTime() time.Duration {
	return s.timing.GracePeriod + time.Duration(patience*float64(s.timing.ReportInterval))
}

// Phase is how far it got at the last step.
func (s *Reconciliation) Phase() Phase {
	if s == nil {
		return NotOwned
	}
	return s.phase
}

// Settled says whether the share has been served for a moment, so that what decisions
// found out since the taking (which machines something needs) is known.
func (s *Reconciliation) Settled(now time.Time) bool {
	return s.Phase() == Serving && now.Sub(s.servingSince) >= settleTime
}

// settleTime is that moment.
const settleTime = time.Second

// Counts are how many machines the share has, have spoken, and were asked.
func (s *Reconciliation) Counts() (all, heard, asked int) {
	return len(s.machines), s.reported, s.polled
}

// AcquiredAt is when the share was taken.
func (s *Reconciliation) AcquiredAt() time.Time { return s.acquiredAt }

// AwaitingReport says whether a machine of the share has not spoken under this holder's token:
// whether it works, and what it runs, is not known.
func (s *Reconciliation) AwaitingReport(name string) bool {
	e := s.entry(name)
	return e != nil && !e.squared
}

// MayPreempt says whether work may be stopped to make room. Before the share serves,
// the room that is missing may be free on a machine that has not spoken.
func (s *Reconciliation) MayPreempt() bool { return s.Phase() == Serving }
