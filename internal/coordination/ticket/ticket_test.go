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

// record draws a ticket's record: steps that depend on earlier ones.
func record(t *rapid.T) *protocol.TicketRecord {
	r := &protocol.TicketRecord{Base: &protocol.JobSpec{ID: "job-1", Shape: protocol.Array}, Terms: protocol.TicketTerms{FailedTasks: protocol.Granted{Granted: rapid.IntRange(0, 2).Draw(t, "survives")}}}
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
		rec := record(t)
		now := make([]StepNow, len(rec.Steps))
		most := rapid.IntRange(1, 4).Draw(t, "most")
		cancelled, started := false, map[int]bool{}
		for round := 0; ; round++ {
			if round > 200 {
				t.Fatalf("no end: %+v %+v", rec, now)
			}
			d := Decide(rec, cancelled, now, most)
			switch {
			case d.Over != "":
				for i, st := range rec.Steps {
					if now[i].Open {
						t.Fatalf("over with %s open", st.Name)
					}
					if d.Over == protocol.JobDone && st.State != protocol.JobDone {
						t.Fatalf("done, but %s is %q", st.Name, st.State)
					}
				}
				if cancelled && rec.Failing == "" && d.Over != protocol.JobCancelled || rec.Failing != "" && d.Over != protocol.JobFailed {
					t.Fatalf("%s, cancelled %v, failing %q", d.Over, cancelled, rec.Failing)
				}
				return
			case d.Fail != "":
				if cancelled || rec.Failing != "" {
					t.Fatal("failed twice, or after its cancellation")
				}
				rec = Failing(rec, d.Fail)
			case d.Stop != nil:
				for _, i := range d.Stop {
					now[i].Stopped = true
				}
			case d.Open != nil:
				if may := MayOpen(rec, now, most); !reflect.DeepEqual(may, d.Open) {
					t.Fatalf("opens %v, may open %v", d.Open, may)
				}
				for _, i := range d.Open {
					if cancelled || rec.Failing != "" || started[i] || now[i].Open {
						t.Fatalf("step %d starts, cancelled %v, failing %q, before %v", i, cancelled, rec.Failing, started[i])
					}
					for _, dep := range rec.Steps[i].Deps {
						if rec.Steps[dep].State != protocol.JobDone {
							t.Fatalf("step %d starts before %d is done", i, dep)
						}
					}
					started[i] = true
					now[i] = StepNow{Open: true}
				}
				if open := slices.DeleteFunc(slices.Clone(now), func(s StepNow) bool { return !s.Open }); len(open) > most {
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
				case e == 0 && !now[i].Stopped && now[i].Failed < rec.Steps[i].Tasks:
					now[i].Failed++
				case e == 1 && !cancelled && rec.Failing == "":
					cancelled = true
				default:
					stopped := now[i].Stopped && !cancelled
					status := Outcome(now[i].Stopped && cancelled, stopped, now[i].Failed)
					rec = Ended(rec, i, status, rec.Steps[i].Tasks-now[i].Failed, now[i].Failed, nil)
					now[i] = StepNow{}
				}
			}
		}
	})
}

// A gang of which a task failed for good can't complete: it is stopped.
func TestGangWithAFailedTaskIsStopped(t *testing.T) {
	rec := &protocol.TicketRecord{Base: &protocol.JobSpec{ID: "job-1", Shape: protocol.Gang}, Terms: protocol.TicketTerms{FailedTasks: protocol.Granted{Granted: 5}}, Steps: []protocol.TicketStep{{Name: "a", Tasks: 3}}}
	if d := Decide(rec, false, []StepNow{{Open: true, Failed: 1}}, 2); !slices.Equal(d.Stop, []int{0}) {
		t.Errorf("%+v", d)
	}
	if got := Outcome(true, true, 1); got != protocol.JobFailed {
		t.Error(got)
	}
}

func TestRetries(t *testing.T) {
	for cause, counts := range map[string]bool{protocol.CauseError: true, protocol.CauseStopped: false, protocol.CausePeers: false, protocol.CauseIncomplete: false,
		protocol.CauseNoRoom: false, protocol.CauseBusy: false, protocol.CauseUnknown: false, protocol.CauseDone: false, "": false} {
		if Counts(cause) != counts {
			t.Error(cause)
		}
	}
	if Spent(3, 3) || !Spent(4, 3) || !Spent(1, 0) {
		t.Error("three retries are four runs")
	}
	last := time.Duration(0)
	for e := range 200 {
		if p := Pause(e); p < last || p > mostPause || e == 1 && p != firstPause {
			t.Errorf("%v after %d errors, %v before", p, e, last)
		} else {
			last = p
		}
	}
}

func submission(t *testing.T, extra string) *format.Submission {
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
	c := Class{Lot: "l", Urgency: "standard", Shapes: []string{"sweep"}, Over: Grant, Retries: 2, Failed: 1, Tasks: 11, VCPUs: 2, Cards: 1, MemGB: 8, Bundle: "img", SizeGB: 3}
	lim := Limits{ValueBytes: 8000}
	a, err := Admit(submission(t, `"priority":95,"maxRetriesPerTask":7,"maxFailedTasksCount":4,"builds":["g8"],"expectS":9,`), Table{"l": c}, lim)
	if err != nil {
		t.Fatal(err)
	}
	tm, b := a.Record.Terms, StepSpec(a.Record, 1)
	if tm.Retries.Granted != 2 || *tm.Retries.Asked != 7 || tm.FailedTasks.Granted != 1 || tm.Urgency != "standard" || tm.AskedUrgency != "critical" {
		t.Errorf("%+v", tm)
	}
	if b.GPUs != 2 || b.CPUs != 2 || b.Tasks != 1 || !slices.Equal(b.Types, []string{"g8"}) || b.Image != "img" || b.EstimateS != 9 || b.ID != format.StepID("job-1", 1) || b.Priority != "standard" {
		t.Errorf("%+v", b)
	}
	refuse := c
	refuse.Over = Refuse
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
		{``, c, Limits{ValueBytes: 300}, "bytes"},
		{``, Class{}, lim, "takes no tickets"},
	} {
		table := Table{}
		if x.class.Lot != "" {
			table["l"] = x.class
		}
		if _, err := Admit(submission(t, x.extra), table, x.lim); err == nil || !strings.Contains(err.Error(), x.want) {
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
	over := Table{"proofs": {Lot: "proofs", Urgency: "high", Shapes: []string{"sweep"}, Over: Grant, Tasks: 1}, "broken": {}}
	if both := table.With(over); both["proofs"].Urgency != "high" || len(both) != 2 || table["proofs"].Urgency != "standard" {
		t.Errorf("%+v", both)
	}
	if _, err := ParseClass("a", []byte(`{"urgency":"high","retires":3}`)); err == nil || !strings.Contains(err.Error(), "retires") {
		t.Error(err)
	}
}

// What workers are given reads as a submission, as any other job's description does.
func TestDescriptionsAreSubmissions(t *testing.T) {
	s := submission(t, "")
	a, err := Admit(s, Table{"l": {Lot: "l", Urgency: "standard", Shapes: []string{"sweep"}, Over: Grant, Tasks: 50, VCPUs: 1, Bundle: "i", SizeGB: 1}}, Limits{8000})
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
