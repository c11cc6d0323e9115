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
	// longWatchTimeout is how long a watch waits for changes, and watchOften the same where it
	// matters when this node last knew all that was stored (mayAnswer).
	longWatchTimeout  = 10 * time.Second
	shortWatchTimeout = time.Second
)

const (
	// watchPause bundles changes, so that a busy store costs few watch requests.
	watchPause = 120 * time.Millisecond
	// watchRetry is how long after a watch that failed the next one is asked.
	watchRetry = 300 * time.Millisecond
)

// maintainReplica reads everything once and then follows the watch.
func (n *Node) maintainReplica(ctx context.Context) {
	var since uint64
	fresh := true
	for ctx.Err() == nil {
		var err error
		sent := time.Now()
		if fresh {
			var items []storage.Item
			if items, since, err = n.store.List(ctx, protocol.WatchedRoot); err == nil {
				fresh = false
				first := since
				n.post(func() { n.applyListing(items, first); n.completeAt = latest(n.completeAt, sent) })
			}
		} else {
			var items []storage.Item
			var epoch uint64
			n.forgetCatchUp() // this watch tells all that was stored before it was sent
			items, epoch, err = n.store.Watch(ctx, protocol.WatchedRoot, since, time.Duration(n.watchTimeout.Load()))
			switch {
			case errors.Is(err, storage.ErrCompacted):
				fresh, err = true, nil
			case err == nil:
				since = epoch
				n.post(func() { n.applyWatch(items, epoch); n.completeAt = latest(n.completeAt, sent) })
			}
		}
		n.awaitNextWatch(ctx, err)
	}
}

// awaitNextWatch waits until the watch is to be asked again: after its pause, or at once if
// something waits for what it tells.
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

// wakeWatch ends the pause of the watch: a user, or a share that this node has just acquired,
// waits for all that was stored up to a revision.
func (n *Node) wakeWatch() {
	select {
	case n.watchWake <- struct{}{}:
	default:
	}
}

// forgetCatchUp drops a wish to end the pause of the watch.
func (n *Node) forgetCatchUp() {
	select {
	case <-n.watchWake:
	default:
	}
}

// applyListing takes in a full listing whose first page is of revision first.
func (n *Node) applyListing(items []storage.Item, first uint64) {
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = true
	}
	for _, it := range logsLast(items) {
		n.applyItem(it)
	}
	for key, st := range n.revisions {
		if !present[key] && st <= first {
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
		for _, s := range n.partitions {
			s.vacantSince = now
		}
		n.log.Info("replica loaded", "jobs", len(n.jobs), "machines", len(n.machines), "revision", first)
	}
	n.replan = true
}

// logsLast orders what was listed: jobs' own records and all else, what nodes accepted, and
// the entries of shares' logs.
func logsLast(items []storage.Item) []storage.Item {
	rank := func(it storage.Item) int {
		switch {
		case strings.HasPrefix(it.Key, protocol.LogRoot):
			return 2
		case strings.HasPrefix(it.Key, protocol.InboxRoot):
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

// applyWatch takes in changes up to a revision.
func (n *Node) applyWatch(items []storage.Item, epoch uint64) {
	for _, it := range items {
		n.applyItem(it)
	}
	atomic.StoreUint64(&n.replicaRevision, epoch)
	n.advanceReplica(epoch)
	// Deletions older than what the watch has delivered cannot be contradicted
	// by a late event any more.
	for key := range n.tombstones {
		if n.keyExists(key) {
			delete(n.tombstones, key)
		} else if n.revisions[key] <= epoch {
			delete(n.tombstones, key)
			delete(n.revisions, key)
		}
	}
}

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
		s := n.shareOfKey(key)
		return s != nil && (s.owner.Token != 0 || s.unconfirmedOwner != nil)
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

func splitJobKey(key string) (id string, chunk int) {
	id, num, found := strings.Cut(strings.TrimPrefix(key, protocol.JobPrefix), "/")
	if found {
		chunk, _ = strconv.Atoi(num)
	}
	return id, chunk
}

func (n *Node) shareOfKey(key string) *partition {
	num, _, _ := strings.Cut(strings.TrimPrefix(key, protocol.OwnerRoot), "/")
	i, err := strconv.Atoi(num)
	if err != nil || i < 0 || i >= len(n.partitions) {
		return nil
	}
	return n.partitions[i]
}

// applyItem takes one stored value, or its absence, into the replica. An older
// version than the one known is ignored, whatever way it came.
func (n *Node) applyItem(it storage.Item) {
	if it.Revision <= n.revisions[it.Key] {
		return
	}
	was, had := n.revisions[it.Key]
	n.revisions[it.Key] = it.Revision
	delete(n.corruptKeys, it.Key)
	if it.Value == nil {
		n.tombstones[it.Key] = struct{}{}
	}
	n.replan = true
	corrupt := false
	read := func(v any) bool {
		if it.Value == nil {
			return false
		}
		err := json.Unmarshal(it.Value, v)
		if c, ok := v.(checkedRecord); ok && err == nil {
			err = c.Check()
		}
		if err != nil {
			if n.revisions[it.Key] = was; !had {
				delete(n.revisions, it.Key)
			}
			n.markCorrupt(it, err)
			corrupt = true
			return false
		}
		return true
	}
	switch {
	case it.Key == protocol.TokenCounterKey:
		var c protocol.TokenCounterRecord
		if read(&c) {
			n.tokenCounter = c.Token
		}
	case it.Key == protocol.MovesKey:
		var mv protocol.MovesRecord
		if read(&mv) {
			n.onMoves(mv)
		}
	case it.Key == protocol.ClassesKey:
		var t ticket.ClassTable
		if it.Value == nil || read(&t) {
			n.tickets.storedClasses = t
		}
	case it.Key == protocol.PolicyKey:
		p := DefaultPolicy()
		if it.Value == nil || read(&p) {
			n.setPolicy(p)
		}
	case strings.HasPrefix(it.Key, protocol.JobPrefix):
		id, chunk := splitJobKey(it.Key)
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
		ok := read(&c)
		if corrupt {
			return
		}
		n.applyChunk(id, chunk, it.Key, c, ok)
	case strings.HasPrefix(it.Key, protocol.MachineRoot):
		var r protocol.BatchRecord
		if read(&r) && r.Partition >= 0 && r.Partition < len(n.partitions) {
			n.setBatch(it.Key, r)
		} else if !corrupt {
			n.dropBatch(it.Key)
		}
	case strings.HasPrefix(it.Key, protocol.NodeRoot):
		name := strings.TrimPrefix(it.Key, protocol.NodeRoot)
		delete(n.nodesWithoutEntries, name)
		delete(n.olderNodes, name)
		delete(n.packed.plainNodes, name)
		if it.Value == nil {
			delete(n.liveNodes, name)
			n.applyNodeRecord(name, 0)
			return
		}
		if _, ok := n.liveNodes[name]; !ok {
			n.liveNodes[name] = time.Now()
		}
		var r protocol.NodeRecord
		if read(&r); corrupt {
			r = protocol.NodeRecord{} // it lives, and what it understands is not known
		}
		if r.Version < protocol.RecordVersion {
			n.olderNodes[name] = true
		}
		if r.Version < protocol.PackedVersion {
			n.nodesWithoutEntries[name] = true
		}
		if r.RequiresRecords {
			n.packed.plainNodes[name] = true
		}
		n.applyNodeRecord(name, r.Lease)
	case strings.HasPrefix(it.Key, protocol.LogRoot):
		n.applyLogEntry(it)
	case strings.HasPrefix(it.Key, protocol.InboxRoot):
		n.applyInboxEntry(it)
	case it.Key == protocol.FormatKey:
		var f protocol.FormatRecord
		if read(&f); !corrupt {
			n.packed.format, n.packed.formatStored = f, it.Value != nil
		}
	case it.Key == protocol.RentalFenceKey:
		var f protocol.RentalFenceRecord
		if read(&f) || !corrupt {
			n.rentalFence = f
		}
	case it.Key == protocol.CatalogKey:
		var r protocol.CatalogRecord
		if read(&r); !corrupt {
			n.applyStoredCatalog(r.Types)
		}
	case it.Key == protocol.LivenessCheckKey(n.cfg.Node):
		var d protocol.LivenessCheckRecord
		if read(&d) {
			n.answerLivenessCheck(d.RequestedBy)
		}
	case strings.HasPrefix(it.Key, protocol.OwnerRoot):
		if s := n.shareOfKey(it.Key); s != nil {
			var h protocol.OwnerRecord
			if read(&h); !corrupt {
				n.applyOwnerRecord(s, h)
			}
		}
	}
}

// resync reads keys whose conditions failed, so that the next try is decided
// on what is stored, and then calls done on the actor.
func (n *Node) resync(keys []string, done func([]storage.Item, error)) {
	n.spawn(func(ctx context.Context) {
		var items []storage.Item
		var failed error
		for _, k := range keys {
			it, err := n.store.Get(ctx, k)
			if err != nil {
				failed = err
				break
			}
			items = append(items, it)
		}
		n.post(func() {
			for _, it := range items {
				if strings.HasPrefix(it.Key, protocol.WatchedRoot) {
					n.applyItem(it)
				} else {
					n.applyFinal(it)
				}
			}
			done(items, failed)
		})
	})
}
