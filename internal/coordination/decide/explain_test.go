package decide

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/protocol"
)

// reasonsOf joins the names of the causes' reasons.
func reasonsOf(cs []Cause) string {
	var out []string
	for _, c := range cs {
		out = append(out, c.Reason.String())
	}
	return strings.Join(out, " ")
}

// Explain lists all causes that apply, alone and in combination, in the order in which they take
// effect, and ChangesToStart returns the changes that let the job start.
func TestExplainListsAllCauses(t *testing.T) {
	full := func(name string) *Machine {
		m := g4Machine(name, "a", 4)
		for k := range 4 {
			m.Assignments = append(m.Assignments, Assignment{Job: gpuJob("job-h", 4, true), Task: k, Active: true})
		}
		return m
	}
	blocked := func(name string, b Block) *Machine {
		m := g4Machine(name, "a", 0)
		m.Block = b
		return m
	}
	earmarked := g4Machine("m1", "a", 0)
	earmarked.EarmarkedFor, earmarked.EarmarkedUntil = gpuJob("job-g", 3, true), testNow.Add(time.Minute)
	earmarked.EarmarkedFor.Rank = protocol.High
	overdue := g4Machine("m1", "a", 0)
	overdue.LastReport = testNow.Add(-time.Minute)
	booting := g4Machine("m1", "a", 0)
	booting.LastReport, booting.HasAddress = time.Time{}, false
	unreported := g4Machine("m1", "a", 0) // it has been up, and its partition has a new owner
	unreported.LastReport = time.Time{}
	avoided := g4Machine("m1", "a", 0)
	avoided.AvoidUntil = testNow.Add(time.Second)
	for _, c := range []struct {
		name    string
		ms      []*Machine
		job     func(j *Job)
		around  ExplainContext
		view    func(v *View)
		want    string
		changes string
	}{
		{"full", []*Machine{full("m1"), full("m2")}, nil, ExplainContext{}, nil, "no_free_machine", "1 tasks end on any 1 of m1, m2"},
		{"drained", []*Machine{blocked("m1", Cordoned), blocked("m2", InterruptionNotice)}, nil, ExplainContext{}, nil, "drained", "the drain ends of any 1 of m1, m2"},
		{"limit", []*Machine{g4Machine("m1", "a", 0)}, nil, ExplainContext{}, func(v *View) { v.Teams[0].Limit.GPUs, v.Teams[0].Used.GPUs = 8, 8 }, "team_limit", "1 more cards of the team's limit"},
		{"limit and full", []*Machine{full("m1")}, nil, ExplainContext{}, func(v *View) { v.Teams[0].Limit.GPUs, v.Teams[0].Used.GPUs = 8, 8 }, "team_limit no_free_machine", "1 more cards of the team's limit; 1 tasks end on m1"},
		{"kept", []*Machine{earmarked}, nil, ExplainContext{}, nil, "kept_for_gang", "no longer kept for a gang: m1"},
		{"silent", []*Machine{overdue}, nil, ExplainContext{}, nil, "silent", "heard again: m1"},
		{"booting", []*Machine{booting}, nil, ExplainContext{}, nil, "booting", "ready: m1"},
		{"unheard", []*Machine{unreported}, nil, ExplainContext{}, nil, "unheard", "ready: m1"},
		{"avoided", []*Machine{avoided}, nil, ExplainContext{}, nil, "not_ready", "ready: m1"},
		{"moving", []*Machine{blocked("m1", Moving)}, nil, ExplainContext{}, nil, "not_ready", "ready: m1"},
		{"none", nil, nil, ExplainContext{}, nil, "no_capacity", "1 machines more of g4 in a"},
		{"refused", nil, nil, ExplainContext{Market: &Market{RefusedUntil: map[Offer]time.Time{{Type: "g4", Zone: "a"}: testNow.Add(time.Second)}}}, nil, "cloud_refused", "1 machines more of g4 in a"},
		{"stopped", nil, nil, ExplainContext{RentalsStopped: true}, nil, "rentals_stopped", "1 machines more of g4 in a"},
		{"storing", []*Machine{g4Machine("m1", "a", 0)}, func(j *Job) { j.WritePending = true }, ExplainContext{}, nil, "being_stored", "the change is stored"},
		{"pausing", []*Machine{g4Machine("m1", "a", 0)}, func(j *Job) { j.InBackoff = 2 }, ExplainContext{}, nil, "pausing", "its next try"},
		{"mistake", []*Machine{g4Machine("m1", "a", 0)}, func(j *Job) {
			j.FailsEverywhere, j.NotBefore, j.Tries, j.LastError = true, testNow.Add(time.Second), 4, "m7"
		}, ExplainContext{}, nil, "fails_everywhere", "its next try"},
		{"lease", []*Machine{g4Machine("m1", "a", 0)}, func(j *Job) { j.SiteLeaseMissing = true }, ExplainContext{}, nil, "site_without_lease", "the site has its lease again"},
		{"state", []*Machine{g4Machine("m1", "a", 0)}, nil, ExplainContext{SinceStateAnswer: 5 * time.Second}, nil, "state_service_down", "the state service answers"},
		{"state, drain and limit", []*Machine{blocked("m1", Cordoned)}, nil, ExplainContext{SinceStateAnswer: 5 * time.Second}, func(v *View) { v.Teams[0].Limit.GPUs, v.Teams[0].Used.GPUs = 8, 8 },
			"state_service_down team_limit drained", "the state service answers; 1 more cards of the team's limit; the drain ends of m1"},
		{"leaving", []*Machine{g4Machine("m1", "a", 0)}, func(j *Job) { j.Spec.Shape, j.AbortAttempt, j.Waiting, j.Placed = protocol.Gang, true, 1, 1 }, ExplainContext{}, nil, "gang_leaving", "the rest of its earlier attempt is gone"},
		{"gang", []*Machine{g4Machine("m1", "a", 3), full("m2")}, func(j *Job) { j.Spec.Shape = protocol.Gang }, ExplainContext{}, nil, "gang_incomplete no_free_machine", "1 tasks end on m2"},
		{"bound", []*Machine{g4Machine("m1", "a", 0)}, func(j *Job) { j.Spec.OneZone, j.Zones = true, map[string]int{"b": 1} }, ExplainContext{}, nil, "zone_bound", "1 machines more of g4 in b"},
		{"never", []*Machine{g4Machine("m1", "a", 0)}, func(j *Job) { j.Need.GPUs = 5 }, ExplainContext{}, nil, "never_fits no_free_machine", ""},
		{"guest", []*Machine{full("m1")}, func(j *Job) { j.Team = 1 }, ExplainContext{GuaranteedWaiting: true}, nil, "no_free_machine guarantees_first", "1 tasks end on m1"},
		{"ahead", []*Machine{full("m1")}, nil, ExplainContext{JobsAhead: []*Job{gpuJob("job-0", 3, true)}}, nil, "no_free_machine ahead", "1 tasks end on m1"},
		{"nothing", []*Machine{g4Machine("m1", "a", 0)}, nil, ExplainContext{JobsAhead: []*Job{gpuJob("job-0", 3, true)}}, nil, "", ""},
	} {
		v := viewOf(c.ms...)
		j := gpuJob("job-1", 2, true)
		if c.job != nil {
			c.job(j)
		}
		if c.view != nil {
			c.view(v)
		}
		causes := v.Explain(j, &c.around)
		if got := reasonsOf(causes); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
		for _, cause := range causes {
			if cause.String() == "" {
				t.Errorf("%s: no text", c.name)
			}
		}
		if c.want == "" {
			continue
		}
		changes, ok := v.ChangesToStart(j, &c.around)
		var got []string
		for _, change := range changes {
			got = append(got, change.String())
		}
		if strings.Join(got, "; ") != c.changes || ok != (c.changes != "") {
			t.Errorf("%s: changes %q (%v), want %q", c.name, got, ok, c.changes)
		}
	}
}

// A waiting job has a cause if and only if Place would not start it, and Place starts it after the
// changes that ChangesToStart returns. ChangesToStart confirms this itself on copies; the test
// applies the changes to the real index and asks Place again.
func TestChangesToStartLetPlaceStartTheJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, ms := drawFleet(t)
		for _, m := range ms {
			facts := *m
			for k := 0; facts.Used.GPUs > float64(k); k++ {
				facts.Assignments = append(facts.Assignments, Assignment{Job: gpuJob("job-h", 4, true), Task: k, Active: true})
			}
			v.Index.Set(m, &facts)
		}
		v.Teams[0].Limit.GPUs = float64(rapid.IntRange(5, 60).Draw(t, "limit"))
		v.Teams[0].Used.GPUs = float64(rapid.IntRange(0, 60).Draw(t, "used"))
		j := drawJob(t, "job-1")
		j.PreemptAfter = testNow.Add(time.Hour)
		a := &ExplainContext{}
		causes := v.Explain(j, a)
		if starts := len(v.Place(j).Machines) > 0; starts != (len(causes) == 0) {
			t.Fatalf("starts %v, causes %s", starts, reasonsOf(causes))
		}
		if len(causes) == 0 {
			return
		}
		changes, ok := v.ChangesToStart(j, a)
		if !ok {
			return // no sufficient change was found
		}
		if len(changes) == 0 {
			t.Fatal("ChangesToStart returned no changes")
		}
		for _, c := range changes {
			if c.Reason == TeamLimit {
				v.Teams[0].Limit = v.Teams[0].Limit.Add(Resources{CPUs: c.CPUs, GPUs: c.GPUs}, 1)
				continue
			}
			for i := range c.Need {
				if c.Reason == NoCapacity {
					v.Index.Set(&Machine{}, &Machine{Name: fmt.Sprint("new-", i), Type: "g4", Zone: c.Offer.Zone, Spot: c.Offer.Spot, HasType: true, Size: SizeOf(g4), SecPerGB: 2, LastReport: testNow, HasAddress: true})
					continue
				}
				m := ms[slices.IndexFunc(ms, func(m *Machine) bool { return m.Name == c.Machines[i] })]
				facts := *m
				facts.Block, facts.AvoidUntil, facts.LastReport, facts.EarmarkedFor = 0, time.Time{}, testNow, nil
				facts.Used = facts.Used.Add(Resources{4, 1, 20}, -float64(c.Tasks))
				v.Index.Set(m, &facts)
			}
		}
		v.noCapacityAt, v.noVictimsAt = nil, nil
		if len(v.Place(j).Machines) == 0 {
			t.Fatalf("not started by %v; causes were %s", changes, reasonsOf(causes))
		}
	})
}

// Every reason has a text and a unique name, and is decoded from its name.
func TestReasonsHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for k := Reason(1); k < reasonCount; k++ {
		if k.String() == "" || k.Text() == "" || seen[k.String()] {
			t.Errorf("reason %d: %q %q", k, k.String(), k.Text())
		}
		seen[k.String()] = true
		data, _ := json.Marshal(k)
		var back Reason
		if json.Unmarshal(data, &back) != nil || back != k {
			t.Errorf("%s is decoded as %v", data, back)
		}
	}
}

// BenchmarkExplain measures an explanation by fleet size.
func BenchmarkExplain(b *testing.B) {
	for _, size := range []int{48, 400, 1600, 16000} {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			v, _ := benchFleet(size, 0)
			j := gpuJob("job-1", 30, true)
			j.Need = Resources{5, 3, 36}
			for b.Loop() {
				if len(v.Explain(j, &ExplainContext{})) == 0 {
					b.Fatal("Explain returned no causes")
				}
				if _, ok := v.ChangesToStart(j, &ExplainContext{}); !ok {
					b.Fatal("no sufficient change was found")
				}
			}
		})
	}
}

// A gang that must be spread over zones but must run, or only fits, in one zone never runs. It must
// be explained as such, and nothing may be preempted, moved or rented for it; other jobs with the
// same constraints run. Such a gang once had tasks preempted for it every 8 s, and machines rented
// for half of its tasks.
func TestGangThatNeverFitsRequestsNothing(t *testing.T) {
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	for _, c := range []struct {
		name      string
		constrain func(s *protocol.JobSpec)
		never     bool
	}{
		{"spread", func(s *protocol.JobSpec) {}, false},
		{"and in one zone", func(s *protocol.JobSpec) { s.OneZone = true }, true},
		{"in a zone that is named", func(s *protocol.JobSpec) { s.Zone = "a" }, true},
		{"on a type of one zone", func(s *protocol.JobSpec) { s.Types = []string{"c1"} }, true},
		{"of one task", func(s *protocol.JobSpec) { s.OneZone, s.Tasks = true, 1 }, false},
		{"an array", func(s *protocol.JobSpec) { s.OneZone, s.Shape = true, protocol.Array }, false},
	} {
		elsewhere := machineOf(c24, "m9", 0)
		v := viewOfPartitions([]*Machine{withTasks(machineOf(c24, "m1", 24), low, 24), withTasks(machineOf(c24, "m2", 24), low, 24)}, []*Machine{elsewhere})
		v.Types["c1"] = &protocol.MachineType{Name: "c1", CPUs: 24, MemoryGB: 192, Price: 1, SpotPrice: 0.5, BootS: 30, Zones: []string{"a"}}
		j := cpuJob("job-1", protocol.Gang, 2, protocol.High)
		j.Spec.Spread = true
		c.constrain(j.Spec)
		j.Tasks, j.Waiting = j.Spec.Tasks, j.Spec.Tasks
		rental := v.Rent([]*Job{j}, nil, &Market{})
		requests := v.Preempt(j, j.Tasks, AnyMachine).HasEvictions() || len(v.PlanMoves([][]*Job{{j}, nil}, make([][]*Job, 2), 9)) > 0 || len(rental.ToRent) > 0
		if requests == c.never || c.never != (v.Place(j).Reason == GangNeverFits) || c.never != (rental.Reasons[0] == GangNeverFits) {
			t.Errorf("%s: requests machines %v, waits for %v and %v", c.name, requests, v.Place(j).Reason, rental.Reasons)
		}
		causes := v.Explain(j, &ExplainContext{})
		if _, ok := v.ChangesToStart(j, &ExplainContext{}); c.never && (ok || len(causes) == 0 || causes[0].Reason != GangNeverFits) {
			t.Errorf("%s: causes %v, sufficient change found: %v", c.name, causes, ok)
		}
	}
}
