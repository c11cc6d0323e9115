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

// ErrNoCapacity means that the cloud has no such machine to give at present.
var ErrNoCapacity = errors.New("no capacity")

// Cloud calls the cloud within this node's part of its rate.
type Cloud struct{ client *transport.Client }

const cloudTimeout = 5 * time.Second

// NewCloud plans the rate for one of nodes nodes.
func NewCloud(addr string, limits protocol.CloudSettings, nodes int) *Cloud {
	return &Cloud{transport.NewClient(addr, 0.9*limits.RPS/float64(nodes))}
}

func (c *Cloud) call(ctx context.Context, method, path string, body, into any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	a, err := c.client.Call(ctx, cloudTimeout, method, path, data)
	if err != nil {
		return err
	}
	if a.Status == 503 {
		var e struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(a.Body, &e) == nil && e.Error == "no capacity" {
			return ErrNoCapacity
		}
	}
	if a.Status != 200 {
		return fmt.Errorf("cloud: status %d", a.Status)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(a.Body, into)
}

// Catalog reads the machine types.
func (c *Cloud) Catalog(ctx context.Context) ([]protocol.MachineType, error) {
	var cat protocol.Catalog
	if err := c.call(ctx, "GET", "/catalog", nil, &cat); err != nil {
		return nil, err
	}
	for _, t := range cat.Types {
		if t.Name == "" || t.CPUs < 0 || t.GPUs < 0 || t.MemoryGB < 0 || len(t.Zones) == 0 {
			return nil, errors.New("cloud: malformed catalogue")
		}
	}
	return cat.Types, nil
}

// Rent asks for machines.
func (c *Cloud) Rent(ctx context.Context, r protocol.RentRequest) ([]string, error) {
	var got protocol.MachineNames
	err := c.call(ctx, "POST", "/hosts", r, &got)
	return got.Machines, err
}

// Return gives machines back: when it returns nil they are gone, with
// everything on them.
func (c *Cloud) Return(ctx context.Context, names []string) error {
	return c.call(ctx, "POST", "/hosts/return", protocol.MachineNames{Machines: names}, nil)
}

// List reads the whole lagging list.
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
