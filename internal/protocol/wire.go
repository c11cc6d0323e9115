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

// Limits that every deployment shares.
const (
	MaxBodyBytes = 64 << 10
	MaxTasks     = 100000
	// maxAmount bounds resource amounts and durations; anything above is absurd.
	maxAmount = 1e9
	// maxStored bounds a job's description in its record.
	maxStored = 2500
)

// Shapes of a job.
const (
	Array   = "sweep"
	Gang    = "gang"
	Service = "standing"
)

// Task states and causes of an exit as workers report them.
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
	CauseNoCapacity = "full"
	CauseBusy       = "in_use"
	CauseUnknown    = "no_such"
)

// Job states as users see them.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "withdrawn"
	// JobFailed is told of tickets alone: too many of its tasks used up their tries.
	JobFailed = "failed"
)

// Commands to workers.
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

var priorities = map[string]int{"critical": Production, "high": High, "standard": Normal, "best_effort": Low}

// JobSpec is a submission, and is stored as received.
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

// Rank is the job's priority, 0 the highest.
func (s *JobSpec) Rank() int { return priorities[s.Priority] }

var requiredFields = []string{"id", "lot", "crew", "shape", "urgency", "pieces", "vcpus", "cards", "memGb",
	"bundle", "sizeGb", "together", "scatter", "loaners", "expectS", "snapshotS", "storeS"}

// nullableFields are the fields that may be null or missing.
var nullableFields = []string{"builds", "region", "dueS"}

// ErrEmbeddedTicket says that a submission carries a ticket.
var ErrEmbeddedTicket = errors.New("field ticket: no tickets are taken here")

// ParseJob reads a submission. Its error is the reason for a 400; it is ErrTicket if
// the submission carries a ticket, which must not run as if it carried none.
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
	for _, f := range requiredFields {
		if v, ok := fields[f]; !ok || bytes.Equal(v, []byte("null")) {
			return nil, fmt.Errorf("field %s is missing", f)
		}
	}
	s := &JobSpec{}
	if err := json.Unmarshal(knownFields(fields), s); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("field %s is invalid", te.Field)
		}
		return nil, errors.New("invalid JSON")
	}
	// Stored, these two would read as null, which allows any.
	if s.Types != nil && len(s.Types) == 0 {
		return nil, errors.New("field builds is invalid: no machine type is allowed")
	}
	if bytes.Equal(fields["region"], []byte(`""`)) {
		return nil, errors.New("field region is invalid: it is empty")
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	// With the placements of a chunk it must fit the smallest stored value.
	if stored, err := json.Marshal(s); err != nil || len(stored) > maxStored {
		return nil, errors.New("field builds and names are invalid: too long together")
	}
	return s, nil
}

// knownFields is a submission without fields that are not known: encoding/json would take one
// that differs in case alone for the known one.
func knownFields(fields map[string]json.RawMessage) []byte {
	known := make(map[string]json.RawMessage, len(fields))
	for _, name := range slices.Concat(requiredFields, nullableFields) {
		if v, ok := fields[name]; ok {
			known[name] = v
		}
	}
	data, err := json.Marshal(known)
	if err != nil {
		panic(err) // what was read as JSON is JSON
	}
	return data
}

// ParseStoredJob reads a submission as this package writes it, where what is false
// or empty is left out.
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
	if _, ok := priorities[s.Priority]; !ok {
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

// ValidJobID says whether id has the form job-<digits>.
func ValidJobID(id string) bool {
	n, ok := strings.CutPrefix(id, "job-")
	if !ok || n == "" || len(n) > 32 {
		return false
	}
	return strings.Trim(n, "0123456789") == ""
}

// JobStatus answers submissions, polls and cancellations.
type JobStatus struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
	// Of a ticket: its tasks that failed, and the terms that it was taken on.
	Failed int          `json:"failed,omitempty"`
	Terms  *TicketTerms `json:"terms,omitempty"`
}

// TaskID names a task on the wire.
func TaskID(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// ParseTaskID splits a task's name.
func ParseTaskID(s string) (job string, task int, ok bool) {
	job, num, ok := strings.Cut(s, "/")
	if !ok || !ValidJobID(job) {
		return "", 0, false
	}
	task, err := strconv.Atoi(num)
	if err != nil || task < 0 || task >= MaxTasks {
		return "", 0, false
	}
	return job, task, true
}

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	State   string `json:"status"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"stored,omitempty"`
}

// Report is a worker's account of its machine.
type Report struct {
	Machine string       `json:"host"`
	Addr    string       `json:"endpoint"`
	Type    string       `json:"build"`
	Zone    string       `json:"region"`
	Spot    bool         `json:"loaners"`
	Session uint64       `json:"shift"`
	Seq     uint64       `json:"tally"`
	Token   uint64       `json:"baton"`
	NoticeS *float64     `json:"recallS"`
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

// Command is one order to a worker.
type Command struct {
	Op      string  `json:"verb"`
	Task    string  `json:"piece"`
	Attempt uint64  `json:"try"`
	GraceS  float64 `json:"windDownS,omitempty"`
}

// Orders answers a report, or goes to a worker directly with its session.
type Orders struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"shift,omitempty"`
	Commands []Command `json:"orders"`
}

// Redirect names the node that a worker should report to.
type Redirect struct {
	ReportTo string `json:"foreman,omitempty"`
}

// MachineType is an entry of the cloud's catalogue.
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

// RentRequest asks the cloud for machines; Request is never used twice.
type RentRequest struct {
	RequestID string `json:"ask"`
	Type      string `json:"build"`
	Zone      string `json:"region"`
	Spot      bool   `json:"loaners"`
	Count     int    `json:"number"`
}

// MachineNames lists machines rented or to be returned.
type MachineNames struct {
	Machines []string `json:"hosts"`
}

// ListedMachine is an entry of the cloud's lagging list.
type ListedMachine struct {
	ID    string  `json:"id"`
	Addr  string  `json:"endpoint"`
	Type  string  `json:"build"`
	Zone  string  `json:"region"`
	Spot  bool    `json:"loaners"`
	State string  `json:"status"`
	AgeS  float64 `json:"ageS"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `json:"hosts"`
	More     bool            `json:"hasNext"`
}
