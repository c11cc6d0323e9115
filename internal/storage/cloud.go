package storage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/transport"
)

// ErrNoCapacity means that the cloud has no machine of the requested type available now.
var ErrNoCapacity = errors.New("no capacity")

// Cloud is the client of the cloud. It keeps to this node's part of the cloud's request rate.
type Cloud struct{ client *transport.Client }

const cloudTimeout = 5 * time.Second

// NewCloud makes a client that gives each of nodes nodes an equal part of nine tenths of the
// cloud's request rate.
func NewCloud(addr string, limits protocol.CloudSettings, nodes int) *Cloud {
	return &Cloud{transport.NewClient(addr, 0.9*limits.RPS/float64(nodes))}
}

// call makes one request and parses the answer into out, if that is not nil.
func (c *Cloud) call(ctx context.Context, method, path string, body, out any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	answer, err := c.client.Call(ctx, cloudTimeout, method, path, data)
	if err != nil {
		return err
	}
	if answer.Status == 503 {
		var failure struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(answer.Body, &failure) == nil && failure.Error == "no capacity" {
			return ErrNoCapacity
		}
	}
	if answer.Status != 200 {
		return fmt.Errorf("cloud: status %d", answer.Status)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(answer.Body, out)
}

// Catalog reads the machine types that the cloud offers.
func (c *Cloud) Catalog(ctx context.Context) ([]protocol.MachineType, error) {
	var catalog protocol.Catalog
	if err := c.call(ctx, "GET", "/catalog", nil, &catalog); err != nil {
		return nil, err
	}
	for _, t := range catalog.Types {
		if t.Name == "" || t.CPUs < 0 || t.GPUs < 0 || t.MemoryGB < 0 || len(t.Zones) == 0 {
			return nil, errors.New("cloud: malformed catalogue")
		}
	}
	return catalog.Types, nil
}

// Rent requests machines and returns the names of those rented.
func (c *Cloud) Rent(ctx context.Context, r protocol.RentRequest) ([]string, error) {
	var rented protocol.MachineNames
	err := c.call(ctx, "POST", "/hosts", r, &rented)
	return rented.Machines, err
}

// Return returns machines to the cloud. If the error is nil they have ended, with everything
// that ran on them.
func (c *Cloud) Return(ctx context.Context, names []string) error {
	return c.call(ctx, "POST", "/hosts/return", protocol.MachineNames{Machines: names}, nil)
}

// List reads the cloud's list of machines, all pages. The list lags behind rentals and
// returns.
func (c *Cloud) List(ctx context.Context) ([]protocol.ListedMachine, error) {
	var all []protocol.ListedMachine
	since := ""
	for {
		var page protocol.MachineList
		if err := c.call(ctx, "GET", "/hosts?since="+url.QueryEscape(since)+"&limit=500", nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		since = page.Machines[len(page.Machines)-1].ID
	}
}
