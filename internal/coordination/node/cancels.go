package node

import (
	"context"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// A user who cancels a job is told that it is cancelled once none of its tasks is left. Until
// then every status request shows the job as it was, and none of its tasks is started.

// confirmsCancelAfterStop reports whether all nodes confirm cancellations only when the tasks have
// ended. While a node of an earlier version lives it may confirm as soon as the cancellation is
// stored; this node then does so too, since the other node reads the record that way. Jobs of the
// gateway are confirmed by the gateway's members: such a job runs only while the site has its
// lease, and after that every answer to a report stops it (stopsForReport).
func (n *Node) confirmsCancelAfterStop() bool {
	return len(n.nodesWithoutEntries) == 0 && (len(n.olderNodes) == 0 || !n.handlesTickets())
}

// handlesTickets reports whether this node accepts tickets or knows of any.
func (n *Node) handlesTickets() bool {
	return len(n.tickets.byID)+len(n.tickets.fileClasses)+len(n.tickets.storedClasses) > 0
}

// cancelWaiter is a user who waits until a job that is being cancelled has ended.
type cancelWaiter struct {
	jobID     string
	triesLeft int
	reply     chan<- answer
	deadline  time.Time
}

// cancelWaitTimeout bounds how long a user waits for the end of a cancelled job. The partition's
// owner receives the cancellation, stops the tasks directly and stores that they have ended, which
// takes some hundredths of a second. A user who has no answer by then is told to ask again.
const cancelWaitTimeout = 900 * time.Millisecond

// awaitCancelled answers a user who cancels a job, or a ticket with the jobs of its steps, once
// all tasks have ended. If the end cannot be known that soon, it answers at once that the
// cancellation is not complete.
func (n *Node) awaitCancelled(id string, jobs []*job, triesLeft int, reply chan<- answer) {
	now := time.Now()
	if slices.ContainsFunc(jobs, func(j *job) bool { return n.cancelWillBeSlow(j, now) }) {
		n.answerCancelPending(reply)
		return
	}
	n.cancelWaiters = append(n.cancelWaiters, cancelWaiter{id, triesLeft, reply, now.Add(cancelWaitTimeout)})
}

// cancelWillBeSlow reports whether the end of some of a job's tasks cannot be known within a
// moment: a machine is unreachable as far as this node knows, or the tasks are on more machines
// than get the stop directly.
func (n *Node) cancelWillBeSlow(j *job, now time.Time) bool {
	seen := map[*machine]bool{}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != phasePlaced || t.outcome != outcomeNone || seen[t.machine] {
			continue
		}
		m := t.machine
		owned := n.ownsMachine(m)
		if seen[m] = true; len(seen) > maxDirectStops || n.zoneUnreachable(m.rec.Zone, now) || owned && (m.addr == "" || !m.fenced || n.silent(m, now)) {
			return true
		}
	}
	return false
}

// answerCancelPending tells a user who cancels a job to ask again.
func (n *Node) answerCancelPending(reply chan<- answer) {
	n.metrics.guardRefusals.WithLabelValues("not_stopped").Inc()
	reply <- answer{status: 503, retryAfterS: 1, body: errorBody{"it is being cancelled: some of its tasks are not known to be gone yet"}}
}

// notifyCancelWaiters answers the users who wait for a job or ticket that the replica has dropped.
func (n *Node) notifyCancelWaiters(id string) {
	kept := n.cancelWaiters[:0]
	for _, waiter := range n.cancelWaiters {
		if waiter.jobID != id {
			kept = append(kept, waiter)
			continue
		}
		n.spawn(func(context.Context) { n.post(func() { n.onCancel(waiter.jobID, waiter.triesLeft, waiter.reply) }) })
	}
	n.cancelWaiters = kept
}

// expireCancelWaiters answers the users whose wait has timed out.
func (n *Node) expireCancelWaiters(now time.Time) {
	kept := n.cancelWaiters[:0]
	for _, waiter := range n.cancelWaiters {
		if now.Before(waiter.deadline) {
			kept = append(kept, waiter)
			continue
		}
		n.answerCancelPending(waiter.reply)
	}
	n.cancelWaiters = kept
}

// maxDirectStops is how many machines get the command to stop a job's tasks directly. The others
// get it with the answers to their reports.
const maxDirectStops = 32

// stopTasksDirectly tells this node's machines to stop the tasks of a job that is being cancelled.
func (n *Node) stopTasksDirectly(j *job) {
	stopped := map[*machine]bool{}
	for i := range j.tasks {
		if m := j.tasks[i].machine; m != nil && j.tasks[i].phase == phasePlaced && n.ownsMachine(m) && !stopped[m] && len(stopped) < maxDirectStops {
			stopped[m] = true
			n.sendStops(m)
		}
	}
}

// cancelledJobsPerHint is how many jobs that are being cancelled one hint names. With more of them
// the selection is arbitrary, and later hints name others.
const cancelledJobsPerHint = 256

// cancelledJobsForHint returns the jobs that the next hints name as being cancelled and of which
// tasks may be left.
func (n *Node) cancelledJobsForHint() (out []protocol.CancelledJob) {
	for j := range n.cancelling {
		if len(out) == cancelledJobsPerHint {
			break
		}
		if revision := n.revisionOf(protocol.JobKey(j.id)); revision > 0 {
			out = append(out, protocol.CancelledJob{Job: j.id, Revision: revision})
		}
	}
	return out
}

// applyCancelHints handles the jobs that a peer reports as being cancelled. An owner that the state
// service refuses learns of cancellations this way and stops the tasks. A hint proves nothing: no
// user is answered and nothing is stored because of it, and it applies only until this node's
// replica has reached the revision that the hint names for the cancellation.
func (n *Node) applyCancelHints(from string, cancelled []protocol.CancelledJob) {
	for _, c := range cancelled {
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

// cancelledByHint reports whether a job counts as cancelled only because of a peer's hint.
func (n *Node) cancelledByHint(j *job) bool { return j.cancelHintRevision > n.completeRevision }
