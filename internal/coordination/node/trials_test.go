package node

import (
	"fmt"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// photoTag returns a job of one task of a GPU.
func photoTag(number int, team string) *protocol.JobSpec {
	job := service(fmt.Sprintf("job-40%04d", number), team, 1)
	job.Shape, job.Priority, job.EstimateS = protocol.Array, "best_effort", 2
	return job
}

// Guards against a sound machine that gets no tasks any more: after three jobs with a mistake had failed
// on it, cancelled or not, it was neither returned, as a service ran on it, nor used.
func TestBlamedMachineWithTasksIsUsedAgain(t *testing.T) {
	for _, cancelled := range []bool{true, false} {
		for _, team := range []string{"red", "blue"} { // of the machine's own partition, and of another one
			t.Run(fmt.Sprintf("%s, cancelled %v", team, cancelled), func(t *testing.T) {
				atFragmentedSite(t, 3, func(w *simCluster) {
					for k := range 3 {
						job := photoTag(k, "red")
						w.fleet.FailEverywhere(job.ID)
						w.submit(job)
					}
					time.Sleep(20 * time.Second)
					if cancelled {
						for k := range 3 {
							w.cancel(photoTag(k, "red").ID)
						}
					}
					sound := photoTag(3, team)
					w.submit(sound)
					time.Sleep(maxTrialPause + lendAfter + 15*time.Second)
					if w.fleet.FinishedTasks(sound.ID) != 1 {
						t.Errorf("the sound job is not done: %s", w.describeJob(sound.ID))
					}
				})
			})
		}
	}
}

// Guards against a job that fails again and again on the only machine with room, and is always the
// first to get it: other jobs never ran.
func TestJobThatFailsAgainLetsOthersRun(t *testing.T) {
	atFragmentedSite(t, 4, func(w *simCluster) {
		w.submit(service("job-100002", "red", 2))
		if !w.awaitRunning("job-100002", 2, 30*time.Second) {
			t.Fatal("the service does not run")
		}
		mistaken := photoTag(0, "red")
		w.fleet.FailEverywhere(mistaken.ID)
		w.submit(mistaken)
		time.Sleep(20 * time.Second)
		sound := photoTag(1, "red")
		w.submit(sound)
		time.Sleep(60 * time.Second)
		if w.fleet.FinishedTasks(sound.ID) != 1 {
			t.Errorf("the sound job is not done, the other one has failed %d times: %s", w.fleet.ErrorCount(mistaken.ID+"/0"), w.describeJob(sound.ID))
		}
	})
}

// A machine that stays faulty gets one task at a time, after pauses that grow, and none of a job that
// has failed on it; one success clears it.
func TestTrialsOfFaultyMachine(t *testing.T) {
	b := newTestNode(t)
	m := b.machines["host-1"]
	m.fenced = true
	b.storeArray("job-1", 1, "host-1") // goes on running
	now := time.Now()
	for i := range 3 {
		b.failTask(b.storeArray(fmt.Sprint("job-2", i), 1, "host-1"), 0, now)
	}
	pause := time.Duration(0)
	for k := range 5 {
		next := m.faults.nextTrial.Sub(now)
		if next < pause || next > maxTrialPause {
			t.Fatalf("trial %d after %v, the one before after %v", k, next, pause)
		}
		pause = next
		if b.tickTrials(m, now.Add(pause-time.Millisecond)); m.faults.onTrial {
			t.Fatalf("trial %d too early", k)
		}
		now = now.Add(pause)
		if b.tickTrials(m, now); !m.faults.onTrial {
			t.Fatalf("no trial %d after %v", k, pause)
		}
		facts := b.currentFacts(m)
		if !facts.OnTrial || len(facts.ExcludedJobs) != 3+k {
			t.Fatalf("facts of the machine on trial: %v, excluded %v", facts.OnTrial, facts.ExcludedJobs)
		}
		tried := b.storeArray(fmt.Sprint("job-3", k), 1, "host-1")
		if m.faults.onTrial || b.currentFacts(m).OnTrial {
			t.Fatal("more than one task is tried")
		}
		if b.tickTrials(m, now.Add(time.Hour)); m.faults.onTrial {
			t.Fatal("a second task is tried while the first one is there")
		}
		b.failTask(tried, 0, now)
		b.setPhase(tried, 0, phaseWaiting, nil, 0, now)
	}
	if pause != maxTrialPause {
		t.Errorf("the last pause is %v", pause)
	}
	b.tickTrials(m, now.Add(pause))
	sound := b.storeArray("job-4", 1, "host-1")
	sound.tasks[0].phaseSince = now.Add(pause)
	b.observeTask(m, sound, 0, &protocol.TaskReport{Task: "job-4/0", Attempt: 1, State: protocol.TaskRunning}, now.Add(pause))
	if b.faulty(m) || b.currentFacts(m).Block != 0 {
		t.Error("the machine is blamed though the trial succeeds")
	}
}
