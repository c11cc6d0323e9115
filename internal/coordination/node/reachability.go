package node

import (
	"context"
	"time"
)

// Contact with the workers, and what must not be concluded from faults of this node: silence is
// evidence against a worker only while this node itself runs and can be reached.

// stallThreshold is how long the actor must have done nothing to count as stalled. A process may
// be suspended for seconds or minutes while the clocks go on; in that time only the node itself
// was silent.
const stallThreshold = 1500 * time.Millisecond

// detectStall records that the actor runs, and whether it was stalled before.
func (n *Node) detectStall(now time.Time) {
	if gap := now.Sub(n.reachability.lastActive); !n.reachability.lastActive.IsZero() && gap > stallThreshold {
		n.log.Info("this node stood still", "seconds", roundToTenth(gap.Seconds()))
		n.reachability.stallEnded = now
		n.replan = true
	}
	n.reachability.lastActive = now
}

// latest returns the latest of several times.
func latest(t time.Time, more ...time.Time) time.Time {
	for _, o := range more {
		if o.After(t) {
			t = o
		}
	}
	return t
}

// silentSince returns since when a running machine has been silent: since its last report, or
// since this node took over its partition. Times when this node was stalled do not count.
func (n *Node) silentSince(m *machine) time.Time {
	last := m.lastFencedReport
	if last.IsZero() {
		last = m.trackedSince
	}
	// This machine may be one whose connections this node refused, but for no longer than one
	// lease: after that the worker has ended its tasks by itself.
	rejected := n.reachability.lastRejection
	if most := last.Add(n.seconds(n.cfg.Params.Workers.LeaseS)); rejected.After(most) {
		rejected = most
	}
	return latest(last, n.reachability.stallEnded, rejected)
}

// noteRefusedConnections records that this node refuses connections of workers: their silence is
// then caused by the node itself. (At three times the fleet, with two of three controllers
// stalled, the third returned 1,094 machines in one second for a silence that it had caused.)
func (n *Node) noteRefusedConnections(now time.Time) {
	if n.ClosedConnections == nil {
		return
	}
	if c := n.ClosedConnections(); c != n.reachability.rejectedConnections {
		n.reachability.rejectedConnections, n.reachability.lastRejection = c, now
	}
}

// hasBooted reports whether a machine is known to have booted, by this node or by an earlier
// owner, which stored its address.
func (m *machine) hasBooted() bool { return !m.lastFencedReport.IsZero() || m.rec.Addr != "" }

// minWorkers is how many machines must be up before their silence is evidence of anything.
const minWorkers = 3

// workerContactTimeout is how long a node must have heard from no worker, despite probing some,
// to count as cut off from the workers. The rest of a lease must suffice for another node to take
// over.
func (n *Node) workerContactTimeout() time.Duration {
	return time.Duration(min(5, max(2, 0.3*n.cfg.Params.Workers.LeaseS)) * float64(time.Second))
}

// probeInterval is how often a node that hears from no worker probes some.
const probeInterval = 700 * time.Millisecond

// probeWorkers probes a few workers if none has been heard from for a moment. A node without
// partitions gets no reports, so it cannot know otherwise whether workers can reach it. (In a
// simulation a controller that had lost the workers released its partitions, was given one back
// because it owned none, and 22 s later returned all its 1,300 machines because they were silent.)
func (n *Node) probeWorkers(now time.Time) {
	var running []*machine
	for _, m := range n.machines {
		if m.recorded && m.addr != "" && m.hasBooted() && !m.returning && !m.returned {
			running = append(running, m)
		}
	}
	tooFew := len(running) < minWorkers
	n.reachability.workersUnreachable.Store(!tooFew && now.Sub(n.reachability.lastWorkerContact) > n.workerContactTimeout())
	if tooFew || n.reachability.pendingProbes > 0 || now.Sub(n.reachability.lastWorkerContact) < probeInterval || now.Sub(n.reachability.lastProbe) < probeInterval {
		return
	}
	n.reachability.lastProbe = now
	for range minWorkers {
		addr := running[n.rng.IntN(len(running))].addr
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

// noteWorkerContact records that a worker was heard from.
func (n *Node) noteWorkerContact(now time.Time) {
	n.reachability.lastWorkerContact = now
	n.reachability.workersUnreachable.Store(false)
}

// canTakeOver reports whether a peer could take over a partition: its hints arrive, it reaches
// the state service and it hears from workers.
func (n *Node) canTakeOver(node string, now time.Time) bool {
	s := n.peers[node]
	return n.receivesHints(node, now) && s.stateOK && !s.workersUnreachable
}

// releaseIfCutOff releases the owned partitions if this node is cut off from the workers and
// another node is not, or may not be.
func (n *Node) releaseIfCutOff(now time.Time) {
	if n.sinceContact(now) > 2*time.Second || now.Sub(n.lastRelease) < 5*time.Second || len(n.liveNodes) < 2 || n.ownedPartitionCount() == 0 {
		return
	}
	cutOff := n.reachability.workersUnreachable.Load() && now.Sub(latest(n.reachability.lastWorkerContact, n.reachability.stallEnded)) > n.workerContactTimeout()
	available, unreachable := false, false
	for name := range n.peers {
		_, lives := n.liveNodes[name]
		available = available || n.canTakeOver(name, now)
		unreachable = unreachable || lives && !n.receivesHints(name, now)
	}
	if !cutOff || !available && !(unreachable && n.silentFraction(now, "") >= 0.8) {
		return
	}
	for _, p := range n.partitions {
		if n.owns(p) && !p.ownerChangePending {
			n.releasePartition(p, "workers are not heard", now)
		}
	}
}

// silentFraction is the fraction of silent machines among the booted machines of the owned
// partitions, in a zone or (with an empty name) in all; 0 if there are too few machines.
func (n *Node) silentFraction(now time.Time, zone string) float64 {
	total, silent := 0, 0
	for _, p := range n.partitions {
		if !n.owns(p) {
			continue
		}
		for _, m := range p.machines {
			if m.hasBooted() && (zone == "" || m.rec.Zone == zone) {
				total++
				if n.silent(m, now) {
					silent++
				}
			}
		}
	}
	if total < minWorkers {
		return 0
	}
	return float64(silent) / float64(total)
}
