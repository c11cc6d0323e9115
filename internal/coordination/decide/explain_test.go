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

func reasonsOf(cs []Cause) string {
	var out []string
	for _, c := range cs {
		out = append(out, c.Reason.String())
	}
	return strings.Join(out, " ")
}

// Each cause there is, and several at once: all are named, the one that binds first
// first, with what would release the job; and the decision confirms it.
func TestCauses(t *testing.T) {
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
	kept := g4Machine("m1", "a", 0)
	kept.EarmarkedFor, kept.EarmarkedUntil = gpuJob("job-g", 3, true), testNow.Add(time.Minute)
	kept.EarmarkedFor.Rank = protocol.High
	silent := g4Machine("m1", "a", 0)
	silent.LastReport = testNow.Add(-time.Minute)
	booting := g4Machine("m1", "a", 0)
	booting.LastReport, booting.HasAddress = time.Time{}, false
	unheard := g4Machine("m1", "a", 0) // it was up, and its share was just taken
	unheard.LastReport = time.Time{}
	avoided := g4Machine("m1", "a", 0)
	avoided.AvoidUntil = testNow.Add(time.Second)
	for _, c := range []struct {
		name    string
		ms      []*Machine
		job     func(j *Job)
		around  ExplainContext
		view    func(v *View)
		want    string
		release string
	}{
		{"full", []*Machine{full("m1"), full("m2")}, nil, ExplainContext{}, nil, "no_free_machine", "1 tasks end on any 1 of m1, m2"},
		{"drained", []*Machine{blocked("m1", Cordoned), blocked("m2", InterruptionNotice)}, nil, ExplainContext{}, nil, "drained", "the drain ends of any 1 of m1, m2"},
		{"limit", []*Machine{g4Machine("m1", "a", 0)}, nil, ExplainContext{}, func(v *View) { v.Teams[0].Limit.GPUs, v.Teams[0].Used.GPUs = 8, 8 }, "team_limit", "1 more cards of the team's limit"},
		{"limit and full", []*Machine{full("m1")}, nil, ExplainContext{}, func(v *View) { v.Teams[0].Limit.GPUs, v.Teams[0].Used.GPUs = 8, 8 }, "team_limit no_free_machine", "1 more cards of the team's limit; 1 tasks end on m1"},
		{"kept", []*Machine{kept}, nil, ExplainContext{}, nil, "kept_for_gang", "no longer kept for a gang: m1"},
		{"silent", []*Machine{silent}, nil, ExplainContext{}, nil, "silent", "heard again: m1"},
		{"booting", []*Machine{booting}, nil, ExplainContext{}, nil, "booting", "ready: m1"},
		{"unheard", []*Machine{unheard}, nil, ExplainContext{}, nil, "unheard", "ready: m1"},
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
		for _, x := range causes {
			if x.String() == "" {
				t.Errorf("%s: no words", c.name)
			}
		}
		if c.want == "" {
			continue
		}
		changes, ok := v.ChangesToStart(j, &c.around)
		var got []string
		for _, x := range changes {
			got = append(got, x.String())
		}
		if strings.Join(got, "; ") != c.release || ok != (c.release != "") {
			t.Errorf("%s: release %q (%v), want %q", c.name, got, ok, c.release)
		}
	}
}

// A waiting job is never without an explanation, one that a decision would start has
// none, and applying what is said to release it makes the decision start it: Release
// itself asks the decision, here it is asked once more on machines changed by hand.
func TestExplanationsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, ms := drawFleet(t)
		for _, m := range ms {
			f := *m
			for k := 0; f.Used.GPUs > float64(k); k++ {
				f.Assignments = append(f.Assignments, Assignment{Job: gpuJob("job-h", 4, true), Task: k, Active: true})
			}
			v.Index.Set(m, &f)
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
			return // said so: no single change was found
		}
		if len(changes) == 0 {
			t.Fatal("released by nothing")
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
				f := *m
				f.Block, f.AvoidUntil, f.LastReport, f.EarmarkedFor = 0, time.Time{}, testNow, nil
				f.Used = f.Used.Add(Resources{4, 1, 20}, -float64(c.Tasks))
				v.Index.Set(m, &f)
			}
		}
		v.noCapacityAt, v.noVictimsAt = nil, nil
		if len(v.Place(j).Machines) == 0 {
			t.Fatalf("not started by %v; causes were %s", changes, reasonsOf(causes))
		}
	})
}

func TestKindsHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for k := Reason(1); k < reasonCount; k++ {
		if k.String() == "" || k.Text() == "" || seen[k.String()] {
			t.Errorf("kind %d: %q %q", k, k.String(), k.Text())
		}
		seen[k.String()] = true
		data, _ := json.Marshal(k)
		var back Reason
		if json.Unmarshal(data, &back) != nil || back != k {
			t.Errorf("%s reads as %v", data, back)
		}
	}
}

// What an explanation costs when it is asked for, by size of the fleet.
func BenchmarkExplain(b *testing.B) {
	for _, size := range []int{48, 400, 1600, 16000} {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			v, _ := benchFleet(size, 0)
			j := gpuJob("job-1", 30, true)
			j.Need = Resources{5, 3, 36}
			for b.Loop() {
				if len(v.Explain(j, &ExplainContext{})) == 0 {
					b.Fatal("nothing explained")
				}
				if _, ok := v.ChangesToStart(j, &ExplainContext{}); !ok {
					b.Fatal("nothing releases it")
				}
			}
		})
	}
}

// A gang whose tasks must be in one zone, or can be in one only, and of which at most half may
// be in one zone, never runs. It says so, and nobody is stopped, moved or rented for it; what
// of other jobs can run with the same wishes does. (Such a gang had room made for it every
// 8 s, and machines rented for half of it.)
func TestAGangThatCanNeverRunAsksForNothing(t *testing.T) {
	low := cpuJob("job-low", protocol.Array, 24, protocol.Low)
	for _, c := range []struct {
		name  string
		wish  func(s *protocol.JobSpec)
		never bool
	}{
		{"spread", func(s *protocol.JobSpec) {}, false},
		{"and in one zone", func(s *protocol.JobSpec) { s.OneZone = true }, true},
		{"in a zone that is named", func(s *protocol.JobSpec) { s.Zone = "a" }, true},
		{"on a type of one zone", func(s *protocol.JobSpec) { s.Types = []string{"c1"} }, true},
		{"of one task", func(s *protocol.JobSpec) { s.OneZone, s.Tasks = true, 1 }, false},
		{"an array", func(s *protocol.JobSpec) { s.OneZone, s.Shape = true, protocol.Array }, false},
	} {
		away := machineOf(c24, "m9", 0)
		v := viewOfPartitions([]*Machine{withTasks(machineOf(c24, "m1", 24), low, 24), withTasks(machineOf(c24, "m2", 24), low, 24)}, []*Machine{away})
		v.Types["c1"] = &protocol.MachineType{Name: "c1", CPUs: 24, MemoryGB: 192, Price: 1, SpotPrice: 0.5, BootS: 30, Zones: []string{"a"}}
		j := cpuJob("job-1", protocol.Gang, 2, protocol.High)
		j.Spec.Spread = true
		c.wish(j.Spec)
		j.Tasks, j.Waiting = j.Spec.Tasks, j.Spec.Tasks
		r := v.Rent([]*Job{j}, nil, &Market{})
		asks := v.Preempt(j, j.Tasks, AnyMachine).HasEvictions() || len(v.PlanMoves([][]*Job{{j}, nil}, make([][]*Job, 2), 9)) > 0 || len(r.ToRent) > 0
		if asks == c.never || c.never != (v.Place(j).Reason == GangNeverFits) || c.never != (r.Reasons[0] == GangNeverFits) {
			t.Errorf("%s: asks for something %v, waits for %v and %v", c.name, asks, v.Place(j).Reason, r.Reasons)
		}
		causes := v.Explain(j, &ExplainContext{})
		if _, ok := v.ChangesToStart(j, &ExplainContext{}); c.never && (ok || len(causes) == 0 || causes[0].Reason != GangNeverFits) {
			t.Errorf("%s: told %v, and a change that would do: %v", c.name, causes, ok)
		}
	}
}
