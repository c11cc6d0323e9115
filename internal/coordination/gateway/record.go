package gateway

import (
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// opKind is a change that a member wants to make to a job's record.
type opKind uint8

const (
	opLearn   opKind = iota // none: only find out, and commit, what there is
	opCreate                // accept a job and let a site hold it
	opClaim                 // another site takes it
	opRelease               // the holder proves that nothing of it runs any more
	opFinish                // a site has completed it
	opCancel                // its user wants it no more
)

// op is one change.
type op struct {
	kind        opKind
	spec        []byte
	site        int    // the site that takes, releases or has finished it
	epoch       uint32 // the claim that the change is about
	forcedFrom  uint8  // opClaim: the site, + 1, that it is taken from without its proof
	excludeSite bool   // opRelease: the site can never run it
	tasks       uint32
	createdMS   uint64
	background  bool // nobody waits for it, and others may be at it too
}

// opResult is what became of an op.
type opResult uint8

const (
	resultChanged   opResult = iota // the record is changed
	resultUnchanged                 // what was wanted is so, or something final overtook it
	resultRefused                   // the record does not allow it
	resultUnknown                   // no majority answered; it may yet come true
)

// memberBit is a site's bit in a mask; one its number in a record.
func memberBit(site int) uint32   { return 1 << site }
func memberNumber(site int) uint8 { return uint8(site + 1) }

// applyOp is the one place where a record changes. What it keeps, whatever ops come
// in whatever order: a final answer is never changed; the epoch only rises; a
// claim follows either the holder's proof that it stopped or a forced one, which
// names the site that it was taken from; only the holder releases.
func applyOp(rec wire.Record, exists bool, change op) (wire.Record, opResult) {
	switch {
	case !exists && change.kind != opCreate:
		return rec, resultRefused
	case !exists:
		return wire.Record{Spec: change.spec, Epoch: 1, Owner: memberNumber(change.site), CreatedMS: change.createdMS, Tasks: change.tasks}, resultChanged
	case rec.Outcome != wire.Open || change.kind == opLearn || change.kind == opCreate:
		return rec, resultUnchanged
	}
	switch change.kind {
	case opClaim:
		if rec.Epoch != change.epoch || rec.ExcludedSites&memberBit(change.site) != 0 || rec.Owner == memberNumber(change.site) {
			return rec, resultRefused
		}
		rec.PrevOwner = 0
		if !rec.Stopped {
			rec.PrevOwner = rec.Owner
			rec.LostSites |= memberBit(int(rec.Owner) - 1)
		}
		rec.LostSites &^= memberBit(change.site)
		rec.Epoch++
		rec.Owner, rec.Stopped = memberNumber(change.site), false
	case opRelease:
		if rec.Epoch != change.epoch || rec.Owner != memberNumber(change.site) {
			return rec, resultRefused
		}
		if rec.Stopped {
			return rec, resultUnchanged
		}
		rec.Stopped = true
		if change.excludeSite {
			rec.ExcludedSites |= memberBit(change.site)
		}
	case opFinish:
		rec.Outcome, rec.FinishedBy, rec.Spec = wire.Done, memberNumber(change.site), nil
	case opCancel:
		rec.Outcome, rec.Spec = wire.Cancelled, nil
	}
	return rec, resultChanged
}

// noticeRequired says whether a site has to know of a record, and whether it may be
// told later: what only says that the site holds a job can wait, what says that a
// job is not the site's any more must be known before its lease is renewed.
func noticeRequired(rec *wire.Record, site int) (concerns, blocks bool) {
	if rec.Outcome != wire.Open && rec.FinishedBy == memberNumber(site) {
		return false, false // it is done there
	}
	if rec.LostSites&memberBit(site) != 0 {
		return true, true
	}
	if rec.Owner != memberNumber(site) {
		return false, false
	}
	if rec.Outcome == wire.Open {
		return true, false
	}
	return true, true
}

// revokedBelow is the epoch below which a record makes a site's claims dead: all of
// them if the job is final.
func revokedBelow(rec *wire.Record) uint32 {
	if rec.Outcome != wire.Open {
		return ^uint32(0)
	}
	return rec.Epoch
}
