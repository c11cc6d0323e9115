package decide

import (
	"cmp"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Move hands a machine to a share.
type Move struct {
	Machine *Machine
	Share   int
	Spare   bool // only if its own share does not expect to need it
	Rank    int  // of the job that it is for: work of that urgency or more keeps it
	Drain   bool // nothing is stopped on it: it goes once its tasks have ended
}

// mostOutranked is how many machines with work on them one plan takes from shares.
const mostOutranked = 8

// Moves says which machines go to shares where jobs wait: those that what waits could
// use, beyond what is free where it waits or could be freed there, and that the jobs of
// their own share could not use as well. claims are the jobs with a guarantee that wait in
// each share, guests the others, both by urgency and arrival. Empty machines go first;
// then those with guests' work alone, if nothing with a guarantee waits there; then those
// on which all is less urgent than the job that waits. Work of guest teams is no reason to
// keep a machine from work with a guarantee, and gets only machines that nobody needs.
func (v *View) Moves(claims, guests [][]*Job, most int) []Move {
	p := &movePlan{v: v, used: make([]Amounts, len(v.Teams)), most: most, places: map[int]*elsewhere{}, unmet: map[int][]*Job{}}
	for i := range claims {
		for _, m := range v.Index.Machines(i) {
			// Only machines that are up: the address is stored with the first report.
			if m.Block&Gone == 0 && m.Addressed {
				p.bins = append(p.bins, p.bin(m, len(claims[i]) == 0))
			}
		}
	}
	// Each share's jobs see to themselves first, the most urgent of all shares before the
	// others: what nobody then uses may go.
	p.serve(claims, false, guests)
	for i := range guests {
		if len(claims[i]) > 0 {
			guests = slices.Clone(guests)
			guests[i] = nil // that comes first
		}
	}
	p.serve(guests, true, guests)
	return p.out
}

// serve lets the jobs of each share see to themselves, and then fetches what they lack, one
// priority after the other: what less urgent jobs of a share could use as well does not keep
// a machine from more urgent ones of another share. (With all of a share's jobs first, a
// machine that had just been emptied for an urgent job stayed for the work that had been
// stopped there, and was emptied again a few seconds later, for ever.)
func (p *movePlan) serve(jobs [][]*Job, spare bool, guests [][]*Job) {
	own := make([][]*movable, len(jobs))
	full := make([]map[needs]bool, len(jobs))
	for i := range jobs {
		if len(jobs[i]) > 0 {
			own[i], full[i] = p.of(i), map[needs]bool{}
		}
	}
	none := map[missing]bool{}
	for rank := protocol.Production; rank <= protocol.Low; rank++ {
		var lacks []lack
		for i := range jobs {
			for _, j := range jobs[i] {
				if j.Rank != rank {
					continue
				}
				if l := p.take(j, i, own[i], full[i]); l.tasks > 0 {
					l.spare = spare
					lacks = append(lacks, l)
					p.unmet[i] = append(p.unmet[i], j)
				}
			}
		}
		p.fetchAll(lacks, guests, none)
		p.fetchForDisplaced(lacks, own, guests, none)
	}
}

// missing is a kind of machine that was looked for in other shares.
type missing struct {
	needs
	share, rank int
}

// fetchAll plans machines of other shares for what jobs lack. What finds nothing, the next of
// its kind need not look for.
func (p *movePlan) fetchAll(lacks []lack, guests [][]*Job, none map[missing]bool) {
	for _, l := range lacks {
		kind := missing{needsOf(l.job), l.share, l.job.Rank}
		if !none[kind] || l.job.bound() {
			none[kind] = !p.fetch(l, guests)
		}
	}
}

// lack is so many tasks of a job for which its share has no place.
type lack struct {
	share int
	job   *Job
	tasks int
	zone  string // for a job that must be in one
	spare bool   // of a guest
}

// movable is a machine as a plan of moves sees it.
type movable struct {
	m      *Machine
	share  int
	free   Amounts
	lower  [4]Amounts // by rank: what tasks that are less urgent take, and could be stopped
	used   bool       // by a job of its own share
	gone   bool       // in this plan
	loss   float64    // of emptying it
	floor  int        // what is on it is less urgent than anything above; 4: nothing is
	guests bool       // what is on it is guests' work, and nothing with a guarantee waits there

	displaces bool      // places are looked for in this plan for what is on it
	shifts    [4]answer // by rank: whether what is as urgent could run elsewhere in its share
}

// answer is what was found out once in a plan.
type answer uint8

const (
	unasked answer = iota
	yes
	no
)

type movePlan struct {
	v         *View
	bins      []*movable
	used      []Amounts // by team, of what was imagined
	out       []Move
	most      int
	outranked int
	places    map[int]*elsewhere // of each share: where tasks of machines that go would run
	unmet     map[int][]*Job     // of each share: what lacks places
}

func (p *movePlan) bin(m *Machine, unclaimed bool) *movable {
	b := &movable{m: m, share: m.Share, free: m.Free(), floor: 4, lower: m.lowerWork()}
	b.guests = unclaimed && len(m.Held) > 0
	for _, h := range m.Held {
		b.guests = b.guests && p.v.Teams[h.Job.Team].Guest()
		if b.floor = min(b.floor, h.Job.Rank); (!h.Settled || h.together()) && !h.Unwanted {
			b.floor = 0
		}
	}
	if len(m.Held) > 0 {
		b.loss = m.emptyingLoss(p.v.Now)
	}
	return b
}

func (p *movePlan) of(share int) (out []*movable) {
	for _, b := range p.bins {
		if b.share == share {
			out = append(out, b)
		}
	}
	// The fullest first, so that what can go stays whole.
	slices.SortStableFunc(out, func(a, b *movable) int { return cmp.Compare(len(b.m.Held), len(a.m.Held)) })
	return out
}

// room is how many tasks of a job fit on a machine of its own share.
func (b *movable) room(j *Job) int {
	if b.m.Block&(Returning|Moving|HeldBack|Notice) != 0 {
		return 0
	}
	return b.free.Add(b.lower[j.Rank], 1).Times(j.Need)
}

// take imagines a job's waiting tasks on machines of its share and returns how many find
// no place. A gang that finds too little keeps what it found: it will be there.
func (p *movePlan) take(j *Job, share int, own []*movable, full map[needs]bool) lack {
	tm := *p.v.team(j)
	tm.Used = tm.Used.Add(p.used[j.Team], 1)
	const horizon = 2000
	r := min(p.v.Wants(j), tm.Room(j.Need), horizon)
	if r <= 0 || j.Spec.Shape == protocol.Gang && r < j.Tasks || p.v.never(j) {
		return lack{}
	}
	p.used[j.Team] = p.used[j.Team].Add(j.Need, float64(r))
	return p.imagine(j, share, r, own, full)
}

// imagine puts r tasks of a job on machines of its share, as far as there are places.
func (p *movePlan) imagine(j *Job, share, r int, own []*movable, full map[needs]bool) lack {
	l := lack{share: share, job: j, tasks: r, zone: p.zoneFor(j, share)}
	key := needsOf(j)
	if full[key] && !j.bound() {
		return l
	}
	placed := map[string]int{}
	for _, b := range own {
		if l.tasks == 0 {
			break
		}
		if b.gone || !p.may(j, b, l.zone, placed) {
			continue
		}
		if k := min(l.tasks, b.room(j), p.zoneLeft(j, b.m.Zone, placed)); k > 0 {
			b.free = b.free.Add(j.Need, -float64(k))
			b.used = true
			placed[b.m.Zone] += k
			l.tasks -= k
		}
	}
	full[key] = full[key] || l.tasks > 0 && !j.bound()
	return l
}

// may says whether a job may use a machine at all, in the zone that was chosen for it.
func (p *movePlan) may(j *Job, b *movable, zone string, placed map[string]int) bool {
	return Allowed(j.Spec, b.m.offer()) && (zone == "" || zone == b.m.Zone) && p.v.idles(j, b.m.Type) == 0 && p.zoneLeft(j, b.m.Zone, placed) > 0
}

// zoneLeft is how many more tasks of a job a zone may take, those imagined included.
func (p *movePlan) zoneLeft(j *Job, zone string, placed map[string]int) int {
	return j.zoneRoom(zone) - map[bool]int{true: placed[zone], false: 0}[j.Spec.Spread]
}

// zoneFor is the zone for a job that must be in one: of those in which all of it finds room,
// by what its share has and could get, the one in which the share has the most; empty if
// the job need not be in one.
func (p *movePlan) zoneFor(j *Job, share int) string {
	if !j.Spec.OneZone {
		return ""
	}
	own, all := map[string]int{}, map[string]int{}
	for _, b := range p.bins {
		if !Allowed(j.Spec, b.m.offer()) || j.zoneRoom(b.m.Zone) <= 0 || b.gone {
			continue
		}
		if b.share == share {
			own[b.m.Zone] += b.room(j)
			all[b.m.Zone] += b.room(j)
		} else if p.mayGo(j, b, false) {
			all[b.m.Zone] += b.m.Size.Times(j.Need)
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

// mayGo says whether a machine of another share may go for a job at all.
func (p *movePlan) mayGo(j *Job, b *movable, spare bool) bool {
	if b.used || b.gone || b.m.Block&(Returning|Moving) != 0 || p.v.idles(j, b.m.Type) > 0 {
		return false
	}
	return len(b.m.Held) == 0 || !spare && (b.guests || p.outranked < mostOutranked && (j.Rank < b.floor || p.shifts(j, b)))
}

// shifts says whether a machine of another share may go for a job since what is as urgent
// there needs none of its GPUs and could run elsewhere.
func (p *movePlan) shifts(j *Job, b *movable) bool {
	a := &b.shifts[j.Rank]
	if *a == unasked {
		*a = no
		if p.v.shiftsFor(j, b.m) && p.v.Shifts(b.m, j.Rank) {
			*a = yes
		}
	}
	return *a == yes
}

// shift takes the places for what is to run elsewhere when a machine goes.
func (p *movePlan) shift(j *Job, b *movable) bool {
	if len(b.m.Held) == 0 || b.guests || j.Rank < b.floor {
		return true
	}
	if p.places[b.m.Share] == nil {
		p.places[b.m.Share] = p.v.elsewhere(b.m.Share)
	}
	return p.places[b.m.Share].takeAll(b.m, j.Rank)
}

// fetch plans machines of other shares for tasks that find no place in theirs. It returns
// false if there is none that could go.
func (p *movePlan) fetch(l lack, guests [][]*Job) bool {
	if len(p.out) >= p.most {
		return false
	}
	j, r := l.job, l.tasks
	placed := map[string]int{}
	for _, b := range p.bins { // what is planned already for earlier ones
		if b.gone && b.share == l.share && p.may(j, b, l.zone, placed) {
			k := min(r, b.free.Times(j.Need), p.zoneLeft(j, b.m.Zone, placed))
			b.free = b.free.Add(j.Need, -float64(k))
			placed[b.m.Zone] += k
			r -= k
		}
	}
	var donors []*movable
	fit := 0
	for _, b := range p.bins {
		if b.share != l.share && p.mayGo(j, b, l.spare) && p.may(j, b, l.zone, placed) && b.m.Size.Times(j.Need) > 0 && !(l.spare && len(guests[b.share]) > 0) {
			donors = append(donors, b)
			fit += b.m.Size.Times(j.Need)
		}
	}
	if r <= 0 || j.Spec.Shape == protocol.Gang && fit < r {
		return fit > 0 // some of it would not start it
	}
	// Those on which the least is lost come first, and so do those that are being
	// emptied already. (With the fewest tasks first a guest's single jobs, which save
	// nothing, lost up to 130 s of work each.)
	class := func(b *movable) int {
		switch {
		case len(b.m.Held) == 0:
			return 0
		case b.guests:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(donors, func(a, b *movable) int {
		return cmp.Or(class(a)-class(b), cmp.Compare(a.loss, b.loss))
	})
	for _, b := range donors {
		if r <= 0 || len(p.out) >= p.most {
			break
		}
		k := min(r, b.m.Size.Times(j.Need), p.zoneLeft(j, b.m.Zone, placed))
		if k <= 0 || !p.mayGo(j, b, l.spare) || !p.shift(j, b) {
			continue
		}
		if class(b) == 2 {
			p.outranked++
		}
		placed[b.m.Zone] += k
		r -= k
		p.plan(b, l, k, false)
	}
	return p.drain(l, r, placed) || fit > 0
}

// plan notes that a machine goes to where something is lacking, for so many of the tasks.
func (p *movePlan) plan(b *movable, l lack, tasks int, drain bool) {
	b.gone, b.share, b.free = true, l.share, b.m.Size.Add(l.job.Need, -float64(tasks))
	p.out = append(p.out, Move{Machine: b.m, Share: l.share, Spare: l.spare, Rank: l.job.Rank, Drain: drain})
}

// mostDrainTime is within which time all tasks of a machine should end for it to be drained.
const mostDrainTime = 60 * time.Second

// drain plans machines on which nobody in their share waits for room, and whose tasks end by
// themselves soon, for what nothing empty is left for: nothing new is placed on them, and they
// go once they are empty. (On a simulated quiet day a share had 2,000 CPUs free for three
// minutes, on machines that new tasks kept from being empty, while 13,000 tasks waited in the
// others.) It says whether there are any.
func (p *movePlan) drain(l lack, r int, placed map[string]int) (any bool) {
	j := l.job
	if l.spare || j.Spec.Shape == protocol.Gang {
		return false
	}
	for _, b := range p.bins {
		if r <= 0 || len(p.out) >= p.most {
			break
		}
		if b.share == l.share || b.used || b.gone || b.m.Block&(Returning|Moving) != 0 || !p.may(j, b, l.zone, placed) || p.awaited(b) || !p.v.DrainsSoon(b.m) {
			continue
		}
		k := min(r, b.m.Size.Times(j.Need), p.zoneLeft(j, b.m.Zone, placed))
		if k <= 0 {
			continue
		}
		placed[b.m.Zone] += k
		r -= k
		p.plan(b, l, k, true)
		any = true
	}
	return any
}

// awaited says whether something that lacks places in a machine's own share could use it.
func (p *movePlan) awaited(b *movable) bool {
	return slices.ContainsFunc(p.unmet[b.share], func(j *Job) bool {
		return p.may(j, b, "", nil) && b.m.Size.Times(j.Need) > 0
	})
}

// DrainsSoon says whether a machine's tasks should all end by themselves soon.
func (v *View) DrainsSoon(m *Machine) bool {
	for _, h := range m.Held {
		at, ends := v.expectedEnd(m, h)
		if !ends || h.Job.Spec.Shape != protocol.Array || at.Sub(v.Now) > mostDrainTime {
			return false
		}
	}
	return len(m.Held) > 0
}

// emptyingLoss is how many seconds of work are lost when all tasks of a machine are
// stopped.
func (m *Machine) emptyingLoss(now time.Time) float64 {
	loss := 0.0
	for _, h := range m.Held {
		if h.Job.Spec.Shape == protocol.Service {
			loss += shiftLoss // it has no work of its own to lose
			continue
		}
		loss += h.Job.stopLoss(h.Since, now)
	}
	return loss
}
