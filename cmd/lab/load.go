package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/gateway"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// gatewayLoadCommand returns the subcommand that compares submissions through the gateway with
// submissions directly to a site, in one run on the same processes.
func gatewayLoadCommand() *cobra.Command {
	var seconds, clients, rate int
	command := &cobra.Command{Use: "gateway-load", Short: "Compare jobs per second through the gateway and directly to a site", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, argument := range []struct {
				name                    string
				value, minimum, maximum int
			}{{"seconds", seconds, 1, 600}, {"clients", clients, 1, 500}, {"rate", rate, 1, 100000}} {
				if err := checkRange(argument.name, argument.value, argument.minimum, argument.maximum); err != nil {
					return err
				}
			}
			return measureGatewayLoad(cmd.Context(), cmd.OutOrStdout(), seconds, clients, rate)
		}}
	command.Flags().IntVar(&seconds, "seconds", 10, "duration of each of the two measurements")
	command.Flags().IntVar(&clients, "clients", 32, "clients that submit one job after the other")
	command.Flags().IntVar(&rate, "rate", 40, "changes per second of each site's state service")
	return command
}

// submissionFigures holds the figures of the submissions by one of the two paths.
type submissionFigures struct {
	Accepted  int     `json:"accepted"`
	PerSecond float64 `json:"per_s"`
	Median    float64 `json:"median_ms"`
	P99       float64 `json:"p99_ms"`
	Refused   int     `json:"turned_away"`
}

// gatewayLoadFigures is the last output line of the gateway load measurement.
type gatewayLoadFigures struct {
	Runs           int               `json:"runs"`
	Broken         int               `json:"broken"`
	Seed           int               `json:"seed"`
	Clients        int               `json:"clients"`
	Rate           int               `json:"state_changes_per_s"`
	Direct         submissionFigures `json:"straight_to_one_site"`
	ThroughGateway submissionFigures `json:"through_the_gateway"`
	Ratio          float64           `json:"through_over_straight"`
	ChangesPerJob  float64           `json:"changes_per_job_and_site"`
	JournalBytes   int64             `json:"journal_bytes"`
}

// measureGatewayLoad measures submissions directly to a site and then through the gateway, and prints
// the figures.
func measureGatewayLoad(ctx context.Context, out io.Writer, seconds, clients, rate int) error {
	bin, err := buildPrograms(ctx)
	if err != nil {
		return err
	}
	defer os.RemoveAll(bin)
	dir, err := os.MkdirTemp("", "lab-load-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	timing := gatewayTimes
	timing.siteLease, timing.cancelBound, timing.writeRPS, timing.maxInFlight = 6, 40, float64(rate), 2000
	d, err := startDeployment(ctx, bin, dir, timing, 0) // no machines, since only the acceptance of jobs is measured
	if err != nil {
		return err
	}
	defer d.end()
	generator := &loadGenerator{deployment: d, duration: time.Duration(seconds) * time.Second, clients: clients}
	direct := generator.measure(ctx, d.sites[0].controllerAPIs)
	time.Sleep(2 * time.Second)
	throughGateway := generator.measure(ctx, []string{d.gatewayAPI})
	time.Sleep(2 * time.Second)
	changes, err := d.registerChanges(ctx)
	if err != nil {
		return err
	}
	journalFile, _ := os.Stat(filepath.Join(d.dir, "gate.journal"))
	result := gatewayLoadFigures{Runs: 1, Clients: clients, Rate: rate, Direct: direct, ThroughGateway: throughGateway, JournalBytes: journalFile.Size()}
	if throughGateway.Accepted > 0 {
		result.ChangesPerJob = changes / 2 / float64(throughGateway.Accepted)
	}
	if direct.PerSecond > 0 {
		result.Ratio = throughGateway.PerSecond / direct.PerSecond
	}
	return printFigures(out, result)
}

// loadGenerator runs clients that each submit one job after the other.
type loadGenerator struct {
	deployment *deployment
	duration   time.Duration
	clients    int
	lastJob    atomic.Int64 // number of the last job
}

// measure submits jobs to the given addresses for the generator's duration.
func (l *loadGenerator) measure(ctx context.Context, addresses []string) submissionFigures {
	latencyHistogram := hdrhistogram.New(1, 60_000_000, 3) // in microseconds
	var mu sync.Mutex
	var figures submissionFigures
	ctx, cancel := context.WithTimeout(ctx, l.duration)
	defer cancel()
	recordAnswer := func(status int, err error, latency time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if err == nil && status == 201 {
			figures.Accepted++
			latencyHistogram.RecordValue(latency.Microseconds())
		} else if err == nil {
			figures.Refused++
		}
	}
	var group sync.WaitGroup
	for i := range l.clients {
		group.Go(func() {
			for ctx.Err() == nil {
				body := jobSubmission(fmt.Sprintf("job-%09d", l.lastJob.Add(1)), "red", 1, 1)
				sentAt := time.Now()
				status, _, _, err := l.deployment.call(ctx, "POST", addresses[i%len(addresses)], "/api/jobs", body)
				recordAnswer(status, err, time.Since(sentAt))
				if status != 201 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	figures.PerSecond = float64(figures.Accepted) / l.duration.Seconds()
	figures.Median, figures.P99 = float64(latencyHistogram.ValueAtQuantile(50))/1000, float64(latencyHistogram.ValueAtQuantile(99))/1000
	return figures
}

// registerChanges returns how many state service changes the registers have cost at both sites. Each
// change stores one segment of a daemon's log, and the segments are numbered.
func (d *deployment) registerChanges(ctx context.Context) (changes float64, err error) {
	for _, site := range d.sites {
		var page struct {
			Items []struct{ Path string }
		}
		if err := d.get(ctx, site.stateAddr, "/store?under=g/s/", &page); err != nil || len(page.Items) == 0 {
			return 0, fmt.Errorf("the log of %s can't be read: %v", site.name, err)
		}
		var lastSegment uint64
		fmt.Sscanf(page.Items[len(page.Items)-1].Path, "g/s/%x", &lastSegment)
		changes += float64(lastSegment)
	}
	return changes, nil
}

// gatewayGrowthCommand returns the subcommand that measures a gateway's journal, memory and start
// time by the number of jobs.
func gatewayGrowthCommand() *cobra.Command {
	var maxJobs int
	command := &cobra.Command{Use: "gateway-growth", Short: "Journal size, memory and start time of a gateway by number of ended jobs", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkRange("jobs", maxJobs, 1000, 10_000_000); err != nil {
				return err
			}
			return measureGatewayGrowth(cmd.OutOrStdout(), maxJobs)
		}}
	command.Flags().IntVar(&maxJobs, "jobs", 100_000, "maximum number of jobs; sizes grow tenfold from 10,000")
	return command
}

// growthFigures holds the figures for one number of jobs.
type growthFigures struct {
	Jobs         int     `json:"jobs"`
	JournalBytes int64   `json:"journal_bytes"`
	WriteSeconds float64 `json:"write_s"`
	StartSeconds float64 `json:"start_s"`
	HeapBytes    uint64  `json:"heap_bytes"`
}

// measureGatewayGrowth measures for each number of jobs and prints the figures.
func measureGatewayGrowth(out io.Writer, maxJobs int) error {
	var sizes []growthFigures
	for jobs := min(10_000, maxJobs); jobs <= maxJobs; jobs *= 10 {
		dir, err := os.MkdirTemp("", "lab-growth-")
		if err != nil {
			return err
		}
		figures, err := measureJournalGrowth(filepath.Join(dir, "j"), jobs)
		os.RemoveAll(dir)
		if err != nil {
			return err
		}
		encoded, _ := json.Marshal(figures)
		fmt.Fprintln(out, string(encoded))
		sizes = append(sizes, figures)
	}
	return printFigures(out, struct {
		Runs   int             `json:"runs"`
		Broken int             `json:"broken"`
		Seed   int             `json:"seed"`
		Sizes  []growthFigures `json:"sizes"`
	}{Runs: len(sizes), Sizes: sizes})
}

// measureJournalGrowth writes the registers of all jobs to a journal, first as accepted and then as
// ended, 100 in each write, and then measures the start of a gateway with that journal.
func measureJournalGrowth(path string, jobs int) (growthFigures, error) {
	figures := growthFigures{Jobs: jobs}
	journal, _, _, err := gateway.OpenJournal(path, "gate")
	if err != nil {
		return figures, err
	}
	store := gateway.JournalStore{Journal: journal}
	startedAt := time.Now()
	for _, outcome := range []uint8{wire.Open, wire.Done} {
		for batchStart := 0; batchStart < jobs; batchStart += 100 {
			var items []wire.Item
			for job := batchStart; job < min(jobs, batchStart+100); job++ {
				id := fmt.Sprintf("job-%09d", job)
				item := wire.Item{Kind: wire.RegisterState, ID: id, HasRecord: true, Ballot: wire.Ballot{Number: uint64(job), Proposer: 256}, Accepted: wire.Ballot{Number: uint64(job), Proposer: 256},
					Record: wire.Record{Epoch: 1, Owner: 2, CreatedMS: 1, Tasks: 1, Outcome: outcome}}
				if outcome == wire.Open {
					item.Record.Spec = jobSubmission(id, "red", 1, 1)
				} else {
					item.Committed, item.Record.FinishedBy = true, 2
				}
				items = append(items, item)
			}
			if err := store.Write(context.Background(), items); err != nil {
				return figures, err
			}
		}
	}
	figures.WriteSeconds, figures.JournalBytes = time.Since(startedAt).Seconds(), journal.Size()
	journal.Close()
	startedAt = time.Now()
	journal, items, incarnation, err := gateway.OpenJournal(path, "gate")
	if err != nil {
		return figures, err
	}
	defer journal.Close()
	core := gateway.New(gateway.Config{Members: []gateway.Member{{Name: "gate"}, {Name: "quito", Site: true}, {Name: "xela", Site: true}}, LeaseTime: 8 * time.Second, StopTime: 17 * time.Second, MaxInFlight: 500},
		incarnation, items, 1, slog.New(slog.DiscardHandler), 0)
	figures.StartSeconds = time.Since(startedAt).Seconds()
	items = nil
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	figures.HeapBytes = memory.HeapAlloc
	runtime.KeepAlive(core)
	return figures, nil
}
