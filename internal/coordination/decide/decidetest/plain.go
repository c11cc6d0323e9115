// Package decidetest has the ordinary path of the decisions written a second time, as
// plainly as it can be: a walk over all machines and one sort. Tests hold the indexed
// one to it.
package decidetest

import (
	"cmp"
	"slices"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/protocol"
)

type slot struct {
	m                  *decide.Machine
	idles, cost, order float64
}

// Slots are the machines that a job's next r tasks would be placed on, one for each,
// before anybody is stopped for it; nil if there are not enough for a gang.
func Slots(v *decide.View, j *decide.Job, fragile bool) []*decide.Machine {
	r := min(v.Startable(j), decide.MaxPlacements)
	if r == 0 {
		return nil
	}
	zoneRoom := func(zone string) int {
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
		if !m.HasCapacity() || !m.Usable(v.Now, v.Config.ReportS) || m.EarmarkExcludes(j, v.Now) || zoneRoom(m.Zone) <= 0 ||
			!decide.Allowed(j.Spec, decide.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot}) {
			continue
		}
		s := slot{m: m, cost: m.FetchSeconds(j.Spec)}
		if j.Spec.Spot && m.Spot == fragile {
			s.order += 10
		}
		full := 0.0
		if m.HasType && m.Size.GPUs > 0 {
			full = m.Used.GPUs / m.Size.GPUs
		}
		if m.HasType && m.Size.CPUs > 0 {
			full = max(full, m.Used.CPUs/m.Size.CPUs)
		}
		s.order -= full
		if j.Need.GPUs == 0 && (v.GPUTypesInDemand == nil || v.GPUTypesInDemand[m.Type]) {
			s.idles = m.Size.GPUs
		}
		for range m.Free().TaskCount(j.Need) {
			slots = append(slots, s)
		}
	}
	slices.SortStableFunc(slots, func(a, b slot) int { // machines come by name
		return cmp.Or(cmp.Compare(a.idles, b.idles), cmp.Compare(a.cost, b.cost), cmp.Compare(a.order, b.order))
	})
	slots = leastIdle(slots, r, j.Spec.OneZone || j.Spec.Spread)
	if j.Spec.OneZone {
		slots = bestZone(v, slots, r)
	}
	// limit keeps the first most slots that their zones have room for.
	limit := func(in []slot, most int) (out []slot) {
		used := map[string]int{}
		for _, s := range in {
			if len(out) < most && (!j.Spec.Spread || used[s.m.Zone] < zoneRoom(s.m.Zone)) {
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

// leastIdle drops slots on which GPUs would idle where others suffice, by zone for a job
// that is bound to zones.
func leastIdle(slots []slot, r int, byZone bool) (out []slot) {
	have := map[string]map[float64]int{} // by zone and level
	for _, s := range slots {
		zone := ""
		if byZone {
			zone = s.m.Zone
		}
		if have[zone] == nil {
			have[zone] = map[float64]int{}
		}
		before, first := 0, true
		for level, n := range have[zone] {
			if level < s.idles {
				before, first = before+n, false
			}
		}
		if first || before+have[zone][s.idles] < r {
			have[zone][s.idles]++
			out = append(out, s)
		}
	}
	return out
}

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
	score := func(s []slot) float64 {
		c := 0.0
		for _, x := range s[:min(r, len(s))] {
			c += x.cost
		}
		return c - 1e6*float64(min(r, len(s)))
	}
	best := ""
	for z := range byZone {
		if best == "" || cmp.Or(cmp.Compare(score(byZone[z]), score(byZone[best])), cmp.Compare(first[z], first[best])) < 0 {
			best = z
		}
	}
	return byZone[best]
}
