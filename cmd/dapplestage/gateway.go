package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/gateway"
	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
	"dapplestage.example/dapplestage/internal/storage"
	"dapplestage.example/dapplestage/internal/storage/segments"
	"dapplestage.example/dapplestage/internal/transport"
	"dapplestage.example/dapplestage/internal/transport/keys"
	"dapplestage.example/dapplestage/internal/transport/rpc"
)

// gatewayCommand returns `dapplestage gateway`, which runs a member of a gateway, with the
// subcommands for operators.
func gatewayCommand() *cobra.Command {
	var config string
	run := &cobra.Command{
		Use: "gateway --config FILE", Short: "Run a member of a gateway between sites: a gateway, or a site's daemon", Args: checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if config == "" {
				return printError(fmt.Errorf("%w: --config FILE is needed", errUsage))
			}
			settings, siteSettings, err := wire.ReadSettings(config)
			if err != nil {
				return printError(err)
			}
			return printError(serveMember(settings, siteSettings))
		},
	}
	run.Flags().StringVar(&config, "config", "", "the member's file, see docs/gateway-operations.md")
	check := &cobra.Command{Use: "check FILE", Short: "Check a member's file and its keys", Args: checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, _, err := wire.ReadSettings(args[0])
			if err != nil {
				return printError(err)
			}
			keyring, err := keys.Open(keyFiles(settings), settings.Member, time.Now)
			if err != nil {
				return printError(err)
			}
			remaining, err := keyring.RemainingValidity()
			if err != nil {
				return printError(err)
			}
			cfg := memberConfig(settings)
			fmt.Fprintf(cmd.OutOrStdout(), "fine; a lost site's jobs are handed over within %.1f s; the certificate is valid for %d days\n",
				gateway.HandoffBound(cfg).Seconds(), int(remaining.Hours()/24))
			return nil
		}}
	run.AddCommand(append(gatewayAdminCommands(), check)...)
	return run
}

// keyFiles returns the paths of a member's key files. A path that the settings leave out is
// the default one in the directory of keys.
func keyFiles(settings *wire.Settings) keys.Files {
	files := keys.Files{Member: settings.ResolvePath(settings.Keys.Member), Authority: settings.ResolvePath(settings.Keys.Authority), Revoked: settings.ResolvePath(settings.Keys.Revoked)}
	if settings.Keys.Dir != "" {
		defaults := keys.FilesIn(settings.ResolvePath(settings.Keys.Dir), settings.Member)
		for _, path := range []struct{ to, from *string }{{&files.Member, &defaults.Member}, {&files.Authority, &defaults.Authority}, {&files.Revoked, &defaults.Revoked}} {
			if *path.to == "" {
				*path.to = *path.from
			}
		}
	}
	return files
}

// memberConfig converts a member's settings to the gateway's configuration.
func memberConfig(settings *wire.Settings) gateway.Config {
	seconds := func(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
	cfg := gateway.Config{LeaseTime: seconds(settings.LeaseS), StopTime: gateway.StopBound(seconds(settings.ControllersS), seconds(settings.WorkersLeaseS)), MaxInFlight: settings.InFlight,
		Route: gateway.RouteConfig{JobsPerSecond: settings.Route.PerSecond, RampS: settings.Route.RampS, HintMaxAgeS: settings.Route.StaleS, MaxOpenPerSite: settings.Route.Open, MoveAfterS: settings.Route.MoveAfterS}}
	for i, m := range settings.Members {
		cfg.Members = append(cfg.Members, gateway.Member{Name: m.Name, Site: m.Site})
		if m.Name == settings.Member {
			cfg.Self = i
		}
	}
	return cfg
}

// member is the connection of a running gateway member to the other members.
type member struct {
	keyring     *keys.Keyring
	peers       []*rpc.Peer    // by member index
	indexByName map[string]int // member index by name
	checksum    uint64         // of the settings that must be equal on all members
	log         *slog.Logger
}

// memberState is a member's open store with the contents read at the start, and, on a site,
// its connections to the site's controllers.
type memberState struct {
	store         gateway.Store
	items         []wire.Item
	startNumber   uint32       // increases with each start of the member
	siteCaller    gateway.Site // calls the site's controllers; nil at a gateway
	leaseListener net.Listener // serves the lease to the site's controllers; nil at a gateway
	metrics       []prometheus.Collector
	close         func()
}

// serveMember runs a member until a signal stops it or one of its servers fails.
func serveMember(settings *wire.Settings, siteSettings *protocol.Settings) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})).With("member", settings.Member)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	keyring, err := keys.Open(keyFiles(settings), settings.Member, time.Now)
	if err != nil {
		return err
	}
	// Open the addresses first, so that an error in them is reported before the store is read.
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return err
	}
	api, err := net.Listen("tcp", settings.API)
	if err != nil {
		return err
	}
	state, err := openMemberState(ctx, settings, siteSettings, log)
	if err != nil {
		return err
	}
	defer state.close()
	m := newMember(settings, keyring, log)
	cfg := memberConfig(settings)
	hash := fnv.New64a()
	hash.Write([]byte(settings.Member))
	daemon := gateway.NewDaemon(ctx, cfg, state.startNumber, state.items, state.store, m.send, state.siteCaller, hash.Sum64()^uint64(time.Now().UnixNano()), log)
	serveInBackground := func(f func() error) {
		go func() {
			if err := f(); err != nil {
				cancel(err)
			}
		}()
	}
	for i, other := range settings.Members {
		if i != cfg.Self {
			serveInBackground(func() error { return m.peers[i].Run(ctx, other.Addr, keyring, log) })
		}
	}
	serveInBackground(func() error { return m.receive(ctx, listener, cfg.Self, daemon) })
	if state.leaseListener != nil {
		serveInBackground(func() error {
			return transport.Serve(ctx, state.leaseListener, daemon.LeaseHandler(time.Duration(settings.ControllersS*float64(time.Second))))
		})
	}
	serveInBackground(func() error {
		return transport.Serve(ctx, api, daemon.API(append(keyMetrics(keyring, m.peers), state.metrics...)...))
	})
	log.Info("serving", "api", settings.API, "members", len(settings.Members), "site", settings.IsSite(), "registers", len(state.items), "start", state.startNumber, "version", version)
	return daemon.Run()
}

// newMember returns a member with a peer for each member of the settings.
func newMember(settings *wire.Settings, keyring *keys.Keyring, log *slog.Logger) *member {
	m := &member{keyring: keyring, checksum: settings.Checksum(), indexByName: map[string]int{}, log: log}
	for i, other := range settings.Members {
		m.indexByName[other.Name] = i
		m.peers = append(m.peers, rpc.NewPeer(other.Name))
	}
	return m
}

// send sends a message to the member with index to.
func (m *member) send(to int, envelope *wire.Envelope) {
	envelope.ConfigChecksum = m.checksum
	m.peers[to].Send(wire.Encode(envelope))
}

// receive passes messages of the other members to the daemon until ctx ends. It refuses
// messages of members whose settings differ in what all must agree on.
func (m *member) receive(ctx context.Context, listener net.Listener, self int, daemon *gateway.Daemon) error {
	isOther := func(name string) bool {
		i, ok := m.indexByName[name]
		return ok && i != self
	}
	return rpc.Serve(ctx, listener, m.keyring, isOther, m.log, func(from string, data []byte) error {
		if len(data) == 0 {
			return nil
		}
		envelope, err := wire.Decode(data)
		if err != nil {
			return err
		}
		if envelope.ConfigChecksum != m.checksum {
			return fmt.Errorf("%s has other members or times in its file", from)
		}
		daemon.Receive(m.indexByName[from], envelope)
		return nil
	})
}

// openMemberState opens a member's store: for a site a log in its state service, for a gateway
// a journal on disk.
func openMemberState(ctx context.Context, settings *wire.Settings, siteSettings *protocol.Settings, log *slog.Logger) (*memberState, error) {
	if !settings.IsSite() {
		journal, items, startNumber, err := gateway.OpenJournal(settings.ResolvePath(settings.Journal.Path), settings.Member)
		if err != nil {
			return nil, err
		}
		return &memberState{store: gateway.JournalStore{Journal: journal}, items: items, startNumber: startNumber, close: func() { journal.Close() }}, nil
	}
	leaseListener, err := net.Listen("tcp", settings.Site.Local)
	if err != nil {
		return nil, err
	}
	state := &memberState{leaseListener: leaseListener, siteCaller: gateway.NewControllers(settings.Site.Controllers, log), close: func() {}}
	segmentLog, items, startNumber, err := openSiteLog(ctx, settings, siteSettings, log)
	if err != nil {
		return nil, err
	}
	state.store, state.items, state.startNumber = gateway.SegmentStore{Log: segmentLog}, items, startNumber
	state.metrics = segmentMetrics(segmentLog)
	return state, nil
}

// openSiteLog takes over the site's log in its state service. While the service is not
// reachable or refuses requests, it retries each second.
func openSiteLog(ctx context.Context, settings *wire.Settings, siteSettings *protocol.Settings, log *slog.Logger) (*segments.Log, []wire.Item, uint32, error) {
	params := siteSettings.Params
	store := storage.NewStore(siteSettings.External.State, params.State, 2*params.Nodes)
	limits := segments.Limits{ValueKB: params.State.ValueKB, TxnOps: params.State.TxnOps, ChangesPerS: settings.Site.Part * params.State.WriteRPS}
	for {
		segmentLog, entries, startNumber, err := segments.Open(ctx, store, settings.Member, limits, log)
		if err == nil {
			items, err := gateway.DecodeEntries(entries)
			if err != nil {
				return nil, nil, 0, err
			}
			return segmentLog, items, startNumber, nil
		}
		if !errors.Is(err, storage.ErrUnknown) && !errors.Is(err, storage.ErrRefused) {
			return nil, nil, 0, err
		}
		log.Warn("state service not reached", "why", err)
		select {
		case <-ctx.Done():
			return nil, nil, 0, ctx.Err()
		case <-time.After(time.Second):
		}
	}
}

// segmentMetrics returns the metrics of what a site's log uses of the state service.
func segmentMetrics(segmentLog *segments.Log) []prometheus.Collector {
	usage := segmentLog.Usage()
	counter := func(name, help string, labels prometheus.Labels, value *atomic.Int64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, func() float64 { return float64(value.Load()) })
	}
	const changes, changesHelp = "dapplestage_gateway_store_changes_total", "Changes made to the site's state service."
	const bytes, bytesHelp = "dapplestage_gateway_store_bytes_total", "Encoded size of the registers written to the site's state service: new ones, and ones written again by compaction."
	return []prometheus.Collector{
		counter(changes, changesHelp, prometheus.Labels{"kind": "put"}, &usage.Puts),
		counter(changes, changesHelp, prometheus.Labels{"kind": "delete"}, &usage.Deletes),
		counter(bytes, bytesHelp, prometheus.Labels{"kind": "new"}, &usage.NewBytes),
		counter(bytes, bytesHelp, prometheus.Labels{"kind": "moved"}, &usage.MovedBytes),
		counter("dapplestage_gateway_store_refused_total", "Transactions that the state service refused or did not answer.", nil, &usage.Refused),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "dapplestage_gateway_store_changes_limit", Help: "Changes a second that this member may make to the site's state service."}, segmentLog.ChangesPerSecond),
	}
}

// keyMetrics returns the metrics of the member's certificate and connections.
func keyMetrics(keyring *keys.Keyring, peers []*rpc.Peer) []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "dapplestage_gateway_certificates_refused_total", Help: "Certificates of others that were refused."},
			func() float64 { return float64(keyring.Refused()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "dapplestage_gateway_certificate_left_seconds", Help: "How long this member's certificate is valid."},
			func() float64 {
				remaining, err := keyring.RemainingValidity()
				if err != nil {
					return -1
				}
				return remaining.Seconds()
			}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "dapplestage_gateway_messages_dropped_total", Help: "Messages to other members that were not sent."},
			func() float64 {
				dropped := int64(0)
				for _, peer := range peers {
					dropped += peer.Dropped()
				}
				return float64(dropped)
			}),
	}
}

// gatewayAdminCommands returns the operators' subcommands on running members.
func gatewayAdminCommands() []*cobra.Command {
	var addr string
	var asJSON bool
	newCommand := func(use, short string, args cobra.PositionalArgs, run func(cmd *cobra.Command, args []string) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: checkArgs(args), RunE: func(cmd *cobra.Command, args []string) error {
			if addr == "" {
				return printError(fmt.Errorf("%w: --addr IP:PORT is needed", errUsage))
			}
			return printError(run(cmd, args))
		}}
		c.Flags().StringVar(&addr, "addr", "", "a member's api_addr, as IP:PORT")
		c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
		return c
	}
	show := func(cmd *cobra.Command, status gateway.Status) error {
		if asJSON {
			return printJSON(cmd.OutOrStdout(), status)
		}
		printMembers(cmd.OutOrStdout(), status)
		return nil
	}
	drain := func(on bool) func(cmd *cobra.Command, _ []string) error {
		return func(cmd *cobra.Command, _ []string) error {
			var status gateway.Status
			if err := callNode(cmd.Context(), addr, "PUT", "/admin/gateway/drained", gateway.DrainChange{On: &on}, &status); err != nil {
				return err
			}
			return show(cmd, status)
		}
	}
	return []*cobra.Command{
		newCommand("status --addr IP:PORT", "Show members, leases, jobs and what is not known", cobra.NoArgs, func(cmd *cobra.Command, _ []string) error {
			var status gateway.Status
			if err := callNode(cmd.Context(), addr, "GET", "/admin/gateway/status", nil, &status); err != nil {
				return err
			}
			return show(cmd, status)
		}),
		newCommand("job ID --addr IP:PORT", "Show which site holds a job", cobra.ExactArgs(1), func(cmd *cobra.Command, args []string) error {
			if !protocol.ValidJobID(args[0]) {
				return fmt.Errorf("%q is no job id: job- and digits", args[0])
			}
			var v gateway.JobView
			if err := callNode(cmd.Context(), addr, "GET", "/admin/gateway/jobs/"+args[0], nil, &v); err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), v)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s, held by %s under claim %d, agreed %v, stopped there %v\n", v.ID, v.Final, v.Owner, v.Epoch, v.Agreed, v.Stopped)
			return nil
		}),
		newCommand("drain --addr IP:PORT", "Hand the jobs of a site over and give it none (its own daemon's address)", cobra.NoArgs, drain(true)),
		newCommand("undrain --addr IP:PORT", "Take a site back into service", cobra.NoArgs, drain(false)),
	}
}

// printMembers prints a gateway member's status and its view of all members.
func printMembers(out io.Writer, status gateway.Status) {
	fmt.Fprintf(out, "%s: %d open jobs, %d ended; %d changes and %d handoffs under way, %d undecided\n", status.Member, status.OpenJobs, status.FinalJobs, status.ChangesInFlight, status.Handoffs, status.Undecided)
	if !status.Majority {
		fmt.Fprintln(out, "TOO FEW MEMBERS ARE HEARD: nothing can be decided, users get 503")
	}
	if status.Store != "ok" {
		fmt.Fprintln(out, "STORE:", status.Store)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "\nMEMBER\tSTATE\tSINCE\tHOLDS\tTO BE TOLD\tDRAINED\tWAITING\tFREE GPUS\tAS OF\tLEASE")
	for _, m := range status.Members {
		if !m.Site {
			fmt.Fprintf(w, "%s\t%s\t%g s\t\t\t\t\t\t\t\n", m.Name, m.State, m.SilentS)
			continue
		}
		load, age := "unknown\tunknown", "never"
		if m.HintAgeS >= 0 {
			age = fmt.Sprintf("%g s ago", m.HintAgeS)
			if m.State != "unknown" {
				load = fmt.Sprintf("%d\t%g", m.WaitingTasks, m.FreeGPUs)
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%g s\t%d\t%d\t%s\t%s\t%s\t%s\n", m.Name, m.State, m.SilentS, m.OwnedJobs, m.UnackedNotices, m.Drained, load, age, m.Lease)
	}
}

// keysCommand returns `dapplestage keys`, which manages the members' certificates.
func keysCommand() *cobra.Command {
	var dir string
	var days int
	root := &cobra.Command{Use: "keys", Short: "Make, show, renew and revoke the certificates of a gateway's members"}
	addCommand := func(use, short string, args cobra.PositionalArgs, run func(cmd *cobra.Command, args []string) error) {
		c := &cobra.Command{Use: use, Short: short, Args: checkArgs(args), RunE: func(cmd *cobra.Command, args []string) error {
			if days < 1 || days > 36500 {
				return printError(fmt.Errorf("%w: --days %d is not within 1 to 36500", errUsage, days))
			}
			return printError(run(cmd, args))
		}}
		root.AddCommand(c)
	}
	root.PersistentFlags().StringVar(&dir, "dir", "keys", "the directory of keys")
	root.PersistentFlags().IntVar(&days, "days", keys.MemberDays, "validity of a member's certificate")
	issue := func(cmd *cobra.Command, names []string) error {
		for _, n := range names {
			if err := keys.Issue(dir, n, time.Now(), days); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "made", keys.MemberFile(dir, n))
		}
		return nil
	}
	addCommand("init MEMBER...", "Make an authority, and certificates for members", cobra.ArbitraryArgs, func(cmd *cobra.Command, args []string) error {
		if err := keys.MakeAuthority(dir, time.Now(), keys.AuthorityDays); err != nil {
			return err
		}
		return issue(cmd, args)
	})
	addCommand("issue MEMBER...", "Make certificates for members, or new ones in their place", cobra.MinimumNArgs(1), issue)
	addCommand("renew MEMBER...", "The same as issue: members take renewed files up by themselves", cobra.MinimumNArgs(1), issue)
	addCommand("revoke MEMBER", "Refuse a member's present certificate from now on", cobra.ExactArgs(1), func(cmd *cobra.Command, args []string) error {
		return keys.Revoke(dir, args[0], time.Now())
	})
	addCommand("show", "Show the certificates", cobra.NoArgs, func(cmd *cobra.Command, _ []string) error {
		lines, err := keys.Describe(dir, time.Now())
		for _, l := range lines {
			fmt.Fprintln(cmd.OutOrStdout(), l)
		}
		return err
	})
	return root
}
