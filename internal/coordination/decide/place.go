package decide

import (
	"cmp"
	"maps"
	"slices"

	"dapplestage.example/dapplestage/internal/protocol"
)

// MaxPlacements is the most tasks that one decision places: they are stored in one change.
const MaxPlacements = 512

// Placement is what Place decides.
type Placement struct {
	Machines   []*Machine  // a machine for each task that is placed
	LastFetchS float64     // what the last of them has to fetch
	Preemption *Preemption // room to be made where the job's image is
	IdlesGPUs  bool        // some of them idle GPUs there, for as long as the job is there
	Reason     Reason      // why not all that wait are placed; None if they are

	Reserve              *Reservation // for a gang that does not fit yet
	BlockedByReservation bool         // it would fit but for what is reserved for gangs
}

// candidate is a machine that a job fits on so many times.
type candidate struct {
	m         *Machine
	fit       int
	idledGPUs float64 // GPUs that would be kept from others there
	cost      float64
	order     float64
}

// Place gives a job's waiting tasks machines of the share, by the threshold rule: a
// heavy job the r cheapest free slots, a light one ranks r+1 to 2r.
func (v *View) Place(j *Job) Placement {
	r := min(v.Startable(j), MaxPlacements)
	if v.neverRuns(j) {
		return Placement{Reason: GangNeverFits}
	}
	if r == 0 {
		if j.InBackoff > 0 && j.InBackoff == j.Waiting {
			return Placement{Reason: RetryBackoff}
		}
		return Placement{Reason: TeamLimit}
	}
	cands, zones := v.candidates(j, r)
	var slots []Slot
	for i, c := range cands {
		if len(slots) >= 2*r && !j.zoneConstrained() {
			break // the rule looks at no more
		}
		for range c.fit {
			slots = append(slots, Slot{Machine: i, Zone: zones[c.m.Zone], Cost: c.cost, Order: c.order})
		}
	}
	if j.Spec.OneZone {
		slots = v.bestZone(j, slots, cands, r)
	}
	var room map[int]int
	if j.Spec.Spread {
		room = map[int]int{}
		for z, i := range zones {
			room[i] = j.zoneCapacity(z)
		}
	}
	picked := Pick(slots, r, j.Heavy, room)
	patience := v.Config.maxFetchSeconds(j.Spec)
	late := countAbove(picked, patience)
	if late > 0 && !j.Heavy {
		// Its aim would be missed for leaving the cheapest slots to heavier jobs.
		if cheapest := Pick(slots, r, true, room); countAbove(cheapest, patience) < late {
			picked, late = cheapest, countAbove(cheapest, patience)
		}
	}
	switch {
	case j.Spec.Shape == protocol.Gang && len(picked) < j.Tasks:
		return Placement{Reason: GangIncomplete, Reserve: v.Reserve(j), BlockedByReservation: v.blockedByReservations(j, len(picked))}
	case len(picked) == 0:
		return Placement{Reason: NoFreeMachine, BlockedByReservation: v.blockedByReservations(j, 0)}
	}
	p := Placement{LastFetchS: picked[len(picked)-1].Cost}
	service := j.Spec.Shape == protocol.Service // what ends gives GPUs back
	idling := 0
	for _, s := range picked {
		if service && cands[s.Machine].idledGPUs > 0 {
			idling++
		}
	}
	p.IdlesGPUs = idling > 0
	made := false
	if late+idling > 0 && !v.NoPreemption && !v.Now.Before(j.PreemptAfter) {
		// The aim would be missed for the fetch alone, or GPUs lie idle for as long as
		// the job is there. Room that was made without regard to the image is taken, or
		// another job would take it.
		if made = v.Now.Before(j.PreemptionWaitUntil) && v.vacating(j); !made && j.PreemptionWaitUntil.IsZero() {
			if late > 0 {
				p.Preemption = v.Preempt(j, late, MachinesWithImage)
			}
			if idling > 0 && !p.Preemption.HasEvictions() {
				p.Preemption = v.Preempt(j, idling, MachinesWithoutIdleGPUs)
			}
			made = p.Preemption.HasEvictions()
		}
	}
	if made {
		p.Reason = PreemptionInProgress
		if j.Spec.Shape == protocol.Gang {
			return p
		}
	}
	for _, s := range picked {
		// What need not wait for the room goes at once.
		if c := cands[s.Machine]; !made || c.cost <= patience && !(service && c.idledGPUs > 0) {
			p.Machines = append(p.Machines, c.m)
		}
	}
	if made {
		return p
	}
	if len(p.Machines) < j.Waiting {
		p.Reason = NoFreeMachine
	}
	return p
}

// candidates are the machines that a job's next r tasks may take, in the order of
// their slots, and the zones' numbers. For a job that is bound to zones there are
// enough of each zone; else the first ones with 2r slots together.
func (v *View) candidates(j *Job, r int) ([]candidate, map[string]int) {
	s := &v.Index.partitions[v.Partition]
	zones := map[string]int{}
	v.reservedSlots = 0
	if s.withCapacity == 0 {
		return nil, zones
	}
	key := placementKeyOf(j)
	if at, known := v.noCapacityAt[key]; known && at == v.Index.version && !j.zoneConstrained() {
		return nil, zones
	}
	var open []*machineGroup
	for _, g := range s.groups {
		if g.tree.Len() > 0 && Allowed(j.Spec, g.offer) && j.zoneCapacity(g.offer.Zone) > 0 {
			open = append(open, g)
			if _, ok := zones[g.offer.Zone]; !ok {
				zones[g.offer.Zone] = len(zones)
			}
		}
	}
	var out []candidate
	if !j.zoneConstrained() {
		v.skippedEarmarked = false
		if out = v.leastIdledGPUs(j, open, r); len(out) == 0 && !v.skippedEarmarked {
			if v.noCapacityAt == nil {
				v.noCapacityAt = map[placementKey]uint64{}
			}
			v.noCapacityAt[key] = v.Index.version
		}
		return out, zones
	}
	for z := range zones {
		out = append(out, v.leastIdledGPUs(j, slices.DeleteFunc(slices.Clone(open), func(g *machineGroup) bool { return g.offer.Zone != z }), r)...)
	}
	slices.SortFunc(out, byCost)
	return out, zones
}

// leastIdledGPUs are the cheapest of the groups on which no GPUs would idle, and of the next
// ones only as many as are missing.
func (v *View) leastIdledGPUs(j *Job, open []*machineGroup, r int) []candidate {
	levels := map[float64][]*machineGroup{}
	for _, g := range open {
		idles := v.idledGPUs(j, g.offer.Type)
		levels[idles] = append(levels[idles], g)
	}
	var out []candidate
	have := 0
	for i, idles := range slices.Sorted(maps.Keys(levels)) {
		want := r - have
		if want <= 0 {
			break
		}
		if i == 0 {
			want = 2 * r
		}
		for _, c := range v.cheapest(j, levels[idles], want) {
			c.idledGPUs = idles
			have += c.fit
			out = append(out, c)
		}
	}
	return out
}

func (v *View) sizeOf(typ string) Resources {
	if t := v.Types[typ]; t != nil {
		return SizeOf(t)
	}
	return Resources{}
}

func byCost(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.idledGPUs, b.idledGPUs), cmp.Compare(a.cost, b.cost), cmp.Compare(a.order, b.order), cmp.Compare(a.m.Name, b.m.Name))
}

// cheapest are the first machines of some groups, until they have so many slots.
func (v *View) cheapest(j *Job, groups []*machineGroup, slots int) (out []candidate) {
	s := &v.Index.partitions[v.Partition]
	fragile := v.Config.RestartMissesObjective(j, v.Now)
	left := slots
	add := func(m *Machine, order, cost float64) bool {
		if m.EarmarkExcludes(j, v.Now) {
			v.skippedEarmarked = true
			if m.Reserved && v.usable(m) {
				v.reservedSlots += m.Free().TaskCount(j.Need)
			}
		} else if v.usable(m) {
			if k := min(m.Free().TaskCount(j.Need), slots); k > 0 {
				out = append(out, candidate{m: m, fit: k, cost: cost, order: order})
				left -= k
			}
		}
		return left > 0
	}
	shift := func(g *machineGroup) float64 {
		if j.Spec.Spot && g.offer.Spot == fragile {
			return 10
		}
		return 0
	}
	streams := func(gs []*machineGroup) (out []*groupCursor) {
		for _, g := range gs {
			out = append(out, &groupCursor{group: g, orderOffset: shift(g)})
		}
		return out
	}
	// Machines that hold the image come first. If they are few they are listed, else
	// met soon in the order of the groups.
	cached := s.images[j.Spec.Image]
	if cached != nil && j.Spec.ImageGB > 0 {
		if int(cached.GetCardinality())*8 < s.withCapacity {
			var few []candidate
			for it := cached.Iterator(); it.HasNext(); {
				m := v.Index.byID[it.Next()]
				if slices.Contains(groups, m.group) {
					few = append(few, candidate{m: m, order: shift(m.group) + m.packingOrder()})
				}
			}
			slices.SortFunc(few, byCost)
			for _, c := range few {
				if !add(c.m, c.order, 0) {
					return out
				}
			}
		} else {
			mergeGroups(streams(groups), func(m *Machine, order float64) bool {
				return !cached.Contains(m.id) || add(m, order, 0)
			})
			if left <= 0 {
				return out
			}
		}
	}
	// Then the others, by what they have to fetch.
	rest := slices.Clone(groups)
	costOf := func(g *machineGroup) float64 { return g.secPerGB * j.Spec.ImageGB }
	slices.SortStableFunc(rest, func(a, b *machineGroup) int { return cmp.Compare(costOf(a), costOf(b)) })
	for len(rest) > 0 && left > 0 {
		n := 1
		for n < len(rest) && costOf(rest[n]) == costOf(rest[0]) {
			n++
		}
		cost := costOf(rest[0])
		mergeGroups(streams(rest[:n]), func(m *Machine, order float64) bool {
			if cached != nil && j.Spec.ImageGB > 0 && cached.Contains(m.id) {
				return true
			}
			return add(m, order, cost)
		})
		rest = rest[n:]
	}
	return out
}

// bestZone keeps the slots of the zone with room for r tasks and the least cost of the
// first r, or else of the one with the most room; of equals the zone whose first
// machine comes first.
func (v *View) bestZone(j *Job, slots []Slot, cands []candidate, r int) []Slot {
	byZone := map[int][]Slot{}
	for _, s := range slots {
		byZone[s.Zone] = append(byZone[s.Zone], s)
	}
	score := func(s []Slot) float64 {
		c := 0.0
		for _, x := range s[:min(r, len(s))] {
			c += x.Cost
		}
		return c - 1e6*float64(min(r, len(s)))
	}
	best, bestScore, bestName := -1, 0.0, ""
	for z, s := range byZone {
		name := "" // looked up only to part equals
		sc := score(s)
		if best >= 0 && sc == bestScore {
			if bestName == "" {
				bestName = v.firstMachineInZone(j, cands[byZone[best][0].Machine].m.Zone)
			}
			name = v.firstMachineInZone(j, cands[s[0].Machine].m.Zone)
		}
		if best < 0 || sc < bestScore || sc == bestScore && name < bestName {
			best, bestScore, bestName = z, sc, name
		}
	}
	return byZone[best]
}

// vacating says whether somebody is about to leave a machine where a job wants room made.
func (v *View) vacating(j *Job) bool {
	for _, m := range v.Index.Machines(v.Partition) {
		if m.stoppingTasks > 0 && j.zoneCapacity(m.Zone) > 0 && Allowed(j.Spec, m.offer()) && (m.HasImage(j.Spec.Image) || v.idledGPUs(j, m.Type) == 0) {
			return true
		}
	}
	return false
}

// firstMachineInZone is the first machine by name in a zone that a job could take.
func (v *View) firstMachineInZone(j *Job, zone string) string {
	for _, m := range v.Index.Machines(v.Partition) {
		if m.Zone == zone && m.group != nil && v.usable(m) && Allowed(j.Spec, m.offer()) && !m.EarmarkExcludes(j, v.Now) && m.Free().TaskCount(j.Need) > 0 {
			return m.Name
		}
	}
	return ""
}

// countAbove is how many slots cost more than a bound.
func countAbove(slots []Slot, bound float64) int {
	c := 0
	for _, s := range slots {
		if s.Cost > bound {
			c++
		}
	}
	return c
}
