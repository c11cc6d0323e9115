package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Of the case of a wave that takes the machines of one team.
const (
	waveTasks   = 12               // replicas of the service concerned
	waitLimit   = 90 * time.Second // kit/more/hunt/LATER.md
	machinesNow = 9
)

// taskEvent is a line of the platform's record of tasks.
type taskEvent struct {
	At                   int64
	Event, Task, Machine string
}

// readEvents reads the platform's record of tasks.
func readEvents(path string) (events []taskEvent) {
	data, _ := os.ReadFile(path)
	for line := range strings.Lines(string(data)) {
		var e taskEvent
		if json.Unmarshal([]byte(line), &e) == nil {
			events = append(events, e)
		}
	}
	return events
}

// onMachines returns on which machine each task of a job is (all jobs: an empty id).
func onMachines(events []taskEvent, id string) map[string]string {
	on := map[string]string{}
	for _, e := range events {
		if id != "" && !strings.HasPrefix(e.Task, id+"/") {
			continue
		}
		if e.Event == "start" {
			on[e.Task] = e.Machine
		} else if on[e.Task] == e.Machine {
			delete(on, e.Task)
		}
	}
	return on
}

// spotWave: the cloud takes a third of the cheap machines back without notice, among them all that
// a service runs on, and the controller of its team ends and is back 8 s later.
func spotWave(r *trial) (bool, error) {
	l := xelaOps
	state, control, cloud := r.addr(), r.addr(), r.addr()
	events := filepath.Join(r.dir, "events.jsonl")
	var addrs, peers, named, files []string
	for i := range l.nodes {
		addrs, peers = append(addrs, r.addr()), append(peers, r.addr())
		named = append(named, fmt.Sprintf("n-%d=%s", i, addrs[i]))
	}
	for i := range l.nodes {
		text := fmt.Sprintf("node = \"n-%d\"\nlocation = \"altiplano\"\napi_addr = %q\ncluster_listen = %q\n", i, addrs[i], peers[i])
		for k := range l.nodes {
			if k != i {
				text += fmt.Sprintf("[[siblings]]\nnode = \"n-%d\"\nlocation = \"altiplano\"\npeer_addr = %q\n", k, peers[k])
			}
		}
		text += fmt.Sprintf("[external]\ncloud = %q\nstate = %q\n[params]\ninitial_size = %d\nzones = [\"altiplano\"]\nskew_ms = 25.0\n", cloud, state, l.nodes)
		for _, team := range []string{"equipo-vivero", "equipo-modelos", "cooperativa-cafe"} {
			text += fmt.Sprintf("[[params.teams]]\nname = %q\ngpus = 12.0\ngpus_max = 40.0\n", team)
		}
		text += fmt.Sprintf("[params.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = 40.0\ngang_peer_s = 6.0\ncancel_s = %g\n", l.reportS, l.leaseS, l.cancelS)
		text += fmt.Sprintf("[params.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n", l.rps, l.writes, l.valueKB, l.txnOps)
		text += fmt.Sprintf("[params.cloud]\nrps = 4.0\nlist_lag_s = 8.0\n[params.quota]\ncores = %g\nmemory_mb = %g\nfd_limit = %d\n", l.cores, l.memoryMB, l.fdLimit)
		files = append(files, r.write(fmt.Sprintf("n-%d.toml", i), text))
	}
	if _, err := r.start("state", "review-lab", "state", "-listen", state, "-control", control, "-rps", fmt.Sprint(l.rps), "-writes", fmt.Sprint(l.writes), "-value", fmt.Sprint(l.valueKB), "-ops", fmt.Sprint(l.txnOps)); err != nil {
		return false, err
	}
	if _, err := r.start("cloud", "standin", "-state", "", "-cloud", cloud, "-nodes", strings.Join(named, ","), "-zone", "altiplano", "-boot", "2s", "-fetch", "500ms", "-lease", fmt.Sprint(l.leaseS),
		"-report", fmt.Sprint(l.reportS), "-machines", fmt.Sprint(machinesNow), "-workers", fmt.Sprint(20000+rand.IntN(10000)), "-events", events); err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	nodes := make([]*process, l.nodes)
	for i := range nodes {
		var err error
		if nodes[i], err = r.start(fmt.Sprintf("n-%d", i), "dapplestage", "--config", files[i]); err != nil {
			return false, err
		}
	}
	ready := func() bool {
		return !slices.ContainsFunc(addrs, func(addr string) bool {
			status, _ := request(time.Second, "GET", "http://"+addr+"/ready", nil)
			return status != 200
		})
	}
	if !waitFor(15*time.Second, ready) {
		return false, fmt.Errorf("the controllers were not ready in time")
	}
	time.Sleep(2 * time.Second) // each controller takes its part of the teams
	submit := func(number int, team string, tasks int) string {
		id := fmt.Sprintf("job-%06d", number)
		j := job(id, team, "standing", tasks, 5, 1, map[string]any{"loaners": true, "urgency": "high"})
		request(2*time.Second, "POST", "http://"+cloud+"/upload", j)
		for range 5 {
			status, body := request(5*time.Second, "POST", "http://"+addrs[number%len(addrs)]+"/api/jobs", j)
			r.note("POST /api/jobs %s of %s, %d replicas: %d %s", id, team, tasks, status, short(body))
			if status == 200 || status == 201 {
				break
			}
			time.Sleep(time.Second)
		}
		return id
	}
	// Each service fits three machines; one of equipo-vivero has room for three more replicas.
	submit(1, "equipo-vivero", 9)
	lost := submit(2, "equipo-modelos", waveTasks)
	submit(3, "cooperativa-cafe", 12)
	if !waitFor(20*time.Second, func() bool { return len(onMachines(readEvents(events), "")) == 9+waveTasks+12 }) {
		return false, fmt.Errorf("the services did not run in time")
	}
	time.Sleep(5 * time.Second)
	var taken []string
	for _, machine := range onMachines(readEvents(events), lost) {
		if !slices.Contains(taken, machine) {
			taken = append(taken, machine)
		}
	}
	owner := -1
	for i, addr := range addrs {
		_, body := request(2*time.Second, "GET", "http://"+addr+"/admin/status", nil)
		var status struct {
			Shares []struct {
				Share  int    `json:"share"`
				Holder string `json:"holder"`
			} `json:"shares"`
			Teams []struct {
				Name  string `json:"team"`
				Share int    `json:"share"`
			} `json:"teams"`
		}
		if i > 0 || json.Unmarshal(body, &status) != nil {
			continue
		}
		for _, team := range status.Teams {
			for _, share := range status.Shares {
				if team.Name == "equipo-modelos" && share.Share == team.Share {
					fmt.Sscanf(share.Holder, "n-%d", &owner)
				}
			}
		}
	}
	if len(taken) != 3 || owner < 0 {
		return false, fmt.Errorf("the service is on %v, its team's controller is %d", taken, owner)
	}
	r.note("%s runs on %v, the controller of its team is n-%d", lost, taken, owner)
	if r.trouble {
		for _, machine := range taken {
			request(2*time.Second, "POST", "http://"+cloud+"/kill/"+machine, nil)
		}
		r.note("the cloud has taken back %v of %d cheap machines, without notice", taken, machinesNow)
		nodes[owner].kill()
		r.note("n-%d is killed", owner)
		time.Sleep(8 * time.Second)
		var err error
		if nodes[owner], err = r.start(fmt.Sprintf("n-%d", owner), "dapplestage", "--config", files[owner]); err != nil {
			return false, err
		}
	}
	over := time.Now()
	r.note("the troubles are over")
	// The longest time in which the service has no task on any machine, while another machine that fits
	// has room for some: four GPUs a machine, one a task.
	var waitingSince time.Time
	longest := time.Duration(0)
	next := time.Now()
	for time.Since(over) < waitLimit+2*time.Second {
		time.Sleep(200 * time.Millisecond)
		all := readEvents(events)
		perMachine := map[string]int{}
		for _, machine := range onMachines(all, "") {
			perMachine[machine]++
		}
		var room []string
		for machine, tasks := range perMachine {
			if tasks < 4 && !(r.trouble && slices.Contains(taken, machine)) {
				room = append(room, machine)
			}
		}
		running := len(onMachines(all, lost))
		switch now := time.Now(); {
		case running > 0 || len(room) == 0:
			waitingSince = time.Time{}
		case waitingSince.IsZero():
			waitingSince = now
		default:
			longest = max(longest, now.Sub(waitingSince))
		}
		if !time.Now().Before(next) {
			next = time.Now().Add(10 * time.Second)
			_, body := request(2*time.Second, "GET", "http://"+addrs[(owner+1)%len(addrs)]+"/api/jobs/"+lost, nil)
			r.note("%s: %d replicas on machines, machines with room: %v; users are told %s", lost, running, room, short(body))
		}
	}
	if !ready() {
		return false, fmt.Errorf("a controller is not ready at the end")
	}
	r.note("longest time without any replica of %s although a machine that fits had room, counted from the end of the troubles: %.1f s", lost, longest.Seconds())
	return longest >= waitLimit, nil
}
