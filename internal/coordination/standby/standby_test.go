package standby

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// Whoever comes and goes: a share's standbys are others than its holder and one another,
// there is one as long as two nodes live, nobody has two more duties than another, and
// the same records give the same answer.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		was := map[int]Standbys{}
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			var nodes []Node
			for i := range 6 {
				if rapid.Bool().Draw(t, "lives") {
					nodes = append(nodes, Node{Name: fmt.Sprint("n-", i), Zone: fmt.Sprint("z", i%2)})
				}
			}
			var shares []Partition
			for i := range rapid.IntRange(1, 6).Draw(t, "shares") {
				s := Partition{Index: i}
				if k := rapid.IntRange(-1, len(nodes)-1).Draw(t, "holder"); k >= 0 {
					s.Owner = nodes[k].Name
					nodes[k].Owned++
				}
				shares = append(shares, s)
			}
			now := AssignStandbys(shares, nodes, was)
			if again := AssignStandbys(shares, nodes, was); fmt.Sprint(again) != fmt.Sprint(now) {
				t.Fatalf("%v, then %v", now, again)
			}
			if kept := AssignStandbys(shares, nodes, now); fmt.Sprint(kept) != fmt.Sprint(AssignStandbys(shares, nodes, kept)) {
				t.Fatalf("does not come to rest: %v", now)
			}
			for _, s := range shares {
				p := now[s.Index]
				others := len(nodes)
				if s.Owner != "" {
					others--
				}
				if p.First == s.Owner && p.First != "" || p.Second != "" && (p.Second == p.First || p.Second == s.Owner) || (p.First == "") != (others == 0) || (p.Second == "") != (others < 2) {
					t.Fatalf("share of %q among %v has %+v", s.Owner, nodes, p)
				}
			}
			was = now
		}
	})
}

// With as many shares as controllers each node stands by first for another's, also after
// one has gone and come back; a node that holds nothing stands by first; the blind last;
// another zone before the same one.
func TestAssignSpreads(t *testing.T) {
	nodes := []Node{{Name: "a", Owned: 1}, {Name: "b", Owned: 1}, {Name: "c", Owned: 1}}
	shares := []Partition{{0, "a"}, {1, "b"}, {2, "c"}}
	duties := map[string]int{}
	p := AssignStandbys(shares, nodes, nil)
	for _, x := range p {
		duties[x.First]++
	}
	if duties["a"] != 1 || duties["b"] != 1 || duties["c"] != 1 {
		t.Errorf("first standbys %v", p)
	}
	idle := AssignStandbys([]Partition{{0, "a"}}, append(nodes, Node{Name: "d"}), nil)
	if idle[0].First != "d" {
		t.Errorf("%v where d holds nothing", idle)
	}
	// With two shares at one node the idle one stands by for both, whoever did before. (On
	// a simulated day a share that was given up for it went to another node, and back.)
	both := AssignStandbys([]Partition{{0, "a"}, {1, "b"}, {2, "b"}}, []Node{{Name: "a", Owned: 1}, {Name: "b", Owned: 2}, {Name: "c"}}, map[int]Standbys{1: {"a", "c"}, 2: {"a", "c"}})
	if both[0].First != "c" || both[1].First != "c" || both[2].First != "c" {
		t.Errorf("%v where c holds nothing", both)
	}
	blind := AssignStandbys([]Partition{{0, "a"}}, []Node{{Name: "a", Owned: 1}, {Name: "b", Impaired: true}, {Name: "c", Owned: 3}}, nil)
	if blind[0].First != "c" {
		t.Errorf("%v where b is blind", blind)
	}
	zones := AssignStandbys([]Partition{{0, "a"}}, []Node{{Name: "a", Zone: "x", Owned: 1}, {Name: "b", Zone: "x"}, {Name: "c", Zone: "y"}}, nil)
	if zones[0].First != "c" {
		t.Errorf("%v: the same zone first", zones)
	}
	if p := (Standbys{"a", "b"}); p.TakeoverDelay("a") != 0 || p.TakeoverDelay("b") != SecondDelay || p.TakeoverDelay("c") != OthersDelay {
		t.Error("delays")
	}
}

// A sibling is taken for ended only if it held a share, its connection ended with no hint
// since, its host refused after that, the question was stored AnswerTime ago and its
// record in the store is the same.
func TestDoubts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewSuspicions()
		now := begin
		s := PeerEvidence{LastHint: begin, Revision: 5, OwnsPartition: true}
		var asked time.Time // when the open question was stored
		var stamp uint64
		open := false
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				s.LastHint = now
			case 1:
				s.ConnLostAt = now
			case 2, 3:
				s.ConnRefusedAt = now
			case 4:
				s.Revision++
			case 5:
				s.OwnsPartition = !s.OwnsPartition
			case 6:
				if open && asked.IsZero() {
					ok := rapid.Bool().Draw(t, "stored")
					d.CheckStored("x", ok, now)
					if open = ok; ok {
						asked = now
					}
				}
			}
			mayAsk := rapid.IntRange(0, 9).Draw(t, "may") > 0
			ask, ended := d.Evaluate("x", s, mayAsk, now)
			if ask {
				if open || !mayAsk || !s.OwnsPartition {
					t.Fatal("asked twice, or without cause")
				}
				open, asked, stamp = true, time.Time{}, s.Revision
			}
			if ended && (!open || asked.IsZero() || now.Sub(asked) < LivenessCheckTimeout || s.Revision != stamp || !mayAsk || !s.OwnsPartition || s.LastHint.After(s.ConnLostAt) || s.ConnRefusedAt.Before(s.ConnLostAt)) {
				t.Fatalf("ended: open %v, asked %v ago, %+v, stamp then %d", open, now.Sub(asked), s, stamp)
			}
			if open && (!mayAsk || !s.OwnsPartition || s.Revision != stamp || s.LastHint.After(s.ConnLostAt) || s.ConnRefusedAt.Before(s.ConnLostAt) || now.Sub(s.ConnRefusedAt) >= maxEvidenceAge) {
				open = false
			}
		}
	})
}

// The whole way: a connection ends, the host refuses, the question is stored, nobody
// answers; and one that answers is not asked again for a while.
func TestDoubtEndsOneWayOrTheOther(t *testing.T) {
	s := PeerEvidence{LastHint: begin, ConnLostAt: begin.Add(300 * time.Millisecond), ConnRefusedAt: begin.Add(320 * time.Millisecond), Revision: 5, OwnsPartition: true}
	d := NewSuspicions()
	now := begin.Add(400 * time.Millisecond)
	if ask, ended := d.Evaluate("x", s, true, now); !ask || ended {
		t.Fatal("not asked")
	}
	d.CheckStored("x", true, now)
	if _, ended := d.Evaluate("x", s, true, now.Add(LivenessCheckTimeout-time.Millisecond)); ended {
		t.Fatal("taken for ended too soon")
	}
	if _, ended := d.Evaluate("x", s, true, now.Add(LivenessCheckTimeout)); !ended {
		t.Fatal("not taken for ended")
	}
	s.Revision++ // it answered
	if ask, ended := d.Evaluate("x", s, true, now.Add(LivenessCheckTimeout)); ask || ended {
		t.Fatal("asked again at once, or taken for ended, after an answer")
	}
}

// Each check holds a first decision up by itself, and says what it guards against.
func TestChecks(t *testing.T) {
	good := TakeoverFacts{Owned: true, SinceContact: time.Second, SinceStall: time.Minute, MachineTypes: 1, ReconciliationStarted: true, Machines: 3, Reported: 1}
	if c, ok := FirstFailing(good); !ok {
		t.Fatalf("held up by %v", c)
	}
	for c, spoil := range map[Check]func(f *TakeoverFacts){
		OwnsPartition: func(f *TakeoverFacts) { f.Owned = false }, RecentContact: func(f *TakeoverFacts) { f.SinceContact = 3 * time.Second }, NoRecentStall: func(f *TakeoverFacts) { f.SinceStall = 0 },
		SettingsKnown: func(f *TakeoverFacts) { f.MachineTypes = 0 }, ReconciliationStarted: func(f *TakeoverFacts) { f.ReconciliationStarted = false }, WorkerReported: func(f *TakeoverFacts) { f.Reported = 0 },
	} {
		f := good
		spoil(&f)
		if got, ok := FirstFailing(f); ok || got != c {
			t.Errorf("%v: held up by %v, %v", c, got, ok)
		}
		if c.GuardsAgainst() == "" || c.String() == "" {
			t.Errorf("%d has no words", c)
		}
	}
	if len(Checks()) != 6 || len(Causes()) != 4 {
		t.Error("a check or a cause is not listed")
	}
}
