// Package node implements a controller: it decides which task runs on which machine. A single
// goroutine, the actor, owns all state; other goroutines reach it only through its mailbox. State
// that must survive a restart is first written to the state service and acted on only once it is
// stored.
//
// The node keeps a replica of the keys that it watches. Its own committed changes are applied to
// the replica in the same way as those of other nodes: by key, value and revision. Every change is
// conditional on the revisions that the decision was based on, so a stale replica can delay a
// decision but can't make a wrong one take effect.
package node
