package main

import (
	"strings"
	"testing"
)

// checkTaskEvents finds a task on two machines at once and a job that is reported as done too soon,
// counts the service tasks that ended, and finds no violation in a correct run.
func TestCheckTaskEvents(t *testing.T) {
	event := func(kind, task, machine string) machineEvent {
		return machineEvent{Event: kind, Task: task, Machine: machine}
	}
	correct := []machineEvent{
		event("start", "job-100001/0", "m1"), event("end", "job-100001/0", "m1"), event("start", "job-100001/0", "m2"), event("done", "job-100001/0", "m2"),
		event("start", "job-800001/0", "m1"), event("end", "job-800001/0", "m1"),
	}
	tasks := map[string]int{"job-100001": 1, "job-800001": 1}
	if violations, ended := checkTaskEvents(correct, tasks, map[string]bool{"job-100001": true}); len(violations) > 0 || ended != 1 {
		t.Errorf("%v, %d service tasks ended", violations, ended)
	}
	concurrent := append([]machineEvent{event("start", "job-100001/0", "m9")}, correct...)
	if violations, _ := checkTaskEvents(concurrent, tasks, nil); len(violations) != 1 || !strings.Contains(violations[0], "while on m9") {
		t.Errorf("twice: %v", violations)
	}
	if violations, _ := checkTaskEvents(correct[:3], tasks, map[string]bool{"job-100001": true}); len(violations) != 1 || !strings.Contains(violations[0], "called done") {
		t.Errorf("done too soon: %v", violations)
	}
}
