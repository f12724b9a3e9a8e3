package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/faultinject"
	"birchcart/internal/standin"
	"birchcart/internal/testproc"
	"birchcart/policy"
)

const (
	// knownWithin is the grace of a draining replica, 0.25 s, less the 0.15 s for which a process may be held up.
	knownWithin = 100 * time.Millisecond
	checkEvery  = 80 * time.Millisecond
)

// checkLimits are the limits of a deployment, as far as discovery uses them.
var checkLimits = config.Limits{
	HeadBytes: 16 << 10, BodyBytes: 64 << 10, ListBytes: 4 << 20, WatchSilence: 3 * time.Second, AgentTime: time.Second, LogEvery: time.Second,
	RedialFirst: 50 * time.Millisecond, RedialMost: 100 * time.Millisecond, ListCheck: checkEvery,
	CallTime: 2200 * time.Millisecond, CallFirst: 200 * time.Millisecond, CallMost: 2 * time.Second,
}

// startCheckedClient runs a client of an address until the test ends.
func startCheckedClient(t *testing.T, address string, shared bool) (*Client, *testSink) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &testSink{lists: make(chan exchange.ReplicaList, 10000), failed: make(chan struct{}, 10000)}
	c := New(&config.Config{Discovery: address, Limits: checkLimits, Policy: policy.Config{MustSubscribe: shared}}, NoIndex, s, logrus.NewEntry(log))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	c.Watch()
	return c, s
}

// startFaultyAgent starts an agent with so many replicas, s-0, s-1 and so on.
func startFaultyAgent(t *testing.T, replicas int) *faultinject.Agent {
	t.Helper()
	var list []standin.Endpoint
	for i := range replicas {
		list = append(list, standin.Endpoint{Name: fmt.Sprintf("s-%d", i), Address: "127.0.0.1:1", Zone: "a", Type: "std", Status: "Ready", Weight: 1})
	}
	a, err := faultinject.NewAgent(list)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// awaitDrain waits until the client knows that a replica wants nothing new.
func awaitDrain(t *testing.T, s *testSink, name string) {
	t.Helper()
	for {
		l := s.next(t)
		listed := false
		for _, e := range l.Entries {
			if e.Name == name && e.State != policy.Up {
				return
			}
			listed = listed || e.Name == name
		}
		if l.Full && !listed {
			return
		}
	}
}

// Guards against a change that is known only once a watch which is silent from its opening has timed out.
func TestChangeThatSilentWatchMissesIsFoundInTime(t *testing.T) {
	const shortList, mediumList, longList = 8, 200, 700 // the medium one is over checkBytesPerSecond, the long one over maxCheckedListBytes
	for name, c := range map[string]struct {
		replicas int
		fault    faultinject.WatchFault
		after    time.Duration
	}{
		"at once":             {shortList, faultinject.WatchFault{Silent: true}, 5 * time.Millisecond},
		"soon":                {shortList, faultinject.WatchFault{Silent: true}, 180 * time.Millisecond},
		"after 1 s":           {shortList, faultinject.WatchFault{Silent: true}, time.Second},
		"after 1.9 s":         {shortList, faultinject.WatchFault{Silent: true}, 1900 * time.Millisecond},
		"full list first":     {shortList, faultinject.WatchFault{Silent: true, FullFirst: true}, 300 * time.Millisecond},
		"late and in pieces":  {shortList, faultinject.WatchFault{Late: 1500 * time.Millisecond, Pieces: true}, 300 * time.Millisecond},
		"ends instead":        {shortList, faultinject.WatchFault{EndsInstead: true}, 300 * time.Millisecond},
		"medium list":         {mediumList, faultinject.WatchFault{Silent: true, FullFirst: true}, 700 * time.Millisecond},
		"long list":           {longList, faultinject.WatchFault{Silent: true}, 300 * time.Millisecond},
		"long list, and late": {longList, faultinject.WatchFault{Late: 1500 * time.Millisecond}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			standstills := testproc.WatchStandstills()
			a := startFaultyAgent(t, c.replicas)
			a.FailWatches(c.fault)
			_, s := startCheckedClient(t, a.Address(), false)
			s.next(t)
			time.Sleep(c.after)
			changedAt := time.Now()
			a.SetStatus("s-1", "Terminating")
			awaitDrain(t, s, "s-1")
			now := time.Now()
			if took, allowed := now.Sub(changedAt), knownWithin+standstills.Between(changedAt, now); took > allowed {
				t.Errorf("known after %v, want %v", took, allowed)
			}
		})
	}
}

// Guards against checks that end once a watch has proved itself, since it may fall silent later, against checks that cost more than
// one request each, and against checks of a shared discovery.
func TestWatchIsCheckedAtItsRate(t *testing.T) {
	const (
		proved    = 2500 * time.Millisecond // the watch has had a heartbeat
		span      = time.Second
		maxChecks = int(span/checkEvery) + 1
		minChecks = 5
	)
	for name, shared := range map[string]bool{"agent": false, "shared discovery": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := startFaultyAgent(t, 8)
			_, s := startCheckedClient(t, a.Address(), shared)
			s.next(t)
			time.Sleep(proved)
			calls := a.Calls()
			if shared && calls != 2 { // the list and the watch
				t.Errorf("%d calls, want 2", calls)
			}
			time.Sleep(span)
			more := a.Calls() - calls
			if shared && more > 0 || !shared && (more < minChecks || more > maxChecks) {
				t.Errorf("%d calls in %v after a heartbeat, want %d to %d from an agent, none from a shared discovery", more, span, minChecks, maxChecks)
			}
		})
	}
}

// Guards against a storm of connections to an agent that accepts them and says nothing, while a watch is open and after it.
func TestSilentAgentIsCalledAtBoundedRate(t *testing.T) {
	const (
		span     = 4 * time.Second
		maxCalls = 15 * int(span/time.Second) // one each 80 ms, and some to spare
		maxOpen  = maxConcurrentRequests + 1  // and the watch
		// settleTime is for the other end of a connection that is replaced to be noticed here.
		settleTime = 10 * time.Millisecond
	)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var calls, open, mostOpen atomic.Int64
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if calls.Add(1) == 1 {
				io.WriteString(nc, httpResponse(listJSON(41, true, endpointJSON("a", "Ready")))+watchHead)
			}
			open.Add(1)
			time.AfterFunc(settleTime, func() {
				if n := open.Load(); n > mostOpen.Load() {
					mostOpen.Store(n)
				}
			})
			go func() {
				io.Copy(io.Discard, nc)
				open.Add(-1)
				nc.Close()
			}()
		}
	}()
	_, s := startCheckedClient(t, ln.Addr().String(), false)
	s.next(t)
	time.Sleep(span)
	if n, most := calls.Load(), mostOpen.Load(); n > int64(maxCalls) || most > maxOpen || n < 10 {
		t.Errorf("%d calls in %v, %d at most open; want 10 to %d, %d", n, span, most, maxCalls, maxOpen)
	}
}
