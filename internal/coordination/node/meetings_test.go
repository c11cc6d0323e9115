package node

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
)

// Scenarios in which two faults coincide; see docs/meetings.md. Each runs amid users who submit,
// poll and cancel jobs, once with job records and once with packed entries of few slots, and
// asserts that the intended coincidence occurred. In the pair tests two scenarios run at once while
// processes are restarted quickly.

// faultScenario is a scenario: the faults that it injects and the events that must occur.
type faultScenario struct {
	name      string
	inject    func(w *simCluster)
	mustOccur []string
	// configure changes the settings before anything runs.
	configure func(p *protocol.WorkerSettings, w *simCluster)
	// zones are the zones of the controllers; if unset all are in one zone.
	zones map[string]string
}

// faultScenarios are the scenarios of all files that TestFaultScenarios runs one at a time.
var faultScenarios = slices.Concat(baseScenarios, leadershipScenarios, zoneScenarios)

// randInt returns a random integer in [0, n).
func (w *simCluster) randInt(n int) int { return int(w.randDuration(0, time.Duration(n))) }

func (w *simCluster) randomNode() string { return w.names[w.randInt(3)] }

// partitionOwner returns the owner of a partition as stored in the state service, or "" if there is
// none.
func (w *simCluster) partitionOwner(index int) string {
	it, _ := w.state.Get(w.ctx, protocol.OwnerKey(index))
	var record protocol.OwnerRecord
	if it.Value == nil {
		return ""
	}
	if err := json.Unmarshal(it.Value, &record); err != nil {
		panic(err)
	}
	return record.Node
}

// watchOwners counts changes of owners, and those by which a partition returns to an earlier owner.
func (w *simCluster) watchOwners(ctx context.Context) {
	history := map[int][]string{}
	for ctx.Err() == nil {
		for i := range 3 {
			if owner := w.partitionOwner(i); owner != "" && (len(history[i]) == 0 || history[i][len(history[i])-1] != owner) {
				for _, before := range history[i] {
					if before == owner {
						w.recordEvent("partition returned to an earlier owner")
					}
				}
				if len(history[i]) > 0 {
					w.recordEvent("handed over")
				}
				history[i] = append(history[i], owner)
				w.onOwnerChange(i, owner)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// busyMachines returns the machines on which tasks run.
func (w *simCluster) busyMachines() (out []string) {
	for _, m := range w.fleet.MachineNames() {
		if w.fleet.Busy(m) {
			out = append(out, m)
		}
	}
	return out
}

var baseScenarios = []faultScenario{
	{name: "hand over and back", mustOccur: []string{"partition returned to an earlier owner"}, inject: func(w *simCluster) {
		for range 6 {
			name := w.partitionOwner(0)
			if name == "" {
				name = w.randomNode()
			}
			if n := w.node(name); n != nil && w.chance(&half) {
				n.Leave()
			}
			w.stopNode(name)
			time.Sleep(w.randDuration(0, time.Second))
			w.startIfStopped(name)
			time.Sleep(w.randDuration(time.Second, 8*time.Second))
		}
		// All processes end and one comes back.
		for _, name := range w.names {
			w.stopNode(name)
		}
		time.Sleep(w.randDuration(0, time.Second))
		w.startIfStopped(w.names[0])
		time.Sleep(12 * time.Second)
		w.startIfStopped(w.names[1])
		w.startIfStopped(w.names[2])
		time.Sleep(15 * time.Second)
	}},
	{name: "late writes", mustOccur: []string{"delayed write"}, inject: func(w *simCluster) {
		w.withLock(func() { w.delayedTxnRate = 0.25 })
		time.Sleep(30 * time.Second)
		w.crash(w.randomNode())
		time.Sleep(30 * time.Second)
		w.withLock(func() { w.delayedTxnRate = 0.1 })
		time.Sleep(20 * time.Second)
		w.withLock(func() { w.delayedTxnRate = 0 })
		time.Sleep(12 * time.Second)
	}},
	{name: "ends far apart", mustOccur: []string{"tasks ended before and after an owner change"}, configure: func(_ *protocol.WorkerSettings, w *simCluster) {
		w.fleet.RunTime = func(j *protocol.JobSpec, task int) time.Duration {
			if j.Shape != protocol.Array || j.Tasks > 3 {
				return time.Duration(j.EstimateS * float64(time.Second))
			}
			return time.Duration(5+35*task) * time.Second
		}
	}, inject: func(w *simCluster) {
		for round := range 5 {
			for i := range 3 {
				w.submit(&protocol.JobSpec{ID: fmt.Sprintf("job-92%02d%02d", round, i), Team: []string{"red", "blue", "green"}[i], Class: "c", Shape: protocol.Array, Priority: "high", Tasks: 2 + i%2, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1, EstimateS: 40})
			}
			time.Sleep(w.randDuration(12*time.Second, 20*time.Second))
			partlyDone, changes := w.partlyDoneJobs(), w.eventCount("handed over")
			if name := w.partitionOwner(w.randInt(3)); name != "" {
				w.stopNode(name)
				time.Sleep(4 * time.Second) // until another node owns its partition
				w.startIfStopped(name)
			}
			stillPartlyDone := w.partlyDoneJobs()
			for _, id := range partlyDone {
				if slices.Contains(stillPartlyDone, id) && w.eventCount("handed over") > changes {
					w.recordEvent("tasks ended before and after an owner change")
				}
			}
		}
		// All jobs must be done in the end, and not before. If other scenarios run at once, the
		// time limit begins after they have ended.
		open := 15
		for from := time.Now(); open > 0 && time.Since(from) < 4*time.Minute; time.Sleep(time.Second) {
			if w.otherScenariosActive() {
				from = time.Now()
			}
			open = 0
			for round := range 5 {
				for i := range 3 {
					id := fmt.Sprintf("job-92%02d%02d", round, i)
					switch done := w.pollStatus(w.randomNode(), id) == protocol.JobDone; {
					case !done:
						open++
					case w.fleet.FinishedTasks(id) != 2+i%2:
						w.violation("%s is called done with %d tasks completed", id, w.fleet.FinishedTasks(id))
					}
				}
			}
		}
		if open > 0 {
			w.violation("%d of 15 jobs whose tasks end far apart were not done", open)
		}
	}},
	{name: "machines out of reach of the next leader", mustOccur: []string{"busy machine without inbound traffic", "handed over"}, configure: infrequentReports, inject: func(w *simCluster) {
		for range 3 {
			for i, m := range w.busyMachines() {
				if i%2 == 0 {
					w.withLock(func() { w.noInbound[m] = true })
					w.recordEvent("busy machine without inbound traffic")
				}
			}
			if name := w.partitionOwner(w.randInt(3)); name != "" {
				w.stopNode(name)
				time.Sleep(w.randDuration(4*time.Second, 45*time.Second)) // shorter and longer than the lease
				w.startIfStopped(name)
			}
			time.Sleep(w.randDuration(time.Second, 10*time.Second))
			w.withLock(func() { clear(w.noInbound) })
			time.Sleep(w.randDuration(2*time.Second, 10*time.Second))
		}
	}},
	{name: "a slow state service, then none", mustOccur: []string{"users polled during the outage"}, inject: func(w *simCluster) {
		w.withLock(func() { w.stateDelay = 900 * time.Millisecond })
		time.Sleep(20 * time.Second)
		leader := w.partitionOwner(0)
		w.withLock(func() { w.stateRefused[leader] = true })
		time.Sleep(w.randDuration(500*time.Millisecond, 12*time.Second))
		w.withLock(func() { w.outage = true })
		before := w.eventCount("asked")
		time.Sleep(50 * time.Second) // longer than cancel_s, which is 40
		if w.eventCount("asked") > before {
			w.recordEvent("users polled during the outage")
		}
		w.withLock(func() { w.outage, w.stateDelay = false, 0 })
		w.state.RenewAllLeases()
		time.Sleep(5 * time.Second)
		w.withLock(func() { w.stateRefused[leader] = false })
		time.Sleep(10 * time.Second)
	}},
	{name: "a leader cut from store and siblings", mustOccur: []string{"report answered by the isolated leader", "cancellation confirmed by another node"}, inject: func(w *simCluster) {
		var ids []string
		for i := range 3 {
			s := &protocol.JobSpec{ID: fmt.Sprintf("job-9000%02d", i), Team: []string{"red", "blue", "green"}[i], Class: "c", Shape: protocol.Service, Priority: "critical", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1}
			w.submit(s)
			ids = append(ids, s.ID)
		}
		time.Sleep(20 * time.Second)
		leader := w.partitionOwner(0)
		if leader == "" {
			leader = w.randomNode()
		}
		w.withLock(func() { w.stateSilent[leader], w.peersUnreachable[leader] = true, true })
		before := w.eventCount("answered by " + leader)
		asks := func(by string) {
			for _, id := range ids {
				if a := w.cancelOnce(by, id); a.status == 200 && w.eventCount(id) == 0 {
					w.recordEvent(id)
					if by != leader {
						w.recordEvent("cancellation confirmed by another node")
					}
				}
			}
		}
		for from := time.Now(); time.Since(from) < 60*time.Second; time.Sleep(time.Second) {
			for _, name := range w.names {
				asks(name)
			}
		}
		if w.eventCount("answered by "+leader) > before {
			w.recordEvent("report answered by the isolated leader")
		}
		w.withLock(func() { clear(w.stateSilent); clear(w.peersUnreachable) })
		time.Sleep(10 * time.Second)
		asks(w.randomNode())
	}},
	{name: "held commands", mustOccur: []string{"delayed command executed"}, configure: infrequentReports, inject: func(w *simCluster) {
		w.withLock(func() { w.delayedCommandRate = 0.4 })
		for round := range 6 {
			for i, m := range w.fleet.MachineNames() {
				if i%3 == 0 {
					till := time.Now().Add(w.randDuration(2*time.Second, 12*time.Second))
					w.withLock(func() { w.hungUntil[m] = till })
				}
			}
			w.submitAndCancel(round, 4*time.Second)
			time.Sleep(w.randDuration(5*time.Second, 14*time.Second))
			if w.chance(&half) {
				w.restart(w.randomNode(), w.randDuration(0, time.Second))
			}
		}
		w.withLock(func() { w.delayedCommandRate = 0 })
		time.Sleep(12 * time.Second)
	}},
	{name: "old reports", mustOccur: []string{"old report", "report of an earlier session"}, inject: func(w *simCluster) {
		w.withLock(func() { w.duplicateReportRate = 0.6 })
		for round := range 6 {
			earlierReports := map[string]protocol.Report{}
			for i, m := range w.fleet.MachineNames() {
				if r, err := w.fleet.Inspect(w.ctx, m+":9000"); i%2 == 0 && err == nil {
					earlierReports[m] = *r
					w.withLock(func() { w.noInbound[m] = true })
				}
			}
			time.Sleep(13 * time.Second) // longer than a lease
			w.withLock(func() { clear(w.noInbound) })
			w.submitAndCancel(round, 15*time.Second)
			time.Sleep(w.randDuration(4*time.Second, 8*time.Second))
			for _, r := range earlierReports { // reports of the previous session arrive now
				for _, name := range w.names {
					go w.redeliverLater(name, r)
				}
			}
			if w.chance(&half) {
				w.restart(w.randomNode(), w.randDuration(0, time.Second))
			}
		}
		w.withLock(func() { w.duplicateReportRate = 0 })
		time.Sleep(25 * time.Second)
	}},
}

// otherScenariosActive reports whether another scenario runs besides the calling one.
func (w *simCluster) otherScenariosActive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.activeScenarios > 1
}

// submitAndCancel submits jobs that are cancelled while their starts may be in flight.
func (w *simCluster) submitAndCancel(round int, within time.Duration) {
	for i := range 3 {
		spec := &protocol.JobSpec{ID: fmt.Sprintf("job-91%02d%02d", round, i), Team: []string{"red", "blue", "green"}[i], Class: "c", Shape: protocol.Array, Priority: "critical", Tasks: 2, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1, EstimateS: 20}
		w.submit(spec)
		go func() {
			time.Sleep(w.randDuration(200*time.Millisecond, within))
			for range 60 {
				if response := w.cancelOnce(w.randomNode(), spec.ID); response.status == 200 {
					return
				}
				time.Sleep(time.Second)
			}
		}()
	}
}

// infrequentReports makes workers report every 6 s, so that starts are sent by direct commands.
func infrequentReports(p *protocol.WorkerSettings, _ *simCluster) {
	p.ReportS, p.LeaseS, p.CancelS = 6, 36, 56
}

// partlyDoneJobs returns the jobs of which some tasks have completed and others have not.
func (w *simCluster) partlyDoneJobs() (out []string) {
	for round := range 5 {
		for i := range 3 {
			if id := fmt.Sprintf("job-92%02d%02d", round, i); w.fleet.FinishedTasks(id) > 0 && w.fleet.RemainingTasks(id) > 0 {
				out = append(out, id)
			}
		}
	}
	return out
}

// missingEvents returns the events that should have occurred in a scenario and did not.
func (w *simCluster) missingEvents(scenario faultScenario) (out []string) {
	for _, event := range scenario.mustOccur {
		if w.eventCount(event) == 0 {
			out = append(out, event)
		}
	}
	return out
}

// runScenarios runs a workload with one or several scenarios at a time. If a guard is given it is
// disabled; violations are then returned and do not fail the test.
func runScenarios(t *testing.T, seed uint64, disabledGuard string, scenarios ...faultScenario) (broken []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newConfiguredSimCluster(t, ctx, seed, nil, func(cfg *protocol.Settings, f *standin.Fleet) {
			for _, scenario := range scenarios {
				if scenario.configure != nil {
					scenario.configure(&cfg.Params.Workers, &simCluster{fleet: f})
				}
				if scenario.zones != nil {
					assignZones(cfg, scenario.zones)
				}
			}
		})
		w.disabledGuard, w.fleet.IgnoreTokens = disabledGuard, disabledGuard == "tokens"
		w.collectOnly = disabledGuard != ""
		go w.watchOwners(ctx)
		w.runWorkload(16, func(w *simCluster) {
			time.Sleep(10 * time.Second)
			finished := make(chan bool)
			w.withLock(func() { w.activeScenarios = len(scenarios) })
			for _, scenario := range scenarios[1:] {
				go func() {
					scenario.inject(w)
					w.withLock(func() { w.activeScenarios-- })
					finished <- true
				}()
			}
			scenarios[0].inject(w)
			w.withLock(func() { w.activeScenarios-- })
			for range scenarios[1:] {
				<-finished
			}
			for range 2 { // repeat until the events have occurred
				if len(scenarios) == 1 && len(w.missingEvents(scenarios[0])) > 0 {
					scenarios[0].inject(w)
				}
			}
		})
		for _, scenario := range scenarios {
			if missing := w.missingEvents(scenario); len(missing) > 0 && disabledGuard == "" {
				w.violation("%s: events did not occur: %q", scenario.name, missing)
			}
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		broken = w.violations
	})
	return broken
}

// Runs each scenario alone, with job records and with packed entries.
func TestFaultScenarios(t *testing.T) {
	for _, scenario := range faultScenarios {
		for seed := range seedCount(2) {
			t.Run(fmt.Sprintf("%s/%d", scenario.name, seed), func(t *testing.T) { runScenarios(t, 2000+seed, "", scenario) })
			t.Run(fmt.Sprintf("%s/entries/%d", scenario.name, seed), func(t *testing.T) {
				storeOnlyEntries(t, 4)
				runScenarios(t, 3000+seed, "", scenario)
			})
		}
	}
}

// pairableScenarios returns the scenarios that are run in pairs: all but those that assert a time
// limit, since another scenario may delay them for as long as it lasts.
func pairableScenarios() []faultScenario {
	timed := []string{"many small jobs", "odd requests", "more work than room, urgent and not, over slow links"}
	return slices.DeleteFunc(slices.Concat(faultScenarios, userScenarios, machineScenarios), func(m faultScenario) bool {
		return slices.Contains(timed, m.name)
	})
}

// ciPairs is the approximate number of pairs that run without -seeds; CI runs the same ones each
// time.
const ciPairs = 6

// pairsBaseSeed returns the first seed of the pairs. It is fixed in CI (CI=true), can be set to
// reproduce a failed run that printed it (PAIRS_SEED), and is random otherwise.
func pairsBaseSeed(t *testing.T) uint64 {
	if set := os.Getenv("PAIRS_SEED"); set != "" {
		seed, err := strconv.ParseUint(set, 10, 64)
		if err != nil {
			t.Fatalf("PAIRS_SEED: %v", err)
		}
		return seed
	}
	if os.Getenv("CI") == "true" {
		return 4000
	}
	return uint64(time.Now().UnixNano() % 1e9)
}

// Rules hold when two scenarios run at once while processes restart within a second.
func TestFaultScenarioPairs(t *testing.T) {
	base := pairsBaseSeed(t)
	t.Logf("to reproduce: PAIRS_SEED=%d", base)
	var pairs [][2]faultScenario
	all := pairableScenarios()
	for i, a := range all {
		for _, b := range all[i+1:] {
			pairs = append(pairs, [2]faultScenario{a, b})
		}
	}
	every := (len(pairs) + ciPairs - 1) / ciPairs
	if *moreSeeds > 0 {
		every = 1
	}
	for i, pair := range pairs {
		for k := range seedCount(1) {
			seed := base + 1000*k + uint64(i)
			if (uint64(i)+k+base)%uint64(every) != 0 {
				continue
			}
			t.Run(fmt.Sprintf("%s, %s/%d", pair[0].name, pair[1].name, seed), func(t *testing.T) {
				if i%2 == 0 {
					storeOnlyEntries(t, 4)
				}
				// The events are asserted only where each scenario runs alone.
				pair[0].mustOccur, pair[1].mustOccur = nil, nil
				runScenarios(t, seed, "", pair[0], pair[1], faultScenario{name: "fast restarts", inject: func(w *simCluster) {
					for range 5 {
						time.Sleep(w.randDuration(time.Second, 12*time.Second))
						w.restart(w.randomNode(), w.randDuration(0, time.Second))
					}
				}})
			})
		}
	}
}

// guardDefect is a guard to disable and the scenario that must detect its absence.
type guardDefect struct{ guard, foundBy string }

// guardDefects are those of all files.
var guardDefects = slices.Concat(baseDefects, leadershipDefects)

var baseDefects = []guardDefect{
	{"tokens", "held commands"}, {"conditions", "late writes"}, {"conditions", "ends far apart"},
	{"return", "machines out of reach of the next leader"}, {"doubt", "held commands"}, {"newest", "old reports"},
}

// A scenario that passes with a guard disabled tests nothing: each disabled guard must be detected
// by its scenario within a limited number of seeds.
func TestScenariosDetectDisabledGuards(t *testing.T) {
	for _, defect := range guardDefects {
		t.Run(defect.guard+"/"+defect.foundBy, func(t *testing.T) {
			i := slices.IndexFunc(faultScenarios, func(scenario faultScenario) bool { return scenario.name == defect.foundBy })
			if i < 0 {
				t.Fatal("no such scenario")
			}
			scenario := faultScenarios[i]
			if defect.guard == "conditions" && defect.foundBy == "ends far apart" {
				faults := scenario.inject
				scenario.inject = func(w *simCluster) {
					w.withLock(func() { w.delayedTxnRate = 0.2 })
					faults(w)
				}
			}
			for seed := range seedCount(40) {
				if broken := runScenarios(t, 5000+seed, defect.guard, scenario); len(broken) > 0 {
					t.Logf("detected with seed %d: %s", 5000+seed, broken[0])
					return
				}
			}
			t.Error("not detected")
		})
	}
}
