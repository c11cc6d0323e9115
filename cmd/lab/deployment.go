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

// buildPrograms builds the programs in a new folder, which the caller must remove.
func buildPrograms(ctx context.Context) (dir string, err error) {
	if dir, err = os.MkdirTemp("", "lab-bin-"); err != nil {
		return "", err
	}
	for _, program := range []string{"dapplestage", "standin"} {
		command := exec.CommandContext(ctx, "go", "build", "-o", filepath.Join(dir, program), "dapplestage.example/dapplestage/cmd/"+program)
		if output, err := command.CombinedOutput(); err != nil {
			os.RemoveAll(dir)
			return "", fmt.Errorf("building %s: %v\n%s", program, err, output)
		}
	}
	return dir, nil
}

// childProcess is a program that can be killed, suspended and started again.
type childProcess struct {
	name    string
	bin     string
	args    []string
	logPath string
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
}

// start starts the process unless it runs. Its output is appended to its log.
func (p *childProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.bin, p.args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// The kernel kills the process when the lab exits, however it exits.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		cmd.Wait()
		logFile.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it runs.
func (p *childProcess) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(sig)
	}
}

// kill kills the process if it runs and waits for its exit.
func (p *childProcess) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.cmd = nil
	p.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		<-exited
	}
}

// link is a proxy for the connections that one member opens to another. While it is cut, it holds
// back new connections and the bytes that the connecting member sends; bytes in the other direction
// still pass.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	changed  chan struct{}
	conns    map[net.Conn]struct{}
}

// newLink returns a link that accepts connections and forwards them to an address.
func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l, nil
}

// awaitHealed blocks while the link is cut.
func (l *link) awaitHealed() {
	for {
		l.mu.Lock()
		cut, changed := l.cut, l.changed
		l.mu.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

// setCut cuts or heals the link. With dropHeld it closes all connections, which drops the bytes that
// were held back.
func (l *link) setCut(cut, dropHeld bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	close(l.changed)
	l.changed = make(chan struct{})
	if dropHeld {
		for c := range l.conns {
			c.Close()
		}
	}
}

// forward forwards a client's connection to the target until either side closes it.
func (l *link) forward(client net.Conn) {
	defer client.Close()
	l.awaitHealed()
	upstream, err := net.DialTimeout("tcp", l.target, 2*time.Second)
	if err != nil {
		return
	}
	defer upstream.Close()
	l.mu.Lock()
	l.conns[client], l.conns[upstream] = struct{}{}, struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, client)
		delete(l.conns, upstream)
		l.mu.Unlock()
	}()
	go func() {
		io.Copy(client, upstream)
		client.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := client.Read(buffer)
		if n > 0 {
			l.awaitHealed()
			if _, err := upstream.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// memberSite holds the processes and addresses of one site of a deployment.
type memberSite struct {
	name                 string
	state, cloud         *childProcess
	controllers          []*childProcess
	daemon               *childProcess
	stateAddr            string
	cloudAddr            string
	controllerAPIs       []string // HTTP addresses of the controllers
	localAddr, daemonAPI string
	eventsPath           string
}

// deployment is two sites and a gateway as real processes. Each site has a state service and a cloud
// with its workers (both simulated by standin), two controllers and the site daemon. Members reach
// one another through links, which can be cut in one direction.
type deployment struct {
	dir        string
	bin        string
	sites      []*memberSite
	gateway    *childProcess
	gatewayAPI string
	links      map[[2]string]*link
	members    []string          // names: gate, quito, xela
	apiAddrs   map[string]string // HTTP addresses by member
	processes  []*childProcess
	http       *http.Client
}

// times holds the times and limits of a deployment or test site. The durations, in seconds, are
// shorter than in production, so that a handoff takes seconds.
type times struct {
	siteLease, controllerLease, workerLease, reportInterval, cancelBound float64
	writeRPS                                                             float64
	maxTeamGPUs                                                          float64 // limit of each team; 0: 400
	maxInFlight                                                          int
	copyRate                                                             float64       // test sites only: fraction of the answered direct commands of which a copy arrives later
	copyMaxDelay                                                         time.Duration // longest delay of a copy
	copySeed                                                             uint64
	mixedMachines                                                        bool // test sites only: several types of machine in three zones, some of which run already
}

// gatewayTimes are the times and limits of a deployment in the gateway proof.
var gatewayTimes = times{siteLease: 2, controllerLease: 1, workerLease: 2.5, reportInterval: 0.5, cancelBound: 14, writeRPS: 40, maxInFlight: 500}

// freeAddresses returns loopback addresses with free ports. Another program may take a port before
// it is used; the deployment or site does not start then.
func freeAddresses(n int) ([]string, error) {
	var listeners []net.Listener
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	for _, listener := range listeners {
		listener.Close()
	}
	return addresses, nil
}

// startDeployment creates and starts a deployment. It makes up to three attempts with new ports,
// since another program may take one of the ports first.
func startDeployment(ctx context.Context, bin, dir string, timing times, machines int) (*deployment, error) {
	for try := 1; ; try++ {
		attemptDir := filepath.Join(dir, fmt.Sprint("world-", try))
		if err := os.Mkdir(attemptDir, 0o755); err != nil {
			return nil, err
		}
		d, err := newDeployment(bin, attemptDir, timing, machines)
		if err != nil {
			return nil, err
		}
		if err = d.start(ctx); err == nil {
			return d, nil
		}
		d.end()
		if try == 3 || ctx.Err() != nil {
			return nil, err
		}
	}
}

// newDeployment writes the keys and settings of a deployment and creates its links and processes. It
// does not start the processes.
func newDeployment(bin, dir string, timing times, machines int) (*deployment, error) {
	d := &deployment{dir: dir, bin: bin, links: map[[2]string]*link{}, members: []string{"gate", "quito", "xela"}, apiAddrs: map[string]string{},
		http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	keyDir := filepath.Join(dir, "keys")
	if err := keys.MakeAuthority(keyDir, time.Now(), 10); err != nil {
		return nil, err
	}
	for _, member := range d.members {
		if err := keys.Issue(keyDir, member, time.Now(), 2); err != nil {
			return nil, err
		}
	}
	addresses, err := freeAddresses(4 + 2*10)
	if err != nil {
		return nil, err
	}
	nextAddress := func() string { address := addresses[0]; addresses = addresses[1:]; return address }
	listenAddrs := map[string]string{}
	for _, member := range d.members {
		listenAddrs[member] = nextAddress()
		d.apiAddrs[member] = nextAddress()
	}
	d.gatewayAPI = d.apiAddrs["gate"]
	for _, from := range d.members {
		for _, to := range d.members {
			if from != to {
				if d.links[[2]string{from, to}], err = newLink(listenAddrs[to]); err != nil {
					return nil, err
				}
			}
		}
	}
	writeMemberSettings := func(name, extra string) (string, error) {
		var settings strings.Builder
		fmt.Fprintf(&settings, "member = %q\nlisten = %q\napi_addr = %q\nlease_s = %g\ncontrollers_s = %g\nworkers_lease_s = %g\ncancel_s = %g\nin_flight = %d\n",
			name, listenAddrs[name], d.apiAddrs[name], timing.siteLease, timing.controllerLease, timing.workerLease, timing.cancelBound, timing.maxInFlight)
		fmt.Fprintf(&settings, "[keys]\ndir = %q\n[route]\nramp_s = 5.0\nmove_after_s = 20.0\nper_second = 2000.0\n%s", keyDir, extra)
		for _, member := range d.members {
			addr := listenAddrs[member]
			if member != name {
				addr = d.links[[2]string{name, member}].listener.Addr().String()
			}
			fmt.Fprintf(&settings, "[[members]]\nname = %q\naddr = %q\nsite = %v\n", member, addr, member != "gate")
		}
		path := filepath.Join(dir, name+".toml")
		return path, os.WriteFile(path, []byte(settings.String()), 0o644)
	}
	addProcess := func(name, bin string, args ...string) *childProcess {
		process := &childProcess{name: name, bin: filepath.Join(d.bin, bin), args: args, logPath: filepath.Join(dir, name+".log")}
		d.processes = append(d.processes, process)
		return process
	}
	path, err := writeMemberSettings("gate", "[journal]\npath = \"gate.journal\"\n")
	if err != nil {
		return nil, err
	}
	d.gateway = addProcess("gate", "dapplestage", "gateway", "--config", path)
	for _, name := range d.members[1:] {
		site := &memberSite{name: name, stateAddr: nextAddress(), cloudAddr: nextAddress(), localAddr: nextAddress(), daemonAPI: d.apiAddrs[name], eventsPath: filepath.Join(dir, name+".events")}
		nodeNames := []string{"n-0", "n-1"}
		site.controllerAPIs = []string{nextAddress(), nextAddress()}
		peerAddrs := []string{nextAddress(), nextAddress()}
		site.state = addProcess(name+"-state", "standin", "-state", site.stateAddr, "-cloud", "", "-nodes", "n-0="+site.controllerAPIs[0])
		site.cloud = addProcess(name+"-cloud", "standin", "-state", "", "-cloud", site.cloudAddr, "-nodes", "n-0="+site.controllerAPIs[0]+",n-1="+site.controllerAPIs[1],
			"-boot", "500ms", "-fetch", "200ms", "-lease", fmt.Sprint(timing.workerLease), "-report", fmt.Sprint(timing.reportInterval), "-zone", name, "-machines", fmt.Sprint(machines), "-events", site.eventsPath)
		var settingsPath string
		for i, nodeName := range nodeNames {
			other := 1 - i
			controllerText := controllerSettings(nodeName, nodeNames[other], name, name, site.controllerAPIs[i], peerAddrs[i], peerAddrs[other], site.cloudAddr, site.stateAddr, timing)
			settingsPath = filepath.Join(dir, name+"-"+nodeName+".toml")
			if err := os.WriteFile(settingsPath, []byte(controllerText), 0o644); err != nil {
				return nil, err
			}
			site.controllers = append(site.controllers, addProcess(name+"-"+nodeName, "dapplestage", "--site-daemon", site.localAddr, "--config", settingsPath))
		}
		path, err := writeMemberSettings(name, fmt.Sprintf("[site]\nsettings = %q\nlocal = %q\ncontrollers = [%q, %q]\n", settingsPath, site.localAddr, site.controllerAPIs[0], site.controllerAPIs[1]))
		if err != nil {
			return nil, err
		}
		site.daemon = addProcess(name, "dapplestage", "gateway", "--config", path)
		d.sites = append(d.sites, site)
	}
	return d, nil
}

// memberSite returns the site with a given name, or nil.
func (d *deployment) memberSite(name string) *memberSite {
	for _, s := range d.sites {
		if s.name == name {
			return s
		}
	}
	return nil
}

// member returns the process of a member: a site daemon or the gateway.
func (d *deployment) member(name string) *childProcess {
	if s := d.memberSite(name); s != nil {
		return s.daemon
	}
	return d.gateway
}

// start starts all processes and waits until the gateway has a majority, recent hints from both sites
// and a granted lease for each.
func (d *deployment) start(ctx context.Context) error {
	for _, process := range d.processes {
		if err := process.start(); err != nil {
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
		ready := d.get(ctx, d.gatewayAPI, "/admin/gateway/status", &status) == nil && status.Majority
		for _, member := range status.Members {
			ready = ready && (!member.Site || member.HintAge >= 0 && member.HintAge < 5 && strings.HasPrefix(member.Lease, "granted"))
		}
		if ready {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("the world in %s did not start", d.dir)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// end kills all processes and closes the links.
func (d *deployment) end() {
	for _, process := range d.processes {
		process.signal(syscall.SIGCONT)
		process.kill()
	}
	for _, link := range d.links {
		link.setCut(false, true)
		link.listener.Close()
	}
}

// get requests a path and decodes the JSON response.
func (d *deployment) get(ctx context.Context, addr, path string, into any) error {
	status, data, _, err := d.call(ctx, "GET", addr, path, nil)
	if err != nil {
		return err
	}
	if status != 200 {
		return fmt.Errorf("%s returned status %d", addr, status)
	}
	return json.Unmarshal(data, into)
}

// call sends an HTTP request and returns the status, body and header of the response.
func (d *deployment) call(ctx context.Context, method, addr, path string, body []byte) (int, []byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return resp.StatusCode, data, resp.Header, err
}

// jobSubmission returns the submission of an array whose tasks run for the given number of seconds.
func jobSubmission(id, team string, tasks int, seconds float64) []byte {
	return fmt.Appendf(nil, `{"id":%q,"lot":"proof","crew":%q,"shape":"sweep","urgency":"standard","pieces":%d,"vcpus":2.0,"cards":1.0,"memGb":8.0,"bundle":"img-1","sizeGb":1.0,"builds":null,"region":null,"together":false,"scatter":false,"loaners":true,"expectS":%g,"snapshotS":0.0,"storeS":0.0,"dueS":null}`, id, team, tasks, seconds)
}

// randomDuration returns a random duration from minimum up to maximum.
func randomDuration(rng *rand.Rand, minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(rng.Int64N(int64(maximum-minimum)))
}

// controllerSettings returns the settings file of one of the two controllers of a site.
func controllerSettings(node, other, zone, otherZone, api, peer, otherPeer, cloud, state string, timing times) string {
	zones, guarantee := fmt.Sprintf("%q", zone), ""
	if timing.mixedMachines {
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
`, node, zone, api, peer, other, otherZone, otherPeer, cloud, state, zones, timing.reportInterval, timing.workerLease, timing.cancelBound, timing.writeRPS, cmp.Or(timing.maxTeamGPUs, 400), guarantee)
}
