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
	mv := n.moves(now)
	if len(mv.Moves) == 0 {
		return
	}
	n.log.Info("moves planned", "machines", len(mv.Moves))
	// On the condition of the plan before: an earlier plan that is executed late would hand
	// over machines by what was wanted then.
	n.submit(&storage.Op{For: uint8(forMoves), Conds: []storage.Cond{n.cond(protocol.HolderKey(0)), n.cond(protocol.MovesKey)},
		Writes: []storage.Write{{Put: protocol.MovesKey, Value: mustJSON(mv)}}}, func(storage.Result) {})
}

// moves is the leader's plan for now.
func (n *Node) moves(now time.Time) (mv protocol.Moves) {
	claims := make([][]*decide.Job, len(n.shares)) // jobs that wait in each share
	guests := make([][]*decide.Job, len(n.shares))
	any := false
	for i := range n.shares {
		for _, j := range n.shares[i].jobs {
			switch {
			case n.wants(j, now) == 0:
				continue
			case n.guest(j):
				guests[i] = append(guests[i], n.boundFacts(j, now))
			default:
				claims[i] = append(claims[i], n.boundFacts(j, now))
			}
			any = true
		}
	}
	if !any {
		return mv
	}
	for _, m := range n.view(n.shares[0], now).Moves(claims, guests, mostMoves) {
		mv.Moves = append(mv.Moves, protocol.Move{Machine: m.Machine.Name, Share: m.Share, Spare: m.Spare, Rank: m.Rank})
	}
	return mv
}

// claimed says whether work with a guarantee waits for machines in a share.
func (n *Node) claimed(share int, now time.Time) bool {
	return slices.ContainsFunc(n.shares[share].jobs, func(j *job) bool { return !n.guest(j) && n.wants(j, now) > 0 })
}

// anyClaimed says whether work with a guarantee waits in any share.
func (n *Node) anyClaimed(now time.Time) bool {
	return slices.ContainsFunc(n.shares, func(s *share) bool { return n.claimed(s.index, now) })
}

// keeps says whether a job of a machine's own share that is as urgent waits for it.
func (n *Node) keeps(m *machine, rank int, now time.Time) bool {
	t := n.types[m.rec.Type]
	if t == nil {
		return true
	}
	return slices.ContainsFunc(n.shares[m.rec.Share].jobs, func(j *job) bool {
		return !n.guest(j) && j.rank <= rank && n.wants(j, now) > 0 && decide.SizeOf(t).Times(j.need) > 0 &&
			decide.Allowed(j.spec, offer{Type: m.rec.Type, Zone: m.rec.Zone, Spot: m.rec.Spot})
	})
}

// outranked says whether all that is on a machine is less urgent than a rank, and may be
// stopped.
func (n *Node) outranked(m *machine, rank int) bool {
	for k := range m.on {
		t := &k.job.tasks[k.task]
		if k.job.rank <= rank || k.job.spec.Shape == protocol.Gang && len(k.job.tasks) > 1 || t.phase != placed {
			return false
		}
	}
	return true
}

// shifts says whether what is as urgent on a machine needs none of its GPUs and could run
// elsewhere in its share, and the rest may be stopped.
func (n *Node) shifts(m *machine, rank int, now time.Time) bool {
	return n.view(n.shares[m.rec.Share], now).Shifts(n.factsOf(m), rank)
}

// reserveTime is how long nothing is placed on a machine that guests' work is being
// moved off, so that it can be handed over.
const reserveTime = 12 * time.Second

// onMoves hands over the machines of ours that are still free: placing there
// stops first, then one conditional write moves them under a new token. Guests' work
// is stopped first; the machine goes when it has left, by a later plan.
func (n *Node) onMoves(mv protocol.Moves) {
	type path struct{ from, to int }
	going := map[path][]*machine{}
	now := time.Now()
	for _, x := range mv.Moves {
		m := n.machines[x.Machine]
		if m == nil || !m.known || m.moving || m.returning || m.gone ||
			x.Share < 0 || x.Share >= len(n.shares) || x.Share == m.rec.Share || !n.mine(n.shares[m.rec.Share]) ||
			n.keeps(m, x.Rank, now) || x.Spare && (m.needed || n.shareWaits(m.rec.Share, now)) ||
			!m.fenced && n.shares[m.rec.Share].square.Unheard(m.name) {
			continue
		}
		if len(m.on) > 0 {
			if guests := n.onlyGuests(m) && !n.claimed(m.rec.Share, now); !x.Spare && (guests || n.outranked(m, x.Rank) || n.shifts(m, x.Rank, now)) && !n.stopping(m) {
				n.log.Info("work stopped for another share", "machine", m.name, "tasks", len(m.on), "share", x.Share, "guests", guests)
				m.avoidTill = now.Add(reserveTime)
				n.touch(m)
				for k := range m.on {
					n.stopTask(k.job, k.task)
				}
				n.stopNow(m)
			}
			continue
		}
		if m.batch.busy {
			continue
		}
		p := path{m.rec.Share, x.Share}
		going[p] = append(going[p], m)
	}
	for p, ms := range going {
		if k := n.allowed(start.Move, len(ms)); k > 0 {
			n.move(ms[:k], p.from, p.to)
		}
	}
}

// move hands machines of one share to another in one conditional write.
func (n *Node) move(ms []*machine, from, to int) {
	token := n.counter + 1
	key := protocol.BatchKey(fmt.Sprintf("m-%d-%d", to, token))
	moved := protocol.BatchRecord{Share: to, Token: token}
	left := map[*batch]map[string]bool{}
	room := n.batchSize(ms[0].rec)
	for _, m := range ms {
		// The new batch, the counter and each batch that shrinks are a write each.
		if left[m.batch] == nil && m.batch.busy {
			continue
		}
		if left[m.batch] == nil && len(left)+3 > n.cfg.Params.State.TxnOps || len(moved.Machines) == room {
			continue
		}
		if left[m.batch] == nil {
			left[m.batch] = map[string]bool{}
		}
		left[m.batch][m.name] = true
		m.moving = true
		n.touch(m)
		rec := m.rec
		rec.Addr = m.addr
		moved.Machines = append(moved.Machines, rec)
	}
	if len(left) == 0 {
		return
	}
	// The new batch first: a machine is never seen without one.
	op := &storage.Op{
		For:   uint8(forMoves),
		Conds: []storage.Cond{n.cond(protocol.HolderKey(from)), {Key: key}, n.cond(protocol.CounterKey)},
		Writes: []storage.Write{
			{Put: key, Value: mustJSON(moved)},
			{Put: protocol.CounterKey, Value: mustJSON(protocol.CounterRecord{Token: token})},
		},
	}
	for b, names := range left {
		b.busy = true
		op.Conds = append(op.Conds, n.cond(b.key))
		op.Writes = append(op.Writes, b.write(func(r *protocol.MachineRecord) bool { return !names[r.Name] }))
	}
	n.submit(op, func(r storage.Result) {
		for b := range left {
			b.busy = false
		}
		for _, rec := range moved.Machines {
			if m := n.machines[rec.Name]; m != nil {
				m.moving = false
				n.touch(m)
			}
		}
		n.log.Info("machines moved", "machines", len(moved.Machines), "from", from, "to", to, "ok", r.OK)
	})
}

// shareWaits says whether a share has tasks that wait for a machine.
func (n *Node) shareWaits(share int, now time.Time) bool {
	return slices.ContainsFunc(n.shares[share].jobs, func(j *job) bool { return n.wants(j, now) > 0 })
}
