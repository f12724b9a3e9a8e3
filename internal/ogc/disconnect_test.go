package ogc_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"birchcart/internal/config"
	"birchcart/internal/standin"
	"birchcart/policy"
)

// patience is how long a test waits for what must come within a tenth of a second: a busy machine takes long.
const patience = 20 * time.Second

// documentRequest asks for something that needs no reader.
const documentRequest = "GET /collections/all HTTP/1.1\r\nHost: x\r\n\r\n"

// expectEvents waits until the decisions have had so many events of a kind.
func (r *rig) expectEvents(kind policy.Kind, want int) {
	r.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		r.mu.Lock()
		n := r.events[kind]
		r.mu.Unlock()
		if n == want {
			return
		}
		if time.Now().After(end) {
			r.Fatalf("%d events of kind %d, want %d", n, kind, want)
		}
	}
}

// Guards against attempts for a client that has disconnected behind a pipelined request: the end of its stream stayed unread.
func TestDisconnectBehindPipelinedRequestIsNoticed(t *testing.T) {
	for name, further := range map[string]string{
		"part of a request": pageRequest[:half], "request": pageRequest, "many requests": strings.Repeat(pageRequest, 300),
	} {
		for ending, linger := range map[string]int{"closed": -1, "reset": 0} {
			t.Run(name+" "+ending, func(t *testing.T) {
				t.Parallel()
				r := newPatientRig(t, unhurried)
				gate := r.holdReaders()
				defer close(gate)
				c := r.dial()
				c.send(pageRequest)
				r.settled(func() bool { return r.asked() > 0 })
				c.send(further)
				time.Sleep(20 * time.Millisecond) // the HTTP library has read ahead
				c.Conn.(*net.TCPConn).SetLinger(linger)
				c.Close()
				r.expectEvents(policy.ClientLeft, 1)
				r.expectEvents(policy.QueryArrived, 1)
			})
		}
	}
}

// Guards against pipelined queries that are submitted after their client has disconnected.
func TestPipelinedQueriesOfDisconnectedClientAreDropped(t *testing.T) {
	const places = 4
	for name, queries := range map[string]int{"few": 3, "more than one read": 300} {
		t.Run(name, func(t *testing.T) {
			r := newPatientRig(t, func(l *config.Limits) { unhurried(l); l.Clients = 4 * places })
			var others []*rawClient
			for range places {
				c := r.dial()
				c.send(documentRequest)
				c.expectAnswer(http.StatusOK)
				others = append(others, c)
			}
			c := r.dial() // waits in the listen queue
			c.send(documentRequest + strings.Repeat(pageRequest, queries))
			c.CloseWrite()
			for _, other := range others {
				other.Close()
			}
			c.expectAnswer(http.StatusOK) // of the document
			c.expectClosed()
			if n := r.asked(); n > 0 {
				t.Errorf("%d parts were sent", n)
			}
		})
	}
}

// Guards against a client that sends without end while its query is pending: it takes memory, and its end can't be seen.
func TestTooMuchReadAheadFailsQuery(t *testing.T) {
	r := newPatientRig(t, unhurried)
	gate := r.holdReaders()
	defer close(gate)
	c := r.dial()
	c.send(pageRequest)
	r.settled(func() bool { return r.asked() > 0 })
	go c.Write([]byte(strings.Repeat("GET / HTTP/1.1\r\n", 1<<20))) // until the server closes the connection
	if last := c.expectAnswer(http.StatusBadRequest); !last {
		t.Error("the connection is kept")
	}
	r.expectEvents(policy.ClientLeft, 1)
}

// Guards against a request that is lost because it was read while the one before it was pending.
func TestRequestReadAheadIsServed(t *testing.T) {
	r := newPatientRig(t, unhurried)
	gate := r.holdReaders()
	c := r.dial()
	c.send(pageRequest)
	r.settled(func() bool { return r.asked() > 0 })
	for _, piece := range []string{pageRequest[:1], pageRequest[1:half], pageRequest[half:] + pageRequest[:half]} {
		c.send(piece)
		time.Sleep(10 * time.Millisecond)
	}
	close(gate)
	c.expectAnswer(http.StatusOK)
	c.expectAnswer(http.StatusOK)
	c.send(pageRequest[half:])
	c.expectAnswer(http.StatusOK)
}

// Guards against a pipelined query that is never submitted: the deadline of an earlier request ended the reading ahead, and the
// end of the client's stream was awaited for ever.
func TestPipelinedQueriesOutliveDeadlineOfFirst(t *testing.T) {
	const queries = 100
	r := newPatientRig(t, func(l *config.Limits) { unhurried(l); l.RequestTime = 50 * time.Millisecond })
	for i := range r.fleet.Replicas {
		r.fleet.SetScript(i, func(a standin.Asked) standin.Does {
			d := r.counts.Does(a)
			d.After = 10 * time.Millisecond
			return d
		})
	}
	c := r.dial()
	c.send(strings.Repeat(pageRequest, queries))
	c.SetDeadline(time.Now().Add(patience))
	for range queries {
		if c.expectAnswer(http.StatusOK); t.Failed() {
			return
		}
	}
}
