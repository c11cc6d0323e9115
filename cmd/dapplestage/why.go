package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/node"
	"dapplestage.example/dapplestage/internal/protocol"
)

// whyCommand is `dapplestage why`.
func whyCommand() *cobra.Command {
	var addr, team, cause, after string
	var since time.Duration
	var limit int
	var asJSON, watch bool
	c := &cobra.Command{Use: "why [JOB] --addr IP:PORT", Short: "Tell why a job waits and what would release it, or what all waiting jobs wait for",
		Args: checkArgs(cobra.MaximumNArgs(1))}
	c.RunE = func(cmd *cobra.Command, args []string) error {
		if addr == "" {
			return printError(fmt.Errorf("%w: --addr IP:PORT is needed", errUsage))
		}
		if len(args) == 1 && !protocol.ValidJobID(args[0]) {
			return printError(fmt.Errorf("%w: %q is not the id of a job: job- and digits", errUsage, args[0]))
		}
		last := ""
		for {
			text, over, err := whyOnce(cmd.Context(), addr, args, url.Values{"team": {team}, "cause": {cause}, "after": {after},
				"since": {strconv.FormatFloat(since.Seconds(), 'f', 1, 64)}, "limit": {strconv.Itoa(limit)}}, asJSON)
			if err != nil && !(watch && last != "") {
				return printError(err)
			}
			if err == nil && text != last {
				fmt.Fprint(cmd.OutOrStdout(), text)
				last = text
			}
			if !watch || over {
				return nil
			}
			select {
			case <-cmd.Context().Done():
				return nil
			case <-time.After(2 * time.Second):
			}
		}
	}
	f := c.Flags()
	f.StringVar(&addr, "addr", "", "a node's api_addr, as IP:PORT")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	f.BoolVar(&watch, "watch", false, "print each change, until the job waits no more")
	f.StringVar(&team, "team", "", "only this team's jobs")
	f.StringVar(&cause, "cause", "", "only jobs that this binds, by the name that the list shows")
	f.StringVar(&after, "after", "", "jobs after this one")
	f.DurationVar(&since, "since", 0, "only jobs submitted at least so long ago")
	f.IntVar(&limit, "limit", 50, "so many jobs, 1 to 200")
	return c
}

// whyOnce asks once. over says that the job waits no more.
func whyOnce(ctx context.Context, addr string, args []string, q url.Values, asJSON bool) (text string, over bool, err error) {
	var b textBuffer
	if len(args) == 1 {
		var w node.Explanation
		if err := callNode(ctx, addr, "GET", "/admin/why/"+args[0], nil, &w); err != nil {
			return "", false, err
		}
		if asJSON {
			err = printJSON(&b, w)
		} else {
			printExplanation(&b, &w)
		}
		return string(b), w.Waiting+w.Starting == 0 && w.Unknown == "", err
	}
	var p node.ExplanationPage
	if err := callNode(ctx, addr, "GET", "/admin/why?"+q.Encode(), nil, &p); err != nil {
		return "", false, err
	}
	if asJSON {
		err = printJSON(&b, p)
	} else {
		printExplanationPage(&b, &p)
	}
	return string(b), false, err
}

// textBuffer gathers text.
type textBuffer []byte

func (b *textBuffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

func printExplanation(out io.Writer, w *node.Explanation) {
	fmt.Fprintf(out, "%s (%s, %s): %d tasks wait, %d are about to start, %d run; held by %s", w.Job, w.Class, w.Team, w.Waiting, w.Starting, w.Running, w.Owner)
	if w.StateAge > 3 {
		fmt.Fprintf(out, "; the state service answered %.0f s ago", w.StateAge)
	}
	fmt.Fprintln(out)
	if w.Unknown != "" {
		fmt.Fprintln(out, w.Unknown)
		return
	}
	for i, c := range w.Causes {
		mark := "also:   "
		if i == 0 {
			mark = "because:"
		}
		fmt.Fprintln(out, mark, c.Text)
	}
	for _, r := range w.Release {
		fmt.Fprintln(out, "until:  ", r)
	}
	if w.Waiting > 0 && !w.Sufficient {
		fmt.Fprintln(out, "         (no change is known that would be enough)")
	}
}

func printExplanationPage(out io.Writer, p *node.ExplanationPage) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	for _, u := range p.Unknown {
		fmt.Fprintln(w, u)
	}
	if len(p.TasksByCause) == 0 {
		fmt.Fprintln(w, "nothing waits, as far as is known")
		return
	}
	fmt.Fprintln(w, "CAUSE\tWAITING TASKS")
	for _, k := range slices.SortedFunc(maps.Keys(p.TasksByCause), func(a, b string) int { return p.TasksByCause[b] - p.TasksByCause[a] }) {
		fmt.Fprintf(w, "%s\t%d\n", k, p.TasksByCause[k])
	}
	fmt.Fprintln(w, "\nJOB\tTEAM\tCLASS\tWAITING\tSINCE\tCAUSE")
	for _, j := range p.Jobs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.0f s\t%s\n", j.Job, j.Team, j.Class, j.Waiting, j.SinceS, j.Cause)
	}
	if p.After != "" {
		fmt.Fprintf(w, "and more: --after %s\n", p.After)
	}
}
