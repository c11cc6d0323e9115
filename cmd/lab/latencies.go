package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the longest duration that a histogram of latencies records.
const maxLatency = 2 * time.Minute

// latencies is a histogram of durations in milliseconds.
type latencies struct{ histogram *hdrhistogram.Histogram }

// newLatencies returns an empty histogram.
func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, maxLatency.Milliseconds(), 3)}
}

// record records durations. A duration below a millisecond counts as one millisecond.
func (l latencies) record(durations ...time.Duration) {
	for _, duration := range durations {
		l.histogram.RecordValue(max(1, duration.Milliseconds()))
	}
}

// count returns the number of durations recorded.
func (l latencies) count() int64 { return l.histogram.TotalCount() }

// quantileMS returns the quantile at a percentage, in milliseconds.
func (l latencies) quantileMS(percent float64) float64 {
	return float64(l.histogram.ValueAtQuantile(percent))
}

// quantileSeconds returns the quantile at a percentage, in seconds.
func (l latencies) quantileSeconds(percent float64) float64 { return l.quantileMS(percent) / 1000 }

// maxSeconds returns the longest duration recorded, in seconds.
func (l latencies) maxSeconds() float64 { return float64(l.histogram.Max()) / 1000 }
