package ogc

import (
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"birchcart/internal/feature"
)

// pageMemory bounds the memory of all pages, from before their queries are submitted until their clients have taken them. What
// does not fit is rejected before its query is submitted, since a query that may have run must not be rejected.
//
// A page takes many times its size while it is put together, so that is done for one page at a time.
type pageMemory struct {
	limit int64
	used  atomic.Int64
	turn  chan struct{} // holds an element while a page is put together
	zip   *gzip.Writer  // used by whoever has the turn
}

func newPageMemory(limit int64) *pageMemory {
	return &pageMemory{limit: limit, turn: make(chan struct{}, 1), zip: gzip.NewWriter(io.Discard)}
}

// maxParts is the maximum number of parts of one page.
func (m *pageMemory) maxParts() int { return int(max(1, m.limit/feature.ValueMost)) }

// reserve reserves memory, and reports whether it fits. Where nothing is reserved, anything fits.
func (m *pageMemory) reserve(size int64) (*reservation, bool) {
	r := &reservation{memory: m}
	return r, r.resize(size)
}

// reservation is the memory that is reserved for one page. It is used by one goroutine.
type reservation struct {
	memory *pageMemory
	size   int64
}

// resize changes the size, and reports whether that fits. A smaller size always fits; a size that does not fit is not reserved.
func (r *reservation) resize(size int64) bool {
	used := r.memory.used.Add(size - r.size)
	if size > r.size && used > r.memory.limit && used > size {
		r.memory.used.Add(r.size - size)
		return false
	}
	r.size = size
	return true
}

func (r *reservation) release() { r.resize(0) }

// reserveParts reserves the memory for the values of a query's parts, which the call holds until its end.
func (c *call) reserveParts(parts int) error {
	r, fits := c.s.memory.reserve(int64(parts) * feature.ValueMost)
	if !fits {
		return &failure{http.StatusServiceUnavailable, "too many pages at once: coming again is harmless", c.s.limits.ComeBack}
	}
	c.reserved = r
	return nil
}

// beginAssembly waits for the call's turn to put its page together. due is when the answer has to be there.
func (c *call) beginAssembly(ctx context.Context, due time.Time) error {
	if c.assembling {
		return nil
	}
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case c.s.memory.turn <- struct{}{}:
		c.assembling = true
		return nil
	case <-ctx.Done():
		return errDisconnected
	case <-timer.C:
		return &failure{http.StatusGatewayTimeout, "the answer could not be put together in time", 0}
	}
}

// endAssembly ends the call's turn, if it has one.
func (c *call) endAssembly() {
	if c.assembling {
		c.assembling = false
		<-c.s.memory.turn
	}
}

// release ends all that the call holds.
func (c *call) release() {
	c.endAssembly()
	if c.reserved != nil {
		c.reserved.release()
	}
}
