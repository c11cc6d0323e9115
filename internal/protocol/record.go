package protocol

import (
	"fmt"
	"strconv"
)

// Keys in the state service. Every node watches all keys below WatchedRoot and keeps a
// replica of them. The outcome of a job that has ended moves to its FinalKey, which is not
// watched, so that the watched part stays small.
const (
	WatchedRoot       = "d/"
	TokenCounterKey   = WatchedRoot + "counter"   // TokenCounterRecord
	JobPrefix         = WatchedRoot + "jobs/"     // JobRecord and further chunks, by job
	OwnerRoot         = WatchedRoot + "shares/"   // OwnerRecord, by partition
	MachineRoot       = WatchedRoot + "machines/" // BatchRecord
	NodeRoot          = WatchedRoot + "nodes/"    // NodeRecord, by node
	LivenessCheckRoot = WatchedRoot + "doubts/"   // LivenessCheckRecord, by node
	MovesKey          = WatchedRoot + "moves"     // MovesRecord
	PolicyKey         = WatchedRoot + "settings"  // the operators' settings
	RentalFenceKey    = WatchedRoot + "rentals"   // RentalFenceRecord
	CatalogKey        = WatchedRoot + "catalog"   // CatalogRecord
	ClassesKey        = WatchedRoot + "classes"   // classes of tickets
	LogRoot           = WatchedRoot + "log/"      // Entry, by partition and slot
	InboxRoot         = WatchedRoot + "in/"       // Entry, by node and slot
	LoanRoot          = WatchedRoot + "loans/"    // LoansRecord, by lending and borrowing partition
	FormatKey         = WatchedRoot + "format"    // FormatRecord
	FinalRoot         = "f/"                      // FinalRecord, by job
	TicketRoot        = "t/"                      // template and arguments, by ticket
	HistoryRoot       = "l/"                      // segments of the job history
)

// TasksPerChunk is the number of tasks whose state is stored in one value. 128
// placements with long machine names stay well below the smallest value limit of a state
// service.
const TasksPerChunk = 128

// JobKey is the key of a JobRecord, which includes chunk 0 of the job's tasks.
func JobKey(id string) string { return JobPrefix + id }

// ChunkKey is the key of chunk k of a job's tasks.
func ChunkKey(id string, k int) string {
	if k == 0 {
		return JobKey(id)
	}
	return JobPrefix + id + "/" + strconv.Itoa(k)
}

// LogKey is the key of a slot of a partition's log.
func LogKey(partition, slot int) string {
	return LogRoot + strconv.Itoa(partition) + "/" + strconv.Itoa(slot)
}

// InboxKey is the key of a slot of a node's inbox, which holds the jobs that the node
// accepted.
func InboxKey(node string, slot int) string { return InboxRoot + node + "/" + strconv.Itoa(slot) }

// FinalKey is the key of a job's FinalRecord.
func FinalKey(id string) string { return FinalRoot + id }

// TicketKey is the key of a ticket's template and arguments. They are written once and
// never changed.
func TicketKey(id string) string { return TicketRoot + id }

// OwnerKey is the key of a partition's OwnerRecord.
func OwnerKey(partition int) string { return OwnerRoot + strconv.Itoa(partition) + "/holder" }

// LoansKey is the key of the capacity that one partition lends to another.
func LoansKey(lender, borrower int) string {
	return LoanRoot + strconv.Itoa(lender) + "/" + strconv.Itoa(borrower)
}

// BatchKey is the key of a BatchRecord of machines.
func BatchKey(name string) string { return MachineRoot + name }

// NodeKey is the key of a node's NodeRecord, which exists while the node's lease lasts.
func NodeKey(name string) string { return NodeRoot + name }

// LivenessCheckKey is the key under which other nodes ask whether the named node is alive.
func LivenessCheckKey(name string) string { return LivenessCheckRoot + name }

// LivenessCheckRecord is a request of one node to another to show that it is alive. The other
// node answers by writing its own NodeRecord again.
type LivenessCheckRecord struct {
	RequestedBy string `json:"by"`
}

// Placement records that a task may be running on a machine. It is stored before the
// start command is sent, and removed only once the task is known not to run there.
type Placement struct {
	Task    int    `json:"i"`
	Attempt uint64 `json:"a"`
	Machine string `json:"m"`
}

// Chunk is the state of up to TasksPerChunk tasks: their placements, and the ranges (first
// and last task) of those that are done.
type Chunk struct {
	Placed []Placement `json:"p,omitempty"`
	Done   [][2]int    `json:"d,omitempty"`
	// Errors lists the tasks of a ticket's step that ended with an error, each with the
	// number of its errors.
	Errors [][2]int `json:"q,omitempty"`
	// LogSeq is the sequence number of the last entry of the partition's log that the chunk
	// includes.
	LogSeq uint64 `json:"v,omitempty"`
}

// EntryVersion is the version of entries that this release writes, and the latest that it
// can read.
const EntryVersion = 1

// Entry is one stored value with the changes of many jobs. An entry of a partition's log
// holds changes of the partition's jobs and is written only by the partition's owner. An
// entry of a node's inbox holds the jobs that the node accepted. Entries have sequence
// numbers and are stored in a ring of slots. A slot is overwritten only when the new entry
// repeats everything in the old one that is still needed.
type Entry struct {
	Version  int           `json:"v"`
	Seq      uint64        `json:"s"`
	Machines []string      `json:"m,omitempty"`
	Parts    []Part        `json:"p,omitempty"`
	Jobs     []AcceptedJob `json:"a,omitempty"`
}

// Part is the state of some tasks of a job as of its entry, or the end of the job.
type Part struct {
	Job         string        `json:"j"`
	NextAttempt uint64        `json:"n,omitempty"` // as in JobRecord
	Tries       int           `json:"e,omitempty"`
	LostRuns    int           `json:"l,omitempty"`
	LastLostMS  int64         `json:"u,omitempty"`
	Placed      []PlacedRange `json:"p,omitempty"`
	Unplaced    [][2]int      `json:"w,omitempty"` // ranges (first and last task) that wait again
	Done        [][2]int      `json:"d,omitempty"`
	FinalStatus string        `json:"x,omitempty"` // of a job that has ended; also stored under f/<id>
	Tasks       int           `json:"t,omitempty"` // number of tasks of a job that has ended
}

// PlacedRange is a range of tasks with the same attempt on one machine: first task, last
// task, attempt, and index of the machine in Entry.Machines.
type PlacedRange [4]uint64

// AcceptedJob is a job that a node accepted, in an entry of the node's inbox.
type AcceptedJob struct {
	Spec        *JobSpec `json:"s"`
	SubmittedMS int64    `json:"t"`
}

// FormatRecord is stored under FormatKey and tells whether entries are written.
type FormatRecord struct {
	Packed bool `json:"packed"`
}

// JobRecord is the main record of a job. It includes chunk 0 of the job's tasks.
type JobRecord struct {
	Spec            *JobSpec `json:"s"`
	SubmittedMS     int64    `json:"t"`
	Cancelled       bool     `json:"x,omitempty"`
	CancelRequested bool     `json:"o,omitempty"` // to be cancelled; not confirmed to a user yet
	NextAttempt     uint64   `json:"n"`           // number of the next attempt of any of its tasks
	Tries           int      `json:"e,omitempty"` // attempts, of a job that fails on every machine
	Claim           uint32   `json:"g,omitempty"` // of a gateway job: the epoch of the site's claim on it
	Step            *StepRef `json:"k,omitempty"` // of a ticket's step
	Failed          bool     `json:"f,omitempty"` // of a ticket's step: it is to end, because it or the ticket has failed
	// LostRuns is the number of runs that were lost with their machine or its lease, and
	// LastLostMS the time of the last loss. They are written along with the changes that a
	// loss causes anyway.
	LostRuns   int   `json:"l,omitempty"`
	LastLostMS int64 `json:"u,omitempty"`
	// NotBeforeMS is set by the owner of a machine on which tasks of the job failed, if the machine
	// belongs to another partition than the job: no task is to be tried before this time.
	NotBeforeMS int64 `json:"b,omitempty"`
	// Ticket is set in the record of a ticket, which has no Spec and no tasks of its own.
	// Releases without support for tickets ignore such a record.
	Ticket *TicketRecord `json:"w,omitempty"`
	Chunk
}

// StepRef identifies the step of a ticket that a job runs.
type StepRef struct {
	Ticket     string `json:"t"`
	Step       int    `json:"s"`
	MaxRetries int    `json:"r"` // of a task, not counting its first run
}

// TicketRecord is a render-farm ticket. Each of its steps runs as a job of its own. The
// outcome of finished steps is stored here, so that a new owner of the partition needs no
// other record.
type TicketRecord struct {
	Name          string       `json:"m"`
	Base          *JobSpec     `json:"b"` // the part of the job specification that all steps share
	Terms         TicketTerms  `json:"a"`
	Steps         []TicketStep `json:"z"`
	FailureReason string       `json:"y,omitempty"` // empty: the ticket has not failed
}

// TicketStep is a step of a ticket: the resources of its tasks, and its outcome.
type TicketStep struct {
	Name         string   `json:"n"`
	Tasks        int      `json:"t"`
	Deps         []int    `json:"d,omitempty"`
	CPUs         float64  `json:"c"`
	GPUs         float64  `json:"g"`
	MemoryGB     float64  `json:"m"`
	Types        []string `json:"y,omitempty"`
	Zone         string   `json:"z,omitempty"`
	State        string   `json:"s,omitempty"` // JobDone, JobFailed or JobCancelled; empty: not finished
	Done         int      `json:"o,omitempty"` // number of done tasks, of a finished step
	Failed       int      `json:"f,omitempty"`
	FailedRanges [][2]int `json:"w,omitempty"` // the first ranges of failed tasks
}

// TicketTerms holds the limits and the priority that a ticket requested, and those that
// its class granted.
type TicketTerms struct {
	MaxRetries        GrantedLimit `json:"maxRetriesPerTask"`
	MaxFailedTasks    GrantedLimit `json:"maxFailedTasksCount"`
	RequestedPriority string       `json:"askedUrgency,omitempty"` // empty: the granted one
	Priority          string       `json:"urgency"`
}

// GrantedLimit is a limit as it was requested (nil: not requested) and as it was granted.
type GrantedLimit struct {
	Requested *int `json:"asked,omitempty"`
	Granted   int  `json:"granted"`
}

// FinalRecord is the record that remains of a job after its end.
type FinalRecord struct {
	Status string `json:"s"`
	Tasks  int    `json:"n"`
	// Claim is not 0 for a gateway job. The record then gives the outcome of the site's
	// claims up to this epoch; the outcome of the job itself is kept by the gateway.
	Claim uint32 `json:"g,omitempty"`
	// Ticket is set in the final record of a ticket.
	Ticket *TicketRecord `json:"w,omitempty"`
}

// OwnerRecord names the owner of a partition. The state service removes it when the
// owner's lease ends. Lease distinguishes a restarted node from its previous incarnation.
type OwnerRecord struct {
	Node  string `json:"node"`
	Token uint64 `json:"token"`
	Lease uint64 `json:"lease"`
	// ReservedTokens is how many tokens above Token no other record uses, so that the owner can
	// raise a machine's token without a change. Releases that don't know it reserve none.
	ReservedTokens uint64 `json:"reserved,omitempty"`
}

// BatchRecord assigns machines that were rented or moved together to a partition. If they
// were moved, Token is their fencing token, with ReservedTokens as in OwnerRecord. Only the
// partition's owner changes the record.
type BatchRecord struct {
	Partition      int             `json:"share"`
	Token          uint64          `json:"token,omitempty"`
	ReservedTokens uint64          `json:"reserved,omitempty"`
	Machines       []MachineRecord `json:"m"`
}

// MachineRecord is one machine of a batch. Partition, Token and ReservedTokens are copied from
// the batch.
type MachineRecord struct {
	Partition      int    `json:"-"`
	Token          uint64 `json:"-"`
	ReservedTokens uint64 `json:"-"`
	Name           string `json:"n"`
	Type           string `json:"y"`
	Zone           string `json:"z"`
	Spot           bool   `json:"p,omitempty"`
	Addr           string `json:"a,omitempty"`
}

// TokenCounterRecord is the counter of fencing tokens. It is never deleted.
type TokenCounterRecord struct {
	Token uint64 `json:"token"`
}

// NodeRecord states that a node is alive. It is bound to the node's lease.
type NodeRecord struct {
	Lease           uint64 `json:"lease"`
	Version         int    `json:"v,omitempty"` // RecordVersion of the node's release
	RequiresRecords bool   `json:"p,omitempty"` // the node accepts tickets or gateway jobs, which need records of their own
}

// LoansRecord is the capacity of some machines that the partition to which they belong lends to
// another one. Only the owner of the lending partition changes it. The owner of the borrowing
// partition may place tasks there on the condition that the record is unchanged. The record stays
// in force when the owners change; an empty one lends nothing.
type LoansRecord struct {
	Machines []Loan `json:"m,omitempty"`
}

// Loan is capacity of one machine, including that which tasks of the borrowing partition use.
type Loan struct {
	Machine  string  `json:"n"`
	Job      string  `json:"j,omitempty"` // set if only this job may use it
	CPUs     float64 `json:"c,omitempty"`
	GPUs     float64 `json:"g,omitempty"`
	MemoryGB float64 `json:"m,omitempty"`
}

// Check returns an error if the record has an impossible value.
func (r *LoansRecord) Check() error {
	for _, l := range r.Machines {
		if l.Machine == "" || l.CPUs < 0 || l.GPUs < 0 || l.MemoryGB < 0 {
			return fmt.Errorf("a loan of %v CPUs, %v GPUs and %v GB of machine %q", l.CPUs, l.GPUs, l.MemoryGB, l.Machine)
		}
	}
	return nil
}

// RecordVersion is the version of the records of this release. Version 1 records rentals
// under the rental fence, and confirms the cancellation of a job only when none of its tasks
// is left. Version 2 reads and writes entries. Version 3 confirms the cancellation of a
// ticket only when none of its tasks is left. Version 4 runs tasks on capacity that another
// partition lends.
const RecordVersion = 4

// The first versions of the records that have a feature.
const (
	PackedVersion       = 2 // reads and writes entries
	TicketCancelVersion = 3 // confirms the cancellation of a ticket only when none of its tasks is left
	LoansVersion        = 4 // reads and writes loans
)

// CatalogRecord is the cloud's catalog as a node last read it. A node that starts while the
// cloud does not answer learns the types of the running machines from it.
type CatalogRecord struct {
	Types []MachineType `json:"types"`
}

// RentalFenceRecord is stored under RentalFenceKey. A rental is recorded only if the fence is
// unchanged since the rental was requested. The fence is raised before machines without a
// record are adopted, so that the late answer to an earlier rental can't record them too.
type RentalFenceRecord struct {
	Generation uint64 `json:"round"`
}

// MovesRecord is the leader's latest plan of moves: machines that the owners of their
// partitions hand over to another partition if the machines are still free.
type MovesRecord struct {
	Moves []Move `json:"moves"`
}

// Move hands a machine over to a partition; with OnlyIfUnneeded, only if its present
// partition does not expect to need it.
type Move struct {
	Machine        string `json:"m"`
	Partition      int    `json:"to"`
	OnlyIfUnneeded bool   `json:"s,omitempty"`
	Rank           int    `json:"r,omitempty"` // of the job that needs the machine: only tasks of a lower priority are preempted
	Drain          bool   `json:"d,omitempty"` // no task is preempted: the machine moves once its tasks have ended
}

// Check returns an error if the chunk has an impossible value.
func (c *Chunk) Check() error {
	for _, d := range c.Done {
		if d[0] < 0 || d[0] > d[1] || d[1] >= MaxTasks {
			return fmt.Errorf("invalid range of done tasks: %v", d)
		}
	}
	for _, p := range c.Placed {
		if p.Task < 0 || p.Task >= MaxTasks || p.Machine == "" {
			return fmt.Errorf("invalid placement of task %d on machine %q", p.Task, p.Machine)
		}
	}
	for _, e := range c.Errors {
		if e[0] < 0 || e[0] >= MaxTasks || e[1] < 0 {
			return fmt.Errorf("invalid error count of a task: %v", e)
		}
	}
	return nil
}

// Check returns an error if the record has an impossible value. A record that is neither a
// job nor a ticket as this release knows them is only checked as a chunk.
func (r *JobRecord) Check() error {
	if s := r.Spec; s != nil && (s.Tasks < 1 || s.Tasks > MaxTasks || s.CPUs < 0 || s.GPUs < 0) {
		return fmt.Errorf("a job of %d tasks of %v CPUs and %v GPUs", s.Tasks, s.CPUs, s.GPUs)
	}
	if t := r.Ticket; t != nil && t.Base != nil {
		for _, st := range t.Steps {
			if st.Tasks < 1 || st.Tasks > MaxTasks {
				return fmt.Errorf("step %s has an invalid number of tasks: %d", st.Name, st.Tasks)
			}
			for _, d := range st.Deps {
				if d < 0 || d >= len(t.Steps) {
					return fmt.Errorf("step %s depends on step %d, but there are %d steps", st.Name, d, len(t.Steps))
				}
			}
		}
	}
	return r.Chunk.Check()
}

// Check returns an error if the batch has an impossible value.
func (r *BatchRecord) Check() error {
	for _, m := range r.Machines {
		if m.Name == "" || m.Type == "" {
			return fmt.Errorf("a machine %q of type %q", m.Name, m.Type)
		}
	}
	return nil
}

// Check returns an error if the entry has an impossible value.
func (e *Entry) Check() error {
	for _, p := range e.Parts {
		for _, r := range p.Placed {
			if r[3] >= uint64(len(e.Machines)) || r[0] > r[1] || r[1] >= MaxTasks {
				return fmt.Errorf("job %s: invalid placed range %v with %d machines", p.Job, r, len(e.Machines))
			}
		}
		for _, ranges := range [][][2]int{p.Unplaced, p.Done} {
			for _, r := range ranges {
				if r[0] < 0 || r[0] > r[1] || r[1] >= MaxTasks {
					return fmt.Errorf("job %s: invalid range of tasks %v", p.Job, r)
				}
			}
		}
	}
	for i, a := range e.Jobs {
		if a.Spec == nil || a.Spec.Tasks < 1 || a.Spec.Tasks > MaxTasks {
			return fmt.Errorf("accepted job %d of the entry has no valid submission", i)
		}
	}
	return nil
}
