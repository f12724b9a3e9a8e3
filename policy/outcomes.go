package policy

// Outcomes: what follows from the end of an attempt.

import "math"

// attemptEnded records the outcome of an attempt, and answers its query or sends the part again as needed.
func (p *Policy) attemptEnded(ev *Event) {
	pt := p.parts[ev.Part]
	if pt == nil || ev.Attempt < 0 || ev.Attempt >= len(pt.attempts) || pt.attempts[ev.Attempt].ended {
		return
	}
	a, q := pt.attempts[ev.Attempt], pt.query
	a.ended = true
	a.neverRan = ev.Outcome == Rejected || ev.Outcome == Unreachable || ev.Outcome == NotSent
	a.replica.removeAttempt(a)
	pt.inFlight--
	p.inFlight--
	if a.overdue {
		p.overdueInFlight--
	}
	p.updateHealth(a, ev.Outcome, ev.Latency)
	if ev.Outcome == OK {
		p.answers.add(p.now)
		a.replica.answers.add(p.now)
	}
	if ev.Outcome == Rejected { // its queue is full: waiting in it would exceed any promise
		p.recordLatency(q, 1)
	}
	if ev.Outcome == OK && a.sentAt >= p.stallEndedAt {
		p.models[q.class].latencies.add(p.now, ev.Latency)
		slowness := ev.Latency / p.models[q.class].mean
		p.slowdown.add(slowness, latencySampleWeight)
		a.replica.slowness, a.replica.slownessAt = p.slowness(a.replica)+
			slownessWeight*(slowness/pt.workRatio-p.slowness(a.replica)), p.now
		p.recordLatency(q, ev.Latency/p.cfg.Classes[q.class].Promise)
	}
	switch {
	case pt.closed: // its query or step has ended, so the answer is not used
		if pt.inFlight == 0 {
			delete(p.parts, pt.id)
		}
	case ev.Outcome != OK:
		p.handleFailure(pt)
	case !pt.received:
		pt.received = true
		q.receivedWeight += pt.weight
		q.receivedCount++
		p.cancelAttempts(pt, pt.inFlight)
		if q.scouting {
			p.requestPlanned(q)
		}
		p.settle(q)
	}
}

// recordLatency adds the latency of a part of q, in promises, to the recent latency.
func (p *Policy) recordLatency(q *query, latency float64) {
	weight := latencySampleWeight
	if q.probe {
		weight = 1 - math.Pow(1-probeWeight, 1/float64(len(q.parts)))
	}
	p.recentLatency.add(latency, weight)
	p.recentLatencyAt = p.now
}

// recentLatencyFactor returns how much the recent latency still counts: 1 when its newest sample has just
// arrived, decaying to 0.
func (p *Policy) recentLatencyFactor() float64 {
	return math.Exp((p.recentLatencyAt - p.now) / (historySpan * p.minPromise))
}

// handleFailure sends the part again, or another part instead, after an attempt that brought no answer.
func (p *Policy) handleFailure(pt *part) {
	q := pt.query
	if pt.received || pt.inFlight > 0 || p.withholdRetries(q) {
		return
	}
	if len(pt.attempts) >= p.maxAttempts(q) || !p.mayRepeat(pt) {
		pt.exhausted = true
	}
	if q.requested < len(q.parts) {
		// A part that was not requested so far costs no extra attempt, so it has priority over a repeat.
		p.requestParts(q, q.requested+1)
	} else if !pt.exhausted {
		p.trySend(pt, false)
	}
	if pt.exhausted {
		p.settle(q)
	}
}

// withholdRetries reports whether no part of the query may be sent again for now. A query that crashes
// replicas would bring down all holders if its parts were sent again. As long as other parts may still be
// answered, those whose replica went down wait; if the query is not the cause, one of the others is answered
// and retries go on. If no part was answered, the query fails when two replicas went down with it, or one if
// it is a client's retry or other replicas went down recently.
func (p *Policy) withholdRetries(q *query) bool {
	if len(q.brokenReplicas) == 0 || q.receivedCount > 0 || q.step > 1 || q.ended {
		return q.ended
	}
	for _, pt := range q.parts {
		if pt.inFlight > 0 && p.age(pt.lastAttempt()) < p.lateAge(q.class)*pt.workRatio {
			return true
		}
	}
	if len(q.brokenReplicas) > 1 || q.mayBreak {
		// It fails rather than being refused, because a client's retry would do harm.
		p.finish(q, Action{Verb: Fail, Query: q.id, Reason: BreaksReplica})
	}
	return q.ended
}
