package gateway

import (
	"context"
	"errors"
	"fmt"

	wire "dapplestage.example/dapplestage/internal/protocol/gateway"
	"dapplestage.example/dapplestage/internal/storage"
	"dapplestage.example/dapplestage/internal/storage/journal"
	"dapplestage.example/dapplestage/internal/storage/segments"
)

// siteStateKey is the key of the site's state, stored among the registers, whose keys are
// job ids.
const siteStateKey = "site"

// storeKey returns the key under which an item is stored.
func storeKey(it *wire.Item) string {
	if it.Kind == wire.SiteState {
		return siteStateKey
	}
	return it.ID
}

// encodeEntries encodes items as storage entries.
func encodeEntries(items []wire.Item) []storage.Entry {
	entries := make([]storage.Entry, len(items))
	for i := range items {
		entries[i] = storage.Entry{Key: storeKey(&items[i]), Value: wire.Encode(&wire.Envelope{Items: items[i : i+1]})}
	}
	return entries
}

// decodeEntry decodes one storage entry and checks that the item belongs to the key.
func decodeEntry(key string, data []byte) (wire.Item, error) {
	e, err := wire.Decode(data)
	if err == nil && len(e.Items) != 1 {
		err = fmt.Errorf("%d items", len(e.Items))
	}
	if err != nil {
		return wire.Item{}, fmt.Errorf("stored register %q: %w", key, err)
	}
	it := e.Items[0]
	if it.Kind != wire.RegisterState && it.Kind != wire.SiteState || storeKey(&it) != key {
		return wire.Item{}, fmt.Errorf("stored register %q: the value belongs to another key", key)
	}
	return it, nil
}

// JournalStore stores a gateway's registers in a journal on disk.
type JournalStore struct{ Journal *journal.Journal }

// Write implements Store.
func (s JournalStore) Write(_ context.Context, items []wire.Item) error {
	return s.Journal.Write(encodeEntries(items))
}

// ProveOwnership implements Store. The file belongs to the process that has it open.
func (s JournalStore) ProveOwnership(context.Context) error { return nil }

// BatchBytes implements Store. A flush of the disk takes about as long for any amount.
func (s JournalStore) BatchBytes() int { return 0 }

// OpenJournal opens a gateway's journal and returns the stored items and the number of this
// start.
func OpenJournal(path, member string) (*journal.Journal, []wire.Item, uint32, error) {
	j, entries, start, err := journal.Open(path, member)
	if err != nil {
		return nil, nil, 0, err
	}
	items, err := DecodeEntries(entries)
	if err != nil {
		j.Close()
		return nil, nil, 0, err
	}
	return j, items, start, nil
}

// SegmentStore stores a site's registers in the site's state service.
type SegmentStore struct{ Log *segments.Log }

// Write implements Store.
func (s SegmentStore) Write(ctx context.Context, items []wire.Item) error {
	return fatalIfReplaced(s.Log.Write(ctx, encodeEntries(items)))
}

// ProveOwnership implements Store.
func (s SegmentStore) ProveOwnership(ctx context.Context) error {
	return fatalIfReplaced(s.Log.ProveOwnership(ctx))
}

// BatchBytes implements Store.
func (s SegmentStore) BatchBytes() int { return s.Log.BatchBytes() }

// fatalIfReplaced marks the error of a process that was replaced as fatal.
func fatalIfReplaced(err error) error {
	if errors.Is(err, segments.ErrReplaced) {
		return fmt.Errorf("%w: %w", ErrFatal, err)
	}
	return err
}

// DecodeEntries decodes the entries of a member's store.
func DecodeEntries(entries []storage.Entry) ([]wire.Item, error) {
	items := make([]wire.Item, 0, len(entries))
	for _, e := range entries {
		it, err := decodeEntry(e.Key, e.Value)
		if err != nil {
			return nil, err
		}
		items = append(items, it)
	}
	return items, nil
}
