package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// Limits of the small deployment of the cases, as in examples/: the platform's file has the same
// fields.
const limits = `
[params.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 40.0

[params.state]
rps = 100.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 12

[params.cloud]
rps = 4.0
list_lag_s = 1.0

[params.quota]
cores = 1.0
memory_mb = 342.0
fd_limit = 3500
`

// team is a team of the settings.
type team struct {
	name          string
	gpus, gpusMax float64
}

// site is a deployment: a stand-in for its state service, cloud and workers, and its controllers.
type site struct {
	name        string
	cloud       string   // address
	controllers []string // addresses for users
	settings    []string // paths
	events      string   // path
	processes   []*process
	daemonLocal string // address of its daemon for the controllers; "": none
}

// startSite starts a deployment.
func (l *lab) startSite(name string, controllers, machines int, teams []team, daemonLocal string) (*site, error) {
	ports, err := freePorts(2 + 2*controllers)
	if err != nil {
		return nil, err
	}
	s := &site{name: name, cloud: address(ports[1]), events: filepath.Join(l.dir, name+".events"), daemonLocal: daemonLocal}
	api, peer := ports[2:2+controllers], ports[2+controllers:]
	var nodes []string
	for i := range controllers {
		nodes = append(nodes, fmt.Sprintf("n-%d=%s", i, address(api[i])))
		s.controllers = append(s.controllers, address(api[i]))
	}
	if _, err := l.start("standin-"+name, "target/standin", "-state", address(ports[0]), "-cloud", s.cloud, "-zone", name, "-nodes", strings.Join(nodes, ","),
		"-machines", fmt.Sprint(machines), "-boot", "1s", "-fetch", "100ms", "-report", "1", "-lease", "10", "-events", s.events); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	for i := range controllers {
		var text strings.Builder
		fmt.Fprintf(&text, "node = \"n-%d\"\nlocation = %q\napi_addr = %q\ncluster_listen = %q\n", i, name, address(api[i]), address(peer[i]))
		for k := range controllers {
			if k != i {
				fmt.Fprintf(&text, "\n[[siblings]]\nnode = \"n-%d\"\nlocation = %q\npeer_addr = %q\n", k, name, address(peer[k]))
			}
		}
		fmt.Fprintf(&text, "\n[external]\ncloud = %q\nstate = %q\n\n[params]\ninitial_size = %d\nzones = [%q]\nskew_ms = 100.0\n", s.cloud, address(ports[0]), controllers, name)
		for _, t := range teams {
			fmt.Fprintf(&text, "\n[[params.teams]]\nname = %q\ngpus = %.1f\ngpus_max = %.1f\n", t.name, t.gpus, t.gpusMax)
		}
		text.WriteString(limits)
		path, err := l.write(fmt.Sprintf("%s-n-%d.toml", name, i), text.String())
		if err != nil {
			return nil, err
		}
		s.settings = append(s.settings, path)
		// The run command of deploy/service.toml, with the path of the settings as its last argument.
		args := []string{"target/dapplestage", "--config", path}
		if daemonLocal != "" {
			args = []string{"target/dapplestage", "--site-daemon", daemonLocal, "--config", path}
		}
		p, err := l.start(fmt.Sprintf("%s-n-%d", name, i), args...)
		if err != nil {
			return nil, err
		}
		s.processes = append(s.processes, p)
	}
	for _, addr := range s.controllers {
		if err := waitFor(15*time.Second, "controller "+addr+" is ready", func() bool { return l.call("GET", addr, "/ready", nil).status == 200 }); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// upload gives the workers of a site the description of a job, as its user does.
func (l *lab) upload(s *site, job submission) error {
	if r := l.call("POST", s.cloud, "/upload", job); r.status != 200 {
		return fmt.Errorf("upload of %s to %s: %d %s", job.ID, s.name, r.status, r.body)
	}
	return nil
}

// member is a member of a gateway.
type member struct {
	name, listen, api string
	config            string
	process           *process
}

// startGateway starts two sites with a controller and a daemon each, and a gateway between them.
func (l *lab) startGateway(machines int, teams []team) (sites []*site, members []*member, err error) {
	if err := l.run("target/dapplestage", "keys", "init", "gate", "quito", "xela", "--dir", filepath.Join(l.dir, "keys")); err != nil {
		return nil, nil, err
	}
	ports, err := freePorts(8)
	if err != nil {
		return nil, nil, err
	}
	for i, name := range []string{"gate", "quito", "xela"} {
		members = append(members, &member{name: name, listen: address(ports[2*i]), api: address(ports[2*i+1])})
	}
	for i, name := range []string{"quito", "xela"} {
		s, err := l.startSite(name, 1, machines, teams, address(ports[6+i]))
		if err != nil {
			return nil, nil, err
		}
		sites = append(sites, s)
	}
	for i, m := range members {
		var text strings.Builder
		fmt.Fprintf(&text, "member = %q\nlisten = %q\napi_addr = %q\nworkers_lease_s = 10.0\ncancel_s = 40.0\n\n[keys]\ndir = %q\n", m.name, m.listen, m.api, filepath.Join(l.dir, "keys"))
		if i == 0 {
			fmt.Fprintf(&text, "\n[journal]\npath = %q\n", filepath.Join(l.dir, "gate.journal"))
		} else {
			s := sites[i-1]
			fmt.Fprintf(&text, "\n[site]\nsettings = %q\nlocal = %q\ncontrollers = [%q]\n", s.settings[0], s.daemonLocal, s.controllers[0])
		}
		for k, other := range members {
			fmt.Fprintf(&text, "\n[[members]]\nname = %q\naddr = %q\n", other.name, other.listen)
			if k > 0 {
				text.WriteString("site = true\n")
			}
		}
		if m.config, err = l.write("member-"+m.name+".toml", text.String()); err != nil {
			return nil, nil, err
		}
		if m.process, err = l.start("member-"+m.name, "target/dapplestage", "gateway", "--config", m.config); err != nil {
			return nil, nil, err
		}
	}
	for _, m := range members {
		if err := waitFor(30*time.Second, "member "+m.name+" is ready", func() bool { return l.call("GET", m.api, "/ready", nil).status == 200 }); err != nil {
			return nil, nil, err
		}
	}
	return sites, members, nil
}
