package decide

import (
	"testing"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Service replicas of one CPU run on a machine that a gang needs. As few as necessary are relocated
// within their zone, to machines that have the image or fetch it soon; if there is no such capacity,
// they stay. On a simulated day with 40 machines, one such replica on each of two machines kept
// every gang waiting for ten minutes.
func TestPreemptRelocatesTasksWithoutGPUs(t *testing.T) {
	pages := cpuJob("job-pages", protocol.Service, 9, protocol.Production)
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	g := g4Gang("job-g", 1) // 20 CPUs, 4 GPUs
	slow := machineOf(c24, "m2", 0)
	slow.SecPerGB = (maxRelocationFetch + 1) / pages.Spec.ImageGB
	for _, c := range []struct {
		name   string
		target *Machine
		want   int
	}{
		{"free capacity with the image", machineOf(c24, "m2", 0, "i"), 2},
		{"too little capacity", machineOf(c24, "m2", 23, "i"), 0},
		{"free capacity with a short fetch", machineOf(c24, "m2", 0), 2},
		{"the fetch takes too long", slow, 0},
		{"preemptible capacity with a short fetch", withTasks(machineOf(c24, "m2", 24), low, 24), 2},
		{"GPUs would idle", machineOf(g2, "m2", 0, "i"), 0},
		{"preemptible capacity with the image", withTasks(machineOf(c24, "m2", 24, "i"), low, 24), 2},
	} {
		v := viewWithAllTypes(withTasks(machineOf(g4, "m1", 6, "i"), pages, 6), c.target)
		v.GPUTypesInDemand = map[string]bool{"g4": true, "g2": true}
		r := v.Preempt(g, 1, AnyMachine)
		n := 0
		if r.HasEvictions() {
			n = len(r.Evictions[0].Victims)
		}
		if n != c.want {
			t.Errorf("%s: %d of 6 replicas are relocated, want %d", c.name, n, c.want)
		}
	}
	v := viewWithAllTypes(withTasks(machineOf(g4, "m1", 6, "i"), pages, 6), machineOf(c24, "m2", 0, "i"))
	if r := v.Preempt(cpuJob("job-2", protocol.Array, 1, protocol.High), 1, AnyMachine); r.HasEvictions() {
		t.Error("replicas are relocated for a job that needs no GPU")
	}
	otherZone := machineOf(c24, "m2", 0, "i")
	otherZone.Zone = "b"
	if r := viewWithAllTypes(withTasks(machineOf(g4, "m1", 6, "i"), pages, 6), otherZone).Preempt(g, 1, AnyMachine); r.HasEvictions() {
		t.Error("replicas are relocated to another zone")
	}
}

// Capacity for relocation must not be used twice. On two machines three replicas each would have to
// be relocated, and there is capacity for four: a gang of two, which needs both machines, gets
// neither, and a gang of one gets the first.
func TestRelocationPlacesAreUsedOnce(t *testing.T) {
	pages := cpuJob("job-pages", protocol.Service, 9, protocol.Production)
	newView := func() *View {
		return viewWithAllTypes(withTasks(machineOf(g4, "m1", 7, "i"), pages, 7), withTasks(machineOf(g4, "m3", 7, "i"), pages, 7), machineOf(c24, "m2", 20, "i"))
	}
	if r := newView().Preempt(g4Gang("job-g", 2), 2, AnyMachine); r.HasEvictions() {
		t.Errorf("tasks on %d machines are stopped for a gang of two", len(r.Evictions))
	}
	if r := newView().Preempt(g4Gang("job-g", 1), 1, AnyMachine); !r.HasEvictions() || len(r.Evictions[0].Victims) != 3 {
		t.Error("three replicas should be relocated for a gang of one")
	}
}

// Replicas are relocated to machines with their image before machines that must fetch it, and in
// both cases to free capacity before capacity for which tasks are preempted.
func TestRelocationPrefersCachedImagesAndFreeCapacity(t *testing.T) {
	pages := cpuJob("job-pages", protocol.Service, 9, protocol.Production)
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	from := withTasks(machineOf(g4, "m1", 1, "i"), pages, 1)
	v := viewWithAllTypes(from, withTasks(machineOf(c24, "m2", 24), low, 24), machineOf(c24, "m3", 23), withTasks(machineOf(c24, "m4", 24, "i"), low, 24), machineOf(c24, "m5", 23, "i"))
	plan := v.newRelocationPlan(0)
	for range 2 + 24 + 1 {
		if _, found := plan.placeTask(pages, from); !found {
			t.Fatal("no place found")
		}
	}
	for i, want := range map[int]string{0: "m5", 1: "m4", 24: "m4", 25: "m3", 26: "m2"} {
		if got := plan.placements[i].to.Name; got != want {
			t.Errorf("place %d on %s, want %s", i, got, want)
		}
	}
	plan.rollBack(1)
	if _, found := plan.placeTask(pages, from); !found || plan.placements[1].to.Name != "m4" {
		t.Error("capacity is not free again after rollBack")
	}
}

// A machine of another partition moves for a gang if all its tasks can be relocated within that
// partition.
func TestMachinesMoveIfTheirTasksCanBeRelocated(t *testing.T) {
	pages := cpuJob("job-pages", protocol.Service, 9, protocol.Production)
	guaranteed := [][]*Job{{g4Gang("job-1", 1)}, nil}
	for _, c := range []struct {
		free int
		want string
	}{{3, "m5>0 "}, {2, ""}} {
		v := viewOfPartitions([]*Machine{machineOf(c24, "m1", 0)}, []*Machine{withTasks(machineOf(g4, "m5", 3, "i"), pages, 3), machineOf(c24, "m6", 24-c.free, "i")})
		if got := formatMoves(v.PlanMoves(guaranteed, make([][]*Job, 2), 60)); got != c.want {
			t.Errorf("with capacity for %d tasks: moved %q, want %q", c.free, got, c.want)
		}
	}
}

// A team's array uses up the team's limit. A service of the team preempts as many of its tasks as
// it needs, and the freed part of the limit is reserved for the service. Nothing is preempted for a
// gang that would find no machine, or if enough tasks are being stopped already. On a simulated day
// 32 services waited for arrays of their own team for up to 39 s; without the reservation, 43 tasks
// were stopped every 8 s and started again.
func TestPreemptWithinTeam(t *testing.T) {
	low := cpuJob("job-low", protocol.Array, 40, protocol.Low)
	newView := func() *View {
		v := viewWithAllTypes(withTasks(machineOf(c24, "m1", 20, "i"), low, 20), machineOf(c24, "m2", 0, "i"))
		v.Teams[0].Limit, v.Teams[0].Used = Resources{CPUs: 20}, Resources{CPUs: 20}
		return v
	}
	v, service := newView(), cpuJob("job-s", protocol.Service, 3, protocol.Production)
	if p := v.Place(service); p.Reason != TeamLimit {
		t.Fatalf("placed on %s", machineNames(p.Machines))
	}
	r := v.PreemptWithinTeam(service)
	if !r.HasEvictions() || len(r.Evictions[0].Victims) != 3 {
		t.Fatalf("preemption %+v", r)
	}
	v.Teams[0].LimitReservations = []LimitReservation{{Job: service, Until: testNow.Add(testPreemptionTime)}}
	v.Teams[0].Used.CPUs = 17
	if got := v.Startable(low); got != 0 {
		t.Errorf("%d tasks of the array may use the reserved limit", got)
	}
	if got := v.Startable(service); got != 3 {
		t.Errorf("%d tasks of the service may start", got)
	}
	if c, _ := v.Teams[0].effectiveFor(low, v.Now).exceededLimit(low); c.Reason != TeamLimit {
		t.Errorf("the array waits for %v", c.Reason)
	}
	if got := Startable(low, v.Teams[0], testNow.Add(testPreemptionTime)); got != 3 {
		t.Errorf("%d tasks may start after the limit reservation", got)
	}
	facts := *v.Index.Machines(0)[0]
	for i := range 3 {
		facts.Assignments[i].Stopping = true
	}
	v = newView()
	v.Index.Set(v.Index.Machines(0)[0], &facts)
	if r := v.PreemptWithinTeam(service); r.HasEvictions() {
		t.Error("tasks are preempted though three are being stopped")
	}
	g := g4Gang("job-g", 1)
	if r := newView().PreemptWithinTeam(g); r.HasEvictions() {
		t.Error("tasks are preempted for a gang that fits nowhere")
	}
	if r := newView().PreemptWithinTeam(cpuJob("job-low2", protocol.Array, 3, protocol.Low)); r.HasEvictions() {
		t.Error("tasks are preempted for a job of the same priority")
	}
}

// testPreemptionTime is the duration of a limit reservation, 8 s.
const testPreemptionTime = 8e9
