package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the node's Prometheus metrics. The number of label values is bounded: classes are
// those of the objectives, and "other".
type Metrics struct {
	Registry          *prometheus.Registry
	accept            prometheus.Histogram
	start             *prometheus.HistogramVec
	finish            *prometheus.HistogramVec
	stateCalls        *prometheus.CounterVec
	cloudCalls        *prometheus.CounterVec
	guardRefusals     *prometheus.CounterVec
	placed            prometheus.Counter
	actorLag          prometheus.Histogram
	backlog           prometheus.Gauge
	waiting           *prometheus.GaugeVec
	orders            *prometheus.CounterVec
	unheardMachines   *prometheus.GaugeVec
	orderRate         prometheus.Gauge
	takeover          *prometheus.HistogramVec
	changes           *prometheus.CounterVec
	entries           *prometheus.HistogramVec
	directStarts      *prometheus.CounterVec
	tokenRaises       prometheus.Counter
	misplacedTasks    prometheus.Counter
	besideRoom        prometheus.Gauge
	besideRoomLongest prometheus.Gauge
	classes           map[string]bool
}

// newMetrics creates and registers the metrics. classes are the values of the class label.
func newMetrics(classes map[string]bool) *Metrics {
	m := &Metrics{Registry: prometheus.NewRegistry(), classes: classes}
	long := []float64{1, 2, 5, 10, 20, 40, 80, 160, 320, 640, 1280}
	m.accept = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "dapplestage_accept_seconds",
		Help: "Time to answer a submission.", Buckets: []float64{.01, .03, .1, .2, .5, 1, 2, 5}})
	m.start = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "dapplestage_start_seconds",
		Help: "Time from submission until a task of the job was seen running.", Buckets: long}, []string{"class"})
	m.finish = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "dapplestage_done_seconds",
		Help: "Time from submission until the job was stored as done.", Buckets: long}, []string{"class"})
	m.stateCalls = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dapplestage_state_calls_total",
		Help: "Changes of the state service by outcome."}, []string{"outcome"})
	m.cloudCalls = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dapplestage_cloud_calls_total",
		Help: "Calls of the cloud by kind and outcome."}, []string{"call", "outcome"})
	m.guardRefusals = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dapplestage_guard_refusals_total",
		Help: "What was refused to keep a rule, by guard."}, []string{"guard"})
	m.placed = prometheus.NewCounter(prometheus.CounterOpts{Name: "dapplestage_placed_tasks_total", Help: "Tasks given a machine."})
	m.actorLag = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "dapplestage_lag_seconds",
		Help: "How late the node comes to what is due; late in most cases: too little processor time.", Buckets: []float64{.005, .02, .05, .1, .25, .5, 1, 2}})
	m.backlog = prometheus.NewGauge(prometheus.GaugeOpts{Name: "dapplestage_backlog",
		Help: "Changes and reads that wait for the state service."})
	m.waiting = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "dapplestage_waiting_tasks",
		Help: "Tasks that wait for a machine, of the shares held, by the cause that binds."}, []string{"cause"})
	m.orders = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dapplestage_orders_total",
		Help: "Orders under the budget of a start, by kind, given or held back; one that is asked for again counts again."}, []string{"order", "outcome"})
	m.unheardMachines = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "dapplestage_unheard_machines",
		Help: "Machines of a share held that have not spoken since it was taken."}, []string{"share"})
	m.orderRate = prometheus.NewGauge(prometheus.GaugeOpts{Name: "dapplestage_order_rate",
		Help: "Orders a second that the budget of a start allows now."})
	m.takeover = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "dapplestage_takeover_seconds",
		Help: "Time from when a share's holder was last heard of until this node had taken it, by cause.", Buckets: []float64{.1, .25, .5, 1, 2, 3, 4, 5, 10}}, []string{"cause"})
	m.changes = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dapplestage_changes_total",
		Help: "Changes of the state service that this node made, by what they were for; brought up to date every 20 s."}, []string{"for"})
	m.entries = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "dapplestage_entry_jobs",
		Help: "Jobs of which one stored entry told: of a share's log, or of this node's inbox.", Buckets: []float64{1, 2, 4, 8, 16, 32}}, []string{"ring"})
	m.directStarts = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dapplestage_direct_starts_total",
		Help: "Starts sent to workers directly, by the outcome of the call."}, []string{"outcome"})
	m.tokenRaises = prometheus.NewCounter(prometheus.CounterOpts{Name: "dapplestage_token_raises_total",
		Help: "Raises of a machine's token without a change, so that copies of earlier direct starts are refused."})
	m.misplacedTasks = prometheus.NewCounter(prometheus.CounterOpts{Name: "dapplestage_misplaced_tasks_total",
		Help: "Reports of tasks on a machine where they are not placed; they are stopped."})
	m.besideRoom = prometheus.NewGauge(prometheus.GaugeOpts{Name: "dapplestage_jobs_beside_room",
		Help: "Kinds of jobs of the shares held that have waited for over 30 s while a machine of the site has room and their team is under its limit; brought up to date every 20 s."})
	m.besideRoomLongest = prometheus.NewGauge(prometheus.GaugeOpts{Name: "dapplestage_beside_room_seconds",
		Help: "The longest time that one of them has waited."})
	m.Registry.MustRegister(m.besideRoom, m.besideRoomLongest, m.directStarts, m.tokenRaises, m.misplacedTasks, m.entries, m.changes, m.takeover, m.orders, m.unheardMachines, m.orderRate, m.waiting, m.actorLag, m.backlog, m.accept, m.start, m.finish, m.stateCalls, m.cloudCalls, m.guardRefusals, m.placed)
	return m
}

// classLabel returns the label for a job class.
func (m *Metrics) classLabel(class string) string {
	if m.classes[class] {
		return class
	}
	return "other"
}

// callOutcome returns the label for the result of a call.
func callOutcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

// observeSince observes the time from t until now, if t is known.
func observeSince(h prometheus.Observer, t, now time.Time) {
	if !t.IsZero() {
		h.Observe(max(0, now.Sub(t).Seconds()))
	}
}
