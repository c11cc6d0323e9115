package decide

import "slices"

// Apportion distributes unowned machines among partitions. It takes the machines' sizes
// and the sum of the guarantees of each partition's teams, and returns a partition for
// each machine. Machines with GPUs are distributed in proportion to the guaranteed GPUs,
// machines without in proportion to the guaranteed CPUs; if no team is guaranteed the one
// resource, the other decides, and if no team has a guarantee, all partitions get the same
// number. What rounding takes from a partition carries over to the next machines.
func Apportion(sizes []Resources, guarantees []Resources) []int {
	var total Resources
	for _, guarantee := range guarantees {
		total = total.Add(guarantee, 1)
	}
	fraction := func(guarantee Resources, hasGPUs bool) float64 {
		switch {
		case hasGPUs && total.GPUs > 0 || !hasGPUs && total.CPUs == 0 && total.GPUs > 0:
			return guarantee.GPUs / total.GPUs
		case total.CPUs > 0:
			return guarantee.CPUs / total.CPUs
		}
		return 1 / float64(len(guarantees))
	}
	assigned := make([]int, len(sizes))
	owed := make([]float64, len(guarantees))
	for i, size := range sizes {
		for partition, guarantee := range guarantees {
			owed[partition] += fraction(guarantee, size.GPUs > 0)
		}
		assigned[i] = slices.Index(owed, slices.Max(owed))
		owed[assigned[i]]--
	}
	return assigned
}
