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

// waitCondition is a reason to wait, as real controllers and stand-in machines make it.
type waitCondition struct {
	name           string // of the cause
	mustBeFirst    bool   // it must be the first that is told
	competingTasks int    // tasks of another job that run meanwhile
	shape          string // shape of the job that waits
	tasks          int
	gpus           float64
	establish      func(ctx context.Context, f *testSite, id string) error
	release        func(ctx context.Context, f *testSite, id string) error
}

// whyFarm is what conditions are made of.
var whyTimes = times{workersLease: 2.5, reportInterval: 0.5, cancelBound: 14, writeRPS: 150, maxTeamGPUs: 8}

func changeSetting(ctx context.Context, f *testSite, name string, value any) error {
	for try := 0; ; try++ {
		_, out, err := f.call(ctx, "GET", f.apis[try%2], "/admin/settings", nil)
		var v struct{ Stamp uint64 }
		if err == nil {
			err = json.Unmarshal(out, &v)
		}
		status := 0
		if err == nil {
			body, _ := json.Marshal(map[string]any{"value": value, "stamp": v.Stamp})
			status, _, err = f.call(ctx, "PUT", f.apis[try%2], "/admin/settings/"+name, body)
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

func postToCloud(ctx context.Context, f *testSite, path string) error {
	status, out, err := f.call(ctx, "POST", f.cloudAddr, path, nil)
	if err == nil && status != 200 {
		err = fmt.Errorf("%s: %d %s", path, status, out)
	}
	return err
}

func cordonAll(ctx context.Context, f *testSite) error {
	var list protocol.MachineList
	_, out, err := f.call(ctx, "GET", f.cloudAddr, "/hosts", nil)
	if err == nil {
		err = json.Unmarshal(out, &list)
	}
	names := []string{}
	for _, m := range list.Machines {
		names = append(names, m.ID)
	}
	if err == nil && len(names) == 0 {
		err = fmt.Errorf("no machines to hold back")
	}
	if err == nil {
		err = changeSetting(ctx, f, "stop_rentals", true)
	}
	if err == nil {
		err = changeSetting(ctx, f, "held_back", names)
	}
	return err
}

func uncordonAll(ctx context.Context, f *testSite, _ string) error {
	if err := changeSetting(ctx, f, "held_back", []string{}); err != nil {
		return err
	}
	return changeSetting(ctx, f, "stop_rentals", false)
}

// competingJobID is the id of the job that runs beside a condition's.
func competingJobID(id string) string { return id + "9" }

func cancelCompetingJob(ctx context.Context, f *testSite, id string) error {
	for try := 0; ; try++ {
		status, out, err := f.call(ctx, "POST", f.apis[try%2], "/api/jobs/"+competingJobID(id)+"/cancel", []byte("{}"))
		if err == nil && status == 200 {
			return nil
		}
		if try > 50 || ctx.Err() != nil {
			return fmt.Errorf("cancel: %d %s %v", status, out, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func noAction(context.Context, *testSite, string) error { return nil }

func waitConditions() []waitCondition {
	limit := func(n int) func(ctx context.Context, f *testSite, _ string) error {
		return func(ctx context.Context, f *testSite, _ string) error {
			return postToCloud(ctx, f, fmt.Sprint("/limit/", n))
		}
	}
	stop := func(s syscall.Signal, names ...string) func(ctx context.Context, f *testSite, id string) error {
		return func(ctx context.Context, f *testSite, id string) error {
			f.signal(s, names...)
			return nil
		}
	}
	return []waitCondition{
		{name: "team_limit", mustBeFirst: true, competingTasks: 8, tasks: 2, establish: noAction, release: cancelCompetingJob},
		{name: "no_free_machine", competingTasks: 4, tasks: 1, establish: limit(1), release: cancelCompetingJob},
		{name: "gang_incomplete", mustBeFirst: true, competingTasks: 2, shape: protocol.Gang, tasks: 4, establish: limit(1), release: cancelCompetingJob},
		{name: "drained", mustBeFirst: true, competingTasks: 1, tasks: 2, establish: func(ctx context.Context, f *testSite, _ string) error { return cordonAll(ctx, f) }, release: uncordonAll},
		{name: "rentals_stopped", tasks: 1, gpus: 4, competingTasks: 1, establish: func(ctx context.Context, f *testSite, _ string) error {
			return changeSetting(ctx, f, "stop_rentals", true)
		}, release: uncordonAll},
		{name: "cloud_refused", tasks: 1, gpus: 4, competingTasks: 1, establish: limit(0), release: limit(24)},
		{name: "fails_everywhere", tasks: 2, establish: func(ctx context.Context, f *testSite, id string) error {
			return postToCloud(ctx, f, "/mistaken/"+id+"/true")
		},
			release: func(ctx context.Context, f *testSite, id string) error {
				return postToCloud(ctx, f, "/mistaken/"+id+"/false")
			}},
		{name: "state_service_down", mustBeFirst: true, competingTasks: 1, tasks: 2, establish: func(ctx context.Context, f *testSite, _ string) error { return cordonAll(ctx, f) }, release: uncordonAll},
		{name: "holder_silent", mustBeFirst: true, competingTasks: 1, tasks: 2, establish: func(ctx context.Context, f *testSite, _ string) error { return cordonAll(ctx, f) },
			release: func(ctx context.Context, f *testSite, id string) error {
				stop(syscall.SIGCONT, "n-0", "n-1")(ctx, f, id)
				return uncordonAll(ctx, f, id)
			}},
	}
}

func (c *waitCondition) submission(id string, tasks int, seconds float64) []byte {
	shape, cards := c.shape, c.gpus
	if shape == "" {
		shape = protocol.Array
	}
	if cards == 0 {
		cards = 1
	}
	return fmt.Appendf(nil, `{"id":%q,"lot":"proof","crew":"red","shape":%q,"urgency":"standard","pieces":%d,"vcpus":2.0,"cards":%g,"memGb":8.0,"bundle":"img-1","sizeGb":1.0,"together":false,"scatter":false,"loaners":true,"expectS":%g,"snapshotS":0.0,"storeS":0.0}`, id, shape, tasks, cards, seconds)
}

func (f *testSite) submit(ctx context.Context, id string, body []byte) error {
	if _, _, err := f.call(ctx, "POST", f.cloudAddr, "/upload", body); err != nil {
		return err
	}
	for try := 0; ; try++ {
		status, out, err := f.call(ctx, "POST", f.apis[try%2], "/api/jobs", body)
		if err == nil && status < 300 {
			return nil
		}
		if try > 60 || ctx.Err() != nil {
			return fmt.Errorf("%s: %d %s %v", id, status, out, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (f *testSite) runningTasks(ctx context.Context, id string) int {
	n := 0
	events, err := readMachineEvents(f.eventsPath)
	if err != nil {
		return 0
	}
	for _, e := range events {
		if job, _, ok := protocol.ParseTaskID(e.Task); ok && job == id {
			switch e.Event {
			case "start":
				n++
			case "error":
				n--
			}
		}
	}
	return n
}

func waitUntil(ctx context.Context, most time.Duration, done func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

// whyResult is what a run showed.
type whyResult struct {
	checked     int
	violations  []string
	startDelays []time.Duration // from release to start
	answerTimes []time.Duration // time to answer
	err         error
}

// verify builds a condition, holds what both nodes say to it, lifts it and waits for the
// start.
func (c *waitCondition) verify(ctx context.Context, f *testSite, id string, r *whyResult) error {
	if err := c.prepare(ctx, f, id); err != nil {
		return err
	}
	nodes, undo, err := c.suspendCause(ctx, f, id, r)
	if err != nil {
		return err
	}
	defer undo()
	for _, api := range nodes {
		c.check(ctx, f, api, id, r)
	}
	f.procs[0].signal(syscall.SIGCONT)
	if f.runningTasks(ctx, id) > 0 {
		r.violations = append(r.violations, c.name+": started though it was said to wait")
	}
	if err := c.release(ctx, f, id); err != nil {
		return err
	}
	from := time.Now()
	if !waitUntil(ctx, 60*time.Second, func() bool { return f.runningTasks(ctx, id) > 0 }) {
		r.violations = append(r.violations, c.name+": not started after its release")
	} else if c.name != "fails_everywhere" { // that waits for its next try, up to a minute
		r.startDelays = append(r.startDelays, time.Since(from))
	}
	return c.restore(ctx, f, id)
}

// prepare submits the job that is to wait, amid what makes it wait.
func (c *waitCondition) prepare(ctx context.Context, f *testSite, id string) error {
	if c.competingTasks > 0 {
		rival := waitCondition{}
		if err := f.submit(ctx, competingJobID(id), rival.submission(competingJobID(id), c.competingTasks, 600)); err != nil {
			return err
		}
		if !waitUntil(ctx, 30*time.Second, func() bool { return f.runningTasks(ctx, competingJobID(id)) >= c.competingTasks }) {
			return fmt.Errorf("%s: its rival did not start", c.name)
		}
	}
	if err := c.establish(ctx, f, id); err != nil {
		return err
	}
	time.Sleep(400 * time.Millisecond) // settings reach the nodes
	return f.submit(ctx, id, c.submission(id, c.tasks, 600))
}

// suspendCause stops the process that a condition is about, if it is about one. It returns the
// nodes to be asked then, and what lets the process go on.
func (c *waitCondition) suspendCause(ctx context.Context, f *testSite, id string, r *whyResult) (nodes []string, undo func(), err error) {
	switch c.name {
	case "state_service_down":
		for _, api := range f.apis { // who does not know a job can't explain it in an outage
			waitUntil(ctx, 5*time.Second, func() bool { w, err := f.explain(ctx, api, id, r); return err == nil && w.Waiting > 0 })
		}
		f.procs[0].signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		return f.apis, func() { f.procs[0].signal(syscall.SIGCONT) }, nil
	case "holder_silent":
		time.Sleep(500 * time.Millisecond)
		w, err := f.explain(ctx, f.apis[0], id, r)
		if err != nil {
			return nil, nil, err
		}
		f.signal(syscall.SIGSTOP, w.Owner)
		nodes = f.apis[:1]
		if w.Owner == "n-0" {
			nodes = f.apis[1:]
		}
		return nodes, func() { f.signal(syscall.SIGCONT, w.Owner) }, nil
	}
	return f.apis, func() {}, nil
}

// explain asks a node why a job waits.
func (f *testSite) explain(ctx context.Context, api, id string, r *whyResult) (*node.Explanation, error) {
	var w node.Explanation
	from := time.Now()
	status, out, err := f.call(ctx, "GET", api, "/admin/why/"+id, nil)
	if err == nil {
		r.answerTimes = append(r.answerTimes, time.Since(from))
		if status != 200 {
			return nil, fmt.Errorf("%d %s", status, out)
		}
		err = json.Unmarshal(out, &w)
	}
	return &w, err
}

// check holds what a node says to what was built.
func (c *waitCondition) check(ctx context.Context, f *testSite, api, id string, r *whyResult) {
	var w *node.Explanation
	var err error
	r.checked++
	if !waitUntil(ctx, c.answerTimeout(), func() bool {
		w, err = f.explain(ctx, api, id, r)
		return err == nil && c.namedBy(w)
	}) {
		said := fmt.Sprint(err)
		if w != nil {
			data, _ := json.Marshal(w)
			said = string(data)
		}
		r.violations = append(r.violations, fmt.Sprintf("%s: %s", c.name, said))
		return
	}
	switch {
	case c.name == "holder_silent" && w.Unknown == "":
		r.violations = append(r.violations, c.name+": not told as unknown")
	case c.name != "holder_silent" && len(w.Release) == 0:
		r.violations = append(r.violations, c.name+": nothing is told to release it")
	case c.name == "state_service_down" && w.StateAge < 2:
		r.violations = append(r.violations, fmt.Sprintf("%s: told as if it were %.1f s old", c.name, w.StateAge))
	}
}

// namedBy says whether an answer names the condition, first if it must be.
func (c *waitCondition) namedBy(w *node.Explanation) bool {
	for i, cause := range w.Causes {
		if cause.Reason.String() == c.name {
			return i == 0 || !c.mustBeFirst
		}
	}
	return false
}

// answerTimeout is how long a node may take to name the condition. Looks are some hundred
// milliseconds apart; a mistake takes a few tries to show.
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

// restore leaves a farm as it was found.
func (c *waitCondition) restore(ctx context.Context, f *testSite, id string) error {
	for _, job := range []string{id, competingJobID(id)} {
		f.call(ctx, "POST", f.apis[0], "/api/jobs/"+job+"/cancel", []byte("{}"))
	}
	if err := postToCloud(ctx, f, "/limit/24"); err != nil {
		return err
	}
	return uncordonAll(ctx, f, id)
}

func executeWhyRun(ctx context.Context, bin, dir string, seed uint64) *whyResult {
	r := &whyResult{}
	rng := rand.New(rand.NewPCG(seed, 21))
	cs := waitConditions()
	rng.Shuffle(len(cs), func(i, k int) { cs[i], cs[k] = cs[k], cs[i] })
	for i := range cs {
		// A farm for each: machines of the one before must not serve the next.
		f, err := startTestSite(ctx, bin, fmt.Sprintf("%s/%d", dir, i), 24, whyTimes)
		if err == nil {
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			err = cs[i].verify(ctx, f, fmt.Sprintf("job-%d", 100+i), r)
		}
		f.end()
		if err != nil {
			r.err = fmt.Errorf("%s: %w", cs[i].name, err)
			return r
		}
	}
	return r
}

func whyProofCommand() *cobra.Command {
	return newProofCommand("why", "Build each reason to wait with real controllers, check what is told, release it and time the start", 4, 4, proveWhy)
}

func proveWhy(ctx context.Context, out io.Writer, o runOptions) error {
	sum := struct {
		runTotals
		Checked  int     `json:"answers_checked"`
		Wrong    int     `json:"wrong"`
		StartP50 float64 `json:"start_after_release_median_s"`
		StartMax float64 `json:"start_after_release_max_s"`
		ToldP99  float64 `json:"answer_p99_ms"`
	}{}
	starts, told := newLatencies(), newLatencies()
	var err error
	sum.runTotals, err = o.executeRuns(ctx, out, "why", func(bin, dir string, seed uint64) (func(), runOutcome) {
		r := executeWhyRun(ctx, bin, dir, seed)
		return func() {
			sum.Checked, sum.Wrong = sum.Checked+r.checked, sum.Wrong+len(r.violations)
			starts.record(r.startDelays...)
			told.record(r.answerTimes...)
		}, runOutcome{fmt.Sprintf("%d answers checked, %d starts after a release", r.checked, len(r.startDelays)), r.violations, r.err}
	})
	if err != nil {
		return err
	}
	sum.StartP50, sum.StartMax, sum.ToldP99 = starts.quantileSeconds(50), starts.maxSeconds(), told.quantileMS(99)
	if err := printFigures(out, sum); err != nil {
		return err
	}
	return sum.err()
}
