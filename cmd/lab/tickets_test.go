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
func TestComparisonFindsUnequalRetries(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	bin, err := buildPrograms(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(bin)
	r := comparePaths(ctx, bin, t.TempDir(), 3, classMaxRetries+1)
	if r.err != nil {
		t.Fatal(r.err)
	}
	if !slices.ContainsFunc(r.violations, func(s string) bool { return strings.Contains(s, "granted 3") && strings.Contains(s, "granted 4") }) {
		t.Errorf("not found: %v", r.violations)
	}
}

// Two accounts that differ in one task's errors, order or end are told apart.
func TestObservedLinesShowDifferences(t *testing.T) {
	f := standin.NewFarm(5)
	tk := &testTicket{id: "job-1", name: "t", maxRetries: 3, steps: []string{"s0 3", "s1 1 s0"}}
	_, a, err := tk.admit()
	if err != nil {
		t.Fatal(err)
	}
	var events []machineEvent
	at := int64(10)
	for i, st := range a.Record.Steps {
		for k := range st.Tasks {
			id := protocol.TaskID(ticket.StepSpec(a.Record, i).ID, k)
			for range f.Errors("t", st.Name, k) {
				events = append(events, machineEvent{at, "start", id, "m"}, machineEvent{at + 1, "error", id, "m"})
				at += 2
			}
			events = append(events, machineEvent{at, "start", id, "m"}, machineEvent{at + 1, "done", id, "m"})
			at += 2
		}
	}
	told := &node.TicketStatus{JobStatus: protocol.JobStatus{ID: "job-1", Status: protocol.JobDone, Terms: &a.Record.Terms}}
	for _, st := range a.Record.Steps {
		told.Steps = append(told.Steps, node.StepStatus{Step: st.Name, Status: protocol.JobDone})
	}
	want, err := tk.expectedLines(f)
	if err != nil {
		t.Fatal(err)
	}
	got, err := tk.observedLines(told, events)
	if err != nil || len(diffLines("a", "b", got, want)) > 0 {
		t.Fatalf("%v\n%v\n%v", err, got, want)
	}
	for name, other := range map[string][]machineEvent{
		"one error more":   append(slices.Clone(events), machineEvent{at, "start", events[0].Task, "m"}, machineEvent{at + 1, "error", events[0].Task, "m"}),
		"a task that ends": slices.DeleteFunc(slices.Clone(events), func(e machineEvent) bool { return e.Event == "done" && e.Task == events[0].Task }),
		"out of order":     append([]machineEvent{{5, "start", protocol.TaskID(ticket.StepSpec(a.Record, 1).ID, 0), "m"}}, events...),
	} {
		if got, _ := tk.observedLines(told, other); len(diffLines("a", "b", got, want)) == 0 {
			t.Errorf("%s: not told apart", name)
		}
	}
	told.Status = protocol.JobFailed
	if got, _ := tk.observedLines(told, events); len(diffLines("a", "b", got, want)) == 0 {
		t.Error("another answer: not told apart")
	}
}
