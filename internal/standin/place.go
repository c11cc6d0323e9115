package standin

import (
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// MixedZones are the zones of a place with several types of machine.
var MixedZones = []string{"a", "b", "c"}

// ConfigureMixedTypes makes the fleet that of a place with several types of machine in three zones, of
// which one has no large machines. Only so many of each kind are to be had.
func (f *Fleet) ConfigureMixedTypes(boot time.Duration) {
	f.Types = []protocol.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 60, FetchGBPerS: 0.5, Price: 0.18, SpotPrice: 0.06, BootS: boot.Seconds(), Zones: MixedZones},
		{Name: "middle", CPUs: 16, MemoryGB: 64, CacheGB: 30, FetchGBPerS: 0.2, Price: 0.62, SpotPrice: 0.23, BootS: 2 * boot.Seconds(), Zones: []string{"a", "c"}},
		{Name: "heavy", CPUs: 48, GPUs: 4, MemoryGB: 384, CacheGB: 120, FetchGBPerS: 0.3, Price: 14.86, SpotPrice: 5.24, BootS: 1.5 * boot.Seconds(), Zones: []string{"a", "c"}},
	}
	f.BootTime, f.MaxMachines = boot, 200
	f.Capacity = map[MachineKind]int{}
	for _, t := range f.Types {
		for _, z := range t.Zones {
			most := map[string]int{"small": 20, "middle": 8, "heavy": 5}[t.Name]
			f.Capacity[MachineKind{Type: t.Name, Zone: z}] = most
			f.Capacity[MachineKind{Type: t.Name, Zone: z, Spot: true}] = most
		}
	}
}

// AddInitialMachines adds the machines that run there before the first controller does.
func (f *Fleet) AddInitialMachines() (machines int) {
	for _, t := range f.Types {
		for _, z := range t.Zones {
			n := map[string]int{"small": 16, "middle": 6, "heavy": 4}[t.Name]
			f.AddRunningMachines(MachineKind{Type: t.Name, Zone: z}, n)
			machines += n
		}
	}
	return machines
}
