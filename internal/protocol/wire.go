package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Limits that are the same in every deployment.
const (
	MaxBodyBytes = 64 << 10
	MaxTasks     = 100000
	// maxAmount is the upper bound of resource amounts and durations. Larger values are
	// rejected as nonsense.
	maxAmount = 1e9
	// maxSpecBytes is the upper bound of an encoded JobSpec in a job's record.
	maxSpecBytes = 2500
)

// Shapes of a job.
const (
	Array   = "sweep"    // independent tasks
	Gang    = "gang"     // tasks that must run at the same time
	Service = "standing" // replicas that run until they are cancelled
)

// Task states and exit causes in workers' reports.
const (
	TaskFetching = "fetching"
	TaskWaiting  = "waiting"
	TaskRunning  = "running"
	TaskSaving   = "flushing"
	TaskExited   = "exited"

	CauseDone       = "done"
	CauseStopped    = "stopped"
	CausePeers      = "peers"
	CauseIncomplete = "incomplete"
	CauseError      = "error"
	CauseNoCapacity = "full" // the task does not fit on the machine
	CauseBusy       = "in_use"
	CauseUnknown    = "no_such"
)

// Job states in answers to users.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "withdrawn"
	// JobFailed is a state of tickets only: more of the ticket's tasks failed after all
	// their retries than the ticket's terms allow.
	JobFailed = "failed"
)

// Operations of a Command to a worker.
const (
	OpStart  = "run"
	OpStop   = "halt"
	OpForget = "clear"
)

// Priorities, highest first.
const (
	Production = iota
	High
	Normal
	Low
)

var priorityRanks = map[string]int{"critical": Production, "high": High, "standard": Normal, "best_effort": Low}

// JobSpec is a job submission. It is stored as it was received.
type JobSpec struct {
	ID          string   `json:"id"`
	Class       string   `json:"lot"`
	Team        string   `json:"crew"`
	Shape       string   `json:"shape"`
	Priority    string   `json:"urgency"`
	Tasks       int      `json:"pieces"`
	CPUs        float64  `json:"vcpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memGb"`
	Image       string   `json:"bundle"`
	ImageGB     float64  `json:"sizeGb"`
	Types       []string `json:"builds,omitempty"`
	Zone        string   `json:"region,omitempty"`
	OneZone     bool     `json:"together,omitempty"`
	Spread      bool     `json:"scatter,omitempty"`
	Spot        bool     `json:"loaners,omitempty"`
	EstimateS   float64  `json:"expectS"`
	CheckpointS float64  `json:"snapshotS"`
	SaveS       float64  `json:"storeS"`
	DeadlineS   *float64 `json:"dueS,omitempty"`
}

// Rank returns the job's priority as a number; 0 is the highest priority.
func (s *JobSpec) Rank() int { return priorityRanks[s.Priority] }

// requiredFields are the fields of a submission that must be present and not null.
var requiredFields = []string{"id", "lot", "crew", "shape", "urgency", "pieces", "vcpus", "cards", "memGb",
	"bundle", "sizeGb", "together", "scatter", "loaners", "expectS", "snapshotS", "storeS"}

// nullableFields are the fields of a submission that may be null or missing.
var nullableFields = []string{"builds", "region", "dueS"}

// ErrEmbeddedTicket reports that a submission carries a ticket.
var ErrEmbeddedTicket = errors.New("field ticket: no tickets are taken here")

// ParseJob reads and checks a submission. The error is the reason for an answer with
// status 400. It is ErrEmbeddedTicket if the submission carries a ticket: such a
// submission must not run as an ordinary job.
func ParseJob(body []byte) (*JobSpec, error) {
	if len(body) > MaxBodyBytes {
		return nil, errors.New("body over 64 KiB")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, errors.New("not a JSON object")
	}
	if v, ok := fields["ticket"]; ok && !bytes.Equal(v, []byte("null")) {
		return nil, ErrEmbeddedTicket
	}
	for _, name := range requiredFields {
		if v, ok := fields[name]; !ok || bytes.Equal(v, []byte("null")) {
			return nil, fmt.Errorf("field %s is missing", name)
		}
	}
	s := &JobSpec{}
	if err := json.Unmarshal(knownFields(fields), s); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return nil, fmt.Errorf("field %s is invalid", typeErr.Field)
		}
		return nil, errors.New("invalid JSON")
	}
	// An empty list or string is omitted from the stored record and would be read back
	// as null, which allows any machine type or zone.
	if s.Types != nil && len(s.Types) == 0 {
		return nil, errors.New("field builds is invalid: no machine type is allowed")
	}
	if bytes.Equal(fields["region"], []byte(`""`)) {
		return nil, errors.New("field region is invalid: it is empty")
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	// The job's record holds the spec and the placements of chunk 0, and must fit the
	// smallest value limit of a state service.
	if stored, err := json.Marshal(s); err != nil || len(stored) > maxSpecBytes {
		return nil, errors.New("field builds and names are invalid: too long together")
	}
	return s, nil
}

// knownFields encodes a submission without its unknown fields. encoding/json matches names
// regardless of case, so it would read an unknown field as a known one if the two names
// differ in case only.
func knownFields(fields map[string]json.RawMessage) []byte {
	known := make(map[string]json.RawMessage, len(fields))
	for _, name := range slices.Concat(requiredFields, nullableFields) {
		if v, ok := fields[name]; ok {
			known[name] = v
		}
	}
	data, err := json.Marshal(known)
	if err != nil {
		panic(err) // the raw values were read from valid JSON
	}
	return data
}

// ParseStoredJob reads a submission from a stored record. This package writes records
// without the fields that are false or empty, so missing fields are accepted.
func ParseStoredJob(data []byte) (*JobSpec, error) {
	s := &JobSpec{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

func (s *JobSpec) check() error {
	if !ValidJobID(s.ID) {
		return errors.New("field id is invalid")
	}
	for _, f := range []struct{ name, v string }{{"lot", s.Class}, {"crew", s.Team}, {"bundle", s.Image}} {
		if f.v == "" || len(f.v) > 200 {
			return fmt.Errorf("field %s is invalid", f.name)
		}
	}
	if len(s.Zone) > 200 || len(s.Types) > 64 {
		return errors.New("field region or builds is invalid")
	}
	for _, t := range s.Types {
		if t == "" || len(t) > 64 {
			return errors.New("field builds is invalid")
		}
	}
	if s.Shape != Array && s.Shape != Gang && s.Shape != Service {
		return errors.New("field shape is invalid")
	}
	if _, ok := priorityRanks[s.Priority]; !ok {
		return errors.New("field urgency is invalid")
	}
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return errors.New("field pieces is invalid")
	}
	amounts := []struct {
		name string
		v    float64
	}{{"vcpus", s.CPUs}, {"cards", s.GPUs}, {"memGb", s.MemoryGB}, {"sizeGb", s.ImageGB},
		{"expectS", s.EstimateS}, {"snapshotS", s.CheckpointS}, {"storeS", s.SaveS}}
	if s.DeadlineS != nil {
		amounts = append(amounts, struct {
			name string
			v    float64
		}{"dueS", *s.DeadlineS})
	}
	for _, a := range amounts {
		if math.IsNaN(a.v) || a.v < 0 || a.v > maxAmount {
			return fmt.Errorf("field %s is invalid", a.name)
		}
	}
	if s.CPUs == 0 && s.GPUs == 0 && s.MemoryGB == 0 {
		return errors.New("field vcpus is invalid: a task takes nothing")
	}
	return nil
}

// ValidJobID reports whether id has the form job-<digits>.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "job-")
	if !ok || digits == "" || len(digits) > 32 {
		return false
	}
	return strings.Trim(digits, "0123456789") == ""
}

// JobStatus is the answer to submissions, status requests and cancellations.
type JobStatus struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
	// For tickets only: the number of failed tasks, and the terms that were granted.
	Failed int          `json:"failed,omitempty"`
	Terms  *TicketTerms `json:"terms,omitempty"`
}

// TaskID returns the name of a task on the wire: <job>/<number>.
func TaskID(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// ParseTaskID splits the name of a task into its job and its number.
func ParseTaskID(name string) (job string, task int, ok bool) {
	job, num, ok := strings.Cut(name, "/")
	if !ok || !ValidJobID(job) {
		return "", 0, false
	}
	task, err := strconv.Atoi(num)
	if err != nil || task < 0 || task >= MaxTasks {
		return "", 0, false
	}
	return job, task, true
}

// TaskReport is the state of one task in a worker's report.
type TaskReport struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	State   string `json:"status"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"stored,omitempty"` // the task saved a checkpoint before it stopped
}

// Report is a worker's heartbeat: the state of its machine and of the tasks there.
type Report struct {
	Machine string       `json:"host"`
	Addr    string       `json:"endpoint"`
	Type    string       `json:"build"`
	Zone    string       `json:"region"`
	Spot    bool         `json:"loaners"`
	Session uint64       `json:"shift"`   // incremented each time the worker's lease expires
	Seq     uint64       `json:"tally"`   // sequence number of the report
	Token   uint64       `json:"baton"`   // highest fencing token that the worker has received
	NoticeS *float64     `json:"recallS"` // seconds until a spot machine is interrupted; nil: no notice
	Tasks   []TaskReport `json:"pieces"`
}

// ParseReport reads and checks a worker's report.
func ParseReport(body []byte) (*Report, error) {
	r := &Report{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, errors.New("not a report")
	}
	if r.Machine == "" || len(r.Machine) > 100 || strings.ContainsAny(r.Machine, " /") || r.Session == 0 {
		return nil, errors.New("report without machine or session")
	}
	for i := range r.Tasks {
		if _, _, ok := ParseTaskID(r.Tasks[i].Task); !ok {
			return nil, errors.New("report with a malformed task name")
		}
	}
	return r, nil
}

// Command tells a worker to start, stop or forget one attempt of a task.
type Command struct {
	Op      string  `json:"verb"`
	Task    string  `json:"piece"`
	Attempt uint64  `json:"try"`
	GraceS  float64 `json:"windDownS,omitempty"` // time for the task to save a checkpoint
}

// Orders are commands with a fencing token. They are the answer to a report, or are sent
// to a worker directly together with the worker's session.
type Orders struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"shift,omitempty"`
	Commands []Command `json:"orders"`
}

// Redirect names the controller that a worker should report to.
type Redirect struct {
	ReportTo string `json:"foreman,omitempty"`
}

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name        string   `json:"label"`
	CPUs        float64  `json:"vcpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memGb"`
	CacheGB     float64  `json:"cacheGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Price       float64  `json:"hourly"`
	SpotPrice   float64  `json:"marketPrice"`
	BootS       float64  `json:"startupS"`
	Zones       []string `json:"regions"`
}

// Catalog is the cloud's list of machine types.
type Catalog struct {
	Types []MachineType `json:"builds"`
}

// RentRequest asks the cloud for machines. A RequestID is never used twice.
type RentRequest struct {
	RequestID string `json:"ask"`
	Type      string `json:"build"`
	Zone      string `json:"region"`
	Spot      bool   `json:"loaners"`
	Count     int    `json:"number"`
}

// MachineNames lists machines that were rented or that are to be returned.
type MachineNames struct {
	Machines []string `json:"hosts"`
}

// ListedMachine is an entry of the cloud's list of machines, which lags behind the
// cloud's actual state.
type ListedMachine struct {
	ID    string  `json:"id"`
	Addr  string  `json:"endpoint"`
	Type  string  `json:"build"`
	Zone  string  `json:"region"`
	Spot  bool    `json:"loaners"`
	State string  `json:"status"`
	AgeS  float64 `json:"ageS"`
}

// MachineList is a page of the cloud's list of machines.
type MachineList struct {
	Machines []ListedMachine `json:"hosts"`
	More     bool            `json:"hasNext"`
}
