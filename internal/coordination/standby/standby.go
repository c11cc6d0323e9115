// Package standby assigns standbys to partitions, decides when a standby may take a
// partition, and which checks must hold before an owner's first decision. It is pure: its
// inputs are the stored records, the hints of peers and the time. Nothing in it proves
// that an owner is gone. If two nodes believe that they own the same partition, the fences
// keep the stored state correct: see docs/standby.md.
package standby

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Node is a node that is live according to the stored records.
type Node struct {
	Name     string
	Zone     string
	Owned    int  // number of partitions that it owns
	Impaired bool // it can't reach its workers or the state service, as far as this node knows
}

// Partition is a partition and its owner.
type Partition struct {
	Index int
	Owner string // empty: none
}

// Standbys are the first and the second standby of a partition; empty: none.
type Standbys struct{ First, Second string }

// AssignStandbys assigns two standbys to each partition. Candidates are the nodes other
// than the owner. Unimpaired nodes come first, then those that own the fewest partitions,
// then those that are standby for the fewest, then the previous standby, so that nodes
// that come and go change few assignments, then those in another zone than the owner's, so
// that one standby remains after the loss of a zone. Every node computes the same
// assignment from the same records. While their views differ, two nodes may try to take a
// partition, and the state service accepts only one of them.
func AssignStandbys(partitions []Partition, nodes []Node, previous map[int]Standbys) map[int]Standbys {
	byName := map[string]Node{}
	for _, n := range nodes {
		byName[n.Name] = n
	}
	sortedNames := slices.Sorted(maps.Keys(byName))
	// ringDistance is the distance from an owner to a node in the ring of sorted names.
	// With as many partitions as nodes, each node becomes the standby of its neighbour.
	ringDistance := func(n Node, owner string) int {
		ownerIndex, _ := slices.BinarySearch(sortedNames, owner)
		index, _ := slices.BinarySearch(sortedNames, n.Name)
		return (index - ownerIndex + len(sortedNames)) % len(sortedNames)
	}
	standbyCount := map[string]int{}
	assigned := map[int]Standbys{}
	pick := func(partition Partition, excluded, current string) string {
		var best Node
		found := false
		load := func(n Node) int {
			// The number of owned partitions outweighs everything else: a partition that
			// is released because a node owns none must go to that node.
			weight := (2*len(partitions)+2)*n.Owned + 2*standbyCount[n.Name]
			if n.Name == current {
				weight--
			}
			return weight
		}
		for _, n := range nodes {
			if n.Name == partition.Owner || n.Name == excluded {
				continue
			}
			if !found || cmp.Or(compareCandidates(n, best, byName[partition.Owner].Zone, load), ringDistance(n, partition.Owner)-ringDistance(best, partition.Owner), cmp.Compare(n.Name, best.Name)) < 0 {
				best, found = n, true
			}
		}
		if !found {
			return ""
		}
		standbyCount[best.Name]++
		return best.Name
	}
	ordered := slices.SortedFunc(slices.Values(partitions), func(a, b Partition) int { return a.Index - b.Index })
	for _, partition := range ordered {
		assigned[partition.Index] = Standbys{First: pick(partition, "", previous[partition.Index].First)}
	}
	for _, partition := range ordered {
		standbys := assigned[partition.Index]
		standbys.Second = pick(partition, standbys.First, previous[partition.Index].Second)
		assigned[partition.Index] = standbys
	}
	return assigned
}

// compareCandidates is negative if a is the better standby for an owner in the given zone.
func compareCandidates(a, b Node, zone string, load func(Node) int) int {
	sameZone := func(n Node) int {
		if zone != "" && n.Zone == zone {
			return 1
		}
		return 0
	}
	impaired := func(n Node) int {
		if n.Impaired {
			return 1
		}
		return 0
	}
	return cmp.Or(impaired(a)-impaired(b), load(a)-load(b), sameZone(a)-sameZone(b))
}

// How long after a partition lost its owner the second standby and the other nodes take
// it.
const (
	SecondDelay = 300 * time.Millisecond
	OthersDelay = 600 * time.Millisecond
)

// TakeoverDelay returns how long after a partition lost its owner a node takes it.
func (s Standbys) TakeoverDelay(node string) time.Duration {
	switch node {
	case s.First:
		return 0
	case s.Second:
		return SecondDelay
	}
	return OthersDelay
}

// Cause is the reason for a change of owner.
type Cause uint8

const (
	AtStart      Cause = iota // the partition had no owner since this node started
	HandedOver                // the previous owner released it
	LeaseExpired              // the lease of the previous owner expired
	ProcessEnded              // the process of the previous owner is presumed to have ended
	causeCount                // number of causes
)

var causeNames = [causeCount]string{"start", "handed_over", "lease_over", "process_ended"}

// String returns the name of the cause.
func (c Cause) String() string { return causeNames[min(c, causeCount-1)] }

// Causes returns the names of all causes.
func Causes() []string { return causeNames[:] }
