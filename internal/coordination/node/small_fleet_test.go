package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
)

// Drawn small sites: one to four machines and no more to rent, services that do not end, and jobs of all
// shapes that must find the room that is left, wherever it is.

// smallSite is a drawn site.
type smallSite struct {
	machines       int
	teams          []protocol.Team
	services       []*protocol.JobSpec // submitted one after the other, each once the one before runs
	mistaken       []*protocol.JobSpec // fail on every machine
	cancelMistaken bool
	waiting        []*protocol.JobSpec // submitted last
	fault          func(w *simCluster) // while the last jobs are submitted; nil: none
}

// siteNeeds are what tasks need, with and without GPUs.
var siteNeeds = []Resources{{CPUs: 4, GPUs: 1, MemoryGB: 29}, {CPUs: 5, GPUs: 1, MemoryGB: 36}, {CPUs: 6, MemoryGB: 43}, {CPUs: 1, MemoryGB: 2}, {CPUs: 10, GPUs: 2, MemoryGB: 70}, {CPUs: 21, GPUs: 4, MemoryGB: 150}}

// drawSmallSite draws a site.
func drawSmallSite(seed uint64) *smallSite {
	rng := rand.New(rand.NewPCG(seed, 63))
	site := &smallSite{machines: 1 + rng.IntN(4), cancelMistaken: rng.IntN(3) > 0}
	for i := range 2 + rng.IntN(3) {
		guarantee := float64(rng.IntN(7))
		site.teams = append(site.teams, protocol.Team{Name: fmt.Sprint("team-", i), GPUs: guarantee, CPUs: 6 * guarantee, GPUsMax: 16, CPUsMax: 96})
	}
	number := 0
	draw := func(shape, priority string, need Resources, tasks int) *protocol.JobSpec {
		number++
		return &protocol.JobSpec{ID: fmt.Sprintf("job-%06d", number), Team: site.teams[rng.IntN(len(site.teams))].Name, Class: "c", Shape: shape, Priority: priority, Tasks: tasks,
			CPUs: need.CPUs, GPUs: need.GPUs, MemoryGB: need.MemoryGB, Image: fmt.Sprint("img-", rng.IntN(3)), ImageGB: 1, EstimateS: 3 + 20*rng.Float64(), Spot: rng.IntN(2) == 0}
	}
	for used := 0; used < 4*site.machines-rng.IntN(4); {
		service := draw(protocol.Service, "critical", siteNeeds[0], 1+rng.IntN(4))
		used += service.Tasks
		site.services = append(site.services, service)
	}
	if rng.IntN(2) == 0 {
		for range 1 + rng.IntN(4) {
			site.mistaken = append(site.mistaken, draw(protocol.Array, "best_effort", siteNeeds[1], 1+rng.IntN(2)))
		}
	}
	for range 2 + rng.IntN(4) {
		shape := []string{protocol.Array, protocol.Array, protocol.Gang, protocol.Service}[rng.IntN(4)]
		site.waiting = append(site.waiting, draw(shape, sitePriorities[rng.IntN(len(sitePriorities))], siteNeeds[rng.IntN(len(siteNeeds))], 1+rng.IntN(3)))
	}
	site.fault = siteFaults[rng.IntN(len(siteFaults))]
	return site
}

// siteFaults are the faults of small sites.
var siteFaults = []func(w *simCluster){
	nil, nil,
	func(w *simCluster) { w.crash(w.randomNode()) },
	func(w *simCluster) { w.freeze(w.randomNode(), w.randDuration(2*time.Second, 15*time.Second)) },
	func(w *simCluster) {
		for _, name := range w.names {
			w.stopNode(name)
		}
		time.Sleep(w.randDuration(0, 15*time.Second))
		for _, name := range w.names {
			w.startIfStopped(name)
		}
	},
	func(w *simCluster) {
		if machines := w.fleet.MachineNames(); len(machines) > 1 {
			w.fleet.Kill(machines[w.randInt(len(machines))])
		}
	},
}

// start makes a cluster of the site.
func (site *smallSite) start(t *testing.T, ctx context.Context, seed uint64) *simCluster {
	w := newConfiguredSimCluster(t, ctx, seed, nil, func(cfg *protocol.Settings, f *standin.Fleet) {
		cfg.Params.Teams = site.teams
		f.MaxMachines = site.machines
	})
	w.collectOnly = true
	time.Sleep(10 * time.Second) // until the partitions have owners
	return w
}

// submitAll submits the site's jobs and injects its fault.
func (site *smallSite) submitAll(w *simCluster) {
	for _, job := range site.services {
		w.submit(job)
		w.waitUntilRunning(job.ID, 20*time.Second)
	}
	for _, job := range site.mistaken {
		w.fleet.FailEverywhere(job.ID)
		w.submit(job)
	}
	if len(site.mistaken) > 0 {
		time.Sleep(w.randDuration(5*time.Second, 25*time.Second))
	}
	if site.cancelMistaken {
		for _, job := range site.mistaken {
			w.cancel(job.ID)
		}
	}
	if site.fault != nil {
		go site.fault(w)
	}
	for _, job := range site.waiting {
		w.submit(job)
		time.Sleep(w.randDuration(0, 3*time.Second))
	}
}

// siteWatchTime is how long jobs are watched after the last one was submitted: the bound and the
// time within which every fault ends and machines that were lost are replaced.
const siteWatchTime = maxWaiting + 60*time.Second

// watch returns what is wrong with the jobs of the site.
func (site *smallSite) watch(w *simCluster) (violations []string) {
	r := newRecovery(w.fleet.Teams)
	seen := map[string]bool{}
	for range int(siteWatchTime / time.Second) {
		synctest.Wait()
		view, now := w.fleet.View(), time.Now()
		var open []*protocol.JobSpec
		for _, job := range w.submitted {
			if !w.answers.cancelRequested(job.ID) {
				open = append(open, job)
			}
		}
		r.observe(view, open, now)
		for _, v := range r.violations(now) {
			if !seen[v.job] {
				seen[v.job] = true
				violations = append(violations, v.job+" "+v.problem+": "+w.describeJob(v.job))
			}
		}
		time.Sleep(time.Second)
	}
	return append(append(violations, w.fleet.Violations...), w.violations...)
}

// run runs the site and returns what is wrong.
func (site *smallSite) run(t *testing.T, seed uint64) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := site.start(t, ctx, seed)
		site.submitAll(w)
		violations = site.watch(w)
		for _, stop := range w.stop {
			stop()
		}
		cancel()
		time.Sleep(2 * time.Minute) // until all delayed messages have arrived
		synctest.Wait()
	})
	return violations
}

// Guards against jobs that wait beside room which no work will ever leave: on machines of another
// partition, on machines whose GPUs are in use, and on machines that jobs with a mistake have failed on.
func TestSmallSitesLeaveNoJobBesideRoom(t *testing.T) {
	for seed := range seedCount(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			for _, violation := range drawSmallSite(seed).run(t, seed) {
				t.Error(violation)
			}
		})
	}
}
