package start

import (
	"cmp"
	"slices"
	"time"
)

// Phase is how far a holder has got with a share.
type Phase uint8

const (
	Vacant    Phase = iota // not held by this node
	Taken                  // held; no worker has spoken under the holder's token yet
	Squaring               // some have
	Serving                // nearly all have, or the others had time enough to
	phaseEnds              // how many there are
)

var phaseNames = [phaseEnds]string{"vacant", "taken", "squaring", "serving"}

func (p Phase) String() string { return phaseNames[min(p, phaseEnds-1)] }

// Rank is what a machine's silence costs, the most first.
type Rank uint8

const (
	Critical Rank = iota // services and what must not wait
	Guarantee
	Work
	Empty
)

// Facts are what the stored state tells of a machine.
type Facts struct {
	Name string
	Rank Rank
	// LeaseEnds is when its worker's lease ends at the earliest, as far as this node
	// knows: it answered it before. Zero: unknown, which counts as soon.
	LeaseEnds time.Time
	Callable  bool // its address is known
}

// Times are the periods that squaring goes by.
type Times struct {
	Report time.Duration // between a worker's reports
	// Grace is how long after the taking reports alone are waited for: workers that
	// lost their controller come by themselves, all within a second or two.
	Grace time.Duration
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
	firstPause = 2 * time.Second // after an unanswered call, then doubled
	lastPause  = 16 * time.Second
)

type entry struct {
	Facts
	squared bool
	calling bool
	due     time.Time // ask not before
	pause   time.Duration
}

// Square is the squaring of one share in one holding.
type Square struct {
	times  Times
	taken  time.Time
	all    map[string]*entry
	order  []*entry // those not squared, the most urgent first; may hold some that are
	sorted bool
	heard  int // of those that were there when the share was taken, or came since
	phase  Phase
	tenth  int // told last
	asked  int // calls so far
	serves time.Time
}

// Begin starts with the machines that are recorded for a share that was just taken.
func Begin(t Times, now time.Time, machines []Facts) *Square {
	s := &Square{times: t, taken: now, all: make(map[string]*entry, len(machines)), phase: Taken}
	s.order = make([]*entry, 0, len(machines))
	for _, f := range machines {
		s.add(f, now.Add(t.Grace))
	}
	if len(machines) == 0 {
		s.phase, s.serves = Serving, now
	}
	return s
}

func (s *Square) add(f Facts, due time.Time) {
	if old := s.all[f.Name]; old != nil && !old.squared {
		old.Facts, old.due = f, due
		s.sorted = false
		return
	}
	if old := s.all[f.Name]; old != nil {
		s.heard--
	}
	e := &entry{Facts: f, due: due, pause: firstPause}
	s.all[f.Name] = e
	s.order = append(s.order, e)
	s.sorted = false
}

// Add takes in a machine that came to the share, or whose token was raised: what it
// said before does not count any more. It is asked at once, since it was moved here for
// somebody who waits.
func (s *Square) Add(f Facts, now time.Time) {
	if s != nil {
		s.add(f, now)
	}
}

// entry finds a machine; nil if it is not of the share, or the share is not held.
func (s *Square) entry(name string) *entry {
	if s == nil {
		return nil
	}
	return s.all[name]
}

// Drop forgets a machine that left the share.
func (s *Square) Drop(name string) {
	if e := s.entry(name); e != nil {
		if e.squared {
			s.heard--
		}
		e.squared = true // its place in the order
		delete(s.all, name)
	}
}

// Seen notes a report without the holder's token: its answer tells the token, and the
// worker reports again at once, so it need not be asked.
func (s *Square) Seen(name string, now time.Time) {
	if e := s.entry(name); e != nil && !e.squared {
		e.due = now.Add(again)
	}
}

// Heard notes a report under the holder's token: the machine is squared.
func (s *Square) Heard(name string) {
	if e := s.entry(name); e != nil && !e.squared {
		e.squared = true
		s.heard++
	}
}

// Answered notes that a call has ended, with an answer or without.
func (s *Square) Answered(name string, ok bool, now time.Time) {
	e := s.entry(name)
	if e == nil {
		return
	}
	e.calling = false
	if !ok {
		e.due = now.Add(e.pause)
		e.pause = min(2*e.pause, lastPause)
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
	return cmp.Or(a.LeaseEnds.Compare(b.LeaseEnds), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name))
}

// Next names up to most machines to ask now, and counts them as being asked. Nobody is
// asked twice at a time, nor again soon because its answer is late.
func (s *Square) Next(now time.Time, most int) []string {
	if !s.sorted {
		s.sorted = true
		slices.SortFunc(s.order, urgency)
	}
	var out []string
	kept := s.order[:0]
	for _, e := range s.order {
		if e.squared {
			continue
		}
		kept = append(kept, e)
		if len(out) < most && e.Callable && !e.calling && !now.Before(e.due) {
			e.calling = true
			s.asked++
			out = append(out, e.Name)
		}
	}
	clear(s.order[len(kept):])
	s.order = kept
	return out
}

// Step moves the share on by what was heard and the time. It returns its phase and, if
// another tenth of the machines is squared since the last step, which.
func (s *Square) Step(now time.Time) (p Phase, tenth int, fresh bool) {
	switch {
	case s.phase == Serving:
	case float64(s.heard) >= enough*float64(len(s.all)) || now.Sub(s.taken) >= s.allowance():
		s.phase, s.serves = Serving, now
	case s.heard > 0:
		s.phase = Squaring
	}
	if len(s.all) > 0 {
		tenth = 10 * s.heard / len(s.all)
	}
	if tenth > s.tenth {
		s.tenth, fresh = tenth, true
	}
	return s.phase, tenth, fresh
}

// allowance is how long the workers have to come by themselves.
func (s *Square) allowance() time.Duration {
	return s.times.Grace + time.Duration(patience*float64(s.times.Report))
}

// Phase is how far it got at the last step.
func (s *Square) Phase() Phase {
	if s == nil {
		return Vacant
	}
	return s.phase
}

// Settled says whether the share has been served for a moment, so that what decisions
// found out since the taking (which machines something needs) is known.
func (s *Square) Settled(now time.Time) bool {
	return s.Phase() == Serving && now.Sub(s.serves) >= settling
}

// settling is that moment.
const settling = time.Second

// Counts are how many machines the share has, have spoken, and were asked.
func (s *Square) Counts() (all, heard, asked int) { return len(s.all), s.heard, s.asked }

// Since is when the share was taken.
func (s *Square) Since() time.Time { return s.taken }

// Unheard says whether a machine of the share has not spoken under this holder's token:
// whether it works, and what it runs, is not known.
func (s *Square) Unheard(name string) bool {
	e := s.entry(name)
	return e != nil && !e.squared
}

// MayDisplace says whether work may be stopped to make room. Before the share serves,
// the room that is missing may be free on a machine that has not spoken.
func (s *Square) MayDisplace() bool { return s.Phase() == Serving }
