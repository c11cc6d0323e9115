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
var badInput = meeting{name: "bad input", took: []string{"value spoiled", "hint refused", "old hint", "nonsense reported"}, faults: func(w *world) {
	old := map[string][]byte{}
	for from := time.Now(); time.Since(from) < 70*time.Second; time.Sleep(w.between(300*time.Millisecond, 3*time.Second)) {
		go w.spoilOne()
		w.badHints(old)
		w.badReports()
	}
}}

// spoiled is a value that no record is.
var spoiled = json.RawMessage(`"spoiled"`)

// spoilOne makes a random stored value unreadable for a while, unless it changes meanwhile.
func (w *world) spoilOne() {
	items, _, _ := w.state.List(w.ctx, protocol.Root)
	items = slices.DeleteFunc(items, func(it storage.Item) bool {
		return !slices.ContainsFunc([]string{protocol.JobPrefix, protocol.MachineRoot, protocol.LogRoot, protocol.InboxRoot, protocol.MovesKey}, func(root string) bool { return strings.HasPrefix(it.Key, root) }) ||
			string(it.Value) == string(spoiled)
	})
	if len(items) == 0 {
		return
	}
	it := items[w.pick(len(items))]
	ok, stamp, _, _ := w.state.Txn(w.ctx, []storage.Cond{{Key: it.Key, Stamp: it.Stamp}}, []storage.Write{{Put: it.Key, Value: spoiled}})
	if !ok {
		return
	}
	w.took("value spoiled")
	if strings.HasPrefix(it.Key, protocol.JobPrefix) {
		w.took("job spoiled")
	}
	time.Sleep(w.between(100*time.Millisecond, 4*time.Second))
	w.state.Txn(w.ctx, []storage.Cond{{Key: it.Key, Stamp: stamp}}, []storage.Write{{Put: it.Key, Value: it.Value}})
}

// readable are the items that a node reads; with the guard left out, a job's record that is
// spoiled is read as if it were not there.
func (w *world) readable(items []storage.Item, deleted bool) []storage.Item {
	if w.leftOut != "unreadable" {
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
func (w *world) badHints(old map[string][]byte) {
	from, to := w.node(w.some()), w.node(w.some())
	if from == nil || to == nil || from == to {
		return
	}
	hint := from.Hint()
	if len(hint) == 0 {
		return
	}
	name := from.cfg.Node
	if before := old[name]; before != nil && to.TakeHint(slices.Clone(before)) == nil {
		w.took("old hint")
	}
	if old[name] == nil || w.pick(8) == 0 {
		old[name] = slices.Clone(hint)
	}
	if to.TakeHint(slices.Clone(hint[:w.pick(len(hint))])) != nil {
		w.took("hint refused")
	}
	damaged := slices.Clone(hint)
	for range 1 + w.pick(4) {
		damaged[w.pick(len(damaged))] ^= 1 << w.pick(8)
	}
	if to.TakeHint(damaged) != nil {
		w.took("hint refused")
	}
}

// badReports sends a node reports with machines, tasks and states that there are not, and an
// old one of a machine that contradicts what is known.
func (w *world) badReports() {
	nonsense := []protocol.TaskReport{
		{Task: "x", Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseDone},
		{Task: "job-000000/-1", Attempt: 1, State: protocol.TaskRunning},
		{Task: "job-000000/99999999", Attempt: 1 << 63, State: "nonsense", Cause: "nonsense"},
		{Task: "job-777777/0", Attempt: 2, State: protocol.TaskExited, Cause: protocol.CauseDone},
	}
	reports := []protocol.Report{{Machine: fmt.Sprintf("host-9%05d", w.pick(1000)), Type: "no such", Zone: "z", Session: 1, Seq: 1, Tasks: nonsense}}
	if names := w.fleet.Names(); len(names) > 0 {
		if r, err := w.fleet.Inspect(w.ctx, names[w.pick(len(names))]+":9000"); err == nil {
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
		w.took("nonsense reported")
		go w.request(w.ctx, w.some(), func(n *Node, reply chan<- answer) { n.onReport(&r, time.Now(), reply) })
	}
}

// ciBadInput is about how many meetings are played with bad input without -seeds.
const ciBadInput = 7

func TestMeetingsWithBadInput(t *testing.T) {
	all := pairable()
	every := (len(all) + ciBadInput - 1) / ciBadInput
	if *moreSeeds > 0 {
		every = 1
	}
	for i, m := range all {
		for seed := range seeds(1) {
			if i%every != 0 {
				continue
			}
			t.Run(fmt.Sprintf("%s/%d", m.name, seed), func(t *testing.T) {
				bad := badInput
				if (uint64(i)/uint64(every)+seed)%2 == 0 {
					packedOnly(t, 4)
				} else {
					bad.took = append(slices.Clone(bad.took), "job spoiled")
				}
				m.took = nil // asserted of it alone
				meet(t, 9000+seed, "", m, bad)
			})
		}
	}
}

// What can't be read taken for a record that is gone is found.
func TestBadInputFindsWhatIsLeftOut(t *testing.T) {
	often := badInput
	often.faults = func(w *world) {
		for range 40 {
			for range 8 {
				go w.spoilOne()
			}
			time.Sleep(2 * time.Second)
		}
	}
	for seed := range seeds(10) {
		if broken := meet(t, 9500+seed, "unreadable", often); len(broken) > 0 {
			t.Logf("found with seed %d: %s", 9500+seed, broken[0])
			return
		}
	}
	t.Error("not found")
}
