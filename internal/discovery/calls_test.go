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

// sharedServer is a discovery service that all co-ordinators share and that serves calls one after another. Each call takes
// serveTime. A call that would be queued for longer than maxQueueTime is rejected, which takes rejectTime. A call that its client
// cancels is served all the same.
type sharedServer struct {
	ln net.Listener

	mu        sync.Mutex
	busyUntil time.Time // end of the calls that are accepted so far
	drained   bool      // the list is at index 2: v1 is replaced by v2
	rejected  int
	silenced  chan struct{} // closed to silence the open watches
}

const (
	clientCount  = 12
	serveTime    = 50 * time.Millisecond
	rejectTime   = 10 * time.Millisecond
	maxQueueTime = 300 * time.Millisecond // short enough that some clients have to retry
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

// admit accepts or rejects a call, and returns how long the response to an accepted call takes.
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

// list returns the current list, as a full list or as a change.
func (s *sharedServer) list(full bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained {
		return listJSON(2, full, endpointJSON("v2", "Ready"))
	}
	return listJSON(1, full, endpointJSON("v1", "Ready"))
}

// watch answers a watch: it sends a change that the client has missed, and then heartbeats until it is silenced.
// outdated means that the client has the list at index 1.
func (s *sharedServer) watch(nc net.Conn, outdated bool) {
	s.mu.Lock()
	silenced, drained := s.silenced, s.drained
	s.mu.Unlock()
	if io.WriteString(nc, watchHead); drained && outdated {
		io.WriteString(nc, chunk(s.list(false)+"\n"))
	}
	for {
		select {
		case <-silenced:
			io.Copy(io.Discard, nc) // until the client closes the connection
			return
		case <-time.After(100 * time.Millisecond):
			if _, err := io.WriteString(nc, chunk("\n")); err != nil {
				return
			}
		}
	}
}

// Guards against retries that overload a shared discovery: all watches fall silent at once, and a change follows. Each client must
// have the change before it counts as delivered, although discovery cannot serve all calls at once. Calls that are cancelled before
// their response, and retries right after a rejection, would keep discovery busy forever.
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
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) { // until all watches are open
		if s.mu.Lock(); s.busyUntil.Before(time.Now()) {
			break
		}
		if s.mu.Unlock(); time.Now().After(deadline) {
			t.Fatal("the first calls were not served in time")
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
			t.Errorf("client %d received the change %v after it counts as delivered", i, late)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Log(fmt.Sprint(s.rejected, " calls were rejected"))
}

// With a shared discovery, a client that knows a list from before the start requests a watch at once: the response begins with the
// changes since that list.
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
		t.Errorf("got %+v, want a change that drains the replica", l)
	}
}
