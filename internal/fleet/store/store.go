// Package store keeps the raft group's log and votes on disk: raft's log and stable store in one bbolt file, and its
// snapshots in files beside it. What it has acknowledged is on disk (an fsync for each write); what it cannot write it
// says, and from then on writes nothing more: after a failed write nobody knows what the file holds, and a voter
// that went on could vote twice or lose what it promised. Opened again, the file tells what it holds.
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
	// Version of the file and of each entry in it. A newer one is refused.
	Version = 1

	// File is the name of the log's file in its directory. It keeps the name that earlier versions wrote, so that
	// their directories are read as they are.
	File = "council.db"

	// SnapshotDir is the name of the folder of snapshots beside it.
	SnapshotDir = "snapshots"
	// LockFile is what a process holds while it has the directory.
	LockFile = "council.lock"

	// MaxSize is the most the file grows to, in bytes. Snapshots keep the log to some ten thousand entries, so it
	// is reached only if no snapshot can be written for long; then writes fail and this voter stops voting. Twice
	// as large: a full disk comes first; half: long bursts of large commands come near it.
	MaxSize = 256 << 20

	// LockWait is how long Open waits for another process to let go of the file. Longer only hides that two
	// processes were started in one directory; shorter than a process's end takes, a quick restart fails.
	LockWait = 3 * time.Second

	// SnapshotsRetained is how many snapshots stay on disk: the newest and the one before it, in case the newest is torn.
	SnapshotsRetained = 2
)

// Errors of the store. All others wrap what the disk said.
var (
	ErrFailed = errors.New("store: an earlier write failed, nothing more is written until it is opened again")
	ErrTorn   = errors.New("store: the file is torn or damaged")
	ErrNewer  = errors.New("store: the file is of a newer version")
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

// Store is raft.LogStore and raft.StableStore.
type Store struct {
	db      *bolt.DB
	dirLock *os.File // the lock of its directory

	mu     sync.Mutex
	failed error // the first failed write
}

// Options of a store that only tests set.
type Options struct {
	OpenFile func(name string, flag int, mode os.FileMode) (*os.File, error)
	MaxSize  int           // 0: MaxSize
	LockWait time.Duration // 0: LockWait
}

// Open opens or makes the store in a directory. What is there is read and checked as a whole and written anew (which
// also gives back the room of what was compacted), so nothing is believed of the file that has no sum. ErrTorn and ErrNewer
// say why one is refused, and it is left as it is.
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
	fresh, err := checkMetaPages(path)
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
	if err == nil && !fresh {
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

// lockDir takes the directory for this process, waiting up to wait for another to let it go.
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

// copyTo reads all of an old file, checks it, and writes it into a new one.
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
			return fmt.Errorf("%w: %d, this program knows %d", ErrNewer, n, Version)
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
			return fmt.Errorf("%w: it holds %d values and noted %x", ErrTorn, values, n)
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
				return fmt.Errorf("%w: entry %d after %d", ErrTorn, l.Index, last)
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
			return fmt.Errorf("%w: it holds entries %d to %d and noted others (%x)", ErrTorn, first, last, noted)
		}
		return flush()
	})
}

// ends notes the first and last entry beside the log, in the same write, so that a log cut short is seen.
func encodeBounds(first, last uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, first), last)
}

// recordBounds notes that, and how many values there are, which raft adds to once or twice.
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

// Failed is the first write that failed, or nil.
func (s *Store) Failed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// Close ends the use of the file.
func (s *Store) Close() error {
	err := recoverFaults(s.db.Close)
	if s.dirLock != nil {
		err = errors.Join(err, s.dirLock.Close())
	}
	return err
}

// Size is the file's size in bytes.
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

// guard makes errors of bbolt's panics and of faults in its mapped file, which a damaged file or a bad disk may raise.
func recoverFaults(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrTorn, r)
		}
	}()
	return f()
}

// Snapshots is raft's own store of snapshots in files, which checks their sums, in the same directory.
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
