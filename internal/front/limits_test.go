package front

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
)

// Guards against reading megabytes of a body that is rejected: the error is sent at once, and little of the rest is read.
func TestOversizedBodyIsNotRead(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.Linger = 100 * time.Millisecond })
	c := st.dial()
	sent := make(chan int, 1)
	go func() {
		n := 0
		io.WriteString(c.nc, "POST /search HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n")
		for junk := make([]byte, 64<<10); n < 60_000_000; {
			m, err := c.nc.Write(junk)
			if n += m; err != nil {
				break
			}
		}
		sent <- n
	}()
	c.expectStatus(413)
	if n := <-sent; n >= 60_000_000 {
		t.Error("the whole body was read")
	}
}

// A connection on which no request, or only a partial one, has been sent is closed FirstTime after it was accepted, although
// an established connection may be idle for longer.
func TestFirstRequestDeadline(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.FirstTime = 300 * time.Millisecond }) // long enough for a query on a busy machine
	established := st.dial()
	established.write(queryRequest("a", "", validBody))
	st.nextQuery().Reply(exchange.Reply{})
	established.expectStatus(200)
	st.dial().expectClosed()
	partial := st.dial()
	partial.write(queryRequest("b", "", validBody)[:50])
	partial.expectStatus(408)
	partial.expectClosed()
	trickling := st.dial() // sending a byte now and then does not extend the deadline
	go func() {
		for _, b := range []byte(queryRequest("c", "", validBody)) {
			if _, err := trickling.nc.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	trickling.expectStatus(408)
	established.write(queryRequest("d", "", validBody))
	st.nextQuery().Reply(exchange.Reply{})
	established.expectStatus(200)
}

// Guards against many concurrent bodies that exhaust a small memory: when the incomplete requests of all connections exceed
// UnreadBytes, a large request is rejected while small ones are accepted. The bytes of an ended connection are released.
func TestPartialRequestBytesAreLimited(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.UnreadBytes = 20 << 10 })
	large := func() *testClient {
		c := st.dial()
		head, _, _ := strings.Cut(queryRequest("x", "", strings.Repeat(" ", 60<<10)), "   ")
		c.write(head + strings.Repeat(" ", 12<<10))
		return c
	}
	first := large()
	for end := time.Now().Add(testTimeout); st.server.partialBytes.Load() < 12<<10; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are reserved", st.server.partialBytes.Load())
		}
	}
	second := large()
	second.expectStatus(503)
	second.expectClosed()
	small := st.dial()
	small.write(queryRequest("a", "", validBody))
	st.nextQuery().Reply(exchange.Reply{})
	small.expectStatus(200)
	first.nc.Close()
	for end := time.Now().Add(testTimeout); st.server.partialBytes.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still reserved", st.server.partialBytes.Load())
		}
	}
}

// The connection limit also holds during the drain, or the process would run out of descriptors when hundreds of clients
// connect.
func TestConnectionLimitHoldsDuringDrain(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) {
		l.Clients, l.ClientsOver, l.SlowRequest, l.FirstTime = 2, 1, time.Minute, 300*time.Millisecond
		l.DrainTime, l.EndTime = time.Second, 3*time.Second // a busy machine may connect late
	})
	done := make(chan struct{})
	go func() { st.server.Drain(context.Background()); close(done) }()
	for !st.server.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	for range 10 {
		st.dial()
	}
	count := func() int {
		st.server.mu.Lock()
		defer st.server.mu.Unlock()
		return len(st.server.conns)
	}
	for end := time.Now().Add(testTimeout); count() != 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections", count())
		}
	}
	time.Sleep(50 * time.Millisecond)
	if n := count(); n > 3 {
		t.Errorf("%d connections", n)
	}
	st.server.mu.Lock()
	for c := range st.server.conns {
		c.conn.Close()
	}
	st.server.mu.Unlock()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("Drain did not return")
	}
}

// At most IdleMost connections between requests are kept. Beyond that the longest idle one is closed, although the
// connection limit is not reached. A connection with a pending query does not count.
func TestIdleConnectionsAreLimited(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.IdleMost = 2 })
	var all []*testClient
	for range 5 {
		c := st.dial()
		c.write(queryRequest("a", "", validBody))
		st.nextQuery().Reply(exchange.Reply{})
		c.expectStatus(200)
		all = append(all, c)
		time.Sleep(2 * time.Millisecond)
	}
	open := st.dial()
	open.write(queryRequest("b", "", validBody))
	q := st.nextQuery()
	for _, c := range all[:3] {
		c.expectClosed()
	}
	time.Sleep(30 * time.Millisecond)
	for _, c := range all[3:] {
		c.write(queryRequest("c", "", validBody))
		st.nextQuery().Reply(exchange.Reply{})
		c.expectStatus(200)
	}
	q.Reply(exchange.Reply{})
	open.expectStatus(200)
}

// For new connections, silent connections are evicted before a client's idle connection. A new connection can't be evicted
// before it has had SlowRequest to send a request.
func TestSilentConnectionsAreEvictedBeforeIdleOnes(t *testing.T) {
	t.Parallel()
	// Much longer than a busy machine takes between connecting and sending a request.
	const slowAfter = 600 * time.Millisecond
	st := newTestServer(t, func(l *config.Limits) { l.Clients, l.ClientsOver, l.SlowRequest = 3, 1, slowAfter })
	established := st.dial()
	established.write(queryRequest("a", "", validBody))
	st.nextQuery().Reply(exchange.Reply{})
	established.expectStatus(200)
	time.Sleep(20 * time.Millisecond)
	silent := [2]*testClient{st.dialAccepted(), st.dialAccepted()}
	time.Sleep(slowAfter * 5 / 4)
	st.dialAccepted() // also silent, but new
	silent[0].expectClosed()
	for range 5 { // more than there are connection slots
		st.dialAccepted()
		time.Sleep(slowAfter * 6 / 5)
	}
	silent[1].expectClosed()
	last := st.dial()
	last.write(queryRequest("b", "", validBody))
	st.nextQuery().Reply(exchange.Reply{})
	last.expectStatus(200)
	established.write(queryRequest("c", "", validBody))
	st.nextQuery().Reply(exchange.Reply{})
	established.expectStatus(200)
}

// At the connection limit, idle connections and those with slow requests are evicted for new ones. When all are busy the
// newest gets a rejection, and beyond ClientsOver of those the rest wait in the kernel's listen queue until one ends.
func TestConnectionLimit(t *testing.T) {
	const slowAfter = 250 * time.Millisecond // much longer than a busy machine takes between connecting and sending a request
	st := newTestServer(t, func(l *config.Limits) { l.Clients, l.ClientsOver, l.SlowRequest = 2, 1, slowAfter })
	idle, busy := st.dial(), st.dial()
	idle.write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	idle.expectStatus(200)
	busy.write(queryRequest("a", "", validBody))
	first := st.nextQuery()
	time.Sleep(2 * slowAfter)
	second := st.dial()
	idle.expectClosed()
	second.write(queryRequest("b", "", validBody))
	b := st.nextQuery()
	rejected := st.dial()
	rejected.write(queryRequest("c", "", validBody))
	rejected.expectStatus(503)
	rejected.expectClosed()
	waiting := st.dial()
	waiting.write(queryRequest("d", "", validBody))
	waiting.expectStatus(503)
	first.Reply(exchange.Reply{})
	busy.expectStatus(200)
	b.Reply(exchange.Reply{})
	second.expectStatus(200)
	st.expectNoQuery()
	slow := st.dial()
	busy.expectClosed()
	slow.write("POST /search")
	time.Sleep(2 * slowAfter)
	c := st.dial()
	c.write(queryRequest("e", "", validBody))
	e := st.nextQuery()
	d := st.dial()
	slow.expectClosed()
	second.expectClosed()
	d.write(queryRequest("f", "", validBody))
	st.nextQuery().Reply(exchange.Reply{})
	d.expectStatus(200)
	e.Reply(exchange.Reply{})
	c.expectStatus(200)
}

// A connection over the limit may be evicted for later ones but not for itself: its request is rejected even if it is read
// only after the connection has become evictable.
func TestConnectionOverLimitDoesNotEvictItself(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.Clients, l.ClientsOver, l.SlowRequest = 1, 3, time.Millisecond })
	busy := st.dial()
	busy.write(queryRequest("a", "", validBody))
	a := st.nextQuery()
	for range 3 {
		rejected := st.dial()
		time.Sleep(20 * time.Millisecond) // longer than SlowRequest, for which a new connection is not evictable
		rejected.write(queryRequest("b", "", validBody))
		rejected.expectStatus(503)
		rejected.expectClosed()
	}
	a.Reply(exchange.Reply{})
	busy.expectStatus(200)
}

// When all slots are in use, a connection that becomes evictable is evicted even if no further connection event occurs.
func TestIdleConnectionIsEvictedWithoutNewConnection(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.Clients, l.ClientsOver = 1, 1 })
	idle := st.dial()
	st.dial()
	idle.expectClosed()
}

// Once a client has seen the end of a connection, its slot is free.
func TestClosedConnectionFreesItsSlot(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.Clients, l.ClientsOver, l.SlowRequest = 1, 1, time.Minute })
	for range 200 {
		first := st.dial()
		first.write(queryRequest("a", "", validBody))
		a := st.nextQuery()
		next := st.dial()
		first.nc.(*net.TCPConn).CloseWrite()
		<-st.exchange.gone
		a.Reply(exchange.Reply{}) // its client has disconnected
		first.expectClosed()
		next.write(queryRequest("b", "", validBody))
		st.nextQuery().Reply(exchange.Reply{})
		next.expectStatus(200)
		next.nc.(*net.TCPConn).CloseWrite()
		next.expectClosed()
	}
}
