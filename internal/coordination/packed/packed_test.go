package packed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/protocol"
)

// An entry contains exactly what was added to its writer, within its size limit, and names
// each machine once.
func TestEntriesContainTheirDrafts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxBytes := rapid.IntRange(200, 8000).Draw(t, "bytes")
		w := NewWriter(NewRing(4), maxBytes)
		type taskState struct {
			attempt uint64
			machine string
		}
		added := map[string]map[int]taskState{} // by job and task; no machine: waiting (attempt 0) or done (attempt 1)
		for i := range rapid.IntRange(0, 12).Draw(t, "jobs") {
			d := Draft{Part: protocol.Part{Job: fmt.Sprint("job-", i), NextAttempt: uint64(i)}}
			states := map[int]taskState{}
			for task := range rapid.IntRange(0, 40).Draw(t, "tasks") {
				switch rapid.IntRange(0, 5).Draw(t, "is") {
				case 0:
					d.Unplace(task)
					states[task] = taskState{}
				case 1:
					d.Finish(task)
					states[task] = taskState{attempt: 1}
				case 2, 3, 4:
					placed := taskState{rapid.Uint64Range(5, 7).Draw(t, "attempt"), fmt.Sprintf("host-%06d", rapid.IntRange(0, 5).Draw(t, "machine"))}
					d.Place(task, placed.attempt, placed.machine)
					states[task] = placed
				}
			}
			if w.AddPart(d) {
				added[d.Job] = states
			}
		}
		data, _ := json.Marshal(w.Entry())
		if len(data) > maxBytes && w.ItemCount() > 0 {
			t.Fatalf("%d bytes, at most %d allowed", len(data), maxBytes)
		}
		e, err := ParseEntry(data)
		if err != nil {
			t.Fatal(err)
		}
		seen := map[string]bool{}
		for _, m := range e.Machines {
			if seen[m] {
				t.Fatalf("%s is named twice", m)
			}
			seen[m] = true
		}
		for _, p := range e.Parts {
			got := map[int]taskState{}
			for _, r := range p.Placed {
				for i := r[0]; i <= r[1]; i++ {
					got[int(i)] = taskState{r[2], e.Machines[r[3]]}
				}
			}
			for _, g := range p.Unplaced {
				for i := g[0]; i <= g[1]; i++ {
					got[i] = taskState{}
				}
			}
			for _, g := range p.Done {
				for i := g[0]; i <= g[1]; i++ {
					got[i] = taskState{attempt: 1}
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(added[p.Job]) {
				t.Fatalf("%s: %v, added %v", p.Job, got, added[p.Job])
			}
		}
	})
}

// Invalid entries and slots must be rejected, not skipped.
func TestInvalidEntriesAreRejected(t *testing.T) {
	for _, c := range []string{`{"v":2,"s":1}`, `{"v":1,"s":1,"p":[{"j":"job-1","p":[[0,0,1,0]]}]}`, `{"v":1,"s":1,"m":["h"],"p":[{"j":"job-1","p":[[3,1,1,0]]}]}`, `{"v":1,"s":1,"a":[{"t":4}]}`, `[`, `{"v":1,"s":-1}`} {
		if _, err := ParseEntry([]byte(c)); err == nil {
			t.Errorf("%s is accepted", c)
		}
	}
	r := NewRing(4)
	if _, err := r.Put(1, &protocol.Entry{Seq: 6}); err == nil {
		t.Error("entry 6 is accepted in slot 1 of 4")
	}
	if _, err := r.Put(4, &protocol.Entry{Seq: 4}); err == nil {
		t.Error("slot 4 of 4 is accepted")
	}
}

// Reading the same entry again must not change the ring; it happens after a value could
// not be read.
func TestSameEntryReadAgain(t *testing.T) {
	r := NewRing(4)
	e := &protocol.Entry{Seq: 1, Parts: []protocol.Part{{Job: "job-1", FinalStatus: "done"}}}
	for range 3 {
		r.Put(1, e)
		if _, seq, ended := r.FindEnd("job-1"); !ended || seq != 1 || !r.Mentions("job-1") {
			t.Fatalf("ended %v in %d, mentioned %v", ended, seq, r.Mentions("job-1"))
		}
	}
	r.Put(1, &protocol.Entry{Seq: 5})
	if _, _, ended := r.FindEnd("job-1"); ended || r.Mentions("job-1") {
		t.Error("the ring still mentions a job of an overwritten entry")
	}
}

// In whatever order the slots are read, the ring reports which entries are missing and
// reaches the same final state.
func TestRingReadInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 4
		last := rapid.IntRange(0, 11).Draw(t, "last")
		entries := map[uint64]*protocol.Entry{}
		for seq := max(1, last-slots+1); seq <= last; seq++ {
			entries[uint64(seq)] = &protocol.Entry{Seq: uint64(seq), Parts: []protocol.Part{{Job: fmt.Sprint("job-", seq%3), FinalStatus: map[bool]string{true: "done"}[seq%5 == 0]}}}
		}
		r := NewRing(slots)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var order []uint64
		for seq := range entries {
			order = append(order, seq)
		}
		rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		read := map[uint64]bool{}
		for _, seq := range order {
			r.Put(int(seq%slots), entries[seq])
			read[seq] = true
			completeUpTo := uint64(0)
			if r.lastSeq > slots {
				completeUpTo = r.lastSeq - slots
			}
			for read[completeUpTo+1] {
				completeUpTo++
			}
			if r.CompleteUpTo() != completeUpTo || r.Complete() != (completeUpTo == r.lastSeq) {
				t.Fatalf("with %v of %d: complete up to %d, complete %v, want %d", read, last, r.CompleteUpTo(), r.Complete(), completeUpTo)
			}
		}
		for j := range 3 {
			job := fmt.Sprint("job-", j)
			mentions, ended := 0, uint64(0)
			for seq, e := range entries {
				if e.Parts[0].Job == job {
					mentions++
					if e.Parts[0].FinalStatus != "" {
						ended = max(ended, seq)
					}
				}
			}
			got := 0
			r.EachPart(job, func(*protocol.Entry, *protocol.Part) { got++ })
			if _, seq, ok := r.FindEnd(job); got != mentions || r.Mentions(job) != (mentions > 0) || ok != (ended > 0) || seq != ended {
				t.Fatalf("%s: %d mentions, ended by %d; want %d, %d", job, got, seq, mentions, ended)
			}
		}
	})
}
