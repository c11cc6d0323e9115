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

// gap is one way in which a leader loses the state service alone, another controller
// confirms cancellations, and then nobody has it for longer than cancel_s.
type gap struct {
	apart  time.Duration // from the one to the other
	first  bool          // the outage comes first, and what the leader loses lasts beyond it
	outage time.Duration
	hangs  bool // the state service does not answer the leader at all; else it refuses
	early  bool // a node of an earlier version lives: users are told at once
	stale  bool // the watch has told another controller nothing for some time, its other calls are answered
	ends   bool // the leader ends within the outage, and is back
	nodes  int
	seed   uint64
	// atOnce says that users cancel within a fifth of a second of the first trouble, at any
	// node, also at the leader that has just lost the state service.
	atOnce bool
	// leftOut is a guard that is left out.
	leftOut string
}

func (g gap) String() string {
	type plain gap
	return fmt.Sprintf("%+v", plain(g))
}

// gapDone is what took place: confirmations by others between the two, reports that the
// leader answered within the outage, cancellations asked, confirmed and the longest time a
// task ran after its user was told.
type gapDone struct {
	between, atLeader, asked, confirmed, refused int
	atOnce                                       int // asked within a fifth of a second of the first trouble
	broken                                       []string
}

// atOnceWithin is how soon after the first trouble users cancel where they do so at once.
const atOnceWithin = 200 * time.Millisecond

// play plays it: jobs of every share run long, users cancel most of them through
// other controllers from the moment that the leader loses the state service.
func (g gap) play(t *testing.T) (done gapDone) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, g.seed, func(p *protocol.WorkerSettings) { p.ReportS, p.LeaseS, p.CancelS = 3, 20, 40 })
		w.disabledGuard, w.collectOnly = g.leftOut, g.leftOut != ""
		if g.early {
			w.fleet.ToldLate = false
			w.state.Put(protocol.NodeKey("n-9"), map[string]uint64{"lease": 1})
		}
		for i := range 12 {
			w.submit(&protocol.JobSpec{ID: fmt.Sprintf("job-%06d", i), Team: []string{"red", "blue", "green"}[i%3], Class: "c", Shape: protocol.Array, Priority: "high",
				Tasks: 1 + i/3%2, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1, EstimateS: 600, Spot: true})
		}
		time.Sleep(45 * time.Second)
		for i := range w.names[g.nodes:] { // those that the place does not have are cut off for good
			w.withLock(func() { w.isolated[w.names[g.nodes+i]] = true })
		}
		time.Sleep(20 * time.Second)
		leader := w.partitionOwner(0)
		others := []string{}
		for _, name := range w.names[:g.nodes] {
			if name != leader {
				others = append(others, name)
			}
		}
		if len(others) == 0 {
			others = []string{leader}
		}
		// Some machines are reached by the leader alone, so that they go on reporting to it.
		for i, host := range w.fleet.Names() {
			if i%3 == 0 {
				for _, name := range others {
					if name != leader {
						w.withLock(func() { w.cutPairs[name+" "+host] = true })
					}
				}
			}
		}
		var mu sync.Mutex // guards what follows, and done
		var outageFrom, outageTill time.Time
		lose := func(is bool) {
			w.withLock(func() {
				if g.hangs {
					w.stateSilent[leader] = is
				} else {
					w.stateRefused[leader] = is
				}
			})
		}
		down := func(is bool) {
			w.withLock(func() { w.outage = is })
			mu.Lock()
			defer mu.Unlock()
			if is {
				outageFrom = time.Now()
			} else {
				outageTill = time.Now()
				w.state.Refill()
			}
		}
		if g.stale {
			w.withLock(func() { w.watchStalled[others[len(others)-1]] = true })
			time.Sleep(4 * time.Second)
		}
		lost := time.Now()
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				id := fmt.Sprintf("job-%06d", i)
				if g.atOnce {
					time.Sleep(w.randDuration(0, atOnceWithin))
				}
				from := time.Now()
				mu.Lock()
				done.asked++
				if from.Sub(lost) <= atOnceWithin {
					done.atOnce++
				}
				mu.Unlock()
				for k := 0; time.Since(from) < time.Minute; k++ {
					by := others[0]
					if g.atOnce {
						by = w.names[w.randInt(g.nodes)]
					}
					a := w.cancelOnce(by, id)
					if a.status == 200 {
						mu.Lock()
						done.confirmed++
						if now := time.Now(); by != leader && now.After(lost) && (outageFrom.IsZero() || now.Before(outageFrom)) {
							done.between++
						}
						mu.Unlock()
						return
					}
					time.Sleep(time.Second)
				}
				mu.Lock()
				done.refused++
				mu.Unlock()
			})
		}
		if g.first {
			down(true)
			time.Sleep(g.apart)
			lose(true)
		} else {
			lose(true)
			time.Sleep(g.apart)
			down(true)
		}
		before := w.eventCount("reported to " + leader)
		if g.ends {
			time.Sleep(10 * time.Second)
			w.restart(leader, 300*time.Millisecond)
			time.Sleep(g.outage - 10*time.Second)
		} else {
			time.Sleep(g.outage)
		}
		done.atLeader = w.eventCount("reported to "+leader) - before
		down(false)
		time.Sleep(10 * time.Second)
		lose(false)
		w.withLock(func() { clear(w.cutPairs); clear(w.watchStalled) })
		wg.Wait()
		if lasted := outageTill.Sub(outageFrom); lasted <= 40*time.Second {
			t.Errorf("the outage lasted %v", lasted)
		}
		time.Sleep(60 * time.Second)
		for _, b := range w.fleet.Broken {
			w.violation("rule broken: %s", b)
		}
		done.broken = w.violations
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
	return done
}

// The state service refuses the leader alone, another controller confirms cancellations,
// then it is down for all for longer than cancel_s, while workers go on reporting to the old
// leader: the tasks of those jobs are gone within cancel_s all the same. The ways differ in
// the distance of the two troubles, which is first, the outage's length, what the leader
// gets, how users are told, and how many controllers there are.
func TestGap(t *testing.T) {
	var sum gapDone
	ways := []gap{
		{apart: 500 * time.Millisecond, outage: 60 * time.Second},
		{apart: 2 * time.Second, outage: 60 * time.Second, hangs: true},
		{apart: 5 * time.Second, outage: 50 * time.Second},
		{apart: 8 * time.Second, outage: 90 * time.Second, hangs: true, ends: true},
		{apart: 11 * time.Second, outage: 60 * time.Second},
		{apart: 2 * time.Second, outage: 60 * time.Second, first: true},
		{apart: 2 * time.Second, outage: 90 * time.Second, early: true},
		{apart: 8 * time.Second, outage: 60 * time.Second, early: true, hangs: true},
		{apart: 8 * time.Second, outage: 90 * time.Second, early: true, stale: true},
		{apart: 8 * time.Second, outage: 90 * time.Second, stale: true},
		{apart: 8 * time.Second, outage: 60 * time.Second, nodes: 2},
		{apart: 8 * time.Second, outage: 60 * time.Second, nodes: 1},
		{apart: 0, outage: 60 * time.Second, atOnce: true},
		{apart: 100 * time.Millisecond, outage: 60 * time.Second, atOnce: true},
		{apart: time.Second, outage: 60 * time.Second, atOnce: true},
		{apart: time.Second, outage: 60 * time.Second, atOnce: true, hangs: true},
		{apart: 1500 * time.Millisecond, outage: 50 * time.Second, atOnce: true, ends: true},
		{apart: 2 * time.Second, outage: 90 * time.Second, atOnce: true},
	}
	for i, g := range ways {
		for seed := range seedCount(1) {
			if g.seed = 40 + 100*seed + uint64(i); g.nodes == 0 {
				g.nodes = 3
			}
			t.Run(g.String(), func(t *testing.T) {
				d := g.play(t)
				t.Logf("%+v", d)
				sum.asked, sum.confirmed, sum.refused = sum.asked+d.asked, sum.confirmed+d.confirmed, sum.refused+d.refused
				if g.atOnce && d.atOnce < d.asked {
					t.Errorf("%d of %d cancellations were asked at once", d.atOnce, d.asked)
				}
				if g.first || g.nodes == 1 {
					return // nobody can confirm anything before the outage
				}
				if told := g.early || g.apart >= 5*time.Second || g.atOnce && g.apart >= time.Second; told && d.between == 0 {
					t.Error("no other controller confirmed a cancellation between the two")
				}
				if d.atLeader == 0 {
					t.Error("no worker reported to the old leader within the outage")
				}
			})
		}
	}
	t.Logf("%+v", sum)
}

// A user who is told that a job is cancelled as soon as that is stored, while its tasks go on
// at a leader that can't know of it, is found.
func TestGapFindsWhatIsLeftOut(t *testing.T) {
	for seed := range seedCount(4) {
		g := gap{apart: time.Second, outage: 60 * time.Second, atOnce: true, nodes: 3, seed: 80 + seed, leftOut: "gone tasks"}
		if d := g.play(t); len(d.broken) > 0 {
			t.Logf("found with seed %d: %s", g.seed, d.broken[0])
			return
		}
	}
	t.Error("not found")
}
