// Package fleetsim is the project's own emulator of a fleet, in virtual time: many instances of the pure packages (view,
// drainctl, statemachine, maintenance) over an agreed log that changes its leaders, links that lose, delay, repeat and reorder,
// processes that stall, crash and lose their disk, clocks that run up to 1 % apart, machines that go, fail and come
// back, and a discovery whose news is late. All that happens follows from a Schedule: same seed, same bytes. What
// happens is told to package history, whose checker knows none of the deciding code.
package fleetsim

import (
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
)

// clock is one machine's: its monotonic one runs rate times as fast as true time, its wall's is kept offset away from it.
type clock struct {
	rate   float64
	offset time.Duration
}

// mono is the monotonic reading, by which no offset shows.
func (c clock) mono(now time.Duration) time.Duration { return time.Duration(float64(now) * c.rate) }

// wall is the time since the Unix epoch that the machine takes it to be.
func (c clock) wall(now time.Duration) time.Duration { return clockwork.Epoch + now + c.offset }
