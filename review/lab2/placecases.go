package main

import (
	"fmt"
	"time"
)

// The machines of the stand-in: 24 CPUs, 4 GPUs and 192 GB each.
const (
	machineCPUs  = 24
	machineGPUs  = 4
	machineMemGB = 192
)

// waitLimit is how long a job may wait while a machine that fits has room.
const waitLimit = 90 * time.Second

// service is a job of a counter service, as leaf-id: each replica takes 4 CPUs and a GPU.
func service(id, crew string, replicas int) submission {
	return submission{ID: id, Lot: "leaf-id", Crew: crew, Shape: "standing", Urgency: "critical", Pieces: replicas, VCPUs: 4, Cards: 1, MemGB: 29, Bundle: "img-leaf", SizeGB: 1}
}

// room returns how many of a job's tasks fit beside the tasks that are on the machines, given the
// jobs by their ids.
func room(s *site, jobs map[string]submission, need submission) (tasks int, used string) {
	type use struct{ cpus, gpus, mem float64 }
	byMachine := map[string]*use{}
	for task, machines := range onMachines(readEvents(s.events)) {
		for m := range machines {
			if byMachine[m] == nil {
				byMachine[m] = &use{}
			}
			job := jobs[task[:len("job-000000")]]
			u := byMachine[m]
			u.cpus, u.gpus, u.mem = u.cpus+job.VCPUs, u.gpus+job.Cards, u.mem+job.MemGB
		}
	}
	for m, u := range byMachine {
		used += fmt.Sprintf(" %s: %g CPUs, %g GPUs, %g GB in use;", m, u.cpus, u.gpus, u.mem)
		for u.cpus+need.VCPUs <= machineCPUs && u.gpus+need.Cards <= machineGPUs && u.mem+need.MemGB <= machineMemGB {
			u.cpus, u.gpus, u.mem = u.cpus+need.VCPUs, u.gpus+need.Cards, u.mem+need.MemGB
			tasks++
		}
	}
	return tasks, used
}

// waitsWithRoom submits a job and watches it. It returns what is wrong if the job waits for
// waitLimit while there is room for it all the time.
func (l *lab) waitsWithRoom(s *site, jobs map[string]submission, job submission) (string, error) {
	if err := l.upload(s, job); err != nil {
		return "", err
	}
	if r := l.submit(s.controllers[0], job); r.status != 201 {
		return "", fmt.Errorf("not accepted: %d", r.status)
	}
	since := time.Now()
	for next := time.Now(); ; time.Sleep(250 * time.Millisecond) {
		fits, used := room(s, jobs, job)
		r := l.call("GET", s.controllers[0], "/api/jobs/"+job.ID, nil)
		if !time.Now().Before(next) {
			next = time.Now().Add(10 * time.Second)
			l.note("GET /api/jobs/%s: %d %s; room for %d tasks:%s", job.ID, r.status, r.body, fits, used)
		}
		if r.state.Status == "running" || r.state.Status == "done" {
			l.note("GET /api/jobs/%s: %d %s", job.ID, r.status, r.body)
			return "", nil
		}
		if fits == 0 {
			since = time.Now()
			if time.Since(l.startedAt) > 100*time.Second {
				return "", fmt.Errorf("there was no room for the job")
			}
		}
		if time.Since(since) > waitLimit {
			return fmt.Sprintf("%s has waited for %.0f s while there was room for %d of its tasks:%s", job.ID, time.Since(since).Seconds(), fits, used), nil
		}
	}
}

// runServices submits services one after the other and waits until all replicas run.
func (l *lab) runServices(s *site, jobs map[string]submission, services ...submission) error {
	for _, job := range services {
		jobs[job.ID] = job
		if err := l.upload(s, job); err != nil {
			return err
		}
		if r := l.submit(s.controllers[len(jobs)%len(s.controllers)], job); r.status != 201 {
			return fmt.Errorf("not accepted: %d", r.status)
		}
		if err := waitFor(20*time.Second, job.ID+" runs whole", func() bool {
			running := 0
			for task, machines := range onMachines(readEvents(s.events)) {
				if task[:len(job.ID)] == job.ID {
					running += len(machines)
				}
			}
			return running == job.Pieces
		}); err != nil {
			return err
		}
	}
	return nil
}

// idleRoomOfGPUMachines: the GPUs of two machines are taken by services, which leave CPUs and memory
// free. A job that needs no GPU comes. The cloud has six more machines.
func idleRoomOfGPUMachines(l *lab) (string, error) {
	// The guests' team shares its partition with the first team.
	s, err := l.startSite("costa", 2, 8, []team{{name: "vivero", gpus: 8, gpusMax: 16}, {name: "modelos", gpus: 12, gpusMax: 16}, {name: "cafe", gpusMax: 16}}, "")
	if err != nil {
		return "", err
	}
	jobs := map[string]submission{}
	services := []submission{service("job-000101", "vivero", 4), service("job-000102", "vivero", 4)}
	if !l.trouble {
		services = []submission{service("job-000101", "vivero", 2)}
	}
	if err := l.runServices(s, jobs, services...); err != nil {
		return "", err
	}
	l.note("all services run; the burst is over")
	return l.waitsWithRoom(s, jobs, submission{ID: "job-000201", Lot: "suelo-nocturno", Crew: "cafe", Shape: "sweep", Urgency: "best_effort", Pieces: 1, VCPUs: 6, MemGB: 43.2, Bundle: "img-suelo", SizeGB: 0.5, Loaners: true, ExpectS: 5})
}

// idleRoomOfAnotherPartition: the services of one team take a few GPUs of all machines. A job of
// another team comes.
func idleRoomOfAnotherPartition(l *lab) (string, error) {
	s, err := l.startSite("costa", 2, 2, []team{{name: "vivero", gpus: 5, gpusMax: 16}, {name: "modelos", gpus: 3, gpusMax: 16}}, "")
	if err != nil {
		return "", err
	}
	jobs := map[string]submission{}
	services := []submission{service("job-000101", "vivero", 2), service("job-000102", "vivero", 2), service("job-000103", "vivero", 1)}
	if !l.trouble {
		services = services[:1]
	}
	if err := l.runServices(s, jobs, services...); err != nil {
		return "", err
	}
	l.note("all services run; the burst is over")
	return l.waitsWithRoom(s, jobs, service("job-000201", "modelos", 1))
}

// blamedMachine: a service runs on the only machine that has room. A user submits three jobs with a
// mistake and cancels them. Then sound jobs come.
func blamedMachine(l *lab) (string, error) {
	s, err := l.startSite("costa", 2, 2, []team{{name: "vivero", gpus: 5, gpusMax: 16}, {name: "modelos", gpus: 3, gpusMax: 16}}, "")
	if err != nil {
		return "", err
	}
	jobs := map[string]submission{}
	if err := l.runServices(s, jobs, service("job-000101", "vivero", 4), service("job-000102", "vivero", 1)); err != nil {
		return "", err
	}
	tag := func(number int) submission {
		return submission{ID: fmt.Sprintf("job-%06d", number), Lot: "photo-tag", Crew: "vivero", Shape: "sweep", Urgency: "best_effort", Pieces: 1, VCPUs: 5, Cards: 1, MemGB: 36, Bundle: "img-tag", SizeGB: 1, Loaners: true, ExpectS: 2}
	}
	if l.trouble {
		const mistaken = 3
		for k := range mistaken {
			job := tag(201 + k)
			if err := l.upload(s, job); err != nil {
				return "", err
			}
			if r := l.call("POST", s.cloud, "/mistaken/"+job.ID+"/true", nil); r.status != 200 {
				return "", fmt.Errorf("%s could not be made a mistake: %d", job.ID, r.status)
			}
			l.note("%s has a mistake: it fails on every machine", job.ID)
			if r := l.submit(s.controllers[0], job); r.status != 201 {
				return "", fmt.Errorf("not accepted: %d", r.status)
			}
		}
		if err := waitFor(15*time.Second, "each of the three jobs has failed", func() bool {
			failed := map[string]bool{}
			for _, e := range readEvents(s.events) {
				if e.Event == "error" {
					failed[e.Task] = true
				}
			}
			return len(failed) == mistaken
		}); err != nil {
			return "", err
		}
		for k := range mistaken {
			id := tag(201 + k).ID
			if err := waitFor(10*time.Second, id+" is cancelled", func() bool {
				r := l.call("POST", s.controllers[0], "/api/jobs/"+id+"/cancel", nil)
				l.note("POST /api/jobs/%s/cancel: %d %s", id, r.status, r.body)
				return r.status == 200
			}); err != nil {
				return "", err
			}
		}
	}
	// With these, three of 75 jobs of the class have a mistake.
	go func() {
		time.Sleep(5 * time.Second)
		for k := range 71 {
			if job := tag(302 + k); l.upload(s, job) == nil {
				l.call("POST", s.controllers[0], "/api/jobs", job)
			}
		}
	}()
	return l.waitsWithRoom(s, jobs, tag(301))
}
