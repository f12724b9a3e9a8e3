package ogc

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"birchcart/internal/duplexconn"
)

// clientConn is one connection from a client. It keeps track of the requests that have been read from it, so that a drain
// closes it only when none has been read in whole or in part, and none waits to be read.
type clientConn struct {
	net.Conn
	server     *Server
	acceptedAt time.Time
	closed     sync.Once

	mu             sync.Mutex
	requests       requestScanner
	answered       int         // requests whose answers have been written
	readDeadline   time.Time   // as last set by the HTTP server
	evicted        bool        // requestEviction has been called
	idleSince      time.Time   // when the last answer was written
	partialSince   time.Time   // when the first bytes of the incomplete request were read
	partialBytes   int64       // of the incomplete request
	closeRequested bool        // the current read has been interrupted, to check whether the connection can close
	serverReading  bool        // the HTTP server is in Read
	onDisconnect   func(error) // called when the client of the pending query disconnects, nil if no query is pending
	ahead          readAhead
}

// interrupted is a read deadline that has always passed.
var interrupted = time.Unix(1, 0)

// Read returns what has been read ahead, then reads from the client. A read that requestClose has interrupted continues unless
// the connection can close.
func (c *clientConn) Read(p []byte) (int, error) {
	c.beginServerRead()
	defer c.endServerRead()
	if n, err := c.takeAhead(p); n > 0 || err != nil {
		return n, err
	}
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.mu.Lock()
			excess := c.recordInput(p[:n])
			c.mu.Unlock()
			if excess != nil {
				c.rejectInput(excess)
				return 0, os.ErrDeadlineExceeded // the HTTP server closes the connection without an answer of its own
			}
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.resume() {
			return n, err
		}
	}
}

// Write writes to the client. If the client does not take the bytes in time, the connection is reset when it closes; otherwise
// the kernel would keep the rest of the answer for as long as the client takes a little of it now and then.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
	return n, err
}

// resume restores the read deadline after an interruption and reports whether the read continues. If input waits, the client
// assumes that its request was received, so the connection stays open until the input has been read and answered.
func (c *clientConn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeRequested {
		return false
	}
	c.closeRequested = false
	if c.evicted && !c.requests.partial && duplexconn.Waits(c.Conn) {
		c.evicted = false // a request has arrived
	}
	if c.mayClose() && (c.requests.partial || !duplexconn.Waits(c.Conn)) {
		return false
	}
	return c.Conn.SetReadDeadline(c.readDeadline) == nil
}

// SetReadDeadline sets the deadline of reads that are not interrupted.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ahead.ended != nil || c.closeRequested { // it is set once the reading ahead has ended, or when the read is resumed
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// requestClose interrupts the current read if the connection may close. The connection's goroutine checks again before it
// closes, since a request may have arrived.
func (c *clientConn) requestClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mayClose() {
		c.closeRequested = true
		c.Conn.SetReadDeadline(interrupted)
	}
}

// mayClose reports whether no request is owed an answer. A client that has sent nothing yet gets SlowRequest for its first
// byte, and an incomplete request is waited for until the deadline for the last answer.
func (c *clientConn) mayClose() bool {
	switch {
	case c.requests.complete > c.answered:
		return false
	case c.evicted:
		return true
	case c.requests.partial:
		return !c.server.mayRespond()
	case c.requests.complete == 0:
		return time.Since(c.acceptedAt) > c.server.limits.SlowRequest
	}
	return true
}

// isLastReply reports whether the answer that is being written is the connection's last. It is not if a further request has
// begun, since a client that is told of the close expects no further answer.
func (c *clientConn) isLastReply() bool {
	if !c.server.draining.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	further := c.requests.complete > c.answered+1 || c.requests.partial
	return !further || !c.server.mayRespond()
}

const (
	// pipelinedAnswers is the number of answers to requests that were sent ahead which are written without a pause.
	pipelinedAnswers = 16
	// pipelinePause is long enough for the connections of other clients, and of replicas and discovery, to be read: the runtime
	// looks for their input only now and then while a goroutine never waits.
	pipelinePause = time.Millisecond
)

// onState counts the answers of a connection. The HTTP server calls it. A client that sends many requests ahead is slowed down.
func (*Server) onState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	if c.recordState(state) {
		time.Sleep(pipelinePause)
	}
}

// recordState counts the answers of a connection, and reports whether it is to pause.
func (c *clientConn) recordState(state http.ConnState) (pause bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive: // the HTTP server ends malformed headers in ways of its own
		c.requests.complete = max(c.requests.complete, c.answered+1)
	case http.StateIdle:
		c.answered++
		c.idleSince = time.Now()
		return c.answered%pipelinedAnswers == 0 && (c.requests.complete > c.answered || c.requests.partial)
	}
	return false
}

// Close closes the connection and frees its place.
func (c *clientConn) Close() error {
	err := net.ErrClosed
	c.closed.Do(func() {
		err = c.Conn.Close()
		c.discardInput()
		c.server.remove(c)
	})
	return err
}

// requestScanner counts the requests in a client's stream by the empty lines that end their headers. Requests have no body: one
// that has is the connection's last.
type requestScanner struct {
	complete int  // requests whose headers were read completely
	partial  bool // part of a further request was read
	inLine   bool // the current line is not empty
	lines    int  // of that part
	tooLong  bool // a head had more lines than maxFields
}

func (s *requestScanner) scan(p []byte) {
	for _, b := range p {
		switch {
		case b == '\r':
		case b != '\n':
			s.inLine = true
		case s.inLine:
			s.inLine = false
			s.lines++
			s.tooLong = s.tooLong || s.lines > maxFields
		default:
			s.complete++
			s.partial, s.lines = false, 0
			continue
		}
		s.partial = true
	}
}
