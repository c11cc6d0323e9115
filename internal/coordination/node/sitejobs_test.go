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

// open lets jobs of the gateway run on a bench.
func (b *testNode) open() {
	b.onLease(&wire.Lease{RemainingMS: 3000}, nil, time.Now())
}

// claimed stores a job of the gateway, placed on host-1.
func (b *testNode) claimed(id string, placed ...protocol.Placement) *job {
	spec := &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1}
	b.watchPut(protocol.JobKey(id), protocol.JobRecord{Spec: spec, NextAttempt: 2, Claim: 1, Chunk: protocol.Chunk{Placed: placed}})
	return b.jobs[id]
}

func verbs(a *answer) string {
	if a == nil {
		return "parked"
	}
	s := ""
	for _, c := range a.body.(protocol.Orders).Commands {
		s += c.Op + " "
	}
	return s
}

// Without the lease nothing of a gateway's job starts, and what runs is stopped with
// the next answer; jobs of the site's own go on.
func TestClosedGateStopsOnlyTheGatewaysJobs(t *testing.T) {
	for _, c := range []struct {
		name          string
		lease         *wire.Lease
		started, runs string
	}{
		{"open", &wire.Lease{RemainingMS: 3000}, "run ", "parked"},
		{"over", &wire.Lease{}, "", "halt "},
		{"a stop not seen yet", &wire.Lease{RemainingMS: 3000, MinRevision: 1 << 40}, "", "halt "},
		{"the job is dead", &wire.Lease{RemainingMS: 3000, LostJobs: []string{"job-1"}}, "", "halt "},
		{"never asked", nil, "", "halt "},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, running := range []bool{false, true} {
				b := newTestNode(t)
				b.claimed("job-1", placedOnHost1)
				if c.lease != nil {
					b.onLease(c.lease, nil, time.Now())
				}
				if !running {
					if got := verbs(b.sendReport(7, 1)); got != c.started && !(c.started == "" && got == "parked") {
						t.Errorf("not started: orders %q, want %q", got, c.started)
					}
					continue
				}
				got := verbs(b.sendReport(7, 1, protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning}))
				if got != c.runs && !(c.runs == "parked" && got == "") {
					t.Errorf("running: orders %q, want %q", got, c.runs)
				}
			}
		})
	}
	b := newTestNode(t)
	b.addJob("job-2", false, placedOnHost1)
	if got := verbs(b.sendReport(7, 1, protocol.TaskReport{Task: "job-2/0", Attempt: 1, State: protocol.TaskRunning})); got != "" && got != "parked" {
		t.Errorf("the site's own job got %q", got)
	}
}

// A lease counts from when it was asked for: an answer that was held on its way for
// minutes opens nothing.
func TestLateLeaseOpensNothing(t *testing.T) {
	b := newTestNode(t)
	j := b.claimed("job-1")
	b.onLease(&wire.Lease{RemainingMS: 3000}, nil, time.Now().Add(-3*time.Second))
	if !b.blockedBySiteLease(j, time.Now()) {
		t.Error("a lease of 3 s asked for 3 s ago is taken for valid")
	}
	b.open()
	if b.blockedBySiteLease(j, time.Now()) {
		t.Error("a fresh lease opens nothing")
	}
	if !b.blockedBySiteLease(j, time.Now().Add(3*time.Second)) {
		t.Error("the lease does not end by itself")
	}
}

// A direct command may be executed minutes late, when the site has lost the job.
func TestGatewaysJobsAreNotStartedDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestNode(t)
		b.open()
		b.claimed("job-1", placedOnHost1)
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

// Who answers for a holder that can't be reached keeps workers' leases alive: it stops
// what may not run any more, and, with no lease, also what it does not know. (A
// replica that is behind does not know the newest jobs.)
func TestStandInStopsTheGatewaysJobs(t *testing.T) {
	b := newTestNode(t)
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	b.claimed("job-1", placedOnHost1)
	b.addJob("job-2", false)
	ask := func() string {
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
	if got := ask(); got != "halt job-1/0 " {
		t.Errorf("without a gateway: %q", got)
	}
	b.SiteDaemonHost = "127.0.0.1"
	if got := ask(); got != "halt job-1/0 halt job-3/0 " {
		t.Errorf("without a lease: %q", got)
	}
	b.onLease(&wire.Lease{RemainingMS: 30000}, nil, time.Now())
	if got := ask(); got != "" {
		t.Errorf("with a lease: %q", got)
	}
}

// caller runs one node whose actor is alive, to be called as the daemon does.
type caller struct {
	t *testing.T
	n *Node
}

func (c *caller) call(kind wire.Kind, id string, epoch uint32) wire.Item {
	c.t.Helper()
	spec := mustJSON(&protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1})
	reply := make(chan wire.Item, 1)
	c.n.post(func() {
		c.n.onSiteCall(&wire.Item{Kind: kind, ID: id, Record: wire.Record{Epoch: epoch, Spec: spec}}, func(r wire.Item) { reply <- r })
	})
	select {
	case r := <-reply:
		return r
	case <-time.After(20 * time.Second):
		c.t.Fatalf("no answer to call %d for %s", kind, id)
	}
	return wire.Item{}
}

// TestClaimsAtASite walks one node through what the daemon may ask, in the orders
// that delays make of it.
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
		c := &caller{t: t, n: w.node("n-0")}
		other := &caller{t: t, n: w.node("n-1")}
		want := func(what string, got wire.Item, codes ...uint8) {
			t.Helper()
			for _, k := range codes {
				if got.Code == k {
					return
				}
			}
			t.Errorf("%s: code %d (%s), want %v", what, got.Code, got.Record.Spec, codes)
		}
		want("poll of what was never given", c.call(wire.Poll, "job-1", 1), wire.NotFound)
		want("submission", c.call(wire.Submit, "job-1", 1), wire.Active)
		want("its repeat at another node", other.call(wire.Submit, "job-1", 1), wire.Active)
		want("stop", other.call(wire.Stop, "job-1", 1), wire.ClaimEnded, wire.Active)
		time.Sleep(time.Minute)
		want("stop again", c.call(wire.Stop, "job-1", 1), wire.ClaimEnded)
		want("the submission, held on its way until now", c.call(wire.Submit, "job-1", 1), wire.ClaimEnded)
		want("a later claim", other.call(wire.Submit, "job-1", 3), wire.Active)
		time.Sleep(time.Second)
		want("poll of the later claim", c.call(wire.Poll, "job-1", 3), wire.Active)
		want("a late stop of the earlier claim", c.call(wire.Stop, "job-1", 1), wire.ClaimEnded)
		want("the later claim is untouched", c.call(wire.Poll, "job-1", 3), wire.Active)

		want("stop before the submission comes", c.call(wire.Stop, "job-2", 2), wire.ClaimEnded)
		want("the submission", other.call(wire.Submit, "job-2", 2), wire.ClaimEnded)
		want("a claim while an earlier one runs here", c.call(wire.Submit, "job-3", 1), wire.Active)
		time.Sleep(time.Second)
		want("the same job under a later claim", other.call(wire.Submit, "job-3", 4), wire.Active)

		own := &protocol.JobSpec{ID: "job-4", Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: "i", ImageGB: 1}
		if a, err := w.submitAt(ctx, "n-1", own); err != nil || a.status != 201 {
			t.Fatalf("own job: %v %v", a.status, err)
		}
		time.Sleep(time.Second)
		want("a job of the site's own under the same id", c.call(wire.Submit, "job-4", 1), wire.Conflict)
		want("its stop", c.call(wire.Stop, "job-4", 1), wire.Conflict)

		// Users who ask the site: what became of a claim is not what became of the job.
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

// TestNothingRunsAfterTheBound: the lease ends at some moment amid every trouble of
// controllers, network and state service; StopBound later nothing of the gateway's
// runs, whatever else goes wrong. Then the lease is back, and every job is done.
func TestNothingRunsAfterTheBound(t *testing.T) {
	const controllers = 3 * time.Second
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				direct := seed%2 == 1
				w := newSimCluster(t, ctx, 500+seed, func(p *protocol.WorkerSettings) {
					if direct { // workers report rarely, so that the site's own jobs start directly
						p.ReportS, p.LeaseS, p.CancelS = 6, 36, 56
					}
				})
				for _, name := range w.names {
					n := w.node(name)
					n.post(func() { n.SiteDaemonHost = "the daemon" })
				}
				lease := time.Duration(w.fleet.Workers.LeaseS * float64(time.Second))
				bound := time.Duration(float64(controllers+lease)*(1+maxClockDrift)) + 4*time.Second
				on := map[string]int{}
				end := time.Now().Add(time.Hour) // of the daemon's lease
				w.withLock(func() {
					w.fleet.Log = func(event, task, machine string, at time.Time) {
						id, _, _ := protocol.ParseTaskID(task)
						w.mu.Lock()
						defer w.mu.Unlock()
						if event != "start" {
							on[id]--
							return
						}
						on[id]++
						if time.Now().After(end.Add(bound)) && id < "job-100" {
							t.Errorf("%s started %v after the lease", task, time.Since(end))
						}
					}
					w.daemonLease = func(ctx context.Context, node string) ([]byte, error) {
						time.Sleep(w.randDuration(time.Millisecond, 300*time.Millisecond))
						w.mu.Lock()
						left := max(0, min(controllers, time.Until(end)))
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
					w.fleet.Submitted(spec)
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
				w.withLock(func() { end = time.Now().Add(controllers) })
				time.Sleep(controllers + bound + time.Second)
				ran := false
				for range 60 {
					for _, id := range ids {
						w.withLock(func() {
							if on[id] > 0 {
								t.Errorf("%d tasks of %s run %v after the lease, bound %v", on[id], id, time.Since(end), bound)
							}
						})
					}
					ran = ran || w.fleet.Started > 0
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(3 * time.Minute) // the troubles are over
				w.withLock(func() {
					w.outage, w.lossRate, w.lateTxnRate = false, 0, 0
					clear(w.stateRefused)
					clear(w.isolated)
					clear(w.workersUnreachable)
					end = time.Now().Add(time.Hour)
				})
				time.Sleep(6 * time.Minute)
				for _, id := range ids {
					it, err := w.state.Get(ctx, protocol.FinalKey(id))
					if err != nil || it.Value == nil {
						j, _ := w.state.Get(ctx, protocol.JobKey(id))
						t.Errorf("%s is not done: %s", id, j.Value)
					}
				}
				for _, b := range w.fleet.Broken {
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

// A submission repeated straight at the other site is told how the gateway's job is;
// without the daemon's word the site takes it as its own, as without a gateway.
func TestRepeatAtTheOtherSiteIsNoSecondJob(t *testing.T) {
	for _, c := range []struct {
		name   string
		known  func(context.Context, string) (protocol.JobStatus, bool, error)
		status int
		stored bool
	}{
		{"the gateway's", func(_ context.Context, id string) (protocol.JobStatus, bool, error) {
			return protocol.JobStatus{ID: id, Status: protocol.JobRunning, Running: 2}, true, nil
		}, 200, false},
		{"the gateway's, but nobody can tell how it is", func(context.Context, string) (protocol.JobStatus, bool, error) {
			return protocol.JobStatus{}, true, errNoAnswer
		}, 503, false},
		{"nobody's", func(context.Context, string) (protocol.JobStatus, bool, error) {
			return protocol.JobStatus{}, false, nil
		}, 201, true},
		{"no answer", func(context.Context, string) (protocol.JobStatus, bool, error) {
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

// Users reach a controller on the same address as the daemon: only the host that
// --site-daemon names may hand over jobs or end claims.
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
