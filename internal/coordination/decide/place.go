package decide

import (
	"cmp"
	"maps"
	"slices"

	"dapplestage.example/dapplestage/internal/protocol"
)

// MostPlaced is the most tasks that one decision places: they are stored in one change.
const MostPlaced = 512

// Placing is what Place decides.
type Placing struct {
	On     []*Machine // a machine for each task that is placed
	FetchS float64    // what the last of them has to fetch
	Room   *Room      // room to be made where the job's image is
	Idling bool       // some of them idle GPUs there, for as long as the job is there
	Why    Kind       // why not all that wait are placed; None if they are

	Reserve *Reservation // for a gang that does not fit yet
	KeptOff bool         // it would fit but for what is reserved for gangs
}

// candidate is a machine that a job fits on so many times.
type candidate struct {
	m     *Machine
	fit   int
	idles float64 // GPUs that would be kept from others there
	cost  float64
	order float64
}

// Place gives a job's waiting tasks machines of the share, by the threshold rule: a
// heavy job the r cheapest free slots, a light one ranks r+1 to 2r.
func (v *View) Place(j *Job) Placing {
	r := min(v.Startable(j), MostPlaced)
	if v.never(j) {
		return Placing{Why: NeverTogether}
	}
	if r == 0 {
		if j.Pausing > 0 && j.Pausing == j.Waiting {
			return Placing{Why: Pausing}
		}
		return Placing{Why: TeamLimit}
	}
	cands, zones := v.candidates(j, r)
	var slots []Slot
	for i, c := range cands {
		if len(slots) >= 2*r && !j.bound() {
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
			room[i] = j.zoneRoom(z)
		}
	}
	picked := Pick(slots, r, j.Heavy, room)
	patience := v.Config.patience(j.Spec)
	late := countAbove(picked, patience)
	if late > 0 && !j.Heavy {
		// Its aim would be missed for leaving the cheapest slots to heavier jobs.
		if cheapest := Pick(slots, r, true, room); countAbove(cheapest, patience) < late {
			picked, late = cheapest, countAbove(cheapest, patience)
		}
	}
	switch {
	case j.Spec.Shape == protocol.Gang && len(picked) < j.Tasks:
		return Placing{Why: GangIncomplete, Reserve: v.Reserve(j), KeptOff: v.fitsButForReservations(j, len(picked))}
	case len(picked) == 0:
		return Placing{Why: NoFreeMachine, KeptOff: v.fitsButForReservations(j, 0)}
	}
	p := Placing{FetchS: picked[len(picked)-1].Cost}
	service := j.Spec.Shape == protocol.Service // what ends gives GPUs back
	idling := 0
	for _, s := range picked {
		if service && cands[s.Machine].idles > 0 {
			idling++
		}
	}
	p.Idling = idling > 0
	made := false
	if late+idling > 0 && !v.Keep && !v.Now.Before(j.Preempted) {
		// The aim would be missed for the fetch alone, or GPUs lie idle for as long as
		// the job is there. Room that was made without regard to the image is taken, or
		// another job would take it.
		if made = v.Now.Before(j.RoomTill) && v.leaving(j); !made && j.RoomTill.IsZero() {
			if late > 0 {
				p.Room = v.MakeRoom(j, late, Cached)
			}
			if idling > 0 && !p.Room.Made() {
				p.Room = v.MakeRoom(j, idling, OwnKind)
			}
			made = p.Room.Made()
		}
	}
	if made {
		p.Why = RoomIsMade
		if j.Spec.Shape == protocol.Gang {
			return p
		}
	}
	for _, s := range picked {
		// What need not wait for the room goes at once.
		if c := cands[s.Machine]; !made || c.cost <= patience && !(service && c.idles > 0) {
			p.On = append(p.On, c.m)
		}
	}
	if made {
		return p
	}
	if len(p.On) < j.Waiting {
		p.Why = NoFreeMachine
	}
	return p
}

// candidates are the machines that a job's next r tasks may take, in the order of
// their slots, and the zones' numbers. For a job that is bound to zones there are
// enough of each zone; else the first ones with 2r slots together.
func (v *View) candidates(j *Job, r int) ([]candidate, map[string]int) {
	s := &v.Index.shares[v.Share]
	zones := map[string]int{}
	v.reservedSlots = 0
	if s.roomy == 0 {
		return nil, zones
	}
	key := needsOf(j)
	if at, known := v.noSlot[key]; known && at == v.Index.version && !j.bound() {
		return nil, zones
	}
	var open []*group
	for _, g := range s.groups {
		if g.tree.Len() > 0 && Allowed(j.Spec, g.offer) && j.zoneRoom(g.offer.Zone) > 0 {
			open = append(open, g)
			if _, ok := zones[g.offer.Zone]; !ok {
				zones[g.offer.Zone] = len(zones)
			}
		}
	}
	var out []candidate
	if !j.bound() {
		v.kept = false
		if out = v.leastIdle(j, open, r); len(out) == 0 && !v.kept {
			if v.noSlot == nil {
				v.noSlot = map[needs]uint64{}
			}
			v.noSlot[key] = v.Index.version
		}
		return out, zones
	}
	for z := range zones {
		out = append(out, v.leastIdle(j, slices.DeleteFunc(slices.Clone(open), func(g *group) bool { return g.offer.Zone != z }), r)...)
	}
	slices.SortFunc(out, byCost)
	return out, zones
}

// leastIdle are the cheapest of the groups on which no GPUs would idle, and of the next
// ones only as many as are missing.
func (v *View) leastIdle(j *Job, open []*group, r int) []candidate {
	levels := map[float64][]*group{}
	for _, g := range open {
		idles := v.idles(j, g.offer.Type)
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
			c.idles = idles
			have += c.fit
			out = append(out, c)
		}
	}
	return out
}

func (v *View) sizeOf(typ string) Amounts {
	if t := v.Types[typ]; t != nil {
		return SizeOf(t)
	}
	return Amounts{}
}

func byCost(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.idles, b.idles), cmp.Compare(a.cost, b.cost), cmp.Compare(a.order, b.order), cmp.Compare(a.m.Name, b.m.Name))
}

// cheapest are the first machines of some groups, until they have so many slots.
func (v *View) cheapest(j *Job, groups []*group, slots int) (out []candidate) {
	s := &v.Index.shares[v.Share]
	fragile := v.Config.Fragile(j, v.Now)
	left := slots
	add := func(m *Machine, order, cost float64) bool {
		if m.KeptFrom(j, v.Now) {
			v.kept = true
			if m.Reserved && v.usable(m) {
				v.reservedSlots += m.Free().Times(j.Need)
			}
		} else if v.usable(m) {
			if k := min(m.Free().Times(j.Need), slots); k > 0 {
				out = append(out, candidate{m: m, fit: k, cost: cost, order: order})
				left -= k
			}
		}
		return left > 0
	}
	shift := func(g *group) float64 {
		if j.Spec.Spot && g.offer.Spot == fragile {
			return 10
		}
		return 0
	}
	streams := func(gs []*group) (out []*stream) {
		for _, g := range gs {
			out = append(out, &stream{group: g, shift: shift(g)})
		}
		return out
	}
	// Machines that hold the image come first. If they are few they are listed, else
	// met soon in the order of the groups.
	cached := s.images[j.Spec.Image]
	if cached != nil && j.Spec.ImageGB > 0 {
		if int(cached.GetCardinality())*8 < s.roomy {
			var few []candidate
			for it := cached.Iterator(); it.HasNext(); {
				m := v.Index.byID[it.Next()]
				if slices.Contains(groups, m.roomy) {
					few = append(few, candidate{m: m, order: shift(m.roomy) + m.fullness()})
				}
			}
			slices.SortFunc(few, byCost)
			for _, c := range few {
				if !add(c.m, c.order, 0) {
					return out
				}
			}
		} else {
			merge(streams(groups), func(m *Machine, order float64) bool {
				return !cached.Contains(m.id) || add(m, order, 0)
			})
			if left <= 0 {
				return out
			}
		}
	}
	// Then the others, by what they have to fetch.
	rest := slices.Clone(groups)
	costOf := func(g *group) float64 { return g.secPerGB * j.Spec.ImageGB }
	slices.SortStableFunc(rest, func(a, b *group) int { return cmp.Compare(costOf(a), costOf(b)) })
	for len(rest) > 0 && left > 0 {
		n := 1
		for n < len(rest) && costOf(rest[n]) == costOf(rest[0]) {
			n++
		}
		cost := costOf(rest[0])
		merge(streams(rest[:n]), func(m *Machine, order float64) bool {
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
				bestName = v.firstIn(j, cands[byZone[best][0].Machine].m.Zone)
			}
			name = v.firstIn(j, cands[s[0].Machine].m.Zone)
		}
		if best < 0 || sc < bestScore || sc == bestScore && name < bestName {
			best, bestScore, bestName = z, sc, name
		}
	}
	return byZone[best]
}

// leaving says whether somebody is about to leave a machine where a job wants room made.
func (v *View) leaving(j *Job) bool {
	for _, m := range v.Index.Machines(v.Share) {
		if m.stopping > 0 && j.zoneRoom(m.Zone) > 0 && Allowed(j.Spec, m.offer()) && (m.Has(j.Spec.Image) || v.idles(j, m.Type) == 0) {
			return true
		}
	}
	return false
}

// firstIn is the first machine by name in a zone that a job could take.
func (v *View) firstIn(j *Job, zone string) string {
	for _, m := range v.Index.Machines(v.Share) {
		if m.Zone == zone && m.roomy != nil && v.usable(m) && Allowed(j.Spec, m.offer()) && !m.KeptFrom(j, v.Now) && m.Free().Times(j.Need) > 0 {
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
