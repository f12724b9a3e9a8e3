package front

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
)

// The time of a request counts from its last byte, in pieces as well, and goes on while it waits for its turn.
func TestTheTimeOfARequest(t *testing.T) {
	st := newStand(t, nil)
	c, second := st.dial(), query("b", "", goodBody)
	c.write(query("a", "", goodBody) + second[:100])
	a := st.next()
	st.until("half of it is read", st.begun)
	before := time.Now()
	c.write(second[100:])
	st.until("all of it is read", func() bool { return !st.begun() })
	read := time.Now()
	if !a.Received.Before(before) {
		t.Error("the first counts from the second's bytes")
	}
	time.Sleep(time.Until(a.Due) + 20*time.Millisecond) // by now both are over their time
	a.Reply(exchange.Reply{Status: exchange.Failed})
	c.status(504)
	b := st.next()
	if b.Received.Before(before) || b.Received.After(read) {
		t.Errorf("received %v after its last bytes were written, read within %v", b.Received.Sub(before), read.Sub(before))
	}
	if wait := b.Due.Sub(b.Received); wait != 480*time.Millisecond {
		t.Errorf("due after %v", wait)
	}
	b.Reply(exchange.Reply{Status: exchange.Rejected})
	c.status(503)
}

// More sent ahead than is read ahead ends the query in hand as failed, never as refused, since it may have run; its own
// answer, should it cross that, is not written. See submit for why it does not keep that answer.
func TestTooManyAtOnceAreFailedOnce(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.Pipelined = 2 })
	c := st.dial()
	for i := range 3 {
		c.write(query(fmt.Sprint("a", i), "", goodBody))
	}
	a := st.next()
	c.write(query("a3", "", goodBody))
	st.leaves(a)
	if r := c.status(400); !r.Close {
		t.Error("the connection is kept")
	}
	c.ended()
	held, peer := st.unstarted()
	for range 4 {
		held.submit(&exchange.Query{})
	}
	a = st.next()
	st.leaves(a)
	held.queueReply(a, exchange.Reply{})
	go held.run()
	peer.status(400)
	peer.ended()
	st.none()
}

// As many as are read ahead are all answered, in order.
func TestAsManyAheadAsAllowed(t *testing.T) {
	st := newStand(t, func(l *config.Limits) { l.Pipelined = 2 })
	c := st.dial()
	var all strings.Builder
	for i := range 3 {
		all.WriteString(query(fmt.Sprint("a", i), "", goodBody))
	}
	c.write(all.String())
	for i := range 3 {
		q := st.next()
		if q.ID != fmt.Sprint("a", i) {
			t.Errorf("%s was asked in place %d", q.ID, i)
		}
		q.Reply(exchange.Reply{})
		c.status(200)
	}
}
