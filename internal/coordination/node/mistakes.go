package node

import (
	"fmt"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// A task ends with an error mostly because its machine is faulty, but a job may
// have been submitted with a mistake: then it fails on every machine until its user
// cancels it. The two are told apart by evidence: the same job failing on several
// machines without one of its tasks doing well, and other jobs doing well there.

// jobFailures is what is known of a job whose tasks ended with an error.
type jobFailures struct {
	machines        []*machine // on which they did, until a task did well
	clearedMachines []*machine // those that were not blamed any more when it was taken for mistaken
	failsEverywhere bool       // taken for submitted with a mistake
	tries           int        // since then
	fromAttempt     uint64     // attempts before this one were started before that
	lastMachine     string     // the machine of the last error
	ranSince        time.Time  // since when a task has been seen running
	ranWell         bool       // a task ran for longer than a mistake takes to show
}

const (
	// minGoodRun is how long a task must run to have done well.
	minGoodRun = 5 * time.Second
	// maxRetryPause is the longest time between two tries of a job with a mistake.
	maxRetryPause = 60 * time.Second
)

// machineFaults is what speaks against a machine, since a task that started after it began has
// done well there.
type machineFaults struct {
	jobs     []string  // on which a task failed there
	failures int       // of tasks of jobs that do well elsewhere
	since    time.Time // zero: nothing does
}

// enoughFailures is how many jobs, or tasks of jobs that do well elsewhere, make a machine
// count as faulty. Tasks that run there already and go on say nothing: it may fail what it
// starts. (On simulated days such machines failed up to 167 tasks and were kept for minutes,
// since each report of the others cleared them.)
const enoughFailures = 3

// addFailure notes a failure. proven says that the job does well elsewhere.
func (x *machineFaults) addFailure(job string, proven bool, now time.Time) {
	if x.since.IsZero() {
		x.since = now
	}
	if proven {
		x.failures++
	}
	if !slices.Contains(x.jobs, job) {
		x.jobs = append(x.jobs, job)
	}
}

// removeFailuresOf takes a job's failures back: they were its own.
func (x *machineFaults) removeFailuresOf(job string) {
	x.jobs = slices.DeleteFunc(x.jobs, func(id string) bool { return id == job })
	if len(x.jobs) == 0 && x.failures == 0 {
		*x = machineFaults{}
	}
}

func (x *machineFaults) faulty() bool {
	return len(x.jobs) >= enoughFailures || x.failures >= enoughFailures
}

// mostUnproven is on how many machines a job may fail since it last did well, and still
// speak against each of them by itself.
const mostUnproven = 4

// noteTaskFailure notes that a task of a job ended with an error on a machine. As long as
// it may be the machine's fault, the task starts elsewhere at once and the machine
// is avoided; three jobs that fail there in a row, or three tasks of jobs that do well
// elsewhere, and it is given back.
func (n *Node) noteTaskFailure(j *job, attempt uint64, m *machine, now time.Time) {
	f := &j.failures
	f.lastMachine = m.name
	n.markStale(m)
	f.ranSince = time.Time{}
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
	}
	// A service whose other tasks run is well; an array or a gang of which nothing
	// was ever completed may still fail in the middle of each run. Machines on which jobs
	// fail that do well elsewhere say nothing about this one.
	others := 0
	for _, o := range f.machines {
		if o.faults.failures == 0 {
			others++
		}
	}
	if enough := 3; others >= enough && j.nDone == 0 && j.spec.Shape != protocol.Service || others >= enough-1 && j.nDone == 0 && !f.ranWell {
		n.log.Info("job fails on every machine", "job", j.id, "class", j.spec.Class, "team", j.spec.Team, "machines", len(f.machines))
		f.failsEverywhere, f.tries, f.fromAttempt = true, 1, j.nextAttempt
		j.backOffRetries(now)
		// It is not the machines' fault.
		for _, o := range f.machines {
			o.faults.removeFailuresOf(j.id)
			n.markStale(o)
			if o.faults.since.IsZero() {
				o.avoidUntil = time.Time{}
			}
		}
		f.machines, f.clearedMachines = nil, f.machines
		return
	}
	proven := (j.nDone > 0 || f.ranWell) && len(f.machines) < mostUnproven
	m.faults.addFailure(j.id, proven, now)
	m.avoidUntil = now.Add(time.Duration(len(m.faults.jobs)) * 5 * time.Second)
}

// backOffRetries says when a job with a mistake is tried again: more and more seldom.
func (j *job) backOffRetries(now time.Time) {
	j.notBefore = now.Add(min(maxRetryPause, time.Second<<min(j.failures.tries, 6)))
}

// noteTaskSuccess notes that a task of a job runs, or is done: then it has no mistake, and
// its machine is not faulty, if the task started after it was suspected.
func (n *Node) noteTaskSuccess(j *job, t *task, m *machine, isDone bool, now time.Time) {
	if x := &m.faults; !x.since.IsZero() && t.phaseSince.After(x.since) {
		*x = machineFaults{}
		n.markStale(m)
	}
	f := &j.failures
	if f.ranSince.IsZero() {
		f.ranSince = now
	}
	if !isDone && now.Sub(f.ranSince) < minGoodRun {
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
	*f = jobFailures{ranSince: f.ranSince, ranWell: true}
}

// describeFailures tells operators how a job with a mistake is doing.
func (j *job) describeFailures(now time.Time) string {
	next := max(0, int(j.notBefore.Sub(now).Seconds()))
	return fmt.Sprintf("its tasks fail on every machine: %d tries, the last on %s, the next in %d s", j.failures.tries, j.failures.lastMachine, next)
}
