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

// Pinned implements exchange.Pins.
func (p *Pins) Pinned(q *exchange.Query, route string) bool {
	r := p.file.Load()
	if !r.classes[q.Class] || len(r.routes) > 0 && !slices.Contains(r.routes, route) {
		return false
	}
	class := &p.o.Policy.Classes[q.Class]
	var key [keyRoom]byte
	arrived := sessionowner.Arrived{
		Session: session.IDOf(q.Tenant, append(key[:0], q.Session...)), Client: maphash.String(p.seed, q.Client), Effect: effects[class.Effect], Lane: r.lanes[q.Tenant+1],
		Due: q.Due.Sub(p.o.Start), Window: time.Duration(class.Window * float64(time.Second)), Needs: needs(*p.holders.Load(), q.Parts),
	}
	if class.Effect != policy.Safe { // its id is its key: the frames carry it, and no other
		arrived.ID = completed.IDOf(q.ID)
	}
	p.mu.Lock()
	var n *pin
	if last := len(p.free) - 1; last >= 0 {
		n, p.free = p.free[last], p.free[:last]
		n.told.Store(false)
	} else {
		n = new(pin)
	}
	p.last++
	arrived.Token = p.last
	n.token, n.q, n.effect, n.arrived, n.ended = p.last, q, class.Effect, arrived, sessionowner.Ended{}
	p.by[q], p.tokens[n.token] = n, n
	p.in = append(p.in, &n.arrived)
	p.mu.Unlock()
	p.nudge()
	return true
}

// needs are the replicas that hold the shards of these parts: those of the table for one shard, else in one piece of memory.
func needs(held [][]string, parts []exchange.Part) []string {
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

var effects = map[policy.Effect]sessionowner.Effect{policy.Safe: sessionowner.Safe, policy.Keyed: sessionowner.Keyed, policy.Unsafe: sessionowner.Unsafe}

// Begin implements exchange.Pins: a release may lie in the inbox while the process is stopped, and what was sure when it was
// given need not be any more.
func (p *Pins) Begin(q *exchange.Query) (exchange.Reply, bool) {
	p.mu.Lock()
	n := p.by[q]
	p.mu.Unlock()
	if n == nil || !n.told.Load() && p.now() < time.Duration(p.lease.Load()) {
		return exchange.Reply{}, true
	}
	return exchange.Reply{Status: exchange.Refused, After: p.after(sessionowner.BackLater)}, false
}

// Final implements exchange.Pins: an answer is given as served only while the lease is sure at this very moment and the
// keeper has not given its word. The keeper publishes a lease only after all words of the one before.
func (p *Pins) Final(q *exchange.Query, r exchange.Reply) exchange.Reply {
	if r.Status != exchange.Served {
		return r
	}
	p.mu.Lock()
	n := p.by[q]
	p.mu.Unlock()
	if n == nil || !n.told.Load() && p.now() < time.Duration(p.lease.Load()) {
		return r
	}
	if n.effect != policy.Safe { // of a keyed one nobody here looks at what is left of its window
		return exchange.Reply{Status: exchange.Failed}
	}
	return exchange.Reply{Status: exchange.Refused, After: p.after(sessionowner.BackLater)}
}

// after is a time to come back as the settings allow it.
func (p *Pins) after(d time.Duration) time.Duration {
	if !p.o.Policy.RetryAfter {
		return 0
	}
	return min(d, time.Duration(p.o.Policy.MaxRetryAfter*float64(time.Second)))
}

// Over implements exchange.Pins.
func (p *Pins) Over(q *exchange.Query, o exchange.Over) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.by[q]
	if n == nil {
		return
	}
	delete(p.by, q)
	delete(p.tokens, n.token)
	in := &n.ended
	in.Token, in.Told = n.token, true
	switch {
	case o.Served:
		in.Outcome = sessionowner.Done
	case o.Ran:
		in.Outcome = sessionowner.MayHaveRun
	}
	if !o.Until.IsZero() {
		in.Until = o.Until.Sub(p.o.Start)
	}
	p.in, p.ended = append(p.in, in), append(p.ended, n)
	if p.waits { // else the next step does: it comes with a query, or within StepBusy
		p.nudge()
	}
}
