package gateway

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func drawItem(t *rapid.T) Item {
	u8 := func(name string, most int) uint8 { return uint8(rapid.IntRange(0, most).Draw(t, name)) }
	it := Item{Kind: Kind(u8("kind", int(kindCount)-1)), ID: rapid.StringMatching(`job-[0-9]{1,32}`).Draw(t, "id"),
		Ballot: Ballot{rapid.Uint64().Draw(t, "n"), rapid.Uint32().Draw(t, "who")}, Accepted: Ballot{rapid.Uint64().Draw(t, "an"), rapid.Uint32().Draw(t, "awho")},
		HasRecord: rapid.Bool().Draw(t, "exists"), Committed: rapid.Bool().Draw(t, "committed"), Durable: rapid.Bool().Draw(t, "durable"),
		Running: rapid.Uint32().Draw(t, "running"), Code: u8("why", 255), AckedSites: rapid.Uint32().Draw(t, "acked")}
	it.Record = Record{Epoch: rapid.Uint32().Draw(t, "epoch"), Owner: u8("holder", MaxMembers), PrevOwner: u8("prev", MaxMembers), Stopped: rapid.Bool().Draw(t, "stopped"),
		LostSites: rapid.Uint32().Draw(t, "lost"), ExcludedSites: rapid.Uint32().Draw(t, "barred"), Outcome: u8("final", int(Cancelled)), FinishedBy: u8("by", MaxMembers),
		Tasks: rapid.Uint32().Draw(t, "tasks"), CreatedMS: rapid.Uint64().Draw(t, "created")}
	if spec := rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "spec"); len(spec) > 0 {
		it.Record.Spec = spec
	}
	return it
}

func TestEnvelopeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &Envelope{Items: make([]Item, rapid.IntRange(0, 5).Draw(t, "items"))}
		for i := range e.Items {
			e.Items[i] = drawItem(t)
		}
		if rapid.Bool().Draw(t, "hinted") {
			e.Hint = &Hint{Drained: true, GPUs: 8, FreeGPUs: 2.5, Waiting: 7, Types: []TypeHint{{"g", 24, 4, 192, []string{"a", "b"}}},
				Teams: []TeamHint{{"red", 1, 2, 3, 4, 5}}, Images: []string{"i"}}
		}
		got, err := Decode(Encode(e))
		if err != nil || !reflect.DeepEqual(got, e) {
			t.Fatalf("%+v became %+v, %v", e, got, err)
		}
	})
}

// Guards against panics on malformed messages: corrupted and truncated data is decoded or
// rejected.
func TestDecodeDamaged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := Encode(&Envelope{Items: []Item{drawItem(t), drawItem(t)}})
		for range rapid.IntRange(1, 8).Draw(t, "flips") {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "by"))
		}
		Decode(data[:rapid.IntRange(0, len(data)).Draw(t, "len")])
		DecodeLease(data)
	})
}

func TestLeaseRoundTrip(t *testing.T) {
	l := &Lease{RemainingMS: 2900, MinRevision: 1 << 40, LostJobs: []string{"job-1", "job-2"}}
	if got, err := DecodeLease(EncodeLease(l)); err != nil || !reflect.DeepEqual(got, l) {
		t.Fatalf("%+v, %v", got, err)
	}
}

func TestOtherVersionIsRejected(t *testing.T) {
	data := Encode(&Envelope{})
	for i := range data {
		if data[i] == Version {
			d := append([]byte(nil), data...)
			d[i] = Version + 1
			if _, err := Decode(d); err != nil && err.Error() == "gateway message of version 2, this program understands 1" {
				return
			}
		}
	}
	t.Error("no message of another version was rejected with an error that names the version")
}
