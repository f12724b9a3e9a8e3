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
func TestAHugeBodyIsNotRead(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.Linger = 100 * time.Millisecond })
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
	c.status(413)
	if n := <-sent; n >= 60_000_000 {
		t.Error("all of it was read")
	}
}

// A client that says nothing, or half a request, is closed on time from its connecting, though an established one
// may be idle for longer.
func TestTheFirstRequestHasItsTime(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.FirstTime = 300 * time.Millisecond }) // in which a busy machine asks, too
	kept := st.dial()
	kept.write(query("a", "", goodBody))
	st.next().Reply(exchange.Reply{})
	kept.status(200)
	st.dial().ended()
	half := st.dial()
	half.write(query("b", "", goodBody)[:50])
	half.status(408)
	half.ended()
	bit := st.dial() // a byte now and then gives no more time
	go func() {
		for _, b := range []byte(query("c", "", goodBody)) {
			if _, err := bit.nc.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	bit.status(408)
	kept.write(query("d", "", goodBody))
	st.next().Reply(exchange.Reply{})
	kept.status(200)
}

// Guards against many bodies at once that a small memory does not hold: past the budget for all connections a
// large request is rejected while small ones pass, and what is over is given back.
func TestUnreadRequestsHaveABudget(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.UnreadBytes = 20 << 10 })
	large := func() *conn {
		c := st.dial()
		head, _, _ := strings.Cut(query("x", "", strings.Repeat(" ", 60<<10)), "   ")
		c.write(head + strings.Repeat(" ", 12<<10))
		return c
	}
	first := large()
	for end := time.Now().Add(patience); st.s.partialBytes.Load() < 12<<10; time.Sleep(time.Millisecond) { // it is booked
		if time.Now().After(end) {
			t.Fatalf("%d bytes are booked", st.s.partialBytes.Load())
		}
	}
	second := large()
	second.status(503)
	second.ended()
	small := st.dial()
	small.write(query("a", "", goodBody))
	st.next().Reply(exchange.Reply{})
	small.status(200)
	first.nc.Close()
	for end := time.Now().Add(patience); st.s.partialBytes.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still booked", st.s.partialBytes.Load())
		}
	}
}

// The limit on connections holds while draining, too, or descriptors run out where clients come by hundreds.
func TestTheLimitHoldsWhileDraining(t *testing.T) {
	st := newStand(t, func(l *config.Limits) {
		l.Clients, l.ClientsOver, l.SlowRequest, l.FirstTime = 2, 1, time.Minute, 300*time.Millisecond
		l.DrainTime, l.EndTime = time.Second, 3*time.Second // a busy machine dials late
	})
	done := make(chan struct{})
	go func() { st.s.Drain(context.Background()); close(done) }()
	for !st.s.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	for range 10 {
		st.dial()
	}
	count := func() int {
		st.s.mu.Lock()
		defer st.s.mu.Unlock()
		return len(st.s.conns)
	}
	for end := time.Now().Add(patience); count() != 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections", count())
		}
	}
	time.Sleep(50 * time.Millisecond)
	if n := count(); n > 3 {
		t.Errorf("%d connections", n)
	}
	st.s.mu.Lock()
	for c := range st.s.conns {
		c.conn.Close()
	}
	st.s.mu.Unlock()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("not done")
	}
}

// Connections between requests are kept up to a number; past that the one idle longest is closed, though there is
// room for more. One with a request open is not counted.
func TestIdleConnectionsHaveALimit(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.IdleMost = 2 })
	var all []*conn
	for range 5 {
		c := st.dial()
		c.write(query("a", "", goodBody))
		st.next().Reply(exchange.Reply{})
		c.status(200)
		all = append(all, c)
		time.Sleep(2 * time.Millisecond)
	}
	open := st.dial()
	open.write(query("b", "", goodBody))
	q := st.next()
	for _, c := range all[:3] {
		c.ended()
	}
	time.Sleep(30 * time.Millisecond)
	for _, c := range all[3:] {
		c.write(query("c", "", goodBody))
		st.next().Reply(exchange.Reply{})
		c.status(200)
	}
	q.Reply(exchange.Reply{})
	open.status(200)
}

// Silent connections and those that only sent what could not be used make room for new ones before a client's that
// is between requests; a new one has its time to speak first.
func TestWhoMakesRoom(t *testing.T) {
	t.Parallel()
	// Far past what a busy machine takes from connecting to asking.
	const slowAfter = 600 * time.Millisecond
	st := newStand(t, func(l *config.Limits) { l.Clients, l.ClientsOver, l.SlowRequest = 3, 1, slowAfter })
	usual := st.dial()
	usual.write(query("a", "", goodBody))
	st.next().Reply(exchange.Reply{})
	usual.status(200)
	time.Sleep(20 * time.Millisecond)
	quiet := [2]*conn{st.dialled(), st.dialled()}
	time.Sleep(slowAfter * 5 / 4)
	st.dialled() // silent as well, and new
	quiet[0].ended()
	for range 5 { // more than there are places
		st.dialled()
		time.Sleep(slowAfter * 6 / 5)
	}
	quiet[1].ended()
	late := st.dial()
	late.write(query("b", "", goodBody))
	st.next().Reply(exchange.Reply{})
	late.status(200)
	usual.write(query("c", "", goodBody))
	st.next().Reply(exchange.Reply{})
	usual.status(200)
}

// At the limit of connections idle ones and slow requests make room; where all are busy the newest gets a
// refusal, and past a further few the rest wait with the machine until one ends.
func TestTheLimitOfConnections(t *testing.T) {
	const slowAfter = 250 * time.Millisecond // far past what a busy machine takes from connecting to asking
	st := newStand(t, func(l *config.Limits) { l.Clients, l.ClientsOver, l.SlowRequest = 2, 1, slowAfter })
	idle, busy := st.dial(), st.dial()
	idle.write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	idle.status(200)
	busy.write(query("a", "", goodBody))
	first := st.next()
	time.Sleep(2 * slowAfter)
	second := st.dial()
	idle.ended()
	second.write(query("b", "", goodBody))
	b := st.next()
	over := st.dial()
	over.write(query("c", "", goodBody))
	over.status(503)
	over.ended()
	waits := st.dial()
	waits.write(query("d", "", goodBody))
	waits.status(503)
	first.Reply(exchange.Reply{})
	busy.status(200)
	b.Reply(exchange.Reply{})
	second.status(200)
	st.none()
	slow := st.dial()
	busy.ended()
	slow.write("POST /search")
	time.Sleep(2 * slowAfter)
	c := st.dial()
	c.write(query("e", "", goodBody))
	e := st.next()
	d := st.dial()
	slow.ended()
	second.ended()
	d.write(query("f", "", goodBody))
	st.next().Reply(exchange.Reply{})
	d.status(200)
	e.Reply(exchange.Reply{})
	c.status(200)
}

// A client that came past the limit makes room for those behind it, not for itself: it is rejected, however late its
// request is taken.
func TestNoRoomByOneself(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.Clients, l.ClientsOver, l.SlowRequest = 1, 3, time.Millisecond })
	busy := st.dial()
	busy.write(query("a", "", goodBody))
	a := st.next()
	for range 3 {
		over := st.dial()
		time.Sleep(20 * time.Millisecond) // past the time of one that is new
		over.write(query("b", "", goodBody))
		over.status(503)
		over.ended()
	}
	a.Reply(exchange.Reply{})
	busy.status(200)
}

// A place that comes to be spared is freed though nobody else comes.
func TestRoomIsLookedFor(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.Clients, l.ClientsOver = 1, 1 })
	idle := st.dial()
	st.dial()
	idle.ended()
}

// Who has seen the end of a connection finds its place free.
func TestThePlaceIsFreeAtTheEnd(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.Clients, l.ClientsOver, l.SlowRequest = 1, 1, time.Minute })
	for range 200 {
		first := st.dial()
		first.write(query("a", "", goodBody))
		a := st.next()
		next := st.dial()
		first.nc.(*net.TCPConn).CloseWrite()
		<-st.sink.left
		a.Reply(exchange.Reply{}) // nobody waits for it
		first.ended()
		next.write(query("b", "", goodBody))
		st.next().Reply(exchange.Reply{})
		next.status(200)
		next.nc.(*net.TCPConn).CloseWrite()
		next.ended()
	}
}
