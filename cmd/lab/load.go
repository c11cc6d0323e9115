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

// gatewayLoadCommand compares submissions through the gateway with submissions straight to
// a site, in one run on the same processes.
func gatewayLoadCommand() *cobra.Command {
	var seconds, clients, rate int
	c := &cobra.Command{Use: "gateway-load", Short: "Jobs a second through the gateway against straight to a site", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, b := range []struct {
				name           string
				v, least, most int
			}{{"seconds", seconds, 1, 600}, {"clients", clients, 1, 500}, {"rate", rate, 1, 100000}} {
				if err := checkRange(b.name, b.v, b.least, b.most); err != nil {
					return err
				}
			}
			return measureGatewayLoad(cmd.Context(), cmd.OutOrStdout(), seconds, clients, rate)
		}}
	c.Flags().IntVar(&seconds, "seconds", 10, "how long each way")
	c.Flags().IntVar(&clients, "clients", 32, "clients that submit one job after the other")
	c.Flags().IntVar(&rate, "rate", 40, "changes a second of each site's state service")
	return c
}

type submissionFigures struct {
	Accepted  int     `json:"accepted"`
	PerSecond float64 `json:"per_s"`
	Median    float64 `json:"median_ms"`
	P99       float64 `json:"p99_ms"`
	Refused   int     `json:"turned_away"`
}

// gatewayLoadFigures are the figures of a measurement.
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
	t := gatewayTimes
	t.siteLease, t.cancelBound, t.writeRPS, t.maxInFlight = 6, 40, float64(rate), 2000
	w, err := startDeployment(ctx, bin, dir, t, 0) // no machines: what is measured is taking jobs
	if err != nil {
		return err
	}
	defer w.end()
	load := &loadGenerator{deployment: w, duration: time.Duration(seconds) * time.Second, clients: clients}
	straight := load.measure(ctx, w.sites[0].controllerAPIs)
	time.Sleep(2 * time.Second)
	through := load.measure(ctx, []string{w.gatewayAPI})
	time.Sleep(2 * time.Second)
	changes, err := w.registerChanges(ctx)
	if err != nil {
		return err
	}
	st, _ := os.Stat(filepath.Join(w.dir, "gate.journal"))
	res := gatewayLoadFigures{Runs: 1, Clients: clients, Rate: rate, Direct: straight, ThroughGateway: through, JournalBytes: st.Size()}
	if through.Accepted > 0 {
		res.ChangesPerJob = changes / 2 / float64(through.Accepted)
	}
	if straight.PerSecond > 0 {
		res.Ratio = through.PerSecond / straight.PerSecond
	}
	return printFigures(out, res)
}

// loadGenerator is clients that submit one job after the other.
type loadGenerator struct {
	deployment *deployment
	duration   time.Duration
	clients    int
	lastJob    atomic.Int64 // number of the last job
}

// measure submits at some addresses for a while.
func (l *loadGenerator) measure(ctx context.Context, addrs []string) submissionFigures {
	hist := hdrhistogram.New(1, 60_000_000, 3) // in microseconds
	var mu sync.Mutex
	var r submissionFigures
	ctx, cancel := context.WithTimeout(ctx, l.duration)
	defer cancel()
	note := func(code int, err error, took time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if err == nil && code == 201 {
			r.Accepted++
			hist.RecordValue(took.Microseconds())
		} else if err == nil {
			r.Refused++
		}
	}
	var all sync.WaitGroup
	for i := range l.clients {
		all.Go(func() {
			for ctx.Err() == nil {
				body := jobSubmission(fmt.Sprintf("job-%09d", l.lastJob.Add(1)), "red", 1, 1)
				begun := time.Now()
				code, _, _, err := l.deployment.call(ctx, "POST", addrs[i%len(addrs)], "/api/jobs", body)
				note(code, err, time.Since(begun))
				if code != 201 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	all.Wait()
	r.PerSecond = float64(r.Accepted) / l.duration.Seconds()
	r.Median, r.P99 = float64(hist.ValueAtQuantile(50))/1000, float64(hist.ValueAtQuantile(99))/1000
	return r
}

// registerChanges is how many changes the registers have cost both sites. The daemons' logs
// number their segments.
func (w *deployment) registerChanges(ctx context.Context) (changes float64, err error) {
	for _, s := range w.sites {
		var page struct {
			Items []struct{ Path string }
		}
		if err := w.get(ctx, s.stateAddr, "/store?under=g/s/", &page); err != nil || len(page.Items) == 0 {
			return 0, fmt.Errorf("the log of %s can't be read: %v", s.name, err)
		}
		var last uint64
		fmt.Sscanf(page.Items[len(page.Items)-1].Path, "g/s/%x", &last)
		changes += float64(last)
	}
	return changes, nil
}

// gatewayGrowthCommand measures a gateway's journal and memory by the number of jobs.
func gatewayGrowthCommand() *cobra.Command {
	var most int
	c := &cobra.Command{Use: "gateway-growth", Short: "Journal, memory and time to start of a gateway by number of ended jobs", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkRange("jobs", most, 1000, 10_000_000); err != nil {
				return err
			}
			return measureGatewayGrowth(cmd.OutOrStdout(), most)
		}}
	c.Flags().IntVar(&most, "jobs", 100_000, "up to how many jobs, by tens from 10,000")
	return c
}

type growthFigures struct {
	Jobs         int     `json:"jobs"`
	JournalBytes int64   `json:"journal_bytes"`
	WriteSeconds float64 `json:"write_s"`
	StartSeconds float64 `json:"start_s"`
	HeapBytes    uint64  `json:"heap_bytes"`
}

func measureGatewayGrowth(out io.Writer, most int) error {
	var sizes []growthFigures
	for n := min(10_000, most); n <= most; n *= 10 {
		dir, err := os.MkdirTemp("", "lab-growth-")
		if err != nil {
			return err
		}
		g, err := measureJournalGrowth(filepath.Join(dir, "j"), n)
		os.RemoveAll(dir)
		if err != nil {
			return err
		}
		line, _ := json.Marshal(g)
		fmt.Fprintln(out, string(line))
		sizes = append(sizes, g)
	}
	return printFigures(out, struct {
		Runs   int             `json:"runs"`
		Broken int             `json:"broken"`
		Seed   int             `json:"seed"`
		Sizes  []growthFigures `json:"sizes"`
	}{Runs: len(sizes), Sizes: sizes})
}

// measureJournalGrowth writes n jobs as they are accepted and then as they end, 100 a write.
func measureJournalGrowth(path string, n int) (growthFigures, error) {
	g := growthFigures{Jobs: n}
	j, _, _, err := gateway.OpenJournal(path, "gate")
	if err != nil {
		return g, err
	}
	store := gateway.JournalStore{Journal: j}
	begun := time.Now()
	for _, final := range []uint8{wire.Open, wire.Done} {
		for i := 0; i < n; i += 100 {
			var items []wire.Item
			for k := i; k < min(n, i+100); k++ {
				id := fmt.Sprintf("job-%09d", k)
				it := wire.Item{Kind: wire.RegisterState, ID: id, HasRecord: true, Ballot: wire.Ballot{Number: uint64(k), Proposer: 256}, Accepted: wire.Ballot{Number: uint64(k), Proposer: 256},
					Record: wire.Record{Epoch: 1, Owner: 2, CreatedMS: 1, Tasks: 1, Outcome: final}}
				if final == wire.Open {
					it.Record.Spec = jobSubmission(id, "red", 1, 1)
				} else {
					it.Committed, it.Record.FinishedBy = true, 2
				}
				items = append(items, it)
			}
			if err := store.Write(context.Background(), items); err != nil {
				return g, err
			}
		}
	}
	g.WriteSeconds, g.JournalBytes = time.Since(begun).Seconds(), j.Size()
	j.Close()
	begun = time.Now()
	j, items, start, err := gateway.OpenJournal(path, "gate")
	if err != nil {
		return g, err
	}
	defer j.Close()
	core := gateway.New(gateway.Config{Members: []gateway.Member{{Name: "gate"}, {Name: "quito", Site: true}, {Name: "xela", Site: true}}, LeaseTime: 8 * time.Second, StopTime: 17 * time.Second, MaxInFlight: 500},
		start, items, 1, slog.New(slog.DiscardHandler), 0)
	g.StartSeconds = time.Since(begun).Seconds()
	items = nil
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	g.HeapBytes = m.HeapAlloc
	runtime.KeepAlive(core)
	return g, nil
}
