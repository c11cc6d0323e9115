package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// A node can have several processes: one after the other, and by mistake two at a time, when a
// process that stalled was replaced. Processes are told apart by their lease, since the state
// service never grants a lease ID twice. The node's record names the lease of its present process.
// It is stored on the condition that it has not changed since this process read it, so that a
// delayed write of an earlier process fails. A process that stores the record becomes the present
// one and releases the lease of the one before, whose later writes under that lease fail and whose
// partitions become vacant. A process that learns that it has been superseded steps down until the
// other's record is gone, and does not compete with it. See docs/start.md.

// incarnations is what this node knows of the processes of all nodes.
type incarnations struct {
	ownLeases    map[uint64]bool   // leases granted to this process
	leaseOf      map[string]uint64 // leases named by the nodes' records, by node
	registered   bool              // this process has been the present one
	registering  bool              // the node record is being stored
	hintLease    atomic.Uint64     // the lease that hints name; read by other goroutines
	supersededBy atomic.Uint64     // lease of a later process of this node; 0: none
}

// applyNodeRecord applies the lease that a node's record names, 0 if there is no record.
func (n *Node) applyNodeRecord(name string, lease uint64) {
	l := &n.incarnations
	l.leaseOf[name] = lease
	if name != n.cfg.Node {
		return
	}
	switch {
	case l.ownLeases[lease]:
		l.registered = true
		l.supersededBy.Store(0)
	case lease == 0:
		if successor := l.supersededBy.Swap(0); successor != 0 {
			n.log.Info("the later process of this node has ended", "its_lease", successor)
		}
	case l.registered:
		l.supersededBy.Store(lease)
		n.stepDown(lease)
	}
}

// stepDown gives up the lease and all partitions in favour of a later process of this node.
func (n *Node) stepDown(successor uint64) {
	own := n.lease
	n.log.Warn("superseded by a later process of this node; owning no partitions until it has ended", "lease", own, "its_lease", successor)
	if own == 0 {
		return
	}
	n.setLease(0)
	n.spawn(func(ctx context.Context) { n.releaseLease(ctx, own) })
}

// releaseLease releases a lease, retrying until it is known to have ended.
func (n *Node) releaseLease(ctx context.Context, lease uint64) {
	for ctx.Err() == nil {
		err := n.store.Release(ctx, lease)
		if err == nil || errors.Is(err, storage.ErrNoLease) {
			n.log.Info("former lease ended", "lease", lease)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// register makes this process the present one of its node, once it has loaded the replica and has a
// lease. It does not wait for the lease of an earlier process to expire, since for those seconds
// nobody would answer the workers. Normally that process has ended, or this one would not have been
// started. If it still runs, this is as if its lease had expired: the next owner of its partitions
// has a higher token.
func (n *Node) register() {
	l := &n.incarnations
	if n.lease == 0 || !n.loaded || l.registering {
		return
	}
	if !l.registered {
		n.releaseFormerLeases()
	}
	n.storeNodeRecord()
}

// releaseFormerLeases releases the leases of this node's earlier processes that the records name.
func (n *Node) releaseFormerLeases() {
	former := map[uint64]bool{n.incarnations.leaseOf[n.cfg.Node]: true}
	for _, p := range n.partitions {
		if p.owner.Token != 0 && p.owner.Node == n.cfg.Node {
			former[p.owner.Lease] = true
		}
	}
	delete(former, 0)
	for lease := range former {
		if !n.incarnations.ownLeases[lease] {
			n.spawn(func(ctx context.Context) { n.releaseLease(ctx, lease) })
		}
	}
}

// storeNodeRecord stores this node's record, also if it exists already. A failed write is repeated
// by the next tickPartitions.
func (n *Node) storeNodeRecord() {
	l := &n.incarnations
	lease := n.lease
	if l.registering || lease == 0 || !n.loaded {
		return
	}
	l.registering = true
	key := protocol.NodeKey(n.cfg.Node)
	n.submit(&storage.Op{Conds: []storage.Cond{n.unchanged(key)},
		Writes: []storage.Write{{Put: key, Value: mustJSON(protocol.NodeRecord{Lease: lease, Version: protocol.RecordVersion, RequiresRecords: n.requiresRecords()}), Lease: lease}}},
		func(r storage.Result) {
			l.registering = false
			if !r.OK && len(r.Failed) > 0 && n.lease == lease {
				n.register() // retry with the record that is stored now
			}
		})
}

// nodeRecordStale reports whether this node's stored record does not name its present lease.
func (n *Node) nodeRecordStale() bool {
	return n.lease != 0 && n.incarnations.leaseOf[n.cfg.Node] != n.lease
}
