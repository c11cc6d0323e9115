package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Compares the first decisions after a takeover with those of the previous owner on the same state.
// A standby that received hints must make the same ones. The test also checks that a node with the
// stored records alone does not, so that the comparison means something.
func TestWarmStandbyDecidesLikeOwner(t *testing.T) {
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
	// newNode returns a node with the fleet. If it follows, it has seen the earlier jobs arrive and
	// end.
	newNode := func(follows bool) *testNode {
		b := newTestNode(t)
		b.addFleet(60, 0)
		for _, a := range arrivals[:40] {
			if follows {
				b.watchPut(protocol.JobKey(a.id), protocol.JobRecord{Spec: spec(a), SubmittedMS: time.Now().UnixMilli(), NextAttempt: 1})
				b.countArrivals(b.partitions[0])
				b.dropJob(a.id) // ended by the time of the takeover
			}
		}
		return b
	}
	owner, warm, cold := newNode(true), newNode(true), newNode(false)
	now := time.Now()
	for _, m := range owner.partitions[0].machines {
		m.secPerGB, m.lastReport = 0.5+3.5*rng.Float64(), now
		costs[m.name] = m.secPerGB
		owner.markStale(m)
	}
	// The owner's hints arrive at the standby in order, some lost and some repeated.
	warm.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	warm.watchPut(protocol.NodeKey("n-1"), protocol.NodeRecord{Lease: 9})
	owner.cfg.Node = "n-1"
	owner.incarnations.hintLease.Store(9)
	owner.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 3})
	for i := range 8 {
		owner.prepareMachineHints(now)
		for range i % 3 {
			if warm.ReceiveHint(owner.Hint()) != nil {
				t.Fatal("hint rejected")
			}
			(<-warm.mailbox)()
		}
	}
	if freshness := warm.standbyFreshness(warm.partitions[0], time.Now()); freshness.KnownFraction < 0.95 || freshness.AgeS < 0 || freshness.SequenceGaps == 0 {
		t.Errorf("standby freshness %+v, with hints lost", freshness)
	}
	warm.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
	placements := func(b *testNode) (out []string) {
		for _, m := range b.partitions[0].machines {
			m.fenced, m.lastFencedReport = true, now
			b.markStale(m)
		}
		for _, a := range arrivals[40:] {
			b.watchPut(protocol.JobKey(a.id), protocol.JobRecord{Spec: spec(a), SubmittedMS: now.UnixMilli(), NextAttempt: 1})
		}
		p := b.partitions[0]
		b.countArrivals(p)
		for _, a := range arrivals[40:] {
			p := b.view(p, now).Place(b.jobFactsWithZones(b.jobs[a.id], now))
			for _, m := range p.Machines {
				out = append(out, a.id+" on "+m.Name)
			}
		}
		return out
	}
	want := placements(owner)
	matchingFraction := func(b *testNode) float64 {
		got := map[string]bool{}
		for _, p := range placements(b) {
			got[p] = true
		}
		matches := 0
		for _, p := range want {
			if got[p] {
				matches++
			}
		}
		return float64(matches) / float64(len(want))
	}
	warmFraction, coldFraction := matchingFraction(warm), matchingFraction(cold)
	t.Logf("of %d placements equal to the owner's: warm %.2f, cold %.2f", len(want), warmFraction, coldFraction)
	if len(want) < 60 || warmFraction < 0.95 || coldFraction > 0.8 {
		t.Errorf("of %d placements equal to the owner's: warm %.2f, cold %.2f", len(want), warmFraction, coldFraction)
	}
}
