// Command dapplestage is one controller of the cluster scheduler.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"dapplestage.example/dapplestage/internal/coordination/node"
	"dapplestage.example/dapplestage/internal/coordination/ticket"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
	"dapplestage.example/dapplestage/internal/transport"
)

// version is the release this tree leads to.
const version = "0.1.0"

// errUsage marks mistakes on the command line.
var errUsage = errors.New("usage")

func main() {
	err := command().Execute()
	switch {
	case err == nil:
	case errors.Is(err, errUsage):
		os.Exit(2)
	default:
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var config string
	var o options
	root := &cobra.Command{
		Use:           "dapplestage --config FILE",
		Short:         "A controller of the dapplestage cluster scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if config == "" {
				return failed(fmt.Errorf("%w: --config FILE is needed", errUsage))
			}
			cfg, err := protocol.ReadSettings(config)
			if err != nil {
				return failed(err)
			}
			return failed(serve(cfg, o))
		},
	}
	root.Flags().StringVar(&config, "config", "", "the settings file that the platform hands over")
	root.Flags().StringVar(&o.siteDaemon, "site-daemon", "", "where the site's daemon tells how long jobs of a gateway may run, as IP:PORT")
	root.Flags().StringVar(&o.tickets, "tickets", "", "take render-farm tickets of the classes in this file, such as deploy/tickets.toml")
	root.Flags().StringVar(&o.account, "account", "", "store what ended as this file says, such as deploy/account.toml")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return failed(fmt.Errorf("%w: %v", errUsage, err))
	})
	root.AddCommand(&cobra.Command{
		Use: "check FILE", Short: "Check a settings file", Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := protocol.ReadSettings(args[0]); err != nil {
				return failed(err)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are fine")
			return nil
		},
	}, &cobra.Command{
		Use: "version", Short: "Print the version", Args: usage(cobra.NoArgs),
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "dapplestage", version) },
	})
	root.AddCommand(adminCommands()...)
	root.AddCommand(gatewayCommand(), keysCommand(), ticketCommand(), whyCommand(), reportCommand(), accountCommand(), consoleCommand(), stateCommand())
	return root
}

// usage turns a complaint about arguments into one clear line.
func usage(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return failed(fmt.Errorf("%w: %v", errUsage, err))
		}
		return nil
	}
}

func failed(err error) error {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return err
}

func logLevel() slog.Level {
	switch os.Getenv("LOG_LEVEL") {
	case "error":
		return slog.LevelError
	case "debug":
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// options are the flags of the daemon beside its settings file.
type options struct {
	siteDaemon string // address of the site's daemon; empty: no gateway
	tickets    string // file of classes of tickets; empty: none are taken
	account    string // file of what to keep of jobs that ended; empty: nothing is stored
}

// extras are what the daemon's flags name, read and checked.
type extras struct {
	classes ticket.ClassTable
	account *node.AccountSettings // nil: nothing is stored
}

// read checks the flags and reads the files that they name.
func (o options) read() (e extras, err error) {
	if o.siteDaemon != "" {
		if _, err := netip.ParseAddrPort(o.siteDaemon); err != nil {
			return e, fmt.Errorf("%w: --site-daemon: not an address and port: %q", errUsage, o.siteDaemon)
		}
	}
	if o.tickets != "" {
		if e.classes, err = ticket.ReadClasses(o.tickets); err != nil {
			return e, fmt.Errorf("%w: --tickets: %v", errUsage, err)
		}
	}
	if o.account != "" {
		account, err := node.ReadAccountSettings(o.account)
		if err != nil {
			return e, fmt.Errorf("%w: --account: %v", errUsage, err)
		}
		e.account = &account
	}
	return e, nil
}

// serve runs the node until it is told to stop.
func serve(cfg *protocol.Settings, o options) error {
	e, err := o.read()
	if err != nil {
		return err
	}
	planMachine(cfg.Params.Quota)
	level := &slog.LevelVar{}
	level.Set(logLevel())
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("node", cfg.Node)
	node.Version = version
	told, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)

	n := newNode(ctx, cfg, log, e)
	n.SetLogLevel = func(l slog.Level, chosen bool) {
		if !chosen {
			l = logLevel()
		}
		level.Set(l)
	}
	if o.siteDaemon != "" {
		followSiteDaemon(n, o.siteDaemon)
	}
	if err := listen(ctx, cancel, cfg, n); err != nil {
		return err
	}
	go func() {
		// An orderly end hands over what this node holds, and then ends it.
		<-told.Done()
		n.Leave()
		cancel(nil)
	}()
	log.Info("serving", "api", cfg.APIAddr, "version", version)
	n.Run()
	if err := context.Cause(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// newNode makes the node with its clients of the state service, the cloud and the workers.
func newNode(ctx context.Context, cfg *protocol.Settings, log *slog.Logger, e extras) *node.Node {
	store := storage.NewStore(cfg.External.State, cfg.Params.State, cfg.Params.Nodes)
	cloud := storage.NewCloud(cfg.External.Cloud, cfg.Params.Cloud, cfg.Params.Nodes)
	h := fnv.New64a()
	h.Write([]byte(cfg.Node))
	seed := h.Sum64() ^ uint64(time.Now().UnixNano())
	n := node.New(ctx, cfg, log, store, cloud, storage.NewWorkers(), seed)
	store.OnContact = n.RecordContact
	n.AcceptTickets(e.classes)
	if e.account != nil {
		n.SetAccountSettings(*e.account)
	}
	return n
}

// siteDaemonTimeout is how long a question to the site's daemon may take.
const siteDaemonTimeout = time.Second

// followSiteDaemon lets a node ask its site's daemon for the site's lease and for jobs of
// the gateway that it does not know.
func followSiteDaemon(n *node.Node, addr string) {
	asks := transport.NewClient(addr, 0)
	n.SiteDaemonHost, _, _ = net.SplitHostPort(addr)
	n.LookUpGatewayJob = func(ctx context.Context, id string) (s protocol.JobStatus, known bool, err error) {
		a, err := asks.Call(ctx, siteDaemonTimeout, "GET", "/site/jobs/"+id, nil)
		switch {
		case err != nil:
		case a.Status == 200:
			err = json.Unmarshal(a.Body, &s)
		case a.Status != 404:
			err = siteDaemonError(a.Status)
		}
		return s, a.Status == 200 || a.Status == 409, err
	}
	go n.KeepSiteLease(func(ctx context.Context) ([]byte, error) {
		a, err := asks.Call(ctx, siteDaemonTimeout, "GET", "/site/lease", nil)
		if err == nil && a.Status != 200 {
			err = siteDaemonError(a.Status)
		}
		return a.Body, err
	})
}

func siteDaemonError(status int) error {
	return fmt.Errorf("the site's daemon answers %d", status)
}

// listen opens the node's addresses and serves users, workers and the other controllers.
// Whatever ends one of the servers ends the node, by cancel.
func listen(ctx context.Context, cancel context.CancelCauseFunc, cfg *protocol.Settings, n *node.Node) error {
	// Whoever is gone shows by its silence, so no keep-alive probes of the system's: they
	// cost four calls to it for each connection.
	api, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp4", cfg.APIAddr)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp4", cfg.PeerAddr)
	if err != nil {
		return err
	}
	serve := func(f func() error) {
		go func() {
			if err := f(); err != nil {
				cancel(err)
			}
		}()
	}
	connectSiblings(ctx, cfg, n)
	serve(func() error { return transport.AcceptFrames(ctx, peers, node.HintTimeout, n.ReceiveHint, n.AnswerPeer) })
	front := transport.NewAdmissionListener(ctx, api, frontLimits(cfg.Params.Quota), n.FromWorker)
	n.OnLoaded, n.ClosedConnections = front.Ready, front.Rejected
	serve(func() error { return transport.Serve(ctx, front, n.API()) })
	return nil
}

// connectSiblings sends the node's hints and questions to the other controllers.
func connectSiblings(ctx context.Context, cfg *protocol.Settings, n *node.Node) {
	addrs := map[string]string{}
	for _, s := range cfg.Siblings {
		addrs[s.Node] = s.Addr
	}
	n.AskPeer = func(ctx context.Context, name string, question []byte) ([]byte, error) {
		return transport.SendRequest(ctx, addrs[name], node.AskTimeout, question)
	}
	for _, s := range cfg.Siblings {
		go transport.SendFrames(ctx, s.Addr, node.HintInterval, node.HintTimeout, n.Hint, func(e transport.ConnEvent) { n.OnConnEvent(s.Node, e) })
	}
}

// frontLimits fits what is let through at once to the machine: workers' first requests
// that one turn's processor time covers, as many waiting as two and a half seconds cover (at
// 0.4 ms each, as measured on the bench's simulated machines; a worker waits for four), and sockets enough for calls to
// the state service, the cloud, workers and siblings.
func frontLimits(q protocol.MachineQuota) transport.AdmissionLimits {
	l := transport.AdmissionLimits{LowPriorityActive: 16, LowPriorityQueued: int(min(1500, max(160, 2.5*q.Cores/0.0004))), RateBeforeReady: 20, AcceptRate: int(max(100, q.Cores/0.00025))}
	if q.FDLimit > 0 {
		l.MaxOpen = max(q.FDLimit/2, q.FDLimit-130-q.FDLimit/32)
	}
	return l
}

// planMachine fits the runtime to the machine: one thread at a time, and memory
// returned well before the limit at which the process would be killed.
func planMachine(q protocol.MachineQuota) {
	if q.Cores < 2 {
		runtime.GOMAXPROCS(1)
	}
	debug.SetMemoryLimit(int64(q.MemoryMB * 0.6 * (1 << 20)))
	debug.SetGCPercent(400)
}
