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

// What the account says is held to two other truths: the machines' own log and what the
// run itself did to them.

// reportedJob is a job of a run.
type reportedJob struct {
	id              string
	tasks           int
	seconds         float64
	stalledAt       time.Time // when its tasks were made to stand still; zero: never
	reportedStuckAt time.Time // when it was first told to be stuck
}

// observedRow is a row with the time at which it was asked for.
type observedRow struct {
	ledger.Row
	requestedAt time.Time
	node        string
}

// completionTime is when the last task of a job was done, by the machines; zero: not yet.
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

// checkRows says what is wrong with what was told of a job, given what its machines ran.
// grace is how late an account may be.
func checkRows(job *reportedJob, rows []observedRow, events []machineEvent, grace time.Duration) (wrong []string) {
	completedAt := completionTime(events, job.id, job.tasks)
	for _, row := range rows {
		requestedAt := row.requestedAt.Format("05.000")
		switch {
		case row.State == ledger.Done && (completedAt.IsZero() || completedAt.After(row.requestedAt.Add(100*time.Millisecond))):
			wrong = append(wrong, fmt.Sprintf("%s: %s says done at %s, and it is not", job.id, row.node, requestedAt))
		case !completedAt.IsZero() && row.requestedAt.After(completedAt.Add(grace)) && row.State != ledger.Done && row.State != ledger.Unknown:
			wrong = append(wrong, fmt.Sprintf("%s: %s says %s at %s, %.1f s after it was done", job.id, row.node, row.State, requestedAt, row.requestedAt.Sub(completedAt).Seconds()))
		case row.State == ledger.Stuck && job.stalledAt.IsZero():
			wrong = append(wrong, fmt.Sprintf("%s: %s calls it stuck (%s), and it was not", job.id, row.node, row.Why))
		}
	}
	return wrong
}

// readAccount asks a node for all rows.
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

// reportResult is what a run showed.
type reportResult struct {
	rowsChecked, rowsUnknown int
	violations               []string
	stuckDelays              []time.Duration // from a stall until it is told
	err                      error
}

// reportRun is a run under way: jobs, what was done to them and what nodes told of them.
type reportRun struct {
	*reportResult
	site          *testSite
	rng           *rand.Rand
	jobs          []*reportedJob
	stalledJobs   []*reportedJob           // of those, the ones whose tasks are made to stand still
	rowsByJob     map[string][]observedRow // by job
	suspendedNode string                   // the node that stands still
}

func executeReportRun(ctx context.Context, bin, dir string, seed uint64) *reportResult {
	result := &reportResult{}
	site, err := startTestSite(ctx, bin, dir, 24, testSiteTimes)
	defer site.end()
	if err != nil {
		result.err = err
		return result
	}
	run := &reportRun{reportResult: result, site: site, rng: rand.New(rand.NewPCG(seed, 31)), rowsByJob: map[string][]observedRow{}}
	run.stallTwoJobs(ctx)
	run.injectFaults(ctx)
	run.awaitStallsReported(ctx)
	run.endStalls(ctx)
	run.awaitCompletion(ctx)
	run.checkAllRows()
	return result
}

// submit submits a job whose tasks run for some seconds.
func (r *reportRun) submit(ctx context.Context, seconds float64) *reportedJob {
	job := &reportedJob{id: fmt.Sprintf("job-%03d", len(r.jobs)+1), tasks: 1 + r.rng.IntN(4), seconds: seconds}
	competing := waitCondition{}
	if err := r.site.submit(ctx, job.id, competing.submission(job.id, job.tasks, seconds)); err != nil && r.err == nil {
		r.err = err
	}
	r.jobs = append(r.jobs, job)
	return job
}

func (r *reportRun) submitShortJob(ctx context.Context) *reportedJob {
	return r.submit(ctx, 2+2*r.rng.Float64())
}

// pollNodes asks all nodes but the one that stands still for their rows.
func (r *reportRun) pollNodes(ctx context.Context) {
	for i, api := range r.site.apis {
		node := fmt.Sprint("n-", i)
		if node == r.suspendedNode {
			continue
		}
		requestedAt := time.Now()
		rows, page, err := r.site.readAccount(ctx, api)
		if err != nil {
			continue // not known: nothing is said
		}
		r.checkTotals(ctx, api, node, rows, page)
		for id, row := range rows {
			r.recordRow(id, observedRow{row, requestedAt, node})
		}
	}
}

// checkTotals holds a node's sums and rows to the number of jobs accepted.
func (r *reportRun) checkTotals(ctx context.Context, api, node string, rows map[string]ledger.Row, page *ledger.Page) {
	if r.suspendedNode != "" || len(rows) == len(r.jobs) && sumCounts(page.JobsByState) == len(rows) {
		return
	}
	// A job may have been accepted a moment ago by the other node, or a share be on its way
	// from one to the other while pages are asked for.
	time.Sleep(600 * time.Millisecond)
	secondRows, page, err := r.site.readAccount(ctx, api)
	if err == nil && (len(secondRows) != len(r.jobs) || len(page.Unknown) == 0 && sumCounts(page.JobsByState) != len(secondRows)) {
		r.violations = append(r.violations, fmt.Sprintf("%s tells of %d jobs in %d rows, %d were accepted", node, sumCounts(page.JobsByState), len(secondRows), len(r.jobs)))
	}
}

// recordRow keeps a row, and when a stalled job was first told to be stuck.
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

// stallTwoJobs submits jobs, waits until two of them run and makes these stand still.
func (r *reportRun) stallTwoJobs(ctx context.Context) {
	for range 6 {
		r.submitShortJob(ctx)
	}
	r.stalledJobs = []*reportedJob{r.submit(ctx, 3), r.submit(ctx, 3)}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && r.site.runningTasks(ctx, r.stalledJobs[1].id) == 0; r.pollNodes(ctx) {
		time.Sleep(200 * time.Millisecond)
	}
	for _, job := range r.stalledJobs {
		postToCloud(ctx, r.site, "/stall/"+job.id+"/true")
		job.stalledAt = time.Now()
	}
}

// injectFaults lets a machine vanish and controllers stand still while work goes on.
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

func (r *reportRun) killMachine(ctx context.Context) {
	var list protocol.MachineList
	if _, body, err := r.site.call(ctx, "GET", r.site.cloudAddr, "/hosts", nil); err == nil && json.Unmarshal(body, &list) == nil && len(list.Machines) > 0 {
		postToCloud(ctx, r.site, "/kill/"+list.Machines[r.rng.IntN(len(list.Machines))].ID)
	}
}

// suspendController makes a controller stand still for a while. The other one must say unknown
// of its jobs until it has taken them over.
func (r *reportRun) suspendController(ctx context.Context) {
	r.suspendedNode = fmt.Sprint("n-", r.rng.IntN(2))
	r.site.signal(syscall.SIGSTOP, r.suspendedNode)
	for range 3 + r.rng.IntN(8) {
		time.Sleep(300 * time.Millisecond)
		r.pollNodes(ctx)
	}
	r.site.signal(syscall.SIGCONT, r.suspendedNode)
	r.suspendedNode = ""
	time.Sleep(4 * time.Second)
}

// awaitStallsReported asks until both stalls are told, or have had a minute for it.
func (r *reportRun) awaitStallsReported(ctx context.Context) {
	waitUntil(ctx, 70*time.Second, func() bool {
		r.pollNodes(ctx)
		events, _ := readMachineEvents(r.site.eventsPath)
		pending := false
		for _, job := range r.stalledJobs {
			job.restartStallClock(events)
			pending = pending || job.reportedStuckAt.IsZero() && time.Since(job.stalledAt) < time.Minute
		}
		return !pending
	})
}

// restartStallClock counts a stall from the last start: a run that is lost meanwhile stalls anew on
// another machine, and then that is the cause.
func (j *reportedJob) restartStallClock(events []machineEvent) {
	for _, e := range events {
		job, _, ok := protocol.ParseTaskID(e.Task)
		if at := time.Unix(0, e.At); ok && job == j.id && e.Event == "start" && at.After(j.stalledAt) && j.reportedStuckAt.IsZero() {
			j.stalledAt = at
		}
	}
}

// endStalls lets the stalled jobs go on, and says which were told late or not at all.
func (r *reportRun) endStalls(ctx context.Context) {
	for _, job := range r.stalledJobs {
		postToCloud(ctx, r.site, "/stall/"+job.id+"/false")
		switch delay := job.reportedStuckAt.Sub(job.stalledAt); {
		case job.reportedStuckAt.IsZero():
			r.violations = append(r.violations, job.id+": stalled, and not told as stuck")
		case delay > time.Minute:
			r.violations = append(r.violations, fmt.Sprintf("%s: told as stuck after %v", job.id, delay))
		default:
			r.stuckDelays = append(r.stuckDelays, delay)
		}
	}
}

// awaitCompletion asks until the machines have done all jobs, and once more a while later.
func (r *reportRun) awaitCompletion(ctx context.Context) {
	waitUntil(ctx, 40*time.Second, func() bool {
		r.pollNodes(ctx)
		time.Sleep(500 * time.Millisecond)
		events, err := readMachineEvents(r.site.eventsPath)
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

// maxAccountDelay is how late an account may be: a controller that stood still stores and tells
// late, by its stop and a take-over.
const maxAccountDelay = 12 * time.Second

// checkAllRows holds all rows to what the machines ran.
func (r *reportRun) checkAllRows() {
	events, err := readMachineEvents(r.site.eventsPath)
	if err != nil {
		r.err = err
		return
	}
	for _, job := range r.jobs {
		rows := r.rowsByJob[job.id]
		r.violations = append(r.violations, checkRows(job, rows, events, maxAccountDelay)...)
		if len(rows) == 0 || rows[len(rows)-1].State != ledger.Done {
			r.violations = append(r.violations, job.id+": not told as done in the end")
		}
	}
}

func sumCounts(counts map[string]int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}

func reportProofCommand() *cobra.Command {
	return newProofCommand("report", "Stall workers, lose machines, stop controllers, and hold the account to what machines ran", 6, 6, proveReport)
}

func proveReport(ctx context.Context, out io.Writer, options runOptions) error {
	stuckDelays := newLatencies()
	figures := struct {
		runTotals
		Rows    int     `json:"rows_checked"`
		Unknown int     `json:"rows_not_known"`
		Wrong   int     `json:"wrong"`
		Shown   int64   `json:"stalls_shown"`
		Median  float64 `json:"shown_after_median_s"`
		Max     float64 `json:"shown_after_max_s"`
	}{}
	var err error
	figures.runTotals, err = options.executeRuns(ctx, out, "report", func(bin, dir string, seed uint64) (func(), runOutcome) {
		result := executeReportRun(ctx, bin, dir, seed)
		return func() {
			figures.Rows, figures.Unknown, figures.Wrong = figures.Rows+result.rowsChecked, figures.Unknown+result.rowsUnknown, figures.Wrong+len(result.violations)
			stuckDelays.record(result.stuckDelays...)
		}, runOutcome{fmt.Sprintf("%d rows checked, %d of them not known", result.rowsChecked, result.rowsUnknown), result.violations, result.err}
	})
	if err != nil {
		return err
	}
	figures.Shown, figures.Median, figures.Max = stuckDelays.count(), stuckDelays.quantileSeconds(50), stuckDelays.maxSeconds()
	if err := printFigures(out, figures); err != nil {
		return err
	}
	return figures.err()
}
