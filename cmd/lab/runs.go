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

// runOptions are the flags of a proof of many runs.
type runOptions struct {
	runs, parallel int
	seed           uint64
	asJSON         bool
	keepFiles      bool // the files of all runs
}

// newProofCommand makes a subcommand that proves something by runs with real processes.
func newProofCommand(use, short string, runs, parallel int, prove func(ctx context.Context, out io.Writer, o runOptions) error) *cobra.Command {
	o := runOptions{}
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkRange("runs", o.runs, 1, 10000); err != nil {
				return err
			}
			if err := checkRange("parallel", o.parallel, 1, 16); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return prove(ctx, cmd.OutOrStdout(), o)
		}}
	c.Flags().IntVar(&o.runs, "runs", runs, "how many runs")
	c.Flags().IntVar(&o.parallel, "parallel", parallel, "runs at a time")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "the first run's seed; the next ones follow")
	c.Flags().BoolVar(&o.asJSON, "json", false, "print the last line only")
	return c
}

// runOutcome is what a run showed.
type runOutcome struct {
	summary    string // if all was well
	violations []string
	err        error
}

// runTotals are the figures that every proof tells.
type runTotals struct {
	Runs   int    `json:"runs"`
	Broken int    `json:"broken"`
	Seed   uint64 `json:"seed"`
	Failed int    `json:"failed_to_run"`
}

func (t runTotals) err() error {
	if t.Broken > 0 || t.Failed > 0 {
		return errBroken
	}
	return nil
}

// executeRuns plays the runs, some at a time, and tells of each. The files of a run that broke
// something stay. take is called with each run's number, one call at a time.
func (o runOptions) executeRuns(ctx context.Context, out io.Writer, name string, play func(bin, dir string, seed uint64) (take func(), r runOutcome)) (runTotals, error) {
	t := runTotals{Runs: o.runs, Seed: o.seed}
	bin, err := buildPrograms(ctx)
	if err != nil {
		return t, err
	}
	defer os.RemoveAll(bin)
	slots := make(chan struct{}, o.parallel)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range o.runs {
		slots <- struct{}{}
		if ctx.Err() != nil {
			mu.Lock()
			t.Failed += o.runs - i // they were not begun
			mu.Unlock()
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			dir, err := os.MkdirTemp("", "lab-"+name+"-")
			take, r := func() {}, runOutcome{err: err}
			if err == nil {
				take, r = play(bin, dir, o.seed+uint64(i))
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.err != nil:
				t.Failed++
				r.summary = fmt.Sprintf("%v (files in %s)", r.err, dir)
			case len(r.violations) > 0:
				t.Broken++
				r.summary = fmt.Sprintf("BROKEN %s (files in %s)", strings.Join(r.violations[:min(8, len(r.violations))], "; "), dir)
			case !o.keepFiles:
				os.RemoveAll(dir)
			}
			if !o.asJSON {
				fmt.Fprintf(out, "run %d, seed %d: %s\n", i+1, o.seed+uint64(i), r.summary)
			}
			take()
		}()
	}
	wg.Wait()
	return t, nil
}
