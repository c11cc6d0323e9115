package decide

import (
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// machineOf returns a machine of a type with the resources of a number of cpuJob's tasks in use.
func machineOf(t *protocol.MachineType, name string, tasks int, images ...string) *Machine {
	return &Machine{Name: name, Type: t.Name, Zone: "a", HasType: true, Size: SizeOf(t), Used: Resources{CPUs: float64(tasks), MemoryGB: 2 * float64(tasks)},
		SecPerGB: 2, Images: images, LastReport: testNow, HasAddress: true}
}

// cpuJob returns a heavy job whose tasks need one CPU and no GPU.
func cpuJob(id, shape string, tasks, rank int) *Job {
	return &Job{ID: id, Spec: &protocol.JobSpec{ID: id, Class: "pages", Shape: shape, Tasks: tasks, CPUs: 1, MemoryGB: 2, Image: "i", ImageGB: 2, EstimateS: 60},
		Rank: rank, Need: Resources{CPUs: 1, MemoryGB: 2}, Tasks: tasks, Waiting: tasks, Heavy: true, Submitted: testNow, FirstSeen: testNow}
}

// viewWithAllTypes returns a view of a partition with all machine types in the catalogue.
func viewWithAllTypes(ms ...*Machine) *View {
	v := viewOf(ms...)
	v.Types = map[string]*protocol.MachineType{"g4": g4, "g2": g2, "c24": c24}
	v.Teams[0] = &Team{Name: "red", Guarantee: Resources{CPUs: 100, GPUs: 8}, Limit: Resources{CPUs: 1000, GPUs: 100}}
	return v
}

// A job that needs no GPU is placed on machines with GPUs last, whatever the fetch costs, and on
// those with the fewest GPUs first; for a job that needs GPUs only the cost counts. On simulated
// days tasks of one CPU occupied 19 of 48 machines that only gangs need.
func TestPlaceAvoidsIdlingGPUs(t *testing.T) {
	v := viewWithAllTypes(machineOf(g4, "m1", 0, "i"), machineOf(g2, "m2", 0, "i"), machineOf(c24, "m3", 22))
	for _, c := range []struct {
		tasks int
		want  string
	}{{2, "m3 m3 "}, {3, "m3 m3 m2 "}} {
		if got := machineNames(v.Place(cpuJob("job-1", protocol.Array, c.tasks, protocol.Low)).Machines); got != c.want {
			t.Errorf("%d tasks on %s, want %s", c.tasks, got, c.want)
		}
	}
	if got := machineNames(v.Place(cpuJob("job-1", protocol.Array, 27, protocol.Low)).Machines); got[len(got)-6:] != "m2 m1 " {
		t.Errorf("27 tasks on %s, the last two should be on m2 and m1", got)
	}
	g := gpuJob("job-2", 1, true)
	if got := machineNames(v.Place(g).Machines); got != "m1 " {
		t.Errorf("a task with a GPU on %s", got)
	}
}

// A service would leave GPUs idle for as long as it runs. Place therefore preempts tasks of lower
// priority on machines without GPUs first, and uses machines with GPUs only if that failed.
func TestServicesPreemptBeforeIdlingGPUs(t *testing.T) {
	full := machineOf(c24, "m1", 24, "i")
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	for k := range 24 {
		full.Assignments = append(full.Assignments, Assignment{Job: low, Task: k, Since: testNow.Add(-10 * time.Second), Active: true})
	}
	v := viewWithAllTypes(full, machineOf(g4, "m2", 0, "i"))
	s := cpuJob("job-1", protocol.Service, 3, protocol.Production)
	p := v.Place(s)
	if len(p.Machines) != 0 || !p.Preemption.HasEvictions() || p.Preemption.Evictions[0].Machine != full || len(p.Preemption.Evictions[0].Victims) != 3 {
		t.Fatalf("placed on %s, preemption %+v", machineNames(p.Machines), p.Preemption)
	}
	s.PreemptionWaitUntil = testNow.Add(-time.Second) // tasks were preempted, and another job took the capacity
	if p = v.Place(s); machineNames(p.Machines) != "m2 m2 m2 " || !p.IdlesGPUs {
		t.Fatalf("placed on %s, idles GPUs %v", machineNames(p.Machines), p.IdlesGPUs)
	}
	a := cpuJob("job-2", protocol.Array, 3, protocol.High)
	if p = v.Place(a); machineNames(p.Machines) != "m2 m2 m2 " || p.IdlesGPUs {
		t.Fatalf("an array, whose tasks end, is placed on %s", machineNames(p.Machines))
	}
}

// With any number of offers that the cloud refuses, each of them is requested while the others are
// in backoff, and a single offer is requested every 8 s.
func TestRefusalBackoffLetsAllOffersBeRequested(t *testing.T) {
	for _, c := range []struct {
		offers int
		period time.Duration
	}{{2, time.Second}, {20, time.Second}, {60, 500 * time.Millisecond}} {
		refusedUntil := make([]time.Duration, c.offers) // by offer, the cheapest first
		times := make([]int, c.offers)
		requested := map[int]bool{}
		for now := time.Duration(0); now < 5*time.Minute; now += c.period {
			for i := range refusedUntil {
				if now >= refusedUntil[i] {
					requested[i] = true
					times[i]++
					refusedUntil[i] = now + RefusalBackoff(times[i], c.offers, c.period)
					break
				}
			}
		}
		if len(requested) != c.offers {
			t.Errorf("of %d offers %d were requested", c.offers, len(requested))
		}
	}
	if d := RefusalBackoff(9, 2, time.Second); d != 8*time.Second {
		t.Errorf("the backoff among two offers is %v", d)
	}
}

// GPUs of types that no present or recent job could use do not count as idled.
func TestGPUsNotInDemandDoNotCount(t *testing.T) {
	v := viewWithAllTypes(machineOf(g2, "m1", 0, "i"), machineOf(c24, "m2", 0), machineOf(g4, "m3", 0, "i"))
	v.GPUTypesInDemand = map[string]bool{}
	MarkGPUTypesInDemand(v.GPUTypesInDemand, v.Types, g4Gang("job-g", 2).Spec) // four GPUs each
	if v.GPUTypesInDemand["g2"] || !v.GPUTypesInDemand["g4"] || v.GPUTypesInDemand["c24"] {
		t.Fatalf("types in demand: %v", v.GPUTypesInDemand)
	}
	if got := machineNames(v.Place(cpuJob("job-1", protocol.Service, 2, protocol.Production)).Machines); got != "m1 m1 " {
		t.Errorf("placed on %s", got)
	}
}

// A light job of a class with a short objective on waiting gets the cheapest slots if the next ones
// would miss the objective. If tasks are preempted on a machine with the job's image, the tasks that
// gain nothing from that are placed at once, and the others wait only while tasks are being stopped.
func TestPlaceMeetsWaitObjectives(t *testing.T) {
	objectives := []protocol.Objective{{Kind: "wait", Class: "pages", WithinS: 1}}
	v := viewWithAllTypes(machineOf(c24, "m1", 21, "i"), machineOf(c24, "m2", 0))
	v.Config.Objectives = objectives
	j := cpuJob("job-1", protocol.Service, 2, protocol.Production)
	j.Heavy = false
	if got := machineNames(v.Place(j).Machines); got != "m1 m1 " {
		t.Errorf("a light job on %s", got)
	}
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	full := withTasks(machineOf(c24, "m3", 24, "i"), low, 24)
	v = viewWithAllTypes(machineOf(c24, "m1", 22, "i"), machineOf(c24, "m2", 0), full)
	v.Config.Objectives = objectives
	j = cpuJob("job-2", protocol.Service, 3, protocol.Production)
	p := v.Place(j)
	if machineNames(p.Machines) != "m1 m1 " || !p.Preemption.HasEvictions() || p.Reason != PreemptionInProgress {
		t.Fatalf("on %s, preemption %v", machineNames(p.Machines), p.Preemption)
	}
	j.Waiting, j.PreemptionWaitUntil = 1, testNow.Add(8*time.Second)
	facts := *full
	facts.Assignments[0].Stopping = true
	v.Index.Set(full, &facts)
	facts = *v.Index.Machines(0)[0]
	facts.Used.CPUs = 24
	v.Index.Set(v.Index.Machines(0)[0], &facts)
	if p = v.Place(j); len(p.Machines) != 0 || p.Reason != PreemptionInProgress {
		t.Fatalf("while tasks are being stopped: on %s", machineNames(p.Machines))
	}
	facts = *full
	facts.Assignments[0].Stopping = false
	v.Index.Set(full, &facts)
	if p = v.Place(j); machineNames(p.Machines) != "m2 " {
		t.Fatalf("when no task is being stopped any more: on %q, %v", machineNames(p.Machines), p.Reason)
	}
}
