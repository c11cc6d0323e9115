package node

import (
	"context"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Users who cancel a job are told that it is cancelled when nothing of it is left. Until
// then it is as it was to all who ask, and nothing of it is started.

// confirmsCancelAfterStop says whether all nodes do that; where one of an earlier version lives they may
// not, and then this one tells at once too, since the other reads the record so. Of a job of
// the gateway its members tell; it runs only as long as the site has its lease, and every
// answer stops it after that (halts).
func (n *Node) confirmsCancelAfterStop() bool {
	return len(n.nodesWithoutEntries) == 0 && (len(n.olderNodes) == 0 || !n.handlesTickets())
}

// handlesTickets says whether this node takes tickets, or there are any.
func (n *Node) handlesTickets() bool {
	return len(n.tickets.byID)+len(n.tickets.fileClasses)+len(n.tickets.storedClasses) > 0
}

// cancelWaiter is a user who waits for the end of a job that is being cancelled.
type cancelWaiter struct {
	jobID     string
	triesLeft int
	reply     chan<- answer
	deadline  time.Time
}

// endTime is how long such an answer may take while the job's end is under way: its holder
// sees the cancellation, stops the tasks directly and stores that they are gone, which
// takes some hundredths of a second. Whoever is not told by then is told to ask again.
const endTime = 900 * time.Millisecond

// awaitCancelled answers a user who cancels a job, or a ticket with its steps' jobs, once nothing
// of it is left, or at once that it is not over, if its end can't be known so soon.
func (n *Node) awaitCancelled(id string, of []*job, tries int, reply chan<- answer) {
	now := time.Now()
	if slices.ContainsFunc(of, func(j *job) bool { return n.endsLater(j, now) }) {
		n.tellLater(reply)
		return
	}
	n.cancelWaiters = append(n.cancelWaiters, cancelWaiter{id, tries, reply, now.Add(endTime)})
}

// endsLater says whether some of a job's tasks will not be known to be gone within a
// moment: their machine is out of reach, as far as this node knows, or they are on more
// machines than are told directly.
func (n *Node) endsLater(j *job, now time.Time) bool {
	mine := n.owns(n.partitions[j.partition])
	on := map[*machine]bool{}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != phasePlaced || t.outcome != outcomeNone || on[t.machine] {
			continue
		}
		m := t.machine
		if on[m] = true; len(on) > mostStopped || n.zoneUnreachable(m.rec.Zone, now) || mine && (m.addr == "" || !m.fenced || n.silent(m, now)) {
			return true
		}
	}
	return false
}

// tellLater tells a user who cancels a job to ask again.
func (n *Node) tellLater(reply chan<- answer) {
	n.metrics.guardRefusals.WithLabelValues("not_stopped").Inc()
	reply <- answer{status: 503, retryAfterS: 1, body: errorBody{"it is being cancelled: some of its tasks are not known to be gone yet"}}
}

// notifyCancelWaiters answers those who wait for a job or ticket that has gone from the replica.
func (n *Node) notifyCancelWaiters(id string) {
	kept := n.cancelWaiters[:0]
	for _, a := range n.cancelWaiters {
		if a.jobID != id {
			kept = append(kept, a)
			continue
		}
		n.spawn(func(context.Context) { n.post(func() { n.onCancel(a.jobID, a.triesLeft, a.reply) }) })
	}
	n.cancelWaiters = kept
}

// expireCancelWaiters turns those away who have waited for long enough.
func (n *Node) expireCancelWaiters(now time.Time) {
	kept := n.cancelWaiters[:0]
	for _, a := range n.cancelWaiters {
		if now.Before(a.deadline) {
			kept = append(kept, a)
			continue
		}
		n.tellLater(a.reply)
	}
	n.cancelWaiters = kept
}

// mostStopped is how many machines are told directly to stop a job's tasks; the others
// hear it with the answers to their reports.
const mostStopped = 32

// stopTasksDirectly tells machines of a job that is being cancelled to stop its tasks.
func (n *Node) stopTasksDirectly(j *job) {
	if !n.owns(n.partitions[j.partition]) {
		return
	}
	told := map[*machine]bool{}
	for i := range j.tasks {
		if m := j.tasks[i].machine; m != nil && j.tasks[i].phase == phasePlaced && !told[m] && len(told) < mostStopped {
			told[m] = true
			n.sendStops(m)
		}
	}
}

// cancelledPerHint is how many jobs that are being cancelled one hint tells of: any of them,
// others with the next one.
const cancelledPerHint = 256

// cancelledJobsForHint is what the next hints tell of jobs that are being cancelled and of which
// something may be left.
func (n *Node) cancelledJobsForHint() (out []protocol.CancelledJob) {
	for j := range n.cancelling {
		if len(out) == cancelledPerHint {
			break
		}
		if rev := n.revisionOf(protocol.JobKey(j.id)); rev > 0 {
			out = append(out, protocol.CancelledJob{Job: j.id, Revision: rev})
		}
	}
	return out
}

// applyCancelHints takes in which jobs a sibling says are being cancelled. A holder that the
// state service refuses learns so what it can't read there, and stops their tasks. It proves
// nothing: nobody is told anything for it, nothing is stored, and it holds until this node
// knows all that is stored up to the revision that is said to tell it.
func (n *Node) applyCancelHints(from string, told []protocol.CancelledJob) {
	for _, c := range told {
		j := n.jobs[c.Job]
		if j == nil || j.cancelled || c.Revision <= max(j.cancelHintRevision, n.completeRevision) {
			continue
		}
		if j.cancelHintRevision <= n.completeRevision {
			n.log.Info("a sibling says that a job is cancelled: its tasks are stopped", "job", j.id, "sibling", from, "revision", c.Revision, "known", n.completeRevision)
		}
		j.cancelHintRevision = c.Revision
		n.wakeMachines(j)
		n.stopTasksDirectly(j)
	}
}

// cancelledByHint says whether a job counts as cancelled by a sibling's hint alone.
func (n *Node) cancelledByHint(j *job) bool { return j.cancelHintRevision > n.completeRevision }
