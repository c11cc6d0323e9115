package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Of the case of a daemon that hangs.
const (
	hangJobs   = 600
	hangOutage = 78 * time.Second
	stormTime  = 60 * time.Second // poll_storm of viveroscloud-xela-ops: factor 8 for 60 s
	hangSettle = 10 * time.Second // what the daemon is given after the outage
)

// daemonHang: the state service of one site is down for longer than cancel_s while users ask
// about their jobs at all members. Afterwards that site's daemon must answer again.
func daemonHang(r *trial) (bool, error) {
	g, err := newGateway(r, xelaHunt)
	if err != nil {
		return false, err
	}
	if !waitFor(20*time.Second, g.ready) {
		return false, fmt.Errorf("the members were not ready in time")
	}
	r.note("all members are ready")
	quito, xela := g.sites[0], g.sites[1]
	members := []*member{{name: "gate", api: g.api}, {name: "quito", api: quito.api}, {name: "xela", api: xela.api}}
	u := newUsers(r, members...)
	defer u.end()
	for i := range hangJobs {
		j := job(fmt.Sprintf("job-%06d", i+1), "equipo-vivero", "standing", 1, 0.1, 0.01, nil)
		g.upload(j)
		u.run(members[i%3], j)
		time.Sleep(11 * time.Millisecond)
	}
	if !waitFor(10*time.Second, func() bool { return u.accepted.Load() == hangJobs }) {
		return false, fmt.Errorf("only %d jobs were accepted", u.accepted.Load())
	}
	r.note("%d jobs are accepted", hangJobs)
	begun := time.Now()
	u.interval.Store(int64(5 * time.Second / 8))
	r.note("users ask eight times as often for %v", stormTime)
	time.AfterFunc(stormTime, func() { u.interval.Store(int64(5 * time.Second)) })
	go u.smallJobs(g, begun.Add(hangOutage))
	if r.trouble {
		request(time.Second, "POST", "http://"+quito.control+"/outage/on", nil)
		r.note("the state service of quito is down")
	}
	for time.Since(begun) < hangOutage {
		time.Sleep(min(4*time.Second, time.Until(begun.Add(hangOutage))))
		u.report("last 4 s")
	}
	if r.trouble {
		request(time.Second, "POST", "http://"+quito.control+"/outage/off", nil)
		r.note("the state service of quito is back")
	}
	time.Sleep(hangSettle)
	u.report("then")
	probes, answers := 0, 0
	for probes = range 4 {
		state, _ := request(time.Second, "GET", "http://"+quito.state+"/store/d/counter", nil)
		controller, _ := request(time.Second, "GET", "http://"+quito.controllers[0]+"/ready", nil)
		daemon, _ := request(2*time.Second, "GET", "http://"+quito.api+"/ready", nil)
		poll, _ := request(2*time.Second, "GET", "http://"+quito.api+"/api/jobs/job-000002", nil)
		r.note("status (0: no response): state service of quito %d, its controller /ready %d; its daemon /ready %d, poll %d, process alive %v", state, controller, daemon, poll, quito.daemon.alive())
		if state != 200 || controller != 200 || !quito.daemon.alive() {
			return false, fmt.Errorf("the site did not come back")
		}
		if daemon != 0 || poll != 0 {
			answers++
		}
	}
	u.report("then")
	r.note("of %d probes the daemon of quito answered %d", probes+1, answers)
	if answers == 0 {
		// What its goroutines wait for.
		quito.daemon.cmd.Process.Signal(syscall.SIGQUIT)
		<-quito.daemon.exited
		data, _ := os.ReadFile(filepath.Join(r.dir, "quito.log"))
		for _, stack := range strings.Split(string(data), "\n\n") {
			if strings.Contains(stack, "gateway.(*Daemon).storeBatches") || strings.Contains(stack, "gateway.(*Daemon).applyEffects") {
				r.note("%.1500s", stack)
			}
		}
	}
	return answers == 0, nil
}

// smallJobs submits jobs of one short task, four a second, of which a quarter is cancelled, until
// a time.
func (u *users) smallJobs(g *gateway, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		j := job(fmt.Sprintf("job-%06d", 800001+i), "equipo-modelos", "sweep", 1, 0.1, 0.01, map[string]any{"expectS": 2.0})
		m := u.members[i%len(u.members)]
		go func() {
			g.upload(j)
			status, _ := request(5*time.Second, "POST", "http://"+m.api+"/api/jobs", j)
			if i%4 == 3 && status == 201 {
				request(5*time.Second, "POST", "http://"+m.api+"/api/jobs/"+j["id"].(string)+"/cancel", nil)
			}
		}()
		time.Sleep(250 * time.Millisecond)
	}
}
