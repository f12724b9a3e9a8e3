package front

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/duplex"
	"birchcart/internal/exchange"
	"birchcart/internal/h1"
)

// client is one connection from a client.
type client struct {
	s    *Server
	conn *duplex.Conn
	peer string

	mu      sync.Mutex
	out     []byte
	asked   *exchange.Query   // the query that waits for its answer
	waiting []*exchange.Query // read ahead; one at a time is asked
	closing bool              // nothing more is read once all is answered and written
	hung    bool              // asked to go
	over    bool              // came past the limit of connections; guarded by the server's lock
	good    bool              // has sent a request that could be used
	idleAt  time.Time
	partial time.Time // when the first bytes of an unfinished request came
	taking  bool      // a request has been read to its end and is neither asked nor waiting yet
	expects bool      // the client waits for a word before it sends the body of the unfinished request
	spoke   bool      // an answer was the last thing that happened
	writing time.Time // since when the newest bytes are being written, zero once they are

	began  time.Time
	unread int64 // bytes that have come of an unfinished request; the goroutine's own
}

func newClient(s *Server, nc net.Conn) *client {
	now := time.Now()
	c := &client{s: s, peer: nc.RemoteAddr().String(), idleAt: now, began: now}
	c.conn = duplex.New(nc, c, s.limits.WriteTime)
	return c
}

var (
	errDone = errors.New("front: all is answered")
	errIdle = errors.New("front: closed as idle")
	errSlow = &h1.Error{Status: 408, Reason: "the request took too long to arrive"}
	errRoom = &h1.Error{Status: 503, Reason: "no room for more of unfinished requests"}
)

// run is the goroutine of the connection.
func (c *client) run() {
	lim := &c.s.limits
	split := &h1.RequestSplitter{Limits: h1.Limits{Head: lim.HeadBytes, Body: lim.BodyBytes}}
	in := bufio.NewScanner(reader{c, split})
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
		c.cut(ahead)
		last = c.request(&split.Request)
	}
	err := in.Err()
	if last {
		err = c.rest()
	}
	c.has(-c.unread)
	if errors.Is(err, bufio.ErrTooLong) {
		err = &h1.Error{Status: 413, Reason: "message over the limit"}
	}
	var unfit *h1.Error
	if errors.As(err, &unfit) {
		c.s.log.Warn("bad request", logrus.Fields{"peer": c.peer, "status": unfit.Status, "reason": unfit.Reason})
		c.lastWords(unfit.Status)
	} else if errors.Is(err, errDone) {
		c.conn.CloseWrite()
		c.conn.Drain(lim.Linger, lim.LingerBytes)
	}
	c.abandon()
	c.s.gone(c)
}

// cut notes that a request has been read to its end, with so many bytes of the next behind it.
func (c *client) cut(ahead int) {
	c.mu.Lock()
	c.taking, c.expects = true, false
	if c.partial = (time.Time{}); ahead > 0 {
		c.partial = c.conn.ReadAt()
	}
	c.mu.Unlock()
	c.has(-c.unread)
}

// lastWords answers what could not be read. What is still open on the connection is answered first.
func (c *client) lastWords(status int) {
	c.mu.Lock()
	busy := c.asked != nil
	if !busy {
		c.out = h1.AppendResponse(c.out, status, nil, nil, true)
	}
	c.closing = true
	c.mu.Unlock()
	if busy { // the query in hand keeps its answer; what follows it is dropped with the connection
		if err := c.rest(); !errors.Is(err, errDone) {
			return
		}
	} else if _, err := c.conn.Flush(); err != nil && !errors.Is(err, errDone) {
		return
	}
	c.conn.CloseWrite()
	c.conn.Drain(c.s.limits.Linger, c.s.limits.LingerBytes)
}

// rest waits for the answers that are due on a connection of which no further request is taken. It reads on
// meanwhile, though no faster than it has to: a client's end stands behind all that it has sent, and once that end is
// seen nothing further may begin for it. It ends with errDone once all is written.
func (c *client) rest() error { return c.conn.Rest(c.s.limits.LingerBytes, restTick) }

// restTick is the pause after each LingerBytes that are read for a client's end alone. With 64 KiB, 700 KiB go by in
// the 0.1 s after which nothing may begin for a client that has left, at a hundredth of a core or less; twice as long
// finds the end late behind half as much.
const restTick = 10 * time.Millisecond

// has books bytes of an unfinished request and tells whether there is room for them.
func (c *client) has(more int64) bool {
	c.unread += more
	return c.s.unread.Add(more) <= c.s.limits.UnreadBytes
}

// abandon tells the exchange that nobody waits any more. The end of what a client sends is taken for its leaving, also
// where it might still read: the two can't be told apart, and the protocol knows clients that close alone.
func (c *client) abandon() {
	c.mu.Lock()
	q := c.asked
	c.asked, c.waiting = nil, nil
	c.mu.Unlock()
	if q != nil {
		c.s.sink.ClientGone(q)
	}
}

// firstBuffer is what bufio.Scanner starts with.
const firstBuffer = 4 << 10

// reader notes when an unfinished request began to arrive.
type reader struct {
	c     *client
	split *h1.RequestSplitter
}

func (r reader) Read(p []byte) (int, error) {
	if r.split.Expects {
		r.split.Expects = false
		r.c.mu.Lock()
		r.c.expects = true
		r.c.mu.Unlock()
	}
	n, err := r.c.conn.Read(p)
	if n > 0 {
		r.c.mu.Lock()
		if r.c.partial.IsZero() {
			r.c.partial = r.c.conn.ReadAt()
		}
		r.c.mu.Unlock()
		// Guards against many bodies at once in a small memory; what fits into a buffer's first size always may.
		if !r.c.has(int64(n)) && r.c.unread > firstBuffer {
			return n, errRoom
		}
	}
	return n, err
}

// request takes one request and tells whether it is the connection's last.
func (c *client) request(r *h1.Request) (last bool) {
	c.mu.Lock()
	dropped := c.closing // what follows the last request is not served
	c.taking = !dropped
	c.closing = c.closing || r.Close
	c.mu.Unlock()
	if !dropped {
		c.take(r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *client) take(r *h1.Request) {
	if r.Target == "/-/ready" {
		switch {
		case r.Method != "GET" && r.Method != "HEAD":
			c.say(405, nil)
		case !c.s.isReady():
			c.say(503, nil)
		default:
			c.say(200, nil)
		}
		return
	}
	q, err := c.s.parse(r, c.conn.ReadAt())
	if err == nil {
		q.Client, _, _ = net.SplitHostPort(c.peer)
	}
	if err != nil {
		var unfit *h1.Error
		if !errors.As(err, &unfit) {
			unfit = &h1.Error{Status: 400, Reason: err.Error()}
		}
		c.s.log.Warn("bad request", logrus.Fields{
			"peer": c.peer, "status": unfit.Status, "reason": unfit.Reason, "target": r.Target[:min(len(r.Target), 200)],
		})
		c.mu.Lock()
		c.closing = true // its buffer and its place go to others
		c.mu.Unlock()
		c.say(unfit.Status, nil)
		return
	}
	over := c.over && !c.s.relieve(c)
	c.mu.Lock()
	c.closing, c.good = c.closing || over, true
	c.mu.Unlock()
	if over {
		c.say(503, comeBack(c.s.limits.ComeBack))
		return
	}
	q.Reply = func(r exchange.Reply) { c.reply(q, r) }
	c.submit(q)
}

// submit hands a query on, or lets it wait for the one before. A client whose end stands behind its request already, since
// we come to it late, has left: nothing begins for it.
func (c *client) submit(q *exchange.Query) {
	left := !c.conn.Open()
	c.mu.Lock()
	c.taking = false
	if left {
		c.closing = true // the goroutine reads the end next
		c.mu.Unlock()
		return
	}
	if c.asked != nil {
		if c.waiting = append(c.waiting, q); len(c.waiting) > c.s.limits.Pipelined {
			open := c.asked
			c.asked, c.waiting, c.closing = nil, nil, true
			c.out = h1.AppendResponse(c.out, 400, nil, nil, true)
			c.mu.Unlock()
			// Guards against clients that send all at once: one after the other they would be answered long after
			// the first has its error. The query in hand fails with them, which is allowed where it may have run
			// (a refusal would not be). With its answer kept, such a client would hold a place, a reading goroutine
			// and attempts for all its time; one that sends so much does not wait for any one answer.
			c.s.log.Warn("bad request", logrus.Fields{"peer": c.peer, "status": 400, "reason": "too many at once"})
			c.s.sink.ClientGone(open)
			return
		}
		c.mu.Unlock()
		return
	}
	c.asked = q
	c.mu.Unlock()
	c.s.sink.Submit(q)
}
