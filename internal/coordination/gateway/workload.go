package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// What a member has to do, what it completes and what it gives up unfinished, for the
// metrics.

// workCount counts pieces of work by their end.
type workCount struct {
	completed uint64
	givenUp   uint64 // ended by a timeout; it may still take effect
}

// workload is what a member has done so far.
type workload struct {
	changes [2]workCount // by class
	reads   workCount
}

// Metrics of a member's workload.
var (
	descWork         = prometheus.NewDesc("dapplestage_gateway_work_total", "Changes of records and reads from a majority, by kind and by whether they were completed or given up.", []string{"kind", "result"}, nil)
	descRounds       = prometheus.NewDesc("dapplestage_gateway_changes_under_way", "Records that this member is changing now.", nil, nil)
	descRoundLimit   = prometheus.NewDesc("dapplestage_gateway_changes_under_way_limit", "Records that this member may change at a time; it falls while changes are slow.", nil, nil)
	descWaiting      = prometheus.NewDesc("dapplestage_gateway_changes_waiting", "Changes that are not begun yet, by kind.", []string{"kind"}, nil)
	descRoundTime    = prometheus.NewDesc("dapplestage_gateway_change_seconds", "How long changes have taken lately from their begin to a majority.", nil, nil)
	descStoreWaiting = prometheus.NewDesc("dapplestage_gateway_store_waiting_registers", "Registers that are changed and not stored yet.", nil, nil)
	descStoreWait    = prometheus.NewDesc("dapplestage_gateway_store_waiting_seconds", "For how long the oldest change has waited to be stored.", nil, nil)
)

// workloadView is what the metrics show of a member's workload.
type workloadView struct {
	changes          [2]workCount // by class
	reads            workCount
	changesInFlight  int
	changesLimit     int
	changesWaiting   [2]int // by class
	changeTime       time.Duration
	waitingRegisters int
	longestWait      time.Duration
}

// workloadView returns the present workload.
func (c *Core) workloadView() workloadView {
	l := c.limiter
	return workloadView{changes: c.workload.changes, reads: c.workload.reads, changesInFlight: l.running[userChange] + l.running[backgroundChange], changesLimit: int(l.limit),
		changesWaiting: [2]int{l.waitingRounds(userChange), l.waitingRounds(backgroundChange)}, changeTime: l.latency, waitingRegisters: len(c.storeQueue.registers), longestWait: c.storeQueue.longestWait(c.now)}
}

// collect sends the metrics of the workload.
func (v *workloadView) collect(ch chan<- prometheus.Metric) {
	for kind, count := range map[string]workCount{"user_change": v.changes[userChange], "background_change": v.changes[backgroundChange], "read": v.reads} {
		ch <- prometheus.MustNewConstMetric(descWork, prometheus.CounterValue, float64(count.completed), kind, "completed")
		ch <- prometheus.MustNewConstMetric(descWork, prometheus.CounterValue, float64(count.givenUp), kind, "given_up")
	}
	ch <- prometheus.MustNewConstMetric(descRounds, prometheus.GaugeValue, float64(v.changesInFlight))
	ch <- prometheus.MustNewConstMetric(descRoundLimit, prometheus.GaugeValue, float64(v.changesLimit))
	ch <- prometheus.MustNewConstMetric(descWaiting, prometheus.GaugeValue, float64(v.changesWaiting[userChange]), "user_change")
	ch <- prometheus.MustNewConstMetric(descWaiting, prometheus.GaugeValue, float64(v.changesWaiting[backgroundChange]), "background_change")
	ch <- prometheus.MustNewConstMetric(descRoundTime, prometheus.GaugeValue, v.changeTime.Seconds())
	ch <- prometheus.MustNewConstMetric(descStoreWaiting, prometheus.GaugeValue, float64(v.waitingRegisters))
	ch <- prometheus.MustNewConstMetric(descStoreWait, prometheus.GaugeValue, v.longestWait.Seconds())
}
