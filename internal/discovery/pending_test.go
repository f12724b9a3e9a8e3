package discovery

import (
	"io"
	"testing"
	"time"

	"birchcart/internal/exchange"
)

// blockingSink takes a list only when the test lets it.
type blockingSink struct {
	received chan exchange.ReplicaList
	release  chan struct{}
}

func (s *blockingSink) UpdateReplicas(l exchange.ReplicaList) {
	s.received <- l
	<-s.release
}
func (s *blockingSink) WatchFailed() {}

// A change is pending from when it is in the kernel until the sink has it, and nothing is between changes; half an object that has
// been read waits for its end and holds up nothing.
func TestChangeIsPendingUntilApplied(t *testing.T) {
	a, s, c := startAgentWith(t, false, longLimits)
	blocked := &blockingSink{make(chan exchange.ReplicaList), make(chan struct{})}
	nc := openWatch(t, a, s, endpointJSON("a", "Ready"))
	waitForPending := func(want bool) {
		t.Helper()
		for deadline := time.Now().Add(testTimeout); c.ListPending() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("pending is not %v", want)
			}
		}
	}
	waitForPending(false)
	c.mu.Lock() // the reader has no turn to pass it on
	c.sink = blocked
	change := listJSON(42, false, endpointJSON("a", "Terminating"))
	io.WriteString(nc, chunk(change))
	waitForPending(true)
	c.mu.Unlock()
	<-blocked.received
	if !c.ListPending() {
		t.Error("a change that the sink has not taken is not pending")
	}
	blocked.release <- struct{}{}
	waitForPending(false)
	half := listJSON(43, false, endpointJSON("a", "Gone"))
	io.WriteString(nc, chunk(half[:20]))
	waitForPending(false)
	io.WriteString(nc, chunk(half[20:]))
	waitForPending(true)
	<-blocked.received
	blocked.release <- struct{}{}
	waitForPending(false)
}

// The end of an agent's watch that had lasted leaves the list pending until the full list is passed on, which is requested at once, or
// for a moment if that does not come.
func TestListIsPendingAfterWatchEnds(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "unanswered": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, s, c := startAgentWith(t, false, longLimits)
			nc := openWatch(t, a, s, endpointJSON("a", "Ready"))
			time.Sleep(longLimits.RedialMost + 50*time.Millisecond) // it has lasted
			nc.Close()
			nc, target := a.nextRequest()
			asked := time.Now()
			if target != listTarget {
				t.Errorf("asked for %s", target)
			}
			if !c.ListPending() && time.Since(asked) < unconfirmedTime/2 {
				t.Error("nothing is pending after the end")
			}
			if answered {
				io.WriteString(nc, httpResponse(listJSON(42, true, endpointJSON("a", "Terminating"))))
				s.next(t)
			}
			for end := time.Now().Add(testTimeout); c.ListPending(); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("pending for ever")
				}
			}
		})
	}
}
