package discovery

import (
	"io"
	"testing"
	"time"

	"birchcart/internal/exchange"
)

// gatedSink takes a list only when the test lets it.
type gatedSink struct {
	came chan exchange.ReplicaList
	take chan struct{}
}

func (s *gatedSink) UpdateReplicas(l exchange.ReplicaList) {
	s.came <- l
	<-s.take
}
func (s *gatedSink) WatchFailed() {}

// A change is pending from when it is in the kernel until the sink has it, and nothing is between changes; half an object that has
// been read waits for its end and holds up nothing.
func TestAChangeIsPendingUntilItIsPassedOn(t *testing.T) {
	a, s, c := startWith(t, false, calm)
	gate := &gatedSink{make(chan exchange.ReplicaList), make(chan struct{})}
	nc := watching(t, a, s, entry("a", "Ready"))
	until := func(want bool) {
		t.Helper()
		for end := time.Now().Add(patience); c.ListPending() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("pending is not %v", want)
			}
		}
	}
	until(false)
	c.mu.Lock() // the reader has no turn to pass it on
	c.sink = gate
	change := list(42, false, entry("a", "Terminating"))
	io.WriteString(nc, chunk(change))
	until(true)
	c.mu.Unlock()
	<-gate.came
	if !c.ListPending() {
		t.Error("a change that the sink has not taken is not pending")
	}
	gate.take <- struct{}{}
	until(false)
	half := list(43, false, entry("a", "Gone"))
	io.WriteString(nc, chunk(half[:20]))
	until(false)
	io.WriteString(nc, chunk(half[20:]))
	until(true)
	<-gate.came
	gate.take <- struct{}{}
	until(false)
}

// The end of an agent's watch that had lasted leaves the list pending until the full list is passed on, which is requested at once, or
// for a moment if that does not come.
func TestTheListIsPendingAfterAWatchThatEnds(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "unanswered": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, s, c := startWith(t, false, calm)
			nc := watching(t, a, s, entry("a", "Ready"))
			time.Sleep(calm.RedialMost + 50*time.Millisecond) // it has lasted
			nc.Close()
			nc, target := a.asked()
			asked := time.Now()
			if target != listTarget {
				t.Errorf("asked for %s", target)
			}
			if !c.ListPending() && time.Since(asked) < endHold/2 {
				t.Error("nothing is pending after the end")
			}
			if answered {
				io.WriteString(nc, whole(list(42, true, entry("a", "Terminating"))))
				s.next(t)
			}
			for end := time.Now().Add(patience); c.ListPending(); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("pending for ever")
				}
			}
		})
	}
}
