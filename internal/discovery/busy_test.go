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
func checkLatency(t *testing.T, receivedAt, since time.Time, limit time.Duration) {
	t.Helper()
	stalled := processStalls().Between(since, receivedAt)
	if latency := receivedAt.Sub(since); latency-stalled > limit {
		t.Errorf("heard after %v, %v allowed, for %v of which the machine stood still", latency, limit, stalled)
	}
}
