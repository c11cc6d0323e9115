package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// A task mostly ends with an error because its machine is faulty, but a job may itself be defective:
// then it fails on every machine until its user cancels it. Evidence tells the two apart: a
// defective job fails on several machines without one of its tasks succeeding, while on a healthy
// machine the tasks of other jobs succeed.

// jobFailures is what is known of a job whose tasks ended with an error.
type jobFailures struct {
	machines        []*machine // machines with errors since a task last succeeded
	clearedMachines []*machine // machines cleared of the failures when the job was found to fail everywhere
	failsEverywhere bool       // the job is taken to be defective
	tries           int        // tries since then
	fromAttempt     uint64     // earlier attempts were started before that
	lastMachine     string     // machine of the last error
	runningSince    time.Time  // since when a task has been seen running
	ranLongEnough   bool       // a task has run for minGoodRun
	repeats         int        // how often tasks failed again on a machine on which one had failed before
	lastAttempt     uint64     // the latest attempt of which a task failed
}

const (
	// minGoodRun is how long a task must run to count as successful.
	minGoodRun = 5 * time.Second
	// maxRetryPause is the longest pause between two tries of a job that fails everywhere, or again
	// and again where it has failed before.
	maxRetryPause = 60 * time.Second
	// firstRepeatPause is for how long a job that failed again on the same machine is first kept off it.
	// That is longer than the machine is avoided, so that other jobs get their turn.
	firstRepeatPause = 20 * time.Second
)

// machineFaults is the evidence that a machine is faulty. It is cleared when a task that started
// there after the first failure succeeds.
type machineFaults struct {
	failedJobs     []string  // jobs with a failed task there
	provenFailures int       // failed tasks of jobs that succeed elsewhere
	firstFailure   time.Time // first failure; zero: no evidence

	// Trials of a faulty machine that can't be returned because tasks run on it.
	trials    int       // that failed
	nextTrial time.Time // no trial before; zero: it was not faulty yet
	onTrial   bool      // one task may be tried
	trialTask taskKey   // the task of the present trial; of no job: none
}

const (
	// firstTrialPause is how long a machine that turned out to be faulty gets no task. The pause
	// doubles with each failed trial, up to maxTrialPause: a job that has nothing but this machine
	// should not wait for 90 s, also if the trial before it is spent on a job with a mistake.
	firstTrialPause = 10 * time.Second
	maxTrialPause   = 30 * time.Second
)

// faultyThreshold is how many jobs with failed tasks, or failed tasks of jobs that succeed
// elsewhere, make a machine count as faulty. Tasks that run there already and go on are no evidence
// to the contrary: the machine may fail only what it starts. (When their reports counted, such
// machines failed up to 167 tasks in simulations and were kept for minutes.)
const faultyThreshold = 3

// addFailure records a failure. proven means that the job succeeds elsewhere.
func (x *machineFaults) addFailure(jobID string, proven bool, now time.Time) {
	if x.firstFailure.IsZero() {
		x.firstFailure = now
	}
	if proven {
		x.provenFailures++
	}
	if !slices.Contains(x.failedJobs, jobID) {
		x.failedJobs = append(x.failedJobs, jobID)
	}
	x.onTrial = false
	if x.trialTask.job != nil && x.trialTask.job.id == jobID {
		x.trials++
		x.trialTask = taskKey{}
	}
	if x.faulty() {
		x.nextTrial = now.Add(min(firstTrialPause<<min(x.trials, 4), maxTrialPause))
	}
}

// removeFailuresOf removes a job's failures from the evidence: they were caused by the job.
func (x *machineFaults) removeFailuresOf(jobID string) {
	x.failedJobs = slices.DeleteFunc(x.failedJobs, func(id string) bool { return id == jobID })
	if len(x.failedJobs) == 0 && x.provenFailures == 0 {
		*x = machineFaults{}
	}
}

// faulty reports whether there is enough evidence to return the machine.
func (x *machineFaults) faulty() bool {
	return len(x.failedJobs) >= faultyThreshold || x.provenFailures >= faultyThreshold
}

// tickTrials lets one task be tried on each faulty machine that can't be returned because tasks run
// on it, after a pause. If the task succeeds, the machine is not faulty (a circuit breaker's half-open
// state). Without that a machine on which a service ran got no task for as long as the service ran:
// three jobs with a mistake, cancelled by their users, took it out of use.
func (n *Node) tickTrials(m *machine, now time.Time) {
	x := &m.faults
	if !x.faulty() || x.onTrial || len(m.tasks) == 0 || now.Before(x.nextTrial) {
		return
	}
	if _, running := m.tasks[x.trialTask]; running {
		return
	}
	n.log.Info("a task may be tried on a faulty machine", "machine", m.name, "failed_trials", x.trials)
	x.onTrial, x.trialTask = true, taskKey{}
	n.markStale(m)
	n.replan = true
}

// noteTrial records that a task is placed on a machine, which ends the chance of others if the
// machine is on trial.
func (m *machine) noteTrial(k taskKey) {
	if m.faults.onTrial {
		m.faults.onTrial, m.faults.trialTask = false, k
	}
}

// maxFailedMachines limits on how many machines a job may have failed, since it last succeeded, for
// its failure to count as proven against a machine.
const maxFailedMachines = 4

// noteTaskFailure records that a task of a job ended with an error on a machine. As long as the
// machine may be the cause, the task starts elsewhere at once and the machine is avoided. The
// machine is returned after three jobs in a row, or three tasks of jobs that succeed elsewhere,
// have failed on it.
func (n *Node) noteTaskFailure(j *job, attempt uint64, m *machine, now time.Time) {
	f := &j.failures
	f.lastMachine = m.name
	n.markStale(m)
	f.runningSince = time.Time{}
	if j.step != nil {
		n.onStepTaskFailed(j, m, now)
		return
	}
	if f.failsEverywhere {
		if attempt >= f.fromAttempt {
			f.tries++
			j.backOffRetries(now)
		}
		return
	}
	if !slices.Contains(f.machines, m) {
		f.machines = append(f.machines, m)
	} else if attempt > f.lastAttempt && j.nDone == 0 && !f.ranLongEnough {
		n.excludeFrom(m, j, now)
	}
	f.lastAttempt = max(f.lastAttempt, attempt)
	// A service counts as successful if its other tasks run. An array or a gang that never
	// completed a task may still fail in the middle of each run. Machines on which jobs fail that
	// succeed elsewhere are no evidence against this job.
	unsuspected := 0
	for _, o := range f.machines {
		if o.faults.provenFailures == 0 {
			unsuspected++
		}
	}
	if limit := 3; unsuspected >= limit && j.nDone == 0 && j.spec.Shape != protocol.Service || unsuspected >= limit-1 && j.nDone == 0 && !f.ranLongEnough {
		n.log.Info("job fails on every machine", "job", j.id, "class", j.spec.Class, "team", j.spec.Team, "machines", len(f.machines))
		f.failsEverywhere, f.tries, f.fromAttempt = true, 1, j.nextAttempt
		j.backOffRetries(now)
		// The machines are not the cause.
		for _, o := range f.machines {
			o.faults.removeFailuresOf(j.id)
			n.markStale(o)
			if o.faults.firstFailure.IsZero() {
				o.avoidUntil = time.Time{}
			}
		}
		f.machines, f.clearedMachines = nil, f.machines
		return
	}
	proven := (j.nDone > 0 || f.ranLongEnough) && len(f.machines) < maxFailedMachines
	m.faults.addFailure(j.id, proven, now)
	m.avoidUntil = now.Add(time.Duration(min(len(m.faults.failedJobs), faultyThreshold)) * 5 * time.Second)
}

// excludeFrom keeps a job that has failed again on the same machine off it for a while, which others may
// use meanwhile. If the job belongs to another partition, its owner is told not to place it anywhere.
func (n *Node) excludeFrom(m *machine, j *job, now time.Time) {
	until := now.Add(min(maxRetryPause, firstRepeatPause<<min(j.failures.repeats, 4)))
	j.failures.repeats++
	if j.isForeign(m) {
		j.notBefore = until
		return
	}
	if m.excludedJobs == nil {
		m.excludedJobs = map[string]time.Time{}
	}
	m.excludedJobs[j.id] = until
	n.markStale(m)
}

// expireExclusions lets the jobs whose time is over use a machine again.
func (n *Node) expireExclusions(m *machine, now time.Time) {
	for id, until := range m.excludedJobs {
		if !now.Before(until) || n.jobs[id] == nil {
			delete(m.excludedJobs, id)
			n.markStale(m)
			n.replan = true
		}
	}
}

// jobsExcludedFrom returns the jobs that may not be placed on a machine, in order.
func (m *machine) jobsExcludedFrom() []string {
	excluded := slices.Collect(maps.Keys(m.excludedJobs))
	if m.faults.onTrial {
		excluded = append(excluded, m.faults.failedJobs...)
	}
	slices.Sort(excluded)
	return slices.Compact(excluded)
}

// backOffRetries sets the time of the next try of a job that fails everywhere, with exponential
// backoff.
func (j *job) backOffRetries(now time.Time) {
	j.notBefore = now.Add(min(maxRetryPause, time.Second<<min(j.failures.tries, 6)))
}

// noteTaskSuccess records that a task of a job runs or has completed. If it has run for minGoodRun
// or has completed, the job is not defective. If the task started after the machine's first
// failure, the machine is not faulty.
func (n *Node) noteTaskSuccess(j *job, t *task, m *machine, isDone bool, now time.Time) {
	if x := &m.faults; !x.firstFailure.IsZero() && t.phaseSince.After(x.firstFailure) {
		*x = machineFaults{}
		n.markStale(m)
	}
	f := &j.failures
	if f.runningSince.IsZero() {
		f.runningSince = now
	}
	if !isDone && now.Sub(f.runningSince) < minGoodRun {
		return
	}
	if f.failsEverywhere {
		n.log.Info("job fails no more", "job", j.id, "tries", f.tries)
		j.notBefore = time.Time{}
		n.replan = true
		for _, o := range f.clearedMachines {
			if n.machines[o.name] == o && o != m {
				o.faults.addFailure(j.id, true, now)
				n.markStale(o)
			}
		}
	}
	*f = jobFailures{runningSince: f.runningSince, ranLongEnough: true}
}

// describeFailures describes the tries of a job that fails everywhere to operators.
func (j *job) describeFailures(now time.Time) string {
	next := max(0, int(j.notBefore.Sub(now).Seconds()))
	return fmt.Sprintf("its tasks fail on every machine: %d tries, the last on %s, the next in %d s", j.failures.tries, j.failures.lastMachine, next)
}
