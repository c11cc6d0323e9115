package packed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/protocol"
)

// What a writer was told an entry says, within its bytes, and machines are named once.
func TestEntriesSayWhatTheyWereTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(200, 8000).Draw(t, "bytes")
		w := NewWriter(NewRing(4), most)
		type fact struct {
			attempt uint64
			machine string
		}
		told := map[string]map[int]fact{} // by job and task; no machine: gone (0) or done (1)
		for i := range rapid.IntRange(0, 12).Draw(t, "jobs") {
			d := Draft{Part: protocol.Part{Job: fmt.Sprint("job-", i), NextAttempt: uint64(i)}}
			is := map[int]fact{}
			for task := range rapid.IntRange(0, 40).Draw(t, "tasks") {
				switch rapid.IntRange(0, 5).Draw(t, "is") {
				case 0:
					d.Unplace(task)
					is[task] = fact{}
				case 1:
					d.Finish(task)
					is[task] = fact{attempt: 1}
				case 2, 3, 4:
					f := fact{rapid.Uint64Range(5, 7).Draw(t, "attempt"), fmt.Sprintf("host-%06d", rapid.IntRange(0, 5).Draw(t, "machine"))}
					d.Place(task, f.attempt, f.machine)
					is[task] = f
				}
			}
			if w.AddPart(d) {
				told[d.Job] = is
			}
		}
		data, _ := json.Marshal(w.Entry())
		if len(data) > most && w.ItemCount() > 0 {
			t.Fatalf("%d bytes of %d", len(data), most)
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
			got := map[int]fact{}
			for _, r := range p.Placed {
				for i := r[0]; i <= r[1]; i++ {
					got[int(i)] = fact{r[2], e.Machines[r[3]]}
				}
			}
			for _, g := range p.Unplaced {
				for i := g[0]; i <= g[1]; i++ {
					got[i] = fact{}
				}
			}
			for _, g := range p.Done {
				for i := g[0]; i <= g[1]; i++ {
					got[i] = fact{attempt: 1}
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(told[p.Job]) {
				t.Fatalf("%s: %v, told %v", p.Job, got, told[p.Job])
			}
		}
	})
}

// Entries that are not understood are not skipped.
func TestWhatIsNotUnderstood(t *testing.T) {
	for _, c := range []string{`{"v":2,"s":1}`, `{"v":1,"s":1,"p":[{"j":"job-1","p":[[0,0,1,0]]}]}`, `{"v":1,"s":1,"m":["h"],"p":[{"j":"job-1","p":[[3,1,1,0]]}]}`, `{"v":1,"s":1,"a":[{"t":4}]}`, `[`, `{"v":1,"s":-1}`} {
		if _, err := ParseEntry([]byte(c)); err == nil {
			t.Errorf("%s is taken", c)
		}
	}
	r := NewRing(4)
	if _, err := r.Put(1, &protocol.Entry{Seq: 6}); err == nil {
		t.Error("entry 6 is taken in slot 1 of 4")
	}
	if _, err := r.Put(4, &protocol.Entry{Seq: 4}); err == nil {
		t.Error("slot 4 of 4 is taken")
	}
}

// An entry that is read once more, as after a value that could not be read, tells what it told.
func TestSameEntryReadAgain(t *testing.T) {
	r := NewRing(4)
	e := &protocol.Entry{Seq: 1, Parts: []protocol.Part{{Job: "job-1", FinalStatus: "done"}}}
	for range 3 {
		r.Put(1, e)
		if _, seq, over := r.FindEnd("job-1"); !over || seq != 1 || !r.Mentions("job-1") {
			t.Fatalf("ended %v in %d, mentioned %v", over, seq, r.Mentions("job-1"))
		}
	}
	r.Put(1, &protocol.Entry{Seq: 5})
	if _, _, over := r.FindEnd("job-1"); over || r.Mentions("job-1") {
		t.Error("what took its place tells of the job")
	}
}

// Whatever order slots are read in, a ring knows what is missing, and ends at the same.
func TestRingsAreReadInAnyOrder(t *testing.T) {
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
		in := map[uint64]bool{}
		for _, seq := range order {
			r.Put(int(seq%slots), entries[seq])
			in[seq] = true
			known := uint64(0)
			if r.lastSeq > slots {
				known = r.lastSeq - slots
			}
			for in[known+1] {
				known++
			}
			if r.CompleteUpTo() != known || r.Complete() != (known == r.lastSeq) {
				t.Fatalf("with %v of %d: known %d, whole %v, want %d", in, last, r.CompleteUpTo(), r.Complete(), known)
			}
		}
		for j := range 3 {
			job := fmt.Sprint("job-", j)
			n, ended := 0, uint64(0)
			for seq, e := range entries {
				if e.Parts[0].Job == job {
					n++
					if e.Parts[0].FinalStatus != "" {
						ended = max(ended, seq)
					}
				}
			}
			got := 0
			r.EachPart(job, func(*protocol.Entry, *protocol.Part) { got++ })
			if _, seq, ok := r.FindEnd(job); got != n || r.Mentions(job) != (n > 0) || ok != (ended > 0) || seq != ended {
				t.Fatalf("%s: %d mentions, ended by %d; want %d, %d", job, got, seq, n, ended)
			}
		}
	})
}
