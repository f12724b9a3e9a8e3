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

// draining tells the server to end and waits until each answer closes its connection.
func (st *testServer) startDrain() (done chan struct{}) {
	st.Helper()
	done = make(chan struct{})
	go func() { st.server.Drain(context.Background()); close(done) }()
	for end := time.Now().Add(testTimeout); !st.server.closing.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			st.Fatal("not leaving")
		}
	}
	return done
}

// extendEndTime leaves a busy machine time for what is not about the end.
func extendEndTime(l *config.Limits) { l.EndTime = 4 * time.Second }

func (st *testServer) expectDrained(done chan struct{}) {
	st.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout):
		st.Fatal("not done")
	}
}

// A request of which half was read when the connections are closed is read to its end and answered.
func TestPartialRequestIsAnsweredDuringDrain(t *testing.T) {
	st := newTestServer(t, extendEndTime)
	c, text := st.dial(), queryRequest("a", "", validBody)
	c.write(text[:len(text)/2])
	time.Sleep(80 * time.Millisecond) // longer than what makes room for others
	done := st.startDrain()
	time.Sleep(3 * drainTick)
	c.write(text[len(text)/2:])
	st.nextQuery().Reply(exchange.Reply{})
	if r := c.expectStatus(200); !r.Close {
		t.Error("the connection is kept")
	}
	st.expectDrained(done)
}

// A request that is read ahead in part when the one before is answered keeps its connection and is answered, too.
func TestPipelinedRequestIsAnsweredDuringDrain(t *testing.T) {
	for _, cut := range []int{0, 30} { // bytes that are missing still
		st := newTestServer(t, extendEndTime)
		c, second := st.dial(), queryRequest("b", "", validBody)
		c.write(queryRequest("a", "", validBody) + second[:len(second)-cut])
		q := st.nextQuery()
		done := st.startDrain()
		time.Sleep(2 * drainTick)
		q.Reply(exchange.Reply{})
		if r := c.expectStatus(200); r.Close {
			t.Error("closed over a request that had begun")
		}
		c.write(second[len(second)-cut:])
		st.nextQuery().Reply(exchange.Reply{})
		if r := c.expectStatus(200); !r.Close {
			t.Error("the connection is kept")
		}
		st.expectDrained(done)
	}
}

// Who goes on sending ahead does not put off the end: from the last moment for answers each closes its connection.
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

// What waits to be read on a connection between requests is a request that was taken: it is not closed over it.
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
	c := newClientConn(st.server, nc) // its goroutine is not running: it has not had the processor
	c.sentValid = true
	if _, err := peer.Write([]byte(queryRequest("a", "", validBody))); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	c.closeRequested = true // asked to close before that came
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
		t.Errorf("not closed though nothing waits: %q", b[:n])
	}
}

// Half a request whose rest does not come puts off the end until the moment for the last answers, not for all the time
// that a request may take.
func TestPartialRequestDelaysDrainOnlyUntilEndTime(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.RequestTime, l.FirstTime = time.Minute, time.Minute })
	c := st.dial()
	c.write(queryRequest("a", "", validBody)[:100])
	began := time.Now()
	st.expectDrained(st.startDrain())
	if took := time.Since(began); took < st.server.limits.EndTime {
		t.Errorf("given up after %v, before the last moment", took)
	}
	c.expectClosed()
}

// blockedListener is a listener that gets no processor for a while after the drain has begun to leave.
type blockedListener struct {
	*net.TCPListener
	release chan struct{}
}

func (l blockedListener) Accept() (net.Conn, error) {
	<-l.release
	return l.TCPListener.Accept()
}

// What the machine has accepted when the accepting ends, and we have not, is taken and answered: the end of the listener
// would reset it.
func TestDrainAnswersConnectionsInAcceptQueue(t *testing.T) {
	held := newTestServerWithListener(t, extendEndTime, func(ln net.Listener) net.Listener {
		return blockedListener{ln.(*net.TCPListener), make(chan struct{})}
	})
	var waiting []*testClient
	for i := range 10 {
		c := held.dial()
		c.write(queryRequest(fmt.Sprint("q", i), "", validBody))
		waiting = append(waiting, c)
	}
	done := held.startDrain()
	time.Sleep(2 * drainTick)
	close(held.server.listener.(blockedListener).release)
	for range waiting {
		held.nextQuery().Reply(exchange.Reply{})
	}
	for _, c := range waiting {
		if r := c.expectStatus(200); !r.Close {
			t.Error("the connection is kept")
		}
	}
	held.expectDrained(done)
}

// A query from before the end whose client waits past the time for the last answers has its answer still: its replicas are at
// work, and it is for SIGKILL to end that, not for the drain.
func TestDrainWaitsForEarlierQueryBeyondEndTime(t *testing.T) {
	st := newTestServer(t, nil)
	c := st.dial()
	c.write(strings.Replace(queryRequest("a", "", validBody), "X-Timeout-Ms: 480", "X-Timeout-Ms: 60000", 1))
	q := st.nextQuery()
	done := st.startDrain()
	st.waitFor("the time for last answers is over", func() bool { return !st.server.mayRespond() })
	if end := st.server.lastReplyBy.Load(); !q.Due.After(*end) {
		t.Fatalf("due %v before the last answers", end.Sub(q.Due))
	}
	select {
	case <-done:
		t.Fatal("done over an open query")
	case <-time.After(3 * drainTick):
	}
	q.Reply(exchange.Reply{})
	if r := c.expectStatus(200); !r.Close {
		t.Error("the connection is kept")
	}
	st.expectDrained(done)
}
