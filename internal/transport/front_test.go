package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"
)

// serveBehindListener serves behind a Front; a request is dealt with at once, and its answer waits
// for release. The many are those that connect while many is true.
func serveBehindListener(t *testing.T, l AdmissionLimits, release <-chan struct{}) (f *AdmissionListener, many *atomic.Bool, addr string, served *atomic.Int32) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	many, served = &atomic.Bool{}, &atomic.Int32{}
	f = NewAdmissionListener(ctx, ln, l, func(netip.Addr) bool { return many.Load() })
	go Serve(ctx, f, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		if r.URL.Path == "/grown" {
			MarkRequestHandled(r.Context())
		}
		<-release
		io.WriteString(w, "ok")
	}))
	return f, many, ln.Addr().String(), served
}

func dial(t *testing.T, addr, path string) net.Conn {
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	return c
}

// closedNow says whether the other side closed a connection within a while without an
// answer; with what was sent not read, that shows as a reset.
func closedNow(c net.Conn, within time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(within))
	n, err := c.Read(make([]byte, 1))
	ne, isNet := err.(net.Error)
	return n == 0 && err != nil && !(isNet && ne.Timeout())
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal(what)
}

// Of the many some are served, some wait and the rest are closed at once; who is not one
// of them is served all the same. (At four times the fleet the own lease of a node
// lapsed behind the connections of five thousand workers.)
func TestFrontLetsFewOfManyThrough(t *testing.T) {
	release := make(chan struct{})
	f, many, addr, served := serveBehindListener(t, AdmissionLimits{LowPriorityActive: 2, LowPriorityQueued: 3}, release)
	f.Ready()
	eventually(t, "not ready", func() bool { return len(f.ready) == 0 })
	many.Store(true)
	before := served.Load()
	var conns []net.Conn
	for range 5 {
		conns = append(conns, dial(t, addr, "/wait"))
	}
	eventually(t, "two are served at a time", func() bool { return served.Load() == before+2 && f.Open() == 5 })
	if c := dial(t, addr, "/wait"); !closedNow(c, 2*time.Second) {
		t.Error("one too many was not closed")
	}
	many.Store(false)
	dial(t, addr, "/other")
	eventually(t, "another one waits behind the many", func() bool { return served.Load() == before+3 })
	conns[0].Close()
	conns[1].Close()
	close(release)
	eventually(t, "those that waited are not served", func() bool { return served.Load() == before+6 })
	if f.Rejected() != 1 {
		t.Errorf("%d closed", f.Rejected())
	}
}

// Whose request has been dealt with makes room for the next, though its answer waits.
func TestFrontCountsFirstRequestsOnly(t *testing.T) {
	release := make(chan struct{})
	f, many, addr, served := serveBehindListener(t, AdmissionLimits{LowPriorityActive: 1, LowPriorityQueued: 10}, release)
	f.Ready()
	eventually(t, "not ready", func() bool { return len(f.ready) == 0 })
	many.Store(true)
	for range 6 {
		dial(t, addr, "/grown")
	}
	eventually(t, "parked answers keep others waiting", func() bool { return served.Load() == 6 })
	close(release)
}

// Before it can answer anything a node lets only a few through, so that they get their
// 503, and is not kept from reading what is stored; and it keeps sockets for itself.
func TestFrontBeforeReadyAndOutOfSockets(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	f, _, addr, served := serveBehindListener(t, AdmissionLimits{RateBeforeReady: 2, MaxOpen: 4}, release)
	shut := 0
	for range 6 {
		if closedNow(dial(t, addr, "/x"), 100*time.Millisecond) {
			shut++
		}
	}
	if shut == 0 || int(served.Load()) > 4 {
		t.Errorf("%d of 6 closed, %d served before it is ready", shut, served.Load())
	}
	f.Ready()
	eventually(t, "not ready", func() bool { return len(f.ready) == 0 })
	for f.Open() < 4 {
		dial(t, addr, "/x")
		time.Sleep(20 * time.Millisecond)
	}
	if c := dial(t, addr, "/x"); !closedNow(c, 2*time.Second) {
		t.Error("a connection beyond the limit was not closed")
	}
}

// Accepting rests, so that what else the network brings is seen.
func TestFrontAcceptsAtARate(t *testing.T) {
	release := make(chan struct{})
	close(release)
	f, _, addr, served := serveBehindListener(t, AdmissionLimits{AcceptRate: 200}, release)
	f.Ready()
	eventually(t, "not ready", func() bool { return len(f.ready) == 0 })
	from := time.Now()
	for range 60 {
		dial(t, addr, "/x")
	}
	eventually(t, "not all served", func() bool { return served.Load() == 60 })
	if took := time.Since(from); took < 200*time.Millisecond {
		t.Errorf("60 connections at 200 a second were accepted in %v", took)
	}
}
