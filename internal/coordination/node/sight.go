package node

import (
	"context"
	"time"
)

// What a node sees of the workers, and what it must not conclude from troubles of
// its own: silence is evidence against a worker only while this node itself runs
// and can be reached.

// stallThreshold is how long the actor must have done nothing to have stood still. A
// process may be stopped for seconds or minutes while its clocks run on; then
// nobody has been silent but itself.
const stallThreshold = 1500 * time.Millisecond

// detectStall notes that the actor runs, and whether it stood still before.
func (n *Node) detectStall(now time.Time) {
	if gap := now.Sub(n.reachability.lastActive); !n.reachability.lastActive.IsZero() && gap > stallThreshold {
		n.log.Info("this node stood still", "seconds", roundToTenth(gap.Seconds()))
		n.reachability.stallEnded = now
		n.replan = true
	}
	n.reachability.lastActive = now
}

// latest is the latest of some times.
func latest(t time.Time, more ...time.Time) time.Time {
	for _, o := range more {
		if o.After(t) {
			t = o
		}
	}
	return t
}

// silentSince is since when a machine that is up is silent: since its last report, or
// since this node took its share, but not while this node stood still.
func (n *Node) silentSince(m *machine) time.Time {
	last := m.lastFencedReport
	if last.IsZero() {
		last = m.trackedSince
	}
	// What this node turned away may be this machine, but for no longer than a lease: then
	// its worker has ended its tasks by itself.
	shut := n.reachability.lastRejection
	if most := last.Add(n.seconds(n.cfg.Params.Workers.LeaseS)); shut.After(most) {
		shut = most
	}
	return latest(last, n.reachability.stallEnded, shut)
}

// noteRefusedConnections notes that this node turns workers' connections away: their silence is its own
// doing then. (At three times the fleet, with two of three controllers standing still, the
// third returned 1,094 machines in a second for a silence that it had made itself.)
func (n *Node) noteRefusedConnections(now time.Time) {
	if n.ClosedConnections == nil {
		return
	}
	if c := n.ClosedConnections(); c != n.reachability.rejectedConnections {
		n.reachability.rejectedConnections, n.reachability.lastRejection = c, now
	}
}

// hasBooted says whether a machine is known to have booted, by this node or by an
// earlier holder, which stored its address.
func (m *machine) hasBooted() bool { return !m.lastFencedReport.IsZero() || m.rec.Addr != "" }

// fewWorkers is how many machines must be up for their silence to mean anything.
const fewWorkers = 3

// workerContactTimeout is for how long a node must not have heard any worker, in spite of
// asking some, to be taken for cut off from them. What is left of a lease must
// suffice for another node to take over.
func (n *Node) workerContactTimeout() time.Duration {
	return time.Duration(min(5, max(2, 0.3*n.cfg.Params.Workers.LeaseS)) * float64(time.Second))
}

// probePause is how often a node that hears no worker asks some.
const probePause = 700 * time.Millisecond

// probeWorkers asks a few workers how they are if none has been heard for a moment:
// a node without shares, which gets no reports, cannot know otherwise whether it
// would hear them. (Seen on a simulated day: a controller that had lost the workers
// gave its shares up, was handed one back for being idle, and 22 s later returned
// all its 1,300 machines for being silent.)
func (n *Node) probeWorkers(now time.Time) {
	var up []*machine
	for _, m := range n.machines {
		if m.recorded && m.addr != "" && m.hasBooted() && !m.returning && !m.returned {
			up = append(up, m)
		}
	}
	few := len(up) < fewWorkers
	n.reachability.workersUnreachable.Store(!few && now.Sub(n.reachability.lastWorkerContact) > n.workerContactTimeout())
	if few || n.reachability.pendingProbes > 0 || now.Sub(n.reachability.lastWorkerContact) < probePause || now.Sub(n.reachability.lastProbe) < probePause {
		return
	}
	n.reachability.lastProbe = now
	for range fewWorkers {
		addr := up[n.rng.IntN(len(up))].addr
		n.reachability.pendingProbes++
		n.spawn(func(ctx context.Context) {
			_, err := n.workers.Inspect(ctx, addr)
			n.post(func() {
				n.reachability.pendingProbes--
				if err == nil {
					n.noteWorkerContact(time.Now())
				}
			})
		})
	}
}

// noteWorkerContact notes that a worker was heard.
func (n *Node) noteWorkerContact(now time.Time) {
	n.reachability.lastWorkerContact = now
	n.reachability.workersUnreachable.Store(false)
}

// served says whether a sibling could take a share over: it is heard, has the state
// service and hears workers.
func (n *Node) canTakeOver(node string, now time.Time) bool {
	s := n.peers[node]
	return n.receivesHints(node, now) && s.stateOK && !s.workersUnreachable
}

// releaseIfCutOff gives the shares up if this node is cut off from the workers and
// another one is not, or may not be.
func (n *Node) releaseIfCutOff(now time.Time) {
	if n.sinceContact(now) > 2*time.Second || now.Sub(n.lastRelease) < 5*time.Second || len(n.liveNodes) < 2 || n.ownedPartitionCount() == 0 {
		return
	}
	blind := n.reachability.workersUnreachable.Load() && now.Sub(latest(n.reachability.lastWorkerContact, n.reachability.stallEnded)) > n.workerContactTimeout()
	other, unknown := false, false
	for name := range n.peers {
		_, lives := n.liveNodes[name]
		other = other || n.canTakeOver(name, now)
		unknown = unknown || lives && !n.receivesHints(name, now)
	}
	if !blind || !other && !(unknown && n.silentFraction(now, "") >= 0.8) {
		return
	}
	for _, s := range n.partitions {
		if n.owns(s) && !s.ownerChangePending {
			n.releasePartition(s, "workers are not heard", now)
		}
	}
}

// silentFraction is the part of the machines of the shares held that were up and are
// silent, in a zone or (with no name) everywhere; 0 if there are too few to tell.
func (n *Node) silentFraction(now time.Time, zone string) float64 {
	all, quiet := 0, 0
	for _, s := range n.partitions {
		if !n.owns(s) {
			continue
		}
		for _, m := range s.machines {
			if m.hasBooted() && (zone == "" || m.rec.Zone == zone) {
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
