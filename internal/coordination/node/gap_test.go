package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// leaderLoss is one case in which the leader alone loses the state service, another controller
// confirms cancellations, and then the state service is down for all for longer than cancel_s.
type leaderLoss struct {
	separation     time.Duration // time between the two faults
	outageFirst    bool          // the outage comes first, and the leader's fault lasts beyond it
	outage         time.Duration
	stateSilent    bool // the state service does not answer the leader at all; otherwise it refuses the leader
	earlierVersion bool // a node of an earlier version lives, so cancellations are confirmed as soon as they are stored
	staleWatch     bool // another controller's watch has been stalled for some time; its other calls are answered
	leaderRestarts bool // the leader is restarted during the outage
	nodeCount      int
	seed           uint64
	// cancelAtOnce makes users cancel within a fifth of a second of the first fault, at any node,
	// also at the leader that has just lost the state service.
	cancelAtOnce bool
	// disabledGuard is the guard that is disabled; empty: none.
	disabledGuard string
}

func (g leaderLoss) String() string {
	type plain leaderLoss
	return fmt.Sprintf("%+v", plain(g))
}

// leaderLossResult is what occurred: cancellations that other controllers confirmed between the two
// faults, reports that the leader answered during the outage, cancellations that were requested,
// confirmed and refused, and the violations found.
type leaderLossResult struct {
	betweenFaults, leaderReports, requested, confirmed, refused int
	requestedAtOnce                                             int // requested within a fifth of a second of the first fault
	violations                                                  []string
}

// atOnceWithin is how soon after the first fault users cancel with cancelAtOnce.
const atOnceWithin = 200 * time.Millisecond

// run runs the case: jobs of every partition run for long, and users cancel most of them through other
// controllers from the moment that the leader loses the state service.
func (g leaderLoss) run(t *testing.T) (result leaderLossResult) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, g.seed, func(p *protocol.WorkerSettings) { p.ReportS, p.LeaseS, p.CancelS = 3, 20, 40 })
		w.disabledGuard, w.collectOnly = g.disabledGuard, g.disabledGuard != ""
		if g.earlierVersion {
			w.fleet.CancelConfirmedAfterStop = false
			w.state.Put(protocol.NodeKey("n-9"), map[string]uint64{"lease": 1})
		}
		for i := range 12 {
			w.submit(&protocol.JobSpec{ID: fmt.Sprintf("job-%06d", i), Team: []string{"red", "blue", "green"}[i%3], Class: "c", Shape: protocol.Array, Priority: "high",
				Tasks: 1 + i/3%2, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1, EstimateS: 600, Spot: true})
		}
		time.Sleep(45 * time.Second)
		for i := range w.names[g.nodeCount:] { // nodes that the case does not have are isolated for good
			w.withLock(func() { w.isolated[w.names[g.nodeCount+i]] = true })
		}
		time.Sleep(20 * time.Second)
		leader := w.partitionOwner(0)
		others := []string{}
		for _, name := range w.names[:g.nodeCount] {
			if name != leader {
				others = append(others, name)
			}
		}
		if len(others) == 0 {
			others = []string{leader}
		}
		// Some machines are reachable only from the leader, so that they go on reporting to it.
		for i, host := range w.fleet.MachineNames() {
			if i%3 == 0 {
				for _, name := range others {
					if name != leader {
						w.withLock(func() { w.cutPairs[name+" "+host] = true })
					}
				}
			}
		}
		var mu sync.Mutex // guards outageFrom, outageUntil and result
		var outageFrom, outageUntil time.Time
		setLeaderFault := func(active bool) {
			w.withLock(func() {
				if g.stateSilent {
					w.stateSilent[leader] = active
				} else {
					w.stateRefused[leader] = active
				}
			})
		}
		setOutage := func(active bool) {
			w.withLock(func() { w.outage = active })
			mu.Lock()
			defer mu.Unlock()
			if active {
				outageFrom = time.Now()
			} else {
				outageUntil = time.Now()
				w.state.RenewAllLeases()
			}
		}
		if g.staleWatch {
			w.withLock(func() { w.watchStalled[others[len(others)-1]] = true })
			time.Sleep(4 * time.Second)
		}
		faultAt := time.Now()
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				id := fmt.Sprintf("job-%06d", i)
				if g.cancelAtOnce {
					time.Sleep(w.randDuration(0, atOnceWithin))
				}
				requestedAt := time.Now()
				mu.Lock()
				result.requested++
				if requestedAt.Sub(faultAt) <= atOnceWithin {
					result.requestedAtOnce++
				}
				mu.Unlock()
				for k := 0; time.Since(requestedAt) < time.Minute; k++ {
					target := others[0]
					if g.cancelAtOnce {
						target = w.names[w.randInt(g.nodeCount)]
					}
					a := w.cancelOnce(target, id)
					if a.status == 200 {
						mu.Lock()
						result.confirmed++
						if now := time.Now(); target != leader && now.After(faultAt) && (outageFrom.IsZero() || now.Before(outageFrom)) {
							result.betweenFaults++
						}
						mu.Unlock()
						return
					}
					time.Sleep(time.Second)
				}
				mu.Lock()
				result.refused++
				mu.Unlock()
			})
		}
		if g.outageFirst {
			setOutage(true)
			time.Sleep(g.separation)
			setLeaderFault(true)
		} else {
			setLeaderFault(true)
			time.Sleep(g.separation)
			setOutage(true)
		}
		reportsBefore := w.eventCount("reported to " + leader)
		if g.leaderRestarts {
			time.Sleep(10 * time.Second)
			w.restart(leader, 300*time.Millisecond)
			time.Sleep(g.outage - 10*time.Second)
		} else {
			time.Sleep(g.outage)
		}
		result.leaderReports = w.eventCount("reported to "+leader) - reportsBefore
		setOutage(false)
		time.Sleep(10 * time.Second)
		setLeaderFault(false)
		w.withLock(func() { clear(w.cutPairs); clear(w.watchStalled) })
		wg.Wait()
		if lasted := outageUntil.Sub(outageFrom); lasted <= 40*time.Second {
			t.Errorf("the outage lasted %v, not longer than cancel_s", lasted)
		}
		time.Sleep(60 * time.Second)
		for _, b := range w.fleet.Violations {
			w.violation("rule broken: %s", b)
		}
		result.violations = w.violations
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
	return result
}

// The state service refuses the leader alone, another controller confirms cancellations, then the
// state service is down for all for longer than cancel_s while workers go on reporting to the old
// leader. The tasks of the cancelled jobs must still be gone within cancel_s. The cases differ in the
// time between the two faults and their order, the length of the outage, how the leader loses the state
// service, when cancellations are confirmed, and the number of controllers.
func TestLeaderLossThenOutage(t *testing.T) {
	var sum leaderLossResult
	cases := []leaderLoss{
		{separation: 500 * time.Millisecond, outage: 60 * time.Second},
		{separation: 2 * time.Second, outage: 60 * time.Second, stateSilent: true},
		{separation: 5 * time.Second, outage: 50 * time.Second},
		{separation: 8 * time.Second, outage: 90 * time.Second, stateSilent: true, leaderRestarts: true},
		{separation: 11 * time.Second, outage: 60 * time.Second},
		{separation: 2 * time.Second, outage: 60 * time.Second, outageFirst: true},
		{separation: 2 * time.Second, outage: 90 * time.Second, earlierVersion: true},
		{separation: 8 * time.Second, outage: 60 * time.Second, earlierVersion: true, stateSilent: true},
		{separation: 8 * time.Second, outage: 90 * time.Second, earlierVersion: true, staleWatch: true},
		{separation: 8 * time.Second, outage: 90 * time.Second, staleWatch: true},
		{separation: 8 * time.Second, outage: 60 * time.Second, nodeCount: 2},
		{separation: 8 * time.Second, outage: 60 * time.Second, nodeCount: 1},
		{separation: 0, outage: 60 * time.Second, cancelAtOnce: true},
		{separation: 100 * time.Millisecond, outage: 60 * time.Second, cancelAtOnce: true},
		{separation: time.Second, outage: 60 * time.Second, cancelAtOnce: true},
		{separation: time.Second, outage: 60 * time.Second, cancelAtOnce: true, stateSilent: true},
		{separation: 1500 * time.Millisecond, outage: 50 * time.Second, cancelAtOnce: true, leaderRestarts: true},
		{separation: 2 * time.Second, outage: 90 * time.Second, cancelAtOnce: true},
	}
	for i, g := range cases {
		for seed := range seedCount(1) {
			if g.seed = 40 + 100*seed + uint64(i); g.nodeCount == 0 {
				g.nodeCount = 3
			}
			t.Run(g.String(), func(t *testing.T) {
				result := g.run(t)
				t.Logf("%+v", result)
				sum.requested, sum.confirmed, sum.refused = sum.requested+result.requested, sum.confirmed+result.confirmed, sum.refused+result.refused
				if g.cancelAtOnce && result.requestedAtOnce < result.requested {
					t.Errorf("%d of %d cancellations were requested at once", result.requestedAtOnce, result.requested)
				}
				if g.outageFirst || g.nodeCount == 1 {
					return // no other controller can confirm a cancellation before the outage
				}
				if confirmable := g.earlierVersion || g.separation >= 5*time.Second || g.cancelAtOnce && g.separation >= time.Second; confirmable && result.betweenFaults == 0 {
					t.Error("no other controller confirmed a cancellation between the two faults")
				}
				if result.leaderReports == 0 {
					t.Error("no worker reported to the old leader during the outage")
				}
			})
		}
	}
	t.Logf("%+v", sum)
}

// Checks that a cancellation is detected that is confirmed as soon as it is stored, while its tasks go
// on at a leader that cannot know of it.
func TestLeaderLossDetectsDisabledGuard(t *testing.T) {
	for seed := range seedCount(4) {
		g := leaderLoss{separation: time.Second, outage: 60 * time.Second, cancelAtOnce: true, nodeCount: 3, seed: 80 + seed, disabledGuard: "gone tasks"}
		if result := g.run(t); len(result.violations) > 0 {
			t.Logf("found with seed %d: %s", g.seed, result.violations[0])
			return
		}
	}
	t.Error("not found")
}
