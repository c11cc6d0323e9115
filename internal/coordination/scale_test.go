package coordination

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// fleet gives share 0 as many machines in batches of 50, each with two tasks of
// running services, heard and fenced, and as many waiting arrays of 30 tasks as
// asked for. Every second machine has room.
func (b *bench) fleetOf(machines, waiting int) {
	now := time.Now()
	b.teams[0].limit, b.teams[0].guarantee = Amounts{}, Amounts{}
	var names []protocol.MachineRecord
	for i := range machines {
		names = append(names, protocol.MachineRecord{Name: fmt.Sprintf("host-%06d", 1000+i), Type: "g4", Zone: "a", Addr: "x:1"})
	}
	k := 0
	for part := range slices.Chunk(names, 50) {
		k++
		b.put(protocol.BatchKey(fmt.Sprintf("r-0-7-%d-0", 1+k)), protocol.BatchRecord{Machines: part})
	}
	for i, r := range names {
		m := b.machines[r.Name]
		m.fenced, m.heard = true, now
		tasks := 2 + 2*(i%2)
		spec := &protocol.JobSpec{ID: fmt.Sprintf("job-%06d", i), Team: "red", Class: "s", Shape: protocol.Service, Priority: "critical", Tasks: tasks, CPUs: 6, GPUs: 1, MemoryGB: 10, Image: fmt.Sprint("i", i%14), ImageGB: 3}
		rec := protocol.JobRecord{Spec: spec, SubmittedMS: int64(i), Next: 2}
		for t := range tasks {
			rec.Placed = append(rec.Placed, protocol.Placement{Task: t, Attempt: 1, Machine: r.Name})
		}
		b.put(protocol.JobKey(spec.ID), rec)
	}
	for i := range waiting {
		spec := &protocol.JobSpec{ID: fmt.Sprintf("job-9%06d", i), Team: "red", Class: "a", Shape: protocol.Array, Priority: "standard", Tasks: 30, CPUs: 5, GPUs: 1, MemoryGB: 36, Image: fmt.Sprint("i", i%16), ImageGB: 4, EstimateS: 40, Spot: true}
		b.put(protocol.JobKey(spec.ID), protocol.JobRecord{Spec: spec, SubmittedMS: int64(1e6 + i), Next: 1})
	}
}

var fleetSizes = []int{48, 400, 1600}

// What one look at everything costs, by size of the fleet.
func BenchmarkPlan(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			n := newBench(b)
			n.fleetOf(size, size/8)
			n.policy.NoRents = true
			for b.Loop() {
				now := time.Now()
				n.Contact(now)
				n.shares[0].nextRent = time.Time{}
				n.plan(now)
				for j := range n.dirty { // nothing is stored: the next look finds the same
					n.revert(j)
				}
				clear(n.dirty)
			}
		})
	}
}

// What an event costs when nothing is due: it must not grow with the fleet.
func BenchmarkEvent(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			n := newBench(b)
			n.fleetOf(size, 0)
			now := time.Now()
			for _, m := range n.shares[0].machines {
				n.park(m, &protocol.Report{Machine: m.name}, now.Add(time.Hour), make(chan answer, 1))
			}
			n.replan = false
			for b.Loop() {
				n.settle(now)
			}
		})
	}
}

// Whatever batches come and go, and in whatever order a move's two halves are
// seen, each machine is in the list of its share exactly once.
func TestBatchesAndShareListsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench(t)
		names := []string{"host-1", "host-2", "host-3", "host-4", "host-5"}
		where := map[string]string{"host-1": "r-0-7-1-0"} // machine to batch
		share := map[string]int{"r-0-7-1-0": 0}
		put := func(key string) {
			rec := protocol.BatchRecord{Share: share[key]}
			for _, name := range names {
				if where[name] == key {
					rec.Machines = append(rec.Machines, protocol.MachineRecord{Name: name, Type: "g4", Zone: "a"})
				}
			}
			if len(rec.Machines) == 0 {
				b.rev++
				b.apply(storage.Item{Key: protocol.BatchKey(key), Stamp: b.rev})
				return
			}
			b.put(protocol.BatchKey(key), rec)
		}
		for k := range rapid.IntRange(1, 20).Draw(rt, "steps") {
			name := rapid.SampledFrom(names).Draw(rt, "machine")
			from, to := where[name], ""
			if rapid.IntRange(0, 3).Draw(rt, "gone") > 0 {
				to = fmt.Sprintf("m-%d", k)
				share[to] = rapid.IntRange(0, len(b.shares)-1).Draw(rt, "share")
			}
			where[name] = to
			keys := []string{to, from}
			if rapid.Bool().Draw(rt, "old first") {
				slices.Reverse(keys)
			}
			for _, key := range keys {
				if key != "" {
					put(key)
				}
			}
			for _, name := range names {
				m := b.machines[name]
				if known := m != nil && m.known; known != (where[name] != "") {
					rt.Fatalf("%s in batch %q: known is %v", name, where[name], known)
				}
				for _, s := range b.shares {
					in := 0
					for _, x := range s.machines {
						if x.name == name {
							in++
						}
					}
					if want := where[name] != "" && share[where[name]] == s.index; in > 1 || (in == 1) != want {
						rt.Fatalf("%s is %d times in share %d, batch %q", name, in, s.index, where[name])
					}
				}
			}
		}
	})
}

// A machine that the cloud lists with an address while it boots is not one that
// was up before. (Seen on a simulated day: 325 machines were given up and rented
// again just as they came up.)
func TestListedAddressIsNoSignOfLife(t *testing.T) {
	b := newBench(t)
	now := time.Now()
	b.onList([]protocol.ListedMachine{{ID: "host-1", Addr: "host-1:9000", Type: "g4", Zone: "a", State: "booting"}}, now, now)
	m := b.machines["host-1"]
	m.batch.changed(now.Add(-time.Hour))
	b.saveBatches(now)
	if m.batch.busy {
		t.Fatal("the address of a booting machine is being stored")
	}
	b.report(7, 1)
	m.batch.changed(now.Add(-time.Hour))
	b.saveBatches(now)
	if !m.batch.busy {
		t.Fatal("the address of a machine that is up is not stored")
	}
}

// A wave of submissions beyond the rate of changes is answered at once, each
// user with a later turn. (Seen on a simulated day: 674 submissions got no
// answer within their 5 s, and were sent again.)
func TestWaveOfSubmissionsIsAnsweredAtOnce(t *testing.T) {
	b := newBench(t)
	replies := make([]chan answer, 400)
	for i := range replies {
		replies[i] = make(chan answer, 1)
		b.forUser(&storage.Op{Writes: []storage.Write{{Put: "k"}}}, replies[i], func(storage.Result) {})
	}
	turned, last := 0, 0
	for _, r := range replies {
		select {
		case a := <-r:
			if a.status != 503 || a.retryS < max(1, last) || a.retryS > 30 {
				t.Fatalf("answer %+v after one with Retry-After %d", a, last)
			}
			turned, last = turned+1, a.retryS
		default:
		}
	}
	if turned < 350 || last < 10 {
		t.Fatalf("%d turned away, the last for %d s", turned, last)
	}
}

// A machine that falls silent and that the cloud lists no more is given up in
// half the time that silence alone takes; one that is listed, or too young for
// the list's lag, is not.
func TestUnlistedSilentMachineIsGivenUpSoon(t *testing.T) {
	b := newBench(t)
	b.report(7, 1)
	m := b.machines["host-1"]
	m.born = m.born.Add(-time.Minute)
	now := time.Now().Add(b.suspectLimit() + time.Second)
	b.Contact(now)
	if b.dead(m, now) || !b.suspect(m, now) {
		t.Fatal("silence this short should be a suspicion only")
	}
	b.onList([]protocol.ListedMachine{{ID: "host-1", State: "running"}}, now, now)
	if b.dead(m, now) {
		t.Fatal("given up though it is listed")
	}
	b.onList(nil, now, now)
	if !b.dead(m, now) {
		t.Fatal("kept though it is silent and not listed")
	}
	m.born = now
	b.onList(nil, now, now)
	if b.dead(m, now) {
		t.Fatal("given up before a list could show it")
	}
}

// A holder that takes a share over during a cut waits for the machines beyond
// it. (Seen on a simulated day: 120 working machines with 354 tasks were given up
// 13 s after a take-over in a partition.)
func TestMachinesBeyondACutAreKeptAfterATakeOver(t *testing.T) {
	b := newBench(t)
	j := b.job("job-1", false, onHost1)
	m := b.machines["host-1"]
	now := time.Now().Add(b.silentLimit() + 4*time.Second)
	b.Contact(now)
	if !b.dead(m, now) {
		t.Fatalf("a machine with %d tasks that was never heard should be given up", j.nPlaced)
	}
	b.siblings["n-1"].zone = "a"
	b.cfg.Zone = "b"
	b.noteCuts(now)
	if b.dead(m, now) {
		t.Fatal("given up although its zone is cut off")
	}
}

// Where images are is known beyond the node that learned it, and a sibling's
// word does not replace what this node sees itself.
func TestCachesAreToldToSiblings(t *testing.T) {
	a, b := newBench(t), newBench(t)
	a.machines["host-1"].images = []protocol.CachedImage{{Name: "i", GB: 4}}
	a.tellCaches(time.Now())
	h, err := protocol.DecodeHint(a.Hint())
	if err != nil {
		t.Fatal(err)
	}
	b.learnCaches(h.Caches)
	if b.machines["host-1"].has("i") {
		t.Fatal("a holder believed another about its own machine")
	}
	b.put(protocol.HolderKey(0), protocol.HolderRecord{Node: "n-1", Token: 8, Lease: 4})
	b.learnCaches(h.Caches)
	if !b.machines["host-1"].has("i") {
		t.Fatal("what a sibling told is not known")
	}
}

// A service that finds all but one of its places where its image is gets one task
// stopped there, and not as many as it has itself.
func TestRoomIsMadeOnlyForWhatLacksTheImage(t *testing.T) {
	b := newBench(t)
	b.put(protocol.BatchKey("r-0-7-2-0"), protocol.BatchRecord{Machines: []protocol.MachineRecord{{Name: "host-2", Type: "g4", Zone: "a"}, {Name: "host-3", Type: "g4", Zone: "a"}}})
	now := time.Now()
	for _, name := range []string{"host-1", "host-2", "host-3"} {
		m := b.machines[name]
		m.fenced, m.heard = true, now
		if name != "host-3" {
			m.images = []protocol.CachedImage{{Name: "i", GB: 30}}
		}
	}
	b.cfg.Params.Aims = []protocol.Objective{{Kind: "wait", Class: "s", WithinS: 10, Share: 0.9}}
	b.teams[0].limit = Amounts{}
	var placed []protocol.Placement
	for i := range 4 {
		placed = append(placed, protocol.Placement{Task: i, Attempt: 1, Machine: "host-2"})
	}
	low := &protocol.JobSpec{ID: "job-1", Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 4, CPUs: 4, GPUs: 1, Image: "x"}
	b.put(protocol.JobKey("job-1"), protocol.JobRecord{Spec: low, Next: 2, Chunk: protocol.Chunk{Placed: placed}})
	spec := &protocol.JobSpec{ID: "job-2", Team: "red", Class: "s", Shape: protocol.Service, Priority: "critical", Tasks: 5, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 30}
	b.put(protocol.JobKey("job-2"), protocol.JobRecord{Spec: spec, SubmittedMS: 1, Next: 1})
	b.policy.NoRents = true
	b.plan(now)
	stopped := 0
	for i := range 4 {
		if b.jobs["job-1"].tasks[i].stop {
			stopped++
		}
	}
	if stopped != 1 {
		t.Fatalf("%d tasks stopped, want 1", stopped)
	}
}

// A place is free as soon as its task is known to be gone, and is given back
// once, whatever becomes of the record: stored, lost to another holder, or
// replaced by a later attempt on the same machine.
func TestPlaceIsGivenBackOnce(t *testing.T) {
	b := newBench(t)
	j := b.job("job-1", false, onHost1)
	m, tm := b.machines["host-1"], b.teams[0]
	used := func(want float64) {
		t.Helper()
		if m.used.GPUs != want || tm.used.GPUs != want {
			t.Fatalf("%v GPUs of the machine and %v of the team in use, want %v", m.used.GPUs, tm.used.GPUs, want)
		}
	}
	used(1)
	b.note(j, 0, gone)
	used(0)
	if len(m.on) != 1 {
		t.Fatal("a machine with a task whose end is not stored counts as empty")
	}
	again := onHost1
	again.Attempt = 2
	b.put(protocol.JobKey("job-1"), protocol.JobRecord{Spec: j.spec, Next: 3, Chunk: protocol.Chunk{Placed: []protocol.Placement{again}}})
	used(1)
	b.note(j, 0, finished)
	b.put(protocol.JobKey("job-1"), protocol.JobRecord{Spec: j.spec, Next: 3, Chunk: protocol.Chunk{Done: [][2]int{{0, 0}}}})
	used(0)
	if len(m.on) != 0 {
		t.Fatal("a task that is done is still counted on its machine")
	}
}

// Nobody is stopped in a zone that may take no more tasks of a spread service.
// (Seen on a simulated day: a service that lacked one place in the other zone had
// a task stopped every 8 s for 40 s, the same one three times.)
func TestNoRoomIsMadeInAFullZone(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		b := newBench(t)
		b.put(protocol.BatchKey("r-0-7-2-0"), protocol.BatchRecord{Machines: []protocol.MachineRecord{{Name: "host-2", Type: "g4", Zone: zone}}})
		b.teams[0].limit = Amounts{}
		now := time.Now()
		for _, name := range []string{"host-1", "host-2"} {
			m := b.machines[name]
			m.fenced, m.heard = true, now
		}
		place := func(id, priority, shape string, tasks int, spread bool, placed ...protocol.Placement) {
			b.put(protocol.JobKey(id), protocol.JobRecord{Spec: &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: shape, Priority: priority,
				Tasks: tasks, CPUs: 4, GPUs: 1, Image: "i", Spread: spread}, Next: 2, Chunk: protocol.Chunk{Placed: placed}})
		}
		place("job-1", "critical", protocol.Service, 2, true, onHost1)
		var low []protocol.Placement
		for i := range 4 {
			low = append(low, protocol.Placement{Task: i, Attempt: 1, Machine: "host-2"})
		}
		place("job-2", "best_effort", protocol.Array, 4, false, low...)
		made := b.makeRoom(b.shares[0], b.jobs["job-1"], 1, false, now)
		if made != (zone == "b") {
			t.Errorf("room made in zone %s beside a task in zone a: %v", zone, made)
		}
	}
}
