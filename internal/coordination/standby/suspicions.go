package standby

import "time"

// The partitions of an owner whose process has ended can be taken before its lease
// expires. Its host closes the connections of the process and refuses new ones at once. A
// packet filter between two live controllers looks the same, so a refused connection is
// only a reason for a liveness check: the suspecting node stores a question in the state
// service. A live owner that can still act reads it within a fraction of a second and
// answers by storing its own node record again. Its partitions are taken only if it does
// not.

// LivenessCheckTimeout is how long an owner has to answer: its watch is answered within
// 0.15 s, its change takes a few hundredths of a second, and either occasionally takes
// some tenths more.
const LivenessCheckTimeout = 650 * time.Millisecond

const (
	// maxEvidenceAge is how recent the last hint of a node must be for a lost connection,
	// and a refused connection, to count as evidence.
	maxEvidenceAge = 4 * time.Second
	// recheckDelay is how long a node that has answered is not checked again.
	recheckDelay = 20 * time.Second
)

// PeerEvidence is what this node has observed of a peer.
type PeerEvidence struct {
	LastHint      time.Time // when its last hint arrived
	ConnLostAt    time.Time // when a connection that had confirmed hints ended
	ConnRefusedAt time.Time // when its host last refused a connection
	Revision      uint64    // of its node record in the state service
	OwnsPartition bool      // it owns a partition
}

// Suspicions tracks the liveness checks of peers.
type Suspicions struct {
	open         map[string]suspicion // by peer
	lastAnswered map[string]time.Time // when a peer last answered a check
}

// suspicion is one liveness check in progress.
type suspicion struct {
	checkStoredAt time.Time // when the question was stored; zero: not yet
	revision      uint64    // of the peer's node record when the check began
}

// NewSuspicions returns an empty set.
func NewSuspicions() *Suspicions {
	return &Suspicions{open: map[string]suspicion{}, lastAnswered: map[string]time.Time{}}
}

// Evaluate reports whether a liveness check of a peer is to be stored now (startCheck),
// and whether its process is presumed to have ended. mayCheck is true if this node may act
// at all: it is in contact with the state service and was not stalled just before.
func (s *Suspicions) Evaluate(name string, peer PeerEvidence, mayCheck bool, now time.Time) (startCheck, presumedEnded bool) {
	pending, exists := s.open[name]
	suspicious := peer.OwnsPartition && !peer.ConnLostAt.IsZero() && !peer.ConnRefusedAt.Before(peer.ConnLostAt) && !peer.LastHint.After(peer.ConnLostAt) && peer.ConnLostAt.Sub(peer.LastHint) < maxEvidenceAge && now.Sub(peer.ConnRefusedAt) < maxEvidenceAge
	switch {
	case !suspicious || !mayCheck:
		delete(s.open, name)
		return false, false
	case exists && peer.Revision != pending.revision:
		// The peer answered, or its lease has expired; then the partitions are taken for
		// that reason.
		delete(s.open, name)
		s.lastAnswered[name] = now
		return false, false
	case exists:
		return false, !pending.checkStoredAt.IsZero() && now.Sub(pending.checkStoredAt) >= LivenessCheckTimeout
	case now.Sub(s.lastAnswered[name]) < recheckDelay || peer.Revision == 0:
		return false, false
	}
	s.open[name] = suspicion{revision: peer.Revision}
	return true, false
}

// CheckStored records whether the question about a peer was stored.
func (s *Suspicions) CheckStored(name string, stored bool, now time.Time) {
	pending, exists := s.open[name]
	if !exists {
		return
	}
	if !stored {
		delete(s.open, name)
		return
	}
	pending.checkStoredAt = now
	s.open[name] = pending
}
