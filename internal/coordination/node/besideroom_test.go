package node

import (
	"strings"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// A job that waits beside room is told of the room and of what keeps it off, also where the machine is
// blamed, cordoned or another partition's; nobody is told of room that is not there.
func TestRoomBesideWaitingJobIsReported(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name    string
		change  func(b *testNode, m *machine)
		mention string // in the obstacle; empty: no room
	}{
		{"blamed", func(b *testNode, m *machine) { m.faults.failedJobs = []string{"job-7", "job-8", "job-9"} }, "3 jobs in a row failed"},
		{"cordoned", func(b *testNode, m *machine) { m.cordoned = true }, "cordoned"},
		{"avoided", func(b *testNode, m *machine) { m.avoidUntil = now.Add(8 * time.Second) }, "avoided for 8 s"},
		{"not fenced", func(b *testNode, m *machine) { m.fenced = false }, "not reported"},
		{"of another partition", func(b *testNode, m *machine) { m.rec.Partition = 2 }, "belongs to share 2"},
		{"lent", func(b *testNode, m *machine) {
			b.watchPut(protocol.LoansKey(0, 1), protocol.LoansRecord{Machines: []protocol.Loan{{Machine: "host-1", GPUs: 1}}})
		}, "lent"},
		{"full", func(b *testNode, m *machine) { m.used.GPUs = 4 }, ""},
		{"at the limit", func(b *testNode, m *machine) { b.teams[0].Used.GPUs = 8 }, ""},
		{"returned", func(b *testNode, m *machine) { m.returned = true }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestNode(t)
			j := b.addJob("job-1", false)
			b.watchPut(protocol.BatchKey("r-0-7-1-0"), protocol.BatchRecord{Machines: []protocol.MachineRecord{{Name: "host-1", Type: "g4", Zone: "a", Addr: "x:1"}}})
			m := b.machines["host-1"]
			m.fenced, m.lastFencedReport, m.lastReport = true, now, now
			c.change(b, m)
			room := b.machineWithRoom(j, now)
			switch {
			case room == nil && c.mention != "":
				t.Error("the room is not found")
			case room != nil && c.mention == "":
				t.Errorf("found: %+v", room)
			case room != nil && !strings.Contains(room.Obstacle, c.mention):
				t.Errorf("obstacle %q, want %q", room.Obstacle, c.mention)
			}
		})
	}
}
