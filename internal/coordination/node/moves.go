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

// Moving machines between partitions: the leader plans the moves, and the owner of the partition
// that a machine leaves hands the machine over.

// maxMoves is the number of machines that one plan may name.
const maxMoves = 60

// planMoves tells the owners of partitions without waiting tasks to hand free machines to
// partitions with waiting tasks: those machines that the waiting tasks could use, beyond the
// capacity that is free in their own partition. Jobs of teams without a guarantee never keep a
// machine from work with a guarantee, and get only machines that nobody else needs.
func (n *Node) planMoves(now time.Time) {
	plan := n.computeMoves(now)
	if len(plan.Moves) == 0 {
		return
	}
	n.log.Info("moves planned", "machines", len(plan.Moves))
	// The write is conditional on the previous plan: an earlier plan that is executed late would
	// move machines by outdated demand.
	n.submit(&storage.Op{Purpose: uint8(forMoves), Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(0)), n.unchanged(protocol.MovesKey)},
		Writes: []storage.Write{{Put: protocol.MovesKey, Value: mustJSON(plan)}}}, func(storage.Result) {})
}

// computeMoves returns the leader's plan as of now.
func (n *Node) computeMoves(now time.Time) (plan protocol.MovesRecord) {
	guaranteed := make([][]*decide.Job, len(n.partitions)) // jobs with a guarantee that wait in each partition
	unguaranteed := make([][]*decide.Job, len(n.partitions))
	anyWaits := false
	for i := range n.partitions {
		for _, j := range n.partitions[i].jobs {
			switch {
			case n.preemptionDemand(j, now) == 0:
				continue
			case n.unguaranteed(j):
				unguaranteed[i] = append(unguaranteed[i], n.jobFactsWithZones(j, now))
			default:
				guaranteed[i] = append(guaranteed[i], n.jobFactsWithZones(j, now))
			}
			anyWaits = true
		}
	}
	if !anyWaits {
		return plan
	}
	for _, m := range n.view(n.partitions[0], now).PlanMoves(guaranteed, unguaranteed, maxMoves) {
		plan.Moves = append(plan.Moves, protocol.Move{Machine: m.Machine.Name, Partition: m.Partition, OnlyIfUnneeded: m.OnlyIfUnneeded, Rank: m.Rank, Drain: m.Drain})
	}
	return plan
}

// guaranteedWorkWaits reports whether work with a guarantee waits for machines in a partition.
func (n *Node) guaranteedWorkWaits(index int, now time.Time) bool {
	return slices.ContainsFunc(n.partitions[index].jobs, func(j *job) bool { return !n.unguaranteed(j) && n.preemptionDemand(j, now) > 0 })
}

// anyGuaranteedWorkWaits reports whether work with a guarantee waits in any partition.
func (n *Node) anyGuaranteedWorkWaits(now time.Time) bool {
	return slices.ContainsFunc(n.partitions, func(p *partition) bool { return n.guaranteedWorkWaits(p.index, now) })
}

// neededByOwnPartition reports whether an equally or more urgent job of the machine's own partition
// waits for it.
func (n *Node) neededByOwnPartition(m *machine, rank int, now time.Time) bool {
	t := n.machineTypes[m.rec.Type]
	if t == nil {
		return true
	}
	return slices.ContainsFunc(n.partitions[m.rec.Partition].jobs, func(j *job) bool {
		return !n.unguaranteed(j) && j.rank <= rank && n.preemptionDemand(j, now) > 0 && decide.SizeOf(t).TaskCount(j.need) > 0 &&
			decide.Allowed(j.spec, offer{Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot})
	})
}

// allOutranked reports whether all tasks on a machine are less urgent than a rank and may be
// stopped.
func (n *Node) allOutranked(m *machine, rank int) bool {
	for k := range m.tasks {
		t := &k.job.tasks[k.task]
		if k.job.rank <= rank || k.job.spec.Shape == protocol.Gang && len(k.job.tasks) > 1 || t.phase != phasePlaced {
			return false
		}
	}
	return true
}

// canRelocateTasks reports whether all tasks on a machine that are at least as urgent as a rank
// need none of its GPUs and could run elsewhere in the partition, and the others may be stopped.
func (n *Node) canRelocateTasks(m *machine, rank int, now time.Time) bool {
	return n.view(n.partitions[m.rec.Partition], now).CanRelocate(n.currentFacts(m), rank)
}

// moveReservation is how long nothing is placed on a machine whose tasks are being stopped for a
// move.
const moveReservation = 12 * time.Second

// onMoves hands over the planned machines of this node's partitions that are still free: first
// nothing more is placed on them, then one conditional write moves them under a new token. If tasks
// of teams without a guarantee run on a machine, they are stopped first, and a later plan moves the
// machine once they are gone.
func (n *Node) onMoves(plan protocol.MovesRecord) {
	type path struct{ from, to int }
	byPath := map[path][]*machine{}
	now := time.Now()
	for _, move := range plan.Moves {
		m := n.machines[move.Machine]
		if m == nil || !m.recorded || m.moving || m.returning || m.returned ||
			move.Partition < 0 || move.Partition >= len(n.partitions) || move.Partition == m.rec.Partition || !n.owns(n.partitions[m.rec.Partition]) ||
			n.neededByOwnPartition(m, move.Rank, now) || move.OnlyIfUnneeded && (m.needed || n.hasWaitingTasks(m.rec.Partition, now)) ||
			!m.fenced && n.partitions[m.rec.Partition].reconciliation.AwaitingReport(m.name) {
			continue
		}
		if len(m.tasks) > 0 {
			if !move.OnlyIfUnneeded {
				n.emptyForMove(m, move, now)
			}
			continue
		}
		if m.batch.storing || n.isLent(m) {
			continue
		}
		p := path{m.rec.Partition, move.Partition}
		byPath[p] = append(byPath[p], m)
	}
	for p, machines := range byPath {
		if count := n.takeBudget(start.Move, len(machines)); count > 0 {
			n.moveMachines(machines[:count], p.from, p.to)
		}
	}
}

// emptyForMove stops placing tasks on a machine that should go to another partition, so that a
// later plan can move it. Tasks of teams without a guarantee, less urgent tasks and tasks that can
// run elsewhere are stopped, unless the plan says to wait for their end.
func (n *Node) emptyForMove(m *machine, move protocol.Move, now time.Time) {
	if move.Drain {
		if n.view(n.partitions[m.rec.Partition], now).DrainsSoon(n.currentFacts(m)) {
			m.avoidUntil = latest(m.avoidUntil, now.Add(drainInterval))
			n.markStale(m)
		}
		return
	}
	unguaranteedOnly := n.onlyUnguaranteed(m) && !n.guaranteedWorkWaits(m.rec.Partition, now)
	if !unguaranteedOnly && !n.allOutranked(m, move.Rank) && !n.canRelocateTasks(m, move.Rank, now) || n.hasStoppingTask(m) {
		return
	}
	n.log.Info("work stopped for another share", "machine", m.name, "tasks", len(m.tasks), "share", move.Partition, "guests", unguaranteedOnly)
	m.avoidUntil = now.Add(moveReservation)
	n.markStale(m)
	for k := range m.tasks {
		n.stopTask(k.job, k.task)
	}
	n.sendStops(m)
}

// drainInterval is how long a plan keeps new tasks off a machine whose tasks end by themselves:
// until the next plans, which name the machine again if it is still wanted.
const drainInterval = 4 * time.Second

// handover is a move of machines to another partition, or to a higher token in their own.
type handover struct {
	from, to int
	machines []*machine
	batches  []*batch // that contain their records
}

// moveMachines hands machines over to a partition. They get a token above all earlier ones, which
// is allocated in a write of its own: all controllers increment the same counter, and a move of
// many machines waits so long for its many writes that, with the counter among its conditions, it
// lost against the small writes of others again and again. (In a simulation 30 empty machines were
// to be moved every 3 s for a minute and a half, in vain, while 4,000 tasks waited for them.)
func (n *Node) moveMachines(machines []*machine, from, to int) {
	h := n.prepareHandover(machines, from, to)
	if len(h.machines) == 0 {
		return
	}
	token, reservation := n.reserveTokens()
	n.submit(&storage.Op{
		Purpose: uint8(forMoves),
		Conds:   []storage.Cond{n.unchanged(protocol.OwnerKey(from)), n.unchanged(protocol.TokenCounterKey)},
		Writes:  []storage.Write{reservation},
	}, func(r storage.Result) {
		if r.OK {
			n.storeHandover(h, token)
			return
		}
		n.log.Info("machines not moved: no token", "machines", len(h.machines), "from", from, "to", to, "conflicts", r.Failed, "why", r.Err)
		n.endHandover(h)
	})
}

// prepareHandover selects the machines that one write can move and stops placing tasks on them.
func (n *Node) prepareHandover(machines []*machine, from, to int) *handover {
	h := &handover{from: from, to: to}
	capacity := n.batchCapacity(machines[0].rec)
	for _, m := range machines {
		if len(h.machines) == capacity {
			break
		}
		if !slices.Contains(h.batches, m.batch) {
			// The new batch and each batch that shrinks take one write each.
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

// storeHandover moves machines into a new batch under a token that was allocated for them. The
// write is conditional on the batches that they leave, so that of the same write sent twice one at
// most is executed. The token is above those of the machines and of the partition's owner as they
// are now, and the conditions ensure that these are unchanged when the write is executed.
func (n *Node) storeHandover(h *handover, token uint64) {
	newBatch := protocol.BatchRecord{Partition: h.to, Token: token, ReservedTokens: reservedTokens}
	moving := map[string]bool{}
	var sources []*batch
	for _, m := range h.machines {
		if !n.canHandOver(h, m, token) {
			continue
		}
		rec := m.rec
		rec.Addr = m.addr
		newBatch.Machines = append(newBatch.Machines, rec)
		moving[m.name] = true
		if !slices.Contains(sources, m.batch) {
			sources = append(sources, m.batch)
		}
	}
	if len(moving) == 0 {
		n.endHandover(h)
		return
	}
	// The new batch comes first, so that a machine is never seen without a batch.
	key := protocol.BatchKey(fmt.Sprintf("m-%d-%d", h.to, token))
	op := &storage.Op{
		Purpose: uint8(forMoves),
		Conds:   []storage.Cond{n.unchanged(protocol.OwnerKey(h.from)), {Key: key}},
		Writes:  []storage.Write{{Put: key, Value: mustJSON(newBatch)}},
	}
	for _, b := range sources {
		op.Conds = append(op.Conds, n.unchanged(b.key))
		op.Writes = append(op.Writes, b.writeKeeping(func(r *protocol.MachineRecord) bool { return !moving[r.Name] }))
	}
	n.submit(op, func(r storage.Result) {
		n.endHandover(h)
		n.log.Info("machines moved", "machines", len(moving), "from", h.from, "to", h.to, "ok", r.OK, "conflicts", r.Failed)
	})
}

// canHandOver reports whether a machine is still as it was selected, and its partition is still
// owned under a lower token than the one that the machine is to get.
func (n *Node) canHandOver(h *handover, m *machine, token uint64) bool {
	return n.machines[m.name] == m && m.recorded && m.moving && !m.returned && !m.returning &&
		m.rec.Partition == h.from && slices.Contains(h.batches, m.batch) && n.owns(n.partitions[h.from]) && n.fencingToken(m) < token
}

// endHandover releases the selected machines and batches; moved machines are in another partition
// by now.
func (n *Node) endHandover(h *handover) {
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

// hasWaitingTasks reports whether tasks of a partition wait for a machine.
func (n *Node) hasWaitingTasks(index int, now time.Time) bool {
	return slices.ContainsFunc(n.partitions[index].jobs, func(j *job) bool { return n.preemptionDemand(j, now) > 0 })
}
