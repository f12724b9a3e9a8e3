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

// Guards against megabytes of a body that is rejected: the error goes out at once, and of the rest little is read.
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
		t.Error("all of it was read")
	}
}

// A client that says nothing, or half a request, is closed on time from its connecting, though an established one
// may be idle for longer.
func TestFirstRequestDeadline(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.FirstTime = 300 * time.Millisecond }) // in which a busy machine asks, too
	kept := st.dial()
	kept.write(queryRequest("a", "", validBody))
	st.nextQuery().Reply(exchange.Reply{})
	kept.expectStatus(200)
	st.dial().expectClosed()
	half := st.dial()
	half.write(queryRequest("b", "", validBody)[:50])
	half.expectStatus(408)
	half.expectClosed()
	bit := st.dial() // a byte now and then gives no more time
	go func() {
		for _, b := range []byte(queryRequest("c", "", validBody)) {
			if _, err := bit.nc.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	bit.expectStatus(408)
	kept.write(queryRequest("d", "", validBody))
	st.nextQuery().Reply(exchange.Reply{})
	kept.expectStatus(200)
}

// Guards against many bodies at once that a small memory does not hold: past the budget for all connections a
// large request is rejected while small ones pass, and what is over is given back.
func TestPartialRequestBytesAreLimited(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.UnreadBytes = 20 << 10 })
	large := func() *testClient {
		c := st.dial()
		head, _, _ := strings.Cut(queryRequest("x", "", strings.Repeat(" ", 60<<10)), "   ")
		c.write(head + strings.Repeat(" ", 12<<10))
		return c
	}
	first := large()
	for end := time.Now().Add(testTimeout); st.server.partialBytes.Load() < 12<<10; time.Sleep(time.Millisecond) { // it is booked
		if time.Now().After(end) {
			t.Fatalf("%d bytes are booked", st.server.partialBytes.Load())
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
			t.Fatalf("%d bytes are still booked", st.server.partialBytes.Load())
		}
	}
}

// The limit on connections holds while draining, too, or descriptors run out where clients come by hundreds.
func TestConnectionLimitHoldsDuringDrain(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) {
		l.Clients, l.ClientsOver, l.SlowRequest, l.FirstTime = 2, 1, time.Minute, 300*time.Millisecond
		l.DrainTime, l.EndTime = time.Second, 3*time.Second // a busy machine dials late
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
		t.Fatal("not done")
	}
}

// Connections between requests are kept up to a number; past that the one idle longest is closed, though there is
// room for more. One with a request open is not counted.
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

// Silent connections and those that only sent what could not be used make room for new ones before a client's that
// is between requests; a new one has its time to speak first.
func TestSilentConnectionsAreEvictedBeforeIdleOnes(t *testing.T) {
	t.Parallel()
	// Far past what a busy machine takes from connecting to asking.
	const slowAfter = 600 * time.Millisecond
	st := newTestServer(t, func(l *config.Limits) { l.Clients, l.ClientsOver, l.SlowRequest = 3, 1, slowAfter })
	usual := st.dial()
	usual.write(queryRequest("a", "", validBody))
	st.nextQuery().Reply(exchange.Reply{})
	usual.expectStatus(200)
	time.Sleep(20 * time.Millisecond)
	quiet := [2]*testClient{st.dialAccepted(), st.dialAccepted()}
	time.Sleep(slowAfter * 5 / 4)
	st.dialAccepted() // silent as well, and new
	quiet[0].expectClosed()
	for range 5 { // more than there are places
		st.dialAccepted()
		time.Sleep(slowAfter * 6 / 5)
	}
	quiet[1].expectClosed()
	late := st.dial()
	late.write(queryRequest("b", "", validBody))
	st.nextQuery().Reply(exchange.Reply{})
	late.expectStatus(200)
	usual.write(queryRequest("c", "", validBody))
	st.nextQuery().Reply(exchange.Reply{})
	usual.expectStatus(200)
}

// At the limit of connections idle ones and slow requests make room; where all are busy the newest gets a
// refusal, and past a further few the rest wait with the machine until one ends.
func TestConnectionLimit(t *testing.T) {
	const slowAfter = 250 * time.Millisecond // far past what a busy machine takes from connecting to asking
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
	over := st.dial()
	over.write(queryRequest("c", "", validBody))
	over.expectStatus(503)
	over.expectClosed()
	waits := st.dial()
	waits.write(queryRequest("d", "", validBody))
	waits.expectStatus(503)
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

// A client that came past the limit makes room for those behind it, not for itself: it is rejected, however late its
// request is taken.
func TestConnectionOverLimitDoesNotEvictItself(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.Clients, l.ClientsOver, l.SlowRequest = 1, 3, time.Millisecond })
	busy := st.dial()
	busy.write(queryRequest("a", "", validBody))
	a := st.nextQuery()
	for range 3 {
		over := st.dial()
		time.Sleep(20 * time.Millisecond) // past the time of one that is new
		over.write(queryRequest("b", "", validBody))
		over.expectStatus(503)
		over.expectClosed()
	}
	a.Reply(exchange.Reply{})
	busy.expectStatus(200)
}

// A place that comes to be spared is freed though nobody else comes.
func TestIdleConnectionIsEvictedWithoutNewConnection(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.Clients, l.ClientsOver = 1, 1 })
	idle := st.dial()
	st.dial()
	idle.expectClosed()
}

// Who has seen the end of a connection finds its place free.
func TestClosedConnectionFreesItsSlot(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.Clients, l.ClientsOver, l.SlowRequest = 1, 1, time.Minute })
	for range 200 {
		first := st.dial()
		first.write(queryRequest("a", "", validBody))
		a := st.nextQuery()
		next := st.dial()
		first.nc.(*net.TCPConn).CloseWrite()
		<-st.exchange.gone
		a.Reply(exchange.Reply{}) // nobody waits for it
		first.expectClosed()
		next.write(queryRequest("b", "", validBody))
		st.nextQuery().Reply(exchange.Reply{})
		next.expectStatus(200)
		next.nc.(*net.TCPConn).CloseWrite()
		next.expectClosed()
	}
}
