package policy

// Guards: the protection of cold replicas, and the admission of queries.

import "math"
import "slices"

// phaseOffset spreads the co-ordinators evenly over 0 to 1, in a different order for each replica. It uses
// the replica's shared id, because the co-ordinators may have different ids of their own for the same
// replica.
func (p *Policy) phaseOffset(sharedID uint64) float64 {
	_, f := math.Modf(float64(uint32(sharedID))*math.Phi + float64(p.cfg.Ordinal)/float64(p.cfg.Coordinators))
	return f
}

// coldRate returns how many parts per second this instance may send to a cold replica (rule 4), and false for
// a warm one. The capacity of a warm replica is not known, so the larger of two lower bounds is used: the
// rate of answers that this instance gets from an average replica, times the number of co-ordinators; and one
// core at the fast latency of the slowest class, which includes little waiting. The share of the capacity
// that the cold replica has is the lowest that the settings allow at the middle of the overload window. The
// other co-ordinators use their shares at random times, so the mean must lie far enough below the limit to
// allow for random variation.
func (p *Policy) coldRate(r *replica) (float64, bool) {
	age, peers := p.now-r.started, float64(p.cfg.Coordinators)
	if r.started <= 0 || age >= p.cfg.WarmUp || p.cfg.OverloadMultiple*p.cfg.OverloadWindow <= 0 {
		return 0, false
	}
	capacityShare := p.cfg.ColdCapacity +
		(1-p.cfg.ColdCapacity)*max(0, age-p.cfg.OverloadWindow/2)/p.cfg.WarmUp
	longest := 0.0
	for i := range p.models {
		longest = max(longest, p.models[i].fast)
	}
	span := coldHistory * p.cfg.OverloadWindow
	seen := float64(p.answers.count(p.now-span)) / span / float64(max(1, p.upCount)) * peers
	limit := p.cfg.OverloadMultiple * capacityShare * max(seen, 1/longest) * p.cfg.OverloadWindow
	// The expected number of parts is root², such that root² + coldDeviations·root = limit.
	root := (math.Sqrt(coldDeviations*coldDeviations+4*limit) - coldDeviations) / 2
	return root * root / p.cfg.OverloadWindow / peers, true
}

// coldLimited reports whether a replica is cold and has been sent all that it may take by now. Credit accrues
// from the replica's start, not from the time at which this instance learned of it, and it is backdated (see
// listChanged): the credit of one overload window may be used at once, and so may the credit that would
// accrue, on average, before this instance has a part to send there, less if few answers were seen. Without
// this most of the allowance went unused. Each instance's credit starts at a different phase offset;
// otherwise all instances would send their first part at the same time. The credit is capped at one part, or
// at two if an overload window earns less than one part: with so little traffic, an instance's parts arrive
// rarely, and then two at a time.
func (p *Policy) coldLimited(r *replica) bool {
	rate, cold := p.coldRate(r)
	maxCredit := 1.0
	if rate*p.cfg.OverloadWindow < 1 {
		maxCredit = 2
	}
	r.credit, r.creditAt = min(maxCredit, r.credit+rate*(p.now-r.creditAt)), p.now
	return cold && r.credit < 1
}

// admissionRefusal returns why a query is refused on arrival, NoReason if it is admitted. By Little's law,
// the parts in flight divided by the rate of answers is the time that a new part will take. If that leaves
// too little of the promise the query is refused, earlier if its tenant is over its share. This is checked
// for all replicas together and for the holders of each shard. It avoids queues that make every answer late,
// and work on queries that cannot become complete.
func (p *Policy) admissionRefusal(q *query) Reason {
	c := &p.cfg.Classes[q.class]
	available := min(c.Promise, q.deadline-p.now) // a client may leave before the promise
	maxWait := maxWaitShare * available
	if c.FollowUp > 0 {
		maxWait /= 2 // the promise covers both steps
	}
	overShare := p.overShareFactor(q)
	maxWait /= overShare * max(1, q.limits.PromiseDivisor)
	rateUnknown := p.now-p.stallEndedAt < p.minPromise // a stall of this instance hides the rate of answers
	reachable, minOut := len(q.parts), max(1, minReplicaInFlight/float64(p.cfg.Coordinators))
	for _, pt := range q.parts {
		if !slices.ContainsFunc(p.holders(pt.shard), func(r *replica) bool {
			rate := float64(r.answers.count(p.now-rateWindow*p.minPromise)) / (rateWindow * p.minPromise)
			rec := &r.records[q.class]
			return (p.now >= r.nextTrialAt || !r.unavailable && !(rec.suspect && rec.failing)) &&
				(rateUnknown || float64(len(r.inFlight)) <= max(minOut, maxWait*rate))
		}) {
			reachable--
		}
	}
	if reachable < q.need {
		return HoldersBusy
	}
	// A rate measured under little traffic says little, so latencies must show queueing as well.
	slow := p.recentLatency.value*c.Promise > slowLatencyShare*maxWaitShare*available/overShare
	maxInFlight := max(minInFlightShares*p.serverShare(q.need)/overShare,
		maxWait*float64(p.answers.count(p.now-p.minPromise))/p.minPromise)
	// With many co-ordinators that have little traffic each, the parts that every one of them may always have
	// in flight add up to more than the fleet can hold, and the fleet would spend its capacity on parts of
	// queries that are given up. Recent latency shows the queues even if this instance has nothing in flight.
	// It decays with time, and queries admitted as probes measure it again.
	maxLatency := maxWait * overShare
	if p.upCount < p.cfg.Coordinators {
		// Less than one replica per co-ordinator: queues grow for all before any one of them sees it.
		maxLatency *= slowLatencyShare
	}
	if p.recentLatency.value*p.recentLatencyFactor()*c.Promise > maxLatency && !p.admitProbe(q) {
		return RecentLatency
	}
	switch {
	case p.nearlyFull() && (overShare > 1 || q.limits.Yield):
		return NearlyFull
	case slow && float64(p.inFlight-p.overdueInFlight) > maxInFlight:
		return OwnBacklog
	}
	return NoReason
}

// admitProbe reports whether a query is admitted as a probe, to measure whether the queues are gone. Without
// probes, an instance with nothing in flight would get no new samples and would refuse every query because of
// old ones. The probes of all co-ordinators together use at most maxProbeShare of the replicas' capacity, so
// the time between probes is long if many co-ordinators share few replicas.
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

// nearlyFull reports whether the instance is close to MaxOpen, beyond which queries are rejected before they
// reach it.
func (p *Policy) nearlyFull() bool {
	return p.cfg.MaxOpen > 0 && float64(len(p.queries)+len(p.parts)) > nearlyFullShare*float64(p.cfg.MaxOpen)
}

// overShareFactor returns by which factor a query's tenant exceeds its share, at least 1. The share is the
// larger of this instance's part of the tenant's quota and the tenant's share of the queries that arrive
// here, since only the traffic of this instance is known.
func (p *Policy) overShareFactor(q *query) float64 {
	if q.tenant < 0 || p.cfg.OverShareValue >= 1 {
		return 1
	}
	t, span := &p.cfg.Tenants[q.tenant], tenantWindow*p.minPromise
	own, all := float64(p.tenantArrivals[q.tenant].count(p.now-span)), float64(p.arrivals.count(p.now-span))
	fair := max(span*t.Quota/float64(p.cfg.Coordinators), t.Share*all)
	return max(1, own/max(1, fair+tenantDeviations*math.Sqrt(fair)))
}
