package ogc

import (
	"errors"
	"time"
)

const (
	// maxFields is the number of lines of a request's head. A field takes some hundred bytes of memory however short it is.
	maxFields = 128
	// evictInterval is the interval at which connections are evicted while others wait for a place.
	evictInterval = 25 * time.Millisecond
	// smallHead is the size of an incomplete request that is always permitted, whatever those of other connections have.
	smallHead = 4 << 10
)

var (
	errTooManyFields = errors.New("the request has too many header fields")
	errNoCapacity    = errors.New("incomplete requests exceed their memory limit")
)

// evictionPriority orders connections by how expendable they are; lower values are evicted first.
type evictionPriority int

const (
	evictSilent  evictionPriority = iota // has sent nothing for longer than SlowRequest
	evictSlow                            // has had an incomplete request for longer than SlowRequest
	evictIdle                            // between requests
	notEvictable                         // owed an answer, or not expendable yet
)

// evictable returns the connection's eviction priority and since when it has been in that state. c.mu is held.
func (c *clientConn) evictable() (evictionPriority, time.Time) {
	priority, since := evictIdle, c.idleSince
	switch {
	case c.requests.complete > c.answered || c.evicted:
		return notEvictable, since
	case c.requests.partial && c.server.draining.Load():
		return notEvictable, since
	case c.requests.partial:
		priority, since = evictSlow, c.partialSince
	case c.requests.complete == 0:
		priority, since = evictSilent, c.acceptedAt
	}
	if priority != evictIdle && time.Since(since) <= c.server.limits.SlowRequest {
		return notEvictable, since
	}
	return priority, since
}

// evict asks the most expendable connection to close; among connections of equal priority, the one that has been in its state
// longest. The connection's goroutine checks again before it closes.
func (s *Server) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *clientConn
	var priority evictionPriority
	var since time.Time
	for c := range s.conns {
		c.mu.Lock()
		p, at := c.evictable()
		c.mu.Unlock()
		if p != notEvictable && (best == nil || p < priority || p == priority && at.Before(since)) {
			best, priority, since = c, p, at
		}
	}
	if best != nil {
		best.requestEviction()
	}
}

// requestEviction interrupts the current read, which ends the connection unless a request has arrived.
func (c *clientConn) requestEviction() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, _ := c.evictable(); p != notEvictable {
		c.evicted = true
		c.closeRequested = true
		c.Conn.SetReadDeadline(interrupted)
	}
}

// recordInput counts what was read of an incomplete request. It returns an error if the request, or all incomplete requests
// together, take too much memory. While an answer is owed there is none: the next read finds the excess. c.mu is held.
func (c *clientConn) recordInput(p []byte) error {
	wasPartial, complete, owed := c.requests.partial, c.requests.complete, c.requests.complete > c.answered
	c.requests.scan(p)
	if c.requests.partial && (!wasPartial || c.requests.complete > complete) {
		c.partialSince = time.Now()
	}
	if c.requests.tooLong && !owed {
		return errTooManyFields
	}
	if c.requests.complete > complete || !c.requests.partial {
		c.releasePartial()
		return nil
	}
	c.countPartial(len(p))
	if !owed && c.partialBytes > smallHead && c.server.partialBytes.Load() > c.server.limits.UnreadBytes {
		return errNoCapacity
	}
	return nil
}

// countPartial counts bytes of the incomplete request. c.mu is held.
func (c *clientConn) countPartial(n int) {
	c.partialBytes += int64(n)
	c.server.partialBytes.Add(int64(n))
}

// releasePartial releases the bytes of the incomplete request. c.mu is held.
func (c *clientConn) releasePartial() {
	c.server.partialBytes.Add(-c.partialBytes)
	c.partialBytes = 0
}

// rejectInput answers a request that takes too much memory, before the HTTP server has read it.
func (c *clientConn) rejectInput(err error) {
	status := "431 Request Header Fields Too Large"
	if errors.Is(err, errNoCapacity) {
		status = "503 Service Unavailable"
	}
	c.Conn.SetWriteDeadline(time.Now().Add(c.server.limits.WriteTime))
	c.Conn.Write([]byte("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
}
