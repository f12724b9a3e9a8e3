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
func (st *stand) draining() (done chan struct{}) {
	st.Helper()
	done = make(chan struct{})
	go func() { st.s.Drain(context.Background()); close(done) }()
	for end := time.Now().Add(patience); !st.s.closing.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			st.Fatal("not leaving")
		}
	}
	return done
}

// lateEnd leaves a busy machine time for what is not about the end.
func lateEnd(l *config.Limits) { l.EndTime = 4 * time.Second }

func (st *stand) drained(done chan struct{}) {
	st.Helper()
	select {
	case <-done:
	case <-time.After(patience):
		st.Fatal("not done")
	}
}

// A request of which half was read when the connections are closed is read to its end and answered.
func TestAHalfReadRequestAtTheClose(t *testing.T) {
	st := newStand(t, lateEnd)
	c, text := st.dial(), query("a", "", goodBody)
	c.write(text[:len(text)/2])
	time.Sleep(80 * time.Millisecond) // longer than what makes room for others
	done := st.draining()
	time.Sleep(3 * drainTick)
	c.write(text[len(text)/2:])
	st.next().Reply(exchange.Reply{})
	if r := c.status(200); !r.Close {
		t.Error("the connection is kept")
	}
	st.drained(done)
}

// A request that is read ahead in part when the one before is answered keeps its connection and is answered, too.
func TestAPipelinedRequestAtTheClose(t *testing.T) {
	for _, cut := range []int{0, 30} { // bytes that are missing still
		st := newStand(t, lateEnd)
		c, second := st.dial(), query("b", "", goodBody)
		c.write(query("a", "", goodBody) + second[:len(second)-cut])
		q := st.next()
		done := st.draining()
		time.Sleep(2 * drainTick)
		q.Reply(exchange.Reply{})
		if r := c.status(200); r.Close {
			t.Error("closed over a request that had begun")
		}
		c.write(second[len(second)-cut:])
		st.next().Reply(exchange.Reply{})
		if r := c.status(200); !r.Close {
			t.Error("the connection is kept")
		}
		st.drained(done)
	}
}

// Who goes on sending ahead does not put off the end: from the last moment for answers each closes its connection.
func TestSendingAheadEnds(t *testing.T) {
	st := newStand(t, nil)
	c := st.dial()
	c.write(query("a", "", goodBody) + query("b", "", goodBody)[:100])
	q := st.next()
	done := st.draining()
	time.Sleep(st.s.limits.EndTime)
	q.Reply(exchange.Reply{})
	if r := c.status(200); !r.Close {
		t.Error("the connection is kept")
	}
	st.drained(done)
}

// What waits to be read on a connection between requests is a request that was taken: it is not closed over it.
func TestNoCloseOverWhatWaits(t *testing.T) {
	st := newStand(t, nil)
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
	c := newClient(st.s, nc) // its goroutine is not running: it has not had the processor
	c.sentValid = true
	if _, err := peer.Write([]byte(query("a", "", goodBody))); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	c.closeRequested = true // asked to close before that came
	go c.run()
	st.next().Reply(exchange.Reply{})
	b := make([]byte, 100)
	peer.SetReadDeadline(time.Now().Add(patience))
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
func TestAHalfRequestDoesNotHoldTheEnd(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.RequestTime, l.FirstTime = time.Minute, time.Minute })
	c := st.dial()
	c.write(query("a", "", goodBody)[:100])
	began := time.Now()
	st.drained(st.draining())
	if took := time.Since(began); took < st.s.limits.EndTime {
		t.Errorf("given up after %v, before the last moment", took)
	}
	c.ended()
}

// slowToAccept is a listener that gets no processor for a while after the drain has begun to leave.
type slowToAccept struct {
	*net.TCPListener
	free chan struct{}
}

func (l slowToAccept) Accept() (net.Conn, error) {
	<-l.free
	return l.TCPListener.Accept()
}

// What the machine has accepted when the accepting ends, and we have not, is taken and answered: the end of the listener
// would reset it.
func TestWhatWaitsToBeAcceptedAtTheClose(t *testing.T) {
	held := newStandOn(t, lateEnd, func(ln net.Listener) net.Listener {
		return slowToAccept{ln.(*net.TCPListener), make(chan struct{})}
	})
	var waiting []*conn
	for i := range 10 {
		c := held.dial()
		c.write(query(fmt.Sprint("q", i), "", goodBody))
		waiting = append(waiting, c)
	}
	done := held.draining()
	time.Sleep(2 * drainTick)
	close(held.s.listener.(slowToAccept).free)
	for range waiting {
		held.next().Reply(exchange.Reply{})
	}
	for _, c := range waiting {
		if r := c.status(200); !r.Close {
			t.Error("the connection is kept")
		}
	}
	held.drained(done)
}

// A query from before the end whose client waits past the time for the last answers has its answer still: its replicas are at
// work, and it is for SIGKILL to end that, not for the drain.
func TestAQueryOutlivesTheTimeForLastAnswers(t *testing.T) {
	st := newStand(t, nil)
	c := st.dial()
	c.write(strings.Replace(query("a", "", goodBody), "X-Timeout-Ms: 480", "X-Timeout-Ms: 60000", 1))
	q := st.next()
	done := st.draining()
	st.until("the time for last answers is over", func() bool { return !st.s.mayRespond() })
	if end := st.s.lastReplyBy.Load(); !q.Due.After(*end) {
		t.Fatalf("due %v before the last answers", end.Sub(q.Due))
	}
	select {
	case <-done:
		t.Fatal("done over an open query")
	case <-time.After(3 * drainTick):
	}
	q.Reply(exchange.Reply{})
	if r := c.status(200); !r.Close {
		t.Error("the connection is kept")
	}
	st.drained(done)
}
