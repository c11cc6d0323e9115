package node

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/transport"
)

// API returns the HTTP handler for users, workers, operators and health checks.
func (n *Node) API() http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.POST("/api/jobs", n.postJob)
	r.GET("/api/jobs/:id", n.getJob)
	r.POST("/api/jobs/:id/cancel", n.postCancel)
	r.POST("/v1/report", n.postReport)
	r.GET("/ready", n.getReady)
	n.routeAdmin(r)
	n.routeTickets(r)
	n.routeExplanations(r)
	n.routeAccount(r)
	n.routeSite(r)
	return r
}

// serve has the actor answer a request.
func (n *Node) serve(w http.ResponseWriter, r *http.Request, handle func(reply chan<- answer)) {
	reply := make(chan answer, 1)
	n.post(func() { handle(reply) })
	n.await(w, r, reply)
}

// await writes the answer once it is available.
func (n *Node) await(w http.ResponseWriter, r *http.Request, reply <-chan answer) {
	select {
	case a := <-reply:
		writeAnswer(w, a)
	case <-r.Context().Done():
	case <-n.ctx.Done():
		writeAnswer(w, busyAnswer)
	}
}

// writeAnswer writes an answer with its body as JSON.
func writeAnswer(w http.ResponseWriter, a answer) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if a.retryAfterS > 0 {
		h.Set("Retry-After", strconv.Itoa(a.retryAfterS))
	}
	if a.body == nil {
		a.body = struct{}{}
	}
	data, err := json.Marshal(a.body)
	if err != nil {
		a.status, data = 500, []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(a.status)
	w.Write(data)
}

// errTooLong is the error for a request body that exceeds its bound.
var errTooLong = errors.New("body over 64 KiB")

// readBody reads the body of a request, up to protocol.MaxBodyBytes bytes.
func readBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, protocol.MaxBodyBytes+1))
	if err == nil && len(data) > protocol.MaxBodyBytes {
		err = errTooLong
	}
	return data, err
}

func (n *Node) postJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := readBody(r)
	if err != nil {
		writeAnswer(w, answer{status: 400, body: errorBody{err.Error()}})
		return
	}
	spec, err := protocol.ParseJob(data)
	if errors.Is(err, protocol.ErrEmbeddedTicket) {
		n.postEmbeddedTicket(w, r, data)
		return
	}
	if err != nil {
		writeAnswer(w, answer{status: 400, body: errorBody{err.Error()}})
		return
	}
	received := time.Now()
	n.serve(w, r, func(reply chan<- answer) { n.onSubmit(spec, time.Now(), reply) })
	observeSince(n.metrics.accept, received, time.Now())
}

func (n *Node) getJob(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id := p.ByName("id")
	if !protocol.ValidJobID(id) {
		writeAnswer(w, answer{status: 404, body: errorBody{"no such job"}})
		return
	}
	n.serve(w, r, func(reply chan<- answer) { n.onPoll(id, reply) })
}

func (n *Node) postCancel(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id := p.ByName("id")
	if !protocol.ValidJobID(id) {
		writeAnswer(w, answer{status: 404, body: errorBody{"no such job"}})
		return
	}
	io.Copy(io.Discard, io.LimitReader(r.Body, protocol.MaxBodyBytes))
	n.serve(w, r, func(reply chan<- answer) { n.onCancel(id, 5, reply) })
}

// maxReport bounds the size of a worker's report. A request may hold 64 KiB; a somewhat longer
// one does no harm, and one beyond this bound is truncated and so refused as malformed.
const maxReport = 4 * protocol.MaxBodyBytes

func (n *Node) postReport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxReport))
	var report *protocol.Report
	if err == nil {
		report, err = protocol.ParseReport(data)
	}
	if err != nil {
		n.metrics.guardRefusals.WithLabelValues("malformed_report").Inc()
		writeAnswer(w, answer{status: 400, body: errorBody{err.Error()}})
		return
	}
	reply, handled := make(chan answer, 1), make(chan struct{})
	n.post(func() {
		n.onReport(report, time.Now(), reply)
		close(handled)
	})
	select {
	case <-handled:
		transport.MarkRequestHandled(r.Context()) // its answer may be deferred; the next worker need not wait for that
	case <-n.ctx.Done():
	}
	n.await(w, r, reply)
}

func (n *Node) getReady(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	n.serve(w, r, func(reply chan<- answer) {
		if !n.ready(time.Now()) {
			reply <- answer{status: 503}
			return
		}
		reply <- answer{status: 200}
	})
}
