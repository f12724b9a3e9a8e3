// Package replica is the client side of the connections to replicas: it dials replicas, sends them calls and collects their
// answers. Each connection has one goroutine, which dials, writes and reads.
package replica

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/logs"
	"birchcart/policy"
)

// Sink receives the results of attempts and health checks.
type Sink interface {
	AttemptEnded(exchange.Result)
	HealthChecked(exchange.HealthCheck)
}

// Pool manages the connections to all replicas. Its lock guards bookkeeping only and is never held during I/O.
type Pool struct {
	limits               config.Limits
	reportNames          []string // names of the values in a load report
	reportsByHealthCheck bool     // replicas report their load only in answer to health checks
	sink                 Sink
	logger               *logrus.Entry
	log                  *logs.Limited // for lines that a peer can cause
	dial                 func(ctx context.Context, address string) (*net.TCPConn, error)
	listPending          func() bool // reports whether a change of the replica list is pending

	mu        sync.Mutex
	targets   map[uint64]*target
	pending   map[*exchange.Attempt]*pendingAttempt
	openConns int
}

// target is a replica and the connections to it.
type target struct {
	exchange.Target
	conns  []*replicaConn
	recent recentParts
}

// pendingAttempt is an attempt that has not ended.
type pendingAttempt struct {
	attempt   *exchange.Attempt
	conn      *replicaConn
	requeued  bool             // was queued before on another connection, which has ended
	written   bool             // passed to the kernel, completely or in part
	cancelled bool             // its query has ended; the rest of its frame need not be written
	frameEnd  int64            // offset of the end of its frame in the bytes of the connection, valid once it is built
	writtenAt time.Time        // valid if written is set
	answer    *exchange.Result // answer that has been read and not yet reported
}

// New returns a pool without replicas, which reports results to sink.
func New(cfg *config.Config, sink Sink, log *logrus.Entry) *Pool {
	return &Pool{
		limits: cfg.Limits, reportNames: cfg.Policy.ReportNames, reportsByHealthCheck: cfg.Report == "on_probe", sink: sink,
		logger: log, log: logs.Limit(log, cfg.Limits.LogEvery), targets: map[uint64]*target{},
		pending: map[*exchange.Attempt]*pendingAttempt{},
		dial:    dialer(cfg.Limits.ConnectTime), listPending: func() bool { return false },
	}
}

// HoldForList makes the pool start no new part while pending reports that a change of the replica list is pending: the change
// already counts as notified and may say that the replica drains. It must be called before the first part is sent.
func (p *Pool) HoldForList(pending func() bool) { p.listPending = pending }

// dialer returns a function that opens TCP connections with the given timeout.
func dialer(within time.Duration) func(ctx context.Context, address string) (*net.TCPConn, error) {
	d := net.Dialer{Timeout: within}
	return func(ctx context.Context, address string) (*net.TCPConn, error) {
		nc, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return nc.(*net.TCPConn), nil
	}
}

// Update applies changed targets. A replica that drains or is removed gets nothing that has not been written yet: the drain
// counts from its notification, and a part may have waited for its connection in the meantime. If a replica moved or
// restarted, nothing more is sent to the old address or process. The withdrawn parts never ran; the policy decides where
// they are sent next.
func (p *Pool) Update(changed []exchange.Target) {
	p.mu.Lock()
	var withdrawn []exchange.Result
	var unsent []*healthCheck
	sentBefore := map[*target][]string{}
	now := time.Now()
	for _, update := range changed {
		t := p.targets[update.Replica]
		if t == nil {
			t = &target{}
			p.targets[update.Replica] = t
		}
		if parts := t.recent.describe(now); t.State == policy.Up && update.State != policy.Up && len(parts) > 0 {
			sentBefore[t] = parts
		}
		moved := t.Address != "" && (t.Address != update.Address || !t.Started.Equal(update.Started))
		t.Target = update
		if update.State == policy.Up && !moved {
			continue
		}
		for _, rc := range t.conns {
			withdrawn = append(withdrawn, rc.withdrawUnwritten(policy.NotSent)...)
			unsent = append(unsent, rc.withdrawHealthChecks()...)
			rc.retire()
		}
		if update.State == policy.Removed && len(t.conns) == 0 {
			delete(p.targets, update.Replica)
		}
	}
	p.mu.Unlock()
	for t, parts := range sentBefore {
		p.logSentBeforeDrain(t, parts)
	}
	p.reportResults(withdrawn)
	for _, hc := range unsent {
		p.healthCheckEnded(hc, policy.NotSent, nil)
	}
}

// reportResults passes results to the sink. The pool's lock must not be held.
func (p *Pool) reportResults(results []exchange.Result) {
	for _, r := range results {
		p.sink.AttemptEnded(r)
	}
}

// Send queues attempts as one call to a replica. If no connection is available, they end as unreachable.
func (p *Pool) Send(replica uint64, call []*exchange.Attempt) {
	p.mu.Lock()
	t := p.targets[replica]
	var rc *replicaConn
	if t != nil && t.State == policy.Up {
		rc = p.chooseConn(t, call)
	}
	if rc == nil { // no connection is available, which counts as an unreachable replica
		p.mu.Unlock()
		p.log.Warn("no connection available for a call", logrus.Fields{"replica": replica})
		for _, a := range call {
			p.sink.AttemptEnded(exchange.Result{Attempt: a, Outcome: policy.Unreachable, At: time.Now()})
		}
		return
	}
	p.enqueue(rc, call)
	p.mu.Unlock()
}

// enqueue adds a call to the queue of a connection. The pool's lock is held.
func (p *Pool) enqueue(rc *replicaConn, call []*exchange.Attempt) {
	entries := make([]*pendingAttempt, len(call))
	for i, a := range call {
		entries[i] = &pendingAttempt{attempt: a, conn: rc}
		p.pending[a] = entries[i]
		rc.parts[a.ID] = entries[i]
	}
	rc.queue = append(rc.queue, entries)
	rc.wake()
}

// chooseConn selects the connection for a call: preferably an open one, then one that is being dialed, then a new one. A
// connection that is silent or blocked is used only if no more may be opened. Among open connections the order is: those
// without parts, those that are not suspect, those with the fewest parts, and the one that has been idle longest, because
// by then surplus data behind an earlier answer has shown up. The pool's lock is held.
func (p *Pool) chooseConn(t *target, call []*exchange.Attempt) *replicaConn {
	now := time.Now()
	var best *replicaConn
	rank := func(rc *replicaConn) int {
		switch {
		case rc.conn == nil:
			return 1
		case rc.blocked || rc.isSilent(now):
			return 2
		}
		return 0
	}
	dialing := false
	for _, rc := range t.conns {
		dialing = dialing || rc.conn == nil
		if !rc.hasCapacity(call, now) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(rank(rc), rank(best)), cmp.Compare(min(1, len(rc.parts)), min(1, len(best.parts))),
			cmp.Compare(rc.suspectRank(), best.suspectRank()), cmp.Compare(len(rc.parts), len(best.parts)),
			rc.idleSince.Compare(best.idleSince)) < 0 {
			best = rc
		}
	}
	if best != nil && rank(best) < 2 {
		// One malformed answer ends all parts on its connection, so parts share a connection only while others are
		// being dialed.
		if (len(best.parts) > 0 || best.suspectRank() > 0) && !dialing &&
			len(t.conns) < p.connsPerReplica() && p.openConns < p.limits.ReplicaLinks {
			p.openConn(t)
		}
		return best
	}
	if len(t.conns) < p.limits.PerReplica && (p.openConns < p.limits.ReplicaLinks || p.evictIdle(now)) {
		return p.openConn(t)
	}
	return best
}

// connsPerReplica returns how many connections to a replica are opened so that parts need not share one: at most the spread
// limit and the replica's share of all connections.
func (p *Pool) connsPerReplica() int {
	return min(p.limits.Spread, p.limits.ReplicaLinks/max(1, len(p.targets)))
}

// evictIdle retires the connection that has been idle longest so that another can be opened, and reports whether there was one.
func (p *Pool) evictIdle(now time.Time) bool {
	var oldest *replicaConn
	for _, t := range p.targets {
		for _, rc := range t.conns {
			if rc.conn != nil && rc.isIdle() && !rc.retired && (oldest == nil || rc.idleSince.Before(oldest.idleSince)) {
				oldest = rc
			}
		}
	}
	if oldest == nil {
		return false
	}
	oldest.retire()
	return true
}

// Cancel cancels an attempt; if it has been written, the replica is told. found is false if the attempt has ended; sent
// reports that it may have run.
func (p *Pool) Cancel(a *exchange.Attempt) (found, sent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pa := p.pending[a]
	if pa == nil {
		return false, false
	}
	if !pa.written {
		p.dropAttempt(pa)
		return true, false
	}
	rc := pa.conn
	if now := time.Now(); rc.isSilent(now) {
		rc.silent = true
	} else if !rc.lastReadAt.After(pa.writtenAt) && rc.suspectSince.IsZero() {
		rc.suspectSince = now
	}
	p.dropAttempt(pa)
	rc.expectLateAnswer(a.ID, time.Now())
	rc.cancels = append(rc.cancels, a.ID)
	rc.abortPartialFrame()
	rc.wake()
	return true, true
}

// CancelUnsent withdraws an attempt that has not been written, and reports whether it did. An attempt whose frame is partly
// written is not withdrawn, because the frame may be complete by now; the rest of its frame is withheld if possible.
func (p *Pool) CancelUnsent(a *exchange.Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pa := p.pending[a]
	switch {
	case pa == nil:
		return false
	case pa.written:
		pa.cancelled = true
		pa.conn.abortPartialFrame()
		return false
	}
	p.dropAttempt(pa)
	return true
}

// dropAttempt removes an attempt from the pool and its connection. The pool's lock is held.
func (p *Pool) dropAttempt(pa *pendingAttempt) {
	delete(p.pending, pa.attempt)
	delete(pa.conn.parts, pa.attempt.ID)
	if len(pa.conn.parts) == 0 {
		pa.conn.idleSince = time.Now()
	}
}

// CheckHealth sends a health check to a replica, which asks for the load if the replica reports it only this way.
func (p *Pool) CheckHealth(replica uint64) {
	p.mu.Lock()
	t := p.targets[replica]
	var rc *replicaConn
	if t != nil && t.State == policy.Up {
		rc = p.chooseConn(t, nil)
	}
	now := time.Now()
	if rc != nil {
		hc := &healthCheck{replica: replica, requestedAt: now}
		rc.healthChecks = append(rc.healthChecks, hc)
		rc.wake()
		time.AfterFunc(p.limits.ProbeTime, func() { p.healthCheckEnded(hc, policy.TimedOut, nil) })
	}
	p.mu.Unlock()
	if rc == nil {
		p.sink.HealthChecked(exchange.HealthCheck{Replica: replica, Outcome: policy.Unreachable, At: now})
	}
}

// healthCheck is a health check that has not been answered. Answers arrive in the order of the checks, so a check that has
// timed out stays in the list until its answer arrives.
type healthCheck struct {
	replica     uint64
	requestedAt time.Time
	written     bool
	ended       bool
}

// healthCheckEnded reports the result of a health check unless it has ended before.
func (p *Pool) healthCheckEnded(hc *healthCheck, o policy.Outcome, report []float64) {
	p.mu.Lock()
	alreadyEnded := hc.ended
	hc.ended = true
	p.mu.Unlock()
	if now := time.Now(); !alreadyEnded {
		p.sink.HealthChecked(exchange.HealthCheck{Replica: hc.replica, Outcome: o, At: now, Took: now.Sub(hc.requestedAt), Report: report})
	}
}

// Close retires all connections: each is closed once it is idle. The pool must not be used afterwards.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		for _, rc := range t.conns {
			rc.retire()
		}
	}
}
