package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// cancelOnce asks one node once to cancel a job.
func (w *simCluster) cancelOnce(node, id string) answer {
	ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
	defer cancel()
	a, _ := w.cancelAt(ctx, node, id)
	return a
}

// pollStatus asks a node for a job's status.
func (w *simCluster) pollStatus(node, id string) string {
	a, _ := w.pollAt(w.ctx, node, id)
	if s, ok := a.body.(protocol.JobStatus); ok {
		return s.Status
	}
	return ""
}

// A cancellation is confirmed once no task is left: at every node within a second where the machines
// are reachable. While a machine is out of reach it must be answered 503, soon.
func TestCancellationConfirmedWhenTasksAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 6, defaultSettings)
		spec := func(id string) *protocol.JobSpec {
			return &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: protocol.Service, Priority: "critical", Tasks: 2, CPUs: 4, GPUs: 1, Image: "i"}
		}
		w.submit(spec("job-000001"))
		w.submit(spec("job-000002"))
		time.Sleep(30 * time.Second)
		if r := w.fleet.RunningTasks(); r != 4 {
			t.Fatalf("%d tasks run, want 4", r)
		}
		for i, name := range w.names {
			from := time.Now()
			a := w.cancelOnce(name, "job-000001")
			if took := time.Since(from); a.status != 200 || took > time.Second || w.fleet.RemainingTasks("job-000001") != 0 {
				t.Errorf("cancel %d at %s: %+v after %v, %d tasks left", i, name, a, took, w.fleet.RemainingTasks("job-000001"))
			}
		}
		w.withLock(func() { w.lossRate = 1 }) // every report and answer is lost
		time.Sleep(time.Second)
		w.withLock(func() {
			w.lossRate = 0
			w.workersUnreachable["n-0"], w.workersUnreachable["n-1"], w.workersUnreachable["n-2"] = true, true, true
		})
		for _, name := range w.names {
			from := time.Now()
			a := w.cancelOnce(name, "job-000002")
			if took := time.Since(from); a.status != 503 || a.retryAfterS == 0 || took > 1200*time.Millisecond {
				t.Errorf("with the machines out of reach, %s answers %+v after %v", name, a, took)
			}
			if s := w.pollStatus(name, "job-000002"); s != protocol.JobRunning {
				t.Errorf("with the machines out of reach, %s reports status %q", name, s)
			}
		}
		time.Sleep(2 * time.Second)
		from := time.Now()
		if a := w.cancelOnce(w.node("n-0").partitions[0].owner.Node, "job-000002"); a.status != 503 || time.Since(from) > 100*time.Millisecond {
			t.Errorf("the owner, which knows that the machines are out of reach, answers %+v after %v", a, time.Since(from))
		}
		w.withLock(func() { clear(w.workersUnreachable) })
		time.Sleep(8 * time.Second)
		if a := w.cancelOnce("n-1", "job-000002"); a.status != 200 || w.fleet.RemainingTasks("job-000002") != 0 {
			t.Errorf("after the machines are reachable again: %+v, %d tasks left", a, w.fleet.RemainingTasks("job-000002"))
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}

// While the state service is down for longer than cancel_s no worker's lease may expire, since no user
// was told of a cancellation that a controller could have missed. (On simulated days with a zone cut
// off for 70 to 90 s a thousand tasks ended with their leases.)
func TestLeasesSurviveALongOutage(t *testing.T) {
	for _, early := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			w := newSimCluster(t, ctx, 7, defaultSettings)
			if early {
				w.fleet.CancelConfirmedAfterStop = false
				w.state.Put(protocol.NodeKey("n-9"), map[string]uint64{"lease": 1})
			}
			w.submit(&protocol.JobSpec{ID: "job-000001", Team: "red", Class: "c", Shape: protocol.Service, Priority: "critical", Tasks: 4, CPUs: 4, GPUs: 1, Image: "i"})
			time.Sleep(30 * time.Second)
			w.withLock(func() { w.outage = true })
			time.Sleep(90 * time.Second)
			if _, expired := w.fleet.InterruptedTasks(); (expired > 0) != early {
				t.Errorf("%d tasks ended with expired leases; a node of an earlier version lives: %v", expired, early)
			}
			w.withLock(func() { w.outage = false })
			w.state.RenewAllLeases()
			cancel()
			time.Sleep(2 * time.Minute)
			synctest.Wait()
		})
	}
}
