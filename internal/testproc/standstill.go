package testproc

import (
	"sync"
	"time"
)

const (
	lookEvery = 5 * time.Millisecond
	lateLook  = 10 * time.Millisecond // an idle machine's own slip
)

// Standstills notes when this process's own timers come late: for so long the machine had it wait. A test that holds a peer to a
// time does not count that against it.
type Standstills struct {
	mu   sync.Mutex
	late []standstill
}

type standstill struct {
	at   time.Time
	late time.Duration
}

// WatchStandstills begins to look, until the process ends.
func WatchStandstills() *Standstills {
	s := &Standstills{}
	go func() {
		for {
			began := time.Now()
			time.Sleep(lookEvery)
			if late := time.Since(began) - lookEvery; late > lateLook {
				s.mu.Lock()
				s.late = append(s.late, standstill{began, late})
				s.mu.Unlock()
			}
		}
	}()
	return s
}

// Between is for how long the process stood still between two moments.
func (s *Standstills) Between(from, to time.Time) (sum time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.late {
		if one.at.After(from.Add(-one.late)) && one.at.Before(to) {
			sum += one.late
		}
	}
	return sum
}
