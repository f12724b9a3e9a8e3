package completed

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// Version of the form in which a hand-over carries a record. What is of another one is refused: a target that can't read
// what it is handed declines it.
const Version = 1

// ErrVersion is wrapped when a record is of a form that is not known here.
var ErrVersion = errors.New("unknown version of a record of queries")

const (
	flagKeyed     = 1 << 7
	maxEntryBytes = len(ID{}) + 1 + 2*binary.MaxVarintLen64
)

// Save writes the newest entries that fit into that many bytes, for a session that began seq queries, with times that are ahead
// of the own clock by so much. One without entries is nothing.
//
//	version, entries, then of each, the oldest first: id, how, how far behind seq, and of a keyed one its window's end in Units
func (r Record) Save(seq uint64, ahead time.Duration, most int) []byte {
	for skip := 0; skip < len(r); skip++ {
		out := make([]byte, 0, 2+len(r)*maxEntryBytes)
		out = append(out, Version, byte(len(r)-skip))
		for _, e := range r[skip:] {
			how := byte(e.Outcome)
			if e.Keyed {
				how |= flagKeyed
			}
			out = append(append(out, e.ID[:]...), how)
			out = binary.AppendUvarint(out, uint64(uint32(seq)-e.Seq))
			if e.Keyed {
				out = binary.AppendUvarint(out, uint64(max((e.WindowEnd()+ahead)/TimeUnit, 0)))
			}
		}
		if len(out) <= most {
			return out
		}
	}
	return nil
}

// Load reads what Save wrote, of a session that began seq queries, or says what is wrong with it. Times are ahead of the own clock by so much.
func Load(raw []byte, seq uint64, ahead time.Duration) (Record, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	if raw[0] != Version {
		return nil, fmt.Errorf("%w: %d, known is %d", ErrVersion, raw[0], Version)
	}
	if len(raw) < 2 || raw[1] == 0 || int(raw[1]) > MaxEntries {
		return nil, fmt.Errorf("a record of queries is torn, or has more than %d", MaxEntries)
	}
	n, before := int(raw[1]), uint64(1<<32)
	raw = raw[2:]
	number := func() (uint64, bool) {
		v, k := binary.Uvarint(raw)
		if k <= 0 {
			return 0, false
		}
		raw = raw[k:]
		return v, true
	}
	r := make(Record, 0, n)
	for range n {
		var e Entry
		if len(raw) < len(e.ID)+1 {
			return nil, errors.New("a record of queries is torn")
		}
		copy(e.ID[:], raw)
		how := raw[len(e.ID)]
		raw = raw[len(e.ID)+1:]
		e.Outcome, e.Keyed = Outcome(how&^flagKeyed), how&flagKeyed != 0
		back, ok := number()
		switch _, twice := r.Find(e.ID); {
		case !ok:
			return nil, errors.New("a record of queries is torn")
		case e.ID == ID{} || twice:
			return nil, fmt.Errorf("a record of queries has %x twice, or as none's", e.ID)
		case e.Outcome != Served && e.Outcome != MayHaveRun:
			return nil, fmt.Errorf("a record of queries has one that ended as %d", e.Outcome)
		case back >= before || back >= seq:
			return nil, fmt.Errorf("a record of queries has one %d behind %d after one %d behind it", back, seq, before)
		}
		before, e.Seq = back, uint32(seq-back)
		if e.Keyed {
			end, ok := number()
			if !ok || end > uint64(1<<62/TimeUnit) {
				return nil, errors.New("a record of queries is torn, or has a window without an end")
			}
			e.windowEnd = toTimeUnits(time.Duration(end)*TimeUnit - ahead)
		}
		r = append(r, e)
	}
	if len(raw) > 0 {
		return nil, fmt.Errorf("a record of queries has %d bytes too many", len(raw))
	}
	return r, nil
}
