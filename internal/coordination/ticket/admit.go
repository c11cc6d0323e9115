package ticket

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"dapplestage.example/dapplestage/internal/protocol"
	format "dapplestage.example/dapplestage/internal/protocol/ticket"
)

// Refusal says why a ticket is not taken. Malformed: it can't be read as one;
// otherwise it can never run here.
type Refusal struct {
	Malformed bool
	Why       string
}

func (r *Refusal) Error() string { return r.Why }

func neverRuns(format string, a ...any) error { return &Refusal{Why: fmt.Sprintf(format, a...)} }

func malformed(format string, a ...any) error {
	return &Refusal{Malformed: true, Why: fmt.Sprintf(format, a...)}
}

// Limits of what a ticket is stored in.
type Limits struct {
	MaxValueBytes int // of one stored value
}

// maxStepSpecBytes bounds the stored description of a step's job: with the placements and
// errors of its tasks it must fit the smallest stored value.
const maxStepSpecBytes = 1300

// Admitted is a ticket as it is taken.
type Admitted struct {
	ID             string
	Record         *protocol.TicketRecord
	PackedTemplate []byte // its template and arguments
}

// Admit turns a submission into what is stored, by the class of its lot. It is the
// one way in for tickets, whichever path they came by, and depends on nothing else:
// the same ticket becomes the same jobs at every node.
func Admit(s *format.Submission, classes ClassTable, lim Limits) (*Admitted, error) {
	c, ok := classes[s.Class]
	if !ok {
		return nil, neverRuns("lot: %q takes no tickets; %s do", s.Class, cmp.Or(strings.Join(classes.Names(), ", "), "none"))
	}
	plan, err := s.Template.Expand(s.Args)
	if err != nil {
		return nil, malformed("%v", err)
	}
	if plan.Tasks > c.Tasks {
		return nil, neverRuns("a ticket of %s may have %d tasks, this one has %d", c.Lot, c.Tasks, plan.Tasks)
	}
	if s.Tasks != nil && *s.Tasks != plan.Tasks {
		return nil, malformed("pieces: %d, but the ticket has %d tasks", *s.Tasks, plan.Tasks)
	}
	rec := &protocol.TicketRecord{Name: plan.Name}
	if rec.Terms, err = c.grantTerms(s); err != nil {
		return nil, err
	}
	if rec.Base, err = c.baseSpec(s, plan.Tasks, rec.Terms.Priority); err != nil {
		return nil, err
	}
	for i, ps := range plan.Steps {
		st, err := c.newStep(s, rec.Base, ps)
		if err != nil {
			return nil, err
		}
		rec.Steps = append(rec.Steps, st)
		if data, err := json.Marshal(StepSpec(rec, i)); err != nil || len(data) > maxStepSpecBytes {
			return nil, malformed("step %s: its names are too long together: %d bytes, at most %d are stored", ps.Name, len(data), maxStepSpecBytes)
		}
	}
	return packTicket(s, rec, lim)
}

// baseSpec is what all steps of a ticket have in common: what the submission says, or else the
// class.
func (c Class) baseSpec(s *format.Submission, tasks int, urgency string) (*protocol.JobSpec, error) {
	shape := cmp.Or(s.Shape, c.Shapes[0])
	if !slices.Contains(c.Shapes, shape) {
		return nil, neverRuns("shape: %s is not among those of %s: %s", shape, c.Lot, strings.Join(c.Shapes, ", "))
	}
	b := &protocol.JobSpec{ID: s.ID, Class: s.Class, Team: s.Team, Shape: shape, Priority: urgency, Tasks: tasks,
		Image: c.Bundle, ImageGB: c.SizeGB, Types: s.Types, Zone: s.Zone, OneZone: s.OneZone, Spread: s.Spread, Spot: c.Loaners,
		EstimateS: cmp.Or(s.EstimateS, c.ExpectS), CheckpointS: s.CheckpointS, SaveS: s.SaveS, DeadlineS: s.DeadlineS}
	if s.Image != "" {
		b.Image, b.ImageGB = s.Image, *s.ImageGB
	}
	if b.Image == "" {
		return nil, malformed("bundle: is missing, and its class has none")
	}
	if s.Spot != nil {
		b.Spot = *s.Spot
	}
	b.CPUs, b.GPUs, b.MemoryGB = valueOr(s.CPUs, c.VCPUs), valueOr(s.GPUs, c.Cards), valueOr(s.MemoryGB, c.MemGB)
	return b, nil
}

// newStep is what a step's tasks take, within what the submission and the class allow.
func (c Class) newStep(s *format.Submission, base *protocol.JobSpec, ps format.PlanStep) (protocol.TicketStep, error) {
	st := protocol.TicketStep{Name: ps.Name, Tasks: ps.Space.Len(), Deps: ps.Deps,
		CPUs: valueOr(ps.CPUs, base.CPUs), GPUs: valueOr(ps.GPUs, base.GPUs), MemoryGB: valueOr(ps.MemoryGB, base.MemoryGB), Types: ps.Types, Zone: ps.Zone}
	if ps.Types != nil && s.Types != nil {
		if st.Types = intersect(ps.Types, s.Types); st.Types == nil {
			return st, neverRuns("step %s: none of its machine types is among the submission's builds", ps.Name)
		}
	}
	if ps.Zone != "" && s.Zone != "" && ps.Zone != s.Zone {
		return st, neverRuns("step %s: its region %s is not the submission's, %s", ps.Name, ps.Zone, s.Zone)
	}
	switch {
	case st.CPUs == 0 && st.GPUs == 0 && st.MemoryGB == 0:
		return st, malformed("step %s: a task takes nothing; say so in its hostRequirements, the submission or the class", ps.Name)
	case c.MostVCPU > 0 && st.CPUs > c.MostVCPU:
		return st, neverRuns("step %s: %g vcpus a task, %s allows %g", ps.Name, st.CPUs, c.Lot, c.MostVCPU)
	case c.MostGPU > 0 && st.GPUs > c.MostGPU:
		return st, neverRuns("step %s: %g cards a task, %s allows %g", ps.Name, st.GPUs, c.Lot, c.MostGPU)
	}
	return st, nil
}

// packTicket packs a ticket's template and arguments, and says whether what is to be stored fits.
func packTicket(s *format.Submission, rec *protocol.TicketRecord, lim Limits) (*Admitted, error) {
	packed, err := s.Pack()
	if err != nil {
		return nil, malformed("%v", err)
	}
	// Packed bytes are stored as base64; a record grows by what becomes of its steps.
	if n, most := len(packed)*4/3+64, lim.MaxValueBytes; n > most {
		return nil, neverRuns("template: %d bytes even when packed, at most %d are stored", n, most)
	}
	data, err := json.Marshal(rec)
	if n, most := len(data)+512+130*len(rec.Steps), lim.MaxValueBytes; err != nil || n > most {
		return nil, neverRuns("steps: %d bytes with what will become of them, at most %d are stored", n, most)
	}
	return &Admitted{ID: s.ID, Record: rec, PackedTemplate: packed}, nil
}

func valueOr(p *float64, otherwise float64) float64 {
	if p != nil {
		return *p
	}
	return otherwise
}

func intersect(a, b []string) (out []string) {
	for _, x := range a {
		if slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	return out
}

// grantTerms says what of its wishes a ticket gets.
func (c Class) grantTerms(s *format.Submission) (t protocol.TicketTerms, err error) {
	number := func(name string, asked *int, otherwise, most int) protocol.GrantedLimit {
		g := protocol.GrantedLimit{Requested: asked, Granted: otherwise}
		if asked != nil {
			if g.Granted = min(*asked, most); *asked > most && c.Over == RefuseExcess && err == nil {
				err = neverRuns("%s: %d asked for, %s allows %d", name, *asked, c.Lot, most)
			}
		}
		return g
	}
	t.MaxRetries = number("maxRetriesPerTask", s.MaxRetries, c.Retries, c.Retries)
	t.MaxFailedTasks = number("maxFailedTasksCount", s.MaxFailedTasks, 0, c.Failed)
	asked := s.Priority
	if asked == "" && s.TicketPriority != nil {
		asked = urgencyOfPriority(*s.TicketPriority)
	}
	t.Priority = asked
	if asked == "" {
		t.Priority = urgencies[min(slices.Index(urgencies, "standard"), slices.Index(urgencies, c.Urgency))]
	}
	if slices.Index(urgencies, t.Priority) > slices.Index(urgencies, c.Urgency) {
		if c.Over == RefuseExcess && err == nil {
			err = neverRuns("urgency: %s asked for, %s allows %s", asked, c.Lot, c.Urgency)
		}
		t.Priority, t.RequestedPriority = c.Urgency, asked
	}
	return t, err
}

// urgencyOfPriority reads the priorities of 0 to 100 that render farms have.
func urgencyOfPriority(priority int) string {
	switch {
	case priority >= 90:
		return "critical"
	case priority >= 70:
		return "high"
	case priority >= 30:
		return "standard"
	}
	return "best_effort"
}

// StepSpec is the job that a step becomes.
func StepSpec(rec *protocol.TicketRecord, step int) *protocol.JobSpec {
	st := &rec.Steps[step]
	s := *rec.Base
	s.ID = format.StepJobID(rec.Base.ID, step)
	s.Tasks, s.CPUs, s.GPUs, s.MemoryGB = st.Tasks, st.CPUs, st.GPUs, st.MemoryGB
	if st.Types != nil {
		s.Types = st.Types
	}
	if st.Zone != "" {
		s.Zone = st.Zone
	}
	s.DeadlineS = nil // it is the ticket's, from its submission
	return &s
}

// StepRef ties a step's job to its ticket.
func StepRef(rec *protocol.TicketRecord, step int) *protocol.StepRef {
	return &protocol.StepRef{Ticket: rec.Base.ID, Step: step, MaxRetries: rec.Terms.MaxRetries.Granted}
}

// Description is what workers are given of a step's job: its submission, with the
// parameters of its tasks and the scripts.
type Description struct {
	protocol.JobSpec
	// Written out: a submission must have these even where they are false or empty.
	OneZone bool            `json:"together"`
	Spread  bool            `json:"scatter"`
	Spot    bool            `json:"loaners"`
	Step    DescriptionStep `json:"step"`
}

// DescriptionStep is the part of a description that is the ticket's.
type DescriptionStep struct {
	Ticket       string                 `json:"ticket"`
	Name         string                 `json:"name"` // of the ticket
	Step         string                 `json:"step"`
	Args         format.Args            `json:"parameters"`
	Space        *format.ParameterSpace `json:"parameterSpace,omitempty"`
	Script       format.Script          `json:"script"`
	Environments []format.Environment   `json:"environments,omitempty"` // the job's, then the step's
}

// Describe makes the descriptions of a ticket's steps, which its user uploads as for
// any other job, under the ids of the steps' jobs.
func Describe(s *format.Submission, a *Admitted) ([]Description, error) {
	if s.Template == nil {
		return nil, errors.New("no template")
	}
	var out []Description
	for i, st := range s.Template.Steps {
		spec := StepSpec(a.Record, i)
		out = append(out, Description{JobSpec: *spec, OneZone: spec.OneZone, Spread: spec.Spread, Spot: spec.Spot, Step: DescriptionStep{Ticket: a.ID, Name: a.Record.Name, Step: st.Name,
			Args: s.Args, Space: st.Space, Script: st.Script, Environments: slices.Concat(s.Template.Environments, st.Environments)}})
	}
	return out, nil
}
