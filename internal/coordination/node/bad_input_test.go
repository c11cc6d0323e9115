package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// badInput injects invalid input beside every other scenario: stored values that cannot be decoded for
// a while, hints that are truncated, damaged or old, reports of machines and tasks that do not exist,
// and old reports that contradict what is known. None of it may end a process or count as evidence.
var badInput = faultScenario{name: "bad input", mustOccur: []string{"value corrupted", "hint refused", "old hint accepted", "invalid report sent"}, inject: func(w *simCluster) {
	old := map[string][]byte{}
	for from := time.Now(); time.Since(from) < 70*time.Second; time.Sleep(w.randDuration(300*time.Millisecond, 3*time.Second)) {
		go w.corruptOne()
		w.sendBadHints(old)
		w.sendBadReports()
	}
}}

// undecodableValue is a value that is not a valid record of any kind.
var undecodableValue = json.RawMessage(`"spoiled"`)

// corruptOne makes a random stored value unreadable for a while, unless it changes meanwhile.
func (w *simCluster) corruptOne() {
	items, _, _ := w.state.List(w.ctx, protocol.WatchedRoot)
	items = slices.DeleteFunc(items, func(it storage.Item) bool {
		return !slices.ContainsFunc([]string{protocol.JobPrefix, protocol.MachineRoot, protocol.LogRoot, protocol.InboxRoot, protocol.MovesKey}, func(root string) bool { return strings.HasPrefix(it.Key, root) }) ||
			string(it.Value) == string(undecodableValue)
	})
	if len(items) == 0 {
		return
	}
	it := items[w.randInt(len(items))]
	ok, stamp, _, _ := w.state.Txn(w.ctx, []storage.Cond{{Key: it.Key, Revision: it.Revision}}, []storage.Write{{Put: it.Key, Value: undecodableValue}})
	if !ok {
		return
	}
	w.recordEvent("value corrupted")
	if strings.HasPrefix(it.Key, protocol.JobPrefix) {
		w.recordEvent("job corrupted")
	}
	time.Sleep(w.randDuration(100*time.Millisecond, 4*time.Second))
	w.state.Txn(w.ctx, []storage.Cond{{Key: it.Key, Revision: stamp}}, []storage.Write{{Put: it.Key, Value: it.Value}})
}

// readableItems returns the items that a node reads. With the guard disabled, a corrupt job record is
// read as if it did not exist.
func (w *simCluster) readableItems(items []storage.Item, deleted bool) []storage.Item {
	if w.disabledGuard != "unreadable" {
		return items
	}
	var out []storage.Item
	for _, it := range items {
		if string(it.Value) == string(undecodableValue) && strings.HasPrefix(it.Key, protocol.JobPrefix) {
			if !deleted {
				continue
			}
			it.Value = nil
		}
		out = append(out, it)
	}
	return out
}

// sendBadHints sends a node hints that are truncated or damaged, and one from much earlier.
func (w *simCluster) sendBadHints(earlierHints map[string][]byte) {
	from, to := w.node(w.randomNode()), w.node(w.randomNode())
	if from == nil || to == nil || from == to {
		return
	}
	hint := from.Hint()
	if len(hint) == 0 {
		return
	}
	name := from.cfg.Node
	if before := earlierHints[name]; before != nil && to.ReceiveHint(slices.Clone(before)) == nil {
		w.recordEvent("old hint accepted")
	}
	if earlierHints[name] == nil || w.randInt(8) == 0 {
		earlierHints[name] = slices.Clone(hint)
	}
	if to.ReceiveHint(slices.Clone(hint[:w.randInt(len(hint))])) != nil {
		w.recordEvent("hint refused")
	}
	damaged := slices.Clone(hint)
	for range 1 + w.randInt(4) {
		damaged[w.randInt(len(damaged))] ^= 1 << w.randInt(8)
	}
	if to.ReceiveHint(damaged) != nil {
		w.recordEvent("hint refused")
	}
}

// sendBadReports sends nodes reports with machines, tasks and states that do not exist, and an old report
// of a machine that contradicts what is known.
func (w *simCluster) sendBadReports() {
	nonsense := []protocol.TaskReport{
		{Task: "x", Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseDone},
		{Task: "job-000000/-1", Attempt: 1, State: protocol.TaskRunning},
		{Task: "job-000000/99999999", Attempt: 1 << 63, State: "nonsense", Cause: "nonsense"},
		{Task: "job-777777/0", Attempt: 2, State: protocol.TaskExited, Cause: protocol.CauseDone},
	}
	reports := []protocol.Report{{Machine: fmt.Sprintf("host-9%05d", w.randInt(1000)), Type: "no such", Zone: "z", Session: 1, Seq: 1, Tasks: nonsense}}
	if names := w.fleet.MachineNames(); len(names) > 0 {
		if r, err := w.fleet.Inspect(w.ctx, names[w.randInt(len(names))]+":9000"); err == nil {
			contradicting := *r
			contradicting.Session, contradicting.Seq, contradicting.Tasks = 0, 0, slices.Clone(nonsense)
			for _, x := range r.Tasks { // all tasks are reported done, under attempts that were never assigned
				x.State, x.Cause, x.Attempt = protocol.TaskExited, protocol.CauseDone, x.Attempt+1
				contradicting.Tasks = append(contradicting.Tasks, x)
			}
			reports = append(reports, contradicting)
		}
	}
	for _, r := range reports {
		w.recordEvent("invalid report sent")
		go w.nodeRequest(w.ctx, w.randomNode(), func(n *Node, reply chan<- answer) { n.onReport(&r, time.Now(), reply) })
	}
}

// ciBadInput is roughly how many scenarios are run with bad input without -seeds.
const ciBadInput = 7

func TestScenariosWithBadInput(t *testing.T) {
	all := pairableScenarios()
	every := (len(all) + ciBadInput - 1) / ciBadInput
	if *moreSeeds > 0 {
		every = 1
	}
	for i, scenario := range all {
		for seed := range seedCount(1) {
			if i%every != 0 {
				continue
			}
			t.Run(fmt.Sprintf("%s/%d", scenario.name, seed), func(t *testing.T) {
				injected := badInput
				if (uint64(i)/uint64(every)+seed)%2 == 0 {
					storeOnlyEntries(t, 4)
				} else {
					injected.mustOccur = append(slices.Clone(injected.mustOccur), "job corrupted")
				}
				scenario.mustOccur = nil // asserted in the run of the scenario alone
				runScenarios(t, 9000+seed, "", scenario, injected)
			})
		}
	}
}

// Checks that a node is detected that takes an unreadable record for a deleted one.
func TestBadInputDetectsDisabledGuard(t *testing.T) {
	frequent := badInput
	frequent.inject = func(w *simCluster) {
		for i, team := range []string{"red", "blue", "green", "red", "blue", "green"} { // tasks run all the time
			w.submit(&protocol.JobSpec{ID: fmt.Sprintf("job-98%04d", i), Team: team, Class: "c", Shape: protocol.Array, Priority: "high", Tasks: 2, CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "i", ImageGB: 1, EstimateS: 40})
		}
		for range 40 {
			for range 8 {
				go w.corruptOne()
			}
			time.Sleep(2 * time.Second)
		}
	}
	for seed := range seedCount(10) {
		if broken := runScenarios(t, 9500+seed, "unreadable", frequent); len(broken) > 0 {
			t.Logf("found with seed %d: %s", 9500+seed, broken[0])
			return
		}
	}
	t.Error("not found")
}
