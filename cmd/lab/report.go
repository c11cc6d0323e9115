package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/url"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/ledger"
	"dapplestage.example/dapplestage/internal/protocol"
)

// What the account says is held to two other truths: the machines' own log and what the
// run itself did to them.

// reported is a job of a run.
type reported struct {
	id      string
	tasks   int
	seconds float64
	stalled time.Time // when its tasks were made to stand still; zero: never
	shown   time.Time // when it was first told to be stuck
}

// seenRow is a row with the time at which it was asked for.
type seenRow struct {
	ledger.Row
	asked time.Time
	node  string
}

// doneAt is when the last task of a job was done, by the machines; zero: not yet.
func doneAt(events []farmEvent, id string, tasks int) (at time.Time) {
	done := map[string]bool{}
	for _, e := range events {
		if job, _, ok := protocol.ParseTaskID(e.Task); ok && job == id && e.Event == "done" && !done[e.Task] {
			done[e.Task] = true
			if len(done) == tasks {
				return time.Unix(0, e.At)
			}
		}
	}
	return time.Time{}
}

// judgeRows says what is wrong with what was told of a job, given what its machines ran.
// grace is how late an account may be.
func judgeRows(j *reported, rows []seenRow, events []farmEvent, grace time.Duration) (wrong []string) {
	done := doneAt(events, j.id, j.tasks)
	for _, r := range rows {
		when := r.asked.Format("05.000")
		switch {
		case r.State == ledger.Done && (done.IsZero() || done.After(r.asked.Add(100*time.Millisecond))):
			wrong = append(wrong, fmt.Sprintf("%s: %s says done at %s, and it is not", j.id, r.node, when))
		case !done.IsZero() && r.asked.After(done.Add(grace)) && r.State != ledger.Done && r.State != ledger.Unknown:
			wrong = append(wrong, fmt.Sprintf("%s: %s says %s at %s, %.1f s after it was done", j.id, r.node, r.State, when, r.asked.Sub(done).Seconds()))
		case r.State == ledger.Stuck && j.stalled.IsZero():
			wrong = append(wrong, fmt.Sprintf("%s: %s calls it stuck (%s), and it was not", j.id, r.node, r.Why))
		}
	}
	return wrong
}

// account asks a node for all rows.
func (f *farm) account(ctx context.Context, api string) (map[string]ledger.Row, *ledger.Page, error) {
	rows := map[string]ledger.Row{}
	after := ""
	for {
		status, out, err := f.call(ctx, "GET", api, "/admin/account?limit=50&after="+url.QueryEscape(after), nil)
		if err != nil || status != 200 {
			return nil, nil, fmt.Errorf("account: %d %v", status, err)
		}
		var p ledger.Page
		if err := json.Unmarshal(out, &p); err != nil {
			return nil, nil, err
		}
		for _, r := range p.Rows {
			rows[r.Job] = r
		}
		if after = p.After; after == "" {
			return rows, &p, nil
		}
	}
}

// reportResult is what a run showed.
type reportResult struct {
	rows, unknown int
	wrong         []string
	shown         []time.Duration // from a stall until it is told
	err           error
}

// reportRun is a run under way: jobs, what was done to them and what nodes told of them.
type reportRun struct {
	*reportResult
	farm    *farm
	rng     *rand.Rand
	jobs    []*reported
	stalls  []*reported          // of those, the ones whose tasks are made to stand still
	told    map[string][]seenRow // by job
	stopped string               // the node that stands still
}

func oneReportRun(ctx context.Context, bin, dir string, seed uint64) *reportResult {
	r := &reportResult{}
	f, err := startFarm(ctx, bin, dir, 24, farmTimes)
	defer f.end()
	if err != nil {
		r.err = err
		return r
	}
	run := &reportRun{reportResult: r, farm: f, rng: rand.New(rand.NewPCG(seed, 31)), told: map[string][]seenRow{}}
	run.stallTwo(ctx)
	run.causeTroubles(ctx)
	run.awaitStallsTold(ctx)
	run.endStalls(ctx)
	run.awaitDone(ctx)
	run.judge()
	return r
}

// submit submits a job whose tasks run for some seconds.
func (r *reportRun) submit(ctx context.Context, seconds float64) *reported {
	j := &reported{id: fmt.Sprintf("job-%03d", len(r.jobs)+1), tasks: 1 + r.rng.IntN(4), seconds: seconds}
	plain := condition{}
	if err := r.farm.submit(ctx, j.id, plain.submission(j.id, j.tasks, seconds)); err != nil && r.err == nil {
		r.err = err
	}
	r.jobs = append(r.jobs, j)
	return j
}

func (r *reportRun) submitShort(ctx context.Context) *reported {
	return r.submit(ctx, 2+2*r.rng.Float64())
}

// ask asks all nodes but the one that stands still for their rows.
func (r *reportRun) ask(ctx context.Context) {
	for i, api := range r.farm.apis {
		name := fmt.Sprint("n-", i)
		if name == r.stopped {
			continue
		}
		asked := time.Now()
		rows, page, err := r.farm.account(ctx, api)
		if err != nil {
			continue // not known: nothing is said
		}
		r.checkSums(ctx, api, name, rows, page)
		for id, row := range rows {
			r.note(id, seenRow{row, asked, name})
		}
	}
}

// checkSums holds a node's sums and rows to the number of jobs accepted.
func (r *reportRun) checkSums(ctx context.Context, api, name string, rows map[string]ledger.Row, page *ledger.Page) {
	if r.stopped != "" || len(rows) == len(r.jobs) && sum(page.JobsByState) == len(rows) {
		return
	}
	// A job may have been accepted a moment ago by the other node, or a share be on its way
	// from one to the other while pages are asked for.
	time.Sleep(600 * time.Millisecond)
	again, page, err := r.farm.account(ctx, api)
	if err == nil && (len(again) != len(r.jobs) || len(page.Unknown) == 0 && sum(page.JobsByState) != len(again)) {
		r.wrong = append(r.wrong, fmt.Sprintf("%s tells of %d jobs in %d rows, %d were accepted", name, sum(page.JobsByState), len(again), len(r.jobs)))
	}
}

// note keeps a row, and when a stalled job was first told to be stuck.
func (r *reportRun) note(id string, row seenRow) {
	r.rows++
	if row.State == ledger.Unknown {
		r.unknown++
	}
	r.told[id] = append(r.told[id], row)
	for _, j := range r.jobs {
		if j.id == id && row.State == ledger.Stuck && j.shown.IsZero() && !j.stalled.IsZero() {
			j.shown = time.Now()
		}
	}
}

// stallTwo submits jobs, waits until two of them run and makes these stand still.
func (r *reportRun) stallTwo(ctx context.Context) {
	for range 6 {
		r.submitShort(ctx)
	}
	r.stalls = []*reported{r.submit(ctx, 3), r.submit(ctx, 3)}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && r.farm.running(ctx, r.stalls[1].id) == 0; r.ask(ctx) {
		time.Sleep(200 * time.Millisecond)
	}
	for _, j := range r.stalls {
		post(ctx, r.farm, "/stall/"+j.id+"/true")
		j.stalled = time.Now()
	}
}

// causeTroubles lets a machine vanish and controllers stand still while work goes on.
func (r *reportRun) causeTroubles(ctx context.Context) {
	troubles := r.rng.Perm(3)
	began := time.Now()
	for step := 0; time.Since(began) < 50*time.Second && ctx.Err() == nil; step++ {
		time.Sleep(500 * time.Millisecond)
		r.ask(ctx)
		if step%12 == 6 {
			r.submitShort(ctx)
		}
		if step%16 != 8 || step/16 >= len(troubles) {
			continue
		}
		if troubles[step/16] == 0 {
			r.killMachine(ctx)
		} else {
			r.stopController(ctx)
		}
	}
}

func (r *reportRun) killMachine(ctx context.Context) {
	var list protocol.MachineList
	if _, out, err := r.farm.call(ctx, "GET", r.farm.cloud, "/hosts", nil); err == nil && json.Unmarshal(out, &list) == nil && len(list.Machines) > 0 {
		post(ctx, r.farm, "/kill/"+list.Machines[r.rng.IntN(len(list.Machines))].ID)
	}
}

// stopController makes a controller stand still for a while. The other one must say unknown
// of its jobs until it has taken them over.
func (r *reportRun) stopController(ctx context.Context) {
	r.stopped = fmt.Sprint("n-", r.rng.IntN(2))
	r.farm.signal(syscall.SIGSTOP, r.stopped)
	for range 3 + r.rng.IntN(8) {
		time.Sleep(300 * time.Millisecond)
		r.ask(ctx)
	}
	r.farm.signal(syscall.SIGCONT, r.stopped)
	r.stopped = ""
	time.Sleep(4 * time.Second)
}

// awaitStallsTold asks until both stalls are told, or have had a minute for it.
func (r *reportRun) awaitStallsTold(ctx context.Context) {
	until(ctx, 70*time.Second, func() bool {
		r.ask(ctx)
		events, _ := readEvents(r.farm.events)
		open := false
		for _, j := range r.stalls {
			j.stalledAnew(events)
			open = open || j.shown.IsZero() && time.Since(j.stalled) < time.Minute
		}
		return !open
	})
}

// stalledAnew counts a stall from the last start: a run that is lost meanwhile stalls anew on
// another machine, and then that is the cause.
func (j *reported) stalledAnew(events []farmEvent) {
	for _, e := range events {
		job, _, ok := protocol.ParseTaskID(e.Task)
		if at := time.Unix(0, e.At); ok && job == j.id && e.Event == "start" && at.After(j.stalled) && j.shown.IsZero() {
			j.stalled = at
		}
	}
}

// endStalls lets the stalled jobs go on, and says which were told late or not at all.
func (r *reportRun) endStalls(ctx context.Context) {
	for _, j := range r.stalls {
		post(ctx, r.farm, "/stall/"+j.id+"/false")
		switch took := j.shown.Sub(j.stalled); {
		case j.shown.IsZero():
			r.wrong = append(r.wrong, j.id+": stalled, and not told as stuck")
		case took > time.Minute:
			r.wrong = append(r.wrong, fmt.Sprintf("%s: told as stuck after %v", j.id, took))
		default:
			r.shown = append(r.shown, took)
		}
	}
}

// awaitDone asks until the machines have done all jobs, and once more a while later.
func (r *reportRun) awaitDone(ctx context.Context) {
	until(ctx, 40*time.Second, func() bool {
		r.ask(ctx)
		time.Sleep(500 * time.Millisecond)
		events, err := readEvents(r.farm.events)
		for _, j := range r.jobs {
			if err != nil || doneAt(events, j.id, j.tasks).IsZero() {
				return false
			}
		}
		return true
	})
	time.Sleep(4 * time.Second)
	r.ask(ctx)
}

// accountGrace is how late an account may be: a controller that stood still stores and tells
// late, by its stop and a take-over.
const accountGrace = 12 * time.Second

// judge holds all rows to what the machines ran.
func (r *reportRun) judge() {
	events, err := readEvents(r.farm.events)
	if err != nil {
		r.err = err
		return
	}
	for _, j := range r.jobs {
		rows := r.told[j.id]
		r.wrong = append(r.wrong, judgeRows(j, rows, events, accountGrace)...)
		if len(rows) == 0 || rows[len(rows)-1].State != ledger.Done {
			r.wrong = append(r.wrong, j.id+": not told as done in the end")
		}
	}
}

func sum(m map[string]int) (n int) {
	for _, c := range m {
		n += c
	}
	return n
}

func reportProof() *cobra.Command {
	return runsProof("report", "Stall workers, lose machines, stop controllers, and hold the account to what machines ran", 6, 6, proveReport)
}

func proveReport(ctx context.Context, out io.Writer, o runOptions) error {
	shown := newLatencies()
	s := struct {
		runTotals
		Rows    int     `json:"rows_checked"`
		Unknown int     `json:"rows_not_known"`
		Wrong   int     `json:"wrong"`
		Shown   int64   `json:"stalls_shown"`
		Median  float64 `json:"shown_after_median_s"`
		Max     float64 `json:"shown_after_max_s"`
	}{}
	var err error
	s.runTotals, err = o.each(ctx, out, "report", func(bin, dir string, seed uint64) (func(), runOutcome) {
		r := oneReportRun(ctx, bin, dir, seed)
		return func() {
			s.Rows, s.Unknown, s.Wrong = s.Rows+r.rows, s.Unknown+r.unknown, s.Wrong+len(r.wrong)
			shown.add(r.shown...)
		}, runOutcome{fmt.Sprintf("%d rows checked, %d of them not known", r.rows, r.unknown), r.wrong, r.err}
	})
	if err != nil {
		return err
	}
	s.Shown, s.Median, s.Max = shown.count(), shown.seconds(50), shown.maxSeconds()
	if err := figures(out, s); err != nil {
		return err
	}
	return s.err()
}
