package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/start"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// compareMachines orders machines by name.
func compareMachines(a, b *machine) int { return compareNames(a.name, b.name) }

// addToPartition inserts a recorded machine into the machine list of its partition.
func (n *Node) addToPartition(m *machine) {
	p := n.partitions[m.rec.Partition]
	if i, found := slices.BinarySearchFunc(p.machines, m, compareMachines); !found {
		p.machines = slices.Insert(p.machines, i, m)
		n.addToReconciliation(p, m)
	}
}

// removeFromPartition takes a machine out of the machine list of its partition.
func (n *Node) removeFromPartition(m *machine) {
	p := n.partitions[m.rec.Partition]
	if i, found := slices.BinarySearchFunc(p.machines, m, compareMachines); found {
		p.machines = slices.Delete(p.machines, i, i+1)
		p.reconciliation.Remove(m.name)
	}
}

// rentMachines rents machines and records them for a partition. The name of the request
// contains the owner's token, which no other node and no other process of this node ever has.
func (n *Node) rentMachines(p *partition, wanted rentalKey, count int) {
	n.cloudState.rentalSeq++
	req := protocol.RentRequest{RequestID: fmt.Sprintf("r-%d-%d-%d", p.index, p.owner.Token, n.cloudState.rentalSeq),
		Type: wanted.Type, Zone: wanted.Zone, Spot: wanted.Spot, Count: count}
	n.cloudState.requested[wanted] = count
	fence := n.unchanged(protocol.RentalFenceKey)
	n.spawn(func(ctx context.Context) {
		names, err := n.cloud.Rent(ctx, req)
		n.post(func() {
			now := time.Now()
			n.metrics.cloudCalls.WithLabelValues("rent", callOutcome(err)).Inc()
			n.log.Info("rental", "request", req.RequestID, "type", wanted.Type, "zone", wanted.Zone, "spot", wanted.Spot, "asked", count, "got", len(names), "why", err)
			if len(names) > 0 {
				delete(n.cloudState.refusalsInRow, wanted.offer)
			}
			if err != nil || len(names) < count {
				wait := 3 * time.Second
				if errors.Is(err, ErrNoCapacity) || err == nil {
					n.cloudState.refusalsInRow[wanted.offer]++
					wait = decide.RefusalBackoff(n.cloudState.refusalsInRow[wanted.offer], n.offerCount(), n.rentRequestInterval())
				}
				n.cloudState.refusedUntil[wanted.offer] = now.Add(wait)
			}
			// The machines count as requested until they are recorded, or the partition would rent
			// them again.
			n.recordRental(p, req, names, fence, func() {
				delete(n.cloudState.requested, wanted)
				n.replan = true
			})
		})
	})
}

// offerCount returns the number of machine offers in the catalog: type, zone, spot or not.
func (n *Node) offerCount() int {
	c := 0
	for _, t := range n.machineTypes {
		c += 2 * len(t.Zones)
	}
	return c
}

// rentRequestInterval is the time between two rental requests: the cloud's request rate is divided
// among the nodes, and the answer takes some time.
func (n *Node) rentRequestInterval() time.Duration {
	return n.seconds(float64(n.cfg.Params.Nodes)/n.cfg.Params.Cloud.RPS) + rentInterval + time.Second/4
}

// ErrNoCapacity is the cloud's answer when it has no machines of the requested kind.
var ErrNoCapacity = storage.ErrNoCapacity

// onUnrecordedReport answers a machine without a record: it ran before the first controller
// did, or the answer to its rental was lost, or is still being stored, or it was rented late.
// The leader adopts such machines (adopt.go).
func (n *Node) onUnrecordedReport(report *protocol.Report, now time.Time, reply chan<- answer) {
	leader := n.partitions[0].owner
	if _, returned := n.cloudState.returned[report.Machine]; !returned {
		n.adoption.NoteReport(protocol.MachineRecord{Name: report.Machine, Type: report.Type, Zone: report.Zone, Spot: report.Spot, Addr: report.Addr}, now)
	}
	switch {
	case n.isLeader():
		n.noteUnrecorded(report.Machine, now)
		reply <- answer{status: 503}
	case leader.Token != 0 && leader.Node != n.cfg.Node:
		reply <- answer{status: 421, body: protocol.Redirect{ReportTo: leader.Node}}
	default:
		reply <- answer{status: 503}
	}
}

// noteUnrecorded records when a machine without a record was first noticed.
func (n *Node) noteUnrecorded(name string, now time.Time) {
	if _, ok := n.cloudState.unrecorded[name]; !ok {
		n.cloudState.unrecorded[name] = now
	}
}

// unrecordedTimeout is how long a machine may be without a record. It is much longer than it
// takes to store the rental, if the state service answers at all, and to adopt the machine, if
// it reports.
const unrecordedTimeout = 30 * time.Second

// returnUnrecorded returns machines that have had no record for too long.
func (n *Node) returnUnrecorded(now time.Time, toReturn *[]*machine) {
	for name, first := range n.cloudState.unrecorded {
		m := n.machines[name]
		_, returned := n.cloudState.returned[name]
		switch {
		case returned || m != nil && m.recorded:
			delete(n.cloudState.unrecorded, name)
		case m == nil && n.isLeader() && n.sinceContact(now) < 2*time.Second && now.Sub(first) > unrecordedTimeout:
			n.log.Info("stray machine returned", "machine", name)
			*toReturn = append(*toReturn, &machine{name: name, tasks: map[taskKey]struct{}{}})
			delete(n.cloudState.unrecorded, name)
		case now.Sub(first) > 4*unrecordedTimeout:
			delete(n.cloudState.unrecorded, name)
		}
	}
}

// silenceTimeout is how long a machine may be silent before it is returned.
func (n *Node) silenceTimeout() time.Duration {
	return time.Duration((3*n.cfg.Params.Workers.ReportS + 4) * float64(time.Second))
}

// tickMachines checks the machines of the owned partitions and returns those that are dead,
// faulty, reclaimed by the cloud or idle for too long.
func (n *Node) tickMachines(now time.Time) {
	if now.Sub(n.lastMachineTick) < 500*time.Millisecond {
		return
	}
	n.lastMachineTick = now
	n.replan = true // the expected demand changes with time
	n.storeCatalog()
	n.noteRefusedConnections(now)
	n.probeWorkers(now)
	n.releaseIfCutOff(now)
	n.detectZoneOutages(now)
	var toReturn, idleMachines []*machine
	noWaitingTasks := map[int]bool{}
	for i, p := range n.partitions {
		noWaitingTasks[i] = n.owns(p) && !n.hasWaitingTasks(i, now)
	}
	for _, m := range n.machines {
		if !m.recorded {
			n.handleUnrecorded(m, now, &toReturn)
		}
	}
	var owned []*machine
	for _, p := range n.partitions {
		if n.owns(p) {
			owned = append(owned, p.machines...)
		}
	}
	n.pollSilent(owned, now)
	for _, m := range owned {
		n.expireExclusions(m, now)
		switch {
		case m.returned:
			n.settleReturned(m)
		case m.returning:
			if !now.Before(m.returnRetryAt) {
				toReturn = append(toReturn, m)
			}
		case n.presumedDead(m, now):
			n.log.Info("machine given up", "machine", m.name, "heard", !m.lastFencedReport.IsZero(), "tasks", len(m.tasks))
			toReturn = append(toReturn, m)
		case len(m.tasks) > 0 && m.fenced && n.faulty(m):
			n.tickTrials(m, now)
		case len(m.tasks) > 0 || !m.fenced || m.moving || n.isLent(m):
		case m.spotNotice || n.faulty(m):
			n.log.Info("machine returned", "machine", m.name, "notice", m.spotNotice, "blamed_by", len(m.faults.failedJobs), "failures", m.faults.provenFailures)
			toReturn = append(toReturn, m)
		case noWaitingTasks[m.rec.Partition] && !m.needed && !m.idleSince.IsZero() && now.Sub(m.idleSince) > start.IdleTimeout(n.seconds(n.policy.IdleS), !m.idleSinceUnknown):
			idleMachines = append(idleMachines, m)
		}
	}
	toReturn = append(toReturn, n.returnableIdle(idleMachines, now)...)
	for _, p := range n.partitions {
		if n.owns(p) {
			n.fenceUnconfirmedStarts(p)
		}
	}
	n.adoptUnrecorded(now)
	n.returnUnrecorded(now, &toReturn)
	n.saveBatches(now)
	n.returnMachines(toReturn, now)
	n.listMachines(now)
	n.logUsage(now)
	n.prepareHints(now)
	n.tickAccount(now)
	n.removeOrphanChunks(now)
}

// logUsage periodically logs the state of the owned partitions.
func (n *Node) logUsage(now time.Time) {
	if now.Sub(n.lastStatusLog) < 20*time.Second {
		return
	}
	n.logChangeCounts(now.Sub(latest(n.lastStatusLog, n.startedAt)))
	n.lastStatusLog = now
	n.updateWaitingMetric(now)
	n.reportJobsBesideRoom(now)
	for _, p := range n.partitions {
		if !n.owns(p) {
			continue
		}
		up, booting, empty, waitingTasks := 0, 0, 0, 0
		var used, free Resources
		types := map[string]*typeUsage{}
		for _, m := range p.machines {
			if m.lastFencedReport.IsZero() {
				booting++
				continue
			}
			up++
			if len(m.tasks) == 0 {
				empty++
			}
			used, free = used.Add(m.used, 1), free.Add(n.available(m), 1)
			usage := types[m.rec.Type]
			if usage == nil {
				usage = &typeUsage{}
				types[m.rec.Type] = usage
			}
			usage.add(m, n.machineTypes[m.rec.Type])
		}
		for _, j := range p.jobs {
			waitingTasks += n.preemptionDemand(j, now)
		}
		n.log.Info("share", "share", p.index, "up", up, "booting", booting, "empty", empty,
			"gpus_used", used.GPUs, "gpus_free", free.GPUs, "cpus_used", used.CPUs, "cpus_free", free.CPUs, "tasks_waiting", waitingTasks, "types", formatTypeUsage(types))
	}
}

// typeUsage is the usage of the running machines of one type.
type typeUsage struct {
	up, empty, cpuOnly int // cpuOnly: machines with GPUs that run only tasks without GPUs
	cpus               float64
	cpusUsed           float64
}

func (u *typeUsage) add(m *machine, t *protocol.MachineType) {
	u.up++
	if len(m.tasks) == 0 {
		u.empty++
	}
	if t == nil {
		return
	}
	if t.GPUs > 0 && len(m.tasks) > 0 && m.used.GPUs < tolerance {
		u.cpuOnly++
	}
	u.cpus += t.CPUs
	u.cpusUsed += m.used.CPUs
}

// formatTypeUsage formats the usage of each type for the log.
func formatTypeUsage(types map[string]*typeUsage) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(types)) {
		usage := types[name]
		fraction := 0.0
		if usage.cpus > 0 {
			fraction = usage.cpusUsed / usage.cpus
		}
		out = append(out, fmt.Sprintf("%s: %d up, %d empty, %d with CPU tasks only, %.2f of CPUs", name, usage.up, usage.empty, usage.cpuOnly, fraction))
	}
	return strings.Join(out, "; ")
}

// presumedDead reports whether a machine should be returned: it does not boot, or it is silent
// while others report.
func (n *Node) presumedDead(m *machine, now time.Time) bool {
	if n.sinceContact(now) > 2*time.Second || n.worksUntilLeaseEnd(m, now) {
		return false
	}
	if m.lastFencedReport.IsZero() {
		boot := 60 * time.Second
		if t := n.machineTypes[m.rec.Type]; t != nil {
			boot = max(boot, time.Duration(3*t.BootS*float64(time.Second)))
		}
		if len(m.tasks) == 0 && m.rec.Addr == "" {
			return now.Sub(m.trackedSince) > boot && now.Sub(n.reachability.stallEnded) > n.silenceTimeout()
		}
		// It was up under an earlier owner and needs some time to find this one.
	}
	// While its zone can't be reached the machine is most likely still working. When the
	// outage ends, it needs some time to report again.
	last := n.silentSince(m)
	if m.lastFencedReport.IsZero() {
		last = last.Add(3 * time.Second)
	}
	since := latest(last, n.reachability.zoneUnreachableAt[m.rec.Zone])
	return now.Sub(since) > n.silenceTimeout() || now.Sub(last) > maxZoneOutage ||
		m.unlisted && n.reportsOverdue(m, now) && now.Sub(since) > n.overdueTimeout()
}

// overdueTimeout is how long a running machine may be silent before this node asks the cloud
// whether the machine still exists.
func (n *Node) overdueTimeout() time.Duration {
	return time.Duration((1.4*n.cfg.Params.Workers.ReportS + 1) * float64(time.Second))
}

// reportsOverdue reports whether a machine that has booted, and that the cloud must have listed
// by now, is silent.
func (n *Node) reportsOverdue(m *machine, now time.Time) bool {
	if len(m.tasks) == 0 && !m.hasBooted() {
		return false
	}
	return !m.returning && !m.returned && now.Sub(n.silentSince(m)) > n.overdueTimeout()
}

// maxZoneOutage is how long the machines of an unreachable zone are kept.
const maxZoneOutage = 90 * time.Second

// detectZoneOutages records which zones can't be reached at present.
func (n *Node) detectZoneOutages(now time.Time) {
	for _, zone := range n.cfg.Params.Zones {
		// If most machines of a zone are silent, the network is the cause and they keep working.
		if n.silentFraction(now, zone) >= 0.7 || n.zoneUnreachable(zone, now) {
			n.reachability.zoneUnreachableAt[zone] = now
		}
	}
}

// silent reports whether a machine that has booted does not report at present.
func (n *Node) silent(m *machine, now time.Time) bool {
	return now.Sub(n.silentSince(m)).Seconds() > n.silentAfterS()
}

// silentAfterS is the number of seconds without a report after which a machine counts as silent.
func (n *Node) silentAfterS() float64 { return 2.2*n.cfg.Params.Workers.ReportS + 1 }

// handleUnrecorded handles a machine without a record. If tasks are recorded on it, it is
// returned, which proves the tasks gone.
func (n *Node) handleUnrecorded(m *machine, now time.Time, toReturn *[]*machine) {
	if len(m.tasks) == 0 {
		if !m.returning || m.returned {
			delete(n.machines, m.name)
			n.markStale(m)
		}
		return
	}
	ownsAny := false // of the owners of jobs with tasks there each returns it, for its own tasks
	for k := range m.tasks {
		ownsAny = ownsAny || n.owns(n.partitions[k.job.partition])
	}
	if !ownsAny {
		return
	}
	switch {
	case m.returned:
		n.settleReturned(m)
	case now.Sub(m.trackedSince) > 5*time.Second && !now.Before(m.returnRetryAt):
		*toReturn = append(*toReturn, m)
	}
}

// settleReturned records that the tasks of a returned machine are gone. The machine's own
// record is removed with the next change of its batch.
func (n *Node) settleReturned(m *machine) {
	now := time.Now()
	for k := range m.tasks {
		t := &k.job.tasks[k.task]
		if t.reportedState == reportedNone && t.startSentAt.IsZero() {
			// An earlier owner recorded the task there and this node never got a report of it, so
			// it must be assumed that the task ran. (When a whole fleet was lost at once, each
			// node concluded that it was itself cut off from the workers, and the new owners of
			// the partitions counted no task as lost.)
			t.reportedState = reportedRunning
		}
		n.runLost(k.job, t, now)
		n.recordOutcome(k.job, k.task, outcomeGone)
	}
	if m.recorded {
		// Save it soon, since a new owner would wait for the machine.
		m.batch.markDirty(time.Now().Add(time.Second - batchSaveDelay))
	}
}

// returnMachines returns machines to the cloud. A successful answer proves them gone.
func (n *Node) returnMachines(machines []*machine, now time.Time) {
	if len(machines) == 0 {
		return
	}
	machines = machines[:min(len(machines), 100)]
	var names []string
	for _, m := range machines {
		m.returning = true
		n.markStale(m)
		m.returnRetryAt = now.Add(8 * time.Second)
		names = append(names, m.name)
	}
	n.spawn(func(ctx context.Context) {
		err := n.cloud.Return(ctx, names)
		n.post(func() {
			now := time.Now()
			n.metrics.cloudCalls.WithLabelValues("return", callOutcome(err)).Inc()
			if err != nil {
				n.log.Info("the cloud did not confirm the return of machines", "machines", len(names), "why", err)
				for _, m := range machines {
					m.returnRetryAt = now.Add(2 * time.Second)
				}
				return
			}
			for _, m := range machines {
				m.returned = true
				n.markStale(m)
				n.cloudState.returned[m.name] = now
				if m.recorded && n.owns(n.partitions[m.rec.Partition]) || !m.recorded {
					n.settleReturned(m)
				}
			}
		})
	})
}

// listMachines lists the cloud's machines: the leader looks for machines without a record, and
// any owner checks whether machines that have fallen silent still exist. This detects reclaimed
// spot machines in half the time that the silence timeout takes.
func (n *Node) listMachines(now time.Time) {
	interval := 15 * time.Second
	if slices.ContainsFunc(n.partitions, func(p *partition) bool {
		return n.owns(p) && slices.ContainsFunc(p.machines, func(m *machine) bool { return !m.unlisted && n.reportsOverdue(m, now) })
	}) {
		interval = 5 * time.Second
	} else if !n.isLeader() {
		return
	}
	if n.cloudState.listing || now.Sub(n.cloudState.lastList) < interval {
		return
	}
	n.cloudState.lastList = now
	n.cloudState.listing = true
	n.spawn(func(ctx context.Context) {
		list, err := n.cloud.List(ctx)
		n.post(func() {
			n.cloudState.listing = false
			if err == nil {
				n.onMachineList(list, now, time.Now())
			}
		})
	})
}

// onMachineList processes the cloud's list, which was requested at the time requestedAt.
func (n *Node) onMachineList(list []protocol.ListedMachine, requestedAt, now time.Time) {
	for name, t := range n.cloudState.returned {
		if now.Sub(t) > 5*time.Minute {
			delete(n.cloudState.returned, name)
		}
	}
	var toReturn []*machine
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.ID] = true
		m := n.machines[l.ID]
		if m == nil || !m.recorded {
			if n.isLeader() {
				n.noteUnrecorded(l.ID, now)
			}
			continue
		}
		if m.addr == "" {
			m.addr = l.Addr
		}
		if l.State == "failed" && !m.returned && !m.returning && n.owns(n.partitions[m.rec.Partition]) {
			n.log.Info("machine failed", "machine", l.ID)
			toReturn = append(toReturn, m)
		}
	}
	// A list may be older than the previous one, by up to twice the nominal lag. A machine that
	// was rented long before that and is missing from the list is most likely gone; the answer
	// to its return is the proof.
	minAge := time.Duration((4*n.cfg.Params.Cloud.ListLagS + 5) * float64(time.Second))
	for _, p := range n.partitions {
		if !n.owns(p) {
			continue
		}
		for _, m := range p.machines {
			m.unlisted = !listed[m.name] && requestedAt.Sub(m.firstSeen) > minAge
		}
	}
	n.returnMachines(toReturn, now)
}

// drain stops the tasks of a machine that the cloud reclaims after this many seconds.
func (n *Node) drain(m *machine, seconds float64) {
	for k := range m.tasks {
		j := k.job
		t := &j.tasks[k.task]
		if t.phase != phasePlaced {
			continue
		}
		remaining := j.spec.EstimateS - time.Since(t.phaseSince).Seconds()
		if j.spec.Shape == protocol.Array && remaining < seconds-1 {
			continue // it should complete before
		}
		n.stopTask(j, k.task)
	}
}

// stopTask makes a task leave its machine, saving a checkpoint if it can. A gang is stopped as a
// whole.
func (n *Node) stopTask(j *job, i int) {
	grace := 0.0
	if j.spec.CheckpointS > 0 {
		grace = j.spec.SaveS + n.cfg.Params.Workers.GangPeerS
	}
	if j.spec.Shape == protocol.Gang {
		j.abortAttempt = true
		for k := range j.tasks {
			j.tasks[k].stopGraceS = grace
		}
	}
	t := &j.tasks[i]
	t.stopRequested, t.stopGraceS = true, grace
	n.recallLoan(j, t.machine)
	n.wakeMachines(j)
}
