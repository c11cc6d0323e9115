package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
)

// Copies of direct commands that were carried out and answered arrive again, some of them after the
// task has ended, moved or been cancelled. No copy of a start may change anything on its machine.

// copiesCommand reports whether copies of an answered command are to arrive. If there are none at
// all it draws no random number, so that the seeds of other tests keep their meaning.
func (w *simCluster) copiesCommand(orders protocol.Orders) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.commandCopyRate > 0 && len(orders.Commands) > 0 && w.rng.Float64() < w.commandCopyRate
}

// sentCommand is a direct command that was carried out and answered.
type sentCommand struct {
	addr   string
	orders protocol.Orders
}

// sendCopiesLater makes copies of a command arrive, from a fraction of a second to well over a lease
// later, and keeps one more for sendKeptCopies.
func (w *simCluster) sendCopiesLater(command sentCommand) {
	w.withLock(func() { w.keptCommands = append(w.keptCommands, command) })
	lease := time.Duration(w.cfg[w.names[0]].Params.Workers.LeaseS * float64(time.Second))
	for _, after := range [...][2]time.Duration{{100 * time.Millisecond, 2 * time.Second}, {2 * time.Second, lease}, {lease, 4 * lease}} {
		go func() {
			if w.wait(w.randDuration(after[0], after[1])) {
				w.sendCopy(command)
			}
		}()
	}
}

// wait waits for a duration. It returns false if the run has ended meanwhile.
func (w *simCluster) wait(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-w.ctx.Done():
		return false
	}
}

// sendCopy makes a copy of a command arrive, but not while the machine hangs.
func (w *simCluster) sendCopy(command sentCommand) {
	host, _, _ := strings.Cut(command.addr, ":")
	w.waitWhileHung(host)
	for _, meeting := range w.fleet.RepeatCommand(command.addr, command.orders) {
		w.recordEvent(string(meeting))
	}
}

// sendKeptCopies makes copies of all commands of which copies are sent arrive now.
func (w *simCluster) sendKeptCopies() {
	w.mu.Lock()
	commands := slices.Clone(w.keptCommands)
	w.mu.Unlock()
	for _, command := range commands {
		w.sendCopy(command)
	}
}

// copiesOfAnsweredCommands is the scenario, amid tasks that fail, jobs that are cancelled, more
// urgent work, leases that run out, machines that hang, and restarts within a second.
var copiesOfAnsweredCommands = faultScenario{name: "copies of answered commands", inject: injectCommandCopies,
	configure: func(p *protocol.WorkerSettings, w *simCluster) {
		infrequentReports(p, w)
		w.fleet.MaxMachines = 6
		w.fleet.TaskFails = func(job *protocol.JobSpec, task, errors int) bool {
			return job.Shape == protocol.Array && task%3 == 0 && errors < 2
		}
	},
	mustOccur: []string{string(standin.CopyStillListed), string(standin.CopyNextSession), string(standin.CopyTaskFailed), string(standin.CopyTaskCompleted),
		string(standin.CopyTaskMoved), string(standin.CopySameMachine), string(standin.CopyCancelled), string(standin.CopyCancelledLong),
		string(standin.CopyOfGangTask), string(standin.CopyMachineIsFull), "handed over"},
}

func injectCommandCopies(w *simCluster) {
	w.withLock(func() { w.commandCopyRate = 0.6 })
	for round := range 8 {
		w.submitAndCancel(round, 20*time.Second)
		for i := range 3 {
			team, number := []string{"red", "blue", "green"}[i], w.nextJobNumber()
			gang := arrayFor(team, 8000+number, 1+i%2, "high", 8)
			gang.Shape = protocol.Gang
			w.addUsersFor(arrayFor(team, 7000+number, 4, "standard", 10), gang)
		}
		time.Sleep(4 * time.Second) // until tasks run
		deaf := round%4 == 2        // some workers' leases run out
		for i, m := range w.busyMachines() {
			switch {
			case deaf:
				w.withLock(func() { w.noInbound[m] = true })
			case i%4 == 0:
				until := time.Now().Add(w.randDuration(2*time.Second, 12*time.Second))
				w.withLock(func() { w.hungUntil[m] = until })
			}
		}
		if deaf {
			time.Sleep(45 * time.Second)
			w.sendKeptCopies()
			w.withLock(func() { clear(w.noInbound) })
		}
		time.Sleep(w.randDuration(5*time.Second, 14*time.Second))
		w.cancelRunningJobs(4, 0)
		w.sendKeptCopies()
		switch round % 4 {
		case 1:
			w.restart(w.randomNode(), w.randDuration(0, time.Second))
		case 3:
			for _, name := range w.names {
				w.stopNode(name)
			}
			time.Sleep(w.randDuration(0, time.Second))
			for _, name := range w.names {
				w.startIfStopped(name)
			}
		}
	}
	for range 3 { // until after the latest copy, and longer than cancel_s
		time.Sleep(50 * time.Second)
		w.sendKeptCopies()
	}
}

// copyLater makes a copy of an answered call of a kind arrive later.
func (w *simCluster) copyLater(kind string, call func()) {
	w.mu.Lock()
	copied := w.callCopyRate > 0 && w.rng.Float64() < w.callCopyRate
	w.mu.Unlock()
	if !copied {
		return
	}
	go func() {
		if w.wait(w.randDuration(100*time.Millisecond, 60*time.Second)) {
			w.recordEvent("copy of a " + kind)
			call()
		}
	}()
}

// copiesOfAnsweredCalls is the scenario with copies of all other calls of the controllers, and of
// reports and users' requests.
var copiesOfAnsweredCalls = faultScenario{name: "copies of answered calls", inject: injectCallCopies,
	mustOccur: []string{"copy of a transaction", "copy of a rental", "copy of a return", "copy of a grant", "copy of a renewal", "copy of a release", "copy of a hint",
		"old report", "handed over"},
}

func injectCallCopies(w *simCluster) {
	w.withLock(func() { w.callCopyRate, w.duplicateReportRate = 0.7, 0.4 })
	for round := range 8 {
		w.submitAndCancel(round, 20*time.Second)
		w.addUsersFor(arrayFor("red", 9000+w.nextJobNumber(), 4, "standard", 10), arrayFor("blue", 9000+w.nextJobNumber(), 4, "standard", 10))
		for _, u := range w.cancelRunningJobs(2, 0) {
			go func() { // copies of its users' requests
				time.Sleep(w.randDuration(100*time.Millisecond, 60*time.Second))
				w.cancelOnce(w.randomNode(), u.spec.ID)
				ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
				defer cancel()
				w.submitAt(ctx, w.randomNode(), u.spec)
			}()
		}
		if machines := w.fleet.MachineNames(); round%3 == 0 && len(machines) > 0 {
			w.fleet.Kill(machines[w.randInt(len(machines))])
		}
		time.Sleep(w.randDuration(8*time.Second, 16*time.Second))
		w.restart(w.randomNode(), w.randDuration(0, time.Second))
	}
	w.withLock(func() { w.callCopyRate, w.duplicateReportRate = 0, 0 })
	time.Sleep(60 * time.Second)
}

// A start that was carried out and answered must not be carried out again once its task has left the machine.
func TestLateCopyOfAnsweredStartStartsNothing(t *testing.T) {
	for seed := range seedCount(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runScenarios(t, 11000+seed, "", copiesOfAnsweredCommands) })
	}
}

// A task that was started directly failed and runs elsewhere. Once its worker forgets it, the worker must refuse a copy of the start.
func TestCopyOfAnsweredStartIsRefusedOnceTaskIsForgotten(t *testing.T) {
	b, j, workers := startJobDirectly(t)
	workers.answers <- &protocol.Report{Machine: "host-1", Session: 1, Seq: 2, Token: 7, Tasks: []protocol.TaskReport{{Task: "job-1/0", Attempt: 1, State: protocol.TaskFetching}}}
	(<-b.mailbox)()
	failed := protocol.TaskReport{Task: "job-1/0", Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseError}
	b.sendReport(7, 3, failed)
	b.rejectDeferred(b.machines["host-1"])
	b.watchPut(protocol.BatchKey("r-0-7-2-0"), protocol.BatchRecord{Machines: []protocol.MachineRecord{{Name: "host-2", Type: "g4", Zone: "a"}}})
	b.watchPut(protocol.JobKey("job-1"), protocol.JobRecord{Spec: j.spec, NextAttempt: 3, Chunk: protocol.Chunk{Placed: []protocol.Placement{{Task: 0, Attempt: 2, Machine: "host-2"}}}})
	for seq := uint64(4); seq < 6; seq++ { // the first answer may be lost
		a := b.sendReport(7, seq, failed)
		if a == nil || a.status != 200 {
			t.Fatalf("report %d: %+v", seq, a)
		}
		orders := a.body.(protocol.Orders)
		if len(orders.Commands) != 1 || orders.Commands[0].Op != protocol.OpForget || orders.Token <= 7 {
			t.Fatalf("the worker forgets the attempt while the token of its start is valid: %+v", orders)
		}
	}
}
