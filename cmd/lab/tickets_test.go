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

// If ordinary submissions that contain a ticket bypassed the limits of its class, the two submission
// paths would differ. Here the second site grants one retry more than the first, and the comparison
// must find that, with real processes.
func TestComparisonFindsUnequalRetries(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	bin, err := buildPrograms(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(bin)
	comparison := comparePaths(ctx, bin, t.TempDir(), 3, classMaxRetries+1)
	if comparison.err != nil {
		t.Fatal(comparison.err)
	}
	if !slices.ContainsFunc(comparison.violations, func(s string) bool { return strings.Contains(s, "granted 3") && strings.Contains(s, "granted 4") }) {
		t.Errorf("difference in retries not found: %v", comparison.violations)
	}
}

// The observed lines of a ticket must show any difference in a task's errors, order or end, or in the
// answer to the user. Otherwise the comparison with the expected lines would miss it.
func TestObservedLinesShowDifferences(t *testing.T) {
	plan := standin.NewRenderFaults(5)
	submitted := &testTicket{id: "job-1", name: "t", maxRetries: 3, steps: []string{"s0 3", "s1 1 s0"}}
	_, admitted, err := submitted.admitTicket()
	if err != nil {
		t.Fatal(err)
	}
	var events []machineEvent
	at := int64(10)
	for i, step := range admitted.Record.Steps {
		for k := range step.Tasks {
			id := protocol.TaskID(ticket.StepSpec(admitted.Record, i).ID, k)
			for range plan.FailuresBeforeSuccess("t", step.Name, k) {
				events = append(events, machineEvent{at, "start", id, "m"}, machineEvent{at + 1, "error", id, "m"})
				at += 2
			}
			events = append(events, machineEvent{at, "start", id, "m"}, machineEvent{at + 1, "done", id, "m"})
			at += 2
		}
	}
	status := &node.TicketStatus{JobStatus: protocol.JobStatus{ID: "job-1", Status: protocol.JobDone, Terms: &admitted.Record.Terms}}
	for _, step := range admitted.Record.Steps {
		status.Steps = append(status.Steps, node.StepStatus{Step: step.Name, Status: protocol.JobDone})
	}
	expected, err := submitted.expectedLines(plan)
	if err != nil {
		t.Fatal(err)
	}
	got, err := submitted.observedLines(status, events)
	if err != nil || len(diffLines("a", "b", got, expected)) > 0 {
		t.Fatalf("%v\n%v\n%v", err, got, expected)
	}
	for name, otherEvents := range map[string][]machineEvent{
		"one more error":               append(slices.Clone(events), machineEvent{at, "start", events[0].Task, "m"}, machineEvent{at + 1, "error", events[0].Task, "m"}),
		"a missing end of a task":      slices.DeleteFunc(slices.Clone(events), func(e machineEvent) bool { return e.Event == "done" && e.Task == events[0].Task }),
		"a step before its dependency": append([]machineEvent{{5, "start", protocol.TaskID(ticket.StepSpec(admitted.Record, 1).ID, 0), "m"}}, events...),
	} {
		if got, _ := submitted.observedLines(status, otherEvents); len(diffLines("a", "b", got, expected)) == 0 {
			t.Errorf("%s: difference not found", name)
		}
	}
	status.Status = protocol.JobFailed
	if got, _ := submitted.observedLines(status, events); len(diffLines("a", "b", got, expected)) == 0 {
		t.Error("another status: difference not found")
	}
}
