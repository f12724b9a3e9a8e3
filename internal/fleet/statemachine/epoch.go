package ledger

import (
	"fmt"
	"time"
)

// FenceGap is left between the fencing numbers of two eras: what was granted after the copy that a council is set up from
// is known to the site's tools and to other copies, and to no one here. Twice as much costs nothing; half is still more
// than ten grants for each of 10,000 machines, and more than a log keeps in the month that a voter may have been away.
const FenceGap = 1 << 18

// Renewed is a Part that has something to end when a council is set up anew; nothing may be granted before until.
type Renewed interface{ Renew(until time.Duration) }

// Renew begins a new era, for a council that is set up anew from this copy when others may have been ahead of it. at is
// agreed time by the clock of who does it; what was granted by others may go on until until. The era is the later of the
// next number and at in whole seconds: of two that were set up from copies of one log, the later one counts.
func (l *Ledger) Renew(at, until time.Duration) error {
	switch {
	case l.halted != nil:
		return fmt.Errorf("ledger: halted, no new era: %w", l.halted)
	case at < 0 || at > AtMost || until < at || until > AtMost:
		return fmt.Errorf("ledger: a new era at %v, with grants until %v", at, until)
	}
	l.now = max(l.now, at)
	l.era = max(l.era+1, uint64(at/time.Second))
	l.fence += FenceGap
	for _, name := range l.names {
		l.parts[name].Tick(l.now)
		if p, ok := l.parts[name].(Renewed); ok {
			p.Renew(until)
		}
	}
	l.forget()
	return nil
}
