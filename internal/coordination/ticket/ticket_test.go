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

// drawRecord draws a ticket's record: steps that depend on earlier ones.
func drawRecord(t *rapid.T) *protocol.TicketRecord {
	r := &protocol.TicketRecord{Base: &protocol.JobSpec{ID: "job-1", Shape: protocol.Array}, Terms: protocol.TicketTerms{MaxFailedTasks: protocol.GrantedLimit{Granted: rapid.IntRange(0, 2).Draw(t, "survives")}}}
	for i := range rapid.IntRange(1, 8).Draw(t, "steps") {
		st := protocol.TicketStep{Name: fmt.Sprint("s", i), Tasks: rapid.IntRange(1, 3).Draw(t, "tasks")}
		for d := range i {
			if rapid.IntRange(0, 2).Draw(t, "dep") == 0 {
				st.Deps = append(st.Deps, d)
			}
		}
		r.Steps = append(r.Steps, st)
	}
	return r
}

// Whatever its steps come to, a ticket goes on to one end: no step starts before those
// it depends on are done, none starts twice, none after a failure or a cancellation,
// and never more than allowed are open.
func TestProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rec := drawRecord(t)
		now := make([]StepState, len(rec.Steps))
		most := rapid.IntRange(1, 4).Draw(t, "most")
		cancelled, started := false, map[int]bool{}
		for round := 0; ; round++ {
			if round > 200 {
				t.Fatalf("no end: %+v %+v", rec, now)
			}
			d := NextAction(rec, cancelled, now, most)
			switch {
			case d.FinalStatus != "":
				for i, st := range rec.Steps {
					if now[i].Open {
						t.Fatalf("over with %s open", st.Name)
					}
					if d.FinalStatus == protocol.JobDone && st.State != protocol.JobDone {
						t.Fatalf("done, but %s is %q", st.Name, st.State)
					}
				}
				if cancelled && rec.FailureReason == "" && d.FinalStatus != protocol.JobCancelled || rec.FailureReason != "" && d.FinalStatus != protocol.JobFailed {
					t.Fatalf("%s, cancelled %v, failing %q", d.FinalStatus, cancelled, rec.FailureReason)
				}
				return
			case d.FailReason != "":
				if cancelled || rec.FailureReason != "" {
					t.Fatal("failed twice, or after its cancellation")
				}
				rec = WithFailure(rec, d.FailReason)
			case d.StopSteps != nil:
				for _, i := range d.StopSteps {
					now[i].StopRequested = true
				}
			case d.OpenSteps != nil:
				if may := OpenableSteps(rec, now, most); !reflect.DeepEqual(may, d.OpenSteps) {
					t.Fatalf("opens %v, may open %v", d.OpenSteps, may)
				}
				for _, i := range d.OpenSteps {
					if cancelled || rec.FailureReason != "" || started[i] || now[i].Open {
						t.Fatalf("step %d starts, cancelled %v, failing %q, before %v", i, cancelled, rec.FailureReason, started[i])
					}
					for _, dep := range rec.Steps[i].Deps {
						if rec.Steps[dep].State != protocol.JobDone {
							t.Fatalf("step %d starts before %d is done", i, dep)
						}
					}
					started[i] = true
					now[i] = StepState{Open: true}
				}
				if open := slices.DeleteFunc(slices.Clone(now), func(s StepState) bool { return !s.Open }); len(open) > most {
					t.Fatalf("%d open", len(open))
				}
			default:
				// Something happens to an open step.
				var open []int
				for i := range now {
					if now[i].Open {
						open = append(open, i)
					}
				}
				if len(open) == 0 {
					t.Fatalf("nothing open and nothing to do: %+v", rec)
				}
				i := rapid.SampledFrom(open).Draw(t, "which")
				switch e := rapid.IntRange(0, 5).Draw(t, "event"); {
				case e == 0 && !now[i].StopRequested && now[i].FailedTasks < rec.Steps[i].Tasks:
					now[i].FailedTasks++
				case e == 1 && !cancelled && rec.FailureReason == "":
					cancelled = true
				default:
					stopped := now[i].StopRequested && !cancelled
					status := StepOutcome(now[i].StopRequested && cancelled, stopped, now[i].FailedTasks)
					rec = WithStepEnded(rec, i, status, rec.Steps[i].Tasks-now[i].FailedTasks, now[i].FailedTasks, nil)
					now[i] = StepState{}
				}
			}
		}
	})
}

// A gang of which a task failed for good can't complete: it is stopped.
func TestGangWithAFailedTaskIsStopped(t *testing.T) {
	rec := &protocol.TicketRecord{Base: &protocol.JobSpec{ID: "job-1", Shape: protocol.Gang}, Terms: protocol.TicketTerms{MaxFailedTasks: protocol.GrantedLimit{Granted: 5}}, Steps: []protocol.TicketStep{{Name: "a", Tasks: 3}}}
	if d := NextAction(rec, false, []StepState{{Open: true, FailedTasks: 1}}, 2); !slices.Equal(d.StopSteps, []int{0}) {
		t.Errorf("%+v", d)
	}
	if got := StepOutcome(true, true, 1); got != protocol.JobFailed {
		t.Error(got)
	}
}

func TestRetries(t *testing.T) {
	for cause, counts := range map[string]bool{protocol.CauseError: true, protocol.CauseStopped: false, protocol.CausePeers: false, protocol.CauseIncomplete: false,
		protocol.CauseNoCapacity: false, protocol.CauseBusy: false, protocol.CauseUnknown: false, protocol.CauseDone: false, "": false} {
		if CountsAsRetry(cause) != counts {
			t.Error(cause)
		}
	}
	if RetriesExhausted(3, 3) || !RetriesExhausted(4, 3) || !RetriesExhausted(1, 0) {
		t.Error("three retries are four runs")
	}
	last := time.Duration(0)
	for e := range 200 {
		if p := RetryPause(e); p < last || p > maxRetryPause || e == 1 && p != minRetryPause {
			t.Errorf("%v after %d errors, %v before", p, e, last)
		} else {
			last = p
		}
	}
}

func parseSubmission(t *testing.T, extra string) *format.Submission {
	t.Helper()
	s, err := format.ParseTicket([]byte(`{"id":"job-1","lot":"l","crew":"red",` + extra + `"template":{"specificationVersion":"jobtemplate-2023-09","name":"n","steps":[
		{"name":"a","script":{"actions":{"onRun":{"command":"c"}}},"parameterSpace":{"taskParameterDefinitions":[{"name":"F","type":"INT","range":"1-10"}]}},
		{"name":"b","dependencies":[{"dependsOn":"a"}],"hostRequirements":{"amounts":[{"name":"amount.worker.gpu","min":2}],"attributes":[{"name":"attr.dapplestage.build","anyOf":["g4","g8"]}]},"script":{"actions":{"onRun":{"command":"c"}}}}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestClassesDecide(t *testing.T) {
	c := Class{Lot: "l", Urgency: "standard", Shapes: []string{"sweep"}, Over: ReduceExcess, Retries: 2, Failed: 1, Tasks: 11, VCPUs: 2, Cards: 1, MemGB: 8, Bundle: "img", SizeGB: 3}
	lim := Limits{MaxValueBytes: 8000}
	a, err := Admit(parseSubmission(t, `"priority":95,"maxRetriesPerTask":7,"maxFailedTasksCount":4,"builds":["g8"],"expectS":9,`), ClassTable{"l": c}, lim)
	if err != nil {
		t.Fatal(err)
	}
	tm, b := a.Record.Terms, StepSpec(a.Record, 1)
	if tm.MaxRetries.Granted != 2 || *tm.MaxRetries.Requested != 7 || tm.MaxFailedTasks.Granted != 1 || tm.Priority != "standard" || tm.RequestedPriority != "critical" {
		t.Errorf("%+v", tm)
	}
	if b.GPUs != 2 || b.CPUs != 2 || b.Tasks != 1 || !slices.Equal(b.Types, []string{"g8"}) || b.Image != "img" || b.EstimateS != 9 || b.ID != format.StepJobID("job-1", 1) || b.Priority != "standard" {
		t.Errorf("%+v", b)
	}
	refuse := c
	refuse.Over = RefuseExcess
	small, gpu := c, c
	small.Tasks, gpu.MostGPU = 10, 1
	nothing := c
	nothing.VCPUs, nothing.Cards, nothing.MemGB = 0, 0, 0
	for _, x := range []struct {
		extra string
		class Class
		lim   Limits
		want  string
	}{
		{`"maxRetriesPerTask":3,`, refuse, lim, "maxRetriesPerTask: 3 asked for, l allows 2"},
		{`"urgency":"high",`, refuse, lim, "urgency: high asked for"},
		{`"maxFailedTasksCount":2,`, refuse, lim, "maxFailedTasksCount: 2"},
		{`"shape":"standing",`, c, lim, "shape: standing"},
		{`"shape":"gang",`, c, lim, "shape: gang"},
		{``, small, lim, "may have 10 tasks, this one has 11"},
		{``, gpu, lim, "2 cards a task, l allows 1"},
		{`"builds":["g1"],`, c, lim, "none of its machine types"},
		{``, nothing, lim, "a task takes nothing"},
		{``, c, Limits{MaxValueBytes: 300}, "bytes"},
		{``, Class{}, lim, "takes no tickets"},
	} {
		table := ClassTable{}
		if x.class.Lot != "" {
			table["l"] = x.class
		}
		if _, err := Admit(parseSubmission(t, x.extra), table, x.lim); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("wanted %q, got %v", x.want, err)
		}
	}
}

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
	over := ClassTable{"proofs": {Lot: "proofs", Urgency: "high", Shapes: []string{"sweep"}, Over: ReduceExcess, Tasks: 1}, "broken": {}}
	if both := table.WithStored(over); both["proofs"].Urgency != "high" || len(both) != 2 || table["proofs"].Urgency != "standard" {
		t.Errorf("%+v", both)
	}
	if _, err := ParseClass("a", []byte(`{"urgency":"high","retires":3}`)); err == nil || !strings.Contains(err.Error(), "retires") {
		t.Error(err)
	}
}

// What workers are given reads as a submission, as any other job's description does.
func TestDescriptionsAreSubmissions(t *testing.T) {
	s := parseSubmission(t, "")
	a, err := Admit(s, ClassTable{"l": {Lot: "l", Urgency: "standard", Shapes: []string{"sweep"}, Over: ReduceExcess, Tasks: 50, VCPUs: 1, Bundle: "i", SizeGB: 1}}, Limits{8000})
	if err != nil {
		t.Fatal(err)
	}
	ds, err := Describe(s, a)
	if err != nil || len(ds) != 2 {
		t.Fatal(err)
	}
	for i, d := range ds {
		spec, err := protocol.ParseJob(mustJSON(t, d))
		if err != nil || !reflect.DeepEqual(spec, StepSpec(a.Record, i)) {
			t.Errorf("%v\n%+v\n%+v", err, spec, StepSpec(a.Record, i))
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
