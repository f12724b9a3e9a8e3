package policy

import (
	"math"
	"slices"
	"testing"
)

// coldScenario is how a start is told of to the instances of a crowd.
type coldScenario struct {
	name                   string
	noticeSpread           float64 // s from the start on, within which all are told
	restartedShare         float64 // serverShare of the instances that begin anew, with no history, and learn of the start by a whole list
	restartFrom, restartTo float64 // s after the start, negative for before it, between which these begin
	baseRate               float64 // parts a second, of all instances, up to the burst
	burstRate              float64 // and from then on
	burstAt                float64 // s after the start
	skewed                 bool    // half of the traffic comes to a fifth of the instances
}

// coldWindowStats are the worst of all windows of one run, as shares of the bound: what all sent, and what those sent that had been
// told.
type coldWindowStats struct {
	all, informed float64
	parts         int     // requested by those that had been told
	informedShare float64 // the largest part that those had in a window over the bound
}

const (
	coldStartTime       = 108.0  // on the crowd's clock: eight seconds of history, over coldHistory
	maxInformedShare    = 2. / 3 // withVerb a window over the bound: more is a broken rule
	coldObservationSpan = 6.0    // s after the start, of a warm-up of 10
)

// coldBound is what the operators' rule lets a replica that has just started take in a window that begins at an age.
func coldBound(c *Config, age float64) float64 {
	limit, _ := coldLimit(c, age)
	return limit + 2*math.Sqrt(limit) + 2
}

// runColdScenario plays one start among the instances.
func runColdScenario(seed uint64, instances int, scenario coldScenario) coldWindowStats {
	c := newCoordinatorSet(instances, seed, scriptedReplicas, 2)
	c.nextArrival = math.Inf(1) // the arrivals are those of news
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
	informedAt := map[int]float64{} // by the number of the instance's start
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

// submitQuery brings one query of one part to some instance.
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

// worstColdWindows finds the worst windows after the start.
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

// What all of many send to a replica that has started stays within the operators' bound in every window, as far as they
// have been told of the start: told at different times, a part of them begun anew with no history, under even and thin
// traffic, under a burst on top of credits that were saved up, and with half of the traffic at a fifth of them. A window over
// the bound is one in which those that had not been told yet sent a third or more.
func TestManyCoordinatorsStayWithinTheColdBound(t *testing.T) {
	instances, seeds := []int{20, 30}, uint64(12)
	if testing.Short() {
		instances, seeds = []int{30}, 3
	}
	for _, n := range instances {
		for _, scenario := range []coldScenario{
			{name: "told at once, even", baseRate: 120, burstRate: 120},
			{name: "told within 0.4 s, even", noticeSpread: 0.4, baseRate: 120, burstRate: 120},
			{name: "told within 2 s, even", noticeSpread: 2, baseRate: 120, burstRate: 120},
			{name: "a third begun before, even", noticeSpread: 2, restartedShare: 1. / 3, restartFrom: -1.5, baseRate: 120, burstRate: 120},
			{name: "seven in ten begun after, even", noticeSpread: 2, restartedShare: 0.7, restartTo: 3, baseRate: 120, burstRate: 120},
			{name: "half at a fifth of them", noticeSpread: 0.4, restartedShare: 1. / 3, restartFrom: -1.5, baseRate: 120, burstRate: 120, skewed: true},
			{name: "thin", noticeSpread: 0.4, restartedShare: 1. / 3, restartFrom: -1.5, baseRate: 30, burstRate: 30},
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
					t.Errorf("%d, %s, seed %d: %.2f of the bound by those told, whose part of a window over it is %.2f",
						n, scenario.name, seed, s.informed, s.informedShare)
				}
			}
			t.Logf("%d, %-31s of the bound by those told %.2f on the mean, %.2f at most; by all %.2f and %.2f, over it in %d of %d runs",
				n, scenario.name+":", meanInformed, maxInformed, meanAll, maxAll, overBound, seeds)
			if parts == 0 {
				t.Errorf("%d, %s: the replica was not used at all", n, scenario.name)
			}
		}
	}
}
