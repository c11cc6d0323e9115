package node

import (
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// A stored value that can't be decoded, or that can't be true, proves nothing: not that a job
// has ended, that a machine has gone, or that a share has no holder. What was known of the key
// stays, with the stamp that it had, so that whatever is decided on it fails on its condition;
// and nothing is tried that would fail again and again. It ends when a value comes that can be
// read. (Entries of logs and inboxes: see packed.go.)

// checked is a record that says whether it can be true.
type checked interface{ Check() error }

// corrupted notes a value that is not understood, once.
func (n *Node) corrupted(it storage.Item, err error) {
	if n.corrupt[it.Key] == it.Stamp {
		return
	}
	n.corrupt[it.Key] = it.Stamp
	n.metrics.refused.WithLabelValues("corrupt_record").Inc()
	n.log.Error("stored value not understood: what was known of it stays, and nothing is stored for it", "key", it.Key, "stamp", it.Stamp, "known_stamp", n.ver[it.Key], "why", err)
}

// corruptJob says so of a job's own record.
func (n *Node) corruptJob(j *job) bool {
	if len(n.corrupt) == 0 {
		return false
	}
	if _, head := n.corrupt[protocol.JobKey(j.id)]; head {
		return true
	}
	for k := range j.chunks {
		if _, chunk := n.corrupt[protocol.ChunkKey(j.id, k)]; chunk {
			return true
		}
	}
	return false
}

// mayBeStored says whether a task that this node does not know may be stored in a value that it
// can't read.
func (n *Node) mayBeStored(id string, task int) bool {
	_, head := n.corrupt[protocol.JobKey(id)]
	_, chunk := n.corrupt[protocol.ChunkKey(id, task/protocol.ChunkTasks)]
	return head || chunk || n.inboxBroken()
}

// corruptShare says so of what a share is taken by.
func (n *Node) corruptShare(s *share) bool {
	_, holder := n.corrupt[protocol.HolderKey(s.index)]
	_, counter := n.corrupt[protocol.CounterKey]
	return holder || counter
}
