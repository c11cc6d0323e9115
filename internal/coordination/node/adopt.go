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

// The leader's part in taking up machines without a record; package duty says what to do
// when and why it is safe.

const (
	// adoptPatience is how long the answer of a machine's own rental has had time to be
	// recorded before the fence overtakes it.
	adoptPatience = 5 * time.Second
	// adoptPause is between two rounds: each one overtakes rentals under way.
	adoptPause = 10 * time.Second
	// foundPatience and foundPause are the same where nobody rented before this node
	// began: then there is nothing to overtake, and a round takes all that have reported
	// meanwhile.
	foundPatience = 500 * time.Millisecond
	foundPause    = time.Second
	// foundTime is for how long at most such a node rents nothing while machines
	// without a record report.
	foundTime = 10 * time.Second
)

// adoptUnrecorded does the next step.
func (n *Node) adoptUnrecorded(now time.Time) {
	patience, pause := adoptPatience, adoptPause
	if n.freshCluster && now.Sub(n.loadControl.followingSince) < foundTime {
		patience, pause = foundPatience, foundPause
	}
	may := n.isLeader() && !n.standby.leaving && n.sinceContact(now) < 2*time.Second && len(n.nodesWithoutEntries) == 0 && len(n.machineTypes) > 0
	step, recs := n.adoption.Next(may, patience, pause, n.completeRevision, now)
	holder := n.unchanged(protocol.OwnerKey(0))
	switch step {
	case duty.RaiseFence:
		n.submit(&storage.Op{Purpose: uint8(forMachines), Conds: []storage.Cond{holder, n.unchanged(protocol.RentalFenceKey)},
			Writes: []storage.Write{{Put: protocol.RentalFenceKey, Value: mustJSON(protocol.RentalFenceRecord{Generation: n.rentalFence.Generation + 1})}}},
			func(r storage.Result) {
				epoch := r.Revision
				if !r.OK {
					epoch = 0
				}
				n.adoption.FenceRaised(epoch, time.Now())
			})
	case duty.RecordMachines:
		n.recordStrays(recs, holder, now)
	}
}

// recordStrays parts machines among the shares and records them under a token above all
// that their workers may have seen.
func (n *Node) recordStrays(recs []protocol.MachineRecord, holder storage.Cond, now time.Time) {
	recs = slices.DeleteFunc(recs, func(r protocol.MachineRecord) bool {
		m := n.machines[r.Name]
		not := n.machineTypes[r.Type] == nil || m != nil && (m.recorded || len(m.tasks) > 0)
		if not {
			n.adoption.Remove(r.Name)
		}
		return not
	})
	if len(recs) == 0 {
		n.adoption.RecordingEnded(true, now)
		return
	}
	var sizes []Resources
	for _, r := range recs {
		sizes = append(sizes, decide.SizeOf(n.machineTypes[r.Type]))
	}
	guarantees := make([]Resources, len(n.partitions))
	for _, t := range n.teams {
		guarantees[t.partition] = guarantees[t.partition].Add(t.Guarantee, 1)
	}
	token := n.tokenCounter + 1
	byShare := make([][]protocol.MachineRecord, len(n.partitions))
	for i, s := range decide.Apportion(sizes, guarantees) {
		byShare[s] = append(byShare[s], recs[i])
	}
	op := &storage.Op{Purpose: uint8(forMachines), Conds: []storage.Cond{holder, {Key: protocol.RentalFenceKey, Revision: n.adoption.Fence()}, n.unchanged(protocol.TokenCounterKey)},
		Writes: []storage.Write{{Put: protocol.TokenCounterKey, Value: mustJSON(protocol.TokenCounterRecord{Token: token})}}}
	taken := 0
	for s, ms := range byShare {
		room := math.MaxInt // by the longest type and zone
		for _, r := range ms {
			room = min(room, n.batchCapacity(r))
		}
		i := 0
		for part := range slices.Chunk(ms, room) {
			w := storage.Write{Put: protocol.BatchKey(fmt.Sprintf("a-%d-%d-%d", s, token, i)), Value: mustJSON(protocol.BatchRecord{Partition: s, Token: token, Machines: part})}
			if !op.CanAdd(w, n.cfg.Params.State.TxnOps) {
				break // the rest comes with the next change
			}
			op.Conds = append(op.Conds, storage.Cond{Key: w.Put})
			op.Writes = append(op.Writes, w)
			taken += len(part)
			i++
		}
	}
	n.submit(op, func(r storage.Result) {
		n.log.Info("machines without a record taken up", "machines", taken, "of", len(recs), "changes", len(op.Writes), "ok", r.OK, "why", r.Err)
		n.adoption.RecordingEnded(r.OK, time.Now())
		n.replan = true
	})
}

// awaitsAdoption says whether machines without a record are about to be taken up, so that
// none is to be rented beside them.
func (n *Node) awaitsAdoption(now time.Time) bool {
	return n.freshCluster && now.Sub(n.loadControl.followingSince) < foundTime && n.adoption.HasUnrecorded(now)
}
