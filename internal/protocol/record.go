package protocol

import (
	"fmt"
	"strconv"
)

// Keys in the state service. Everything under Root is watched by every node;
// what is final moves to FinalKey, so that the watched part stays small.
const (
	WatchedRoot       = "d/"
	TokenCounterKey   = WatchedRoot + "counter"
	JobPrefix         = WatchedRoot + "jobs/"
	OwnerRoot         = WatchedRoot + "shares/"
	MachineRoot       = WatchedRoot + "machines/"
	NodeRoot          = WatchedRoot + "nodes/"
	LivenessCheckRoot = WatchedRoot + "doubts/"
	MovesKey          = WatchedRoot + "moves"
	PolicyKey         = WatchedRoot + "settings"
	RentalFenceKey    = WatchedRoot + "rentals"
	CatalogKey        = WatchedRoot + "catalog"
	ClassesKey        = WatchedRoot + "classes"
	LogRoot           = WatchedRoot + "log/"
	InboxRoot         = WatchedRoot + "in/"
	FormatKey         = WatchedRoot + "format"
	FinalRoot         = "f/"
	TicketRoot        = "t/"
	HistoryRoot       = "l/"
)

// TasksPerChunk is how many tasks share one stored value: 128 placements with
// long machine names stay well below the smallest value limit.
const TasksPerChunk = 128

// JobKey is the key of a job's head, which holds chunk 0.
func JobKey(id string) string { return JobPrefix + id }

// ChunkKey is the key of a job's chunk k of tasks.
func ChunkKey(id string, k int) string {
	if k == 0 {
		return JobKey(id)
	}
	return JobPrefix + id + "/" + strconv.Itoa(k)
}

// LogKey is the key of a slot of a share's log.
func LogKey(share, slot int) string { return LogRoot + strconv.Itoa(share) + "/" + strconv.Itoa(slot) }

// InboxKey is the key of a slot of the jobs that a node accepted.
func InboxKey(node string, slot int) string { return InboxRoot + node + "/" + strconv.Itoa(slot) }

// FinalKey is the key of what a job became in the end.
func FinalKey(id string) string { return FinalRoot + id }

// TicketKey is the key of a ticket's template and arguments, which are written once.
func TicketKey(id string) string { return TicketRoot + id }

// OwnerKey is the key that names the holder of a share.
func OwnerKey(share int) string { return OwnerRoot + strconv.Itoa(share) + "/holder" }

// BatchKey is the key of a batch of machines.
func BatchKey(name string) string { return MachineRoot + name }

// NodeKey is the key that says a node lives.
func NodeKey(name string) string { return NodeRoot + name }

// LivenessCheckKey is the key by which a node that doubts whether another one lives asks it.
func LivenessCheckKey(name string) string { return LivenessCheckRoot + name }

// LivenessCheckRecord is such a question. Who is asked answers by writing its own record anew.
type LivenessCheckRecord struct {
	RequestedBy string `json:"by"`
}

// Placement records that a task may be on a machine. It is stored before the
// start is commanded and removed only once the task is known to be gone.
type Placement struct {
	Task    int    `json:"i"`
	Attempt uint64 `json:"a"`
	Machine string `json:"m"`
}

// Chunk is the state of up to ChunkTasks tasks: placements, and done ranges
// (first and last task).
type Chunk struct {
	Placed []Placement `json:"p,omitempty"`
	Done   [][2]int    `json:"d,omitempty"`
	// Errors are tasks of a ticket's step that ended with an error, and how often.
	Errors [][2]int `json:"q,omitempty"`
	// LogSeq is the entry of the share's log up to which this is how the tasks are.
	LogSeq uint64 `json:"v,omitempty"`
}

// EntryVersion is the version of entries that this release writes and understands.
const EntryVersion = 1

// Entry is a value that tells of many jobs: what is new of jobs of a share, in its log,
// written by its holder alone; or jobs that a node accepted, in its inbox. Entries are
// numbered; a slot is written again when nothing in it is needed any more that the new
// entry does not say.
type Entry struct {
	Version  int           `json:"v"`
	Seq      uint64        `json:"s"`
	Machines []string      `json:"m,omitempty"`
	Parts    []Part        `json:"p,omitempty"`
	Jobs     []AcceptedJob `json:"a,omitempty"`
}

// Part is how some tasks of a job are from then on, or that it has ended.
type Part struct {
	Job         string        `json:"j"`
	NextAttempt uint64        `json:"n,omitempty"` // as in JobRecord
	Tries       int           `json:"e,omitempty"`
	LostRuns    int           `json:"l,omitempty"`
	LastLostMS  int64         `json:"u,omitempty"`
	Placed      []PlacedRange `json:"p,omitempty"`
	Unplaced    [][2]int      `json:"w,omitempty"` // first and last of tasks that wait again
	Done        [][2]int      `json:"d,omitempty"`
	FinalStatus string        `json:"x,omitempty"` // what the job became: f/<id> says so too
	Tasks       int           `json:"t,omitempty"` // of one that has ended
}

// PlacedRange is tasks with the same attempt on one machine: the first and the last task, the
// attempt, and the machine's number in Entry.Machines.
type PlacedRange [4]uint64

// AcceptedJob is a job that a node accepted.
type AcceptedJob struct {
	Spec        *JobSpec `json:"s"`
	SubmittedMS int64    `json:"t"`
}

// FormatRecord is under FormatKey: whether entries are written.
type FormatRecord struct {
	Packed bool `json:"packed"`
}

// JobRecord is a job's head.
type JobRecord struct {
	Spec            *JobSpec `json:"s"`
	SubmittedMS     int64    `json:"t"`
	Cancelled       bool     `json:"x,omitempty"`
	CancelRequested bool     `json:"o,omitempty"` // to be cancelled; nobody was told that it is
	NextAttempt     uint64   `json:"n"`
	Tries           int      `json:"e,omitempty"` // of a job that fails on every machine
	Claim           uint32   `json:"g,omitempty"` // of a job that came through the gateway: the site's claim on it
	Step            *StepRef `json:"k,omitempty"` // of a ticket's step
	Failed          bool     `json:"f,omitempty"` // of a ticket's step: it is to end, since the ticket or it has failed
	// LostRuns is how many runs were lost with their machine or lease, and when the last was:
	// written with the changes that a loss takes anyway.
	LostRuns   int   `json:"l,omitempty"`
	LastLostMS int64 `json:"u,omitempty"`
	// Ticket makes this a ticket's record, which has no Spec and no tasks of its own: a
	// version that knows no tickets leaves it alone.
	Ticket *TicketRecord `json:"w,omitempty"`
	Chunk
}

// StepRef ties a job to the step of a ticket.
type StepRef struct {
	Ticket     string `json:"t"`
	Step       int    `json:"s"`
	MaxRetries int    `json:"r"` // of a task, after its first run
}

// TicketRecord is a render-farm ticket. Its steps are jobs of their own; what became
// of those that are over is here, so that who takes the share over reads nothing else.
type TicketRecord struct {
	Name          string       `json:"m"`
	Base          *JobSpec     `json:"b"` // what all steps have in common
	Terms         TicketTerms  `json:"a"`
	Steps         []TicketStep `json:"z"`
	FailureReason string       `json:"y,omitempty"` // why it fails
}

// TicketStep is a step: what its tasks take, and what became of it.
type TicketStep struct {
	Name         string   `json:"n"`
	Tasks        int      `json:"t"`
	Deps         []int    `json:"d,omitempty"`
	CPUs         float64  `json:"c"`
	GPUs         float64  `json:"g"`
	MemoryGB     float64  `json:"m"`
	Types        []string `json:"y,omitempty"`
	Zone         string   `json:"z,omitempty"`
	State        string   `json:"s,omitempty"` // JobDone, JobFailed or JobCancelled; empty: not over
	Done         int      `json:"o,omitempty"` // tasks, of one that is over
	Failed       int      `json:"f,omitempty"`
	FailedRanges [][2]int `json:"w,omitempty"` // the first ranges of them
}

// TicketTerms are what a ticket asked for and what its class granted.
type TicketTerms struct {
	MaxRetries        GrantedLimit `json:"maxRetriesPerTask"`
	MaxFailedTasks    GrantedLimit `json:"maxFailedTasksCount"`
	RequestedPriority string       `json:"askedUrgency,omitempty"` // if another than was granted
	Priority          string       `json:"urgency"`
}

// GrantedLimit is a number that was asked for, if it was, and what was granted.
type GrantedLimit struct {
	Requested *int `json:"asked,omitempty"`
	Granted   int  `json:"granted"`
}

// FinalRecord is what remains of a job.
type FinalRecord struct {
	Status string `json:"s"`
	Tasks  int    `json:"n"`
	// Claim is not 0 for a job of the gateway: then this says what became of the
	// site's claims up to it, and the gateway knows what became of the job.
	Claim uint32 `json:"g,omitempty"`
	// Ticket is what remains of a ticket.
	Ticket *TicketRecord `json:"w,omitempty"`
}

// OwnerRecord names the holder of a share. It is attached to the node's
// lease; Lease tells a restarted node from its former self.
type OwnerRecord struct {
	Node  string `json:"node"`
	Token uint64 `json:"token"`
	Lease uint64 `json:"lease"`
}

// BatchRecord assigns machines that were rented or moved together to a share,
// fenced by Token if they were moved. Only the share's holder changes it.
type BatchRecord struct {
	Partition int             `json:"share"`
	Token     uint64          `json:"token,omitempty"`
	Machines  []MachineRecord `json:"m"`
}

// MachineRecord is one machine of a batch. Share and Token are the batch's.
type MachineRecord struct {
	Partition int    `json:"-"`
	Token     uint64 `json:"-"`
	Name      string `json:"n"`
	Type      string `json:"y"`
	Zone      string `json:"z"`
	Spot      bool   `json:"p,omitempty"`
	Addr      string `json:"a,omitempty"`
}

// TokenCounterRecord is the never-deleted counter of tokens.
type TokenCounterRecord struct {
	Token uint64 `json:"token"`
}

// NodeRecord says that a node lives, on its lease.
type NodeRecord struct {
	Lease           uint64 `json:"lease"`
	Version         int    `json:"v,omitempty"` // of the records that it understands
	RequiresRecords bool   `json:"p,omitempty"` // it needs jobs in records of their own: it takes tickets, or jobs of a gateway
}

// RecordVersion is the version of the records of this release: 1 records rentals under
// the fence, and tells that a job is cancelled only when nothing of it is left; 2 reads
// and writes entries; 3 tells that a ticket is cancelled only when nothing of it is left.
const RecordVersion = 3

// PackedVersion is the first version that reads and writes entries.
const PackedVersion = 2

// CatalogRecord is the cloud's catalogue as a node last read it: who starts while the cloud
// does not answer knows the types of the machines that run.
type CatalogRecord struct {
	Types []MachineType `json:"types"`
}

// RentalFenceRecord is under FenceKey: a rental is recorded only if it is as it was when the
// rental was asked for, and it is raised before machines without a record are taken up.
type RentalFenceRecord struct {
	Generation uint64 `json:"round"`
}

// MovesRecord is the leader's last plan: machines that their holders are to hand to
// another share if they are still free.
type MovesRecord struct {
	Moves []Move `json:"moves"`
}

// Move hands a machine to a share, if Spare only if its own share does not expect
// to need it.
type Move struct {
	Machine        string `json:"m"`
	Partition      int    `json:"to"`
	OnlyIfUnneeded bool   `json:"s,omitempty"`
	Rank           int    `json:"r,omitempty"` // of the job that it is for: only less urgent work makes way
	Drain          bool   `json:"d,omitempty"` // nothing is stopped on it: it goes once its tasks have ended
}

// Check says what of a chunk can't be true.
func (c *Chunk) Check() error {
	for _, d := range c.Done {
		if d[0] < 0 || d[0] > d[1] || d[1] >= MaxTasks {
			return fmt.Errorf("done tasks %v", d)
		}
	}
	for _, p := range c.Placed {
		if p.Task < 0 || p.Task >= MaxTasks || p.Machine == "" {
			return fmt.Errorf("task %d on %q", p.Task, p.Machine)
		}
	}
	for _, e := range c.Errors {
		if e[0] < 0 || e[0] >= MaxTasks || e[1] < 0 {
			return fmt.Errorf("errors %v", e)
		}
	}
	return nil
}

// Check says what of a job's head can't be true. A head of neither a job nor a ticket that
// this release knows is left alone.
func (r *JobRecord) Check() error {
	if s := r.Spec; s != nil && (s.Tasks < 1 || s.Tasks > MaxTasks || s.CPUs < 0 || s.GPUs < 0) {
		return fmt.Errorf("a job of %d tasks of %v CPUs and %v GPUs", s.Tasks, s.CPUs, s.GPUs)
	}
	if t := r.Ticket; t != nil && t.Base != nil {
		for _, st := range t.Steps {
			if st.Tasks < 1 || st.Tasks > MaxTasks {
				return fmt.Errorf("step %s of %d tasks", st.Name, st.Tasks)
			}
			for _, d := range st.Deps {
				if d < 0 || d >= len(t.Steps) {
					return fmt.Errorf("step %s depends on step %d of %d", st.Name, d, len(t.Steps))
				}
			}
		}
	}
	return r.Chunk.Check()
}

// Check says what of a batch can't be true.
func (r *BatchRecord) Check() error {
	for _, m := range r.Machines {
		if m.Name == "" || m.Type == "" {
			return fmt.Errorf("a machine %q of type %q", m.Name, m.Type)
		}
	}
	return nil
}

// Check says what of an entry can't be true.
func (e *Entry) Check() error {
	for _, p := range e.Parts {
		for _, r := range p.Placed {
			if r[3] >= uint64(len(e.Machines)) || r[0] > r[1] || r[1] >= MaxTasks {
				return fmt.Errorf("job %s: run %v of %d machines", p.Job, r, len(e.Machines))
			}
		}
		for _, ranges := range [][][2]int{p.Unplaced, p.Done} {
			for _, r := range ranges {
				if r[0] < 0 || r[0] > r[1] || r[1] >= MaxTasks {
					return fmt.Errorf("job %s: tasks %v", p.Job, r)
				}
			}
		}
	}
	for i, a := range e.Jobs {
		if a.Spec == nil || a.Spec.Tasks < 1 || a.Spec.Tasks > MaxTasks {
			return fmt.Errorf("job %d of the entry has no submission that can be", i)
		}
	}
	return nil
}
