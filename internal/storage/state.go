// Package storage has the clients of the services that a controller depends on: the state
// service, with rate limiting, group commit and watches, the cloud, and the workers.
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
	// ErrRefused means that the request was not executed.
	ErrRefused = errors.New("state service refused the request")
	// ErrUnknown means that no answer came. The request may have been executed, or may
	// still be.
	ErrUnknown = errors.New("state service did not answer")
	// ErrMalformed means that the service rejects the request as malformed. A retry
	// can't succeed.
	ErrMalformed = errors.New("state service rejected the request as malformed")
	// ErrNoLease means that the lease has ended.
	ErrNoLease = errors.New("no such lease")
	// ErrCompacted means that the service no longer has the changes since the watch's
	// revision; the watcher must list the keys again.
	ErrCompacted = errors.New("revision too old")
)

// Cond is a condition of a transaction: the key was last changed at this revision (0: the
// key does not exist).
type Cond struct {
	Key      string `json:"path"`
	Revision uint64 `json:"stamp"`
}

// Write is one change of a transaction: a put, with or without a lease, or a deletion.
type Write struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"drop,omitempty"`
}

// Key returns the key that the write changes.
func (w *Write) Key() string {
	if w.Put != "" {
		return w.Put
	}
	return w.Delete
}

// Item is a key with its value and the revision of its last change. In the events of a watch
// an Item without Value is a deletion.
type Item struct {
	Key      string          `json:"path"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

// Entry is a small record with its key, as journal and segments store them.
type Entry struct {
	Key   string
	Value []byte
}

// Service is the interface of the state service. Its methods are documented at Store, which
// implements it.
type Service interface {
	Get(ctx context.Context, key string) (Item, error)
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	Txn(ctx context.Context, conds []Cond, writes []Write) (ok bool, revision uint64, failed []string, err error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Release(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, since uint64, timeout time.Duration) ([]Item, uint64, error)
}

// Store is the client of the state service. It keeps to this node's part of the service's
// request rate.
type Store struct {
	client *transport.Client
	// OnContact, if set, is called after each call that the service answered, with the time
	// at which the call was sent.
	OnContact func(sent time.Time)
}

// callTimeout limits one call. The service usually answers within 10 ms, occasionally
// within a few hundred.
const callTimeout = 1500 * time.Millisecond

// usableFraction is the fraction of the service's rates that is used. The rest allows for
// the difference between the clocks and for retries.
const usableFraction = 0.9

// NewStore makes a client that gives each of nodes nodes an equal part of the request rate.
// The rate of changes is limited separately, by a RateLimiter.
func NewStore(addr string, limits protocol.StateSettings, nodes int) *Store {
	return &Store{client: transport.NewClient(addr, max(1, usableFraction*limits.RPS/float64(nodes)))}
}

// call makes one request. The error is ErrRefused if the service did not execute it, and
// ErrUnknown if it may have.
func (s *Store) call(ctx context.Context, timeout time.Duration, method, path string, body any) (transport.Answer, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return transport.Answer{}, err
		}
	}
	sent := time.Now()
	answer, err := s.client.Call(ctx, timeout, method, path, data)
	if err != nil {
		return answer, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	switch answer.Status {
	case 429, 503:
		return answer, fmt.Errorf("%w: %d", ErrRefused, answer.Status)
	}
	if answer.Status >= 500 {
		return answer, fmt.Errorf("%w: %d", ErrUnknown, answer.Status)
	}
	if s.OnContact != nil {
		s.OnContact(sent)
	}
	return answer, nil
}

// decodeAnswer parses the body of an answer into out.
func decodeAnswer(answer transport.Answer, out any) error {
	if err := json.Unmarshal(answer.Body, out); err != nil {
		// A malformed answer proves nothing, so it is treated like a missing one.
		return fmt.Errorf("%w: malformed answer: %v", ErrUnknown, err)
	}
	return nil
}

// Get reads one key. If the key does not exist it returns an Item without Value whose
// Revision is that of the store.
func (s *Store) Get(ctx context.Context, key string) (Item, error) {
	answer, err := s.call(ctx, callTimeout, "GET", "/store/"+key, nil)
	if err != nil {
		return Item{}, err
	}
	if answer.Status == 404 {
		var missing struct {
			Epoch *uint64 `json:"epoch"`
		}
		if err := decodeAnswer(answer, &missing); err != nil {
			return Item{}, err
		}
		if missing.Epoch == nil {
			return Item{}, fmt.Errorf("%w: malformed answer", ErrUnknown)
		}
		return Item{Key: key, Revision: *missing.Epoch}, nil
	}
	if answer.Status != 200 {
		return Item{}, fmt.Errorf("%w: %d", ErrUnknown, answer.Status)
	}
	var it Item
	if err := decodeAnswer(answer, &it); err != nil {
		return it, err
	}
	if it.Key != key || it.Value == nil || it.Revision == 0 {
		return Item{}, fmt.Errorf("%w: malformed answer", ErrUnknown)
	}
	return it, nil
}

// List reads all keys with a prefix. The returned revision is that of the first page, so
// that a watch from it misses no change made between the pages.
func (s *Store) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	var all []Item
	var firstRevision uint64
	since := ""
	for {
		query := "/store?under=" + url.QueryEscape(prefix) + "&limit=500"
		if since != "" {
			query += "&since=" + url.QueryEscape(since)
		}
		answer, err := s.call(ctx, 5*time.Second, "GET", query, nil)
		if err != nil {
			return nil, 0, err
		}
		var page struct {
			Items   []Item  `json:"items"`
			HasNext bool    `json:"hasNext"`
			Epoch   *uint64 `json:"epoch"`
		}
		if err := decodeAnswer(answer, &page); err != nil {
			return nil, 0, err
		}
		if answer.Status != 200 || page.Epoch == nil {
			return nil, 0, fmt.Errorf("%w: %d", ErrUnknown, answer.Status)
		}
		if since == "" {
			firstRevision = *page.Epoch
		}
		all = append(all, page.Items...)
		if !page.HasNext || len(page.Items) == 0 {
			return all, firstRevision, nil
		}
		since = page.Items[len(page.Items)-1].Key
	}
}

// Txn runs a transaction. If a condition does not hold, nothing is written, ok is false and
// failed has the keys of such conditions.
func (s *Store) Txn(ctx context.Context, conds []Cond, writes []Write) (ok bool, revision uint64, failed []string, err error) {
	if conds == nil {
		conds = []Cond{}
	}
	answer, err := s.call(ctx, callTimeout, "POST", "/txn", struct {
		If     []Cond  `json:"if"`
		Writes []Write `json:"writes"`
	}{conds, writes})
	if err != nil {
		return false, 0, nil, err
	}
	var result struct {
		Epoch  *uint64  `json:"epoch"`
		Failed []string `json:"failed"`
	}
	switch answer.Status {
	case 200, 409:
		if err := decodeAnswer(answer, &result); err != nil {
			return false, 0, nil, err
		}
		if result.Epoch == nil {
			return false, 0, nil, fmt.Errorf("%w: malformed answer", ErrUnknown)
		}
		return answer.Status == 200, *result.Epoch, result.Failed, nil
	case 400:
		for _, w := range writes {
			if w.Lease != 0 {
				return false, 0, nil, ErrNoLease
			}
		}
		return false, 0, nil, fmt.Errorf("%w: %.200s", ErrMalformed, answer.Body)
	}
	return false, 0, nil, fmt.Errorf("%w: %d %.200s", ErrRefused, answer.Status, answer.Body)
}

// Grant creates a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	answer, err := s.call(ctx, callTimeout, "POST", "/leases", map[string]int64{"lifeMs": ttl.Milliseconds()})
	if err != nil {
		return 0, err
	}
	var granted struct {
		Lease uint64 `json:"permit"`
	}
	if err := decodeAnswer(answer, &granted); err != nil {
		return 0, err
	}
	if answer.Status != 200 || granted.Lease == 0 {
		return 0, fmt.Errorf("%w: %d", ErrUnknown, answer.Status)
	}
	return granted.Lease, nil
}

// Renew extends a lease. It returns ErrNoLease if the lease has ended.
func (s *Store) Renew(ctx context.Context, lease uint64) error {
	answer, err := s.call(ctx, callTimeout, "POST", "/leases/"+strconv.FormatUint(lease, 10)+"/extend", struct{}{})
	if err != nil {
		return err
	}
	if answer.Status == 404 {
		return ErrNoLease
	}
	if answer.Status != 200 {
		return fmt.Errorf("%w: %d", ErrUnknown, answer.Status)
	}
	return nil
}

// Release ends a lease at once. It is no error if the lease has ended already.
func (s *Store) Release(ctx context.Context, lease uint64) error {
	answer, err := s.call(ctx, callTimeout, "DELETE", "/leases/"+strconv.FormatUint(lease, 10), nil)
	if err == nil && answer.Status != 404 && answer.Status >= 300 {
		err = fmt.Errorf("%w: %d", ErrUnknown, answer.Status)
	}
	return err
}

// Watch waits up to timeout for changes of the keys with a prefix after the revision since.
// It returns them and the revision from which to watch next. A deletion is an Item without
// Value.
func (s *Store) Watch(ctx context.Context, prefix string, since uint64, timeout time.Duration) ([]Item, uint64, error) {
	query := fmt.Sprintf("/watch?under=%s&since=%d&holdMs=%d", url.QueryEscape(prefix), since, timeout.Milliseconds())
	answer, err := s.call(ctx, timeout+callTimeout, "GET", query, nil)
	if err != nil {
		return nil, since, err
	}
	if answer.Status == 410 {
		return nil, 0, ErrCompacted
	}
	if answer.Status != 200 {
		return nil, since, fmt.Errorf("%w: %d", ErrUnknown, answer.Status)
	}
	var result struct {
		Epoch  *uint64 `json:"epoch"`
		Events []struct {
			Put      string          `json:"put"`
			Drop     string          `json:"drop"`
			Value    json.RawMessage `json:"v"`
			Revision uint64          `json:"stamp"`
		} `json:"events"`
	}
	if err := decodeAnswer(answer, &result); err != nil {
		return nil, since, err
	}
	if result.Epoch == nil {
		return nil, since, fmt.Errorf("%w: malformed answer", ErrUnknown)
	}
	items := make([]Item, 0, len(result.Events))
	for _, e := range result.Events {
		it := Item{Key: e.Put, Value: e.Value, Revision: e.Revision}
		if e.Drop != "" {
			it = Item{Key: e.Drop, Revision: e.Revision}
		}
		items = append(items, it)
	}
	return items, *result.Epoch, nil
}
