package policy

// Health: one record of bad outcomes for each replica and class, whether the symptom is errors, silence or
// slowness. It only affects the choice between holders: a shard whose holders are all suspect still uses
// them.

import "fmt"
import "slices"

// updateHealth updates the health of an attempt's replica from the attempt's outcome.
func (p *Policy) updateHealth(a *attempt, outcome Outcome, latency float64) {
	r, class := a.replica, a.part.query.class
	switch outcome {
	case OK:
		r.lastAnswerAt, r.unavailable = p.now, false
		if a.sentAt < p.stallEndedAt {
			return // the stall of this instance hid its latency
		}
		if latency < p.penaltyAge(a) {
			p.recordGood(r, class)
		} else if !a.overdue {
			p.recordBad(a, false)
		}
	case Cancelled, NotSent:
		if r.suspect && r.lastAnswerAt < a.sentAt {
			// It was a trial that was not answered: the replica is still silent.
			r.nextTrialAt = p.now + trialInterval*p.minPromise
		}
	default:
		if outcome != TimedOut {
			r.lastAnswerAt = p.now
		}
		if q := a.part.query; outcome == ConnectionBroken && !slices.Contains(q.brokenReplicas, r) {
			q.brokenReplicas = append(q.brokenReplicas, r)
		}
		r.nextTrialAt, r.unavailable = p.now+trialInterval*p.minPromise,
			outcome != TimedOut && outcome != Failed
		r.records[class].failing = outcome == Failed
		p.recordBad(a, outcome == Unreachable || outcome == ConnectionBroken)
	}
}

// recordGood and recordBad update the share of bad outcomes. The weight of an outcome grows with the time
// since the previous one: with little traffic one bad outcome is all the evidence there will be for a while.
func (p *Policy) recordGood(r *replica, class int) {
	rec := &r.records[class]
	rec.lastGoodAt, rec.failing = p.now, false
	rec.add(0, p.now, p.minPromise)
	if rec.suspect && rec.badShare <= faultThreshold {
		rec.suspect = false
		r.suspect = slices.ContainsFunc(r.records, func(rec healthRecord) bool { return rec.suspect })
		p.emit(Action{Verb: Log, Text: fmt.Sprintf("replica %d taken back for class %d", r.id, class)})
	}
}

func (p *Policy) recordBad(a *attempt, conclusive bool) {
	r, rec := a.replica, &a.replica.records[a.part.query.class]
	rec.add(1, p.now, p.minPromise)
	if !rec.suspect && (conclusive || rec.badShare > faultThreshold) {
		rec.suspect, rec.suspectSince, rec.badShare = true, p.now, 1
		r.suspect, r.nextTrialAt = true, p.now+trialInterval*p.minPromise
		p.emit(Action{Verb: Log, Text: fmt.Sprintf("replica %d suspect for class %d",
			r.id, a.part.query.class)})
	}
}

// penaltyAge returns the age from which an attempt counts as a bad outcome of its replica. That is the age of
// a late part, or of a lost one where lateness says little about the replica: while latencies show queueing,
// or if it would exclude the last healthy one of two holders. Otherwise, in a slow fleet, the holders of a
// shard would be excluded in turn, each because of the load moved to it from the other.
func (p *Policy) penaltyAge(a *attempt) float64 {
	age, class, holders := p.lateAge(a.part.query.class)*a.part.workRatio,
		a.part.query.class, p.holders(a.part.shard)
	otherHealthy := func(r *replica) bool {
		return r != a.replica && !p.excluded(r, class) && !p.coldLimited(r)
	}
	if p.recentLatency.value > queueingThreshold ||
		len(holders) <= fewHolders && !p.excluded(a.replica, class) &&
			!slices.ContainsFunc(holders, otherHealthy) {
		age *= lostFactor
	}
	return age
}

// excluded reports whether a replica is avoided for a class: it did not accept its last attempt, its record
// for the class is bad, or that of another class is and this class had no good outcome since. Records are
// kept per class because a replica may fail, or never answer, the parts of one class only: its good answers
// for other classes do not clear the record of that class, and it stays in use for them.
func (p *Policy) excluded(r *replica, class int) bool {
	if r.unavailable && p.now < r.nextTrialAt {
		return true
	}
	if !r.suspect {
		return false
	}
	own := &r.records[class]
	return own.suspect || slices.ContainsFunc(r.records, func(rec healthRecord) bool {
		return rec.suspect && own.lastGoodAt < rec.suspectSince
	})
}

// clear forgets all outcomes of a replica, as after its restart.
func (p *Policy) clear(r *replica) {
	r.suspect, r.unavailable = false, false
	clear(r.records)
}

// trialDue reports whether a suspect replica may get this part as a trial. It gets one at a time, and only
// parts that may also be sent elsewhere. Trials are limited to a share of the parts sent; with little traffic
// they would otherwise be all of them.
func (p *Policy) trialDue(r *replica, pt *part) bool {
	return p.trialCredit >= 1 && r.nextTrialAt <= p.now && len(r.inFlight) == 0 &&
		len(pt.attempts) == 0 && p.cfg.Classes[pt.query.class].Effect == Safe && p.cfg.SecondCopies
}
