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
	var writeRPS float64
	var asJSON bool
	command := &cobra.Command{Use: "tickets-load", Short: "Tickets accepted a second by size, memory with them, stored changes a step", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkRange("seconds", seconds, 1, 600); err != nil {
				return err
			}
			if err := checkRange("clients", clients, 1, 256); err != nil {
				return err
			}
			if writeRPS < 10 || writeRPS > 100000 {
				return fmt.Errorf("%w: --write-rps %g is not within 10 to 100000", errUsage, writeRPS)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return measureTickets(ctx, cmd.OutOrStdout(), time.Duration(seconds)*time.Second, clients, writeRPS, asJSON)
		}}
	command.Flags().IntVar(&seconds, "seconds", 5, "how long each size is submitted")
	command.Flags().IntVar(&clients, "clients", 16, "submissions under way")
	command.Flags().Float64Var(&writeRPS, "write-rps", 2000, "the state service's changes a second")
	command.Flags().BoolVar(&asJSON, "json", false, "print the last line only")
	return command
}

func measureTickets(ctx context.Context, out io.Writer, duration time.Duration, clients int, writeRPS float64, asJSON bool) error {
	bin, err := buildPrograms(ctx)
	if err != nil {
		return err
	}
	defer os.RemoveAll(bin)
	figures := struct {
		Runs   int                 `json:"runs"`
		Broken int                 `json:"broken"`
		Seed   uint64              `json:"seed"`
		Writes float64             `json:"write_rps"`
		Load   []ticketLoadFigures `json:"load"`
		Cost   []ticketCostFigures `json:"cost"`
	}{Runs: 1, Writes: writeRPS}
	timing := testSiteTimes
	timing.writeRPS = writeRPS
	for _, size := range []int{0, 1, 100, 10000, 100000} {
		load, err := measureTicketLoad(ctx, bin, timing, size, duration, clients)
		if err != nil {
			return err
		}
		figures.Load = append(figures.Load, load)
		if !asJSON {
			fmt.Fprintf(out, "%6d tasks%s: %d accepted, %.0f a second, median %.0f ms, p99 %.0f ms, %.0f MB\n", load.Tasks, map[bool]string{true: " (ordinary jobs)"}[load.OrdinaryJobs], load.Accepted, load.PerSecond, load.MedianMS, load.P99MS, load.MemoryMB)
		}
	}
	for _, steps := range []int{0, 1, 2, 4, 8} {
		cost, err := measureTicketCost(ctx, bin, timing, steps)
		if err != nil {
			return err
		}
		figures.Cost = append(figures.Cost, cost)
		if !asJSON {
			fmt.Fprintf(out, "%d steps of one task: %.1f changes a ticket\n", cost.Steps, cost.ChangesPerTicket)
		}
	}
	return printFigures(out, figures)
}

// withTestSite runs f on a farm of its own.
func withTestSite(ctx context.Context, bin string, timing times, machines int, use func(site *testSite) error) error {
	dir, err := os.MkdirTemp("", "lab-tickets-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	site, err := newTestSite(ctx, bin, dir, 0, classMaxRetries, machines, timing)
	defer site.end()
	if err != nil {
		return err
	}
	return use(site)
}

// loadBody is a ticket of steps in a row with so many tasks each; 0 steps: an ordinary
// job.
func loadBody(id string, steps, tasks int) []byte {
	if steps == 0 {
		return jobSubmission(id, "red", tasks, 0.5)
	}
	ticket := &testTicket{id: id, name: "load", maxRetries: 1}
	for step := range steps {
		description := fmt.Sprintf("s%d %d", step, tasks)
		if step > 0 {
			description += fmt.Sprintf(" s%d", step-1)
		}
		ticket.steps = append(ticket.steps, description)
	}
	return ticket.body(false)
}

func submitPath(steps int) string {
	if steps == 0 {
		return "/api/jobs"
	}
	return "/tickets"
}

// measureTicketLoad submits tickets of a size to a farm without machines.
func measureTicketLoad(ctx context.Context, bin string, timing times, size int, duration time.Duration, clients int) (ticketLoadFigures, error) {
	load := ticketLoadFigures{Tasks: max(1, size), OrdinaryJobs: size == 0}
	steps := min(1, size)
	err := withTestSite(ctx, bin, timing, 0, func(site *testSite) error {
		// The machine types are known a moment after the start.
		for ctx.Err() == nil {
			if status, _, err := site.call(ctx, "POST", site.apis[0], submitPath(steps), loadBody("job-1", steps, load.Tasks)); err == nil && status < 300 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		latencyHistogram := newLatencies()
		var mu sync.Mutex
		var wg sync.WaitGroup
		var lastJob atomic.Int64
		lastJob.Store(1)
		end := time.Now().Add(duration)
		for client := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(end) && ctx.Err() == nil {
					body := loadBody(fmt.Sprintf("job-%d", lastJob.Add(1)), steps, load.Tasks)
					sentAt := time.Now()
					status, _, err := site.call(ctx, "POST", site.apis[client%2], submitPath(steps), body)
					if err != nil || status != 201 {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					mu.Lock()
					load.Accepted++
					latencyHistogram.record(time.Since(sentAt))
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		load.PerSecond = float64(load.Accepted) / duration.Seconds()
		load.MedianMS, load.P99MS = latencyHistogram.quantileMS(50), latencyHistogram.quantileMS(99)
		for _, process := range site.procs {
			if strings.HasPrefix(process.name, "n-") {
				load.MemoryMB = max(load.MemoryMB, process.residentMB())
			}
		}
		return nil
	})
	return load, err
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
	_, afterKey, _ := strings.Cut(string(data), "VmRSS:")
	kb, _ := strconv.ParseFloat(strings.Fields(afterKey + " 0")[0], 64)
	return kb / 1024
}

// measureTicketCost runs tickets one after the other and counts the changes of the state service.
func measureTicketCost(ctx context.Context, bin string, timing times, steps int) (ticketCostFigures, error) {
	cost := ticketCostFigures{Steps: steps}
	const tickets = 4
	err := withTestSite(ctx, bin, timing, 4, func(site *testSite) error {
		readChanges := func() (int, error) {
			_, response, err := site.call(ctx, "GET", site.stateAddr, "/changes", nil)
			var counter struct{ Changes int }
			if err == nil {
				err = json.Unmarshal(response, &counter)
			}
			return counter.Changes, err
		}
		before := 0
		for i := range tickets + 1 { // the first one rents the machines and is not counted
			id := fmt.Sprintf("job-%d", i+1)
			body := loadBody(id, steps, 1)
			if err := uploadDescriptions(ctx, site, body, steps); err != nil {
				return err
			}
			for deadline := time.Now().Add(60 * time.Second); ; time.Sleep(100 * time.Millisecond) {
				status, response, err := site.call(ctx, "POST", site.apis[0], submitPath(steps), body)
				var ticketStatus node.TicketStatus
				if err == nil && status < 300 && json.Unmarshal(response, &ticketStatus) == nil && ticketStatus.Status == protocol.JobDone {
					break
				}
				if time.Now().After(deadline) || ctx.Err() != nil {
					return fmt.Errorf("%s did not end: %d %s %v", id, status, response, err)
				}
			}
			if i == 0 {
				time.Sleep(3 * time.Second) // until what is new of the machines is stored
				var err error
				if before, err = readChanges(); err != nil {
					return err
				}
			}
		}
		after, err := readChanges()
		cost.ChangesPerTicket = float64(after-before) / tickets
		if steps > 0 {
			cost.ChangesPerStep = cost.ChangesPerTicket / float64(steps)
		}
		return err
	})
	return cost, err
}

// uploadDescriptions gives the workers the descriptions of a submission's jobs.
func uploadDescriptions(ctx context.Context, site *testSite, body []byte, steps int) error {
	if steps == 0 {
		_, _, err := site.call(ctx, "POST", site.cloudAddr, "/upload", body)
		return err
	}
	descriptions, err := jobDescriptions(body)
	if err != nil {
		return err
	}
	for _, description := range descriptions {
		encoded, err := json.Marshal(description)
		if err != nil {
			return err
		}
		if status, response, err := site.call(ctx, "POST", site.cloudAddr, "/upload", encoded); err != nil || status != 200 {
			return fmt.Errorf("upload: %d %s %v", status, response, err)
		}
	}
	return nil
}
