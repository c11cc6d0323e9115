package node

import (
	"fmt"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/start"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// Machines that move between shares: the leader plans, the holder of the share that a machine
// leaves hands it over.

// mostMoves is how many machines one plan names.
const mostMoves = 60

// planMoves tells holders of shares without waiting tasks to hand free
// machines to shares with them: those that what waits could use, beyond what
// is free where it waits. Work of guest teams is no reason to keep a machine from
// work with a guarantee, and gets only machines that nobody needs.
func (n *Node) planMoves(now time.Time) {
	mv := n.computeMoves(now)
	if len(mv.Moves) == 0 {
		return
	}
	n.log.Info("moves planned", "machines", len(mv.Moves))
	// On the condition of the plan before: an earlier plan that is executed late would hand
	// over machines by what was wanted then.
	n.submit(&storage.Op{Purpose: uint8(forMoves), Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(0)), n.unchanged(protocol.MovesKey)},
		Writes: []storage.Write{{Put: protocol.MovesKey, Value: mustJSON(mv)}}}, func(storage.Result) {})
}

// computeMoves is the leader's plan for now.
func (n *Node) computeMoves(now time.Time) (mv protocol.MovesRecord) {
	claims := make([][]*decide.Job, len(n.partitions)) // jobs that wait in each share
	guests := make([][]*decide.Job, len(n.partitions))
	any := false
	for i := range n.partitions {
		for _, j := range n.partitions[i].jobs {
			switch {
			case n.preemptionDemand(j, now) == 0:
				continue
			case n.unguaranteed(j):
				guests[i] = append(guests[i], n.jobFactsWithZones(j, now))
			default:
				claims[i] = append(claims[i], n.jobFactsWithZones(j, now))
			}
			any = true
		}
	}
	if !any {
		return mv
	}
	for _, m := range n.view(n.partitions[0], now).PlanMoves(claims, guests, mostMoves) {
		mv.Moves = append(mv.Moves, protocol.Move{Machine: m.Machine.Name, Partition: m.Partition, OnlyIfUnneeded: m.OnlyIfUnneeded, Rank: m.Rank, Drain: m.Drain})
	}
	return mv
}

// guaranteedWorkWaits says whether work with a guarantee waits for machines in a share.
func (n *Node) guaranteedWorkWaits(share int, now time.Time) bool {
	return slices.ContainsFunc(n.partitions[share].jobs, func(j *job) bool { return !n.unguaranteed(j) && n.preemptionDemand(j, now) > 0 })
}

// anyGuaranteedWorkWaits says whether work with a guarantee waits in any share.
func (n *Node) anyGuaranteedWorkWaits(now time.Time) bool {
	return slices.ContainsFunc(n.partitions, func(s *partition) bool { return n.guaranteedWorkWaits(s.index, now) })
}

// keeps says whether a job of a machine's own share that is as urgent waits for it.
func (n *Node) keeps(m *machine, rank int, now time.Time) bool {
	t := n.machineTypes[m.rec.Type]
	if t == nil {
		return true
	}
	return slices.ContainsFunc(n.partitions[m.rec.Partition].jobs, func(j *job) bool {
		return !n.unguaranteed(j) && j.rank <= rank && n.preemptionDemand(j, now) > 0 && decide.SizeOf(t).TaskCount(j.need) > 0 &&
			decide.Allowed(j.spec, offer{Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot})
	})
}

// outranked says whether all that is on a machine is less urgent than a rank, and may be
// stopped.
func (n *Node) outranked(m *machine, rank int) bool {
	for k := range m.tasks {
		t := &k.job.tasks[k.task]
		if k.job.rank <= rank || k.job.spec.Shape == protocol.Gang && len(k.job.tasks) > 1 || t.phase != phasePlaced {
			return false
		}
	}
	return true
}

// shifts says whether what is as urgent on a machine needs none of its GPUs and could run
// elsewhere in its share, and the rest may be stopped.
func (n *Node) shifts(m *machine, rank int, now time.Time) bool {
	return n.view(n.partitions[m.rec.Partition], now).CanRelocate(n.currentFacts(m), rank)
}

// reserveTime is how long nothing is placed on a machine that guests' work is being
// moved off, so that it can be handed over.
const reserveTime = 12 * time.Second

// onMoves hands over the machines of ours that are still free: placing there
// stops first, then one conditional write moves them under a new token. Guests' work
// is stopped first; the machine goes when it has left, by a later plan.
func (n *Node) onMoves(mv protocol.MovesRecord) {
	type path struct{ from, to int }
	going := map[path][]*machine{}
	now := time.Now()
	for _, x := range mv.Moves {
		m := n.machines[x.Machine]
		if m == nil || !m.recorded || m.moving || m.returning || m.returned ||
			x.Partition < 0 || x.Partition >= len(n.partitions) || x.Partition == m.rec.Partition || !n.owns(n.partitions[m.rec.Partition]) ||
			n.keeps(m, x.Rank, now) || x.OnlyIfUnneeded && (m.needed || n.hasWaitingTasks(m.rec.Partition, now)) ||
			!m.fenced && n.partitions[m.rec.Partition].reconciliation.AwaitingReport(m.name) {
			continue
		}
		if len(m.tasks) > 0 {
			if !x.OnlyIfUnneeded {
				n.emptyForMove(m, x, now)
			}
			continue
		}
		if m.batch.storing {
			continue
		}
		p := path{m.rec.Partition, x.Partition}
		going[p] = append(going[p], m)
	}
	for p, ms := range going {
		if k := n.takeBudget(start.Move, len(ms)); k > 0 {
			n.moveMachines(ms[:k], p.from, p.to)
		}
	}
}

// emptyForMove stops placing on a machine that is to go to another share, so that it can be
// handed over by a later plan. Guests' work, less urgent work and work that can run elsewhere is
// stopped, unless it is to end by itself.
func (n *Node) emptyForMove(m *machine, x protocol.Move, now time.Time) {
	if x.Drain {
		if n.view(n.partitions[m.rec.Partition], now).DrainsSoon(n.currentFacts(m)) {
			m.avoidUntil = latest(m.avoidUntil, now.Add(drainPause))
			n.markStale(m)
		}
		return
	}
	guests := n.onlyUnguaranteed(m) && !n.guaranteedWorkWaits(m.rec.Partition, now)
	if !guests && !n.outranked(m, x.Rank) && !n.shifts(m, x.Rank, now) || n.hasStoppingTask(m) {
		return
	}
	n.log.Info("work stopped for another share", "machine", m.name, "tasks", len(m.tasks), "share", x.Partition, "guests", guests)
	m.avoidUntil = now.Add(reserveTime)
	n.markStale(m)
	for k := range m.tasks {
		n.stopTask(k.job, k.task)
	}
	n.sendStops(m)
}

// drainPause is for how long a plan keeps new tasks off a machine whose own end by themselves:
// until the next plans, which name it again if it is still wanted.
const drainPause = 4 * time.Second

// handOver is machines of a share that go to another one, or get a higher token in their own.
type handOver struct {
	from, to int
	machines []*machine
	batches  []*batch // that hold their records
}

// moveMachines hands machines over to a share. They get a token above all earlier ones, which is
// raised in a change of its own: all controllers raise the same counter, and the change that
// moves many machines waits for so many writes that with the counter in it, it lost against
// the others' small ones again and again. (On a simulated day 30 empty machines were to be
// moved every 3 s for a minute and a half, in vain, while 4,000 tasks waited for them.)
func (n *Node) moveMachines(ms []*machine, from, to int) {
	h := n.handOver(ms, from, to)
	if len(h.machines) == 0 {
		return
	}
	token := n.tokenCounter + 1
	n.submit(&storage.Op{
		Purpose: uint8(forMoves),
		Conds:   []storage.Cond{n.unchanged(protocol.OwnerKey(from)), n.unchanged(protocol.TokenCounterKey)},
		Writes:  []storage.Write{{Put: protocol.TokenCounterKey, Value: mustJSON(protocol.TokenCounterRecord{Token: token})}},
	}, func(r storage.Result) {
		if r.OK {
			n.storeHandOver(h, token)
			return
		}
		n.log.Info("machines not moved: no token", "machines", len(h.machines), "from", from, "to", to, "conflicts", r.Failed, "why", r.Err)
		n.endHandOver(h)
	})
}

// handOver picks those of some machines that one change can move, and stops placing on them.
func (n *Node) handOver(ms []*machine, from, to int) *handOver {
	h := &handOver{from: from, to: to}
	room := n.batchCapacity(ms[0].rec)
	for _, m := range ms {
		if len(h.machines) == room {
			break
		}
		if !slices.Contains(h.batches, m.batch) {
			// The new batch and each batch that shrinks are a write each.
			if m.batch.storing || len(h.batches)+2 > n.cfg.Params.State.TxnOps {
				continue
			}
			m.batch.storing = true
			h.batches = append(h.batches, m.batch)
		}
		m.moving = true
		n.markStale(m)
		h.machines = append(h.machines, m)
	}
	return h
}

// storeHandOver moves machines into a record of their own, with a token that was raised for
// them. The records that they leave are conditions, so that of the same change sent twice one
// at most is executed; the token is above those of the machines and of the share's holder as
// they are now, and the conditions see to it that they still are as it is executed.
func (n *Node) storeHandOver(h *handOver, token uint64) {
	moved := protocol.BatchRecord{Partition: h.to, Token: token}
	goes := map[string]bool{}
	var shrinks []*batch
	for _, m := range h.machines {
		if !n.mayHandOver(h, m, token) {
			continue
		}
		rec := m.rec
		rec.Addr = m.addr
		moved.Machines = append(moved.Machines, rec)
		goes[m.name] = true
		if !slices.Contains(shrinks, m.batch) {
			shrinks = append(shrinks, m.batch)
		}
	}
	if len(goes) == 0 {
		n.endHandOver(h)
		return
	}
	// The new batch first: a machine is never seen without one.
	key := protocol.BatchKey(fmt.Sprintf("m-%d-%d", h.to, token))
	op := &storage.Op{
		Purpose: uint8(forMoves),
		Conds:   []storage.Cond{n.unchanged(protocol.OwnerKey(h.from)), {Key: key}},
		Writes:  []storage.Write{{Put: key, Value: mustJSON(moved)}},
	}
	for _, b := range shrinks {
		op.Conds = append(op.Conds, n.unchanged(b.key))
		op.Writes = append(op.Writes, b.writeKeeping(func(r *protocol.MachineRecord) bool { return !goes[r.Name] }))
	}
	n.submit(op, func(r storage.Result) {
		n.endHandOver(h)
		n.log.Info("machines moved", "machines", len(goes), "from", h.from, "to", h.to, "ok", r.OK, "conflicts", r.Failed)
	})
}

// mayHandOver says whether a machine still is as it was picked, and its share still is held
// under a lower token than the one that it is to get.
func (n *Node) mayHandOver(h *handOver, m *machine, token uint64) bool {
	return n.machines[m.name] == m && m.recorded && m.moving && !m.returned && !m.returning &&
		m.rec.Partition == h.from && slices.Contains(h.batches, m.batch) && n.owns(n.partitions[h.from]) && n.fencingToken(m) < token
}

// endHandOver lets what was picked be used again; what has moved is in another share by now.
func (n *Node) endHandOver(h *handOver) {
	for _, b := range h.batches {
		b.storing = false
	}
	for _, m := range h.machines {
		if n.machines[m.name] == m {
			m.moving = false
			n.markStale(m)
		}
	}
}

// hasWaitingTasks says whether a share has tasks that wait for a machine.
func (n *Node) hasWaitingTasks(share int, now time.Time) bool {
	return slices.ContainsFunc(n.partitions[share].jobs, func(j *job) bool { return n.preemptionDemand(j, now) > 0 })
}
