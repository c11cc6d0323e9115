package decide

import (
	"cmp"
	"math"
	"slices"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Window is the receding-horizon rule's memory of recent arrivals (paper,
// section IV): each entry holds the jobs present and the image size.
type Window struct {
	size    int
	present []float64
	images  []float64
}

// DefaultWindow is the number of arrivals remembered at the start.
const DefaultWindow = 20

// NewWindow makes a window of size arrivals.
func NewWindow(size int) *Window { return &Window{size: size} }

// Resize changes the number of arrivals remembered.
func (w *Window) Resize(size int) {
	w.size = size
	w.trim()
}

// Len is the number of arrivals remembered.
func (w *Window) Len() int { return len(w.images) }

func (w *Window) trim() {
	if d := len(w.images) - w.size; d > 0 {
		w.present = slices.Delete(w.present, 0, d)
		w.images = slices.Delete(w.images, 0, d)
	}
}

// RecordArrival records an arrival with n jobs present and an image of x GB, and says
// whether Theorem 4 counts it as heavy: x >= p*mean(x), p = N/(2N+1).
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

// Slot is a place for one task on a machine.
type Slot struct {
	Machine int // dense index chosen by the caller
	Zone    int
	Cost    float64 // seconds to fetch the image; 0 if cached
	Order   float64 // ties of cost: lower first
}

// SortSlots orders slots from the cheapest.
func SortSlots(s []Slot) {
	slices.SortStableFunc(s, func(a, b Slot) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Order, b.Order))
	})
}

// Pick chooses up to r of the sorted slots: the cheapest for a heavy job;
// ranks r+1 to 2r, or the last r when fewer than 2r are free, for a light one.
// room says how many more tasks a zone may take (nil: any number); slots in a
// full zone are passed over.
func Pick(slots []Slot, r int, heavy bool, room map[int]int) []Slot {
	if !heavy {
		// What a zone may not take is not a slot for this job; dropping it first
		// keeps the ranks meaningful.
		slots = limitZones(slots, room, 2*r)
		if len(slots) >= 2*r {
			slots = slots[r : 2*r]
		} else if len(slots) > r {
			slots = slots[len(slots)-r:]
		}
	}
	return limitZones(slots, room, r)
}

func limitZones(slots []Slot, room map[int]int, most int) []Slot {
	if room == nil {
		return slots[:min(most, len(slots))]
	}
	used := map[int]int{}
	var out []Slot
	for _, s := range slots {
		if len(out) == most {
			break
		}
		if used[s.Zone] < room[s.Zone] {
			used[s.Zone]++
			out = append(out, s)
		}
	}
	return out
}

// Resources is a vector of resources.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// Tolerance is what sums of amounts may differ by.
const Tolerance = 1e-6

// Add returns a + k*b.
func (a Resources) Add(b Resources, k float64) Resources {
	return Resources{a.CPUs + k*b.CPUs, a.GPUs + k*b.GPUs, a.MemoryGB + k*b.MemoryGB}
}

// TaskCount says how many tasks of size t fit into a.
func (a Resources) TaskCount(t Resources) int {
	n := math.MaxInt32
	for _, p := range [3][2]float64{{a.CPUs, t.CPUs}, {a.GPUs, t.GPUs}, {a.MemoryGB, t.MemoryGB}} {
		if p[1] > 0 {
			n = min(n, int(math.Floor((p[0]+Tolerance)/p[1])))
		}
	}
	return max(n, 0)
}

// AssignPartitions gives each team a share, in settings order, each to the share
// with the least guarantee so far.
func AssignPartitions(guarantees []float64, shares int) []int {
	load := make([]float64, shares)
	count := make([]int, shares)
	out := make([]int, len(guarantees))
	for i, g := range guarantees {
		best := 0
		for s := 1; s < shares; s++ {
			if load[s] < load[best] || load[s] == load[best] && count[s] < count[best] {
				best = s
			}
		}
		out[i] = best
		load[best] += g
		count[best]++
	}
	return out
}

// Within says whether a fits into a guarantee (0: none of that kind given).
func (a Resources) Within(g Resources) bool {
	return (g.GPUs > 0 || g.CPUs > 0) && (g.GPUs == 0 || a.GPUs <= g.GPUs+Tolerance) && (g.CPUs == 0 || a.CPUs <= g.CPUs+Tolerance)
}

// Need is what each task of a job takes.
func Need(s *protocol.JobSpec) Resources {
	return Resources{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB}
}
