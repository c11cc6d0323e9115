package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/node"
	"dapplestage.example/dapplestage/internal/protocol"
)

// ticketLoad is one line of the load's figures.
type ticketLoad struct {
	Tasks     int     `json:"tasks"`
	Ordinary  bool    `json:"ordinary_jobs,omitempty"`
	Accepted  int     `json:"accepted"`
	PerSecond float64 `json:"per_second"`
	MedianMS  float64 `json:"median_ms"`
	P99MS     float64 `json:"p99_ms"`
	MemoryMB  float64 `json:"memory_mb"` // of the larger controller, then
}

// ticketCost is what a ticket that runs to its end costs in stored changes.
type ticketCost struct {
	Steps   int     `json:"steps"` // 0: an ordinary job
	Changes float64 `json:"changes_a_ticket"`
	PerStep float64 `json:"changes_a_step,omitempty"`
}

func ticketsLoad() *cobra.Command {
	var seconds, clients int
	var writes float64
	var asJSON bool
	c := &cobra.Command{Use: "tickets-load", Short: "Tickets accepted a second by size, memory with them, stored changes a step", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := between("seconds", seconds, 1, 600); err != nil {
				return err
			}
			if err := between("clients", clients, 1, 256); err != nil {
				return err
			}
			if writes < 10 || writes > 100000 {
				return fmt.Errorf("%w: --write-rps %g is not within 10 to 100000", errUsage, writes)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return loadTickets(ctx, cmd.OutOrStdout(), time.Duration(seconds)*time.Second, clients, writes, asJSON)
		}}
	c.Flags().IntVar(&seconds, "seconds", 5, "how long each size is submitted")
	c.Flags().IntVar(&clients, "clients", 16, "submissions under way")
	c.Flags().Float64Var(&writes, "write-rps", 2000, "the state service's changes a second")
	c.Flags().BoolVar(&asJSON, "json", false, "print the last line only")
	return c
}

func loadTickets(ctx context.Context, out io.Writer, lasts time.Duration, clients int, writes float64, asJSON bool) error {
	bin, err := build(ctx)
	if err != nil {
		return err
	}
	defer os.RemoveAll(bin)
	sum := struct {
		Runs   int          `json:"runs"`
		Broken int          `json:"broken"`
		Seed   uint64       `json:"seed"`
		Writes float64      `json:"write_rps"`
		Load   []ticketLoad `json:"load"`
		Cost   []ticketCost `json:"cost"`
	}{Runs: 1, Writes: writes}
	t := farmTimes
	t.writeRPS = writes
	for _, size := range []int{0, 1, 100, 10000, 100000} {
		l, err := loadOne(ctx, bin, t, size, lasts, clients)
		if err != nil {
			return err
		}
		sum.Load = append(sum.Load, l)
		if !asJSON {
			fmt.Fprintf(out, "%6d tasks%s: %d accepted, %.0f a second, median %.0f ms, p99 %.0f ms, %.0f MB\n", l.Tasks, map[bool]string{true: " (ordinary jobs)"}[l.Ordinary], l.Accepted, l.PerSecond, l.MedianMS, l.P99MS, l.MemoryMB)
		}
	}
	for _, steps := range []int{0, 1, 2, 4, 8} {
		c, err := costOne(ctx, bin, t, steps)
		if err != nil {
			return err
		}
		sum.Cost = append(sum.Cost, c)
		if !asJSON {
			fmt.Fprintf(out, "%d steps of one task: %.1f changes a ticket\n", c.Steps, c.Changes)
		}
	}
	return figures(out, sum)
}

// withFarm runs f on a farm of its own.
func withFarm(ctx context.Context, bin string, t times, machines int, do func(f *farm) error) error {
	dir, err := os.MkdirTemp("", "lab-tickets-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := newFarm(ctx, bin, dir, 0, farmRetries, machines, t)
	defer f.end()
	if err != nil {
		return err
	}
	return do(f)
}

// oneBody is a ticket of steps in a row with so many tasks each; 0 steps: an ordinary
// job.
func oneBody(id string, steps, tasks int) []byte {
	if steps == 0 {
		return submission(id, "red", tasks, 0.5)
	}
	t := &farmTicket{id: id, name: "load", retries: 1}
	for k := range steps {
		s := fmt.Sprintf("s%d %d", k, tasks)
		if k > 0 {
			s += fmt.Sprintf(" s%d", k-1)
		}
		t.steps = append(t.steps, s)
	}
	return t.body(false)
}

func pathOf(steps int) string {
	if steps == 0 {
		return "/api/jobs"
	}
	return "/tickets"
}

// loadOne submits tickets of a size to a farm without machines.
func loadOne(ctx context.Context, bin string, t times, size int, lasts time.Duration, clients int) (ticketLoad, error) {
	l := ticketLoad{Tasks: max(1, size), Ordinary: size == 0}
	steps := min(1, size)
	err := withFarm(ctx, bin, t, 0, func(f *farm) error {
		// The machine types are known a moment after the start.
		for ctx.Err() == nil {
			if status, _, err := f.call(ctx, "POST", f.apis[0], pathOf(steps), oneBody("job-1", steps, l.Tasks)); err == nil && status < 300 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		hist := newLatencies()
		var mu sync.Mutex
		var wg sync.WaitGroup
		var next atomic.Int64
		next.Store(1)
		end := time.Now().Add(lasts)
		for c := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(end) && ctx.Err() == nil {
					body := oneBody(fmt.Sprintf("job-%d", next.Add(1)), steps, l.Tasks)
					came := time.Now()
					status, _, err := f.call(ctx, "POST", f.apis[c%2], pathOf(steps), body)
					if err != nil || status != 201 {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					mu.Lock()
					l.Accepted++
					hist.add(time.Since(came))
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		l.PerSecond = float64(l.Accepted) / lasts.Seconds()
		l.MedianMS, l.P99MS = hist.milliseconds(50), hist.milliseconds(99)
		for _, p := range f.procs {
			if strings.HasPrefix(p.name, "n-") {
				l.MemoryMB = max(l.MemoryMB, p.memoryMB())
			}
		}
		return nil
	})
	return l, err
}

// memoryMB is what a process holds now.
func (p *process) memoryMB() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	kb, _ := strconv.ParseFloat(strings.Fields(rest + " 0")[0], 64)
	return kb / 1024
}

// costOne runs tickets one after the other and counts the changes of the state service.
func costOne(ctx context.Context, bin string, t times, steps int) (ticketCost, error) {
	c := ticketCost{Steps: steps}
	const tickets = 4
	err := withFarm(ctx, bin, t, 4, func(f *farm) error {
		changes := func() (int, error) {
			_, out, err := f.call(ctx, "GET", f.state, "/changes", nil)
			var v struct{ Changes int }
			if err == nil {
				err = json.Unmarshal(out, &v)
			}
			return v.Changes, err
		}
		before := 0
		for i := range tickets + 1 { // the first one rents the machines and is not counted
			id := fmt.Sprintf("job-%d", i+1)
			body := oneBody(id, steps, 1)
			if err := uploadAll(ctx, f, body, steps); err != nil {
				return err
			}
			for deadline := time.Now().Add(60 * time.Second); ; time.Sleep(100 * time.Millisecond) {
				status, out, err := f.call(ctx, "POST", f.apis[0], pathOf(steps), body)
				var st node.TicketStatus
				if err == nil && status < 300 && json.Unmarshal(out, &st) == nil && st.Status == protocol.JobDone {
					break
				}
				if time.Now().After(deadline) || ctx.Err() != nil {
					return fmt.Errorf("%s did not end: %d %s %v", id, status, out, err)
				}
			}
			if i == 0 {
				time.Sleep(3 * time.Second) // until what is new of the machines is stored
				var err error
				if before, err = changes(); err != nil {
					return err
				}
			}
		}
		after, err := changes()
		c.Changes = float64(after-before) / tickets
		if steps > 0 {
			c.PerStep = c.Changes / float64(steps)
		}
		return err
	})
	return c, err
}

// uploadAll gives the workers the descriptions of a submission's jobs.
func uploadAll(ctx context.Context, f *farm, body []byte, steps int) error {
	if steps == 0 {
		_, _, err := f.call(ctx, "POST", f.cloud, "/upload", body)
		return err
	}
	ds, err := describe(body)
	if err != nil {
		return err
	}
	for _, d := range ds {
		data, err := json.Marshal(d)
		if err != nil {
			return err
		}
		if status, out, err := f.call(ctx, "POST", f.cloud, "/upload", data); err != nil || status != 200 {
			return fmt.Errorf("upload: %d %s %v", status, out, err)
		}
	}
	return nil
}
