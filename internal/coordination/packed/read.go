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

// State is the stored state of all open jobs, read without a node, for operators and
// checks.
type State struct {
	Jobs         map[string]*Job
	Ended        map[string]string      // by job: how it ended, according to a log
	Logs         map[int]*Ring          // by partition
	Inboxes      map[string]*Ring       // by node
	Machines     map[string]bool        // machines that have a record
	ValuesByKind map[string]ValueTotals // number and size of the values, by the first element of their key
	Problems     []Problem
}

// ValueTotals is the number and size of stored values.
type ValueTotals struct {
	Values int `json:"values"`
	Bytes  int `json:"bytes"`
}

// Problem is an inconsistency in the stored state.
type Problem struct {
	Key    string `json:"key"`
	Reason string `json:"why"`
}

// Job is an open job as stored.
type Job struct {
	ID          string            `json:"id"`
	Spec        *protocol.JobSpec `json:"submission,omitempty"`
	SubmittedMS int64             `json:"submitted_ms"`
	Cancelled   bool              `json:"cancelled,omitempty"` // or its cancellation was requested
	HasRecord   bool              `json:"record"`              // it has a record of its own
	Inbox       string            `json:"inbox,omitempty"`     // node that accepted it, if it is in that node's inbox
	NextAttempt uint64            `json:"next_try"`
	Done        int               `json:"done"`
	Placed      int               `json:"placed"`
	Waiting     int               `json:"waiting"`
	Tasks       []Task            `json:"tasks,omitempty"` // tasks that have a machine
	Ticket      bool              `json:"ticket,omitempty"`

	allTasks    []Task
	nextAttempt uint64
}

// Task is a task that has a machine.
type Task struct {
	Task      int    `json:"task"`
	Attempt   uint64 `json:"try"`
	Machine   string `json:"machine"`
	done      bool
	asOf      uint64 // number of the log entry that gave this state
	fromEntry bool   // the state came from that entry, not from a record as late as it
}

// reader builds a State and collects the inconsistencies.
type reader struct {
	*State
	slots  int
	chunks map[string]protocol.Chunk // by key, without the chunks in the jobs' heads
}

// ReadState builds the state from all values stored under the root; rings have the given
// number of slots.
func ReadState(items []storage.Item, slots int) *State {
	r := &reader{slots: slots, chunks: map[string]protocol.Chunk{}, State: &State{Jobs: map[string]*Job{}, Ended: map[string]string{},
		Logs: map[int]*Ring{}, Inboxes: map[string]*Ring{}, Machines: map[string]bool{}, ValuesByKind: map[string]ValueTotals{}}}
	for _, it := range items {
		r.addItem(it)
	}
	r.collectEnds()
	r.applyInboxes()
	r.applyChunks()
	for id := range r.Ended {
		delete(r.Jobs, id)
	}
	r.applyLogs()
	r.countTasks()
	return r.State
}

func (r *reader) addProblem(key, format string, args ...any) {
	r.Problems = append(r.Problems, Problem{key, fmt.Sprintf(format, args...)})
}

// addItem adds one stored value.
func (r *reader) addItem(it storage.Item) {
	prefix, _, _ := strings.Cut(strings.TrimPrefix(it.Key, protocol.WatchedRoot), "/")
	totals := r.ValuesByKind[prefix]
	r.ValuesByKind[prefix] = ValueTotals{totals.Values + 1, totals.Bytes + len(it.Value)}
	switch prefix {
	case "jobs":
		if err := r.addJobItem(it); err != nil {
			r.addProblem(it.Key, "not understood: %v", err)
		}
	case "machines":
		r.addMachineBatch(it)
	case "log":
		partition, slot, ok := ParseLogKey(it.Key)
		r.addEntry(it, findOrAddRing(r.Logs, partition, r.slots), slot, ok)
	case "in":
		node, slot, ok := ParseInboxKey(it.Key)
		r.addEntry(it, findOrAddRing(r.Inboxes, node, r.slots), slot, ok)
	}
}

// addJobItem adds the head of a job, or keeps a further chunk until all heads have been
// added.
func (r *reader) addJobItem(it storage.Item) error {
	id, _, isChunk := strings.Cut(strings.TrimPrefix(it.Key, protocol.JobPrefix), "/")
	if isChunk {
		var c protocol.Chunk
		if _, _, err := parseChunkKey(it.Key); err != nil {
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
		return errors.New("job record has neither a submission nor a ticket")
	}
	j := r.findOrAddJob(id)
	j.HasRecord, j.SubmittedMS, j.Ticket = true, head.SubmittedMS, head.Ticket != nil
	j.Cancelled, j.nextAttempt = head.Cancelled || head.CancelRequested, head.NextAttempt
	if head.Spec != nil {
		j.setSpec(head.Spec)
		j.applyChunk(0, &head.Chunk, func(why string) { r.addProblem(it.Key, "%s", why) })
	}
	return nil
}

// parseChunkKey parses the key of a chunk other than the one in the head.
func parseChunkKey(key string) (id string, chunk int, err error) {
	id, number, _ := strings.Cut(strings.TrimPrefix(key, protocol.JobPrefix), "/")
	chunk, err = strconv.Atoi(number)
	if err == nil && chunk < 1 {
		err = fmt.Errorf("invalid chunk number %d", chunk)
	}
	return id, chunk, err
}

// addMachineBatch adds a batch of machine records.
func (r *reader) addMachineBatch(it storage.Item) {
	var b protocol.BatchRecord
	if err := json.Unmarshal(it.Value, &b); err != nil {
		r.addProblem(it.Key, "not understood: %v", err)
	}
	for _, m := range b.Machines {
		r.Machines[m.Name] = true
	}
}

// findOrAddRing returns the ring of a partition's log or of a node's inbox.
func findOrAddRing[K comparable](rings map[K]*Ring, owner K, slots int) *Ring {
	if rings[owner] == nil {
		rings[owner] = NewRing(slots)
	}
	return rings[owner]
}

// addEntry adds the value of a slot to its ring.
func (r *reader) addEntry(it storage.Item, ring *Ring, slot int, ok bool) {
	if !ok {
		r.addProblem(it.Key, "not the key of a slot")
		return
	}
	e, err := ParseEntry(it.Value)
	if err == nil {
		_, err = ring.Put(slot, e)
	}
	if err != nil {
		r.addProblem(it.Key, "not understood: %v", err)
	}
}

// collectEnds collects the jobs that have ended according to the logs, and reports missing
// entries.
func (r *reader) collectEnds() {
	for partition, log := range r.Logs {
		if !log.Complete() {
			r.addProblem(protocol.LogRoot+strconv.Itoa(partition), "entry %d is missing, and entry %d is there", log.CompleteUpTo()+1, log.LastSeq())
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

// applyInboxes adds the jobs submitted through inboxes; the record of a job takes
// precedence.
func (r *reader) applyInboxes() {
	for node, inbox := range r.Inboxes {
		inbox.EachEntry(func(e *protocol.Entry) {
			for _, a := range e.Jobs {
				if r.Ended[a.Spec.ID] != "" {
					continue
				}
				j := r.findOrAddJob(a.Spec.ID)
				j.Inbox = node
				if !j.HasRecord {
					j.setSpec(a.Spec)
					j.SubmittedMS, j.nextAttempt = a.SubmittedMS, max(1, j.nextAttempt)
				}
			}
		})
	}
}

// applyChunks adds the chunks that are not in the heads.
func (r *reader) applyChunks() {
	for key, c := range r.chunks {
		id, chunk, _ := parseChunkKey(key)
		if j := r.Jobs[id]; j != nil && j.Spec != nil {
			j.applyChunk(chunk, &c, func(why string) { r.addProblem(key, "%s", why) })
		}
	}
}

// applyLogs applies the entries of the logs on top of the jobs' records.
func (r *reader) applyLogs() {
	for partition, log := range r.Logs {
		log.EachEntry(func(e *protocol.Entry) {
			for i := range e.Parts {
				p := &e.Parts[i]
				if j := r.Jobs[p.Job]; j != nil && j.Spec != nil {
					j.applyPart(e, p, func(why string) {
						r.addProblem(protocol.LogKey(partition, int(e.Seq%uint64(r.slots))), "%s: %s", p.Job, why)
					})
				}
			}
		})
	}
}

// findOrAddJob returns the job with the given id.
func (s *State) findOrAddJob(id string) *Job {
	j := s.Jobs[id]
	if j == nil {
		j = &Job{ID: id}
		s.Jobs[id] = j
	}
	return j
}

// setSpec sets the submission, unless the job has one.
func (j *Job) setSpec(spec *protocol.JobSpec) {
	if j.Spec == nil {
		j.Spec = spec
		j.allTasks = make([]Task, spec.Tasks)
	}
}

// applyChunk applies a chunk of the job's own record.
func (j *Job) applyChunk(index int, c *protocol.Chunk, report func(why string)) {
	first, end := index*protocol.TasksPerChunk, min(len(j.allTasks), (index+1)*protocol.TasksPerChunk)
	for i := first; i < end; i++ {
		j.allTasks[i].asOf = c.LogSeq
	}
	for _, d := range c.Done {
		if d[0] < first || d[1] >= end || d[0] > d[1] {
			report(fmt.Sprintf("tasks %v are recorded as done but are not in %d to %d", d, first, end-1))
			continue
		}
		for i := d[0]; i <= d[1]; i++ {
			j.allTasks[i].done = true
		}
	}
	for _, p := range c.Placed {
		if p.Task < first || p.Task >= end {
			report(fmt.Sprintf("task %d is not in %d to %d", p.Task, first, end-1))
		} else if t := &j.allTasks[p.Task]; t.done {
			report(fmt.Sprintf("task %d is recorded as done and as placed on %s", p.Task, p.Machine))
		} else {
			t.Attempt, t.Machine = p.Attempt, p.Machine
			j.nextAttempt = max(j.nextAttempt, p.Attempt+1)
		}
	}
}

// applyPart applies a part of a log entry.
func (j *Job) applyPart(e *protocol.Entry, p *protocol.Part, report func(why string)) {
	j.nextAttempt = max(j.nextAttempt, p.NextAttempt)
	set := func(first, last int, state Task) {
		if first < 0 || last >= len(j.allTasks) || first > last {
			report(fmt.Sprintf("range %d to %d is not within the %d tasks", first, last, len(j.allTasks)))
			return
		}
		for i := first; i <= last; i++ {
			if t := &j.allTasks[i]; t.asOf < e.Seq || t.asOf == e.Seq && t.fromEntry {
				*t = state
			}
		}
	}
	for _, r := range p.Placed {
		set(int(r[0]), int(r[1]), Task{Attempt: r[2], Machine: e.Machines[r[3]], asOf: e.Seq, fromEntry: true})
		if r[2] >= j.nextAttempt {
			report(fmt.Sprintf("try %d, and the next one is %d", r[2], j.nextAttempt))
		}
	}
	for _, g := range p.Unplaced {
		set(g[0], g[1], Task{asOf: e.Seq, fromEntry: true})
	}
	for _, d := range p.Done {
		set(d[0], d[1], Task{done: true, asOf: e.Seq, fromEntry: true})
	}
}

// DoneTasks returns the tasks that are done.
func (j *Job) DoneTasks() (tasks []int) {
	for i, t := range j.allTasks {
		if t.done {
			tasks = append(tasks, i)
		}
	}
	return tasks
}

// countTasks counts the tasks of each job and sorts the problems.
func (r *reader) countTasks() {
	for id, j := range r.Jobs {
		j.NextAttempt = j.nextAttempt
		for i, t := range j.allTasks {
			switch {
			case t.done:
				j.Done++
			case t.Machine != "":
				j.Placed++
				t.Task = i
				j.Tasks = append(j.Tasks, t)
				r.checkPlacedTask(id, j, t)
			default:
				j.Waiting++
			}
		}
	}
	slices.SortFunc(r.Problems, func(a, b Problem) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Reason, b.Reason)) })
}

// checkPlacedTask checks the attempt and the machine of a placed task.
func (r *reader) checkPlacedTask(id string, j *Job, t Task) {
	if t.Attempt >= j.nextAttempt {
		r.addProblem(protocol.JobKey(id), "task %d has try %d, and the next one is %d", t.Task, t.Attempt, j.nextAttempt)
	}
	if !r.Machines[t.Machine] {
		r.addProblem(protocol.JobKey(id), "task %d is on %s, which has no record: the partition's owner returns it", t.Task, t.Machine)
	}
}
