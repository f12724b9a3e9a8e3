// Package store persists the raft group's log and votes: raft's log store and stable store in one bbolt file, and its snapshots
// in files beside it. Each write is synced to disk before it is acknowledged. After a failed write, the store rejects all
// further writes until it is opened again: the contents of the file are then uncertain, and a voter that continued could vote
// twice or lose acknowledged entries. Open reads the file and checks what it holds.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	bolt "go.etcd.io/bbolt"
)

const (
	// Version is the format version of the file and of each entry in it. Newer versions are rejected.
	Version = 1

	// File is the name of the bbolt file in the store's directory. It stays the same as in earlier versions, so that their
	// directories can be opened unchanged.
	File = "council.db"

	// SnapshotDir is the name of the directory of snapshots beside File.
	SnapshotDir = "snapshots"
	// LockFile is the name of the file that a process locks while it uses the directory.
	LockFile = "council.lock"

	// MaxSize is the maximum size of the file in bytes. Snapshots limit the log to about ten thousand entries, so the file
	// reaches MaxSize only if no snapshot can be written for a long time; then writes fail and this voter stops voting. With
	// twice the value, the disk is full first; with half, long bursts of large commands come close to the limit.
	MaxSize = 256 << 20

	// LockWait is how long Open waits for another process to release the lock. A longer wait only hides that two processes
	// were started in one directory; with a wait shorter than the shutdown of a process, a quick restart fails.
	LockWait = 3 * time.Second

	// SnapshotsRetained is the number of snapshots kept on disk: the newest, and the previous one in case the newest is torn.
	SnapshotsRetained = 2
)

// Errors of the store. All other errors wrap an error of the operating system or of bbolt.
var (
	ErrFailed = errors.New("store: an earlier write failed, all writes are rejected until the store is opened again")
	ErrTorn   = errors.New("store: the file is torn or damaged")
	ErrNewer  = errors.New("store: the file has a newer version")
)

var (
	bucketMeta    = []byte("meta")
	bucketLog     = []byte("log")
	bucketStable  = []byte("stable")
	keyVersion    = []byte("version")
	keyBounds     = []byte("ends")
	keyValueCount = []byte("values")
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
)

// Store implements raft.LogStore and raft.StableStore.
type Store struct {
	db      *bolt.DB
	dirLock *os.File // locked LockFile

	mu     sync.Mutex
	failed error // error of the first failed write
}

// Options configure a store. Only tests set them.
type Options struct {
	OpenFile func(name string, flag int, mode os.FileMode) (*os.File, error)
	MaxSize  int           // 0 means the constant MaxSize
	LockWait time.Duration // 0 means the constant LockWait
}

// Open opens the store in a directory, or creates it. It reads and checks an existing file completely and copies its contents
// to a new file, so that no part of the file without a checksum is trusted; this also reclaims the space of compacted entries.
// A file that is rejected with ErrTorn or ErrNewer is left unchanged.
func Open(dir string, o Options) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if o.MaxSize == 0 {
		o.MaxSize = MaxSize
	}
	if o.LockWait == 0 {
		o.LockWait = LockWait
	}
	dirLock, err := lockDir(filepath.Join(dir, LockFile), o.LockWait)
	if err != nil {
		return nil, err
	}
	s, err := open(dir, o)
	if err != nil {
		dirLock.Close()
		return nil, err
	}
	s.dirLock = dirLock
	return s, nil
}

func open(dir string, o Options) (*Store, error) {
	path, temporary := filepath.Join(dir, File), filepath.Join(dir, File+".new")
	missing, err := checkMetaPages(path)
	if err != nil {
		return nil, err
	}
	if err := os.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("store: %w", err)
	}
	s, err := openFile(temporary, o, false)
	if err != nil {
		return nil, err
	}
	err = s.write(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{bucketMeta, bucketLog, bucketStable} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return tx.Bucket(bucketMeta).Put(keyVersion, binary.BigEndian.AppendUint64(nil, Version))
	})
	if err == nil && !missing {
		var old *Store
		if old, err = openFile(path, o, true); err == nil {
			err = errors.Join(old.copyTo(s), old.Close())
		}
	}
	if err == nil {
		err = s.write(recordBounds)
	}
	if err = errors.Join(err, s.Close()); err != nil {
		return nil, err
	}
	if err := os.Rename(temporary, path); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if err := syncDir(dir); err != nil {
		return nil, err
	}
	return openFile(path, o, false)
}

// lockDir locks the directory for this process. It waits up to wait for another process to release it.
func lockDir(path string, wait time.Duration) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	for until := time.Now().Add(wait); ; time.Sleep(wait / 20) {
		if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return f, nil
		} else if !errors.Is(err, syscall.EWOULDBLOCK) || time.Now().After(until) {
			f.Close()
			return nil, fmt.Errorf("store: %s is in use by another process (%w)", path, err)
		}
	}
}

func openFile(path string, o Options, readOnly bool) (*Store, error) {
	s := &Store{}
	err := recoverFaults(func() (err error) {
		s.db, err = bolt.Open(path, 0o600, &bolt.Options{
			Timeout: o.LockWait, FreelistType: bolt.FreelistMapType, OpenFile: o.OpenFile, MaxSize: o.MaxSize, ReadOnly: readOnly,
		})
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("store: opening %s: %w", path, err)
	}
	return s, nil
}

// copyTo reads and checks the whole store and copies it to another one.
func (s *Store) copyTo(to *Store) error {
	return s.read(func(tx *bolt.Tx) error {
		meta, entries, stable := tx.Bucket(bucketMeta), tx.Bucket(bucketLog), tx.Bucket(bucketStable)
		if meta == nil || entries == nil || stable == nil {
			return fmt.Errorf("%w: a bucket is missing", ErrTorn)
		}
		v := meta.Get(keyVersion)
		if len(v) != 8 {
			return fmt.Errorf("%w: no version", ErrTorn)
		}
		if n := binary.BigEndian.Uint64(v); n != Version {
			return fmt.Errorf("%w: version %d, this program supports %d", ErrNewer, n, Version)
		}
		values := 0
		if err := stable.ForEach(func(k, v []byte) error {
			v, err := decodeValue(k, v)
			if err != nil {
				return err
			}
			values++
			return to.Set(append([]byte{}, k...), v)
		}); err != nil {
			return err
		}
		if n := meta.Get(keyValueCount); len(n) != 8 || binary.BigEndian.Uint64(n) != uint64(values) {
			return fmt.Errorf("%w: it holds %d values, the recorded count is %x", ErrTorn, values, n)
		}
		var first, last uint64
		var batch []*raft.Log
		flush := func() error {
			defer func() { batch = batch[:0] }()
			return to.StoreLogs(batch)
		}
		if err := entries.ForEach(func(k, v []byte) error {
			l := &raft.Log{}
			if err := decodeEntry(k, v, l); err != nil {
				return err
			}
			if last != 0 && l.Index != last+1 {
				return fmt.Errorf("%w: entry %d follows entry %d", ErrTorn, l.Index, last)
			}
			if first == 0 {
				first = l.Index
			}
			last = l.Index
			if batch = append(batch, l); len(batch) == 1000 {
				return flush()
			}
			return nil
		}); err != nil {
			return err
		}
		if noted := meta.Get(keyBounds); string(noted) != string(encodeBounds(first, last)) {
			return fmt.Errorf("%w: it holds entries %d to %d, the recorded bounds differ (%x)", ErrTorn, first, last, noted)
		}
		return flush()
	})
}

// encodeBounds encodes the indexes of the first and last entry. They are stored in the same transaction as the log, so that
// missing entries at either end are detected.
func encodeBounds(first, last uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, first), last)
}

// recordBounds stores the bounds of the log and the number of stable values. Counting the values is cheap: raft creates only a
// few.
func recordBounds(tx *bolt.Tx) error {
	c := tx.Bucket(bucketLog).Cursor()
	var first, last uint64
	if k, _ := c.First(); len(k) == 8 {
		first = binary.BigEndian.Uint64(k)
	}
	if k, _ := c.Last(); len(k) == 8 {
		last = binary.BigEndian.Uint64(k)
	}
	n := uint64(0)
	if err := tx.Bucket(bucketStable).ForEach(func(_, _ []byte) error { n++; return nil }); err != nil {
		return err
	}
	meta := tx.Bucket(bucketMeta)
	if err := meta.Put(keyValueCount, binary.BigEndian.AppendUint64(nil, n)); err != nil {
		return err
	}
	return meta.Put(keyBounds, encodeBounds(first, last))
}

// Failed returns the error of the first write that failed, or nil.
func (s *Store) Failed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// Close closes the file and releases the directory lock.
func (s *Store) Close() error {
	err := recoverFaults(s.db.Close)
	if s.dirLock != nil {
		err = errors.Join(err, s.dirLock.Close())
	}
	return err
}

// Size returns the size of the file in bytes.
func (s *Store) Size() (n int64) {
	_ = s.read(func(tx *bolt.Tx) error { n = tx.Size(); return nil })
	return n
}

func (s *Store) write(f func(tx *bolt.Tx) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return fmt.Errorf("%w (%v)", ErrFailed, s.failed)
	}
	if err := recoverFaults(func() error { return s.db.Update(f) }); err != nil {
		s.failed = err
		return fmt.Errorf("store: writing: %w", err)
	}
	return nil
}

func (s *Store) read(f func(tx *bolt.Tx) error) error {
	return recoverFaults(func() error { return s.db.View(f) })
}

// recoverFaults converts panics of bbolt and memory faults in its mapped file into errors. A damaged file or a failing disk can
// cause both.
func recoverFaults(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrTorn, r)
		}
	}()
	return f()
}

// Snapshots opens raft's file snapshot store in the same directory. It verifies the checksums of snapshots.
func Snapshots(dir string, log hclog.Logger) (*raft.FileSnapshotStore, error) {
	s, err := raft.NewFileSnapshotStoreWithLogger(dir, SnapshotsRetained, log)
	if err != nil {
		return nil, fmt.Errorf("store: snapshots: %w", err)
	}
	return s, nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}
