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

// hungUp counts the clients that were asked to close.
func (st *stand) hungUp() (n int) {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	for c := range st.s.conns {
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
func TestNoMoreAreAskedToGoThanPlacesAreWanted(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.Clients, l.ClientsOver, l.SlowRequest = 4, 1, time.Millisecond })
	var idle []*clientConn
	for range 5 { // their goroutines have not had the processor
		c, _ := st.unstarted()
		idle = append(idle, c)
	}
	st.s.mu.Lock()
	for _, c := range idle {
		st.s.conns[c] = struct{}{}
	}
	st.s.mu.Unlock()
	var looks atomic.Int64
	st.s.mu.Lock()
	st.s.onEvict = func() { looks.Add(1) }
	st.s.mu.Unlock()
	st.dial() // accepted into a sixth place: two have to go before the next
	st.until("Serve looks for room many times", func() bool { return looks.Load() > 20 })
	if n := st.hungUp(); n != 2 {
		t.Errorf("%d were asked to go, want 2", n)
	}
	for _, c := range idle {
		go c.run()
	}
	next := st.dial()
	next.write(query("a", "", goodBody))
	st.next().Reply(exchange.Reply{})
	next.status(200)
}

// A client that takes no answer can't go before its time for that is over, so it is not the one that is asked.
func TestWhoIsWrittenToIsNotAskedToGo(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.WriteTime, l.SlowRequest = time.Hour, time.Nanosecond })
	c := st.dialled()
	c.write(query("a", "", goodBody))
	st.next().Reply(hugeReply())
	st.until("the answer is being written", func() bool {
		_, err := c.r.Peek(1)
		return err == nil
	})
	st.s.mu.Lock()
	if st.s.evict(nil) {
		t.Error("one is asked to go that is being written to")
	}
	st.s.mu.Unlock()
	c.nc.Close()
}

// spent is a listener on a machine that is out of descriptors, until it is not.
type spent struct {
	*net.TCPListener
	over, closed *atomic.Bool
	tries        *atomic.Int64
}

func (l spent) Close() error {
	l.closed.Store(true)
	return l.TCPListener.Close()
}

// Accept finds the listener's end before it finds no descriptor, as the runtime does.
func (l spent) Accept() (net.Conn, error) {
	if !l.over.Load() && !l.closed.Load() {
		l.tries.Add(1)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.TCPListener.Accept()
}

func newSpent(t *testing.T, change func(*config.Limits)) (*stand, spent) {
	l := spent{over: new(atomic.Bool), closed: new(atomic.Bool), tries: new(atomic.Int64)}
	return newStandOn(t, change, func(ln net.Listener) net.Listener {
		l.TCPListener = ln.(*net.TCPListener)
		return l
	}), l
}

// Out of descriptors the accepting goes on trying, and serves who came meanwhile once there are some.
func TestAcceptingOutOfDescriptors(t *testing.T) {
	st, l := newSpent(t, nil)
	c := st.dial()
	c.write(query("a", "", goodBody))
	st.until("some tries", func() bool { return l.tries.Load() >= 3 })
	l.over.Store(true)
	st.next().Reply(exchange.Reply{})
	c.status(200)
}

// The drain ends also where no descriptor is had any more, and the listener with it.
func TestTheDrainEndsOutOfDescriptors(t *testing.T) {
	st, l := newSpent(t, nil)
	st.until("some tries", func() bool { return l.tries.Load() >= 3 })
	st.drained(st.draining())
	if !st.s.acceptHasEnded() {
		t.Error("still accepting")
	}
	if _, err := net.Dial("tcp", st.s.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("still listening: %v", err)
	}
}
