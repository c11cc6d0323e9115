package node

import (
	"encoding/json"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
)

// A member that answers for an owner that is cut off must repeat a token that the owner has raised, or the worker drops the answer.
func TestAnswerForOwnerRepeatsRaisedToken(t *testing.T) {
	b := newTestNode(t)
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-1", Token: 8, Lease: 9, ReservedTokens: 5})
	for seq, c := range []struct {
		shown, answered uint64
	}{{7, 8}, {8, 8}, {10, 10}, {13, 13}} {
		a := b.sendReport(c.shown, uint64(seq)+1)
		if a == nil || a.status != 200 || a.body.(protocol.Orders).Token != c.answered {
			t.Errorf("token %d shown: %+v", c.shown, a)
		}
	}
	if a := b.sendReport(14, 9); a == nil || a.status == 200 {
		t.Errorf("answered a worker that a later owner has commanded: %+v", a)
	}
}

// A machine that an earlier release has moved has no reserved tokens, so nothing may be started there directly.
func TestNoDirectStartWithoutReservedTokens(t *testing.T) {
	b := newTestNode(t)
	workers := &scriptedWorkers{make(chan protocol.Orders, 1), make(chan *protocol.Report, 1)}
	b.workers = workers
	b.cfg.Params.Workers.ReportS = 6
	moved := protocol.BatchRecord{Token: 9 + reservedTokens, Machines: []protocol.MachineRecord{{Name: "host-1", Type: "g4", Zone: "a", Addr: "x:1"}}}
	b.watchPut(protocol.BatchKey("m-0-9"), moved)
	b.sendReport(moved.Token, 1)
	m := b.machines["host-1"]
	b.rejectDeferred(m)
	j := b.addJob("job-1", false, placedOnHost1)
	b.tryDirectStart(m, time.Now())
	if m.startInFlight || !m.fenced {
		t.Fatalf("started directly %v, fenced %v", m.startInFlight, m.fenced)
	}
	a := b.sendReport(moved.Token, 2)
	if a == nil || len(a.body.(protocol.Orders).Commands) != 1 || j.tasks[0].startSentAt.IsZero() {
		t.Fatalf("not started in the answer to its report: %+v", a)
	}
}

// No later ownership or move may get a token to which a machine can have been raised.
func TestReservedTokensAreNotReused(t *testing.T) {
	b := newTestNode(t)
	first, reservation := b.reserveTokens()
	var counter protocol.TokenCounterRecord
	if err := json.Unmarshal(reservation.Value, &counter); err != nil {
		t.Fatal(err)
	}
	b.watchPut(protocol.OwnerKey(0), protocol.OwnerRecord{Node: "n-0", Token: first, Lease: 3, ReservedTokens: reservedTokens})
	b.watchPut(reservation.Put, counter)
	m := b.machines["host-1"]
	for b.mayRaiseToken(m) {
		m.raisedToken = max(m.raisedToken, b.highestToken(m)-raisesPerStart)
		b.raiseToken(m)
	}
	if next, _ := b.reserveTokens(); b.fencingToken(m) <= first || b.fencingToken(m) > b.highestToken(m) || next <= b.highestToken(m) {
		t.Errorf("raised to %d in a range from %d to %d, the next one from %d", b.fencingToken(m), first, b.highestToken(m), next)
	}
}
