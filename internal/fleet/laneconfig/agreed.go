package laneconfig

import (
	"errors"
	"fmt"
	"time"

	"birchcart/internal/fleet/statemachine"
)

const (
	// Part is the name of this part in the state machine.
	Part = "lanes"
	// KindSet is the kind of the command that puts a section in force.
	KindSet = "set"
	// MaxRevision is far above the revision numbers of real files.
	MaxRevision = 1 << 40
	// OverlapDuration is how long, in agreed time, a section and the one before it are in force together. It is longer than the usual
	// lease of 10 s, after which a co-ordinator that does not hear of the new section counts as cut off.
	OverlapDuration = 15 * time.Second
)

// Version is a section that the raft group agreed on.
type Version struct {
	SetBody
	Since    time.Duration `json:"since"` // agreed time from which it is in force
	verified bool          // its text was verified when it was applied or loaded, and does not change
}

// State is the lanes part of the state machine. It does not interpret the content of sections, so that programs of different
// versions stay in the same state.
type State struct {
	now      time.Duration
	current  *Version // nil: none yet
	previous *Version // in force together with current; nil: none
}

// New returns a State without a section.
func New() *State { return &State{} }

// Tick implements statemachine.Part. It ends the overlap of two sections.
func (s *State) Tick(now time.Duration) {
	s.now = max(s.now, now)
	if s.previous != nil && s.now >= s.current.Since+OverlapDuration {
		s.previous = nil
	}
}

// Apply implements statemachine.Part.
func (s *State) Apply(now time.Duration, _ func() uint64, kind string, body []byte) error {
	if kind != KindSet {
		return fmt.Errorf("laneconfig: command kind %.40q: %w", kind, statemachine.ErrUnknown)
	}
	var b SetBody
	if err := statemachine.DecodeStrict(body, &b); err != nil {
		return fmt.Errorf("laneconfig: %w", err)
	}
	if b.Revision < 1 || b.Revision > MaxRevision {
		return fmt.Errorf("laneconfig: revision %d is out of range", b.Revision)
	}
	if s.current != nil && b.Revision <= s.current.Revision {
		return fmt.Errorf("laneconfig: revision %d is not above revision %d, which is in force", b.Revision, s.current.Revision)
	}
	if s.previous != nil {
		return fmt.Errorf("laneconfig: revisions %d and %d are in force together until %v", s.previous.Revision, s.current.Revision, s.current.Since+OverlapDuration)
	}
	if _, err := b.text(); err != nil {
		return err
	}
	s.previous, s.current = s.current, &Version{b, now, true}
	s.now = max(s.now, now)
	return nil
}

// InForce returns the sections that are in force at an agreed time, which may be later than that of the newest command. previous is
// nil if current is alone; both are nil if none was agreed on. The caller must not change them.
func (s *State) InForce(now time.Duration) (current, previous *Version) {
	if s.previous != nil && now >= s.current.Since+OverlapDuration {
		return s.current, nil
	}
	return s.current, s.previous
}

// Accepts returns whether a section of this revision would be put in force now.
func (s *State) Accepts(revision int, now time.Duration) bool {
	current, previous := s.InForce(now)
	return previous == nil && (current == nil || revision > current.Revision)
}

// Check implements statemachine.Part. M1: at most two sections are in force, with increasing revisions, and for no longer than
// OverlapDuration. M2: each has a valid revision and time, and its text matches its checksum and size limits.
func (s *State) Check() error {
	if s.previous != nil {
		switch {
		case s.current == nil || s.previous.Revision >= s.current.Revision || s.previous.Since > s.current.Since:
			return fmt.Errorf("M1: previous revision %d, in force since %v, is not older than %v", s.previous.Revision, s.previous.Since, s.current)
		case s.now >= s.current.Since+OverlapDuration:
			return fmt.Errorf("M1: revisions %d and %d are still in force together at %v, since %v", s.previous.Revision, s.current.Revision, s.now, s.current.Since)
		}
	}
	for _, v := range []*Version{s.previous, s.current} {
		if v == nil {
			continue
		}
		if v.Revision < 1 || v.Revision > MaxRevision || v.Since < 0 || v.Since > statemachine.MaxTime {
			return fmt.Errorf("M2: revision %d, in force since %v, is out of range", v.Revision, v.Since)
		}
		if v.verified {
			continue
		}
		if _, err := v.text(); err != nil {
			return errors.Join(errors.New("M2"), err)
		}
		v.verified = true
	}
	return nil
}
