package node

import (
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/protocol"
)

// What decisions see of the actor's state. The actor changes machines, jobs and teams;
// package decide sees facts about them, kept in an index so that a look need not walk
// the fleet. Whoever changes something of a machine that facts are made of calls touch;
// the facts are made anew before the next decision. This file may read all of a
// machine's and a job's state and writes nothing but facts.

// Names from package decide that the actor's state is made of.
type (
	Amounts = decide.Amounts
	Window  = decide.Window
	offer   = decide.Offer
)

const slack = decide.Slack

// touch notes that something of a machine has changed.
func (n *Node) touch(m *machine) {
	if m != nil && !m.stale {
		m.stale = true
		n.seen.stale = append(n.seen.stale, m)
	}
}

// touchJob notes that something of a job has changed which its machines' facts tell.
func (n *Node) touchJob(j *job) {
	for i := range j.tasks {
		n.touch(j.tasks[i].machine)
	}
}

func (n *Node) touchAll() {
	for _, m := range n.machines {
		n.touch(m)
	}
}

// syncIndex makes the facts of all machines that were touched anew.
func (n *Node) syncIndex(now time.Time) {
	if shut := n.shut(now); shut != n.seen.wasShut {
		n.seen.wasShut = shut // with the site's lease jobs of the gateway may not run: no event tells
		n.touchAll()
	}
	for _, m := range n.seen.stale {
		n.factsOf(m)
	}
	n.seen.stale = n.seen.stale[:0]
}

// factsOf are a machine's facts as they are now.
func (n *Node) factsOf(m *machine) *decide.Machine {
	if m.stale {
		m.stale = false
		if n.machines[m.name] != m {
			n.seen.index.Remove(&m.facts)
			return &m.facts
		}
		f := n.machineFacts(m)
		n.seen.index.Set(&m.facts, &f)
	}
	return &m.facts
}

func (n *Node) machineFacts(m *machine) decide.Machine {
	t := n.types[m.rec.Type]
	f := decide.Machine{Name: m.name, Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot, Share: m.rec.Share, Used: m.used, SecPerGB: decide.SecondsPerGB(t, m.secPerGB),
		AvoidTill: m.avoidTill, Heard: m.heard, Addressed: m.rec.Addr != "", EarmarkTo: m.earmarkTo, Reserved: m.reserved, Needed: m.needed}
	if t != nil {
		f.HasType, f.Size = true, decide.SizeOf(t)
	}
	for _, b := range [...]struct {
		is  bool
		bit decide.Block
	}{{!m.known, decide.NoRecord}, {!m.fenced, decide.Unfenced}, {m.notice, decide.Notice}, {m.returning, decide.Returning}, {m.gone, decide.Gone},
		{m.moving, decide.Moving}, {m.heldBack, decide.HeldBack}, {len(m.doubt) > 0, decide.Doubt}, {n.faulty(m), decide.Faulty}} {
		if b.is {
			f.Block |= b.bit
		}
	}
	if m.unreported() {
		f.Heard = m.heard.Add(-n.silentLimit()) // silent at once: a start would end with the lease
	}
	for _, im := range m.images {
		f.Images = append(f.Images, im.Name)
	}
	for im := range m.fetchSince {
		f.Images = append(f.Images, im)
	}
	for k := range m.on {
		t := &k.job.tasks[k.task]
		f.Held = append(f.Held, decide.Held{Job: &k.job.facts, Task: k.task, Since: t.since, Settled: t.phase == placed && t.fact == noFact, Unwanted: n.unwanted(k.job, t)})
	}
	if m.earmark != nil {
		f.Earmark = &m.earmark.facts
	}
	return f
}

// jobFacts are a job's facts as they are now. What is counted by tasks is kept up by
// setPhase.
func (n *Node) jobFacts(j *job, now time.Time) *decide.Job {
	f := &j.facts
	f.Pausing = 0
	if j.errored {
		f.Pausing = j.nWaiting() - j.tryable(now)
	}
	f.Cancelled, f.Abandon, f.Busy, f.Closed = j.cancelled, j.abandon, j.busy, n.closed(j, now)
	f.Mistake, f.Tries, f.LastError, f.Heavy = j.trouble.mistake, j.trouble.tries, j.trouble.last, j.heavy
	f.NotBefore, f.RoomTill, f.Preempted, f.NoVictims = j.notBefore, j.roomTill, j.preempted, j.noVictims
	f.ReservedSince, f.ReserveAfter, f.ExpectedStart, f.KeptOff = j.reservedSince, j.reserveAfter, j.expectedStart, j.keptOff
	return f
}

// boundFacts are a job's facts with the zones that its tasks are in, if they bind it.
func (n *Node) boundFacts(j *job, now time.Time) *decide.Job {
	f := n.jobFacts(j, now)
	f.Zones = nil
	if j.spec.OneZone || j.spec.Spread {
		f.Zones = map[string]int{}
		for i := range j.tasks {
			if m := j.tasks[i].machine; m != nil {
				f.Zones[m.rec.Zone]++
			}
		}
	}
	return f
}

func newJobFacts(j *job) decide.Job {
	return decide.Job{ID: j.id, Spec: j.spec, Team: j.team, Share: j.share, Rank: j.rank, Need: j.need, Tasks: len(j.tasks),
		Submitted: j.submitted, Seen: j.seen, Waiting: j.nWaiting(), Step: j.step != nil}
}

// view is one look at a share.
func (n *Node) view(s *share, now time.Time) *decide.View {
	n.syncIndex(now)
	v := &decide.View{Now: now, Share: s.index, Keep: n.mine(s) && !s.square.MayDisplace(), Types: n.types, Index: n.seen.index, Wanted: n.wantedTypes(now),
		Config: decide.Config{ReportS: n.cfg.Params.Workers.ReportS, Aims: n.cfg.Params.Aims, MoveS: n.policy.MoveS}}
	for _, t := range n.teams {
		v.Teams = append(v.Teams, &t.Team)
	}
	return v
}

// wantedFor is how long it holds which types work with GPUs could use.
const wantedFor = 2 * time.Second

// wantedTypes are the types that work with GPUs could use: jobs that are there, of any
// share, and those that came lately.
func (n *Node) wantedTypes(now time.Time) map[string]bool {
	if n.seen.wanted != nil && now.Sub(n.seen.wantedAt) < wantedFor {
		return n.seen.wanted
	}
	n.seen.wanted, n.seen.wantedAt = map[string]bool{}, now
	for _, j := range n.jobs {
		decide.Want(n.seen.wanted, n.types, j.spec)
	}
	for _, s := range n.shares {
		for _, a := range decide.Remembered(s.recent, now) {
			decide.Want(n.seen.wanted, n.types, a.Spec)
		}
	}
	return n.seen.wanted
}

// usable says whether new tasks may be placed on a machine.
func (n *Node) usable(m *machine, now time.Time) bool {
	return n.factsOf(m).Usable(now, n.cfg.Params.Workers.ReportS)
}

// free is what a machine has left.
func (n *Node) free(m *machine) Amounts { return n.factsOf(m).Free() }

// hasRoom says whether another task could start on a machine.
func (n *Node) hasRoom(m *machine) bool { return n.factsOf(m).HasRoom() }

// stopping says whether something on a machine is to leave it.
func (n *Node) stopping(m *machine) bool {
	for k := range m.on {
		if n.unwanted(k.job, &k.job.tasks[k.task]) {
			return true
		}
	}
	return false
}

// wants is how many tasks of a job room should be made for.
func (n *Node) wants(j *job, now time.Time) int {
	return decide.Wants(n.jobFacts(j, now), &n.teams[j.team].Team, now)
}

// guest says whether a job's team has no guarantee.
func (n *Node) guest(j *job) bool { return n.teams[j.team].Guest() }

// onlyGuests says whether all that a machine has to do is guests' work.
func (n *Node) onlyGuests(m *machine) bool {
	for k := range m.on {
		if !n.guest(k.job) {
			return false
		}
	}
	return true
}

// overLimit says whether what is counted for a team is more than it may use: then
// nothing of it is started, whatever is recorded.
func (n *Node) overLimit(team int) bool { return n.teams[team].Over() }

// size is what a machine of a type has.
func size(t *protocol.MachineType) Amounts { return decide.SizeOf(t) }
