package decide

import (
	"cmp"
	"maps"
	"slices"

	"dapplestage.example/dapplestage/internal/protocol"
)

// MaxPlacements limits the number of tasks that one decision places, since they are stored in one
// change.
const MaxPlacements = 512

// Placement is the result of Place.
type Placement struct {
	Machines   []*Machine  // one for each placed task
	LastFetchS float64     // seconds to fetch the image on the last of the chosen machines
	Preemption *Preemption // tasks to preempt for machines with the image or without GPUs
	IdlesGPUs  bool        // some tasks of a service would leave GPUs idle for as long as it runs
	Reason     Reason      // why not all waiting tasks are placed; NoReason if they are

	Reserve              *Reservation // for a gang that does not fit yet; may be nil
	BlockedByReservation bool         // the job would fit without the reservations for gangs
}

// candidate is a machine that a job's tasks fit on.
type candidate struct {
	m         *Machine
	fit       int     // number of tasks that fit
	idledGPUs float64 // see View.idledGPUs
	cost      float64 // seconds to fetch the image
	order     float64 // see Slot.Order
}

// Place chooses machines of the partition for a job's waiting tasks by the threshold rule: a
// heavy job with r tasks gets the r cheapest free slots, a light one the slots ranked r+1 to 2r.
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
	candidates, zones := v.candidates(j, r)
	var slots []Slot
	for i, c := range candidates {
		if len(slots) >= 2*r && !j.zoneConstrained() {
			break // the rule uses no more slots
		}
		for range c.fit {
			slots = append(slots, Slot{Machine: i, Zone: zones[c.m.Zone], Cost: c.cost, Order: c.order})
		}
	}
	if j.Spec.OneZone {
		slots = v.bestZone(j, slots, candidates, r)
	}
	var zoneCapacity map[int]int
	if j.Spec.Spread {
		zoneCapacity = map[int]int{}
		for z, i := range zones {
			zoneCapacity[i] = j.zoneCapacity(z)
		}
	}
	picked := Pick(slots, r, j.Heavy, zoneCapacity)
	maxFetch := v.Config.maxFetchSeconds(j.Spec)
	late := countAbove(picked, maxFetch)
	if late > 0 && !j.Heavy {
		// Leaving the cheapest slots to heavier jobs would miss the job's objective.
		if cheapest := Pick(slots, r, true, zoneCapacity); countAbove(cheapest, maxFetch) < late {
			picked, late = cheapest, countAbove(cheapest, maxFetch)
		}
	}
	switch {
	case j.Spec.Shape == protocol.Gang && len(picked) < j.Tasks:
		return Placement{Reason: GangIncomplete, Reserve: v.Reserve(j), BlockedByReservation: v.blockedByReservations(j, len(picked))}
	case len(picked) == 0:
		return Placement{Reason: NoFreeMachine, BlockedByReservation: v.blockedByReservations(j, 0)}
	}
	p := Placement{LastFetchS: picked[len(picked)-1].Cost}
	isService := j.Spec.Shape == protocol.Service // tasks of other jobs end and release the GPUs
	idlingTasks := 0
	for _, s := range picked {
		if isService && candidates[s.Machine].idledGPUs > 0 {
			idlingTasks++
		}
	}
	p.IdlesGPUs = idlingTasks > 0
	preempting := false
	if late+idlingTasks > 0 && !v.NoPreemption && !v.Now.Before(j.PreemptAfter) {
		// The image fetch alone would miss the objective, or GPUs would idle for as long
		// as the service runs. Capacity that was preempted for the job without regard to
		// the image is used all the same, since another job would take it otherwise.
		if preempting = v.Now.Before(j.PreemptionWaitUntil) && v.vacating(j); !preempting && j.PreemptionWaitUntil.IsZero() {
			if late > 0 {
				p.Preemption = v.Preempt(j, late, MachinesWithImage)
			}
			if idlingTasks > 0 && !p.Preemption.HasEvictions() {
				p.Preemption = v.Preempt(j, idlingTasks, MachinesWithoutIdleGPUs)
			}
			preempting = p.Preemption.HasEvictions()
		}
	}
	if preempting {
		p.Reason = PreemptionInProgress
		if j.Spec.Shape == protocol.Gang {
			return p
		}
	}
	for _, s := range picked {
		// Tasks that gain nothing from the preemption are placed at once.
		if c := candidates[s.Machine]; !preempting || c.cost <= maxFetch && !(isService && c.idledGPUs > 0) {
			p.Machines = append(p.Machines, c.m)
		}
	}
	if preempting {
		return p
	}
	if len(p.Machines) < j.Waiting {
		p.Reason = NoFreeMachine
	}
	return p
}

// candidates returns the machines on which a job's next r tasks may be placed, in the order of
// their slots, and the number of each zone. For a zone-constrained job it returns enough machines
// of each zone, otherwise the first machines that have 2r slots in total.
func (v *View) candidates(j *Job, r int) ([]candidate, map[string]int) {
	partition := &v.Index.partitions[v.Partition]
	zones := map[string]int{}
	v.reservedSlots = 0
	key := placementKeyOf(j)
	if at, known := v.noCapacityAt[key]; known && at == v.Index.version && !j.zoneConstrained() {
		return nil, zones
	}
	groups, searched := partition.groupsFor(j, func(o Offer) bool { return j.zoneCapacity(o.Zone) > 0 })
	for _, g := range groups {
		if _, ok := zones[g.offer.Zone]; !ok {
			zones[g.offer.Zone] = len(zones)
		}
	}
	var out []candidate
	if !j.zoneConstrained() {
		v.skippedForJob = false
		if out = v.leastIdledGPUs(j, groups, searched, r); len(out) == 0 && !v.skippedForJob {
			if v.noCapacityAt == nil {
				v.noCapacityAt = map[placementKey]uint64{}
			}
			v.noCapacityAt[key] = v.Index.version
		}
		return out, zones
	}
	for z := range zones {
		out = append(out, v.leastIdledGPUs(j, slices.DeleteFunc(slices.Clone(groups), func(g *machineGroup) bool { return g.offer.Zone != z }), searched, r)...)
	}
	slices.SortFunc(out, byCost)
	return out, zones
}

// leastIdledGPUs returns the cheapest machines of the groups with the fewest idled GPUs, up to 2r
// slots, and of the groups with more idled GPUs only as many as r slots still lack. searched is the
// number of machines in the groups' pools.
func (v *View) leastIdledGPUs(j *Job, groups []*machineGroup, searched, r int) []candidate {
	levels := map[float64][]*machineGroup{}
	for _, g := range groups {
		idled := v.idledGPUs(j, g.offer.Type)
		levels[idled] = append(levels[idled], g)
	}
	var out []candidate
	fitting := 0
	for i, idled := range slices.Sorted(maps.Keys(levels)) {
		missing := r - fitting
		if missing <= 0 {
			break
		}
		if i == 0 {
			missing = 2 * r
		}
		for _, c := range v.cheapest(j, levels[idled], searched, missing) {
			c.idledGPUs = idled
			fitting += c.fit
			out = append(out, c)
		}
	}
	return out
}

// sizeOf returns the resources of a machine type, none if the type is unknown.
func (v *View) sizeOf(typ string) Resources {
	if t := v.Types[typ]; t != nil {
		return SizeOf(t)
	}
	return Resources{}
}

// byCost orders candidates by idled GPUs, fetch cost, order and name.
func byCost(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.idledGPUs, b.idledGPUs), cmp.Compare(a.cost, b.cost), cmp.Compare(a.order, b.order), cmp.Compare(a.m.Name, b.m.Name))
}

// cheapest returns the first machines of groups in the order of their cost, until they have the
// given number of slots. searched is the number of machines in the groups' pools.
func (v *View) cheapest(j *Job, groups []*machineGroup, searched, slots int) (out []candidate) {
	partition := &v.Index.partitions[v.Partition]
	avoidSpot := v.Config.RestartMissesObjective(j, v.Now)
	remaining := slots
	add := func(m *Machine, order, cost float64) bool {
		if m.EarmarkExcludes(j, v.Now) {
			v.skippedForJob = true
			if m.Reserved && v.usable(m) {
				v.reservedSlots += m.Free().TaskCount(j.Need)
			}
		} else if k := min(v.slotsOn(j, m), slots); k > 0 {
			out = append(out, candidate{m: m, fit: k, cost: cost, order: order})
			remaining -= k
		} else if m.excludes(j) || m.OnTrial && !m.mayBeTriedBy(j) || m.OnlyFor != "" {
			v.skippedForJob = true
		}
		return remaining > 0
	}
	orderOffset := func(g *machineGroup) float64 {
		if j.Spec.Spot && g.offer.Spot == avoidSpot {
			return 10
		}
		return 0
	}
	cursors := func(gs []*machineGroup) (out []*groupCursor) {
		for _, g := range gs {
			out = append(out, &groupCursor{group: g, orderOffset: orderOffset(g)})
		}
		return out
	}
	// Machines that have the image come first. If there are few of them, they are listed
	// from the bitmap; otherwise a scan of the groups finds them quickly.
	cached := partition.images[j.Spec.Image]
	if cached != nil && j.Spec.ImageGB > 0 {
		if int(cached.GetCardinality())*8 < searched {
			var cachedCandidates []candidate
			for it := cached.Iterator(); it.HasNext(); {
				m := v.Index.byID[it.Next()]
				if slices.Contains(groups, m.group) {
					cachedCandidates = append(cachedCandidates, candidate{m: m, order: orderOffset(m.group) + m.order})
				}
			}
			slices.SortFunc(cachedCandidates, byCost)
			for _, c := range cachedCandidates {
				if !add(c.m, c.order, 0) {
					return out
				}
			}
		} else {
			mergeGroups(cursors(groups), func(m *Machine, order float64) bool {
				return !cached.Contains(m.id) || add(m, order, 0)
			})
			if remaining <= 0 {
				return out
			}
		}
	}
	// The other machines follow by fetch cost.
	uncached := slices.Clone(groups)
	costOf := func(g *machineGroup) float64 { return g.secPerGB * j.Spec.ImageGB }
	slices.SortStableFunc(uncached, func(a, b *machineGroup) int { return cmp.Compare(costOf(a), costOf(b)) })
	for len(uncached) > 0 && remaining > 0 {
		n := 1
		for n < len(uncached) && costOf(uncached[n]) == costOf(uncached[0]) {
			n++
		}
		cost := costOf(uncached[0])
		mergeGroups(cursors(uncached[:n]), func(m *Machine, order float64) bool {
			if cached != nil && j.Spec.ImageGB > 0 && cached.Contains(m.id) {
				return true
			}
			return add(m, order, cost)
		})
		uncached = uncached[n:]
	}
	return out
}

// bestZone returns the slots of one zone: the one with room for r tasks whose first r slots have
// the least total cost, or if there is none, the one with the most slots. Among equal zones it
// chooses the one with the first machine by name.
func (v *View) bestZone(j *Job, slots []Slot, candidates []candidate, r int) []Slot {
	byZone := map[int][]Slot{}
	for _, s := range slots {
		byZone[s.Zone] = append(byZone[s.Zone], s)
	}
	score := func(zoneSlots []Slot) float64 {
		total := 0.0
		for _, slot := range zoneSlots[:min(r, len(zoneSlots))] {
			total += slot.Cost
		}
		return total - 1e6*float64(min(r, len(zoneSlots)))
	}
	best, bestScore, bestName := -1, 0.0, ""
	for z, zoneSlots := range byZone {
		name := "" // looked up only to break ties
		zoneScore := score(zoneSlots)
		if best >= 0 && zoneScore == bestScore {
			if bestName == "" {
				bestName = v.firstMachineInZone(j, candidates[byZone[best][0].Machine].m.Zone)
			}
			name = v.firstMachineInZone(j, candidates[zoneSlots[0].Machine].m.Zone)
		}
		if best < 0 || zoneScore < bestScore || zoneScore == bestScore && name < bestName {
			best, bestScore, bestName = z, zoneScore, name
		}
	}
	return byZone[best]
}

// vacating reports whether tasks are being stopped on a machine that is among those on which a job
// has others preempted: it has the image, or the job would idle no GPUs on it.
func (v *View) vacating(j *Job) bool {
	for _, m := range v.Index.Machines(v.Partition) {
		if m.stoppingTasks > 0 && j.zoneCapacity(m.Zone) > 0 && Allowed(j.Spec, m.offer()) && (m.HasImage(j.Spec.Image) || v.idledGPUs(j, m.Type) == 0) {
			return true
		}
	}
	return false
}

// firstMachineInZone returns the first machine by name in a zone that a job can use.
func (v *View) firstMachineInZone(j *Job, zone string) string {
	for _, m := range v.Index.Machines(v.Partition) {
		if m.Zone == zone && m.group != nil && Allowed(j.Spec, m.offer()) && !m.EarmarkExcludes(j, v.Now) && v.slotsOn(j, m) > 0 {
			return m.Name
		}
	}
	return ""
}

// countAbove returns the number of slots whose cost exceeds a bound.
func countAbove(slots []Slot, bound float64) int {
	count := 0
	for _, s := range slots {
		if s.Cost > bound {
			count++
		}
	}
	return count
}
