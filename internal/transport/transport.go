// Package transport carries messages over TCP: HTTP servers with admission control,
// rate-limited HTTP clients, and frames between controllers. It does not depend on the
// messages' content.
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

// Serve answers HTTP requests on ln until ctx ends, with one goroutine per connection.
func Serve(ctx context.Context, ln net.Listener, h http.Handler) error {
	markingHandler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer MarkRequestHandled(r.Context())
		h.ServeHTTP(w, r)
	})
	srv := &http.Server{Handler: markingHandler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second, MaxHeaderBytes: 16 << 10, ConnContext: withConn}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Answer is an HTTP response, read in whole.
type Answer struct {
	Status int
	Body   []byte
}

// Client calls one HTTP service, at a limited rate.
type Client struct {
	base        string
	http        *http.Client
	RateLimiter *rate.Limiter
	maxBody     int64
}

// NewClient makes a client that makes at most perSecond calls a second to addr (0: no limit).
// If addr is empty, each call gives a full URL.
func NewClient(addr string, perSecond float64) *Client {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	tr := &http.Transport{DialContext: dialer.DialContext, MaxIdleConns: 64, MaxIdleConnsPerHost: 8, IdleConnTimeout: 60 * time.Second, DisableCompression: true}
	c := &Client{http: &http.Client{Transport: tr}, maxBody: 64 << 20}
	if addr != "" {
		c.base = "http://" + addr
	}
	if perSecond > 0 {
		c.RateLimiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	return c
}

// Call makes one request. It first waits until the rate allows the call, and from then on at
// most timeout for the answer. path is a full URL if the client has no address.
func (c *Client) Call(ctx context.Context, timeout time.Duration, method, path string, body []byte) (Answer, error) {
	if c.RateLimiter != nil {
		if err := c.RateLimiter.Wait(ctx); err != nil {
			return Answer{}, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var bodyReader io.Reader
	if body != nil {
		bodyReader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bodyReader)
	if err != nil {
		return Answer{}, err
	}
	// net/http must not resend the request by itself when the answer is lost: the service
	// may have executed it.
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
