package protocol

//go:generate flatc --go -o . peer.fbs

import (
	"errors"

	flatbuffers "github.com/google/flatbuffers/go"

	"dapplestage.example/dapplestage/internal/protocol/peerfb"
)

// Hint is what a controller tells its siblings about itself.
type Hint struct {
	Node     string
	StateOK  bool
	Revision uint64
}

// Encode writes a hint as FlatBuffers.
func (h Hint) Encode() []byte {
	b := flatbuffers.NewBuilder(64)
	node := b.CreateString(h.Node)
	peerfb.HintStart(b)
	peerfb.HintAddNode(b, node)
	peerfb.HintAddStateOk(b, h.StateOK)
	peerfb.HintAddRevision(b, h.Revision)
	b.Finish(peerfb.HintEnd(b))
	return b.FinishedBytes()
}

// DecodeHint reads a hint. FlatBuffers are not checked by their reader, so a
// malformed one, which may make it panic, is caught here.
func DecodeHint(data []byte) (h Hint, err error) {
	defer func() {
		if recover() != nil {
			h, err = Hint{}, errors.New("malformed hint")
		}
	}()
	if len(data) < 8 {
		return Hint{}, errors.New("malformed hint")
	}
	f := peerfb.GetRootAsHint(data, 0)
	h = Hint{Node: string(f.Node()), StateOK: f.StateOk(), Revision: f.Revision()}
	if h.Node == "" {
		return Hint{}, errors.New("hint without a node")
	}
	return h, nil
}
