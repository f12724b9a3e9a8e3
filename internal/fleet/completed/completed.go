// Package completed is the cache of a session's latest completed requests that must not run twice: a client that repeats
// one of them is told so at once, at the owner where it ran and at later owners, since a hand-over carries the cache. It holds
// requests that ran or may have run. One that surely never ran is not in it, and may come again. Pure: times come in.
package completed

import (
	"encoding/binary"
	"time"
)

// MaxEntries queries are remembered; the oldest go first. A session has one open query that is not safe at a time, and its client
// repeats the newest. Twice as many: 16 bytes more at the owner and 15 in a hand for each; half: a client that repeats five at once may have one run twice.
const MaxEntries = 8

// TimeUnit of the times that are kept, which are rounded down: a window ends early rather than late.
const TimeUnit = 100 * time.Millisecond

// ID is a short hash of the id that a client gave its query, among those of one session. Two ids of one hash, one in 2^48, cost a query that is
// failed and could have run. Zero for none.
type ID [6]byte

// IDOf is FNV-1a of 64 bits over a request's id, folded to 48; zero of an empty one. It costs a tenth of a cryptographic one, and a client that
// looks for two ids of one hash fails only a query of its own.
func IDOf(request string) (id ID) {
	if request == "" {
		return id
	}
	h := uint64(14695981039346656037)
	for i := range len(request) {
		h = (h ^ uint64(request[i])) * 1099511628211
	}
	h = max((h^h>>48)<<16, 1<<16)
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], h)
	copy(id[:], raw[:])
	return id
}

// Outcome a query ended that is remembered.
type Outcome uint8

// Outcomes that are remembered.
const (
	Served     Outcome = iota + 1 // with an answer, whether its client got it or not
	MayHaveRun                    // without
)

// Entry is one query.
type Entry struct {
	ID        ID
	Outcome   Outcome
	Keyed     bool   // a repeat is dropped at the replicas until its window ends; else never
	Seq       uint32 // its place in the session, the lower bits
	windowEnd uint32 // Keyed: the end of the window, in Units of the own clock
}

// WithWindowEnd gives an entry of a keyed query its window's end, by the own clock.
func (e Entry) WithWindowEnd(until time.Duration) Entry {
	e.Keyed, e.windowEnd = true, toTimeUnits(until)
	return e
}

func toTimeUnits(d time.Duration) uint32 { return uint32(min(max(d/TimeUnit, 0), 1<<32-1)) }

// WindowEnd is the end of the window, by the own clock.
func (e Entry) WindowEnd() time.Duration { return time.Duration(e.windowEnd) * TimeUnit }

// BlocksRepeat says that a repeat must not begin which may run until that time.
func (e Entry) BlocksRepeat(until time.Duration) bool { return !e.Keyed || until > e.WindowEnd() }

// Record of a session, the oldest first.
type Record []Entry

// Find gives what is remembered of a query.
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

// Add remembers a query as the newest. Of one that is there already the worse is kept: that it is not keyed, and the window that ends first.
func (r Record) Add(e Entry) Record {
	if e.ID == (ID{}) {
		return r
	}
	for i := range r {
		if b := r[i]; b.ID == e.ID {
			e.Keyed, e.windowEnd = e.Keyed && b.Keyed, min(e.windowEnd, b.windowEnd)
			if b.Outcome == Served {
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

// ShiftWindows moves the windows' ends, as if the own clock had shown d more.
func (r Record) ShiftWindows(d time.Duration) {
	for i := range r {
		if r[i].Keyed {
			r[i].windowEnd = toTimeUnits(r[i].WindowEnd() + d)
		}
	}
}
