package gateway

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// Random changes in random order never violate the invariants of a record: at most one
// outcome, and the epoch changes only with a valid claim.
func TestRecordInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rec wire.Record
		exists := false
		ends := 0
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			change := op{kind: opKind(rapid.IntRange(0, int(opCancel)).Draw(t, "kind")), site: rapid.IntRange(0, 3).Draw(t, "site"),
				epoch: uint32(rapid.IntRange(0, 6).Draw(t, "epoch")), excludeSite: rapid.Bool().Draw(t, "bar"), spec: []byte("{}")}
			next, result := applyOp(rec, exists, change)
			if result != resultChanged {
				if exists && (next.Epoch != rec.Epoch || next.Outcome != rec.Outcome || next.Owner != rec.Owner) {
					t.Fatalf("%v changed a record but did not report it", change.kind)
				}
				continue
			}
			if rec.Outcome != wire.Open {
				t.Fatalf("a final record was changed by %v", change.kind)
			}
			switch {
			case exists && change.kind == opClaim:
				if next.Epoch != rec.Epoch+1 || change.epoch != rec.Epoch || next.Owner == rec.Owner {
					t.Fatalf("claim of epoch %d made %+v of %+v", change.epoch, next, rec)
				}
				if forced := !rec.Stopped; forced != (next.PrevOwner == rec.Owner) {
					t.Fatalf("forced is %v, previous %d of holder %d", forced, next.PrevOwner, rec.Owner)
				}
			case exists && next.Epoch != rec.Epoch:
				t.Fatalf("%v changed the epoch", change.kind)
			}
			if next.Outcome != wire.Open {
				ends++
			}
			rec, exists = next, true
		}
		if ends > 1 {
			t.Fatalf("%d final answers", ends)
		}
	})
}

// drawSpec draws a job.
func drawSpec(t *rapid.T) *protocol.JobSpec {
	spec := &protocol.JobSpec{ID: "job-1", Team: rapid.SampledFrom([]string{"red", "blue", "nobody"}).Draw(t, "team"),
		Shape: rapid.SampledFrom([]string{protocol.Array, protocol.Gang, protocol.Service}).Draw(t, "shape"),
		Tasks: rapid.IntRange(1, 20).Draw(t, "tasks"), GPUs: float64(rapid.IntRange(0, 8).Draw(t, "gpus")), CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 4}
	if rapid.Bool().Draw(t, "zoned") {
		spec.Zone = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
	}
	return spec
}

// drawSites draws one to four sites as a member knows them.
func drawSites(t *rapid.T) []SiteView {
	var out []SiteView
	for i := range rapid.IntRange(1, 4).Draw(t, "sites") {
		view := SiteView{Site: i, Unavailable: rapid.Bool().Draw(t, "away"), Excluded: rapid.IntRange(0, 4).Draw(t, "barred") == 0,
			HintAgeS: rapid.Float64Range(0, 30).Draw(t, "age"), WithinRate: rapid.IntRange(0, 3).Draw(t, "allowed") > 0, OpenJobs: rapid.SampledFrom([]int{0, 19999, 20000}).Draw(t, "open")}
		if rapid.IntRange(0, 4).Draw(t, "known") > 0 {
			view.Hint = &wire.Hint{Drained: rapid.IntRange(0, 4).Draw(t, "drained") == 0, GPUs: 8, FreeGPUs: float64(rapid.IntRange(0, 8).Draw(t, "free")),
				Waiting: rapid.IntRange(0, 50).Draw(t, "waiting"),
				Types:   []wire.TypeHint{{Name: "g", CPUs: 24, GPUs: 4, MemoryGB: 100, Zones: []string{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "has")}}},
				Teams:   []wire.TeamHint{{Name: "red", GPUsMax: 8}, {Name: "blue"}}}
		}
		out = append(out, view)
	}
	return out
}

// For random jobs and sites, Route chooses only a site that can run the job, and reports a
// failure only if there is none.
func TestRouteChoosesOnlyWhatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec, sites := drawSpec(t), drawSites(t)
		chosen, result := Route(spec, sites, DefaultRoute())
		if result != routeFound {
			for _, s := range sites {
				if result == routeNeverFits && !s.Excluded && (s.Hint == nil || CanRun(spec, s.Hint)) {
					t.Fatalf("reported as never fitting though site %d is unknown or could run it", s.Site)
				}
				if s.Hint != nil && !s.Excluded && !s.Unavailable && !s.Hint.Drained && s.WithinRate && s.OpenJobs < 20000 && CanRun(spec, s.Hint) {
					t.Fatalf("%v though site %d can take it", result, s.Site)
				}
			}
			return
		}
		s := sites[chosen]
		if s.Hint == nil || s.Excluded || s.Unavailable || s.Hint.Drained || !s.WithinRate || s.OpenJobs >= 20000 || !CanRun(spec, s.Hint) {
			t.Fatalf("site %d was chosen: %+v", chosen, s)
		}
		// The choice is stable: with less work waiting at the chosen site, it is chosen again.
		s.Hint.Waiting = 0
		if again, result := Route(spec, sites, DefaultRoute()); result != routeFound || again != chosen {
			t.Fatalf("less work at site %d moved the job to %d", chosen, again)
		}
	})
}

// A site that became available is given jobs at a twentieth of the rate at first and at the
// full rate after the ramp, and never more than the rate per second.
func TestSlowStart(t *testing.T) {
	cfg := RouteConfig{JobsPerSecond: 40, RampS: 60}
	var limit routeLimit
	limit.setAvailable(0, true)
	given := make([]int, 80)
	for ms := 0; ms < 80_000; ms += 10 {
		now := time.Duration(ms) * time.Millisecond
		if limit.allowed(now, cfg) {
			limit.takeToken(now)
			given[ms/1000]++
		}
	}
	if given[0] > 4 || given[70] < 38 || given[70] > 41 {
		t.Errorf("jobs given in the first second: %d, after the ramp: %d", given[0], given[70])
	}
	for i := 10; i < 60; i++ {
		if given[i] < given[i-8] {
			t.Errorf("jobs per second fell from %d to %d in second %d", given[i-8], given[i], i)
		}
	}
	limit.setAvailable(80*time.Second, false)
	limit.setAvailable(90*time.Second, true)
	if rate := limit.rate(90*time.Second, cfg); rate > 2.1 {
		t.Errorf("rate %v after the site became available again", rate)
	}
}
