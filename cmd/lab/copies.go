package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/protocol"
)

// The copies proof delivers copies of direct commands that the workers have carried out and answered,
// while tasks fail, jobs are cancelled and controllers are killed and back within a second. No start
// in a copy may change anything, and no rule may break.

// copiesTimes are the times and limits of a site whose workers report rarely, so that tasks are
// started directly.
var copiesTimes = times{workerLease: 10, reportInterval: 4, cancelBound: 30, writeRPS: 150, maxTeamGPUs: 4000, copyRate: 0.9, copyMaxDelay: 15 * time.Second}

// copiesReport is what the stand-in reports of the copies; see copyReport there.
type copiesReport struct {
	Copies     int
	Changed    int
	Meetings   map[string]int
	Violations []string
}

// add adds the counts of another report.
func (r *copiesReport) add(other copiesReport) {
	r.Copies += other.Copies
	r.Changed += other.Changed
	for meeting, count := range other.Meetings {
		r.Meetings[meeting] += count
	}
}

// copiesRun is a run in progress.
type copiesRun struct {
	site        *testSite
	rng         *rand.Rand
	tasks       map[string]int       // number of tasks by job id, of the jobs that must be done in the end
	cancelledAt map[string]time.Time // when the cancellation was confirmed, by job id
	violations  []string
	report      copiesReport
	err         error
}

// executeCopiesRun submits jobs in rounds with restarts between them, waits for the latest copy, and
// checks what the machines ran.
func executeCopiesRun(ctx context.Context, bin, dir string, seed uint64, machines, rounds int) *copiesRun {
	run := &copiesRun{rng: rand.New(rand.NewPCG(seed, 67)), tasks: map[string]int{}, cancelledAt: map[string]time.Time{}}
	timing := copiesTimes
	timing.copySeed = seed
	run.site, run.err = startTestSite(ctx, bin, dir, machines, timing)
	defer run.site.end()
	for round := 0; round < rounds && run.err == nil; round++ {
		run.playRound(ctx, round)
	}
	if run.err != nil {
		return run
	}
	violations, _, err := run.site.awaitJobsDone(ctx, run.tasks)
	run.violations, run.err = append(run.violations, violations...), err
	sleepContext(ctx, timing.copyMaxDelay)
	run.checkCancelled()
	run.readReport(ctx)
	return run
}

// arraysPerRound is how many arrays that run to their end a round submits.
const arraysPerRound = 3

// playRound submits some arrays, one whose tasks fail for a while and one that is cancelled, and restarts
// one or both controllers within a second.
func (r *copiesRun) playRound(ctx context.Context, round int) {
	id := func(kind int) string { return fmt.Sprintf("job-%02d%05d", kind, round) }
	const array, failing, cancelled = 1, 2, 3
	for kind := range arraysPerRound {
		r.submit(ctx, id(array+10*kind))
		sleepContext(ctx, randomDuration(r.rng, 100*time.Millisecond, 500*time.Millisecond))
	}
	if postToCloud(ctx, r.site, "/mistaken/"+id(failing)+"/true") == nil {
		r.submit(ctx, id(failing))
	}
	r.submit(ctx, id(cancelled))
	delete(r.tasks, id(cancelled))
	sleepContext(ctx, randomDuration(r.rng, 500*time.Millisecond, 2500*time.Millisecond))
	if err := postToCloud(ctx, r.site, "/mistaken/"+id(failing)+"/false"); err != nil && r.err == nil {
		r.err = err
	}
	r.cancel(ctx, id(cancelled))
	restarted := 1 + r.rng.IntN(2)
	for _, i := range r.rng.Perm(2)[:restarted] {
		controller := r.site.childProcess(fmt.Sprint("n-", i))
		controller.kill()
		sleepContext(ctx, randomDuration(r.rng, 0, 500*time.Millisecond))
		if err := controller.start(); err != nil {
			r.err = err
		}
	}
	sleepContext(ctx, randomDuration(r.rng, time.Second, 3*time.Second))
}

// submit submits an array of 2 to 5 tasks that run for 1 to 3 s.
func (r *copiesRun) submit(ctx context.Context, id string) {
	r.tasks[id] = 2 + r.rng.IntN(4)
	team := []string{"red", "blue"}[len(r.tasks)%2]
	if err := r.site.submit(ctx, id, jobSubmission(id, team, r.tasks[id], 1+2*r.rng.Float64())); err != nil && r.err == nil {
		r.err = err
	}
}

// cancel cancels a job, and records when that was confirmed if it was not done before.
func (r *copiesRun) cancel(ctx context.Context, id string) {
	waitUntil(ctx, 30*time.Second, func() bool {
		var job protocol.JobStatus
		status, body, err := r.site.call(ctx, "POST", r.site.apis[r.rng.IntN(2)], "/api/jobs/"+id+"/cancel", nil)
		if err != nil || status != 200 || json.Unmarshal(body, &job) != nil {
			return false
		}
		if job.Status == protocol.JobCancelled {
			r.cancelledAt[id] = time.Now()
		}
		return true
	})
}

// checkCancelled finds tasks that started after the cancellation of their job was confirmed.
func (r *copiesRun) checkCancelled() {
	events, err := readMachineEvents(r.site.eventsPath)
	if err != nil {
		r.err = err
		return
	}
	for _, event := range events {
		job, _, _ := protocol.ParseTaskID(event.Task)
		if at, cancelled := r.cancelledAt[job]; cancelled && event.Event == "start" && event.At > at.UnixNano() {
			r.violations = append(r.violations, fmt.Sprintf("%s started on %s after its cancellation was confirmed", event.Task, event.Machine))
		}
	}
}

// readReport reads what the machines saw of the copies.
func (r *copiesRun) readReport(ctx context.Context) {
	status, body, err := r.site.call(ctx, "GET", r.site.cloudAddr, "/copies", nil)
	if err == nil && status != 200 {
		err = fmt.Errorf("status %d", status)
	}
	if err == nil {
		err = json.Unmarshal(body, &r.report)
	}
	if err != nil {
		r.err = err
		return
	}
	r.violations = append(r.violations, r.report.Violations...)
	if r.report.Changed > 0 {
		r.violations = append(r.violations, fmt.Sprintf("%d of %d copies changed something", r.report.Changed, r.report.Copies))
	}
	if r.report.Copies == 0 {
		r.err = fmt.Errorf("no command was copied")
	}
}

// copiesProofCommand returns the subcommand of the copies proof.
func copiesProofCommand() *cobra.Command {
	machines, rounds := 12, 6
	command := newProofCommand("copies", "Deliver copies of answered direct commands beside restarts within a second, and check that they change nothing", 4, 4, func(ctx context.Context, out io.Writer, options runOptions) error {
		if err := checkRange("machines", machines, 2, 200); err != nil {
			return err
		}
		if err := checkRange("rounds", rounds, 1, 500); err != nil {
			return err
		}
		return proveCopies(ctx, out, options, machines, rounds)
	})
	command.Flags().IntVar(&machines, "machines", machines, "most machines at a time")
	command.Flags().IntVar(&rounds, "rounds", rounds, "rounds of jobs and restarts in a run")
	return command
}

// proveCopies executes the runs and prints the figures.
func proveCopies(ctx context.Context, out io.Writer, options runOptions, machines, rounds int) error {
	total := copiesReport{Meetings: map[string]int{}}
	totals, err := options.executeRuns(ctx, out, "copies", func(bin, dir string, seed uint64) (func(), runOutcome) {
		run := executeCopiesRun(ctx, bin, dir, seed, machines, rounds)
		summary := fmt.Sprintf("%d jobs, %d cancelled, %d copies", len(run.tasks)+len(run.cancelledAt), len(run.cancelledAt), run.report.Copies)
		return func() { total.add(run.report) }, runOutcome{summary, run.violations, run.err}
	})
	if err != nil {
		return err
	}
	figures := struct {
		runTotals
		Copies   int            `json:"copies"`
		Changed  int            `json:"copies_with_effect"`
		Meetings map[string]int `json:"meetings"`
	}{totals, total.Copies, total.Changed, total.Meetings}
	if err := printFigures(out, figures); err != nil {
		return err
	}
	return figures.err()
}
