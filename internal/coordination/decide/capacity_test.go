package decide

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against jobs that wait beside room on machines on which another kind of resource is used
// up: a job that needs no GPU waited on while only GPUs were in use.
func TestJobIsPlacedBesideExhaustedResourcesThatItNeedsNot(t *testing.T) {
	all := SizeOf(g4)
	for name, used := range map[string]struct{ used, need Resources }{
		"no GPU left":    {Resources{16, all.GPUs, 116}, Resources{CPUs: 6, MemoryGB: 43}},
		"no CPU left":    {Resources{all.CPUs, 1, 60}, Resources{GPUs: 1, MemoryGB: 43}},
		"no memory left": {Resources{16, 1, all.MemoryGB}, Resources{CPUs: 4, GPUs: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			m := g4Machine("m1", "a", 0)
			m.Used = used.used
			v, j := viewOf(m), gpuJob("job-1", 1, true)
			j.Need = used.need
			if p := v.Place(j); len(p.Machines) != 1 {
				t.Fatalf("not placed: reason %v", p.Reason)
			}
			j.Need = all
			if p := v.Place(j); len(p.Machines) != 0 {
				t.Fatal("a task that fits nowhere is placed")
			}
		})
	}
}

// Guards against forecasts that count room which placement does not use: then nothing was rented for a
// job that found no place.
func TestJobWithoutPlaceGetsMachineRented(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var machines []*Machine
		for i := range rapid.IntRange(0, 4).Draw(t, "machines") {
			m := g4Machine(fmt.Sprintf("m%d", i), "a", 0)
			m.Used = Resources{CPUs: 4 * float64(rapid.IntRange(0, 6).Draw(t, "CPUs")), GPUs: float64(rapid.IntRange(0, 4).Draw(t, "GPUs")), MemoryGB: 24 * float64(rapid.IntRange(0, 8).Draw(t, "memory"))}
			machines = append(machines, m)
		}
		j := gpuJob("job-1", 1, true)
		j.Need = rapid.SampledFrom([]Resources{{CPUs: 4, GPUs: 1, MemoryGB: 29}, {CPUs: 6, MemoryGB: 43}, {GPUs: 1}, {CPUs: 21, GPUs: 4, MemoryGB: 150}}).Draw(t, "need")
		v := viewOf(machines...)
		placed := len(v.Place(j).Machines) > 0
		rented := len(v.Rent([]*Job{j}, nil, &Market{}).ToRent) > 0
		if placed == rented {
			t.Fatalf("placed: %v, a machine rented: %v", placed, rented)
		}
	})
}
