package node

import (
	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// Fencing tokens. Each ownership of a partition and each move of machines reserves a range of
// tokens by one change of the counter, above all earlier ranges. The first token of a range fences
// off earlier owners. The owner can raise the token of each of its machines within the range
// without a change, which makes the worker refuse what was sent under its earlier tokens.

// reservedTokens is the number of tokens above the first one that a range contains: how often the
// token of a machine can be raised during one ownership.
const reservedTokens = 1 << 20

// reserveTokens returns the first token of a new range, and the write that reserves the range. The
// write needs the counter's revision as a condition.
func (n *Node) reserveTokens() (first uint64, reservation storage.Write) {
	first = n.tokenCounter + 1
	counter := protocol.TokenCounterRecord{Token: first + reservedTokens}
	return first, storage.Write{Put: protocol.TokenCounterKey, Value: mustJSON(counter)}
}

// tokenRange returns the first and the last token with which the owner of a machine's partition may
// command the machine: those of the ownership, or of a later move to it.
func (n *Node) tokenRange(m *machine) (first, last uint64) {
	owner := &n.partitions[m.rec.Partition].owner
	if m.rec.Token > owner.Token {
		return m.rec.Token, m.rec.Token + m.rec.ReservedTokens
	}
	return owner.Token, owner.Token + owner.ReservedTokens
}

// highestToken returns the highest token that the worker of a machine can have seen from the
// present owner.
func (n *Node) highestToken(m *machine) uint64 {
	_, last := n.tokenRange(m)
	return last
}

// fencingToken returns the token under which this node commands a machine.
func (n *Node) fencingToken(m *machine) uint64 {
	first, _ := n.tokenRange(m)
	return max(first, m.raisedToken) // an earlier ownership's tokens are below the range
}

// showsOwnToken reports whether a report shows that the worker refuses the commands of earlier
// owners.
func (n *Node) showsOwnToken(m *machine, report *protocol.Report) bool {
	first, _ := n.tokenRange(m)
	return report.Token >= first && report.Token <= n.fencingToken(m)
}

// raisesPerStart is how often at most a direct start raises the token: before it is sent, and before
// the worker forgets it.
const raisesPerStart = 2

// mayRaiseToken reports whether a machine's token can be raised for one more direct start.
func (n *Node) mayRaiseToken(m *machine) bool {
	return n.fencingToken(m)+raisesPerStart <= n.highestToken(m)
}

// raiseToken raises the token under which this node commands a machine.
func (n *Node) raiseToken(m *machine) {
	m.raisedToken = n.fencingToken(m) + 1
	n.metrics.tokenRaises.Inc()
	n.log.Debug("token raised", "machine", m.name, "token", m.raisedToken)
}
