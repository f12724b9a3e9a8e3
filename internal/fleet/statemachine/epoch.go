package statemachine

import (
	"fmt"
	"time"
)

// FenceGap is the gap between the fencing numbers of two epochs. Grants issued after the copy was made from which a raft
// group is set up are known to the site's tools and to other copies, but not to this copy, and their fencing numbers must
// not be reused. Half the gap is still more than ten grants for each of 10,000 machines, and more than a log keeps in the
// month that a voter may have been absent; a larger gap costs nothing.
const FenceGap = 1 << 18

// Renewer is a Part that has to end some of its state when a raft group is set up again from a copy. The part must not grant
// anything before the time until.
type Renewer interface{ Renew(until time.Duration) }

// Renew begins a new epoch. It is used when a raft group is set up again from this copy although other copies may have
// been ahead of it. The parameter at is the agreed time by the clock of the process that sets the group up, and until is the
// time at which the last grants issued by the former group may end. The new epoch is the larger of the next number and at in
// whole seconds, so that of two groups that were set up from copies of one log the later one has the higher epoch.
func (m *Machine) Renew(at, until time.Duration) error {
	switch {
	case m.halted != nil:
		return fmt.Errorf("statemachine: cannot begin a new epoch while halted: %w", m.halted)
	case at < 0 || at > MaxTime || until < at || until > MaxTime:
		return fmt.Errorf("statemachine: invalid times for a new epoch: at %v, with grants until %v", at, until)
	}
	m.now = max(m.now, at)
	m.epoch = max(m.epoch+1, uint64(at/time.Second))
	m.fence += FenceGap
	for _, name := range m.names {
		m.parts[name].Tick(m.now)
		if p, ok := m.parts[name].(Renewer); ok {
			p.Renew(until)
		}
	}
	m.dropExpiredIDs()
	return nil
}
