package ogc_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"birchcart/internal/config"
	"birchcart/internal/standin"
)

const (
	pageRequest = "GET /collections/all/items?limit=5 HTTP/1.1\r\nHost: x\r\n\r\n"
	half        = len(pageRequest) / 2
)

// rawClient is a client's end of one connection, which sends its requests in pieces.
type rawClient struct {
	testing.TB
	net.Conn
	reader *bufio.Reader
}

func (r *rig) dial() *rawClient {
	r.Helper()
	nc, err := net.Dial("tcp", r.features.Addr().String())
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(time.Minute))
	return &rawClient{r.TB, nc, bufio.NewReader(nc)}
}

// CloseWrite ends the client's stream, and leaves it able to read.
func (c *rawClient) CloseWrite() { c.Conn.(*net.TCPConn).CloseWrite() }

func (c *rawClient) send(text string) {
	c.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		c.Error(err)
	}
}

// expectAnswer reads one answer, and reports whether it closes the connection.
func (c *rawClient) expectAnswer(status int) (last bool) {
	c.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.Errorf("no answer: %v", err)
		return true
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != status {
		c.Errorf("status %d, %v", resp.StatusCode, err)
	}
	return resp.Close
}

func (c *rawClient) expectClosed() {
	c.Helper()
	if _, err := c.reader.Peek(1); err == nil {
		more, _ := c.reader.Peek(c.reader.Buffered())
		c.Errorf("on a connection that was to be closed came %q", more)
	} else if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		c.Error("the connection is kept")
	}
}

func (r *rig) expectDrained(drained <-chan struct{}) {
	r.Helper()
	select {
	case <-drained:
	case <-time.After(time.Minute):
		r.Fatal("the drain did not end")
	}
}

// unhurried sets times that a busy machine does not reach, for tests that are not about them.
func unhurried(l *config.Limits) {
	l.EndTime, l.FirstTime, l.RequestTime, l.ClientIdle = time.Minute, time.Minute, time.Minute, time.Minute
}

// Guards against a drain that drops a request which it has read in part, on a new connection or on a kept one.
func TestDrainAnswersPartlyReadRequests(t *testing.T) {
	r := newPatientRig(t, unhurried)
	fresh, kept := r.dial(), r.dial()
	kept.send(pageRequest)
	kept.expectAnswer(http.StatusOK)
	fresh.send(pageRequest[:half])
	kept.send(pageRequest[:half])
	drained := r.drainUntilUnreachable()
	for _, c := range []*rawClient{fresh, kept} {
		c.send(pageRequest[half:])
		if last := c.expectAnswer(http.StatusOK); !last {
			t.Error("the connection is kept")
		}
	}
	r.expectDrained(drained)
}

// Guards against answers that close a connection on which a further request has been read, in whole or in part.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	for _, sent := range []int{len(pageRequest), half} {
		r := newPatientRig(t, unhurried)
		gate := r.holdReaders()
		c := r.dial()
		c.send(pageRequest + pageRequest[:sent])
		r.settled(func() bool { return r.asked() > 0 })
		drained := r.drainUntilUnreachable()
		close(gate)
		if last := c.expectAnswer(http.StatusOK); last {
			t.Error("the connection is closed although a request had begun")
		}
		c.send(pageRequest[sent:])
		if last := c.expectAnswer(http.StatusOK); !last {
			t.Error("the connection is kept")
		}
		r.expectDrained(drained)
	}
}

// Guards against a drain that resets connections which wait in the kernel's listen queue while all places are taken.
func TestDrainAnswersConnectionsInListenQueue(t *testing.T) {
	const places = 4
	r := newPatientRig(t, func(l *config.Limits) { unhurried(l); l.Clients = 4 * places })
	gate := r.holdReaders()
	var clients []*rawClient
	for range places + 3 {
		c := r.dial()
		c.send(pageRequest)
		clients = append(clients, c)
	}
	r.settled(func() bool { return r.asked() > 0 })
	drained := make(chan struct{})
	go func() { r.features.Drain(t.Context()); close(drained) }()
	time.Sleep(r.cfg.Limits.DrainTime + 100*time.Millisecond)
	close(gate)
	for _, c := range clients {
		c.expectAnswer(http.StatusOK)
	}
	r.expectDrained(drained)
}

// Guards against a drain that outlives its last answer: SIGKILL may come the longest deadline after DrainTime.
func TestDrainEndsWithLastAnswer(t *testing.T) {
	const deadline = 2 * time.Second
	r := newRig(t, withTimes(1, deadline.Seconds()), nil)
	for i := range r.fleet.Replicas {
		r.fleet.SetScript(i, trouble(standin.Silent))
	}
	resting, silent, unfinished, client := r.dial(), r.dial(), r.dial(), r.dial()
	resting.send("GET /conformance HTTP/1.1\r\nHost: x\r\n\r\n")
	resting.expectAnswer(http.StatusOK)
	began := time.Now()
	drained := make(chan struct{})
	go func() { r.features.Drain(t.Context()); close(drained) }()
	time.Sleep(r.cfg.Limits.DrainTime * 9 / 10)
	client.send(pageRequest)
	unfinished.send(pageRequest[:half])
	if last := client.expectAnswer(http.StatusServiceUnavailable); !last {
		t.Error("the connection is kept")
	}
	t.Logf("answered %v after the drain's begin", time.Since(began))
	r.expectDrained(drained)
	if took := time.Since(began); took > r.cfg.Limits.DrainTime+deadline {
		t.Errorf("drained %v after its begin", took)
	}
	unfinished.expectAnswer(http.StatusBadRequest)
	for _, c := range []*rawClient{resting, silent, unfinished} {
		c.expectClosed()
	}
}
