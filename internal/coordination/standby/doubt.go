package standby

import "time"

// A holder whose process has ended need not be waited for until its lease is over. Its
// host closes its connections and refuses new ones at once; but so does a packet filter
// between two controllers that live. So a refusal is a reason to ask and never an
// answer: the doubter writes the question into the store, where a holder that lives and
// could act sees it within a fraction of a second and answers by writing its own record
// anew. Only if it does not is its share taken.

// LivenessCheckTimeout is how long a holder has to answer: its watch is answered within 0.15 s, its
// change takes a few hundredths, and both now and then some tenths more.
const LivenessCheckTimeout = 650 * time.Millisecond

const (
	// maxEvidenceAge is how lately a node must have been heard for a refusal to be news.
	maxEvidenceAge = 4 * time.Second
	// recheckDelay is how long a node that answered is not asked again.
	recheckDelay = 20 * time.Second
)

// PeerEvidence is what this node has seen of a sibling.
type PeerEvidence struct {
	LastHint      time.Time // its last hint
	ConnLostAt    time.Time // when a connection that had confirmed hints ended
	ConnRefusedAt time.Time // when its host last refused one
	Revision      uint64    // of its own record in the store
	OwnsPartition bool      // a share
}

// Suspicions are the open questions about siblings.
type Suspicions struct {
	open   map[string]suspicion
	closed map[string]time.Time // when a sibling last answered
}

type suspicion struct {
	asked time.Time // when the question was stored; zero: not yet
	stamp uint64    // of the sibling's record when it was doubted
}

// NewSuspicions has none.
func NewSuspicions() *Suspicions {
	return &Suspicions{open: map[string]suspicion{}, closed: map[string]time.Time{}}
}

// Evaluate says whether a sibling is to be asked now whether it lives, and whether it has by
// all evidence ended. mayAsk says that this node may act at all: it has the store, and
// has not just stood still.
func (d *Suspicions) Evaluate(name string, s PeerEvidence, mayAsk bool, now time.Time) (ask, ended bool) {
	o, is := d.open[name]
	evidence := s.OwnsPartition && !s.ConnLostAt.IsZero() && !s.ConnRefusedAt.Before(s.ConnLostAt) && !s.LastHint.After(s.ConnLostAt) && s.ConnLostAt.Sub(s.LastHint) < maxEvidenceAge && now.Sub(s.ConnRefusedAt) < maxEvidenceAge
	switch {
	case !evidence || !mayAsk:
		delete(d.open, name)
		return false, false
	case is && s.Revision != o.stamp:
		// It answered, or its lease is over: then others see to it.
		delete(d.open, name)
		d.closed[name] = now
		return false, false
	case is:
		return false, !o.asked.IsZero() && now.Sub(o.asked) >= LivenessCheckTimeout
	case now.Sub(d.closed[name]) < recheckDelay || s.Revision == 0:
		return false, false
	}
	d.open[name] = suspicion{stamp: s.Revision}
	return true, false
}

// CheckStored notes that the question about a sibling is stored (or, with ok false, that it
// could not be).
func (d *Suspicions) CheckStored(name string, ok bool, now time.Time) {
	o, is := d.open[name]
	if !is {
		return
	}
	if !ok {
		delete(d.open, name)
		return
	}
	o.asked = now
	d.open[name] = o
}
