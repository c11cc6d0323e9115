package decide

import (
	"fmt"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// g4GangJob returns a g4Gang that was submitted at an offset from testNow and is estimated to run for
// a time.
func g4GangJob(id string, tasks int, submitted, runs time.Duration) *Job {
	j := g4Gang(id, tasks)
	j.Spec.OneZone, j.Spec.EstimateS = true, runs.Seconds()
	j.Submitted = testNow.Add(submitted)
	return j
}

// partitionSim simulates a partition of g4 machines second by second: it places waiting jobs by age,
// applies reservations, and ends tasks after their run time.
type partitionSim struct {
	view        *View
	waiting     []*Job
	started     map[*Job]time.Duration     // when jobs started
	ends        map[*Job]time.Duration     // when started jobs end
	longestIdle time.Duration              // longest time for which a machine was free while a job waited
	freeFrom    map[*Machine]time.Duration // when machines were last busy, or no job waited
}

// newPartitionSim returns a partition with empty machines.
func newPartitionSim(machines int) *partitionSim {
	var ms []*Machine
	for i := range machines {
		ms = append(ms, machineOf(g4, fmt.Sprintf("m%d", i), 0, "i"))
	}
	return &partitionSim{view: viewWithAllTypes(ms...), started: map[*Job]time.Duration{}, ends: map[*Job]time.Duration{}, freeFrom: map[*Machine]time.Duration{}}
}

// update changes a machine in the index.
func (s *partitionSim) update(m *Machine, change func(f *Machine)) {
	facts := *m
	facts.Assignments = append([]Assignment(nil), m.Assignments...)
	change(&facts)
	s.view.Index.Set(m, &facts)
}

// step runs one scheduling pass at a time since the start. runTime returns how long a job runs.
func (s *partitionSim) step(elapsed time.Duration, runTime func(j *Job) time.Duration) {
	now := testNow.Add(elapsed)
	view := *s.view
	view.Now = now
	view.noCapacityAt, view.noVictimsAt, view.relocatableByRank = nil, nil, nil
	for _, m := range s.view.Index.Machines(0) {
		s.update(m, func(f *Machine) {
			f.LastReport = now
			if len(f.Assignments) > 0 && s.ends[f.Assignments[0].Job] <= elapsed {
				f.Assignments, f.Used = nil, Resources{}
			}
		})
	}
	var stillWaiting []*Job
	for _, j := range s.waiting {
		p := view.Place(j)
		s.reserve(j, p.Reserve, now)
		if !p.BlockedByReservation {
			j.ReservationBlockedSince = time.Time{}
		} else if j.ReservationBlockedSince.IsZero() {
			j.ReservationBlockedSince = now
		}
		if len(p.Machines) == 0 {
			stillWaiting = append(stillWaiting, j)
			continue
		}
		for k, m := range p.Machines {
			s.update(m, func(f *Machine) {
				f.Assignments = []Assignment{{Job: j, Task: k, Since: now, Active: true}}
				f.Used = f.Used.Add(j.Need, 1)
			})
		}
		j.Waiting, s.started[j], s.ends[j] = 0, elapsed, elapsed+runTime(j)
	}
	s.waiting = stillWaiting
	for _, m := range s.view.Index.Machines(0) {
		if len(m.Assignments) > 0 || len(s.waiting) == 0 {
			s.freeFrom[m] = elapsed
		}
		s.longestIdle = max(s.longestIdle, elapsed-s.freeFrom[m])
	}
}

// reserve applies a reservation in the same way as package node.
func (s *partitionSim) reserve(j *Job, r *Reservation, now time.Time) {
	for _, m := range s.view.Index.Machines(0) {
		if m.IsReservedFor(j, now) || m.EarmarkedFor == j {
			s.update(m, func(f *Machine) { f.EarmarkedFor, f.Reserved = nil, false })
		}
	}
	if r == nil || len(r.Machines) == 0 {
		if j.ReservationExpired(now) {
			j.ReserveAfter = now.Add(ReservationBackoff)
		}
		j.ReservedSince = time.Time{}
		return
	}
	if j.ReservedSince.IsZero() {
		j.ReservedSince = now
	}
	j.ExpectedStart = r.ExpectedStart
	for _, m := range r.Machines {
		s.update(m, func(f *Machine) {
			f.EarmarkedFor, f.Reserved, f.EarmarkedUntil = j, true, j.ReservedSince.Add(j.ReservationTime())
		})
	}
}

// Gangs of one task keep arriving and would take every machine that becomes free. A gang of four of
// the same priority must still start, before younger ones that would delay it, and no machine may
// stay idle for longer than a reservation lasts.
func TestLargeGangIsNotStarved(t *testing.T) {
	s := newPartitionSim(6)
	runTime := func(j *Job) time.Duration { return time.Duration(j.Spec.EstimateS) * time.Second }
	large := g4GangJob("job-large", 4, 20*time.Second, 60*time.Second)
	waited := 0
	for at := time.Duration(0); at < 10*time.Minute; at += time.Second {
		if at%(9*time.Second) == 0 {
			s.waiting = append(s.waiting, g4GangJob(fmt.Sprintf("job-%03d", at/time.Second), 1, at, 60*time.Second))
		}
		if at == 20*time.Second {
			s.waiting = append(s.waiting, large)
		}
		s.step(at, runTime)
		waited = max(waited, len(s.waiting))
	}
	started, ok := s.started[large]
	if !ok || started > 20*time.Second+2*large.ReservationTime() {
		t.Errorf("the gang of four started after %v (%v)", started, ok)
	}
	if waited < 2 {
		t.Error("nothing else ever waited: the partition was not full")
	}
	if s.longestIdle > large.ReservationTime() {
		t.Errorf("a machine was idle for %v while jobs waited", s.longestIdle)
	}
}

// A gang cannot start because running tasks exceed their estimates. Its reservation must expire
// after ReservationTime, so that other jobs can use the machines.
func TestUnmetReservationExpires(t *testing.T) {
	s := newPartitionSim(4)
	runTime := func(j *Job) time.Duration {
		if j.ID == "job-overdue" {
			return time.Hour
		}
		return 30 * time.Second
	}
	s.waiting = []*Job{g4GangJob("job-overdue", 3, 0, 30*time.Second)}
	s.step(0, runTime)
	large, small := g4GangJob("job-large", 2, 1, 30*time.Second), g4GangJob("job-small", 1, 2, 30*time.Second)
	s.waiting = []*Job{large, small}
	for at := time.Second; at < 10*time.Minute; at += time.Second {
		s.step(at, runTime)
		if at == 10*time.Second && s.started[small] != 0 {
			t.Fatal("nothing was reserved: the small gang has started")
		}
	}
	if started := s.started[small]; started == 0 || started > large.ReservationTime()+5*time.Second {
		t.Errorf("the small gang started after %v, the reservation lasts %v", started, large.ReservationTime())
	}
	if _, ok := s.started[large]; ok {
		t.Error("the large gang has started without enough machines")
	}
}

// Reservations may keep a job off machines that it would fit on for maxReservationBlock in total,
// even if several gangs have reservations in turn.
func TestReservationsBlockAJobForLimitedTime(t *testing.T) {
	s := newPartitionSim(3)
	runTime := func(j *Job) time.Duration {
		if j.ID == "job-overdue" {
			return time.Hour
		}
		return 30 * time.Second
	}
	s.waiting = []*Job{g4GangJob("job-overdue", 2, 0, 30*time.Second)}
	s.step(0, runTime)
	small := g4GangJob("job-small", 1, 10*time.Second, 10*time.Minute)
	s.waiting = []*Job{g4GangJob("job-large", 2, time.Second, 30*time.Second), g4GangJob("job-next", 2, 2*time.Second, 30*time.Second), small}
	blocked := time.Duration(0)
	for at := 10 * time.Second; at < 5*time.Minute && s.started[small] == 0; at += time.Second {
		s.step(at, runTime)
		if !small.ReservationBlockedSince.IsZero() {
			blocked += time.Second
		}
	}
	if blocked < maxReservationBlock/2 {
		t.Fatalf("the job was blocked for %v only", blocked)
	}
	if started := s.started[small]; started == 0 || started > 10*time.Second+maxReservationBlock+2*time.Second {
		t.Errorf("the job started after %v", started)
	}
}

// A reservation keeps off the jobs that would delay the gang and lets others be backfilled.
func TestBackfill(t *testing.T) {
	large := g4GangJob("job-large", 4, 10*time.Second, time.Minute)
	large.ExpectedStart = testNow.Add(time.Minute)
	job := func(shape string, tasks, rank int, submitted, runs time.Duration) *Job {
		j := g4GangJob("job-other", tasks, submitted, runs)
		j.Spec.Shape, j.Rank = shape, rank
		return j
	}
	gangOfOne := func(submitted, runs time.Duration) *Job {
		return job(protocol.Gang, 1, large.Rank, submitted, runs)
	}
	for _, c := range []struct {
		name     string
		job      *Job
		change   func(m *Machine)
		excluded bool
	}{
		{"younger, ends later", gangOfOne(20*time.Second, 2*time.Minute), nil, true},
		{"younger, ends in time", gangOfOne(20*time.Second, 30*time.Second), nil, false},
		{"younger, ends in time but for the fetch", gangOfOne(20*time.Second, 59*time.Second), func(m *Machine) { m.Images = nil }, true},
		{"older", gangOfOne(0, 2*time.Minute), nil, false},
		{"a service of the same priority", job(protocol.Service, 1, large.Rank, 20*time.Second, time.Second), nil, true},
		{"higher priority", job(protocol.Gang, 1, protocol.Production, 20*time.Second, 2*time.Minute), nil, false},
		{"lower priority, can be preempted", job(protocol.Array, 1, protocol.Low, 20*time.Second, time.Hour), nil, false},
		{"gang of lower priority, cannot be preempted", job(protocol.Gang, 2, protocol.Low, 20*time.Second, time.Hour), nil, true},
		{"the reservation has expired", gangOfOne(20*time.Second, 2*time.Minute), func(m *Machine) { m.EarmarkedUntil = testNow }, false},
		{"the machine has left the partition", gangOfOne(20*time.Second, 2*time.Minute), func(m *Machine) { m.Partition = 1 }, false},
		{"the gang is cancelled", gangOfOne(20*time.Second, 2*time.Minute), func(m *Machine) {
			cancelled := *large
			cancelled.Cancelled = true
			m.EarmarkedFor = &cancelled
		}, false},
		{"the gang has started", gangOfOne(20*time.Second, 2*time.Minute), func(m *Machine) {
			begun := *large
			begun.Waiting = 0
			m.EarmarkedFor = &begun
		}, false},
	} {
		m := machineOf(g4, "m1", 0, "i")
		m.EarmarkedFor, m.EarmarkedUntil, m.Reserved = large, testNow.Add(time.Hour), true
		if c.change != nil {
			c.change(m)
		}
		if got := m.EarmarkExcludes(c.job, testNow); got != c.excluded {
			t.Errorf("%s: excluded %v, want %v", c.name, got, c.excluded)
		}
	}
}

// Reserve chooses the zone where the gang is expected to start first, and in it the machines that
// are free for the gang or on which it can preempt tasks. It chooses none if the gang could not
// start in time or may not have a reservation.
func TestReserveChoosesMachines(t *testing.T) {
	running := func(name, zone string, left time.Duration) *Machine {
		j := g4GangJob("job-"+name, 1, 0, 5*time.Minute)
		m := machineOf(g4, name, 0, "i")
		m.Zone, m.Used = zone, j.Need
		m.Assignments = []Assignment{{Job: j, Since: testNow.Add(left - 5*time.Minute), Active: true}}
		return m
	}
	free := func(name, zone string) *Machine {
		m := machineOf(g4, name, 0, "i")
		m.Zone = zone
		return m
	}
	service := withTasks(machineOf(g4, "m9", 24), cpuJob("job-pages", protocol.Service, 24, protocol.Production), 24)
	low := withTasks(machineOf(g4, "m8", 24), cpuJob("job-low", protocol.Array, 24, protocol.Low), 24)
	other := free("m7", "a")
	other.EarmarkedFor, other.EarmarkedUntil, other.Reserved = g4GangJob("job-older", 2, -time.Minute, time.Hour), testNow.Add(time.Hour), true
	other.EarmarkedFor.ExpectedStart = testNow
	for _, c := range []struct {
		name     string
		machines []*Machine
		change   func(j *Job)
		want     string
		in       time.Duration
	}{
		{"the zone that is ready first", []*Machine{free("m1", "a"), running("m2", "a", 90*time.Second), free("m3", "b"), running("m4", "b", 30*time.Second)}, nil, "m3 ", 30 * time.Second},
		{"free machines before overdue tasks", []*Machine{running("m1", "a", -time.Minute), running("m2", "a", -time.Minute), free("m3", "a")}, nil, "m3 ", 0},
		{"tasks of lower priority can be preempted", []*Machine{low, running("m2", "a", time.Minute)}, nil, "m8 ", time.Minute},
		{"not where a service runs", []*Machine{service, free("m1", "a")}, nil, "", 0},
		{"too late", []*Machine{free("m1", "a"), running("m2", "a", 4*time.Minute)}, nil, "", 0},
		{"machines that an older gang needs are left to it", []*Machine{other, free("m1", "a"), running("m2", "a", 10*time.Second), running("m3", "a", 20*time.Second)}, nil, "", 0},
		{"in backoff after an expired reservation", []*Machine{free("m1", "a"), running("m2", "a", time.Minute)}, func(j *Job) { j.ReserveAfter = testNow.Add(time.Second) }, "", 0},
		{"its reservation has expired", []*Machine{free("m1", "a"), running("m2", "a", time.Minute)}, func(j *Job) { j.ReservedSince = testNow.Add(-j.ReservationTime()) }, "", 0},
		{"it fails everywhere", []*Machine{free("m1", "a"), running("m2", "a", time.Minute)}, func(j *Job) { j.FailsEverywhere = true }, "", 0},
		{"not for one task", []*Machine{running("m2", "a", time.Minute)}, func(j *Job) { j.Tasks, j.Waiting = 1, 1 }, "", 0},
	} {
		j := g4GangJob("job-1", 2, 0, time.Minute)
		if c.change != nil {
			c.change(j)
		}
		r := viewWithAllTypes(c.machines...).Place(j).Reserve
		got := ""
		if r != nil {
			got = machineNames(r.Machines)
		}
		if got != c.want {
			t.Errorf("%s: reserved %q, want %q", c.name, got, c.want)
		}
		if c.want != "" && r.ExpectedStart.Sub(testNow) != c.in {
			t.Errorf("%s: expected in %v, want %v", c.name, r.ExpectedStart.Sub(testNow), c.in)
		}
	}
}

// Explain reports how many of the machines that a gang needs are reserved for it.
func TestExplainReportsReservedMachines(t *testing.T) {
	m1, m2 := machineOf(g4, "m1", 0, "i"), machineOf(g4, "m2", 24, "i")
	j := g4GangJob("job-1", 2, 0, time.Minute)
	m1.EarmarkedFor, m1.EarmarkedUntil, m1.Reserved = j, testNow.Add(time.Minute), true
	v := viewWithAllTypes(m1, m2)
	for _, c := range v.Explain(j, &ExplainContext{}) {
		if c.Reason == ReservingForGang {
			if got, want := c.String(), "gathering room: 1 of 2 machines kept (m1)"; got != want {
				t.Errorf("%q, want %q", got, want)
			}
			return
		}
	}
	t.Error("the reservation is not among the causes")
}

// Replicas that were relocated for a gang do not return to its machine before the gang starts,
// although they have a higher priority and are placed first. Jobs of higher priority that need the
// GPUs may use the machine, and all jobs may when the earmark has expired.
func TestRelocatedTasksDoNotReturnBeforeTheGang(t *testing.T) {
	earmarked := func() *Machine {
		m := machineOf(g4, "m1", 0, "i")
		m.EarmarkedFor, m.EarmarkedUntil = g4GangJob("job-g", 1, 0, time.Minute), testNow.Add(8*time.Second)
		return m
	}
	v := viewWithAllTypes(earmarked())
	pages := cpuJob("job-pages", protocol.Service, 2, protocol.Production)
	if p := v.Place(pages); len(p.Machines) != 0 {
		t.Errorf("replicas return to %s", machineNames(p.Machines))
	}
	urgent := gpuJob("job-urgent", 1, true)
	urgent.Rank = protocol.Production
	if p := v.Place(urgent); len(p.Machines) != 1 {
		t.Error("a job of higher priority that needs GPUs is kept off")
	}
	later := earmarked()
	later.LastReport = later.EarmarkedUntil
	v = viewWithAllTypes(later)
	v.Now = later.EarmarkedUntil
	if p := v.Place(pages); len(p.Machines) != 2 {
		t.Error("replicas are kept off after the earmark has expired")
	}
}
