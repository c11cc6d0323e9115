package transport

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// maxFrame limits the size of a message between controllers.
const maxFrame = 64 << 10

// WriteFrame writes one message, preceded by its length.
func WriteFrame(w io.Writer, data []byte) error {
	buf := make([]byte, 4+len(data))
	binary.BigEndian.PutUint32(buf, uint32(len(data)))
	copy(buf[4:], data)
	_, err := w.Write(buf)
	return err
}

// ReadFrame reads one message that WriteFrame wrote.
func ReadFrame(r io.Reader) ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrame {
		return nil, errors.New("frame exceeds the maximum size")
	}
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	return data, err
}

// AcceptFrames accepts connections on ln until ctx ends, and serves each on a goroutine of its
// own. A frame for which answerRequest returns true is a request: its answer is sent back on
// the connection, which is then closed. Every other frame is passed to handle and
// acknowledged. A connection is closed if handle returns an error, or if no frame arrives for
// idleTimeout.
func AcceptFrames(ctx context.Context, ln net.Listener, idleTimeout time.Duration, handle func([]byte) error, answerRequest func([]byte) (answer []byte, isRequest bool)) error {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			var netErr net.Error
			if errors.As(err, &netErr) { // for example out of sockets
				time.Sleep(100 * time.Millisecond)
				continue
			}
			return err
		}
		go func() {
			defer c.Close()
			stopConn := context.AfterFunc(ctx, func() { c.Close() })
			defer stopConn()
			for {
				c.SetReadDeadline(time.Now().Add(idleTimeout))
				data, err := ReadFrame(c)
				if err != nil {
					return
				}
				if answer, isRequest := answerRequest(data); isRequest {
					c.SetWriteDeadline(time.Now().Add(idleTimeout))
					WriteFrame(c, answer)
					return
				}
				if handle(data) != nil {
					return
				}
				c.SetWriteDeadline(time.Now().Add(idleTimeout))
				if _, err := c.Write(ackMessage); err != nil {
					return
				}
			}
		}()
	}
}

// SendRequest sends a request to addr on a connection of its own and waits for the answer.
func SendRequest(ctx context.Context, addr string, timeout time.Duration, request []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if err := WriteFrame(c, request); err != nil {
		return nil, err
	}
	return ReadFrame(c)
}

// ackMessage acknowledges a message.
var ackMessage = []byte{1}

// closeUnacknowledged reads acknowledgements, and closes the connection if none arrives for
// ackTimeout. It then closes the channel and returns. What is written to a connection that the
// other side has given up may be lost without an error: after a stall of a minute a
// controller's hints reached nobody any more, though it still received those of the others.
func closeUnacknowledged(c net.Conn, ackTimeout time.Duration, closed chan<- struct{}) {
	defer close(closed)
	defer c.Close()
	buf := make([]byte, 64)
	for {
		c.SetReadDeadline(time.Now().Add(ackTimeout))
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

// ConnEvent is what a sender of frames learns about the other side from its connection.
type ConnEvent uint8

// Events of a connection.
const (
	ConnLost    ConnEvent = iota // an established connection has ended
	ConnRefused                  // the other host is reachable and refuses connections
)

// redialDelay limits how often a host that accepts connections and closes them is dialled.
const redialDelay = 20 * time.Millisecond

// SendFrames keeps a connection to addr until ctx ends, and sends what next returns every
// period. If the connection ends, or nothing is acknowledged on it for ackTimeout, it is
// replaced at once. onEvent is called when an established connection ends, and when the other
// host refuses one, which shows that this host is up and reachable.
func SendFrames(ctx context.Context, addr string, period, ackTimeout time.Duration, next func() []byte, onEvent func(ConnEvent)) {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	var c net.Conn
	var closed chan struct{} // closed when c has been closed
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for ctx.Err() == nil {
		if c == nil {
			if conn, err := dialer.DialContext(ctx, "tcp4", addr); err == nil {
				c, closed = conn, make(chan struct{})
				go closeUnacknowledged(conn, ackTimeout, closed)
			} else if errors.Is(err, syscall.ECONNREFUSED) {
				onEvent(ConnRefused)
			}
		}
		if c != nil {
			c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			if WriteFrame(c, next()) != nil {
				c.Close()
			}
		}
		select {
		case <-ctx.Done():
		case <-closed:
			// Dial again without waiting for the period: whether the host refuses the
			// connection or is silent shows if its process has ended or it is unreachable.
			c.Close()
			c, closed = nil, nil
			onEvent(ConnLost)
			select {
			case <-ctx.Done():
			case <-time.After(redialDelay):
			}
		case <-time.After(period):
		}
	}
}
