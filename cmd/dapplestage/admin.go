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

// adminTimeout is how long an operator waits for a node.
const adminTimeout = 5 * time.Second

// callNode makes one request to a node's administration API.
func callNode(ctx context.Context, addr, method, path string, body any, into any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	a, err := transport.NewClient(addr, 0).Call(ctx, adminTimeout, method, path, data)
	if err != nil {
		return fmt.Errorf("%s does not answer: %v", addr, err)
	}
	if a.Status != 200 {
		var e struct {
			Error string `json:"error"`
		}
		json.Unmarshal(a.Body, &e)
		return fmt.Errorf("%s answers %d %s", addr, a.Status, e.Error)
	}
	return json.Unmarshal(a.Body, into)
}

// adminCommands are the operators' subcommands.
func adminCommands() []*cobra.Command {
	var addr string
	var asJSON bool
	flags := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVar(&addr, "addr", "", "a node's api_addr, as IP:PORT")
		c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
		pre := c.RunE
		c.RunE = func(cmd *cobra.Command, args []string) error {
			if addr == "" {
				return printError(fmt.Errorf("%w: --addr IP:PORT is needed", errUsage))
			}
			return printError(pre(cmd, args))
		}
		return c
	}
	status := flags(&cobra.Command{Use: "status --addr IP:PORT", Short: "Show what runs, what does not, and why", Args: checkArgs(cobra.NoArgs),
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
	settings := flags(&cobra.Command{Use: "settings --addr IP:PORT", Short: "Show the operators' settings", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return showSettings(cmd, addr, asJSON, "GET", "", nil) }})
	set := flags(&cobra.Command{Use: "set NAME VALUE --addr IP:PORT", Short: "Change one of the operators' settings", Args: checkArgs(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var v node.SettingsView
			if err := callNode(cmd.Context(), addr, "GET", "/admin/settings", nil, &v); err != nil {
				return err
			}
			value := json.RawMessage(args[1])
			if !json.Valid(value) {
				value, _ = json.Marshal(args[1]) // a bare word
			}
			if args[0] == "held_back" && !strings.HasPrefix(args[1], "[") {
				names := strings.FieldsFunc(args[1], func(r rune) bool { return r == ',' })
				value, _ = json.Marshal(append([]string{}, names...))
			}
			return showSettings(cmd, addr, asJSON, "PUT", "/"+args[0], node.SettingChange{Value: value, Stamp: &v.Stamp})
		}})
	return []*cobra.Command{status, settings, set}
}

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

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func printStatus(out io.Writer, s node.Status) {
	fmt.Fprintf(out, "%s, version %s: %d unfinished jobs; the state service answered %.1f s ago\n", s.Node, s.Version, s.Jobs, s.StateAgeS)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "\nSHARE\tHOLDER\tMACHINES\tEMPTY\tFREE GPUS\tSILENT\tPHASE\tUNHEARD")
	for _, x := range s.Shares {
		fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%g\t%d\t%s\t%d\n", x.Share, x.Holder, x.Machines, x.Empty, x.FreeGPUs, x.Silent, x.Phase, x.Unheard)
	}
	fmt.Fprintln(w, "\nTEAM\tSHARE\tJOBS\tWAITING\tPLACED\tGPUS\tMOST")
	for _, x := range s.Teams {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%g\t%g\n", x.Team, x.Share, x.Jobs, x.Waiting, x.Running, x.GPUs, x.MaxGPUs)
	}
	if len(s.Stuck) == 0 {
		fmt.Fprintln(w, "\nnothing is stuck")
		return
	}
	fmt.Fprintln(w, "\nSTUCK JOB\tTEAM\tCLASS\tWAITING\tSTARTING\tSINCE\tWHY")
	for _, x := range s.Stuck {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.0f s\t%s\n", x.Job, x.Team, x.Class, x.Waiting, x.Starting, x.SinceS, x.Why)
	}
	if s.StuckMore > 0 {
		fmt.Fprintf(w, "and %d more\n", s.StuckMore)
	}
}
