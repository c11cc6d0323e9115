package packed

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"dapplestage.example/dapplestage/internal/protocol"
)

// The small machine of two nodes, their inboxes, one share's log of two slots and three jobs
// of one task, explored in all its steps, with one stall and one late transaction anywhere: a node
// that stands still sees nothing and goes on by what it saw, and what it or another one sent
// may be executed at any time after, also when its sender has started anew. Shares change
// hands at any time. What a node does goes by the rules of docs/packed.md; what an entry
// says again is decided by Carry and CarryAccepted themselves.

const (
	mJobs  = 3
	mNodes = 2
	mSlots = 2
	mHead  = 1           // keys: the holder, then jobs' own records,
	mFinal = 1 + mJobs   // what they became,
	mLog   = 1 + 2*mJobs // the log's slots,
	mIn    = mLog + mSlots
	mKeys  = mIn + mNodes*mSlots // and the inboxes'
)

// mVal is a stored value: of a record the task's state and what it is as of; of an entry what
// it says of each job; of an inbox which jobs.
type mVal struct {
	is    uint8 // holder+1; of a record, a final, an entry: 1
	seq   uint8 // of an entry; of a record: as of which entry
	asked bool
	task  uint8        // of a record: 0 waits, else the attempt it is placed with
	says  [mJobs]uint8 // of a log's entry: 0 nothing, 1 waits, 2 ended, 3.. placed with attempt-3
	jobs  [mJobs]bool  // of an inbox's entry
}

type mCell struct {
	ver uint8 // 0: not there
	val mVal
}

type mStore [mKeys]mCell

type mWrite struct {
	key uint8
	val mVal // is 0: deleted
}

type mTxn struct {
	n      uint8 // of conditions
	conds  [8]struct{ key, ver uint8 }
	w      uint8 // of writes
	writes [3]mWrite
	job    uint8 // +1: of which it is stored
	task   uint8 // that its task is like this
}

type mState struct {
	store   mStore
	stalled uint8        // node+1 that stands still
	view    mStore       // what that one sees
	since   [mSlots]bool // that it wrote a slot of the log after it last heard of anything
	held    mTxn         // on its way
	waits   uint8        // node+1 that waits for its answer
	stalls  uint8        // so far
	lates   uint8
	hands   uint8       // how often the share changed hands
	ended   [mJobs]bool // it has ended: never again open
	acked   [mJobs]bool // its user was told that it is accepted
}

// sees is the store as a node sees it.
func (st *mState) sees(n int) *mStore {
	if st.stalled == uint8(n)+1 {
		return &st.view
	}
	return &st.store
}

func (t *mTxn) cond(s *mStore, keys ...uint8) {
	for _, k := range keys {
		t.conds[t.n] = struct{ key, ver uint8 }{k, s[k].ver}
		t.n++
	}
}

func (t *mTxn) put(key uint8, v mVal) {
	t.writes[t.w] = mWrite{key, v}
	t.w++
}

func mJob(j int) string { return fmt.Sprint("job-", j) }

// rings reads the rings of a store.
func (s *mStore) log() *Ring {
	r := NewRing(mSlots)
	for i := range mSlots {
		c := s[mLog+i]
		if c.ver == 0 {
			continue
		}
		e := &protocol.Entry{Seq: uint64(c.val.seq)}
		for j, x := range c.val.says {
			switch {
			case x == 1:
				e.Parts = append(e.Parts, protocol.Part{Job: mJob(j), Unplaced: [][2]int{{0, 0}}})
			case x == 2:
				e.Parts = append(e.Parts, protocol.Part{Job: mJob(j), FinalStatus: "done"})
			case x > 2:
				e.Parts = append(e.Parts, protocol.Part{Job: mJob(j), NextAttempt: uint64(x - 3)})
			}
		}
		if _, err := r.Put(i, e); err != nil {
			panic(err)
		}
	}
	return r
}

func (s *mStore) inbox(node int) *Ring {
	r := NewRing(mSlots)
	for i := range mSlots {
		c := s[mIn+node*mSlots+i]
		if c.ver == 0 {
			continue
		}
		e := &protocol.Entry{Seq: uint64(c.val.seq)}
		for j, in := range c.val.jobs {
			if in {
				e.Jobs = append(e.Jobs, protocol.AcceptedJob{Spec: &protocol.JobSpec{ID: mJob(j)}})
			}
		}
		if _, err := r.Put(i, e); err != nil {
			panic(err)
		}
	}
	return r
}

// mKnown is what somebody who reads a store knows of a job.
type mKnown struct {
	open, based, inbox, over bool
	task                     uint8
	logged                   uint64 // by which entry, if no record is as late
	asked                    bool
}

func (s *mStore) known(log *Ring, j int) (k mKnown) {
	_, _, k.over = log.FindEnd(mJob(j))
	head := s[mHead+j]
	k.based = head.ver > 0
	for n := range mNodes {
		for i := range mSlots {
			k.inbox = k.inbox || s[mIn+n*mSlots+i].ver > 0 && s[mIn+n*mSlots+i].val.jobs[j]
		}
	}
	k.open = (k.based || k.inbox) && !k.over
	mark := uint64(0)
	if k.based {
		k.task, mark, k.asked = head.val.task, uint64(head.val.seq), head.val.asked
	}
	log.EachEntry(func(e *protocol.Entry) {
		if c := s[mLog+int(e.Seq%mSlots)]; e.Seq > mark && c.val.says[j] == 1 {
			k.task, k.logged = 0, e.Seq
		} else if e.Seq > mark && c.val.says[j] > 2 {
			k.task, k.logged = c.val.says[j]-3, e.Seq
		}
	})
	return k
}

// mFault leaves a rule out.
type mFault struct{ noCarry, noSlot, noFinal, noTomb, noBehind, noRecords bool }

// entry begins the next entry of the log, with what is carried; behind says that what is
// stored is not known up to the entry that it takes the place of.
func (s *mStore) entry(log *Ring, behind bool, f mFault) mVal {
	_, seq := log.Next()
	v := mVal{is: 1, seq: uint8(seq)}
	if f.noCarry {
		return v
	}
	var ks [mJobs]mKnown
	for j := range mJobs {
		ks[j] = s.known(log, j)
	}
	num := func(id string) int { return int(id[len(id)-1] - '0') }
	w := NewWriter(log, 1000)
	log.Carry(w, func(id string) bool {
		k := ks[num(id)]
		return !f.noTomb && (behind && !f.noBehind || k.based || k.inbox)
	}, func(id string, old uint64) Draft {
		k := ks[num(id)]
		d := Draft{Part: protocol.Part{Job: id}}
		if k.open && k.logged == old {
			d.Place(0, uint64(k.task), "m")
		}
		return d
	})
	for _, p := range w.Entry().Parts {
		if p.FinalStatus != "" {
			v.says[num(p.Job)] = 2
		} else if a := p.Placed[0][2]; a > 0 {
			v.says[num(p.Job)] = uint8(a) + 3
		} else {
			v.says[num(p.Job)] = 1
		}
	}
	return v
}

// steps are the transactions that a node may send, by what it sees.
func (st *mState) steps(n int, f mFault, send func(what string, t mTxn)) {
	s := st.sees(n)
	log := s.log()
	slot, seq := log.Next()
	next := uint8(mLog + slot)
	behind := st.stalled == uint8(n)+1 && st.since[slot]
	mine := s[0].val.is == uint8(n)+1 && s[0].ver > 0
	// The records of jobs other than one of which an entry says again how they are.
	carriedUnchanged := func(t *mTxn, e *mVal, except int) {
		for j, says := range e.says {
			if j != except && says != 0 && says != 2 && !f.noRecords {
				t.cond(s, uint8(mHead+j))
			}
		}
	}
	if s[0].ver == 0 && st.hands < 3 {
		var t mTxn
		t.cond(s, 0)
		t.put(0, mVal{is: uint8(n) + 1})
		send("take", t)
	}
	for j := range mJobs {
		k := s.known(log, j)
		head, final := uint8(mHead+j), uint8(mFinal+j)
		unended := func(t *mTxn) {
			t.cond(s, head)
			if !f.noFinal {
				t.conds[t.n] = struct{ key, ver uint8 }{final, 0}
				t.n++
			}
		}
		if !k.open && !k.over && s[final].ver == 0 {
			in := s.inbox(n)
			inSlot, inSeq := in.Next()
			if inSeq <= 4 && in.Complete() {
				v := mVal{is: 1, seq: uint8(inSeq)}
				w := NewWriter(in, 1000)
				in.CarryAccepted(w, func(a protocol.AcceptedJob) bool {
					x := s.known(log, int(a.Spec.ID[len(a.Spec.ID)-1]-'0'))
					return x.open && !x.based
				})
				for _, a := range w.Entry().Jobs {
					v.jobs[a.Spec.ID[len(a.Spec.ID)-1]-'0'] = true
				}
				v.jobs[j] = true
				var t mTxn
				t.cond(s, uint8(mIn+n*mSlots+inSlot))
				unended(&t)
				t.put(uint8(mIn+n*mSlots+inSlot), v)
				send(fmt.Sprint("accept ", j), t)
			}
		}
		if k.open && !k.based { // any node may give it a record
			var t mTxn
			unended(&t)
			t.put(head, mVal{is: 1, seq: uint8(log.CompleteUpTo()), task: k.task})
			send(fmt.Sprint("fold accepted ", j), t)
		}
		if k.open && !k.asked && k.based {
			var t mTxn
			unended(&t)
			t.put(head, mVal{is: 1, seq: uint8(log.CompleteUpTo()), task: k.task, asked: true})
			send(fmt.Sprint("cancel ", j), t)
		}
		if !mine || !log.Complete() {
			continue
		}
		if k.over && k.based {
			var t mTxn
			t.cond(s, 0, head)
			t.put(head, mVal{})
			send(fmt.Sprint("remove record ", j), t)
		}
		if !k.open || seq > 5 {
			continue
		}
		// What the holder decides: in an entry, or in the job's own record.
		for _, task := range []uint8{0, 1, 2} {
			if !(k.task == 0 && task > 0 && !k.asked || k.task > 0 && task == 0) {
				continue
			}
			e := s.entry(log, behind, f)
			var t mTxn
			t.cond(s, 0, next)
			unended(&t)
			carriedUnchanged(&t, &e, j)
			e.says[j] = 1
			if task > 0 {
				e.says[j] = task + 3
			}
			t.put(next, e)
			t.job, t.task = uint8(j)+1, task
			send(fmt.Sprint("entry: task ", task, " of ", j), t)
			t = mTxn{job: uint8(j) + 1, task: task}
			t.cond(s, 0)
			if !f.noSlot {
				t.cond(s, next)
			}
			unended(&t)
			t.put(head, mVal{is: 1, seq: uint8(log.LastSeq()), task: task, asked: k.asked})
			send(fmt.Sprint("record: task ", task, " of ", j), t)
		}
		if k.task > 0 || k.asked {
			e := s.entry(log, behind, f)
			var t mTxn
			t.cond(s, 0, next)
			unended(&t)
			carriedUnchanged(&t, &e, j)
			e.says[j] = 2
			t.put(final, mVal{is: 1})
			t.put(next, e)
			send(fmt.Sprint("end ", j), t)
		}
	}
}

// stepsMeanwhile are the transactions that a node may send while it waits for the answer of an
// entry: other jobs' own records.
func (st *mState) stepsMeanwhile(n int, f mFault, send func(what string, t mTxn)) {
	if entry := st.held.writes[st.held.w-1].key; entry < mLog || entry >= mIn {
		return
	}
	st.steps(n, f, func(what string, t mTxn) {
		if strings.HasPrefix(what, "record: ") && t.job != st.held.job {
			send(what, t)
		}
	})
}

// execute makes a transaction's changes if its conditions hold, and says what rule that breaks.
func (st *mState) execute(t *mTxn, by int) (ok bool, wrong string) {
	for _, c := range t.conds[:t.n] {
		if st.store[c.key].ver != c.ver {
			return false, ""
		}
	}
	log := st.store.log()
	var before [mJobs]mKnown
	for j := range mJobs {
		before[j] = st.store.known(log, j)
	}
	top := uint8(0)
	for _, c := range st.store {
		top = max(top, c.ver)
	}
	for _, w := range t.writes[:t.w] {
		c := mCell{}
		if w.val.is > 0 {
			c = mCell{top + 1, w.val}
		}
		st.store[w.key] = c
		if st.stalled == uint8(by)+1 {
			st.view[w.key] = c // a node learns its own changes at once
			if w.key >= mLog && w.key < mIn {
				st.since[w.key-mLog] = true
			}
		}
		if w.key >= mFinal && w.key < mLog {
			st.ended[w.key-mFinal] = true
		}
		if w.key == 0 && w.val.is > 0 {
			st.hands++
		}
	}
	log = st.store.log()
	for j := range mJobs {
		k := st.store.known(log, j)
		st.acked[j] = st.acked[j] || k.open
		switch {
		case st.acked[j] && !k.open && !st.ended[j]:
			return true, fmt.Sprintf("job %d is lost", j)
		case st.ended[j] && k.open:
			return true, fmt.Sprintf("job %d is open after it ended", j)
		case before[j].task > 0 && k.task > 0 && before[j].task != k.task && k.open:
			return true, fmt.Sprintf("job %d is placed with attempt %d while it is with %d", j, k.task, before[j].task)
		case int(t.job) != j+1 && before[j].open && k.open && before[j].task != k.task:
			return true, fmt.Sprintf("job %d goes from attempt %d to %d with a change that is not about it", j, before[j].task, k.task)
		case int(t.job) == j+1 && k.task != t.task:
			return true, fmt.Sprintf("job %d is stored with attempt %d and read with %d", j, t.task, k.task)
		}
	}
	return true, ""
}

// canonical renames versions: only which of them are the same makes a difference.
func (st *mState) canonical() {
	for k := range mKeys {
		var used [64]bool
		used[st.store[k].ver], used[st.view[k].ver] = true, true
		for _, c := range st.held.conds[:st.held.n] {
			if int(c.key) == k {
				used[c.ver] = true
			}
		}
		var to [64]uint8
		next := uint8(1)
		for v := 1; v < 64; v++ {
			if used[v] {
				to[v] = next
				next++
			}
		}
		st.store[k].ver, st.view[k].ver = to[st.store[k].ver], to[st.view[k].ver]
		for i := range st.held.conds[:st.held.n] {
			if c := &st.held.conds[i]; int(c.key) == k {
				c.ver = to[c.ver]
			}
		}
	}
}

// successors are the states that the next step may lead to, and what rule the step breaks.
func (st *mState) successors(f mFault, to func(next mState, step, wrong string)) {
	run := func(next mState, t *mTxn, by int, step string) {
		if ok, wrong := next.execute(t, by); ok {
			next.canonical()
			to(next, step, wrong)
		}
	}
	add := func(next mState, step string) {
		next.canonical()
		to(next, step, "")
	}
	if st.held.n > 0 {
		next := *st
		next.held, next.waits = mTxn{}, 0
		run(next, &st.held, -1, "the late one is executed")
	}
	for n := range mNodes {
		next := *st
		switch {
		case st.stalled == uint8(n)+1:
			next.stalled, next.view, next.since = 0, mStore{}, [mSlots]bool{}
			add(next, fmt.Sprint(n, " goes on"))
		case st.stalled == 0 && st.stalls == 0:
			next.stalled, next.view, next.stalls = uint8(n)+1, st.store, 1
			add(next, fmt.Sprint(n, " stands still"))
		}
		if st.waits == uint8(n)+1 {
			next := *st
			next.waits = 0
			add(next, fmt.Sprint(n, " starts anew"))
			st.stepsMeanwhile(n, f, func(what string, t mTxn) {
				run(*st, &t, n, fmt.Sprint(n, ": ", what))
			})
			continue // else it waits for its answer
		}
		if st.store[0].val.is == uint8(n)+1 {
			run(*st, &mTxn{w: 1, writes: [3]mWrite{{0, mVal{}}}}, -1, fmt.Sprint(n, " loses its lease"))
		}
		st.steps(n, f, func(what string, t mTxn) {
			run(*st, &t, n, fmt.Sprint(n, ": ", what))
			if st.lates == 0 {
				next := *st
				next.held, next.waits, next.lates = t, uint8(n)+1, 1
				add(next, fmt.Sprint(n, " sends ", what))
			}
		})
	}
}

// explore visits states, those in fewest steps first, until there are no more or so many; it
// returns how many, and the first broken rule with the steps to it.
func explore(most int, f mFault) (states int, wrong string) {
	type from struct {
		before int32
		step   string
	}
	seen := map[mState]struct{}{{}: {}}
	queue, path := []mState{{}}, []from{{-1, "begin"}}
	for at := 0; at < len(queue); at++ {
		queue[at].successors(f, func(next mState, step, w string) {
			if w != "" && wrong == "" {
				wrong = step
				for i := int32(at); i >= 0; i = path[i].before {
					wrong = path[i].step + "; " + wrong
				}
				wrong = w + ": " + wrong
			}
			if _, known := seen[next]; !known && len(seen) < most {
				seen[next] = struct{}{}
				queue = append(queue, next)
				path = append(path, from{int32(at), step})
			}
		})
		if wrong != "" {
			break
		}
	}
	return len(seen), wrong
}

// walk takes steps by chance, further than exploring all of them gets.
func walk(seed uint64, steps int, f mFault) (wrong string) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var st mState
	trail := ""
	for range steps {
		var pick mState
		n, how := 0, ""
		st.successors(f, func(next mState, step, w string) {
			if w != "" && wrong == "" {
				wrong = fmt.Sprintf("%s (seed %d): %s%s", w, seed, trail, step)
			}
			if n++; rng.IntN(n) == 0 {
				pick, how = next, step
			}
		})
		if n == 0 || wrong != "" {
			return wrong
		}
		st, trail = pick, trail+how+"; "
	}
	return ""
}

// play takes steps by their names; ok is false if one can't be taken.
func play(f mFault, steps ...string) (wrong string, ok bool) {
	var st mState
	for _, want := range steps {
		var next mState
		found := false
		st.successors(f, func(s mState, step, w string) {
			if step == want && !found {
				next, wrong, found = s, w, true
			}
		})
		if !found || wrong != "" {
			return wrong, found
		}
		st = next
	}
	return "", true
}

// No step of the small machine loses a job, opens one again that has ended, places a task
// that is placed, or stores what is read otherwise: in all states that are reached in few
// steps, and on long walks. Each of six rules that is left out is found, two by walks, and
// four by histories that take too many turns to be met by chance.
func TestSmallMachine(t *testing.T) {
	most, walks := 40_000, uint64(2_000)
	if *deep {
		most, walks = 4_000_000, 300_000
	}
	n, wrong := explore(most, mFault{})
	if wrong != "" {
		t.Fatal(wrong)
	}
	for seed := range walks {
		if wrong := walk(seed, 60, mFault{}); wrong != "" {
			t.Fatal(wrong)
		}
	}
	t.Logf("%d states, %d walks", n, walks)
	for name, f := range map[string]mFault{"nothing is carried": {noCarry: true}, "ends are forgotten while an inbox tells of the job": {noTomb: true}} {
		found := false
		for seed := uint64(0); seed < walks && !found; seed++ {
			if wrong := walk(seed, 60, f); wrong != "" {
				found = true
				t.Logf("%s: found with seed %d: %s", name, seed, wrong)
			}
		}
		if !found {
			t.Errorf("%s: not found", name)
		}
	}
	for name, c := range map[string]struct {
		f       mFault
		refused bool // with the rule the last step is not taken
		steps   []string
	}{
		// A node that does not know the last entry takes the share, and learns that at once.
		"a record is stored without regard to the log": {mFault{noSlot: true}, true, []string{"0: accept 0", "1 stands still", "0: take", "0: entry: task 1 of 0", "0 loses its lease", "1: take", "1: record: task 2 of 0"}},
		// A node that has not heard of a job accepts it when nothing watched tells of it any more.
		"nobody asks whether a job has ended": {mFault{noFinal: true}, true, []string{"1 stands still", "0: take", "0: accept 0", "0: entry: task 1 of 0", "0: end 0", "0: accept 1", "0: accept 2",
			"0: entry: task 1 of 1", "0: entry: task 1 of 2", "1: accept 0"}},
		// A holder that hears of nothing any more ends a job that another node accepted as well.
		"an end is forgotten by one who may have missed who tells of the job": {mFault{noBehind: true}, false, []string{"1 stands still", "0: accept 0", "1: accept 0", "1: take", "1: fold accepted 0", "1: cancel 0",
			"1: accept 2", "1: end 0", "1: remove record 0", "1: accept 1", "1: entry: task 1 of 1", "1: entry: task 0 of 1"}},
		// A holder says again in an entry where a task is, and while that is on its way stores in the
		// job's own record that the task has left.
		"an entry says of a job again what its own record has made old": {mFault{noRecords: true}, true, []string{"0: take", "0: accept 0", "0: accept 1", "0: fold accepted 0", "0: entry: task 1 of 0", "0: entry: task 1 of 1",
			"0 sends entry: task 0 of 1", "0: record: task 0 of 0", "the late one is executed"}},
	} {
		if wrong, _ := play(c.f, c.steps...); wrong == "" {
			t.Errorf("%s: not found", name)
		} else {
			t.Logf("%s: %s", name, wrong)
		}
		if wrong, ok := play(mFault{}, c.steps...); ok == c.refused || wrong != "" {
			t.Errorf("%s: with the rule the last step is taken: %v (%s)", name, ok, wrong)
		}
	}
}

// deep is for long runs by hand: go test ./internal/coordination/packed -run SmallMachine -deep.
var deep = flag.Bool("deep", false, "explore more of the small machine")
