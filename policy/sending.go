package policy

// Sending: the rules on attempts, and the budget of extra attempts.

import "math"

// trySend sends an attempt of a part if some holder may take it now; otherwise the part waits for the next
// check of its query. A hedge is a second copy; it is sent to healthy holders only.
func (p *Policy) trySend(pt *part, hedge bool) bool {
	r, rank := p.pickReplica(pt)
	if r == nil || hedge && rank > 0 {
		return false
	}
	if n := len(pt.attempts); pt.inFlight == 0 && n > 0 && rank > 0 {
		// Quick failures at all holders would use up a part's attempts within milliseconds. Exponential
		// backoff applies if no healthy untried holder is left.
		wait := backoffShare * p.cfg.Classes[pt.query.class].Promise * math.Exp2(float64(n-1))
		if pt.retryAt = pt.attempts[n-1].sentAt + wait; pt.retryAt > p.now {
			return false
		}
	}
	return p.send(pt, r, hedge)
}

// send sends an attempt. It is the only place that does, and it enforces all rules on sending.
func (p *Policy) send(pt *part, r *replica, hedge bool) bool {
	retry := len(pt.attempts) > 0
	switch {
	case pt.closed || pt.received || pt.query.deadline-p.now <= p.tick, // rule 1: nothing after the end
		len(pt.attempts) >= p.maxAttempts(pt.query),
		retry && !p.mayRepeat(pt), // rule 2
		pt.inFlight > 0 && (!p.cfg.SecondCopies || pt.inFlight > 1),
		pt.inFlight > 0 && (pt.query.limits.NoCopies || p.age(pt.lastAttempt()) < pt.query.limits.CopyAfter),
		r.state != Up,                            // rule 3
		p.coldLimited(r),                         // rule 4
		retry && !p.spendBudget(pt.query, hedge): // rule 6; last, as it charges the budget
		return false
	}
	r.credit-- // only used while the replica is cold
	if !retry && p.trialCredit < maxTrialCredit {
		p.trialCredit += trialShare
	}
	if p.excluded(r, pt.query.class) && p.trialDue(r, pt) {
		p.trialCredit--
	}
	if r.lastCall == nil || r.lastCall.turn != p.turn || r.lastCall.parts >= p.cfg.MaxPartsPerCall {
		r.lastCall = &call{turn: p.turn}
	}
	if r.lastCall.inFlight == 0 {
		r.openCalls++
	}
	r.lastCall.parts++
	r.lastCall.inFlight++
	a := &attempt{part: pt, replica: r, call: r.lastCall, number: len(pt.attempts), sentAt: p.now}
	pt.attempts = append(pt.attempts, a)
	pt.inFlight++
	r.inFlight = append(r.inFlight, a)
	p.inFlight++
	p.emit(Action{Verb: Send, Part: pt.id, Replica: r.id, AttemptTimeout: p.attemptTimeout(pt.query)})
	return true
}

// attemptTimeout returns how long an attempt may take, 0 for as long as the client waits. While latencies
// show queueing, the attempt of a safe part times out with its query's promise. Replicas do not start what
// has timed out; otherwise their queues would fill with parts that are too late to be of use.
func (p *Policy) attemptTimeout(q *query) float64 {
	c, limit := &p.cfg.Classes[q.class], q.limits.AttemptTimeout
	remaining := q.arrivedAt + c.Promise - p.now
	if c.Effect == Safe && remaining > p.tick && p.recentLatency.value > queueingThreshold &&
		(limit == 0 || remaining < limit) {
		return remaining
	}
	return limit
}

// maxAttempts returns how many attempts a part may have: the limit of the settings, or of the route if lower.
func (p *Policy) maxAttempts(q *query) int {
	if q.limits.MaxAttempts > 0 {
		return min(p.cfg.MaxAttempts, q.limits.MaxAttempts)
	}
	return p.cfg.MaxAttempts
}

// mayRepeat enforces rule 2: a part that may have run is sent again only if it is safe, or if it is keyed and
// well within the window in which replicas drop repeats.
func (p *Policy) mayRepeat(pt *part) bool {
	c, first := &p.cfg.Classes[pt.query.class], pt.firstMayHaveRun()
	inWindow := first != nil && p.now < first.sentAt+c.Window-deadlineMargin*p.tick
	return c.Effect == Safe || first == nil || c.Effect == Keyed && inWindow
}

// spendBudget charges an attempt beyond a part's first to the budget of extra attempts (rule 6). It returns
// false if the budget does not allow it.
func (p *Policy) spendBudget(q *query, hedge bool) bool {
	if !p.hasBudget(q, hedge) {
		return false
	}
	if p.cfg.ExtraWindow > 0 || hedge || q.limits.BudgetShare > 0 {
		p.extraAttempts.add(p.now)
		p.extraByRoute[q.route].add(p.now)
	}
	return true
}

// hasBudget reports whether the budget allows one more extra attempt. If no budget is configured, only second
// copies and routes with a budget share are limited.
func (p *Policy) hasBudget(q *query, hedge bool) bool {
	free, share, span := p.cfg.ExtraFree, p.cfg.ExtraPerRequest, p.cfg.ExtraWindow
	if span <= 0 {
		if !hedge && q.limits.BudgetShare == 0 {
			return true
		}
		free, share, span = defaultExtraFree, defaultExtraPerRequest, defaultExtraWindow*p.minPromise
	}
	// Requests at the window's edge are left out and attempts at it are counted, so that the budget holds
	// whether or not the window includes its edge.
	requests := p.requests.count(p.now - span + p.cfg.Resolution)
	used := p.extraAttempts.count(p.now - span - p.cfg.Resolution)
	limit := free + share*float64(requests)
	if hedge {
		limit *= copyBudgetShare
	}
	if float64(used+1) > limit {
		return false
	}
	usedByRoute, routeShare := p.extraByRoute[q.route].count(p.now-span-p.cfg.Resolution),
		q.limits.BudgetShare
	return routeShare <= 0 || float64(usedByRoute+1) <= routeShare*limit
}
