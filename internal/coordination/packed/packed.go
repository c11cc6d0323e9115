// Package packed is about values that tell of many jobs, so that many jobs take one change
// of the state service: a log of a share's decisions, written by its holder, and an inbox
// of what a node accepted. Both are rings of numbered entries over a fixed set of slots.
// It is pure: it knows what is in the slots, what of it is still needed, and builds the
// next entry. What a task is like is what the entry with the highest number says that
// mentions it, or the job's own record if that is as late (protocol.Chunk.Log); entries
// may so be taken in in any order.
package packed

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Slots is how many slots a ring has: the most entries that a reader reads, and what a
// writer has room for before it must fold jobs into records of their own.
const Slots = 64

// ErrNewerVersion says that an entry was written by a later release.
var ErrNewerVersion = errors.New("written by a later release")

// ParseEntry reads an entry.
func ParseEntry(data []byte) (*protocol.Entry, error) {
	e := &protocol.Entry{}
	if err := json.Unmarshal(data, e); err != nil {
		return nil, err
	}
	if e.Version > protocol.EntryVersion {
		return nil, fmt.Errorf("entry of version %d: %w", e.Version, ErrNewerVersion)
	}
	if err := e.Check(); err != nil {
		return nil, err
	}
	return e, nil
}

// ParseLogKey reads a key of a share's log.
func ParseLogKey(key string) (share, slot int, ok bool) {
	s, n, _ := strings.Cut(strings.TrimPrefix(key, protocol.LogRoot), "/")
	share, err := strconv.Atoi(s)
	slot, err2 := strconv.Atoi(n)
	return share, slot, err == nil && err2 == nil && share >= 0 && slot >= 0
}

// ParseInboxKey reads a key of an inbox.
func ParseInboxKey(key string) (node string, slot int, ok bool) {
	rest := strings.TrimPrefix(key, protocol.InboxRoot)
	i := strings.LastIndexByte(rest, '/')
	if i < 0 {
		return "", 0, false
	}
	slot, err := strconv.Atoi(rest[i+1:])
	return rest[:i], slot, err == nil && slot >= 0
}

// Ring is what a reader knows of a log or an inbox.
type Ring struct {
	slots   []*protocol.Entry
	lastSeq uint64
	jobs    map[string]int    // in how many entries a job is mentioned
	ends    map[string]uint64 // the entry that says that a job has ended
}

// NewRing makes an empty ring of so many slots.
func NewRing(slots int) *Ring {
	return &Ring{slots: make([]*protocol.Entry, slots), jobs: map[string]int{}, ends: map[string]uint64{}}
}

// mentions calls f for each job of an entry, with what became of it if it has ended.
func mentions(e *protocol.Entry, f func(job string, ended bool)) {
	if e == nil {
		return
	}
	for i := range e.Parts {
		f(e.Parts[i].Job, e.Parts[i].FinalStatus != "")
	}
	for i := range e.Jobs {
		f(e.Jobs[i].Spec.ID, false)
	}
}

// Put takes in what is in a slot (nil: nothing) and returns what was there before.
func (r *Ring) Put(slot int, e *protocol.Entry) (before *protocol.Entry, err error) {
	switch {
	case slot >= len(r.slots):
		return nil, fmt.Errorf("slot %d of a ring of %d", slot, len(r.slots))
	case e != nil && e.Seq%uint64(len(r.slots)) != uint64(slot):
		return nil, fmt.Errorf("entry %d in slot %d of %d", e.Seq, slot, len(r.slots))
	}
	before = r.slots[slot]
	r.slots[slot] = e
	// What the slot said before goes first: it may be the same entry, read once more.
	mentions(before, func(job string, ended bool) {
		if r.jobs[job]--; r.jobs[job] == 0 {
			delete(r.jobs, job)
		}
		if ended && r.ends[job] == before.Seq {
			delete(r.ends, job)
		}
	})
	mentions(e, func(job string, ended bool) {
		r.jobs[job]++
		if ended {
			r.ends[job] = max(r.ends[job], e.Seq)
		}
	})
	if e != nil {
		r.lastSeq = max(r.lastSeq, e.Seq)
	}
	return before, nil
}

// HasEntry says whether an entry is in a slot.
func (r *Ring) HasEntry(slot int) bool {
	return slot >= 0 && slot < len(r.slots) && r.slots[slot] != nil
}

// LastSeq is the number of the latest entry that is known.
func (r *Ring) LastSeq() uint64 { return r.lastSeq }

// Next is the next entry's slot and number.
func (r *Ring) Next() (slot int, seq uint64) {
	return int((r.lastSeq + 1) % uint64(len(r.slots))), r.lastSeq + 1
}

// CompleteUpTo is the number up to which all entries are known. While a reader reads the slots one
// page after the other, it may know a later one and not an earlier one.
func (r *Ring) CompleteUpTo() uint64 {
	n := uint64(len(r.slots))
	first := uint64(1)
	if r.lastSeq > n {
		first = r.lastSeq - n + 1
	}
	for seq := first; seq <= r.lastSeq; seq++ {
		if e := r.slots[seq%n]; e == nil || e.Seq < seq {
			return seq - 1
		}
	}
	return r.lastSeq
}

// Complete says whether nothing is missing between the entries that are known.
func (r *Ring) Complete() bool { return r.CompleteUpTo() == r.lastSeq }

// Overwritten is the entry that the next one takes the place of; nil: none.
func (r *Ring) Overwritten() *protocol.Entry {
	slot, _ := r.Next()
	return r.slots[slot]
}

// Mentions says whether a job is in any entry.
func (r *Ring) Mentions(job string) bool { return r.jobs[job] > 0 }

// FindEnd says what a job has become, if an entry tells, and which.
func (r *Ring) FindEnd(job string) (p *protocol.Part, seq uint64, ok bool) {
	seq, ok = r.ends[job]
	if !ok {
		return nil, 0, false
	}
	e := r.slots[seq%uint64(len(r.slots))]
	for i := range e.Parts {
		if p := &e.Parts[i]; p.Job == job && p.FinalStatus != "" {
			return p, seq, true
		}
	}
	return nil, 0, false
}

// EachPart calls f for all that entries say of a job, by their numbers.
func (r *Ring) EachPart(job string, f func(e *protocol.Entry, p *protocol.Part)) {
	if r.jobs[job] == 0 {
		return
	}
	r.EachEntry(func(e *protocol.Entry) {
		for i := range e.Parts {
			if e.Parts[i].Job == job {
				f(e, &e.Parts[i])
			}
		}
	})
}

// EachEntry calls f for the entries by their numbers.
func (r *Ring) EachEntry(f func(e *protocol.Entry)) {
	n := uint64(len(r.slots))
	first := uint64(1)
	if r.lastSeq > n {
		first = r.lastSeq - n + 1
	}
	for seq := first; seq <= r.lastSeq; seq++ {
		if e := r.slots[seq%n]; e != nil && e.Seq == seq {
			f(e)
		}
	}
}

// Empty says whether no entry tells anything.
func (r *Ring) Empty() bool { return len(r.jobs) == 0 }

// JobCount is how many jobs are mentioned.
func (r *Ring) JobCount() int { return len(r.jobs) }

// CarriedJob is a job that an entry says something of which is said again, and how many bytes
// that takes.
type CarriedJob struct {
	Job  string
	Size int
}

// Carry says again in the next entry of a log what of the one that it takes the place of is
// still needed: of open jobs what nothing later tells (said), and that jobs have ended of
// which their own record or an inbox still tells (told). fits is false if there is no room
// for all of it.
func (r *Ring) Carry(w *Writer, told func(job string) bool, said func(job string, seq uint64) Draft) (out []CarriedJob, fits bool) {
	old := r.Overwritten()
	if old == nil {
		return nil, true
	}
	fits = true
	seen := map[string]bool{}
	for i := range old.Parts {
		id := old.Parts[i].Job
		if seen[id] {
			continue
		}
		seen[id] = true
		if p, seq, over := r.FindEnd(id); over {
			if seq == old.Seq && told(id) {
				fits = w.AddPart(Draft{Part: *p}) && fits
			}
			continue
		}
		if d := said(id, old.Seq); !d.Empty() {
			before := w.Size()
			fits = w.AddPart(d) && fits
			out = append(out, CarriedJob{id, w.Size() - before})
		}
	}
	return out, fits
}

// CarryAccepted says again in the next entry of an inbox which jobs of the one that it takes
// the place of are open and have no record of their own.
func (r *Ring) CarryAccepted(w *Writer, open func(a protocol.AcceptedJob) bool) (out []string, fits bool) {
	old := r.Overwritten()
	if old == nil {
		return nil, true
	}
	fits = true
	for _, a := range old.Jobs {
		if open(a) {
			fits = w.AddSubmission(a) && fits
			out = append(out, a.Spec.ID)
		}
	}
	return out, fits
}

// Draft is a part that is being written.
type Draft struct {
	protocol.Part
	placed []place
}

type place struct {
	task    int
	attempt uint64
	machine string
}

// Place says that a task may be on a machine. Tasks are told in order.
func (d *Draft) Place(task int, attempt uint64, machine string) {
	d.placed = append(d.placed, place{task, attempt, machine})
}

// Unplace says that a task waits again.
func (d *Draft) Unplace(task int) { d.Unplaced = grow(d.Unplaced, task) }

// Finish says that a task is done.
func (d *Draft) Finish(task int) { d.Done = grow(d.Done, task) }

func grow(r [][2]int, task int) [][2]int {
	if l := len(r); l > 0 && r[l-1][1] == task-1 {
		r[l-1][1] = task
		return r
	}
	return append(r, [2]int{task, task})
}

// Empty says whether a draft tells of no task, and of no end.
func (d *Draft) Empty() bool {
	return len(d.placed)+len(d.Unplaced)+len(d.Done) == 0 && d.FinalStatus == ""
}

// Writer builds an entry of at most so many bytes.
type Writer struct {
	entry    protocol.Entry
	machines map[string]uint64
	size     int
	most     int
}

// NewWriter begins the next entry of a ring.
func NewWriter(r *Ring, bytes int) *Writer {
	_, seq := r.Next()
	return &Writer{entry: protocol.Entry{Version: protocol.EntryVersion, Seq: seq}, machines: map[string]uint64{}, size: 64, most: bytes}
}

// Size is about how many bytes the entry has by now.
func (w *Writer) Size() int { return w.size }

// AddPart takes a draft in, if there is room for it.
func (w *Writer) AddPart(d Draft) bool {
	p := d.Part
	var fresh []string
	number := func(machine string) uint64 {
		if i, ok := w.machines[machine]; ok {
			return i
		}
		for i, m := range fresh {
			if m == machine {
				return uint64(len(w.machines) + i)
			}
		}
		fresh = append(fresh, machine)
		return uint64(len(w.machines) + len(fresh) - 1)
	}
	p.Placed = nil
	for _, x := range d.placed {
		m := number(x.machine)
		if l := len(p.Placed); l > 0 && p.Placed[l-1][1] == uint64(x.task)-1 && p.Placed[l-1][2] == x.attempt && p.Placed[l-1][3] == m {
			p.Placed[l-1][1]++
			continue
		}
		p.Placed = append(p.Placed, protocol.PlacedRange{uint64(x.task), uint64(x.task), x.attempt, m})
	}
	more := size(p)
	for _, m := range fresh {
		more += len(m) + 3
	}
	if w.size+more > w.most {
		return false
	}
	for _, m := range fresh {
		w.machines[m] = uint64(len(w.entry.Machines))
		w.entry.Machines = append(w.entry.Machines, m)
	}
	w.size += more
	w.entry.Parts = append(w.entry.Parts, p)
	return true
}

// AddSubmission takes a submission in, if there is room for it.
func (w *Writer) AddSubmission(a protocol.AcceptedJob) bool {
	more := size(a)
	if w.size+more > w.most {
		return false
	}
	w.size += more
	w.entry.Jobs = append(w.entry.Jobs, a)
	return true
}

func size(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // only our own records come here
	}
	return len(data) + 1
}

// Entry is what was built.
func (w *Writer) Entry() *protocol.Entry { return &w.entry }

// ItemCount is how many parts and submissions it has.
func (w *Writer) ItemCount() int { return len(w.entry.Parts) + len(w.entry.Jobs) }
