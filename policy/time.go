package policy

// Time.

import "slices"

// look goes over what is open once a tick.
func (p *Policy) look() {
	if p.now >= p.refreshAt {
		p.refreshAt = p.now + refresh
		p.learn()
	}
	for _, q := range p.open {
		if !q.over {
			p.lookAt(q)
		}
	}
	p.open = slices.DeleteFunc(p.open, func(q *query) bool { return q.over })
}

// late is the age from which a part of the class counts as late. It grows at once with the latest answers:
// guards against a fleet that slows down as a whole, where copies of every part make it worse.
func (p *Policy) late(class int) float64 {
	md := &p.models[class]
	return max(1, p.drag.value) * max(lateLeast*p.cfg.Classes[class].Promise,
		max(lateTimes*md.middle, min(lateMost*md.middle, md.tail)))
}

// age is for how long an attempt has been out, as far as we were there to see its end.
func (p *Policy) age(a *attempt) float64 { return p.now - max(a.sentAt, p.stalledAt) }

// overdue is why a query ends by its time alone, NoReason while it need not.
func (p *Policy) overdue(q *query) Reason {
	c := &p.cfg.Classes[q.class]
	if q.due-p.now <= dueMargin*p.tick || q.lim.Step > 0 && p.now-q.stepAt+p.tick >= q.lim.Step {
		return OutOfTime
	}
	if age := p.now - q.arrived; age+p.tick >= c.Promise {
		// After the promise a short answer may be worth more than waiting for the whole, and what earns
		// nothing late, or any late one while the instance is full, only keeps others waiting.
		if p.shortWorth(q) > c.LateWorth || age >= c.Promise && (c.LateWorth == 0 || p.full()) {
			return PromiseMissed
		}
	}
	return NoReason
}

func (p *Policy) lookAt(q *query) {
	if why := p.overdue(q); why != NoReason {
		p.giveUp(q, why)
		return
	}
	base := p.late(q.class)
	if q.scout && p.now-q.arrived > p.models[q.class].swift {
		p.askAll(q)
	}
	for _, pt := range q.parts {
		if q.over {
			return
		}
		if pt.in || pt.dead || !pt.sent {
			continue
		}
		late := base * pt.heavy
		for _, a := range pt.attempts {
			if age := p.age(a); !a.ended && !a.lost && age >= late && age >= p.tooLong(a) {
				a.lost = true
				p.stuck++
				p.bad(a, false)
			}
		}
		if pt.out == 0 {
			if pt.retryAt <= p.now {
				if len(pt.attempts) == 0 {
					p.try(pt, false)
				} else {
					p.again(pt)
				}
			}
			continue
		}
		a, age := pt.last(), p.age(pt.last())
		if pt.out > 1 {
			if age >= lostTimes*late && len(pt.attempts) < p.attemptsMost(q) {
				p.revoke(pt, 1) // both copies seem lost: make room for one more
			}
			continue
		}
		if p.doubted(a.r, q.class) && len(p.holders(pt.shard)) > fewHolders { // a trial: no need to wait long
			late = min(late, lateTimes*p.models[q.class].middle*pt.heavy)
		}
		// Guards against answers that never come from a replica that goes on answering others.
		lost := age >= lostTimes*late
		if !lost && age < late {
			continue
		}
		switch {
		case p.releaseOne(q, base):
		case p.cfg.SecondCopies:
			p.try(pt, !lost)
		case lost:
			p.move(pt)
		}
	}
}

// move takes a part back where a second attempt may not run beside the first; it goes again once its end is
// told. Guards against silent replicas, which keep it for as long as the client waits. What may not be
// repeated stays, and so does a part that no sound holder would take.
func (p *Policy) move(pt *part) {
	r, rank := p.pick(pt)
	if p.cfg.Cancel && p.mayRepeat(pt) && len(pt.attempts) < p.attemptsMost(pt.q) &&
		r != nil && rank == 0 && p.affords(pt.q, false) {
		p.revoke(pt, 1)
	}
}

// releaseOne answers lateness without a second copy where it can: parts that are out in good time may
// suffice, or a part that was held back goes first. It tells whether that is so.
func (p *Policy) releaseOne(q *query, late float64) bool {
	good, left := q.inCount, len(q.parts)-q.asked
	for _, pt := range q.parts {
		if !pt.in && pt.out > 0 {
			if a := pt.last(); !p.doubted(a.r, q.class) && p.age(a) < late*pt.heavy {
				good++
			}
		}
	}
	if good >= q.need {
		return true
	}
	if left > 0 {
		p.askFor(q, q.asked+1)
	}
	return left > 0
}
