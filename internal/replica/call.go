package replica

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/frame"
	"birchcart/policy"
)

// Pull builds what is to be written: calls one by one, then parts that are given up and probes. It is asked by the
// connection's goroutine just before it writes, so what was taken back by then never goes; nor does a call wait in
// the buffer behind another of which a peer that is busy takes no more.
func (c *replicaConn) Pull(buf []byte) ([]byte, time.Time, error) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	start := len(buf)
	if !c.frameStartedAt.IsZero() && len(c.queue) > 0 && !c.hasWrittenPartsLocked() {
		c.finished = true
		return buf, now, errUnsolicitedFrame
	}
	held := now.Before(c.heldUntil)
	if !held {
		buf = c.appendNextCall(buf, now)
	}
	if len(buf) == start {
		buf = c.appendControlFrames(buf)
	} else if len(c.queue) > 0 || len(c.cancels) > 0 || len(c.healthChecks) > 0 && !c.healthChecks[len(c.healthChecks)-1].written {
		c.wake() // for the rest
	}
	c.queuedBytes += int64(len(buf) - start)
	if !c.frameStartedAt.IsZero() && !c.isIdle() { // what trickles counts from its first byte
		until := c.frameStartedAt.Add(p.limits.FrameTime)
		if !now.Before(until) {
			return buf, until, errFrameStalled
		}
		return buf, until, nil
	}
	if !c.isIdle() {
		return buf, time.Time{}, nil
	}
	until := c.idleSince.Add(p.limits.ReplicaIdle)
	if c.suspectRank() > 0 {
		until = c.suspectSince.Add(p.limits.Silence)
	}
	if c.retired || c.silent || !now.Before(until) {
		c.finished = true // chosen no more; a part that came first is seen above
		return buf, until, errIdle
	}
	return buf, until, nil
}

// appendNextCall appends the first call in the queue of which a part is still to be sent.
func (c *replicaConn) appendNextCall(buf []byte, now time.Time) []byte {
	c.unstarted, c.unstartedBytes = nil, 0
	if c.target.State != policy.Up {
		clear(c.queue)
		c.queue = c.queue[:0]
	}
	start := len(buf)
	for len(c.queue) > 0 && len(buf) == start {
		call := c.queue[0]
		c.queue = slices.Delete(c.queue, 0, 1)
		buf = c.appendCall(buf, start, call, now)
	}
	return buf
}

// appendControlFrames appends what is not a call: the ids of parts that are given up, and probes.
func (c *replicaConn) appendControlFrames(buf []byte) []byte {
	for _, id := range c.cancels {
		buf = frame.AppendGiveUp(buf, id)
	}
	c.cancels = c.cancels[:0]
	for _, pr := range c.healthChecks {
		if !pr.written {
			pr.written = true
			buf = frame.AppendProbe(buf, c.pool.healthCheckFrame())
		}
	}
	return buf
}

func (p *Pool) healthCheckFrame() byte {
	if p.reportsByHealthCheck {
		return frame.Load
	}
	return frame.Probe
}

// appendCall appends one call without what was taken back meanwhile, and without what is not due after now: after a stop
// between the turn and the write a part whose time is over would go out with a millisecond, and run for nobody. Its
// timer takes it back as one that was never written.
func (c *replicaConn) appendCall(buf []byte, start int, call []*pendingAttempt, now time.Time) []byte {
	parts := make([]frame.Part, 0, len(call))
	live := call[:0]
	for _, en := range call {
		if c.pool.pending[en.attempt] != en {
			continue
		}
		a := en.attempt
		if !a.Due.After(now) {
			continue
		}
		parts = append(parts, frame.Part{
			ID: a.ID, Shard: a.Shard, Wait: max(1, a.Due.Sub(now).Milliseconds()), From: a.Previous, Whole: a.Complete,
			Text: a.Text,
		})
		live = append(live, en)
	}
	if len(parts) == 0 {
		return buf
	}
	buf = frame.AppendCall(buf, parts)
	for _, en := range live {
		en.frameEnd = c.queuedBytes + int64(len(buf)-start)
	}
	c.unstarted, c.unstartedBytes, c.builtAt = live, int64(len(buf)-start), now
	return buf
}

// maxFrameAge is for how long a frame may wait between being built and being written. It tells the replica the time that was
// left when it was built, which may be 0.15 s too long at the most; the machine may hold the process up for as long once more
// after this was looked at. Half as long has busy machines build frames twice; it is some hundred times what a quiet one takes.
const maxFrameAge = 10 * time.Millisecond

// begin says whether the call that was pulled last may be handed to the kernel, and notes its parts as written if so. The goroutine
// may have been held up since it built the frame: a part that was taken back meanwhile must not go, nor a time that is over.
func (c *replicaConn) beginWrite() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	now := time.Now()
	if len(c.unstarted) > 0 && now.Sub(c.builtAt) > maxFrameAge && !c.rebuilt {
		c.rebuilt = true // once: a machine that takes as long again would never come to write it
		return false
	}
	c.rebuilt = false
	for _, en := range c.unstarted {
		if c.pool.pending[en.attempt] != en || !en.attempt.Due.After(now) {
			return false
		}
	}
	if len(c.unstarted) > 0 && !c.hasWrittenPartsLocked() {
		c.lastReadAt = now // until now it had nothing to say
	}
	for _, en := range c.unstarted {
		en.written, en.writtenAt = true, now
		c.pool.log.Debug("a part is written", logrus.Fields{"part": en.attempt.ID, "replica": c.target.Name, "address": c.address})
	}
	return true
}

func (c *replicaConn) hasWrittenPartsLocked() bool {
	for _, en := range c.parts {
		if en.written {
			return true
		}
	}
	return false
}
