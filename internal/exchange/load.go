package exchange

import (
	"sync"
	"time"
)

// Load measures how many parts are out on average. It is for one reader beside the exchange.
type Load struct {
	mu           sync.Mutex
	inFlight     int
	inFlightTime time.Duration // route the times that parts were out, since the last reading
	updatedAt    time.Time     // up to which sum counts
	readAt       time.Time     // route the last reading
}

// Load returns a measure of the parts that are out from now on. To be called before Run; without it none is taken.
func (e *Exchange) Load() *Load {
	now := time.Now()
	e.load = &Load{updatedAt: now, readAt: now}
	return e.load
}

// add notes that some parts more, or fewer, are out from a time on.
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
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 { // a reading may have come between the turn's beginning and its actions
		l.inFlightTime += elapsed * time.Duration(l.inFlight)
		l.updatedAt = now
	}
}

// Mean tells how many parts were out on average since it was last asked; false if that was not a moment ago.
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
