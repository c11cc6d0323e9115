package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// gatewayTeams are the teams of the cases with two sites.
var gatewayTeams = []team{{name: "red", gpus: 8, gpusMax: 16}, {name: "blue", gpus: 4, gpusMax: 8}}

// runsAt returns the machines of a site on which a task is.
func runsAt(s *site, task string) (machines []string) {
	for m := range onMachines(readEvents(s.events))[task] {
		machines = append(machines, s.name+"/"+m)
	}
	return machines
}

// twiceAcrossSites: a job is submitted at the gateway while the daemon of one site is down, and runs
// at the other site. When the daemon is up again and ready, the user repeats the submission at a
// controller of its site.
func twiceAcrossSites(l *lab) (string, error) {
	sites, members, err := l.startGateway(2, gatewayTeams)
	if err != nil {
		return "", err
	}
	const other = 1
	job := submission{ID: "job-000412", Lot: "demo", Crew: "red", Shape: "sweep", Urgency: "standard", Pieces: 1, VCPUs: 4, Cards: 1, MemGB: 16, Bundle: "img-1", SizeGB: 1, Loaners: true, ExpectS: 60}
	for _, s := range sites {
		if err := l.upload(s, job); err != nil {
			return "", err
		}
	}
	// Both sites could run the job. The gateway gives it to the one that is there.
	daemon := members[1+other]
	if l.trouble {
		daemon.process.kill()
		l.note("killed the daemon of site %s", daemon.name)
		time.Sleep(4 * time.Second) // the gateway counts it as away after 3 s
	}
	if r := l.submit(members[0].api, job); r.status != 201 {
		return "", fmt.Errorf("not accepted: %d", r.status)
	}
	task := job.ID + "/0"
	runner := -1
	if err := waitFor(30*time.Second, "the task runs", func() bool {
		for i, s := range sites {
			if len(runsAt(s, task)) > 0 {
				runner = i
			}
		}
		return runner >= 0
	}); err != nil {
		return "", err
	}
	l.note("%s is on %v", task, runsAt(sites[runner], task))
	if l.trouble {
		if daemon.process, err = l.start("member-"+daemon.name, "target/dapplestage", "gateway", "--config", daemon.config); err != nil {
			return "", err
		}
		if err := waitFor(20*time.Second, "the daemon is ready", func() bool { return l.call("GET", daemon.api, "/ready", nil).status == 200 }); err != nil {
			return "", err
		}
		l.note("the daemon of site %s is up and ready again", daemon.name)
	}
	time.Sleep(5 * time.Second)
	away := 1 - runner
	for range 3 { // the user repeats the submission, for example since its answer was lost
		r := l.call("POST", sites[away].controllers[0], "/api/jobs", job)
		l.note("POST /api/jobs %s to a controller of %s: %d %s", job.ID, sites[away].name, r.status, r.body)
		if r.status == 200 || r.status == 201 {
			break
		}
		time.Sleep(time.Second)
	}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		here, there := runsAt(sites[runner], task), runsAt(sites[away], task)
		if len(here) > 0 && len(there) > 0 {
			return fmt.Sprintf("ran_twice: %s is on %s and on %s at once", task, strings.Join(here, " "), strings.Join(there, " ")), nil
		}
		if len(here) == 0 {
			return "", errors.New("the task left its first machine")
		}
	}
	return "", nil
}

// startMargin is how long after a confirmed cancellation a start is still counted as ordered
// before: an order takes some milliseconds to its worker, which fetches the image in 0.1 s and
// looks at its tasks every 0.2 s.
const startMargin = time.Second

// startedAfterCancellation: an array with many short tasks runs at one site. The daemon of that
// site ends, and the user cancels the job at the gateway.
func startedAfterCancellation(l *lab) (string, error) {
	sites, members, err := l.startGateway(2, gatewayTeams)
	if err != nil {
		return "", err
	}
	job := submission{ID: "job-000413", Lot: "demo", Crew: "red", Shape: "sweep", Urgency: "standard", Pieces: 200, VCPUs: 4, Cards: 1, MemGB: 16, Bundle: "img-1", SizeGB: 1, Loaners: true, ExpectS: 1}
	for _, s := range sites {
		if err := l.upload(s, job); err != nil {
			return "", err
		}
	}
	if r := l.submit(members[0].api, job); r.status != 201 {
		return "", fmt.Errorf("not accepted: %d", r.status)
	}
	owner := -1
	if err := waitFor(30*time.Second, "some tasks have run", func() bool {
		for i, s := range sites {
			if len(readEvents(s.events)) > 20 {
				owner = i
			}
		}
		return owner >= 0
	}); err != nil {
		return "", err
	}
	l.note("the job runs at %s", sites[owner].name)
	if l.trouble {
		m := members[1+owner]
		m.process.kill()
		l.note("killed the daemon of site %s", m.name)
	}
	var confirmedAt time.Time
	for range 30 {
		r := l.call("POST", members[0].api, "/api/jobs/"+job.ID+"/cancel", nil)
		l.note("POST /api/jobs/%s/cancel to the gateway: %d %s", job.ID, r.status, r.body)
		if r.status == 200 && r.state.Status == "withdrawn" {
			confirmedAt = time.Now()
			break
		}
		time.Sleep(time.Second)
	}
	if confirmedAt.IsZero() {
		return "", errors.New("the cancellation was not confirmed")
	}
	time.Sleep(12 * time.Second)
	late, last := 0, time.Duration(0)
	for _, s := range sites {
		for _, e := range readEvents(s.events) {
			after := time.Unix(0, e.At).Sub(confirmedAt)
			if e.Event != "start" || after <= 0 {
				continue
			}
			l.note("%s started on %s/%s %.2f s after the confirmation", e.Task, s.name, e.Machine, after.Seconds())
			if after > startMargin {
				late, last = late+1, max(last, after)
			}
		}
	}
	if late > 0 {
		return fmt.Sprintf("%d tasks started more than %v after the cancellation was confirmed, the last %.1f s after it", late, startMargin, last.Seconds()), nil
	}
	return "", nil
}
