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

// Refusal is the error for a ticket that is not accepted. Malformed: the submission is
// invalid; otherwise the ticket can never run here.
type Refusal struct {
	Malformed bool
	Why       string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Why }

// neverRuns returns the refusal of a ticket that can never run here.
func neverRuns(format string, a ...any) error { return &Refusal{Why: fmt.Sprintf(format, a...)} }

// malformed returns the refusal of an invalid submission.
func malformed(format string, a ...any) error {
	return &Refusal{Malformed: true, Why: fmt.Sprintf(format, a...)}
}

// Limits are the limits of the store that a ticket has to fit.
type Limits struct {
	MaxValueBytes int // of one stored value
}

// maxStepSpecBytes limits the encoded spec of a step's job: with the placements and errors
// of its tasks it must fit the smallest stored value.
const maxStepSpecBytes = 1300

// Admitted is an accepted ticket in the form in which it is stored.
type Admitted struct {
	ID             string
	Record         *protocol.TicketRecord
	PackedTemplate []byte // compressed template and arguments
}

// Admit validates a submission against its class and returns what is to be stored. All
// tickets are admitted by it, whichever API they came by. It depends on nothing but its
// arguments, so the same ticket becomes the same jobs at every node.
func Admit(sub *format.Submission, classes ClassTable, limits Limits) (*Admitted, error) {
	c, ok := classes[sub.Class]
	if !ok {
		return nil, neverRuns("lot: %q takes no tickets; %s do", sub.Class, cmp.Or(strings.Join(classes.Names(), ", "), "none"))
	}
	plan, err := sub.Template.Expand(sub.Args)
	if err != nil {
		return nil, malformed("%v", err)
	}
	if plan.Tasks > c.Tasks {
		return nil, neverRuns("a ticket of %s may have %d tasks, this one has %d", c.Lot, c.Tasks, plan.Tasks)
	}
	if sub.Tasks != nil && *sub.Tasks != plan.Tasks {
		return nil, malformed("pieces: %d, but the ticket has %d tasks", *sub.Tasks, plan.Tasks)
	}
	rec := &protocol.TicketRecord{Name: plan.Name}
	if rec.Terms, err = c.grantTerms(sub); err != nil {
		return nil, err
	}
	if rec.Base, err = c.baseSpec(sub, plan.Tasks, rec.Terms.Priority); err != nil {
		return nil, err
	}
	for i, planStep := range plan.Steps {
		step, err := c.newStep(sub, rec.Base, planStep)
		if err != nil {
			return nil, err
		}
		rec.Steps = append(rec.Steps, step)
		if data, err := json.Marshal(StepSpec(rec, i)); err != nil || len(data) > maxStepSpecBytes {
			return nil, malformed("step %s: its names are too long together: %d bytes, at most %d are stored", planStep.Name, len(data), maxStepSpecBytes)
		}
	}
	return packTicket(sub, rec, limits)
}

// baseSpec returns the part of the spec that all steps of a ticket share: the values of the
// submission, and those of the class where it has none.
func (c Class) baseSpec(sub *format.Submission, tasks int, priority string) (*protocol.JobSpec, error) {
	shape := cmp.Or(sub.Shape, c.Shapes[0])
	if !slices.Contains(c.Shapes, shape) {
		return nil, neverRuns("shape: %s is not among those of %s: %s", shape, c.Lot, strings.Join(c.Shapes, ", "))
	}
	spec := &protocol.JobSpec{ID: sub.ID, Class: sub.Class, Team: sub.Team, Shape: shape, Priority: priority, Tasks: tasks,
		Image: c.Bundle, ImageGB: c.SizeGB, Types: sub.Types, Zone: sub.Zone, OneZone: sub.OneZone, Spread: sub.Spread, Spot: c.Loaners,
		EstimateS: cmp.Or(sub.EstimateS, c.ExpectS), CheckpointS: sub.CheckpointS, SaveS: sub.SaveS, DeadlineS: sub.DeadlineS}
	if sub.Image != "" {
		spec.Image, spec.ImageGB = sub.Image, *sub.ImageGB
	}
	if spec.Image == "" {
		return nil, malformed("bundle: is missing, and its class has none")
	}
	if sub.Spot != nil {
		spec.Spot = *sub.Spot
	}
	spec.CPUs, spec.GPUs, spec.MemoryGB = valueOr(sub.CPUs, c.VCPUs), valueOr(sub.GPUs, c.Cards), valueOr(sub.MemoryGB, c.MemGB)
	return spec, nil
}

// newStep returns a step with the resources of its tasks, checked against the submission
// and the class.
func (c Class) newStep(sub *format.Submission, base *protocol.JobSpec, planStep format.PlanStep) (protocol.TicketStep, error) {
	step := protocol.TicketStep{Name: planStep.Name, Tasks: planStep.Space.Len(), Deps: planStep.Deps,
		CPUs: valueOr(planStep.CPUs, base.CPUs), GPUs: valueOr(planStep.GPUs, base.GPUs), MemoryGB: valueOr(planStep.MemoryGB, base.MemoryGB), Types: planStep.Types, Zone: planStep.Zone}
	if planStep.Types != nil && sub.Types != nil {
		if step.Types = intersect(planStep.Types, sub.Types); step.Types == nil {
			return step, neverRuns("step %s: none of its machine types is among the submission's builds", planStep.Name)
		}
	}
	if planStep.Zone != "" && sub.Zone != "" && planStep.Zone != sub.Zone {
		return step, neverRuns("step %s: its region %s is not the submission's, %s", planStep.Name, planStep.Zone, sub.Zone)
	}
	switch {
	case step.CPUs == 0 && step.GPUs == 0 && step.MemoryGB == 0:
		return step, malformed("step %s: a task takes nothing; say so in its hostRequirements, the submission or the class", planStep.Name)
	case c.MostVCPU > 0 && step.CPUs > c.MostVCPU:
		return step, neverRuns("step %s: %g vcpus a task, %s allows %g", planStep.Name, step.CPUs, c.Lot, c.MostVCPU)
	case c.MostGPU > 0 && step.GPUs > c.MostGPU:
		return step, neverRuns("step %s: %g cards a task, %s allows %g", planStep.Name, step.GPUs, c.Lot, c.MostGPU)
	}
	return step, nil
}

// packTicket compresses the template and arguments of a ticket, and refuses the ticket if
// its values do not fit the store.
func packTicket(sub *format.Submission, rec *protocol.TicketRecord, limits Limits) (*Admitted, error) {
	packed, err := sub.Pack()
	if err != nil {
		return nil, malformed("%v", err)
	}
	// The compressed bytes are stored as base64. The record grows by the states of its steps.
	if size, maxBytes := len(packed)*4/3+64, limits.MaxValueBytes; size > maxBytes {
		return nil, neverRuns("template: %d bytes even when packed, at most %d are stored", size, maxBytes)
	}
	data, err := json.Marshal(rec)
	if size, maxBytes := len(data)+512+130*len(rec.Steps), limits.MaxValueBytes; err != nil || size > maxBytes {
		return nil, neverRuns("steps: %d bytes with what will become of them, at most %d are stored", size, maxBytes)
	}
	return &Admitted{ID: sub.ID, Record: rec, PackedTemplate: packed}, nil
}

// valueOr returns the value, or the fallback if there is none.
func valueOr(value *float64, fallback float64) float64 {
	if value != nil {
		return *value
	}
	return fallback
}

// intersect returns the elements of a that are also in b.
func intersect(a, b []string) (out []string) {
	for _, x := range a {
		if slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	return out
}

// grantTerms returns the limits that a ticket is granted, given those that it requests.
func (c Class) grantTerms(sub *format.Submission) (terms protocol.TicketTerms, err error) {
	limit := func(name string, requested *int, fallback, maximum int) protocol.GrantedLimit {
		granted := protocol.GrantedLimit{Requested: requested, Granted: fallback}
		if requested != nil {
			if granted.Granted = min(*requested, maximum); *requested > maximum && c.Over == RefuseExcess && err == nil {
				err = neverRuns("%s: %d asked for, %s allows %d", name, *requested, c.Lot, maximum)
			}
		}
		return granted
	}
	terms.MaxRetries = limit("maxRetriesPerTask", sub.MaxRetries, c.Retries, c.Retries)
	terms.MaxFailedTasks = limit("maxFailedTasksCount", sub.MaxFailedTasks, 0, c.Failed)
	requested := sub.Priority
	if requested == "" && sub.TicketPriority != nil {
		requested = priorityOfTicket(*sub.TicketPriority)
	}
	terms.Priority = requested
	if requested == "" {
		terms.Priority = priorities[min(slices.Index(priorities, "standard"), slices.Index(priorities, c.Urgency))]
	}
	if slices.Index(priorities, terms.Priority) > slices.Index(priorities, c.Urgency) {
		if c.Over == RefuseExcess && err == nil {
			err = neverRuns("urgency: %s asked for, %s allows %s", requested, c.Lot, c.Urgency)
		}
		terms.Priority, terms.RequestedPriority = c.Urgency, requested
	}
	return terms, err
}

// priorityOfTicket maps a render farm's priority of 0 to 100 to a priority of a job.
func priorityOfTicket(priority int) string {
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

// StepSpec returns the spec of the job for a step.
func StepSpec(rec *protocol.TicketRecord, step int) *protocol.JobSpec {
	ticketStep := &rec.Steps[step]
	spec := *rec.Base
	spec.ID = format.StepJobID(rec.Base.ID, step)
	spec.Tasks, spec.CPUs, spec.GPUs, spec.MemoryGB = ticketStep.Tasks, ticketStep.CPUs, ticketStep.GPUs, ticketStep.MemoryGB
	if ticketStep.Types != nil {
		spec.Types = ticketStep.Types
	}
	if ticketStep.Zone != "" {
		spec.Zone = ticketStep.Zone
	}
	spec.DeadlineS = nil // the deadline applies to the ticket and counts from its submission
	return &spec
}

// StepRef returns the reference from a step's job to its ticket.
func StepRef(rec *protocol.TicketRecord, step int) *protocol.StepRef {
	return &protocol.StepRef{Ticket: rec.Base.ID, Step: step, MaxRetries: rec.Terms.MaxRetries.Granted}
}

// Description is what workers receive about a step's job: its submission, the parameters of
// its tasks and the scripts.
type Description struct {
	protocol.JobSpec
	// These are always encoded: a submission must have them even if they are false or empty.
	OneZone bool            `json:"together"`
	Spread  bool            `json:"scatter"`
	Spot    bool            `json:"loaners"`
	Step    DescriptionStep `json:"step"`
}

// DescriptionStep is the part of a description that comes from the ticket.
type DescriptionStep struct {
	Ticket       string                 `json:"ticket"`
	Name         string                 `json:"name"` // of the ticket
	Step         string                 `json:"step"`
	Args         format.Args            `json:"parameters"`
	Space        *format.ParameterSpace `json:"parameterSpace,omitempty"`
	Script       format.Script          `json:"script"`
	Environments []format.Environment   `json:"environments,omitempty"` // those of the template, then those of the step
}

// Describe returns the descriptions of the steps of a ticket. The user uploads them under
// the ids of the jobs for the steps, as for any other job.
func Describe(sub *format.Submission, admitted *Admitted) ([]Description, error) {
	if sub.Template == nil {
		return nil, errors.New("no template")
	}
	var out []Description
	for i, step := range sub.Template.Steps {
		spec := StepSpec(admitted.Record, i)
		out = append(out, Description{JobSpec: *spec, OneZone: spec.OneZone, Spread: spec.Spread, Spot: spec.Spot, Step: DescriptionStep{Ticket: admitted.ID, Name: admitted.Record.Name, Step: step.Name,
			Args: sub.Args, Space: step.Space, Script: step.Script, Environments: slices.Concat(sub.Template.Environments, step.Environments)}})
	}
	return out, nil
}
