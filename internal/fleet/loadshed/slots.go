package loadshed

import "time"

const (
	// BlindFor is how long agreed time may stand still before slots go by the wall's.
	BlindFor = 10 * time.Second
	// slotSpan is for how long a reading of agreed time counts.
	slotSpan = 30 * time.Second
)

// slots number time for the cut: by agreed time, the latest reading of which is always a little old, so that the greatest of late
// is nearest; by the wall's time while none comes, as in a fleet that agrees on nothing.
type slots struct {
	read      time.Duration // newest reading
	heard     time.Duration // own time of it
	off, last time.Duration // greatest agreed less own time of this span and the one before
	from      time.Duration
	begun     bool
}

// at gives the slot of now, and how long it lasts still.
func (s *slots) at(now, agreed, wall, slot time.Duration) (number uint64, left time.Duration) {
	if s.read == 0 {
		s.read = agreed // may be hours old
	}
	if agreed > s.read {
		s.read, s.heard = agreed, now
		switch off := agreed - now; {
		case !s.begun:
			s.begun, s.from, s.off, s.last = true, now, off, off
		case now-s.from >= slotSpan:
			s.from, s.last, s.off = now, s.off, off
		default:
			s.off = max(s.off, off)
		}
	}
	t := wall
	if s.begun && now-s.heard < BlindFor {
		t = now + max(s.off, s.last)
	}
	t = max(0, t)
	return uint64(t / slot), slot - t%slot
}
