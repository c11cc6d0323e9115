package gateway

import (
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// Guards against a job that its user was told is accepted and that is lost with one member: a
// submission that was given up had been accepted by that member alone, and was repeated while
// no site could be given a job.
func TestRecordOfOneMemberIsNotAccepted(t *testing.T) {
	record := wire.Record{Spec: []byte(`{"id":"job-1"}`), Epoch: 1, Owner: memberNumber(2), Tasks: 1}
	ballot := wire.Ballot{Number: 7, Proposer: 256}
	c := newSiteCore(wire.Item{Kind: wire.RegisterState, ID: "job-1", Ballot: ballot, Accepted: ballot, HasRecord: true, Record: record})
	c.cfg.Route.MaxOpenPerSite = 1
	hint := (&simSite{sim: &sim{capacity: 8}}).hint()
	for site := 1; site <= 2; site++ {
		c.hints[site] = receivedHint{c.now, hint}
		c.ownedJobs[site] = 1
		c.grants[site].tasksUntil = c.now + time.Minute
	}
	spec := &protocol.JobSpec{ID: "job-1", Team: "red", Shape: protocol.Array, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 1}
	var answers []Answer
	effects := c.HandleRequest(c.now, Request{Token: 1, Kind: Submit, ID: "job-1", Spec: spec, Body: record.Spec})
	for range 20 {
		answers = append(answers, effects.Answers...)
		var replies []wire.Item
		for _, item := range effects.Send[0] {
			if item.Kind == wire.Read { // the gateway has no record
				replies = append(replies, wire.Item{Kind: wire.ReadReply, ID: item.ID, Ballot: item.Ballot})
			}
		}
		if effects.ProveOwnership != 0 {
			effects = c.OwnershipProved(c.now, effects.ProveOwnership)
			answers = append(answers, effects.Answers...)
		}
		if len(replies) > 0 {
			effects = c.Receive(c.now, 0, &wire.Envelope{Items: replies})
			continue
		}
		effects = c.Tick(c.now + tickInterval)
	}
	if len(answers) != 1 || answers[0].Code != 503 {
		t.Errorf("answers to the submission: %+v, want one with 503", answers)
	}
}
