package exchange

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/policy"
)

// do carries out one action.
func (e *Exchange) do(a *policy.Action) {
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
		e.finish(a.Query, Reply{Status: Refused, After: duration(a.After)})
	case policy.Fail:
		e.finish(a.Query, Reply{Status: Failed})
	case policy.Probe:
		if e.cfg.Probes {
			e.replicas.Probe(a.Replica)
		}
	case policy.Timer:
		e.after(a.After, timer{handle: a.Handle})
	case policy.Watch:
		e.watcher.Watch()
	case policy.Log:
		e.log.Info(a.Text)
	}
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// send puts an attempt into this turn's call to its replica.
func (e *Exchange) send(act *policy.Action) {
	pt := e.parts[act.Part]
	if pt == nil || pt.q.over || e.ids[act.Replica] == nil {
		e.log.WithField("part", act.Part).Error("the decisions sent what is not open")
		return
	}
	a := &Attempt{
		ID: pt.name, Shard: pt.shard, Text: pt.q.Text, Due: pt.q.Due, From: pt.from, Whole: pt.whole,
		part: pt, replica: act.Replica, no: len(pt.attempts), sentAt: e.clock(e.turned),
	}
	if act.TryFor > 0 {
		if due := e.turned.Add(duration(act.TryFor)); due.Before(a.Due) {
			a.Due = due
		}
	}
	pt.attempts = append(pt.attempts, a)
	pt.q.sent = true
	pt.q.out++
	e.sums.attempts++
	e.load.change(e.turned, 1)
	e.after(a.Due.Sub(e.turned).Seconds(), timer{attempt: a})
	for i := range e.calls {
		if c := &e.calls[i]; c.replica == a.replica && len(c.attempts) < e.limits.CallParts {
			c.attempts = append(c.attempts, a)
			return
		}
	}
	e.calls = append(e.calls, call{a.replica, []*Attempt{a}})
}

// flush hands this turn's calls to the replica side. The first step of a query ends where the first part of
// its second arrives, and what arrives before that is known everywhere is turned away. So the part that opens
// a second step goes ahead, and calls with others of that step follow after a short gap.
func (e *Exchange) flush() {
	var later []call
	for _, c := range e.calls {
		if len(c.attempts) == 0 {
			continue
		}
		if e.follows(c) {
			later = append(later, c)
			continue
		}
		e.replicas.Send(c.replica, c.attempts)
	}
	if len(later) > 0 {
		time.Sleep(e.limits.StepGap) // far less than the least gap between turns
		for _, c := range later {
			e.replicas.Send(c.replica, c.attempts)
		}
	}
	clear(e.calls)
	e.calls = e.calls[:0]
}

// follows tells whether a call holds a part of a second step that has been opened in this turn; a part that
// opens one is noted.
func (e *Exchange) follows(c call) bool {
	wait := false
	for _, a := range c.attempts {
		q := a.part.q
		if a.From == nil {
			continue
		}
		if q.opened.IsZero() {
			q.opened = e.turned
		} else if q.opened.Equal(e.turned) {
			wait = true
		}
	}
	return wait
}

// answer ends a query from what is in, or its first step where its class has a second.
func (e *Exchange) answer(a *policy.Action) {
	q := e.queries[a.Query]
	if q == nil {
		return
	}
	if n := e.cfg.Classes[q.Class].FollowUp; n > 0 && q.step == 1 {
		e.secondStep(q, n, a.Full)
		return
	}
	r := Reply{Whole: a.Full}
	for _, pt := range q.parts {
		if pt.in {
			r.Found = append(r.Found, Value{pt.shard, pt.value})
		}
	}
	e.finish(a.Query, r)
}

// secondStep closes the first step and asks the shards with the highest scores, n at most; its parts reach
// the decisions with the next turn.
func (e *Exchange) secondStep(q *query, n int, whole bool) {
	var in []*part
	for _, pt := range q.parts {
		if pt.in {
			in = append(in, pt)
		}
	}
	from := make([]int, len(in))
	for i, pt := range in {
		from[i] = pt.shard
	}
	slices.Sort(from)
	slices.SortStableFunc(in, func(a, b *part) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.shard, b.shard))
	})
	in = in[:min(n, len(in))]
	q.step = 2
	e.closeStep(q)
	q.parts = nil
	for _, pt := range in {
		e.next = append(e.next, e.newPart(q, &part{shard: pt.shard, from: from, whole: whole}, 1/float64(len(in)), 0))
	}
}

// finish gives a query its one answer. What of it is not yet written is taken back before.
func (e *Exchange) finish(id uint64, r Reply) {
	q := e.queries[id]
	if q == nil {
		return
	}
	if q.pinned {
		r = e.pins.Final(q.Query, r)
	}
	q.served = r.Status == Served
	e.close(q, LaneOver{Status: r.Status})
	e.recordEnd(q, r.ending(), len(r.Found))
	q.count(r)
	e.sums.replies[r.Status]++
	if e.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		e.log.WithFields(logrus.Fields{
			"query": q.ID, "class": e.names.Classes[q.Class], "status": r.Status, "whole": r.Whole,
			"found": len(r.Found), "step": q.step, "took": e.turned.Sub(q.Received),
		}).Debug("a query ended")
	}
	q.Reply(r)
}
