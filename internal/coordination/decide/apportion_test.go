package decide

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Each partition gets a number of machines in proportion to its guarantees, with a difference of
// at most two machines, and every machine is assigned to some partition.
func TestApportion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		partitions := rapid.IntRange(1, 5).Draw(t, "shares")
		var guarantees []Resources
		var total Resources
		for range partitions {
			a := Resources{CPUs: float64(rapid.IntRange(0, 3).Draw(t, "cpus")), GPUs: float64(rapid.IntRange(0, 3).Draw(t, "gpus"))}
			guarantees, total = append(guarantees, a), total.Add(a, 1)
		}
		hasGPUs := rapid.Bool().Draw(t, "with gpus")
		size := Resources{CPUs: 4, MemoryGB: 8}
		if hasGPUs {
			size.GPUs = 1
		}
		sizes := make([]Resources, rapid.IntRange(1, 60).Draw(t, "machines"))
		for i := range sizes {
			sizes[i] = size
		}
		got := make([]float64, partitions)
		for _, partition := range Apportion(sizes, guarantees) {
			got[partition]++
		}
		for partition := range got {
			fraction := 1 / float64(partitions)
			switch {
			case hasGPUs && total.GPUs > 0 || total.CPUs == 0 && total.GPUs > 0:
				fraction = guarantees[partition].GPUs / total.GPUs
			case total.CPUs > 0:
				fraction = guarantees[partition].CPUs / total.CPUs
			}
			if d := math.Abs(got[partition] - fraction*float64(len(sizes))); d > 2 {
				t.Fatalf("partition %d of %v got %g of %d machines", partition, guarantees, got[partition], len(sizes))
			}
		}
	})
}
