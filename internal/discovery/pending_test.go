package discovery

import (
	"io"
	"testing"
	"time"

	"birchcart/internal/exchange"
)

// blockingSink blocks in UpdateReplicas until the test releases it.
type blockingSink struct {
	received chan exchange.ReplicaList
	release  chan struct{}
}

func (s *blockingSink) UpdateReplicas(l exchange.ReplicaList) {
	s.received <- l
	<-s.release
}
func (s *blockingSink) WatchFailed() {}

// A change must be pending from its arrival in the receive buffer until the sink has it. Nothing is pending between changes, nor while
// an object has been read in part.
func TestChangeIsPendingUntilApplied(t *testing.T) {
	a, s, c := startAgentWith(t, false, longLimits)
	blocked := &blockingSink{make(chan exchange.ReplicaList), make(chan struct{})}
	nc := openWatch(t, a, s, endpointJSON("a", "Ready"))
	waitForPending := func(want bool) {
		t.Helper()
		for deadline := time.Now().Add(testTimeout); c.ListPending() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("ListPending did not become %v", want)
			}
		}
	}
	waitForPending(false)
	c.mu.Lock() // keeps the reader from passing the change on
	c.sink = blocked
	change := listJSON(42, false, endpointJSON("a", "Terminating"))
	io.WriteString(nc, chunk(change))
	waitForPending(true)
	c.mu.Unlock()
	<-blocked.received
	if !c.ListPending() {
		t.Error("ListPending is false while the sink has not accepted the change")
	}
	blocked.release <- struct{}{}
	waitForPending(false)
	removal := listJSON(43, false, endpointJSON("a", "Gone"))
	io.WriteString(nc, chunk(removal[:20]))
	waitForPending(false)
	io.WriteString(nc, chunk(removal[20:]))
	waitForPending(true)
	<-blocked.received
	blocked.release <- struct{}{}
	waitForPending(false)
}

// After the end of an agent's watch that lasted longer than maxBackoff, the full list must be requested at once. The list must be
// pending until the full list is passed on, or for unconfirmedTime if there is no response.
func TestListIsPendingAfterWatchEnds(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "unanswered": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, s, c := startAgentWith(t, false, longLimits)
			nc := openWatch(t, a, s, endpointJSON("a", "Ready"))
			time.Sleep(longLimits.RedialMost + 50*time.Millisecond) // longer than maxBackoff
			nc.Close()
			nc, target := a.nextRequest()
			requestedAt := time.Now()
			if target != listTarget {
				t.Errorf("request for %s, want the full list", target)
			}
			if !c.ListPending() && time.Since(requestedAt) < unconfirmedTime/2 {
				t.Error("ListPending is false right after the end of the watch")
			}
			if answered {
				io.WriteString(nc, httpResponse(listJSON(42, true, endpointJSON("a", "Terminating"))))
				s.next(t)
			}
			for deadline := time.Now().Add(testTimeout); c.ListPending(); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("ListPending stayed true")
				}
			}
		})
	}
}
