package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// AdmissionListener is a net.Listener with admission control, so that a burst of
// low-priority connections (workers that lost their controller) does not delay the others.
// Of the low-priority connections only some are in their first request at a time and some
// wait. Any further one is closed at once, and its worker tries another node a second later.
// All other connections are admitted at once. Without it a thousand new connections meant a
// thousand goroutines that ran before the node renewed its own lease.
type AdmissionListener struct {
	limits      AdmissionLimits
	lowPriority func(from netip.Addr) bool
	inner       net.Listener
	accepted    chan net.Conn   // from accept to admitConns
	handled     chan struct{}   // one for each low-priority connection whose first request was handled
	ready       chan struct{}   // receives one value when Ready is called
	admitted    chan net.Conn   // to Accept
	done        <-chan struct{} // closed when the listener's context ends
	open        atomic.Int64
	rejected    atomic.Int64 // connections closed at once so far
}

// AdmissionLimits are the limits of an AdmissionListener.
type AdmissionLimits struct {
	LowPriorityActive int // low-priority connections that are in their first request at a time
	LowPriorityQueued int // low-priority connections that are accepted and wait to be served
	MaxOpen           int // connections in all; 0: no limit. Low-priority ones may use nine tenths of it
	RateBeforeReady   int // connections a second before Ready is called
	AcceptRate        int // connections a second that are accepted; 0: no limit
}

// acceptInterval is the interval over which AcceptRate is enforced. Without a pause, a
// goroutine that always finds another connection to accept is always runnable, and the Go
// runtime then rarely polls the network for the other goroutines: a node that only accepted
// connections did not see the answer to its own lease renewal for seven seconds.
const acceptInterval = 10 * time.Millisecond

// NewAdmissionListener accepts connections on inner until ctx ends. lowPriority reports whether
// a connection from an address has low priority; it must not block.
func NewAdmissionListener(ctx context.Context, inner net.Listener, l AdmissionLimits, lowPriority func(from netip.Addr) bool) *AdmissionListener {
	ln := &AdmissionListener{limits: l, lowPriority: lowPriority, inner: inner, accepted: make(chan net.Conn), handled: make(chan struct{}), ready: make(chan struct{}, 1),
		admitted: make(chan net.Conn, 64), done: ctx.Done()}
	go ln.accept()
	go ln.admitConns()
	return ln
}

// accept accepts connections at the limited rate and passes them to admitConns.
func (ln *AdmissionListener) accept() {
	defer close(ln.accepted)
	perInterval := max(1, int(float64(ln.limits.AcceptRate)*acceptInterval.Seconds()))
	var intervalStart time.Time // when the first of the counted connections was accepted
	acceptedCount := 0
	for {
		if ln.limits.AcceptRate > 0 && acceptedCount >= perInterval {
			if rest := acceptInterval - time.Since(intervalStart); rest > 0 {
				select {
				case <-time.After(rest):
				case <-ln.done:
					return
				}
			}
			acceptedCount = 0
		}
		c, err := ln.inner.Accept()
		if acceptedCount == 0 {
			intervalStart = time.Now()
		}
		acceptedCount++
		switch {
		case err == nil:
			select {
			case ln.accepted <- c:
			case <-ln.done:
				c.Close()
				return
			}
		case errors.Is(err, net.ErrClosed):
			return
		default: // for example out of sockets
			select {
			case <-time.After(20 * time.Millisecond):
			case <-ln.done:
				return
			}
		}
	}
}

// admission is the state of admission control. The goroutine of admitConns owns it.
type admission struct {
	listener          *AdmissionListener
	waiting           []*admittedConn // low-priority connections that wait
	activeLowPriority int             // low-priority connections in their first request
	ready             bool
	windowStart       time.Time // start of the second in which connections before Ready are counted
	windowCount       int
}

// admitConns admits connections until the listener ends.
func (ln *AdmissionListener) admitConns() {
	defer close(ln.admitted)
	a := &admission{listener: ln}
	for {
		running := true
		select {
		case <-ln.done:
			a.closeWaiting()
			return
		case <-ln.ready:
			a.ready = true
		case <-ln.handled:
			running = a.serveNextWaiting()
		case c, ok := <-ln.accepted:
			if !ok {
				return
			}
			running = a.admit(c, time.Now())
		}
		if !running {
			return
		}
	}
}

// closeWaiting closes the connections that were never served.
func (a *admission) closeWaiting() {
	for _, c := range a.waiting {
		c.Conn.Close()
	}
}

// serveNextWaiting serves the connection that has waited longest, in the place of one whose
// first request has been handled. Like serve it returns false if the listener has ended.
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

// serve passes a connection to the server. It returns false if the listener has ended.
func (a *admission) serve(c *admittedConn) bool {
	select {
	case a.listener.admitted <- c:
		return true
	case <-a.listener.done:
		c.Close()
		return false
	}
}

// admit serves a new connection, queues it or closes it. It returns false if the listener has
// ended.
func (a *admission) admit(c net.Conn, now time.Time) bool {
	ln := a.listener
	if !a.ready && now.Sub(a.windowStart) >= time.Second {
		a.windowStart, a.windowCount = now, 0
	}
	a.windowCount++
	lowPriority := a.ready && ln.lowPriority(remoteAddr(c))
	mustWait := lowPriority && a.activeLowPriority >= ln.limits.LowPriorityActive
	if a.mustReject(lowPriority, mustWait) {
		ln.rejected.Add(1)
		c.Close()
		return true
	}
	ln.open.Add(1)
	conn := &admittedConn{Conn: c, ln: ln, lowPriority: lowPriority}
	if mustWait {
		a.waiting = append(a.waiting, conn)
		return true
	}
	if lowPriority {
		a.activeLowPriority++
	}
	return a.serve(conn)
}

// mustReject reports whether a new connection is to be closed at once. The parameters tell
// whether it has low priority and whether it would have to wait.
func (a *admission) mustReject(lowPriority, mustWait bool) bool {
	l := a.listener.limits
	maxOpen := l.MaxOpen
	if lowPriority {
		maxOpen = maxOpen * 9 / 10 // the rest is kept for other connections
	}
	return l.MaxOpen > 0 && a.listener.Open() >= maxOpen || !a.ready && a.windowCount > l.RateBeforeReady || mustWait && len(a.waiting) >= l.LowPriorityQueued
}

// Ready tells the listener that the server can answer requests. Before, RateBeforeReady
// applies.
func (ln *AdmissionListener) Ready() {
	select {
	case ln.ready <- struct{}{}:
	default:
	}
}

// Open returns how many connections are open.
func (ln *AdmissionListener) Open() int { return int(ln.open.Load()) }

// Rejected returns how many connections were closed at once so far.
func (ln *AdmissionListener) Rejected() int64 { return ln.rejected.Load() }

// remoteAddr returns the IP address of the other side, or the zero Addr if it is not TCP.
func remoteAddr(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// Accept implements net.Listener: it waits for the next admitted connection.
func (ln *AdmissionListener) Accept() (net.Conn, error) {
	if c, ok := <-ln.admitted; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener: it stops listening.
func (ln *AdmissionListener) Close() error { return ln.inner.Close() }

// Addr implements net.Listener: it returns the address on which connections are accepted.
func (ln *AdmissionListener) Addr() net.Addr { return ln.inner.Addr() }

// admittedConn is a connection that was admitted or waits for it.
type admittedConn struct {
	net.Conn
	ln          *AdmissionListener
	lowPriority bool
	handled     atomic.Bool
	closed      atomic.Bool
}

// markHandled lets the next low-priority connection be served, once per connection.
func (c *admittedConn) markHandled() {
	if c.lowPriority && !c.handled.Swap(true) {
		select {
		case c.ln.handled <- struct{}{}:
		case <-c.ln.done:
		}
	}
}

// Close closes the connection. Its first request counts as handled then.
func (c *admittedConn) Close() error {
	if !c.closed.Swap(true) {
		c.ln.open.Add(-1)
		c.markHandled()
	}
	return c.Conn.Close()
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn is a server's ConnContext function. It lets MarkRequestHandled find the connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// MarkRequestHandled records that the request of ctx has been read and handled, though its
// answer may be sent later. The next waiting low-priority connection can then be served.
func MarkRequestHandled(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*admittedConn); ok {
		c.markHandled()
	}
}
