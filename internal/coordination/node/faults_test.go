package node

import (
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/standby"
	"dapplestage.example/dapplestage/internal/coordination/start"
)

// startFindsIdle is a start after which much is idle, and nobody saw since when.
func startFindsIdle(w *simCluster) {
	w.size.stopArrays()
	time.Sleep(12 * time.Second)
	restartAll(w, 6*time.Second, 6500*time.Millisecond, 7*time.Second)
	time.Sleep(time.Minute)
	if m := maxPerSecond(w.size.returned); m > 42 { // 30 of a node, and others take shares meanwhile
		w.size.reportProblem("%d machines returned in a second", m)
	}
}

// startLoses is a start in which no task may end with its lease, and calls are few.
func startLoses(w *simCluster) {
	restartAll(w, 6*time.Second, 6500*time.Millisecond, 7*time.Second)
	from := time.Now().Unix()
	time.Sleep(time.Minute)
	if _, expired := w.fleet.Ended(); expired > 0 {
		w.size.reportProblem("%d tasks ended with their leases", expired)
	}
	for name, perSecond := range w.size.orders {
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

// Each of these faults, done on purpose, must be found; without it nothing is.
func TestStartFaultsAreFound(t *testing.T) {
	for _, c := range []struct {
		name     string
		day      func(w *simCluster)
		sabotage func(n *Node)
	}{
		{"a place taken for free before its machine was heard", startLoses, func(n *Node) {
			for _, s := range n.partitions {
				for _, m := range s.machines {
					if s.reconciliation != nil && s.reconciliation.AwaitingReport(m.name) && n.sinceContact(time.Now()) < time.Second {
						for k := range m.tasks {
							n.recordOutcome(k.job, k.task, outcomeGone)
						}
					}
				}
			}
		}},
		{"the budget not applied to calls", startLoses, func(n *Node) {
			n.loadControl.budget = start.NewBudget(start.Limits{Cores: 64}, time.Now().Add(-time.Second))
		}},
		{"idleness counted from the take-over", startFindsIdle, func(n *Node) {
			for _, s := range n.partitions {
				for _, m := range s.machines {
					if n.owns(s) && m.idleSinceUnknown {
						m.idleSinceUnknown, m.idleSince = false, s.acquiredAt
					}
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := 0
			for seed := uint64(1); seed <= 5 && found == 0; seed++ {
				z := &scaledFleet{machines: *scaledMachines, sockets: *scaledMachines, sabotage: c.sabotage}
				runScaled(t, seed, z, c.day)
				if found = len(z.problems); found > 0 {
					t.Logf("found with seed %d: %s", seed, z.problems[0])
				}
			}
			if found == 0 {
				t.Error("not found with five seeds")
			}
			z := &scaledFleet{machines: *scaledMachines, sockets: *scaledMachines}
			runScaled(t, 1, z, c.day)
			for _, x := range z.problems {
				t.Errorf("without the fault: %s", x)
			}
		})
	}
}

// standbyTakes is a day on which holders end and stand still, and messages are late.
func standbyTakes(w *simCluster) {
	w.withLock(func() { w.lateTxnRate, w.lossRate = 0.5, 0.08 })
	for i := range 4 {
		time.Sleep(w.randDuration(4*time.Second, 9*time.Second))
		name := w.names[i%3]
		if i%2 == 0 {
			w.crash(name)
			continue
		}
		w.withLock(func() { w.refusePeerConns = true }) // a holder that stands still behind it seems to have ended
		w.freeze(name, 7*time.Second)
		w.withLock(func() { w.refusePeerConns = false })
	}
	w.withLock(func() { w.lateTxnRate, w.lossRate = 0, 0 })
	time.Sleep(time.Minute)
}

// Faults of a standby, done on purpose, are found.
func TestStandbyFaultsAreFound(t *testing.T) {
	for _, c := range []struct {
		name     string
		sabotage func(n *Node)
	}{
		{"a hint taken as proof", func(n *Node) {
			now := time.Now()
			for _, s := range n.partitions {
				for _, m := range s.machines {
					if s.reconciliation == nil || !s.reconciliation.AwaitingReport(m.name) || now.Sub(m.lastHint) > machineHintMaxAge {
						continue
					}
					for k := range m.tasks { // the hint lists nothing that was placed since
						n.recordOutcome(k.job, k.task, outcomeGone)
					}
				}
			}
		}},
		{"a take-over without the fence", func(n *Node) {
			for _, s := range n.partitions {
				if h := s.owner; n.owns(s) && h.Token > 1 && s.takeover.cause == standby.ProcessEnded {
					for _, m := range s.machines { // it commands under the token of the holder before
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
				if runScaled(t, seed, z, standbyTakes); len(z.problems) > 0 {
					found = seed
					t.Logf("found with seed %d: %s", seed, z.problems[0])
				}
			}
			if found == 0 {
				t.Fatal("not found with five seeds")
			}
			z := &scaledFleet{machines: 120, sockets: 300}
			runScaled(t, found, z, standbyTakes)
			for _, x := range z.problems {
				t.Errorf("without the fault: %s", x)
			}
		})
	}
}
