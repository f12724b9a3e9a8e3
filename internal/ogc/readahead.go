package ogc

import (
	"context"
	"errors"
	"os"
	"time"

	"birchcart/internal/duplexconn"
)

const (
	// maxReadAhead is the size of what a client may send while its query is pending: one request of the longest kind.
	maxReadAhead = headBytes
	// freeReadAhead is the size that a connection may always read ahead, whatever the other connections have.
	freeReadAhead = 4 << 10
	// inputPollInterval is the interval at which awaitInput looks for unread input.
	inputPollInterval = 200 * time.Microsecond
)

var (
	errDisconnected = errors.New("the client has disconnected")
	errTooMuchAhead = errors.New("too much was sent before the answer")
)

// readAhead holds what was read from a client while its query was pending. The HTTP server reads one byte beyond a request to
// detect that the client has disconnected; with a pipelined request that byte is there at once, and the end of the stream stays
// unseen behind it. So while a query is pending and the HTTP server does not read, a goroutine reads.
type readAhead struct {
	data     []byte
	err      error         // why nothing more can be read, nil if more can be
	ended    chan struct{} // closed when the goroutine has ended, nil while there is none; it sets read deadlines of its own
	stopping bool          // the goroutine's read has been interrupted
}

// watchClient calls onDisconnect if the client disconnects, or sends too much, before unwatchClient is called.
func (c *clientConn) watchClient(onDisconnect func(error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDisconnect = onDisconnect
	c.startReadAhead()
}

func (c *clientConn) unwatchClient() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDisconnect = nil
	c.stopReadAhead()
}

// awaitInput returns once no input waits to be read, or the context has ended: the end of the stream, behind which no query may
// be submitted, would be found then.
func (c *clientConn) awaitInput(ctx context.Context) {
	for ctx.Err() == nil && duplexconn.Waits(c.Conn) {
		time.Sleep(inputPollInterval)
	}
}

// beginServerRead ends the reading ahead, since the HTTP server reads now.
func (c *clientConn) beginServerRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverReading = true
	c.stopReadAhead()
}

// endServerRead records that the HTTP server does not read.
func (c *clientConn) endServerRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverReading = false
	c.startReadAhead()
}

// takeAhead moves what has been read ahead to p. It returns 0 and nil if there is nothing.
func (c *clientConn) takeAhead(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.ahead.data)
	if c.ahead.data = c.ahead.data[n:]; len(c.ahead.data) == 0 {
		c.ahead.data = nil
	}
	c.server.aheadBytes.Add(-int64(n))
	if c.requests.partial { // it was scanned as it was read
		c.countPartial(n)
	}
	if n == 0 {
		return 0, c.ahead.err
	}
	return n, nil
}

// discardInput drops what has been read and not been served.
func (c *clientConn) discardInput() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releasePartial()
	c.server.aheadBytes.Add(-int64(len(c.ahead.data)))
	c.ahead.data = nil
	if c.ahead.err == nil {
		c.ahead.err = os.ErrClosed
	}
}

// startReadAhead starts the goroutine if a query is pending and nobody reads. c.mu is held.
func (c *clientConn) startReadAhead() {
	if c.onDisconnect == nil || c.serverReading || c.ahead.ended != nil {
		return
	}
	if c.ahead.err != nil {
		c.notifyDisconnect()
		return
	}
	c.ahead.ended = make(chan struct{})
	c.Conn.SetReadDeadline(time.Time{}) // what the HTTP server has set may be that of the request before
	go c.readAhead(c.ahead.ended)
}

// stopReadAhead ends the goroutine and waits for its end. c.mu is held, and released while it waits.
func (c *clientConn) stopReadAhead() {
	for c.ahead.ended != nil {
		ended := c.ahead.ended
		c.ahead.stopping = true
		c.Conn.SetReadDeadline(interrupted)
		c.mu.Unlock()
		<-ended
		c.mu.Lock()
	}
}

// readAhead reads until it is interrupted or nothing more can be read.
func (c *clientConn) readAhead(ended chan struct{}) {
	defer close(ended)
	var buf [1 << 10]byte
	for {
		n, err := c.Conn.Read(buf[:])
		c.mu.Lock()
		if err = c.keepAhead(buf[:n], err); err != nil {
			c.endReadAhead(err)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
	}
}

// keepAhead stores what was read and returns the error of the read, or errTooMuchAhead. c.mu is held.
func (c *clientConn) keepAhead(p []byte, err error) error {
	if len(p) == 0 || c.ahead.err != nil {
		return err
	}
	wasPartial := c.requests.partial
	if c.requests.scan(p); c.requests.partial && !wasPartial {
		c.partialSince = time.Now()
	}
	c.ahead.data = append(c.ahead.data, p...)
	total := c.server.aheadBytes.Add(int64(len(p)))
	size := len(c.ahead.data)
	if c.requests.tooLong || size > maxReadAhead || size > freeReadAhead && total > c.server.limits.UnreadBytes {
		return errTooMuchAhead
	}
	return err
}

// endReadAhead records the end of the goroutine. c.mu is held.
func (c *clientConn) endReadAhead(err error) {
	c.ahead.ended, c.ahead.stopping = nil, false
	c.Conn.SetReadDeadline(c.readDeadline)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ahead.err = err
		c.notifyDisconnect()
	}
}

// notifyDisconnect reports why nothing more can be read. c.mu is held.
func (c *clientConn) notifyDisconnect() {
	switch {
	case c.onDisconnect == nil:
	case errors.Is(c.ahead.err, errTooMuchAhead):
		c.onDisconnect(errTooMuchAhead)
	default:
		c.onDisconnect(errDisconnected)
	}
}
