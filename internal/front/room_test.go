package front

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
)

// closeRequestedCount counts the connections whose close has been requested.
func (st *testServer) closeRequestedCount() (n int) {
	st.server.mu.Lock()
	defer st.server.mu.Unlock()
	for c := range st.server.conns {
		c.mu.Lock()
		if c.closeRequested {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// announcingListener announces that it is about to accept.
type announcingListener struct {
	net.Listener
	accepting chan struct{}
}

func (l announcingListener) Accept() (net.Conn, error) {
	select {
	case l.accepting <- struct{}{}:
	default:
	}
	return l.Listener.Accept()
}

// While all slots are in use, the close of only as many connections is requested as slots are needed, however late their
// goroutines run. Once these have closed, new connections are served.
func TestNoMoreEvictionsThanNeeded(t *testing.T) {
	accepting := make(chan struct{}, 1)
	st := newTestServerWithListener(t, func(l *config.Limits) { l.Clients, l.ClientsOver, l.SlowRequest = 4, 1, time.Millisecond },
		func(ln net.Listener) net.Listener { return announcingListener{ln, accepting} })
	<-accepting // otherwise Serve would find all slots taken and wait for one before it accepts the sixth connection
	var idle []*clientConn
	for range 5 { // their goroutines have not been scheduled yet
		c, _ := st.newUnstartedConn()
		idle = append(idle, c)
	}
	st.server.mu.Lock()
	for _, c := range idle {
		st.server.conns[c] = struct{}{}
	}
	st.server.mu.Unlock()
	var attempts atomic.Int64
	st.server.mu.Lock()
	st.server.onEvict = func() { attempts.Add(1) }
	st.server.mu.Unlock()
	st.dial() // gets a sixth slot: two connections must close before the next is accepted
	st.waitFor("Serve has tried many times to free a slot", func() bool { return attempts.Load() > 20 })
	if n := st.closeRequestedCount(); n != 2 {
		t.Errorf("the close of %d connections was requested, want 2", n)
	}
	for _, c := range idle {
		go c.run()
	}
	next := st.dial()
	next.write(queryRequest("a", "", validBody))
	st.nextQuery().Reply(exchange.Reply{})
	next.expectStatus(200)
}

// A connection whose client does not read its answer can't close before the write times out, so it is not evicted.
func TestConnectionBlockedInWriteIsNotEvicted(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.WriteTime, l.SlowRequest = time.Hour, time.Nanosecond })
	c := st.dialAccepted()
	c.write(queryRequest("a", "", validBody))
	st.nextQuery().Reply(hugeReply())
	st.waitFor("the answer is being written", func() bool {
		_, err := c.r.Peek(1)
		return err == nil
	})
	st.server.mu.Lock()
	if st.server.evict(nil) {
		t.Error("a connection that is blocked in a write was chosen for eviction")
	}
	st.server.mu.Unlock()
	c.nc.Close()
}

// exhaustedListener is a listener whose Accept fails for lack of descriptors until recovered is set.
type exhaustedListener struct {
	*net.TCPListener
	recovered, closed *atomic.Bool
	attempts          *atomic.Int64
}

func (l exhaustedListener) Close() error {
	l.closed.Store(true)
	return l.TCPListener.Close()
}

// Accept reports a closed listener before a lack of descriptors, as the runtime does.
func (l exhaustedListener) Accept() (net.Conn, error) {
	if !l.recovered.Load() && !l.closed.Load() {
		l.attempts.Add(1)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.TCPListener.Accept()
}

func newTestServerWithoutDescriptors(t *testing.T, adjust func(*config.Limits)) (*testServer, exhaustedListener) {
	l := exhaustedListener{recovered: new(atomic.Bool), closed: new(atomic.Bool), attempts: new(atomic.Int64)}
	return newTestServerWithListener(t, adjust, func(ln net.Listener) net.Listener {
		l.TCPListener = ln.(*net.TCPListener)
		return l
	}), l
}

// When the process is out of descriptors, Serve goes on trying to accept. Clients that connected meanwhile are served once
// there are descriptors again.
func TestAcceptResumesAfterDescriptorExhaustion(t *testing.T) {
	st, l := newTestServerWithoutDescriptors(t, nil)
	c := st.dial()
	c.write(queryRequest("a", "", validBody))
	st.waitFor("Accept has failed several times", func() bool { return l.attempts.Load() >= 3 })
	l.recovered.Store(true)
	st.nextQuery().Reply(exchange.Reply{})
	c.expectStatus(200)
}

// The drain ends and closes the listener although the process stays out of descriptors.
func TestDrainEndsWithoutDescriptors(t *testing.T) {
	st, l := newTestServerWithoutDescriptors(t, nil)
	st.waitFor("Accept has failed several times", func() bool { return l.attempts.Load() >= 3 })
	st.expectDrained(st.startDrain())
	if !st.server.acceptHasEnded() {
		t.Error("still accepting")
	}
	if _, err := net.Dial("tcp", st.server.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("still listening: %v", err)
	}
}
