package policy

// Health. One record of bad outcomes for each replica and class, whatever the symptom: faults, silence, or
// slowness. It only narrows the choice; a shard whose holders are all suspect still uses them.

import "fmt"
import "slices"

func (p *Policy) judge(a *attempt, o Outcome, took float64) {
	r, class := a.r, a.p.q.class
	switch o {
	case OK:
		r.heardAt, r.down = p.now, false
		if a.sentAt < p.stalledAt {
			return // how long it took was not seen
		}
		if took < p.tooLong(a) {
			p.good(r, class)
		} else if !a.lost {
			p.bad(a, false)
		}
	case Revoked, Moot:
		if r.suspect && r.heardAt < a.sentAt {
			r.trialAt = p.now + trialGap*p.promise // a trial by which a silent one is silent still
		}
	default:
		if o != TimedOut {
			r.heardAt = p.now
		}
		if q := a.p.q; o == Broken && !slices.Contains(q.broke, r) {
			q.broke = append(q.broke, r)
		}
		r.trialAt, r.down = p.now+trialGap*p.promise, o != TimedOut && o != Failed
		r.classes[class].failing = o == Failed
		p.bad(a, o == Unreachable || o == Broken)
	}
}

// good and bad keep the share of bad outcomes. The longer nothing was heard, the more the newest says: with
// little traffic one bad outcome is all the evidence there will be for a while.
func (p *Policy) good(r *replica, class int) {
	rec := &r.classes[class]
	rec.goodAt, rec.failing = p.now, false
	rec.add(0, p.now, p.promise)
	if rec.suspect && rec.value <= faultLimit {
		rec.suspect = false
		r.suspect = slices.ContainsFunc(r.classes, func(rec record) bool { return rec.suspect })
		p.act(Action{Verb: Log, Text: fmt.Sprintf("replica %d taken back for class %d", r.id, class)})
	}
}

func (p *Policy) bad(a *attempt, enough bool) {
	r, rec := a.r, &a.r.classes[a.p.q.class]
	rec.add(1, p.now, p.promise)
	if !rec.suspect && (enough || rec.value > faultLimit) {
		rec.suspect, rec.since, rec.value = true, p.now, 1
		r.suspect, r.trialAt = true, p.now+trialGap*p.promise
		p.act(Action{Verb: Log, Text: fmt.Sprintf("replica %d suspect for class %d", r.id, a.p.q.class)})
	}
}

// tooLong is the age from which an attempt speaks against its replica: late, or lost where that says little:
// while latencies show queues, or where it would leave out the last sound one of two holders. Guards against
// slow fleets in which the holders of a shard are left out in turn, each for the load of the other.
func (p *Policy) tooLong(a *attempt) float64 {
	age, class, holders := p.late(a.p.q.class)*a.p.heavy, a.p.q.class, p.holders(a.p.shard)
	other := func(r *replica) bool { return r != a.r && !p.doubted(r, class) && !p.coldShut(r) }
	if p.stress.value > queueShare ||
		len(holders) <= fewHolders && !p.doubted(a.r, class) && !slices.ContainsFunc(holders, other) {
		age *= lostTimes
	}
	return age
}

// doubted tells whether a replica is left out for a class: it took nothing just now, the class's record is
// bad, or another's is and nothing good was heard of this one since. Guards against replicas that fail or
// swallow one class: good answers of others do not clear it, nor do those suffer.
func (p *Policy) doubted(r *replica, class int) bool {
	if r.down && p.now < r.trialAt {
		return true
	}
	if !r.suspect {
		return false
	}
	own := &r.classes[class]
	return own.suspect || slices.ContainsFunc(r.classes, func(rec record) bool {
		return rec.suspect && own.goodAt < rec.since
	})
}

func (p *Policy) clear(r *replica) {
	r.suspect, r.down = false, false
	clear(r.classes)
}

// trialDue tells whether a suspect may have this part as a trial: one at a time, and a part that may go
// elsewhere too. Trials are a share of the parts sent, or with little traffic they would be all of them.
func (p *Policy) trialDue(r *replica, pt *part) bool {
	return p.trials >= 1 && r.trialAt <= p.now && len(r.outs) == 0 &&
		len(pt.attempts) == 0 && p.cfg.Classes[pt.q.class].Effect == Safe && p.cfg.SecondCopies
}
