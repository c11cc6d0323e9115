package decide

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/google/btree"
)

// Index keeps the machines in search order, so that a scheduling pass need not scan the
// fleet. It must be updated on each change of a machine. The cost of an update depends on the
// number of machines only through the depth of a tree. The index holds:
//
//   - Each partition's machines, by name.
//   - The machines that have free capacity and no Block, grouped by offer and fetch cost,
//     the fullest first. Slots are ranked in this order.
//   - Which of these machines hold an image, as compressed bitmaps of machine IDs.
//   - The GPUs that each team's stopping tasks still use.
type Index struct {
	partitions   []partitionIndex
	stoppingGPUs []float64  // by team
	byID         []*Machine // 0 is unused; nil: the ID is in freeIDs
	freeIDs      []uint32
	version      uint64 // grows whenever capacity may have become free
}

// partitionIndex is the index of one partition's machines.
type partitionIndex struct {
	machines     []*Machine // recorded machines, by name
	groups       []*machineGroup
	images       map[string]*roaring.Bitmap // IDs of the machines in groups that hold an image
	withCapacity int                        // number of machines in groups
}

// machineGroup holds the machines with free capacity that belong to one offer and have the same
// fetch cost.
type machineGroup struct {
	offer    Offer
	secPerGB float64
	tree     *btree.BTreeG[*Machine]
}

// fullestFirst orders machines by packingOrder, and equal ones by name.
func fullestFirst(a, b *Machine) bool {
	return cmp.Or(cmp.Compare(a.packingOrder(), b.packingOrder()), cmp.Compare(a.Name, b.Name)) < 0
}

// NewIndex returns an empty index for a number of partitions and teams.
func NewIndex(partitions, teams int) *Index {
	x := &Index{partitions: make([]partitionIndex, partitions), stoppingGPUs: make([]float64, teams)}
	for i := range x.partitions {
		x.partitions[i].images = map[string]*roaring.Bitmap{}
	}
	return x
}

// Machines returns the recorded machines of a partition, by name.
func (x *Index) Machines(partition int) []*Machine { return x.partitions[partition].machines }

func byMachineName(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) }

// Set replaces the state of machine m by the state in facts; the pointer m stays the same.
// Index entries that the change does not affect are left alone.
func (x *Index) Set(m *Machine, facts *Machine) {
	if m.id == 0 {
		m.id = x.assignID(m)
	}
	listed := facts.Block&NotRecorded == 0
	open := listed && facts.Block == 0 && facts.HasCapacity()
	stays := m.listed && listed && m.Partition == facts.Partition && m.Name == facts.Name
	x.countAssignments(m, -1)
	var sameGroup *machineGroup // the group that it stays in, at the same position
	sameImages := false         // its images are in the bitmaps already
	if m.group != nil && stays && open {
		sameImages = slices.Equal(m.Images, facts.Images)
		if g := m.group; g.offer == facts.offer() && g.secPerGB == facts.SecPerGB && m.packingOrder() == facts.packingOrder() {
			sameGroup = g
		}
	}
	if m.group != nil {
		if sameGroup == nil {
			m.group.tree.Delete(m)
			x.partitions[m.Partition].withCapacity--
		}
		if !sameImages {
			x.partitions[m.Partition].dropImages(m)
		}
	}
	if m.listed && !stays {
		x.unlist(m)
	}
	id := m.id
	*m = *facts
	m.id, m.listed, m.group = id, stays, sameGroup
	x.countAssignments(m, 1)
	if !listed {
		return
	}
	x.version++
	partition := &x.partitions[m.Partition]
	if !stays {
		if i, found := slices.BinarySearchFunc(partition.machines, m, byMachineName); !found {
			partition.machines = slices.Insert(partition.machines, i, m)
		}
		m.listed = true
	}
	if !open {
		return
	}
	if sameGroup == nil {
		m.group = partition.group(m)
		m.group.tree.ReplaceOrInsert(m)
		partition.withCapacity++
	}
	if !sameImages {
		partition.addImages(m)
	}
}

// countAssignments recomputes the counters that a machine keeps of its tasks. It adds the GPUs
// of its stopping tasks to the teams' sums, or subtracts them if sign is -1.
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

// unlist removes a machine from its partition's list.
func (x *Index) unlist(m *Machine) {
	partition := &x.partitions[m.Partition]
	if i, found := slices.BinarySearchFunc(partition.machines, m, byMachineName); found {
		partition.machines = slices.Delete(partition.machines, i, i+1)
	}
}

// addImages enters a machine into the bitmaps of its images.
func (p *partitionIndex) addImages(m *Machine) {
	for _, im := range m.Images {
		b := p.images[im]
		if b == nil {
			b = roaring.New()
			p.images[im] = b
		}
		b.Add(m.id)
	}
}

// dropImages removes a machine from the bitmaps of its images.
func (p *partitionIndex) dropImages(m *Machine) {
	for _, im := range m.Images {
		if b := p.images[im]; b != nil {
			if b.Remove(m.id); b.IsEmpty() {
				delete(p.images, im)
			}
		}
	}
}

// Remove deletes a machine from the index.
func (x *Index) Remove(m *Machine) {
	if m.id != 0 {
		gone := Machine{Name: m.Name, Block: NotRecorded}
		x.Set(m, &gone)
		x.byID[m.id] = nil
		x.freeIDs = append(x.freeIDs, m.id)
		m.id = 0
	}
}

// assignID gives a machine an ID, if possible that of a removed machine, which keeps the
// bitmaps small.
func (x *Index) assignID(m *Machine) uint32 {
	if l := len(x.freeIDs); l > 0 {
		id := x.freeIDs[l-1]
		x.freeIDs = x.freeIDs[:l-1]
		x.byID[id] = m
		return id
	}
	if len(x.byID) == 0 {
		x.byID = append(x.byID, nil) // ID 0 means that a machine has none
	}
	x.byID = append(x.byID, m)
	return uint32(len(x.byID) - 1)
}

// group returns the group that a machine belongs to, and creates it if there is none.
func (p *partitionIndex) group(m *Machine) *machineGroup {
	offer := m.offer()
	for _, g := range p.groups {
		if g.offer == offer && g.secPerGB == m.SecPerGB {
			return g
		}
	}
	g := &machineGroup{offer: offer, secPerGB: m.SecPerGB, tree: btree.NewG(16, fullestFirst)}
	p.groups = append(p.groups, g)
	return g
}

// groupCursor iterates over the machines of a group in their order.
type groupCursor struct {
	orderOffset float64    // added to the order; places spot machines before or after ordinary ones
	buffered    []*Machine // fetched from the tree and not yet consumed
	group       *machineGroup
	last        *Machine // the last machine fetched; nil: none yet
	done        bool
}

// cursorChunk is the number of machines that a cursor fetches from the tree at once.
const cursorChunk = 16

// peek returns the next machine, or nil at the end. It fetches machines from the tree in
// chunks; the tree must not change while the cursor is in use.
func (c *groupCursor) peek() *Machine {
	if len(c.buffered) == 0 && !c.done {
		buffer := func(m *Machine) bool {
			if m != c.last {
				c.buffered = append(c.buffered, m)
			}
			return len(c.buffered) < cursorChunk
		}
		if c.last == nil {
			c.group.tree.Ascend(buffer)
		} else {
			c.group.tree.AscendGreaterOrEqual(c.last, buffer)
		}
		if len(c.buffered) == 0 {
			c.done = true
			return nil
		}
		c.last = c.buffered[len(c.buffered)-1]
	}
	if len(c.buffered) == 0 {
		return nil
	}
	return c.buffered[0]
}

// mergeGroups iterates over the machines of several groups, by order and then by name, until
// visit returns false.
func mergeGroups(cursors []*groupCursor, visit func(m *Machine, order float64) bool) {
	for {
		var best *groupCursor
		var bestMachine *Machine
		var bestOrder float64
		for _, cursor := range cursors {
			m := cursor.peek()
			if m == nil {
				continue
			}
			o := cursor.orderOffset + m.packingOrder()
			if best == nil || o < bestOrder || o == bestOrder && m.Name < bestMachine.Name {
				best, bestMachine, bestOrder = cursor, m, o
			}
		}
		if best == nil {
			return
		}
		best.buffered = best.buffered[1:]
		if !visit(bestMachine, bestOrder) {
			return
		}
	}
}

// Check compares the index with a new one of the same machines and returns the first
// difference as an error. Tests use it.
func (x *Index) Check() error {
	fresh := NewIndex(len(x.partitions), len(x.stoppingGPUs))
	for _, m := range x.byID {
		if m != nil {
			facts := *m
			facts.id, facts.listed, facts.group = 0, false, nil
			fresh.Set(&Machine{}, &facts)
		}
	}
	for i := range x.partitions {
		actual, expected := &x.partitions[i], &fresh.partitions[i]
		same := func(m, o *Machine) bool { return m.Name == o.Name }
		if !slices.EqualFunc(actual.machines, expected.machines, same) || actual.withCapacity != expected.withCapacity || len(actual.images) != len(expected.images) {
			return fmt.Errorf("share %d: %d machines, %d with room, %d images; %d, %d, %d in a new index", i, len(actual.machines), actual.withCapacity, len(actual.images), len(expected.machines), expected.withCapacity, len(expected.images))
		}
		for im, bits := range actual.images {
			if expected.images[im] == nil || bits.GetCardinality() != expected.images[im].GetCardinality() {
				return fmt.Errorf("share %d: image %s is on other machines in a new index", i, im)
			}
		}
		for _, g := range actual.groups {
			want := 0
			for _, other := range expected.groups {
				if other.offer == g.offer && other.secPerGB == g.secPerGB {
					want = other.tree.Len()
				}
			}
			if g.tree.Len() != want {
				return fmt.Errorf("share %d: %d machines of %v with room, %d in a new index", i, g.tree.Len(), g.offer, want)
			}
		}
	}
	for i, gpus := range x.stoppingGPUs {
		if diff := gpus - fresh.stoppingGPUs[i]; diff > Tolerance || diff < -Tolerance {
			return fmt.Errorf("team %d: %g GPUs used by stopping tasks, %g in a new index", i, gpus, fresh.stoppingGPUs[i])
		}
	}
	return nil
}
