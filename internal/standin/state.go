package standin

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"dapplestage.example/dapplestage/internal/storage"
)

// State is a small consistent key-value store with leases and watches, in memory. It
// implements storage.Service.
type State struct {
	mu           sync.Mutex
	revision     uint64
	items        map[string]storage.Item
	leaseByKey   map[string]uint64 // lease ID of each key that is bound to a lease
	leases       map[uint64]*lease
	lastLeaseID  uint64
	history      []storage.Item // all changes, oldest first; a deletion has no Value
	changeCount  int            // puts and deletions so far
	changeSignal chan struct{}  // closed at the next change
}

// lease is a lease of the store. Keys bound to it are deleted when it expires.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewState returns an empty store.
func NewState() *State {
	return &State{items: map[string]storage.Item{}, leaseByKey: map[string]uint64{}, leases: map[uint64]*lease{}, changeSignal: make(chan struct{})}
}

// expireLeases removes expired leases and deletes the keys bound to them. Callers hold mu.
func (s *State) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			delete(s.leases, id)
			var deletions []storage.Write
			for k, leaseID := range s.leaseByKey {
				if leaseID == id {
					deletions = append(deletions, storage.Write{Delete: k})
				}
			}
			if len(deletions) > 0 {
				s.applyWrites(deletions)
			}
		}
	}
}

// applyWrites applies writes in one revision and wakes watches. Callers hold mu.
func (s *State) applyWrites(writes []storage.Write) {
	s.revision++
	s.changeCount += len(writes)
	for _, w := range writes {
		if w.Put != "" {
			item := storage.Item{Key: w.Put, Value: w.Value, Revision: s.revision}
			s.items[w.Put] = item
			delete(s.leaseByKey, w.Put)
			if w.Lease != 0 {
				s.leaseByKey[w.Put] = w.Lease
			}
			s.history = append(s.history, item)
		} else if _, ok := s.items[w.Delete]; ok {
			delete(s.items, w.Delete)
			delete(s.leaseByKey, w.Delete)
			s.history = append(s.history, storage.Item{Key: w.Delete, Revision: s.revision})
		}
	}
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// Get reads a key. A missing key is returned without a Value and with the store's revision.
func (s *State) Get(_ context.Context, key string) (storage.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if item, ok := s.items[key]; ok {
		return item, nil
	}
	return storage.Item{Key: key, Revision: s.revision}, nil
}

// List reads all keys with a prefix, and returns the store's revision.
func (s *State) List(_ context.Context, prefix string) ([]storage.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var out []storage.Item
	for k, item := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, item)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.revision, nil
}

// Txn applies all writes if each condition's key has the expected revision, and no writes
// otherwise. It returns whether it applied them, the store's revision and the keys whose
// conditions failed, or storage.ErrNoLease if a write names a lease that does not exist.
func (s *State) Txn(_ context.Context, conds []storage.Cond, writes []storage.Write) (bool, uint64, []string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	for _, w := range writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return false, 0, nil, storage.ErrNoLease
		}
	}
	var failed []string
	for _, c := range conds {
		if s.items[c.Key].Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return false, s.revision, failed, nil
	}
	if len(writes) > 0 {
		s.applyWrites(writes)
	}
	return true, s.revision, nil, nil
}

// Grant creates a lease and returns its ID.
func (s *State) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl, time.Now().Add(ttl)}
	return s.lastLeaseID, nil
}

// Renew extends a lease by its full duration from now.
func (s *State) Renew(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		return storage.ErrNoLease
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return nil
}

// Release ends a lease at once and deletes the keys bound to it.
func (s *State) Release(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		l.expiresAt = time.Time{}
		s.expireLeases()
	}
	return nil
}

// RenewAllLeases extends all leases by their full duration, as the state service does after
// an outage.
func (s *State) RenewAllLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.expiresAt = time.Now().Add(l.ttl)
	}
}

// Watch waits up to hold for changes under a prefix after the revision since, and returns
// them with the store's revision.
func (s *State) Watch(ctx context.Context, prefix string, since uint64, hold time.Duration) ([]storage.Item, uint64, error) {
	deadline := time.Now().Add(hold)
	for {
		s.mu.Lock()
		s.expireLeases()
		var out []storage.Item
		for _, item := range s.history {
			if item.Revision > since && strings.HasPrefix(item.Key, prefix) {
				out = append(out, item)
			}
		}
		rev, changed := s.revision, s.changeSignal
		s.mu.Unlock()
		remaining := time.Until(deadline)
		if len(out) > 0 || remaining <= 0 {
			return out, rev, nil
		}
		select {
		case <-changed:
		case <-time.After(min(remaining, time.Second)): // leases expire without a call, so check again
		case <-ctx.Done():
			return nil, since, ctx.Err()
		}
	}
}

// ChangeCount returns how many puts and deletions were made so far.
func (s *State) ChangeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changeCount
}

// Put writes one value as JSON without conditions, for tests and tools.
func (s *State) Put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyWrites([]storage.Write{{Put: key, Value: b}})
}
