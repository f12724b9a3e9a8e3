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

// closeRequestedCount counts the clients that were asked to close.
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

// While all places are taken, as many clients are asked to close as there are places wanted, however late they come round
// to it; once they have gone, the next ones are.
func TestNoMoreEvictionsThanNeeded(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.Clients, l.ClientsOver, l.SlowRequest = 4, 1, time.Millisecond })
	var idle []*clientConn
	for range 5 { // their goroutines have not had the processor
		c, _ := st.newUnstartedConn()
		idle = append(idle, c)
	}
	st.server.mu.Lock()
	for _, c := range idle {
		st.server.conns[c] = struct{}{}
	}
	st.server.mu.Unlock()
	var looks atomic.Int64
	st.server.mu.Lock()
	st.server.onEvict = func() { looks.Add(1) }
	st.server.mu.Unlock()
	st.dial() // accepted into a sixth place: two have to go before the next
	st.waitFor("Serve looks for room many times", func() bool { return looks.Load() > 20 })
	if n := st.closeRequestedCount(); n != 2 {
		t.Errorf("%d were asked to go, want 2", n)
	}
	for _, c := range idle {
		go c.run()
	}
	next := st.dial()
	next.write(queryRequest("a", "", validBody))
	st.nextQuery().Reply(exchange.Reply{})
	next.expectStatus(200)
}

// A client that takes no answer can't go before its time for that is over, so it is not the one that is asked.
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
		t.Error("one is asked to go that is being written to")
	}
	st.server.mu.Unlock()
	c.nc.Close()
}

// spent is a listener on a machine that is out of descriptors, until it is not.
type exhaustedListener struct {
	*net.TCPListener
	recovered, closed *atomic.Bool
	attempts          *atomic.Int64
}

func (l exhaustedListener) Close() error {
	l.closed.Store(true)
	return l.TCPListener.Close()
}

// Accept finds the listener's end before it finds no descriptor, as the runtime does.
func (l exhaustedListener) Accept() (net.Conn, error) {
	if !l.recovered.Load() && !l.closed.Load() {
		l.attempts.Add(1)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.TCPListener.Accept()
}

func newTestServerWithoutDescriptors(t *testing.T, change func(*config.Limits)) (*testServer, exhaustedListener) {
	l := exhaustedListener{recovered: new(atomic.Bool), closed: new(atomic.Bool), attempts: new(atomic.Int64)}
	return newTestServerWithListener(t, change, func(ln net.Listener) net.Listener {
		l.TCPListener = ln.(*net.TCPListener)
		return l
	}), l
}

// Out of descriptors the accepting goes on trying, and serves who came meanwhile once there are some.
func TestAcceptResumesAfterDescriptorExhaustion(t *testing.T) {
	st, l := newTestServerWithoutDescriptors(t, nil)
	c := st.dial()
	c.write(queryRequest("a", "", validBody))
	st.waitFor("some tries", func() bool { return l.attempts.Load() >= 3 })
	l.recovered.Store(true)
	st.nextQuery().Reply(exchange.Reply{})
	c.expectStatus(200)
}

// The drain ends also where no descriptor is had any more, and the listener with it.
func TestDrainEndsWithoutDescriptors(t *testing.T) {
	st, l := newTestServerWithoutDescriptors(t, nil)
	st.waitFor("some tries", func() bool { return l.attempts.Load() >= 3 })
	st.expectDrained(st.startDrain())
	if !st.server.acceptHasEnded() {
		t.Error("still accepting")
	}
	if _, err := net.Dial("tcp", st.server.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("still listening: %v", err)
	}
}
