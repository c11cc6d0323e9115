package main

import (
	"strings"
	"testing"
)

// The checker of starts and take-overs finds a task on two machines at once and a job
// called done too soon, counts services' tasks that ended, and finds nothing in a run
// that was right.
func TestCheckTaskEvents(t *testing.T) {
	at := func(event, task, machine string) machineEvent {
		return machineEvent{Event: event, Task: task, Machine: machine}
	}
	right := []machineEvent{
		at("start", "job-100001/0", "m1"), at("end", "job-100001/0", "m1"), at("start", "job-100001/0", "m2"), at("done", "job-100001/0", "m2"),
		at("start", "job-800001/0", "m1"), at("end", "job-800001/0", "m1"),
	}
	tasks := map[string]int{"job-100001": 1, "job-800001": 1}
	if wrong, ended := checkTaskEvents(right, tasks, map[string]bool{"job-100001": true}); len(wrong) > 0 || ended != 1 {
		t.Errorf("%v, %d service tasks ended", wrong, ended)
	}
	twice := append([]machineEvent{at("start", "job-100001/0", "m9")}, right...)
	if wrong, _ := checkTaskEvents(twice, tasks, nil); len(wrong) != 1 || !strings.Contains(wrong[0], "while on m9") {
		t.Errorf("twice: %v", wrong)
	}
	if wrong, _ := checkTaskEvents(right[:3], tasks, map[string]bool{"job-100001": true}); len(wrong) != 1 || !strings.Contains(wrong[0], "called done") {
		t.Errorf("done too soon: %v", wrong)
	}
}
