package node

import (
	"cmp"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/start"
	"dapplestage.example/dapplestage/internal/protocol"
)

// The actor's part in scheduling: it shows package decide how a share stands, one
// question at a time, and applies each answer before it asks the next.

// faulty says whether too much failed on a machine in a row.
func (n *Node) faulty(m *machine) bool { return m.suspicion.faulty() }

// plan places what waits on the machines of each share held, and rents for the rest.
func (n *Node) plan(now time.Time) {
	if n.sinceContact(now) > 2*time.Second {
		return // nothing could be stored
	}
	claimed := n.anyClaimed(now)
	for _, s := range n.shares {
		n.countArrivals(s)
		if !n.mine(s) || n.standing.leaving || !n.mayDecide(s, now) {
			continue
		}
		v := n.view(s, now)
		var waits []*job
		for _, j := range s.jobs {
			if j.nWaiting() == 0 || j.cancelled || j.abandon {
				n.endReservation(j, now)
				continue
			}
			if n.closed(j, now) {
				j.waits = decide.SiteWithoutLease
				continue
			}
			if !j.busy && !now.Before(j.notBefore) {
				n.place(v, j, now)
			}
			if j.trouble.mistake && len(s.machines) > 0 {
				continue // nothing is rented or stopped for it
			}
			switch {
			case j.nWaiting() == 0:
			case claimed && n.guest(j):
				j.waits = decide.GuaranteesFirst
			default:
				waits = append(waits, j)
			}
		}
		if s.square.MayDisplace() {
			n.preempt(v, waits, now)
		}
		if !now.Before(s.nextRent) && !n.awaitsStrays(now) {
			s.nextRent = now.Add(rentPause)
			n.rent(v, s, waits, now)
		}
	}
}

// rentPause is how often a share looks at what it lacks: the cloud's rate allows hardly
// more requests, and jobs come in bursts that one can cover.
const rentPause = 300 * time.Millisecond

// arrival is a recent job, from which the near future is expected.
type arrival = decide.Arrival

// countArrivals lets the share's window see new jobs in the order they came, on every
// node, so that who takes the share over has the window that its holder had. At a node's
// start these are the jobs present, so the means have a start.
func (n *Node) countArrivals(s *share) {
	if len(s.fresh) == 0 {
		return
	}
	slices.SortFunc(s.fresh, func(a, b *job) int {
		return cmp.Or(a.submitted.Compare(b.submitted), cmp.Compare(a.id, b.id))
	})
	present := len(s.jobs) - len(s.fresh)
	for _, j := range s.fresh {
		present++
		j.heavy = s.window.Arrive(present, j.spec.ImageGB) || n.policy.Greedy
	}
	clear(s.fresh)
	s.fresh = s.fresh[:0]
}

// takeBack gives up placements of less urgent jobs of a share that no change is being
// stored of yet, so that a job finds the places: they are decided anew right after. (On
// simulated days with 20 changes a second arrays held most of the free places like that
// for seconds, where nobody could stop them, and services were put where gangs should
// run.) Where the team's limit is what it lacks, they are those of its own team. It
// returns false if there are none where the job could go.
func (n *Node) takeBack(j *job, limit bool, now time.Time) bool {
	any, replan := false, n.replan
	defer func() { n.replan = replan }() // they are looked at later in this look
	could := func(o *job, m *machine) bool {
		if limit {
			return o.team == j.team
		}
		t := n.types[m.rec.Type]
		return t != nil && decide.Allowed(j.spec, offer{Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot}) && decide.SizeOf(t).Times(j.need) > 0
	}
	for o := range n.dirty {
		if o.busy || o.share != j.share || o.rank <= j.rank || o.spec.Shape == protocol.Gang {
			continue
		}
		news := false
		for i := range o.tasks {
			switch t := &o.tasks[i]; {
			case t.phase == proposed && could(o, t.machine):
				any = true
				n.setPhase(o, i, waiting, nil, 0, now)
			case t.phase == proposed || t.fact != noFact:
				news = true
			}
		}
		if news {
			continue
		}
		clear(o.taskChunk)
		if !n.unfinished(o) {
			delete(n.dirty, o)
			o.dirtyAt = time.Time{}
		}
	}
	return any
}

// place gives a job's waiting tasks the machines that are decided for them.
func (n *Node) place(v *decide.View, j *job, now time.Time) {
	p := v.Place(n.boundFacts(j, now))
	if (p.Why == decide.NoFreeMachine || p.Why == decide.GangIncomplete || p.Why == decide.TeamLimit || p.Idling || p.Room.Made()) && j.rank <= protocol.High && n.takeBack(j, p.Why == decide.TeamLimit, now) {
		n.syncIndex(now)
		p = v.Place(n.boundFacts(j, now))
	}
	if checkPlacing != nil {
		checkPlacing(n, v, &j.facts, p)
	}
	n.makeRoom(j, p.Room, true, now)
	if j.waits = p.Why; p.Why == decide.RoomIsMade {
		n.replan = true
	}
	n.keepReserved(j, p.Reserve, now)
	switch {
	case !p.KeptOff:
		j.keptOff = time.Time{}
	case j.keptOff.IsZero():
		j.keptOff = now
	}
	if len(p.On) == 0 {
		return
	}
	var tasks []int
	var to []*machine
	for i := range j.tasks {
		if len(tasks) == len(p.On) {
			break
		}
		if j.tasks[i].phase == waiting && !j.pausing(i, now) {
			to = append(to, n.machines[p.On[len(tasks)].Name])
			tasks = append(tasks, i)
		}
	}
	n.propose(j, tasks, to, now)
	n.syncIndex(now)
	n.metrics.placed.Add(float64(len(tasks)))
	n.log.Debug("placing", "job", j.id, "class", j.spec.Class, "tasks", len(tasks), "heavy", j.heavy, "waiting", j.nWaiting(), "fetch_s", p.FetchS, "after_s", now.Sub(j.seen).Seconds())
}

// keepReserved keeps for a gang what was decided to be reserved for it, and nothing else any
// more.
func (n *Node) keepReserved(j *job, r *decide.Reservation, now time.Time) {
	if now.Before(j.preempted) {
		return // room is being made, which is kept already
	}
	if r == nil || len(r.Machines) == 0 {
		n.endReservation(j, now)
		return
	}
	if j.reservedSince.IsZero() {
		j.reservedSince = now
	}
	j.expectedStart = r.ExpectedStart
	until := j.reservedSince.Add(j.facts.ReservationTime())
	keep := make([]*machine, 0, len(r.Machines))
	for _, f := range r.Machines {
		keep = append(keep, n.machines[f.Name])
	}
	for _, m := range j.reserved {
		if !slices.Contains(keep, m) {
			n.unreserve(m, j)
		}
	}
	for _, m := range keep {
		if m.earmark != j || !m.reserved || !m.earmarkTo.Equal(until) {
			m.earmark, m.earmarkTo, m.reserved = j, until, true
			n.touch(m)
		}
	}
	j.reserved = keep
	j.waits = decide.GatheringRoom
	n.jobFacts(j, now)
	n.syncIndex(now)
}

// endReservation lets others use what is reserved for a gang. If it was reserved for as
// long as it may be, they have it for a while before the gang may have another.
func (n *Node) endReservation(j *job, now time.Time) {
	if j.reservedSince.IsZero() {
		return
	}
	if j.facts.ReservationExpired(now) {
		j.reserveAfter = now.Add(decide.ReservationPause)
	}
	for _, m := range j.reserved {
		n.unreserve(m, j)
	}
	j.reserved, j.reservedSince, j.expectedStart = nil, time.Time{}, time.Time{}
	n.jobFacts(j, now)
	n.syncIndex(now)
}

// unreserve ends a machine's reservation for a gang.
func (n *Node) unreserve(m *machine, j *job) {
	if m.earmark == j && m.reserved {
		m.earmark, m.reserved = nil, false
		n.touch(m)
	}
}

// checkPlacing, if a test sets it, is shown each decision with the view it was made on.
var checkPlacing func(n *Node, v *decide.View, j *decide.Job, p decide.Placing)

// preempt makes room for jobs that found none.
func (n *Node) preempt(v *decide.View, waits []*job, now time.Time) {
	for _, j := range waits {
		if j.waits == decide.RoomIsMade {
			continue // it was just made where its image is
		}
		if j.busy || now.Before(j.preempted) || now.Before(j.noVictims) {
			continue
		}
		var room *decide.Room
		if r := n.wants(j, now); r > 0 {
			room = v.MakeRoom(n.boundFacts(j, now), r, decide.Anywhere)
		} else if j.waits == decide.TeamLimit {
			if room = v.MakeQuota(n.boundFacts(j, now)); room.Made() {
				n.unkeep(j)
				n.teams[j.team].Kept = append(n.teams[j.team].Kept, decide.Kept{Job: &j.facts, Till: now.Add(roomTime)})
			}
		} else {
			continue
		}
		if n.makeRoom(j, room, false, now); !room.Made() {
			j.noVictims = now.Add(noVictimsPause)
		}
	}
}

// unkeep forgets what of its team's limit was kept for a job, and what no longer is for
// others.
func (n *Node) unkeep(j *job) {
	tm, now := n.teams[j.team], time.Now()
	tm.Kept = slices.DeleteFunc(tm.Kept, func(k decide.Kept) bool { return k.Job == &j.facts || k.Job.Waiting == 0 || !now.Before(k.Till) })
}

// noVictimsPause is how long a job that found nobody to stop does not look
// again: looking costs a walk over all tasks of the share.
const noVictimsPause = time.Second

// roomTime is how long room that is being made is kept and waited for.
const roomTime = 8 * time.Second

// makeRoom stops what was decided to be stopped for a job.
func (n *Node) makeRoom(j *job, r *decide.Room, cached bool, now time.Time) {
	if r == nil {
		return
	}
	for _, f := range r.Keep {
		m := n.machines[f.Name]
		m.earmark, m.earmarkTo, m.reserved = j, now.Add(roomTime), false
		n.touch(m)
	}
	for _, c := range r.Stops {
		m := n.machines[c.Machine.Name]
		if until := now.Add(roomTime); cached {
			j.roomTill = until
		} else {
			j.preempted = until
		}
		for _, x := range c.Victims {
			n.log.Info("task stopped for another job", "task", protocol.TaskID(x.Job.ID, x.Task), "for", j.id, "machine", m.name)
			n.stopTask(n.jobs[x.Job.ID], x.Task)
		}
		n.stopNow(m)
	}
	n.syncIndex(now)
}

// rental is an offer asked for on behalf of a share.
type rental struct {
	share int
	offer
}

// rent asks for the machines that the waiting jobs lack beyond those on the way, and
// for those that jobs like the recent ones will need.
func (n *Node) rent(v *decide.View, s *share, waits []*job, now time.Time) {
	if len(n.types) == 0 {
		return
	}
	market := &decide.Market{Refused: n.cloudside.refusedTill}
	for r, k := range n.cloudside.renting {
		if r.share == s.index {
			market.Asked = append(market.Asked, decide.Asked{Offer: r.offer, Count: k})
		}
	}
	for _, o := range n.shares {
		if o != s && !n.shareWaits(o.index, now) {
			market.Lend = append(market.Lend, o.index)
		}
	}
	var facts []*decide.Job
	for _, j := range waits {
		facts = append(facts, n.boundFacts(j, now))
	}
	s.recent = decide.Remembered(s.recent, now)
	d := v.Rent(facts, v.Expected(s.recent, now.Sub(n.ordering.follows), n.policy.Headroom), market)
	for i, j := range waits {
		if j.waits != decide.GatheringRoom {
			j.waits = d.Why[i]
		}
	}
	for f, needed := range d.Need {
		if m := n.machines[f.Name]; m.needed != needed {
			m.needed = needed
			n.touch(m)
		}
	}
	if !n.policy.NoRents {
		n.askLargest(s, d.Want, now)
	}
}

// askLargest sends the request for the most machines if the cloud's rate allows
// one now. Asking later, not queueing, lets a request cover all that is wanted
// when it goes out.
func (n *Node) askLargest(s *share, want map[offer]int, now time.Time) {
	if now.Before(n.cloudside.nextRent) {
		return
	}
	var best rental
	most := 0
	for o, k := range want {
		r := rental{s.index, o}
		if n.cloudside.renting[r] == 0 && (k > most || k == most && compareNames(o.Zone, best.Zone) < 0) {
			best, most = r, k
		}
	}
	if most == 0 {
		return
	}
	if n.cloudside.wanted.IsZero() {
		n.cloudside.wanted = now // jobs come in bursts: look again in a moment
	}
	if now.Sub(n.cloudside.wanted) < 300*time.Millisecond {
		return
	}
	if n.allowed(start.Rent, 1) == 0 {
		return
	}
	n.cloudside.wanted = time.Time{}
	n.cloudside.nextRent = now.Add(time.Duration(float64(n.cfg.Params.Nodes) / n.cfg.Params.Cloud.RPS * float64(time.Second)))
	n.ask(s, best, min(most, 50))
}

func compareNames(a, b string) int { return cmp.Compare(a, b) }
