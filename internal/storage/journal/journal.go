// Package journal stores a gateway's registers, its durable state for each job, on disk in a
// bbolt file. It has one value per job, the latest state only, so that the file grows with the number of jobs and not with
// the number of their changes. Every Write is one transaction for all of its entries (group
// commit), and returns when they are durable.
//
// bbolt survives a crash at any byte of a write: it writes changed pages to free space, and
// the last step writes a single page. This package detects the damage that bbolt does not:
// every value has a checksum over key and value, the number of values is stored, the file
// must be as long as its meta page says, and both meta pages must be intact, since with a
// damaged one bbolt would silently go back to the previous transaction.
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

// ErrDamaged means that the file does not contain what was written. A member must not run
// without the promises that it has made to other members, so it does not start with a damaged journal.
var ErrDamaged = errors.New("journal damaged")

// layoutVersion is the version of the file's layout. Files with another one are rejected.
const layoutVersion = 1

// Buckets, and keys of the metadata bucket.
var (
	registersBucket = []byte("registers")
	metadataBucket  = []byte("about")
	keyStart        = []byte("starts")  // how often the file has been opened
	keyCount        = []byte("count")   // number of values in the registers bucket
	keyVersion      = []byte("version") // layoutVersion
	keyMember       = []byte("member")  // name of the member that the file belongs to
)

// Journal is an open journal file. Only one process at a time can have it open.
type Journal struct {
	db    *bolt.DB
	count uint64
	path  string
}

// Entry is one register with its key.
type Entry = storage.Entry

// Open opens or creates the file of a member and reads all of it. start counts the openings
// of the file, so it is higher each time.
func Open(path, member string) (j *Journal, entries []Entry, start uint32, err error) {
	// On damaged pages bbolt panics, or follows their references beyond the end of the
	// file, which faults. bbolt's own check can't be used: it does the same on a goroutine
	// of its own, where the panic can't be recovered.
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
		metadata, err := tx.CreateBucketIfNotExists(metadataBucket)
		if err != nil {
			return err
		}
		return errors.Join(metadata.Put(keyVersion, []byte{layoutVersion}), metadata.Put(keyMember, []byte(member)), metadata.Put(keyStart, encodeUint64(uint64(start))), metadata.Put(keyCount, encodeUint64(j.count)))
	})
	if err != nil {
		return nil, nil, 0, fmt.Errorf("journal %s: %w", path, err)
	}
	return j, entries, start, nil
}

// load reads all registers, checks them, and reads the number of openings so far.
func (j *Journal) load(tx *bolt.Tx, member string, entries *[]Entry, start *uint32) error {
	metadata, registers := tx.Bucket(metadataBucket), tx.Bucket(registersBucket)
	if metadata == nil && registers == nil {
		return nil // a new file
	}
	damaged := func(why string) error { return fmt.Errorf("%w: %s: %s", ErrDamaged, j.path, why) }
	if metadata == nil || registers == nil || len(metadata.Get(keyStart)) != 8 || len(metadata.Get(keyCount)) != 8 {
		return damaged("a bucket or its metadata is missing")
	}
	if v := metadata.Get(keyVersion); len(v) != 1 || v[0] != layoutVersion {
		return fmt.Errorf("journal %s has layout %v, this program understands %d", j.path, v, layoutVersion)
	}
	if owner := string(metadata.Get(keyMember)); owner != member {
		return fmt.Errorf("journal %s belongs to member %q, not to %q", j.path, owner, member)
	}
	*start = uint32(binary.BigEndian.Uint64(metadata.Get(keyStart)))
	err := registers.ForEach(func(k, v []byte) error {
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
	if stored := binary.BigEndian.Uint64(metadata.Get(keyCount)); stored != j.count {
		return damaged(fmt.Sprintf("%d values of %d", j.count, stored))
	}
	return nil
}

// checkMetaPages returns ErrDamaged if one of the file's two meta pages is damaged, or if the
// file is shorter than the newer one says.
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
		return err // empty: the process ended before it wrote the first page
	}
	const (
		pageHeader     = 16
		metaSize       = 64
		checksumOffset = 56 // after magic, version, page size, flags, root, free list, pages, transaction
	)
	page := make([]byte, pageHeader+metaSize)
	pageSize, latestTxn, pageCount := int64(0), uint64(0), int64(0)
	for i := range 2 {
		if _, err := f.ReadAt(page, int64(i)*pageSize); err != nil {
			return fmt.Errorf("%w: %s: meta page %d can't be read", ErrDamaged, path, i)
		}
		meta := page[pageHeader:]
		if i == 0 {
			pageSize = int64(binary.NativeEndian.Uint32(meta[8:]))
		}
		hash := fnv.New64a()
		hash.Write(meta[:checksumOffset])
		if hash.Sum64() != binary.NativeEndian.Uint64(meta[checksumOffset:]) || pageSize < 1024 || pageSize > 1<<20 {
			return fmt.Errorf("%w: %s: meta page %d", ErrDamaged, path, i)
		}
		if txn := binary.NativeEndian.Uint64(meta[48:]); txn >= latestTxn {
			latestTxn, pageCount = txn, int64(binary.NativeEndian.Uint64(meta[40:]))
		}
	}
	if st, err := f.Stat(); err != nil || st.Size() < pageCount*pageSize {
		return fmt.Errorf("%w: %s: shorter than its %d pages", ErrDamaged, path, pageCount)
	}
	return nil
}

// checksum covers key and value, so that a value stored under another key is detected.
func checksum(key, value []byte) uint64 {
	digest := xxhash.New()
	digest.Write(key)
	digest.Write([]byte{0})
	digest.Write(value)
	return digest.Sum64()
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Write stores all entries in one transaction and returns when they are durable. After an
// error (of a full disk, for example) nothing has changed, and Write can be retried.
func (j *Journal) Write(entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	count := j.count
	err := j.db.Update(func(tx *bolt.Tx) error {
		registers := tx.Bucket(registersBucket)
		for _, e := range entries {
			k := []byte(e.Key)
			if registers.Get(k) == nil {
				count++
			}
			v := binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(e.Value)), checksum(k, e.Value))
			if err := registers.Put(k, append(v, e.Value...)); err != nil {
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

// Size returns the size of the file in bytes, or 0 if it can't be determined.
func (j *Journal) Size() int64 {
	st, err := os.Stat(j.path)
	if err != nil {
		return 0
	}
	return st.Size()
}

// Close closes the file.
func (j *Journal) Close() error { return j.db.Close() }
