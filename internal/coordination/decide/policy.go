package decide

import (
	"cmp"
	"math"
	"slices"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Window holds the recent arrivals that the receding-horizon rule needs (paper,
// section IV): the number of jobs present and the image size of each.
type Window struct {
	size    int
	present []float64
	images  []float64
}

// DefaultWindow is the default number of arrivals in a window.
const DefaultWindow = 20

// NewWindow returns an empty window for a number of arrivals.
func NewWindow(size int) *Window { return &Window{size: size} }

// Resize changes the number of arrivals that the window holds.
func (w *Window) Resize(size int) {
	w.size = size
	w.trim()
}

// Len returns the number of arrivals in the window.
func (w *Window) Len() int { return len(w.images) }

// trim drops the oldest arrivals beyond the size.
func (w *Window) trim() {
	if d := len(w.images) - w.size; d > 0 {
		w.present = slices.Delete(w.present, 0, d)
		w.images = slices.Delete(w.images, 0, d)
	}
}

// RecordArrival records an arrival with n jobs present and an image of x GB, and reports
// whether the job is heavy by Theorem 4: x >= p*mean(x), p = N/(2N+1).
func (w *Window) RecordArrival(n int, x float64) (heavy bool) {
	w.present = append(w.present, float64(n))
	w.images = append(w.images, x)
	w.trim()
	N := mean(w.present)
	p := N / (2*N + 1)
	return x >= p*mean(w.images)
}

func mean(v []float64) float64 {
	s := 0.0
	for _, x := range v {
		s += x
	}
	return s / float64(len(v))
}

// Slot is capacity for one task on a machine.
type Slot struct {
	Machine int     // index chosen by the caller
	Zone    int     // zone number chosen by the caller
	Cost    float64 // seconds to fetch the image; 0 if cached
	Order   float64 // orders slots of equal cost, the lowest first
}

// SortSlots sorts slots by cost and order.
func SortSlots(s []Slot) {
	slices.SortStableFunc(s, func(a, b Slot) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Order, b.Order))
	})
}

// Pick chooses up to r of the sorted slots: the cheapest for a heavy job;
// ranks r+1 to 2r, or the last r when fewer than 2r are free, for a light one.
// zoneCapacity limits the number of tasks in each zone (nil: no limit); slots in
// a full zone are skipped.
func Pick(slots []Slot, r int, heavy bool, zoneCapacity map[int]int) []Slot {
	if !heavy {
		// Slots beyond a zone's capacity are not available to this job. They are
		// dropped first so that ranks count available slots only.
		slots = limitZones(slots, zoneCapacity, 2*r)
		if len(slots) >= 2*r {
			slots = slots[r : 2*r]
		} else if len(slots) > r {
			slots = slots[len(slots)-r:]
		}
	}
	return limitZones(slots, zoneCapacity, r)
}

// limitZones returns the first limit slots that their zones have capacity for.
func limitZones(slots []Slot, zoneCapacity map[int]int, limit int) []Slot {
	if zoneCapacity == nil {
		return slots[:min(limit, len(slots))]
	}
	used := map[int]int{}
	var out []Slot
	for _, s := range slots {
		if len(out) == limit {
			break
		}
		if used[s.Zone] < zoneCapacity[s.Zone] {
			used[s.Zone]++
			out = append(out, s)
		}
	}
	return out
}

// Resources is an amount of each resource.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// Tolerance is the rounding error allowed in sums of resources.
const Tolerance = 1e-6

// Add returns a + factor*b.
func (a Resources) Add(b Resources, factor float64) Resources {
	return Resources{a.CPUs + factor*b.CPUs, a.GPUs + factor*b.GPUs, a.MemoryGB + factor*b.MemoryGB}
}

// TaskCount returns how many tasks that each need the resources in task fit into a.
func (a Resources) TaskCount(task Resources) int {
	n := math.MaxInt32
	for _, p := range [3][2]float64{{a.CPUs, task.CPUs}, {a.GPUs, task.GPUs}, {a.MemoryGB, task.MemoryGB}} {
		if p[1] > 0 {
			n = min(n, int(math.Floor((p[0]+Tolerance)/p[1])))
		}
	}
	return max(n, 0)
}

// AssignPartitions assigns each team to a partition. Teams are assigned in the order of the
// settings, each to the partition with the least total guarantee so far.
func AssignPartitions(guarantees []float64, partitions int) []int {
	load := make([]float64, partitions)
	count := make([]int, partitions)
	assigned := make([]int, len(guarantees))
	for i, g := range guarantees {
		best := 0
		for candidate := 1; candidate < partitions; candidate++ {
			if load[candidate] < load[best] || load[candidate] == load[best] && count[candidate] < count[best] {
				best = candidate
			}
		}
		assigned[i] = best
		load[best] += g
		count[best]++
	}
	return assigned
}

// Within reports whether a is covered by a guarantee. A resource with a guarantee of 0 is not
// checked, but at least one of CPUs and GPUs must be guaranteed.
func (a Resources) Within(g Resources) bool {
	return (g.GPUs > 0 || g.CPUs > 0) && (g.GPUs == 0 || a.GPUs <= g.GPUs+Tolerance) && (g.CPUs == 0 || a.CPUs <= g.CPUs+Tolerance)
}

// Need returns the resources that each task of a job needs.
func Need(s *protocol.JobSpec) Resources {
	return Resources{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB}
}
