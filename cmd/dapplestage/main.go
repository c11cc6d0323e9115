// Command dapplestage runs one controller of the cluster scheduler, or a member of a gateway
// between sites. It also has the subcommands of operators and users.
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

// version is the next release of this source tree.
const version = "0.1.0"

// errUsage marks errors of the command line. They exit with status 2.
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

// command returns the root command with all subcommands.
func command() *cobra.Command {
	var config string
	var opts options
	root := &cobra.Command{
		Use:           "dapplestage --config FILE",
		Short:         "A controller of the dapplestage cluster scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if config == "" {
				return printError(fmt.Errorf("%w: --config FILE is needed", errUsage))
			}
			cfg, err := protocol.ReadSettings(config)
			if err != nil {
				return printError(err)
			}
			return printError(serve(cfg, opts))
		},
	}
	root.Flags().StringVar(&config, "config", "", "the settings file that the platform provides")
	root.Flags().StringVar(&opts.siteDaemon, "site-daemon", "", "address of the site's gateway daemon, which grants the lease that jobs of a gateway run under, as IP:PORT")
	root.Flags().StringVar(&opts.tickets, "tickets", "", "accept render-farm tickets of the classes in this file, such as deploy/tickets.toml")
	root.Flags().StringVar(&opts.account, "account", "", "store the history of ended jobs by the settings in this file, such as deploy/account.toml")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return printError(fmt.Errorf("%w: %v", errUsage, err))
	})
	root.AddCommand(&cobra.Command{
		Use: "check FILE", Short: "Check a settings file", Args: checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := protocol.ReadSettings(args[0]); err != nil {
				return printError(err)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are fine")
			return nil
		},
	}, &cobra.Command{
		Use: "version", Short: "Print the version", Args: checkArgs(cobra.NoArgs),
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "dapplestage", version) },
	})
	root.AddCommand(adminCommands()...)
	root.AddCommand(gatewayCommand(), keysCommand(), ticketCommand(), whyCommand(), reportCommand(), accountCommand(), consoleCommand(), stateCommand())
	return root
}

// checkArgs wraps a check of arguments so that its error is printed in one line and marked as
// an error of the command line.
func checkArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return printError(fmt.Errorf("%w: %v", errUsage, err))
		}
		return nil
	}
}

// printError prints an error, if there is one, and returns it.
func printError(err error) error {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return err
}

// logLevel returns the log level that the environment variable LOG_LEVEL sets.
func logLevel() slog.Level {
	switch os.Getenv("LOG_LEVEL") {
	case "error":
		return slog.LevelError
	case "debug":
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// options are the controller's flags other than its settings file.
type options struct {
	siteDaemon string // address of the site's gateway daemon; empty: no gateway
	tickets    string // file of ticket classes; empty: tickets are not accepted
	account    string // file with the settings of the job history; empty: it is not stored
}

// optionFiles are the parsed contents of the files that the flags name.
type optionFiles struct {
	classes ticket.ClassTable
	account *node.AccountSettings // nil: the job history is not stored
}

// load checks the flags and reads the files that they name.
func (o options) load() (files optionFiles, err error) {
	if o.siteDaemon != "" {
		if _, err := netip.ParseAddrPort(o.siteDaemon); err != nil {
			return files, fmt.Errorf("%w: --site-daemon: not an address and port: %q", errUsage, o.siteDaemon)
		}
	}
	if o.tickets != "" {
		if files.classes, err = ticket.ReadClasses(o.tickets); err != nil {
			return files, fmt.Errorf("%w: --tickets: %v", errUsage, err)
		}
	}
	if o.account != "" {
		account, err := node.ReadAccountSettings(o.account)
		if err != nil {
			return files, fmt.Errorf("%w: --account: %v", errUsage, err)
		}
		files.account = &account
	}
	return files, nil
}

// serve runs the controller until a signal stops it or one of its servers fails.
func serve(cfg *protocol.Settings, opts options) error {
	files, err := opts.load()
	if err != nil {
		return err
	}
	tuneRuntime(cfg.Params.Quota)
	level := &slog.LevelVar{}
	level.Set(logLevel())
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("node", cfg.Node)
	node.Version = version
	signalCtx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)

	n := newNode(ctx, cfg, log, files)
	n.SetLogLevel = func(l slog.Level, chosen bool) {
		if !chosen {
			l = logLevel()
		}
		level.Set(l)
	}
	if opts.siteDaemon != "" {
		connectSiteDaemon(n, opts.siteDaemon)
	}
	if err := listen(ctx, cancel, cfg, n); err != nil {
		return err
	}
	go func() {
		// On a signal, hand the owned partitions over before the node ends.
		<-signalCtx.Done()
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

// newNode returns the node with its clients of the state service, the cloud and the workers.
func newNode(ctx context.Context, cfg *protocol.Settings, log *slog.Logger, files optionFiles) *node.Node {
	store := storage.NewStore(cfg.External.State, cfg.Params.State, cfg.Params.Nodes)
	cloud := storage.NewCloud(cfg.External.Cloud, cfg.Params.Cloud, cfg.Params.Nodes)
	hash := fnv.New64a()
	hash.Write([]byte(cfg.Node))
	seed := hash.Sum64() ^ uint64(time.Now().UnixNano())
	n := node.New(ctx, cfg, log, store, cloud, storage.NewWorkers(), seed)
	store.OnContact = n.RecordContact
	n.AcceptTickets(files.classes)
	if files.account != nil {
		n.SetAccountSettings(*files.account)
	}
	return n
}

// siteDaemonTimeout bounds one request to the site's daemon.
const siteDaemonTimeout = time.Second

// connectSiteDaemon makes a node fetch the site's lease from the site's daemon, and look up
// jobs of the gateway there that it does not know.
func connectSiteDaemon(n *node.Node, addr string) {
	client := transport.NewClient(addr, 0)
	n.SiteDaemonHost, _, _ = net.SplitHostPort(addr)
	n.LookUpGatewayJob = func(ctx context.Context, id string) (status protocol.JobStatus, known bool, err error) {
		answer, err := client.Call(ctx, siteDaemonTimeout, "GET", "/site/jobs/"+id, nil)
		switch {
		case err != nil:
		case answer.Status == 200:
			err = json.Unmarshal(answer.Body, &status)
		case answer.Status != 404:
			err = siteDaemonError(answer.Status)
		}
		return status, answer.Status == 200 || answer.Status == 409, err
	}
	go n.KeepSiteLease(func(ctx context.Context) ([]byte, error) {
		answer, err := client.Call(ctx, siteDaemonTimeout, "GET", "/site/lease", nil)
		if err == nil && answer.Status != 200 {
			err = siteDaemonError(answer.Status)
		}
		return answer.Body, err
	})
}

func siteDaemonError(status int) error {
	return fmt.Errorf("the site's daemon answers %d", status)
}

// listen opens the node's addresses and serves users, workers and the other controllers.
// If one of the servers fails, it ends the node by calling cancel with the error.
func listen(ctx context.Context, cancel context.CancelCauseFunc, cfg *protocol.Settings, n *node.Node) error {
	// TCP keep-alive probes are off: setting them up costs four system calls for each
	// connection, and a dead client is detected by its missing requests anyway.
	api, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp4", cfg.APIAddr)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp4", cfg.PeerAddr)
	if err != nil {
		return err
	}
	serveInBackground := func(f func() error) {
		go func() {
			if err := f(); err != nil {
				cancel(err)
			}
		}()
	}
	connectPeers(ctx, cfg, n)
	serveInBackground(func() error { return transport.AcceptFrames(ctx, peers, node.HintTimeout, n.ReceiveHint, n.AnswerPeer) })
	listener := transport.NewAdmissionListener(ctx, api, admissionLimits(cfg.Params.Quota), n.FromWorker)
	n.OnLoaded, n.ClosedConnections = listener.Ready, listener.Rejected
	serveInBackground(func() error { return transport.Serve(ctx, listener, n.API()) })
	return nil
}

// connectPeers connects the node to the other controllers, for its hints and its queries.
func connectPeers(ctx context.Context, cfg *protocol.Settings, n *node.Node) {
	addrByNode := map[string]string{}
	for _, peer := range cfg.Siblings {
		addrByNode[peer.Node] = peer.Addr
	}
	n.AskPeer = func(ctx context.Context, name string, question []byte) ([]byte, error) {
		return transport.SendRequest(ctx, addrByNode[name], node.AskTimeout, question)
	}
	for _, peer := range cfg.Siblings {
		go transport.SendFrames(ctx, peer.Addr, node.HintInterval, node.HintTimeout, n.Hint, func(e transport.ConnEvent) { n.OnConnEvent(peer.Node, e) })
	}
}

// admissionLimits derives the limits on incoming connections from the machine's size. The
// number of workers' first requests in progress is what fits into the processor time of one
// turn of the node's actor. As many may be queued as are served in two and a half seconds, at
// 0.4 ms of processor time each; a worker gives up after four seconds. Enough sockets stay
// free for calls to the state service, the cloud, workers and peers.
func admissionLimits(quota protocol.MachineQuota) transport.AdmissionLimits {
	limits := transport.AdmissionLimits{LowPriorityActive: 16, LowPriorityQueued: int(min(1500, max(160, 2.5*quota.Cores/0.0004))), RateBeforeReady: 20, AcceptRate: int(max(100, quota.Cores/0.00025))}
	if quota.FDLimit > 0 {
		limits.MaxOpen = max(quota.FDLimit/2, quota.FDLimit-130-quota.FDLimit/32)
	}
	return limits
}

// tuneRuntime adapts the Go runtime to the machine: one running thread at a time on less than
// two cores, and memory returned to the system well before the limit at which the process
// would be killed.
func tuneRuntime(quota protocol.MachineQuota) {
	if quota.Cores < 2 {
		runtime.GOMAXPROCS(1)
	}
	debug.SetMemoryLimit(int64(quota.MemoryMB * 0.6 * (1 << 20)))
	debug.SetGCPercent(400)
}
