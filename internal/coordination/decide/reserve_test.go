package decide

import (
	"fmt"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// g4GangJob is a gang whose tasks fill a g4 machine each.
func g4GangJob(id string, tasks int, submitted, runs time.Duration) *Job {
	j := g4Gang(id, tasks)
	j.Spec.OneZone, j.Spec.EstimateS = true, runs.Seconds()
	j.Submitted = testNow.Add(submitted)
	return j
}

// partitionSim plays a share of g4 machines second by second: it places what waits by age,
// keeps what is reserved, and ends tasks when their time is over.
type partitionSim struct {
	view        *View
	waiting     []*Job
	started     map[*Job]time.Duration
	ends        map[*Job]time.Duration
	longestIdle time.Duration // the longest that a machine was free while a job waited
	freeFrom    map[*Machine]time.Duration
}

func newPartitionSim(machines int) *partitionSim {
	var ms []*Machine
	for i := range machines {
		ms = append(ms, machineOf(g4, fmt.Sprintf("m%d", i), 0, "i"))
	}
	return &partitionSim{view: viewWithAllTypes(ms...), started: map[*Job]time.Duration{}, ends: map[*Job]time.Duration{}, freeFrom: map[*Machine]time.Duration{}}
}

func (s *partitionSim) update(m *Machine, change func(f *Machine)) {
	f := *m
	f.Assignments = append([]Assignment(nil), m.Assignments...)
	change(&f)
	s.view.Index.Set(m, &f)
}

// step decides and applies one look at a time since the start.
func (s *partitionSim) step(at time.Duration, runs func(j *Job) time.Duration) {
	now := testNow.Add(at)
	look := *s.view
	look.Now = now
	look.noCapacityAt, look.noVictimsAt, look.relocatableByRank = nil, nil, nil
	for _, m := range s.view.Index.Machines(0) {
		s.update(m, func(f *Machine) {
			f.LastReport = now
			if len(f.Assignments) > 0 && s.ends[f.Assignments[0].Job] <= at {
				f.Assignments, f.Used = nil, Resources{}
			}
		})
	}
	var left []*Job
	for _, j := range s.waiting {
		p := look.Place(j)
		s.reserve(j, p.Reserve, now)
		if !p.BlockedByReservation {
			j.ReservationBlockedSince = time.Time{}
		} else if j.ReservationBlockedSince.IsZero() {
			j.ReservationBlockedSince = now
		}
		if len(p.Machines) == 0 {
			left = append(left, j)
			continue
		}
		for k, m := range p.Machines {
			s.update(m, func(f *Machine) {
				f.Assignments = []Assignment{{Job: j, Task: k, Since: now, Active: true}}
				f.Used = f.Used.Add(j.Need, 1)
			})
		}
		j.Waiting, s.started[j], s.ends[j] = 0, at, at+runs(j)
	}
	s.waiting = left
	for _, m := range s.view.Index.Machines(0) {
		if len(m.Assignments) > 0 || len(s.waiting) == 0 {
			s.freeFrom[m] = at
		}
		s.longestIdle = max(s.longestIdle, at-s.freeFrom[m])
	}
}

// reserve applies a reservation as the actor does.
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

// Gangs of one keep coming and take every machine that becomes free. A gang of four of the
// same priority begins all the same, before the younger ones that would delay it, and no
// machine stands idle for longer than a reservation lasts.
func TestLargeGangIsNotOvertakenForever(t *testing.T) {
	s := newPartitionSim(6)
	runs := func(j *Job) time.Duration { return time.Duration(j.Spec.EstimateS) * time.Second }
	large := g4GangJob("job-large", 4, 20*time.Second, 60*time.Second)
	waited := 0
	for at := time.Duration(0); at < 10*time.Minute; at += time.Second {
		if at%(9*time.Second) == 0 {
			s.waiting = append(s.waiting, g4GangJob(fmt.Sprintf("job-%03d", at/time.Second), 1, at, 60*time.Second))
		}
		if at == 20*time.Second {
			s.waiting = append(s.waiting, large)
		}
		s.step(at, runs)
		waited = max(waited, len(s.waiting))
	}
	began, ok := s.started[large]
	if !ok || began > 20*time.Second+2*large.ReservationTime() {
		t.Errorf("the gang of four began after %v (%v)", began, ok)
	}
	if waited < 2 {
		t.Error("nothing else ever waited: the share was not full")
	}
	if s.longestIdle > large.ReservationTime() {
		t.Errorf("a machine stood idle for %v while others waited", s.longestIdle)
	}
}

// A gang whose places do not become free, since the running tasks go on for longer than
// was estimated, keeps what is reserved for it no longer than it may; then others go on.
func TestReservationThatCannotBeMetEnds(t *testing.T) {
	s := newPartitionSim(4)
	runs := func(j *Job) time.Duration {
		if j.ID == "job-overdue" {
			return time.Hour
		}
		return 30 * time.Second
	}
	s.waiting = []*Job{g4GangJob("job-overdue", 3, 0, 30*time.Second)}
	s.step(0, runs)
	large, small := g4GangJob("job-large", 2, 1, 30*time.Second), g4GangJob("job-small", 1, 2, 30*time.Second)
	s.waiting = []*Job{large, small}
	for at := time.Second; at < 10*time.Minute; at += time.Second {
		s.step(at, runs)
		if at == 10*time.Second && s.started[small] != 0 {
			t.Fatal("nothing was reserved: the small gang has begun")
		}
	}
	if began := s.started[small]; began == 0 || began > large.ReservationTime()+5*time.Second {
		t.Errorf("the small gang began after %v, the reservation lasts %v", began, large.ReservationTime())
	}
	if _, ok := s.started[large]; ok {
		t.Error("the large gang has begun without places")
	}
}

// Reservations keep a job off machines that it would fit on for so long together and no longer,
// also if it is one gang after the other that has them.
func TestNobodyIsKeptOffForever(t *testing.T) {
	s := newPartitionSim(3)
	runs := func(j *Job) time.Duration {
		if j.ID == "job-overdue" {
			return time.Hour
		}
		return 30 * time.Second
	}
	s.waiting = []*Job{g4GangJob("job-overdue", 2, 0, 30*time.Second)}
	s.step(0, runs)
	small := g4GangJob("job-small", 1, 10*time.Second, 10*time.Minute)
	s.waiting = []*Job{g4GangJob("job-large", 2, time.Second, 30*time.Second), g4GangJob("job-next", 2, 2*time.Second, 30*time.Second), small}
	kept := time.Duration(0)
	for at := 10 * time.Second; at < 5*time.Minute && s.started[small] == 0; at += time.Second {
		s.step(at, runs)
		if !small.ReservationBlockedSince.IsZero() {
			kept += time.Second
		}
	}
	if kept < maxReservationBlock/2 {
		t.Fatalf("it was kept off for %v only", kept)
	}
	if began := s.started[small]; began == 0 || began > 10*time.Second+maxReservationBlock+2*time.Second {
		t.Errorf("it began after %v", began)
	}
}

// What a reservation keeps off a machine, and what it lets through.
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
		name   string
		job    *Job
		change func(m *Machine)
		kept   bool
	}{
		{"younger, ends later", gangOfOne(20*time.Second, 2*time.Minute), nil, true},
		{"younger, ends in time", gangOfOne(20*time.Second, 30*time.Second), nil, false},
		{"younger, ends in time but for the fetch", gangOfOne(20*time.Second, 59*time.Second), func(m *Machine) { m.Images = nil }, true},
		{"older", gangOfOne(0, 2*time.Minute), nil, false},
		{"a service of the same priority", job(protocol.Service, 1, large.Rank, 20*time.Second, time.Second), nil, true},
		{"more urgent", job(protocol.Gang, 1, protocol.Production, 20*time.Second, 2*time.Minute), nil, false},
		{"less urgent, may be stopped", job(protocol.Array, 1, protocol.Low, 20*time.Second, time.Hour), nil, false},
		{"less urgent gang, may not", job(protocol.Gang, 2, protocol.Low, 20*time.Second, time.Hour), nil, true},
		{"the time is over", gangOfOne(20*time.Second, 2*time.Minute), func(m *Machine) { m.EarmarkedUntil = testNow }, false},
		{"the machine has left the share", gangOfOne(20*time.Second, 2*time.Minute), func(m *Machine) { m.Partition = 1 }, false},
		{"the gang is cancelled", gangOfOne(20*time.Second, 2*time.Minute), func(m *Machine) {
			cancelled := *large
			cancelled.Cancelled = true
			m.EarmarkedFor = &cancelled
		}, false},
		{"the gang has begun", gangOfOne(20*time.Second, 2*time.Minute), func(m *Machine) {
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
		if got := m.EarmarkExcludes(c.job, testNow); got != c.kept {
			t.Errorf("%s: kept off %v, want %v", c.name, got, c.kept)
		}
	}
}

// What is reserved: the zone where the gang should start first, machines on which it has a
// place or whose less urgent work may be stopped, and nothing that cannot lead to a start.
func TestWhatIsReserved(t *testing.T) {
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
		{"what is free, also if others are overdue", []*Machine{running("m1", "a", -time.Minute), running("m2", "a", -time.Minute), free("m3", "a")}, nil, "m3 ", 0},
		{"less urgent work may be stopped", []*Machine{low, running("m2", "a", time.Minute)}, nil, "m8 ", time.Minute},
		{"not where a service stays", []*Machine{service, free("m1", "a")}, nil, "", 0},
		{"too late", []*Machine{free("m1", "a"), running("m2", "a", 4*time.Minute)}, nil, "", 0},
		{"an older gang's is left to it", []*Machine{other, free("m1", "a"), running("m2", "a", 10*time.Second), running("m3", "a", 20*time.Second)}, nil, "", 0},
		{"after a reservation in vain", []*Machine{free("m1", "a"), running("m2", "a", time.Minute)}, func(j *Job) { j.ReserveAfter = testNow.Add(time.Second) }, "", 0},
		{"it has lasted", []*Machine{free("m1", "a"), running("m2", "a", time.Minute)}, func(j *Job) { j.ReservedSince = testNow.Add(-j.ReservationTime()) }, "", 0},
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

// A gang that room is gathered for is told how much of it there is.
func TestWhyTellsOfTheRoomGathered(t *testing.T) {
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
	t.Error("it does not say that room is gathered")
}

// Replicas that made way for a gang do not come back to its machine before it, though they
// are more urgent and looked at first; more urgent work that needs the GPUs may go there, and
// when the time is over all may.
func TestShiftedWorkDoesNotComeBack(t *testing.T) {
	kept := func() *Machine {
		m := machineOf(g4, "m1", 0, "i")
		m.EarmarkedFor, m.EarmarkedUntil = g4GangJob("job-g", 1, 0, time.Minute), testNow.Add(8*time.Second)
		return m
	}
	v := viewWithAllTypes(kept())
	pages := cpuJob("job-pages", protocol.Service, 2, protocol.Production)
	if p := v.Place(pages); len(p.Machines) != 0 {
		t.Errorf("replicas come back to %s", machineNames(p.Machines))
	}
	urgent := gpuJob("job-urgent", 1, true)
	urgent.Rank = protocol.Production
	if p := v.Place(urgent); len(p.Machines) != 1 {
		t.Error("more urgent work with GPUs is kept off")
	}
	later := kept()
	later.LastReport = later.EarmarkedUntil
	v = viewWithAllTypes(later)
	v.Now = later.EarmarkedUntil
	if p := v.Place(pages); len(p.Machines) != 2 {
		t.Error("replicas are kept off for longer than the room is")
	}
}
