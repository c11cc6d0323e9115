package decide

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/RoaringBitmap/roaring/v2"
)

// Index keeps the machines in search order, so that a scheduling pass need not scan the
// fleet. It must be updated on each change of a machine. The cost of an update depends on the
// number of machines only through the depth of a tree. The index holds:
//
//   - Each partition's machines, by name.
//   - The machines that have free capacity and no Block, or are on trial, in a capacityPool for each set of
//     exhausted resources. Slots are ranked in the order of the pools' groups.
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
	machines []*Machine                 // recorded machines, by name
	pools    [allResources]capacityPool // by the kinds of resources that the machines have exhausted
	images   map[string]*roaring.Bitmap // IDs of the machines in pools that hold an image
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
	exhausted := facts.Size.exhausted(facts.Free())
	open := listed && (facts.Block == 0 || facts.Block == Faulty && facts.OnTrial) && facts.Free().kinds() != 0
	stays := m.listed && listed && m.Partition == facts.Partition && m.Name == facts.Name
	x.countAssignments(m, -1)
	var sameGroup *machineGroup // the group that it stays in, at the same position
	sameImages := false         // its images are in the bitmaps already
	if m.group != nil && stays && open {
		sameImages = slices.Equal(m.Images, facts.Images)
		pool := &x.partitions[m.Partition].pools[exhausted]
		if g := m.group; g.pool == pool && g.offer == facts.offer() && g.secPerGB == facts.SecPerGB && m.order == facts.packingOrder() {
			sameGroup = g
		}
	}
	if m.group != nil {
		if sameGroup == nil {
			m.group.remove(m)
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
	m.id, m.listed, m.group, m.order = id, stays, sameGroup, m.packingOrder()
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
		partition.pools[exhausted].insert(m)
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
		if !slices.EqualFunc(actual.machines, expected.machines, same) || len(actual.images) != len(expected.images) {
			return fmt.Errorf("share %d: %d machines, %d images; %d, %d in a new index", i, len(actual.machines), len(actual.images), len(expected.machines), len(expected.images))
		}
		for im, bits := range actual.images {
			if expected.images[im] == nil || bits.GetCardinality() != expected.images[im].GetCardinality() {
				return fmt.Errorf("share %d: image %s is on other machines in a new index", i, im)
			}
		}
		for exhausted := range actual.pools {
			if err := actual.pools[exhausted].check(&expected.pools[exhausted]); err != nil {
				return fmt.Errorf("share %d, machines with resources %03b exhausted: %w", i, exhausted, err)
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
