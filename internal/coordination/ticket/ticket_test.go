package ticket

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/protocol"
	format "dapplestage.example/dapplestage/internal/protocol/ticket"
)

// drawRecord draws the record of a ticket whose steps depend on earlier ones.
func drawRecord(t *rapid.T) *protocol.TicketRecord {
	rec := &protocol.TicketRecord{Base: &protocol.JobSpec{ID: "job-1", Shape: protocol.Array}, Terms: protocol.TicketTerms{MaxFailedTasks: protocol.GrantedLimit{Granted: rapid.IntRange(0, 2).Draw(t, "survives")}}}
	for i := range rapid.IntRange(1, 8).Draw(t, "steps") {
		step := protocol.TicketStep{Name: fmt.Sprint("s", i), Tasks: rapid.IntRange(1, 3).Draw(t, "tasks")}
		for dep := range i {
			if rapid.IntRange(0, 2).Draw(t, "dep") == 0 {
				step.Deps = append(step.Deps, dep)
			}
		}
		rec.Steps = append(rec.Steps, step)
	}
	return rec
}

// Whatever happens to its steps, every ticket reaches one final status: no step starts
// before its dependencies are done, none starts twice or after a failure or a cancellation,
// and never more than the limit are open.
func TestProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rec := drawRecord(t)
		states := make([]StepState, len(rec.Steps))
		maxOpen := rapid.IntRange(1, 4).Draw(t, "most")
		cancelled, started := false, map[int]bool{}
		for round := 0; ; round++ {
			if round > 200 {
				t.Fatalf("ticket does not end: %+v %+v", rec, states)
			}
			action := NextAction(rec, cancelled, states, maxOpen)
			switch {
			case action.FinalStatus != "":
				for i, step := range rec.Steps {
					if states[i].Open {
						t.Fatalf("ended with step %s open", step.Name)
					}
					if action.FinalStatus == protocol.JobDone && step.State != protocol.JobDone {
						t.Fatalf("done, but %s is %q", step.Name, step.State)
					}
				}
				if cancelled && rec.FailureReason == "" && action.FinalStatus != protocol.JobCancelled || rec.FailureReason != "" && action.FinalStatus != protocol.JobFailed {
					t.Fatalf("%s, cancelled %v, failing %q", action.FinalStatus, cancelled, rec.FailureReason)
				}
				return
			case action.FailReason != "":
				if cancelled || rec.FailureReason != "" {
					t.Fatal("failed twice, or after its cancellation")
				}
				rec = WithFailure(rec, action.FailReason)
			case action.StopSteps != nil:
				for _, i := range action.StopSteps {
					states[i].StopRequested = true
				}
			case action.OpenSteps != nil:
				if openable := OpenableSteps(rec, states, maxOpen); !reflect.DeepEqual(openable, action.OpenSteps) {
					t.Fatalf("opens %v, openable are %v", action.OpenSteps, openable)
				}
				for _, i := range action.OpenSteps {
					if cancelled || rec.FailureReason != "" || started[i] || states[i].Open {
						t.Fatalf("step %d starts, cancelled %v, failing %q, before %v", i, cancelled, rec.FailureReason, started[i])
					}
					for _, dep := range rec.Steps[i].Deps {
						if rec.Steps[dep].State != protocol.JobDone {
							t.Fatalf("step %d starts before %d is done", i, dep)
						}
					}
					started[i] = true
					states[i] = StepState{Open: true}
				}
				if open := slices.DeleteFunc(slices.Clone(states), func(s StepState) bool { return !s.Open }); len(open) > maxOpen {
					t.Fatalf("%d steps are open", len(open))
				}
			default:
				// An event for a random open step.
				var open []int
				for i := range states {
					if states[i].Open {
						open = append(open, i)
					}
				}
				if len(open) == 0 {
					t.Fatalf("no step is open and there is no action: %+v", rec)
				}
				i := rapid.SampledFrom(open).Draw(t, "which")
				switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
				case event == 0 && !states[i].StopRequested && states[i].FailedTasks < rec.Steps[i].Tasks:
					states[i].FailedTasks++
				case event == 1 && !cancelled && rec.FailureReason == "":
					cancelled = true
				default:
					stopped := states[i].StopRequested && !cancelled
					status := StepOutcome(states[i].StopRequested && cancelled, stopped, states[i].FailedTasks)
					rec = WithStepEnded(rec, i, status, rec.Steps[i].Tasks-states[i].FailedTasks, states[i].FailedTasks, nil)
					states[i] = StepState{}
				}
			}
		}
	})
}

// A gang with a task that has used up its retries can't complete: it is stopped and fails.
func TestGangWithFailedTaskIsStopped(t *testing.T) {
	rec := &protocol.TicketRecord{Base: &protocol.JobSpec{ID: "job-1", Shape: protocol.Gang}, Terms: protocol.TicketTerms{MaxFailedTasks: protocol.GrantedLimit{Granted: 5}}, Steps: []protocol.TicketStep{{Name: "a", Tasks: 3}}}
	if action := NextAction(rec, false, []StepState{{Open: true, FailedTasks: 1}}, 2); !slices.Equal(action.StopSteps, []int{0}) {
		t.Errorf("%+v", action)
	}
	if got := StepOutcome(true, true, 1); got != protocol.JobFailed {
		t.Error(got)
	}
}

// Only an error of the task counts against its retries, a limit of n retries allows n+1
// runs, and the pause between runs never shrinks or exceeds its maximum.
func TestRetries(t *testing.T) {
	for cause, counts := range map[string]bool{protocol.CauseError: true, protocol.CauseStopped: false, protocol.CausePeers: false, protocol.CauseIncomplete: false,
		protocol.CauseNoCapacity: false, protocol.CauseBusy: false, protocol.CauseUnknown: false, protocol.CauseDone: false, "": false} {
		if CountsAsRetry(cause) != counts {
			t.Error(cause)
		}
	}
	if RetriesExhausted(3, 3) || !RetriesExhausted(4, 3) || !RetriesExhausted(1, 0) {
		t.Error("a limit of three retries does not allow exactly four runs")
	}
	last := time.Duration(0)
	for errors := range 200 {
		if pause := RetryPause(errors); pause < last || pause > maxRetryPause || errors == 1 && pause != minRetryPause {
			t.Errorf("pause %v after %d errors, %v after one less", pause, errors, last)
		} else {
			last = pause
		}
	}
}

func parseSubmission(t *testing.T, extra string) *format.Submission {
	t.Helper()
	sub, err := format.ParseTicket([]byte(`{"id":"job-1","lot":"l","crew":"red",` + extra + `"template":{"specificationVersion":"jobtemplate-2023-09","name":"n","steps":[
		{"name":"a","script":{"actions":{"onRun":{"command":"c"}}},"parameterSpace":{"taskParameterDefinitions":[{"name":"F","type":"INT","range":"1-10"}]}},
		{"name":"b","dependencies":[{"dependsOn":"a"}],"hostRequirements":{"amounts":[{"name":"amount.worker.gpu","min":2}],"attributes":[{"name":"attr.dapplestage.build","anyOf":["g4","g8"]}]},"script":{"actions":{"onRun":{"command":"c"}}}}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	return sub
}

// A ticket gets the defaults of its class, and its requests are reduced to the limits of
// the class or refused, as the class says.
func TestClassLimits(t *testing.T) {
	class := Class{Lot: "l", Urgency: "standard", Shapes: []string{"sweep"}, Over: ReduceExcess, Retries: 2, Failed: 1, Tasks: 11, VCPUs: 2, Cards: 1, MemGB: 8, Bundle: "img", SizeGB: 3}
	limits := Limits{MaxValueBytes: 8000}
	admitted, err := Admit(parseSubmission(t, `"priority":95,"maxRetriesPerTask":7,"maxFailedTasksCount":4,"builds":["g8"],"expectS":9,`), ClassTable{"l": class}, limits)
	if err != nil {
		t.Fatal(err)
	}
	terms, spec := admitted.Record.Terms, StepSpec(admitted.Record, 1)
	if terms.MaxRetries.Granted != 2 || *terms.MaxRetries.Requested != 7 || terms.MaxFailedTasks.Granted != 1 || terms.Priority != "standard" || terms.RequestedPriority != "critical" {
		t.Errorf("%+v", terms)
	}
	if spec.GPUs != 2 || spec.CPUs != 2 || spec.Tasks != 1 || !slices.Equal(spec.Types, []string{"g8"}) || spec.Image != "img" || spec.EstimateS != 9 || spec.ID != format.StepJobID("job-1", 1) || spec.Priority != "standard" {
		t.Errorf("%+v", spec)
	}
	refuse := class
	refuse.Over = RefuseExcess
	small, gpu := class, class
	small.Tasks, gpu.MostGPU = 10, 1
	nothing := class
	nothing.VCPUs, nothing.Cards, nothing.MemGB = 0, 0, 0
	for _, tc := range []struct {
		extra  string
		class  Class
		limits Limits
		want   string
	}{
		{`"maxRetriesPerTask":3,`, refuse, limits, "maxRetriesPerTask: 3 asked for, l allows 2"},
		{`"urgency":"high",`, refuse, limits, "urgency: high asked for"},
		{`"maxFailedTasksCount":2,`, refuse, limits, "maxFailedTasksCount: 2"},
		{`"shape":"standing",`, class, limits, "shape: standing"},
		{`"shape":"gang",`, class, limits, "shape: gang"},
		{``, small, limits, "may have 10 tasks, this one has 11"},
		{``, gpu, limits, "2 cards a task, l allows 1"},
		{`"builds":["g1"],`, class, limits, "none of its machine types"},
		{``, nothing, limits, "a task takes nothing"},
		{``, class, Limits{MaxValueBytes: 300}, "bytes"},
		{``, Class{}, limits, "takes no tickets"},
	} {
		table := ClassTable{}
		if tc.class.Lot != "" {
			table["l"] = tc.class
		}
		if _, err := Admit(parseSubmission(t, tc.extra), table, tc.limits); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("wanted %q, got %v", tc.want, err)
		}
	}
}

// Each invalid class is rejected with an error that names the field, and stored classes
// replace those of the file only if they are valid.
func TestClassFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.toml")
	for text, want := range map[string]string{
		"[[classes]]\nlot = \"a\"\nretries = 101":            "retries: must be 0 to 100",
		"[[classes]]\nlot = \"a b\"":                         "lot: must be",
		"[[classes]]\nlot = \"a\"\nshapes = [\"standing\"]":  "shapes: must be",
		"[[classes]]\nlot = \"a\"\nover = \"ignore\"":        "over: must be",
		"[[classes]]\nlot = \"a\"\n[[classes]]\nlot = \"a\"": "there twice",
		"": "must be 1 to",
	} {
		os.WriteFile(path, []byte(text), 0o644)
		if _, err := ReadClasses(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("wanted %q, got %v", want, err)
		}
	}
	table, err := ReadClasses("../../../deploy/tickets.toml")
	if err != nil || len(table) != 2 {
		t.Fatal(err)
	}
	stored := ClassTable{"proofs": {Lot: "proofs", Urgency: "high", Shapes: []string{"sweep"}, Over: ReduceExcess, Tasks: 1}, "broken": {}}
	if merged := table.WithStored(stored); merged["proofs"].Urgency != "high" || len(merged) != 2 || table["proofs"].Urgency != "standard" {
		t.Errorf("%+v", merged)
	}
	if _, err := ParseClass("a", []byte(`{"urgency":"high","retires":3}`)); err == nil || !strings.Contains(err.Error(), "retires") {
		t.Error(err)
	}
}

// The descriptions for workers parse as submissions, like the description of any other job,
// and give the spec of the step.
func TestDescriptionsAreSubmissions(t *testing.T) {
	sub := parseSubmission(t, "")
	admitted, err := Admit(sub, ClassTable{"l": {Lot: "l", Urgency: "standard", Shapes: []string{"sweep"}, Over: ReduceExcess, Tasks: 50, VCPUs: 1, Bundle: "i", SizeGB: 1}}, Limits{8000})
	if err != nil {
		t.Fatal(err)
	}
	descriptions, err := Describe(sub, admitted)
	if err != nil || len(descriptions) != 2 {
		t.Fatal(err)
	}
	for i, description := range descriptions {
		spec, err := protocol.ParseJob(mustJSON(t, description))
		if err != nil || !reflect.DeepEqual(spec, StepSpec(admitted.Record, i)) {
			t.Errorf("%v\n%+v\n%+v", err, spec, StepSpec(admitted.Record, i))
		}
	}
}

func mustJSON(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
