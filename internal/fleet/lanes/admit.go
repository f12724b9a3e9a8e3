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

// Reasons for an admission or a refusal.
const (
	Free       Reason = iota // nothing is shed, or not of it
	Guaranteed               // within its account's guarantee
	Floor                    // its lane's
	ClassFloor               // its class's
	Borrowed                 // beyond its guarantee, from what others leave idle of theirs
	Cut                      // refused: its lane, or its account in this slot, is shed
	OverMost                 // refused: its account is over its most
	Reasons
)

var reasons = [Reasons]string{"free", "guaranteed", "floor", "class floor", "borrowed", "cut", "over most"}

func (r Reason) String() string { return reasons[min(r, Reasons-1)] }

// Refused tells whether it is a reason to refuse.
func (r Reason) Refused() bool { return r >= Cut }

// Ask is a query that comes.
type Ask struct {
	Account int // its place in the set, -1 for none
	Class   int
	Key     uint64 // of who asks, where it is of no account: all it asks is cut or not for a slot
	Piece   uint64 // of its account, which is cut by pieces; 0: it is cut whole
	Cost    float64
	Retry   bool // a repeat: it is counted, and charged as any
}

// Verdict is the word on it.
type Verdict struct {
	Admitted bool
	How      Reason
	Lane     int           // that it counts as of: not its account's where it is beyond a guarantee or the lane's most
	After    time.Duration // refused: when to come back; 0 for no advice
	YieldBy  float64       // admitted: see policy.Limits
}

// Sure tells whether it was within a guarantee, for the Meter.
func (v *Verdict) Sure() bool { return v.How == Guaranteed }

// PieceKey is what a piece of those with a key is cut by; piece 0 is all of them.
func PieceKey(key, piece uint64) uint64 { return key + piece*0x9e3779b97f4a7c15 }

// mix spreads a key evenly over all numbers, another way in each slot.
func mix(key, slot uint64) uint64 {
	x := key + (slot+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Admit decides on a query. What it refuses is charged nothing.
func (g *Gate) Admit(now time.Duration, q Ask) Verdict {
	now = g.turn(now)
	v := g.judge(now, &q)
	if v.Admitted = !v.How.Refused(); v.Admitted {
		g.charge(&q, &v)
	}
	g.counts.Queries[v.Lane][v.How]++
	g.counts.Cost[v.Lane][v.How] += q.Cost
	if q.Retry {
		g.counts.Retries++
	}
	g.books.seen(now, g, &q, &v)
	return v
}

// judge fills buckets and takes nothing out.
func (g *Gate) judge(now time.Duration, q *Ask) (v Verdict) {
	if !(q.Cost >= 0) || math.IsInf(q.Cost, 0) {
		q.Cost = 1
	}
	last := len(g.set.Lanes) - 1
	v.Lane, v.YieldBy = last, 1
	key, guaranteed, overMost := q.Key, false, false
	var a *account
	var of *laneconfig.Account
	rate := 0.0
	if q.Account >= 0 && q.Account < len(g.accounts) {
		a, of = &g.accounts[q.Account], &g.set.Accounts[q.Account]
		key, v.Lane, guaranteed = PieceKey(of.Key, q.Piece), of.Lane, of.Guarantee > 0
		share := a.share
		if g.stale(now) {
			share = min(share, of.Guarantee/g.members)
		}
		if rate = share * g.bears; rate > 0 && a.sure.fill(now, rate, sureBurst(rate)) > 0 {
			v.How = Guaranteed
			return v
		}
		if of.MaxShare > 0 {
			m := g.mostRate(a, of)
			overMost = a.most.fill(now, m, sureBurst(m)) <= 0
		}
	}
	if l := &g.lanes[v.Lane]; guaranteed || g.set.Lanes[v.Lane].MaxShare > 0 && l.most.fill(now, l.mostRate, burst(l.mostRate)) <= 0 {
		v.Lane = last
	}
	l := &g.lanes[v.Lane]
	v.YieldBy = l.yieldBy
	if g.level == 0 {
		return v
	}
	if overMost {
		v.How, v.After = OverMost, g.after(now, q, -a.most.tokens, g.mostRate(a, of))
		return v
	}
	if !l.full && mix(key, g.slot) >= l.cut {
		return v
	}
	if l.floor.fill(now, l.floorRate, burst(l.floorRate)) > 0 {
		v.How, v.YieldBy = Floor, 1
		return v
	}
	if q.Class >= 0 && q.Class < len(g.classes) {
		if c := &g.classes[q.Class]; c.floor.fill(now, c.rate, burst(c.rate)) > 0 {
			v.How, v.YieldBy = ClassFloor, 1
			return v
		}
	}
	if guaranteed && g.idle.fill(now, g.idleRate, borrowFor*g.idleRate) > 0 {
		v.How = Borrowed
		return v
	}
	v.How = Cut
	if v.After = g.after(now, q, 0, 0); rate > 0 {
		v.After = min(v.After, g.after(now, q, max(0, -a.sure.tokens), rate))
	}
	return v
}

// stale says that this co-ordinator has stood still since the last Level.
func (g *Gate) stale(now time.Duration) bool { return now-g.levelAt > StaleAfter }

// mostRate is the own part of an account's most: as large as that of its guarantee.
func (g *Gate) mostRate(a *account, of *laneconfig.Account) float64 {
	if of.Guarantee > 0 {
		return of.MaxShare * g.bears * a.share / of.Guarantee
	}
	return of.MaxShare * g.bears / g.members
}

// charge takes an admitted query out of each bucket that it counts in.
func (g *Gate) charge(q *Ask, v *Verdict) {
	if q.Account >= 0 && q.Account < len(g.accounts) {
		a, of := &g.accounts[q.Account], &g.set.Accounts[q.Account]
		if v.How == Guaranteed {
			a.sure.tokens -= q.Cost
		}
		if of.MaxShare > 0 {
			a.most.pay(q.Cost, sureBurst(g.mostRate(a, of)))
		}
	}
	l := &g.lanes[v.Lane]
	if g.set.Lanes[v.Lane].MaxShare > 0 {
		l.most.pay(q.Cost, burst(l.mostRate))
	}
	if v.How == Guaranteed || g.level == 0 {
		return
	}
	// What a lane or class has anyhow counts for its floor, but leaves it no debt.
	l.floor.tokens = max(l.floor.tokens-q.Cost, min(l.floor.tokens, debt(v.How == Floor, q.Cost)))
	if q.Class >= 0 && q.Class < len(g.classes) {
		c := &g.classes[q.Class]
		c.floor.tokens = max(c.floor.tokens-q.Cost, min(c.floor.tokens, debt(v.How == ClassFloor, q.Cost)))
	}
	if v.How == Borrowed {
		g.idle.tokens -= q.Cost
	}
}

// debt is down to where a floor may be charged.
func debt(of bool, cost float64) float64 {
	if of {
		return -cost
	}
	return 0
}

// after is a time to come back: when this slot is over, or a bucket that lacks so much has some again; spread over a slot or
// over as long again, so that those who are refused together don't come together.
func (g *Gate) after(now time.Duration, q *Ask, lack, rate float64) time.Duration {
	if q.Class >= 0 && q.Class < len(g.set.Classes) && !g.set.Classes[q.Class].SendRetryAfter {
		return 0
	}
	g.seq++
	spread := float64(mix(q.Key, g.seq)>>11) / (1 << 53)
	wait, over := max(0, g.slotEnds-now).Seconds(), g.set.Slot.Seconds()
	if rate > 0 {
		wait = max(0.1, (lack+min(1, q.Cost))/rate)
		over = wait
	}
	return time.Duration(min(wait+spread*over, AfterMost.Seconds()) * float64(time.Second))
}

// AfterMost is the longest time to come back.
const AfterMost = time.Hour

// Counts gives what was counted.
func (g *Gate) Counts() Counts { return g.counts }
