package front

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/duplexconn"
	"birchcart/internal/exchange"
	"birchcart/internal/h1"
)

// clientConn is one connection from a client.
type clientConn struct {
	server *Server
	conn   *duplexconn.Conn
	peer   string

	mu              sync.Mutex
	output          []byte
	current         *exchange.Query   // the pending query: submitted and not yet answered
	pipelined       []*exchange.Query // read ahead and submitted one at a time, each after the answer before it
	closing         bool              // no further request is served; the connection ends once all is answered and written
	closeRequested  bool              // requestClose has marked the connection for closing
	overLimit       bool              // accepted beyond the connection limit; guarded by the server's lock
	sentValid       bool              // has sent a valid request
	idleSince       time.Time
	partialSince    time.Time // when the first bytes of an incomplete request arrived, zero if there is none
	handling        bool      // a request has been read completely and is neither submitted nor queued yet
	expectsContinue bool      // the client waits for "100 Continue" before it sends the body of the incomplete request
	lastWasReply    bool      // the most recent event on the connection was an answer
	writingSince    time.Time // when the write of the newest bytes began, zero once they are written

	acceptedAt   time.Time
	partialBytes int64 // received bytes of an incomplete request; used by the connection's goroutine only
}

func newClientConn(s *Server, nc net.Conn) *clientConn {
	now := time.Now()
	c := &clientConn{server: s, peer: nc.RemoteAddr().String(), idleSince: now, acceptedAt: now}
	c.conn = duplexconn.New(nc, c, s.limits.WriteTime)
	return c
}

var (
	errAllAnswered      = errors.New("front: all requests are answered")
	errIdle             = errors.New("front: closed as idle")
	errRequestTimeout   = &h1.Error{Status: 408, Reason: "the request took too long to arrive"}
	errUnsolicitedInput = &h1.Error{Status: 400, Reason: "too much input behind the last request"}
	errNoCapacity       = &h1.Error{Status: 503, Reason: "incomplete requests exceed their memory limit"}
)

// run reads and serves the connection's requests until it ends. It is the connection's goroutine.
func (c *clientConn) run() {
	limits := &c.server.limits
	splitter := &h1.RequestSplitter{Limits: h1.Limits{Head: limits.HeadBytes, Body: limits.BodyBytes}}
	scanner := bufio.NewScanner(requestReader{c, splitter})
	// Large enough for a body in chunks as small as 16 bytes and for a trailer; anything larger is too long.
	scanner.Buffer(nil, 2*limits.HeadBytes+2*limits.BodyBytes)
	ahead := 0 // bytes that were read beyond the request
	scanner.Split(func(data []byte, atEOF bool) (int, []byte, error) {
		n, token, err := splitter.Split(data, atEOF)
		ahead = len(data) - n
		return n, token, err
	})
	last := false
	for !last && scanner.Scan() {
		c.onRequestRead(ahead)
		last = c.handleRequest(&splitter.Request)
	}
	err := scanner.Err()
	if last {
		err = c.awaitAnswers()
	}
	c.reserveBytes(-c.partialBytes)
	if errors.Is(err, bufio.ErrTooLong) {
		err = &h1.Error{Status: 413, Reason: "message exceeds the size limit"}
	}
	var badRequest *h1.Error
	if errors.As(err, &badRequest) {
		c.server.log.Warn("bad request", logrus.Fields{"peer": c.peer, "status": badRequest.Status, "reason": badRequest.Reason})
		c.respondAndClose(badRequest.Status)
	} else if errors.Is(err, errAllAnswered) {
		c.conn.CloseWrite()
		c.conn.Drain(limits.Linger, limits.LingerBytes)
	}
	c.server.log.Debug("client connection ended", logrus.Fields{"peer": c.peer, "error": err, "last_request": last})
	c.notifyGone()
	c.server.remove(c)
}

// onRequestRead records that a request has been read completely and that ahead bytes of the next one were read with it.
func (c *clientConn) onRequestRead(ahead int) {
	c.mu.Lock()
	c.handling, c.expectsContinue = true, false
	if c.partialSince = (time.Time{}); ahead > 0 {
		c.partialSince = c.conn.ReadAt()
	}
	c.mu.Unlock()
	c.reserveBytes(-c.partialBytes)
}

// respondAndClose answers a malformed request with an error status and ends the connection. If a query is pending, that
// query is answered instead and the error is not sent.
func (c *clientConn) respondAndClose(status int) {
	c.mu.Lock()
	busy := c.current != nil
	if !busy {
		c.output = h1.AppendResponse(c.output, status, nil, nil, true)
	}
	c.closing = true
	c.mu.Unlock()
	if busy { // the pending query still gets its answer; everything after it is dropped with the connection
		err := c.awaitAnswers()
		if errors.Is(err, errUnsolicitedInput) { // the query has been abandoned
			c.respondAndClose(errUnsolicitedInput.Status)
			return
		}
		if !errors.Is(err, errAllAnswered) {
			return
		}
	} else if _, err := c.conn.Flush(); err != nil && !errors.Is(err, errAllAnswered) {
		return
	}
	c.conn.CloseWrite()
	c.conn.Drain(c.server.limits.Linger, c.server.limits.LingerBytes)
}

// awaitAnswers waits until the pending answers are written on a connection from which no further request is accepted, and
// then returns errAllAnswered. Meanwhile it reads and discards input, at a limited rate: the end of the client's stream
// comes behind everything that the client has sent, and once that end is seen no further query may be submitted for it. A
// client that sends so much that its end would be seen too late counts as disconnected: its pending query is abandoned, and
// errUnsolicitedInput is returned.
func (c *clientConn) awaitAnswers() error {
	err := c.conn.Rest(duplexconn.RestLimits{Burst: c.server.limits.LingerBytes, Pause: awaitTick, Total: maxAwaitTicks * c.server.limits.LingerBytes})
	if errors.Is(err, duplexconn.ErrUnsolicited) {
		c.notifyGone()
		return errUnsolicitedInput
	}
	return err
}

const (
	// awaitTick is the pause after each LingerBytes that awaitAnswers discards.
	awaitTick = 10 * time.Millisecond
	// maxAwaitTicks bounds what awaitAnswers discards: nothing may begin for a client later than 0.1 s after it has disconnected, and
	// so much is read in that time.
	maxAwaitTicks = 8
)

// reserveBytes adds n bytes, which may be negative, to the size of the incomplete requests and reports whether the total
// of all connections is within its limit.
func (c *clientConn) reserveBytes(n int64) bool {
	c.partialBytes += n
	return c.server.partialBytes.Add(n) <= c.server.limits.UnreadBytes
}

// notifyGone tells the exchange that the client of the pending query has disconnected, and drops the pipelined queries. The
// end of the client's stream counts as a disconnect even if the client could still read: a half-close and a full close
// can't be told apart, and the protocol defines only the full close.
func (c *clientConn) notifyGone() {
	c.mu.Lock()
	q := c.current
	c.current, c.pipelined = nil, nil
	c.mu.Unlock()
	if q != nil {
		c.server.sink.ClientGone(q)
	}
}

// initialScanBuffer is the initial buffer size of a bufio.Scanner.
const initialScanBuffer = 4 << 10

// requestReader reads from the connection, records when an incomplete request began to arrive and accounts for its size.
type requestReader struct {
	c        *clientConn
	splitter *h1.RequestSplitter
}

func (r requestReader) Read(p []byte) (int, error) {
	if r.splitter.Expects {
		r.splitter.Expects = false
		r.c.mu.Lock()
		r.c.expectsContinue = true
		r.c.mu.Unlock()
	}
	n, err := r.c.conn.Read(p)
	if n > 0 {
		r.c.mu.Lock()
		if r.c.partialSince.IsZero() {
			r.c.partialSince = r.c.conn.ReadAt()
		}
		r.c.mu.Unlock()
		// Guards against many concurrent bodies that exhaust a small memory. A request that fits into the scanner's
		// initial buffer is always permitted.
		if !r.c.reserveBytes(int64(n)) && r.c.partialBytes > initialScanBuffer {
			r.c.server.pacer.onTurnAway()
			return n, errNoCapacity
		}
	}
	return n, err
}

// handleRequest handles one request and reports whether it is the connection's last.
func (c *clientConn) handleRequest(r *h1.Request) (last bool) {
	c.mu.Lock()
	dropped := c.closing // requests after the last one are not served
	c.handling = !dropped
	c.closing = c.closing || r.Close
	c.mu.Unlock()
	if !dropped {
		c.dispatchRequest(r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// dispatchRequest answers a readiness probe, rejects an invalid request, and submits a valid query.
func (c *clientConn) dispatchRequest(r *h1.Request) {
	if r.Target == "/-/ready" {
		switch {
		case r.Method != "GET" && r.Method != "HEAD":
			c.queueStatus(405, nil)
		case !c.server.isReady():
			c.queueStatus(503, nil)
		default:
			c.queueStatus(200, nil)
		}
		return
	}
	q, err := c.server.parseQuery(r, c.conn.ReadAt())
	if err == nil {
		q.Client, _, _ = net.SplitHostPort(c.peer)
	}
	if err != nil {
		var badRequest *h1.Error
		if !errors.As(err, &badRequest) {
			badRequest = &h1.Error{Status: 400, Reason: err.Error()}
		}
		c.server.log.Warn("bad request", logrus.Fields{
			"peer": c.peer, "status": badRequest.Status, "reason": badRequest.Reason, "target": r.Target[:min(len(r.Target), 200)],
		})
		c.mu.Lock()
		c.closing = true // frees its buffer and its connection slot for other clients
		c.mu.Unlock()
		c.queueStatus(badRequest.Status, nil)
		return
	}
	rejected := c.overLimit && !c.server.admitOverLimit(c)
	c.mu.Lock()
	c.closing, c.sentValid = c.closing || rejected, true
	c.mu.Unlock()
	if rejected {
		c.queueStatus(503, retryAfterHeader(c.server.limits.ComeBack))
		return
	}
	q.Reply = func(r exchange.Reply) { c.queueReply(q, r) }
	c.submit(q)
}

// submit passes a query to the exchange, or queues it behind the pending one. If the goroutine runs late, the client may
// already have closed its connection after the request; then the query is dropped.
func (c *clientConn) submit(q *exchange.Query) {
	disconnected := !c.conn.Open()
	c.mu.Lock()
	c.handling = false
	if disconnected {
		c.closing = true // the goroutine reads the end of the stream next
		c.mu.Unlock()
		return
	}
	if c.current != nil {
		if c.pipelined = append(c.pipelined, q); len(c.pipelined) > c.server.limits.Pipelined {
			pending := c.current
			c.current, c.pipelined, c.closing = nil, nil, true
			c.output = h1.AppendResponse(c.output, 400, nil, nil, true)
			c.mu.Unlock()
			// Guards against clients that send all their requests at once: processed one by one, the requests would be
			// answered long after the first of them has got its error. The pending query fails with the others: a failure
			// is permitted for a query that may have run, whereas a rejection is not. If its answer were awaited, such
			// a client would occupy a connection slot, a reading goroutine and attempts for that time; a client that sends
			// so many requests does not wait for any single answer.
			c.server.log.Warn("bad request", logrus.Fields{"peer": c.peer, "status": 400, "reason": "too many pipelined requests"})
			c.server.sink.ClientGone(pending)
			return
		}
		c.mu.Unlock()
		return
	}
	c.current = q
	c.mu.Unlock()
	c.server.sink.Submit(q)
}
