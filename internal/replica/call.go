package replica

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/frame"
	"birchcart/policy"
)

// Pull builds the next bytes to write: one call at a time, and when no call is queued, cancellations of parts and health
// checks. The connection's goroutine calls it just before it writes, so parts withdrawn until then are never sent. Building
// one call at a time also keeps a call from waiting in the write buffer behind another that a busy peer accepts only in part.
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
		c.wake() // to pull the rest
	}
	c.queuedBytes += int64(len(buf) - start)
	if !c.frameStartedAt.IsZero() && !c.isIdle() { // the limit counts from the first byte of a frame, however slowly the rest arrives
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
		c.finished = true // chooseConn no longer picks it; a part queued before this makes isIdle false above
		return buf, until, errIdle
	}
	return buf, until, nil
}

// appendNextCall appends the first queued call that still has a part to send. If the replica is not up, it drops the queue.
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

// appendControlFrames appends the frames that are not calls: cancellations of parts and health checks.
func (c *replicaConn) appendControlFrames(buf []byte) []byte {
	for _, id := range c.cancels {
		buf = frame.AppendGiveUp(buf, id)
	}
	c.cancels = c.cancels[:0]
	for _, hc := range c.healthChecks {
		if !hc.written {
			hc.written = true
			buf = frame.AppendProbe(buf, c.pool.healthCheckFrame())
		}
	}
	return buf
}

// healthCheckFrame returns the type of the frame that asks for a health check or, if so configured, for the load.
func (p *Pool) healthCheckFrame() byte {
	if p.reportsByHealthCheck {
		return frame.Load
	}
	return frame.Probe
}

// appendCall appends one call without the parts that have been withdrawn and those whose deadline has passed. If the
// process was suspended between the decision to send and the write, an expired part would otherwise be sent with the
// minimum wait of 1 ms and run although no client waits for it. The part's timer withdraws it as never written.
func (c *replicaConn) appendCall(buf []byte, start int, call []*pendingAttempt, now time.Time) []byte {
	parts := make([]frame.Part, 0, len(call))
	live := call[:0]
	for _, pa := range call {
		if c.pool.pending[pa.attempt] != pa {
			continue
		}
		a := pa.attempt
		if !a.Due.After(now) {
			continue
		}
		parts = append(parts, frame.Part{
			ID: a.ID, Shard: a.Shard, Wait: max(1, a.Due.Sub(now).Milliseconds()), From: a.Previous, Whole: a.Complete,
			Text: a.Text,
		})
		live = append(live, pa)
	}
	if len(parts) == 0 {
		return buf
	}
	buf = frame.AppendCall(buf, parts)
	for _, pa := range live {
		pa.frameEnd = c.queuedBytes + int64(len(buf)-start)
	}
	c.unstarted, c.unstartedBytes, c.builtAt = live, int64(len(buf)-start), now
	return buf
}

// maxFrameAge is the maximum time between building a frame and writing it. The frame states the time that remained when it
// was built, which must be at most 0.15 s too long when the replica gets it, and the process may be suspended for another
// such time after the check. Half the value makes busy machines build frames twice; an idle machine needs about a hundredth
// of it.
const maxFrameAge = 10 * time.Millisecond

// beginWrite reports whether the call that was pulled last may be passed to the kernel, and if so marks its parts as written.
// The goroutine may have been suspended since it built the frame: a part that has been withdrawn or has expired since then
// must not be sent, nor an outdated remaining time.
func (c *replicaConn) beginWrite() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	now := time.Now()
	if len(c.unstarted) > 0 && now.Sub(c.builtAt) > maxFrameAge && !c.rebuilt {
		c.rebuilt = true // only once, or a machine that is always this slow would never write the call
		return false
	}
	c.rebuilt = false
	for _, pa := range c.unstarted {
		if c.pool.pending[pa.attempt] != pa || !pa.attempt.Due.After(now) {
			return false
		}
	}
	if len(c.unstarted) > 0 && !c.hasWrittenPartsLocked() {
		c.lastReadAt = now // silence counts from here: nothing was awaited from the replica before
	}
	for _, pa := range c.unstarted {
		pa.written, pa.writtenAt = true, now
		c.target.recent.add(pa.attempt, now)
		c.pool.log.Debug("part written", logrus.Fields{"part": pa.attempt.ID, "replica": c.target.Name, "address": c.address})
	}
	return true
}

// hasWrittenPartsLocked reports whether parts have been written and have not ended. The pool's lock is held.
func (c *replicaConn) hasWrittenPartsLocked() bool {
	for _, pa := range c.parts {
		if pa.written {
			return true
		}
	}
	return false
}
