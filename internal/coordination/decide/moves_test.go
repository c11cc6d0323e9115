package decide

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/protocol"
)

// viewOfPartitions returns a view of several partitions, each with the given machines.
func viewOfPartitions(partitions ...[]*Machine) *View {
	index := NewIndex(len(partitions), 2)
	for i, ms := range partitions {
		for _, m := range ms {
			facts := *m
			facts.Partition = i
			index.Set(m, &facts)
		}
	}
	return &View{Now: testNow, Index: index, Config: Config{ReportS: 2}, Types: map[string]*protocol.MachineType{"g4": g4, "g2": g2, "c24": c24},
		Teams: []*Team{{Name: "red", Guarantee: Resources{CPUs: 100, GPUs: 100}}, {Name: "guest"}}}
}

// withTasks assigns tasks of a job to a machine, all started 10 s ago. It does not change Used.
func withTasks(m *Machine, j *Job, tasks int) *Machine {
	for k := range tasks {
		m.Assignments = append(m.Assignments, Assignment{Job: j, Task: k, Since: testNow.Add(-10 * time.Second), Active: true})
	}
	return m
}

// formatMoves formats moves as machine>partition, each followed by a space.
func formatMoves(moves []Move) (s string) {
	for _, m := range moves {
		s += fmt.Sprintf("%s>%d ", m.Machine.Name, m.Partition)
	}
	return s
}

// g4Gang returns a gang of high priority that must run in one zone and whose tasks each fill a
// machine of type g4.
func g4Gang(id string, tasks int) *Job {
	j := gpuJob(id, tasks, true)
	j.Spec.Shape, j.Spec.OneZone, j.Rank = protocol.Gang, true, protocol.High
	j.Spec.CPUs, j.Spec.GPUs, j.Need = 20, 4, Resources{20, 4, 150}
	return j
}

// A partition with waiting jobs keeps only machines that they can use; machines of other types
// move. On simulated days one waiting gang kept 60 empty machines without GPUs in its partition,
// while 11,000 tasks waited in another.
func TestUnneededMachinesMove(t *testing.T) {
	v := viewOfPartitions([]*Machine{machineOf(c24, "m1", 0), machineOf(c24, "m2", 0), machineOf(g4, "m3", 0)}, []*Machine{machineOf(c24, "m4", 24)})
	guaranteed := [][]*Job{{g4Gang("job-1", 2)}, {cpuJob("job-2", protocol.Array, 30, protocol.Low)}}
	if got := formatMoves(v.PlanMoves(guaranteed, make([][]*Job, 2), 60)); got != "m1>1 m2>1 " {
		t.Errorf("moved %q", got)
	}
	guaranteed[0] = []*Job{cpuJob("job-1", protocol.Array, 40, protocol.Low)}
	if got := formatMoves(v.PlanMoves(guaranteed, make([][]*Job, 2), 60)); got != "" {
		t.Errorf("moved %q though its own partition could use both", got)
	}
}

// Machines with tasks of lower priority move for a job of another partition, only as many as help,
// and only if the job cannot be placed in its own partition and no job of the same priority waits
// for them.
func TestMovesPreemptLowerPriority(t *testing.T) {
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	newView := func(localMachines int) *View {
		local := []*Machine{withTasks(machineOf(g4, "m1", 24), low, 24)}
		for i := range localMachines {
			local = append(local, withTasks(machineOf(g4, fmt.Sprint("h", i), 24), low, 24))
		}
		remote := []*Machine{withTasks(machineOf(g4, "m5", 10), low, 10), withTasks(machineOf(g4, "m6", 2), low, 2), withTasks(machineOf(c24, "m7", 1), low, 1)}
		return viewOfPartitions(local, remote)
	}
	guaranteed := [][]*Job{{g4Gang("job-1", 2)}, {low}}
	got := newView(0).PlanMoves(guaranteed, make([][]*Job, 2), 60)
	if formatMoves(got) != "m6>0 " || got[0].Rank != protocol.High {
		t.Errorf("moved %+v", got)
	}
	if got := newView(1).PlanMoves(guaranteed, make([][]*Job, 2), 60); len(got) != 0 {
		t.Errorf("moved %q though the job fits in its own partition", formatMoves(got))
	}
	guaranteed[1] = []*Job{g4Gang("job-2", 2)}
	if got := newView(0).PlanMoves(guaranteed, make([][]*Job, 2), 60); len(got) != 0 {
		t.Errorf("moved %q though a job of the same priority waits for it there", formatMoves(got))
	}
	guaranteed = [][]*Job{{g4Gang("job-1", 4)}, nil}
	if got := newView(0).PlanMoves(guaranteed, make([][]*Job, 2), 60); len(got) != 0 {
		t.Errorf("moved %q though all of them would not start the gang", formatMoves(got))
	}
}

// A gang needs a machine that replicas occupy, and its partition is full of replicas. Machines of
// their zone on which another partition runs tasks of lower priority move there for the replicas,
// as many as needed, and none if the replicas can be relocated within their partition. On a
// simulated day 336 replicas kept 7 of 15 machines from gangs for minutes.
func TestMachinesMoveForRelocatedReplicas(t *testing.T) {
	pages := cpuJob("job-pages", protocol.Service, 30, protocol.Production)
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	outOfZone := withTasks(machineOf(c24, "m7", 24, "i"), low, 24)
	outOfZone.Zone = "b"
	for _, c := range []struct {
		name  string
		local *Machine
		want  string
	}{
		{"full of replicas", withTasks(machineOf(c24, "m2", 24, "i"), pages, 24), "m5>0 "},
		{"tasks of lower priority in the partition", withTasks(machineOf(c24, "m2", 24, "i"), low, 24), ""},
	} {
		v := viewOfPartitions([]*Machine{withTasks(machineOf(g4, "m1", 24, "i"), pages, 24), c.local},
			[]*Machine{outOfZone, withTasks(machineOf(c24, "m5", 24, "i"), low, 24), withTasks(machineOf(c24, "m6", 24, "i"), low, 24)})
		v.GPUTypesInDemand = map[string]bool{"g4": true}
		got := v.PlanMoves([][]*Job{{g4Gang("job-1", 1)}, {low}}, make([][]*Job, 2), 60)
		if formatMoves(got) != c.want || len(got) > 0 && got[0].Rank != protocol.High {
			t.Errorf("%s: moved %+v, want %q", c.name, got, c.want)
		}
	}
}

// If no empty machine is left, machines whose tasks end soon are drained for a partition where
// tasks wait. Machines that their own partition needs, or that run services or long tasks, are not
// drained, and none is drained for a gang.
func TestMachinesAreDrained(t *testing.T) {
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	long := cpuJob("job-long", protocol.Array, 24, protocol.Low)
	long.Spec.EstimateS = 10 + maxDrainTime.Seconds() + 1 // its tasks started 10 s ago
	pages := cpuJob("job-pages", protocol.Service, 24, protocol.Production)
	remote := func() []*Machine {
		return []*Machine{machineOf(c24, "m5", 0), withTasks(machineOf(c24, "m6", 3, "i"), low, 3), withTasks(machineOf(c24, "m7", 3, "i"), long, 3), withTasks(machineOf(c24, "m8", 3, "i"), pages, 3)}
	}
	gangs := g4Gang("job-g", 2)
	gangs.Rank, gangs.Spec.GPUs, gangs.Need.GPUs = protocol.Low, 0, 0
	for _, c := range []struct {
		name      string
		job       *Job
		localJobs []*Job
		want      string
	}{
		{"few tasks", cpuJob("job-1", protocol.Array, 24, protocol.Low), nil, "m5>0 "},
		{"many tasks", cpuJob("job-1", protocol.Array, 400, protocol.Low), nil, "m5>0 m6>0 "},
		{"tasks wait in the other partition too", cpuJob("job-1", protocol.Array, 400, protocol.Low), []*Job{cpuJob("job-2", protocol.Array, 400, protocol.Low)}, ""},
		{"a gang", gangs, nil, ""},
	} {
		v := viewOfPartitions([]*Machine{withTasks(machineOf(c24, "m1", 24), low, 24)}, remote())
		v.Teams[0].Guarantee.CPUs = 1000
		if got := formatMoves(v.PlanMoves([][]*Job{{c.job}, c.localJobs}, make([][]*Job, 2), 60)); got != c.want {
			t.Errorf("%s: moved %q, want %q", c.name, got, c.want)
		}
	}
}

// A machine that was emptied for a job of high priority in another partition moves there, although
// the stopped tasks wait again in its own partition. A waiting job of the same priority keeps it.
func TestEmptiedMachineMovesToHigherPriorityJob(t *testing.T) {
	newView := func() *View { return viewOfPartitions(nil, []*Machine{machineOf(c24, "m1", 0)}) }
	urgent, stopped := cpuJob("job-urgent", protocol.Array, 2, protocol.Production), cpuJob("job-low", protocol.Array, 24, protocol.Low)
	for _, c := range []struct {
		name    string
		waiting []*Job // jobs in the machine's partition
		want    string
	}{
		{"lower priority waits there", []*Job{stopped}, "m1>0 "},
		{"the same priority waits there too", []*Job{cpuJob("job-2", protocol.Array, 24, protocol.Production), stopped}, ""},
	} {
		if got := formatMoves(newView().PlanMoves([][]*Job{{urgent}, c.waiting}, make([][]*Job, 2), 60)); got != c.want {
			t.Errorf("%s: moved %q", c.name, got)
		}
	}
}

// With any machines and waiting jobs, a machine moves at most once, to another partition, for a job
// that can use it, and never if it runs tasks of the same or a higher priority that cannot be
// relocated.
func TestPlanMovesRespectsConstraints(t *testing.T) {
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
		guaranteed, unguaranteed := make([][]*Job, 3), make([][]*Job, 3)
		jobs := map[string]*Job{}
		for i := range 3 {
			for k := range rapid.IntRange(0, 4).Draw(t, "jobs") {
				j := drawJob(t, fmt.Sprint("job-", i, k))
				if rapid.IntRange(0, 3).Draw(t, "guest") == 0 {
					j.Team = 1
					unguaranteed[i] = append(unguaranteed[i], j)
				} else {
					guaranteed[i] = append(guaranteed[i], j)
				}
				jobs[j.ID] = j
			}
		}
		// usableTasks returns how many tasks of a job an empty machine could run. Machines
		// whose GPUs would idle do not count.
		usableTasks := func(j *Job, m *Machine) int {
			if !Allowed(j.Spec, m.offer()) || v.idledGPUs(j, m.Type) > 0 {
				return 0
			}
			return m.Size.TaskCount(j.Need)
		}
		// capacity returns how many tasks of a job all machines of a partition could run if
		// they were empty.
		capacity := func(j *Job, partition int) (n int) {
			for _, m := range v.Index.Machines(partition) {
				n += usableTasks(j, m)
			}
			return n
		}
		seen := map[*Machine]bool{}
		for _, move := range v.PlanMoves(guaranteed, unguaranteed, 60) {
			if seen[move.Machine] || move.Machine.Partition == move.Partition || move.Machine.Block&(Returned|Returning|Moving) != 0 {
				t.Fatalf("%s moves to %d", move.Machine.Name, move.Partition)
			}
			seen[move.Machine] = true
			useful := false
			for _, j := range append(guaranteed[move.Partition], unguaranteed[move.Partition]...) {
				useful = useful || j.Rank == move.Rank && usableTasks(j, move.Machine) > 0
			}
			if !useful {
				t.Fatalf("%s moves to %d, where no job could use it", move.Machine.Name, move.Partition)
			}
			if move.Drain {
				if move.OnlyIfUnneeded || !v.DrainsSoon(move.Machine) || slices.ContainsFunc(guaranteed[move.Machine.Partition], func(j *Job) bool {
					return j.Rank <= move.Rank && usableTasks(j, move.Machine) > 0 && v.Demand(j) > capacity(j, move.Machine.Partition) && !j.zoneConstrained()
				}) {
					t.Fatalf("%s is drained, only if unneeded %v", move.Machine.Name, move.OnlyIfUnneeded)
				}
				continue
			}
			for _, task := range move.Machine.Assignments {
				if unguaranteedTeam := v.Teams[task.Job.Team].Unguaranteed(); move.OnlyIfUnneeded || !unguaranteedTeam && task.Job.Rank <= move.Rank && !v.CanRelocate(move.Machine, move.Rank) {
					t.Fatalf("%s moves with a task of rank %d on it, for rank %d, only if unneeded %v", move.Machine.Name, task.Job.Rank, move.Rank, move.OnlyIfUnneeded)
				}
			}
		}
	})
}

// BenchmarkMoves measures a plan of moves by fleet size: three full partitions, with a waiting array
// for every eighth machine and a waiting gang for every hundredth.
func BenchmarkMoves(b *testing.B) {
	for _, size := range []int{48, 400, 1600} {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			service := gpuJob("job-s", 0, true)
			service.Spec.Shape, service.Rank = protocol.Service, protocol.Production
			partitions, guaranteed := make([][]*Machine, 3), make([][]*Job, 3)
			for i := range size {
				m := withTasks(g4Machine(fmt.Sprintf("host-%06d", i), "a", 4), service, 2)
				partitions[i%3] = append(partitions[i%3], withTasks(m, gpuJob("job-a", 0, true), 2))
				if i%8 == 0 {
					guaranteed[i%3] = append(guaranteed[i%3], gpuJob(fmt.Sprint("job-", i), 30, true))
				}
				if i%100 == 0 {
					guaranteed[i%3] = append(guaranteed[i%3], g4Gang(fmt.Sprint("gang-", i), 4))
				}
			}
			v := viewOfPartitions(partitions...)
			v.Teams[0].Limit = Resources{}
			b.ReportAllocs()
			for b.Loop() {
				v.PlanMoves(guaranteed, make([][]*Job, 3), 60)
			}
		})
	}
}
