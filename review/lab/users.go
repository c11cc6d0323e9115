package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// member is a member of a gateway that users ask.
type member struct {
	name, api string

	answered, other, silent atomic.Int64 // polls since the last report: 200, other statuses, no response
}

// users submit jobs, each at one member, and ask about them there, as PROTOCOL has it: a
// response to a submission is awaited for 5 s, one to a poll for 2 s.
type users struct {
	trial    *trial
	members  []*member
	interval atomic.Int64 // between the polls of a user, in nanoseconds
	stop     chan struct{}
	accepted atomic.Int64

	mu           sync.Mutex
	lastAnswer   time.Time     // when a poll was last answered with 200
	longestPause time.Duration // the longest time without such an answer
}

// newUsers returns users that poll every 5 s.
func newUsers(r *trial, members ...*member) *users {
	u := &users{trial: r, members: members, stop: make(chan struct{})}
	u.interval.Store(int64(5 * time.Second))
	return u
}

// submit submits a job at a member until it is accepted; false if the users end before.
func (u *users) submit(m *member, j map[string]any) bool {
	for {
		status, body := request(5*time.Second, "POST", "http://"+m.api+"/api/jobs", j)
		u.trial.note("%s: POST /api/jobs %s: %d %s", m.name, j["id"], status, short(body))
		if status == 200 || status == 201 {
			u.accepted.Add(1)
			return true
		}
		if !u.pause(time.Second) {
			return false
		}
	}
}

// pause waits; it returns false if the users end.
func (u *users) pause(d time.Duration) bool {
	select {
	case <-u.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// follow polls a job until it has ended or the users end.
func (u *users) follow(m *member, id string) {
	for u.pause(time.Duration(float64(u.interval.Load()) * (0.8 + 0.4*rand.Float64()))) { // about every 5 s
		status, body := request(2*time.Second, "GET", "http://"+m.api+"/api/jobs/"+id, nil)
		switch status {
		case 0:
			m.silent.Add(1)
		case 200:
			m.answered.Add(1)
			u.noteAnswer()
			var state struct{ Status string }
			if json.Unmarshal(body, &state) == nil && (state.Status == "done" || state.Status == "withdrawn") {
				return
			}
		default:
			m.other.Add(1)
		}
	}
}

// noteAnswer notes that a poll was answered.
func (u *users) noteAnswer() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if !u.lastAnswer.IsZero() {
		u.longestPause = max(u.longestPause, now.Sub(u.lastAnswer))
	}
	u.lastAnswer = now
}

// pauses returns the longest time so far in which no poll was answered.
func (u *users) pauses() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(u.longestPause, time.Since(u.lastAnswer))
}

// forget begins to measure the time without an answer anew.
func (u *users) forget() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastAnswer, u.longestPause = time.Now(), 0
}

// run makes a user submit a job and follow it.
func (u *users) run(m *member, j map[string]any) {
	go func() {
		if u.submit(m, j) {
			u.follow(m, j["id"].(string))
		}
	}()
}

// end ends all users. It does not wait for the requests that are under way.
func (u *users) end() { close(u.stop) }

// report notes how the polls since the last report were answered.
func (u *users) report(what string) {
	var parts []string
	for _, m := range u.members {
		parts = append(parts, fmt.Sprintf("%s: %d answered, %d other statuses, %d without a response", m.name, m.answered.Swap(0), m.other.Swap(0), m.silent.Swap(0)))
	}
	u.trial.note("%s: polls: %s", what, strings.Join(parts, "; "))
}

// short returns the beginning of a body.
func short(body []byte) string {
	return strings.TrimSpace(string(body[:min(len(body), 120)]))
}

// noteEvents notes how many tasks started and ended at a site, in steps of 5 s.
func (r *trial) noteEvents(s *site) {
	data, err := os.ReadFile(s.events)
	if err != nil {
		return
	}
	counts := map[int]map[string]int{}
	for line := range strings.Lines(string(data)) {
		var event struct {
			At    int64
			Event string
		}
		if json.Unmarshal([]byte(line), &event) != nil {
			continue
		}
		at := int(time.Unix(0, event.At).Sub(r.startedAt).Seconds()) / 5 * 5
		if counts[at] == nil {
			counts[at] = map[string]int{}
		}
		counts[at][event.Event]++
	}
	var times []int
	for at := range counts {
		times = append(times, at)
	}
	sort.Ints(times)
	for _, at := range times {
		r.note("tasks of site %s from %d s on: %d started, %d done, %d ended otherwise", s.name, at, counts[at]["start"], counts[at]["done"], counts[at]["end"]+counts[at]["error"])
	}
}
