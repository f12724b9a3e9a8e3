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
	// MaxSessions in a book, whatever the operators' file says: a snapshot of so many has some 45 MB.
	MaxSessions = 1_000_000
	// MaxInFlight sessions offered or handed at once, whatever the operators' file says: a hand carries MaxStateBytes at most,
	// so that the states of all have 10 MB. Twice as many are no use: that many moves take minutes by any PerMinute.
	MaxInFlight = 10_000
	// MaxStateBytes bytes in what a hand carries.
	MaxStateBytes = 1 << 10
	// MaxOffersPerMinute offers a minute.
	MaxOffersPerMinute = 1_000_000
	// OfferWindow is the window of PerMinute, counted by whole seconds and one more.
	OfferWindow = time.Minute
	// EndRetention is how long it is kept how a session ended. It is the state machine's time for ids, so that a claim which comes
	// later than that is stale there. Half: a late claim may need a second look at the epoch, and a client that comes
	// back after 5 minutes is told nothing of the end. Twice: twice the memory.
	EndRetention = statemachine.IDRetention
	// MaxEnds ends are kept. The oldest goes first: its client is told nothing then, and its epoch counts for all that
	// are not known (Book.over). A release of a co-ordinator with 60,000 sessions fits in.
	MaxEnds = 65_536
	// MaxCoordinators co-ordinators are known: of the fleet, and of what was in it within Remember.
	MaxCoordinators = 4_096
	// MaxNameBytes bytes in a name.
	MaxNameBytes = pool.NameMost
	// MaxReasonBytes bytes in a reason. Longer ones are cut.
	MaxReasonBytes = 120
	// MaxActs acts, or parts of a plan, in one command.
	MaxActs = 10_000
	// MaxLimitDuration of a limit that is a time.
	MaxLimitDuration = 24 * time.Hour
	// EpochGap is left between the epochs of two eras: what was claimed and moved after the copy that a raft group is set
	// up from is not known here. A session would have to change its owner a million times in between to reach it.
	EpochGap = 1 << 20
	// MaxRefusals refusals of one command are kept in words; the rest is counted.
	MaxRefusals = 8
)

// live is a session that is owned; by its ID in the book. What a move adds is kept apart, in flight.
type ownedSession struct {
	epoch uint64
	seq   uint64
	since time.Duration
	owner uint16 // in Book.names
	phase Phase
	lane  uint8
}

// flight is what is known of a session that is offered or handed.
type move struct {
	From     string            // its owner when it was offered
	To       string            // who it was offered to
	Epoch    uint64            // when it was offered
	Fence    uint64            // of the offer
	Until    time.Duration     // of the offer; handed, and handed back: of that
	Revision int               // of the limits that the offer was checked against
	Source   string            // handed: who gets it back
	State    []byte            // handed
	Hand     *handOverEvidence // handed: the word of it
}

// word is the evidence of a hand, for Check.
type handOverEvidence struct {
	By    string
	Epoch uint64
	Fence uint64
}

// ended is how a session ended.
type endedSession struct {
	epoch, seq uint64
	at         time.Duration
	reason     unique.Handle[string]
	position   uint64 // its place in Book.ends
}

// name is a co-ordinator that owns or owned something.
type coordinator struct {
	name        string
	owned       int
	lastActAt   time.Duration // its last act that was not refused; 0: none
	releasedAt  time.Duration // its last release; 0: none
	lastKnownAt time.Duration // the later of both, and of when it was entered
}

// second counts the offers in one second of agreed time.
type offerCount struct {
	At time.Duration `json:"at"`
	N  int           `json:"n"`
}

// State is the agreed state. The zero value is of no use; New makes one. Not for two goroutines at once, not even to read.
type State struct {
	now          time.Duration
	limits       Limits
	limitsAt     time.Duration
	blockedUntil time.Duration // of a new era: nothing is claimed or moved before
	fence        uint64        // the highest number of an offer or a transfer

	sessions     map[ID]ownedSession
	moves        map[ID]move
	nextExpiry   time.Duration // no flight ends before
	coordinators []coordinator
	indexByName  map[string]uint16
	offerCounts  []offerCount // of the last minute, by time

	ended             map[ID]endedSession
	endOrder          []ID   // in order of their end; one that was claimed since is in ended no more, or with another place
	firstPosition     uint64 // the place of ends[0]
	maxForgottenEpoch uint64 // the highest epoch of those that are forgotten: the next of one that is not known is higher

	pool *pool.Pool

	refusals     []string // by the last command, no part of the state
	refusalCount int
}

// New makes an empty book. Nothing is claimed in it before there are limits.
func New() *State {
	return &State{
		sessions: map[ID]ownedSession{}, moves: map[ID]move{}, indexByName: map[string]uint16{}, ended: map[ID]endedSession{}, pool: pool.New(),
		nextExpiry: statemachine.MaxTime,
	}
}

// Clone is an independent copy: some 100 bytes a session.
func (s *State) Clone() *State {
	n := *s
	n.sessions, n.moves, n.indexByName, n.ended = maps.Clone(s.sessions), maps.Clone(s.moves), maps.Clone(s.indexByName), maps.Clone(s.ended)
	n.coordinators, n.offerCounts, n.endOrder = slices.Clone(s.coordinators), slices.Clone(s.offerCounts), slices.Clone(s.endOrder)
	n.pool, n.refusals = s.pool.Clone(), slices.Clone(s.refusals)
	n.limits.Caps = maps.Clone(s.limits.Caps)
	return &n
}

// Get gives a session that is owned. Of one that is free it gives false and what is still known: Epoch, which a claim has
// to name, and, for Remember after its end, Seq and Why.
func (s *State) Get(id ID) (Record, bool) {
	if l, ok := s.sessions[id]; ok {
		return s.record(id, l), true
	}
	if e, ok := s.ended[id]; ok {
		return Record{ID: id, Epoch: e.epoch, Seq: e.seq, Since: e.at, Reason: e.reason.Value()}, false
	}
	return Record{ID: id, Epoch: s.maxForgottenEpoch}, false
}

func (s *State) record(id ID, l ownedSession) Record {
	r := Record{ID: id, Owner: s.coordinators[l.owner].name, Epoch: l.epoch, Phase: l.phase, Seq: l.seq, Lane: l.lane, Since: l.since}
	if l.phase != Pinned {
		m := s.moves[id]
		r.Fence, r.Until = m.Fence, m.Until
		if l.phase == Offered {
			r.To = m.To
		} else {
			r.Source, r.State = m.Source, m.State
		}
	}
	return r
}

// Len is how many sessions are owned.
func (s *State) Len() int { return len(s.sessions) }

// Owned is how many sessions co owns, those handed to it included.
func (s *State) Owned(co string) int {
	if i, ok := s.indexByName[co]; ok {
		return s.coordinators[i].owned
	}
	return 0
}

// Moving is how many sessions are offered or handed.
func (s *State) Moving() int { return len(s.moves) }

// HasMoves says that a session is on its way from co, to it, or back.
func (s *State) HasMoves(co string) bool {
	for id, f := range s.moves {
		l := s.sessions[id]
		if s.coordinators[l.owner].name == co || l.phase == Offered && f.To == co || l.phase == HandedOver && f.Source == co {
			return true
		}
	}
	return false
}

// RecentOffers is how many offers count against PerMinute now.
func (s *State) RecentOffers() int {
	n := 0
	for _, count := range s.offerCounts {
		if count.At+OfferWindow >= s.now-s.now%time.Second {
			n += count.N
		}
	}
	return n
}

// Now is the agreed time that the book was last told.
func (s *State) Now() time.Duration { return s.now }

// BlockedUntil is the agreed time before which nothing is claimed or moved, since the era is new.
func (s *State) BlockedUntil() time.Duration { return s.blockedUntil }

// Pool is the state of the slots, to be read.
func (s *State) Pool() *pool.Pool { return s.pool }

// Limits in force, and their revision; 0 as long as there are none.
func (s *State) Limits() (Limits, int) { return s.limits, s.limits.Revision }

// Refusals tells what the last command would have done and may not, each in words, MaxRefusals of them, and how many in
// all. It is no part of the state.
func (s *State) Refusals() ([]string, int) { return s.refusals, s.refusalCount }

// All gives every session that is owned, by its id.
func (s *State) All(yield func(Record) bool) {
	s.eachMatching(yield, func(ownedSession) bool { return true })
}

// ByOwner gives the sessions that co owns, by their id.
func (s *State) ByOwner(co string, yield func(Record) bool) {
	if i, ok := s.indexByName[co]; ok && s.coordinators[i].owned > 0 {
		s.eachMatching(yield, func(l ownedSession) bool { return l.owner == i })
	}
}

// Moves gives the sessions that are offered or handed, by their id.
func (s *State) Moves(yield func(Record) bool) {
	for _, id := range sortedIDs(s.moves) {
		if !yield(s.record(id, s.sessions[id])) {
			return
		}
	}
}

func (s *State) eachMatching(yield func(Record) bool, matches func(ownedSession) bool) {
	var ids []ID
	for id, l := range s.sessions {
		if matches(l) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y ID) int { return bytes.Compare(x[:], y[:]) })
	for _, id := range ids {
		if !yield(s.record(id, s.sessions[id])) {
			return
		}
	}
}

func sortedIDs[V any](m map[ID]V) []ID {
	ids := make([]ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(x, y ID) int { return bytes.Compare(x[:], y[:]) })
	return ids
}

// named finds or enters a co-ordinator. One that owns nothing and was not heard of for Remember makes room.
func (s *State) coordinatorIndex(co string) (uint16, error) {
	if i, ok := s.indexByName[co]; ok {
		if s.expired(int(i)) {
			s.coordinators[i] = coordinator{name: co, lastKnownAt: s.now}
		}
		return i, nil
	}
	if co == "" || len(co) > MaxNameBytes {
		return 0, fmt.Errorf("a co-ordinator's name has 1 to %d bytes, not %d", MaxNameBytes, len(co))
	}
	at := len(s.coordinators)
	for i := range s.coordinators {
		if s.expired(i) {
			at = i
			break
		}
	}
	switch {
	case at == MaxCoordinators:
		return 0, fmt.Errorf("%d co-ordinators are known, no more are allowed", MaxCoordinators)
	case at == len(s.coordinators):
		s.coordinators = append(s.coordinators, coordinator{})
	default:
		delete(s.indexByName, s.coordinators[at].name)
	}
	s.coordinators[at] = coordinator{name: co, lastKnownAt: s.now}
	s.indexByName[co] = uint16(at)
	return uint16(at), nil
}

// gone says that a co-ordinator is forgotten: it owns nothing, and nothing was heard of it for Remember.
func (s *State) expired(i int) bool {
	return s.coordinators[i].owned == 0 && s.coordinators[i].lastKnownAt < s.now-EndRetention
}
