package packed

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"dapplestage.example/dapplestage/internal/protocol"
)

// A small model of the packed format: two nodes with their inboxes, one partition's log of
// two slots and three jobs of one task each. All steps are explored, with at most one
// stall and one delayed transaction at any point. A stalled node reads nothing and acts on
// its last view. A delayed transaction may be executed at any later time, also after its
// sender has restarted. The partition may change its owner at any time. Nodes follow the
// rules of docs/packed.md, and the code under test, Carry and CarryAccepted, decides what
// an entry carries forward.

const (
	modelJobs      = 3
	modelNodes     = 2
	modelSlots     = 2
	firstHead      = 1               // key 0: the owner; then the jobs' own records,
	firstFinal     = 1 + modelJobs   // their final states,
	firstLogSlot   = 1 + 2*modelJobs // the slots of the log,
	firstInboxSlot = firstLogSlot + modelSlots
	keyCount       = firstInboxSlot + modelNodes*modelSlots // and the slots of the inboxes
)

// modelValue is a stored value. A job's record has the state of its task and the number of
// the log entry up to which that is current; a log entry has the state of each job; an
// inbox entry has its jobs.
type modelValue struct {
	present         uint8 // key 0: owner+1; others: 1; 0: deleted
	seq             uint8 // of an entry; of a record: of the log entry up to which it is current
	cancelRequested bool
	task            uint8            // of a record: 0 waiting, else the attempt that is placed
	states          [modelJobs]uint8 // of a log entry: 0 none, 1 waiting, 2 ended, from 3 on placed with attempt states-3
	jobs            [modelJobs]bool  // of an inbox entry
}

// modelCell is a stored value with its revision.
type modelCell struct {
	revision uint8 // 0: no value
	value    modelValue
}

// modelStore is the state service: a value for each key.
type modelStore [keyCount]modelCell

// modelWrite is one write of a transaction.
type modelWrite struct {
	key   uint8
	value modelValue // present is 0: delete
}

// modelTxn is a transaction.
type modelTxn struct {
	condCount  uint8 // number of conditions in conds
	conds      [8]struct{ key, ver uint8 }
	writeCount uint8 // number of writes in writes
	writes     [3]modelWrite
	job        uint8 // +1: the job whose task state is stored
	task       uint8 // the state of that task
}

// modelState is a state of the model.
type modelState struct {
	store            modelStore
	stalledNode      uint8            // node+1; 0: none
	stalledView      modelStore       // what the stalled node has read
	ownWritesInStall [modelSlots]bool // log slots that the stalled node has written since it last read
	delayedTxn       modelTxn         // sent and not executed yet
	waitingNode      uint8            // node+1 that waits for the answer of delayedTxn
	stallCount       uint8            // stalls so far
	delayCount       uint8            // delayed transactions so far
	ownerChanges     uint8            // takeovers so far
	ended            [modelJobs]bool  // the job has ended and must never be open again
	accepted         [modelJobs]bool  // the user was told that the job is accepted
}

// viewOf returns the store as a node sees it.
func (st *modelState) viewOf(n int) *modelStore {
	if st.stalledNode == uint8(n)+1 {
		return &st.stalledView
	}
	return &st.store
}

// requireUnchanged adds conditions that keys have the revisions of a view.
func (t *modelTxn) requireUnchanged(s *modelStore, keys ...uint8) {
	for _, k := range keys {
		t.conds[t.condCount] = struct{ key, ver uint8 }{k, s[k].revision}
		t.condCount++
	}
}

func (t *modelTxn) put(key uint8, v modelValue) {
	t.writes[t.writeCount] = modelWrite{key, v}
	t.writeCount++
}

func modelJobID(j int) string { return fmt.Sprint("job-", j) }

// log returns the ring of the log.
func (s *modelStore) log() *Ring {
	r := NewRing(modelSlots)
	for i := range modelSlots {
		c := s[firstLogSlot+i]
		if c.revision == 0 {
			continue
		}
		e := &protocol.Entry{Seq: uint64(c.value.seq)}
		for j, x := range c.value.states {
			switch {
			case x == 1:
				e.Parts = append(e.Parts, protocol.Part{Job: modelJobID(j), Unplaced: [][2]int{{0, 0}}})
			case x == 2:
				e.Parts = append(e.Parts, protocol.Part{Job: modelJobID(j), FinalStatus: "done"})
			case x > 2:
				e.Parts = append(e.Parts, protocol.Part{Job: modelJobID(j), NextAttempt: uint64(x - 3)})
			}
		}
		if _, err := r.Put(i, e); err != nil {
			panic(err)
		}
	}
	return r
}

// inbox returns the ring of a node's inbox.
func (s *modelStore) inbox(node int) *Ring {
	r := NewRing(modelSlots)
	for i := range modelSlots {
		c := s[firstInboxSlot+node*modelSlots+i]
		if c.revision == 0 {
			continue
		}
		e := &protocol.Entry{Seq: uint64(c.value.seq)}
		for j, in := range c.value.jobs {
			if in {
				e.Jobs = append(e.Jobs, protocol.AcceptedJob{Spec: &protocol.JobSpec{ID: modelJobID(j)}})
			}
		}
		if _, err := r.Put(i, e); err != nil {
			panic(err)
		}
	}
	return r
}

// jobView is the state of a job as computed from a store.
type jobView struct {
	open, hasRecord, inInbox, ended bool
	task                            uint8
	logSeq                          uint64 // entry that gave the task's state, if no record is as late
	cancelRequested                 bool
}

// viewJob computes the state of a job from the stored values.
func (s *modelStore) viewJob(log *Ring, j int) (view jobView) {
	_, _, view.ended = log.FindEnd(modelJobID(j))
	head := s[firstHead+j]
	view.hasRecord = head.revision > 0
	for n := range modelNodes {
		for i := range modelSlots {
			view.inInbox = view.inInbox || s[firstInboxSlot+n*modelSlots+i].revision > 0 && s[firstInboxSlot+n*modelSlots+i].value.jobs[j]
		}
	}
	view.open = (view.hasRecord || view.inInbox) && !view.ended
	recordSeq := uint64(0)
	if view.hasRecord {
		view.task, recordSeq, view.cancelRequested = head.value.task, uint64(head.value.seq), head.value.cancelRequested
	}
	log.EachEntry(func(e *protocol.Entry) {
		if c := s[firstLogSlot+int(e.Seq%modelSlots)]; e.Seq > recordSeq && c.value.states[j] == 1 {
			view.task, view.logSeq = 0, e.Seq
		} else if e.Seq > recordSeq && c.value.states[j] > 2 {
			view.task, view.logSeq = c.value.states[j]-3, e.Seq
		}
	})
	return view
}

// omittedRules are the rules that nodes ignore, to show that the model detects each
// violation.
type omittedRules struct{ noCarry, noSlotCondition, noFinalCondition, noTombstones, noReplicaCheck, noRecordConditions bool }

// nextEntry starts the next entry of the log, with the state that is carried forward.
// replicaBehind is true if the node's replica is not complete up to the entry that will be
// overwritten.
func (s *modelStore) nextEntry(log *Ring, replicaBehind bool, omitted omittedRules) modelValue {
	_, seq := log.Next()
	entry := modelValue{present: 1, seq: uint8(seq)}
	if omitted.noCarry {
		return entry
	}
	var views [modelJobs]jobView
	for j := range modelJobs {
		views[j] = s.viewJob(log, j)
	}
	jobNumber := func(id string) int { return int(id[len(id)-1] - '0') }
	w := NewWriter(log, 1000)
	log.Carry(w, func(id string) bool {
		view := views[jobNumber(id)]
		return !omitted.noTombstones && (replicaBehind && !omitted.noReplicaCheck || view.hasRecord || view.inInbox)
	}, func(id string, old uint64) Draft {
		view := views[jobNumber(id)]
		draft := Draft{Part: protocol.Part{Job: id}}
		if view.open && view.logSeq == old {
			draft.Place(0, uint64(view.task), "m")
		}
		return draft
	})
	for _, p := range w.Entry().Parts {
		if p.FinalStatus != "" {
			entry.states[jobNumber(p.Job)] = 2
		} else if attempt := p.Placed[0][2]; attempt > 0 {
			entry.states[jobNumber(p.Job)] = uint8(attempt) + 3
		} else {
			entry.states[jobNumber(p.Job)] = 1
		}
	}
	return entry
}

// eachTxn calls send for each transaction that a node may send in its view.
func (st *modelState) eachTxn(node int, omitted omittedRules, send func(what string, t modelTxn)) {
	s := st.viewOf(node)
	log := s.log()
	slot, seq := log.Next()
	nextSlotKey := uint8(firstLogSlot + slot)
	replicaBehind := st.stalledNode == uint8(node)+1 && st.ownWritesInStall[slot]
	owner := s[0].value.present == uint8(node)+1 && s[0].revision > 0
	// The records of other open jobs whose state the entry carries forward must be
	// unchanged.
	requireCarriedUnchanged := func(t *modelTxn, e *modelValue, except int) {
		for j, says := range e.states {
			if j != except && says != 0 && says != 2 && !omitted.noRecordConditions {
				t.requireUnchanged(s, uint8(firstHead+j))
			}
		}
	}
	if s[0].revision == 0 && st.ownerChanges < 3 {
		var t modelTxn
		t.requireUnchanged(s, 0)
		t.put(0, modelValue{present: uint8(node) + 1})
		send("take", t)
	}
	for j := range modelJobs {
		view := s.viewJob(log, j)
		head, final := uint8(firstHead+j), uint8(firstFinal+j)
		requireOpen := func(t *modelTxn) {
			t.requireUnchanged(s, head)
			if !omitted.noFinalCondition {
				t.conds[t.condCount] = struct{ key, ver uint8 }{final, 0}
				t.condCount++
			}
		}
		if !view.open && !view.ended && s[final].revision == 0 {
			inbox := s.inbox(node)
			inboxSlot, inboxSeq := inbox.Next()
			if inboxSeq <= 4 && inbox.Complete() {
				entry := modelValue{present: 1, seq: uint8(inboxSeq)}
				w := NewWriter(inbox, 1000)
				inbox.CarryAccepted(w, func(a protocol.AcceptedJob) bool {
					carriedView := s.viewJob(log, int(a.Spec.ID[len(a.Spec.ID)-1]-'0'))
					return carriedView.open && !carriedView.hasRecord
				})
				for _, a := range w.Entry().Jobs {
					entry.jobs[a.Spec.ID[len(a.Spec.ID)-1]-'0'] = true
				}
				entry.jobs[j] = true
				var t modelTxn
				t.requireUnchanged(s, uint8(firstInboxSlot+node*modelSlots+inboxSlot))
				requireOpen(&t)
				t.put(uint8(firstInboxSlot+node*modelSlots+inboxSlot), entry)
				send(fmt.Sprint("accept ", j), t)
			}
		}
		if view.open && !view.hasRecord { // any node may give it a record
			var t modelTxn
			requireOpen(&t)
			t.put(head, modelValue{present: 1, seq: uint8(log.CompleteUpTo()), task: view.task})
			send(fmt.Sprint("fold accepted ", j), t)
		}
		if view.open && !view.cancelRequested && view.hasRecord {
			var t modelTxn
			requireOpen(&t)
			t.put(head, modelValue{present: 1, seq: uint8(log.CompleteUpTo()), task: view.task, cancelRequested: true})
			send(fmt.Sprint("cancel ", j), t)
		}
		if !owner || !log.Complete() {
			continue
		}
		if view.ended && view.hasRecord {
			var t modelTxn
			t.requireUnchanged(s, 0, head)
			t.put(head, modelValue{})
			send(fmt.Sprint("remove record ", j), t)
		}
		if !view.open || seq > 5 {
			continue
		}
		// The owner stores a decision in an entry or in the job's own record.
		for _, task := range []uint8{0, 1, 2} {
			if !(view.task == 0 && task > 0 && !view.cancelRequested || view.task > 0 && task == 0) {
				continue
			}
			e := s.nextEntry(log, replicaBehind, omitted)
			var t modelTxn
			t.requireUnchanged(s, 0, nextSlotKey)
			requireOpen(&t)
			requireCarriedUnchanged(&t, &e, j)
			e.states[j] = 1
			if task > 0 {
				e.states[j] = task + 3
			}
			t.put(nextSlotKey, e)
			t.job, t.task = uint8(j)+1, task
			send(fmt.Sprint("entry: task ", task, " of ", j), t)
			t = modelTxn{job: uint8(j) + 1, task: task}
			t.requireUnchanged(s, 0)
			if !omitted.noSlotCondition {
				t.requireUnchanged(s, nextSlotKey)
			}
			requireOpen(&t)
			t.put(head, modelValue{present: 1, seq: uint8(log.LastSeq()), task: task, cancelRequested: view.cancelRequested})
			send(fmt.Sprint("record: task ", task, " of ", j), t)
		}
		if view.task > 0 || view.cancelRequested {
			e := s.nextEntry(log, replicaBehind, omitted)
			var t modelTxn
			t.requireUnchanged(s, 0, nextSlotKey)
			requireOpen(&t)
			requireCarriedUnchanged(&t, &e, j)
			e.states[j] = 2
			t.put(final, modelValue{present: 1})
			t.put(nextSlotKey, e)
			send(fmt.Sprint("end ", j), t)
		}
	}
}

// eachTxnWhileWaiting calls send for each transaction that a node may send while it waits
// for the answer of an entry: changes of other jobs' own records.
func (st *modelState) eachTxnWhileWaiting(node int, omitted omittedRules, send func(what string, t modelTxn)) {
	if entry := st.delayedTxn.writes[st.delayedTxn.writeCount-1].key; entry < firstLogSlot || entry >= firstInboxSlot {
		return
	}
	st.eachTxn(node, omitted, func(what string, t modelTxn) {
		if strings.HasPrefix(what, "record: ") && t.job != st.delayedTxn.job {
			send(what, t)
		}
	})
}

// execute applies a transaction if its conditions hold, and returns the invariant that
// this violates.
func (st *modelState) execute(t *modelTxn, sender int) (ok bool, violation string) {
	for _, c := range t.conds[:t.condCount] {
		if st.store[c.key].revision != c.ver {
			return false, ""
		}
	}
	log := st.store.log()
	var before [modelJobs]jobView
	for j := range modelJobs {
		before[j] = st.store.viewJob(log, j)
	}
	lastRevision := uint8(0)
	for _, c := range st.store {
		lastRevision = max(lastRevision, c.revision)
	}
	for _, w := range t.writes[:t.writeCount] {
		cell := modelCell{}
		if w.value.present > 0 {
			cell = modelCell{lastRevision + 1, w.value}
		}
		st.store[w.key] = cell
		if st.stalledNode == uint8(sender)+1 {
			st.stalledView[w.key] = cell // a node knows its own changes at once
			if w.key >= firstLogSlot && w.key < firstInboxSlot {
				st.ownWritesInStall[w.key-firstLogSlot] = true
			}
		}
		if w.key >= firstFinal && w.key < firstLogSlot {
			st.ended[w.key-firstFinal] = true
		}
		if w.key == 0 && w.value.present > 0 {
			st.ownerChanges++
		}
	}
	log = st.store.log()
	for j := range modelJobs {
		view := st.store.viewJob(log, j)
		st.accepted[j] = st.accepted[j] || view.open
		switch {
		case st.accepted[j] && !view.open && !st.ended[j]:
			return true, fmt.Sprintf("job %d is lost", j)
		case st.ended[j] && view.open:
			return true, fmt.Sprintf("job %d is open after it ended", j)
		case before[j].task > 0 && view.task > 0 && before[j].task != view.task && view.open:
			return true, fmt.Sprintf("job %d is placed with attempt %d while attempt %d is placed", j, view.task, before[j].task)
		case int(t.job) != j+1 && before[j].open && view.open && before[j].task != view.task:
			return true, fmt.Sprintf("job %d changes from attempt %d to %d by a transaction of another job", j, before[j].task, view.task)
		case int(t.job) == j+1 && view.task != t.task:
			return true, fmt.Sprintf("job %d was stored with attempt %d and reads as %d", j, t.task, view.task)
		}
	}
	return true, ""
}

// renumberRevisions renumbers the revisions, because only their equality matters. States
// that differ in nothing else become equal.
func (st *modelState) renumberRevisions() {
	for key := range keyCount {
		var used [64]bool
		used[st.store[key].revision], used[st.stalledView[key].revision] = true, true
		for _, c := range st.delayedTxn.conds[:st.delayedTxn.condCount] {
			if int(c.key) == key {
				used[c.ver] = true
			}
		}
		var renumbered [64]uint8
		next := uint8(1)
		for v := 1; v < 64; v++ {
			if used[v] {
				renumbered[v] = next
				next++
			}
		}
		st.store[key].revision, st.stalledView[key].revision = renumbered[st.store[key].revision], renumbered[st.stalledView[key].revision]
		for i := range st.delayedTxn.conds[:st.delayedTxn.condCount] {
			if c := &st.delayedTxn.conds[i]; int(c.key) == key {
				c.ver = renumbered[c.ver]
			}
		}
	}
}

// successors calls visit for each state that one step can lead to, with the invariant that
// the step violates.
func (st *modelState) successors(omitted omittedRules, visit func(next modelState, step, wrong string)) {
	run := func(next modelState, t *modelTxn, sender int, step string) {
		if ok, wrong := next.execute(t, sender); ok {
			next.renumberRevisions()
			visit(next, step, wrong)
		}
	}
	add := func(next modelState, step string) {
		next.renumberRevisions()
		visit(next, step, "")
	}
	if st.delayedTxn.condCount > 0 {
		next := *st
		next.delayedTxn, next.waitingNode = modelTxn{}, 0
		run(next, &st.delayedTxn, -1, "the late one is executed")
	}
	for node := range modelNodes {
		next := *st
		switch {
		case st.stalledNode == uint8(node)+1:
			next.stalledNode, next.stalledView, next.ownWritesInStall = 0, modelStore{}, [modelSlots]bool{}
			add(next, fmt.Sprint(node, " goes on"))
		case st.stalledNode == 0 && st.stallCount == 0:
			next.stalledNode, next.stalledView, next.stallCount = uint8(node)+1, st.store, 1
			add(next, fmt.Sprint(node, " stands still"))
		}
		if st.waitingNode == uint8(node)+1 {
			next := *st
			next.waitingNode = 0
			add(next, fmt.Sprint(node, " starts anew"))
			st.eachTxnWhileWaiting(node, omitted, func(what string, t modelTxn) {
				run(*st, &t, node, fmt.Sprint(node, ": ", what))
			})
			continue // a waiting node sends nothing else
		}
		if st.store[0].value.present == uint8(node)+1 {
			run(*st, &modelTxn{writeCount: 1, writes: [3]modelWrite{{0, modelValue{}}}}, -1, fmt.Sprint(node, " loses its lease"))
		}
		st.eachTxn(node, omitted, func(what string, t modelTxn) {
			run(*st, &t, node, fmt.Sprint(node, ": ", what))
			if st.delayCount == 0 {
				next := *st
				next.delayedTxn, next.waitingNode, next.delayCount = t, uint8(node)+1, 1
				add(next, fmt.Sprint(node, " sends ", what))
			}
		})
	}
}

// explore visits states in breadth-first order, at most maxStates. It returns their number
// and the first violation with the steps that lead to it.
func explore(maxStates int, omitted omittedRules) (states int, violation string) {
	type origin struct {
		before int32
		step   string
	}
	seen := map[modelState]struct{}{{}: {}}
	queue, path := []modelState{{}}, []origin{{-1, "begin"}}
	for at := 0; at < len(queue); at++ {
		queue[at].successors(omitted, func(next modelState, step, w string) {
			if w != "" && violation == "" {
				violation = step
				for i := int32(at); i >= 0; i = path[i].before {
					violation = path[i].step + "; " + violation
				}
				violation = w + ": " + violation
			}
			if _, known := seen[next]; !known && len(seen) < maxStates {
				seen[next] = struct{}{}
				queue = append(queue, next)
				path = append(path, origin{int32(at), step})
			}
		})
		if violation != "" {
			break
		}
	}
	return len(seen), violation
}

// walk takes random steps, which lead further than a full exploration can.
func walk(seed uint64, steps int, omitted omittedRules) (violation string) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var st modelState
	trail := ""
	for range steps {
		var chosen modelState
		seen, chosenStep := 0, ""
		st.successors(omitted, func(next modelState, step, w string) {
			if w != "" && violation == "" {
				violation = fmt.Sprintf("%s (seed %d): %s%s", w, seed, trail, step)
			}
			if seen++; rng.IntN(seen) == 0 {
				chosen, chosenStep = next, step
			}
		})
		if seen == 0 || violation != "" {
			return violation
		}
		st, trail = chosen, trail+chosenStep+"; "
	}
	return ""
}

// replay takes the named steps; ok is false if one of them is not possible.
func replay(omitted omittedRules, steps ...string) (violation string, ok bool) {
	var st modelState
	for _, want := range steps {
		var next modelState
		found := false
		st.successors(omitted, func(s modelState, step, w string) {
			if step == want && !found {
				next, violation, found = s, w, true
			}
		})
		if !found || violation != "" {
			return violation, found
		}
		st = next
	}
	return "", true
}

// No step of the model may lose a job, reopen an ended job, place a task that is already
// placed, or store a state that reads back differently. This is checked for all states
// reached in few steps and on long random walks. Each of six omitted rules must be
// detected: two by random walks, four by given histories that are too long to be found at
// random.
func TestSmallMachine(t *testing.T) {
	maxStates, walks := 40_000, uint64(2_000)
	if *deep {
		maxStates, walks = 4_000_000, 300_000
	}
	states, violation := explore(maxStates, omittedRules{})
	if violation != "" {
		t.Fatal(violation)
	}
	for seed := range walks {
		if violation := walk(seed, 60, omittedRules{}); violation != "" {
			t.Fatal(violation)
		}
	}
	t.Logf("%d states, %d walks", states, walks)
	for name, omitted := range map[string]omittedRules{"nothing is carried forward": {noCarry: true}, "tombstones are dropped while an inbox mentions the job": {noTombstones: true}} {
		found := false
		for seed := uint64(0); seed < walks && !found; seed++ {
			if violation := walk(seed, 60, omitted); violation != "" {
				found = true
				t.Logf("%s: found with seed %d: %s", name, seed, violation)
			}
		}
		if !found {
			t.Errorf("%s: not detected", name)
		}
	}
	for name, c := range map[string]struct {
		omitted omittedRules
		refused bool // with the rule, the last step is not possible
		steps   []string
	}{
		// A node that has not read the last entry takes the partition, knows its own
		// change at once, and stores a record.
		"a record is stored without the condition on the log slot": {omittedRules{noSlotCondition: true}, true, []string{"0: accept 0", "1 stands still", "0: take", "0: entry: task 1 of 0", "0 loses its lease", "1: take", "1: record: task 2 of 0"}},
		// A node that has not read of a job accepts it again after all other values that
		// mention it are gone.
		"no condition that the job has not ended": {omittedRules{noFinalCondition: true}, true, []string{"1 stands still", "0: take", "0: accept 0", "0: entry: task 1 of 0", "0: end 0", "0: accept 1", "0: accept 2",
			"0: entry: task 1 of 1", "0: entry: task 1 of 2", "1: accept 0"}},
		// A stalled owner ends a job that another node had accepted as well.
		"a tombstone is dropped by an owner whose replica may be behind": {omittedRules{noReplicaCheck: true}, false, []string{"1 stands still", "0: accept 0", "1: accept 0", "1: take", "1: fold accepted 0", "1: cancel 0",
			"1: accept 2", "1: end 0", "1: remove record 0", "1: accept 1", "1: entry: task 1 of 1", "1: entry: task 0 of 1"}},
		// An owner carries a placement forward in an entry, and while that entry is in
		// flight stores in the job's own record that the task was unplaced.
		"an entry carries forward a state that the job's own record has replaced": {omittedRules{noRecordConditions: true}, true, []string{"0: take", "0: accept 0", "0: accept 1", "0: fold accepted 0", "0: entry: task 1 of 0", "0: entry: task 1 of 1",
			"0 sends entry: task 0 of 1", "0: record: task 0 of 0", "the late one is executed"}},
	} {
		if violation, _ := replay(c.omitted, c.steps...); violation == "" {
			t.Errorf("%s: not detected", name)
		} else {
			t.Logf("%s: %s", name, violation)
		}
		if violation, ok := replay(omittedRules{}, c.steps...); ok == c.refused || violation != "" {
			t.Errorf("%s: with the rule, all steps are possible: %v (%s)", name, ok, violation)
		}
	}
}

// deep is for long manual runs: go test ./internal/coordination/packed -run SmallMachine
// -deep.
var deep = flag.Bool("deep", false, "explore more states of the model")
