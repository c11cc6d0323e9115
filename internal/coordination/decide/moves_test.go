package decide

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/protocol"
)

// inShare puts machines into a share of a view of three.
func viewOfPartitions(shares ...[]*Machine) *View {
	x := NewIndex(len(shares), 2)
	for i, ms := range shares {
		for _, m := range ms {
			f := *m
			f.Partition = i
			x.Set(m, &f)
		}
	}
	return &View{Now: testNow, Index: x, Config: Config{ReportS: 2}, Types: map[string]*protocol.MachineType{"g4": g4, "g2": g2, "c24": c24},
		Teams: []*Team{{Name: "red", Guarantee: Resources{CPUs: 100, GPUs: 100}}, {Name: "guest"}}}
}

func withTasks(m *Machine, j *Job, tasks int) *Machine {
	for k := range tasks {
		m.Assignments = append(m.Assignments, Assignment{Job: j, Task: k, Since: testNow.Add(-10 * time.Second), Active: true})
	}
	return m
}

func formatMoves(out []Move) (s string) {
	for _, m := range out {
		s += fmt.Sprintf("%s>%d ", m.Machine.Name, m.Partition)
	}
	return s
}

// g4Gang is one of tasks that fill a machine with four GPUs each, in one zone.
func g4Gang(id string, tasks int) *Job {
	j := gpuJob(id, tasks, true)
	j.Spec.Shape, j.Spec.OneZone, j.Rank = protocol.Gang, true, protocol.High
	j.Spec.CPUs, j.Spec.GPUs, j.Need = 20, 4, Resources{20, 4, 150}
	return j
}

// A share with waiting jobs keeps what they could use and no more: machines of another
// type go. (On simulated days one waiting gang kept 60 empty machines without GPUs in its
// share, while 11,000 tasks waited in another.)
func TestMachinesThatNobodyWaitsForMayGo(t *testing.T) {
	v := viewOfPartitions([]*Machine{machineOf(c24, "m1", 0), machineOf(c24, "m2", 0), machineOf(g4, "m3", 0)}, []*Machine{machineOf(c24, "m4", 24)})
	claims := [][]*Job{{g4Gang("job-1", 2)}, {cpuJob("job-2", protocol.Array, 30, protocol.Low)}}
	if got := formatMoves(v.PlanMoves(claims, make([][]*Job, 2), 60)); got != "m1>1 m2>1 " {
		t.Errorf("moved %q", got)
	}
	claims[0] = []*Job{cpuJob("job-1", protocol.Array, 40, protocol.Low)}
	if got := formatMoves(v.PlanMoves(claims, make([][]*Job, 2), 60)); got != "" {
		t.Errorf("moved %q though its own share could use both", got)
	}
}

// Work that is less urgent makes way for a job of another share, if that one can't be
// served at home, and only so much of it as helps.
func TestLessUrgentWorkMakesWay(t *testing.T) {
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	day := func(atHome int) *View {
		home := []*Machine{withTasks(machineOf(g4, "m1", 24), low, 24)}
		for i := range atHome {
			home = append(home, withTasks(machineOf(g4, fmt.Sprint("h", i), 24), low, 24))
		}
		away := []*Machine{withTasks(machineOf(g4, "m5", 10), low, 10), withTasks(machineOf(g4, "m6", 2), low, 2), withTasks(machineOf(c24, "m7", 1), low, 1)}
		return viewOfPartitions(home, away)
	}
	claims := [][]*Job{{g4Gang("job-1", 2)}, {low}}
	got := day(0).PlanMoves(claims, make([][]*Job, 2), 60)
	if formatMoves(got) != "m6>0 " || got[0].Rank != protocol.High {
		t.Errorf("moved %+v", got)
	}
	if got := day(1).PlanMoves(claims, make([][]*Job, 2), 60); len(got) != 0 {
		t.Errorf("moved %q though it can be served at home", formatMoves(got))
	}
	claims[1] = []*Job{g4Gang("job-2", 2)}
	if got := day(0).PlanMoves(claims, make([][]*Job, 2), 60); len(got) != 0 {
		t.Errorf("moved %q though as urgent a job waits for it there", formatMoves(got))
	}
	claims = [][]*Job{{g4Gang("job-1", 4)}, nil}
	if got := day(0).PlanMoves(claims, make([][]*Job, 2), 60); len(got) != 0 {
		t.Errorf("moved %q though all of them would not start the gang", formatMoves(got))
	}
}

// A gang needs a machine that replicas keep, and its share is full of replicas. Machines on
// which another share runs less urgent work go there for them, as many as it takes and of
// their zone; none does if the replicas find places at home. (On a simulated quiet day 336
// replicas kept 7 of 15 machines from gangs for minutes.)
func TestMachinesGoForReplicasThatKeepGPUs(t *testing.T) {
	pages := cpuJob("job-pages", protocol.Service, 30, protocol.Production)
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	outOfZone := withTasks(machineOf(c24, "m7", 24, "i"), low, 24)
	outOfZone.Zone = "b"
	for _, c := range []struct {
		name string
		home *Machine
		want string
	}{
		{"full of replicas", withTasks(machineOf(c24, "m2", 24, "i"), pages, 24), "m5>0 "},
		{"less urgent work at home", withTasks(machineOf(c24, "m2", 24, "i"), low, 24), ""},
	} {
		v := viewOfPartitions([]*Machine{withTasks(machineOf(g4, "m1", 24, "i"), pages, 24), c.home},
			[]*Machine{outOfZone, withTasks(machineOf(c24, "m5", 24, "i"), low, 24), withTasks(machineOf(c24, "m6", 24, "i"), low, 24)})
		v.GPUTypesInDemand = map[string]bool{"g4": true}
		got := v.PlanMoves([][]*Job{{g4Gang("job-1", 1)}, {low}}, make([][]*Job, 2), 60)
		if formatMoves(got) != c.want || len(got) > 0 && got[0].Rank != protocol.High {
			t.Errorf("%s: moved %+v, want %q", c.name, got, c.want)
		}
	}
}

// In a share where nothing waits, machines with tasks that end by themselves soon are drained for
// a share where tasks wait, once there are no empty ones; what its own share waits for, services
// and tasks with long to go stay, and so does everything for a gang.
func TestMachinesAreDrained(t *testing.T) {
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	long := cpuJob("job-long", protocol.Array, 24, protocol.Low)
	long.Spec.EstimateS = 10 + maxDrainTime.Seconds() + 1 // its tasks began 10 s ago
	pages := cpuJob("job-pages", protocol.Service, 24, protocol.Production)
	away := func() []*Machine {
		return []*Machine{machineOf(c24, "m5", 0), withTasks(machineOf(c24, "m6", 3, "i"), low, 3), withTasks(machineOf(c24, "m7", 3, "i"), long, 3), withTasks(machineOf(c24, "m8", 3, "i"), pages, 3)}
	}
	gangs := g4Gang("job-g", 2)
	gangs.Rank, gangs.Spec.GPUs, gangs.Need.GPUs = protocol.Low, 0, 0
	for _, c := range []struct {
		name string
		job  *Job
		own  []*Job
		want string
	}{
		{"few tasks", cpuJob("job-1", protocol.Array, 24, protocol.Low), nil, "m5>0 "},
		{"many tasks", cpuJob("job-1", protocol.Array, 400, protocol.Low), nil, "m5>0 m6>0 "},
		{"tasks wait there too", cpuJob("job-1", protocol.Array, 400, protocol.Low), []*Job{cpuJob("job-2", protocol.Array, 400, protocol.Low)}, ""},
		{"a gang", gangs, nil, ""},
	} {
		v := viewOfPartitions([]*Machine{withTasks(machineOf(c24, "m1", 24), low, 24)}, away())
		v.Teams[0].Guarantee.CPUs = 1000
		if got := formatMoves(v.PlanMoves([][]*Job{{c.job}, c.own}, make([][]*Job, 2), 60)); got != c.want {
			t.Errorf("%s: moved %q, want %q", c.name, got, c.want)
		}
	}
}

// A machine that was emptied for an urgent job of another share goes there, though the work
// that was stopped waits again in its own share; as urgent work keeps it.
func TestEmptiedMachineGoesToTheUrgentJob(t *testing.T) {
	day := func() *View { return viewOfPartitions(nil, []*Machine{machineOf(c24, "m1", 0)}) }
	urgent, stopped := cpuJob("job-urgent", protocol.Array, 2, protocol.Production), cpuJob("job-low", protocol.Array, 24, protocol.Low)
	for _, c := range []struct {
		name    string
		waiting []*Job // where the machine is
		want    string
	}{
		{"less urgent work waits there", []*Job{stopped}, "m1>0 "},
		{"as urgent work waits there too", []*Job{cpuJob("job-2", protocol.Array, 24, protocol.Production), stopped}, ""},
	} {
		if got := formatMoves(day().PlanMoves([][]*Job{{urgent}, c.waiting}, make([][]*Job, 2), 60)); got != c.want {
			t.Errorf("%s: moved %q", c.name, got)
		}
	}
}

// Whatever waits where: a machine goes once, to another share than its own, for a job that
// may use it, and work that is as urgent stays.
func TestMovesKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shares [][]*Machine
		for i := range 3 {
			v, ms := drawFleet(t)
			for _, m := range ms {
				m.Name = fmt.Sprint(i, m.Name)
				if k := int(m.Used.CPUs / 4); k > 0 {
					j := drawJob(t, "job-h")
					j.Need = Resources{4, min(1, m.Used.GPUs), 20}
					withTasks(m, j, k)
				}
			}
			_ = v
			shares = append(shares, ms)
		}
		v := viewOfPartitions(shares...)
		claims, guests := make([][]*Job, 3), make([][]*Job, 3)
		jobs := map[string]*Job{}
		for i := range 3 {
			for k := range rapid.IntRange(0, 4).Draw(t, "jobs") {
				j := drawJob(t, fmt.Sprint("job-", i, k))
				if rapid.IntRange(0, 3).Draw(t, "guest") == 0 {
					j.Team = 1
					guests[i] = append(guests[i], j)
				} else {
					claims[i] = append(claims[i], j)
				}
				jobs[j.ID] = j
			}
		}
		// usable is how many tasks of a job an empty machine could run. Work that needs no
		// GPUs is not waited for on a machine with GPUs.
		usable := func(j *Job, m *Machine) int {
			if !Allowed(j.Spec, m.offer()) || v.idledGPUs(j, m.Type) > 0 {
				return 0
			}
			return m.Size.TaskCount(j.Need)
		}
		// capacity is how many tasks of a job all machines of a share could run, if they
		// were empty.
		capacity := func(j *Job, share int) (n int) {
			for _, m := range v.Index.Machines(share) {
				n += usable(j, m)
			}
			return n
		}
		seen := map[*Machine]bool{}
		for _, x := range v.PlanMoves(claims, guests, 60) {
			if seen[x.Machine] || x.Machine.Partition == x.Partition || x.Machine.Block&(Returned|Returning|Moving) != 0 {
				t.Fatalf("%s to %d", x.Machine.Name, x.Partition)
			}
			seen[x.Machine] = true
			useful := false
			for _, j := range append(claims[x.Partition], guests[x.Partition]...) {
				useful = useful || j.Rank == x.Rank && usable(j, x.Machine) > 0
			}
			if !useful {
				t.Fatalf("%s goes to %d, where no job could use it", x.Machine.Name, x.Partition)
			}
			if x.Drain {
				if x.OnlyIfUnneeded || !v.DrainsSoon(x.Machine) || slices.ContainsFunc(claims[x.Machine.Partition], func(j *Job) bool {
					return j.Rank <= x.Rank && usable(j, x.Machine) > 0 && v.Demand(j) > capacity(j, x.Machine.Partition) && !j.zoneConstrained()
				}) {
					t.Fatalf("%s is drained, spare %v", x.Machine.Name, x.OnlyIfUnneeded)
				}
				continue
			}
			for _, h := range x.Machine.Assignments {
				if guest := v.Teams[h.Job.Team].Unguaranteed(); x.OnlyIfUnneeded || !guest && h.Job.Rank <= x.Rank && !v.CanRelocate(x.Machine, x.Rank) {
					t.Fatalf("%s goes with work of rank %d on it, for rank %d, spare %v", x.Machine.Name, h.Job.Rank, x.Rank, x.OnlyIfUnneeded)
				}
			}
		}
	})
}

// What a plan of moves costs by size of the fleet: three shares that are full, an array
// waiting for every eighth machine and a gang for every hundredth.
func BenchmarkMoves(b *testing.B) {
	for _, size := range []int{48, 400, 1600} {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			service := gpuJob("job-s", 0, true)
			service.Spec.Shape, service.Rank = protocol.Service, protocol.Production
			shares, claims := make([][]*Machine, 3), make([][]*Job, 3)
			for i := range size {
				m := withTasks(g4Machine(fmt.Sprintf("host-%06d", i), "a", 4), service, 2)
				shares[i%3] = append(shares[i%3], withTasks(m, gpuJob("job-a", 0, true), 2))
				if i%8 == 0 {
					claims[i%3] = append(claims[i%3], gpuJob(fmt.Sprint("job-", i), 30, true))
				}
				if i%100 == 0 {
					claims[i%3] = append(claims[i%3], g4Gang(fmt.Sprint("gang-", i), 4))
				}
			}
			v := viewOfPartitions(shares...)
			v.Teams[0].Limit = Resources{}
			b.ReportAllocs()
			for b.Loop() {
				v.PlanMoves(claims, make([][]*Job, 3), 60)
			}
		})
	}
}
