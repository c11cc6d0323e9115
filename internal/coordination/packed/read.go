package packed

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// State is all that is stored of open jobs, read without a node: for people and checks.
type State struct {
	Jobs         map[string]*Job
	Ended        map[string]string // jobs that a log says have ended
	Logs         map[int]*Ring
	Inboxes      map[string]*Ring
	Machines     map[string]bool        // with a record
	ValuesByKind map[string]ValueTotals // of values: how many, and bytes
	Problems     []Problem
}

// ValueTotals is how much of something is stored.
type ValueTotals struct {
	Values int `json:"values"`
	Bytes  int `json:"bytes"`
}

// Problem is something in the stored state that is not as it should be.
type Problem struct {
	Key    string `json:"key"`
	Reason string `json:"why"`
}

// Job is an open job as it is stored.
type Job struct {
	ID          string            `json:"id"`
	Spec        *protocol.JobSpec `json:"submission,omitempty"`
	SubmittedMS int64             `json:"submitted_ms"`
	Cancelled   bool              `json:"cancelled,omitempty"` // or to be
	HasRecord   bool              `json:"record"`              // it has a record of its own
	Inbox       string            `json:"inbox,omitempty"`     // of the node that accepted it, if it is in one
	NextAttempt uint64            `json:"next_try"`
	Done        int               `json:"done"`
	Placed      int               `json:"placed"`
	Waiting     int               `json:"waiting"`
	Tasks       []Task            `json:"tasks,omitempty"` // that have a machine
	Ticket      bool              `json:"ticket,omitempty"`

	all  []Task
	next uint64
}

// Task is a task that has a machine.
type Task struct {
	Task    int    `json:"task"`
	Attempt uint64 `json:"try"`
	Machine string `json:"machine"`
	done    bool
	as      uint64 // of which entry
	told    bool   // by it, and not by a record that is as late
}

// reader puts a State together, and lists what is not as it should be.
type reader struct {
	*State
	slots  int
	chunks map[string]protocol.Chunk // of jobs' records, by key, beyond the heads
}

// ReadState puts together what is stored under the root; rings have so many slots.
func ReadState(items []storage.Item, slots int) *State {
	r := &reader{slots: slots, chunks: map[string]protocol.Chunk{}, State: &State{Jobs: map[string]*Job{}, Ended: map[string]string{},
		Logs: map[int]*Ring{}, Inboxes: map[string]*Ring{}, Machines: map[string]bool{}, ValuesByKind: map[string]ValueTotals{}}}
	for _, it := range items {
		r.value(it)
	}
	r.endings()
	r.accepted()
	r.chunksOfJobs()
	for id := range r.Ended {
		delete(r.Jobs, id)
	}
	r.overlays()
	r.finish()
	return r.State
}

func (r *reader) bad(key, format string, a ...any) {
	r.Problems = append(r.Problems, Problem{key, fmt.Sprintf(format, a...)})
}

// value takes in one stored value.
func (r *reader) value(it storage.Item) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(it.Key, protocol.WatchedRoot), "/")
	k := r.ValuesByKind[kind]
	r.ValuesByKind[kind] = ValueTotals{k.Values + 1, k.Bytes + len(it.Value)}
	switch kind {
	case "jobs":
		if err := r.jobValue(it); err != nil {
			r.bad(it.Key, "not understood: %v", err)
		}
	case "machines":
		r.machines(it)
	case "log":
		share, slot, ok := ParseLogKey(it.Key)
		r.entry(it, ringOf(r.Logs, share, r.slots), slot, ok)
	case "in":
		node, slot, ok := ParseInboxKey(it.Key)
		r.entry(it, ringOf(r.Inboxes, node, r.slots), slot, ok)
	}
}

// jobValue takes in a job's head, or keeps another chunk of it until all heads are there.
func (r *reader) jobValue(it storage.Item) error {
	id, _, isChunk := strings.Cut(strings.TrimPrefix(it.Key, protocol.JobPrefix), "/")
	if isChunk {
		var c protocol.Chunk
		if _, _, err := chunkKey(it.Key); err != nil {
			return err
		}
		if err := json.Unmarshal(it.Value, &c); err != nil {
			return err
		}
		r.chunks[it.Key] = c
		return nil
	}
	var head protocol.JobRecord
	if err := json.Unmarshal(it.Value, &head); err != nil {
		return err
	}
	if head.Spec == nil && head.Ticket == nil {
		return errors.New("neither a submission nor a ticket")
	}
	j := r.job(id)
	j.HasRecord, j.SubmittedMS, j.Ticket = true, head.SubmittedMS, head.Ticket != nil
	j.Cancelled, j.next = head.Cancelled || head.CancelRequested, head.NextAttempt
	if head.Spec != nil {
		j.take(head.Spec)
		j.base(0, &head.Chunk, func(why string) { r.bad(it.Key, "%s", why) })
	}
	return nil
}

// chunkKey reads the key of a chunk beyond the head.
func chunkKey(key string) (id string, chunk int, err error) {
	id, num, _ := strings.Cut(strings.TrimPrefix(key, protocol.JobPrefix), "/")
	chunk, err = strconv.Atoi(num)
	if err == nil && chunk < 1 {
		err = fmt.Errorf("chunk %d", chunk)
	}
	return id, chunk, err
}

func (r *reader) machines(it storage.Item) {
	var b protocol.BatchRecord
	if err := json.Unmarshal(it.Value, &b); err != nil {
		r.bad(it.Key, "not understood: %v", err)
	}
	for _, m := range b.Machines {
		r.Machines[m.Name] = true
	}
}

// ringOf is the ring of a share's log or of a node's inbox.
func ringOf[K comparable](rings map[K]*Ring, of K, slots int) *Ring {
	if rings[of] == nil {
		rings[of] = NewRing(slots)
	}
	return rings[of]
}

// entry takes a slot's value into its ring.
func (r *reader) entry(it storage.Item, ring *Ring, slot int, ok bool) {
	if !ok {
		r.bad(it.Key, "not a slot")
		return
	}
	e, err := ParseEntry(it.Value)
	if err == nil {
		_, err = ring.Put(slot, e)
	}
	if err != nil {
		r.bad(it.Key, "not understood: %v", err)
	}
}

// endings finds the jobs that logs say have ended, and entries that are missing.
func (r *reader) endings() {
	for share, log := range r.Logs {
		if !log.Complete() {
			r.bad(protocol.LogRoot+strconv.Itoa(share), "entry %d is missing, and entry %d is there", log.CompleteUpTo()+1, log.LastSeq())
		}
		log.EachEntry(func(e *protocol.Entry) {
			for i := range e.Parts {
				if p := &e.Parts[i]; p.FinalStatus != "" {
					r.Ended[p.Job] = p.FinalStatus
				}
			}
		})
	}
}

// accepted takes in the submissions of inboxes, unless a record of its own is later.
func (r *reader) accepted() {
	for node, inbox := range r.Inboxes {
		inbox.EachEntry(func(e *protocol.Entry) {
			for _, a := range e.Jobs {
				if r.Ended[a.Spec.ID] != "" {
					continue
				}
				j := r.job(a.Spec.ID)
				j.Inbox = node
				if !j.HasRecord {
					j.take(a.Spec)
					j.SubmittedMS, j.next = a.SubmittedMS, max(1, j.next)
				}
			}
		})
	}
}

func (r *reader) chunksOfJobs() {
	for key, c := range r.chunks {
		id, chunk, _ := chunkKey(key)
		if j := r.Jobs[id]; j != nil && j.Spec != nil {
			j.base(chunk, &c, func(why string) { r.bad(key, "%s", why) })
		}
	}
}

// overlays puts what the logs say over the jobs' records.
func (r *reader) overlays() {
	for share, log := range r.Logs {
		log.EachEntry(func(e *protocol.Entry) {
			for i := range e.Parts {
				p := &e.Parts[i]
				if j := r.Jobs[p.Job]; j != nil && j.Spec != nil {
					j.overlay(e, p, func(why string) {
						r.bad(protocol.LogKey(share, int(e.Seq%uint64(r.slots))), "%s: %s", p.Job, why)
					})
				}
			}
		})
	}
}

func (s *State) job(id string) *Job {
	j := s.Jobs[id]
	if j == nil {
		j = &Job{ID: id}
		s.Jobs[id] = j
	}
	return j
}

func (j *Job) take(spec *protocol.JobSpec) {
	if j.Spec == nil {
		j.Spec = spec
		j.all = make([]Task, spec.Tasks)
	}
}

// base takes in a chunk of a job's own record.
func (j *Job) base(k int, c *protocol.Chunk, bad func(why string)) {
	lo, hi := k*protocol.TasksPerChunk, min(len(j.all), (k+1)*protocol.TasksPerChunk)
	for i := lo; i < hi; i++ {
		j.all[i].as = c.LogSeq
	}
	for _, d := range c.Done {
		if d[0] < lo || d[1] >= hi || d[0] > d[1] {
			bad(fmt.Sprintf("done tasks %v are not in %d to %d", d, lo, hi-1))
			continue
		}
		for i := d[0]; i <= d[1]; i++ {
			j.all[i].done = true
		}
	}
	for _, p := range c.Placed {
		if p.Task < lo || p.Task >= hi {
			bad(fmt.Sprintf("task %d is not in %d to %d", p.Task, lo, hi-1))
		} else if t := &j.all[p.Task]; t.done {
			bad(fmt.Sprintf("task %d is done, and on %s", p.Task, p.Machine))
		} else {
			t.Attempt, t.Machine = p.Attempt, p.Machine
			j.next = max(j.next, p.Attempt+1)
		}
	}
}

// overlay takes in what an entry says.
func (j *Job) overlay(e *protocol.Entry, p *protocol.Part, bad func(why string)) {
	j.next = max(j.next, p.NextAttempt)
	set := func(first, last int, to Task) {
		if first < 0 || last >= len(j.all) || first > last {
			bad(fmt.Sprintf("tasks %d to %d of %d", first, last, len(j.all)))
			return
		}
		for i := first; i <= last; i++ {
			if t := &j.all[i]; t.as < e.Seq || t.as == e.Seq && t.told {
				*t = to
			}
		}
	}
	for _, r := range p.Placed {
		set(int(r[0]), int(r[1]), Task{Attempt: r[2], Machine: e.Machines[r[3]], as: e.Seq, told: true})
		if r[2] >= j.next {
			bad(fmt.Sprintf("try %d, and the next one is %d", r[2], j.next))
		}
	}
	for _, g := range p.Unplaced {
		set(g[0], g[1], Task{as: e.Seq, told: true})
	}
	for _, d := range p.Done {
		set(d[0], d[1], Task{done: true, as: e.Seq, told: true})
	}
}

// DoneTasks are the tasks that are done.
func (j *Job) DoneTasks() (out []int) {
	for i, t := range j.all {
		if t.done {
			out = append(out, i)
		}
	}
	return out
}

// finish counts each job's tasks and sorts the problems.
func (r *reader) finish() {
	for id, j := range r.Jobs {
		j.NextAttempt = j.next
		for i, t := range j.all {
			switch {
			case t.done:
				j.Done++
			case t.Machine != "":
				j.Placed++
				t.Task = i
				j.Tasks = append(j.Tasks, t)
				r.checkPlaced(id, j, t)
			default:
				j.Waiting++
			}
		}
	}
	slices.SortFunc(r.Problems, func(a, b Problem) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Reason, b.Reason)) })
}

func (r *reader) checkPlaced(id string, j *Job, t Task) {
	if t.Attempt >= j.next {
		r.bad(protocol.JobKey(id), "task %d has try %d, and the next one is %d", t.Task, t.Attempt, j.next)
	}
	if !r.Machines[t.Machine] {
		r.bad(protocol.JobKey(id), "task %d is on %s, which has no record: its holder returns it", t.Task, t.Machine)
	}
}
