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

func oneReportRun(ctx context.Context, bin, dir string, seed uint64) *reportResult {
	r := &reportResult{}
	f, err := startFarm(ctx, bin, dir, 24, farmTimes)
	defer f.end()
	if err != nil {
		r.err = err
		return r
	}
	rng := rand.New(rand.NewPCG(seed, 31))
	var jobs []*reported
	plain := condition{}
	submit := func(seconds float64) *reported {
		j := &reported{id: fmt.Sprintf("job-%03d", len(jobs)+1), tasks: 1 + rng.IntN(4), seconds: seconds}
		if err := f.submit(ctx, j.id, plain.submission(j.id, j.tasks, seconds)); err != nil && r.err == nil {
			r.err = err
		}
		jobs = append(jobs, j)
		return j
	}
	rows := map[string][]seenRow{}
	stopped := "" // the node that stands still
	ask := func() {
		for i, api := range f.apis {
			if fmt.Sprint("n-", i) == stopped {
				continue
			}
			asked := time.Now()
			all, p, err := f.account(ctx, api)
			if err != nil {
				continue // not known: nothing is said
			}
			total := 0
			for _, n := range p.Sums {
				total += n
			}
			if stopped == "" && (len(all) != len(jobs) || total != len(all)) {
				// A job may have been accepted a moment ago by the other node, or a share be
				// on its way from one to the other while pages are asked for.
				time.Sleep(600 * time.Millisecond)
				if again, p, err := f.account(ctx, api); err == nil && (len(again) != len(jobs) || len(p.Unknown) == 0 && sum(p.Sums) != len(again)) {
					r.wrong = append(r.wrong, fmt.Sprintf("n-%d tells of %d jobs in %d rows, %d were accepted", i, sum(p.Sums), len(again), len(jobs)))
				}
			}
			for id, row := range all {
				r.rows++
				if row.State == ledger.Unknown {
					r.unknown++
				}
				rows[id] = append(rows[id], seenRow{row, asked, fmt.Sprint("n-", i)})
				for _, j := range jobs {
					if j.id == id && row.State == ledger.Stuck && j.shown.IsZero() && !j.stalled.IsZero() {
						j.shown = time.Now()
					}
				}
			}
		}
	}
	for range 6 {
		submit(2 + 2*rng.Float64())
	}
	stalls := []*reported{submit(3), submit(3)}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && f.running(ctx, stalls[1].id) == 0; ask() {
		time.Sleep(200 * time.Millisecond)
	}
	for _, j := range stalls {
		post(ctx, f, "/stall/"+j.id+"/true")
		j.stalled = time.Now()
	}
	// Beside that: a machine vanishes, a controller stands still, work goes on.
	troubles := rng.Perm(3)
	began := time.Now()
	for step := 0; time.Since(began) < 50*time.Second && ctx.Err() == nil; step++ {
		time.Sleep(500 * time.Millisecond)
		ask()
		if step%12 == 6 {
			submit(2 + 2*rng.Float64())
		}
		if step%16 == 8 && step/16 < len(troubles) {
			switch troubles[step/16] {
			case 0:
				var list protocol.MachineList
				if _, out, err := f.call(ctx, "GET", f.cloud, "/hosts", nil); err == nil && json.Unmarshal(out, &list) == nil && len(list.Machines) > 0 {
					post(ctx, f, "/kill/"+list.Machines[rng.IntN(len(list.Machines))].ID)
				}
			case 1, 2:
				// The other one must say unknown of its jobs until it has taken them over.
				i := rng.IntN(2)
				stopped = fmt.Sprint("n-", i)
				for _, p := range f.procs {
					if p.name == stopped {
						p.signal(syscall.SIGSTOP)
					}
				}
				for range 3 + rng.IntN(8) {
					time.Sleep(300 * time.Millisecond)
					ask()
				}
				for _, p := range f.procs {
					if p.name == stopped {
						p.signal(syscall.SIGCONT)
					}
				}
				stopped = ""
				time.Sleep(4 * time.Second)
			}
		}
	}
	// A run that is lost meanwhile stalls anew on another machine: then that is the cause.
	until(ctx, 70*time.Second, func() bool {
		ask()
		events, _ := readEvents(f.events)
		open := false
		for _, j := range stalls {
			for _, e := range events {
				if job, _, ok := protocol.ParseTaskID(e.Task); ok && job == j.id && e.Event == "start" && time.Unix(0, e.At).After(j.stalled) && j.shown.IsZero() {
					j.stalled = time.Unix(0, e.At)
				}
			}
			open = open || j.shown.IsZero() && time.Since(j.stalled) < time.Minute
		}
		return !open
	})
	for _, j := range stalls {
		post(ctx, f, "/stall/"+j.id+"/false")
		switch {
		case j.shown.IsZero():
			r.wrong = append(r.wrong, j.id+": stalled, and not told as stuck")
		case j.shown.Sub(j.stalled) > time.Minute:
			r.wrong = append(r.wrong, fmt.Sprintf("%s: told as stuck after %v", j.id, j.shown.Sub(j.stalled)))
		default:
			r.shown = append(r.shown, j.shown.Sub(j.stalled))
		}
	}
	until(ctx, 40*time.Second, func() bool {
		ask()
		time.Sleep(500 * time.Millisecond)
		events, err := readEvents(f.events)
		for _, j := range jobs {
			if err != nil || doneAt(events, j.id, j.tasks).IsZero() {
				return false
			}
		}
		return true
	})
	time.Sleep(4 * time.Second)
	ask()
	events, err := readEvents(f.events)
	if err != nil {
		r.err = err
		return r
	}
	for _, j := range jobs {
		// A controller that stood still stores and tells late: by its stop and a take-over.
		r.wrong = append(r.wrong, judgeRows(j, rows[j.id], events, 12*time.Second)...)
		if l := rows[j.id]; len(l) == 0 || l[len(l)-1].State != ledger.Done {
			r.wrong = append(r.wrong, j.id+": not told as done in the end")
		}
	}
	return r
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
