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

func byName(a, b *machine) int { return compareNames(a.name, b.name) }

// addToPartition puts a recorded machine into its share's list.
func (n *Node) addToPartition(m *machine) {
	s := n.partitions[m.rec.Partition]
	if i, found := slices.BinarySearchFunc(s.machines, m, byName); !found {
		s.machines = slices.Insert(s.machines, i, m)
		n.addToReconciliation(s, m)
	}
}

// removeFromPartition takes a machine out of its share's list.
func (n *Node) removeFromPartition(m *machine) {
	s := n.partitions[m.rec.Partition]
	if i, found := slices.BinarySearchFunc(s.machines, m, byName); found {
		s.machines = slices.Delete(s.machines, i, i+1)
		s.reconciliation.Remove(m.name)
	}
}

// rentMachines rents machines and records them for the share. The request's name holds
// the token, which no other node and no other life ever has.
func (n *Node) rentMachines(s *partition, r rentalKey, count int) {
	n.cloudState.rentalSeq++
	req := protocol.RentRequest{RequestID: fmt.Sprintf("r-%d-%d-%d", s.index, s.owner.Token, n.cloudState.rentalSeq),
		Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: count}
	n.cloudState.requested[r] = count
	fence := n.unchanged(protocol.RentalFenceKey)
	n.spawn(func(ctx context.Context) {
		names, err := n.cloud.Rent(ctx, req)
		n.post(func() {
			now := time.Now()
			n.metrics.cloudCalls.WithLabelValues("rent", callOutcome(err)).Inc()
			n.log.Info("rental", "request", req.RequestID, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", count, "got", len(names), "why", err)
			if len(names) > 0 {
				delete(n.cloudState.refusalsInRow, r.offer)
			}
			if err != nil || len(names) < count {
				wait := 3 * time.Second
				if errors.Is(err, ErrNoCapacity) || err == nil {
					n.cloudState.refusalsInRow[r.offer]++
					wait = decide.RefusalBackoff(n.cloudState.refusalsInRow[r.offer], n.offerCount(), n.rentPeriod())
				}
				n.cloudState.refusedUntil[r.offer] = now.Add(wait)
			}
			// Until they are recorded they count as asked for, or the share would
			// rent them once more.
			n.recordRental(s, req, names, fence, func() {
				delete(n.cloudState.requested, r)
				n.replan = true
			})
		})
	})
}

// offerCount is how many kinds of machine the catalogue has.
func (n *Node) offerCount() int {
	c := 0
	for _, t := range n.machineTypes {
		c += 2 * len(t.Zones)
	}
	return c
}

// rentPeriod is how long one request for machines after the other takes: the cloud's
// rate, parted among the nodes, and the answer.
func (n *Node) rentPeriod() time.Duration {
	return n.seconds(float64(n.cfg.Params.Nodes)/n.cfg.Params.Cloud.RPS) + rentInterval + time.Second/4
}

// ErrNoCapacity is the cloud's refusal for want of machines.
var ErrNoCapacity = storage.ErrNoCapacity

// onStray answers a machine without a record: it ran before the first controller did,
// or its rental's answer was lost, or is still being stored, or it was rented late. The
// leader takes it up (adopt.go).
func (n *Node) onStray(r *protocol.Report, now time.Time, reply chan<- answer) {
	lead := n.partitions[0].owner
	if _, over := n.cloudState.returned[r.Machine]; !over {
		n.adoption.NoteReport(protocol.MachineRecord{Name: r.Machine, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Addr: r.Addr}, now)
	}
	switch {
	case n.isLeader():
		n.noteStray(r.Machine, now)
		reply <- answer{status: 503}
	case lead.Token != 0 && lead.Node != n.cfg.Node:
		reply <- answer{status: 421, body: protocol.Redirect{ReportTo: lead.Node}}
	default:
		reply <- answer{status: 503}
	}
}

func (n *Node) noteStray(name string, now time.Time) {
	if _, ok := n.cloudState.unrecorded[name]; !ok {
		n.cloudState.unrecorded[name] = now
	}
}

// strayLimit is how long a machine may be without a record: much longer than
// storing the rental takes when the state service answers at all, and taking it up if it
// reports.
const strayLimit = 30 * time.Second

// returnStrays gives back what nobody has recorded.
func (n *Node) returnStrays(now time.Time, back *[]*machine) {
	for name, first := range n.cloudState.unrecorded {
		m := n.machines[name]
		_, over := n.cloudState.returned[name]
		switch {
		case over || m != nil && m.recorded:
			delete(n.cloudState.unrecorded, name)
		case m == nil && n.isLeader() && n.sinceContact(now) < 2*time.Second && now.Sub(first) > strayLimit:
			n.log.Info("stray machine returned", "machine", name)
			*back = append(*back, &machine{name: name, tasks: map[taskKey]struct{}{}})
			delete(n.cloudState.unrecorded, name)
		case now.Sub(first) > 4*strayLimit:
			delete(n.cloudState.unrecorded, name)
		}
	}
}

// silenceTimeout is how long a machine may be silent before it is given back.
func (n *Node) silenceTimeout() time.Duration {
	return time.Duration((3*n.cfg.Params.Workers.ReportS + 4) * float64(time.Second))
}

// tickMachines looks after the machines of the shares held.
func (n *Node) tickMachines(now time.Time) {
	if now.Sub(n.lastMachineTick) < 500*time.Millisecond {
		return
	}
	n.lastMachineTick = now
	n.replan = true // what is expected changes with time
	n.storeCatalog()
	n.noteRefusedConnections(now)
	n.probeWorkers(now)
	n.releaseIfCutOff(now)
	n.detectZoneOutages(now)
	var back, spare []*machine
	idle := map[int]bool{}
	for i, s := range n.partitions {
		idle[i] = n.owns(s) && !n.hasWaitingTasks(i, now)
	}
	for _, m := range n.machines {
		if !m.recorded {
			n.tendUnrecorded(m, now, &back)
		}
	}
	var ours []*machine
	for _, s := range n.partitions {
		if n.owns(s) {
			ours = append(ours, s.machines...)
		}
	}
	n.pollSilent(ours, now)
	for _, m := range ours {
		switch {
		case m.returned:
			n.settleGone(m)
		case m.returning:
			if !now.Before(m.returnRetryAt) {
				back = append(back, m)
			}
		case n.presumedDead(m, now):
			n.log.Info("machine given up", "machine", m.name, "heard", !m.lastFencedReport.IsZero(), "tasks", len(m.tasks))
			back = append(back, m)
		case len(m.tasks) > 0 || !m.fenced || m.moving:
		case m.spotNotice || n.faulty(m):
			n.log.Info("machine returned", "machine", m.name, "notice", m.spotNotice, "blamed_by", len(m.faults.jobs), "failures", m.faults.failures)
			back = append(back, m)
		case idle[m.rec.Partition] && !m.needed && !m.idleSince.IsZero() && now.Sub(m.idleSince) > start.IdleTimeout(n.seconds(n.policy.IdleS), !m.idleSinceUnknown):
			spare = append(spare, m)
		}
	}
	back = append(back, n.returnableIdle(spare, now)...)
	for _, s := range n.partitions {
		if n.owns(s) {
			n.fenceUnconfirmedStarts(s)
		}
	}
	n.adoptUnrecorded(now)
	n.returnStrays(now, &back)
	n.saveBatches(now)
	n.giveBack(back, now)
	n.list(now)
	n.sayHow(now)
	n.prepareHints(now)
	n.tickAccount(now)
	n.removeOrphanChunks(now)
}

// sayHow logs now and then how the shares held are doing.
func (n *Node) sayHow(now time.Time) {
	if now.Sub(n.lastStatusLog) < 20*time.Second {
		return
	}
	n.logChangeCounts(now.Sub(latest(n.lastStatusLog, n.startedAt)))
	n.lastStatusLog = now
	n.updateWaitingMetric(now)
	for _, s := range n.partitions {
		if !n.owns(s) {
			continue
		}
		up, booting, empty, waits := 0, 0, 0, 0
		var used, free Resources
		types := map[string]*typeUse{}
		for _, m := range s.machines {
			if m.lastFencedReport.IsZero() {
				booting++
				continue
			}
			up++
			if len(m.tasks) == 0 {
				empty++
			}
			used, free = used.Add(m.used, 1), free.Add(n.available(m), 1)
			u := types[m.rec.Type]
			if u == nil {
				u = &typeUse{}
				types[m.rec.Type] = u
			}
			u.add(m, n.machineTypes[m.rec.Type])
		}
		for _, j := range s.jobs {
			waits += n.preemptionDemand(j, now)
		}
		n.log.Info("share", "share", s.index, "up", up, "booting", booting, "empty", empty,
			"gpus_used", used.GPUs, "gpus_free", free.GPUs, "cpus_used", used.CPUs, "cpus_free", free.CPUs, "tasks_waiting", waits, "types", sayTypes(types))
	}
}

// typeUse is how the machines up of one type are used.
type typeUse struct {
	up, empty, lent int // lent: with GPUs of which none is used, and work that needs none
	cpus            float64
	used            float64
}

func (u *typeUse) add(m *machine, t *protocol.MachineType) {
	u.up++
	if len(m.tasks) == 0 {
		u.empty++
	}
	if t == nil {
		return
	}
	if t.GPUs > 0 && len(m.tasks) > 0 && m.used.GPUs < tolerance {
		u.lent++
	}
	u.cpus += t.CPUs
	u.used += m.used.CPUs
}

// sayTypes tells each type's use in a few words.
func sayTypes(types map[string]*typeUse) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(types)) {
		u := types[name]
		part := 0.0
		if u.cpus > 0 {
			part = u.used / u.cpus
		}
		out = append(out, fmt.Sprintf("%s: %d up, %d empty, %d lent, %.2f of CPUs", name, u.up, u.empty, u.lent, part))
	}
	return strings.Join(out, "; ")
}

// presumedDead says whether a machine is to be given up: it does not boot, or it is
// silent while others are heard.
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
		// It was up under an earlier holder, and needs a moment to find this one.
	}
	// While its zone cannot be reached the machine is most likely working, and
	// when the cut ends it needs a moment to come back.
	last := n.silentSince(m)
	if m.lastFencedReport.IsZero() {
		last = last.Add(3 * time.Second)
	}
	since := latest(last, n.reachability.zoneUnreachableAt[m.rec.Zone])
	return now.Sub(since) > n.silenceTimeout() || now.Sub(last) > maxZoneOutage ||
		m.unlisted && n.reportsOverdue(m, now) && now.Sub(since) > n.overdueTimeout()
}

// overdueTimeout is how long a machine that was up may be silent before the cloud
// is asked whether it still has it.
func (n *Node) overdueTimeout() time.Duration {
	return time.Duration((1.4*n.cfg.Params.Workers.ReportS + 1) * float64(time.Second))
}

// reportsOverdue says whether a machine that was up, and that the cloud must have
// listed by now, is silent.
func (n *Node) reportsOverdue(m *machine, now time.Time) bool {
	if len(m.tasks) == 0 && !m.hasBooted() {
		return false
	}
	return !m.returning && !m.returned && now.Sub(n.silentSince(m)) > n.overdueTimeout()
}

// maxZoneOutage is how long the machines of an unreachable zone are kept.
const maxZoneOutage = 90 * time.Second

// detectZoneOutages notes which zones cannot be reached at present.
func (n *Node) detectZoneOutages(now time.Time) {
	for _, z := range n.cfg.Params.Zones {
		// If most of a zone is silent it is the network, and the machines keep working.
		if n.silentFraction(now, z) >= 0.7 || n.zoneUnreachable(z, now) {
			n.reachability.zoneUnreachableAt[z] = now
		}
	}
}

// silent says whether a machine that was up is not heard now.
func (n *Node) silent(m *machine, now time.Time) bool {
	return now.Sub(n.silentSince(m)).Seconds() > n.silentAfterS()
}

// silentAfterS is after how many seconds without a report a machine counts as silent.
func (n *Node) silentAfterS() float64 { return 2.2*n.cfg.Params.Workers.ReportS + 1 }

// tendUnrecorded sees to machines that tasks are recorded on but that have no
// record: they are returned, which proves the tasks gone.
func (n *Node) tendUnrecorded(m *machine, now time.Time, back *[]*machine) {
	if len(m.tasks) == 0 {
		if !m.returning || m.returned {
			delete(n.machines, m.name)
			n.markStale(m)
		}
		return
	}
	for k := range m.tasks {
		if !n.owns(n.partitions[k.job.partition]) {
			return
		}
	}
	switch {
	case m.returned:
		n.settleGone(m)
	case now.Sub(m.trackedSince) > 5*time.Second && !now.Before(m.returnRetryAt):
		*back = append(*back, m)
	}
}

// settleGone notes that the tasks of a machine that is gone are so too. Its
// record goes with the batch's next change.
func (n *Node) settleGone(m *machine) {
	now := time.Now()
	for k := range m.tasks {
		t := &k.job.tasks[k.task]
		if t.reportedState == reportedNone && t.startSentAt.IsZero() {
			// An earlier holder recorded it there, and this one never heard of it: as far
			// as anybody can tell it ran. (Found with a fleet lost at once: each node took
			// itself for blind, and who took the shares over counted nothing as lost.)
			t.reportedState = reportedRunning
		}
		n.runLost(k.job, t, now)
		n.recordOutcome(k.job, k.task, outcomeGone)
	}
	if m.recorded {
		// Soon: a new holder would wait for it.
		m.batch.markDirty(time.Now().Add(time.Second - batchSaveDelay))
	}
}

// giveBack returns machines to the cloud. Its answer proves them gone.
func (n *Node) giveBack(ms []*machine, now time.Time) {
	if len(ms) == 0 {
		return
	}
	ms = ms[:min(len(ms), 100)]
	var names []string
	for _, m := range ms {
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
				n.log.Info("return not confirmed", "machines", len(names), "why", err)
				for _, m := range ms {
					m.returnRetryAt = now.Add(2 * time.Second)
				}
				return
			}
			for _, m := range ms {
				m.returned = true
				n.markStale(m)
				n.cloudState.returned[m.name] = now
				if m.recorded && n.owns(n.partitions[m.rec.Partition]) || !m.recorded {
					n.settleGone(m)
				}
			}
		})
	})
}

// list lets the leader look for machines that nobody has recorded, and any
// holder whether the cloud still has machines that have fallen silent. A wave of
// spot machines taken back is noticed so in half the time that silence takes.
func (n *Node) list(now time.Time) {
	pause := 15 * time.Second
	if slices.ContainsFunc(n.partitions, func(s *partition) bool {
		return n.owns(s) && slices.ContainsFunc(s.machines, func(m *machine) bool { return !m.unlisted && n.reportsOverdue(m, now) })
	}) {
		pause = 5 * time.Second
	} else if !n.isLeader() {
		return
	}
	if n.cloudState.listing || now.Sub(n.cloudState.lastList) < pause {
		return
	}
	n.cloudState.lastList = now
	n.cloudState.listing = true
	n.spawn(func(ctx context.Context) {
		ms, err := n.cloud.List(ctx)
		n.post(func() {
			n.cloudState.listing = false
			if err == nil {
				n.onMachineList(ms, now, time.Now())
			}
		})
	})
}

// onMachineList takes in a list asked for at a time.
func (n *Node) onMachineList(ms []protocol.ListedMachine, asked, now time.Time) {
	for name, t := range n.cloudState.returned {
		if now.Sub(t) > 5*time.Minute {
			delete(n.cloudState.returned, name)
		}
	}
	var back []*machine
	listed := make(map[string]bool, len(ms))
	for _, l := range ms {
		listed[l.ID] = true
		m := n.machines[l.ID]
		if m == nil || !m.recorded {
			if n.isLeader() {
				n.noteStray(l.ID, now)
			}
			continue
		}
		if m.addr == "" {
			m.addr = l.Addr
		}
		if l.State == "failed" && !m.returned && !m.returning && n.owns(n.partitions[m.rec.Partition]) {
			n.log.Info("machine failed", "machine", l.ID)
			back = append(back, m)
		}
	}
	// A list may be older than the one before, by twice the nominal lag. What was
	// rented long before that and is not on it is most likely gone; the answer to
	// its return is the proof.
	old := time.Duration((4*n.cfg.Params.Cloud.ListLagS + 5) * float64(time.Second))
	for _, s := range n.partitions {
		if !n.owns(s) {
			continue
		}
		for _, m := range s.machines {
			m.unlisted = !listed[m.name] && asked.Sub(m.firstSeen) > old
		}
	}
	n.giveBack(back, now)
}

// drain empties a machine that the cloud takes back in so many seconds.
func (n *Node) drain(m *machine, seconds float64) {
	for k := range m.tasks {
		j := k.job
		t := &j.tasks[k.task]
		if t.phase != phasePlaced {
			continue
		}
		left := j.spec.EstimateS - time.Since(t.phaseSince).Seconds()
		if j.spec.Shape == protocol.Array && left < seconds-1 {
			continue // it should be done before
		}
		n.stopTask(j, k.task)
	}
}

// stopTask makes a task leave its machine, saving if it can. A gang goes whole.
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
	n.wakeMachines(j)
}
