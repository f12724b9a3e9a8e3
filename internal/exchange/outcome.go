package exchange

import (
	"time"

	"birchcart/policy"
)

// ended takes the end of an attempt; of two ends the first counts.
func (e *Exchange) ended(r Result) {
	a := r.Attempt
	if a.ended {
		return
	}
	pt := a.part
	if r.Outcome == policy.OK && !pt.in {
		pt.in, pt.score, pt.value = true, r.Score, r.Value
	}
	e.events = append(e.events, e.endOf(a, r.Outcome, r.At, r.Report))
}

// endOf closes an attempt and returns the event that tells of its end.
func (e *Exchange) endOf(a *Attempt, o policy.Outcome, at time.Time, report []float64) policy.Event {
	a.ended, a.Text = true, nil // its timer lives on for a while
	e.sums.outcomes[o]++
	a.part.q.attemptOver(o)
	e.load.change(e.turned, -1)
	if pt := a.part; !pt.out() && (pt.q.over || pt.q.step == 2 && pt.from == nil) {
		delete(e.parts, pt.id) // its step has ended
	}
	return policy.Event{
		Kind: policy.AttemptEnded, Part: a.part.id, Attempt: a.no, Replica: a.replica, Outcome: o,
		Took: max(0, e.clock(at)-a.sentAt), Report: report, Tenant: -1,
	}
}

// expire gives up an attempt whose time is up.
func (e *Exchange) expire(a *Attempt) {
	if a.ended {
		return
	}
	found, sent := e.replicas.Withdraw(a)
	switch {
	case !found: // its end is on its way
	case sent:
		e.events = append(e.events, e.endOf(a, policy.TimedOut, e.turned, nil))
	default:
		e.events = append(e.events, e.endOf(a, policy.Moot, e.turned, nil))
	}
}

// cancel gives up an attempt that the decisions no longer want; its end comes with the next turn.
func (e *Exchange) cancel(a *Attempt) {
	if a.ended {
		return
	}
	if e.unqueue(a) {
		e.next = append(e.next, e.endOf(a, policy.Moot, e.turned, nil))
		return
	}
	found, sent := e.replicas.Withdraw(a)
	switch {
	case !found:
	case sent:
		e.next = append(e.next, e.endOf(a, policy.Revoked, e.turned, nil))
	default:
		e.next = append(e.next, e.endOf(a, policy.Moot, e.turned, nil))
	}
}

// unsend takes back an attempt only if it has not been written.
func (e *Exchange) unsend(a *Attempt) {
	if e.unqueue(a) || e.replicas.Unsend(a) {
		e.next = append(e.next, e.endOf(a, policy.Moot, e.turned, nil))
	}
}

// unqueue takes an attempt out of this turn's calls.
func (e *Exchange) unqueue(a *Attempt) bool {
	for i := range e.calls {
		for j, b := range e.calls[i].attempts {
			if a == b {
				e.calls[i].attempts = append(e.calls[i].attempts[:j], e.calls[i].attempts[j+1:]...)
				return true
			}
		}
	}
	return false
}

func (e *Exchange) probed(p Probed) {
	e.events = append(e.events, policy.Event{
		Kind: policy.ProbeEnded, Replica: p.Replica, Outcome: p.Outcome, Took: p.Took.Seconds(), Report: p.Report,
		Tenant: -1,
	})
}
