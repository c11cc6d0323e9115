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

// API is the HTTP interface for users, workers and health checks.
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

// serve lets the actor answer a request.
func (n *Node) serve(w http.ResponseWriter, r *http.Request, f func(reply chan<- answer)) {
	reply := make(chan answer, 1)
	n.post(func() { f(reply) })
	n.await(w, r, reply)
}

// await writes the answer when it comes.
func (n *Node) await(w http.ResponseWriter, r *http.Request, reply <-chan answer) {
	select {
	case a := <-reply:
		writeAnswer(w, a)
	case <-r.Context().Done():
	case <-n.ctx.Done():
		writeAnswer(w, busyAnswer)
	}
}

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

var errTooLong = errors.New("body over 64 KiB")

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
	s, err := protocol.ParseJob(data)
	if errors.Is(err, protocol.ErrEmbeddedTicket) {
		n.postEmbeddedTicket(w, r, data)
		return
	}
	if err != nil {
		writeAnswer(w, answer{status: 400, body: errorBody{err.Error()}})
		return
	}
	came := time.Now()
	n.serve(w, r, func(reply chan<- answer) { n.onSubmit(s, time.Now(), reply) })
	observeSince(n.metrics.accept, came, time.Now())
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

// maxReport bounds a worker's report: a request holds 64 KiB; a little more
// does no harm, and a longer one is cut and so refused as malformed.
const maxReport = 4 * protocol.MaxBodyBytes

func (n *Node) postReport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxReport))
	var rep *protocol.Report
	if err == nil {
		rep, err = protocol.ParseReport(data)
	}
	if err != nil {
		n.metrics.guardRefusals.WithLabelValues("malformed_report").Inc()
		writeAnswer(w, answer{status: 400, body: errorBody{err.Error()}})
		return
	}
	reply, dealt := make(chan answer, 1), make(chan struct{})
	n.post(func() {
		n.onReport(rep, time.Now(), reply)
		close(dealt)
	})
	select {
	case <-dealt:
		transport.MarkRequestHandled(r.Context()) // its answer may wait, the next worker need not
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
