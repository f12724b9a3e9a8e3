// Package completed caches a session's latest completed queries that must not run twice. A repeat of one of them is rejected at once,
// by the owner where it ran and by later owners, since hand-overs carry the cache. It holds queries that ran or may have run. A query
// that surely never ran is not in it and may be repeated. The package has no clock: callers pass times.
package completed

import (
	"encoding/binary"
	"time"
)

// MaxEntries is the maximum of queries in a record; the oldest are dropped first. A session has one open query at a time that is not
// safe, and its client usually repeats the newest. Each entry takes 16 bytes at the owner and 15 in a hand-over. With half as many,
// a client that repeats five queries at once may have one of them run twice.
const MaxEntries = 8

// TimeUnit is the resolution of stored times. They are rounded down, so that a window ends early rather than late.
const TimeUnit = 100 * time.Millisecond

// ID is a short hash of the id that a client gave its query, compared within one session. A collision of two ids has a probability of
// 1 in 2^48; it fails a query that could have run. The zero ID stands for no id.
type ID [6]byte

// IDOf returns the 64-bit FNV-1a hash of a query's id, folded to 48 bits; the zero ID for an empty id. It costs a tenth of a
// cryptographic hash, and a client that searches for a collision can only make its own queries fail.
func IDOf(requestID string) (id ID) {
	if requestID == "" {
		return id
	}
	h := uint64(14695981039346656037)
	for i := range len(requestID) {
		h = (h ^ uint64(requestID[i])) * 1099511628211
	}
	h = max((h^h>>48)<<16, 1<<16)
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], h)
	copy(id[:], raw[:])
	return id
}

// Outcome is how a query ended.
type Outcome uint8

// Outcomes of the queries in a record.
const (
	Served     Outcome = iota + 1 // answered, whether or not the client received the answer
	MayHaveRun                    // ended without an answer
)

// Entry is a completed query.
type Entry struct {
	ID        ID
	Outcome   Outcome
	Keyed     bool   // replicas drop a repeat until the window ends; if false they never do
	Seq       uint32 // lower bits of its sequence number in the session
	windowEnd uint32 // if Keyed: the end of the window by the local clock, in TimeUnits
}

// WithWindowEnd returns the entry as that of a keyed query whose window ends at that time of the local clock.
func (e Entry) WithWindowEnd(until time.Duration) Entry {
	e.Keyed, e.windowEnd = true, toTimeUnits(until)
	return e
}

func toTimeUnits(d time.Duration) uint32 { return uint32(min(max(d/TimeUnit, 0), 1<<32-1)) }

// WindowEnd returns the end of the window by the local clock.
func (e Entry) WindowEnd() time.Duration { return time.Duration(e.windowEnd) * TimeUnit }

// BlocksRepeat reports whether a repeat that may run until that time must not begin.
func (e Entry) BlocksRepeat(until time.Duration) bool { return !e.Keyed || until > e.WindowEnd() }

// Record holds the completed queries of a session, the oldest first.
type Record []Entry

// Find returns the entry of a query; false if there is none.
func (r Record) Find(id ID) (Entry, bool) {
	if id != (ID{}) {
		for i := len(r) - 1; i >= 0; i-- {
			if r[i].ID == id {
				return r[i], true
			}
		}
	}
	return Entry{}, false
}

// Add adds a query as the newest entry. An entry with the same ID is replaced; the new one is keyed only if both are, and gets the
// window that ends first.
func (r Record) Add(e Entry) Record {
	if e.ID == (ID{}) {
		return r
	}
	for i := range r {
		if old := r[i]; old.ID == e.ID {
			e.Keyed, e.windowEnd = e.Keyed && old.Keyed, min(e.windowEnd, old.windowEnd)
			if old.Outcome == Served {
				e.Outcome = Served
			}
			if !e.Keyed {
				e.windowEnd = 0
			}
			return append(append(r[:i], r[i+1:]...), e)
		}
	}
	if len(r) == MaxEntries {
		return append(append(r[:0], r[1:]...), e)
	}
	return append(r, e)
}

// ShiftWindows adds d to the ends of all windows.
func (r Record) ShiftWindows(d time.Duration) {
	for i := range r {
		if r[i].Keyed {
			r[i].windowEnd = toTimeUnits(r[i].WindowEnd() + d)
		}
	}
}
