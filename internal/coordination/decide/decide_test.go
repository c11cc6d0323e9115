package decide

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/protocol"
)

var g4 = &protocol.MachineType{Name: "g4", CPUs: 24, GPUs: 4, MemoryGB: 192, CacheGB: 100, FetchGBPerS: 0.5, Price: 10, SpotPrice: 4, BootS: 30, Zones: []string{"a", "b"}}

// Machine types with fewer GPUs than g4, or none.
var (
	g2  = &protocol.MachineType{Name: "g2", CPUs: 24, GPUs: 2, MemoryGB: 192, CacheGB: 100, FetchGBPerS: 0.5, Price: 6, SpotPrice: 3, BootS: 30, Zones: []string{"a", "b"}}
	c24 = &protocol.MachineType{Name: "c24", CPUs: 24, MemoryGB: 192, CacheGB: 100, FetchGBPerS: 0.5, Price: 1, SpotPrice: 0.5, BootS: 30, Zones: []string{"a", "b", "c"}}
)

var testNow = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// g4Machine returns a machine of type g4 that is up and runs a number of tasks like gpuJob's.
func g4Machine(name, zone string, used int, images ...string) *Machine {
	return &Machine{Name: name, Type: "g4", Zone: zone, HasType: true, Size: SizeOf(g4), Used: Resources{4 * float64(used), float64(used), 20 * float64(used)},
		SecPerGB: 2, Images: images, LastReport: testNow, HasAddress: true}
}

// viewOf returns a view of a partition with some machines; type g4 alone is in the catalogue.
func viewOf(ms ...*Machine) *View {
	index := NewIndex(2, 2)
	for _, m := range ms {
		facts := *m
		index.Set(m, &facts)
	}
	return &View{Now: testNow, Types: map[string]*protocol.MachineType{"g4": g4}, Index: index, Config: Config{ReportS: 2},
		Teams: []*Team{{Name: "red", Guarantee: Resources{GPUs: 4}, Limit: Resources{GPUs: 1000}}, {Name: "guest"}}}
}

// gpuJob returns an array of normal priority whose tasks need one GPU each.
func gpuJob(id string, waiting int, heavy bool) *Job {
	return &Job{ID: id, Spec: &protocol.JobSpec{ID: id, Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: waiting, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "i", ImageGB: 4},
		Rank: protocol.Normal, Need: Resources{4, 1, 20}, Tasks: waiting, Waiting: waiting, Heavy: heavy, Submitted: testNow, FirstSeen: testNow}
}

// machineNames joins the names of machines, each followed by a space.
func machineNames(ms []*Machine) string {
	joined := ""
	for _, m := range ms {
		joined += m.Name + " "
	}
	return joined
}

// Heavy jobs get the cheapest slots, light ones the next; among equal costs the fullest machines
// come first.
func TestPlaceRanksSlotsByCost(t *testing.T) {
	v := viewOf(g4Machine("m1", "a", 3), g4Machine("m2", "a", 2, "i"), g4Machine("m3", "a", 3, "i"), g4Machine("m4", "a", 1), g4Machine("m5", "a", 4))
	for _, c := range []struct {
		tasks int
		heavy bool
		want  string
	}{{2, true, "m3 m2 "}, {4, true, "m3 m2 m2 m1 "}, {2, false, "m2 m1 "}, {3, false, "m1 m4 m4 "}, {5, false, "m2 m1 m4 m4 m4 "}, {9, true, "m3 m2 m2 m1 m4 m4 m4 "}} {
		if got := machineNames(v.Place(gpuJob("job-1", c.tasks, c.heavy)).Machines); got != c.want {
			t.Errorf("r %d heavy %v: %s, want %s", c.tasks, c.heavy, got, c.want)
		}
	}
}

// An array that would miss its objective if a task were lost near its end is placed on ordinary
// machines first; an array that could restart in time, or is late anyway, on spot machines. On
// simulated days three of four late arrays had lost one spot machine. Also, preemption counts as
// missing the objective only if the task could still have met it.
func TestPlaceAvoidsSpotIfRestartMissesObjective(t *testing.T) {
	spot, ordinary := g4Machine("m1", "a", 0), g4Machine("m2", "a", 0)
	spot.Spot = true
	v := viewOf(spot, ordinary)
	v.Config.Objectives = []protocol.Objective{{Kind: "finished", Class: "c", WithinS: 120, Share: 0.9}}
	j := gpuJob("job-1", 1, true)
	j.Spec.Spot = true
	for _, c := range []struct {
		estimate   float64
		avoidsSpot bool
	}{{20, false}, {100, true}, {300, false}} {
		j.Spec.EstimateS = c.estimate
		if got := v.Place(j).Machines[0] == ordinary; got != c.avoidsSpot {
			t.Errorf("%v s: ordinary machines first: %v, want %v", c.estimate, got, c.avoidsSpot)
		}
	}
	j.Spec.EstimateS = 100
	for _, c := range []struct {
		ran             time.Duration
		missesObjective bool
	}{{5 * time.Second, false}, {60 * time.Second, true}, {200 * time.Second, false}} {
		if got := v.Config.preemptionMissesObjective(j, testNow, testNow.Add(c.ran)); got != c.missesObjective {
			t.Errorf("stopped after %v: misses its objective %v, want %v", c.ran, got, c.missesObjective)
		}
	}
}

// Emptying a machine whose tasks write checkpoints loses less work than stopping a task that has
// run for as long without.
func TestEmptyingLossCountsCheckpoints(t *testing.T) {
	running := func(saves bool, ran ...time.Duration) *Machine {
		m := g4Machine("m", "a", 0)
		for _, d := range ran {
			j := gpuJob("job-1", 0, true)
			if saves {
				j.Spec.CheckpointS, j.Spec.SaveS = 30, 3
			}
			m.Assignments = append(m.Assignments, Assignment{Job: j, Since: testNow.Add(-d), Active: true})
		}
		return m
	}
	if a, b := running(true, time.Minute, time.Minute, time.Minute, time.Minute).emptyingLoss(testNow), running(false, time.Minute).emptyingLoss(testNow); a >= b {
		t.Errorf("four tasks with checkpoints lose %v s, one without %v s", a, b)
	}
	if a, b := running(true, time.Second).emptyingLoss(testNow), running(true, time.Minute).emptyingLoss(testNow); a >= b {
		t.Errorf("a task with checkpoints loses %v s just after its start, %v s later", a, b)
	}
}

// drawFleet draws the machines of a partition in any state.
func drawFleet(t *rapid.T) (*View, []*Machine) {
	var ms []*Machine
	earmarkedGang := gpuJob("job-kept", 2, true)
	earmarkedGang.Rank = protocol.High
	for i := range rapid.IntRange(0, 40).Draw(t, "machines") {
		m := g4Machine(fmt.Sprintf("m%02d", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), rapid.IntRange(0, 4).Draw(t, "used"))
		m.Spot = rapid.Bool().Draw(t, "spot")
		switch used := m.Used.GPUs; rapid.IntRange(0, 3).Draw(t, "type") {
		case 0:
			m.Type, m.Size, m.Used = "c24", SizeOf(c24), Resources{CPUs: 4 * used, MemoryGB: 20 * used}
		case 1:
			m.Type, m.Size, m.Used = "g2", SizeOf(g2), Resources{4 * used, min(used, 2), 20 * used}
		}
		m.SecPerGB = rapid.SampledFrom([]float64{2, 2, 3, 4}).Draw(t, "cost")
		for k := range 4 {
			if rapid.IntRange(0, 2).Draw(t, "image") == 0 {
				m.Images = append(m.Images, fmt.Sprint("i", k))
			}
		}
		switch rapid.IntRange(0, 9).Draw(t, "state") {
		case 0:
			m.Block = Block(1 << rapid.IntRange(0, 8).Draw(t, "block"))
		case 1:
			m.LastReport = testNow.Add(-time.Minute)
		case 2:
			m.AvoidUntil = testNow.Add(time.Second)
		case 3:
			m.EarmarkedFor, m.EarmarkedUntil = earmarkedGang, testNow.Add(time.Second)
		}
		ms = append(ms, m)
	}
	v := viewOf(ms...)
	v.Types["g2"], v.Types["c24"] = g2, c24
	return v, ms
}

// drawJob draws a job with any shape and constraints.
func drawJob(t *rapid.T, id string) *Job {
	j := gpuJob(id, rapid.IntRange(1, 20).Draw(t, "tasks"), rapid.Bool().Draw(t, "heavy"))
	j.Rank = rapid.IntRange(0, 3).Draw(t, "rank")
	spec := j.Spec
	spec.Image, spec.ImageGB = fmt.Sprint("i", rapid.IntRange(0, 5).Draw(t, "image")), rapid.SampledFrom([]float64{0, 1, 4}).Draw(t, "gb")
	spec.Spot, spec.EstimateS = rapid.Bool().Draw(t, "spot"), 60
	if rapid.IntRange(0, 2).Draw(t, "gpus") == 0 {
		spec.GPUs, j.Need.GPUs = 0, 0
	}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		spec.Shape = protocol.Gang
		spec.OneZone = rapid.Bool().Draw(t, "together")
	case 1:
		spec.Shape, spec.Spread = protocol.Service, true
		j.Zones = map[string]int{"a": rapid.IntRange(0, 3).Draw(t, "in a")}
	case 2:
		spec.OneZone = true
		if rapid.Bool().Draw(t, "begun") {
			j.Zones = map[string]int{"b": 1}
		}
	case 3:
		spec.Zone = "a"
	}
	return j
}

// After any sequence of changes the index equals a new index of the same machines.
func TestIndexMatchesRebuiltIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, ms := drawFleet(t)
		for range rapid.IntRange(0, 30).Draw(t, "changes") {
			if len(ms) == 0 {
				return
			}
			m := rapid.SampledFrom(ms).Draw(t, "machine")
			facts := *m
			switch rapid.IntRange(0, 5).Draw(t, "change") {
			case 0:
				facts.Used = Resources{4, 1, 20}
			case 1:
				facts.Used = SizeOf(g4)
			case 2:
				facts.Images = []string{"i1", "i1", "i5"}
			case 3:
				facts.Block ^= Cordoned
			case 4:
				facts.Partition = 1 - facts.Partition
			case 5:
				facts.SecPerGB = 7
				facts.Assignments = []Assignment{{Job: gpuJob("job-9", 1, true), Stopping: true, Active: true}}
			}
			v.Index.Set(m, &facts)
		}
		if err := v.Index.Check(); err != nil {
			t.Fatal(err)
		}
	})
}

// Every placement respects the team's limit, the job's constraints, the machines' capacity and the
// rule that a gang starts with all of its tasks.
func TestPlaceRespectsConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, _ := drawFleet(t)
		limit := float64(rapid.IntRange(1, 60).Draw(t, "limit"))
		v.Teams[0].Limit = Resources{GPUs: limit, CPUs: 4 * limit}
		j := drawJob(t, "job-1")
		p := v.Place(j)
		placed := map[*Machine]int{}
		zones := map[string]int{}
		for z, n := range j.Zones {
			zones[z] += n
		}
		for _, m := range p.Machines {
			placed[m]++
			zones[m.Zone]++
			if !m.Usable(v.Now, 2) || !Allowed(j.Spec, m.offer()) || m.EarmarkExcludes(j, v.Now) {
				t.Fatalf("placed on %+v", m)
			}
		}
		for m, k := range placed {
			if m.Free().TaskCount(j.Need) < k {
				t.Fatalf("%d tasks on %s, which has capacity for %d", k, m.Name, m.Free().TaskCount(j.Need))
			}
		}
		for _, n := range zones {
			if j.Spec.OneZone && len(zones) > 1 || j.Spec.Spread && n > (j.Tasks+1)/2 && len(p.Machines) > 0 && n > j.Zones["a"] {
				t.Fatalf("zones %v", zones)
			}
		}
		if j.Spec.Shape == protocol.Gang && len(p.Machines) != 0 && len(p.Machines) != j.Tasks {
			t.Fatalf("%d tasks of a gang of %d", len(p.Machines), j.Tasks)
		}
		if float64(len(p.Machines)) > limit {
			t.Fatal("over the team's limit")
		}
	})
}

// A search that finds nothing is cached for jobs with the same needs. It must not be cached if
// machines were skipped because of an earmark, since the gang itself may use them.
func TestEarmarkedMachineIsOpenToItsGang(t *testing.T) {
	m := g4Machine("m1", "a", 0)
	gang, other := gpuJob("job-1", 2, true), gpuJob("job-2", 2, true)
	m.EarmarkedFor, m.EarmarkedUntil = gang, testNow.Add(time.Minute)
	v := viewOf(m)
	if p := v.Place(other); len(p.Machines) != 0 || p.Reason != NoFreeMachine {
		t.Fatalf("%+v", p)
	}
	if p := v.Place(gang); len(p.Machines) != 2 {
		t.Fatalf("%+v", p)
	}
}

// A view caches that a search found no capacity for jobs with the same needs, but only until
// capacity becomes free.
func TestNoCapacityIsCachedUntilCapacityIsFreed(t *testing.T) {
	m := g4Machine("m1", "a", 4)
	v := viewOf(m)
	if p := v.Place(gpuJob("job-1", 1, true)); len(p.Machines) != 0 {
		t.Fatal("placed on a full machine")
	}
	facts := *g4Machine("m1", "a", 3)
	v.Index.Set(m, &facts)
	if p := v.Place(gpuJob("job-2", 1, true)); len(p.Machines) != 1 {
		t.Fatal("not placed though capacity became free")
	}
}

// benchFleet returns a partition in which every second machine has capacity for two tasks and each
// machine has four images, and a number of waiting arrays, each with one of 16 images.
func benchFleet(machines, waiting int) (*View, []*Job) {
	var ms []*Machine
	service := gpuJob("job-s", 0, true)
	service.Spec.Shape, service.Rank = protocol.Service, protocol.Production
	for i := range machines {
		m := g4Machine(fmt.Sprintf("host-%06d", i), "a", 2+2*(i%2))
		for k := range 4 {
			m.Images = append(m.Images, fmt.Sprint("i", (i/2+k*k)%16))
		}
		for k := range 2 + 2*(i%2) {
			m.Assignments = append(m.Assignments, Assignment{Job: service, Task: k, Since: testNow, Active: true})
		}
		ms = append(ms, m)
	}
	v := viewOf(ms...)
	v.Teams[0].Limit = Resources{}
	var jobs []*Job
	for i := range waiting {
		j := gpuJob(fmt.Sprintf("job-%06d", i), 30, i%3 > 0)
		j.Spec.Image = fmt.Sprint("i", i%16)
		jobs = append(jobs, j)
	}
	return v, jobs
}

// BenchmarkLook measures a scheduling pass by fleet size: it places all waiting tasks that fit,
// and for the rest searches for tasks to preempt and machines to rent.
func BenchmarkLook(b *testing.B) {
	for _, size := range []int{48, 400, 1600, 16000} {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			v, jobs := benchFleet(size, size/8)
			before := map[*Machine]Machine{}
			b.ReportAllocs()
			for b.Loop() {
				v.noCapacityAt, v.noVictimsAt = nil, nil
				for _, j := range jobs {
					for _, m := range v.Place(j).Machines {
						if _, ok := before[m]; !ok {
							before[m] = *m
						}
						facts := *m
						facts.Used = facts.Used.Add(j.Need, 1)
						v.Index.Set(m, &facts)
						j.Waiting--
					}
				}
				var waits []*Job
				for _, j := range jobs {
					if j.Waiting > 0 {
						v.Preempt(j, j.Waiting, AnyMachine)
						waits = append(waits, j)
					}
				}
				v.Rent(waits, nil, &Market{})
				b.StopTimer()
				for m, f := range before {
					f.group = nil
					v.Index.Set(m, &f)
				}
				clear(before)
				for _, j := range jobs {
					j.Waiting = 30
				}
				b.StartTimer()
			}
		})
	}
}

// BenchmarkSet measures an index update by fleet size.
func BenchmarkSet(b *testing.B) {
	for _, size := range []int{48, 400, 1600, 16000} {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			v, _ := benchFleet(size, 0)
			ms := slices.Clone(v.Index.Machines(0))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m := ms[i%len(ms)]
				facts := *m
				facts.Used.GPUs = float64(i % 4)
				v.Index.Set(m, &facts)
			}
		})
	}
}
