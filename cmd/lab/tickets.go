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

// The tickets proof submits the same tickets to two test sites of the same seed: to one by
// POST /tickets, to the other inside ordinary submissions. The task runs of the machines and the
// answers to users are written as lines of text. The lines of both sites must be equal, and equal
// to the lines that follow from the seed.

// testSite is one site of real processes: a state service, simulated machines and two controllers
// that accept tickets.
type testSite struct {
	dir              string
	procs            []*childProcess
	apis             []string // addresses of the controllers
	cloudAddr        string
	stateAddr        string
	eventsPath       string
	http             *http.Client
	mixedMachines    bool     // several types of machine in three zones
	startsOnCordoned []string // violations: tasks that started on cordoned machines
}

// shapedJobSubmission returns the submission of a job of a given shape. At a site with mixed machines,
// services and arrays need no GPU, and each task of a gang needs a whole large machine.
func (site *testSite) shapedJobSubmission(id, team, shape string, tasks int, seconds float64) []byte {
	body := strings.Replace(string(jobSubmission(id, team, tasks, seconds)), `"sweep"`, fmt.Sprintf("%q", shape), 1)
	const defaultNeeds, defaultPlacement = `"vcpus":2.0,"cards":1.0,"memGb":8.0`, `"together":false,"scatter":false,"loaners":true`
	if site.mixedMachines {
		switch shape {
		case "standing":
			body = strings.NewReplacer(defaultNeeds, `"vcpus":1.0,"cards":0.0,"memGb":2.5`, defaultPlacement, `"together":false,"scatter":true,"loaners":false`, `"standard"`, `"critical"`).Replace(body)
		case "gang":
			body = strings.NewReplacer(defaultNeeds, `"vcpus":43.0,"cards":4.0,"memGb":310.0`, defaultPlacement, `"together":true,"scatter":false,"loaners":false`, `"standard"`, `"high"`).Replace(body)
		default:
			body = strings.NewReplacer(defaultNeeds, `"vcpus":1.0,"cards":0.0,"memGb":2.9`, `"standard"`, `"best_effort"`).Replace(body)
		}
	}
	return []byte(body)
}

// testSiteTimes are the default times and limits of a test site.
var testSiteTimes = times{workerLease: 2.5, reportInterval: 0.5, cancelBound: 14, writeRPS: 150}

// ticketClassesFormat is the settings file of the ticket classes, with the maximum of retries left
// open.
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

// classMaxRetries is the maximum of retries per task that the ticket class allows.
const classMaxRetries = 3

// newTestSite starts the processes of a test site in dir and waits until they are ready. The caller
// must end the site, also after an error.
func newTestSite(ctx context.Context, bin, dir string, seed uint64, retries, machines int, timing times) (*testSite, error) {
	site := &testSite{dir: dir, eventsPath: filepath.Join(dir, "events"), http: &http.Client{Timeout: 5 * time.Second}}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return site, err
	}
	addresses, err := freeAddresses(7)
	if err != nil {
		return site, err
	}
	stateAddr, cloudAddr, peerAddrs := addresses[0], addresses[1], addresses[4:6]
	_, workersPort, _ := net.SplitHostPort(addresses[6])
	site.cloudAddr, site.stateAddr, site.apis = cloudAddr, stateAddr, addresses[2:4]
	classesPath := filepath.Join(dir, "tickets.toml")
	if err := os.WriteFile(classesPath, fmt.Appendf(nil, ticketClassesFormat, retries), 0o644); err != nil {
		return site, err
	}
	addProcess := func(name, program string, args ...string) {
		site.procs = append(site.procs, &childProcess{name: name, bin: filepath.Join(bin, program), args: args, logPath: filepath.Join(dir, name+".log")})
	}
	nodes := []string{"n-0", "n-1"}
	addProcess("state", "standin", "-state", stateAddr, "-cloud", "", "-nodes", "n-0="+site.apis[0])
	addProcess("cloud", "standin", "-state", "", "-cloud", cloudAddr, "-nodes", "n-0="+site.apis[0]+",n-1="+site.apis[1], "-boot", "400ms", "-fetch", "150ms",
		"-lease", fmt.Sprint(timing.workerLease), "-report", fmt.Sprint(timing.reportInterval), "-zone", "a", "-machines", fmt.Sprint(machines), "-events", site.eventsPath, "-farm", fmt.Sprint(seed), "-workers", workersPort, fmt.Sprintf("-place=%v", timing.mixedMachines),
		"-copies", fmt.Sprint(timing.copyRate), "-copy-max", fmt.Sprint(max(timing.copyMaxDelay, time.Second)), "-copy-seed", fmt.Sprint(timing.copySeed))
	site.mixedMachines = timing.mixedMachines
	zones := []string{"a", "a"}
	if timing.mixedMachines {
		zones[1] = "c"
	}
	for i, nodeName := range nodes {
		path := filepath.Join(dir, nodeName+".toml")
		settings := controllerSettings(nodeName, nodes[1-i], zones[i], zones[1-i], site.apis[i], peerAddrs[i], peerAddrs[1-i], cloudAddr, stateAddr, timing)
		if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
			return site, err
		}
		addProcess(nodeName, "dapplestage", "--tickets", classesPath, "--config", path)
	}
	for _, process := range site.procs {
		if err := process.start(); err != nil {
			return site, err
		}
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, api := range site.apis {
			status, _, err := site.call(ctx, "GET", api, "/ready", nil)
			ready = ready && err == nil && status == 200
		}
		// Controllers report ready without the cloud, but a run begins with an upload to the cloud.
		status, _, err := site.call(ctx, "GET", site.cloudAddr, "/hosts", nil)
		ready = ready && err == nil && status == 200
		if ready {
			return site, nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return site, fmt.Errorf("the farm in %s did not start", dir)
		}
	}
}

// startTestSite starts a test site whose machines do not fail on their own.
func startTestSite(ctx context.Context, bin, dir string, machines int, timing times) (*testSite, error) {
	return startSeededTestSite(ctx, bin, dir, 0, classMaxRetries, machines, timing)
}

// startSeededTestSite starts a test site whose machines fail as drawn from the seed (0: not at
// all). It makes up to three attempts, since another program may take one of the ports first.
func startSeededTestSite(ctx context.Context, bin, dir string, seed uint64, retries, machines int, timing times) (site *testSite, err error) {
	for try := range 3 {
		if site, err = newTestSite(ctx, bin, fmt.Sprintf("%s/%d", dir, try), seed, retries, machines, timing); err == nil {
			break
		}
		site.end()
	}
	return site, err
}

// end kills all processes of the site.
func (site *testSite) end() {
	for _, p := range site.procs {
		p.kill()
	}
}

// childProcess returns the process with a given name, or nil.
func (site *testSite) childProcess(name string) *childProcess {
	for _, p := range site.procs {
		if p.name == name {
			return p
		}
	}
	return nil
}

// signal sends a signal to the processes with the given names.
func (site *testSite) signal(s syscall.Signal, names ...string) {
	for _, name := range names {
		if p := site.childProcess(name); p != nil {
			p.signal(s)
		}
	}
}

// call sends an HTTP request and returns the status and the body of the response.
func (site *testSite) call(ctx context.Context, method, addr, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, nil, err
	}
	resp, err := site.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return resp.StatusCode, data, err
}

// testTicket is a ticket that a run submits.
type testTicket struct {
	id, name       string
	steps          []string // each "NAME TASKS DEPENDENCY...", with the number of tasks and the names of earlier steps
	maxRetries     int
	maxFailedTasks int
	cancelled      bool // cancelled as soon as it is accepted
}

// body returns the ticket's submission: an ordinary submission that contains the ticket if embedded
// is set, a submission to /tickets otherwise.
func (t *testTicket) body(embedded bool) []byte {
	var steps []map[string]any
	for _, step := range t.steps {
		fields := strings.Fields(step)
		encodedStep := map[string]any{"name": fields[0], "script": map[string]any{"actions": map[string]any{"onRun": map[string]any{"command": "render", "args": []string{"{{Task.Param.F}}"}}}},
			"parameterSpace": map[string]any{"taskParameterDefinitions": []any{map[string]any{"name": "F", "type": "INT", "range": "1-" + fields[1]}}}}
		var dependencies []any
		for _, dependency := range fields[2:] {
			dependencies = append(dependencies, map[string]any{"dependsOn": dependency})
		}
		if dependencies != nil {
			encodedStep["dependencies"] = dependencies
		}
		steps = append(steps, encodedStep)
	}
	settings := map[string]any{"maxRetriesPerTask": t.maxRetries, "maxFailedTasksCount": t.maxFailedTasks, "priority": 100,
		"template": map[string]any{"specificationVersion": format.Version, "name": t.name, "steps": steps}}
	submission := map[string]any{"id": t.id, "lot": "preview", "crew": "red"}
	if embedded {
		submission["ticket"] = settings
	} else {
		for key, value := range settings {
			submission[key] = value
		}
	}
	encoded, _ := json.Marshal(submission)
	return encoded
}

// generateTickets returns the tickets of a run, drawn from the seed.
func generateTickets(seed uint64) []*testTicket {
	rng := rand.New(rand.NewPCG(seed, 11))
	var tickets []*testTicket
	for i := range 6 {
		ticket := &testTicket{id: fmt.Sprintf("job-%06d", i), name: fmt.Sprintf("t%d", i), maxRetries: 2 + rng.IntN(6)}
		switch i {
		case 0: // the ticket fails as soon as its first task has used up its retries
			ticket.name = standin.AlwaysFailsPrefix + " at once"
		case 1: // the ticket may have two failed tasks, so it runs to its end and fails then
			ticket.name, ticket.maxFailedTasks = standin.AlwaysFailsPrefix+" survived", 2
		case 2:
			ticket.cancelled = true
		}
		for step := range 1 + rng.IntN(3) {
			description := fmt.Sprintf("s%d %d", step, 1+rng.IntN(6))
			for earlier := range step {
				if rng.IntN(2) == 0 {
					description += fmt.Sprintf(" s%d", earlier)
				}
			}
			ticket.steps = append(ticket.steps, description)
		}
		tickets = append(tickets, ticket)
	}
	return tickets
}

// jobDescriptions returns the job descriptions that the user of a ticket uploads.
func jobDescriptions(body []byte) ([]ticket.Description, error) {
	submission, admitted, err := admitTicket(body)
	if err != nil {
		return nil, err
	}
	return ticket.Describe(submission, admitted)
}

// admitTicket returns the ticket as a controller admits it.
func (t *testTicket) admitTicket() (*format.Submission, *ticket.Admitted, error) {
	return admitTicket(t.body(false))
}

// admitTicket parses a ticket and admits it with the same ticket class as ticketClassesFormat.
func admitTicket(body []byte) (*format.Submission, *ticket.Admitted, error) {
	submission, err := format.ParseTicket(body)
	if err != nil {
		return nil, nil, err
	}
	classes := ticket.ClassTable{"preview": {Lot: "preview", Urgency: "high", Shapes: []string{"sweep"}, Over: ticket.ReduceExcess, Retries: classMaxRetries, Failed: 3, Tasks: 100000, VCPUs: 2, Cards: 1, MemGB: 8, Bundle: "img-1", SizeGB: 1, Loaners: true, ExpectS: 0.8}}
	admitted, err := ticket.Admit(submission, classes, ticket.Limits{MaxValueBytes: 8000})
	return submission, admitted, err
}

// expectedLines returns the lines that a ticket must produce. They depend on the seed alone.
func (t *testTicket) expectedLines(plan *standin.RenderFaults) ([]string, error) {
	_, admitted, err := t.admitTicket()
	if err != nil {
		return nil, err
	}
	record := admitted.Record
	granted := record.Terms.MaxRetries.Granted
	failsAtOnce := strings.HasPrefix(t.name, standin.AlwaysFailsPrefix) && t.maxFailedTasks == 0
	status := protocol.JobDone
	if strings.HasPrefix(t.name, standin.AlwaysFailsPrefix) {
		status = protocol.JobFailed
	}
	lines := []string{fmt.Sprintf("%s retries asked %d granted %d urgency %s", t.name, t.maxRetries, min(t.maxRetries, classMaxRetries), "high")}
	if t.cancelled {
		return append(lines, t.name+" withdrawn"), nil
	}
	lines = append(lines, t.name+" "+status)
	stepStatus := make([]string, len(record.Steps))
	for i, step := range record.Steps {
		stepStatus[i] = protocol.JobDone
		for _, dependency := range step.Deps {
			if stepStatus[dependency] != protocol.JobDone {
				stepStatus[i] = node.StepNotRun
			}
		}
		if stepStatus[i] == node.StepNotRun {
			if !failsAtOnce {
				lines = append(lines, fmt.Sprintf("%s %s %s", t.name, step.Name, stepStatus[i]))
			}
			continue
		}
		for task := range step.Tasks {
			errors := plan.FailuresBeforeSuccess(t.name, step.Name, task)
			outcome := "done"
			if errors < 0 || errors > granted {
				errors, outcome, stepStatus[i] = granted+1, "failed", protocol.JobFailed
			}
			if !failsAtOnce || outcome == "failed" {
				lines = append(lines, fmt.Sprintf("%s %s/%d %d errors, %s", t.name, step.Name, task, errors, outcome))
			}
		}
		if !failsAtOnce {
			lines = append(lines, fmt.Sprintf("%s %s %s", t.name, step.Name, stepStatus[i]))
		}
	}
	return lines, nil
}

// machineEvent is an entry of the event log of a site's machines: the start of a task, or its end
// (done, error or end).
type machineEvent struct {
	At      int64
	Event   string
	Task    string
	Machine string
}

// readMachineEvents reads an event log. Lines that can't be parsed are skipped.
func readMachineEvents(path string) ([]machineEvent, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var events []machineEvent
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var event machineEvent
		if json.Unmarshal(scanner.Bytes(), &event) == nil {
			events = append(events, event)
		}
	}
	return events, nil
}

// observedLines returns the lines that a ticket produced. Errors, ends and order of tasks come from
// the machines' event log; terms and status of the ticket and its steps come from the answer to its
// user.
func (t *testTicket) observedLines(status *node.TicketStatus, events []machineEvent) ([]string, error) {
	_, admitted, err := t.admitTicket()
	if err != nil {
		return nil, err
	}
	failsAtOnce := strings.HasPrefix(t.name, standin.AlwaysFailsPrefix) && t.maxFailedTasks == 0
	terms := status.Terms
	requested := -1
	if terms != nil && terms.MaxRetries.Requested != nil {
		requested = *terms.MaxRetries.Requested
	}
	lines := []string{fmt.Sprintf("%s retries asked %d granted %d urgency %s", t.name, requested, terms.MaxRetries.Granted, terms.Priority), t.name + " " + status.Status}
	if t.cancelled {
		return lines, nil
	}
	starts, errors, done := map[string]int{}, map[string]int{}, map[string]bool{}
	lastDone, firstStart := map[string]int64{}, map[string]int64{}
	for _, event := range events {
		job, _, _ := protocol.ParseTaskID(event.Task)
		switch event.Event {
		case "start":
			starts[event.Task]++
			if firstStart[job] == 0 {
				firstStart[job] = event.At
			}
		case "error":
			errors[event.Task]++
		case "done":
			done[event.Task] = true
			lastDone[job] = max(lastDone[job], event.At)
		}
	}
	for i, step := range admitted.Record.Steps {
		jobID := ticket.StepSpec(admitted.Record, i).ID
		for _, dependency := range step.Deps {
			if dependencyID := ticket.StepSpec(admitted.Record, dependency).ID; firstStart[jobID] != 0 && firstStart[jobID] < lastDone[dependencyID] {
				lines = append(lines, fmt.Sprintf("%s %s started before %s was done", t.name, step.Name, admitted.Record.Steps[dependency].Name))
			}
		}
		if status.Steps[i].Status == node.StepNotRun {
			if firstStart[jobID] != 0 {
				lines = append(lines, fmt.Sprintf("%s %s is reported as not run, but it ran", t.name, step.Name))
			}
			if !failsAtOnce {
				lines = append(lines, fmt.Sprintf("%s %s %s", t.name, step.Name, status.Steps[i].Status))
			}
			continue
		}
		for index := range step.Tasks {
			task := protocol.TaskID(jobID, index)
			outcome := "not run"
			switch {
			case done[task]:
				outcome = "done"
			case errors[task] > 0:
				outcome = "failed"
			}
			if failsAtOnce && !(i == 0 && index == 0) {
				continue // which other tasks ran before the ticket failed depends on timing
			}
			lines = append(lines, fmt.Sprintf("%s %s/%d %d errors, %s", t.name, step.Name, index, errors[task], outcome))
			if starts[task] < errors[task] || done[task] && starts[task] <= errors[task] {
				lines = append(lines, fmt.Sprintf("%s ended more often than it started", task))
			}
		}
		if !failsAtOnce {
			lines = append(lines, fmt.Sprintf("%s %s %s", t.name, step.Name, status.Steps[i].Status))
		}
	}
	return lines, nil
}

// diffLines returns a description of each line in which a and b differ.
func diffLines(nameA, nameB string, linesA, linesB []string) (differences []string) {
	for i := range max(len(linesA), len(linesB)) {
		lineA, lineB := "(nothing)", "(nothing)"
		if i < len(linesA) {
			lineA = linesA[i]
		}
		if i < len(linesB) {
			lineB = linesB[i]
		}
		if lineA != lineB {
			differences = append(differences, fmt.Sprintf("%s: %s | %s: %s", nameA, lineA, nameB, lineB))
		}
	}
	return differences
}

// runTickets submits the tickets to a site and waits until they have ended, while machines are
// drained. It returns the final statuses by ticket name and the latencies of the submissions.
func (site *testSite) runTickets(ctx context.Context, seed uint64, tickets []*testTicket, embedded bool) (map[string]*node.TicketStatus, []time.Duration, error) {
	rng := rand.New(rand.NewPCG(seed, 12))
	var acceptLatencies []time.Duration
	for _, ticket := range tickets {
		latency, err := site.submitTicket(ctx, rng, ticket, embedded)
		if err != nil {
			return nil, nil, err
		}
		acceptLatencies = append(acceptLatencies, latency)
	}
	stop := make(chan struct{})
	var drainer sync.WaitGroup
	drainer.Go(func() { site.drainMachines(ctx, rand.New(rand.NewPCG(seed, 13)), stop) })
	defer func() {
		close(stop)
		drainer.Wait()
	}()
	statuses, err := site.awaitTickets(ctx, rng, tickets)
	return statuses, acceptLatencies, err
}

// submitTicket retries the submission of a ticket until it is accepted and returns how long that
// took. A ticket that is to be cancelled is cancelled then.
func (site *testSite) submitTicket(ctx context.Context, rng *rand.Rand, ticket *testTicket, embedded bool) (latency time.Duration, err error) {
	if err := uploadDescriptions(ctx, site, ticket.body(false), len(ticket.steps)); err != nil {
		return 0, err
	}
	path := "/tickets"
	if embedded {
		path = "/api/jobs"
	}
	sentAt := time.Now()
	for try := 0; ; try++ {
		status, response, err := site.call(ctx, "POST", site.apis[rng.IntN(2)], path, ticket.body(embedded))
		if err == nil && (status == 200 || status == 201) {
			break
		}
		if try > 60 || ctx.Err() != nil || err == nil && status < 500 {
			return 0, fmt.Errorf("%s: %d %s %v", ticket.name, status, response, err)
		}
		time.Sleep(time.Second)
	}
	latency = time.Since(sentAt)
	if ticket.cancelled {
		if status, response, err := site.call(ctx, "POST", site.apis[rng.IntN(2)], "/tickets/"+ticket.id+"/cancel", []byte("{}")); err != nil || status != 200 {
			return 0, fmt.Errorf("%s: cancel: %d %s %v", ticket.name, status, response, err)
		}
	}
	return latency, nil
}

// awaitTickets polls until all tickets have ended and none of their tasks runs.
func (site *testSite) awaitTickets(ctx context.Context, rng *rand.Rand, tickets []*testTicket) (map[string]*node.TicketStatus, error) {
	statuses := map[string]*node.TicketStatus{}
	for deadline := time.Now().Add(120 * time.Second); ; time.Sleep(300 * time.Millisecond) {
		pending := 0
		for _, ticket := range tickets {
			status, response, err := site.call(ctx, "GET", site.apis[rng.IntN(2)], "/tickets/"+ticket.id, nil)
			var ticketStatus node.TicketStatus
			if err != nil || status != 200 || json.Unmarshal(response, &ticketStatus) != nil {
				pending++
				continue
			}
			statuses[ticket.name] = &ticketStatus
			if !ticketEnded(&ticketStatus) {
				pending++
			}
		}
		if pending == 0 {
			return statuses, nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return statuses, fmt.Errorf("%d tickets did not end", pending)
		}
	}
}

// ticketEnded reports whether a ticket has ended and none of its tasks runs.
func ticketEnded(status *node.TicketStatus) bool {
	ended := status.Status == protocol.JobDone || status.Status == protocol.JobFailed || status.Status == protocol.JobCancelled
	return ended && status.Running == 0 && !slices.ContainsFunc(status.Steps, func(step node.StepStatus) bool { return step.Running > 0 })
}

// drainMachines cordons one random machine after another, as an operator does, until stop is
// closed, and records tasks that start on a cordoned machine.
func (site *testSite) drainMachines(ctx context.Context, rng *rand.Rand, stop chan struct{}) {
	for {
		var machines protocol.MachineList
		_, response, err := site.call(ctx, "GET", site.cloudAddr, "/hosts", nil)
		if err == nil && json.Unmarshal(response, &machines) == nil && len(machines.Machines) > 0 {
			site.drain(ctx, machines.Machines[rng.IntN(len(machines.Machines))].ID)
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

// drain cordons a machine for 3 s and records tasks that start on it.
func (site *testSite) drain(ctx context.Context, machine string) {
	if !site.setCordoned(ctx, machine) {
		return
	}
	// Tasks placed before the machine was cordoned may still start; fetching an image takes 0.15 s.
	cordonedFrom := time.Now().Add(1500 * time.Millisecond)
	time.Sleep(3 * time.Second)
	cordonedUntil := time.Now()
	if events, err := readMachineEvents(site.eventsPath); err == nil {
		for _, event := range events {
			if at := time.Unix(0, event.At); event.Event == "start" && event.Machine == machine && at.After(cordonedFrom) && at.Before(cordonedUntil) {
				site.startsOnCordoned = append(site.startsOnCordoned, fmt.Sprintf("%s started on %s, which was held back", event.Task, machine))
			}
		}
	}
	site.setCordoned(ctx)
}

// setCordoned replaces the set of cordoned machines. It returns false if the setting was not
// stored.
func (site *testSite) setCordoned(ctx context.Context, machines ...string) bool {
	_, response, err := site.call(ctx, "GET", site.apis[0], "/admin/settings", nil)
	var settings struct{ Stamp uint64 }
	if err != nil || json.Unmarshal(response, &settings) != nil {
		return false
	}
	body, _ := json.Marshal(map[string]any{"value": append([]string{}, machines...), "stamp": settings.Stamp})
	status, _, err := site.call(ctx, "PUT", site.apis[0], "/admin/settings/held_back", body)
	return err == nil && status == 200
}

// ticketComparison holds the counts, violations and latencies of one run.
type ticketComparison struct {
	lines           int
	starts          int
	errors          int
	endedOtherwise  int
	violations      []string
	acceptLatencies []time.Duration
	err             error
}

// pathResult holds the lines, events and violations of one of the two submission paths.
type pathResult struct {
	lines           []string
	events          []machineEvent
	acceptLatencies []time.Duration
	violations      []string
	err             error
}

// runPath runs tickets by one submission path, at a test site of its own.
func runPath(ctx context.Context, bin, dir string, seed uint64, tickets []*testTicket, retries int, embedded bool) (result pathResult) {
	site, err := startSeededTestSite(ctx, bin, dir, seed, retries, 24, testSiteTimes)
	defer site.end()
	if err != nil {
		return pathResult{err: err}
	}
	statuses, acceptLatencies, err := site.runTickets(ctx, seed, tickets, embedded)
	if err != nil {
		return pathResult{err: err}
	}
	result = pathResult{acceptLatencies: acceptLatencies, violations: site.startsOnCordoned}
	if result.events, result.err = readMachineEvents(site.eventsPath); result.err != nil {
		return result
	}
	for _, ticket := range tickets {
		lines, err := ticket.observedLines(statuses[ticket.name], result.events)
		if err != nil {
			result.err = err
			return result
		}
		result.lines = append(result.lines, lines...)
	}
	return result
}

// comparePaths runs the same tickets by both submission paths. embeddedRetries is the maximum of
// retries of the class at the second site. If it differs from the first site's, ordinary submissions
// bypass a limit, and the comparison must find that.
func comparePaths(ctx context.Context, bin, dir string, seed uint64, embeddedRetries int) *ticketComparison {
	tickets := generateTickets(seed)
	var paths [2]pathResult
	var running sync.WaitGroup
	for i, retries := range []int{classMaxRetries, embeddedRetries} {
		running.Go(func() {
			paths[i] = runPath(ctx, bin, filepath.Join(dir, fmt.Sprint("way-", i)), seed, tickets, retries, i == 1)
		})
	}
	running.Wait()
	comparison := &ticketComparison{}
	for _, path := range paths {
		comparison.add(path)
	}
	if comparison.err != nil {
		return comparison
	}
	expected, err := expectedLinesOfAll(seed, tickets)
	if err != nil {
		comparison.err = err
		return comparison
	}
	comparison.lines = len(expected)
	comparison.violations = append(comparison.violations, diffLines("tickets", "ordinary", paths[0].lines, paths[1].lines)...)
	comparison.violations = append(comparison.violations, diffLines("tickets", "the seed", paths[0].lines, expected)...)
	return comparison
}

// add adds the counts and violations of one submission path.
func (r *ticketComparison) add(path pathResult) {
	if path.err != nil {
		r.err = cmp.Or(r.err, path.err)
		return
	}
	r.acceptLatencies = append(r.acceptLatencies, path.acceptLatencies...)
	r.violations = append(r.violations, path.violations...)
	for _, event := range path.events {
		switch event.Event {
		case "start":
			r.starts++
		case "error":
			r.errors++
		case "end":
			r.endedOtherwise++
		}
	}
}

// expectedLinesOfAll returns the lines that all tickets must produce.
func expectedLinesOfAll(seed uint64, tickets []*testTicket) (lines []string, err error) {
	plan := standin.NewRenderFaults(seed)
	for _, ticket := range tickets {
		expectedLines, err := ticket.expectedLines(plan)
		if err != nil {
			return nil, err
		}
		lines = append(lines, expectedLines...)
	}
	return lines, nil
}

// ticketsProofCommand returns the subcommand that compares tickets with ordinary submissions.
func ticketsProofCommand() *cobra.Command {
	return newProofCommand("tickets", "Submit the same tickets by both paths to machines that fail, drain and vanish, and compare", 8, 8, proveTickets)
}

// proveTickets executes the runs and prints their figures.
func proveTickets(ctx context.Context, out io.Writer, options runOptions) error {
	acceptLatencies := newLatencies()
	figures := struct {
		runTotals
		TicketsPerPath int     `json:"tickets_each_way"`
		Lines          int     `json:"lines_compared"`
		Starts         int     `json:"starts"`
		Errors         int     `json:"errors"`
		EndedOtherwise int     `json:"ended_otherwise"`
		Median         float64 `json:"accept_median_ms"`
		P99            float64 `json:"accept_p99_ms"`
	}{}
	var err error
	figures.runTotals, err = options.executeRuns(ctx, out, "tickets", func(bin, dir string, seed uint64) (func(), runOutcome) {
		comparison := comparePaths(ctx, bin, dir, seed, classMaxRetries)
		return func() {
			figures.TicketsPerPath += 6
			figures.Lines, figures.Starts, figures.Errors, figures.EndedOtherwise = figures.Lines+comparison.lines, figures.Starts+comparison.starts, figures.Errors+comparison.errors, figures.EndedOtherwise+comparison.endedOtherwise
			acceptLatencies.record(comparison.acceptLatencies...)
		}, runOutcome{fmt.Sprintf("%d lines equal, %d starts, %d errors, %d ended otherwise", comparison.lines, comparison.starts, comparison.errors, comparison.endedOtherwise), comparison.violations, comparison.err}
	})
	if err != nil {
		return err
	}
	figures.Median, figures.P99 = acceptLatencies.quantileMS(50), acceptLatencies.quantileMS(99)
	if err := printFigures(out, figures); err != nil {
		return err
	}
	return figures.err()
}
