package loadshed

import (
	"birchcart/internal/exchange"
	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/lanes"
)

const (
	// A key with more than one part in heavyDivisor of the cost is heavy.
	heavyDivisor = 8
	// pieceCount is the number of pieces that a heavy key is split into, by a hash of the query's ID.
	pieceCount = 64
	// decayFactor is the factor by which counted cost decreases at each step.
	decayFactor = 0.9

	// counterCount is the number of counters that keys are hashed to.
	counterCount = 64
)

// shedKeys derives the keys by which queries are shed. For the length of a slot all co-ordinators either shed or admit all queries
// of a key. The key is that of the account, else of the tenant, else of the client's address. One of these may have most of the
// traffic, such as the address of a gateway; to shed all of it or none would not reach the shed level, so a heavy key is split into
// pieces.
type shedKeys struct {
	accounts  costCounters // by account, as part of the cost of all queries
	noAccount costCounters // by tenant or client, as part of the cost of queries without an account
}

// key returns the key of a query that has no account.
func (c *shedKeys) key(set *laneconfig.Set, q *exchange.Query, cost float64) uint64 {
	key := uint64(0)
	switch {
	case uint(q.Tenant) < uint(len(set.Tenants)):
		key = set.Tenants[q.Tenant]
	case q.Client != "":
		key = laneconfig.HashName(q.Client)
	default:
		return laneconfig.HashName(q.ID)
	}
	c.accounts.total += cost
	if c.noAccount.record(key, cost) {
		key = lanes.PieceKey(key, pieceOf(q))
	}
	return key
}

// accountPiece returns the piece of its account that a query belongs to, from 1; 0 if the account is not split.
func (c *shedKeys) accountPiece(account *laneconfig.Account, q *exchange.Query, cost float64) uint64 {
	if c.accounts.record(account.Key, cost) {
		return pieceOf(q)
	}
	return 0
}

func pieceOf(q *exchange.Query) uint64 { return laneconfig.HashName(q.ID)%pieceCount + 1 }

func (c *shedKeys) decay() {
	c.accounts.decay()
	c.noAccount.decay()
}

// costCounters counts recent cost by a hash of the key.
type costCounters struct {
	cost  [counterCount]float64
	total float64
}

// record counts a query and returns whether its key is heavy.
func (a *costCounters) record(key uint64, cost float64) bool {
	i := key % counterCount
	a.cost[i] += cost
	a.total += cost
	return a.cost[i]*heavyDivisor > a.total
}

func (a *costCounters) decay() {
	a.total *= decayFactor
	for i := range a.cost {
		a.cost[i] *= decayFactor
	}
}
