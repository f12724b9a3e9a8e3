package policy

// Sending.

import "math"

// try sends one attempt for a part where some holder may take it now; otherwise the part waits for a look.
func (p *Policy) try(pt *part, hedge bool) bool {
	r, rank := p.pick(pt)
	if r == nil || hedge && rank > 0 {
		return false
	}
	if n := len(pt.attempts); pt.out == 0 && n > 0 && rank > 0 {
		// Guards against quick failures at all holders, which use up a part's attempts within milliseconds:
		// with no sound holder left to try, wait ever longer.
		wait := pauseShare * p.cfg.Classes[pt.q.class].Promise * math.Exp2(float64(n-1))
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
	case pt.gone || pt.in || pt.q.due-p.now <= p.tick, // rule 1: nothing after the end
		len(pt.attempts) >= p.attemptsMost(pt.q),
		again && !p.mayRepeat(pt), // rule 2
		pt.out > 0 && (!p.cfg.SecondCopies || pt.out > 1),
		pt.out > 0 && (pt.q.lim.NoCopies || p.age(pt.last()) < pt.q.lim.CopyAfter),
		r.state != Up,                  // rule 3
		p.coldShut(r),                  // rule 4
		again && !p.spend(pt.q, hedge): // rule 6, last since it books the attempt
		return false
	}
	r.credit-- // while it is cold
	if !again && p.trials < trialsMost {
		p.trials += trialShare
	}
	if p.doubted(r, pt.q.class) && p.trialDue(r, pt) {
		p.trials--
	}
	if r.call == nil || r.call.turn != p.turn || r.call.parts >= p.cfg.CallParts {
		r.call = &call{turn: p.turn}
	}
	if r.call.out == 0 {
		r.calls++
	}
	r.call.parts++
	r.call.out++
	a := &attempt{p: pt, r: r, call: r.call, no: len(pt.attempts), sentAt: p.now}
	pt.attempts = append(pt.attempts, a)
	pt.out++
	r.outs = append(r.outs, a)
	p.inFlight++
	p.act(Action{Verb: Send, Part: pt.id, Replica: r.id, TryFor: p.tryFor(pt.q)})
	return true
}

// tryFor is how long an attempt may take, 0 for as long as the client waits. Guards against queues of parts
// that nobody needs in time any more: while latencies show queues a safe part ends with its query's promise,
// and replicas that do not begin what is overdue turn to what is not.
func (p *Policy) tryFor(q *query) float64 {
	c, most := &p.cfg.Classes[q.class], q.lim.TryFor
	left := q.arrived + c.Promise - p.now
	if c.Effect == Safe && left > p.tick && p.stress.value > queueShare && (most == 0 || left < most) {
		return left
	}
	return most
}

// attemptsMost is how many attempts a part may have: the settings' number, or fewer where the route says so.
func (p *Policy) attemptsMost(q *query) int {
	if q.lim.Attempts > 0 {
		return min(p.cfg.MaxAttempts, q.lim.Attempts)
	}
	return p.cfg.MaxAttempts
}

// mayRepeat is rule 2: what may have run goes again if it is safe, or keyed and well within the window.
func (p *Policy) mayRepeat(pt *part) bool {
	c, first := &p.cfg.Classes[pt.q.class], pt.firstRun()
	inWindow := first != nil && p.now < first.sentAt+c.Window-dueMargin*p.tick
	return c.Effect == Safe || first == nil || c.Effect == Keyed && inWindow
}

// spend books an attempt beyond a part's first in the one ledger of these (rule 6).
func (p *Policy) spend(q *query, hedge bool) bool {
	if !p.affords(q, hedge) {
		return false
	}
	if p.cfg.ExtraSpan > 0 || hedge || q.lim.Share > 0 {
		p.extras.add(p.now)
		p.routed[q.route].add(p.now)
	}
	return true
}

// affords tells whether the ledger has one more. Where no budget is stated, second copies alone are bounded.
func (p *Policy) affords(q *query, hedge bool) bool {
	free, share, span := p.cfg.ExtraFree, p.cfg.ExtraPerRequest, p.cfg.ExtraSpan
	if span <= 0 {
		if !hedge && q.lim.Share == 0 {
			return true
		}
		free, share, span = ownFree, ownExtra, ownSpan*p.promise
	}
	// Requests on the window's edge are left out and attempts on it counted: either reading is kept.
	taken := p.requests.count(p.now - span + p.cfg.Resolution)
	used := p.extras.count(p.now - span - p.cfg.Resolution)
	limit := free + share*float64(taken)
	if hedge {
		limit *= copiesShare
	}
	if float64(used+1) > limit {
		return false
	}
	mine, own := p.routed[q.route].count(p.now-span-p.cfg.Resolution), q.lim.Share
	return own <= 0 || float64(mine+1) <= own*limit
}
