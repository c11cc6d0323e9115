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

// Whatever the simulated troubles do, each decision is made on facts that are those of
// the actor's state, and chooses what a walk over all machines would.
var checkedPlacings atomic.Int64

func init() {
	checkPlacing = func(n *Node, v *decide.View, j *decide.Job, p decide.Placing) {
		for _, m := range n.machines {
			want := n.machineFacts(m)
			got := decide.Machine{Name: m.facts.Name, Type: m.facts.Type, Zone: m.facts.Zone, Spot: m.facts.Spot, Share: m.facts.Share, Block: m.facts.Block, HasType: m.facts.HasType, Size: m.facts.Size, Used: m.facts.Used,
				SecPerGB: m.facts.SecPerGB, Images: m.facts.Images, AvoidTill: m.facts.AvoidTill, Heard: m.facts.Heard, Addressed: m.facts.Addressed, Held: m.facts.Held, Earmark: m.facts.Earmark, EarmarkTo: m.facts.EarmarkTo, Reserved: m.facts.Reserved, Needed: m.facts.Needed}
			for _, f := range []*decide.Machine{&want, &got} {
				f.Held, f.Images = slices.Clone(f.Held), slices.Clone(f.Images)
				sort.Strings(f.Images)
				slices.SortFunc(f.Held, func(a, b decide.Held) int {
					return compareNames(fmt.Sprint(a.Job.ID, "/", a.Task), fmt.Sprint(b.Job.ID, "/", b.Task))
				})
			}
			if !reflect.DeepEqual(got, want) {
				panic(fmt.Sprintf("facts of %s are %+v, they should be %+v", m.name, got, want))
			}
		}
		if p.Room.Made() || p.Why == decide.RoomIsMade {
			return
		}
		if want := decidetest.Slots(v, j, v.Config.Fragile(j, v.Now)); !slices.Equal(p.On, want) {
			panic(fmt.Sprintf("%s: %d places, a walk finds %d", j.ID, len(p.On), len(want)))
		}
		checkedPlacings.Add(1)
	}
}
