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

// State is a small consistent store with leases and watches. It implements
// storage.Service.
type State struct {
	mu           sync.Mutex
	revision     uint64
	items        map[string]storage.Item
	leaseByKey   map[string]uint64
	leases       map[uint64]*lease
	lastLeaseID  uint64
	history      []storage.Item
	changeCount  int // puts and deletions so far
	changeSignal chan struct{}
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewState makes an empty store.
func NewState() *State {
	return &State{items: map[string]storage.Item{}, leaseByKey: map[string]uint64{}, leases: map[uint64]*lease{}, changeSignal: make(chan struct{})}
}

// expireLeases ends leases whose time has come. Callers hold mu.
func (s *State) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			delete(s.leases, id)
			var gone []storage.Write
			for k, of := range s.leaseByKey {
				if of == id {
					gone = append(gone, storage.Write{Delete: k})
				}
			}
			if len(gone) > 0 {
				s.applyWrites(gone)
			}
		}
	}
}

func (s *State) applyWrites(writes []storage.Write) {
	s.revision++
	s.changeCount += len(writes)
	for _, w := range writes {
		if w.Put != "" {
			it := storage.Item{Key: w.Put, Value: w.Value, Revision: s.revision}
			s.items[w.Put] = it
			delete(s.leaseByKey, w.Put)
			if w.Lease != 0 {
				s.leaseByKey[w.Put] = w.Lease
			}
			s.history = append(s.history, it)
		} else if _, ok := s.items[w.Delete]; ok {
			delete(s.items, w.Delete)
			delete(s.leaseByKey, w.Delete)
			s.history = append(s.history, storage.Item{Key: w.Delete, Revision: s.revision})
		}
	}
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// Get reads a key; a missing one has no Value and the store's revision.
func (s *State) Get(_ context.Context, key string) (storage.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if it, ok := s.items[key]; ok {
		return it, nil
	}
	return storage.Item{Key: key, Revision: s.revision}, nil
}

// List reads all keys with a prefix.
func (s *State) List(_ context.Context, prefix string) ([]storage.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var out []storage.Item
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.revision, nil
}

// Txn compares and writes.
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

// Grant opens a lease.
func (s *State) Grant(_ context.Context, life time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{life, time.Now().Add(life)}
	return s.lastLeaseID, nil
}

// Renew extends a lease.
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

// Release ends a lease at once.
func (s *State) Release(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		l.expiresAt = time.Time{}
		s.expireLeases()
	}
	return nil
}

// RenewAllLeases gives all leases their full time back, as after an outage.
func (s *State) RenewAllLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.expiresAt = time.Now().Add(l.ttl)
	}
}

// Watch waits for changes under a prefix after a revision.
func (s *State) Watch(ctx context.Context, prefix string, since uint64, hold time.Duration) ([]storage.Item, uint64, error) {
	end := time.Now().Add(hold)
	for {
		s.mu.Lock()
		s.expireLeases()
		var out []storage.Item
		for _, it := range s.history {
			if it.Revision > since && strings.HasPrefix(it.Key, prefix) {
				out = append(out, it)
			}
		}
		rev, changed := s.revision, s.changeSignal
		s.mu.Unlock()
		left := time.Until(end)
		if len(out) > 0 || left <= 0 {
			return out, rev, nil
		}
		select {
		case <-changed:
		case <-time.After(min(left, time.Second)): // leases end without a call
		case <-ctx.Done():
			return nil, since, ctx.Err()
		}
	}
}

// ChangeCount is how many puts and deletions there were.
func (s *State) ChangeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changeCount
}

// Put writes one value, for tests and tools.
func (s *State) Put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyWrites([]storage.Write{{Put: key, Value: b}})
}
