package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/node"
	"dapplestage.example/dapplestage/internal/transport"
)

// adminTimeout bounds one request of a command to a node.
const adminTimeout = 5 * time.Second

// callNode makes one request to a node's HTTP API and decodes the answer into into. Any status
// but 200 is an error.
func callNode(ctx context.Context, addr, method, path string, body any, into any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	answer, err := transport.NewClient(addr, 0).Call(ctx, adminTimeout, method, path, data)
	if err != nil {
		return fmt.Errorf("%s does not answer: %v", addr, err)
	}
	if answer.Status != 200 {
		var failure struct {
			Error string `json:"error"`
		}
		json.Unmarshal(answer.Body, &failure)
		return fmt.Errorf("%s answers %d %s", addr, answer.Status, failure.Error)
	}
	return json.Unmarshal(answer.Body, into)
}

// adminCommands returns the operators' subcommands status, settings and set.
func adminCommands() []*cobra.Command {
	var addr string
	var asJSON bool
	withFlags := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVar(&addr, "addr", "", "a node's api_addr, as IP:PORT")
		c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
		run := c.RunE
		c.RunE = func(cmd *cobra.Command, args []string) error {
			if addr == "" {
				return printError(fmt.Errorf("%w: --addr IP:PORT is needed", errUsage))
			}
			return printError(run(cmd, args))
		}
		return c
	}
	status := withFlags(&cobra.Command{Use: "status --addr IP:PORT", Short: "Show what runs, what does not, and why", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s node.Status
			if err := callNode(cmd.Context(), addr, "GET", "/admin/status", nil, &s); err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), s)
			}
			printStatus(cmd.OutOrStdout(), s)
			return nil
		}})
	settings := withFlags(&cobra.Command{Use: "settings --addr IP:PORT", Short: "Show the operators' settings", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return showSettings(cmd, addr, asJSON, "GET", "", nil) }})
	set := withFlags(&cobra.Command{Use: "set NAME VALUE --addr IP:PORT", Short: "Change one of the operators' settings", Args: checkArgs(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var v node.SettingsView
			if err := callNode(cmd.Context(), addr, "GET", "/admin/settings", nil, &v); err != nil {
				return err
			}
			value := json.RawMessage(args[1])
			if !json.Valid(value) {
				value, _ = json.Marshal(args[1]) // a bare word is a JSON string without quotes
			}
			if args[0] == "held_back" && !strings.HasPrefix(args[1], "[") {
				names := strings.FieldsFunc(args[1], func(r rune) bool { return r == ',' })
				value, _ = json.Marshal(append([]string{}, names...))
			}
			return showSettings(cmd, addr, asJSON, "PUT", "/"+args[0], node.SettingChange{Value: value, Stamp: &v.Stamp})
		}})
	return []*cobra.Command{status, settings, set}
}

// showSettings makes a request on the settings, to read or to change them, and prints the
// settings that the node answers with.
func showSettings(cmd *cobra.Command, addr string, asJSON bool, method, path string, body any) error {
	if strings.ContainsAny(path[min(1, len(path)):], "/?# ") {
		return errors.New("no such setting")
	}
	var v node.SettingsView
	if err := callNode(cmd.Context(), addr, method, "/admin/settings"+path, body, &v); err != nil {
		return err
	}
	if asJSON {
		return printJSON(cmd.OutOrStdout(), v)
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	var values map[string]json.RawMessage
	data, err := json.Marshal(v.Settings)
	if err == nil {
		err = json.Unmarshal(data, &values)
	}
	for _, name := range node.SettingNames() {
		fmt.Fprintf(w, "%s\t%s\t(%s)\n", name, values[name], v.Bounds[name])
	}
	w.Flush()
	return err
}

// printJSON prints a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// printStatus prints a node's partitions, teams and stuck jobs as tables.
func printStatus(out io.Writer, status node.Status) {
	fmt.Fprintf(out, "%s, version %s: %d unfinished jobs; the state service answered %.1f s ago\n", status.Node, status.Version, status.Jobs, status.StateAgeS)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "\nSHARE\tHOLDER\tMACHINES\tEMPTY\tFREE GPUS\tSILENT\tPHASE\tUNHEARD")
	for _, partition := range status.Shares {
		fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%g\t%d\t%s\t%d\n", partition.Share, partition.Holder, partition.Machines, partition.Empty, partition.FreeGPUs, partition.Silent, partition.Phase, partition.Unheard)
	}
	fmt.Fprintln(w, "\nTEAM\tSHARE\tJOBS\tWAITING\tPLACED\tGPUS\tMOST")
	for _, team := range status.Teams {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%g\t%g\n", team.Team, team.Share, team.Jobs, team.Waiting, team.Running, team.GPUs, team.MaxGPUs)
	}
	if len(status.Stuck) == 0 {
		fmt.Fprintln(w, "\nnothing is stuck")
		return
	}
	fmt.Fprintln(w, "\nSTUCK JOB\tTEAM\tCLASS\tWAITING\tSTARTING\tSINCE\tWHY")
	for _, job := range status.Stuck {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.0f s\t%s\n", job.Job, job.Team, job.Class, job.Waiting, job.Starting, job.SinceS, job.Why)
	}
	if status.StuckMore > 0 {
		fmt.Fprintf(w, "and %d more\n", status.StuckMore)
	}
}
