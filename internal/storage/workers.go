package storage

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/transport"
)

// Workers is the client for direct calls to workers.
type Workers struct{ client *transport.Client }

// NewWorkers makes the client. Its calls are not rate-limited.
func NewWorkers() *Workers { return &Workers{transport.NewClient("", 0)} }

// Command sends orders to a worker and returns its report. executed is false if the worker
// refused the orders.
func (w *Workers) Command(ctx context.Context, addr string, orders protocol.Orders) (report *protocol.Report, executed bool, err error) {
	data, err := json.Marshal(orders)
	if err != nil {
		return nil, false, err
	}
	answer, err := w.client.Call(ctx, 2*time.Second, "POST", "http://"+addr+"/commands", data)
	if err != nil {
		return nil, false, err
	}
	if answer.Status != 200 && answer.Status != 409 {
		return nil, false, fmt.Errorf("worker: status %d", answer.Status)
	}
	report, err = protocol.ParseReport(answer.Body)
	return report, answer.Status == 200, err
}

// Inspect reads a worker's report.
func (w *Workers) Inspect(ctx context.Context, addr string) (*protocol.Report, error) {
	answer, err := w.client.Call(ctx, 2*time.Second, "GET", "http://"+addr+"/inspect", nil)
	if err != nil {
		return nil, err
	}
	if answer.Status != 200 {
		return nil, fmt.Errorf("worker: status %d", answer.Status)
	}
	return protocol.ParseReport(answer.Body)
}
