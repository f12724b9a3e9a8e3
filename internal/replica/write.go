package replica

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/duplexconn"
	"birchcart/internal/exchange"
	"birchcart/policy"
)

// writer writes to a connection whose peer may stop accepting bytes for a while. A call of which no byte has been sent then
// waits in the queue of the replicaConn instead of a buffer, so that it can be withdrawn and is rebuilt with the current
// remaining time once the peer accepts bytes again.
type writer struct {
	*net.TCPConn
	rc *replicaConn
}

// Write writes the pulled bytes. If the peer accepts none of a call at first, Write puts the call back and pulls again when
// the peer accepts bytes.
func (w writer) Write(pulled []byte) (int, error) {
	raw, err := w.SyscallConn()
	if err != nil {
		return 0, err
	}
	written, tries := 0, 0
	var writeErr error
	err = raw.Write(func(fd uintptr) bool {
		if tries++; tries > 1 {
			if duplexconn.Waits(w.TCPConn) { // it may be the peer's close, which must be read before anything is written
				pulled = nil
			} else {
				pulled, _, _ = w.rc.Pull(pulled[:0])
			}
			w.rc.wake() // to call Pull again: the deadline and the error that this call returned are dropped
		}
		switch {
		case len(pulled) == 0:
		case w.rc.holdForList():
			w.rc.putBack()
			time.AfterFunc(holdInterval, w.rc.wake)
			pulled = nil
		case !w.rc.beginWrite():
			w.rc.putBack()
			w.rc.wake() // to rebuild the frame with the parts that are still to be sent
			pulled = nil
		}
		if len(pulled) == 0 {
			return true
		}
		written, writeErr = writeOnce(fd, pulled)
		return writeErr != syscall.EAGAIN || !w.rc.putBackBlocked()
	})
	switch {
	case err != nil:
		return 0, err
	case writeErr != nil && writeErr != syscall.EAGAIN:
		return 0, os.NewSyscallError("write", writeErr)
	case written == len(pulled):
		return written, nil
	}
	w.rc.markBlocked()
	rest, err := w.TCPConn.Write(pulled[written:])
	return written + rest, err
}

const (
	// holdInterval is the time between two checks for a pending list. The list is processed within a millisecond if a processor
	// is free. Half the interval doubles the useless checks; twice the interval adds as much delay to calls that wait.
	holdInterval = time.Millisecond
	// maxConsecutiveHolds bounds how often in a row a call is held for the list, which is at least 0.2 s. Checks are counted
	// instead of time because the reader of the list gets to run between two checks even if the process was suspended in the
	// meantime. Only a list that never ends reaches the bound; the silence limit of the watch ends such a list.
	maxConsecutiveHolds = 200
)

// holdForList reports whether the call that was pulled last has to wait because a change of the list is pending, which already
// counts as notified. A process that is scheduled late finds queries and the list ready to be read at the same time, and may
// read them in any order.
func (c *replicaConn) holdForList() bool {
	if len(c.unstarted) == 0 {
		return false
	}
	if !c.pool.listPending() {
		c.holdCount = 0
		return false
	}
	if c.holdCount >= maxConsecutiveHolds {
		c.holdCount = 0
		c.pool.log.Warn("a part is sent although a change of the list is pending", logrus.Fields{"part": c.unstarted[0].attempt.ID, "replica": c.target.Name})
		return false
	}
	c.holdCount++
	c.heldUntil = time.Now().Add(holdInterval) // applies to any earlier wake-up, which would otherwise repeat the check in a busy loop
	return true
}

// writeOnce makes one write system call, repeated only if a signal interrupts it.
func writeOnce(fd uintptr, b []byte) (int, error) {
	for {
		n, err := syscall.Write(int(fd), b)
		if !errors.Is(err, syscall.EINTR) {
			return max(0, n), err
		}
	}
}

// putBackBlocked puts the call that was pulled last back into the queue because the peer accepts no bytes at the moment. It
// reports whether there was such a call.
func (c *replicaConn) putBackBlocked() bool {
	if !c.putBack() {
		return false
	}
	c.pool.mu.Lock()
	c.blocked = true
	c.pool.mu.Unlock()
	return true
}

// putBack returns the call that was pulled last to the head of the queue as unwritten, and reports whether there was one. If
// the replica started to drain, moved, restarted or was removed after the pull, the parts are withdrawn.
func (c *replicaConn) putBack() bool {
	c.pool.mu.Lock()
	if len(c.unstarted) == 0 {
		c.pool.mu.Unlock()
		return false
	}
	for _, pa := range c.unstarted {
		pa.written = false
	}
	c.queue = slices.Insert(c.queue, 0, c.unstarted)
	c.queuedBytes -= c.unstartedBytes
	c.unstarted, c.unstartedBytes = nil, 0
	var withdrawn []exchange.Result
	if c.retired {
		withdrawn = c.withdrawUnwritten(policy.NotSent)
	}
	c.pool.mu.Unlock()
	c.pool.reportResults(withdrawn)
	return true
}

// markBlocked records that the peer has accepted some of the pulled bytes and accepts no more at the moment.
func (c *replicaConn) markBlocked() {
	c.pool.mu.Lock()
	c.blocked, c.partlyWritten = true, true
	c.pool.mu.Unlock()
}

// abortPartialFrame ends the connection if a call is partly written, the replica accepts no more bytes at the moment, and no
// client waits for any part on the connection. Sending the rest later would start an attempt for a client that has left. A
// connection with other written parts stays open, because they would be lost with it. The pool's lock is held.
func (c *replicaConn) abortPartialFrame() {
	if !c.partlyWritten || len(c.unstarted) == 0 {
		return
	}
	for _, pa := range c.parts {
		if pa.written && !pa.cancelled {
			return
		}
	}
	c.conn.CutWrite()
}

// Wrote adds n to the number of bytes written; the peer accepts bytes again.
func (c *replicaConn) Wrote(n int) {
	c.pool.mu.Lock()
	c.writtenBytes += int64(n)
	c.blocked, c.partlyWritten = false, false
	c.pool.mu.Unlock()
}
