package protocol

import (
	"errors"

	flatbuffers "github.com/google/flatbuffers/go"

	"dapplestage.example/dapplestage/internal/protocol/peerfb"
)

// PeerQuery is a controller's question to another one: why jobs wait.
type PeerQuery struct {
	Job, Team, Cause string
	MinWaitS         float64
	After            string
	Limit            int

	Kind                            string // empty: why jobs wait; AskAccount, AskSamples
	State, Zone, Image, Text, Class string // of the account
	SinceMS                         int64
}

// Kinds of questions beside why jobs wait.
const (
	QueryAccount = "account"
	QuerySamples = "samples"
)

// PeerAnswer is the answer.
type PeerAnswer struct {
	Node   string
	Status int
	Body   []byte // JSON
}

// peerQueryID marks a question among the frames that controllers send one another.
const peerQueryID = "WHY1"

// MaxAnswerBytes bounds the JSON of an answer: it goes in one frame.
const MaxAnswerBytes = 60 << 10

// Encode writes a question as FlatBuffers.
func (a PeerQuery) Encode() []byte {
	b := flatbuffers.NewBuilder(128)
	job, team, cause, after := b.CreateString(a.Job), b.CreateString(a.Team), b.CreateString(a.Cause), b.CreateString(a.After)
	kind, state, zone, image, text, class := b.CreateString(a.Kind), b.CreateString(a.State), b.CreateString(a.Zone), b.CreateString(a.Image), b.CreateString(a.Text), b.CreateString(a.Class)
	peerfb.AskStart(b)
	peerfb.AskAddKind(b, kind)
	peerfb.AskAddState(b, state)
	peerfb.AskAddZone(b, zone)
	peerfb.AskAddImage(b, image)
	peerfb.AskAddText(b, text)
	peerfb.AskAddClass(b, class)
	peerfb.AskAddSinceMs(b, a.SinceMS)
	peerfb.AskAddJob(b, job)
	peerfb.AskAddTeam(b, team)
	peerfb.AskAddCause(b, cause)
	peerfb.AskAddSinceS(b, float32(a.MinWaitS))
	peerfb.AskAddAfter(b, after)
	peerfb.AskAddMost(b, uint16(a.Limit))
	b.FinishWithFileIdentifier(peerfb.AskEnd(b), []byte(peerQueryID))
	return b.FinishedBytes()
}

// IsPeerQuery says whether a frame holds a question; other frames are hints.
func IsPeerQuery(data []byte) bool {
	return len(data) >= minMessage && flatbuffers.BufferHasIdentifier(data, peerQueryID)
}

// DecodePeerQuery reads a question.
func DecodePeerQuery(data []byte) (PeerQuery, error) { return decode("question", data, readPeerQuery) }

func readPeerQuery(data []byte) (PeerQuery, error) {
	if !IsPeerQuery(data) {
		return PeerQuery{}, errors.New("malformed question")
	}
	f := peerfb.GetRootAsAsk(data, 0)
	return PeerQuery{Job: string(f.Job()), Team: string(f.Team()), Cause: string(f.Cause()), MinWaitS: float64(f.SinceS()), After: string(f.After()), Limit: int(f.Most()),
		Kind: string(f.Kind()), State: string(f.State()), Zone: string(f.Zone()), Image: string(f.Image()), Text: string(f.Text()), Class: string(f.Class()), SinceMS: f.SinceMs()}, nil
}

// Encode writes an answer as FlatBuffers.
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

// DecodePeerAnswer reads an answer.
func DecodePeerAnswer(data []byte) (PeerAnswer, error) { return decode("answer", data, readPeerAnswer) }

func readPeerAnswer(data []byte) (PeerAnswer, error) {
	f := peerfb.GetRootAsTold(data, 0)
	t := PeerAnswer{string(f.Node()), int(f.Status()), append([]byte{}, f.BodyBytes()...)}
	if t.Node == "" || t.Status == 0 {
		return PeerAnswer{}, errors.New("answer without a node or a status")
	}
	return t, nil
}
