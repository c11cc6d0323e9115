package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// Lives of a node: its processes, one after the other, and by mistake, or because one stood
// still and was replaced, two at a time. What tells them apart is the lease that a process
// was granted: the store grants none twice. A node's record names the lease of its present
// life; it is stored on the condition that it is as this process knows it, so that a late
// write of a former life fails. Whoever stores it first in its life is the present one, and
// ends the lease of the one before: what that one still sends under its lease fails, and its
// shares are free. A process that was the present one and learns that it is not stands back
// until the other's record is gone, and does not fight for it. See docs/start.md.

type incarnations struct {
	ownLeases    map[uint64]bool   // leases that this process was granted
	leaseOf      map[string]uint64 // leases that nodes' records name
	registered   bool              // this process has been the present life
	registering  bool              // its record is being stored
	hintLease    atomic.Uint64     // the lease that hints name; read by other routines
	supersededBy atomic.Uint64     // the lease of a later life; 0: none
}

// applyNodeRecord takes in what a node's record names, 0 if there is none.
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
		if was := l.supersededBy.Swap(0); was != 0 {
			n.log.Info("the other process of this name is gone", "its_lease", was)
		}
	case l.registered:
		l.supersededBy.Store(lease)
		n.stepDown(lease)
	}
}

// stepDown gives everything up for a later life.
func (n *Node) stepDown(to uint64) {
	mine := n.lease
	n.log.Warn("another process of this name has begun: this one holds nothing until that one is gone", "lease", mine, "its_lease", to)
	if mine == 0 {
		return
	}
	n.setLease(0)
	n.spawn(func(ctx context.Context) { n.releaseLease(ctx, mine) })
}

// releaseLease ends a lease, and tries again until that is known.
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

// register makes this process the present life of its node, once it has read what is stored and
// has a lease. The former one is over, or this one would not have started, and waiting for
// its lease costs seconds in which nobody answers the workers. Should it live all the same,
// it is as if its lease had run out: whoever takes its shares has a higher token.
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

// releaseFormerLeases ends the leases of this node's former lives that the records name.
func (n *Node) releaseFormerLeases() {
	former := map[uint64]bool{n.incarnations.leaseOf[n.cfg.Node]: true}
	for _, s := range n.partitions {
		if s.owner.Token != 0 && s.owner.Node == n.cfg.Node {
			former[s.owner.Lease] = true
		}
	}
	delete(former, 0)
	for lease := range former {
		if !n.incarnations.ownLeases[lease] {
			n.spawn(func(ctx context.Context) { n.releaseLease(ctx, lease) })
		}
	}
}

// storeNodeRecord writes this node's record, anew if it is there. If it is not stored, it is tried
// again with the next look at the shares.
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
				n.register() // by what is stored now
			}
		})
}

// nodeRecordStale says whether this node's record is not what it should be.
func (n *Node) nodeRecordStale() bool {
	return n.lease != 0 && n.incarnations.leaseOf[n.cfg.Node] != n.lease
}
