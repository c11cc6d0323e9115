package protocol

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func TestHintRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := Hint{Node: rapid.StringMatching(`[a-z0-9-]{1,40}`).Draw(t, "node"), StateOK: rapid.Bool().Draw(t, "ok"), WorkersUnreachable: rapid.Bool().Draw(t, "blind"), ChangeRate: rapid.Float32Range(0, 100).Draw(t, "changes"), Revision: rapid.Uint64().Draw(t, "rev")}
		for range rapid.IntRange(0, 5).Draw(t, "machines") {
			c := ImageCache{Machine: rapid.StringMatching(`[a-z0-9-]{1,20}`).Draw(t, "machine")}
			for range rapid.IntRange(0, 4).Draw(t, "images") {
				c.Images = append(c.Images, CachedImage{rapid.StringMatching(`[a-z]{1,4}`).Draw(t, "image"), float64(rapid.IntRange(0, 200).Draw(t, "halves")) / 2})
			}
			h.Caches = append(h.Caches, c)
		}
		if got, err := DecodeHint(h.Encode()); err != nil || !reflect.DeepEqual(got, h) {
			t.Fatalf("%+v became %+v, %v", h, got, err)
		}
	})
}

func TestPeerQueryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-z0-9-]{0,20}`)
		query := PeerQuery{Job: text.Draw(t, "job"), Team: text.Draw(t, "team"), Cause: text.Draw(t, "cause"), MinWaitS: float64(rapid.IntRange(0, 4000).Draw(t, "since")) / 4, After: text.Draw(t, "after"), Limit: rapid.IntRange(0, 200).Draw(t, "most"),
			Kind: text.Draw(t, "kind"), State: text.Draw(t, "state"), Zone: text.Draw(t, "zone"), Image: text.Draw(t, "image"), Text: text.Draw(t, "text"), Class: text.Draw(t, "class"), SinceMS: rapid.Int64().Draw(t, "ms")}
		if got, err := DecodePeerQuery(query.Encode()); err != nil || got != query {
			t.Fatalf("%+v became %+v, %v", query, got, err)
		}
		answer := PeerAnswer{"n-" + text.Draw(t, "node"), rapid.IntRange(200, 599).Draw(t, "status"), append([]byte{}, rapid.SliceOfN(rapid.Byte(), 0, 90).Draw(t, "body")...)}
		if got, err := DecodePeerAnswer(answer.Encode()); err != nil || !reflect.DeepEqual(got, answer) {
			t.Fatalf("%+v became %+v, %v", answer, got, err)
		}
		for _, good := range [][]byte{query.Encode(), answer.Encode()} {
			good[rapid.IntRange(0, len(good)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
			DecodePeerQuery(good)
			DecodePeerAnswer(good)
		}
	})
	if IsPeerQuery(Hint{Node: "n-1"}.Encode()) {
		t.Error("a hint is taken for a query")
	}
}

// Guards against panics on malformed hints: arbitrary and corrupted data is decoded or
// rejected.
func TestMalformedHints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 80).Draw(t, "data")
		if h, err := DecodeHint(data); err == nil && h.Node == "" {
			t.Fatal("accepted a hint without a node")
		}
		good := Hint{Node: "n-1", StateOK: true, Revision: 7, Caches: []ImageCache{{"host-1", []CachedImage{{"i", 2}}}}}.Encode()
		good[rapid.IntRange(0, len(good)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		DecodeHint(good)
	})
}
