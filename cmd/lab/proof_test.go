package main

import (
	"strings"
	"testing"
	"time"
)

// The checkers must find what they are there for: each case is one fault in what
// users were told or machines logged.
func TestCheckersFindFaults(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	say := func(s float64, kind string, code int, state string) told {
		return told{asked: at(s - 0.1), at: at(s), kind: kind, code: code, state: state, from: "gate"}
	}
	accepted := say(1, "submit", 201, "queued")
	fine := ran{site: "quito", task: "job-1/0", machine: "host-1", from: at(2), to: at(5), done: true}
	for _, c := range []struct {
		name string
		log  []told
		runs []ran
		want string // "" for nothing
	}{
		{"done", []told{accepted, say(6, "poll", 200, "done")}, []ran{fine}, ""},
		{"turned away for good", []told{say(1, "submit", 503, "")}, nil, ""},
		{"unknown before it was accepted", []told{say(0.5, "poll", 404, ""), accepted, say(6, "poll", 200, "done")}, []ran{fine}, ""},
		{"unknown after", []told{accepted, say(3, "poll", 404, ""), say(6, "poll", 200, "done")}, []ran{fine}, "is unknown"},
		{"refused after", []told{accepted, say(3, "submit", 422, ""), say(6, "poll", 200, "done")}, []ran{fine}, "gets 422"},
		{"no answer", []told{accepted, say(6, "poll", 200, "running")}, []ran{fine}, "no final answer"},
		{"two answers", []told{accepted, say(2, "cancel", 200, "withdrawn"), say(6, "poll", 200, "done")}, []ran{fine}, "is called done"},
		{"went back", []told{accepted, say(6, "poll", 200, "done"), say(7, "poll", 200, "running")}, []ran{fine}, "is called running"},
		{"nobody cancelled", []told{accepted, say(6, "poll", 200, "withdrawn")}, nil, "nobody asked"},
		{"done and nothing ran", []told{accepted, say(6, "poll", 200, "done")}, nil, "0 of 1 tasks"},
		{"done too early", []told{accepted, say(4, "poll", 200, "done")}, []ran{fine}, "before"},
		{"cancelled and it runs on", []told{accepted, say(2, "cancel", 200, "withdrawn")}, []ran{{site: "quito", task: "job-1/0", from: at(1), to: at(60)}}, "after it was called cancelled"},
		{"on two machines", []told{accepted, say(9, "poll", 200, "done")},
			[]ran{{site: "xela", task: "job-1/0", machine: "host-9", from: at(1), to: at(3)}, fine}, "starts on host-1 of quito"},
		{"still on one and on another", []told{accepted, say(9, "poll", 200, "done")},
			[]ran{{site: "xela", task: "job-1/0", machine: "host-9", from: at(1)}, fine}, "starts on host-1 of quito"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, r := &world{}, &runResult{}
			users := []*user{{id: "job-1", tasks: 1, log: c.log}}
			w.checkUsers(r, users, c.runs)
			w.checkRuns(r, users, c.runs)
			got := strings.Join(r.broken(), "; ")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("found %q, want %q", got, c.want)
			}
		})
	}
}

func TestArgumentsNameTheirBounds(t *testing.T) {
	if err := between("runs", 0, 1, 10); err == nil || !strings.Contains(err.Error(), "--runs 0 is not within 1 to 10") {
		t.Errorf("%v", err)
	}
}
