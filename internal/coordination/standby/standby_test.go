package standby

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// For any changes of the live nodes: the standbys of a partition differ from its owner and
// from each other, there is one while another node is live, the assignment is stable, and
// the same records give the same assignment.
func TestAssignStandbys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		previous := map[int]Standbys{}
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			var nodes []Node
			for i := range 6 {
				if rapid.Bool().Draw(t, "lives") {
					nodes = append(nodes, Node{Name: fmt.Sprint("n-", i), Zone: fmt.Sprint("z", i%2)})
				}
			}
			var partitions []Partition
			for i := range rapid.IntRange(1, 6).Draw(t, "shares") {
				partition := Partition{Index: i}
				if owner := rapid.IntRange(-1, len(nodes)-1).Draw(t, "holder"); owner >= 0 {
					partition.Owner = nodes[owner].Name
					nodes[owner].Owned++
				}
				partitions = append(partitions, partition)
			}
			assigned := AssignStandbys(partitions, nodes, previous)
			if again := AssignStandbys(partitions, nodes, previous); fmt.Sprint(again) != fmt.Sprint(assigned) {
				t.Fatalf("%v, then %v", assigned, again)
			}
			if next := AssignStandbys(partitions, nodes, assigned); fmt.Sprint(next) != fmt.Sprint(AssignStandbys(partitions, nodes, next)) {
				t.Fatalf("assignment is not stable: %v", assigned)
			}
			for _, partition := range partitions {
				standbys := assigned[partition.Index]
				candidates := len(nodes)
				if partition.Owner != "" {
					candidates--
				}
				if standbys.First == partition.Owner && standbys.First != "" || standbys.Second != "" && (standbys.Second == standbys.First || standbys.Second == partition.Owner) || (standbys.First == "") != (candidates == 0) || (standbys.Second == "") != (candidates < 2) {
					t.Fatalf("partition of %q among %v has %+v", partition.Owner, nodes, standbys)
				}
			}
			previous = assigned
		}
	})
}

// With as many partitions as controllers, each node is first standby for one partition of
// another node. A node that owns nothing comes first, an impaired node last, and another
// zone before the owner's.
func TestAssignStandbysPreferences(t *testing.T) {
	nodes := []Node{{Name: "a", Owned: 1}, {Name: "b", Owned: 1}, {Name: "c", Owned: 1}}
	partitions := []Partition{{0, "a"}, {1, "b"}, {2, "c"}}
	standbyCount := map[string]int{}
	assigned := AssignStandbys(partitions, nodes, nil)
	for _, standbys := range assigned {
		standbyCount[standbys.First]++
	}
	if standbyCount["a"] != 1 || standbyCount["b"] != 1 || standbyCount["c"] != 1 {
		t.Errorf("first standbys %v", assigned)
	}
	withIdle := AssignStandbys([]Partition{{0, "a"}}, append(nodes, Node{Name: "d"}), nil)
	if withIdle[0].First != "d" {
		t.Errorf("%v where d owns nothing", withIdle)
	}
	// If one node owns two partitions, the idle node must become first standby of both,
	// whoever was before. Otherwise a partition released for the idle node goes to another
	// node and has to be moved again.
	twoAtOneNode := AssignStandbys([]Partition{{0, "a"}, {1, "b"}, {2, "b"}}, []Node{{Name: "a", Owned: 1}, {Name: "b", Owned: 2}, {Name: "c"}}, map[int]Standbys{1: {"a", "c"}, 2: {"a", "c"}})
	if twoAtOneNode[0].First != "c" || twoAtOneNode[1].First != "c" || twoAtOneNode[2].First != "c" {
		t.Errorf("%v where c owns nothing", twoAtOneNode)
	}
	withImpaired := AssignStandbys([]Partition{{0, "a"}}, []Node{{Name: "a", Owned: 1}, {Name: "b", Impaired: true}, {Name: "c", Owned: 3}}, nil)
	if withImpaired[0].First != "c" {
		t.Errorf("%v where b is impaired", withImpaired)
	}
	withZones := AssignStandbys([]Partition{{0, "a"}}, []Node{{Name: "a", Zone: "x", Owned: 1}, {Name: "b", Zone: "x"}, {Name: "c", Zone: "y"}}, nil)
	if withZones[0].First != "c" {
		t.Errorf("%v: first standby in the zone of the owner", withZones)
	}
	if p := (Standbys{"a", "b"}); p.TakeoverDelay("a") != 0 || p.TakeoverDelay("b") != SecondDelay || p.TakeoverDelay("c") != OthersDelay {
		t.Error("delays")
	}
}

// A peer may be presumed ended only if it owned a partition, its connection was lost with
// no hint since, its host refused a connection after that, the question was stored
// LivenessCheckTimeout ago, and the peer has not stored its node record since.
func TestSuspicions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		suspicions := NewSuspicions()
		now := begin
		peer := PeerEvidence{LastHint: begin, Revision: 5, OwnsPartition: true}
		var storedAt time.Time // when the pending question was stored
		var revision uint64
		open := false
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				peer.LastHint = now
			case 1:
				peer.ConnLostAt = now
			case 2, 3:
				peer.ConnRefusedAt = now
			case 4:
				peer.Revision++
			case 5:
				peer.OwnsPartition = !peer.OwnsPartition
			case 6:
				if open && storedAt.IsZero() {
					stored := rapid.Bool().Draw(t, "stored")
					suspicions.CheckStored("x", stored, now)
					if open = stored; stored {
						storedAt = now
					}
				}
			}
			mayCheck := rapid.IntRange(0, 9).Draw(t, "may") > 0
			startCheck, presumedEnded := suspicions.Evaluate("x", peer, mayCheck, now)
			if startCheck {
				if open || !mayCheck || !peer.OwnsPartition {
					t.Fatal("check started twice, or without evidence")
				}
				open, storedAt, revision = true, time.Time{}, peer.Revision
			}
			if presumedEnded && (!open || storedAt.IsZero() || now.Sub(storedAt) < LivenessCheckTimeout || peer.Revision != revision || !mayCheck || !peer.OwnsPartition || peer.LastHint.After(peer.ConnLostAt) || peer.ConnRefusedAt.Before(peer.ConnLostAt)) {
				t.Fatalf("presumed ended: open %v, stored %v ago, %+v, revision then %d", open, now.Sub(storedAt), peer, revision)
			}
			if open && (!mayCheck || !peer.OwnsPartition || peer.Revision != revision || peer.LastHint.After(peer.ConnLostAt) || peer.ConnRefusedAt.Before(peer.ConnLostAt) || now.Sub(peer.ConnRefusedAt) >= maxEvidenceAge) {
				open = false
			}
		}
	})
}

// A connection is lost, the host refuses a new one, the question is stored and not
// answered: the peer is presumed ended after the timeout. A peer that answers is not
// checked again for a while.
func TestLivenessCheck(t *testing.T) {
	peer := PeerEvidence{LastHint: begin, ConnLostAt: begin.Add(300 * time.Millisecond), ConnRefusedAt: begin.Add(320 * time.Millisecond), Revision: 5, OwnsPartition: true}
	suspicions := NewSuspicions()
	now := begin.Add(400 * time.Millisecond)
	if startCheck, presumedEnded := suspicions.Evaluate("x", peer, true, now); !startCheck || presumedEnded {
		t.Fatal("no check started")
	}
	suspicions.CheckStored("x", true, now)
	if _, presumedEnded := suspicions.Evaluate("x", peer, true, now.Add(LivenessCheckTimeout-time.Millisecond)); presumedEnded {
		t.Fatal("presumed ended too soon")
	}
	if _, presumedEnded := suspicions.Evaluate("x", peer, true, now.Add(LivenessCheckTimeout)); !presumedEnded {
		t.Fatal("not presumed ended")
	}
	peer.Revision++ // it answered
	if startCheck, presumedEnded := suspicions.Evaluate("x", peer, true, now.Add(LivenessCheckTimeout)); startCheck || presumedEnded {
		t.Fatal("checked again at once, or presumed ended, after an answer")
	}
}

// Each check blocks a first decision by itself, and has texts.
func TestChecks(t *testing.T) {
	passing := TakeoverFacts{Owned: true, SinceContact: time.Second, SinceStall: time.Minute, MachineTypes: 1, ReconciliationStarted: true, Machines: 3, Reported: 1}
	if c, ok := FirstFailing(passing); !ok {
		t.Fatalf("blocked by %v", c)
	}
	for c, breakFact := range map[Check]func(f *TakeoverFacts){
		OwnsPartition: func(f *TakeoverFacts) { f.Owned = false }, RecentContact: func(f *TakeoverFacts) { f.SinceContact = 3 * time.Second }, NoRecentStall: func(f *TakeoverFacts) { f.SinceStall = 0 },
		SettingsKnown: func(f *TakeoverFacts) { f.MachineTypes = 0 }, ReconciliationStarted: func(f *TakeoverFacts) { f.ReconciliationStarted = false }, WorkerReported: func(f *TakeoverFacts) { f.Reported = 0 },
	} {
		f := passing
		breakFact(&f)
		if got, ok := FirstFailing(f); ok || got != c {
			t.Errorf("%v: blocked by %v, %v", c, got, ok)
		}
		if c.GuardsAgainst() == "" || c.String() == "" {
			t.Errorf("check %d has no text", c)
		}
	}
	if len(Checks()) != 6 || len(Causes()) != 4 {
		t.Error("wrong number of checks or causes")
	}
}
