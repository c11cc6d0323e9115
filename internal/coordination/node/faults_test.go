package node

import (
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/standby"
	"dapplestage.example/dapplestage/internal/coordination/start"
)

// restartWithIdleMachines restarts all controllers when many machines are idle, so that no
// controller knows for how long.
func restartWithIdleMachines(w *simCluster) {
	w.size.stopArrays()
	time.Sleep(12 * time.Second)
	restartAll(w, 6*time.Second, 6500*time.Millisecond, 7*time.Second)
	time.Sleep(time.Minute)
	if m := maxPerSecond(w.size.returned); m > 42 { // 30 for each node, and other nodes take over partitions meanwhile
		w.size.reportProblem("%d machines returned in a second", m)
	}
}

// restartUnderLoad restarts all controllers; no task may end with its lease, and direct calls must
// be few.
func restartUnderLoad(w *simCluster) {
	restartAll(w, 6*time.Second, 6500*time.Millisecond, 7*time.Second)
	from := time.Now().Unix()
	time.Sleep(time.Minute)
	if _, expired := w.fleet.InterruptedTasks(); expired > 0 {
		w.size.reportProblem("%d tasks ended with their leases", expired)
	}
	for name, perSecond := range w.size.directCalls {
		calls := 0
		for at, c := range perSecond {
			if at >= from && at < from+4 {
				calls += c
			}
		}
		if calls > w.size.machines/6 {
			w.size.reportProblem("%s made %d calls in the first four seconds", name, calls)
		}
	}
}

// Each of these injected faults must be detected, and nothing may be reported without it.
func TestStartFaultsAreFound(t *testing.T) {
	for _, c := range []struct {
		name     string
		scenario func(w *simCluster)
		sabotage func(n *Node)
	}{
		{"resources counted as free before their machine has reported", restartUnderLoad, func(n *Node) {
			for _, p := range n.partitions {
				for _, m := range p.machines {
					if p.reconciliation != nil && p.reconciliation.AwaitingReport(m.name) && n.sinceContact(time.Now()) < time.Second {
						for k := range m.tasks {
							n.recordOutcome(k.job, k.task, outcomeGone)
						}
					}
				}
			}
		}},
		{"the budget not applied to calls", restartUnderLoad, func(n *Node) {
			n.loadControl.budget = start.NewBudget(start.Limits{Cores: 64}, time.Now().Add(-time.Second))
		}},
		{"idle time counted from the takeover", restartWithIdleMachines, func(n *Node) {
			for _, p := range n.partitions {
				for _, m := range p.machines {
					if n.owns(p) && m.idleSinceUnknown {
						m.idleSinceUnknown, m.idleSince = false, p.acquiredAt
					}
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := 0
			for seed := uint64(1); seed <= 5 && found == 0; seed++ {
				z := &scaledFleet{machines: *scaledMachines, sockets: *scaledMachines, sabotage: c.sabotage}
				runScaled(t, seed, z, c.scenario)
				if found = len(z.problems); found > 0 {
					t.Logf("found with seed %d: %s", seed, z.problems[0])
				}
			}
			if found == 0 {
				t.Error("not found with five seeds")
			}
			z := &scaledFleet{machines: *scaledMachines, sockets: *scaledMachines}
			runScaled(t, 1, z, c.scenario)
			for _, x := range z.problems {
				t.Errorf("without the fault: %s", x)
			}
		})
	}
}

// failovers ends and stalls owners while messages are late.
func failovers(w *simCluster) {
	w.withLock(func() { w.lateTxnRate, w.lossRate = 0.5, 0.08 })
	for i := range 4 {
		time.Sleep(w.randDuration(4*time.Second, 9*time.Second))
		name := w.names[i%3]
		if i%2 == 0 {
			w.crash(name)
			continue
		}
		w.withLock(func() { w.refusePeerConns = true }) // a stalled owner behind the filter seems to have ended
		w.freeze(name, 7*time.Second)
		w.withLock(func() { w.refusePeerConns = false })
	}
	w.withLock(func() { w.lateTxnRate, w.lossRate = 0, 0 })
	time.Sleep(time.Minute)
}

// Each of these injected faults of a standby must be detected, and nothing may be reported without it.
func TestStandbyFaultsAreFound(t *testing.T) {
	for _, c := range []struct {
		name     string
		sabotage func(n *Node)
	}{
		{"a hint taken as proof", func(n *Node) {
			now := time.Now()
			for _, p := range n.partitions {
				for _, m := range p.machines {
					if p.reconciliation == nil || !p.reconciliation.AwaitingReport(m.name) || now.Sub(m.lastHint) > machineHintMaxAge {
						continue
					}
					for k := range m.tasks { // the hint does not list what was placed since
						n.recordOutcome(k.job, k.task, outcomeGone)
					}
				}
			}
		}},
		{"a takeover without fencing", func(n *Node) {
			for _, p := range n.partitions {
				if h := p.owner; n.owns(p) && h.Token > 1 && p.takeover.cause == standby.ProcessEnded {
					for _, m := range p.machines { // it commands under the token of the previous owner
						if !m.fenced && m.rec.Token < h.Token {
							m.fenced, m.lastFencedReport = true, time.Now()
							for k := range m.tasks {
								if k.job.tasks[k.task].reportedState == reportedNone {
									n.recordOutcome(k.job, k.task, outcomeGone)
								}
							}
						}
					}
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := uint64(0)
			for seed := uint64(1); seed <= 5 && found == 0; seed++ {
				z := &scaledFleet{machines: 120, sockets: 300, sabotage: c.sabotage}
				if runScaled(t, seed, z, failovers); len(z.problems) > 0 {
					found = seed
					t.Logf("found with seed %d: %s", seed, z.problems[0])
				}
			}
			if found == 0 {
				t.Fatal("not found with five seeds")
			}
			z := &scaledFleet{machines: 120, sockets: 300}
			runScaled(t, found, z, failovers)
			for _, x := range z.problems {
				t.Errorf("without the fault: %s", x)
			}
		})
	}
}
