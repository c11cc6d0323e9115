package gateway

import (
	"log/slog"
	"testing"
	"time"

	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// newSiteCore returns the core of the site quito, restored from stored items, which has just
// heard the other members.
func newSiteCore(restored ...wire.Item) *Core {
	c := New(Config{Members: twoSites, Self: 1, LeaseTime: simLease, StopTime: StopBound(simControllers, simWorkers), MaxInFlight: 500, Route: DefaultRoute()},
		2, restored, 1, slog.New(slog.DiscardHandler), time.Hour)
	c.Receive(time.Hour, 0, &wire.Envelope{})
	c.Receive(time.Hour, 2, &wire.Envelope{})
	return c
}

// Guards against a site that gets no lease for good, and whose members store promises for a
// cancelled job again and again: after a restart the site knew the agreed cancellation, but
// did not act on the notice of a member that had missed the agreement.
func TestNoticeOfAgreedRecordIsAcknowledged(t *testing.T) {
	cancelled := wire.Record{Epoch: 1, Owner: memberNumber(1), Outcome: wire.Cancelled, Tasks: 1}
	ballot := wire.Ballot{Number: 7, Proposer: 256}
	c := newSiteCore(wire.Item{Kind: wire.RegisterState, ID: "job-1", Ballot: ballot, Accepted: ballot, HasRecord: true, Committed: true, Record: cancelled})
	effects := c.Receive(time.Hour, 0, &wire.Envelope{Items: []wire.Item{{Kind: wire.Notice, ID: "job-1", Accepted: ballot, HasRecord: true, Record: cancelled}}})
	if len(effects.Store) > 0 || len(c.rounds) > 0 {
		t.Error("a record that is known to be agreed is proposed again")
	}
	if len(effects.Calls) != 1 || effects.Calls[0].Kind != wire.Stop {
		t.Fatalf("calls to the controllers: %+v, want one that stops the job", effects.Calls)
	}
	effects = c.SiteResults(time.Hour, []Result{{Call: effects.Calls[0], Code: wire.ClaimEnded}})
	for _, item := range effects.Send[0] {
		if item.Kind == wire.Ack && item.Durable && item.ID == "job-1" {
			return
		}
	}
	t.Errorf("no durable acknowledgement is sent: %+v", effects.Send[0])
}
