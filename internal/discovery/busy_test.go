package discovery

import (
	"sync"
	"testing"
	"time"
)

const (
	// patience is how long a busy machine may take to what comes within milliseconds on a quiet one.
	patience = time.Minute

	lookEvery = 5 * time.Millisecond
	lateLook  = 10 * time.Millisecond // an idle machine's own slip
)

// stood is when this process's own timers came late, and by how much: for so long the machine had it wait.
var stood struct {
	mu   sync.Mutex
	late []stall
}

type stall struct {
	at   time.Time
	late time.Duration
}

// standstills begins to look, once for all tests.
var standstills = sync.OnceFunc(func() {
	go func() {
		for {
			began := time.Now()
			time.Sleep(lookEvery)
			if late := time.Since(began) - lookEvery; late > lateLook {
				stood.mu.Lock()
				stood.late = append(stood.late, stall{began, late})
				stood.mu.Unlock()
			}
		}
	}()
})

// intime fails if something came too long after a moment. The time for which the machine had this process wait does not
// count: nobody could have kept that.
func intime(t *testing.T, came, after time.Time, most time.Duration) {
	t.Helper()
	var waited time.Duration
	stood.mu.Lock()
	for _, s := range stood.late {
		if s.at.After(after.Add(-s.late)) && s.at.Before(came) {
			waited += s.late
		}
	}
	stood.mu.Unlock()
	if took := came.Sub(after); took-waited > most {
		t.Errorf("heard after %v, %v allowed, for %v of which the machine stood still", took, most, waited)
	}
}
