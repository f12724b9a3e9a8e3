package exchange

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/policy"
)

// execute carries out one action of the policy.
func (e *Exchange) execute(a *policy.Action) {
	switch a.Verb {
	case policy.Send:
		e.send(a)
	case policy.Cancel:
		if pt := e.parts[a.Part]; pt != nil && a.Attempt < len(pt.attempts) {
			e.cancel(pt.attempts[a.Attempt])
		}
	case policy.Answer:
		e.answer(a)
	case policy.Refuse:
		e.finish(a.Query, Reply{Status: Rejected, RetryAfter: duration(a.After), Reason: a.Reason})
	case policy.Fail:
		e.finish(a.Query, Reply{Status: Failed, Reason: a.Reason})
	case policy.Probe:
		if e.config.Probes {
			e.replicas.CheckHealth(a.Replica)
		}
	case policy.Timer:
		e.schedule(a.After, timer{handle: a.Handle})
	case policy.Watch:
		e.watcher.Watch()
	case policy.Log:
		e.log.Info(a.Text)
	}
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// send starts an attempt and adds it to this turn's call to its replica.
func (e *Exchange) send(act *policy.Action) {
	pt := e.parts[act.Part]
	if pt == nil || pt.query.closed || e.replicasByID[act.Replica] == nil {
		e.log.WithField("part", act.Part).Error("send ignored: unknown part or replica, or the query is closed")
		return
	}
	a := &Attempt{
		ID: pt.frameID, Shard: pt.shard, Text: pt.query.Text, Due: pt.query.Due, Previous: pt.previous, Complete: pt.complete,
		ListIndex: e.listIndex, part: pt, replica: act.Replica, number: len(pt.attempts), sentAt: e.policyTime(e.turnAt), timerIndex: noTimer,
	}
	if act.AttemptTimeout > 0 {
		if due := e.turnAt.Add(duration(act.AttemptTimeout)); due.Before(a.Due) {
			a.Due = due
		}
	}
	pt.attempts = append(pt.attempts, a)
	pt.query.sent = true
	pt.query.openAttempts++
	e.counters.attempts++
	e.load.add(e.turnAt, 1)
	e.schedule(a.Due.Sub(e.turnAt).Seconds(), timer{attempt: a})
	e.traceAttempt(a)
	for i := range e.outgoing {
		if c := &e.outgoing[i]; c.replica == a.replica && len(c.attempts) < e.limits.CallParts {
			c.attempts = append(c.attempts, a)
			return
		}
	}
	e.outgoing = append(e.outgoing, outgoingCall{a.replica, []*Attempt{a}})
}

// flush hands this turn's calls to the replica side. The first step of a query ends when the first part of its
// second step arrives at a replica; other parts of the second step are rejected until this is known everywhere.
// The part that opens a second step is therefore sent at once, and calls with other parts of that step only after
// StepGap.
func (e *Exchange) flush() {
	var delayed []outgoingCall
	for _, c := range e.outgoing {
		if len(c.attempts) == 0 {
			continue
		}
		if e.needsStepGap(c) {
			delayed = append(delayed, c)
			continue
		}
		e.replicas.Send(c.replica, c.attempts)
	}
	if len(delayed) > 0 {
		time.Sleep(e.limits.StepGap) // far shorter than the minimum gap between turns
		for _, c := range delayed {
			e.replicas.Send(c.replica, c.attempts)
		}
	}
	clear(e.outgoing)
	e.outgoing = e.outgoing[:0]
}

// needsStepGap reports whether a call holds a part of a second step that another part has already opened in this
// turn. If a part of the call opens a second step, it records the time on the query.
func (e *Exchange) needsStepGap(c outgoingCall) bool {
	wait := false
	for _, a := range c.attempts {
		q := a.part.query
		if a.Previous == nil {
			continue
		}
		if q.secondStepAt.IsZero() {
			q.secondStepAt = e.turnAt
		} else if q.secondStepAt.Equal(e.turnAt) {
			wait = true
		}
	}
	return wait
}

// answer replies to a query with the values received so far. If the query's class has a second step and the query
// is in its first, answer starts the second step instead.
func (e *Exchange) answer(a *policy.Action) {
	q := e.queries[a.Query]
	if q == nil {
		return
	}
	if n := e.config.Classes[q.Class].FollowUp; n > 0 && q.step == 1 {
		e.startSecondStep(q, n, a.Complete)
		return
	}
	r := Reply{Complete: a.Complete}
	for _, pt := range q.parts {
		if pt.answered {
			r.Values = append(r.Values, Value{pt.shard, pt.value})
		}
	}
	e.finish(a.Query, r)
}

// startSecondStep closes the first step and creates parts for at most n shards, those with the highest scores. The
// policy receives the new parts in the next turn.
func (e *Exchange) startSecondStep(q *query, n int, complete bool) {
	var answered []*part
	for _, pt := range q.parts {
		if pt.answered {
			answered = append(answered, pt)
		}
	}
	answeredShards := make([]int, len(answered))
	for i, pt := range answered {
		answeredShards[i] = pt.shard
	}
	slices.Sort(answeredShards)
	slices.SortStableFunc(answered, func(a, b *part) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.shard, b.shard))
	})
	answered = answered[:min(n, len(answered))]
	q.step = 2
	e.closeStep(q)
	q.parts = nil
	for _, pt := range answered {
		e.deferred = append(e.deferred, e.newPart(q, &part{shard: pt.shard, previous: answeredShards, complete: complete}, 1/float64(len(answered)), 0))
	}
}

// finish closes a query and sends its only reply. Attempts that are not yet written are cancelled before the reply.
func (e *Exchange) finish(id uint64, r Reply) {
	q := e.queries[id]
	if q == nil {
		return
	}
	if q.pinned {
		r = e.sessionGate.FinalReply(q.Query, r)
	}
	q.served = r.Status == Served
	e.close(q, LaneOutcome{Status: r.Status})
	e.recordEnd(q, r.recordStatus(), len(r.Values))
	q.countReply(r)
	e.counters.replies[r.Status]++
	e.counters.reasons[r.Reason]++
	if e.debug() {
		e.log.WithFields(logrus.Fields{
			"query": q.ID, "class": e.names.Classes[q.Class], "status": r.Status, "whole": r.Complete,
			"found": len(r.Values), "step": q.step, "reason": r.Reason.String(), "took": e.turnAt.Sub(q.Received),
		}).Debug("query ended")
	}
	q.Reply(r)
}
