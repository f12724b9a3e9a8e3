package policy

// Time.

import "slices"

// checkOpenQueries goes over what is open once a tick.
func (p *Policy) checkOpenQueries() {
	if p.now >= p.refreshAt {
		p.refreshAt = p.now + refreshPeriod
		p.refreshModels()
	}
	for _, q := range p.openQueries {
		if !q.ended {
			p.checkQuery(q)
		}
	}
	p.openQueries = slices.DeleteFunc(p.openQueries, func(q *query) bool { return q.ended })
}

// lateAge is the age from which a part of the class counts as late. It grows at once with the latest answers:
// guards against a fleet that slows down as a whole, where copies of every part make it worse.
func (p *Policy) lateAge(class int) float64 {
	md := &p.models[class]
	return max(1, p.slowdown.value) * max(minLateShare*p.cfg.Classes[class].Promise,
		max(minLateMedians*md.median, min(maxLateMedians*md.median, md.lateLatency)))
}

// age is for how long an attempt has been out, as far as we were there to see its end.
func (p *Policy) age(a *attempt) float64 { return p.now - max(a.sentAt, p.stallEndedAt) }

// timeoutReason is why a query ends by its time alone, NoReason while it need not.
func (p *Policy) timeoutReason(q *query) Reason {
	c := &p.cfg.Classes[q.class]
	if q.deadline-p.now <= deadlineMargin*p.tick || q.limits.StepTimeout > 0 && p.now-q.stepStart+p.tick >= q.limits.StepTimeout {
		return OutOfTime
	}
	if age := p.now - q.arrivedAt; age+p.tick >= c.Promise {
		// After the promise a short answer may be worth more than waiting for the whole, and what earns
		// nothing late, or any late one while the instance is full, only keeps others waiting.
		if p.partialValue(q) > c.LateValue || age >= c.Promise && (c.LateValue == 0 || p.nearlyFull()) {
			return PromiseMissed
		}
	}
	return NoReason
}

func (p *Policy) checkQuery(q *query) {
	if why := p.timeoutReason(q); why != NoReason {
		p.giveUp(q, why)
		return
	}
	base := p.lateAge(q.class)
	if q.scouting && p.now-q.arrivedAt > p.models[q.class].fast {
		p.requestPlanned(q)
	}
	for _, pt := range q.parts {
		if q.ended {
			return
		}
		if pt.received || pt.exhausted || !pt.requested {
			continue
		}
		late := base * pt.workRatio
		for _, a := range pt.attempts {
			if age := p.age(a); !a.ended && !a.overdue && age >= late && age >= p.penaltyAge(a) {
				a.overdue = true
				p.overdueInFlight++
				p.recordBad(a, false)
			}
		}
		if pt.inFlight == 0 {
			if pt.retryAt <= p.now {
				if len(pt.attempts) == 0 {
					p.trySend(pt, false)
				} else {
					p.handleFailure(pt)
				}
			}
			continue
		}
		a, age := pt.lastAttempt(), p.age(pt.lastAttempt())
		if pt.inFlight > 1 {
			if age >= lostFactor*late && len(pt.attempts) < p.maxAttempts(q) {
				p.cancelAttempts(pt, 1) // both copies seem lost: make room for one more
			}
			continue
		}
		if p.excluded(a.replica, q.class) && len(p.holders(pt.shard)) > fewHolders { // a trial: no need to wait long
			late = min(late, minLateMedians*p.models[q.class].median*pt.workRatio)
		}
		// Guards against answers that never come from a replica that goes on answering others.
		lost := age >= lostFactor*late
		if !lost && age < late {
			continue
		}
		switch {
		case p.coverWithoutCopy(q, base):
		case p.cfg.SecondCopies:
			p.trySend(pt, !lost)
		case lost:
			p.reassign(pt)
		}
	}
}

// reassign takes a part back where a second attempt may not run beside the first; it goes again once its end is
// told. Guards against silent replicas, which keep it for as long as the client waits. What may not be
// repeated stays, and so does a part that no sound holder would take.
func (p *Policy) reassign(pt *part) {
	r, rank := p.pickReplica(pt)
	if p.cfg.Cancel && p.mayRepeat(pt) && len(pt.attempts) < p.maxAttempts(pt.query) &&
		r != nil && rank == 0 && p.hasBudget(pt.query, false) {
		p.cancelAttempts(pt, 1)
	}
}

// coverWithoutCopy answers lateness without a second copy where it can: parts that are out in good time may
// suffice, or a part that was held back goes first. It tells whether that is so.
func (p *Policy) coverWithoutCopy(q *query, late float64) bool {
	good, left := q.receivedCount, len(q.parts)-q.requested
	for _, pt := range q.parts {
		if !pt.received && pt.inFlight > 0 {
			if a := pt.lastAttempt(); !p.excluded(a.replica, q.class) && p.age(a) < late*pt.workRatio {
				good++
			}
		}
	}
	if good >= q.need {
		return true
	}
	if left > 0 {
		p.requestParts(q, q.requested+1)
	}
	return left > 0
}
