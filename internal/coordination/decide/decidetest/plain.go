// Package decidetest is a reference implementation of placement without preemption: a scan of
// all machines and one sort. Tests compare package decide, which uses an index, with it.
package decidetest

import (
	"cmp"
	"slices"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/protocol"
)

// slot is capacity for one task on a machine, with what slots are ordered by.
type slot struct {
	m                      *decide.Machine
	idledGPUs, cost, order float64
}

// Slots returns the machines on which a job's startable tasks would be placed without preemption,
// one for each task. It returns nil if there are not enough for a gang. avoidSpot reports whether
// the job should avoid spot machines (Config.RestartMissesObjective).
func Slots(v *decide.View, j *decide.Job, avoidSpot bool) []*decide.Machine {
	r := min(v.Startable(j), decide.MaxPlacements)
	if r == 0 {
		return nil
	}
	zoneCapacity := func(zone string) int {
		switch {
		case j.Spec.OneZone && len(j.Zones) > 0 && j.Zones[zone] == 0:
			return 0
		case j.Spec.Spread:
			return (j.Tasks+1)/2 - j.Zones[zone]
		}
		return j.Tasks
	}
	var slots []slot
	for _, m := range v.Index.Machines(v.Partition) {
		fit := freeSlots(v, j, m)
		if fit == 0 || m.EarmarkExcludes(j, v.Now) || zoneCapacity(m.Zone) <= 0 ||
			!decide.Allowed(j.Spec, decide.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot}) {
			continue
		}
		s := slot{m: m, cost: m.FetchSeconds(j.Spec)}
		if j.Spec.Spot && m.Spot == avoidSpot {
			s.order += 10
		}
		fullness := 0.0
		if m.HasType && m.Size.GPUs > 0 {
			fullness = m.Used.GPUs / m.Size.GPUs
		}
		if m.HasType && m.Size.CPUs > 0 {
			fullness = max(fullness, m.Used.CPUs/m.Size.CPUs)
		}
		s.order -= fullness
		if j.Need.GPUs == 0 && (v.GPUTypesInDemand == nil || v.GPUTypesInDemand[m.Type]) {
			s.idledGPUs = v.Types[m.Type].GPUs // also of a machine of which only a part is lent
		}
		for range fit {
			slots = append(slots, s)
		}
	}
	slices.SortStableFunc(slots, func(a, b slot) int { // stable: machines are sorted by name
		return cmp.Or(cmp.Compare(a.idledGPUs, b.idledGPUs), cmp.Compare(a.cost, b.cost), cmp.Compare(a.order, b.order))
	})
	slots = leastIdledGPUs(slots, r, j.Spec.OneZone || j.Spec.Spread)
	if j.Spec.OneZone {
		slots = bestZone(v, slots, r)
	}
	// limit returns the first maxSlots slots that their zones have capacity for.
	limit := func(in []slot, maxSlots int) (out []slot) {
		used := map[string]int{}
		for _, s := range in {
			if len(out) < maxSlots && (!j.Spec.Spread || used[s.m.Zone] < zoneCapacity(s.m.Zone)) {
				used[s.m.Zone]++
				out = append(out, s)
			}
		}
		return out
	}
	if !j.Heavy {
		slots = limit(slots, 2*r)
		if len(slots) >= 2*r {
			slots = slots[r:]
		} else if len(slots) > r {
			slots = slots[len(slots)-r:]
		}
	}
	slots = limit(slots, r)
	if j.Spec.Shape == protocol.Gang && len(slots) < j.Tasks {
		return nil
	}
	var out []*decide.Machine
	for _, s := range slots {
		out = append(out, s.m)
	}
	return out
}

// freeSlots returns how many tasks of a job a machine can take now.
func freeSlots(v *decide.View, j *decide.Job, m *decide.Machine) int {
	if !m.HasType || m.OnlyFor != "" && m.OnlyFor != j.ID || slices.Contains(m.ExcludedJobs, j.ID) {
		return 0
	}
	onTrial := m.OnTrial && m.Block == decide.Faulty && !j.FailsEverywhere
	unblocked := *m
	if onTrial {
		unblocked.Block = 0
	}
	if !unblocked.Usable(v.Now, v.Config.ReportS) {
		return 0
	}
	fit := m.Size.Add(m.Used, -1).TaskCount(j.Need)
	if onTrial && !(j.Spec.Shape == protocol.Gang && j.Tasks > 1) {
		fit = min(fit, 1)
	}
	return fit
}

// leastIdledGPUs drops the slots that would idle GPUs although r slots with fewer idled GPUs exist,
// by zone for a zone-constrained job.
func leastIdledGPUs(slots []slot, r int, byZone bool) (out []slot) {
	count := map[string]map[float64]int{} // by zone and number of idled GPUs
	for _, s := range slots {
		zone := ""
		if byZone {
			zone = s.m.Zone
		}
		if count[zone] == nil {
			count[zone] = map[float64]int{}
		}
		lower, lowest := 0, true
		for level, n := range count[zone] {
			if level < s.idledGPUs {
				lower, lowest = lower+n, false
			}
		}
		if lowest || lower+count[zone][s.idledGPUs] < r {
			count[zone][s.idledGPUs]++
			out = append(out, s)
		}
	}
	return out
}

// bestZone returns the slots of one zone: the one with r slots of the least total cost, or the one
// with the most slots; among equal zones the one with the first machine by name.
func bestZone(v *decide.View, slots []slot, r int) []slot {
	first := map[string]string{} // the first machine by name with a slot
	byZone := map[string][]slot{}
	for _, s := range slots {
		z := s.m.Zone
		byZone[z] = append(byZone[z], s)
		if first[z] == "" || s.m.Name < first[z] {
			first[z] = s.m.Name
		}
	}
	score := func(zoneSlots []slot) float64 {
		total := 0.0
		for _, slot := range zoneSlots[:min(r, len(zoneSlots))] {
			total += slot.cost
		}
		return total - 1e6*float64(min(r, len(zoneSlots)))
	}
	best := ""
	for z := range byZone {
		if best == "" || cmp.Or(cmp.Compare(score(byZone[z]), score(byZone[best])), cmp.Compare(first[z], first[best])) < 0 {
			best = z
		}
	}
	return byZone[best]
}
