package main

import (
	"strings"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/ledger"
)

// checkRows finds rows that contradict the machines' events: done too early, running long after the
// end, or stuck although no task was stalled. Correct rows give no violation.
func TestCheckRowsFindsFalseRows(t *testing.T) {
	at := func(seconds float64) time.Time { return time.Unix(1000, int64(seconds*1e9)) }
	job := &reportedJob{id: "job-1", tasks: 2}
	events := []machineEvent{{at(1).UnixNano(), "start", "job-1/0", "m"}, {at(3).UnixNano(), "done", "job-1/0", "m"}, {at(5).UnixNano(), "done", "job-1/1", "m"}}
	row := func(seconds float64, state string) observedRow {
		return observedRow{ledger.Row{Job: "job-1", State: state}, at(seconds), "n-0"}
	}
	for _, c := range []struct {
		rows []observedRow
		want string
	}{
		{[]observedRow{row(2, ledger.Running), row(6, ledger.Running), row(7, ledger.Unknown), row(9, ledger.Done)}, ""},
		{[]observedRow{row(4, ledger.Done)}, "says done"},
		{[]observedRow{row(30, ledger.Running)}, "25.0 s after it was done"},
		{[]observedRow{row(30, ledger.Waiting)}, "says waiting"},
		{[]observedRow{row(2, ledger.Stuck)}, "calls it stuck"},
	} {
		got := strings.Join(checkRows(job, c.rows, events, 12*time.Second), "; ")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%q, want %q", got, c.want)
		}
	}
}
