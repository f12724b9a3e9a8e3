package policy

// Outcomes.

import "math"

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
	if ev.Outcome == Rejected { // a full queue's wait: no promise would hold
		p.recordLatency(q, 1)
	}
	if ev.Outcome == OK && a.sentAt >= p.stallEndedAt {
		p.models[q.class].latencies.add(p.now, ev.Latency)
		pace := ev.Latency / p.models[q.class].mean
		p.slowdown.add(pace, latencySampleWeight)
		a.replica.slowness, a.replica.slownessAt = p.slowness(a.replica)+slownessWeight*(pace/pt.workRatio-p.slowness(a.replica)), p.now
		p.recordLatency(q, ev.Latency/p.cfg.Classes[q.class].Promise)
	}
	switch {
	case pt.closed: // its query or step has ended, and this answer counts no more
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

// recordLatency takes in what a part of q took, in promises.
func (p *Policy) recordLatency(q *query, took float64) {
	weight := latencySampleWeight
	if q.probe {
		weight = 1 - math.Pow(1-probeWeight, 1/float64(len(q.parts)))
	}
	p.recentLatency.add(took, weight)
	p.recentLatencyAt = p.now
}

// recentLatencyFactor is how much the recent latency still says: 1 when its newest sample has just come, fading to 0.
func (p *Policy) recentLatencyFactor() float64 {
	return math.Exp((p.recentLatencyAt - p.now) / (historySpan * p.minPromise))
}

// handleFailure goes on after an attempt that failed.
func (p *Policy) handleFailure(pt *part) {
	q := pt.query
	if pt.received || pt.inFlight > 0 || p.withholdRetries(q) {
		return
	}
	if len(pt.attempts) >= p.maxAttempts(q) || !p.mayRepeat(pt) {
		pt.exhausted = true
	}
	if q.requested < len(q.parts) { // a part held back costs no further attempt, so it goes before a repeat
		p.requestParts(q, q.requested+1)
	} else if !pt.exhausted {
		p.trySend(pt, false)
	}
	if pt.exhausted {
		p.settle(q)
	}
}

// withholdRetries tells that no part of a query may go again yet. Guards against queries that break replicas:
// resent, they take all holders. What broke two, or one after an earlier try or while replicas die, and got
// no answer is failed; while other parts may be answered, the broken ones wait: an innocent query's come in.
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
		// No refusal: to come again would do harm.
		p.finish(q, Action{Verb: Fail, Query: q.id, Reason: BreaksReplica})
	}
	return q.ended
}
