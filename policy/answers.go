package policy

// Answers: when and how a query or its first step ends.

import "slices"

// settle answers a query that has enough parts, and gives up one that can no longer get them.
func (p *Policy) settle(q *query) {
	c := &p.cfg.Classes[q.class]
	need, possible := c.Need, q.receivedWeight
	if q.step == 2 {
		need = 1
	}
	for _, pt := range q.parts {
		if !pt.received && !pt.exhausted {
			possible += pt.weight
		}
	}
	switch {
	case q.receivedWeight >= need-weightTolerance && (q.step == 1 || q.receivedCount == len(q.parts)):
		p.answer(q)
	case possible < need-weightTolerance && p.partialValue(q) > 0:
		p.answer(q)
	case possible < min(need, p.floor(q))-weightTolerance:
		p.giveUp(q, PartsLost)
	}
}

// partialValue returns the value of an answer from the received parts, as a share of that of a complete one.
func (p *Policy) partialValue(q *query) float64 {
	c := &p.cfg.Classes[q.class]
	if !p.floorMet(q) || q.receivedCount == 0 {
		return 0
	}
	return c.PartialValue * min(1, q.receivedWeight/c.Need)
}

// floor returns the minimum share of weight for any answer: that of the class, or a higher one of the route,
// which is capped at the class's Need.
func (p *Policy) floor(q *query) float64 {
	c := &p.cfg.Classes[q.class]
	return max(c.Floor, min(q.limits.Floor, c.Need))
}

// floorMet reports whether the received parts suffice for any answer.
func (p *Policy) floorMet(q *query) bool {
	floor := p.floor(q)
	if q.step == 2 && floor >= p.cfg.Classes[q.class].Need {
		return q.receivedCount == len(q.parts)
	}
	return q.receivedWeight >= floor-weightTolerance
}

// giveUp ends a query at once: with an answer from the received parts if the floor is met, else with a
// refusal if that is allowed, else with a failure.
func (p *Policy) giveUp(q *query, reason Reason) {
	if p.floorMet(q) && q.receivedCount > 0 {
		p.answer(q)
		return
	}
	a := Action{Verb: Refuse, Query: q.id, Reason: reason}
	ran := func(pt *part) bool { return pt.firstMayHaveRun() != nil }
	if p.cfg.Classes[q.class].Effect != Safe && (q.step == 2 || slices.ContainsFunc(q.parts, ran)) {
		a.Verb = Fail // rule 2; in step 2 the parts that ran in step 1 are no longer held
	}
	if a.Verb == Refuse && p.cfg.RetryAfter {
		a.After = min(p.cfg.MaxRetryAfter, p.models[q.class].mean)
		if limit := q.limits.MaxRetryAfter; limit > 0 {
			a.After = min(a.After, limit)
		}
	}
	p.finish(q, a)
}

// answer ends a query, or its first step, with an answer from the received parts (rule 5).
func (p *Policy) answer(q *query) {
	c := &p.cfg.Classes[q.class]
	if !p.floorMet(q) {
		return
	}
	complete := q.receivedWeight >= c.Need-weightTolerance
	if q.step == 2 {
		complete = q.firstComplete && q.receivedCount == len(q.parts)
	}
	if q.step == 1 && c.FollowUp > 0 {
		p.emit(Action{Verb: Answer, Query: q.id, Complete: complete})
		p.releaseParts(q)
		q.step, q.stepStart, q.firstComplete = 2, p.now, complete
		q.parts, q.requested, q.receivedWeight, q.receivedCount = nil, 0, 0, 0
		return
	}
	p.finish(q, Action{Verb: Answer, Query: q.id, Complete: complete})
}

// finish sends the final answer of a query, once only. It is the only place that does (rule 1).
func (p *Policy) finish(q *query, a Action) {
	if q.ended {
		return
	}
	p.emit(a)
	p.closeQuery(q)
}

// closeQuery removes a query and cancels its attempts that are in flight.
func (p *Policy) closeQuery(q *query) {
	q.ended = true
	p.releaseParts(q)
	delete(p.queries, q.id)
	delete(p.queriesByGroup, q.group)
}

// releaseParts closes the parts of the current step and cancels their attempts.
func (p *Policy) releaseParts(q *query) {
	for _, pt := range q.parts {
		p.cancelAttempts(pt, pt.inFlight)
		if pt.inFlight == 0 {
			delete(p.parts, pt.id)
		}
		pt.closed = true
	}
}

// cancelAttempts cancels the first n attempts of a part that are in flight.
func (p *Policy) cancelAttempts(pt *part, n int) {
	for _, a := range pt.attempts {
		if a.ended || n == 0 {
			continue
		}
		if n--; !a.cancelled && p.cfg.Cancel {
			a.cancelled = true
			p.emit(Action{Verb: Cancel, Part: pt.id, Attempt: a.number})
		}
	}
}
