package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
	"dapplestage.example/dapplestage/internal/storage"
)

// Jobs of the gateway are ordinary jobs with a claim: the number under which the site holds the
// job. Since another site takes over such a job when this site is lost, three things differ:
//   - They run only while the site has its lease, which this node requests from the site's
//     daemon; once the lease has expired, every answer to a report stops them.
//   - They are started only in answers to reports, never directly.
//   - The end of a claim leaves a record of its number, which rejects a submission under the
//     same claim that arrives after a delay of minutes.
//
// docs/gateway.md has the times and the proof.

// siteLease is what this node knows of the site's lease.
type siteLease struct {
	expiresAt   time.Time       // by this node's monotonic clock
	minRevision uint64          // a replica older than this revision may lack stops of gateway jobs
	heldUntil   time.Time       // end of the earlier lease, which applies while the replica is older
	lostJobs    map[string]bool // jobs that the site has lost: they may not run here
}

// usableUntil returns when the lease ends for a node whose replica is complete up to a revision.
// Until the replica has reached the revision that the lease requires, which takes a moment after
// each stop, the earlier lease applies: what may run until its end is part of every bound.
func (l *siteLease) usableUntil(completeRevision uint64) time.Time {
	if completeRevision >= l.minRevision {
		return l.expiresAt
	}
	return l.heldUntil
}

// SiteLeasePeriod is how often a controller requests the lease.
const SiteLeasePeriod = 500 * time.Millisecond

// maxClockDrift bounds the relative drift between two monotonic clocks.
const maxClockDrift = 0.001

// maxLeaseDuration bounds the remaining lease time that a controller accepts from an answer.
const maxLeaseDuration = time.Minute

// KeepSiteLease requests the lease from the site's daemon until the node ends. ask returns
// the daemon's answer.
func (n *Node) KeepSiteLease(ask func(ctx context.Context) ([]byte, error)) {
	for n.ctx.Err() == nil {
		// The lease time counts from before the request was sent, however long the answer took.
		requestedAt := time.Now()
		data, err := ask(n.ctx)
		var lease *wire.Lease
		if err == nil {
			lease, err = wire.DecodeLease(data)
		}
		n.post(func() { n.onLease(lease, err, requestedAt) })
		select {
		case <-n.ctx.Done():
		case <-time.After(SiteLeasePeriod):
		}
	}
}

// onLease handles the daemon's answer to a lease request that was sent at requestedAt.
func (n *Node) onLease(lease *wire.Lease, err error, requestedAt time.Time) {
	now := time.Now()
	wasOpen := !n.gatewayJobsBlocked(now)
	if err != nil {
		n.log.Debug("cannot get the site's lease from its daemon", "why", err)
	} else {
		left := min(time.Duration(lease.RemainingMS)*time.Millisecond, maxLeaseDuration)
		updated := &siteLease{expiresAt: requestedAt.Add(time.Duration(float64(left) * (1 - maxClockDrift))), minRevision: lease.MinRevision, lostJobs: map[string]bool{}}
		for _, id := range lease.LostJobs {
			updated.lostJobs[id] = true
		}
		if n.siteLease != nil {
			updated.continueLease(n.siteLease, left > 0, n.completeRevision)
		}
		n.siteLease = updated
		n.markAllStale() // the lease decides which jobs may run
	}
	if open := !n.gatewayJobsBlocked(now); open != wasOpen {
		n.log.Info("jobs of the gateway", "may_run", open, "why", err)
		n.replan = true
	}
}

// continueLease takes over from the lease that this one replaces what still applies. stillValid is
// false if the daemon has said that the site has no lease.
func (l *siteLease) continueLease(earlier *siteLease, stillValid bool, completeRevision uint64) {
	l.minRevision = max(l.minRevision, earlier.minRevision)
	if stillValid {
		l.heldUntil = earlier.usableUntil(completeRevision)
		l.expiresAt = latest(l.expiresAt, earlier.expiresAt)
	}
	if completeRevision < l.minRevision {
		// The replica may lack the stops of jobs that the daemon does not list any more.
		for id := range earlier.lostJobs {
			l.lostJobs[id] = true
		}
	}
}

// gatewayJobsBlocked reports whether no job of the gateway may run here.
func (n *Node) gatewayJobsBlocked(now time.Time) bool {
	return n.siteLease == nil || !now.Before(n.siteLease.usableUntil(n.completeRevision))
}

// blockedBySiteLease reports whether a job may not run because it is the gateway's and the site
// has no lease, or has lost the job.
func (n *Node) blockedBySiteLease(j *job, now time.Time) bool {
	return j.claim > 0 && (n.gatewayJobsBlocked(now) || n.siteLease.lostJobs[j.id])
}

// forgetEarlierClaim is called when the site holds a job again that it had lost: the final record
// of the earlier claim no longer applies.
func (n *Node) forgetEarlierClaim(id string, claim uint32) {
	if f, ok := n.finalJobs.byID[id]; ok && f.Claim > 0 && f.Claim < claim {
		delete(n.finalJobs.byID, id)
	}
}

// isGatewayJob reports whether a job came through the gateway. Only the gateway's members tell users
// the status of such a job: here it may be stopped because it moves to another site, or still run
// for a moment after its user was told that it is cancelled.
func (n *Node) isGatewayJob(id string) bool {
	j := n.jobs[id]
	return j != nil && j.claim > 0 || n.finalJobs.byID[id].Claim > 0
}

// askGatewayAnswer answers users who ask a site about a job of the gateway.
var askGatewayAnswer = answer{status: 503, retryAfterS: 5, body: errorBody{"this job came through the gateway: ask there"}}

// unlessGatewayJob continues with a submission unless the job came through the gateway: a user who
// repeats a submission directly at another site must not get a second job. If the daemon does not
// answer, the job is the site's own, as it would be without a gateway.
func (n *Node) unlessGatewayJob(id string, reply chan<- answer, proceed func()) {
	if n.LookUpGatewayJob == nil {
		proceed()
		return
	}
	n.spawn(func(ctx context.Context) {
		status, known, err := n.LookUpGatewayJob(ctx, id)
		n.post(func() {
			switch {
			case known && err != nil:
				reply <- busyAnswer
			case known:
				reply <- answer{status: 200, body: status}
			default:
				if err != nil {
					n.log.Debug("site daemon did not answer whether a job came through the gateway; accepting it as the site's own", "job", id, "why", err)
				}
				proceed()
			}
		})
	})
}

// routeSite adds the HTTP interface for the site's daemon.
func (n *Node) routeSite(r *httprouter.Router) {
	r.POST("/site/calls", n.postCalls)
	r.GET("/site/hint", n.getHint)
}

// maxCallsPerRequest bounds the calls in one request.
const maxCallsPerRequest = 512

// maxCallsBytes bounds the size of a request: maxCallsPerRequest of the longest submissions, each
// with a sixteenth of the largest request body.
const maxCallsBytes = maxCallsPerRequest * (protocol.MaxBodyBytes / 16)

// requireSiteDaemon rejects a request that does not come from the site's daemon: users reach the
// same address.
func (n *Node) requireSiteDaemon(w http.ResponseWriter, r *http.Request) bool {
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil && n.SiteDaemonHost != "" && host == n.SiteDaemonHost {
		return true
	}
	n.metrics.guardRefusals.WithLabelValues("not_the_daemon").Inc()
	writeAnswer(w, answer{status: 403, body: errorBody{"for the site's daemon only (--site-daemon)"}})
	return false
}

// postCalls executes the calls of a request and answers with the results that are available in time.
func (n *Node) postCalls(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !n.requireSiteDaemon(w, r) {
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxCallsBytes))
	var envelope *wire.Envelope
	if err == nil {
		envelope, err = wire.Decode(data)
	}
	if err == nil && len(envelope.Items) > maxCallsPerRequest {
		err = errTooLong
	}
	if err != nil {
		n.metrics.guardRefusals.WithLabelValues("malformed_calls").Inc()
		writeAnswer(w, answer{status: 400, body: errorBody{err.Error()}})
		return
	}
	replies := make(chan wire.Item, len(envelope.Items))
	n.post(func() {
		for i := range envelope.Items {
			n.onSiteCall(&envelope.Items[i], func(res wire.Item) { replies <- res })
		}
	})
	results := &wire.Envelope{}
	timer := time.NewTimer(callsTimeout)
	defer timer.Stop()
	for len(results.Items) < len(envelope.Items) {
		select {
		case res := <-replies:
			results.Items = append(results.Items, res)
			continue
		case <-timer.C: // the daemon repeats the calls that have no answer yet
		case <-r.Context().Done():
			return
		case <-n.ctx.Done():
		}
		break
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(wire.Encode(results))
}

// callsTimeout is how long the calls of one request wait for one another.
const callsTimeout = 2 * time.Second

// onSiteCall executes a call of the site's daemon. Every change is one conditional write.
func (n *Node) onSiteCall(item *wire.Item, reply func(wire.Item)) {
	call := &siteCall{node: n, request: item, reply: reply, triesLeft: 3}
	if !n.loaded || !protocol.ValidJobID(item.ID) || item.Record.Epoch == 0 {
		call.answer(wire.Unavailable, "not ready, or malformed")
		return
	}
	call.decide()
}

// siteCall is one call in progress.
type siteCall struct {
	node        *Node
	request     *wire.Item
	reply       func(wire.Item)
	triesLeft   int
	storeRead   bool // the stored records were read for this call
	storedFinal storage.Item
}

// answer answers the call with a code and the reason for it.
func (c *siteCall) answer(code uint8, why string) { c.answerAt(code, 0, nil, why) }

// answerAt answers the call with the revision of a stored change, if not 0, and with the task counts of
// a job, if not nil.
func (c *siteCall) answerAt(code uint8, revision uint64, j *job, why string) {
	result := wire.Item{Kind: wire.Result, ID: c.request.ID, Code: code, Ballot: wire.Ballot{Number: revision}, Record: wire.Record{Epoch: c.request.Record.Epoch, Spec: []byte(why)}}
	if j != nil {
		result.Record.Tasks, result.Running = uint32(j.nDone), uint32(j.nPlaced)
	}
	c.reply(result)
}

// decide answers from the replica where that is sufficient and otherwise reads the stored records:
// a job that the replica lacks may have ended or be new.
func (c *siteCall) decide() {
	n, id, epoch := c.node, c.request.ID, c.request.Record.Epoch
	j := n.jobs[id]
	final, ended := n.finalJobs.byID[id]
	switch {
	case j != nil && j.claim == 0, j == nil && ended && final.Claim == 0, n.tickets.byID[id] != nil:
		c.answer(wire.Conflict, "the site has a job of its own under this id")
	case j == nil && ended && final.Status == protocol.JobDone:
		c.answerEnded(final)
	case c.request.Kind == wire.Stop:
		c.endClaim(j, final, ended)
	case j != nil && j.claim == epoch && j.cancelled:
		c.answer(wire.ClaimEnded, "")
	case j != nil && j.claim == epoch:
		c.answerAt(wire.Active, 0, j, "")
	case j != nil && j.claim > epoch, j == nil && ended && final.Claim >= epoch:
		c.answer(wire.ClaimEnded, "")
	case c.request.Kind == wire.Submit:
		c.submit(j, final, ended)
	case c.storeRead && j == nil:
		c.answer(wire.NotFound, "")
	case j == nil:
		c.reread()
	default:
		c.answer(wire.Unavailable, "held under an earlier claim")
	}
}

// answerEnded answers that the job is done.
func (c *siteCall) answerEnded(final protocol.FinalRecord) {
	c.reply(wire.Item{Kind: wire.Result, ID: c.request.ID, Code: wire.Completed, Record: wire.Record{Epoch: c.request.Record.Epoch, Tasks: uint32(final.Tasks)}})
}

// reread reads the stored records of the job and decides again.
func (c *siteCall) reread() {
	if c.triesLeft--; c.triesLeft < 0 {
		c.answer(wire.Unavailable, "changed meanwhile")
		return
	}
	c.node.resync([]string{protocol.JobKey(c.request.ID), protocol.FinalKey(c.request.ID)}, func(items []storage.Item, err error) {
		if err != nil {
			c.answer(wire.Unavailable, "state service")
			return
		}
		c.storeRead, c.storedFinal = true, items[1]
		c.decide()
	})
}

// finalCond is the condition that the job's final record is as it was read, or, if it was not
// read, that there is none.
func (c *siteCall) finalCond() storage.Cond {
	cond := storage.Cond{Key: protocol.FinalKey(c.request.ID)}
	if c.storeRead && c.storedFinal.Value != nil {
		cond.Revision = c.storedFinal.Revision
	}
	return cond
}

// store submits a change. If a condition fails, the stored records are read and the call is
// decided again.
func (c *siteCall) store(op *storage.Op, onStored func(storage.Result)) {
	n := c.node
	rejected := make(chan answer, 1)
	n.submitForUser(op, rejected, func(r storage.Result) {
		switch {
		case r.OK:
			for _, w := range op.Writes {
				n.applyOwnWrite(w, r.Revision)
			}
			onStored(r)
		case r.Err != nil:
			c.answer(wire.Unavailable, "state service")
		default:
			c.reread()
		}
	})
	select {
	case <-rejected:
		c.answer(wire.Unavailable, "the rate of changes is used up")
	default:
	}
}

// submit stores a job under its claim, in the same way as a user's submission.
func (c *siteCall) submit(j *job, final protocol.FinalRecord, ended bool) {
	n, epoch := c.node, c.request.Record.Epoch
	if j != nil {
		c.raiseClaim(j)
		return
	}
	if ended && !c.storeRead {
		c.reread()
		return
	}
	spec, err := protocol.ParseStoredJob(c.request.Record.Spec)
	if err != nil || spec.ID != c.request.ID {
		c.answer(wire.Refused, "malformed submission")
		return
	}
	reason, decided := n.checkRunnable(spec)
	switch {
	case !decided:
		c.answer(wire.Unavailable, "the machine types are not known yet")
		return
	case reason != "":
		c.answer(wire.Refused, reason)
		return
	}
	created := time.UnixMilli(int64(c.request.Record.CreatedMS))
	if now := time.Now(); created.After(now) || c.request.Record.CreatedMS == 0 {
		created = now
	}
	op := &storage.Op{
		Conds:  []storage.Cond{{Key: protocol.JobKey(spec.ID)}, c.finalCond()},
		Writes: []storage.Write{{Put: protocol.JobKey(spec.ID), Value: mustJSON(protocol.JobRecord{Spec: spec, SubmittedMS: created.UnixMilli(), NextAttempt: 1, Claim: epoch})}}}
	if op.Conds[1].Revision != 0 {
		op.Writes = append(op.Writes, storage.Write{Delete: protocol.FinalKey(spec.ID)})
	}
	c.store(op, func(r storage.Result) {
		n.forgetEarlierClaim(spec.ID, epoch)
		n.log.Debug("accepted a job of the gateway", "job", spec.ID, "claim", epoch)
		c.answerAt(wire.Active, r.Revision, n.jobs[spec.ID], "")
	})
}

// raiseClaim continues a job that is here under an earlier claim under a new one: the site lost
// the job and got it again, and received neither message.
func (c *siteCall) raiseClaim(j *job) {
	n, epoch := c.node, c.request.Record.Epoch
	if j.cancelled {
		c.answer(wire.Unavailable, "an earlier claim is being ended")
		return
	}
	rec := n.storedRecordAtLog(j)
	rec.Claim = epoch
	op := &storage.Op{Conds: []storage.Cond{n.unchanged(protocol.JobKey(j.id))},
		Writes: []storage.Write{{Put: protocol.JobKey(j.id), Value: mustJSON(rec)}}}
	c.store(op, func(r storage.Result) { c.answerAt(wire.Active, r.Revision, n.jobs[j.id], "") })
}

// endClaim ends the site's claims on a job up to a given one, and answers Over when no task of the
// job can run here any more.
func (c *siteCall) endClaim(j *job, final protocol.FinalRecord, ended bool) {
	n, id, epoch := c.node, c.request.ID, c.request.Record.Epoch
	if j == nil {
		switch {
		case ended && final.Claim >= epoch && c.storeRead:
			c.answer(wire.ClaimEnded, "")
		case !c.storeRead:
			c.reread()
		default:
			op := &storage.Op{Conds: []storage.Cond{{Key: protocol.JobKey(id)}, c.finalCond()},
				Writes: []storage.Write{{Put: protocol.FinalKey(id), Value: mustJSON(protocol.FinalRecord{Status: protocol.JobCancelled, Claim: epoch})}}}
			// No task was placed when the job ended, or there was no job. A replica that has not seen the
			// final record yet cannot start anything, since its change would fail. The watch does not cover
			// this key, so there is no replica revision that the daemon could wait for.
			c.store(op, func(storage.Result) { c.answer(wire.ClaimEnded, "") })
		}
		return
	}
	switch {
	case j.claim > epoch:
		c.answer(wire.ClaimEnded, "")
	case j.cancelled && j.claim >= epoch:
		c.answerAt(wire.Active, n.revisionOf(protocol.JobKey(id)), j, "")
	default:
		rec := n.storedRecordAtLog(j)
		rec.Cancelled, rec.Claim = true, epoch
		op := &storage.Op{Conds: []storage.Cond{n.unchanged(protocol.JobKey(id))},
			Writes: []storage.Write{{Put: protocol.JobKey(id), Value: mustJSON(rec)}}}
		code := wire.Active
		if len(rec.Placed) == 0 && len(j.storedChunks) == 0 {
			op.Conds = append(op.Conds, storage.Cond{Key: protocol.FinalKey(id)})
			op.Writes = finalWrites(id, protocol.JobCancelled, len(j.tasks), epoch)
			code = wire.ClaimEnded
		}
		c.store(op, func(r storage.Result) {
			n.log.Info("claim on a job of the gateway ended", "job", id, "claim", epoch)
			c.answerAt(code, r.Revision, nil, "")
		})
	}
}

// getHint returns the hint that the site's daemon may pass to the other members.
func (n *Node) getHint(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !n.requireSiteDaemon(w, r) {
		return
	}
	reply := make(chan *wire.Hint, 1)
	n.post(func() { reply <- n.siteHint(time.Now()) })
	select {
	case h := <-reply:
		if h == nil {
			writeAnswer(w, busyAnswer)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Write(wire.Encode(&wire.Envelope{Hint: h}))
	case <-r.Context().Done():
	case <-n.ctx.Done():
	}
}

// siteHint returns a bounded summary of the site as far as this node knows it, or nil while it
// knows nothing. Free resources are known only for the partitions that this node owns; the daemon
// adds up the hints of the controllers.
func (n *Node) siteHint(now time.Time) *wire.Hint {
	if !n.loaded || len(n.machineTypes) == 0 || n.sinceContact(now) > stateServiceTimeout {
		return nil
	}
	hint := &wire.Hint{}
	for _, t := range n.machineTypes {
		if len(hint.Types) < wire.MaxTypes {
			hint.Types = append(hint.Types, wire.TypeHint{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, Zones: t.Zones})
		}
	}
	images := map[string]bool{}
	for _, m := range n.machines {
		if !m.recorded || !n.owns(n.partitions[m.rec.Partition]) || !n.usable(m, now) {
			continue
		}
		if t := n.machineTypes[m.rec.Type]; t != nil {
			hint.GPUs += t.GPUs
			hint.FreeGPUs += n.available(m).GPUs
		}
		for _, image := range m.images {
			if len(images) < wire.MaxImages && !images[image.Name] {
				images[image.Name] = true
				hint.Images = append(hint.Images, image.Name)
			}
		}
	}
	waiting := make([]int, len(n.teams))
	for _, p := range n.partitions {
		if !n.owns(p) {
			continue
		}
		for _, j := range p.jobs {
			if !j.cancelled && !n.blockedBySiteLease(j, now) {
				hint.Waiting += j.nWaiting()
				waiting[j.team] += j.nWaiting()
			}
		}
	}
	for i, t := range n.teams[:min(len(n.teams), wire.MaxTeams)] {
		teamHint := wire.TeamHint{Name: t.Name, CPUsMax: t.Limit.CPUs, GPUsMax: t.Limit.GPUs, GPUs: t.Guarantee.GPUs}
		if n.owns(n.partitions[t.partition]) {
			teamHint.UsedGPUs, teamHint.Waiting = t.Used.GPUs, waiting[i]
		}
		hint.Teams = append(hint.Teams, teamHint)
	}
	return hint
}
