package decide_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/decide/decidetest"
	"dapplestage.example/dapplestage/internal/protocol"
)

// Place chooses the same machines, in the same order, as the reference implementation, which scans
// and sorts all machines, for several jobs in a row with the index updated between them.
func TestPlaceMatchesReferenceScan(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	typ := &protocol.MachineType{Name: "g4", CPUs: 24, GPUs: 4, MemoryGB: 192, FetchGBPerS: 0.5}
	rapid.Check(t, func(t *rapid.T) {
		index := decide.NewIndex(1, 1)
		earmarkedGang := &decide.Job{ID: "job-kept", Rank: protocol.High, Waiting: 1}
		for i := range rapid.IntRange(0, 60).Draw(t, "machines") {
			used := float64(rapid.IntRange(0, 4).Draw(t, "used"))
			// On some machines only some kinds of resources are left.
			usedCPUs := rapid.SampledFrom([]float64{4 * used, 4 * used, 4 * used, 0, 24}).Draw(t, "used CPUs")
			usedGB := rapid.SampledFrom([]float64{20 * used, 20 * used, 20 * used, 0, 192}).Draw(t, "used memory")
			facts := decide.Machine{Name: fmt.Sprintf("m%02d", i), Type: "g4", Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spot"),
				HasType: true, Size: decide.SizeOf(typ), Used: decide.Resources{CPUs: usedCPUs, GPUs: used, MemoryGB: usedGB}, LastReport: now,
				SecPerGB: rapid.SampledFrom([]float64{2, 2, 2, 3, 4}).Draw(t, "cost")}
			// Some images are on most machines, some on hardly any, to test both ways of finding them.
			for k, rarity := range []int{1, 2, 12, 20} {
				if rapid.IntRange(0, rarity).Draw(t, "image") == 0 {
					facts.Images = append(facts.Images, fmt.Sprint("i", k))
				}
			}
			switch rapid.IntRange(0, 13).Draw(t, "state") {
			case 4:
				facts.Block, facts.OnTrial, facts.ExcludedJobs = decide.Faulty, rapid.Bool().Draw(t, "on trial"), []string{"job-1"}
			case 0:
				facts.Block = decide.Cordoned
			case 1:
				facts.LastReport = now.Add(-time.Minute)
			case 6:
				facts.ExcludedJobs = []string{"job-1", "job-3"}
			case 5:
				facts.Lent, facts.OnlyFor = true, rapid.SampledFrom([]string{"", "job-1"}).Draw(t, "only for")
			case 2:
				facts.AvoidUntil = now.Add(time.Second)
			case 3:
				facts.EarmarkedFor, facts.EarmarkedUntil = earmarkedGang, now.Add(time.Second)
			}
			index.Set(&decide.Machine{}, &facts)
		}
		v := &decide.View{Now: now, Index: index, Types: map[string]*protocol.MachineType{"g4": typ}, Config: decide.Config{ReportS: 2}, Teams: []*decide.Team{{Name: "red", Limit: decide.Resources{GPUs: 150}}}}
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			n := rapid.IntRange(1, 12).Draw(t, "tasks")
			need := rapid.SampledFrom([]decide.Resources{{CPUs: 4, GPUs: 1, MemoryGB: 20}, {CPUs: 4, GPUs: 1, MemoryGB: 20}, {CPUs: 5, MemoryGB: 20}, {GPUs: 1, MemoryGB: 20}, {CPUs: 4, GPUs: 1}}).Draw(t, "need")
			spec := &protocol.JobSpec{ID: fmt.Sprint("job-", i), Shape: protocol.Array, Priority: "standard", Tasks: n, CPUs: need.CPUs, GPUs: need.GPUs, MemoryGB: need.MemoryGB,
				Image: fmt.Sprint("i", rapid.IntRange(0, 4).Draw(t, "image")), ImageGB: rapid.SampledFrom([]float64{0, 1, 4}).Draw(t, "gb"), Spot: rapid.Bool().Draw(t, "spot")}
			j := &decide.Job{ID: spec.ID, Spec: spec, Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Need: need, Tasks: n, Waiting: n,
				Heavy: rapid.Bool().Draw(t, "heavy"), Submitted: now, FirstSeen: now}
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				spec.Shape, spec.OneZone = protocol.Gang, rapid.Bool().Draw(t, "together")
			case 1:
				spec.Spread = true
				j.Zones = map[string]int{"a": rapid.IntRange(0, 2).Draw(t, "in a")}
			case 2:
				spec.OneZone = true
			case 3:
				spec.Zone = "b"
			}
			want := decidetest.Slots(v, j, false)
			got := v.Place(j).Machines
			if !slices.Equal(got, want) {
				t.Fatalf("job %d: placed on %v, reference implementation %v", i, machineNames(got), machineNames(want))
			}
			v.Teams[0].Used = v.Teams[0].Used.Add(j.Need, float64(len(got)))
			for _, m := range got {
				facts := *m
				facts.Used = facts.Used.Add(j.Need, 1)
				index.Set(m, &facts)
			}
		}
	})
}

// machineNames returns the names of machines.
func machineNames(ms []*decide.Machine) (out []string) {
	for _, m := range ms {
		out = append(out, m.Name)
	}
	return out
}
