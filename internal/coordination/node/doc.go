// Package node decides what runs where. One routine, the node's actor,
// owns all state; everything else talks to it over its inbox. What must survive
// is written to the state service first and acted on only once stored.
//
// The node keeps a replica of the watched keys. Its own committed changes enter
// the replica the same way as everyone else's: by key, value and stamp. Every
// change is conditional on the stamps it was decided on, so a stale replica
// delays a decision and never makes a wrong one.
package node
