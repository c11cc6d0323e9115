package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"dapplestage.example/dapplestage/internal/transport/keys"
)

// A world is two sites and a gateway as real processes: for each site a state
// service, a cloud with its workers (stand-ins), two controllers and the site's
// daemon. Members reach one another through proxies that can be cut one way.

// buildPrograms makes the programs once, in a folder of their own that the caller removes.
func buildPrograms(ctx context.Context) (dir string, err error) {
	if dir, err = os.MkdirTemp("", "lab-bin-"); err != nil {
		return "", err
	}
	for _, p := range []string{"dapplestage", "standin"} {
		cmd := exec.CommandContext(ctx, "go", "build", "-o", filepath.Join(dir, p), "dapplestage.example/dapplestage/cmd/"+p)
		if out, err := cmd.CombinedOutput(); err != nil {
			os.RemoveAll(dir)
			return "", fmt.Errorf("building %s: %v\n%s", p, err, out)
		}
	}
	return dir, nil
}

// process is one program that can be killed, stopped and started again.
type process struct {
	name    string
	bin     string
	args    []string
	logPath string
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.bin, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	// It ends with the lab, whatever happens to the lab.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		return err
	}
	gone := make(chan struct{})
	p.cmd, p.exited = cmd, gone
	go func() {
		cmd.Wait()
		out.Close()
		close(gone)
	}()
	return nil
}

// signal sends a signal to the process that this lab started, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.mu.Lock()
	cmd, gone := p.cmd, p.exited
	p.cmd = nil
	p.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		<-gone
	}
}

// link is a proxy for one direction of two members: who connects through it sends.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	changed  chan struct{}
	conns    map[net.Conn]struct{}
}

func newLink(to string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: ln, target: to, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.forward(c)
		}
	}()
	return l, nil
}

// awaitHealed waits while the link is cut.
func (l *link) awaitHealed() {
	for {
		l.mu.Lock()
		cut, wake := l.cut, l.changed
		l.mu.Unlock()
		if !cut {
			return
		}
		<-wake
	}
}

// setCut cuts the link, so that what is sent is held, or heals it. With reset the held
// bytes are dropped with their connections.
func (l *link) setCut(cut, reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	close(l.changed)
	l.changed = make(chan struct{})
	if reset {
		for c := range l.conns {
			c.Close()
		}
	}
}

func (l *link) forward(c net.Conn) {
	defer c.Close()
	l.awaitHealed()
	d, err := net.DialTimeout("tcp", l.target, 2*time.Second)
	if err != nil {
		return
	}
	defer d.Close()
	l.mu.Lock()
	l.conns[c], l.conns[d] = struct{}{}, struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		delete(l.conns, d)
		l.mu.Unlock()
	}()
	go func() {
		io.Copy(c, d)
		c.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := c.Read(buf)
		if n > 0 {
			l.awaitHealed()
			if _, err := d.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// site is one site's processes and addresses.
type site struct {
	name                 string
	state, cloud         *process
	controllers          []*process
	daemon               *process
	stateAddr            string
	cloudAddr            string
	controllerAPIs       []string // of the controllers
	localAddr, daemonAPI string
	eventsPath           string
}

type deployment struct {
	dir        string
	bin        string
	sites      []*site
	gateway    *process
	gatewayAPI string
	links      map[[2]string]*link
	members    []string          // gate, quito, xela
	apiAddrs   map[string]string // by member
	processes  []*process
	http       *http.Client
}

// times of a world: shorter than a real deployment's, so that a handoff takes seconds.
type times struct {
	siteLease, controllers, workersLease, reportInterval, cancelBound float64
	writeRPS                                                          float64
	maxTeamGPUs                                                       float64 // of each team; 0: 400
	maxInFlight                                                       int
	mixedMachines                                                     bool // of a farm: several types of machine in three zones, some of which run already
}

var gatewayTimes = times{siteLease: 2, controllers: 1, workersLease: 2.5, reportInterval: 0.5, cancelBound: 14, writeRPS: 40, maxInFlight: 500}

// freeAddresses finds free ports; another program may take one before it is used, which
// shows as a world that does not start.
func freeAddresses(n int) ([]string, error) {
	var lns []net.Listener
	var out []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		lns = append(lns, ln)
		out = append(out, ln.Addr().String())
	}
	for _, ln := range lns {
		ln.Close()
	}
	return out, nil
}

// startDeployment makes and starts a world; if it does not start, since another program took
// one of its ports, it tries others.
func startDeployment(ctx context.Context, bin, dir string, t times, machines int) (*deployment, error) {
	for try := 1; ; try++ {
		sub := filepath.Join(dir, fmt.Sprint("world-", try))
		if err := os.Mkdir(sub, 0o755); err != nil {
			return nil, err
		}
		w, err := newDeployment(bin, sub, t, machines)
		if err != nil {
			return nil, err
		}
		if err = w.start(ctx); err == nil {
			return w, nil
		}
		w.end()
		if try == 3 || ctx.Err() != nil {
			return nil, err
		}
	}
}

func newDeployment(bin, dir string, t times, machines int) (*deployment, error) {
	w := &deployment{dir: dir, bin: bin, links: map[[2]string]*link{}, members: []string{"gate", "quito", "xela"}, apiAddrs: map[string]string{},
		http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	keyDir := filepath.Join(dir, "keys")
	if err := keys.MakeAuthority(keyDir, time.Now(), 10); err != nil {
		return nil, err
	}
	for _, m := range w.members {
		if err := keys.Issue(keyDir, m, time.Now(), 2); err != nil {
			return nil, err
		}
	}
	addrs, err := freeAddresses(4 + 2*10)
	if err != nil {
		return nil, err
	}
	next := func() string { a := addrs[0]; addrs = addrs[1:]; return a }
	listen := map[string]string{}
	for _, m := range w.members {
		listen[m] = next()
		w.apiAddrs[m] = next()
	}
	w.gatewayAPI = w.apiAddrs["gate"]
	for _, a := range w.members {
		for _, b := range w.members {
			if a != b {
				if w.links[[2]string{a, b}], err = newLink(listen[b]); err != nil {
					return nil, err
				}
			}
		}
	}
	member := func(name, extra string) (string, error) {
		var b strings.Builder
		fmt.Fprintf(&b, "member = %q\nlisten = %q\napi_addr = %q\nlease_s = %g\ncontrollers_s = %g\nworkers_lease_s = %g\ncancel_s = %g\nin_flight = %d\n",
			name, listen[name], w.apiAddrs[name], t.siteLease, t.controllers, t.workersLease, t.cancelBound, t.maxInFlight)
		fmt.Fprintf(&b, "[keys]\ndir = %q\n[route]\nramp_s = 5.0\nmove_after_s = 20.0\nper_second = 2000.0\n%s", keyDir, extra)
		for _, m := range w.members {
			addr := listen[m]
			if m != name {
				addr = w.links[[2]string{name, m}].listener.Addr().String()
			}
			fmt.Fprintf(&b, "[[members]]\nname = %q\naddr = %q\nsite = %v\n", m, addr, m != "gate")
		}
		path := filepath.Join(dir, name+".toml")
		return path, os.WriteFile(path, []byte(b.String()), 0o644)
	}
	proc := func(name, bin string, args ...string) *process {
		p := &process{name: name, bin: filepath.Join(w.bin, bin), args: args, logPath: filepath.Join(dir, name+".log")}
		w.processes = append(w.processes, p)
		return p
	}
	path, err := member("gate", "[journal]\npath = \"gate.journal\"\n")
	if err != nil {
		return nil, err
	}
	w.gateway = proc("gate", "dapplestage", "gateway", "--config", path)
	for _, name := range w.members[1:] {
		s := &site{name: name, stateAddr: next(), cloudAddr: next(), localAddr: next(), daemonAPI: w.apiAddrs[name], eventsPath: filepath.Join(dir, name+".events")}
		nodes := []string{"n-0", "n-1"}
		s.controllerAPIs = []string{next(), next()}
		peers := []string{next(), next()}
		s.state = proc(name+"-state", "standin", "-state", s.stateAddr, "-cloud", "", "-nodes", "n-0="+s.controllerAPIs[0])
		s.cloud = proc(name+"-cloud", "standin", "-state", "", "-cloud", s.cloudAddr, "-nodes", "n-0="+s.controllerAPIs[0]+",n-1="+s.controllerAPIs[1],
			"-boot", "500ms", "-fetch", "200ms", "-lease", fmt.Sprint(t.workersLease), "-report", fmt.Sprint(t.reportInterval), "-zone", name, "-machines", fmt.Sprint(machines), "-events", s.eventsPath)
		var settings string
		for i, n := range nodes {
			o := 1 - i
			text := controllerSettings(n, nodes[o], name, name, s.controllerAPIs[i], peers[i], peers[o], s.cloudAddr, s.stateAddr, t)
			settings = filepath.Join(dir, name+"-"+n+".toml")
			if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
				return nil, err
			}
			s.controllers = append(s.controllers, proc(name+"-"+n, "dapplestage", "--site-daemon", s.localAddr, "--config", settings))
		}
		path, err := member(name, fmt.Sprintf("[site]\nsettings = %q\nlocal = %q\ncontrollers = [%q, %q]\n", settings, s.localAddr, s.controllerAPIs[0], s.controllerAPIs[1]))
		if err != nil {
			return nil, err
		}
		s.daemon = proc(name, "dapplestage", "gateway", "--config", path)
		w.sites = append(w.sites, s)
	}
	return w, nil
}

func (w *deployment) site(name string) *site {
	for _, s := range w.sites {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (w *deployment) member(name string) *process {
	if s := w.site(name); s != nil {
		return s.daemon
	}
	return w.gateway
}

// start starts everything, and waits until the gateway knows both sites.
func (w *deployment) start(ctx context.Context) error {
	for _, p := range w.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	var status struct {
		Majority bool
		Members  []struct {
			Site    bool
			HintAge float64 `json:"hint_age_s"`
			Lease   string
		}
	}
	for deadline := time.Now().Add(10 * time.Second); ; {
		ready := w.get(ctx, w.gatewayAPI, "/admin/gateway/status", &status) == nil && status.Majority
		for _, m := range status.Members {
			ready = ready && (!m.Site || m.HintAge >= 0 && m.HintAge < 5 && strings.HasPrefix(m.Lease, "granted"))
		}
		if ready {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("the world in %s did not start", w.dir)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// end ends everything that was started.
func (w *deployment) end() {
	for _, p := range w.processes {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	for _, l := range w.links {
		l.setCut(false, true)
		l.listener.Close()
	}
}

func (w *deployment) get(ctx context.Context, addr, path string, into any) error {
	status, data, _, err := w.call(ctx, "GET", addr, path, nil)
	if err != nil {
		return err
	}
	if status != 200 {
		return fmt.Errorf("%s answers %d", addr, status)
	}
	return json.Unmarshal(data, into)
}

// call makes one request.
func (w *deployment) call(ctx context.Context, method, addr, path string, body []byte) (int, []byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return resp.StatusCode, data, resp.Header, err
}

// jobSubmission is a job that runs for some seconds.
func jobSubmission(id, team string, tasks int, seconds float64) []byte {
	return fmt.Appendf(nil, `{"id":%q,"lot":"proof","crew":%q,"shape":"sweep","urgency":"standard","pieces":%d,"vcpus":2.0,"cards":1.0,"memGb":8.0,"bundle":"img-1","sizeGb":1.0,"builds":null,"region":null,"together":false,"scatter":false,"loaners":true,"expectS":%g,"snapshotS":0.0,"storeS":0.0,"dueS":null}`, id, team, tasks, seconds)
}

// between draws a time.
func randomDuration(rng *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(rng.Int64N(int64(b-a)))
}

// controllerSettings is the settings file of one of two controllers of a site.
func controllerSettings(node, other, zone, otherZone, api, peer, otherPeer, cloud, state string, t times) string {
	zones, guarantee := fmt.Sprintf("%q", zone), ""
	if t.mixedMachines {
		zones, guarantee = `"a", "b", "c"`, "cpus = 120.0\ncpus_max = 400.0\n"
	}
	return fmt.Sprintf(`node = %[1]q
location = %[2]q
api_addr = %[3]q
cluster_listen = %[4]q
[[siblings]]
node = %[5]q
location = %[6]q
peer_addr = %[7]q
[external]
cloud = %[8]q
state = %[9]q
[params]
initial_size = 2
zones = [%[10]s]
skew_ms = 100.0
[[params.teams]]
name = "red"
gpus = 4.0
gpus_max = %[15]g
%[16]s[[params.teams]]
name = "blue"
gpus = 4.0
gpus_max = %[15]g
%[16]s[params.workers]
report_s = %[11]g
lease_s = %[12]g
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = %[13]g
[params.state]
rps = 400.0
write_rps = %[14]g
value_kb = 8.0
txn_ops = 12
[params.cloud]
rps = 10.0
list_lag_s = 1.0
[params.quota]
cores = 2.0
memory_mb = 400.0
fd_limit = 1000
`, node, zone, api, peer, other, otherZone, otherPeer, cloud, state, zones, t.reportInterval, t.workersLease, t.cancelBound, t.writeRPS, cmp.Or(t.maxTeamGPUs, 400), guarantee)
}
