package loadshed

import (
	"birchcart/internal/exchange"
	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/lanes"
)

const (
	// heavyDivisor: who asks for over one part of so many is cut in pieces.
	heavyDivisor = 8
	// pieceCount of such a one, by its queries' ids.
	pieceCount = 64
	// decayFactor of what was asked counts still after a step.
	decayFactor = 0.9

	counterCount = 64
)

// shedKeys tells what queries are cut by: the same is cut or not for a slot, by all co-ordinators. That is who asks: the account, else
// the tenant, else the client's address. But one of them may ask for most of the traffic, as what is behind a gateway's address does,
// and to cut all of it or nothing would be no level at all: such a one is cut by pieces.
type shedKeys struct {
	accounts  costCounters // against all that is asked
	noAccount costCounters // against what is asked by those of no account
}

// key is what a query of no account is cut by.
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
		key = lanes.PartitionKey(key, pieceOf(q))
	}
	return key
}

// pieceOf of its account that a query is cut with, from 1; 0 where the account is cut whole.
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

// costCounters counts what was asked of late, by a hash of who asks.
type costCounters struct {
	cost  [counterCount]float64
	total float64
}

// record counts a query, and tells whether its asker is to be cut in pieces.
func (a *costCounters) record(key uint64, cost float64) bool {
	at := key % counterCount
	a.cost[at] += cost
	a.total += cost
	return a.cost[at]*heavyDivisor > a.total
}

func (a *costCounters) decay() {
	a.total *= decayFactor
	for i := range a.cost {
		a.cost[i] *= decayFactor
	}
}
