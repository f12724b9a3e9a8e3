package policy

import (
	"math"
	"slices"
	"testing"
)

// coldNews is how a start is told of to the instances of a crowd.
type coldNews struct {
	name      string
	spread    float64 // s from the start on, within which all are told
	restarted float64 // serverShare of the instances that begin anew, with no history, and learn of the start by a whole list
	from, to  float64 // s after the start, negative for before it, between which these begin
	thin      float64 // parts a second, of all instances, up to the burst
	burst     float64 // and from then on
	burstAt   float64 // s after the start
	skewed    bool    // half of the traffic comes to a fifth of the instances
}

// coldSums are the worst of all windows of one run, as shares of the bound: what all sent, and what those sent that had been
// told.
type coldSums struct {
	all, told float64
	parts     int     // requested by those that had been told
	blamed    float64 // the largest part that those had in a window over the bound
}

const (
	coldStart = 108.0  // on the crowd's clock: eight seconds of history, over coldHistory
	toldShare = 2. / 3 // of a window over the bound: more is a broken rule
	coldWatch = 6.0    // s after the start, of a warm-up of 10
)

// coldBound is what the operators' rule lets a replica that has just started take in a window that begins at an age.
func coldBound(c *Config, age float64) float64 {
	limit, _ := coldLimit(c, age)
	return limit + 2*math.Sqrt(limit) + 2
}

// playColdNews plays one start among the instances.
func playColdNews(seed uint64, instances int, news coldNews) coldSums {
	c := newCrowd(instances, seed, crowdReplicas, 2)
	c.next = math.Inf(1) // the arrivals are those of news
	next := c.now
	step := func() {
		c.run(c.now + c.p[0].tick)
		for next <= c.now {
			c.arrive(news.skewed)
			rate := news.thin
			if next >= coldStart+news.burstAt {
				rate = news.burst
			}
			next += c.rng.ExpFloat64() / rate
		}
	}
	for c.now < coldStart+min(0, news.from) {
		step()
	}
	due, begins := make([]float64, instances), make([]float64, instances)
	for i := range due {
		due[i], begins[i] = coldStart+news.spread*c.rng.Float64(), math.Inf(1)
	}
	for _, i := range c.rng.Perm(instances)[:int(news.restarted*float64(instances))] {
		begins[i] = coldStart + news.from + (news.to-news.from)*c.rng.Float64()
	}
	toldAt := map[int]float64{} // by the number of the instance's start
	entry := Entry{Replica: 1, SharedID: 1, Size: 1, Started: coldStart}
	for c.now < coldStart+coldWatch {
		step()
		for i := range instances {
			anew := c.now >= begins[i]
			if anew {
				begins[i] = math.Inf(1)
				c.start(i)
			}
			if _, told := toldAt[c.life[i]]; told || c.now < due[i] {
				continue
			}
			toldAt[c.life[i]] = c.now
			if c.life[i] < instances {
				c.do(i, []Event{{Kind: ListChanged, List: []Entry{entry}}})
				continue
			}
			whole := slices.Clone(c.list)
			whole[0] = entry
			c.do(i, []Event{{Kind: ListChanged, Full: true, List: whole}})
		}
	}
	return coldWindows(c, toldAt)
}

// arrive brings one query of one part to some instance.
func (c *crowd) arrive(skewed bool) {
	among := len(c.p)
	if skewed && c.rng.IntN(2) == 0 {
		among /= 5
	}
	i, q := c.rng.IntN(among), c.ids
	c.ids += 2
	c.parts[i][q+1] = &scripted{due: c.now + 4}
	c.do(i, []Event{{Kind: QueryArrived, Query: q, Group: q, Tenant: -1, Deadline: c.now + 4, Count: 1},
		{Kind: PartArrived, Part: q + 1, Group: q, Shard: c.rng.IntN(c.cfg.Shards), Weight: 1}})
}

// coldWindows finds the worst windows after the start.
func coldWindows(c *crowd, toldAt map[int]float64) (sums coldSums) {
	type send struct {
		at   float64
		told bool
	}
	var sends []send
	for _, s := range c.sends[1] {
		if s.at > coldStart {
			at, ok := toldAt[s.life]
			sends = append(sends, send{s.at, ok && s.at >= at})
		}
	}
	for i, first := range sends {
		all, told := 0.0, 0.0
		for _, s := range sends[i:] {
			if s.at >= first.at+c.cfg.OverloadWindow {
				break
			}
			if all++; s.told {
				told++
			}
		}
		bound := coldBound(&c.cfg, first.at-coldStart)
		sums.all, sums.told = max(sums.all, all/bound), max(sums.told, told/bound)
		if all > bound {
			sums.blamed = max(sums.blamed, told/all)
		}
		if first.told {
			sums.parts++
		}
	}
	return sums
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
		for _, news := range []coldNews{
			{name: "told at once, even", thin: 120, burst: 120},
			{name: "told within 0.4 s, even", spread: 0.4, thin: 120, burst: 120},
			{name: "told within 2 s, even", spread: 2, thin: 120, burst: 120},
			{name: "a third begun before, even", spread: 2, restarted: 1. / 3, from: -1.5, thin: 120, burst: 120},
			{name: "seven in ten begun after, even", spread: 2, restarted: 0.7, to: 3, thin: 120, burst: 120},
			{name: "half at a fifth of them", spread: 0.4, restarted: 1. / 3, from: -1.5, thin: 120, burst: 120, skewed: true},
			{name: "thin", spread: 0.4, restarted: 1. / 3, from: -1.5, thin: 30, burst: 30},
			{name: "thin, then a burst", spread: 0.4, restarted: 1. / 3, from: -1.5, thin: 30, burst: 150, burstAt: 2},
			{name: "thin, then a late burst", spread: 0.4, thin: 30, burst: 150, burstAt: 4},
		} {
			told, all, mean, meanAll, over, parts := 0.0, 0.0, 0.0, 0.0, 0, 0
			for seed := range seeds {
				s := playColdNews(seed, n, news)
				told, all, parts = max(told, s.told), max(all, s.all), parts+s.parts
				mean, meanAll = mean+s.told/float64(seeds), meanAll+s.all/float64(seeds)
				if s.all > 1 {
					over++
				}
				if s.told > 1 || s.blamed > toldShare {
					t.Errorf("%d, %s, seed %d: %.2f of the bound by those told, whose part of a window over it is %.2f",
						n, news.name, seed, s.told, s.blamed)
				}
			}
			t.Logf("%d, %-31s of the bound by those told %.2f on the mean, %.2f at most; by all %.2f and %.2f, over it in %d of %d runs",
				n, news.name+":", mean, told, meanAll, all, over, seeds)
			if parts == 0 {
				t.Errorf("%d, %s: the replica was not used at all", n, news.name)
			}
		}
	}
}
