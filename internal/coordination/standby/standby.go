// Package standby says who stands by for whom, when a share may be taken, and what must
// hold before its first decision. It is pure: fed with what the records and siblings
// tell and with the time, it answers; nothing in it proves that a holder is gone. What
// keeps the rules when two nodes believe they hold a share are the fences: see
// docs/standby.md.
package standby

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Node is what is known of a node that lives by the records.
type Node struct {
	Name     string
	Zone     string
	Owned    int  // shares that it holds
	Impaired bool // it is blind, or has lost the state service, as far as is known here
}

// Partition is a share and who holds it.
type Partition struct {
	Index int
	Owner string // empty: nobody
}

// Standbys are the first and the second standby of a share; empty: there is none.
type Standbys struct{ First, Second string }

// AssignStandbys gives each share its standbys: those of other nodes that hold the fewest, then
// those that have the fewest to stand by for, then another zone than the holder's, so that
// a zone's loss leaves one. A standby that was is kept if it is as good: nodes that come
// and go move few. Every node comes to the same answer from
// the same records; where sight differs for a moment two try, and the store lets one.
func AssignStandbys(shares []Partition, nodes []Node, was map[int]Standbys) map[int]Standbys {
	byName := map[string]Node{}
	for _, n := range nodes {
		byName[n.Name] = n
	}
	ring := slices.Sorted(maps.Keys(byName))
	// away is how far a node is behind a holder in the ring of names: with as many shares
	// as nodes each one stands by for its neighbour.
	away := func(n Node, holder string) int {
		at, _ := slices.BinarySearch(ring, holder)
		i, _ := slices.BinarySearch(ring, n.Name)
		return (i - at + len(ring)) % len(ring)
	}
	duties := map[string]int{}
	out := map[int]Standbys{}
	pick := func(s Partition, not, kept string) string {
		var best Node
		found := false
		worth := func(n Node) int {
			// Who holds the fewest comes first, whatever else: a share that is given up
			// since a node holds none must go to that one.
			w := (2*len(shares)+2)*n.Owned + 2*duties[n.Name]
			if n.Name == kept {
				w--
			}
			return w
		}
		for _, n := range nodes {
			if n.Name == s.Owner || n.Name == not {
				continue
			}
			if !found || cmp.Or(worse(n, best, byName[s.Owner].Zone, worth), away(n, s.Owner)-away(best, s.Owner), cmp.Compare(n.Name, best.Name)) < 0 {
				best, found = n, true
			}
		}
		if !found {
			return ""
		}
		duties[best.Name]++
		return best.Name
	}
	ordered := slices.SortedFunc(slices.Values(shares), func(a, b Partition) int { return a.Index - b.Index })
	for _, s := range ordered {
		out[s.Index] = Standbys{First: pick(s, "", was[s.Index].First)}
	}
	for _, s := range ordered {
		p := out[s.Index]
		p.Second = pick(s, p.First, was[s.Index].Second)
		out[s.Index] = p
	}
	return out
}

// worse is below 0 if a would stand by for a holder in a zone rather than b.
func worse(a, b Node, zone string, worth func(Node) int) int {
	side := func(n Node) int {
		if zone != "" && n.Zone == zone {
			return 1
		}
		return 0
	}
	poor := func(n Node) int {
		if n.Impaired {
			return 1
		}
		return 0
	}
	return cmp.Or(poor(a)-poor(b), worth(a)-worth(b), side(a)-side(b))
}

// Delays are how long after a share became vacant its standbys take it.
const (
	SecondDelay = 300 * time.Millisecond
	OthersDelay = 600 * time.Millisecond
)

// TakeoverDelay is how long after a share became vacant a node takes it.
func (p Standbys) TakeoverDelay(node string) time.Duration {
	switch node {
	case p.First:
		return 0
	case p.Second:
		return SecondDelay
	}
	return OthersDelay
}

// Cause is why a share changed hands.
type Cause uint8

const (
	AtStart      Cause = iota // nobody had held it since this node began
	HandedOver                // its holder gave it up
	LeaseExpired              // its holder's lease ended
	ProcessEnded              // its holder's process ended, by all evidence
	causeCount
)

var causeNames = [causeCount]string{"start", "handed_over", "lease_over", "process_ended"}

func (c Cause) String() string { return causeNames[min(c, causeCount-1)] }

// Causes are all causes by name.
func Causes() []string { return causeNames[:] }
