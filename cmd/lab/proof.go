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

// gatewayRunResult is what one run showed.
type gatewayRunResult struct {
	accepted, neverAccepted              int
	lost, contradictions, concurrentRuns []string
	unanswered, falseEnds                []string
	lateCancels                          []string
	storeMismatches                      []string
	handoffs, drains                     []time.Duration
	overlappingHandoffs                  []time.Duration // handoffs of lost sites amid other trouble
	movedJobs                            int
	err                                  error
}

func (r *gatewayRunResult) violations() []string {
	return slices.Concat(r.lost, r.contradictions, r.concurrentRuns, r.unanswered, r.falseEnds, r.lateCancels, r.storeMismatches)
}

func gatewayProofCommand() *cobra.Command {
	jobs, keep := 24, false
	c := newProofCommand("gateway", "Kill, stop and cut sides of two sites and a gateway at random, and check every job", 10, 10, func(ctx context.Context, out io.Writer, o runOptions) error {
		if err := checkRange("jobs", jobs, 1, 500); err != nil {
			return err
		}
		o.keepFiles = keep
		return proveGateway(ctx, out, o, jobs)
	})
	c.Flags().IntVar(&jobs, "jobs", jobs, "jobs of a run")
	c.Flags().BoolVar(&keep, "keep", keep, "keep the files of all runs, not only of broken ones")
	return c
}

// gatewayFigures are the figures of all runs.
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
	HandoffBound        float64 `json:"handoff_bound_s"`
	OverlappingHandoffs int64   `json:"handoffs_amid_others"`
	OverlappingMax      float64 `json:"handoff_amid_others_max_s"`
	Drains              int64   `json:"drain_handoffs"`
	DrainMedian         float64 `json:"drain_median_s"`
	DrainP99            float64 `json:"drain_p99_s"`
}

// add counts what a run that came to its end showed.
func (s *gatewayFigures) add(r *gatewayRunResult) {
	s.Accepted += r.accepted
	s.Lost += len(r.lost)
	s.Contradictions += len(r.contradictions)
	s.ConcurrentRuns += len(r.concurrentRuns)
	s.Unanswered += len(r.unanswered)
	s.FalseEnds += len(r.falseEnds)
	s.LateCancels += len(r.lateCancels)
	s.StoreMismatches += len(r.storeMismatches)
	s.MovedJobs += r.movedJobs
}

func proveGateway(ctx context.Context, out io.Writer, o runOptions, jobs int) error {
	handoffs, drains, crossed := newLatencies(), newLatencies(), newLatencies()
	sum := gatewayFigures{HandoffBound: gateway.HandoffBound(gatewayConfig(gatewayTimes)).Seconds()}
	totals, err := o.executeRuns(ctx, out, "gateway", func(bin, dir string, seed uint64) (func(), runOutcome) {
		r := executeGatewayRun(ctx, bin, dir, seed, jobs)
		text := fmt.Sprintf("%d jobs accepted, %d moved to the other site, %d handoffs of a lost site, %d of a drained one", r.accepted, r.movedJobs, len(r.handoffs)+len(r.overlappingHandoffs), len(r.drains))
		return func() {
			if r.err != nil {
				return
			}
			sum.add(r)
			handoffs.record(r.handoffs...)
			crossed.record(r.overlappingHandoffs...)
			drains.record(r.drains...)
		}, runOutcome{text, r.violations(), r.err}
	})
	if err != nil {
		return err
	}
	sum.runTotals = totals
	sum.Handoffs, sum.HandoffMedian, sum.HandoffP99, sum.HandoffMax = handoffs.count(), handoffs.quantileSeconds(50), handoffs.quantileSeconds(99), handoffs.maxSeconds()
	sum.OverlappingHandoffs, sum.OverlappingMax = crossed.count(), crossed.maxSeconds()
	sum.Drains, sum.DrainMedian, sum.DrainP99 = drains.count(), drains.quantileSeconds(50), drains.quantileSeconds(99)
	if err := printFigures(out, sum); err != nil {
		return err
	}
	return sum.err()
}

func gatewayConfig(t times) gateway.Config {
	second := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	return gateway.Config{Members: make([]gateway.Member, 3), LeaseTime: second(t.siteLease), StopTime: gateway.StopBound(second(t.controllers), second(t.workersLease))}
}

// answer is one answer that a user got.
type answer struct {
	receivedAt, sentAt time.Time
	request            string
	status             int
	jobState           string
	member             string
}

// user is one job's user and its own log.
type user struct {
	id          string
	body        []byte
	tasks       int
	cancelAfter time.Duration
	mu          sync.Mutex
	answers     []answer
	ended       atomic.Bool
}

// executeGatewayRun plays one seed.
func executeGatewayRun(ctx context.Context, bin, dir string, seed uint64, jobs int) *gatewayRunResult {
	r := &gatewayRunResult{}
	w, err := startDeployment(ctx, bin, dir, gatewayTimes, 12)
	if err != nil {
		r.err = err
		return r
	}
	defer w.end()
	rng := rand.New(rand.NewPCG(seed, 5))
	usersCtx, stopUsers := context.WithCancel(ctx)
	defer stopUsers()
	users, gone := w.startUsers(usersCtx, rng, seed, jobs)
	faults := w.injectFaults(ctx, rng)
	awaitFinalAnswers(ctx, users)
	// Every user asks every member once more.
	for _, u := range users {
		for _, m := range w.members {
			u.send(usersCtx, w, "poll", m)
		}
	}
	stopUsers()
	gone.Wait()
	if ctx.Err() != nil {
		r.err = ctx.Err()
		return r
	}
	runs := w.readTaskRuns()
	w.checkUsers(r, users, runs)
	w.checkConcurrentRuns(r, users, runs)
	w.measureHandoffs(r, faults)
	w.checkStores(ctx, r, users)
	writeUsersLog(filepath.Join(dir, "users.log"), users, faults)
	return r
}

// startUsers lets users come over some seconds, each with a job of its own. gone is done when
// all have left.
func (w *deployment) startUsers(ctx context.Context, rng *rand.Rand, seed uint64, jobs int) (users []*user, gone *sync.WaitGroup) {
	gone = &sync.WaitGroup{}
	for i := range jobs {
		u := &user{id: fmt.Sprintf("job-%d%04d", seed, i), tasks: 1 + rng.IntN(3)}
		u.body = jobSubmission(u.id, []string{"red", "blue"}[rng.IntN(2)], u.tasks, 0.5+rng.Float64()*5)
		if rng.IntN(5) == 0 {
			u.cancelAfter = randomDuration(rng, 500*time.Millisecond, 10*time.Second)
		}
		users = append(users, u)
		wait, useed := randomDuration(rng, 0, 16*time.Second), rng.Uint64()
		gone.Go(func() { w.runUser(ctx, u, wait, rand.New(rand.NewPCG(useed, 3))) })
	}
	return users, gone
}

// awaitFinalAnswers waits until all users have a final answer, or a minute.
func awaitFinalAnswers(ctx context.Context, users []*user) {
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		if !slices.ContainsFunc(users, func(u *user) bool { return !u.ended.Load() }) {
			return
		}
	}
}

// writeUsersLog writes down what users were told and what was done to the world.
func writeUsersLog(path string, users []*user, faults []fault) {
	f, err := os.Create(path)
	if err != nil {
		return
	}
	defer f.Close()
	for _, u := range users {
		for _, t := range u.answers {
			fmt.Fprintf(f, "%s %s %s at %s: %d %s\n", t.receivedAt.Format("15:04:05.000"), u.id, t.request, t.member, t.status, t.jobState)
		}
	}
	for _, x := range faults {
		fmt.Fprintf(f, "%s fault %s of %s for %v\n", x.at.Format("15:04:05.000"), x.kind, x.target, x.duration)
	}
}

// send makes one request and logs what the user was told.
func (u *user) send(ctx context.Context, w *deployment, kind, member string) answer {
	t := answer{sentAt: time.Now(), request: kind, member: member}
	method, path, body := "GET", "/api/jobs/"+u.id, []byte(nil)
	switch kind {
	case "submit":
		method, path, body = "POST", "/api/jobs", u.body
	case "cancel":
		method, path = "POST", path+"/cancel"
	}
	code, data, _, err := w.call(ctx, method, w.apiAddrs[member], path, body)
	t.receivedAt = time.Now()
	if err != nil {
		return t
	}
	var s protocol.JobStatus
	json.Unmarshal(data, &s)
	t.status, t.jobState = code, s.Status
	u.mu.Lock()
	u.answers = append(u.answers, t)
	u.mu.Unlock()
	return t
}

// sleepContext waits; false if ctx has ended meanwhile.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// runUser is a user: it uploads the job's files, submits until the job is accepted,
// and asks until it is over, each time at any member.
func (w *deployment) runUser(ctx context.Context, u *user, wait time.Duration, rng *rand.Rand) {
	if !sleepContext(ctx, wait) || !w.upload(ctx, u) || !w.submit(ctx, u, rng) {
		return
	}
	accepted := time.Now()
	for {
		kind := "poll"
		if u.cancelAfter > 0 && time.Since(accepted) > u.cancelAfter {
			kind = "cancel"
		}
		least, most := 300*time.Millisecond, 900*time.Millisecond
		if t := u.send(ctx, w, kind, w.randomMember(rng)); t.status == 200 && (t.jobState == protocol.JobDone || t.jobState == protocol.JobCancelled) {
			u.ended.Store(true)
			least, most = 2*time.Second, 4*time.Second
		}
		if !sleepContext(ctx, randomDuration(rng, least, most)) {
			return
		}
	}
}

func (w *deployment) randomMember(rng *rand.Rand) string { return w.members[rng.IntN(len(w.members))] }

// upload gives both sites' workers the description of a user's job.
func (w *deployment) upload(ctx context.Context, u *user) bool {
	for _, s := range w.sites {
		for code := 0; code != 200; {
			var err error
			if code, _, _, err = w.call(ctx, "POST", s.cloudAddr, "/upload", u.body); err != nil && !sleepContext(ctx, 500*time.Millisecond) {
				return false
			}
		}
	}
	return true
}

// submit submits until the job is accepted. After a minute the user takes it for turned
// away for good: nothing was promised.
func (w *deployment) submit(ctx context.Context, u *user, rng *rand.Rand) bool {
	for begun := time.Now(); ; {
		if t := u.send(ctx, w, "submit", w.randomMember(rng)); t.status == 200 || t.status == 201 {
			return true
		}
		if !sleepContext(ctx, randomDuration(rng, 500*time.Millisecond, 1500*time.Millisecond)) {
			return false
		}
		if time.Since(begun) > 60*time.Second {
			u.ended.Store(true)
			return false
		}
	}
}

// fault is one thing done to the world.
type fault struct {
	kind, target string
	at           time.Time
	duration     time.Duration
	lostSite     string // the site that is lost by it, if it is for long enough
	drainedSite  string
}

// injectFaults does bad things for some 20 s, the second often in the middle of the
// handoff that the first caused, and heals everything.
func (w *deployment) injectFaults(ctx context.Context, rng *rand.Rand) []fault {
	var out []fault
	var healed sync.WaitGroup
	sleep := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	sleep(randomDuration(rng, 2*time.Second, 6*time.Second))
	for range 2 + rng.IntN(2) {
		s := w.sites[rng.IntN(2)]
		f := fault{at: time.Now(), target: s.name, duration: randomDuration(rng, 2*time.Second, 18*time.Second)}
		cause := faultInjectors[rng.IntN(len(faultInjectors))]
		heal := cause(ctx, w, s, rng, &f)
		long := f.duration
		healed.Go(func() {
			sleep(long)
			heal()
		})
		out = append(out, f)
		sleep(randomDuration(rng, 1*time.Second, 11*time.Second))
	}
	healed.Wait()
	return out
}

// faultInjector does something to a site, or to the world, and says what in f; heal undoes it.
type faultInjector func(ctx context.Context, w *deployment, s *site, rng *rand.Rand, f *fault) (heal func())

// faultInjectors are all there are; a seed's meaning depends on their order.
var faultInjectors = []faultInjector{killGateway, killDaemon, killControllers, suspendStateService, suspendDaemon, cutLink, isolateSite, suspendSite, drainSite}

func killGateway(_ context.Context, w *deployment, _ *site, _ *rand.Rand, f *fault) func() {
	f.kind, f.target = "gateway killed", "gate"
	w.gateway.kill()
	return func() { w.gateway.start() }
}

func killDaemon(_ context.Context, _ *deployment, s *site, _ *rand.Rand, f *fault) func() {
	f.kind, f.lostSite = "daemon killed", s.name
	s.daemon.kill()
	return func() { s.daemon.start() }
}

func killControllers(_ context.Context, _ *deployment, s *site, _ *rand.Rand, f *fault) func() {
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

func suspendStateService(_ context.Context, _ *deployment, s *site, _ *rand.Rand, f *fault) func() {
	f.kind = "state service stands still"
	return suspendAll(s.state)
}

func suspendDaemon(_ context.Context, _ *deployment, s *site, _ *rand.Rand, f *fault) func() {
	f.kind, f.lostSite = "daemon stands still", s.name
	return suspendAll(s.daemon)
}

func suspendSite(_ context.Context, _ *deployment, s *site, _ *rand.Rand, f *fault) func() {
	f.kind, f.lostSite = "whole site stands still", s.name
	return suspendAll(append([]*process{s.state, s.cloud, s.daemon}, s.controllers...)...)
}

// suspendAll makes processes stand still.
func suspendAll(all ...*process) (goOn func()) {
	for _, p := range all {
		p.signal(syscall.SIGSTOP)
	}
	return func() {
		for _, p := range all {
			p.signal(syscall.SIGCONT)
		}
	}
}

func cutLink(_ context.Context, w *deployment, _ *site, rng *rand.Rand, f *fault) func() {
	a, b := w.members[rng.IntN(3)], w.members[rng.IntN(3)]
	if a == b {
		b = w.members[(slices.Index(w.members, a)+1)%3]
	}
	both, reset := rng.IntN(2) == 0, rng.IntN(2) == 0
	f.kind, f.target = fmt.Sprintf("link cut (both ways %v)", both), a+" to "+b
	links := []*link{w.links[[2]string{a, b}]}
	if both {
		links = append(links, w.links[[2]string{b, a}])
	}
	return cutLinks(links, reset)
}

func isolateSite(_ context.Context, w *deployment, s *site, _ *rand.Rand, f *fault) func() {
	f.kind, f.lostSite = "site cut off", s.name
	var links []*link
	for ends, l := range w.links {
		if ends[0] == s.name || ends[1] == s.name {
			links = append(links, l)
		}
	}
	return cutLinks(links, false)
}

// cutLinks cuts links. When they are healed, with reset what was held on them is dropped.
func cutLinks(links []*link, reset bool) (heal func()) {
	for _, l := range links {
		l.setCut(true, false)
	}
	return func() {
		for _, l := range links {
			l.setCut(false, reset)
		}
	}
}

func drainSite(ctx context.Context, w *deployment, s *site, _ *rand.Rand, f *fault) func() {
	f.kind, f.drainedSite = "site drained", s.name
	w.call(ctx, "PUT", s.daemonAPI, "/admin/gateway/drained", []byte(`{"on":true}`))
	return func() {
		for range 40 {
			if code, _, _, _ := w.call(ctx, "PUT", s.daemonAPI, "/admin/gateway/drained", []byte(`{"on":false}`)); code == 200 || ctx.Err() != nil {
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// taskRun is one time that a task was on a machine.
type taskRun struct {
	site, task, machine string
	startedAt, endedAt  time.Time // to zero: it still is
	completed           bool
}

// readTaskRuns reads what the machines of both sites logged.
func (w *deployment) readTaskRuns() []taskRun {
	var out []taskRun
	for _, s := range w.sites {
		f, err := os.Open(s.eventsPath)
		if err != nil {
			continue
		}
		on := map[string]int{}
		for sc := bufio.NewScanner(f); sc.Scan(); {
			var e struct {
				At                   int64
				Event, Task, Machine string
			}
			if json.Unmarshal(sc.Bytes(), &e) != nil {
				continue
			}
			at, key := time.Unix(0, e.At), e.Task+" "+e.Machine
			if e.Event == "start" {
				on[key] = len(out)
				out = append(out, taskRun{site: s.name, task: e.Task, machine: e.Machine, startedAt: at})
			} else if i, ok := on[key]; ok {
				delete(on, key)
				out[i].endedAt, out[i].completed = at, e.Event == "done"
			}
		}
		f.Close()
	}
	return out
}

func jobOfTask(task string) string { id, _, _ := strings.Cut(task, "/"); return id }

// checkUsers holds what each user was told against all it had been told before it
// asked, and against what machines completed.
func (w *deployment) checkUsers(r *gatewayRunResult, users []*user, runs []taskRun) {
	done := completedTasks(runs)
	for _, u := range users {
		accepted, cancelled := u.acceptedAt(), u.cancelRequestedAt()
		if accepted.IsZero() {
			r.neverAccepted++
			continue
		}
		r.accepted++
		final, at := u.checkAnswers(r, accepted)
		switch {
		case final == "":
			r.unanswered = append(r.unanswered, u.id+" has no final answer")
		case final == protocol.JobCancelled && (cancelled.IsZero() || cancelled.After(at)):
			r.falseEnds = append(r.falseEnds, u.id+" is cancelled and nobody asked")
		case final == protocol.JobDone:
			u.checkDone(r, done[u.id], at)
		case final == protocol.JobCancelled:
			u.checkCancelled(r, runs, at)
		}
	}
}

// completedTasks are the tasks that machines completed, by job, and when each first was.
func completedTasks(runs []taskRun) map[string]map[string]time.Time {
	done := map[string]map[string]time.Time{}
	for _, x := range runs {
		if !x.completed {
			continue
		}
		job := jobOfTask(x.task)
		if done[job] == nil {
			done[job] = map[string]time.Time{}
		}
		if at, ok := done[job][x.task]; !ok || x.endedAt.Before(at) {
			done[job][x.task] = x.endedAt
		}
	}
	return done
}

// acceptedAt is when a user was first told that the job is accepted; zero: never.
func (u *user) acceptedAt() (at time.Time) {
	for _, t := range u.answers {
		if (t.status == 200 || t.status == 201) && (at.IsZero() || t.receivedAt.Before(at)) {
			at = t.receivedAt
		}
	}
	return at
}

// cancelRequestedAt is when a user first asked for the cancellation; zero: never.
func (u *user) cancelRequestedAt() (at time.Time) {
	for _, t := range u.answers {
		if t.request == "cancel" && (at.IsZero() || t.sentAt.Before(at)) {
			at = t.sentAt
		}
	}
	return at
}

// checkAnswers finds answers that deny an accepted job or a final answer. It returns the
// first final answer and when it came.
func (u *user) checkAnswers(r *gatewayRunResult, accepted time.Time) (final string, at time.Time) {
	for _, t := range u.answers {
		switch {
		case t.status == 404 && t.sentAt.After(accepted):
			r.lost = append(r.lost, u.id+" was accepted and is unknown at "+t.member)
		case (t.status == 400 || t.status == 422) && t.sentAt.After(accepted):
			r.lost = append(r.lost, fmt.Sprintf("%s was accepted and gets %d at %s", u.id, t.status, t.member))
		case t.status != 200:
			continue
		}
		isFinal := t.jobState == protocol.JobDone || t.jobState == protocol.JobCancelled
		switch {
		case final != "" && isFinal && t.jobState != final, final != "" && !isFinal && t.sentAt.After(at):
			r.contradictions = append(r.contradictions, fmt.Sprintf("%s was called %s and is called %s at %s", u.id, final, t.jobState, t.member))
		case final == "" && isFinal:
			final, at = t.jobState, t.receivedAt
		}
	}
	return final, at
}

// checkDone holds a job that was called done to the tasks that machines completed.
func (u *user) checkDone(r *gatewayRunResult, done map[string]time.Time, finalAt time.Time) {
	if len(done) < u.tasks {
		r.falseEnds = append(r.falseEnds, fmt.Sprintf("%s is called done and %d of %d tasks were", u.id, len(done), u.tasks))
	}
	for task, at := range done {
		if at.After(finalAt) {
			r.falseEnds = append(r.falseEnds, fmt.Sprintf("%s was called done before %s was", u.id, task))
		}
	}
}

// checkCancelled finds tasks that ran too long after their job was called cancelled.
func (u *user) checkCancelled(r *gatewayRunResult, runs []taskRun, finalAt time.Time) {
	most := finalAt.Add(time.Duration(gatewayTimes.cancelBound * float64(time.Second)))
	for _, x := range runs {
		if jobOfTask(x.task) == u.id && (x.startedAt.After(most) || !x.endedAt.IsZero() && x.endedAt.After(most)) {
			r.lateCancels = append(r.lateCancels, fmt.Sprintf("%s ran at %s after it was called cancelled", x.task, x.site))
		}
	}
}

// checkConcurrentRuns finds tasks that were on two machines at once.
func (w *deployment) checkConcurrentRuns(r *gatewayRunResult, users []*user, runs []taskRun) {
	byTask := map[string][]taskRun{}
	for _, x := range runs {
		byTask[x.task] = append(byTask[x.task], x)
	}
	moved := map[string]bool{}
	for task, xs := range byTask {
		slices.SortFunc(xs, func(a, b taskRun) int { return a.startedAt.Compare(b.startedAt) })
		for i := 1; i < len(xs); i++ {
			a, b := xs[i-1], xs[i]
			if a.endedAt.IsZero() || a.endedAt.After(b.startedAt) {
				r.concurrentRuns = append(r.concurrentRuns, fmt.Sprintf("%s is on %s of %s and starts on %s of %s", task, a.machine, a.site, b.machine, b.site))
			}
			if a.site != b.site {
				moved[jobOfTask(task)] = true
			}
		}
	}
	r.movedJobs = len(moved)
}

var handoffLogLine = regexp.MustCompile(`time=(\S+) .*msg="job handed over".* from=(\S+) to=\S+ epoch=\d+ proved=(\S+)`)

// measureHandoffs measures how long after a site was lost, or asked to be drained, its
// jobs had another one.
func (w *deployment) measureHandoffs(r *gatewayRunResult, faults []fault) {
	for _, m := range w.members {
		data, err := os.ReadFile(w.member(m).logPath)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			g := handoffLogLine.FindStringSubmatch(line)
			if g == nil {
				continue
			}
			at, err := time.Parse(time.RFC3339Nano, g[1])
			if err != nil {
				continue
			}
			proved, _ := strconv.ParseBool(g[3])
			// The first of the faults that together kept the site away until then.
			var since time.Time
			for i := len(faults) - 1; i >= 0; i-- {
				f := faults[i]
				if f.at.Before(at) && (proved && f.drainedSite == g[2] || !proved && f.lostSite == g[2]) && (since.IsZero() || f.at.Add(f.duration).After(since)) {
					since = f.at
				}
			}
			others := 0
			for _, f := range faults {
				if !since.IsZero() && !f.at.Equal(since) && f.at.Before(at) && f.at.Add(f.duration+2*time.Second).After(since) {
					others++
				}
			}
			switch {
			case since.IsZero():
			case proved && others == 0:
				r.drains = append(r.drains, at.Sub(since))
			case proved:
			case others == 0:
				r.handoffs = append(r.handoffs, at.Sub(since))
			default:
				r.overlappingHandoffs = append(r.overlappingHandoffs, at.Sub(since))
			}
		}
	}
}

// checkStores ends the members and compares what their stores hold with what users
// were told: of each final answer a majority must hold the same.
func (w *deployment) checkStores(ctx context.Context, r *gatewayRunResult, users []*user) {
	stores, err := w.readStores(ctx)
	if err != nil {
		r.storeMismatches = append(r.storeMismatches, err.Error())
		return
	}
	for _, u := range users {
		want := u.finalOutcome()
		if want == wire.Open {
			continue
		}
		has := 0
		for _, s := range stores {
			if it, ok := s[u.id]; ok && it.Record.Outcome == want {
				has++
			}
		}
		if has < 2 {
			r.storeMismatches = append(r.storeMismatches, fmt.Sprintf("the end of %s is stored by %d of 3 members", u.id, has))
		}
	}
}

// finalOutcome is the last final answer that a user was told, as records have it; Open if none.
func (u *user) finalOutcome() uint8 {
	final := uint8(wire.Open)
	for _, t := range u.answers {
		switch {
		case t.status == 200 && t.jobState == protocol.JobDone:
			final = wire.Done
		case t.status == 200 && t.jobState == protocol.JobCancelled:
			final = wire.Cancelled
		}
	}
	return final
}

// readStores ends the members and reads the registers that each has stored, by job.
func (w *deployment) readStores(ctx context.Context) (stores []map[string]wire.Item, err error) {
	byJob := func(items []wire.Item) map[string]wire.Item {
		m := map[string]wire.Item{}
		for _, it := range items {
			m[it.ID] = it
		}
		return m
	}
	w.gateway.kill()
	j, items, _, err := gateway.OpenJournal(filepath.Join(w.dir, "gate.journal"), "gate")
	if err != nil {
		return nil, err
	}
	j.Close()
	stores = append(stores, byJob(items))
	for _, s := range w.sites {
		s.daemon.kill()
		svc := storage.NewStore(s.stateAddr, protocol.StateSettings{RPS: 1000, WriteRPS: 1000, ValueKB: 8, TxnOps: 12}, 1)
		_, entries, _, err := segments.Open(ctx, svc, s.name, segments.Limits{ValueKB: 8, TxnOps: 12, ChangesPerS: 100}, slog.New(slog.DiscardHandler))
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
