// Package lanes is one co-ordinator's part of load shedding by priority: Control finds the share of the work that the fleet
// has to refuse, from the pressure that all members report, and Gate admits or refuses each query by its lane and its account's
// guarantee. It is pure: times and the members' reports come in, there is no clock, goroutine or I/O.
package lanes

import (
	"math"
	"time"

	"birchcart/internal/fleet/laneconfig"
)

// Reason is why a query was admitted or refused.
type Reason uint8

// NumReasons for an admission or a refusal.
const (
	Free       Reason = iota // nothing is shed, or not of it
	Guaranteed               // within its account's guarantee
	Floor                    // its lane's
	ClassFloor               // its class's
	Borrowed                 // beyond its guarantee, from what others leave idle of theirs
	Shed                     // refused: its lane, or its account in this slot, is shed
	OverLimit                // refused: its account is over its most
	NumReasons
)

var reasonNames = [NumReasons]string{"free", "guaranteed", "floor", "class floor", "borrowed", "cut", "over most"}

func (r Reason) String() string { return reasonNames[min(r, NumReasons-1)] }

// Refused tells whether it is a reason to refuse.
func (r Reason) Refused() bool { return r >= Shed }

// Query is a query that comes.
type Query struct {
	Account   int // its place in the set, -1 for none
	Class     int
	Key       uint64 // of who asks, where it is of no account: all it asks is cut or not for a slot
	Partition uint64 // of its account, which is cut by pieces; 0: it is cut whole
	Cost      float64
	Retry     bool // a repeat: it is counted, and charged as any
}

// Decision is the word on it.
type Decision struct {
	Admitted       bool
	Reason         Reason
	Lane           int           // that it counts as of: not its account's where it is beyond a guarantee or the lane's most
	RetryAfter     time.Duration // refused: when to come back; 0 for no advice
	PromiseDivisor float64       // admitted: see policy.Limits
}

// WithinGuarantee tells whether it was within a guarantee, for the Meter.
func (v *Decision) WithinGuarantee() bool { return v.Reason == Guaranteed }

// PartitionKey is what a piece of those with a key is cut by; piece 0 is all of them.
func PartitionKey(key, partition uint64) uint64 { return key + partition*0x9e3779b97f4a7c15 }

// slotHash spreads a key evenly over all numbers, another way in each slot.
func slotHash(key, slot uint64) uint64 {
	x := key + (slot+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Admit decides on a query. What it refuses is charged nothing.
func (g *Gate) Admit(now time.Duration, q Query) Decision {
	now = g.advance(now)
	v := g.decide(now, &q)
	if v.Admitted = !v.Reason.Refused(); v.Admitted {
		g.charge(&q, &v)
	}
	g.counts.Queries[v.Lane][v.Reason]++
	g.counts.Cost[v.Lane][v.Reason] += q.Cost
	if q.Retry {
		g.counts.Retries++
	}
	g.auditor.observe(now, g, &q, &v)
	return v
}

// decide fills buckets and takes nothing out.
func (g *Gate) decide(now time.Duration, q *Query) (v Decision) {
	if !(q.Cost >= 0) || math.IsInf(q.Cost, 0) {
		q.Cost = 1
	}
	last := len(g.set.Lanes) - 1
	v.Lane, v.PromiseDivisor = last, 1
	key, guaranteed, overLimit := q.Key, false, false
	var a *account
	var config *laneconfig.Account
	rate := 0.0
	if q.Account >= 0 && q.Account < len(g.accounts) {
		a, config = &g.accounts[q.Account], &g.set.Accounts[q.Account]
		key, v.Lane, guaranteed = PartitionKey(config.Key, q.Partition), config.Lane, config.Guarantee > 0
		share := a.share
		if g.stale(now) {
			share = min(share, config.Guarantee/g.members)
		}
		if rate = share * g.capacity; rate > 0 && a.guaranteed.refill(now, rate, guaranteeBurst(rate)) > 0 {
			v.Reason = Guaranteed
			return v
		}
		if config.MaxShare > 0 {
			limitRate := g.limitRate(a, config)
			overLimit = a.limit.refill(now, limitRate, guaranteeBurst(limitRate)) <= 0
		}
	}
	if l := &g.lanes[v.Lane]; guaranteed || g.set.Lanes[v.Lane].MaxShare > 0 && l.limit.refill(now, l.limitRate, burstSize(l.limitRate)) <= 0 {
		v.Lane = last
	}
	l := &g.lanes[v.Lane]
	v.PromiseDivisor = l.promiseDivisor
	if g.level == 0 {
		return v
	}
	if overLimit {
		v.Reason, v.RetryAfter = OverLimit, g.retryAfter(now, q, -a.limit.tokens, g.limitRate(a, config))
		return v
	}
	if !l.shedAll && slotHash(key, g.slot) >= l.shedBelow {
		return v
	}
	if l.floor.refill(now, l.floorRate, burstSize(l.floorRate)) > 0 {
		v.Reason, v.PromiseDivisor = Floor, 1
		return v
	}
	if q.Class >= 0 && q.Class < len(g.classes) {
		if c := &g.classes[q.Class]; c.floor.refill(now, c.rate, burstSize(c.rate)) > 0 {
			v.Reason, v.PromiseDivisor = ClassFloor, 1
			return v
		}
	}
	if guaranteed && g.idle.refill(now, g.idleRate, idleBurstSeconds*g.idleRate) > 0 {
		v.Reason = Borrowed
		return v
	}
	v.Reason = Shed
	if v.RetryAfter = g.retryAfter(now, q, 0, 0); rate > 0 {
		v.RetryAfter = min(v.RetryAfter, g.retryAfter(now, q, max(0, -a.guaranteed.tokens), rate))
	}
	return v
}

// stale says that this co-ordinator has stood still since the last Level.
func (g *Gate) stale(now time.Duration) bool { return now-g.levelSetAt > StaleAfter }

// limitRate is the own part of an account's most: as large as that of its guarantee.
func (g *Gate) limitRate(a *account, config *laneconfig.Account) float64 {
	if config.Guarantee > 0 {
		return config.MaxShare * g.capacity * a.share / config.Guarantee
	}
	return config.MaxShare * g.capacity / g.members
}

// charge takes an admitted query out of each bucket that it counts in.
func (g *Gate) charge(q *Query, v *Decision) {
	if q.Account >= 0 && q.Account < len(g.accounts) {
		a, config := &g.accounts[q.Account], &g.set.Accounts[q.Account]
		if v.Reason == Guaranteed {
			a.guaranteed.tokens -= q.Cost
		}
		if config.MaxShare > 0 {
			a.limit.spend(q.Cost, guaranteeBurst(g.limitRate(a, config)))
		}
	}
	l := &g.lanes[v.Lane]
	if g.set.Lanes[v.Lane].MaxShare > 0 {
		l.limit.spend(q.Cost, burstSize(l.limitRate))
	}
	if v.Reason == Guaranteed || g.level == 0 {
		return
	}
	// What a lane or class has anyhow counts for its floor, but leaves it no debt.
	l.floor.tokens = max(l.floor.tokens-q.Cost, min(l.floor.tokens, lowestFloorBalance(v.Reason == Floor, q.Cost)))
	if q.Class >= 0 && q.Class < len(g.classes) {
		c := &g.classes[q.Class]
		c.floor.tokens = max(c.floor.tokens-q.Cost, min(c.floor.tokens, lowestFloorBalance(v.Reason == ClassFloor, q.Cost)))
	}
	if v.Reason == Borrowed {
		g.idle.tokens -= q.Cost
	}
}

// lowestFloorBalance is down to where a floor may be charged.
func lowestFloorBalance(byFloor bool, cost float64) float64 {
	if byFloor {
		return -cost
	}
	return 0
}

// retryAfter is a time to come back: when this slot is over, or a bucket that lacks so much has some again; spread over a slot or
// over as long again, so that those who are refused together don't come together.
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

// MaxRetryAfter is the longest time to come back.
const MaxRetryAfter = time.Hour

// Counts gives what was counted.
func (g *Gate) Counts() Counts { return g.counts }
