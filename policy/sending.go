package policy

// Sending.

import "math"

// trySend sends one attempt for a part where some holder may take it now; otherwise the part waits for a look.
func (p *Policy) trySend(pt *part, hedge bool) bool {
	r, rank := p.pickReplica(pt)
	if r == nil || hedge && rank > 0 {
		return false
	}
	if n := len(pt.attempts); pt.inFlight == 0 && n > 0 && rank > 0 {
		// Guards against quick failures at all holders, which use up a part's attempts within milliseconds:
		// with no sound holder left to try, wait ever longer.
		wait := backoffShare * p.cfg.Classes[pt.query.class].Promise * math.Exp2(float64(n-1))
		if pt.retryAt = pt.attempts[n-1].sentAt + wait; pt.retryAt > p.now {
			return false
		}
	}
	return p.send(pt, r, hedge)
}

// send is the one place from which attempts go; every rule on sending is kept here.
func (p *Policy) send(pt *part, r *replica, hedge bool) bool {
	again := len(pt.attempts) > 0
	switch {
	case pt.closed || pt.received || pt.query.deadline-p.now <= p.tick, // rule 1: nothing after the end
		len(pt.attempts) >= p.maxAttempts(pt.query),
		again && !p.mayRepeat(pt), // rule 2
		pt.inFlight > 0 && (!p.cfg.SecondCopies || pt.inFlight > 1),
		pt.inFlight > 0 && (pt.query.limits.NoCopies || p.age(pt.lastAttempt()) < pt.query.limits.CopyAfter),
		r.state != Up,                            // rule 3
		p.coldLimited(r),                         // rule 4
		again && !p.spendBudget(pt.query, hedge): // rule 6, last since it books the attempt
		return false
	}
	r.credit-- // while it is cold
	if !again && p.trialCredit < maxTrialCredit {
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

// attemptTimeout is how long an attempt may take, 0 for as long as the client waits. Guards against queues of parts
// that nobody needs in time any more: while latencies show queues a safe part ends with its query's promise,
// and replicas that do not begin what is overdue turn to what is not.
func (p *Policy) attemptTimeout(q *query) float64 {
	c, most := &p.cfg.Classes[q.class], q.limits.AttemptTimeout
	left := q.arrivedAt + c.Promise - p.now
	if c.Effect == Safe && left > p.tick && p.recentLatency.value > queueingThreshold && (most == 0 || left < most) {
		return left
	}
	return most
}

// maxAttempts is how many attempts a part may have: the settings' number, or fewer where the route says so.
func (p *Policy) maxAttempts(q *query) int {
	if q.limits.MaxAttempts > 0 {
		return min(p.cfg.MaxAttempts, q.limits.MaxAttempts)
	}
	return p.cfg.MaxAttempts
}

// mayRepeat is rule 2: what may have run goes again if it is safe, or keyed and well within the window.
func (p *Policy) mayRepeat(pt *part) bool {
	c, first := &p.cfg.Classes[pt.query.class], pt.firstMayHaveRun()
	inWindow := first != nil && p.now < first.sentAt+c.Window-deadlineMargin*p.tick
	return c.Effect == Safe || first == nil || c.Effect == Keyed && inWindow
}

// spendBudget books an attempt beyond a part's first in the one ledger of these (rule 6).
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

// hasBudget tells whether the ledger has one more. Where no budget is stated, second copies alone are bounded.
func (p *Policy) hasBudget(q *query, hedge bool) bool {
	free, share, span := p.cfg.ExtraFree, p.cfg.ExtraPerRequest, p.cfg.ExtraWindow
	if span <= 0 {
		if !hedge && q.limits.BudgetShare == 0 {
			return true
		}
		free, share, span = defaultExtraFree, defaultExtraPerRequest, defaultExtraWindow*p.minPromise
	}
	// Requests on the window's edge are left out and attempts on it counted: either reading is kept.
	taken := p.requests.count(p.now - span + p.cfg.Resolution)
	used := p.extraAttempts.count(p.now - span - p.cfg.Resolution)
	limit := free + share*float64(taken)
	if hedge {
		limit *= copyBudgetShare
	}
	if float64(used+1) > limit {
		return false
	}
	mine, own := p.extraByRoute[q.route].count(p.now-span-p.cfg.Resolution), q.limits.BudgetShare
	return own <= 0 || float64(mine+1) <= own*limit
}
