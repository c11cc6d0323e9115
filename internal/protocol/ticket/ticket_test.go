package ticket

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const sample = `
specificationVersion: jobtemplate-2023-09
name: "Preview of {{Param.Album}}"
parameterDefinitions:
  - {name: Album, type: STRING, minLength: 1, maxLength: 40}
  - {name: Last, type: INT, default: 10, minValue: 1, maxValue: 5000}
  - {name: Out, type: PATH, default: /out, objectType: DIRECTORY, dataFlow: OUT}
  - {name: Gamma, type: FLOAT, default: 2.2, userInterface: {control: SPIN_BOX}}
jobEnvironments:
  - name: licence
    variables: {LICENCE_AT: "10.0.0.1"}
steps:
  - name: render
    hostRequirements:
      amounts: [{name: amount.worker.vcpu, min: 4}, {name: amount.worker.gpu, min: 1}, {name: amount.worker.memory, min: 16384}]
      attributes: [{name: attr.worker.os.family, anyOf: [linux, windows]}, {name: attr.dapplestage.build, anyOf: [lente24]}]
    parameterSpace:
      taskParameterDefinitions:
        - {name: Frame, type: INT, range: "1-{{Param.Last}}"}
        - {name: Side, type: STRING, range: [left, right]}
    script:
      actions: {onRun: {command: render, args: ["{{Task.Param.Frame}}", "{{Task.File.Scene}}", "{{Param.Out}}"], timeout: 600}}
      embeddedFiles: [{name: Scene, type: TEXT, data: "gamma {{Param.Gamma}}\nside {{Task.Param.Side}}\n"}]
  - name: sheet
    dependencies: [{dependsOn: render}]
    script: {actions: {onRun: {command: montage}}}
`

func mustParse(t *testing.T, text string) *Template {
	t.Helper()
	tm, err := ParseTemplate([]byte(text), "")
	if err != nil {
		t.Fatal(err)
	}
	return tm
}

func TestExpandSample(t *testing.T) {
	tm := mustParse(t, sample)
	p, err := tm.Expand(Args{"Album": "Boda de Inés"})
	if err != nil {
		t.Fatal(err)
	}
	if p.Name != "Preview of Boda de Inés" || p.Tasks != 21 || *p.Steps[0].GPUs != 1 || *p.Steps[0].MemoryGB != 16 || !slices.Equal(p.Steps[1].Deps, []int{0}) {
		t.Fatalf("%+v", p)
	}
	if got := fmt.Sprint(p.Steps[0].Space.At(3)); got != "[{Frame INT 2} {Side STRING right}]" {
		t.Error(got)
	}
}

// Guards against templates whose errors are ignored: every invalid template is rejected with
// an error that names the field or the fault.
func TestInvalidTemplates(t *testing.T) {
	step := func(body string) string {
		return "specificationVersion: jobtemplate-2023-09\nname: n\nparameterDefinitions: [{name: S, type: STRING, default: a}, {name: N, type: INT, default: 3}, {name: P, type: PATH, default: /p}]\nsteps:\n- name: a\n  script: {actions: {onRun: {command: c}}}\n" + body
	}
	space := func(def string) string {
		return step("  parameterSpace: {taskParameterDefinitions: [" + def + "]}\n")
	}
	for _, c := range []struct{ text, want string }{
		{"specificationVersion: jobtemplate-2099-01\nname: n\nsteps: [{name: a, script: {actions: {onRun: {command: c}}}}]", "specificationVersion"},
		{step("  surprise: 1\n"), "steps[0].surprise"},
		{step("extensions: [TASK_CHUNKING]\n"), "extensions: extensions are not supported"},
		{step("  dependencies: [{dependsOn: b}]\n"), "there is no step"},
		{step("  dependencies: [{dependsOn: b}]\n- {name: b, dependencies: [{dependsOn: a}], script: {actions: {onRun: {command: c}}}}\n"), "a -> b -> a"},
		{step("  dependencies: [{dependsOn: a}]\n"), "a -> a"},
		{step("- {name: a, script: {actions: {onRun: {command: c}}}}\n"), "defined twice"},
		{step("  hostRequirements: {amounts: [{name: amount.worker.gpu.memory, min: 1}]}\n"), "amount.worker.gpu.memory"},
		{step("  hostRequirements: {amounts: [{name: amount.worker.vcpu, min: 1, max: 2}]}\n"), "hostRequirements.amounts[0].max"},
		{space("{name: F, type: INT, range: '1-9223372036854775808'}"), "is not within"},
		{space("{name: F, type: INT, range: '-9223372036854775808-9223372036854775807'}"), "more than 100000 values"},
		{space("{name: F, type: INT, range: '1-10:0'}"), "a step of 0"},
		{space("{name: F, type: INT, range: '10-1'}"), "is empty"},
		{space("{name: F, type: INT, range: '1-10,5'}"), "5 is in it twice"},
		{space("{name: F, type: INT, range: '1-{{Param.S}}'}"), "only INT parameters"},
		{space("{name: F, type: INT, range: '1-{{Param.Q}}'}"), "no such job parameter"},
		{space("{name: F, type: PATH, range: ['{{Param.P}}']}"), "known on the worker only"},
		{space("{name: F, type: 'CHUNK[INT]', range: '1-3'}"), "chunks"},
		{space("{name: F, type: INT, range: [1, x]}"), "not an integer"},
		{step("  parameterSpace: {taskParameterDefinitions: [{name: F, type: INT, range: '1-3'}], combination: 'F * F'}\n"), "F is in it twice"},
		{step("  parameterSpace: {taskParameterDefinitions: [{name: F, type: INT, range: '1-3'}, {name: G, type: INT, range: '1-3'}], combination: 'F'}\n"), "G is not in it"},
		{step("  stepEnvironments: [{name: e, variables: {A: '{{Task.Param.F}}'}}]\n"), "no such task parameter"},
		{strings.Replace(step(""), "command: c", "command: 'c {{Session.Nope}}'", 1), "not a value of the format"},
		{strings.Replace(step(""), "command: c", "command: 'c {{Param.S'", 1), "format string"},
		{strings.Replace(step(""), "command: c", "command: c, cancelation: {mode: NOTIFY_THEN_TERMINATE}", 1), "NOTIFY_THEN_TERMINATE"},
		{"a: &x [1]\nb: *x\n", "anchors and aliases"},
		{"{\"specificationVersion\": 1, \"specificationVersion\": 2}", "given twice"},
		{strings.Repeat("[", 30) + strings.Repeat("]", 30), "nested more than"},
		{"{" + strings.Repeat(" ", MaxTextBytes) + "}", "bytes long"},
	} {
		_, err := ParseTemplate([]byte(c.text), "")
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("wanted %q, got %v\n%s", c.want, err, c.text)
		}
	}
}

// Errors have the line, column and field of the value, in JSON and in YAML.
func TestErrorsHavePositions(t *testing.T) {
	for _, text := range []string{"specificationVersion: jobtemplate-2023-09\nname: n\nsteps:\n- name: a\n  script: {actions: {onRun: {command: 7}}}\n",
		"{\"specificationVersion\": \"jobtemplate-2023-09\", \"name\": \"n\",\n\"steps\": [\n{\"name\": \"a\",\n \"script\":\n {\"actions\": {\"onRun\": {\"command\": 7}}}}]}"} {
		_, err := ParseTemplate([]byte(text), "")
		e, ok := err.(*Error)
		if !ok || e.Line != 5 || e.Field != "steps[0].script.actions.onRun.command" || e.Col < 20 {
			t.Errorf("%v", err)
		}
	}
}

// Guards against parameter values that are parsed as format strings: references in a value
// stay text. Values that violate their definition are rejected.
func TestParameterValuesAreNotExpanded(t *testing.T) {
	tm := mustParse(t, sample)
	p, err := tm.Expand(Args{"Album": "{{Param.Last}} {{"})
	if err != nil || p.Name != "Preview of {{Param.Last}} {{" {
		t.Errorf("%v %v", p, err)
	}
	for _, a := range []Args{{"Album": "a\nb"}, {"Album": ""}, {"Album": strings.Repeat("x", 41)}, {}, {"Album": "a", "Last": "5001"}, {"Album": "a", "Last": "1-9"}, {"Album": "a", "Other": "1"}} {
		if _, err := tm.Expand(a); err == nil {
			t.Errorf("accepted %q", a)
		}
	}
	// A value may be inserted many times, so the length of the result must be limited.
	big := mustParse(t, "specificationVersion: jobtemplate-2023-09\nname: '"+strings.Repeat("{{Param.A}}", 2000)+"'\nparameterDefinitions: [{name: A, type: STRING}]\nsteps: [{name: a, script: {actions: {onRun: {command: c}}}}]")
	if _, err := big.Expand(Args{"A": strings.Repeat("x", 1000)}); err == nil || !strings.Contains(err.Error(), "longer than") {
		t.Error(err)
	}
}

// Guards against small templates that expand to a huge number of tasks: 200 bytes could
// define a billion.
func TestExpansionIsBounded(t *testing.T) {
	axes := func(n int, rng string) string {
		var b strings.Builder
		b.WriteString("specificationVersion: jobtemplate-2023-09\nname: n\nsteps: [{name: a, script: {actions: {onRun: {command: c}}}, parameterSpace: {taskParameterDefinitions: [")
		for i := range n {
			fmt.Fprintf(&b, "{name: P%d, type: INT, range: '%s'},", i, rng)
		}
		return b.String() + "]}}]"
	}
	for _, c := range []struct {
		n   int
		rng string
		ok  bool
	}{{1, "1-100000", true}, {1, "1-100001", false}, {2, "1-1000", false}, {16, "1-100000", false}, {5, "1-10", true}, {6, "1-10", false}} {
		tm, err := ParseTemplate([]byte(axes(c.n, c.rng)), "")
		if err == nil {
			_, err = tm.Expand(nil)
		}
		if (err == nil) != c.ok {
			t.Errorf("%d x %s: %v", c.n, c.rng, err)
		}
	}
}

// enumerateTasks is a slow reference implementation of TaskSpace that lists all tasks.
func enumerateTasks(axes []*axis, e *combineExpr) []map[string]string {
	var product func(terms []*combineTerm) []map[string]string
	term := func(t *combineTerm) []map[string]string {
		if t.Group == nil {
			var out []map[string]string
			for _, a := range axes {
				for i := 0; a.name == t.Name && i < a.len(); i++ {
					out = append(out, map[string]string{a.name: a.at(i)})
				}
			}
			return out
		}
		all := enumerateTasks(axes, t.Group[0])
		for _, g := range t.Group[1:] {
			for i, m := range enumerateTasks(axes, g) {
				for k, v := range m {
					all[i][k] = v
				}
			}
		}
		return all
	}
	product = func(terms []*combineTerm) []map[string]string {
		if len(terms) == 0 {
			return []map[string]string{{}}
		}
		var out []map[string]string
		for _, first := range term(terms[0]) {
			for _, rest := range product(terms[1:]) {
				m := map[string]string{}
				for k, v := range first {
					m[k] = v
				}
				for k, v := range rest {
					m[k] = v
				}
				out = append(out, m)
			}
		}
		return out
	}
	return product(e.Product)
}

// generator draws random templates.
type generator struct{ t *rapid.T }

func (g generator) rangeExpr() string {
	var parts []string
	at := rapid.IntRange(-500, 500).Draw(g.t, "from")
	for range rapid.IntRange(1, 3).Draw(g.t, "parts") {
		switch n := rapid.IntRange(1, 5).Draw(g.t, "count"); {
		case n == 1:
			parts = append(parts, fmt.Sprint(at))
		case rapid.Bool().Draw(g.t, "down"):
			parts = append(parts, fmt.Sprintf("%d-%d:-2", at+2*(n-1), at))
		default:
			parts = append(parts, fmt.Sprintf("%d-%d:%d", at, at+3*(n-1)+1, 3))
		}
		at += 100
	}
	return strings.Join(parts, ",")
}

// space draws a parameter space. Its combination expression names each parameter once, and
// its groups have parameters with the same number of values.
func (g generator) space() (*ParameterSpace, []*axis) {
	d := &ParameterSpace{}
	var axes []*axis
	var terms []string
	for i := range rapid.IntRange(1, 3).Draw(g.t, "terms") {
		a := TaskParameter{Name: fmt.Sprintf("A%d", i), Type: "INT", Range: Range{Expr: g.rangeExpr()}}
		v, _ := parseRange(a.Range.Expr)
		d.Parameters = append(d.Parameters, a)
		axes = append(axes, &axis{name: a.Name, typ: "INT", ints: v})
		if rapid.Bool().Draw(g.t, "group") {
			b := TaskParameter{Name: fmt.Sprintf("B%d", i), Type: "STRING"}
			for k := range v.len() {
				b.Range.List = append(b.Range.List, fmt.Sprintf("v%d", k))
			}
			d.Parameters = append(d.Parameters, b)
			axes = append(axes, &axis{name: b.Name, typ: "STRING", list: b.Range.List})
			terms = append(terms, "("+b.Name+", "+a.Name+")")
		} else {
			terms = append(terms, a.Name)
		}
	}
	if d.Combination = strings.Join(terms, " * "); len(terms) == len(axes) && rapid.Bool().Draw(g.t, "bare") {
		d.Combination = ""
	}
	return d, axes
}

func TestTaskSpaceMatchesEnumeration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, axes := generator{t}.space()
		var e *combineExpr
		if d.Combination != "" {
			var err error
			if e, err = parseCombination(d.Combination); err != nil {
				t.Fatal(err)
			}
		}
		s, err := newSpace(axes, e)
		if err != nil {
			t.Fatal(err)
		}
		if e == nil {
			e = &combineExpr{}
			for _, a := range axes {
				e.Product = append(e.Product, &combineTerm{Name: a.name})
			}
		}
		want := enumerateTasks(axes, e)
		if s.Len() != len(want) {
			t.Fatalf("%d tasks, want %d", s.Len(), len(want))
		}
		for i, w := range want {
			for _, b := range s.At(i) {
				if w[b.Name] != b.Value {
					t.Fatalf("task %d of %s: %v, want %v", i, d.Combination, s.At(i), w)
				}
			}
		}
	})
}

func (g generator) template() *Template {
	tm := &Template{Version: Version, Name: "n {{Param.P0}}", Description: rapid.StringMatching(`[ -~\n]{0,40}`).Draw(g.t, "description")}
	low, high, word := "-3", "70", rapid.StringMatching(`[^\p{C}"\\]{0,12}`).Draw(g.t, "word")
	tm.Parameters = []Parameter{{Name: "P0", Type: "STRING", Default: &word}, {Name: "P1", Type: "INT", Min: &low, Max: &high, Default: &high}}
	for i := range rapid.IntRange(1, 5).Draw(g.t, "steps") {
		s := Step{Name: fmt.Sprintf("step %d", i), Script: Script{Actions: Actions{Run: &Action{Command: "run {{Param.P1}}"}}}}
		for d := range i {
			if rapid.Bool().Draw(g.t, "dep") {
				s.Dependencies = append(s.Dependencies, Dependency{fmt.Sprintf("step %d", d)})
			}
		}
		if rapid.Bool().Draw(g.t, "space") {
			s.Space, _ = g.space()
		}
		if rapid.Bool().Draw(g.t, "host") {
			s.Host = &HostRequirements{Amounts: []Amount{{"amount.worker.vcpu", float64(rapid.IntRange(0, 64).Draw(g.t, "cpus")) / 2}}}
		}
		if rapid.Bool().Draw(g.t, "files") {
			s.Script.Files = []File{{Name: "F", Type: "TEXT", Data: rapid.StringMatching(`[ -z\n]{1,30}`).Draw(g.t, "data"), Runnable: true}}
			s.Script.Actions.Run.Args = []string{"{{Task.File.F}}", ""}
		}
		tm.Steps = append(tm.Steps, s)
	}
	return tm
}

// An encoded template parses as the same template, both as JSON and as YAML.
func TestEncodeAndParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tm := generator{t}.template()
		out, err := tm.EncodeJSON()
		if err != nil {
			t.Fatal(err)
		}
		for _, form := range []string{"JSON", "YAML"} {
			back, err := ParseTemplate(out, form)
			if err != nil {
				t.Fatalf("%s: %v\n%s", form, err, out)
			}
			if !reflect.DeepEqual(back, tm) {
				a, _ := json.Marshal(back)
				t.Fatalf("%s:\n%s\n%s", form, out, a)
			}
		}
	})
}

func TestPackAndUnpack(t *testing.T) {
	s := &Submission{Template: mustParse(t, sample), Args: Args{"Album": "a", "Last": "7"}}
	data, err := s.Pack()
	if err != nil {
		t.Fatal(err)
	}
	tm, p, err := Unpack(data)
	if err != nil || !reflect.DeepEqual(tm, s.Template) || p.Tasks != 15 {
		t.Error(err, p)
	}
	for i := range data {
		Unpack(data[:i]) // truncated data must cause an error, not a panic
	}
}

// A ticket by itself and the same ticket embedded in an ordinary submission are read as the
// same Submission.
func TestTicketAndEmbeddedTicketReadTheSame(t *testing.T) {
	tm, _ := mustParse(t, sample).EncodeJSON()
	rest := fmt.Sprintf(`"template":%s,"parameters":{"Album":"a","Last":{"int":"12"}},"priority":80,"maxRetriesPerTask":9,"maxFailedTasksCount":2`, tm)
	job := `"id":"job-7","lot":"preview-render","crew":"red","bundle":"img","sizeGb":2.5,"loaners":true,"region":null`
	a, err := ParseTicket([]byte("{" + job + "," + rest + "}"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := ParseEmbedded([]byte("{" + job + `,"unknown":1,"ticket":{` + rest + "}}"))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
	text, _ := json.Marshal(sample)
	c, err := ParseTicket([]byte("{" + job + "," + strings.Replace(rest, string(tm), string(text), 1) + `,"templateType":"YAML"}`))
	if err != nil || !reflect.DeepEqual(a, c) {
		t.Errorf("%v\n%+v\n%+v", err, a, c)
	}
	for body, want := range map[string]string{
		"{" + job + "," + rest + `,"maxWorkerCount":3}`:                "maxWorkerCount",
		"{" + job + "," + rest + `,"targetTaskRunStatus":"SUSPENDED"}`: "targetTaskRunStatus",
		"{" + job + "," + rest + `,"clientToken":"x"}`:                 "can't both",
		`{"lot":"l","crew":"c",` + rest + `}`:                          "id: is missing",
		`{"id":"job-1","lot":"l","crew":"c"}`:                          "template: is missing",
		`{"id":"j1","lot":"l","crew":"c",` + rest + `}`:                "id: must be",
	} {
		if _, err := ParseTicket([]byte(body)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("wanted %q, got %v", want, err)
		}
	}
}

func TestIDsAreDerived(t *testing.T) {
	if a, b := TokenTicketID("red", "x"), TokenTicketID("red", "x"); a != b || a == TokenTicketID("redx", "") || a == TokenTicketID("blue", "x") {
		t.Error(a, b)
	}
	if StepJobID("job-1", 0) == StepJobID("job-1", 1) || StepJobID("job-11", 0) == StepJobID("job-1", 10) {
		t.Error("two steps with one id")
	}
}

// Range expressions are compared with enumerated sets of values, including duplicates.
func TestRangesMatchEnumeratedSets(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var parts []string
		set, twice := map[int64]bool{}, false
		var order []int64
		for range 1 + rng.IntN(4) {
			from, step, n := int64(rng.IntN(40)-20), int64(1+rng.IntN(5)), int64(1+rng.IntN(6))
			if rng.IntN(2) == 0 {
				step = -step
			}
			parts = append(parts, fmt.Sprintf("%d-%d:%d", from, from+step*(n-1), step))
			if n == 1 {
				parts[len(parts)-1] = fmt.Sprint(from)
			}
			for i := range n {
				v := from + step*i
				twice = twice || set[v]
				set[v] = true
				order = append(order, v)
			}
		}
		expr := strings.Join(parts, ", ")
		r, err := parseRange(expr)
		if (err != nil) != twice {
			t.Fatalf("%s: %v, repeated %v", expr, err, twice)
		}
		for i, v := range order {
			if err == nil && (r.len() != len(order) || r.at(i) != v) {
				t.Fatalf("%s: value %d is %d, want %d", expr, i, r.at(i), v)
			}
		}
	}
}

func FuzzTemplate(f *testing.F) {
	f.Add([]byte(sample))
	out, _ := func() ([]byte, error) {
		tm, err := ParseTemplate([]byte(sample), "")
		if err != nil {
			return nil, err
		}
		return tm.EncodeJSON()
	}()
	f.Add(out)
	f.Add([]byte("a: &x [*x]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tm, err := ParseTemplate(data, "")
		if err != nil {
			return
		}
		out, err := tm.EncodeJSON()
		if err != nil {
			t.Fatal(err)
		}
		back, err := ParseTemplate(out, "JSON")
		if err != nil && len(out) <= MaxTextBytes {
			t.Fatalf("%v\n%s", err, out)
		}
		if err == nil && !reflect.DeepEqual(back, tm) {
			t.Fatalf("%s", out)
		}
		if p, err := tm.Expand(Args{}); err == nil {
			for _, s := range p.Steps {
				s.Space.At(s.Space.Len() - 1)
			}
		}
	})
}

func FuzzExpressions(f *testing.F) {
	for _, s := range []string{"1-100:2", "-5--1", "(A, B) * C", "a {{Param.X}} b", "{{", "1-9223372036854775807:3", "((((A))))"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if r, err := parseRange(s); err == nil {
			if n := r.len(); n < 1 || n > MaxTasks {
				t.Fatal(n)
			}
			r.at(r.len() - 1)
		}
		if e, err := parseCombination(s); err == nil && len(e.names(nil)) == 0 {
			t.Fatal("combination without a parameter")
		}
		if e, err := parseFormat(s); err == nil && len(e.refs()) == 0 {
			if back, err := e.resolve(nil); err != nil && len(s) <= maxString || err == nil && back != s {
				t.Fatalf("%q became %q, %v", s, back, err)
			}
		}
	})
}

func BenchmarkExpand(b *testing.B) {
	for _, n := range []int{1, 100, 10000, 100000} {
		text := strings.Replace(sample, "1-{{Param.Last}}", fmt.Sprintf("1-%d", max(1, (n-1)/2)), 1)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tm, err := ParseTemplate([]byte(text), "YAML")
				if err != nil {
					b.Fatal(err)
				}
				p, err := tm.Expand(Args{"Album": "a"})
				if err != nil {
					b.Fatal(err)
				}
				for i := range p.Steps[0].Space.Len() {
					p.Steps[0].Space.At(i)
				}
			}
			b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "tasks/s")
		})
	}
}
