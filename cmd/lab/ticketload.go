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

// ticketLoadFigures holds the figures of the submissions of one size.
type ticketLoadFigures struct {
	Tasks        int     `json:"tasks"`
	OrdinaryJobs bool    `json:"ordinary_jobs,omitempty"`
	Accepted     int     `json:"accepted"`
	PerSecond    float64 `json:"per_second"`
	MedianMS     float64 `json:"median_ms"`
	P99MS        float64 `json:"p99_ms"`
	MemoryMB     float64 `json:"memory_mb"` // the larger of the two controllers' resident memory at the end
}

// ticketCostFigures holds the number of state service changes that a ticket costs until its end.
type ticketCostFigures struct {
	Steps            int     `json:"steps"` // 0: an ordinary job
	ChangesPerTicket float64 `json:"changes_a_ticket"`
	ChangesPerStep   float64 `json:"changes_a_step,omitempty"`
}

// ticketsLoadCommand returns the subcommand that measures the load of tickets.
func ticketsLoadCommand() *cobra.Command {
	var seconds, clients int
	var writeRPS float64
	var asJSON bool
	command := &cobra.Command{Use: "tickets-load", Short: "Tickets accepted per second by size, memory used, state changes per step", Args: cobra.NoArgs,
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
	command.Flags().IntVar(&seconds, "seconds", 5, "duration of the submissions of each size")
	command.Flags().IntVar(&clients, "clients", 16, "submissions under way")
	command.Flags().Float64Var(&writeRPS, "write-rps", 2000, "changes per second of the state service")
	command.Flags().BoolVar(&asJSON, "json", false, "print the last line only")
	return command
}

// measureTickets measures submissions by size and state changes by number of steps, and prints the
// figures.
func measureTickets(ctx context.Context, out io.Writer, duration time.Duration, clients int, writesPerSecond float64, asJSON bool) error {
	bin, err := buildPrograms(ctx)
	if err != nil {
		return err
	}
	defer os.RemoveAll(bin)
	figures := struct {
		Runs     int                 `json:"runs"`
		Broken   int                 `json:"broken"`
		Seed     uint64              `json:"seed"`
		WriteRPS float64             `json:"write_rps"`
		Load     []ticketLoadFigures `json:"load"`
		Cost     []ticketCostFigures `json:"cost"`
	}{Runs: 1, WriteRPS: writesPerSecond}
	timing := testSiteTimes
	timing.writeRPS = writesPerSecond
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

// withTestSite calls use with a test site of its own, and ends the site afterwards.
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

// loadBody returns the submission of a ticket with a chain of steps of the given number of tasks
// each, or of an ordinary job if there are 0 steps.
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

// submitPath returns the path to which loadBody's submission is sent.
func submitPath(steps int) string {
	if steps == 0 {
		return "/api/jobs"
	}
	return "/tickets"
}

// measureTicketLoad submits tickets of one size to a test site without machines; size 0 stands for
// ordinary jobs of one task.
func measureTicketLoad(ctx context.Context, bin string, timing times, size int, duration time.Duration, clients int) (ticketLoadFigures, error) {
	load := ticketLoadFigures{Tasks: max(1, size), OrdinaryJobs: size == 0}
	steps := min(1, size)
	err := withTestSite(ctx, bin, timing, 0, func(site *testSite) error {
		// Submissions are refused until the controllers have read the machine types, shortly after the
		// start.
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

// residentMB returns the current resident memory of the process; 0 if it does not run.
func (p *childProcess) residentMB() float64 {
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

// measureTicketCost runs tickets one after the other and counts the changes of the state service per
// ticket.
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
		for i := range tickets + 1 { // the first ticket rents the machines and is not counted
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
				time.Sleep(3 * time.Second) // until the records of the new machines are stored
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

// uploadDescriptions sends the descriptions of a submission's jobs to the workers.
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
