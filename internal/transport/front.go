package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// Front takes connections for a server so that many that come at once do not keep it
// from the few that matter. Of the many (workers that lost their controller) only some
// are served their first request at a time and some wait; what is beyond that is closed
// at once, and they try another node a second later. All others go straight through.
// Without it a thousand new connections meant a thousand routines that ran before the
// node's own lease was renewed.
type Front struct {
	limits FrontLimits
	many   func(from netip.Addr) bool
	ln     net.Listener
	in     chan net.Conn
	grown  chan struct{}
	ready  chan struct{}
	out    chan net.Conn
	done   <-chan struct{}
	open   atomic.Int64
	closed atomic.Int64 // closed at once so far
}

// FrontLimits bound what a Front lets through.
type FrontLimits struct {
	Young   int // of the many: in their first request at a time
	Waiting int // of the many: accepted, not served yet
	Open    int // connections in all; 0: no limit. Of the many: nine tenths of it
	Early   int // connections a second before Ready
	Rate    int // connections a second that are accepted at most; 0: no limit
}

// acceptPause is how long an accepting routine rests between a few connections when
// many wait. One that always finds another is always runnable, and the runtime then
// hardly looks at the network for all others: a node that did nothing but accept did
// not see the answer to its own lease's renewal for seven seconds.
const acceptPause = 10 * time.Millisecond

// NewFront takes connections on ln until ctx ends. many says whether a connection from
// an address is one of the many; it must not block.
func NewFront(ctx context.Context, ln net.Listener, l FrontLimits, many func(from netip.Addr) bool) *Front {
	f := &Front{limits: l, many: many, ln: ln, in: make(chan net.Conn), grown: make(chan struct{}), ready: make(chan struct{}, 1),
		out: make(chan net.Conn, 64), done: ctx.Done()}
	go f.accept()
	go f.run()
	return f
}

// accept hands new connections to the routine that owns the rest.
func (f *Front) accept() {
	defer close(f.in)
	few := max(1, int(float64(f.limits.Rate)*acceptPause.Seconds()))
	var from time.Time // since when they are counted
	count := 0
	for {
		if f.limits.Rate > 0 && count >= few {
			if rest := acceptPause - time.Since(from); rest > 0 {
				select {
				case <-time.After(rest):
				case <-f.done:
					return
				}
			}
			count = 0
		}
		c, err := f.ln.Accept()
		if count == 0 {
			from = time.Now()
		}
		count++
		switch {
		case err == nil:
			select {
			case f.in <- c:
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
	front   *Front
	waiting []*frontConn // of the many
	young   int          // of the many: in their first request
	ready   bool
	second  time.Time // in which early connections are counted
	early   int
}

// run admits connections until the front ends.
func (f *Front) run() {
	defer close(f.out)
	a := &admission{front: f}
	for {
		goesOn := true
		select {
		case <-f.done:
			a.closeWaiting()
			return
		case <-f.ready:
			a.ready = true
		case <-f.grown:
			goesOn = a.serveNext()
		case c, ok := <-f.in:
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

// serveNext serves the one that waits longest in the place of one that has grown. Like serve
// it returns false if the front has ended.
func (a *admission) serveNext() bool {
	if len(a.waiting) == 0 {
		a.young--
		return true
	}
	next := a.waiting[0]
	a.waiting[0] = nil
	a.waiting = a.waiting[1:]
	return a.serve(next)
}

// serve hands a connection to the server.
func (a *admission) serve(c *frontConn) bool {
	select {
	case a.front.out <- c:
		return true
	case <-a.front.done:
		c.Close()
		return false
	}
}

// admit serves a new connection, lets it wait or closes it.
func (a *admission) admit(c net.Conn, now time.Time) bool {
	f := a.front
	if !a.ready && now.Sub(a.second) >= time.Second {
		a.second, a.early = now, 0
	}
	a.early++
	many := a.ready && f.many(fromOf(c))
	wait := many && a.young >= f.limits.Young
	if a.tooMany(many, wait) {
		f.closed.Add(1)
		c.Close()
		return true
	}
	f.open.Add(1)
	fc := &frontConn{Conn: c, f: f, many: many}
	if wait {
		a.waiting = append(a.waiting, fc)
		return true
	}
	if many {
		a.young++
	}
	return a.serve(fc)
}

// tooMany says whether a new connection, one of the many or one that would wait, is to be
// closed at once.
func (a *admission) tooMany(many, wait bool) bool {
	l := a.front.limits
	open := l.Open
	if many {
		open = open * 9 / 10 // the rest is for all others
	}
	return l.Open > 0 && a.front.Open() >= open || !a.ready && a.early > l.Early || wait && len(a.waiting) >= l.Waiting
}

// Ready ends the time in which nothing can be answered yet and only a few connections a
// second are let through.
func (f *Front) Ready() {
	select {
	case f.ready <- struct{}{}:
	default:
	}
}

// Open is how many connections are open.
func (f *Front) Open() int { return int(f.open.Load()) }

// Closed is how many connections were closed at once so far.
func (f *Front) Closed() int64 { return f.closed.Load() }

func fromOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// Accept waits for the next connection. With Close and Addr it makes a Front a net.Listener.
func (f *Front) Accept() (net.Conn, error) {
	if c, ok := <-f.out; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// Close ends the listening.
func (f *Front) Close() error { return f.ln.Close() }

// Addr is where it listens.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// frontConn is a connection that was let through.
type frontConn struct {
	net.Conn
	f     *Front
	many  bool
	grown atomic.Bool
	ended atomic.Bool
}

func (c *frontConn) grow() {
	if c.many && !c.grown.Swap(true) {
		select {
		case c.f.grown <- struct{}{}:
		case <-c.f.done:
		}
	}
}

// Close ends a connection, and its youth.
func (c *frontConn) Close() error {
	if !c.ended.Swap(true) {
		c.f.open.Add(-1)
		c.grow()
	}
	return c.Conn.Close()
}

type connKey struct{}

// withConn is a server's ConnContext, so that Grown finds the connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Grown says that the request of ctx has been read and dealt with, though its answer
// may still wait: the next of the many can have its turn.
func Grown(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*frontConn); ok {
		c.grow()
	}
}
