package front

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
)

// startDrain starts Drain and waits until DrainTime is over, when each answer closes its connection.
func (st *testServer) startDrain() (done chan struct{}) {
	st.Helper()
	done = make(chan struct{})
	go func() { st.server.Drain(context.Background()); close(done) }()
	for end := time.Now().Add(testTimeout); !st.server.closing.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			st.Fatal("DrainTime did not end")
		}
	}
	return done
}

// extendEndTime sets an EndTime that a busy machine does not reach, for tests that are not about the end of the drain.
func extendEndTime(l *config.Limits) { l.EndTime = 4 * time.Second }

func (st *testServer) expectDrained(done chan struct{}) {
	st.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout):
		st.Fatal("Drain did not return")
	}
}

// A request that has been read in part when the drain begins to close connections is read completely and answered.
func TestPartialRequestIsAnsweredDuringDrain(t *testing.T) {
	st := newTestServer(t, extendEndTime)
	c, text := st.dial(), queryRequest("a", "", validBody)
	c.write(text[:len(text)/2])
	time.Sleep(80 * time.Millisecond) // longer than SlowRequest: the connection could be evicted for new clients
	done := st.startDrain()
	time.Sleep(3 * drainTick)
	c.write(text[len(text)/2:])
	st.nextQuery().Reply(exchange.Reply{})
	if r := c.expectStatus(200); !r.Close {
		t.Error("the connection is kept")
	}
	st.expectDrained(done)
}

// When a query is answered during the drain while a pipelined request has been read in whole or in part, the connection
// stays open and the second request is answered, too.
func TestPipelinedRequestIsAnsweredDuringDrain(t *testing.T) {
	for _, missing := range []int{0, 30} { // bytes of the second request that are sent after the first answer
		st := newTestServer(t, extendEndTime)
		c, second := st.dial(), queryRequest("b", "", validBody)
		c.write(queryRequest("a", "", validBody) + second[:len(second)-missing])
		q := st.nextQuery()
		done := st.startDrain()
		time.Sleep(2 * drainTick)
		q.Reply(exchange.Reply{})
		if r := c.expectStatus(200); r.Close {
			t.Error("the connection is closed although a request had begun")
		}
		c.write(second[len(second)-missing:])
		st.nextQuery().Reply(exchange.Reply{})
		if r := c.expectStatus(200); !r.Close {
			t.Error("the connection is kept")
		}
		st.expectDrained(done)
	}
}

// A client that goes on pipelining requests does not delay the end of the drain: once EndTime has passed, each answer
// closes its connection.
func TestPipeliningDoesNotDelayEndOfDrain(t *testing.T) {
	st := newTestServer(t, nil)
	c := st.dial()
	c.write(queryRequest("a", "", validBody) + queryRequest("b", "", validBody)[:100])
	q := st.nextQuery()
	done := st.startDrain()
	time.Sleep(st.server.limits.EndTime)
	q.Reply(exchange.Reply{})
	if r := c.expectStatus(200); !r.Close {
		t.Error("the connection is kept")
	}
	st.expectDrained(done)
}

// A connection between requests is not closed while unread input waits, since the client assumes that its request was
// received.
func TestConnectionWithUnreadRequestIsNotClosed(t *testing.T) {
	st := newTestServer(t, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := newClientConn(st.server, nc) // its goroutine has not been scheduled yet
	c.sentValid = true
	if _, err := peer.Write([]byte(queryRequest("a", "", validBody))); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	c.closeRequested = true // as if requested before the request arrived
	go c.run()
	st.nextQuery().Reply(exchange.Reply{})
	b := make([]byte, 100)
	peer.SetReadDeadline(time.Now().Add(testTimeout))
	n, err := peer.Read(b)
	if err != nil || !strings.HasPrefix(string(b[:n]), "HTTP/1.1 200") {
		t.Errorf("%q %v", b[:n], err)
	}
	c.requestClose()
	if n, err := peer.Read(b); err == nil {
		t.Errorf("the connection is not closed although no input waits: %q", b[:n])
	}
}

// A partial request whose rest never arrives delays the end of the drain until EndTime, not for the whole RequestTime.
func TestPartialRequestDelaysDrainOnlyUntilEndTime(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.RequestTime, l.FirstTime = time.Minute, time.Minute })
	c := st.dial()
	c.write(queryRequest("a", "", validBody)[:100])
	began := time.Now()
	st.expectDrained(st.startDrain())
	if took := time.Since(began); took < st.server.limits.EndTime {
		t.Errorf("abandoned after %v, before EndTime", took)
	}
	c.expectClosed()
}

// blockedListener is a listener whose Accept blocks until released, as if its goroutine were not scheduled.
type blockedListener struct {
	*net.TCPListener
	release chan struct{}
}

func (l blockedListener) Accept() (net.Conn, error) {
	<-l.release
	return l.TCPListener.Accept()
}

// Connections that wait in the kernel's listen queue when the accepting is about to end are accepted and answered: closing
// the listener first would reset them.
func TestDrainAnswersConnectionsInAcceptQueue(t *testing.T) {
	st := newTestServerWithListener(t, extendEndTime, func(ln net.Listener) net.Listener {
		return blockedListener{ln.(*net.TCPListener), make(chan struct{})}
	})
	var waiting []*testClient
	for i := range 10 {
		c := st.dial()
		c.write(queryRequest(fmt.Sprint("q", i), "", validBody))
		waiting = append(waiting, c)
	}
	done := st.startDrain()
	time.Sleep(2 * drainTick)
	close(st.server.listener.(blockedListener).release)
	for range waiting {
		st.nextQuery().Reply(exchange.Reply{})
	}
	for _, c := range waiting {
		if r := c.expectStatus(200); !r.Close {
			t.Error("the connection is kept")
		}
	}
	st.expectDrained(done)
}

// A query that was received before the drain and is due after EndTime is still answered: its replicas are already working on
// it, and only SIGKILL may end it, not the drain.
func TestDrainWaitsForEarlierQueryBeyondEndTime(t *testing.T) {
	st := newTestServer(t, nil)
	c := st.dial()
	c.write(strings.Replace(queryRequest("a", "", validBody), "X-Timeout-Ms: 480", "X-Timeout-Ms: 60000", 1))
	q := st.nextQuery()
	done := st.startDrain()
	st.waitFor("EndTime is over", func() bool { return !st.server.mayRespond() })
	if end := st.server.lastReplyBy.Load(); !q.Due.After(*end) {
		t.Fatalf("due %v before EndTime", end.Sub(q.Due))
	}
	select {
	case <-done:
		t.Fatal("Drain returned with a query pending")
	case <-time.After(3 * drainTick):
	}
	q.Reply(exchange.Reply{})
	if r := c.expectStatus(200); !r.Close {
		t.Error("the connection is kept")
	}
	st.expectDrained(done)
}
