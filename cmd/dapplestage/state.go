package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/packed"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// readState reads all stored values of the cluster, at most perSecond requests a second, and
// returns them with their revision. It never writes.
func readState(ctx context.Context, addr, config string, perSecond float64) (*packed.State, uint64, error) {
	switch {
	case (addr == "") == (config == ""):
		return nil, 0, fmt.Errorf("%w: --state IP:PORT or --config FILE is needed, and not both", errUsage)
	case perSecond < 0.1 || perSecond > 1000:
		return nil, 0, fmt.Errorf("%w: --per-second %g is not within 0.1 and 1000", errUsage, perSecond)
	case config != "":
		cfg, err := protocol.ReadSettings(config)
		if err != nil {
			return nil, 0, err
		}
		addr = cfg.External.State
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil, 0, fmt.Errorf("%w: --state %q is not IP:PORT", errUsage, addr)
	}
	store := storage.NewStore(addr, protocol.StateSettings{RPS: perSecond / 0.9}, 1)
	items, revision, err := store.List(ctx, protocol.WatchedRoot)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", addr, err)
	}
	return packed.ReadState(items, packed.Slots), revision, nil
}

// stateCommand returns `dapplestage state`. It reads the state service directly, so it works
// while no controller runs. It never writes.
func stateCommand() *cobra.Command {
	var addr, config string
	var perSecond float64
	var asJSON bool
	c := &cobra.Command{Use: "state", Short: "Read what is stored in the state service; never writes", Args: checkArgs(cobra.NoArgs)}
	c.PersistentFlags().StringVar(&addr, "state", "", "the state service, as IP:PORT")
	c.PersistentFlags().StringVar(&config, "config", "", "instead of --state, a controller's settings file")
	c.PersistentFlags().Float64Var(&perSecond, "per-second", 5, "requests a second at most: it shares the service's rate with the controllers")
	newSubcommand := func(use, short string, run func(out io.Writer, s *packed.State, revision uint64) error) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: checkArgs(cobra.NoArgs), RunE: func(cmd *cobra.Command, _ []string) error {
			s, revision, err := readState(cmd.Context(), addr, config, perSecond)
			if err == nil {
				err = run(cmd.OutOrStdout(), s, revision)
			}
			return printError(err)
		}}
	}
	inspect := newSubcommand("inspect", "What there is: values, logs, inboxes, jobs", func(out io.Writer, s *packed.State, revision uint64) error {
		v := viewState(s, revision)
		if asJSON {
			return printJSON(out, v)
		}
		return v.print(out)
	})
	inspect.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.AddCommand(inspect, newSubcommand("verify", "What is damaged, and where; exits with 1 if anything is", func(out io.Writer, s *packed.State, revision uint64) error {
		for _, p := range s.Problems {
			fmt.Fprintf(out, "%s: %s\n", sanitize(p.Key), sanitize(p.Reason))
		}
		fmt.Fprintf(out, "%d jobs read as of revision %d, %d problems\n", len(s.Jobs), revision, len(s.Problems))
		if len(s.Problems) > 0 {
			return fmt.Errorf("%d problems", len(s.Problems))
		}
		return nil
	}), newSubcommand("export", "Open jobs, one JSON line each, with the tasks that have a machine", func(out io.Writer, s *packed.State, _ uint64) error {
		encoder := json.NewEncoder(out)
		for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
			if err := encoder.Encode(s.Jobs[id]); err != nil {
				return err
			}
		}
		return nil
	}))
	return c
}

// stateView summarizes what is stored in the state service.
type stateView struct {
	Revision     uint64                        `json:"revision"`
	AsOf         int64                         `json:"as_of_ms"`
	Kinds        map[string]packed.ValueTotals `json:"kinds"`
	Logs         map[int]ringView              `json:"logs"`
	Inboxes      map[string]ringView           `json:"inboxes"`
	Jobs         int                           `json:"jobs"`
	WithRecord   int                           `json:"in_records"` // jobs that have a record of their own
	Tasks        map[string]int                `json:"tasks"`
	EntriesEmpty bool                          `json:"entries_empty"` // no entry mentions a job, so an earlier version may be started
	Problems     int                           `json:"problems"`
}

// ringView summarizes a log or an inbox.
type ringView struct {
	Last uint64 `json:"last"`
	Jobs int    `json:"jobs"`
}

// viewState counts what is stored.
func viewState(state *packed.State, revision uint64) *stateView {
	view := &stateView{Revision: revision, AsOf: time.Now().UnixMilli(), Kinds: state.ValuesByKind, Logs: map[int]ringView{}, Inboxes: map[string]ringView{}, Jobs: len(state.Jobs), Tasks: map[string]int{}, EntriesEmpty: true, Problems: len(state.Problems)}
	for partition, ring := range state.Logs {
		view.Logs[partition], view.EntriesEmpty = ringView{ring.LastSeq(), ring.JobCount()}, view.EntriesEmpty && ring.Empty()
	}
	for node, ring := range state.Inboxes {
		view.Inboxes[node], view.EntriesEmpty = ringView{ring.LastSeq(), ring.JobCount()}, view.EntriesEmpty && ring.Empty()
	}
	for _, j := range state.Jobs {
		if j.HasRecord {
			view.WithRecord++
		}
		view.Tasks["done"] += j.Done
		view.Tasks["placed"] += j.Placed
		view.Tasks["waiting"] += j.Waiting
	}
	return view
}

// print prints the view as tables.
func (v *stateView) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "revision %d\n\nKIND\tVALUES\tBYTES\n", v.Revision)
	for _, kind := range slices.Sorted(maps.Keys(v.Kinds)) {
		fmt.Fprintf(w, "%s\t%d\t%d\n", sanitize(kind), v.Kinds[kind].Values, v.Kinds[kind].Bytes)
	}
	fmt.Fprintln(w, "\nRING\tLAST ENTRY\tJOBS MENTIONED")
	for _, partition := range slices.Sorted(maps.Keys(v.Logs)) {
		fmt.Fprintf(w, "log of share %d\t%d\t%d\n", partition, v.Logs[partition].Last, v.Logs[partition].Jobs)
	}
	for _, node := range slices.Sorted(maps.Keys(v.Inboxes)) {
		fmt.Fprintf(w, "inbox of %s\t%d\t%d\n", sanitize(node), v.Inboxes[node].Last, v.Inboxes[node].Jobs)
	}
	fmt.Fprintf(w, "\n%d jobs open, %d of them in records of their own; tasks: %d placed, %d waiting, %d done\n", v.Jobs, v.WithRecord, v.Tasks["placed"], v.Tasks["waiting"], v.Tasks["done"])
	if v.EntriesEmpty {
		fmt.Fprintln(w, "entries tell of no job: an earlier version may be started")
	}
	if v.Problems > 0 {
		fmt.Fprintf(w, "%d problems: see dapplestage state verify\n", v.Problems)
	}
	return w.Flush()
}
