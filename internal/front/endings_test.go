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

// until waits for what comes within milliseconds on a quiet machine.
func (st *testServer) waitFor(what string, is func() bool) {
	st.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			st.Fatal("never: " + what)
		}
	}
}

// leaves waits for the news that the client of a query has gone.
func (st *testServer) expectClientGone(q *exchange.Query) {
	st.Helper()
	select {
	case l := <-st.exchange.gone:
		if l != q {
			st.Errorf("%s left, want %s", l.ID, q.ID)
		}
	case <-time.After(testTimeout):
		st.Fatalf("nobody noticed that the client of %s left", q.ID)
	}
}

// unstarted is a connection whose goroutine has not had the processor yet.
func (st *testServer) newUnstartedConn() (*clientConn, *testClient) {
	st.Helper()
	c, peer, _ := st.newUnstartedConnWithSocket()
	return c, peer
}

// newUnstartedConnWithSocket tells the server's socket too.
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

// tcpCloseWait is the state of a socket whose peer has ended, as the kernel numbers it.
const tcpCloseWait = 8

// waitForPeerFIN waits until the end of the peer has come to a socket, whether or not what stands before it was read.
func (st *testServer) waitForPeerFIN(nc *net.TCPConn) {
	st.Helper()
	raw, err := nc.SyscallConn()
	if err != nil {
		st.Fatal(err)
	}
	st.waitFor("the client's end comes", func() bool {
		var info *unix.TCPInfo
		raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		return err == nil && info.State == tcpCloseWait
	})
}

// The end of a client stands behind all that it has sent. On a connection of which no further request is taken it is
// found there, the open query is given up and those that wait for their turn are never asked.
func TestDisconnectBehindUnreadDataIsReported(t *testing.T) {
	const junk = 80 << 10 // many times LingerBytes, and the socket buffers hold it
	head, _, _ := strings.Cut(queryRequest("z", "", strings.Repeat(" ", 60<<10)), "   ")
	for name, sent := range map[string]string{
		"the last request":     queryRequest("a", "", validBody) + queryRequest("b", "Connection: close\r\n", validBody),
		"nonsense":             queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + "nonsense\r\n\r\n",
		"a bad query":          queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + queryRequest("c", "", "nonsense"),
		"two framings":         queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + queryRequest("c", "Transfer-Encoding: chunked\r\n", ""),
		"a head without end":   queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + strings.Repeat("x", 9000),
		"no room for it":       queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + head + strings.Repeat(" ", 9000),
		"a probe of readiness": queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n",
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

// A client that leaves with requests sent ahead, all of them read, has left with all of them.
func TestDisconnectDropsPipelinedRequests(t *testing.T) {
	for _, hard := range []bool{false, true} {
		st := newTestServer(t, nil)
		c := st.dial()
		c.write(queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + queryRequest("c", "", validBody)[:100])
		a := st.nextQuery()
		if hard {
			c.nc.(*net.TCPConn).SetLinger(0)
		}
		c.nc.Close()
		st.expectClientGone(a)
		a.Reply(exchange.Reply{})
		st.expectNoQuery()
	}
}

// A client that has shut its side for writing counts as one that has gone, though it could still read: to us the two
// look alike, and an answer that nobody reads costs replicas their time.
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

// A client that leaves during the drain is seen as well.
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

// hugeReply is more than the socket buffers of both sides take.
func hugeReply() exchange.Reply {
	return exchange.Reply{Values: []exchange.Value{{Shard: 1, Item: []byte(strings.Repeat("x", 32<<20))}}}
}

// A client that leaves while its answer waits to be taken leaves at once with the query that came next, not when the
// time for writing is over.
func TestDisconnectDuringWriteIsReported(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.WriteTime = time.Hour })
	c := st.dial()
	c.write(queryRequest("a", "", validBody) + queryRequest("b", "", validBody))
	st.nextQuery().Reply(hugeReply())
	b := st.nextQuery()
	if _, err := io.ReadFull(c.nc, make([]byte, 100)); err != nil { // it is being written
		t.Fatal(err)
	}
	c.nc.Close()
	st.expectClientGone(b)
	b.Reply(exchange.Reply{})
}

// A client that never reads its answer holds its connection for the time of a write, and no longer.
func TestUnreadAnswerEndsConnectionAfterWriteTime(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.WriteTime = 50 * time.Millisecond })
	c := st.dial()
	c.write(queryRequest("a", "", validBody))
	st.nextQuery().Reply(hugeReply())
	st.waitFor("the connection's end", func() bool {
		st.server.mu.Lock()
		defer st.server.mu.Unlock()
		return len(st.server.conns) == 0
	})
}

// A client that has left before its requests are read, since we come to them late, has nothing begun for it: the end that
// stands behind them is seen first.
func TestNothingIsSubmittedForDisconnectedClient(t *testing.T) {
	for name, sent := range map[string]string{
		"one request":        queryRequest("a", "", validBody),
		"several":            queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + queryRequest("c", "", validBody),
		"the last one":       queryRequest("a", "Connection: close\r\n", validBody),
		"and half a request": queryRequest("a", "", validBody) + queryRequest("b", "", validBody)[:100],
	} {
		t.Run(name, func(t *testing.T) {
			st := newTestServer(t, nil)
			c, peer, nc := st.newUnstartedConnWithSocket()
			peer.write(sent)
			peer.nc.Close()
			st.waitForPeerFIN(nc)
			c.run()
			if n := len(st.exchange.submitted); n > 0 {
				t.Errorf("%d queries of a client that had left were handed on", n)
			}
		})
	}
}

// A client that ends while an answer waits to be taken has its further requests never asked, though its end can't be read
// before the answer is out.
func TestHalfCloseDuringWriteDropsPipelinedRequests(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.WriteTime = time.Hour })
	c, peer, nc := st.newUnstartedConnWithSocket()
	go c.run()
	peer.write(queryRequest("a", "", validBody) + queryRequest("b", "", validBody) + queryRequest("c", "", validBody))
	a := st.nextQuery()
	st.waitFor("all is read", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.pipelined) == 2
	})
	a.Reply(hugeReply())
	b := st.nextQuery()
	if _, err := io.ReadFull(peer.nc, make([]byte, 100)); err != nil { // it is being written
		t.Fatal(err)
	}
	peer.nc.(*net.TCPConn).CloseWrite()
	st.waitForPeerFIN(nc)
	b.Reply(exchange.Reply{})
	if n := len(st.exchange.submitted); n > 0 {
		t.Error("a query of a client that had left was handed on")
	}
}
