package decide

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Reservations for gangs. A gang starts with all of its tasks or not at all. In a full
// partition, smaller jobs of the same priority would take each machine that becomes free while a
// larger gang waits for several. Therefore machines are reserved for the gang in the zone where
// it is expected to start first: those that are free for it and those on which tasks of lower
// priority could be preempted for it. No task is preempted for a reservation before all of the
// gang fits. Other jobs are backfilled: they may use a reserved machine if they are expected to
// end before the gang can start, or if the gang can preempt them.

const (
	// minReservation and maxReservation bound how long machines are reserved for a gang.
	// Between them, the time is the gang's own expected run time.
	minReservation = 2 * time.Minute
	maxReservation = 10 * time.Minute
	// ReservationBackoff is how long a gang whose reservation expired before it could start
	// may not have another one, so that other jobs can use the machines.
	ReservationBackoff = 30 * time.Second
	// maxReservationBlock is how long a job may be kept waiting by reservations alone. After
	// that, reservations do not apply to it. No job should wait for 90 s while a machine has
	// capacity for it, and several gangs may reserve the same machine in turn.
	maxReservationBlock = 75 * time.Second
)

// Reservation is the set of machines to reserve for a gang that cannot start yet.
type Reservation struct {
	Machines      []*Machine // machines with capacity for tasks of the gang, free or preemptible
	ExpectedStart time.Time  // when its last task is expected to have a place
}

// ReservationTime returns for how long machines may be reserved for a gang.
func (j *Job) ReservationTime() time.Duration {
	runs := time.Duration(j.Spec.EstimateS * float64(time.Second))
	return max(minReservation, min(runs, maxReservation))
}

// ReservationExpired reports whether a gang has had its reservation for ReservationTime.
func (j *Job) ReservationExpired(now time.Time) bool {
	return !j.ReservedSince.IsZero() && now.Sub(j.ReservedSince) >= j.ReservationTime()
}

// IsReservedFor reports whether a machine is reserved for a gang.
func (m *Machine) IsReservedFor(j *Job, now time.Time) bool {
	return m.Reserved && m.EarmarkedFor != nil && m.EarmarkedFor.ID == j.ID && now.Before(m.EarmarkedUntil)
}

// reservationExcludes reports whether a machine's reservation for a gang keeps off a job of the
// same or a lower priority.
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
		return true // a service does not end by itself
	}
	ends := now.Add(durationOfSeconds(j.Spec.EstimateS + m.FetchSeconds(j.Spec)))
	return ends.After(gang.ExpectedStart)
}

// exemptFromReservations reports whether reservations alone have kept a job waiting for
// maxReservationBlock.
func (j *Job) exemptFromReservations(now time.Time) bool {
	return !j.ReservationBlockedSince.IsZero() && now.Sub(j.ReservationBlockedSince) >= maxReservationBlock
}

// blockedByReservations reports whether a job that found too few slots in the last search would
// have found enough without reservations.
func (v *View) blockedByReservations(j *Job, found int) bool {
	if j.Spec.Shape == protocol.Gang {
		return found+v.reservedSlots >= j.Tasks
	}
	return v.reservedSlots > 0
}

// precedes reports whether a job is scheduled before another: by rank, and among jobs of the same
// rank by the time of submission.
func (j *Job) precedes(other *Job) bool {
	return cmp.Or(j.Rank-other.Rank, j.Submitted.Compare(other.Submitted), strings.Compare(j.ID, other.ID)) < 0
}

// coscheduled reports whether a job is a gang of several tasks, which run only all at once.
func (j *Job) coscheduled() bool { return j.Spec.Shape == protocol.Gang && j.Tasks > 1 }

// durationOfSeconds converts seconds to a duration.
func durationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// gangPlace is present or expected capacity for one task of a gang.
type gangPlace struct {
	machine *Machine
	at      time.Time // when it is expected to be free
	ready   bool      // it is free, or tasks on it could be preempted or relocated for the gang
}

// Reserve returns the reservation for a gang that does not fit yet. It returns nil if the gang may
// not have a reservation now, or if its places are not expected to become free in time.
func (v *View) Reserve(j *Job) *Reservation {
	if !j.coscheduled() || j.FailsEverywhere || v.Now.Before(j.ReserveAfter) || j.ReservationExpired(v.Now) {
		return nil
	}
	var earliest []gangPlace
	for _, places := range v.expectedPlaces(j) {
		if chosen := v.earliestPlaces(j, places); chosen != nil && (earliest == nil || startsSooner(chosen, earliest)) {
			earliest = chosen
		}
	}
	if earliest == nil {
		return nil
	}
	r := &Reservation{ExpectedStart: earliest[len(earliest)-1].at}
	if j.ReservedSince.IsZero() && r.ExpectedStart.Sub(v.Now) > j.ReservationTime() {
		return nil
	}
	for _, p := range earliest {
		if p.ready && !slices.Contains(r.Machines, p.machine) {
			r.Machines = append(r.Machines, p.machine)
		}
	}
	return r
}

// earliestFirst orders places by when they are expected to be free, ready ones first among places
// of the same time: an overdue task counts as ending now but may run on for long.
func earliestFirst(a, b gangPlace) int {
	return cmp.Or(a.at.Compare(b.at), countReady([]gangPlace{b})-countReady([]gangPlace{a}))
}

// startsSooner reports whether a gang is expected to start earlier on places a than on places b, or
// at the same time with more places ready.
func startsSooner(a, b []gangPlace) bool {
	last := len(a) - 1
	return cmp.Or(a[last].at.Compare(b[last].at), countReady(b)-countReady(a), strings.Compare(a[0].machine.Zone, b[0].machine.Zone)) < 0
}

// countReady returns the number of ready places.
func countReady(places []gangPlace) (ready int) {
	for _, p := range places {
		if p.ready {
			ready++
		}
	}
	return ready
}

// expectedPlaces returns the places that a gang could have on the partition's machines, the
// earliest first, by zone if it must run in one zone. It leaves out as many of the earliest places
// as the gangs with earmarked machines still lack.
func (v *View) expectedPlaces(j *Job) map[string][]gangPlace {
	out := map[string][]gangPlace{}
	missing := map[string]map[*Job]int{}
	for _, m := range v.Index.Machines(v.Partition) {
		if m.Size.TaskCount(j.Need) == 0 || j.zoneCapacity(m.Zone) <= 0 || !Allowed(j.Spec, m.offer()) || !v.usable(m) || v.idledGPUs(j, m.Type) > 0 {
			continue
		}
		zone := ""
		if j.Spec.OneZone {
			zone = m.Zone
		}
		if m.EarmarkExcludes(j, v.Now) {
			if missing[zone] == nil {
				missing[zone] = map[*Job]int{}
			}
			if _, seen := missing[zone][m.EarmarkedFor]; !seen {
				missing[zone][m.EarmarkedFor] = m.EarmarkedFor.Waiting
			}
			missing[zone][m.EarmarkedFor] -= m.Free().TaskCount(m.EarmarkedFor.Need)
			continue
		}
		out[zone] = append(out[zone], v.placesOn(m, j)...)
	}
	for zone, places := range out {
		slices.SortStableFunc(places, earliestFirst)
		for _, count := range missing[zone] {
			places = places[min(max(count, 0), len(places)):]
		}
		out[zone] = places
	}
	return out
}

// placesOn returns the places for a gang's tasks on a machine: those that are ready, and those that
// are expected to become free as tasks end.
func (v *View) placesOn(m *Machine, j *Job) []gangPlace {
	type ending struct {
		at   time.Time
		need Resources
	}
	var endings []ending
	free := m.Free()
	for _, task := range m.Assignments {
		if v.vacatesFor(m, task, j) {
			free = free.Add(task.Job.Need, 1)
		} else if at, ends := v.expectedEnd(m, task); ends {
			endings = append(endings, ending{at, task.Job.Need})
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

// vacatesFor reports whether a task's resources become available to a gang once all of the gang
// fits: the task is being stopped already, can be preempted, or can be relocated.
func (v *View) vacatesFor(m *Machine, task Assignment, gang *Job) bool {
	switch {
	case task.Stopping:
		return true
	case !task.Active || task.coscheduled():
		return false
	case task.Job.Rank > gang.Rank:
		return true
	}
	return task.Job.Need.GPUs == 0 && v.mayRelocateFor(gang, m) && v.relocatableMachines(gang.Rank)[m]
}

// relocatableMachines returns the machines of the partition from which all tasks that a job of a
// rank cannot preempt could be relocated, all at once, because they need no GPUs.
func (v *View) relocatableMachines(rank int) map[*Machine]bool {
	if out, known := v.relocatableByRank[rank]; known {
		return out
	}
	var occupied []*Machine
	for _, m := range v.Index.Machines(v.Partition) {
		if m.cpuOnlyTasks > 0 {
			occupied = append(occupied, m)
		}
	}
	slices.SortStableFunc(occupied, func(a, b *Machine) int { return a.cpuOnlyTasks - b.cpuOnlyTasks })
	plan := v.newRelocationPlan(v.Partition)
	out := map[*Machine]bool{}
	for _, m := range occupied {
		out[m] = (v.GPUTypesInDemand == nil || v.GPUTypesInDemand[m.Type]) && plan.placeAll(m, rank)
	}
	if v.relocatableByRank == nil {
		v.relocatableByRank = map[int]map[*Machine]bool{}
	}
	v.relocatableByRank[rank] = out
	return out
}

// expectedEnd returns when a task is expected to end, by the submitter's estimate: now if it is
// overdue. A service does not end.
func (v *View) expectedEnd(m *Machine, task Assignment) (at time.Time, ends bool) {
	if task.Job.Spec.Shape == protocol.Service {
		return time.Time{}, false
	}
	at = task.Since.Add(durationOfSeconds(task.Job.Spec.EstimateS + m.FetchSeconds(task.Job.Spec)))
	if at.Before(v.Now) {
		at = v.Now
	}
	return at, true
}

// earliestPlaces returns the first places on which all of a gang fits, or nil if there are too few.
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
