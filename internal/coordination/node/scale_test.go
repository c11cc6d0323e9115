package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/protocol"
)

// addFleet gives share 0 as many machines in batches of 50, each with two tasks of
// running services, heard and fenced, and as many waiting arrays of 30 tasks as
// asked for. Every second machine has room.
func (b *testNode) addFleet(machines, waiting int) {
	now := time.Now()
	b.teams[0].Limit, b.teams[0].Guarantee = Resources{}, Resources{}
	var names []protocol.MachineRecord
	for i := range machines {
		names = append(names, protocol.MachineRecord{Name: fmt.Sprintf("host-%06d", 1000+i), Type: "g4", Zone: "a", Addr: "x:1"})
	}
	k := 0
	for part := range slices.Chunk(names, 50) {
		k++
		b.watchPut(protocol.BatchKey(fmt.Sprintf("r-0-7-%d-0", 1+k)), protocol.BatchRecord{Machines: part})
	}
	for i, r := range names {
		m := b.machines[r.Name]
		m.fenced, m.lastFencedReport = true, now
		tasks := 2 + 2*(i%2)
		spec := &protocol.JobSpec{ID: fmt.Sprintf("job-%06d", i), Team: "red", Class: "s", Shape: protocol.Service, Priority: "critical", Tasks: tasks, CPUs: 6, GPUs: 1, MemoryGB: 10, Image: fmt.Sprint("i", i%14), ImageGB: 3}
		rec := protocol.JobRecord{Spec: spec, SubmittedMS: int64(i), NextAttempt: 2}
		for t := range tasks {
			rec.Placed = append(rec.Placed, protocol.Placement{Task: t, Attempt: 1, Machine: r.Name})
		}
		b.watchPut(protocol.JobKey(spec.ID), rec)
	}
	for i := range waiting {
		spec := &protocol.JobSpec{ID: fmt.Sprintf("job-9%06d", i), Team: "red", Class: "a", Shape: protocol.Array, Priority: "standard", Tasks: 30, CPUs: 5, GPUs: 1, MemoryGB: 36, Image: fmt.Sprint("i", i%16), ImageGB: 4, EstimateS: 40, Spot: true}
		b.watchPut(protocol.JobKey(spec.ID), protocol.JobRecord{Spec: spec, SubmittedMS: int64(1e6 + i), NextAttempt: 1})
	}
}

var fleetSizes = []int{48, 400, 1600, 16000}

// What one look at everything costs, by size of the fleet.
func BenchmarkPlan(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			n := newTestNode(b)
			n.addFleet(size, size/8)
			n.policy.StopRentals = true
			defer func(f func(*Node, *decide.View, *decide.Job, decide.Placement)) { checkPlacement = f }(checkPlacement)
			checkPlacement = nil
			for b.Loop() {
				now := time.Now()
				n.RecordContact(now)
				n.partitions[0].nextRent = time.Time{}
				n.plan(now)
				for j := range n.dirty { // nothing is stored: the next look finds the same
					n.revertProposals(j)
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
			n := newTestNode(b)
			n.addFleet(size, 0)
			now := time.Now()
			for _, m := range n.partitions[0].machines {
				n.deferAnswer(m, &protocol.Report{Machine: m.name}, now.Add(time.Hour), make(chan answer, 1))
			}
			n.replan = false
			for b.Loop() {
				n.processPendingWork(now)
			}
		})
	}
}
