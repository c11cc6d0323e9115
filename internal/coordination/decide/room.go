package decide

import (
	"cmp"
	"slices"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Preemption is who is stopped for a job, and what is kept for it meanwhile.
type Preemption struct {
	Evictions []*Eviction
	Earmarked []*Machine // for a gang: nothing else of no higher priority goes there
}

// HasEvictions says whether anybody is stopped.
func (r *Preemption) HasEvictions() bool { return r != nil && len(r.Evictions) > 0 }

// Victim is a task that may be stopped for another.
type Victim struct {
	Job           *Job
	Task          int
	overGuarantee bool // only because its team has more than its guarantee
	relocates     bool // only to run elsewhere at once
}

// Eviction is what stopping some tasks of a machine would bring.
type Eviction struct {
	Machine *Machine
	Victims []Victim
	gain    int     // tasks of the job that would fit in addition
	loss    float64 // seconds of work lost, and of fetching the image
}

// missedObjectiveLoss is how many seconds of lost work a job that misses its aim for being
// stopped counts for.
const missedObjectiveLoss = 120

// preemptionKey is what makes two jobs equal for whom to stop.
type preemptionKey struct {
	placementKey
	team, rank int
	where      PreemptionScope
	image      string // where only machines with it count
	gb         float64
	within     bool
}

// PreemptionScope says on which machines room may be made.
type PreemptionScope uint8

const (
	AnyMachine              PreemptionScope = iota
	MachinesWithImage                       // only where the job's image is, and no GPUs would idle
	MachinesWithoutIdleGPUs                 // only where no GPUs would idle
)

// borrowed is how many GPUs each team uses beyond its guarantee, not counting tasks
// that are being stopped already. Without that, and without counting on as victims
// are chosen, a team is stopped below its guarantee, has others stopped in turn, and
// in an overload half of all work is thrown away.
func (v *View) borrowed() []float64 {
	out := make([]float64, len(v.Teams))
	for i, t := range v.Teams {
		out[i] = t.Used.GPUs - t.Guarantee.GPUs - v.Index.stoppingGPUs[i]
	}
	return out
}

// withinBorrowed says whether the teams that lend still have that much to give back.
func (c *Eviction) withinBorrowed(borrowed []float64) bool {
	take := map[int]float64{}
	for _, v := range c.Victims {
		take[v.Job.Team] += v.Job.Need.GPUs
		if v.overGuarantee && take[v.Job.Team] > borrowed[v.Job.Team]+Tolerance {
			return false
		}
	}
	return true
}

// Preempt stops work of lower priority, or work that another team runs beyond its
// guarantee if the job is within its own team's, so that up to r tasks fit.
func (v *View) Preempt(j *Job, r int, where PreemptionScope) *Preemption {
	if j.Rank == protocol.Low || v.neverRuns(j) {
		return nil
	}
	cached := where == MachinesWithImage
	tm := v.team(j)
	within := tm.Used.Add(j.Need, float64(r)).Within(tm.Guarantee)
	key := preemptionKey{placementKey: placementKeyOf(j), team: j.Team, rank: j.Rank, where: where, within: within}
	if cached {
		key.image, key.gb = j.Spec.Image, j.Spec.ImageGB
	}
	if at, known := v.noVictimsAt[key]; known && at == v.Index.version && !j.zoneConstrained() {
		return nil
	}
	var borrowed []float64
	if within {
		borrowed = v.borrowed()
	}
	// Room where the job may not go is no room. (Seen on a simulated day: a service
	// that lacked a place in one zone had others stopped in the other every 8 s.)
	var may []*Machine
	for _, m := range v.Index.Machines(v.Partition) {
		if m.lowestPriority <= j.Rank && !(within && m.lowestPriority >= protocol.High) && !v.mayRelocateFor(j, m) || m.stoppingTasks > 0 {
			continue // nobody there may be stopped for it
		}
		if j.zoneCapacity(m.Zone) <= 0 || !Allowed(j.Spec, m.offer()) || !v.usable(m) || m.EarmarkExcludes(j, v.Now) || cached && !m.HasImage(j.Spec.Image) || where != AnyMachine && v.idledGPUs(j, m.Type) > 0 {
			continue
		}
		may = append(may, m)
	}
	if j.Need.GPUs > 0 { // who can be placed elsewhere is asked where that is the least first
		slices.SortStableFunc(may, func(a, b *Machine) int { return a.cpuOnlyTasks - b.cpuOnlyTasks })
	}
	var choices []*Eviction
	places := v.newRelocationPlan(v.Partition)
	for _, m := range may {
		if c := v.evictionOn(m, j, min(r, j.zoneCapacity(m.Zone)), within, cached, borrowed, places); c != nil {
			choices = append(choices, c)
		}
	}
	if len(choices) == 0 {
		if v.noVictimsAt == nil {
			v.noVictimsAt = map[preemptionKey]uint64{}
		}
		v.noVictimsAt[key] = v.Index.version
	}
	slices.SortStableFunc(choices, func(a, b *Eviction) int {
		// Of equals the fullest, so that machines with guests' work alone stay so.
		return cmp.Or(cmp.Compare(v.idledGPUs(j, a.Machine.Type), v.idledGPUs(j, b.Machine.Type)), cmp.Compare(a.loss/float64(a.gain), b.loss/float64(b.gain)), cmp.Compare(b.Machine.Used.GPUs, a.Machine.Used.GPUs))
	})
	out := &Preemption{}
	if j.Spec.Shape == protocol.Gang {
		if choices, r, out.Earmarked = v.selectForGang(j, choices); choices == nil {
			return out // stopping some would not start it
		}
	}
	gained := map[string]int{}
	for _, c := range choices {
		if r <= 0 {
			break
		}
		if gained[c.Machine.Zone] >= j.zoneCapacity(c.Machine.Zone) || !c.withinBorrowed(borrowed) {
			continue
		}
		gained[c.Machine.Zone] += c.gain
		r -= c.gain
		out.Evictions = append(out.Evictions, c)
		for _, x := range c.Victims {
			if borrowed != nil {
				borrowed[x.Job.Team] -= x.Job.Need.GPUs
			}
		}
	}
	return out
}

// selectForGang picks, for a gang, what to stop so that together with what is free all of it
// fits, in one zone if it must be. What is free there is kept for it from jobs of no
// higher priority while the others leave.
func (v *View) selectForGang(j *Job, choices []*Eviction) (stop []*Eviction, r int, keep []*Machine) {
	zoneOf := func(m *Machine) string {
		if j.Spec.OneZone {
			return m.Zone
		}
		return ""
	}
	free := map[string][]*Machine{}
	isFree := map[*Machine]bool{}
	room := map[string]int{}
	for _, m := range v.Index.Machines(v.Partition) {
		if k := m.Free().TaskCount(j.Need); k > 0 && Allowed(j.Spec, m.offer()) && v.usable(m) && !m.EarmarkExcludes(j, v.Now) {
			free[zoneOf(m)] = append(free[zoneOf(m)], m)
			isFree[m] = true
			room[zoneOf(m)] += k
		}
	}
	byZone := map[string][]*Eviction{}
	loss, gain := map[string]float64{}, map[string]int{}
	for _, c := range choices { // cheapest first
		z := zoneOf(c.Machine)
		if isFree[c.Machine] || room[z]+gain[z] >= j.Tasks {
			continue
		}
		byZone[z] = append(byZone[z], c)
		gain[z] += c.gain
		loss[z] += c.loss
	}
	best, found := "", false
	for z := range byZone {
		if room[z]+gain[z] >= j.Tasks && (!found || loss[z] < loss[best] || loss[z] == loss[best] && z < best) {
			best, found = z, true
		}
	}
	if !found {
		return nil, 0, nil
	}
	keep = free[best]
	for _, c := range byZone[best] {
		keep = append(keep, c.Machine)
	}
	return byZone[best], j.Tasks - room[best], keep
}

// evictionOn finds the cheapest tasks of m to stop so that up to r more tasks of j fit.
func (v *View) evictionOn(m *Machine, j *Job, r int, within, cached bool, borrowed []float64, places *relocationPlan) *Eviction {
	type cand struct {
		Victim
		loss float64
	}
	var cands []cand
	shifts := v.mayRelocateFor(j, m)
	for _, h := range m.Assignments {
		x := h.Job
		if !h.Active || h.coscheduled() {
			continue
		}
		lends := within && x.Team != j.Team && x.Rank >= protocol.High && borrowed[x.Team] >= x.Need.GPUs-Tolerance && x.Need.GPUs > 0
		if x.Rank <= j.Rank && !lends {
			if shifts && x.Need.GPUs == 0 {
				cands = append(cands, cand{Victim{Job: x, Task: h.Task, relocates: true}, relocationLoss})
			}
			continue
		}
		loss := x.preemptionLoss(h.Since, v.Now)
		if lends && x.Rank <= j.Rank && x.Spec.CheckpointS == 0 && loss > x.Spec.EstimateS/3 {
			continue // it gives its place back soon by itself
		}
		if v.Config.preemptionMissesObjective(x, h.Since, v.Now) {
			if cached {
				continue // a late fetch is not worse than a late job
			}
			loss += missedObjectiveLoss
		}
		cands = append(cands, cand{Victim{Job: x, Task: h.Task, overGuarantee: x.Rank <= j.Rank}, loss})
	}
	slices.SortFunc(cands, func(a, b cand) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Task, b.Task))
	})
	c := &Eviction{Machine: m, loss: m.FetchSeconds(j.Spec)}
	free := m.Free()
	before := free.TaskCount(j.Need)
	taken := map[int]float64{}
	begun := len(places.placements)
	for _, x := range cands {
		if free.TaskCount(j.Need)-before >= r {
			break
		}
		if x.relocates {
			fetchS, found := places.placeTask(x.Job, m)
			if !found {
				continue
			}
			x.loss += fetchS
		}
		if taken[x.Job.Team] += x.Job.Need.GPUs; x.overGuarantee && taken[x.Job.Team] > borrowed[x.Job.Team]+Tolerance {
			continue
		}
		free = free.Add(x.Job.Need, 1)
		c.Victims = append(c.Victims, x.Victim)
		c.loss += x.loss
	}
	c.gain = min(r, free.TaskCount(j.Need)-before)
	if c.gain <= 0 || len(c.Victims) == 0 {
		places.rollBack(begun)
		return nil
	}
	return c
}
