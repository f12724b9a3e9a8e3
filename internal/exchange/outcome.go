package exchange

import (
	"time"

	"birchcart/policy"
)

// handleResult handles the end of an attempt. Only the first end reported for an attempt counts.
func (e *Exchange) handleResult(r Result) {
	a := r.Attempt
	if a.ended {
		return
	}
	pt := a.part
	if r.Outcome == policy.OK && !pt.answered {
		pt.answered, pt.score, pt.value = true, r.Score, r.Value
	}
	e.events = append(e.events, e.reportEnd(a, r.Outcome, r.At, r.Report))
}

// reportEnd marks an attempt as ended and returns the event for the policy.
func (e *Exchange) reportEnd(a *Attempt, o policy.Outcome, at time.Time, report []float64) policy.Event {
	a.ended, a.Text = true, nil // the replica side may hold the attempt for longer
	e.timers.remove(a.timerIndex)
	e.counters.outcomes[o]++
	e.traceAttemptEnd(a, o)
	a.part.query.recordAttemptEnd(o)
	e.load.add(e.turnAt, -1)
	if pt := a.part; !pt.inFlight() && (pt.query.closed || pt.query.step == 2 && pt.previous == nil) {
		delete(e.parts, pt.id) // its step is over
	}
	return policy.Event{
		Kind: policy.AttemptEnded, Part: a.part.id, Attempt: a.number, Replica: a.replica, Outcome: o,
		Latency: max(0, e.policyTime(at)-a.sentAt), Report: report, Tenant: -1,
	}
}

// expire gives up an attempt whose deadline has passed.
func (e *Exchange) expire(a *Attempt) {
	if a.ended {
		return
	}
	found, sent := e.replicas.Cancel(a)
	switch {
	case !found: // its result is in the inbox, or soon will be
	case sent:
		e.events = append(e.events, e.reportEnd(a, policy.TimedOut, e.turnAt, nil))
	default:
		e.events = append(e.events, e.reportEnd(a, policy.NotSent, e.turnAt, nil))
	}
}

// cancel gives up an attempt that the policy cancelled. The policy is told of its end in the next turn.
func (e *Exchange) cancel(a *Attempt) {
	if a.ended {
		return
	}
	if e.removeOutgoing(a) {
		e.deferred = append(e.deferred, e.reportEnd(a, policy.NotSent, e.turnAt, nil))
		return
	}
	found, sent := e.replicas.Cancel(a)
	switch {
	case !found:
	case sent:
		e.deferred = append(e.deferred, e.reportEnd(a, policy.Cancelled, e.turnAt, nil))
	default:
		e.deferred = append(e.deferred, e.reportEnd(a, policy.NotSent, e.turnAt, nil))
	}
}

// cancelUnsent cancels an attempt only if it has not been written.
func (e *Exchange) cancelUnsent(a *Attempt) {
	if e.removeOutgoing(a) || e.replicas.CancelUnsent(a) {
		e.deferred = append(e.deferred, e.reportEnd(a, policy.NotSent, e.turnAt, nil))
	}
}

// removeOutgoing removes an attempt from this turn's calls and reports whether it was in one.
func (e *Exchange) removeOutgoing(a *Attempt) bool {
	for i := range e.outgoing {
		for j, b := range e.outgoing[i].attempts {
			if a == b {
				e.outgoing[i].attempts = append(e.outgoing[i].attempts[:j], e.outgoing[i].attempts[j+1:]...)
				return true
			}
		}
	}
	return false
}

func (e *Exchange) handleHealthCheck(h HealthCheck) {
	e.events = append(e.events, policy.Event{
		Kind: policy.ProbeEnded, Replica: h.Replica, Outcome: h.Outcome, Latency: h.Took.Seconds(), Report: h.Report,
		Tenant: -1,
	})
}
