package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/node"
	"dapplestage.example/dapplestage/internal/protocol"
)

// waitCondition is a reason why a job waits, together with the means to establish it at a test site
// and to release it.
type waitCondition struct {
	name           string // name of the reason in an explanation
	mustBeFirst    bool   // an explanation must list this reason first
	competingTasks int    // number of tasks of the competing job, which runs meanwhile; 0: no such job
	jobShape       string // shape of the waiting job; empty: an array
	tasks          int
	gpus           float64 // for each task; 0: 1
	establish      func(ctx context.Context, site *testSite, id string) error
	release        func(ctx context.Context, site *testSite, id string) error
}

// whyTimes are the times and limits of the test sites of the why proof. A team may use 8 GPUs, so
// that a job can reach the team limit.
var whyTimes = times{workerLease: 2.5, reportInterval: 0.5, cancelBound: 14, writeRPS: 150, maxTeamGPUs: 8}

// changeSetting changes an operators' setting. It retries, since a concurrent change makes the stamp
// that it read outdated.
func changeSetting(ctx context.Context, site *testSite, name string, value any) error {
	for try := 0; ; try++ {
		_, response, err := site.call(ctx, "GET", site.apis[try%2], "/admin/settings", nil)
		var settings struct{ Stamp uint64 }
		if err == nil {
			err = json.Unmarshal(response, &settings)
		}
		status := 0
		if err == nil {
			body, _ := json.Marshal(map[string]any{"value": value, "stamp": settings.Stamp})
			status, _, err = site.call(ctx, "PUT", site.apis[try%2], "/admin/settings/"+name, body)
		}
		if err == nil && status == 200 {
			return nil
		}
		if try > 50 || ctx.Err() != nil {
			return fmt.Errorf("setting %s: %d %v", name, status, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// postToCloud sends a control request to the simulated cloud.
func postToCloud(ctx context.Context, site *testSite, path string) error {
	status, response, err := site.call(ctx, "POST", site.cloudAddr, path, nil)
	if err == nil && status != 200 {
		err = fmt.Errorf("%s: %d %s", path, status, response)
	}
	return err
}

// cordonAll stops rentals and cordons all machines of the site.
func cordonAll(ctx context.Context, site *testSite) error {
	var machines protocol.MachineList
	_, response, err := site.call(ctx, "GET", site.cloudAddr, "/hosts", nil)
	if err == nil {
		err = json.Unmarshal(response, &machines)
	}
	names := []string{}
	for _, m := range machines.Machines {
		names = append(names, m.ID)
	}
	if err == nil && len(names) == 0 {
		err = fmt.Errorf("no machines to cordon")
	}
	if err == nil {
		err = changeSetting(ctx, site, "stop_rentals", true)
	}
	if err == nil {
		err = changeSetting(ctx, site, "held_back", names)
	}
	return err
}

// uncordonAll uncordons all machines and allows rentals again.
func uncordonAll(ctx context.Context, site *testSite, _ string) error {
	if err := changeSetting(ctx, site, "held_back", []string{}); err != nil {
		return err
	}
	return changeSetting(ctx, site, "stop_rentals", false)
}

// competingJobID returns the id of the job that runs while the job with the given id waits.
func competingJobID(id string) string { return id + "9" }

// cancelCompetingJob cancels the competing job, which releases a condition that is due to it.
func cancelCompetingJob(ctx context.Context, site *testSite, id string) error {
	for try := 0; ; try++ {
		status, response, err := site.call(ctx, "POST", site.apis[try%2], "/api/jobs/"+competingJobID(id)+"/cancel", []byte("{}"))
		if err == nil && status == 200 {
			return nil
		}
		if try > 50 || ctx.Err() != nil {
			return fmt.Errorf("cancel: %d %s %v", status, response, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// noAction is the establish function of a condition that the competing job alone brings about.
func noAction(context.Context, *testSite, string) error { return nil }

// waitConditions returns all conditions that the why proof checks.
func waitConditions() []waitCondition {
	limit := func(machines int) func(ctx context.Context, site *testSite, _ string) error {
		return func(ctx context.Context, site *testSite, _ string) error {
			return postToCloud(ctx, site, fmt.Sprint("/limit/", machines))
		}
	}
	signalNodes := func(sig syscall.Signal, names ...string) func(ctx context.Context, site *testSite, id string) error {
		return func(ctx context.Context, site *testSite, id string) error {
			site.signal(sig, names...)
			return nil
		}
	}
	return []waitCondition{
		{name: "team_limit", mustBeFirst: true, competingTasks: 8, tasks: 2, establish: noAction, release: cancelCompetingJob},
		{name: "no_free_machine", competingTasks: 4, tasks: 1, establish: limit(1), release: cancelCompetingJob},
		{name: "gang_incomplete", mustBeFirst: true, competingTasks: 2, jobShape: protocol.Gang, tasks: 4, establish: limit(1), release: cancelCompetingJob},
		{name: "drained", mustBeFirst: true, competingTasks: 1, tasks: 2, establish: func(ctx context.Context, site *testSite, _ string) error { return cordonAll(ctx, site) }, release: uncordonAll},
		{name: "rentals_stopped", tasks: 1, gpus: 4, competingTasks: 1, establish: func(ctx context.Context, site *testSite, _ string) error {
			return changeSetting(ctx, site, "stop_rentals", true)
		}, release: uncordonAll},
		{name: "cloud_refused", tasks: 1, gpus: 4, competingTasks: 1, establish: limit(0), release: limit(24)},
		{name: "fails_everywhere", tasks: 2, establish: func(ctx context.Context, site *testSite, id string) error {
			return postToCloud(ctx, site, "/mistaken/"+id+"/true")
		},
			release: func(ctx context.Context, site *testSite, id string) error {
				return postToCloud(ctx, site, "/mistaken/"+id+"/false")
			}},
		{name: "state_service_down", mustBeFirst: true, competingTasks: 1, tasks: 2, establish: func(ctx context.Context, site *testSite, _ string) error { return cordonAll(ctx, site) }, release: uncordonAll},
		{name: "holder_silent", mustBeFirst: true, competingTasks: 1, tasks: 2, establish: func(ctx context.Context, site *testSite, _ string) error { return cordonAll(ctx, site) },
			release: func(ctx context.Context, site *testSite, id string) error {
				signalNodes(syscall.SIGCONT, "n-0", "n-1")(ctx, site, id)
				return uncordonAll(ctx, site, id)
			}},
	}
}

// submission returns the submission of a job with the condition's shape and GPUs per task.
func (c *waitCondition) submission(id string, tasks int, seconds float64) []byte {
	shape, gpus := c.jobShape, c.gpus
	if shape == "" {
		shape = protocol.Array
	}
	if gpus == 0 {
		gpus = 1
	}
	return fmt.Appendf(nil, `{"id":%q,"lot":"proof","crew":"red","shape":%q,"urgency":"standard","pieces":%d,"vcpus":2.0,"cards":%g,"memGb":8.0,"bundle":"img-1","sizeGb":1.0,"together":false,"scatter":false,"loaners":true,"expectS":%g,"snapshotS":0.0,"storeS":0.0}`, id, shape, tasks, gpus, seconds)
}

// submit uploads the description of a job and retries its submission until it is accepted.
func (site *testSite) submit(ctx context.Context, id string, body []byte) error {
	if _, _, err := site.call(ctx, "POST", site.cloudAddr, "/upload", body); err != nil {
		return err
	}
	for try := 0; ; try++ {
		status, response, err := site.call(ctx, "POST", site.apis[try%2], "/api/jobs", body)
		if err == nil && status < 300 {
			return nil
		}
		if try > 60 || ctx.Err() != nil {
			return fmt.Errorf("%s: %d %s %v", id, status, response, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// runningTasks returns the number of task starts of a job less its errors, by the machines' event
// log. Tasks that are done or were lost with their machine still count.
func (site *testSite) runningTasks(ctx context.Context, id string) int {
	running := 0
	events, err := readMachineEvents(site.eventsPath)
	if err != nil {
		return 0
	}
	for _, event := range events {
		if job, _, ok := protocol.ParseTaskID(event.Task); ok && job == id {
			switch event.Event {
			case "start":
				running++
			case "error":
				running--
			}
		}
	}
	return running
}

// waitUntil checks a condition every 50 ms until it holds. It returns false on timeout or if ctx ends.
func waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// whyResult holds the counts, violations and measured times of one run.
type whyResult struct {
	checked     int // explanations
	violations  []string
	startDelays []time.Duration // from the release of the condition to the start of the job
	answerTimes []time.Duration // latencies of the requests for an explanation
	err         error
}

// verify establishes a condition, checks the explanations that the nodes give for the waiting job,
// releases the condition and waits until the job starts.
func (c *waitCondition) verify(ctx context.Context, site *testSite, id string, result *whyResult) error {
	if err := c.prepare(ctx, site, id); err != nil {
		return err
	}
	nodes, resume, err := c.suspendCause(ctx, site, id, result)
	if err != nil {
		return err
	}
	defer resume()
	for _, api := range nodes {
		c.check(ctx, site, api, id, result)
	}
	site.procs[0].signal(syscall.SIGCONT)
	if site.runningTasks(ctx, id) > 0 {
		result.violations = append(result.violations, c.name+": started although the condition was not released")
	}
	if err := c.release(ctx, site, id); err != nil {
		return err
	}
	releasedAt := time.Now()
	if !waitUntil(ctx, 60*time.Second, func() bool { return site.runningTasks(ctx, id) > 0 }) {
		result.violations = append(result.violations, c.name+": not started after its release")
	} else if c.name != "fails_everywhere" { // a failed job waits for its next retry, up to a minute
		result.startDelays = append(result.startDelays, time.Since(releasedAt))
	}
	return c.restore(ctx, site, id)
}

// prepare starts the competing job, establishes the condition and submits the job that is to wait.
func (c *waitCondition) prepare(ctx context.Context, site *testSite, id string) error {
	if c.competingTasks > 0 {
		competing := waitCondition{}
		if err := site.submit(ctx, competingJobID(id), competing.submission(competingJobID(id), c.competingTasks, 600)); err != nil {
			return err
		}
		if !waitUntil(ctx, 30*time.Second, func() bool { return site.runningTasks(ctx, competingJobID(id)) >= c.competingTasks }) {
			return fmt.Errorf("%s: the competing job did not start", c.name)
		}
	}
	if err := c.establish(ctx, site, id); err != nil {
		return err
	}
	time.Sleep(400 * time.Millisecond) // until the nodes have read the changed settings
	return site.submit(ctx, id, c.submission(id, c.tasks, 600))
}

// suspendCause suspends the process whose outage is the condition, if there is one. It returns the
// nodes to ask for an explanation, and resume, which continues the process.
func (c *waitCondition) suspendCause(ctx context.Context, site *testSite, id string, result *whyResult) (nodes []string, resume func(), err error) {
	switch c.name {
	case "state_service_down":
		for _, api := range site.apis { // a node that has not read the job can't explain it during the outage
			waitUntil(ctx, 5*time.Second, func() bool {
				explanation, err := site.explain(ctx, api, id, result)
				return err == nil && explanation.Waiting > 0
			})
		}
		site.procs[0].signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		return site.apis, func() { site.procs[0].signal(syscall.SIGCONT) }, nil
	case "holder_silent":
		time.Sleep(500 * time.Millisecond)
		explanation, err := site.explain(ctx, site.apis[0], id, result)
		if err != nil {
			return nil, nil, err
		}
		site.signal(syscall.SIGSTOP, explanation.Owner)
		nodes = site.apis[:1]
		if explanation.Owner == "n-0" {
			nodes = site.apis[1:]
		}
		return nodes, func() { site.signal(syscall.SIGCONT, explanation.Owner) }, nil
	}
	return site.apis, func() {}, nil
}

// explain requests the explanation why a job waits from a node.
func (site *testSite) explain(ctx context.Context, api, id string, result *whyResult) (*node.Explanation, error) {
	var explanation node.Explanation
	sentAt := time.Now()
	status, response, err := site.call(ctx, "GET", api, "/admin/why/"+id, nil)
	if err == nil {
		result.answerTimes = append(result.answerTimes, time.Since(sentAt))
		if status != 200 {
			return nil, fmt.Errorf("%d %s", status, response)
		}
		err = json.Unmarshal(response, &explanation)
	}
	return &explanation, err
}

// check checks the explanation of a node against the established condition.
func (c *waitCondition) check(ctx context.Context, site *testSite, api, id string, result *whyResult) {
	var explanation *node.Explanation
	var err error
	result.checked++
	if !waitUntil(ctx, c.answerTimeout(), func() bool {
		explanation, err = site.explain(ctx, api, id, result)
		return err == nil && c.namedBy(explanation)
	}) {
		answer := fmt.Sprint(err)
		if explanation != nil {
			data, _ := json.Marshal(explanation)
			answer = string(data)
		}
		result.violations = append(result.violations, fmt.Sprintf("%s: %s", c.name, answer))
		return
	}
	switch {
	case c.name == "holder_silent" && explanation.Unknown == "":
		result.violations = append(result.violations, c.name+": state not reported as unknown")
	case c.name != "holder_silent" && len(explanation.Release) == 0:
		result.violations = append(result.violations, c.name+": the explanation names nothing that would release it")
	case c.name == "state_service_down" && explanation.StateAge < 2:
		result.violations = append(result.violations, fmt.Sprintf("%s: the explanation gives its age as %.1f s", c.name, explanation.StateAge))
	}
}

// namedBy reports whether an explanation lists the condition, at the first place if it must be first.
func (c *waitCondition) namedBy(explanation *node.Explanation) bool {
	for i, cause := range explanation.Causes {
		if cause.Reason.String() == c.name {
			return i == 0 || !c.mustBeFirst
		}
	}
	return false
}

// answerTimeout returns how long a node may take to name the condition. Nodes evaluate waiting jobs
// every few hundred milliseconds; a job that fails everywhere is recognized after a few retries.
func (c *waitCondition) answerTimeout() time.Duration {
	switch c.name {
	case "fails_everywhere":
		return 20 * time.Second
	case "cloud_refused":
		return 12 * time.Second
	case "holder_silent":
		return 1500 * time.Millisecond
	}
	return 3 * time.Second
}

// restore cancels both jobs and undoes the changes of limits and settings.
func (c *waitCondition) restore(ctx context.Context, site *testSite, id string) error {
	for _, job := range []string{id, competingJobID(id)} {
		site.call(ctx, "POST", site.apis[0], "/api/jobs/"+job+"/cancel", []byte("{}"))
	}
	if err := postToCloud(ctx, site, "/limit/24"); err != nil {
		return err
	}
	return uncordonAll(ctx, site, id)
}

// executeWhyRun verifies all conditions in random order.
func executeWhyRun(ctx context.Context, bin, dir string, seed uint64) *whyResult {
	result := &whyResult{}
	rng := rand.New(rand.NewPCG(seed, 21))
	conditions := waitConditions()
	rng.Shuffle(len(conditions), func(i, k int) { conditions[i], conditions[k] = conditions[k], conditions[i] })
	for i := range conditions {
		// Each condition gets a test site of its own, so that machines rented for the previous one are
		// not available to the next.
		site, err := startTestSite(ctx, bin, fmt.Sprintf("%s/%d", dir, i), 24, whyTimes)
		if err == nil {
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			err = conditions[i].verify(ctx, site, fmt.Sprintf("job-%d", 100+i), result)
		}
		site.end()
		if err != nil {
			result.err = fmt.Errorf("%s: %w", conditions[i].name, err)
			return result
		}
	}
	return result
}

// whyProofCommand returns the subcommand that checks the explanations of waiting jobs.
func whyProofCommand() *cobra.Command {
	return newProofCommand("why", "Establish each reason to wait with real controllers, check its explanation, release it and time the start", 4, 4, proveWhy)
}

// proveWhy executes the runs and prints their figures.
func proveWhy(ctx context.Context, out io.Writer, options runOptions) error {
	figures := struct {
		runTotals
		Explanations int     `json:"answers_checked"`
		Violations   int     `json:"wrong"`
		StartP50     float64 `json:"start_after_release_median_s"`
		StartMax     float64 `json:"start_after_release_max_s"`
		AnswerP99    float64 `json:"answer_p99_ms"`
	}{}
	startDelays, answerTimes := newLatencies(), newLatencies()
	var err error
	figures.runTotals, err = options.executeRuns(ctx, out, "why", func(bin, dir string, seed uint64) (func(), runOutcome) {
		result := executeWhyRun(ctx, bin, dir, seed)
		return func() {
			figures.Explanations, figures.Violations = figures.Explanations+result.checked, figures.Violations+len(result.violations)
			startDelays.record(result.startDelays...)
			answerTimes.record(result.answerTimes...)
		}, runOutcome{fmt.Sprintf("%d answers checked, %d starts after a release", result.checked, len(result.startDelays)), result.violations, result.err}
	})
	if err != nil {
		return err
	}
	figures.StartP50, figures.StartMax, figures.AnswerP99 = startDelays.quantileSeconds(50), startDelays.maxSeconds(), answerTimes.quantileMS(99)
	if err := printFigures(out, figures); err != nil {
		return err
	}
	return figures.err()
}
