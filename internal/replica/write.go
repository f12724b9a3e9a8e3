package replica

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"birchcart/internal/duplexconn"
	"birchcart/internal/exchange"
	"birchcart/policy"
)

// writer is a connection whose peer may take nothing for a while. A call of which no byte has gone out waits in the
// link's queue then, not in a buffer: it can be taken back, and what it tells of the time left is built anew when
// the peer takes bytes again.
type writer struct {
	*net.TCPConn
	rc *replicaConn
}

// Write writes what was pulled, or, where the peer took nothing of it at first, what is pulled when it does.
func (w writer) Write(pulled []byte) (int, error) {
	raw, err := w.SyscallConn()
	if err != nil {
		return 0, err
	}
	wrote, tries := 0, 0
	var failed error
	err = raw.Write(func(fd uintptr) bool {
		if tries++; tries > 1 {
			if duplexconn.Waits(w.TCPConn) { // perhaps its end, which is to be seen before anything is written
				pulled = nil
			} else {
				pulled, _, _ = w.rc.Pull(pulled[:0])
			}
			w.rc.wake() // to be asked again: what else it said then is lost
		}
		switch {
		case len(pulled) == 0:
		case w.rc.holdForList():
			w.rc.putBack()
			time.AfterFunc(holdInterval, w.rc.wake)
			pulled = nil
		case !w.rc.beginWrite():
			w.rc.putBack()
			w.rc.wake() // what is still to go is built anew
			pulled = nil
		}
		if len(pulled) == 0 {
			return true
		}
		wrote, failed = writeOnce(fd, pulled)
		return failed != syscall.EAGAIN || !w.rc.putBackBlocked()
	})
	switch {
	case err != nil:
		return 0, err
	case failed != nil && failed != syscall.EAGAIN:
		return 0, os.NewSyscallError("write", failed)
	case wrote == len(pulled):
		return wrote, nil
	}
	w.rc.markBlocked()
	rest, err := w.TCPConn.Write(pulled[wrote:])
	return wrote + rest, err
}

const (
	// holdInterval is from one look for a pending list to the next: the list is taken in within a millisecond where there is a
	// processor. Half as long looks twice as often for nothing; twice as long adds as much to what waits.
	holdInterval = time.Millisecond
	// maxConsecutiveHolds bounds how often in a row a call is held for the list, 0.2 s at the least. Looks are counted and not time: after
	// each the reader of the list has had its turn, also where the machine has stopped the process meanwhile. Only a list that
	// never ends comes to it, which is left after the silence limit of the watch.
	maxConsecutiveHolds = 200
)

// holdForList says whether the call that was pulled last has to wait, since a change of the list is pending that counts as notified
// already. A process that gets a processor late finds queries and the list to be read at once, in any order.
func (c *replicaConn) holdForList() bool {
	if len(c.unstarted) == 0 {
		return false
	}
	if !c.pool.listPending() || c.holdCount >= maxConsecutiveHolds {
		c.holdCount = 0
		return false
	}
	c.holdCount++
	c.heldUntil = time.Now().Add(holdInterval) // whatever wakes the goroutine before: it would look on without end
	return true
}

// write asks the kernel once to take bytes.
func writeOnce(fd uintptr, b []byte) (int, error) {
	for {
		n, err := syscall.Write(int(fd), b)
		if !errors.Is(err, syscall.EINTR) {
			return max(0, n), err
		}
	}
}

// putBackBlocked puts the call that was pulled last back since the peer takes nothing for now. It tells whether there was one.
func (c *replicaConn) putBackBlocked() bool {
	if !c.putBack() {
		return false
	}
	c.pool.mu.Lock()
	c.blocked = true
	c.pool.mu.Unlock()
	return true
}

// putBack returns the call that was pulled last to the head of the queue, as one that is not written. It tells
// whether there was one. Where the replica drains, moved or restarted since the pull, its parts are taken back.
func (c *replicaConn) putBack() bool {
	c.pool.mu.Lock()
	if len(c.unstarted) == 0 {
		c.pool.mu.Unlock()
		return false
	}
	for _, en := range c.unstarted {
		en.written = false
	}
	c.queue = slices.Insert(c.queue, 0, c.unstarted)
	c.queuedBytes -= c.unstartedBytes
	c.unstarted, c.unstartedBytes = nil, 0
	var back []exchange.Result
	if c.retired {
		back = c.withdrawUnwritten(policy.NotSent)
	}
	c.pool.mu.Unlock()
	c.pool.reportResults(back)
	return true
}

// markBlocked notes that the peer has taken a part of what was pulled, and takes nothing for now.
func (c *replicaConn) markBlocked() {
	c.pool.mu.Lock()
	c.blocked, c.partlyWritten = true, true
	c.pool.mu.Unlock()
}

// abortPartialFrame ends the connection if it is in the middle of a frame of which the replica takes no more for now, and nobody
// waits for any part of that frame: what went out later would begin an attempt for a client that has left. Where other
// parts are out on the connection it goes on, since they would be lost with it. The pool's lock is held.
func (c *replicaConn) abortPartialFrame() {
	if !c.partlyWritten || len(c.unstarted) == 0 {
		return
	}
	for _, en := range c.parts {
		if en.written && !en.cancelled {
			return
		}
	}
	c.conn.CutWrite()
}

// Wrote counts what went out.
func (c *replicaConn) Wrote(n int) {
	c.pool.mu.Lock()
	c.writtenBytes += int64(n)
	c.blocked, c.partlyWritten = false, false
	c.pool.mu.Unlock()
}
