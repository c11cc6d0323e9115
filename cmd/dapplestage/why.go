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

// whyCommand returns `dapplestage why`.
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
		printed := ""
		for {
			text, done, err := fetchExplanation(cmd.Context(), addr, args, url.Values{"team": {team}, "cause": {cause}, "after": {after},
				"since": {strconv.FormatFloat(since.Seconds(), 'f', 1, 64)}, "limit": {strconv.Itoa(limit)}}, asJSON)
			if err != nil && !(watch && printed != "") {
				return printError(err)
			}
			if err == nil && text != printed {
				fmt.Fprint(cmd.OutOrStdout(), text)
				printed = text
			}
			if !watch || done {
				return nil
			}
			select {
			case <-cmd.Context().Done():
				return nil
			case <-time.After(2 * time.Second):
			}
		}
	}
	flags := c.Flags()
	flags.StringVar(&addr, "addr", "", "a node's api_addr, as IP:PORT")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	flags.BoolVar(&watch, "watch", false, "print each change, until the job waits no more")
	flags.StringVar(&team, "team", "", "only this team's jobs")
	flags.StringVar(&cause, "cause", "", "only jobs with this binding cause, by its name in the list")
	flags.StringVar(&after, "after", "", "only jobs after this one in the list")
	flags.DurationVar(&since, "since", 0, "only jobs submitted at least this long ago")
	flags.IntVar(&limit, "limit", 50, "the number of jobs to show, 1 to 200")
	return c
}

// fetchExplanation makes one request and returns the text to print. done reports that the job
// no longer waits.
func fetchExplanation(ctx context.Context, addr string, args []string, query url.Values, asJSON bool) (text string, done bool, err error) {
	var buffer textBuffer
	if len(args) == 1 {
		var explanation node.Explanation
		if err := callNode(ctx, addr, "GET", "/admin/why/"+args[0], nil, &explanation); err != nil {
			return "", false, err
		}
		if asJSON {
			err = printJSON(&buffer, explanation)
		} else {
			printExplanation(&buffer, &explanation)
		}
		return string(buffer), explanation.Waiting+explanation.Starting == 0 && explanation.Unknown == "", err
	}
	var page node.ExplanationPage
	if err := callNode(ctx, addr, "GET", "/admin/why?"+query.Encode(), nil, &page); err != nil {
		return "", false, err
	}
	if asJSON {
		err = printJSON(&buffer, page)
	} else {
		printExplanationPage(&buffer, &page)
	}
	return string(buffer), false, err
}

// textBuffer is an io.Writer that collects text.
type textBuffer []byte

func (b *textBuffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

// printExplanation prints why a job waits, the binding cause first, and what would let it start.
func printExplanation(out io.Writer, explanation *node.Explanation) {
	fmt.Fprintf(out, "%s (%s, %s): %d tasks wait, %d are about to start, %d run; held by %s", explanation.Job, explanation.Class, explanation.Team, explanation.Waiting, explanation.Starting, explanation.Running, explanation.Owner)
	if explanation.StateAge > 3 {
		fmt.Fprintf(out, "; the state service answered %.0f s ago", explanation.StateAge)
	}
	fmt.Fprintln(out)
	if explanation.Unknown != "" {
		fmt.Fprintln(out, explanation.Unknown)
		return
	}
	for i, c := range explanation.Causes {
		label := "also:   "
		if i == 0 {
			label = "because:"
		}
		fmt.Fprintln(out, label, c.Text)
	}
	if room := explanation.Room; room != nil {
		fmt.Fprintf(out, "room:    %s of share %d: %s\n", room.Machine, room.Share, room.Obstacle)
	}
	for _, r := range explanation.Release {
		fmt.Fprintln(out, "until:  ", r)
	}
	if explanation.Waiting > 0 && !explanation.Sufficient {
		fmt.Fprintln(out, "         (no change is known that would be enough)")
	}
}

// printExplanationPage prints the waiting tasks by cause and a list of waiting jobs.
func printExplanationPage(out io.Writer, page *node.ExplanationPage) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	for _, u := range page.Unknown {
		fmt.Fprintln(w, u)
	}
	if len(page.TasksByCause) == 0 {
		fmt.Fprintln(w, "nothing waits, as far as is known")
		return
	}
	fmt.Fprintln(w, "CAUSE\tWAITING TASKS")
	for _, cause := range slices.SortedFunc(maps.Keys(page.TasksByCause), func(a, b string) int { return page.TasksByCause[b] - page.TasksByCause[a] }) {
		fmt.Fprintf(w, "%s\t%d\n", cause, page.TasksByCause[cause])
	}
	fmt.Fprintln(w, "\nJOB\tTEAM\tCLASS\tWAITING\tSINCE\tCAUSE")
	for _, j := range page.Jobs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.0f s\t%s\n", j.Job, j.Team, j.Class, j.Waiting, j.SinceS, j.Cause)
	}
	if page.After != "" {
		fmt.Fprintf(w, "and more: --after %s\n", page.After)
	}
}
