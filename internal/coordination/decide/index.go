package decide

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/google/btree"
)

// Index keeps machines so that a look need not walk the fleet. It is told of each
// change of a machine; what an event costs does not depend on the number of machines
// but by the depth of a tree.
//
//   - Each share's machines by name.
//   - Those with room that nothing keeps new tasks off, by kind and fetch cost, the
//     fullest first: what ranks are counted in.
//   - Which of them hold an image: compressed bitmaps over the machines' numbers.
//   - What each team's tasks that are about to leave still take.
type Index struct {
	partitions   []partitionIndex
	stoppingGPUs []float64 // GPUs, by team
	byID         []*Machine
	freeIDs      []uint32
	version      uint64 // grows whenever something may have become free
}

type partitionIndex struct {
	machines     []*Machine // recorded, by name
	groups       []*machineGroup
	images       map[string]*roaring.Bitmap // of machines with room
	withCapacity int
}

// machineGroup is the machines with room that are of one kind and cost the same to fetch to.
type machineGroup struct {
	offer    Offer
	secPerGB float64
	tree     *btree.BTreeG[*Machine]
}

func fullestFirst(a, b *Machine) bool {
	return cmp.Or(cmp.Compare(a.packingOrder(), b.packingOrder()), cmp.Compare(a.Name, b.Name)) < 0
}

// NewIndex makes an index for so many shares and teams.
func NewIndex(shares, teams int) *Index {
	x := &Index{partitions: make([]partitionIndex, shares), stoppingGPUs: make([]float64, teams)}
	for i := range x.partitions {
		x.partitions[i].images = map[string]*roaring.Bitmap{}
	}
	return x
}

// Machines are a share's, by name.
func (x *Index) Machines(share int) []*Machine { return x.partitions[share].machines }

func byMachineName(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) }

// Set replaces what is known of a machine. m keeps its identity; to holds its new
// facts. What of the old facts put it into a place where it stays is left alone.
func (x *Index) Set(m *Machine, to *Machine) {
	if m.id == 0 {
		m.id = x.assignID(m)
	}
	listed := to.Block&NotRecorded == 0
	roomy := listed && to.Block == 0 && to.HasCapacity()
	stays := m.listed && listed && m.Partition == to.Partition && m.Name == to.Name
	x.countAssignments(m, -1)
	var kept *machineGroup // where it stays in the order
	images := false        // and whether its images are noted already
	if m.group != nil && stays && roomy {
		images = slices.Equal(m.Images, to.Images)
		if g := m.group; g.offer == to.offer() && g.secPerGB == to.SecPerGB && m.packingOrder() == to.packingOrder() {
			kept = g
		}
	}
	if m.group != nil {
		if kept == nil {
			m.group.tree.Delete(m)
			x.partitions[m.Partition].withCapacity--
		}
		if !images {
			x.partitions[m.Partition].dropImages(m)
		}
	}
	if m.listed && !stays {
		x.unlist(m)
	}
	id := m.id
	*m = *to
	m.id, m.listed, m.group = id, stays, kept
	x.countAssignments(m, 1)
	if !listed {
		return
	}
	x.version++
	s := &x.partitions[m.Partition]
	if !stays {
		if i, found := slices.BinarySearchFunc(s.machines, m, byMachineName); !found {
			s.machines = slices.Insert(s.machines, i, m)
		}
		m.listed = true
	}
	if !roomy {
		return
	}
	if kept == nil {
		m.group = s.group(m)
		m.group.tree.ReplaceOrInsert(m)
		s.withCapacity++
	}
	if !images {
		s.addImages(m)
	}
}

// countAssignments counts what a machine's tasks that are to leave take, or no longer take, and
// what could be stopped there.
func (x *Index) countAssignments(m *Machine, sign float64) {
	m.stoppingTasks, m.lowestPriority, m.cpuOnlyTasks = 0, -1, 0
	for _, h := range m.Assignments {
		if m.Size.GPUs > 0 && h.Job.Need.GPUs == 0 {
			m.cpuOnlyTasks++
		}
		if h.Stopping {
			m.stoppingTasks++
			x.stoppingGPUs[h.Job.Team] += sign * h.Job.Need.GPUs
		}
		if h.Active && !h.coscheduled() {
			m.lowestPriority = max(m.lowestPriority, h.Job.Rank)
		}
	}
}

func (x *Index) unlist(m *Machine) {
	s := &x.partitions[m.Partition]
	if i, found := slices.BinarySearchFunc(s.machines, m, byMachineName); found {
		s.machines = slices.Delete(s.machines, i, i+1)
	}
}

// addImages and drop keep which machines with room hold an image.
func (s *partitionIndex) addImages(m *Machine) {
	for _, im := range m.Images {
		b := s.images[im]
		if b == nil {
			b = roaring.New()
			s.images[im] = b
		}
		b.Add(m.id)
	}
}

func (s *partitionIndex) dropImages(m *Machine) {
	for _, im := range m.Images {
		if b := s.images[im]; b != nil {
			if b.Remove(m.id); b.IsEmpty() {
				delete(s.images, im)
			}
		}
	}
}

// Remove forgets a machine.
func (x *Index) Remove(m *Machine) {
	if m.id != 0 {
		gone := Machine{Name: m.Name, Block: NotRecorded}
		x.Set(m, &gone)
		x.byID[m.id] = nil
		x.freeIDs = append(x.freeIDs, m.id)
		m.id = 0
	}
}

func (x *Index) assignID(m *Machine) uint32 {
	if l := len(x.freeIDs); l > 0 {
		id := x.freeIDs[l-1]
		x.freeIDs = x.freeIDs[:l-1]
		x.byID[id] = m
		return id
	}
	if len(x.byID) == 0 {
		x.byID = append(x.byID, nil) // 0: none
	}
	x.byID = append(x.byID, m)
	return uint32(len(x.byID) - 1)
}

func (s *partitionIndex) group(m *Machine) *machineGroup {
	o := m.offer()
	for _, g := range s.groups {
		if g.offer == o && g.secPerGB == m.SecPerGB {
			return g
		}
	}
	g := &machineGroup{offer: o, secPerGB: m.SecPerGB, tree: btree.NewG(16, fullestFirst)}
	s.groups = append(s.groups, g)
	return g
}

// groupCursor walks one group in its order.
type groupCursor struct {
	orderOffset float64 // added to the order: spot machines before or after ordinary ones
	buffered    []*Machine
	group       *machineGroup
	last        *Machine
	done        bool
}

const cursorChunk = 16

// peek is the next machine, nil at the end. Machines are fetched from the tree in
// chunks; nothing changes it meanwhile.
func (s *groupCursor) peek() *Machine {
	if len(s.buffered) == 0 && !s.done {
		take := func(m *Machine) bool {
			if m != s.last {
				s.buffered = append(s.buffered, m)
			}
			return len(s.buffered) < cursorChunk
		}
		if s.last == nil {
			s.group.tree.Ascend(take)
		} else {
			s.group.tree.AscendGreaterOrEqual(s.last, take)
		}
		if len(s.buffered) == 0 {
			s.done = true
			return nil
		}
		s.last = s.buffered[len(s.buffered)-1]
	}
	if len(s.buffered) == 0 {
		return nil
	}
	return s.buffered[0]
}

// mergeGroups walks several groups as one, by order and then name, until f returns false.
func mergeGroups(streams []*groupCursor, f func(m *Machine, order float64) bool) {
	for {
		var best *groupCursor
		var bestM *Machine
		var bestO float64
		for _, s := range streams {
			m := s.peek()
			if m == nil {
				continue
			}
			o := s.orderOffset + m.packingOrder()
			if best == nil || o < bestO || o == bestO && m.Name < bestM.Name {
				best, bestM, bestO = s, m, o
			}
		}
		if best == nil {
			return
		}
		best.buffered = best.buffered[1:]
		if !f(bestM, bestO) {
			return
		}
	}
}

// Check says where the index has something else than a new one of the same machines
// would have.
func (x *Index) Check() error {
	fresh := NewIndex(len(x.partitions), len(x.stoppingGPUs))
	for _, m := range x.byID {
		if m != nil {
			f := *m
			f.id, f.listed, f.group = 0, false, nil
			fresh.Set(&Machine{}, &f)
		}
	}
	for i := range x.partitions {
		a, b := &x.partitions[i], &fresh.partitions[i]
		same := func(m, o *Machine) bool { return m.Name == o.Name }
		if !slices.EqualFunc(a.machines, b.machines, same) || a.withCapacity != b.withCapacity || len(a.images) != len(b.images) {
			return fmt.Errorf("share %d: %d machines, %d with room, %d images; %d, %d, %d in a new index", i, len(a.machines), a.withCapacity, len(a.images), len(b.machines), b.withCapacity, len(b.images))
		}
		for im, bits := range a.images {
			if b.images[im] == nil || bits.GetCardinality() != b.images[im].GetCardinality() {
				return fmt.Errorf("share %d: image %s", i, im)
			}
		}
		for _, g := range a.groups {
			n := 0
			for _, o := range b.groups {
				if o.offer == g.offer && o.secPerGB == g.secPerGB {
					n = o.tree.Len()
				}
			}
			if g.tree.Len() != n {
				return fmt.Errorf("share %d: %d machines of %v with room, %d in a new index", i, g.tree.Len(), g.offer, n)
			}
		}
	}
	for i, s := range x.stoppingGPUs {
		if d := s - fresh.stoppingGPUs[i]; d > Tolerance || d < -Tolerance {
			return fmt.Errorf("team %d: %g GPUs about to be left, %g in a new index", i, s, fresh.stoppingGPUs[i])
		}
	}
	return nil
}
