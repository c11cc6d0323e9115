package node

import (
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// A stored value that can't be decoded, or that is invalid, proves nothing: not that a job has
// ended, that a machine is gone, or that a partition has no owner. What was known of the key stays,
// with its old revision, so that any change based on it fails on its condition; and no change is
// attempted that would fail again and again. That ends when a readable value is stored. For entries
// of logs and inboxes see packed.go.

// checkedRecord is a record that can validate itself.
type checkedRecord interface{ Check() error }

// markCorrupt records and logs a value that can't be decoded, once per revision.
func (n *Node) markCorrupt(it storage.Item, err error) {
	if n.corruptKeys[it.Key] == it.Revision {
		return
	}
	n.corruptKeys[it.Key] = it.Revision
	n.metrics.guardRefusals.WithLabelValues("corrupt_record").Inc()
	n.log.Error("stored value not understood: what was known of it stays, and nothing is stored for it", "key", it.Key, "stamp", it.Revision, "known_stamp", n.revisions[it.Key], "why", err)
}

// hasCorruptRecord reports whether a stored record of a job can't be decoded.
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

// mayBeInCorruptValue reports whether a task that this node does not know may be stored in a value
// that it can't decode.
func (n *Node) mayBeInCorruptValue(id string, task int) bool {
	_, head := n.corruptKeys[protocol.JobKey(id)]
	_, chunk := n.corruptKeys[protocol.ChunkKey(id, task/protocol.TasksPerChunk)]
	return head || chunk || n.anyInboxUnreadable()
}

// hasCorruptOwner reports whether the owner record of a partition, or the token counter that is
// needed to take it, can't be decoded.
func (n *Node) hasCorruptOwner(p *partition) bool {
	_, owner := n.corruptKeys[protocol.OwnerKey(p.index)]
	_, counter := n.corruptKeys[protocol.TokenCounterKey]
	return owner || counter
}
