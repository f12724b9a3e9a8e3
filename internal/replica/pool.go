// Package replica is the client side: it dials replicas, sends them calls, and collects what comes back. A
// connection has one goroutine, which dials, writes and reads.
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

// Sink takes the outcome of attempts and health checks.
type Sink interface {
	AttemptEnded(exchange.Result)
	HealthChecked(exchange.HealthCheck)
}

// Pool holds the connections to all replicas. Its lock is held for bookkeeping only, never across I/O.
type Pool struct {
	limits               config.Limits
	reportNames          []string // names of the values in a load report
	reportsByHealthCheck bool     // load is reported to health checks only
	sink                 Sink
	log                  *logs.Limited
	dial                 func(ctx context.Context, address string) (*net.TCPConn, error)
	listPending          func() bool

	mu        sync.Mutex
	targets   map[uint64]*target
	pending   map[*exchange.Attempt]*pendingAttempt
	openConns int
}

// target is one replica.
type target struct {
	exchange.Target
	conns []*replicaConn
}

// attempt is one attempt that has not ended.
type pendingAttempt struct {
	attempt   *exchange.Attempt
	conn      *replicaConn
	requeued  bool             // waited on another connection before, which ended
	written   bool             // handed to the kernel, in part or whole
	cancelled bool             // its query is over; the rest of its frame need not go out
	frameEnd  int64            // then: where its frame ends among the bytes of the connection
	writtenAt time.Time        // and when
	answer    *exchange.Result // read, and reported once what came with it has been looked at
}

// New returns an empty pool.
func New(cfg *config.Config, sink Sink, log *logrus.Entry) *Pool {
	return &Pool{
		limits: cfg.Limits, reportNames: cfg.Policy.ReportNames, reportsByHealthCheck: cfg.Report == "on_probe", sink: sink,
		log: logs.Limit(log, cfg.Limits.LogEvery), targets: map[uint64]*target{},
		pending: map[*exchange.Attempt]*pendingAttempt{},
		dial:    dialer(cfg.Limits.ConnectTime), listPending: func() bool { return false },
	}
}

// HoldForList has no new part begin while a change of the list is pending: it counts as notified already, and may tell that the
// replica drains. It must be called before the first part is sent.
func (p *Pool) HoldForList(pending func() bool) { p.listPending = pending }

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

// Update takes changed targets. A replica that drains or is gone gets nothing that is not yet written: the
// drain counts from the telling, and a part may have waited for its connection meanwhile. Nor does one that moved
// or restarted get it at its old address or from its old process: the parts never ran, and go where the decisions
// send them now.
func (p *Pool) Update(changed []exchange.Target) {
	p.mu.Lock()
	var back []exchange.Result
	var unasked []*healthCheck
	for _, c := range changed {
		t := p.targets[c.Replica]
		if t == nil {
			t = &target{}
			p.targets[c.Replica] = t
		}
		moved := t.Address != "" && (t.Address != c.Address || !t.Started.Equal(c.Started))
		t.Target = c
		if c.State == policy.Up && !moved {
			continue
		}
		for _, l := range t.conns {
			back = append(back, l.withdrawUnwritten(policy.NotSent)...)
			unasked = append(unasked, l.withdrawHealthChecks()...)
			l.retire()
		}
		if c.State == policy.Removed && len(t.conns) == 0 {
			delete(p.targets, c.Replica)
		}
	}
	p.mu.Unlock()
	p.reportResults(back)
	for _, pr := range unasked {
		p.healthCheckEnded(pr, policy.NotSent, nil)
	}
}

func (p *Pool) reportResults(results []exchange.Result) {
	for _, r := range results {
		p.sink.AttemptEnded(r)
	}
}

// Send sends attempts as one call.
func (p *Pool) Send(replica uint64, call []*exchange.Attempt) {
	p.mu.Lock()
	t := p.targets[replica]
	var l *replicaConn
	if t != nil && t.State == policy.Up {
		l = p.chooseConn(t, call)
	}
	if l == nil { // nowhere to go: that a connection could not be had is what it comes to
		p.mu.Unlock()
		p.log.Warn("no connection for a call", logrus.Fields{"replica": replica})
		for _, a := range call {
			p.sink.AttemptEnded(exchange.Result{Attempt: a, Outcome: policy.Unreachable, At: time.Now()})
		}
		return
	}
	p.enqueue(l, call)
	p.mu.Unlock()
}

// enqueue has a call wait to be written on a connection.
func (p *Pool) enqueue(l *replicaConn, call []*exchange.Attempt) {
	entries := make([]*pendingAttempt, len(call))
	for i, a := range call {
		entries[i] = &pendingAttempt{attempt: a, conn: l}
		p.pending[a] = entries[i]
		l.parts[a.ID] = entries[i]
	}
	l.queue = append(l.queue, entries)
	l.wake()
}

// choose finds the connection for a call: an open one that is heard of, else one that is coming up, else a
// new one, and one that is silent, or takes no bytes for now, only where no more may be opened. Among open ones those go first on which nothing is
// out, of these the ones that have answered since, then the least loaded, then the one that has been idle longest:
// what comes late behind an answer shows by then.
func (p *Pool) chooseConn(t *target, call []*exchange.Attempt) *replicaConn {
	now := time.Now()
	var best *replicaConn
	rank := func(l *replicaConn) int {
		switch {
		case l.conn == nil:
			return 1
		case l.blocked || l.isSilent(now):
			return 2
		}
		return 0
	}
	coming := false
	for _, l := range t.conns {
		coming = coming || l.conn == nil
		if !l.hasCapacity(call, now) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(rank(l), rank(best)), cmp.Compare(min(1, len(l.parts)), min(1, len(best.parts))),
			cmp.Compare(l.suspectRank(), best.suspectRank()), cmp.Compare(len(l.parts), len(best.parts)),
			l.idleSince.Compare(best.idleSince)) < 0 {
			best = l
		}
	}
	if best != nil && rank(best) < 2 {
		// One answer that can't be read takes with it all that is out on its connection, so parts share one only
		// while others are coming up.
		if (len(best.parts) > 0 || best.suspectRank() > 0) && !coming && len(t.conns) < p.connsPerReplica() && p.openConns < p.limits.ReplicaLinks {
			p.openConn(t)
		}
		return best
	}
	if len(t.conns) < p.limits.PerReplica && (p.openConns < p.limits.ReplicaLinks || p.evictIdle(now)) {
		return p.openConn(t)
	}
	return best
}

// connsPerReplica is how many connections a replica gets so that parts need not share one: its part of all of them.
func (p *Pool) connsPerReplica() int {
	return min(p.limits.Spread, p.limits.ReplicaLinks/max(1, len(p.targets)))
}

// evict closes the connection that has stood idle longest, to make room for another.
func (p *Pool) evictIdle(now time.Time) bool {
	var oldest *replicaConn
	for _, t := range p.targets {
		for _, l := range t.conns {
			if l.conn != nil && l.isIdle() && !l.retired && (oldest == nil || l.idleSince.Before(oldest.idleSince)) {
				oldest = l
			}
		}
	}
	if oldest == nil {
		return false
	}
	oldest.retire()
	return true
}

// Cancel takes back an attempt: one that was sent is given up at the replica, too.
func (p *Pool) Cancel(a *exchange.Attempt) (found, sent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	en := p.pending[a]
	if en == nil {
		return false, false
	}
	if !en.written {
		p.dropAttempt(en)
		return true, false
	}
	l := en.conn
	if now := time.Now(); l.isSilent(now) {
		l.silent = true
	} else if !l.lastReadAt.After(en.writtenAt) && l.suspectSince.IsZero() {
		l.suspectSince = now
	}
	p.dropAttempt(en)
	l.expectLateAnswer(a.ID, time.Now())
	l.cancels = append(l.cancels, a.ID)
	l.abortPartialFrame()
	l.wake()
	return true, true
}

// CancelUnsent takes back an attempt that is not yet written. One whose frame waits in the middle for the replica to read on is
// not: it may be whole by now. But then the rest of its frame does not go out, if it can be helped.
func (p *Pool) CancelUnsent(a *exchange.Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	en := p.pending[a]
	switch {
	case en == nil:
		return false
	case en.written:
		en.cancelled = true
		en.conn.abortPartialFrame()
		return false
	}
	p.dropAttempt(en)
	return true
}

// dropAttempt takes an entry out of all books.
func (p *Pool) dropAttempt(en *pendingAttempt) {
	delete(p.pending, en.attempt)
	delete(en.conn.parts, en.attempt.ID)
	if len(en.conn.parts) == 0 {
		en.conn.idleSince = time.Now()
	}
}

// CheckHealth asks a replica for a sign of life, or for its load where that is the only way to it.
func (p *Pool) CheckHealth(replica uint64) {
	p.mu.Lock()
	t := p.targets[replica]
	var l *replicaConn
	if t != nil && t.State == policy.Up {
		l = p.chooseConn(t, nil)
	}
	now := time.Now()
	if l != nil {
		pr := &healthCheck{replica: replica, requestedAt: now}
		l.healthChecks = append(l.healthChecks, pr)
		l.wake()
		time.AfterFunc(p.limits.ProbeTime, func() { p.healthCheckEnded(pr, policy.TimedOut, nil) })
	}
	p.mu.Unlock()
	if l == nil {
		p.sink.HealthChecked(exchange.HealthCheck{Replica: replica, Outcome: policy.Unreachable, At: now})
	}
}

// healthCheck is one that is out. Answers come in the order of the questions, so one that is late keeps its place.
type healthCheck struct {
	replica     uint64
	requestedAt time.Time
	written     bool
	ended       bool
}

func (p *Pool) healthCheckEnded(pr *healthCheck, o policy.Outcome, report []float64) {
	p.mu.Lock()
	over := pr.ended
	pr.ended = true
	p.mu.Unlock()
	if now := time.Now(); !over {
		p.sink.HealthChecked(exchange.HealthCheck{Replica: pr.replica, Outcome: o, At: now, Took: now.Sub(pr.requestedAt), Report: report})
	}
}

// Close ends all connections; it is the last thing that a process does with them.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		for _, l := range t.conns {
			l.retire()
		}
	}
}
