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

// gatewayCommand runs and operates the members of a gateway.
func gatewayCommand() *cobra.Command {
	var config string
	run := &cobra.Command{
		Use: "gateway --config FILE", Short: "Run a member of a gateway between sites: a gateway, or a site's daemon", Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if config == "" {
				return failed(fmt.Errorf("%w: --config FILE is needed", errUsage))
			}
			s, site, err := wire.ReadSettings(config)
			if err != nil {
				return failed(err)
			}
			return failed(serveMember(s, site))
		},
	}
	run.Flags().StringVar(&config, "config", "", "the member's file, see docs/gateway-operations.md")
	check := &cobra.Command{Use: "check FILE", Short: "Check a member's file and its keys", Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, _, err := wire.ReadSettings(args[0])
			if err != nil {
				return failed(err)
			}
			ring, err := keys.Open(keyFiles(s), s.Member, time.Now)
			if err != nil {
				return failed(err)
			}
			left, err := ring.RemainingValidity()
			if err != nil {
				return failed(err)
			}
			c := memberConfig(s)
			fmt.Fprintf(cmd.OutOrStdout(), "fine; a lost site's jobs are handed over within %.1f s; the certificate is valid for %d days\n",
				gateway.HandoffBound(c).Seconds(), int(left.Hours()/24))
			return nil
		}}
	run.AddCommand(append(gatewayAdmin(), check)...)
	return run
}

func keyFiles(s *wire.Settings) keys.Files {
	f := keys.Files{Member: s.ResolvePath(s.Keys.Member), Authority: s.ResolvePath(s.Keys.Authority), Revoked: s.ResolvePath(s.Keys.Revoked)}
	if s.Keys.Dir != "" {
		in := keys.FilesIn(s.ResolvePath(s.Keys.Dir), s.Member)
		for _, p := range []struct{ to, from *string }{{&f.Member, &in.Member}, {&f.Authority, &in.Authority}, {&f.Revoked, &in.Revoked}} {
			if *p.to == "" {
				*p.to = *p.from
			}
		}
	}
	return f
}

func memberConfig(s *wire.Settings) gateway.Config {
	second := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	c := gateway.Config{LeaseTime: second(s.LeaseS), StopTime: gateway.StopBound(second(s.ControllersS), second(s.WorkersLeaseS)), MaxInFlight: s.InFlight,
		Route: gateway.RouteConfig{JobsPerSecond: s.Route.PerSecond, RampS: s.Route.RampS, HintMaxAgeS: s.Route.StaleS, MaxOpenPerSite: s.Route.Open, MoveAfterS: s.Route.MoveAfterS}}
	for i, m := range s.Members {
		c.Members = append(c.Members, gateway.Member{Name: m.Name, Site: m.Site})
		if m.Name == s.Member {
			c.Self = i
		}
	}
	return c
}

// member is a member of a gateway as it runs.
type member struct {
	ring     *keys.Keyring
	peers    []*rpc.Peer    // by number
	numbers  map[string]int // of the members, by name
	checksum uint64         // of what all members must agree on
	log      *slog.Logger
}

// stored is what a member has in its store, and what it is to be run with.
type stored struct {
	store  gateway.Store
	items  []wire.Item
	start  uint32       // higher with each start of the member
	caller gateway.Site // calls the site's controllers; nil at a gateway
	local  net.Listener // where the site's controllers ask for the lease; nil at a gateway
	close  func()
}

// serveMember runs a member until it is told to stop.
func serveMember(s *wire.Settings, site *protocol.Settings) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})).With("member", s.Member)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	ring, err := keys.Open(keyFiles(s), s.Member, time.Now)
	if err != nil {
		return err
	}
	// What others connect to is opened first: a mistake shows before anything is read.
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	api, err := net.Listen("tcp", s.API)
	if err != nil {
		return err
	}
	st, err := openStored(ctx, s, site, log)
	if err != nil {
		return err
	}
	defer st.close()
	m := newMember(s, ring, log)
	cfg := memberConfig(s)
	h := fnv.New64a()
	h.Write([]byte(s.Member))
	d := gateway.NewDaemon(ctx, cfg, st.start, st.items, st.store, m.send, st.caller, h.Sum64()^uint64(time.Now().UnixNano()), log)
	serve := func(f func() error) {
		go func() {
			if err := f(); err != nil {
				fail(err)
			}
		}()
	}
	for i, other := range s.Members {
		if i != cfg.Self {
			serve(func() error { return m.peers[i].Run(ctx, other.Addr, ring, log) })
		}
	}
	serve(func() error { return m.receive(ctx, ln, cfg.Self, d) })
	if st.local != nil {
		serve(func() error {
			return transport.Serve(ctx, st.local, d.LeaseHandler(time.Duration(s.ControllersS*float64(time.Second))))
		})
	}
	serve(func() error { return transport.Serve(ctx, api, d.API(keyMetrics(ring, m.peers)...)) })
	log.Info("serving", "api", s.API, "members", len(s.Members), "site", s.IsSite(), "registers", len(st.items), "start", st.start, "version", version)
	return d.Run()
}

func newMember(s *wire.Settings, ring *keys.Keyring, log *slog.Logger) *member {
	m := &member{ring: ring, checksum: s.Checksum(), numbers: map[string]int{}, log: log}
	for i, other := range s.Members {
		m.numbers[other.Name] = i
		m.peers = append(m.peers, rpc.NewPeer(other.Name))
	}
	return m
}

// send sends a message to a member.
func (m *member) send(to int, e *wire.Envelope) {
	e.ConfigChecksum = m.checksum
	m.peers[to].Send(wire.Encode(e))
}

// receive takes messages of the other members until ctx ends.
func (m *member) receive(ctx context.Context, ln net.Listener, self int, d *gateway.Daemon) error {
	isOther := func(name string) bool {
		i, ok := m.numbers[name]
		return ok && i != self
	}
	return rpc.Serve(ctx, ln, m.ring, isOther, m.log, func(from string, data []byte) error {
		if len(data) == 0 {
			return nil
		}
		e, err := wire.Decode(data)
		if err != nil {
			return err
		}
		if e.ConfigChecksum != m.checksum {
			return fmt.Errorf("%s has other members or times in its file", from)
		}
		d.Receive(m.numbers[from], e)
		return nil
	})
}

// openStored opens a member's store: a site's log in its state service, or a gateway's
// journal.
func openStored(ctx context.Context, s *wire.Settings, site *protocol.Settings, log *slog.Logger) (*stored, error) {
	if !s.IsSite() {
		j, items, start, err := gateway.OpenJournal(s.ResolvePath(s.Journal.Path), s.Member)
		if err != nil {
			return nil, err
		}
		return &stored{store: gateway.JournalStore{Journal: j}, items: items, start: start, close: func() { j.Close() }}, nil
	}
	local, err := net.Listen("tcp", s.Site.Local)
	if err != nil {
		return nil, err
	}
	st := &stored{local: local, caller: gateway.NewControllers(s.Site.Controllers, log), close: func() {}}
	st.store, st.items, st.start, err = openSite(ctx, s, site, log)
	return st, err
}

// openSite takes the site's log in its state service over; it waits for the service.
func openSite(ctx context.Context, s *wire.Settings, site *protocol.Settings, log *slog.Logger) (gateway.Store, []wire.Item, uint32, error) {
	p := site.Params
	svc := storage.NewStore(site.External.State, p.State, 2*p.Nodes)
	lim := segments.Limits{ValueKB: p.State.ValueKB, TxnOps: p.State.TxnOps, ChangesPerS: s.Site.Part * p.State.WriteRPS}
	for {
		l, entries, start, err := segments.Open(ctx, svc, s.Member, lim, log)
		if err == nil {
			items, err := gateway.DecodeEntries(entries)
			if err != nil {
				return nil, nil, 0, err
			}
			return gateway.SegmentStore{Log: l}, items, start, nil
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

func keyMetrics(ring *keys.Keyring, peers []*rpc.Peer) []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "dapplestage_gateway_certificates_refused_total", Help: "Certificates of others that were refused."},
			func() float64 { return float64(ring.Refused()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "dapplestage_gateway_certificate_left_seconds", Help: "How long this member's certificate is valid."},
			func() float64 {
				left, err := ring.RemainingValidity()
				if err != nil {
					return -1
				}
				return left.Seconds()
			}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "dapplestage_gateway_messages_dropped_total", Help: "Messages to other members that were not sent."},
			func() float64 {
				n := int64(0)
				for _, p := range peers {
					n += p.Dropped()
				}
				return float64(n)
			}),
	}
}

// gatewayAdmin are the operators' commands on members.
func gatewayAdmin() []*cobra.Command {
	var addr string
	var asJSON bool
	make := func(use, short string, args cobra.PositionalArgs, f func(cmd *cobra.Command, args []string) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: usage(args), RunE: func(cmd *cobra.Command, args []string) error {
			if addr == "" {
				return failed(fmt.Errorf("%w: --addr IP:PORT is needed", errUsage))
			}
			return failed(f(cmd, args))
		}}
		c.Flags().StringVar(&addr, "addr", "", "a member's api_addr, as IP:PORT")
		c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
		return c
	}
	show := func(cmd *cobra.Command, s gateway.Status) error {
		if asJSON {
			return printJSON(cmd.OutOrStdout(), s)
		}
		printMembers(cmd.OutOrStdout(), s)
		return nil
	}
	drain := func(on bool) func(cmd *cobra.Command, _ []string) error {
		return func(cmd *cobra.Command, _ []string) error {
			var s gateway.Status
			if err := call(cmd.Context(), addr, "PUT", "/admin/gateway/drained", gateway.DrainChange{On: &on}, &s); err != nil {
				return err
			}
			return show(cmd, s)
		}
	}
	return []*cobra.Command{
		make("status --addr IP:PORT", "Show members, leases, jobs and what is not known", cobra.NoArgs, func(cmd *cobra.Command, _ []string) error {
			var s gateway.Status
			if err := call(cmd.Context(), addr, "GET", "/admin/gateway/status", nil, &s); err != nil {
				return err
			}
			return show(cmd, s)
		}),
		make("job ID --addr IP:PORT", "Show which site holds a job", cobra.ExactArgs(1), func(cmd *cobra.Command, args []string) error {
			if !protocol.ValidJobID(args[0]) {
				return fmt.Errorf("%q is no job id: job- and digits", args[0])
			}
			var v gateway.JobView
			if err := call(cmd.Context(), addr, "GET", "/admin/gateway/jobs/"+args[0], nil, &v); err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), v)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s, held by %s under claim %d, agreed %v, stopped there %v\n", v.ID, v.Final, v.Owner, v.Epoch, v.Agreed, v.Stopped)
			return nil
		}),
		make("drain --addr IP:PORT", "Hand the jobs of a site over and give it none (its own daemon's address)", cobra.NoArgs, drain(true)),
		make("undrain --addr IP:PORT", "Take a site back into service", cobra.NoArgs, drain(false)),
	}
}

func printMembers(out io.Writer, s gateway.Status) {
	fmt.Fprintf(out, "%s: %d open jobs, %d ended; %d changes and %d handoffs under way, %d undecided\n", s.Member, s.OpenJobs, s.FinalJobs, s.ChangesInFlight, s.Handoffs, s.Undecided)
	if !s.Majority {
		fmt.Fprintln(out, "TOO FEW MEMBERS ARE HEARD: nothing can be decided, users get 503")
	}
	if s.Store != "ok" {
		fmt.Fprintln(out, "STORE:", s.Store)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "\nMEMBER\tSTATE\tSINCE\tHOLDS\tTO BE TOLD\tDRAINED\tWAITING\tFREE GPUS\tAS OF\tLEASE")
	for _, m := range s.Members {
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

// keysCommand makes and shows the members' certificates.
func keysCommand() *cobra.Command {
	var dir string
	var days int
	root := &cobra.Command{Use: "keys", Short: "Make, show, renew and revoke the certificates of a gateway's members"}
	add := func(use, short string, args cobra.PositionalArgs, f func(cmd *cobra.Command, args []string) error) {
		c := &cobra.Command{Use: use, Short: short, Args: usage(args), RunE: func(cmd *cobra.Command, args []string) error {
			if days < 1 || days > 36500 {
				return failed(fmt.Errorf("%w: --days %d is not within 1 to 36500", errUsage, days))
			}
			return failed(f(cmd, args))
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
	add("init MEMBER...", "Make an authority, and certificates for members", cobra.ArbitraryArgs, func(cmd *cobra.Command, args []string) error {
		if err := keys.MakeAuthority(dir, time.Now(), keys.AuthorityDays); err != nil {
			return err
		}
		return issue(cmd, args)
	})
	add("issue MEMBER...", "Make certificates for members, or new ones in their place", cobra.MinimumNArgs(1), issue)
	add("renew MEMBER...", "The same as issue: members take renewed files up by themselves", cobra.MinimumNArgs(1), issue)
	add("revoke MEMBER", "Refuse a member's present certificate from now on", cobra.ExactArgs(1), func(cmd *cobra.Command, args []string) error {
		return keys.Revoke(dir, args[0], time.Now())
	})
	add("show", "Show the certificates", cobra.NoArgs, func(cmd *cobra.Command, _ []string) error {
		lines, err := keys.Describe(dir, time.Now())
		for _, l := range lines {
			fmt.Fprintln(cmd.OutOrStdout(), l)
		}
		return err
	})
	return root
}
