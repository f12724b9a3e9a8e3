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

// stepWork is the input that one step takes from the state guarded by Gate.mu.
type stepWork struct {
	inputs   []sessionowner.Input
	lease    sessionowner.Lease
	draining bool
	ended    int // how many queries of Gate.ended are among the inputs
}

// step passes all pending inputs to the owner and executes its outputs. It reports whether something waits or runs.
func (g *Gate) step() (busy bool) {
	t := g.beginStep()
	g.stepInputs = t.inputs
	g.options.WithLock(g.stepOwner)
	clear(t.inputs) // releases the references
	acts := g.executeAll(g.stepOutputs, t.lease)
	if len(acts) > 0 {
		g.options.Propose(acts)
	}
	now, stats := g.now(), g.owner.Stats()
	g.checkInvariants(now)
	unsafe, listed := g.collectUnsafe(now)
	idle := g.collectIdle(now, t.draining)

	g.mu.Lock()
	defer g.mu.Unlock()
	if listed {
		g.unsafe, g.unsafeAsOf = unsafe, now
	}
	if idle != nil && g.draining {
		g.idle = idle
	}
	g.endStep(t)
	g.stats, g.awaitsAgreement = stats, len(acts) > 0 || stats.Waiting > 0
	g.hasWaiting = g.awaitsAgreement || t.draining
	if g.hasWaiting && len(g.ended) > 0 { // queries ended during this step
		g.wakeUp()
	}
	return stats.Waiting > 0 || stats.Open > 0 || len(acts) > 0
}

// beginStep takes the pending inputs, and adds the agreed state and the lease if they have changed.
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
// the lease is published, releases after it: MayBegin and FinalReply check both.
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

// checkInvariants checks the owner's invariants every CheckInterval and logs a violation.
func (g *Gate) checkInvariants(now time.Duration) {
	if now < g.checkedAt+CheckInterval {
		return
	}
	g.checkedAt = now
	if err := g.owner.Check(); err != nil {
		g.options.Log.WithError(err).Error("invariant of pinned sessions violated")
	}
}

// collectUnsafe lists the sessions with an open unsafe query. It returns false until ReportInterval has passed since the last list.
func (g *Gate) collectUnsafe(now time.Duration) (unsafe []peerproto.UnsafeQuery, listed bool) {
	if now < g.unsafeListedAt+ReportInterval {
		return nil, false
	}
	g.unsafeListedAt, g.unsafeScratch = now, g.owner.Unsafe(g.unsafeScratch[:0], peerproto.MaxUnsafeQueries)
	for _, q := range g.unsafeScratch {
		unsafe = append(unsafe, peerproto.UnsafeQuery(q))
	}
	return unsafe, true
}

// collectIdle lists the sessions without an open query while this co-ordinator drains. It returns nil until ReportInterval has
// passed since the last list.
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

// endStep keeps the memory of the step's inputs and ended queries for reuse. The caller holds g.mu.
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

// execute carries out one output of the owner. Proposals are collected by executeAll instead.
func (g *Gate) execute(o sessionowner.Output) {
	find := func(token uint64) *gatedQuery {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.byToken[token]
	}
	switch o := o.(type) {
	case sessionowner.Run:
		if query := find(o.Token); query != nil {
			g.options.Exchange.Release(query.query)
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

// reject ends a query with the owner's response. After that FinalReply no longer allows a served answer.
func (g *Gate) reject(query *gatedQuery, r exchange.Reply) {
	if query == nil {
		return
	}
	query.responded.Store(true)
	g.options.Exchange.Reject(query.query, r)
}
