// Package transport carries messages: HTTP servers and paced HTTP clients on
// TCP. It knows nothing of what the messages say.
package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// Serve answers HTTP on ln until ctx ends: one routine per connection.
func Serve(ctx context.Context, ln net.Listener, h http.Handler) error {
	first := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer MarkRequestHandled(r.Context())
		h.ServeHTTP(w, r)
	})
	srv := &http.Server{Handler: first, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second, MaxHeaderBytes: 16 << 10, ConnContext: withConn}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Answer is a response as the caller sees it.
type Answer struct {
	Status int
	Body   []byte
}

// Client calls one service at a fixed address, at a paced rate.
type Client struct {
	base    string
	http    *http.Client
	Limiter *rate.Limiter
	maxBody int64
}

// NewClient makes a client for addr that makes at most perSecond calls a
// second (0: unpaced).
func NewClient(addr string, perSecond float64) *Client {
	d := &net.Dialer{Timeout: 2 * time.Second}
	tr := &http.Transport{DialContext: d.DialContext, MaxIdleConns: 64, MaxIdleConnsPerHost: 8, IdleConnTimeout: 60 * time.Second, DisableCompression: true}
	c := &Client{http: &http.Client{Transport: tr}, maxBody: 64 << 20}
	if addr != "" {
		c.base = "http://" + addr
	}
	if perSecond > 0 {
		c.Limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	return c
}

// Call makes one request and waits at most timeout after its turn has come.
// path may be a full URL if the client has no address of its own.
func (c *Client) Call(ctx context.Context, timeout time.Duration, method, path string, body []byte) (Answer, error) {
	if c.Limiter != nil {
		if err := c.Limiter.Wait(ctx); err != nil {
			return Answer{}, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var rd io.Reader
	if body != nil {
		rd = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, rd)
	if err != nil {
		return Answer{}, err
	}
	// A lost answer must not be asked for twice behind the caller's back.
	req.GetBody = nil
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBody))
	if err != nil {
		return Answer{}, err
	}
	return Answer{resp.StatusCode, data}, nil
}
