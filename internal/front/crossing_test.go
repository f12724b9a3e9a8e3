package front

import (
	"net"
	"strings"
	"testing"
	"time"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/h1"
)

// arrived waits until what a client wrote can be read at the server's side.
func (st *stand) arrived(c *clientConn) {
	st.Helper()
	st.until("bytes arrive", c.conn.Waits)
}

// A request that waits unread when a time runs out came before that: it is read first, however late the goroutine of
// its connection comes to it, and the connection does not end over it.
func TestATimeRunsOutOverARequest(t *testing.T) {
	long := time.Now().Add(-time.Hour)
	for name, past := range map[string]func(*clientConn){
		"between requests":  func(c *clientConn) { c.idleSince = long },
		"the first request": func(c *clientConn) { c.acceptedAt, c.sentValid = long, false },
		"half a request":    func(c *clientConn) { c.partialSince = long },
		"half of the first": func(c *clientConn) { c.partialSince, c.acceptedAt, c.sentValid = long, long, false },
	} {
		t.Run(name, func(t *testing.T) {
			st := newStand(t, nil)
			c, peer := st.unstarted()
			past(c)
			peer.write(query("a", "", goodBody))
			st.arrived(c)
			go c.run()
			st.next().Reply(exchange.Reply{})
			peer.status(200)
		})
	}
}

// Whoever sends a byte now and then gets no more time by it: what waits is read, and once nothing waits the time is over.
func TestATimeRunsOutOverATrickle(t *testing.T) {
	st := newStand(t, nil)
	c, peer := st.unstarted()
	c.partialSince = time.Now().Add(-time.Hour)
	peer.write(query("a", "", goodBody)[:60])
	st.arrived(c)
	go c.run()
	peer.status(408)
	peer.ended()
	st.none()
}

// A client that is asked to close in the middle of a request that has taken long, and whose rest waits unread by then, has
// sent it whole: it is answered. With nothing waiting it goes, also when it has sent a little more.
func TestEvictedOverARequest(t *testing.T) {
	text := query("a", "", goodBody)
	for _, cut := range []int{0, 30} { // bytes that are missing
		st := newStand(t, nil)
		c, peer := st.unstarted()
		c.partialSince = time.Now().Add(-time.Hour)
		peer.write(text[:len(text)-cut])
		st.arrived(c)
		if !c.requestClose() {
			t.Error("it is not asked to go")
		}
		go c.run()
		if cut > 0 {
			peer.ended()
			st.none()
			continue
		}
		st.next().Reply(exchange.Reply{})
		if r := peer.status(200); r.Close {
			t.Error("the connection is closed over its answer")
		}
	}
}

// A request that was read to its end is not yet asked when the answer before it goes out during the drain: that answer does
// not close the connection, since what a client hears nothing of after such an answer is lost.
func TestAnAnswerBetweenReadingAndAsking(t *testing.T) {
	for _, what := range []string{"a query", "a bad query"} {
		st := newStand(t, nil)
		end := time.Now().Add(time.Hour)
		st.s.lastReplyBy.Store(&end)
		st.s.closing.Store(true)
		c, peer := st.unstarted()
		first := &exchange.Query{ID: "a"}
		c.current = first
		text := query("b", "", goodBody)
		if what != "a query" {
			text = query("b", "", "nonsense")
		}
		split := &h1.RequestSplitter{Limits: h1.Limits{Head: 2000, Body: 2000}}
		if _, token, err := split.Split([]byte(text), false); token == nil || err != nil {
			t.Fatalf("%q %v", token, err)
		}
		c.requestRead(0)
		c.queueReply(first, exchange.Reply{})
		last := c.handleRequest(&split.Request)
		if what == "a query" {
			if b := st.next(); b.ID != "b" || last {
				t.Errorf("asked %s, last %t", b.ID, last)
			} else {
				b.Reply(exchange.Reply{})
			}
		}
		go c.run()
		if r := peer.status(200); r.Close {
			t.Errorf("%s: the answer before it closes the connection", what)
		}
		want := 200
		if what != "a query" {
			want = 400
		}
		if r := peer.status(want); !r.Close {
			t.Errorf("%s: the connection is kept", what)
		}
		peer.ended()
	}
}

// What comes after an answer that closes its connection is never taken for a request, neither while the server waits
// for the client to close nor later.
func TestARequestAfterTheLastAnswer(t *testing.T) {
	for name, last := range map[string]func(*stand, *conn){
		"asked for by the client": func(st *stand, c *conn) { c.write(query("a", "Connection: close\r\n", goodBody)) },
		"by the drain": func(st *stand, c *conn) {
			st.dialled()
			c.write(query("a", "", goodBody))
		},
	} {
		st := newStand(t, func(l *config.Limits) { lateEnd(l); l.Linger = 300 * time.Millisecond })
		c := st.dial()
		last(st, c)
		q := st.next()
		if name == "by the drain" {
			st.draining()
		}
		q.Reply(exchange.Reply{})
		if r := c.status(200); !r.Close {
			t.Errorf("%s: the connection is kept", name)
		}
		c.write(query("b", "", goodBody))
		c.ended()
		st.none()
	}
}

// A client that waits for the word to send its body when the server is told to end gets it, and its answer.
func TestContinueAtTheClose(t *testing.T) {
	st := newStand(t, lateEnd)
	c := st.dialled()
	head, body, _ := strings.Cut(query("a", "Expect: 100-continue\r\n", goodBody), "\r\n\r\n")
	c.write(head + "\r\n\r\n")
	st.until("the word is on its way", func() bool { return st.s.partialBytes.Load() == int64(len(head)+4) })
	done := st.draining()
	time.Sleep(2 * drainTick) // each connection has been looked at
	c.continues()
	c.write(body)
	st.next().Reply(exchange.Reply{})
	if r := c.status(200); !r.Close {
		t.Error("the connection is kept")
	}
	st.drained(done)
}

// continues reads the word to send a body.
func (c *conn) continues() {
	c.t.Helper()
	c.nc.SetReadDeadline(time.Now().Add(patience))
	if line, err := c.r.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
		c.t.Fatalf("%q %v", line, err)
	}
	c.r.ReadString('\n')
}

// The word for a body that comes behind an open query follows that one's answer; without it the client waits until its
// time is over.
func TestContinueBehindAQuery(t *testing.T) {
	st := newStand(t, nil)
	c := st.dial()
	head, body, _ := strings.Cut(query("b", "Expect: 100-continue\r\n", goodBody), "\r\n\r\n")
	c.write(query("a", "", goodBody) + head + "\r\n\r\n")
	a := st.next()
	st.until("the head is read", st.begun)
	a.Reply(exchange.Reply{})
	c.status(200)
	c.continues()
	c.write(body)
	st.next().Reply(exchange.Reply{})
	c.status(200)
}

// lateAccept is a listener whose connections are had from the machine, but come to the server late.
type lateAccept struct {
	*net.TCPListener
	got, free chan struct{}
}

func (l lateAccept) Accept() (net.Conn, error) {
	nc, err := l.TCPListener.Accept()
	if err == nil {
		close(l.got)
		<-l.free
	}
	return nc, err
}

// A connection that was accepted and has not come among the others when the listener is closed is waited for.
func TestAcceptedInTheMomentOfTheClose(t *testing.T) {
	late := lateAccept{got: make(chan struct{}), free: make(chan struct{})}
	st := newStandOn(t, lateEnd, func(ln net.Listener) net.Listener {
		late.TCPListener = ln.(*net.TCPListener)
		return late
	})
	c := st.dial()
	c.write(query("a", "", goodBody))
	<-late.got
	done := st.draining()
	st.until("the listener is closed", func() bool {
		nc, err := net.Dial("tcp", st.s.Addr().String())
		if err == nil {
			nc.Close()
		}
		return err != nil
	})
	select {
	case <-done:
		t.Fatal("done over a connection that was accepted")
	case <-time.After(3 * drainTick):
	}
	close(late.free)
	st.next().Reply(exchange.Reply{})
	if r := c.status(200); !r.Close {
		t.Error("the connection is kept")
	}
	st.drained(done)
}

// begun says whether some connection has an unfinished request.
func (st *stand) begun() bool {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	for c := range st.s.conns {
		c.mu.Lock()
		begun := !c.partialSince.IsZero()
		c.mu.Unlock()
		if begun {
			return true
		}
	}
	return false
}
