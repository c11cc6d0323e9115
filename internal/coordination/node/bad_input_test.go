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

// Bad input beside every other meeting: stored values that can't be decoded for a while, hints
// that are cut off, damaged or old, reports of machines and tasks that do not exist, and reports
// older than what is known that contradict it. None of it ends a process or proves anything.
var badInput = faultScenario{name: "bad input", mustOccur: []string{"value spoiled", "hint refused", "old hint", "nonsense reported"}, inject: func(w *simCluster) {
	old := map[string][]byte{}
	for from := time.Now(); time.Since(from) < 70*time.Second; time.Sleep(w.randDuration(300*time.Millisecond, 3*time.Second)) {
		go w.spoilOne()
		w.badHints(old)
		w.badReports()
	}
}}

// spoiled is a value that no record is.
var spoiled = json.RawMessage(`"spoiled"`)

// spoilOne makes a random stored value unreadable for a while, unless it changes meanwhile.
func (w *simCluster) spoilOne() {
	items, _, _ := w.state.List(w.ctx, protocol.WatchedRoot)
	items = slices.DeleteFunc(items, func(it storage.Item) bool {
		return !slices.ContainsFunc([]string{protocol.JobPrefix, protocol.MachineRoot, protocol.LogRoot, protocol.InboxRoot, protocol.MovesKey}, func(root string) bool { return strings.HasPrefix(it.Key, root) }) ||
			string(it.Value) == string(spoiled)
	})
	if len(items) == 0 {
		return
	}
	it := items[w.randInt(len(items))]
	ok, stamp, _, _ := w.state.Txn(w.ctx, []storage.Cond{{Key: it.Key, Revision: it.Revision}}, []storage.Write{{Put: it.Key, Value: spoiled}})
	if !ok {
		return
	}
	w.recordEvent("value spoiled")
	if strings.HasPrefix(it.Key, protocol.JobPrefix) {
		w.recordEvent("job spoiled")
	}
	time.Sleep(w.randDuration(100*time.Millisecond, 4*time.Second))
	w.state.Txn(w.ctx, []storage.Cond{{Key: it.Key, Revision: stamp}}, []storage.Write{{Put: it.Key, Value: it.Value}})
}

// readableItems are the items that a node reads; with the guard left out, a job's record that is
// spoiled is read as if it were not there.
func (w *simCluster) readableItems(items []storage.Item, deleted bool) []storage.Item {
	if w.disabledGuard != "unreadable" {
		return items
	}
	var out []storage.Item
	for _, it := range items {
		if string(it.Value) == string(spoiled) && strings.HasPrefix(it.Key, protocol.JobPrefix) {
			if !deleted {
				continue
			}
			it.Value = nil
		}
		out = append(out, it)
	}
	return out
}

// badHints sends nodes hints that are cut off or damaged, and one from much earlier.
func (w *simCluster) badHints(old map[string][]byte) {
	from, to := w.node(w.randomNode()), w.node(w.randomNode())
	if from == nil || to == nil || from == to {
		return
	}
	hint := from.Hint()
	if len(hint) == 0 {
		return
	}
	name := from.cfg.Node
	if before := old[name]; before != nil && to.ReceiveHint(slices.Clone(before)) == nil {
		w.recordEvent("old hint")
	}
	if old[name] == nil || w.randInt(8) == 0 {
		old[name] = slices.Clone(hint)
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

// badReports sends a node reports with machines, tasks and states that there are not, and an
// old one of a machine that contradicts what is known.
func (w *simCluster) badReports() {
	nonsense := []protocol.TaskReport{
		{Task: "x", Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseDone},
		{Task: "job-000000/-1", Attempt: 1, State: protocol.TaskRunning},
		{Task: "job-000000/99999999", Attempt: 1 << 63, State: "nonsense", Cause: "nonsense"},
		{Task: "job-777777/0", Attempt: 2, State: protocol.TaskExited, Cause: protocol.CauseDone},
	}
	reports := []protocol.Report{{Machine: fmt.Sprintf("host-9%05d", w.randInt(1000)), Type: "no such", Zone: "z", Session: 1, Seq: 1, Tasks: nonsense}}
	if names := w.fleet.Names(); len(names) > 0 {
		if r, err := w.fleet.Inspect(w.ctx, names[w.randInt(len(names))]+":9000"); err == nil {
			lies := *r
			lies.Session, lies.Seq, lies.Tasks = 0, 0, slices.Clone(nonsense)
			for _, x := range r.Tasks { // all of them are done, and under attempts that were not given
				x.State, x.Cause, x.Attempt = protocol.TaskExited, protocol.CauseDone, x.Attempt+1
				lies.Tasks = append(lies.Tasks, x)
			}
			reports = append(reports, lies)
		}
	}
	for _, r := range reports {
		w.recordEvent("nonsense reported")
		go w.nodeRequest(w.ctx, w.randomNode(), func(n *Node, reply chan<- answer) { n.onReport(&r, time.Now(), reply) })
	}
}

// ciBadInput is about how many meetings are played with bad input without -seeds.
const ciBadInput = 7

func TestMeetingsWithBadInput(t *testing.T) {
	all := pairableScenarios()
	every := (len(all) + ciBadInput - 1) / ciBadInput
	if *moreSeeds > 0 {
		every = 1
	}
	for i, m := range all {
		for seed := range seedCount(1) {
			if i%every != 0 {
				continue
			}
			t.Run(fmt.Sprintf("%s/%d", m.name, seed), func(t *testing.T) {
				bad := badInput
				if (uint64(i)/uint64(every)+seed)%2 == 0 {
					storeOnlyEntries(t, 4)
				} else {
					bad.mustOccur = append(slices.Clone(bad.mustOccur), "job spoiled")
				}
				m.mustOccur = nil // asserted of it alone
				runScenarios(t, 9000+seed, "", m, bad)
			})
		}
	}
}

// What can't be read taken for a record that is gone is found.
func TestBadInputFindsWhatIsLeftOut(t *testing.T) {
	often := badInput
	often.inject = func(w *simCluster) {
		for range 40 {
			for range 8 {
				go w.spoilOne()
			}
			time.Sleep(2 * time.Second)
		}
	}
	for seed := range seedCount(10) {
		if broken := runScenarios(t, 9500+seed, "unreadable", often); len(broken) > 0 {
			t.Logf("found with seed %d: %s", 9500+seed, broken[0])
			return
		}
	}
	t.Error("not found")
}
