package node

import (
	"errors"
	"slices"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// Changes that users wait for. If the answer to such a change is late, a status read shows whether
// the change is stored. If it is not, the change is sent once more on the same conditions, which
// only one of the two attempts can meet. A change that stays undecided is answered with 503.

const (
	// submissionTimeout is how long a user waits for a submission to be stored, including its time
	// in the queue (maxQueueWait). cancellationTimeout is the same for a cancellation; after it the
	// user may have to wait for the job's end as well.
	submissionTimeout   = 2500 * time.Millisecond
	cancellationTimeout = time.Second

	// minAnswerTimeout and maxAnswerTimeout bound the time after which an answer counts as late. By
	// the former the watch has usually shown what is stored.
	minAnswerTimeout = 200 * time.Millisecond
	maxAnswerTimeout = 600 * time.Millisecond

	// maxAttempts is how often a change is sent for one request of a user.
	maxAttempts = 2
)

// userChange is a change that a user waits for.
type userChange struct {
	op        *storage.Op
	reply     chan<- answer
	onResult  func(storage.Result) // answers the user according to the result
	verify    func(c *userChange)  // finds out whether the change is stored; nil: not checked
	timeout   time.Duration        // with verify: after this the user is told to retry
	startedAt time.Time
	sentAt    time.Time // time of the last attempt
	verifyAt  time.Time
	verifying bool
	attempts  int
	resolved  bool // the user was answered, or another function will answer
}

// submitForUser queues a change that a user waits for. It makes one attempt, however long that takes.
func (n *Node) submitForUser(op *storage.Op, reply chan<- answer, onResult func(storage.Result)) {
	n.startUserChange(&userChange{op: op, reply: reply, onResult: onResult})
}

// startUserChange queues a change that a user waits for.
func (n *Node) startUserChange(c *userChange) {
	now := time.Now()
	if a, full := n.rejectIfOverloaded(now); full {
		c.reply <- a
		return
	}
	c.startedAt = now
	if !n.sendChange(c, now) {
		c.reply <- busyAnswer
		return
	}
	if c.verify != nil {
		n.userChanges = append(n.userChanges, c)
	}
}

// sendChange sends a change, for the first time or again. It returns false if the queue is full.
func (n *Node) sendChange(c *userChange, now time.Time) bool {
	op := *c.op
	op.NoRetry = true
	op.Done = func(r storage.Result) {
		n.post(func() {
			n.pendingUserChanges--
			n.onChangeResult(c, r, time.Since(now))
		})
	}
	c.attempts++
	c.sentAt = now
	c.verifyAt = now.Add(n.answerTimeout())
	n.pendingUserChanges++
	if !n.userCommitter.Submit(&op) {
		n.pendingUserChanges--
		return false
	}
	return true
}

// answerTimeout returns how long to wait for the answer to a user's change before checking whether
// it is stored.
func (n *Node) answerTimeout() time.Duration {
	return n.userChangeLatency.Timeout(minAnswerTimeout, maxAnswerTimeout)
}

// resendDelay returns how long to wait before sending a change again. It is longer while changes are
// scarce, as the first attempt may still be in the queue.
func (n *Node) resendDelay() time.Duration {
	if !n.rateLimiter.HasSpareRate() {
		return maxAnswerTimeout
	}
	return n.answerTimeout()
}

// onChangeResult handles the result of an attempt to store a change.
func (n *Node) onChangeResult(c *userChange, r storage.Result, took time.Duration) {
	if r.Err == nil {
		n.userChangeLatency.Observe(took)
	}
	switch {
	case c.resolved:
	case errors.Is(r.Err, storage.ErrUnknown) && c.verify != nil:
		// It may be stored all the same; checkUserChanges finds out.
	default:
		c.resolved = true
		c.onResult(r)
	}
}

// checkUserChanges verifies changes whose answer is late, and tells the users of those that stay
// undecided to retry.
func (n *Node) checkUserChanges(now time.Time) {
	n.userChanges = slices.DeleteFunc(n.userChanges, func(c *userChange) bool { return c.resolved })
	for _, c := range slices.Clone(n.userChanges) {
		switch {
		case now.Sub(c.startedAt) >= c.timeout:
			n.metrics.guardRefusals.WithLabelValues("change_unanswered").Inc()
			c.resolve(busyAnswer)
		case !c.verifying && !now.Before(c.verifyAt):
			c.verifying = true
			c.verify(c)
		}
	}
}

// verifyByStatus reads a job's status and calls found with it if the job is stored. found reports
// whether that shows the change to be stored. If it does not, the change is sent again once its resend
// delay has passed. If the status read gets no answer either, the user is told at once that the
// result is unknown.
func (n *Node) verifyByStatus(c *userChange, id string, found func(s protocol.JobStatus) bool) {
	n.readJobStatus(id, func(known bool, s protocol.JobStatus, err error) {
		c.verifying = false
		if c.resolved || err == nil && known && found(s) {
			return
		}
		if errors.Is(err, storage.ErrUnknown) {
			n.metrics.guardRefusals.WithLabelValues("change_unanswered").Inc()
			c.resolve(busyAnswer)
			return
		}
		now := time.Now()
		c.verifyAt = now.Add(n.answerTimeout())
		if err == nil && c.attempts < maxAttempts && now.Sub(c.sentAt) >= n.resendDelay() {
			n.sendChange(c, now)
		}
	})
}

// resolve closes a change and answers its user.
func (c *userChange) resolve(a answer) {
	c.resolved = true
	c.reply <- a
}
