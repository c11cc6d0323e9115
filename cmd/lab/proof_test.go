package main

import (
	"strings"
	"testing"
	"time"
)

// The checkers must find what they are there for: each case is one fault in what
// users were told or machines logged.
func TestGatewayChecksFindFaults(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	say := func(s float64, kind string, code int, state string) answer {
		return answer{sentAt: at(s - 0.1), receivedAt: at(s), request: kind, status: code, jobState: state, member: "gate"}
	}
	accepted := say(1, "submit", 201, "queued")
	fine := taskRun{site: "quito", task: "job-1/0", machine: "host-1", startedAt: at(2), endedAt: at(5), completed: true}
	for _, c := range []struct {
		name string
		log  []answer
		runs []taskRun
		want string // "" for nothing
	}{
		{"done", []answer{accepted, say(6, "poll", 200, "done")}, []taskRun{fine}, ""},
		{"turned away for good", []answer{say(1, "submit", 503, "")}, nil, ""},
		{"unknown before it was accepted", []answer{say(0.5, "poll", 404, ""), accepted, say(6, "poll", 200, "done")}, []taskRun{fine}, ""},
		{"unknown after", []answer{accepted, say(3, "poll", 404, ""), say(6, "poll", 200, "done")}, []taskRun{fine}, "is unknown"},
		{"refused after", []answer{accepted, say(3, "submit", 422, ""), say(6, "poll", 200, "done")}, []taskRun{fine}, "gets 422"},
		{"no answer", []answer{accepted, say(6, "poll", 200, "running")}, []taskRun{fine}, "no final answer"},
		{"two answers", []answer{accepted, say(2, "cancel", 200, "withdrawn"), say(6, "poll", 200, "done")}, []taskRun{fine}, "is called done"},
		{"went back", []answer{accepted, say(6, "poll", 200, "done"), say(7, "poll", 200, "running")}, []taskRun{fine}, "is called running"},
		{"nobody cancelled", []answer{accepted, say(6, "poll", 200, "withdrawn")}, nil, "nobody asked"},
		{"done and nothing ran", []answer{accepted, say(6, "poll", 200, "done")}, nil, "0 of 1 tasks"},
		{"done too early", []answer{accepted, say(4, "poll", 200, "done")}, []taskRun{fine}, "before"},
		{"cancelled and it runs on", []answer{accepted, say(2, "cancel", 200, "withdrawn")}, []taskRun{{site: "quito", task: "job-1/0", startedAt: at(1), endedAt: at(60)}}, "after it was called cancelled"},
		{"on two machines", []answer{accepted, say(9, "poll", 200, "done")},
			[]taskRun{{site: "xela", task: "job-1/0", machine: "host-9", startedAt: at(1), endedAt: at(3)}, fine}, "starts on host-1 of quito"},
		{"still on one and on another", []answer{accepted, say(9, "poll", 200, "done")},
			[]taskRun{{site: "xela", task: "job-1/0", machine: "host-9", startedAt: at(1)}, fine}, "starts on host-1 of quito"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, r := &deployment{}, &gatewayRunResult{}
			users := []*user{{id: "job-1", tasks: 1, answers: c.log}}
			w.checkUsers(r, users, c.runs)
			w.checkConcurrentRuns(r, users, c.runs)
			got := strings.Join(r.violations(), "; ")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("found %q, want %q", got, c.want)
			}
		})
	}
}

func TestRangeErrorNamesBounds(t *testing.T) {
	if err := checkRange("runs", 0, 1, 10); err == nil || !strings.Contains(err.Error(), "--runs 0 is not within 1 to 10") {
		t.Errorf("%v", err)
	}
}
