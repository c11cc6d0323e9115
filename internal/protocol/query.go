package protocol

import (
	"errors"

	flatbuffers "github.com/google/flatbuffers/go"

	"dapplestage.example/dapplestage/internal/protocol/peerfb"
)

// PeerQuery is a request from one controller to another: why jobs wait, or a part of the
// job history. Kind selects which of the fields apply.
type PeerQuery struct {
	Job, Team, Cause string
	MinWaitS         float64
	After            string
	Limit            int

	Kind                            string // empty: why jobs wait; or QueryAccount, QuerySamples
	State, Zone, Image, Text, Class string // filters of QueryAccount
	SinceMS                         int64
}

// Kinds of a PeerQuery, besides the empty one for why jobs wait.
const (
	QueryAccount = "account"
	QuerySamples = "samples"
)

// PeerAnswer is the answer to a PeerQuery.
type PeerAnswer struct {
	Node   string
	Status int
	Body   []byte // JSON
}

// peerQueryID is the FlatBuffers file identifier that tells a query from a hint: both are
// sent in the same kind of frame.
const peerQueryID = "WHY1"

// MaxAnswerBytes is the upper bound of an answer's JSON, which is sent in one frame.
const MaxAnswerBytes = 60 << 10

// Encode encodes a query with FlatBuffers.
func (q PeerQuery) Encode() []byte {
	b := flatbuffers.NewBuilder(128)
	job, team, cause, after := b.CreateString(q.Job), b.CreateString(q.Team), b.CreateString(q.Cause), b.CreateString(q.After)
	kind, state, zone, image, text, class := b.CreateString(q.Kind), b.CreateString(q.State), b.CreateString(q.Zone), b.CreateString(q.Image), b.CreateString(q.Text), b.CreateString(q.Class)
	peerfb.AskStart(b)
	peerfb.AskAddKind(b, kind)
	peerfb.AskAddState(b, state)
	peerfb.AskAddZone(b, zone)
	peerfb.AskAddImage(b, image)
	peerfb.AskAddText(b, text)
	peerfb.AskAddClass(b, class)
	peerfb.AskAddSinceMs(b, q.SinceMS)
	peerfb.AskAddJob(b, job)
	peerfb.AskAddTeam(b, team)
	peerfb.AskAddCause(b, cause)
	peerfb.AskAddSinceS(b, float32(q.MinWaitS))
	peerfb.AskAddAfter(b, after)
	peerfb.AskAddMost(b, uint16(q.Limit))
	b.FinishWithFileIdentifier(peerfb.AskEnd(b), []byte(peerQueryID))
	return b.FinishedBytes()
}

// IsPeerQuery reports whether a frame holds a query. All other frames are hints.
func IsPeerQuery(data []byte) bool {
	return len(data) >= minMessageBytes && flatbuffers.BufferHasIdentifier(data, peerQueryID)
}

// DecodePeerQuery decodes a query.
func DecodePeerQuery(data []byte) (PeerQuery, error) {
	return decodeMessage("question", data, readPeerQuery)
}

func readPeerQuery(data []byte) (PeerQuery, error) {
	if !IsPeerQuery(data) {
		return PeerQuery{}, errors.New("malformed question")
	}
	msg := peerfb.GetRootAsAsk(data, 0)
	return PeerQuery{Job: string(msg.Job()), Team: string(msg.Team()), Cause: string(msg.Cause()), MinWaitS: float64(msg.SinceS()), After: string(msg.After()), Limit: int(msg.Most()),
		Kind: string(msg.Kind()), State: string(msg.State()), Zone: string(msg.Zone()), Image: string(msg.Image()), Text: string(msg.Text()), Class: string(msg.Class()), SinceMS: msg.SinceMs()}, nil
}

// Encode encodes an answer with FlatBuffers.
func (t PeerAnswer) Encode() []byte {
	b := flatbuffers.NewBuilder(len(t.Body) + 64)
	node, body := b.CreateString(t.Node), b.CreateByteVector(t.Body)
	peerfb.ToldStart(b)
	peerfb.ToldAddNode(b, node)
	peerfb.ToldAddStatus(b, uint16(t.Status))
	peerfb.ToldAddBody(b, body)
	b.Finish(peerfb.ToldEnd(b))
	return b.FinishedBytes()
}

// DecodePeerAnswer decodes an answer.
func DecodePeerAnswer(data []byte) (PeerAnswer, error) {
	return decodeMessage("answer", data, readPeerAnswer)
}

func readPeerAnswer(data []byte) (PeerAnswer, error) {
	msg := peerfb.GetRootAsTold(data, 0)
	t := PeerAnswer{string(msg.Node()), int(msg.Status()), append([]byte{}, msg.BodyBytes()...)}
	if t.Node == "" || t.Status == 0 {
		return PeerAnswer{}, errors.New("answer without a node or a status")
	}
	return t, nil
}
