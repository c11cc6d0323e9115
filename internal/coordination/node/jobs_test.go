package node

import (
	"context"
	"encoding/json"
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// A job that is stored and read again must be the same, whatever the state of its tasks, and no value
// may exceed the smallest limit.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newTestNode(t)
		count := rapid.IntRange(1, 300).Draw(rt, "tasks")
		spec := &protocol.JobSpec{ID: "job-1", Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: count, CPUs: 1, GPUs: 0.01, Image: "i"}
		b.watchPut(protocol.JobKey("job-1"), protocol.JobRecord{Spec: spec, NextAttempt: 1})
		j := b.jobs["job-1"]
		now := time.Now()
		for i := range count {
			switch rapid.IntRange(0, 3).Draw(rt, "phase") {
			case 0:
				b.setPhase(j, i, phaseDone, nil, 0, now)
			case 1:
				b.setPhase(j, i, phasePlaced, b.findOrAddMachine(fmt.Sprintf("host-%06d", i%50)), uint64(i+1), now)
			case 2:
				b.setPhase(j, i, phasePlaced, b.findOrAddMachine(fmt.Sprintf("host-%06d", i%50)), uint64(i+1), now)
				j.tasks[i].outcome = outcomeGone
			}
		}
		want := slices.Clone(j.tasks)
		c := newTestNode(t)
		for k := 0; k*protocol.TasksPerChunk < count; k++ {
			var v any = b.chunkRecord(j, k)
			if k == 0 {
				v = b.headRecord(j)
			}
			if size := len(mustJSON(v)); size > 8<<10 {
				rt.Fatalf("chunk %d takes %d bytes", k, size)
			}
			c.watchPut(protocol.ChunkKey("job-1", k), v)
		}
		got := c.jobs["job-1"]
		for i := range want {
			w, g := want[i], got.tasks[i]
			if w.outcome == outcomeGone {
				w = task{}
			}
			same := w.phase == g.phase && w.attempt == g.attempt && (w.machine == nil) == (g.machine == nil)
			if same && w.machine != nil {
				same = w.machine.name == g.machine.name
			}
			if !same {
				rt.Fatalf("task %d: %+v became %+v", i, w, g)
			}
		}
		if use := c.teams[got.team].Used.GPUs; use < float64(got.nPlaced)*0.01-1e-6 || use > float64(got.nPlaced)*0.01+1e-6 {
			rt.Fatalf("%d tasks placed, team is counted to use %v", got.nPlaced, use)
		}
	})
}

// A job whose record spans several values must run to its end, and one of the maximum size must be
// accepted and be cancellable.
func TestManyTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, 3, defaultSettings)
		time.Sleep(5 * time.Second)
		big := &protocol.JobSpec{ID: "job-000001", Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 400, CPUs: 0.2, GPUs: 0.02, MemoryGB: 0.5, Image: "i", EstimateS: 3}
		huge := &protocol.JobSpec{ID: "job-000002", Team: "blue", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: protocol.MaxTasks, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", EstimateS: 30}
		done := make(chan bool, 2)
		us := []*user{{w: w, spec: big}, {w: w, spec: huge, cancelAt: 20 * time.Second}}
		for _, u := range us {
			go u.run(func() { done <- true })
		}
		time.Sleep(4 * time.Minute)
		synctest.Wait()
		if us[0].knownFinalStatus() != protocol.JobDone || us[1].knownFinalStatus() != protocol.JobCancelled {
			t.Errorf("the jobs ended as %q and %q", us[0].knownFinalStatus(), us[1].knownFinalStatus())
		}
		for _, b := range w.fleet.Violations {
			t.Errorf("rule broken: %s", b)
		}
		cancel()
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}

// A node that takes a partition over must have the same window of arrivals as the previous owner,
// because every node counts the arrivals that it sees. At a node's start the present jobs are counted
// in their order, so that the threshold has means to work with. The design names a window lost at a
// takeover as a weak spot.
func TestWindowSurvivesTakeover(t *testing.T) {
	b := newTestNode(t)
	for i, gb := range []float64{8, 8, 8, 1} {
		spec := &protocol.JobSpec{ID: fmt.Sprintf("job-%d", i), Team: "red", Class: "c", Shape: protocol.Array, Priority: "standard", Tasks: 1, CPUs: 4, GPUs: 1, Image: fmt.Sprint(i), ImageGB: gb}
		b.watchPut(protocol.JobKey(spec.ID), protocol.JobRecord{Spec: spec, SubmittedMS: int64(i), NextAttempt: 1})
	}
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9})
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 9, Lease: 3})
	p := b.partitions[0]
	b.countArrivals(p)
	if p.window.Len() != 4 || b.jobs["job-3"].heavy || !b.jobs["job-0"].heavy {
		t.Fatalf("window %+v; the 1 GB job among 8 GB ones should be light", p.window)
	}
	b.dropJob("job-2")
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 10, Lease: 9})
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: 11, Lease: 3})
	if b.countArrivals(p); p.window.Len() != 4 {
		t.Errorf("%d arrivals after another takeover: ended jobs count too", p.window.Len())
	}
}

func TestSettingsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultPolicy()
		for range 5 {
			name := rapid.SampledFrom(append(SettingNames(), "nope")).Draw(t, "name")
			value := rapid.SampledFrom([]string{"1", "20", "-3", "1e9", "true", "null", `"debug"`, `"x y"`, `["host-1"]`, `[""]`, "", "{"}).Draw(t, "value")
			q, known, err := p.Set(name, json.RawMessage(value))
			if known != (name != "nope") {
				t.Fatalf("%s known: %v", name, known)
			}
			if known && err == nil {
				p = q
			}
			if !p.valid() {
				t.Fatalf("%s = %s resulted in the invalid policy %+v", name, value, p)
			}
		}
	})
}

// A change that is based on an old revision must be refused, so that two operators do not undo each
// other's changes.
func TestStaleSettingIsRefused(t *testing.T) {
	b := newTestNode(t)
	b.watchPut(protocol.PolicyKey, DefaultPolicy())
	reply := make(chan answer, 1)
	old := b.revision - 1
	b.onSetting("idle_s", SettingChange{Value: json.RawMessage("9"), Stamp: &old}, "test", reply)
	if a := <-reply; a.status != 409 {
		t.Fatalf("answered %d", a.status)
	}
}

// Lower layers must not import higher ones, and the decision packages may depend on formats only.
func TestLayers(t *testing.T) {
	const module = "dapplestage.example/dapplestage/internal/"
	above := map[string][]string{
		"transport":            {"protocol", "storage", "coordination", "standin", "report", "console"},
		"protocol":             {"transport", "storage", "coordination", "standin", "report", "console"},
		"storage":              {"coordination", "standin", "report", "console"},
		"coordination":         {"standin", "console"},
		"coordination/start":   {"transport", "storage", "protocol", "coordination/", "standin", "report"},
		"coordination/standby": {"transport", "storage", "protocol", "coordination/", "standin", "report"},
		"coordination/decide":  {"transport", "storage", "coordination/node", "coordination/ticket", "coordination/ledger", "coordination/gateway", "standin", "report"},
		"coordination/ticket":  {"transport", "storage", "coordination/node", "coordination/decide", "coordination/ledger", "coordination/gateway", "standin", "report"},
		"coordination/ledger":  {"transport", "storage", "coordination/node", "coordination/decide", "coordination/ticket", "coordination/gateway", "standin", "report"},
		"coordination/gateway": {"coordination/node", "standin"},
		"report":               {"transport", "storage", "coordination/node", "standin", "console"},
		"console":              {"transport", "storage", "coordination/node", "standin", "report"},
		"standin":              {"coordination", "transport"},
	}
	for layer, banned := range above {
		files := 0
		err := filepath.WalkDir(filepath.Join("..", "..", layer), func(f string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(f, ".go") || strings.HasSuffix(f, "_test.go") {
				return err
			}
			files++
			parsed, err := parser.ParseFile(token.NewFileSet(), f, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			for _, im := range parsed.Imports {
				for _, b := range banned {
					if strings.HasPrefix(strings.Trim(im.Path.Value, `"`)+"/", module+b+"/") {
						t.Errorf("%s imports %s", f, im.Path.Value)
					}
				}
			}
			return nil
		})
		if err != nil || files == 0 {
			t.Errorf("%d files in %s: %v", files, layer, err)
		}
	}
}

var _ storage.Service = (*faultyState)(nil)
