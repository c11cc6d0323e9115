package node

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/decide"
	"dapplestage.example/dapplestage/internal/coordination/lending"
	"dapplestage.example/dapplestage/internal/coordination/start"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// Loans of capacity between partitions. The owner of a machine's partition, the lender, stores that
// a part of the machine is lent to another partition, the borrower. The borrower's owner then
// places tasks of its own jobs there, as on its own machines, on the condition that the loan is
// unchanged. Such a task is a foreign task of its machine: its job's owner alone decides that it is
// placed, and counts it for its team; its machine's owner alone commands it, proves its end, and
// stores that in the job's record, on the condition that it still owns the machine's partition.

const (
	// lendAfter is how long a job must have waited before other partitions lend it capacity. By
	// then the leader has moved the machines that may move.
	lendAfter = 10 * time.Second
	// lendIdleAfter is the same for capacity of machines without tasks, which the leader moves.
	lendIdleAfter = 30 * time.Second
	// lendInterval is the time between two decisions on lending.
	lendInterval = time.Second
	// maxLendingRequests is how many waiting jobs one decision considers.
	maxLendingRequests = 64
	// foreignRetryPause is how long a borrower avoids lent capacity on which a task of it ended
	// without having completed.
	foreignRetryPause = 5 * time.Second
)

// loanKey identifies the capacity that one partition lends to another.
type loanKey struct{ lender, borrower int }

// loanState is this node's view of all loans.
type loanState struct {
	stored     map[loanKey]protocol.LoansRecord
	storing    map[loanKey]protocol.LoansRecord // changes by this node that are in flight
	byMachine  map[string][]loanKey             // stored loans that name a machine
	tracker    *lending.Tracker                 // of the loans of owned partitions
	recalled   map[lending.Key]time.Time        // until when this node, as the lender's owner, takes back what becomes unused
	avoidUntil map[lending.Key]time.Time        // until when this node, as the borrower's owner, avoids lent capacity
	lastPass   time.Time

	firstRequest int // index of the first request of the next pass, if there are more than it considers
}

func newLoanState() loanState {
	return loanState{stored: map[loanKey]protocol.LoansRecord{}, storing: map[loanKey]protocol.LoansRecord{}, byMachine: map[string][]loanKey{}, tracker: lending.NewTracker(), recalled: map[lending.Key]time.Time{}, avoidUntil: map[lending.Key]time.Time{}}
}

// parseLoansKey returns the partitions in the key of a LoansRecord.
func parseLoansKey(key string) (k loanKey, ok bool) {
	lender, borrower, _ := strings.Cut(strings.TrimPrefix(key, protocol.LoanRoot), "/")
	var errLender, errBorrower error
	k.lender, errLender = strconv.Atoi(lender)
	k.borrower, errBorrower = strconv.Atoi(borrower)
	return k, errLender == nil && errBorrower == nil
}

// applyLoans applies a stored LoansRecord.
func (n *Node) applyLoans(key string, record protocol.LoansRecord) {
	k, ok := parseLoansKey(key)
	if !ok || k.lender < 0 || k.lender >= len(n.partitions) || k.borrower < 0 || k.borrower >= len(n.partitions) || k.lender == k.borrower {
		n.log.Error("stored value not understood", "key", key)
		return
	}
	for _, l := range n.loans.stored[k].Machines {
		n.loans.byMachine[l.Machine] = slices.DeleteFunc(n.loans.byMachine[l.Machine], func(other loanKey) bool { return other == k })
		if len(n.loans.byMachine[l.Machine]) == 0 {
			delete(n.loans.byMachine, l.Machine)
		}
		n.markStale(n.machines[l.Machine])
	}
	n.loans.stored[k] = record
	for _, l := range record.Machines {
		n.loans.byMachine[l.Machine] = append(n.loans.byMachine[l.Machine], k)
		n.markStale(n.machines[l.Machine])
	}
}

// setWithoutLoans records whether a live node can't run tasks on lent capacity.
func (n *Node) setWithoutLoans(name string, without bool) {
	anyBefore := len(n.nodesWithoutLoans) > 0
	delete(n.nodesWithoutLoans, name)
	if without {
		n.nodesWithoutLoans[name] = true
	}
	if anyBefore != (len(n.nodesWithoutLoans) > 0) {
		for machine := range n.loans.byMachine {
			n.markStale(n.machines[machine])
		}
	}
}

// loanCapacity returns the capacity of a loan.
func loanCapacity(l protocol.Loan) Resources {
	return Resources{CPUs: l.CPUs, GPUs: l.GPUs, MemoryGB: l.MemoryGB}
}

// capacityLent returns the capacity of a machine in a LoansRecord.
func capacityLent(record protocol.LoansRecord, machine string) (lent Resources) {
	for _, l := range record.Machines {
		if l.Machine == machine {
			lent = lent.Add(loanCapacity(l), 1)
		}
	}
	return lent
}

// onlyBorrowingJob returns the only job that may use the capacity of a machine in a LoansRecord; empty: any.
func onlyBorrowingJob(record protocol.LoansRecord, machine string) string {
	i := slices.IndexFunc(record.Machines, func(l protocol.Loan) bool { return l.Machine == machine && l.Job != "" })
	if i < 0 {
		return ""
	}
	return record.Machines[i].Job
}

// unusedBeyond returns the part of lent that is not used, of each resource.
func unusedBeyond(lent, used Resources) Resources {
	unused := func(lent, used float64) float64 {
		if lent-used < tolerance {
			return 0
		}
		return lent - used
	}
	return Resources{CPUs: unused(lent.CPUs, used.CPUs), GPUs: unused(lent.GPUs, used.GPUs), MemoryGB: unused(lent.MemoryGB, used.MemoryGB)}
}

// reservedByLoans returns the capacity of a machine that is lent, or about to be, and not used by
// the borrowers.
func (n *Node) reservedByLoans(m *machine) (reserved Resources) {
	if len(n.loans.byMachine[m.name])+len(n.loans.storing) == 0 {
		return reserved
	}
	for borrower := range n.partitions {
		k := loanKey{m.rec.Partition, borrower}
		stored, storing := capacityLent(n.loans.stored[k], m.name), capacityLent(n.loans.storing[k], m.name)
		larger := Resources{CPUs: max(stored.CPUs, storing.CPUs), GPUs: max(stored.GPUs, storing.GPUs), MemoryGB: max(stored.MemoryGB, storing.MemoryGB)}
		reserved = reserved.Add(unusedBeyond(larger, m.usedBy(borrower)), 1)
	}
	return reserved
}

// isLent reports whether a part of a machine is lent, or about to be, and not used.
func (n *Node) isLent(m *machine) bool { return n.reservedByLoans(m) != Resources{} }

// validLoans returns the stored loans that are in force for a machine.
func (n *Node) validLoans(m *machine) (valid []loanKey) {
	if n.machines[m.name] != m || !m.recorded || m.returned || len(n.nodesWithoutLoans) > 0 {
		return nil
	}
	for _, k := range n.loans.byMachine[m.name] {
		if k.lender == m.rec.Partition {
			valid = append(valid, k)
		}
	}
	return valid
}

// removeInvalidLentParts removes the decision facts of parts of a machine that are lent no more.
func (n *Node) removeInvalidLentParts(m *machine) {
	if len(m.lentParts) == 0 {
		return
	}
	valid := n.validLoans(m)
	for borrower, part := range m.lentParts {
		if !slices.ContainsFunc(valid, func(k loanKey) bool { return k.borrower == borrower }) {
			n.planningFacts.index.Remove(part)
			delete(m.lentParts, borrower)
		}
	}
}

// setLentParts sets the decision facts of the parts of a machine that are lent.
func (n *Node) setLentParts(m *machine) {
	for _, k := range n.validLoans(m) {
		n.setLentPart(m, k)
	}
}

// setLentPart sets the decision facts of one lent part.
func (n *Node) setLentPart(m *machine, k loanKey) {
	part := m.lentParts[k.borrower]
	if part == nil {
		part = &decide.Machine{}
		if m.lentParts == nil {
			m.lentParts = map[int]*decide.Machine{}
		}
		m.lentParts[k.borrower] = part
	}
	facts := m.facts.LentPart(k.borrower, capacityLent(n.loans.stored[k], m.name), m.usedBy(k.borrower))
	facts.OnlyFor = onlyBorrowingJob(n.loans.stored[k], m.name)
	facts.AvoidUntil = n.loans.avoidUntil[lending.Key{Machine: m.name, Borrower: k.borrower}]
	n.planningFacts.index.Set(part, &facts)
}

// isForeign reports whether a job's tasks on a machine are foreign tasks there.
func (j *job) isForeign(m *machine) bool { return m.recorded && m.rec.Partition != j.partition }

// ownsMachine reports whether this node owns the partition of a recorded machine.
func (n *Node) ownsMachine(m *machine) bool {
	return m.recorded && n.owns(n.partitions[m.rec.Partition])
}

// shownState returns the state of a placed task that operators are shown. The owner of a job does
// not get the reports of foreign tasks: they are taken to run.
func (n *Node) shownState(j *job, t *task) reportedState {
	if t.machine != nil && j.isForeign(t.machine) && !n.ownsMachine(t.machine) && t.phase == phasePlaced {
		return reportedRunning
	}
	return t.reportedState
}

// provenHere reports whether this node may store the end of a task, as far as its proof is
// concerned: it owns the partition of the task's machine, or the machine is gone.
func (n *Node) provenHere(t *task) bool {
	return t.machine.returned || !t.machine.recorded || n.ownsMachine(t.machine)
}

// foreignConds returns the conditions of a change of a job that concerns foreign tasks: new ones
// need the loan, and the end of one is true as long as the owner that saw it owns the machine's
// partition.
func (n *Node) foreignConds(j *job) (conds []storage.Cond) {
	add := func(key string) {
		if !slices.ContainsFunc(conds, func(c storage.Cond) bool { return c.Key == key }) {
			conds = append(conds, n.unchanged(key))
		}
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.machine == nil || !j.isForeign(t.machine) {
			continue
		}
		switch {
		case t.phase == phaseProposed:
			add(protocol.LoansKey(t.machine.rec.Partition, j.partition))
		case t.phase == phasePlaced && t.outcome != outcomeNone && !t.machine.returned:
			add(protocol.OwnerKey(t.machine.rec.Partition))
		}
	}
	return conds
}

// storeForeignEnds stores the ends of a job's foreign tasks on machines of this node, which does
// not own the job's partition. It writes the job's own record, as a cancellation does, and takes
// part in none of the owner's decisions.
func (n *Node) storeForeignEnds(j *job) {
	delete(n.dirty, j)
	chunks := map[int]bool{}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.phase == phasePlaced && t.outcome != outcomeNone && n.ownsMachine(t.machine) {
			chunks[i/protocol.TasksPerChunk] = true
		}
	}
	if len(chunks) == 0 || j.writePending || n.hasCorruptRecord(j) {
		return
	}
	delete(chunks, 0)
	record := n.storedRecordAtLog(j)
	record.Chunk = n.chunkWithEnds(j, 0)
	if time.Now().Before(j.notBefore) {
		record.NotBeforeMS = j.notBefore.UnixMilli()
	}
	op := &storage.Op{Purpose: uint8(forTaskEnds), Conds: append(n.stillOpen(j.id), n.foreignConds(j)...),
		Writes: []storage.Write{{Put: protocol.JobKey(j.id), Value: mustJSON(record)}}}
	for k := range chunks {
		if len(op.Writes) == n.cfg.Params.State.TxnOps {
			break // the others follow: their ends are not applied
		}
		key := protocol.ChunkKey(j.id, k)
		op.Conds = append(op.Conds, n.unchanged(key))
		op.Writes = append(op.Writes, storage.Write{Put: key, Value: mustJSON(n.chunkWithEnds(j, k))})
	}
	j.writePending = true
	n.submit(op, func(r storage.Result) {
		j.writePending = false
		if n.jobs[j.id] == j && slices.ContainsFunc(j.tasks, func(t task) bool { return t.outcome != outcomeNone }) {
			n.dirty[j] = true // not stored, or more has ended
		}
		if !r.OK {
			n.log.Info("end of foreign tasks not stored", "job", j.id, "failed", r.Failed, "why", r.Err)
		}
	})
}

// chunkWithEnds returns chunk k of a job as it is stored, with the ends of foreign tasks that this
// node has proven.
func (n *Node) chunkWithEnds(j *job, k int) protocol.Chunk {
	c := protocol.Chunk{LogSeq: n.partitions[j.partition].log.CompleteUpTo()}
	lo, hi := j.chunkRange(k)
	for i := lo; i < hi; i++ {
		stored := j.tasks[i].withoutProposal()
		outcome := outcomeNone
		if stored.phase == phasePlaced && n.provenHere(&stored) {
			outcome = stored.outcome
		}
		stored.addTo(&c, i, outcome)
	}
	return c
}

// wakeForForeignTask makes a machine of this node get the start of a foreign task that its job's
// owner has stored.
func (n *Node) wakeForForeignTask(j *job, m *machine, now time.Time) {
	if j.isForeign(m) && n.ownsMachine(m) {
		n.scheduleAnswer(m, now)
		n.pendingStarts[m] = true
	}
}

// noteForeignTaskReturned makes this node, if it owns the job's partition, avoid the lent capacity on
// which a task ended without having completed. The reason is known to the lender only.
func (n *Node) noteForeignTaskReturned(j *job, t *task, now time.Time) {
	if t.phase != phasePlaced || !j.isForeign(t.machine) || j.cancelled || !n.owns(n.partitions[j.partition]) {
		return
	}
	n.loans.avoidUntil[lending.Key{Machine: t.machine.name, Borrower: j.partition}] = now.Add(foreignRetryPause)
	n.markStale(t.machine)
}

// recallLoan makes this node, if it owns the partition of a foreign task's machine, take back the
// capacity that the task leaves: it stops the task because it needs the capacity.
func (n *Node) recallLoan(j *job, m *machine) {
	if m != nil && j.isForeign(m) && n.ownsMachine(m) {
		n.loans.recalled[lending.Key{Machine: m.name, Borrower: j.partition}] = time.Now().Add(preemptionHold)
	}
}

// noteBrokenAttempt ends a gang's attempt of which tasks are gone by another node's change: the
// job's owner learns that of foreign tasks, and the owners of their machines of all others.
func (n *Node) noteBrokenAttempt(j *job) {
	switch {
	case j.spec.Shape != protocol.Gang:
	case j.nPlaced == len(j.tasks):
		j.attemptWhole = true
	case j.nPlaced == 0:
		j.attemptWhole = false
	case j.attemptWhole && j.nWaiting() > 0 && !j.abortAttempt && (n.owns(n.partitions[j.partition]) || n.hostsForeignTasks(j)):
		j.abortAttempt = true
		n.wakeMachines(j)
	}
}

// hostsForeignTasks reports whether foreign tasks of a job are on machines of this node.
func (n *Node) hostsForeignTasks(j *job) bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool {
		return t.machine != nil && j.isForeign(t.machine) && n.ownsMachine(t.machine)
	})
}

// discardForeignOutcomes drops what this node has observed of foreign tasks on a partition's
// machines, because it has begun or ceased to own the partition; see discardOutcomes.
func (n *Node) discardForeignOutcomes(p *partition) {
	for _, m := range p.machines {
		for k := range m.tasks {
			if j := k.job; j.partition != p.index {
				n.discardOutcome(j, k.task)
				if n.owns(p) && j.spec.Shape == protocol.Gang && j.nPlaced > 0 && j.nWaiting() > 0 {
					j.abortAttempt = true // only a part of the gang is recorded, or left
				}
			}
		}
	}
}

// tickLoans takes back unused capacity of owned partitions and lends capacity to others.
func (n *Node) tickLoans(now time.Time) {
	if now.Sub(n.loans.lastPass) < lendInterval || n.sinceContact(now) > 2*time.Second || n.standby.leaving {
		return
	}
	n.loans.lastPass = now
	for _, limits := range []map[lending.Key]time.Time{n.loans.avoidUntil, n.loans.recalled} {
		maps.DeleteFunc(limits, func(_ lending.Key, until time.Time) bool { return !now.Before(until) })
	}
	n.loans.tracker.Keep(func(key lending.Key) bool { return len(n.loans.byMachine[key.Machine]) > 0 })
	for _, p := range n.partitions {
		if !n.owns(p) || !n.mayDecide(p, now) || p.reconciliation.Phase() != start.Serving {
			continue
		}
		kept := n.keptLoans(p, now)
		if len(n.nodesWithoutLoans) > 0 {
			n.stopForeignTasks(p)
		} else {
			n.addLoans(p, kept, now)
		}
		n.storeLoans(p, kept)
	}
}

// keptLoans returns the capacity that a partition goes on lending, by borrower.
func (n *Node) keptLoans(p *partition, now time.Time) map[int]*protocol.LoansRecord {
	kept := map[int]*protocol.LoansRecord{}
	for _, borrower := range n.partitions {
		record, attributed := &protocol.LoansRecord{}, map[*machine]Resources{} // use attributed to earlier loans
		kept[borrower.index] = record
		for _, l := range n.loans.stored[loanKey{p.index, borrower.index}].Machines {
			m := n.machines[l.Machine]
			if m == nil || !m.recorded || m.rec.Partition != p.index {
				continue
			}
			lent, used := loanCapacity(l), unusedBeyond(m.usedBy(borrower.index), attributed[m])
			attributed[m] = attributed[m].Add(lent, 1)
			key := lending.Key{Machine: m.name, Borrower: borrower.index}
			_, recalled := n.loans.recalled[key]
			observation := lending.Observation{
				FullyUsed:   unusedBeyond(lent, used) == Resources{},
				Unavailable: recalled || len(n.nodesWithoutLoans) > 0 || !n.mayGetTasks(m, now),
			}
			if n.loans.tracker.TakesBack(key, observation, now) {
				lent = Resources{CPUs: min(lent.CPUs, used.CPUs), GPUs: min(lent.GPUs, used.GPUs), MemoryGB: min(lent.MemoryGB, used.MemoryGB)}
			}
			if lent != (Resources{}) {
				job := l.Job
				if !n.faulty(m) {
					job = "" // the trial for which it was lent has succeeded
				}
				record.Machines = append(record.Machines, protocol.Loan{Machine: m.name, Job: job, CPUs: lent.CPUs, GPUs: lent.GPUs, MemoryGB: lent.MemoryGB})
			}
		}
	}
	return kept
}

// lendingRequest is a waiting job of another partition, and with it all others that are like it.
type lendingRequest struct {
	job    *job
	tasks  int // that wait
	waited time.Duration
}

// lendingKey identifies waiting jobs for which the same capacity can be lent. Jobs whose tasks depend
// on one another, or have failed, have a key of their own.
type lendingKey struct {
	job         string
	team, rank  int
	need        Resources
	types, zone string
	spot        bool
}

func (j *job) lendingKey() lendingKey {
	key := lendingKey{team: j.team, rank: j.rank, need: j.need, types: strings.Join(j.spec.Types, " "), zone: j.spec.Zone, spot: j.spec.Spot}
	if j.spec.OneZone || j.spec.Spread || j.spec.Shape == protocol.Gang || len(j.failures.machines) > 0 {
		key.job = j.id
	}
	return key
}

// lendingRequests returns what waits in the other partitions and a partition might lend capacity to,
// the most urgent first, at most maxLendingRequests: with more of them other ones in each pass.
func (n *Node) lendingRequests(p *partition, now time.Time) []lendingRequest {
	var requests []lendingRequest
	index := map[lendingKey]int{}
	for _, other := range n.partitions {
		if other == p {
			continue
		}
		for _, j := range other.jobs {
			waiting := j.nWaiting()
			if waiting == 0 || j.cancelled || j.abortAttempt || n.blockedBySiteLease(j, now) {
				continue
			}
			waited := j.waitedFor(now)
			if waited < lendAfter {
				continue
			}
			key := j.lendingKey()
			if i, known := index[key]; known {
				requests[i].tasks += waiting
			} else if n.preemptionDemand(j, now) > 0 {
				index[key] = len(requests)
				requests = append(requests, lendingRequest{j, waiting, waited})
			}
		}
	}
	if excess := len(requests) - maxLendingRequests; excess > 0 {
		n.loans.firstRequest %= len(requests)
		requests = append(requests[n.loans.firstRequest:], requests[:n.loans.firstRequest]...)[:maxLendingRequests]
		n.loans.firstRequest += maxLendingRequests
	}
	slices.SortFunc(requests, func(a, b lendingRequest) int { return byPriority(a.job, b.job) })
	return requests
}

// waitedFor returns for how long the first waiting task of a job has waited.
func (j *job) waitedFor(now time.Time) time.Duration {
	for i := range j.tasks {
		if j.tasks[i].phase == phaseWaiting {
			return now.Sub(j.tasks[i].phaseSince)
		}
	}
	return 0
}

// addLoans adds to the loans that a partition keeps what waiting jobs of other partitions need and it
// has.
func (n *Node) addLoans(p *partition, kept map[int]*protocol.LoansRecord, now time.Time) {
	inFlight := maps.Clone(n.loans.storing)
	for _, request := range n.lendingRequests(p, now) {
		key := loanKey{p.index, request.job.partition}
		if _, storing := inFlight[key]; storing || n.hasUnusedLoan(key, request.job.need) {
			continue // the borrower has not decided on an earlier loan yet
		}
		if n.lendTo(p, request, kept[key.borrower], now) {
			n.setStoring(key, kept[key.borrower]) // the next request finds less
		}
	}
	for key := range n.loans.storing {
		if _, storing := inFlight[key]; !storing && key.lender == p.index {
			n.setStoring(key, nil) // storeLoans decides whether there is a change
		}
	}
}

// hasUnusedLoan reports whether a task with a need fits into unused lent capacity.
func (n *Node) hasUnusedLoan(key loanKey, need Resources) bool {
	return slices.ContainsFunc(n.loans.stored[key].Machines, func(l protocol.Loan) bool {
		m := n.machines[l.Machine]
		return m != nil && unusedBeyond(loanCapacity(l), m.usedBy(key.borrower)).TaskCount(need) > 0
	})
}

// lendTo adds to a record the capacity that a partition has for a waiting job of another one, and
// reports whether there is any.
func (n *Node) lendTo(p *partition, request lendingRequest, record *protocol.LoansRecord, now time.Time) (any bool) {
	view, facts, zone := n.view(p, now), n.jobFactsWithZones(request.job, now), ""
	if request.job.spec.Shape == protocol.Gang && len(request.job.tasks) > 1 {
		var fits bool
		if zone, fits = view.SiteHasRoom(facts); !fits {
			return false
		}
	}
	for _, f := range view.LendTo(facts, request.tasks) {
		m := n.machines[f.Name]
		idle := len(m.tasks) == 0
		if zone != "" && m.rec.Zone != zone || idle && request.waited < lendIdleAfter {
			continue
		}
		onlyFor := ""
		if m.faults.onTrial {
			onlyFor = request.job.id // others may be known to fail there
		}
		if !addLoan(record, m.name, onlyFor, request.job.need) {
			break
		}
		any = true
		n.log.Info("capacity lent", "machine", m.name, "share", p.index, "to", request.job.partition, "job", request.job.id, "waited_s", roundToTenth(request.waited.Seconds()))
	}
	return any
}

// maxLoansPerRecord bounds the number of machines in a LoansRecord.
const maxLoansPerRecord = 64

// addLoan adds capacity of a machine to a record, for one job or, if onlyFor is empty, any. It returns
// false if the record is full.
func addLoan(record *protocol.LoansRecord, machine, onlyFor string, more Resources) bool {
	i := slices.IndexFunc(record.Machines, func(l protocol.Loan) bool { return l.Machine == machine && l.Job == onlyFor })
	if i < 0 {
		if i = len(record.Machines); i == maxLoansPerRecord {
			return false
		}
		record.Machines = append(record.Machines, protocol.Loan{Machine: machine, Job: onlyFor})
	}
	l := &record.Machines[i]
	l.CPUs, l.GPUs, l.MemoryGB = l.CPUs+more.CPUs, l.GPUs+more.GPUs, l.MemoryGB+more.MemoryGB
	return true
}

// storeLoans stores the loans of a partition that have changed.
func (n *Node) storeLoans(p *partition, wanted map[int]*protocol.LoansRecord) {
	for _, borrower := range slices.Sorted(maps.Keys(wanted)) {
		key, record := loanKey{p.index, borrower}, *wanted[borrower]
		if _, storing := n.loans.storing[key]; storing || slices.Equal(record.Machines, n.loans.stored[key].Machines) {
			continue
		}
		n.setStoring(key, &record)
		stored := protocol.LoansKey(p.index, borrower)
		n.submit(&storage.Op{Purpose: uint8(forMoves), Conds: []storage.Cond{n.unchanged(protocol.OwnerKey(p.index)), n.unchanged(stored)},
			Writes: []storage.Write{{Put: stored, Value: mustJSON(record)}}}, func(storage.Result) {
			n.setStoring(key, nil)
		})
	}
}

// setStoring sets or, with nil, removes a change of loans that is in flight.
func (n *Node) setStoring(key loanKey, record *protocol.LoansRecord) {
	mark := func(r protocol.LoansRecord) {
		for _, l := range r.Machines {
			n.markStale(n.machines[l.Machine])
		}
	}
	mark(n.loans.storing[key])
	if record == nil {
		delete(n.loans.storing, key)
		return
	}
	n.loans.storing[key] = protocol.LoansRecord{Machines: slices.Clone(record.Machines)}
	mark(*record)
}

// stopForeignTasks stops the foreign tasks on a partition's machines: a node of an earlier version,
// which can't prove their ends, may become the owner.
func (n *Node) stopForeignTasks(p *partition) {
	for _, m := range p.machines {
		for k := range m.tasks {
			if t := &k.job.tasks[k.task]; k.job.isForeign(m) && t.phase == phasePlaced && !t.stopRequested {
				n.stopTask(k.job, k.task)
			}
		}
	}
}
