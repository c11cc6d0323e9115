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

// serveBehindListener serves HTTP on an AdmissionListener. A request for /grown is marked as
// handled at once; every answer waits for release. Connections made while lowPriority is true
// have low priority.
func serveBehindListener(t *testing.T, l AdmissionLimits, release <-chan struct{}) (listener *AdmissionListener, lowPriority *atomic.Bool, addr string, served *atomic.Int32) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lowPriority, served = &atomic.Bool{}, &atomic.Int32{}
	listener = NewAdmissionListener(ctx, ln, l, func(netip.Addr) bool { return lowPriority.Load() })
	go Serve(ctx, listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		if r.URL.Path == "/grown" {
			MarkRequestHandled(r.Context())
		}
		<-release
		io.WriteString(w, "ok")
	}))
	return listener, lowPriority, ln.Addr().String(), served
}

// dial opens a connection and sends a request on it.
func dial(t *testing.T, addr, path string) net.Conn {
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	return conn
}

// closedWithin reports whether the other side closed a connection in time without an answer. If
// it did so without reading the request, this shows as a reset.
func closedWithin(conn net.Conn, within time.Duration) bool {
	conn.SetReadDeadline(time.Now().Add(within))
	n, err := conn.Read(make([]byte, 1))
	netErr, isNet := err.(net.Error)
	return n == 0 && err != nil && !(isNet && netErr.Timeout())
}

// eventually waits until a condition holds, and fails with a text if it does not.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal(what)
}

// Of the low-priority connections some are served, some wait and the rest are closed at once,
// while other connections are served at once. With a fleet of four times the size a node's own
// lease expired while it handled the connections of five thousand workers.
func TestListenerLimitsLowPriorityConnections(t *testing.T) {
	release := make(chan struct{})
	listener, lowPriority, addr, served := serveBehindListener(t, AdmissionLimits{LowPriorityActive: 2, LowPriorityQueued: 3}, release)
	listener.Ready()
	eventually(t, "not ready", func() bool { return len(listener.ready) == 0 })
	lowPriority.Store(true)
	before := served.Load()
	var conns []net.Conn
	for range 5 {
		conns = append(conns, dial(t, addr, "/wait"))
	}
	eventually(t, "not exactly two are served at a time", func() bool { return served.Load() == before+2 && listener.Open() == 5 })
	if c := dial(t, addr, "/wait"); !closedWithin(c, 2*time.Second) {
		t.Error("a connection beyond the limits was not closed")
	}
	lowPriority.Store(false)
	dial(t, addr, "/other")
	eventually(t, "another connection waits behind low-priority ones", func() bool { return served.Load() == before+3 })
	conns[0].Close()
	conns[1].Close()
	close(release)
	eventually(t, "the waiting connections are not served", func() bool { return served.Load() == before+6 })
	if listener.Rejected() != 1 {
		t.Errorf("%d closed", listener.Rejected())
	}
}

// A connection whose first request has been handled makes room for the next one, though its
// answer still waits.
func TestListenerCountsFirstRequestsOnly(t *testing.T) {
	release := make(chan struct{})
	listener, lowPriority, addr, served := serveBehindListener(t, AdmissionLimits{LowPriorityActive: 1, LowPriorityQueued: 10}, release)
	listener.Ready()
	eventually(t, "not ready", func() bool { return len(listener.ready) == 0 })
	lowPriority.Store(true)
	for range 6 {
		dial(t, addr, "/grown")
	}
	eventually(t, "pending answers keep other connections waiting", func() bool { return served.Load() == 6 })
	close(release)
}

// Before Ready only a few connections are admitted, which get a 503, so that a starting node is
// not kept from reading the stored state. The number of open connections is limited, so that a
// node has sockets left for its own calls.
func TestListenerBeforeReadyAndAtConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	listener, _, addr, served := serveBehindListener(t, AdmissionLimits{RateBeforeReady: 2, MaxOpen: 4}, release)
	closed := 0
	for range 6 {
		if closedWithin(dial(t, addr, "/x"), 100*time.Millisecond) {
			closed++
		}
	}
	if closed == 0 || int(served.Load()) > 4 {
		t.Errorf("%d of 6 closed, %d served before Ready", closed, served.Load())
	}
	listener.Ready()
	eventually(t, "not ready", func() bool { return len(listener.ready) == 0 })
	for listener.Open() < 4 {
		dial(t, addr, "/x")
		time.Sleep(20 * time.Millisecond)
	}
	if c := dial(t, addr, "/x"); !closedWithin(c, 2*time.Second) {
		t.Error("a connection beyond the limit was not closed")
	}
}

// Accepting pauses between connections, so that the runtime polls the network for other
// goroutines.
func TestListenerLimitsAcceptRate(t *testing.T) {
	release := make(chan struct{})
	close(release)
	listener, _, addr, served := serveBehindListener(t, AdmissionLimits{AcceptRate: 200}, release)
	listener.Ready()
	eventually(t, "not ready", func() bool { return len(listener.ready) == 0 })
	start := time.Now()
	for range 60 {
		dial(t, addr, "/x")
	}
	eventually(t, "not all served", func() bool { return served.Load() == 60 })
	if took := time.Since(start); took < 200*time.Millisecond {
		t.Errorf("60 connections at 200 a second were accepted in %v", took)
	}
}
