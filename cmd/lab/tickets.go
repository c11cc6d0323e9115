package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/node"
	"dapplestage.example/dapplestage/internal/coordination/ticket"
	"dapplestage.example/dapplestage/internal/protocol"
	format "dapplestage.example/dapplestage/internal/protocol/ticket"
	"dapplestage.example/dapplestage/internal/standin"
)

// A farm is one site as real processes: a state service, render servers and two
// controllers that take tickets. Two farms of the same seed are given the same tickets,
// one by POST /tickets and one inside ordinary submissions. What their machines ran and
// what their users were told must be equal, line by line, and equal to what the seed
// says it must be.

type testSite struct {
	dir              string
	procs            []*process
	apis             []string
	cloudAddr        string
	stateAddr        string
	eventsPath       string
	http             *http.Client
	mixedMachines    bool     // several types of machine in three zones
	startsOnCordoned []string // starts on machines that were held back
}

// jobSubmission is the submission of a job of a shape. At a place with several types of machine
// services and arrays need no GPU, and gangs a whole large machine for each task.
func (f *testSite) jobSubmission(id, team, shape string, tasks int, seconds float64) []byte {
	body := strings.Replace(string(jobSubmission(id, team, tasks, seconds)), `"sweep"`, fmt.Sprintf("%q", shape), 1)
	const needs, zones = `"vcpus":2.0,"cards":1.0,"memGb":8.0`, `"together":false,"scatter":false,"loaners":true`
	if f.mixedMachines {
		switch shape {
		case "standing":
			body = strings.NewReplacer(needs, `"vcpus":1.0,"cards":0.0,"memGb":2.5`, zones, `"together":false,"scatter":true,"loaners":false`, `"standard"`, `"critical"`).Replace(body)
		case "gang":
			body = strings.NewReplacer(needs, `"vcpus":43.0,"cards":4.0,"memGb":310.0`, zones, `"together":true,"scatter":false,"loaners":false`, `"standard"`, `"high"`).Replace(body)
		default:
			body = strings.NewReplacer(needs, `"vcpus":1.0,"cards":0.0,"memGb":2.9`, `"standard"`, `"best_effort"`).Replace(body)
		}
	}
	return []byte(body)
}

// testSiteTimes are the times of a farm's site.
var testSiteTimes = times{workersLease: 2.5, reportInterval: 0.5, cancelBound: 14, writeRPS: 150}

const ticketClassesFormat = `
[[classes]]
lot = "preview"
urgency = "high"
retries = %d
failed = 3
tasks = 100000
vcpus = 2.0
cards = 1.0
memGb = 8.0
bundle = "img-1"
sizeGb = 1.0
loaners = true
expectS = 0.8
`

// classMaxRetries is what the class of a farm allows.
const classMaxRetries = 3

func newTestSite(ctx context.Context, bin, dir string, seed uint64, retries, machines int, t times) (*testSite, error) {
	f := &testSite{dir: dir, eventsPath: filepath.Join(dir, "events"), http: &http.Client{Timeout: 5 * time.Second}}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return f, err
	}
	a, err := freeAddresses(7)
	if err != nil {
		return f, err
	}
	state, cloud, peers := a[0], a[1], a[4:6]
	_, workers, _ := net.SplitHostPort(a[6])
	f.cloudAddr, f.stateAddr, f.apis = cloud, state, a[2:4]
	classes := filepath.Join(dir, "tickets.toml")
	if err := os.WriteFile(classes, fmt.Appendf(nil, ticketClassesFormat, retries), 0o644); err != nil {
		return f, err
	}
	proc := func(name, program string, args ...string) {
		f.procs = append(f.procs, &process{name: name, bin: filepath.Join(bin, program), args: args, logPath: filepath.Join(dir, name+".log")})
	}
	nodes := []string{"n-0", "n-1"}
	proc("state", "standin", "-state", state, "-cloud", "", "-nodes", "n-0="+f.apis[0])
	proc("cloud", "standin", "-state", "", "-cloud", cloud, "-nodes", "n-0="+f.apis[0]+",n-1="+f.apis[1], "-boot", "400ms", "-fetch", "150ms",
		"-lease", fmt.Sprint(t.workersLease), "-report", fmt.Sprint(t.reportInterval), "-zone", "a", "-machines", fmt.Sprint(machines), "-events", f.eventsPath, "-farm", fmt.Sprint(seed), "-workers", workers, fmt.Sprintf("-place=%v", t.mixedMachines))
	f.mixedMachines = t.mixedMachines
	zones := []string{"a", "a"}
	if t.mixedMachines {
		zones[1] = "c"
	}
	for i, n := range nodes {
		path := filepath.Join(dir, n+".toml")
		text := controllerSettings(n, nodes[1-i], zones[i], zones[1-i], f.apis[i], peers[i], peers[1-i], cloud, state, t)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return f, err
		}
		proc(n, "dapplestage", "--tickets", classes, "--config", path)
	}
	for _, p := range f.procs {
		if err := p.start(); err != nil {
			return f, err
		}
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ok := true
		for _, api := range f.apis {
			status, _, err := f.call(ctx, "GET", api, "/ready", nil)
			ok = ok && err == nil && status == 200
		}
		// Controllers are ready without the cloud, and the run begins with an upload there.
		status, _, err := f.call(ctx, "GET", f.cloudAddr, "/hosts", nil)
		ok = ok && err == nil && status == 200
		if ok {
			return f, nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return f, fmt.Errorf("the farm in %s did not start", dir)
		}
	}
}

// startTestSite makes a farm without troubles of its own.
func startTestSite(ctx context.Context, bin, dir string, machines int, t times) (*testSite, error) {
	return startSeededTestSite(ctx, bin, dir, 0, classMaxRetries, machines, t)
}

// startSeededTestSite makes a farm whose machines do what a seed says (0: nothing bad), anew if
// another program took one of its ports meanwhile.
func startSeededTestSite(ctx context.Context, bin, dir string, seed uint64, retries, machines int, t times) (f *testSite, err error) {
	for try := range 3 {
		if f, err = newTestSite(ctx, bin, fmt.Sprintf("%s/%d", dir, try), seed, retries, machines, t); err == nil {
			break
		}
		f.end()
	}
	return f, err
}

func (f *testSite) end() {
	for _, p := range f.procs {
		p.kill()
	}
}

// process is the process of a name; nil if there is none.
func (f *testSite) process(name string) *process {
	for _, p := range f.procs {
		if p.name == name {
			return p
		}
	}
	return nil
}

// signal sends a signal to some of the farm's processes.
func (f *testSite) signal(s syscall.Signal, names ...string) {
	for _, name := range names {
		if p := f.process(name); p != nil {
			p.signal(s)
		}
	}
}

func (f *testSite) call(ctx context.Context, method, addr, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, nil, err
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return resp.StatusCode, data, err
}

// testTicket is a ticket of a run.
type testTicket struct {
	id, name       string
	steps          []string // "name tasks after..."
	maxRetries     int
	maxFailedTasks int
	cancelled      bool // as soon as it is accepted
}

// body is the ticket's submission; carried: inside an ordinary one.
func (t *testTicket) body(carried bool) []byte {
	var steps []map[string]any
	for _, s := range t.steps {
		f := strings.Fields(s)
		step := map[string]any{"name": f[0], "script": map[string]any{"actions": map[string]any{"onRun": map[string]any{"command": "render", "args": []string{"{{Task.Param.F}}"}}}},
			"parameterSpace": map[string]any{"taskParameterDefinitions": []any{map[string]any{"name": "F", "type": "INT", "range": "1-" + f[1]}}}}
		var deps []any
		for _, d := range f[2:] {
			deps = append(deps, map[string]any{"dependsOn": d})
		}
		if deps != nil {
			step["dependencies"] = deps
		}
		steps = append(steps, step)
	}
	tk := map[string]any{"maxRetriesPerTask": t.maxRetries, "maxFailedTasksCount": t.maxFailedTasks, "priority": 100,
		"template": map[string]any{"specificationVersion": format.Version, "name": t.name, "steps": steps}}
	out := map[string]any{"id": t.id, "lot": "preview", "crew": "red"}
	if carried {
		out["ticket"] = tk
	} else {
		for k, v := range tk {
			out[k] = v
		}
	}
	data, _ := json.Marshal(out)
	return data
}

// generateTickets draws the tickets of a run.
func generateTickets(seed uint64) []*testTicket {
	rng := rand.New(rand.NewPCG(seed, 11))
	var out []*testTicket
	for i := range 6 {
		t := &testTicket{id: fmt.Sprintf("job-%06d", i), name: fmt.Sprintf("t%d", i), maxRetries: 2 + rng.IntN(6)}
		switch i {
		case 0: // fails at once when its first task has used up its tries
			t.name = standin.Hopeless + " at once"
		case 1: // survives that, and fails in the end
			t.name, t.maxFailedTasks = standin.Hopeless+" survived", 2
		case 2:
			t.cancelled = true
		}
		for k := range 1 + rng.IntN(3) {
			s := fmt.Sprintf("s%d %d", k, 1+rng.IntN(6))
			for d := range k {
				if rng.IntN(2) == 0 {
					s += fmt.Sprintf(" s%d", d)
				}
			}
			t.steps = append(t.steps, s)
		}
		out = append(out, t)
	}
	return out
}

// jobDescriptions are the descriptions that a ticket's user uploads.
func jobDescriptions(body []byte) ([]ticket.Description, error) {
	s, a, err := admitTicket(body)
	if err != nil {
		return nil, err
	}
	return ticket.Describe(s, a)
}

// admit is the ticket as any node admits it.
func (t *testTicket) admit() (*format.Submission, *ticket.Admitted, error) {
	return admitTicket(t.body(false))
}

func admitTicket(body []byte) (*format.Submission, *ticket.Admitted, error) {
	s, err := format.ParseTicket(body)
	if err != nil {
		return nil, nil, err
	}
	classes := ticket.ClassTable{"preview": {Name: "preview", MaxUrgency: "high", Shapes: []string{"sweep"}, OnExcess: ticket.ReduceExcess, MaxRetries: classMaxRetries, MaxFailedTasks: 3, MaxTasks: 100000, CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "img-1", ImageGB: 1, Spot: true, EstimateS: 0.8}}
	a, err := ticket.Admit(s, classes, ticket.Limits{MaxValueBytes: 8000})
	return s, a, err
}

// expectedLines are the lines that a ticket must give: the seed alone decides.
func (t *testTicket) expectedLines(f *standin.Farm) ([]string, error) {
	_, a, err := t.admit()
	if err != nil {
		return nil, err
	}
	rec := a.Record
	granted := rec.Terms.MaxRetries.Granted
	atOnce := strings.HasPrefix(t.name, standin.Hopeless) && t.maxFailedTasks == 0
	status := protocol.JobDone
	if strings.HasPrefix(t.name, standin.Hopeless) {
		status = protocol.JobFailed
	}
	lines := []string{fmt.Sprintf("%s retries asked %d granted %d urgency %s", t.name, t.maxRetries, min(t.maxRetries, classMaxRetries), "high")}
	if t.cancelled {
		return append(lines, t.name+" withdrawn"), nil
	}
	lines = append(lines, t.name+" "+status)
	state := make([]string, len(rec.Steps))
	for i, st := range rec.Steps {
		state[i] = protocol.JobDone
		for _, d := range st.Deps {
			if state[d] != protocol.JobDone {
				state[i] = node.StepNotRun
			}
		}
		if state[i] == node.StepNotRun {
			if !atOnce {
				lines = append(lines, fmt.Sprintf("%s %s %s", t.name, st.Name, state[i]))
			}
			continue
		}
		for k := range st.Tasks {
			n := f.Errors(t.name, st.Name, k)
			end := "done"
			if n < 0 || n > granted {
				n, end, state[i] = granted+1, "failed", protocol.JobFailed
			}
			if !atOnce || end == "failed" {
				lines = append(lines, fmt.Sprintf("%s %s/%d %d errors, %s", t.name, st.Name, k, n, end))
			}
		}
		if !atOnce {
			lines = append(lines, fmt.Sprintf("%s %s %s", t.name, st.Name, state[i]))
		}
	}
	return lines, nil
}

// machineEvent is what a render server ran.
type machineEvent struct {
	At      int64
	Event   string
	Task    string
	Machine string
}

func readMachineEvents(path string) ([]machineEvent, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var out []machineEvent
	for sc := bufio.NewScanner(file); sc.Scan(); {
		var e machineEvent
		if json.Unmarshal(sc.Bytes(), &e) == nil {
			out = append(out, e)
		}
	}
	return out, nil
}

// observedLines are what a ticket gave: from the machines' own log and from what its user was
// told, each for its own part.
func (t *testTicket) observedLines(told *node.TicketStatus, events []machineEvent) ([]string, error) {
	_, a, err := t.admit()
	if err != nil {
		return nil, err
	}
	atOnce := strings.HasPrefix(t.name, standin.Hopeless) && t.maxFailedTasks == 0
	terms := told.Terms
	asked := -1
	if terms != nil && terms.MaxRetries.Requested != nil {
		asked = *terms.MaxRetries.Requested
	}
	lines := []string{fmt.Sprintf("%s retries asked %d granted %d urgency %s", t.name, asked, terms.MaxRetries.Granted, terms.Priority), t.name + " " + told.Status}
	if t.cancelled {
		return lines, nil
	}
	starts, errs, done := map[string]int{}, map[string]int{}, map[string]bool{}
	lastDone, firstStart := map[string]int64{}, map[string]int64{}
	for _, e := range events {
		job, _, _ := protocol.ParseTaskID(e.Task)
		switch e.Event {
		case "start":
			starts[e.Task]++
			if firstStart[job] == 0 {
				firstStart[job] = e.At
			}
		case "error":
			errs[e.Task]++
		case "done":
			done[e.Task] = true
			lastDone[job] = max(lastDone[job], e.At)
		}
	}
	for i, st := range a.Record.Steps {
		id := ticket.StepSpec(a.Record, i).ID
		for _, d := range st.Deps {
			if dep := ticket.StepSpec(a.Record, d).ID; firstStart[id] != 0 && firstStart[id] < lastDone[dep] {
				lines = append(lines, fmt.Sprintf("%s %s started before %s was done", t.name, st.Name, a.Record.Steps[d].Name))
			}
		}
		if told.Steps[i].Status == node.StepNotRun {
			if firstStart[id] != 0 {
				lines = append(lines, fmt.Sprintf("%s %s is told not to have run, and did", t.name, st.Name))
			}
			if !atOnce {
				lines = append(lines, fmt.Sprintf("%s %s %s", t.name, st.Name, told.Steps[i].Status))
			}
			continue
		}
		for k := range st.Tasks {
			task := protocol.TaskID(id, k)
			end := "not run"
			switch {
			case done[task]:
				end = "done"
			case errs[task] > 0:
				end = "failed"
			}
			if atOnce && !(i == 0 && k == 0) {
				continue // what else ran until then is a matter of time
			}
			lines = append(lines, fmt.Sprintf("%s %s/%d %d errors, %s", t.name, st.Name, k, errs[task], end))
			if starts[task] < errs[task] || done[task] && starts[task] <= errs[task] {
				lines = append(lines, fmt.Sprintf("%s ended more often than it started", task))
			}
		}
		if !atOnce {
			lines = append(lines, fmt.Sprintf("%s %s %s", t.name, st.Name, told.Steps[i].Status))
		}
	}
	return lines, nil
}

// diffLines tells the lines in which two accounts differ.
func diffLines(nameA, nameB string, a, b []string) (out []string) {
	for i := range max(len(a), len(b)) {
		x, y := "(nothing)", "(nothing)"
		if i < len(a) {
			x = a[i]
		}
		if i < len(b) {
			y = b[i]
		}
		if x != y {
			out = append(out, fmt.Sprintf("%s: %s | %s: %s", nameA, x, nameB, y))
		}
	}
	return out
}

// runTickets gives a farm the tickets and waits for their ends.
func (f *testSite) runTickets(ctx context.Context, seed uint64, tickets []*testTicket, carried bool) (map[string]*node.TicketStatus, []time.Duration, error) {
	rng := rand.New(rand.NewPCG(seed, 12))
	var accepts []time.Duration
	for _, t := range tickets {
		took, err := f.submitTicket(ctx, rng, t, carried)
		if err != nil {
			return nil, nil, err
		}
		accepts = append(accepts, took)
	}
	stop := make(chan struct{})
	var drains sync.WaitGroup
	drains.Go(func() { f.drainMachines(ctx, rand.New(rand.NewPCG(seed, 13)), stop) })
	defer func() {
		close(stop)
		drains.Wait()
	}()
	told, err := f.awaitTickets(ctx, rng, tickets)
	return told, accepts, err
}

// submitTicket submits a ticket, by itself or carried by an ordinary submission, until it is
// accepted; took is how long that was. One that is to be cancelled is cancelled.
func (f *testSite) submitTicket(ctx context.Context, rng *rand.Rand, t *testTicket, carried bool) (took time.Duration, err error) {
	if err := uploadDescriptions(ctx, f, t.body(false), len(t.steps)); err != nil {
		return 0, err
	}
	path := "/tickets"
	if carried {
		path = "/api/jobs"
	}
	came := time.Now()
	for try := 0; ; try++ {
		status, out, err := f.call(ctx, "POST", f.apis[rng.IntN(2)], path, t.body(carried))
		if err == nil && (status == 200 || status == 201) {
			break
		}
		if try > 60 || ctx.Err() != nil || err == nil && status < 500 {
			return 0, fmt.Errorf("%s: %d %s %v", t.name, status, out, err)
		}
		time.Sleep(time.Second)
	}
	took = time.Since(came)
	if t.cancelled {
		if status, out, err := f.call(ctx, "POST", f.apis[rng.IntN(2)], "/tickets/"+t.id+"/cancel", []byte("{}")); err != nil || status != 200 {
			return 0, fmt.Errorf("%s: cancel: %d %s %v", t.name, status, out, err)
		}
	}
	return took, nil
}

// awaitTickets asks until all tickets have ended and nothing of them runs.
func (f *testSite) awaitTickets(ctx context.Context, rng *rand.Rand, tickets []*testTicket) (map[string]*node.TicketStatus, error) {
	told := map[string]*node.TicketStatus{}
	for deadline := time.Now().Add(120 * time.Second); ; time.Sleep(300 * time.Millisecond) {
		open := 0
		for _, t := range tickets {
			status, out, err := f.call(ctx, "GET", f.apis[rng.IntN(2)], "/tickets/"+t.id, nil)
			var st node.TicketStatus
			if err != nil || status != 200 || json.Unmarshal(out, &st) != nil {
				open++
				continue
			}
			told[t.name] = &st
			if !ticketEnded(&st) {
				open++
			}
		}
		if open == 0 {
			return told, nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return told, fmt.Errorf("%d tickets did not end", open)
		}
	}
}

// ticketEnded says whether a ticket has ended and nothing of it runs.
func ticketEnded(st *node.TicketStatus) bool {
	ended := st.Status == protocol.JobDone || st.Status == protocol.JobFailed || st.Status == protocol.JobCancelled
	return ended && st.Running == 0 && !slices.ContainsFunc(st.Steps, func(s node.StepStatus) bool { return s.Running > 0 })
}

// drainMachines holds back one machine after another, as an operator does, and notes
// starts on them.
func (f *testSite) drainMachines(ctx context.Context, rng *rand.Rand, stop chan struct{}) {
	for {
		var list protocol.MachineList
		_, out, err := f.call(ctx, "GET", f.cloudAddr, "/hosts", nil)
		if err == nil && json.Unmarshal(out, &list) == nil && len(list.Machines) > 0 {
			f.drain(ctx, list.Machines[rng.IntN(len(list.Machines))].ID)
		}
		select {
		case <-stop:
			return
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}

// drain holds a machine back for a while and notes starts on it.
func (f *testSite) drain(ctx context.Context, machine string) {
	if !f.setCordoned(ctx, machine) {
		return
	}
	// What was stored before the drain may still start; an image takes 0.15 s.
	from := time.Now().Add(1500 * time.Millisecond)
	time.Sleep(3 * time.Second)
	until := time.Now()
	if events, err := readMachineEvents(f.eventsPath); err == nil {
		for _, e := range events {
			if at := time.Unix(0, e.At); e.Event == "start" && e.Machine == machine && at.After(from) && at.Before(until) {
				f.startsOnCordoned = append(f.startsOnCordoned, fmt.Sprintf("%s started on %s, which was held back", e.Task, machine))
			}
		}
	}
	f.setCordoned(ctx)
}

// setCordoned holds back these machines and no others; false if that was not stored.
func (f *testSite) setCordoned(ctx context.Context, machines ...string) bool {
	_, out, err := f.call(ctx, "GET", f.apis[0], "/admin/settings", nil)
	var v struct{ Stamp uint64 }
	if err != nil || json.Unmarshal(out, &v) != nil {
		return false
	}
	body, _ := json.Marshal(map[string]any{"value": append([]string{}, machines...), "stamp": v.Stamp})
	status, _, err := f.call(ctx, "PUT", f.apis[0], "/admin/settings/held_back", body)
	return err == nil && status == 200
}

// ticketComparison is what a run showed.
type ticketComparison struct {
	lines           int
	starts          int
	errors          int
	endedOtherwise  int
	violations      []string
	acceptLatencies []time.Duration
	err             error
}

// pathResult is what one of the two ways showed.
type pathResult struct {
	lines           []string
	events          []machineEvent
	acceptLatencies []time.Duration
	violations      []string
	err             error
}

// runPath plays tickets one way, on a farm of its own.
func runPath(ctx context.Context, bin, dir string, seed uint64, tickets []*testTicket, retries int, carried bool) (r pathResult) {
	f, err := startSeededTestSite(ctx, bin, dir, seed, retries, 24, testSiteTimes)
	defer f.end()
	if err != nil {
		return pathResult{err: err}
	}
	told, accepts, err := f.runTickets(ctx, seed, tickets, carried)
	if err != nil {
		return pathResult{err: err}
	}
	r = pathResult{acceptLatencies: accepts, violations: f.startsOnCordoned}
	if r.events, r.err = readMachineEvents(f.eventsPath); r.err != nil {
		return r
	}
	for _, t := range tickets {
		lines, err := t.observedLines(told[t.name], r.events)
		if err != nil {
			r.err = err
			return r
		}
		r.lines = append(r.lines, lines...)
	}
	return r
}

// comparePaths plays the same tickets both ways. doorRetries is what the class of the
// second farm allows: other than the first's it is a side door, which must be found.
func comparePaths(ctx context.Context, bin, dir string, seed uint64, doorRetries int) *ticketComparison {
	tickets := generateTickets(seed)
	var ways [2]pathResult
	var both sync.WaitGroup
	for i, retries := range []int{classMaxRetries, doorRetries} {
		both.Go(func() {
			ways[i] = runPath(ctx, bin, filepath.Join(dir, fmt.Sprint("way-", i)), seed, tickets, retries, i == 1)
		})
	}
	both.Wait()
	r := &ticketComparison{}
	for _, w := range ways {
		r.add(w)
	}
	if r.err != nil {
		return r
	}
	want, err := expectedLinesOfAll(seed, tickets)
	if err != nil {
		r.err = err
		return r
	}
	r.lines = len(want)
	r.violations = append(r.violations, diffLines("tickets", "ordinary", ways[0].lines, ways[1].lines)...)
	r.violations = append(r.violations, diffLines("tickets", "the seed", ways[0].lines, want)...)
	return r
}

// add adds up what a way showed.
func (r *ticketComparison) add(w pathResult) {
	if w.err != nil {
		r.err = cmp.Or(r.err, w.err)
		return
	}
	r.acceptLatencies = append(r.acceptLatencies, w.acceptLatencies...)
	r.violations = append(r.violations, w.violations...)
	for _, e := range w.events {
		switch e.Event {
		case "start":
			r.starts++
		case "error":
			r.errors++
		case "end":
			r.endedOtherwise++
		}
	}
}

// expectedLinesOfAll are what the seed says of all tickets.
func expectedLinesOfAll(seed uint64, tickets []*testTicket) (lines []string, err error) {
	plan := standin.NewFarm(seed)
	for _, t := range tickets {
		expected, err := t.expectedLines(plan)
		if err != nil {
			return nil, err
		}
		lines = append(lines, expected...)
	}
	return lines, nil
}

func ticketsProofCommand() *cobra.Command {
	return newProofCommand("tickets", "Submit the same tickets both ways to render servers that fail, drain and vanish, and compare", 8, 8, proveTickets)
}

func proveTickets(ctx context.Context, out io.Writer, o runOptions) error {
	accepts := newLatencies()
	sum := struct {
		runTotals
		Tickets int     `json:"tickets_each_way"`
		Lines   int     `json:"lines_compared"`
		Starts  int     `json:"starts"`
		Errors  int     `json:"errors"`
		Lost    int     `json:"ended_otherwise"`
		Median  float64 `json:"accept_median_ms"`
		P99     float64 `json:"accept_p99_ms"`
	}{}
	var err error
	sum.runTotals, err = o.executeRuns(ctx, out, "tickets", func(bin, dir string, seed uint64) (func(), runOutcome) {
		r := comparePaths(ctx, bin, dir, seed, classMaxRetries)
		return func() {
			sum.Tickets += 6
			sum.Lines, sum.Starts, sum.Errors, sum.Lost = sum.Lines+r.lines, sum.Starts+r.starts, sum.Errors+r.errors, sum.Lost+r.endedOtherwise
			accepts.record(r.acceptLatencies...)
		}, runOutcome{fmt.Sprintf("%d lines equal, %d starts, %d errors, %d ended otherwise", r.lines, r.starts, r.errors, r.endedOtherwise), r.violations, r.err}
	})
	if err != nil {
		return err
	}
	sum.Median, sum.P99 = accepts.quantileMS(50), accepts.quantileMS(99)
	if err := printFigures(out, sum); err != nil {
		return err
	}
	return sum.err()
}
