package front

import (
	"strconv"
	"time"

	"birchcart/internal/exchange"
	"birchcart/internal/h1"
)

// statusCodes maps the outcome of a query to the status of its HTTP response.
var statusCodes = map[exchange.Status]int{
	exchange.Served: 200, exchange.Rejected: 503, exchange.Failed: 504, exchange.Conflict: 409,
}

// queueReply queues the answer of a query and submits the next pipelined query. The exchange calls it, so it must not
// block: the connection's goroutine does the writing.
func (c *clientConn) queueReply(q *exchange.Query, r exchange.Reply) {
	var header h1.Header
	var body []byte
	switch r.Status {
	case exchange.Served:
		body = appendAnswer(nil, r)
	case exchange.Rejected:
		header = retryAfterHeader(r.RetryAfter)
		if r.Owner != "" && c.server.ownerHeader != "" {
			header = append(header, h1.Header{{Name: c.server.ownerHeader, Value: r.Owner}}...)
		}
	}
	c.mu.Lock()
	if c.current != q { // the client has disconnected
		c.mu.Unlock()
		return
	}
	c.current = nil
	c.output = h1.AppendResponse(c.output, statusCodes[r.Status], header, body, c.isLastReply())
	var next *exchange.Query
	switch {
	case len(c.pipelined) > 0 && !c.conn.Open(): // the client disconnected while the goroutine was blocked in a write
		c.pipelined, c.closing = nil, true
	case len(c.pipelined) > 0:
		next, c.pipelined = c.pipelined[0], c.pipelined[1:]
		c.current = next
	}
	c.mu.Unlock()
	if next != nil {
		c.server.sink.Submit(next)
	}
	c.conn.Wake()
}

// retryAfterHeader returns a Retry-After header, or nil if no time is given.
func retryAfterHeader(after time.Duration) h1.Header {
	if after <= 0 {
		return nil
	}
	return h1.Header{{Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}}
}

// queueStatus queues a response that does not come from the exchange. If a query is pending, no response is sent and the
// connection closes after that query's answer.
func (c *clientConn) queueStatus(status int, header h1.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = false
	if c.current != nil { // the request was pipelined: its response would overtake the pending answer
		c.closing = true
		return
	}
	c.output = h1.AppendResponse(c.output, status, header, nil, c.isLastReply())
}

// isLastReply reports whether the answer that is being queued is the connection's last. It is not while another request is
// queued or about to be, since a client that is told of the close expects no further answer.
func (c *clientConn) isLastReply() bool {
	if c.handling || len(c.pipelined) > 0 {
		return false
	}
	if c.server.closing.Load() && !(c.server.mayRespond() && (!c.partialSince.IsZero() || c.conn.Waits())) {
		c.closing = true
	}
	return c.closing
}

// Pull appends the queued output to buf and returns the time by which the next event is due. It returns an error when the
// connection is to end. It is called by the connection's goroutine.
func (c *clientConn) Pull(buf []byte) ([]byte, time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeRequested && !c.conn.Waits() { // otherwise the waiting input is read first; it may complete a request
		c.closeRequested = false
		c.closing = c.closing || c.mayClose()
	}
	buf = append(buf, c.output...)
	c.output = c.output[:0]
	if c.expectsContinue && c.current == nil && !c.closing { // otherwise the pending answer comes first
		c.expectsContinue = false
		buf = append(buf, h1.Continue...)
	}
	c.lastWasReply = c.lastWasReply || len(buf) > 0
	now := time.Now()
	if len(buf) > 0 {
		c.writingSince = now
	}
	switch {
	case c.current != nil:
		c.idleSince = now
		return buf, time.Time{}, nil
	case c.closing && len(buf) == 0 && !c.lastWasReply:
		return buf, time.Time{}, errIdle
	case c.closing:
		return buf, time.Time{}, errAllAnswered
	case !c.partialSince.IsZero():
		until := c.partialSince.Add(c.server.limits.RequestTime)
		if firstUntil := c.acceptedAt.Add(c.server.limits.FirstTime); !c.sentValid && firstUntil.Before(until) {
			until = firstUntil
		}
		until, err := c.checkDeadline(now, until, errRequestTimeout)
		return buf, until, err
	}
	if len(buf) > 0 {
		c.idleSince = now
	}
	c.lastWasReply = false
	until := c.idleSince.Add(c.server.limits.ClientIdle)
	if !c.sentValid {
		until = c.acceptedAt.Add(c.server.limits.FirstTime)
	}
	until, err := c.checkDeadline(now, until, errIdle)
	return buf, until, err
}

// checkDeadline returns expired once the deadline has passed, unless input waits to be read: that may have arrived in time
// and the goroutine is late, so it gets another lateReadTimeout to be read. A client that sends a byte now and then
// gains no time, since that byte has been read by the next check.
func (c *clientConn) checkDeadline(now, until time.Time, expired error) (time.Time, error) {
	switch {
	case now.Before(until):
		return until, nil
	case c.conn.Waits():
		return now.Add(lateReadTimeout), nil
	}
	return until, expired
}

// lateReadTimeout is the time for reading input that already waits. One read call takes it; after a wake-up in between,
// Pull is called again.
const lateReadTimeout = 10 * time.Millisecond

// Wrote records that the output has been written. The number of bytes is not used.
func (c *clientConn) Wrote(int) {
	c.mu.Lock()
	c.writingSince = time.Time{}
	c.mu.Unlock()
}

// isWriteBlocked reports whether a write has been blocked for longer than SlowRequest. Such a connection can't close until
// the client has accepted the output or the write has timed out.
func (c *clientConn) isWriteBlocked() bool {
	return !c.writingSince.IsZero() && time.Since(c.writingSince) > c.server.limits.SlowRequest
}

// evictionPriority orders connections by how expendable they are; lower values are evicted first.
type evictionPriority int

const (
	evictSilent  evictionPriority = iota // has not sent a valid request for longer than SlowRequest
	evictSlow                            // has had an incomplete request for longer than SlowRequest
	evictIdle                            // between requests
	notEvictable                         // in use, or not expendable yet
)

// evictable returns the connection's eviction priority and since when it has been in that state. A connection is evictable
// if it has no pending query and no incomplete request, unless that request has already taken longer than SlowRequest. A
// connection that has not sent a valid request becomes evictable SlowRequest after it was accepted.
func (c *clientConn) evictable() (evictionPriority, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictableLocked()
}

// evictableLocked is evictable for callers that hold c.mu.
func (c *clientConn) evictableLocked() (evictionPriority, time.Time) {
	priority, since := evictIdle, c.idleSince
	switch {
	case c.current != nil || c.handling || len(c.output) > 0 || c.closing || c.closeRequested || c.isWriteBlocked():
		return notEvictable, since
	case !c.partialSince.IsZero() && c.server.closing.Load() && c.server.mayRespond():
		return notEvictable, since // no new client needs its slot, and the rest of its request would be lost
	case !c.sentValid:
		priority, since = evictSilent, c.acceptedAt
	case !c.partialSince.IsZero():
		priority, since = evictSlow, c.partialSince
	}
	if priority != evictIdle && time.Since(since) <= c.server.limits.SlowRequest {
		return notEvictable, since
	}
	return priority, since
}

// requestClose asks the connection's goroutine to close the connection if it is still evictable, and reports whether it is
// at present. The goroutine checks again right before it closes.
func (c *clientConn) requestClose() bool {
	c.mu.Lock()
	c.closeRequested = c.closeRequested || c.mayClose()
	requested := c.closeRequested
	c.mu.Unlock()
	c.conn.Wake()
	return requested
}

// mayClose reports whether the connection may be closed now. If input waits to be read, the client assumes that its request
// was received, so the input is read first, however late.
func (c *clientConn) mayClose() bool {
	priority, _ := c.evictableLocked()
	return priority != notEvictable && (priority == evictSlow || !c.conn.Waits())
}

// appendAnswer appends the body of an answer. Values are copied byte for byte, except for characters that JSON must escape.
func appendAnswer(b []byte, r exchange.Reply) []byte {
	b = strconv.AppendBool(append(b, `{"finished":`...), r.Complete)
	b = append(b, `,"found":[`...)
	for i, v := range r.Values {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(append(b, `{"bucket":`...), int64(v.Shard), 10)
		b = append(appendJSONString(append(b, `,"item":`...), v.Item), '}')
	}
	return append(b, "]}"...)
}

const hexDigits = "0123456789abcdef"

// appendJSONString appends text as a JSON string.
func appendJSONString(b, text []byte) []byte {
	b = append(b, '"')
	for _, c := range text {
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < ' ':
			b = append(b, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
