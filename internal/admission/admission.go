// Package admission is what operators may set before the decisions: rates by route and tenant, room by route, and a
// budget of retries by client. It is pure; time comes with each call and must not go back. Nothing waits here: a query
// is taken or refused at once, with the reason and a time to come back that spreads the returners.
//
// It never refuses what was taken, and it knows nothing of replicas.
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"
)

// Rule is what holds for one route; 0 is no bound.
type Rule struct {
	Queries   int     // open at once
	Borrow    bool    // idle room of other routes may be used, but for half of each one's own
	Rate      float64 // queries a second, by tenant
	Burst     int     // at least 1 where there is a rate
	RetryRate float64 // marked retries a second, by client key
}

// Reason of a refusal.
type Reason uint8

// Reasons of admission: Taken admits the query, each other one rejects it.
const (
	Admitted     Reason = iota
	RateLimited         // its rate
	NoCapacity          // its room
	RetryLimited        // its client's budget of retries
)

// Reasons names them in logs.
var Reasons = [...]string{"taken", "rate", "room", "retries"}

// Decision is what is said of one query.
type Decision struct {
	Reason Reason
	After  time.Duration // refused: when to come back
}

const (
	maxClients         = 4096                   // retryBudget keys remembered; beyond, the ones idle longest are forgotten
	retryBurst         = 3                      // retries of one client that may come at once: an app's three tries
	capacityRetryAfter = 250 * time.Millisecond // the middle of the times named where room lacks: some queries' length
	jitterShare        = 0.5                    // of a named time, either way, by chance
)

// Gate is the state of all routes.
type Gate struct {
	rules   []Rule
	buckets [][]*rate.Limiter // by route and tenant
	open    []int             // by route
	clients *simplelru.LRU[client, *rate.Limiter]
	rng     *rand.Rand
}

type client struct {
	route int
	key   string
}

// New returns a gate for these routes and so many tenants.
func New(rules []Rule, tenants int, seed uint64) *Gate {
	clients, err := simplelru.NewLRU[client, *rate.Limiter](maxClients, nil)
	if err != nil {
		panic("admission: " + err.Error()) // of a size that is not over 0
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

// Admit decides on a query of a route and a tenant (-1 for none); key names its client for the budget of retries. One
// that is taken counts as open until Done.
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

// Release gives back the room of one query that was taken.
func (g *Gate) Release(route int) { g.open[route]-- }

// Open is how many queries of a route are open.
func (g *Gate) Open(route int) int { return g.open[route] }

// hasCapacity tells whether one more may open: within the route's own room, or in what others leave idle. Half of each
// lender's room stays its own, so that a lender that comes back finds some at once.
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

// retryBudget finds a client's budget of retries. The number of those remembered is bounded; the one idle longest goes first.
func (g *Gate) retryBudget(c client, perSecond float64) *rate.Limiter {
	b, ok := g.clients.Get(c)
	if !ok {
		b = rate.NewLimiter(rate.Limit(perSecond), retryBurst)
		g.clients.Add(c, b)
	}
	return b
}

// jitter spreads the returners around a time.
func (g *Gate) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*g.rng.Float64()))
}
