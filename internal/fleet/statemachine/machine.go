package statemachine

import (
	"errors"
	"fmt"
	"sort"
	"time"
)

// Part is one of the state machines that a Machine wraps. It has no time or fencing numbers of its own; the Machine
// passes them in.
type Part interface {
	// Tick advances agreed time. It is called before each Apply and may end whatever has expired by then.
	Tick(now time.Duration)
	// Apply changes the state, or returns an error and changes nothing. It wraps ErrUnknown for a kind that it does not
	// know. fence returns the next fencing number; the numbers that a rejected command took are reused.
	Apply(now time.Duration, fence func() uint64, kind string, body []byte) error
	// Check returns an error that names the violated invariant, with the values that violate it.
	Check() error
	// Save returns the same bytes for the same state. Load replaces the whole state, or fails and changes nothing.
	Save() ([]byte, error)
	Load(raw []byte) error
}

// Optional is a Part that was added to the state machine after the others. It is left out of snapshots while it is empty,
// so that programs that do not know it can read them. Loading a snapshot without it clears it.
type Optional interface {
	Empty() bool
	Clear()
}

// Machine applies commands to its parts and keeps the index, agreed time, fencing numbers and command ids. The zero value
// is not usable; use New.
type Machine struct {
	parts  map[string]Part
	names  []string // names of the parts, sorted
	index  uint64
	now    time.Duration
	fence  uint64
	epoch  uint64 // see Epoch
	halted error

	ids       map[string]bool
	seen      []id          // in the order of application, and so in order of time
	staleUpTo time.Duration // commands up to this time are rejected, because an id of this time was dropped at MaxRetainedIDs
}

// id is the id of an applied command and the agreed time at which it was applied, which is never before the command's At.
type id struct {
	ID string        `json:"id"`
	At time.Duration `json:"at"`
}

// New returns an empty state machine over parts, which is keyed by the names of the parts.
func New(parts map[string]Part) *Machine {
	m := &Machine{parts: make(map[string]Part, len(parts)), ids: map[string]bool{}, staleUpTo: -1, epoch: 1}
	for name, p := range parts {
		m.parts[name] = p
		m.names = append(m.names, name)
	}
	sort.Strings(m.names)
	return m
}

// Index returns the index of the last applied entry, including entries that were rejected.
func (m *Machine) Index() uint64 { return m.index }

// Now returns the agreed time.
func (m *Machine) Now() time.Duration { return m.now }

// Fence returns the highest fencing number that was given out.
func (m *Machine) Fence() uint64 { return m.fence }

// Epoch returns the epoch of the log: 1 until a raft group is set up again from a copy of it, see Renew. Indexes of
// different epochs cannot be compared.
func (m *Machine) Epoch() uint64 { return m.epoch }

// Halted returns the error that stopped this state machine from applying entries, or nil if it has not halted.
func (m *Machine) Halted() error { return m.halted }

// Apply applies one entry of the log. If index is not greater than Index, it returns ErrIndex and changes nothing.
// ErrDuplicate, ErrStale and ErrRejected occur alike at every co-ordinator and are no fault of this one. ErrVersion halts
// the state machine: the entry does not count as applied, and each later call returns the same error. The id of a rejected
// command is kept like any other, so that a retry of the command does not take effect either.
func (m *Machine) Apply(index uint64, raw []byte) error {
	if m.halted != nil {
		return m.halted
	}
	if index <= m.index {
		return fmt.Errorf("%w: %d, applied up to %d", ErrIndex, index, m.index)
	}
	c, err := Decode(raw)
	if errors.Is(err, ErrVersion) {
		return m.halt(index, err)
	}
	if err != nil { // unreadable at every co-ordinator alike
		m.index = index
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	return m.applyCommand(index, c)
}

// ApplyDecoded is like Apply, but takes the decoded entry. It saves decoding the entry again where several copies in one
// process apply the same log.
func (m *Machine) ApplyDecoded(index uint64, c Command) error {
	if m.halted != nil {
		return m.halted
	}
	if index <= m.index {
		return fmt.Errorf("%w: %d, applied up to %d", ErrIndex, index, m.index)
	}
	return m.applyCommand(index, c)
}

func (m *Machine) applyCommand(index uint64, c Command) error {
	part := m.parts[c.Part]
	if part == nil {
		return m.halt(index, fmt.Errorf("%w: part %q", ErrVersion, c.Part))
	}
	if c.At < m.now-IDRetention || c.At <= m.staleUpTo {
		m.index = index
		return fmt.Errorf("%w: %s is %v behind agreed time", ErrStale, c.ID, m.now-c.At)
	}
	m.now = max(m.now, c.At)
	for _, name := range m.names {
		m.parts[name].Tick(m.now)
	}
	m.dropExpiredIDs()
	if m.ids[c.ID] {
		m.index = index
		return fmt.Errorf("%w: %s", ErrDuplicate, c.ID)
	}
	next := m.fence
	err := part.Apply(m.now, func() uint64 { next++; return next }, c.Kind, c.Body)
	if errors.Is(err, ErrUnknown) {
		return m.halt(index, fmt.Errorf("%w: %w", ErrVersion, err))
	}
	m.index = index
	if len(m.seen) >= MaxRetainedIDs {
		m.staleUpTo = m.seen[0].At
		m.dropOldestIDs(1)
	}
	m.ids[c.ID] = true
	m.seen = append(m.seen, id{c.ID, m.now})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	m.fence = next
	return nil
}

// halt stops the state machine. It leaves the index unchanged, so that a program that knows the entry applies it after a
// restart.
func (m *Machine) halt(index uint64, err error) error {
	m.halted = fmt.Errorf("entry %d: %w", index, err)
	return m.halted
}

// dropExpiredIDs drops the ids that are older than IDRetention.
func (m *Machine) dropExpiredIDs() {
	n := 0
	for n < len(m.seen) && m.seen[n].At < m.now-IDRetention {
		n++
	}
	m.dropOldestIDs(n)
}

func (m *Machine) dropOldestIDs(n int) {
	for _, old := range m.seen[:n] {
		delete(m.ids, old.ID)
	}
	m.seen = m.seen[n:]
}

// Check returns an error that names the first violated invariant. It checks the Machine's own invariants (L1: ids, L2:
// time), then those of the parts.
func (m *Machine) Check() error {
	if len(m.seen) != len(m.ids) || len(m.seen) > MaxRetainedIDs {
		return fmt.Errorf("L1: %d ids in the list, %d in the set, %d allowed", len(m.seen), len(m.ids), MaxRetainedIDs)
	}
	last := time.Duration(-1)
	for _, s := range m.seen {
		if !m.ids[s.ID] {
			return fmt.Errorf("L1: id %s is in the list but not in the set", s.ID)
		}
		if s.At < last || s.At > m.now {
			return fmt.Errorf("L2: id %s was applied at %v, after one of %v, now %v", s.ID, s.At, last, m.now)
		}
		last = s.At
	}
	for _, name := range m.names {
		if err := m.parts[name].Check(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
