package lanes

import (
	"math"
	"time"

	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/pressure"
)

const (
	// BurstSeconds is how many seconds of its rate a bucket holds; it always holds at least one part.
	BurstSeconds = 2
	// idleBurstSeconds is how many seconds of its rate the bucket of idle guarantees holds.
	idleBurstSeconds = 0.5
	// idleThreshold is how full the bucket of a guarantee must be for the guarantee to count as idle.
	idleThreshold = 0.95
	// baselineRate is a cost per second that every member is assumed to have in every lane and class, so that one without traffic
	// has a share of the floor before its first query.
	baselineRate = 0.1
	// MaxPromiseDivisor is the number by which package policy divides the promise of the last lane's queries while lanes shed; other
	// lanes have smaller divisors. It is small because queries that lanes admit and policy then refuses count as pressure.
	MaxPromiseDivisor = 1.2
	// MinGuaranteeBurst is the least burst of an account's guarantee, in mean parts: about four queries, but no more than
	// MinGuaranteeBurstSeconds of its rate. With a burst of one part, an account well within its guarantee would be refused every
	// second query of a few parts where a co-ordinator's share is one part per second or less.
	MinGuaranteeBurst = 12
	// MinGuaranteeBurstSeconds bounds MinGuaranteeBurst, in seconds of the account's guarantee.
	MinGuaranteeBurstSeconds = 30
)

// StaleAfter is the time without another SetLevel after which a co-ordinator counts as stalled. By then the shares that it
// borrowed may be their lenders' again, so until the next SetLevel only its even share counts.
const StaleAfter = time.Second

type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

// refill adds what has accrued at the rate since the last call and returns the balance.
func (b *bucket) refill(now time.Duration, rate, burst float64) float64 {
	if now > b.updatedAt {
		b.tokens = min(burst, b.tokens+rate*(now-b.updatedAt).Seconds())
		b.updatedAt = now
	}
	return b.tokens
}

// spend takes out a cost. The balance may become negative. Some queries are charged whatever the balance is, so the debt is limited
// to the larger of one burst and that cost.
func (b *bucket) spend(cost, burst float64) { b.tokens = max(b.tokens-cost, -max(burst, cost)) }

func burstSize(rate float64) float64 { return max(1, BurstSeconds*rate) }

// guaranteeBurst is the burst size of a guarantee and of an account's limit.
func guaranteeBurst(rate float64) float64 {
	return max(1, min(MinGuaranteeBurst, MinGuaranteeBurstSeconds*rate), BurstSeconds*rate)
}

type account struct {
	share      float64 // fraction of the fleet's capacity that this co-ordinator may use, loans included
	guaranteed bucket
	limit      bucket
}

type lane struct {
	shedBelow            uint64 // queries whose hash is below it are shed; all of them if shedAll is set
	shedAll              bool
	floor, limit         bucket
	floorRate, limitRate float64
	promiseDivisor       float64
}

type class struct {
	floor bucket
	rate  float64
}

// Gate admits or refuses each query of one co-ordinator by the fleet's shed level. Admit does not allocate.
type Gate struct {
	set        *laneconfig.Set
	now        time.Duration // never goes back
	members    float64
	level      float64
	levelSetAt time.Duration // time of the last SetLevel
	capacity   float64       // estimated capacity of the fleet, in cost per second
	slot       uint64
	slotEnd    time.Duration
	lanes      [pressure.MaxLanes]lane
	classes    []class
	accounts   []account
	idle       bucket
	idleRate   float64
	seq        uint64
	counts     Counts
	auditor    auditor
}

// Counts holds the queries since the start and their cost, by lane and reason.
type Counts struct {
	Queries [pressure.MaxLanes][NumReasons]uint64
	Cost    [pressure.MaxLanes][NumReasons]float64
	Retries uint64
}

// New returns a gate for a lane configuration and a number of members. It sheds nothing until SetLevel.
func New(now time.Duration, set *laneconfig.Set, members int) *Gate {
	g := &Gate{members: float64(max(1, members))}
	g.SetConfig(now, set)
	return g
}

func (g *Gate) advance(now time.Duration) time.Duration {
	g.now = max(g.now, now)
	return g.now
}

// SetConfig switches to another lane configuration. The buckets of accounts are kept by name, those of lanes and classes by index. All
// lanes get new buckets if their number changes.
func (g *Gate) SetConfig(now time.Duration, next *laneconfig.Set) {
	now = g.advance(now)
	type previousAccount struct {
		account
		guarantee float64
	}
	previous := map[string]previousAccount{}
	if g.set != nil {
		for i := range g.accounts {
			previous[g.set.Accounts[i].Name] = previousAccount{g.accounts[i], g.set.Accounts[i].Guarantee}
		}
	}
	accounts := make([]account, len(next.Accounts))
	for i := range accounts {
		config := &next.Accounts[i]
		evenShare := config.Guarantee / g.members
		a, ok := previous[config.Name]
		a.guaranteed.refill(now, a.share*g.capacity, guaranteeBurst(a.share*g.capacity))
		switch {
		case !ok:
			a.account = account{share: evenShare, guaranteed: bucket{MinGuaranteeBurst, now}, limit: bucket{MinGuaranteeBurst, now}}
		case a.guarantee == 0:
			a.share = evenShare
		default: // keep the same fraction of the new guarantee
			a.share *= config.Guarantee / a.guarantee
		}
		accounts[i] = a.account
	}
	for len(g.classes) < len(next.Classes) {
		g.classes = append(g.classes, class{floor: bucket{1, now}})
	}
	if g.set == nil || len(g.set.Lanes) != len(next.Lanes) {
		for j := range g.lanes {
			g.lanes[j] = lane{floor: bucket{1, now}, limit: bucket{1, now}, promiseDivisor: 1}
		}
	}
	g.accounts, g.set = accounts, next
	g.auditor.configure(now, g)
}

// SetShare sets the fraction of the fleet's capacity that this co-ordinator holds of an account's guarantee.
func (g *Gate) SetShare(now time.Duration, account int, share float64) {
	if account < 0 || account >= len(g.accounts) || !(share >= 0) {
		return
	}
	now = g.advance(now)
	a, audited := &g.accounts[account], &g.auditor.accounts[account]
	a.guaranteed.refill(now, a.share*g.capacity, guaranteeBurst(a.share*g.capacity))
	audited.refill(now)
	a.share = min(share, g.set.Accounts[account].Guarantee)
	audited.rate = a.share * g.capacity
}

// LevelUpdate is the input of SetLevel.
type LevelUpdate struct {
	Level    float64
	Capacity float64 // see Control.Capacity
	Members  int
	Fleet    pressure.FleetLoad
	Own      pressure.LocalLoad
	Slot     uint64        // number of the time slot
	SlotLeft time.Duration // until the next slot
}

// SetLevel applies a new shed level and capacity.
func (g *Gate) SetLevel(now time.Duration, s LevelUpdate) {
	now = g.advance(now)
	if s.Level != s.Level { // NaN sheds nothing
		s.Level = 0
	}
	g.members, g.levelSetAt = float64(max(1, s.Members)), now
	g.level, g.slot, g.slotEnd = min(1, max(0, s.Level)), s.Slot, now+max(0, min(s.SlotLeft, g.set.Slot))
	fleet, own := s.Fleet, s.Own
	if !fleet.Known { // assume the same load at all other members
		fleet = pressure.FleetLoad{Offered: own.Offered * g.members, Guaranteed: own.Guaranteed * g.members, ByLane: own.ByLane}
		for j := range fleet.ByLane {
			fleet.ByLane[j] *= g.members
		}
		s.Capacity = (1 - g.level) * fleet.Offered
	}
	if !(s.Capacity >= 0) || math.IsInf(s.Capacity, 0) {
		s.Capacity = 0
	}
	for i := range g.accounts { // until now, guarantees accrued at the old capacity
		a := &g.accounts[i]
		a.guaranteed.refill(now, a.share*g.capacity, guaranteeBurst(a.share*g.capacity))
	}
	g.capacity = s.Capacity
	laneCount, offered := len(g.set.Lanes), fleet.Guaranteed
	for _, rate := range fleet.ByLane {
		offered += rate
	}
	toShed := g.level * offered // not from fleet.Offered, in which a false report may claim a huge rate that is in no lane
	for j := laneCount - 1; j >= 0; j-- {
		l, config := &g.lanes[j], &g.set.Lanes[j]
		ratio := 0.0
		if toShed > 0 && fleet.ByLane[j] > 0 {
			ratio = min(1, toShed/fleet.ByLane[j])
			toShed = max(0, toShed-fleet.ByLane[j])
		} else if toShed > 0 { // no traffic is known in this lane: if some comes, it is shed like the lanes below
			ratio = 1
		}
		l.shedAll = ratio >= 1
		l.shedBelow = uint64(ratio*(1<<53)) << 11
		localRatio := (own.ByLane[j] + baselineRate) / (max(fleet.ByLane[j], own.ByLane[j]) + g.members*baselineRate)
		l.floor.refill(now, l.floorRate, burstSize(l.floorRate))
		l.limit.refill(now, l.limitRate, burstSize(l.limitRate))
		l.floorRate, l.limitRate = config.Floor*g.capacity*localRatio, config.MaxShare*g.capacity*localRatio
		l.promiseDivisor = 1
		if g.level > 0 {
			l.promiseDivisor = 1 + (MaxPromiseDivisor-1)*float64(j+1)/float64(laneCount)
		}
	}
	localRatio := (own.Offered + baselineRate) / (max(fleet.Offered, own.Offered) + g.members*baselineRate)
	for k := range g.classes {
		c := &g.classes[k]
		c.floor.refill(now, c.rate, burstSize(c.rate))
		if c.rate = 0; k < len(g.set.Classes) {
			c.rate = g.set.Classes[k].Floor * g.capacity * localRatio
		}
	}
	g.updateIdleRate(now)
	g.auditor.updateRates(now, g)
}

// updateIdleRate adds up the unused guarantees of accounts in lanes that lend. A guarantee is unused if its bucket is almost full.
func (g *Gate) updateIdleRate(now time.Duration) {
	g.idle.refill(now, g.idleRate, max(0, idleBurstSeconds*g.idleRate))
	g.idleRate = 0
	if g.level == 0 {
		return
	}
	for i := range g.accounts {
		a := &g.accounts[i]
		rate := a.share * g.capacity
		if rate > 0 && g.set.Lanes[g.set.Accounts[i].Lane].Lend && a.guaranteed.tokens >= idleThreshold*guaranteeBurst(rate) {
			g.idleRate += rate
		}
	}
	g.idle.tokens = min(g.idle.tokens, idleBurstSeconds*g.idleRate)
}
