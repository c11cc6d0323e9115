package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
)

// Machines whose workers reach no controller, while direct calls reach them.

const (
	savingJob  = "job-000201"
	gangJob    = "job-000202"
	replicaJob = "job-000203"
)

// runEvent is a start or an end of a task on a machine.
type runEvent struct {
	event, task, machine string
	at                   time.Time
}

// runLog records what runs on a fleet.
type runLog struct {
	mu     sync.Mutex
	events []runEvent
}

func (l *runLog) add(event, task, machine string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, runEvent{event, task, machine, at})
}

// eventsOf are the events of a job's tasks since a time, in their order.
func (l *runLog) eventsOf(job string, since time.Time) (out []runEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.events {
		if strings.HasPrefix(e.task, job+"/") && !e.at.Before(since) {
			out = append(out, e)
		}
	}
	return out
}

// machinesRunning are the machines on which a job runs.
func (w *simCluster) machinesRunning(job string) (machines []string) {
	for _, m := range w.fleet.Names() {
		if w.fleet.Runs(m, job) {
			machines = append(machines, m)
		}
	}
	return machines
}

// unreportedWorld is a world with workers that report every 6 s under leases of 36 s, in which
// the jobs given run, and enough else on other machines for the silence of a few to mean
// something.
func unreportedWorld(t *testing.T, ctx context.Context, specs ...*protocol.JobSpec) (*simCluster, *runLog) {
	log := &runLog{}
	w := newConfiguredSimCluster(t, ctx, 5, nil, func(cfg *protocol.Settings, f *standin.Fleet) {
		p := &cfg.Params
		p.Workers.ReportS, p.Workers.LeaseS, p.Workers.CancelS = 6, 36, 56
		p.Zones = []string{"a"}
		for i := range p.Teams {
			p.Teams[i].GPUs, p.Teams[i].GPUsMax = 28, 40
		}
		f.Types[0].Zones = p.Zones
		f.Most, f.Log = 20, log.add
	})
	for i, team := range []string{"red", "blue", "green"} {
		w.submit(&protocol.JobSpec{ID: fmt.Sprint("job-00010", i), Team: team, Class: "c", Priority: "critical", Shape: protocol.Service, Tasks: 12, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "i", ImageGB: 2})
	}
	for _, s := range specs {
		w.submitRed(s)
	}
	time.Sleep(45 * time.Second)
	return w, log
}

// submitRed submits a job of team red.
func (w *simCluster) submitRed(s *protocol.JobSpec) {
	s.Team, s.Class, s.Image, s.ImageGB, s.MemoryGB, s.CPUs = "red", "c", "i", 2, 20, 4
	w.submit(s)
}

// setNoOutbound makes machines reach no controller, or reach them again.
func (w *simCluster) setNoOutbound(is bool, machines ...string) {
	w.withLock(func() {
		for _, m := range machines {
			w.noOutbound[m] = is
		}
	})
}

// checkAndStop checks the rules and ends the world.
func (w *simCluster) checkAndStop(cancel context.CancelFunc) {
	for _, b := range w.fleet.Broken {
		w.t.Errorf("rule broken: %s", b)
	}
	for _, stop := range w.stop {
		stop()
	}
	cancel()
	time.Sleep(2 * time.Minute)
	synctest.Wait()
}

// movedFrom checks that each task of a job that ran on a silent machine, or was in a gang with
// one, has ended and been started again on another machine.
func (l *runLog) movedFrom(t *testing.T, job string, tasks int, since time.Time, silent []string) {
	t.Helper()
	ended := map[string]bool{}
	started := 0
	for _, e := range l.eventsOf(job, since) {
		switch {
		case e.event != "start":
			ended[e.task] = true
		case !ended[e.task] || slices.Contains(silent, e.machine):
			t.Errorf("%s started on %s, silent are %v: %v", e.task, e.machine, silent, l.eventsOf(job, since))
		default:
			started++
		}
	}
	if started != tasks {
		t.Errorf("%s: %d of %d tasks were started elsewhere: %v", job, started, tasks, l.eventsOf(job, since))
	}
}

// Tasks that can save are told to before their machine's lease ends, and go on elsewhere once
// that can be stored. A replica runs until the lease ends and starts again there, also in an
// outage of the state service; when the silence lasts it moves.
func TestTasksOfUnreportedMachinesSaveAndMove(t *testing.T) {
	for name, outage := range map[string]bool{"with the state service": false, "in an outage": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				w, log := unreportedWorld(t, ctx,
					&protocol.JobSpec{ID: savingJob, Priority: "high", Shape: protocol.Array, Tasks: 1, GPUs: 1, EstimateS: 300, CheckpointS: 100, SaveS: 3},
					&protocol.JobSpec{ID: gangJob, Priority: "high", Shape: protocol.Gang, Tasks: 2, GPUs: 4, EstimateS: 300, CheckpointS: 100, SaveS: 3},
					&protocol.JobSpec{ID: replicaJob, Priority: "critical", Shape: protocol.Service, Tasks: 1, GPUs: 1})
				if len(w.machinesRunning(savingJob)) != 1 || len(w.machinesRunning(gangJob)) != 2 || len(w.machinesRunning(replicaJob)) != 1 {
					t.Fatalf("the jobs run on %v, %v and %v", w.machinesRunning(savingJob), w.machinesRunning(gangJob), w.machinesRunning(replicaJob))
				}
				silent := slices.Concat(w.machinesRunning(savingJob), w.machinesRunning(gangJob)[:1], w.machinesRunning(replicaJob))
				before := w.fleet.Running()
				began := time.Now()
				w.setNoOutbound(true, silent...)
				w.withLock(func() { w.outage = outage })
				time.Sleep(43 * time.Second)
				if stopped, expired := w.fleet.Ended(); stopped != 3 || expired != 1 {
					t.Errorf("%d tasks were stopped, %d ended with a lease; expected 3 and 1", stopped, expired)
				}
				log.replicaRestarted(t, began, silent, 1)
				w.withLock(func() { w.outage = false })
				time.Sleep(70 * time.Second)
				log.movedFrom(t, savingJob, 1, began, silent)
				log.movedFrom(t, gangJob, 2, began, silent)
				if !outage { // after one, shares may change hands, and the silence counts anew
					log.replicaRestarted(t, began, silent, 2)
				}
				if on := w.machinesRunning(replicaJob); !outage && slices.Equal(on, silent[2:]) {
					t.Errorf("the replica still runs on %v", on)
				}
				if now := w.fleet.Running(); now != before {
					t.Errorf("%d tasks run, %d did before", now, before)
				}
				w.checkAndStop(cancel)
			})
		})
	}
}

// replicaRestarted checks that the replica started again on its silent machine soon after so
// many ends of leases, and nowhere else before that.
func (l *runLog) replicaRestarted(t *testing.T, since time.Time, silent []string, times int) {
	t.Helper()
	events := l.eventsOf(replicaJob, since)
	if len(events) < 2*times {
		t.Errorf("the replica did not start again %d times: %v", times, events)
		return
	}
	for i := range times {
		end, next := events[2*i], events[2*i+1]
		if down := next.at.Sub(end.at); end.event != "end" || next.event != "start" || next.machine != silent[2] || down > startTakes+3*time.Second/2 {
			t.Errorf("the replica ended after %v and started %v later on %s", end.at.Sub(since), down, next.machine)
		}
	}
}

// startTakes is what a simulated machine takes to start a task, whether it has the image or not.
const startTakes = 2 * time.Second

// While machines report to nobody for a moment, what completes there is known, nothing new is
// placed there and nothing is stopped. As soon as they report they are used again.
func TestUnreportedMachinesAreUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		const waits = "job-000204"
		w, log := unreportedWorld(t, ctx, &protocol.JobSpec{ID: gangJob, Priority: "high", Shape: protocol.Gang, Tasks: 2, GPUs: 4, EstimateS: 38})
		silent := w.machinesRunning(gangJob)
		if len(silent) != 2 {
			t.Fatalf("the gang runs on %v", silent)
		}
		w.fleet.Limit(len(w.fleet.Names())) // no others can be rented
		w.setNoOutbound(true, silent...)
		time.Sleep(6 * time.Second)
		if n := w.fleet.Finished(gangJob); n != 2 {
			t.Fatalf("%d tasks of the gang have completed", n)
		}
		if status := w.pollStatus(w.names[0], gangJob); status != protocol.JobDone {
			t.Errorf("the gang has completed and is called %q", status)
		}
		w.submitRed(&protocol.JobSpec{ID: waits, Priority: "high", Shape: protocol.Array, Tasks: 2, GPUs: 4, EstimateS: 300})
		time.Sleep(2 * time.Second)
		for _, name := range w.names {
			if n := onActor(w.node(name), func() int { return w.node(name).jobs[waits].storedPlacements() }); n != 0 {
				t.Errorf("%s placed %d tasks where nobody reports", name, n)
			}
		}
		time.Sleep(5 * time.Second)
		w.setNoOutbound(false, silent...)
		time.Sleep(8 * time.Second)
		if on := w.machinesRunning(waits); !slices.Equal(on, silent) {
			t.Errorf("%v report again; the job that waits runs on %v: %v", silent, on, log.eventsOf(waits, time.Time{}))
		}
		if stopped, expired := w.fleet.Ended(); stopped != 0 || expired != 0 {
			t.Errorf("%d tasks were stopped and %d ended with a lease", stopped, expired)
		}
		w.checkAndStop(cancel)
	})
}

// A controller to which no machine reports, while all answer it, does not stop their work: the
// cause is most likely its own.
func TestOwnerThatHearsNobodyStopsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w, _ := unreportedWorld(t, ctx, &protocol.JobSpec{ID: savingJob, Priority: "high", Shape: protocol.Array, Tasks: 4, GPUs: 1, EstimateS: 300, CheckpointS: 100, SaveS: 3})
		all := w.fleet.Names()
		w.setNoOutbound(true, all...)
		time.Sleep(30 * time.Second)
		polled := 0
		for _, name := range w.names {
			polled += onActor(w.node(name), func() (count int) {
				for _, m := range w.node(name).machines {
					if m.reachableOnlyDirectly() {
						count++
					}
				}
				return count
			})
		}
		if polled != len(all) {
			t.Errorf("%d of %d machines have answered polls", polled, len(all))
		}
		if stopped, _ := w.fleet.Ended(); stopped != 0 || len(w.fleet.Names()) != len(all) {
			t.Errorf("%d tasks were stopped, %d of %d machines are left", stopped, len(w.fleet.Names()), len(all))
		}
		w.setNoOutbound(false, all...)
		time.Sleep(20 * time.Second)
		w.checkAndStop(cancel)
	})
}

// Random troubles while machines reach no controller for a while, commands are held up and
// copies of reports come late.
func TestTroublesWithUnreportedMachines(t *testing.T) {
	answered := 0
	for seed := range seedCount(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulate(t, 300+seed, 16, func(p *protocol.WorkerSettings) { p.ReportS, p.LeaseS, p.CancelS = 4, 20, 56 }, func(w *simCluster) {
				w.withLock(func() { w.delayedCommandRate, w.duplicateReportRate = 0.2, 0.2 })
				ctx, cancel := context.WithCancel(w.ctx)
				go w.silenceAtRandom(ctx)
				randomFaults(w)
				cancel()
				answered += w.eventCount("silent machine answers")
			})
		})
	}
	if answered == 0 {
		t.Error("no silent machine answered a poll")
	}
}

// silenceAtRandom makes some machines reach no controller, others every 5 to 40 s.
func (w *simCluster) silenceAtRandom(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range w.fleet.Names() {
			w.setNoOutbound(w.randInt(5) < 2, m)
		}
		time.Sleep(w.randDuration(5*time.Second, 40*time.Second))
		for _, name := range w.names {
			if n := w.node(name); n != nil {
				n.post(func() {
					for _, m := range n.machines {
						if m.reachableOnlyDirectly() {
							w.recordEvent("silent machine answers")
						}
					}
				})
			}
		}
	}
}

// What a poll's answer proves: a task is gone if it is not listed and was never sent, or if
// the worker's session has expired; not by an answer that is old or under an earlier token,
// and not if its start may still be executed.
func TestWhatAPollProves(t *testing.T) {
	listed := protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning}
	for _, c := range []struct {
		name   string
		sent   bool
		report protocol.Report
		want   taskOutcome
	}{
		{"not listed, never sent", false, protocol.Report{Session: 1, Seq: 9, Token: 7}, outcomeGone},
		{"not listed, sent", true, protocol.Report{Session: 1, Seq: 9, Token: 7}, outcomeNone},
		{"session expired", true, protocol.Report{Session: 2, Seq: 1, Token: 7}, outcomeGone},
		{"session expired, listed", true, protocol.Report{Session: 2, Seq: 1, Token: 7, Tasks: []protocol.TaskReport{listed}}, outcomeNone},
		{"old", false, protocol.Report{Session: 1, Seq: 1, Token: 7}, outcomeNone},
		{"under an earlier token", false, protocol.Report{Session: 2, Seq: 9, Token: 6}, outcomeNone},
		{"under a later token", false, protocol.Report{Session: 2, Seq: 9, Token: 8}, outcomeNone},
		{"of another machine", false, protocol.Report{Machine: "host-2", Session: 2, Seq: 9, Token: 7}, outcomeNone},
		{"completed", true, protocol.Report{Session: 1, Seq: 9, Token: 7, Tasks: []protocol.TaskReport{{Task: "job-1/0", Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseDone}}}, outcomeFinished},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestNode(t)
			w := &scriptedWorkers{make(chan protocol.Orders, 1), make(chan *protocol.Report, 1)}
			b.workers = w
			b.sendReport(7, 2)
			m := b.machines["host-1"]
			b.rejectDeferred(m)
			m.addr = "x:1"
			j := b.addJob("job-1", false, placedOnHost1)
			if c.sent {
				j.tasks[0].startSentAt = time.Now()
			}
			heard := m.lastFencedReport
			now := time.Now().Add(b.overdueTimeout() + time.Second)
			b.pollSilent([]*machine{m}, now)
			if o := <-w.orders; o.Token != 7 || o.Session != 1 || len(o.Commands) != 0 {
				t.Fatalf("the worker was sent %+v", o)
			}
			if c.report.Machine == "" {
				c.report.Machine = "host-1"
			}
			w.answers <- &c.report
			(<-b.mailbox)()
			if f := j.tasks[0].outcome; f != c.want {
				t.Errorf("the task's fact is %v, not %v", f, c.want)
			}
			if !m.lastFencedReport.Equal(heard) || m.pollInFlight {
				t.Errorf("heard at %v, before the poll at %v; polling %v", m.lastFencedReport, heard, m.pollInFlight)
			}
		})
	}
}
