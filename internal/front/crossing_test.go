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
func (st *testServer) waitForData(c *clientConn) {
	st.Helper()
	st.waitFor("bytes arrive", c.conn.Waits)
}

// A request that waits unread when a time runs out came before that: it is read first, however late the goroutine of
// its connection comes to it, and the connection does not end over it.
func TestExpiredDeadlineReadsPendingRequestFirst(t *testing.T) {
	long := time.Now().Add(-time.Hour)
	for name, past := range map[string]func(*clientConn){
		"between requests":  func(c *clientConn) { c.idleSince = long },
		"the first request": func(c *clientConn) { c.acceptedAt, c.sentValid = long, false },
		"half a request":    func(c *clientConn) { c.partialSince = long },
		"half of the first": func(c *clientConn) { c.partialSince, c.acceptedAt, c.sentValid = long, long, false },
	} {
		t.Run(name, func(t *testing.T) {
			st := newTestServer(t, nil)
			c, peer := st.newUnstartedConn()
			past(c)
			peer.write(queryRequest("a", "", validBody))
			st.waitForData(c)
			go c.run()
			st.nextQuery().Reply(exchange.Reply{})
			peer.expectStatus(200)
		})
	}
}

// Whoever sends a byte now and then gets no more time by it: what waits is read, and once nothing waits the time is over.
func TestTrickledBytesDoNotExtendDeadline(t *testing.T) {
	st := newTestServer(t, nil)
	c, peer := st.newUnstartedConn()
	c.partialSince = time.Now().Add(-time.Hour)
	peer.write(queryRequest("a", "", validBody)[:60])
	st.waitForData(c)
	go c.run()
	peer.expectStatus(408)
	peer.expectClosed()
	st.expectNoQuery()
}

// A client that is asked to close in the middle of a request that has taken long, and whose rest waits unread by then, has
// sent it whole: it is answered. With nothing waiting it goes, also when it has sent a little more.
func TestEvictionReadsPendingRequestFirst(t *testing.T) {
	text := queryRequest("a", "", validBody)
	for _, cut := range []int{0, 30} { // bytes that are missing
		st := newTestServer(t, nil)
		c, peer := st.newUnstartedConn()
		c.partialSince = time.Now().Add(-time.Hour)
		peer.write(text[:len(text)-cut])
		st.waitForData(c)
		if !c.requestClose() {
			t.Error("it is not asked to go")
		}
		go c.run()
		if cut > 0 {
			peer.expectClosed()
			st.expectNoQuery()
			continue
		}
		st.nextQuery().Reply(exchange.Reply{})
		if r := peer.expectStatus(200); r.Close {
			t.Error("the connection is closed over its answer")
		}
	}
}

// A request that was read to its end is not yet asked when the answer before it goes out during the drain: that answer does
// not close the connection, since what a client hears nothing of after such an answer is lost.
func TestReplyDuringDrainKeepsConnectionForParsedRequest(t *testing.T) {
	for _, what := range []string{"a query", "a bad query"} {
		st := newTestServer(t, nil)
		end := time.Now().Add(time.Hour)
		st.server.lastReplyBy.Store(&end)
		st.server.closing.Store(true)
		c, peer := st.newUnstartedConn()
		first := &exchange.Query{ID: "a"}
		c.current = first
		text := queryRequest("b", "", validBody)
		if what != "a query" {
			text = queryRequest("b", "", "nonsense")
		}
		split := &h1.RequestSplitter{Limits: h1.Limits{Head: 2000, Body: 2000}}
		if _, token, err := split.Split([]byte(text), false); token == nil || err != nil {
			t.Fatalf("%q %v", token, err)
		}
		c.onRequestRead(0)
		c.queueReply(first, exchange.Reply{})
		last := c.handleRequest(&split.Request)
		if what == "a query" {
			if b := st.nextQuery(); b.ID != "b" || last {
				t.Errorf("asked %s, last %t", b.ID, last)
			} else {
				b.Reply(exchange.Reply{})
			}
		}
		go c.run()
		if r := peer.expectStatus(200); r.Close {
			t.Errorf("%s: the answer before it closes the connection", what)
		}
		want := 200
		if what != "a query" {
			want = 400
		}
		if r := peer.expectStatus(want); !r.Close {
			t.Errorf("%s: the connection is kept", what)
		}
		peer.expectClosed()
	}
}

// What comes after an answer that closes its connection is never taken for a request, neither while the server waits
// for the client to close nor later.
func TestRequestAfterLastAnswerIsIgnored(t *testing.T) {
	for name, last := range map[string]func(*testServer, *testClient){
		"asked for by the client": func(st *testServer, c *testClient) { c.write(queryRequest("a", "Connection: close\r\n", validBody)) },
		"by the drain": func(st *testServer, c *testClient) {
			st.dialAccepted()
			c.write(queryRequest("a", "", validBody))
		},
	} {
		st := newTestServer(t, func(l *config.Limits) { extendEndTime(l); l.Linger = 300 * time.Millisecond })
		c := st.dial()
		last(st, c)
		q := st.nextQuery()
		if name == "by the drain" {
			st.startDrain()
		}
		q.Reply(exchange.Reply{})
		if r := c.expectStatus(200); !r.Close {
			t.Errorf("%s: the connection is kept", name)
		}
		c.write(queryRequest("b", "", validBody))
		c.expectClosed()
		st.expectNoQuery()
	}
}

// A client that waits for the word to send its body when the server is told to end gets it, and its answer.
func TestContinueIsSentDuringDrain(t *testing.T) {
	st := newTestServer(t, extendEndTime)
	c := st.dialAccepted()
	head, body, _ := strings.Cut(queryRequest("a", "Expect: 100-continue\r\n", validBody), "\r\n\r\n")
	c.write(head + "\r\n\r\n")
	st.waitFor("the word is on its way", func() bool { return st.server.partialBytes.Load() == int64(len(head)+4) })
	done := st.startDrain()
	time.Sleep(2 * drainTick) // each connection has been looked at
	c.expectContinue()
	c.write(body)
	st.nextQuery().Reply(exchange.Reply{})
	if r := c.expectStatus(200); !r.Close {
		t.Error("the connection is kept")
	}
	st.expectDrained(done)
}

// continues reads the word to send a body.
func (c *testClient) expectContinue() {
	c.t.Helper()
	c.nc.SetReadDeadline(time.Now().Add(testTimeout))
	if line, err := c.r.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
		c.t.Fatalf("%q %v", line, err)
	}
	c.r.ReadString('\n')
}

// The word for a body that comes behind an open query follows that one's answer; without it the client waits until its
// time is over.
func TestContinueFollowsPendingAnswer(t *testing.T) {
	st := newTestServer(t, nil)
	c := st.dial()
	head, body, _ := strings.Cut(queryRequest("b", "Expect: 100-continue\r\n", validBody), "\r\n\r\n")
	c.write(queryRequest("a", "", validBody) + head + "\r\n\r\n")
	a := st.nextQuery()
	st.waitFor("the head is read", st.hasPartialRequest)
	a.Reply(exchange.Reply{})
	c.expectStatus(200)
	c.expectContinue()
	c.write(body)
	st.nextQuery().Reply(exchange.Reply{})
	c.expectStatus(200)
}

// delayedListener is a listener whose connections are had from the machine, but come to the server late.
type delayedListener struct {
	*net.TCPListener
	accepted, release chan struct{}
}

func (l delayedListener) Accept() (net.Conn, error) {
	nc, err := l.TCPListener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.release
	}
	return nc, err
}

// A connection that was accepted and has not come among the others when the listener is closed is waited for.
func TestDrainWaitsForConnectionBeingAccepted(t *testing.T) {
	late := delayedListener{accepted: make(chan struct{}), release: make(chan struct{})}
	st := newTestServerWithListener(t, extendEndTime, func(ln net.Listener) net.Listener {
		late.TCPListener = ln.(*net.TCPListener)
		return late
	})
	c := st.dial()
	c.write(queryRequest("a", "", validBody))
	<-late.accepted
	done := st.startDrain()
	st.waitFor("the listener is closed", func() bool {
		nc, err := net.Dial("tcp", st.server.Addr().String())
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
	close(late.release)
	st.nextQuery().Reply(exchange.Reply{})
	if r := c.expectStatus(200); !r.Close {
		t.Error("the connection is kept")
	}
	st.expectDrained(done)
}

// begun says whether some connection has an unfinished request.
func (st *testServer) hasPartialRequest() bool {
	st.server.mu.Lock()
	defer st.server.mu.Unlock()
	for c := range st.server.conns {
		c.mu.Lock()
		begun := !c.partialSince.IsZero()
		c.mu.Unlock()
		if begun {
			return true
		}
	}
	return false
}
