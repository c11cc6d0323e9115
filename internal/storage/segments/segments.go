// Package segments stores a site's gateway registers in the site's state service, as a log of
// segments. A segment is one value with many registers, so that a claim or an answer costs
// only a small fraction of a change of the state service. A fence key names the process that
// may write. Every write, and every proof that reads are current, is conditional on it: a
// daemon that was replaced while it was stalled can no longer write or promise anything.
//
// The log's size is bounded by its live registers, the latest ones of each key. While there
// are more than twice as many segments as the live registers need, the live registers of the
// emptiest segments are written again with the next batch, and these segments are deleted in the
// same transaction.
package segments

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"dapplestage.example/dapplestage/internal/storage"
)

// ErrReplaced means that another daemon of the same site has taken over.
var ErrReplaced = errors.New("another daemon of this site has taken over")

// Keys in the state service. None is under the prefix that the controllers watch.
const (
	fenceKey      = "g/fence"
	segmentPrefix = "g/s/" // followed by the segment's number
)

// layoutVersion is the version of the stored layout. Values with another one are rejected.
const layoutVersion = 1

// Entry is one register, or another small record, with its key.
type Entry = storage.Entry

// fence is the value of the fence key. Start counts how often the log has been opened.
type fence struct {
	Version int    `json:"version"`
	Member  string `json:"member"`
	Start   uint32 `json:"start"`
}

// Limits are the limits of the state service, and the rate of changes that the log may use.
type Limits struct {
	ValueKB      float64
	TxnOps       int
	ChangesPerS  float64
	CompactAfter int // number of segments up to which the log is never compacted; 0: 8
}

// Log is an open log.
type Log struct {
	store         storage.Service
	log           *slog.Logger
	limits        Limits
	limiter       *rate.Limiter
	fenceRevision uint64 // revision of this process's write of the fence key
	nextSegment   uint64 // number of the next segment to be written
	live          map[string]live
	keysBySegment map[uint64][]string // keys of each segment, whether their latest entry is in it or not
	liveBySegment map[uint64]int      // encoded size of the live entries of each segment
	liveBytes     int                 // encoded size of the live entries
	usage         Usage
}

// Usage counts what a log has used of the state service. It may be read while the log is
// written.
type Usage struct {
	Puts, Deletes atomic.Int64 // changes: segments written and deleted
	NewBytes      atomic.Int64 // encoded size of the entries that callers wrote
	MovedBytes    atomic.Int64 // encoded size of the live entries that compaction wrote again
	Refused       atomic.Int64 // requests that were refused or not answered, and are repeated
}

// add counts the changes of a transaction that was executed.
func (u *Usage) add(writes []storage.Write) {
	for i := range writes {
		if writes[i].Delete != "" {
			u.Deletes.Add(1)
		} else {
			u.Puts.Add(1)
		}
	}
}

// live is the latest value of a key.
type live struct {
	segment uint64 // the segment that has it
	value   []byte
}

// Open acquires the fence, which takes the log over from any earlier process, and reads the
// live entries. The returned number counts the openings of the log, so it is higher each time.
func Open(ctx context.Context, store storage.Service, member string, limits Limits, log *slog.Logger) (*Log, []Entry, uint32, error) {
	if limits.CompactAfter == 0 {
		limits.CompactAfter = 8
	}
	l := &Log{store: store, log: log, limits: limits, nextSegment: 1, live: map[string]live{}, keysBySegment: map[uint64][]string{}, liveBySegment: map[uint64]int{},
		limiter: rate.NewLimiter(rate.Limit(max(0.5, limits.ChangesPerS)), max(limits.TxnOps, int(limits.ChangesPerS)))}
	start, err := l.acquireFence(ctx, member)
	if err != nil {
		return nil, nil, 0, err
	}
	items, _, err := store.List(ctx, segmentPrefix)
	if err != nil {
		return nil, nil, 0, err
	}
	var order []string
	for _, it := range items { // ordered by number, since the keys have it in fixed width
		seg, err := strconv.ParseUint(strings.TrimPrefix(it.Key, segmentPrefix), 16, 64)
		var record segmentRecord
		if err == nil {
			err = json.Unmarshal(it.Value, &record)
		}
		if err == nil && record.Version != layoutVersion {
			err = fmt.Errorf("layout %d, this program understands %d", record.Version, layoutVersion)
		}
		if err != nil {
			return nil, nil, 0, fmt.Errorf("gateway log: %s: %w", it.Key, err)
		}
		l.nextSegment = seg + 1
		l.keysBySegment[seg] = nil
		for i := range record.Entries {
			if _, ok := l.live[record.Entries[i].Key]; !ok {
				order = append(order, record.Entries[i].Key)
			}
			l.setLive(seg, &record.Entries[i])
		}
	}
	entries := make([]Entry, 0, len(order))
	for _, k := range order {
		entries = append(entries, Entry{Key: k, Value: l.live[k].value})
	}
	return l, entries, start, nil
}

// acquireFence writes the fence key, which makes this process the only one that may write
// to the log.
func (l *Log) acquireFence(ctx context.Context, member string) (uint32, error) {
	for {
		it, err := l.store.Get(ctx, fenceKey)
		if err != nil {
			return 0, err
		}
		f := fence{Version: layoutVersion, Member: member}
		cond := storage.Cond{Key: fenceKey}
		if it.Value != nil {
			if err := json.Unmarshal(it.Value, &f); err != nil || f.Version != layoutVersion {
				return 0, fmt.Errorf("gateway log: %s is not understood: %.100s", fenceKey, it.Value)
			}
			if f.Member != member {
				return 0, fmt.Errorf("gateway log: the site's state service belongs to member %q, not to %q", f.Member, member)
			}
			cond.Revision = it.Revision
		}
		f.Start++
		v, _ := json.Marshal(f)
		ok, revision, _, err := l.store.Txn(ctx, []storage.Cond{cond}, []storage.Write{{Put: fenceKey, Value: v}})
		if err != nil {
			return 0, err
		}
		if ok {
			l.fenceRevision = revision
			return f.Start, nil
		}
	}
}

// segmentRecord is the stored value of a segment. encoding/json writes the entries' values as
// base64.
type segmentRecord struct {
	Version int     `json:"v"`
	Entries []Entry `json:"e"`
}

// segmentKey returns the key of a segment. Numbers have a fixed width, so that keys sort by them.
func segmentKey(n uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, n) }

// segmentCapacity returns how many bytes of encoded entries fit into a segment.
func (l *Log) segmentCapacity() int { return int(l.limits.ValueKB*1024) - 64 }

// encodedSize returns the size of an entry in a segment's value: base64, key and field names.
func encodedSize(e *Entry) int { return (len(e.Value)+2)/3*4 + len(e.Key) + 28 }

// Write stores entries in order, in as few changes as possible. It returns nil when all are
// durable, and ErrReplaced if another process has acquired the fence. While the state service
// does not answer, Write retries until ctx ends. Without entries it only proves that this
// process still holds the fence.
func (l *Log) Write(ctx context.Context, entries []Entry) error {
	if len(entries) == 0 {
		return l.ProveOwnership(ctx)
	}
	for len(entries) > 0 {
		n, err := l.writeBatch(ctx, entries)
		if err != nil {
			return err
		}
		entries = entries[n:]
	}
	// Compaction that did not fit into the transactions of the entries is left to the next
	// writes, unless the log has grown far beyond its size.
	for range 8 {
		before := len(l.keysBySegment)
		if !l.isOverfull() {
			break
		}
		if _, err := l.writeBatch(ctx, nil); err != nil {
			return err
		}
		if len(l.keysBySegment) >= before {
			break
		}
	}
	return nil
}

// ProveOwnership proves that this process holds the fence. It returns ErrReplaced if another
// one has acquired it. While the state service does not answer, it retries until ctx ends.
// It changes nothing, so it does not wait for the rate of changes, and may be called during a
// Write.
func (l *Log) ProveOwnership(ctx context.Context) error {
	for {
		ok, _, _, err := l.store.Txn(ctx, []storage.Cond{{Key: fenceKey, Revision: l.fenceRevision}}, nil)
		switch {
		case err == nil && ok:
			return nil
		case err == nil:
			return ErrReplaced
		}
		if err := waitToRetry(ctx); err != nil {
			return err
		}
	}
}

// batchTime is how long a write of BatchBytes should take at the log's rate of changes.
const batchTime = 250 * time.Millisecond

// segmentFill is how full segments are, since entries are not divided between them.
const segmentFill = 0.9

// BatchBytes returns the size of entries, as encoded in segments, that the log writes within
// about batchTime, in one transaction that leaves room for compaction.
func (l *Log) BatchBytes() int {
	inTime := int(l.limits.ChangesPerS * batchTime.Seconds())
	inTransaction := min(l.limits.TxnOps/2, maxTxnBytes/l.segmentCapacity()-1)
	return int(segmentFill * float64(l.segmentCapacity()*max(1, min(inTime, inTransaction))))
}

// maxTxnBytes keeps a transaction below the state service's limit of 64 KiB.
const maxTxnBytes = 48 << 10

// batch collects the changes of one transaction: new segments, and old ones to delete.
type batch struct {
	log          *Log
	full         [][]Entry       // full segments
	current      []Entry         // the segment being filled
	currentBytes int             // bytes of current
	totalBytes   int             // bytes of all new segments
	keys         map[string]bool // keys of the entries in the new segments
	deletions    []uint64        // segments to delete
}

// add adds an entry to the batch. It returns false if the transaction has no room for it.
func (b *batch) add(e Entry) bool {
	entrySize := encodedSize(&e)
	if b.currentBytes+entrySize > b.log.segmentCapacity() && len(b.current) > 0 {
		if len(b.full)+2 > max(1, b.log.limits.TxnOps-2) {
			return false
		}
		b.full = append(b.full, b.current)
		b.current, b.currentBytes = nil, 0
	}
	if b.totalBytes+entrySize > maxTxnBytes && b.totalBytes > 0 {
		return false
	}
	b.current, b.currentBytes, b.totalBytes = append(b.current, e), b.currentBytes+entrySize, b.totalBytes+entrySize
	b.keys[e.Key] = true
	return true
}

// hasRoom reports whether the transaction has room for the current segment and one more
// deletion.
func (b *batch) hasRoom() bool { return len(b.full)+1+len(b.deletions)+1 <= b.log.limits.TxnOps }

// maxDeletedSegments limits how many segments one transaction deletes.
const maxDeletedSegments = 4

// compact adds the live entries of the emptiest segments to the batch, and the deletion of
// these segments, while the log has too many.
func (b *batch) compact() {
	l := b.log
	if !l.needsCompaction(0) {
		return
	}
	for _, victim := range l.emptiestSegments(maxDeletedSegments) {
		if !l.needsCompaction(len(b.deletions)) || !b.moveLiveEntries(victim) {
			return
		}
	}
}

// emptiestSegments returns up to n segments with the fewest live bytes, the emptiest first.
// What is live in them is all that their deletion costs beside itself.
func (l *Log) emptiestSegments(n int) []uint64 {
	emptier := func(a, b uint64) int {
		return cmp.Or(cmp.Compare(l.liveBySegment[a], l.liveBySegment[b]), cmp.Compare(a, b))
	}
	var emptiest []uint64
	for segment := range l.keysBySegment {
		if len(emptiest) == n && emptier(segment, emptiest[n-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(emptiest, segment, emptier)
		emptiest = slices.Insert(emptiest, at, segment)
		emptiest = emptiest[:min(len(emptiest), n)]
	}
	return emptiest
}

// moveLiveEntries adds the live entries of a segment to the batch, and the segment's deletion.
// It returns false, and does not delete the segment, if they do not all fit.
func (b *batch) moveLiveEntries(victim uint64) bool {
	before := *b
	hasRoom := b.hasRoom()
	var moved []string
	for _, k := range b.log.keysBySegment[victim] {
		entry := b.log.live[k]
		if !hasRoom || entry.segment != victim || b.keys[k] {
			continue
		}
		if hasRoom = b.add(Entry{Key: k, Value: entry.value}); hasRoom {
			moved = append(moved, k)
		}
	}
	if hasRoom && b.hasRoom() {
		b.deletions = append(b.deletions, victim)
		return true
	}
	// Undo the additions, unless a segment was completed with them. Then they stay: a second
	// copy of a live entry does no harm.
	if len(b.full) == len(before.full) {
		b.current, b.currentBytes, b.totalBytes = before.current, before.currentBytes, before.totalBytes
		for _, k := range moved {
			delete(b.keys, k)
		}
	}
	return false
}

// segments returns the entries of each new segment.
func (b *batch) segments() [][]Entry {
	if len(b.current) == 0 {
		return b.full
	}
	return append(b.full, b.current)
}

// writeBatch writes as many of the entries as fit into one transaction, and compacts the log
// with it if there is room for all of them. It returns how many entries it has written.
func (l *Log) writeBatch(ctx context.Context, entries []Entry) (int, error) {
	b := &batch{log: l, keys: map[string]bool{}}
	n := 0
	for n < len(entries) && b.add(entries[n]) {
		n++
	}
	newBytes := b.totalBytes
	if n == len(entries) {
		b.compact()
	}
	segs := b.segments()
	if len(segs)+len(b.deletions) == 0 {
		return n, nil
	}
	if err := l.commitBatch(ctx, segs, b.deletions); err != nil {
		return 0, err
	}
	l.usage.NewBytes.Add(int64(newBytes))
	l.usage.MovedBytes.Add(int64(b.totalBytes - newBytes))
	l.applyWritten(segs, b.deletions)
	return n, nil
}

// commitBatch stores the new segments and deletes old ones in one transaction.
func (l *Log) commitBatch(ctx context.Context, segs [][]Entry, deletions []uint64) error {
	conds := []storage.Cond{{Key: fenceKey, Revision: l.fenceRevision}}
	var writes []storage.Write
	for i, s := range segs {
		key := segmentKey(l.nextSegment + uint64(i))
		v, err := json.Marshal(segmentRecord{layoutVersion, s})
		if err != nil {
			return err
		}
		conds = append(conds, storage.Cond{Key: key})
		writes = append(writes, storage.Write{Put: key, Value: v})
	}
	for _, deleted := range deletions {
		writes = append(writes, storage.Write{Delete: segmentKey(deleted)})
	}
	return l.commit(ctx, conds, writes)
}

// applyWritten updates the index of the log after new segments were stored and old ones
// deleted.
func (l *Log) applyWritten(segs [][]Entry, deletions []uint64) {
	for i, s := range segs {
		seg := l.nextSegment + uint64(i)
		l.keysBySegment[seg] = nil
		for i := range s {
			l.setLive(seg, &s[i])
		}
	}
	for _, deleted := range deletions {
		delete(l.keysBySegment, deleted)
		delete(l.liveBySegment, deleted)
	}
	l.nextSegment += uint64(len(segs))
}

// needsCompaction reports whether the log, after the deletion of some segments, has more than
// CompactAfter segments and more than twice as many as the live entries need.
func (l *Log) needsCompaction(deleted int) bool {
	return len(l.keysBySegment)-deleted > max(l.limits.CompactAfter, 2*(l.liveBytes/l.segmentCapacity()+1))
}

// isOverfull reports whether the log has grown so far that compaction can't wait for the next
// writes: a quarter beyond the size from which on it needs compaction.
func (l *Log) isOverfull() bool { return l.needsCompaction(len(l.keysBySegment) / 5) }

// setLive records an entry of a segment as the live one of its key.
func (l *Log) setLive(seg uint64, e *Entry) {
	if old, ok := l.live[e.Key]; ok {
		oldSize := encodedSize(&Entry{Key: e.Key, Value: old.value})
		l.liveBytes -= oldSize
		l.liveBySegment[old.segment] -= oldSize
	}
	size := encodedSize(e)
	l.liveBytes += size
	l.liveBySegment[seg] += size
	l.live[e.Key] = live{seg, e.Value}
	l.keysBySegment[seg] = append(l.keysBySegment[seg], e.Key)
}

// commit retries one transaction until its outcome is certain: either it was applied, or this
// process has been replaced.
func (l *Log) commit(ctx context.Context, conds []storage.Cond, writes []storage.Write) error {
	if err := l.limiter.WaitN(ctx, min(len(writes), l.limiter.Burst())); err != nil {
		return err
	}
	for try := 0; ; try++ {
		ok, _, failed, err := l.store.Txn(ctx, conds, writes)
		switch {
		case err == nil && ok:
			l.usage.add(writes)
			return nil
		case err == nil:
			for _, k := range failed {
				if k == fenceKey {
					return ErrReplaced
				}
			}
			// The segment exists already: an earlier attempt was executed without an
			// answer, or another process wrote it.
			if writes[0].Put == "" {
				return nil // only deletions, which are conditional on the fence alone
			}
			it, err := l.store.Get(ctx, writes[0].Put)
			if err == nil && it.Value != nil {
				if sameJSON(it.Value, writes[0].Value) {
					l.usage.add(writes)
					return nil
				}
				return fmt.Errorf("gateway log: %s was written by somebody else", writes[0].Put)
			}
		case errors.Is(err, storage.ErrMalformed):
			return fmt.Errorf("gateway log: %w", err)
		default:
			l.usage.Refused.Add(1)
			if try%20 == 0 {
				l.log.Warn("gateway log waits for the state service", "why", err)
			}
		}
		if err := waitToRetry(ctx); err != nil {
			return err
		}
	}
}

// sameJSON reports whether two JSON texts differ only in white space.
func sameJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

// waitToRetry waits for the pause between two attempts.
func waitToRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(250 * time.Millisecond):
		return nil
	}
}

// Stats returns the number of segments and of live entries, and how many changes of the state
// service the log has made.
func (l *Log) Stats() (segs, entries int, changes int64) {
	return len(l.keysBySegment), len(l.live), l.usage.Puts.Load() + l.usage.Deletes.Load()
}

// Usage returns the counters of what the log has used of the state service.
func (l *Log) Usage() *Usage { return &l.usage }

// ChangesPerSecond returns how many changes a second the log may make.
func (l *Log) ChangesPerSecond() float64 { return float64(l.limiter.Limit()) }
