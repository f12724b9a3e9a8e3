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

// waitForData waits until data from the client can be read at the server's side.
func (st *testServer) waitForData(c *clientConn) {
	st.Helper()
	st.waitFor("data arrives", c.conn.Waits)
}

// When a deadline of a connection has passed but its goroutine is late and a request waits unread, that request arrived in
// time. It is read and answered before the deadline ends the connection.
func TestExpiredDeadlineReadsPendingRequestFirst(t *testing.T) {
	hourAgo := time.Now().Add(-time.Hour)
	for name, expire := range map[string]func(*clientConn){
		"between requests":      func(c *clientConn) { c.idleSince = hourAgo },
		"first request":         func(c *clientConn) { c.acceptedAt, c.sentValid = hourAgo, false },
		"partial request":       func(c *clientConn) { c.partialSince = hourAgo },
		"partial first request": func(c *clientConn) { c.partialSince, c.acceptedAt, c.sentValid = hourAgo, hourAgo, false },
	} {
		t.Run(name, func(t *testing.T) {
			st := newTestServer(t, nil)
			c, peer := st.newUnstartedConn()
			expire(c)
			peer.write(queryRequest("a", "", validBody))
			st.waitForData(c)
			go c.run()
			st.nextQuery().Reply(exchange.Reply{})
			peer.expectStatus(200)
		})
	}
}

// A client that sends a byte now and then does not extend the request's deadline: the waiting bytes are read, and once none
// are left the request times out.
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

// When the close of a connection with a slow, partly read request is requested while the rest of the request waits unread,
// the request is answered and the connection stays open. If some of the request is still missing after the waiting bytes
// are read, the connection is closed.
func TestEvictionReadsPendingRequestFirst(t *testing.T) {
	text := queryRequest("a", "", validBody)
	for _, missing := range []int{0, 30} { // bytes of the request that are never sent
		st := newTestServer(t, nil)
		c, peer := st.newUnstartedConn()
		c.partialSince = time.Now().Add(-time.Hour)
		peer.write(text[:len(text)-missing])
		st.waitForData(c)
		if !c.requestClose() {
			t.Error("the connection is not evictable")
		}
		go c.run()
		if missing > 0 {
			peer.expectClosed()
			st.expectNoQuery()
			continue
		}
		st.nextQuery().Reply(exchange.Reply{})
		if r := peer.expectStatus(200); r.Close {
			t.Error("the answer closes the connection")
		}
	}
}

// During the drain, an answer is queued while the next request has been read but not yet submitted. That answer must not
// close the connection, or the client would never get a response to the next request.
func TestReplyDuringDrainKeepsConnectionForParsedRequest(t *testing.T) {
	for _, name := range []string{"valid query", "invalid query"} {
		st := newTestServer(t, nil)
		end := time.Now().Add(time.Hour)
		st.server.lastReplyBy.Store(&end)
		st.server.closing.Store(true)
		c, peer := st.newUnstartedConn()
		first := &exchange.Query{ID: "a"}
		c.current = first
		text := queryRequest("b", "", validBody)
		if name != "valid query" {
			text = queryRequest("b", "", "nonsense")
		}
		splitter := &h1.RequestSplitter{Limits: h1.Limits{Head: 2000, Body: 2000}}
		if _, token, err := splitter.Split([]byte(text), false); token == nil || err != nil {
			t.Fatalf("%q %v", token, err)
		}
		c.onRequestRead(0)
		c.queueReply(first, exchange.Reply{})
		last := c.handleRequest(&splitter.Request)
		if name == "valid query" {
			if b := st.nextQuery(); b.ID != "b" || last {
				t.Errorf("submitted %s, last %t", b.ID, last)
			} else {
				b.Reply(exchange.Reply{})
			}
		}
		go c.run()
		if r := peer.expectStatus(200); r.Close {
			t.Errorf("%s: the answer before it closes the connection", name)
		}
		want := 200
		if name != "valid query" {
			want = 400
		}
		if r := peer.expectStatus(want); !r.Close {
			t.Errorf("%s: the connection is kept", name)
		}
		peer.expectClosed()
	}
}

// Input after an answer that closes its connection is never parsed as a request, neither while the server waits for the
// client to close nor later.
func TestRequestAfterLastAnswerIsIgnored(t *testing.T) {
	for name, last := range map[string]func(*testServer, *testClient){
		"by the client": func(st *testServer, c *testClient) { c.write(queryRequest("a", "Connection: close\r\n", validBody)) },
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

// A client that waits for "100 Continue" when the drain begins still gets it, and the answer to its request.
func TestContinueIsSentDuringDrain(t *testing.T) {
	st := newTestServer(t, extendEndTime)
	c := st.dialAccepted()
	head, body, _ := strings.Cut(queryRequest("a", "Expect: 100-continue\r\n", validBody), "\r\n\r\n")
	c.write(head + "\r\n\r\n")
	st.waitFor("the head is read", func() bool { return st.server.partialBytes.Load() == int64(len(head)+4) })
	done := st.startDrain()
	time.Sleep(2 * drainTick) // Drain has checked each connection
	c.expectContinue()
	c.write(body)
	st.nextQuery().Reply(exchange.Reply{})
	if r := c.expectStatus(200); !r.Close {
		t.Error("the connection is kept")
	}
	st.expectDrained(done)
}

// expectContinue reads the response "100 Continue".
func (c *testClient) expectContinue() {
	c.t.Helper()
	c.nc.SetReadDeadline(time.Now().Add(testTimeout))
	if line, err := c.r.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
		c.t.Fatalf("%q %v", line, err)
	}
	c.r.ReadString('\n')
}

// When a request that expects "100 Continue" is pipelined behind a pending query, the response is sent after that query's
// answer. Without it the client would wait until its timeout.
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

// delayedListener is a listener that accepts a connection from the kernel but returns it to the server only when released.
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

// Drain waits for a connection that has been accepted but is not yet registered when the listener is closed.
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
		t.Fatal("Drain returned although a connection had been accepted")
	case <-time.After(3 * drainTick):
	}
	close(late.release)
	st.nextQuery().Reply(exchange.Reply{})
	if r := c.expectStatus(200); !r.Close {
		t.Error("the connection is kept")
	}
	st.expectDrained(done)
}

// hasPartialRequest reports whether any connection has an incomplete request.
func (st *testServer) hasPartialRequest() bool {
	st.server.mu.Lock()
	defer st.server.mu.Unlock()
	for c := range st.server.conns {
		c.mu.Lock()
		partial := !c.partialSince.IsZero()
		c.mu.Unlock()
		if partial {
			return true
		}
	}
	return false
}
