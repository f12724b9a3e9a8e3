// Package lanes implements one co-ordinator's share of load shedding by priority lanes. Control computes the shed level, the
// fraction of all work that the fleet has to refuse, from the pressure that all members report. Gate admits or refuses each query
// by that level, the query's lane and its account's guarantee.
//
// The package is pure: the current time and the members' reports are passed in, and it uses no clock, goroutine or I/O.
package lanes

import (
	"math"
	"time"

	"birchcart/internal/fleet/laneconfig"
)

// Reason tells why a query was admitted or refused.
type Reason uint8

// Reasons for an admission or a refusal.
const (
	Free       Reason = iota // admitted: nothing is shed, or nothing of this account or key
	Guaranteed               // admitted within its account's guarantee
	Floor                    // admitted within the floor of its lane
	ClassFloor               // admitted within the floor of its class
	Borrowed                 // admitted beyond its account's guarantee, from the unused guarantees of other accounts
	Shed                     // refused: its lane is shed, or its account or key is shed in this slot
	OverLimit                // refused: its account is over its limit
	NumReasons
)

var reasonNames = [NumReasons]string{"free", "guaranteed", "floor", "class floor", "borrowed", "cut", "over most"}

func (r Reason) String() string { return reasonNames[min(r, NumReasons-1)] }

// Refused reports whether r is a reason for a refusal.
func (r Reason) Refused() bool { return r >= Shed }

// Query is an incoming query as the gate sees it.
type Query struct {
	Account   int // index in the set, -1 for none
	Class     int
	Key       uint64 // identifies the sender if there is no account; within a slot, all queries with the same key are shed or admitted alike
	Partition uint64 // partition of a large account, which is shed by partitions; 0 if the account is shed as a whole
	Cost      float64
	Retry     bool // the client repeats the query; it is counted as a retry and charged like any other
}

// Decision is the gate's answer to a query.
type Decision struct {
	Admitted       bool
	Reason         Reason
	Lane           int           // lane that the query counts towards: the last one if the query is beyond a guarantee or its lane's limit
	RetryAfter     time.Duration // of a refused query: when the client may retry; 0 to give no time
	PromiseDivisor float64       // of an admitted query, see policy.Limits
}

// WithinGuarantee reports whether the query was admitted within a guarantee, for pressure.Meter.
func (d *Decision) WithinGuarantee() bool { return d.Reason == Guaranteed }

// PartitionKey returns the key by which one partition of a key's queries is shed. Partition 0 stands for all of them.
func PartitionKey(key, partition uint64) uint64 { return key + partition*0x9e3779b97f4a7c15 }

// slotHash spreads keys evenly over all numbers, differently in each slot.
func slotHash(key, slot uint64) uint64 {
	x := key + (slot+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Admit admits or refuses a query. Only an admitted query is charged to buckets.
func (g *Gate) Admit(now time.Duration, q Query) Decision {
	now = g.advance(now)
	d := g.decide(now, &q)
	if d.Admitted = !d.Reason.Refused(); d.Admitted {
		g.charge(&q, &d)
	}
	g.counts.Queries[d.Lane][d.Reason]++
	g.counts.Cost[d.Lane][d.Reason] += q.Cost
	if q.Retry {
		g.counts.Retries++
	}
	g.auditor.observe(now, g, &q, &d)
	return d
}

// decide determines the decision on a query. It refills buckets but takes nothing out of them.
func (g *Gate) decide(now time.Duration, q *Query) (d Decision) {
	if !(q.Cost >= 0) || math.IsInf(q.Cost, 0) {
		q.Cost = 1
	}
	last := len(g.set.Lanes) - 1
	d.Lane, d.PromiseDivisor = last, 1
	key, guaranteed, overLimit := q.Key, false, false
	var a *account
	var config *laneconfig.Account
	rate := 0.0
	if q.Account >= 0 && q.Account < len(g.accounts) {
		a, config = &g.accounts[q.Account], &g.set.Accounts[q.Account]
		key, d.Lane, guaranteed = PartitionKey(config.Key, q.Partition), config.Lane, config.Guarantee > 0
		share := a.share
		if g.stale(now) {
			share = min(share, config.Guarantee/g.members)
		}
		if rate = share * g.capacity; rate > 0 && a.guaranteed.refill(now, rate, guaranteeBurst(rate)) > 0 {
			d.Reason = Guaranteed
			return d
		}
		if config.MaxShare > 0 {
			limitRate := g.limitRate(a, config)
			overLimit = a.limit.refill(now, limitRate, guaranteeBurst(limitRate)) <= 0
		}
	}
	if l := &g.lanes[d.Lane]; guaranteed || g.set.Lanes[d.Lane].MaxShare > 0 && l.limit.refill(now, l.limitRate, burstSize(l.limitRate)) <= 0 {
		d.Lane = last
	}
	l := &g.lanes[d.Lane]
	d.PromiseDivisor = l.promiseDivisor
	if g.level == 0 {
		return d
	}
	if overLimit {
		d.Reason, d.RetryAfter = OverLimit, g.retryAfter(now, q, -a.limit.tokens, g.limitRate(a, config))
		return d
	}
	if !l.shedAll && slotHash(key, g.slot) >= l.shedBelow {
		return d
	}
	if l.floor.refill(now, l.floorRate, burstSize(l.floorRate)) > 0 {
		d.Reason, d.PromiseDivisor = Floor, 1
		return d
	}
	if q.Class >= 0 && q.Class < len(g.classes) {
		if c := &g.classes[q.Class]; c.floor.refill(now, c.rate, burstSize(c.rate)) > 0 {
			d.Reason, d.PromiseDivisor = ClassFloor, 1
			return d
		}
	}
	if guaranteed && g.idle.refill(now, g.idleRate, idleBurstSeconds*g.idleRate) > 0 {
		d.Reason = Borrowed
		return d
	}
	d.Reason = Shed
	if d.RetryAfter = g.retryAfter(now, q, 0, 0); rate > 0 {
		d.RetryAfter = min(d.RetryAfter, g.retryAfter(now, q, max(0, -a.guaranteed.tokens), rate))
	}
	return d
}

// stale reports whether this co-ordinator counts as stalled, see StaleAfter.
func (g *Gate) stale(now time.Duration) bool { return now-g.levelSetAt > StaleAfter }

// limitRate is this co-ordinator's share of an account's limit: the same fraction as its share of the account's guarantee.
func (g *Gate) limitRate(a *account, config *laneconfig.Account) float64 {
	if config.Guarantee > 0 {
		return config.MaxShare * g.capacity * a.share / config.Guarantee
	}
	return config.MaxShare * g.capacity / g.members
}

// charge takes the cost of an admitted query out of each bucket that it counts towards.
func (g *Gate) charge(q *Query, d *Decision) {
	if q.Account >= 0 && q.Account < len(g.accounts) {
		a, config := &g.accounts[q.Account], &g.set.Accounts[q.Account]
		if d.Reason == Guaranteed {
			a.guaranteed.tokens -= q.Cost
		}
		if config.MaxShare > 0 {
			a.limit.spend(q.Cost, guaranteeBurst(g.limitRate(a, config)))
		}
	}
	l := &g.lanes[d.Lane]
	if g.set.Lanes[d.Lane].MaxShare > 0 {
		l.limit.spend(q.Cost, burstSize(l.limitRate))
	}
	if d.Reason == Guaranteed || g.level == 0 {
		return
	}
	// A query admitted for another reason also uses up the floors of its lane and class, but does not drive them below zero.
	l.floor.tokens = max(l.floor.tokens-q.Cost, min(l.floor.tokens, lowestFloorBalance(d.Reason == Floor, q.Cost)))
	if q.Class >= 0 && q.Class < len(g.classes) {
		c := &g.classes[q.Class]
		c.floor.tokens = max(c.floor.tokens-q.Cost, min(c.floor.tokens, lowestFloorBalance(d.Reason == ClassFloor, q.Cost)))
	}
	if d.Reason == Borrowed {
		g.idle.tokens -= q.Cost
	}
}

// lowestFloorBalance returns the balance down to which a floor may be charged: below zero only if this floor admitted the query.
func lowestFloorBalance(byFloor bool, cost float64) float64 {
	if byFloor {
		return -cost
	}
	return 0
}

// retryAfter returns when to retry a refused query: at the end of this slot or, if rate is over 0, when a bucket that lacks deficit
// has refilled. A pseudo-random part of a slot, or of that refill time, is added so that queries refused together do not return
// together. It returns 0 for classes whose refusals give no time.
func (g *Gate) retryAfter(now time.Duration, q *Query, deficit, rate float64) time.Duration {
	if q.Class >= 0 && q.Class < len(g.set.Classes) && !g.set.Classes[q.Class].SendRetryAfter {
		return 0
	}
	g.seq++
	fraction := float64(slotHash(q.Key, g.seq)>>11) / (1 << 53)
	wait, window := max(0, g.slotEnd-now).Seconds(), g.set.Slot.Seconds()
	if rate > 0 {
		wait = max(0.1, (deficit+min(1, q.Cost))/rate)
		window = wait
	}
	return time.Duration(min(wait+fraction*window, MaxRetryAfter.Seconds()) * float64(time.Second))
}

// MaxRetryAfter is the longest Decision.RetryAfter.
const MaxRetryAfter = time.Hour

// Counts returns the counts of queries so far.
func (g *Gate) Counts() Counts { return g.counts }
