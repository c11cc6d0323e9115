package main

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// site is one site of a gateway: its stand-ins, its controllers and its daemon.
type site struct {
	name                         string
	state, control, cloud        string // addresses of the stand-ins
	controllers                  []string
	local, listen, api           string // addresses of the daemon
	settings, daemonFile, events string // files
	daemon                       *process
	nodes                        []*process
	processes                    []*process // all of the site
}

// gateway is a gateway between two sites.
type gateway struct {
	trial       *trial
	sites       []*site
	listen, api string
	process     *process
	file        string
}

// limits are the settings of the deployment whose limits the sites have.
type limits struct {
	nodes                    int
	rps, writes, valueKB     float64
	txnOps                   int
	reportS, leaseS, cancelS float64
	cores, memoryMB          float64
	fdLimit, machines        int
}

// xelaOps are the limits of the site file viveroscloud-xela-ops.
var xelaOps = limits{nodes: 3, rps: 120, writes: 40, valueKB: 8, txnOps: 12, reportS: 2, leaseS: 10, cancelS: 40, cores: 0.06, memoryMB: 125, fdLimit: 1200, machines: 8}

// xelaHunt are the limits of the site file viveroscloud-xela-hunt.
var xelaHunt = limits{nodes: 3, rps: 400, writes: 150, valueKB: 8, txnOps: 12, reportS: 5, leaseS: 26.5, cancelS: 56.5, cores: 0.18, memoryMB: 356, fdLimit: 3695, machines: 8}

// newGateway writes the files of a gateway between the sites quito and xela.
func newGateway(r *trial, l limits) (*gateway, error) {
	g := &gateway{trial: r, listen: r.addr(), api: r.addr()}
	keys := exec.Command(filepath.Join(r.bin, "dapplestage"), "keys", "init", "gate", "quito", "xela", "--dir", filepath.Join(r.dir, "keys"))
	if out, err := keys.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("keys: %v: %s", err, out)
	}
	for _, name := range []string{"quito", "xela"} {
		s := &site{name: name, state: r.addr(), control: r.addr(), cloud: r.addr(), local: r.addr(), listen: r.addr(), api: r.addr()}
		var peers []string
		for range l.nodes {
			s.controllers = append(s.controllers, r.addr())
			peers = append(peers, r.addr())
		}
		for i := range l.nodes {
			text := fmt.Sprintf("node = \"n-%d\"\nlocation = %q\napi_addr = %q\ncluster_listen = %q\n", i, name, s.controllers[i], peers[i])
			for k := range l.nodes {
				if k != i {
					text += fmt.Sprintf("[[siblings]]\nnode = \"n-%d\"\nlocation = %q\npeer_addr = %q\n", k, name, peers[k])
				}
			}
			text += fmt.Sprintf("[external]\ncloud = %q\nstate = %q\n[params]\ninitial_size = %d\nzones = [%q]\nskew_ms = 25.0\n", s.cloud, s.state, l.nodes, name)
			text += "[[params.teams]]\nname = \"equipo-vivero\"\ngpus = 16.0\ngpus_max = 160.0\n[[params.teams]]\nname = \"equipo-modelos\"\ngpus = 16.0\ngpus_max = 96.0\n"
			text += fmt.Sprintf("[params.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = 40.0\ngang_peer_s = 6.0\ncancel_s = %g\n", l.reportS, l.leaseS, l.cancelS)
			text += fmt.Sprintf("[params.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n", l.rps, l.writes, l.valueKB, l.txnOps)
			text += fmt.Sprintf("[params.cloud]\nrps = 4.0\nlist_lag_s = 1.0\n[params.quota]\ncores = %g\nmemory_mb = %g\nfd_limit = %d\n", l.cores, l.memoryMB, l.fdLimit)
			path := r.write(fmt.Sprintf("%s-n-%d.toml", name, i), text)
			if i == 0 {
				s.settings = path
			}
		}
		s.events = filepath.Join(r.dir, name+"-events.jsonl")
		g.sites = append(g.sites, s)
	}
	members := fmt.Sprintf("[[members]]\nname = \"gate\"\naddr = %q\n", g.listen)
	for _, s := range g.sites {
		members += fmt.Sprintf("[[members]]\nname = %q\naddr = %q\nsite = true\n", s.name, s.listen)
	}
	common := fmt.Sprintf("workers_lease_s = %g\ncancel_s = %g\n[keys]\ndir = %q\n[route]\nramp_s = 0.0\n", l.leaseS, l.cancelS, filepath.Join(r.dir, "keys"))
	for _, s := range g.sites {
		var quoted []string
		for _, c := range s.controllers {
			quoted = append(quoted, fmt.Sprintf("%q", c))
		}
		s.daemonFile = r.write(s.name+".toml", fmt.Sprintf("member = %q\nlisten = %q\napi_addr = %q\n", s.name, s.listen, s.api)+common+
			fmt.Sprintf("[site]\nsettings = %q\nlocal = %q\ncontrollers = [%s]\n", s.settings, s.local, strings.Join(quoted, ", "))+members)
	}
	g.file = r.write("gate.toml", fmt.Sprintf("member = \"gate\"\nlisten = %q\napi_addr = %q\n", g.listen, g.api)+common+
		fmt.Sprintf("[journal]\npath = %q\n", filepath.Join(r.dir, "gate.journal"))+members)
	for _, s := range g.sites {
		before := len(r.processes)
		if err := g.startSite(s, l); err != nil {
			return nil, err
		}
		s.processes = r.processes[before:]
	}
	return g, g.startGate()
}

// startSite starts the stand-ins, the controllers and the daemon of a site.
func (g *gateway) startSite(s *site, l limits) error {
	r := g.trial
	if _, err := r.start(s.name+"-state", "review-lab", "state", "-listen", s.state, "-control", s.control, "-rps", fmt.Sprint(l.rps), "-writes", fmt.Sprint(l.writes),
		"-value", fmt.Sprint(l.valueKB), "-ops", fmt.Sprint(l.txnOps)); err != nil {
		return err
	}
	var nodes []string
	for i, addr := range s.controllers {
		nodes = append(nodes, fmt.Sprintf("n-%d=%s", i, addr))
	}
	if _, err := r.start(s.name+"-cloud", "standin", "-state", "", "-cloud", s.cloud, "-nodes", strings.Join(nodes, ","), "-zone", s.name, "-boot", "2s", "-fetch", "500ms",
		"-lease", fmt.Sprint(l.leaseS), "-report", fmt.Sprint(l.reportS), "-machines", fmt.Sprint(l.machines), "-events", s.events); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	return g.startService(s)
}

// startService starts the controllers and the daemon of a site.
func (g *gateway) startService(s *site) (err error) {
	r := g.trial
	s.nodes = nil
	for i := range s.controllers {
		p, err := r.start(fmt.Sprintf("%s-n-%d", s.name, i), "dapplestage", "--site-daemon", s.local, "--config", filepath.Join(r.dir, fmt.Sprintf("%s-n-%d.toml", s.name, i)))
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, p)
	}
	s.daemon, err = r.start(s.name, "dapplestage", "gateway", "--config", s.daemonFile)
	return err
}

// startGate starts the gateway itself.
func (g *gateway) startGate() (err error) {
	g.process, err = g.trial.start("gate", "dapplestage", "gateway", "--config", g.file)
	return err
}

// ready reports whether all members say that they can take requests, and the gateway knows the load of all sites.
func (g *gateway) ready() bool {
	for _, api := range []string{g.api, g.sites[0].api, g.sites[1].api} {
		if status, _ := request(time.Second, "GET", "http://"+api+"/ready", nil); status != 200 {
			return false
		}
		_, body := request(time.Second, "GET", "http://"+api+"/admin/gateway/status", nil)
		var status struct {
			Members []struct {
				Site  bool    `json:"site"`
				Age   float64 `json:"hint_age_s"`
				Lease string  `json:"lease"`
			} `json:"members"`
		}
		if json.Unmarshal(body, &status) != nil {
			return false
		}
		for _, m := range status.Members {
			if m.Site && (m.Age < 0 || !strings.HasPrefix(m.Lease, "granted")) {
				return false
			}
		}
	}
	return true
}

// upload gives the workers of both sites the description of a job.
func (g *gateway) upload(job map[string]any) {
	for _, s := range g.sites {
		request(2*time.Second, "POST", "http://"+s.cloud+"/upload", job)
	}
}
