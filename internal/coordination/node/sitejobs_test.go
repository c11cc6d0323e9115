package node

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// grantSiteLease gives the node a lease with which gateway jobs may run.
func (b *testNode) grantSiteLease() {
	b.onLease(&wire.Lease{RemainingMS: 3000}, nil, time.Now())
}

// addGatewayJob stores a job of the gateway with the given placements.
func (b *testNode) addGatewayJob(id string, placed ...protocol.Placement) *job {
	spec := &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1}
	b.watchPut(protocol.JobKey(id), protocol.JobRecord{Spec: spec, NextAttempt: 2, Claim: 1, Chunk: protocol.Chunk{Placed: placed}})
	return b.jobs[id]
}

// commandOps returns the operations of the orders in an answer, or "parked" if the answer is deferred.
func commandOps(a *answer) string {
	if a == nil {
		return "parked"
	}
	s := ""
	for _, c := range a.body.(protocol.Orders).Commands {
		s += c.Op + " "
	}
	return s
}

// Without a lease no job of the gateway starts, and a running one is stopped with the next answer;
// the site's own jobs go on.
func TestExpiredLeaseStopsOnlyGatewayJobs(t *testing.T) {
	for _, c := range []struct {
		name                       string
		lease                      *wire.Lease
		startOrders, runningOrders string
	}{
		{"valid lease", &wire.Lease{RemainingMS: 3000}, "run ", "parked"},
		{"expired lease", &wire.Lease{}, "", "halt "},
		{"replica older than the lease requires", &wire.Lease{RemainingMS: 3000, MinRevision: 1 << 40}, "", "halt "},
		{"job lost by the site", &wire.Lease{RemainingMS: 3000, LostJobs: []string{"job-1"}}, "", "halt "},
		{"no lease received", nil, "", "halt "},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, running := range []bool{false, true} {
				b := newTestNode(t)
				b.addGatewayJob("job-1", placedOnHost1)
				if c.lease != nil {
					b.onLease(c.lease, nil, time.Now())
				}
				if !running {
					if got := commandOps(b.sendReport(7, 1)); got != c.startOrders && !(c.startOrders == "" && got == "parked") {
						t.Errorf("not started: orders %q, want %q", got, c.startOrders)
					}
					continue
				}
				got := commandOps(b.sendReport(7, 1, protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning}))
				if got != c.runningOrders && !(c.runningOrders == "parked" && got == "") {
					t.Errorf("running: orders %q, want %q", got, c.runningOrders)
				}
			}
		})
	}
	b := newTestNode(t)
	b.addJob("job-2", false, placedOnHost1)
	if got := commandOps(b.sendReport(7, 1, protocol.TaskReport{Task: "job-2/0", Attempt: 1, State: protocol.TaskRunning})); got != "" && got != "parked" {
		t.Errorf("the site's own job got %q", got)
	}
}

// A lease counts from when it was requested: an answer that arrives after it has expired must not
// let gateway jobs run.
func TestLateLeaseAnswerGrantsNothing(t *testing.T) {
	b := newTestNode(t)
	j := b.addGatewayJob("job-1")
	b.onLease(&wire.Lease{RemainingMS: 3000}, nil, time.Now().Add(-3*time.Second))
	if !b.blockedBySiteLease(j, time.Now()) {
		t.Error("a lease of 3 s requested 3 s ago is accepted as valid")
	}
	b.grantSiteLease()
	if b.blockedBySiteLease(j, time.Now()) {
		t.Error("a fresh lease does not let the job run")
	}
	if !b.blockedBySiteLease(j, time.Now().Add(3*time.Second)) {
		t.Error("the lease does not expire")
	}
}

// Guards against services that are stopped at a site without a fault while other jobs of the
// site are submitted, cancelled or handed over: each of these made the replicas of the other
// controllers too old for a moment. The earlier lease applies until its end, and no longer, and
// only for jobs that the site has not lost.
func TestReplicaBehindKeepsEarlierLease(t *testing.T) {
	b := newTestNode(t)
	j, lost := b.addGatewayJob("job-1"), b.addGatewayJob("job-2")
	start := time.Now()
	b.onLease(&wire.Lease{RemainingMS: 3000, LostJobs: []string{"job-2"}}, nil, start)
	const behind = 1 << 40
	b.onLease(&wire.Lease{RemainingMS: 3000, MinRevision: behind}, nil, start.Add(2*time.Second))
	if b.blockedBySiteLease(j, start.Add(2900*time.Millisecond)) {
		t.Error("a job is stopped before the end of the earlier lease")
	}
	if !b.blockedBySiteLease(lost, start.Add(2900*time.Millisecond)) {
		t.Error("a lost job runs though the replica may lack its stop")
	}
	if !b.blockedBySiteLease(j, start.Add(3*time.Second)) {
		t.Error("a job runs after the end of the earlier lease, though the replica is too old for the new one")
	}
	b.onLease(&wire.Lease{RemainingMS: 3000, MinRevision: behind}, nil, start.Add(2500*time.Millisecond))
	if !b.blockedBySiteLease(j, start.Add(3*time.Second)) {
		t.Error("a lease that the replica is too old for extends the earlier one")
	}
	b.completeRevision = behind
	if b.blockedBySiteLease(j, start.Add(3*time.Second)) || b.blockedBySiteLease(j, start.Add(5*time.Second)) {
		t.Error("a job is stopped though the replica has reached the required revision")
	}
	b.completeRevision = 0
	b.onLease(&wire.Lease{MinRevision: behind}, nil, start.Add(2600*time.Millisecond))
	if !b.blockedBySiteLease(j, start.Add(2700*time.Millisecond)) {
		t.Error("a job runs though the daemon has said that the site has no lease")
	}
}

// Gateway jobs are never started by a direct command, since it may be executed minutes late, when
// the site has lost the job.
func TestGatewayJobsAreNotStartedDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestNode(t)
		b.grantSiteLease()
		b.addGatewayJob("job-1", placedOnHost1)
		m := b.machines["host-1"]
		m.addr, m.fenced, m.lastFencedReport, m.session = "host-1:9000", true, time.Now(), 1
		m.lastReport = time.Now()
		b.cfg.Params.Workers.ReportS = 6
		b.tryDirectStart(m, time.Now())
		if b.directStarts != 0 {
			t.Error("a job of the gateway was started directly")
		}
	})
}

// A node that answers reports for an unreachable owner keeps the workers' leases alive. It must stop
// tasks that may not run any more, and without the site's lease also tasks that it does not know,
// since a stale replica lacks the newest jobs.
func TestAnswerForOwnerStopsGatewayJobs(t *testing.T) {
	b := newTestNode(t)
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	b.addGatewayJob("job-1", placedOnHost1)
	b.addJob("job-2", false)
	sendReport := func() string {
		reply := make(chan answer, 1)
		b.onReport(&protocol.Report{Machine: "host-1", Type: "g4", Zone: "a", Session: 1, Seq: 1, Token: 8, Tasks: []protocol.TaskReport{
			{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning}, {Task: "job-2/0", Attempt: 1, State: protocol.TaskRunning},
			{Task: "job-3/0", Attempt: 1, State: protocol.TaskRunning}}}, time.Now().Add(15*time.Second), reply)
		a := <-reply
		s := ""
		if o, ok := a.body.(protocol.Orders); ok {
			for _, c := range o.Commands {
				s += c.Op + " " + c.Task + " "
			}
		}
		return s
	}
	if got := sendReport(); got != "halt job-1/0 " {
		t.Errorf("without a gateway: %q", got)
	}
	b.SiteDaemonHost = "127.0.0.1"
	if got := sendReport(); got != "halt job-1/0 halt job-3/0 " {
		t.Errorf("without a lease: %q", got)
	}
	b.onLease(&wire.Lease{RemainingMS: 30000}, nil, time.Now())
	if got := sendReport(); got != "" {
		t.Errorf("with a lease: %q", got)
	}
}

// caller calls a running node as the site's daemon does.
type daemonCaller struct {
	t    *testing.T
	node *Node
}

func (c *daemonCaller) call(kind wire.Kind, id string, epoch uint32) wire.Item {
	c.t.Helper()
	spec := mustJSON(&protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1})
	reply := make(chan wire.Item, 1)
	c.node.post(func() {
		c.node.onSiteCall(&wire.Item{Kind: kind, ID: id, Record: wire.Record{Epoch: epoch, Spec: spec}}, func(r wire.Item) { reply <- r })
	})
	select {
	case r := <-reply:
		return r
	case <-time.After(20 * time.Second):
		c.t.Fatalf("no answer to call %d for %s", kind, id)
	}
	return wire.Item{}
}

// Walks nodes through the calls that the daemon may make, in the orders that delays may produce.
func TestClaimsAtASite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := newSimCluster(t, ctx, 1, defaultSettings)
		w.withLock(func() {
			w.daemonLease = func(context.Context, string) ([]byte, error) {
				return wire.EncodeLease(&wire.Lease{RemainingMS: 3000}), nil
			}
		})
		time.Sleep(6 * time.Second)
		c := &daemonCaller{t: t, node: w.node("n-0")}
		other := &daemonCaller{t: t, node: w.node("n-1")}
		want := func(what string, got wire.Item, codes ...uint8) {
			t.Helper()
			for _, k := range codes {
				if got.Code == k {
					return
				}
			}
			t.Errorf("%s: code %d (%s), want %v", what, got.Code, got.Record.Spec, codes)
		}
		want("poll of a job that was never submitted", c.call(wire.Poll, "job-1", 1), wire.NotFound)
		want("submission", c.call(wire.Submit, "job-1", 1), wire.Active)
		want("repeated submission at another node", other.call(wire.Submit, "job-1", 1), wire.Active)
		want("stop", other.call(wire.Stop, "job-1", 1), wire.ClaimEnded, wire.Active)
		time.Sleep(time.Minute)
		want("stop again", c.call(wire.Stop, "job-1", 1), wire.ClaimEnded)
		want("delayed submission under the ended claim", c.call(wire.Submit, "job-1", 1), wire.ClaimEnded)
		want("a later claim", other.call(wire.Submit, "job-1", 3), wire.Active)
		time.Sleep(time.Second)
		want("poll of the later claim", c.call(wire.Poll, "job-1", 3), wire.Active)
		want("delayed stop of the earlier claim", c.call(wire.Stop, "job-1", 1), wire.ClaimEnded)
		want("poll of the later claim after the delayed stop", c.call(wire.Poll, "job-1", 3), wire.Active)

		want("stop before the submission", c.call(wire.Stop, "job-2", 2), wire.ClaimEnded)
		want("submission after its stop", other.call(wire.Submit, "job-2", 2), wire.ClaimEnded)
		want("submission under the first claim", c.call(wire.Submit, "job-3", 1), wire.Active)
		time.Sleep(time.Second)
		want("submission of the same job under a later claim", other.call(wire.Submit, "job-3", 4), wire.Active)

		own := &protocol.JobSpec{ID: "job-4", Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1}
		if a, err := w.submitAt(ctx, "n-1", own); err != nil || a.status != 201 {
			t.Fatalf("own job: %v %v", a.status, err)
		}
		time.Sleep(time.Second)
		want("a job of the site's own under the same id", c.call(wire.Submit, "job-4", 1), wire.Conflict)
		want("stop of the site's own job", c.call(wire.Stop, "job-4", 1), wire.Conflict)

		// Users who ask the site get no answer from the end of a claim: it does not say how the job ended.
		for id, status := range map[string]int{"job-2": 503, "job-1": 503, "job-4": 200} {
			a, err := w.pollAt(ctx, "n-0", id)
			if err != nil || a.status != status {
				t.Errorf("poll of %s: %d %v, want %d", id, a.status, err, status)
			}
		}
		if a, err := w.cancelAt(ctx, "n-0", "job-1"); err != nil || a.status != 503 {
			t.Errorf("cancellation at the site: %d %v, want 503", a.status, err)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// The site's lease ends at a random moment amid faults of controllers, network and state service. No
// task of a gateway job may run longer than the bound after that. Once the lease is back all jobs
// must be done.
func TestNoGatewayJobRunsAfterLeaseBound(t *testing.T) {
	const leaseTime = 3 * time.Second
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				direct := seed%2 == 1
				w := newSimCluster(t, ctx, 500+seed, func(p *protocol.WorkerSettings) {
					if direct { // workers report rarely, so that the site's own jobs are started directly
						p.ReportS, p.LeaseS, p.CancelS = 6, 36, 56
					}
				})
				for _, name := range w.names {
					n := w.node(name)
					n.post(func() { n.SiteDaemonHost = "the daemon" })
				}
				workerLease := time.Duration(w.fleet.Workers.LeaseS * float64(time.Second))
				bound := time.Duration(float64(leaseTime+workerLease)*(1+maxClockDrift)) + 4*time.Second
				running := map[string]int{}
				leaseEnd := time.Now().Add(time.Hour) // end of the daemon's lease
				w.withLock(func() {
					w.fleet.OnTaskEvent = func(event, task, machine string, at time.Time) {
						id, _, _ := protocol.ParseTaskID(task)
						w.mu.Lock()
						defer w.mu.Unlock()
						if event != "start" {
							running[id]--
							return
						}
						running[id]++
						if time.Now().After(leaseEnd.Add(bound)) && id < "job-100" {
							t.Errorf("%s started %v after the end of the lease", task, time.Since(leaseEnd))
						}
					}
					w.daemonLease = func(ctx context.Context, node string) ([]byte, error) {
						time.Sleep(w.randDuration(time.Millisecond, 300*time.Millisecond))
						w.mu.Lock()
						left := max(0, min(leaseTime, time.Until(leaseEnd)))
						w.mu.Unlock()
						data := wire.EncodeLease(&wire.Lease{RemainingMS: uint32(left.Milliseconds())})
						time.Sleep(w.randDuration(time.Millisecond, 300*time.Millisecond))
						if w.chance(&w.lossRate) {
							return nil, errNoAnswer
						}
						return data, nil
					}
				})
				var ids []string
				for i := range 10 {
					id := fmt.Sprintf("job-00%d", i)
					ids = append(ids, id)
					spec := &protocol.JobSpec{ID: id, Team: []string{"red", "blue", "green"}[i%3], Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1 + i%3,
						CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "i", ImageGB: 1, EstimateS: 60, Spot: true}
					w.fleet.AddJob(spec)
					go func() {
						data := mustJSON(spec)
						for w.ctx.Err() == nil {
							got := make(chan wire.Item, 1)
							if n := w.node(w.names[i%3]); n != nil {
								n.post(func() {
									n.onSiteCall(&wire.Item{Kind: wire.Submit, ID: id, Record: wire.Record{Epoch: 1, Spec: data}}, func(r wire.Item) { got <- r })
								})
								select {
								case r := <-got:
									if r.Code == wire.Active || r.Code == wire.Completed {
										return
									}
								case <-time.After(2 * time.Second):
								}
							}
							time.Sleep(time.Second)
						}
					}()
				}
				time.Sleep(w.randDuration(10*time.Second, 30*time.Second))
				go randomFaults(w)
				time.Sleep(w.randDuration(0, 60*time.Second))
				w.withLock(func() { leaseEnd = time.Now().Add(leaseTime) })
				time.Sleep(leaseTime + bound + time.Second)
				ran := false
				for range 60 {
					for _, id := range ids {
						w.withLock(func() {
							if running[id] > 0 {
								t.Errorf("%d tasks of %s run %v after the end of the lease, bound %v", running[id], id, time.Since(leaseEnd), bound)
							}
						})
					}
					ran = ran || w.fleet.StartedTasks > 0
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(3 * time.Minute) // the injected faults are over
				w.withLock(func() {
					w.outage, w.lossRate, w.lateTxnRate = false, 0, 0
					clear(w.stateRefused)
					clear(w.isolated)
					clear(w.workersUnreachable)
					leaseEnd = time.Now().Add(time.Hour)
				})
				time.Sleep(6 * time.Minute)
				for _, id := range ids {
					it, err := w.state.Get(ctx, protocol.FinalKey(id))
					if err != nil || it.Value == nil {
						j, _ := w.state.Get(ctx, protocol.JobKey(id))
						t.Errorf("%s is not done: %s", id, j.Value)
					}
				}
				for _, b := range w.fleet.Violations {
					t.Errorf("rule broken: %s", b)
				}
				if !ran {
					t.Error("nothing ran")
				}
				for _, stop := range w.stop {
					stop()
				}
				cancel()
				time.Sleep(2 * time.Minute)
				synctest.Wait()
			})
		})
	}
}

// A submission repeated directly at the other site is answered with the status of the gateway's job.
// If the daemon does not answer, the site accepts the job as its own, as without a gateway.
func TestRepeatAtOtherSiteMakesNoSecondJob(t *testing.T) {
	for _, c := range []struct {
		name   string
		known  func(context.Context, string) (protocol.JobStatus, bool, error)
		status int
		stored bool
	}{
		{"gateway job", func(_ context.Context, id string) (protocol.JobStatus, bool, error) {
			return protocol.JobStatus{ID: id, Status: protocol.JobRunning, Running: 2}, true, nil
		}, 200, false},
		{"gateway job of unknown status", func(context.Context, string) (protocol.JobStatus, bool, error) {
			return protocol.JobStatus{}, true, errNoAnswer
		}, 503, false},
		{"not a gateway job", func(context.Context, string) (protocol.JobStatus, bool, error) {
			return protocol.JobStatus{}, false, nil
		}, 201, true},
		{"no answer from the daemon", func(context.Context, string) (protocol.JobStatus, bool, error) {
			return protocol.JobStatus{}, false, errNoAnswer
		}, 201, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				w := newSimCluster(t, ctx, 1, defaultSettings)
				time.Sleep(5 * time.Second)
				n := w.node("n-0")
				n.post(func() { n.LookUpGatewayJob = c.known })
				s := &protocol.JobSpec{ID: "job-1", Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1}
				a, err := w.submitAt(ctx, "n-0", s)
				if err != nil || a.status != c.status {
					t.Errorf("answered %d %v, want %d", a.status, err, c.status)
				}
				if it, _ := w.state.Get(ctx, protocol.JobKey("job-1")); (it.Value != nil) != c.stored {
					t.Errorf("stored: %s", it.Value)
				}
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// Users reach a controller on the same address as the daemon: only the host that --site-daemon names
// may submit gateway jobs or end claims.
func TestOnlyTheDaemonMayCall(t *testing.T) {
	for _, c := range []struct {
		daemon, from string
		status       int
	}{{"", "127.0.0.1:5", 403}, {"10.0.0.9", "127.0.0.1:5", 403}, {"127.0.0.1", "127.0.0.1:5", 400}} {
		b := newTestNode(t)
		b.SiteDaemonHost = c.daemon
		r := httptest.NewRequest("POST", "/site/calls", strings.NewReader("x"))
		r.RemoteAddr = c.from
		w := httptest.NewRecorder()
		b.API().ServeHTTP(w, r)
		if w.Code != c.status {
			t.Errorf("daemon %q, call from %s: %d, want %d", c.daemon, c.from, w.Code, c.status)
		}
	}
}
