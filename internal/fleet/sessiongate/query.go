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
	if class.Effect != policy.Safe { // only ids of queries that are not safe travel in frames, as their idempotency keys
		arrived.ID = completed.IDOf(q.ID)
	}
	g.mu.Lock()
	var query *gatedQuery
	if last := len(g.spareQueries) - 1; last >= 0 {
		query, g.spareQueries = g.spareQueries[last], g.spareQueries[:last]
		query.responded.Store(false)
	} else {
		query = new(gatedQuery)
	}
	g.lastToken++
	arrived.Token = g.lastToken
	query.token, query.query, query.effect, query.arrived, query.ended = g.lastToken, q, class.Effect, arrived, sessionowner.QueryEnded{}
	g.byQuery[q], g.byToken[query.token] = query, query
	g.inbox = append(g.inbox, &query.arrived)
	g.mu.Unlock()
	g.wakeUp()
	return true
}

// replicasFor returns the replicas that hold the shards of these parts. For a single shard it returns the table's own slice, else
// it makes one allocation.
func replicasFor(holders [][]string, parts []exchange.Part) []string {
	shards, total, single := 0, 0, []string(nil)
	for i := range parts {
		if shard := parts[i].Shard; shard < len(holders) {
			shards, total, single = shards+1, total+len(holders[shard]), holders[shard]
		}
	}
	if shards <= 1 {
		return single
	}
	all := make([]string, 0, total)
	for i := range parts {
		if shard := parts[i].Shard; shard < len(holders) {
			all = append(all, holders[shard]...)
		}
	}
	return all
}

var effects = map[policy.Effect]sessionowner.Effect{policy.Safe: sessionowner.Idempotent, policy.Keyed: sessionowner.Keyed, policy.Unsafe: sessionowner.NonIdempotent}

// MayBegin implements exchange.Gate. It checks the lease once more, because the process may have been suspended past its lease
// while a release was in the exchange's inbox.
func (g *Gate) MayBegin(q *exchange.Query) (exchange.Reply, bool) {
	g.mu.Lock()
	query := g.byQuery[q]
	g.mu.Unlock()
	if query == nil || !query.responded.Load() && g.now() < time.Duration(g.leaseUntil.Load()) {
		return exchange.Reply{}, true
	}
	return exchange.Reply{Status: exchange.Rejected, RetryAfter: g.retryAfter(sessionowner.RetryAfterWait)}, false
}

// FinalReply implements exchange.Gate. A served answer is given only if the lease is certain at this moment and the owner has not
// responded to the query. A new lease is published only after all rejections of the same step have been sent.
func (g *Gate) FinalReply(q *exchange.Query, r exchange.Reply) exchange.Reply {
	if r.Status != exchange.Served {
		return r
	}
	g.mu.Lock()
	query := g.byQuery[q]
	g.mu.Unlock()
	if query == nil || !query.responded.Load() && g.now() < time.Duration(g.leaseUntil.Load()) {
		return r
	}
	if query.effect != policy.Safe { // a keyed query's remaining window isn't checked here, so no retry can be offered
		return exchange.Reply{Status: exchange.Failed}
	}
	return exchange.Reply{Status: exchange.Rejected, RetryAfter: g.retryAfter(sessionowner.RetryAfterWait)}
}

// retryAfter limits a retry delay to the settings' maximum; 0 if the settings allow none.
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
	query := g.byQuery[q]
	if query == nil {
		return
	}
	delete(g.byQuery, q)
	delete(g.byToken, query.token)
	in := &query.ended
	in.Token, in.Responded = query.token, true
	switch {
	case o.Served:
		in.Outcome = sessionowner.Done
	case o.Ran:
		in.Outcome = sessionowner.MayHaveRun
	}
	if !o.MayRunUntil.IsZero() {
		in.BusyUntil = o.MayRunUntil.Sub(g.options.StartTime)
	}
	g.inbox, g.ended = append(g.inbox, in), append(g.ended, query)
	if g.hasWaiting { // else the next step processes it, which comes with the next query or within BusyInterval
		g.wakeUp()
	}
}
