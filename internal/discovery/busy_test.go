package discovery

import (
	"sync"
	"testing"
	"time"

	"birchcart/internal/testproc"
)

const (
	// testTimeout is the limit for events that take milliseconds on an idle machine.
	testTimeout = time.Minute

	// pollInterval is the interval at which a test checks a condition.
	pollInterval = 5 * time.Millisecond
)

// processStalls starts the detection of process stalls, once for all tests.
var processStalls = sync.OnceValue(testproc.WatchStandstills)

// checkLatency fails the test if receivedAt is more than limit after since. Time in which the machine did not schedule this process
// does not count, since no client could meet a limit then.
func checkLatency(t *testing.T, receivedAt, since time.Time, limit time.Duration) {
	t.Helper()
	stalled := processStalls().Between(since, receivedAt)
	if latency := receivedAt.Sub(since); latency-stalled > limit {
		t.Errorf("received after %v, want at most %v; the process was stalled for %v of that time", latency, limit, stalled)
	}
}
