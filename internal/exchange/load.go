package exchange

import (
	"sync"
	"time"
)

// Load measures how many parts are out on average. It is for one reader beside the exchange.
type Load struct {
	mu   sync.Mutex
	out  int
	sum  time.Duration // of the times that parts were out, since the last reading
	at   time.Time     // up to which sum counts
	from time.Time     // of the last reading
}

// Load returns a measure of the parts that are out from now on. To be called before Run; without it none is taken.
func (e *Exchange) Load() *Load {
	now := time.Now()
	e.load = &Load{at: now, from: now}
	return e.load
}

// change notes that some parts more, or fewer, are out from a time on.
func (l *Load) change(now time.Time, by int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	l.upTo(now)
	l.out += by
	l.mu.Unlock()
}

func (l *Load) upTo(now time.Time) {
	if passed := now.Sub(l.at); passed > 0 { // a reading may have come between the turn's beginning and its actions
		l.sum += passed * time.Duration(l.out)
		l.at = now
	}
}

// Mean tells how many parts were out on average since it was last asked; false if that was not a moment ago.
func (l *Load) Mean() (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upTo(time.Now())
	span := l.at.Sub(l.from)
	if span <= 0 {
		return 0, false
	}
	mean := l.sum.Seconds() / span.Seconds()
	l.sum, l.from = 0, l.at
	return mean, true
}
