package transport

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

func TestFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var buf bytes.Buffer
		msgs := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 100)).Draw(t, "messages")
		for _, m := range msgs {
			if err := WriteFrame(&buf, m); err != nil {
				t.Fatal(err)
			}
		}
		whole := buf.Bytes()
		for _, m := range msgs {
			got, err := ReadFrame(&buf)
			if err != nil || !bytes.Equal(got, m) {
				t.Fatalf("%v became %v, %v", m, got, err)
			}
		}
		if len(whole) > 0 {
			cut := rapid.IntRange(0, len(whole)-1).Draw(t, "cut")
			r := bytes.NewReader(whole[:cut])
			var err error
			for err == nil {
				_, err = ReadFrame(r)
			}
		}
		if _, err := ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})); err == nil {
			t.Fatal("a frame of 4 GB was accepted")
		}
	})
}
