package policy

// Answers.

import "slices"

// settle answers a query that has enough, and gives up one that can no longer have it.
func (p *Policy) settle(q *query) {
	c := &p.cfg.Classes[q.class]
	need, hope := c.Need, q.receivedWeight
	if q.step == 2 {
		need = 1
	}
	for _, pt := range q.parts {
		if !pt.received && !pt.exhausted {
			hope += pt.weight
		}
	}
	switch {
	case q.receivedWeight >= need-weightTolerance && (q.step == 1 || q.receivedCount == len(q.parts)):
		p.answer(q)
	case hope < need-weightTolerance && p.partialValue(q) > 0:
		p.answer(q)
	case hope < min(need, p.floor(q))-weightTolerance:
		p.giveUp(q, PartsLost)
	}
}

// partialValue is what an answer from the parts that are in would earn, as a share of a whole one's.
func (p *Policy) partialValue(q *query) float64 {
	c := &p.cfg.Classes[q.class]
	if !p.floorMet(q) || q.receivedCount == 0 {
		return 0
	}
	return c.PartialValue * min(1, q.receivedWeight/c.Need)
}

// floor is the least share for any answer: the class's, or more where the route says so, never over the need.
func (p *Policy) floor(q *query) float64 {
	c := &p.cfg.Classes[q.class]
	return max(c.Floor, min(q.limits.Floor, c.Need))
}

func (p *Policy) floorMet(q *query) bool {
	floor := p.floor(q)
	if q.step == 2 && floor >= p.cfg.Classes[q.class].Need {
		return q.receivedCount == len(q.parts)
	}
	return q.receivedWeight >= floor-weightTolerance
}

// giveUp ends a query at once: by what is in, else by a refusal where that is allowed, else by a failure.
func (p *Policy) giveUp(q *query, why Reason) {
	if p.floorMet(q) && q.receivedCount > 0 {
		p.answer(q)
		return
	}
	a := Action{Verb: Refuse, Query: q.id, Reason: why}
	ran := func(pt *part) bool { return pt.firstMayHaveRun() != nil }
	if p.cfg.Classes[q.class].Effect != Safe && (q.step == 2 || slices.ContainsFunc(q.parts, ran)) {
		a.Verb = Fail // rule 2; what the first step ran is forgotten by now, and its parts with it
	}
	if a.Verb == Refuse && p.cfg.RetryAfter {
		a.After = min(p.cfg.MaxRetryAfter, p.models[q.class].mean)
		if most := q.limits.MaxRetryAfter; most > 0 {
			a.After = min(a.After, most)
		}
	}
	p.finish(q, a)
}

// answer ends a query, or its first step, from the parts that are in (rule 5).
func (p *Policy) answer(q *query) {
	c := &p.cfg.Classes[q.class]
	if !p.floorMet(q) {
		return
	}
	whole := q.receivedWeight >= c.Need-weightTolerance
	if q.step == 2 {
		whole = q.firstComplete && q.receivedCount == len(q.parts)
	}
	if q.step == 1 && c.FollowUp > 0 {
		p.emit(Action{Verb: Answer, Query: q.id, Complete: whole})
		p.releaseParts(q)
		q.step, q.stepStart, q.firstComplete = 2, p.now, whole
		q.parts, q.requested, q.receivedWeight, q.receivedCount = nil, 0, 0, 0
		return
	}
	p.finish(q, Action{Verb: Answer, Query: q.id, Complete: whole})
}

// finish is the one place from which a query's final answer goes (rule 1).
func (p *Policy) finish(q *query, a Action) {
	if q.ended {
		return
	}
	p.emit(a)
	p.closeQuery(q)
}

// closeQuery forgets a query; what is still out of it is cancelled.
func (p *Policy) closeQuery(q *query) {
	q.ended = true
	p.releaseParts(q)
	delete(p.queries, q.id)
	delete(p.queriesByGroup, q.group)
}

// releaseParts ends the parts of a step.
func (p *Policy) releaseParts(q *query) {
	for _, pt := range q.parts {
		p.cancelAttempts(pt, pt.inFlight)
		if pt.inFlight == 0 {
			delete(p.parts, pt.id)
		}
		pt.closed = true
	}
}

// cancelAttempts cancels the first n attempts that are out of a part.
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
