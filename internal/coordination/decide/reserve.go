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
	// minReservation and longestReservation bound how long machines are reserved for
	// a gang. In between it is as long as the gang itself is expected to run.
	minReservation = 2 * time.Minute
	maxReservation = 10 * time.Minute
	// ReservationBackoff is how long others may use what a reservation that came to nothing
	// had kept, before the gang may have another.
	ReservationBackoff = 30 * time.Second
	// maxReservationBlock is how long a job waits beside machines that it would fit on, for others'
	// reservations alone. After that they do not hold for it: nobody should wait for 90 s
	// while a machine has room, and several gangs may reserve the same one in turn.
	maxReservationBlock = 75 * time.Second
)

// Reservation is what is reserved for a gang that can't start yet.
type Reservation struct {
	Machines      []*Machine // those on which tasks of it have a place, or could be given one
	ExpectedStart time.Time  // when its last task should have a place
}

// ReservationTime is for how long machines are reserved for a gang at most.
func (j *Job) ReservationTime() time.Duration {
	runs := time.Duration(j.Spec.EstimateS * float64(time.Second))
	return max(minReservation, min(runs, maxReservation))
}

// ReservationExpired says whether a gang has held its reservation for as long as it may.
func (j *Job) ReservationExpired(now time.Time) bool {
	return !j.ReservedSince.IsZero() && now.Sub(j.ReservedSince) >= j.ReservationTime()
}

// IsReservedFor says whether a machine is reserved for a gang.
func (m *Machine) IsReservedFor(j *Job, now time.Time) bool {
	return m.Reserved && m.EarmarkedFor != nil && m.EarmarkedFor.ID == j.ID && now.Before(m.EarmarkedUntil)
}

// reservationExcludes says whether a machine's reservation for a gang keeps a job of no higher
// priority off it.
func (m *Machine) reservationExcludes(j *Job, now time.Time) bool {
	gang := m.EarmarkedFor
	if gang.Cancelled || gang.Partition != m.Partition || j.precedes(gang) || j.exemptFromReservations(now) {
		return false
	}
	canBeStopped := j.Rank > gang.Rank && !j.coscheduled()
	if canBeStopped {
		return false
	}
	if j.Spec.Shape == protocol.Service {
		return true // it does not end by itself
	}
	ends := now.Add(durationOfSeconds(j.Spec.EstimateS + m.FetchSeconds(j.Spec)))
	return ends.After(gang.ExpectedStart)
}

// exemptFromReservations says whether reservations have kept a job off machines for as long as they
// may.
func (j *Job) exemptFromReservations(now time.Time) bool {
	return !j.ReservationBlockedSince.IsZero() && now.Sub(j.ReservationBlockedSince) >= maxReservationBlock
}

// blockedByReservations says whether what was just looked at has room for a job that found
// too few slots, if nothing were reserved.
func (v *View) blockedByReservations(j *Job, found int) bool {
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

// coscheduled says whether a job's tasks run only all at once, on several machines.
func (j *Job) coscheduled() bool { return j.Spec.Shape == protocol.Gang && j.Tasks > 1 }

func durationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// gangPlace is room for one task of a gang.
type gangPlace struct {
	machine *Machine
	at      time.Time // when it should be free
	ready   bool      // it is free, or could be made so for the gang
}

// Reserve says what to reserve for a gang that finds too few places: nothing if it may not
// have a reservation now or its places are not expected to become free in time.
func (v *View) Reserve(j *Job) *Reservation {
	if !j.coscheduled() || j.FailsEverywhere || v.Now.Before(j.ReserveAfter) || j.ReservationExpired(v.Now) {
		return nil
	}
	var best []gangPlace
	for _, zone := range v.expectedPlaces(j) {
		if chosen := v.earliestPlaces(j, zone); chosen != nil && (best == nil || startsSooner(chosen, best)) {
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
func earliestFirst(a, b gangPlace) int {
	return cmp.Or(a.at.Compare(b.at), countReady([]gangPlace{b})-countReady([]gangPlace{a}))
}

// startsSooner says whether a gang should start earlier on some places than on others, or at the
// same time with more of them ready.
func startsSooner(a, b []gangPlace) bool {
	last := len(a) - 1
	return cmp.Or(a[last].at.Compare(b[last].at), countReady(b)-countReady(a), strings.Compare(a[0].machine.Zone, b[0].machine.Zone)) < 0
}

func countReady(places []gangPlace) (ready int) {
	for _, p := range places {
		if p.ready {
			ready++
		}
	}
	return ready
}

// expectedPlaces are the places that a gang could have on the share's machines, by zone if
// it must be in one. Those that another gang's reservation still lacks are left out.
func (v *View) expectedPlaces(j *Job) map[string][]gangPlace {
	out := map[string][]gangPlace{}
	lacking := map[string]map[*Job]int{}
	for _, m := range v.Index.Machines(v.Partition) {
		if m.Size.TaskCount(j.Need) == 0 || j.zoneCapacity(m.Zone) <= 0 || !Allowed(j.Spec, m.offer()) || !v.usable(m) || v.idledGPUs(j, m.Type) > 0 {
			continue
		}
		zone := ""
		if j.Spec.OneZone {
			zone = m.Zone
		}
		if m.EarmarkExcludes(j, v.Now) {
			if lacking[zone] == nil {
				lacking[zone] = map[*Job]int{}
			}
			if _, seen := lacking[zone][m.EarmarkedFor]; !seen {
				lacking[zone][m.EarmarkedFor] = m.EarmarkedFor.Waiting
			}
			lacking[zone][m.EarmarkedFor] -= m.Free().TaskCount(m.EarmarkedFor.Need)
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
func (v *View) placesOn(m *Machine, j *Job) []gangPlace {
	type ending struct {
		at   time.Time
		need Resources
	}
	var endings []ending
	free := m.Free()
	for _, h := range m.Assignments {
		if v.vacatesFor(m, h, j) {
			free = free.Add(h.Job.Need, 1)
		} else if at, ends := v.expectedEnd(m, h); ends {
			endings = append(endings, ending{at, h.Job.Need})
		}
	}
	slices.SortStableFunc(endings, func(a, b ending) int { return a.at.Compare(b.at) })
	var out []gangPlace
	for range min(free.TaskCount(j.Need), j.Tasks) {
		out = append(out, gangPlace{m, v.Now, true})
	}
	for _, e := range endings {
		free = free.Add(e.need, 1)
		for len(out) < min(free.TaskCount(j.Need), j.Tasks) {
			out = append(out, gangPlace{m, e.at, false})
		}
	}
	return out
}

// vacatesFor says whether a task leaves its place to a gang when all of the gang fits: it is
// leaving already, is less urgent and may be stopped, or can run elsewhere.
func (v *View) vacatesFor(m *Machine, h Assignment, gang *Job) bool {
	switch {
	case h.Stopping:
		return true
	case !h.Active || h.coscheduled():
		return false
	case h.Job.Rank > gang.Rank:
		return true
	}
	return h.Job.Need.GPUs == 0 && v.mayRelocateFor(gang, m) && v.relocatableMachines(gang.Rank)[m]
}

// relocatableMachines are the machines of the share from which all tasks that need none of the GPUs
// and are as urgent as a rank could be shifted, together.
func (v *View) relocatableMachines(rank int) map[*Machine]bool {
	if out, known := v.relocatableByRank[rank]; known {
		return out
	}
	var with []*Machine
	for _, m := range v.Index.Machines(v.Partition) {
		if m.cpuOnlyTasks > 0 {
			with = append(with, m)
		}
	}
	slices.SortStableFunc(with, func(a, b *Machine) int { return a.cpuOnlyTasks - b.cpuOnlyTasks })
	places := v.newRelocationPlan(v.Partition)
	out := map[*Machine]bool{}
	for _, m := range with {
		out[m] = (v.GPUTypesInDemand == nil || v.GPUTypesInDemand[m.Type]) && places.placeAll(m, rank)
	}
	if v.relocatableByRank == nil {
		v.relocatableByRank = map[int]map[*Machine]bool{}
	}
	v.relocatableByRank[rank] = out
	return out
}

// expectedEnd is when a task should end, by the owner's estimate: at once if it is overdue,
// never for a service.
func (v *View) expectedEnd(m *Machine, h Assignment) (at time.Time, ends bool) {
	if h.Job.Spec.Shape == protocol.Service {
		return time.Time{}, false
	}
	at = h.Since.Add(durationOfSeconds(h.Job.Spec.EstimateS + m.FetchSeconds(h.Job.Spec)))
	if at.Before(v.Now) {
		at = v.Now
	}
	return at, true
}

// earliestPlaces are the first places on which all of a gang fits, nil if there are too few.
func (v *View) earliestPlaces(j *Job, places []gangPlace) []gangPlace {
	var out []gangPlace
	inZone := map[string]int{}
	for _, p := range places {
		if inZone[p.machine.Zone] >= j.zoneCapacity(p.machine.Zone) {
			continue
		}
		inZone[p.machine.Zone]++
		if out = append(out, p); len(out) == j.Tasks {
			return out
		}
	}
	return nil
}
