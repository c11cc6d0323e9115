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

// ticketFlags are what the ticket subcommands share.
type ticketFlags struct {
	addr   string
	asJSON bool
	params []string
}

// ticketCommand is `dapplestage ticket`.
func ticketCommand() *cobra.Command {
	f := &ticketFlags{}
	root := &cobra.Command{Use: "ticket", Short: "Check, submit and watch render-farm tickets", Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	root.AddCommand(f.check(), f.submit(), f.status(), f.tasks(), f.cancel(), f.classesCommand())
	return root
}

func (f *ticketFlags) command(use, short string, args cobra.PositionalArgs, needAddr bool, run func(cmd *cobra.Command, args []string) error) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: usage(args), RunE: func(cmd *cobra.Command, args []string) error {
		if needAddr && f.addr == "" {
			return failed(fmt.Errorf("%w: --addr IP:PORT is needed", errUsage))
		}
		return failed(run(cmd, args))
	}}
	if needAddr {
		c.Flags().StringVar(&f.addr, "addr", "", "a node's api_addr, as IP:PORT")
	}
	c.Flags().BoolVar(&f.asJSON, "json", false, "print JSON")
	return c
}

// args reads --param NAME=VALUE.
func (f *ticketFlags) args() (format.Args, error) {
	out := format.Args{}
	for _, p := range f.params {
		name, v, ok := strings.Cut(p, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("%w: --param %q is not NAME=VALUE", errUsage, p)
		}
		if _, twice := out[name]; twice {
			return nil, fmt.Errorf("%w: --param %s is given twice", errUsage, name)
		}
		out[name] = v
	}
	return out, nil
}

// template reads a file, or standard input for -.
func (f *ticketFlags) template(path string) (*format.Template, []byte, error) {
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

// checkedStep is what `ticket check` tells of a step.
type checkedStep struct {
	Step     string             `json:"step"`
	Tasks    int                `json:"tasks"`
	After    []string           `json:"after,omitempty"`
	CPUs     *float64           `json:"vcpus,omitempty"`
	GPUs     *float64           `json:"cards,omitempty"`
	MemoryGB *float64           `json:"memGb,omitempty"`
	Builds   []string           `json:"builds,omitempty"`
	Region   string             `json:"region,omitempty"`
	First    [][]format.Binding `json:"first_tasks,omitempty"`
}

// checkFlags are those of `ticket check`.
type checkFlags struct {
	show       int // tasks of each step to be written out
	asTemplate bool
}

func (f *ticketFlags) check() *cobra.Command {
	var flags checkFlags
	c := f.command("check FILE", "Expand a template and show its steps, tasks and requirements", cobra.ExactArgs(1), false, func(cmd *cobra.Command, args []string) error {
		if flags.asTemplate {
			return f.printTemplate(cmd.OutOrStdout(), args[0])
		}
		return f.printPlan(cmd.OutOrStdout(), args[0], flags.show)
	})
	c.Flags().StringArrayVar(&f.params, "param", nil, "a job parameter, as NAME=VALUE; may be repeated")
	c.Flags().IntVar(&flags.show, "show", 0, "write out so many tasks of each step")
	c.Flags().BoolVar(&flags.asTemplate, "template", false, "print the checked template as JSON instead")
	return c
}

func (f *ticketFlags) printTemplate(out io.Writer, path string) error {
	t, _, err := f.template(path)
	if err != nil {
		return err
	}
	data, err := t.EncodeJSON()
	if err == nil {
		fmt.Fprintln(out, string(data))
	}
	return err
}

// printPlan shows what a template expands to.
func (f *ticketFlags) printPlan(out io.Writer, path string, show int) error {
	if show < 0 || show > format.MaxTasks {
		return fmt.Errorf("%w: --show %d is not within 0 to %d", errUsage, show, format.MaxTasks)
	}
	given, err := f.args()
	if err != nil {
		return err
	}
	t, _, err := f.template(path)
	if err != nil {
		return err
	}
	plan, err := t.Expand(given)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	steps := checkedSteps(plan, show)
	if f.asJSON {
		return printJSON(out, map[string]any{"name": plan.Name, "tasks": plan.Tasks, "steps": steps})
	}
	fmt.Fprintf(out, "%s: %d tasks in %d steps\n\n", plan.Name, plan.Tasks, len(steps))
	printSteps(out, steps)
	return nil
}

// checkedSteps are a plan's steps, with the first tasks of each.
func checkedSteps(plan *format.Plan, show int) (steps []checkedStep) {
	for _, s := range plan.Steps {
		v := checkedStep{Step: s.Name, Tasks: s.Space.Len(), CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Builds: s.Types, Region: s.Zone}
		for _, d := range s.Deps {
			v.After = append(v.After, plan.Steps[d].Name)
		}
		for i := range min(show, v.Tasks) {
			v.First = append(v.First, s.Space.At(i))
		}
		steps = append(steps, v)
	}
	return steps
}

func printSteps(out io.Writer, steps []checkedStep) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "STEP\tTASKS\tVCPUS\tCARDS\tMEM GB\tMACHINES\tREGION\tAFTER")
	for _, s := range steps {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Step, s.Tasks, orClass(s.CPUs), orClass(s.GPUs), orClass(s.MemoryGB),
			orAny(strings.Join(s.Builds, ",")), orAny(s.Region), strings.Join(s.After, ", "))
	}
	w.Flush()
	for _, s := range steps {
		for i, t := range s.First {
			fmt.Fprintf(out, "%s/%d:%s\n", s.Step, i, bindings(t))
		}
	}
}

// orClass is an amount, or that the class says it.
func orClass(amount *float64) string {
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

func bindings(bs []format.Binding) string {
	var b strings.Builder
	for _, x := range bs {
		fmt.Fprintf(&b, " %s=%s", x.Name, x.Value)
	}
	return b.String()
}

// submission is the body of POST /tickets.
type submission struct {
	ID         string      `json:"id,omitempty"`
	Token      string      `json:"clientToken,omitempty"`
	Lot        string      `json:"lot"`
	Crew       string      `json:"crew"`
	Urgency    string      `json:"urgency,omitempty"`
	Bundle     string      `json:"bundle,omitempty"`
	SizeGB     *float64    `json:"sizeGb,omitempty"`
	ExpectS    float64     `json:"expectS,omitempty"`
	Template   string      `json:"template"`
	Args       format.Args `json:"parameters"`
	Priority   *int        `json:"priority,omitempty"`
	Retries    *int        `json:"maxRetriesPerTask,omitempty"`
	MostFailed *int        `json:"maxFailedTasksCount,omitempty"`
}

// submitFlags are those of `ticket submit`; what is not given is not sent.
type submitFlags struct {
	ticket                    submission
	sizeGB                    float64
	priority, retries, failed int
	upload                    string
	watch                     bool
}

func (f *ticketFlags) submit() *cobra.Command {
	s := &submitFlags{}
	c := f.command("submit FILE", "Submit a template as a ticket; repeating it submits nothing again", cobra.ExactArgs(1), true, func(cmd *cobra.Command, args []string) error {
		body, err := f.body(s, args[0], cmd.Flags().Changed)
		if err != nil {
			return err
		}
		if s.upload != "" {
			if err := f.upload(cmd.Context(), s.upload, body); err != nil {
				return err
			}
		}
		st, err := f.send(cmd.Context(), body)
		if err != nil {
			return err
		}
		return f.show(cmd, st, s.watch)
	})
	fl, t := c.Flags(), &s.ticket
	fl.StringVar(&t.ID, "id", "", "the ticket's id: job- and digits")
	fl.StringVar(&t.Token, "token", "", "any text of at most 64 characters that names the ticket; its id is derived from it and the crew")
	fl.StringVar(&t.Lot, "lot", "", "the class of the ticket")
	fl.StringVar(&t.Crew, "crew", "", "the team")
	fl.StringVar(&t.Urgency, "urgency", "", "critical, high, standard or best_effort")
	fl.StringVar(&t.Bundle, "bundle", "", "the image, if not the class's")
	fl.Float64Var(&s.sizeGB, "size-gb", 0, "its size in GB")
	fl.Float64Var(&t.ExpectS, "expect-s", 0, "expected run time of a task in seconds")
	fl.StringArrayVar(&f.params, "param", nil, "a job parameter, as NAME=VALUE; may be repeated")
	fl.IntVar(&s.priority, "priority", 50, "0 to 100, if no urgency is given")
	fl.IntVar(&s.retries, "retries", 0, "how often a failed task may be tried again")
	fl.IntVar(&s.failed, "most-failed", 0, "how many failed tasks the ticket survives")
	fl.StringVar(&s.upload, "upload", "", "where descriptions are uploaded for the workers, as IP:PORT")
	fl.BoolVar(&s.watch, "watch", false, "wait for the end")
	return c
}

// body is the body of POST /tickets for a template. given says whether a flag was given.
func (f *ticketFlags) body(s *submitFlags, path string, given func(flag string) bool) ([]byte, error) {
	t := &s.ticket
	for flag, v := range map[string]string{"--lot": t.Lot, "--crew": t.Crew, "--id or --token": t.ID + t.Token} {
		if v == "" {
			return nil, fmt.Errorf("%w: %s is needed", errUsage, flag)
		}
	}
	var err error
	if t.Args, err = f.args(); err != nil {
		return nil, err
	}
	_, data, err := f.template(path)
	if err != nil {
		return nil, err
	}
	t.Template = string(data)
	if given("size-gb") {
		t.SizeGB = &s.sizeGB
	}
	if given("priority") {
		t.Priority = &s.priority
	}
	if given("retries") {
		t.Retries = &s.retries
	}
	if given("most-failed") {
		t.MostFailed = &s.failed
	}
	return json.Marshal(t)
}

// send submits until the ticket is taken or refused: a repeat is the same ticket.
func (f *ticketFlags) send(ctx context.Context, body []byte) (*node.TicketStatus, error) {
	client := transport.NewClient(f.addr, 0)
	for deadline := time.Now().Add(time.Minute); ; {
		a, err := client.Call(ctx, adminTimeout, "POST", "/tickets", body)
		var st node.TicketStatus
		switch {
		case err == nil && (a.Status == 200 || a.Status == 201):
			return &st, json.Unmarshal(a.Body, &st)
		case err == nil && a.Status >= 400 && a.Status < 500 && a.Status != 429:
			return nil, fmt.Errorf("refused (%d): %s", a.Status, errorIn(a.Body))
		case time.Now().After(deadline) || ctx.Err() != nil:
			if err != nil {
				return nil, fmt.Errorf("%s does not answer: %v; whether the ticket was taken is not known, submitting it again is safe", f.addr, err)
			}
			return nil, fmt.Errorf("%s answers %d %s; the ticket was not taken, or that is not known: submitting it again is safe", f.addr, a.Status, errorIn(a.Body))
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

func errorIn(body []byte) string {
	var e struct {
		Error string `json:"error"`
	}
	json.Unmarshal(body, &e)
	return e.Error
}

// upload gives the workers the descriptions of a ticket's steps, as users do for any
// job, before the ticket is submitted.
func (f *ticketFlags) upload(ctx context.Context, to string, body []byte) error {
	var view node.ClassesView
	if err := call(ctx, f.addr, "GET", "/admin/classes", nil, &view); err != nil {
		return err
	}
	s, err := format.ParseTicket(body)
	if err != nil {
		return err
	}
	a, err := ticket.Admit(s, view.Classes, ticket.Limits{MaxValueBytes: 64 << 10})
	if err != nil {
		return err
	}
	ds, err := ticket.Describe(s, a)
	if err != nil {
		return err
	}
	client := transport.NewClient(to, 0)
	for _, d := range ds {
		data, err := json.Marshal(d)
		if err != nil {
			return err
		}
		switch ans, err := client.Call(ctx, adminTimeout, "POST", "/upload", data); {
		case err != nil:
			return fmt.Errorf("upload: %s does not answer: %v", to, err)
		case ans.Status != 200:
			return fmt.Errorf("upload: %s answers %d %s", to, ans.Status, bytes.TrimSpace(ans.Body))
		}
	}
	return nil
}

func (f *ticketFlags) get(ctx context.Context, id string) (*node.TicketStatus, error) {
	if !protocol.ValidJobID(id) {
		return nil, fmt.Errorf("%w: %q is not the id of a ticket: job- and digits", errUsage, id)
	}
	var st node.TicketStatus
	return &st, call(ctx, f.addr, "GET", "/tickets/"+id, nil, &st)
}

func (f *ticketFlags) status() *cobra.Command {
	var watch bool
	c := f.command("status ID", "Show a ticket and its steps", cobra.ExactArgs(1), true, func(cmd *cobra.Command, args []string) error {
		st, err := f.get(cmd.Context(), args[0])
		if err != nil {
			return err
		}
		return f.show(cmd, st, watch)
	})
	c.Flags().BoolVar(&watch, "watch", false, "wait for the end")
	return c
}

// errFailed marks a ticket that was watched to an end that is not done.
var errFailed = errors.New("the ticket is not done")

// show prints a ticket, and with watch each change until it is over.
func (f *ticketFlags) show(cmd *cobra.Command, st *node.TicketStatus, watch bool) error {
	out := cmd.OutOrStdout()
	last := ""
	for {
		var b bytes.Buffer
		if f.asJSON {
			data, err := json.Marshal(st)
			if err != nil {
				return err
			}
			b.Write(append(data, '\n'))
		} else {
			printTicket(&b, st)
		}
		if s := b.String(); s != last {
			fmt.Fprint(out, s)
			last = s
		}
		switch {
		case !watch || st.Status == protocol.JobDone:
			return nil
		case st.Status == protocol.JobFailed || st.Status == protocol.JobCancelled:
			return fmt.Errorf("%w: %s %s", errFailed, st.Status, st.Why)
		}
		select {
		case <-cmd.Context().Done():
			return cmd.Context().Err()
		case <-time.After(2 * time.Second):
		}
		next, err := f.get(cmd.Context(), st.ID)
		for tries := 0; err != nil && tries < 15 && cmd.Context().Err() == nil; tries++ {
			time.Sleep(2 * time.Second)
			next, err = f.get(cmd.Context(), st.ID)
		}
		if err != nil {
			return err
		}
		st = next
	}
}

func printTicket(out io.Writer, st *node.TicketStatus) {
	fmt.Fprintf(out, "%s %q (%s, %s): %s, %d of %d tasks done, %d running, %d failed\n", st.ID, st.Name, st.Class, st.Team, st.Status, st.Done, st.Tasks, st.Running, st.Failed)
	if st.Why != "" {
		fmt.Fprintln(out, "why:", st.Why)
	}
	if t := st.Terms; t != nil {
		fmt.Fprintf(out, "urgency %s%s, retries a task %s, failed tasks survived %s\n", t.Priority, askedText(t.RequestedPriority != "", t.RequestedPriority), granted(t.MaxRetries), granted(t.MaxFailedTasks))
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "STEP\tSTATUS\tTASKS\tDONE\tRUNNING\tFAILED\tAFTER\tWHY")
	for _, s := range st.Steps {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n", s.Step, s.Status, s.Tasks, s.Done, s.Running, s.Failed, strings.Join(s.After, ", "), s.Why)
	}
}

func granted(g protocol.GrantedLimit) string {
	return strconv.Itoa(g.Granted) + askedText(g.Requested != nil && *g.Requested != g.Granted, g.Requested)
}

func askedText(other bool, asked any) string {
	switch a := asked.(type) {
	case *int:
		if other {
			return fmt.Sprintf(" (asked %d)", *a)
		}
	case string:
		if other {
			return fmt.Sprintf(" (asked %s)", a)
		}
	}
	return ""
}

func (f *ticketFlags) tasks() *cobra.Command {
	var step string
	var since, limit int
	c := f.command("tasks ID", "Show a step's tasks with their parameters", cobra.ExactArgs(1), true, func(cmd *cobra.Command, args []string) error {
		if !protocol.ValidJobID(args[0]) {
			return fmt.Errorf("%w: %q is not the id of a ticket: job- and digits", errUsage, args[0])
		}
		var page node.TicketTasks
		path := fmt.Sprintf("/tickets/%s/tasks?step=%s&since=%d&limit=%d", args[0], url.QueryEscape(step), since, limit)
		if err := call(cmd.Context(), f.addr, "GET", path, nil, &page); err != nil {
			return err
		}
		if f.asJSON {
			return printJSON(cmd.OutOrStdout(), page)
		}
		w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "TASK\tSTATUS\tERRORS\tMACHINE\tPARAMETERS")
		for _, t := range page.Tasks {
			fmt.Fprintf(w, "%s/%d\t%s\t%d\t%s\t%s\n", page.Step, t.Task, t.Status, t.Errors, t.Machine, strings.TrimSpace(bindings(t.Parameters)))
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

func (f *ticketFlags) cancel() *cobra.Command {
	return f.command("cancel ID", "Cancel a ticket: no step starts any more, and what runs is stopped", cobra.ExactArgs(1), true, func(cmd *cobra.Command, args []string) error {
		if !protocol.ValidJobID(args[0]) {
			return fmt.Errorf("%w: %q is not the id of a ticket: job- and digits", errUsage, args[0])
		}
		var s protocol.JobStatus
		if err := call(cmd.Context(), f.addr, "POST", "/tickets/"+args[0]+"/cancel", struct{}{}, &s); err != nil {
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
	show := f.command("classes", "Show the classes of tickets", cobra.NoArgs, true, func(cmd *cobra.Command, _ []string) error {
		var v node.ClassesView
		if err := call(cmd.Context(), f.addr, "GET", "/admin/classes", nil, &v); err != nil {
			return err
		}
		return f.printClasses(cmd, v)
	})
	var remove bool
	set := f.command("set LOT [JSON]", "Set a class, or with --remove go back to the file's", cobra.RangeArgs(1, 2), true, func(cmd *cobra.Command, args []string) error {
		var v node.ClassesView
		if err := call(cmd.Context(), f.addr, "GET", "/admin/classes", nil, &v); err != nil {
			return err
		}
		path := "/admin/classes/" + url.PathEscape(args[0])
		switch {
		case remove && len(args) == 1:
			if err := call(cmd.Context(), f.addr, "DELETE", path+"?stamp="+strconv.FormatUint(v.Stamp, 10), nil, &v); err != nil {
				return err
			}
		case !remove && len(args) == 2 && json.Valid([]byte(args[1])):
			if err := call(cmd.Context(), f.addr, "PUT", path, node.SettingChange{Value: json.RawMessage(args[1]), Stamp: &v.Stamp}, &v); err != nil {
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
		c := v.Classes[lot]
		from := "file"
		if slices.Contains(v.Stored, lot) {
			from = "operators"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%g\t%g\t%g\t%s\t%s\n", lot, c.Urgency, strings.Join(c.Shapes, ","), c.Retries, c.Over, c.Failed, c.Tasks, c.VCPUs, c.Cards, c.MemGB, c.Bundle, from)
	}
	return w.Flush()
}
