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
func (st *stand) until(what string, is func() bool) {
	st.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			st.Fatal("never: " + what)
		}
	}
}

// leaves waits for the news that the client of a query has gone.
func (st *stand) leaves(q *exchange.Query) {
	st.Helper()
	select {
	case l := <-st.sink.left:
		if l != q {
			st.Errorf("%s left, want %s", l.ID, q.ID)
		}
	case <-time.After(patience):
		st.Fatalf("nobody noticed that the client of %s left", q.ID)
	}
}

// unstarted is a connection whose goroutine has not had the processor yet.
func (st *stand) unstarted() (*clientConn, *conn) {
	st.Helper()
	c, peer, _ := st.unstartedOn()
	return c, peer
}

// unstartedOn tells the server's socket too.
func (st *stand) unstartedOn() (*clientConn, *conn, *net.TCPConn) {
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
	c := newClient(st.s, nc)
	c.sentValid = true
	return c, &conn{st.T, peer, bufio.NewReader(peer)}, nc.(*net.TCPConn)
}

// closeWait is the state of a socket whose peer has ended, as the kernel numbers it.
const closeWait = 8

// hasEnd waits until the end of the peer has come to a socket, whether or not what stands before it was read.
func (st *stand) hasEnd(nc *net.TCPConn) {
	st.Helper()
	raw, err := nc.SyscallConn()
	if err != nil {
		st.Fatal(err)
	}
	st.until("the client's end comes", func() bool {
		var info *unix.TCPInfo
		raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		return err == nil && info.State == closeWait
	})
}

// The end of a client stands behind all that it has sent. On a connection of which no further request is taken it is
// found there, the open query is given up and those that wait for their turn are never asked.
func TestLeavingBehindWhatWasSentOn(t *testing.T) {
	const junk = 80 << 10 // many times LingerBytes, and the socket buffers hold it
	head, _, _ := strings.Cut(query("z", "", strings.Repeat(" ", 60<<10)), "   ")
	for name, sent := range map[string]string{
		"the last request":     query("a", "", goodBody) + query("b", "Connection: close\r\n", goodBody),
		"nonsense":             query("a", "", goodBody) + query("b", "", goodBody) + "nonsense\r\n\r\n",
		"a bad query":          query("a", "", goodBody) + query("b", "", goodBody) + query("c", "", "nonsense"),
		"two framings":         query("a", "", goodBody) + query("b", "", goodBody) + query("c", "Transfer-Encoding: chunked\r\n", ""),
		"a head without end":   query("a", "", goodBody) + query("b", "", goodBody) + strings.Repeat("x", 9000),
		"no room for it":       query("a", "", goodBody) + query("b", "", goodBody) + head + strings.Repeat(" ", 9000),
		"a probe of readiness": query("a", "", goodBody) + query("b", "", goodBody) + "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			st := newStand(t, func(l *config.Limits) { l.UnreadBytes = 6 << 10 })
			c := st.dial()
			c.write(sent)
			a := st.next()
			c.write(strings.Repeat("x", junk))
			c.nc.Close()
			st.leaves(a)
			a.Reply(exchange.Reply{})
			st.none()
		})
	}
}

// A client that leaves with requests sent ahead, all of them read, has left with all of them.
func TestLeavingWithRequestsAhead(t *testing.T) {
	for _, hard := range []bool{false, true} {
		st := newStand(t, nil)
		c := st.dial()
		c.write(query("a", "", goodBody) + query("b", "", goodBody) + query("c", "", goodBody)[:100])
		a := st.next()
		if hard {
			c.nc.(*net.TCPConn).SetLinger(0)
		}
		c.nc.Close()
		st.leaves(a)
		a.Reply(exchange.Reply{})
		st.none()
	}
}

// A client that has shut its side for writing counts as one that has gone, though it could still read: to us the two
// look alike, and an answer that nobody reads costs replicas their time.
func TestHalfAClose(t *testing.T) {
	st := newStand(t, nil)
	c := st.dial()
	c.write(query("a", "", goodBody))
	a := st.next()
	c.nc.(*net.TCPConn).CloseWrite()
	st.leaves(a)
	a.Reply(exchange.Reply{})
	c.ended()
}

// A client that leaves during the drain is seen as well.
func TestLeavingDuringTheDrain(t *testing.T) {
	st := newStand(t, lateEnd)
	c := st.dial()
	c.write(query("a", "", goodBody) + query("b", "", goodBody))
	a := st.next()
	done := st.draining()
	c.nc.Close()
	st.leaves(a)
	a.Reply(exchange.Reply{})
	st.none()
	st.drained(done)
}

// hugeReply is more than the socket buffers of both sides take.
func hugeReply() exchange.Reply {
	return exchange.Reply{Values: []exchange.Value{{Shard: 1, Item: []byte(strings.Repeat("x", 32<<20))}}}
}

// A client that leaves while its answer waits to be taken leaves at once with the query that came next, not when the
// time for writing is over.
func TestLeavingOverAnAnswer(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.WriteTime = time.Hour })
	c := st.dial()
	c.write(query("a", "", goodBody) + query("b", "", goodBody))
	st.next().Reply(hugeReply())
	b := st.next()
	if _, err := io.ReadFull(c.nc, make([]byte, 100)); err != nil { // it is being written
		t.Fatal(err)
	}
	c.nc.Close()
	st.leaves(b)
	b.Reply(exchange.Reply{})
}

// A client that never reads its answer holds its connection for the time of a write, and no longer.
func TestAnAnswerThatNobodyReads(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.WriteTime = 50 * time.Millisecond })
	c := st.dial()
	c.write(query("a", "", goodBody))
	st.next().Reply(hugeReply())
	st.until("the connection's end", func() bool {
		st.s.mu.Lock()
		defer st.s.mu.Unlock()
		return len(st.s.conns) == 0
	})
}

// A client that has left before its requests are read, since we come to them late, has nothing begun for it: the end that
// stands behind them is seen first.
func TestLeavingBeforeItsRequestsAreRead(t *testing.T) {
	for name, sent := range map[string]string{
		"one request":        query("a", "", goodBody),
		"several":            query("a", "", goodBody) + query("b", "", goodBody) + query("c", "", goodBody),
		"the last one":       query("a", "Connection: close\r\n", goodBody),
		"and half a request": query("a", "", goodBody) + query("b", "", goodBody)[:100],
	} {
		t.Run(name, func(t *testing.T) {
			st := newStand(t, nil)
			c, peer, nc := st.unstartedOn()
			peer.write(sent)
			peer.nc.Close()
			st.hasEnd(nc)
			c.run()
			if n := len(st.sink.asked); n > 0 {
				t.Errorf("%d queries of a client that had left were handed on", n)
			}
		})
	}
}

// A client that ends while an answer waits to be taken has its further requests never asked, though its end can't be read
// before the answer is out.
func TestLeavingUnseenOverAnAnswer(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.WriteTime = time.Hour })
	c, peer, nc := st.unstartedOn()
	go c.run()
	peer.write(query("a", "", goodBody) + query("b", "", goodBody) + query("c", "", goodBody))
	a := st.next()
	st.until("all is read", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.pipelined) == 2
	})
	a.Reply(hugeReply())
	b := st.next()
	if _, err := io.ReadFull(peer.nc, make([]byte, 100)); err != nil { // it is being written
		t.Fatal(err)
	}
	peer.nc.(*net.TCPConn).CloseWrite()
	st.hasEnd(nc)
	b.Reply(exchange.Reply{})
	if n := len(st.sink.asked); n > 0 {
		t.Error("a query of a client that had left was handed on")
	}
}
