package ogc_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"birchcart/internal/config"
)

// Guards against clients that hold all places without a request, so that no other client is answered.
func TestUnusedConnectionsMakeRoom(t *testing.T) {
	const places = 4
	for name, occupy := range map[string]func(c *rawClient){
		"silent":         func(*rawClient) {},
		"stopped midway": func(c *rawClient) { c.send(pageRequest[:half]) },
		"between requests": func(c *rawClient) {
			c.send(documentRequest)
			c.expectAnswer(http.StatusOK)
		},
		"stopped midway behind a request": func(c *rawClient) {
			c.send(documentRequest + documentRequest[:20])
			c.expectAnswer(http.StatusOK)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newPatientRig(t, func(l *config.Limits) { unhurried(l); l.Clients = 4 * places })
			for range places {
				occupy(r.dial())
			}
			c := r.dial()
			c.SetDeadline(time.Now().Add(patience))
			c.send(pageRequest)
			c.expectAnswer(http.StatusOK)
		})
	}
}

// Guards against an eviction of a connection whose query is pending, or whose request waits to be read.
func TestPendingQueriesAreNotEvicted(t *testing.T) {
	const places = 4
	r := newPatientRig(t, func(l *config.Limits) { unhurried(l); l.Clients = 4 * places })
	gate := r.holdReaders()
	var clients []*rawClient
	for range places + 2 {
		c := r.dial()
		c.send(pageRequest)
		clients = append(clients, c)
	}
	r.settled(func() bool { return r.asked() >= places*shape.Shards })
	time.Sleep(5 * r.cfg.Limits.SlowRequest)
	close(gate)
	for _, c := range clients {
		c.expectAnswer(http.StatusOK)
	}
}

// Guards against heads of many short fields, which take many times their size of memory.
func TestHeadOfManyFieldsIsRejected(t *testing.T) {
	r := newPatientRig(t, unhurried)
	for fields, status := range map[int]int{100: http.StatusOK, 200: http.StatusRequestHeaderFieldsTooLarge} {
		c := r.dial()
		c.send("GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", fields) + "\r\n")
		c.expectAnswer(status)
	}
}

// Guards against incomplete heads that exhaust the memory together. Short requests are still served, and bytes of connections
// that have ended are released.
func TestIncompleteHeadsAreBounded(t *testing.T) {
	const limit = 20 << 10
	r := newPatientRig(t, func(l *config.Limits) { unhurried(l); l.UnreadBytes = limit })
	long := "GET /?f=json&f=" + strings.Repeat("a", limit*2/3)
	first, second, short := r.dial(), r.dial(), r.dial()
	first.send(long)
	time.Sleep(50 * time.Millisecond) // it is read first
	second.send(long)
	second.expectAnswer(http.StatusServiceUnavailable)
	second.expectClosed()
	short.send(documentRequest)
	short.expectAnswer(http.StatusOK)
	first.Close()
	time.Sleep(50 * time.Millisecond)
	third := r.dial()
	third.send(long + " HTTP/1.1\r\nHost: x\r\n\r\n")
	third.expectAnswer(http.StatusOK)
}
