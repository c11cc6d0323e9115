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

func never(format string, a ...any) error { return &Refusal{Why: fmt.Sprintf(format, a...)} }

func malformed(format string, a ...any) error {
	return &Refusal{Malformed: true, Why: fmt.Sprintf(format, a...)}
}

// Limits of what a ticket is stored in.
type Limits struct {
	ValueBytes int // of one stored value
}

// maxStepSpec bounds the stored description of a step's job: with the placements and
// errors of its tasks it must fit the smallest stored value.
const maxStepSpec = 1300

// Admitted is a ticket as it is taken.
type Admitted struct {
	ID     string
	Record *protocol.TicketRecord
	Packed []byte // its template and arguments
}

// Admit turns a submission into what is stored, by the class of its lot. It is the
// one way in for tickets, whichever path they came by, and depends on nothing else:
// the same ticket becomes the same jobs at every node.
func Admit(s *format.Submission, classes Table, lim Limits) (*Admitted, error) {
	c, ok := classes[s.Lot]
	if !ok {
		return nil, never("lot: %q takes no tickets; %s do", s.Lot, cmp.Or(strings.Join(classes.Lots(), ", "), "none"))
	}
	plan, err := s.Template.Expand(s.Args)
	if err != nil {
		return nil, malformed("%v", err)
	}
	if plan.Tasks > c.Tasks {
		return nil, never("a ticket of %s may have %d tasks, this one has %d", c.Lot, c.Tasks, plan.Tasks)
	}
	if s.Pieces != nil && *s.Pieces != plan.Tasks {
		return nil, malformed("pieces: %d, but the ticket has %d tasks", *s.Pieces, plan.Tasks)
	}
	rec := &protocol.TicketRecord{Name: plan.Name}
	if rec.Terms, err = c.grant(s); err != nil {
		return nil, err
	}
	if rec.Base, err = c.base(s, plan.Tasks, rec.Terms.Urgency); err != nil {
		return nil, err
	}
	for i, ps := range plan.Steps {
		st, err := c.step(s, rec.Base, ps)
		if err != nil {
			return nil, err
		}
		rec.Steps = append(rec.Steps, st)
		if data, err := json.Marshal(StepSpec(rec, i)); err != nil || len(data) > maxStepSpec {
			return nil, malformed("step %s: its names are too long together: %d bytes, at most %d are stored", ps.Name, len(data), maxStepSpec)
		}
	}
	return pack(s, rec, lim)
}

// base is what all steps of a ticket have in common: what the submission says, or else the
// class.
func (c Class) base(s *format.Submission, tasks int, urgency string) (*protocol.JobSpec, error) {
	shape := cmp.Or(s.Shape, c.Shapes[0])
	if !slices.Contains(c.Shapes, shape) {
		return nil, never("shape: %s is not among those of %s: %s", shape, c.Lot, strings.Join(c.Shapes, ", "))
	}
	b := &protocol.JobSpec{ID: s.ID, Class: s.Lot, Team: s.Crew, Shape: shape, Priority: urgency, Tasks: tasks,
		Image: c.Bundle, ImageGB: c.SizeGB, Types: s.Builds, Zone: s.Region, OneZone: s.Together, Spread: s.Scatter, Spot: c.Loaners,
		EstimateS: cmp.Or(s.ExpectS, c.ExpectS), CheckpointS: s.SnapshotS, SaveS: s.StoreS, DeadlineS: s.DueS}
	if s.Bundle != "" {
		b.Image, b.ImageGB = s.Bundle, *s.SizeGB
	}
	if b.Image == "" {
		return nil, malformed("bundle: is missing, and its class has none")
	}
	if s.Loaners != nil {
		b.Spot = *s.Loaners
	}
	b.CPUs, b.GPUs, b.MemoryGB = first(s.CPUs, c.VCPUs), first(s.GPUs, c.Cards), first(s.MemoryGB, c.MemGB)
	return b, nil
}

// step is what a step's tasks take, within what the submission and the class allow.
func (c Class) step(s *format.Submission, base *protocol.JobSpec, ps format.PlanStep) (protocol.TicketStep, error) {
	st := protocol.TicketStep{Name: ps.Name, Tasks: ps.Space.Len(), Deps: ps.Deps,
		CPUs: first(ps.CPUs, base.CPUs), GPUs: first(ps.GPUs, base.GPUs), MemoryGB: first(ps.MemoryGB, base.MemoryGB), Types: ps.Builds, Zone: ps.Region}
	if ps.Builds != nil && s.Builds != nil {
		if st.Types = intersect(ps.Builds, s.Builds); st.Types == nil {
			return st, never("step %s: none of its machine types is among the submission's builds", ps.Name)
		}
	}
	if ps.Region != "" && s.Region != "" && ps.Region != s.Region {
		return st, never("step %s: its region %s is not the submission's, %s", ps.Name, ps.Region, s.Region)
	}
	switch {
	case st.CPUs == 0 && st.GPUs == 0 && st.MemoryGB == 0:
		return st, malformed("step %s: a task takes nothing; say so in its hostRequirements, the submission or the class", ps.Name)
	case c.MostVCPU > 0 && st.CPUs > c.MostVCPU:
		return st, never("step %s: %g vcpus a task, %s allows %g", ps.Name, st.CPUs, c.Lot, c.MostVCPU)
	case c.MostGPU > 0 && st.GPUs > c.MostGPU:
		return st, never("step %s: %g cards a task, %s allows %g", ps.Name, st.GPUs, c.Lot, c.MostGPU)
	}
	return st, nil
}

// pack packs a ticket's template and arguments, and says whether what is to be stored fits.
func pack(s *format.Submission, rec *protocol.TicketRecord, lim Limits) (*Admitted, error) {
	packed, err := s.Pack()
	if err != nil {
		return nil, malformed("%v", err)
	}
	// Packed bytes are stored as base64; a record grows by what becomes of its steps.
	if n, most := len(packed)*4/3+64, lim.ValueBytes; n > most {
		return nil, never("template: %d bytes even when packed, at most %d are stored", n, most)
	}
	data, err := json.Marshal(rec)
	if n, most := len(data)+512+130*len(rec.Steps), lim.ValueBytes; err != nil || n > most {
		return nil, never("steps: %d bytes with what will become of them, at most %d are stored", n, most)
	}
	return &Admitted{ID: s.ID, Record: rec, Packed: packed}, nil
}

func first(p *float64, otherwise float64) float64 {
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

// grant says what of its wishes a ticket gets.
func (c Class) grant(s *format.Submission) (t protocol.TicketTerms, err error) {
	number := func(name string, asked *int, otherwise, most int) protocol.Granted {
		g := protocol.Granted{Asked: asked, Granted: otherwise}
		if asked != nil {
			if g.Granted = min(*asked, most); *asked > most && c.Over == Refuse && err == nil {
				err = never("%s: %d asked for, %s allows %d", name, *asked, c.Lot, most)
			}
		}
		return g
	}
	t.Retries = number("maxRetriesPerTask", s.Retries, c.Retries, c.Retries)
	t.FailedTasks = number("maxFailedTasksCount", s.FailedTasks, 0, c.Failed)
	asked := s.Urgency
	if asked == "" && s.Priority != nil {
		asked = urgencyOf(*s.Priority)
	}
	t.Urgency = asked
	if asked == "" {
		t.Urgency = urgencies[min(slices.Index(urgencies, "standard"), slices.Index(urgencies, c.Urgency))]
	}
	if slices.Index(urgencies, t.Urgency) > slices.Index(urgencies, c.Urgency) {
		if c.Over == Refuse && err == nil {
			err = never("urgency: %s asked for, %s allows %s", asked, c.Lot, c.Urgency)
		}
		t.Urgency, t.AskedUrgency = c.Urgency, asked
	}
	return t, err
}

// urgencyOf reads the priorities of 0 to 100 that render farms have.
func urgencyOf(priority int) string {
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
	s.ID = format.StepID(rec.Base.ID, step)
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
	return &protocol.StepRef{Ticket: rec.Base.ID, Step: step, Retries: rec.Terms.Retries.Granted}
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
	Ticket       string               `json:"ticket"`
	Name         string               `json:"name"` // of the ticket
	Step         string               `json:"step"`
	Args         format.Args          `json:"parameters"`
	Space        *format.SpaceDef     `json:"parameterSpace,omitempty"`
	Script       format.Script        `json:"script"`
	Environments []format.Environment `json:"environments,omitempty"` // the job's, then the step's
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
