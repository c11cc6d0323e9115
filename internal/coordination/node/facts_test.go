package node

import (
	"fmt"
	"reflect"
	"slices"
	"sort"
	"sync/atomic"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/decide/decidetest"
)

// Every simulation checks each placement: its facts must match the actor's state, and it must choose
// the machines that a full walk over all machines would choose.
var checkedPlacements atomic.Int64

func init() {
	checkPlacement = func(n *Node, v *decide.View, j *decide.Job, p decide.Placement) {
		for _, m := range n.machines {
			want := n.buildMachineFacts(m)
			got := decide.Machine{Name: m.facts.Name, Type: m.facts.Type, Zone: m.facts.Zone, Spot: m.facts.Spot, Partition: m.facts.Partition, Block: m.facts.Block, HasType: m.facts.HasType, Size: m.facts.Size, Used: m.facts.Used,
				SecPerGB: m.facts.SecPerGB, Images: m.facts.Images, AvoidUntil: m.facts.AvoidUntil, LastReport: m.facts.LastReport, HasAddress: m.facts.HasAddress, Assignments: m.facts.Assignments, EarmarkedFor: m.facts.EarmarkedFor, EarmarkedUntil: m.facts.EarmarkedUntil, Reserved: m.facts.Reserved, Needed: m.facts.Needed, OnTrial: m.facts.OnTrial, ExcludedJobs: m.facts.ExcludedJobs}
			for _, f := range []*decide.Machine{&want, &got} {
				f.Assignments, f.Images = slices.Clone(f.Assignments), slices.Clone(f.Images)
				sort.Strings(f.Images)
				slices.SortFunc(f.Assignments, func(a, b decide.Assignment) int {
					return compareNames(fmt.Sprint(a.Job.ID, "/", a.Task), fmt.Sprint(b.Job.ID, "/", b.Task))
				})
			}
			if !reflect.DeepEqual(got, want) {
				panic(fmt.Sprintf("facts of %s are %+v, they should be %+v", m.name, got, want))
			}
		}
		if p.Preemption.HasEvictions() || p.Reason == decide.PreemptionInProgress {
			return
		}
		if want := decidetest.Slots(v, j, v.Config.RestartMissesObjective(j, v.Now)); !slices.Equal(p.Machines, want) {
			panic(fmt.Sprintf("%s: %d placements, a full walk finds %d", j.ID, len(p.Machines), len(want)))
		}
		checkedPlacements.Add(1)
	}
}
