package loadshed

import (
	"birchcart/internal/exchange"
	"birchcart/internal/fleet/laneconfig"
)

const (
	// heavyPart: who has over one part of so many of what is asked by no account is cut in pieces. Twice as many: smaller ones are
	// half served where they could be served or not; half: what is cut is off the level by a fourth.
	heavyPart = 8
	// pieces of such a one, by its queries' ids. Twice or half: the cut is off by a half or by twice a hundredth.
	pieces = 64
	// crowdKeep of what was asked counts still after a step. Nearer to 1: a new crowd is cut whole for longer; further: chance makes some heavy.
	crowdKeep = 0.9

	crowdPlaces = 64
)

// crowd tells what queries of no account are cut by: the same is cut or not for a slot, by all co-ordinators. That is who asks, its
// tenant or else its address. But behind one name may be most of the traffic, as behind a gateway's address, and to cut all
// of it or nothing would be no level at all: such a one is cut by pieces.
type crowd struct {
	cost [crowdPlaces]float64 // by hash
	all  float64
}

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
	at := key % crowdPlaces
	c.cost[at] += cost
	if c.all += cost; c.cost[at]*heavyPart > c.all {
		key += (laneconfig.Key(q.ID)%pieces + 1) * 0x9e3779b97f4a7c15
	}
	return key
}

func (c *crowd) fade() {
	c.all *= crowdKeep
	for i := range c.cost {
		c.cost[i] *= crowdKeep
	}
}
