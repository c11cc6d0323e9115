package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// The state commands must combine job records and entries, report each damaged value by its
// key, and never write to the state service.
func TestStateCommands(t *testing.T) {
	spec := func(id string, tasks int) *protocol.JobSpec {
		return &protocol.JobSpec{ID: id, Team: "red", Class: "c", Shape: "sweep", Tasks: tasks}
	}
	intact := map[string]any{
		protocol.JobKey("job-1"):      protocol.JobRecord{Spec: spec("job-1", 3), NextAttempt: 2, Chunk: protocol.Chunk{Placed: []protocol.Placement{{Task: 0, Attempt: 1, Machine: "host-1"}}}},
		protocol.BatchKey("b"):        protocol.BatchRecord{Machines: []protocol.MachineRecord{{Name: "host-1"}}},
		protocol.InboxKey("n-0", 1):   protocol.Entry{Version: 1, Seq: 1, Jobs: []protocol.AcceptedJob{{Spec: spec("job-2", 4)}, {Spec: spec("job-3", 1)}}},
		protocol.LogKey(0, 1):         protocol.Entry{Version: 1, Seq: 1, Machines: []string{"host-1"}, Parts: []protocol.Part{{Job: "job-2", NextAttempt: 5, Placed: []protocol.PlacedRange{{1, 2, 4, 0}}, Done: [][2]int{{0, 0}}}, {Job: "job-3", FinalStatus: "done", Tasks: 1}}},
		protocol.LogKey(0, 2):         protocol.Entry{Version: 1, Seq: 2, Parts: []protocol.Part{{Job: "job-1", NextAttempt: 2, Unplaced: [][2]int{{0, 0}}}}},
		protocol.OwnerKey(0):          protocol.OwnerRecord{Node: "n-0", Token: 1},
		protocol.ChunkKey("job-1", 2): protocol.Chunk{},
	}
	damaged := map[string]any{
		protocol.JobKey("job-1"):    protocol.JobRecord{Spec: spec("job-1", 2), NextAttempt: 1, Chunk: protocol.Chunk{Placed: []protocol.Placement{{Task: 7, Attempt: 1, Machine: "host-1"}}}},
		protocol.JobKey("job-4"):    "what is this",
		protocol.LogKey(1, 1):       protocol.Entry{Version: 9, Seq: 1},
		protocol.LogKey(1, 3):       protocol.Entry{Version: 1, Seq: 3, Machines: []string{"host-8"}, Parts: []protocol.Part{{Job: "job-1", Placed: []protocol.PlacedRange{{0, 0, 4, 0}}}}},
		protocol.InboxKey("n-0", 1): protocol.Entry{Version: 1, Seq: 2},
	}
	serve := func(state map[string]any) (addr string, written *bool) {
		written = new(bool)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			*written = *written || r.Method != "GET"
			items := []storage.Item{}
			for k, v := range state {
				data, _ := json.Marshal(v)
				items = append(items, storage.Item{Key: k, Value: data, Revision: 3})
			}
			json.NewEncoder(w).Encode(map[string]any{"items": items, "hasNext": false, "epoch": 7})
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://"), written
	}
	intactAddr, written := serve(intact)
	damagedAddr, _ := serve(damaged)
	for _, c := range []struct {
		args []string
		code int
		want []string
	}{
		{[]string{"inspect", "--state", intactAddr}, 0, []string{"2 jobs open, 1 of them in records of their own; tasks: 2 placed, 4 waiting, 1 done", "log of share 0"}},
		{[]string{"inspect", "--state", intactAddr, "--json"}, 0, []string{`"entries_empty": false`}},
		{[]string{"verify", "--state", intactAddr}, 0, []string{"2 jobs read as of revision 7, 0 problems"}},
		{[]string{"export", "--state", intactAddr}, 0, []string{`"id":"job-2"`, `{"task":2,"try":4,"machine":"host-1"}`}},
		{[]string{"verify", "--state", damagedAddr}, 1, []string{"d/jobs/job-4: not understood", "d/jobs/job-1: task 7 is not in 0 to 1", "d/log/1/1: not understood: entry of version 9", "d/in/n-0/1: not understood: entry 2 in slot 1",
			"d/log/1: entry 1 is missing, and entry 3 is there", "on host-8, which has no record", "try 4, and the next one is"}},
		{[]string{"verify"}, 2, []string{"--state IP:PORT or --config FILE"}},
		{[]string{"verify", "--state", "nowhere"}, 2, []string{"not IP:PORT"}},
		{[]string{"verify", "--state", intactAddr, "--per-second", "0"}, 2, []string{"--per-second 0 is not within"}},
		{[]string{"verify", "--config", filepath.Join(t.TempDir(), "none")}, 1, []string{"no such file"}},
		{[]string{"verify", "--state", "127.0.0.1:1"}, 1, []string{"did not answer"}},
	} {
		cmd := exec.Command(os.Args[0], append([]string{"state"}, c.args...)...)
		cmd.Env = append(os.Environ(), "RUN_AS_DAPPLESTAGE=1")
		out, err := cmd.CombinedOutput()
		if err != nil && cmd.ProcessState == nil {
			t.Fatal(err)
		}
		for _, w := range c.want {
			if code := cmd.ProcessState.ExitCode(); code != c.code || !strings.Contains(string(out), w) {
				t.Errorf("%v: exit %d, want %d and %q\n%s", c.args, code, c.code, w, out)
			}
		}
	}
	if *written {
		t.Error("the state commands wrote to the state service")
	}
}
