// Package packed implements stored values that cover many jobs, so that the changes of
// many jobs need one change of the state service: the log of a partition's decisions,
// written by its owner, and the inbox of the jobs that a node accepted. Both are rings of
// numbered entries over a fixed set of slots. The package is pure: it tracks what the
// slots contain and which part of it is still needed, and builds the next entry. The state
// of a task is given by the entry with the highest number that mentions it, or by the
// job's own record if that is as late (protocol.Chunk.LogSeq). Entries may therefore be
// read in any order.
package packed

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Slots is the number of slots of a ring: the most entries that a reader reads, and the
// most that a writer stores before it must compact jobs into records of their own.
const Slots = 64

// ErrNewerVersion means that an entry was written by a later release.
var ErrNewerVersion = errors.New("written by a later release")

// ParseEntry decodes and checks an entry.
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

// ParseLogKey parses the key of a slot in a partition's log.
func ParseLogKey(key string) (partition, slot int, ok bool) {
	partitionText, slotText, _ := strings.Cut(strings.TrimPrefix(key, protocol.LogRoot), "/")
	partition, err := strconv.Atoi(partitionText)
	slot, slotErr := strconv.Atoi(slotText)
	return partition, slot, err == nil && slotErr == nil && partition >= 0 && slot >= 0
}

// ParseInboxKey parses the key of a slot in a node's inbox.
func ParseInboxKey(key string) (node string, slot int, ok bool) {
	rest := strings.TrimPrefix(key, protocol.InboxRoot)
	i := strings.LastIndexByte(rest, '/')
	if i < 0 {
		return "", 0, false
	}
	slot, err := strconv.Atoi(rest[i+1:])
	return rest[:i], slot, err == nil && slot >= 0
}

// Ring is a reader's copy of a log or an inbox.
type Ring struct {
	slots         []*protocol.Entry
	lastSeq       uint64
	mentionCounts map[string]int    // by job: the number of entries that mention it
	endSeqs       map[string]uint64 // by job: the latest entry that says that it has ended
}

// NewRing returns an empty ring with the given number of slots.
func NewRing(slots int) *Ring {
	return &Ring{slots: make([]*protocol.Entry, slots), mentionCounts: map[string]int{}, endSeqs: map[string]uint64{}}
}

// eachMention calls f for each job in an entry; ended is true if the entry says that the
// job has ended.
func eachMention(e *protocol.Entry, f func(job string, ended bool)) {
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

// Put stores the entry of a slot (nil: none) and returns the previous one.
func (r *Ring) Put(slot int, e *protocol.Entry) (previous *protocol.Entry, err error) {
	switch {
	case slot >= len(r.slots):
		return nil, fmt.Errorf("slot %d of a ring of %d", slot, len(r.slots))
	case e != nil && e.Seq%uint64(len(r.slots)) != uint64(slot):
		return nil, fmt.Errorf("entry %d in slot %d of %d", e.Seq, slot, len(r.slots))
	}
	previous = r.slots[slot]
	r.slots[slot] = e
	// The previous entry is removed first, because the same entry may be read twice.
	eachMention(previous, func(job string, ended bool) {
		if r.mentionCounts[job]--; r.mentionCounts[job] == 0 {
			delete(r.mentionCounts, job)
		}
		if ended && r.endSeqs[job] == previous.Seq {
			delete(r.endSeqs, job)
		}
	})
	eachMention(e, func(job string, ended bool) {
		r.mentionCounts[job]++
		if ended {
			r.endSeqs[job] = max(r.endSeqs[job], e.Seq)
		}
	})
	if e != nil {
		r.lastSeq = max(r.lastSeq, e.Seq)
	}
	return previous, nil
}

// HasEntry reports whether a slot has an entry.
func (r *Ring) HasEntry(slot int) bool {
	return slot >= 0 && slot < len(r.slots) && r.slots[slot] != nil
}

// LastSeq returns the number of the latest known entry.
func (r *Ring) LastSeq() uint64 { return r.lastSeq }

// Next returns the slot and the number of the next entry.
func (r *Ring) Next() (slot int, seq uint64) {
	return int((r.lastSeq + 1) % uint64(len(r.slots))), r.lastSeq + 1
}

// CompleteUpTo returns the number up to which all entries are known. While a reader reads
// the slots page by page, a later entry may be known before an earlier one.
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

// Complete reports whether no entry is missing before the latest known one.
func (r *Ring) Complete() bool { return r.CompleteUpTo() == r.lastSeq }

// Overwritten returns the entry that the next one will overwrite; nil: none.
func (r *Ring) Overwritten() *protocol.Entry {
	slot, _ := r.Next()
	return r.slots[slot]
}

// Mentions reports whether any entry mentions a job.
func (r *Ring) Mentions(job string) bool { return r.mentionCounts[job] > 0 }

// FindEnd returns the part that says how a job has ended, and the number of its entry.
func (r *Ring) FindEnd(job string) (p *protocol.Part, seq uint64, ok bool) {
	seq, ok = r.endSeqs[job]
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

// EachPart calls f for each part about a job, in the order of the entries.
func (r *Ring) EachPart(job string, f func(e *protocol.Entry, p *protocol.Part)) {
	if r.mentionCounts[job] == 0 {
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

// EachEntry calls f for each entry in order.
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

// Empty reports whether no entry mentions a job.
func (r *Ring) Empty() bool { return len(r.mentionCounts) == 0 }

// JobCount returns the number of jobs mentioned.
func (r *Ring) JobCount() int { return len(r.mentionCounts) }

// CarriedJob is an open job that was carried forward, and the number of bytes that this
// takes.
type CarriedJob struct {
	Job  string
	Size int
}

// Carry copies into the next entry of a log what is still needed of the entry that it
// overwrites: for open jobs, the state that no later entry or record has (stillNeeded);
// for ended jobs, their end while their own record or an inbox still mentions them
// (endNeeded). fits is false if there is no room for all of it.
func (r *Ring) Carry(w *Writer, endNeeded func(job string) bool, stillNeeded func(job string, seq uint64) Draft) (carried []CarriedJob, fits bool) {
	old := r.Overwritten()
	if old == nil {
		return nil, true
	}
	fits = true
	handled := map[string]bool{}
	for i := range old.Parts {
		id := old.Parts[i].Job
		if handled[id] {
			continue
		}
		handled[id] = true
		if end, seq, ended := r.FindEnd(id); ended {
			if seq == old.Seq && endNeeded(id) {
				fits = w.AddPart(Draft{Part: *end}) && fits
			}
			continue
		}
		if draft := stillNeeded(id, old.Seq); !draft.Empty() {
			sizeBefore := w.Size()
			fits = w.AddPart(draft) && fits
			carried = append(carried, CarriedJob{id, w.Size() - sizeBefore})
		}
	}
	return carried, fits
}

// CarryAccepted copies into the next entry of an inbox the submissions of the overwritten
// entry that are still needed: those of open jobs without a record of their own.
func (r *Ring) CarryAccepted(w *Writer, needed func(a protocol.AcceptedJob) bool) (jobs []string, fits bool) {
	old := r.Overwritten()
	if old == nil {
		return nil, true
	}
	fits = true
	for _, a := range old.Jobs {
		if needed(a) {
			fits = w.AddSubmission(a) && fits
			jobs = append(jobs, a.Spec.ID)
		}
	}
	return jobs, fits
}

// Draft is a part under construction.
type Draft struct {
	protocol.Part
	placements []placement
}

// placement is an attempt of a task on a machine.
type placement struct {
	task    int
	attempt uint64
	machine string
}

// Place adds that a task may be running on a machine. Tasks are added in ascending order.
func (d *Draft) Place(task int, attempt uint64, machine string) {
	d.placements = append(d.placements, placement{task, attempt, machine})
}

// Unplace adds that a task is waiting again.
func (d *Draft) Unplace(task int) { d.Unplaced = appendToRanges(d.Unplaced, task) }

// Finish adds that a task is done.
func (d *Draft) Finish(task int) { d.Done = appendToRanges(d.Done, task) }

// appendToRanges adds a task to the last range if it is the next one, else as a new range.
func appendToRanges(ranges [][2]int, task int) [][2]int {
	if count := len(ranges); count > 0 && ranges[count-1][1] == task-1 {
		ranges[count-1][1] = task
		return ranges
	}
	return append(ranges, [2]int{task, task})
}

// Empty reports whether a draft contains no task and no end.
func (d *Draft) Empty() bool {
	return len(d.placements)+len(d.Unplaced)+len(d.Done) == 0 && d.FinalStatus == ""
}

// Writer builds an entry of limited size.
type Writer struct {
	entry          protocol.Entry
	machineNumbers map[string]uint64
	size           int
	maxBytes       int
}

// NewWriter starts the next entry of a ring, of at most maxBytes.
func NewWriter(r *Ring, maxBytes int) *Writer {
	_, seq := r.Next()
	return &Writer{entry: protocol.Entry{Version: protocol.EntryVersion, Seq: seq}, machineNumbers: map[string]uint64{}, size: 64, maxBytes: maxBytes}
}

// Size returns the approximate size of the entry so far, in bytes.
func (w *Writer) Size() int { return w.size }

// AddPart adds a part. It returns false if there is no room for it.
func (w *Writer) AddPart(draft Draft) bool {
	part := draft.Part
	var newMachines []string
	machineNumber := func(machine string) uint64 {
		if i, ok := w.machineNumbers[machine]; ok {
			return i
		}
		for i, m := range newMachines {
			if m == machine {
				return uint64(len(w.machineNumbers) + i)
			}
		}
		newMachines = append(newMachines, machine)
		return uint64(len(w.machineNumbers) + len(newMachines) - 1)
	}
	part.Placed = nil
	for _, placed := range draft.placements {
		number := machineNumber(placed.machine)
		if count := len(part.Placed); count > 0 && part.Placed[count-1][1] == uint64(placed.task)-1 && part.Placed[count-1][2] == placed.attempt && part.Placed[count-1][3] == number {
			part.Placed[count-1][1]++
			continue
		}
		part.Placed = append(part.Placed, protocol.PlacedRange{uint64(placed.task), uint64(placed.task), placed.attempt, number})
	}
	added := encodedSize(part)
	for _, m := range newMachines {
		added += len(m) + 3
	}
	if w.size+added > w.maxBytes {
		return false
	}
	for _, m := range newMachines {
		w.machineNumbers[m] = uint64(len(w.entry.Machines))
		w.entry.Machines = append(w.entry.Machines, m)
	}
	w.size += added
	w.entry.Parts = append(w.entry.Parts, part)
	return true
}

// AddSubmission adds a submission. It returns false if there is no room for it.
func (w *Writer) AddSubmission(a protocol.AcceptedJob) bool {
	added := encodedSize(a)
	if w.size+added > w.maxBytes {
		return false
	}
	w.size += added
	w.entry.Jobs = append(w.entry.Jobs, a)
	return true
}

// encodedSize is the number of bytes that a part or a submission adds to an entry.
func encodedSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // all callers pass types that can be encoded
	}
	return len(data) + 1
}

// Entry returns the entry.
func (w *Writer) Entry() *protocol.Entry { return &w.entry }

// ItemCount returns the number of parts and submissions.
func (w *Writer) ItemCount() int { return len(w.entry.Parts) + len(w.entry.Jobs) }
