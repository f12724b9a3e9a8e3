package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/policy"
)

// shared is a discovery that all co-ordinators call, and that serves calls in turn: one takes serveTime, and one that would
// wait for longer than maxQueueTime is refused, which takes rejectTime. A call that is left is served all the same.
type sharedServer struct {
	ln net.Listener

	mu        sync.Mutex
	busyUntil time.Time // until then
	drained   bool      // the next version, in which the replica drains, is there
	rejected  int
	silenced  chan struct{} // closed when the watches that are open fall silent
}

const (
	clientCount  = 12
	serveTime    = 50 * time.Millisecond
	rejectTime   = 10 * time.Millisecond
	maxQueueTime = 300 * time.Millisecond // some have to come again
)

// serve answers the calls of one connection.
func (s *sharedServer) serve(nc net.Conn) {
	defer nc.Close()
	for r := bufio.NewReader(nc); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		for head := line; head != "\r\n"; {
			if head, err = r.ReadString('\n'); err != nil {
				return
			}
		}
		accepted, wait := s.admit()
		time.Sleep(wait)
		target := strings.Fields(line)[1]
		switch {
		case !accepted:
			io.WriteString(nc, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		case target == "/api/targets":
			io.WriteString(nc, httpResponse(s.list(true)))
		default:
			s.watch(nc, strings.HasSuffix(target, "after=1"))
			return
		}
	}
}

// call takes one call, and tells how long it waits for its turn.
func (s *sharedServer) admit() (accepted bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	if s.busyUntil.Sub(now) > maxQueueTime {
		s.busyUntil = s.busyUntil.Add(rejectTime)
		s.rejected++
		return false, 0
	}
	s.busyUntil = s.busyUntil.Add(serveTime)
	return true, s.busyUntil.Sub(now)
}

func (s *sharedServer) list(full bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained {
		return listJSON(2, full, endpointJSON("v2", "Ready"))
	}
	return listJSON(1, full, endpointJSON("v1", "Ready"))
}

// watch says first what was missed, and then that nothing changes, until it falls silent.
func (s *sharedServer) watch(nc net.Conn, outdated bool) {
	s.mu.Lock()
	muted, drained := s.silenced, s.drained
	s.mu.Unlock()
	if io.WriteString(nc, watchHead); drained && outdated {
		io.WriteString(nc, chunk(s.list(false)+"\n"))
	}
	for {
		select {
		case <-muted:
			io.Copy(io.Discard, nc) // until the other side leaves
			return
		case <-time.After(100 * time.Millisecond):
			if _, err := io.WriteString(nc, chunk("\n")); err != nil {
				return
			}
		}
	}
}

// All watches of a discovery that many co-ordinators share fall silent at once, and a change comes right after. Each has it
// before it counts as told, although discovery can't take all calls at once: calls that are left unanswered, and calls
// that follow a refusal at once, would keep it busy for ever.
func TestSharedDiscoveryServesAllClientsAfterSilence(t *testing.T) {
	s := &sharedServer{ln: listenLoopback(t), silenced: make(chan struct{})}
	go func() {
		for {
			nc, err := s.ln.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
	t.Cleanup(func() { s.ln.Close() })
	var waitFuncs []func(string) time.Time
	for range clientCount {
		c, waitForReplica, _ := startClient(t, s.ln.Addr().String(), true)
		c.Watch()
		waitFuncs = append(waitFuncs, waitForReplica)
	}
	for _, waitForReplica := range waitFuncs {
		waitForReplica("v1")
	}
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) { // all watches are open
		if s.mu.Lock(); s.busyUntil.Before(time.Now()) {
			break
		}
		if s.mu.Unlock(); time.Now().After(deadline) {
			t.Fatal("the calls at the start were never served")
		}
	}
	silentSince := time.Now()
	s.drained = true
	close(s.silenced)
	s.silenced = make(chan struct{})
	s.mu.Unlock()
	for i, waitForReplica := range waitFuncs {
		receivedAt := waitForReplica("v2")
		if late := receivedAt.Sub(silentSince) - deliveryLimit; late > 0 {
			t.Errorf("co-ordinator %d heard %v after it counts as told", i, late)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Log(fmt.Sprint(s.rejected, " calls were refused"))
}

// Where the list is asked for, one that is held from before the start is watched at once: the answer tells what has changed.
func TestSharedDiscoveryWatchesKnownListAtOnce(t *testing.T) {
	a := newManualAgent(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &testSink{make(chan exchange.ReplicaList, 10), make(chan struct{}, 10)}
	c := New(&config.Config{Discovery: a.address(), Policy: policy.Config{MustSubscribe: true}, Limits: longLimits}, 5, s, logrus.NewEntry(log))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go c.Run(ctx)
	c.Watch()
	nc, r := a.accept()
	a.expectRequest(r, "/api/targets?watch=1&after=5")
	io.WriteString(nc, watchHead+chunk(listJSON(6, false, endpointJSON("a", "Terminating"))+"\n"))
	if l := s.next(t); l.Full || len(l.Entries) != 1 || l.Entries[0].State != policy.Draining {
		t.Errorf("%+v", l)
	}
}
