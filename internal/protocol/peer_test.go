package protocol

import (
	"testing"

	"pgregory.net/rapid"
)

func TestHintRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := Hint{rapid.StringMatching(`[a-z0-9-]{1,40}`).Draw(t, "node"), rapid.Bool().Draw(t, "ok"), rapid.Uint64().Draw(t, "rev")}
		if got, err := DecodeHint(h.Encode()); err != nil || got != h {
			t.Fatalf("%+v became %+v, %v", h, got, err)
		}
	})
}

// Whatever arrives, decoding ends without harm.
func TestMalformedHints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 80).Draw(t, "data")
		if h, err := DecodeHint(data); err == nil && h.Node == "" {
			t.Fatal("accepted a hint without a node")
		}
		good := Hint{"n-1", true, 7}.Encode()
		good[rapid.IntRange(0, len(good)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		DecodeHint(good)
	})
}
