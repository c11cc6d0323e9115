package ticket

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Version is the supported version of the template format.
const Version = "jobtemplate-2023-09"

// Limits of a template. They are those of the format where the format defines one.
const (
	maxParameters     = 50
	maxSteps          = 48 // not a limit of the format: a ticket's record must fit one stored value
	maxTaskParameters = 16
	maxListItems      = 1024
	maxNameLength     = 64
	maxJobNameLength  = 128
	maxDescription    = 2048
	maxEnvironments   = 16
	maxFiles          = 32
	maxArgs           = 256
)

// Template is a job template as it was written. Format strings are kept unresolved.
type Template struct {
	Version      string        `json:"specificationVersion"`
	Name         string        `json:"name"`
	Description  string        `json:"description,omitempty"`
	Parameters   []Parameter   `json:"parameterDefinitions,omitempty"`
	Environments []Environment `json:"jobEnvironments,omitempty"`
	Steps        []Step        `json:"steps"`
}

// Parameter is the definition of a job parameter. Numbers are kept as text.
type Parameter struct {
	Name        string          `json:"name"`
	Type        string          `json:"type"`
	Description string          `json:"description,omitempty"`
	Default     *string         `json:"default,omitempty"`
	Allowed     []string        `json:"allowedValues,omitempty"`
	Min         *string         `json:"minValue,omitempty"`
	Max         *string         `json:"maxValue,omitempty"`
	MinLength   *int            `json:"minLength,omitempty"`
	MaxLength   *int            `json:"maxLength,omitempty"`
	ObjectType  string          `json:"objectType,omitempty"`
	DataFlow    string          `json:"dataFlow,omitempty"`
	Interface   json.RawMessage `json:"userInterface,omitempty"`
}

// Environment is set up on a worker before tasks and removed after them. It has no
// influence on scheduling; the program that runs the tasks reads it from the template.
type Environment struct {
	Name        string            `json:"name"`
	Description string            `json:"description,omitempty"`
	Variables   map[string]string `json:"variables,omitempty"`
	Script      *Script           `json:"script,omitempty"`
}

// Script holds the actions that run on a worker, and the files that they need.
type Script struct {
	Actions Actions `json:"actions"`
	Files   []File  `json:"embeddedFiles,omitempty"`
}

// Actions are the actions of a step (onRun) or of an environment (onEnter, onExit).
type Actions struct {
	Run   *Action `json:"onRun,omitempty"`
	Enter *Action `json:"onEnter,omitempty"`
	Exit  *Action `json:"onExit,omitempty"`
}

// Action is a command that runs on a worker.
type Action struct {
	Command     string       `json:"command"`
	Args        []string     `json:"args,omitempty"`
	Timeout     *int         `json:"timeout,omitempty"`
	Cancelation *Cancelation `json:"cancelation,omitempty"`
}

// Cancelation defines how an action is stopped.
type Cancelation struct {
	Mode string `json:"mode"`
}

// File is an embedded text file that is written on the worker.
type File struct {
	Name     string `json:"name"`
	Type     string `json:"type"`
	Filename string `json:"filename,omitempty"`
	Data     string `json:"data"`
	Runnable bool   `json:"runnable,omitempty"`
}

// Step is a step of a template.
type Step struct {
	Name         string            `json:"name"`
	Description  string            `json:"description,omitempty"`
	Dependencies []Dependency      `json:"dependencies,omitempty"`
	Environments []Environment     `json:"stepEnvironments,omitempty"`
	Host         *HostRequirements `json:"hostRequirements,omitempty"`
	Space        *ParameterSpace   `json:"parameterSpace,omitempty"`
	Script       Script            `json:"script"`
}

// Dependency names a step that must be done before this one starts.
type Dependency struct {
	On string `json:"dependsOn"`
}

// HostRequirements are the requirements of a step's tasks on their machine.
type HostRequirements struct {
	Amounts    []Amount    `json:"amounts,omitempty"`
	Attributes []Attribute `json:"attributes,omitempty"`
}

// Amount is an amount of a resource that a task needs.
type Amount struct {
	Name string  `json:"name"`
	Min  float64 `json:"min"`
}

// Attribute is an attribute that a machine must have.
type Attribute struct {
	Name  string   `json:"name"`
	AnyOf []string `json:"anyOf,omitempty"`
	AllOf []string `json:"allOf,omitempty"`
}

// ParameterSpace defines the parameters of a step's tasks and how their values are combined.
type ParameterSpace struct {
	Parameters  []TaskParameter `json:"taskParameterDefinitions"`
	Combination string          `json:"combination,omitempty"`
}

// TaskParameter is the definition of a parameter of a step's tasks.
type TaskParameter struct {
	Name  string `json:"name"`
	Type  string `json:"type"`
	Range Range  `json:"range"`
}

// Range is a range expression of integers, or a list of values. Both may contain
// references.
type Range struct {
	Expr string
	List []string
}

// MarshalJSON encodes a range as the format defines it: as a string or a list.
func (r Range) MarshalJSON() ([]byte, error) {
	if r.List != nil {
		return json.Marshal(r.List)
	}
	return json.Marshal(r.Expr)
}

// ParseTemplate parses and checks a template. form is "JSON" or "YAML", or empty to detect
// which it is. The error is an *Error.
func ParseTemplate(data []byte, form string) (*Template, error) {
	v, err := parseDocument(data, form)
	if err != nil {
		return nil, err
	}
	return parseTemplateValue(v, "")
}

// EncodeJSON encodes a template as JSON, which parses as the same template.
func (t *Template) EncodeJSON() ([]byte, error) { return json.Marshal(t) }

// documentReader reads the values of a document and keeps the first error.
type documentReader struct {
	err    *Error
	params map[string]string // types of the job parameters, by name
}

// fail records an error, unless there is one already.
func (r *documentReader) fail(v *value, path, format string, a ...any) {
	if r.err == nil {
		r.err = &Error{Line: v.line, Col: v.col, Field: path, Text: fmt.Sprintf(format, a...)}
	}
}

// objectFields gives access to the fields of an object. It records which fields were read,
// so that rejectUnknown can reject the others.
type objectFields struct {
	reader *documentReader
	object *value
	path   string
	used   map[string]bool
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// object returns access to the fields of a value, which must be an object.
func (r *documentReader) object(v *value, path string) *objectFields {
	if v.kind != object {
		r.fail(v, path, "must be an object, not %s", v.kind)
	}
	return &objectFields{r, v, path, map[string]bool{}}
}

// get returns a field and its path. The field is nil if it is missing or null.
func (f *objectFields) get(name string) (*value, string) {
	f.used[name] = true
	for i, k := range f.object.keys {
		if k == name && f.object.kind == object && f.object.items[i].kind != null {
			return f.object.items[i], joinPath(f.path, name)
		}
	}
	return nil, joinPath(f.path, name)
}

// require returns a field and its path, and fails if the field is missing or null.
func (f *objectFields) require(name string) (*value, string) {
	v, path := f.get(name)
	if v == nil {
		f.reader.fail(f.object, path, "is missing")
		v = &value{kind: null, line: f.object.line, col: f.object.col}
	}
	return v, path
}

// unsupportedFields are the fields of the format that this package does not support, with the
// error text for each.
var unsupportedFields = map[string]string{
	"extensions":                  "extensions are not supported",
	"max":                         "an upper bound on a machine's amount is not supported",
	"notifyPeriodInSeconds":       "a notice before a task is stopped is not supported",
	"endOfLine":                   "is not supported",
	"chunks":                      "chunks of tasks are not supported",
	"parameterDefinitionsFromURI": "is not supported",
}

// rejectUnknown fails if the object has a field that was not read.
func (f *objectFields) rejectUnknown() {
	if f.object.kind != object {
		return
	}
	for i, k := range f.object.keys {
		if why, known := unsupportedFields[k]; known && !f.used[k] {
			f.reader.fail(f.object.items[i], joinPath(f.path, k), "%s", why)
		} else if !f.used[k] {
			f.reader.fail(f.object.items[i], joinPath(f.path, k), "is not a field of the format, or not supported")
		}
	}
}

// listItems returns the items of a list and checks their number.
func (r *documentReader) listItems(v *value, path string, minItems, maxItems int) []*value {
	if v.kind != list {
		r.fail(v, path, "must be a list, not %s", v.kind)
		return nil
	}
	if len(v.items) < minItems || len(v.items) > maxItems {
		r.fail(v, path, "has %d items, must have %d to %d", len(v.items), minItems, maxItems)
		return nil
	}
	return v.items
}

func itemPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// stringValue returns a string and checks its length in characters. Control characters are
// rejected, except line breaks and tabs in a multiline string.
func (r *documentReader) stringValue(v *value, path string, minLength, maxLength int, multiline bool) string {
	if v.kind != text {
		if v.kind != null {
			r.fail(v, path, "must be a string, not %s", v.kind)
		}
		return ""
	}
	if n := utf8.RuneCountInString(v.text); n < minLength || n > maxLength {
		r.fail(v, path, "is %d characters long, must be %d to %d", n, minLength, maxLength)
	}
	for _, c := range v.text {
		if unicode.IsControl(c) && !(multiline && (c == '\n' || c == '\t' || c == '\r')) {
			r.fail(v, path, "holds the control character U+%04X", c)
			break
		}
	}
	return v.text
}

func (f *objectFields) optStr(name string, maxLength int, multiline bool) string {
	v, path := f.get(name)
	if v == nil {
		return ""
	}
	return f.reader.stringValue(v, path, 0, maxLength, multiline)
}

// oneOf returns an optional field that must have one of the allowed values.
func (f *objectFields) oneOf(name, fallback string, allowed ...string) string {
	v, path := f.get(name)
	if v == nil {
		return fallback
	}
	s := f.reader.stringValue(v, path, 1, maxNameLength, false)
	if !slices.Contains(allowed, s) {
		f.reader.fail(v, path, "%s is not supported; one of %s is", quoteClipped(s), strings.Join(allowed, ", "))
	}
	return s
}

// isIdentifier reports whether s consists of letters, digits and underscores, and does not
// begin with a digit.
func isIdentifier(s string) bool {
	for i, c := range s {
		if c != '_' && !(c >= 'a' && c <= 'z') && !(c >= 'A' && c <= 'Z') && (i == 0 || c < '0' || c > '9') {
			return false
		}
	}
	return s != "" && len(s) <= maxNameLength
}

// identifier returns a required field that must be an identifier.
func (f *objectFields) identifier(name string) string {
	v, path := f.require(name)
	s := f.reader.stringValue(v, path, 1, maxNameLength, false)
	if s != "" && !isIdentifier(s) {
		f.reader.fail(v, path, "%s is not a name of letters, digits and _, at most %d", quoteClipped(s), maxNameLength)
	}
	return s
}

func (f *objectFields) optInt(name string, lower, upper int) *int {
	v, path := f.get(name)
	if v == nil {
		return nil
	}
	n, err := strconv.Atoi(v.text)
	if v.kind != integer && v.kind != text || err != nil || n < lower || n > upper {
		f.reader.fail(v, path, "must be an integer from %d to %d", lower, upper)
	}
	return &n
}

// scope defines which references a format string may have.
type scope struct {
	onWorker bool            // scripts, which may also refer to sessions and files
	task     map[string]bool // the step's task parameters
	files    map[string]bool // embedded files, by prefix and name
}

// formatString returns a format string and checks its references.
func (r *documentReader) formatString(v *value, path string, minLength, maxLength int, multiline bool, sc scope) string {
	s := r.stringValue(v, path, minLength, maxLength, multiline)
	f, err := parseFormat(s)
	if err != nil {
		r.fail(v, path, "%v", err)
		return s
	}
	for _, ref := range f.refs() {
		if why := r.checkReference(ref, sc); why != "" {
			r.fail(v, path, "{{%s}}: %s", ref, why)
		}
	}
	return s
}

// checkReference returns why a reference is invalid in the scope, or the empty string.
func (r *documentReader) checkReference(ref string, sc scope) string {
	parts := strings.Split(ref, ".")
	switch {
	case len(parts) == 2 && (parts[0] == "Param" || parts[0] == "RawParam"):
		typ, ok := r.params[parts[1]]
		if !ok {
			return "no such job parameter"
		}
		if typ == "PATH" && parts[0] == "Param" && !sc.onWorker {
			return "a PATH is known on the worker only; RawParam gives it as it was submitted"
		}
	case len(parts) == 3 && parts[0] == "Task" && (parts[1] == "Param" || parts[1] == "RawParam"):
		if !sc.task[parts[2]] {
			return "no such task parameter here"
		}
	case len(parts) == 3 && parts[1] == "File" && (parts[0] == "Task" || parts[0] == "Env"):
		if !sc.files[parts[0]+"."+parts[2]] {
			return "no such embedded file here"
		}
	case ref == "Session.WorkingDirectory" || ref == "Session.HasPathMappingRules" || ref == "Session.PathMappingRulesFile":
		if !sc.onWorker {
			return "known on the worker only"
		}
	default:
		return "not a value of the format"
	}
	return ""
}

func parseTemplateValue(v *value, path string) (*Template, error) {
	r := &documentReader{params: map[string]string{}}
	f := r.object(v, path)
	t := &Template{}
	ver, vpath := f.require("specificationVersion")
	if t.Version = r.stringValue(ver, vpath, 1, maxNameLength, false); t.Version != Version {
		r.fail(ver, vpath, "%s is not supported; %s is", quoteClipped(t.Version), Version)
	}
	f.get("$schema")
	if v, path := f.get("parameterDefinitions"); v != nil {
		for i, it := range r.listItems(v, path, 1, maxParameters) {
			p := r.readParameter(it, itemPath(path, i))
			if _, twice := r.params[p.Name]; twice {
				r.fail(it, itemPath(path, i), "parameter %s is defined twice", p.Name)
			}
			r.params[p.Name] = p.Type
			t.Parameters = append(t.Parameters, p)
		}
	}
	name, npath := f.require("name")
	t.Name = r.formatString(name, npath, 1, maxString, false, scope{})
	t.Description = f.optStr("description", maxDescription, true)
	envs := map[string]bool{}
	t.Environments = r.readEnvironments(f, "jobEnvironments", envs)
	steps, spath := f.require("steps")
	stepIndex := map[string]int{}
	var stepValues []*value
	if steps.kind != null {
		for i, it := range r.listItems(steps, spath, 1, maxSteps) {
			s := r.readStep(it, itemPath(spath, i), envs)
			if _, twice := stepIndex[s.Name]; twice {
				r.fail(it, itemPath(spath, i)+".name", "step %s is defined twice", quoteClipped(s.Name))
			}
			stepIndex[s.Name] = i
			t.Steps = append(t.Steps, s)
			stepValues = append(stepValues, it)
		}
	}
	r.checkDependencies(t, spath, stepIndex, stepValues)
	f.rejectUnknown()
	if r.err != nil {
		return nil, r.err
	}
	return t, nil
}

// checkDependencies rejects dependencies on unknown steps and cyclic dependencies. The error
// names the cycle.
func (r *documentReader) checkDependencies(t *Template, path string, stepIndex map[string]int, stepValues []*value) {
	state := make([]int, len(t.Steps)) // 1: being visited, 2: checked
	var chain []string
	var visit func(i int)
	visit = func(i int) {
		state[i] = 1
		chain = append(chain, t.Steps[i].Name)
		for k, d := range t.Steps[i].Dependencies {
			p := fmt.Sprintf("%s[%d].dependencies[%d].dependsOn", path, i, k)
			j, ok := stepIndex[d.On]
			switch {
			case !ok:
				r.fail(stepValues[i], p, "there is no step %s", quoteClipped(d.On))
			case state[j] == 1:
				cycle := append(slices.Clone(chain[slices.Index(chain, d.On):]), d.On)
				r.fail(stepValues[i], p, "steps depend on one another: %s", strings.Join(cycle, " -> "))
			case state[j] == 0:
				visit(j)
			}
		}
		chain = chain[:len(chain)-1]
		state[i] = 2
	}
	for i := range t.Steps {
		if state[i] == 0 && r.err == nil {
			visit(i)
		}
	}
}

var parameterTypes = []string{"INT", "FLOAT", "STRING", "PATH"}

func (r *documentReader) readParameter(v *value, path string) Parameter {
	f := r.object(v, path)
	p := Parameter{Name: f.identifier("name")}
	f.require("type")
	p.Type = f.oneOf("type", "", parameterTypes...)
	p.Description = f.optStr("description", maxDescription, true)
	r.readBounds(f, &p)
	if p.Type == "PATH" {
		p.ObjectType = f.oneOf("objectType", "", "FILE", "DIRECTORY")
		p.DataFlow = f.oneOf("dataFlow", "", "NONE", "IN", "OUT", "INOUT")
	}
	if v, path := f.get("allowedValues"); v != nil {
		for i, it := range r.listItems(v, path, 1, maxListItems) {
			p.Allowed = append(p.Allowed, r.readChecked(&p, it, itemPath(path, i), false))
		}
	}
	if v, path := f.get("default"); v != nil {
		s := r.readChecked(&p, v, path, true)
		p.Default = &s
	}
	if v, path := f.get("userInterface"); v != nil {
		r.object(v, path)
		p.Interface, _ = json.Marshal(v.decoded())
	}
	f.rejectUnknown()
	return p
}

// readBounds reads the minimum and maximum of a numeric parameter's value or of a text
// parameter's length.
func (r *documentReader) readBounds(f *objectFields, p *Parameter) {
	switch p.Type {
	case "":
	case "INT", "FLOAT":
		p.Min, p.Max = r.readBound(f, "minValue", p.Type), r.readBound(f, "maxValue", p.Type)
		if p.Min != nil && p.Max != nil && r.err == nil && lessValue(p.Type, *p.Max, *p.Min) {
			r.fail(f.object, f.path+".maxValue", "%s is below minValue %s", *p.Max, *p.Min)
		}
	default:
		p.MinLength, p.MaxLength = f.optInt("minLength", 0, maxParameterValue), f.optInt("maxLength", 1, maxParameterValue)
		if p.MinLength != nil && p.MaxLength != nil && *p.MinLength > *p.MaxLength {
			r.fail(f.object, f.path+".maxLength", "%d is below minLength %d", *p.MaxLength, *p.MinLength)
		}
	}
}

func (r *documentReader) readBound(f *objectFields, name, typ string) *string {
	v, path := f.get(name)
	if v == nil {
		return nil
	}
	s, err := parseScalar(typ, v)
	if err != nil {
		r.fail(v, path, "%v", err)
	}
	return &s
}

// readChecked reads a value of a parameter and checks it against the parameter's definition.
func (r *documentReader) readChecked(p *Parameter, v *value, path string, allowed bool) string {
	s, err := parseScalar(p.Type, v)
	if err == nil {
		err = p.check(s, allowed)
	}
	if err != nil {
		r.fail(v, path, "%v", err)
	}
	return s
}

// maxParameterValue is the maximum length of a job parameter's value in characters.
const maxParameterValue = 1024

// parseScalar checks that a value is of a parameter's type and returns it as text.
func parseScalar(typ string, v *value) (string, error) {
	switch typ {
	case "INT":
		if v.kind == integer || v.kind == text {
			if n, err := strconv.ParseInt(strings.TrimPrefix(v.text, "+"), 10, 64); err == nil {
				return strconv.FormatInt(n, 10), nil
			}
		}
		return "", fmt.Errorf("%s is not an integer of 64 bits", quoteClipped(v.text))
	case "FLOAT":
		if v.kind == integer || v.kind == float || v.kind == text {
			if x, err := strconv.ParseFloat(v.text, 64); err == nil && !math.IsInf(x, 0) && !math.IsNaN(x) && !strings.ContainsAny(v.text, "xX_") {
				return v.text, nil
			}
		}
		return "", fmt.Errorf("%s is not a finite number", quoteClipped(v.text))
	}
	if v.kind != text {
		return "", fmt.Errorf("must be a string, not %s", v.kind)
	}
	return v.text, nil
}

// lessValue reports whether a is below b; both are valid numbers of the type.
func lessValue(typ, a, b string) bool {
	if typ == "INT" {
		x, _ := strconv.ParseInt(a, 10, 64)
		y, _ := strconv.ParseInt(b, 10, 64)
		return x < y
	}
	x, _ := strconv.ParseFloat(a, 64)
	y, _ := strconv.ParseFloat(b, 64)
	return x < y
}

// check checks a value against the bounds of the definition; with allowed, also against the
// list of allowed values.
func (p *Parameter) check(s string, allowed bool) error {
	n := utf8.RuneCountInString(s)
	switch {
	case n > maxParameterValue:
		return fmt.Errorf("is %d characters long, at most %d are taken", n, maxParameterValue)
	case p.Min != nil && lessValue(p.Type, s, *p.Min):
		return fmt.Errorf("%s is below minValue %s", s, *p.Min)
	case p.Max != nil && lessValue(p.Type, *p.Max, s):
		return fmt.Errorf("%s is above maxValue %s", s, *p.Max)
	case p.MinLength != nil && n < *p.MinLength:
		return fmt.Errorf("is %d characters long, below minLength %d", n, *p.MinLength)
	case p.MaxLength != nil && n > *p.MaxLength:
		return fmt.Errorf("is %d characters long, above maxLength %d", n, *p.MaxLength)
	case allowed && p.Allowed != nil && !slices.ContainsFunc(p.Allowed, func(a string) bool {
		return a == s || p.Type == "FLOAT" && !lessValue(p.Type, a, s) && !lessValue(p.Type, s, a)
	}):
		return fmt.Errorf("%s is not one of allowedValues", quoteClipped(s))
	}
	for _, c := range s {
		if unicode.IsControl(c) {
			return fmt.Errorf("holds the control character U+%04X", c)
		}
	}
	return nil
}

func (r *documentReader) readStep(v *value, path string, jobEnvs map[string]bool) Step {
	f := r.object(v, path)
	s := Step{}
	name, npath := f.require("name")
	s.Name = r.stringValue(name, npath, 1, maxNameLength, false)
	s.Description = f.optStr("description", maxDescription, true)
	if v, path := f.get("dependencies"); v != nil {
		for i, it := range r.listItems(v, path, 1, maxSteps) {
			d := r.object(it, itemPath(path, i))
			on, opath := d.require("dependsOn")
			dep := Dependency{r.stringValue(on, opath, 1, maxNameLength, false)}
			if slices.Contains(s.Dependencies, dep) {
				r.fail(it, opath, "%s is named twice", quoteClipped(dep.On))
			}
			s.Dependencies = append(s.Dependencies, dep)
			d.rejectUnknown()
		}
	}
	if v, path := f.get("hostRequirements"); v != nil {
		s.Host = r.readHostRequirements(v, path)
	}
	task := map[string]bool{}
	if v, path := f.get("parameterSpace"); v != nil {
		s.Space = r.readParameterSpace(v, path)
		for _, p := range s.Space.Parameters {
			task[p.Name] = true
		}
	}
	envs := map[string]bool{}
	for e := range jobEnvs {
		envs[e] = true
	}
	s.Environments = r.readEnvironments(f, "stepEnvironments", envs)
	script, spath := f.require("script")
	if script.kind != null {
		s.Script = r.readScript(script, spath, "Task", task, "onRun")
		if s.Script.Actions.Run == nil {
			r.fail(script, spath+".actions.onRun", "is missing")
		}
	}
	f.rejectUnknown()
	return s
}

// knownAmounts are the names of the supported amounts.
var knownAmounts = []string{"amount.worker.vcpu", "amount.worker.memory", "amount.worker.gpu"}

// knownAttributes are the names of the supported attributes.
var knownAttributes = []string{"attr.worker.os.family", "attr.worker.cpu.arch", "attr.dapplestage.build", "attr.dapplestage.region"}

func (r *documentReader) readHostRequirements(v *value, path string) *HostRequirements {
	f := r.object(v, path)
	h := &HostRequirements{}
	names := map[string]bool{}
	if v, path := f.get("amounts"); v != nil {
		for i, it := range r.listItems(v, path, 1, 50) {
			h.Amounts = append(h.Amounts, r.readAmount(it, itemPath(path, i), names))
		}
	}
	if v, path := f.get("attributes"); v != nil {
		for i, it := range r.listItems(v, path, 1, 50) {
			h.Attributes = append(h.Attributes, r.readAttribute(it, itemPath(path, i), names))
		}
	}
	if h.Amounts == nil && h.Attributes == nil {
		r.fail(v, path, "amounts or attributes are needed")
	}
	f.rejectUnknown()
	return h
}

// readRequirementName reads the name of a requirement. It must be one of known and not be in
// names, to which it is added.
func (r *documentReader) readRequirementName(f *objectFields, known []string, names map[string]bool) string {
	v, path := f.require("name")
	s := r.stringValue(v, path, 1, 100, false)
	if s != "" && !slices.Contains(known, s) {
		r.fail(v, path, "%s is not supported; of %s", quoteClipped(s), strings.Join(known, ", "))
	}
	if names[s] {
		r.fail(v, path, "%s is named twice", quoteClipped(s))
	}
	names[s] = true
	return s
}

func (r *documentReader) readAmount(it *value, path string, names map[string]bool) Amount {
	f := r.object(it, path)
	a := Amount{Name: r.readRequirementName(f, knownAmounts, names)}
	v, vpath := f.require("min")
	x, err := strconv.ParseFloat(v.text, 64)
	if v.kind != null && (v.kind != integer && v.kind != float || err != nil || !(x >= 0) || x > 1e6) {
		r.fail(v, vpath, "must be a number from 0 to 1000000")
	}
	a.Min = x
	f.rejectUnknown()
	return a
}

func (r *documentReader) readAttribute(it *value, path string, names map[string]bool) Attribute {
	f := r.object(it, path)
	a := Attribute{Name: r.readRequirementName(f, knownAttributes, names)}
	values := func(name string) (out []string) {
		if v, path := f.get(name); v != nil {
			for i, it := range r.listItems(v, path, 1, 50) {
				out = append(out, r.formatString(it, itemPath(path, i), 1, 100, false, scope{}))
			}
		}
		return out
	}
	a.AnyOf, a.AllOf = values("anyOf"), values("allOf")
	if a.AnyOf == nil && a.AllOf == nil {
		r.fail(it, f.path, "anyOf or allOf is needed")
	}
	f.rejectUnknown()
	return a
}

func (r *documentReader) readParameterSpace(v *value, path string) *ParameterSpace {
	f := r.object(v, path)
	s := &ParameterSpace{}
	defs, dpath := f.require("taskParameterDefinitions")
	names := map[string]bool{}
	if defs.kind != null {
		for i, it := range r.listItems(defs, dpath, 1, maxTaskParameters) {
			p := r.readTaskParameter(it, itemPath(dpath, i))
			if names[p.Name] {
				r.fail(it, itemPath(dpath, i), "parameter %s is defined twice", p.Name)
			}
			names[p.Name] = true
			s.Parameters = append(s.Parameters, p)
		}
	}
	if v, path := f.get("combination"); v != nil {
		s.Combination = r.stringValue(v, path, 1, 1280, false)
		e, err := parseCombination(s.Combination)
		if err != nil {
			r.fail(v, path, "%v", err)
		} else {
			missing := map[string]bool{}
			for n := range names {
				missing[n] = true
			}
			for _, n := range e.names(nil) {
				if !names[n] {
					r.fail(v, path, "there is no task parameter %s", quoteClipped(n))
				} else if !missing[n] {
					r.fail(v, path, "%s is in it twice", n)
				}
				delete(missing, n)
			}
			for _, p := range s.Parameters {
				if missing[p.Name] {
					r.fail(v, path, "%s is not in it", p.Name)
				}
			}
		}
	}
	f.rejectUnknown()
	return s
}

func (r *documentReader) readTaskParameter(v *value, path string) TaskParameter {
	f := r.object(v, path)
	p := TaskParameter{Name: f.identifier("name")}
	if t, tpath := f.require("type"); t.kind == text && t.text == "CHUNK[INT]" {
		r.fail(t, tpath, "chunks of tasks are not supported")
	}
	p.Type = f.oneOf("type", "", parameterTypes...)
	rng, rpath := f.require("range")
	switch {
	case rng.kind == list:
		for i, it := range r.listItems(rng, rpath, 1, maxListItems) {
			ipath := itemPath(rpath, i)
			s := it.text
			if it.kind == text {
				s = r.formatString(it, ipath, 0, maxParameterValue, false, scope{})
			}
			if !strings.Contains(s, "{{") {
				var err error
				if s, err = parseScalar(p.Type, it); err != nil {
					r.fail(it, ipath, "%v", err)
				}
			}
			p.Range.List = append(p.Range.List, s)
		}
	case rng.kind == text && p.Type == "INT":
		p.Range.Expr = r.formatString(rng, rpath, 1, 4096, false, scope{})
		if e, err := parseFormat(p.Range.Expr); err == nil {
			for _, ref := range e.refs() {
				// A string parameter could insert commas and dashes into the expression,
				// so only integer parameters are allowed.
				if _, name, _ := strings.Cut(ref, "."); r.params[name] != "INT" {
					r.fail(rng, rpath, "{{%s}}: only INT parameters may stand in a range expression", ref)
				}
			}
			if len(e.refs()) == 0 {
				if _, err := parseRange(p.Range.Expr); err != nil {
					r.fail(rng, rpath, "%v", err)
				}
			}
		}
	case rng.kind != null:
		r.fail(rng, rpath, "must be a list of values, or for INT a range expression")
	}
	f.rejectUnknown()
	return p
}

func (r *documentReader) readEnvironments(f *objectFields, name string, names map[string]bool) (out []Environment) {
	v, path := f.get(name)
	if v == nil {
		return nil
	}
	for i, it := range r.listItems(v, path, 1, maxEnvironments) {
		path := itemPath(path, i)
		f := r.object(it, path)
		e := Environment{}
		n, npath := f.require("name")
		e.Name = r.stringValue(n, npath, 1, maxNameLength, false)
		if names[e.Name] {
			r.fail(n, npath, "environment %s is defined twice", quoteClipped(e.Name))
		}
		names[e.Name] = true
		e.Description = f.optStr("description", maxDescription, true)
		if v, path := f.get("variables"); v != nil {
			if r.object(v, path); len(v.keys) > maxListItems || len(v.keys) == 0 {
				r.fail(v, path, "has %d items, must have 1 to %d", len(v.keys), maxListItems)
			}
			e.Variables = map[string]string{}
			for k, name := range v.keys {
				if !isIdentifier(name) {
					r.fail(v.items[k], joinPath(path, name), "is not a name of letters, digits and _, at most %d", maxNameLength)
				}
				e.Variables[name] = r.formatString(v.items[k], joinPath(path, name), 0, 2048, true, scope{onWorker: true})
			}
		}
		if v, path := f.get("script"); v != nil {
			s := r.readScript(v, path, "Env", nil, "onEnter", "onExit")
			e.Script = &s
		}
		if e.Script == nil && e.Variables == nil {
			r.fail(it, path, "script or variables are needed")
		}
		f.rejectUnknown()
		out = append(out, e)
	}
	return out
}

func (r *documentReader) readScript(v *value, path, prefix string, task map[string]bool, actions ...string) Script {
	f := r.object(v, path)
	s := Script{}
	sc := scope{onWorker: true, task: task, files: map[string]bool{}}
	if v, path := f.get("embeddedFiles"); v != nil {
		items := r.listItems(v, path, 1, maxFiles)
		for i, it := range items { // all names first, since files may refer to one another
			r.noteFileName(it, itemPath(path, i), prefix, sc.files)
		}
		for i, it := range items {
			s.Files = append(s.Files, r.readFile(it, itemPath(path, i), sc))
		}
	}
	if v, path := f.require("actions"); v.kind != null {
		s.Actions = r.readActions(v, path, sc, actions)
	}
	f.rejectUnknown()
	return s
}

// noteFileName records the name of an embedded file, which must not be in files yet.
func (r *documentReader) noteFileName(it *value, path, prefix string, files map[string]bool) {
	name, _ := r.object(it, path).get("name")
	if name == nil {
		return
	}
	key := prefix + "." + name.text
	if files[key] {
		r.fail(name, path+".name", "file %s is defined twice", quoteClipped(name.text))
	}
	files[key] = true
}

func (r *documentReader) readFile(it *value, path string, sc scope) File {
	f := r.object(it, path)
	file := File{Name: f.identifier("name")}
	f.require("type")
	file.Type = f.oneOf("type", "", "TEXT")
	file.Filename = f.optStr("filename", maxNameLength, false)
	if strings.ContainsAny(file.Filename, `/\`) || file.Filename == "." || file.Filename == ".." {
		r.fail(it, path+".filename", "%s is not a plain file name", quoteClipped(file.Filename))
	}
	d, dpath := f.require("data")
	file.Data = r.formatString(d, dpath, 1, maxString, true, sc)
	if v, path := f.get("runnable"); v != nil {
		if v.kind != boolean {
			r.fail(v, path, "must be true or false")
		}
		file.Runnable = v.text == "true"
	}
	f.rejectUnknown()
	return file
}

// readActions reads the actions of a script. Only those in names are allowed, and at least one
// of them is required.
func (r *documentReader) readActions(v *value, path string, sc scope, names []string) (out Actions) {
	f := r.object(v, path)
	targets := map[string]**Action{"onRun": &out.Run, "onEnter": &out.Enter, "onExit": &out.Exit}
	found := false
	for _, name := range names {
		if v, path := f.get(name); v != nil {
			found = true
			*targets[name] = r.readAction(v, path, sc)
		}
	}
	if !found {
		r.fail(v, path, "one of %s is needed", strings.Join(names, ", "))
	}
	f.rejectUnknown()
	return out
}

func (r *documentReader) readAction(v *value, path string, sc scope) *Action {
	f := r.object(v, path)
	a := &Action{}
	c, cpath := f.require("command")
	a.Command = r.formatString(c, cpath, 1, maxParameterValue, false, sc)
	if v, path := f.get("args"); v != nil {
		for i, it := range r.listItems(v, path, 0, maxArgs) {
			a.Args = append(a.Args, r.formatString(it, itemPath(path, i), 0, 8192, true, sc))
		}
	}
	a.Timeout = f.optInt("timeout", 1, 1<<31-1)
	if v, path := f.get("cancelation"); v != nil {
		c := r.object(v, path)
		c.require("mode")
		a.Cancelation = &Cancelation{c.oneOf("mode", "", "TERMINATE")}
		c.rejectUnknown()
	}
	f.rejectUnknown()
	return a
}
