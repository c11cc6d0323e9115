package gateway

import (
	"time"

	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// What a member has changed and not stored yet must not be told to another member. This file
// tracks what waits to be stored and the replies that wait for it.
//
// A promise or an acceptance waits for its own register. A read is answered from the record
// that is durable, and the grant of a lease tells no record, so both wait only for the proof
// that the store still belongs to this process. Neither waits behind other registers,
// however many of them wait to be stored.

// acceptedState is the accepted record of a register, with its ballot.
type acceptedState struct {
	accepted  wire.Ballot
	hasRecord bool
	committed bool
	record    wire.Record
}

// acceptedState returns the accepted record of the register.
func (r *register) acceptedState() acceptedState {
	return acceptedState{r.accepted, r.hasRecord, r.committed, r.record}
}

// reply is an item for another member, or for this one.
type reply struct {
	to   int
	item wire.Item
}

// heldReply is a reply that is sent once a change of a register is durable.
type heldReply struct {
	change uint64
	reply
}

// unstoredRegister is a register of which the latest change is not durable.
type unstoredRegister struct {
	change  uint64        // number of the latest change
	queued  bool          // the latest change is in no batch yet
	since   time.Duration // when the oldest change was made that is not durable
	durable acceptedState
	held    []heldReply // in order of their changes
}

// storingRegister is a register in the batch that is being stored.
type storingRegister struct {
	id     string
	change uint64
	state  acceptedState
}

// storeQueue holds the changes that are not durable. One batch at a time is being stored;
// changes of one register meanwhile are joined in the next one.
type storeQueue struct {
	registers map[string]*unstoredRegister // by job id
	order     []string                     // queued registers, the longest waiting first
	changes   uint64                       // number of changes so far

	siteStateQueued  bool
	siteStateStoring bool

	lastSeq uint64 // number of the last batch
	storing []storingRegister
	busy    bool // a batch is being stored
}

func newStoreQueue() *storeQueue { return &storeQueue{registers: map[string]*unstoredRegister{}} }

// change has to be called before each change of a register that has to be stored.
func (q *storeQueue) change(id string, r *register, now time.Duration) {
	q.changes++
	unstored := q.registers[id]
	if unstored == nil {
		unstored = &unstoredRegister{since: now, durable: r.acceptedState()}
		q.registers[id] = unstored
	}
	unstored.change = q.changes
	if !unstored.queued {
		unstored.queued = true
		q.order = append(q.order, id)
	}
}

// hold keeps a reply until the register is durable as it is now. It returns false if it is
// durable already. A reply that is held already is not held twice.
func (q *storeQueue) hold(id string, to int, item wire.Item) bool {
	unstored := q.registers[id]
	if unstored == nil {
		return false
	}
	for i := range unstored.held {
		held := &unstored.held[i]
		if held.to == to && held.item.Kind == item.Kind && held.item.Ballot == item.Ballot {
			return true
		}
	}
	unstored.held = append(unstored.held, heldReply{unstored.change, reply{to, item}})
	return true
}

// durableState returns the accepted record of a register that is durable.
func (q *storeQueue) durableState(id string, r *register) acceptedState {
	if unstored := q.registers[id]; unstored != nil {
		return unstored.durable
	}
	return r.acceptedState()
}

// isDurable reports whether all changes of a register are durable.
func (q *storeQueue) isDurable(id string) bool { return q.registers[id] == nil }

// Sizes in a site's store, which encodes values as base64, of a register without a record and
// of a record without its submission.
const (
	registerBytes = 160
	recordBytes   = 112
)

// storedBytes estimates the size of a register in the store.
func storedBytes(r *register) int {
	if !r.hasRecord {
		return registerBytes
	}
	return registerBytes + recordBytes + len(r.record.Spec)*4/3
}

// nextBatch returns the next batch to be stored, of at most maxBytes (0: any size) but with
// at least one register; false if a batch is being stored or nothing waits.
func (q *storeQueue) nextBatch(registers map[string]*register, maxBytes int, siteState func() wire.Item) (Batch, bool) {
	if q.busy || len(q.order) == 0 && !q.siteStateQueued {
		return Batch{}, false
	}
	q.lastSeq++
	q.busy = true
	batch := Batch{Seq: q.lastSeq}
	bytes, n := 0, 0
	for ; n < len(q.order); n++ {
		id := q.order[n]
		r := registers[id]
		if bytes += storedBytes(r); maxBytes > 0 && bytes > maxBytes && n > 0 {
			break
		}
		unstored := q.registers[id]
		unstored.queued = false
		q.storing = append(q.storing, storingRegister{id, unstored.change, r.acceptedState()})
		batch.Items = append(batch.Items, r.storedItem(id))
	}
	q.order = q.order[n:]
	if q.siteStateQueued {
		q.siteStateQueued, q.siteStateStoring = false, true
		batch.Items = append(batch.Items, siteState())
	}
	return batch, true
}

// stored records that the batch with a number is durable, and returns the replies that
// waited for it.
func (q *storeQueue) stored(seq uint64, now time.Duration) []reply {
	if !q.busy || seq != q.lastSeq {
		return nil
	}
	var released []reply
	for i := range q.storing {
		stored := &q.storing[i]
		unstored := q.registers[stored.id]
		n := 0
		for n < len(unstored.held) && unstored.held[n].change <= stored.change {
			released = append(released, unstored.held[n].reply)
			n++
		}
		if unstored.change == stored.change {
			delete(q.registers, stored.id)
			continue
		}
		unstored.held = unstored.held[n:]
		unstored.durable, unstored.since = stored.state, now
	}
	q.storing, q.busy, q.siteStateStoring = nil, false, false
	return released
}

// siteStateStored reports whether the site's state is durable.
func (q *storeQueue) siteStateStored() bool { return !q.siteStateQueued && !q.siteStateStoring }

// longestWait returns for how long the oldest change has waited to become durable.
func (q *storeQueue) longestWait(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, unstored := range q.registers {
		longest = max(longest, now-unstored.since)
	}
	return longest
}

// ownershipProofs holds the replies that wait for the proof that the store still belongs to
// this process. A proof that was requested before a reply was made proves nothing for it.
type ownershipProofs struct {
	lastSeq uint64  // number of the last request
	pending bool    // a request is under way
	covered []reply // replies that the request under way proves
	waiting []reply // replies that need the next request
}

// next returns the number of the next request for a proof; 0 if none is needed now.
func (p *ownershipProofs) next() uint64 {
	if p.pending || len(p.waiting) == 0 {
		return 0
	}
	p.lastSeq++
	p.pending = true
	p.covered, p.waiting = p.waiting, nil
	return p.lastSeq
}

// proved records that a request succeeded, and returns the replies that waited for it.
func (p *ownershipProofs) proved(seq uint64) []reply {
	if !p.pending || seq != p.lastSeq {
		return nil
	}
	released := p.covered
	p.pending, p.covered = false, nil
	return released
}
