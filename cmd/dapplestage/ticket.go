package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/node"
	"dapplestage.example/dapplestage/internal/coordination/ticket"
	"dapplestage.example/dapplestage/internal/protocol"
	format "dapplestage.example/dapplestage/internal/protocol/ticket"
	"dapplestage.example/dapplestage/internal/transport"
)

// ticketFlags are the flags that the ticket subcommands share.
type ticketFlags struct {
	addr   string
	asJSON bool
	params []string // NAME=VALUE each
}

// ticketCommand returns `dapplestage ticket`.
func ticketCommand() *cobra.Command {
	f := &ticketFlags{}
	root := &cobra.Command{Use: "ticket", Short: "Check, submit and watch render-farm tickets", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	root.AddCommand(f.checkCommand(), f.submitCommand(), f.statusCommand(), f.tasksCommand(), f.cancelCommand(), f.classesCommand())
	return root
}

// newCommand returns a subcommand with the flag --json and, if it calls a node, --addr.
func (f *ticketFlags) newCommand(use, short string, args cobra.PositionalArgs, needAddr bool, run func(cmd *cobra.Command, args []string) error) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: checkArgs(args), RunE: func(cmd *cobra.Command, args []string) error {
		if needAddr && f.addr == "" {
			return printError(fmt.Errorf("%w: --addr IP:PORT is needed", errUsage))
		}
		return printError(run(cmd, args))
	}}
	if needAddr {
		c.Flags().StringVar(&f.addr, "addr", "", "a node's api_addr, as IP:PORT")
	}
	c.Flags().BoolVar(&f.asJSON, "json", false, "print JSON")
	return c
}

// parseParams parses the --param flags.
func (f *ticketFlags) parseParams() (format.Args, error) {
	out := format.Args{}
	for _, p := range f.params {
		name, v, ok := strings.Cut(p, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("%w: --param %q is not NAME=VALUE", errUsage, p)
		}
		if _, duplicate := out[name]; duplicate {
			return nil, fmt.Errorf("%w: --param %s is given twice", errUsage, name)
		}
		out[name] = v
	}
	return out, nil
}

// readTemplate reads and parses a template from a file, or from standard input for -. It also
// returns the template's text.
func (f *ticketFlags) readTemplate(path string) (*format.Template, []byte, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(io.LimitReader(os.Stdin, format.MaxTextBytes+1))
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, nil, err
	}
	t, err := format.ParseTemplate(data, "")
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, data, nil
}

// checkedStep is what `ticket check` prints of a step.
type checkedStep struct {
	Step       string             `json:"step"`
	Tasks      int                `json:"tasks"`
	After      []string           `json:"after,omitempty"`
	CPUs       *float64           `json:"vcpus,omitempty"`
	GPUs       *float64           `json:"cards,omitempty"`
	MemoryGB   *float64           `json:"memGb,omitempty"`
	Types      []string           `json:"builds,omitempty"`
	Zone       string             `json:"region,omitempty"`
	FirstTasks [][]format.Binding `json:"first_tasks,omitempty"`
}

// checkFlags are the flags of `ticket check`.
type checkFlags struct {
	tasksShown int // number of tasks of each step to print
	asTemplate bool
}

func (f *ticketFlags) checkCommand() *cobra.Command {
	var flags checkFlags
	c := f.newCommand("check FILE", "Expand a template and show its steps, tasks and requirements", cobra.ExactArgs(1), false, func(cmd *cobra.Command, args []string) error {
		if flags.asTemplate {
			return f.printTemplate(cmd.OutOrStdout(), args[0])
		}
		return f.printPlan(cmd.OutOrStdout(), args[0], flags.tasksShown)
	})
	c.Flags().StringArrayVar(&f.params, "param", nil, "a job parameter, as NAME=VALUE; may be repeated")
	c.Flags().IntVar(&flags.tasksShown, "show", 0, "print this many tasks of each step")
	c.Flags().BoolVar(&flags.asTemplate, "template", false, "print the checked template as JSON instead")
	return c
}

// printTemplate prints a template as JSON.
func (f *ticketFlags) printTemplate(out io.Writer, path string) error {
	t, _, err := f.readTemplate(path)
	if err != nil {
		return err
	}
	data, err := t.EncodeJSON()
	if err == nil {
		fmt.Fprintln(out, string(data))
	}
	return err
}

// printPlan prints the steps and tasks that a template expands to.
func (f *ticketFlags) printPlan(out io.Writer, path string, tasksShown int) error {
	if tasksShown < 0 || tasksShown > format.MaxTasks {
		return fmt.Errorf("%w: --show %d is not within 0 to %d", errUsage, tasksShown, format.MaxTasks)
	}
	params, err := f.parseParams()
	if err != nil {
		return err
	}
	t, _, err := f.readTemplate(path)
	if err != nil {
		return err
	}
	plan, err := t.Expand(params)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	steps := checkedSteps(plan, tasksShown)
	if f.asJSON {
		return printJSON(out, map[string]any{"name": plan.Name, "tasks": plan.Tasks, "steps": steps})
	}
	fmt.Fprintf(out, "%s: %d tasks in %d steps\n\n", plan.Name, plan.Tasks, len(steps))
	printSteps(out, steps)
	return nil
}

// checkedSteps returns a plan's steps with the first tasks of each.
func checkedSteps(plan *format.Plan, tasksShown int) (steps []checkedStep) {
	for _, planned := range plan.Steps {
		step := checkedStep{Step: planned.Name, Tasks: planned.Space.Len(), CPUs: planned.CPUs, GPUs: planned.GPUs, MemoryGB: planned.MemoryGB, Types: planned.Types, Zone: planned.Zone}
		for _, dependency := range planned.Deps {
			step.After = append(step.After, plan.Steps[dependency].Name)
		}
		for i := range min(tasksShown, step.Tasks) {
			step.FirstTasks = append(step.FirstTasks, planned.Space.At(i))
		}
		steps = append(steps, step)
	}
	return steps
}

func printSteps(out io.Writer, steps []checkedStep) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "STEP\tTASKS\tVCPUS\tCARDS\tMEM GB\tMACHINES\tREGION\tAFTER")
	for _, s := range steps {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Step, s.Tasks, amountOrClass(s.CPUs), amountOrClass(s.GPUs), amountOrClass(s.MemoryGB),
			orAny(strings.Join(s.Types, ",")), orAny(s.Zone), strings.Join(s.After, ", "))
	}
	w.Flush()
	for _, s := range steps {
		for i, t := range s.FirstTasks {
			fmt.Fprintf(out, "%s/%d:%s\n", s.Step, i, formatBindings(t))
		}
	}
}

// amountOrClass formats an amount. Without one, the ticket's class sets it.
func amountOrClass(amount *float64) string {
	if amount == nil {
		return "class"
	}
	return strconv.FormatFloat(*amount, 'g', 4, 64)
}

func orAny(s string) string {
	if s == "" {
		return "any"
	}
	return s
}

func formatBindings(bindings []format.Binding) string {
	var b strings.Builder
	for _, binding := range bindings {
		fmt.Fprintf(&b, " %s=%s", binding.Name, binding.Value)
	}
	return b.String()
}

// submission is the body of POST /tickets.
type submission struct {
	ID             string      `json:"id,omitempty"`
	Token          string      `json:"clientToken,omitempty"`
	Class          string      `json:"lot"`
	Team           string      `json:"crew"`
	Priority       string      `json:"urgency,omitempty"`
	Image          string      `json:"bundle,omitempty"`
	ImageGB        *float64    `json:"sizeGb,omitempty"`
	EstimateS      float64     `json:"expectS,omitempty"`
	Template       string      `json:"template"`
	Args           format.Args `json:"parameters"`
	TicketPriority *int        `json:"priority,omitempty"`
	MaxRetries     *int        `json:"maxRetriesPerTask,omitempty"`
	MaxFailedTasks *int        `json:"maxFailedTasksCount,omitempty"`
}

// submitFlags are the flags of `ticket submit`. Optional fields are sent only if their flag is
// set.
type submitFlags struct {
	ticket                                     submission
	imageGB                                    float64
	ticketPriority, maxRetries, maxFailedTasks int
	uploadAddr                                 string
	watch                                      bool
}

func (f *ticketFlags) submitCommand() *cobra.Command {
	submit := &submitFlags{}
	c := f.newCommand("submit FILE", "Submit a template as a ticket; repeating it submits nothing again", cobra.ExactArgs(1), true, func(cmd *cobra.Command, args []string) error {
		body, err := f.submissionBody(submit, args[0], cmd.Flags().Changed)
		if err != nil {
			return err
		}
		if submit.uploadAddr != "" {
			if err := f.uploadDescriptions(cmd.Context(), submit.uploadAddr, body); err != nil {
				return err
			}
		}
		status, err := f.submitTicket(cmd.Context(), body)
		if err != nil {
			return err
		}
		return f.showTicket(cmd, status, submit.watch)
	})
	flags, t := c.Flags(), &submit.ticket
	flags.StringVar(&t.ID, "id", "", "the ticket's id: job- and digits")
	flags.StringVar(&t.Token, "token", "", "any text of at most 64 characters that identifies the ticket; the ticket's id is derived from it and the crew")
	flags.StringVar(&t.Class, "lot", "", "the class of the ticket")
	flags.StringVar(&t.Team, "crew", "", "the team")
	flags.StringVar(&t.Priority, "urgency", "", "critical, high, standard or best_effort")
	flags.StringVar(&t.Image, "bundle", "", "the image, if not the class's")
	flags.Float64Var(&submit.imageGB, "size-gb", 0, "the size of the image in GB")
	flags.Float64Var(&t.EstimateS, "expect-s", 0, "expected run time of a task in seconds")
	flags.StringArrayVar(&f.params, "param", nil, "a job parameter, as NAME=VALUE; may be repeated")
	flags.IntVar(&submit.ticketPriority, "priority", 50, "0 to 100, if no urgency is given")
	flags.IntVar(&submit.maxRetries, "retries", 0, "how often a failed task may be tried again")
	flags.IntVar(&submit.maxFailedTasks, "most-failed", 0, "the most failed tasks with which the ticket goes on")
	flags.StringVar(&submit.uploadAddr, "upload", "", "address to which task descriptions are uploaded for the workers, as IP:PORT")
	flags.BoolVar(&submit.watch, "watch", false, "wait for the end")
	return c
}

// submissionBody returns the body of POST /tickets for a template. isSet reports whether a flag
// was given on the command line.
func (f *ticketFlags) submissionBody(submit *submitFlags, path string, isSet func(flag string) bool) ([]byte, error) {
	t := &submit.ticket
	for flag, v := range map[string]string{"--lot": t.Class, "--crew": t.Team, "--id or --token": t.ID + t.Token} {
		if v == "" {
			return nil, fmt.Errorf("%w: %s is needed", errUsage, flag)
		}
	}
	var err error
	if t.Args, err = f.parseParams(); err != nil {
		return nil, err
	}
	_, data, err := f.readTemplate(path)
	if err != nil {
		return nil, err
	}
	t.Template = string(data)
	if isSet("size-gb") {
		t.ImageGB = &submit.imageGB
	}
	if isSet("priority") {
		t.TicketPriority = &submit.ticketPriority
	}
	if isSet("retries") {
		t.MaxRetries = &submit.maxRetries
	}
	if isSet("most-failed") {
		t.MaxFailedTasks = &submit.maxFailedTasks
	}
	return json.Marshal(t)
}

// submitTicket retries for a minute until the ticket is accepted or refused. Repeating is safe:
// the id or token makes it the same ticket.
func (f *ticketFlags) submitTicket(ctx context.Context, body []byte) (*node.TicketStatus, error) {
	client := transport.NewClient(f.addr, 0)
	for deadline := time.Now().Add(time.Minute); ; {
		answer, err := client.Call(ctx, adminTimeout, "POST", "/tickets", body)
		var status node.TicketStatus
		switch {
		case err == nil && (answer.Status == 200 || answer.Status == 201):
			return &status, json.Unmarshal(answer.Body, &status)
		case err == nil && answer.Status >= 400 && answer.Status < 500 && answer.Status != 429:
			return nil, fmt.Errorf("refused (%d): %s", answer.Status, errorText(answer.Body))
		case time.Now().After(deadline) || ctx.Err() != nil:
			if err != nil {
				return nil, fmt.Errorf("%s does not answer: %v; whether the ticket was taken is not known, submitting it again is safe", f.addr, err)
			}
			return nil, fmt.Errorf("%s answers %d %s; the ticket was not taken, or that is not known: submitting it again is safe", f.addr, answer.Status, errorText(answer.Body))
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// errorText returns the error message in the body of an answer.
func errorText(body []byte) string {
	var failure struct {
		Error string `json:"error"`
	}
	json.Unmarshal(body, &failure)
	return failure.Error
}

// uploadDescriptions uploads the descriptions of a ticket's steps for the workers before the
// ticket is submitted, as users do for any job.
func (f *ticketFlags) uploadDescriptions(ctx context.Context, uploadAddr string, body []byte) error {
	var view node.ClassesView
	if err := callNode(ctx, f.addr, "GET", "/admin/classes", nil, &view); err != nil {
		return err
	}
	submitted, err := format.ParseTicket(body)
	if err != nil {
		return err
	}
	admitted, err := ticket.Admit(submitted, view.Classes, ticket.Limits{MaxValueBytes: 64 << 10})
	if err != nil {
		return err
	}
	descriptions, err := ticket.Describe(submitted, admitted)
	if err != nil {
		return err
	}
	client := transport.NewClient(uploadAddr, 0)
	for _, description := range descriptions {
		data, err := json.Marshal(description)
		if err != nil {
			return err
		}
		switch answer, err := client.Call(ctx, adminTimeout, "POST", "/upload", data); {
		case err != nil:
			return fmt.Errorf("upload: %s does not answer: %v", uploadAddr, err)
		case answer.Status != 200:
			return fmt.Errorf("upload: %s answers %d %s", uploadAddr, answer.Status, bytes.TrimSpace(answer.Body))
		}
	}
	return nil
}

func (f *ticketFlags) getTicket(ctx context.Context, id string) (*node.TicketStatus, error) {
	if !protocol.ValidJobID(id) {
		return nil, fmt.Errorf("%w: %q is not the id of a ticket: job- and digits", errUsage, id)
	}
	var status node.TicketStatus
	return &status, callNode(ctx, f.addr, "GET", "/tickets/"+id, nil, &status)
}

func (f *ticketFlags) statusCommand() *cobra.Command {
	var watch bool
	c := f.newCommand("status ID", "Show a ticket and its steps", cobra.ExactArgs(1), true, func(cmd *cobra.Command, args []string) error {
		status, err := f.getTicket(cmd.Context(), args[0])
		if err != nil {
			return err
		}
		return f.showTicket(cmd, status, watch)
	})
	c.Flags().BoolVar(&watch, "watch", false, "wait for the end")
	return c
}

// errNotDone marks a watched ticket that ended as failed or cancelled.
var errNotDone = errors.New("the ticket is not done")

// showTicket prints a ticket and, with watch, each change until the ticket ends.
func (f *ticketFlags) showTicket(cmd *cobra.Command, status *node.TicketStatus, watch bool) error {
	out := cmd.OutOrStdout()
	printed := ""
	for {
		var buffer bytes.Buffer
		if f.asJSON {
			data, err := json.Marshal(status)
			if err != nil {
				return err
			}
			buffer.Write(append(data, '\n'))
		} else {
			printTicket(&buffer, status)
		}
		if text := buffer.String(); text != printed {
			fmt.Fprint(out, text)
			printed = text
		}
		switch {
		case !watch || status.Status == protocol.JobDone:
			return nil
		case status.Status == protocol.JobFailed || status.Status == protocol.JobCancelled:
			return fmt.Errorf("%w: %s %s", errNotDone, status.Status, status.Why)
		}
		select {
		case <-cmd.Context().Done():
			return cmd.Context().Err()
		case <-time.After(2 * time.Second):
		}
		next, err := f.getTicket(cmd.Context(), status.ID)
		for tries := 0; err != nil && tries < 15 && cmd.Context().Err() == nil; tries++ {
			time.Sleep(2 * time.Second)
			next, err = f.getTicket(cmd.Context(), status.ID)
		}
		if err != nil {
			return err
		}
		status = next
	}
}

// printTicket prints a ticket and its steps.
func printTicket(out io.Writer, status *node.TicketStatus) {
	fmt.Fprintf(out, "%s %q (%s, %s): %s, %d of %d tasks done, %d running, %d failed\n", status.ID, status.Name, status.Class, status.Team, status.Status, status.Done, status.Tasks, status.Running, status.Failed)
	if status.Why != "" {
		fmt.Fprintln(out, "why:", status.Why)
	}
	if terms := status.Terms; terms != nil {
		fmt.Fprintf(out, "urgency %s%s, retries a task %s, failed tasks survived %s\n", terms.Priority, requestedText(terms.RequestedPriority != "", terms.RequestedPriority), grantedText(terms.MaxRetries), grantedText(terms.MaxFailedTasks))
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "STEP\tSTATUS\tTASKS\tDONE\tRUNNING\tFAILED\tAFTER\tWHY")
	for _, s := range status.Steps {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n", s.Step, s.Status, s.Tasks, s.Done, s.Running, s.Failed, strings.Join(s.After, ", "), s.Why)
	}
}

// grantedText formats a granted limit, with the requested one if they differ.
func grantedText(g protocol.GrantedLimit) string {
	return strconv.Itoa(g.Granted) + requestedText(g.Requested != nil && *g.Requested != g.Granted, g.Requested)
}

// requestedText formats what a user requested if it differs from what was granted.
func requestedText(differs bool, requested any) string {
	switch a := requested.(type) {
	case *int:
		if differs {
			return fmt.Sprintf(" (asked %d)", *a)
		}
	case string:
		if differs {
			return fmt.Sprintf(" (asked %s)", a)
		}
	}
	return ""
}

func (f *ticketFlags) tasksCommand() *cobra.Command {
	var step string
	var since, limit int
	c := f.newCommand("tasks ID", "Show a step's tasks with their parameters", cobra.ExactArgs(1), true, func(cmd *cobra.Command, args []string) error {
		if !protocol.ValidJobID(args[0]) {
			return fmt.Errorf("%w: %q is not the id of a ticket: job- and digits", errUsage, args[0])
		}
		var page node.TicketTasks
		path := fmt.Sprintf("/tickets/%s/tasks?step=%s&since=%d&limit=%d", args[0], url.QueryEscape(step), since, limit)
		if err := callNode(cmd.Context(), f.addr, "GET", path, nil, &page); err != nil {
			return err
		}
		if f.asJSON {
			return printJSON(cmd.OutOrStdout(), page)
		}
		w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "TASK\tSTATUS\tERRORS\tMACHINE\tPARAMETERS")
		for _, t := range page.Tasks {
			fmt.Fprintf(w, "%s/%d\t%s\t%d\t%s\t%s\n", page.Step, t.Task, t.Status, t.Errors, t.Machine, strings.TrimSpace(formatBindings(t.Parameters)))
		}
		if page.More {
			fmt.Fprintf(w, "and more: --since %d\n", since+limit)
		}
		return w.Flush()
	})
	c.Flags().StringVar(&step, "step", "", "the step; empty: the first")
	c.Flags().IntVar(&since, "since", 0, "the first task")
	c.Flags().IntVar(&limit, "limit", 100, "how many, 1 to 500")
	return c
}

func (f *ticketFlags) cancelCommand() *cobra.Command {
	return f.newCommand("cancel ID", "Cancel a ticket: no step starts any more, and what runs is stopped", cobra.ExactArgs(1), true, func(cmd *cobra.Command, args []string) error {
		if !protocol.ValidJobID(args[0]) {
			return fmt.Errorf("%w: %q is not the id of a ticket: job- and digits", errUsage, args[0])
		}
		var s protocol.JobStatus
		if err := callNode(cmd.Context(), f.addr, "POST", "/tickets/"+args[0]+"/cancel", struct{}{}, &s); err != nil {
			return err
		}
		if f.asJSON {
			return printJSON(cmd.OutOrStdout(), s)
		}
		fmt.Fprintln(cmd.OutOrStdout(), s.ID, s.Status)
		return nil
	})
}

func (f *ticketFlags) classesCommand() *cobra.Command {
	show := f.newCommand("classes", "Show the classes of tickets", cobra.NoArgs, true, func(cmd *cobra.Command, _ []string) error {
		var v node.ClassesView
		if err := callNode(cmd.Context(), f.addr, "GET", "/admin/classes", nil, &v); err != nil {
			return err
		}
		return f.printClasses(cmd, v)
	})
	var remove bool
	set := f.newCommand("set LOT [JSON]", "Set a class, or with --remove go back to the file's", cobra.RangeArgs(1, 2), true, func(cmd *cobra.Command, args []string) error {
		var v node.ClassesView
		if err := callNode(cmd.Context(), f.addr, "GET", "/admin/classes", nil, &v); err != nil {
			return err
		}
		path := "/admin/classes/" + url.PathEscape(args[0])
		switch {
		case remove && len(args) == 1:
			if err := callNode(cmd.Context(), f.addr, "DELETE", path+"?stamp="+strconv.FormatUint(v.Stamp, 10), nil, &v); err != nil {
				return err
			}
		case !remove && len(args) == 2 && json.Valid([]byte(args[1])):
			if err := callNode(cmd.Context(), f.addr, "PUT", path, node.SettingChange{Value: json.RawMessage(args[1]), Stamp: &v.Stamp}, &v); err != nil {
				return err
			}
		default:
			return fmt.Errorf("%w: a class as a JSON object, or --remove, is needed", errUsage)
		}
		return f.printClasses(cmd, v)
	})
	set.Flags().BoolVar(&remove, "remove", false, "go back to the file's class")
	show.AddCommand(set)
	return show
}

func (f *ticketFlags) printClasses(cmd *cobra.Command, v node.ClassesView) error {
	if f.asJSON {
		return printJSON(cmd.OutOrStdout(), v)
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	if !v.AcceptsTickets {
		fmt.Fprintln(w, "this node takes no tickets (--tickets)")
	}
	fmt.Fprintln(w, "LOT\tURGENCY\tSHAPES\tRETRIES\tOVER\tFAILED\tTASKS\tVCPUS\tCARDS\tMEM GB\tIMAGE\tFROM")
	for _, lot := range slices.Sorted(maps.Keys(v.Classes)) {
		class := v.Classes[lot]
		from := "file"
		if slices.Contains(v.Stored, lot) {
			from = "operators"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%g\t%g\t%g\t%s\t%s\n", lot, class.Urgency, strings.Join(class.Shapes, ","), class.Retries, class.Over, class.Failed, class.Tasks, class.VCPUs, class.Cards, class.MemGB, class.Bundle, from)
	}
	return w.Flush()
}
