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
	// RevisionMost is far over what files number.
	RevisionMost = 1 << 40
	// MixFor is how long, in agreed time, a section and the one before it are in force together. It is longer than a lease of the
	// usual 10 s, within which who hears of no new one counts as cut off.
	MixFor = 15 * time.Second
)

// Version is a section that was agreed on.
type Version struct {
	SetBody
	Since time.Duration `json:"since"` // agreed time at which it came in force
	sound bool          // its text was looked at, when it was applied or loaded: it does not change
}

// Agreed is the part of the state machine. What is in a section is not looked at here: programs that read sections otherwise
// have to go on alike.
type Agreed struct {
	now    time.Duration
	force  *Version // nil: none yet
	before *Version // in force with it; nil: none
}

// New is one without a section.
func New() *Agreed { return &Agreed{} }

// Tick implements statemachine.Part: it ends the time in which two are in force.
func (a *Agreed) Tick(now time.Duration) {
	a.now = max(a.now, now)
	if a.before != nil && a.now >= a.force.Since+MixFor {
		a.before = nil
	}
}

// Apply implements statemachine.Part.
func (a *Agreed) Apply(now time.Duration, _ func() uint64, kind string, body []byte) error {
	if kind != KindSet {
		return fmt.Errorf("laneconfig: kind %.40q: %w", kind, statemachine.ErrUnknown)
	}
	var b SetBody
	if err := statemachine.Strict(body, &b); err != nil {
		return fmt.Errorf("laneconfig: %w", err)
	}
	if b.Revision < 1 || b.Revision > RevisionMost {
		return fmt.Errorf("laneconfig: revision %d", b.Revision)
	}
	if a.force != nil && b.Revision <= a.force.Revision {
		return fmt.Errorf("laneconfig: revision %d, %d is in force", b.Revision, a.force.Revision)
	}
	if a.before != nil {
		return fmt.Errorf("laneconfig: revisions %d and %d are in force together until %v", a.before.Revision, a.force.Revision, a.force.Since+MixFor)
	}
	if _, err := b.text(); err != nil {
		return err
	}
	a.before, a.force = a.force, &Version{b, now, true}
	a.now = max(a.now, now)
	return nil
}

// InForce is what is at an agreed time that may be later than that of the newest command; before is nil when force is
// alone, and both are when none was agreed on. They are not to be changed.
func (a *Agreed) InForce(now time.Duration) (force, before *Version) {
	if a.before != nil && now >= a.force.Since+MixFor {
		return a.force, nil
	}
	return a.force, a.before
}

// Takes says that a section of this revision would be put in force now.
func (a *Agreed) Takes(revision int, now time.Duration) bool {
	force, before := a.InForce(now)
	return before == nil && (force == nil || revision > force.Revision)
}

// Check implements statemachine.Part: M1, at most two are in force, of rising revisions and for no longer than MixFor; M2, each
// is what it says, within its bounds.
func (a *Agreed) Check() error {
	if a.before != nil {
		switch {
		case a.force == nil || a.before.Revision >= a.force.Revision || a.before.Since > a.force.Since:
			return fmt.Errorf("M1: revision %d of %v is in force before %v", a.before.Revision, a.before.Since, a.force)
		case a.now >= a.force.Since+MixFor:
			return fmt.Errorf("M1: revisions %d and %d are in force together at %v, since %v", a.before.Revision, a.force.Revision, a.now, a.force.Since)
		}
	}
	for _, v := range []*Version{a.before, a.force} {
		if v == nil {
			continue
		}
		if v.Revision < 1 || v.Revision > RevisionMost || v.Since < 0 || v.Since > statemachine.MaxTime {
			return fmt.Errorf("M2: revision %d, since %v", v.Revision, v.Since)
		}
		if v.sound {
			continue
		}
		if _, err := v.text(); err != nil {
			return errors.Join(errors.New("M2"), err)
		}
		v.sound = true
	}
	return nil
}
