package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
)

// configurePlace sets up a site with several machine types in three zones, jobs that need no GPU, few
// changes per second, and machines that run before the first controller starts.
func configurePlace(cfg *protocol.Settings, f *standin.Fleet) {
	zones := standin.MixedZones
	p := &cfg.Params
	p.Zones = zones
	for i, name := range []string{"n-0", "n-1", "n-2"} {
		if cfg.Node == name {
			cfg.Zone = zones[i]
		}
	}
	for i := range cfg.Siblings {
		cfg.Siblings[i].Zone = zones[int(cfg.Siblings[i].Node[2]-'0')]
	}
	p.Teams = []protocol.Team{{Name: "red", CPUs: 60, CPUsMax: 200, GPUs: 8, GPUsMax: 16}, {Name: "blue", CPUs: 60, CPUsMax: 200, GPUs: 8, GPUsMax: 16},
		{Name: "green", CPUs: 60, CPUsMax: 200, GPUs: 8, GPUsMax: 16}}
	p.Workers = protocol.WorkerSettings{ReportS: 4, LeaseS: 24, GangWaitS: 40, GangPeerS: 5, CancelS: 49}
	p.State = protocol.StateSettings{RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 12}
	p.Cloud = protocol.CloudSettings{RPS: 8, ListLagS: 6}
	f.ConfigureMixedTypes(10 * time.Second)
}

// atPlace runs a test in that site.
func atPlace(t *testing.T, seed uint64, day func(w *simCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newConfiguredSimCluster(t, ctx, seed, nil, configurePlace)
		day(w)
		for _, b := range w.fleet.Violations {
			t.Errorf("rule broken: %s", b)
		}
		for _, stop := range w.stop {
			stop()
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}

// pageService returns a service of a class whose jobs must not wait.
func pageService(i, tasks int) *protocol.JobSpec {
	return &protocol.JobSpec{ID: fmt.Sprintf("job-%06d", i), Team: []string{"red", "blue", "green"}[i%3], Class: "pages", Priority: "critical", Shape: protocol.Service,
		Tasks: tasks, CPUs: 1, MemoryGB: 2.5, Image: fmt.Sprint("img-", i%4), ImageGB: 1.8, Spread: true}
}

// Machines that run before the first controller starts must be adopted within seconds, in few changes,
// and be used. None may be returned as unrecorded, and none rented in addition. Without adoption all
// 405 machines were returned after 30 s and their replacements took two minutes, so every simulated
// day had less than half of its gangs served.
func TestUnrecordedMachinesAreAdopted(t *testing.T) {
	atPlace(t, 3, func(w *simCluster) {
		there := w.fleet.AddInitialMachines()
		for i := range 12 {
			go w.submit(pageService(i, 5))
		}
		time.Sleep(8 * time.Second)
		names := w.fleet.MachineNames()
		if recorded := w.recorded(names...); recorded != there || len(names) != there {
			t.Errorf("%d of %d machines are recorded after 8 s, and there are %d", recorded, there, len(names))
		}
		time.Sleep(10 * time.Second)
		if r := w.fleet.RunningTasks(); r != 60 {
			t.Errorf("%d of 60 tasks run after 18 s", r)
		}
		time.Sleep(20 * time.Second)
		if left := len(w.fleet.MachineNames()); left < there {
			t.Errorf("%d of %d machines are left after 38 s", left, there)
		}
	})
}

// If the answer to a rental is lost because the node that asked ended, its machines must be adopted
// instead of being returned after 30 s, but not before the answer has had time to arrive.
func TestMachinesOfLostRentalsAreAdopted(t *testing.T) {
	atPlace(t, 4, func(w *simCluster) {
		time.Sleep(20 * time.Second)
		lost, err := w.fleet.Rent(w.ctx, protocol.RentRequest{RequestID: "of a node that ended", Type: "middle", Zone: "c", Count: 3})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(w.fleet.BootTime + 4*time.Second)
		if k := w.recorded(lost...); k != 0 {
			t.Errorf("%d recorded before the answer had time to arrive", k)
		}
		time.Sleep(8 * time.Second)
		if k := w.recorded(lost...); k != 3 {
			t.Errorf("%d of 3 recorded 12 s after they were up", k)
		}
	})
}

// recorded returns how many of the named machines have a record, as seen by a node.
func (w *simCluster) recorded(names ...string) int {
	c := make(chan int)
	n := w.node("n-1")
	n.post(func() {
		k := 0
		for _, name := range names {
			if m := n.machines[name]; m != nil && m.recorded {
				k++
			}
		}
		c <- k
	})
	return <-c
}

// Placements of less urgent jobs that are not being stored yet must give way to an urgent job.
// Placements that are being stored stay, and so do outcomes that are not stored. With 20 changes per
// second arrays held capacity this way for seconds.
func TestUnstoredPlacementsAreRevoked(t *testing.T) {
	b := newTestNode(t)
	now := time.Now()
	b.sendReport(7, 1)
	m := b.machines["host-1"]
	spec := func(id, priority string) *protocol.JobSpec {
		return &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: protocol.Array, Priority: priority, Tasks: 2, CPUs: 12, Image: "i"}
	}
	put := func(id, priority string, placed ...protocol.Placement) *job {
		b.watchPut(protocol.JobKey(id), protocol.JobRecord{Spec: spec(id, priority), NextAttempt: 2, Chunk: protocol.Chunk{Placed: placed}})
		return b.jobs[id]
	}
	low := put("job-1", "standard")
	b.proposePlacements(low, []int{0, 1}, []*machine{m, m}, now)
	urgent := put("job-2", "high")
	low.writePending = true
	b.place(b.view(b.partitions[0], now), urgent, now)
	if urgent.nPlaced != 0 || low.nPlaced != 2 {
		t.Fatalf("a placement that is being stored was revoked: %d and %d placed", urgent.nPlaced, low.nPlaced)
	}
	low.writePending = false
	b.place(b.view(b.partitions[0], now), urgent, now)
	if urgent.nPlaced != 2 || low.nPlaced != 0 || b.dirty[low] {
		t.Fatalf("%d placed of the urgent job, %d of the other one", urgent.nPlaced, low.nPlaced)
	}
	// Of a job with an unstored outcome only the placements are taken back.
	b.revertProposals(urgent)
	ended := put("job-3", "standard", protocol.Placement{Task: 0, Attempt: 1, Machine: "host-1"})
	b.recordOutcome(ended, 0, outcomeFinished)
	b.proposePlacements(ended, []int{1}, []*machine{m}, now)
	b.place(b.view(b.partitions[0], now), urgent, now)
	if urgent.nPlaced != 2 || ended.tasks[0].outcome != outcomeFinished || !b.dirty[ended] {
		t.Fatalf("%d placed of the urgent job, outcome %v, to be stored %v", urgent.nPlaced, ended.tasks[0].outcome, b.dirty[ended])
	}
}

// A node that starts while the cloud is down must know the machine types from the state service: it
// accepts and places jobs, and rejects none for good on the basis of the stored catalogue. Before,
// when all controllers ended during an outage of the cloud, every submission was answered with 503
// and nothing was placed until the outage was over.
func TestTypesAreKnownWithoutTheCloud(t *testing.T) {
	atPlace(t, 5, func(w *simCluster) {
		w.fleet.AddInitialMachines()
		time.Sleep(20 * time.Second)
		w.withLock(func() { w.cloudDown = true })
		for _, name := range w.names {
			w.stop[name]()
			w.withLock(func() { w.nodes[name] = nil })
		}
		time.Sleep(time.Second)
		for _, name := range w.names {
			w.startNode(name)
		}
		time.Sleep(12 * time.Second)
		s := pageService(1, 4)
		ask := func(s *protocol.JobSpec) int {
			w.fleet.AddJob(s)
			a, _ := w.submitAt(w.ctx, "n-1", s)
			return a.status
		}
		if got := ask(s); got != 201 {
			t.Fatalf("a submission is answered %d", got)
		}
		large := pageService(2, 1)
		large.CPUs = 64 // fits no known type
		if got := ask(large); got != 503 {
			t.Errorf("a job that fits no type is answered %d", got)
		}
		time.Sleep(10 * time.Second)
		if r := w.fleet.RunningTasks(); r != 4 {
			t.Errorf("%d of 4 tasks run", r)
		}
		w.withLock(func() { w.cloudDown = false })
		time.Sleep(5 * time.Second)
		if got := ask(large); got != 422 {
			t.Errorf("when the cloud is back it is answered %d", got)
		}
	})
}
