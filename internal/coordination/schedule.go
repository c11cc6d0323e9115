package coordination

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// usable says whether new tasks may be placed on a machine.
func (n *Node) usable(m *machine, now time.Time) bool {
	return m.known && m.fenced && !m.notice && !m.returning && !m.gone && !m.moving && !m.heldBack && len(m.doubt) == 0 &&
		!n.faulty(m) && !now.Before(m.avoidTill) &&
		now.Sub(m.heard).Seconds() < 2.5*n.cfg.Params.Workers.ReportS+1
}

// faulty says whether too many jobs failed on a machine in a row.
func (n *Node) faulty(m *machine) bool { return len(m.blame) >= 3 }

// size is what a machine of a type has.
func size(t *protocol.MachineType) Amounts { return Amounts{t.CPUs, t.GPUs, t.MemoryGB} }

func (n *Node) free(m *machine) Amounts {
	t := n.types[m.rec.Type]
	if t == nil {
		return Amounts{}
	}
	return size(t).Add(m.used, -1)
}

// allowed says whether a job's tasks may be on machines of this kind at all.
func allowed(s *protocol.JobSpec, typ, zone string, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, typ)) && (s.Zone == "" || s.Zone == zone) && (!spot || s.Spot)
}

// plan places what waits on the machines of each share held, and rents for
// the rest.
func (n *Node) plan(now time.Time) {
	if n.sinceContact(now) > 2*time.Second {
		return // nothing could be stored
	}
	claimed := n.anyClaimed(now)
	for _, s := range n.shares {
		if !n.mine(s) {
			continue
		}
		jobs := s.jobs
		n.countArrivals(s, jobs, now)
		v := n.look(s, now)
		var waits []*job
		for _, j := range jobs {
			if j.nWaiting() == 0 || j.cancelled || j.abandon {
				continue
			}
			if n.closed(j, now) {
				j.why = "the site has no lease from the gateway's members"
				continue
			}
			if !j.busy && !now.Before(j.notBefore) {
				n.place(s, j, v, now)
			}
			if j.trouble.mistake && len(s.machines) > 0 {
				continue // nothing is rented or stopped for it
			}
			switch {
			case j.nWaiting() == 0:
			case claimed && n.guest(j):
				j.why = "guarantees come first"
			default:
				waits = append(waits, j)
			}
		}
		n.preempt(s, waits, now)
		if !now.Before(s.nextRent) {
			s.nextRent = now.Add(rentPause)
			n.rent(s, waits, now)
		}
	}
}

// rentPause is how often a share looks at what it lacks: the cloud's rate
// allows hardly more requests, and jobs come in bursts that one can cover.
const rentPause = 300 * time.Millisecond

// view is what one look at a share found: the machines with room. In a full
// fleet they are few, so that many waiting jobs cost little.
type view struct{ roomy []*machine }

func (n *Node) look(s *share, now time.Time) *view {
	v := &view{}
	for _, m := range s.machines {
		if n.hasRoom(m) && n.usable(m, now) {
			v.roomy = append(v.roomy, m)
		}
	}
	return v
}

// countArrivals lets the share's window see new jobs in the order they came.
// After a take-over these are the jobs present, so the means have a start.
func (n *Node) countArrivals(s *share, jobs []*job, now time.Time) {
	var fresh []*job
	for _, j := range jobs {
		if !j.counted {
			fresh = append(fresh, j)
		}
	}
	slices.SortFunc(fresh, func(a, b *job) int {
		return cmp.Or(a.submitted.Compare(b.submitted), cmp.Compare(a.id, b.id))
	})
	present := len(jobs) - len(fresh)
	for _, j := range fresh {
		present++
		j.counted = true
		if j.seen.After(s.taken) && now.Sub(s.taken) > 5*time.Second {
			s.recent = append(s.recent, arrival{now, j.spec})
		}
		j.heavy = s.window.Arrive(present, j.spec.ImageGB) || n.policy.Greedy
	}
}

// place gives a job's waiting tasks machines of the share, by the threshold rule.
func (n *Node) place(s *share, j *job, v *view, now time.Time) {
	const most = 512 // tasks in one change
	r := min(n.startable(j, now), most)
	if r == 0 {
		if j.why = "team limit"; j.errored && j.tryable(now) == 0 {
			j.why = "a task failed and waits before its next try"
		}
		return
	}
	gang := j.spec.Shape == protocol.Gang
	fragile := n.fragile(j, now)
	more := j.zoneRoom()
	zones := map[string]int{}
	zoneOf := func(z string) int {
		if _, ok := zones[z]; !ok {
			zones[z] = len(zones)
		}
		return zones[z]
	}
	var found []Slot // one a machine
	var on []*machine
	var fit []int
	for _, m := range v.roomy {
		if !allowed(j.spec, m.rec.Type, m.rec.Zone, m.rec.Spot) {
			continue
		}
		if more(m.rec.Zone) <= 0 || m.keptFrom(j, now) {
			continue
		}
		k := min(n.free(m).Times(j.need), 2*r)
		if k == 0 {
			continue
		}
		on = append(on, m)
		fit = append(fit, k)
		found = append(found, Slot{Machine: len(on) - 1, Zone: zoneOf(m.rec.Zone), Cost: n.cost(m, j.spec), Order: n.order(m, j, fragile)})
	}
	SortSlots(found) // machines come by name, and equal ones stay so
	var slots []Slot
	for _, sl := range found {
		if len(slots) >= 2*r && !j.spec.OneZone && !j.spec.Spread {
			break // the rule looks at no more
		}
		for range fit[sl.Machine] {
			slots = append(slots, sl)
		}
	}
	if j.spec.OneZone {
		slots = bestZone(slots, r)
	}
	var room map[int]int
	if j.spec.Spread {
		room = map[int]int{}
		for z, i := range zones {
			room[i] = more(z)
		}
	}
	picked := Pick(slots, r, j.heavy, room)
	if gang && len(picked) < len(j.tasks) {
		j.why = "gang incomplete"
		return
	}
	if len(picked) == 0 {
		if j.why = "no free machine"; j.step != nil {
			j.why += n.draining(s, j)
		}
		return
	}
	if short := countAbove(picked, n.patience(j.spec)); short > 0 && !now.Before(j.preempted) {
		// The aim would be missed for the fetch alone. Room that was made without
		// regard to the image is taken, or another job would take it.
		if now.Before(j.roomTill) || j.roomTill.IsZero() && n.makeRoom(s, j, short, true, now) {
			j.why = "room is being made where its image is"
			n.replan = true
			return
		}
	}
	var tasks []int
	var to []*machine
	for i := range j.tasks {
		if len(tasks) == len(picked) {
			break
		}
		if j.tasks[i].phase == waiting && !j.pausing(i, now) {
			to = append(to, on[picked[len(tasks)].Machine])
			tasks = append(tasks, i)
		}
	}
	n.propose(j, tasks, to, now)
	v.roomy = slices.DeleteFunc(v.roomy, func(m *machine) bool { return !n.hasRoom(m) })
	n.metrics.placed.Add(float64(len(tasks)))
	n.log.Debug("placing", "job", j.id, "class", j.spec.Class, "tasks", len(tasks), "heavy", j.heavy, "waiting", j.nWaiting(), "fetch_s", picked[len(picked)-1].Cost, "after_s", now.Sub(j.seen).Seconds())
}

// zoneRoom says how many more tasks of a job a zone may take, given those that
// are placed or not known to be gone.
func (j *job) zoneRoom() func(zone string) int {
	byZone := map[string]int{}
	for i := range j.tasks {
		if m := j.tasks[i].machine; m != nil {
			byZone[m.rec.Zone]++
		}
	}
	return func(zone string) int {
		room := len(j.tasks)
		if j.spec.Spread {
			room = (len(j.tasks)+1)/2 - byZone[zone]
		}
		if j.spec.OneZone && len(byZone) > 0 && byZone[zone] == 0 {
			room = 0
		}
		return room
	}
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

// bestZone keeps the zone with room for r tasks and the least cost of the
// first r, or else the one with the most room.
func bestZone(slots []Slot, r int) []Slot {
	byZone := map[int][]Slot{}
	for _, s := range slots {
		byZone[s.Zone] = append(byZone[s.Zone], s)
	}
	var best []Slot
	score := func(v []Slot) float64 {
		c := 0.0
		for _, s := range v[:min(r, len(v))] {
			c += s.Cost
		}
		return c - 1e6*float64(min(r, len(v)))
	}
	for z := range len(byZone) {
		if v := byZone[z]; best == nil || score(v) < score(best) {
			best = v
		}
	}
	return best
}

// cost is the time to get a job's image onto a machine: nothing if cached.
func (n *Node) cost(m *machine, s *protocol.JobSpec) float64 {
	if m.has(s.Image) {
		return 0
	}
	return n.secondsPerGB(m) * s.ImageGB
}

// secondsPerGB is what was learned, in steps of half of what the type should
// take: finer differences are those of the report interval, and would only keep
// machines that are as good from counting as equal.
func (n *Node) secondsPerGB(m *machine) float64 {
	nominal := 1.0
	if t := n.types[m.rec.Type]; t != nil && t.FetchGBPerS > 0 {
		nominal = 1 / t.FetchGBPerS
	}
	if m.secPerGB == 0 {
		return nominal
	}
	return max(nominal, math.Round(2*m.secPerGB/nominal)/2*nominal)
}

// order breaks ties of cost: spot machines for jobs that may use them and can
// afford to lose one, then the fullest, so that machines become empty and can go.
func (n *Node) order(m *machine, j *job, fragile bool) float64 {
	o := 0.0
	if j.spec.Spot && m.rec.Spot == fragile {
		o += 10
	}
	if t := n.types[m.rec.Type]; t != nil {
		if t.GPUs > 0 {
			o -= m.used.GPUs / t.GPUs
		} else if t.CPUs > 0 {
			o -= m.used.CPUs / t.CPUs
		}
	}
	return o
}

// finishWithin calls f with each time within which jobs of a class should be done.
func (n *Node) finishWithin(class string, f func(within float64)) {
	for _, o := range n.cfg.Params.Aims {
		if o.Kind == "finished" && o.Class == class {
			f(o.WithinS)
		}
	}
}

// fragile says whether a job would miss an aim on finishing that it can still meet
// if one of its tasks, started now, were lost near its end: what was lost is noticed
// after two reports and fetched and run again. Such a job had better not run on
// machines that may be taken. (On simulated days of large arrays on spot machines
// three of four late arrays had lost one machine.)
func (n *Node) fragile(j *job, now time.Time) bool {
	if j.spec.CheckpointS > 0 || !j.spec.Spot {
		return false
	}
	once := now.Sub(j.submitted).Seconds() + j.spec.EstimateS
	again := once + j.spec.EstimateS + 2*n.cfg.Params.Workers.ReportS
	out := false
	n.finishWithin(j.spec.Class, func(within float64) { out = out || once <= within && again > within })
	return out
}

// harms says whether stopping a task makes its job miss an aim on finishing that it
// would meet otherwise.
func (n *Node) harms(j *job, t *task, now time.Time) bool {
	if j.spec.CheckpointS > 0 {
		return false
	}
	age := now.Sub(j.submitted).Seconds()
	left := max(0, j.spec.EstimateS-now.Sub(t.since).Seconds())
	out := false
	n.finishWithin(j.spec.Class, func(within float64) { out = out || age+left <= within && age+j.spec.EstimateS > within })
	return out
}

// victim is a task that may be stopped for another.
type victim struct {
	job   *job
	task  int
	lends bool // only because its team has more than its guarantee
}

// borrowed is how many GPUs each team uses beyond its guarantee, not counting
// tasks that are being stopped already. Without that, and without counting on as
// victims are chosen, a team is stopped below its guarantee, has others stopped
// in turn, and in an overload half of all work is thrown away.
func (n *Node) borrowed() map[int]float64 {
	out := map[int]float64{}
	for i, t := range n.teams {
		out[i] = t.used.GPUs - t.guarantee.GPUs
	}
	for _, m := range n.machines {
		for k := range m.on {
			if n.unwanted(k.job, &k.job.tasks[k.task]) {
				out[k.job.team] -= k.job.need.GPUs
			}
		}
	}
	return out
}

// affordable says whether the teams that lend still have that much to give back.
func (c *sacrifice) affordable(borrowed map[int]float64) bool {
	take := map[int]float64{}
	for _, v := range c.victims {
		take[v.job.team] += v.job.need.GPUs
		if v.lends && take[v.job.team] > borrowed[v.job.team]+slack {
			return false
		}
	}
	return true
}

// patience is how long a fetch a class's aim on starting leaves time for. Only
// the highest priority gets others stopped for its fetch.
func (n *Node) patience(s *protocol.JobSpec) float64 {
	p := math.Inf(1)
	if s.Rank() != protocol.Production {
		return p
	}
	for _, o := range n.cfg.Params.Aims {
		if o.Kind == "wait" && o.Class == s.Class {
			p = min(p, 0.7*o.WithinS)
		}
	}
	return p
}

// preempt makes room for jobs that found none.
func (n *Node) preempt(s *share, waits []*job, now time.Time) {
	for _, j := range waits {
		if r := n.wants(j, now); !j.busy && r > 0 && !now.Before(j.preempted) && !now.Before(j.noVictims) {
			if !n.makeRoom(s, j, r, false, now) {
				j.noVictims = now.Add(noVictimsPause)
			}
		}
	}
}

// noVictimsPause is how long a job that found nobody to stop does not look
// again: looking costs a walk over all tasks of the share.
const noVictimsPause = time.Second

// makeRoom stops work of lower priority, or work that another team runs beyond
// its guarantee if the job is within its own team's, so that up to r tasks fit.
// With cached, only machines that have the job's image count.
func (n *Node) makeRoom(s *share, j *job, r int, cached bool, now time.Time) bool {
	if j.rank == protocol.Low {
		return false
	}
	tm := n.teams[j.team]
	within := tm.used.Add(j.need, float64(r)).within(tm.guarantee)
	borrowed := map[int]float64{}
	if within {
		borrowed = n.borrowed()
	}
	// Room where the job may not go is no room. (Seen on a simulated day: a service
	// that lacked a place in one zone had others stopped in the other every 8 s.)
	more := j.zoneRoom()
	var choices []*sacrifice
	for _, m := range s.machines {
		if more(m.rec.Zone) <= 0 || !allowed(j.spec, m.rec.Type, m.rec.Zone, m.rec.Spot) || !n.usable(m, now) || n.stopping(m) || cached && !m.has(j.spec.Image) {
			continue
		}
		if c := n.sacrifice(m, j, min(r, more(m.rec.Zone)), within, cached, borrowed, now); c != nil {
			choices = append(choices, c)
		}
	}
	slices.SortStableFunc(choices, func(a, b *sacrifice) int {
		// Of equals the fullest, so that machines with guests' work alone stay so.
		return cmp.Or(cmp.Compare(a.loss/float64(a.gain), b.loss/float64(b.gain)), cmp.Compare(b.m.used.GPUs, a.m.used.GPUs))
	})
	if j.spec.Shape == protocol.Gang {
		if choices, r = n.gather(s, j, choices, now); choices == nil {
			return false // stopping some would not start it
		}
	}
	made := false
	gained := map[string]int{}
	for _, c := range choices {
		if r <= 0 {
			break
		}
		if gained[c.m.rec.Zone] >= more(c.m.rec.Zone) || !c.affordable(borrowed) {
			continue
		}
		gained[c.m.rec.Zone] += c.gain
		r -= c.gain
		made = true
		if until := now.Add(8 * time.Second); cached {
			j.roomTill = until
		} else {
			j.preempted = until
		}
		for _, v := range c.victims {
			n.log.Info("task stopped for another job", "task", protocol.TaskID(v.job.id, v.task), "for", j.id, "machine", c.m.name)
			borrowed[v.job.team] -= v.job.need.GPUs
			n.stopTask(v.job, v.task)
		}
		n.stopNow(c.m)
	}
	return made
}

// gather picks, for a gang, what to stop so that together with what is free
// all of it fits, in one zone if it must be. What is free there is kept for it
// from jobs of no higher priority while the others leave.
func (n *Node) gather(s *share, j *job, choices []*sacrifice, now time.Time) ([]*sacrifice, int) {
	zoneOf := func(m *machine) string {
		if j.spec.OneZone {
			return m.rec.Zone
		}
		return ""
	}
	free := map[string][]*machine{}
	room := map[string]int{}
	for _, m := range s.machines {
		if k := n.free(m).Times(j.need); k > 0 && allowed(j.spec, m.rec.Type, m.rec.Zone, m.rec.Spot) && n.usable(m, now) && !m.keptFrom(j, now) {
			free[zoneOf(m)] = append(free[zoneOf(m)], m)
			room[zoneOf(m)] += k
		}
	}
	byZone := map[string][]*sacrifice{}
	loss, gain := map[string]float64{}, map[string]int{}
	for _, c := range choices { // cheapest first
		z := zoneOf(c.m)
		if slices.Contains(free[z], c.m) || room[z]+gain[z] >= len(j.tasks) {
			continue
		}
		byZone[z] = append(byZone[z], c)
		gain[z] += c.gain
		loss[z] += c.loss
	}
	best, found := "", false
	for z := range byZone {
		if room[z]+gain[z] >= len(j.tasks) && (!found || loss[z] < loss[best] || loss[z] == loss[best] && z < best) {
			best, found = z, true
		}
	}
	if !found {
		return nil, 0
	}
	keep := free[best]
	for _, c := range byZone[best] {
		keep = append(keep, c.m)
	}
	for _, m := range keep {
		m.earmark, m.earmarkTo = j, now.Add(8*time.Second)
	}
	return byZone[best], len(j.tasks) - room[best]
}

// keptFrom says whether a machine is kept for a gang from a job.
func (m *machine) keptFrom(j *job, now time.Time) bool {
	return m.earmark != nil && m.earmark != j && now.Before(m.earmarkTo) && j.rank >= m.earmark.rank && m.earmark.nWaiting() > 0
}

// within says whether a fits into a guarantee (0: none of that kind given).
func (a Amounts) within(g Amounts) bool {
	return (g.GPUs > 0 || g.CPUs > 0) && (g.GPUs == 0 || a.GPUs <= g.GPUs+slack) && (g.CPUs == 0 || a.CPUs <= g.CPUs+slack)
}

func (n *Node) stopping(m *machine) bool {
	for k := range m.on {
		if n.unwanted(k.job, &k.job.tasks[k.task]) {
			return true
		}
	}
	return false
}

// sacrifice is what stopping some tasks of a machine would bring.
type sacrifice struct {
	m       *machine
	victims []victim
	gain    int     // tasks of the job that would fit in addition
	loss    float64 // seconds of work lost, and of fetching the image
}

// harmLoss is how many seconds of lost work a job that misses its aim for being
// stopped counts for.
const harmLoss = 120

// sacrifice finds the cheapest tasks of m to stop so that up to r more tasks of j fit.
func (n *Node) sacrifice(m *machine, j *job, r int, within, cached bool, borrowed map[int]float64, now time.Time) *sacrifice {
	type cand struct {
		victim
		loss float64
	}
	var cands []cand
	for k := range m.on {
		v, t := k.job, &k.job.tasks[k.task]
		if t.phase != placed || t.fact != noFact || v.spec.Shape == protocol.Gang && len(v.tasks) > 1 {
			continue
		}
		lends := within && v.team != j.team && v.rank >= protocol.High && borrowed[v.team] >= v.need.GPUs-slack && v.need.GPUs > 0
		if v.rank <= j.rank && !lends {
			continue
		}
		loss := v.stopLoss(t, now)
		if lends && v.rank <= j.rank && v.spec.CheckpointS == 0 && loss > v.spec.EstimateS/3 {
			continue // it gives its place back soon by itself
		}
		if n.harms(v, t, now) {
			if cached {
				continue // a late fetch is not worse than a late job
			}
			loss += harmLoss
		}
		cands = append(cands, cand{victim{v, k.task, v.rank <= j.rank}, loss})
	}
	slices.SortFunc(cands, func(a, b cand) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.task, b.task))
	})
	c := &sacrifice{m: m, loss: n.cost(m, j.spec)}
	free := n.free(m)
	before := free.Times(j.need)
	taken := map[int]float64{}
	for _, x := range cands {
		if free.Times(j.need)-before >= r {
			break
		}
		if taken[x.job.team] += x.job.need.GPUs; x.lends && taken[x.job.team] > borrowed[x.job.team]+slack {
			continue
		}
		free = free.Add(x.job.need, 1)
		c.victims = append(c.victims, x.victim)
		c.loss += x.loss
	}
	c.gain = min(r, free.Times(j.need)-before)
	if c.gain <= 0 || len(c.victims) == 0 {
		return nil
	}
	return c
}

func compareNames(a, b string) int { return cmp.Compare(a, b) }
