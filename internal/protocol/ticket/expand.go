package ticket

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Plan is an expanded template: the steps to run, with the job parameters filled in. Tasks
// are identified by number; their parameters are computed from the number and never stored
// for all tasks.
type Plan struct {
	Name  string
	Tasks int // of all steps together
	Steps []PlanStep
}

// PlanStep is one step of a plan.
type PlanStep struct {
	Name  string
	Deps  []int // indices of the steps that must be done before
	Space *TaskSpace
	// Resources of a task; nil: not given, so the submission's or the class's apply.
	CPUs, GPUs, MemoryGB *float64
	Types                []string // allowed machine types; nil: not given
	Zone                 string
}

// Args are the given values of job parameters, by name.
type Args map[string]string

// Expand fills in the values of the job parameters and returns the steps with their tasks.
func (t *Template) Expand(given Args) (*Plan, error) {
	vals, err := t.bindParameters(given)
	if err != nil {
		return nil, err
	}
	lookup := func(ref string) (string, bool) {
		_, name, _ := strings.Cut(ref, ".")
		v, ok := vals[name]
		return v, ok
	}
	resolve := func(s, path string) (string, error) {
		f, err := parseFormat(s)
		if err == nil {
			s, err = f.resolve(lookup)
		}
		if err != nil {
			return "", &Error{Field: path, Text: err.Error()}
		}
		return s, nil
	}
	p := &Plan{}
	if p.Name, err = resolve(t.Name, "name"); err != nil {
		return nil, err
	}
	if n := len([]rune(p.Name)); n > maxJobNameLength {
		return nil, &Error{Field: "name", Text: fmt.Sprintf("is %d characters long, at most %d are taken", n, maxJobNameLength)}
	}
	index := map[string]int{}
	for i, s := range t.Steps {
		index[s.Name] = i
	}
	for i, s := range t.Steps {
		path := fmt.Sprintf("steps[%d]", i)
		ps := PlanStep{Name: s.Name}
		for _, d := range s.Dependencies {
			ps.Deps = append(ps.Deps, index[d.On])
		}
		if ps.Space, err = s.Space.expand(resolve, path+".parameterSpace"); err != nil {
			return nil, err
		}
		if err := ps.applyHostRequirements(s.Host, resolve, path+".hostRequirements"); err != nil {
			return nil, err
		}
		// Each is at most MaxTasks, so the sum can't overflow.
		if p.Tasks += ps.Space.Len(); p.Tasks > MaxTasks {
			return nil, &Error{Field: path, Text: fmt.Sprintf("the ticket has more than %d tasks", MaxTasks)}
		}
		p.Steps = append(p.Steps, ps)
	}
	return p, nil
}

// bindParameters checks the given values against the parameter definitions and adds defaults.
func (t *Template) bindParameters(given Args) (Args, error) {
	vals := Args{}
	for _, p := range t.Parameters {
		path := "parameters." + p.Name
		s, ok := given[p.Name]
		switch {
		case ok:
			v, err := parseScalar(p.Type, &value{kind: text, text: s})
			if err == nil {
				err = p.check(v, true)
			}
			if err != nil {
				return nil, &Error{Field: path, Text: err.Error()}
			}
			vals[p.Name] = v
		case p.Default != nil:
			vals[p.Name] = *p.Default
		default:
			return nil, &Error{Field: path, Text: "is missing and has no default"}
		}
	}
	for name := range given {
		if !slices.ContainsFunc(t.Parameters, func(p Parameter) bool { return p.Name == name }) {
			return nil, &Error{Field: "parameters", Text: fmt.Sprintf("the template has no parameter %s", quoteClipped(name))}
		}
	}
	return vals, nil
}

// resolveFunc replaces the references in a format string; path names the field in errors.
type resolveFunc func(s, path string) (string, error)

func (d *ParameterSpace) expand(resolve resolveFunc, path string) (*TaskSpace, error) {
	if d == nil {
		return nil, nil
	}
	var axes []*axis
	for i, p := range d.Parameters {
		path := fmt.Sprintf("%s.taskParameterDefinitions[%d].range", path, i)
		a := &axis{name: p.Name, typ: p.Type}
		invalid := func(err error) error { return &Error{Field: path, Text: err.Error()} }
		if p.Range.List == nil {
			s, err := resolve(p.Range.Expr, path)
			if err != nil {
				return nil, err
			}
			if a.ints, err = parseRange(s); err != nil {
				return nil, invalid(err)
			}
		}
		size := 0
		for k, it := range p.Range.List {
			s, err := resolve(it, fmt.Sprintf("%s[%d]", path, k))
			if err == nil {
				s, err = parseScalar(p.Type, &value{kind: text, text: s})
			}
			if err != nil {
				return nil, invalid(err)
			}
			if size += len(s); size > maxString {
				return nil, invalid(fmt.Errorf("longer than %d characters once its references are replaced", maxString))
			}
			if p.Type == "INT" {
				n, err := parseInt(s)
				if err != nil {
					return nil, invalid(err)
				}
				a.ints = append(a.ints, sequence{n, 1, 1})
			} else {
				a.list = append(a.list, s)
			}
		}
		axes = append(axes, a)
	}
	var e *combineExpr
	if d.Combination != "" {
		var err error
		if e, err = parseCombination(d.Combination); err != nil {
			return nil, &Error{Field: path + ".combination", Text: err.Error()}
		}
	}
	s, err := newSpace(axes, e)
	if err != nil {
		return nil, &Error{Field: path, Text: err.Error()}
	}
	return s, nil
}

// applyHostRequirements translates host requirements into the scheduler's resources, machine
// types and zone.
func (s *PlanStep) applyHostRequirements(h *HostRequirements, resolve resolveFunc, path string) error {
	if h == nil {
		return nil
	}
	for i, a := range h.Amounts {
		v := a.Min
		switch a.Name {
		case "amount.worker.vcpu":
			s.CPUs = &v
		case "amount.worker.gpu":
			if v != math.Trunc(v) {
				return &Error{Field: fmt.Sprintf("%s.amounts[%d].min", path, i), Text: "must be a whole number of GPUs"}
			}
			s.GPUs = &v
		case "amount.worker.memory":
			v /= 1024 // the format's unit is MiB
			s.MemoryGB = &v
		}
	}
	for i, a := range h.Attributes {
		var any, all []string
		for _, list := range []struct {
			from []string
			to   *[]string
		}{{a.AnyOf, &any}, {a.AllOf, &all}} {
			for _, v := range list.from {
				v, err := resolve(v, fmt.Sprintf("%s.attributes[%d]", path, i))
				if err != nil {
					return err
				}
				*list.to = append(*list.to, v)
			}
		}
		if err := s.applyAttribute(a.Name, any, all); err != nil {
			return &Error{Field: fmt.Sprintf("%s.attributes[%d]", path, i), Text: err.Error()}
		}
	}
	return nil
}

// applyAttribute restricts a step to machines with an attribute. A machine has exactly one
// value of each attribute, so allOf can be satisfied only if it names a single value.
func (s *PlanStep) applyAttribute(name string, any, all []string) error {
	allowed := any
	if all != nil {
		if len(slices.Compact(slices.Sorted(slices.Values(all)))) > 1 {
			return fmt.Errorf("no machine has all of %s", strings.Join(all, ", "))
		}
		if any != nil && !slices.Contains(any, all[0]) {
			return fmt.Errorf("anyOf and allOf leave nothing")
		}
		allowed = all[:1]
	}
	requireValue := func(have string) error {
		if !slices.Contains(allowed, have) {
			return fmt.Errorf("machines here are %s, not %s", have, strings.Join(allowed, ", "))
		}
		return nil
	}
	switch name {
	case "attr.worker.os.family":
		return requireValue("linux")
	case "attr.worker.cpu.arch":
		return requireValue("x86_64")
	case "attr.dapplestage.build":
		s.Types = allowed
	case "attr.dapplestage.region":
		if len(allowed) > 1 {
			return fmt.Errorf("one region, or none for any")
		}
		s.Zone = allowed[0]
	}
	return nil
}
