package decide

import "slices"

// Apportion parts machines that belong to nobody among shares: those of each kind in
// proportion to what the shares' teams are guaranteed of what the kind is for, GPUs if it
// has any, or of the other where none of that is guaranteed. What a share is short of by
// rounding it gets of the next ones. It returns a share for each machine.
func Apportion(sizes []Resources, guarantees []Resources) []int {
	var sum Resources
	for _, g := range guarantees {
		sum = sum.Add(g, 1)
	}
	part := func(g Resources, gpus bool) float64 {
		switch {
		case gpus && sum.GPUs > 0 || !gpus && sum.CPUs == 0 && sum.GPUs > 0:
			return g.GPUs / sum.GPUs
		case sum.CPUs > 0:
			return g.CPUs / sum.CPUs
		}
		return 1 / float64(len(guarantees))
	}
	out := make([]int, len(sizes))
	owed := make([]float64, len(guarantees))
	for i, size := range sizes {
		for s, g := range guarantees {
			owed[s] += part(g, size.GPUs > 0)
		}
		out[i] = slices.Index(owed, slices.Max(owed))
		owed[out[i]]--
	}
	return out
}
