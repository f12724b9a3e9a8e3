package statemachine

import (
	"fmt"
	"time"
)

// FenceGap is left between the fencing numbers of two epochs: what was granted after the copy that a raft group is set up from
// is known to the site's tools and to other copies, and to no one here. Twice as much costs nothing; half is still more
// than ten grants for each of 10,000 machines, and more than a log keeps in the month that a voter may have been away.
const FenceGap = 1 << 18

// Renewer is a Part that has something to end when a raft group is set up anew; nothing may be granted before until.
type Renewer interface{ Renew(until time.Duration) }

// Renew begins a new epoch, for a raft group that is set up anew from this copy when others may have been ahead of it. at is
// agreed time by the clock of who does it; what was granted by others may go on until until. The epoch is the later of the
// next number and at in whole seconds: of two that were set up from copies of one log, the later one counts.
func (l *Machine) Renew(at, until time.Duration) error {
	switch {
	case l.halted != nil:
		return fmt.Errorf("statemachine: halted, no new epoch: %w", l.halted)
	case at < 0 || at > MaxTime || until < at || until > MaxTime:
		return fmt.Errorf("statemachine: a new epoch at %v, with grants until %v", at, until)
	}
	l.now = max(l.now, at)
	l.epoch = max(l.epoch+1, uint64(at/time.Second))
	l.fence += FenceGap
	for _, name := range l.names {
		l.parts[name].Tick(l.now)
		if p, ok := l.parts[name].(Renewer); ok {
			p.Renew(until)
		}
	}
	l.dropExpiredIDs()
	return nil
}
