package sessiongate

import (
	"hash/maphash"
	"slices"
	"time"

	"birchcart/internal/exchange"
	"birchcart/internal/fleet/completed"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionowner"
	"birchcart/policy"
)

// Admit implements exchange.Gate.
func (g *Gate) Admit(q *exchange.Query, route string) bool {
	r := g.rules.Load()
	if !r.classes[q.Class] || len(r.routes) > 0 && !slices.Contains(r.routes, route) {
		return false
	}
	class := &g.options.Policy.Classes[q.Class]
	var key [inlineKeySize]byte
	arrived := sessionowner.Arrived{
		Session: session.IDOf(q.Tenant, append(key[:0], q.Session...)), Client: maphash.String(g.seed, q.Client), Effect: effects[class.Effect], Lane: r.lanes[q.Tenant+1],
		Deadline: q.Due.Sub(g.options.StartTime), Window: time.Duration(class.Window * float64(time.Second)), Replicas: replicasFor(*g.holders.Load(), q.Parts),
	}
	if class.Effect != policy.Safe { // its id is its key: the frames carry it, and no other
		arrived.ID = completed.IDOf(q.ID)
	}
	g.mu.Lock()
	var n *gatedQuery
	if last := len(g.spareQueries) - 1; last >= 0 {
		n, g.spareQueries = g.spareQueries[last], g.spareQueries[:last]
		n.responded.Store(false)
	} else {
		n = new(gatedQuery)
	}
	g.lastToken++
	arrived.Token = g.lastToken
	n.token, n.query, n.effect, n.arrived, n.ended = g.lastToken, q, class.Effect, arrived, sessionowner.QueryEnded{}
	g.byQuery[q], g.byToken[n.token] = n, n
	g.inbox = append(g.inbox, &n.arrived)
	g.mu.Unlock()
	g.wakeUp()
	return true
}

// replicasFor are the replicas that hold the shards of these parts: those of the table for one shard, else in one piece of memory.
func replicasFor(held [][]string, parts []exchange.Part) []string {
	shards, many, one := 0, 0, []string(nil)
	for i := range parts {
		if at := parts[i].Shard; at < len(held) {
			shards, many, one = shards+1, many+len(held[at]), held[at]
		}
	}
	if shards <= 1 {
		return one
	}
	all := make([]string, 0, many)
	for i := range parts {
		if at := parts[i].Shard; at < len(held) {
			all = append(all, held[at]...)
		}
	}
	return all
}

var effects = map[policy.Effect]sessionowner.Effect{policy.Safe: sessionowner.Idempotent, policy.Keyed: sessionowner.Keyed, policy.Unsafe: sessionowner.NonIdempotent}

// MayBegin implements exchange.Gate: a release may lie in the inbox while the process is stopped, and what was sure when it was
// given need not be any more.
func (g *Gate) MayBegin(q *exchange.Query) (exchange.Reply, bool) {
	g.mu.Lock()
	n := g.byQuery[q]
	g.mu.Unlock()
	if n == nil || !n.responded.Load() && g.now() < time.Duration(g.leaseUntil.Load()) {
		return exchange.Reply{}, true
	}
	return exchange.Reply{Status: exchange.Rejected, RetryAfter: g.retryAfter(sessionowner.RetryAfterWait)}, false
}

// FinalReply implements exchange.Gate: an answer is given as served only while the lease is sure at this very moment and the
// owner has not given its response. The owner publishes a lease only after all responses of the one before.
func (g *Gate) FinalReply(q *exchange.Query, r exchange.Reply) exchange.Reply {
	if r.Status != exchange.Served {
		return r
	}
	g.mu.Lock()
	n := g.byQuery[q]
	g.mu.Unlock()
	if n == nil || !n.responded.Load() && g.now() < time.Duration(g.leaseUntil.Load()) {
		return r
	}
	if n.effect != policy.Safe { // of a keyed one nobody here looks at what is left of its window
		return exchange.Reply{Status: exchange.Failed}
	}
	return exchange.Reply{Status: exchange.Rejected, RetryAfter: g.retryAfter(sessionowner.RetryAfterWait)}
}

// retryAfter is a time to come back as the settings allow it.
func (g *Gate) retryAfter(d time.Duration) time.Duration {
	if !g.options.Policy.RetryAfter {
		return 0
	}
	return min(d, time.Duration(g.options.Policy.MaxRetryAfter*float64(time.Second)))
}

// QueryEnded implements exchange.Gate.
func (g *Gate) QueryEnded(q *exchange.Query, o exchange.QueryOutcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.byQuery[q]
	if n == nil {
		return
	}
	delete(g.byQuery, q)
	delete(g.byToken, n.token)
	in := &n.ended
	in.Token, in.Responded = n.token, true
	switch {
	case o.Served:
		in.Outcome = sessionowner.Done
	case o.Ran:
		in.Outcome = sessionowner.MayHaveRun
	}
	if !o.MayRunUntil.IsZero() {
		in.BusyUntil = o.MayRunUntil.Sub(g.options.StartTime)
	}
	g.inbox, g.ended = append(g.inbox, in), append(g.ended, n)
	if g.hasWaiting { // else the next step does: it comes with a query, or within BusyInterval
		g.wakeUp()
	}
}
