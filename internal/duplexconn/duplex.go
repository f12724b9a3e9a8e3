// Package duplexconn lets one goroutine serve a connection in both directions. It sits in Read; others queue
// what is to be written and wake it by a read deadline in the past. Read then writes what is queued and
// reads on, so a connection that waits for its answer still sees its peer leave.
package duplexconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Source is what a connection writes.
type Source interface {
	// Pull appends what is to be written now and tells until when to read; zero is for ever. It is asked
	// again when that time has come. An error ends the connection once the bytes are written.
	Pull(buf []byte) (out []byte, until time.Time, err error)
	// Wrote tells how many of the pulled bytes went out.
	Wrote(n int)
}

// Conn is a connection with its source. Only its own goroutine calls Read and Flush.
type Conn struct {
	nc        net.Conn
	src       Source
	writeTime time.Duration
	readFirst bool
	buf       []byte
	readAt    time.Time

	mu    sync.Mutex
	awake bool
	woken chan struct{} // the same for pause
}

// past is a deadline that has gone by on every clock.
var past = time.Unix(1, 0)

// keepBuffer is the maximum number of bytes of the write buffer that are kept for the next write.
const keepBuffer = 64 << 10

// New wraps a connection.
func New(nc net.Conn, src Source, writeTime time.Duration) *Conn {
	return &Conn{nc: nc, src: src, writeTime: writeTime, woken: make(chan struct{}, 1)}
}

// ReadFirst has the connection read what waits, and see its end, before it writes: what is not written to a
// connection that its peer has closed is known never to have arrived. It is for peers that only answer, or a peer that
// does not stop would have the last word.
func (c *Conn) ReadFirst() *Conn {
	c.readFirst = true
	return c
}

// Wake makes the goroutine ask its source. It may be called from anywhere and does not block.
func (c *Conn) Wake() {
	c.mu.Lock()
	c.awake = true
	c.nc.SetReadDeadline(past)
	c.mu.Unlock()
	select {
	case c.woken <- struct{}{}:
	default:
	}
}

// ReadAt is when the newest bytes were read.
func (c *Conn) ReadAt() time.Time { return c.readAt }

// CutWrite has a write that waits for the peer fail at once. It may be called from anywhere; a write that begins later has
// its whole time.
func (c *Conn) CutWrite() { c.nc.SetWriteDeadline(past) }

// Close closes the connection.
func (c *Conn) Close() error { return c.nc.Close() }

// CloseWrite tells the peer that nothing more will come, where the connection can.
func (c *Conn) CloseWrite() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
}

// Flush writes what the source has to write.
func (c *Conn) Flush() (until time.Time, err error) {
	out, until, end := c.src.Pull(c.buf[:0])
	if len(out) > 0 {
		c.nc.SetWriteDeadline(time.Now().Add(c.writeTime))
		n, err := c.nc.Write(out)
		c.src.Wrote(n)
		if err != nil {
			return until, err
		}
	}
	if c.buf = out; cap(out) > keepBuffer {
		c.buf = nil
	}
	return until, end
}

// Read writes what is queued, then waits for the peer.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		c.awake = false
		c.mu.Unlock()
		var until time.Time
		if !c.readFirst || !Waits(c.nc) {
			var err error
			if until, err = c.Flush(); err != nil {
				return 0, err
			}
		}
		c.mu.Lock()
		if !c.awake { // else it is in the past and stays there
			c.nc.SetReadDeadline(until)
		}
		c.mu.Unlock()
		n, err := c.nc.Read(p)
		if n > 0 {
			c.readAt = time.Now()
			return n, nil
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
	}
}

// ErrUnsolicited means that the peer has sent too much without being asked.
var ErrUnsolicited = errors.New("duplexconn: too much was sent without being asked")

// RestLimits bound what Rest reads.
type RestLimits struct {
	Burst int           // bytes between two pauses
	Pause time.Duration // in which nothing but the queue is looked at, so that a peer costs little of our time
	Total int           // bytes in all; past them Rest returns ErrUnsolicited
}

// Rest writes what is queued until the source ends the connection. What the peer sends on without being asked is read
// and forgotten, since its end stands behind that.
func (c *Conn) Rest(limits RestLimits) error {
	var junk [4096]byte
	for total := 0; ; {
		for left := limits.Burst; left > 0; {
			n, err := c.Read(junk[:min(left, len(junk))])
			if err != nil {
				return err
			}
			left -= n
			if total += n; total > limits.Total {
				return ErrUnsolicited
			}
		}
		if err := c.pause(time.Now().Add(limits.Pause)); err != nil {
			return err
		}
	}
}

// pause writes what is queued until a time and reads nothing.
func (c *Conn) pause(end time.Time) error {
	for time.Now().Before(end) {
		until, err := c.Flush()
		if err != nil {
			return err
		}
		if until.IsZero() || until.After(end) {
			until = end
		}
		timer := time.NewTimer(time.Until(until))
		select {
		case <-c.woken:
			timer.Stop()
		case <-timer.C:
		}
	}
	return nil
}

// Drain reads and forgets what still comes, for so long and so many bytes at the most: a connection that is
// closed over unread bytes is reset, and the reset may overtake what was written last. Past the bytes it only
// waits, since a peer that sends megabytes would have our time for them.
func (c *Conn) Drain(linger time.Duration, most int) {
	end := time.Now().Add(linger)
	c.nc.SetReadDeadline(end)
	var junk [4096]byte
	for most > 0 {
		n, err := c.nc.Read(junk[:])
		if err != nil {
			return
		}
		most -= n
	}
	time.Sleep(time.Until(end))
}
