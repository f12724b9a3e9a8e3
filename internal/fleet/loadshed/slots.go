package loadshed

import "time"

const (
	// AgreedTimeTimeout is how long agreed time may stand still before slots go by the wall's.
	AgreedTimeTimeout = 10 * time.Second
	// offsetWindow is for how long a reading of agreed time counts.
	offsetWindow = 30 * time.Second
)

// slotClock number time for the cut: by agreed time, the latest reading of which is always a little old, so that the greatest of late
// is nearest; by the wall's time while none comes, as in a fleet that agrees on nothing.
type slotClock struct {
	newestReading                time.Duration // newest reading
	readAt                       time.Duration // local time of it
	maxOffset, previousMaxOffset time.Duration // greatest agreed less own time of this span and the one before
	windowStart                  time.Duration
	started                      bool
}

// arrivesAt gives the slot of now, and how long it lasts still.
func (s *slotClock) slotAt(now, agreed, wall, slot time.Duration) (number uint64, left time.Duration) {
	if s.newestReading == 0 {
		s.newestReading = agreed // may be hours old
	}
	if agreed > s.newestReading {
		s.newestReading, s.readAt = agreed, now
		switch off := agreed - now; {
		case !s.started:
			s.started, s.windowStart, s.maxOffset, s.previousMaxOffset = true, now, off, off
		case now-s.windowStart >= offsetWindow:
			s.windowStart, s.previousMaxOffset, s.maxOffset = now, s.maxOffset, off
		default:
			s.maxOffset = max(s.maxOffset, off)
		}
	}
	t := wall
	if s.started && now-s.readAt < AgreedTimeTimeout {
		t = now + max(s.maxOffset, s.previousMaxOffset)
	}
	t = max(0, t)
	return uint64(t / slot), slot - t%slot
}
