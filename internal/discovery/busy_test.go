package discovery

import (
	"sync"
	"testing"
	"time"

	"birchcart/internal/testproc"
)

const (
	// patience is how long a busy machine may take to what comes within milliseconds on a quiet one.
	testTimeout = time.Minute

	pollInterval = 5 * time.Millisecond
)

// standstills begins to look, once for all tests.
var processStalls = sync.OnceValue(testproc.WatchStandstills)

// intime fails if something came too long after a moment. The time for which the machine had this process wait does not
// count: nobody could have kept that.
func checkLatency(t *testing.T, came, after time.Time, most time.Duration) {
	t.Helper()
	waited := processStalls().Between(after, came)
	if took := came.Sub(after); took-waited > most {
		t.Errorf("heard after %v, %v allowed, for %v of which the machine stood still", took, most, waited)
	}
}
