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

// checkedRecord is a record that says whether it can be true.
type checkedRecord interface{ Check() error }

// markCorrupt notes a value that is not understood, once.
func (n *Node) markCorrupt(it storage.Item, err error) {
	if n.corruptKeys[it.Key] == it.Revision {
		return
	}
	n.corruptKeys[it.Key] = it.Revision
	n.metrics.guardRefusals.WithLabelValues("corrupt_record").Inc()
	n.log.Error("stored value not understood: what was known of it stays, and nothing is stored for it", "key", it.Key, "stamp", it.Revision, "known_stamp", n.revisions[it.Key], "why", err)
}

// hasCorruptRecord says so of a job's own record.
func (n *Node) hasCorruptRecord(j *job) bool {
	if len(n.corruptKeys) == 0 {
		return false
	}
	if _, head := n.corruptKeys[protocol.JobKey(j.id)]; head {
		return true
	}
	for k := range j.storedChunks {
		if _, chunk := n.corruptKeys[protocol.ChunkKey(j.id, k)]; chunk {
			return true
		}
	}
	return false
}

// mayBeInCorruptValue says whether a task that this node does not know may be stored in a value that it
// can't read.
func (n *Node) mayBeInCorruptValue(id string, task int) bool {
	_, head := n.corruptKeys[protocol.JobKey(id)]
	_, chunk := n.corruptKeys[protocol.ChunkKey(id, task/protocol.TasksPerChunk)]
	return head || chunk || n.anyInboxUnreadable()
}

// hasCorruptOwner says so of what a share is taken by.
func (n *Node) hasCorruptOwner(s *partition) bool {
	_, holder := n.corruptKeys[protocol.OwnerKey(s.index)]
	_, counter := n.corruptKeys[protocol.TokenCounterKey]
	return holder || counter
}
