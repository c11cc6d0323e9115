package node

import (
	"fmt"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// batch is a stored list of machines that were rented or moved together. One
// value for many machines makes renting and returning a fleet of a thousand
// cost tens of writes and not thousands. Only the share's holder changes it.
type batch struct {
	key        string
	rec        protocol.BatchRecord
	storing    bool      // a change of it is being stored
	dirtySince time.Time // when something became worth storing; zero: nothing is
}

// markDirty notes that the stored batch is out of date.
func (b *batch) markDirty(now time.Time) {
	if b.dirtySince.IsZero() {
		b.dirtySince = now
	}
}

// setBatch takes in a stored batch.
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
		rec.Partition, rec.Token = r.Partition, r.Token
		n.setMachine(b, rec)
	}
	n.forget(b, before, present)
}

// dropBatch forgets a batch whose key is gone.
func (n *Node) dropBatch(key string) {
	if b := n.batches[key]; b != nil {
		delete(n.batches, key)
		n.forget(b, b.rec.Machines, nil)
	}
}

// forget drops the machines that a batch had and has no more, unless another
// batch has them by now.
func (n *Node) forget(b *batch, before []protocol.MachineRecord, present map[string]bool) {
	for _, rec := range before {
		if m := n.machines[rec.Name]; m != nil && m.batch == b && !present[rec.Name] {
			n.dropMachine(rec.Name)
		}
	}
}

// writeKeeping is the batch with only the machines that keep wants, which may change
// them; without any it is deleted.
func (b *batch) writeKeeping(keep func(r *protocol.MachineRecord) bool) storage.Write {
	rec := b.rec
	rec.Machines = nil
	for _, r := range b.rec.Machines {
		if keep(&r) {
			rec.Machines = append(rec.Machines, r)
		}
	}
	if len(rec.Machines) == 0 {
		return storage.Write{Delete: b.key}
	}
	return storage.Write{Put: b.key, Value: mustJSON(rec)}
}

// batchCapacity is how many machines of a kind fit one stored value.
func (n *Node) batchCapacity(r protocol.MachineRecord) int {
	const each = 100 // name, address and frame
	return max(1, int(n.cfg.Params.State.ValueKB*1024*0.9)/(each+len(r.Type)+len(r.Zone)))
}

// recordRental records the machines of a rental, and then calls done. The batch has
// the request's name, which is never used twice. fence is how the fence was when they
// were asked for: once it was raised, others may take them up.
func (n *Node) recordRental(s *partition, req protocol.RentRequest, names []string, fence storage.Cond, done func()) {
	var batches []protocol.BatchRecord
	kind := protocol.MachineRecord{Type: req.Type, Zone: req.Zone, Spot: req.Spot}
	for part := range slices.Chunk(names, n.batchCapacity(kind)) {
		rec := protocol.BatchRecord{Partition: s.index}
		for _, name := range part {
			r := kind
			r.Name = name
			rec.Machines = append(rec.Machines, r)
		}
		batches = append(batches, rec)
	}
	open := len(batches)
	if open == 0 {
		done()
	}
	for i, rec := range batches {
		key := protocol.BatchKey(fmt.Sprintf("%s-%d", req.RequestID, i))
		n.submit(&storage.Op{
			Purpose: uint8(forMachines),
			Conds:   []storage.Cond{{Key: key}, n.unchanged(protocol.OwnerKey(s.index)), fence},
			Writes:  []storage.Write{{Put: key, Value: mustJSON(rec)}},
		}, func(storage.Result) {
			if open--; open == 0 {
				done()
			}
		})
	}
}

// batchSaveDelay is how long changes of a batch are gathered: addresses come one by
// one as machines boot, and none of them is urgent.
const batchSaveDelay = 5 * time.Second

// saveBatches stores new addresses, and drops the records of machines that are
// gone, with everything on them noted.
func (n *Node) saveBatches(now time.Time) {
	for _, b := range n.batches {
		if b.storing || b.dirtySince.IsZero() || now.Sub(b.dirtySince) < batchSaveDelay || !n.owns(n.partitions[b.rec.Partition]) {
			continue
		}
		b.dirtySince = time.Time{}
		changes := false
		w := b.writeKeeping(func(r *protocol.MachineRecord) bool {
			m := n.machines[r.Name]
			if m == nil || m.batch != b || m.returned && len(m.tasks) == 0 {
				changes = true
				return false
			}
			if m.returned {
				b.markDirty(now) // once its tasks are settled
			} else if m.addr != r.Addr && !m.lastFencedReport.IsZero() {
				// An address says that the machine is up. The cloud's list names it while it
				// still boots, and a holder that stored that gave the machine up for silence.
				r.Addr, changes = m.addr, true
			}
			return true
		})
		if !changes {
			continue
		}
		b.storing = true
		n.submitTo(n.backgroundCommitter, &storage.Op{Purpose: uint8(forMachines), Conds: []storage.Cond{n.unchanged(b.key), n.unchanged(protocol.OwnerKey(b.rec.Partition))}, Writes: []storage.Write{w}},
			func(r storage.Result) {
				b.storing = false
				if !r.OK {
					b.markDirty(time.Now())
				}
			})
	}
}
