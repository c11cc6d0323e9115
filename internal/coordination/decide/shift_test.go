package decide

import (
	"testing"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Services of one CPU are on the two machines that a gang fits on. They are stopped to run
// elsewhere, as few as will do, where their image is or is there soon and in their zone; if
// there is no such place, they stay. (On a simulated day with 40 machines one such replica on each of two
// machines kept every gang waiting for ten minutes.)
func TestWorkWithoutGPUsMakesWayForWorkWithThem(t *testing.T) {
	pages := cpuJob("job-pages", protocol.Service, 9, protocol.Production)
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	g := g4Gang("job-g", 1) // 20 CPUs, 4 GPUs
	slow := machineOf(c24, "m2", 0)
	slow.SecPerGB = (maxRelocationFetch + 1) / pages.Spec.ImageGB
	for _, c := range []struct {
		name  string
		there *Machine
		want  int
	}{
		{"free places with the image", machineOf(c24, "m2", 0, "i"), 2},
		{"too few", machineOf(c24, "m2", 23, "i"), 0},
		{"where the image is there soon", machineOf(c24, "m2", 0), 2},
		{"where the fetch takes too long", slow, 0},
		{"where less urgent work is, and the image is there soon", withTasks(machineOf(c24, "m2", 24), low, 24), 2},
		{"where GPUs would idle", machineOf(g2, "m2", 0, "i"), 0},
		{"where less urgent work is", withTasks(machineOf(c24, "m2", 24, "i"), low, 24), 2},
	} {
		v := viewWithAllTypes(withTasks(machineOf(g4, "m1", 6, "i"), pages, 6), c.there)
		v.GPUTypesInDemand = map[string]bool{"g4": true, "g2": true}
		r := v.Preempt(g, 1, AnyMachine)
		n := 0
		if r.HasEvictions() {
			n = len(r.Evictions[0].Victims)
		}
		if n != c.want {
			t.Errorf("%s: %d of 6 replicas leave, want %d", c.name, n, c.want)
		}
	}
	v := viewWithAllTypes(withTasks(machineOf(g4, "m1", 6, "i"), pages, 6), machineOf(c24, "m2", 0, "i"))
	if r := v.Preempt(cpuJob("job-2", protocol.Array, 1, protocol.High), 1, AnyMachine); r.HasEvictions() {
		t.Error("they make way for work that needs no GPU either")
	}
	zone := machineOf(c24, "m2", 0, "i")
	zone.Zone = "b"
	if r := viewWithAllTypes(withTasks(machineOf(g4, "m1", 6, "i"), pages, 6), zone).Preempt(g, 1, AnyMachine); r.HasEvictions() {
		t.Error("they go to another zone")
	}
}

// Two machines with three replicas each, and four places elsewhere: a gang of two, which
// needs both, gets neither; a gang of one gets the first.
func TestAPlaceElsewhereIsTakenOnce(t *testing.T) {
	pages := cpuJob("job-pages", protocol.Service, 9, protocol.Production)
	day := func() *View {
		return viewWithAllTypes(withTasks(machineOf(g4, "m1", 7, "i"), pages, 7), withTasks(machineOf(g4, "m3", 7, "i"), pages, 7), machineOf(c24, "m2", 20, "i"))
	}
	if r := day().Preempt(g4Gang("job-g", 2), 2, AnyMachine); r.HasEvictions() {
		t.Errorf("%d machines make way for a gang of two", len(r.Evictions))
	}
	if r := day().Preempt(g4Gang("job-g", 1), 1, AnyMachine); !r.HasEvictions() || len(r.Evictions[0].Victims) != 3 {
		t.Error("none makes way for a gang of one")
	}
}

// Replicas are shifted to where their image is before others are stopped or it is fetched, and
// to what is free before others are stopped.
func TestWhereReplicasAreShifted(t *testing.T) {
	pages := cpuJob("job-pages", protocol.Service, 9, protocol.Production)
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	from := withTasks(machineOf(g4, "m1", 1, "i"), pages, 1)
	v := viewWithAllTypes(from, withTasks(machineOf(c24, "m2", 24), low, 24), machineOf(c24, "m3", 23), withTasks(machineOf(c24, "m4", 24, "i"), low, 24), machineOf(c24, "m5", 23, "i"))
	places := v.newRelocationPlan(0)
	for range 2 + 24 + 1 {
		if _, found := places.placeTask(pages, from); !found {
			t.Fatal("no place")
		}
	}
	for i, want := range map[int]string{0: "m5", 1: "m4", 24: "m4", 25: "m3", 26: "m2"} {
		if got := places.placements[i].to.Name; got != want {
			t.Errorf("place %d on %s, want %s", i, got, want)
		}
	}
	places.rollBack(1)
	if _, found := places.placeTask(pages, from); !found || places.placements[1].to.Name != "m4" {
		t.Error("what was given back is not free again")
	}
}

// A machine of another share goes for a gang if all that is on it can run elsewhere there.
func TestMachinesGoWhoseWorkCanRunElsewhere(t *testing.T) {
	pages := cpuJob("job-pages", protocol.Service, 9, protocol.Production)
	claims := [][]*Job{{g4Gang("job-1", 1)}, nil}
	for _, c := range []struct {
		free int
		want string
	}{{3, "m5>0 "}, {2, ""}} {
		v := viewOfPartitions([]*Machine{machineOf(c24, "m1", 0)}, []*Machine{withTasks(machineOf(g4, "m5", 3, "i"), pages, 3), machineOf(c24, "m6", 24-c.free, "i")})
		if got := formatMoves(v.PlanMoves(claims, make([][]*Job, 2), 60)); got != c.want {
			t.Errorf("with %d free places: moved %q, want %q", c.free, got, c.want)
		}
	}
}

// A team's arrays use up its limit. A service of it has as many of their tasks stopped as it
// lacks, and what they leave is kept for it; a gang that would find no machine has nobody
// stopped, and neither has one for which enough is leaving already. (On a simulated day 32
// services waited for their own team's arrays, up to 39 s; without keeping what was freed
// 43 tasks were stopped every 8 s and started again.)
func TestLessUrgentWorkOfTheTeamMakesWayInItsLimit(t *testing.T) {
	low := cpuJob("job-low", protocol.Array, 40, protocol.Low)
	day := func() *View {
		v := viewWithAllTypes(withTasks(machineOf(c24, "m1", 20, "i"), low, 20), machineOf(c24, "m2", 0, "i"))
		v.Teams[0].Limit, v.Teams[0].Used = Resources{CPUs: 20}, Resources{CPUs: 20}
		return v
	}
	v, s := day(), cpuJob("job-s", protocol.Service, 3, protocol.Production)
	if p := v.Place(s); p.Reason != TeamLimit {
		t.Fatalf("placed on %s", machineNames(p.Machines))
	}
	r := v.PreemptWithinTeam(s)
	if !r.HasEvictions() || len(r.Evictions[0].Victims) != 3 {
		t.Fatalf("room %+v", r)
	}
	v.Teams[0].LimitReservations = []LimitReservation{{Job: s, Until: testNow.Add(testPreemptionTime)}}
	v.Teams[0].Used.CPUs = 17
	if got := v.Startable(low); got != 0 {
		t.Errorf("%d tasks of the array take what was freed", got)
	}
	if got := v.Startable(s); got != 3 {
		t.Errorf("%d of the service may start", got)
	}
	if c, _ := v.Teams[0].effectiveFor(low, v.Now).exceededLimit(low); c.Reason != TeamLimit {
		t.Errorf("the array waits for %v", c.Reason)
	}
	if got := Startable(low, v.Teams[0], testNow.Add(testPreemptionTime)); got != 3 {
		t.Errorf("%d tasks may start when the time is over", got)
	}
	f := *v.Index.Machines(0)[0]
	for i := range 3 {
		f.Assignments[i].Stopping = true
	}
	v = day()
	v.Index.Set(v.Index.Machines(0)[0], &f)
	if r := v.PreemptWithinTeam(s); r.HasEvictions() {
		t.Error("others are stopped though three are leaving")
	}
	g := g4Gang("job-g", 1)
	if r := day().PreemptWithinTeam(g); r.HasEvictions() {
		t.Error("the array is stopped for a gang that fits nowhere")
	}
	if r := day().PreemptWithinTeam(cpuJob("job-low2", protocol.Array, 3, protocol.Low)); r.HasEvictions() {
		t.Error("the array is stopped for one that is no more urgent")
	}
}

const testPreemptionTime = 8e9
