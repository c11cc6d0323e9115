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

// Machines whose reports reach no controller, while direct calls from controllers reach them.

const (
	savingJob  = "job-000201"
	gangJob    = "job-000202"
	replicaJob = "job-000203"
)

// runEvent is the start or the end of a task on a machine.
type runEvent struct {
	event, task, machine string
	at                   time.Time
}

// runLog records the starts and ends of tasks on a fleet.
type runLog struct {
	mu     sync.Mutex
	events []runEvent
}

func (l *runLog) add(event, task, machine string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, runEvent{event, task, machine, at})
}

// eventsOf returns the events of a job's tasks since a time, in order.
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

// machinesRunning returns the machines on which a job runs.
func (w *simCluster) machinesRunning(job string) (machines []string) {
	for _, m := range w.fleet.MachineNames() {
		if w.fleet.RunsJob(m, job) {
			machines = append(machines, m)
		}
	}
	return machines
}

// newUnreportedCluster makes a cluster with workers that report every 6 s under leases of 36 s. It
// runs the given jobs, and enough others on other machines that the silence of a few machines
// counts as evidence.
func newUnreportedCluster(t *testing.T, ctx context.Context, specs ...*protocol.JobSpec) (*simCluster, *runLog) {
	log := &runLog{}
	w := newConfiguredSimCluster(t, ctx, 5, nil, func(cfg *protocol.Settings, f *standin.Fleet) {
		params := &cfg.Params
		params.Workers.ReportS, params.Workers.LeaseS, params.Workers.CancelS = 6, 36, 56
		params.Zones = []string{"a"}
		for i := range params.Teams {
			params.Teams[i].GPUs, params.Teams[i].GPUsMax = 28, 40
		}
		f.Types[0].Zones = params.Zones
		f.MaxMachines, f.OnTaskEvent = 20, log.add
	})
	for i, team := range []string{"red", "blue", "green"} {
		w.submit(&protocol.JobSpec{ID: fmt.Sprint("job-00010", i), Team: team, Class: "c", Priority: "critical", Shape: protocol.Service, Tasks: 12, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "i", ImageGB: 2})
	}
	for _, spec := range specs {
		w.submitRed(spec)
	}
	time.Sleep(45 * time.Second)
	return w, log
}

// submitRed submits a job of team red.
func (w *simCluster) submitRed(s *protocol.JobSpec) {
	s.Team, s.Class, s.Image, s.ImageGB, s.MemoryGB, s.CPUs = "red", "c", "i", 2, 20, 4
	w.submit(s)
}

// setNoOutbound cuts or restores the path of machines' reports to all controllers.
func (w *simCluster) setNoOutbound(is bool, machines ...string) {
	w.withLock(func() {
		for _, m := range machines {
			w.noOutbound[m] = is
		}
	})
}

// checkAndStop checks the rules and stops the cluster.
func (w *simCluster) checkAndStop(cancel context.CancelFunc) {
	for _, b := range w.fleet.Violations {
		w.t.Errorf("rule broken: %s", b)
	}
	for _, stop := range w.stop {
		stop()
	}
	cancel()
	time.Sleep(2 * time.Minute)
	synctest.Wait()
}

// checkMoved checks that each task of a job that ran on a silent machine, or in a gang with a task
// on one, has ended and was started again on another machine.
func (l *runLog) checkMoved(t *testing.T, job string, tasks int, since time.Time, silent []string) {
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

// When reports of a machine are lost, tasks with checkpoints are told to save before the machine's
// lease ends and continue elsewhere once that can be stored. A service replica runs until the lease
// ends and is restarted on the same machine, also during an outage of the state service; if the
// silence lasts it moves.
func TestTasksOfUnreportedMachinesSaveAndMove(t *testing.T) {
	for name, outage := range map[string]bool{"with the state service": false, "in an outage": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				w, log := newUnreportedCluster(t, ctx,
					&protocol.JobSpec{ID: savingJob, Priority: "high", Shape: protocol.Array, Tasks: 1, GPUs: 1, EstimateS: 300, CheckpointS: 100, SaveS: 3},
					&protocol.JobSpec{ID: gangJob, Priority: "high", Shape: protocol.Gang, Tasks: 2, GPUs: 4, EstimateS: 300, CheckpointS: 100, SaveS: 3},
					&protocol.JobSpec{ID: replicaJob, Priority: "critical", Shape: protocol.Service, Tasks: 1, GPUs: 1})
				if len(w.machinesRunning(savingJob)) != 1 || len(w.machinesRunning(gangJob)) != 2 || len(w.machinesRunning(replicaJob)) != 1 {
					t.Fatalf("the jobs run on %v, %v and %v", w.machinesRunning(savingJob), w.machinesRunning(gangJob), w.machinesRunning(replicaJob))
				}
				silent := slices.Concat(w.machinesRunning(savingJob), w.machinesRunning(gangJob)[:1], w.machinesRunning(replicaJob))
				before := w.fleet.RunningTasks()
				began := time.Now()
				w.setNoOutbound(true, silent...)
				w.withLock(func() { w.outage = outage })
				time.Sleep(43 * time.Second)
				if stopped, expired := w.fleet.InterruptedTasks(); stopped != 3 || expired != 1 {
					t.Errorf("%d tasks were stopped, %d ended with a lease; expected 3 and 1", stopped, expired)
				}
				log.checkReplicaRestarted(t, began, silent, 1)
				w.withLock(func() { w.outage = false })
				time.Sleep(70 * time.Second)
				log.checkMoved(t, savingJob, 1, began, silent)
				log.checkMoved(t, gangJob, 2, began, silent)
				if !outage { // after an outage partitions may change owners, and the silence is counted from then on
					log.checkReplicaRestarted(t, began, silent, 2)
				}
				if on := w.machinesRunning(replicaJob); !outage && slices.Equal(on, silent[2:]) {
					t.Errorf("the replica still runs on %v", on)
				}
				if now := w.fleet.RunningTasks(); now != before {
					t.Errorf("%d tasks run, %d did before", now, before)
				}
				w.checkAndStop(cancel)
			})
		})
	}
}

// checkReplicaRestarted checks that the replica was restarted on its silent machine soon after each
// of the given number of lease ends, and nowhere else in between.
func (l *runLog) checkReplicaRestarted(t *testing.T, since time.Time, silent []string, times int) {
	t.Helper()
	events := l.eventsOf(replicaJob, since)
	if len(events) < 2*times {
		t.Errorf("the replica did not start again %d times: %v", times, events)
		return
	}
	for i := range times {
		end, next := events[2*i], events[2*i+1]
		if down := next.at.Sub(end.at); end.event != "end" || next.event != "start" || next.machine != silent[2] || down > taskStartTime+3*time.Second/2 {
			t.Errorf("the replica ended after %v and started %v later on %s", end.at.Sub(since), down, next.machine)
		}
	}
}

// taskStartTime is the time in which a simulated machine starts a task, with or without the image in
// its cache.
const taskStartTime = 2 * time.Second

// While the reports of machines are lost for a short time, tasks that complete there are
// recognised, nothing new is placed there and nothing is stopped. Once they report, they are used
// again.
func TestUnreportedMachinesAreUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		const waits = "job-000204"
		w, log := newUnreportedCluster(t, ctx, &protocol.JobSpec{ID: gangJob, Priority: "high", Shape: protocol.Gang, Tasks: 2, GPUs: 4, EstimateS: 38})
		silent := w.machinesRunning(gangJob)
		if len(silent) != 2 {
			t.Fatalf("the gang runs on %v", silent)
		}
		w.fleet.SetMaxMachines(len(w.fleet.MachineNames())) // no other machines can be rented
		w.setNoOutbound(true, silent...)
		time.Sleep(6 * time.Second)
		if n := w.fleet.FinishedTasks(gangJob); n != 2 {
			t.Fatalf("%d tasks of the gang have completed", n)
		}
		if status := w.pollStatus(w.names[0], gangJob); status != protocol.JobDone {
			t.Errorf("the gang has completed and is called %q", status)
		}
		w.submitRed(&protocol.JobSpec{ID: waits, Priority: "high", Shape: protocol.Array, Tasks: 2, GPUs: 4, EstimateS: 300})
		time.Sleep(2 * time.Second)
		for _, name := range w.names {
			if n := onActor(w.node(name), func() int { return w.node(name).jobs[waits].storedPlacements() }); n != 0 {
				t.Errorf("%s placed %d tasks on machines whose reports are lost", name, n)
			}
		}
		time.Sleep(5 * time.Second)
		w.setNoOutbound(false, silent...)
		time.Sleep(8 * time.Second)
		if on := w.machinesRunning(waits); !slices.Equal(on, silent) {
			t.Errorf("%v report again; the job that waits runs on %v: %v", silent, on, log.eventsOf(waits, time.Time{}))
		}
		if stopped, expired := w.fleet.InterruptedTasks(); stopped != 0 || expired != 0 {
			t.Errorf("%d tasks were stopped and %d ended with a lease", stopped, expired)
		}
		w.checkAndStop(cancel)
	})
}

// If no machine reports to a controller while all answer its calls, the fault is most likely its
// own, and it must not stop their work.
func TestOwnerWithoutReportsStopsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w, _ := newUnreportedCluster(t, ctx, &protocol.JobSpec{ID: savingJob, Priority: "high", Shape: protocol.Array, Tasks: 4, GPUs: 1, EstimateS: 300, CheckpointS: 100, SaveS: 3})
		all := w.fleet.MachineNames()
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
		if stopped, _ := w.fleet.InterruptedTasks(); stopped != 0 || len(w.fleet.MachineNames()) != len(all) {
			t.Errorf("%d tasks were stopped, %d of %d machines are left", stopped, len(w.fleet.MachineNames()), len(all))
		}
		w.setNoOutbound(false, all...)
		time.Sleep(20 * time.Second)
		w.checkAndStop(cancel)
	})
}

// Random faults while machines cannot report for some time, commands are delayed and copies of
// reports arrive late.
func TestTroublesWithUnreportedMachines(t *testing.T) {
	answered := 0
	for seed := range seedCount(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulate(t, 300+seed, 16, func(p *protocol.WorkerSettings) { p.ReportS, p.LeaseS, p.CancelS = 4, 20, 56 }, func(w *simCluster) {
				w.withLock(func() { w.delayedCommandRate, w.duplicateReportRate = 0.2, 0.2 })
				ctx, cancel := context.WithCancel(w.ctx)
				go w.silenceRandomMachines(ctx)
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

// silenceRandomMachines cuts the reports of a random set of machines, and changes the set every 5
// to 40 s.
func (w *simCluster) silenceRandomMachines(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range w.fleet.MachineNames() {
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

// What a poll's answer proves: a task is gone if it is not listed and its start was never sent, or
// if the worker's session has expired. An outdated answer or one under an earlier token proves
// nothing, and neither does an unlisted task whose start may still be executed.
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
				t.Errorf("the task's outcome is %v, not %v", f, c.want)
			}
			if !m.lastFencedReport.Equal(heard) || m.pollInFlight {
				t.Errorf("heard at %v, before the poll at %v; polling %v", m.lastFencedReport, heard, m.pollInFlight)
			}
		})
	}
}
