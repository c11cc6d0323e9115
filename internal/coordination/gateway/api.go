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

// API returns the HTTP interface of a member: the users' interface, which is the same as
// that of a site, and the operators' interface.
func (d *Daemon) API(collectors ...prometheus.Collector) http.Handler {
	router := httprouter.New()
	router.RedirectTrailingSlash, router.RedirectFixedPath = false, false
	reg := prometheus.NewRegistry()
	metrics := newMetrics(reg, d)
	reg.MustRegister(collectors...)
	router.POST("/api/jobs", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) { d.postJob(w, r, metrics) })
	router.GET("/api/jobs/:id", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		d.serveRequest(w, r, metrics, Request{Kind: Poll, ID: p.ByName("id")})
	})
	router.POST("/api/jobs/:id/cancel", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		io.Copy(io.Discard, io.LimitReader(r.Body, protocol.MaxBodyBytes))
		d.serveRequest(w, r, metrics, Request{Kind: Cancel, ID: p.ByName("id")})
	})
	router.GET("/ready", d.getReady)
	router.GET("/admin/gateway/status", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		if status, ok := d.Status(r); ok {
			writeJSON(w, http.StatusOK, 0, status)
		}
	})
	router.GET("/admin/gateway/jobs/:id", d.getJobView)
	router.PUT("/admin/gateway/drained", d.putDrained)
	router.Handler("GET", "/metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{DisableCompression: true, MaxRequestsInFlight: 2}))
	return router
}

// postJob validates a submission and passes it to the core.
func (d *Daemon) postJob(w http.ResponseWriter, r *http.Request, metrics *metrics) {
	data, err := io.ReadAll(io.LimitReader(r.Body, protocol.MaxBodyBytes+1))
	var spec *protocol.JobSpec
	if err == nil {
		spec, err = protocol.ParseJob(data)
	}
	var body []byte
	if err == nil {
		body, err = json.Marshal(spec)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, 0, errorBody{err.Error()})
		return
	}
	d.serveRequest(w, r, metrics, Request{Kind: Submit, ID: spec.ID, Spec: spec, Body: body, NowMS: uint64(time.Now().UnixMilli())})
}

// getReady answers 200 if the member can decide requests: it reaches a majority and can
// write its store.
func (d *Daemon) getReady(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if status, ok := d.Status(r); ok && status.Majority && status.Store == "ok" {
		writeJSON(w, http.StatusOK, 0, struct{}{})
		return
	}
	writeJSON(w, http.StatusServiceUnavailable, 1, errorBody{"no majority of members is heard, or the store can't be written"})
}

// getJobView answers with this member's record of a job.
func (d *Daemon) getJobView(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	type found struct {
		v  JobView
		ok bool
	}
	result, ok := runOnCore(d, r.Context(), func() found { v, ok := d.core.jobView(p.ByName("id")); return found{v, ok} })
	switch {
	case !ok:
	case !result.ok:
		writeJSON(w, http.StatusNotFound, 0, errorBody{"this member knows no such job"})
	default:
		writeJSON(w, http.StatusOK, 0, result.v)
	}
}

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Error string `json:"error"`
}

// writeJSON answers with a JSON body and, if retryS is not 0, a Retry-After header.
func writeJSON(w http.ResponseWriter, status, retryS int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte("{}")
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if retryS > 0 {
		header.Set("Retry-After", strconv.Itoa(retryS))
	}
	header.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

// answerTimeout is the longest time that a user waits for an answer. The core answers
// within userTimeout of receiving the request.
const answerTimeout = 4 * time.Second

// serveRequest passes a user request to the core and writes the answer.
func (d *Daemon) serveRequest(w http.ResponseWriter, r *http.Request, metrics *metrics, req Request) {
	if !protocol.ValidJobID(req.ID) {
		writeJSON(w, http.StatusNotFound, 0, errorBody{"no such job"})
		return
	}
	received := time.Now()
	answer, ok := d.request(r.Context(), req)
	if !ok {
		writeJSON(w, http.StatusServiceUnavailable, 1, errorBody{"overloaded, or ending"})
		return
	}
	kind := []string{"submit", "poll", "cancel"}[req.Kind]
	metrics.requests.WithLabelValues(kind, strconv.Itoa(answer.Code)).Inc()
	metrics.duration.WithLabelValues(kind).Observe(time.Since(received).Seconds())
	if answer.Reason != "" {
		writeJSON(w, answer.Code, answer.RetryS, errorBody{answer.Reason})
		return
	}
	writeJSON(w, answer.Code, answer.RetryS, answer.State)
}

// request passes a user request to the core and waits for the answer; false if there is
// none in time.
func (d *Daemon) request(ctx context.Context, req Request) (Answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answers := make(chan Answer, 1)
	d.enqueue(func() {
		d.lastToken++
		req.Token = d.lastToken
		d.pendingAnswers[req.Token] = answers
		d.applyEffects(d.core.HandleRequest(d.now(), req))
	})
	select {
	case answer := <-answers:
		return answer, true
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	return Answer{}, false
}

// Status returns the state of the gateway as this member knows it.
func (d *Daemon) Status(r *http.Request) (Status, bool) {
	return runOnCore(d, r.Context(), func() Status {
		status := d.core.status()
		status.Store = "ok"
		if d.storeErr != nil {
			status.Store = fmt.Sprintf("not written for %.0f s: %v", time.Since(d.storeFailingSince).Seconds(), d.storeErr)
		}
		return status
	})
}

// DrainChange is the request to drain a site or to return it to service.
type DrainChange struct {
	On *bool `json:"on"`
}

// putDrained drains the site of this member or returns it to service.
func (d *Daemon) putDrained(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var change DrainChange
	data, err := io.ReadAll(io.LimitReader(r.Body, 1024))
	if err == nil {
		err = json.Unmarshal(data, &change)
	}
	switch {
	case err != nil || change.On == nil:
		writeJSON(w, http.StatusBadRequest, 0, errorBody{`need {"on":true} or {"on":false}`})
		return
	case d.site == nil:
		writeJSON(w, http.StatusBadRequest, 0, errorBody{"this member is no site's: ask the site's own daemon"})
		return
	}
	if err := d.setDrained(r.Context(), *change.On); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, 2, errorBody{"not stored: " + err.Error()})
		return
	}
	if status, ok := d.Status(r); ok {
		writeJSON(w, http.StatusOK, 0, status)
	}
}

// LeaseHandler returns the HTTP interface for the site's controllers: the lease, and the
// lookup of jobs of the gateway. maxLease is the longest lease that a controller is given.
func (d *Daemon) LeaseHandler(maxLease time.Duration) http.Handler {
	router := httprouter.New()
	router.GET("/site/jobs/:id", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		// Reports whether a submission made directly at the site repeats a job of the gateway:
		// 404 if this member knows no such job. If it does, the status is read from a majority,
		// since no user may be told an older status than before; 409 if that fails.
		id := p.ByName("id")
		exists, ok := runOnCore(d, r.Context(), func() bool { reg := d.core.registers[id]; return reg != nil && reg.hasRecord })
		if ok && !exists {
			writeJSON(w, http.StatusNotFound, 0, errorBody{"no job of the gateway"})
			return
		}
		if answer, ok := d.request(r.Context(), Request{Kind: Poll, ID: id}); ok && answer.Code == http.StatusOK {
			writeJSON(w, http.StatusOK, 0, answer.State)
			return
		}
		writeJSON(w, http.StatusConflict, 1, errorBody{"a job of the gateway; how it is can't be told now"})
	})
	router.GET("/site/lease", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		lease, ok := d.SiteLease(r.Context(), maxLease)
		if !ok {
			writeJSON(w, http.StatusServiceUnavailable, 1, errorBody{"ending"})
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Write(wire.EncodeLease(&lease))
	})
	return router
}

// metrics are the member's Prometheus metrics. The labels are bounded: request kinds,
// status codes and member names.
type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// newMetrics creates and registers the metrics of a member.
func newMetrics(reg *prometheus.Registry, d *Daemon) *metrics {
	metrics := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dapplestage_gateway_requests_total", Help: "Users' requests by kind and status."}, []string{"kind", "status"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "dapplestage_gateway_request_seconds", Help: "Time to answer a user.",
			Buckets: []float64{.005, .01, .03, .1, .2, .5, 1, 2.5}}, []string{"kind"})}
	reg.MustRegister(metrics.requests, metrics.duration, &coreCollector{d})
	return metrics
}

// coreCollector collects metrics from the core's state when they are scraped.
type coreCollector struct{ d *Daemon }

// Metrics that are computed when they are scraped.
var (
	descOpenJobs      = prometheus.NewDesc("dapplestage_gateway_open_jobs", "Jobs without a final answer, by the site that holds them.", []string{"site"}, nil)
	descMemberSilence = prometheus.NewDesc("dapplestage_gateway_member_heard_seconds", "Since when a member was not heard.", []string{"member"}, nil)
	descHandoffs      = prometheus.NewDesc("dapplestage_gateway_handoffs_under_way", "Jobs being handed over.", nil, nil)
	descEvents        = prometheus.NewDesc("dapplestage_gateway_events_total", "What happened, by kind.", []string{"kind"}, nil)
	descStoreOK       = prometheus.NewDesc("dapplestage_gateway_store_ok", "1 if the member's store can be written.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c *coreCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descOpenJobs, descMemberSilence, descHandoffs, descEvents, descStoreOK, descWork, descRounds, descRoundLimit, descWaiting, descRoundTime, descStoreWaiting, descStoreWait} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *coreCollector) Collect(ch chan<- prometheus.Metric) {
	type view struct {
		status   Status
		workload workloadView
	}
	current, ok := runOnCore(c.d, c.d.ctx, func() view {
		status := c.d.core.status()
		if c.d.storeErr == nil {
			status.Store = "ok"
		}
		return view{status, c.d.core.workloadView()}
	})
	if !ok {
		return
	}
	status := current.status
	current.workload.collect(ch)
	for _, member := range status.Members {
		if member.Site {
			ch <- prometheus.MustNewConstMetric(descOpenJobs, prometheus.GaugeValue, float64(member.OwnedJobs), member.Name)
		}
		ch <- prometheus.MustNewConstMetric(descMemberSilence, prometheus.GaugeValue, member.SilentS, member.Name)
	}
	ch <- prometheus.MustNewConstMetric(descHandoffs, prometheus.GaugeValue, float64(status.Handoffs))
	store := 0.0
	if status.Store == "ok" {
		store = 1
	}
	ch <- prometheus.MustNewConstMetric(descStoreOK, prometheus.GaugeValue, store)
	counts := status.Counts
	for kind, value := range map[string]uint64{"accepted": counts.Accepted, "finished": counts.Finished, "cancelled": counts.Cancelled, "taken_from_lost_site": counts.Forced,
		"handed_over": counts.Moved, "ballot_refused": counts.Nacks, "lease_denied": counts.Denied, "turned_away": counts.Refused, "stale_claim": counts.Stale} {
		ch <- prometheus.MustNewConstMetric(descEvents, prometheus.CounterValue, float64(value), kind)
	}
}
