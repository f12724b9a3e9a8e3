package expect

import (
	"math"
	"slices"

	"birchcart/policy"
)

func (w *world) do(a *policy.Action) {
	switch a.Verb {
	case policy.Send:
		if pt := w.parts[a.Part]; pt != nil {
			w.send(pt, a)
		}
	case policy.Cancel:
		if pt := w.parts[a.Part]; pt != nil && a.Attempt < len(pt.attempts) {
			w.put(item{at: w.now, kind: endItem, attempt: pt.attempts[a.Attempt], outcome: policy.Cancelled})
		}
	case policy.Timer:
		w.put(item{at: w.now + a.After, kind: timerItem, handle: a.Handle})
	case policy.Answer, policy.Refuse, policy.Fail:
		q := w.queries[a.Query]
		if q == nil {
			return
		}
		if a.Verb == policy.Answer && q.step == 1 && w.d.Config.Classes[q.class].FollowUp > 0 {
			w.put(item{at: w.now, kind: partsItem, query: q})
			return
		}
		rec := &w.rec.queries[q.rec]
		rec.ended, rec.end, rec.endAt, rec.whole, rec.comeBack = true, a.Verb, w.ms(), a.Complete, a.After
		w.close(q)
	}
}

func (w *world) close(q *query) {
	if q.route > 0 && !q.over {
		w.gate.Release(q.route - 1)
	}
	q.over = true
	delete(w.queries, q.id)
}

func (w *world) send(pt *part, a *policy.Action) {
	i := int(a.Replica) - 1
	at := &attempt{part: pt, no: len(pt.attempts), reader: i, sentAt: w.now}
	pt.attempts = append(pt.attempts, at)
	w.rec.sends = append(w.rec.sends, sent{
		at: w.ms(), turn: w.turns, query: pt.q.rec, part: int(pt.id), shard: pt.shard, attempt: at.no, reader: i, step: pt.q.step,
	})
	r, class := &w.readers[i], pt.q.class
	r.out = append(r.out, at)
	due := pt.q.due
	if a.AttemptTimeout > 0 {
		due = math.Min(due, w.now+a.AttemptTimeout)
	}
	took, outcome := (w.e.Readers.Least+w.e.Readers.Mean*w.latency.ExpFloat64())/1000*r.slow[class], policy.OK
	answers := r.answers[class]
	if !r.up {
		answers = "unreachable"
	}
	switch answers {
	case "silent":
		took = math.Inf(1)
	case "fault":
		took, outcome = faultTime, policy.Failed
	case "overload":
		took, outcome = refuseTime, policy.Rejected
	case "unreachable":
		took, outcome = refuseTime, policy.Unreachable
	case "broken":
		outcome = policy.ConnectionBroken
	}
	ends := w.now + took
	if ends >= due {
		ends, outcome = due, policy.TimedOut
	}
	w.put(item{at: ends, kind: endItem, attempt: at, outcome: outcome})
}

// end ends an attempt; of two ends the first counts.
func (w *world) end(a *attempt, o policy.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	r := &w.readers[a.reader]
	if i := slices.Index(r.out, a); i >= 0 {
		r.out = slices.Delete(r.out, i, i+1)
	}
	a.part.in = a.part.in || o == policy.OK
	w.events = append(w.events, policy.Event{
		Kind: policy.AttemptEnded, Part: a.part.id, Attempt: a.no, Replica: uint64(a.reader) + 1, Outcome: o,
		Latency: w.now - a.sentAt, Tenant: -1,
	})
}
