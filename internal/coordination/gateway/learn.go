package gateway

import (
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// Learning whether the record of a job is agreed. A read from a majority tells that at no
// cost to the stores; only where it does not, a round does, with a promise and often an
// acceptance stored at each member.

// maxLearning limits the jobs whose records a member is learning.
const maxLearning = 500

// learn finds out the agreed record of a job and commits it here, unless that is under way.
func (c *Core) learn(id string) {
	if _, ok := c.learning[id]; ok || len(c.learning) >= maxLearning || c.rounds[id] != nil {
		return
	}
	c.learning[id] = struct{}{}
	c.readFromMajority(&readRequest{id: id, onResult: func(result readResult) {
		if !c.learnFrom(id, &result) {
			return
		}
		// This member needs the submission too.
		c.learning[id] = struct{}{}
		c.readFromMajority(&readRequest{id: id, withSpec: true, onResult: func(result readResult) {
			if c.learnFrom(id, &result) {
				c.propose(id, op{kind: opLearn, background: true}, backgroundChange, nil)
			}
		}})
	}})
}

// learnFrom commits the record that a majority has shown, if it is agreed. It reports
// whether the record is agreed, but lacks the submission, which this member has to store.
func (c *Core) learnFrom(id string, result *readResult) (needsSpec bool) {
	delete(c.learning, id)
	if !result.ok || !result.exists {
		return false
	}
	own := c.registerOf(id)
	switch {
	case own.hasRecord && own.accepted == result.accepted && own.committed:
		return false // learned meanwhile
	case !result.agreed || own.hasRecord && result.accepted.Less(own.accepted):
		c.propose(id, op{kind: opLearn, background: true}, backgroundChange, nil)
		return false
	case (!own.hasRecord || own.accepted != result.accepted) && result.record.Outcome == wire.Open && len(result.record.Spec) == 0:
		return true
	}
	c.applyAgreed(id, &wire.Item{Accepted: result.accepted, HasRecord: true, Record: result.record})
	return false
}
