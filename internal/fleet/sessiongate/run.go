package sessiongate

import (
	"context"
	"time"

	"birchcart/internal/exchange"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionowner"
)

// Run steps the owner until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-timer.C:
		}
		if g.step() {
			timer.Reset(BusyInterval)
		} else {
			timer.Reset(IdleInterval)
		}
	}
}

// turn is what one step takes out of the gate's shared state.
type stepWork struct {
	inputs   []sessionowner.Input
	lease    sessionowner.Lease
	draining bool
	ended    int // the queries of Gate.ended of whose end the owner is notified in this turn
}

// step gives the owner all events, and carries out what it wants. It says whether something waits or runs.
func (g *Gate) step() (busy bool) {
	t := g.beginStep()
	g.stepInputs = t.inputs
	g.options.WithLock(g.stepOwner)
	clear(t.inputs) // what it holds is not needed any more
	acts := g.executeAll(g.stepOutputs, t.lease)
	if len(acts) > 0 {
		g.options.Propose(acts)
	}
	now, stats := g.now(), g.owner.Stats()
	g.checkInvariants(now)
	unsafe, asked := g.collectUnsafe(now)
	idle := g.collectIdle(now, t.draining)

	g.mu.Lock()
	defer g.mu.Unlock()
	if asked {
		g.unsafe, g.unsafeAsOf = unsafe, now
	}
	if idle != nil && g.draining {
		g.idle = idle
	}
	g.endStep(t)
	g.stats, g.awaitsAgreement = stats, len(acts) > 0 || stats.Waiting > 0
	g.hasWaiting = g.awaitsAgreement || t.draining
	if g.hasWaiting && len(g.ended) > 0 { // they came meanwhile
		g.wakeUp()
	}
	return stats.Waiting > 0 || stats.Open > 0 || len(acts) > 0
}

// beginStep takes the inputs that have come, with the agreed state and the lease if they have changed.
func (g *Gate) beginStep() stepWork {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := stepWork{inputs: g.inbox, lease: g.newLease, draining: g.draining, ended: len(g.ended)}
	g.inbox = g.spareInbox[:0]
	if g.stateChanged {
		t.inputs = append(t.inputs, sessionowner.Applied{State: g.options.Sessions, Index: g.index, AgreedTime: g.agreedTime, LogEpoch: g.logEpoch})
	}
	if g.leaseChanged {
		t.inputs = append(t.inputs, t.lease)
	}
	g.stateChanged, g.leaseChanged = false, false
	return t
}

// executeAll carries out the outputs of a step and returns the acts to be proposed. Rejections and cancellations go out before
// the lease is published, releases after it: Begin looks at both.
func (g *Gate) executeAll(outputs []sessionowner.Output, lease sessionowner.Lease) (acts []session.Act) {
	for _, o := range outputs {
		switch o := o.(type) {
		case sessionowner.Propose:
			acts = append(acts, o.Act)
		case sessionowner.Run:
		default:
			g.execute(o)
		}
	}
	until := time.Duration(0)
	if lease.Valid {
		until = lease.Until
	}
	g.leaseUntil.Store(int64(until))
	for _, o := range outputs {
		if r, ok := o.(sessionowner.Run); ok {
			g.execute(r)
		}
	}
	return acts
}

// checkInvariants logs, every CheckInterval, a rule of the owner that does not hold.
func (g *Gate) checkInvariants(now time.Duration) {
	if now < g.checkedAt+CheckInterval {
		return
	}
	g.checkedAt = now
	if err := g.owner.Check(); err != nil {
		g.options.Log.WithError(err).Error("a rule of the pinned sessions does not hold")
	}
}

// collectUnsafe lists, every ReportInterval, the sessions with an open unsafe query; false between.
func (g *Gate) collectUnsafe(now time.Duration) (unsafe []peerproto.UnsafeQuery, asked bool) {
	if now < g.unsafeListedAt+ReportInterval {
		return nil, false
	}
	g.unsafeListedAt, g.unsafeScratch = now, g.owner.Unsafe(g.unsafeScratch[:0], peerproto.MaxUnsafeQueries)
	for _, q := range g.unsafeScratch {
		unsafe = append(unsafe, peerproto.UnsafeQuery(q))
	}
	return unsafe, true
}

// collectIdle lists, every ReportInterval while this co-ordinator drains, the sessions without an open query; nil between.
func (g *Gate) collectIdle(now time.Duration, draining bool) (idle []session.ID) {
	if !draining || now < g.idleListedAt+ReportInterval {
		return nil
	}
	g.idleListedAt = now
	g.owner.Idle(func(id session.ID, _ time.Duration) bool {
		idle = append(idle, id)
		return len(idle) < peerproto.MaxIdleSessions
	})
	return idle
}

// endStep keeps the memory of a turn's inputs and ended queries for their next use. g.mu is held.
func (g *Gate) endStep(t stepWork) {
	if cap(t.inputs) <= maxPooled {
		g.spareInbox = t.inputs
	}
	for i, q := range g.ended[:t.ended] {
		q.query = nil
		if len(g.spareQueries) < maxPooled {
			g.spareQueries = append(g.spareQueries, q)
		}
		g.ended[i] = nil
	}
	g.ended = g.ended[:copy(g.ended, g.ended[t.ended:])]
}

// execute carries out one output of the owner.
func (g *Gate) execute(o sessionowner.Output) {
	find := func(token uint64) *gatedQuery {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.byToken[token]
	}
	switch o := o.(type) {
	case sessionowner.Run:
		if n := find(o.Token); n != nil {
			g.options.Exchange.Release(n.query)
		}
	case sessionowner.Reject:
		g.reject(find(o.Token), exchange.Reply{Status: exchange.Rejected, RetryAfter: g.retryAfter(o.RetryAfter), Owner: o.Owner})
	case sessionowner.Cancel:
		g.reject(find(o.Token), exchange.Reply{Status: exchange.Rejected, RetryAfter: g.retryAfter(o.RetryAfter), Owner: o.Owner})
	case sessionowner.Fail:
		g.reject(find(o.Token), exchange.Reply{Status: exchange.Failed})
	case sessionowner.Log:
		g.options.Log.Info(o.Text)
	}
}

// reject ends a query by the owner's response. From here on no served answer of it is given.
func (g *Gate) reject(n *gatedQuery, r exchange.Reply) {
	if n == nil {
		return
	}
	n.responded.Store(true)
	g.options.Exchange.Reject(n.query, r)
}
