package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// AdmissionListener takes connections for a server so that many that come at once do not keep it
// from the few that matter. Of the many (workers that lost their controller) only some
// are served their first request at a time and some wait; what is beyond that is closed
// at once, and they try another node a second later. All others go straight through.
// Without it a thousand new connections meant a thousand routines that ran before the
// node's own lease was renewed.
type AdmissionListener struct {
	limits      AdmissionLimits
	lowPriority func(from netip.Addr) bool
	listener    net.Listener
	accepted    chan net.Conn
	handled     chan struct{}
	ready       chan struct{}
	admitted    chan net.Conn
	done        <-chan struct{}
	open        atomic.Int64
	rejected    atomic.Int64 // closed at once so far
}

// AdmissionLimits bound what a Front lets through.
type AdmissionLimits struct {
	LowPriorityActive int // of the many: in their first request at a time
	LowPriorityQueued int // of the many: accepted, not served yet
	MaxOpen           int // connections in all; 0: no limit. Of the many: nine tenths of it
	RateBeforeReady   int // connections a second before Ready
	AcceptRate        int // connections a second that are accepted at most; 0: no limit
}

// acceptInterval is how long an accepting routine rests between a few connections when
// many wait. One that always finds another is always runnable, and the runtime then
// hardly looks at the network for all others: a node that did nothing but accept did
// not see the answer to its own lease's renewal for seven seconds.
const acceptInterval = 10 * time.Millisecond

// NewAdmissionListener takes connections on ln until ctx ends. many says whether a connection from
// an address is one of the many; it must not block.
func NewAdmissionListener(ctx context.Context, ln net.Listener, l AdmissionLimits, many func(from netip.Addr) bool) *AdmissionListener {
	f := &AdmissionListener{limits: l, lowPriority: many, listener: ln, accepted: make(chan net.Conn), handled: make(chan struct{}), ready: make(chan struct{}, 1),
		admitted: make(chan net.Conn, 64), done: ctx.Done()}
	go f.accept()
	go f.admitConns()
	return f
}

// accept hands new connections to the routine that owns the rest.
func (f *AdmissionListener) accept() {
	defer close(f.accepted)
	few := max(1, int(float64(f.limits.AcceptRate)*acceptInterval.Seconds()))
	var from time.Time // since when they are counted
	count := 0
	for {
		if f.limits.AcceptRate > 0 && count >= few {
			if rest := acceptInterval - time.Since(from); rest > 0 {
				select {
				case <-time.After(rest):
				case <-f.done:
					return
				}
			}
			count = 0
		}
		c, err := f.listener.Accept()
		if count == 0 {
			from = time.Now()
		}
		count++
		switch {
		case err == nil:
			select {
			case f.accepted <- c:
			case <-f.done:
				c.Close()
				return
			}
		case errors.Is(err, net.ErrClosed):
			return
		default: // out of sockets, say
			select {
			case <-time.After(20 * time.Millisecond):
			case <-f.done:
				return
			}
		}
	}
}

// admission is who is served and who waits; the routine of run owns it.
type admission struct {
	listener          *AdmissionListener
	waiting           []*admittedConn // of the many
	activeLowPriority int             // of the many: in their first request
	ready             bool
	windowStart       time.Time // in which early connections are counted
	windowCount       int
}

// admitConns admits connections until the front ends.
func (f *AdmissionListener) admitConns() {
	defer close(f.admitted)
	a := &admission{listener: f}
	for {
		goesOn := true
		select {
		case <-f.done:
			a.closeWaiting()
			return
		case <-f.ready:
			a.ready = true
		case <-f.handled:
			goesOn = a.serveNextWaiting()
		case c, ok := <-f.accepted:
			if !ok {
				return
			}
			goesOn = a.admit(c, time.Now())
		}
		if !goesOn {
			return
		}
	}
}

func (a *admission) closeWaiting() {
	for _, c := range a.waiting {
		c.Conn.Close()
	}
}

// serveNextWaiting serves the one that waits longest in the place of one that has grown. Like serve
// it returns false if the front has ended.
func (a *admission) serveNextWaiting() bool {
	if len(a.waiting) == 0 {
		a.activeLowPriority--
		return true
	}
	next := a.waiting[0]
	a.waiting[0] = nil
	a.waiting = a.waiting[1:]
	return a.serve(next)
}

// serve hands a connection to the server.
func (a *admission) serve(c *admittedConn) bool {
	select {
	case a.listener.admitted <- c:
		return true
	case <-a.listener.done:
		c.Close()
		return false
	}
}

// admit serves a new connection, lets it wait or closes it.
func (a *admission) admit(c net.Conn, now time.Time) bool {
	f := a.listener
	if !a.ready && now.Sub(a.windowStart) >= time.Second {
		a.windowStart, a.windowCount = now, 0
	}
	a.windowCount++
	many := a.ready && f.lowPriority(remoteAddr(c))
	wait := many && a.activeLowPriority >= f.limits.LowPriorityActive
	if a.mustReject(many, wait) {
		f.rejected.Add(1)
		c.Close()
		return true
	}
	f.open.Add(1)
	fc := &admittedConn{Conn: c, listener: f, lowPriority: many}
	if wait {
		a.waiting = append(a.waiting, fc)
		return true
	}
	if many {
		a.activeLowPriority++
	}
	return a.serve(fc)
}

// mustReject says whether a new connection, one of the many or one that would wait, is to be
// closed at once.
func (a *admission) mustReject(many, wait bool) bool {
	l := a.listener.limits
	open := l.MaxOpen
	if many {
		open = open * 9 / 10 // the rest is for all others
	}
	return l.MaxOpen > 0 && a.listener.Open() >= open || !a.ready && a.windowCount > l.RateBeforeReady || wait && len(a.waiting) >= l.LowPriorityQueued
}

// Ready ends the time in which nothing can be answered yet and only a few connections a
// second are let through.
func (f *AdmissionListener) Ready() {
	select {
	case f.ready <- struct{}{}:
	default:
	}
}

// Open is how many connections are open.
func (f *AdmissionListener) Open() int { return int(f.open.Load()) }

// Rejected is how many connections were closed at once so far.
func (f *AdmissionListener) Rejected() int64 { return f.rejected.Load() }

func remoteAddr(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// Accept waits for the next connection. With Close and Addr it makes a Front a net.Listener.
func (f *AdmissionListener) Accept() (net.Conn, error) {
	if c, ok := <-f.admitted; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// Close ends the listening.
func (f *AdmissionListener) Close() error { return f.listener.Close() }

// Addr is where it listens.
func (f *AdmissionListener) Addr() net.Addr { return f.listener.Addr() }

// admittedConn is a connection that was let through.
type admittedConn struct {
	net.Conn
	listener    *AdmissionListener
	lowPriority bool
	handled     atomic.Bool
	closed      atomic.Bool
}

func (c *admittedConn) markHandled() {
	if c.lowPriority && !c.handled.Swap(true) {
		select {
		case c.listener.handled <- struct{}{}:
		case <-c.listener.done:
		}
	}
}

// Close ends a connection, and its youth.
func (c *admittedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
		c.markHandled()
	}
	return c.Conn.Close()
}

type connKey struct{}

// withConn is a server's ConnContext, so that Grown finds the connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// MarkRequestHandled says that the request of ctx has been read and dealt with, though its answer
// may still wait: the next of the many can have its turn.
func MarkRequestHandled(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*admittedConn); ok {
		c.markHandled()
	}
}
