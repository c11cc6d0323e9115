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
	fenceKey = "g/fence"
	segments = "g/s/"
)

// version of the layout; another one is refused.
const version = 1

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
	store  storage.Service
	log    *slog.Logger
	lim    Limits
	pace   *rate.Limiter
	stamp  uint64 // of the fence
	next   uint64 // segment
	oldest uint64
	live   map[string]live
	inSeg  map[uint64][]string // the keys of each segment, live there or not
	bytes  int                 // of the live entries
	seen   int64               // changes made
}

type live struct {
	seg   uint64
	value []byte
}

// Open takes the log over and reads it.
func Open(ctx context.Context, store storage.Service, member string, lim Limits, log *slog.Logger) (*Log, []Entry, uint32, error) {
	if lim.CompactAfter == 0 {
		lim.CompactAfter = 8
	}
	l := &Log{store: store, log: log, lim: lim, next: 1, oldest: 1, live: map[string]live{}, inSeg: map[uint64][]string{},
		pace: rate.NewLimiter(rate.Limit(max(0.5, lim.ChangesPerS)), max(lim.TxnOps, int(lim.ChangesPerS)))}
	start, err := l.takeFence(ctx, member)
	if err != nil {
		return nil, nil, 0, err
	}
	items, _, err := store.List(ctx, segments)
	if err != nil {
		return nil, nil, 0, err
	}
	var order []string
	for _, it := range items { // in the order of their numbers, which are padded
		seg, err := strconv.ParseUint(strings.TrimPrefix(it.Key, segments), 16, 64)
		var s stored
		if err == nil {
			err = json.Unmarshal(it.Value, &s)
		}
		if err == nil && s.Version != version {
			err = fmt.Errorf("layout %d, this program understands %d", s.Version, version)
		}
		if err != nil {
			return nil, nil, 0, fmt.Errorf("gateway log: %s: %w", it.Key, err)
		}
		if len(l.inSeg) == 0 {
			l.oldest = seg
		}
		l.next = seg + 1
		l.inSeg[seg] = nil
		for i := range s.Entries {
			if _, ok := l.live[s.Entries[i].Key]; !ok {
				order = append(order, s.Entries[i].Key)
			}
			l.take(seg, &s.Entries[i])
		}
	}
	entries := make([]Entry, 0, len(order))
	for _, k := range order {
		entries = append(entries, Entry{Key: k, Value: l.live[k].value})
	}
	return l, entries, start, nil
}

// takeFence makes this process the one that may write.
func (l *Log) takeFence(ctx context.Context, member string) (uint32, error) {
	for {
		it, err := l.store.Get(ctx, fenceKey)
		if err != nil {
			return 0, err
		}
		f := fence{Version: version, Member: member}
		cond := storage.Cond{Key: fenceKey}
		if it.Value != nil {
			if err := json.Unmarshal(it.Value, &f); err != nil || f.Version != version {
				return 0, fmt.Errorf("gateway log: %s is not understood: %.100s", fenceKey, it.Value)
			}
			if f.Member != member {
				return 0, fmt.Errorf("gateway log: the site's state service belongs to member %q, not to %q", f.Member, member)
			}
			cond.Stamp = it.Stamp
		}
		f.Start++
		v, _ := json.Marshal(f)
		ok, epoch, _, err := l.store.Txn(ctx, []storage.Cond{cond}, []storage.Write{{Put: fenceKey, Value: v}})
		if err != nil {
			return 0, err
		}
		if ok {
			l.stamp = epoch
			return f.Start, nil
		}
	}
}

// stored is a segment's value. encoding/json writes the entries' bytes as base64.
type stored struct {
	Version int     `json:"v"`
	Entries []Entry `json:"e"`
}

func segKey(n uint64) string { return fmt.Sprintf("%s%016x", segments, n) }

// room is what a value takes of entries: base64, keys, names.
func (l *Log) room() int { return int(l.lim.ValueKB*1024) - 64 }

func size(e *Entry) int { return (len(e.Value)+2)/3*4 + len(e.Key) + 28 }

// Write stores entries in order, as few changes as hold them, and returns when all
// are durable or the daemon has been replaced. It tries again for as long as the
// state service does not answer. Without entries it only proves that this process
// is still the one that may write.
func (l *Log) Write(ctx context.Context, entries []Entry) error {
	if len(entries) == 0 {
		for {
			ok, _, _, err := l.store.Txn(ctx, []storage.Cond{{Key: fenceKey, Stamp: l.stamp}}, nil)
			switch {
			case err == nil && ok:
				return nil
			case err == nil:
				return ErrReplaced
			}
			if err := pause(ctx); err != nil {
				return err
			}
		}
	}
	for len(entries) > 0 {
		n, err := l.writeSome(ctx, entries)
		if err != nil {
			return err
		}
		entries = entries[n:]
	}
	// What did not fit beside the entries.
	for range 8 {
		before := len(l.inSeg)
		if !l.tooMany(0) {
			break
		}
		if _, err := l.writeSome(ctx, nil); err != nil {
			return err
		}
		if len(l.inSeg) >= before {
			break
		}
	}
	return nil
}

// txnBytes keeps a transaction below the service's 64 KiB.
const txnBytes = 48 << 10

// batch is what one transaction will write: new segments, and old ones to be deleted.
type batch struct {
	log     *Log
	done    [][]Entry // full segments
	current []Entry   // the segment being filled
	used    int       // bytes of current
	total   int       // bytes of all
	keys    map[string]bool
	drop    []uint64
}

// add takes an entry in; false if the transaction has no room for it.
func (b *batch) add(e Entry) bool {
	s := size(&e)
	if b.used+s > b.log.room() && len(b.current) > 0 {
		if len(b.done)+2 > max(1, b.log.lim.TxnOps-2) {
			return false
		}
		b.done = append(b.done, b.current)
		b.current, b.used = nil, 0
	}
	if b.total+s > txnBytes && b.total > 0 {
		return false
	}
	b.current, b.used, b.total = append(b.current, e), b.used+s, b.total+s
	b.keys[e.Key] = true
	return true
}

// fits says whether the transaction has room for the current segment and one more deletion.
func (b *batch) fits() bool { return len(b.done)+1+len(b.drop)+1 <= b.log.lim.TxnOps }

// mostDropped is how many segments one transaction deletes at the most.
const mostDropped = 4

// compact moves the live entries of the oldest segments into the transaction, and deletes
// those segments, while there are too many.
func (b *batch) compact() {
	l := b.log
	for victim := l.oldest; l.tooMany(len(b.drop)) && len(b.drop) < mostDropped && victim < l.next; victim++ {
		if _, ok := l.inSeg[victim]; ok && !b.move(victim) {
			return
		}
	}
}

// move takes in the live entries of a segment, to be deleted; false if they do not fit.
func (b *batch) move(victim uint64) bool {
	before := *b
	fits := b.fits()
	var moved []string
	for _, k := range b.log.inSeg[victim] {
		v := b.log.live[k]
		if !fits || v.seg != victim || b.keys[k] {
			continue
		}
		if fits = b.add(Entry{Key: k, Value: v.value}); fits {
			moved = append(moved, k)
		}
	}
	if fits && b.fits() {
		b.drop = append(b.drop, victim)
		return true
	}
	if len(b.done) == len(before.done) { // what was added of it does no harm; it stays
		b.current, b.used, b.total = before.current, before.used, before.total
		for _, k := range moved {
			delete(b.keys, k)
		}
	}
	return false
}

// segments are the new segments' entries.
func (b *batch) segments() [][]Entry {
	if len(b.current) == 0 {
		return b.done
	}
	return append(b.done, b.current)
}

// writeSome makes one transaction of as many entries as fit, and of the oldest
// segments' live entries while there are too many segments.
func (l *Log) writeSome(ctx context.Context, entries []Entry) (int, error) {
	b := &batch{log: l, keys: map[string]bool{}}
	n := 0
	for n < len(entries) && b.add(entries[n]) {
		n++
	}
	if n == len(entries) {
		b.compact()
	}
	segs := b.segments()
	if len(segs)+len(b.drop) == 0 {
		return n, nil
	}
	if err := l.commitBatch(ctx, segs, b.drop); err != nil {
		return 0, err
	}
	l.written(segs, b.drop)
	return n, nil
}

// commitBatch stores new segments and deletes old ones.
func (l *Log) commitBatch(ctx context.Context, segs [][]Entry, drop []uint64) error {
	conds := []storage.Cond{{Key: fenceKey, Stamp: l.stamp}}
	var writes []storage.Write
	for i, s := range segs {
		key := segKey(l.next + uint64(i))
		v, err := json.Marshal(stored{version, s})
		if err != nil {
			return err
		}
		conds = append(conds, storage.Cond{Key: key})
		writes = append(writes, storage.Write{Put: key, Value: v})
	}
	for _, d := range drop {
		writes = append(writes, storage.Write{Delete: segKey(d)})
	}
	return l.commit(ctx, conds, writes)
}

// written takes in what was stored and deleted.
func (l *Log) written(segs [][]Entry, drop []uint64) {
	for i, s := range segs {
		seg := l.next + uint64(i)
		l.inSeg[seg] = nil
		for i := range s {
			l.take(seg, &s[i])
		}
	}
	for _, d := range drop {
		delete(l.inSeg, d)
	}
	l.next += uint64(len(segs))
	for l.oldest < l.next {
		if _, ok := l.inSeg[l.oldest]; ok {
			break
		}
		l.oldest++
	}
}

// tooMany says whether there are more segments than twice what the live entries
// need, if as many as dropped are deleted.
func (l *Log) tooMany(dropped int) bool {
	return len(l.inSeg)-dropped > max(l.lim.CompactAfter, 2*(l.bytes/l.room()+1))
}

// take notes an entry of a segment as the live one.
func (l *Log) take(seg uint64, e *Entry) {
	if old, ok := l.live[e.Key]; ok {
		l.bytes -= size(&Entry{Key: e.Key, Value: old.value})
	}
	l.bytes += size(e)
	l.live[e.Key] = live{seg, e.Value}
	l.inSeg[seg] = append(l.inSeg[seg], e.Key)
}

// commit makes one transaction certain: done, or this process replaced.
func (l *Log) commit(ctx context.Context, conds []storage.Cond, writes []storage.Write) error {
	if err := l.pace.WaitN(ctx, min(len(writes), l.pace.Burst())); err != nil {
		return err
	}
	for try := 0; ; try++ {
		ok, _, failed, err := l.store.Txn(ctx, conds, writes)
		switch {
		case err == nil && ok:
			l.seen += int64(len(writes))
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
					l.seen += int64(len(writes))
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
		if err := pause(ctx); err != nil {
			return err
		}
	}
}

func sameJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(250 * time.Millisecond):
		return nil
	}
}

// Stats tells how large the log is: segments, live entries, changes made.
func (l *Log) Stats() (segs, entries int, changes int64) {
	return len(l.inSeg), len(l.live), l.seen
}
