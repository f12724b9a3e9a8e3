package lanes

import (
	"math"
	"time"

	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/pressure"
)

const (
	// BurstFor is how many seconds of its rate a bucket holds, one part at least.
	BurstFor = 2
	// borrowFor is the same of what is idle.
	borrowFor = 0.5
	// idleFrom is how full such a bucket is.
	idleFrom = 0.95
	// quiet is a cost a second that every member is taken to have of every lane and class, so that a quiet one has a part of the
	// floor before its first query comes.
	quiet = 0.1
	// YieldMost is how many times shorter the promise of the last lane counts for the module's queues while lanes shed. What lanes
	// let in and queues refuse counts as pressure, so it is little.
	YieldMost = 1.2
	// SureLeast is what an account's guarantee holds at least, in mean parts: some four queries; but no more than SureFor seconds of
	// it. With one part's worth an account that is well within its guarantee is refused at each second query of a few parts where a
	// co-ordinator has a part a second of it or less.
	SureLeast = 12
	// SureFor bounds SureLeast, in seconds of the account's guarantee.
	SureFor = 30
)

// StaleAfter a Level without the next one a co-ordinator has stood still, and what it borrowed may be its lender's again: until it
// has stepped its even part is all that counts.
const StaleAfter = time.Second

type bucket struct {
	tokens float64
	at     time.Duration
}

// fill adds what the rate has brought since, and tells what is in it.
func (b *bucket) fill(now time.Duration, rate, burst float64) float64 {
	if now > b.at {
		b.tokens = min(burst, b.tokens+rate*(now-b.at).Seconds())
		b.at = now
	}
	return b.tokens
}

// pay takes a cost out; who has anything may go below nothing, and pays later. What is charged without regard to the bucket
// leaves no deeper debt than one burst or that cost.
func (b *bucket) pay(cost, burst float64) { b.tokens = max(b.tokens-cost, -max(burst, cost)) }

func burst(rate float64) float64 { return max(1, BurstFor*rate) }

// sureBurst is the same of what is guaranteed, and of an account's most.
func sureBurst(rate float64) float64 { return max(1, min(SureLeast, SureFor*rate), BurstFor*rate) }

type account struct {
	share float64 // of the fleet's capacity, its lease here
	sure  bucket
	most  bucket
}

type lane struct {
	cut                 uint64 // of hashes below it queries are cut; all of them if full
	full                bool
	floor, most         bucket
	floorRate, mostRate float64
	yieldBy             float64
}

type class struct {
	floor bucket
	rate  float64
}

// Gate decides on each query of one co-ordinator by what the fleet sheds. Admit doesn't allocate.
type Gate struct {
	set      *laneconfig.Set
	now      time.Duration // it never goes back
	members  float64
	level    float64
	levelAt  time.Duration // of the last Level
	bears    float64       // cost a second, of the fleet
	slot     uint64
	slotEnds time.Duration
	lanes    [pressure.MaxLanes]lane
	classes  []class
	accounts []account
	idle     bucket
	idleRate float64
	seq      uint64
	counts   Counts
	books    books
}

// Counts are queries and their cost by lane and reason, since the start.
type Counts struct {
	Queries [pressure.MaxLanes][Reasons]uint64
	Cost    [pressure.MaxLanes][Reasons]float64
	Retries uint64
}

// New gives a gate for a set among so many members. It sheds nothing until Level.
func New(now time.Duration, set *laneconfig.Set, members int) *Gate {
	g := &Gate{members: float64(max(1, members))}
	g.Set(now, set)
	return g
}

func (g *Gate) turn(now time.Duration) time.Duration {
	g.now = max(g.now, now)
	return g.now
}

// Set goes by another set; the buckets of accounts, lanes and classes that it has by name or place as well go on.
func (g *Gate) Set(now time.Duration, next *laneconfig.Set) {
	now = g.turn(now)
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
		n := &next.Accounts[i]
		even := n.Guarantee / g.members
		a, ok := previous[n.Name]
		a.sure.fill(now, a.share*g.bears, sureBurst(a.share*g.bears))
		switch {
		case !ok:
			a.account = account{share: even, sure: bucket{SureLeast, now}, most: bucket{SureLeast, now}}
		case a.guarantee == 0:
			a.share = even
		default: // its lease is as large a part of the other guarantee
			a.share *= n.Guarantee / a.guarantee
		}
		accounts[i] = a.account
	}
	for len(g.classes) < len(next.Classes) {
		g.classes = append(g.classes, class{floor: bucket{1, now}})
	}
	if g.set == nil || len(g.set.Lanes) != len(next.Lanes) {
		for j := range g.lanes {
			g.lanes[j] = lane{floor: bucket{1, now}, most: bucket{1, now}, yieldBy: 1}
		}
	}
	g.accounts, g.set = accounts, next
	g.books.set(now, g)
}

// Share sets the part of the fleet's capacity that this co-ordinator holds of an account's guarantee.
func (g *Gate) Share(now time.Duration, account int, share float64) {
	if account < 0 || account >= len(g.accounts) || !(share >= 0) {
		return
	}
	now = g.turn(now)
	a, d := &g.accounts[account], &g.books.accounts[account]
	a.sure.fill(now, a.share*g.bears, sureBurst(a.share*g.bears))
	d.until(now)
	a.share = min(share, g.set.Accounts[account].Guarantee)
	d.rate = a.share * g.bears
}

// State is what Level goes by.
type State struct {
	Level    float64
	Bears    float64 // Control.Bears
	Members  int
	Fleet    pressure.FleetLoad
	Own      pressure.LocalLoad
	Slot     uint64        // number of the time slot
	SlotLeft time.Duration // until the next one
}

// Level sets what is shed from now on.
func (g *Gate) Level(now time.Duration, s State) {
	now = g.turn(now)
	if s.Level != s.Level { // no number sheds nothing
		s.Level = 0
	}
	g.members, g.levelAt = float64(max(1, s.Members)), now
	g.level, g.slot, g.slotEnds = min(1, max(0, s.Level)), s.Slot, now+max(0, min(s.SlotLeft, g.set.Slot))
	fl, own := s.Fleet, s.Own
	if !fl.Known { // as if the others fared alike
		fl = pressure.FleetLoad{Offered: own.Offered * g.members, Guaranteed: own.Guaranteed * g.members, ByLane: own.ByLane}
		for j := range fl.ByLane {
			fl.ByLane[j] *= g.members
		}
		s.Bears = (1 - g.level) * fl.Offered
	}
	if !(s.Bears >= 0) || math.IsInf(s.Bears, 0) {
		s.Bears = 0
	}
	for i := range g.accounts { // what came until now came at the old rate
		a := &g.accounts[i]
		a.sure.fill(now, a.share*g.bears, sureBurst(a.share*g.bears))
	}
	g.bears = s.Bears
	n, asked := len(g.set.Lanes), fl.Guaranteed
	for _, rate := range fl.ByLane {
		asked += rate
	}
	shed := g.level * asked // not of fl.Asked: of a false word with a huge rate no lane has its part
	for j := n - 1; j >= 0; j-- {
		l, of := &g.lanes[j], &g.set.Lanes[j]
		c := 0.0
		if shed > 0 && fl.ByLane[j] > 0 {
			c = min(1, shed/fl.ByLane[j])
			shed = max(0, shed-fl.ByLane[j])
		} else if shed > 0 { // nobody is known to ask in it: who does is cut with those below
			c = 1
		}
		l.full = c >= 1
		l.cut = uint64(c*(1<<53)) << 11
		part := (own.ByLane[j] + quiet) / (max(fl.ByLane[j], own.ByLane[j]) + g.members*quiet)
		l.floor.fill(now, l.floorRate, burst(l.floorRate))
		l.most.fill(now, l.mostRate, burst(l.mostRate))
		l.floorRate, l.mostRate = of.Floor*g.bears*part, of.MaxShare*g.bears*part
		l.yieldBy = 1
		if g.level > 0 {
			l.yieldBy = 1 + (YieldMost-1)*float64(j+1)/float64(n)
		}
	}
	part := (own.Offered + quiet) / (max(fl.Offered, own.Offered) + g.members*quiet)
	for k := range g.classes {
		c := &g.classes[k]
		c.floor.fill(now, c.rate, burst(c.rate))
		if c.rate = 0; k < len(g.set.Classes) {
			c.rate = g.set.Classes[k].Floor * g.bears * part
		}
	}
	g.idleNow(now)
	g.books.level(now, g)
}

// idleNow looks what accounts of lanes that lend leave idle of their guarantees: those whose buckets are as good as full.
func (g *Gate) idleNow(now time.Duration) {
	g.idle.fill(now, g.idleRate, max(0, borrowFor*g.idleRate))
	g.idleRate = 0
	if g.level == 0 {
		return
	}
	for i := range g.accounts {
		a := &g.accounts[i]
		rate := a.share * g.bears
		if rate > 0 && g.set.Lanes[g.set.Accounts[i].Lane].Lend && a.sure.tokens >= idleFrom*sureBurst(rate) {
			g.idleRate += rate
		}
	}
	g.idle.tokens = min(g.idle.tokens, borrowFor*g.idleRate)
}
