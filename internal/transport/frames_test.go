package transport

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Frames are read as they were written. A truncated frame or one beyond the size limit is an
// error.
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

// A sender replaces a connection that the other side has given up, even if no write on it
// fails. On a simulated day a controller that had stalled for 50 s went on writing its hints
// to a closed connection, and another one kept answering its workers in its place.
func TestSendFramesLeavesADeadConnection(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go SendFrames(ctx, ln.Addr().String(), time.Millisecond, 50*time.Millisecond, func() []byte { return []byte("hint") }, func(ConnEvent) {})
	unread, err := ln.Accept() // nobody reads from it: the kernel accepts what is written
	if err != nil {
		t.Fatal(err)
	}
	defer unread.Close()
	got := make(chan string, 1)
	go AcceptFrames(ctx, ln, time.Second, func(data []byte) error {
		select {
		case got <- string(data):
		default:
		}
		return nil
	}, notARequest)
	select {
	case m := <-got:
		if m != "hint" {
			t.Errorf("received %q", m)
		}
	case <-time.After(20 * time.Second):
		t.Error("no frame arrives on a new connection")
	}
}

// notARequest treats no frame as a request.
func notARequest([]byte) ([]byte, bool) { return nil, false }

// Requests are answered on their own connections while hints continue on another one. A request
// that is not answered in time fails.
func TestRequests(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var hints atomic.Int64
	go AcceptFrames(ctx, ln, time.Second, func([]byte) error { hints.Add(1); return nil }, func(q []byte) ([]byte, bool) {
		switch string(q) {
		case "why?":
			return []byte("because"), true
		case "never?":
			<-ctx.Done()
			return nil, true
		}
		return nil, false
	})
	go SendFrames(ctx, ln.Addr().String(), 5*time.Millisecond, time.Second, func() []byte { return []byte("hint") }, func(ConnEvent) {})
	for range 5 {
		if a, err := SendRequest(ctx, ln.Addr().String(), 10*time.Second, []byte("why?")); err != nil || string(a) != "because" {
			t.Fatalf("%q %v", a, err)
		}
	}
	if a, err := SendRequest(ctx, ln.Addr().String(), 50*time.Millisecond, []byte("never?")); err == nil {
		t.Errorf("answered %q", a)
	}
	for deadline := time.Now().Add(20 * time.Second); hints.Load() < 3; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no hints beside requests")
		}
	}
}
