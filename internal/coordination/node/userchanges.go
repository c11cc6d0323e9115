package node

import (
	"errors"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// Changes that users wait for. Where the answer to such a change is late, a status read shows
// whether it is stored; if it is not, it is sent once more, on the same conditions, of which
// only one of the two can meet. What is undecided after a while is answered 503.

const (
	// submissionTimeout is how long a user waits for a submission to be stored, its turn in the
	// queue (mostWait) included, and cancelPatience the same of a cancellation, after which
	// the user may wait for the job's end too.
	submissionTimeout   = 2500 * time.Millisecond
	cancellationTimeout = time.Second

	// leastLookTime and mostLookTime bound the time after which an answer counts as late. By
	// the first the watch has usually told what is stored.
	leastLookTime = 200 * time.Millisecond
	mostLookTime  = 600 * time.Millisecond

	// mostAttempts is how often a change is sent for one request of a user.
	mostAttempts = 2
)

// userChange is a change that a user waits for.
type userChange struct {
	op       *storage.Op
	reply    chan<- answer
	onResult func(storage.Result) // answers the user by the change's result
	verify   func(c *userChange)  // finds out whether it is stored; nil: it is not looked for
	timeout  time.Duration        // with look: after which the user is told to ask again
	began    time.Time
	sent     time.Time // the last attempt
	lookAt   time.Time
	looking  bool
	attempts int
	resolved bool // the user is answered, or will be by somebody else
}

// submitForUser queues a change that a user waits for, for one attempt however long it takes.
func (n *Node) submitForUser(op *storage.Op, reply chan<- answer, then func(storage.Result)) {
	n.startUserChange(&userChange{op: op, reply: reply, onResult: then})
}

// startUserChange queues a change that a user waits for.
func (n *Node) startUserChange(c *userChange) {
	now := time.Now()
	if a, full := n.rejectIfOverloaded(now); full {
		c.reply <- a
		return
	}
	c.began = now
	if !n.sendChange(c, now) {
		c.reply <- busyAnswer
		return
	}
	if c.verify != nil {
		n.userChanges = append(n.userChanges, c)
	}
}

// sendChange sends a change, for the first time or again. It returns false if too many wait.
func (n *Node) sendChange(c *userChange, now time.Time) bool {
	op := *c.op
	op.NoRetry = true
	op.Done = func(r storage.Result) {
		n.post(func() {
			n.pendingUserChanges--
			n.changeEnded(c, r, time.Since(now))
		})
	}
	c.attempts++
	c.sent = now
	c.lookAt = now.Add(n.lookTime())
	n.pendingUserChanges++
	if !n.userCommitter.Submit(&op) {
		n.pendingUserChanges--
		return false
	}
	return true
}

// lookTime is how long to wait for the answer to a user's change before looking for it.
func (n *Node) lookTime() time.Duration {
	return n.userChangeLatency.Timeout(leastLookTime, mostLookTime)
}

// resendDelay is how long to wait before sending it again: longer where changes are short, as
// it may not have been sent yet.
func (n *Node) resendDelay() time.Duration {
	if !n.rateLimiter.HasSpareRate() {
		return mostLookTime
	}
	return n.lookTime()
}

// changeEnded takes in how an attempt to store a change ended.
func (n *Node) changeEnded(c *userChange, r storage.Result, took time.Duration) {
	if r.Err == nil {
		n.userChangeLatency.Observe(took)
	}
	switch {
	case c.resolved:
	case errors.Is(r.Err, storage.ErrUnknown) && c.verify != nil:
		// It may be stored all the same: tickUserChanges looks.
	default:
		c.resolved = true
		c.onResult(r)
	}
}

// checkUserChanges looks for changes whose answer is late, and tells the users of those that
// stay undecided to ask again.
func (n *Node) checkUserChanges(now time.Time) {
	n.userChanges = slices.DeleteFunc(n.userChanges, func(c *userChange) bool { return c.resolved })
	for _, c := range slices.Clone(n.userChanges) {
		switch {
		case now.Sub(c.began) >= c.timeout:
			n.metrics.guardRefusals.WithLabelValues("change_unanswered").Inc()
			c.resolve(busyAnswer)
		case !c.looking && !now.Before(c.lookAt):
			c.looking = true
			c.verify(c)
		}
	}
}

// verifyByStatus calls found with a job's state if it is stored now, and sends the change again
// otherwise. found returns false if it does not show that the change is stored. If status
// reads go unanswered too, the user is told at once that this is undecided.
func (n *Node) verifyByStatus(c *userChange, id string, found func(s protocol.JobStatus) bool) {
	n.readJobStatus(id, func(known bool, s protocol.JobStatus, err error) {
		c.looking = false
		if c.resolved || err == nil && known && found(s) {
			return
		}
		if errors.Is(err, storage.ErrUnknown) {
			n.metrics.guardRefusals.WithLabelValues("change_unanswered").Inc()
			c.resolve(busyAnswer)
			return
		}
		now := time.Now()
		c.lookAt = now.Add(n.lookTime())
		if err == nil && c.attempts < mostAttempts && now.Sub(c.sent) >= n.resendDelay() {
			n.sendChange(c, now)
		}
	})
}

// resolve closes a change and answers its user.
func (c *userChange) resolve(a answer) {
	c.resolved = true
	c.reply <- a
}
