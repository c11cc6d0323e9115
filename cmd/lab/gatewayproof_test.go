package main

import (
	"strings"
	"testing"
	"time"
)

// The checks of the gateway proof must find each kind of violation, or the proof would pass without
// checking anything. Each case has at most one fault in the answers to a user or in the task runs.
func TestGatewayChecksFindFaults(t *testing.T) {
	timeAt := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	answered := func(seconds float64, request string, status int, jobState string) userAnswer {
		return userAnswer{sentAt: timeAt(seconds - 0.1), receivedAt: timeAt(seconds), request: request, status: status, jobState: jobState, answeredBy: "gate"}
	}
	accepted := answered(1, "submit", 201, "queued")
	completedRun := taskRun{site: "quito", task: "job-1/0", machine: "host-1", startedAt: timeAt(2), endedAt: timeAt(5), completed: true}
	for _, c := range []struct {
		name    string
		answers []userAnswer
		runs    []taskRun
		want    string // part of the violation; "" for none
	}{
		{"done", []userAnswer{accepted, answered(6, "poll", 200, "done")}, []taskRun{completedRun}, ""},
		{"never accepted", []userAnswer{answered(1, "submit", 503, "")}, nil, ""},
		{"unknown before the acceptance", []userAnswer{answered(0.5, "poll", 404, ""), accepted, answered(6, "poll", 200, "done")}, []taskRun{completedRun}, ""},
		{"unknown after the acceptance", []userAnswer{accepted, answered(3, "poll", 404, ""), answered(6, "poll", 200, "done")}, []taskRun{completedRun}, "is unknown"},
		{"refused after the acceptance", []userAnswer{accepted, answered(3, "submit", 422, ""), answered(6, "poll", 200, "done")}, []taskRun{completedRun}, "gets 422"},
		{"no final answer", []userAnswer{accepted, answered(6, "poll", 200, "running")}, []taskRun{completedRun}, "no final answer"},
		{"two different final answers", []userAnswer{accepted, answered(2, "cancel", 200, "withdrawn"), answered(6, "poll", 200, "done")}, []taskRun{completedRun}, "is called done"},
		{"running after a final answer", []userAnswer{accepted, answered(6, "poll", 200, "done"), answered(7, "poll", 200, "running")}, []taskRun{completedRun}, "is called running"},
		{"cancelled without a request", []userAnswer{accepted, answered(6, "poll", 200, "withdrawn")}, nil, "nobody asked"},
		{"done but nothing ran", []userAnswer{accepted, answered(6, "poll", 200, "done")}, nil, "0 of 1 tasks"},
		{"done before its last task", []userAnswer{accepted, answered(4, "poll", 200, "done")}, []taskRun{completedRun}, "before"},
		{"runs on after the cancellation", []userAnswer{accepted, answered(2, "cancel", 200, "withdrawn")}, []taskRun{{site: "quito", task: "job-1/0", startedAt: timeAt(1), endedAt: timeAt(60)}}, "after it was called cancelled"},
		{"on two machines at once", []userAnswer{accepted, answered(9, "poll", 200, "done")},
			[]taskRun{{site: "xela", task: "job-1/0", machine: "host-9", startedAt: timeAt(1), endedAt: timeAt(3)}, completedRun}, "starts on host-1 of quito"},
		{"still on one machine when it starts on another", []userAnswer{accepted, answered(9, "poll", 200, "done")},
			[]taskRun{{site: "xela", task: "job-1/0", machine: "host-9", startedAt: timeAt(1)}, completedRun}, "starts on host-1 of quito"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, result := &deployment{}, &gatewayRunResult{}
			users := []*user{{id: "job-1", tasks: 1, answers: c.answers}}
			d.checkUsers(result, users, c.runs)
			d.checkConcurrentRuns(result, users, c.runs)
			got := strings.Join(result.violations(), "; ")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("found %q, want %q", got, c.want)
			}
		})
	}
}

// The error for an argument out of range names the flag, its value and the bounds.
func TestRangeErrorNamesBounds(t *testing.T) {
	if err := checkRange("runs", 0, 1, 10); err == nil || !strings.Contains(err.Error(), "--runs 0 is not within 1 to 10") {
		t.Errorf("%v", err)
	}
}
