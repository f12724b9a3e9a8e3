package replica

import (
	"bufio"
	"context"
	"errors"
	"os"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/duplexconn"
	"birchcart/internal/exchange"
	"birchcart/internal/frame"
	"birchcart/policy"
)

// replicaConn is one connection to a replica, from dialing to its end. The pool's lock guards its fields.
type replicaConn struct {
	pool       *Pool
	target     *target
	address    string
	conn       *duplexconn.Conn   // nil while dialing
	cancelDial context.CancelFunc // cancels dialing

	queue         [][]*pendingAttempt        // calls not yet written
	parts         map[string]*pendingAttempt // by id: attempts that have not ended, written or not
	lateParts     map[string]time.Time       // by id: cancelled or answered parts, and until when a late or second answer to them is accepted
	lateOrder     []string                   // keys of lateParts, oldest first
	cancels       []string                   // ids of cancelled parts for which the replica has not been told yet
	healthChecks  []*healthCheck             // not yet answered, oldest first
	queuedBytes   int64                      // bytes passed to the writer
	writtenBytes  int64                      // bytes written to the socket
	blocked       bool                       // the peer accepts no bytes at the moment
	partlyWritten bool                       // blocked after it had accepted some of the bytes pulled last

	unstarted      []*pendingAttempt // the call pulled last, nil if it was not a call; put back if none of it can be written
	unstartedBytes int64             // size of its frame
	builtAt        time.Time         // when its frame was built
	rebuilt        bool              // its frame was rebuilt because the previous one was older than maxFrameAge
	holdCount      int               // how often in a row it was held for a pending list
	heldUntil      time.Time         // no call is pulled before this time

	lastReadAt       time.Time         // time of the last read, or of the first write of a part when none was out
	idleSince        time.Time         // when the last part ended, or when the connection came up
	frameStartedAt   time.Time         // when the first byte of an incomplete frame arrived, zero if there is none
	answeredAttempts []*pendingAttempt // answers that have been read and not yet reported
	lastOfReplica    bool              // the connection has ended and no other to the replica is open
	suspectSince     time.Time         // when a part was cancelled with nothing read since it was written; zeroed by the next read
	silent           bool              // a part was cancelled while isSilent, and nothing has been read since
	retired          bool              // gets no new parts and is closed once idle
	finished         bool              // no longer used; it has ended or is about to end
}

// openConn adds a connection to a replica and starts its goroutine. The pool's lock is held.
func (p *Pool) openConn(t *target) *replicaConn {
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	rc := &replicaConn{
		pool: p, target: t, address: t.Address, cancelDial: cancel, parts: map[string]*pendingAttempt{}, lateParts: map[string]time.Time{},
		lastReadAt: now, idleSince: now,
	}
	t.conns = append(t.conns, rc)
	p.openConns++
	go rc.run(ctx)
	return rc
}

// retire stops new parts from being assigned to the connection, which is closed once it is idle. Dialing is cancelled: nothing
// waits for the connection any more, and a handshake would cost the replica work.
func (c *replicaConn) retire() {
	c.retired = true
	if c.conn == nil {
		c.cancelDial()
	}
	c.wake()
}

// hasCapacity reports whether the connection may carry a call in addition to its parts. A call with more parts than the limit
// is allowed on a connection without parts.
func (c *replicaConn) hasCapacity(call []*exchange.Attempt, now time.Time) bool {
	if c.retired || c.finished || len(c.parts)+len(call) > max(c.pool.limits.Streams, len(call)) ||
		c.isIdle() && now.Sub(c.idleSince) >= c.pool.limits.ReplicaIdle {
		return false
	}
	for _, a := range call { // answers to two parts with one id could not be told apart
		if _, late := c.lateParts[a.ID]; late || c.parts[a.ID] != nil {
			return false
		}
	}
	return true
}

// isIdle reports whether the connection has no parts and no health checks, queued or written.
func (c *replicaConn) isIdle() bool { return len(c.parts) == 0 && len(c.healthChecks) == 0 }

// isSilent reports whether parts are outstanding and nothing has been read for the silence limit. It guards against machines
// that disappear: an open connection to such a machine never delivers anything, while a new connection shows within the
// connect timeout whether the replica can be reached.
func (c *replicaConn) isSilent(now time.Time) bool {
	return c.silent || c.conn != nil && len(c.parts) > 0 && now.Sub(c.lastReadAt) >= c.pool.limits.Silence
}

// suspectRank is 1 if a part was cancelled and nothing has been read since it was written, else 0. It guards against silent
// connections, which look idle as soon as their parts are cancelled and would get one part after another. Most suspect
// connections are sound and only that part was slow, so they are used last, and closed if nothing is read within the silence
// limit.
func (c *replicaConn) suspectRank() int {
	if c.suspectSince.IsZero() {
		return 0
	}
	return 1
}

// expectLateAnswer records that an answer to an ended part may still arrive: a cancelled part may be answered, and an answer
// may arrive twice. Entries older than the Remember limit are dropped.
func (c *replicaConn) expectLateAnswer(id string, now time.Time) {
	if _, known := c.lateParts[id]; !known {
		c.lateOrder = append(c.lateOrder, id)
	}
	c.lateParts[id] = now.Add(c.pool.limits.Remember)
	expired := 0
	for _, lateID := range c.lateOrder {
		if !now.After(c.lateParts[lateID]) {
			break
		}
		delete(c.lateParts, lateID)
		expired++
	}
	c.lateOrder = append(c.lateOrder[:0], c.lateOrder[expired:]...)
}

// wake makes the connection's goroutine check the queue. While it dials this is not needed: it checks afterwards anyway.
func (c *replicaConn) wake() {
	if c.conn != nil {
		c.conn.Wake()
	}
}

// run is the connection's goroutine: it dials, then writes and reads until the connection ends.
func (c *replicaConn) run(ctx context.Context) {
	nc, err := c.pool.dial(ctx, c.address)
	c.cancelDial()
	if err == nil {
		c.pool.mu.Lock()
		c.conn = duplexconn.New(writer{nc, c}, c, c.pool.limits.WriteTime).ReadFirst()
		c.idleSince = time.Now()
		c.pool.mu.Unlock()
		in := bufio.NewScanner(reader{c})
		in.Buffer(nil, c.pool.limits.FrameBytes+8)
		in.Split(c.trackFrames(frame.Split(c.pool.limits.FrameBytes)))
		for err == nil && in.Scan() {
			err = c.handleFrame(in.Bytes())
		}
		if err == nil {
			err = in.Err()
		}
		nc.Close()
		c.pool.mu.Lock()
		c.retired = true // before the last answers are reported, because their receiver may send the next part at once
		c.pool.mu.Unlock()
		c.reportAnswers()
		if c.lastOfReplica = true; c.hasWrittenParts() { // without written parts no outcome depends on it
			time.Sleep(c.pool.limits.SiblingTime)
			c.lastOfReplica = !c.hasOpenSibling()
		}
	}
	c.teardown(err)
}

var (
	errIdle             = errors.New("idle connection closed")
	errUnsolicitedFrame = errors.New("a frame began to arrive while no part was outstanding")
	errFrameStalled     = errors.New("a frame was not complete in time")
)

// malformedFrame is the error for a frame from the replica that cannot be used. The part that it names has failed and may have
// run. Because this side then closes the connection, the other parts on it count as cancelled. If the frame names no part on
// the connection, all of them have failed.
type malformedFrame struct {
	id     string // id of the part, "" if it is unknown
	reason string
}

func (e *malformedFrame) Error() string { return e.reason }

// hasWrittenParts is hasWrittenPartsLocked for callers that do not hold the pool's lock.
func (c *replicaConn) hasWrittenParts() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.hasWrittenPartsLocked()
}

// hasOpenSibling reports whether another connection to the replica is still open. All connections end with the replica's
// process, so if one is open, only this connection was cut and the replica has not gone down.
func (c *replicaConn) hasOpenSibling() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return slices.ContainsFunc(c.target.conns, func(o *replicaConn) bool {
		return o != c && o.conn != nil && !o.finished && o.address == c.address && o.conn.Open()
	})
}

// outcome returns the outcome of a part whose frame was written completely when its connection ended with err.
func (c *replicaConn) outcome(pa *pendingAttempt, err error) policy.Outcome {
	var malformed *malformedFrame
	switch {
	case errors.Is(err, errFrameStalled) || errors.Is(err, frame.ErrLength):
		return policy.Failed // the part that the frame answers is unknown
	case !errors.As(err, &malformed) && c.lastOfReplica:
		return policy.ConnectionBroken
	case malformed == nil:
		return policy.Failed
	case malformed.id == pa.attempt.ID || c.parts[malformed.id] == nil:
		return policy.Failed
	}
	return policy.Cancelled
}

// teardown removes the connection from the pool and reports the outcomes of its parts: a part whose frame was not written
// completely never ran, the others may have. Calls of which nothing was written move to another connection.
func (c *replicaConn) teardown(err error) {
	p := c.pool
	p.mu.Lock()
	c.finished = true
	now := time.Now()
	p.openConns--
	for i, other := range c.target.conns {
		if other == c {
			c.target.conns = append(c.target.conns[:i], c.target.conns[i+1:]...)
			break
		}
	}
	if c.target.State == policy.Removed && len(c.target.conns) == 0 && p.targets[c.target.Replica] == c.target {
		delete(p.targets, c.target.Replica)
	}
	c.requeueCalls(err)
	var out []exchange.Result
	for _, pa := range c.parts {
		o := policy.Unreachable
		if pa.written && pa.frameEnd <= c.writtenBytes {
			o = c.outcome(pa, err)
		}
		delete(p.pending, pa.attempt)
		out = append(out, exchange.Result{Attempt: pa.attempt, Outcome: o, At: now})
	}
	checks := c.healthChecks
	clear(c.parts)
	c.queue, c.healthChecks = nil, nil
	name := c.target.Name
	p.mu.Unlock()
	p.reportResults(out)
	for _, hc := range checks {
		o := policy.Unreachable
		if hc.written {
			o = policy.ConnectionBroken
		}
		p.healthCheckEnded(hc, o, nil)
	}
	fields := logrus.Fields{"replica": name, "address": c.address, "parts": len(out), "error": err}
	if err != nil && !errors.Is(err, errIdle) || len(out) > 0 {
		p.log.Warn("connection to a replica ended", fields)
	} else {
		p.log.Debug("connection to a replica closed", fields)
	}
}

// requeueCalls moves the calls that are queued on an ended connection to another one. The end of a connection, which may have
// been idle, does not show that the replica is unreachable; a failed dial or a write timeout does, and then nothing moves.
// A call moves only once, or it would never end if a replica closes all its connections.
func (c *replicaConn) requeueCalls(err error) {
	p := c.pool
	if c.conn == nil || errors.Is(err, os.ErrDeadlineExceeded) || c.target.State != policy.Up || c.target.Address != c.address {
		return
	}
	for _, call := range c.queue {
		var attempts []*exchange.Attempt
		for _, pa := range call {
			if p.pending[pa.attempt] == pa && !pa.requeued {
				attempts = append(attempts, pa.attempt)
			}
		}
		if len(attempts) == 0 {
			continue
		}
		rc := p.chooseConn(c.target, attempts)
		if rc == nil {
			return
		}
		p.enqueue(rc, attempts)
		for _, a := range attempts {
			p.pending[a].requeued = true
			delete(c.parts, a.ID)
		}
	}
}

// withdrawUnwritten removes the parts that have not been written and returns their results with outcome o.
func (c *replicaConn) withdrawUnwritten(o policy.Outcome) (withdrawn []exchange.Result) {
	for _, pa := range c.parts {
		if !pa.written {
			c.pool.dropAttempt(pa)
			withdrawn = append(withdrawn, exchange.Result{Attempt: pa.attempt, Outcome: o, At: time.Now()})
		}
	}
	return withdrawn
}

// withdrawHealthChecks removes and returns the health checks that have not been written.
func (c *replicaConn) withdrawHealthChecks() []*healthCheck {
	first := slices.IndexFunc(c.healthChecks, func(hc *healthCheck) bool { return !hc.written }) // they are written in order
	if first < 0 {
		return nil
	}
	withdrawn := slices.Clone(c.healthChecks[first:])
	c.healthChecks = c.healthChecks[:first]
	return withdrawn
}
