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

// siteClient is a site as a person asks it: any of its controllers, the next one if one does
// not answer.
type siteClient struct {
	name  string
	addrs []string
}

// siteFlags are those of the command line: one by --addr, or several by name.
type siteFlags struct {
	addrs      []string
	namedSites []string
	clients    []*siteClient
}

func (s *siteFlags) register(c *cobra.Command) {
	c.Flags().StringSliceVar(&s.addrs, "addr", nil, "nodes' api_addr, as IP:PORT,...; the first that answers is asked")
	c.Flags().StringArrayVar(&s.namedSites, "site", nil, "instead of --addr, several sites: NAME=IP:PORT,...; may be repeated")
}

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

// collectReports makes the reports of all sites. One that does not answer is told as not known;
// if none does there is nothing to report.
func (s *siteFlags) collectReports(ctx context.Context, q ledger.Query, since time.Duration) ([]*report.Data, error) {
	var out []*report.Data
	var errs []error
	for _, one := range s.clients {
		d, err := one.collectReport(ctx, q, since)
		if err != nil {
			errs = append(errs, err)
			d = report.UnreachableSite(one.name, time.Now(), err)
		}
		d.Site = one.name
		out = append(out, d)
	}
	if len(errs) == len(s.clients) {
		return nil, errors.Join(errs...)
	}
	return out, nil
}

func (s *siteFlags) names() (out []string) {
	for _, one := range s.clients {
		out = append(out, one.name)
	}
	return out
}

// getFromAny asks the first node that answers, and remembers it.
func (s *siteClient) getFromAny(ctx context.Context, path string, into any) (err error) {
	var errs []error
	for i, a := range s.addrs {
		if err = callNode(ctx, a, "GET", path, nil, into); err == nil {
			s.addrs[0], s.addrs[i] = s.addrs[i], s.addrs[0]
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func (s *siteClient) accountPage(ctx context.Context, q ledger.Query, since float64) (*ledger.Page, error) {
	v := url.Values{"limit": {strconv.Itoa(q.Limit)}}
	for k, x := range map[string]string{"state": q.State, "team": q.Team, "class": q.Class, "zone": q.Zone, "image": q.Image, "q": q.Text, "after": q.After} {
		if x != "" {
			v.Set(k, x)
		}
	}
	if since > 0 {
		v.Set("since", strconv.FormatFloat(since, 'f', 3, 64))
	}
	p := &ledger.Page{}
	return p, s.getFromAny(ctx, "/admin/account?"+v.Encode(), p)
}

// collectReport makes a report. since, if not 0, is how far back rows go.
func (s *siteClient) collectReport(ctx context.Context, q ledger.Query, since time.Duration) (*report.Data, error) {
	began := time.Now()
	var view node.SamplesView
	if err := s.getFromAny(ctx, "/admin/samples", &view); err != nil {
		return nil, err
	}
	q.Limit = ledger.MaxRows
	d, err := report.Collect(func(after string) (*ledger.Page, error) {
		q.After = after
		// The time that pages take must not let rows fall out between two of them.
		at := time.Duration(0)
		if since > 0 {
			at = since + time.Since(began)
		}
		return s.accountPage(ctx, q, at.Seconds())
	}, view.Samples, report.MaxRows)
	if err != nil {
		return nil, err
	}
	if since > 0 {
		d.Since = d.AsOf - since.Milliseconds()
	}
	d.Unknown = append(d.Unknown, view.Unknown...)
	if q.Team != "" || q.Class != "" || q.State != "" || since > 0 {
		d.Recount()
	}
	return d, nil
}

// reportCommand is `dapplestage report`.
func reportCommand() *cobra.Command {
	s := &siteFlags{}
	var q ledger.Query
	var out, compare, list string
	var since time.Duration
	var asJSON, asCSV bool
	c := &cobra.Command{Use: "report -o FILE --addr IP:PORT", Short: "Write what ran, what did not and whose work is stuck, as one HTML page", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := s.parse(); err != nil {
				return printError(err)
			}
			if asJSON && asCSV {
				return printError(fmt.Errorf("%w: --json and --csv can't both be given", errUsage))
			}
			return printError(func() error {
				if (compare != "" || asJSON || asCSV) && len(s.clients) > 1 {
					return fmt.Errorf("%w: --json, --csv and --compare take one site at a time", errUsage)
				}
				ids, err := readJobs(cmd.InOrStdin(), list)
				if err != nil {
					return err
				}
				ds, err := s.collectReports(cmd.Context(), q, since)
				if err != nil {
					return err
				}
				for i, d := range ds {
					if list != "" && d.Lost == "" {
						s.clients[i].keepListedJobs(cmd.Context(), d, ids)
					}
				}
				if compare != "" {
					return printChanges(cmd.OutOrStdout(), compare, ds[0], asJSON)
				}
				return writeWhole(cmd.OutOrStdout(), out, func(w io.Writer) error {
					switch {
					case asJSON:
						return json.NewEncoder(w).Encode(ds[0])
					case asCSV:
						return ds[0].CSV(w)
					}
					return report.HTML(w, ds...)
				})
			}())
		}}
	s.register(c)
	f := c.Flags()
	f.StringVarP(&out, "output", "o", "-", "the file; - for standard output")
	f.DurationVar(&since, "since", 0, "only jobs that were submitted, lost something or ended since so long ago, and all that are open")
	f.StringVar(&list, "jobs", "", "a file with job ids, one a line: only these, such as an event's; - for standard input")
	f.StringVar(&q.Team, "team", "", "only this team's jobs")
	f.StringVar(&q.Class, "class", "", "only this class's jobs")
	f.StringVar(&q.State, "state", "", "only jobs in this state")
	f.BoolVar(&asJSON, "json", false, "write JSON, which --compare reads")
	f.BoolVar(&asCSV, "csv", false, "write CSV")
	f.StringVar(&compare, "compare", "", "print what has changed since an earlier report written with --json")
	return c
}

// mostListed bounds a list of jobs.
const mostListed = 10000

// readJobs reads job ids, one a line.
func readJobs(stdin io.Reader, path string) (ids []string, err error) {
	if path == "" {
		return nil, nil
	}
	in := stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	lines := bufio.NewScanner(in)
	for n := 1; lines.Scan(); n++ {
		id := strings.TrimSpace(lines.Text())
		if id == "" || slices.Contains(ids, id) {
			continue
		}
		if !protocol.ValidJobID(id) {
			return nil, fmt.Errorf("%w: %s, line %d: %q is not the id of a job", errUsage, path, n, id)
		}
		if ids = append(ids, id); len(ids) > mostListed {
			return nil, fmt.Errorf("%s: more than %d jobs", path, mostListed)
		}
	}
	return ids, lines.Err()
}

// keepListedJobs leaves the jobs of a list in a report. What the account does not remember is asked
// for by its id: how a job ended is kept for ever.
func (s *siteClient) keepListedJobs(ctx context.Context, d *report.Data, ids []string) {
	for _, id := range d.KeepJobs(ids) {
		var st protocol.JobStatus
		switch err := s.getFromAny(ctx, "/api/jobs/"+id, &st); {
		case err != nil:
			d.Unknown = append(d.Unknown, fmt.Sprintf("%s: %v", id, err))
		case ledger.IsFinal(st.Status):
			d.Rows = append(d.Rows, ledger.Row{Job: id, State: st.Status, Done: st.Done, AsOf: time.Now().UnixMilli(), Why: "ended before what is remembered"})
		default:
			d.Rows = append(d.Rows, ledger.Row{Job: id, State: ledger.Unknown, Done: st.Done, Running: st.Running, AsOf: time.Now().UnixMilli(), Why: "its user is told " + st.Status})
		}
	}
	d.Recount()
}

// writeWhole writes a file whole or not at all: a full disk leaves the earlier one.
func writeWhole(stdout io.Writer, path string, write func(io.Writer) error) error {
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
	if e := tmp.Close(); err == nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("%s: not written: %w", path, err)
	}
	return os.Rename(tmp.Name(), path)
}

func printChanges(out io.Writer, path string, now *report.Data, asJSON bool) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var old report.Data
	if err := json.Unmarshal(data, &old); err != nil {
		return fmt.Errorf("%s: not a report written with --json: %v", path, err)
	}
	changes := report.Compare(&old, now)
	if asJSON {
		return printJSON(out, changes)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%d jobs differ since %s\n", len(changes), time.UnixMilli(old.AsOf).UTC().Format(time.RFC3339))
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

// sanitize keeps names from moving the cursor or breaking a table.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r >= 0x80 && r < 0xa0 {
			return '?'
		}
		return r
	}, s)
}

// accountCommand is `dapplestage account`.
func accountCommand() *cobra.Command {
	s := &siteFlags{}
	var since time.Duration
	var asJSON, all bool
	c := &cobra.Command{Use: "account --since 1h --addr IP:PORT", Short: "After a loss: what each job it touched was doing, what is saved, where it is now, and sums that add up", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := s.parse(); err != nil {
				return printError(err)
			}
			if since <= 0 || since > 100*24*time.Hour {
				return printError(fmt.Errorf("%w: --since %v is not within 1s and 2400h", errUsage, since))
			}
			return printError(func() error {
				ds, err := s.collectReports(cmd.Context(), ledger.Query{}, since)
				if err != nil {
					return err
				}
				if asJSON {
					return printJSON(cmd.OutOrStdout(), ds)
				}
				for _, d := range ds {
					if d.Site != "" {
						fmt.Fprintf(cmd.OutOrStdout(), "site %s\n", sanitize(d.Site))
					}
					if d.Lost != "" {
						fmt.Fprintf(cmd.OutOrStdout(), "not known: %s\n\n", d.Lost)
						continue
					}
					if err := printAccount(cmd.OutOrStdout(), d, all); err != nil {
						return err
					}
				}
				return nil
			}())
		}}
	s.register(c)
	f := c.Flags()
	f.DurationVar(&since, "since", time.Hour, "since the loss, or a little longer")
	f.BoolVar(&all, "all", false, "list all jobs, not only those that lost something or are not known")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func printAccount(out io.Writer, d *report.Data, all bool) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "as of %s, told by %s; what ended is remembered since %s\n", time.UnixMilli(d.AsOf).UTC().Format(time.RFC3339), d.Node, time.UnixMilli(d.RememberedSince).UTC().Format(time.RFC3339))
	for _, u := range d.Unknown {
		fmt.Fprintln(w, "not known:", sanitize(u))
	}
	if d.RememberedSince > d.Since {
		fmt.Fprintln(w, "not known: what ended before that")
	}
	fmt.Fprintln(w, "\nSTATE\tJOBS\tOF THESE LOST RUNS\tRUNS LOST")
	total, totalLost, runs := 0, 0, 0
	for _, st := range ledger.States {
		n, lost, r := 0, 0, 0
		for i := range d.Rows {
			if d.Rows[i].State == st {
				n++
				r += d.Rows[i].Lost
				if d.Rows[i].Lost > 0 {
					lost++
				}
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", st, n, lost, r)
		total, totalLost, runs = total+n, totalLost+lost, runs+r
	}
	fmt.Fprintf(w, "all\t%d\t%d\t%d\n", total, totalLost, runs)
	if d.Left > 0 {
		fmt.Fprintf(w, "and %d more, beyond what one account holds\n", d.Left)
	}
	fmt.Fprintln(w, "\nJOB\tTEAM\tCLASS\tSTATE\tDONE\tRUNNING\tLOST\tSAVED\tNOW IN\tWHY")
	for i := range d.Rows {
		r := &d.Rows[i]
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

// consoleCommand is `dapplestage console`.
func consoleCommand() *cobra.Command {
	s := &siteFlags{}
	c := &cobra.Command{Use: "console --addr IP:PORT,...", Short: "Watch what runs, what does not and whose work is stuck, in the terminal", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := s.parse(); err != nil {
				return printError(err)
			}
			ctx, stop := context.WithCancel(cmd.Context())
			defer stop()
			m := console.New(func(a console.Request) console.Answer { return s.clients[a.SiteIndex].answerConsole(ctx, a) }, time.Now, s.names()...)
			_, err := tea.NewProgram(m, tea.WithAltScreen(), tea.WithContext(ctx), tea.WithFPS(10)).Run()
			return printError(err)
		}}
	s.register(c)
	return c
}

func (s *siteClient) answerConsole(ctx context.Context, a console.Request) console.Answer {
	out := console.Answer{Request: a}
	if a.Job == "" {
		out.Page, out.Err = s.accountPage(ctx, a.Query, 0)
		if out.Err == nil {
			out.Node = out.Page.Node
		}
		return out
	}
	p, err := s.accountPage(ctx, ledger.Query{Text: a.Job, Limit: 5}, 0)
	if err != nil {
		out.Err = err
		return out
	}
	out.Node = p.Node
	var b textBuffer
	for i := range p.Rows {
		if p.Rows[i].Job == a.Job {
			printRow(&b, &p.Rows[i])
		}
	}
	var w node.Explanation
	switch err := s.getFromAny(ctx, "/admin/why/"+a.Job, &w); {
	case err != nil && strings.Contains(err.Error(), "answers 404"):
	case err != nil:
		fmt.Fprintf(&b, "\nwhy it waits is not known: %v\n", err)
	default:
		b = append(b, '\n')
		printExplanation(&b, &w)
	}
	out.JobLines = strings.Split(strings.TrimRight(string(b), "\n"), "\n")
	return out
}

// printRow writes all that a row tells of a job.
func printRow(b io.Writer, r *ledger.Row) {
	fmt.Fprintf(b, "%s  %s\n\nteam %s, class %s, %s, image %s\n", r.Job, r.State, r.Team, r.Class, r.Shape, r.Image)
	if r.Ticket != "" {
		fmt.Fprintf(b, "a step of ticket %s\n", r.Ticket)
	}
	fmt.Fprintf(b, "%d tasks: %d done, %d running, %d starting, %d waiting, %d failed\n", r.Tasks, r.Done, r.Running, r.Starting, r.Waiting, r.Failed)
	fmt.Fprintf(b, "submitted %s ago", time.Since(time.UnixMilli(r.Submitted)).Round(time.Second))
	if r.Since > 0 {
		fmt.Fprintf(b, ", %s for %s", r.State, time.Since(time.UnixMilli(r.Since)).Round(time.Second))
	}
	fmt.Fprintf(b, "\nlost %d runs; saved up to %.0f s; in %s on %s\n", r.Lost, r.SavedS, strings.Join(r.Zones, ", "), strings.Join(r.Machines, ", "))
	if r.Why != "" {
		fmt.Fprintf(b, "%s\n", r.Why)
	}
	for i, e := range r.Events {
		if i == 0 {
			fmt.Fprintf(b, "\nas %s saw it:\n", r.Node)
		}
		fmt.Fprintf(b, "  %s  %s\n", time.UnixMilli(e.AtMS).UTC().Format("15:04:05"), e.Text)
	}

}
