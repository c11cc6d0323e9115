package node

import (
	"fmt"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// A zone that is cut off: its controllers and workers reach one another and nothing else. Its
// controllers are not reached by the state service, the cloud, peers or users, and no controller
// outside reaches its workers.

// inCutZone reports whether a controller is in the zone that is cut off.
func (w *simCluster) inCutZone(node string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isolatedZone != "" && w.cfg[node].Zone == w.isolatedZone
}

// cutBetween reports whether a controller and the machines of a zone are on different sides of the
// cut.
func (w *simCluster) cutBetween(node, zone string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isolatedZone != "" && (w.cfg[node].Zone == w.isolatedZone) != (zone == w.isolatedZone)
}

// cutFrom reports whether a controller and a machine are on different sides of the cut.
func (w *simCluster) cutFrom(node, host string) bool {
	w.mu.Lock()
	cut := w.isolatedZone != ""
	w.mu.Unlock()
	return cut && w.cutBetween(node, w.zoneOf(host))
}

// zoneOf returns the zone of a machine; "" if the machine no longer exists.
func (w *simCluster) zoneOf(host string) string {
	listed, _ := w.fleet.List(w.ctx)
	for _, m := range listed {
		if m.ID == host {
			return m.Zone
		}
	}
	return ""
}

// runsInZone returns how many machines of a zone run a task of a job.
func (w *simCluster) runsInZone(zone, job string) int {
	running := 0
	listed, _ := w.fleet.List(w.ctx)
	for _, m := range listed {
		if m.Zone == zone && w.fleet.RunsJob(m.ID, job) {
			running++
		}
	}
	return running
}

// assignZones sets the zones of the controllers in a node's settings.
func assignZones(cfg *protocol.Settings, zones map[string]string) {
	cfg.Zone = zones[cfg.Node]
	for i := range cfg.Siblings {
		cfg.Siblings[i].Zone = zones[cfg.Siblings[i].Node]
	}
}

// serviceInZone returns a service of one task that runs in a zone until it is cancelled.
func serviceInZone(id int, team, zone string) *protocol.JobSpec {
	return &protocol.JobSpec{ID: fmt.Sprintf("job-94%04d", id), Team: team, Class: "c", Shape: protocol.Service, Priority: "critical", Tasks: 1, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "i", ImageGB: 1, Zone: zone}
}

// zoneScenarios are the scenarios in which a zone is cut off.
var zoneScenarios = []faultScenario{
	{name: "a zone cut off", zones: map[string]string{"n-0": "a", "n-1": "a", "n-2": "b"},
		mustOccur: []string{"works on inside the cut zone", "answered inside the cut zone", "cancelled inside the cut zone", "confirmed outside the cut zone"},
		inject: func(w *simCluster) {
			for range 2 {
				cutZoneOff(w, "n-2", "b")
			}
		}},
}

// cutZoneOff cuts a zone off for longer than a lease, sometimes so long that its machines are given
// up, while users cancel jobs inside and outside.
func cutZoneOff(w *simCluster, inside, zone string) {
	var within, outside []*user
	for _, team := range []string{"red", "blue", "green"} {
		within = append(within, w.addUser(serviceInZone(w.nextJobNumber(), team, zone)), w.addUser(serviceInZone(w.nextJobNumber(), team, zone)))
		outside = append(outside, w.addUser(serviceInZone(w.nextJobNumber(), team, "a")))
	}
	time.Sleep(25 * time.Second)
	var running []*user
	for _, u := range within {
		if w.runsInZone(zone, u.spec.ID) > 0 {
			running = append(running, u)
		}
	}
	lease := w.workerLease()
	before := w.eventCount("answered by " + inside)
	w.withLock(func() { w.isolatedZone = zone })
	time.Sleep(w.randDuration(0, 3*time.Second))
	for i, u := range running {
		if i%2 == 0 { // the others show that the zone keeps working
			go u.cancelUntilConfirmed(0)
			w.recordEvent("cancelled inside the cut zone")
		}
	}
	for _, u := range outside {
		go u.cancelUntilConfirmed(0)
	}
	time.Sleep(lease + w.randDuration(3*time.Second, 10*time.Second))
	for i, u := range running {
		if i%2 == 1 && w.runsInZone(zone, u.spec.ID) > 0 {
			w.recordEvent("works on inside the cut zone")
		}
	}
	if w.eventCount("answered by "+inside) > before {
		w.recordEvent("answered inside the cut zone")
	}
	for _, u := range outside {
		if u.knownFinalStatus() != "" {
			w.recordEvent("confirmed outside the cut zone")
		}
	}
	time.Sleep(w.randDuration(0, 100*time.Second))
	w.withLock(func() { w.isolatedZone = "" })
	time.Sleep(w.randDuration(time.Second, 15*time.Second))
	for _, u := range within {
		go u.cancelUntilConfirmed(w.randDuration(0, 20*time.Second))
	}
	time.Sleep(15 * time.Second)
}
