package storage

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/transport"
)

// Workers calls workers directly.
type Workers struct{ client *transport.Client }

// NewWorkers makes the client.
func NewWorkers() *Workers { return &Workers{transport.NewClient("", 0)} }

// Command sends orders; executed is false if the worker refused them.
func (w *Workers) Command(ctx context.Context, addr string, o protocol.Orders) (r *protocol.Report, executed bool, err error) {
	data, err := json.Marshal(o)
	if err != nil {
		return nil, false, err
	}
	a, err := w.client.Call(ctx, 2*time.Second, "POST", "http://"+addr+"/commands", data)
	if err != nil {
		return nil, false, err
	}
	if a.Status != 200 && a.Status != 409 {
		return nil, false, fmt.Errorf("worker: status %d", a.Status)
	}
	r, err = protocol.ParseReport(a.Body)
	return r, a.Status == 200, err
}

// Inspect asks a worker for its report.
func (w *Workers) Inspect(ctx context.Context, addr string) (*protocol.Report, error) {
	a, err := w.client.Call(ctx, 2*time.Second, "GET", "http://"+addr+"/inspect", nil)
	if err != nil {
		return nil, err
	}
	if a.Status != 200 {
		return nil, fmt.Errorf("worker: status %d", a.Status)
	}
	return protocol.ParseReport(a.Body)
}
