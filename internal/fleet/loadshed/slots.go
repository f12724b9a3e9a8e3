package loadshed

import "time"

const (
	// AgreedTimeTimeout is how long agreed time may go without advancing before slots are numbered by the wall clock.
	AgreedTimeTimeout = 10 * time.Second
	// offsetWindow is the length of the window in which the offset of agreed time is measured; the previous window still counts.
	offsetWindow = 30 * time.Second
)

// slotClock numbers the time slots during which the same keys are shed, by agreed time. A reading of agreed time is always a little
// old, so the greatest recent offset from local time is the best estimate. While agreed time does not advance, as in a fleet
// without a raft group, slots are numbered by the wall clock.
type slotClock struct {
	newestReading                time.Duration // of agreed time
	readAt                       time.Duration // local time of newestReading
	maxOffset, previousMaxOffset time.Duration // greatest difference of agreed and local time, in this window and the one before
	windowStart                  time.Duration // local time
	started                      bool
}

// slotAt returns the number of the slot at now and the time left in it.
func (s *slotClock) slotAt(now, agreed, wall, slot time.Duration) (number uint64, left time.Duration) {
	if s.newestReading == 0 {
		s.newestReading = agreed // the first reading may be hours old, so only later ones count
	}
	if agreed > s.newestReading {
		s.newestReading, s.readAt = agreed, now
		switch offset := agreed - now; {
		case !s.started:
			s.started, s.windowStart, s.maxOffset, s.previousMaxOffset = true, now, offset, offset
		case now-s.windowStart >= offsetWindow:
			s.windowStart, s.previousMaxOffset, s.maxOffset = now, s.maxOffset, offset
		default:
			s.maxOffset = max(s.maxOffset, offset)
		}
	}
	slotTime := wall
	if s.started && now-s.readAt < AgreedTimeTimeout {
		slotTime = now + max(s.maxOffset, s.previousMaxOffset)
	}
	slotTime = max(0, slotTime)
	return uint64(slotTime / slot), slot - slotTime%slot
}
