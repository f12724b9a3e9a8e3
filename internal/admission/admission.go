// Package admission enforces the limits that operators set for routes, before package policy sees a query: a rate by
// route and tenant, a number of open queries by route, and a retry budget by client. It reads no clock; the caller passes
// the time with each call, and it must not go back. Queries are not queued here: each is admitted or refused at once, a
// refusal with its reason and a jittered retry delay.
//
// The package never refuses a query that it has admitted, and replicas play no role in it.
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"
)

// Rule holds the limits of one route; 0 means no limit.
type Rule struct {
	Queries   int     // number of queries that may be open at once
	Borrow    bool    // may use idle capacity of other routes, up to half of each one's Queries
	Rate      float64 // queries per second, by tenant
	Burst     int     // number of queries admitted at once; at least 1 if there is a rate
	RetryRate float64 // retries per second, by client key; only queries marked as retries count
}

// Reason says whether a query is admitted, or why it is refused.
type Reason uint8

// The reasons of a Decision: Admitted admits the query, all others refuse it.
const (
	Admitted     Reason = iota
	RateLimited         // over the rate of its route and tenant
	NoCapacity          // its route has no capacity for another open query
	RetryLimited        // over the retry budget of its client
)

// Reasons are the names of the reasons in logs.
var Reasons = [...]string{"taken", "rate", "room", "retries"}

// Decision is the result for one query.
type Decision struct {
	Reason Reason
	After  time.Duration // if refused: the delay after which to retry
}

const (
	maxClients         = 4096                   // client keys held; the least recently used are evicted
	retryBurst         = 3                      // retries of one client at once: applications commonly try three times
	capacityRetryAfter = 250 * time.Millisecond // mean retry delay without capacity: about as long as some queries take
	jitterShare        = 0.5                    // retry delays vary at random by this share up and down
)

// Gate holds the admission state of all routes.
type Gate struct {
	rules   []Rule
	buckets [][]*rate.Limiter // by route and tenant; index 0 is for no tenant
	open    []int             // by route
	clients *simplelru.LRU[client, *rate.Limiter]
	rng     *rand.Rand
}

type client struct {
	route int
	key   string
}

// New returns a gate with one rule per route, for the given number of tenants.
func New(rules []Rule, tenants int, seed uint64) *Gate {
	clients, err := simplelru.NewLRU[client, *rate.Limiter](maxClients, nil)
	if err != nil {
		panic("admission: " + err.Error()) // only for a size that is not positive
	}
	g := &Gate{rules: rules, open: make([]int, len(rules)), clients: clients, rng: rand.New(rand.NewPCG(seed, 1))}
	for _, r := range rules {
		row := make([]*rate.Limiter, tenants+1)
		if r.Rate > 0 {
			for i := range row {
				row[i] = rate.NewLimiter(rate.Limit(r.Rate), max(1, r.Burst))
			}
		}
		g.buckets = append(g.buckets, row)
	}
	return g
}

// Admit decides on a query of a route and a tenant (-1 for none). key identifies its client for the retry budget. An
// admitted query counts as open until Release.
func (g *Gate) Admit(now time.Time, route, tenant int, key string, retry bool) Decision {
	r := &g.rules[route]
	if !g.hasCapacity(route) {
		return Decision{NoCapacity, g.jitter(capacityRetryAfter)}
	}
	if retry && r.RetryRate > 0 && !g.retryBudget(client{route, key}, r.RetryRate).AllowN(now, 1) {
		return Decision{RetryLimited, g.jitter(time.Duration(float64(time.Second) / r.RetryRate))}
	}
	if b := g.buckets[route][tenant+1]; b != nil && !b.AllowN(now, 1) {
		lack := 1 - b.TokensAt(now)
		return Decision{RateLimited, g.jitter(time.Duration(lack / r.Rate * float64(time.Second)))}
	}
	g.open[route]++
	return Decision{}
}

// Release must be called when an admitted query of the route has ended.
func (g *Gate) Release(route int) { g.open[route]-- }

// Open returns the number of open queries of a route.
func (g *Gate) Open(route int) int { return g.open[route] }

// hasCapacity reports whether another query of the route may open: within its own limit, or with idle capacity of other
// routes. Half of each lender's capacity is not lent, so that a lender whose traffic returns has some at once.
func (g *Gate) hasCapacity(route int) bool {
	r := &g.rules[route]
	if r.Queries == 0 || g.open[route] < r.Queries {
		return true
	}
	if !r.Borrow {
		return false
	}
	idle := 0
	for i := range g.rules {
		if o := &g.rules[i]; i != route && o.Queries > 0 {
			idle += max(0, o.Queries/2-g.open[i])
		}
	}
	return g.open[route]-r.Queries < idle
}

// retryBudget returns the retry budget of a client. The number of budgets held is limited; the least recently used one is
// evicted first.
func (g *Gate) retryBudget(c client, perSecond float64) *rate.Limiter {
	b, ok := g.clients.Get(c)
	if !ok {
		b = rate.NewLimiter(rate.Limit(perSecond), retryBurst)
		g.clients.Add(c, b)
	}
	return b
}

// jitter varies a retry delay at random, so that refused clients do not all retry at the same time.
func (g *Gate) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*g.rng.Float64()))
}
