// Package peerfb holds the FlatBuffers accessors for the gossip messages between the
// controllers of a site. All other files are generated from ../peer.fbs; package protocol
// wraps them in plain structs, and nothing else should import them.
package peerfb
