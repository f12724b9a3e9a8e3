package completed

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// Version is the version of the encoding in which hand-overs carry a record. Load rejects other versions; a target that can't read a
// record declines the session.
const Version = 1

// ErrVersion is wrapped if a record has an unknown version.
var ErrVersion = errors.New("unknown version of a record of queries")

const (
	flagKeyed     = 1 << 7
	maxEntryBytes = len(ID{}) + 1 + 2*binary.MaxVarintLen64
)

// Save encodes the newest entries that fit into maxBytes, for a session that has begun seq queries. clockOffset is added to the ends
// of windows, which are times of the local clock. It returns nil if there is no entry or none fits.
//
// The encoding is the version, the number of entries, and for each entry, the oldest first: its ID, its outcome with flagKeyed, the
// difference of seq and its sequence number, and if it is keyed the end of its window in TimeUnits.
func (r Record) Save(seq uint64, clockOffset time.Duration, maxBytes int) []byte {
	for skip := 0; skip < len(r); skip++ {
		out := make([]byte, 0, 2+len(r)*maxEntryBytes)
		out = append(out, Version, byte(len(r)-skip))
		for _, e := range r[skip:] {
			outcome := byte(e.Outcome)
			if e.Keyed {
				outcome |= flagKeyed
			}
			out = append(append(out, e.ID[:]...), outcome)
			out = binary.AppendUvarint(out, uint64(uint32(seq)-e.Seq))
			if e.Keyed {
				out = binary.AppendUvarint(out, uint64(max((e.WindowEnd()+clockOffset)/TimeUnit, 0)))
			}
		}
		if len(out) <= maxBytes {
			return out
		}
	}
	return nil
}

// Load decodes the result of Save for a session that has begun seq queries. clockOffset is subtracted from the ends of windows.
func Load(data []byte, seq uint64, clockOffset time.Duration) (Record, error) {
	if len(data) == 0 {
		return nil, nil
	}
	if data[0] != Version {
		return nil, fmt.Errorf("%w: %d, known is %d", ErrVersion, data[0], Version)
	}
	if len(data) < 2 || data[1] == 0 || int(data[1]) > MaxEntries {
		return nil, fmt.Errorf("a record of queries is truncated, or has no entries or more than %d", MaxEntries)
	}
	n, previousBehind := int(data[1]), uint64(1<<32)
	data = data[2:]
	readUvarint := func() (uint64, bool) {
		v, k := binary.Uvarint(data)
		if k <= 0 {
			return 0, false
		}
		data = data[k:]
		return v, true
	}
	r := make(Record, 0, n)
	for range n {
		var e Entry
		if len(data) < len(e.ID)+1 {
			return nil, errors.New("a record of queries is truncated")
		}
		copy(e.ID[:], data)
		outcome := data[len(e.ID)]
		data = data[len(e.ID)+1:]
		e.Outcome, e.Keyed = Outcome(outcome&^flagKeyed), outcome&flagKeyed != 0
		behind, ok := readUvarint()
		switch _, duplicate := r.Find(e.ID); {
		case !ok:
			return nil, errors.New("a record of queries is truncated")
		case e.ID == ID{} || duplicate:
			return nil, fmt.Errorf("a record of queries has ID %x twice, or an empty ID", e.ID)
		case e.Outcome != Served && e.Outcome != MayHaveRun:
			return nil, fmt.Errorf("a record of queries has an entry with unknown outcome %d", e.Outcome)
		case behind >= previousBehind || behind >= seq:
			return nil, fmt.Errorf("a record of queries is out of order: an entry %d behind %d after one %d behind it", behind, seq, previousBehind)
		}
		previousBehind, e.Seq = behind, uint32(seq-behind)
		if e.Keyed {
			end, ok := readUvarint()
			if !ok || end > uint64(1<<62/TimeUnit) {
				return nil, errors.New("a record of queries is truncated, or has an invalid window end")
			}
			e.windowEnd = toTimeUnits(time.Duration(end)*TimeUnit - clockOffset)
		}
		r = append(r, e)
	}
	if len(data) > 0 {
		return nil, fmt.Errorf("a record of queries has %d bytes too many", len(data))
	}
	return r, nil
}
