package statemachine

import (
	"errors"
	"fmt"
	"sort"
	"time"
)

// Part is one agreed state machine in the state machine. It gets time and fencing numbers from outside and has none itself.
type Part interface {
	// Tick moves agreed time on; it comes before each Apply and may end what is over by its time.
	Tick(now time.Duration)
	// Apply changes the state, or refuses with words and changes nothing. It wraps ErrUnknown for a kind that it does
	// not know. fence gives the next fencing number; what a refused command took is given back.
	Apply(now time.Duration, fence func() uint64, kind string, body []byte) error
	// Check names the invariant that does not hold, with the evidence.
	Check() error
	// Save gives the same bytes for the same state; Load takes nothing over unless it takes all.
	Save() ([]byte, error)
	Load(raw []byte) error
}

// Optional is a Part that came to the state machine after others. While it holds nothing it is left out of snapshots, so that programs
// which do not know it read them, and a snapshot without it empties it.
type Optional interface {
	Empty() bool
	Clear()
}

// Machine is the envelope. The zero value is of no use; New makes one.
type Machine struct {
	parts  map[string]Part
	names  []string // of the parts, sorted
	index  uint64
	now    time.Duration
	fence  uint64
	epoch  uint64 // see Epoch
	halted error

	ids       map[string]bool
	seen      []id          // in the order of application, so by time
	staleUpTo time.Duration // commands of this time and before are refused, since an id was dropped for room
}

// id is a remembered command and the agreed time at which it was applied, never before its own At.
type id struct {
	ID string        `json:"id"`
	At time.Duration `json:"at"`
}

// New makes an empty state machine over the parts by name.
func New(parts map[string]Part) *Machine {
	l := &Machine{parts: make(map[string]Part, len(parts)), ids: map[string]bool{}, staleUpTo: -1, epoch: 1}
	for name, p := range parts {
		l.parts[name] = p
		l.names = append(l.names, name)
	}
	sort.Strings(l.names)
	return l
}

// Index is that of the last entry applied, whatever came of it.
func (l *Machine) Index() uint64 { return l.index }

// Now is the agreed time.
func (l *Machine) Now() time.Duration { return l.now }

// Fence is the highest fencing number given out.
func (l *Machine) Fence() uint64 { return l.fence }

// Epoch is that of the log: 1, until a raft group is set up anew from a copy of it; see Renew. Indexes of two epochs say
// nothing of each other.
func (l *Machine) Epoch() uint64 { return l.epoch }

// Halted says why nothing more is applied here; nil while all is well.
func (l *Machine) Halted() error { return l.halted }

// Apply applies one entry of the log. index must be past Index, else ErrIndex and nothing happens. ErrDuplicate, ErrStale
// and ErrRejected are the same at every co-ordinator and no fault of this one. ErrVersion halts: the entry is not
// counted as applied, and each later call gives the same error. A command that was refused is remembered like any
// other: repeated, it does not act either.
func (l *Machine) Apply(index uint64, raw []byte) error {
	if l.halted != nil {
		return l.halted
	}
	if index <= l.index {
		return fmt.Errorf("%w: %d, applied up to %d", ErrIndex, index, l.index)
	}
	c, err := Decode(raw)
	if errors.Is(err, ErrVersion) {
		return l.halt(index, err)
	}
	if err != nil { // unreadable for every copy alike
		l.index = index
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	return l.applyCommand(index, c)
}

// ApplyDecoded is Apply for what Decode gave of the entry, where several copies in one process apply the same log.
func (l *Machine) ApplyDecoded(index uint64, c Command) error {
	if l.halted != nil {
		return l.halted
	}
	if index <= l.index {
		return fmt.Errorf("%w: %d, applied up to %d", ErrIndex, index, l.index)
	}
	return l.applyCommand(index, c)
}

func (l *Machine) applyCommand(index uint64, c Command) error {
	part := l.parts[c.Part]
	if part == nil {
		return l.halt(index, fmt.Errorf("%w: part %q", ErrVersion, c.Part))
	}
	if c.At < l.now-IDRetention || c.At <= l.staleUpTo {
		l.index = index
		return fmt.Errorf("%w: %s is %v behind agreed time", ErrStale, c.ID, l.now-c.At)
	}
	l.now = max(l.now, c.At)
	for _, name := range l.names {
		l.parts[name].Tick(l.now)
	}
	l.dropExpiredIDs()
	if l.ids[c.ID] {
		l.index = index
		return fmt.Errorf("%w: %s", ErrDuplicate, c.ID)
	}
	next := l.fence
	err := part.Apply(l.now, func() uint64 { next++; return next }, c.Kind, c.Body)
	if errors.Is(err, ErrUnknown) {
		return l.halt(index, fmt.Errorf("%w: %w", ErrVersion, err))
	}
	l.index = index
	if len(l.seen) >= MaxRetainedIDs {
		l.staleUpTo = l.seen[0].At
		l.dropOldestIDs(1)
	}
	l.ids[c.ID] = true
	l.seen = append(l.seen, id{c.ID, l.now})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	l.fence = next
	return nil
}

// halt keeps the index where it was, so that a program which knows the entry applies it after a restart.
func (l *Machine) halt(index uint64, err error) error {
	l.halted = fmt.Errorf("entry %d: %w", index, err)
	return l.halted
}

// forget drops ids that are older than IDRetention.
func (l *Machine) dropExpiredIDs() {
	n := 0
	for n < len(l.seen) && l.seen[n].At < l.now-IDRetention {
		n++
	}
	l.dropOldestIDs(n)
}

func (l *Machine) dropOldestIDs(n int) {
	for _, old := range l.seen[:n] {
		delete(l.ids, old.ID)
	}
	l.seen = l.seen[n:]
}

// Check names the first invariant that does not hold: the envelope's own (L1 ids, L2 time), then those of the parts.
func (l *Machine) Check() error {
	if len(l.seen) != len(l.ids) || len(l.seen) > MaxRetainedIDs {
		return fmt.Errorf("L1: %d ids in order, %d by name, %d allowed", len(l.seen), len(l.ids), MaxRetainedIDs)
	}
	last := time.Duration(-1)
	for _, s := range l.seen {
		if !l.ids[s.ID] {
			return fmt.Errorf("L1: id %s is kept in order but not by name", s.ID)
		}
		if s.At < last || s.At > l.now {
			return fmt.Errorf("L2: id %s was applied at %v, after one of %v, now %v", s.ID, s.At, last, l.now)
		}
		last = s.At
	}
	for _, name := range l.names {
		if err := l.parts[name].Check(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
