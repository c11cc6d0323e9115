package decide

import (
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// machineOf is a machine of a type with so many tasks of one CPU.
func machineOf(t *protocol.MachineType, name string, tasks int, images ...string) *Machine {
	return &Machine{Name: name, Type: t.Name, Zone: "a", HasType: true, Size: SizeOf(t), Used: Resources{CPUs: float64(tasks), MemoryGB: 2 * float64(tasks)},
		SecPerGB: 2, Images: images, LastReport: testNow, HasAddress: true}
}

// cpuJob is a job of tasks of one CPU that need no GPU.
func cpuJob(id, shape string, tasks, rank int) *Job {
	return &Job{ID: id, Spec: &protocol.JobSpec{ID: id, Class: "pages", Shape: shape, Tasks: tasks, CPUs: 1, MemoryGB: 2, Image: "i", ImageGB: 2, EstimateS: 60},
		Rank: rank, Need: Resources{CPUs: 1, MemoryGB: 2}, Tasks: tasks, Waiting: tasks, Heavy: true, Submitted: testNow, FirstSeen: testNow}
}

func viewWithAllTypes(ms ...*Machine) *View {
	v := viewOf(ms...)
	v.Types = map[string]*protocol.MachineType{"g4": g4, "g2": g2, "c24": c24}
	v.Teams[0] = &Team{Name: "red", Guarantee: Resources{CPUs: 100, GPUs: 8}, Limit: Resources{CPUs: 1000, GPUs: 100}}
	return v
}

// Work that needs no GPU takes machines with GPUs last, whatever the fetch costs, the
// fewest GPUs first; work that needs GPUs is ordered by cost alone. (On simulated days
// tasks of one CPU sat on 19 of 48 machines that gangs alone need.)
func TestGPUsAreLeftToThoseWhoNeedThem(t *testing.T) {
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
		t.Errorf("27 tasks end on %s", got)
	}
	g := gpuJob("job-2", 1, true)
	if got := machineNames(v.Place(g).Machines); got != "m1 " {
		t.Errorf("a task with a GPU on %s", got)
	}
}

// A service would keep GPUs idle for as long as it is there: lower work is stopped for
// it elsewhere first, and only if there is none it goes there.
func TestServicesDoNotIdleGPUs(t *testing.T) {
	full := machineOf(c24, "m1", 24, "i")
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	for k := range 24 {
		full.Assignments = append(full.Assignments, Assignment{Job: low, Task: k, Since: testNow.Add(-10 * time.Second), Active: true})
	}
	v := viewWithAllTypes(full, machineOf(g4, "m2", 0, "i"))
	s := cpuJob("job-1", protocol.Service, 3, protocol.Production)
	p := v.Place(s)
	if len(p.Machines) != 0 || !p.Preemption.HasEvictions() || p.Preemption.Evictions[0].Machine != full || len(p.Preemption.Evictions[0].Victims) != 3 {
		t.Fatalf("placed on %s, room %+v", machineNames(p.Machines), p.Preemption)
	}
	s.PreemptionWaitUntil = testNow.Add(-time.Second) // it was made, and another job took it
	if p = v.Place(s); machineNames(p.Machines) != "m2 m2 m2 " || !p.IdlesGPUs {
		t.Fatalf("placed on %s, idling %v", machineNames(p.Machines), p.IdlesGPUs)
	}
	a := cpuJob("job-2", protocol.Array, 3, protocol.High)
	if p = v.Place(a); machineNames(p.Machines) != "m2 m2 m2 " || p.IdlesGPUs {
		t.Fatalf("an array, which ends, is placed on %s", machineNames(p.Machines))
	}
}

// However many kinds there are, each of those that the cloud refuses is asked for while
// the others are paused, and a kind alone is asked for every 8 s.
func TestRefusedOffersTakeTurns(t *testing.T) {
	for _, c := range []struct {
		offers int
		period time.Duration
	}{{2, time.Second}, {20, time.Second}, {60, 500 * time.Millisecond}} {
		till := make([]time.Duration, c.offers) // offers in the order of their price
		times := make([]int, c.offers)
		asked := map[int]bool{}
		for now := time.Duration(0); now < 5*time.Minute; now += c.period {
			for i := range till {
				if now >= till[i] {
					asked[i] = true
					times[i]++
					till[i] = now + RefusalBackoff(times[i], c.offers, c.period)
					break
				}
			}
		}
		if len(asked) != c.offers {
			t.Errorf("of %d offers %d were asked for", c.offers, len(asked))
		}
	}
	if d := RefusalBackoff(9, 2, time.Second); d != 8*time.Second {
		t.Errorf("one kind alone waits %v", d)
	}
}

// GPUs that no job which is there or came lately could use are kept from nobody.
func TestUnwantedGPUsAreOrdinary(t *testing.T) {
	v := viewWithAllTypes(machineOf(g2, "m1", 0, "i"), machineOf(c24, "m2", 0), machineOf(g4, "m3", 0, "i"))
	v.GPUTypesInDemand = map[string]bool{}
	MarkGPUTypesInDemand(v.GPUTypesInDemand, v.Types, g4Gang("job-g", 2).Spec) // four GPUs each
	if v.GPUTypesInDemand["g2"] || !v.GPUTypesInDemand["g4"] || v.GPUTypesInDemand["c24"] {
		t.Fatalf("wanted %v", v.GPUTypesInDemand)
	}
	if got := machineNames(v.Place(cpuJob("job-1", protocol.Service, 2, protocol.Production)).Machines); got != "m1 m1 " {
		t.Errorf("placed on %s", got)
	}
}

// A light job of a class with a short aim takes the cheapest slots after all if the next
// ones would miss it; and of a job for which room is made where its image is, what need not
// wait for that starts at once, and the rest no longer than somebody is leaving.
func TestAimsOnStarting(t *testing.T) {
	aims := []protocol.Objective{{Kind: "wait", Class: "pages", WithinS: 1}}
	v := viewWithAllTypes(machineOf(c24, "m1", 21, "i"), machineOf(c24, "m2", 0))
	v.Config.Objectives = aims
	j := cpuJob("job-1", protocol.Service, 2, protocol.Production)
	j.Heavy = false
	if got := machineNames(v.Place(j).Machines); got != "m1 m1 " {
		t.Errorf("a light job on %s", got)
	}
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	full := withTasks(machineOf(c24, "m3", 24, "i"), low, 24)
	v = viewWithAllTypes(machineOf(c24, "m1", 22, "i"), machineOf(c24, "m2", 0), full)
	v.Config.Objectives = aims
	j = cpuJob("job-2", protocol.Service, 3, protocol.Production)
	p := v.Place(j)
	if machineNames(p.Machines) != "m1 m1 " || !p.Preemption.HasEvictions() || p.Reason != PreemptionInProgress {
		t.Fatalf("on %s, room %v", machineNames(p.Machines), p.Preemption)
	}
	j.Waiting, j.PreemptionWaitUntil = 1, testNow.Add(8*time.Second)
	f := *full
	f.Assignments[0].Stopping = true
	v.Index.Set(full, &f)
	f = *v.Index.Machines(0)[0]
	f.Used.CPUs = 24
	v.Index.Set(v.Index.Machines(0)[0], &f)
	if p = v.Place(j); len(p.Machines) != 0 || p.Reason != PreemptionInProgress {
		t.Fatalf("while somebody is leaving: on %s", machineNames(p.Machines))
	}
	f = *full
	f.Assignments[0].Stopping = false
	v.Index.Set(full, &f)
	if p = v.Place(j); machineNames(p.Machines) != "m2 " {
		t.Fatalf("when nobody is leaving any more: on %q, %v", machineNames(p.Machines), p.Reason)
	}
}
