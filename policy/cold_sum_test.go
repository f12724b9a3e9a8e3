package policy

import (
	"math"
	"slices"
	"testing"
)

// coldScenario describes the start of a replica, when the instances learn of it, and the traffic meanwhile.
type coldScenario struct {
	name                   string
	noticeSpread           float64 // s after the replica's start, within which all instances learn of it
	restartedShare         float64 // share of the instances that restart without history and learn of the start from a full list
	restartFrom, restartTo float64 // s after the replica's start, negative for before it, between which these instances restart
	baseRate               float64 // parts a second, of all instances together, before the burst
	burstRate              float64 // parts a second, of all instances together, from the burst on
	burstAt                float64 // s after the replica's start
	skewed                 bool    // half of the traffic goes to a fifth of the instances
}

// coldWindowStats holds the worst windows of one run. all is what all instances sent and informed what the instances sent
// that knew of the start, both as shares of the bound.
type coldWindowStats struct {
	all, informed float64
	parts         int     // sent by informed instances
	informedShare float64 // the largest share of informed instances in a window over the bound
}

const (
	coldStartTime       = 108.0  // on the clock of the set, which starts at 100: 8 s of history, more than coldHistory
	maxInformedShare    = 2. / 3 // of a window over the bound: more breaks the rule
	coldObservationSpan = 6.0    // s after the start, of a warm-up of 10
)

// coldBound returns how many parts the operators' rule lets a newly started replica take in a window that begins at the
// given age.
func coldBound(c *Config, age float64) float64 {
	limit, _ := coldLimit(c, age)
	return limit + 2*math.Sqrt(limit) + 2
}

// runColdScenario runs the instances through the start of one replica.
func runColdScenario(seed uint64, instances int, scenario coldScenario) coldWindowStats {
	c := newCoordinatorSet(instances, seed, scriptedReplicas, 2)
	c.nextArrival = math.Inf(1) // the arrivals are those of the scenario
	nextArrival := c.now
	step := func() {
		c.runUntil(c.now + c.policies[0].tick)
		for nextArrival <= c.now {
			c.submitQuery(scenario.skewed)
			rate := scenario.baseRate
			if nextArrival >= coldStartTime+scenario.burstAt {
				rate = scenario.burstRate
			}
			nextArrival += c.rng.ExpFloat64() / rate
		}
	}
	for c.now < coldStartTime+min(0, scenario.restartFrom) {
		step()
	}
	noticeAt, restartAt := make([]float64, instances), make([]float64, instances)
	for i := range noticeAt {
		noticeAt[i], restartAt[i] = coldStartTime+scenario.noticeSpread*c.rng.Float64(), math.Inf(1)
	}
	for _, i := range c.rng.Perm(instances)[:int(scenario.restartedShare*float64(instances))] {
		restartAt[i] = coldStartTime + scenario.restartFrom + (scenario.restartTo-scenario.restartFrom)*c.rng.Float64()
	}
	informedAt := map[int]float64{} // by the start number of the instance
	entry := Entry{Replica: 1, SharedID: 1, Size: 1, Started: coldStartTime}
	for c.now < coldStartTime+coldObservationSpan {
		step()
		for i := range instances {
			restarts := c.now >= restartAt[i]
			if restarts {
				restartAt[i] = math.Inf(1)
				c.start(i)
			}
			if _, informed := informedAt[c.startNumber[i]]; informed || c.now < noticeAt[i] {
				continue
			}
			informedAt[c.startNumber[i]] = c.now
			if c.startNumber[i] < instances {
				c.handle(i, []Event{{Kind: ListChanged, List: []Entry{entry}}})
				continue
			}
			fullList := slices.Clone(c.list)
			fullList[0] = entry
			c.handle(i, []Event{{Kind: ListChanged, Full: true, List: fullList}})
		}
	}
	return worstColdWindows(c, informedAt)
}

// submitQuery submits a one-part query to a random instance.
func (c *coordinatorSet) submitQuery(skewed bool) {
	candidates := len(c.policies)
	if skewed && c.rng.IntN(2) == 0 {
		candidates /= 5
	}
	i, q := c.rng.IntN(candidates), c.nextID
	c.nextID += 2
	c.parts[i][q+1] = &scriptedPart{due: c.now + 4}
	c.handle(i, []Event{{Kind: QueryArrived, Query: q, Group: q, Tenant: -1, Deadline: c.now + 4, Count: 1},
		{Kind: PartArrived, Part: q + 1, Group: q, Shard: c.rng.IntN(c.cfg.Shards), Weight: 1}})
}

// worstColdWindows returns the worst windows after the replica's start.
func worstColdWindows(c *coordinatorSet, informedAt map[int]float64) (stats coldWindowStats) {
	type send struct {
		at       float64
		informed bool
	}
	var sends []send
	for _, s := range c.sends[1] {
		if s.at > coldStartTime {
			at, ok := informedAt[s.startNumber]
			sends = append(sends, send{s.at, ok && s.at >= at})
		}
	}
	for i, first := range sends {
		all, informed := 0.0, 0.0
		for _, s := range sends[i:] {
			if s.at >= first.at+c.cfg.OverloadWindow {
				break
			}
			if all++; s.informed {
				informed++
			}
		}
		bound := coldBound(&c.cfg, first.at-coldStartTime)
		stats.all, stats.informed = max(stats.all, all/bound), max(stats.informed, informed/bound)
		if all > bound {
			stats.informedShare = max(stats.informedShare, informed/all)
		}
		if first.informed {
			stats.parts++
		}
	}
	return stats
}

// Guards against many instances that overload a newly started replica together. In every window, the instances that know
// of the start stay within the operators' bound, and a window in which all instances together exceed it has at least a
// third of its parts from instances that do not know yet. The scenarios cover instances that learn of the start at
// different times or restart without history, even and thin traffic, a burst on top of saved credit, and half of the
// traffic at a fifth of the instances.
func TestManyCoordinatorsStayWithinTheColdBound(t *testing.T) {
	instances, seeds := []int{20, 30}, uint64(12)
	if testing.Short() {
		instances, seeds = []int{30}, 3
	}
	for _, n := range instances {
		for _, scenario := range []coldScenario{
			{name: "informed at once, even", baseRate: 120, burstRate: 120},
			{name: "informed within 0.4 s, even", noticeSpread: 0.4, baseRate: 120, burstRate: 120},
			{name: "informed within 2 s, even", noticeSpread: 2, baseRate: 120, burstRate: 120},
			{name: "a third restart before, even", noticeSpread: 2, restartedShare: 1. / 3, restartFrom: -1.5, baseRate: 120, burstRate: 120},
			{name: "70 % restart after, even", noticeSpread: 2, restartedShare: 0.7, restartTo: 3, baseRate: 120, burstRate: 120},
			{name: "half the load at a fifth", noticeSpread: 0.4, restartedShare: 1. / 3, restartFrom: -1.5, baseRate: 120, burstRate: 120, skewed: true},
			{name: "thin traffic", noticeSpread: 0.4, restartedShare: 1. / 3, restartFrom: -1.5, baseRate: 30, burstRate: 30},
			{name: "thin, then a burst", noticeSpread: 0.4, restartedShare: 1. / 3, restartFrom: -1.5, baseRate: 30, burstRate: 150, burstAt: 2},
			{name: "thin, then a late burst", noticeSpread: 0.4, baseRate: 30, burstRate: 150, burstAt: 4},
		} {
			maxInformed, maxAll, meanInformed, meanAll, overBound, parts := 0.0, 0.0, 0.0, 0.0, 0, 0
			for seed := range seeds {
				s := runColdScenario(seed, n, scenario)
				maxInformed, maxAll, parts = max(maxInformed, s.informed), max(maxAll, s.all), parts+s.parts
				meanInformed, meanAll = meanInformed+s.informed/float64(seeds), meanAll+s.all/float64(seeds)
				if s.all > 1 {
					overBound++
				}
				if s.informed > 1 || s.informedShare > maxInformedShare {
					t.Errorf("%d instances, %s, seed %d: informed instances sent %.2f of the bound, and %.2f of a window over it",
						n, scenario.name, seed, s.informed, s.informedShare)
				}
			}
			t.Logf("%d instances, %-31s informed ones sent %.2f of the bound on average, %.2f at most; all sent %.2f and %.2f, over it in %d of %d runs",
				n, scenario.name+":", meanInformed, maxInformed, meanAll, maxAll, overBound, seeds)
			if parts == 0 {
				t.Errorf("%d instances, %s: the replica was not used at all", n, scenario.name)
			}
		}
	}
}
