package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// trial is one run of a case: its processes, its temporary folder and its record.
type trial struct {
	trouble bool   // whether the disruption is caused
	dir     string // temporary folder
	bin     string // folder of the built programs

	mu        sync.Mutex
	startedAt time.Time
	record    *os.File
	processes []*process
	ports     map[int]bool
	ended     bool
}

// newTrial prepares a run whose record is written to folder.
func newTrial(folder string, trouble bool) (*trial, error) {
	bin, err := filepath.Abs(filepath.Join(folder, "..", "..", "target"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	r := &trial{trouble: trouble, dir: dir, bin: bin, startedAt: time.Now(), record: record, ports: map[int]bool{}}
	r.note("trouble: %v", trouble)
	return r, nil
}

// note writes a line to the record, with the seconds since the start.
func (r *trial) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// end ends all processes and removes the temporary folder.
func (r *trial) end() {
	for _, p := range r.processes {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept:", r.dir)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.record.Close()
}

// addr returns a loopback address with a free port.
func (r *trial) addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		// Below the range from which connections get their own ports.
		port := 10000 + rand.IntN(22000)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp4", addr); err == nil {
			l.Close()
			if !r.ports[port] {
				r.ports[port] = true
				return addr
			}
		}
	}
}

// write writes a file in the temporary folder and returns its path.
func (r *trial) write(name, text string) string {
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		panic(err)
	}
	return path
}

// process is a program that the trial started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts one of the built programs. Its output is in a file of the temporary folder.
func (r *trial) start(name, program string, args ...string) (*process, error) {
	logFile, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(r.bin, program), args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.exited)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.note("started %s: %s %s", name, program, strings.Join(args, " "))
	return p, nil
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// kill ends the process without a signal that it could handle, and waits for its end.
func (p *process) kill() {
	if p.alive() {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		<-p.exited
	}
}

// client makes the requests of users and of the platform.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}}

// request makes one request and returns the status (0: no answer within timeout) and the body.
func request(timeout time.Duration, method, url string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		panic(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// waitFor calls ok every tenth of a second until it returns true or the time is over.
func waitFor(timeout time.Duration, ok func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// job returns a submission.
func job(id, team, shape string, tasks int, cpus, gpus float64, changes map[string]any) map[string]any {
	out := map[string]any{"id": id, "lot": "leaf-id", "crew": team, "shape": shape, "urgency": "standard", "pieces": tasks,
		"vcpus": cpus, "cards": gpus, "memGb": 0.1, "bundle": "img-1", "sizeGb": 1.0, "builds": nil, "region": nil,
		"together": false, "scatter": false, "loaners": false, "expectS": 0.0, "snapshotS": 0.0, "storeS": 0.0, "dueS": nil}
	for k, v := range changes {
		out[k] = v
	}
	return out
}
