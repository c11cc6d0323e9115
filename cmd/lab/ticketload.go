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

// ticketLoadFigures is one line of the load's figures.
type ticketLoadFigures struct {
	Tasks        int     `json:"tasks"`
	OrdinaryJobs bool    `json:"ordinary_jobs,omitempty"`
	Accepted     int     `json:"accepted"`
	PerSecond    float64 `json:"per_second"`
	MedianMS     float64 `json:"median_ms"`
	P99MS        float64 `json:"p99_ms"`
	MemoryMB     float64 `json:"memory_mb"` // of the larger controller, then
}

// ticketCostFigures is what a ticket that runs to its end costs in stored changes.
type ticketCostFigures struct {
	Steps            int     `json:"steps"` // 0: an ordinary job
	ChangesPerTicket float64 `json:"changes_a_ticket"`
	ChangesPerStep   float64 `json:"changes_a_step,omitempty"`
}

func ticketsLoadCommand() *cobra.Command {
	var seconds, clients int
	var writes float64
	var asJSON bool
	c := &cobra.Command{Use: "tickets-load", Short: "Tickets accepted a second by size, memory with them, stored changes a step", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkRange("seconds", seconds, 1, 600); err != nil {
				return err
			}
			if err := checkRange("clients", clients, 1, 256); err != nil {
				return err
			}
			if writes < 10 || writes > 100000 {
				return fmt.Errorf("%w: --write-rps %g is not within 10 to 100000", errUsage, writes)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return measureTickets(ctx, cmd.OutOrStdout(), time.Duration(seconds)*time.Second, clients, writes, asJSON)
		}}
	c.Flags().IntVar(&seconds, "seconds", 5, "how long each size is submitted")
	c.Flags().IntVar(&clients, "clients", 16, "submissions under way")
	c.Flags().Float64Var(&writes, "write-rps", 2000, "the state service's changes a second")
	c.Flags().BoolVar(&asJSON, "json", false, "print the last line only")
	return c
}

func measureTickets(ctx context.Context, out io.Writer, lasts time.Duration, clients int, writes float64, asJSON bool) error {
	bin, err := buildPrograms(ctx)
	if err != nil {
		return err
	}
	defer os.RemoveAll(bin)
	sum := struct {
		Runs   int                 `json:"runs"`
		Broken int                 `json:"broken"`
		Seed   uint64              `json:"seed"`
		Writes float64             `json:"write_rps"`
		Load   []ticketLoadFigures `json:"load"`
		Cost   []ticketCostFigures `json:"cost"`
	}{Runs: 1, Writes: writes}
	t := testSiteTimes
	t.writeRPS = writes
	for _, size := range []int{0, 1, 100, 10000, 100000} {
		l, err := measureTicketLoad(ctx, bin, t, size, lasts, clients)
		if err != nil {
			return err
		}
		sum.Load = append(sum.Load, l)
		if !asJSON {
			fmt.Fprintf(out, "%6d tasks%s: %d accepted, %.0f a second, median %.0f ms, p99 %.0f ms, %.0f MB\n", l.Tasks, map[bool]string{true: " (ordinary jobs)"}[l.OrdinaryJobs], l.Accepted, l.PerSecond, l.MedianMS, l.P99MS, l.MemoryMB)
		}
	}
	for _, steps := range []int{0, 1, 2, 4, 8} {
		c, err := measureTicketCost(ctx, bin, t, steps)
		if err != nil {
			return err
		}
		sum.Cost = append(sum.Cost, c)
		if !asJSON {
			fmt.Fprintf(out, "%d steps of one task: %.1f changes a ticket\n", c.Steps, c.ChangesPerTicket)
		}
	}
	return printFigures(out, sum)
}

// withTestSite runs f on a farm of its own.
func withTestSite(ctx context.Context, bin string, t times, machines int, do func(f *testSite) error) error {
	dir, err := os.MkdirTemp("", "lab-tickets-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := newTestSite(ctx, bin, dir, 0, classMaxRetries, machines, t)
	defer f.end()
	if err != nil {
		return err
	}
	return do(f)
}

// loadBody is a ticket of steps in a row with so many tasks each; 0 steps: an ordinary
// job.
func loadBody(id string, steps, tasks int) []byte {
	if steps == 0 {
		return jobSubmission(id, "red", tasks, 0.5)
	}
	t := &testTicket{id: id, name: "load", maxRetries: 1}
	for k := range steps {
		s := fmt.Sprintf("s%d %d", k, tasks)
		if k > 0 {
			s += fmt.Sprintf(" s%d", k-1)
		}
		t.steps = append(t.steps, s)
	}
	return t.body(false)
}

func submitPath(steps int) string {
	if steps == 0 {
		return "/api/jobs"
	}
	return "/tickets"
}

// measureTicketLoad submits tickets of a size to a farm without machines.
func measureTicketLoad(ctx context.Context, bin string, t times, size int, lasts time.Duration, clients int) (ticketLoadFigures, error) {
	l := ticketLoadFigures{Tasks: max(1, size), OrdinaryJobs: size == 0}
	steps := min(1, size)
	err := withTestSite(ctx, bin, t, 0, func(f *testSite) error {
		// The machine types are known a moment after the start.
		for ctx.Err() == nil {
			if status, _, err := f.call(ctx, "POST", f.apis[0], submitPath(steps), loadBody("job-1", steps, l.Tasks)); err == nil && status < 300 {
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
					body := loadBody(fmt.Sprintf("job-%d", next.Add(1)), steps, l.Tasks)
					came := time.Now()
					status, _, err := f.call(ctx, "POST", f.apis[c%2], submitPath(steps), body)
					if err != nil || status != 201 {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					mu.Lock()
					l.Accepted++
					hist.record(time.Since(came))
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		l.PerSecond = float64(l.Accepted) / lasts.Seconds()
		l.MedianMS, l.P99MS = hist.quantileMS(50), hist.quantileMS(99)
		for _, p := range f.procs {
			if strings.HasPrefix(p.name, "n-") {
				l.MemoryMB = max(l.MemoryMB, p.residentMB())
			}
		}
		return nil
	})
	return l, err
}

// residentMB is what a process holds now.
func (p *process) residentMB() float64 {
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

// measureTicketCost runs tickets one after the other and counts the changes of the state service.
func measureTicketCost(ctx context.Context, bin string, t times, steps int) (ticketCostFigures, error) {
	c := ticketCostFigures{Steps: steps}
	const tickets = 4
	err := withTestSite(ctx, bin, t, 4, func(f *testSite) error {
		changes := func() (int, error) {
			_, out, err := f.call(ctx, "GET", f.stateAddr, "/changes", nil)
			var v struct{ Changes int }
			if err == nil {
				err = json.Unmarshal(out, &v)
			}
			return v.Changes, err
		}
		before := 0
		for i := range tickets + 1 { // the first one rents the machines and is not counted
			id := fmt.Sprintf("job-%d", i+1)
			body := loadBody(id, steps, 1)
			if err := uploadDescriptions(ctx, f, body, steps); err != nil {
				return err
			}
			for deadline := time.Now().Add(60 * time.Second); ; time.Sleep(100 * time.Millisecond) {
				status, out, err := f.call(ctx, "POST", f.apis[0], submitPath(steps), body)
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
		c.ChangesPerTicket = float64(after-before) / tickets
		if steps > 0 {
			c.ChangesPerStep = c.ChangesPerTicket / float64(steps)
		}
		return err
	})
	return c, err
}

// uploadDescriptions gives the workers the descriptions of a submission's jobs.
func uploadDescriptions(ctx context.Context, f *testSite, body []byte, steps int) error {
	if steps == 0 {
		_, _, err := f.call(ctx, "POST", f.cloudAddr, "/upload", body)
		return err
	}
	ds, err := jobDescriptions(body)
	if err != nil {
		return err
	}
	for _, d := range ds {
		data, err := json.Marshal(d)
		if err != nil {
			return err
		}
		if status, out, err := f.call(ctx, "POST", f.cloudAddr, "/upload", data); err != nil || status != 200 {
			return fmt.Errorf("upload: %d %s %v", status, out, err)
		}
	}
	return nil
}
