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

// startTimes are those of a site whose controllers all go down: a worker's lease
// outlives the time without any of them.
var startTimes = times{workersLease: 9, report: 1.5, cancel: 22, writeRPS: 150, gpusMax: 4000}

// startResult is what a run showed.
type startResult struct {
	serve, half, all []time.Duration // from the last process being back
	given, held      map[string]int
	ended            int // tasks of services that ended though nobody cancelled them
	wrong            []string
	err              error
}

// shares asks all controllers how far the shares are; false if one does not answer.
func (f *farm) shares(ctx context.Context) (map[int]node.PartitionStatus, bool) {
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

// orders reads what each controller has ordered since its start.
func (f *farm) orders(ctx context.Context, r *startResult) {
	for _, api := range f.apis {
		_, data, err := f.call(ctx, "GET", api, "/metrics", nil)
		if err != nil {
			continue
		}
		p := expfmt.NewTextParser(model.UTF8Validation)
		families, err := p.TextToMetricFamilies(strings.NewReader(string(data)))
		if err != nil {
			r.wrong = append(r.wrong, "metrics: "+err.Error())
			continue
		}
		for _, m := range families["dapplestage_orders_total"].GetMetric() {
			l := map[string]string{}
			for _, p := range m.GetLabel() {
				l[p.GetName()] = p.GetValue()
			}
			into := r.given
			if l["outcome"] == "held_back" {
				into = r.held
			}
			into[l["order"]] += int(m.GetCounter().GetValue())
		}
	}
}

// judgeStarts says what machines ran twice at once, and what is called done and is not.
func judgeStarts(events []farmEvent, tasks map[string]int, done map[string]bool) (wrong []string, ended int) {
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
			if service(job) {
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
	farm   *farm
	rng    *rand.Rand
	tasks  map[string]int // by job
	arrays int
}

func oneStartRun(ctx context.Context, bin, dir string, seed uint64, machines, starts int, t times) *startResult {
	r := &startResult{given: map[string]int{}, held: map[string]int{}}
	f, err := startFarm(ctx, bin, dir, machines, t)
	defer f.end()
	if err != nil {
		r.err = err
		return r
	}
	run := &startRun{startResult: r, farm: f, rng: rand.New(rand.NewPCG(seed, 41)), tasks: map[string]int{}}
	if !run.startServices(ctx, machines) {
		r.err = fmt.Errorf("the services did not start")
		return r
	}
	for range starts {
		if !run.endAll(ctx) || !run.awaitServing(ctx, time.Now()) {
			return r
		}
		time.Sleep(span(run.rng, time.Millisecond, 3*time.Second))
	}
	var wrong []string
	wrong, r.ended, err = f.settled(ctx, run.tasks)
	r.wrong = append(r.wrong, wrong...)
	if err != nil {
		r.err = err
	}
	f.orders(ctx, r)
	return r
}

func (r *startRun) submit(ctx context.Context, id, shape string, n int, seconds float64) {
	team := []string{"red", "blue"}[len(r.tasks)%2]
	r.tasks[id] = n
	if err := r.farm.submit(ctx, id, r.farm.job(id, team, shape, n, seconds)); err != nil && r.err == nil {
		r.err = err
	}
}

// serviceTasks is how many tasks each service of a run has.
const serviceTasks = 8

// startServices fills six tenths of the machines with services; false if they do not run in
// time.
func (r *startRun) startServices(ctx context.Context, machines int) bool {
	services := machines * 4 * 6 / 10 / serviceTasks
	id := func(i int) string { return fmt.Sprintf("job-8%05d", i) }
	for i := range services {
		r.submit(ctx, id(i), "standing", serviceTasks, 0)
	}
	return until(ctx, 30*time.Second, func() bool {
		running := 0
		for i := range services {
			running += r.farm.running(ctx, id(i))
		}
		return running >= services*serviceTasks
	})
}

// endAll submits some work, ends all controllers, one shortly after the other, and starts
// them again. It returns false if the run can't go on.
func (r *startRun) endAll(ctx context.Context) bool {
	for range 3 + r.rng.IntN(3) {
		r.submit(ctx, fmt.Sprintf("job-1%05d", r.arrays), "sweep", 4+r.rng.IntN(12), 2+3*r.rng.Float64())
		r.arrays++
	}
	if r.farm.place {
		r.submit(ctx, fmt.Sprintf("job-3%05d", r.arrays), "gang", 1+r.rng.IntN(2), 2+3*r.rng.Float64())
	}
	time.Sleep(span(r.rng, 200*time.Millisecond, 1500*time.Millisecond))
	r.farm.orders(ctx, r.startResult)
	var nodes []*process
	for _, p := range r.farm.procs {
		if strings.HasPrefix(p.name, "n-") {
			nodes = append(nodes, p)
		}
	}
	for _, p := range nodes {
		p.kill()
		time.Sleep(span(r.rng, time.Millisecond, 300*time.Millisecond))
	}
	time.Sleep(span(r.rng, 200*time.Millisecond, 2*time.Second))
	for _, i := range r.rng.Perm(len(nodes)) {
		if err := nodes[i].start(); err != nil {
			r.err = err
			return false
		}
		time.Sleep(span(r.rng, time.Millisecond, 700*time.Millisecond))
	}
	return true
}

// awaitServing measures from when the last process was back until both shares are served,
// and half and all of their machines have spoken. It returns false if that takes too long.
func (r *startRun) awaitServing(ctx context.Context, back time.Time) bool {
	var serve, half, all time.Duration
	if !until(ctx, 30*time.Second, func() bool {
		shares, ok := r.farm.shares(ctx)
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
		first(&serve, took, serving == 2)
		first(&half, took, 2*unheard <= total)
		first(&all, took, unheard == 0)
		return serve > 0 && half > 0 && all > 0
	}) {
		r.wrong = append(r.wrong, fmt.Sprintf("not squared 30 s after the processes were back (serving after %v, half after %v)", serve, half))
		return false
	}
	r.serve, r.half, r.all = append(r.serve, serve), append(r.half, half), append(r.all, all)
	return true
}

// first notes when something was so for the first time.
func first(at *time.Duration, now time.Duration, is bool) {
	if is && *at == 0 {
		*at = now
	}
}

// settled waits until users are told that all jobs but services are done, and says what
// was wrong of what they were told and what machines ran; ended is how many tasks of
// services ended.
func (f *farm) settled(ctx context.Context, tasks map[string]int) (wrong []string, ended int, err error) {
	done := map[string]bool{}
	open := 0
	for id := range tasks {
		if !service(id) {
			open++
		}
	}
	until(ctx, 60*time.Second, func() bool {
		for id := range tasks {
			if service(id) {
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
	events, err := readEvents(f.events)
	if err != nil {
		return wrong, 0, err
	}
	more, ended := judgeStarts(events, tasks, done)
	return append(wrong, more...), ended, nil
}

// service says whether a job of a run is a service, by its name.
func service(id string) bool { return strings.HasPrefix(id, "job-8") }

func startProof() *cobra.Command {
	machines, starts, place := 60, 3, false
	c := runsProof("start", "End all controllers again and again, and hold what they say and order to what machines ran", 4, 4, func(ctx context.Context, out io.Writer, o runOptions) error {
		if err := between("machines", machines, 10, 1000); err != nil {
			return err
		}
		if err := between("starts", starts, 1, 50); err != nil {
			return err
		}
		return proveStart(ctx, out, o, machines, starts, place)
	})
	c.Flags().IntVar(&machines, "machines", machines, "machines of a site")
	placeFlag(c, &place)
	c.Flags().IntVar(&starts, "starts", starts, "times that all controllers end in a run")
	return c
}

// placeFlag lets a proof run at a place with several types of machine.
func placeFlag(c *cobra.Command, place *bool) {
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
	t := startTimes
	t.place = place
	s.runTotals, err = o.each(ctx, out, "start", func(bin, dir string, seed uint64) (func(), runOutcome) {
		r := oneStartRun(ctx, bin, dir, seed, machines, starts, t)
		return func() {
			s.Starts += len(r.all)
			s.Ended += r.ended
			for k, n := range r.given {
				s.Given[k] += n
			}
			for k, n := range r.held {
				s.Held[k] += n
			}
			serve.add(r.serve...)
			half.add(r.half...)
			all.add(r.all...)
		}, runOutcome{fmt.Sprintf("%d starts, all squared after %v, %d service tasks ended", len(r.all), r.all, r.ended), r.wrong, r.err}
	})
	if err != nil {
		return err
	}
	told := func(l latencies) quantiles { return quantiles{l.seconds(50), l.maxSeconds()} }
	s.Serve, s.Half, s.All = told(serve), told(half), told(all)
	if err := figures(out, s); err != nil {
		return err
	}
	return s.err()
}
