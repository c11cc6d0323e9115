package node

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/duty"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// The leader adopts machines without a record; package duty decides which step comes next and
// explains why it is safe.

const (
	// adoptDelay is how long a machine must have reported without a record before it is adopted: the
	// time for its own rental's answer to be recorded, before the fence is raised.
	adoptDelay = 5 * time.Second
	// adoptInterval is the pause between two rounds: each one invalidates rentals in flight.
	adoptInterval = 10 * time.Second
	// initialAdoptDelay and initialAdoptInterval apply instead when nobody rented before this
	// node started: then no rental can be invalidated, and each round adopts all machines that
	// have reported meanwhile.
	initialAdoptDelay    = 500 * time.Millisecond
	initialAdoptInterval = time.Second
	// initialAdoptPeriod is how long at most such a node rents nothing while machines without a
	// record report.
	initialAdoptPeriod = 10 * time.Second
)

// adoptUnrecorded performs the next step of the adoption.
func (n *Node) adoptUnrecorded(now time.Time) {
	delay, interval := adoptDelay, adoptInterval
	if n.freshCluster && now.Sub(n.loadControl.followingSince) < initialAdoptPeriod {
		delay, interval = initialAdoptDelay, initialAdoptInterval
	}
	mayAct := n.isLeader() && !n.standby.leaving && n.sinceContact(now) < 2*time.Second && len(n.nodesWithoutEntries) == 0 && len(n.machineTypes) > 0
	step, records := n.adoption.Next(mayAct, delay, interval, n.completeRevision, now)
	ownerCond := n.unchanged(protocol.OwnerKey(0))
	switch step {
	case duty.RaiseFence:
		n.submit(&storage.Op{Purpose: uint8(forMachines), Conds: []storage.Cond{ownerCond, n.unchanged(protocol.RentalFenceKey)},
			Writes: []storage.Write{{Put: protocol.RentalFenceKey, Value: mustJSON(protocol.RentalFenceRecord{Generation: n.rentalFence.Generation + 1})}}},
			func(r storage.Result) {
				epoch := r.Revision
				if !r.OK {
					epoch = 0
				}
				n.adoption.FenceRaised(epoch, time.Now())
			})
	case duty.RecordMachines:
		n.recordAdopted(records, ownerCond, now)
	}
}

// recordAdopted divides machines among the partitions and records them under a token above all
// that their workers may have seen.
func (n *Node) recordAdopted(records []protocol.MachineRecord, ownerCond storage.Cond, now time.Time) {
	records = slices.DeleteFunc(records, func(r protocol.MachineRecord) bool {
		m := n.machines[r.Name]
		skip := n.machineTypes[r.Type] == nil || m != nil && (m.recorded || len(m.tasks) > 0)
		if skip {
			n.adoption.Remove(r.Name)
		}
		return skip
	})
	if len(records) == 0 {
		n.adoption.RecordingEnded(true, now)
		return
	}
	var sizes []Resources
	for _, r := range records {
		sizes = append(sizes, decide.SizeOf(n.machineTypes[r.Type]))
	}
	guarantees := make([]Resources, len(n.partitions))
	for _, t := range n.teams {
		guarantees[t.partition] = guarantees[t.partition].Add(t.Guarantee, 1)
	}
	token, reservation := n.reserveTokens()
	byPartition := make([][]protocol.MachineRecord, len(n.partitions))
	for i, s := range decide.Apportion(sizes, guarantees) {
		byPartition[s] = append(byPartition[s], records[i])
	}
	op := &storage.Op{Purpose: uint8(forMachines), Conds: []storage.Cond{ownerCond, {Key: protocol.RentalFenceKey, Revision: n.adoption.Fence()}, n.unchanged(protocol.TokenCounterKey)},
		Writes: []storage.Write{reservation}}
	adopted := 0
	for s, machines := range byPartition {
		capacity := math.MaxInt // smallest batch capacity, given by the longest type and zone names
		for _, r := range machines {
			capacity = min(capacity, n.batchCapacity(r))
		}
		i := 0
		for part := range slices.Chunk(machines, capacity) {
			write := storage.Write{Put: protocol.BatchKey(fmt.Sprintf("a-%d-%d-%d", s, token, i)), Value: mustJSON(protocol.BatchRecord{Partition: s, Token: token, ReservedTokens: reservedTokens, Machines: part})}
			if !op.CanAdd(write, n.cfg.Params.State.TxnOps) {
				break // the others are recorded in the next round
			}
			op.Conds = append(op.Conds, storage.Cond{Key: write.Put})
			op.Writes = append(op.Writes, write)
			adopted += len(part)
			i++
		}
	}
	n.submit(op, func(r storage.Result) {
		n.log.Info("machines without a record taken up", "machines", adopted, "of", len(records), "changes", len(op.Writes), "ok", r.OK, "why", r.Err)
		n.adoption.RecordingEnded(r.OK, time.Now())
		n.replan = true
	})
}

// awaitsAdoption reports whether machines without a record are about to be adopted, so that no
// machine should be rented meanwhile.
func (n *Node) awaitsAdoption(now time.Time) bool {
	return n.freshCluster && now.Sub(n.loadControl.followingSince) < initialAdoptPeriod && n.adoption.HasUnrecorded(now)
}
