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

// Jobs of the gateway are ordinary jobs with a claim: the number under which the
// site holds them. Three things are different, since another site takes such a job
// over when this one is lost:
//   - they run only while the site has its lease, which this node asks the site's
//     daemon for; when it is over, every answer to a report stops them;
//   - they are started in answers to reports alone, never directly;
//   - the end of a claim leaves a record of its number, which a submission under it
//     that was held on its way for minutes meets.
// docs/gateway.md has the times and the proof.

// siteLease is what this node knows of the site's lease.
type siteLease struct {
	expiresAt   time.Time // by this node's steady clock
	minRevision uint64    // a replica older than this revision knows too little
	lostJobs    map[string]bool
}

// SiteLeasePeriod is how often a controller asks for the lease.
const SiteLeasePeriod = 500 * time.Millisecond

// maxClockDrift bounds the difference of two steady clocks.
const maxClockDrift = 0.001

// maxLease bounds what a controller believes of a lease.
const maxLease = time.Minute

// KeepSiteLease asks the site's daemon for the lease until the node ends. ask returns
// its answer.
func (n *Node) KeepSiteLease(ask func(ctx context.Context) ([]byte, error)) {
	for n.ctx.Err() == nil {
		// What the answer says counts from before it was asked for, however long it
		// took on its way.
		asked := time.Now()
		data, err := ask(n.ctx)
		var l *wire.Lease
		if err == nil {
			l, err = wire.DecodeLease(data)
		}
		n.post(func() { n.onLease(l, err, asked) })
		select {
		case <-n.ctx.Done():
		case <-time.After(SiteLeasePeriod):
		}
	}
}

func (n *Node) onLease(l *wire.Lease, err error, asked time.Time) {
	now := time.Now()
	was := !n.gatewayJobsBlocked(now)
	if err != nil {
		n.log.Debug("lease not learned", "why", err)
	} else {
		left := min(time.Duration(l.RemainingMS)*time.Millisecond, maxLease)
		g := &siteLease{expiresAt: asked.Add(time.Duration(float64(left) * (1 - maxClockDrift))), minRevision: l.MinRevision, lostJobs: map[string]bool{}}
		if n.siteLease != nil {
			g.minRevision = max(g.minRevision, n.siteLease.minRevision)
			if left > 0 {
				g.expiresAt = latest(g.expiresAt, n.siteLease.expiresAt)
			}
		}
		for _, id := range l.LostJobs {
			g.lostJobs[id] = true
		}
		n.siteLease = g
		n.markAllStale() // which jobs may run
	}
	if open := !n.gatewayJobsBlocked(now); open != was {
		n.log.Info("jobs of the gateway", "may_run", open, "why", err)
		n.replan = true
	}
}

// gatewayJobsBlocked says whether no job of the gateway may run here.
func (n *Node) gatewayJobsBlocked(now time.Time) bool {
	return n.siteLease == nil || !now.Before(n.siteLease.expiresAt) || n.completeRevision < n.siteLease.minRevision
}

// blockedBySiteLease says whether a job may not run because it is the gateway's and the site
// has no lease, or has lost it.
func (n *Node) blockedBySiteLease(j *job, now time.Time) bool {
	return j.claim > 0 && (n.gatewayJobsBlocked(now) || n.siteLease.lostJobs[j.id])
}

// reclaimed: the site holds a job again that it had lost. What became of the
// earlier claim says nothing any more.
func (n *Node) forgetEarlierClaim(id string, claim uint32) {
	if f, ok := n.finalJobs.byID[id]; ok && f.Claim > 0 && f.Claim < claim {
		delete(n.finalJobs.byID, id)
	}
}

// isGatewayJob says whether a job is the gateway's: then only its members tell users how
// it is. Here it may be stopped because it goes to another site, or run on for a
// moment after its user was told that it is cancelled.
func (n *Node) isGatewayJob(id string) bool {
	j := n.jobs[id]
	return j != nil && j.claim > 0 || n.finalJobs.byID[id].Claim > 0
}

// askGatewayAnswer answers users who ask a site about such a job.
var askGatewayAnswer = answer{status: 503, retryAfterS: 5, body: errorBody{"this job came through the gateway: ask there"}}

// unlessGatewayJob goes on with a submission unless the job came through the gateway:
// a user who repeats a submission straight at another site must not get a second job.
// If the daemon does not answer, the job is the site's own, as without a gateway.
func (n *Node) unlessGatewayJob(id string, reply chan<- answer, goOn func()) {
	if n.LookUpGatewayJob == nil {
		goOn()
		return
	}
	n.spawn(func(ctx context.Context) {
		s, known, err := n.LookUpGatewayJob(ctx, id)
		n.post(func() {
			switch {
			case known && err != nil:
				reply <- busyAnswer
			case known:
				reply <- answer{status: 200, body: s}
			default:
				if err != nil {
					n.log.Debug("daemon does not say whether a job is the gateway's", "job", id, "why", err)
				}
				goOn()
			}
		})
	})
}

// routeSite adds the interface for the site's daemon.
func (n *Node) routeSite(r *httprouter.Router) {
	r.POST("/site/calls", n.postCalls)
	r.GET("/site/hint", n.getHint)
}

// mostCalls bounds the calls of one request.
const mostCalls = 512

// maxCalls bounds a request: as many submissions of the longest kind.
const maxCalls = mostCalls * (protocol.MaxBodyBytes / 16)

// fromDaemon refuses whoever is not the site's daemon: users reach the same address.
func (n *Node) fromDaemon(w http.ResponseWriter, r *http.Request) bool {
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil && n.SiteDaemonHost != "" && host == n.SiteDaemonHost {
		return true
	}
	n.metrics.guardRefusals.WithLabelValues("not_the_daemon").Inc()
	writeAnswer(w, answer{status: 403, body: errorBody{"for the site's daemon only (--site-daemon)"}})
	return false
}

func (n *Node) postCalls(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !n.fromDaemon(w, r) {
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxCalls))
	var e *wire.Envelope
	if err == nil {
		e, err = wire.Decode(data)
	}
	if err == nil && len(e.Items) > mostCalls {
		err = errTooLong
	}
	if err != nil {
		n.metrics.guardRefusals.WithLabelValues("malformed_calls").Inc()
		writeAnswer(w, answer{status: 400, body: errorBody{err.Error()}})
		return
	}
	replies := make(chan wire.Item, len(e.Items))
	n.post(func() {
		for i := range e.Items {
			n.onSiteCall(&e.Items[i], func(res wire.Item) { replies <- res })
		}
	})
	out := &wire.Envelope{}
	wait := time.NewTimer(callPatience)
	defer wait.Stop()
	for len(out.Items) < len(e.Items) {
		select {
		case res := <-replies:
			out.Items = append(out.Items, res)
			continue
		case <-wait.C: // the others are asked again
		case <-r.Context().Done():
			return
		case <-n.ctx.Done():
		}
		break
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(wire.Encode(out))
}

// callPatience is how long calls of one request wait for one another.
const callPatience = 2 * time.Second

// onSiteCall does what the site's daemon asks. Every change is one conditional write.
func (n *Node) onSiteCall(it *wire.Item, reply func(wire.Item)) {
	c := &siteCall{n: n, it: it, reply: reply, tries: 3}
	if !n.loaded || !protocol.ValidJobID(it.ID) || it.Record.Epoch == 0 {
		c.answer(wire.Unavailable, "not ready, or malformed")
		return
	}
	c.decide()
}

// siteCall is one call under way.
type siteCall struct {
	n     *Node
	it    *wire.Item
	reply func(wire.Item)
	tries int
	fresh bool // what is stored was just read
	final storage.Item
}

func (c *siteCall) answer(code uint8, why string) { c.answerAt(code, 0, nil, why) }

func (c *siteCall) answerAt(code uint8, rev uint64, j *job, why string) {
	res := wire.Item{Kind: wire.Result, ID: c.it.ID, Code: code, Ballot: wire.Ballot{Number: rev}, Record: wire.Record{Epoch: c.it.Record.Epoch, Spec: []byte(why)}}
	if j != nil {
		res.Record.Tasks, res.Running = uint32(j.nDone), uint32(j.nPlaced)
	}
	c.reply(res)
}

// decide answers from the replica where that is enough, and reads what is stored
// where it is not: a job that is missing here may have ended or be new.
func (c *siteCall) decide() {
	n, id, epoch := c.n, c.it.ID, c.it.Record.Epoch
	j := n.jobs[id]
	f, ended := n.finalJobs.byID[id]
	switch {
	case j != nil && j.claim == 0, j == nil && ended && f.Claim == 0, n.tickets.byID[id] != nil:
		c.answer(wire.Conflict, "the site has a job of its own under this id")
	case j == nil && ended && f.Status == protocol.JobDone:
		c.ended(f)
	case c.it.Kind == wire.Stop:
		c.stop(j, f, ended)
	case j != nil && j.claim == epoch && j.cancelled:
		c.answer(wire.ClaimEnded, "")
	case j != nil && j.claim == epoch:
		c.answerAt(wire.Active, 0, j, "")
	case j != nil && j.claim > epoch, j == nil && ended && f.Claim >= epoch:
		c.answer(wire.ClaimEnded, "")
	case c.it.Kind == wire.Submit:
		c.submit(j, f, ended)
	case c.fresh && j == nil:
		c.answer(wire.NotFound, "")
	case j == nil:
		c.read()
	default:
		c.answer(wire.Unavailable, "held under an earlier claim")
	}
}

func (c *siteCall) ended(f protocol.FinalRecord) {
	c.reply(wire.Item{Kind: wire.Result, ID: c.it.ID, Code: wire.Completed, Record: wire.Record{Epoch: c.it.Record.Epoch, Tasks: uint32(f.Tasks)}})
}

// read takes in what is stored of the job, and decides again.
func (c *siteCall) read() {
	if c.tries--; c.tries < 0 {
		c.answer(wire.Unavailable, "changed meanwhile")
		return
	}
	c.n.resync([]string{protocol.JobKey(c.it.ID), protocol.FinalKey(c.it.ID)}, func(items []storage.Item, err error) {
		if err != nil {
			c.answer(wire.Unavailable, "state service")
			return
		}
		c.fresh, c.final = true, items[1]
		c.decide()
	})
}

// finalCond is the condition that what is stored of the job's end is as it was
// read; if it was not read, that there is nothing.
func (c *siteCall) finalCond() storage.Cond {
	cond := storage.Cond{Key: protocol.FinalKey(c.it.ID)}
	if c.fresh && c.final.Value != nil {
		cond.Revision = c.final.Revision
	}
	return cond
}

// change stores something; if a condition fails, what is stored is read and the
// call decided again.
func (c *siteCall) change(op *storage.Op, then func(storage.Result)) {
	n := c.n
	refuse := make(chan answer, 1)
	n.submitForUser(op, refuse, func(r storage.Result) {
		switch {
		case r.OK:
			for _, w := range op.Writes {
				n.applyOwnWrite(w, r.Revision)
			}
			then(r)
		case r.Err != nil:
			c.answer(wire.Unavailable, "state service")
		default:
			c.read()
		}
	})
	select {
	case <-refuse:
		c.answer(wire.Unavailable, "the rate of changes is used up")
	default:
	}
}

// submit stores a job under its claim, as a user's submission is stored.
func (c *siteCall) submit(j *job, f protocol.FinalRecord, ended bool) {
	n, epoch := c.n, c.it.Record.Epoch
	if j != nil {
		c.raise(j)
		return
	}
	if ended && !c.fresh {
		c.read()
		return
	}
	s, err := protocol.ParseStoredJob(c.it.Record.Spec)
	if err != nil || s.ID != c.it.ID {
		c.answer(wire.Refused, "malformed submission")
		return
	}
	why, decided := n.checkRunnable(s)
	switch {
	case !decided:
		c.answer(wire.Unavailable, "the machine types are not known yet")
		return
	case why != "":
		c.answer(wire.Refused, why)
		return
	}
	created := time.UnixMilli(int64(c.it.Record.CreatedMS))
	if now := time.Now(); created.After(now) || c.it.Record.CreatedMS == 0 {
		created = now
	}
	op := &storage.Op{
		Conds:  []storage.Cond{{Key: protocol.JobKey(s.ID)}, c.finalCond()},
		Writes: []storage.Write{{Put: protocol.JobKey(s.ID), Value: mustJSON(protocol.JobRecord{Spec: s, SubmittedMS: created.UnixMilli(), NextAttempt: 1, Claim: epoch})}}}
	if op.Conds[1].Revision != 0 {
		op.Writes = append(op.Writes, storage.Write{Delete: protocol.FinalKey(s.ID)})
	}
	c.change(op, func(r storage.Result) {
		n.forgetEarlierClaim(s.ID, epoch)
		n.log.Debug("job of the gateway taken", "job", s.ID, "claim", epoch)
		c.answerAt(wire.Active, r.Revision, n.jobs[s.ID], "")
	})
}

// raise lets a job that is here under an earlier claim go on under a new one: the
// site lost it and has it again, and was told of neither.
func (c *siteCall) raise(j *job) {
	n, epoch := c.n, c.it.Record.Epoch
	if j.cancelled {
		c.answer(wire.Unavailable, "an earlier claim is being ended")
		return
	}
	rec := n.storedRecordAtLog(j)
	rec.Claim = epoch
	op := &storage.Op{Conds: []storage.Cond{n.unchanged(protocol.JobKey(j.id))},
		Writes: []storage.Write{{Put: protocol.JobKey(j.id), Value: mustJSON(rec)}}}
	c.change(op, func(r storage.Result) { c.answerAt(wire.Active, r.Revision, n.jobs[j.id], "") })
}

// stop ends the site's claims on a job up to one, and says when nothing of it
// can run here any more.
func (c *siteCall) stop(j *job, f protocol.FinalRecord, ended bool) {
	n, id, epoch := c.n, c.it.ID, c.it.Record.Epoch
	if j == nil {
		switch {
		case ended && f.Claim >= epoch && c.fresh:
			c.answer(wire.ClaimEnded, "")
		case !c.fresh:
			c.read()
		default:
			op := &storage.Op{Conds: []storage.Cond{{Key: protocol.JobKey(id)}, c.finalCond()},
				Writes: []storage.Write{{Put: protocol.FinalKey(id), Value: mustJSON(protocol.FinalRecord{Status: protocol.JobCancelled, Claim: epoch})}}}
			// Nothing was placed when the job ended or there was none: a replica that
			// does not know it yet can start nothing, since its change would fail. And
			// the watch does not tell of this key, so no replica could be asked for it.
			c.change(op, func(storage.Result) { c.answer(wire.ClaimEnded, "") })
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
		c.change(op, func(r storage.Result) {
			n.log.Info("claim on a job of the gateway ended", "job", id, "claim", epoch)
			c.answerAt(code, r.Revision, nil, "")
		})
	}
}

// getHint tells the site's daemon what it may tell the other members.
func (n *Node) getHint(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !n.fromDaemon(w, r) {
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

// siteHint is a bounded summary of the site as far as this node knows it; nil while
// it knows nothing. Free amounts are known of the shares that it holds; the daemon
// adds up what the controllers say.
func (n *Node) siteHint(now time.Time) *wire.Hint {
	if !n.loaded || len(n.machineTypes) == 0 || n.sinceContact(now) > stateServiceTimeout {
		return nil
	}
	h := &wire.Hint{}
	for _, t := range n.machineTypes {
		if len(h.Types) < wire.MaxTypes {
			h.Types = append(h.Types, wire.TypeHint{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, Zones: t.Zones})
		}
	}
	images := map[string]bool{}
	for _, m := range n.machines {
		if !m.recorded || !n.owns(n.partitions[m.rec.Partition]) || !n.usable(m, now) {
			continue
		}
		if t := n.machineTypes[m.rec.Type]; t != nil {
			h.GPUs += t.GPUs
			h.FreeGPUs += n.available(m).GPUs
		}
		for _, im := range m.images {
			if len(images) < wire.MaxImages && !images[im.Name] {
				images[im.Name] = true
				h.Images = append(h.Images, im.Name)
			}
		}
	}
	waiting := make([]int, len(n.teams))
	for _, s := range n.partitions {
		if !n.owns(s) {
			continue
		}
		for _, j := range s.jobs {
			if !j.cancelled && !n.blockedBySiteLease(j, now) {
				h.Waiting += j.nWaiting()
				waiting[j.team] += j.nWaiting()
			}
		}
	}
	for i, t := range n.teams[:min(len(n.teams), wire.MaxTeams)] {
		th := wire.TeamHint{Name: t.Name, CPUsMax: t.Limit.CPUs, GPUsMax: t.Limit.GPUs, GPUs: t.Guarantee.GPUs}
		if n.owns(n.partitions[t.partition]) {
			th.UsedGPUs, th.Waiting = t.Used.GPUs, waiting[i]
		}
		h.Teams = append(h.Teams, th)
	}
	return h
}
