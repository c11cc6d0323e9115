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
	kind  opKind
	spec  []byte
	site  int    // the site that takes, releases or has finished it
	epoch uint32 // the claim that the change is about
	from  uint8  // opClaim: the site, + 1, that it is taken from without its proof
	bar   bool   // opRelease: the site can never run it
	tasks uint32
	nowMS uint64
	care  bool // nobody waits for it, and others may be at it too
}

// outcome is what became of an op.
type outcome uint8

const (
	changed outcome = iota // the record is changed
	already                // what was wanted is so, or something final overtook it
	refused                // the record does not allow it
	unknown                // no majority answered; it may yet come true
)

// bit is a site's bit in a mask; one its number in a record.
func bit(site int) uint32 { return 1 << site }
func num(site int) uint8  { return uint8(site + 1) }

// apply is the one place where a record changes. What it keeps, whatever ops come
// in whatever order: a final answer is never changed; the epoch only rises; a
// claim follows either the holder's proof that it stopped or a forced one, which
// names the site that it was taken from; only the holder releases.
func apply(rec wire.Record, exists bool, o op) (wire.Record, outcome) {
	switch {
	case !exists && o.kind != opCreate:
		return rec, refused
	case !exists:
		return wire.Record{Spec: o.spec, Epoch: 1, Holder: num(o.site), CreatedMS: o.nowMS, Tasks: o.tasks}, changed
	case rec.Final != wire.Open || o.kind == opLearn || o.kind == opCreate:
		return rec, already
	}
	switch o.kind {
	case opClaim:
		if rec.Epoch != o.epoch || rec.Barred&bit(o.site) != 0 || rec.Holder == num(o.site) {
			return rec, refused
		}
		rec.Prev = 0
		if !rec.Stopped {
			rec.Prev = rec.Holder
			rec.Lost |= bit(int(rec.Holder) - 1)
		}
		rec.Lost &^= bit(o.site)
		rec.Epoch++
		rec.Holder, rec.Stopped = num(o.site), false
	case opRelease:
		if rec.Epoch != o.epoch || rec.Holder != num(o.site) {
			return rec, refused
		}
		if rec.Stopped {
			return rec, already
		}
		rec.Stopped = true
		if o.bar {
			rec.Barred |= bit(o.site)
		}
	case opFinish:
		rec.Final, rec.By, rec.Spec = wire.Done, num(o.site), nil
	case opCancel:
		rec.Final, rec.Spec = wire.Cancelled, nil
	}
	return rec, changed
}

// concerned says whether a site has to know of a record, and whether it may be
// told later: what only says that the site holds a job can wait, what says that a
// job is not the site's any more must be known before its lease is renewed.
func concerned(rec *wire.Record, site int) (concerns, blocks bool) {
	if rec.Final != wire.Open && rec.By == num(site) {
		return false, false // it is done there
	}
	if rec.Lost&bit(site) != 0 {
		return true, true
	}
	if rec.Holder != num(site) {
		return false, false
	}
	if rec.Final == wire.Open {
		return true, false
	}
	return true, true
}

// deadBelow is the epoch below which a record makes a site's claims dead: all of
// them if the job is final.
func deadBelow(rec *wire.Record) uint32 {
	if rec.Final != wire.Open {
		return ^uint32(0)
	}
	return rec.Epoch
}
