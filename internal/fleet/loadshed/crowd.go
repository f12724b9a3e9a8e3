package loadshed

import (
	"birchcart/internal/exchange"
	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/lanes"
)

const (
	// heavyPart: who asks for over one part of so many is cut in pieces.
	heavyPart = 8
	// pieces of such a one, by its queries' ids.
	pieces = 64
	// crowdKeep of what was asked counts still after a step.
	crowdKeep = 0.9

	crowdPlaces = 64
)

// crowd tells what queries are cut by: the same is cut or not for a slot, by all co-ordinators. That is who asks: the account, else
// the tenant, else the client's address. But one of them may ask for most of the traffic, as what is behind a gateway's address does,
// and to cut all of it or nothing would be no level at all: such a one is cut by pieces.
type crowd struct {
	accounts askers // against all that is asked
	others   askers // against what is asked by those of no account
}

// key is what a query of no account is cut by.
func (c *crowd) key(set *laneconfig.Set, q *exchange.Query, cost float64) uint64 {
	key := uint64(0)
	switch {
	case uint(q.Tenant) < uint(len(set.Tenants)):
		key = set.Tenants[q.Tenant]
	case q.Client != "":
		key = laneconfig.Key(q.Client)
	default:
		return laneconfig.Key(q.ID)
	}
	c.accounts.all += cost
	if c.others.heavy(key, cost) {
		key = lanes.PieceKey(key, piece(q))
	}
	return key
}

// piece of its account that a query is cut with, from 1; 0 where the account is cut whole.
func (c *crowd) piece(account *laneconfig.Account, q *exchange.Query, cost float64) uint64 {
	if c.accounts.heavy(account.Key, cost) {
		return piece(q)
	}
	return 0
}

func piece(q *exchange.Query) uint64 { return laneconfig.Key(q.ID)%pieces + 1 }

func (c *crowd) fade() {
	c.accounts.fade()
	c.others.fade()
}

// askers counts what was asked of late, by a hash of who asks.
type askers struct {
	cost [crowdPlaces]float64
	all  float64
}

// heavy counts a query, and tells whether its asker is to be cut in pieces.
func (a *askers) heavy(key uint64, cost float64) bool {
	at := key % crowdPlaces
	a.cost[at] += cost
	a.all += cost
	return a.cost[at]*heavyPart > a.all
}

func (a *askers) fade() {
	a.all *= crowdKeep
	for i := range a.cost {
		a.cost[i] *= crowdKeep
	}
}
