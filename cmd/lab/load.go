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

// gatewayLoad compares submissions through the gateway with submissions straight to
// a site, in one run on the same processes.
func gatewayLoad() *cobra.Command {
	var seconds, clients, rate int
	c := &cobra.Command{Use: "gateway-load", Short: "Jobs a second through the gateway against straight to a site", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, b := range []struct {
				name           string
				v, least, most int
			}{{"seconds", seconds, 1, 600}, {"clients", clients, 1, 500}, {"rate", rate, 1, 100000}} {
				if err := between(b.name, b.v, b.least, b.most); err != nil {
					return err
				}
			}
			return loadGateway(cmd.Context(), cmd.OutOrStdout(), seconds, clients, rate)
		}}
	c.Flags().IntVar(&seconds, "seconds", 10, "how long each way")
	c.Flags().IntVar(&clients, "clients", 32, "clients that submit one job after the other")
	c.Flags().IntVar(&rate, "rate", 40, "changes a second of each site's state service")
	return c
}

type way struct {
	Accepted  int     `json:"accepted"`
	PerSecond float64 `json:"per_s"`
	Median    float64 `json:"median_ms"`
	P99       float64 `json:"p99_ms"`
	Turned    int     `json:"turned_away"`
}

// loadResult are the figures of a measurement.
type loadResult struct {
	Runs     int     `json:"runs"`
	Broken   int     `json:"broken"`
	Seed     int     `json:"seed"`
	Clients  int     `json:"clients"`
	Rate     int     `json:"state_changes_per_s"`
	Straight way     `json:"straight_to_one_site"`
	Through  way     `json:"through_the_gateway"`
	Ratio    float64 `json:"through_over_straight"`
	Changes  float64 `json:"changes_per_job_and_site"`
	Journal  int64   `json:"journal_bytes"`
}

func loadGateway(ctx context.Context, out io.Writer, seconds, clients, rate int) error {
	bin, err := build(ctx)
	if err != nil {
		return err
	}
	defer os.RemoveAll(bin)
	dir, err := os.MkdirTemp("", "lab-load-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	t := quick
	t.lease, t.cancel, t.writeRPS, t.inFlight = 6, 40, float64(rate), 2000
	w, err := launch(ctx, bin, dir, t, 0) // no machines: what is measured is taking jobs
	if err != nil {
		return err
	}
	defer w.end()
	load := &jobLoad{world: w, lasts: time.Duration(seconds) * time.Second, clients: clients}
	straight := load.measure(ctx, w.sites[0].apis)
	time.Sleep(2 * time.Second)
	through := load.measure(ctx, []string{w.gateAPI})
	time.Sleep(2 * time.Second)
	changes, err := w.registerChanges(ctx)
	if err != nil {
		return err
	}
	st, _ := os.Stat(filepath.Join(w.dir, "gate.journal"))
	res := loadResult{Runs: 1, Clients: clients, Rate: rate, Straight: straight, Through: through, Journal: st.Size()}
	if through.Accepted > 0 {
		res.Changes = changes / 2 / float64(through.Accepted)
	}
	if straight.PerSecond > 0 {
		res.Ratio = through.PerSecond / straight.PerSecond
	}
	return figures(out, res)
}

// jobLoad is clients that submit one job after the other.
type jobLoad struct {
	world   *world
	lasts   time.Duration
	clients int
	next    atomic.Int64 // number of the last job
}

// measure submits at some addresses for a while.
func (l *jobLoad) measure(ctx context.Context, addrs []string) way {
	hist := hdrhistogram.New(1, 60_000_000, 3) // in microseconds
	var mu sync.Mutex
	var r way
	ctx, cancel := context.WithTimeout(ctx, l.lasts)
	defer cancel()
	note := func(code int, err error, took time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if err == nil && code == 201 {
			r.Accepted++
			hist.RecordValue(took.Microseconds())
		} else if err == nil {
			r.Turned++
		}
	}
	var all sync.WaitGroup
	for i := range l.clients {
		all.Go(func() {
			for ctx.Err() == nil {
				body := submission(fmt.Sprintf("job-%09d", l.next.Add(1)), "red", 1, 1)
				begun := time.Now()
				code, _, _, err := l.world.call(ctx, "POST", addrs[i%len(addrs)], "/api/jobs", body)
				note(code, err, time.Since(begun))
				if code != 201 {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	all.Wait()
	r.PerSecond = float64(r.Accepted) / l.lasts.Seconds()
	r.Median, r.P99 = float64(hist.ValueAtQuantile(50))/1000, float64(hist.ValueAtQuantile(99))/1000
	return r
}

// registerChanges is how many changes the registers have cost both sites. The daemons' logs
// number their segments.
func (w *world) registerChanges(ctx context.Context) (changes float64, err error) {
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

// gatewayGrowth measures a gateway's journal and memory by the number of jobs.
func gatewayGrowth() *cobra.Command {
	var most int
	c := &cobra.Command{Use: "gateway-growth", Short: "Journal, memory and time to start of a gateway by number of ended jobs", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := between("jobs", most, 1000, 10_000_000); err != nil {
				return err
			}
			return growGateway(cmd.OutOrStdout(), most)
		}}
	c.Flags().IntVar(&most, "jobs", 100_000, "up to how many jobs, by tens from 10,000")
	return c
}

type growth struct {
	Jobs    int     `json:"jobs"`
	Journal int64   `json:"journal_bytes"`
	Write   float64 `json:"write_s"`
	Start   float64 `json:"start_s"`
	Heap    uint64  `json:"heap_bytes"`
}

func growGateway(out io.Writer, most int) error {
	var sizes []growth
	for n := min(10_000, most); n <= most; n *= 10 {
		dir, err := os.MkdirTemp("", "lab-growth-")
		if err != nil {
			return err
		}
		g, err := grow(filepath.Join(dir, "j"), n)
		os.RemoveAll(dir)
		if err != nil {
			return err
		}
		line, _ := json.Marshal(g)
		fmt.Fprintln(out, string(line))
		sizes = append(sizes, g)
	}
	return figures(out, struct {
		Runs   int      `json:"runs"`
		Broken int      `json:"broken"`
		Seed   int      `json:"seed"`
		Sizes  []growth `json:"sizes"`
	}{Runs: len(sizes), Sizes: sizes})
}

// grow writes n jobs as they are accepted and then as they end, 100 a write.
func grow(path string, n int) (growth, error) {
	g := growth{Jobs: n}
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
					it.Record.Spec = submission(id, "red", 1, 1)
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
	g.Write, g.Journal = time.Since(begun).Seconds(), j.Size()
	j.Close()
	begun = time.Now()
	j, items, start, err := gateway.OpenJournal(path, "gate")
	if err != nil {
		return g, err
	}
	defer j.Close()
	core := gateway.New(gateway.Config{Members: []gateway.Member{{Name: "gate"}, {Name: "quito", Site: true}, {Name: "xela", Site: true}}, LeaseTime: 8 * time.Second, StopTime: 17 * time.Second, MaxInFlight: 500},
		start, items, 1, slog.New(slog.DiscardHandler), 0)
	g.Start = time.Since(begun).Seconds()
	items = nil
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	g.Heap = m.HeapAlloc
	runtime.KeepAlive(core)
	return g, nil
}
