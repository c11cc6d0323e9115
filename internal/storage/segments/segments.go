// Package segments keeps a site's gateway registers in the site's state service: a
// log of batches, many registers a value, so that a claim or an answer costs a small
// part of a change. A fence key names the process that may write; every write, and
// every proof that reads are current, is conditional on it, so a daemon that was
// replaced while it stood still can change and promise nothing any more.
//
// The log is bounded by what is alive in it: while more than twice as many segments
// are there as the live registers need, the oldest ones' live registers are written
// again with the next batch and the segments are deleted in the same transaction.
package segments

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"dapplestage.example/dapplestage/internal/storage"
)

// ErrReplaced means that another daemon of the same site has taken over.
var ErrReplaced = errors.New("another daemon of this site has taken over")

// Keys. None is under the controllers' watched prefix.
const (
	fenceKey      = "g/fence"
	segmentPrefix = "g/s/"
)

// layoutVersion of the layout; another one is refused.
const layoutVersion = 1

// Entry is one register, or another small record, by key.
type Entry = storage.Entry

type fence struct {
	Version int    `json:"version"`
	Member  string `json:"member"`
	Start   uint32 `json:"start"`
}

// Limits are the state service's, and the part of its changes that may be used.
type Limits struct {
	ValueKB      float64
	TxnOps       int
	ChangesPerS  float64
	CompactAfter int // segments that are always allowed; 0: 8
}

// Log is the open log.
type Log struct {
	store         storage.Service
	log           *slog.Logger
	limits        Limits
	limiter       *rate.Limiter
	fenceRevision uint64 // of the fence
	nextSegment   uint64 // segment
	oldestSegment uint64
	live          map[string]liveEntry
	keysBySegment map[uint64][]string // the keys of each segment, live there or not
	liveBytes     int                 // of the live entries
	changes       int64               // changes made
}

type liveEntry struct {
	segment uint64
	value   []byte
}

// Open takes the log over and reads it.
func Open(ctx context.Context, store storage.Service, member string, lim Limits, log *slog.Logger) (*Log, []Entry, uint32, error) {
	if lim.CompactAfter == 0 {
		lim.CompactAfter = 8
	}
	l := &Log{store: store, log: log, limits: lim, nextSegment: 1, oldestSegment: 1, live: map[string]liveEntry{}, keysBySegment: map[uint64][]string{},
		limiter: rate.NewLimiter(rate.Limit(max(0.5, lim.ChangesPerS)), max(lim.TxnOps, int(lim.ChangesPerS)))}
	start, err := l.acquireFence(ctx, member)
	if err != nil {
		return nil, nil, 0, err
	}
	items, _, err := store.List(ctx, segmentPrefix)
	if err != nil {
		return nil, nil, 0, err
	}
	var order []string
	for _, it := range items { // in the order of their numbers, which are padded
		seg, err := strconv.ParseUint(strings.TrimPrefix(it.Key, segmentPrefix), 16, 64)
		var s segmentRecord
		if err == nil {
			err = json.Unmarshal(it.Value, &s)
		}
		if err == nil && s.Version != layoutVersion {
			err = fmt.Errorf("layout %d, this program understands %d", s.Version, layoutVersion)
		}
		if err != nil {
			return nil, nil, 0, fmt.Errorf("gateway log: %s: %w", it.Key, err)
		}
		if len(l.keysBySegment) == 0 {
			l.oldestSegment = seg
		}
		l.nextSegment = seg + 1
		l.keysBySegment[seg] = nil
		for i := range s.Entries {
			if _, ok := l.live[s.Entries[i].Key]; !ok {
				order = append(order, s.Entries[i].Key)
			}
			l.setLive(seg, &s.Entries[i])
		}
	}
	entries := make([]Entry, 0, len(order))
	for _, k := range order {
		entries = append(entries, Entry{Key: k, Value: l.live[k].value})
	}
	return l, entries, start, nil
}

// acquireFence makes this process the one that may write.
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
		ok, epoch, _, err := l.store.Txn(ctx, []storage.Cond{cond}, []storage.Write{{Put: fenceKey, Value: v}})
		if err != nil {
			return 0, err
		}
		if ok {
			l.fenceRevision = epoch
			return f.Start, nil
		}
	}
}

// segmentRecord is a segment's value. encoding/json writes the entries' bytes as base64.
type segmentRecord struct {
	Version int     `json:"v"`
	Entries []Entry `json:"e"`
}

func segmentKey(n uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, n) }

// segmentCapacity is what a value takes of entries: base64, keys, names.
func (l *Log) segmentCapacity() int { return int(l.limits.ValueKB*1024) - 64 }

func encodedSize(e *Entry) int { return (len(e.Value)+2)/3*4 + len(e.Key) + 28 }

// Write stores entries in order, as few changes as hold them, and returns when all
// are durable or the daemon has been replaced. It tries again for as long as the
// state service does not answer. Without entries it only proves that this process
// is still the one that may write.
func (l *Log) Write(ctx context.Context, entries []Entry) error {
	if len(entries) == 0 {
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
	for len(entries) > 0 {
		n, err := l.writeBatch(ctx, entries)
		if err != nil {
			return err
		}
		entries = entries[n:]
	}
	// What did not fit beside the entries.
	for range 8 {
		before := len(l.keysBySegment)
		if !l.needsCompaction(0) {
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

// maxTxnBytes keeps a transaction below the service's 64 KiB.
const maxTxnBytes = 48 << 10

// batch is what one transaction will write: new segments, and old ones to be deleted.
type batch struct {
	log          *Log
	full         [][]Entry // full segments
	current      []Entry   // the segment being filled
	currentBytes int       // bytes of current
	totalBytes   int       // bytes of all
	keys         map[string]bool
	deletions    []uint64
}

// add takes an entry in; false if the transaction has no room for it.
func (b *batch) add(e Entry) bool {
	s := encodedSize(&e)
	if b.currentBytes+s > b.log.segmentCapacity() && len(b.current) > 0 {
		if len(b.full)+2 > max(1, b.log.limits.TxnOps-2) {
			return false
		}
		b.full = append(b.full, b.current)
		b.current, b.currentBytes = nil, 0
	}
	if b.totalBytes+s > maxTxnBytes && b.totalBytes > 0 {
		return false
	}
	b.current, b.currentBytes, b.totalBytes = append(b.current, e), b.currentBytes+s, b.totalBytes+s
	b.keys[e.Key] = true
	return true
}

// hasRoom says whether the transaction has room for the current segment and one more deletion.
func (b *batch) hasRoom() bool { return len(b.full)+1+len(b.deletions)+1 <= b.log.limits.TxnOps }

// maxDeletedSegments is how many segments one transaction deletes at the most.
const maxDeletedSegments = 4

// compact moves the live entries of the oldest segments into the transaction, and deletes
// those segments, while there are too many.
func (b *batch) compact() {
	l := b.log
	for victim := l.oldestSegment; l.needsCompaction(len(b.deletions)) && len(b.deletions) < maxDeletedSegments && victim < l.nextSegment; victim++ {
		if _, ok := l.keysBySegment[victim]; ok && !b.moveLiveEntries(victim) {
			return
		}
	}
}

// moveLiveEntries takes in the live entries of a segment, to be deleted; false if they do not fit.
func (b *batch) moveLiveEntries(victim uint64) bool {
	before := *b
	fits := b.hasRoom()
	var moved []string
	for _, k := range b.log.keysBySegment[victim] {
		v := b.log.live[k]
		if !fits || v.segment != victim || b.keys[k] {
			continue
		}
		if fits = b.add(Entry{Key: k, Value: v.value}); fits {
			moved = append(moved, k)
		}
	}
	if fits && b.hasRoom() {
		b.deletions = append(b.deletions, victim)
		return true
	}
	if len(b.full) == len(before.full) { // what was added of it does no harm; it stays
		b.current, b.currentBytes, b.totalBytes = before.current, before.currentBytes, before.totalBytes
		for _, k := range moved {
			delete(b.keys, k)
		}
	}
	return false
}

// segments are the new segments' entries.
func (b *batch) segments() [][]Entry {
	if len(b.current) == 0 {
		return b.full
	}
	return append(b.full, b.current)
}

// writeBatch makes one transaction of as many entries as fit, and of the oldest
// segments' live entries while there are too many segments.
func (l *Log) writeBatch(ctx context.Context, entries []Entry) (int, error) {
	b := &batch{log: l, keys: map[string]bool{}}
	n := 0
	for n < len(entries) && b.add(entries[n]) {
		n++
	}
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
	l.applyWritten(segs, b.deletions)
	return n, nil
}

// commitBatch stores new segments and deletes old ones.
func (l *Log) commitBatch(ctx context.Context, segs [][]Entry, drop []uint64) error {
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
	for _, d := range drop {
		writes = append(writes, storage.Write{Delete: segmentKey(d)})
	}
	return l.commit(ctx, conds, writes)
}

// applyWritten takes in what was stored and deleted.
func (l *Log) applyWritten(segs [][]Entry, drop []uint64) {
	for i, s := range segs {
		seg := l.nextSegment + uint64(i)
		l.keysBySegment[seg] = nil
		for i := range s {
			l.setLive(seg, &s[i])
		}
	}
	for _, d := range drop {
		delete(l.keysBySegment, d)
	}
	l.nextSegment += uint64(len(segs))
	for l.oldestSegment < l.nextSegment {
		if _, ok := l.keysBySegment[l.oldestSegment]; ok {
			break
		}
		l.oldestSegment++
	}
}

// needsCompaction says whether there are more segments than twice what the live entries
// need, if as many as dropped are deleted.
func (l *Log) needsCompaction(dropped int) bool {
	return len(l.keysBySegment)-dropped > max(l.limits.CompactAfter, 2*(l.liveBytes/l.segmentCapacity()+1))
}

// setLive notes an entry of a segment as the live one.
func (l *Log) setLive(seg uint64, e *Entry) {
	if old, ok := l.live[e.Key]; ok {
		l.liveBytes -= encodedSize(&Entry{Key: e.Key, Value: old.value})
	}
	l.liveBytes += encodedSize(e)
	l.live[e.Key] = liveEntry{seg, e.Value}
	l.keysBySegment[seg] = append(l.keysBySegment[seg], e.Key)
}

// commit makes one transaction certain: done, or this process replaced.
func (l *Log) commit(ctx context.Context, conds []storage.Cond, writes []storage.Write) error {
	if err := l.limiter.WaitN(ctx, min(len(writes), l.limiter.Burst())); err != nil {
		return err
	}
	for try := 0; ; try++ {
		ok, _, failed, err := l.store.Txn(ctx, conds, writes)
		switch {
		case err == nil && ok:
			l.changes += int64(len(writes))
			return nil
		case err == nil:
			for _, k := range failed {
				if k == fenceKey {
					return ErrReplaced
				}
			}
			// The segment is there: an earlier attempt was executed after all, or
			// somebody else wrote it.
			if writes[0].Put == "" {
				return nil // only deletions, and they have no conditions but the fence
			}
			it, err := l.store.Get(ctx, writes[0].Put)
			if err == nil && it.Value != nil {
				if sameJSON(it.Value, writes[0].Value) {
					l.changes += int64(len(writes))
					return nil
				}
				return fmt.Errorf("gateway log: %s was written by somebody else", writes[0].Put)
			}
		case errors.Is(err, storage.ErrMalformed):
			return fmt.Errorf("gateway log: %w", err)
		default:
			if try%20 == 0 {
				l.log.Warn("gateway log waits for the state service", "why", err)
			}
		}
		if err := waitToRetry(ctx); err != nil {
			return err
		}
	}
}

func sameJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

func waitToRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(250 * time.Millisecond):
		return nil
	}
}

// Stats tells how large the log is: segments, live entries, changes made.
func (l *Log) Stats() (segs, entries int, changes int64) {
	return len(l.keysBySegment), len(l.live), l.changes
}
