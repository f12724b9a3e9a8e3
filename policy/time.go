package policy

// Time: the periodic check of open queries, late parts and timeouts.

import "slices"

// checkOpenQueries checks all open queries. It runs once per tick.
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

// lateAge returns the age from which a part of the class counts as late. It grows immediately with recent
// latencies: if the whole fleet slows down, sending a second copy of every part would make that worse.
func (p *Policy) lateAge(class int) float64 {
	md := &p.models[class]
	return max(1, p.slowdown.value) * max(minLateShare*p.cfg.Classes[class].Promise,
		max(minLateMedians*md.median, min(maxLateMedians*md.median, md.lateLatency)))
}

// age returns how long an attempt has been in flight, not counting the time before the end of this instance's
// last stall, when its answer could not be seen.
func (p *Policy) age(a *attempt) float64 { return p.now - max(a.sentAt, p.stallEndedAt) }

// timeoutReason returns why a query must end because of its time alone, NoReason if it need not yet.
func (p *Policy) timeoutReason(q *query) Reason {
	c := &p.cfg.Classes[q.class]
	if q.deadline-p.now <= deadlineMargin*p.tick ||
		q.limits.StepTimeout > 0 && p.now-q.stepStart+p.tick >= q.limits.StepTimeout {
		return OutOfTime
	}
	if age := p.now - q.arrivedAt; age+p.tick >= c.Promise {
		// Once the promise has passed, a partial answer may be worth more than a complete late one. A
		// query that earns nothing late, or any late query while the instance is nearly full, only delays
		// other queries.
		if p.partialValue(q) > c.LateValue || age >= c.Promise && (c.LateValue == 0 || p.nearlyFull()) {
			return PromiseMissed
		}
	}
	return NoReason
}

// checkQuery ends a query whose time is over, and otherwise deals with its late, lost and waiting parts.
func (p *Policy) checkQuery(q *query) {
	if reason := p.timeoutReason(q); reason != NoReason {
		p.giveUp(q, reason)
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
		latest, age := pt.lastAttempt(), p.age(pt.lastAttempt())
		if pt.inFlight > 1 {
			if age >= lostFactor*late && len(pt.attempts) < p.maxAttempts(q) {
				p.cancelAttempts(pt, 1) // both copies seem lost: cancel one so that another may be sent
			}
			continue
		}
		if p.excluded(latest.replica, q.class) && len(p.holders(pt.shard)) > fewHolders {
			// It is a trial: a copy is sent sooner.
			late = min(late, minLateMedians*p.models[q.class].median*pt.workRatio)
		}
		// A replica may lose the answer of one part and still answer others.
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

// reassign cancels the attempt of a part where second copies are not allowed; the part is sent again once the
// end of that attempt is reported. Otherwise a silent replica would hold the part for as long as the client
// waits. A part that may not be repeated stays, and so does one that no healthy holder can take.
func (p *Policy) reassign(pt *part) {
	r, rank := p.pickReplica(pt)
	if p.cfg.Cancel && p.mayRepeat(pt) && len(pt.attempts) < p.maxAttempts(pt.query) &&
		r != nil && rank == 0 && p.hasBudget(pt.query, false) {
		p.cancelAttempts(pt, 1)
	}
}

// coverWithoutCopy reports whether a late part of the query needs no second copy: the parts answered or in
// flight on time may suffice, else a part that was not requested so far is sent instead.
func (p *Policy) coverWithoutCopy(q *query, lateAge float64) bool {
	onTime, unsent := q.receivedCount, len(q.parts)-q.requested
	for _, pt := range q.parts {
		if !pt.received && pt.inFlight > 0 {
			if a := pt.lastAttempt(); !p.excluded(a.replica, q.class) && p.age(a) < lateAge*pt.workRatio {
				onTime++
			}
		}
	}
	if onTime >= q.need {
		return true
	}
	if unsent > 0 {
		p.requestParts(q, q.requested+1)
	}
	return unsent > 0
}
