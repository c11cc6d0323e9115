package decide

import (
	"testing"

	"pgregory.net/rapid"
)

// The window applies the threshold of Theorem 4, x >= N/(2N+1) * mean(x), where the means include
// the arrival itself.
func TestWindowThreshold(t *testing.T) {
	w := NewWindow(3)
	if !w.RecordArrival(1, 5) {
		t.Fatal("the first job sets the mean and is heavy")
	}
	// N = 1.5, p = 0.375, mean = 3: 1 < 1.125.
	if w.RecordArrival(2, 1) {
		t.Fatal("1 GB against a mean of 3 should be light")
	}
	if !w.RecordArrival(3, 3) {
		t.Fatal("the mean itself should be heavy")
	}
	w.RecordArrival(3, 3)
	if len(w.images) != 3 {
		t.Fatalf("window holds %d, want 3", len(w.images))
	}
}

// A known weakness of the rule: many arrivals with tiny images lower the mean
// until every job counts as heavy. The effect ends once a window of other
// arrivals has replaced them.
func TestManyTinyImagesMakeAllJobsHeavy(t *testing.T) {
	w := NewWindow(DefaultWindow)
	for range DefaultWindow {
		w.RecordArrival(10, 8)
	}
	if w.RecordArrival(10, 2) {
		t.Fatal("2 GB among 8 GB images should be light")
	}
	for range DefaultWindow {
		w.RecordArrival(10, 0.01)
	}
	if !w.RecordArrival(10, 0.5) {
		t.Fatal("after a window of tiny images 0.5 GB should count as heavy")
	}
	for range DefaultWindow {
		w.RecordArrival(10, 8)
	}
	if w.RecordArrival(10, 2) {
		t.Fatal("after another window the tiny images should have no effect")
	}
}

// Pick returns the first r slots for a heavy job and the slots ranked r+1 to 2r for a light one, or
// the last r if there are fewer than 2r.
func TestPickRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		costs := rapid.SliceOfN(rapid.Float64Range(0, 10), 0, 30).Draw(t, "costs")
		r := rapid.IntRange(1, 12).Draw(t, "r")
		heavy := rapid.Bool().Draw(t, "heavy")
		var slots []Slot
		for i, c := range costs {
			slots = append(slots, Slot{Machine: i, Cost: c})
		}
		SortSlots(slots)
		got := Pick(slots, r, heavy, nil)
		if len(got) != min(r, len(slots)) {
			t.Fatalf("picked %d of %d for %d", len(got), len(slots), r)
		}
		first := 0
		if !heavy && len(slots) >= 2*r {
			first = r
		} else if !heavy && len(slots) > r {
			first = len(slots) - r
		}
		for i, s := range got {
			if s != slots[first+i] {
				t.Fatalf("rank %d is %v, want %v", i, s, slots[first+i])
			}
		}
	})
}

// Pick places at most its capacity in each zone, and uses r slots if the zones have capacity for
// them.
func TestPickRespectsZoneCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfN(rapid.IntRange(0, 2), 0, 30).Draw(t, "zones")
		r := rapid.IntRange(1, 12).Draw(t, "r")
		zoneCapacity := map[int]int{}
		possible := 0
		for z := range 3 {
			zoneCapacity[z] = rapid.IntRange(-1, 6).Draw(t, "room")
			n := 0
			for _, y := range zones {
				if y == z {
					n++
				}
			}
			possible += min(n, max(0, zoneCapacity[z]))
		}
		var slots []Slot
		for i, z := range zones {
			slots = append(slots, Slot{Machine: i, Zone: z, Cost: float64(i)})
		}
		got := Pick(slots, r, rapid.Bool().Draw(t, "heavy"), zoneCapacity)
		used := map[int]int{}
		for _, s := range got {
			used[s.Zone]++
		}
		for z, k := range used {
			if k > zoneCapacity[z] {
				t.Fatalf("zone %d has %d, capacity for %d", z, k, zoneCapacity[z])
			}
		}
		if len(got) > r || len(got) < min(r, possible) && len(got) < r {
			t.Fatalf("picked %d, want %d", len(got), min(r, possible))
		}
	})
}

// The total guarantees of two partitions differ by at most the guarantee of one team.
func TestAssignPartitionsBalancesGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		guarantees := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 40).Draw(t, "guarantees")
		partitions := rapid.IntRange(1, 5).Draw(t, "shares")
		load := make([]float64, partitions)
		largest := 0.0
		for i, partition := range AssignPartitions(guarantees, partitions) {
			load[partition] += guarantees[i]
			largest = max(largest, guarantees[i])
		}
		for _, a := range load {
			for _, b := range load {
				if a-b > largest+1e-9 {
					t.Fatalf("loads %v differ by more than one team", load)
				}
			}
		}
	})
}
