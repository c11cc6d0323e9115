package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/packed"
	"dapplestage.example/dapplestage/internal/coordination/ticket"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

const (
	// longWatchTimeout is how long a watch request waits for changes. shortWatchTimeout is used
	// instead while leases may be extended only for a limited time after the replica was last known
	// to be complete (mayExtendLeases).
	longWatchTimeout  = 10 * time.Second
	shortWatchTimeout = time.Second
)

const (
	// watchPause is the pause between two watch requests. It collects changes, so that a busy
	// state service costs few requests.
	watchPause = 120 * time.Millisecond
	// watchRetry is the pause after a watch request that failed.
	watchRetry = 300 * time.Millisecond
)

// maintainReplica lists all keys once and then follows the watch. It lists again if the watch can't
// go on because its revision was compacted.
func (n *Node) maintainReplica(ctx context.Context) {
	var revision uint64
	mustList := true
	for ctx.Err() == nil {
		var err error
		sent := time.Now()
		if mustList {
			var items []storage.Item
			if items, revision, err = n.store.List(ctx, protocol.WatchedRoot); err == nil {
				mustList = false
				first := revision
				n.post(func() { n.applyListing(items, first); n.completeAt = latest(n.completeAt, sent) })
			}
		} else {
			var items []storage.Item
			var watched uint64
			n.clearWatchWake() // this request returns all that was stored before it was sent
			items, watched, err = n.store.Watch(ctx, protocol.WatchedRoot, revision, time.Duration(n.watchTimeout.Load()))
			switch {
			case errors.Is(err, storage.ErrCompacted):
				mustList, err = true, nil
			case err == nil:
				revision = watched
				n.post(func() { n.applyWatch(items, watched); n.completeAt = latest(n.completeAt, sent) })
			}
		}
		n.awaitNextWatch(ctx, err)
	}
}

// awaitNextWatch waits until the next watch request is due: after the pause, or at once if wakeWatch
// was called.
func (n *Node) awaitNextWatch(ctx context.Context, failed error) {
	if failed != nil {
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
		return
	}
	select {
	case <-ctx.Done():
	case <-n.watchWake:
	case <-time.After(watchPause):
	}
}

// wakeWatch ends the pause between watch requests. It is used when a user, or a partition that this
// node has just acquired, waits for all that was stored up to a revision.
func (n *Node) wakeWatch() {
	select {
	case n.watchWake <- struct{}{}:
	default:
	}
}

// clearWatchWake drops a pending wakeWatch.
func (n *Node) clearWatchWake() {
	select {
	case <-n.watchWake:
	default:
	}
}

// applyListing applies a full listing. first is the revision of its first page.
func (n *Node) applyListing(items []storage.Item, first uint64) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
	}
	for _, item := range logsLast(items) {
		n.applyItem(item)
	}
	for key, revision := range n.revisions {
		if !present[key] && revision <= first {
			n.applyItem(storage.Item{Key: key, Revision: first})
		}
	}
	n.advanceReplica(first)
	if !n.loaded {
		n.loaded = true
		n.freshCluster = n.tokenCounter == 0
		now := time.Now()
		n.loadControl.followingSince = now
		n.updateWorkerAddrs(now)
		n.register()
		if n.OnLoaded != nil {
			n.OnLoaded()
		}
		for _, p := range n.partitions {
			p.vacantSince = now
		}
		n.log.Info("replica loaded", "jobs", len(n.jobs), "machines", len(n.machines), "revision", first)
	}
	n.replan = true
}

// logsLast orders a listing: first jobs' own records and everything else, then inbox entries, then
// the entries of the partitions' logs.
func logsLast(items []storage.Item) []storage.Item {
	rank := func(item storage.Item) int {
		switch {
		case strings.HasPrefix(item.Key, protocol.LogRoot):
			return 2
		case strings.HasPrefix(item.Key, protocol.InboxRoot):
			return 1
		}
		return 0
	}
	out := slices.Clone(items)
	slices.SortStableFunc(out, func(a, b storage.Item) int {
		return cmp.Or(rank(a)-rank(b), cmp.Compare(a.Revision*uint64(rank(a)/2), b.Revision*uint64(rank(b)/2)))
	})
	return out
}

// applyWatch applies the changes of a watch response, up to its revision.
func (n *Node) applyWatch(items []storage.Item, revision uint64) {
	for _, item := range items {
		n.applyItem(item)
	}
	atomic.StoreUint64(&n.replicaRevision, revision)
	n.advanceReplica(revision)
	// No late event can contradict a deletion that is older than what the watch has
	// delivered, so its tombstone is not needed any more.
	for key := range n.tombstones {
		if n.keyExists(key) {
			delete(n.tombstones, key)
		} else if n.revisions[key] <= revision {
			delete(n.tombstones, key)
			delete(n.revisions, key)
		}
	}
}

// keyExists reports whether the replica has a value for a key.
func (n *Node) keyExists(key string) bool {
	switch {
	case strings.HasPrefix(key, protocol.JobPrefix):
		id, chunk := splitJobKey(key)
		j := n.jobs[id]
		if chunk == 0 {
			_, left := n.packed.endedRecords[id]
			return j != nil && j.hasRecord || left || n.tickets.byID[id] != nil
		}
		if j != nil {
			return j.storedChunks[chunk]
		}
		_, ok := n.orphanChunks[key]
		return ok
	case strings.HasPrefix(key, protocol.MachineRoot):
		return n.batches[key] != nil
	case strings.HasPrefix(key, protocol.NodeRoot):
		_, ok := n.liveNodes[strings.TrimPrefix(key, protocol.NodeRoot)]
		return ok
	case strings.HasPrefix(key, protocol.OwnerRoot):
		p := n.partitionOfKey(key)
		return p != nil && (p.owner.Token != 0 || p.unconfirmedOwner != nil)
	case strings.HasPrefix(key, protocol.LogRoot):
		i, slot, ok := packed.ParseLogKey(key)
		return ok && i < len(n.partitions) && n.partitions[i].log.HasEntry(slot)
	case strings.HasPrefix(key, protocol.InboxRoot):
		node, slot, ok := packed.ParseInboxKey(key)
		return ok && n.inboxOf(node).HasEntry(slot)
	case key == protocol.FormatKey:
		return n.packed.formatStored
	}
	return true
}

// splitJobKey returns the job id and the chunk number in the key of a job's record; 0 is the head.
func splitJobKey(key string) (id string, chunk int) {
	id, num, found := strings.Cut(strings.TrimPrefix(key, protocol.JobPrefix), "/")
	if found {
		chunk, _ = strconv.Atoi(num)
	}
	return id, chunk
}

// partitionOfKey returns the partition of an owner record's key; nil if there is none.
func (n *Node) partitionOfKey(key string) *partition {
	num, _, _ := strings.Cut(strings.TrimPrefix(key, protocol.OwnerRoot), "/")
	i, err := strconv.Atoi(num)
	if err != nil || i < 0 || i >= len(n.partitions) {
		return nil
	}
	return n.partitions[i]
}

// applyItem applies one stored value, or its absence, to the replica. A version older than the known
// one is ignored, whichever way it came.
func (n *Node) applyItem(item storage.Item) {
	if item.Revision <= n.revisions[item.Key] {
		return
	}
	oldRevision, known := n.revisions[item.Key]
	n.revisions[item.Key] = item.Revision
	delete(n.corruptKeys, item.Key)
	if item.Value == nil {
		n.tombstones[item.Key] = struct{}{}
	}
	n.replan = true
	corrupt := false
	read := func(v any) bool {
		if item.Value == nil {
			return false
		}
		err := json.Unmarshal(item.Value, v)
		if record, ok := v.(checkedRecord); ok && err == nil {
			err = record.Check()
		}
		if err != nil {
			if n.revisions[item.Key] = oldRevision; !known {
				delete(n.revisions, item.Key)
			}
			n.markCorrupt(item, err)
			corrupt = true
			return false
		}
		return true
	}
	switch {
	case item.Key == protocol.TokenCounterKey:
		var c protocol.TokenCounterRecord
		if read(&c) {
			n.tokenCounter = c.Token
		}
	case item.Key == protocol.MovesKey:
		var mv protocol.MovesRecord
		if read(&mv) {
			n.onMoves(mv)
		}
	case item.Key == protocol.ClassesKey:
		var t ticket.ClassTable
		if item.Value == nil || read(&t) {
			n.tickets.storedClasses = t
		}
	case item.Key == protocol.PolicyKey:
		p := DefaultPolicy()
		if item.Value == nil || read(&p) {
			n.setPolicy(p)
		}
	case strings.HasPrefix(item.Key, protocol.JobPrefix):
		id, chunk := splitJobKey(item.Key)
		if chunk == 0 {
			var r protocol.JobRecord
			switch ok := read(&r); {
			case corrupt:
			case ok && r.Ticket != nil && r.Ticket.Base != nil:
				n.setTicket(id, &r)
			case ok && r.Spec != nil && n.endedInLog(r.Spec):
				n.packed.endedRecords[id] = n.teams[n.teamIndex[r.Spec.Team]].partition
			case ok && r.Spec != nil:
				n.applyJob(id, &r, true)
			default:
				delete(n.packed.endedRecords, id)
				n.dropJob(id)
				n.dropTicket(id)
			}
			return
		}
		var c protocol.Chunk
		present := read(&c)
		if corrupt {
			return
		}
		n.applyChunk(id, chunk, item.Key, c, present)
	case strings.HasPrefix(item.Key, protocol.MachineRoot):
		var r protocol.BatchRecord
		if read(&r) && r.Partition >= 0 && r.Partition < len(n.partitions) {
			n.setBatch(item.Key, r)
		} else if !corrupt {
			n.dropBatch(item.Key)
		}
	case strings.HasPrefix(item.Key, protocol.NodeRoot):
		n.applyNodeItem(item, read)
	case strings.HasPrefix(item.Key, protocol.LoanRoot):
		var r protocol.LoansRecord
		if read(&r) || !corrupt {
			n.applyLoans(item.Key, r)
		}
	case strings.HasPrefix(item.Key, protocol.LogRoot):
		n.applyLogEntry(item)
	case strings.HasPrefix(item.Key, protocol.InboxRoot):
		n.applyInboxEntry(item)
	case item.Key == protocol.FormatKey:
		var f protocol.FormatRecord
		if read(&f); !corrupt {
			n.packed.format, n.packed.formatStored = f, item.Value != nil
		}
	case item.Key == protocol.RentalFenceKey:
		var f protocol.RentalFenceRecord
		if read(&f) || !corrupt {
			n.rentalFence = f
		}
	case item.Key == protocol.CatalogKey:
		var r protocol.CatalogRecord
		if read(&r); !corrupt {
			n.applyStoredCatalog(r.Types)
		}
	case item.Key == protocol.LivenessCheckKey(n.cfg.Node):
		var d protocol.LivenessCheckRecord
		if read(&d) {
			n.answerLivenessCheck(d.RequestedBy)
		}
	case strings.HasPrefix(item.Key, protocol.OwnerRoot):
		if p := n.partitionOfKey(item.Key); p != nil {
			var h protocol.OwnerRecord
			if read(&h); !corrupt {
				n.applyOwnerRecord(p, h)
			}
		}
	}
}

// applyNodeItem applies the stored record of a live node, or its absence. read decodes the value.
func (n *Node) applyNodeItem(item storage.Item, read func(v any) bool) {
	name := strings.TrimPrefix(item.Key, protocol.NodeRoot)
	delete(n.nodesWithoutEntries, name)
	delete(n.olderNodes, name)
	n.setWithoutLoans(name, false)
	delete(n.packed.plainNodes, name)
	if item.Value == nil {
		delete(n.liveNodes, name)
		n.applyNodeRecord(name, 0)
		return
	}
	if _, ok := n.liveNodes[name]; !ok {
		n.liveNodes[name] = time.Now()
	}
	var r protocol.NodeRecord
	if !read(&r) {
		r = protocol.NodeRecord{} // the node is live, but what it can read is not known
	}
	if r.Version < protocol.TicketCancelVersion {
		n.olderNodes[name] = true
	}
	n.setWithoutLoans(name, r.Version < protocol.LoansVersion)
	if r.Version < protocol.PackedVersion {
		n.nodesWithoutEntries[name] = true
	}
	if r.RequiresRecords {
		n.packed.plainNodes[name] = true
	}
	n.applyNodeRecord(name, r.Lease)
}

// resync reads the keys whose conditions failed and applies them, so that the next attempt is
// decided on what is stored. It then calls done on the actor.
func (n *Node) resync(keys []string, done func([]storage.Item, error)) {
	n.spawn(func(ctx context.Context) {
		var items []storage.Item
		var failed error
		for _, k := range keys {
			item, err := n.store.Get(ctx, k)
			if err != nil {
				failed = err
				break
			}
			items = append(items, item)
		}
		n.post(func() {
			for _, item := range items {
				if strings.HasPrefix(item.Key, protocol.WatchedRoot) {
					n.applyItem(item)
				} else {
					n.applyFinal(item)
				}
			}
			done(items, failed)
		})
	})
}
