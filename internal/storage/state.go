// Package storage keeps the books: the client of the state service with its
// pacing, group commit and watch, and the client of the cloud.
package storage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/transport"
)

// Errors of calls to the state service.
var (
	// ErrRefused: the request was not executed.
	ErrRefused = errors.New("state service refused")
	// ErrUnknown: no answer came; the request may be executed, even later.
	ErrUnknown = errors.New("state service did not answer")
	// ErrMalformed: the service does not understand the request; it never will.
	ErrMalformed = errors.New("state service calls the request malformed")
	// ErrNoLease: the lease has ended.
	ErrNoLease = errors.New("no such lease")
	// ErrCompacted: the watch must start anew.
	ErrCompacted = errors.New("revision too old")
)

// Cond is a condition of a transaction: the key has this stamp (0: no key).
type Cond struct {
	Key      string `json:"path"`
	Revision uint64 `json:"stamp"`
}

// Write is a put, with or without a lease, or a deletion.
type Write struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"drop,omitempty"`
}

// Key is the key that the write changes.
func (w *Write) Key() string {
	if w.Put != "" {
		return w.Put
	}
	return w.Delete
}

// Item is a stored value, or, in an event, a deletion (no Value).
type Item struct {
	Key      string          `json:"path"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

// Entry is one small record by its key, as journals of records hold them.
type Entry struct {
	Key   string
	Value []byte
}

// Service is the state service as the rest of the program sees it.
type Service interface {
	Get(ctx context.Context, key string) (Item, error)
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	Txn(ctx context.Context, conds []Cond, writes []Write) (ok bool, epoch uint64, failed []string, err error)
	Grant(ctx context.Context, life time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Release(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, since uint64, hold time.Duration) ([]Item, uint64, error)
}

// Store calls the state service within this node's part of its rates.
type Store struct {
	client *transport.Client
	// OnContact, if set, is told when a call that the service answered was sent.
	OnContact func(sent time.Time)
}

// callTimeout is how long one call may take; the service usually answers in
// 10 ms, now and then in a few hundred.
const callTimeout = 1500 * time.Millisecond

// usableFraction is the part of the service's rates that is planned for: its clock and
// ours differ, and retries come on top.
const usableFraction = 0.9

// NewStore plans the rate of requests for one of nodes nodes. Changes are paced
// by a Pace.
func NewStore(addr string, limits protocol.StateSettings, nodes int) *Store {
	return &Store{client: transport.NewClient(addr, max(1, usableFraction*limits.RPS/float64(nodes)))}
}

func (s *Store) call(ctx context.Context, timeout time.Duration, method, path string, body any) (transport.Answer, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return transport.Answer{}, err
		}
	}
	sent := time.Now()
	a, err := s.client.Call(ctx, timeout, method, path, data)
	if err != nil {
		return a, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	switch a.Status {
	case 429, 503:
		return a, fmt.Errorf("%w: %d", ErrRefused, a.Status)
	}
	if a.Status >= 500 {
		return a, fmt.Errorf("%w: %d", ErrUnknown, a.Status)
	}
	if s.OnContact != nil {
		s.OnContact(sent)
	}
	return a, nil
}

func decodeAnswer(a transport.Answer, v any) error {
	if err := json.Unmarshal(a.Body, v); err != nil {
		// A malformed answer counts as no answer.
		return fmt.Errorf("%w: malformed answer: %v", ErrUnknown, err)
	}
	return nil
}

// Get reads one key. A missing key is an Item with the service's revision and
// no Value.
func (s *Store) Get(ctx context.Context, key string) (Item, error) {
	a, err := s.call(ctx, callTimeout, "GET", "/store/"+key, nil)
	if err != nil {
		return Item{}, err
	}
	if a.Status == 404 {
		var miss struct {
			Epoch *uint64 `json:"epoch"`
		}
		if err := decodeAnswer(a, &miss); err != nil {
			return Item{}, err
		}
		if miss.Epoch == nil {
			return Item{}, fmt.Errorf("%w: malformed answer", ErrUnknown)
		}
		return Item{Key: key, Revision: *miss.Epoch}, nil
	}
	if a.Status != 200 {
		return Item{}, fmt.Errorf("%w: %d", ErrUnknown, a.Status)
	}
	var it Item
	if err := decodeAnswer(a, &it); err != nil {
		return it, err
	}
	if it.Key != key || it.Value == nil || it.Revision == 0 {
		return Item{}, fmt.Errorf("%w: malformed answer", ErrUnknown)
	}
	return it, nil
}

// List reads all keys with a prefix. The revision is the first page's: a watch
// from there misses nothing.
func (s *Store) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	var all []Item
	var first uint64
	since := ""
	for {
		q := "/store?under=" + url.QueryEscape(prefix) + "&limit=500"
		if since != "" {
			q += "&since=" + url.QueryEscape(since)
		}
		a, err := s.call(ctx, 5*time.Second, "GET", q, nil)
		if err != nil {
			return nil, 0, err
		}
		var page struct {
			Items   []Item  `json:"items"`
			HasNext bool    `json:"hasNext"`
			Epoch   *uint64 `json:"epoch"`
		}
		if err := decodeAnswer(a, &page); err != nil {
			return nil, 0, err
		}
		if a.Status != 200 || page.Epoch == nil {
			return nil, 0, fmt.Errorf("%w: %d", ErrUnknown, a.Status)
		}
		if since == "" {
			first = *page.Epoch
		}
		all = append(all, page.Items...)
		if !page.HasNext || len(page.Items) == 0 {
			return all, first, nil
		}
		since = page.Items[len(page.Items)-1].Key
	}
}

// Txn runs a transaction. ok is false, with the failed keys, if a condition
// did not hold.
func (s *Store) Txn(ctx context.Context, conds []Cond, writes []Write) (ok bool, epoch uint64, failed []string, err error) {
	if conds == nil {
		conds = []Cond{}
	}
	a, err := s.call(ctx, callTimeout, "POST", "/txn", struct {
		If     []Cond  `json:"if"`
		Writes []Write `json:"writes"`
	}{conds, writes})
	if err != nil {
		return false, 0, nil, err
	}
	var res struct {
		Epoch  *uint64  `json:"epoch"`
		Failed []string `json:"failed"`
	}
	switch a.Status {
	case 200, 409:
		if err := decodeAnswer(a, &res); err != nil {
			return false, 0, nil, err
		}
		if res.Epoch == nil {
			return false, 0, nil, fmt.Errorf("%w: malformed answer", ErrUnknown)
		}
		return a.Status == 200, *res.Epoch, res.Failed, nil
	case 400:
		for _, w := range writes {
			if w.Lease != 0 {
				return false, 0, nil, ErrNoLease
			}
		}
		return false, 0, nil, fmt.Errorf("%w: %.200s", ErrMalformed, a.Body)
	}
	return false, 0, nil, fmt.Errorf("%w: %d %.200s", ErrRefused, a.Status, a.Body)
}

// Grant opens a lease.
func (s *Store) Grant(ctx context.Context, life time.Duration) (uint64, error) {
	a, err := s.call(ctx, callTimeout, "POST", "/leases", map[string]int64{"lifeMs": life.Milliseconds()})
	if err != nil {
		return 0, err
	}
	var l struct {
		Lease uint64 `json:"permit"`
	}
	if err := decodeAnswer(a, &l); err != nil {
		return 0, err
	}
	if a.Status != 200 || l.Lease == 0 {
		return 0, fmt.Errorf("%w: %d", ErrUnknown, a.Status)
	}
	return l.Lease, nil
}

// Renew extends a lease; ErrNoLease says that it has ended.
func (s *Store) Renew(ctx context.Context, lease uint64) error {
	a, err := s.call(ctx, callTimeout, "POST", "/leases/"+strconv.FormatUint(lease, 10)+"/extend", struct{}{})
	if err != nil {
		return err
	}
	if a.Status == 404 {
		return ErrNoLease
	}
	if a.Status != 200 {
		return fmt.Errorf("%w: %d", ErrUnknown, a.Status)
	}
	return nil
}

// Release ends a lease at once; one that has ended already is no error.
func (s *Store) Release(ctx context.Context, lease uint64) error {
	a, err := s.call(ctx, callTimeout, "DELETE", "/leases/"+strconv.FormatUint(lease, 10), nil)
	if err == nil && a.Status != 404 && a.Status >= 300 {
		err = fmt.Errorf("%w: %d", ErrUnknown, a.Status)
	}
	return err
}

// Watch waits for changes under prefix after a revision. A deletion is an
// Item without Value.
func (s *Store) Watch(ctx context.Context, prefix string, since uint64, hold time.Duration) ([]Item, uint64, error) {
	q := fmt.Sprintf("/watch?under=%s&since=%d&holdMs=%d", url.QueryEscape(prefix), since, hold.Milliseconds())
	a, err := s.call(ctx, hold+callTimeout, "GET", q, nil)
	if err != nil {
		return nil, since, err
	}
	if a.Status == 410 {
		return nil, 0, ErrCompacted
	}
	if a.Status != 200 {
		return nil, since, fmt.Errorf("%w: %d", ErrUnknown, a.Status)
	}
	var res struct {
		Epoch  *uint64 `json:"epoch"`
		Events []struct {
			Put   string          `json:"put"`
			Drop  string          `json:"drop"`
			Value json.RawMessage `json:"v"`
			Stamp uint64          `json:"stamp"`
		} `json:"events"`
	}
	if err := decodeAnswer(a, &res); err != nil {
		return nil, since, err
	}
	if res.Epoch == nil {
		return nil, since, fmt.Errorf("%w: malformed answer", ErrUnknown)
	}
	items := make([]Item, 0, len(res.Events))
	for _, e := range res.Events {
		it := Item{Key: e.Put, Value: e.Value, Revision: e.Stamp}
		if e.Drop != "" {
			it = Item{Key: e.Drop, Revision: e.Stamp}
		}
		items = append(items, it)
	}
	return items, *res.Epoch, nil
}
