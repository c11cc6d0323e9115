package node

import (
	"context"
	"time"
)

// What a node sees of the workers, and what it must not conclude from troubles of
// its own: silence is evidence against a worker only while this node itself runs
// and can be reached.

// stallGap is how long the actor must have done nothing to have stood still. A
// process may be stopped for seconds or minutes while its clocks run on; then
// nobody has been silent but itself.
const stallGap = 1500 * time.Millisecond

// turn notes that the actor runs, and whether it stood still before.
func (n *Node) turn(now time.Time) {
	if gap := now.Sub(n.eyes.lastTurn); !n.eyes.lastTurn.IsZero() && gap > stallGap {
		n.log.Info("this node stood still", "seconds", round(gap.Seconds()))
		n.eyes.awake = now
		n.replan = true
	}
	n.eyes.lastTurn = now
}

// later is the latest of some times.
func later(t time.Time, more ...time.Time) time.Time {
	for _, o := range more {
		if o.After(t) {
			t = o
		}
	}
	return t
}

// lastHeard is since when a machine that is up is silent: since its last report, or
// since this node took its share, but not while this node stood still.
func (n *Node) lastHeard(m *machine) time.Time {
	last := m.heard
	if last.IsZero() {
		last = m.added
	}
	// What this node turned away may be this machine, but for no longer than a lease: then
	// its worker has ended its tasks by itself.
	shut := n.eyes.shut
	if most := last.Add(n.seconds(n.cfg.Params.Workers.LeaseS)); shut.After(most) {
		shut = most
	}
	return later(last, n.eyes.awake, shut)
}

// noteShut notes that this node turns workers' connections away: their silence is its own
// doing then. (At three times the fleet, with two of three controllers standing still, the
// third returned 1,094 machines in a second for a silence that it had made itself.)
func (n *Node) noteShut(now time.Time) {
	if n.Closed == nil {
		return
	}
	if c := n.Closed(); c != n.eyes.closed {
		n.eyes.closed, n.eyes.shut = c, now
	}
}

// wasUp says whether a machine is known to have booted, by this node or by an
// earlier holder, which stored its address.
func (m *machine) wasUp() bool { return !m.heard.IsZero() || m.rec.Addr != "" }

// fewWorkers is how many machines must be up for their silence to mean anything.
const fewWorkers = 3

// blindAfter is for how long a node must not have heard any worker, in spite of
// asking some, to be taken for cut off from them. What is left of a lease must
// suffice for another node to take over.
func (n *Node) blindAfter() time.Duration {
	return time.Duration(min(5, max(2, 0.3*n.cfg.Params.Workers.LeaseS)) * float64(time.Second))
}

// probePause is how often a node that hears no worker asks some.
const probePause = 700 * time.Millisecond

// watchWorkers asks a few workers how they are if none has been heard for a moment:
// a node without shares, which gets no reports, cannot know otherwise whether it
// would hear them. (Seen on a simulated day: a controller that had lost the workers
// gave its shares up, was handed one back for being idle, and 22 s later returned
// all its 1,300 machines for being silent.)
func (n *Node) watchWorkers(now time.Time) {
	var up []*machine
	for _, m := range n.machines {
		if m.known && m.addr != "" && m.wasUp() && !m.returning && !m.gone {
			up = append(up, m)
		}
	}
	few := len(up) < fewWorkers
	n.eyes.blind.Store(!few && now.Sub(n.eyes.heard) > n.blindAfter())
	if few || n.eyes.probing > 0 || now.Sub(n.eyes.heard) < probePause || now.Sub(n.eyes.lastProbe) < probePause {
		return
	}
	n.eyes.lastProbe = now
	for range fewWorkers {
		addr := up[n.rng.IntN(len(up))].addr
		n.eyes.probing++
		n.spawn(func(ctx context.Context) {
			_, err := n.workers.Inspect(ctx, addr)
			n.post(func() {
				n.eyes.probing--
				if err == nil {
					n.saw(time.Now())
				}
			})
		})
	}
}

// saw notes that a worker was heard.
func (n *Node) saw(now time.Time) {
	n.eyes.heard = now
	n.eyes.blind.Store(false)
}

// served says whether a sibling could take a share over: it is heard, has the state
// service and hears workers.
func (n *Node) serves(node string, now time.Time) bool {
	s := n.siblings[node]
	return n.hears(node, now) && s.stateOK && !s.blind
}

// checkSight gives the shares up if this node is cut off from the workers and
// another one is not, or may not be.
func (n *Node) checkSight(now time.Time) {
	if n.sinceContact(now) > 2*time.Second || now.Sub(n.lastRelease) < 5*time.Second || len(n.nodes) < 2 || n.heldShares() == 0 {
		return
	}
	blind := n.eyes.blind.Load() && now.Sub(later(n.eyes.heard, n.eyes.awake)) > n.blindAfter()
	other, unknown := false, false
	for name := range n.siblings {
		_, lives := n.nodes[name]
		other = other || n.serves(name, now)
		unknown = unknown || lives && !n.hears(name, now)
	}
	if !blind || !other && !(unknown && n.quietPart(now, "") >= 0.8) {
		return
	}
	for _, s := range n.shares {
		if n.mine(s) && !s.pending {
			n.giveUp(s, "workers are not heard", now)
		}
	}
}

// quietPart is the part of the machines of the shares held that were up and are
// silent, in a zone or (with no name) everywhere; 0 if there are too few to tell.
func (n *Node) quietPart(now time.Time, zone string) float64 {
	all, quiet := 0, 0
	for _, s := range n.shares {
		if !n.mine(s) {
			continue
		}
		for _, m := range s.machines {
			if m.wasUp() && (zone == "" || m.rec.Zone == zone) {
				all++
				if n.silent(m, now) {
					quiet++
				}
			}
		}
	}
	if all < fewWorkers {
		return 0
	}
	return float64(quiet) / float64(all)
}
