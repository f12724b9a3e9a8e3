package policy

// Health. One record of bad outcomes for each replica and class, whatever the symptom: faults, silence, or
// slowness. It only narrows the choice; a shard whose holders are all suspect still uses them.

import "fmt"
import "slices"

func (p *Policy) updateHealth(a *attempt, o Outcome, took float64) {
	r, class := a.replica, a.part.query.class
	switch o {
	case OK:
		r.lastAnswerAt, r.unavailable = p.now, false
		if a.sentAt < p.stallEndedAt {
			return // how long it took was not seen
		}
		if took < p.penaltyAge(a) {
			p.recordGood(r, class)
		} else if !a.overdue {
			p.recordBad(a, false)
		}
	case Cancelled, NotSent:
		if r.suspect && r.lastAnswerAt < a.sentAt {
			r.nextTrialAt = p.now + trialInterval*p.minPromise // a trial by which a silent one is silent still
		}
	default:
		if o != TimedOut {
			r.lastAnswerAt = p.now
		}
		if q := a.part.query; o == ConnectionBroken && !slices.Contains(q.brokenReplicas, r) {
			q.brokenReplicas = append(q.brokenReplicas, r)
		}
		r.nextTrialAt, r.unavailable = p.now+trialInterval*p.minPromise, o != TimedOut && o != Failed
		r.records[class].failing = o == Failed
		p.recordBad(a, o == Unreachable || o == ConnectionBroken)
	}
}

// recordGood and bad keep the share of bad outcomes. The longer nothing was heard, the more the newest says: with
// little traffic one bad outcome is all the evidence there will be for a while.
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

func (p *Policy) recordBad(a *attempt, enough bool) {
	r, rec := a.replica, &a.replica.records[a.part.query.class]
	rec.add(1, p.now, p.minPromise)
	if !rec.suspect && (enough || rec.badShare > faultThreshold) {
		rec.suspect, rec.suspectSince, rec.badShare = true, p.now, 1
		r.suspect, r.nextTrialAt = true, p.now+trialInterval*p.minPromise
		p.emit(Action{Verb: Log, Text: fmt.Sprintf("replica %d suspect for class %d", r.id, a.part.query.class)})
	}
}

// penaltyAge is the age from which an attempt speaks against its replica: late, or lost where that says little:
// while latencies show queues, or where it would leave out the last sound one of two holders. Guards against
// slow fleets in which the holders of a shard are left out in turn, each for the load of the other.
func (p *Policy) penaltyAge(a *attempt) float64 {
	age, class, holders := p.lateAge(a.part.query.class)*a.part.workRatio, a.part.query.class, p.holders(a.part.shard)
	other := func(r *replica) bool { return r != a.replica && !p.excluded(r, class) && !p.coldLimited(r) }
	if p.recentLatency.value > queueingThreshold ||
		len(holders) <= fewHolders && !p.excluded(a.replica, class) && !slices.ContainsFunc(holders, other) {
		age *= lostFactor
	}
	return age
}

// excluded tells whether a replica is left out for a class: it took nothing just now, the class's record is
// bad, or another's is and nothing good was heard of this one since. Guards against replicas that fail or
// swallow one class: good answers of others do not clear it, nor do those suffer.
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

func (p *Policy) resetHealth(r *replica) {
	r.suspect, r.unavailable = false, false
	clear(r.records)
}

// trialDue tells whether a suspect may have this part as a trial: one at a time, and a part that may go
// elsewhere too. Trials are a share of the parts sent, or with little traffic they would be all of them.
func (p *Policy) trialDue(r *replica, pt *part) bool {
	return p.trialCredit >= 1 && r.nextTrialAt <= p.now && len(r.inFlight) == 0 &&
		len(pt.attempts) == 0 && p.cfg.Classes[pt.query.class].Effect == Safe && p.cfg.SecondCopies
}
