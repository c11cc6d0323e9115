package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/node"
	"dapplestage.example/dapplestage/internal/protocol"
)

// restartTimes are the times and limits of a site whose controllers are all down for a while. The
// workers' lease outlasts that time, so running tasks are not lost.
var restartTimes = times{workerLease: 9, reportInterval: 1.5, cancelBound: 22, writeRPS: 150, maxTeamGPUs: 4000}

// startResult holds the counts, violations and measured times of one run.
type startResult struct {
	servingDelays, halfReconciledDelays, reconciledDelays []time.Duration // from the restart of the last controller
	ordersGiven, ordersHeldBack                           map[string]int  // by kind of order
	serviceTasksEnded                                     int             // tasks of services that ended although no user cancelled them
	violations                                            []string
	err                                                   error
}

// partitionStatuses returns the status of each partition as reported by its owner, by partition. It
// returns false if a controller does not answer.
func (site *testSite) partitionStatuses(ctx context.Context) (map[int]node.PartitionStatus, bool) {
	statuses := map[int]node.PartitionStatus{}
	for i, api := range site.apis {
		var nodeStatus node.Status
		status, body, err := site.call(ctx, "GET", api, "/admin/status", nil)
		if err != nil || status != 200 || json.Unmarshal(body, &nodeStatus) != nil {
			return nil, false
		}
		for _, partition := range nodeStatus.Shares {
			if partition.Holder == fmt.Sprint("n-", i) && partition.Phase != "" {
				statuses[partition.Share] = partition
			}
		}
	}
	return statuses, true
}

// countOrders adds the orders that each controller has given or held back since its start, from its
// metrics.
func (site *testSite) countOrders(ctx context.Context, result *startResult) {
	for _, api := range site.apis {
		_, body, err := site.call(ctx, "GET", api, "/metrics", nil)
		if err != nil {
			continue
		}
		parser := expfmt.NewTextParser(model.UTF8Validation)
		families, err := parser.TextToMetricFamilies(strings.NewReader(string(body)))
		if err != nil {
			result.violations = append(result.violations, "metrics: "+err.Error())
			continue
		}
		for _, metric := range families["dapplestage_orders_total"].GetMetric() {
			labels := map[string]string{}
			for _, label := range metric.GetLabel() {
				labels[label.GetName()] = label.GetValue()
			}
			counts := result.ordersGiven
			if labels["outcome"] == "held_back" {
				counts = result.ordersHeldBack
			}
			counts[labels["order"]] += int(metric.GetCounter().GetValue())
		}
	}
}

// checkTaskEvents returns violations for tasks that ran on two machines at once and for jobs that
// were reported as done before all their tasks were. ended counts the tasks of services that ended.
func checkTaskEvents(events []machineEvent, tasks map[string]int, reportedDone map[string]bool) (violations []string, ended int) {
	runningOn := map[string]string{}
	completedByJob := map[string]map[string]bool{}
	for _, event := range events {
		job, _, ok := protocol.ParseTaskID(event.Task)
		if !ok {
			continue
		}
		switch event.Event {
		case "start":
			if current := runningOn[event.Task]; current != "" && current != event.Machine {
				violations = append(violations, fmt.Sprintf("%s started on %s while on %s", event.Task, event.Machine, current))
			}
			runningOn[event.Task] = event.Machine
		case "done":
			if completedByJob[job] == nil {
				completedByJob[job] = map[string]bool{}
			}
			completedByJob[job][event.Task] = true
			delete(runningOn, event.Task)
		default:
			if runningOn[event.Task] == event.Machine {
				delete(runningOn, event.Task)
			}
			if isService(job) {
				ended++
			}
		}
	}
	for id := range reportedDone {
		if len(completedByJob[id]) < tasks[id] {
			violations = append(violations, fmt.Sprintf("%s is called done with %d of %d tasks", id, len(completedByJob[id]), tasks[id]))
		}
	}
	return violations, ended
}

// startRun is a run in progress.
type startRun struct {
	*startResult
	testSite  *testSite
	rng       *rand.Rand
	tasks     map[string]int // number of tasks by job id
	shortJobs int            // number of arrays submitted so far
}

// executeStartRun starts services, restarts all controllers several times, and checks the jobs and the
// machines' events at the end.
func executeStartRun(ctx context.Context, bin, dir string, seed uint64, machines, starts int, timing times) *startResult {
	result := &startResult{ordersGiven: map[string]int{}, ordersHeldBack: map[string]int{}}
	site, err := startTestSite(ctx, bin, dir, machines, timing)
	defer site.end()
	if err != nil {
		result.err = err
		return result
	}
	run := &startRun{startResult: result, testSite: site, rng: rand.New(rand.NewPCG(seed, 41)), tasks: map[string]int{}}
	if !run.startServices(ctx, machines) {
		result.err = fmt.Errorf("the services did not start")
		return result
	}
	for range starts {
		if !run.restartControllers(ctx) || !run.awaitReconciled(ctx, time.Now()) {
			return result
		}
		time.Sleep(randomDuration(run.rng, time.Millisecond, 3*time.Second))
	}
	var violations []string
	violations, result.serviceTasksEnded, err = site.awaitJobsDone(ctx, run.tasks)
	result.violations = append(result.violations, violations...)
	if err != nil {
		result.err = err
	}
	site.countOrders(ctx, result)
	return result
}

// submit submits a job, of the teams in turn.
func (r *startRun) submit(ctx context.Context, id, shape string, taskCount int, seconds float64) {
	team := []string{"red", "blue"}[len(r.tasks)%2]
	r.tasks[id] = taskCount
	if err := r.testSite.submit(ctx, id, r.testSite.shapedJobSubmission(id, team, shape, taskCount, seconds)); err != nil && r.err == nil {
		r.err = err
	}
}

// tasksPerService is how many tasks each service of a run has.
const tasksPerService = 8

// startServices fills 60 % of the machines with services; a machine has room for four of their tasks.
// It returns false if the services do not run within 30 s.
func (r *startRun) startServices(ctx context.Context, machines int) bool {
	services := machines * 4 * 6 / 10 / tasksPerService
	id := func(i int) string { return fmt.Sprintf("job-8%05d", i) }
	for i := range services {
		r.submit(ctx, id(i), "standing", tasksPerService, 0)
	}
	return waitUntil(ctx, 30*time.Second, func() bool {
		running := 0
		for i := range services {
			running += r.testSite.runningTasks(ctx, id(i))
		}
		return running >= services*tasksPerService
	})
}

// restartControllers submits some jobs, kills all controllers, one shortly after the other, and starts
// them again. It returns false if the run can't continue.
func (r *startRun) restartControllers(ctx context.Context) bool {
	for range 3 + r.rng.IntN(3) {
		r.submit(ctx, fmt.Sprintf("job-1%05d", r.shortJobs), "sweep", 4+r.rng.IntN(12), 2+3*r.rng.Float64())
		r.shortJobs++
	}
	if r.testSite.mixedMachines {
		r.submit(ctx, fmt.Sprintf("job-3%05d", r.shortJobs), "gang", 1+r.rng.IntN(2), 2+3*r.rng.Float64())
	}
	time.Sleep(randomDuration(r.rng, 200*time.Millisecond, 1500*time.Millisecond))
	r.testSite.countOrders(ctx, r.startResult)
	var nodes []*childProcess
	for _, process := range r.testSite.procs {
		if strings.HasPrefix(process.name, "n-") {
			nodes = append(nodes, process)
		}
	}
	for _, process := range nodes {
		process.kill()
		time.Sleep(randomDuration(r.rng, time.Millisecond, 300*time.Millisecond))
	}
	time.Sleep(randomDuration(r.rng, 200*time.Millisecond, 2*time.Second))
	for _, i := range r.rng.Perm(len(nodes)) {
		if err := nodes[i].start(); err != nil {
			r.err = err
			return false
		}
		time.Sleep(randomDuration(r.rng, time.Millisecond, 700*time.Millisecond))
	}
	return true
}

// awaitReconciled measures the time from the restart of the last controller until both partitions are
// in the serving phase, and until half and all of their machines have reported. It returns false if
// that takes more than 30 s.
func (r *startRun) awaitReconciled(ctx context.Context, restartedAt time.Time) bool {
	var serving, halfReconciled, reconciled time.Duration
	if !waitUntil(ctx, 30*time.Second, func() bool {
		partitions, ok := r.testSite.partitionStatuses(ctx)
		elapsed := time.Since(restartedAt)
		if !ok || len(partitions) != 2 {
			return false
		}
		awaitingReport, machines, servingPartitions := 0, 0, 0
		for _, partition := range partitions {
			awaitingReport, machines = awaitingReport+partition.Unheard, machines+partition.Machines
			if partition.Phase == "serving" {
				servingPartitions++
			}
		}
		setOnce(&serving, elapsed, servingPartitions == 2)
		setOnce(&halfReconciled, elapsed, 2*awaitingReport <= machines)
		setOnce(&reconciled, elapsed, awaitingReport == 0)
		return serving > 0 && halfReconciled > 0 && reconciled > 0
	}) {
		r.violations = append(r.violations, fmt.Sprintf("not reconciled 30 s after the restart (serving after %v, half after %v)", serving, halfReconciled))
		return false
	}
	r.servingDelays, r.halfReconciledDelays, r.reconciledDelays = append(r.servingDelays, serving), append(r.halfReconciledDelays, halfReconciled), append(r.reconciledDelays, reconciled)
	return true
}

// setOnce sets target to the elapsed time when reached is true for the first time.
func setOnce(target *time.Duration, elapsed time.Duration, reached bool) {
	if reached && *target == 0 {
		*target = elapsed
	}
}

// awaitJobsDone polls until all jobs other than services are reported as done, or for a minute. It
// returns the violations found in the answers and in the machines' events, and the number of service
// tasks that ended.
func (site *testSite) awaitJobsDone(ctx context.Context, tasks map[string]int) (violations []string, ended int, err error) {
	completed := map[string]bool{}
	expected := 0
	for id := range tasks {
		if !isService(id) {
			expected++
		}
	}
	waitUntil(ctx, 60*time.Second, func() bool {
		for id := range tasks {
			if isService(id) {
				continue
			}
			var job protocol.JobStatus
			status, body, err := site.call(ctx, "GET", site.apis[len(completed)%2], "/api/jobs/"+id, nil)
			switch {
			case err != nil:
			case status == 404:
				violations = append(violations, id+" is forgotten")
			case status == 200 && json.Unmarshal(body, &job) == nil && job.Status == protocol.JobDone:
				completed[id] = true
			case completed[id] && status == 200:
				violations = append(violations, fmt.Sprintf("%s went back to %s", id, job.Status))
			}
		}
		return len(completed) == expected || len(violations) > 0
	})
	if len(completed) < expected {
		violations = append(violations, fmt.Sprintf("%d of %d jobs did not end", expected-len(completed), expected))
	}
	events, err := readMachineEvents(site.eventsPath)
	if err != nil {
		return violations, 0, err
	}
	eventViolations, ended := checkTaskEvents(events, tasks, completed)
	return append(violations, eventViolations...), ended, nil
}

// isService reports whether a job of a run is a service, by its id.
func isService(id string) bool { return strings.HasPrefix(id, "job-8") }

// startProofCommand returns the subcommand that restarts all controllers repeatedly.
func startProofCommand() *cobra.Command {
	machines, starts, mixedMachines := 60, 3, false
	command := newProofCommand("start", "Kill all controllers repeatedly, and check their answers and orders against what machines ran", 4, 4, func(ctx context.Context, out io.Writer, options runOptions) error {
		if err := checkRange("machines", machines, 10, 1000); err != nil {
			return err
		}
		if err := checkRange("starts", starts, 1, 50); err != nil {
			return err
		}
		return proveStart(ctx, out, options, machines, starts, mixedMachines)
	})
	command.Flags().IntVar(&machines, "machines", machines, "machines at a site")
	addPlaceFlag(command, &mixedMachines)
	command.Flags().IntVar(&starts, "starts", starts, "restarts of all controllers in a run")
	return command
}

// addPlaceFlag adds the flag that runs a proof at a site with several types of machine.
func addPlaceFlag(command *cobra.Command, mixedMachines *bool) {
	command.Flags().BoolVar(mixedMachines, "place", false, "several types of machine in three zones, 68 of which run before the controllers; gangs, and work without GPUs")
}

// proveStart executes the runs and prints their figures.
func proveStart(ctx context.Context, out io.Writer, options runOptions, machines, starts int, mixedMachines bool) error {
	type quantiles struct {
		Median float64 `json:"median_s"`
		Max    float64 `json:"max_s"`
	}
	figures := struct {
		runTotals
		Machines          int            `json:"machines"`
		MixedMachines     bool           `json:"place"`
		Starts            int            `json:"starts"`
		Serving           quantiles      `json:"serving_after"`
		HalfReconciled    quantiles      `json:"half_squared_after"`
		Reconciled        quantiles      `json:"all_squared_after"`
		OrdersGiven       map[string]int `json:"orders_given"`
		OrdersHeldBack    map[string]int `json:"orders_held_back"`
		ServiceTasksEnded int            `json:"service_tasks_ended"`
	}{Machines: machines, MixedMachines: mixedMachines, OrdersGiven: map[string]int{}, OrdersHeldBack: map[string]int{}}
	servingDelays, halfReconciledDelays, reconciledDelays := newLatencies(), newLatencies(), newLatencies()
	var err error
	timing := restartTimes
	timing.mixedMachines = mixedMachines
	figures.runTotals, err = options.executeRuns(ctx, out, "start", func(bin, dir string, seed uint64) (func(), runOutcome) {
		result := executeStartRun(ctx, bin, dir, seed, machines, starts, timing)
		return func() {
			figures.Starts += len(result.reconciledDelays)
			figures.ServiceTasksEnded += result.serviceTasksEnded
			for order, count := range result.ordersGiven {
				figures.OrdersGiven[order] += count
			}
			for order, count := range result.ordersHeldBack {
				figures.OrdersHeldBack[order] += count
			}
			servingDelays.record(result.servingDelays...)
			halfReconciledDelays.record(result.halfReconciledDelays...)
			reconciledDelays.record(result.reconciledDelays...)
		}, runOutcome{fmt.Sprintf("%d starts, all squared after %v, %d service tasks ended", len(result.reconciledDelays), result.reconciledDelays, result.serviceTasksEnded), result.violations, result.err}
	})
	if err != nil {
		return err
	}
	toQuantiles := func(delays latencies) quantiles { return quantiles{delays.quantileSeconds(50), delays.maxSeconds()} }
	figures.Serving, figures.HalfReconciled, figures.Reconciled = toQuantiles(servingDelays), toQuantiles(halfReconciledDelays), toQuantiles(reconciledDelays)
	if err := printFigures(out, figures); err != nil {
		return err
	}
	return figures.err()
}
