package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dapplestage.example/dapplestage/internal/protocol"
	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
)

// API is a member's interface for users, as a site's, and for operators.
func (d *Daemon) API(extra ...prometheus.Collector) http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	reg := prometheus.NewRegistry()
	m := newMetrics(reg, d)
	reg.MustRegister(extra...)
	r.POST("/api/jobs", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) { d.postJob(w, r, m) })
	r.GET("/api/jobs/:id", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		d.serveRequest(w, r, m, Request{Kind: Poll, ID: p.ByName("id")})
	})
	r.POST("/api/jobs/:id/cancel", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		io.Copy(io.Discard, io.LimitReader(r.Body, protocol.MaxBodyBytes))
		d.serveRequest(w, r, m, Request{Kind: Cancel, ID: p.ByName("id")})
	})
	r.GET("/ready", d.getReady)
	r.GET("/admin/gateway/status", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		if s, ok := d.Status(r); ok {
			writeJSON(w, http.StatusOK, 0, s)
		}
	})
	r.GET("/admin/gateway/jobs/:id", d.getJobView)
	r.PUT("/admin/gateway/drained", d.putDrained)
	r.Handler("GET", "/metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{DisableCompression: true, MaxRequestsInFlight: 2}))
	return r
}

func (d *Daemon) postJob(w http.ResponseWriter, r *http.Request, m *metrics) {
	data, err := io.ReadAll(io.LimitReader(r.Body, protocol.MaxBodyBytes+1))
	var s *protocol.JobSpec
	if err == nil {
		s, err = protocol.ParseJob(data)
	}
	var stored []byte
	if err == nil {
		stored, err = json.Marshal(s)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, 0, errorBody{err.Error()})
		return
	}
	d.serveRequest(w, r, m, Request{Kind: Submit, ID: s.ID, Spec: s, Body: stored, NowMS: uint64(time.Now().UnixMilli())})
}

func (d *Daemon) getReady(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if s, ok := d.Status(r); ok && s.Majority && s.Store == "ok" {
		writeJSON(w, http.StatusOK, 0, struct{}{})
		return
	}
	writeJSON(w, http.StatusServiceUnavailable, 1, errorBody{"no majority of members is heard, or the store can't be written"})
}

func (d *Daemon) getJobView(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	type found struct {
		v  JobView
		ok bool
	}
	f, ok := runOnCore(d, r.Context(), func() found { v, ok := d.core.jobView(p.ByName("id")); return found{v, ok} })
	switch {
	case !ok:
	case !f.ok:
		writeJSON(w, http.StatusNotFound, 0, errorBody{"this member knows no such job"})
	default:
		writeJSON(w, http.StatusOK, 0, f.v)
	}
}

type errorBody struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status, retryS int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if retryS > 0 {
		h.Set("Retry-After", strconv.Itoa(retryS))
	}
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

// answerTimeout is how long a user is kept waiting; the core answers within
// userPatience of when it sees the request.
const answerTimeout = 4 * time.Second

func (d *Daemon) serveRequest(w http.ResponseWriter, r *http.Request, m *metrics, q Request) {
	if !protocol.ValidJobID(q.ID) {
		writeJSON(w, http.StatusNotFound, 0, errorBody{"no such job"})
		return
	}
	came := time.Now()
	a, ok := d.request(r.Context(), q)
	if !ok {
		writeJSON(w, http.StatusServiceUnavailable, 1, errorBody{"overloaded, or ending"})
		return
	}
	kind := []string{"submit", "poll", "cancel"}[q.Kind]
	m.requests.WithLabelValues(kind, strconv.Itoa(a.Code)).Inc()
	m.duration.WithLabelValues(kind).Observe(time.Since(came).Seconds())
	if a.Reason != "" {
		writeJSON(w, a.Code, a.RetryS, errorBody{a.Reason})
		return
	}
	writeJSON(w, a.Code, a.RetryS, a.State)
}

// request asks the core for a user and waits for its answer.
func (d *Daemon) request(ctx context.Context, q Request) (Answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answers := make(chan Answer, 1)
	d.enqueue(func() {
		d.lastToken++
		q.Token = d.lastToken
		d.pendingAnswers[q.Token] = answers
		d.applyEffects(d.core.HandleRequest(d.now(), q))
	})
	select {
	case a := <-answers:
		return a, true
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	return Answer{}, false
}

// Status is what the member knows.
func (d *Daemon) Status(r *http.Request) (Status, bool) {
	return runOnCore(d, r.Context(), func() Status {
		s := d.core.status()
		s.Store = "ok"
		if d.storeErr != nil {
			s.Store = fmt.Sprintf("not written for %.0f s: %v", time.Since(d.storeFailingSince).Seconds(), d.storeErr)
		}
		return s
	})
}

// DrainChange asks for a site to be drained, or taken back.
type DrainChange struct {
	On *bool `json:"on"`
}

func (d *Daemon) putDrained(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var c DrainChange
	data, err := io.ReadAll(io.LimitReader(r.Body, 1024))
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	switch {
	case err != nil || c.On == nil:
		writeJSON(w, http.StatusBadRequest, 0, errorBody{`need {"on":true} or {"on":false}`})
		return
	case d.site == nil:
		writeJSON(w, http.StatusBadRequest, 0, errorBody{"this member is no site's: ask the site's own daemon"})
		return
	}
	if err := d.setDrained(r.Context(), *c.On); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, 2, errorBody{"not stored: " + err.Error()})
		return
	}
	if s, ok := d.Status(r); ok {
		writeJSON(w, http.StatusOK, 0, s)
	}
}

// LeaseHandler answers the site's controllers.
func (d *Daemon) LeaseHandler(most time.Duration) http.Handler {
	r := httprouter.New()
	r.GET("/site/jobs/:id", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		// Whether a submission straight at the site repeats one of the gateway: 404 if
		// this member knows of none. If it does, a majority is asked how the job is,
		// since nobody may be told less than before; 409 says that it can't be.
		id := p.ByName("id")
		known, ok := runOnCore(d, r.Context(), func() bool { reg := d.core.registers[id]; return reg != nil && reg.hasRecord })
		if ok && !known {
			writeJSON(w, http.StatusNotFound, 0, errorBody{"no job of the gateway"})
			return
		}
		if a, ok := d.request(r.Context(), Request{Kind: Poll, ID: id}); ok && a.Code == http.StatusOK {
			writeJSON(w, http.StatusOK, 0, a.State)
			return
		}
		writeJSON(w, http.StatusConflict, 1, errorBody{"a job of the gateway; how it is can't be told now"})
	})
	r.GET("/site/lease", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		l, ok := d.SiteLease(r.Context(), most)
		if !ok {
			writeJSON(w, http.StatusServiceUnavailable, 1, errorBody{"ending"})
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Write(wire.EncodeLease(&l))
	})
	return r
}

// metrics are the member's figures for Prometheus. Labels are bounded: kinds of
// requests, status codes and the members' names.
type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

func newMetrics(reg *prometheus.Registry, d *Daemon) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dapplestage_gateway_requests_total", Help: "Users' requests by kind and status."}, []string{"kind", "status"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "dapplestage_gateway_request_seconds", Help: "Time to answer a user.",
			Buckets: []float64{.005, .01, .03, .1, .2, .5, 1, 2.5}}, []string{"kind"})}
	reg.MustRegister(m.requests, m.duration, &coreCollector{d})
	return m
}

// coreCollector reads the core's figures when they are asked for.
type coreCollector struct{ d *Daemon }

var (
	descOpenJobs      = prometheus.NewDesc("dapplestage_gateway_open_jobs", "Jobs without a final answer, by the site that holds them.", []string{"site"}, nil)
	descMemberSilence = prometheus.NewDesc("dapplestage_gateway_member_heard_seconds", "Since when a member was not heard.", []string{"member"}, nil)
	descHandoffs      = prometheus.NewDesc("dapplestage_gateway_handoffs_under_way", "Jobs being handed over.", nil, nil)
	descEvents        = prometheus.NewDesc("dapplestage_gateway_events_total", "What happened, by kind.", []string{"kind"}, nil)
	descStoreOK       = prometheus.NewDesc("dapplestage_gateway_store_ok", "1 if the member's store can be written.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c *coreCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descOpenJobs, descMemberSilence, descHandoffs, descEvents, descStoreOK} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *coreCollector) Collect(ch chan<- prometheus.Metric) {
	s, ok := runOnCore(c.d, c.d.ctx, func() Status {
		s := c.d.core.status()
		if c.d.storeErr == nil {
			s.Store = "ok"
		}
		return s
	})
	if !ok {
		return
	}
	for _, m := range s.Members {
		if m.Site {
			ch <- prometheus.MustNewConstMetric(descOpenJobs, prometheus.GaugeValue, float64(m.OwnedJobs), m.Name)
		}
		ch <- prometheus.MustNewConstMetric(descMemberSilence, prometheus.GaugeValue, m.SilentS, m.Name)
	}
	ch <- prometheus.MustNewConstMetric(descHandoffs, prometheus.GaugeValue, float64(s.Handoffs))
	store := 0.0
	if s.Store == "ok" {
		store = 1
	}
	ch <- prometheus.MustNewConstMetric(descStoreOK, prometheus.GaugeValue, store)
	n := s.Counts
	for kind, v := range map[string]uint64{"accepted": n.Accepted, "finished": n.Finished, "cancelled": n.Cancelled, "taken_from_lost_site": n.Forced,
		"handed_over": n.Moved, "ballot_refused": n.Nacks, "lease_denied": n.Denied, "turned_away": n.Refused, "stale_claim": n.Stale} {
		ch <- prometheus.MustNewConstMetric(descEvents, prometheus.CounterValue, float64(v), kind)
	}
}
