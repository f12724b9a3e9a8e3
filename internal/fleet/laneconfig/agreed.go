package laneconfig

import (
	"errors"
	"fmt"
	"time"

	"birchcart/internal/fleet/statemachine"
)

const (
	// Part is the name in the state machine.
	Part = "lanes"
	// KindSet puts a section in force.
	KindSet = "set"
	// MaxRevision is far over what files number.
	MaxRevision = 1 << 40
	// OverlapDuration is how long, in agreed time, a section and the one before it are in force together. It is longer than a lease of the
	// usual 10 s, within which who hears of no new one counts as cut off.
	OverlapDuration = 15 * time.Second
)

// Version is a section that was agreed on.
type Version struct {
	SetBody
	Since    time.Duration `json:"since"` // agreed time at which it came in force
	verified bool          // its text was looked at, when it was applied or loaded: it does not change
}

// AgreedTime is the part of the state machine. What is in a section is not looked at here: programs that read sections otherwise
// have to go on alike.
type State struct {
	now      time.Duration
	current  *Version // nil: none yet
	previous *Version // in force with it; nil: none
}

// New is one without a section.
func New() *State { return &State{} }

// Tick implements statemachine.Part: it ends the time in which two are in force.
func (a *State) Tick(now time.Duration) {
	a.now = max(a.now, now)
	if a.previous != nil && a.now >= a.current.Since+OverlapDuration {
		a.previous = nil
	}
}

// Apply implements statemachine.Part.
func (a *State) Apply(now time.Duration, _ func() uint64, kind string, body []byte) error {
	if kind != KindSet {
		return fmt.Errorf("laneconfig: kind %.40q: %w", kind, statemachine.ErrUnknown)
	}
	var b SetBody
	if err := statemachine.Strict(body, &b); err != nil {
		return fmt.Errorf("laneconfig: %w", err)
	}
	if b.Revision < 1 || b.Revision > MaxRevision {
		return fmt.Errorf("laneconfig: revision %d", b.Revision)
	}
	if a.current != nil && b.Revision <= a.current.Revision {
		return fmt.Errorf("laneconfig: revision %d, %d is in force", b.Revision, a.current.Revision)
	}
	if a.previous != nil {
		return fmt.Errorf("laneconfig: revisions %d and %d are in force together until %v", a.previous.Revision, a.current.Revision, a.current.Since+OverlapDuration)
	}
	if _, err := b.text(); err != nil {
		return err
	}
	a.previous, a.current = a.current, &Version{b, now, true}
	a.now = max(a.now, now)
	return nil
}

// InForce is what is at an agreed time that may be later than that of the newest command; before is nil when force is
// alone, and both are when none was agreed on. They are not to be changed.
func (a *State) InForce(now time.Duration) (force, before *Version) {
	if a.previous != nil && now >= a.current.Since+OverlapDuration {
		return a.current, nil
	}
	return a.current, a.previous
}

// Accepts says that a section of this revision would be put in force now.
func (a *State) Accepts(revision int, now time.Duration) bool {
	force, before := a.InForce(now)
	return before == nil && (force == nil || revision > force.Revision)
}

// Check implements statemachine.Part: M1, at most two are in force, of rising revisions and for no longer than OverlapDuration; M2, each
// is what it says, within its bounds.
func (a *State) Check() error {
	if a.previous != nil {
		switch {
		case a.current == nil || a.previous.Revision >= a.current.Revision || a.previous.Since > a.current.Since:
			return fmt.Errorf("M1: revision %d of %v is in force before %v", a.previous.Revision, a.previous.Since, a.current)
		case a.now >= a.current.Since+OverlapDuration:
			return fmt.Errorf("M1: revisions %d and %d are in force together at %v, since %v", a.previous.Revision, a.current.Revision, a.now, a.current.Since)
		}
	}
	for _, v := range []*Version{a.previous, a.current} {
		if v == nil {
			continue
		}
		if v.Revision < 1 || v.Revision > MaxRevision || v.Since < 0 || v.Since > statemachine.MaxTime {
			return fmt.Errorf("M2: revision %d, since %v", v.Revision, v.Since)
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
