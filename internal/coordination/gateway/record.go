package gateway

import (
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// opKind is the kind of a change to the record of a job.
type opKind uint8

// Kinds of changes.
const (
	opLearn   opKind = iota // no change: learn the present record and commit it
	opCreate                // accept a job and make a site its owner
	opClaim                 // make another site the owner
	opRelease               // the owner proves that no task of the job runs any more
	opFinish                // a site has completed the job
	opCancel                // its user has cancelled the job
)

// op is a change that a member proposes to the record of a job.
type op struct {
	kind        opKind
	spec        []byte
	site        int    // the site that claims, releases or has finished the job
	epoch       uint32 // the claim to which the change applies
	forcedFrom  uint8  // opClaim: memberNumber of the site that loses the job without proof that it has stopped it; 0: none
	excludeSite bool   // opRelease: the site can never run the job
	tasks       uint32
	createdMS   uint64
	background  bool // no user waits for the change, and other members may propose it too
}

// opResult is the result of an op.
type opResult uint8

// Results of a change.
const (
	resultChanged   opResult = iota // the record was changed
	resultUnchanged                 // the record already is as requested, or the job has an outcome
	resultRefused                   // the record does not allow the change
	resultUnknown                   // no majority answered; the change may still take effect
)

// memberBit returns a member's bit in a mask, memberNumber its number in a record.
func memberBit(site int) uint32   { return 1 << site }
func memberNumber(site int) uint8 { return uint8(site + 1) }

// applyOp is the only function that changes a record. For ops in any order it maintains: an
// outcome never changes; the epoch only increases; a claim follows either the proof of the
// owner that it has stopped the job, or is forced and then names the site that lost the
// job; only the owner releases a job.
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

// noticeRequired reports whether a site has to acknowledge a record, and whether its lease
// is not renewed before. That the site owns a job can be acknowledged later; that it no
// longer owns a job must be known before its lease is renewed.
func noticeRequired(rec *wire.Record, site int) (required, blocksLease bool) {
	if rec.Outcome != wire.Open && rec.FinishedBy == memberNumber(site) {
		return false, false // the site itself completed the job
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

// revokedBelow returns the epoch below which a record revokes the claims of sites that do
// not own the job; all claims, if the job has an outcome.
func revokedBelow(rec *wire.Record) uint32 {
	if rec.Outcome != wire.Open {
		return ^uint32(0)
	}
	return rec.Epoch
}
