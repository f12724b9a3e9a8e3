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
func TestReceivedTimeIsThatOfLastByte(t *testing.T) {
	st := newTestServer(t, nil)
	c, second := st.dial(), queryRequest("b", "", validBody)
	c.write(queryRequest("a", "", validBody) + second[:100])
	a := st.nextQuery()
	st.waitFor("half of it is read", st.hasPartialRequest)
	before := time.Now()
	c.write(second[100:])
	st.waitFor("all of it is read", func() bool { return !st.hasPartialRequest() })
	read := time.Now()
	if !a.Received.Before(before) {
		t.Error("the first counts from the second's bytes")
	}
	time.Sleep(time.Until(a.Due) + 20*time.Millisecond) // by now both are over their time
	a.Reply(exchange.Reply{Status: exchange.Failed})
	c.expectStatus(504)
	b := st.nextQuery()
	if b.Received.Before(before) || b.Received.After(read) {
		t.Errorf("received %v after its last bytes were written, read within %v", b.Received.Sub(before), read.Sub(before))
	}
	if wait := b.Due.Sub(b.Received); wait != 480*time.Millisecond {
		t.Errorf("due after %v", wait)
	}
	b.Reply(exchange.Reply{Status: exchange.Rejected})
	c.expectStatus(503)
}

// More sent ahead than is read ahead ends the query in hand as failed, never as refused, since it may have run; its own
// answer, should it cross that, is not written. See submit for why it does not keep that answer.
func TestPipelineOverflowFailsPendingQueryOnce(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.Pipelined = 2 })
	c := st.dial()
	for i := range 3 {
		c.write(queryRequest(fmt.Sprint("a", i), "", validBody))
	}
	a := st.nextQuery()
	c.write(queryRequest("a3", "", validBody))
	st.expectClientGone(a)
	if r := c.expectStatus(400); !r.Close {
		t.Error("the connection is kept")
	}
	c.expectClosed()
	held, peer := st.newUnstartedConn()
	for range 4 {
		held.submit(&exchange.Query{})
	}
	a = st.nextQuery()
	st.expectClientGone(a)
	held.queueReply(a, exchange.Reply{})
	go held.run()
	peer.expectStatus(400)
	peer.expectClosed()
	st.expectNoQuery()
}

// As many as are read ahead are all answered, in order.
func TestPipelineLimitIsInclusive(t *testing.T) {
	st := newTestServer(t, func(l *config.Limits) { l.Pipelined = 2 })
	c := st.dial()
	var all strings.Builder
	for i := range 3 {
		all.WriteString(queryRequest(fmt.Sprint("a", i), "", validBody))
	}
	c.write(all.String())
	for i := range 3 {
		q := st.nextQuery()
		if q.ID != fmt.Sprint("a", i) {
			t.Errorf("%s was asked in place %d", q.ID, i)
		}
		q.Reply(exchange.Reply{})
		c.expectStatus(200)
	}
}
