package decide

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Of each kind a share gets its part of the guarantees, to within two machines, and every
// machine goes to some share.
func TestApportion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := rapid.IntRange(1, 5).Draw(t, "shares")
		var g []Resources
		var sum Resources
		for range shares {
			a := Resources{CPUs: float64(rapid.IntRange(0, 3).Draw(t, "cpus")), GPUs: float64(rapid.IntRange(0, 3).Draw(t, "gpus"))}
			g, sum = append(g, a), sum.Add(a, 1)
		}
		gpus := rapid.Bool().Draw(t, "with gpus")
		size := Resources{CPUs: 4, MemoryGB: 8}
		if gpus {
			size.GPUs = 1
		}
		sizes := make([]Resources, rapid.IntRange(1, 60).Draw(t, "machines"))
		for i := range sizes {
			sizes[i] = size
		}
		got := make([]float64, shares)
		for _, s := range Apportion(sizes, g) {
			got[s]++
		}
		for s := range got {
			part := 1 / float64(shares)
			switch {
			case gpus && sum.GPUs > 0 || sum.CPUs == 0 && sum.GPUs > 0:
				part = g[s].GPUs / sum.GPUs
			case sum.CPUs > 0:
				part = g[s].CPUs / sum.CPUs
			}
			if d := math.Abs(got[s] - part*float64(len(sizes))); d > 2 {
				t.Fatalf("share %d of %v got %g of %d", s, g, got[s], len(sizes))
			}
		}
	})
}
