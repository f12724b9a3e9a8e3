package policy

// Guards and admission.

import "math"
import "slices"

// phaseOffset spreads the co-ordinators evenly over 0 to 1, in another order for each replica: its common number
// reads the same for all of them, as their ids of it may not.
func (p *Policy) phaseOffset(common uint64) float64 {
	_, f := math.Modf(float64(uint32(common))*math.Phi + float64(p.cfg.Ordinal)/float64(p.cfg.Coordinators))
	return f
}

// coldRate is how many parts a second this instance may send to a cold replica (rule 4), and false for a
// warm one. Capacity is not told. Two lower bounds on it: the answers that a replica gives us on average,
// times the co-ordinators, and one core at the swift latency of the slowest class: little of it is waiting.
// How cold it is, is the coldest that the settings allow in the middle of the limit's window. When the peers
// use their share is left to chance, so its mean must lie so far under the limit that chance is borne.
func (p *Policy) coldRate(r *replica) (float64, bool) {
	age, peers := p.now-r.started, float64(p.cfg.Coordinators)
	if r.started <= 0 || age >= p.cfg.WarmUp || p.cfg.OverloadMultiple*p.cfg.OverloadWindow <= 0 {
		return 0, false
	}
	level := p.cfg.ColdCapacity + (1-p.cfg.ColdCapacity)*max(0, age-p.cfg.OverloadWindow/2)/p.cfg.WarmUp
	longest := 0.0
	for i := range p.models {
		longest = max(longest, p.models[i].fast)
	}
	span := coldHistory * p.cfg.OverloadWindow
	seen := float64(p.answers.count(p.now-span)) / span / float64(max(1, p.upCount)) * peers
	limit := p.cfg.OverloadMultiple * level * max(seen, 1/longest) * p.cfg.OverloadWindow
	root := (math.Sqrt(coldDeviations*coldDeviations+4*limit) - coldDeviations) / 2 // root² + coldDeviations·root = limit
	return root * root / p.cfg.OverloadWindow / peers, true
}

// coldLimited tells whether a replica is cold and has had what it may take by now. Credit counts from its start,
// not from the news of it; a window's worth may go at once, and so may what would be held, on the mean, until
// an own part comes there, less where few were seen: most of what it may take went unused. Each instance's
// begins at another point (phase), or all would send their first part at once. Where a window earns less than
// one part two are kept: with so little traffic of one's own parts come seldom, and then by twos.
func (p *Policy) coldLimited(r *replica) bool {
	rate, cold := p.coldRate(r)
	most := 1.0
	if rate*p.cfg.OverloadWindow < 1 {
		most = 2
	}
	r.credit, r.creditAt = min(most, r.credit+rate*(p.now-r.creditAt)), p.now
	return cold && r.credit < 1
}

// admissionRefusal decides on a query at its arrival. By Little's law the parts out, over the rate at which parts
// come back, are the time that a new part will take. Where that leaves too little of the promise the query is
// refused, earlier if its tenant is over its share. It is asked of all replicas together and of each shard's
// holders. Guards against queues that make every answer late, and work for queries that cannot be whole.
func (p *Policy) admissionRefusal(q *query) Reason {
	c := &p.cfg.Classes[q.class]
	time := min(c.Promise, q.deadline-p.now) // clients that leave early set the pace
	wait := maxWaitShare * time
	if c.FollowUp > 0 {
		wait /= 2 // the promise holds for both steps
	}
	over := p.overShareFactor(q)
	wait /= over * max(1, q.limits.PromiseDivisor)
	blind := p.now-p.stallEndedAt < p.minPromise // our own standstill tells no rate
	hope, least := len(q.parts), max(1, minReplicaInFlight/float64(p.cfg.Coordinators))
	for _, pt := range q.parts {
		if !slices.ContainsFunc(p.holders(pt.shard), func(r *replica) bool {
			rate := float64(r.answers.count(p.now-rateWindow*p.minPromise)) / (rateWindow * p.minPromise)
			rec := &r.records[q.class]
			return (p.now >= r.nextTrialAt || !r.unavailable && !(rec.suspect && rec.failing)) &&
				(blind || float64(len(r.inFlight)) <= max(least, wait*rate))
		}) {
			hope--
		}
	}
	if hope < q.need {
		return HoldersBusy
	}
	// A rate seen in a lull says little, so latencies must show the queues as well.
	slow := p.recentLatency.value*c.Promise > slowLatencyShare*maxWaitShare*time/over
	room := max(minInFlightShares*p.serverShare(q.need)/over, wait*float64(p.answers.count(p.now-p.minPromise))/p.minPromise)
	// Guards against many co-ordinators with little traffic each: what one may always have out is, from all
	// of them, more than the fleet holds, and it spends itself on parts of queries that are given up.
	// What the latest parts took tells the queues with none of ours out. It fades: a query goes and sees.
	bound := wait * over
	if p.upCount < p.cfg.Coordinators { // not one replica's worth each: queues grow for all before one has seen it
		bound *= slowLatencyShare
	}
	if p.recentLatency.value*p.recentLatencyFactor()*c.Promise > bound && !p.admitProbe(q) {
		return RecentLatency
	}
	switch {
	case p.nearlyFull() && (over > 1 || q.limits.Yield):
		return NearlyFull
	case slow && float64(p.inFlight-p.overdueInFlight) > room:
		return OwnBacklog
	}
	return NoReason
}

// admitProbe tells whether a query is let in to see whether the queues have gone. Guards against an instance that
// has nothing out, so that no news comes, and refuses all by what it knows of before. All co-ordinators
// together use maxProbeShare of the replicas at the most, so many of them with few replicas wait for long.
func (p *Policy) admitProbe(q *query) bool {
	if p.inFlight > p.overdueInFlight {
		return false
	}
	work := float64(len(q.parts)+p.cfg.Classes[q.class].FollowUp) * p.models[q.class].fast
	replicas := float64(p.upCount) / float64(p.cfg.Coordinators)
	if p.now-max(p.recentLatencyAt, p.lastProbeAt) < work/(maxProbeShare*replicas) {
		return false
	}
	p.lastProbeAt, q.probe = p.now, true
	return true
}

// nearlyFull tells that queries will soon be turned away before they reach this instance.
func (p *Policy) nearlyFull() bool {
	return p.cfg.MaxOpen > 0 && float64(len(p.queries)+len(p.parts)) > nearlyFullShare*float64(p.cfg.MaxOpen)
}

// overShareFactor tells how many times over its share a query's tenant is, at least 1: over both its part of the
// quota and its share of what comes here, since only our own traffic is known.
func (p *Policy) overShareFactor(q *query) float64 {
	if q.tenant < 0 || p.cfg.OverShareValue >= 1 {
		return 1
	}
	t, span := &p.cfg.Tenants[q.tenant], tenantWindow*p.minPromise
	mine, all := float64(p.tenantArrivals[q.tenant].count(p.now-span)), float64(p.arrivals.count(p.now-span))
	fair := max(span*t.Quota/float64(p.cfg.Coordinators), t.Share*all)
	return max(1, mine/max(1, fair+tenantDeviations*math.Sqrt(fair)))
}
