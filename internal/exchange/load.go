package exchange

import (
	"sync"
	"time"
)

// Load measures the mean number of attempts in flight. It supports one reader besides the exchange.
type Load struct {
	mu           sync.Mutex
	inFlight     int
	inFlightTime time.Duration // sum of the times in flight since the last call of Mean
	updatedAt    time.Time     // the time up to which inFlightTime counts
	readAt       time.Time     // the last call of Mean
}

// Load starts measuring the attempts in flight and returns the measure. It must be called before Run; without it load is not measured.
func (e *Exchange) Load() *Load {
	now := time.Now()
	e.load = &Load{updatedAt: now, readAt: now}
	return e.load
}

// add changes the number of attempts in flight by delta, as of now. It does nothing on a nil Load.
func (l *Load) add(now time.Time, delta int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	l.advance(now)
	l.inFlight += delta
	l.mu.Unlock()
}

func (l *Load) advance(now time.Time) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 { // Mean may have advanced past the start of the turn
		l.inFlightTime += elapsed * time.Duration(l.inFlight)
		l.updatedAt = now
	}
}

// Mean returns the mean number of attempts in flight since its last call. It returns false if no time has passed since then.
func (l *Load) Mean() (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(time.Now())
	span := l.updatedAt.Sub(l.readAt)
	if span <= 0 {
		return 0, false
	}
	mean := l.inFlightTime.Seconds() / span.Seconds()
	l.inFlightTime, l.readAt = 0, l.updatedAt
	return mean, true
}
