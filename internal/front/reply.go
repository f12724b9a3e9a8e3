package front

import (
	"strconv"
	"time"

	"birchcart/internal/exchange"
	"birchcart/internal/h1"
)

var statuses = map[exchange.Status]int{
	exchange.Served: 200, exchange.Rejected: 503, exchange.Failed: 504, exchange.Conflict: 409,
}

// reply writes the answer of a query. The exchange calls it, so it only queues.
func (c *client) reply(q *exchange.Query, r exchange.Reply) {
	var header h1.Header
	var body []byte
	switch r.Status {
	case exchange.Served:
		body = appendAnswer(nil, r)
	case exchange.Rejected:
		header = comeBack(r.RetryAfter)
		if r.Owner != "" && c.s.owner != "" {
			header = append(header, h1.Header{{Name: c.s.owner, Value: r.Owner}}...)
		}
	}
	c.mu.Lock()
	if c.asked != q { // its client has gone
		c.mu.Unlock()
		return
	}
	c.asked = nil
	c.out = h1.AppendResponse(c.out, statuses[r.Status], header, body, c.ends())
	var next *exchange.Query
	switch {
	case len(c.waiting) > 0 && !c.conn.Open(): // the client left while its goroutine was held up in a write
		c.waiting, c.closing = nil, true
	case len(c.waiting) > 0:
		next, c.waiting = c.waiting[0], c.waiting[1:]
		c.asked = next
	}
	c.mu.Unlock()
	if next != nil {
		c.s.sink.Submit(next)
	}
	c.conn.Wake()
}

// comeBack names the time to come again, if there is one.
func comeBack(after time.Duration) h1.Header {
	if after <= 0 {
		return nil
	}
	return h1.Header{{Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}}
}

// say queues an answer of our own.
func (c *client) say(status int, header h1.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taking = false
	if c.asked != nil { // read ahead: its answer would overtake the one before
		c.closing = true
		return
	}
	c.out = h1.AppendResponse(c.out, status, header, nil, c.ends())
}

// ends tells whether the answer that is written now is the connection's last. It is not while a request waits for its
// turn or is about to: whoever is told of the end looks for no further answer.
func (c *client) ends() bool {
	if c.taking || len(c.waiting) > 0 {
		return false
	}
	if c.s.leaving.Load() && !(c.s.hears() && (!c.partial.IsZero() || c.conn.Waits())) {
		c.closing = true
	}
	return c.closing
}

// Pull hands over what is queued. It is called by the connection's goroutine.
func (c *client) Pull(buf []byte) ([]byte, time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hung && !c.conn.Waits() { // else that is read first, and may be all that was missing
		c.hung = false
		c.closing = c.closing || c.goes()
	}
	buf = append(buf, c.out...)
	c.out = c.out[:0]
	if c.expects && c.asked == nil && !c.closing { // else the answer comes first
		c.expects = false
		buf = append(buf, h1.Continue...)
	}
	c.spoke = c.spoke || len(buf) > 0
	now := time.Now()
	if len(buf) > 0 {
		c.writing = now
	}
	switch {
	case c.asked != nil:
		c.idleAt = now
		return buf, time.Time{}, nil
	case c.closing && len(buf) == 0 && !c.spoke:
		return buf, time.Time{}, errIdle
	case c.closing:
		return buf, time.Time{}, errDone
	case !c.partial.IsZero():
		until := c.partial.Add(c.s.limits.RequestTime)
		if first := c.began.Add(c.s.limits.FirstTime); !c.good && first.Before(until) {
			until = first
		}
		until, err := c.past(now, until, errSlow)
		return buf, until, err
	}
	if len(buf) > 0 {
		c.idleAt = now
	}
	c.spoke = false
	until := c.idleAt.Add(c.s.limits.ClientIdle)
	if !c.good {
		until = c.began.Add(c.s.limits.FirstTime)
	}
	until, err := c.past(now, until, errIdle)
	return buf, until, err
}

// past ends a connection whose time is over, unless something waits there to be read: that came before, and the goroutine
// comes to it late. It is read within what is left or a moment of its own. Who sends a byte now and then gains nothing, as
// that is read by the next look.
func (c *client) past(now, until time.Time, end error) (time.Time, error) {
	switch {
	case now.Before(until):
		return until, nil
	case c.conn.Waits():
		return now.Add(lateRead), nil
	}
	return until, end
}

// lateRead is the time for reading what waits already. It is done in one call; a wake in between has the source asked
// again.
const lateRead = 10 * time.Millisecond

// Wrote is told how much went out; answers need no count.
func (c *client) Wrote(int) {
	c.mu.Lock()
	c.writing = time.Time{}
	c.mu.Unlock()
}

// stuck tells whether the client has not taken what is written for some time: it can't go before it has, or the time for
// writing is over.
func (c *client) stuck() bool {
	return !c.writing.IsZero() && time.Since(c.writing) > c.s.limits.SlowRequest
}

// spare tells how well a connection can be spared; the first kinds go first.
type spare int

const (
	silent spare = iota // has never sent a request that could be used, for some time
	slow                // is in the middle of a request, for some time
	idle                // between requests
	needed
)

// spared tells whether the client may be asked to go, and since when that is so: it has nothing open, and nothing
// half sent but what has taken too long already. A client that is new gets its time, too.
func (c *client) spared() (spare, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sparing()
}

func (c *client) sparing() (spare, time.Time) {
	kind, since := idle, c.idleAt
	switch {
	case c.asked != nil || c.taking || len(c.out) > 0 || c.closing || c.hung || c.stuck():
		return needed, since
	case !c.partial.IsZero() && c.s.leaving.Load() && c.s.hears():
		return needed, since // nobody else wants its place, and what of it is on its way would be lost
	case !c.good:
		kind, since = silent, c.began
	case !c.partial.IsZero():
		kind, since = slow, c.partial
	}
	if kind != idle && time.Since(since) <= c.s.limits.SlowRequest {
		return needed, since
	}
	return kind, since
}

// hangUp closes the connection if it can be spared still, and tells whether it looks so. The connection's goroutine
// decides, right before it closes.
func (c *client) hangUp() bool {
	c.mu.Lock()
	c.hung = c.hung || c.goes()
	ends := c.hung
	c.mu.Unlock()
	c.conn.Wake()
	return ends
}

// goes tells whether the connection may be closed now. What waits to be read there is a request that the client takes
// for received: it is read first, however late we come to it.
func (c *client) goes() bool {
	kind, _ := c.sparing()
	return kind != needed && (kind == slow || !c.conn.Waits())
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
		b = append(appendText(append(b, `,"item":`...), v.Item), '}')
	}
	return append(b, "]}"...)
}

const hex = "0123456789abcdef"

func appendText(b, text []byte) []byte {
	b = append(b, '"')
	for _, c := range text {
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < ' ':
			b = append(b, '\\', 'u', '0', '0', hex[c>>4], hex[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
