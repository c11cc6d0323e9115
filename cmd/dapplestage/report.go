package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/console"
	"dapplestage.example/dapplestage/internal/coordination/ledger"
	"dapplestage.example/dapplestage/internal/coordination/node"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/report"
)

// siteClient queries a site through any of its controllers. If one does not answer it tries
// the next.
type siteClient struct {
	name  string
	addrs []string // the controller that answered last is first
}

// siteFlags are the flags that select sites: one without a name by --addr, or several with
// names by --site.
type siteFlags struct {
	addrs      []string
	namedSites []string
	clients    []*siteClient
}

// register adds the flags to a command.
func (s *siteFlags) register(c *cobra.Command) {
	c.Flags().StringSliceVar(&s.addrs, "addr", nil, "nodes' api_addr, as IP:PORT,...; the first that answers is asked")
	c.Flags().StringArrayVar(&s.namedSites, "site", nil, "instead of --addr, several sites: NAME=IP:PORT,...; may be repeated")
}

// parse checks the flags and sets clients.
func (s *siteFlags) parse() error {
	s.clients = nil
	if (len(s.addrs) == 0) == (len(s.namedSites) == 0) {
		return fmt.Errorf("%w: --addr IP:PORT or --site NAME=IP:PORT is needed, and not both", errUsage)
	}
	if len(s.addrs) > 0 {
		s.clients = []*siteClient{{addrs: s.addrs}}
	}
	for _, n := range s.namedSites {
		name, addrs, ok := strings.Cut(n, "=")
		if !ok || name == "" || addrs == "" {
			return fmt.Errorf("%w: --site %q is not NAME=IP:PORT[,IP:PORT...]", errUsage, n)
		}
		s.clients = append(s.clients, &siteClient{name: name, addrs: strings.Split(addrs, ",")})
	}
	return nil
}

// collectReports returns the reports of all sites. A site that does not answer is reported as
// not known. If no site answers, collectReports returns their errors.
func (s *siteFlags) collectReports(ctx context.Context, query ledger.Query, since time.Duration) ([]*report.Data, error) {
	var reports []*report.Data
	var errs []error
	for _, client := range s.clients {
		data, err := client.collectReport(ctx, query, since)
		if err != nil {
			errs = append(errs, err)
			data = report.UnreachableSite(client.name, time.Now(), err)
		}
		data.Site = client.name
		reports = append(reports, data)
	}
	if len(errs) == len(s.clients) {
		return nil, errors.Join(errs...)
	}
	return reports, nil
}

// names returns the sites' names.
func (s *siteFlags) names() (out []string) {
	for _, client := range s.clients {
		out = append(out, client.name)
	}
	return out
}

// getFromAny makes a request to the controllers in turn until one answers. It puts that one
// first for the next request.
func (s *siteClient) getFromAny(ctx context.Context, path string, into any) (err error) {
	var errs []error
	for i, addr := range s.addrs {
		if err = callNode(ctx, addr, "GET", path, nil, into); err == nil {
			s.addrs[0], s.addrs[i] = s.addrs[i], s.addrs[0]
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// accountPage fetches one page of the account. since, if not 0, is how many seconds back its
// rows reach.
func (s *siteClient) accountPage(ctx context.Context, query ledger.Query, since float64) (*ledger.Page, error) {
	values := url.Values{"limit": {strconv.Itoa(query.Limit)}}
	for name, value := range map[string]string{"state": query.State, "team": query.Team, "class": query.Class, "zone": query.Zone, "image": query.Image, "q": query.Text, "after": query.After} {
		if value != "" {
			values.Set(name, value)
		}
	}
	if since > 0 {
		values.Set("since", strconv.FormatFloat(since, 'f', 3, 64))
	}
	page := &ledger.Page{}
	return page, s.getFromAny(ctx, "/admin/account?"+values.Encode(), page)
}

// collectReport returns a site's report. since, if not 0, is how far back its rows reach.
func (s *siteClient) collectReport(ctx context.Context, query ledger.Query, since time.Duration) (*report.Data, error) {
	startedAt := time.Now()
	var view node.SamplesView
	if err := s.getFromAny(ctx, "/admin/samples", &view); err != nil {
		return nil, err
	}
	query.Limit = ledger.MaxRows
	data, err := report.Collect(func(after string) (*ledger.Page, error) {
		query.After = after
		// Extend the window by the time that the earlier pages took, so that no row drops out
		// of it between two pages.
		window := time.Duration(0)
		if since > 0 {
			window = since + time.Since(startedAt)
		}
		return s.accountPage(ctx, query, window.Seconds())
	}, view.Samples, report.MaxRows)
	if err != nil {
		return nil, err
	}
	if since > 0 {
		data.Since = data.AsOf - since.Milliseconds()
	}
	data.Unknown = append(data.Unknown, view.Unknown...)
	if query.Team != "" || query.Class != "" || query.State != "" || since > 0 {
		data.Recount()
	}
	return data, nil
}

// reportCommand returns `dapplestage report`.
func reportCommand() *cobra.Command {
	sites := &siteFlags{}
	var query ledger.Query
	var output, compareWith, jobsPath string
	var since time.Duration
	var asJSON, asCSV bool
	c := &cobra.Command{Use: "report -o FILE --addr IP:PORT", Short: "Write what ran, what did not and whose work is stuck, as one HTML page", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := sites.parse(); err != nil {
				return printError(err)
			}
			if asJSON && asCSV {
				return printError(fmt.Errorf("%w: --json and --csv can't both be given", errUsage))
			}
			return printError(func() error {
				if (compareWith != "" || asJSON || asCSV) && len(sites.clients) > 1 {
					return fmt.Errorf("%w: --json, --csv and --compare take one site at a time", errUsage)
				}
				ids, err := readJobIDs(cmd.InOrStdin(), jobsPath)
				if err != nil {
					return err
				}
				reports, err := sites.collectReports(cmd.Context(), query, since)
				if err != nil {
					return err
				}
				for i, data := range reports {
					if jobsPath != "" && data.Lost == "" {
						sites.clients[i].keepListedJobs(cmd.Context(), data, ids)
					}
				}
				if compareWith != "" {
					return printChanges(cmd.OutOrStdout(), compareWith, reports[0], asJSON)
				}
				return writeAtomically(cmd.OutOrStdout(), output, func(w io.Writer) error {
					switch {
					case asJSON:
						return json.NewEncoder(w).Encode(reports[0])
					case asCSV:
						return reports[0].CSV(w)
					}
					return report.HTML(w, reports...)
				})
			}())
		}}
	sites.register(c)
	flags := c.Flags()
	flags.StringVarP(&output, "output", "o", "-", "the file; - for standard output")
	flags.DurationVar(&since, "since", 0, "only open jobs, and jobs that were submitted, lost a run or ended within this time")
	flags.StringVar(&jobsPath, "jobs", "", "a file with job ids, one per line: only these jobs, such as those of one event; - for standard input")
	flags.StringVar(&query.Team, "team", "", "only this team's jobs")
	flags.StringVar(&query.Class, "class", "", "only this class's jobs")
	flags.StringVar(&query.State, "state", "", "only jobs in this state")
	flags.BoolVar(&asJSON, "json", false, "write JSON, which --compare reads")
	flags.BoolVar(&asCSV, "csv", false, "write CSV")
	flags.StringVar(&compareWith, "compare", "", "print what has changed since an earlier report written with --json")
	return c
}

// maxListedJobs is the most job ids that a list for --jobs may have.
const maxListedJobs = 10000

// readJobIDs reads job ids, one per line, from a file, or from standard input for -. It leaves
// out repeated ids and empty lines.
func readJobIDs(stdin io.Reader, path string) (ids []string, err error) {
	if path == "" {
		return nil, nil
	}
	input := stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		input = file
	}
	lines := bufio.NewScanner(input)
	for n := 1; lines.Scan(); n++ {
		id := strings.TrimSpace(lines.Text())
		if id == "" || slices.Contains(ids, id) {
			continue
		}
		if !protocol.ValidJobID(id) {
			return nil, fmt.Errorf("%w: %s, line %d: %q is not the id of a job", errUsage, path, n, id)
		}
		if ids = append(ids, id); len(ids) > maxListedJobs {
			return nil, fmt.Errorf("%s: more than %d jobs", path, maxListedJobs)
		}
	}
	return ids, lines.Err()
}

// keepListedJobs removes all jobs but those of a list from a report. Jobs that the account no
// longer has are looked up by id, since the final status of a job is kept for ever.
func (s *siteClient) keepListedJobs(ctx context.Context, data *report.Data, ids []string) {
	for _, id := range data.KeepJobs(ids) {
		var status protocol.JobStatus
		switch err := s.getFromAny(ctx, "/api/jobs/"+id, &status); {
		case err != nil:
			data.Unknown = append(data.Unknown, fmt.Sprintf("%s: %v", id, err))
		case ledger.IsFinal(status.Status):
			data.Rows = append(data.Rows, ledger.Row{Job: id, State: status.Status, Done: status.Done, AsOf: time.Now().UnixMilli(), Why: "ended before what is remembered"})
		default:
			data.Rows = append(data.Rows, ledger.Row{Job: id, State: ledger.Unknown, Done: status.Done, Running: status.Running, AsOf: time.Now().UnixMilli(), Why: "its user is told " + status.Status})
		}
	}
	data.Recount()
}

// writeAtomically writes a file completely or not at all: if the disk is full, an earlier file
// is left as it was.
func writeAtomically(stdout io.Writer, path string, write func(io.Writer) error) error {
	if path == "-" {
		return write(stdout)
	}
	tmp, err := os.CreateTemp(filepath.Dir(path), ".report-*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	err = write(tmp)
	if err == nil {
		err = tmp.Chmod(0o644)
	}
	if closeErr := tmp.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("%s: not written: %w", path, err)
	}
	return os.Rename(tmp.Name(), path)
}

// printChanges prints the jobs that differ between an earlier report in a file and the current one.
func printChanges(out io.Writer, path string, current *report.Data, asJSON bool) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var earlier report.Data
	if err := json.Unmarshal(data, &earlier); err != nil {
		return fmt.Errorf("%s: not a report written with --json: %v", path, err)
	}
	changes := report.Compare(&earlier, current)
	if asJSON {
		return printJSON(out, changes)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%d jobs differ since %s\n", len(changes), time.UnixMilli(earlier.AsOf).UTC().Format(time.RFC3339))
	if len(changes) > 0 {
		fmt.Fprintln(w, "JOB\tTEAM\tCLASS\tWAS\tIS\tWHY")
	}
	for _, c := range changes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", sanitize(c.Job), sanitize(c.Team), sanitize(c.Class), orDash(c.Was), orDash(c.Is), sanitize(c.Why))
	}
	return w.Flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// sanitize replaces control characters, which could move the cursor or break a table.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r >= 0x80 && r < 0xa0 {
			return '?'
		}
		return r
	}, s)
}

// accountCommand returns `dapplestage account`.
func accountCommand() *cobra.Command {
	sites := &siteFlags{}
	var since time.Duration
	var asJSON, all bool
	c := &cobra.Command{Use: "account --since 1h --addr IP:PORT", Short: "After a loss of machines: for each affected job what it was doing, what is saved and where it is now, with totals", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := sites.parse(); err != nil {
				return printError(err)
			}
			if since <= 0 || since > 100*24*time.Hour {
				return printError(fmt.Errorf("%w: --since %v is not within 1s and 2400h", errUsage, since))
			}
			return printError(func() error {
				reports, err := sites.collectReports(cmd.Context(), ledger.Query{}, since)
				if err != nil {
					return err
				}
				if asJSON {
					return printJSON(cmd.OutOrStdout(), reports)
				}
				for _, data := range reports {
					if data.Site != "" {
						fmt.Fprintf(cmd.OutOrStdout(), "site %s\n", sanitize(data.Site))
					}
					if data.Lost != "" {
						fmt.Fprintf(cmd.OutOrStdout(), "not known: %s\n\n", data.Lost)
						continue
					}
					if err := printAccount(cmd.OutOrStdout(), data, all); err != nil {
						return err
					}
				}
				return nil
			}())
		}}
	sites.register(c)
	flags := c.Flags()
	flags.DurationVar(&since, "since", time.Hour, "how long ago the loss began, or a little more")
	flags.BoolVar(&all, "all", false, "list all jobs, not only those that lost something or are not known")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// printAccount prints the number of jobs and of lost runs by state, and the affected jobs.
func printAccount(out io.Writer, data *report.Data, all bool) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "as of %s, told by %s; what ended is remembered since %s\n", time.UnixMilli(data.AsOf).UTC().Format(time.RFC3339), data.Node, time.UnixMilli(data.RememberedSince).UTC().Format(time.RFC3339))
	for _, u := range data.Unknown {
		fmt.Fprintln(w, "not known:", sanitize(u))
	}
	if data.RememberedSince > data.Since {
		fmt.Fprintln(w, "not known: what ended before that")
	}
	fmt.Fprintln(w, "\nSTATE\tJOBS\tOF THESE LOST RUNS\tRUNS LOST")
	total, totalLost, lostRuns := 0, 0, 0
	for _, state := range ledger.States {
		jobs, withLostRuns, runs := 0, 0, 0
		for i := range data.Rows {
			if data.Rows[i].State == state {
				jobs++
				runs += data.Rows[i].Lost
				if data.Rows[i].Lost > 0 {
					withLostRuns++
				}
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", state, jobs, withLostRuns, runs)
		total, totalLost, lostRuns = total+jobs, totalLost+withLostRuns, lostRuns+runs
	}
	fmt.Fprintf(w, "all\t%d\t%d\t%d\n", total, totalLost, lostRuns)
	if data.Left > 0 {
		fmt.Fprintf(w, "and %d more, beyond what one account holds\n", data.Left)
	}
	fmt.Fprintln(w, "\nJOB\tTEAM\tCLASS\tSTATE\tDONE\tRUNNING\tLOST\tSAVED\tNOW IN\tWHY")
	for i := range data.Rows {
		r := &data.Rows[i]
		if !all && r.Lost == 0 && r.State != ledger.Unknown {
			continue
		}
		saved := ""
		if r.SavedS > 0 {
			saved = fmt.Sprintf("%.0f s", r.SavedS)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d/%d\t%d\t%d\t%s\t%s\t%s\n", sanitize(r.Job), sanitize(r.Team), sanitize(r.Class), r.State, r.Done, r.Tasks, r.Running, r.Lost, saved, sanitize(strings.Join(r.Zones, ",")), sanitize(r.Why))
	}
	return w.Flush()
}

// consoleCommand returns `dapplestage console`.
func consoleCommand() *cobra.Command {
	sites := &siteFlags{}
	c := &cobra.Command{Use: "console --addr IP:PORT,...", Short: "Watch what runs, what does not and whose work is stuck, in the terminal", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := sites.parse(); err != nil {
				return printError(err)
			}
			ctx, stop := context.WithCancel(cmd.Context())
			defer stop()
			model := console.New(func(request console.Request) console.Answer {
				return sites.clients[request.SiteIndex].answerConsole(ctx, request)
			}, time.Now, sites.names()...)
			_, err := tea.NewProgram(model, tea.WithAltScreen(), tea.WithContext(ctx), tea.WithFPS(10)).Run()
			return printError(err)
		}}
	sites.register(c)
	return c
}

// answerConsole answers a request of the console: for a page of the account, or for one job's
// details and why it waits.
func (s *siteClient) answerConsole(ctx context.Context, request console.Request) console.Answer {
	answer := console.Answer{Request: request}
	if request.Job == "" {
		answer.Page, answer.Err = s.accountPage(ctx, request.Query, 0)
		if answer.Err == nil {
			answer.Node = answer.Page.Node
		}
		return answer
	}
	page, err := s.accountPage(ctx, ledger.Query{Text: request.Job, Limit: 5}, 0)
	if err != nil {
		answer.Err = err
		return answer
	}
	answer.Node = page.Node
	var text textBuffer
	for i := range page.Rows {
		if page.Rows[i].Job == request.Job {
			printRow(&text, &page.Rows[i])
		}
	}
	var explanation node.Explanation
	switch err := s.getFromAny(ctx, "/admin/why/"+request.Job, &explanation); {
	case err != nil && strings.Contains(err.Error(), "answers 404"):
	case err != nil:
		fmt.Fprintf(&text, "\nwhy it waits is not known: %v\n", err)
	default:
		text = append(text, '\n')
		printExplanation(&text, &explanation)
	}
	answer.JobLines = strings.Split(strings.TrimRight(string(text), "\n"), "\n")
	return answer
}

// printRow prints all fields of a job's row.
func printRow(out io.Writer, row *ledger.Row) {
	fmt.Fprintf(out, "%s  %s\n\nteam %s, class %s, %s, image %s\n", row.Job, row.State, row.Team, row.Class, row.Shape, row.Image)
	if row.Ticket != "" {
		fmt.Fprintf(out, "a step of ticket %s\n", row.Ticket)
	}
	fmt.Fprintf(out, "%d tasks: %d done, %d running, %d starting, %d waiting, %d failed\n", row.Tasks, row.Done, row.Running, row.Starting, row.Waiting, row.Failed)
	fmt.Fprintf(out, "submitted %s ago", time.Since(time.UnixMilli(row.Submitted)).Round(time.Second))
	if row.Since > 0 {
		fmt.Fprintf(out, ", %s for %s", row.State, time.Since(time.UnixMilli(row.Since)).Round(time.Second))
	}
	fmt.Fprintf(out, "\nlost %d runs; saved up to %.0f s; in %s on %s\n", row.Lost, row.SavedS, strings.Join(row.Zones, ", "), strings.Join(row.Machines, ", "))
	if row.Why != "" {
		fmt.Fprintf(out, "%s\n", row.Why)
	}
	for i, e := range row.Events {
		if i == 0 {
			fmt.Fprintf(out, "\nas %s saw it:\n", row.Node)
		}
		fmt.Fprintf(out, "  %s  %s\n", time.UnixMilli(e.AtMS).UTC().Format("15:04:05"), e.Text)
	}

}
