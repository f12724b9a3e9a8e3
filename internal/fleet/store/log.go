package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"time"

	"github.com/hashicorp/raft"
	bolt "go.etcd.io/bbolt"
)

// Format of an entry on disk, with sizes in bytes. Its key is the index in 8 bytes, big endian, so that bbolt keeps entries in
// log order.
//
//	version 1 | type 1 | term 8 | append time, ns since the Unix epoch, 8 | length of extensions 4 | extensions | data | CRC 4
//
// The CRC covers key and value, so an entry stored under a wrong index is rejected as well.
const entryHeaderSize = 1 + 1 + 8 + 8 + 4

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func encodeEntry(l *raft.Log) []byte {
	b := make([]byte, 0, entryHeaderSize+len(l.Extensions)+len(l.Data)+4)
	b = append(b, Version, byte(l.Type))
	b = binary.BigEndian.AppendUint64(b, l.Term)
	at := int64(0)
	if !l.AppendedAt.IsZero() {
		at = l.AppendedAt.UnixNano()
	}
	b = binary.BigEndian.AppendUint64(b, uint64(at))
	b = binary.BigEndian.AppendUint32(b, uint32(len(l.Extensions)))
	b = append(b, l.Extensions...)
	b = append(b, l.Data...)
	return binary.BigEndian.AppendUint32(b, crc32.Update(crc32.Checksum(indexKey(l.Index), castagnoli), castagnoli, b))
}

// decodeEntry checks and decodes an entry. It copies the data because bbolt returns slices of its mapped file.
func decodeEntry(k, v []byte, l *raft.Log) error {
	if len(k) != 8 || len(v) < entryHeaderSize+4 {
		return fmt.Errorf("%w: an entry has only %d bytes or a key of the wrong length", ErrTorn, len(v))
	}
	index, body := binary.BigEndian.Uint64(k), v[:len(v)-4]
	if crc32.Update(crc32.Checksum(k, castagnoli), castagnoli, body) != binary.BigEndian.Uint32(v[len(v)-4:]) {
		return fmt.Errorf("%w: the checksum of entry %d is wrong", ErrTorn, index)
	}
	if v[0] != Version {
		return fmt.Errorf("%w: entry %d has version %d, this program supports %d", ErrNewer, index, v[0], Version)
	}
	ext := int(binary.BigEndian.Uint32(body[18:]))
	if ext > len(body)-entryHeaderSize {
		return fmt.Errorf("%w: the extensions of entry %d exceed its size", ErrTorn, index)
	}
	*l = raft.Log{Index: index, Term: binary.BigEndian.Uint64(body[2:]), Type: raft.LogType(body[1])}
	if at := int64(binary.BigEndian.Uint64(body[10:])); at != 0 {
		l.AppendedAt = time.Unix(0, at)
	}
	l.Extensions = append(l.Extensions, body[entryHeaderSize:entryHeaderSize+ext]...)
	l.Data = append(l.Data, body[entryHeaderSize+ext:]...)
	return nil
}

func (s *Store) boundaryIndex(first bool) (index uint64, err error) {
	err = s.read(func(tx *bolt.Tx) error {
		c := tx.Bucket(bucketLog).Cursor()
		var k []byte
		if first {
			k, _ = c.First()
		} else {
			k, _ = c.Last()
		}
		if len(k) == 8 {
			index = binary.BigEndian.Uint64(k)
		}
		return nil
	})
	return index, err
}

// FirstIndex returns the index of the first log entry, or 0 if the log is empty.
func (s *Store) FirstIndex() (uint64, error) { return s.boundaryIndex(true) }

// LastIndex returns the index of the last log entry, or 0 if the log is empty.
func (s *Store) LastIndex() (uint64, error) { return s.boundaryIndex(false) }

// GetLog reads one entry. It returns raft.ErrLogNotFound if there is none, and ErrTorn if its checksum is wrong.
func (s *Store) GetLog(index uint64, l *raft.Log) error {
	return s.read(func(tx *bolt.Tx) error {
		k := indexKey(index)
		v := tx.Bucket(bucketLog).Get(k)
		if v == nil {
			return raft.ErrLogNotFound
		}
		return decodeEntry(k, v, l)
	})
}

// StoreLog writes one entry.
func (s *Store) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes all of the entries or none. When it returns nil, they are on disk.
func (s *Store) StoreLogs(logs []*raft.Log) error {
	return s.write(func(tx *bolt.Tx) error {
		b := tx.Bucket(bucketLog)
		b.FillPercent = 0.9 // keys are appended in increasing order
		last := uint64(0)
		if k, _ := b.Cursor().Last(); len(k) == 8 {
			last = binary.BigEndian.Uint64(k)
		}
		for _, l := range logs {
			if last != 0 && l.Index != last+1 {
				return fmt.Errorf("entry %d does not follow %d", l.Index, last)
			}
			if err := b.Put(indexKey(l.Index), encodeEntry(l)); err != nil {
				return err
			}
			last = l.Index
		}
		return recordBounds(tx)
	})
}

// DeleteRange removes the entries from low to high, both included. Raft calls it to compact the log, and to remove a tail that
// conflicts with the leader's log.
func (s *Store) DeleteRange(low, high uint64) error {
	return s.write(func(tx *bolt.Tx) error {
		c := tx.Bucket(bucketLog).Cursor()
		for k, _ := c.Seek(indexKey(low)); len(k) == 8 && binary.BigEndian.Uint64(k) <= high; k, _ = c.Seek(indexKey(low)) {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return recordBounds(tx)
	})
}

// IsMonotonic tells raft that this store accepts no gaps in the log. Raft therefore empties the log after it installs a
// snapshot from the leader.
func (s *Store) IsMonotonic() bool { return true }

// Set writes one of raft's persistent values, such as its last vote.
func (s *Store) Set(k, v []byte) error {
	sum := crc32.Update(crc32.Checksum(k, castagnoli), castagnoli, v)
	return s.write(func(tx *bolt.Tx) error {
		if err := tx.Bucket(bucketStable).Put(k, binary.BigEndian.AppendUint32(append([]byte{Version}, v...), sum)); err != nil {
			return err
		}
		return recordBounds(tx)
	})
}

// Get reads one value. It returns an empty value if there is none, as raft expects.
func (s *Store) Get(k []byte) (out []byte, err error) {
	err = s.read(func(tx *bolt.Tx) error {
		v := tx.Bucket(bucketStable).Get(k)
		if v == nil {
			return nil
		}
		out, err = decodeValue(k, v)
		return err
	})
	return out, err
}

// decodeValue checks and copies a value written by Set.
func decodeValue(k, v []byte) ([]byte, error) {
	if len(v) < 5 {
		return nil, fmt.Errorf("%w: value %q is too short", ErrTorn, k)
	}
	body := v[1 : len(v)-4]
	if crc32.Update(crc32.Checksum(k, castagnoli), castagnoli, body) != binary.BigEndian.Uint32(v[len(v)-4:]) {
		return nil, fmt.Errorf("%w: the checksum of value %q is wrong", ErrTorn, k)
	}
	if v[0] != Version {
		return nil, fmt.Errorf("%w: value %q has version %d", ErrNewer, k, v[0])
	}
	return append([]byte{}, body...), nil
}

// SetUint64 writes one of raft's persistent numbers, such as its term.
func (s *Store) SetUint64(k []byte, n uint64) error {
	return s.Set(k, binary.BigEndian.AppendUint64(nil, n))
}

// GetUint64 reads one number. It returns 0 if there is none.
func (s *Store) GetUint64(k []byte) (uint64, error) {
	v, err := s.Get(k)
	if err != nil || len(v) == 0 {
		return 0, err
	}
	if len(v) != 8 {
		return 0, fmt.Errorf("%w: number %q has %d bytes", ErrTorn, k, len(v))
	}
	return binary.BigEndian.Uint64(v), nil
}
