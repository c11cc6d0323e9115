package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// cancelOnce asks once, of one node, to cancel a job.
func (w *simCluster) cancelOnce(node, id string) answer {
	ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
	defer cancel()
	a, _ := w.cancelAt(ctx, node, id)
	return a
}

// pollStatus asks a node how a job is.
func (w *simCluster) pollStatus(node, id string) string {
	a, _ := w.pollAt(w.ctx, node, id)
	if s, ok := a.body.(protocol.JobStatus); ok {
		return s.Status
	}
	return ""
}

// A job is called cancelled once nothing of it is left: within a second where its machines
// are heard, at every node; not while one of them is out of reach, and nobody is kept
// waiting for that.
func TestCancelledWhenNothingIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 6, defaultSettings)
		spec := func(id string) *protocol.JobSpec {
			return &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: protocol.Service, Priority: "critical", Tasks: 2, CPUs: 4, GPUs: 1, Image: "i"}
		}
		w.submit(spec("job-000001"))
		w.submit(spec("job-000002"))
		time.Sleep(30 * time.Second)
		if r := w.fleet.Running(); r != 4 {
			t.Fatalf("%d tasks run", r)
		}
		for i, name := range w.names {
			from := time.Now()
			a := w.cancelOnce(name, "job-000001")
			if took := time.Since(from); a.status != 200 || took > time.Second || w.fleet.Left("job-000001") != 0 {
				t.Errorf("cancel %d at %s: %+v after %v, %d tasks left", i, name, a, took, w.fleet.Left("job-000001"))
			}
		}
		w.withLock(func() { w.lossRate = 1 }) // no worker is heard, nor hears anything
		time.Sleep(time.Second)
		w.withLock(func() {
			w.lossRate = 0
			w.workersUnreachable["n-0"], w.workersUnreachable["n-1"], w.workersUnreachable["n-2"] = true, true, true
		})
		for _, name := range w.names {
			from := time.Now()
			a := w.cancelOnce(name, "job-000002")
			if took := time.Since(from); a.status != 503 || a.retryAfterS == 0 || took > 1200*time.Millisecond {
				t.Errorf("with its machines out of reach %s answers %+v after %v", name, a, took)
			}
			if s := w.pollStatus(name, "job-000002"); s != protocol.JobRunning {
				t.Errorf("%s says %q", name, s)
			}
		}
		time.Sleep(2 * time.Second)
		from := time.Now()
		if a := w.cancelOnce(w.node("n-0").partitions[0].owner.Node, "job-000002"); a.status != 503 || time.Since(from) > 100*time.Millisecond {
			t.Errorf("who knows that its machines are out of reach answers %+v after %v", a, time.Since(from))
		}
		w.withLock(func() { clear(w.workersUnreachable) })
		time.Sleep(8 * time.Second)
		if a := w.cancelOnce("n-1", "job-000002"); a.status != 200 || w.fleet.Left("job-000002") != 0 {
			t.Errorf("when they are back: %+v, %d tasks left", a, w.fleet.Left("job-000002"))
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}

// While the state service is down for longer than cancel_s no lease runs out: nobody was
// told of a cancellation that a controller could miss. (On simulated days with a zone cut
// off for 70 to 90 s a thousand tasks ended with their leases.)
func TestLeasesLiveThroughALongOutage(t *testing.T) {
	for _, early := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			w := newSimCluster(t, ctx, 7, defaultSettings)
			if early {
				w.fleet.ToldLate = false
				w.state.Put(protocol.NodeKey("n-9"), map[string]uint64{"lease": 1})
			}
			w.submit(&protocol.JobSpec{ID: "job-000001", Team: "red", Class: "c", Shape: protocol.Service, Priority: "critical", Tasks: 4, CPUs: 4, GPUs: 1, Image: "i"})
			time.Sleep(30 * time.Second)
			w.withLock(func() { w.outage = true })
			time.Sleep(90 * time.Second)
			if _, expired := w.fleet.Ended(); (expired > 0) != early {
				t.Errorf("%d tasks ended with their leases; a node of an earlier version lives: %v", expired, early)
			}
			w.withLock(func() { w.outage = false })
			w.state.Refill()
			cancel()
			time.Sleep(2 * time.Minute)
			synctest.Wait()
		})
	}
}
