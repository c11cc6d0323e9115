package standby

import "time"

// A holder whose process has ended need not be waited for until its lease is over. Its
// host closes its connections and refuses new ones at once; but so does a packet filter
// between two controllers that live. So a refusal is a reason to ask and never an
// answer: the doubter writes the question into the store, where a holder that lives and
// could act sees it within a fraction of a second and answers by writing its own record
// anew. Only if it does not is its share taken.

// AnswerTime is how long a holder has to answer: its watch is answered within 0.15 s, its
// change takes a few hundredths, and both now and then some tenths more.
const AnswerTime = 650 * time.Millisecond

const (
	// fresh is how lately a node must have been heard for a refusal to be news.
	fresh = 4 * time.Second
	// again is how long a node that answered is not asked again.
	again = 20 * time.Second
)

// Seen is what this node has seen of a sibling.
type Seen struct {
	Heard   time.Time // its last hint
	Broke   time.Time // when a connection that had confirmed hints ended
	Refused time.Time // when its host last refused one
	Stamp   uint64    // of its own record in the store
	Holds   bool      // a share
}

// Doubts are the open questions about siblings.
type Doubts struct {
	open   map[string]doubt
	closed map[string]time.Time // when a sibling last answered
}

type doubt struct {
	asked time.Time // when the question was stored; zero: not yet
	stamp uint64    // of the sibling's record when it was doubted
}

// NewDoubts has none.
func NewDoubts() *Doubts {
	return &Doubts{open: map[string]doubt{}, closed: map[string]time.Time{}}
}

// Look says whether a sibling is to be asked now whether it lives, and whether it has by
// all evidence ended. mayAsk says that this node may act at all: it has the store, and
// has not just stood still.
func (d *Doubts) Look(name string, s Seen, mayAsk bool, now time.Time) (ask, ended bool) {
	o, is := d.open[name]
	evidence := s.Holds && !s.Broke.IsZero() && !s.Refused.Before(s.Broke) && !s.Heard.After(s.Broke) && s.Broke.Sub(s.Heard) < fresh && now.Sub(s.Refused) < fresh
	switch {
	case !evidence || !mayAsk:
		delete(d.open, name)
		return false, false
	case is && s.Stamp != o.stamp:
		// It answered, or its lease is over: then others see to it.
		delete(d.open, name)
		d.closed[name] = now
		return false, false
	case is:
		return false, !o.asked.IsZero() && now.Sub(o.asked) >= AnswerTime
	case now.Sub(d.closed[name]) < again || s.Stamp == 0:
		return false, false
	}
	d.open[name] = doubt{stamp: s.Stamp}
	return true, false
}

// Asked notes that the question about a sibling is stored (or, with ok false, that it
// could not be).
func (d *Doubts) Asked(name string, ok bool, now time.Time) {
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
