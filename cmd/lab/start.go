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

// restartTimes are those of a site whose controllers all go down: a worker's lease
// outlives the time without any of them.
var restartTimes = times{workersLease: 9, reportInterval: 1.5, cancelBound: 22, writeRPS: 150, maxTeamGPUs: 4000}

// startResult is what a run showed.
type startResult struct {
	servingDelays, halfReconciledDelays, reconciledDelays []time.Duration // from the last process being back
	ordersGiven, ordersHeldBack                           map[string]int
	serviceTasksEnded                                     int // tasks of services that ended though nobody cancelled them
	violations                                            []string
	err                                                   error
}

// partitionStatuses asks all controllers how far the shares are; false if one does not answer.
func (f *testSite) partitionStatuses(ctx context.Context) (map[int]node.PartitionStatus, bool) {
	out := map[int]node.PartitionStatus{}
	for i, api := range f.apis {
		var s node.Status
		status, data, err := f.call(ctx, "GET", api, "/admin/status", nil)
		if err != nil || status != 200 || json.Unmarshal(data, &s) != nil {
			return nil, false
		}
		for _, sh := range s.Shares {
			if sh.Holder == fmt.Sprint("n-", i) && sh.Phase != "" {
				out[sh.Share] = sh
			}
		}
	}
	return out, true
}

// countOrders reads what each controller has ordered since its start.
func (f *testSite) countOrders(ctx context.Context, r *startResult) {
	for _, api := range f.apis {
		_, data, err := f.call(ctx, "GET", api, "/metrics", nil)
		if err != nil {
			continue
		}
		p := expfmt.NewTextParser(model.UTF8Validation)
		families, err := p.TextToMetricFamilies(strings.NewReader(string(data)))
		if err != nil {
			r.violations = append(r.violations, "metrics: "+err.Error())
			continue
		}
		for _, m := range families["dapplestage_orders_total"].GetMetric() {
			l := map[string]string{}
			for _, p := range m.GetLabel() {
				l[p.GetName()] = p.GetValue()
			}
			into := r.ordersGiven
			if l["outcome"] == "held_back" {
				into = r.ordersHeldBack
			}
			into[l["order"]] += int(m.GetCounter().GetValue())
		}
	}
}

// checkTaskEvents says what machines ran twice at once, and what is called done and is not.
func checkTaskEvents(events []machineEvent, tasks map[string]int, done map[string]bool) (wrong []string, ended int) {
	on := map[string]string{}
	finished := map[string]map[string]bool{}
	for _, e := range events {
		job, _, ok := protocol.ParseTaskID(e.Task)
		if !ok {
			continue
		}
		switch e.Event {
		case "start":
			if m := on[e.Task]; m != "" && m != e.Machine {
				wrong = append(wrong, fmt.Sprintf("%s started on %s while on %s", e.Task, e.Machine, m))
			}
			on[e.Task] = e.Machine
		case "done":
			if finished[job] == nil {
				finished[job] = map[string]bool{}
			}
			finished[job][e.Task] = true
			delete(on, e.Task)
		default:
			if on[e.Task] == e.Machine {
				delete(on, e.Task)
			}
			if isService(job) {
				ended++
			}
		}
	}
	for id := range done {
		if len(finished[id]) < tasks[id] {
			wrong = append(wrong, fmt.Sprintf("%s is called done with %d of %d tasks", id, len(finished[id]), tasks[id]))
		}
	}
	return wrong, ended
}

// startRun is a run under way.
type startRun struct {
	*startResult
	site      *testSite
	rng       *rand.Rand
	tasks     map[string]int // by job
	shortJobs int
}

func executeStartRun(ctx context.Context, bin, dir string, seed uint64, machines, starts int, t times) *startResult {
	r := &startResult{ordersGiven: map[string]int{}, ordersHeldBack: map[string]int{}}
	f, err := startTestSite(ctx, bin, dir, machines, t)
	defer f.end()
	if err != nil {
		r.err = err
		return r
	}
	run := &startRun{startResult: r, site: f, rng: rand.New(rand.NewPCG(seed, 41)), tasks: map[string]int{}}
	if !run.startServices(ctx, machines) {
		r.err = fmt.Errorf("the services did not start")
		return r
	}
	for range starts {
		if !run.restartControllers(ctx) || !run.awaitReconciled(ctx, time.Now()) {
			return r
		}
		time.Sleep(randomDuration(run.rng, time.Millisecond, 3*time.Second))
	}
	var wrong []string
	wrong, r.serviceTasksEnded, err = f.awaitJobsDone(ctx, run.tasks)
	r.violations = append(r.violations, wrong...)
	if err != nil {
		r.err = err
	}
	f.countOrders(ctx, r)
	return r
}

func (r *startRun) submit(ctx context.Context, id, shape string, n int, seconds float64) {
	team := []string{"red", "blue"}[len(r.tasks)%2]
	r.tasks[id] = n
	if err := r.site.submit(ctx, id, r.site.jobSubmission(id, team, shape, n, seconds)); err != nil && r.err == nil {
		r.err = err
	}
}

// tasksPerService is how many tasks each service of a run has.
const tasksPerService = 8

// startServices fills six tenths of the machines with services; false if they do not run in
// time.
func (r *startRun) startServices(ctx context.Context, machines int) bool {
	services := machines * 4 * 6 / 10 / tasksPerService
	id := func(i int) string { return fmt.Sprintf("job-8%05d", i) }
	for i := range services {
		r.submit(ctx, id(i), "standing", tasksPerService, 0)
	}
	return waitUntil(ctx, 30*time.Second, func() bool {
		running := 0
		for i := range services {
			running += r.site.runningTasks(ctx, id(i))
		}
		return running >= services*tasksPerService
	})
}

// restartControllers submits some work, ends all controllers, one shortly after the other, and starts
// them again. It returns false if the run can't go on.
func (r *startRun) restartControllers(ctx context.Context) bool {
	for range 3 + r.rng.IntN(3) {
		r.submit(ctx, fmt.Sprintf("job-1%05d", r.shortJobs), "sweep", 4+r.rng.IntN(12), 2+3*r.rng.Float64())
		r.shortJobs++
	}
	if r.site.mixedMachines {
		r.submit(ctx, fmt.Sprintf("job-3%05d", r.shortJobs), "gang", 1+r.rng.IntN(2), 2+3*r.rng.Float64())
	}
	time.Sleep(randomDuration(r.rng, 200*time.Millisecond, 1500*time.Millisecond))
	r.site.countOrders(ctx, r.startResult)
	var nodes []*process
	for _, p := range r.site.procs {
		if strings.HasPrefix(p.name, "n-") {
			nodes = append(nodes, p)
		}
	}
	for _, p := range nodes {
		p.kill()
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

// awaitReconciled measures from when the last process was back until both shares are served,
// and half and all of their machines have spoken. It returns false if that takes too long.
func (r *startRun) awaitReconciled(ctx context.Context, back time.Time) bool {
	var serve, half, all time.Duration
	if !waitUntil(ctx, 30*time.Second, func() bool {
		shares, ok := r.site.partitionStatuses(ctx)
		took := time.Since(back)
		if !ok || len(shares) != 2 {
			return false
		}
		unheard, total, serving := 0, 0, 0
		for _, s := range shares {
			unheard, total = unheard+s.Unheard, total+s.Machines
			if s.Phase == "serving" {
				serving++
			}
		}
		setOnce(&serve, took, serving == 2)
		setOnce(&half, took, 2*unheard <= total)
		setOnce(&all, took, unheard == 0)
		return serve > 0 && half > 0 && all > 0
	}) {
		r.violations = append(r.violations, fmt.Sprintf("not squared 30 s after the processes were back (serving after %v, half after %v)", serve, half))
		return false
	}
	r.servingDelays, r.halfReconciledDelays, r.reconciledDelays = append(r.servingDelays, serve), append(r.halfReconciledDelays, half), append(r.reconciledDelays, all)
	return true
}

// setOnce notes when something was so for the first time.
func setOnce(at *time.Duration, now time.Duration, is bool) {
	if is && *at == 0 {
		*at = now
	}
}

// awaitJobsDone waits until users are told that all jobs but services are done, and says what
// was wrong of what they were told and what machines ran; ended is how many tasks of
// services ended.
func (f *testSite) awaitJobsDone(ctx context.Context, tasks map[string]int) (wrong []string, ended int, err error) {
	done := map[string]bool{}
	open := 0
	for id := range tasks {
		if !isService(id) {
			open++
		}
	}
	waitUntil(ctx, 60*time.Second, func() bool {
		for id := range tasks {
			if isService(id) {
				continue
			}
			var s protocol.JobStatus
			status, out, err := f.call(ctx, "GET", f.apis[len(done)%2], "/api/jobs/"+id, nil)
			switch {
			case err != nil:
			case status == 404:
				wrong = append(wrong, id+" is forgotten")
			case status == 200 && json.Unmarshal(out, &s) == nil && s.Status == protocol.JobDone:
				done[id] = true
			case done[id] && status == 200:
				wrong = append(wrong, fmt.Sprintf("%s went back to %s", id, s.Status))
			}
		}
		return len(done) == open || len(wrong) > 0
	})
	if len(done) < open {
		wrong = append(wrong, fmt.Sprintf("%d of %d jobs never ended", open-len(done), open))
	}
	events, err := readMachineEvents(f.eventsPath)
	if err != nil {
		return wrong, 0, err
	}
	more, ended := checkTaskEvents(events, tasks, done)
	return append(wrong, more...), ended, nil
}

// isService says whether a job of a run is a service, by its name.
func isService(id string) bool { return strings.HasPrefix(id, "job-8") }

func startProofCommand() *cobra.Command {
	machines, starts, place := 60, 3, false
	c := newProofCommand("start", "End all controllers again and again, and hold what they say and order to what machines ran", 4, 4, func(ctx context.Context, out io.Writer, o runOptions) error {
		if err := checkRange("machines", machines, 10, 1000); err != nil {
			return err
		}
		if err := checkRange("starts", starts, 1, 50); err != nil {
			return err
		}
		return proveStart(ctx, out, o, machines, starts, place)
	})
	c.Flags().IntVar(&machines, "machines", machines, "machines of a site")
	addPlaceFlag(c, &place)
	c.Flags().IntVar(&starts, "starts", starts, "times that all controllers end in a run")
	return c
}

// addPlaceFlag lets a proof run at a place with several types of machine.
func addPlaceFlag(c *cobra.Command, place *bool) {
	c.Flags().BoolVar(place, "place", false, "several types of machine in three zones, 68 of which run before the controllers; gangs, and work without GPUs")
}

func proveStart(ctx context.Context, out io.Writer, o runOptions, machines, starts int, place bool) error {
	type quantiles struct {
		Median float64 `json:"median_s"`
		Max    float64 `json:"max_s"`
	}
	s := struct {
		runTotals
		Machines int            `json:"machines"`
		Place    bool           `json:"place"`
		Starts   int            `json:"starts"`
		Serve    quantiles      `json:"serving_after"`
		Half     quantiles      `json:"half_squared_after"`
		All      quantiles      `json:"all_squared_after"`
		Given    map[string]int `json:"orders_given"`
		Held     map[string]int `json:"orders_held_back"`
		Ended    int            `json:"service_tasks_ended"`
	}{Machines: machines, Place: place, Given: map[string]int{}, Held: map[string]int{}}
	serve, half, all := newLatencies(), newLatencies(), newLatencies()
	var err error
	t := restartTimes
	t.mixedMachines = place
	s.runTotals, err = o.executeRuns(ctx, out, "start", func(bin, dir string, seed uint64) (func(), runOutcome) {
		r := executeStartRun(ctx, bin, dir, seed, machines, starts, t)
		return func() {
			s.Starts += len(r.reconciledDelays)
			s.Ended += r.serviceTasksEnded
			for k, n := range r.ordersGiven {
				s.Given[k] += n
			}
			for k, n := range r.ordersHeldBack {
				s.Held[k] += n
			}
			serve.record(r.servingDelays...)
			half.record(r.halfReconciledDelays...)
			all.record(r.reconciledDelays...)
		}, runOutcome{fmt.Sprintf("%d starts, all squared after %v, %d service tasks ended", len(r.reconciledDelays), r.reconciledDelays, r.serviceTasksEnded), r.violations, r.err}
	})
	if err != nil {
		return err
	}
	told := func(l latencies) quantiles { return quantiles{l.quantileSeconds(50), l.maxSeconds()} }
	s.Serve, s.Half, s.All = told(serve), told(half), told(all)
	if err := printFigures(out, s); err != nil {
		return err
	}
	return s.err()
}
