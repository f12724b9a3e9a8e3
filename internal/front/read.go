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
	current         *exchange.Query   // the query that waits for its answer
	pipelined       []*exchange.Query // read ahead; one at a time is asked
	closing         bool              // nothing more is read once all is answered and written
	closeRequested  bool              // asked to close
	overLimit       bool              // came past the limit of connections; guarded by the server's lock
	sentValid       bool              // has sent a request that could be used
	idleSince       time.Time
	partialSince    time.Time // when the first bytes of an unfinished request came
	handling        bool      // a request has been read to its end and is neither asked nor waiting yet
	expectsContinue bool      // the client waits for a word before it sends the body of the unfinished request
	lastWasReply    bool      // an answer was the last thing that happened
	writingSince    time.Time // since when the newest bytes are being written, zero once they are

	acceptedAt   time.Time
	partialBytes int64 // bytes that have come of an unfinished request; the goroutine's own
}

func newClientConn(s *Server, nc net.Conn) *clientConn {
	now := time.Now()
	c := &clientConn{server: s, peer: nc.RemoteAddr().String(), idleSince: now, acceptedAt: now}
	c.conn = duplexconn.New(nc, c, s.limits.WriteTime)
	return c
}

var (
	errAllAnswered    = errors.New("front: all is answered")
	errIdle           = errors.New("front: closed as idle")
	errRequestTimeout = &h1.Error{Status: 408, Reason: "the request took too long to arrive"}
	errNoCapacity     = &h1.Error{Status: 503, Reason: "no room for more of unfinished requests"}
)

// run is the goroutine of the connection.
func (c *clientConn) run() {
	lim := &c.server.limits
	split := &h1.RequestSplitter{Limits: h1.Limits{Head: lim.HeadBytes, Body: lim.BodyBytes}}
	in := bufio.NewScanner(requestReader{c, split})
	// Room for the body in the smallest chunks of sixteen bytes and for a trailer; past that it is too long.
	in.Buffer(nil, 2*lim.HeadBytes+2*lim.BodyBytes)
	ahead := 0 // bytes that were read behind the request
	in.Split(func(data []byte, atEOF bool) (int, []byte, error) {
		n, token, err := split.Split(data, atEOF)
		ahead = len(data) - n
		return n, token, err
	})
	last := false
	for !last && in.Scan() {
		c.onRequestRead(ahead)
		last = c.handleRequest(&split.Request)
	}
	err := in.Err()
	if last {
		err = c.awaitAnswers()
	}
	c.reserveBytes(-c.partialBytes)
	if errors.Is(err, bufio.ErrTooLong) {
		err = &h1.Error{Status: 413, Reason: "message over the limit"}
	}
	var unfit *h1.Error
	if errors.As(err, &unfit) {
		c.server.log.Warn("bad request", logrus.Fields{"peer": c.peer, "status": unfit.Status, "reason": unfit.Reason})
		c.respondAndClose(unfit.Status)
	} else if errors.Is(err, errAllAnswered) {
		c.conn.CloseWrite()
		c.conn.Drain(lim.Linger, lim.LingerBytes)
	}
	c.server.log.Debug("a client's connection ended", logrus.Fields{"peer": c.peer, "error": err, "last_request": last})
	c.notifyGone()
	c.server.remove(c)
}

// onRequestRead notes that a request has been read to its end, with so many bytes of the next behind it.
func (c *clientConn) onRequestRead(ahead int) {
	c.mu.Lock()
	c.handling, c.expectsContinue = true, false
	if c.partialSince = (time.Time{}); ahead > 0 {
		c.partialSince = c.conn.ReadAt()
	}
	c.mu.Unlock()
	c.reserveBytes(-c.partialBytes)
}

// respondAndClose answers what could not be read. What is still open on the connection is answered first.
func (c *clientConn) respondAndClose(status int) {
	c.mu.Lock()
	busy := c.current != nil
	if !busy {
		c.output = h1.AppendResponse(c.output, status, nil, nil, true)
	}
	c.closing = true
	c.mu.Unlock()
	if busy { // the query in hand keeps its answer; what follows it is dropped with the connection
		if err := c.awaitAnswers(); !errors.Is(err, errAllAnswered) {
			return
		}
	} else if _, err := c.conn.Flush(); err != nil && !errors.Is(err, errAllAnswered) {
		return
	}
	c.conn.CloseWrite()
	c.conn.Drain(c.server.limits.Linger, c.server.limits.LingerBytes)
}

// awaitAnswers waits for the answers that are due on a connection of which no further request is taken. It reads on
// meanwhile, though no faster than it has to: a client's end stands behind all that it has sent, and once that end is
// seen nothing further may begin for it. It ends with errAllAnswered once all is written.
func (c *clientConn) awaitAnswers() error { return c.conn.Rest(c.server.limits.LingerBytes, awaitTick) }

// awaitTick is the pause after each LingerBytes that are read for a client's end alone. With 64 KiB, 700 KiB go by in
// the 0.1 s after which nothing may begin for a client that has left, at a hundredth of a core or less; twice as long
// finds the end late behind half as much.
const awaitTick = 10 * time.Millisecond

// reserve books bytes of an unfinished request and says whether there is room for them.
func (c *clientConn) reserveBytes(more int64) bool {
	c.partialBytes += more
	return c.server.partialBytes.Add(more) <= c.server.limits.UnreadBytes
}

// notifyGone tells the exchange that nobody waits any more. The end of what a client sends is taken for its leaving, also
// where it might still read: the two can't be told apart, and the protocol knows clients that close alone.
func (c *clientConn) notifyGone() {
	c.mu.Lock()
	q := c.current
	c.current, c.pipelined = nil, nil
	c.mu.Unlock()
	if q != nil {
		c.server.sink.ClientGone(q)
	}
}

// initialScanBuffer is what bufio.Scanner starts with.
const initialScanBuffer = 4 << 10

// reader notes when an unfinished request began to arrive.
type requestReader struct {
	c     *clientConn
	split *h1.RequestSplitter
}

func (r requestReader) Read(p []byte) (int, error) {
	if r.split.Expects {
		r.split.Expects = false
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
		// Guards against many bodies at once in a small memory; what fits into a buffer's first size always may.
		if !r.c.reserveBytes(int64(n)) && r.c.partialBytes > initialScanBuffer {
			return n, errNoCapacity
		}
	}
	return n, err
}

// handleRequest takes one request and says whether it is the connection's last.
func (c *clientConn) handleRequest(r *h1.Request) (last bool) {
	c.mu.Lock()
	dropped := c.closing // what follows the last request is not served
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
		var unfit *h1.Error
		if !errors.As(err, &unfit) {
			unfit = &h1.Error{Status: 400, Reason: err.Error()}
		}
		c.server.log.Warn("bad request", logrus.Fields{
			"peer": c.peer, "status": unfit.Status, "reason": unfit.Reason, "target": r.Target[:min(len(r.Target), 200)],
		})
		c.mu.Lock()
		c.closing = true // its buffer and its place go to others
		c.mu.Unlock()
		c.queueStatus(unfit.Status, nil)
		return
	}
	over := c.overLimit && !c.server.admitOverLimit(c)
	c.mu.Lock()
	c.closing, c.sentValid = c.closing || over, true
	c.mu.Unlock()
	if over {
		c.queueStatus(503, retryAfterHeader(c.server.limits.ComeBack))
		return
	}
	q.Reply = func(r exchange.Reply) { c.queueReply(q, r) }
	c.submit(q)
}

// submit hands a query on, or lets it wait for the one before. A client whose end stands behind its request already, since
// we come to it late, has left: nothing begins for it.
func (c *clientConn) submit(q *exchange.Query) {
	left := !c.conn.Open()
	c.mu.Lock()
	c.handling = false
	if left {
		c.closing = true // the goroutine reads the end next
		c.mu.Unlock()
		return
	}
	if c.current != nil {
		if c.pipelined = append(c.pipelined, q); len(c.pipelined) > c.server.limits.Pipelined {
			open := c.current
			c.current, c.pipelined, c.closing = nil, nil, true
			c.output = h1.AppendResponse(c.output, 400, nil, nil, true)
			c.mu.Unlock()
			// Guards against clients that send all at once: one after the other they would be answered long after
			// the first has its error. The query in hand fails with them, which is allowed where it may have run
			// (a refusal would not be). With its answer kept, such a client would hold a place, a reading goroutine
			// and attempts for all its time; one that sends so much does not wait for any one answer.
			c.server.log.Warn("bad request", logrus.Fields{"peer": c.peer, "status": 400, "reason": "too many at once"})
			c.server.sink.ClientGone(open)
			return
		}
		c.mu.Unlock()
		return
	}
	c.current = q
	c.mu.Unlock()
	c.server.sink.Submit(q)
}
