package lanes

import (
	"math"
	"time"

	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/pressure"
)

const (
	// BurstSeconds is how many seconds of its rate a bucket holds, one part at least.
	BurstSeconds = 2
	// idleBurstSeconds is the same of what is idle.
	idleBurstSeconds = 0.5
	// idleThreshold is how full such a bucket is.
	idleThreshold = 0.95
	// baselineRate is a cost a second that every member is taken to have of every lane and class, so that a quiet one has a part of the
	// floor before its first query comes.
	baselineRate = 0.1
	// MaxPromiseDivisor is how many times shorter the promise of the last lane counts for the module's queues while lanes shed. What lanes
	// let in and queues refuse counts as pressure, so it is little.
	MaxPromiseDivisor = 1.2
	// MinGuaranteeBurst is what an account's guarantee holds at least, in mean parts: some four queries; but no more than MinGuaranteeBurstSeconds seconds of
	// it. With one part's worth an account that is well within its guarantee is refused at each second query of a few parts where a
	// co-ordinator has a part a second of it or less.
	MinGuaranteeBurst = 12
	// MinGuaranteeBurstSeconds bounds MinGuaranteeBurst, in seconds of the account's guarantee.
	MinGuaranteeBurstSeconds = 30
)

// StaleAfter a Level without the next one a co-ordinator has stood still, and what it borrowed may be its lender's again: until it
// has stepped its even part is all that counts.
const StaleAfter = time.Second

type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

// refill adds what the rate has brought since, and tells what is in it.
func (b *bucket) refill(now time.Duration, rate, burst float64) float64 {
	if now > b.updatedAt {
		b.tokens = min(burst, b.tokens+rate*(now-b.updatedAt).Seconds())
		b.updatedAt = now
	}
	return b.tokens
}

// spend takes a cost out; who has anything may go below nothing, and pays later. What is charged without regard to the bucket
// leaves no deeper debt than one burst or that cost.
func (b *bucket) spend(cost, burst float64) { b.tokens = max(b.tokens-cost, -max(burst, cost)) }

func burstSize(rate float64) float64 { return max(1, BurstSeconds*rate) }

// guaranteeBurst is the same of what is guaranteed, and of an account's most.
func guaranteeBurst(rate float64) float64 {
	return max(1, min(MinGuaranteeBurst, MinGuaranteeBurstSeconds*rate), BurstSeconds*rate)
}

type account struct {
	share      float64 // of the fleet's capacity, its lease here
	guaranteed bucket
	limit      bucket
}

type lane struct {
	shedBelow            uint64 // of hashes below it queries are cut; all of them if full
	shedAll              bool
	floor, limit         bucket
	floorRate, limitRate float64
	promiseDivisor       float64
}

type class struct {
	floor bucket
	rate  float64
}

// Gate decides on each query of one co-ordinator by what the fleet sheds. Admit doesn't allocate.
type Gate struct {
	set        *laneconfig.Set
	now        time.Duration // it never goes back
	members    float64
	level      float64
	levelSetAt time.Duration // of the last Level
	capacity   float64       // cost a second, of the fleet
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

// Counts are queries and their cost by lane and reason, since the start.
type Counts struct {
	Queries [pressure.MaxLanes][NumReasons]uint64
	Cost    [pressure.MaxLanes][NumReasons]float64
	Retries uint64
}

// New gives a gate for a set among so many members. It sheds nothing until Level.
func New(now time.Duration, set *laneconfig.Set, members int) *Gate {
	g := &Gate{members: float64(max(1, members))}
	g.SetConfig(now, set)
	return g
}

func (g *Gate) advance(now time.Duration) time.Duration {
	g.now = max(g.now, now)
	return g.now
}

// SetConfig goes by another set; the buckets of accounts, lanes and classes that it has by name or place as well go on.
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
		default: // its lease is as large a part of the other guarantee
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

// SetShare sets the part of the fleet's capacity that this co-ordinator holds of an account's guarantee.
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

// LevelUpdate is what Level goes by.
type LevelUpdate struct {
	Level    float64
	Capacity float64 // Control.Bears
	Members  int
	Fleet    pressure.FleetLoad
	Own      pressure.LocalLoad
	Slot     uint64        // number of the time slot
	SlotLeft time.Duration // refill the next one
}

// SetLevel sets what is shed from now on.
func (g *Gate) SetLevel(now time.Duration, s LevelUpdate) {
	now = g.advance(now)
	if s.Level != s.Level { // no number sheds nothing
		s.Level = 0
	}
	g.members, g.levelSetAt = float64(max(1, s.Members)), now
	g.level, g.slot, g.slotEnd = min(1, max(0, s.Level)), s.Slot, now+max(0, min(s.SlotLeft, g.set.Slot))
	fleet, own := s.Fleet, s.Own
	if !fleet.Known { // as if the others fared alike
		fleet = pressure.FleetLoad{Offered: own.Offered * g.members, Guaranteed: own.Guaranteed * g.members, ByLane: own.ByLane}
		for j := range fleet.ByLane {
			fleet.ByLane[j] *= g.members
		}
		s.Capacity = (1 - g.level) * fleet.Offered
	}
	if !(s.Capacity >= 0) || math.IsInf(s.Capacity, 0) {
		s.Capacity = 0
	}
	for i := range g.accounts { // what came until now came at the old rate
		a := &g.accounts[i]
		a.guaranteed.refill(now, a.share*g.capacity, guaranteeBurst(a.share*g.capacity))
	}
	g.capacity = s.Capacity
	laneCount, offered := len(g.set.Lanes), fleet.Guaranteed
	for _, rate := range fleet.ByLane {
		offered += rate
	}
	toShed := g.level * offered // not of fl.Asked: of a false word with a huge rate no lane has its part
	for j := laneCount - 1; j >= 0; j-- {
		l, config := &g.lanes[j], &g.set.Lanes[j]
		ratio := 0.0
		if toShed > 0 && fleet.ByLane[j] > 0 {
			ratio = min(1, toShed/fleet.ByLane[j])
			toShed = max(0, toShed-fleet.ByLane[j])
		} else if toShed > 0 { // nobody is known to ask in it: who does is cut with those below
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

// updateIdleRate looks what accounts of lanes that lend leave idle of their guarantees: those whose buckets are as good as full.
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
