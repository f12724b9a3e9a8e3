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
	// Version is the version of the saved form. Load refuses any other with an error that names both.
	Version = 1
	// MaxSessions bounds Limits.MaxSessions: a snapshot of this many sessions takes about 45 MB.
	MaxSessions = 1_000_000
	// MaxInFlight bounds Limits.InFlight, the sessions that are offered or handed over at a time. A hand-over carries at most
	// MaxStateBytes, so that all states together take 10 MB. Twice as many would be no use: so many moves take minutes with any
	// value of Limits.PerMinute.
	MaxInFlight = 10_000
	// MaxStateBytes bounds the state that a hand-over carries.
	MaxStateBytes = 1 << 10
	// MaxOffersPerMinute bounds Limits.PerMinute.
	MaxOffersPerMinute = 1_000_000
	// OfferWindow is the window in which Limits.PerMinute counts. Offers are counted per second, and the window is rounded up by
	// one second.
	OfferWindow = time.Minute
	// EndRetention is how long the end of a session is remembered. It equals the time for which the state machine keeps command
	// IDs, so that the state machine refuses a claim that arrives later as stale. With half of it, a late claim may have to read
	// the epoch again, and a client that returns after 5 minutes does not learn why its session ended. Twice as long would take
	// twice the memory.
	EndRetention = statemachine.IDRetention
	// MaxEnds bounds the ends that are remembered. The oldest is dropped first: its client then does not learn why the session
	// ended, and its epoch counts for all sessions that are not known (State.maxForgottenEpoch). The release of a co-ordinator
	// with 60,000 sessions fits.
	MaxEnds = 65_536
	// MaxCoordinators bounds the co-ordinators that are known: those of the fleet, and those that left it within EndRetention.
	MaxCoordinators = 4_096
	// MaxNameBytes bounds the name of a co-ordinator.
	MaxNameBytes = pool.MaxNameBytes
	// MaxReasonBytes bounds the reason for an end. A longer reason is truncated.
	MaxReasonBytes = 120
	// MaxActs bounds the acts, or the parts of a plan, in one command.
	MaxActs = 10_000
	// MaxLimitDuration bounds each duration in Limits.
	MaxLimitDuration = 24 * time.Hour
	// EpochGap separates the epochs of two eras. Claims and moves that followed the copy from which a raft group is set up anew are
	// not known to the new group. A session would have to change its owner a million times in between to exceed the gap.
	EpochGap = 1 << 20
	// MaxRefusals bounds the refusals of one command whose text is kept; all are counted.
	MaxRefusals = 8
)

// ownedSession is a session that has an owner, kept by ID in State.sessions. What a move adds is kept in State.moves.
type ownedSession struct {
	epoch uint64
	seq   uint64
	since time.Duration
	owner uint16 // index in State.coordinators
	phase Phase
	lane  uint8
}

// move is the additional state of a session that is offered or handed over. Its fields are saved under their Go names.
type move struct {
	From     string            // the owner when the session was offered
	To       string            // the co-ordinator that it was offered to
	Epoch    uint64            // of the session when it was offered
	Fence    uint64            // number of the offer
	Until    time.Duration     // end of the current step: offered, handed over or returned
	Revision int               // of the limits that applied to the offer
	Source   string            // handed over: the co-ordinator that it returns to, see Record.Source
	State    []byte            // handed over: what the hand-over carried
	Hand     *handOverEvidence // handed over: the evidence for it
}

// handOverEvidence records which act handed a session over, for Check. Its fields are saved under their Go names.
type handOverEvidence struct {
	By    string
	Epoch uint64
	Fence uint64
}

// endedSession describes the end of a session.
type endedSession struct {
	epoch, seq uint64
	at         time.Duration
	reason     unique.Handle[string]
	position   uint64 // State.firstPosition plus its index in State.endOrder
}

// coordinator is a co-ordinator that owns a session, or that acted or was released within EndRetention.
type coordinator struct {
	name        string
	owned       int
	lastActAt   time.Duration // time of its last act that was not refused; 0: none
	releasedAt  time.Duration // time of its last release; 0: none
	lastKnownAt time.Duration // the latest of both and of the time at which it was entered
}

// offerCount counts the offers in one second of agreed time.
type offerCount struct {
	At time.Duration `json:"at"`
	N  int           `json:"n"`
}

// State is the agreed state of all pinned sessions. New creates one; the zero value is not usable. It is not safe for concurrent
// use, not even for concurrent reads.
type State struct {
	now          time.Duration
	limits       Limits
	limitsAt     time.Duration
	blockedUntil time.Duration // in a new era, nothing is claimed or moved before this time
	fence        uint64        // highest number of an offer or a transfer

	sessions     map[ID]ownedSession
	moves        map[ID]move
	nextExpiry   time.Duration // no step of a move ends before this time
	coordinators []coordinator
	indexByName  map[string]uint16
	offerCounts  []offerCount // of the last minute, in order of time

	ended             map[ID]endedSession
	endOrder          []ID   // by time of the end; a session claimed since then is missing in ended, or has another position there
	firstPosition     uint64 // position of endOrder[0]
	maxForgottenEpoch uint64 // highest epoch of all forgotten ends: a session that is not known gets a higher one

	pool *pool.Pool

	refusals     []string // of the last command; not part of the agreed state
	refusalCount int
}

// New returns an empty state. Nothing can be claimed in it before it has limits.
func New() *State {
	return &State{
		sessions: map[ID]ownedSession{}, moves: map[ID]move{}, indexByName: map[string]uint16{}, ended: map[ID]endedSession{}, pool: pool.New(),
		nextExpiry: statemachine.MaxTime,
	}
}

// Clone returns an independent copy, which takes about 100 bytes a session.
func (s *State) Clone() *State {
	n := *s
	n.sessions, n.moves, n.indexByName, n.ended = maps.Clone(s.sessions), maps.Clone(s.moves), maps.Clone(s.indexByName), maps.Clone(s.ended)
	n.coordinators, n.offerCounts, n.endOrder = slices.Clone(s.coordinators), slices.Clone(s.offerCounts), slices.Clone(s.endOrder)
	n.pool, n.refusals = s.pool.Clone(), slices.Clone(s.refusals)
	n.limits.Caps = maps.Clone(s.limits.Caps)
	return &n
}

// Get returns the record of a session that is owned, and true. For a free session it returns false and what is still known: Epoch,
// which a claim has to name, and, for EndRetention after its end, Seq and Reason.
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

// Len returns the number of sessions that are owned.
func (s *State) Len() int { return len(s.sessions) }

// Owned returns the number of sessions that co owns, including those handed over to it.
func (s *State) Owned(co string) int {
	if i, ok := s.indexByName[co]; ok {
		return s.coordinators[i].owned
	}
	return 0
}

// Moving returns the number of sessions that are offered or handed over.
func (s *State) Moving() int { return len(s.moves) }

// HasMoves reports whether a session is moving from co, to co or back to co.
func (s *State) HasMoves(co string) bool {
	for id, m := range s.moves {
		l := s.sessions[id]
		if s.coordinators[l.owner].name == co || l.phase == Offered && m.To == co || l.phase == HandedOver && m.Source == co {
			return true
		}
	}
	return false
}

// RecentOffers returns the number of offers that count against Limits.PerMinute now.
func (s *State) RecentOffers() int {
	n := 0
	for _, count := range s.offerCounts {
		if count.At+OfferWindow >= s.now-s.now%time.Second {
			n += count.N
		}
	}
	return n
}

// Now returns the agreed time of the last tick or command.
func (s *State) Now() time.Duration { return s.now }

// BlockedUntil returns the agreed time before which nothing is claimed or moved because the era is new.
func (s *State) BlockedUntil() time.Duration { return s.blockedUntil }

// Pool returns the state of the slots. The caller must not change it.
func (s *State) Pool() *pool.Pool { return s.pool }

// Limits returns the limits in force and their revision, which is 0 as long as there are none.
func (s *State) Limits() (Limits, int) { return s.limits, s.limits.Revision }

// Refusals returns the errors of the refused parts of the last command, at most MaxRefusals of them, and the number of all refused
// parts. They are not part of the agreed state.
func (s *State) Refusals() ([]string, int) { return s.refusals, s.refusalCount }

// All yields every session that is owned, in order of its ID.
func (s *State) All(yield func(Record) bool) {
	s.eachMatching(yield, func(ownedSession) bool { return true })
}

// ByOwner yields the sessions that co owns, in order of their IDs.
func (s *State) ByOwner(co string, yield func(Record) bool) {
	if i, ok := s.indexByName[co]; ok && s.coordinators[i].owned > 0 {
		s.eachMatching(yield, func(l ownedSession) bool { return l.owner == i })
	}
}

// Moves yields the sessions that are offered or handed over, in order of their IDs.
func (s *State) Moves(yield func(Record) bool) {
	for _, id := range sortedIDs(s.moves) {
		if !yield(s.record(id, s.sessions[id])) {
			return
		}
	}
}

// eachMatching yields the sessions for which matches returns true, in order of their IDs.
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

// coordinatorIndex returns the index of a co-ordinator, and enters it first if it is not known. A new co-ordinator takes the entry
// of an expired one if there is any.
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

// expired reports whether a co-ordinator counts as forgotten: it owns nothing, and has not been entered, acted or been released
// within EndRetention.
func (s *State) expired(i int) bool {
	return s.coordinators[i].owned == 0 && s.coordinators[i].lastKnownAt < s.now-EndRetention
}
