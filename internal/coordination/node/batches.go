package node

import (
	"fmt"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// batch is a stored list of machines that were rented or moved together. One value for many
// machines makes renting and returning a fleet of a thousand cost tens of writes instead of
// thousands. Only the owner of the partition changes it.
type batch struct {
	key        string
	rec        protocol.BatchRecord
	storing    bool      // a change of it is being stored
	dirtySince time.Time // since when there has been something to store; zero: nothing to store
}

// markDirty notes that the stored batch is out of date.
func (b *batch) markDirty(now time.Time) {
	if b.dirtySince.IsZero() {
		b.dirtySince = now
	}
}

// setBatch applies a batch read from the state service.
func (n *Node) setBatch(key string, r protocol.BatchRecord) {
	b := n.batches[key]
	if b == nil {
		b = &batch{key: key}
		n.batches[key] = b
	}
	before := b.rec.Machines
	b.rec = r
	present := make(map[string]bool, len(r.Machines))
	for _, rec := range r.Machines {
		present[rec.Name] = true
		rec.Partition, rec.Token, rec.ReservedTokens = r.Partition, r.Token, r.ReservedTokens
		n.setMachine(b, rec)
	}
	n.dropMissing(b, before, present)
}

// dropBatch removes a batch whose key was deleted.
func (n *Node) dropBatch(key string) {
	if b := n.batches[key]; b != nil {
		delete(n.batches, key)
		n.dropMissing(b, b.rec.Machines, nil)
	}
}

// dropMissing removes the machines that are no longer in a batch, unless another batch contains
// them by now.
func (n *Node) dropMissing(b *batch, before []protocol.MachineRecord, present map[string]bool) {
	for _, rec := range before {
		if m := n.machines[rec.Name]; m != nil && m.batch == b && !present[rec.Name] {
			n.dropMachine(rec.Name)
		}
	}
}

// writeKeeping returns the write that stores the batch with only the machines for which keep
// returns true; keep may change them. A batch without machines is deleted.
func (b *batch) writeKeeping(keep func(r *protocol.MachineRecord) bool) storage.Write {
	record := b.rec
	record.Machines = nil
	for _, r := range b.rec.Machines {
		if keep(&r) {
			record.Machines = append(record.Machines, r)
		}
	}
	if len(record.Machines) == 0 {
		return storage.Write{Delete: b.key}
	}
	return storage.Write{Put: b.key, Value: mustJSON(record)}
}

// batchCapacity is how many machines of a kind fit into one stored value.
func (n *Node) batchCapacity(r protocol.MachineRecord) int {
	const each = 100 // name, address and field names
	return max(1, int(n.cfg.Params.State.ValueKB*1024*0.9)/(each+len(r.Type)+len(r.Zone)))
}

// recordRental records the machines of a rental and then calls done. The batch key contains the
// name of the request, which is never used twice. fence is the condition on the rental fence as it
// was when the machines were requested: once it has been raised, others may adopt the machines.
func (n *Node) recordRental(p *partition, req protocol.RentRequest, names []string, fence storage.Cond, done func()) {
	var batches []protocol.BatchRecord
	kind := protocol.MachineRecord{Type: req.Type, Zone: req.Zone, Spot: req.Spot}
	for part := range slices.Chunk(names, n.batchCapacity(kind)) {
		record := protocol.BatchRecord{Partition: p.index}
		for _, name := range part {
			r := kind
			r.Name = name
			record.Machines = append(record.Machines, r)
		}
		batches = append(batches, record)
	}
	pending := len(batches)
	if pending == 0 {
		done()
	}
	for i, rec := range batches {
		key := protocol.BatchKey(fmt.Sprintf("%s-%d", req.RequestID, i))
		n.submit(&storage.Op{
			Purpose: uint8(forMachines),
			Conds:   []storage.Cond{{Key: key}, n.unchanged(protocol.OwnerKey(p.index)), fence},
			Writes:  []storage.Write{{Put: key, Value: mustJSON(rec)}},
		}, func(storage.Result) {
			if pending--; pending == 0 {
				done()
			}
		})
	}
}

// batchSaveDelay is how long changes of a batch are collected: addresses arrive one by one as
// machines boot, and none of them is urgent.
const batchSaveDelay = 5 * time.Second

// saveBatches stores new addresses and removes the records of returned machines without unsettled
// tasks.
func (n *Node) saveBatches(now time.Time) {
	for _, b := range n.batches {
		if b.storing || b.dirtySince.IsZero() || now.Sub(b.dirtySince) < batchSaveDelay || !n.owns(n.partitions[b.rec.Partition]) {
			continue
		}
		b.dirtySince = time.Time{}
		changes := false
		write := b.writeKeeping(func(r *protocol.MachineRecord) bool {
			m := n.machines[r.Name]
			if m == nil || m.batch != b || m.returned && len(m.tasks) == 0 {
				changes = true
				return false
			}
			if m.returned {
				b.markDirty(now) // save again once its tasks are settled
			} else if m.addr != r.Addr && !m.lastFencedReport.IsZero() {
				// A stored address means that the machine is up. The cloud's list contains the
				// address while the machine still boots; when that was stored, the machine was given
				// up for silence.
				r.Addr, changes = m.addr, true
			}
			return true
		})
		if !changes {
			continue
		}
		b.storing = true
		n.submitTo(n.backgroundCommitter, &storage.Op{Purpose: uint8(forMachines), Conds: []storage.Cond{n.unchanged(b.key), n.unchanged(protocol.OwnerKey(b.rec.Partition))}, Writes: []storage.Write{write}},
			func(r storage.Result) {
				b.storing = false
				if !r.OK {
					b.markDirty(time.Now())
				}
			})
	}
}
