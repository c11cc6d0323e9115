package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/creack/pty"

	"dapplestage.example/dapplestage/internal/coordination/ledger"
)

// The tests run the test binary itself as the dapplestage command, which RUN_AS_DAPPLESTAGE
// selects.
func TestMain(m *testing.M) {
	if os.Getenv("RUN_AS_DAPPLESTAGE") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// newFakeController serves a controller's account API with the given number of rows. It also
// returns the set of paths that were requested.
func newFakeController(t *testing.T, rows int) (*httptest.Server, *sync.Map) {
	requestedPaths := &sync.Map{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestedPaths.Store(r.URL.Path, true)
		switch {
		case r.URL.Path == "/admin/samples":
			io.WriteString(w, `{"samples":[{"t":0,"r":3},{"t":60000,"r":5}]}`)
		case strings.HasPrefix(r.URL.Path, "/admin/why/"):
			io.WriteString(w, `{"job":"job-000003","team":"shop","class":"album","waiting_tasks":2,"causes":[{"cause":"team_limit","text":"team limit: its team uses 8 of 8 cards"}],"release":["1 more cards of the team's limit"],"enough":true,"holder":"n-0"}`)
		case r.URL.Path == "/api/jobs/job-777777":
			io.WriteString(w, `{"id":"job-777777","status":"done","done":4}`)
		case strings.HasPrefix(r.URL.Path, "/api/jobs/"):
			w.WriteHeader(404)
			io.WriteString(w, `{"error":"no such job"}`)
		default:
			v := r.URL.Query()
			q := ledger.Query{State: v.Get("state"), Text: v.Get("q"), After: v.Get("after"), Limit: 100}
			p := ledger.NewPage("n-0", time.Now())
			p.RememberedSince = time.Now().Add(-time.Hour).UnixMilli()
			for i := range rows {
				p.Add(&q, ledger.Row{Job: fmt.Sprintf("job-%06d", i), Team: "shop", Class: "<i>album", State: ledger.States[i%len(ledger.States)], Why: "a task runs for 90 s", Tasks: 4, Lost: i % 2, LostMS: time.Now().UnixMilli()})
			}
			p.Finish(&q)
			json.NewEncoder(w).Encode(p)
		}
	}))
	t.Cleanup(server.Close)
	return server, requestedPaths
}

// Runs the console in a terminal of 80 columns and 24 lines: it must list stuck jobs, open a
// job, show that data is unknown after its controller dies, and exit on q.
func TestConsoleInATerminal(t *testing.T) {
	server, _ := newFakeController(t, 40)
	cmd := exec.Command(os.Args[0], "console", "--addr", strings.TrimPrefix(server.URL, "http://"))
	cmd.Env = append(os.Environ(), "RUN_AS_DAPPLESTAGE=1", "TERM=xterm", "NO_COLOR=1")
	tty, err := pty.StartWithSize(cmd, &pty.Winsize{Rows: 24, Cols: 80})
	if err != nil {
		t.Skip("no pseudo-terminals here: ", err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait(); tty.Close() }()
	var mu sync.Mutex
	var screen strings.Builder
	go func() {
		buf := make([]byte, 4096)
		for {
			n, err := tty.Read(buf)
			mu.Lock()
			screen.Write(buf[:n])
			mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	escapes := regexp.MustCompile("\x1b\\[[0-9;?]*[a-zA-Z]")
	waitFor := func(want string) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
			mu.Lock()
			text := escapes.ReplaceAllString(screen.String(), "")
			mu.Unlock()
			if strings.Contains(text, want) {
				return
			}
		}
		mu.Lock()
		defer mu.Unlock()
		t.Fatalf("%q is not on the screen:\n%s", want, escapes.ReplaceAllString(screen.String(), ""))
	}
	waitFor("<- look")
	tty.Write([]byte("s"))
	waitFor("state=stuck")
	waitFor("a task runs for 90 s")
	tty.Write([]byte("\r"))
	waitFor("because: team limit")
	waitFor("until:   1 more cards")
	server.CloseClientConnections()
	server.Close()
	waitFor("NOT KNOWN since")
	mu.Lock()
	if colours := regexp.MustCompile("\x1b\\[[0-9;]*m").FindString(screen.String()); colours != "" && colours != "\x1b[0m" && colours != "\x1b[m" {
		t.Errorf("colour %q in the output although NO_COLOR is set", colours)
	}
	mu.Unlock()
	tty.Write([]byte("q"))
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Error("the console does not exit on q")
	}
}

// Runs report, account, console and why as processes and checks exit codes, output and files:
// wrong arguments exit with 2, unreachable sites are reported as not known, and no temporary
// file is left behind.
func TestReportCommands(t *testing.T) {
	server, _ := newFakeController(t, 250)
	addr := strings.TrimPrefix(server.URL, "http://")
	dir := t.TempDir()
	run := func(args ...string) (string, int) {
		cmd := exec.Command(os.Args[0], args...)
		cmd.Env = append(os.Environ(), "RUN_AS_DAPPLESTAGE=1")
		out, err := cmd.CombinedOutput()
		if err != nil && cmd.ProcessState == nil {
			t.Fatal(err)
		}
		return string(out), cmd.ProcessState.ExitCode()
	}
	html, earlier := filepath.Join(dir, "r.html"), filepath.Join(dir, "a.json")
	jobList, invalidList := filepath.Join(dir, "event"), filepath.Join(dir, "typo")
	os.WriteFile(jobList, []byte("job-000003\n\njob-000249\njob-777777\njob-000003\njob-999999\n"), 0o644)
	os.WriteFile(invalidList, []byte("job-000003\nwaltz\n"), 0o644)
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"report", "--csv", "--jobs", jobList, "--addr", addr}, 0, "job-000003,"},
		{[]string{"report", "--csv", "--jobs", jobList, "--addr", addr}, 0, "job-777777,,,,,,done,ended before"},
		{[]string{"report", "--jobs", jobList, "--addr", addr}, 0, "job-999999: " + addr + " answers 404"},
		{[]string{"report", "--jobs", invalidList, "--addr", addr}, 2, "line 2: \"waltz\" is not the id of a job"},
		{[]string{"report", "-o", html, "--addr", "127.0.0.1:1," + addr}, 0, ""},
		{[]string{"report", "--json", "-o", earlier, "--addr", addr}, 0, ""},
		{[]string{"report", "--compare", earlier, "--addr", addr}, 0, "0 jobs differ"},
		{[]string{"report", "--csv", "--addr", addr}, 0, "job-000249,"},
		{[]string{"account", "--since", "10m", "--addr", addr}, 0, "250   125"},
		{[]string{"report", "--addr", "127.0.0.1:1"}, 1, "does not answer"},
		{[]string{"report", "--site", "quito=" + addr, "--site", "xela=127.0.0.1:1"}, 0, "Nothing is known of this site"},
		{[]string{"account", "--site", "quito=" + addr, "--site", "xela=127.0.0.1:1"}, 0, "not known: 127.0.0.1:1 does not answer"},
		{[]string{"report", "--site", "quito"}, 2, "--site"},
		{[]string{"report", "-o", "/nowhere/r.html", "--addr", addr}, 1, "/nowhere"},
		{[]string{"report", "--csv", "--json", "--addr", addr}, 2, "can't both"},
		{[]string{"account", "--since", "-1s", "--addr", addr}, 2, "--since"},
		{[]string{"console"}, 2, "--addr"},
		{[]string{"why", "x", "--addr", addr}, 2, "not the id of a job"},
		{[]string{"why", "job-000003", "--addr", addr}, 0, "because: team limit"},
	} {
		out, code := run(c.args...)
		if code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%v: exit %d, want %d and %q\n%s", c.args, code, c.code, c.want, out)
		}
	}
	page, err := os.ReadFile(html)
	if err != nil || !strings.Contains(string(page), "are stuck") || strings.Contains(string(page), "<i>album") {
		t.Errorf("%v, %d bytes", err, len(page))
	}
	if leftovers, _ := filepath.Glob(filepath.Join(dir, ".report-*")); len(leftovers) > 0 {
		t.Errorf("temporary files left behind: %v", leftovers)
	}
}
