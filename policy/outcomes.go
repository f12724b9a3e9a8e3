package policy

// Outcomes.

import "math"

func (p *Policy) attemptEnded(ev *Event) {
	pt := p.parts[ev.Part]
	if pt == nil || ev.Attempt < 0 || ev.Attempt >= len(pt.attempts) || pt.attempts[ev.Attempt].ended {
		return
	}
	a, q := pt.attempts[ev.Attempt], pt.q
	a.ended = true
	a.neverRan = ev.Outcome == Rejected || ev.Outcome == Unreachable || ev.Outcome == Moot
	a.r.drop(a)
	pt.out--
	p.inFlight--
	if a.lost {
		p.stuck--
	}
	p.judge(a, ev.Outcome, ev.Took)
	if ev.Outcome == OK {
		p.done.add(p.now)
		a.r.done.add(p.now)
	}
	if ev.Outcome == Rejected { // a full queue's wait: no promise would hold
		p.sawLatency(q, 1)
	}
	if ev.Outcome == OK && a.sentAt >= p.stalledAt {
		p.models[q.class].seen.add(p.now, ev.Took)
		pace := ev.Took / p.models[q.class].mean
		p.drag.add(pace, freshShare)
		a.r.pace, a.r.paceAt = p.pace(a.r)+paceShare*(pace/pt.heavy-p.pace(a.r)), p.now
		p.sawLatency(q, ev.Took/p.cfg.Classes[q.class].Promise)
	}
	switch {
	case pt.gone: // its query or step has ended, and this answer counts no more
		if pt.out == 0 {
			delete(p.parts, pt.id)
		}
	case ev.Outcome != OK:
		p.again(pt)
	case !pt.in:
		pt.in = true
		q.in += pt.weight
		q.inCount++
		p.revoke(pt, pt.out)
		if q.scout {
			p.askAll(q)
		}
		p.settle(q)
	}
}

// sawLatency takes in what a part of q took, in promises.
func (p *Policy) sawLatency(q *query, took float64) {
	weight := freshShare
	if q.probe {
		weight = 1 - math.Pow(1-probeNews, 1/float64(len(q.parts)))
	}
	p.stress.add(took, weight)
	p.stressAt = p.now
}

// latencyAge is how much the recent latency still says: 1 when its newest sample has just come, fading to 0.
func (p *Policy) latencyAge() float64 { return math.Exp((p.stressAt - p.now) / (memory * p.promise)) }

// again goes on after an attempt that failed.
func (p *Policy) again(pt *part) {
	q := pt.q
	if pt.in || pt.out > 0 || p.withheld(q) {
		return
	}
	if len(pt.attempts) >= p.attemptsMost(q) || !p.mayRepeat(pt) {
		pt.dead = true
	}
	if q.asked < len(q.parts) { // a part held back costs no further attempt, so it goes before a repeat
		p.askFor(q, q.asked+1)
	} else if !pt.dead {
		p.try(pt, false)
	}
	if pt.dead {
		p.settle(q)
	}
}

// withheld tells that no part of a query may go again yet. Guards against queries that break replicas:
// resent, they take all holders. What broke two, or one after an earlier try or while replicas die, and got
// no answer is failed; while other parts may be answered, the broken ones wait: an innocent query's come in.
func (p *Policy) withheld(q *query) bool {
	if len(q.broke) == 0 || q.inCount > 0 || q.step > 1 || q.over {
		return q.over
	}
	for _, pt := range q.parts {
		if pt.out > 0 && p.age(pt.last()) < p.late(q.class)*pt.heavy {
			return true
		}
	}
	if len(q.broke) > 1 || q.wary {
		// No refusal: to come again would do harm.
		p.final(q, Action{Verb: Fail, Query: q.id, Reason: BreaksReplica})
	}
	return q.over
}
