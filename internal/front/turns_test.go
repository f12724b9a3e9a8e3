package front

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
)

// The timeout of a request counts from its last byte, also if it arrives in pieces, and runs while the request is queued
// behind a pending query.
func TestReceivedTimeIsThatOfLastByte(t *testing.T) {
	st := newTestServer(t, nil)
	c, second := st.dial(), queryRequest("b", "", validBody)
	c.write(queryRequest("a", "", validBody) + second[:100])
	a := st.nextQuery()
	st.waitFor("part of the second request is read", st.hasPartialRequest)
	before := time.Now()
	c.write(second[100:])
	st.waitFor("the second request is read completely", func() bool { return !st.hasPartialRequest() })
	read := time.Now()
	if !a.Received.Before(before) {
		t.Error("the first request counts from the bytes of the second")
	}
	time.Sleep(time.Until(a.Due) + 20*time.Millisecond) // now the deadlines of both have passed
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

// When a client exceeds the pipeline limit, the pending query ends as failed, never as rejected, since it may have run. If
// its answer arrives at the same time, that answer is not written. See submit for the reason.
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
	late, peer := st.newUnstartedConn()
	for range 4 {
		late.submit(&exchange.Query{})
	}
	a = st.nextQuery()
	st.expectClientGone(a)
	late.queueReply(a, exchange.Reply{})
	go late.run()
	peer.expectStatus(400)
	peer.expectClosed()
	st.expectNoQuery()
}

// As many pipelined requests as the limit allows are all answered, in order.
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
			t.Errorf("%s was submitted in position %d", q.ID, i)
		}
		q.Reply(exchange.Reply{})
		c.expectStatus(200)
	}
}
