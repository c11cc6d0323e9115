package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// The first decisions after a take-over beside those of a holder that never fell, on the
// same views: one that followed makes the same, one that read the records alone does not.
func TestWarmthIsWorthSomething(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	type arrivalOf struct {
		id string
		gb float64
	}
	var arrivals []arrivalOf
	for i := range 60 {
		arrivals = append(arrivals, arrivalOf{fmt.Sprintf("job-5%05d", i), 1 + 8*rng.Float64()})
	}
	costs := map[string]float64{}
	spec := func(a arrivalOf) *protocol.JobSpec {
		return &protocol.JobSpec{ID: a.id, Team: "red", Class: "a", Shape: protocol.Array, Priority: "standard", Tasks: 6, CPUs: 5, GPUs: 1, MemoryGB: 36, Image: a.id, ImageGB: a.gb, EstimateS: 40}
	}
	// make gives a node with the fleet; one that follows sees the arrivals come and go.
	make := func(follows bool) *testNode {
		b := newTestNode(t)
		b.addFleet(60, 0)
		for _, a := range arrivals[:40] {
			if follows {
				b.watchPut(protocol.JobKey(a.id), protocol.JobRecord{Spec: spec(a), SubmittedMS: time.Now().UnixMilli(), NextAttempt: 1})
				b.countArrivals(b.partitions[0])
				b.dropJob(a.id) // it is over by the time of the take-over
			}
		}
		return b
	}
	holder, warm, cold := make(true), make(true), make(false)
	now := time.Now()
	for _, m := range holder.partitions[0].machines {
		m.secPerGB, m.lastReport = 0.5+3.5*rng.Float64(), now
		costs[m.name] = m.secPerGB
		holder.markStale(m)
	}
	// The holder's hints reach the standby in turn, some lost, some twice.
	warm.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	warm.watchPut(protocol.NodeKey("n-1"), protocol.NodeRecord{Lease: 9})
	holder.cfg.Node = "n-1"
	holder.incarnations.hintLease.Store(9)
	holder.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 3})
	for i := range 8 {
		holder.prepareMachineHints(now)
		for range i % 3 {
			if warm.ReceiveHint(holder.Hint()) != nil {
				t.Fatal("a hint not understood")
			}
			(<-warm.mailbox)()
		}
	}
	if w := warm.standbyFreshness(warm.partitions[0], time.Now()); w.KnownFraction < 0.95 || w.AgeS < 0 || w.SequenceGaps == 0 {
		t.Errorf("warmth %+v, with hints lost", w)
	}
	warm.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
	placings := func(b *testNode) (out []string) {
		for _, m := range b.partitions[0].machines {
			m.fenced, m.lastFencedReport = true, now
			b.markStale(m)
		}
		for _, a := range arrivals[40:] {
			b.watchPut(protocol.JobKey(a.id), protocol.JobRecord{Spec: spec(a), SubmittedMS: now.UnixMilli(), NextAttempt: 1})
		}
		s := b.partitions[0]
		b.countArrivals(s)
		for _, a := range arrivals[40:] {
			p := b.view(s, now).Place(b.jobFactsWithZones(b.jobs[a.id], now))
			for _, m := range p.Machines {
				out = append(out, a.id+" on "+m.Name)
			}
		}
		return out
	}
	want := placings(holder)
	equal := func(b *testNode) float64 {
		got := map[string]bool{}
		for _, p := range placings(b) {
			got[p] = true
		}
		n := 0
		for _, p := range want {
			if got[p] {
				n++
			}
		}
		return float64(n) / float64(len(want))
	}
	w, c := equal(warm), equal(cold)
	t.Logf("of %d placements equal to the holder's: warm %.2f, cold %.2f", len(want), w, c)
	if len(want) < 60 || w < 0.95 || c > 0.8 {
		t.Errorf("of %d placements equal to the holder's: warm %.2f, cold %.2f", len(want), w, c)
	}
}
