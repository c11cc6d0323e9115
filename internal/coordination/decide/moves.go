package decide

import (
	"cmp"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Move hands a machine to a share.
type Move struct {
	Machine        *Machine
	Partition      int
	OnlyIfUnneeded bool // only if its own share does not expect to need it
	Rank           int  // of the job that it is for: work of that urgency or more keeps it
	Drain          bool // nothing is stopped on it: it goes once its tasks have ended
}

// maxPreemptingMoves is how many machines with work on them one plan takes from shares.
const maxPreemptingMoves = 8

// PlanMoves says which machines go to shares where jobs wait: those that what waits could
// use, beyond what is free where it waits or could be freed there, and that the jobs of
// their own share could not use as well. claims are the jobs with a guarantee that wait in
// each share, guests the others, both by urgency and arrival. Empty machines go first;
// then those with guests' work alone, if nothing with a guarantee waits there; then those
// on which all is less urgent than the job that waits. Work of guest teams is no reason to
// keep a machine from work with a guarantee, and gets only machines that nobody needs.
func (v *View) PlanMoves(claims, guests [][]*Job, most int) []Move {
	p := &movePlan{view: v, placedByTeam: make([]Resources, len(v.Teams)), maxMoves: most, relocations: map[int]*relocationPlan{}, unmet: map[int][]*Job{}}
	for i := range claims {
		for _, m := range v.Index.Machines(i) {
			// Only machines that are up: the address is stored with the first report.
			if m.Block&Returned == 0 && m.HasAddress {
				p.candidates = append(p.candidates, p.newCandidate(m, len(claims[i]) == 0))
			}
		}
	}
	// Each share's jobs see to themselves first, the most urgent of all shares before the
	// others: what nobody then uses may go.
	p.planRound(claims, false, guests)
	for i := range guests {
		if len(claims[i]) > 0 {
			guests = slices.Clone(guests)
			guests[i] = nil // that comes first
		}
	}
	p.planRound(guests, true, guests)
	return p.moves
}

// planRound lets the jobs of each share see to themselves, and then fetches what they lack, one
// priority after the other: what less urgent jobs of a share could use as well does not keep
// a machine from more urgent ones of another share. (With all of a share's jobs first, a
// machine that had just been emptied for an urgent job stayed for the work that had been
// stopped there, and was emptied again a few seconds later, for ever.)
func (p *movePlan) planRound(jobs [][]*Job, spare bool, guests [][]*Job) {
	own := make([][]*moveCandidate, len(jobs))
	full := make([]map[placementKey]bool, len(jobs))
	for i := range jobs {
		if len(jobs[i]) > 0 {
			own[i], full[i] = p.candidatesIn(i), map[placementKey]bool{}
		}
	}
	none := map[shortfallKey]bool{}
	for rank := protocol.Production; rank <= protocol.Low; rank++ {
		var lacks []shortfall
		for i := range jobs {
			for _, j := range jobs[i] {
				if j.Rank != rank {
					continue
				}
				if l := p.placeWaiting(j, i, own[i], full[i]); l.tasks > 0 {
					l.unguaranteed = spare
					lacks = append(lacks, l)
					p.unmet[i] = append(p.unmet[i], j)
				}
			}
		}
		p.planMovesForAll(lacks, guests, none)
		p.planMovesForRelocation(lacks, own, guests, none)
	}
}

// shortfallKey is a kind of machine that was looked for in other shares.
type shortfallKey struct {
	placementKey
	partition, rank int
}

// planMovesForAll plans machines of other shares for what jobs lack. What finds nothing, the next of
// its kind need not look for.
func (p *movePlan) planMovesForAll(lacks []shortfall, guests [][]*Job, none map[shortfallKey]bool) {
	for _, l := range lacks {
		kind := shortfallKey{placementKeyOf(l.job), l.partition, l.job.Rank}
		if !none[kind] || l.job.zoneConstrained() {
			none[kind] = !p.planMovesFor(l, guests)
		}
	}
}

// shortfall is so many tasks of a job for which its share has no place.
type shortfall struct {
	partition    int
	job          *Job
	tasks        int
	zone         string // for a job that must be in one
	unguaranteed bool   // of a guest
}

// moveCandidate is a machine as a plan of moves sees it.
type moveCandidate struct {
	m                *Machine
	partition        int
	free             Resources
	preemptible      [4]Resources // by rank: what tasks that are less urgent take, and could be stopped
	usedLocally      bool         // by a job of its own share
	moved            bool         // in this plan
	emptyingLoss     float64      // of emptying it
	minRank          int          // what is on it is less urgent than anything above; 4: nothing is
	unguaranteedOnly bool         // what is on it is guests' work, and nothing with a guarantee waits there

	relocationPlanned bool            // places are looked for in this plan for what is on it
	canRelocate       [4]cachedAnswer // by rank: whether what is as urgent could run elsewhere in its share
}

// cachedAnswer is what was found out once in a plan.
type cachedAnswer uint8

const (
	unknown cachedAnswer = iota
	yes
	no
)

type movePlan struct {
	view            *View
	candidates      []*moveCandidate
	placedByTeam    []Resources // by team, of what was imagined
	moves           []Move
	maxMoves        int
	preemptingMoves int
	relocations     map[int]*relocationPlan // of each share: where tasks of machines that go would run
	unmet           map[int][]*Job          // of each share: what lacks places
}

func (p *movePlan) newCandidate(m *Machine, unclaimed bool) *moveCandidate {
	b := &moveCandidate{m: m, partition: m.Partition, free: m.Free(), minRank: 4, preemptible: m.preemptibleByRank()}
	b.unguaranteedOnly = unclaimed && len(m.Assignments) > 0
	for _, h := range m.Assignments {
		b.unguaranteedOnly = b.unguaranteedOnly && p.view.Teams[h.Job.Team].Unguaranteed()
		if b.minRank = min(b.minRank, h.Job.Rank); (!h.Active || h.coscheduled()) && !h.Stopping {
			b.minRank = 0
		}
	}
	if len(m.Assignments) > 0 {
		b.emptyingLoss = m.emptyingLoss(p.view.Now)
	}
	return b
}

func (p *movePlan) candidatesIn(share int) (out []*moveCandidate) {
	for _, b := range p.candidates {
		if b.partition == share {
			out = append(out, b)
		}
	}
	// The fullest first, so that what can go stays whole.
	slices.SortStableFunc(out, func(a, b *moveCandidate) int { return cmp.Compare(len(b.m.Assignments), len(a.m.Assignments)) })
	return out
}

// capacityFor is how many tasks of a job fit on a machine of its own share.
func (b *moveCandidate) capacityFor(j *Job) int {
	if b.m.Block&(Returning|Moving|Cordoned|InterruptionNotice) != 0 {
		return 0
	}
	return b.free.Add(b.preemptible[j.Rank], 1).TaskCount(j.Need)
}

// placeWaiting imagines a job's waiting tasks on machines of its share and returns how many find
// no place. A gang that finds too little keeps what it found: it will be there.
func (p *movePlan) placeWaiting(j *Job, share int, own []*moveCandidate, full map[placementKey]bool) shortfall {
	tm := *p.view.team(j)
	tm.Used = tm.Used.Add(p.placedByTeam[j.Team], 1)
	const horizon = 2000
	r := min(p.view.Demand(j), tm.TasksWithinLimit(j.Need), horizon)
	if r <= 0 || j.Spec.Shape == protocol.Gang && r < j.Tasks || p.view.neverRuns(j) {
		return shortfall{}
	}
	p.placedByTeam[j.Team] = p.placedByTeam[j.Team].Add(j.Need, float64(r))
	return p.placeInPartition(j, share, r, own, full)
}

// placeInPartition puts r tasks of a job on machines of its share, as far as there are places.
func (p *movePlan) placeInPartition(j *Job, share, r int, own []*moveCandidate, full map[placementKey]bool) shortfall {
	l := shortfall{partition: share, job: j, tasks: r, zone: p.chooseZone(j, share)}
	key := placementKeyOf(j)
	if full[key] && !j.zoneConstrained() {
		return l
	}
	placed := map[string]int{}
	for _, b := range own {
		if l.tasks == 0 {
			break
		}
		if b.moved || !p.canUse(j, b, l.zone, placed) {
			continue
		}
		if k := min(l.tasks, b.capacityFor(j), p.zoneCapacityLeft(j, b.m.Zone, placed)); k > 0 {
			b.free = b.free.Add(j.Need, -float64(k))
			b.usedLocally = true
			placed[b.m.Zone] += k
			l.tasks -= k
		}
	}
	full[key] = full[key] || l.tasks > 0 && !j.zoneConstrained()
	return l
}

// canUse says whether a job may use a machine at all, in the zone that was chosen for it.
func (p *movePlan) canUse(j *Job, b *moveCandidate, zone string, placed map[string]int) bool {
	return Allowed(j.Spec, b.m.offer()) && (zone == "" || zone == b.m.Zone) && p.view.idledGPUs(j, b.m.Type) == 0 && p.zoneCapacityLeft(j, b.m.Zone, placed) > 0
}

// zoneCapacityLeft is how many more tasks of a job a zone may take, those imagined included.
func (p *movePlan) zoneCapacityLeft(j *Job, zone string, placed map[string]int) int {
	return j.zoneCapacity(zone) - map[bool]int{true: placed[zone], false: 0}[j.Spec.Spread]
}

// chooseZone is the zone for a job that must be in one: of those in which all of it finds room,
// by what its share has and could get, the one in which the share has the most; empty if
// the job need not be in one.
func (p *movePlan) chooseZone(j *Job, share int) string {
	if !j.Spec.OneZone {
		return ""
	}
	own, all := map[string]int{}, map[string]int{}
	for _, b := range p.candidates {
		if !Allowed(j.Spec, b.m.offer()) || j.zoneCapacity(b.m.Zone) <= 0 || b.moved {
			continue
		}
		if b.partition == share {
			own[b.m.Zone] += b.capacityFor(j)
			all[b.m.Zone] += b.capacityFor(j)
		} else if p.mayMove(j, b, false) {
			all[b.m.Zone] += b.m.Size.TaskCount(j.Need)
		}
	}
	best := ""
	for z, n := range all {
		if n >= j.Waiting && (best == "" || cmp.Or(cmp.Compare(own[best], own[z]), cmp.Compare(z, best)) < 0) {
			best = z
		}
	}
	if best == "" {
		for z, n := range own {
			if best == "" || cmp.Or(cmp.Compare(own[best], n), cmp.Compare(z, best)) < 0 {
				best = z
			}
		}
	}
	return best
}

// mayMove says whether a machine of another share may go for a job at all.
func (p *movePlan) mayMove(j *Job, b *moveCandidate, spare bool) bool {
	if b.usedLocally || b.moved || b.m.Block&(Returning|Moving) != 0 || p.view.idledGPUs(j, b.m.Type) > 0 {
		return false
	}
	return len(b.m.Assignments) == 0 || !spare && (b.unguaranteedOnly || p.preemptingMoves < maxPreemptingMoves && (j.Rank < b.minRank || p.canRelocateTasks(j, b)))
}

// canRelocateTasks says whether a machine of another share may go for a job since what is as urgent
// there needs none of its GPUs and could run elsewhere.
func (p *movePlan) canRelocateTasks(j *Job, b *moveCandidate) bool {
	a := &b.canRelocate[j.Rank]
	if *a == unknown {
		*a = no
		if p.view.mayRelocateFor(j, b.m) && p.view.CanRelocate(b.m, j.Rank) {
			*a = yes
		}
	}
	return *a == yes
}

// reserveRelocation takes the places for what is to run elsewhere when a machine goes.
func (p *movePlan) reserveRelocation(j *Job, b *moveCandidate) bool {
	if len(b.m.Assignments) == 0 || b.unguaranteedOnly || j.Rank < b.minRank {
		return true
	}
	if p.relocations[b.m.Partition] == nil {
		p.relocations[b.m.Partition] = p.view.newRelocationPlan(b.m.Partition)
	}
	return p.relocations[b.m.Partition].placeAll(b.m, j.Rank)
}

// planMovesFor plans machines of other shares for tasks that find no place in theirs. It returns
// false if there is none that could go.
func (p *movePlan) planMovesFor(l shortfall, guests [][]*Job) bool {
	if len(p.moves) >= p.maxMoves {
		return false
	}
	j, r := l.job, l.tasks
	placed := map[string]int{}
	for _, b := range p.candidates { // what is planned already for earlier ones
		if b.moved && b.partition == l.partition && p.canUse(j, b, l.zone, placed) {
			k := min(r, b.free.TaskCount(j.Need), p.zoneCapacityLeft(j, b.m.Zone, placed))
			b.free = b.free.Add(j.Need, -float64(k))
			placed[b.m.Zone] += k
			r -= k
		}
	}
	var donors []*moveCandidate
	fit := 0
	for _, b := range p.candidates {
		if b.partition != l.partition && p.mayMove(j, b, l.unguaranteed) && p.canUse(j, b, l.zone, placed) && b.m.Size.TaskCount(j.Need) > 0 && !(l.unguaranteed && len(guests[b.partition]) > 0) {
			donors = append(donors, b)
			fit += b.m.Size.TaskCount(j.Need)
		}
	}
	if r <= 0 || j.Spec.Shape == protocol.Gang && fit < r {
		return fit > 0 // some of it would not start it
	}
	// Those on which the least is lost come first, and so do those that are being
	// emptied already. (With the fewest tasks first a guest's single jobs, which save
	// nothing, lost up to 130 s of work each.)
	class := func(b *moveCandidate) int {
		switch {
		case len(b.m.Assignments) == 0:
			return 0
		case b.unguaranteedOnly:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(donors, func(a, b *moveCandidate) int {
		return cmp.Or(class(a)-class(b), cmp.Compare(a.emptyingLoss, b.emptyingLoss))
	})
	for _, b := range donors {
		if r <= 0 || len(p.moves) >= p.maxMoves {
			break
		}
		k := min(r, b.m.Size.TaskCount(j.Need), p.zoneCapacityLeft(j, b.m.Zone, placed))
		if k <= 0 || !p.mayMove(j, b, l.unguaranteed) || !p.reserveRelocation(j, b) {
			continue
		}
		if class(b) == 2 {
			p.preemptingMoves++
		}
		placed[b.m.Zone] += k
		r -= k
		p.addMove(b, l, k, false)
	}
	return p.planDrains(l, r, placed) || fit > 0
}

// addMove notes that a machine goes to where something is lacking, for so many of the tasks.
func (p *movePlan) addMove(b *moveCandidate, l shortfall, tasks int, drain bool) {
	b.moved, b.partition, b.free = true, l.partition, b.m.Size.Add(l.job.Need, -float64(tasks))
	p.moves = append(p.moves, Move{Machine: b.m, Partition: l.partition, OnlyIfUnneeded: l.unguaranteed, Rank: l.job.Rank, Drain: drain})
}

// maxDrainTime is within which time all tasks of a machine should end for it to be drained.
const maxDrainTime = 60 * time.Second

// planDrains plans machines on which nobody in their share waits for room, and whose tasks end by
// themselves soon, for what nothing empty is left for: nothing new is placed on them, and they
// go once they are empty. (On a simulated quiet day a share had 2,000 CPUs free for three
// minutes, on machines that new tasks kept from being empty, while 13,000 tasks waited in the
// others.) It says whether there are any.
func (p *movePlan) planDrains(l shortfall, r int, placed map[string]int) (any bool) {
	j := l.job
	if l.unguaranteed || j.Spec.Shape == protocol.Gang {
		return false
	}
	for _, b := range p.candidates {
		if r <= 0 || len(p.moves) >= p.maxMoves {
			break
		}
		if b.partition == l.partition || b.usedLocally || b.moved || b.m.Block&(Returning|Moving) != 0 || !p.canUse(j, b, l.zone, placed) || p.neededLocally(b) || !p.view.DrainsSoon(b.m) {
			continue
		}
		k := min(r, b.m.Size.TaskCount(j.Need), p.zoneCapacityLeft(j, b.m.Zone, placed))
		if k <= 0 {
			continue
		}
		placed[b.m.Zone] += k
		r -= k
		p.addMove(b, l, k, true)
		any = true
	}
	return any
}

// neededLocally says whether something that lacks places in a machine's own share could use it.
func (p *movePlan) neededLocally(b *moveCandidate) bool {
	return slices.ContainsFunc(p.unmet[b.partition], func(j *Job) bool {
		return p.canUse(j, b, "", nil) && b.m.Size.TaskCount(j.Need) > 0
	})
}

// DrainsSoon says whether a machine's tasks should all end by themselves soon.
func (v *View) DrainsSoon(m *Machine) bool {
	for _, h := range m.Assignments {
		at, ends := v.expectedEnd(m, h)
		if !ends || h.Job.Spec.Shape != protocol.Array || at.Sub(v.Now) > maxDrainTime {
			return false
		}
	}
	return len(m.Assignments) > 0
}

// emptyingLoss is how many seconds of work are lost when all tasks of a machine are
// stopped.
func (m *Machine) emptyingLoss(now time.Time) float64 {
	loss := 0.0
	for _, h := range m.Assignments {
		if h.Job.Spec.Shape == protocol.Service {
			loss += relocationLoss // it has no work of its own to lose
			continue
		}
		loss += h.Job.preemptionLoss(h.Since, now)
	}
	return loss
}
