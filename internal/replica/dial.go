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

// replicaConn is one connection to a replica, from its dialling to its end. Its fields are guarded by the pool's
// lock.
type replicaConn struct {
	pool       *Pool
	target     *target
	address    string
	conn       *duplexconn.Conn   // nil until it is up
	cancelDial context.CancelFunc // ends its dialling

	queue         [][]*pendingAttempt        // calls not yet written
	parts         map[string]*pendingAttempt // by id: not ended, written or not
	lateParts     map[string]time.Time       // given up or answered, and perhaps answered still, until then
	lateOrder     []string                   // their ids, the oldest first
	cancels       []string
	healthChecks  []*healthCheck
	queuedBytes   int64 // bytes handed to the writer
	writtenBytes  int64 // of these, gone out
	blocked       bool  // the peer takes nothing for now
	partlyWritten bool  // and has taken a part of what was pulled last

	unstarted      []*pendingAttempt // the call that was pulled last, none if that was no call; it goes back where no byte of it can go out
	unstartedBytes int64
	builtAt        time.Time // when it was pulled
	rebuilt        bool      // it is built anew since the one before was too old
	holdCount      int       // in a row, for the list
	heldUntil      time.Time // no call is pulled before

	lastReadAt       time.Time         // last read, or when parts went out after a pause
	idleSince        time.Time         // when the last part ended
	frameStartedAt   time.Time         // when an unfinished frame began to arrive, zero if none has
	answeredAttempts []*pendingAttempt // answered by frames that have been read and not yet reported
	lastOfReplica    bool              // it ended, and no other connection to the replica is open
	suspectSince     time.Time         // a part was given up then with nothing read since it went out; zero once something is
	silent           bool              // a part was given up after a silence, and nothing was read since
	retired          bool              // gets no new part and is closed once idle
	finished         bool
}

// open starts a connection.
func (p *Pool) openConn(t *target) *replicaConn {
	now := time.Now()
	ctx, hangUp := context.WithCancel(context.Background())
	l := &replicaConn{
		pool: p, target: t, address: t.Address, cancelDial: hangUp, parts: map[string]*pendingAttempt{}, lateParts: map[string]time.Time{},
		lastReadAt: now, idleSince: now,
	}
	t.conns = append(t.conns, l)
	p.openConns++
	go l.run(ctx)
	return l
}

// retire has a connection get no new part, and closes it once it is idle. One that is still dialled is given up: nothing
// waits for it then, and a handshake would cost the replica work.
func (c *replicaConn) retire() {
	c.retired = true
	if c.conn == nil {
		c.cancelDial()
	}
	c.wake()
}

// hasCapacity says whether a call may go on this connection.
func (c *replicaConn) hasCapacity(call []*exchange.Attempt, now time.Time) bool {
	if c.retired || c.finished || len(c.parts)+len(call) > max(c.pool.limits.Streams, len(call)) ||
		c.isIdle() && now.Sub(c.idleSince) >= c.pool.limits.ReplicaIdle {
		return false
	}
	for _, a := range call { // two of one id could not be told apart
		if _, ghost := c.lateParts[a.ID]; ghost || c.parts[a.ID] != nil {
			return false
		}
	}
	return true
}

// isIdle tells that nothing is out or waiting.
func (c *replicaConn) isIdle() bool { return len(c.parts) == 0 && len(c.healthChecks) == 0 }

// isSilent guards against machines that vanish: an open connection to one says nothing for ever. A new
// connection shows what is the matter within the time for connecting.
func (c *replicaConn) isSilent(now time.Time) bool {
	return c.silent || c.conn != nil && len(c.parts) > 0 && now.Sub(c.lastReadAt) >= c.pool.limits.Silence
}

// suspect is 1 where a part was given up and nothing has been read since it went out. Guards against connections that
// have fallen silent: they look idle as soon as their parts are given up, and would take one part after the other.
// Most are in order, the part was just one too many; so they are only used last, and left if nothing clears them.
func (c *replicaConn) suspectRank() int {
	if c.suspectSince.IsZero() {
		return 0
	}
	return 1
}

// expect notes that an answer to a part that has ended may come: one that was given up is answered perhaps, and a
// good answer may come twice. What is older than Remember is forgotten.
func (c *replicaConn) expectLateAnswer(id string, now time.Time) {
	if _, twice := c.lateParts[id]; !twice {
		c.lateOrder = append(c.lateOrder, id)
	}
	c.lateParts[id] = now.Add(c.pool.limits.Remember)
	gone := 0
	for _, old := range c.lateOrder {
		if !now.After(c.lateParts[old]) {
			break
		}
		delete(c.lateParts, old)
		gone++
	}
	c.lateOrder = append(c.lateOrder[:0], c.lateOrder[gone:]...)
}

// wake makes the goroutine look at what is queued; while it dials, it will look by itself.
func (c *replicaConn) wake() {
	if c.conn != nil {
		c.conn.Wake()
	}
}

// run is the goroutine of the connection.
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
		c.retired = true // before what was read last is told: whoever hears of it may send the next part at once
		c.pool.mu.Unlock()
		c.reportAnswers()
		if c.lastOfReplica = true; c.hasWrittenParts() { // else nobody asks
			time.Sleep(c.pool.limits.SiblingTime)
			c.lastOfReplica = !c.hasOpenSibling()
		}
	}
	c.teardown(err)
}

var (
	errIdle             = errors.New("closed as idle")
	errUnsolicitedFrame = errors.New("a frame began that nothing had asked for")
	errFrameStalled     = errors.New("a frame began and did not go on")
)

// malformedFrame is an answer that can't be used. Its part, where its id can be read, has failed and may have run. The
// connection is ours to close then, so of the others on it only that is known: they were given up.
type malformedFrame struct {
	id     string // of the part, "" if it can't be told
	reason string
}

func (s *malformedFrame) Error() string { return s.reason }

// hasWrittenParts says whether parts are out, with the lock taken.
func (c *replicaConn) hasWrittenParts() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.hasWrittenPartsLocked()
}

// siblings says whether another connection to the replica is open still. A process that ends takes all of them with
// it, so then only this one was cut and the machine is none that went down.
func (c *replicaConn) hasOpenSibling() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return slices.ContainsFunc(c.target.conns, func(o *replicaConn) bool {
		return o != c && o.conn != nil && !o.finished && o.address == c.address && o.conn.Open()
	})
}

// outcome is what the end of a connection means for a part whose frame went out whole.
func (c *replicaConn) outcome(en *pendingAttempt, err error) policy.Outcome {
	var s *malformedFrame
	switch {
	case errors.Is(err, errFrameStalled) || errors.Is(err, frame.ErrLength):
		return policy.Failed // which one it was for can't be told
	case !errors.As(err, &s) && c.lastOfReplica:
		return policy.ConnectionBroken
	case s == nil:
		return policy.Failed
	case s.id == en.attempt.ID || c.parts[s.id] == nil:
		return policy.Failed
	}
	return policy.Cancelled
}

// end takes the connection out of the pool and tells what becomes of its parts: what was not wholly written
// never ran, the rest may have. Calls that had not begun go on to another connection.
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
	for _, en := range c.parts {
		o := policy.Unreachable
		if en.written && en.frameEnd <= c.writtenBytes {
			o = c.outcome(en, err)
		}
		delete(p.pending, en.attempt)
		out = append(out, exchange.Result{Attempt: en.attempt, Outcome: o, At: now})
	}
	probes := c.healthChecks
	clear(c.parts)
	c.queue, c.healthChecks = nil, nil
	name := c.target.Name
	p.mu.Unlock()
	p.reportResults(out)
	for _, pr := range probes {
		o := policy.Unreachable
		if pr.written {
			o = policy.ConnectionBroken
		}
		p.healthCheckEnded(pr, o, nil)
	}
	fields := logrus.Fields{"replica": name, "address": c.address, "parts": len(out), "error": err}
	if err != nil && !errors.Is(err, errIdle) || len(out) > 0 {
		p.log.Warn("a connection to a replica ended", fields)
	} else {
		p.log.Debug("a connection to a replica was closed", fields)
	}
}

// requeueCalls has the calls that wait on a connection that has ended wait on another. That it ended, idle perhaps, says
// nothing of whether the replica can be reached; one that never came up, or took no bytes for so long, says that. A call
// moves once: a replica that closes all its connections would have it for ever.
func (c *replicaConn) requeueCalls(err error) {
	p := c.pool
	if c.conn == nil || errors.Is(err, os.ErrDeadlineExceeded) || c.target.State != policy.Up || c.target.Address != c.address {
		return
	}
	for _, call := range c.queue {
		var attempts []*exchange.Attempt
		for _, en := range call {
			if p.pending[en.attempt] == en && !en.requeued {
				attempts = append(attempts, en.attempt)
			}
		}
		if len(attempts) == 0 {
			continue
		}
		to := p.chooseConn(c.target, attempts)
		if to == nil {
			return
		}
		p.enqueue(to, attempts)
		for _, a := range attempts {
			p.pending[a].requeued = true
			delete(c.parts, a.ID)
		}
	}
}

// unqueue takes back what is not yet written.
func (c *replicaConn) withdrawUnwritten(o policy.Outcome) (back []exchange.Result) {
	for _, en := range c.parts {
		if !en.written {
			c.pool.dropAttempt(en)
			back = append(back, exchange.Result{Attempt: en.attempt, Outcome: o, At: time.Now()})
		}
	}
	return back
}

// withdrawHealthChecks takes back the probes that are not yet written.
func (c *replicaConn) withdrawHealthChecks() []*healthCheck {
	first := slices.IndexFunc(c.healthChecks, func(pr *healthCheck) bool { return !pr.written }) // they are written in order
	if first < 0 {
		return nil
	}
	back := slices.Clone(c.healthChecks[first:])
	c.healthChecks = c.healthChecks[:first]
	return back
}
