package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/url"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/ledger"
	"dapplestage.example/dapplestage/internal/protocol"
)

// The report proof checks the rows of the account against two independent sources: the event log of
// the machines, and the faults that the run injected.

// reportedJob is a job that a run submitted.
type reportedJob struct {
	id              string
	tasks           int
	seconds         float64
	stalledAt       time.Time // when its tasks were stalled; zero: never
	reportedStuckAt time.Time // when a row first gave its state as stuck; zero: never
}

// observedRow is a row of the account, with the node that returned it and the time of the request.
type observedRow struct {
	ledger.Row
	requestedAt time.Time
	node        string
}

// completionTime returns when the last task of a job was done, by the machines' event log; zero if
// some task is not done.
func completionTime(events []machineEvent, id string, tasks int) (completedAt time.Time) {
	completedTasks := map[string]bool{}
	for _, e := range events {
		if job, _, ok := protocol.ParseTaskID(e.Task); ok && job == id && e.Event == "done" && !completedTasks[e.Task] {
			completedTasks[e.Task] = true
			if len(completedTasks) == tasks {
				return time.Unix(0, e.At)
			}
		}
	}
	return time.Time{}
}

// checkRows returns the rows of a job that contradict the machines' event log. A row may be outdated
// by up to the grace period.
func checkRows(job *reportedJob, rows []observedRow, events []machineEvent, grace time.Duration) (violations []string) {
	completedAt := completionTime(events, job.id, job.tasks)
	for _, row := range rows {
		requestTime := row.requestedAt.Format("05.000")
		switch {
		case row.State == ledger.Done && (completedAt.IsZero() || completedAt.After(row.requestedAt.Add(100*time.Millisecond))):
			violations = append(violations, fmt.Sprintf("%s: %s says done at %s, and it is not", job.id, row.node, requestTime))
		case !completedAt.IsZero() && row.requestedAt.After(completedAt.Add(grace)) && row.State != ledger.Done && row.State != ledger.Unknown:
			violations = append(violations, fmt.Sprintf("%s: %s says %s at %s, %.1f s after it was done", job.id, row.node, row.State, requestTime, row.requestedAt.Sub(completedAt).Seconds()))
		case row.State == ledger.Stuck && job.stalledAt.IsZero():
			violations = append(violations, fmt.Sprintf("%s: %s calls it stuck (%s), and it was not", job.id, row.node, row.Why))
		}
	}
	return violations
}

// readAccount reads all rows of the account from a node, and the last page.
func (site *testSite) readAccount(ctx context.Context, api string) (map[string]ledger.Row, *ledger.Page, error) {
	rows := map[string]ledger.Row{}
	after := ""
	for {
		status, body, err := site.call(ctx, "GET", api, "/admin/account?limit=50&after="+url.QueryEscape(after), nil)
		if err != nil || status != 200 {
			return nil, nil, fmt.Errorf("account: %d %v", status, err)
		}
		var page ledger.Page
		if err := json.Unmarshal(body, &page); err != nil {
			return nil, nil, err
		}
		for _, row := range page.Rows {
			rows[row.Job] = row
		}
		if after = page.After; after == "" {
			return rows, &page, nil
		}
	}
}

// reportResult holds the counts, violations and measured times of one run.
type reportResult struct {
	rowsChecked, rowsUnknown int
	violations               []string
	stuckDelays              []time.Duration // from a stall to the first row that reports it
	err                      error
}

// reportRun is a run in progress: its jobs, the faults injected so far and the rows read so far.
type reportRun struct {
	*reportResult
	testSite      *testSite
	rng           *rand.Rand
	jobs          []*reportedJob
	stalledJobs   []*reportedJob           // those of jobs whose tasks are stalled
	rowsByJob     map[string][]observedRow // by job id
	suspendedNode string                   // the node that is suspended; empty: none
}

// executeReportRun executes one run at a test site.
func executeReportRun(ctx context.Context, bin, dir string, seed uint64) *reportResult {
	result := &reportResult{}
	site, err := startTestSite(ctx, bin, dir, 24, testSiteTimes)
	defer site.end()
	if err != nil {
		result.err = err
		return result
	}
	run := &reportRun{reportResult: result, testSite: site, rng: rand.New(rand.NewPCG(seed, 31)), rowsByJob: map[string][]observedRow{}}
	run.stallTwoJobs(ctx)
	run.injectFaults(ctx)
	run.awaitStallsReported(ctx)
	run.endStalls(ctx)
	run.awaitCompletion(ctx)
	run.checkAllRows()
	return result
}

// submit submits a job of one to four tasks that run for the given number of seconds.
func (r *reportRun) submit(ctx context.Context, seconds float64) *reportedJob {
	job := &reportedJob{id: fmt.Sprintf("job-%03d", len(r.jobs)+1), tasks: 1 + r.rng.IntN(4), seconds: seconds}
	template := waitCondition{}
	if err := r.testSite.submit(ctx, job.id, template.submission(job.id, job.tasks, seconds)); err != nil && r.err == nil {
		r.err = err
	}
	r.jobs = append(r.jobs, job)
	return job
}

// submitShortJob submits a job whose tasks run for 2 to 4 s.
func (r *reportRun) submitShortJob(ctx context.Context) *reportedJob {
	return r.submit(ctx, 2+2*r.rng.Float64())
}

// pollNodes reads the account from all nodes that are not suspended, and records the rows.
func (r *reportRun) pollNodes(ctx context.Context) {
	for i, api := range r.testSite.apis {
		node := fmt.Sprint("n-", i)
		if node == r.suspendedNode {
			continue
		}
		requestedAt := time.Now()
		rows, page, err := r.testSite.readAccount(ctx, api)
		if err != nil {
			continue // no answer, so there is nothing to check
		}
		r.checkTotals(ctx, api, node, rows, page)
		for id, row := range rows {
			r.recordRow(id, observedRow{row, requestedAt, node})
		}
	}
}

// checkTotals checks a node's rows and totals against the number of accepted jobs.
func (r *reportRun) checkTotals(ctx context.Context, api, node string, rows map[string]ledger.Row, page *ledger.Page) {
	if r.suspendedNode != "" || len(rows) == len(r.jobs) && sumCounts(page.JobsByState) == len(rows) {
		return
	}
	// The other node may just have accepted a job, or a partition may have changed its owner between
	// two pages, so a mismatch only counts if it persists.
	time.Sleep(600 * time.Millisecond)
	secondRows, page, err := r.testSite.readAccount(ctx, api)
	if err == nil && (len(secondRows) != len(r.jobs) || len(page.Unknown) == 0 && sumCounts(page.JobsByState) != len(secondRows)) {
		r.violations = append(r.violations, fmt.Sprintf("%s tells of %d jobs in %d rows, %d were accepted", node, sumCounts(page.JobsByState), len(secondRows), len(r.jobs)))
	}
}

// recordRow stores a row. For a stalled job it notes when a row first reports it as stuck.
func (r *reportRun) recordRow(id string, row observedRow) {
	r.rowsChecked++
	if row.State == ledger.Unknown {
		r.rowsUnknown++
	}
	r.rowsByJob[id] = append(r.rowsByJob[id], row)
	for _, job := range r.jobs {
		if job.id == id && row.State == ledger.Stuck && job.reportedStuckAt.IsZero() && !job.stalledAt.IsZero() {
			job.reportedStuckAt = time.Now()
		}
	}
}

// stallTwoJobs submits eight jobs, waits until the last one runs, and stalls the last two.
func (r *reportRun) stallTwoJobs(ctx context.Context) {
	for range 6 {
		r.submitShortJob(ctx)
	}
	r.stalledJobs = []*reportedJob{r.submit(ctx, 3), r.submit(ctx, 3)}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline) && r.testSite.runningTasks(ctx, r.stalledJobs[1].id) == 0; r.pollNodes(ctx) {
		time.Sleep(200 * time.Millisecond)
	}
	for _, job := range r.stalledJobs {
		postToCloud(ctx, r.testSite, "/stall/"+job.id+"/true")
		job.stalledAt = time.Now()
	}
}

// injectFaults kills a machine once and suspends a controller twice, while it submits jobs and polls
// the nodes.
func (r *reportRun) injectFaults(ctx context.Context) {
	faults := r.rng.Perm(3)
	startedAt := time.Now()
	for step := 0; time.Since(startedAt) < 50*time.Second && ctx.Err() == nil; step++ {
		time.Sleep(500 * time.Millisecond)
		r.pollNodes(ctx)
		if step%12 == 6 {
			r.submitShortJob(ctx)
		}
		if step%16 != 8 || step/16 >= len(faults) {
			continue
		}
		if faults[step/16] == 0 {
			r.killMachine(ctx)
		} else {
			r.suspendController(ctx)
		}
	}
}

// killMachine kills a random machine.
func (r *reportRun) killMachine(ctx context.Context) {
	var machines protocol.MachineList
	if _, body, err := r.testSite.call(ctx, "GET", r.testSite.cloudAddr, "/hosts", nil); err == nil && json.Unmarshal(body, &machines) == nil && len(machines.Machines) > 0 {
		postToCloud(ctx, r.testSite, "/kill/"+machines.Machines[r.rng.IntN(len(machines.Machines))].ID)
	}
}

// suspendController suspends a controller for 0.9 to 3 s while it polls the other one. The other one
// must report the jobs of the suspended one as unknown until it has taken them over.
func (r *reportRun) suspendController(ctx context.Context) {
	r.suspendedNode = fmt.Sprint("n-", r.rng.IntN(2))
	r.testSite.signal(syscall.SIGSTOP, r.suspendedNode)
	for range 3 + r.rng.IntN(8) {
		time.Sleep(300 * time.Millisecond)
		r.pollNodes(ctx)
	}
	r.testSite.signal(syscall.SIGCONT, r.suspendedNode)
	r.suspendedNode = ""
	time.Sleep(4 * time.Second)
}

// awaitStallsReported polls the nodes until both stalled jobs are reported as stuck, or a minute has
// passed since they stalled.
func (r *reportRun) awaitStallsReported(ctx context.Context) {
	waitUntil(ctx, 70*time.Second, func() bool {
		r.pollNodes(ctx)
		events, _ := readMachineEvents(r.testSite.eventsPath)
		pending := false
		for _, job := range r.stalledJobs {
			job.restartStallClock(events)
			pending = pending || job.reportedStuckAt.IsZero() && time.Since(job.stalledAt) < time.Minute
		}
		return !pending
	})
}

// restartStallClock sets the time of a stall to the last start of a task. A task that is lost
// meanwhile is started again on another machine and stalls there, and that is the stall to report.
func (j *reportedJob) restartStallClock(events []machineEvent) {
	for _, e := range events {
		job, _, ok := protocol.ParseTaskID(e.Task)
		if at := time.Unix(0, e.At); ok && job == j.id && e.Event == "start" && at.After(j.stalledAt) && j.reportedStuckAt.IsZero() {
			j.stalledAt = at
		}
	}
}

// endStalls ends the stalls, and records a violation for a stalled job that was reported late or not
// at all.
func (r *reportRun) endStalls(ctx context.Context) {
	for _, job := range r.stalledJobs {
		postToCloud(ctx, r.testSite, "/stall/"+job.id+"/false")
		switch delay := job.reportedStuckAt.Sub(job.stalledAt); {
		case job.reportedStuckAt.IsZero():
			r.violations = append(r.violations, job.id+": stalled, but not reported as stuck")
		case delay > time.Minute:
			r.violations = append(r.violations, fmt.Sprintf("%s: reported as stuck after %v", job.id, delay))
		default:
			r.stuckDelays = append(r.stuckDelays, delay)
		}
	}
}

// awaitCompletion polls the nodes until the machines have completed all jobs, and once more 4 s
// later.
func (r *reportRun) awaitCompletion(ctx context.Context) {
	waitUntil(ctx, 40*time.Second, func() bool {
		r.pollNodes(ctx)
		time.Sleep(500 * time.Millisecond)
		events, err := readMachineEvents(r.testSite.eventsPath)
		for _, job := range r.jobs {
			if err != nil || completionTime(events, job.id, job.tasks).IsZero() {
				return false
			}
		}
		return true
	})
	time.Sleep(4 * time.Second)
	r.pollNodes(ctx)
}

// maxAccountDelay is how long a row may be outdated. A controller that was suspended stores and
// reports late, by the time of its suspension and of a takeover.
const maxAccountDelay = 12 * time.Second

// checkAllRows checks the recorded rows of all jobs, of which the last must be done.
func (r *reportRun) checkAllRows() {
	events, err := readMachineEvents(r.testSite.eventsPath)
	if err != nil {
		r.err = err
		return
	}
	for _, job := range r.jobs {
		rows := r.rowsByJob[job.id]
		r.violations = append(r.violations, checkRows(job, rows, events, maxAccountDelay)...)
		if len(rows) == 0 || rows[len(rows)-1].State != ledger.Done {
			r.violations = append(r.violations, job.id+": not reported as done in the end")
		}
	}
}

// sumCounts returns the sum of the map's values.
func sumCounts(counts map[string]int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}

// reportProofCommand returns the subcommand that checks the account.
func reportProofCommand() *cobra.Command {
	return newProofCommand("report", "Stall workers, kill machines, suspend controllers, and check the account against what machines ran", 6, 6, proveReport)
}

// proveReport executes the runs and prints their figures.
func proveReport(ctx context.Context, out io.Writer, options runOptions) error {
	stuckDelays := newLatencies()
	figures := struct {
		runTotals
		Rows           int     `json:"rows_checked"`
		Unknown        int     `json:"rows_not_known"`
		Violations     int     `json:"wrong"`
		StallsReported int64   `json:"stalls_shown"`
		ReportedMedian float64 `json:"shown_after_median_s"`
		ReportedMax    float64 `json:"shown_after_max_s"`
	}{}
	var err error
	figures.runTotals, err = options.executeRuns(ctx, out, "report", func(bin, dir string, seed uint64) (func(), runOutcome) {
		result := executeReportRun(ctx, bin, dir, seed)
		return func() {
			figures.Rows, figures.Unknown, figures.Violations = figures.Rows+result.rowsChecked, figures.Unknown+result.rowsUnknown, figures.Violations+len(result.violations)
			stuckDelays.record(result.stuckDelays...)
		}, runOutcome{fmt.Sprintf("%d rows checked, %d of them not known", result.rowsChecked, result.rowsUnknown), result.violations, result.err}
	})
	if err != nil {
		return err
	}
	figures.StallsReported, figures.ReportedMedian, figures.ReportedMax = stuckDelays.count(), stuckDelays.quantileSeconds(50), stuckDelays.maxSeconds()
	if err := printFigures(out, figures); err != nil {
		return err
	}
	return figures.err()
}
