package loadshed

import (
	"birchcart/internal/exchange"
	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/lanes"
)

const (
	// A key with more than 1/heavyDivisor of the recent cost is heavy.
	heavyDivisor = 8
	// partitionCount is the number of partitions that a heavy key is split into, by a hash of the query's ID.
	partitionCount = 64
	// decayFactor is the factor by which counted cost decreases at each step.
	decayFactor = 0.9

	// counterCount is the number of counters that keys are hashed to.
	counterCount = 64
)

// shedKeys derives the keys by which queries are shed. For the length of a slot, all co-ordinators shed the queries of the same
// keys. The key is that of the account, else of the tenant, else of the client's address. One key may have most of the traffic,
// such as the address of a gateway. Shedding all of it or none would miss the shed level, so a heavy key is split into partitions.
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
		key = lanes.PartitionKey(key, partitionOf(q))
	}
	return key
}

// accountPartition returns the partition of its account that a query belongs to, from 1; 0 if the account is not split.
func (c *shedKeys) accountPartition(account *laneconfig.Account, q *exchange.Query, cost float64) uint64 {
	if c.accounts.record(account.Key, cost) {
		return partitionOf(q)
	}
	return 0
}

func partitionOf(q *exchange.Query) uint64 { return laneconfig.HashName(q.ID)%partitionCount + 1 }

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
func (c *costCounters) record(key uint64, cost float64) bool {
	i := key % counterCount
	c.cost[i] += cost
	c.total += cost
	return c.cost[i]*heavyDivisor > c.total
}

func (c *costCounters) decay() {
	c.total *= decayFactor
	for i := range c.cost {
		c.cost[i] *= decayFactor
	}
}
