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

// runResult is what one run showed.
type runResult struct {
	accepted, refusals      int
	lost, doubled, ranTwice []string
	unanswered, untrue      []string
	lateCancels             []string
	stores                  []string
	handoffs, drains        []time.Duration
	crossed                 []time.Duration // handoffs of lost sites amid other trouble
	moved                   int
	err                     error
}

func (r *runResult) broken() []string {
	return slices.Concat(r.lost, r.doubled, r.ranTwice, r.unanswered, r.untrue, r.lateCancels, r.stores)
}

func gatewayProof() *cobra.Command {
	jobs, keep := 24, false
	c := runsProof("gateway", "Kill, stop and cut sides of two sites and a gateway at random, and check every job", 10, 10, func(ctx context.Context, out io.Writer, o runOptions) error {
		if err := between("jobs", jobs, 1, 500); err != nil {
			return err
		}
		o.keep = keep
		return proveGateway(ctx, out, o, jobs)
	})
	c.Flags().IntVar(&jobs, "jobs", jobs, "jobs of a run")
	c.Flags().BoolVar(&keep, "keep", keep, "keep the files of all runs, not only of broken ones")
	return c
}

// gatewayFigures are the figures of all runs.
type gatewayFigures struct {
	runTotals
	Accepted   int     `json:"accepted"`
	Lost       int     `json:"lost"`
	Doubled    int     `json:"doubled"`
	RanTwice   int     `json:"ran_at_both"`
	Unanswered int     `json:"unanswered"`
	Untrue     int     `json:"untrue_done"`
	Late       int     `json:"late_cancels"`
	Stores     int     `json:"stores_differ"`
	Moved      int     `json:"moved"`
	Handoffs   int64   `json:"handoffs"`
	Median     float64 `json:"handoff_median_s"`
	P99        float64 `json:"handoff_p99_s"`
	Max        float64 `json:"handoff_max_s"`
	Bound      float64 `json:"handoff_bound_s"`
	Crossed    int64   `json:"handoffs_amid_others"`
	CrossMax   float64 `json:"handoff_amid_others_max_s"`
	Drains     int64   `json:"drain_handoffs"`
	DrainMed   float64 `json:"drain_median_s"`
	DrainP99   float64 `json:"drain_p99_s"`
}

// add counts what a run that came to its end showed.
func (s *gatewayFigures) add(r *runResult) {
	s.Accepted += r.accepted
	s.Lost += len(r.lost)
	s.Doubled += len(r.doubled)
	s.RanTwice += len(r.ranTwice)
	s.Unanswered += len(r.unanswered)
	s.Untrue += len(r.untrue)
	s.Late += len(r.lateCancels)
	s.Stores += len(r.stores)
	s.Moved += r.moved
}

func proveGateway(ctx context.Context, out io.Writer, o runOptions, jobs int) error {
	handoffs, drains, crossed := newLatencies(), newLatencies(), newLatencies()
	sum := gatewayFigures{Bound: gateway.HandoffBound(memberTimes(quick)).Seconds()}
	totals, err := o.each(ctx, out, "gateway", func(bin, dir string, seed uint64) (func(), runOutcome) {
		r := oneRun(ctx, bin, dir, seed, jobs)
		text := fmt.Sprintf("%d jobs accepted, %d moved to the other site, %d handoffs of a lost site, %d of a drained one", r.accepted, r.moved, len(r.handoffs)+len(r.crossed), len(r.drains))
		return func() {
			if r.err != nil {
				return
			}
			sum.add(r)
			handoffs.add(r.handoffs...)
			crossed.add(r.crossed...)
			drains.add(r.drains...)
		}, runOutcome{text, r.broken(), r.err}
	})
	if err != nil {
		return err
	}
	sum.runTotals = totals
	sum.Handoffs, sum.Median, sum.P99, sum.Max = handoffs.count(), handoffs.seconds(50), handoffs.seconds(99), handoffs.maxSeconds()
	sum.Crossed, sum.CrossMax = crossed.count(), crossed.maxSeconds()
	sum.Drains, sum.DrainMed, sum.DrainP99 = drains.count(), drains.seconds(50), drains.seconds(99)
	if err := figures(out, sum); err != nil {
		return err
	}
	return sum.err()
}

func memberTimes(t times) gateway.Config {
	second := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	return gateway.Config{Members: make([]gateway.Member, 3), LeaseTime: second(t.lease), StopTime: gateway.StopBound(second(t.controllers), second(t.workersLease))}
}

// told is one answer that a user got.
type told struct {
	at, asked time.Time
	kind      string
	code      int
	state     string
	from      string
}

// user is one job's user and its own log.
type user struct {
	id       string
	body     []byte
	tasks    int
	cancelAt time.Duration
	mu       sync.Mutex
	log      []told
	over     atomic.Bool
}

// oneRun plays one seed.
func oneRun(ctx context.Context, bin, dir string, seed uint64, jobs int) *runResult {
	r := &runResult{}
	w, err := launch(ctx, bin, dir, quick, 12)
	if err != nil {
		r.err = err
		return r
	}
	defer w.end()
	rng := rand.New(rand.NewPCG(seed, 5))
	usersCtx, stopUsers := context.WithCancel(ctx)
	defer stopUsers()
	users, gone := w.beginUsers(usersCtx, rng, seed, jobs)
	faults := w.troubles(ctx, rng)
	awaitAnswers(ctx, users)
	// Every user asks every member once more.
	for _, u := range users {
		for _, m := range w.members {
			u.ask(usersCtx, w, "poll", m)
		}
	}
	stopUsers()
	gone.Wait()
	if ctx.Err() != nil {
		r.err = ctx.Err()
		return r
	}
	runs := w.readEvents()
	w.checkUsers(r, users, runs)
	w.checkRuns(r, users, runs)
	w.checkHandoffs(r, faults)
	w.checkStores(ctx, r, users)
	writeUsersLog(filepath.Join(dir, "users.log"), users, faults)
	return r
}

// beginUsers lets users come over some seconds, each with a job of its own. gone is done when
// all have left.
func (w *world) beginUsers(ctx context.Context, rng *rand.Rand, seed uint64, jobs int) (users []*user, gone *sync.WaitGroup) {
	gone = &sync.WaitGroup{}
	for i := range jobs {
		u := &user{id: fmt.Sprintf("job-%d%04d", seed, i), tasks: 1 + rng.IntN(3)}
		u.body = submission(u.id, []string{"red", "blue"}[rng.IntN(2)], u.tasks, 0.5+rng.Float64()*5)
		if rng.IntN(5) == 0 {
			u.cancelAt = span(rng, 500*time.Millisecond, 10*time.Second)
		}
		users = append(users, u)
		wait, useed := span(rng, 0, 16*time.Second), rng.Uint64()
		gone.Go(func() { w.live(ctx, u, wait, rand.New(rand.NewPCG(useed, 3))) })
	}
	return users, gone
}

// awaitAnswers waits until all users have a final answer, or a minute.
func awaitAnswers(ctx context.Context, users []*user) {
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		if !slices.ContainsFunc(users, func(u *user) bool { return !u.over.Load() }) {
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
		for _, t := range u.log {
			fmt.Fprintf(f, "%s %s %s at %s: %d %s\n", t.at.Format("15:04:05.000"), u.id, t.kind, t.from, t.code, t.state)
		}
	}
	for _, x := range faults {
		fmt.Fprintf(f, "%s fault %s of %s for %v\n", x.at.Format("15:04:05.000"), x.kind, x.where, x.long)
	}
}

// ask makes one request and logs what the user was told.
func (u *user) ask(ctx context.Context, w *world, kind, member string) told {
	t := told{asked: time.Now(), kind: kind, from: member}
	method, path, body := "GET", "/api/jobs/"+u.id, []byte(nil)
	switch kind {
	case "submit":
		method, path, body = "POST", "/api/jobs", u.body
	case "cancel":
		method, path = "POST", path+"/cancel"
	}
	code, data, _, err := w.call(ctx, method, w.apiOf[member], path, body)
	t.at = time.Now()
	if err != nil {
		return t
	}
	var s protocol.JobStatus
	json.Unmarshal(data, &s)
	t.code, t.state = code, s.Status
	u.mu.Lock()
	u.log = append(u.log, t)
	u.mu.Unlock()
	return t
}

// pause waits; false if ctx has ended meanwhile.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// live is a user: it uploads the job's files, submits until the job is accepted,
// and asks until it is over, each time at any member.
func (w *world) live(ctx context.Context, u *user, wait time.Duration, rng *rand.Rand) {
	if !pause(ctx, wait) || !w.upload(ctx, u) || !w.submit(ctx, u, rng) {
		return
	}
	accepted := time.Now()
	for {
		kind := "poll"
		if u.cancelAt > 0 && time.Since(accepted) > u.cancelAt {
			kind = "cancel"
		}
		least, most := 300*time.Millisecond, 900*time.Millisecond
		if t := u.ask(ctx, w, kind, w.anyMember(rng)); t.code == 200 && (t.state == protocol.JobDone || t.state == protocol.JobCancelled) {
			u.over.Store(true)
			least, most = 2*time.Second, 4*time.Second
		}
		if !pause(ctx, span(rng, least, most)) {
			return
		}
	}
}

func (w *world) anyMember(rng *rand.Rand) string { return w.members[rng.IntN(len(w.members))] }

// upload gives both sites' workers the description of a user's job.
func (w *world) upload(ctx context.Context, u *user) bool {
	for _, s := range w.sites {
		for code := 0; code != 200; {
			var err error
			if code, _, _, err = w.call(ctx, "POST", s.cloudAddr, "/upload", u.body); err != nil && !pause(ctx, 500*time.Millisecond) {
				return false
			}
		}
	}
	return true
}

// submit submits until the job is accepted. After a minute the user takes it for turned
// away for good: nothing was promised.
func (w *world) submit(ctx context.Context, u *user, rng *rand.Rand) bool {
	for begun := time.Now(); ; {
		if t := u.ask(ctx, w, "submit", w.anyMember(rng)); t.code == 200 || t.code == 201 {
			return true
		}
		if !pause(ctx, span(rng, 500*time.Millisecond, 1500*time.Millisecond)) {
			return false
		}
		if time.Since(begun) > 60*time.Second {
			u.over.Store(true)
			return false
		}
	}
}

// fault is one thing done to the world.
type fault struct {
	kind, where string
	at          time.Time
	long        time.Duration
	loses       string // the site that is lost by it, if it is for long enough
	drained     string
}

// troubles does bad things for some 20 s, the second often in the middle of the
// handoff that the first caused, and heals everything.
func (w *world) troubles(ctx context.Context, rng *rand.Rand) []fault {
	var out []fault
	var healed sync.WaitGroup
	sleep := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	sleep(span(rng, 2*time.Second, 6*time.Second))
	for range 2 + rng.IntN(2) {
		s := w.sites[rng.IntN(2)]
		f := fault{at: time.Now(), where: s.name, long: span(rng, 2*time.Second, 18*time.Second)}
		cause := troubles[rng.IntN(len(troubles))]
		heal := cause(ctx, w, s, rng, &f)
		long := f.long
		healed.Go(func() {
			sleep(long)
			heal()
		})
		out = append(out, f)
		sleep(span(rng, 1*time.Second, 11*time.Second))
	}
	healed.Wait()
	return out
}

// trouble does something to a site, or to the world, and says what in f; heal undoes it.
type trouble func(ctx context.Context, w *world, s *site, rng *rand.Rand, f *fault) (heal func())

// troubles are all there are; a seed's meaning depends on their order.
var troubles = []trouble{killGateway, killDaemon, killControllers, stopState, stopDaemon, cutLink, cutSite, stopSite, drainSite}

func killGateway(_ context.Context, w *world, _ *site, _ *rand.Rand, f *fault) func() {
	f.kind, f.where = "gateway killed", "gate"
	w.gateway.kill()
	return func() { w.gateway.start() }
}

func killDaemon(_ context.Context, _ *world, s *site, _ *rand.Rand, f *fault) func() {
	f.kind, f.loses = "daemon killed", s.name
	s.daemon.kill()
	return func() { s.daemon.start() }
}

func killControllers(_ context.Context, _ *world, s *site, _ *rand.Rand, f *fault) func() {
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

func stopState(_ context.Context, _ *world, s *site, _ *rand.Rand, f *fault) func() {
	f.kind = "state service stands still"
	return stopAll(s.state)
}

func stopDaemon(_ context.Context, _ *world, s *site, _ *rand.Rand, f *fault) func() {
	f.kind, f.loses = "daemon stands still", s.name
	return stopAll(s.daemon)
}

func stopSite(_ context.Context, _ *world, s *site, _ *rand.Rand, f *fault) func() {
	f.kind, f.loses = "whole site stands still", s.name
	return stopAll(append([]*process{s.state, s.cloud, s.daemon}, s.controllers...)...)
}

// stopAll makes processes stand still.
func stopAll(all ...*process) (goOn func()) {
	for _, p := range all {
		p.signal(syscall.SIGSTOP)
	}
	return func() {
		for _, p := range all {
			p.signal(syscall.SIGCONT)
		}
	}
}

func cutLink(_ context.Context, w *world, _ *site, rng *rand.Rand, f *fault) func() {
	a, b := w.members[rng.IntN(3)], w.members[rng.IntN(3)]
	if a == b {
		b = w.members[(slices.Index(w.members, a)+1)%3]
	}
	both, reset := rng.IntN(2) == 0, rng.IntN(2) == 0
	f.kind, f.where = fmt.Sprintf("link cut (both ways %v)", both), a+" to "+b
	links := []*link{w.links[[2]string{a, b}]}
	if both {
		links = append(links, w.links[[2]string{b, a}])
	}
	return cutAll(links, reset)
}

func cutSite(_ context.Context, w *world, s *site, _ *rand.Rand, f *fault) func() {
	f.kind, f.loses = "site cut off", s.name
	var links []*link
	for ends, l := range w.links {
		if ends[0] == s.name || ends[1] == s.name {
			links = append(links, l)
		}
	}
	return cutAll(links, false)
}

// cutAll cuts links. When they are healed, with reset what was held on them is dropped.
func cutAll(links []*link, reset bool) (heal func()) {
	for _, l := range links {
		l.set(true, false)
	}
	return func() {
		for _, l := range links {
			l.set(false, reset)
		}
	}
}

func drainSite(ctx context.Context, w *world, s *site, _ *rand.Rand, f *fault) func() {
	f.kind, f.drained = "site drained", s.name
	w.call(ctx, "PUT", s.api, "/admin/gateway/drained", []byte(`{"on":true}`))
	return func() {
		for range 40 {
			if code, _, _, _ := w.call(ctx, "PUT", s.api, "/admin/gateway/drained", []byte(`{"on":false}`)); code == 200 || ctx.Err() != nil {
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// ran is one time that a task was on a machine.
type ran struct {
	site, task, machine string
	from, to            time.Time // to zero: it still is
	done                bool
}

// readEvents reads what the machines of both sites logged.
func (w *world) readEvents() []ran {
	var out []ran
	for _, s := range w.sites {
		f, err := os.Open(s.events)
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
				out = append(out, ran{site: s.name, task: e.Task, machine: e.Machine, from: at})
			} else if i, ok := on[key]; ok {
				delete(on, key)
				out[i].to, out[i].done = at, e.Event == "done"
			}
		}
		f.Close()
	}
	return out
}

func jobOf(task string) string { id, _, _ := strings.Cut(task, "/"); return id }

// checkUsers holds what each user was told against all it had been told before it
// asked, and against what machines completed.
func (w *world) checkUsers(r *runResult, users []*user, runs []ran) {
	done := completed(runs)
	for _, u := range users {
		accepted, cancelled := u.accepted(), u.cancelled()
		if accepted.IsZero() {
			r.refusals++
			continue
		}
		r.accepted++
		final, at := u.checkAnswers(r, accepted)
		switch {
		case final == "":
			r.unanswered = append(r.unanswered, u.id+" has no final answer")
		case final == protocol.JobCancelled && (cancelled.IsZero() || cancelled.After(at)):
			r.untrue = append(r.untrue, u.id+" is cancelled and nobody asked")
		case final == protocol.JobDone:
			u.checkDone(r, done[u.id], at)
		case final == protocol.JobCancelled:
			u.checkCancelled(r, runs, at)
		}
	}
}

// completed are the tasks that machines completed, by job, and when each first was.
func completed(runs []ran) map[string]map[string]time.Time {
	done := map[string]map[string]time.Time{}
	for _, x := range runs {
		if !x.done {
			continue
		}
		job := jobOf(x.task)
		if done[job] == nil {
			done[job] = map[string]time.Time{}
		}
		if at, ok := done[job][x.task]; !ok || x.to.Before(at) {
			done[job][x.task] = x.to
		}
	}
	return done
}

// accepted is when a user was first told that the job is accepted; zero: never.
func (u *user) accepted() (at time.Time) {
	for _, t := range u.log {
		if (t.code == 200 || t.code == 201) && (at.IsZero() || t.at.Before(at)) {
			at = t.at
		}
	}
	return at
}

// cancelled is when a user first asked for the cancellation; zero: never.
func (u *user) cancelled() (at time.Time) {
	for _, t := range u.log {
		if t.kind == "cancel" && (at.IsZero() || t.asked.Before(at)) {
			at = t.asked
		}
	}
	return at
}

// checkAnswers finds answers that deny an accepted job or a final answer. It returns the
// first final answer and when it came.
func (u *user) checkAnswers(r *runResult, accepted time.Time) (final string, at time.Time) {
	for _, t := range u.log {
		switch {
		case t.code == 404 && t.asked.After(accepted):
			r.lost = append(r.lost, u.id+" was accepted and is unknown at "+t.from)
		case (t.code == 400 || t.code == 422) && t.asked.After(accepted):
			r.lost = append(r.lost, fmt.Sprintf("%s was accepted and gets %d at %s", u.id, t.code, t.from))
		case t.code != 200:
			continue
		}
		isFinal := t.state == protocol.JobDone || t.state == protocol.JobCancelled
		switch {
		case final != "" && isFinal && t.state != final, final != "" && !isFinal && t.asked.After(at):
			r.doubled = append(r.doubled, fmt.Sprintf("%s was called %s and is called %s at %s", u.id, final, t.state, t.from))
		case final == "" && isFinal:
			final, at = t.state, t.at
		}
	}
	return final, at
}

// checkDone holds a job that was called done to the tasks that machines completed.
func (u *user) checkDone(r *runResult, done map[string]time.Time, finalAt time.Time) {
	if len(done) < u.tasks {
		r.untrue = append(r.untrue, fmt.Sprintf("%s is called done and %d of %d tasks were", u.id, len(done), u.tasks))
	}
	for task, at := range done {
		if at.After(finalAt) {
			r.untrue = append(r.untrue, fmt.Sprintf("%s was called done before %s was", u.id, task))
		}
	}
}

// checkCancelled finds tasks that ran too long after their job was called cancelled.
func (u *user) checkCancelled(r *runResult, runs []ran, finalAt time.Time) {
	most := finalAt.Add(time.Duration(quick.cancel * float64(time.Second)))
	for _, x := range runs {
		if jobOf(x.task) == u.id && (x.from.After(most) || !x.to.IsZero() && x.to.After(most)) {
			r.lateCancels = append(r.lateCancels, fmt.Sprintf("%s ran at %s after it was called cancelled", x.task, x.site))
		}
	}
}

// checkRuns finds tasks that were on two machines at once.
func (w *world) checkRuns(r *runResult, users []*user, runs []ran) {
	byTask := map[string][]ran{}
	for _, x := range runs {
		byTask[x.task] = append(byTask[x.task], x)
	}
	moved := map[string]bool{}
	for task, xs := range byTask {
		slices.SortFunc(xs, func(a, b ran) int { return a.from.Compare(b.from) })
		for i := 1; i < len(xs); i++ {
			a, b := xs[i-1], xs[i]
			if a.to.IsZero() || a.to.After(b.from) {
				r.ranTwice = append(r.ranTwice, fmt.Sprintf("%s is on %s of %s and starts on %s of %s", task, a.machine, a.site, b.machine, b.site))
			}
			if a.site != b.site {
				moved[jobOf(task)] = true
			}
		}
	}
	r.moved = len(moved)
}

var handedOver = regexp.MustCompile(`time=(\S+) .*msg="job handed over".* from=(\S+) to=\S+ epoch=\d+ proved=(\S+)`)

// checkHandoffs measures how long after a site was lost, or asked to be drained, its
// jobs had another one.
func (w *world) checkHandoffs(r *runResult, faults []fault) {
	for _, m := range w.members {
		data, err := os.ReadFile(w.member(m).log)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			g := handedOver.FindStringSubmatch(line)
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
				if f.at.Before(at) && (proved && f.drained == g[2] || !proved && f.loses == g[2]) && (since.IsZero() || f.at.Add(f.long).After(since)) {
					since = f.at
				}
			}
			others := 0
			for _, f := range faults {
				if !since.IsZero() && !f.at.Equal(since) && f.at.Before(at) && f.at.Add(f.long+2*time.Second).After(since) {
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
				r.crossed = append(r.crossed, at.Sub(since))
			}
		}
	}
}

// checkStores ends the members and compares what their stores hold with what users
// were told: of each final answer a majority must hold the same.
func (w *world) checkStores(ctx context.Context, r *runResult, users []*user) {
	stores, err := w.readStores(ctx)
	if err != nil {
		r.stores = append(r.stores, err.Error())
		return
	}
	for _, u := range users {
		want := u.final()
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
			r.stores = append(r.stores, fmt.Sprintf("the end of %s is stored by %d of 3 members", u.id, has))
		}
	}
}

// final is the last final answer that a user was told, as records have it; Open if none.
func (u *user) final() uint8 {
	final := uint8(wire.Open)
	for _, t := range u.log {
		switch {
		case t.code == 200 && t.state == protocol.JobDone:
			final = wire.Done
		case t.code == 200 && t.state == protocol.JobCancelled:
			final = wire.Cancelled
		}
	}
	return final
}

// readStores ends the members and reads the registers that each has stored, by job.
func (w *world) readStores(ctx context.Context) (stores []map[string]wire.Item, err error) {
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
