package session

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"
	"unique"

	"birchcart/internal/fleet/pool"
	"birchcart/internal/fleet/statemachine"
)

const (
	// Version of what is saved. Another one is refused in words.
	Version = 1
	// SessionsMost in a book, whatever the operators' file says: a snapshot of so many has some 45 MB.
	SessionsMost = 1_000_000
	// FlightMost sessions offered or handed at once, whatever the operators' file says: a hand carries StateMost at most,
	// so that the states of all have 10 MB. Twice as many are no use: that many moves take minutes by any PerMinute.
	FlightMost = 10_000
	// StateMost bytes in what a hand carries.
	StateMost = 1 << 10
	// PerMinuteMost offers a minute.
	PerMinuteMost = 1_000_000
	// Minute is the window of PerMinute, counted by whole seconds and one more.
	Minute = time.Minute
	// Remember is how long it is kept how a session ended. It is the state machine's time for ids, so that a claim which comes
	// later than that is stale there. Half: a late claim may need a second look at the epoch, and a client that comes
	// back after 5 minutes is told nothing of the end. Twice: twice the memory.
	Remember = statemachine.IDRetention
	// EndedMost ends are kept. The oldest goes first: its client is told nothing then, and its epoch counts for all that
	// are not known (Book.over). A release of a co-ordinator with 60,000 sessions fits in.
	EndedMost = 65_536
	// NamesMost co-ordinators are known: of the fleet, and of what was in it within Remember.
	NamesMost = 4_096
	// NameMost bytes in a name.
	NameMost = pool.NameMost
	// WhyMost bytes in a reason. Longer ones are cut.
	WhyMost = 120
	// ActsMost acts, or parts of a plan, in one command.
	ActsMost = 10_000
	// TimeMost of a limit that is a time.
	TimeMost = 24 * time.Hour
	// EpochGap is left between the epochs of two eras: what was claimed and moved after the copy that a raft group is set
	// up from is not known here. A session would have to change its owner a million times in between to reach it.
	EpochGap = 1 << 20
	// RefusedMost refusals of one command are kept in words; the rest is counted.
	RefusedMost = 8
)

// live is a session that is owned; by its ID in the book. What a move adds is kept apart, in flight.
type live struct {
	epoch uint64
	seq   uint64
	since time.Duration
	owner uint16 // in Book.names
	phase Phase
	lane  uint8
}

// flight is what is known of a session that is offered or handed.
type flight struct {
	From     string        // its owner when it was offered
	To       string        // who it was offered to
	Epoch    uint64        // when it was offered
	Fence    uint64        // of the offer
	Until    time.Duration // of the offer; handed, and handed back: of that
	Revision int           // of the limits that the offer was checked against
	Source   string        // handed: who gets it back
	State    []byte        // handed
	Hand     *word         // handed: the word of it
}

// word is the evidence of a hand, for Check.
type word struct {
	By    string
	Epoch uint64
	Fence uint64
}

// ended is how a session ended.
type ended struct {
	epoch, seq uint64
	at         time.Duration
	why        unique.Handle[string]
	n          uint64 // its place in Book.ends
}

// name is a co-ordinator that owns or owned something.
type name struct {
	name     string
	owned    int
	heard    time.Duration // its last act that was not refused; 0: none
	released time.Duration // its last release; 0: none
	known    time.Duration // the later of both, and of when it was entered
}

// second counts the offers in one second of agreed time.
type second struct {
	At time.Duration `json:"at"`
	N  int           `json:"n"`
}

// Book is the agreed state. The zero value is of no use; New makes one. Not for two goroutines at once, not even to read.
type Book struct {
	now      time.Duration
	limits   Limits
	limitsAt time.Duration
	quiet    time.Duration // of a new era: nothing is claimed or moved before
	fence    uint64        // the highest number of an offer or a transfer

	live    map[ID]live
	flights map[ID]flight
	next    time.Duration // no flight ends before
	names   []name
	byName  map[string]uint16
	offers  []second // of the last minute, by time

	ended map[ID]ended
	ends  []ID   // in order of their end; one that was claimed since is in ended no more, or with another place
	first uint64 // the place of ends[0]
	over  uint64 // the highest epoch of those that are forgotten: the next of one that is not known is higher

	pool *pool.Pool

	refused []string // by the last command, no part of the state
	refusal int
}

// New makes an empty book. Nothing is claimed in it before there are limits.
func New() *Book {
	return &Book{
		live: map[ID]live{}, flights: map[ID]flight{}, byName: map[string]uint16{}, ended: map[ID]ended{}, pool: pool.New(),
		next: statemachine.MaxTime,
	}
}

// Clone is an independent copy: some 100 bytes a session.
func (b *Book) Clone() *Book {
	n := *b
	n.live, n.flights, n.byName, n.ended = maps.Clone(b.live), maps.Clone(b.flights), maps.Clone(b.byName), maps.Clone(b.ended)
	n.names, n.offers, n.ends = slices.Clone(b.names), slices.Clone(b.offers), slices.Clone(b.ends)
	n.pool, n.refused = b.pool.Clone(), slices.Clone(b.refused)
	n.limits.Caps = maps.Clone(b.limits.Caps)
	return &n
}

// Get gives a session that is owned. Of one that is free it gives false and what is still known: Epoch, which a claim has
// to name, and, for Remember after its end, Seq and Why.
func (b *Book) Get(id ID) (Record, bool) {
	if l, ok := b.live[id]; ok {
		return b.record(id, l), true
	}
	if e, ok := b.ended[id]; ok {
		return Record{ID: id, Epoch: e.epoch, Seq: e.seq, Since: e.at, Why: e.why.Value()}, false
	}
	return Record{ID: id, Epoch: b.over}, false
}

func (b *Book) record(id ID, l live) Record {
	r := Record{ID: id, Owner: b.names[l.owner].name, Epoch: l.epoch, Phase: l.phase, Seq: l.seq, Lane: l.lane, Since: l.since}
	if l.phase != Pinned {
		f := b.flights[id]
		r.Fence, r.Until = f.Fence, f.Until
		if l.phase == Offered {
			r.To = f.To
		} else {
			r.Source, r.State = f.Source, f.State
		}
	}
	return r
}

// Len is how many sessions are owned.
func (b *Book) Len() int { return len(b.live) }

// Owned is how many sessions co owns, those handed to it included.
func (b *Book) Owned(co string) int {
	if i, ok := b.byName[co]; ok {
		return b.names[i].owned
	}
	return 0
}

// Moving is how many sessions are offered or handed.
func (b *Book) Moving() int { return len(b.flights) }

// MovesOf says that a session is on its way from co, to it, or back.
func (b *Book) MovesOf(co string) bool {
	for id, f := range b.flights {
		l := b.live[id]
		if b.names[l.owner].name == co || l.phase == Offered && f.To == co || l.phase == Handed && f.Source == co {
			return true
		}
	}
	return false
}

// Begun is how many offers count against PerMinute now.
func (b *Book) Begun() int {
	n := 0
	for _, s := range b.offers {
		if s.At+Minute >= b.now-b.now%time.Second {
			n += s.N
		}
	}
	return n
}

// Now is the agreed time that the book was last told.
func (b *Book) Now() time.Duration { return b.now }

// Quiet is the agreed time before which nothing is claimed or moved, since the era is new.
func (b *Book) Quiet() time.Duration { return b.quiet }

// Pool is the state of the slots, to be read.
func (b *Book) Pool() *pool.Pool { return b.pool }

// Limits in force, and their revision; 0 as long as there are none.
func (b *Book) Limits() (Limits, int) { return b.limits, b.limits.Revision }

// Refused tells what the last command would have done and may not, each in words, RefusedMost of them, and how many in
// all. It is no part of the state.
func (b *Book) Refused() ([]string, int) { return b.refused, b.refusal }

// All gives every session that is owned, by its id.
func (b *Book) All(yield func(Record) bool) { b.each(yield, func(live) bool { return true }) }

// ByOwner gives the sessions that co owns, by their id.
func (b *Book) ByOwner(co string, yield func(Record) bool) {
	if i, ok := b.byName[co]; ok && b.names[i].owned > 0 {
		b.each(yield, func(l live) bool { return l.owner == i })
	}
}

// Flights gives the sessions that are offered or handed, by their id.
func (b *Book) Flights(yield func(Record) bool) {
	for _, id := range sorted(b.flights) {
		if !yield(b.record(id, b.live[id])) {
			return
		}
	}
}

func (b *Book) each(yield func(Record) bool, which func(live) bool) {
	var ids []ID
	for id, l := range b.live {
		if which(l) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y ID) int { return bytes.Compare(x[:], y[:]) })
	for _, id := range ids {
		if !yield(b.record(id, b.live[id])) {
			return
		}
	}
}

func sorted[V any](m map[ID]V) []ID {
	ids := make([]ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(x, y ID) int { return bytes.Compare(x[:], y[:]) })
	return ids
}

// named finds or enters a co-ordinator. One that owns nothing and was not heard of for Remember makes room.
func (b *Book) named(co string) (uint16, error) {
	if i, ok := b.byName[co]; ok {
		if b.gone(int(i)) {
			b.names[i] = name{name: co, known: b.now}
		}
		return i, nil
	}
	if co == "" || len(co) > NameMost {
		return 0, fmt.Errorf("a co-ordinator's name has 1 to %d bytes, not %d", NameMost, len(co))
	}
	at := len(b.names)
	for i := range b.names {
		if b.gone(i) {
			at = i
			break
		}
	}
	switch {
	case at == NamesMost:
		return 0, fmt.Errorf("%d co-ordinators are known, no more are allowed", NamesMost)
	case at == len(b.names):
		b.names = append(b.names, name{})
	default:
		delete(b.byName, b.names[at].name)
	}
	b.names[at] = name{name: co, known: b.now}
	b.byName[co] = uint16(at)
	return uint16(at), nil
}

// gone says that a co-ordinator is forgotten: it owns nothing, and nothing was heard of it for Remember.
func (b *Book) gone(i int) bool { return b.names[i].owned == 0 && b.names[i].known < b.now-Remember }
