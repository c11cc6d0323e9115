package node

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/protocol"
)

// connectPeers lets the nodes of a cluster query one another, except nodes that are cut off or
// stalled.
func (w *simCluster) connectPeers() {
	for _, name := range w.names {
		n := w.node(name)
		n.post(func() {
			n.AskPeer = func(ctx context.Context, to string, question []byte) ([]byte, error) {
				ctx, cancel := context.WithTimeout(ctx, AskTimeout)
				defer cancel()
				answers := make(chan []byte, 1)
				go func() {
					other := w.node(to)
					if other == nil || w.isSet(w.isolated, to) || w.isSet(w.isolated, n.cfg.Node) {
						return
					}
					w.waitUntilThawed(to)
					if response, ok := other.AnswerPeer(question); ok {
						answers <- response
					}
				}()
				select {
				case response := <-answers:
					return response, nil
				case <-ctx.Done():
					return nil, ctx.Err()
				}
			}
		})
	}
}

// explanation returns a node's explanation of a job, or nil if it gives none.
func (w *simCluster) explanation(name, id string) *Explanation {
	ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
	defer cancel()
	response, err := w.userRequest(ctx, name, func(n *Node, reply chan<- answer) { n.onExplain(id, time.Now(), reply) })
	if err != nil || response.status != 200 {
		return nil
	}
	if why, ok := response.body.(*Explanation); ok {
		return why
	}
	var why Explanation
	if err := json.Unmarshal(mustJSON(response.body), &why); err != nil {
		w.t.Fatal(err)
	}
	return &why
}

// causeNames returns the names of an explanation's causes.
func causeNames(explanation *Explanation) string {
	var out []string
	for _, c := range explanation.Causes {
		out = append(out, c.Reason.String())
	}
	return strings.Join(out, " ")
}

// waitUntilRunning waits until a task of a job runs and returns how long that took.
func (w *simCluster) waitUntilRunning(id string, limit time.Duration) (time.Duration, bool) {
	from := time.Now()
	for time.Since(from) < limit {
		for _, name := range w.names {
			if why := w.explanation(name, id); why != nil && (why.Running > 0 || why.Waiting+why.Starting == 0) {
				return time.Since(from), true
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return 0, false
}

// Creates each waiting condition with three nodes and stand-in machines. All nodes must name it,
// and the job must start within seconds after it is removed.
func TestExplanationAndRelease(t *testing.T) {
	spec := func(id, team string, tasks int) *protocol.JobSpec {
		return &protocol.JobSpec{ID: id, Team: team, Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: tasks, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img", ImageGB: 1, EstimateS: 10000, Spot: true}
	}
	policy := func(change func(p *Policy)) func(w *simCluster) {
		return func(w *simCluster) {
			p := DefaultPolicy()
			change(&p)
			w.state.Put(protocol.PolicyKey, p)
		}
	}
	for _, c := range []struct {
		cause   decide.Reason
		before  func(w *simCluster) // creates the condition
		spec    func(s *protocol.JobSpec)
		release func(w *simCluster)
		within  time.Duration
	}{
		{decide.TeamLimit, func(w *simCluster) { w.submit(spec("job-5", "red", 8)); time.Sleep(40 * time.Second) }, nil, func(w *simCluster) { w.cancel("job-5") }, 15 * time.Second},
		{decide.Drained, func(w *simCluster) {
			w.submit(spec("job-5", "red", 2))
			time.Sleep(40 * time.Second)
			policy(func(p *Policy) { p.HeldBack, p.StopRentals = w.fleet.MachineNames(), true })(w)
			time.Sleep(time.Second)
		}, nil, policy(func(p *Policy) {}), 15 * time.Second},
		{decide.RentalsStopped, policy(func(p *Policy) { p.StopRentals = true }), nil, policy(func(p *Policy) {}), 30 * time.Second},
		{decide.CloudRefused, func(w *simCluster) { w.fleet.MaxMachines = 0 }, nil, func(w *simCluster) { w.fleet.MaxMachines = 10 }, 40 * time.Second},
		{decide.NoFreeMachine, func(w *simCluster) {
			w.fleet.MaxMachines = 1
			w.submit(spec("job-5", "red", 4))
			time.Sleep(40 * time.Second)
		}, nil, func(w *simCluster) { w.cancel("job-5") }, 20 * time.Second},
		{decide.GangIncomplete, func(w *simCluster) {
			w.fleet.MaxMachines = 1
			w.submit(spec("job-5", "red", 2))
			time.Sleep(40 * time.Second)
		}, func(s *protocol.JobSpec) { s.Shape, s.Tasks = protocol.Gang, 4 }, func(w *simCluster) { w.cancel("job-5") }, 20 * time.Second},
		{decide.Booting, func(w *simCluster) { w.fleet.BootTime = 40 * time.Second }, nil, func(w *simCluster) {}, 60 * time.Second},
		{decide.FailsEverywhere, func(w *simCluster) { w.fleet.FailEverywhere("job-6") }, nil, func(w *simCluster) { w.fleet.StopFailing("job-6") }, 90 * time.Second},
		{decide.StateServiceDown, func(w *simCluster) {
			w.submit(spec("job-5", "red", 2))
			time.Sleep(40 * time.Second)
			policy(func(p *Policy) { p.StopRentals, p.HeldBack = true, w.fleet.MachineNames() })(w)
		}, nil, policy(func(p *Policy) {}), 15 * time.Second},
	} {
		t.Run(c.cause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				w := newSimCluster(t, ctx, 4, defaultSettings)
				defer func() { cancel(); time.Sleep(2 * time.Minute); synctest.Wait() }()
				time.Sleep(6 * time.Second)
				w.connectPeers()
				c.before(w)
				s := spec("job-6", "red", 2)
				if c.spec != nil {
					c.spec(s)
				}
				w.submit(s)
				time.Sleep(map[bool]time.Duration{true: 30 * time.Second, false: 4 * time.Second}[c.cause == decide.FailsEverywhere || c.cause == decide.CloudRefused])
				if c.cause == decide.StateServiceDown {
					w.withLock(func() { w.outage = true })
					time.Sleep(4 * time.Second)
				}
				for _, name := range w.names {
					why := w.explanation(name, s.ID)
					for try := 0; why != nil && why.Unknown == "" && c.cause == decide.FailsEverywhere && !strings.Contains(causeNames(why), c.cause.String()) && try < 40; try++ {
						time.Sleep(500 * time.Millisecond) // an attempt is in progress
						why = w.explanation(name, s.ID)
					}
					if why == nil || !strings.Contains(causeNames(why), c.cause.String()) {
						t.Errorf("%s says %+v, want %s", name, why, c.cause)
					} else if len(why.Release) == 0 || why.Owner == "" {
						t.Errorf("%s names no release: %+v", name, why)
					} else if c.cause == decide.StateServiceDown && why.StateAge < 3 {
						t.Errorf("%s reports a state age of only %v s", name, why.StateAge)
					}
				}
				if c.cause == decide.StateServiceDown {
					w.withLock(func() { w.outage = false })
					w.state.RenewAllLeases()
					time.Sleep(time.Second)
				}
				c.release(w)
				if took, ok := w.waitUntilRunning(s.ID, 3*time.Minute); !ok || took > c.within {
					why := w.explanation("n-0", s.ID)
					t.Errorf("started %v, %v after its release, want %v; %+v", ok, took, c.within, why)
				}
			})
		})
	}
}

// If the owner of a job's partition stalls, other nodes must not guess the cause: they answer
// within seconds with "unknown" and when they last heard from the owner.
func TestExplanationWithStalledOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 4, defaultSettings)
		defer func() { cancel(); time.Sleep(2 * time.Minute); synctest.Wait() }()
		time.Sleep(6 * time.Second)
		w.connectPeers()
		w.fleet.MaxMachines = 0
		w.submit(&protocol.JobSpec{ID: "job-1", Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 2, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img", ImageGB: 1, EstimateS: 10})
		time.Sleep(2 * time.Second)
		owner := w.explanation("n-0", "job-1").Owner
		go w.freeze(owner, 30*time.Second)
		time.Sleep(100 * time.Millisecond)
		var wg sync.WaitGroup // in parallel: after three seconds one of them owns the partition
		for _, name := range w.names {
			if name == owner {
				continue
			}
			wg.Go(func() {
				from := time.Now()
				why := w.explanation(name, "job-1")
				if why == nil || !strings.Contains(why.Unknown, owner) || causeNames(why) != "holder_silent" && causeNames(why) != "no_holder" || time.Since(from) > 2*AskTimeout {
					t.Errorf("%s says %+v after %v", name, why, time.Since(from))
				}
				a, err := w.userRequest(ctx, name, func(n *Node, reply chan<- answer) {
					n.onExplanationPage(protocol.PeerQuery{Limit: 50}, time.Now(), reply)
				})
				if page, ok := a.body.(*ExplanationPage); err != nil || !ok || len(page.Unknown) == 0 {
					t.Errorf("%s: a page that lists nothing as unknown: %+v", name, a.body)
				}
			})
		}
		wg.Wait()
		time.Sleep(20 * time.Second) // other nodes have taken over its partition
		if why := w.explanation("n-0", "job-1"); why == nil && owner != "n-0" {
			t.Error("no explanation after the takeover")
		}
	})
}

// Thousands of jobs with one cause are listed in pages with a cursor, with sums over all of them.
func TestExplanationPages(t *testing.T) {
	node := newTestNode(t)
	for i := range 3000 {
		spec := &protocol.JobSpec{ID: fmt.Sprintf("job-%06d", i), Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 2, CPUs: 4, GPUs: 1, Image: "i", Types: []string{"none"}}
		node.watchPut(protocol.JobKey(spec.ID), protocol.JobRecord{Spec: spec, SubmittedMS: int64(i), NextAttempt: 1})
	}
	now := time.Now()
	node.RecordContact(now)
	node.plan(now)
	seen, after := 0, ""
	for {
		p := node.explanationPage(protocol.PeerQuery{Team: "red", After: after, Limit: 200}, now)
		if p.TasksByCause["no_capacity"]+p.TasksByCause["team_limit"] != 6000 {
			t.Fatalf("%v", p.TasksByCause)
		}
		if data := mustJSON(p); len(data) > protocol.MaxAnswerBytes {
			t.Fatalf("a page of %d bytes", len(data))
		}
		seen += len(p.Jobs)
		if p.After == "" {
			break
		}
		after = p.After
	}
	if seen != 3000 {
		t.Errorf("%d jobs on all pages", seen)
	}
	if p := node.explanationPage(protocol.PeerQuery{Cause: "drained", Limit: 50}, now); len(p.Jobs) != 0 {
		t.Error("jobs with another cause are listed")
	}
}

// A node that does not know a job must not answer that it does not exist while the state service
// cannot be asked: a node answered 404 for a job accepted a moment before.
func TestUnknownJobDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 4, defaultSettings)
		defer func() { cancel(); time.Sleep(2 * time.Minute); synctest.Wait() }()
		time.Sleep(6 * time.Second)
		w.connectPeers()
		status := func() int {
			a, _ := w.userRequest(ctx, "n-1", func(n *Node, reply chan<- answer) { n.onExplain("job-77", time.Now(), reply) })
			return a.status
		}
		if got := status(); got != 404 {
			t.Errorf("%d for a job that does not exist", got)
		}
		w.withLock(func() { w.outage = true })
		time.Sleep(time.Second)
		if got := status(); got != 503 {
			t.Errorf("%d in an outage", got)
		}
		w.withLock(func() { w.outage = false })
	})
}
