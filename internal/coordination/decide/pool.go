package decide

import (
	"cmp"
	"fmt"

	"github.com/google/btree"
)

// resourceSet is a set of kinds of resources.
type resourceSet uint8

const (
	cpuResource resourceSet = 1 << iota
	gpuResource
	memoryResource
	// allResources is the set of all kinds. A machine that has exhausted it takes no task.
	allResources resourceSet = 1<<iota - 1
)

// kinds returns the kinds of resources of which there is some.
func (a Resources) kinds() (some resourceSet) {
	if a.CPUs > Tolerance {
		some |= cpuResource
	}
	if a.GPUs > Tolerance {
		some |= gpuResource
	}
	if a.MemoryGB > Tolerance {
		some |= memoryResource
	}
	return some
}

// exhausted returns the kinds of resources that a machine of this size has, but none left of.
func (a Resources) exhausted(free Resources) resourceSet { return a.kinds() &^ free.kinds() }

// capacityPool holds the machines of a partition with free capacity that have the same kinds of
// resources exhausted, for example all machines whose GPUs are all in use. A search visits only
// the pools in which nothing that the job needs is exhausted.
type capacityPool struct {
	groups   []*machineGroup
	machines int
}

// machineGroup holds the machines of a pool that belong to one offer and have the same fetch cost,
// the fullest first.
type machineGroup struct {
	pool     *capacityPool
	offer    Offer
	secPerGB float64
	tree     *btree.BTreeG[*Machine]
}

// fullestFirst orders machines by packingOrder, and equal ones by name.
func fullestFirst(a, b *Machine) bool {
	return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.Name, b.Name)) < 0
}

// insert enters a machine into its group, which is created if there is none.
func (p *capacityPool) insert(m *Machine) {
	m.group = p.groupOf(m)
	m.group.tree.ReplaceOrInsert(m)
	p.machines++
}

// remove removes a machine from its group.
func (g *machineGroup) remove(m *Machine) {
	g.tree.Delete(m)
	g.pool.machines--
}

// groupOf returns the group that a machine belongs to, and creates it if there is none.
func (p *capacityPool) groupOf(m *Machine) *machineGroup {
	offer := m.offer()
	for _, g := range p.groups {
		if g.offer == offer && g.secPerGB == m.SecPerGB {
			return g
		}
	}
	g := &machineGroup{pool: p, offer: offer, secPerGB: m.SecPerGB, tree: btree.NewG(16, fullestFirst)}
	p.groups = append(p.groups, g)
	return g
}

// check returns the first difference between a pool and the same pool of a new index.
func (p *capacityPool) check(expected *capacityPool) error {
	if p.machines != expected.machines {
		return fmt.Errorf("%d machines with room; %d in a new index", p.machines, expected.machines)
	}
	for _, g := range p.groups {
		want := 0
		for _, other := range expected.groups {
			if other.offer == g.offer && other.secPerGB == g.secPerGB {
				want = other.tree.Len()
			}
		}
		if g.tree.Len() != want {
			return fmt.Errorf("%d machines of %v with room, %d in a new index", g.tree.Len(), g.offer, want)
		}
	}
	return nil
}

// groupsFor returns the groups of a partition in which machines for a job's tasks may be found, of
// the offers that suit, and the number of machines in the pools of these groups.
func (p *partitionIndex) groupsFor(j *Job, suits func(Offer) bool) (groups []*machineGroup, machines int) {
	needs := j.Need.kinds()
	for exhausted := range p.pools {
		pool := &p.pools[exhausted]
		if resourceSet(exhausted)&needs != 0 || pool.machines == 0 {
			continue
		}
		machines += pool.machines
		for _, g := range pool.groups {
			if g.tree.Len() > 0 && Allowed(j.Spec, g.offer) && suits(g.offer) {
				groups = append(groups, g)
			}
		}
	}
	return groups, machines
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
			o := cursor.orderOffset + m.order
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
