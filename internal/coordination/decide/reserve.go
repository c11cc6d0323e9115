package decide

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Reservations for gangs. A gang starts with all of its tasks or not at all, so that in a
// full share smaller jobs of the same priority would take each machine that becomes free
// while a larger gang waits for several. The machines that are free for the gang in the
// zone where it is expected to start first are therefore reserved for it, and so are those
// where less urgent work could be stopped for it. Nobody is stopped for a reservation before
// all of the gang fits. Other jobs are backfilled: they may use a reserved machine if they are
// expected to end before the gang can start, or may be stopped for it.

const (
	// shortestReservation and longestReservation bound how long machines are reserved for
	// a gang. In between it is as long as the gang itself is expected to run.
	shortestReservation = 2 * time.Minute
	longestReservation  = 10 * time.Minute
	// ReservationPause is how long others may use what a reservation that came to nothing
	// had kept, before the gang may have another.
	ReservationPause = 30 * time.Second
	// longestKeptOff is how long a job waits beside machines that it would fit on, for others'
	// reservations alone. After that they do not hold for it: nobody should wait for 90 s
	// while a machine has room, and several gangs may reserve the same one in turn.
	longestKeptOff = 75 * time.Second
)

// Reservation is what is reserved for a gang that can't start yet.
type Reservation struct {
	Machines      []*Machine // those on which tasks of it have a place, or could be given one
	ExpectedStart time.Time  // when its last task should have a place
}

// ReservationTime is for how long machines are reserved for a gang at most.
func (j *Job) ReservationTime() time.Duration {
	runs := time.Duration(j.Spec.EstimateS * float64(time.Second))
	return max(shortestReservation, min(runs, longestReservation))
}

// ReservationExpired says whether a gang has held its reservation for as long as it may.
func (j *Job) ReservationExpired(now time.Time) bool {
	return !j.ReservedSince.IsZero() && now.Sub(j.ReservedSince) >= j.ReservationTime()
}

// HasReserved says whether a machine is reserved for a gang.
func (m *Machine) HasReserved(j *Job, now time.Time) bool {
	return m.Reserved && m.Earmark != nil && m.Earmark.ID == j.ID && now.Before(m.EarmarkTo)
}

// reservedFrom says whether a machine's reservation for a gang keeps a job of no higher
// priority off it.
func (m *Machine) reservedFrom(j *Job, now time.Time) bool {
	gang := m.Earmark
	if gang.Cancelled || gang.Share != m.Share || j.precedes(gang) || j.passesReservations(now) {
		return false
	}
	canBeStopped := j.Rank > gang.Rank && !j.together()
	if canBeStopped {
		return false
	}
	if j.Spec.Shape == protocol.Service {
		return true // it does not end by itself
	}
	ends := now.Add(secondsOf(j.Spec.EstimateS + m.Cost(j.Spec)))
	return ends.After(gang.ExpectedStart)
}

// passesReservations says whether reservations have kept a job off machines for as long as they
// may.
func (j *Job) passesReservations(now time.Time) bool {
	return !j.KeptOff.IsZero() && now.Sub(j.KeptOff) >= longestKeptOff
}

// fitsButForReservations says whether what was just looked at has room for a job that found
// too few slots, if nothing were reserved.
func (v *View) fitsButForReservations(j *Job, found int) bool {
	if j.Spec.Shape == protocol.Gang {
		return found+v.reservedSlots >= j.Tasks
	}
	return v.reservedSlots > 0
}

// precedes says whether a job comes before another: the more urgent one, or of equals the
// older one.
func (j *Job) precedes(other *Job) bool {
	return cmp.Or(j.Rank-other.Rank, j.Submitted.Compare(other.Submitted), strings.Compare(j.ID, other.ID)) < 0
}

// together says whether a job's tasks run only all at once, on several machines.
func (j *Job) together() bool { return j.Spec.Shape == protocol.Gang && j.Tasks > 1 }

func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// place is room for one task of a gang.
type place struct {
	machine *Machine
	at      time.Time // when it should be free
	ready   bool      // it is free, or could be made so for the gang
}

// Reserve says what to reserve for a gang that finds too few places: nothing if it may not
// have a reservation now or its places are not expected to become free in time.
func (v *View) Reserve(j *Job) *Reservation {
	if !j.together() || j.Mistake || v.Now.Before(j.ReserveAfter) || j.ReservationExpired(v.Now) {
		return nil
	}
	var best []place
	for _, zone := range v.expectedPlaces(j) {
		if chosen := v.firstPlaces(j, zone); chosen != nil && (best == nil || sooner(chosen, best)) {
			best = chosen
		}
	}
	if best == nil {
		return nil
	}
	r := &Reservation{ExpectedStart: best[len(best)-1].at}
	if j.ReservedSince.IsZero() && r.ExpectedStart.Sub(v.Now) > j.ReservationTime() {
		return nil
	}
	for _, p := range best {
		if p.ready && !slices.Contains(r.Machines, p.machine) {
			r.Machines = append(r.Machines, p.machine)
		}
	}
	return r
}

// earliestFirst orders places by when they should be free, at the same time the ready ones
// first: what is overdue counts as ending now, and may go on for long.
func earliestFirst(a, b place) int {
	return cmp.Or(a.at.Compare(b.at), countReady([]place{b})-countReady([]place{a}))
}

// sooner says whether a gang should start earlier on some places than on others, or at the
// same time with more of them ready.
func sooner(a, b []place) bool {
	last := len(a) - 1
	return cmp.Or(a[last].at.Compare(b[last].at), countReady(b)-countReady(a), strings.Compare(a[0].machine.Zone, b[0].machine.Zone)) < 0
}

func countReady(places []place) (ready int) {
	for _, p := range places {
		if p.ready {
			ready++
		}
	}
	return ready
}

// expectedPlaces are the places that a gang could have on the share's machines, by zone if
// it must be in one. Those that another gang's reservation still lacks are left out.
func (v *View) expectedPlaces(j *Job) map[string][]place {
	out := map[string][]place{}
	lacking := map[string]map[*Job]int{}
	for _, m := range v.Index.Machines(v.Share) {
		if m.Size.Times(j.Need) == 0 || j.zoneRoom(m.Zone) <= 0 || !Allowed(j.Spec, m.offer()) || !v.usable(m) || v.idles(j, m.Type) > 0 {
			continue
		}
		zone := ""
		if j.Spec.OneZone {
			zone = m.Zone
		}
		if m.KeptFrom(j, v.Now) {
			if lacking[zone] == nil {
				lacking[zone] = map[*Job]int{}
			}
			if _, seen := lacking[zone][m.Earmark]; !seen {
				lacking[zone][m.Earmark] = m.Earmark.Waiting
			}
			lacking[zone][m.Earmark] -= m.Free().Times(m.Earmark.Need)
			continue
		}
		out[zone] = append(out[zone], v.placesOn(m, j)...)
	}
	for zone, places := range out {
		slices.SortStableFunc(places, earliestFirst)
		for _, lacks := range lacking[zone] {
			places = places[min(max(lacks, 0), len(places)):]
		}
		out[zone] = places
	}
	return out
}

// placesOn are the places for a gang's tasks on a machine, as its tasks should end.
func (v *View) placesOn(m *Machine, j *Job) []place {
	type ending struct {
		at   time.Time
		need Amounts
	}
	var endings []ending
	free := m.Free()
	for _, h := range m.Held {
		if v.makesWay(m, h, j) {
			free = free.Add(h.Job.Need, 1)
		} else if at, ends := v.expectedEnd(m, h); ends {
			endings = append(endings, ending{at, h.Job.Need})
		}
	}
	slices.SortStableFunc(endings, func(a, b ending) int { return a.at.Compare(b.at) })
	var out []place
	for range min(free.Times(j.Need), j.Tasks) {
		out = append(out, place{m, v.Now, true})
	}
	for _, e := range endings {
		free = free.Add(e.need, 1)
		for len(out) < min(free.Times(j.Need), j.Tasks) {
			out = append(out, place{m, e.at, false})
		}
	}
	return out
}

// makesWay says whether a task leaves its place to a gang when all of the gang fits: it is
// leaving already, is less urgent and may be stopped, or can run elsewhere.
func (v *View) makesWay(m *Machine, h Held, gang *Job) bool {
	switch {
	case h.Unwanted:
		return true
	case !h.Settled || h.together():
		return false
	case h.Job.Rank > gang.Rank:
		return true
	}
	return h.Job.Need.GPUs == 0 && v.shiftsFor(gang, m) && v.shiftable(gang.Rank)[m]
}

// shiftable are the machines of the share from which all tasks that need none of the GPUs
// and are as urgent as a rank could be shifted, together.
func (v *View) shiftable(rank int) map[*Machine]bool {
	if out, known := v.shiftables[rank]; known {
		return out
	}
	var with []*Machine
	for _, m := range v.Index.Machines(v.Share) {
		if m.idlers > 0 {
			with = append(with, m)
		}
	}
	slices.SortStableFunc(with, func(a, b *Machine) int { return a.idlers - b.idlers })
	places := v.elsewhere(v.Share)
	out := map[*Machine]bool{}
	for _, m := range with {
		out[m] = (v.Wanted == nil || v.Wanted[m.Type]) && places.takeAll(m, rank)
	}
	if v.shiftables == nil {
		v.shiftables = map[int]map[*Machine]bool{}
	}
	v.shiftables[rank] = out
	return out
}

// expectedEnd is when a task should end, by the owner's estimate: at once if it is overdue,
// never for a service.
func (v *View) expectedEnd(m *Machine, h Held) (at time.Time, ends bool) {
	if h.Job.Spec.Shape == protocol.Service {
		return time.Time{}, false
	}
	at = h.Since.Add(secondsOf(h.Job.Spec.EstimateS + m.Cost(h.Job.Spec)))
	if at.Before(v.Now) {
		at = v.Now
	}
	return at, true
}

// firstPlaces are the first places on which all of a gang fits, nil if there are too few.
func (v *View) firstPlaces(j *Job, places []place) []place {
	var out []place
	inZone := map[string]int{}
	for _, p := range places {
		if inZone[p.machine.Zone] >= j.zoneRoom(p.machine.Zone) {
			continue
		}
		inZone[p.machine.Zone]++
		if out = append(out, p); len(out) == j.Tasks {
			return out
		}
	}
	return nil
}
