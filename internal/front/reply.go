package front

import (
	"strconv"
	"time"

	"birchcart/internal/exchange"
	"birchcart/internal/h1"
)

var statusCodes = map[exchange.Status]int{
	exchange.Served: 200, exchange.Rejected: 503, exchange.Failed: 504, exchange.Conflict: 409,
}

// queueReply writes the answer of a query. The exchange calls it, so it only queues.
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
	if c.current != q { // its client has gone
		c.mu.Unlock()
		return
	}
	c.current = nil
	c.output = h1.AppendResponse(c.output, statusCodes[r.Status], header, body, c.isLastReply())
	var next *exchange.Query
	switch {
	case len(c.pipelined) > 0 && !c.conn.Open(): // the client left while its goroutine was held up in a write
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

// retryAfterHeader names the time to come again, if there is one.
func retryAfterHeader(after time.Duration) h1.Header {
	if after <= 0 {
		return nil
	}
	return h1.Header{{Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}}
}

// queueStatus queues an answer of our own.
func (c *clientConn) queueStatus(status int, header h1.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = false
	if c.current != nil { // read ahead: its answer would overtake the one before
		c.closing = true
		return
	}
	c.output = h1.AppendResponse(c.output, status, header, nil, c.isLastReply())
}

// isLastReply says whether the answer that is written now is the connection's last. It is not while a request waits for its
// turn or is about to: whoever is told of the end looks for no further answer.
func (c *clientConn) isLastReply() bool {
	if c.handling || len(c.pipelined) > 0 {
		return false
	}
	if c.server.closing.Load() && !(c.server.mayRespond() && (!c.partialSince.IsZero() || c.conn.Waits())) {
		c.closing = true
	}
	return c.closing
}

// Pull hands over what is queued. It is called by the connection's goroutine.
func (c *clientConn) Pull(buf []byte) ([]byte, time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeRequested && !c.conn.Waits() { // else that is read first, and may be all that was missing
		c.closeRequested = false
		c.closing = c.closing || c.mayClose()
	}
	buf = append(buf, c.output...)
	c.output = c.output[:0]
	if c.expectsContinue && c.current == nil && !c.closing { // else the answer comes first
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
		if first := c.acceptedAt.Add(c.server.limits.FirstTime); !c.sentValid && first.Before(until) {
			until = first
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

// checkDeadline ends a connection whose time is over, unless something waits there to be read: that came before, and the goroutine
// comes to it late. It is read within what is left or a moment of its own. Who sends a byte now and then gains nothing, as
// that is read by the next look.
func (c *clientConn) checkDeadline(now, until time.Time, end error) (time.Time, error) {
	switch {
	case now.Before(until):
		return until, nil
	case c.conn.Waits():
		return now.Add(lateReadTimeout), nil
	}
	return until, end
}

// lateReadTimeout is the time for reading what waits already. It is done in one call; a wake in between has the source asked
// again.
const lateReadTimeout = 10 * time.Millisecond

// Wrote is told how much went out; answers need no count.
func (c *clientConn) Wrote(int) {
	c.mu.Lock()
	c.writingSince = time.Time{}
	c.mu.Unlock()
}

// isWriteBlocked says whether the client has not taken what is written for some time: it can't go before it has, or the time for
// writing is over.
func (c *clientConn) isWriteBlocked() bool {
	return !c.writingSince.IsZero() && time.Since(c.writingSince) > c.server.limits.SlowRequest
}

// evictionPriority tells how well a connection can be spared; the first kinds go first.
type evictionPriority int

const (
	evictSilent evictionPriority = iota // has never sent a request that could be used, for some time
	evictSlow                           // is in the middle of a request, for some time
	evictIdle                           // between requests
	notEvictable
)

// evictable says whether the client may be asked to close, and since when that is so: it has nothing open, and nothing
// half sent but what has taken too long already. A client that is new gets its time, too.
func (c *clientConn) evictable() (evictionPriority, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictableLocked()
}

func (c *clientConn) evictableLocked() (evictionPriority, time.Time) {
	kind, since := evictIdle, c.idleSince
	switch {
	case c.current != nil || c.handling || len(c.output) > 0 || c.closing || c.closeRequested || c.isWriteBlocked():
		return notEvictable, since
	case !c.partialSince.IsZero() && c.server.closing.Load() && c.server.mayRespond():
		return notEvictable, since // nobody else wants its place, and what of it is on its way would be lost
	case !c.sentValid:
		kind, since = evictSilent, c.acceptedAt
	case !c.partialSince.IsZero():
		kind, since = evictSlow, c.partialSince
	}
	if kind != evictIdle && time.Since(since) <= c.server.limits.SlowRequest {
		return notEvictable, since
	}
	return kind, since
}

// requestClose closes the connection if it can be spared still, and says whether it looks so. The connection's goroutine
// decides, right before it closes.
func (c *clientConn) requestClose() bool {
	c.mu.Lock()
	c.closeRequested = c.closeRequested || c.mayClose()
	ends := c.closeRequested
	c.mu.Unlock()
	c.conn.Wake()
	return ends
}

// mayClose says whether the connection may be closed now. What waits to be read there is a request that the client takes
// for received: it is read first, however late we come to it.
func (c *clientConn) mayClose() bool {
	kind, _ := c.evictableLocked()
	return kind != notEvictable && (kind == evictSlow || !c.conn.Waits())
}

// appendAnswer writes the body of an answer. Values go out byte for byte, but for what JSON has to escape.
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
