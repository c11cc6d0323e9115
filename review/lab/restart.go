package main

import (
	"fmt"
	"time"
)

// Of the case of a restart of all.
const (
	restartJobs  = 400
	restartDelay = 8 * time.Second // a process is back about 8 s after its end
	restartEnd   = 110 * time.Second
)

// restartAll: all processes of the service end and are back 8 s later. State services, clouds,
// workers and users go on.
func restartAll(r *trial) (bool, error) {
	g, err := newGateway(r, xelaOps)
	if err != nil {
		return false, err
	}
	if !waitFor(20*time.Second, g.ready) {
		return false, fmt.Errorf("the members were not ready in time")
	}
	r.note("all members are ready")
	u := newUsers(r, &member{name: "gate", api: g.api}, &member{name: "quito", api: g.sites[0].api}, &member{name: "xela", api: g.sites[1].api})
	defer u.end()
	for i := range restartJobs {
		j := job(fmt.Sprintf("job-%06d", i+1), "equipo-vivero", "standing", 1, 0.1, 0.01, nil)
		g.upload(j)
		u.run(u.members[i%3], j)
		time.Sleep(13 * time.Millisecond)
	}
	if !waitFor(10*time.Second, func() bool { return u.accepted.Load() == restartJobs }) {
		return false, fmt.Errorf("only %d jobs were accepted", u.accepted.Load())
	}
	r.note("%d jobs are accepted", restartJobs)
	time.Sleep(2 * time.Second)
	u.report("before")
	if r.trouble {
		g.process.kill()
		for _, s := range g.sites {
			s.daemon.kill()
			for _, p := range s.nodes {
				p.kill()
			}
		}
		r.note("the gateway, both daemons and all controllers are killed")
		time.Sleep(restartDelay)
		for _, s := range g.sites {
			if err := g.startService(s); err != nil {
				return false, err
			}
		}
		if err := g.startGate(); err != nil {
			return false, err
		}
	}
	over := time.Now()
	u.forget()
	r.note("all processes run: the trouble is over")
	accepted := 0
	for i := 0; time.Since(r.startedAt) < restartEnd-5*time.Second; i++ {
		time.Sleep(5 * time.Second)
		u.report("last 5 s")
		// One more user every 5 s, for the record.
		j := job(fmt.Sprintf("job-%06d", 900001+i), "equipo-modelos", "sweep", 1, 0.1, 0.01, map[string]any{"expectS": 2.0})
		g.upload(j)
		m := u.members[i%3]
		status, body := request(5*time.Second, "POST", "http://"+m.api+"/api/jobs", j)
		r.note("%s: POST /api/jobs %s: %d %s", m.name, j["id"], status, short(body))
		if status == 200 || status == 201 {
			accepted++
		}
	}
	time.Sleep(time.Until(r.startedAt.Add(restartEnd)))
	pause := u.pauses()
	for _, s := range g.sites {
		state, _ := request(time.Second, "GET", "http://"+s.state+"/store/d/counter", nil)
		controller, _ := request(time.Second, "GET", "http://"+s.controllers[0]+"/ready", nil)
		r.note("at the end: state service of %s answers %d, its first controller /ready %d; its daemon's process alive: %v", s.name, state, controller, s.daemon.alive())
		if state != 200 || controller != 200 || !s.daemon.alive() || !g.process.alive() {
			return false, fmt.Errorf("a process that was started again did not stay up")
		}
		r.noteEvents(s)
	}
	r.note("longest time without an answer about any of %d jobs, in the %.0f s after the trouble: %.1f s; later submissions accepted: %d", restartJobs, time.Since(over).Seconds(), pause.Seconds(), accepted)
	return pause >= unansweredLimit, nil
}
