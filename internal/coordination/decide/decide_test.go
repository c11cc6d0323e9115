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

// Others for work that needs fewer GPUs, or none.
var (
	g2  = &protocol.MachineType{Name: "g2", CPUs: 24, GPUs: 2, MemoryGB: 192, CacheGB: 100, FetchGBPerS: 0.5, Price: 6, SpotPrice: 3, BootS: 30, Zones: []string{"a", "b"}}
	c24 = &protocol.MachineType{Name: "c24", CPUs: 24, MemoryGB: 192, CacheGB: 100, FetchGBPerS: 0.5, Price: 1, SpotPrice: 0.5, BootS: 30, Zones: []string{"a", "b", "c"}}
)

var testNow = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// g4Machine is a machine that takes tasks.
func g4Machine(name, zone string, used int, images ...string) *Machine {
	return &Machine{Name: name, Type: "g4", Zone: zone, HasType: true, Size: SizeOf(g4), Used: Resources{4 * float64(used), float64(used), 20 * float64(used)},
		SecPerGB: 2, Images: images, LastReport: testNow, HasAddress: true}
}

func viewOf(ms ...*Machine) *View {
	x := NewIndex(2, 2)
	for _, m := range ms {
		f := *m
		x.Set(m, &f)
	}
	return &View{Now: testNow, Types: map[string]*protocol.MachineType{"g4": g4}, Index: x, Config: Config{ReportS: 2},
		Teams: []*Team{{Name: "red", Guarantee: Resources{GPUs: 4}, Limit: Resources{GPUs: 1000}}, {Name: "guest"}}}
}

func gpuJob(id string, waiting int, heavy bool) *Job {
	return &Job{ID: id, Spec: &protocol.JobSpec{ID: id, Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: waiting, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "i", ImageGB: 4},
		Rank: protocol.Normal, Need: Resources{4, 1, 20}, Tasks: waiting, Waiting: waiting, Heavy: heavy, Submitted: testNow, FirstSeen: testNow}
}

func machineNames(ms []*Machine) string {
	out := ""
	for _, m := range ms {
		out += m.Name + " "
	}
	return out
}

// Heavy jobs take the cheapest slots, light ones the next, fullest machines first.
func TestRanks(t *testing.T) {
	v := viewOf(g4Machine("m1", "a", 3), g4Machine("m2", "a", 2, "i"), g4Machine("m3", "a", 3, "i"), g4Machine("m4", "a", 1), g4Machine("m5", "a", 4))
	for _, c := range []struct {
		r     int
		heavy bool
		want  string
	}{{2, true, "m3 m2 "}, {4, true, "m3 m2 m2 m1 "}, {2, false, "m2 m1 "}, {3, false, "m1 m4 m4 "}, {5, false, "m2 m1 m4 m4 m4 "}, {9, true, "m3 m2 m2 m1 m4 m4 m4 "}} {
		if got := machineNames(v.Place(gpuJob("job-1", c.r, c.heavy)).Machines); got != c.want {
			t.Errorf("r %d heavy %v: %s, want %s", c.r, c.heavy, got, c.want)
		}
	}
}

// An array that would be late if it lost a machine near its end goes to machines that
// are not taken, and a short one to spot machines. (On simulated days three of four
// late arrays had lost one spot machine.) And nobody's late fetch is worth making a
// job late that is well on its way.
func TestFragileJobsAreSpared(t *testing.T) {
	spot, ordinary := g4Machine("m1", "a", 0), g4Machine("m2", "a", 0)
	spot.Spot = true
	v := viewOf(spot, ordinary)
	v.Config.Objectives = []protocol.Objective{{Kind: "finished", Class: "c", WithinS: 120, Fraction: 0.9}}
	j := gpuJob("job-1", 1, true)
	j.Spec.Spot = true
	for _, c := range []struct {
		estimate float64
		fragile  bool
	}{{20, false}, {100, true}, {300, false}} {
		j.Spec.EstimateS = c.estimate
		if got := v.Place(j).Machines[0] == ordinary; got != c.fragile {
			t.Errorf("%v s: ordinary machines first: %v, want %v", c.estimate, got, c.fragile)
		}
	}
	j.Spec.EstimateS = 100
	for _, c := range []struct {
		ran   time.Duration
		harms bool
	}{{5 * time.Second, false}, {60 * time.Second, true}, {200 * time.Second, false}} {
		if got := v.Config.preemptionMissesObjective(j, testNow, testNow.Add(c.ran)); got != c.harms {
			t.Errorf("stopped after %v: harm %v, want %v", c.ran, got, c.harms)
		}
	}
}

// A machine whose tasks save is emptied before one whose tasks lose all they did.
func TestLeastIsLostForAGuarantee(t *testing.T) {
	on := func(saves bool, ran ...time.Duration) *Machine {
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
	if a, b := on(true, time.Minute, time.Minute, time.Minute, time.Minute).emptyingLoss(testNow), on(false, time.Minute).emptyingLoss(testNow); a >= b {
		t.Errorf("four tasks that save lose %v s, one that does not %v s", a, b)
	}
	if a, b := on(true, time.Second).emptyingLoss(testNow), on(true, time.Minute).emptyingLoss(testNow); a >= b {
		t.Errorf("a task just started loses %v s, one that saves %v s", a, b)
	}
}

// drawFleet makes a share in any state.
func drawFleet(t *rapid.T) (*View, []*Machine) {
	var ms []*Machine
	kept := gpuJob("job-kept", 2, true)
	kept.Rank = protocol.High
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
			m.EarmarkedFor, m.EarmarkedUntil = kept, testNow.Add(time.Second)
		}
		ms = append(ms, m)
	}
	v := viewOf(ms...)
	v.Types["g2"], v.Types["c24"] = g2, c24
	return v, ms
}

// drawJob draws any job.
func drawJob(t *rapid.T, id string) *Job {
	j := gpuJob(id, rapid.IntRange(1, 20).Draw(t, "tasks"), rapid.Bool().Draw(t, "heavy"))
	j.Rank = rapid.IntRange(0, 3).Draw(t, "rank")
	s := j.Spec
	s.Image, s.ImageGB = fmt.Sprint("i", rapid.IntRange(0, 5).Draw(t, "image")), rapid.SampledFrom([]float64{0, 1, 4}).Draw(t, "gb")
	s.Spot, s.EstimateS = rapid.Bool().Draw(t, "spot"), 60
	if rapid.IntRange(0, 2).Draw(t, "gpus") == 0 {
		s.GPUs, j.Need.GPUs = 0, 0
	}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		s.Shape = protocol.Gang
		s.OneZone = rapid.Bool().Draw(t, "together")
	case 1:
		s.Shape, s.Spread = protocol.Service, true
		j.Zones = map[string]int{"a": rapid.IntRange(0, 3).Draw(t, "in a")}
	case 2:
		s.OneZone = true
		if rapid.Bool().Draw(t, "begun") {
			j.Zones = map[string]int{"b": 1}
		}
	case 3:
		s.Zone = "a"
	}
	return j
}

// After any sequence of changes the index has what a new one would have.
func TestIndexAgreesWithANewOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, ms := drawFleet(t)
		for range rapid.IntRange(0, 30).Draw(t, "changes") {
			if len(ms) == 0 {
				return
			}
			m := rapid.SampledFrom(ms).Draw(t, "machine")
			f := *m
			switch rapid.IntRange(0, 5).Draw(t, "change") {
			case 0:
				f.Used = Resources{4, 1, 20}
			case 1:
				f.Used = SizeOf(g4)
			case 2:
				f.Images = []string{"i1", "i1", "i5"}
			case 3:
				f.Block ^= Cordoned
			case 4:
				f.Partition = 1 - f.Partition
			case 5:
				f.SecPerGB = 7
				f.Assignments = []Assignment{{Job: gpuJob("job-9", 1, true), Stopping: true, Active: true}}
			}
			v.Index.Set(m, &f)
		}
		if err := v.Index.Check(); err != nil {
			t.Fatal(err)
		}
	})
}

// Every placing keeps to limits, constraints and gang rules, and comes in the ranks'
// order of costs.
func TestPlacingsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, _ := drawFleet(t)
		most := float64(rapid.IntRange(1, 60).Draw(t, "limit"))
		v.Teams[0].Limit = Resources{GPUs: most, CPUs: 4 * most}
		j := drawJob(t, "job-1")
		p := v.Place(j)
		took := map[*Machine]int{}
		zones := map[string]int{}
		for z, n := range j.Zones {
			zones[z] += n
		}
		for _, m := range p.Machines {
			took[m]++
			zones[m.Zone]++
			if !m.Usable(v.Now, 2) || !Allowed(j.Spec, m.offer()) || m.EarmarkExcludes(j, v.Now) {
				t.Fatalf("on %+v", m)
			}
		}
		for m, k := range took {
			if m.Free().TaskCount(j.Need) < k {
				t.Fatalf("%d on %s, which has room for %d", k, m.Name, m.Free().TaskCount(j.Need))
			}
		}
		for _, n := range zones {
			if j.Spec.OneZone && len(zones) > 1 || j.Spec.Spread && n > (j.Tasks+1)/2 && len(p.Machines) > 0 && n > j.Zones["a"] {
				t.Fatalf("zones %v", zones)
			}
		}
		if j.Spec.Shape == protocol.Gang && len(p.Machines) != 0 && len(p.Machines) != j.Tasks {
			t.Fatalf("%d of a gang of %d", len(p.Machines), j.Tasks)
		}
		if float64(len(p.Machines)) > most {
			t.Fatal("over the team's limit")
		}
	})
}

// Jobs of equal needs after one that found nothing are not told so when machines are
// only kept for a gang: the gang itself may take them.
func TestKeptMachinesAreTheGangs(t *testing.T) {
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

// What a look found out for one job holds for the next of equal needs, until something
// becomes free.
func TestEqualNeedsAreLookedAtOnce(t *testing.T) {
	m := g4Machine("m1", "a", 4)
	v := viewOf(m)
	if p := v.Place(gpuJob("job-1", 1, true)); len(p.Machines) != 0 {
		t.Fatal("placed on a full machine")
	}
	f := *g4Machine("m1", "a", 3)
	v.Index.Set(m, &f)
	if p := v.Place(gpuJob("job-2", 1, true)); len(p.Machines) != 1 {
		t.Fatal("not placed though a place became free")
	}
}

// benchFleet is a share in which every second machine has two places free, and many
// arrays wait, each with one of 16 images; machines hold four images each.
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

// What one look costs by size of the fleet: all that wait are placed, the rest finds
// nothing, whom to stop and what to rent is decided.
func BenchmarkLook(b *testing.B) {
	for _, size := range []int{48, 400, 1600, 16000} {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			v, jobs := benchFleet(size, size/8)
			was := map[*Machine]Machine{}
			b.ReportAllocs()
			for b.Loop() {
				v.noCapacityAt, v.noVictimsAt = nil, nil
				for _, j := range jobs {
					for _, m := range v.Place(j).Machines {
						if _, ok := was[m]; !ok {
							was[m] = *m
						}
						f := *m
						f.Used = f.Used.Add(j.Need, 1)
						v.Index.Set(m, &f)
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
				for m, f := range was {
					f.group = nil
					v.Index.Set(m, &f)
				}
				clear(was)
				for _, j := range jobs {
					j.Waiting = 30
				}
				b.StartTimer()
			}
		})
	}
}

// What an event costs, by size of the fleet.
func BenchmarkSet(b *testing.B) {
	for _, size := range []int{48, 400, 1600, 16000} {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			v, _ := benchFleet(size, 0)
			ms := slices.Clone(v.Index.Machines(0))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m := ms[i%len(ms)]
				f := *m
				f.Used.GPUs = float64(i % 4)
				v.Index.Set(m, &f)
			}
		})
	}
}
