package main

import (
	"context"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/node"
	"dapplestage.example/dapplestage/internal/coordination/ticket"
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
)

// A side door: ordinary submissions get one retry more than the class allows. The
// comparison of both ways finds it, with real processes.
func TestSideDoorIsFound(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	bin, err := build(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(bin)
	r := compareWays(ctx, bin, t.TempDir(), 3, farmRetries+1)
	if r.err != nil {
		t.Fatal(r.err)
	}
	if !slices.ContainsFunc(r.broken, func(s string) bool { return strings.Contains(s, "granted 3") && strings.Contains(s, "granted 4") }) {
		t.Errorf("not found: %v", r.broken)
	}
}

// Two accounts that differ in one task's errors, order or end are told apart.
func TestLinesTellWhatDiffers(t *testing.T) {
	f := standin.NewRenderFaults(5)
	tk := &farmTicket{id: "job-1", name: "t", retries: 3, steps: []string{"s0 3", "s1 1 s0"}}
	_, a, err := tk.admitted()
	if err != nil {
		t.Fatal(err)
	}
	var events []farmEvent
	at := int64(10)
	for i, st := range a.Record.Steps {
		for k := range st.Tasks {
			id := protocol.TaskID(ticket.StepSpec(a.Record, i).ID, k)
			for range f.FailuresBeforeSuccess("t", st.Name, k) {
				events = append(events, farmEvent{at, "start", id, "m"}, farmEvent{at + 1, "error", id, "m"})
				at += 2
			}
			events = append(events, farmEvent{at, "start", id, "m"}, farmEvent{at + 1, "done", id, "m"})
			at += 2
		}
	}
	told := &node.TicketStatus{JobStatus: protocol.JobStatus{ID: "job-1", Status: protocol.JobDone, Terms: &a.Record.Terms}}
	for _, st := range a.Record.Steps {
		told.Steps = append(told.Steps, node.StepStatus{Step: st.Name, Status: protocol.JobDone})
	}
	want, err := tk.expected(f)
	if err != nil {
		t.Fatal(err)
	}
	got, err := tk.lines(told, events)
	if err != nil || len(compare("a", "b", got, want)) > 0 {
		t.Fatalf("%v\n%v\n%v", err, got, want)
	}
	for name, other := range map[string][]farmEvent{
		"one error more":   append(slices.Clone(events), farmEvent{at, "start", events[0].Task, "m"}, farmEvent{at + 1, "error", events[0].Task, "m"}),
		"a task that ends": slices.DeleteFunc(slices.Clone(events), func(e farmEvent) bool { return e.Event == "done" && e.Task == events[0].Task }),
		"out of order":     append([]farmEvent{{5, "start", protocol.TaskID(ticket.StepSpec(a.Record, 1).ID, 0), "m"}}, events...),
	} {
		if got, _ := tk.lines(told, other); len(compare("a", "b", got, want)) == 0 {
			t.Errorf("%s: not told apart", name)
		}
	}
	told.Status = protocol.JobFailed
	if got, _ := tk.lines(told, events); len(compare("a", "b", got, want)) == 0 {
		t.Error("another answer: not told apart")
	}
}
