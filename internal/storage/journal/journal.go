// Package journal keeps a gateway's registers on disk, in a bbolt file: one value a
// job, the latest state alone, so that it grows with the number of jobs and not with
// what happened to them. Every write is one transaction for all that waits (group
// commit), durable before Write returns.
//
// bbolt survives an end at any byte: pages are written aside and the last step is
// one page. What it does not notice by itself is made noticeable here: every value
// has a checksum over key and value, the number of values is stored, the file must
// be as long as it says, and both meta pages must be whole, since with a damaged one
// bbolt would go back silently to the transaction before.
package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"dapplestage.example/dapplestage/internal/storage"
)

// ErrDamaged means that the file does not hold what was written. A member must not go on
// with less than it promised, so it does not start.
var ErrDamaged = errors.New("journal damaged")

// layoutVersion of the layout; another one is refused.
const layoutVersion = 1

var (
	registersBucket = []byte("registers")
	metadataBucket  = []byte("about")
	keyStart        = []byte("starts")
	keyCount        = []byte("count")
	keyVersion      = []byte("version")
	keyMember       = []byte("member")
)

// Journal is an open file. One process at a time can have it.
type Journal struct {
	db    *bolt.DB
	count uint64
	path  string
}

// Entry is one value.
type Entry = storage.Entry

// Open opens or makes the file for a member and reads all of it. start is higher at
// each opening.
func Open(path, member string) (j *Journal, entries []Entry, start uint32, err error) {
	// bbolt panics on pages that make no sense, and follows what they say out of the
	// file; its own check does so on a routine of its own, where it can't be caught.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %s: %v", ErrDamaged, path, p)
		}
	}()
	if err := checkMetaPages(path); err != nil {
		return nil, nil, 0, err
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second, FreelistType: bolt.FreelistMapType})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, nil, 0, fmt.Errorf("journal %s is in use by another process", path)
	case errors.Is(err, os.ErrNotExist), errors.Is(err, os.ErrPermission):
		return nil, nil, 0, fmt.Errorf("journal: %w", err)
	case err != nil:
		return nil, nil, 0, fmt.Errorf("%w: %s: %v", ErrDamaged, path, err)
	}
	j = &Journal{db: db, path: path}
	defer func() {
		if err != nil {
			db.Close()
		}
	}()
	err = db.View(func(tx *bolt.Tx) error {
		return j.load(tx, member, &entries, &start)
	})
	if err != nil {
		return nil, nil, 0, err
	}
	start++
	err = db.Update(func(tx *bolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(registersBucket); err != nil {
			return err
		}
		b, err := tx.CreateBucketIfNotExists(metadataBucket)
		if err != nil {
			return err
		}
		return errors.Join(b.Put(keyVersion, []byte{layoutVersion}), b.Put(keyMember, []byte(member)), b.Put(keyStart, encodeUint64(uint64(start))), b.Put(keyCount, encodeUint64(j.count)))
	})
	if err != nil {
		return nil, nil, 0, fmt.Errorf("journal %s: %w", path, err)
	}
	return j, entries, start, nil
}

func (j *Journal) load(tx *bolt.Tx, member string, entries *[]Entry, start *uint32) error {
	b, r := tx.Bucket(metadataBucket), tx.Bucket(registersBucket)
	if b == nil && r == nil {
		return nil // new
	}
	damaged := func(why string) error { return fmt.Errorf("%w: %s: %s", ErrDamaged, j.path, why) }
	if b == nil || r == nil || len(b.Get(keyStart)) != 8 || len(b.Get(keyCount)) != 8 {
		return damaged("a part is missing")
	}
	if v := b.Get(keyVersion); len(v) != 1 || v[0] != layoutVersion {
		return fmt.Errorf("journal %s has layout %v, this program understands %d", j.path, v, layoutVersion)
	}
	if m := string(b.Get(keyMember)); m != member {
		return fmt.Errorf("journal %s belongs to member %q, not to %q", j.path, m, member)
	}
	*start = uint32(binary.BigEndian.Uint64(b.Get(keyStart)))
	err := r.ForEach(func(k, v []byte) error {
		if len(v) < 8 || binary.BigEndian.Uint64(v) != checksum(k, v[8:]) {
			return damaged(fmt.Sprintf("value of %q", k))
		}
		*entries = append(*entries, Entry{Key: string(k), Value: append([]byte(nil), v[8:]...)})
		return nil
	})
	if err != nil {
		return err
	}
	j.count = uint64(len(*entries))
	if stored := binary.BigEndian.Uint64(b.Get(keyCount)); stored != j.count {
		return damaged(fmt.Sprintf("%d values of %d", j.count, stored))
	}
	return nil
}

// checkMetaPages refuses a file one of whose two meta pages is not whole.
func checkMetaPages(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	defer f.Close()
	if st, err := f.Stat(); err != nil || st.Size() == 0 {
		return err // made, and ended before the first page was written
	}
	const (
		pageHeader = 16
		metaSize   = 64
		sumAt      = 56 // after magic, version, page size, flags, root, free list, pages, transaction
	)
	page := make([]byte, pageHeader+metaSize)
	size, latest, pages := int64(0), uint64(0), int64(0)
	for i := range 2 {
		if _, err := f.ReadAt(page, int64(i)*size); err != nil {
			return fmt.Errorf("%w: %s: meta page %d can't be read", ErrDamaged, path, i)
		}
		m := page[pageHeader:]
		if i == 0 {
			size = int64(binary.NativeEndian.Uint32(m[8:]))
		}
		h := fnv.New64a()
		h.Write(m[:sumAt])
		if h.Sum64() != binary.NativeEndian.Uint64(m[sumAt:]) || size < 1024 || size > 1<<20 {
			return fmt.Errorf("%w: %s: meta page %d", ErrDamaged, path, i)
		}
		if tx := binary.NativeEndian.Uint64(m[48:]); tx >= latest {
			latest, pages = tx, int64(binary.NativeEndian.Uint64(m[40:]))
		}
	}
	if st, err := f.Stat(); err != nil || st.Size() < pages*size {
		return fmt.Errorf("%w: %s: shorter than its %d pages", ErrDamaged, path, pages)
	}
	return nil
}

func checksum(key, value []byte) uint64 {
	d := xxhash.New()
	d.Write(key)
	d.Write([]byte{0})
	d.Write(value)
	return d.Sum64()
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Write stores entries, all or none, and returns when they are durable. After an
// error (a full disk, say) nothing has changed and it can be tried again.
func (j *Journal) Write(entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	count := j.count
	err := j.db.Update(func(tx *bolt.Tx) error {
		r := tx.Bucket(registersBucket)
		for _, e := range entries {
			k := []byte(e.Key)
			if r.Get(k) == nil {
				count++
			}
			v := binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(e.Value)), checksum(k, e.Value))
			if err := r.Put(k, append(v, e.Value...)); err != nil {
				return err
			}
		}
		return tx.Bucket(metadataBucket).Put(keyCount, encodeUint64(count))
	})
	if err == nil {
		j.count = count
	}
	return err
}

// Size is the file's size.
func (j *Journal) Size() int64 {
	st, err := os.Stat(j.path)
	if err != nil {
		return 0
	}
	return st.Size()
}

// Close lets go of the file.
func (j *Journal) Close() error { return j.db.Close() }
