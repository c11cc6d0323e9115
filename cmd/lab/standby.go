package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/node"
)

// standbyCauses are the ways in which a controller goes, and how.
var standbyCauses = []string{"killed", "left", "stood_still", "restarted_at_once"}

// standbyResult is what a run showed: by cause, for how long a share had nobody.
type standbyResult struct {
	ownerlessTimes map[string][]time.Duration
	violations     []string
	err            error
}

// partitionOwners asks a controller who holds each share.
func (f *testSite) partitionOwners(ctx context.Context, api string) (map[int]string, error) {
	var s node.Status
	status, data, err := f.call(ctx, "GET", api, "/admin/status", nil)
	if err == nil && status != 200 {
		err = fmt.Errorf("status %d", status)
	}
	if err == nil {
		err = json.Unmarshal(data, &s)
	}
	out := map[int]string{}
	for _, sh := range s.Shares {
		out[sh.Share] = sh.Holder
	}
	return out, err
}

// standbyRun is a run under way.
type standbyRun struct {
	*standbyResult
	site  *testSite
	rng   *rand.Rand
	tasks map[string]int // by job
}

func executeStandbyRun(ctx context.Context, bin, dir string, seed uint64, turns int, causes []string, t times) *standbyResult {
	r := &standbyResult{ownerlessTimes: map[string][]time.Duration{}}
	f, err := startTestSite(ctx, bin, dir, 24, t)
	defer f.end()
	if err != nil {
		r.err = err
		return r
	}
	run := &standbyRun{standbyResult: r, site: f, rng: rand.New(rand.NewPCG(seed, 53)), tasks: map[string]int{}}
	order := run.rng.Perm(len(causes))
	for turn := range turns {
		if !run.failController(ctx, causes[order[turn%len(order)]]) {
			return r
		}
	}
	wrong, _, err := f.awaitJobsDone(ctx, run.tasks)
	r.violations = append(r.violations, wrong...)
	if err != nil {
		r.err = err
	}
	return r
}

func (r *standbyRun) submit(ctx context.Context) {
	id := fmt.Sprintf("job-1%05d", len(r.tasks))
	r.tasks[id] = 2 + r.rng.IntN(8)
	team := []string{"red", "blue"}[len(r.tasks)%2]
	if err := r.site.submit(ctx, id, r.site.jobSubmission(id, team, "sweep", r.tasks[id], 1+3*r.rng.Float64())); err != nil && r.err == nil {
		r.err = err
	}
}

// failController lets one controller go and measures until the other has its share; then the first is
// back. It returns false if the run can't go on.
func (r *standbyRun) failController(ctx context.Context, cause string) bool {
	for range 2 {
		r.submit(ctx)
	}
	if !waitUntil(ctx, 30*time.Second, func() bool { return r.eachOwnsOnePartition(ctx) }) {
		r.violations = append(r.violations, "the shares did not spread over both controllers again")
		return false
	}
	// Its standby must have been told of it for a while, and its share served.
	time.Sleep(randomDuration(r.rng, 5500*time.Millisecond, 6500*time.Millisecond))
	i := r.rng.IntN(2)
	name, other := fmt.Sprint("n-", i), r.site.apis[1-i]
	p := r.site.process(name)
	before, err := r.site.partitionOwners(ctx, other)
	if err != nil || before[0] == before[1] {
		return true
	}
	began := time.Now()
	if err := failProcess(p, cause); err != nil {
		r.err = err
		return false
	}
	if !waitUntil(ctx, 12*time.Second, func() bool { return r.takenOver(ctx, name, other, cause, before) }) {
		r.violations = append(r.violations, fmt.Sprintf("%s %s: its share has nobody after 12 s", name, cause))
		return false
	}
	r.ownerlessTimes[cause] = append(r.ownerlessTimes[cause], time.Since(began))
	r.submit(ctx)
	time.Sleep(randomDuration(r.rng, 500*time.Millisecond, 2*time.Second))
	p.signal(syscall.SIGCONT)
	if cause == "left" {
		p.kill() // it has ended; this takes note
	}
	if err := p.start(); err != nil {
		r.err = err
		return false
	}
	return true
}

// eachOwnsOnePartition says whether each controller holds one of the two shares.
func (r *standbyRun) eachOwnsOnePartition(ctx context.Context) bool {
	h, err := r.site.partitionOwners(ctx, r.site.apis[0])
	return err == nil && h[0] != "" && h[1] != "" && h[0] != h[1]
}

// failProcess makes a controller go.
func failProcess(p *process, cause string) error {
	switch cause {
	case "killed":
		p.kill()
	case "left":
		p.signal(syscall.SIGTERM)
	case "stood_still":
		p.signal(syscall.SIGSTOP)
	case "restarted_at_once":
		p.kill()
		return p.start()
	}
	return nil
}

// takenOver says whether, as the other controller tells, what a controller held before is
// held again.
func (r *standbyRun) takenOver(ctx context.Context, name, other, cause string, before map[int]string) bool {
	holders, err := r.site.partitionOwners(ctx, other)
	if err != nil {
		return false
	}
	for share, was := range before {
		if was != name {
			continue
		}
		if cause == "restarted_at_once" {
			// It may have its share back in its new life, or the other one has it.
			if s, ok := r.site.partitionStatuses(ctx); !ok || s[share].Phase == "" {
				return false
			}
		} else if holders[share] == name || holders[share] == "" {
			return false
		}
	}
	return true
}

func standbyProofCommand() *cobra.Command {
	turns, before, place := 4, "", false
	c := newProofCommand("standby", "Kill, stop and restart a holder, and measure until its standby has the share", 4, 4, func(ctx context.Context, out io.Writer, o runOptions) error {
		if err := checkRange("turns", turns, 1, 100); err != nil {
			return err
		}
		return proveStandby(ctx, out, o, turns, before, place)
	})
	c.Flags().IntVar(&turns, "turns", turns, "times that a controller goes in a run")
	addPlaceFlag(c, &place)
	c.Flags().StringVar(&before, "before", before, "a folder with an earlier version of dapplestage and today's standin, to be measured in turn")
	return c
}

func proveStandby(ctx context.Context, out io.Writer, o runOptions, turns int, before string, place bool) error {
	times := restartTimes
	times.mixedMachines = place
	type quantiles struct {
		Count  int64   `json:"count"`
		Median float64 `json:"median_s"`
		P95    float64 `json:"p95_s"`
		Max    float64 `json:"max_s"`
	}
	measure := func(old string) (runTotals, map[string]quantiles, error) {
		byCause := map[string]latencies{}
		t, err := o.executeRuns(ctx, out, "standby", func(bin, dir string, seed uint64) (func(), runOutcome) {
			causes := standbyCauses
			if old != "" {
				// With a stand-in that knows today's flags. Whether a node serves its share
				// in a new life is not told by earlier versions.
				bin, causes = old, causes[:3]
			}
			r := executeStandbyRun(ctx, bin, dir, seed, turns, causes, times)
			var text []string
			for _, c := range standbyCauses {
				if r.ownerlessTimes[c] != nil {
					text = append(text, fmt.Sprint(c, " ", r.ownerlessTimes[c]))
				}
			}
			return func() {
				for c, gaps := range r.ownerlessTimes {
					if _, known := byCause[c]; !known {
						byCause[c] = newLatencies()
					}
					byCause[c].record(gaps...)
				}
			}, runOutcome{strings.Join(text, ", "), r.violations, r.err}
		})
		told := map[string]quantiles{}
		for c, l := range byCause {
			told[c] = quantiles{l.count(), l.quantileSeconds(50), l.quantileSeconds(95), l.maxSeconds()}
		}
		return t, told, err
	}
	s := struct {
		runTotals
		Gaps   map[string]quantiles `json:"share_without_holder"`
		Before map[string]quantiles `json:"before,omitempty"`
		Old    *runTotals           `json:"before_runs,omitempty"`
	}{}
	var err error
	if s.runTotals, s.Gaps, err = measure(""); err != nil {
		return err
	}
	if before != "" {
		old, err := filepath.Abs(before)
		if err != nil {
			return err
		}
		var t runTotals
		if t, s.Before, err = measure(old); err != nil {
			return err
		}
		s.Old = &t
	}
	if err := printFigures(out, s); err != nil {
		return err
	}
	return s.err()
}
