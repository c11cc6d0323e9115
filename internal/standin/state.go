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
	mu      sync.Mutex
	rev     uint64
	keys    map[string]storage.Item
	leaseOf map[string]uint64
	leases  map[uint64]*lease
	last    uint64
	log     []storage.Item
	changes int // puts and deletions so far
	changed chan struct{}
}

type lease struct {
	life time.Duration
	end  time.Time
}

// NewState makes an empty store.
func NewState() *State {
	return &State{keys: map[string]storage.Item{}, leaseOf: map[string]uint64{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// expire ends leases whose time has come. Callers hold mu.
func (s *State) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			delete(s.leases, id)
			var gone []storage.Write
			for k, of := range s.leaseOf {
				if of == id {
					gone = append(gone, storage.Write{Delete: k})
				}
			}
			if len(gone) > 0 {
				s.write(gone)
			}
		}
	}
}

func (s *State) write(writes []storage.Write) {
	s.rev++
	s.changes += len(writes)
	for _, w := range writes {
		if w.Put != "" {
			it := storage.Item{Key: w.Put, Value: w.Value, Revision: s.rev}
			s.keys[w.Put] = it
			delete(s.leaseOf, w.Put)
			if w.Lease != 0 {
				s.leaseOf[w.Put] = w.Lease
			}
			s.log = append(s.log, it)
		} else if _, ok := s.keys[w.Delete]; ok {
			delete(s.keys, w.Delete)
			delete(s.leaseOf, w.Delete)
			s.log = append(s.log, storage.Item{Key: w.Delete, Revision: s.rev})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get reads a key; a missing one has no Value and the store's revision.
func (s *State) Get(_ context.Context, key string) (storage.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if it, ok := s.keys[key]; ok {
		return it, nil
	}
	return storage.Item{Key: key, Revision: s.rev}, nil
}

// List reads all keys with a prefix.
func (s *State) List(_ context.Context, prefix string) ([]storage.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var out []storage.Item
	for k, it := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.rev, nil
}

// Txn compares and writes.
func (s *State) Txn(_ context.Context, conds []storage.Cond, writes []storage.Write) (bool, uint64, []string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, w := range writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return false, 0, nil, storage.ErrNoLease
		}
	}
	var failed []string
	for _, c := range conds {
		if s.keys[c.Key].Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return false, s.rev, failed, nil
	}
	if len(writes) > 0 {
		s.write(writes)
	}
	return true, s.rev, nil, nil
}

// Grant opens a lease.
func (s *State) Grant(_ context.Context, life time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.leases[s.last] = &lease{life, time.Now().Add(life)}
	return s.last, nil
}

// Renew extends a lease.
func (s *State) Renew(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		return storage.ErrNoLease
	}
	l.end = time.Now().Add(l.life)
	return nil
}

// Release ends a lease at once.
func (s *State) Release(_ context.Context, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		l.end = time.Time{}
		s.expire()
	}
	return nil
}

// Refill gives all leases their full time back, as after an outage.
func (s *State) Refill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.end = time.Now().Add(l.life)
	}
}

// Watch waits for changes under a prefix after a revision.
func (s *State) Watch(ctx context.Context, prefix string, since uint64, hold time.Duration) ([]storage.Item, uint64, error) {
	end := time.Now().Add(hold)
	for {
		s.mu.Lock()
		s.expire()
		var out []storage.Item
		for _, it := range s.log {
			if it.Revision > since && strings.HasPrefix(it.Key, prefix) {
				out = append(out, it)
			}
		}
		rev, changed := s.rev, s.changed
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

// Changes is how many puts and deletions there were.
func (s *State) Changes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// Put writes one value, for tests and tools.
func (s *State) Put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]storage.Write{{Put: key, Value: b}})
}
