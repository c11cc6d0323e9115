package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// lab is one run of a case: its processes, its temporary folder and its record.
type lab struct {
	trouble   bool
	dir       string // temporary
	record    *os.File
	startedAt time.Time
	mu        sync.Mutex
	processes []*process
	client    *http.Client
}

// process is a program that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{} // closed when it has ended
}

// newLab makes a temporary folder and the record of the case in its own folder.
func newLab(folder string, trouble bool) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: trouble, dir: dir, record: record, startedAt: time.Now(),
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	l.note("disruption: %v", trouble)
	return l, nil
}

// close ends all processes that the case started.
func (l *lab) close() {
	for _, p := range l.processes {
		p.kill()
	}
	l.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(l.dir)
	} else {
		fmt.Println("kept:", l.dir)
	}
}

// note writes a line to the record, with the time since the start of the case.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%7.2f  %s\n", time.Since(l.startedAt).Seconds(), fmt.Sprintf(format, args...))
	io.WriteString(l.record, line)
	io.WriteString(os.Stdout, line)
}

// start starts a program of target/ in the repository's root.
func (l *lab) start(name string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(l.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p := &process{name: name, cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.done)
	}()
	l.processes = append(l.processes, p)
	l.note("started %s, process %d", name, cmd.Process.Pid)
	return p, nil
}

// kill ends a process at once.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.done
	p.log.Close()
}

// run runs a program to its end.
func (l *lab) run(args ...string) error {
	if out, err := exec.Command(args[0], args[1:]...).CombinedOutput(); err != nil {
		return fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, out)
	}
	return nil
}

// freePorts returns ports of 127.0.0.1 that nothing listens on.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range count {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// write writes a file in the temporary folder and returns its path.
func (l *lab) write(name, text string) (string, error) {
	path := filepath.Join(l.dir, name)
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// reply is an answer to a request; status 0: none came.
type reply struct {
	status int
	body   []byte
	state  jobState
}

// jobState is the part of a job's status that the cases look at.
type jobState struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// call makes a request.
func (l *lab) call(method, addr, path string, body any) reply {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return reply{}
		}
	}
	request, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return reply{}
	}
	response, err := l.client.Do(request)
	if err != nil {
		return reply{}
	}
	defer response.Body.Close()
	r := reply{status: response.StatusCode}
	if r.body, err = io.ReadAll(response.Body); err != nil {
		return reply{}
	}
	json.Unmarshal(r.body, &r.state)
	return r
}

// waitFor repeats a check until it holds or the time has passed.
func waitFor(limit time.Duration, what string, holds func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// submission is a job as its user submits it.
type submission struct {
	ID        string   `json:"id"`
	Lot       string   `json:"lot"`
	Crew      string   `json:"crew"`
	Shape     string   `json:"shape"`
	Urgency   string   `json:"urgency"`
	Pieces    int      `json:"pieces"`
	VCPUs     float64  `json:"vcpus"`
	Cards     float64  `json:"cards"`
	MemGB     float64  `json:"memGb"`
	Bundle    string   `json:"bundle"`
	SizeGB    float64  `json:"sizeGb"`
	Builds    []string `json:"builds"`
	Region    *string  `json:"region"`
	Together  bool     `json:"together"`
	Scatter   bool     `json:"scatter"`
	Loaners   bool     `json:"loaners"`
	ExpectS   float64  `json:"expectS"`
	SnapshotS float64  `json:"snapshotS"`
	StoreS    float64  `json:"storeS"`
	DueS      *float64 `json:"dueS"`
}

// submit submits a job as a user does: a retry after a second, or after Retry-After, until it is
// accepted or refused for good.
func (l *lab) submit(addr string, job submission) reply {
	var r reply
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Second) {
		r = l.call("POST", addr, "/api/jobs", job)
		l.note("POST /api/jobs %s to %s: %d %s", job.ID, addr, r.status, r.body)
		if r.status == 200 || r.status == 201 || r.status == 400 || r.status == 422 {
			break
		}
	}
	return r
}

// taskEvent is a line of the stand-in's file of events.
type taskEvent struct {
	At      int64  `json:"at"`
	Event   string `json:"event"`
	Task    string `json:"task"`
	Machine string `json:"machine"`
}

// readEvents reads the events that a stand-in has written so far.
func readEvents(path string) (events []taskEvent) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	for line := range strings.Lines(string(data)) {
		var e taskEvent
		if strings.HasSuffix(line, "\n") && json.Unmarshal([]byte(line), &e) == nil {
			events = append(events, e)
		}
	}
	return events
}

// onMachines returns on which machines each task is, by the events of one stand-in.
func onMachines(events []taskEvent) map[string]map[string]bool {
	on := map[string]map[string]bool{}
	for _, e := range events {
		if e.Event != "start" {
			delete(on[e.Task], e.Machine)
			continue
		}
		if on[e.Task] == nil {
			on[e.Task] = map[string]bool{}
		}
		on[e.Task][e.Machine] = true
	}
	return on
}
