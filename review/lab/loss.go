package main

import (
	"fmt"
	"time"
)

// Of the case of a lost site.
const (
	lossJobs = 400
	// unansweredLimit is the time without an answer after which a job counts as forgotten
	// (kit/more/hunt/LATER.md).
	unansweredLimit = 75 * time.Second
	lossEnd         = 116 * time.Second
)

// siteLoss: one of two sites is lost as a whole. The users ask the members that are left, the
// gateway and the daemon of the other site.
func siteLoss(r *trial) (bool, error) {
	g, err := newGateway(r, xelaOps)
	if err != nil {
		return false, err
	}
	if !waitFor(20*time.Second, g.ready) {
		return false, fmt.Errorf("the members were not ready in time")
	}
	r.note("all members are ready")
	quito, xela := g.sites[0], g.sites[1]
	gate, left := &member{name: "gate", api: g.api}, &member{name: "xela", api: xela.api}
	u := newUsers(r, gate, left)
	defer u.end()
	for i := range lossJobs {
		j := job(fmt.Sprintf("job-%06d", i+1), "equipo-vivero", "standing", 1, 0.1, 0.01, nil)
		g.upload(j)
		u.run(u.members[i%2], j)
		time.Sleep(13 * time.Millisecond)
	}
	if !waitFor(10*time.Second, func() bool { return u.accepted.Load() == lossJobs }) {
		return false, fmt.Errorf("only %d jobs were accepted", u.accepted.Load())
	}
	r.note("%d jobs are accepted", lossJobs)
	u.report("before")
	if r.trouble {
		for _, p := range quito.processes {
			p.kill()
		}
		r.note("site quito is lost: its daemon, controllers, state service, cloud and workers are killed")
	}
	accepted := 0
	for i := 0; time.Since(r.startedAt) < lossEnd-5*time.Second; i++ {
		time.Sleep(5 * time.Second)
		u.report("last 5 s")
		// One more user every 5 s, for the record.
		j := job(fmt.Sprintf("job-%06d", 900001+i), "equipo-modelos", "sweep", 1, 0.1, 0.01, map[string]any{"expectS": 2.0})
		g.upload(j)
		status, body := request(5*time.Second, "POST", "http://"+u.members[i%2].api+"/api/jobs", j)
		r.note("%s: POST /api/jobs %s: %d %s", u.members[i%2].name, j["id"], status, short(body))
		if status == 200 || status == 201 {
			accepted++
		}
	}
	time.Sleep(time.Until(r.startedAt.Add(lossEnd)))
	pause := u.pauses()
	stateStatus, _ := request(time.Second, "GET", "http://"+xela.state+"/store/d/counter", nil)
	controller, _ := request(time.Second, "GET", "http://"+xela.controllers[0]+"/ready", nil)
	r.note("at the end: state service of xela answers %d, its first controller /ready %d; processes of gate and of xela's daemon alive: %v %v", stateStatus, controller, g.process.alive(), xela.daemon.alive())
	r.noteEvents(xela)
	r.note("longest time without an answer about any of %d jobs: %.1f s; later submissions accepted: %d", lossJobs, pause.Seconds(), accepted)
	if stateStatus != 200 || controller != 200 || !g.process.alive() || !xela.daemon.alive() {
		return false, fmt.Errorf("the other site did not stay up")
	}
	return pause >= unansweredLimit, nil
}
