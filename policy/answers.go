package policy

// Answers.

import "slices"

// settle answers a query that has enough, and gives up one that can no longer have it.
func (p *Policy) settle(q *query) {
	c := &p.cfg.Classes[q.class]
	need, hope := c.Need, q.in
	if q.step == 2 {
		need = 1
	}
	for _, pt := range q.parts {
		if !pt.in && !pt.dead {
			hope += pt.weight
		}
	}
	switch {
	case q.in >= need-weightSlip && (q.step == 1 || q.inCount == len(q.parts)):
		p.answer(q)
	case hope < need-weightSlip && p.shortWorth(q) > 0:
		p.answer(q)
	case hope < min(need, p.floor(q))-weightSlip:
		p.giveUp(q, PartsLost)
	}
}

// shortWorth is what an answer from the parts that are in would earn, as a share of a whole one's.
func (p *Policy) shortWorth(q *query) float64 {
	c := &p.cfg.Classes[q.class]
	if !p.floorMet(q) || q.inCount == 0 {
		return 0
	}
	return c.ShortWorth * min(1, q.in/c.Need)
}

// floor is the least share for any answer: the class's, or more where the route says so, never over the need.
func (p *Policy) floor(q *query) float64 {
	c := &p.cfg.Classes[q.class]
	return max(c.Floor, min(q.lim.Floor, c.Need))
}

func (p *Policy) floorMet(q *query) bool {
	floor := p.floor(q)
	if q.step == 2 && floor >= p.cfg.Classes[q.class].Need {
		return q.inCount == len(q.parts)
	}
	return q.in >= floor-weightSlip
}

// giveUp ends a query at once: by what is in, else by a refusal where that is allowed, else by a failure.
func (p *Policy) giveUp(q *query, why Reason) {
	if p.floorMet(q) && q.inCount > 0 {
		p.answer(q)
		return
	}
	a := Action{Verb: Refuse, Query: q.id, Reason: why}
	ran := func(pt *part) bool { return pt.firstRun() != nil }
	if p.cfg.Classes[q.class].Effect != Safe && (q.step == 2 || slices.ContainsFunc(q.parts, ran)) {
		a.Verb = Fail // rule 2; what the first step ran is forgotten by now, and its parts with it
	}
	if a.Verb == Refuse && p.cfg.RetryAfter {
		a.After = min(p.cfg.MaxRetryAfter, p.models[q.class].mean)
		if most := q.lim.ComeBack; most > 0 {
			a.After = min(a.After, most)
		}
	}
	p.final(q, a)
}

// answer ends a query, or its first step, from the parts that are in (rule 5).
func (p *Policy) answer(q *query) {
	c := &p.cfg.Classes[q.class]
	if !p.floorMet(q) {
		return
	}
	whole := q.in >= c.Need-weightSlip
	if q.step == 2 {
		whole = q.firstWhole && q.inCount == len(q.parts)
	}
	if q.step == 1 && c.FollowUp > 0 {
		p.act(Action{Verb: Answer, Query: q.id, Full: whole})
		p.release(q)
		q.step, q.stepAt, q.firstWhole = 2, p.now, whole
		q.parts, q.asked, q.in, q.inCount = nil, 0, 0, 0
		return
	}
	p.final(q, Action{Verb: Answer, Query: q.id, Full: whole})
}

// final is the one place from which a query's final answer goes (rule 1).
func (p *Policy) final(q *query, a Action) {
	if q.over {
		return
	}
	p.act(a)
	p.end(q)
}

// end forgets a query; what is still out of it is cancelled.
func (p *Policy) end(q *query) {
	q.over = true
	p.release(q)
	delete(p.queries, q.id)
	delete(p.groups, q.group)
}

// release ends the parts of a step.
func (p *Policy) release(q *query) {
	for _, pt := range q.parts {
		p.revoke(pt, pt.out)
		if pt.out == 0 {
			delete(p.parts, pt.id)
		}
		pt.gone = true
	}
}

// revoke cancels the first n attempts that are out of a part.
func (p *Policy) revoke(pt *part, n int) {
	for _, a := range pt.attempts {
		if a.ended || n == 0 {
			continue
		}
		if n--; !a.revoked && p.cfg.Cancel {
			a.revoked = true
			p.act(Action{Verb: Cancel, Part: pt.id, Attempt: a.no})
		}
	}
}
