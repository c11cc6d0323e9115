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

// standbyCauses lists the ways in which a controller fails: killed, terminated by a signal, suspended,
// or killed and restarted at once.
var standbyCauses = []string{"killed", "left", "stood_still", "restarted_at_once"}

// standbyResult holds, by cause, how long a partition had no owner, and the violations of one run.
type standbyResult struct {
	ownerlessTimes map[string][]time.Duration
	violations     []string
	err            error
}

// partitionOwners returns the owner of each partition, as reported by a controller.
func (site *testSite) partitionOwners(ctx context.Context, api string) (map[int]string, error) {
	var nodeStatus node.Status
	status, body, err := site.call(ctx, "GET", api, "/admin/status", nil)
	if err == nil && status != 200 {
		err = fmt.Errorf("status %d", status)
	}
	if err == nil {
		err = json.Unmarshal(body, &nodeStatus)
	}
	owners := map[int]string{}
	for _, partition := range nodeStatus.Shares {
		owners[partition.Share] = partition.Holder
	}
	return owners, err
}

// standbyRun is a run in progress.
type standbyRun struct {
	*standbyResult
	testSite *testSite
	rng      *rand.Rand
	tasks    map[string]int // number of tasks by job id
}

// executeStandbyRun lets controllers fail one after another, in a random order of the causes, and
// checks the jobs at the end.
func executeStandbyRun(ctx context.Context, bin, dir string, seed uint64, failures int, causes []string, timing times) *standbyResult {
	result := &standbyResult{ownerlessTimes: map[string][]time.Duration{}}
	site, err := startTestSite(ctx, bin, dir, 24, timing)
	defer site.end()
	if err != nil {
		result.err = err
		return result
	}
	run := &standbyRun{standbyResult: result, testSite: site, rng: rand.New(rand.NewPCG(seed, 53)), tasks: map[string]int{}}
	order := run.rng.Perm(len(causes))
	for failure := range failures {
		if !run.failController(ctx, causes[order[failure%len(order)]]) {
			return result
		}
	}
	violations, _, err := site.awaitJobsDone(ctx, run.tasks)
	result.violations = append(result.violations, violations...)
	if err != nil {
		result.err = err
	}
	return result
}

// submit submits an array of 2 to 9 tasks that run for 1 to 4 s.
func (r *standbyRun) submit(ctx context.Context) {
	id := fmt.Sprintf("job-1%05d", len(r.tasks))
	r.tasks[id] = 2 + r.rng.IntN(8)
	team := []string{"red", "blue"}[len(r.tasks)%2]
	if err := r.testSite.submit(ctx, id, r.testSite.shapedJobSubmission(id, team, "sweep", r.tasks[id], 1+3*r.rng.Float64())); err != nil && r.err == nil {
		r.err = err
	}
}

// failController lets a random controller fail, measures the time until the other one owns its
// partition, and starts the failed one again. It returns false if the run can't continue.
func (r *standbyRun) failController(ctx context.Context, cause string) bool {
	for range 2 {
		r.submit(ctx)
	}
	if !waitUntil(ctx, 30*time.Second, func() bool { return r.eachOwnsOnePartition(ctx) }) {
		r.violations = append(r.violations, "the partitions were not spread over both controllers again")
		return false
	}
	// The standby must have received updates of the partition for a while, and the partition must be
	// in the serving phase.
	time.Sleep(randomDuration(r.rng, 5500*time.Millisecond, 6500*time.Millisecond))
	failedNode := r.rng.IntN(2)
	name, otherAPI := fmt.Sprint("n-", failedNode), r.testSite.apis[1-failedNode]
	controller := r.testSite.childProcess(name)
	ownersBefore, err := r.testSite.partitionOwners(ctx, otherAPI)
	if err != nil || ownersBefore[0] == ownersBefore[1] {
		return true
	}
	failedAt := time.Now()
	if err := failProcess(controller, cause); err != nil {
		r.err = err
		return false
	}
	if !waitUntil(ctx, 12*time.Second, func() bool { return r.takenOver(ctx, name, otherAPI, cause, ownersBefore) }) {
		r.violations = append(r.violations, fmt.Sprintf("%s %s: its partition has no owner after 12 s", name, cause))
		return false
	}
	r.ownerlessTimes[cause] = append(r.ownerlessTimes[cause], time.Since(failedAt))
	r.submit(ctx)
	time.Sleep(randomDuration(r.rng, 500*time.Millisecond, 2*time.Second))
	controller.signal(syscall.SIGCONT)
	if cause == "left" {
		controller.kill() // the process has exited; this clears its state so that it can start again
	}
	if err := controller.start(); err != nil {
		r.err = err
		return false
	}
	return true
}

// eachOwnsOnePartition reports whether each controller owns one of the two partitions.
func (r *standbyRun) eachOwnsOnePartition(ctx context.Context) bool {
	owners, err := r.testSite.partitionOwners(ctx, r.testSite.apis[0])
	return err == nil && owners[0] != "" && owners[1] != "" && owners[0] != owners[1]
}

// failProcess lets a controller fail in the given way.
func failProcess(process *childProcess, cause string) error {
	switch cause {
	case "killed":
		process.kill()
	case "left":
		process.signal(syscall.SIGTERM)
	case "stood_still":
		process.signal(syscall.SIGSTOP)
	case "restarted_at_once":
		process.kill()
		return process.start()
	}
	return nil
}

// takenOver reports whether the partitions that the failed controller owned have an owner again, as
// seen by the other controller.
func (r *standbyRun) takenOver(ctx context.Context, name, otherAPI, cause string, ownersBefore map[int]string) bool {
	owners, err := r.testSite.partitionOwners(ctx, otherAPI)
	if err != nil {
		return false
	}
	for partition, previousOwner := range ownersBefore {
		if previousOwner != name {
			continue
		}
		if cause == "restarted_at_once" {
			// Either the restarted controller or the other one may own the partition now.
			if statuses, ok := r.testSite.partitionStatuses(ctx); !ok || statuses[partition].Phase == "" {
				return false
			}
		} else if owners[partition] == name || owners[partition] == "" {
			return false
		}
	}
	return true
}

// standbyProofCommand returns the subcommand that measures how long a partition has no owner after
// its controller failed.
func standbyProofCommand() *cobra.Command {
	failures, oldBinaries, mixedMachines := 4, "", false
	command := newProofCommand("standby", "Kill, suspend and restart a partition owner, and measure until its standby owns the partition", 4, 4, func(ctx context.Context, out io.Writer, options runOptions) error {
		if err := checkRange("turns", failures, 1, 100); err != nil {
			return err
		}
		return proveStandby(ctx, out, options, failures, oldBinaries, mixedMachines)
	})
	command.Flags().IntVar(&failures, "turns", failures, "controller failures in a run")
	addPlaceFlag(command, &mixedMachines)
	command.Flags().StringVar(&oldBinaries, "before", oldBinaries, "a folder with an earlier version of dapplestage and the current standin, to be measured as well")
	return command
}

// proveStandby executes the runs, with the old binaries too if there are any, and prints the figures.
func proveStandby(ctx context.Context, out io.Writer, options runOptions, failures int, oldBinaries string, mixedMachines bool) error {
	timing := restartTimes
	timing.mixedMachines = mixedMachines
	type quantiles struct {
		Count  int64   `json:"count"`
		Median float64 `json:"median_s"`
		P95    float64 `json:"p95_s"`
		Max    float64 `json:"max_s"`
	}
	measure := func(oldBin string) (runTotals, map[string]quantiles, error) {
		byCause := map[string]latencies{}
		totals, err := options.executeRuns(ctx, out, "standby", func(bin, dir string, seed uint64) (func(), runOutcome) {
			causes := standbyCauses
			if oldBin != "" {
				// The folder also has the current standin, since an old one lacks flags. Earlier versions
				// do not report whether a restarted node serves its partition, so the last cause is left
				// out.
				bin, causes = oldBin, causes[:3]
			}
			result := executeStandbyRun(ctx, bin, dir, seed, failures, causes, timing)
			var summary []string
			for _, cause := range standbyCauses {
				if result.ownerlessTimes[cause] != nil {
					summary = append(summary, fmt.Sprint(cause, " ", result.ownerlessTimes[cause]))
				}
			}
			return func() {
				for cause, ownerlessTimes := range result.ownerlessTimes {
					if _, known := byCause[cause]; !known {
						byCause[cause] = newLatencies()
					}
					byCause[cause].record(ownerlessTimes...)
				}
			}, runOutcome{strings.Join(summary, ", "), result.violations, result.err}
		})
		byCauseQuantiles := map[string]quantiles{}
		for cause, histogram := range byCause {
			byCauseQuantiles[cause] = quantiles{histogram.count(), histogram.quantileSeconds(50), histogram.quantileSeconds(95), histogram.maxSeconds()}
		}
		return totals, byCauseQuantiles, err
	}
	figures := struct {
		runTotals
		Ownerless    map[string]quantiles `json:"share_without_holder"`
		OldOwnerless map[string]quantiles `json:"before,omitempty"`
		OldTotals    *runTotals           `json:"before_runs,omitempty"`
	}{}
	var err error
	if figures.runTotals, figures.Ownerless, err = measure(""); err != nil {
		return err
	}
	if oldBinaries != "" {
		oldBin, err := filepath.Abs(oldBinaries)
		if err != nil {
			return err
		}
		var totals runTotals
		if totals, figures.OldOwnerless, err = measure(oldBin); err != nil {
			return err
		}
		figures.OldTotals = &totals
	}
	if err := printFigures(out, figures); err != nil {
		return err
	}
	return figures.err()
}
