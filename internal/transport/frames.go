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

// maxFrame bounds a message between controllers.
const maxFrame = 64 << 10

// WriteFrame sends one message with its length before it.
func WriteFrame(w io.Writer, data []byte) error {
	buf := make([]byte, 4+len(data))
	binary.BigEndian.PutUint32(buf, uint32(len(data)))
	copy(buf[4:], data)
	_, err := w.Write(buf)
	return err
}

// ReadFrame receives one message.
func ReadFrame(r io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxFrame {
		return nil, errors.New("frame too long")
	}
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	return data, err
}

// AcceptFrames takes connections on ln until ctx ends, one routine each, and
// hands over what comes. A connection that take returns an error for, or that
// is quiet for longer than quiet, is closed. A frame that ask answers is a question:
// its answer goes back on the connection, which is then closed.
func AcceptFrames(ctx context.Context, ln net.Listener, quiet time.Duration, take func([]byte) error, ask func([]byte) (answer []byte, is bool)) error {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) { // out of sockets, say
				time.Sleep(100 * time.Millisecond)
				continue
			}
			return err
		}
		go func() {
			defer c.Close()
			done := context.AfterFunc(ctx, func() { c.Close() })
			defer done()
			for {
				c.SetReadDeadline(time.Now().Add(quiet))
				data, err := ReadFrame(c)
				if err != nil {
					return
				}
				if answer, is := ask(data); is {
					c.SetWriteDeadline(time.Now().Add(quiet))
					WriteFrame(c, answer)
					return
				}
				if take(data) != nil {
					return
				}
				c.SetWriteDeadline(time.Now().Add(quiet))
				if _, err := c.Write(ackMessage); err != nil {
					return
				}
			}
		}()
	}
}

// SendRequest sends a question to addr and waits for its answer.
func SendRequest(ctx context.Context, addr string, timeout time.Duration, question []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if err := WriteFrame(c, question); err != nil {
		return nil, err
	}
	return ReadFrame(c)
}

// ackMessage confirms a message.
var ackMessage = []byte{1}

// closeUnacknowledged closes a connection on which nothing is confirmed for so long, and
// ends with it. What is written to a connection that the other side has given up
// may be lost without an error: a controller that had stood still for a minute
// told nobody anything again, though others told it how they were.
func closeUnacknowledged(c net.Conn, quiet time.Duration, ended chan<- struct{}) {
	defer close(ended)
	defer c.Close()
	buf := make([]byte, 64)
	for {
		c.SetReadDeadline(time.Now().Add(quiet))
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

// ConnEvent is what a sender of frames notices of the other side.
type ConnEvent uint8

const (
	ConnLost    ConnEvent = iota // a connection that was there has ended
	ConnRefused                  // its host refuses connections
)

// redialDelay keeps a side that accepts and closes from being called all the time.
const redialDelay = 20 * time.Millisecond

// SendFrames keeps a connection to addr until ctx ends and sends what make
// returns every period. A connection on which nothing is confirmed for longer than
// quiet, or that has ended, is made anew at once. told hears when a connection that was
// there has ended, and when the other host refuses one: then it is there and can be
// reached.
func SendFrames(ctx context.Context, addr string, period, quiet time.Duration, next func() []byte, told func(ConnEvent)) {
	d := &net.Dialer{Timeout: 2 * time.Second}
	var c net.Conn
	var ended chan struct{} // closed when c has
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for ctx.Err() == nil {
		if c == nil {
			if conn, err := d.DialContext(ctx, "tcp4", addr); err == nil {
				c, ended = conn, make(chan struct{})
				go closeUnacknowledged(conn, quiet, ended)
			} else if errors.Is(err, syscall.ECONNREFUSED) {
				told(ConnRefused)
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
		case <-ended:
			// At once: whether its host refuses or is silent tells much.
			c.Close()
			c, ended = nil, nil
			told(ConnLost)
			select {
			case <-ctx.Done():
			case <-time.After(redialDelay):
			}
		case <-time.After(period):
		}
	}
}
