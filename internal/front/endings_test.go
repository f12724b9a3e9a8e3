package front

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
)

// waitFor polls until a condition holds, for testTimeout at most.
func (st *testServer) waitFor(what string, condition func() bool) {
	st.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			st.Fatal("timed out waiting until " + what)
		}
	}
}

// expectClientGone waits for the notification that the client of a query has disconnected.
func (st *testServer) expectClientGone(q *exchange.Query) {
	st.Helper()
	select {
	case gone := <-st.exchange.gone:
		if gone != q {
			st.Errorf("the client of %s was reported gone, want that of %s", gone.ID, q.ID)
		}
	case <-time.After(testTimeout):
		st.Fatalf("the disconnect of the client of %s was not reported", q.ID)
	}
}

// newUnstartedConn returns a connection whose goroutine has not been scheduled yet, and its client.
func (st *testServer) newUnstartedConn() (*clientConn, *testClient) {
	st.Helper()
	c, peer, _ := st.newUnstartedConnWithSocket()
	return c, peer
}

// newUnstartedConnWithSocket is newUnstartedConn that also returns the server's socket.
func (st *testServer) newUnstartedConnWithSocket() (*clientConn, *testClient, *net.TCPConn) {
	st.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		st.Fatal(err)
	}
	defer ln.Close()
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		st.Fatal(err)
	}
	nc, err := ln.Accept()
	if err != nil {
		st.Fatal(err)
	}
	st.Cleanup(func() { peer.Close(); nc.Close() })
	c := newClientConn(st.server, nc)
	c.sentValid = true
	return c, &testClient{st.T, peer, bufio.NewReader(peer)}, nc.(*net.TCPConn)
}

// tcpCloseWait is Linux's number for the state CLOSE_WAIT, in which a socket is after the peer's FIN.
const tcpCloseWait = 8

// waitForPeerFIN waits until a socket has received the peer's FIN, whether or not the data before it has been read.
func (st *testServer) waitForPeerFIN(nc *net.TCPConn) {
	st.Helper()
	raw, err := nc.SyscallConn()
	if err != nil {
		st.Fatal(err)
	}
	st.waitFor("the client's FIN arrives", func() bool {
		var info *unix.TCPInfo
		raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		return err == nil && info.State == tcpCloseWait
	})
}

// The end of a client's stream comes behind all data that it has sent. On a connection from which no further request is
// accepted, that end is still detected: the pending query is abandoned and the pipelined ones are never submitted.
func TestDisconnectBehindUnreadDataIsReported(t *testing.T) {
	const junk = 80 << 10 // many times LingerBytes, but the socket buffers hold it
	head, _, _ := strings.Cut(queryRequest("z", "", strings.Repeat(" ", 60<<10)), "   ")
	for name, sent := range map[string]string{
		"last request":      queryRequest("a", "", validBody) + queryRequest("b", "Connection: close\r\n", validBody),
		"malformed request": queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + "nonsense\r\n\r\n",
		"invalid query":     queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + queryRequest("c", "", "nonsense"),
		"two framings":      queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + queryRequest("c", "Transfer-Encoding: chunked\r\n", ""),
		"oversized head":    queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + strings.Repeat("x", 9000),
		"over memory limit": queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + head + strings.Repeat(" ", 9000),
		"readiness probe":   queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			st := newTestServer(t, func(l *config.Limits) { l.UnreadBytes = 6 << 10 })
			c := st.dial()
			c.write(sent)
			a := st.nextQuery()
			c.write(strings.Repeat("x", junk))
			c.nc.Close()
			st.expectClientGone(a)
			a.Reply(exchange.Reply{})
			st.expectNoQuery()
		})
	}
}

// When a client disconnects after its pipelined requests have been read, the pending query is abandoned and the others are
// never submitted.
func TestDisconnectDropsPipelinedRequests(t *testing.T) {
	for _, reset := range []bool{false, true} {
		st := newTestServer(t, nil)
		c := st.dial()
		c.write(queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + queryRequest("c", "", validBody)[:100])
		a := st.nextQuery()
		if reset {
			c.nc.(*net.TCPConn).SetLinger(0)
		}
		c.nc.Close()
		st.expectClientGone(a)
		a.Reply(exchange.Reply{})
		st.expectNoQuery()
	}
}

// A client that has closed only its sending side counts as disconnected, although it could still read: the server can't
// tell the two apart, and an answer that no client reads wastes the replicas' time.
func TestHalfCloseCountsAsDisconnect(t *testing.T) {
	st := newTestServer(t, nil)
	c := st.dial()
	c.write(queryRequest("a", "", validBody))
	a := st.nextQuery()
	c.nc.(*net.TCPConn).CloseWrite()
	st.expectClientGone(a)
	a.Reply(exchange.Reply{})
	c.expectClosed()
}

// A disconnect during the drain is detected, too.
func TestDisconnectDuringDrainIsReported(t *testing.T) {
	st := newTestServer(t, extendEndTime)
	c := st.dial()
	c.write(queryRequest("a", "", validBody) + queryRequest("b", "", validBody))
	a := st.nextQuery()
	done := st.startDrain()
	c.nc.Close()
	st.expectClientGone(a)
	a.Reply(exchange.Reply{})
	st.expectNoQuery()
	st.expectDrained(done)
}

// hugeReply returns an answer that is larger than the socket buffers of both sides.
func hugeReply() exchange.Reply {
	return exchange.Reply{Values: []exchange.Value{{Shard: 1, Item: []byte(strings.Repeat("x", 32<<20))}}}
}

// When a client disconnects while the write of an answer is blocked, its next query is abandoned at once, not only when
// the write times out.
func TestDisconnectDuringWriteIsReported(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.WriteTime = time.Hour })
	c := st.dial()
	c.write(queryRequest("a", "", validBody) + queryRequest("b", "", validBody))
	st.nextQuery().Reply(hugeReply())
	b := st.nextQuery()
	if _, err := io.ReadFull(c.nc, make([]byte, 100)); err != nil { // the answer is being written
		t.Fatal(err)
	}
	c.nc.Close()
	st.expectClientGone(b)
	b.Reply(exchange.Reply{})
}

// A client that never reads its answer occupies its connection only until the write times out.
func TestUnreadAnswerEndsConnectionAfterWriteTime(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.WriteTime = 50 * time.Millisecond })
	c := st.dial()
	c.write(queryRequest("a", "", validBody))
	st.nextQuery().Reply(hugeReply())
	st.waitFor("the connection is removed", func() bool {
		st.server.mu.Lock()
		defer st.server.mu.Unlock()
		return len(st.server.conns) == 0
	})
}

// When a client has disconnected before its requests are read, because the goroutine runs late, none of them is submitted:
// the end of the stream behind them is detected first.
func TestNothingIsSubmittedForDisconnectedClient(t *testing.T) {
	for name, sent := range map[string]string{
		"one request":      queryRequest("a", "", validBody),
		"several requests": queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + queryRequest("c", "", validBody),
		"last request":     queryRequest("a", "Connection: close\r\n", validBody),
		"partial request":  queryRequest("a", "", validBody) + queryRequest("b", "", validBody)[:100],
	} {
		t.Run(name, func(t *testing.T) {
			st := newTestServer(t, nil)
			c, peer, nc := st.newUnstartedConnWithSocket()
			peer.write(sent)
			peer.nc.Close()
			st.waitForPeerFIN(nc)
			c.run()
			if n := len(st.exchange.submitted); n > 0 {
				t.Errorf("%d queries of a disconnected client were submitted", n)
			}
		})
	}
}

// When a client closes its sending side while the write of an answer is blocked, its further requests are never submitted,
// although the end of the stream can't be read before the answer is written.
func TestHalfCloseDuringWriteDropsPipelinedRequests(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.WriteTime = time.Hour })
	c, peer, nc := st.newUnstartedConnWithSocket()
	go c.run()
	peer.write(queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + queryRequest("c", "", validBody))
	a := st.nextQuery()
	st.waitFor("all requests are read", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.pipelined) == 2
	})
	a.Reply(hugeReply())
	b := st.nextQuery()
	if _, err := io.ReadFull(peer.nc, make([]byte, 100)); err != nil { // the answer is being written
		t.Fatal(err)
	}
	peer.nc.(*net.TCPConn).CloseWrite()
	st.waitForPeerFIN(nc)
	b.Reply(exchange.Reply{})
	if n := len(st.exchange.submitted); n > 0 {
		t.Error("a query of a disconnected client was submitted")
	}
}

// Guards against attempts for a client that sends much behind its last request and leaves: its end would be seen too late.
func TestMuchInputBehindLastRequestAbandonsQuery(t *testing.T) {
	for name, last := range map[string]string{
		"last request":      queryRequest("a", "Connection: close\r\n", validBody),
		"malformed request": queryRequest("a", "", validBody) + "nonsense\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			st := newTestServer(t, nil)
			c := st.dial()
			c.write(last)
			a := st.nextQuery()
			go c.nc.Write(make([]byte, 16<<20)) // the connection stays open
			st.expectClientGone(a)
			a.Reply(exchange.Reply{})
			c.expectStatus(400)
			st.expectNoQuery()
		})
	}
}
