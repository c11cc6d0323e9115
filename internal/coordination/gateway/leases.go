package gateway

import (
	"slices"
	"time"

	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// The leases that this member grants to the sites. A site gets its lease only if it knows of
// every job that no longer belongs to it; it is told with notices, which it acknowledges.

// leaseGrant is the lease that this member granted to one site, and the notices that the
// site has to acknowledge.
type leaseGrant struct {
	tasksUntil    time.Duration // the site may run tasks until then
	noClaimBefore time.Duration // other members grant its lease: no forced claim before then
	// grantedByOthers is set when other members still granted the lease at this member's last
	// forced claim on a job of the site. While it is set, only one job at a time is claimed,
	// to find out whether they still do.
	grantedByOthers bool
	session         uint64             // number of the daemon start that the site renews under
	notices         map[string]*notice // by job: the records that the site has to know
	lastNotice      uint64             // number of the last notice
	unackedBlocking int                // notices that block the lease and are not acknowledged
	unackedTakeover int                // those of them that take a job from the site
	pendingRenewals []pendingRenewal   // renewals that wait for acknowledgements, in order
	revoked         map[string]uint32  // for records not accepted here: the epoch below which the site reports its claims as revoked
}

// notice is a record that a site has to know.
type notice struct {
	number      uint64 // increases with each notice
	blocksLease bool   // the lease is not renewed before the notice is acknowledged
	takesJob    bool   // the record takes the job from the site without its proof that it has stopped it
	// acked is set once the site has acknowledged a notice that blocks its lease, but not
	// durably, so that it may forget it.
	acked bool
}

// isMissing reports whether the lease waits for the acknowledgement of the notice.
func (n *notice) isMissing() bool { return n.blocksLease && !n.acked }

// pendingRenewal is a renewal of a lease that arrived before the site had acknowledged all
// notices. It is granted once those that there were at its arrival are acknowledged: a later
// notice need not be known for a lease that was asked for before. Otherwise no lease would
// ever be renewed while jobs are cancelled all the time.
type pendingRenewal struct {
	ballot     wire.Ballot // number of the renewal
	arrivedAt  time.Duration
	lastNotice uint64 // number of the last notice at its arrival
	missing    int    // notices up to that one that are not acknowledged
}

func newLeaseGrant() *leaseGrant {
	return &leaseGrant{notices: map[string]*notice{}, revoked: map[string]uint32{}}
}

// addNotice records that the site has to know the record of a job. A notice that replaces one
// that is not acknowledged keeps its number.
func (grant *leaseGrant) addNotice(id string, blocksLease, takesJob bool) {
	grant.lastNotice++
	added := &notice{number: grant.lastNotice, blocksLease: blocksLease, takesJob: takesJob}
	if old := grant.notices[id]; old != nil && old.isMissing() {
		added.number = old.number
	}
	grant.removeNotice(id)
	grant.notices[id] = added
	if added.isMissing() {
		grant.countMissing(added, 1)
	}
}

// removeNotice forgets the notice for a job.
func (grant *leaseGrant) removeNotice(id string) {
	if n := grant.notices[id]; n != nil {
		if n.isMissing() {
			grant.countMissing(n, -1)
		}
		delete(grant.notices, id)
	}
}

// countMissing adds delta to the counts of missing acknowledgements that a notice is part of.
func (grant *leaseGrant) countMissing(n *notice, delta int) {
	grant.unackedBlocking += delta
	if n.takesJob {
		grant.unackedTakeover += delta
	}
	for i := range grant.pendingRenewals {
		if n.number <= grant.pendingRenewals[i].lastNotice {
			grant.pendingRenewals[i].missing += delta
		}
	}
}

// trackNotice determines whether a site has to acknowledge a register's record, and whether
// its lease waits for that.
func (c *Core) trackNotice(site int, grant *leaseGrant, id string, r *register) {
	required, blocksLease := noticeRequired(&r.record, site)
	if r.ackedSites&memberBit(site) != 0 {
		required, blocksLease = required && !blocksLease, false
	}
	if !required {
		grant.removeNotice(id)
		return
	}
	grant.addNotice(id, blocksLease, r.record.LostSites&memberBit(site) != 0)
}

// rebuildNotices determines anew what a site has to acknowledge, after a restart of the
// site or of this member.
func (c *Core) rebuildNotices(site int, grant *leaseGrant) {
	grant.notices, grant.unackedBlocking, grant.unackedTakeover, grant.pendingRenewals = map[string]*notice{}, 0, 0, nil
	for id, r := range c.registers {
		if r.hasRecord {
			c.trackNotice(site, grant, id, r)
		}
	}
}

// onRenew grants a site its lease, unless the site has not yet acknowledged that it no
// longer owns some job. With either answer it sends the site the notices that are not
// acknowledged.
func (c *Core) onRenew(from int, it *wire.Item) {
	grant := c.grants[from]
	if grant == nil {
		return
	}
	session := uint64(it.Ballot.Proposer)
	if session < grant.session {
		return // sent before its last start
	}
	if session > grant.session {
		grant.session = session
		c.rebuildNotices(from, grant)
	}
	grant.pendingRenewals = append(grant.pendingRenewals, pendingRenewal{it.Ballot, c.now, grant.lastNotice, grant.unackedBlocking})
	if !c.grantPending(from, grant) {
		c.counts.Denied++
		c.sendWhenOwned(from, wire.Item{Kind: wire.LeaseDenied, Ballot: it.Ballot})
	}
	c.sendNotices(from, grant)
}

// grantPending grants the latest renewal that waits for no acknowledgement any more, and
// forgets the earlier ones. It reports whether there is one. A record that takes a job from
// the site was accepted because no lease was granted: while such a one is not acknowledged,
// no earlier renewal may be granted any more either.
func (c *Core) grantPending(site int, grant *leaseGrant) bool {
	for len(grant.pendingRenewals) > 0 && c.now-grant.pendingRenewals[0].arrivedAt > c.cfg.LeaseTime {
		grant.pendingRenewals = grant.pendingRenewals[1:]
	}
	for i, renewal := range slices.Backward(grant.pendingRenewals) {
		if (renewal.missing > 0 || grant.unackedTakeover > 0) && !c.cfg.Faults.IgnoreLease {
			continue
		}
		grant.tasksUntil = max(grant.tasksUntil, renewal.arrivedAt+c.grantDuration())
		c.sendWhenOwned(site, wire.Item{Kind: wire.LeaseGranted, Ballot: renewal.ballot})
		grant.pendingRenewals = slices.Delete(grant.pendingRenewals, 0, i+1)
		return true
	}
	return false
}

// sendNotices sends a site the notices that it has not acknowledged, those that block its
// lease first.
func (c *Core) sendNotices(site int, grant *leaseGrant) {
	var blocking, others []string
	for id, n := range grant.notices {
		switch {
		case n.acked:
		case !c.registers[id].committed && !c.storeQueue.isDurable(id):
			// Nobody may be told this record yet.
		case n.blocksLease:
			blocking = append(blocking, id)
		case c.registers[id].committed:
			others = append(others, id)
		}
	}
	slices.Sort(blocking)
	slices.Sort(others)
	for i, id := range append(blocking, others...) {
		if i >= maxNotices {
			break
		}
		r := c.registers[id]
		c.send(site, wire.Item{Kind: wire.Notice, ID: id, Accepted: r.accepted, HasRecord: true, Committed: r.committed, Record: r.record})
	}
}

// onAck handles a site's acknowledgement that its claims on a job below an epoch are
// revoked there.
func (c *Core) onAck(from int, it *wire.Item) {
	grant := c.grants[from]
	if grant == nil || !it.Durable && uint64(it.Ballot.Proposer) != grant.session {
		return // sent before the site's daemon restarted, which may have lost it
	}
	r := c.registers[it.ID]
	if r == nil || !r.hasRecord || it.Record.Epoch > r.record.Epoch && r.record.Outcome == wire.Open {
		if it.Code == ackRevoked && len(grant.revoked) < 10000 {
			grant.revoked[it.ID] = max(grant.revoked[it.ID], it.Record.Epoch)
		}
		return
	}
	delete(grant.revoked, it.ID)
	n := grant.notices[it.ID]
	if n == nil || it.Record.Epoch < revokedBelow(&r.record) {
		return
	}
	switch {
	case n.blocksLease && !it.Durable:
		if !n.acked {
			grant.countMissing(n, -1)
			n.acked = true
		}
	case n.blocksLease:
		c.storeQueue.change(it.ID, r, c.now)
		r.ackedSites |= memberBit(from)
		grant.removeNotice(it.ID)
	default:
		grant.removeNotice(it.ID)
	}
	c.grantPending(from, grant)
}

// ackRevoked is the code of an Ack that answers the notice of a claim not accepted by this
// member.
const ackRevoked = 1
