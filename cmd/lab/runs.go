package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"

	"github.com/spf13/cobra"
)

// runOptions holds the flags of a proof that consists of several runs.
type runOptions struct {
	runs, parallel int
	seed           uint64
	asJSON         bool // print the last line only
	keepFiles      bool // also the files of runs without violations
}

// newProofCommand returns a subcommand for a proof that consists of several runs with real processes.
// runs and parallel are the defaults of the flags.
func newProofCommand(use, short string, runs, parallel int, proof func(ctx context.Context, out io.Writer, options runOptions) error) *cobra.Command {
	options := runOptions{}
	command := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkRange("runs", options.runs, 1, 10000); err != nil {
				return err
			}
			if err := checkRange("parallel", options.parallel, 1, 16); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return proof(ctx, cmd.OutOrStdout(), options)
		}}
	command.Flags().IntVar(&options.runs, "runs", runs, "how many runs")
	command.Flags().IntVar(&options.parallel, "parallel", parallel, "runs in parallel")
	command.Flags().Uint64Var(&options.seed, "seed", 1, "seed of the first run; each further run uses the next number")
	command.Flags().BoolVar(&options.asJSON, "json", false, "print the last line only")
	return command
}

// runOutcome is the outcome of one run.
type runOutcome struct {
	summary    string // printed if there are no violations
	violations []string
	err        error
}

// runTotals holds the figures that every proof prints.
type runTotals struct {
	Runs   int    `json:"runs"`
	Broken int    `json:"broken"`
	Seed   uint64 `json:"seed"`
	Failed int    `json:"failed_to_run"`
}

// err returns errBroken if a run found a violation or failed.
func (t runTotals) err() error {
	if t.Broken > 0 || t.Failed > 0 {
		return errBroken
	}
	return nil
}

// executeRuns executes the runs, several in parallel, and prints a line for each. The files of a run
// that failed or found a violation are kept. The collect function that a run returns is called once
// at its end, for one run at a time.
func (options runOptions) executeRuns(ctx context.Context, out io.Writer, name string, execute func(bin, dir string, seed uint64) (collect func(), outcome runOutcome)) (runTotals, error) {
	totals := runTotals{Runs: options.runs, Seed: options.seed}
	bin, err := buildPrograms(ctx)
	if err != nil {
		return totals, err
	}
	defer os.RemoveAll(bin)
	slots := make(chan struct{}, options.parallel)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range options.runs {
		slots <- struct{}{}
		if ctx.Err() != nil {
			mu.Lock()
			totals.Failed += options.runs - i // the runs that were not started
			mu.Unlock()
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			dir, err := os.MkdirTemp("", "lab-"+name+"-")
			collect, outcome := func() {}, runOutcome{err: err}
			if err == nil {
				collect, outcome = execute(bin, dir, options.seed+uint64(i))
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case outcome.err != nil:
				totals.Failed++
				outcome.summary = fmt.Sprintf("%v (files in %s)", outcome.err, dir)
			case len(outcome.violations) > 0:
				totals.Broken++
				outcome.summary = fmt.Sprintf("BROKEN %s (files in %s)", strings.Join(outcome.violations[:min(8, len(outcome.violations))], "; "), dir)
			case !options.keepFiles:
				os.RemoveAll(dir)
			}
			if !options.asJSON {
				fmt.Fprintf(out, "run %d, seed %d: %s\n", i+1, options.seed+uint64(i), outcome.summary)
			}
			collect()
		}()
	}
	wg.Wait()
	return totals, nil
}
