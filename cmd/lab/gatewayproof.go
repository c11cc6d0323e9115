package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/gateway"
	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
	"dapplestage.example/dapplestage/internal/storage"
	"dapplestage.example/dapplestage/internal/storage/segments"
)

// gatewayRunResult holds the counts, violations and measured times of one run.
type gatewayRunResult struct {
	accepted, neverAccepted              int      // jobs
	lost, contradictions, concurrentRuns []string // violations, one line each
	unanswered, falseEnds                []string
	lateCancels                          []string
	storeMismatches                      []string
	handoffs, drains                     []time.Duration // from the fault to the handoff of a job
	overlappingHandoffs                  []time.Duration // handoffs of lost sites while another fault was active
	movedJobs                            int
	err                                  error
}

// violations returns all violations of the run.
func (result *gatewayRunResult) violations() []string {
	return slices.Concat(result.lost, result.contradictions, result.concurrentRuns, result.unanswered, result.falseEnds, result.lateCancels, result.storeMismatches)
}

// gatewayProofCommand returns the subcommand that checks jobs submitted to two sites and a gateway
// while faults are injected.
func gatewayProofCommand() *cobra.Command {
	jobs, keepFiles := 24, false
	command := newProofCommand("gateway", "Kill, suspend and partition two sites and a gateway at random, and check every job", 10, 10, func(ctx context.Context, out io.Writer, options runOptions) error {
		if err := checkRange("jobs", jobs, 1, 500); err != nil {
			return err
		}
		options.keepFiles = keepFiles
		return proveGateway(ctx, out, options, jobs)
	})
	command.Flags().IntVar(&jobs, "jobs", jobs, "jobs in a run")
	command.Flags().BoolVar(&keepFiles, "keep", keepFiles, "keep the files of all runs, not only of those with violations")
	return command
}

// gatewayFigures is the last output line of the gateway proof: the figures of all runs.
type gatewayFigures struct {
	runTotals
	Accepted            int     `json:"accepted"`
	Lost                int     `json:"lost"`
	Contradictions      int     `json:"doubled"`
	ConcurrentRuns      int     `json:"ran_at_both"`
	Unanswered          int     `json:"unanswered"`
	FalseEnds           int     `json:"untrue_done"`
	LateCancels         int     `json:"late_cancels"`
	StoreMismatches     int     `json:"stores_differ"`
	MovedJobs           int     `json:"moved"`
	Handoffs            int64   `json:"handoffs"`
	HandoffMedian       float64 `json:"handoff_median_s"`
	HandoffP99          float64 `json:"handoff_p99_s"`
	HandoffMax          float64 `json:"handoff_max_s"`
	HandoffLimit        float64 `json:"handoff_bound_s"`
	OverlappingHandoffs int64   `json:"handoffs_amid_others"`
	OverlappingMax      float64 `json:"handoff_amid_others_max_s"`
	Drains              int64   `json:"drain_handoffs"`
	DrainMedian         float64 `json:"drain_median_s"`
	DrainP99            float64 `json:"drain_p99_s"`
}

// record adds the counts of a completed run.
func (f *gatewayFigures) record(run *gatewayRunResult) {
	f.Accepted += run.accepted
	f.Lost += len(run.lost)
	f.Contradictions += len(run.contradictions)
	f.ConcurrentRuns += len(run.concurrentRuns)
	f.Unanswered += len(run.unanswered)
	f.FalseEnds += len(run.falseEnds)
	f.LateCancels += len(run.lateCancels)
	f.StoreMismatches += len(run.storeMismatches)
	f.MovedJobs += run.movedJobs
}

// proveGateway executes the runs and prints their figures.
func proveGateway(ctx context.Context, out io.Writer, options runOptions, jobs int) error {
	handoffs, drains, overlappingHandoffs := newLatencies(), newLatencies(), newLatencies()
	total := gatewayFigures{HandoffLimit: gateway.HandoffBound(gatewayConfig(gatewayTimes)).Seconds()}
	totals, err := options.executeRuns(ctx, out, "gateway", func(bin, dir string, seed uint64) (func(), runOutcome) {
		result := executeGatewayRun(ctx, bin, dir, seed, jobs)
		summary := fmt.Sprintf("%d jobs accepted, %d moved to the other site, %d handoffs of a lost site, %d of a drained one", result.accepted, result.movedJobs, len(result.handoffs)+len(result.overlappingHandoffs), len(result.drains))
		return func() {
			if result.err != nil {
				return
			}
			total.record(result)
			handoffs.record(result.handoffs...)
			overlappingHandoffs.record(result.overlappingHandoffs...)
			drains.record(result.drains...)
		}, runOutcome{summary, result.violations(), result.err}
	})
	if err != nil {
		return err
	}
	total.runTotals = totals
	total.Handoffs, total.HandoffMedian, total.HandoffP99, total.HandoffMax = handoffs.count(), handoffs.quantileSeconds(50), handoffs.quantileSeconds(99), handoffs.maxSeconds()
	total.OverlappingHandoffs, total.OverlappingMax = overlappingHandoffs.count(), overlappingHandoffs.maxSeconds()
	total.Drains, total.DrainMedian, total.DrainP99 = drains.count(), drains.quantileSeconds(50), drains.quantileSeconds(99)
	if err := printFigures(out, total); err != nil {
		return err
	}
	return total.err()
}

// gatewayConfig returns the settings of a gateway member that its handoff bound depends on.
func gatewayConfig(timing times) gateway.Config {
	seconds := func(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
	return gateway.Config{Members: make([]gateway.Member, 3), LeaseTime: seconds(timing.siteLease), StopTime: gateway.StopBound(seconds(timing.controllerLease), seconds(timing.workerLease))}
}

// userAnswer is a member's answer to one request of a user.
type userAnswer struct {
	receivedAt, sentAt time.Time
	request            string // submit, poll or cancel
	status             int    // of HTTP
	jobState           string
	answeredBy         string // name of the member
}

// user is a simulated user with one job, and the answers that it received.
type user struct {
	id          string
	body        []byte
	tasks       int
	cancelAfter time.Duration // from the acceptance of the job to the cancellation; 0: never cancels
	mu          sync.Mutex
	answers     []userAnswer
	ended       atomic.Bool // got a final answer, or gave up submitting
}

// executeGatewayRun starts a deployment, runs users while faults are injected from the seed, and
// checks the answers, task runs and stores afterwards.
func executeGatewayRun(ctx context.Context, bin, dir string, seed uint64, jobs int) *gatewayRunResult {
	result := &gatewayRunResult{}
	d, err := startDeployment(ctx, bin, dir, gatewayTimes, 12)
	if err != nil {
		result.err = err
		return result
	}
	defer d.end()
	rng := rand.New(rand.NewPCG(seed, 5))
	usersCtx, stopUsers := context.WithCancel(ctx)
	defer stopUsers()
	users, usersDone := d.startUsers(usersCtx, rng, seed, jobs)
	faults := d.injectFaults(ctx, rng)
	awaitFinalAnswers(ctx, users)
	// At the end every user polls every member, so that the answers of all members are checked.
	for _, u := range users {
		for _, member := range d.members {
			u.send(usersCtx, d, "poll", member)
		}
	}
	stopUsers()
	usersDone.Wait()
	if ctx.Err() != nil {
		result.err = ctx.Err()
		return result
	}
	taskRuns := d.readTaskRuns()
	d.checkUsers(result, users, taskRuns)
	d.checkConcurrentRuns(result, users, taskRuns)
	d.measureHandoffs(result, faults)
	d.checkStores(ctx, result, users)
	writeUsersLog(filepath.Join(dir, "users.log"), users, faults)
	return result
}

// startUsers starts users at random times within 16 s, each with its own job. usersDone is done
// when all users have returned.
func (d *deployment) startUsers(ctx context.Context, rng *rand.Rand, seed uint64, jobs int) (users []*user, usersDone *sync.WaitGroup) {
	usersDone = &sync.WaitGroup{}
	for i := range jobs {
		u := &user{id: fmt.Sprintf("job-%d%04d", seed, i), tasks: 1 + rng.IntN(3)}
		u.body = jobSubmission(u.id, []string{"red", "blue"}[rng.IntN(2)], u.tasks, 0.5+rng.Float64()*5)
		if rng.IntN(5) == 0 {
			u.cancelAfter = randomDuration(rng, 500*time.Millisecond, 10*time.Second)
		}
		users = append(users, u)
		startDelay, userSeed := randomDuration(rng, 0, 16*time.Second), rng.Uint64()
		usersDone.Go(func() { d.runUser(ctx, u, startDelay, rand.New(rand.NewPCG(userSeed, 3))) })
	}
	return users, usersDone
}

// awaitFinalAnswers waits until all users have a final answer or have given up, for at most a minute.
func awaitFinalAnswers(ctx context.Context, users []*user) {
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		if !slices.ContainsFunc(users, func(u *user) bool { return !u.ended.Load() }) {
			return
		}
	}
}

// writeUsersLog writes the answers of all users and the injected faults to a file.
func writeUsersLog(path string, users []*user, faults []injectedFault) {
	file, err := os.Create(path)
	if err != nil {
		return
	}
	defer file.Close()
	for _, u := range users {
		for _, answer := range u.answers {
			fmt.Fprintf(file, "%s %s %s at %s: %d %s\n", answer.receivedAt.Format("15:04:05.000"), u.id, answer.request, answer.answeredBy, answer.status, answer.jobState)
		}
	}
	for _, fault := range faults {
		fmt.Fprintf(file, "%s fault %s of %s for %v\n", fault.at.Format("15:04:05.000"), fault.kind, fault.target, fault.duration)
	}
}

// send sends one request to a member. An answer is recorded; a request without one returns
// status 0 and is not.
func (u *user) send(ctx context.Context, d *deployment, request, member string) userAnswer {
	result := userAnswer{sentAt: time.Now(), request: request, answeredBy: member}
	method, path, body := "GET", "/api/jobs/"+u.id, []byte(nil)
	switch request {
	case "submit":
		method, path, body = "POST", "/api/jobs", u.body
	case "cancel":
		method, path = "POST", path+"/cancel"
	}
	status, data, _, err := d.call(ctx, method, d.apiAddrs[member], path, body)
	result.receivedAt = time.Now()
	if err != nil {
		return result
	}
	var job protocol.JobStatus
	json.Unmarshal(data, &job)
	result.status, result.jobState = status, job.Status
	u.mu.Lock()
	u.answers = append(u.answers, result)
	u.mu.Unlock()
	return result
}

// sleepContext sleeps for a duration. It returns false if ctx ended first.
func sleepContext(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// runUser runs a user: it uploads the job's description, submits the job until it is accepted, and
// polls or cancels it until ctx ends. Each request goes to a random member. After the final answer
// it polls less often, to check that the answer does not change.
func (d *deployment) runUser(ctx context.Context, u *user, startDelay time.Duration, rng *rand.Rand) {
	if !sleepContext(ctx, startDelay) || !d.upload(ctx, u) || !d.submit(ctx, u, rng) {
		return
	}
	acceptedAt := time.Now()
	for {
		request := "poll"
		if u.cancelAfter > 0 && time.Since(acceptedAt) > u.cancelAfter {
			request = "cancel"
		}
		minPause, maxPause := 300*time.Millisecond, 900*time.Millisecond
		if answer := u.send(ctx, d, request, d.randomMember(rng)); answer.status == 200 && (answer.jobState == protocol.JobDone || answer.jobState == protocol.JobCancelled) {
			u.ended.Store(true)
			minPause, maxPause = 2*time.Second, 4*time.Second
		}
		if !sleepContext(ctx, randomDuration(rng, minPause, maxPause)) {
			return
		}
	}
}

// randomMember returns the name of a random member.
func (d *deployment) randomMember(rng *rand.Rand) string { return d.members[rng.IntN(len(d.members))] }

// upload sends the description of a user's job to the workers of both sites.
func (d *deployment) upload(ctx context.Context, u *user) bool {
	for _, site := range d.sites {
		for status := 0; status != 200; {
			var err error
			if status, _, _, err = d.call(ctx, "POST", site.cloudAddr, "/upload", u.body); err != nil && !sleepContext(ctx, 500*time.Millisecond) {
				return false
			}
		}
	}
	return true
}

// submit retries the submission until the job is accepted, for a minute. It returns false if the
// job was not accepted; such a job is not checked, since no member has committed to it.
func (d *deployment) submit(ctx context.Context, u *user, rng *rand.Rand) bool {
	for startedAt := time.Now(); ; {
		if answer := u.send(ctx, d, "submit", d.randomMember(rng)); answer.status == 200 || answer.status == 201 {
			return true
		}
		if !sleepContext(ctx, randomDuration(rng, 500*time.Millisecond, 1500*time.Millisecond)) {
			return false
		}
		if time.Since(startedAt) > 60*time.Second {
			u.ended.Store(true)
			return false
		}
	}
}

// injectedFault is one injected fault.
type injectedFault struct {
	kind, target string
	at           time.Time
	duration     time.Duration
	lostSite     string // the site that is lost if the fault lasts long enough
	drainedSite  string // the site that is drained
}

// injectFaults injects two or three faults within some 20 s and heals them all. The second fault
// often occurs during the handoff that the first one caused.
func (d *deployment) injectFaults(ctx context.Context, rng *rand.Rand) []injectedFault {
	var faults []injectedFault
	var healed sync.WaitGroup
	sleep := func(pause time.Duration) {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	sleep(randomDuration(rng, 2*time.Second, 6*time.Second))
	for range 2 + rng.IntN(2) {
		site := d.sites[rng.IntN(2)]
		f := injectedFault{at: time.Now(), target: site.name, duration: randomDuration(rng, 2*time.Second, 18*time.Second)}
		inject := faultInjectors[rng.IntN(len(faultInjectors))]
		heal := inject(ctx, d, site, rng, &f)
		duration := f.duration
		healed.Go(func() {
			sleep(duration)
			heal()
		})
		faults = append(faults, f)
		sleep(randomDuration(rng, 1*time.Second, 11*time.Second))
	}
	healed.Wait()
	return faults
}

// faultInjector injects a fault at a site or in the whole deployment and records it in f. heal
// ends the fault.
type faultInjector func(ctx context.Context, d *deployment, s *memberSite, rng *rand.Rand, f *injectedFault) (heal func())

// faultInjectors lists all fault injectors. A seed selects by index, so the order must not change.
var faultInjectors = []faultInjector{killGateway, killDaemon, killControllers, suspendStateService, suspendDaemon, cutLink, isolateSite, suspendSite, drainSite}

// killGateway kills the gateway and starts it again.
func killGateway(_ context.Context, d *deployment, _ *memberSite, _ *rand.Rand, f *injectedFault) func() {
	f.kind, f.target = "gateway killed", "gate"
	d.gateway.kill()
	return func() { d.gateway.start() }
}

// killDaemon kills a site daemon and starts it again.
func killDaemon(_ context.Context, _ *deployment, s *memberSite, _ *rand.Rand, f *injectedFault) func() {
	f.kind, f.lostSite = "daemon killed", s.name
	s.daemon.kill()
	return func() { s.daemon.start() }
}

// killControllers kills the controllers of a site and starts them again.
func killControllers(_ context.Context, _ *deployment, s *memberSite, _ *rand.Rand, f *injectedFault) func() {
	f.kind = "controllers killed"
	for _, c := range s.controllers {
		c.kill()
	}
	return func() {
		for _, c := range s.controllers {
			c.start()
		}
	}
}

// suspendStateService suspends the state service of a site.
func suspendStateService(_ context.Context, _ *deployment, s *memberSite, _ *rand.Rand, f *injectedFault) func() {
	f.kind = "state service suspended"
	return suspendAll(s.state)
}

// suspendDaemon suspends a site daemon.
func suspendDaemon(_ context.Context, _ *deployment, s *memberSite, _ *rand.Rand, f *injectedFault) func() {
	f.kind, f.lostSite = "daemon suspended", s.name
	return suspendAll(s.daemon)
}

// suspendSite suspends all processes of a site.
func suspendSite(_ context.Context, _ *deployment, s *memberSite, _ *rand.Rand, f *injectedFault) func() {
	f.kind, f.lostSite = "whole site suspended", s.name
	return suspendAll(append([]*childProcess{s.state, s.cloud, s.daemon}, s.controllers...)...)
}

// suspendAll suspends processes with SIGSTOP; resume continues them.
func suspendAll(processes ...*childProcess) (resume func()) {
	for _, p := range processes {
		p.signal(syscall.SIGSTOP)
	}
	return func() {
		for _, p := range processes {
			p.signal(syscall.SIGCONT)
		}
	}
}

// cutLink cuts the link between two random members, in one direction or both.
func cutLink(_ context.Context, d *deployment, _ *memberSite, rng *rand.Rand, f *injectedFault) func() {
	from, to := d.members[rng.IntN(3)], d.members[rng.IntN(3)]
	if from == to {
		to = d.members[(slices.Index(d.members, from)+1)%3]
	}
	bothWays, dropHeld := rng.IntN(2) == 0, rng.IntN(2) == 0
	f.kind, f.target = fmt.Sprintf("link cut (both ways %v)", bothWays), from+" to "+to
	links := []*link{d.links[[2]string{from, to}]}
	if bothWays {
		links = append(links, d.links[[2]string{to, from}])
	}
	return cutLinks(links, dropHeld)
}

// isolateSite cuts all links from and to a site.
func isolateSite(_ context.Context, d *deployment, s *memberSite, _ *rand.Rand, f *injectedFault) func() {
	f.kind, f.lostSite = "site cut off", s.name
	var links []*link
	for ends, l := range d.links {
		if ends[0] == s.name || ends[1] == s.name {
			links = append(links, l)
		}
	}
	return cutLinks(links, false)
}

// cutLinks cuts links. With dropHeld, healing them closes their connections, which drops the bytes
// held back meanwhile.
func cutLinks(links []*link, dropHeld bool) (heal func()) {
	for _, l := range links {
		l.setCut(true, false)
	}
	return func() {
		for _, l := range links {
			l.setCut(false, dropHeld)
		}
	}
}

// drainSite drains a site and ends the drain again, with up to 40 attempts.
func drainSite(ctx context.Context, d *deployment, s *memberSite, _ *rand.Rand, f *injectedFault) func() {
	f.kind, f.drainedSite = "site drained", s.name
	d.call(ctx, "PUT", s.daemonAPI, "/admin/gateway/drained", []byte(`{"on":true}`))
	return func() {
		for range 40 {
			if status, _, _, _ := d.call(ctx, "PUT", s.daemonAPI, "/admin/gateway/drained", []byte(`{"on":false}`)); status == 200 || ctx.Err() != nil {
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// taskRun is one execution of a task on a machine.
type taskRun struct {
	site, task, machine string
	startedAt, endedAt  time.Time // endedAt is zero while it runs
	completed           bool
}

// readTaskRuns reads the task runs from the event logs of both sites' machines.
func (d *deployment) readTaskRuns() []taskRun {
	var runs []taskRun
	for _, site := range d.sites {
		file, err := os.Open(site.eventsPath)
		if err != nil {
			continue
		}
		running := map[string]int{}
		for scanner := bufio.NewScanner(file); scanner.Scan(); {
			var event struct {
				At                   int64
				Event, Task, Machine string
			}
			if json.Unmarshal(scanner.Bytes(), &event) != nil {
				continue
			}
			eventTime, key := time.Unix(0, event.At), event.Task+" "+event.Machine
			if event.Event == "start" {
				running[key] = len(runs)
				runs = append(runs, taskRun{site: site.name, task: event.Task, machine: event.Machine, startedAt: eventTime})
			} else if runIndex, ok := running[key]; ok {
				delete(running, key)
				runs[runIndex].endedAt, runs[runIndex].completed = eventTime, event.Event == "done"
			}
		}
		file.Close()
	}
	return runs
}

// jobOfTask returns the id of the job that a task belongs to.
func jobOfTask(task string) string { id, _, _ := strings.Cut(task, "/"); return id }

// checkUsers checks the answers of each user against its earlier answers and against the tasks
// that machines completed.
func (d *deployment) checkUsers(result *gatewayRunResult, users []*user, runs []taskRun) {
	completedByJob := completedTasks(runs)
	for _, u := range users {
		accepted, cancelled := u.acceptedAt(), u.cancelRequestedAt()
		if accepted.IsZero() {
			result.neverAccepted++
			continue
		}
		result.accepted++
		final, finalAt := u.checkAnswers(result, accepted)
		switch {
		case final == "":
			result.unanswered = append(result.unanswered, u.id+" has no final answer")
		case final == protocol.JobCancelled && (cancelled.IsZero() || cancelled.After(finalAt)):
			result.falseEnds = append(result.falseEnds, u.id+" is cancelled and nobody asked")
		case final == protocol.JobDone:
			u.checkDone(result, completedByJob[u.id], finalAt)
		case final == protocol.JobCancelled:
			u.checkCancelled(result, runs, finalAt)
		}
	}
}

// completedTasks returns the tasks that machines completed, by job, with the time at which each
// was first completed.
func completedTasks(runs []taskRun) map[string]map[string]time.Time {
	completed := map[string]map[string]time.Time{}
	for _, run := range runs {
		if !run.completed {
			continue
		}
		jobID := jobOfTask(run.task)
		if completed[jobID] == nil {
			completed[jobID] = map[string]time.Time{}
		}
		if at, ok := completed[jobID][run.task]; !ok || run.endedAt.Before(at) {
			completed[jobID][run.task] = run.endedAt
		}
	}
	return completed
}

// acceptedAt returns when the user first received an answer that the job is accepted; zero if never.
func (u *user) acceptedAt() (receivedAt time.Time) {
	for _, answer := range u.answers {
		if (answer.status == 200 || answer.status == 201) && (receivedAt.IsZero() || answer.receivedAt.Before(receivedAt)) {
			receivedAt = answer.receivedAt
		}
	}
	return receivedAt
}

// cancelRequestedAt returns when the user first requested the cancellation; zero if never.
func (u *user) cancelRequestedAt() (at time.Time) {
	for _, answer := range u.answers {
		if answer.request == "cancel" && (at.IsZero() || answer.sentAt.Before(at)) {
			at = answer.sentAt
		}
	}
	return at
}

// checkAnswers reports answers that contradict the acceptance of a job or an earlier final answer.
// It returns the first final answer and the time at which it was received.
func (u *user) checkAnswers(result *gatewayRunResult, acceptedAt time.Time) (final string, finalAt time.Time) {
	for _, answer := range u.answers {
		switch {
		case answer.status == 404 && answer.sentAt.After(acceptedAt):
			result.lost = append(result.lost, u.id+" was accepted and is unknown at "+answer.answeredBy)
		case (answer.status == 400 || answer.status == 422) && answer.sentAt.After(acceptedAt):
			result.lost = append(result.lost, fmt.Sprintf("%s was accepted and gets %d at %s", u.id, answer.status, answer.answeredBy))
		case answer.status != 200:
			continue
		}
		isFinal := answer.jobState == protocol.JobDone || answer.jobState == protocol.JobCancelled
		switch {
		case final != "" && isFinal && answer.jobState != final, final != "" && !isFinal && answer.sentAt.After(finalAt):
			result.contradictions = append(result.contradictions, fmt.Sprintf("%s was called %s and is called %s at %s", u.id, final, answer.jobState, answer.answeredBy))
		case final == "" && isFinal:
			final, finalAt = answer.jobState, answer.receivedAt
		}
	}
	return final, finalAt
}

// checkDone checks that machines had completed all tasks of a job when it was reported as done.
func (u *user) checkDone(result *gatewayRunResult, completedAt map[string]time.Time, finalAt time.Time) {
	if len(completedAt) < u.tasks {
		result.falseEnds = append(result.falseEnds, fmt.Sprintf("%s is called done and %d of %d tasks were", u.id, len(completedAt), u.tasks))
	}
	for task, at := range completedAt {
		if at.After(finalAt) {
			result.falseEnds = append(result.falseEnds, fmt.Sprintf("%s was called done before %s was", u.id, task))
		}
	}
}

// checkCancelled reports tasks that ran longer than the cancellation bound after their job was
// reported as cancelled.
func (u *user) checkCancelled(result *gatewayRunResult, runs []taskRun, finalAt time.Time) {
	deadline := finalAt.Add(time.Duration(gatewayTimes.cancelBound * float64(time.Second)))
	for _, run := range runs {
		if jobOfTask(run.task) == u.id && (run.startedAt.After(deadline) || !run.endedAt.IsZero() && run.endedAt.After(deadline)) {
			result.lateCancels = append(result.lateCancels, fmt.Sprintf("%s ran at %s after it was called cancelled", run.task, run.site))
		}
	}
}

// checkConcurrentRuns reports tasks that ran on two machines at once, and counts the jobs that ran
// at both sites.
func (d *deployment) checkConcurrentRuns(result *gatewayRunResult, users []*user, runs []taskRun) {
	byTask := map[string][]taskRun{}
	for _, run := range runs {
		byTask[run.task] = append(byTask[run.task], run)
	}
	movedJobs := map[string]bool{}
	for task, taskRuns := range byTask {
		slices.SortFunc(taskRuns, func(previous, next taskRun) int { return previous.startedAt.Compare(next.startedAt) })
		for i := 1; i < len(taskRuns); i++ {
			previous, next := taskRuns[i-1], taskRuns[i]
			if previous.endedAt.IsZero() || previous.endedAt.After(next.startedAt) {
				result.concurrentRuns = append(result.concurrentRuns, fmt.Sprintf("%s is on %s of %s and starts on %s of %s", task, previous.machine, previous.site, next.machine, next.site))
			}
			if previous.site != next.site {
				movedJobs[jobOfTask(task)] = true
			}
		}
	}
	result.movedJobs = len(movedJobs)
}

// handoffLogLine matches the log line of a member that took a job over from another site.
var handoffLogLine = regexp.MustCompile(`time=(\S+) .*msg="job handed over".* from=(\S+) to=\S+ epoch=\d+ proved=(\S+)`)

// measureHandoffs measures the time from the loss or the drain of a site to the handoff of each of
// its jobs to another site.
func (d *deployment) measureHandoffs(result *gatewayRunResult, faults []injectedFault) {
	for _, name := range d.members {
		logText, err := os.ReadFile(d.member(name).logPath)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(logText), "\n") {
			match := handoffLogLine.FindStringSubmatch(line)
			if match == nil {
				continue
			}
			handoffAt, err := time.Parse(time.RFC3339Nano, match[1])
			if err != nil {
				continue
			}
			stopConfirmed, _ := strconv.ParseBool(match[3])
			// Several faults in a row may have kept the site unavailable until the handoff: the time
			// counts from the first of them.
			var lostAt time.Time
			for i := len(faults) - 1; i >= 0; i-- {
				fault := faults[i]
				if fault.at.Before(handoffAt) && (stopConfirmed && fault.drainedSite == match[2] || !stopConfirmed && fault.lostSite == match[2]) && (lostAt.IsZero() || fault.at.Add(fault.duration).After(lostAt)) {
					lostAt = fault.at
				}
			}
			overlapping := 0
			for _, fault := range faults {
				if !lostAt.IsZero() && !fault.at.Equal(lostAt) && fault.at.Before(handoffAt) && fault.at.Add(fault.duration+2*time.Second).After(lostAt) {
					overlapping++
				}
			}
			switch {
			case lostAt.IsZero():
			case stopConfirmed && overlapping == 0:
				result.drains = append(result.drains, handoffAt.Sub(lostAt))
			case stopConfirmed:
			case overlapping == 0:
				result.handoffs = append(result.handoffs, handoffAt.Sub(lostAt))
			default:
				result.overlappingHandoffs = append(result.overlappingHandoffs, handoffAt.Sub(lostAt))
			}
		}
	}
}

// checkStores stops the members and checks that a majority of their stores holds the final answer
// that each user received.
func (d *deployment) checkStores(ctx context.Context, result *gatewayRunResult, users []*user) {
	stores, err := d.readStores(ctx)
	if err != nil {
		result.storeMismatches = append(result.storeMismatches, err.Error())
		return
	}
	for _, u := range users {
		expected := u.finalOutcome()
		if expected == wire.Open {
			continue
		}
		copies := 0
		for _, store := range stores {
			if item, ok := store[u.id]; ok && item.Record.Outcome == expected {
				copies++
			}
		}
		if copies < 2 {
			result.storeMismatches = append(result.storeMismatches, fmt.Sprintf("the end of %s is stored by %d of 3 members", u.id, copies))
		}
	}
}

// finalOutcome returns the last final answer that a user received, as an outcome of a record; Open
// if it received none.
func (u *user) finalOutcome() uint8 {
	finalOutcome := uint8(wire.Open)
	for _, answer := range u.answers {
		switch {
		case answer.status == 200 && answer.jobState == protocol.JobDone:
			finalOutcome = wire.Done
		case answer.status == 200 && answer.jobState == protocol.JobCancelled:
			finalOutcome = wire.Cancelled
		}
	}
	return finalOutcome
}

// readStores stops the members and returns the registers that each of them has stored, by job.
func (d *deployment) readStores(ctx context.Context) (stores []map[string]wire.Item, err error) {
	byJob := func(items []wire.Item) map[string]wire.Item {
		registers := map[string]wire.Item{}
		for _, item := range items {
			registers[item.ID] = item
		}
		return registers
	}
	d.gateway.kill()
	journal, items, _, err := gateway.OpenJournal(filepath.Join(d.dir, "gate.journal"), "gate")
	if err != nil {
		return nil, err
	}
	journal.Close()
	stores = append(stores, byJob(items))
	for _, site := range d.sites {
		site.daemon.kill()
		stateService := storage.NewStore(site.stateAddr, protocol.StateSettings{RPS: 1000, WriteRPS: 1000, ValueKB: 8, TxnOps: 12}, 1)
		_, entries, _, err := segments.Open(ctx, stateService, site.name, segments.Limits{ValueKB: 8, TxnOps: 12, ChangesPerS: 100}, slog.New(slog.DiscardHandler))
		if err == nil {
			items, err = gateway.DecodeEntries(entries)
		}
		if err != nil {
			return nil, err
		}
		stores = append(stores, byJob(items))
	}
	return stores, nil
}
